#include "bodybudget.h"

#include <CUnit/Basic.h>
#include <string.h>

/* Which bodies are dropped when there is no room for all. */

#define TOTAL 100000
#define SMALL_SHARE 20000
#define SMALL_MAX 4000
#define CLIENTS 8

struct client {
	uint32_t handle;
	bool dropped;
};

struct fixture {
	struct bodybudget *budget;
	struct client clients[CLIENTS];
};

static void on_drop(void *owner)
{
	struct client *client = owner;

	CU_ASSERT_FALSE(client->dropped);
	client->dropped = true;
	client->handle = BODYBUDGET_NONE;
}

static struct fixture *set_up(void)
{
	static const struct bodybudget_limits limits = {TOTAL, SMALL_SHARE, SMALL_MAX};
	struct fixture *f = talloc_zero(NULL, struct fixture);

	f->budget = bodybudget_create(f, &limits, on_drop);
	for (int i = 0; i < CLIENTS; i++)
		f->clients[i].handle = bodybudget_open(f->budget, &f->clients[i], 0);
	return f;
}

static bool reserve(struct fixture *f, int client, size_t bytes, uint64_t now_ms)
{
	return bodybudget_reserve(f->budget, f->clients[client].handle, bytes, now_ms);
}

/* Guards against bodies beyond the total, and large ones in the share of small ones. */
static void test_limits(void)
{
	struct fixture *f = set_up();

	CU_ASSERT_TRUE(reserve(f, 0, TOTAL - SMALL_SHARE, 0));
	CU_ASSERT_FALSE(reserve(f, 1, SMALL_MAX + 1, 0));
	CU_ASSERT_EQUAL(bodybudget_used(f->budget), TOTAL - SMALL_SHARE);
	for (int i = 1; i <= 5; i++)
		CU_ASSERT_TRUE(reserve(f, i, SMALL_MAX, 0));
	CU_ASSERT_FALSE(reserve(f, 6, 1, 0));
	CU_ASSERT_EQUAL(bodybudget_used(f->budget), TOTAL);
	/* A body that shrinks or ends leaves its room to others. */
	bodybudget_close(f->budget, f->clients[1].handle);
	CU_ASSERT_TRUE(reserve(f, 6, SMALL_MAX, 0));
	CU_ASSERT_TRUE(reserve(f, 0, 10, 0));
	CU_ASSERT_TRUE(reserve(f, 7, TOTAL - SMALL_SHARE - 10, 0));
	bodybudget_close(f->budget, BODYBUDGET_NONE);
	talloc_free(f);
}

/* Guards against the loss of a body that gets on, is small or complete, instead of a stalled one.
 */
static void test_order_of_victims(void)
{
	struct fixture *f = set_up();

	reserve(f, 0, 20000, 0);
	reserve(f, 1, 30000, 0);
	reserve(f, 2, 30000, 0);
	bodybudget_complete(f->budget, f->clients[1].handle);
	/* All have made progress a moment ago. */
	CU_ASSERT_FALSE(reserve(f, 3, 30000, 100));
	bodybudget_progress(f->budget, f->clients[2].handle, 30000, 900);
	CU_ASSERT_TRUE(reserve(f, 3, 10000, 1000));
	CU_ASSERT_TRUE(f->clients[0].dropped);
	/* The largest goes first when both stand still; a complete one stays. */
	CU_ASSERT_TRUE(reserve(f, 4, 40000, 2000));
	CU_ASSERT_TRUE(f->clients[2].dropped);
	CU_ASSERT_FALSE(f->clients[1].dropped);
	CU_ASSERT_FALSE(f->clients[3].dropped);
	talloc_free(f);
}

/* Guards against small calls that are closed for a large one which would not fit all the same. */
static void test_small_stay(void)
{
	struct fixture *f = set_up();

	reserve(f, 0, TOTAL - SMALL_SHARE, 0);
	bodybudget_complete(f->budget, f->clients[0].handle);
	for (int i = 1; i <= 5; i++)
		reserve(f, i, SMALL_MAX, 0);
	CU_ASSERT_FALSE(reserve(f, 6, 30000, 1000));
	for (int i = 1; i <= 5; i++)
		CU_ASSERT_FALSE(f->clients[i].dropped);
	/* Where small ones hold what is short, they are dropped. */
	CU_ASSERT_TRUE(reserve(f, 7, SMALL_MAX, 1000));
	talloc_free(f);
}

/* Guards against clients that hold large bodies for hours by a byte now and then. */
static void test_trickle(void)
{
	struct fixture *f = set_up();
	uint64_t now_ms = 0;

	reserve(f, 0, 70000, 0);
	for (size_t received = 1; received <= 50; received++, now_ms += 100)
		bodybudget_progress(f->budget, f->clients[0].handle, received, now_ms);
	CU_ASSERT_TRUE(reserve(f, 1, 70000, now_ms));
	CU_ASSERT_TRUE(f->clients[0].dropped);
	/* Many tiny pieces are progress. */
	for (size_t received = 32; received <= 64000; received += 32, now_ms++)
		bodybudget_progress(f->budget, f->clients[1].handle, received, now_ms);
	CU_ASSERT_FALSE(reserve(f, 2, 70000, now_ms));
	CU_ASSERT_FALSE(f->clients[1].dropped);
	talloc_free(f);
}

/* Guards against handles of dropped bodies that stay taken, and room that is lost with them. */
static void test_many(void)
{
	struct fixture *f = set_up();
	struct client *clients = talloc_zero_array(f, struct client, 1000);
	size_t held = 0;

	for (uint64_t i = 0; i < 1000; i++) {
		clients[i].handle = bodybudget_open(f->budget, &clients[i], i * 300);
		CU_ASSERT_TRUE(bodybudget_reserve(f->budget, clients[i].handle, 30000, i * 300));
		CU_ASSERT(bodybudget_used(f->budget) <= TOTAL - SMALL_SHARE);
		CU_ASSERT(clients[i].handle < 32);
	}
	for (size_t i = 0; i < 1000; i++) {
		held += !clients[i].dropped;
		bodybudget_close(f->budget, clients[i].handle);
	}
	CU_ASSERT_EQUAL(held, 2);
	CU_ASSERT_EQUAL(bodybudget_used(f->budget), 0);
	talloc_free(f);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("bodybudget", NULL, NULL);
	CU_add_test(suite, "limits", test_limits);
	CU_add_test(suite, "order_of_victims", test_order_of_victims);
	CU_add_test(suite, "small_stay", test_small_stay);
	CU_add_test(suite, "trickle", test_trickle);
	CU_add_test(suite, "many", test_many);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
