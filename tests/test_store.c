#include "lib_fakestore.h"
#include "store_internal.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#define PUT_OP(k, v)                                                                \
	{                                                                           \
		.kind = STORE_PUT, .key = (k), .value = (v), .value_len = strlen(v) \
	}

struct world {
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	struct fakestore *fake;
	struct store *store;
};

struct outcome {
	int done;
	int status;
	size_t count;
	char value[64];
	char last_key[64];
	int64_t lease;
	int64_t version;
};

struct seen {
	int changes;
	int deletes;
	int resyncs;
	char last[64];
};

static void setup(struct world *w, const char *const *flags, uint32_t timeout_ms)
{
	w->mem = talloc_new(NULL);
	w->ev = tevent_context_init(w->mem);
	w->fake = fakestore_start(w->mem, w->ev, flags);
	w->store = fakestore_client(w->mem, w->fake, timeout_ms);
}

static void on_done(int status, const struct store_result *result, void *ctx)
{
	struct outcome *o = ctx;

	o->done++;
	o->status = status;
	o->count = result ? result->count : 0;
	o->lease = result ? result->lease : 0;
	if (o->count == 0)
		return;
	snprintf(o->value, sizeof(o->value), "%s", result->kvs[0].value);
	snprintf(o->last_key, sizeof(o->last_key), "%s", result->kvs[o->count - 1].key);
	o->version = result->kvs[0].version;
}

/* Waits for one call; it must not have ended before it was awaited. */
static int await(struct world *w, struct outcome *o)
{
	CU_ASSERT_EQUAL(o->done, 0);
	CU_ASSERT_TRUE(loop_until(w->ev, &o->done));
	CU_ASSERT_EQUAL(o->done, 1);
	return o->status;
}

static int put(struct world *w, const char *key, const char *value, int64_t lease)
{
	struct outcome o = {0};
	struct store_op op = PUT_OP(key, value);

	op.lease = lease;
	store_txn(w->store, NULL, 0, &op, 1, (struct store_cb){on_done, &o});
	return await(w, &o);
}

static int create(struct world *w, const char *key, const char *value, struct outcome *o)
{
	struct store_compare compare = {STORE_VERSION_IS, key, 0, NULL};
	struct store_op op = PUT_OP(key, value);

	*o = (struct outcome){0};
	store_txn(w->store, &compare, 1, &op, 1, (struct store_cb){on_done, o});
	return await(w, o);
}

static int get(struct world *w, const char *key, struct outcome *o)
{
	*o = (struct outcome){0};
	store_get(w->store, key, (struct store_cb){on_done, o});
	return await(w, o);
}

/* Guards against wrong translation of keys, values, compares and ranges. */
static void test_calls(void)
{
	struct world w;
	struct outcome o;

	setup(&w, NULL, 0);
	CU_ASSERT_EQUAL(get(&w, "a/1", &o), 0);
	CU_ASSERT_EQUAL(o.count, 0);
	CU_ASSERT_EQUAL(create(&w, "a/1", "one", &o), 0);
	CU_ASSERT_EQUAL(create(&w, "a/1", "two", &o), -ERR_CONFLICT);
	CU_ASSERT_STRING_EQUAL(o.value, "one");
	CU_ASSERT_EQUAL(put(&w, "a/2", "", 0), 0);
	CU_ASSERT_EQUAL(put(&w, "a/3", "three", 0), 0);
	CU_ASSERT_EQUAL(put(&w, "b/1", "other", 0), 0);
	CU_ASSERT_EQUAL(put(&w, "a/1", "again", 0), 0);
	CU_ASSERT_EQUAL(get(&w, "a/1", &o), 0);
	CU_ASSERT_STRING_EQUAL(o.value, "again");
	CU_ASSERT_EQUAL(o.version, 2);
	o = (struct outcome){0};
	store_range(w.store, "a/", 0, (struct store_cb){on_done, &o});
	CU_ASSERT_EQUAL(await(&w, &o), 0);
	CU_ASSERT_EQUAL(o.count, 3);
	CU_ASSERT_STRING_EQUAL(o.last_key, "a/3");
	o = (struct outcome){0};
	store_range_from(w.store, "a/2", "a/", 1, (struct store_cb){on_done, &o});
	CU_ASSERT_EQUAL(await(&w, &o), 0);
	CU_ASSERT_EQUAL(o.count, 1);
	CU_ASSERT_STRING_EQUAL(o.last_key, "a/2");
	talloc_free(w.mem);
}

/* Guards against values over the platform's limit being sent, or ones at the limit refused. */
static void test_value_limit(void)
{
	struct world w;
	struct outcome o = {0};
	struct store_op op = {.kind = STORE_PUT, .key = "big", .value_len = STORE_VALUE_MAX};
	char *value;

	setup(&w, NULL, 10000);
	value = talloc_size(w.mem, STORE_VALUE_MAX + 1);
	memset(value, 'x', STORE_VALUE_MAX + 1);
	op.value = value;
	store_txn(w.store, NULL, 0, &op, 1, (struct store_cb){on_done, &o});
	CU_ASSERT_EQUAL(await(&w, &o), 0);
	op.value_len++;
	o = (struct outcome){0};
	store_txn(w.store, NULL, 0, &op, 1, (struct store_cb){on_done, &o});
	CU_ASSERT_EQUAL(await(&w, &o), -ERR_TOO_LARGE);
	talloc_free(w.mem);
}

static void test_leases(void)
{
	struct world w;
	struct outcome o = {0};
	int64_t lease;

	setup(&w, NULL, 0);
	store_lease_grant(w.store, 60, (struct store_cb){on_done, &o});
	CU_ASSERT_EQUAL(await(&w, &o), 0);
	lease = o.lease;
	CU_ASSERT_EQUAL(put(&w, "k", "v", lease), 0);
	o = (struct outcome){0};
	store_lease_keepalive(w.store, lease, (struct store_cb){on_done, &o});
	CU_ASSERT_EQUAL(await(&w, &o), 0);
	fakestore_fault(w.fake, "{\"expire_leases\":true}");
	o = (struct outcome){0};
	store_lease_keepalive(w.store, lease, (struct store_cb){on_done, &o});
	CU_ASSERT_EQUAL(await(&w, &o), -ERR_NOT_FOUND);
	CU_ASSERT_EQUAL(get(&w, "k", &o), 0);
	CU_ASSERT_EQUAL(o.count, 0);
	CU_ASSERT_EQUAL(put(&w, "k", "v", lease), -ERR_NOT_FOUND);
	o = (struct outcome){0};
	store_lease_revoke(w.store, lease, (struct store_cb){on_done, &o});
	CU_ASSERT_EQUAL(await(&w, &o), -ERR_NOT_FOUND);
	talloc_free(w.mem);
}

/* Guards against a lost answer being reported as a failure, or the write being repeated. */
static void test_lost_answer(void)
{
	struct world w;
	struct outcome o;
	int64_t writes;

	setup(&w, NULL, 0);
	CU_ASSERT_EQUAL(put(&w, "warm", "connection", 0), 0);
	CU_ASSERT_EQUAL(get(&w, "warm", &o), 0);
	fakestore_fault(w.fake, "{\"lose_answers\":1}");
	writes = fakestore_stat(w.fake, "writes");
	CU_ASSERT_EQUAL(create(&w, "key", "mine", &o), -ERR_OUTCOME_UNKNOWN);
	CU_ASSERT_EQUAL(fakestore_stat(w.fake, "writes"), writes + 1);
	CU_ASSERT_EQUAL(get(&w, "key", &o), 0);
	CU_ASSERT_STRING_EQUAL(o.value, "mine");
	CU_ASSERT_EQUAL(o.version, 1);
	fakestore_fault(w.fake, "{\"down\":true,\"close\":true}");
	CU_ASSERT_EQUAL(put(&w, "key", "x", 0), -ERR_OUTCOME_UNKNOWN);
	CU_ASSERT_EQUAL(get(&w, "key", &o), -ERR_UNAVAILABLE);
	talloc_free(w.mem);
}

/* A write that times out may still take effect. */
static void test_slow(void)
{
	struct world w;
	struct outcome o;

	setup(&w, NULL, 200);
	fakestore_fault(w.fake, "{\"slow_ms\":1000}");
	CU_ASSERT_EQUAL(put(&w, "key", "late", 0), -ERR_OUTCOME_UNKNOWN);
	CU_ASSERT_EQUAL(get(&w, "key", &o), -ERR_UNAVAILABLE);
	talloc_free(w.mem);
}

/* Guards against hammering a store that is down, and against staying away once it is back. */
static void test_breaker(void)
{
	struct world w;
	struct outcome o;
	int64_t refused;
	int status = -1;

	setup(&w, NULL, 0);
	fakestore_fault(w.fake, "{\"down\":true}");
	for (int i = 0; i < 200; i++)
		CU_ASSERT_EQUAL(put(&w, "key", "x", 0), -ERR_UNAVAILABLE);
	CU_ASSERT_FALSE(store_healthy(w.store));
	refused = fakestore_stat(w.fake, "refused");
	CU_ASSERT_TRUE(refused >= 5 && refused < 100);
	fakestore_fault(w.fake, "{\"down\":false}");
	for (int i = 0; i < 1000 && status; i++) {
		status = get(&w, "key", &o);
		loop_for(w.ev, 10);
	}
	CU_ASSERT_EQUAL(status, 0);
	CU_ASSERT_TRUE(store_healthy(w.store));
	talloc_free(w.mem);
}

/* Guards against exceeding the own cap, and a refusal by rate counting as an outage. */
static void test_rates(void)
{
	static const char *const flags[] = {"--writes-per-s=5", NULL};
	struct outcome o[100] = {{0}};
	struct world w;
	int status = 0;
	int unavailable = 0;

	setup(&w, flags, 0);
	for (int i = 0; i < 100 && !status; i++)
		status = put(&w, "key", "x", 0);
	CU_ASSERT_EQUAL(status, -ERR_UNAVAILABLE);
	CU_ASSERT_TRUE(store_healthy(w.store));
	CU_ASSERT_EQUAL(fakestore_stat(w.fake, "rejected"), 1);
	/* The default cap of 200 reads/s gives 41 at once; the rest waits at most 500 ms. */
	for (int i = 0; i < 100; i++)
		store_get(w.store, "key", (struct store_cb){on_done, &o[i]});
	for (int i = 0; i < 100; i++) {
		CU_ASSERT_TRUE(loop_until(w.ev, &o[i].done));
		unavailable += o[i].status == -ERR_UNAVAILABLE;
	}
	CU_ASSERT_TRUE(unavailable < 59);
	talloc_free(w.mem);
}

/* Guards against a dead endpoint making the store unavailable. */
static void test_endpoints(void)
{
	struct world w;
	struct outcome o = {0};
	const char *urls[] = {"http://127.0.0.1:1", NULL};
	struct store_options options = {.endpoints = urls, .endpoint_count = 2};
	struct err err;

	setup(&w, NULL, 0);
	urls[1] = fakestore_url(w.fake);
	w.store = store_create(w.mem, w.ev, &options, NULL, &err);
	for (int i = 0; i < 10; i++) {
		CU_ASSERT_EQUAL(put(&w, "key", "x", 0), 0);
		CU_ASSERT_EQUAL(get(&w, "key", &o), 0);
	}
	urls[1] = "localhost:1";
	CU_ASSERT_PTR_NULL(store_create(w.mem, w.ev, &options, NULL, &err));
	CU_ASSERT_EQUAL(err.code, ERR_INVALID);
	talloc_free(w.mem);
}

static void on_change(const struct store_kv *kv, void *ctx)
{
	struct seen *seen = ctx;

	seen->changes++;
	seen->deletes += kv->version == 0;
	snprintf(seen->last, sizeof(seen->last), "%s", kv->version ? kv->value : "");
}

static void on_resync(void *ctx)
{
	((struct seen *)ctx)->resyncs++;
}

/* Guards against changes that are missed or told twice while the connection breaks. */
static void test_watch(void)
{
	struct world w;
	struct seen seen = {0};
	struct store_watch_handlers handlers = {on_change, on_resync, &seen};
	struct store_op gone = {.kind = STORE_DELETE, .key = "w/1"};
	struct outcome o = {0};
	struct store *writer;
	int made = 0;

	setup(&w, NULL, 0);
	store_watch_create(w.mem, w.store, "w/", &handlers);
	writer = fakestore_client(w.mem, w.fake, 0);
	CU_ASSERT_TRUE(loop_until(w.ev, &seen.resyncs));
	w.store = writer;
	CU_ASSERT_EQUAL(put(&w, "other", "x", 0), 0);
	for (int round = 0; round < 3; round++) {
		CU_ASSERT_EQUAL(put(&w, "w/1", "before", 0), 0);
		fakestore_fault(w.fake, "{\"down\":true}");
		loop_for(w.ev, 50);
		fakestore_fault(w.fake, "{\"down\":false}");
		CU_ASSERT_EQUAL(put(&w, "w/1", "after", 0), 0);
		made += 2;
		while (seen.changes < made && loop_until(w.ev, &seen.changes))
			loop_for(w.ev, 5);
	}
	store_txn(writer, NULL, 0, &gone, 1, (struct store_cb){on_done, &o});
	CU_ASSERT_EQUAL(await(&w, &o), 0);
	CU_ASSERT_TRUE(loop_until(w.ev, &seen.deletes));
	CU_ASSERT_EQUAL(seen.changes, 7);
	CU_ASSERT_EQUAL(seen.resyncs, 1);
	talloc_free(w.mem);
}

/* A watch may be dead without a sign when the store comes back, so it must connect anew. */
static void test_watch_renewed(void)
{
	struct world w;
	struct seen seen = {0};
	struct store_watch_handlers handlers = {on_change, on_resync, &seen};
	struct outcome o;
	int status = -1;

	setup(&w, NULL, 100);
	store_watch_create(w.mem, w.store, "w/", &handlers);
	CU_ASSERT_TRUE(loop_until(w.ev, &seen.resyncs));
	fakestore_pause(w.fake, true);
	while (w.store->opened_ms == 0)
		get(&w, "key", &o);
	fakestore_pause(w.fake, false);
	while (status) {
		loop_for(w.ev, 20);
		status = get(&w, "key", &o);
	}
	for (int i = 0; i < 1000 && fakestore_stat(w.fake, "watches_total") < 2; i++)
		loop_for(w.ev, 10);
	CU_ASSERT_TRUE(fakestore_stat(w.fake, "watches_total") >= 2);
	CU_ASSERT_EQUAL(seen.resyncs, 1);
	talloc_free(w.mem);
}

/* Guards against a breaker that never closes, or whose delay grows without bound. */
static void test_breaker_times(void)
{
	struct store_breaker b;
	uint64_t now_ms = 1000;
	bool probe;

	store_breaker_init(&b, 1);
	for (int i = 0; i < 4; i++)
		store_breaker_failure(&b, now_ms);
	CU_ASSERT_FALSE(store_breaker_open(&b, now_ms));
	store_breaker_failure(&b, now_ms);
	for (int i = 0; i < 50; i++) {
		CU_ASSERT_TRUE(store_breaker_open(&b, now_ms));
		CU_ASSERT_TRUE(b.open_until_ms - now_ms <= 2000);
		now_ms = b.open_until_ms;
		CU_ASSERT_TRUE(store_breaker_begin(&b, now_ms, &probe));
		CU_ASSERT_TRUE(probe);
		CU_ASSERT_FALSE(store_breaker_begin(&b, now_ms, &probe));
		store_breaker_failure(&b, now_ms);
	}
	store_breaker_success(&b);
	CU_ASSERT_TRUE(store_breaker_begin(&b, now_ms, &probe));
	CU_ASSERT_FALSE(probe);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("store", NULL, NULL);
	CU_add_test(suite, "calls", test_calls);
	CU_add_test(suite, "value limit", test_value_limit);
	CU_add_test(suite, "leases", test_leases);
	CU_add_test(suite, "lost answer", test_lost_answer);
	CU_add_test(suite, "slow", test_slow);
	CU_add_test(suite, "breaker", test_breaker);
	CU_add_test(suite, "breaker times", test_breaker_times);
	CU_add_test(suite, "rates", test_rates);
	CU_add_test(suite, "endpoints", test_endpoints);
	CU_add_test(suite, "watch", test_watch);
	CU_add_test(suite, "watch renewed", test_watch_renewed);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
