#include "wire.h"

#include <CUnit/Basic.h>
#include <string.h>
#include <unistd.h>

struct test_peer {
	struct wire *wire;
	int received;
	char peer[64];
};

static void count_and_acknowledge(const char *peer, struct msg *msg, void *ctx)
{
	struct test_peer *test_peer = ctx;
	struct msg reply = {.type = MSG_HEARTBEAT_ACK};

	test_peer->received++;
	snprintf(test_peer->peer, sizeof(test_peer->peer), "%s", peer);
	if (msg->type != MSG_HEARTBEAT)
		return;
	reply.u.heartbeat_ack.sequence = msg->u.heartbeat.sequence;
	wire_send(test_peer->wire, peer, &reply);
}

static void open_peer(TALLOC_CTX *mem, struct tevent_context *ev, struct test_peer *test_peer,
		      const char *name)
{
	struct wire_handlers handlers = {.on_message = count_and_acknowledge, .ctx = test_peer};

	test_peer->wire =
		wire_create(mem, ev, name, "127.0.0.1:0", &handlers, metrics_create(mem), NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(test_peer->wire);
}

/* Guards against lost wake-ups of the edge-triggered descriptor under a burst of messages. */
static void test_burst(void)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct tevent_context *ev = tevent_context_init(mem);
	struct test_peer server = {0};
	struct test_peer client = {0};
	struct msg msg = {.type = MSG_HEARTBEAT};

	open_peer(mem, ev, &server, "server#1");
	open_peer(mem, ev, &client, "client#1");
	CU_ASSERT_EQUAL(wire_connect(client.wire, "server#1", wire_address(server.wire)), 0);
	for (int i = 0; i < 1000; i++) {
		msg.u.heartbeat.sequence = (uint64_t)i;
		CU_ASSERT_EQUAL(wire_send(client.wire, "server#1", &msg), 0);
	}
	while (client.received < 1000)
		tevent_loop_once(ev);
	CU_ASSERT_EQUAL(server.received, 1000);
	CU_ASSERT_STRING_EQUAL(server.peer, "client#1");
	CU_ASSERT_EQUAL(wire_send(server.wire, "nobody#1", &msg), -ERR_NO_TARGET);
	wire_destroy(client.wire, 0);
	wire_destroy(server.wire, 0);
	talloc_free(mem);
}

#define FLOOD_MESSAGES 400
#define FLOOD_HANDLER_US 1000

struct flooded_peer {
	struct wire *wire;
	int received;
	int received_at_event; /* messages that were handled before the other event */
	int received_at_timer;
};

static void handle_slowly(const char *peer, struct msg *msg, void *ctx)
{
	struct flooded_peer *flooded = ctx;

	flooded->received++;
	usleep(FLOOD_HANDLER_US);
}

static void on_other_event(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
			   void *ctx)
{
	struct flooded_peer *flooded = ctx;

	flooded->received_at_event = flooded->received;
	tevent_fd_set_flags(fde, 0);
}

static void on_flood_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			   void *ctx)
{
	struct flooded_peer *flooded = ctx;

	flooded->received_at_timer = flooded->received;
}

/*
 * Guards against a process that handles nothing but messages while they come faster than it
 * handles them. A new leader of 240 agents on a small host lost its lease that way: its renewals
 * and the answers of the store waited until all reports were handled.
 */
static void test_flood_leaves_other_events(void)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct tevent_context *ev = tevent_context_init(mem);
	struct flooded_peer server = {.received_at_event = -1, .received_at_timer = -1};
	struct wire_handlers handlers = {.on_message = handle_slowly, .ctx = &server};
	struct test_peer client = {0};
	struct msg msg = {.type = MSG_HEARTBEAT_ACK};
	struct err err;
	int ends[2];

	server.wire = wire_create(mem, ev, "server#1", "127.0.0.1:0", &handlers,
				  metrics_create(mem), &err);
	CU_ASSERT_PTR_NOT_NULL_FATAL(server.wire);
	open_peer(mem, ev, &client, "client#1");
	CU_ASSERT_EQUAL(wire_connect(client.wire, "server#1", wire_address(server.wire)), 0);
	for (int i = 0; i < FLOOD_MESSAGES; i++)
		CU_ASSERT_EQUAL(wire_send(client.wire, "server#1", &msg), 0);
	while (server.received == 0)
		tevent_loop_once(ev);
	CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
	CU_ASSERT_EQUAL_FATAL(write(ends[1], "x", 1), 1);
	tevent_add_fd(ev, mem, ends[0], TEVENT_FD_READ, on_other_event, &server);
	tevent_add_timer(ev, mem, tevent_timeval_current_ofs(0, 20000), on_flood_timer, &server);
	while (server.received < FLOOD_MESSAGES)
		tevent_loop_once(ev);
	CU_ASSERT_TRUE(server.received_at_event >= 0);
	CU_ASSERT_TRUE(server.received_at_event < FLOOD_MESSAGES / 2);
	CU_ASSERT_TRUE(server.received_at_timer >= 0);
	CU_ASSERT_TRUE(server.received_at_timer < FLOOD_MESSAGES / 2);
	close(ends[0]);
	close(ends[1]);
	wire_destroy(client.wire, 0);
	wire_destroy(server.wire, 0);
	talloc_free(mem);
}

/* Guards against addresses that need a name to be looked up, which stalls all connections. */
static void test_odd_addresses(void)
{
	static const char *const addresses[] = {"",
						"127.0.0.1",
						"127.0.0.1:0",
						"127.0.0.1:99999",
						"some.host:80",
						"127.0.0.1:1;127.0.0.1:2",
						"lo:80",
						"127.0.0.1:80 "};
	TALLOC_CTX *mem = talloc_new(NULL);
	struct tevent_context *ev = tevent_context_init(mem);
	struct test_peer client = {0};

	open_peer(mem, ev, &client, "client#1");
	for (size_t i = 0; i < sizeof(addresses) / sizeof(addresses[0]); i++)
		CU_ASSERT_EQUAL(wire_connect(client.wire, "x#1", addresses[i]), -ERR_SYSTEM);
	CU_ASSERT_FALSE(wire_connected(client.wire, "x#1"));
	wire_destroy(client.wire, 0);
	talloc_free(mem);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("wire", NULL, NULL);
	CU_add_test(suite, "burst", test_burst);
	CU_add_test(suite, "flood_leaves_other_events", test_flood_leaves_other_events);
	CU_add_test(suite, "odd_addresses", test_odd_addresses);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
