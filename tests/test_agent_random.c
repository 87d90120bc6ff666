#include "lib_agent.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEPS 400
#define KEYS 40
#define WAIT_MS 60000
#define CREDIT_BYTES (1024 * 1024)
#define RECENT_REQUESTS 60
#define SLOT_COUNT 4

static const uint64_t seeds[] = {1, 2, 3};

/* The message that the test has sent under one id. */
struct sent_message {
	unsigned int key;     /* index of the key, 0: none */
	unsigned int request; /* index of the echo when there is no key */
	bool query;
	bool cancelled;
};

static struct agent_rig rig;
static struct sent_message sent_messages[STEPS + 1];
static bool fenced[KEYS + 1];

static uint64_t key_hash(uint64_t seed, unsigned int key)
{
	return key ? seed * 1000 + key : 0;
}

static void format_echo(const struct sent_message *message, uint64_t seed, char echo[32])
{
	if (message->key)
		snprintf(echo, 32, "key-%llu-%u", (unsigned long long)seed, message->key);
	else
		snprintf(echo, 32, "one-%llu-%u", (unsigned long long)seed, message->request);
}

static void send_request(struct util_rng *rng, uint64_t seed, uint64_t id,
			 struct sent_message *message)
{
	char body[160];
	char echo[32];
	struct msg msg;

	message->key = util_rng_below(rng, 3) ? 0 : 1 + (unsigned int)util_rng_below(rng, KEYS);
	message->request = (unsigned int)id;
	format_echo(message, seed, echo);
	snprintf(body, sizeof(body), "{\"echo\":\"%s\",\"work_ms\":%u,\"answer_bytes\":%u}", echo,
		 (unsigned int)util_rng_below(rng, 30), (unsigned int)util_rng_below(rng, 700000));
	msg = rig_request(&rig, id, body);
	msg.u.request.key_hash = key_hash(seed, message->key);
	if (!message->key && util_rng_below(rng, 2))
		msg.u.request.flags = MSG_REQUEST_IDEMPOTENT;
	rig_send(&rig, &msg);
	if (util_rng_below(rng, 4) == 0)
		rig_send(&rig, &msg);
}

static void send_query(struct util_rng *rng, uint64_t seed, uint64_t id,
		       struct sent_message *message)
{
	struct msg msg = {.type = MSG_ATTEMPT_QUERY};

	message->query = true;
	message->key = 1 + (unsigned int)util_rng_below(rng, KEYS);
	msg.u.attempt_query.id = id;
	msg.u.attempt_query.key_hash = key_hash(seed, message->key);
	msg.u.attempt_query.fence = 1;
	rig_send(&rig, &msg);
}

static void send_credit_or_cancel(struct util_rng *rng, uint64_t id)
{
	uint64_t other = 1 + util_rng_below(rng, id);
	struct msg msg = {.type = MSG_CREDIT};

	msg.u.credit.id = other;
	msg.u.credit.bytes = util_rng_below(rng, 300000);
	if (util_rng_below(rng, 3) == 0 && other < id && !sent_messages[other].query) {
		msg.type = MSG_CANCEL;
		msg.u.cancel.id = other;
		sent_messages[other].cancelled = true;
	}
	rig_send(&rig, &msg);
}

static bool finished(const struct agent_rig *r, uint64_t id)
{
	const struct msg *info = rig_find(r, MSG_ATTEMPT_INFO, id);

	if (rig_find(r, MSG_END, id) || rig_find(r, MSG_NOT_RUN, id))
		return true;
	return info && info->u.attempt_info.state != MSG_ATTEMPT_RUNNING &&
	       info->u.attempt_info.state != MSG_ATTEMPT_FINISHED;
}

static bool all_finished(struct agent_rig *r, void *ctx)
{
	for (uint64_t id = 1; id <= STEPS; id++) {
		if (!finished(r, id))
			return false;
	}
	return true;
}

/* True after a new heartbeat that reports no request in flight. */
static bool agent_idle(struct agent_rig *r, void *ctx)
{
	return r->entries[0].heartbeats > *(const unsigned int *)ctx &&
	       r->entries[0].in_flight == 0;
}

static void send_credit(uint64_t id, uint64_t bytes)
{
	struct msg msg = {.type = MSG_CREDIT, .u.credit = {.id = id, .bytes = bytes}};

	rig_send(&rig, &msg);
}

struct open_limit {
	uint64_t last_id; /* id sent last */
	unsigned int max_open;
};

/* Grants credit to the latest requests; true when at most limit->max_open are unfinished. */
static bool few_open(struct agent_rig *r, void *ctx)
{
	const struct open_limit *limit = ctx;
	uint64_t last = limit->last_id;
	unsigned int open = 0;

	for (uint64_t id = last > RECENT_REQUESTS ? last - RECENT_REQUESTS : 1; id <= last; id++) {
		if (finished(r, id))
			continue;
		open++;
		send_credit(id, CREDIT_BYTES);
	}
	return open <= limit->max_open;
}

static void credit_all(void)
{
	for (uint64_t id = 1; id <= STEPS; id++)
		send_credit(id, CREDIT_BYTES);
}

static bool service_idle(struct agent_rig *r, void *ctx)
{
	return rig_running_count(r) == 0;
}

/*
 * After a refusal for lack of a slot, waits until the service is idle: the next request then finds
 * a slot, however slow the machine is.
 */
static void wait_for_slot(uint64_t id)
{
	const struct msg *refusal = rig_find(&rig, MSG_NOT_RUN, id);

	if (refusal && refusal->u.not_run.code == ERR_NO_TARGET)
		CU_ASSERT(rig_run_until(&rig, service_idle, NULL, WAIT_MS));
}

static void send_messages(uint64_t seed)
{
	struct util_rng rng = {seed};
	struct open_limit limit;
	unsigned int heartbeats;

	for (uint64_t id = 1; id <= STEPS; id++) {
		if (util_rng_below(&rng, 12) == 0)
			send_query(&rng, seed, id, &sent_messages[id]);
		else
			send_request(&rng, seed, id, &sent_messages[id]);
		for (uint64_t n = util_rng_below(&rng, 4); n > 0; n--)
			send_credit_or_cancel(&rng, id);
		if (util_rng_below(&rng, 20) == 0)
			rig_set_fault(&rig, util_rng_below(&rng, 4) == 0 ? "{\"cut_after\":30000}"
									 : "{\"cut_after\":0}");
		/* Most requests find a free slot, some do not. */
		limit.last_id = id;
		limit.max_open = util_rng_below(&rng, 4) ? SLOT_COUNT - 1 : SLOT_COUNT + 1;
		CU_ASSERT(rig_run_until(&rig, few_open, &limit, WAIT_MS));
		wait_for_slot(id);
	}
	credit_all();
	CU_ASSERT(rig_run_until(&rig, all_finished, NULL, WAIT_MS));
	heartbeats = rig.entries[0].heartbeats;
	CU_ASSERT(rig_run_until(&rig, agent_idle, &heartbeats, WAIT_MS));
}

static bool answer_has(uint64_t id, const char *echo)
{
	for (size_t i = 0; i < rig.inbox_count; i++) {
		const struct msg_chunk *chunk = &rig.inbox[i]->u.chunk;

		if (rig.inbox[i]->type == MSG_CHUNK && chunk->id == id && chunk->offset == 0)
			return memmem(chunk->data.data, chunk->data.len, echo, strlen(echo));
	}
	return false;
}

static void check_answer(uint64_t id, const char *echo)
{
	const struct msg *end = rig_find(&rig, MSG_END, id);

	CU_ASSERT(rig_message_count(&rig, MSG_END, id) + rig_message_count(&rig, MSG_NOT_RUN, id) <=
		  1);
	if (!end || end->u.end.code)
		return;
	CU_ASSERT(rig_answer_complete(&rig, id));
	CU_ASSERT(answer_has(id, echo));
}

static void check_results(uint64_t seed)
{
	unsigned int whole = 0;
	unsigned int refused = 0;

	for (uint64_t id = 1; id <= STEPS; id++) {
		const struct msg *info = rig_find(&rig, MSG_ATTEMPT_INFO, id);
		const struct msg *end = rig_find(&rig, MSG_END, id);
		char echo[32];
		size_t runs;

		format_echo(&sent_messages[id], seed, echo);
		check_answer(id, echo);
		whole += end && end->u.end.code == 0;
		refused += rig_find(&rig, MSG_NOT_RUN, id) != NULL;
		if (info && info->u.attempt_info.state == MSG_ATTEMPT_FENCED)
			fenced[sent_messages[id].key] = true;
		runs = rig_run_count(&rig, echo);
		CU_ASSERT(runs <= 1);
		if (!sent_messages[id].key && rig_find(&rig, MSG_NOT_RUN, id))
			CU_ASSERT_EQUAL(runs, 0);
	}
	for (unsigned int key = 1; key <= KEYS; key++) {
		struct sent_message message = {.key = key};
		char echo[32];

		format_echo(&message, seed, echo);
		if (fenced[key])
			CU_ASSERT_EQUAL(rig_run_count(&rig, echo), 0);
	}
	printf("seed=%llu whole=%u not_run=%u of %d\n", (unsigned long long)seed, whole, refused,
	       STEPS);
	CU_ASSERT(whole > STEPS / 20);
	CU_ASSERT(refused > 0);
}

/*
 * Sends requests, duplicates, cancellations, credit and queries in random order, with truncated
 * answers. Guards against running work twice, running what was refused or fenced, mixing up
 * answers, and leaking a slot.
 */
static void test_random(void)
{
	for (size_t i = 0; i < sizeof(seeds) / sizeof(seeds[0]); i++) {
		memset(sent_messages, 0, sizeof(sent_messages));
		memset(fenced, 0, sizeof(fenced));
		rig_start(&rig, 1);
		rig_start_service(&rig, "4");
		send_messages(seeds[i]);
		check_results(seeds[i]);
		rig_stop(&rig);
	}
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("agent_random", NULL, NULL);
	CU_add_test(suite, "random", test_random);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
