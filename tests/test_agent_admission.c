#include "lib_agent.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <signal.h>
#include <string.h>

#define SLOTS_OPTION "4"
#define SLOT_COUNT 4
#define WAIT_MS 20000

static struct agent_rig rig;

/* CUnit allows assertions only in tests, so tests start and stop the processes. */
static void test_start(void)
{
	rig_start(&rig, 1);
	rig_start_service(&rig, SLOTS_OPTION);
}

static void test_stop(void)
{
	rig_stop(&rig);
}

static void send_cancel(uint64_t id)
{
	struct msg msg = {.type = MSG_CANCEL, .u.cancel.id = id};

	rig_send(&rig, &msg);
}

static void send_credit(uint64_t id, uint64_t bytes)
{
	struct msg msg = {.type = MSG_CREDIT, .u.credit = {.id = id, .bytes = bytes}};

	rig_send(&rig, &msg);
}

static uint64_t send_query(uint64_t id, uint64_t key_hash, bool fence)
{
	struct msg msg = {
		.type = MSG_ATTEMPT_QUERY,
		.u.attempt_query = {.id = id, .key_hash = key_hash, .fence = fence},
	};

	rig_send(&rig, &msg);
	return rig_wait(&rig, MSG_ATTEMPT_INFO, id)->u.attempt_info.state;
}

static void send_request(uint64_t id, const char *body)
{
	struct msg msg = rig_request(&rig, id, body);

	rig_send(&rig, &msg);
}

static void send_keyed_request(uint64_t id, uint64_t key_hash, const char *body)
{
	struct msg msg = rig_request(&rig, id, body);

	msg.u.request.key_hash = key_hash;
	rig_send(&rig, &msg);
}

/* Guards against a request that runs twice because its message arrived twice. */
static void test_duplicate(void)
{
	struct msg msg = rig_request(&rig, 100, "{\"echo\":\"dup\",\"work_ms\":50}");

	rig_send(&rig, &msg);
	rig_send(&rig, &msg);
	rig_wait(&rig, MSG_END, 100);
	rig_send(&rig, &msg);
	send_request(101, "{}");
	rig_wait(&rig, MSG_END, 101);
	CU_ASSERT(rig_answer_complete(&rig, 100));
	CU_ASSERT_EQUAL(rig_message_count(&rig, MSG_STARTED, 100), 1);
	CU_ASSERT_EQUAL(rig_message_count(&rig, MSG_END, 100), 1);
	CU_ASSERT_EQUAL(rig_run_count(&rig, "dup"), 1);
}

struct refusal_case {
	const char *service;
	const char *organisation;
	int64_t expiry_ms; /* from now */
	uint64_t code;
};

/*
 * Guards against starting a request that has expired, is invalid or is for another service, also
 * when a valid copy with the same id follows.
 */
static void test_refusals(void)
{
	static const struct refusal_case cases[] = {
		{"svc", "org-a", -1, ERR_DEADLINE},
		{"svc", "org-a", 0, ERR_DEADLINE},
		{"svc", "org-a", 2 * 3600 * 1000, ERR_INVALID},
		{"svc", "org\r\nX-Other: 1", 10000, ERR_INVALID},
		{"other", "org-a", 10000, ERR_NO_TARGET},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		uint64_t id = 200 + i;
		struct msg msg = rig_request(&rig, id, "{\"echo\":\"refused\"}");

		msg.u.request.service = cases[i].service;
		msg.u.request.organisation = cases[i].organisation;
		msg.u.request.expiry_ms = (uint64_t)((int64_t)util_clock_ms() +
						     rig.clock_offset_ms + cases[i].expiry_ms);
		rig_send(&rig, &msg);
		CU_ASSERT_EQUAL(rig_wait(&rig, MSG_NOT_RUN, id)->u.not_run.code, cases[i].code);
		msg = rig_request(&rig, id, "{\"echo\":\"refused\"}");
		rig_send(&rig, &msg);
	}
	send_request(299, "{}");
	rig_wait(&rig, MSG_END, 299);
	CU_ASSERT_EQUAL(rig_run_count(&rig, "refused"), 0);
}

/* Guards against a late REQUEST that runs after its key has moved to another agent. */
static void test_fence(void)
{
	CU_ASSERT_EQUAL(send_query(300, 7001, false), 0);
	CU_ASSERT_EQUAL(send_query(301, 7001, true), MSG_ATTEMPT_FENCED);
	send_keyed_request(302, 7001, "{\"echo\":\"fenced\"}");
	CU_ASSERT_EQUAL(rig_wait(&rig, MSG_NOT_RUN, 302)->u.not_run.code, ERR_STALE);
	CU_ASSERT_EQUAL(rig_run_count(&rig, "fenced"), 0);
}

/* Guards against running a key twice, and against losing an answer with its first reader. */
static void test_join(void)
{
	send_keyed_request(310, 7002,
			   "{\"echo\":\"join\",\"work_ms\":300,\"answer_bytes\":200000}");
	rig_wait(&rig, MSG_STARTED, 310);
	CU_ASSERT_EQUAL(send_query(311, 7002, true), MSG_ATTEMPT_RUNNING);
	send_keyed_request(312, 7002, "{\"echo\":\"join\"}");
	for (uint64_t id = 310; id <= 312; id++) {
		rig_wait(&rig, MSG_END, id);
		CU_ASSERT(rig_answer_complete(&rig, id));
		CU_ASSERT_EQUAL(rig_received_bytes(&rig, id), 200000);
	}
	CU_ASSERT_EQUAL(send_query(313, 7002, true), MSG_ATTEMPT_FINISHED);
	rig_wait(&rig, MSG_END, 313);
	CU_ASSERT(rig_answer_complete(&rig, 313));
	CU_ASSERT_EQUAL(rig_run_count(&rig, "join"), 1);
}

/* Guards against more requests at the target than it has slots. */
static void test_slots_full(void)
{
	for (uint64_t i = 0; i < SLOT_COUNT; i++)
		send_request(400 + i, "{\"work_ms\":400}");
	send_request(410, "{\"echo\":\"full\"}");
	CU_ASSERT_EQUAL(rig_wait(&rig, MSG_NOT_RUN, 410)->u.not_run.code, ERR_NO_TARGET);
	for (uint64_t i = 0; i < SLOT_COUNT; i++) {
		rig_wait(&rig, MSG_END, 400 + i);
		CU_ASSERT(rig_answer_complete(&rig, 400 + i));
	}
	CU_ASSERT_EQUAL(rig_find(&rig, MSG_END, 400 + SLOT_COUNT - 1)->u.end.status, 200);
	CU_ASSERT_EQUAL(rig_run_count(&rig, "full"), 0);
}

/* Guards against passing on a truncated answer as a complete one. */
static void test_cut_answer(void)
{
	const struct msg *end;

	rig_set_fault(&rig, "{\"cut_after\":100000}");
	send_keyed_request(500, 7003, "{\"answer_bytes\":200000}");
	end = rig_wait(&rig, MSG_END, 500);
	CU_ASSERT_EQUAL(end->u.end.code, ERR_OUTCOME_UNKNOWN);
	CU_ASSERT(rig_received_bytes(&rig, 500) <= 100000);
	rig_set_fault(&rig, "{\"cut_after\":0}");
	CU_ASSERT_EQUAL(send_query(501, 7003, true), MSG_ATTEMPT_FINISHED);
	CU_ASSERT_EQUAL(rig_wait(&rig, MSG_END, 501)->u.end.code, ERR_OUTCOME_UNKNOWN);
}

/* Guards against replacing the target's own error by one of the agent's. */
static void test_status(void)
{
	rig_set_fault(&rig, "{\"fail_every\":1}");
	send_request(510, "{}");
	CU_ASSERT_EQUAL(rig_wait(&rig, MSG_END, 510)->u.end.status, 500);
	CU_ASSERT(rig_answer_complete(&rig, 510));
	rig_set_fault(&rig, "{\"fail_every\":0}");
}

static bool received_credit(struct agent_rig *r, void *ctx)
{
	return rig_received_bytes(r, *(const uint64_t *)ctx) >= 256 * 1024;
}

static bool received_long(struct agent_rig *r, void *ctx)
{
	return rig_received_bytes(r, *(const uint64_t *)ctx) >= 700000;
}

/* Guards against sending more than an entry's credit, and against credit for the wrong answer. */
static void test_credit(void)
{
	uint64_t id = 600;

	send_credit(id, 1024 * 1024);
	send_request(id, "{\"answer_bytes\":3000000}");
	CU_ASSERT(rig_run_until(&rig, received_credit, &id, WAIT_MS));
	send_credit(601, UINT64_MAX);
	send_request(602, "{}");
	rig_wait(&rig, MSG_END, 602);
	CU_ASSERT_EQUAL(rig_received_bytes(&rig, id), 256 * 1024);
	send_credit(id, 1);
	send_credit(id, UINT64_MAX);
	rig_wait(&rig, MSG_END, id);
	CU_ASSERT(rig_answer_complete(&rig, id));
	CU_ASSERT_EQUAL(rig_received_bytes(&rig, id), 3000000);
	send_credit(id, 1);
}

/* Guards against calling a request completed that still runs, when its answer is not kept. */
static void test_long_answer(void)
{
	uint64_t id = 650;
	uint64_t received = 700000; /* more than is kept */

	send_keyed_request(id, 7010, "{\"echo\":\"long\",\"answer_bytes\":3000000}");
	send_credit(id, received);
	CU_ASSERT(rig_run_until(&rig, received_long, &id, WAIT_MS));
	CU_ASSERT_EQUAL(send_query(651, 7010, true), MSG_ATTEMPT_UNKNOWN);
	send_credit(id, 3000000);
	rig_wait(&rig, MSG_END, id);
	CU_ASSERT(rig_answer_complete(&rig, id));
	CU_ASSERT_EQUAL(send_query(652, 7010, true), MSG_ATTEMPT_ANSWER_DROPPED);
	CU_ASSERT_EQUAL(rig_run_count(&rig, "long"), 1);
}

/* Guards against stopping cancelled work that is not idempotent, or losing its outcome. */
static void test_cancel(void)
{
	struct msg msg = rig_request(&rig, 700, "{\"work_ms\":300}");

	msg.u.request.flags = MSG_REQUEST_IDEMPOTENT;
	rig_send(&rig, &msg);
	send_keyed_request(701, 7004, "{\"work_ms\":300,\"echo\":\"kept\"}");
	rig_wait(&rig, MSG_STARTED, 701);
	send_cancel(700);
	send_cancel(701);
	send_cancel(702);
	send_request(702, "{\"echo\":\"cancelled\"}");
	CU_ASSERT_EQUAL(rig_wait(&rig, MSG_END, 700)->u.end.code, ERR_CANCELLED);
	CU_ASSERT_EQUAL(rig_wait(&rig, MSG_END, 701)->u.end.code, ERR_OUTCOME_UNKNOWN);
	CU_ASSERT_EQUAL(rig_wait(&rig, MSG_NOT_RUN, 702)->u.not_run.code, ERR_CANCELLED);
	send_query(703, 7004, true);
	rig_wait(&rig, MSG_END, 703);
	CU_ASSERT(rig_answer_complete(&rig, 703));
	CU_ASSERT_EQUAL(rig_run_count(&rig, "kept"), 1);
	CU_ASSERT_EQUAL(rig_run_count(&rig, "cancelled"), 0);
}

static void list_entries(const char *peer, const char *address)
{
	struct msg msg = {.type = MSG_ENTRIES};

	msg.u.entries.ids = (struct msg_strings){&peer, 1};
	msg.u.entries.addresses = (struct msg_strings){&address, 1};
	rig_send(&rig, &msg);
}

/* Guards against losing the answers of an entry that shuts down and is no longer listed. */
static void test_retired_entry(void)
{
	send_request(750, "{\"work_ms\":300,\"answer_bytes\":300000}");
	rig_wait(&rig, MSG_STARTED, 750);
	list_entries("entry-9#1", "127.0.0.1:1");
	send_credit(750, 300000);
	rig_wait(&rig, MSG_END, 750);
	CU_ASSERT(rig_answer_complete(&rig, 750));
	list_entries(rig.entries[0].peer, wire_address(rig.entries[0].wire));
}

static bool agent_reconnected(struct agent_rig *r, void *ctx)
{
	return r->entries[0].hellos > *(const unsigned int *)ctx;
}

static bool clock_passed(struct agent_rig *r, void *ctx)
{
	return util_clock_ms() > *(const uint64_t *)ctx;
}

/* Guards against running a request that expired while its agent was frozen. */
static void test_frozen(void)
{
	unsigned int hellos = rig.entries[0].hellos;
	struct msg msg = rig_request(&rig, 800, "{\"echo\":\"frozen\"}");
	uint64_t resume_at_ms = util_clock_ms() + 2600;

	proc_signal(&rig.agent, SIGSTOP);
	msg.u.request.expiry_ms = (uint64_t)((int64_t)util_clock_ms() + rig.clock_offset_ms) + 1000;
	rig_send(&rig, &msg);
	rig_run_until(&rig, clock_passed, &resume_at_ms, WAIT_MS);
	proc_signal(&rig.agent, SIGCONT);
	CU_ASSERT_EQUAL(rig_wait(&rig, MSG_NOT_RUN, 800)->u.not_run.code, ERR_DEADLINE);
	CU_ASSERT(rig_run_until(&rig, agent_reconnected, &hellos, WAIT_MS));
	CU_ASSERT_EQUAL(rig_run_count(&rig, "frozen"), 0);
}

static bool target_leaving(struct agent_rig *r, void *ctx)
{
	return r->entries[0].target_state == MSG_TARGET_LEAVING;
}

static bool target_alive(struct agent_rig *r, void *ctx)
{
	return r->entries[0].target_state == MSG_TARGET_ALIVE;
}

/* Guards against new work on a silent target; entries must see it as leaving within 3 s. */
static void test_silent_target(void)
{
	uint64_t since = util_clock_ms();

	CU_ASSERT(rig_run_until(&rig, target_alive, NULL, WAIT_MS));
	rig_set_fault(&rig, "{\"silent\":true}");
	CU_ASSERT(rig_run_until(&rig, target_leaving, NULL, WAIT_MS));
	CU_ASSERT(util_clock_ms() - since < 3000);
	send_request(900, "{\"echo\":\"silent\"}");
	CU_ASSERT_EQUAL(rig_wait(&rig, MSG_NOT_RUN, 900)->u.not_run.code, ERR_NO_TARGET);
	CU_ASSERT_EQUAL(rig_run_count(&rig, "silent"), 0);
	rig_set_fault(&rig, "{\"silent\":false}");
	CU_ASSERT(rig_run_until(&rig, target_alive, NULL, WAIT_MS));
}

/* Guards against interrupting a request when the target or the agent shuts down. */
static void test_leaving(void)
{
	send_request(910, "{\"work_ms\":1500}");
	rig_wait(&rig, MSG_STARTED, 910);
	proc_signal(&rig.target, SIGTERM);
	CU_ASSERT(rig_run_until(&rig, target_leaving, NULL, WAIT_MS));
	send_request(911, "{}");
	CU_ASSERT_EQUAL(rig_wait(&rig, MSG_NOT_RUN, 911)->u.not_run.code, ERR_LEAVING);
	proc_signal(&rig.agent, SIGTERM);
	send_request(912, "{}");
	CU_ASSERT_EQUAL(rig_wait(&rig, MSG_NOT_RUN, 912)->u.not_run.code, ERR_LEAVING);
	rig_wait(&rig, MSG_END, 910);
	CU_ASSERT(rig_answer_complete(&rig, 910));
}

#define IDS_MAX 65536 /* that an agent remembers */
#define IDS_BATCH 1024

/* Guards against a promise not to run a cancelled request whose id the agent can't remember. */
static void test_forgotten_cancel(void)
{
	uint64_t id = 1;

	rig_start(&rig, 1);
	while (id <= IDS_MAX) {
		for (int i = 0; i < IDS_BATCH; i++)
			send_cancel(id++);
		rig_wait(&rig, MSG_NOT_RUN, id - 1);
	}
	send_cancel(id);
	send_query(id + 1, 7020, true);
	CU_ASSERT_EQUAL(rig_message_count(&rig, MSG_NOT_RUN, id), 0);
	rig_stop(&rig);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("agent_admission", NULL, NULL);
	CU_add_test(suite, "start", test_start);
	CU_add_test(suite, "duplicate", test_duplicate);
	CU_add_test(suite, "refusals", test_refusals);
	CU_add_test(suite, "fence", test_fence);
	CU_add_test(suite, "join", test_join);
	CU_add_test(suite, "slots_full", test_slots_full);
	CU_add_test(suite, "cut_answer", test_cut_answer);
	CU_add_test(suite, "status", test_status);
	CU_add_test(suite, "credit", test_credit);
	CU_add_test(suite, "long_answer", test_long_answer);
	CU_add_test(suite, "cancel", test_cancel);
	CU_add_test(suite, "retired_entry", test_retired_entry);
	CU_add_test(suite, "frozen", test_frozen);
	CU_add_test(suite, "silent_target", test_silent_target);
	CU_add_test(suite, "leaving", test_leaving);
	CU_add_test(suite, "stop", test_stop);
	CU_add_test(suite, "forgotten_cancel", test_forgotten_cancel);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures() + CU_get_number_of_suites_failed();
	CU_cleanup_registry();
	return failures != 0;
}
