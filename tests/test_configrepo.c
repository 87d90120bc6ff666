#include "configrepo.h"
#include "lib_fakestore.h"

#include <CUnit/Basic.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#define READERS 3

struct node {
	struct store *store;
	struct configrepo *repo;
	int changes;
	uint64_t last; /* revision of the last on_change() */
	bool went_back;
};

struct world {
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	struct fakestore *fake;
	struct node a;
	struct node b;
};

struct outcome {
	int done;
	int status;
	uint64_t revision;
	char text[512];
	size_t count;
	json_int_t newest;
};

static void on_change(uint64_t revision, void *ctx)
{
	struct node *node = ctx;

	node->changes++;
	node->went_back = node->went_back || revision <= node->last;
	node->last = revision;
}

static void join(struct world *w, struct node *node)
{
	*node = (struct node){.store = fakestore_client(w->mem, w->fake, 0)};
	node->repo = configrepo_create(w->mem, w->ev, node->store, NULL, on_change, node);
}

static void setup(struct world *w)
{
	static const char *const flags[] = {"--writes-per-s=0", "--reads-per-s=0", NULL};

	w->mem = talloc_new(NULL);
	w->ev = tevent_context_init(w->mem);
	w->fake = fakestore_start(w->mem, w->ev, flags);
	join(w, &w->a);
	join(w, &w->b);
}

/* One class file whose queue length tells the versions apart. */
static json_t *files_of(int max_queue)
{
	char text[128];

	snprintf(text, sizeof(text), "{\"decision\":\"class\",\"name\":\"c\",\"max_queue\":%d}",
		 max_queue);
	return json_pack("{s:s}", "10-class.json", text);
}

static void on_applied(int status, uint64_t revision, const char *text, void *ctx)
{
	struct outcome *o = ctx;

	o->done++;
	o->status = status;
	o->revision = revision;
	snprintf(o->text, sizeof(o->text), "%s", text);
}

static void start_apply(struct node *node, json_t *files, uint64_t base, struct outcome *o)
{
	struct configrepo_apply request = {
		.files = files, .base_revision = base, .by = "op", .message = "test"};

	*o = (struct outcome){0};
	configrepo_apply(node->repo, &request, on_applied, o);
	CU_ASSERT_EQUAL(o->done, 0);
	json_decref(files);
}

static int apply(struct world *w, struct node *node, int max_queue, uint64_t base,
		 struct outcome *o)
{
	start_apply(node, files_of(max_queue), base, o);
	CU_ASSERT_TRUE(loop_until(w->ev, &o->done));
	CU_ASSERT_EQUAL(o->done, 1);
	return o->status;
}

static uint32_t queue_of(struct node *node)
{
	struct config *c = configrepo_current(node->repo);
	uint32_t value = c ? config_class(c, "c")->max_queue : 0;

	configrepo_release(node->repo, c);
	return value;
}

static bool wait_revision(struct world *w, struct node *node, uint64_t revision)
{
	for (int i = 0; i < LOOP_TIMEOUT_MS / 10; i++) {
		if (configrepo_revision(node->repo) >= revision)
			return true;
		loop_for(w->ev, 10);
	}
	return false;
}

/* Guards against a revision that does not reach the other nodes, or is in force in part. */
static void test_spread(void)
{
	struct world w;
	struct outcome o;

	setup(&w);
	CU_ASSERT_PTR_NULL(configrepo_current(w.a.repo));
	CU_ASSERT_EQUAL(apply(&w, &w.a, 5, 0, &o), 0);
	CU_ASSERT_EQUAL(o.revision, 1);
	CU_ASSERT_TRUE(wait_revision(&w, &w.b, 1));
	CU_ASSERT_EQUAL(queue_of(&w.b), 5);
	CU_ASSERT_EQUAL(apply(&w, &w.b, 6, 1, &o), 0);
	CU_ASSERT_EQUAL(o.revision, 2);
	CU_ASSERT_TRUE(wait_revision(&w, &w.a, 2));
	CU_ASSERT_EQUAL(queue_of(&w.a), 6);
	CU_ASSERT_EQUAL(apply(&w, &w.a, 6, 2, &o), 0);
	CU_ASSERT_EQUAL(o.revision, 2);
	start_apply(&w.a, json_pack("{s:s}", "a.json", "{\"decision\":\"clas\"}"), 0, &o);
	CU_ASSERT_TRUE(loop_until(w.ev, &o.done));
	CU_ASSERT_EQUAL(o.status, -ERR_INVALID);
	CU_ASSERT_PTR_NOT_NULL(strstr(o.text, "a.json:1: decision: is not a known kind"));
	talloc_free(w.mem);
}

/* A node that has just started must not replace a configuration that it does not know yet. */
static void test_first(void)
{
	struct world w;
	struct node late;
	struct outcome o;

	setup(&w);
	CU_ASSERT_EQUAL(apply(&w, &w.a, 5, 0, &o), 0);
	join(&w, &late);
	CU_ASSERT_EQUAL(apply(&w, &late, 6, 0, &o), -ERR_CONFLICT);
	CU_ASSERT_EQUAL(o.revision, 1);
	CU_ASSERT_EQUAL(apply(&w, &late, 6, 1, &o), 0);
	talloc_free(w.mem);
}

static void set_workers(struct place_worker_spec *workers, size_t count)
{
	for (size_t i = 0; i < count; i++)
		workers[i] = (struct place_worker_spec){.name = i ? "w1" : "w0",
							.zone = "z",
							.rack = "r",
							.accelerators = 8,
							.cores = 64,
							.memory_mb = 65536};
}

static json_t *guarantee_files(int members)
{
	char text[160];

	snprintf(text, sizeof(text),
		 "{\"decision\":\"organisation\",\"name\":\"o\",\"guarantees\":[{\"members\":%d,"
		 "\"accelerators\":8}]}",
		 members);
	return json_pack("{s:s}", "o.json", text);
}

/* Promises that do not fit are refused, but lost workers must not lock operators out. */
static void test_guarantees(void)
{
	struct place_worker_spec workers[2];
	struct configrepo_apply request = {.workers = workers, .worker_count = 2};
	static const struct {
		size_t workers;
		int members;
		int status;
	} steps[] = {{2, 3, -ERR_NEVER_FITS}, {2, 2, 0}, {2, 3, -ERR_NEVER_FITS}, {1, 3, 0}};
	struct world w;

	setup(&w);
	set_workers(workers, 2);
	for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		struct outcome o = {0};

		request.files = guarantee_files(steps[i].members);
		request.worker_count = steps[i].workers;
		configrepo_apply(w.a.repo, &request, on_applied, &o);
		CU_ASSERT_TRUE(loop_until(w.ev, &o.done));
		CU_ASSERT_EQUAL(o.status, steps[i].status);
		json_decref(request.files);
	}
	talloc_free(w.mem);
}

/* Of racing operators exactly one wins, and the other learns the winner's number and content. */
static void test_race(void)
{
	struct world w;
	struct outcome one;
	struct outcome two;

	setup(&w);
	CU_ASSERT_EQUAL(apply(&w, &w.a, 1, 0, &one), 0);
	CU_ASSERT_TRUE(wait_revision(&w, &w.b, 1));
	for (uint64_t base = 1; base < 8; base++) {
		struct outcome *lost;

		start_apply(&w.a, files_of((int)base * 10), base, &one);
		start_apply(&w.b, files_of((int)base * 10 + 1), base, &two);
		CU_ASSERT_TRUE(loop_until(w.ev, &one.done) && loop_until(w.ev, &two.done));
		CU_ASSERT_EQUAL((one.status == 0) + (two.status == 0), 1);
		lost = one.status ? &one : &two;
		if (lost->status != -ERR_CONFLICT)
			fprintf(stderr, "status %d: %s\n", lost->status, lost->text);
		CU_ASSERT_EQUAL(lost->status, -ERR_CONFLICT);
		CU_ASSERT_EQUAL(lost->revision, base + 1);
		CU_ASSERT_PTR_NOT_NULL(strstr(lost->text, "10-class.json: max_queue"));
		CU_ASSERT_TRUE(wait_revision(&w, &w.a, base + 1));
		CU_ASSERT_TRUE(wait_revision(&w, &w.b, base + 1));
		CU_ASSERT_EQUAL(queue_of(&w.a), queue_of(&w.b));
	}
	CU_ASSERT_EQUAL(apply(&w, &w.a, 99, 3, &one), -ERR_CONFLICT);
	CU_ASSERT_EQUAL(one.revision, 8);
	talloc_free(w.mem);
}

/* A lost answer must neither be told as a failure nor make a second revision. */
static void test_lost_answer(void)
{
	struct world w;
	struct outcome o;

	setup(&w);
	for (int lost = 1; lost <= 3; lost++) {
		char fault[64];

		snprintf(fault, sizeof(fault), "{\"lose_answers\":%d}", lost);
		fakestore_fault(w.fake, fault);
		CU_ASSERT_EQUAL(apply(&w, &w.a, 10 + lost, 0, &o), 0);
		CU_ASSERT_EQUAL(o.revision, (uint64_t)lost);
		fakestore_fault(w.fake, "{\"lose_answers\":0}");
		CU_ASSERT_TRUE(wait_revision(&w, &w.b, (uint64_t)lost));
		CU_ASSERT_EQUAL(queue_of(&w.b), 10U + (uint32_t)lost);
	}
	talloc_free(w.mem);
}

/* In an outage the configuration stays, applying is refused, and peers may bring newer ones. */
static void test_outage(void)
{
	struct world w;
	struct outcome o;
	json_t *files = files_of(33);
	json_t *bad = json_pack("{s:s}", "a.json", "{}");

	setup(&w);
	CU_ASSERT_EQUAL(apply(&w, &w.a, 5, 0, &o), 0);
	CU_ASSERT_TRUE(wait_revision(&w, &w.b, 1));
	fakestore_fault(w.fake, "{\"down\":true}");
	CU_ASSERT_EQUAL(apply(&w, &w.a, 6, 0, &o), -ERR_UNAVAILABLE);
	CU_ASSERT_EQUAL(queue_of(&w.a), 5);
	CU_ASSERT_EQUAL(configrepo_offer(w.b.repo, 1, files), 0);
	CU_ASSERT_EQUAL(queue_of(&w.b), 5);
	CU_ASSERT_EQUAL(configrepo_offer(w.b.repo, 9, bad), -ERR_INVALID);
	CU_ASSERT_EQUAL(configrepo_offer(w.b.repo, 3, files), 0);
	CU_ASSERT_EQUAL(queue_of(&w.b), 33);
	CU_ASSERT_EQUAL(configrepo_offer(w.b.repo, 2, files), -ERR_STALE);
	fakestore_fault(w.fake, "{\"down\":false}");
	for (int i = 0; i < 3; i++) {
		while (apply(&w, &w.a, 50 + i, 0, &o) == -ERR_UNAVAILABLE)
			loop_for(w.ev, 20);
		CU_ASSERT_EQUAL(o.status, 0);
	}
	/* The store is behind what the peer brought until its fourth revision. */
	CU_ASSERT_EQUAL(o.revision, 4);
	CU_ASSERT_TRUE(wait_revision(&w, &w.a, 4));
	CU_ASSERT_FALSE(w.a.went_back);
	CU_ASSERT_FALSE(w.b.went_back);
	json_decref(files);
	json_decref(bad);
	talloc_free(w.mem);
}

static void on_history(int status, json_t *history, void *ctx)
{
	struct outcome *o = ctx;

	o->done++;
	o->status = status;
	o->count = json_array_size(history);
	o->newest = json_integer_value(json_object_get(json_array_get(history, 0), "revision"));
}

/* A node that starts late reads the snapshot and the changes after it, not all changes. */
static void test_snapshot(void)
{
	struct world w;
	struct node late;
	struct outcome o;
	int64_t reads;

	setup(&w);
	CU_ASSERT_EQUAL(apply(&w, &w.a, 1, 0, &o), 0);
	CU_ASSERT_TRUE(wait_revision(&w, &w.b, 1));
	for (int i = 2; i <= 130; i++) {
		struct node *node = i % 2 ? &w.a : &w.b;

		while (apply(&w, node, i, 0, &o) == -ERR_UNAVAILABLE)
			loop_for(w.ev, 20);
		CU_ASSERT_EQUAL(o.revision, (uint64_t)i);
	}
	reads = fakestore_stat(w.fake, "reads");
	talloc_free(w.a.repo);
	join(&w, &late);
	CU_ASSERT_TRUE(wait_revision(&w, &late, 130));
	CU_ASSERT_EQUAL(queue_of(&late), 130);
	CU_ASSERT_TRUE(late.changes <= 3);
	CU_ASSERT_TRUE(fakestore_stat(w.fake, "reads") - reads <= 4);
	o = (struct outcome){0};
	configrepo_history(late.repo, 20, on_history, &o);
	CU_ASSERT_TRUE(loop_until(w.ev, &o.done));
	CU_ASSERT_EQUAL(o.count, 20);
	CU_ASSERT_EQUAL(o.newest, 130);
	talloc_free(w.mem);
}

struct reader {
	struct configrepo *repo;
	atomic_bool *stop;
	bool went_back;
};

static void *read_loop(void *ctx)
{
	struct reader *reader = ctx;
	uint64_t last = 0;

	while (!atomic_load(reader->stop)) {
		struct config *c = configrepo_current(reader->repo);

		if (c && (c->revision < last || !config_class(c, "c")))
			reader->went_back = true;
		last = c ? c->revision : last;
		configrepo_release(reader->repo, c);
	}
	return NULL;
}

/* Guards against a configuration that is freed while another thread reads it. */
static void test_threads(void)
{
	struct world w;
	struct outcome o;
	struct reader readers[READERS];
	pthread_t threads[READERS];
	atomic_bool stop = false;

	setup(&w);
	for (int i = 0; i < READERS; i++) {
		readers[i] = (struct reader){w.a.repo, &stop, false};
		pthread_create(&threads[i], NULL, read_loop, &readers[i]);
	}
	for (int i = 1; i <= 30; i++)
		apply(&w, &w.b, i, 0, &o);
	wait_revision(&w, &w.a, 30);
	atomic_store(&stop, true);
	for (int i = 0; i < READERS; i++) {
		pthread_join(threads[i], NULL);
		CU_ASSERT_FALSE(readers[i].went_back);
	}
	talloc_free(w.mem);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("configrepo", NULL, NULL);
	CU_add_test(suite, "spread", test_spread);
	CU_add_test(suite, "first", test_first);
	CU_add_test(suite, "guarantees", test_guarantees);
	CU_add_test(suite, "race", test_race);
	CU_add_test(suite, "lost answer", test_lost_answer);
	CU_add_test(suite, "outage", test_outage);
	CU_add_test(suite, "snapshot", test_snapshot);
	CU_add_test(suite, "threads", test_threads);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
