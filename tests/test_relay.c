#include "lib_memkv.h"
#include "relay.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>

struct node {
	struct memkv_client *client;
	struct wire *wire;
	struct relay *relay;
};

struct fixture {
	struct tevent_context *ev;
	struct memkv *store;
	struct metrics *metrics;
	struct node nodes[3];
	int status; /* of the last write, 1 before it has ended */
	int ended;
};

static void on_message(const char *peer, struct msg *msg, void *ctx)
{
	struct node *node = ctx;

	if (node->relay)
		relay_message(node->relay, peer, msg);
}

static void on_done(int status, void *ctx)
{
	struct fixture *f = ctx;

	f->status = status;
	f->ended++;
}

static struct fixture *set_up(void)
{
	static const char *const names[] = {"n0", "n1", "n2"};
	struct fixture *f = talloc_zero(NULL, struct fixture);

	f->ev = tevent_context_init(f);
	f->store = memkv_create(f, f->ev);
	f->metrics = metrics_create(f);
	for (int i = 0; i < 3; i++) {
		struct node *node = &f->nodes[i];
		struct wire_handlers handlers = {on_message, node};
		struct relay_deps deps = {.ev = f->ev, .metrics = f->metrics, .node = names[i]};
		struct err err;

		node->client = memkv_client(f->store);
		node->wire =
			wire_create(f, f->ev, names[i], "127.0.0.1:0", &handlers, f->metrics, &err);
		deps.kv = &node->client->kv;
		deps.wire = node->wire;
		node->relay = relay_create(f, &deps);
	}
	memkv_run(f->ev, 60);
	return f;
}

static void tear_down(struct fixture *f)
{
	for (int i = 0; i < 3; i++) {
		TALLOC_FREE(f->nodes[i].relay);
		wire_destroy(f->nodes[i].wire, 0);
	}
	talloc_free(f);
}

static void put_at_revision(struct fixture *f, const char *key, const char *requires,
			    int64_t requires_revision)
{
	f->status = 1;
	f->ended = 0;
	relay_put(f->nodes[0].relay, key, "v", requires, requires_revision, on_done, f);
	memkv_run(f->ev, 1000);
	CU_ASSERT_EQUAL(f->ended, 1);
}

static void put(struct fixture *f, const char *key, const char *requires)
{
	put_at_revision(f, key, requires, 0);
}

/* Guards against writes that fail although another entry could make them. */
static void test_writes_by_peer(void)
{
	struct fixture *f = set_up();

	f->nodes[0].client->fault = MEMKV_REJECT_CALLS;
	put(f, "job/1", "");
	CU_ASSERT_EQUAL(f->status, 0);
	CU_ASSERT_STRING_EQUAL(memkv_value(f->store, "job/1"), "v");
	put(f, "job/1", "");
	CU_ASSERT_EQUAL(f->status, -ERR_CONFLICT);
	put(f, "job/2.cancel", "job/2");
	CU_ASSERT_EQUAL(f->status, -ERR_NOT_FOUND);
	put(f, "job/1.cancel", "job/1");
	CU_ASSERT_EQUAL(f->status, 0);
	tear_down(f);
}

/* Guards against giving up at a peer that can't write either while others were not asked. */
static void test_asks_all_peers(void)
{
	struct fixture *f = set_up();

	f->nodes[1].client->fault = MEMKV_REJECT_CALLS;
	put(f, "job/1", "");
	CU_ASSERT_EQUAL(f->status, 0);
	f->nodes[1].client->fault = MEMKV_FAULT_NONE;
	f->nodes[2].client->unresponsive = true;
	put(f, "job/2", "");
	CU_ASSERT_EQUAL(f->status, 0);
	f->nodes[1].client->unresponsive = true;
	put(f, "job/3", "");
	CU_ASSERT_EQUAL(f->status, -ERR_UNAVAILABLE);
	tear_down(f);
}

/* Guards against "not stored" for a job that a silent peer may have stored. */
static void test_silent_peer(void)
{
	struct fixture *f = set_up();

	f->nodes[1].client->fault = MEMKV_DELAY_WRITES;
	f->nodes[2].client->fault = MEMKV_DELAY_WRITES;
	put(f, "job/1", "");
	CU_ASSERT_EQUAL(f->status, -ERR_OUTCOME_UNKNOWN);
	memkv_run(f->ev, 500);
	CU_ASSERT_STRING_EQUAL(memkv_value(f->store, "job/1"), "v");
	f->nodes[2].client->fault = MEMKV_REJECT_CALLS;
	put(f, "job/2", "");
	CU_ASSERT_EQUAL(f->status, -ERR_OUTCOME_UNKNOWN);
	memkv_run(f->ev, 500);
	CU_ASSERT_STRING_EQUAL(memkv_value(f->store, "job/2"), "v");
	tear_down(f);
}

/*
 * Guards against "may be stored" for a write that was sent to nobody, and against a caller that
 * waits until the last of many silent peers was given up: the caller of an entry that has
 * peers which are gone waited for a second and got 504 while the store was down for all.
 */
static void test_nobody_can_write(void)
{
	struct fixture *f = set_up();
	uint64_t start_ms = util_clock_ms();

	TALLOC_FREE(f->nodes[1].relay);
	f->nodes[2].client->unresponsive = true;
	f->status = 1;
	f->ended = 0;
	relay_put(f->nodes[0].relay, "job/1", "v", "", 0, on_done, f);
	while (!f->ended && util_clock_ms() - start_ms < 2000)
		tevent_loop_once(f->ev);
	CU_ASSERT_EQUAL(f->ended, 1);
	CU_ASSERT_EQUAL(f->status, -ERR_UNAVAILABLE);
	CU_ASSERT_TRUE(util_clock_ms() - start_ms < 300);
	memkv_run(f->ev, 500);
	CU_ASSERT_PTR_NULL(memkv_value(f->store, "job/1"));
	tear_down(f);
}

/* Guards against a write of a peer that takes effect after the key it depends on has changed. */
static void test_required_revision(void)
{
	struct fixture *f = set_up();
	int64_t revision;

	memkv_put(f->store, "job/1", "v");
	revision = memkv_revision(f->store, "job/1");
	put_at_revision(f, "job/1.cancel", "job/1", revision + 1);
	CU_ASSERT_EQUAL(f->status, -ERR_CONFLICT);
	CU_ASSERT_PTR_NULL(memkv_value(f->store, "job/1.cancel"));
	put_at_revision(f, "job/1.cancel", "job/1", revision);
	CU_ASSERT_EQUAL(f->status, 0);
	tear_down(f);
}

/* Answers the probe of the write @id in the name of a peer: the store answers it. */
static void answer_probe(struct fixture *f, uint64_t id, const char *link)
{
	struct msg msg = {.type = MSG_RELAY_PROBED, .u.relay_probed = {.id = id}};

	relay_message(f->nodes[0].relay, link, &msg);
}

static void answer_first_write(struct fixture *f, const char *link, int code)
{
	struct msg msg = {.type = MSG_RELAYED, .u.relayed = {.id = 1, .code = (uint64_t)code}};

	relay_message(f->nodes[0].relay, link, &msg);
}

/* Starts a write that no peer answers, and returns when the second peer has been asked. */
static struct fixture *start_unanswered_write(void)
{
	struct fixture *f = set_up();

	TALLOC_FREE(f->nodes[1].relay);
	TALLOC_FREE(f->nodes[2].relay);
	relay_put(f->nodes[0].relay, "job/1", "v", "", 0, on_done, f);
	memkv_run(f->ev, 20);
	answer_probe(f, 1, "entry:n9");
	answer_probe(f, 1, "n1");
	answer_probe(f, 1, "entry:n1");
	answer_probe(f, 1, "entry:n1");
	answer_probe(f, 1, "entry:n2");
	memkv_run(f->ev, 480);
	return f;
}

/* Guards against an answer that counts although its sender was not asked, or not asked last. */
static void test_answer_of_other_peer(void)
{
	static const char *const links[] = {"entry:n1", "entry:n2"};
	int ended_early = 0;

	for (int i = 0; i < 2; i++) {
		struct fixture *f = start_unanswered_write();

		answer_first_write(f, "entry:n9", 0);
		answer_first_write(f, "n1", 0);
		CU_ASSERT_EQUAL(f->ended, 0);
		answer_first_write(f, links[i], ERR_UNAVAILABLE);
		ended_early += f->ended;
		memkv_run(f->ev, 500);
		CU_ASSERT_EQUAL(f->ended, 1);
		CU_ASSERT_EQUAL(f->status, -ERR_OUTCOME_UNKNOWN);
		tear_down(f);
	}
	CU_ASSERT_EQUAL(ended_early, 1);
}

/* Guards against an entry with an odd address that keeps writes from the other entries. */
static void test_odd_entries(void)
{
	static const char *const addresses[] = {"",
						"x",
						"127.0.0.1",
						"127.0.0.1:0",
						"127.0.0.1:99999",
						"some.host:80",
						"127.0.0.1:1;:2",
						"*:80",
						"[::1:80"};
	struct fixture *f = set_up();

	for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++)
		memkv_put(f->store, talloc_asprintf(f, "entry/odd%zu", i), addresses[i]);
	memkv_put(f->store, "entry/", "127.0.0.1:1");
	memkv_put(f->store, "entry/a/b", "127.0.0.1:1");
	memkv_run(f->ev, 50);
	f->nodes[0].client->fault = MEMKV_REJECT_CALLS;
	put(f, "job/1", "");
	CU_ASSERT_EQUAL(f->status, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++)
		CU_ASSERT_FALSE(
			wire_connected(f->nodes[0].wire, talloc_asprintf(f, "entry:odd%zu", i)));
	tear_down(f);
}

/* Guards against a write of a peer whose condition can't be sent to the store, and odd answers. */
static void test_odd_messages(void)
{
	struct fixture *f = set_up();
	struct msg request = {.type = MSG_RELAY,
			      .u.relay = {.id = 1, .key = "job/\xff", .requires_key = ""}};
	struct msg answer = {.type = MSG_RELAYED, .u.relayed = {.id = 1}};
	static const uint64_t codes[] = {0x80000000U, UINT64_MAX, ERR_CODE_COUNT};
	uint32_t writes = f->nodes[1].client->writes;

	request.u.relay.value = (struct msg_bytes){(uint8_t *)"v", 1};
	relay_message(f->nodes[1].relay, "n0", &request);
	request.u.relay.key = "job/1";
	request.u.relay.requires_key = "job/\xff";
	request.u.relay.requires_revision = 3;
	relay_message(f->nodes[1].relay, "n0", &request);
	CU_ASSERT_EQUAL(f->nodes[1].client->writes, writes);
	for (size_t i = 0; i < G_N_ELEMENTS(codes); i++) {
		f->status = 1;
		f->ended = 0;
		TALLOC_FREE(f->nodes[1].relay);
		TALLOC_FREE(f->nodes[2].relay);
		relay_put(f->nodes[0].relay, "job/2", "v", "", 0, on_done, f);
		memkv_run(f->ev, 20);
		answer_probe(f, i + 1, "entry:n1");
		answer_probe(f, i + 1, "entry:n2");
		answer.u.relayed.id = i + 1;
		answer.u.relayed.code = codes[i];
		relay_message(f->nodes[0].relay, "entry:n1", &answer);
		relay_message(f->nodes[0].relay, "entry:n2", &answer);
		memkv_run(f->ev, 900);
		CU_ASSERT_EQUAL(f->ended, 1);
		CU_ASSERT_EQUAL(f->status, -ERR_OUTCOME_UNKNOWN);
	}
	CU_ASSERT_STRING_EQUAL(err_name(INT32_MIN), "unknown");
	tear_down(f);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("relay", NULL, NULL);
	CU_add_test(suite, "writes_by_peer", test_writes_by_peer);
	CU_add_test(suite, "asks_all_peers", test_asks_all_peers);
	CU_add_test(suite, "silent_peer", test_silent_peer);
	CU_add_test(suite, "nobody_can_write", test_nobody_can_write);
	CU_add_test(suite, "required_revision", test_required_revision);
	CU_add_test(suite, "answer_of_other_peer", test_answer_of_other_peer);
	CU_add_test(suite, "odd_entries", test_odd_entries);
	CU_add_test(suite, "odd_messages", test_odd_messages);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
