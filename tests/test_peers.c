#include "lib_config.h"
#include "lib_fakestore.h"
#include "peers.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <string.h>

/* One entry host's control side. */
struct host {
	struct settings settings;
	char self[16];
	struct wire *wire;
	struct member *members;
	struct configrepo *configs;
	struct peers *peers;
	uint32_t entries;
};

struct world {
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	struct fakestore *fake;
	struct host a;
	struct host b;
	struct wire *agent;
	int entries_told;
	size_t last_count;
	int acks;
	int slices;
};

static void on_entry_message(const char *peer, struct msg *msg, void *ctx)
{
	struct host *h = ctx;

	if (h->peers)
		peers_message(h->peers, peer, msg);
}

static void on_entries(uint32_t count, void *ctx)
{
	struct host *h = ctx;

	h->entries = count;
}

static void start_host(struct world *w, struct host *h, const char *node, struct store *store)
{
	struct wire_handlers handlers = {on_entry_message, h};
	struct metrics *metrics = metrics_create(w->mem);
	struct peers_deps deps;

	memset(h, 0, sizeof(*h));
	h->settings.node = node;
	h->settings.region = "r";
	h->settings.zone = "z";
	snprintf(h->self, sizeof(h->self), "%s#1", node);
	h->wire = wire_create(w->mem, w->ev, h->self, "127.0.0.1:0", &handlers, metrics, NULL);
	h->members = member_create(w->mem, h->self);
	h->configs = configrepo_create(w->mem, w->ev, store, metrics, NULL, NULL);
	deps = (struct peers_deps){
		.ev = w->ev,
		.wire = h->wire,
		.store = store,
		.members = h->members,
		.configs = h->configs,
		.metrics = metrics,
		.settings = &h->settings,
		.self = h->self,
		.incarnation = 1,
		.peer_address = wire_address(h->wire),
		.http_address = "127.0.0.1:1",
		.on_entries = on_entries,
		.ctx = h,
	};
	h->peers = peers_create(w->mem, &deps);
}

static void stop_host(struct host *h)
{
	TALLOC_FREE(h->peers);
	TALLOC_FREE(h->configs);
	wire_destroy(h->wire, 0);
}

static void on_agent_message(const char *peer, struct msg *msg, void *ctx)
{
	struct world *w = ctx;

	if (msg->type == MSG_ENTRIES) {
		w->entries_told++;
		w->last_count = msg->u.entries.ids.count;
	}
	w->acks += msg->type == MSG_HEARTBEAT_ACK;
	w->slices += msg->type == MSG_CONFIG_SLICE;
}

static void start_agent(struct world *w)
{
	struct wire_handlers handlers = {on_agent_message, w};

	w->agent = wire_create(w->mem, w->ev, "n1#1", "127.0.0.1:0", &handlers,
			       metrics_create(w->mem), NULL);
	wire_connect(w->agent, "a#1", wire_address(w->a.wire));
}

static void say_hello(struct world *w)
{
	struct msg hello = {.type = MSG_HELLO,
			    .u.hello = {.node = "n1",
					.incarnation = 1,
					.role = MSG_ROLE_AGENT,
					.clock_ms = util_clock_ms()}};
	struct msg announce = {.type = MSG_ANNOUNCE,
			       .u.announce = {.node = "n1",
					      .incarnation = 1,
					      .kind = MSG_TARGET_SERVICE,
					      .service = "svc",
					      .target = "t",
					      .state = MSG_TARGET_ALIVE,
					      .slots = 8,
					      .connections = 64,
					      .clock_ms = util_clock_ms()}};

	wire_send(w->agent, "a#1", &hello);
	wire_send(w->agent, "a#1", &announce);
}

static void beat(struct world *w)
{
	struct msg msg = {.type = MSG_HEARTBEAT, .u.heartbeat = {.clock_ms = util_clock_ms()}};

	wire_send(w->agent, "a#1", &msg);
}

static bool wait_for(struct world *w, bool (*test)(struct world *w))
{
	uint64_t limit = util_clock_ms() + LOOP_TIMEOUT_MS;

	while (!test(w) && util_clock_ms() < limit)
		tevent_loop_once(w->ev);
	return test(w);
}

static bool both_entries(struct world *w)
{
	return w->a.entries == 2 && w->b.entries == 2;
}

static bool config_at_b(struct world *w)
{
	return configrepo_revision(w->b.configs) == 7;
}

static bool target_at_b(struct world *w)
{
	struct member_target *targets;
	TALLOC_CTX *mem = talloc_new(NULL);
	size_t count = member_targets(w->b.members, mem, MSG_TARGET_SERVICE, &targets);

	talloc_free(mem);
	return count == 1;
}

static bool agent_served(struct world *w)
{
	return w->acks > 0 && w->slices > 0;
}

static bool agent_told_of_two(struct world *w)
{
	return w->last_count == 2;
}

static bool agent_told_of_one(struct world *w)
{
	return w->last_count == 1;
}

static bool agent_told(struct world *w)
{
	return w->entries_told > 0;
}

static void setup(struct world *w)
{
	memset(w, 0, sizeof(*w));
	w->mem = talloc_new(NULL);
	w->ev = tevent_context_init(w->mem);
	w->fake = fakestore_start(w->mem, w->ev, NULL);
	start_host(w, &w->a, "a", fakestore_client(w->mem, w->fake, 0));
	start_host(w, &w->b, "b", fakestore_client(w->mem, w->fake, 0));
	start_agent(w);
}

static void teardown(struct world *w)
{
	stop_host(&w->a);
	stop_host(&w->b);
	wire_destroy(w->agent, 0);
	talloc_free(w->mem);
}

/*
 * Guards against entries that do not find each other through the store, and against a
 * configuration or a target that reaches only some of them once the store is down.
 */
static void test_spread(void)
{
	json_t *files = test_config_files();
	struct world w;

	setup(&w);
	CU_ASSERT_TRUE(wait_for(&w, both_entries));
	fakestore_fault(w.fake, "{\"down\":true}");
	CU_ASSERT_EQUAL(configrepo_offer(w.a.configs, 7, files), 0);
	CU_ASSERT_TRUE(wait_for(&w, config_at_b));
	say_hello(&w);
	CU_ASSERT_TRUE(wait_for(&w, agent_told_of_two));
	beat(&w);
	CU_ASSERT_TRUE(wait_for(&w, agent_served));
	CU_ASSERT_TRUE(wait_for(&w, target_at_b));
	/* An entry that leaves tells its agents, which then choose another home. */
	peers_leave(w.a.peers);
	CU_ASSERT_TRUE(wait_for(&w, agent_told_of_one));
	teardown(&w);
	json_decref(files);
}

/* Guards against an agent that takes a restarted entry for its predecessor and stays unknown. */
static void test_unknown_agent(void)
{
	struct world w;

	setup(&w);
	beat(&w);
	CU_ASSERT_TRUE(wait_for(&w, agent_told));
	CU_ASSERT_EQUAL(w.acks, 0);
	teardown(&w);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("peers", NULL, NULL);
	CU_add_test(suite, "spread", test_spread);
	CU_add_test(suite, "unknown_agent", test_unknown_agent);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
