#include "lib_agent.h"
#include "target.h"
#include "util.h"
#include "worker.h"

#include <CUnit/Basic.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WAIT_MS 20000
#define HOLD_TTL_MS 5000
#define ANNOUNCE_PERIOD_MS 1000 /* of fake_worker */
#define AGENT_TICK_MS 200
#define CALL_MARGIN_MS 100     /* start of a process, one call */
#define RING_BREAK_MAX_MS 4000 /* a gang with a dead member has stopped within this time */

static struct agent_rig rig;

static void send_hold(const char *job, uint64_t member, uint64_t mask, const char *payload)
{
	struct msg msg = {.type = MSG_HOLD};

	msg.u.hold = (struct msg_hold){
		.epoch = 1,
		.job = job,
		.attempt = 1,
		.member = member,
		.organisation = "org-a",
		.class_name = "class-a",
		.accelerator_mask = mask,
		.cores = 8,
		.memory_mb = 1000,
		.ttl_ms = HOLD_TTL_MS,
		.checkpoint = 1,
		.payload = {(const uint8_t *)payload, strlen(payload)},
	};
	rig_send(&rig, &msg);
}

static void send_start(const char *job, uint64_t member, size_t members)
{
	const char *nodes[] = {"agent-1", "agent-1"};
	const char *addresses[] = {rig.agent.address[1], rig.agent.address[1]};
	struct msg msg = {.type = MSG_START};

	msg.u.start = (struct msg_start){
		.epoch = 1,
		.job = job,
		.attempt = 1,
		.member = member,
		.nodes = {nodes, members},
		.addresses = {addresses, members},
	};
	rig_send(&rig, &msg);
}

struct wanted {
	enum msg_type type;
	const char *job;
	uint64_t member;
	uint64_t state; /* only compared for MEMBER_STATUS */
};

static bool is_wanted(const struct msg *msg, const struct wanted *wanted)
{
	if (msg->type != wanted->type)
		return false;
	if (msg->type == MSG_MEMBER_STATUS)
		return !strcmp(msg->u.member_status.job, wanted->job) &&
		       msg->u.member_status.member == wanted->member &&
		       msg->u.member_status.state == wanted->state;
	if (msg->type == MSG_HELD)
		return !strcmp(msg->u.held.job, wanted->job) &&
		       msg->u.held.member == wanted->member;
	return !strcmp(msg->u.hold_refused.job, wanted->job) &&
	       msg->u.hold_refused.member == wanted->member;
}

static const struct msg *find_in_inbox(const struct wanted *wanted)
{
	for (size_t i = 0; i < rig.inbox_count; i++) {
		if (is_wanted(rig.inbox[i], wanted))
			return rig.inbox[i];
	}
	return NULL;
}

static bool has_arrived(struct agent_rig *r, void *ctx)
{
	return find_in_inbox(ctx) != NULL;
}

static const struct msg *wait_for(enum msg_type type, const char *job, uint64_t member,
				  uint64_t state)
{
	struct wanted wanted = {type, job, member, state};

	if (!rig_run_until(&rig, has_arrived, &wanted, WAIT_MS))
		fprintf(stderr, "no %s for %s member %llu state %llu\n", msg_type_name(type), job,
			(unsigned long long)member, (unsigned long long)state);
	CU_ASSERT_PTR_NOT_NULL_FATAL(find_in_inbox(&wanted));
	return find_in_inbox(&wanted);
}

static void run_gang(const char *job, uint64_t mask, size_t members, const char *payload)
{
	for (uint64_t i = 0; i < members; i++)
		send_hold(job, i, mask << i, payload);
	for (uint64_t i = 0; i < members; i++)
		wait_for(MSG_HELD, job, i, 0);
	for (uint64_t i = 0; i < members; i++)
		send_start(job, i, members);
	for (uint64_t i = 0; i < members; i++)
		wait_for(MSG_MEMBER_STATUS, job, i, MSG_MEMBER_RUNNING);
}

/* Copies the state of a task from the worker's history; "" if it never started there. */
static void task_state_at(const char *address, const char *id, char state[32])
{
	char url[128];
	struct http_reply reply;
	json_t *root;
	json_t *item;
	size_t i;

	snprintf(url, sizeof(url), "http://%s/history", address);
	reply = http_call("GET", url, NULL, NULL, WAIT_MS);
	root = json_loads(reply.body, 0, NULL);
	state[0] = '\0';
	json_array_foreach(json_object_get(root, "tasks"), i, item)
	{
		if (!strcmp(json_string_value(json_object_get(item, "id")), id))
			snprintf(state, 32, "%s",
				 json_string_value(json_object_get(item, "state")));
	}
	json_decref(root);
	http_reply_free(&reply);
}

static void task_state(const char *id, char state[32])
{
	task_state_at(rig.target.address[0], id, state);
}

static bool task_stopped(struct agent_rig *r, void *ctx)
{
	char state[32];

	task_state(ctx, state);
	return !strcmp(state, "stopped");
}

static void test_start(void)
{
	rig_start(&rig, 1);
	rig_start_worker(&rig);
}

/* Guards against members that do not start, or whose end is not reported to the coordinator. */
static void test_run(void)
{
	run_gang("0a", 1, 2, "{\"run_ms\":300}");
	wait_for(MSG_MEMBER_STATUS, "0a", 0, MSG_MEMBER_DONE);
	wait_for(MSG_MEMBER_STATUS, "0a", 1, MSG_MEMBER_DONE);
}

/* Guards against a task that cannot run but holds its accelerators for ever. */
static void test_never_runs(void)
{
	send_hold("0b", 0, 1, "{\"never_runs\":true}");
	wait_for(MSG_HELD, "0b", 0, 0);
	send_start("0b", 0, 1);
	wait_for(MSG_MEMBER_STATUS, "0b", 0, MSG_MEMBER_FAILED);
}

/*
 * Guards against a member that is reported as never started although its task has run: a job that
 * must run once would be started again.
 */
static void test_unanswered_start(void)
{
	const struct msg *status;
	char state[32];

	rig_set_fault(&rig, "{\"late_starts\":true}");
	send_hold("15", 0, 1, "{}");
	wait_for(MSG_HELD, "15", 0, 0);
	send_start("15", 0, 1);
	status = wait_for(MSG_MEMBER_STATUS, "15", 0, MSG_MEMBER_START_FAILED);
	CU_ASSERT_EQUAL(status->u.member_status.may_have_run, 1);
	rig_set_fault(&rig, "{\"late_starts\":false}");
	task_state("15.1.0", state);
	CU_ASSERT_STRING_EQUAL(state, "stopped");
}

/* Guards against a stop that loses the checkpoint or leaves the task running. */
static void test_stop_task(void)
{
	struct msg msg = {.type = MSG_STOP};
	const struct msg *status;
	char state[32];

	run_gang("0c", 1, 1, "{\"resume_ms\":50}");
	msg.u.stop = (struct msg_stop){1, "0c", 1, 1000, 1};
	rig_send(&rig, &msg);
	status = wait_for(MSG_MEMBER_STATUS, "0c", 0, MSG_MEMBER_STOPPED);
	CU_ASSERT(status->u.member_status.checkpoint_ms >= 50);
	task_state("0c.1.0", state);
	CU_ASSERT_STRING_EQUAL(state, "stopped");
}

/* Guards against holds that give the same accelerator to two jobs. */
static void test_refused(void)
{
	send_hold("0d", 0, 0xff, "{}");
	wait_for(MSG_HELD, "0d", 0, 0);
	send_hold("0e", 0, 0x80, "{}");
	CU_ASSERT_EQUAL(wait_for(MSG_HOLD_REFUSED, "0e", 0, 0)->u.hold_refused.code, ERR_NO_TARGET);
	rig_send(&rig, &(struct msg){.type = MSG_RELEASE, .u.release = {1, "0d", 1}});
	send_hold("0f", 0, 0x80, "{}");
	wait_for(MSG_HELD, "0f", 0, 0);
	rig_send(&rig, &(struct msg){.type = MSG_RELEASE, .u.release = {1, "0f", 1}});
}

static bool time_passed(struct agent_rig *r, void *ctx)
{
	return util_clock_ms() > *(const uint64_t *)ctx;
}

/*
 * Guards against tasks that run on while their agent is frozen, or that the agent reports as
 * running when it continues.
 */
static void test_frozen_agent(void)
{
	char id[] = "10.1.0";
	uint64_t frozen_at;
	uint64_t thaw_at;

	run_gang("10", 1, 1, "{}");
	frozen_at = util_clock_ms();
	proc_signal(&rig.agent, SIGSTOP);
	CU_ASSERT(rig_run_until(&rig, task_stopped, id, WAIT_MS));
	CU_ASSERT(util_clock_ms() - frozen_at <= RING_BREAK_MAX_MS);
	thaw_at = util_clock_ms() + 500;
	CU_ASSERT(rig_run_until(&rig, time_passed, &thaw_at, WAIT_MS));
	proc_signal(&rig.agent, SIGCONT);
	wait_for(MSG_MEMBER_STATUS, "10", 0, MSG_MEMBER_LOST);
}

static bool target_alive(struct agent_rig *r, void *ctx)
{
	return r->entries[0].target_state == MSG_TARGET_ALIVE;
}

/*
 * Guards against members that count as running on a worker that no longer announces itself, and
 * against new members on it.
 */
static void test_silent_worker(void)
{
	CU_ASSERT(rig_run_until(&rig, target_alive, NULL, WAIT_MS));
	run_gang("11", 1, 1, "{}");
	rig_set_fault(&rig, "{\"silent\":true}");
	wait_for(MSG_MEMBER_STATUS, "11", 0, MSG_MEMBER_LOST);
	send_hold("12", 0, 1, "{}");
	wait_for(MSG_HOLD_REFUSED, "12", 0, 0);
	CU_ASSERT(rig_run_until(&rig, task_stopped, "11.1.0", WAIT_MS));
	rig_set_fault(&rig, "{\"silent\":false}");
}

static void post_announcement(json_t *root, int status, const char *text)
{
	char *body = json_dumps(root, JSON_COMPACT);
	struct http_reply reply;
	char url[128];

	snprintf(url, sizeof(url), "http://%s/v1/announce", rig.agent.address[0]);
	reply = http_call("POST", url, NULL, body, WAIT_MS);
	if (reply.status != status || !strstr(reply.body, text))
		fprintf(stderr, "%s: answer %d %s\n", body, reply.status, reply.body);
	CU_ASSERT_EQUAL(reply.status, status);
	CU_ASSERT_PTR_NOT_NULL(strstr(reply.body, text));
	http_reply_free(&reply);
	free(body);
	json_decref(root);
}

/* The announcement that the worker itself would send now. */
static json_t *true_announcement(void)
{
	char url[128];

	snprintf(url, sizeof(url), "http://%s", rig.target.address[0]);
	return json_pack("{s:s, s:s, s:s, s:I, s:I, s:s, s:i, s:i, s:i}", "kind", "worker",
			 "target", "worker-1", "url", url, "incarnation",
			 (json_int_t)rig.entries[0].target_incarnation, "clock_ms",
			 (json_int_t)util_clock_ms(), "state", "alive", "accelerators", 8, "cores",
			 128, "memory_mb", 524288);
}

static void run_for(uint64_t ms)
{
	uint64_t until_ms = util_clock_ms() + ms;

	CU_ASSERT(rig_run_until(&rig, time_passed, &until_ms, WAIT_MS));
}

/* Checks that a member still runs after the time in which its loss would have been reported. */
static void check_still_runs(const char *job, const char *task)
{
	struct wanted lost = {MSG_MEMBER_STATUS, job, 0, MSG_MEMBER_LOST};
	char state[32];

	run_for(TASK_LEASE_EXPIRY_MS + 1000);
	CU_ASSERT_PTR_NULL(find_in_inbox(&lost));
	task_state(task, state);
	CU_ASSERT_STRING_EQUAL(state, "running");
}

struct wrong_field {
	const char *field;
	json_t *value; /* NULL: the field is missing */
	int status;
	const char *text; /* part of the answer */
};

/*
 * Guards against work of a live worker that is given up because of one announcement that is not
 * the worker's own, garbled or late.
 */
static void test_wrong_announcement(void)
{
	uint64_t own = rig.entries[0].target_incarnation;
	struct wrong_field cases[] = {
		{"incarnation", json_integer((json_int_t)own + 100000), 409, "asked"},
		{"incarnation", json_integer(INT64_MAX), 409, "asked"},
		{"incarnation", json_integer((json_int_t)own - 100000), 409, "older"},
		{"incarnation", NULL, 400, "incarnation"},
		{"incarnation", json_string("1"), 400, "incarnation"},
		{"url", json_string("http://127.0.0.1:1"), 409, "asked"},
		{"url", json_string("http://127.0.0.1:+1"), 400, "url"},
		{"target", json_string("worker-2"), 409, "worker-1"},
		{"target", json_string("worker-1\n"), 400, "target"},
		{"kind", json_string("service"), 400, "service"},
		{"clock_ms", json_integer(1), 400, "clock_ms"},
		{"clock_ms", json_integer((json_int_t)util_clock_ms() + 3600000), 400, "clock_ms"},
		{"clock_ms", NULL, 400, "clock_ms"},
	};
	json_t *service;

	run_gang("20", 1, 1, "{}");
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		json_t *root = true_announcement();

		if (cases[i].value)
			json_object_set_new(root, cases[i].field, cases[i].value);
		else
			json_object_del(root, cases[i].field);
		post_announcement(root, cases[i].status, cases[i].text);
		/* The answer of the worker to one claim is not shared by the next one. */
		run_for(300);
	}
	service = true_announcement();
	json_object_set_new(service, "kind", json_string("service"));
	json_object_set_new(service, "service", json_string("svc"));
	json_object_set_new(service, "slots", json_integer(8));
	json_object_set_new(service, "connections", json_integer(8));
	post_announcement(service, 409, "asked");
	check_still_runs("20", "20.1.0");
	run_gang("21", 2, 1, "{\"run_ms\":300}");
	wait_for(MSG_MEMBER_STATUS, "21", 0, MSG_MEMBER_DONE);
	rig_send(&rig, &(struct msg){.type = MSG_STOP, .u.stop = {1, "20", 1, 0, 0}});
	wait_for(MSG_MEMBER_STATUS, "20", 0, MSG_MEMBER_STOPPED);
}

static bool has_own_incarnation(struct agent_rig *r, void *ctx)
{
	return r->entries[0].target_state == MSG_TARGET_ALIVE &&
	       r->entries[0].target_incarnation == *(const uint64_t *)ctx;
}

static bool has_other_incarnation(struct agent_rig *r, void *ctx)
{
	return r->entries[0].target_incarnation != *(const uint64_t *)ctx;
}

/* Guards against a worker that is refused for ever after one announcement of a larger number. */
static void test_large_incarnation(void)
{
	uint64_t own = rig.entries[0].target_incarnation;
	json_t *root = true_announcement();

	json_object_set_new(root, "incarnation", json_integer(INT64_MAX));
	post_announcement(root, 200, "");
	CU_ASSERT(rig_run_until(&rig, has_other_incarnation, &own, WAIT_MS));
	CU_ASSERT(rig_run_until(&rig, has_own_incarnation, &own, WAIT_MS));
	run_gang("22", 1, 1, "{\"run_ms\":300}");
	wait_for(MSG_MEMBER_STATUS, "22", 0, MSG_MEMBER_DONE);
}

/*
 * Guards against a restart of the worker that is noticed late because the present worker is asked
 * first: its members end within the time of a silent worker.
 */
static void check_restart(const char *job, const char *listen)
{
	uint64_t own = rig.entries[0].target_incarnation;
	uint64_t killed_ms;
	uint64_t seen_ms;
	uint64_t lost_ms;

	run_gang(job, 1, 1, "{}");
	killed_ms = util_clock_ms();
	rig_restart_worker(&rig, listen);
	CU_ASSERT(rig_run_until(&rig, has_other_incarnation, &own, WAIT_MS));
	seen_ms = util_clock_ms() - killed_ms;
	wait_for(MSG_MEMBER_STATUS, job, 0, MSG_MEMBER_LOST);
	lost_ms = util_clock_ms() - killed_ms;
	printf("restart at %s: seen after %llu ms, member lost after %llu ms\n", listen,
	       (unsigned long long)seen_ms, (unsigned long long)lost_ms);
	CU_ASSERT(seen_ms <= TARGET_SILENCE_MS + ANNOUNCE_PERIOD_MS);
	CU_ASSERT(lost_ms <= TARGET_SILENCE_MS + ANNOUNCE_PERIOD_MS + TASK_LEASE_EXPIRY_MS);
	CU_ASSERT(rig_run_until(&rig, target_alive, NULL, WAIT_MS));
}

static void test_restart(void)
{
	char address[64];

	snprintf(address, sizeof(address), "%s", rig.target.address[0]);
	check_restart("23", address);
	check_restart("24", "127.0.0.1:0");
}

/*
 * Guards against a worker that has no answer to whether it has ended, and is waited for for longer
 * than a silent one; and against one that still has its tasks when their end is reported.
 */
static void test_frozen_worker_replaced(void)
{
	uint64_t own = rig.entries[0].target_incarnation;
	struct proc old = rig.target;
	uint64_t frozen_ms;
	char state[32];

	run_gang("26", 1, 1, "{}");
	frozen_ms = util_clock_ms();
	proc_signal(&old, SIGSTOP);
	rig_start_other_worker(&rig);
	CU_ASSERT(rig_run_until(&rig, has_other_incarnation, &own, WAIT_MS));
	CU_ASSERT(util_clock_ms() - frozen_ms <=
		  TARGET_SILENCE_MS + AGENT_TICK_MS + ANNOUNCE_PERIOD_MS + CALL_MARGIN_MS);
	wait_for(MSG_MEMBER_STATUS, "26", 0, MSG_MEMBER_LOST);
	proc_signal(&old, SIGCONT);
	run_for(100);
	task_state_at(old.address[0], "26.1.0", state);
	CU_ASSERT_STRING_EQUAL(state, "stopped");
	proc_kill(&old);
	CU_ASSERT(rig_run_until(&rig, target_alive, NULL, WAIT_MS));
}

/*
 * Guards against a worker that counts as silent because its agent did not run: each freeze is
 * shorter than what is left of a lease.
 */
static void test_short_freezes(void)
{
	run_gang("25", 1, 1, "{}");
	for (int i = 0; i < 4; i++) {
		proc_signal(&rig.agent, SIGSTOP);
		run_for(1600);
		proc_signal(&rig.agent, SIGCONT);
		run_for(1250);
	}
	check_still_runs("25", "25.1.0");
	rig_send(&rig, &(struct msg){.type = MSG_STOP, .u.stop = {1, "25", 1, 0, 0}});
	wait_for(MSG_MEMBER_STATUS, "25", 0, MSG_MEMBER_STOPPED);
}

static bool target_leaving(struct agent_rig *r, void *ctx)
{
	return r->entries[0].target_state == MSG_TARGET_LEAVING;
}

/* Guards against new members on a worker whose agent is shutting down. */
static void test_leaving(void)
{
	rig.entries[0].target_state = 0;
	CU_ASSERT(rig_run_until(&rig, target_alive, NULL, WAIT_MS));
	run_gang("13", 1, 1, "{\"run_ms\":3000}");
	proc_signal(&rig.agent, SIGTERM);
	/* The agent announces this when it begins its shutdown. */
	CU_ASSERT_FATAL(rig_run_until(&rig, target_leaving, NULL, WAIT_MS));
	send_hold("14", 0, 2, "{}");
	wait_for(MSG_HOLD_REFUSED, "14", 0, 0);
	wait_for(MSG_MEMBER_STATUS, "13", 0, MSG_MEMBER_DONE);
}

static void test_stop(void)
{
	rig_stop(&rig);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("agent_gang", NULL, NULL);
	CU_add_test(suite, "start", test_start);
	CU_add_test(suite, "run", test_run);
	CU_add_test(suite, "never_runs", test_never_runs);
	CU_add_test(suite, "stop_task", test_stop_task);
	CU_add_test(suite, "unanswered_start", test_unanswered_start);
	CU_add_test(suite, "refused", test_refused);
	CU_add_test(suite, "wrong_announcement", test_wrong_announcement);
	CU_add_test(suite, "large_incarnation", test_large_incarnation);
	CU_add_test(suite, "restart", test_restart);
	CU_add_test(suite, "frozen_worker_replaced", test_frozen_worker_replaced);
	CU_add_test(suite, "short_freezes", test_short_freezes);
	CU_add_test(suite, "frozen_agent", test_frozen_agent);
	CU_add_test(suite, "silent_worker", test_silent_worker);
	CU_add_test(suite, "leaving", test_leaving);
	CU_add_test(suite, "stop", test_stop);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
