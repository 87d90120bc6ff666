#include "msg.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <string.h>

/* Guards against fields that are lost or swapped between encode and decode. */
static void test_round_trip(void)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct msg_row rows[2] = {
		{.node = "a", .zone = "naxos", .slots = 8, .version = 7},
		{.node = "b", .accelerators_free = UINT64_MAX},
	};
	struct msg in = {.type = MSG_TARGET_DELTA};
	struct msg *out;
	uint8_t *data;
	size_t len;

	in.u.target_delta.rows = rows;
	in.u.target_delta.row_count = 2;
	CU_ASSERT_EQUAL_FATAL(msg_encode(&in, mem, &data, &len), 0);
	CU_ASSERT_EQUAL_FATAL(msg_decode(mem, data, len, &out, NULL), 0);
	CU_ASSERT_EQUAL_FATAL(out->u.target_delta.row_count, 2);
	CU_ASSERT_STRING_EQUAL(out->u.target_delta.rows[0].zone, "naxos");
	CU_ASSERT_EQUAL(out->u.target_delta.rows[0].version, 7);
	CU_ASSERT_EQUAL(out->u.target_delta.rows[1].accelerators_free, UINT64_MAX);
	talloc_free(mem);
}

/* Guards against crashes and unbounded memory use on malformed messages. */
static void test_fuzz(void)
{
	struct util_rng rng = {.state = 1};
	struct msg in = {.type = MSG_START};
	const char *nodes[3] = {"n1", "n2", "n3"};

	in.u.start.job = "0123456789abcdef";
	in.u.start.nodes.items = nodes;
	in.u.start.nodes.count = 3;
	for (int i = 0; i < 20000; i++) {
		TALLOC_CTX *mem = talloc_new(NULL);
		struct msg *out;
		uint8_t *data;
		size_t len;

		msg_encode(&in, mem, &data, &len);
		for (uint64_t flips = util_rng_below(&rng, 4) + 1; flips > 0; flips--)
			data[util_rng_below(&rng, len)] = (uint8_t)util_rng_next(&rng);
		msg_decode(mem, data, util_rng_below(&rng, len + 1), &out, NULL);
		CU_ASSERT_FATAL(talloc_total_size(mem) < 1024 * 1024);
		talloc_free(mem);
	}
	CU_PASS("no crash");
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("msg", NULL, NULL);
	CU_add_test(suite, "round trip", test_round_trip);
	CU_add_test(suite, "fuzz", test_fuzz);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
