#include "member.h"

#include <CUnit/Basic.h>
#include <string.h>

/* Two entries and one agent, without sockets: messages are handed over directly. */
struct world {
	TALLOC_CTX *mem;
	struct member *a;
	struct member *b;
	int notified;
	enum msg_target_state last_state;
};

static void on_target(const struct member_target *target, void *ctx)
{
	struct world *w = ctx;

	w->notified++;
	w->last_state = target->state;
}

static void introduce(struct member *m, uint64_t incarnation, uint64_t now)
{
	struct msg_hello hello = {.node = "n1",
				  .incarnation = incarnation,
				  .role = MSG_ROLE_AGENT,
				  .region = "r",
				  .zone = "z",
				  .rack = "k",
				  .address = "10.0.0.1:1",
				  .clock_ms = now + 500};
	struct msg_announce announce = {.node = "n1",
					.incarnation = incarnation,
					.kind = MSG_TARGET_SERVICE,
					.service = "s",
					.target = "t1",
					.state = MSG_TARGET_ALIVE,
					.slots = 8,
					.connections = 64,
					.clock_ms = now + 500};

	member_hello(m, &hello, now);
	member_announce(m, &announce, now);
}

static void setup(struct world *w)
{
	struct member_handlers handlers = {.on_target = on_target, .ctx = w};

	*w = (struct world){.mem = talloc_new(NULL)};
	w->a = member_create(w->mem, "a#1");
	w->b = member_create(w->mem, "b#1");
	member_subscribe(w->b, &handlers);
	introduce(w->a, 1, 0);
	introduce(w->b, 1, 0);
}

static bool beat(struct member *m, uint64_t now)
{
	struct msg_heartbeat heartbeat = {.clock_ms = now + 500, .in_flight = 1};

	return member_heartbeat(m, "n1#1", &heartbeat, now);
}

/* What one entry sends to the other every second. */
static bool exchange(struct member *from, const char *peer, struct member *to, uint64_t now)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct msg_target_delta delta;
	struct msg_digest digest = {0};
	bool differs;

	if (member_take_delta(from, mem, false, &delta))
		member_delta(to, peer, &delta, now);
	member_own_digest(from, &digest);
	differs = member_digest(to, peer, &digest, now);
	if (differs) {
		member_take_delta(from, mem, true, &delta);
		member_delta(to, peer, &delta, now);
	}
	talloc_free(mem);
	return differs;
}

static int state_at(struct member *m)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct member_target t = {0};
	int state = member_find(m, mem, "n1", &t) ? (int)t.state : 0;

	talloc_free(mem);
	return state;
}

/* Guards against a dead target that keeps getting work, and against one never seen again. */
static void test_silence(void)
{
	static const struct {
		uint64_t at_ms;
		int state;
	} cases[] = {
		{2400, MSG_TARGET_ALIVE},
		{2600, MSG_TARGET_SUSPECT},
		{29900, MSG_TARGET_SUSPECT},
		{30100, 0},
	};
	struct world w;

	setup(&w);
	CU_ASSERT_TRUE(beat(w.a, 0));
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		member_tick(w.a, cases[i].at_ms);
		CU_ASSERT_EQUAL(state_at(w.a), cases[i].state);
	}
	CU_ASSERT_FALSE(beat(w.a, 31000));
	introduce(w.a, 1, 31000);
	CU_ASSERT_EQUAL(state_at(w.a), MSG_TARGET_ALIVE);
	talloc_free(w.mem);
}

/* Guards against entries that disagree about targets for longer than a digest's period. */
static void test_dissemination(void)
{
	struct world w;

	setup(&w);
	for (uint64_t now = 0; now <= 10000; now += 1000) {
		beat(w.a, now);
		exchange(w.a, "a#1", w.b, now);
		member_tick(w.a, now);
		member_tick(w.b, now);
		CU_ASSERT_EQUAL(state_at(w.b), MSG_TARGET_ALIVE);
	}
	CU_ASSERT_FALSE(exchange(w.a, "a#1", w.b, 10000));
	/* The agent falls silent: its home entry says so. */
	member_tick(w.a, 13000);
	exchange(w.a, "a#1", w.b, 13000);
	CU_ASSERT_EQUAL(state_at(w.b), MSG_TARGET_SUSPECT);
	CU_ASSERT_EQUAL(w.last_state, MSG_TARGET_SUSPECT);
	beat(w.a, 13500);
	exchange(w.a, "a#1", w.b, 13500);
	CU_ASSERT_EQUAL(state_at(w.b), MSG_TARGET_ALIVE);
	talloc_free(w.mem);
}

/* Guards against a dead agent that other entries keep for twice the time its home entry does. */
static void test_removal(void)
{
	struct world w;

	setup(&w);
	beat(w.a, 0);
	for (uint64_t now = 0; now <= 36000; now += 1000) {
		member_tick(w.a, now);
		exchange(w.a, "a#1", w.b, now);
		member_tick(w.b, now);
	}
	CU_ASSERT_EQUAL(w.last_state, MSG_TARGET_GONE);
	talloc_free(w.mem);
}

/* Guards against a lost delta that is never made up for. */
static void test_lost_delta(void)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct msg_target_delta lost;
	struct world w;

	setup(&w);
	beat(w.a, 0);
	member_take_delta(w.a, mem, false, &lost);
	CU_ASSERT_EQUAL(lost.row_count, 1);
	CU_ASSERT_TRUE(exchange(w.a, "a#1", w.b, 100));
	CU_ASSERT_FALSE(exchange(w.a, "a#1", w.b, 200));
	talloc_free(mem);
	talloc_free(w.mem);
}

/* Guards against a blip of suspicion while an agent moves from a lost home entry. */
static void test_home_lost(void)
{
	struct world w;

	setup(&w);
	beat(w.a, 0);
	exchange(w.a, "a#1", w.b, 0);
	member_tick(w.b, 4000);
	CU_ASSERT_EQUAL(state_at(w.b), MSG_TARGET_ALIVE);
	CU_ASSERT_TRUE(beat(w.b, 4100));
	member_tick(w.b, 6000);
	CU_ASSERT_EQUAL(state_at(w.b), MSG_TARGET_ALIVE);
	/* The former home learns of the move and no longer counts the row as its own. */
	exchange(w.b, "b#1", w.a, 6000);
	CU_ASSERT_FALSE(exchange(w.b, "b#1", w.a, 6100));
	exchange(w.a, "a#1", w.b, 6200);
	CU_ASSERT_FALSE(exchange(w.b, "b#1", w.a, 6300));
	/* Without a move it becomes suspect after the longer limit. */
	member_tick(w.b, 6700);
	CU_ASSERT_EQUAL(state_at(w.b), MSG_TARGET_SUSPECT);
	talloc_free(w.mem);
}

/* Guards against messages of a dead process that change the row of its successor. */
static void test_incarnations(void)
{
	struct msg_heartbeat heartbeat = {.in_flight = 7};
	TALLOC_CTX *mem = talloc_new(NULL);
	struct member_target t;
	struct world w;

	setup(&w);
	introduce(w.b, 2, 100);
	CU_ASSERT_EQUAL(w.notified, 3); /* announced, gone, announced */
	introduce(w.b, 1, 200);
	CU_ASSERT_FALSE(member_heartbeat(w.b, "n1#1", &heartbeat, 300));
	CU_ASSERT_TRUE(member_heartbeat(w.b, "n1#2", &heartbeat, 300));
	CU_ASSERT_TRUE(member_find(w.b, mem, "n1", &t));
	CU_ASSERT_STRING_EQUAL(t.peer, "n1#2");
	CU_ASSERT_EQUAL(t.in_flight, 7);
	CU_ASSERT_EQUAL(t.clock_offset_ms, -300);
	talloc_free(mem);
	talloc_free(w.mem);
}

/* Guards against work for a target that leaves, and against malformed announcements. */
static void test_announce(void)
{
	struct msg_announce leaving = {.node = "n1",
				       .incarnation = 1,
				       .kind = MSG_TARGET_SERVICE,
				       .service = "s",
				       .target = "t1",
				       .state = MSG_TARGET_LEAVING,
				       .slots = 8,
				       .connections = 64};
	struct msg_announce bad = leaving;
	struct world w;

	setup(&w);
	bad.state = 99;
	member_announce(w.b, &bad, 10);
	CU_ASSERT_EQUAL(state_at(w.b), MSG_TARGET_ALIVE);
	member_announce(w.b, &leaving, 20);
	CU_ASSERT_EQUAL(state_at(w.b), MSG_TARGET_LEAVING);
	beat(w.b, 30);
	CU_ASSERT_EQUAL(state_at(w.b), MSG_TARGET_LEAVING);
	talloc_free(w.mem);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("member", NULL, NULL);
	CU_add_test(suite, "silence", test_silence);
	CU_add_test(suite, "dissemination", test_dissemination);
	CU_add_test(suite, "lost_delta", test_lost_delta);
	CU_add_test(suite, "removal", test_removal);
	CU_add_test(suite, "home_lost", test_home_lost);
	CU_add_test(suite, "incarnations", test_incarnations);
	CU_add_test(suite, "announce", test_announce);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
