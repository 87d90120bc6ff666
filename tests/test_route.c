#include "route.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#define FAST_US 1000

static void add(struct route *r, const char *peer, const char *zone, uint32_t slots)
{
	struct member_target t = {.peer = peer,
				  .service = "s",
				  .zone = zone,
				  .kind = MSG_TARGET_SERVICE,
				  .state = MSG_TARGET_ALIVE,
				  .slots = slots,
				  .connections = 64,
				  .reachable = true};

	route_update(r, &t, false);
}

static void set_state(struct route *r, const char *peer, enum msg_target_state state, bool drained)
{
	struct member_target t = {.peer = peer,
				  .service = "s",
				  .zone = "a",
				  .kind = MSG_TARGET_SERVICE,
				  .state = state,
				  .slots = 8,
				  .connections = 64,
				  .reachable = true};

	route_update(r, &t, drained);
}

static int choose(struct route *r, uint64_t now, struct route_choice *out)
{
	return route_choose(r, "s", NULL, 0, true, now, out);
}

/* Sends requests one after another and counts those that went to @peer. */
static int share(struct route *r, const char *peer, int requests, uint64_t now)
{
	struct route_choice c;
	int count = 0;

	for (int i = 0; i < requests; i++) {
		CU_ASSERT_EQUAL(choose(r, now, &c), 0);
		count += !strcmp(c.peer, peer);
		route_done(r, c.peer, ROUTE_OK, FAST_US, now);
	}
	return count;
}

/* Guards against more requests on a target than it has slots and connections. */
static void test_slots(void)
{
	struct route *r = route_create(NULL, "a", 1);
	struct route_choice c;

	add(r, "x#1", "a", 2);
	add(r, "y#1", "a", 3);
	for (int i = 0; i < 5; i++)
		CU_ASSERT_EQUAL(choose(r, 10, &c), 0);
	CU_ASSERT_EQUAL(choose(r, 10, &c), -ERR_NO_TARGET);
	CU_ASSERT_FALSE(route_has_room(r, "s", 10));
	route_done(r, "x#1", ROUTE_OK, FAST_US, 10);
	CU_ASSERT_EQUAL(choose(r, 10, &c), 0);
	CU_ASSERT_STRING_EQUAL(c.peer, "x#1");
	/* Own requests bound the load even when a report is old. */
	route_load(r, "x#1", 0, 10);
	CU_ASSERT_EQUAL(choose(r, 10, &c), -ERR_NO_TARGET);
	CU_ASSERT_EQUAL(route_choose(r, "other", NULL, 0, true, 10, &c), -ERR_NOT_FOUND);
	talloc_free(r);
}

/* Guards against work for targets that leave, are suspect, drained or cannot be reached. */
static void test_states(void)
{
	static const struct {
		enum msg_target_state state;
		bool drained;
		int expected;
	} cases[] = {
		{MSG_TARGET_ALIVE, false, 0},
		{MSG_TARGET_ALIVE, true, -ERR_NOT_FOUND},
		{MSG_TARGET_SUSPECT, false, -ERR_NOT_FOUND},
		{MSG_TARGET_LEAVING, false, -ERR_NOT_FOUND},
		{MSG_TARGET_GONE, false, -ERR_NOT_FOUND},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct route *r = route_create(NULL, "a", 1);
		struct route_choice c;

		set_state(r, "x#1", MSG_TARGET_ALIVE, false);
		set_state(r, "x#1", cases[i].state, cases[i].drained);
		CU_ASSERT_EQUAL(choose(r, 10, &c), cases[i].expected);
		talloc_free(r);
	}
}

/* Guards against traffic between zones without need, and against staying near a slow target. */
static void test_zones(void)
{
	struct route *r = route_create(NULL, "a", 1);
	struct route_choice c;

	add(r, "near#1", "a", 8);
	add(r, "far#1", "b", 8);
	/* The far target is tried once, to learn its latency. */
	CU_ASSERT_EQUAL(share(r, "near#1", 100, 10), 99);
	for (int i = 0; i < 30; i++) {
		CU_ASSERT_EQUAL(choose(r, 10, &c), 0);
		route_done(r, c.peer, ROUTE_OK, strcmp(c.peer, "near#1") ? FAST_US : 3 * FAST_US,
			   10);
	}
	CU_ASSERT(share(r, "far#1", 100, 10) > 50);
	talloc_free(r);
}

static void fail_times(struct route *r, const char *peer, int times, uint64_t now)
{
	struct route_choice c;

	for (int tries = 0; times && tries < 10000; tries++) {
		if (choose(r, now, &c))
			return;
		if (!strcmp(c.peer, peer)) {
			times--;
			route_done(r, c.peer, ROUTE_FAILED, 0, now);
		} else {
			route_done(r, c.peer, ROUTE_OK, FAST_US, now);
		}
	}
}

/* Guards against requests to a failing target, and against never using it again. */
static void test_ejection(void)
{
	struct route *r = route_create(NULL, "a", 3);
	struct route_choice c;

	add(r, "bad#1", "a", 8);
	add(r, "good#1", "a", 8);
	add(r, "fine#1", "a", 8);
	fail_times(r, "bad#1", 5, 1000);
	CU_ASSERT_EQUAL(share(r, "bad#1", 100, 2000), 0);
	CU_ASSERT_EQUAL(route_choose(r, "s", NULL, 0, false, 7000, &c), 0);
	CU_ASSERT_FALSE(c.probe);
	route_done(r, c.peer, ROUTE_OK, FAST_US, 7000);
	/* One request at a time tries it; a failure ejects it for longer. */
	CU_ASSERT_EQUAL(choose(r, 7000, &c), 0);
	CU_ASSERT_TRUE(c.probe);
	CU_ASSERT_EQUAL(share(r, "bad#1", 50, 7000), 0);
	route_done(r, "bad#1", ROUTE_FAILED, 0, 7000);
	CU_ASSERT_EQUAL(share(r, "bad#1", 50, 13000), 0);
	CU_ASSERT_EQUAL(choose(r, 18000, &c), 0);
	CU_ASSERT_TRUE(c.probe);
	route_done(r, c.peer, ROUTE_OK, FAST_US, 18000);
	CU_ASSERT(share(r, "bad#1", 100, 18000) > 10);
	talloc_free(r);
}

/* Guards against ejecting so many targets that the rest is overloaded. */
static void test_ejection_floor(void)
{
	struct route *r = route_create(NULL, "a", 3);
	char peer[16];
	int usable = 0;

	for (int i = 0; i < 4; i++) {
		snprintf(peer, sizeof(peer), "t%d#1", i);
		add(r, peer, "a", 8);
	}
	for (int i = 0; i < 4; i++) {
		snprintf(peer, sizeof(peer), "t%d#1", i);
		fail_times(r, peer, 20, 1000);
	}
	for (int i = 0; i < 4; i++) {
		snprintf(peer, sizeof(peer), "t%d#1", i);
		usable += share(r, peer, 200, 1500) > 0;
	}
	CU_ASSERT_EQUAL(usable, 2);
	talloc_free(r);
}

/* Guards against a slow target that keeps its share of requests. */
static void test_slow(void)
{
	struct route *r = route_create(NULL, "a", 5);
	struct route_choice c;

	add(r, "slow#1", "a", 8);
	add(r, "b#1", "a", 8);
	add(r, "c#1", "a", 8);
	for (int i = 0; i < 400; i++) {
		CU_ASSERT_EQUAL(choose(r, 1000, &c), 0);
		route_done(r, c.peer, ROUTE_OK, strcmp(c.peer, "slow#1") ? FAST_US : 50 * FAST_US,
			   1000);
	}
	CU_ASSERT(share(r, "slow#1", 200, 1000) <= 10);
	talloc_free(r);
}

/* Guards against a retry at the target that has just failed. */
static void test_exclude(void)
{
	struct route *r = route_create(NULL, "a", 1);
	const char *const exclude[] = {NULL, "x#1"};
	struct route_choice c;

	add(r, "x#1", "a", 8);
	CU_ASSERT_EQUAL(route_choose(r, "s", exclude, 2, true, 10, &c), -ERR_NO_TARGET);
	add(r, "y#1", "b", 8);
	CU_ASSERT_EQUAL(route_choose(r, "s", exclude, 2, true, 10, &c), 0);
	CU_ASSERT_STRING_EQUAL(c.peer, "y#1");
	talloc_free(r);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("route", NULL, NULL);
	CU_add_test(suite, "slots", test_slots);
	CU_add_test(suite, "states", test_states);
	CU_add_test(suite, "zones", test_zones);
	CU_add_test(suite, "ejection", test_ejection);
	CU_add_test(suite, "ejection_floor", test_ejection_floor);
	CU_add_test(suite, "slow", test_slow);
	CU_add_test(suite, "exclude", test_exclude);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
