#include "lib_planworld.h"

#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#define SMALL                                                                                     \
	"[{\"tasks\":4,\"cpu_milli\":8000,\"memory_mb\":1000,\"accelerators\":1,\"estimate_ms\":" \
	"1000}]"
#define LARGE_GANG                                                                   \
	"[{\"tasks\":3,\"cpu_milli\":50000,\"memory_mb\":200000,\"accelerators\":8," \
	"\"estimate_ms\":3000,\"gang\":true,\"one_rack\":true}]"
#define WHOLE_WORKER(tasks, ms)                                                              \
	"[{\"tasks\":" #tasks ",\"cpu_milli\":15000,\"memory_mb\":44000,\"accelerators\":8," \
	"\"estimate_ms\":" #ms "}]"
#define FILL                                                                        \
	"[{\"tasks\":48,\"cpu_milli\":8000,\"memory_mb\":20000,\"accelerators\":1," \
	"\"estimate_ms\":8000}]"

static void check_and_free(struct planworld *w)
{
	CU_ASSERT_PTR_NULL(w->violation);
	if (w->violation)
		printf("\n%s: %s\n", w->violation, w->violation_task);
	talloc_free(w);
}

/* Guards against a job that is never placed, or is not seen to end. */
static void test_simple(void)
{
	struct planworld *w = planworld_create(NULL, 3);

	planworld_job(w, "j1", "batch", "b", SMALL);
	CU_ASSERT_EQUAL(plan_pending(w->plan, "batch"), 1);
	planworld_run(w, 100);
	CU_ASSERT_EQUAL(planworld_count(w, "j1."), 4);
	CU_ASSERT_EQUAL(planworld_state(w, "j1"), PLAN_JOB_RUNNING);
	CU_ASSERT_EQUAL(plan_pending(w->plan, "batch"), 0);
	planworld_run(w, 1200);
	CU_ASSERT_EQUAL(planworld_state(w, "j1"), PLAN_JOB_COMPLETED);
	check_and_free(w);
}

/* Guards against a step that begins before the steps it waits for have ended. */
static void test_order_of_steps(void)
{
	struct planworld *w = planworld_create(NULL, 3);

	planworld_job(w, "j1", "batch", "b",
		      "[{\"tasks\":2,\"estimate_ms\":500,\"cpu_milli\":1000},"
		      "{\"tasks\":2,\"estimate_ms\":500,\"cpu_milli\":1000,\"after_steps\":[0]}]");
	planworld_run(w, 400);
	CU_ASSERT_EQUAL(planworld_count(w, "j1.0.0."), 2);
	CU_ASSERT_EQUAL(planworld_count(w, "j1.0.1."), 0);
	planworld_run(w, 400);
	CU_ASSERT_EQUAL(planworld_count(w, "j1.0.1."), 2);
	planworld_run(w, 600);
	CU_ASSERT_EQUAL(planworld_state(w, "j1"), PLAN_JOB_COMPLETED);
	check_and_free(w);
}

/* Guards against a gang that starts in part, or leaves its rack though one would hold it. */
static void test_gang(void)
{
	struct planworld *w = planworld_create(NULL, 6);

	planworld_job(w, "f1", "large", "b",
		      "[{\"tasks\":1,\"cpu_milli\":1000,\"accelerators\":1,\"estimate_ms\":2000}]");
	planworld_run(w, 50);
	planworld_job(w, "g1", "large", "b", LARGE_GANG);
	planworld_run(w, 50);
	CU_ASSERT_EQUAL(planworld_count(w, "g1."), 3);
	planworld_job(w, "g2", "large", "b", LARGE_GANG);
	planworld_run(w, 1500);
	CU_ASSERT_EQUAL(planworld_count(w, "g2."), 0);
	planworld_run(w, 3000);
	CU_ASSERT_EQUAL(planworld_count(w, "g2."), 3);
	planworld_run(w, 3500);
	CU_ASSERT_EQUAL(planworld_state(w, "g2"), PLAN_JOB_COMPLETED);
	check_and_free(w);
}

/*
 * Guards against urgent tasks that all wait because there is room for only some of them: the
 * load is an urgent job as wide as the fleet, of which another urgent job holds a part.
 */
static void test_urgent_tasks_one_by_one(void)
{
	struct planworld *w = planworld_create(NULL, 2);

	planworld_job(w, "u1", "urgent", "b", WHOLE_WORKER(1, 5000));
	planworld_job(w, "b1", "batch", "b",
		      "[{\"tasks\":8,\"cpu_milli\":8000,\"memory_mb\":20000,\"accelerators\":1,"
		      "\"estimate_ms\":8000}]");
	planworld_run(w, 100);
	CU_ASSERT_EQUAL(planworld_count(w, "b1."), 8);
	planworld_job(w, "u2", "urgent", "b", WHOLE_WORKER(2, 3000));
	planworld_run(w, 1000);
	CU_ASSERT_EQUAL(planworld_count(w, "u1."), 1);
	CU_ASSERT_EQUAL(planworld_count(w, "u2."), 1);
	check_and_free(w);
}

/* Guards against a promise that is not kept while others use the fleet. */
static void test_reclaim(void)
{
	struct planworld *w = planworld_create(NULL, 6);

	planworld_job(w, "f1", "batch", "b", FILL);
	planworld_run(w, 500);
	CU_ASSERT_EQUAL(planworld_count(w, "f1."), 48);
	planworld_job(w, "u1", "urgent", "a",
		      "[{\"tasks\":2,\"cpu_milli\":15000,\"memory_mb\":40000,\"accelerators\":8,"
		      "\"estimate_ms\":1000,\"gang\":true,\"one_rack\":true}]");
	planworld_run(w, 600);
	CU_ASSERT_EQUAL(planworld_count(w, "u1."), 2);
	/* No more than the gang needs was taken away. */
	CU_ASSERT_EQUAL(planworld_count(w, "f1."), 32);
	planworld_run(w, 20000);
	CU_ASSERT_EQUAL(planworld_state(w, "f1"), PLAN_JOB_COMPLETED);
	check_and_free(w);
}

/*
 * Guards against work beyond a promise that takes more from others than it wins: the work
 * that it would displace is nearly done.
 */
static void test_no_reclaim_beyond_promise(void)
{
	struct planworld *w = planworld_create(NULL, 6);

	planworld_job(w, "f1", "batch", "b", FILL);
	planworld_run(w, 6000);
	planworld_job(w, "u1", "urgent", "b",
		      "[{\"tasks\":2,\"cpu_milli\":15000,\"accelerators\":8,\"estimate_ms\":1000,"
		      "\"gang\":true}]");
	planworld_run(w, 1000);
	CU_ASSERT_EQUAL(planworld_count(w, "f1."), 48);
	check_and_free(w);
}

/* Guards against attempts beyond the limit, and jobs that hang on after it. */
static void test_attempts(void)
{
	struct planworld *w = planworld_create(NULL, 1);

	w->workers[0].fails = true;
	planworld_job(w, "j1", "batch", "b",
		      "[{\"tasks\":1,\"cpu_milli\":1000,\"estimate_ms\":500}]");
	planworld_run(w, 60000);
	CU_ASSERT_EQUAL(planworld_state(w, "j1"), PLAN_JOB_FAILED);
	CU_ASSERT_EQUAL(w->starts, 3);
	check_and_free(w);
}

/* Guards against a worker that fails everything it starts and uses up the attempts of all jobs. */
static void test_failing_worker(void)
{
	struct planworld *w = planworld_create(NULL, 4);
	char id[8];

	w->workers[1].fails = true;
	for (int i = 0; i < 20; i++) {
		snprintf(id, sizeof(id), "j%d", i);
		planworld_job(w, id, "batch", "b", SMALL);
		planworld_run(w, 300);
	}
	planworld_run(w, 10000);
	for (int i = 0; i < 20; i++) {
		snprintf(id, sizeof(id), "j%d", i);
		CU_ASSERT_EQUAL(planworld_state(w, id), PLAN_JOB_COMPLETED);
	}
	check_and_free(w);
}

/* Guards against tasks that stand still for ever on a stuck worker. */
static void test_stalled_worker(void)
{
	struct planworld *w = planworld_create(NULL, 3);

	w->workers[0].stalls = true;
	planworld_job(w, "j1", "batch", "b", FILL);
	planworld_run(w, 30000);
	CU_ASSERT_EQUAL(planworld_state(w, "j1"), PLAN_JOB_COMPLETED);
	check_and_free(w);
}

/*
 * Guards against a gang that is stopped because some members are through and wait for slower
 * ones: their progress stays at 100%.
 */
static void test_waiting_member_is_no_stall(void)
{
	struct planworld *w = planworld_create(NULL, 2);

	w->workers[1].slowdown = 4;
	planworld_job(w, "g1", "large", "b",
		      "[{\"tasks\":2,\"cpu_milli\":1000,\"accelerators\":8,\"estimate_ms\":1500,"
		      "\"gang\":true}]");
	planworld_run(w, 7000);
	CU_ASSERT_EQUAL(planworld_state(w, "g1"), PLAN_JOB_COMPLETED);
	CU_ASSERT_EQUAL(w->stops, 0);
	check_and_free(w);
}

/*
 * Guards against a leader that was frozen, or hears nothing, and takes all tasks for stuck: it
 * stopped everything that ran.
 */
static void test_silence_is_no_stall(void)
{
	struct planworld *w = planworld_create(NULL, 3);

	planworld_job(w, "j1", "batch", "b", FILL);
	planworld_run(w, 1000);
	for (int i = 0; i < 3; i++)
		w->workers[i].reachable = false;
	planworld_run(w, 5000);
	for (int i = 0; i < 3; i++)
		w->workers[i].reachable = true;
	planworld_run(w, 20000);
	CU_ASSERT_EQUAL(planworld_state(w, "j1"), PLAN_JOB_COMPLETED);
	CU_ASSERT_EQUAL(w->stops, 0);
	check_and_free(w);
}

/* Guards against tasks that stay on a worker that has turned slow while others are free. */
static void test_slow_worker(void)
{
	struct planworld *w = planworld_create(NULL, 6);

	planworld_job(w, "j1", "batch", "b",
		      "[{\"tasks\":8,\"cpu_milli\":8000,\"accelerators\":1,\"estimate_ms\":4000}]");
	planworld_run(w, 1000);
	for (int i = 0; i < 6; i++)
		w->workers[i].slowdown = planworld_count(w, "j1.") && i < 1 ? 8 : 1;
	planworld_run(w, 11000);
	CU_ASSERT_EQUAL(planworld_state(w, "j1"), PLAN_JOB_COMPLETED);
	check_and_free(w);
}

/* Guards against moves that cost more than they win: a wrong estimate is no slow worker. */
static void test_wrong_estimate_is_not_slow(void)
{
	struct planworld *w = planworld_create(NULL, 6);

	planworld_job(w, "j1", "batch", "b", SMALL);
	for (int i = 0; i < 6; i++)
		w->workers[i].slowdown = 2;
	planworld_run(w, 3000);
	CU_ASSERT_EQUAL(planworld_state(w, "j1"), PLAN_JOB_COMPLETED);
	CU_ASSERT_EQUAL(w->stops, 0);
	check_and_free(w);
}

/*
 * Guards against urgent work that waits behind long work. The load: a fleet full of lower
 * work that has just begun, and an urgent gang that no promise covers.
 */
static void test_urgent_displaces_young_work(void)
{
	struct planworld *w = planworld_create(NULL, 6);

	planworld_job(w, "f1", "batch", "b", FILL);
	planworld_run(w, 300);
	planworld_job(w, "u1", "urgent", "b",
		      "[{\"tasks\":2,\"cpu_milli\":15000,\"accelerators\":8,\"estimate_ms\":4000,"
		      "\"gang\":true}]");
	planworld_run(w, 500);
	CU_ASSERT_EQUAL(planworld_count(w, "u1."), 2);
	check_and_free(w);
}

/*
 * Guards against work that is placed on a worker whose agent stands still: it would wait there
 * until the worker is taken for lost.
 */
static void test_silent_worker_gets_nothing(void)
{
	struct planworld *w = planworld_create(NULL, 2);

	planworld_run(w, 50);
	w->workers[0].reachable = false;
	planworld_run(w, 1700);
	planworld_job(w, "j1", "batch", "b", SMALL);
	planworld_run(w, 100);
	CU_ASSERT_EQUAL(planworld_count(w, "j1."), 4);
	w->workers[0].reachable = true;
	planworld_run(w, 50);
	planworld_job(w, "j2", "urgent", "b", WHOLE_WORKER(1, 1000));
	planworld_run(w, 100);
	CU_ASSERT_EQUAL(planworld_count(w, "j2."), 1);
	check_and_free(w);
}

/*
 * Guards against urgent work that is late by the time of a stop. The load: urgent jobs, each
 * with half as much time to spare as a stop takes, on a fleet that batch work would fill.
 */
static void test_headroom(void)
{
	struct planworld *w = planworld_create_with_stops(NULL, 6, 900);

	planworld_job(w, "u1", "urgent", "b", WHOLE_WORKER(1, 900));
	planworld_job(w, "f1", "batch", "b", FILL);
	planworld_run(w, 1000);
	CU_ASSERT_EQUAL(planworld_count(w, "f1."), 32);
	planworld_job(w, "u2", "urgent", "b", WHOLE_WORKER(2, 900));
	planworld_run(w, 50);
	CU_ASSERT_EQUAL(planworld_count(w, "u2."), 2);
	planworld_run(w, 1000);
	CU_ASSERT_EQUAL(planworld_state(w, "u2"), PLAN_JOB_COMPLETED);
	CU_ASSERT_EQUAL(w->stops, 0);
	check_and_free(w);
}

/* Guards against idle room: lower work that has waited, and a fleet without urgent work. */
static void test_headroom_is_lent(void)
{
	struct planworld *w = planworld_create_with_stops(NULL, 6, 900);

	planworld_job(w, "f1", "batch", "b", FILL);
	planworld_run(w, 50);
	CU_ASSERT_EQUAL(planworld_count(w, "f1."), 48);
	check_and_free(w);
	w = planworld_create_with_stops(NULL, 6, 900);
	planworld_job(w, "u1", "urgent", "b", WHOLE_WORKER(1, 900));
	planworld_job(w, "f1", "batch", "b", FILL);
	planworld_run(w, 6500);
	CU_ASSERT_EQUAL(planworld_count(w, "f1."), 48);
	check_and_free(w);
}

/* Guards against urgent work that throws away other urgent work, and promised work that does. */
static void test_reclaim_spares_urgent_work(void)
{
	struct planworld *w = planworld_create(NULL, 3);

	planworld_job(
		w, "u1", "urgent", "b",
		"[{\"tasks\":1,\"cpu_milli\":15000,\"accelerators\":8,\"estimate_ms\":4000}]");
	planworld_job(
		w, "f1", "batch", "b",
		"[{\"tasks\":16,\"cpu_milli\":8000,\"accelerators\":1,\"estimate_ms\":8000}]");
	planworld_run(w, 500);
	planworld_job(w, "u2", "urgent", "a",
		      "[{\"tasks\":2,\"cpu_milli\":15000,\"accelerators\":8,\"estimate_ms\":1000,"
		      "\"gang\":true}]");
	planworld_run(w, 500);
	CU_ASSERT_EQUAL(planworld_count(w, "u1."), 1);
	CU_ASSERT_EQUAL(planworld_count(w, "u2."), 2);
	check_and_free(w);
}

/* Guards against runs that go on after their job was cancelled. */
static void test_cancel(void)
{
	struct planworld *w = planworld_create(NULL, 3);

	planworld_job(w, "j1", "batch", "b", FILL);
	planworld_run(w, 100);
	plan_job_cancel(w->plan, "j1");
	planworld_run(w, 400);
	CU_ASSERT_EQUAL(planworld_count(w, "j1."), 0);
	CU_ASSERT_EQUAL(planworld_state(w, "j1"), PLAN_JOB_CANCELLED);
	CU_ASSERT_TRUE(plan_job_remove(w->plan, "j1"));
	CU_ASSERT_EQUAL(planworld_state(w, "j1"), -1);
	check_and_free(w);
}

/*
 * Guards against a new leader that starts a task again whose end the worker still lists: the
 * stored record named the run, and the end of that run was taken for an old one.
 */
static void test_new_leader_takes_listed_end(void)
{
	struct planworld *w = planworld_create(NULL, 3);

	planworld_job(w, "j1", "batch", "b",
		      "[{\"tasks\":2,\"cpu_milli\":1000,\"estimate_ms\":1000}]");
	planworld_run(w, 500);
	w->workers[0].reachable = false;
	w->workers[1].reachable = false;
	w->workers[2].reachable = false;
	planworld_run(w, 1000);
	for (int i = 0; i < 3; i++)
		w->workers[i].reachable = true;
	planworld_restart(w, false);
	planworld_run(w, 20);
	plan_settle(w->plan);
	planworld_run(w, 500);
	CU_ASSERT_EQUAL(planworld_state(w, "j1"), PLAN_JOB_COMPLETED);
	CU_ASSERT_EQUAL(w->starts, 2);
	check_and_free(w);
}

/* Guards against a new leader that stops or doubles the runs of the former one. */
static void test_new_leader_adopts_runs(void)
{
	struct planworld *w = planworld_create(NULL, 6);

	planworld_job(w, "g1", "large", "b", LARGE_GANG);
	planworld_job(w, "j1", "batch", "b", SMALL);
	planworld_run(w, 500);
	planworld_restart(w, false);
	planworld_run(w, 50);
	plan_settle(w->plan);
	planworld_run(w, 3500);
	CU_ASSERT_EQUAL(planworld_state(w, "g1"), PLAN_JOB_COMPLETED);
	CU_ASSERT_EQUAL(planworld_state(w, "j1"), PLAN_JOB_COMPLETED);
	CU_ASSERT_EQUAL(w->starts, 7);
	CU_ASSERT_EQUAL(w->stops, 0);
	check_and_free(w);
}

/* Guards against failures that a new leader forgets or counts twice. */
static void test_new_leader_keeps_failures(void)
{
	struct planworld *w = planworld_create(NULL, 1);

	w->workers[0].fails = true;
	planworld_job(w, "j1", "batch", "b",
		      "[{\"tasks\":1,\"cpu_milli\":1000,\"estimate_ms\":500}]");
	planworld_run(w, 120);
	planworld_restart(w, true);
	planworld_run(w, 60000);
	CU_ASSERT_EQUAL(planworld_state(w, "j1"), PLAN_JOB_FAILED);
	CU_ASSERT_EQUAL(w->starts, 3);
	check_and_free(w);
}

/* Guards against a run that is stopped because its worker was given up for a moment. */
static void test_returning_worker_keeps_runs(void)
{
	struct planworld *w = planworld_create(NULL, 1);

	planworld_job(w, "j1", "batch", "b", SMALL);
	planworld_run(w, 100);
	plan_worker_lost(w->plan, "w0", w->now_ms);
	planworld_run(w, 1500);
	CU_ASSERT_EQUAL(planworld_state(w, "j1"), PLAN_JOB_COMPLETED);
	CU_ASSERT_EQUAL(w->starts, 4);
	check_and_free(w);
}

/* Guards against work that stays lost when a worker starts a new life. */
static void test_crashed_worker(void)
{
	struct planworld *w = planworld_create(NULL, 2);

	planworld_job(w, "j1", "batch", "b", SMALL);
	planworld_run(w, 300);
	planworld_crash(w, 0);
	planworld_crash(w, 1);
	planworld_run(w, 1500);
	CU_ASSERT_EQUAL(planworld_state(w, "j1"), PLAN_JOB_COMPLETED);
	CU_ASSERT_EQUAL(w->starts, 8);
	check_and_free(w);
}

/* Guards against starts on a worker that drains. */
static void test_draining_worker(void)
{
	struct planworld *w = planworld_create(NULL, 2);

	w->workers[0].draining = true;
	planworld_run(w, 50);
	planworld_job(w, "j1", "batch", "b", SMALL);
	planworld_run(w, 1500);
	CU_ASSERT_EQUAL(planworld_state(w, "j1"), PLAN_JOB_COMPLETED);
	check_and_free(w);
}

/* Guards against due times that are missed or begun early, and occurrences that run twice. */
static void test_repeats(void)
{
	struct planworld *w = planworld_create(NULL, 2);
	json_t *json = json_loads("{\"repeats\":3,\"first_due_ms\":101000,\"interval_ms\":1000,"
				  "\"steps\":[{\"tasks\":1,\"cpu_milli\":1,\"estimate_ms\":300}]}",
				  0, NULL);
	struct plan_job_info info = {.id = "j1",
				     .queue = "batch",
				     .organisation = "b",
				     .spec = jobspec_read(w, json, &jobspec_own_names, NULL),
				     .accepted_ms = w->now_ms};

	json_decref(json);
	snprintf(w->jobs[0].id, sizeof(w->jobs[0].id), "j1");
	w->jobs[0].text = "{\"steps\":[{\"tasks\":1,\"cpu_milli\":1,\"estimate_ms\":300}]}";
	w->job_count = 1;
	plan_job_add(w->plan, &info);
	planworld_run(w, 980);
	CU_ASSERT_EQUAL(w->starts, 0);
	planworld_run(w, 100);
	CU_ASSERT_EQUAL(w->starts, 1);
	planworld_run(w, 2000);
	CU_ASSERT_EQUAL(w->starts, 3);
	planworld_run(w, 500);
	CU_ASSERT_EQUAL(planworld_state(w, "j1"), PLAN_JOB_COMPLETED);
	check_and_free(w);
}

/* Guards against work that is done again after a loss of all hosts though a checkpoint was known.
 */
static void test_record_holds_checkpoints(void)
{
	struct planworld *w = planworld_create(NULL, 1);
	const struct plan_run run = {"j1.0.0.0", 1, "saved-1", 40};
	json_t *record;
	char *text;

	planworld_job(
		w, "j1", "batch", "b",
		"[{\"tasks\":1,\"cpu_milli\":1000,\"estimate_ms\":9000,\"checkpoints\":true}]");
	planworld_run(w, 2500);
	while (plan_take_dirty(w->plan))
		;
	plan_worker_running(w->plan, "w0", &run, w->now_ms);
	CU_ASSERT_STRING_EQUAL(plan_take_dirty(w->plan), "j1");
	record = plan_job_record(w->plan, "j1");
	text = json_dumps(record, JSON_COMPACT);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "saved-1"));
	free(text);
	json_decref(record);
	check_and_free(w);
}

/* Guards against a malformed record that is taken for progress. */
static void test_bad_record(void)
{
	static const char no_steps[] =
		"{\"state\":\"running\",\"occurrences\":[{\"number\":0,\"steps\":[]}]}";
	static const char no_such_task[] = "{\"state\":\"running\",\"occurrences\":[{\"number\":0,"
					   "\"steps\":[{\"tasks\":[[99,true,"
					   "[],0,\"\",0]]}]}]}";
	static const char *const records[] = {
		"{}", "[]", "{\"state\":\"unheard\"}", no_steps, no_such_task,
	};

	for (size_t i = 0; i < sizeof(records) / sizeof(records[0]); i++) {
		struct planworld *w = planworld_create(NULL, 2);
		json_t *record = json_loads(records[i], 0, NULL);

		planworld_job(w, "j1", "batch", "b", SMALL);
		CU_ASSERT_EQUAL(plan_job_restore(w->plan, "j1", record), -ERR_INVALID);
		planworld_run(w, 1500);
		CU_ASSERT_EQUAL(planworld_state(w, "j1"), PLAN_JOB_COMPLETED);
		json_decref(record);
		check_and_free(w);
	}
}

int main(void)
{
	static CU_TestInfo tests[] = {
		{"simple", test_simple},
		{"order_of_steps", test_order_of_steps},
		{"gang", test_gang},
		{"reclaim", test_reclaim},
		{"no_reclaim_beyond_promise", test_no_reclaim_beyond_promise},
		{"attempts", test_attempts},
		{"failing_worker", test_failing_worker},
		{"stalled_worker", test_stalled_worker},
		{"waiting_member_is_no_stall", test_waiting_member_is_no_stall},
		{"silence_is_no_stall", test_silence_is_no_stall},
		{"slow_worker", test_slow_worker},
		{"wrong_estimate_is_not_slow", test_wrong_estimate_is_not_slow},
		{"urgent_displaces_young_work", test_urgent_displaces_young_work},
		{"urgent_tasks_one_by_one", test_urgent_tasks_one_by_one},
		{"silent_worker_gets_nothing", test_silent_worker_gets_nothing},
		{"headroom", test_headroom},
		{"headroom_is_lent", test_headroom_is_lent},
		{"reclaim_spares_urgent_work", test_reclaim_spares_urgent_work},
		{"cancel", test_cancel},
		{"new_leader_takes_listed_end", test_new_leader_takes_listed_end},
		{"new_leader_adopts_runs", test_new_leader_adopts_runs},
		{"new_leader_keeps_failures", test_new_leader_keeps_failures},
		{"returning_worker_keeps_runs", test_returning_worker_keeps_runs},
		{"crashed_worker", test_crashed_worker},
		{"draining_worker", test_draining_worker},
		{"repeats", test_repeats},
		{"record_holds_checkpoints", test_record_holds_checkpoints},
		{"bad_record", test_bad_record},
		CU_TEST_INFO_NULL,
	};
	CU_SuiteInfo suites[] = {
		{"plan", NULL, NULL, NULL, NULL, tests},
		CU_SUITE_INFO_NULL,
	};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
