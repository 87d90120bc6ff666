#include "lib_callers.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#define SERVICES 4
#define LEAVE_BOUND_MS 3000 /* a target that leaves receives no new work after this */

static struct cluster cluster;

static int start(void)
{
	struct cluster_options options = {.example = "nefeli", .entries = 2, .services = SERVICES};

	return cluster_start(&cluster, &options) ? 0 : 1;
}

static int stop(void)
{
	return cluster_stop(&cluster) ? 0 : 1;
}

static void check_safety(const struct callers_summary *s)
{
	CU_ASSERT_EQUAL(s->mixed, 0);
	CU_ASSERT_EQUAL(s->cut, 0);
	CU_ASSERT_EQUAL(s->false_not_run, 0);
	CU_ASSERT_EQUAL(s->lost, 0);
	fprintf(stderr,
		"sent %u: whole %u, not run %u, unknown %u, failed %u, broken %u, doubled %u\n",
		s->sent, s->whole, s->not_run, s->unknown, s->failed, s->broken, s->doubled);
}

struct progress {
	struct callers *callers;
	unsigned int sent;
};

static bool has_sent(void *ctx)
{
	const struct progress *progress = ctx;

	return callers_sent(progress->callers) >= progress->sent;
}

static void wait_sent(struct callers *callers, unsigned int more)
{
	struct progress progress = {.callers = callers, .sent = callers_sent(callers) + more};

	CU_ASSERT(wait_until(has_sent, &progress, 60000));
}

static struct callers *start_callers(const char *idempotent, bool keys, bool balanced)
{
	struct callers_options options = {
		.threads = 8,
		.work_ms = 30,
		.class_name = "net-angle-check",
		.idempotent = idempotent,
		.keys = keys,
		.balanced = balanced,
	};

	return callers_start(&cluster, &options);
}

/* Guards against a second run of a non-idempotent request after its agent died. */
static void test_agent_killed(void)
{
	struct callers *callers = start_callers("no", false, true);
	struct callers_summary s;

	wait_sent(callers, 40);
	proc_kill(&cluster.targets[0].agent);
	wait_sent(callers, 80);
	callers_keep_history(callers, &cluster.targets[0].target);
	proc_kill(&cluster.targets[0].target);
	CU_ASSERT(cluster_start_target(&cluster, 0));
	wait_sent(callers, 80);
	callers_stop(callers);
	callers_summary(callers, &s);
	check_safety(&s);
	CU_ASSERT_EQUAL(s.doubled, 0);
	CU_ASSERT_EQUAL(s.failed, 0);
	CU_ASSERT_EQUAL(s.broken, 0);
	/* Only what the dead agent was running may have an unknown outcome. */
	CU_ASSERT(s.unknown <= 8);
	callers_free(callers);
}

/* Guards against callers that see the failure of an agent although a retry was safe. */
static void test_agent_killed_idempotent(void)
{
	struct callers *callers = start_callers("yes", false, true);
	struct callers_summary s;

	wait_sent(callers, 40);
	proc_kill(&cluster.targets[1].agent);
	wait_sent(callers, 80);
	callers_keep_history(callers, &cluster.targets[1].target);
	proc_kill(&cluster.targets[1].target);
	CU_ASSERT(cluster_start_target(&cluster, 1));
	callers_stop(callers);
	callers_summary(callers, &s);
	check_safety(&s);
	CU_ASSERT_EQUAL(s.whole, s.sent);
	callers_free(callers);
}

static uint64_t last_start(const struct proc *stand_in)
{
	json_t *history = cluster_history(stand_in);
	uint64_t last = 0;
	json_t *item;
	size_t i;

	json_array_foreach(json_object_get(history, "requests"), i, item)
	{
		uint64_t at = (uint64_t)json_integer_value(json_object_get(item, "started_ms"));

		if (at > last)
			last = at;
	}
	json_decref(history);
	return last;
}

/* Guards against work that a frozen agent starts after it resumes, when its callers have given up.
 */
static void test_agent_frozen(void)
{
	struct callers *callers = start_callers("no", false, true);
	uint64_t frozen_at;
	uint64_t thawed_at;
	struct callers_summary s;

	wait_sent(callers, 40);
	frozen_at = util_clock_ms();
	proc_signal(&cluster.targets[2].agent, SIGSTOP);
	wait_sent(callers, 200);
	while (util_clock_ms() < frozen_at + LEAVE_BOUND_MS + 1000)
		wait_sent(callers, 10);
	CU_ASSERT(last_start(&cluster.targets[2].target) <= frozen_at + LEAVE_BOUND_MS);
	callers_stop(callers);
	thawed_at = util_clock_ms();
	proc_signal(&cluster.targets[2].agent, SIGCONT);
	callers_summary(callers, &s);
	check_safety(&s);
	CU_ASSERT_EQUAL(s.doubled, 0);
	CU_ASSERT_EQUAL(s.failed, 0);
	callers_free(callers);
	/* No caller waits any more, so nothing may start until new requests arrive. */
	callers = start_callers("no", false, true);
	wait_sent(callers, 60);
	callers_stop(callers);
	callers_summary(callers, &s);
	check_safety(&s);
	CU_ASSERT_EQUAL(s.doubled, 0);
	CU_ASSERT_EQUAL(s.runs, s.whole + s.unknown + s.failed);
	CU_ASSERT(thawed_at >= frozen_at);
	callers_free(callers);
}

/* Guards against new work for a target that has said it leaves, and against cut-off requests. */
static void test_target_leaves(void)
{
	struct callers *callers = start_callers("no", false, true);
	uint64_t left_at;
	struct callers_summary s;

	wait_sent(callers, 40);
	left_at = util_clock_ms();
	proc_signal(&cluster.targets[3].target, SIGTERM);
	callers_keep_history(callers, &cluster.targets[3].target);
	wait_sent(callers, 100);
	while (util_clock_ms() < left_at + LEAVE_BOUND_MS)
		wait_sent(callers, 10);
	CU_ASSERT_EQUAL(proc_stop(&cluster.targets[3].target, 10000), 0);
	callers_stop(callers);
	callers_summary(callers, &s);
	CU_ASSERT_EQUAL(s.mixed + s.cut + s.false_not_run, 0);
	CU_ASSERT_EQUAL(s.failed + s.broken + s.unknown + s.not_run, 0);
	callers_free(callers);
	proc_kill(&cluster.targets[3].agent);
	CU_ASSERT(cluster_start_target(&cluster, 3));
}

/* Guards against cut answers that are passed on as whole. */
static void test_cut_answers(void)
{
	struct callers *callers;
	struct callers_summary s;

	for (unsigned int i = 0; i < SERVICES; i++)
		CU_ASSERT(cluster_fault(&cluster.targets[i].target, "{\"cut_after\":10}"));
	callers = start_callers("no", false, false);
	wait_sent(callers, 40);
	callers_stop(callers);
	callers_summary(callers, &s);
	check_safety(&s);
	CU_ASSERT_EQUAL(s.whole, 0);
	CU_ASSERT_EQUAL(s.doubled, 0);
	callers_free(callers);
	for (unsigned int i = 0; i < SERVICES; i++)
		CU_ASSERT(cluster_fault(&cluster.targets[i].target, "{\"cut_after\":0}"));
}

struct keyed {
	unsigned int entry;
	struct http_reply reply;
};

static void *call_keyed(void *ctx)
{
	struct keyed *keyed = ctx;

	keyed->reply = cluster_request(&cluster, keyed->entry, "net-angle-check", "same-key", "no",
				       "{\"work_ms\":600,\"echo\":\"same\"}");
	return NULL;
}

static unsigned int runs_of(const char *echo)
{
	unsigned int runs = 0;

	for (unsigned int i = 0; i < cluster.target_count; i++) {
		json_t *history = cluster_history(&cluster.targets[i].target);
		json_t *item;
		size_t at;

		json_array_foreach(json_object_get(history, "requests"), at, item)
		{
			const char *got = json_string_value(json_object_get(item, "echo"));

			runs += got && !strcmp(got, echo);
		}
		json_decref(history);
	}
	return runs;
}

/* Guards against a second run when one key arrives through two entries at once. */
static void test_same_key(void)
{
	struct keyed calls[2] = {{.entry = 0}, {.entry = 1}};
	struct http_reply late;
	pthread_t threads[2];

	for (int i = 0; i < 2; i++)
		pthread_create(&threads[i], NULL, call_keyed, &calls[i]);
	for (int i = 0; i < 2; i++)
		pthread_join(threads[i], NULL);
	for (int i = 0; i < 2; i++) {
		if (calls[i].reply.status != 200)
			fprintf(stderr, "%d %s\n", calls[i].reply.status, calls[i].reply.body);
		CU_ASSERT_EQUAL(calls[i].reply.status, 200);
		CU_ASSERT_PTR_NOT_NULL(strstr(calls[i].reply.body, "same"));
		http_free(&calls[i].reply);
	}
	CU_ASSERT_EQUAL(runs_of("same"), 1);
	late = cluster_request(&cluster, 1, "net-angle-check", "same-key", "no",
			       "{\"work_ms\":1,\"echo\":\"same\"}");
	CU_ASSERT_EQUAL(late.status, 200);
	CU_ASSERT_EQUAL(runs_of("same"), 1);
	http_free(&late);
}

/* Guards against requests that need no store but fail while it is down. */
static void test_store_down(void)
{
	struct callers *callers;
	struct http_reply keyed;
	struct callers_summary s;

	CU_ASSERT(cluster_fault(&cluster.store, "{\"down\":true}"));
	callers = start_callers("yes", false, false);
	wait_sent(callers, 100);
	callers_stop(callers);
	callers_summary(callers, &s);
	check_safety(&s);
	CU_ASSERT_EQUAL(s.whole, s.sent);
	callers_free(callers);
	keyed = cluster_request(&cluster, 0, "net-angle-check", "down-key", "no",
				"{\"work_ms\":1,\"echo\":\"down\"}");
	CU_ASSERT_EQUAL(keyed.status, 503);
	CU_ASSERT_PTR_NOT_NULL(strstr(keyed.body, "not_run"));
	CU_ASSERT_EQUAL(runs_of("down"), 0);
	http_free(&keyed);
	CU_ASSERT(cluster_fault(&cluster.store, "{\"down\":false}"));
}

/* Guards against requests that fail while every entry and agent is restarted in turn. */
static void test_rolling_restart(void)
{
	struct callers *callers = start_callers("no", false, true);
	struct callers_summary s;

	wait_sent(callers, 40);
	for (unsigned int i = 0; i < cluster.entry_count; i++) {
		CU_ASSERT_EQUAL(proc_stop(&cluster.entries[i], 20000), 0);
		CU_ASSERT(cluster_start_entry(&cluster, i));
		wait_sent(callers, 60);
	}
	for (unsigned int i = 0; i < SERVICES; i++) {
		CU_ASSERT_EQUAL(proc_stop(&cluster.targets[i].agent, 20000), 0);
		callers_keep_history(callers, &cluster.targets[i].target);
		proc_kill(&cluster.targets[i].target);
		CU_ASSERT(cluster_start_target(&cluster, i));
		wait_sent(callers, 40);
	}
	callers_stop(callers);
	callers_summary(callers, &s);
	check_safety(&s);
	CU_ASSERT_EQUAL(s.doubled, 0);
	CU_ASSERT_EQUAL(s.failed + s.unknown + s.not_run + s.broken, 0);
	callers_free(callers);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("requests", start, stop);
	CU_add_test(suite, "same key", test_same_key);
	CU_add_test(suite, "cut answers", test_cut_answers);
	CU_add_test(suite, "store down", test_store_down);
	CU_add_test(suite, "agent killed", test_agent_killed);
	CU_add_test(suite, "agent killed, idempotent", test_agent_killed_idempotent);
	CU_add_test(suite, "agent frozen", test_agent_frozen);
	CU_add_test(suite, "target leaves", test_target_leaves);
	CU_add_test(suite, "rolling restart", test_rolling_restart);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures() + CU_get_number_of_suites_failed();
	CU_cleanup_registry();
	return failures != 0;
}
