#include "entrylinks.h"
#include "lib_agent.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <string.h>

#define WAIT_MS 20000
#define NODE_COUNT 3000

static struct agent_rig rig;

/*
 * Guards against entries with far more than their share of agents, and against agents that change
 * their home entry although it has not left.
 */
static void test_choose(void)
{
	const char *peers[] = {"entry-0#11", "entry-1#12", "entry-2#13", "entry-3#14"};
	unsigned int counts[4] = {0};
	unsigned int moved = 0;

	for (int i = 0; i < NODE_COUNT; i++) {
		char node[32];
		size_t of_four;

		snprintf(node, sizeof(node), "agent-%d", i);
		of_four = entrylinks_choose_home(peers, 4, node);
		counts[of_four]++;
		if (of_four != 3)
			moved += entrylinks_choose_home(peers, 3, node) != of_four;
	}
	for (int i = 0; i < 4; i++)
		CU_ASSERT(counts[i] > NODE_COUNT / 5 && counts[i] < NODE_COUNT / 3);
	CU_ASSERT_EQUAL(moved, 0);
}

static bool has_three_heartbeats(struct agent_rig *r, void *ctx)
{
	return r->entries[*(const unsigned int *)ctx].heartbeats >= 3;
}

static unsigned int home_index(void)
{
	const char *peers[] = {rig.entries[0].peer, rig.entries[1].peer};

	return (unsigned int)entrylinks_choose_home(peers, 2, "agent-1");
}

static void test_start(void)
{
	rig_start(&rig, 2);
}

static bool has_heartbeat(struct agent_rig *r, void *ctx)
{
	return r->entries[*(const unsigned int *)ctx].heartbeats > 0;
}

/* Guards against an agent that keeps a home entry which no longer answers. */
static void test_failover(void)
{
	unsigned int home = home_index();
	unsigned int other = 1 - home;

	CU_ASSERT(rig_run_until(&rig, has_three_heartbeats, &home, WAIT_MS));
	rig.entries[other].heartbeats = 0;
	rig.entries[home].heartbeats = 0;
	CU_ASSERT(rig_run_until(&rig, has_three_heartbeats, &home, WAIT_MS));
	CU_ASSERT_EQUAL(rig.entries[other].heartbeats, 0);
	rig.entries[home].silent = true;
	CU_ASSERT(rig_run_until(&rig, has_heartbeat, &other, WAIT_MS));
}

/* Guards against an agent that never returns to an entry that answers again. */
static void test_return(void)
{
	unsigned int home = home_index();
	struct msg msg = {.type = MSG_ENTRIES};
	const char *ids[] = {rig.entries[0].peer, rig.entries[1].peer};
	const char *addresses[] = {wire_address(rig.entries[0].wire),
				   wire_address(rig.entries[1].wire)};

	rig.entries[home].silent = false;
	rig.entries[home].heartbeats = 0;
	msg.u.entries.version = 2;
	msg.u.entries.ids = (struct msg_strings){ids, 2};
	msg.u.entries.addresses = (struct msg_strings){addresses, 2};
	CU_ASSERT_EQUAL(wire_send(rig.entries[home].wire, rig.agent_peer, &msg), 0);
	CU_ASSERT(rig_run_until(&rig, has_heartbeat, &home, WAIT_MS));
}

static bool has_hello(struct agent_rig *r, void *ctx)
{
	return r->entries[*(const unsigned int *)ctx].hellos > 0;
}

/* Guards against an agent that takes a restarted entry for the process before the restart. */
static void test_restart(void)
{
	unsigned int home = home_index();

	rig_restart_entry(&rig, home);
	CU_ASSERT(rig_run_until(&rig, has_hello, &home, WAIT_MS));
}

static void test_stop(void)
{
	rig_stop(&rig);
}

static void on_written(int status, const struct store_result *result, void *ctx)
{
	CU_ASSERT_EQUAL(status, 0);
}

static void register_entry(const char *endpoint)
{
	struct store_options options = {.endpoints = &endpoint, .endpoint_count = 1};
	struct store_cb cb = {.done = on_written};
	struct store *store =
		store_create(rig.mem, rig.ev, &options, metrics_create(rig.mem), NULL);
	char *value = talloc_asprintf(rig.mem, "{\"peer\":\"%s\",\"peer_address\":\"%s\"}",
				      rig.entries[0].peer, wire_address(rig.entries[0].wire));
	struct store_op op = {
		.kind = STORE_PUT,
		.key = "entry/entry-0",
		.value = value,
		.value_len = strlen(value),
	};

	store_txn(store, NULL, 0, &op, 1, cb);
}

/* Guards against an agent that finds no entry when no seed answers (port 1 refuses connections). */
static void test_store(void)
{
	const char *const arguments[] = {"--listen", "127.0.0.1:0", NULL};
	struct proc store;
	char endpoint[128];

	CU_ASSERT_FATAL(proc_start(&store, "fake_store", "store", arguments));
	snprintf(endpoint, sizeof(endpoint), "http://%s", store.address[0]);
	rig_prepare(&rig, 1);
	register_entry(endpoint);
	rig_start_agent(&rig, "127.0.0.1:1", endpoint);
	rig_stop(&rig);
	proc_stop(&store, WAIT_MS);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("agent_home", NULL, NULL);
	CU_add_test(suite, "choose", test_choose);
	CU_add_test(suite, "start", test_start);
	CU_add_test(suite, "failover", test_failover);
	CU_add_test(suite, "return", test_return);
	CU_add_test(suite, "restart", test_restart);
	CU_add_test(suite, "stop", test_stop);
	CU_add_test(suite, "store", test_store);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures() + CU_get_number_of_suites_failed();
	CU_cleanup_registry();
	return failures != 0;
}
