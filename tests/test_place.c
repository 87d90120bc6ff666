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
	struct place *place;
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

static void record_decision(const struct place_decision *decision, void *ctx)
{
	struct trace *trace = ctx;
	struct trace_entry *entry = &trace->entries[trace->count % TRACE_MAX];

	trace->count++;
	memset(entry, 0, sizeof(*entry));
	entry->kind = decision->kind;
	snprintf(entry->job, sizeof(entry->job), "%s", decision->job);
	snprintf(entry->worker, sizeof(entry->worker), "%s",
		 decision->member_count ? decision->members[0].worker : decision->worker);
	snprintf(entry->organisation, sizeof(entry->organisation), "%s", decision->organisation);
	snprintf(entry->reason, sizeof(entry->reason), "%s", decision->reason);
	entry->attempt = decision->attempt;
	entry->grace_ms = decision->grace_ms;
	entry->checkpoint = decision->checkpoint;
	entry->mask = decision->member_count ? decision->members[0].mask : 0;
}

static struct trace *open_trace(const struct place_policy *policy)
{
	struct trace *trace = talloc_zero(NULL, struct trace);

	trace->now = 1000;
	trace->place = place_create(trace, policy, 1);
	return trace;
}

static void step(struct trace *trace, uint64_t later_ms)
{
	struct err err;

	trace->now += later_ms;
	place_step(trace->place, trace->now, record_decision, trace);
	CU_ASSERT_EQUAL(place_check(trace->place, &err), 0);
}

static const struct trace_entry *last_entry(const struct trace *trace, enum place_kind kind,
					    const char *job)
{
	for (size_t i = trace->count; i > 0; i--) {
		const struct trace_entry *entry = &trace->entries[(i - 1) % TRACE_MAX];

		if (entry->kind == kind && (!job || !strcmp(entry->job, job)))
			return entry;
	}
	return NULL;
}

static size_t count_entries(const struct trace *trace, enum place_kind kind)
{
	size_t count = 0;

	for (size_t i = 0; i < trace->count && i < TRACE_MAX; i++)
		count += trace->entries[i].kind == kind;
	return count;
}

static void add_workers(struct trace *trace, uint32_t count, uint32_t accelerators)
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
		place_worker_up(trace->place, &spec, trace->now);
	}
}

/* Adds organisations a, b, …, each with one guarantee of 1 x @widths[i] accelerators; 0: none. */
static void set_organisations(struct trace *trace, const uint32_t *widths,
			      const int32_t *priorities, size_t count)
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
	place_set_organisations(trace->place, specs, count, trace->now);
}

static int submit_spec(struct trace *trace, const char *organisation, const char *id,
		       struct place_job_spec spec, uint32_t members, uint32_t accelerators)
{
	struct err err;

	spec.id = id;
	spec.organisation = organisation;
	spec.class_name = "class";
	spec.shape.members = members;
	spec.shape.accelerators = accelerators;
	spec.declared_ms = spec.declared_ms ? spec.declared_ms : 3600000;
	spec.submitted_ms = trace->now;
	return place_submit(trace->place, &spec, trace->now, &err);
}

static const struct place_job_spec checkpointable = {.checkpoint = true};
static const struct place_job_spec restartable = {.restartable = true};
static const struct place_job_spec run_once = {0};

/* Submits @count jobs @prefix0, @prefix1, … and reports those that start as running. */
static void submit_and_start(struct trace *trace, const char *organisation, const char *prefix,
			     uint32_t count, struct place_job_spec spec, uint32_t accelerators)
{
	for (uint32_t i = 0; i < count; i++) {
		const struct trace_entry *entry;
		char id[24];

		snprintf(id, sizeof(id), "%s%u", prefix, i);
		CU_ASSERT_EQUAL(submit_spec(trace, organisation, id, spec, 1, accelerators), 0);
		step(trace, 1);
		entry = last_entry(trace, PLACE_START, id);
		if (entry)
			place_started(trace->place, id, entry->attempt, trace->now);
	}
}

static void stop_evicted(struct trace *trace, size_t from)
{
	size_t end = trace->count;

	for (size_t i = from; i < end; i++) {
		const struct trace_entry *entry = &trace->entries[i % TRACE_MAX];

		if (entry->kind == PLACE_EVICT)
			place_ended(trace->place, entry->job, entry->attempt, PLACE_STOPPED, NULL,
				    trace->now);
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
		struct trace *trace = open_trace(&default_policy);
		const uint32_t widths[] = {rows[i].width, 0};
		const struct trace_entry *entry;
		size_t before;

		add_workers(trace, 2, 8);
		set_organisations(trace, widths, NULL, 2);
		submit_and_start(trace, "b", "b", 16,
				 rows[i].checkpoint ? checkpointable : restartable, 1);
		before = trace->count;
		submit_spec(trace, "a", "owner", run_once, 1, rows[i].width);
		step(trace, 60000);
		entry = last_entry(trace, PLACE_EVICT, NULL);
		CU_ASSERT_PTR_NOT_NULL_FATAL(entry);
		if (!entry)
			return;
		CU_ASSERT_EQUAL(count_entries(trace, PLACE_EVICT), rows[i].width);
		CU_ASSERT_EQUAL(entry->checkpoint, rows[i].checkpoint);
		CU_ASSERT_EQUAL(entry->grace_ms, 2000);
		CU_ASSERT_PTR_NULL(last_entry(trace, PLACE_START, "owner"));
		stop_evicted(trace, before);
		step(trace, 10);
		CU_ASSERT_PTR_NOT_NULL(last_entry(trace, PLACE_START, "owner"));
		talloc_free(trace);
	}
}

/* Guards against evicting borrowed work when the cells of the guarantee can move to free ones. */
static void test_rehome(void)
{
	struct trace *trace = open_trace(&default_policy);
	const uint32_t widths[] = {8, 0};
	const struct trace_entry *entry;

	add_workers(trace, 2, 8);
	set_organisations(trace, widths, NULL, 2);
	step(trace, 1);
	submit_and_start(trace, "b", "b", 16, restartable, 1);
	entry = last_entry(trace, PLACE_START, "b0");
	for (int i = 0; i < 16; i++) {
		char id[24];
		const struct trace_entry *other;

		snprintf(id, sizeof(id), "b%d", i);
		other = last_entry(trace, PLACE_START, id);
		if (!strcmp(other->worker, entry->worker))
			place_ended(trace->place, id, other->attempt, PLACE_DONE, NULL, trace->now);
	}
	submit_spec(trace, "a", "owner", checkpointable, 1, 8);
	step(trace, 1);
	CU_ASSERT_PTR_NOT_NULL(last_entry(trace, PLACE_START, "owner"));
	CU_ASSERT_EQUAL(count_entries(trace, PLACE_EVICT), 0);
	talloc_free(trace);
}

/* Guards against running work that may run only once where a reclaim would have to stop it. */
static void test_once(void)
{
	struct trace *trace = open_trace(&default_policy);
	const uint32_t widths[] = {8, 0};
	const struct trace_entry *entry;

	add_workers(trace, 2, 8);
	set_organisations(trace, widths, NULL, 2);
	submit_and_start(trace, "b", "b", 3, run_once, 4);
	CU_ASSERT_EQUAL(count_entries(trace, PLACE_START), 2);
	submit_spec(trace, "a", "owner", run_once, 1, 8);
	step(trace, 1);
	entry = last_entry(trace, PLACE_START, "owner");
	CU_ASSERT_PTR_NOT_NULL_FATAL(entry);
	CU_ASSERT_EQUAL(count_entries(trace, PLACE_EVICT), 0);
	place_worker_down(trace->place, entry->worker, trace->now);
	step(trace, 1);
	CU_ASSERT_STRING_EQUAL(last_entry(trace, PLACE_FAIL, "owner")->reason, "outcome unknown");
	talloc_free(trace);
}

/* Guards against guarantees that are met in part, or out of priority, when workers are lost. */
static void test_lost_workers(void)
{
	struct trace *trace = open_trace(&default_policy);
	const uint32_t widths[] = {8, 8, 8};
	const int32_t priorities[] = {1, 3, 2};
	struct place_stats stats;

	add_workers(trace, 3, 8);
	set_organisations(trace, widths, priorities, 3);
	step(trace, 1);
	CU_ASSERT_EQUAL(count_entries(trace, PLACE_GUARANTEE_UNMET), 0);
	place_worker_down(trace->place, "w1", trace->now);
	step(trace, 1);
	CU_ASSERT_STRING_EQUAL(last_entry(trace, PLACE_GUARANTEE_UNMET, NULL)->organisation, "a");
	place_worker_down(trace->place, "w2", trace->now);
	step(trace, 1);
	CU_ASSERT_STRING_EQUAL(last_entry(trace, PLACE_GUARANTEE_UNMET, NULL)->organisation, "c");
	CU_ASSERT_EQUAL(count_entries(trace, PLACE_GUARANTEE_UNMET), 2);
	add_workers(trace, 3, 8);
	step(trace, 1);
	CU_ASSERT_EQUAL(count_entries(trace, PLACE_GUARANTEE_MET), 2);
	place_stats(trace->place, &stats);
	CU_ASSERT_EQUAL(stats.guarantees_unmet, 0);
	talloc_free(trace);
}

/* Guards against starvation of large jobs by a steady stream of small ones. */
static void test_large(void)
{
	struct trace *trace = open_trace(&default_policy);
	const uint32_t widths[] = {0, 0};
	bool started = false;

	add_workers(trace, 4, 8);
	set_organisations(trace, widths, NULL, 2);
	submit_and_start(trace, "b", "b", 40, checkpointable, 1);
	step(trace, 600000);
	submit_spec(trace, "a", "large", checkpointable, 1, 8);
	for (int round = 0; round < 20 && !started; round++) {
		size_t before = trace->count;
		char id[24];

		snprintf(id, sizeof(id), "more%d", round);
		submit_spec(trace, "b", id, checkpointable, 1, 1);
		step(trace, 1000);
		stop_evicted(trace, before);
		step(trace, 10);
		started = last_entry(trace, PLACE_START, "large") != NULL;
	}
	CU_ASSERT(started);
	talloc_free(trace);
}

/* Guards against urgent work that waits until running work ends: it must start within 4.1 s. */
static void test_urgent(void)
{
	struct trace *trace = open_trace(&default_policy);
	const struct place_job_spec urgent = {.urgent = true};
	const uint32_t widths[] = {0, 0};
	uint64_t submitted;
	size_t before;

	add_workers(trace, 2, 8);
	set_organisations(trace, widths, NULL, 2);
	submit_and_start(trace, "b", "b", 4, checkpointable, 4);
	before = trace->count;
	submit_spec(trace, "a", "urgent", urgent, 1, 1);
	submitted = trace->now;
	step(trace, 1);
	CU_ASSERT_PTR_NOT_NULL_FATAL(last_entry(trace, PLACE_EVICT, NULL));
	trace->now += last_entry(trace, PLACE_EVICT, NULL)->grace_ms;
	stop_evicted(trace, before);
	step(trace, 1);
	CU_ASSERT_PTR_NOT_NULL(last_entry(trace, PLACE_START, "urgent"));
	CU_ASSERT(trace->now - submitted <= 4100);
	talloc_free(trace);
}

/* Runs all jobs that start; jobs named bad* fail on all workers, all jobs fail on @bad_worker. */
static void run_health(struct trace *trace, const char *bad_worker, int rounds)
{
	for (int round = 0; round < rounds; round++) {
		size_t before = trace->count;

		step(trace, 1000);
		for (size_t i = before; i < trace->count; i++) {
			struct trace_entry entry = trace->entries[i % TRACE_MAX];

			if (entry.kind != PLACE_START)
				continue;
			if (!strncmp(entry.job, "bad", 3) || !strcmp(entry.worker, bad_worker)) {
				place_ended(trace->place, entry.job, entry.attempt,
					    PLACE_START_FAILED, entry.worker, trace->now);
				continue;
			}
			place_started(trace->place, entry.job, entry.attempt, trace->now);
			place_ended(trace->place, entry.job, entry.attempt, PLACE_DONE, NULL,
				    trace->now);
		}
	}
}

/* Guards against start failures blamed on the wrong cause: a bad job, a bad worker or both. */
static void test_health(void)
{
	static const struct {
		const char *bad_worker;
		uint32_t bad_jobs;
	} rows[] = {{"", 1}, {"w0", 0}, {"w0", 2}};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct trace *trace = open_trace(&default_policy);
		const uint32_t widths[] = {0};
		bool bad = rows[i].bad_worker[0] != '\0';
		char id[24];

		add_workers(trace, 6, 8);
		set_organisations(trace, widths, NULL, 1);
		for (uint32_t k = 0; k < rows[i].bad_jobs; k++) {
			snprintf(id, sizeof(id), "bad%u", k);
			submit_spec(trace, "a", id, restartable, 1, 2);
		}
		for (int round = 0; round < 120; round++) {
			snprintf(id, sizeof(id), "good%d", round);
			submit_spec(trace, "a", id, restartable, 1, 2);
			run_health(trace, rows[i].bad_worker, 1);
		}
		run_health(trace, rows[i].bad_worker, 60);
		CU_ASSERT_EQUAL(count_entries(trace, PLACE_FAIL), rows[i].bad_jobs);
		CU_ASSERT_EQUAL(last_entry(trace, PLACE_QUARANTINE, NULL) != NULL, bad);
		if (bad)
			CU_ASSERT_STRING_EQUAL(last_entry(trace, PLACE_QUARANTINE, NULL)->worker,
					       "w0");
		for (int round = 0; round < 200; round++) {
			snprintf(id, sizeof(id), "late%d", round);
			submit_spec(trace, "a", id, restartable, 1, 2);
			run_health(trace, "", 1);
		}
		CU_ASSERT_EQUAL(last_entry(trace, PLACE_READMIT, NULL) != NULL, bad);
		talloc_free(trace);
	}
}

/* Guards against failing a job because its workers were lost again and again. */
static void test_losses_do_not_count(void)
{
	struct trace *trace = open_trace(&default_policy);
	const uint32_t widths[] = {0};

	add_workers(trace, 4, 8);
	set_organisations(trace, widths, NULL, 1);
	submit_spec(trace, "a", "job", restartable, 1, 8);
	for (int i = 0; i < 30; i++) {
		step(trace, 1000);
		CU_ASSERT_EQUAL(last_entry(trace, PLACE_START, "job")->attempt, (uint32_t)i + 1);
		place_worker_down(trace->place, last_entry(trace, PLACE_START, "job")->worker,
				  trace->now);
		add_workers(trace, 4, 8);
	}
	CU_ASSERT_EQUAL(count_entries(trace, PLACE_FAIL), 0);
	talloc_free(trace);
}

/* Guards against one organisation's burst delaying another's guaranteed work. */
static void test_burst(void)
{
	struct trace *trace = open_trace(&default_policy);
	const uint32_t widths[] = {8, 0};
	size_t before;
	char id[24];

	add_workers(trace, 4, 8);
	set_organisations(trace, widths, NULL, 2);
	submit_and_start(trace, "b", "b", 32, checkpointable, 1);
	for (int i = 0; i < 2000; i++) {
		snprintf(id, sizeof(id), "burst%d", i);
		submit_spec(trace, "b", id, checkpointable, 1, 1);
	}
	for (int i = 0; i < 1000; i++) {
		snprintf(id, sizeof(id), "burst%d", i * 2);
		CU_ASSERT_EQUAL(place_cancel(trace->place, id, trace->now), 0);
	}
	before = trace->count;
	submit_spec(trace, "a", "owner", run_once, 1, 8);
	step(trace, 1);
	CU_ASSERT_EQUAL(count_entries(trace, PLACE_EVICT), 8);
	stop_evicted(trace, before);
	step(trace, 1);
	CU_ASSERT_PTR_NOT_NULL(last_entry(trace, PLACE_START, "owner"));
	talloc_free(trace);
}

/* Guards against workers that are offered and taken back too quickly, or offered while needed. */
static void test_give_back(void)
{
	struct place_policy policy = default_policy;
	const uint32_t widths[] = {8};
	struct trace *trace;
	uint64_t offered;

	policy.give_back = true;
	policy.give_back_idle_ms = 60000;
	policy.give_back_return_ms = 120000;
	trace = open_trace(&policy);
	add_workers(trace, 4, 8);
	set_organisations(trace, widths, NULL, 1);
	for (int i = 0; i < 55; i++)
		step(trace, 1000);
	CU_ASSERT_EQUAL(count_entries(trace, PLACE_OFFER_BACK), 0);
	for (int i = 0; i < 10; i++)
		step(trace, 1000);
	CU_ASSERT(count_entries(trace, PLACE_OFFER_BACK) >= 2);
	CU_ASSERT(count_entries(trace, PLACE_OFFER_BACK) <= 3);
	offered = trace->now;
	submit_and_start(trace, "a", "a", 4, checkpointable, 8);
	while (count_entries(trace, PLACE_TAKE_BACK) == 0 && trace->now < offered + 200000)
		step(trace, 1000);
	CU_ASSERT(trace->now - offered >= 110000);
	CU_ASSERT(trace->now - offered <= 125000);
	step(trace, 1000);
	CU_ASSERT_PTR_NOT_NULL(last_entry(trace, PLACE_START, "a3"));
	talloc_free(trace);
}

/* Guards against placing work on accelerators that are in use without a grant. */
static void test_usage(void)
{
	struct trace *trace = open_trace(&default_policy);
	const uint32_t widths[] = {0};

	add_workers(trace, 1, 8);
	set_organisations(trace, widths, NULL, 1);
	place_usage(trace->place, "w0", 0x0f, trace->now);
	submit_spec(trace, "a", "j0", checkpointable, 1, 4);
	submit_spec(trace, "a", "j1", checkpointable, 1, 4);
	step(trace, 1);
	CU_ASSERT_EQUAL(count_entries(trace, PLACE_START), 1);
	CU_ASSERT_EQUAL(last_entry(trace, PLACE_START, "j0")->mask, 0xf0);
	place_usage(trace->place, "w0", 0x00, trace->now);
	step(trace, 1);
	CU_ASSERT_EQUAL(last_entry(trace, PLACE_START, "j1")->mask, 0x0f);
	talloc_free(trace);
}

/* Guards against accepting guarantees that cannot all be met at once. */
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

/* Guards against estimates without bounds, and estimates that do not follow the samples. */
static void test_estimates(void)
{
	struct class_estimate estimate = {0};
	struct job job = {.declared_ms = 1000, .estimate = &estimate};

	CU_ASSERT_EQUAL(estimate_run_ms(&job), 1000);
	for (int i = 0; i < 50; i++)
		estimate_learn(&estimate, 1000, 4000);
	CU_ASSERT(estimate_run_ms(&job) > 3800 && estimate_run_ms(&job) < 4400);
	for (int i = 0; i < 500; i++)
		estimate_learn(&estimate, 1, UINT32_MAX);
	CU_ASSERT(estimate_run_ms(&job) <= 16000);
	for (int i = 0; i < 500; i++)
		estimate_learn(&estimate, UINT32_MAX, 1);
	CU_ASSERT(estimate_run_ms(&job) >= 62);
}

/* Guards against an unintended change of the definition of fragmentation in frag.h. */
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

/* Guards against policy weights that have no effect on placement. */
static void test_weights(void)
{
	static const double fragmentation[] = {0.0, 1.0};
	bool lent[2];

	for (size_t i = 0; i < 2; i++) {
		struct place_policy policy = default_policy;
		const uint32_t widths[] = {4, 0};
		struct trace *trace;

		policy.weight_fragmentation = fragmentation[i];
		policy.weight_completion = 1 - fragmentation[i];
		trace = open_trace(&policy);
		add_workers(trace, 2, 8);
		set_organisations(trace, widths, NULL, 2);
		submit_and_start(trace, "b", "b", 1, run_once, 4);
		submit_and_start(trace, "b", "c", 1, checkpointable, 2);
		lent[i] = !strcmp(last_entry(trace, PLACE_START, "c0")->worker,
				  last_entry(trace, PLACE_START, "b0")->worker);
		talloc_free(trace);
	}
	CU_ASSERT_NOT_EQUAL(lent[0], lent[1]);
}

/* Guards against placing work on the accelerators of restored jobs after a takeover. */
static void test_restore(void)
{
	struct trace *trace = open_trace(&default_policy);
	struct place_assignment member = {.worker = "w0", .mask = 0x0f};
	struct place_job_spec spec = {.id = "old",
				      .organisation = "a",
				      .class_name = "class",
				      .shape = {.members = 1, .accelerators = 4}};
	const uint32_t widths[] = {0, 8};
	struct err err;

	set_organisations(trace, widths, NULL, 2);
	CU_ASSERT_EQUAL(place_restore(trace->place, &spec, 3, &member, 1, true, trace->now, &err),
			0);
	CU_ASSERT_EQUAL(place_restore(trace->place, &spec, 3, &member, 1, true, trace->now, &err),
			-ERR_EXISTS);
	add_workers(trace, 2, 8);
	submit_spec(trace, "b", "new", run_once, 1, 8);
	step(trace, 1);
	CU_ASSERT_STRING_EQUAL(last_entry(trace, PLACE_START, "new")->worker, "w1");
	place_ended(trace->place, "old", 2, PLACE_DONE, NULL, trace->now);
	CU_ASSERT_PTR_NOT_NULL(place_explain(trace->place, "old", trace));
	place_ended(trace->place, "old", 3, PLACE_DONE, NULL, trace->now);
	CU_ASSERT_PTR_NULL(place_explain(trace->place, "old", trace));
	talloc_free(trace);
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
