#include "parts.h"
#include "util.h"
#include "wire.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

/* Messages that are too long to be sent whole. */

#define SIZES 200

static uint8_t *random_bytes(TALLOC_CTX *mem, struct util_rng *rng, size_t len)
{
	uint8_t *data = talloc_array(mem, uint8_t, len);

	for (size_t i = 0; i < len; i++)
		data[i] = (uint8_t)util_rng_next(rng);
	return data;
}

/* A size about a bound or anywhere. */
static size_t draw_size(struct util_rng *rng)
{
	static const size_t bounds[] = {1, PARTS_PART_BYTES, PARTS_WHOLE_MAX_BYTES,
					3 * PARTS_PART_BYTES};
	size_t bound = bounds[util_rng_below(rng, 4)];

	if (util_rng_below(rng, 2))
		return 1 + util_rng_below(rng, 4 * PARTS_PART_BYTES);
	return MAX(bound, 3) - 2 + util_rng_below(rng, 5);
}

/* Guards against a message that is changed, lost or doubled by its parts, at any size. */
static void test_sizes(void)
{
	struct util_rng rng = {.state = 7};
	struct parts *parts = parts_create(NULL);

	for (int n = 0; n < SIZES; n++) {
		TALLOC_CTX *mem = talloc_new(NULL);
		size_t len = draw_size(&rng);
		uint8_t *sent = random_bytes(mem, &rng, len);
		size_t count = parts_count(len);
		size_t joined_len = 0;
		uint8_t *joined = NULL;

		for (size_t i = 0; i < count; i++) {
			struct msg_part part = parts_cut(sent, len, (uint64_t)n, i);

			CU_ASSERT_PTR_NULL(joined);
			CU_ASSERT(part.data.len <= PARTS_PART_BYTES);
			CU_ASSERT_EQUAL(parts_add(parts, "p", &part, mem, &joined, &joined_len), 0);
		}
		CU_ASSERT_PTR_NOT_NULL_FATAL(joined);
		if (!joined)
			return;
		CU_ASSERT_EQUAL_FATAL(joined_len, len);
		CU_ASSERT_EQUAL(memcmp(joined, sent, len), 0);
		talloc_free(mem);
	}
	talloc_free(parts);
}

/* Guards against a message that is joined from parts of two, or kept although a part was lost. */
static void test_lost_parts(void)
{
	struct parts *parts = parts_create(NULL);
	size_t len = 3 * PARTS_PART_BYTES;
	uint8_t *data = talloc_zero_array(parts, uint8_t, len);
	uint8_t *joined;
	size_t joined_len;
	struct msg_part part = parts_cut(data, len, 1, 0);

	CU_ASSERT_EQUAL(parts_add(parts, "p", &part, parts, &joined, &joined_len), 0);
	part = parts_cut(data, len, 1, 2);
	CU_ASSERT_EQUAL(parts_add(parts, "p", &part, parts, &joined, &joined_len), -ERR_INVALID);
	part = parts_cut(data, len, 2, 0);
	CU_ASSERT_EQUAL(parts_add(parts, "p", &part, parts, &joined, &joined_len), 0);
	part = parts_cut(data, len, 1, 1);
	CU_ASSERT_EQUAL(parts_add(parts, "p", &part, parts, &joined, &joined_len), -ERR_INVALID);
	/* Parts of another source don't matter. */
	for (size_t i = 0; i < 3; i++) {
		part = parts_cut(data, len, 3, i);
		CU_ASSERT_EQUAL(parts_add(parts, "p", &part, parts, &joined, &joined_len), 0);
		CU_ASSERT_EQUAL(joined != NULL, i == 2);
		part = parts_cut(data, len, 9, 0);
		CU_ASSERT_EQUAL(parts_add(parts, "q", &part, parts, &joined, &joined_len), 0);
	}
	talloc_free(parts);
}

/*
 * Guards against memory that senders can take by parts of messages that never end, and against a
 * message that is refused because of them.
 */
static void test_limits(void)
{
	struct parts *parts = parts_create(NULL);
	TALLOC_CTX *mem = talloc_new(NULL);
	uint8_t *data = talloc_zero_array(mem, uint8_t, PARTS_JOINED_MAX_BYTES);
	struct msg_part part = {1, 0, PARTS_JOINED_MAX_BYTES + 1, {data, PARTS_PART_BYTES}};
	char source[32];
	uint8_t *joined = NULL;
	size_t len;

	CU_ASSERT_EQUAL(parts_add(parts, "p", &part, mem, &joined, &len), -ERR_TOO_LARGE);
	part.total = 10;
	CU_ASSERT_EQUAL(parts_add(parts, "p", &part, mem, &joined, &len), -ERR_INVALID);
	part.total = 2 * PARTS_PART_BYTES;
	for (int i = 0; i < 200; i++) {
		snprintf(source, sizeof(source), "p%d", i);
		CU_ASSERT_EQUAL(parts_add(parts, source, &part, mem, &joined, &len), 0);
	}
	CU_ASSERT(talloc_total_size(parts) < PARTS_JOINED_MAX_BYTES + 1024 * 1024);
	for (size_t i = 0; i < parts_count(PARTS_JOINED_MAX_BYTES); i++) {
		part = parts_cut(data, PARTS_JOINED_MAX_BYTES, 7, i);
		CU_ASSERT_EQUAL(parts_add(parts, "q", &part, mem, &joined, &len), 0);
	}
	CU_ASSERT_PTR_NOT_NULL(joined);
	CU_ASSERT_EQUAL(len, PARTS_JOINED_MAX_BYTES);
	talloc_free(parts);
	talloc_free(mem);
}

/* Guards against memory that a crowd of peers takes by messages of which a byte has arrived. */
static void test_crowd(void)
{
	struct parts *parts = parts_create(NULL);
	TALLOC_CTX *mem = talloc_new(NULL);
	uint8_t byte = 0;
	struct msg_part part = {1, 0, 2, {&byte, 1}};
	char source[32];
	uint8_t *joined;
	size_t len;

	for (int i = 0; i < 20000; i++) {
		snprintf(source, sizeof(source), "p%d", i);
		CU_ASSERT_EQUAL(parts_add(parts, source, &part, mem, &joined, &len), 0);
	}
	CU_ASSERT(talloc_total_size(parts) < 1024 * 1024);
	/* The latest ones are still joined. */
	part.offset = 1;
	CU_ASSERT_EQUAL(parts_add(parts, "p0", &part, mem, &joined, &len), -ERR_INVALID);
	CU_ASSERT_EQUAL(parts_add(parts, source, &part, mem, &joined, &len), 0);
	CU_ASSERT_PTR_NOT_NULL(joined);
	talloc_free(parts);
	talloc_free(mem);
}

struct end {
	struct wire *wire;
	size_t lens[8];
	int received;
	bool intact;
};

static void on_message(const char *peer, struct msg *msg, void *ctx)
{
	struct end *end = ctx;
	const struct msg_bytes *json = &msg->u.worker_orders.json;

	CU_ASSERT_EQUAL(msg->type, MSG_WORKER_ORDERS);
	for (size_t i = 0; i < json->len; i++)
		end->intact = end->intact && json->data[i] == (uint8_t)(i * 31);
	end->lens[end->received++ % 8] = json->len;
}

/* Guards against orders of any size that never arrive, or arrive in another order. */
static void test_wire(void)
{
	static const size_t lens[] = {10, MSG_BODY_MAX,	    MSG_BODY_MAX + 1, 5 * MSG_BODY_MAX,
				      10, 20 * MSG_BODY_MAX};
	TALLOC_CTX *mem = talloc_new(NULL);
	struct tevent_context *ev = tevent_context_init(mem);
	struct end ends[2] = {{.intact = true}, {.intact = true}};
	uint8_t *data = talloc_array(mem, uint8_t, 40 * MSG_BODY_MAX);
	struct msg msg = {.type = MSG_WORKER_ORDERS};

	for (size_t i = 0; i < 40 * MSG_BODY_MAX; i++)
		data[i] = (uint8_t)(i * 31);
	for (int i = 0; i < 2; i++) {
		struct wire_handlers handlers = {on_message, &ends[i]};

		ends[i].wire = wire_create(mem, ev, i ? "b#1" : "a#1", "127.0.0.1:0", &handlers,
					   metrics_create(mem), NULL);
		CU_ASSERT_PTR_NOT_NULL_FATAL(ends[i].wire);
	}
	wire_connect(ends[0].wire, "b#1", wire_address(ends[1].wire));
	for (size_t i = 0; i < 6; i++) {
		msg.u.worker_orders.json = (struct msg_bytes){data, lens[i]};
		CU_ASSERT_EQUAL(wire_send(ends[0].wire, "b#1", &msg), 0);
	}
	while (ends[1].received < 6)
		tevent_loop_once(ev);
	/* And back over the same connection. */
	CU_ASSERT_EQUAL(wire_send(ends[1].wire, "a#1", &msg), 0);
	while (ends[0].received < 1)
		tevent_loop_once(ev);
	CU_ASSERT_TRUE(ends[0].intact && ends[1].intact);
	CU_ASSERT_EQUAL(ends[0].lens[0], lens[5]);
	for (size_t i = 0; i < 6; i++)
		CU_ASSERT_EQUAL(ends[1].lens[i], lens[i]);
	msg.u.worker_orders.json.len = 40 * MSG_BODY_MAX;
	CU_ASSERT_EQUAL(wire_send(ends[0].wire, "b#1", &msg), -ERR_TOO_LARGE);
	wire_destroy(ends[0].wire, 0);
	wire_destroy(ends[1].wire, 0);
	talloc_free(mem);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("parts", NULL, NULL);
	CU_add_test(suite, "sizes", test_sizes);
	CU_add_test(suite, "lost_parts", test_lost_parts);
	CU_add_test(suite, "limits", test_limits);
	CU_add_test(suite, "crowd", test_crowd);
	CU_add_test(suite, "wire", test_wire);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
