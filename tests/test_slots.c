#include "slots.h"

#include <CUnit/Basic.h>

static const struct slots_capacity capacity = {
	.slots = 2,
	.connections = 3,
	.accelerators = 8,
	.cores = 16,
	.memory_mb = 1000,
};

struct reserve_case {
	uint64_t mask;
	uint32_t cores;
	uint32_t memory_mb;
	int status;
	uint64_t free_after;
};

/* Guards against reserving an accelerator, core or MB twice, and against partial reservations. */
static void test_reserve(void)
{
	static const struct reserve_case cases[] = {
		{0x0f, 8, 500, 0, 0xf0},
		{0x18, 1, 1, -ERR_NO_TARGET, 0xf0},
		{0x100, 1, 1, -ERR_NO_TARGET, 0xf0},
		{0x10, 9, 1, -ERR_NO_TARGET, 0xf0},
		{0x10, 1, 501, -ERR_NO_TARGET, 0xf0},
		{0xf0, 8, 500, 0, 0},
	};
	struct slots *slots = slots_create(NULL);
	struct err err;

	slots_set_capacity(slots, &capacity);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct reserve_case *c = &cases[i];

		CU_ASSERT_EQUAL(slots_reserve(slots, c->mask, c->cores, c->memory_mb, &err),
				c->status);
		CU_ASSERT_EQUAL(slots_free_mask(slots), c->free_after);
	}
	slots_release(slots, 0x0f, 8, 500);
	CU_ASSERT_EQUAL(slots_free_mask(slots), 0x0f);
	CU_ASSERT_EQUAL(slots_reserve(slots, 0x01, 8, 500, &err), 0);
	talloc_free(slots);
}

/* Guards against admitting more requests than there are slots or connections. */
static void test_requests(void)
{
	struct slots *slots = slots_create(NULL);
	struct slots_capacity changed = capacity;

	CU_ASSERT_EQUAL(slots_acquire_request(slots), -ERR_NO_TARGET);
	slots_set_capacity(slots, &capacity);
	CU_ASSERT_EQUAL(slots_acquire_request(slots), 0);
	CU_ASSERT_EQUAL(slots_acquire_request(slots), 0);
	CU_ASSERT_EQUAL(slots_acquire_request(slots), -ERR_NO_TARGET);
	changed.slots = 8;
	changed.connections = 2;
	slots_set_capacity(slots, &changed);
	CU_ASSERT_EQUAL(slots_acquire_request(slots), -ERR_NO_TARGET);
	slots_release_request(slots);
	CU_ASSERT_EQUAL(slots_in_flight(slots), 1);
	CU_ASSERT_EQUAL(slots_acquire_request(slots), 0);
	talloc_free(slots);
}

/* Guards against freeing what is still in use when a worker announces a smaller capacity. */
static void test_shrunk_capacity(void)
{
	struct slots_capacity changed = capacity;
	struct slots *slots = slots_create(NULL);

	slots_set_capacity(slots, &capacity);
	CU_ASSERT_EQUAL(slots_reserve(slots, 0xf0, 12, 900, NULL), 0);
	changed.accelerators = 4;
	changed.cores = 8;
	slots_set_capacity(slots, &changed);
	CU_ASSERT_EQUAL(slots_free_mask(slots), 0x0f);
	CU_ASSERT_EQUAL(slots_reserve(slots, 0x01, 1, 1, NULL), -ERR_NO_TARGET);
	slots_release(slots, 0xf0, 12, 900);
	CU_ASSERT_EQUAL(slots_reserve(slots, 0x0f, 8, 1000, NULL), 0);
	changed.accelerators = 64;
	slots_set_capacity(slots, &changed);
	CU_ASSERT_EQUAL(slots_free_mask(slots), ~(uint64_t)0x0f);
	talloc_free(slots);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("slots", NULL, NULL);
	CU_add_test(suite, "hold", test_reserve);
	CU_add_test(suite, "requests", test_requests);
	CU_add_test(suite, "shrink", test_shrunk_capacity);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
