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

static int run_key(struct outcomes *outcomes, uint64_t key, size_t len, uint64_t now)
{
	struct answer *answer = filled_answer(len);
	int ret = outcomes_start(outcomes, key, answer, now);

	answer_finish(answer, 0);
	outcomes_finish(outcomes, key, now);
	answer_unref(answer);
	return ret;
}

/* Guards against running a key again because its record was dropped before it expired. */
static void test_full(void)
{
	struct outcomes *outcomes = outcomes_create(NULL, RECORDS, CACHE_BYTES);
	struct answer *answer;
	uint64_t later = OUTCOME_TTL_MIN_MS + 10;

	for (uint64_t key = 1; key < RECORDS; key++)
		CU_ASSERT_EQUAL(run_key(outcomes, key, 10, key), 0);
	CU_ASSERT_EQUAL(outcomes_fence(outcomes, RECORDS, RECORDS), 0);
	CU_ASSERT_EQUAL(run_key(outcomes, 99, 10, 10), -ERR_QUEUE_FULL);
	CU_ASSERT_EQUAL(outcomes_fence(outcomes, 99, 10), -ERR_QUEUE_FULL);
	CU_ASSERT_EQUAL(outcomes_fence(outcomes, 1, 10), -ERR_EXISTS);
	CU_ASSERT_EQUAL(run_key(outcomes, RECORDS, 10, 10), -ERR_EXISTS);
	/* From here on key 1 is dropped, so an unknown key may have run. */
	CU_ASSERT_EQUAL(run_key(outcomes, 99, 10, later), 0);
	CU_ASSERT_EQUAL(outcomes_find(outcomes, 1, &answer), OUTCOME_NONE);
	CU_ASSERT_EQUAL(outcomes_fence(outcomes, 1, later), -ERR_OUTCOME_UNKNOWN);
	CU_ASSERT_EQUAL(outcomes_fence(outcomes, 2, later), -ERR_EXISTS);
	CU_ASSERT_EQUAL(outcomes_find(outcomes, RECORDS, &answer), OUTCOME_FENCED);
	outcomes_drop_expired(outcomes, OUTCOME_TTL_MS + 3);
	CU_ASSERT_EQUAL(outcomes_find(outcomes, 3, &answer), OUTCOME_NONE);
	CU_ASSERT_EQUAL(outcomes_find(outcomes, 99, &answer), OUTCOME_FINISHED);
	CU_ASSERT_EQUAL(outcomes_fence(outcomes, 1, OUTCOME_TTL_MS + 3), 0);
	talloc_free(outcomes);
}

/* Guards against records that expire before the entries' claims on their keys. */
static void test_ttl(void)
{
	struct outcomes *outcomes = outcomes_create(NULL, 0, 0);
	struct answer *answer;

	outcomes_set_ttl(outcomes, 2 * OUTCOME_TTL_MIN_MS);
	CU_ASSERT_EQUAL(run_key(outcomes, 1, 10, 0), 0);
	outcomes_drop_expired(outcomes, 2 * OUTCOME_TTL_MIN_MS - 1);
	CU_ASSERT_EQUAL(outcomes_find(outcomes, 1, &answer), OUTCOME_FINISHED);
	outcomes_drop_expired(outcomes, 2 * OUTCOME_TTL_MIN_MS);
	CU_ASSERT_EQUAL(outcomes_find(outcomes, 1, &answer), OUTCOME_NONE);
	talloc_free(outcomes);
}

/* Guards against a cache without bound, and an eviction that drops the record with the answer. */
static void test_cache(void)
{
	struct outcomes *outcomes = outcomes_create(NULL, 0, CACHE_BYTES);
	struct answer *answer;

	CU_ASSERT_EQUAL(run_key(outcomes, 1, 600, 1), 0);
	CU_ASSERT_EQUAL(outcomes_find(outcomes, 1, &answer), OUTCOME_FINISHED);
	CU_ASSERT_PTR_NOT_NULL(answer);
	CU_ASSERT_EQUAL(run_key(outcomes, 2, 600, 2), 0);
	CU_ASSERT_EQUAL(outcomes_find(outcomes, 1, &answer), OUTCOME_FINISHED);
	CU_ASSERT_PTR_NULL(answer);
	CU_ASSERT_EQUAL(outcomes_find(outcomes, 2, &answer), OUTCOME_FINISHED);
	CU_ASSERT_PTR_NOT_NULL(answer);
	talloc_free(outcomes);
}

/* Guards against a key that stays recorded although its request certainly did not run. */
static void test_forget(void)
{
	struct outcomes *outcomes = outcomes_create(NULL, 0, 0);
	struct answer *answer = filled_answer(1);
	struct answer *found;

	CU_ASSERT_EQUAL(outcomes_start(outcomes, 5, answer, 1), 0);
	CU_ASSERT_EQUAL(outcomes_find(outcomes, 5, &found), OUTCOME_RUNNING);
	CU_ASSERT_PTR_EQUAL(found, answer);
	outcomes_forget(outcomes, 5);
	CU_ASSERT_EQUAL(outcomes_find(outcomes, 5, &found), OUTCOME_NONE);
	CU_ASSERT_EQUAL(outcomes_fence(outcomes, 5, 1), 0);
	outcomes_forget(outcomes, 5);
	CU_ASSERT_EQUAL(outcomes_find(outcomes, 5, &found), OUTCOME_FENCED);
	answer_unref(answer);
	talloc_free(outcomes);
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
