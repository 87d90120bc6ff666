#include "outcome.h"

#include <CUnit/Basic.h>
#include <string.h>

#define RECORDS 4
#define CACHE_BYTES 1000

static struct streams *streams;

static struct answer *filled_answer(size_t len)
{
	struct answer *answer = answer_create(streams, true);
	char bytes[CACHE_BYTES] = {0};

	answer_append(answer, bytes, len);
	return answer;
}

static int run_key(struct outcomes *o, uint64_t key, size_t len, uint64_t now)
{
	struct answer *answer = filled_answer(len);
	int ret = outcomes_start(o, key, answer, now);

	answer_finish(answer, 0);
	outcomes_finish(o, key, now);
	answer_unref(answer);
	return ret;
}

/* Guards against running a key again because its record was dropped before its time. */
static void test_full(void)
{
	struct outcomes *o = outcomes_create(NULL, RECORDS, CACHE_BYTES);
	struct answer *answer;
	uint64_t later = OUTCOME_MIN_MS + 10;

	for (uint64_t key = 1; key < RECORDS; key++)
		CU_ASSERT_EQUAL(run_key(o, key, 10, key), 0);
	CU_ASSERT_EQUAL(outcomes_fence(o, RECORDS, RECORDS), 0);
	CU_ASSERT_EQUAL(run_key(o, 99, 10, 10), -ERR_QUEUE_FULL);
	CU_ASSERT_EQUAL(outcomes_fence(o, 99, 10), -ERR_QUEUE_FULL);
	CU_ASSERT_EQUAL(outcomes_fence(o, 1, 10), -ERR_EXISTS);
	CU_ASSERT_EQUAL(run_key(o, RECORDS, 10, 10), -ERR_EXISTS);
	/* From here on key 1 is dropped, so an unknown key may have run. */
	CU_ASSERT_EQUAL(run_key(o, 99, 10, later), 0);
	CU_ASSERT_EQUAL(outcomes_find(o, 1, &answer), OUTCOME_NONE);
	CU_ASSERT_EQUAL(outcomes_fence(o, 1, later), -ERR_OUTCOME_UNKNOWN);
	CU_ASSERT_EQUAL(outcomes_fence(o, 2, later), -ERR_EXISTS);
	CU_ASSERT_EQUAL(outcomes_find(o, RECORDS, &answer), OUTCOME_FENCED);
	outcomes_tick(o, OUTCOME_TTL_MS + 3);
	CU_ASSERT_EQUAL(outcomes_find(o, 3, &answer), OUTCOME_NONE);
	CU_ASSERT_EQUAL(outcomes_find(o, 99, &answer), OUTCOME_FINISHED);
	CU_ASSERT_EQUAL(outcomes_fence(o, 1, OUTCOME_TTL_MS + 3), 0);
	talloc_free(o);
}

/* Guards against records that end before the entries' claims on their keys. */
static void test_ttl(void)
{
	struct outcomes *o = outcomes_create(NULL, 0, 0);
	struct answer *answer;

	outcomes_set_ttl(o, 2 * OUTCOME_MIN_MS);
	CU_ASSERT_EQUAL(run_key(o, 1, 10, 0), 0);
	outcomes_tick(o, 2 * OUTCOME_MIN_MS - 1);
	CU_ASSERT_EQUAL(outcomes_find(o, 1, &answer), OUTCOME_FINISHED);
	outcomes_tick(o, 2 * OUTCOME_MIN_MS);
	CU_ASSERT_EQUAL(outcomes_find(o, 1, &answer), OUTCOME_NONE);
	talloc_free(o);
}

/* Guards against a cache that grows without bound, or that takes the record with the answer. */
static void test_cache(void)
{
	struct outcomes *o = outcomes_create(NULL, 0, CACHE_BYTES);
	struct answer *answer;

	CU_ASSERT_EQUAL(run_key(o, 1, 600, 1), 0);
	CU_ASSERT_EQUAL(outcomes_find(o, 1, &answer), OUTCOME_FINISHED);
	CU_ASSERT_PTR_NOT_NULL(answer);
	CU_ASSERT_EQUAL(run_key(o, 2, 600, 2), 0);
	CU_ASSERT_EQUAL(outcomes_find(o, 1, &answer), OUTCOME_FINISHED);
	CU_ASSERT_PTR_NULL(answer);
	CU_ASSERT_EQUAL(outcomes_find(o, 2, &answer), OUTCOME_FINISHED);
	CU_ASSERT_PTR_NOT_NULL(answer);
	talloc_free(o);
}

/* Guards against a key that stays taken although its work certainly did not run. */
static void test_forget(void)
{
	struct outcomes *o = outcomes_create(NULL, 0, 0);
	struct answer *answer = filled_answer(1);
	struct answer *found;

	CU_ASSERT_EQUAL(outcomes_start(o, 5, answer, 1), 0);
	CU_ASSERT_EQUAL(outcomes_find(o, 5, &found), OUTCOME_RUNNING);
	CU_ASSERT_PTR_EQUAL(found, answer);
	outcomes_forget(o, 5);
	CU_ASSERT_EQUAL(outcomes_find(o, 5, &found), OUTCOME_NONE);
	CU_ASSERT_EQUAL(outcomes_fence(o, 5, 1), 0);
	outcomes_forget(o, 5);
	CU_ASSERT_EQUAL(outcomes_find(o, 5, &found), OUTCOME_FENCED);
	answer_unref(answer);
	talloc_free(o);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	streams = streams_create(NULL, NULL, NULL, NULL, NULL);
	CU_initialize_registry();
	suite = CU_add_suite("outcome", NULL, NULL);
	CU_add_test(suite, "full", test_full);
	CU_add_test(suite, "ttl", test_ttl);
	CU_add_test(suite, "cache", test_cache);
	CU_add_test(suite, "forget", test_forget);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	talloc_free(streams);
	return failures != 0;
}
