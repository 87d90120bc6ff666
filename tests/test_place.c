#include "frag.h"
#include "place_impl.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

enum {
	TRACE_MAX = 4096
};

struct trace_entry {
	enum place_kind kind;
	char job[24];
	char worker[24];
	char organisation[24];
	char reason[96];
	uint32_t attempt;
	uint32_t grace_ms;
	bool checkpoint;
	uint64_t mask;
};

struct trace {
	struct place *p;
	uint64_t now;
	struct trace_entry entries[TRACE_MAX];
	size_t count;
};

static const struct place_policy default_policy = {
	.weight_completion = 0.5,
	.weight_fragmentation = 0.5,
	.lend_idle = true,
	.reclaim_grace_ms = 2000,
};

static void record(const struct place_decision *d, void *ctx)
{
	struct trace *t = ctx;
	struct trace_entry *e = &t->entries[t->count % TRACE_MAX];

	t->count++;
	memset(e, 0, sizeof(*e));
	e->kind = d->kind;
	snprintf(e->job, sizeof(e->job), "%s", d->job);
	snprintf(e->worker, sizeof(e->worker), "%s",
		 d->member_count ? d->members[0].worker : d->worker);
	snprintf(e->organisation, sizeof(e->organisation), "%s", d->organisation);
	snprintf(e->reason, sizeof(e->reason), "%s", d->reason);
	e->attempt = d->attempt;
	e->grace_ms = d->grace_ms;
	e->checkpoint = d->checkpoint;
	e->mask = d->member_count ? d->members[0].mask : 0;
}

static struct trace *open_trace(const struct place_policy *policy)
{
	struct trace *t = talloc_zero(NULL, struct trace);

	t->now = 1000;
	t->p = place_create(t, policy, 1);
	return t;
}

static void step(struct trace *t, uint64_t later_ms)
{
	struct err err;

	t->now += later_ms;
	place_step(t->p, t->now, record, t);
	CU_ASSERT_EQUAL(place_check(t->p, &err), 0);
}

static const struct trace_entry *last_of(const struct trace *t, enum place_kind kind,
					 const char *job)
{
	for (size_t i = t->count; i > 0; i--) {
		const struct trace_entry *e = &t->entries[(i - 1) % TRACE_MAX];

		if (e->kind == kind && (!job || !strcmp(e->job, job)))
			return e;
	}
	return NULL;
}

static size_t count_of(const struct trace *t, enum place_kind kind)
{
	size_t count = 0;

	for (size_t i = 0; i < t->count && i < TRACE_MAX; i++)
		count += t->entries[i].kind == kind;
	return count;
}

static void add_workers(struct trace *t, uint32_t count, uint32_t accelerators)
{
	for (uint32_t i = 0; i < count; i++) {
		char name[16];
		char rack[16];
		struct place_worker_spec spec = {.name = name,
						 .zone = "z",
						 .rack = rack,
						 .accelerators = accelerators,
						 .cores = 128};

		snprintf(name, sizeof(name), "w%u", i);
		snprintf(rack, sizeof(rack), "r%u", i / 4);
		place_worker_up(t->p, &spec, t->now);
	}
}

/* Organisations a, b, …; each with one guarantee of 1 x @widths[i], 0 for none. */
static void set_organisations(struct trace *t, const uint32_t *widths, const int32_t *priorities,
			      size_t count)
{
	static const char *const names[] = {"a", "b", "c", "d"};
	struct place_organisation_spec specs[4] = {0};
	struct place_shape shapes[4] = {0};

	for (size_t i = 0; i < count; i++) {
		shapes[i] = (struct place_shape){.members = 1, .accelerators = widths[i]};
		specs[i].name = names[i];
		specs[i].guarantees = &shapes[i];
		specs[i].guarantee_count = widths[i] > 0;
		specs[i].priority = priorities ? priorities[i] : 0;
	}
	place_set_organisations(t->p, specs, count, t->now);
}

static int submit_spec(struct trace *t, const char *organisation, const char *id,
		       struct place_job_spec spec, uint32_t members, uint32_t accelerators)
{
	struct err err;

	spec.id = id;
	spec.organisation = organisation;
	spec.class_name = "class";
	spec.shape.members = members;
	spec.shape.accelerators = accelerators;
	spec.declared_ms = spec.declared_ms ? spec.declared_ms : 3600000;
	spec.submitted_ms = t->now;
	return place_submit(t->p, &spec, t->now, &err);
}

static const struct place_job_spec checkpointable = {.checkpoint = true};
static const struct place_job_spec restartable = {.restartable = true};
static const struct place_job_spec once = {0};

/* Submits @count jobs prefix0, prefix1, … and reports those that start as running. */
static void fill(struct trace *t, const char *organisation, const char *prefix, uint32_t count,
		 struct place_job_spec spec, uint32_t accelerators)
{
	for (uint32_t i = 0; i < count; i++) {
		const struct trace_entry *e;
		char id[24];

		snprintf(id, sizeof(id), "%s%u", prefix, i);
		CU_ASSERT_EQUAL(submit_spec(t, organisation, id, spec, 1, accelerators), 0);
		step(t, 1);
		e = last_of(t, PLACE_START, id);
		if (e)
			place_started(t->p, id, e->attempt, t->now);
	}
}

static void stop_evicted(struct trace *t, size_t from)
{
	size_t end = t->count;

	for (size_t i = from; i < end; i++) {
		const struct trace_entry *e = &t->entries[i % TRACE_MAX];

		if (e->kind == PLACE_EVICT)
			place_ended(t->p, e->job, e->attempt, PLACE_STOPPED, NULL, t->now);
	}
}

/* Guards against a guarantee that cannot be reclaimed, or only after borrowed work has ended. */
static void test_reclaim(void)
{
	static const struct {
		bool checkpoint;
		uint32_t width;
	} rows[] = {{true, 4}, {true, 8}, {false, 4}, {false, 8}};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct trace *t = open_trace(&default_policy);
		const uint32_t widths[] = {rows[i].width, 0};
		const struct trace_entry *e;
		size_t before;

		add_workers(t, 2, 8);
		set_organisations(t, widths, NULL, 2);
		fill(t, "b", "b", 16, rows[i].checkpoint ? checkpointable : restartable, 1);
		before = t->count;
		submit_spec(t, "a", "owner", once, 1, rows[i].width);
		step(t, 60000);
		e = last_of(t, PLACE_EVICT, NULL);
		CU_ASSERT_PTR_NOT_NULL_FATAL(e);
		if (!e)
			return;
		CU_ASSERT_EQUAL(count_of(t, PLACE_EVICT), rows[i].width);
		CU_ASSERT_EQUAL(e->checkpoint, rows[i].checkpoint);
		CU_ASSERT_EQUAL(e->grace_ms, 2000);
		CU_ASSERT_PTR_NULL(last_of(t, PLACE_START, "owner"));
		stop_evicted(t, before);
		step(t, 10);
		CU_ASSERT_PTR_NOT_NULL(last_of(t, PLACE_START, "owner"));
		talloc_free(t);
	}
}

/* Guards against losing borrowed work where moving the home to free accelerators is enough. */
static void test_rehome(void)
{
	struct trace *t = open_trace(&default_policy);
	const uint32_t widths[] = {8, 0};
	const struct trace_entry *e;

	add_workers(t, 2, 8);
	set_organisations(t, widths, NULL, 2);
	step(t, 1);
	fill(t, "b", "b", 16, restartable, 1);
	e = last_of(t, PLACE_START, "b0");
	for (int i = 0; i < 16; i++) {
		char id[24];
		const struct trace_entry *other;

		snprintf(id, sizeof(id), "b%d", i);
		other = last_of(t, PLACE_START, id);
		if (!strcmp(other->worker, e->worker))
			place_ended(t->p, id, other->attempt, PLACE_DONE, NULL, t->now);
	}
	submit_spec(t, "a", "owner", checkpointable, 1, 8);
	step(t, 1);
	CU_ASSERT_PTR_NOT_NULL(last_of(t, PLACE_START, "owner"));
	CU_ASSERT_EQUAL(count_of(t, PLACE_EVICT), 0);
	talloc_free(t);
}

/* Guards against running non-repeatable work where a reclaim would have to stop it. */
static void test_once(void)
{
	struct trace *t = open_trace(&default_policy);
	const uint32_t widths[] = {8, 0};
	const struct trace_entry *e;

	add_workers(t, 2, 8);
	set_organisations(t, widths, NULL, 2);
	fill(t, "b", "b", 3, once, 4);
	CU_ASSERT_EQUAL(count_of(t, PLACE_START), 2);
	submit_spec(t, "a", "owner", once, 1, 8);
	step(t, 1);
	e = last_of(t, PLACE_START, "owner");
	CU_ASSERT_PTR_NOT_NULL_FATAL(e);
	CU_ASSERT_EQUAL(count_of(t, PLACE_EVICT), 0);
	place_worker_down(t->p, e->worker, t->now);
	step(t, 1);
	CU_ASSERT_STRING_EQUAL(last_of(t, PLACE_FAIL, "owner")->reason, "outcome unknown");
	talloc_free(t);
}

/* Guards against serving guarantees in part, or out of order, when workers are lost. */
static void test_lost_workers(void)
{
	struct trace *t = open_trace(&default_policy);
	const uint32_t widths[] = {8, 8, 8};
	const int32_t priorities[] = {1, 3, 2};
	struct place_stats stats;

	add_workers(t, 3, 8);
	set_organisations(t, widths, priorities, 3);
	step(t, 1);
	CU_ASSERT_EQUAL(count_of(t, PLACE_GUARANTEE_UNMET), 0);
	place_worker_down(t->p, "w1", t->now);
	step(t, 1);
	CU_ASSERT_STRING_EQUAL(last_of(t, PLACE_GUARANTEE_UNMET, NULL)->organisation, "a");
	place_worker_down(t->p, "w2", t->now);
	step(t, 1);
	CU_ASSERT_STRING_EQUAL(last_of(t, PLACE_GUARANTEE_UNMET, NULL)->organisation, "c");
	CU_ASSERT_EQUAL(count_of(t, PLACE_GUARANTEE_UNMET), 2);
	add_workers(t, 3, 8);
	step(t, 1);
	CU_ASSERT_EQUAL(count_of(t, PLACE_GUARANTEE_MET), 2);
	place_stats(t->p, &stats);
	CU_ASSERT_EQUAL(stats.guarantees_unmet, 0);
	talloc_free(t);
}

/* Guards against large jobs that starve behind a steady stream of small ones. */
static void test_large(void)
{
	struct trace *t = open_trace(&default_policy);
	const uint32_t widths[] = {0, 0};
	bool started = false;

	add_workers(t, 4, 8);
	set_organisations(t, widths, NULL, 2);
	fill(t, "b", "b", 40, checkpointable, 1);
	step(t, 600000);
	submit_spec(t, "a", "large", checkpointable, 1, 8);
	for (int round = 0; round < 20 && !started; round++) {
		size_t before = t->count;
		char id[24];

		snprintf(id, sizeof(id), "more%d", round);
		submit_spec(t, "b", id, checkpointable, 1, 1);
		step(t, 1000);
		stop_evicted(t, before);
		step(t, 10);
		started = last_of(t, PLACE_START, "large") != NULL;
	}
	CU_ASSERT(started);
	talloc_free(t);
}

/* Guards against urgent work that waits for running work to end: the bound is 4.1 s. */
static void test_urgent(void)
{
	struct trace *t = open_trace(&default_policy);
	const struct place_job_spec urgent = {.urgent = true};
	const uint32_t widths[] = {0, 0};
	uint64_t submitted;
	size_t before;

	add_workers(t, 2, 8);
	set_organisations(t, widths, NULL, 2);
	fill(t, "b", "b", 4, checkpointable, 4);
	before = t->count;
	submit_spec(t, "a", "urgent", urgent, 1, 1);
	submitted = t->now;
	step(t, 1);
	CU_ASSERT_PTR_NOT_NULL_FATAL(last_of(t, PLACE_EVICT, NULL));
	t->now += last_of(t, PLACE_EVICT, NULL)->grace_ms;
	stop_evicted(t, before);
	step(t, 1);
	CU_ASSERT_PTR_NOT_NULL(last_of(t, PLACE_START, "urgent"));
	CU_ASSERT(t->now - submitted <= 4100);
	talloc_free(t);
}

/* Starts everything that is due; "bad*" jobs fail everywhere, and all jobs fail on @bad_worker. */
static void run_health(struct trace *t, const char *bad_worker, int rounds)
{
	for (int round = 0; round < rounds; round++) {
		size_t before = t->count;

		step(t, 1000);
		for (size_t i = before; i < t->count; i++) {
			struct trace_entry e = t->entries[i % TRACE_MAX];

			if (e.kind != PLACE_START)
				continue;
			if (!strncmp(e.job, "bad", 3) || !strcmp(e.worker, bad_worker)) {
				place_ended(t->p, e.job, e.attempt, PLACE_START_FAILED, e.worker,
					    t->now);
				continue;
			}
			place_started(t->p, e.job, e.attempt, t->now);
			place_ended(t->p, e.job, e.attempt, PLACE_DONE, NULL, t->now);
		}
	}
}

/* Guards against mistaking a bad job for bad workers, a bad worker for bad jobs, or both at once.
 */
static void test_health(void)
{
	static const struct {
		const char *bad_worker;
		uint32_t bad_jobs;
	} rows[] = {{"", 1}, {"w0", 0}, {"w0", 2}};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct trace *t = open_trace(&default_policy);
		const uint32_t widths[] = {0};
		bool bad = rows[i].bad_worker[0] != '\0';
		char id[24];

		add_workers(t, 6, 8);
		set_organisations(t, widths, NULL, 1);
		for (uint32_t k = 0; k < rows[i].bad_jobs; k++) {
			snprintf(id, sizeof(id), "bad%u", k);
			submit_spec(t, "a", id, restartable, 1, 2);
		}
		for (int round = 0; round < 120; round++) {
			snprintf(id, sizeof(id), "good%d", round);
			submit_spec(t, "a", id, restartable, 1, 2);
			run_health(t, rows[i].bad_worker, 1);
		}
		run_health(t, rows[i].bad_worker, 60);
		CU_ASSERT_EQUAL(count_of(t, PLACE_FAIL), rows[i].bad_jobs);
		CU_ASSERT_EQUAL(last_of(t, PLACE_QUARANTINE, NULL) != NULL, bad);
		if (bad)
			CU_ASSERT_STRING_EQUAL(last_of(t, PLACE_QUARANTINE, NULL)->worker, "w0");
		for (int round = 0; round < 200; round++) {
			snprintf(id, sizeof(id), "late%d", round);
			submit_spec(t, "a", id, restartable, 1, 2);
			run_health(t, "", 1);
		}
		CU_ASSERT_EQUAL(last_of(t, PLACE_READMIT, NULL) != NULL, bad);
		talloc_free(t);
	}
}

/* Guards against giving a job up because the workers under it were lost. */
static void test_losses_do_not_count(void)
{
	struct trace *t = open_trace(&default_policy);
	const uint32_t widths[] = {0};

	add_workers(t, 4, 8);
	set_organisations(t, widths, NULL, 1);
	submit_spec(t, "a", "job", restartable, 1, 8);
	for (int i = 0; i < 30; i++) {
		step(t, 1000);
		CU_ASSERT_EQUAL(last_of(t, PLACE_START, "job")->attempt, (uint32_t)i + 1);
		place_worker_down(t->p, last_of(t, PLACE_START, "job")->worker, t->now);
		add_workers(t, 4, 8);
	}
	CU_ASSERT_EQUAL(count_of(t, PLACE_FAIL), 0);
	talloc_free(t);
}

/* Guards against one organisation's burst delaying another's guaranteed work. */
static void test_burst(void)
{
	struct trace *t = open_trace(&default_policy);
	const uint32_t widths[] = {8, 0};
	size_t before;
	char id[24];

	add_workers(t, 4, 8);
	set_organisations(t, widths, NULL, 2);
	fill(t, "b", "b", 32, checkpointable, 1);
	for (int i = 0; i < 2000; i++) {
		snprintf(id, sizeof(id), "burst%d", i);
		submit_spec(t, "b", id, checkpointable, 1, 1);
	}
	for (int i = 0; i < 1000; i++) {
		snprintf(id, sizeof(id), "burst%d", i * 2);
		CU_ASSERT_EQUAL(place_cancel(t->p, id, t->now), 0);
	}
	before = t->count;
	submit_spec(t, "a", "owner", once, 1, 8);
	step(t, 1);
	CU_ASSERT_EQUAL(count_of(t, PLACE_EVICT), 8);
	stop_evicted(t, before);
	step(t, 1);
	CU_ASSERT_PTR_NOT_NULL(last_of(t, PLACE_START, "owner"));
	talloc_free(t);
}

/* Guards against workers that are offered and taken back in quick turns, or offered while needed.
 */
static void test_give_back(void)
{
	struct place_policy policy = default_policy;
	const uint32_t widths[] = {8};
	struct trace *t;
	uint64_t offered;

	policy.give_back = true;
	policy.give_back_idle_ms = 60000;
	policy.give_back_return_ms = 120000;
	t = open_trace(&policy);
	add_workers(t, 4, 8);
	set_organisations(t, widths, NULL, 1);
	for (int i = 0; i < 55; i++)
		step(t, 1000);
	CU_ASSERT_EQUAL(count_of(t, PLACE_OFFER_BACK), 0);
	for (int i = 0; i < 10; i++)
		step(t, 1000);
	CU_ASSERT(count_of(t, PLACE_OFFER_BACK) >= 2);
	CU_ASSERT(count_of(t, PLACE_OFFER_BACK) <= 3);
	offered = t->now;
	fill(t, "a", "a", 4, checkpointable, 8);
	while (count_of(t, PLACE_TAKE_BACK) == 0 && t->now < offered + 200000)
		step(t, 1000);
	CU_ASSERT(t->now - offered >= 110000);
	CU_ASSERT(t->now - offered <= 125000);
	step(t, 1000);
	CU_ASSERT_PTR_NOT_NULL(last_of(t, PLACE_START, "a3"));
	talloc_free(t);
}

/* Guards against placing work on accelerators that something else uses. */
static void test_usage(void)
{
	struct trace *t = open_trace(&default_policy);
	const uint32_t widths[] = {0};

	add_workers(t, 1, 8);
	set_organisations(t, widths, NULL, 1);
	place_usage(t->p, "w0", 0x0f, t->now);
	submit_spec(t, "a", "j0", checkpointable, 1, 4);
	submit_spec(t, "a", "j1", checkpointable, 1, 4);
	step(t, 1);
	CU_ASSERT_EQUAL(count_of(t, PLACE_START), 1);
	CU_ASSERT_EQUAL(last_of(t, PLACE_START, "j0")->mask, 0xf0);
	place_usage(t->p, "w0", 0x00, t->now);
	step(t, 1);
	CU_ASSERT_EQUAL(last_of(t, PLACE_START, "j1")->mask, 0x0f);
	talloc_free(t);
}

/* Guards against guarantees that are accepted although they cannot hold at once. */
static void test_pack(void)
{
	static const struct {
		uint32_t members;
		uint32_t accelerators;
		uint32_t workers;
		int expected;
	} rows[] = {
		{1, 8, 2, 0},
		{1, 8, 1, -ERR_NEVER_FITS},
		{2, 4, 2, 0},
		{2, 8, 3, -ERR_NEVER_FITS},
		{1, 5, 1, -ERR_NEVER_FITS},
		{1, 3, 1, 0},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct place_shape shape = {.members = rows[i].members,
					    .accelerators = rows[i].accelerators,
					    .within = PLACE_WITHIN_RACK};
		struct place_organisation_spec orgs[2] = {
			{.name = "north", .guarantees = &shape, .guarantee_count = 1},
			{.name = "south", .guarantees = &shape, .guarantee_count = 1}};
		struct place_worker_spec workers[3];
		struct err err = {0};

		for (uint32_t k = 0; k < 3; k++)
			workers[k] = (struct place_worker_spec){.name = k == 0	 ? "x"
									: k == 1 ? "y"
										 : "z",
								.zone = "z",
								.rack = "r",
								.accelerators = 8};
		CU_ASSERT_EQUAL(place_pack_guarantees(orgs, 2, workers, rows[i].workers, &err),
				rows[i].expected);
		if (rows[i].expected)
			CU_ASSERT_PTR_NOT_NULL(strstr(err.message, "south"));
	}
}

/* Guards against estimates that drift without bound, or don't learn. */
static void test_estimates(void)
{
	struct class_estimate e = {0};
	struct job job = {.declared_ms = 1000, .estimate = &e};

	CU_ASSERT_EQUAL(estimate_run_ms(&job), 1000);
	for (int i = 0; i < 50; i++)
		estimate_learn(&e, 1000, 4000);
	CU_ASSERT(estimate_run_ms(&job) > 3800 && estimate_run_ms(&job) < 4400);
	for (int i = 0; i < 500; i++)
		estimate_learn(&e, 1, UINT32_MAX);
	CU_ASSERT(estimate_run_ms(&job) <= 16000);
	for (int i = 0; i < 500; i++)
		estimate_learn(&e, UINT32_MAX, 1);
	CU_ASSERT(estimate_run_ms(&job) >= 62);
}

/* Guards against a change of the one definition of fragmentation. */
static void test_fragmentation(void)
{
	static const struct {
		uint64_t free[2];
		uint32_t members;
		uint32_t accelerators;
		double expected;
	} rows[] = {
		{{0xff, 0x00}, 1, 8, 0}, {{0x0f, 0xf0}, 1, 8, 1}, {{0x0f, 0xf0}, 1, 4, 0},
		{{0x55, 0x00}, 1, 2, 1}, {{0x0f, 0xf0}, 2, 4, 0}, {{0x0f, 0x05}, 1, 2, 2.0 / 6},
		{{0x00, 0x00}, 1, 1, 0}, {{0x07, 0x00}, 1, 2, 0},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct frag_worker workers[2] = {{0, 0, rows[i].free[0]}, {0, 0, rows[i].free[1]}};
		struct frag_shape shape = {
			.shape = {.members = rows[i].members, .accelerators = rows[i].accelerators},
			.weight = 1};

		CU_ASSERT_DOUBLE_EQUAL(frag_share(workers, 2, &shape, 1), rows[i].expected, 1e-9);
	}
}

/* Guards against weights that have no effect on where work goes. */
static void test_weights(void)
{
	static const double fragmentation[] = {0.0, 1.0};
	bool lent[2];

	for (size_t i = 0; i < 2; i++) {
		struct place_policy policy = default_policy;
		const uint32_t widths[] = {4, 0};
		struct trace *t;

		policy.weight_fragmentation = fragmentation[i];
		policy.weight_completion = 1 - fragmentation[i];
		t = open_trace(&policy);
		add_workers(t, 2, 8);
		set_organisations(t, widths, NULL, 2);
		fill(t, "b", "b", 1, once, 4);
		fill(t, "b", "c", 1, checkpointable, 2);
		lent[i] = !strcmp(last_of(t, PLACE_START, "c0")->worker,
				  last_of(t, PLACE_START, "b0")->worker);
		talloc_free(t);
	}
	CU_ASSERT_NOT_EQUAL(lent[0], lent[1]);
}

/* Guards against a takeover that places work over jobs granted before. */
static void test_restore(void)
{
	struct trace *t = open_trace(&default_policy);
	struct place_assignment member = {.worker = "w0", .mask = 0x0f};
	struct place_job_spec spec = {.id = "old",
				      .organisation = "a",
				      .class_name = "class",
				      .shape = {.members = 1, .accelerators = 4}};
	const uint32_t widths[] = {0, 8};
	struct err err;

	set_organisations(t, widths, NULL, 2);
	CU_ASSERT_EQUAL(place_restore(t->p, &spec, 3, &member, 1, true, t->now, &err), 0);
	CU_ASSERT_EQUAL(place_restore(t->p, &spec, 3, &member, 1, true, t->now, &err), -ERR_EXISTS);
	add_workers(t, 2, 8);
	submit_spec(t, "b", "new", once, 1, 8);
	step(t, 1);
	CU_ASSERT_STRING_EQUAL(last_of(t, PLACE_START, "new")->worker, "w1");
	place_ended(t->p, "old", 2, PLACE_DONE, NULL, t->now);
	CU_ASSERT_PTR_NOT_NULL(place_explain(t->p, "old", t));
	place_ended(t->p, "old", 3, PLACE_DONE, NULL, t->now);
	CU_ASSERT_PTR_NULL(place_explain(t->p, "old", t));
	talloc_free(t);
}

int main(void)
{
	static const struct {
		const char *name;
		void (*run)(void);
	} tests[] = {
		{"reclaim", test_reclaim},     {"rehome", test_rehome},
		{"once", test_once},	       {"lost workers", test_lost_workers},
		{"large", test_large},	       {"urgent", test_urgent},
		{"health", test_health},       {"losses do not count", test_losses_do_not_count},
		{"burst", test_burst},	       {"give back", test_give_back},
		{"usage", test_usage},	       {"pack", test_pack},
		{"estimates", test_estimates}, {"fragmentation", test_fragmentation},
		{"weights", test_weights},     {"restore", test_restore},
	};
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("place", NULL, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(tests); i++)
		CU_add_test(suite, tests[i].name, tests[i].run);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
