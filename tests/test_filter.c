#include "filter.h"
#include "lib_config.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#define THREADS 4
#define ROUNDS 200

struct world {
	TALLOC_CTX *mem;
	struct configrepo *configs;
	struct filters *filters;
};

static void setup(struct world *w)
{
	const char *endpoint = "http://127.0.0.1:9"; /* never answers; no test needs the store */
	struct store_options options = {.endpoints = &endpoint, .endpoint_count = 1};
	struct tevent_context *ev;
	struct metrics *metrics;
	struct store *store;
	json_t *files = test_config_files();

	w->mem = talloc_new(NULL);
	ev = tevent_context_init(w->mem);
	metrics = metrics_create(w->mem);
	store = store_create(w->mem, ev, &options, metrics, NULL);
	w->configs = configrepo_create(w->mem, ev, store, metrics, NULL, NULL);
	CU_ASSERT_EQUAL_FATAL(configrepo_offer(w->configs, 1, files), 0);
	w->filters = filters_create(w->mem, w->configs, metrics);
	json_decref(files);
}

static void teardown(struct world *w)
{
	TALLOC_FREE(w->filters);
	talloc_free(w->mem);
}

static void on_free(struct request *r, void *ctx)
{
	filters_done(ctx, r);
}

static struct request *call(struct world *w, const char *token, const char *service,
			    const char *class_name)
{
	struct request *r = request_create();

	r->token = token;
	r->service = service;
	r->class_name = class_name;
	r->on_free = on_free;
	r->on_free_ctx = w->filters;
	return r;
}

static void no_suspend(struct request *r)
{
}

struct gate {
	pthread_mutex_t lock;
	pthread_cond_t opened;
	bool open;
};

static void open_gate(struct request *r)
{
	struct gate *gate = r->http;

	pthread_mutex_lock(&gate->lock);
	gate->open = true;
	pthread_cond_signal(&gate->opened);
	pthread_mutex_unlock(&gate->lock);
}

/* Runs the chain as the HTTP side does, waiting for the check of an unknown token. */
static int admit(struct world *w, struct request *r)
{
	struct gate gate = {.open = false};
	int ret = filters_request(w->filters, r);

	if (ret != FILTERS_PENDING)
		return ret;
	pthread_mutex_init(&gate.lock, NULL);
	pthread_cond_init(&gate.opened, NULL);
	r->http = &gate;
	r->wake = open_gate;
	request_suspend(r, no_suspend);
	if (filters_check(w->filters, request_ref(r))) {
		request_unref(r);
		return -ERR_UNAVAILABLE;
	}
	pthread_mutex_lock(&gate.lock);
	while (!gate.open)
		pthread_cond_wait(&gate.opened, &gate.lock);
	pthread_mutex_unlock(&gate.lock);
	/* The quota is given back with the last reference, so the checker's has to be gone. */
	while (atomic_load(&r->refs) > 1)
		g_thread_yield();
	return filters_request(w->filters, r);
}

/* Guards against bad input that gets through, and against refusals without a remedy. */
static void test_refusals(void)
{
	static const struct {
		const char *token;
		const char *service;
		const char *class_name;
		const char *key;
		const char *idempotent;
		const char *deadline;
		int expected;
	} cases[] = {
		{"acme-t", "svc", "quick", NULL, NULL, NULL, 0},
		{"acme-t", "svc", "once", "k", NULL, "1500", 0},
		{"acme-t", "other", NULL, NULL, NULL, NULL, 0},
		{NULL, "svc", "quick", NULL, NULL, NULL, -ERR_DENIED},
		{"", "svc", "quick", NULL, NULL, NULL, -ERR_DENIED},
		{"acme-x", "svc", "quick", NULL, NULL, NULL, -ERR_DENIED},
		{"op-t", "svc", "quick", NULL, NULL, NULL, -ERR_DENIED},
		{"acme-t", "nowhere", "quick", NULL, NULL, NULL, -ERR_NOT_FOUND},
		{"acme-t", "svc", "nothing", NULL, NULL, NULL, -ERR_NOT_FOUND},
		{"acme-t", "svc", NULL, NULL, NULL, NULL, -ERR_INVALID},
		{"acme-t", "other", "quick", NULL, NULL, NULL, -ERR_INVALID},
		{"acme-t", "svc", "once", "", NULL, NULL, -ERR_INVALID},
		{"acme-t", "svc", "once", NULL, "maybe", NULL, -ERR_INVALID},
		{"acme-t", "svc", "quick", NULL, NULL, "soon", -ERR_INVALID},
		{"acme-t", "svc", "quick", NULL, NULL, "-5", -ERR_INVALID},
		{"acme-t", "svc", "quick", NULL, NULL, "99999999999999999999", -ERR_INVALID},
		{"acme-t", "svc", "quick", NULL, NULL, "0", -ERR_DEADLINE},
	};
	struct world w;

	setup(&w);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct request *r = call(&w, cases[i].token, cases[i].service, cases[i].class_name);

		r->key = cases[i].key;
		r->idempotent_text = cases[i].idempotent;
		r->deadline_text = cases[i].deadline;
		CU_ASSERT_EQUAL(admit(&w, r), cases[i].expected);
		CU_ASSERT_EQUAL(r->err.remedy[0] != '\0', cases[i].expected != 0);
		request_unref(r);
	}
	teardown(&w);
}

/* Guards against claims for requests that need none, and none for those that do. */
static void test_idempotence(void)
{
	static const struct {
		const char *class_name;
		const char *key;
		const char *idempotent;
		bool claim;
	} cases[] = {
		{"quick", "k", NULL, false}, {"once", "k", NULL, true},
		{"once", NULL, NULL, false}, {"once", "k", "yes", false},
		{"quick", "k", "no", true},
	};
	struct world w;

	setup(&w);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct request *r = call(&w, "acme-t", "svc", cases[i].class_name);

		r->key = cases[i].key;
		r->idempotent_text = cases[i].idempotent;
		CU_ASSERT_EQUAL(admit(&w, r), 0);
		CU_ASSERT_EQUAL(r->needs_claim, cases[i].claim);
		request_unref(r);
	}
	teardown(&w);
}

/* Guards against a deadline beyond the class's limit. */
static void test_deadline(void)
{
	struct world w;
	struct request *r;

	setup(&w);
	r = call(&w, "acme-t", "other", "only");
	r->deadline_text = "3600000";
	CU_ASSERT_EQUAL(admit(&w, r), 0);
	CU_ASSERT(r->deadline_ms <= util_clock_ms() + 1000);
	request_unref(r);
	teardown(&w);
}

/* Guards against more requests in flight than the quota, and against a quota that leaks. */
static void test_quota(void)
{
	struct request *held[3];
	struct request *r;
	struct world w;

	setup(&w);
	for (int round = 0; round < 3; round++) {
		for (int i = 0; i < 3; i++) {
			held[i] = call(&w, "acme-t", "svc", "quick");
			CU_ASSERT_EQUAL(admit(&w, held[i]), 0);
		}
		r = call(&w, "acme-t", "svc", "quick");
		CU_ASSERT_EQUAL(admit(&w, r), -ERR_OVER_QUOTA);
		request_unref(r);
		for (int i = 0; i < 3; i++)
			request_unref(held[i]);
	}
	/* With three entries each applies a third. */
	filters_set_entries(w.filters, 3);
	held[0] = call(&w, "acme-t", "svc", "quick");
	CU_ASSERT_EQUAL(admit(&w, held[0]), 0);
	r = call(&w, "acme-t", "svc", "quick");
	CU_ASSERT_EQUAL(admit(&w, r), -ERR_OVER_QUOTA);
	request_unref(r);
	request_unref(held[0]);
	teardown(&w);
}

/* Guards against new work on an entry that shuts down. */
static void test_leaving(void)
{
	struct request *r;
	struct world w;

	setup(&w);
	filters_set_leaving(w.filters);
	r = call(&w, "acme-t", "svc", "quick");
	CU_ASSERT_EQUAL(admit(&w, r), -ERR_LEAVING);
	request_unref(r);
	teardown(&w);
}

static void *hammer(void *arg)
{
	static const char *const tokens[] = {"acme-t", "wrong", "op-t"};
	static const int expected[] = {0, -ERR_DENIED, -ERR_DENIED};
	struct world *w = arg;
	intptr_t wrong = 0;

	for (int i = 0; i < ROUNDS; i++) {
		struct request *r = call(w, tokens[i % 3], "svc", "quick");
		int ret = admit(w, r);

		wrong += ret != expected[i % 3] && ret != -ERR_OVER_QUOTA;
		request_unref(r);
	}
	return (void *)wrong;
}

/* Guards against races between HTTP threads over the token cache and the quota table. */
static void test_threads(void)
{
	pthread_t threads[THREADS];
	struct world w;

	setup(&w);
	for (int i = 0; i < THREADS; i++)
		pthread_create(&threads[i], NULL, hammer, &w);
	for (int i = 0; i < THREADS; i++) {
		void *wrong;

		pthread_join(threads[i], &wrong);
		CU_ASSERT_PTR_NULL(wrong);
	}
	teardown(&w);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("filter", NULL, NULL);
	CU_add_test(suite, "refusals", test_refusals);
	CU_add_test(suite, "idempotence", test_idempotence);
	CU_add_test(suite, "deadline", test_deadline);
	CU_add_test(suite, "quota", test_quota);
	CU_add_test(suite, "leaving", test_leaving);
	CU_add_test(suite, "threads", test_threads);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
