#include "claim.h"
#include "lib_fakestore.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#define MANY 40
#define TTL_S 60

struct world {
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	struct fakestore *fake;
	struct metrics *metrics;
	struct claims *mine;
	struct claims *theirs;
};

struct result {
	int done;
	int status;
	int64_t mod_revision;
	char agent[32];
};

static void setup(struct world *w)
{
	w->mem = talloc_new(NULL);
	w->ev = tevent_context_init(w->mem);
	w->fake = fakestore_start(w->mem, w->ev, NULL);
	w->metrics = metrics_create(w->mem);
	w->mine = claims_create(w->mem, w->ev, fakestore_client(w->mem, w->fake, 300), w->metrics);
	w->theirs =
		claims_create(w->mem, w->ev, fakestore_client(w->mem, w->fake, 300), w->metrics);
}

static void on_done(int status, const struct claim_record *found, void *ctx)
{
	struct result *r = ctx;

	r->done++;
	r->status = status;
	r->mod_revision = found ? found->mod_revision : 0;
	snprintf(r->agent, sizeof(r->agent), "%s", found ? found->agent : "");
}

static void begin(struct claims *c, uint64_t hash, const char *agent, int64_t replace,
		  struct result *r)
{
	struct claim_record record = {.entry = "e#1",
				      .agent = agent,
				      .organisation = "o",
				      .service = "s",
				      .key = "k",
				      .mark = agent,
				      .mod_revision = replace};

	*r = (struct result){0};
	claims_take(c, hash, &record, TTL_S, on_done, r);
}

static int take(struct world *w, struct claims *c, uint64_t hash, const char *agent,
		int64_t replace, struct result *r)
{
	begin(c, hash, agent, replace, r);
	CU_ASSERT_TRUE(loop_until(w->ev, &r->done));
	return r->status;
}

/* Guards against two owners of one key, and against a claim that moves to two agents. */
static void test_exclusive(void)
{
	struct world w;
	struct result first;
	struct result other;

	setup(&w);
	CU_ASSERT_EQUAL(take(&w, w.mine, 1, "a#1", 0, &first), 0);
	CU_ASSERT_EQUAL(take(&w, w.theirs, 1, "b#1", 0, &other), -ERR_CONFLICT);
	CU_ASSERT_STRING_EQUAL(other.agent, "a#1");
	CU_ASSERT_EQUAL(other.mod_revision, first.mod_revision);
	CU_ASSERT_EQUAL(take(&w, w.theirs, 1, "b#1", other.mod_revision, &other), 0);
	CU_ASSERT_EQUAL(take(&w, w.mine, 1, "c#1", first.mod_revision, &first), -ERR_CONFLICT);
	CU_ASSERT_STRING_EQUAL(first.agent, "b#1");
	talloc_free(w.mem);
}

/* Guards against a claim for each write call, which the store's rate would not allow. */
static void test_batch(void)
{
	struct world w;
	struct result results[MANY];
	struct result taken;
	int64_t writes;

	setup(&w);
	CU_ASSERT_EQUAL(take(&w, w.theirs, 7, "b#1", 0, &taken), 0);
	writes = fakestore_stat(w.fake, "writes");
	for (uint64_t i = 0; i < MANY; i++)
		begin(w.mine, i, "a#1", 0, &results[i]);
	for (uint64_t i = 0; i < MANY; i++) {
		CU_ASSERT_TRUE(loop_until(w.ev, &results[i].done));
		CU_ASSERT_EQUAL(results[i].status, i == 7 ? -ERR_CONFLICT : 0);
	}
	CU_ASSERT(fakestore_stat(w.fake, "writes") - writes <= 6);
	talloc_free(w.mem);
}

/* Guards against a claim that is neither ours nor anybody's after a lost answer. */
static void test_lost_answer(void)
{
	struct world w;
	struct result r;

	setup(&w);
	CU_ASSERT_EQUAL(take(&w, w.mine, 1, "a#1", 0, &r), 0);
	fakestore_fault(w.fake, "{\"lose_answers\":1}");
	CU_ASSERT_EQUAL(take(&w, w.mine, 2, "a#1", 0, &r), 0);
	CU_ASSERT(r.mod_revision > 0);
	CU_ASSERT_EQUAL(take(&w, w.theirs, 2, "b#1", 0, &r), -ERR_CONFLICT);
	talloc_free(w.mem);
}

/* Guards against requests that are sent without a claim while the store is out. */
static void test_down(void)
{
	struct world w;
	struct result r;

	setup(&w);
	fakestore_fault(w.fake, "{\"down\":true}");
	CU_ASSERT_EQUAL(take(&w, w.mine, 1, "a#1", 0, &r), -ERR_UNAVAILABLE);
	talloc_free(w.mem);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("claim", NULL, NULL);
	CU_add_test(suite, "exclusive", test_exclusive);
	CU_add_test(suite, "batch", test_batch);
	CU_add_test(suite, "lost_answer", test_lost_answer);
	CU_add_test(suite, "down", test_down);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
