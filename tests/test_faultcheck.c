#include "lib_faultcheck.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

struct row {
	const char *description;
	const char *state; /* of the job */
	unsigned int members;
	bool idempotent;
	/* "ATTEMPT.MEMBER START END STATE REASON" of each task, all on one worker */
	const char *tasks;
	struct faultcheck_result expected; /* only the counters lost, doubled and partial_gangs */
};

static const struct row rows[] = {
	{"whole gang", "done", 2, true, "1.0 100 5000 done -, 1.1 200 5100 done -", {0}},
	{"ended before it started again",
	 "done",
	 1,
	 true,
	 "1.0 100 900 stopped lapsed, 2.0 1000 2000 done -",
	 {0}},
	{"attempts overlap",
	 "done",
	 1,
	 true,
	 "1.0 100 900 stopped asked, 2.0 800 2000 done -",
	 {.doubled = 1}},
	{"one member twice",
	 "done",
	 1,
	 true,
	 "1.0 100 900 done -, 1.0 1000 2000 done -",
	 {.lost = 1, .doubled = 1}},
	{"not idempotent, again after a failure",
	 "done",
	 1,
	 false,
	 "1.0 100 900 stopped lapsed, 2.0 1000 2000 done -",
	 {.doubled = 1}},
	{"not idempotent, again after an eviction",
	 "done",
	 1,
	 false,
	 "1.0 100 900 stopped asked, 2.0 1000 2000 done -",
	 {0}},
	{"member missing from the start",
	 "failed",
	 2,
	 true,
	 "1.0 100 4200 stopped asked",
	 {.partial_gangs = 1}},
	{"member missing shortly", "failed", 2, true, "1.0 100 4000 stopped asked", {0}},
	{"member lost, the other goes on",
	 "failed",
	 2,
	 true,
	 "1.0 100 1000 stopped lapsed, 1.1 100 5100 stopped asked",
	 {.partial_gangs = 1}},
	{"member done early", "done", 2, true, "1.0 100 1000 done -, 1.1 100 9000 done -", {0}},
	{"done without a run", "done", 1, true, "", {.lost = 1}},
	{"done with part of its members", "done", 2, true, "1.0 100 900 done -", {.lost = 1}},
	{"cancelled without request", "cancelled", 1, true, "", {.lost = 1}},
	{"not ended", "running", 1, true, "", {.lost = 1}},
};

static json_t *create_history(const char *tasks)
{
	json_t *list = json_array();
	char text[256];
	char *save = NULL;

	snprintf(text, sizeof(text), "%s", tasks);
	for (char *word = strtok_r(text, ",", &save); word; word = strtok_r(NULL, ",", &save)) {
		char number[16];
		char state[16];
		char reason[16];
		char id[32];
		int start;
		int end;

		if (sscanf(word, " %15s %d %d %15s %15s", number, &start, &end, state, reason) != 5)
			CU_FAIL("cannot parse the tasks of a row");
		snprintf(id, sizeof(id), "job.%s", number);
		json_array_append_new(list, json_pack("{s:s, s:s, s:s, s:i, s:i}", "id", id,
						      "state", state, "reason", reason,
						      "started_ms", start, "ended_ms", end));
	}
	return json_pack("{s:o}", "tasks", list);
}

/* The checks of the fault experiment must find each kind of fault, and only faults. */
static void test_rows(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		const struct row *row = &rows[i];
		struct faultload_job job = {.id = "job", .class_name = "class"};
		struct faultcheck *check = faultcheck_create();
		GPtrArray *jobs = g_ptr_array_new();
		json_t *history = create_history(row->tasks);
		struct faultcheck_result got;

		job.members = row->members;
		job.idempotent = row->idempotent;
		job.ended = strcmp(row->state, "running") != 0;
		snprintf(job.state, sizeof(job.state), "%s", row->state);
		g_ptr_array_add(jobs, &job);
		faultcheck_add(check, "worker", history, UINT64_MAX);
		got = faultcheck_check_jobs(check, jobs);
		if (got.lost != row->expected.lost || got.doubled != row->expected.doubled ||
		    got.partial_gangs != row->expected.partial_gangs) {
			fprintf(stderr, "row \"%s\": lost %u, doubled %u, partial %u\n",
				row->description, got.lost, got.doubled, got.partial_gangs);
			CU_FAIL("the check of a row gave a wrong result");
		}
		json_decref(history);
		g_ptr_array_free(jobs, TRUE);
		faultcheck_free(check);
	}
}

static unsigned int count_partial_gangs(const char *worker, const char *other_worker,
					unsigned int members, bool frozen)
{
	struct faultload_job job = {
		.id = "job", .class_name = "class", .members = members, .ended = true};
	struct faultcheck *check = faultcheck_create();
	GPtrArray *jobs = g_ptr_array_new();
	json_t *first = create_history(worker);
	json_t *second = create_history(other_worker);
	struct faultcheck_result got;

	snprintf(job.state, sizeof(job.state), "failed");
	g_ptr_array_add(jobs, &job);
	faultcheck_add(check, "worker", first, UINT64_MAX);
	faultcheck_add(check, "other", second, UINT64_MAX);
	if (frozen)
		faultcheck_add_freeze(check, "worker", 500, 5000);
	got = faultcheck_check_jobs(check, jobs);
	json_decref(first);
	json_decref(second);
	g_ptr_array_free(jobs, TRUE);
	faultcheck_free(check);
	return got.partial_gangs;
}

/*
 * A frozen worker runs nothing. Of two members on it one may lapse and one be done when it goes on,
 * if only the second one's renewal was waiting for it: fault_seed_1 showed that as a gang that ran
 * in part for the time of the freeze. A member on another worker does run meanwhile.
 */
static void test_frozen_members(void)
{
	static const char frozen[] = "1.0 100 5000 stopped lapsed, 1.1 100 5003 done -";

	CU_ASSERT_EQUAL(count_partial_gangs(frozen, "", 2, true), 0);
	CU_ASSERT_EQUAL(count_partial_gangs(frozen, "1.2 100 2500 done -", 3, true), 0);
	CU_ASSERT_EQUAL(count_partial_gangs(frozen, "1.2 100 9000 done -", 3, true), 1);
	CU_ASSERT_EQUAL(count_partial_gangs("1.0 100 600 stopped lapsed, 1.1 100 5003 done -", "",
					    2, false),
			1);
}

int main(void)
{
	unsigned int failures;
	CU_pSuite suite;

	CU_initialize_registry();
	suite = CU_add_suite("faultcheck", NULL, NULL);
	CU_add_test(suite, "rows", test_rows);
	CU_add_test(suite, "frozen_members", test_frozen_members);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
