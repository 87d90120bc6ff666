#include "dispatch.h"
#include "lib_config.h"
#include "lib_fakestore.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <string.h>

#define AGENTS 2
#define WAIT_MS 30000

/* What a stand-in agent does with the first request it gets; the others are answered. */
enum behaviour {
	ANSWER,
	REFUSE,	      /* NOT_RUN: another target may be tried */
	REJECT,	      /* NOT_RUN: the request itself is bad */
	SILENT,	      /* no message at all */
	CUT,	      /* STARTED and part of the answer, then END with an error */
	BAD_CHECKSUM, /* END whose checksum differs */
	BAD_LENGTH,   /* END that tells of more bytes than came */
	GAP,	      /* a chunk is missing */
	REPEAT,	      /* chunks and END arrive twice */
	SLOW,	      /* STARTED and nothing more */
	GONE,	      /* STARTED, then the agent is lost */
};

struct world;

struct agent {
	struct world *w;
	struct wire *wire;
	char name[16];
	int requests;
	int queries;
	int cancels;
};

struct world {
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	struct fakestore *fake;
	struct store *store;
	struct configrepo *configs;
	struct member *members;
	struct wire *wire;
	struct loopq *loop;
	struct dispatch *dispatch;
	struct agent agents[AGENTS];
	enum behaviour behaviour;
	bool spent;	/* the behaviour has been shown */
	bool knows_key; /* the agents answer queries with the kept answer */
	int introduced;
	int submitted;
};

static void announce(struct world *w, const struct agent *agent, enum msg_target_state state)
{
	struct msg_hello hello = {.node = agent->name,
				  .incarnation = 1,
				  .role = MSG_ROLE_AGENT,
				  .region = "r",
				  .zone = "z",
				  .rack = "k",
				  .address = "",
				  .clock_ms = util_clock_ms()};
	struct msg_announce target = {.node = agent->name,
				      .incarnation = 1,
				      .kind = MSG_TARGET_SERVICE,
				      .service = "svc",
				      .target = agent->name,
				      .state = state,
				      .slots = 8,
				      .connections = 64,
				      .clock_ms = util_clock_ms()};

	member_hello(w->members, &hello, util_clock_ms());
	member_announce(w->members, &target, util_clock_ms());
}

static void on_entry_message(const char *peer, struct msg *msg, void *ctx)
{
	struct world *w = ctx;

	if (msg->type == MSG_HELLO)
		w->introduced++;
	else
		dispatch_message(w->dispatch, peer, msg);
}

static void send(struct agent *agent, struct msg *msg)
{
	CU_ASSERT_EQUAL(wire_send(agent->wire, "e#1", msg), 0);
}

static void send_started(struct agent *agent, uint64_t id)
{
	struct msg msg = {.type = MSG_STARTED, .u.started = {.id = id, .in_flight = 1}};

	send(agent, &msg);
}

static void send_not_run(struct agent *agent, uint64_t id, enum err_code code)
{
	struct msg msg = {.type = MSG_NOT_RUN,
			  .u.not_run = {.id = id, .code = code, .reason = "no"}};

	send(agent, &msg);
}

static void send_chunk(struct agent *agent, uint64_t id, uint64_t offset, const char *text)
{
	struct msg msg = {.type = MSG_CHUNK};

	msg.u.chunk.id = id;
	msg.u.chunk.offset = offset;
	msg.u.chunk.data = (struct msg_bytes){(const uint8_t *)text, strlen(text)};
	send(agent, &msg);
}

static void send_end(struct agent *agent, uint64_t id, enum err_code code, uint64_t length,
		     uint64_t checksum)
{
	struct msg msg = {.type = MSG_END};

	msg.u.end.id = id;
	msg.u.end.code = code;
	msg.u.end.status = 200;
	msg.u.end.content_type = "text/plain";
	msg.u.end.length = length;
	msg.u.end.checksum = checksum;
	send(agent, &msg);
}

static uint64_t answer_hash(void)
{
	return util_hash64("right", 5, util_hash64("all", 3, 0));
}

static void send_answer(struct agent *agent, uint64_t id)
{
	send_chunk(agent, id, 0, "all");
	send_chunk(agent, id, 3, "right");
	send_end(agent, id, 0, 8, answer_hash());
}

static void misbehave(struct agent *agent, uint64_t id, enum behaviour behaviour)
{
	if (behaviour == SILENT)
		return;
	if (behaviour == REFUSE || behaviour == REJECT) {
		send_not_run(agent, id, behaviour == REFUSE ? ERR_LEAVING : ERR_INVALID);
		return;
	}
	send_started(agent, id);
	if (behaviour == SLOW)
		return;
	if (behaviour == GONE) {
		announce(agent->w, agent, MSG_TARGET_GONE);
		return;
	}
	send_chunk(agent, id, 0, "all");
	if (behaviour == CUT)
		send_end(agent, id, ERR_OUTCOME_UNKNOWN, 3, util_hash64("all", 3, 0));
	else if (behaviour == BAD_CHECKSUM)
		send_end(agent, id, 0, 3, 1);
	else if (behaviour == BAD_LENGTH)
		send_end(agent, id, 0, 8, util_hash64("all", 3, 0));
	else if (behaviour == GAP)
		send_chunk(agent, id, 5, "right");
	else
		send_answer(agent, id);
	if (behaviour == REPEAT)
		send_answer(agent, id);
}

static void on_query(struct agent *agent, const struct msg_attempt_query *query)
{
	struct msg msg = {.type = MSG_ATTEMPT_INFO};

	agent->queries++;
	msg.u.attempt_info.id = query->id;
	msg.u.attempt_info.key_hash = query->key_hash;
	msg.u.attempt_info.state = agent->w->knows_key ? MSG_ATTEMPT_FINISHED : MSG_ATTEMPT_FENCED;
	send(agent, &msg);
	if (agent->w->knows_key)
		send_answer(agent, query->id);
}

static void on_agent_message(const char *peer, struct msg *msg, void *ctx)
{
	struct agent *agent = ctx;
	struct world *w = agent->w;

	if (msg->type == MSG_ATTEMPT_QUERY)
		on_query(agent, &msg->u.attempt_query);
	agent->cancels += msg->type == MSG_CANCEL;
	if (msg->type != MSG_REQUEST)
		return;
	agent->requests++;
	if (w->behaviour != ANSWER && !w->spent) {
		w->spent = true;
		misbehave(agent, msg->u.request.id, w->behaviour);
	} else {
		send_started(agent, msg->u.request.id);
		send_answer(agent, msg->u.request.id);
	}
}

static void open_agent(struct world *w, int i, struct metrics *metrics)
{
	struct agent *agent = &w->agents[i];
	struct wire_handlers handlers = {on_agent_message, agent};
	struct msg hello = {.type = MSG_HELLO, .u.hello = {.node = "a"}};
	char peer[32];

	agent->w = w;
	snprintf(agent->name, sizeof(agent->name), "a%d", i);
	snprintf(peer, sizeof(peer), "%s#1", agent->name);
	agent->wire = wire_create(w->mem, w->ev, peer, "127.0.0.1:0", &handlers, metrics, NULL);
	wire_connect(agent->wire, "e#1", wire_address(w->wire));
	send(agent, &hello);
}

static void setup(struct world *w, enum behaviour behaviour)
{
	struct wire_handlers handlers = {on_entry_message, w};
	struct metrics *metrics;
	struct dispatch_deps deps;
	json_t *files = test_config_files();

	memset(w, 0, sizeof(*w));
	w->behaviour = behaviour;
	w->mem = talloc_new(NULL);
	w->ev = tevent_context_init(w->mem);
	w->fake = fakestore_start(w->mem, w->ev, NULL);
	w->store = fakestore_client(w->mem, w->fake, 0);
	metrics = metrics_create(w->mem);
	w->configs = configrepo_create(w->mem, w->ev, w->store, metrics, NULL, NULL);
	CU_ASSERT_EQUAL_FATAL(configrepo_offer(w->configs, 1, files), 0);
	json_decref(files);
	w->members = member_create(w->mem, "e#1");
	w->wire = wire_create(w->mem, w->ev, "e#1", "127.0.0.1:0", &handlers, metrics, NULL);
	w->loop = loopq_create(w->mem, w->ev);
	deps = (struct dispatch_deps){
		.ev = w->ev,
		.wire = w->wire,
		.members = w->members,
		.store = w->store,
		.configs = w->configs,
		.claims = claims_create(w->mem, w->ev, w->store, metrics),
		.loop = w->loop,
		.metrics = metrics,
		.self = "e#1",
		.zone = "z",
	};
	w->dispatch = dispatch_create(w->mem, &deps);
	for (int i = 0; i < AGENTS; i++) {
		open_agent(w, i, metrics);
		announce(w, &w->agents[i], MSG_TARGET_ALIVE);
	}
	while (w->introduced < AGENTS)
		tevent_loop_once(w->ev);
}

static void teardown(struct world *w)
{
	TALLOC_FREE(w->dispatch);
	loopq_destroy(w->loop);
	TALLOC_FREE(w->configs);
	for (int i = 0; i < AGENTS; i++)
		wire_destroy(w->agents[i].wire, 0);
	wire_destroy(w->wire, 0);
	talloc_free(w->mem);
}

static int total_requests(const struct world *w)
{
	return w->agents[0].requests + w->agents[1].requests;
}

static void on_free(struct request *r, void *ctx)
{
	struct world *w = ctx;

	configrepo_release(w->configs, r->config);
}

static struct request *submit(struct world *w, const char *class_name, const char *key)
{
	struct request *r = request_create();

	r->config = configrepo_current(w->configs);
	r->on_free = on_free;
	r->on_free_ctx = w;
	r->organisation = config_organisation(r->config, "acme");
	r->class_ = config_class(r->config, class_name);
	r->service = "svc";
	r->content_type = "";
	r->idempotent = r->class_->idempotent;
	r->key = key;
	r->needs_claim = key && !r->idempotent;
	r->key_hash = key ? claim_hash("acme", "svc", key) : 0;
	r->deadline_ms = util_clock_ms() + WAIT_MS;
	snprintf(r->id, sizeof(r->id), "e#1.%d", ++w->submitted);
	dispatch_submit(w->dispatch, request_ref(r));
	return r;
}

/* Returns the HTTP status; @text receives the body. */
static int await(struct world *w, struct request *r, char *text, size_t len)
{
	uint64_t limit = util_clock_ms() + WAIT_MS;
	ssize_t got;

	while (!r->ended && util_clock_ms() < limit)
		tevent_loop_once(w->ev);
	CU_ASSERT_TRUE(r->ended);
	got = request_read(r, text, len - 1);
	text[got > 0 ? got : 0] = '\0';
	return r->status;
}

struct scenario {
	const char *name;
	const char *class_name;
	const char *key;
	enum behaviour behaviour;
	int status;
	const char *outcome; /* in the error, or NULL for the whole answer */
	int requests;	     /* REQUEST messages received by all agents */
};

/*
 * Guards against requests run twice, lost or truncated, and against answers of one attempt
 * that reach another.
 */
static const struct scenario scenarios[] = {
	{"plain", "quick", NULL, ANSWER, 200, NULL, 1},
	{"keyed", "once", "k", ANSWER, 200, NULL, 1},
	{"refused", "once", NULL, REFUSE, 200, NULL, 2},
	{"refused keyed", "once", "k", REFUSE, 200, NULL, 2},
	{"rejected", "quick", NULL, REJECT, 400, "not_run", 1},
	{"silent", "quick", NULL, SILENT, 200, NULL, 2},
	{"silent once", "once", NULL, SILENT, 502, "unknown", 1},
	{"silent keyed", "once", "k", SILENT, 200, NULL, 2},
	{"cut", "quick", NULL, CUT, 200, NULL, 2},
	{"cut once", "once", NULL, CUT, 502, "unknown", 1},
	{"cut keyed", "once", "k", CUT, 502, "unknown", 1},
	{"checksum", "quick", NULL, BAD_CHECKSUM, 200, NULL, 2},
	{"checksum once", "once", NULL, BAD_CHECKSUM, 502, "unknown", 1},
	{"length", "once", NULL, BAD_LENGTH, 502, "unknown", 1},
	{"gap", "quick", NULL, GAP, 200, NULL, 2},
	{"gap once", "once", NULL, GAP, 502, "unknown", 1},
	{"repeated", "once", NULL, REPEAT, 200, NULL, 1},
	{"gone", "quick", NULL, GONE, 200, NULL, 2},
	{"gone once", "once", NULL, GONE, 502, "unknown", 1},
	{"hedged", "hedged", NULL, SLOW, 200, NULL, 2},
};

static void test_scenarios(void)
{
	for (size_t i = 0; i < sizeof(scenarios) / sizeof(scenarios[0]); i++) {
		const struct scenario *s = &scenarios[i];
		struct request *r;
		struct world w;
		char text[1024];
		int status;
		bool right;

		setup(&w, s->behaviour);
		r = submit(&w, s->class_name, s->key);
		status = await(&w, r, text, sizeof(text));
		right = s->outcome ? strstr(text, s->outcome) != NULL : !strcmp(text, "allright");
		if (status != s->status || !right || total_requests(&w) != s->requests)
			fprintf(stderr, "%s: status %d, %d requests, body %s\n", s->name, status,
				total_requests(&w), text);
		CU_ASSERT_EQUAL(status, s->status);
		CU_ASSERT_TRUE(right);
		CU_ASSERT_EQUAL(total_requests(&w), s->requests);
		CU_ASSERT_EQUAL(dispatch_active(w.dispatch), 0);
		request_unref(r);
		teardown(&w);
	}
}

/* Guards against a second run of a key that was sent before, and against a mixed-up key. */
static void test_join(void)
{
	struct request *first;
	struct request *second;
	struct request *other;
	struct world w;
	char text[1024];

	setup(&w, ANSWER);
	w.knows_key = true;
	first = submit(&w, "once", "k");
	CU_ASSERT_EQUAL(await(&w, first, text, sizeof(text)), 200);
	second = submit(&w, "once", "k");
	CU_ASSERT_EQUAL(await(&w, second, text, sizeof(text)), 200);
	CU_ASSERT_STRING_EQUAL(text, "allright");
	CU_ASSERT_EQUAL(total_requests(&w), 1);
	other = submit(&w, "once", "k2");
	CU_ASSERT_EQUAL(await(&w, other, text, sizeof(text)), 200);
	CU_ASSERT_EQUAL(total_requests(&w), 2);
	request_unref(first);
	request_unref(second);
	request_unref(other);
	teardown(&w);
}

/* Guards against keyed requests sent without a claim while the store is down. */
static void test_store_down(void)
{
	struct request *keyed;
	struct request *quick;
	struct world w;
	char text[1024];

	setup(&w, ANSWER);
	fakestore_fault(w.fake, "{\"down\":true}");
	keyed = submit(&w, "once", "k");
	CU_ASSERT_EQUAL(await(&w, keyed, text, sizeof(text)), 503);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "not_run"));
	CU_ASSERT_EQUAL(total_requests(&w), 0);
	quick = submit(&w, "quick", NULL);
	CU_ASSERT_EQUAL(await(&w, quick, text, sizeof(text)), 200);
	request_unref(keyed);
	request_unref(quick);
	teardown(&w);
}

/* Guards against targets that work on for callers who are gone. */
static void test_abandon(void)
{
	struct request *r;
	struct world w;

	setup(&w, SLOW);
	r = submit(&w, "quick", NULL);
	while (!w.spent)
		tevent_loop_once(w.ev);
	dispatch_abandon(w.dispatch, r);
	CU_ASSERT_EQUAL(dispatch_active(w.dispatch), 0);
	while (!w.agents[0].cancels && !w.agents[1].cancels)
		tevent_loop_once(w.ev);
	CU_ASSERT_TRUE(r->cut);
	request_unref(r);
	teardown(&w);
}

/* Guards against waiting without a target, and against waiting beyond the deadline. */
static void test_no_target(void)
{
	struct request *r;
	struct world w;
	char text[1024];

	setup(&w, ANSWER);
	for (int i = 0; i < AGENTS; i++)
		announce(&w, &w.agents[i], MSG_TARGET_LEAVING);
	r = submit(&w, "quick", NULL);
	CU_ASSERT_EQUAL(await(&w, r, text, sizeof(text)), 503);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "not_run"));
	CU_ASSERT_EQUAL(r->retry_after_s, 1);
	request_unref(r);
	teardown(&w);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("dispatch", NULL, NULL);
	CU_add_test(suite, "scenarios", test_scenarios);
	CU_add_test(suite, "join", test_join);
	CU_add_test(suite, "store_down", test_store_down);
	CU_add_test(suite, "abandon", test_abandon);
	CU_add_test(suite, "no_target", test_no_target);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
