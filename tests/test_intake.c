#include "httpc.h"
#include "intake.h"
#include "lib_memkv.h"
#include "platform.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

/* An entry without a leader, called over HTTP, with a store in memory. */

static const char config_text[] =
	"{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"h.example\",\"prefix\":\"/p/\","
	"\"service\":\"s\",\"max_attempts\":4,\"stretch\":3.0},{\"name\":\"a\",\"host\":\"h."
	"example\","
	"\"prefix\":\"/advised/"
	"\",\"service\":\"s\",\"advice\":{\"decision_ms\":5}}],\"tenants\":[{\"name\":\"t\","
	"\"api_keys\":[\"k1\"]}]}";
static const char job_text[] = "{\"task_spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":500}]}";

#define JOB "/p/5c0e7a21d94b36f8"

struct fixture {
	struct tevent_context *ev;
	struct memkv *store;
	struct memkv_client *client;
	struct metrics *metrics;
	struct wire *wire;
	struct wire *peer_wire; /* of another, simulated entry, or NULL */
	struct relay *relay;
	struct relay *peer_relay; /* of the same entry, or NULL */
	struct httpd *httpd;
	struct httpc *httpc;
	struct intake *intake;
	struct fleetconf *conf;
	int status; /* of the last call, 0 before it has ended */
	char body[128];
	uint64_t took_ms;
};

static void on_message(const char *peer, struct msg *msg, void *ctx)
{
	struct fixture *f = ctx;

	if (f->intake && !intake_message(f->intake, peer, msg))
		relay_message(f->relay, peer, msg);
}

/* Simulates an entry that leads: it answers queries for jobs. */
static void on_peer_message(const char *peer, struct msg *msg, void *ctx)
{
	struct fixture *f = ctx;
	static const char text[] = "{\"state\":\"completed\"}";
	struct msg answer = {.type = MSG_JOB_INFO};

	if (msg->type != MSG_JOB_QUERY)
		return;
	answer.u.job_info.id = msg->u.job_query.id;
	answer.u.job_info.json.data = (const uint8_t *)text;
	answer.u.job_info.json.len = strlen(text);
	wire_send(f->peer_wire, peer, &answer);
}

static void on_answer(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct fixture *f = ctx;

	f->status = status ? status : http_status;
	snprintf(f->body, sizeof(f->body), "%s", body);
}

static struct fixture *set_up(void)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);
	struct wire_handlers wire = {on_message, f};
	struct leader_options options = {"e1", "127.0.0.1:1", 1000, false, 0};
	struct leader_handlers leader = {0};
	struct intake_deps deps = {0};
	struct relay_deps relay = {0};
	struct httpd_handlers http = {intake_call, intake_caller_gone, NULL};
	struct err err;

	f->ev = tevent_context_init(f);
	f->store = memkv_create(f, f->ev);
	f->client = memkv_client(f->store);
	f->metrics = metrics_create(f);
	f->wire = wire_create(f, f->ev, "e1#1", "127.0.0.1:0", &wire, f->metrics, &err);
	relay = (struct relay_deps){f->ev, &f->client->kv, f->wire, f->metrics, "e1"};
	f->relay = relay_create(f, &relay);
	deps = (struct intake_deps){
		.ev = f->ev,
		.kv = &f->client->kv,
		.wire = f->wire,
		.leader = leader_create(f, f->ev, &f->client->kv, &options, &leader),
		.relay = f->relay,
		.metrics = f->metrics,
		.codec = &platform_intake_codec};
	f->intake = intake_create(f, &deps);
	http.ctx = f->intake;
	f->httpd = httpd_create(f, f->ev, "127.0.0.1:0", 4096, &http, &err);
	f->httpc = httpc_create(f, f->ev);
	f->conf = platform_config_read(f, config_text, strlen(config_text), &err);
	intake_configure(f->intake, f->conf);
	memkv_run(f->ev, 30);
	return f;
}

static void tear_down(struct fixture *f)
{
	TALLOC_FREE(f->httpd);
	TALLOC_FREE(f->intake);
	TALLOC_FREE(f->peer_relay);
	if (f->peer_wire)
		wire_destroy(f->peer_wire, 0);
	wire_destroy(f->wire, 0);
	talloc_free(f);
}

static int call(struct fixture *f, const char *method, const char *path, const char *key,
		const char *body)
{
	char auth[64];
	const char *headers[] = {"Host: h.example", "Deadline-Ms: 1000", auth};
	char *url = talloc_asprintf(f, "http://%s%s", httpd_address(f->httpd), path);
	struct httpc_request request = {.method = method,
					.url = url,
					.headers = headers,
					.header_count = 3,
					.body = body,
					.body_len = body ? strlen(body) : 0,
					.timeout_ms = 3000,
					.done = on_answer,
					.ctx = f};

	snprintf(auth, sizeof(auth), "Authorization: Bearer %s", key);
	f->status = 0;
	f->took_ms = 0;
	httpc_start(f->httpc, &request);
	while (f->status == 0 && f->took_ms < 4000) {
		memkv_run(f->ev, 5);
		f->took_ms += 5;
	}
	talloc_free(url);
	return f->status;
}

/* Guards against jobs that are acknowledged but not stored, stored twice, or not found again. */
static void test_job_lifecycle(void)
{
	struct fixture *f = set_up();

	CU_ASSERT_EQUAL(call(f, "GET", JOB, "k1", NULL), 410);
	CU_ASSERT_EQUAL(call(f, "POST", JOB, "k1", job_text), 200);
	CU_ASSERT_PTR_NOT_NULL_FATAL(memkv_value(f->store, "job/5c0e7a21d94b36f8"));
	/* A later leader goes on by these, should the queue be renamed or removed. */
	CU_ASSERT_PTR_NOT_NULL(
		strstr(memkv_value(f->store, "job/5c0e7a21d94b36f8"), "\"prefix\":\"/"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(memkv_value(f->store, "job/5c0e7a21d94b36f8"), "\"max_attempts\":"));
	CU_ASSERT_EQUAL(call(f, "POST", JOB, "k1", job_text), 200);
	CU_ASSERT_EQUAL(call(f, "GET", JOB, "k1", NULL), 200);
	CU_ASSERT_STRING_EQUAL(f->body, "{\"state\":\"queued\"}");
	memkv_put(f->store, "progress/5c0e7a21d94b36f8", "{\"state\":\"completed\"}");
	CU_ASSERT_EQUAL(call(f, "GET", JOB, "k1", NULL), 200);
	CU_ASSERT_STRING_EQUAL(f->body, "{\"state\":\"completed\"}");
	CU_ASSERT_EQUAL(call(f, "DELETE", JOB, "k1", NULL), 200);
	CU_ASSERT_PTR_NOT_NULL(memkv_value(f->store, "job/5c0e7a21d94b36f8.cancel"));
	CU_ASSERT_EQUAL(call(f, "DELETE", "/p/00000000000000ff", "k1", NULL), 410);
	tear_down(f);
}

/* Guards against calls that reach the store though they are malformed or not allowed. */
static void test_refusals(void)
{
	static const struct {
		const char *method;
		const char *path;
		const char *key;
		const char *body;
		int status;
	} cases[] = {
		{"POST", JOB, "wrong", job_text, 401},
		{"GET", JOB, "", NULL, 401},
		{"POST", "/other/5c0e7a21d94b36f8", "k1", job_text, 404},
		{"POST", "/p/5c0e", "k1", job_text, 404},
		{"POST", "/p/5c0e7a21d94b36f8ff", "k1", job_text, 404},
		{"POST", "/p/zzzzzzzzzzzzzzzz", "k1", job_text, 404},
		{"POST", JOB, "k1", "{\"steps\":[]}", 400},
		{"POST", JOB, "k1", "not json", 400},
		{"PUT", JOB, "k1", job_text, 405},
		{"POST", "/p/", "k1", job_text, 404},
		{"POST", "/advised/5c0e7a21d94b36f8", "k1", job_text, 503},
	};
	struct fixture *f = set_up();
	uint32_t writes = f->client->writes;

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		CU_ASSERT_EQUAL(
			call(f, cases[i].method, cases[i].path, cases[i].key, cases[i].body),
			cases[i].status);
	intake_configure(f->intake, NULL);
	CU_ASSERT_EQUAL(call(f, "POST", JOB, "k1", job_text), 503);
	CU_ASSERT_EQUAL(f->client->writes, writes);
	tear_down(f);
}

/* Guards against a body over the limit that is kept in memory. */
static void test_large_body(void)
{
	struct fixture *f = set_up();
	char *body = talloc_array(f, char, 8001);

	memset(body, 'x', 8000);
	body[8000] = '\0';
	CU_ASSERT_EQUAL(call(f, "POST", JOB, "k1", body), 413);
	tear_down(f);
}

/*
 * Guards against "not accepted" for a job that is stored: the next attempt settles a write whose
 * answer was lost, and an outcome that stays unknown is not reported as a refusal.
 */
static void test_unknown_outcome(void)
{
	struct fixture *f = set_up();

	f->client->fault = MEMKV_LOSE_ANSWERS;
	CU_ASSERT_EQUAL(call(f, "POST", JOB, "k1", job_text), 504);
	CU_ASSERT_PTR_NOT_NULL(memkv_value(f->store, "job/5c0e7a21d94b36f8"));
	f->client->fault = MEMKV_FAULT_NONE;
	CU_ASSERT_EQUAL(call(f, "POST", JOB, "k1", job_text), 200);
	tear_down(f);
}

/* Guards against callers that wait for a store that is known to be unreachable. */
static void test_store_away(void)
{
	struct fixture *f = set_up();

	f->client->fault = MEMKV_REJECT_CALLS;
	CU_ASSERT_EQUAL(call(f, "POST", JOB, "k1", job_text), 503);
	CU_ASSERT(f->took_ms < 800);
	f->client->unresponsive = true;
	CU_ASSERT_EQUAL(call(f, "POST", JOB, "k1", job_text), 503);
	CU_ASSERT(f->took_ms < 200);
	CU_ASSERT_EQUAL(call(f, "GET", JOB, "k1", NULL), 503);
	CU_ASSERT(f->took_ms < 200);
	tear_down(f);
}

/*
 * Guards against outdated or missing states: callers of an entry that the store refused were
 * shown them while another entry knew that the job had completed.
 */
static void test_asks_peers(void)
{
	struct fixture *f = set_up();
	struct wire_handlers handlers = {on_peer_message, f};
	struct err err;

	f->peer_wire = wire_create(f, f->ev, "e2#1", "127.0.0.1:0", &handlers, f->metrics, &err);
	memkv_put(f->store, "entry/e2", wire_address(f->peer_wire));
	CU_ASSERT_EQUAL(call(f, "POST", JOB, "k1", job_text), 200);
	memkv_run(f->ev, 50);
	f->client->fault = MEMKV_REJECT_CALLS;
	f->client->unresponsive = true;
	CU_ASSERT_EQUAL(call(f, "GET", JOB, "k1", NULL), 200);
	CU_ASSERT_STRING_EQUAL(f->body, "{\"state\":\"completed\"}");
	tear_down(f);
}

/* Fills the send buffers of all peers but @node, to which nothing is connected. */
static void fill_other_links(struct fixture *f, const char *node)
{
	struct msg msg = {.type = MSG_JOB_QUERY, .u.job_query = {.verb = "get", .job = ""}};
	const char *link;
	const char *peer = "";

	while ((peer = relay_connect(f->relay, peer, &link))) {
		if (!strcmp(peer, node))
			continue;
		while (!wire_send(f->wire, link, &msg))
			;
	}
}

/* Guards against a refusal for a job that a peer knows, because another peer can't be sent to. */
static void test_asks_peers_behind_a_full_one(void)
{
	struct fixture *f = set_up();
	struct wire_handlers handlers = {on_peer_message, f};
	struct err err;

	f->peer_wire = wire_create(f, f->ev, "e3#1", "127.0.0.1:0", &handlers, f->metrics, &err);
	memkv_put(f->store, "entry/e2", "127.0.0.1:1");
	memkv_put(f->store, "entry/e3", wire_address(f->peer_wire));
	memkv_put(f->store, "entry/e4", "127.0.0.1:1");
	CU_ASSERT_EQUAL(call(f, "POST", JOB, "k1", job_text), 200);
	memkv_run(f->ev, 50);
	fill_other_links(f, "e3");
	f->client->fault = MEMKV_REJECT_CALLS;
	f->client->unresponsive = true;
	CU_ASSERT_EQUAL(call(f, "GET", JOB, "k1", NULL), 200);
	CU_ASSERT_STRING_EQUAL(f->body, "{\"state\":\"completed\"}");
	tear_down(f);
}

/*
 * Guards against a job that runs although its cancelling was answered with 410: an entry that had
 * stood still stored the submission afterwards, and nothing showed that the job was cancelled.
 */
static void test_cancel_before_submission(void)
{
	struct fixture *f = set_up();

	CU_ASSERT_EQUAL(call(f, "DELETE", JOB, "k1", NULL), 410);
	CU_ASSERT_PTR_NOT_NULL(memkv_value(f->store, "job/5c0e7a21d94b36f8.cancel"));
	CU_ASSERT_PTR_NULL(memkv_value(f->store, "job/5c0e7a21d94b36f8"));
	CU_ASSERT_EQUAL(call(f, "DELETE", JOB, "k1", NULL), 410);
	CU_ASSERT_EQUAL(call(f, "POST", JOB, "k1", job_text), 200);
	CU_ASSERT_EQUAL(call(f, "DELETE", JOB, "k1", NULL), 200);
	f->client->fault = MEMKV_REJECT_CALLS;
	CU_ASSERT_EQUAL(call(f, "DELETE", "/p/00000000000000ff", "k1", NULL), 503);
	CU_ASSERT_PTR_NULL(memkv_value(f->store, "job/00000000000000ff.cancel"));
	tear_down(f);
}

static void on_relay_message(const char *peer, struct msg *msg, void *ctx)
{
	struct fixture *f = ctx;

	if (f->peer_relay)
		relay_message(f->peer_relay, peer, msg);
}

/* Guards against the same where a peer writes, since the store does not answer the entry. */
static void test_cancel_by_peer_before_submission(void)
{
	struct fixture *f = set_up();
	struct wire_handlers handlers = {on_relay_message, f};
	struct relay_deps relay = {.ev = f->ev, .metrics = f->metrics, .node = "e2"};
	struct err err;

	f->peer_wire = wire_create(f, f->ev, "e2#1", "127.0.0.1:0", &handlers, f->metrics, &err);
	relay.kv = &memkv_client(f->store)->kv;
	relay.wire = f->peer_wire;
	f->peer_relay = relay_create(f, &relay);
	memkv_run(f->ev, 60);
	f->client->fault = MEMKV_REJECT_CALLS;
	f->client->unresponsive = true;
	CU_ASSERT_EQUAL(call(f, "DELETE", JOB, "k1", NULL), 410);
	CU_ASSERT_PTR_NOT_NULL(memkv_value(f->store, "job/5c0e7a21d94b36f8.cancel"));
	CU_ASSERT_EQUAL(call(f, "POST", JOB, "k1", job_text), 200);
	CU_ASSERT_EQUAL(call(f, "DELETE", JOB, "k1", NULL), 200);
	tear_down(f);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("intake", NULL, NULL);
	CU_add_test(suite, "life_of_a_job", test_job_lifecycle);
	CU_add_test(suite, "refusals", test_refusals);
	CU_add_test(suite, "large_body", test_large_body);
	CU_add_test(suite, "unknown_outcome", test_unknown_outcome);
	CU_add_test(suite, "store_away", test_store_away);
	CU_add_test(suite, "asks_peers", test_asks_peers);
	CU_add_test(suite, "asks_peers_behind_a_full_one", test_asks_peers_behind_a_full_one);
	CU_add_test(suite, "cancel_before_submission", test_cancel_before_submission);
	CU_add_test(suite, "cancel_by_peer_before_submission",
		    test_cancel_by_peer_before_submission);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
