#include "lib_proc.h"
#include "util.h"
#include "worker.h"

#include <CUnit/Basic.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define WAIT_MS 20000
#define PENDING 1000 /* differs from every status of a callback */

static struct proc fake;
static TALLOC_CTX *mem;
static struct tevent_context *ev;
static struct worker *worker;

struct result {
	int status;
	uint64_t checkpoint_ms;
};

/* Arguments of the last callbacks of the worker client. */
static struct {
	char id[64];
	enum worker_task_state state;
	unsigned int usage;
	uint32_t percent;
} seen;

static void on_task(const char *id, enum worker_task_state state, const char *reason, void *ctx)
{
	snprintf(seen.id, sizeof(seen.id), "%s", id);
	seen.state = state;
}

static void on_usage(const char *id, uint32_t percent, uint64_t checkpoint_ms, void *ctx)
{
	seen.usage++;
	seen.percent = percent;
}

static void on_start(int status, const char *reason, void *ctx)
{
	struct result *result = ctx;

	result->status = status;
}

static void on_stop(int status, uint64_t checkpoint_ms, void *ctx)
{
	struct result *result = ctx;

	result->status = status;
	result->checkpoint_ms = checkpoint_ms;
}

static void wake_loop(struct tevent_context *context, struct tevent_timer *te, struct timeval now,
		      void *data)
{
}

static bool run_until(bool (*check)(const void *ctx), const void *ctx)
{
	uint64_t deadline = util_clock_ms() + WAIT_MS;

	while (!check(ctx)) {
		if (util_clock_ms() > deadline)
			return false;
		tevent_add_timer(ev, mem, tevent_timeval_current_ofs(0, 20000), wake_loop, NULL);
		tevent_loop_once(ev);
	}
	return true;
}

static bool is_done(const void *ctx)
{
	return ((const struct result *)ctx)->status != PENDING;
}

static bool has_ended(const void *ctx)
{
	return !strcmp(seen.id, ctx);
}

static bool has_usage(const void *ctx)
{
	return seen.usage > 0;
}

static bool has_percent(const void *ctx)
{
	return seen.percent == *(const uint32_t *)ctx;
}

static int run_start(const char *id, uint64_t mask, uint32_t cores, const char *payload)
{
	struct worker_task_spec spec = {
		.id = id,
		.accelerator_mask = mask,
		.cores = cores,
		.memory_mb = 100,
		.payload = payload,
	};
	struct result result = {.status = PENDING};

	worker_start_task(worker, &spec, on_start, &result);
	CU_ASSERT(run_until(is_done, &result));
	return result.status;
}

static struct result run_stop(const char *id, bool checkpoint)
{
	struct result result = {.status = PENDING};

	worker_stop_task(worker, id, checkpoint, 1000, on_stop, &result);
	CU_ASSERT(run_until(is_done, &result));
	return result;
}

static json_t *history(void)
{
	char url[128];
	struct http_reply reply;
	json_t *root;

	snprintf(url, sizeof(url), "http://%s/history", fake.address[0]);
	reply = http_call("GET", url, NULL, NULL, WAIT_MS);
	root = json_loads(reply.body, 0, NULL);
	http_reply_free(&reply);
	return root;
}

/* Copies the state of a task from the worker's history; "" if it never started. */
static void task_state(const char *id, char state[32])
{
	json_t *root = history();
	json_t *item;
	size_t i;

	state[0] = '\0';
	json_array_foreach(json_object_get(root, "tasks"), i, item)
	{
		if (!strcmp(json_string_value(json_object_get(item, "id")), id))
			snprintf(state, 32, "%s",
				 json_string_value(json_object_get(item, "state")));
	}
	json_decref(root);
}

static bool time_passed(const void *ctx)
{
	return util_clock_ms() >= *(const uint64_t *)ctx;
}

static bool task_has_stopped(const void *ctx)
{
	char state[32];

	task_state(ctx, state);
	return !strcmp(state, "stopped");
}

static struct worker *create_client(uint64_t incarnation)
{
	struct worker_handlers handlers = {.on_task = on_task, .on_usage = on_usage};
	char url[128];

	snprintf(url, sizeof(url), "http://%s", fake.address[0]);
	return worker_create(mem, ev, url, incarnation, &handlers, metrics_create(mem));
}

static void create_worker(void)
{
	worker = create_client(0);
}

static void test_start(void)
{
	const char *const arguments[] = {"--target", "worker-1", "--usage-lag-ms", "100", NULL};

	mem = talloc_new(NULL);
	ev = tevent_context_init(mem);
	CU_ASSERT_FATAL(proc_start(&fake, "fake_worker", "worker", arguments));
	create_worker();
}

struct start_case {
	const char *id;
	uint64_t mask;
	uint32_t cores;
	int status;
};

/* Guards against reporting a task as started that the worker's admission check refused. */
static void test_admission(void)
{
	static const struct start_case cases[] = {
		{"a.1.0", 0x0f, 64, 0},
		{"b.1.0", 0x08, 1, -ERR_NO_TARGET},
		{"c.1.0", 0x100, 1, -ERR_NO_TARGET},
		{"d.1.0", 0x10, 65, -ERR_NO_TARGET},
		{"e.1.0", 0xf0, 64, 0},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		CU_ASSERT_EQUAL(run_start(cases[i].id, cases[i].mask, cases[i].cores, "{}"),
				cases[i].status);
	CU_ASSERT_EQUAL(run_stop("a.1.0", false).status, 0);
	CU_ASSERT_EQUAL(run_stop("e.1.0", false).status, 0);
}

/* Guards against ended tasks, failed tasks and usage that are not reported. */
static void test_reports(void)
{
	const uint32_t throttled = 40;

	CU_ASSERT_EQUAL(run_start("f.1.0", 1, 1, "{\"run_ms\":100}"), 0);
	CU_ASSERT(run_until(has_ended, "f.1.0"));
	CU_ASSERT_EQUAL(seen.state, WORKER_TASK_DONE);
	CU_ASSERT_EQUAL(run_start("g.1.0", 1, 1, "{\"never_runs\":true}"), 0);
	CU_ASSERT(run_until(has_ended, "g.1.0"));
	CU_ASSERT_EQUAL(seen.state, WORKER_TASK_FAILED);
	CU_ASSERT_EQUAL(run_start("h.1.0", 1, 1, "{}"), 0);
	CU_ASSERT(run_until(has_usage, NULL));
	worker_throttle_task(worker, "h.1.0", throttled);
	CU_ASSERT(run_until(has_percent, &throttled));
	CU_ASSERT(run_stop("h.1.0", true).checkpoint_ms > 0);
}

/* Guards against a task that starts after the agent has stopped it. */
static void test_late_start(void)
{
	CU_ASSERT_EQUAL(run_stop("i.1.0", false).status, 0);
	CU_ASSERT(run_start("i.1.0", 1, 1, "{}") < 0);
}

static bool two_done(const void *ctx)
{
	const struct result *results = ctx;

	return is_done(&results[0]) && is_done(&results[1]);
}

/* Guards against a task that runs on when its stop is called before its start has completed. */
static void test_stop_while_starting(void)
{
	struct worker_task_spec spec = {.id = "j.1.0", .accelerator_mask = 1, .payload = "{}"};
	struct result results[2] = {{.status = PENDING}, {.status = PENDING}};
	char state[32];

	worker_start_task(worker, &spec, on_start, &results[0]);
	worker_stop_task(worker, "j.1.0", false, 0, on_stop, &results[1]);
	CU_ASSERT(run_until(two_done, results));
	task_state("j.1.0", state);
	CU_ASSERT_STRING_NOT_EQUAL(state, "running");
}

/*
 * Guards against a start that is reported as failed although the frozen worker later runs the
 * task.
 */
static void test_frozen_worker(void)
{
	struct worker_task_spec spec = {.id = "k.1.0", .accelerator_mask = 1, .payload = "{}"};
	struct result result = {.status = PENDING};
	char state[32];

	proc_signal(&fake, SIGSTOP);
	worker_start_task(worker, &spec, on_start, &result);
	CU_ASSERT(run_until(is_done, &result));
	CU_ASSERT(result.status < 0);
	proc_signal(&fake, SIGCONT);
	/* The first start waits in the worker's socket; this one is served after it. */
	CU_ASSERT_EQUAL(run_start("l.1.0", 2, 1, "{}"), 0);
	CU_ASSERT_EQUAL(run_stop("k.1.0", false).status, 0);
	CU_ASSERT_EQUAL(run_stop("l.1.0", false).status, 0);
	task_state("k.1.0", state);
	CU_ASSERT_STRING_NOT_EQUAL(state, "running");
}

/* Guards against a frozen worker that reads a start after its lease has expired, and runs it. */
static void test_expired_start(void)
{
	uint64_t now = util_clock_ms();
	char state[32];

	worker_announced(worker, now - TASK_LEASE_MS - 1, now);
	CU_ASSERT(run_start("n.1.0", 1, 1, "{}") < 0);
	task_state("n.1.0", state);
	CU_ASSERT_STRING_NOT_EQUAL(state, "running");
	now = util_clock_ms();
	worker_announced(worker, now, now);
	CU_ASSERT_EQUAL(run_start("o.1.0", 1, 1, "{}"), 0);
	CU_ASSERT_EQUAL(run_stop("o.1.0", false).status, 0);
}

/* Guards against a task that is stopped while its lease is renewed, or outlives its agent. */
static void test_lease(void)
{
	char state[32];
	uint64_t until_ms;

	CU_ASSERT_EQUAL(run_start("m.1.0", 1, 1, "{}"), 0);
	until_ms = util_clock_ms() + TASK_LEASE_MS + 1000;
	CU_ASSERT(run_until(time_passed, &until_ms));
	task_state("m.1.0", state);
	CU_ASSERT_STRING_EQUAL(state, "running");
	talloc_free(worker);
	CU_ASSERT(run_until(task_has_stopped, "m.1.0"));
	create_worker();
}

static void set_fault(const char *fault)
{
	char url[128];
	struct http_reply reply;

	snprintf(url, sizeof(url), "http://%s/fault", fake.address[0]);
	reply = http_call("POST", url, NULL, fault, WAIT_MS);
	CU_ASSERT_EQUAL(reply.status, 200);
	http_reply_free(&reply);
}

/* Guards against a task that is reported as ended while the worker has renewed its lease. */
static void test_lost_renewal_answers(void)
{
	char state[32];

	CU_ASSERT_EQUAL(run_start("p.1.0", 1, 1, "{}"), 0);
	set_fault("{\"late_renewals\":true}");
	CU_ASSERT(run_until(has_ended, "p.1.0"));
	task_state("p.1.0", state);
	CU_ASSERT_STRING_EQUAL(state, "stopped");
	CU_ASSERT_EQUAL(seen.state, WORKER_TASK_UNKNOWN);
	set_fault("{\"late_renewals\":false}");
}

/*
 * Guards against a start without an answer that is reported as refused although its task has run:
 * the job would be started again.
 */
static void test_unanswered_start(void)
{
	char state[32];

	set_fault("{\"late_starts\":true}");
	CU_ASSERT_EQUAL(run_start("q.1.0", 1, 1, "{}"), -ERR_OUTCOME_UNKNOWN);
	set_fault("{\"late_starts\":false}");
	task_state("q.1.0", state);
	CU_ASSERT_STRING_EQUAL(state, "stopped");
}

/*
 * Guards against a start that reaches a restarted worker with a lease by the clock of its former
 * incarnation: nobody would renew or stop the task, and it would run for as long as the clocks
 * differ while the job is started elsewhere.
 */
static void test_start_for_former_incarnation(void)
{
	uint64_t now = util_clock_ms();
	char state[32];

	talloc_free(worker);
	worker = create_client(1);
	worker_announced(worker, now + 3600000, now);
	CU_ASSERT(run_start("r.1.0", 1, 1, "{}") < 0);
	talloc_free(worker);
	create_worker();
	task_state("r.1.0", state);
	CU_ASSERT_STRING_EQUAL(state, "");
}

/*
 * Guards against an older checkpoint that counts as taken for a stop: a job that must run once
 * would go on from it and repeat the work that it did since.
 */
static void test_failed_checkpoint(void)
{
	CU_ASSERT_EQUAL(run_start("u.1.0", 1, 1, "{\"resume_ms\":50}"), 0);
	set_fault("{\"fail_checkpoints\":true}");
	CU_ASSERT_EQUAL(run_stop("u.1.0", true).checkpoint_ms, 0);
	set_fault("{\"fail_checkpoints\":false}");
	CU_ASSERT_EQUAL(run_start("v.1.0", 1, 1, "{\"resume_ms\":50}"), 0);
	CU_ASSERT(run_stop("v.1.0", true).checkpoint_ms >= 50);
}

/*
 * Guards against a task that is given up while the worker renews its lease, because a list lacks it
 * or has items that can't be read.
 */
static void test_wrong_lists(void)
{
	static const char *const faults[] = {"empty_lists", "bare_lists"};
	uint64_t until_ms;
	char fault[64];
	char state[32];

	CU_ASSERT_EQUAL(run_start("w.1.0", 1, 1, "{}"), 0);
	CU_ASSERT_EQUAL(run_start("x.1.0", 2, 1, "{}"), 0);
	for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		memset(&seen, 0, sizeof(seen));
		snprintf(fault, sizeof(fault), "{\"%s\":true}", faults[i]);
		set_fault(fault);
		until_ms = util_clock_ms() + 2500;
		CU_ASSERT(run_until(time_passed, &until_ms));
		CU_ASSERT_STRING_EQUAL(seen.id, "");
		snprintf(fault, sizeof(fault), "{\"%s\":false}", faults[i]);
		set_fault(fault);
	}
	task_state("w.1.0", state);
	CU_ASSERT_STRING_EQUAL(state, "running");
	CU_ASSERT_EQUAL(run_stop("w.1.0", false).status, 0);
	CU_ASSERT_EQUAL(run_stop("x.1.0", false).status, 0);
}

/*
 * Guards against a stop that counts as done while the task runs on until its lease ends, because
 * one answer said that the worker does not know the task.
 */
static void test_denied_stop(void)
{
	char state[32];

	CU_ASSERT_EQUAL(run_start("y.1.0", 1, 1, "{}"), 0);
	set_fault("{\"deny_stop\":true}");
	CU_ASSERT_EQUAL(run_stop("y.1.0", false).status, 0);
	task_state("y.1.0", state);
	CU_ASSERT_STRING_EQUAL(state, "stopped");
}

static void on_identified(enum worker_identity identity, void *ctx)
{
	((struct result *)ctx)->status = (int)identity;
}

static int run_identify(struct worker *client)
{
	struct result result = {.status = PENDING};

	CU_ASSERT_EQUAL(worker_identify(client, on_identified, &result), 0);
	CU_ASSERT_EQUAL(worker_identify(client, on_identified, &result), -ERR_EXISTS);
	CU_ASSERT(run_until(is_done, &result));
	return result.status;
}

/* Guards against a worker that counts as gone because it does not answer, or as there when it is
 * gone. */
static void test_identify(void)
{
	struct worker_handlers handlers = {.on_task = on_task, .on_usage = on_usage};
	struct worker *nobody =
		worker_create(mem, ev, "http://127.0.0.1:1", 1, &handlers, metrics_create(mem));
	uint64_t until_ms;

	CU_ASSERT_EQUAL(run_identify(nobody), WORKER_GONE);
	talloc_free(nobody);
	CU_ASSERT(!worker_busy(worker));
	CU_ASSERT_EQUAL(run_identify(worker), WORKER_UNDECIDED);
	CU_ASSERT_EQUAL(run_start("z.1.0", 1, 1, "{}"), 0);
	CU_ASSERT(worker_busy(worker));
	until_ms = util_clock_ms() + 5;
	CU_ASSERT(run_until(time_passed, &until_ms));
	CU_ASSERT_EQUAL(run_identify(worker), WORKER_SAME);
	set_fault("{\"empty_lists\":true}");
	CU_ASSERT_EQUAL(run_identify(worker), WORKER_GONE);
	set_fault("{\"empty_lists\":false}");
	proc_signal(&fake, SIGSTOP);
	CU_ASSERT_EQUAL(run_identify(worker), WORKER_UNDECIDED);
	proc_signal(&fake, SIGCONT);
	CU_ASSERT_EQUAL(run_identify(worker), WORKER_SAME);
	CU_ASSERT_EQUAL(run_stop("z.1.0", false).status, 0);
}

static void restart_fake(struct tevent_context *context, struct tevent_timer *te,
			 struct timeval now, void *data)
{
	char address[64];
	const char *const arguments[] = {"--target", "worker-1", "--listen", address, NULL};

	snprintf(address, sizeof(address), "%s", fake.address[0]);
	proc_kill(&fake);
	CU_ASSERT_FATAL(proc_start(&fake, "fake_worker", "worker-restarted", arguments));
}

/*
 * Guards against a start that is reported as refused because the worker, which has restarted since,
 * doesn't know the task: its former process may have run it.
 */
static void test_worker_restarts_after_start(void)
{
	set_fault("{\"late_starts\":true}");
	tevent_add_timer(ev, mem, tevent_timeval_current_ofs(0, 300000), restart_fake, NULL);
	CU_ASSERT_EQUAL(run_start("s.1.0", 1, 1, "{}"), -ERR_OUTCOME_UNKNOWN);
}

static void thaw_fake(struct tevent_context *context, struct tevent_timer *te, struct timeval now,
		      void *data)
{
	proc_signal(&fake, SIGCONT);
}

static void announce(struct tevent_context *context, struct tevent_timer *te, struct timeval now,
		     void *data)
{
	worker_announced(worker, util_clock_ms() - TASK_LEASE_MS - 1, util_clock_ms());
	tevent_add_timer(ev, data, tevent_timeval_current_ofs(0, 200000), announce, data);
}

/*
 * Guards against a job that is given up as one that may have run, although its worker says that it
 * never started the task and still announces itself under the same incarnation.
 */
static void test_refused_late(void)
{
	TALLOC_CTX *timers = talloc_new(mem);

	/* The lease is over when the worker reads the start. */
	announce(NULL, NULL, (struct timeval){0}, timers);
	proc_signal(&fake, SIGSTOP);
	tevent_add_timer(ev, timers, tevent_timeval_current_ofs(2, 500000), thaw_fake, NULL);
	CU_ASSERT_EQUAL(run_start("t.1.0", 1, 1, "{}"), -ERR_UNAVAILABLE);
	talloc_free(timers);
}

static void test_stop(void)
{
	talloc_free(worker);
	CU_ASSERT_EQUAL(proc_stop(&fake, WAIT_MS), 0);
	talloc_free(mem);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("worker", NULL, NULL);
	CU_add_test(suite, "start", test_start);
	CU_add_test(suite, "admission", test_admission);
	CU_add_test(suite, "reports", test_reports);
	CU_add_test(suite, "late_start", test_late_start);
	CU_add_test(suite, "stop_while_starting", test_stop_while_starting);
	CU_add_test(suite, "frozen_worker", test_frozen_worker);
	CU_add_test(suite, "expired_start", test_expired_start);
	CU_add_test(suite, "lease", test_lease);
	CU_add_test(suite, "lost_renewal_answers", test_lost_renewal_answers);
	CU_add_test(suite, "unanswered_start", test_unanswered_start);
	CU_add_test(suite, "start_for_former_incarnation", test_start_for_former_incarnation);
	CU_add_test(suite, "failed_checkpoint", test_failed_checkpoint);
	CU_add_test(suite, "wrong_lists", test_wrong_lists);
	CU_add_test(suite, "denied_stop", test_denied_stop);
	CU_add_test(suite, "identify", test_identify);
	CU_add_test(suite, "worker_restarts_after_start", test_worker_restarts_after_start);
	CU_add_test(suite, "refused_late", test_refused_late);
	CU_add_test(suite, "stop", test_stop);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
