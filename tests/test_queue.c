#include "queue.h"

#include <CUnit/Basic.h>
#include <stdio.h>

#define ITEMS 1200

static struct queue_item items[ITEMS];

static struct queue_flow_spec make_place(const char *organisation, const char *class_name,
					 bool urgent)
{
	return (struct queue_flow_spec){.service = "s",
					.class_name = class_name,
					.organisation = organisation,
					.urgent = urgent,
					.weight = 1,
					.share = 1};
}

static void push_many(struct queue *queue, const struct queue_flow_spec *place, int first,
		      int count)
{
	for (int i = first; i < first + count; i++) {
		items[i] = (struct queue_item){.owner = (void *)place->organisation};
		CU_ASSERT_EQUAL(queue_push(queue, &items[i], place, NULL), 0);
	}
}

static int count_served(struct queue *queue, int pops, const void *owner)
{
	int count = 0;

	for (int i = 0; i < pops; i++) {
		const struct queue_item *item = queue_pop(queue, "s");

		count += item && item->owner == owner;
	}
	return count;
}

/* Guards against a burst of one organisation delaying the requests of another. */
static void test_shares(void)
{
	static const struct {
		double share_a;
		double share_b;
		int expected_a; /* turns of a among the first 100 */
	} cases[] = {{1, 1, 50}, {3, 1, 75}, {1, 4, 20}, {0.5, 0.5, 50}};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct queue *queue = queue_create(NULL);
		struct queue_flow_spec a = make_place("a", "c", false);
		struct queue_flow_spec b = make_place("b", "c", false);
		int got;

		a.share = cases[i].share_a;
		b.share = cases[i].share_b;
		push_many(queue, &a, 0, 1000);
		push_many(queue, &b, 1000, 100);
		got = count_served(queue, 100, a.organisation);
		CU_ASSERT(got >= cases[i].expected_a - 2 && got <= cases[i].expected_a + 2);
		talloc_free(queue);
	}
}

/* Guards against starvation of non-urgent classes by urgent ones, and the reverse. */
static void test_non_urgent_share(void)
{
	struct queue *queue = queue_create(NULL);
	struct queue_flow_spec urgent = make_place("u", "quick", true);
	struct queue_flow_spec other = make_place("o", "batch", false);

	push_many(queue, &other, 0, 200);
	push_many(queue, &urgent, 200, 200);
	CU_ASSERT_EQUAL(count_served(queue, 100, other.organisation), QUEUE_NON_URGENT_PERCENT);
	CU_ASSERT_EQUAL(queue_waiting(queue, "s"), 300);
	CU_ASSERT_EQUAL(count_served(queue, 300, other.organisation),
			200 - QUEUE_NON_URGENT_PERCENT);
	CU_ASSERT_PTR_NULL(queue_pop(queue, "s"));
	talloc_free(queue);
}

/* Guards against unbounded memory use under overload. */
static void test_limits(void)
{
	struct queue *queue = queue_create(NULL);
	struct queue_flow_spec a = make_place("a", "c", false);
	struct queue_flow_spec b = make_place("b", "c", false);
	struct queue_item extra = {0};
	struct err err;

	a.max_queue = 3;
	queue_set_total(queue, 5);
	push_many(queue, &a, 0, 3);
	CU_ASSERT_EQUAL(queue_push(queue, &extra, &a, &err), -ERR_QUEUE_FULL);
	push_many(queue, &b, 3, 2);
	CU_ASSERT_EQUAL(queue_push(queue, &extra, &b, &err), -ERR_QUEUE_FULL);
	CU_ASSERT_NOT_EQUAL(err.remedy[0], '\0');
	CU_ASSERT_PTR_NULL(extra.flow);
	queue_remove(queue, &items[1]);
	CU_ASSERT_EQUAL(queue_push(queue, &extra, &b, &err), 0);
	CU_ASSERT_EQUAL(queue_waiting(queue, NULL), 5);
	talloc_free(queue);
}

/* Guards against lost items and wrong order after queue_push_front() and queue_remove(). */
static void test_order(void)
{
	struct queue *queue = queue_create(NULL);
	struct queue_flow_spec a = make_place("a", "c", false);
	struct queue_item *first;

	push_many(queue, &a, 0, 4);
	first = queue_pop(queue, "s");
	CU_ASSERT_PTR_EQUAL(first, &items[0]);
	queue_push_front(queue, first, &a);
	queue_remove(queue, &items[2]);
	queue_remove(queue, &items[2]);
	CU_ASSERT_PTR_EQUAL(queue_pop(queue, "s"), &items[0]);
	CU_ASSERT_PTR_EQUAL(queue_pop(queue, "s"), &items[1]);
	CU_ASSERT_PTR_EQUAL(queue_pop(queue, "s"), &items[3]);
	CU_ASSERT_PTR_NULL(queue_pop(queue, "s"));
	CU_ASSERT_PTR_NULL(queue_pop(queue, "unknown"));
	talloc_free(queue);
}

/*
 * Guards against wrong estimates of the wait. The dispatcher would refuse requests that can be
 * served in time, or accept requests that cannot.
 */
static void test_ahead(void)
{
	struct queue *queue = queue_create(NULL);
	struct queue_flow_spec a = make_place("a", "c", false);
	struct queue_flow_spec b = make_place("b", "c", false);
	struct queue_flow_spec urgent = make_place("u", "quick", true);

	CU_ASSERT_EQUAL(queue_ahead(queue, &a), 0);
	push_many(queue, &a, 0, 100);
	CU_ASSERT_EQUAL(queue_ahead(queue, &a), 100);
	CU_ASSERT_EQUAL(queue_ahead(queue, &b), 1);
	CU_ASSERT_EQUAL(queue_ahead(queue, &urgent), 0);
	push_many(queue, &urgent, 100, 100);
	CU_ASSERT_EQUAL(queue_ahead(queue, &b), 19);
	CU_ASSERT_EQUAL(queue_ahead(queue, &a), 200);
	talloc_free(queue);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("queue", NULL, NULL);
	CU_add_test(suite, "shares", test_shares);
	CU_add_test(suite, "urgent_floor", test_non_urgent_share);
	CU_add_test(suite, "limits", test_limits);
	CU_add_test(suite, "order", test_order);
	CU_add_test(suite, "ahead", test_ahead);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
