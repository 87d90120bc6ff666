#include "election.h"
#include "lib_fakestore.h"

#include <CUnit/Basic.h>
#include <string.h>

#define SHORT_TTL_S 1
#define LONG_TTL_S 20 /* long enough not to lapse when a busy machine stalls the test */

/* Each candidate has its own event loop, so a test can pause one by not running its loop. */
struct candidate {
	struct tevent_context *ev;
	struct store *store;
	struct election *election;
	int gained;
	int lost;
	int resigned;
	uint64_t epoch; /* last one gained */
	char leader[32];
};

struct world {
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	struct fakestore *fake;
	uint32_t ttl_s;
	struct candidate a;
	struct candidate b;
};

static void on_gained(uint64_t epoch, void *ctx)
{
	struct candidate *candidate = ctx;

	candidate->gained++;
	candidate->epoch = epoch;
}

static void on_lost(void *ctx)
{
	((struct candidate *)ctx)->lost++;
}

static void on_leader(const char *node, const char *address, uint64_t epoch, void *ctx)
{
	struct candidate *candidate = ctx;

	snprintf(candidate->leader, sizeof(candidate->leader), "%s", node);
}

static void on_resigned(void *ctx)
{
	((struct candidate *)ctx)->resigned++;
}

static void start_candidate(struct world *world, struct candidate *candidate, const char *node)
{
	const char *endpoints[] = {fakestore_url(world->fake)};
	struct store_options options = {
		.endpoints = endpoints, .endpoint_count = 1, .timeout_ms = 500};
	struct election_handlers handlers = {on_gained, on_lost, on_leader, candidate};

	*candidate = (struct candidate){.ev = tevent_context_init(world->mem)};
	candidate->store = store_create(world->mem, candidate->ev, &options, NULL, NULL);
	candidate->election =
		election_create(world->mem, candidate->ev, candidate->store, "placement/test", node,
				"127.0.0.1:1", world->ttl_s, &handlers);
}

static void open_world(struct world *world, uint32_t ttl_s)
{
	world->mem = talloc_new(NULL);
	world->ev = tevent_context_init(world->mem);
	world->fake = fakestore_start(world->mem, world->ev, NULL);
	world->ttl_s = ttl_s;
}

static void start_two_candidates(struct world *world, uint32_t ttl_s)
{
	open_world(world, ttl_s);
	start_candidate(world, &world->a, "a");
	CU_ASSERT_TRUE(loop_until(world->a.ev, &world->a.gained));
	start_candidate(world, &world->b, "b");
}

/* Runs both loops in turn until @done is positive, or for @ms when @done is NULL. */
static bool run_both(struct world *world, const int *done, uint32_t ms)
{
	for (uint32_t i = 0; done ? *done <= 0 && i < LOOP_TIMEOUT_MS / 10 : i < ms / 10; i++) {
		loop_for(world->a.ev, 5);
		loop_for(world->b.ev, 5);
	}
	return !done || *done > 0;
}

static int count_leaders(const struct world *world)
{
	return (election_epoch(world->a.election) > 0) + (election_epoch(world->b.election) > 0);
}

/* Guards against two leaders without any fault, and a follower that doesn't know the leader. */
static void test_one_leader(void)
{
	struct world world;
	struct store_compare compare;

	start_two_candidates(&world, LONG_TTL_S);
	run_both(&world, NULL, 1000);
	CU_ASSERT_EQUAL(world.a.gained, 1);
	CU_ASSERT_EQUAL(world.a.lost, 0);
	CU_ASSERT_EQUAL(world.b.gained, 0);
	CU_ASSERT_STRING_EQUAL(world.b.leader, "a");
	CU_ASSERT_EQUAL(election_compare(world.a.election, &compare), 0);
	CU_ASSERT_EQUAL(election_compare(world.b.election, &compare), -ERR_STALE);
	talloc_free(world.mem);
}

struct outcome {
	int done;
	int status;
};

static void on_txn(int status, const struct store_result *result, void *ctx)
{
	struct outcome *outcome = ctx;

	outcome->done = 1;
	outcome->status = status;
}

/* Guards against a leader that commits under its old epoch after a pause longer than its lease. */
static void test_paused_leader(void)
{
	struct world world;
	struct store_compare compare;
	struct store_op op = {.kind = STORE_PUT, .key = "step", .value = "x", .value_len = 1};
	struct outcome outcome = {0};

	start_two_candidates(&world, SHORT_TTL_S);
	CU_ASSERT_TRUE(loop_until(world.b.ev, &world.b.gained));
	CU_ASSERT_EQUAL(world.b.epoch, world.a.epoch + 1);
	CU_ASSERT_EQUAL(election_epoch(world.a.election), world.a.epoch);
	CU_ASSERT_EQUAL(election_lease_left_ms(world.a.election), 0);
	CU_ASSERT_TRUE(election_lease_left_ms(world.b.election) > 0);
	CU_ASSERT_TRUE(election_lease_left_ms(world.b.election) <= 1000 * SHORT_TTL_S);
	CU_ASSERT_EQUAL(election_compare(world.a.election, &compare), 0);
	store_txn(world.a.store, &compare, 1, &op, 1, (struct store_cb){on_txn, &outcome});
	CU_ASSERT_TRUE(loop_until(world.a.ev, &outcome.done));
	CU_ASSERT_EQUAL(outcome.status, -ERR_CONFLICT);
	CU_ASSERT_TRUE(run_both(&world, &world.a.lost, 0));
	CU_ASSERT_EQUAL(count_leaders(&world), 1);
	talloc_free(world.mem);
}

static uint64_t highest_epoch(const struct world *world)
{
	return world->a.epoch > world->b.epoch ? world->a.epoch : world->b.epoch;
}

/*
 * Guards against a change of leader during a store outage longer than the lease, and against two
 * leaders or none after it.
 */
static void test_outage(void)
{
	struct world world;
	uint64_t epoch;

	start_two_candidates(&world, SHORT_TTL_S);
	fakestore_set_fault(world.fake, "{\"down\":true}");
	run_both(&world, NULL, 200); /* lets answers arrive that were sent before the outage */
	epoch = highest_epoch(&world);
	run_both(&world, NULL, 3000 * SHORT_TTL_S);
	CU_ASSERT_EQUAL(highest_epoch(&world), epoch);
	CU_ASSERT_TRUE(election_epoch(world.a.election) == epoch ||
		       election_epoch(world.b.election) == epoch);
	CU_ASSERT_EQUAL(election_lease_left_ms(world.a.election), 0);
	CU_ASSERT_EQUAL(election_lease_left_ms(world.b.election), 0);
	fakestore_set_fault(world.fake, "{\"down\":false}");
	run_both(&world, NULL, 4000);
	while (count_leaders(&world) != 1)
		run_both(&world, NULL, 10);
	/* Either the old leader goes on under its epoch, or the other has a higher one. */
	CU_ASSERT_TRUE(election_epoch(world.a.election) == highest_epoch(&world) ||
		       election_epoch(world.b.election) == highest_epoch(&world));
	talloc_free(world.mem);
}

/* Guards against a lone leader that loses the leadership or its epoch when its lease lapses. */
static void test_lapsed_lease(void)
{
	struct world world;
	uint64_t epoch;

	start_two_candidates(&world, LONG_TTL_S);
	election_resign(world.b.election, on_resigned, &world.b);
	CU_ASSERT_TRUE(loop_until(world.b.ev, &world.b.resigned));
	epoch = world.a.epoch;
	for (int i = 0; i < 3; i++) {
		fakestore_set_fault(world.fake, "{\"expire_leases\":true}");
		run_both(&world, NULL, 300);
	}
	run_both(&world, NULL, 1000);
	CU_ASSERT_EQUAL(world.a.lost, 0);
	CU_ASSERT_EQUAL(election_epoch(world.a.election), epoch);
	CU_ASSERT_TRUE(election_lease_left_ms(world.a.election) > 0);
	CU_ASSERT_EQUAL(fakestore_stat(world.fake, "keys"), 2);
	talloc_free(world.mem);
}

/* Guards against a leader that renews a new lease for ever without its record. */
static void test_failed_record(void)
{
	static const char *const flags[] = {"--writes-per-s=1", NULL};
	struct world world = {.ttl_s = LONG_TTL_S};

	world.mem = talloc_new(NULL);
	world.ev = tevent_context_init(world.mem);
	world.fake = fakestore_start(world.mem, world.ev, flags);
	start_candidate(&world, &world.a, "a");
	CU_ASSERT_TRUE(loop_until(world.a.ev, &world.a.gained));
	fakestore_set_fault(world.fake, "{\"expire_leases\":true}");
	/* The store allows the grant, refuses the record and allows a renewal a second later. */
	loop_for(world.a.ev, 6000);
	CU_ASSERT_EQUAL(fakestore_stat(world.fake, "keys"), 2);
	CU_ASSERT_EQUAL(world.a.lost, 0);
	CU_ASSERT_TRUE(election_lease_left_ms(world.a.election) > 0);
	talloc_free(world.mem);
}

/* Guards against no leader, or two, after the answer to any write of the election was lost. */
static void test_lost_answers(void)
{
	struct world world;

	for (int lost = 1; lost <= 3; lost++) {
		char fault[64];

		open_world(&world, LONG_TTL_S);
		snprintf(fault, sizeof(fault), "{\"lose_answers\":%d}", lost);
		fakestore_set_fault(world.fake, fault);
		start_candidate(&world, &world.a, "a");
		start_candidate(&world, &world.b, "b");
		while (count_leaders(&world) == 0 && run_both(&world, NULL, 10))
			;
		run_both(&world, NULL, 1000);
		CU_ASSERT_EQUAL(count_leaders(&world), 1);
		talloc_free(world.mem);
	}
}

/* Guards against a graceful shutdown after which the successor waits for the lease to lapse. */
static void test_resign(void)
{
	struct world world;

	start_two_candidates(&world, LONG_TTL_S);
	run_both(&world, NULL, 100);
	election_resign(world.a.election, on_resigned, &world.a);
	CU_ASSERT_EQUAL(world.a.lost, 1);
	CU_ASSERT_EQUAL(world.a.resigned, 0);
	CU_ASSERT_TRUE(run_both(&world, &world.b.gained, 0));
	CU_ASSERT_EQUAL(world.a.resigned, 1);
	CU_ASSERT_EQUAL(world.b.epoch, world.a.epoch + 1);
	talloc_free(world.b.election);
	talloc_free(world.a.election);
	talloc_free(world.mem);
}

static void write_key(struct world *world, const char *key, const char *value)
{
	struct store_op op = {
		.kind = STORE_PUT, .key = key, .value = value, .value_len = strlen(value)};
	struct outcome outcome = {0};

	store_txn(world->a.store, NULL, 0, &op, 1, (struct store_cb){on_txn, &outcome});
	CU_ASSERT_TRUE(loop_until(world->a.ev, &outcome.done));
}

/* Guards against a record of another writer, without a lease, that nobody replaces. */
static void test_odd_record(void)
{
	struct world world;

	start_two_candidates(&world, SHORT_TTL_S);
	write_key(&world, "duty/placement/test",
		  "{\"node\":\"x\",\"address\":\"127.0.0.1:99999\",\"epoch\":-1}");
	run_both(&world, NULL, 3500);
	CU_ASSERT_EQUAL(count_leaders(&world), 1);
	CU_ASSERT(world.a.epoch == 2 || world.b.epoch == 2);
	talloc_free(world.mem);
}

/* Guards against a counter that stops elections or makes epochs go back. */
static void test_odd_counter(void)
{
	static const char *const counters[] = {"18446744073709551615", "-1", "x", ""};

	for (size_t i = 0; i < sizeof(counters) / sizeof(counters[0]); i++) {
		struct world world;

		start_two_candidates(&world, LONG_TTL_S);
		run_both(&world, NULL, 300);
		write_key(&world, "duty-epoch/placement/test", counters[i]);
		election_resign(world.a.election, on_resigned, &world.a);
		CU_ASSERT_TRUE(run_both(&world, &world.b.gained, 0));
		CU_ASSERT_EQUAL(world.b.epoch, 2);
		talloc_free(world.mem);
	}
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("duty", NULL, NULL);
	CU_add_test(suite, "one holder", test_one_leader);
	CU_add_test(suite, "paused", test_paused_leader);
	CU_add_test(suite, "outage", test_outage);
	CU_add_test(suite, "lapse", test_lapsed_lease);
	CU_add_test(suite, "failed record", test_failed_record);
	CU_add_test(suite, "lost answers", test_lost_answers);
	CU_add_test(suite, "resign", test_resign);
	CU_add_test(suite, "odd record", test_odd_record);
	CU_add_test(suite, "odd counter", test_odd_counter);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
