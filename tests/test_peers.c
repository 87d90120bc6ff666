#include "lib_config.h"
#include "lib_fakestore.h"
#include "peers.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <string.h>
#include <unistd.h>

/* The modules of an entry host that peers.c needs. */
struct host {
	struct settings settings;
	char self[16];
	struct wire *wire;
	struct membership *members;
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
	int entry_lists_received;
	size_t last_count;
	int acks;
	int slices;
};

static void on_entry_message(const char *peer, struct msg *msg, void *ctx)
{
	struct host *host = ctx;

	if (host->peers)
		peers_message(host->peers, peer, msg);
}

static void on_entries(uint32_t count, void *ctx)
{
	struct host *host = ctx;

	host->entries = count;
}

static void start_host(struct world *world, struct host *host, const char *node,
		       struct store *store)
{
	struct wire_handlers handlers = {on_entry_message, host};
	struct metrics *metrics = metrics_create(world->mem);
	struct peers_deps deps;

	memset(host, 0, sizeof(*host));
	host->settings.node = node;
	host->settings.region = "r";
	host->settings.zone = "z";
	snprintf(host->self, sizeof(host->self), "%s#1", node);
	host->wire = wire_create(world->mem, world->ev, host->self, "127.0.0.1:0", &handlers,
				 metrics, NULL);
	host->members = member_create(world->mem, host->self);
	host->configs = configrepo_create(world->mem, world->ev, store, metrics, NULL, NULL);
	deps = (struct peers_deps){
		.ev = world->ev,
		.wire = host->wire,
		.store = store,
		.members = host->members,
		.configs = host->configs,
		.metrics = metrics,
		.settings = &host->settings,
		.self = host->self,
		.incarnation = 1,
		.peer_address = wire_address(host->wire),
		.http_address = "127.0.0.1:1",
		.on_entries = on_entries,
		.ctx = host,
	};
	host->peers = peers_create(world->mem, &deps);
}

static void stop_host(struct host *host)
{
	TALLOC_FREE(host->peers);
	TALLOC_FREE(host->configs);
	wire_destroy(host->wire, 0);
}

static void on_agent_message(const char *peer, struct msg *msg, void *ctx)
{
	struct world *world = ctx;

	if (msg->type == MSG_ENTRIES) {
		world->entry_lists_received++;
		world->last_count = msg->u.entries.ids.count;
	}
	world->acks += msg->type == MSG_HEARTBEAT_ACK;
	world->slices += msg->type == MSG_CONFIG_SLICE;
}

static void start_agent(struct world *world)
{
	struct wire_handlers handlers = {on_agent_message, world};

	world->agent = wire_create(world->mem, world->ev, "n1#1", "127.0.0.1:0", &handlers,
				   metrics_create(world->mem), NULL);
	wire_connect(world->agent, "a#1", wire_address(world->a.wire));
}

static void introduce_agent(struct world *world)
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

	wire_send(world->agent, "a#1", &hello);
	wire_send(world->agent, "a#1", &announce);
}

static void send_heartbeat(struct world *world)
{
	struct msg msg = {.type = MSG_HEARTBEAT, .u.heartbeat = {.clock_ms = util_clock_ms()}};

	wire_send(world->agent, "a#1", &msg);
}

static bool wait_for(struct world *world, bool (*test)(struct world *world))
{
	uint64_t limit = util_clock_ms() + LOOP_TIMEOUT_MS;

	while (!test(world) && util_clock_ms() < limit)
		tevent_loop_once(world->ev);
	return test(world);
}

static bool both_entries_found(struct world *world)
{
	return world->a.entries == 2 && world->b.entries == 2;
}

static bool config_at_b(struct world *world)
{
	return configrepo_revision(world->b.configs) == 7;
}

static bool target_at_b(struct world *world)
{
	struct member_target *targets;
	TALLOC_CTX *mem = talloc_new(NULL);
	size_t count = member_targets(world->b.members, mem, MSG_TARGET_SERVICE, &targets);

	talloc_free(mem);
	return count == 1;
}

static bool agent_served(struct world *world)
{
	return world->acks > 0 && world->slices > 0;
}

static bool agent_knows_two_entries(struct world *world)
{
	return world->last_count == 2;
}

static bool agent_knows_one_entry(struct world *world)
{
	return world->last_count == 1;
}

static bool agent_received_entries(struct world *world)
{
	return world->entry_lists_received > 0;
}

static void setup(struct world *world)
{
	memset(world, 0, sizeof(*world));
	world->mem = talloc_new(NULL);
	world->ev = tevent_context_init(world->mem);
	world->fake = fakestore_start(world->mem, world->ev, NULL);
	start_host(world, &world->a, "a", fakestore_client(world->mem, world->fake, 0));
	start_host(world, &world->b, "b", fakestore_client(world->mem, world->fake, 0));
	start_agent(world);
}

static void teardown(struct world *world)
{
	stop_host(&world->a);
	stop_host(&world->b);
	wire_destroy(world->agent, 0);
	talloc_free(world->mem);
}

/*
 * Guards against entries that do not find each other through the store, and against a
 * configuration or a target that reaches only some entries while the store is down.
 */
static void test_spread(void)
{
	json_t *files = test_config_files();
	struct world world;

	setup(&world);
	CU_ASSERT_TRUE(wait_for(&world, both_entries_found));
	fakestore_set_fault(world.fake, "{\"down\":true}");
	CU_ASSERT_EQUAL(configrepo_offer(world.a.configs, 7, files), 0);
	CU_ASSERT_TRUE(wait_for(&world, config_at_b));
	introduce_agent(&world);
	CU_ASSERT_TRUE(wait_for(&world, agent_knows_two_entries));
	send_heartbeat(&world);
	CU_ASSERT_TRUE(wait_for(&world, agent_served));
	CU_ASSERT_TRUE(wait_for(&world, target_at_b));
	/* An entry that leaves sends its agents a list without itself: they choose another home. */
	peers_leave(world.a.peers);
	CU_ASSERT_TRUE(wait_for(&world, agent_knows_one_entry));
	teardown(&world);
	json_decref(files);
}

/*
 * Guards against an agent that stays unknown to a restarted entry, because it takes the entry for
 * the process before the restart.
 */
static void test_unknown_agent(void)
{
	struct world world;

	setup(&world);
	send_heartbeat(&world);
	CU_ASSERT_TRUE(wait_for(&world, agent_received_entries));
	CU_ASSERT_EQUAL(world.acks, 0);
	teardown(&world);
}

static void count_suspect(const struct member_target *target, void *ctx)
{
	*(int *)ctx += target->state == MSG_TARGET_SUSPECT || target->state == MSG_TARGET_GONE;
}

/* Guards against agents that an entry takes for silent because it did not run itself. */
static void test_stall(void)
{
	int suspected = 0;
	struct member_handlers handlers = {.on_target = count_suspect, .ctx = &suspected};
	struct world world;

	setup(&world);
	CU_ASSERT_TRUE(wait_for(&world, both_entries_found));
	introduce_agent(&world);
	send_heartbeat(&world);
	CU_ASSERT_TRUE(wait_for(&world, target_at_b));
	member_subscribe(world.a.members, &handlers);
	member_subscribe(world.b.members, &handlers);
	send_heartbeat(&world);
	usleep((MEMBER_SUSPECT_MS + 500) * 1000);
	loop_for(world.ev, 500);
	CU_ASSERT_EQUAL(suspected, 0);
	loop_for(world.ev, MEMBER_SUSPECT_MS + 1000);
	CU_ASSERT_TRUE(suspected > 0);
	teardown(&world);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("peers", NULL, NULL);
	CU_add_test(suite, "spread", test_spread);
	CU_add_test(suite, "unknown_agent", test_unknown_agent);
	CU_add_test(suite, "stall", test_stall);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
