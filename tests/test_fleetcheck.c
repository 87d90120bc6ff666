#include "lib_fleetcheck.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

struct row {
	const char *description;
	/* "WORKER LINE" separated by commas; "WORKER gone MS" and "0 state STATE MS" as well */
	const char *record;
	const char
		*job; /* letters: a accepted, u unclear, r refused, c cancelled at 5000, g gang */
	const char *expected; /* kind of the violation; NULL: none */
};

#define TWO_RUNS "two runs at the same time"
#define AFTER_DONE "start after the task was done"

static const struct row rows[] = {
	{"one run after the other",
	 "0 start j.0.0.0 1 1000 5000, 0 end j.0.0.0 1 stopped 1500 1, 1 start j.0.0.0 2 1500 "
	 "5000, "
	 "1 end j.0.0.0 2 done 1800 1, 0 state completed 1900",
	 "a", NULL},
	{"two workers at a time",
	 "0 start j.0.0.0 1 1000 5000, 1 start j.0.0.0 2 1400 5000, 0 end j.0.0.0 1 done 1500 1",
	 "a", TWO_RUNS},
	{"two runs on one worker", "0 start j.0.0.0 1 1000 5000, 0 start j.0.0.0 2 1000 5000", "a",
	 TWO_RUNS},
	{"lease over before the next start",
	 "0 start j.0.0.0 1 1000 5000, 0 end j.0.0.0 1 lapsed 5000 1, 0 lapse 5000, "
	 "1 start j.0.0.0 2 5000 9000",
	 "a", NULL},
	{"worker killed before the next start",
	 "0 start j.0.0.0 1 1000 5000, 0 gone 1200, 1 start j.0.0.0 2 1201 5000", "a", NULL},
	{"start after done",
	 "0 start j.0.0.0 1 1000 5000, 0 end j.0.0.0 1 done 1500 1, 1 start j.0.0.0 2 1600 5600",
	 "a", AFTER_DONE},
	{"start after done and confirmed, worker killed later",
	 "0 start j.0.0.0 1 1000 5000, 0 end j.0.0.0 1 done 1500 1, 0 seen 1 1600, 0 gone 1700, "
	 "1 start j.0.0.0 2 2000 6000",
	 "a", AFTER_DONE},
	{"done but killed before it was confirmed",
	 "0 start j.0.0.0 1 1000 5000, 0 end j.0.0.0 1 done 1500 1, 0 gone 1700, "
	 "1 start j.0.0.0 2 2000 6000",
	 "a", NULL},
	{"done but lapsed before it was confirmed",
	 "0 start j.0.0.0 1 1000 5000, 0 end j.0.0.0 1 done 1500 1, 0 lapse 5000, 0 seen 1 9000, "
	 "1 start j.0.0.0 2 8000 12000",
	 "a", NULL},
	{"done, lapse only after the next start",
	 "0 start j.0.0.0 1 1000 5000, 0 end j.0.0.0 1 done 1500 1, 0 lapse 5000, "
	 "1 start j.0.0.0 2 4000 8000",
	 "a", AFTER_DONE},
	{"refused job", "0 start j.0.0.0 1 1000 5000", "r", "start of a refused job"},
	{"refused after an unclear answer", "0 start j.0.0.0 1 1000 5000", "ru", NULL},
	{"refused and submitted again", "0 start j.0.0.0 1 1000 5000", "rp", NULL},
	{"start soon after a cancellation", "0 start j.0.0.0 1 7900 11900", "ac", NULL},
	{"start after a cancellation", "0 start j.0.0.0 1 8100 12100", "ac",
	 "start after a cancellation"},
	{"late start after a cancellation", "0 start j.0.0.0 1 8100 11000", "ac", NULL},
	{"start on a draining worker", "0 drain 1 1000, 0 start j.0.0.0 1 3100 7100", "a",
	 "start on a draining worker"},
	{"start before and after draining",
	 "0 drain 1 1000, 0 start j.0.0.0 1 2900 6900, 0 end j.0.0.0 1 stopped 3000 1, 0 drain 0 "
	 "4000, "
	 "0 start j.0.0.0 2 4100 8100",
	 "a", NULL},
	{"completed too early", "0 start j.0.0.0 1 1000 5000, 0 state completed 1200", "a",
	 "completed before all tasks are done"},
	{"gang completed by one member",
	 "0 start j.0.0.0 1 1000 5000, 1 start j.0.0.1 1 1000 5000, 0 end j.0.0.0 1 done 1100 1, "
	 "0 state completed 1200",
	 "ag", NULL},
	{"unknown job", "0 state unknown 1200", "a", "accepted job is unknown"},
	{"unknown refused job", "0 state unknown 1200", "r", NULL},
	{"cancelled without a request", "0 state cancelled 1200", "a",
	 "job is cancelled without a request"},
};

static void add_record(struct fleetcheck *check, struct fleetcheck_job *job, const char *record)
{
	g_auto(GStrv) lines = g_strsplit(record, ",", -1);

	for (size_t i = 0; lines[i]; i++) {
		char *line = g_strstrip(lines[i]);
		unsigned int worker = (unsigned int)(line[0] - '0');
		unsigned int ms;
		char state[16];

		if (sscanf(line + 2, "gone %u", &ms) == 1)
			fleetcheck_worker_gone(check, worker, ms);
		else if (sscanf(line + 2, "state %15s %u", state, &ms) == 2)
			fleetcheck_state(check, job, state, ms);
		else
			fleetcheck_line(check, worker, line + 2);
	}
}

/* Guards against a soak that passes because a check finds nothing, or finds faults that are none.
 */
static void test_rows(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		const struct row *row = &rows[i];
		struct fleetcheck *check = fleetcheck_create(0);
		struct fleetcheck_job *job = fleetcheck_job(check, "j");
		unsigned int expected = row->expected ? 1 : 0;

		fleetcheck_worker(check, "worker0");
		fleetcheck_worker(check, "worker1");
		job->gang[0] = strchr(row->job, 'g') != NULL;
		job->steps[0] = job->gang[0] ? 2 : 1;
		job->accepted = strchr(row->job, 'a') != NULL;
		job->unclear = strchr(row->job, 'u') != NULL;
		job->refused = strchr(row->job, 'r') != NULL;
		job->pending = strchr(row->job, 'p') != NULL;
		job->cancel_sent = strchr(row->job, 'c') != NULL;
		if (job->cancel_sent)
			job->cancelled_ms = 5000;
		add_record(check, job, row->record);
		fleetcheck_run(check);
		fleetcheck_run(check);
		if (fleetcheck_count(check, NULL) != expected ||
		    (row->expected && fleetcheck_count(check, row->expected) != 1)) {
			fprintf(stderr, "row \"%s\": %u violations\n", row->description,
				fleetcheck_count(check, NULL));
			CU_FAIL("the check of a row gave a wrong result");
		}
		fleetcheck_free(check);
	}
}

/* Guards against starts in an evacuated zone that are not noticed, or are allowed ones. */
static void test_evacuated(void)
{
	static const struct {
		const char *zone;
		uint64_t returned_ms;  /* 0: it was not */
		uint64_t disturbed_ms; /* 0: it was not */
		const char *line;      /* of an evacuation at 1000 */
		bool found;
	} cases[] = {
		{"z", 0, 0, "start j.0.0.0 1 6000 10000", false},
		{"z", 0, 0, "start j.0.0.0 1 6001 10001", true},
		{"y", 0, 0, "start j.0.0.0 1 6001 10001", false},
		{"z", 6001, 0, "start j.0.0.0 1 6001 10001", false},
		{"z", 6002, 0, "start j.0.0.0 1 6001 10001", true},
		{"z", 0, 5000, "start j.0.0.0 1 12000 16000", false},
		{"z", 0, 5000, "start j.0.0.0 1 12001 16001", true},
		{"z", 0, 13000, "start j.0.0.0 1 6001 10001", true},
		/* Ordered at 5000 and carried out late. */
		{"z", 0, 0, "late 9000 x\nstart j.0.0.0 1 9000 9000", false},
		{"z", 0, 0, "late 9000 x\nstart j.0.0.0 1 9000 13000", true},
		{"z", 0, 0, "late 9000 x\nseen 1 9000\nstart j.0.0.0 1 9000 9000", true},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct fleetcheck *check = fleetcheck_create(0);
		g_auto(GStrv) lines = g_strsplit(cases[i].line, "\n", 0);
		unsigned int worker = fleetcheck_worker(check, "w");

		fleetcheck_zone(check, worker, "z");
		fleetcheck_evacuated(check, cases[i].zone, 1000);
		if (cases[i].returned_ms)
			fleetcheck_returned(check, cases[i].zone, cases[i].returned_ms);
		if (cases[i].disturbed_ms)
			fleetcheck_disturbed(check, cases[i].disturbed_ms);
		for (size_t k = 0; lines[k]; k++)
			fleetcheck_line(check, worker, lines[k]);
		fleetcheck_run(check);
		CU_ASSERT_EQUAL(fleetcheck_count(check, "start in an evacuated zone"),
				cases[i].found);
		fleetcheck_free(check);
	}
}

/* Guards against an accepted job that never ends and is not noticed. */
static void test_not_completed(void)
{
	struct fleetcheck *check = fleetcheck_create(0);
	struct fleetcheck_job *job = fleetcheck_job(check, "j");

	job->accepted = true;
	job->steps[0] = 1;
	fleetcheck_state(check, job, "running", 1000);
	fleetcheck_finish(check);
	CU_ASSERT_EQUAL(fleetcheck_count(check, "accepted job did not complete"), 1);
	job->cancel_sent = true;
	fleetcheck_state(check, job, "cancelled", 2000);
	fleetcheck_finish(check);
	CU_ASSERT_EQUAL(fleetcheck_count(check, NULL), 1);
	fleetcheck_free(check);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("fleetcheck", NULL, NULL);
	CU_add_test(suite, "rows", test_rows);
	CU_add_test(suite, "evacuated", test_evacuated);
	CU_add_test(suite, "not_completed", test_not_completed);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
