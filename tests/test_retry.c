#include "retry.h"

#include <CUnit/Basic.h>

static int count_allowed(struct retry *retry, int attempts, uint64_t now_ms)
{
	int count = 0;

	for (int i = 0; i < attempts; i++)
		count += retry_try_spend(retry, now_ms);
	return count;
}

/* Guards against retries that multiply an overload: at most 10% of requests plus 10/s. */
static void test_budget(void)
{
	static const struct {
		int requests;
		int percent;
		int per_s;
		int expected;
		uint64_t later_ms;
	} cases[] = {
		{0, 10, 10, 10, 0},    {1000, 10, 10, 110, 0}, {1000, 0, 10, 10, 0},
		{1000, 10, 0, 100, 0}, {0, 10, 10, 10, 60000}, {100000, 10, 10, 110, 0},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct retry *retry = retry_create(NULL, 1, 5000);

		retry_set_limits(retry, (uint32_t)cases[i].percent, (uint32_t)cases[i].per_s);
		for (int n = 0; n < cases[i].requests; n++)
			retry_add_request(retry);
		CU_ASSERT_EQUAL(count_allowed(retry, 5000, 5000 + cases[i].later_ms),
				cases[i].expected);
		talloc_free(retry);
	}
}

/* Guards against a budget that does not refill, or refills faster than its rate. */
static void test_refill(void)
{
	struct retry *retry = retry_create(NULL, 1, 0);
	int total = 0;

	CU_ASSERT_EQUAL(count_allowed(retry, 100, 0), 10);
	for (uint64_t now = 1; now <= 10000; now++)
		total += count_allowed(retry, 5, now);
	CU_ASSERT_EQUAL(total, 100);
	talloc_free(retry);
}

/* Guards against synchronised retries: delays spread over the whole range, which is bounded. */
static void test_backoff(void)
{
	struct retry *retry = retry_create(NULL, 7, 0);
	uint32_t low = UINT32_MAX;
	uint32_t high = 0;

	for (int i = 0; i < 1000; i++) {
		uint32_t delay = retry_backoff_ms(retry, 0);

		low = delay < low ? delay : low;
		high = delay > high ? delay : high;
		CU_ASSERT(retry_backoff_ms(retry, 1000) <= 1000);
	}
	CU_ASSERT_EQUAL(low, 0);
	CU_ASSERT_EQUAL(high, 20);
	talloc_free(retry);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("retry", NULL, NULL);
	CU_add_test(suite, "budget", test_budget);
	CU_add_test(suite, "refill", test_refill);
	CU_add_test(suite, "backoff", test_backoff);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
