#include "lib_cluster.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#define WORKERS 10
#define URGENT_BOUND_MS 4100   /* urgent jobs start within this time */
#define GANG_BOUND_MS 4000     /* a gang that lost a member has stopped within this time */
#define RECLAIM_GRACE_MS 30000 /* as in examples/nefeli/00-policy.json */
#define DONE_TIMEOUT_MS 60000

static struct cluster cluster;
static GPtrArray *killed_histories; /* task histories of workers that were killed */

static int start(void)
{
	struct cluster_options options = {.example = "nefeli", .entries = 2, .workers = WORKERS};

	killed_histories = g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	return cluster_start(&cluster, &options) ? 0 : 1;
}

static int stop(void)
{
	g_ptr_array_free(killed_histories, TRUE);
	return cluster_stop(&cluster) ? 0 : 1;
}

struct task {
	unsigned int attempt;
	unsigned int member;
	uint64_t started_ms;
	uint64_t ended_ms; /* UINT64_MAX while it runs */
	bool done;
};

static void add_tasks(GArray *out, json_t *history, const char *job)
{
	json_t *item;
	size_t i;

	json_array_foreach(json_object_get(history, "tasks"), i, item)
	{
		const char *id = json_string_value(json_object_get(item, "id"));
		const char *state = json_string_value(json_object_get(item, "state"));
		struct task task = {0};

		if (!id || strncmp(id, job, strlen(job)) != 0 ||
		    sscanf(id + strlen(job), ".%u.%u", &task.attempt, &task.member) != 2)
			continue;
		task.started_ms = (uint64_t)json_integer_value(json_object_get(item, "started_ms"));
		task.ended_ms = (uint64_t)json_integer_value(json_object_get(item, "ended_ms"));
		if (!task.ended_ms)
			task.ended_ms = UINT64_MAX;
		task.done = state && !strcmp(state, "done");
		g_array_append_val(out, task);
	}
}

/* Collects all tasks of a job that any worker has run, including killed workers. */
static GArray *tasks_of(const char *job)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct task));

	for (guint i = 0; i < killed_histories->len; i++)
		add_tasks(out, g_ptr_array_index(killed_histories, i), job);
	for (unsigned int i = 0; i < cluster.target_count; i++) {
		json_t *history;

		if (!cluster.targets[i].is_worker || cluster.targets[i].process.pid <= 0)
			continue;
		history = cluster_history(&cluster.targets[i].process);
		add_tasks(out, history, job);
		json_decref(history);
	}
	return out;
}

/*
 * Checks that attempts of a job did not overlap, that no member of an attempt ran twice, and that
 * all members of the last attempt completed.
 */
static void check_job(const char *job, unsigned int members)
{
	GArray *tasks = tasks_of(job);
	unsigned int last = 0;
	unsigned int done = 0;

	for (guint i = 0; i < tasks->len; i++) {
		const struct task *a = &g_array_index(tasks, struct task, i);

		if (a->attempt > last)
			last = a->attempt;
		for (guint j = i + 1; j < tasks->len; j++) {
			const struct task *b = &g_array_index(tasks, struct task, j);
			bool overlap = a->started_ms < b->ended_ms && b->started_ms < a->ended_ms;

			if ((a->attempt != b->attempt && overlap) ||
			    (a->attempt == b->attempt && a->member == b->member)) {
				fprintf(stderr, "job %s: attempt %u member %u and %u %u\n", job,
					a->attempt, a->member, b->attempt, b->member);
				CU_FAIL("a member ran twice");
			}
		}
	}
	for (guint i = 0; i < tasks->len; i++) {
		const struct task *task = &g_array_index(tasks, struct task, i);

		done += task->attempt == last && task->done;
	}
	CU_ASSERT_EQUAL(done, members);
	if (done != members)
		fprintf(stderr, "job %s: %u of %u members of attempt %u done\n", job, done, members,
			last);
	g_array_free(tasks, TRUE);
}

static void submit(unsigned int entry, const char *class_name, unsigned int members,
		   unsigned int accelerators, unsigned int run_ms, bool urgent, char id[32])
{
	char body[512];
	int status;

	snprintf(body, sizeof(body),
		 "{\"class\":\"%s\",\"members\":%u,\"accelerators\":%u,\"cores\":4,"
		 "\"memory_gb\":8,\"within\":\"zone\",\"declared_s\":5,\"urgent\":%s,"
		 "\"payload\":{\"run_ms\":%u}}",
		 class_name, members, accelerators, urgent ? "true" : "false", run_ms);
	status = cluster_submit(&cluster, entry, NULL, body, id);
	CU_ASSERT_EQUAL(status, 202);
}

/* Guards against accepted jobs that are lost or run twice when all entries are killed at once. */
static void test_entries_replaced(void)
{
	char ids[6][32];

	for (int i = 0; i < 6; i++)
		submit((unsigned int)i % 2, "yield-forecast", 2, 2, 1500, false, ids[i]);
	for (unsigned int i = 0; i < cluster.entry_count; i++)
		proc_kill(&cluster.entries[i]);
	for (unsigned int i = 0; i < cluster.entry_count; i++)
		CU_ASSERT_FATAL(cluster_start_entry(&cluster, i));
	for (int i = 0; i < 6; i++) {
		CU_ASSERT(cluster_wait_job(&cluster, (unsigned int)i % 2, ids[i], "done",
					   DONE_TIMEOUT_MS));
		check_job(ids[i], 2);
	}
}

/* Returns the index of a target whose worker runs a member of the job, or -1. */
static int member_target(const char *job)
{
	for (unsigned int i = 0; i < cluster.target_count; i++) {
		GArray *tasks = g_array_new(FALSE, FALSE, sizeof(struct task));
		json_t *history = cluster_history(&cluster.targets[i].process);
		bool runs = false;

		add_tasks(tasks, history, job);
		json_decref(history);
		for (guint t = 0; t < tasks->len; t++)
			runs = runs || g_array_index(tasks, struct task, t).ended_ms == UINT64_MAX;
		g_array_free(tasks, TRUE);
		if (runs)
			return (int)i;
	}
	return -1;
}

static void check_stopped_by(const char *job, unsigned int attempt, uint64_t deadline)
{
	GArray *tasks = tasks_of(job);

	for (guint i = 0; i < tasks->len; i++) {
		const struct task *task = &g_array_index(tasks, struct task, i);

		if (task->attempt != attempt)
			continue;
		if (task->ended_ms > deadline)
			fprintf(stderr, "member %u ended %lld ms late\n", task->member,
				(long long)(task->ended_ms - deadline));
		CU_ASSERT(task->ended_ms <= deadline);
	}
	g_array_free(tasks, TRUE);
}

/* Guards against members that keep running after an agent of their gang was killed. */
static void test_member_agent_killed(void)
{
	uint64_t killed_at;
	int victim;
	char id[32];

	submit(0, "yield-forecast", 3, 8, 8000, false, id);
	CU_ASSERT(cluster_wait_job(&cluster, 0, id, "running", 20000));
	victim = member_target(id);
	CU_ASSERT_FATAL(victim >= 0);
	killed_at = util_clock_ms();
	proc_kill(&cluster.targets[victim].agent);
	CU_ASSERT(cluster_wait_job(&cluster, 1, id, "done", DONE_TIMEOUT_MS));
	check_stopped_by(id, 1, killed_at + GANG_BOUND_MS);
	check_job(id, 3);
	g_ptr_array_add(killed_histories, cluster_history(&cluster.targets[victim].process));
	proc_kill(&cluster.targets[victim].process);
	CU_ASSERT(cluster_start_target(&cluster, (unsigned int)victim));
}

/* Guards against a frozen agent that acts for a superseded attempt after it resumes. */
static void test_member_agent_frozen(void)
{
	uint64_t frozen_at;
	int victim;
	char id[32];

	submit(1, "yield-forecast", 3, 8, 8000, false, id);
	CU_ASSERT(cluster_wait_job(&cluster, 0, id, "running", 20000));
	victim = member_target(id);
	CU_ASSERT_FATAL(victim >= 0);
	frozen_at = util_clock_ms();
	proc_signal(&cluster.targets[victim].agent, SIGSTOP);
	CU_ASSERT(cluster_wait_job(&cluster, 0, id, "done", DONE_TIMEOUT_MS));
	proc_signal(&cluster.targets[victim].agent, SIGCONT);
	check_stopped_by(id, 1, frozen_at + GANG_BOUND_MS);
	check_job(id, 3);
}

static bool worker_done(void *ctx)
{
	GArray *tasks = tasks_of(ctx);
	bool done = tasks->len > 0;

	for (guint i = 0; i < tasks->len; i++)
		done = done && g_array_index(tasks, struct task, i).done;
	g_array_free(tasks, TRUE);
	return done;
}

/* Guards against a store outage that stops running jobs or loses their results. */
static void test_store_down(void)
{
	char running[32];
	char refused[32];
	uint64_t asked_at;
	int status;

	submit(0, "yield-forecast", 2, 4, 3000, false, running);
	CU_ASSERT(cluster_wait_job(&cluster, 0, running, "running", 20000));
	CU_ASSERT(cluster_set_fault(&cluster.store, "{\"down\":true}"));
	asked_at = util_clock_ms();
	status = cluster_submit(&cluster, 0, NULL,
				"{\"class\":\"yield-forecast\",\"members\":1,\"accelerators\":1,"
				"\"declared_s\":1,\"payload\":{\"run_ms\":10}}",
				refused);
	CU_ASSERT_EQUAL(status, 503);
	/* job_deadline_ms of examples/nefeli/00-limits.json and a margin for a busy machine */
	CU_ASSERT(util_clock_ms() - asked_at < 20000);
	CU_ASSERT(wait_until(worker_done, running, 20000));
	CU_ASSERT(cluster_set_fault(&cluster.store, "{\"down\":false}"));
	CU_ASSERT(cluster_wait_job(&cluster, 1, running, "done", DONE_TIMEOUT_MS));
	check_job(running, 2);
}

/* Guards against a placement holder that acts after its lease expired while it was frozen. */
static void test_holder_frozen(void)
{
	for (unsigned int frozen = 0; frozen < 2; frozen++) {
		char before[32];
		char during[32];

		submit(frozen, "yield-forecast", 2, 4, 6000, false, before);
		CU_ASSERT(cluster_wait_job(&cluster, frozen, before, "running", 20000));
		proc_signal(&cluster.entries[frozen], SIGSTOP);
		submit(1 - frozen, "yield-forecast", 2, 4, 500, false, during);
		CU_ASSERT(cluster_wait_job(&cluster, 1 - frozen, during, "done", DONE_TIMEOUT_MS));
		proc_signal(&cluster.entries[frozen], SIGCONT);
		CU_ASSERT(cluster_wait_job(&cluster, 1 - frozen, before, "done", DONE_TIMEOUT_MS));
		CU_ASSERT(cluster_wait_job(&cluster, frozen, before, "done", DONE_TIMEOUT_MS));
		check_job(before, 2);
		check_job(during, 2);
	}
}

/*
 * Guards against a faulty worker that makes valid jobs fail, and against endless retries of a job
 * that never runs.
 */
static void test_bad_worker_and_bad_job(void)
{
	char good[4][32];
	char never[32];
	int status;

	CU_ASSERT(cluster_set_fault(&cluster.targets[0].process, "{\"fail_starts\":true}"));
	status = cluster_submit(
		&cluster, 0, NULL,
		"{\"class\":\"yield-forecast\",\"members\":1,\"accelerators\":1,"
		"\"declared_s\":1,\"payload\":{\"run_ms\":60000,\"never_runs\":true}}",
		never);
	CU_ASSERT_EQUAL(status, 202);
	for (int i = 0; i < 4; i++)
		submit((unsigned int)i % 2, "yield-forecast", 2, 4, 300, false, good[i]);
	for (int i = 0; i < 4; i++) {
		CU_ASSERT(cluster_wait_job(&cluster, 0, good[i], "done", DONE_TIMEOUT_MS));
		check_job(good[i], 2);
	}
	CU_ASSERT(cluster_wait_job(&cluster, 1, never, "failed", DONE_TIMEOUT_MS));
	CU_ASSERT(cluster_set_fault(&cluster.targets[0].process, "{\"fail_starts\":false}"));
}

struct cancel_wait {
	char (*ids)[32];
	int count;
};

static bool all_cancelled(void *ctx)
{
	const struct cancel_wait *wait = ctx;

	for (int i = 0; i < wait->count; i++) {
		if (strcmp(cluster_job_state(&cluster, 0, wait->ids[i]), "cancelled") != 0)
			return false;
	}
	return true;
}

/*
 * Guards against cancelled jobs that keep running, and against many cancellations at once that
 * delay an urgent job.
 */
static void test_cancellation_wave(void)
{
	char ids[20][32];
	struct cancel_wait wait = {.ids = ids, .count = 20};
	uint64_t asked_at;
	char urgent[32];

	for (int i = 0; i < 20; i++)
		submit((unsigned int)i % 2, "yield-forecast", 1, 8, 60000, false, ids[i]);
	for (int i = 0; i < 20; i++) {
		char out[1024];
		const char *const arguments[] = {"cancel", ids[i], NULL};

		CU_ASSERT_EQUAL(cluster_cli(&cluster, (unsigned int)i % 2, cluster.token, arguments,
					    out, sizeof(out)),
				0);
	}
	asked_at = util_clock_ms();
	submit(0, "yield-forecast", 1, 1, 100, true, urgent);
	CU_ASSERT(cluster_wait_job(&cluster, 0, urgent, "done", DONE_TIMEOUT_MS));
	CU_ASSERT(util_clock_ms() - asked_at <= URGENT_BOUND_MS + 1000);
	CU_ASSERT(wait_until(all_cancelled, &wait, DONE_TIMEOUT_MS));
	for (int i = 0; i < 20; i++) {
		GArray *tasks = tasks_of(ids[i]);

		for (guint t = 0; t < tasks->len; t++)
			CU_ASSERT(g_array_index(tasks, struct task, t).ended_ms != UINT64_MAX);
		g_array_free(tasks, TRUE);
	}
}

static uint64_t first_start(const char *job)
{
	GArray *tasks = tasks_of(job);
	uint64_t first = UINT64_MAX;

	for (guint i = 0; i < tasks->len; i++) {
		if (g_array_index(tasks, struct task, i).started_ms < first)
			first = g_array_index(tasks, struct task, i).started_ms;
	}
	g_array_free(tasks, TRUE);
	return first;
}

/*
 * Guards against an organisation that does not get its guaranteed capacity back from jobs that
 * borrowed it.
 */
static void test_reclaim(void)
{
	struct cluster borrower = cluster;
	char borrowed[10][32];
	char reclaimed[32];
	uint64_t asked_at;

	snprintf(borrower.token, sizeof(borrower.token), "syros-cooperative-token");
	for (int i = 0; i < 6; i++) {
		int status = cluster_submit(
			&borrower, 0, NULL,
			"{\"class\":\"yield-forecast\",\"members\":1,\"accelerators\":8,\"cores\":"
			"4,"
			"\"memory_gb\":8,\"declared_s\":60,\"payload\":{\"run_ms\":40000}}",
			borrowed[i]);

		CU_ASSERT_EQUAL(status, 202);
	}
	snprintf(borrower.token, sizeof(borrower.token), "paros-orchards-token");
	for (int i = 6; i < 10; i++) {
		int status = cluster_submit(
			&borrower, 0, NULL,
			"{\"class\":\"yield-forecast\",\"members\":1,\"accelerators\":8,\"cores\":"
			"4,"
			"\"memory_gb\":8,\"declared_s\":60,\"payload\":{\"run_ms\":40000}}",
			borrowed[i]);

		CU_ASSERT_EQUAL(status, 202);
	}
	snprintf(borrower.token, sizeof(borrower.token), "syros-cooperative-token");
	CU_ASSERT(cluster_wait_job(&borrower, 0, borrowed[5], "running", 20000));
	asked_at = util_clock_ms();
	submit(0, "yield-forecast", 2, 8, 500, false, reclaimed);
	CU_ASSERT(cluster_wait_job(&cluster, 0, reclaimed, "done", DONE_TIMEOUT_MS));
	CU_ASSERT(first_start(reclaimed) <= asked_at + RECLAIM_GRACE_MS + URGENT_BOUND_MS);
	check_job(reclaimed, 2);
	for (int i = 0; i < 10; i++) {
		char out[1024];
		const char *const arguments[] = {"cancel", borrowed[i], NULL};

		cluster_cli(&cluster, 0, i < 6 ? "syros-cooperative-token" : "paros-orchards-token",
			    arguments, out, sizeof(out));
	}
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("jobs", start, stop);
	CU_add_test(suite, "entries replaced", test_entries_replaced);
	CU_add_test(suite, "member's agent killed", test_member_agent_killed);
	CU_add_test(suite, "member's agent frozen", test_member_agent_frozen);
	CU_add_test(suite, "store down", test_store_down);
	CU_add_test(suite, "holder frozen", test_holder_frozen);
	CU_add_test(suite, "bad worker and bad job", test_bad_worker_and_bad_job);
	CU_add_test(suite, "cancellation wave", test_cancellation_wave);
	CU_add_test(suite, "reclaim", test_reclaim);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures() + CU_get_number_of_suites_failed();
	CU_cleanup_registry();
	return failures != 0;
}
