#include "httpd.h"
#include "lib_fakestore.h"
#include "store_internal.h"
#include "storejson.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#define PUT_OP(k, v)                                                                \
	{                                                                           \
		.kind = STORE_PUT, .key = (k), .value = (v), .value_len = strlen(v) \
	}

struct fixture {
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	struct fakestore *fake;
	struct store *store;
};

struct call_outcome {
	int done;
	int status;
	size_t count;
	char value[64];
	char last_key[64];
	int64_t lease;
	int64_t version;
};

struct watch_log {
	int changes;
	int deletes;
	int resyncs;
	char last[64];
};

static void setup(struct fixture *fixture, const char *const *flags, uint32_t timeout_ms)
{
	fixture->mem = talloc_new(NULL);
	fixture->ev = tevent_context_init(fixture->mem);
	fixture->fake = fakestore_start(fixture->mem, fixture->ev, flags);
	fixture->store = fakestore_client(fixture->mem, fixture->fake, timeout_ms);
}

static void on_done(int status, const struct store_result *result, void *ctx)
{
	struct call_outcome *outcome = ctx;

	outcome->done++;
	outcome->status = status;
	outcome->count = result ? result->count : 0;
	outcome->lease = result ? result->lease : 0;
	if (outcome->count == 0)
		return;
	snprintf(outcome->value, sizeof(outcome->value), "%s", result->kvs[0].value);
	snprintf(outcome->last_key, sizeof(outcome->last_key), "%s",
		 result->kvs[outcome->count - 1].key);
	outcome->version = result->kvs[0].version;
}

/* Waits for the end of a call, whose callback must not run before the loop does. */
static int await_call(struct fixture *fixture, struct call_outcome *outcome)
{
	CU_ASSERT_EQUAL(outcome->done, 0);
	CU_ASSERT_TRUE(loop_until(fixture->ev, &outcome->done));
	CU_ASSERT_EQUAL(outcome->done, 1);
	return outcome->status;
}

static int put_key(struct fixture *fixture, const char *key, const char *value, int64_t lease)
{
	struct call_outcome outcome = {0};
	struct store_op op = PUT_OP(key, value);

	op.lease = lease;
	store_txn(fixture->store, NULL, 0, &op, 1, (struct store_cb){on_done, &outcome});
	return await_call(fixture, &outcome);
}

static int create_key(struct fixture *fixture, const char *key, const char *value,
		      struct call_outcome *outcome)
{
	struct store_compare compare = {STORE_VERSION_IS, key, 0, NULL};
	struct store_op op = PUT_OP(key, value);

	*outcome = (struct call_outcome){0};
	store_txn(fixture->store, &compare, 1, &op, 1, (struct store_cb){on_done, outcome});
	return await_call(fixture, outcome);
}

static int get_key(struct fixture *fixture, const char *key, struct call_outcome *outcome)
{
	*outcome = (struct call_outcome){0};
	store_get(fixture->store, key, (struct store_cb){on_done, outcome});
	return await_call(fixture, outcome);
}

/* Guards against wrong translation of keys, values, compares and ranges. */
static void test_calls(void)
{
	struct fixture fixture;
	struct call_outcome outcome;

	setup(&fixture, NULL, 0);
	CU_ASSERT_EQUAL(get_key(&fixture, "a/1", &outcome), 0);
	CU_ASSERT_EQUAL(outcome.count, 0);
	CU_ASSERT_EQUAL(create_key(&fixture, "a/1", "one", &outcome), 0);
	CU_ASSERT_EQUAL(create_key(&fixture, "a/1", "two", &outcome), -ERR_CONFLICT);
	CU_ASSERT_STRING_EQUAL(outcome.value, "one");
	CU_ASSERT_EQUAL(put_key(&fixture, "a/2", "", 0), 0);
	CU_ASSERT_EQUAL(put_key(&fixture, "a/3", "three", 0), 0);
	CU_ASSERT_EQUAL(put_key(&fixture, "b/1", "other", 0), 0);
	CU_ASSERT_EQUAL(put_key(&fixture, "a/1", "again", 0), 0);
	CU_ASSERT_EQUAL(get_key(&fixture, "a/1", &outcome), 0);
	CU_ASSERT_STRING_EQUAL(outcome.value, "again");
	CU_ASSERT_EQUAL(outcome.version, 2);
	outcome = (struct call_outcome){0};
	store_range(fixture.store, "a/", 0, (struct store_cb){on_done, &outcome});
	CU_ASSERT_EQUAL(await_call(&fixture, &outcome), 0);
	CU_ASSERT_EQUAL(outcome.count, 3);
	CU_ASSERT_STRING_EQUAL(outcome.last_key, "a/3");
	outcome = (struct call_outcome){0};
	store_range_from(fixture.store, "a/2", "a/", 1, (struct store_cb){on_done, &outcome});
	CU_ASSERT_EQUAL(await_call(&fixture, &outcome), 0);
	CU_ASSERT_EQUAL(outcome.count, 1);
	CU_ASSERT_STRING_EQUAL(outcome.last_key, "a/2");
	talloc_free(fixture.mem);
}

/* Guards against sending values above the platform's limit, and refusing values at the limit. */
static void test_value_limit(void)
{
	struct fixture fixture;
	struct call_outcome outcome = {0};
	struct store_op op = {.kind = STORE_PUT, .key = "big", .value_len = STORE_VALUE_MAX};
	char *value;

	setup(&fixture, NULL, 10000);
	value = talloc_size(fixture.mem, STORE_VALUE_MAX + 1);
	memset(value, 'x', STORE_VALUE_MAX + 1);
	op.value = value;
	store_txn(fixture.store, NULL, 0, &op, 1, (struct store_cb){on_done, &outcome});
	CU_ASSERT_EQUAL(await_call(&fixture, &outcome), 0);
	op.value_len++;
	outcome = (struct call_outcome){0};
	store_txn(fixture.store, NULL, 0, &op, 1, (struct store_cb){on_done, &outcome});
	CU_ASSERT_EQUAL(await_call(&fixture, &outcome), -ERR_TOO_LARGE);
	talloc_free(fixture.mem);
}

static void test_leases(void)
{
	struct fixture fixture;
	struct call_outcome outcome = {0};
	int64_t lease;

	setup(&fixture, NULL, 0);
	store_lease_grant(fixture.store, 60, (struct store_cb){on_done, &outcome});
	CU_ASSERT_EQUAL(await_call(&fixture, &outcome), 0);
	lease = outcome.lease;
	CU_ASSERT_EQUAL(put_key(&fixture, "k", "v", lease), 0);
	outcome = (struct call_outcome){0};
	store_lease_keepalive(fixture.store, lease, (struct store_cb){on_done, &outcome});
	CU_ASSERT_EQUAL(await_call(&fixture, &outcome), 0);
	fakestore_set_fault(fixture.fake, "{\"expire_leases\":true}");
	outcome = (struct call_outcome){0};
	store_lease_keepalive(fixture.store, lease, (struct store_cb){on_done, &outcome});
	CU_ASSERT_EQUAL(await_call(&fixture, &outcome), -ERR_NOT_FOUND);
	CU_ASSERT_EQUAL(get_key(&fixture, "k", &outcome), 0);
	CU_ASSERT_EQUAL(outcome.count, 0);
	CU_ASSERT_EQUAL(put_key(&fixture, "k", "v", lease), -ERR_NOT_FOUND);
	outcome = (struct call_outcome){0};
	store_lease_revoke(fixture.store, lease, (struct store_cb){on_done, &outcome});
	CU_ASSERT_EQUAL(await_call(&fixture, &outcome), -ERR_NOT_FOUND);
	talloc_free(fixture.mem);
}

/* Guards against reporting a write whose answer was lost as failed, and against repeating it. */
static void test_lost_answer(void)
{
	struct fixture fixture;
	struct call_outcome outcome;
	int64_t writes;

	setup(&fixture, NULL, 0);
	CU_ASSERT_EQUAL(put_key(&fixture, "warm", "connection", 0), 0);
	CU_ASSERT_EQUAL(get_key(&fixture, "warm", &outcome), 0);
	fakestore_set_fault(fixture.fake, "{\"lose_answers\":1}");
	writes = fakestore_stat(fixture.fake, "writes");
	CU_ASSERT_EQUAL(create_key(&fixture, "key", "mine", &outcome), -ERR_OUTCOME_UNKNOWN);
	CU_ASSERT_EQUAL(fakestore_stat(fixture.fake, "writes"), writes + 1);
	CU_ASSERT_EQUAL(get_key(&fixture, "key", &outcome), 0);
	CU_ASSERT_STRING_EQUAL(outcome.value, "mine");
	CU_ASSERT_EQUAL(outcome.version, 1);
	fakestore_set_fault(fixture.fake, "{\"down\":true,\"close\":true}");
	CU_ASSERT_EQUAL(put_key(&fixture, "key", "x", 0), -ERR_OUTCOME_UNKNOWN);
	CU_ASSERT_EQUAL(get_key(&fixture, "key", &outcome), -ERR_UNAVAILABLE);
	talloc_free(fixture.mem);
}

/* Guards against reporting a write that timed out as failed: it may still take effect. */
static void test_slow(void)
{
	struct fixture fixture;
	struct call_outcome outcome;

	setup(&fixture, NULL, 200);
	fakestore_set_fault(fixture.fake, "{\"slow_ms\":1000}");
	CU_ASSERT_EQUAL(put_key(&fixture, "key", "late", 0), -ERR_OUTCOME_UNKNOWN);
	CU_ASSERT_EQUAL(get_key(&fixture, "key", &outcome), -ERR_UNAVAILABLE);
	talloc_free(fixture.mem);
}

/* Guards against flooding a store that is down, and against refusing calls once it is back. */
static void test_breaker(void)
{
	struct fixture fixture;
	struct call_outcome outcome;
	int64_t refused;
	int status = -1;

	setup(&fixture, NULL, 0);
	fakestore_set_fault(fixture.fake, "{\"down\":true}");
	for (int i = 0; i < 200; i++)
		CU_ASSERT_EQUAL(put_key(&fixture, "key", "x", 0), -ERR_UNAVAILABLE);
	CU_ASSERT_FALSE(store_healthy(fixture.store));
	refused = fakestore_stat(fixture.fake, "refused");
	CU_ASSERT_TRUE(refused >= 5 && refused < 100);
	fakestore_set_fault(fixture.fake, "{\"down\":false}");
	for (int i = 0; i < 1000 && status; i++) {
		status = get_key(&fixture, "key", &outcome);
		loop_for(fixture.ev, 10);
	}
	CU_ASSERT_EQUAL(status, 0);
	CU_ASSERT_TRUE(store_healthy(fixture.store));
	talloc_free(fixture.mem);
}

/* Guards against exceeding the client's rate limit, and a refusal by rate counting as an outage. */
static void test_rates(void)
{
	static const char *const flags[] = {"--writes-per-s=5", NULL};
	struct call_outcome outcome[100] = {{0}};
	struct fixture fixture;
	int status = 0;
	int unavailable = 0;

	setup(&fixture, flags, 0);
	for (int i = 0; i < 100 && !status; i++)
		status = put_key(&fixture, "key", "x", 0);
	CU_ASSERT_EQUAL(status, -ERR_UNAVAILABLE);
	CU_ASSERT_TRUE(store_healthy(fixture.store));
	CU_ASSERT_EQUAL(fakestore_stat(fixture.fake, "rejected"), 1);
	/* The default limit of 200 reads/s lets 41 go at once; the others wait at most 500 ms. */
	for (int i = 0; i < 100; i++)
		store_get(fixture.store, "key", (struct store_cb){on_done, &outcome[i]});
	for (int i = 0; i < 100; i++) {
		CU_ASSERT_TRUE(loop_until(fixture.ev, &outcome[i].done));
		unavailable += outcome[i].status == -ERR_UNAVAILABLE;
	}
	CU_ASSERT_TRUE(unavailable < 59);
	talloc_free(fixture.mem);
}

/* Guards against a dead endpoint making the store unavailable. */
static void test_endpoints(void)
{
	struct fixture fixture;
	struct call_outcome outcome = {0};
	const char *urls[] = {"http://127.0.0.1:1", NULL};
	struct store_options options = {.endpoints = urls, .endpoint_count = 2};
	struct err err;

	setup(&fixture, NULL, 0);
	urls[1] = fakestore_url(fixture.fake);
	fixture.store = store_create(fixture.mem, fixture.ev, &options, NULL, &err);
	for (int i = 0; i < 10; i++) {
		CU_ASSERT_EQUAL(put_key(&fixture, "key", "x", 0), 0);
		CU_ASSERT_EQUAL(get_key(&fixture, "key", &outcome), 0);
	}
	urls[1] = "localhost:1";
	CU_ASSERT_PTR_NULL(store_create(fixture.mem, fixture.ev, &options, NULL, &err));
	CU_ASSERT_EQUAL(err.code, ERR_INVALID);
	talloc_free(fixture.mem);
}

static void on_change(const struct store_kv *kv, void *ctx)
{
	struct watch_log *watch_log = ctx;

	watch_log->changes++;
	watch_log->deletes += kv->version == 0;
	snprintf(watch_log->last, sizeof(watch_log->last), "%s", kv->version ? kv->value : "");
}

static void on_resync(void *ctx)
{
	((struct watch_log *)ctx)->resyncs++;
}

/* Guards against changes that are lost or delivered twice when the connection breaks. */
static void test_watch(void)
{
	struct fixture fixture;
	struct watch_log watch_log = {0};
	struct store_watch_handlers handlers = {on_change, on_resync, &watch_log};
	struct store_op delete_op = {.kind = STORE_DELETE, .key = "w/1"};
	struct call_outcome outcome = {0};
	struct store *writer;
	int expected_changes = 0;

	setup(&fixture, NULL, 0);
	store_watch_create(fixture.mem, fixture.store, "w/", &handlers);
	writer = fakestore_client(fixture.mem, fixture.fake, 0);
	CU_ASSERT_TRUE(loop_until(fixture.ev, &watch_log.resyncs));
	fixture.store = writer;
	CU_ASSERT_EQUAL(put_key(&fixture, "other", "x", 0), 0);
	for (int round = 0; round < 3; round++) {
		CU_ASSERT_EQUAL(put_key(&fixture, "w/1", "before", 0), 0);
		fakestore_set_fault(fixture.fake, "{\"down\":true}");
		loop_for(fixture.ev, 50);
		fakestore_set_fault(fixture.fake, "{\"down\":false}");
		CU_ASSERT_EQUAL(put_key(&fixture, "w/1", "after", 0), 0);
		expected_changes += 2;
		while (watch_log.changes < expected_changes &&
		       loop_until(fixture.ev, &watch_log.changes))
			loop_for(fixture.ev, 5);
	}
	store_txn(writer, NULL, 0, &delete_op, 1, (struct store_cb){on_done, &outcome});
	CU_ASSERT_EQUAL(await_call(&fixture, &outcome), 0);
	CU_ASSERT_TRUE(loop_until(fixture.ev, &watch_log.deletes));
	CU_ASSERT_EQUAL(watch_log.changes, 7);
	CU_ASSERT_EQUAL(watch_log.resyncs, 1);
	talloc_free(fixture.mem);
}

/*
 * Guards against a watch that receives nothing after an outage: its connection may be dead without
 * an error, so the watch must reconnect when the store answers again.
 */
static void test_watch_renewed(void)
{
	struct fixture fixture;
	struct watch_log watch_log = {0};
	struct store_watch_handlers handlers = {on_change, on_resync, &watch_log};
	struct call_outcome outcome;
	int status = -1;

	setup(&fixture, NULL, 100);
	store_watch_create(fixture.mem, fixture.store, "w/", &handlers);
	CU_ASSERT_TRUE(loop_until(fixture.ev, &watch_log.resyncs));
	fakestore_pause(fixture.fake, true);
	while (fixture.store->opened_ms == 0)
		get_key(&fixture, "key", &outcome);
	fakestore_pause(fixture.fake, false);
	while (status) {
		loop_for(fixture.ev, 20);
		status = get_key(&fixture, "key", &outcome);
	}
	for (int i = 0; i < 1000 && fakestore_stat(fixture.fake, "watches_total") < 2; i++)
		loop_for(fixture.ev, 10);
	CU_ASSERT_TRUE(fakestore_stat(fixture.fake, "watches_total") >= 2);
	CU_ASSERT_EQUAL(watch_log.resyncs, 1);
	talloc_free(fixture.mem);
}

/*
 * Guards against a circuit breaker that refuses every call for ever: the watch's connection was
 * its probe, and the watch started anew because the store came back with an older revision.
 */
static void test_older_revision_after_outage(void)
{
	struct fixture fixture;
	struct watch_log watch_log = {0};
	struct store_watch_handlers handlers = {on_change, on_resync, &watch_log};
	struct call_outcome outcome;
	struct fakestore *fakes[2];
	const char *urls[2];
	struct store_options options = {.endpoints = urls, .endpoint_count = 2};
	struct store *store;
	size_t first;
	uint64_t end_ms;
	int status = -1;

	setup(&fixture, NULL, 0);
	fakes[0] = fixture.fake;
	fakes[1] = fakestore_start(fixture.mem, fixture.ev, NULL);
	urls[0] = fakestore_url(fakes[0]);
	urls[1] = fakestore_url(fakes[1]);
	store = store_create(fixture.mem, fixture.ev, &options, NULL, NULL);
	store_watch_create(fixture.mem, store, "w/", &handlers);
	CU_ASSERT_TRUE_FATAL(loop_until(fixture.ev, &watch_log.resyncs));
	first = store->endpoint;
	fixture.store = fakestore_client(fixture.mem, fakes[first], 0);
	for (int i = 0; i < 10; i++)
		CU_ASSERT_EQUAL(put_key(&fixture, "w/1", "x", 0), 0);
	end_ms = util_clock_ms() + LOOP_TIMEOUT_MS;
	while (watch_log.changes < 10 && util_clock_ms() < end_ms)
		loop_for(fixture.ev, 10);
	CU_ASSERT_EQUAL(watch_log.changes, 10);
	fakestore_set_fault(fakes[1 - first], "{\"down\":true}");
	fakestore_set_fault(fakes[first], "{\"down\":true}");
	end_ms = util_clock_ms() + LOOP_TIMEOUT_MS;
	while (!store->opened_ms && util_clock_ms() < end_ms)
		loop_for(fixture.ev, 10);
	CU_ASSERT_FALSE(store_healthy(store));
	/* Only the watch calls the store now, so its connection is the probe. */
	fakestore_set_fault(fakes[1 - first], "{\"down\":false}");
	end_ms = util_clock_ms() + LOOP_TIMEOUT_MS;
	while (watch_log.resyncs < 2 && util_clock_ms() < end_ms)
		loop_for(fixture.ev, 10);
	CU_ASSERT_EQUAL(watch_log.resyncs, 2);
	fixture.store = store;
	for (int i = 0; i < 100 && status; i++) {
		status = get_key(&fixture, "key", &outcome);
		loop_for(fixture.ev, 10);
	}
	CU_ASSERT_EQUAL(status, 0);
	talloc_free(fixture.mem);
}

/* Guards against a breaker that never closes, and a delay that grows without bound. */
static void test_breaker_times(void)
{
	struct store_breaker breaker;
	uint64_t now_ms = 1000;
	bool probe;

	store_breaker_init(&breaker, 1);
	for (int i = 0; i < 4; i++)
		store_breaker_failure(&breaker, now_ms);
	CU_ASSERT_FALSE(store_breaker_open(&breaker, now_ms));
	store_breaker_failure(&breaker, now_ms);
	for (int i = 0; i < 50; i++) {
		CU_ASSERT_TRUE(store_breaker_open(&breaker, now_ms));
		CU_ASSERT_TRUE(breaker.open_until_ms - now_ms <= 2000);
		now_ms = breaker.open_until_ms;
		CU_ASSERT_TRUE(store_breaker_begin(&breaker, now_ms, &probe));
		CU_ASSERT_TRUE(probe);
		CU_ASSERT_FALSE(store_breaker_begin(&breaker, now_ms, &probe));
		store_breaker_failure(&breaker, now_ms);
	}
	store_breaker_success(&breaker);
	CU_ASSERT_TRUE(store_breaker_begin(&breaker, now_ms, &probe));
	CU_ASSERT_FALSE(probe);
}

/* Guards against a key of another writer that keeps all other keys from being read. */
static void test_odd_items(void)
{
	/* The first key has a NUL; then none, one of a wrong type, and a number that overflows. */
	static const char *const items[] = {
		"{\"key\":\"YQBi\",\"value\":\"\",\"version\":\"1\"}",
		"{\"value\":\"\",\"version\":\"1\"}",
		"{\"key\":7,\"version\":\"1\"}",
		"{\"key\":\"YWI=\",\"mod_revision\":\"-5\"}",
		"7",
		"1e400",
		"99999999999999999999",
		"{\"key\":\"\xff\"}",
	};
	TALLOC_CTX *mem = talloc_new(NULL);

	for (size_t i = 0; i < sizeof(items) / sizeof(items[0]); i++) {
		struct store_result result;
		char *kvs = talloc_asprintf(
			mem,
			"[{\"key\":\"YQ==\",\"value\":\"MQ==\",\"version\":\"1\"},%s,"
			"{\"key\":\"eg==\",\"value\":\"Mg==\",\"version\":\"1\"}]",
			items[i]);
		char *body =
			talloc_asprintf(mem, "{\"header\":{\"revision\":\"3\"},\"kvs\":%s}", kvs);

		CU_ASSERT_EQUAL(storejson_result(mem, STOREJSON_RANGE, body, strlen(body), &result),
				0);
		CU_ASSERT_EQUAL(result.count, 2);
		if (result.count != 2)
			continue;
		CU_ASSERT_STRING_EQUAL(result.kvs[0].key, "a");
		CU_ASSERT_STRING_EQUAL(result.kvs[1].key, "z");
	}
	talloc_free(mem);
}

static void serve_cut_range(struct httpd_call *call, void *ctx)
{
	httpd_answer(call, 200, "application/json",
		     "{\"header\":{\"revision\":\"3\"},\"more\":true,\"count\":\"2\","
		     "\"kvs\":[{\"key\":\"YQ==\",\"value\":\"MQ==\",\"version\":\"1\"}]}",
		     0);
}

/* Guards against a part of a range that is taken for all of it. */
static void test_cut_range(void)
{
	struct httpd_handlers handlers = {serve_cut_range, NULL, NULL};
	struct fixture fixture = {.mem = talloc_new(NULL)};
	struct call_outcome outcome = {0};
	struct store_options options = {.endpoint_count = 1};
	struct httpd *server;
	struct err err = {0};
	const char *url;

	fixture.ev = tevent_context_init(fixture.mem);
	server = httpd_create(fixture.mem, fixture.ev, "127.0.0.1:0", 1000, &handlers, &err);
	CU_ASSERT_PTR_NOT_NULL_FATAL(server);
	url = talloc_asprintf(fixture.mem, "http://%s", httpd_address(server));
	options.endpoints = &url;
	fixture.store = store_create(fixture.mem, fixture.ev, &options, NULL, &err);
	store_range(fixture.store, "a", 0, (struct store_cb){on_done, &outcome});
	CU_ASSERT_EQUAL(await_call(&fixture, &outcome), -ERR_UNAVAILABLE);
	outcome = (struct call_outcome){0};
	store_range(fixture.store, "a", 1, (struct store_cb){on_done, &outcome});
	CU_ASSERT_EQUAL(await_call(&fixture, &outcome), 0);
	CU_ASSERT_EQUAL(outcome.count, 1);
	talloc_free(fixture.mem);
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
	CU_add_test(suite, "older revision after outage", test_older_revision_after_outage);
	CU_add_test(suite, "odd items", test_odd_items);
	CU_add_test(suite, "cut range", test_cut_range);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
