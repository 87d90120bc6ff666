#include "gang.h"
#include "gangagent.h"
#include "lib_proc.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define AGENTS 3
#define WAIT_MS 20000
#define JOB "00112233445566ff"

/* One of three agents with its fake worker; the test itself acts as the coordinator. */
struct node {
	struct proc fake;
	struct slots *slots;
	struct worker *worker;
	struct wire *wire;
	struct gangagent *gang;
	char name[16];
	char peer[24];
};

static struct {
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	struct metrics *metrics;
	struct wire *coordinator;
	struct node nodes[AGENTS];
	uint64_t status[AGENTS]; /* last state that each member has reported; 0: none */
	bool held[AGENTS];
	uint64_t refused[AGENTS]; /* code of the last HOLD_REFUSED of each member; 0: none */
} t;

static void on_coordinator_message(const char *peer, struct msg *msg, void *ctx)
{
	if (msg->type == MSG_HELD)
		t.held[msg->u.held.member] = true;
	else if (msg->type == MSG_HOLD_REFUSED)
		t.refused[msg->u.hold_refused.member] = msg->u.hold_refused.code;
	else if (msg->type == MSG_MEMBER_STATUS && msg->u.member_status.member < AGENTS)
		t.status[msg->u.member_status.member] = msg->u.member_status.state;
}

static void on_agent_message(const char *peer, struct msg *msg, void *ctx)
{
	gangagent_handle_message(((struct node *)ctx)->gang, peer, msg);
}

static void on_task(const char *id, enum worker_task_state state, const char *reason, void *ctx)
{
	gangagent_handle_task_end(((struct node *)ctx)->gang, id, state, reason);
}

static void on_usage(const char *id, uint32_t percent, uint64_t checkpoint_ms, void *ctx)
{
	gangagent_handle_usage(((struct node *)ctx)->gang, id, percent, checkpoint_ms);
}

static void open_node(int i)
{
	struct node *node = &t.nodes[i];
	const char *arguments[] = {"--accelerators", "4", "--target", node->name, NULL};
	struct wire_handlers handlers = {.on_message = on_agent_message, .ctx = node};
	struct worker_handlers worker = {.on_task = on_task, .on_usage = on_usage, .ctx = node};
	struct slots_capacity capacity = {.accelerators = 4, .cores = 16, .memory_mb = 65536};
	struct gangagent_deps deps = {.ev = t.ev, .metrics = t.metrics, .node = node->name};
	char url[96];

	snprintf(node->name, sizeof(node->name), "w%d", i);
	snprintf(node->peer, sizeof(node->peer), "w%d#1", i);
	CU_ASSERT_TRUE_FATAL(proc_start(&node->fake, "fake_worker", node->name, arguments));
	snprintf(url, sizeof(url), "http://%s", node->fake.address[0]);
	node->slots = slots_create(t.mem);
	slots_set_capacity(node->slots, &capacity);
	node->wire =
		wire_create(t.mem, t.ev, node->peer, "127.0.0.1:0", &handlers, t.metrics, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(node->wire);
	deps.wire = node->wire;
	deps.slots = node->slots;
	node->gang = gangagent_create(t.mem, &deps);
	node->worker = worker_create(t.mem, t.ev, url, 0, &worker, t.metrics);
	gangagent_set_worker(node->gang, node->worker);
	gangagent_set_accepting(node->gang, true);
	CU_ASSERT_EQUAL(wire_connect(t.coordinator, node->peer, wire_address(node->wire)), 0);
}

static void open_all(void)
{
	struct wire_handlers handlers = {.on_message = on_coordinator_message};

	memset(&t, 0, sizeof(t));
	t.mem = talloc_new(NULL);
	t.ev = tevent_context_init(t.mem);
	t.metrics = metrics_create(t.mem);
	t.coordinator =
		wire_create(t.mem, t.ev, "holder#1", "127.0.0.1:0", &handlers, t.metrics, NULL);
	for (int i = 0; i < AGENTS; i++)
		open_node(i);
}

static void close_all(void)
{
	for (int i = 0; i < AGENTS; i++) {
		proc_signal(&t.nodes[i].fake, SIGCONT);
		proc_stop(&t.nodes[i].fake, WAIT_MS);
	}
	talloc_free(t.mem);
}

static void wake_loop(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		      void *data)
{
}

static bool run_until(bool (*check)(uint64_t value), uint64_t value)
{
	uint64_t deadline = util_clock_ms() + WAIT_MS;

	while (!check(value)) {
		if (util_clock_ms() > deadline)
			return false;
		tevent_add_timer(t.ev, t.mem, tevent_timeval_current_ofs(0, 10000), wake_loop,
				 NULL);
		tevent_loop_once(t.ev);
	}
	return true;
}

static bool all_held(uint64_t value)
{
	return t.held[0] && t.held[1] && t.held[2];
}

static bool all_state(uint64_t state)
{
	return t.status[0] == state && t.status[1] == state && t.status[2] == state;
}

static bool survivors_state(uint64_t state)
{
	return t.status[1] == state && t.status[2] == state;
}

static bool all_free(uint64_t value)
{
	for (int i = 0; i < AGENTS; i++) {
		if (gangagent_count_active(t.nodes[i].gang) ||
		    slots_free_mask(t.nodes[i].slots) != 0xf)
			return false;
	}
	return true;
}

static bool refused_with(uint64_t code)
{
	return t.refused[0] == code;
}

static void send_hold(int i, uint64_t epoch, uint64_t attempt, uint64_t mask)
{
	static const char payload[] = "{\"run_ms\":60000}";
	struct msg msg = {.type = MSG_HOLD};

	msg.u.hold = (struct msg_hold){.epoch = epoch,
				       .job = JOB,
				       .attempt = attempt,
				       .member = (uint64_t)i,
				       .accelerator_mask = mask,
				       .cores = 1,
				       .memory_mb = 64,
				       .ttl_ms = GANG_HOLD_TTL_MS,
				       .checkpoint = 1,
				       .payload = {(const uint8_t *)payload, sizeof(payload) - 1}};
	CU_ASSERT_EQUAL(wire_send(t.coordinator, t.nodes[i].peer, &msg), 0);
}

static void send_start(int i, uint64_t epoch, uint64_t attempt)
{
	const char *nodes[AGENTS];
	const char *addresses[AGENTS];
	struct msg msg = {.type = MSG_START};

	for (int k = 0; k < AGENTS; k++) {
		nodes[k] = t.nodes[k].name;
		addresses[k] = wire_address(t.nodes[k].wire);
	}
	msg.u.start = (struct msg_start){.epoch = epoch,
					 .job = JOB,
					 .attempt = attempt,
					 .member = (uint64_t)i,
					 .nodes = {nodes, AGENTS},
					 .addresses = {addresses, AGENTS}};
	CU_ASSERT_EQUAL(wire_send(t.coordinator, t.nodes[i].peer, &msg), 0);
}

static void send_stop(int i, uint64_t epoch, uint64_t attempt)
{
	struct msg msg = {.type = MSG_STOP};

	msg.u.stop = (struct msg_stop){
		.epoch = epoch, .job = JOB, .attempt = attempt, .grace_ms = 1000, .checkpoint = 1};
	CU_ASSERT_EQUAL(wire_send(t.coordinator, t.nodes[i].peer, &msg), 0);
}

static void run_gang(uint64_t attempt)
{
	memset(t.held, 0, sizeof(t.held));
	memset(t.status, 0, sizeof(t.status));
	for (int i = 0; i < AGENTS; i++)
		send_hold(i, 1, attempt, 3);
	CU_ASSERT_TRUE_FATAL(run_until(all_held, 0));
	for (int i = 0; i < AGENTS; i++)
		send_start(i, 1, attempt);
	CU_ASSERT_TRUE_FATAL(run_until(all_state, MSG_MEMBER_RUNNING));
}

/*
 * Guards against members that start alone, keep accelerators after the end, or accept messages
 * from a former coordinator.
 */
static void test_run_and_stop(void)
{
	open_all();
	run_gang(gang_attempt(1, 1));
	CU_ASSERT_EQUAL(slots_free_mask(t.nodes[0].slots), 0xc);
	for (int i = 0; i < AGENTS; i++)
		send_stop(i, 2, gang_attempt(1, 1));
	CU_ASSERT_TRUE(run_until(all_state, MSG_MEMBER_STOPPED));
	CU_ASSERT_TRUE(run_until(all_free, 0));
	send_hold(0, 1, gang_attempt(1, 2), 3);
	CU_ASSERT_TRUE(run_until(refused_with, ERR_STALE));
	send_hold(0, 2, gang_attempt(2, 1), 0x30);
	CU_ASSERT_TRUE(run_until(refused_with, ERR_NO_TARGET));
	close_all();
}

/* Guards against a gang that starts in part when one member does not receive START. */
static void test_missing_start(void)
{
	open_all();
	for (int i = 0; i < AGENTS; i++)
		send_hold(i, 1, gang_attempt(1, 1), 3);
	CU_ASSERT_TRUE_FATAL(run_until(all_held, 0));
	send_start(1, 1, gang_attempt(1, 1));
	send_start(2, 1, gang_attempt(1, 1));
	CU_ASSERT_TRUE(run_until(all_state, MSG_MEMBER_START_FAILED));
	CU_ASSERT_TRUE(run_until(all_free, 0));
	close_all();
}

/*
 * Guards against members that run on after the agent of another member has vanished without a
 * message. The ring must detect that within 4 s.
 */
static void test_broken_ring(void)
{
	uint64_t begun;

	open_all();
	run_gang(gang_attempt(1, 1));
	begun = util_clock_ms();
	TALLOC_FREE(t.nodes[0].worker);
	TALLOC_FREE(t.nodes[0].gang);
	wire_destroy(t.nodes[0].wire, 0);
	CU_ASSERT_TRUE(run_until(survivors_state, MSG_MEMBER_LOST));
	/* 4 s for the ring to break, and time to stop a task at the worker. */
	CU_ASSERT_TRUE(util_clock_ms() - begun <
		       GANG_PREDECESSOR_TIMEOUT_MS + GANG_PING_INTERVAL_MS + 5000);
	CU_ASSERT_EQUAL(gangagent_count_active(t.nodes[1].gang), 0);
	CU_ASSERT_EQUAL(gangagent_count_active(t.nodes[2].gang), 0);
	close_all();
}

/*
 * Guards against two attempts of one job at once on an agent that the former coordinator had
 * found lost: the new hold is refused and the earlier attempt is stopped.
 */
static void test_superseded(void)
{
	open_all();
	run_gang(gang_attempt(1, 1));
	send_hold(0, 2, gang_attempt(2, 2), 0xc);
	CU_ASSERT_TRUE(run_until(refused_with, ERR_STALE));
	CU_ASSERT_TRUE(run_until(all_state, MSG_MEMBER_LOST));
	CU_ASSERT_TRUE(run_until(all_free, 0));
	close_all();
}

/* Guards against members whose end is never reported when their worker leaves. */
static void test_worker_leaves(void)
{
	open_all();
	run_gang(gang_attempt(1, 1));
	gangagent_set_worker(t.nodes[0].gang, NULL);
	CU_ASSERT_TRUE(run_until(all_state, MSG_MEMBER_LOST));
	CU_ASSERT_TRUE(run_until(all_free, 0));
	send_hold(0, 1, gang_attempt(1, 2), 3);
	CU_ASSERT_TRUE(run_until(refused_with, ERR_LEAVING));
	close_all();
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("gangagent", NULL, NULL);
	CU_add_test(suite, "run and stop", test_run_and_stop);
	CU_add_test(suite, "missing start", test_missing_start);
	CU_add_test(suite, "broken ring", test_broken_ring);
	CU_add_test(suite, "superseded", test_superseded);
	CU_add_test(suite, "worker leaves", test_worker_leaves);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
