#include "duty.h"
#include "lib_fakestore.h"

#include <CUnit/Basic.h>
#include <string.h>

#define SHORT_TTL_S 1
#define LONG_TTL_S 20 /* does not lapse when a busy machine stalls the test */

/* Each contender has a loop of its own, so that one can be paused by not running it. */
struct contender {
	struct tevent_context *ev;
	struct store *store;
	struct duty *duty;
	int gained;
	int lost;
	int resigned;
	uint64_t epoch; /* last one gained */
	char holder[32];
};

struct world {
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	struct fakestore *fake;
	uint32_t ttl_s;
	struct contender a;
	struct contender b;
};

static void on_gained(uint64_t epoch, void *ctx)
{
	struct contender *c = ctx;

	c->gained++;
	c->epoch = epoch;
}

static void on_lost(void *ctx)
{
	((struct contender *)ctx)->lost++;
}

static void on_holder(const char *node, const char *address, uint64_t epoch, void *ctx)
{
	struct contender *c = ctx;

	snprintf(c->holder, sizeof(c->holder), "%s", node);
}

static void on_resigned(void *ctx)
{
	((struct contender *)ctx)->resigned++;
}

static void join(struct world *w, struct contender *c, const char *node)
{
	const char *endpoints[] = {fakestore_url(w->fake)};
	struct store_options options = {
		.endpoints = endpoints, .endpoint_count = 1, .timeout_ms = 500};
	struct duty_handlers handlers = {on_gained, on_lost, on_holder, c};

	*c = (struct contender){.ev = tevent_context_init(w->mem)};
	c->store = store_create(w->mem, c->ev, &options, NULL, NULL);
	c->duty = duty_create(w->mem, c->ev, c->store, "placement/test", node, "127.0.0.1:1",
			      w->ttl_s, &handlers);
}

static void open_world(struct world *w, uint32_t ttl_s)
{
	w->mem = talloc_new(NULL);
	w->ev = tevent_context_init(w->mem);
	w->fake = fakestore_start(w->mem, w->ev, NULL);
	w->ttl_s = ttl_s;
}

static void setup(struct world *w, uint32_t ttl_s)
{
	open_world(w, ttl_s);
	join(w, &w->a, "a");
	CU_ASSERT_TRUE(loop_until(w->a.ev, &w->a.gained));
	join(w, &w->b, "b");
}

/* Runs both loops in turn until @done, or for @ms when it is NULL. */
static bool run_both(struct world *w, const int *done, uint32_t ms)
{
	for (uint32_t i = 0; done ? *done <= 0 && i < LOOP_TIMEOUT_MS / 10 : i < ms / 10; i++) {
		loop_for(w->a.ev, 5);
		loop_for(w->b.ev, 5);
	}
	return !done || *done > 0;
}

static int holders(const struct world *w)
{
	return (duty_epoch(w->a.duty) > 0) + (duty_epoch(w->b.duty) > 0);
}

/* Guards against two holders in quiet running, and a follower that knows no holder. */
static void test_one_holder(void)
{
	struct world w;
	struct store_compare compare;

	setup(&w, LONG_TTL_S);
	run_both(&w, NULL, 1000);
	CU_ASSERT_EQUAL(w.a.gained, 1);
	CU_ASSERT_EQUAL(w.a.lost, 0);
	CU_ASSERT_EQUAL(w.b.gained, 0);
	CU_ASSERT_STRING_EQUAL(w.b.holder, "a");
	CU_ASSERT_EQUAL(duty_compare(w.a.duty, &compare), 0);
	CU_ASSERT_EQUAL(duty_compare(w.b.duty, &compare), -ERR_STALE);
	talloc_free(w.mem);
}

struct outcome {
	int done;
	int status;
};

static void on_txn(int status, const struct store_result *result, void *ctx)
{
	struct outcome *o = ctx;

	o->done = 1;
	o->status = status;
}

/* A holder paused past its lease must not commit anything under its old epoch. */
static void test_paused(void)
{
	struct world w;
	struct store_compare compare;
	struct store_op op = {.kind = STORE_PUT, .key = "step", .value = "x", .value_len = 1};
	struct outcome o = {0};

	setup(&w, SHORT_TTL_S);
	CU_ASSERT_TRUE(loop_until(w.b.ev, &w.b.gained));
	CU_ASSERT_EQUAL(w.b.epoch, w.a.epoch + 1);
	CU_ASSERT_EQUAL(duty_epoch(w.a.duty), w.a.epoch);
	CU_ASSERT_EQUAL(duty_compare(w.a.duty, &compare), 0);
	store_txn(w.a.store, &compare, 1, &op, 1, (struct store_cb){on_txn, &o});
	CU_ASSERT_TRUE(loop_until(w.a.ev, &o.done));
	CU_ASSERT_EQUAL(o.status, -ERR_CONFLICT);
	CU_ASSERT_TRUE(run_both(&w, &w.a.lost, 0));
	CU_ASSERT_EQUAL(holders(&w), 1);
	talloc_free(w.mem);
}

static uint64_t highest(const struct world *w)
{
	return w->a.epoch > w->b.epoch ? w->a.epoch : w->b.epoch;
}

/* In an outage longer than the lease the holder stays, nobody gains, and one holds after it. */
static void test_outage(void)
{
	struct world w;
	uint64_t epoch;

	setup(&w, SHORT_TTL_S);
	fakestore_fault(w.fake, "{\"down\":true}");
	run_both(&w, NULL, 200); /* calls answered before the outage are through */
	epoch = highest(&w);
	run_both(&w, NULL, 3000 * SHORT_TTL_S);
	CU_ASSERT_EQUAL(highest(&w), epoch);
	CU_ASSERT_TRUE(duty_epoch(w.a.duty) == epoch || duty_epoch(w.b.duty) == epoch);
	fakestore_fault(w.fake, "{\"down\":false}");
	run_both(&w, NULL, 4000);
	while (holders(&w) != 1)
		run_both(&w, NULL, 10);
	/* Either the old holder went on under its epoch, or the other has a higher one. */
	CU_ASSERT_TRUE(duty_epoch(w.a.duty) == highest(&w) || duty_epoch(w.b.duty) == highest(&w));
	talloc_free(w.mem);
}

/* A lapsed lease gives the duty to exactly one, and a lone holder continues. */
static void test_lapse(void)
{
	struct world w;
	uint64_t epoch;

	setup(&w, LONG_TTL_S);
	duty_resign(w.b.duty, on_resigned, &w.b);
	CU_ASSERT_TRUE(loop_until(w.b.ev, &w.b.resigned));
	epoch = w.a.epoch;
	for (int i = 0; i < 3; i++) {
		fakestore_fault(w.fake, "{\"expire_leases\":true}");
		run_both(&w, NULL, 300);
	}
	run_both(&w, NULL, 1000);
	CU_ASSERT_EQUAL(w.a.lost, 0);
	CU_ASSERT_EQUAL(duty_epoch(w.a.duty), epoch);
	CU_ASSERT_EQUAL(fakestore_stat(w.fake, "keys"), 2);
	talloc_free(w.mem);
}

/* Lost answers of any write in the campaign must neither leave no holder nor two. */
static void test_lost_answers(void)
{
	struct world w;

	for (int lost = 1; lost <= 3; lost++) {
		char fault[64];

		open_world(&w, LONG_TTL_S);
		snprintf(fault, sizeof(fault), "{\"lose_answers\":%d}", lost);
		fakestore_fault(w.fake, fault);
		join(&w, &w.a, "a");
		join(&w, &w.b, "b");
		while (holders(&w) == 0 && run_both(&w, NULL, 10))
			;
		run_both(&w, NULL, 1000);
		CU_ASSERT_EQUAL(holders(&w), 1);
		talloc_free(w.mem);
	}
}

/* A graceful shutdown passes the duty on at once instead of after the lease. */
static void test_resign(void)
{
	struct world w;

	setup(&w, LONG_TTL_S);
	run_both(&w, NULL, 100);
	duty_resign(w.a.duty, on_resigned, &w.a);
	CU_ASSERT_EQUAL(w.a.lost, 1);
	CU_ASSERT_EQUAL(w.a.resigned, 0);
	CU_ASSERT_TRUE(run_both(&w, &w.b.gained, 0));
	CU_ASSERT_EQUAL(w.a.resigned, 1);
	CU_ASSERT_EQUAL(w.b.epoch, w.a.epoch + 1);
	talloc_free(w.b.duty);
	talloc_free(w.a.duty);
	talloc_free(w.mem);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("duty", NULL, NULL);
	CU_add_test(suite, "one holder", test_one_holder);
	CU_add_test(suite, "paused", test_paused);
	CU_add_test(suite, "outage", test_outage);
	CU_add_test(suite, "lapse", test_lapse);
	CU_add_test(suite, "lost answers", test_lost_answers);
	CU_add_test(suite, "resign", test_resign);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
