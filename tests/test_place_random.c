#include "place.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Random histories against an independent model of who holds which accelerator. A failing seed is
 * printed; JAYCOURSE_SEED=N runs only that one.
 */

enum {
	SEEDS = 2000,
	EVENTS = 90,
	WORKERS_MAX = 10,
	ORGANISATIONS = 4,
	JOBS_MAX = 400,
	DRAIN_ROUNDS = 600,
};

enum model_state {
	MODEL_WAITING,
	MODEL_STARTING,
	MODEL_RUNNING,
	MODEL_STOPPING,
	MODEL_ENDED,
};

struct model_job {
	char id[16];
	struct place_shape shape;
	enum model_state state;
	bool once; /* neither checkpoint nor restart */
	bool ran;
	bool cancelled;
	uint32_t attempt;
	uint32_t worker[PLACE_MEMBERS_MAX];
	uint64_t mask[PLACE_MEMBERS_MAX];
};

struct model_worker {
	char name[16];
	char rack[16];
	char zone[16];
	uint32_t accelerators;
	uint32_t cores;
	bool up;
	bool draining;
	uint64_t held;
	uint32_t cores_held;
};

struct model {
	struct place *place;
	struct util_rng rng;
	uint64_t now;
	struct model_worker workers[WORKERS_MAX];
	uint32_t worker_count;
	struct model_job jobs[JOBS_MAX];
	uint32_t job_count;
	const char *fault;
	char detail[ERR_TEXT_MAX]; /* of the first violation that place_check() reports */
};

static uint32_t below(struct model *m, uint32_t bound)
{
	return (uint32_t)util_rng_below(&m->rng, bound);
}

static void require(struct model *m, bool holds, const char *fault)
{
	if (!holds && !m->fault)
		m->fault = fault;
}

static struct model_job *find_job(struct model *m, const char *id)
{
	for (uint32_t i = 0; i < m->job_count; i++) {
		if (!strcmp(m->jobs[i].id, id))
			return &m->jobs[i];
	}
	return NULL;
}

static uint32_t find_worker(struct model *m, const char *name)
{
	uint32_t i = 0;

	while (i < m->worker_count && strcmp(m->workers[i].name, name) != 0)
		i++;
	return i;
}

static bool holds(const struct model_job *job)
{
	return job->state >= MODEL_STARTING && job->state <= MODEL_STOPPING;
}

static bool adjacent(uint64_t mask, uint32_t width)
{
	if (width == 0)
		return mask == 0;
	return mask && __builtin_popcountll(mask) == (int)width &&
	       ((mask >> __builtin_ctzll(mask)) & ((mask >> __builtin_ctzll(mask)) + 1)) == 0;
}

static bool near_enough(const struct model_worker *a, const struct model_worker *b,
			enum place_within within)
{
	if (within == PLACE_WITHIN_WORKER)
		return a == b;
	if (strcmp(a->zone, b->zone) != 0)
		return false;
	return within == PLACE_WITHIN_ZONE || !strcmp(a->rack, b->rack);
}

static void take_member(struct model *m, struct model_job *job, uint32_t i,
			const struct place_assignment *a)
{
	uint32_t index = find_worker(m, a->worker);
	struct model_worker *w = &m->workers[index];

	require(m, index < m->worker_count && w->up, "placed on an unknown or lost worker");
	if (m->fault)
		return;
	require(m, !w->draining, "placed on a draining worker");
	require(m, adjacent(a->mask, job->shape.accelerators), "accelerators not adjacent");
	require(m, !(a->mask & w->held), "accelerator held twice");
	require(m, w->accelerators >= 64 || !(a->mask >> w->accelerators), "no such accelerator");
	require(m, w->cores_held + job->shape.cores <= w->cores, "cores held twice");
	job->worker[i] = index;
	job->mask[i] = a->mask;
	require(m, near_enough(&m->workers[job->worker[0]], w, job->shape.within), "too far apart");
	w->held |= a->mask;
	w->cores_held += job->shape.cores;
}

static void on_start(struct model *m, struct model_job *job, const struct place_decision *d)
{
	require(m, job->state == MODEL_WAITING, "started while not waiting");
	require(m, !job->cancelled, "started after its cancellation");
	require(m, !(job->once && job->ran), "run twice although it may run once");
	require(m, d->member_count == job->shape.members, "gang placed in part");
	require(m, d->attempt > job->attempt, "attempt does not grow");
	job->attempt = d->attempt;
	job->state = MODEL_STARTING;
	for (uint32_t i = 0; i < d->member_count && !m->fault; i++)
		take_member(m, job, i, &d->members[i]);
}

static void on_decision(const struct place_decision *d, void *ctx)
{
	struct model *m = ctx;
	struct model_job *job = d->job[0] ? find_job(m, d->job) : NULL;

	if (d->kind == PLACE_START || d->kind == PLACE_EVICT || d->kind == PLACE_FAIL)
		require(m, job && job->state != MODEL_ENDED, "decision on an unknown or ended job");
	if (m->fault || !job)
		return;
	if (d->kind == PLACE_START) {
		on_start(m, job, d);
	} else if (d->kind == PLACE_EVICT) {
		require(m, job->state == MODEL_STARTING || job->state == MODEL_RUNNING,
			"stopped while not placed");
		require(m, !job->once || job->cancelled, "evicted although it may run only once");
		job->state = MODEL_STOPPING;
	} else if (d->kind == PLACE_FAIL) {
		require(m, job->state == MODEL_WAITING, "given up while placed");
		job->state = MODEL_ENDED;
	}
}

static void release(struct model *m, struct model_job *job)
{
	for (uint32_t i = 0; i < job->shape.members; i++) {
		m->workers[job->worker[i]].held &= ~job->mask[i];
		m->workers[job->worker[i]].cores_held -= job->shape.cores;
	}
	job->state = job->cancelled ? MODEL_ENDED : MODEL_WAITING;
}

static void end_attempt(struct model *m, struct model_job *job, enum place_outcome outcome)
{
	const char *worker = m->workers[job->worker[below(m, job->shape.members)]].name;

	if (outcome == PLACE_STOPPED || outcome == PLACE_WORKER_LOST)
		job->ran = true;
	release(m, job);
	if (outcome == PLACE_DONE || outcome == PLACE_JOB_FAILED)
		job->state = MODEL_ENDED;
	place_ended(m->place, job->id, job->attempt, outcome, worker, m->now);
	/* A report that comes twice, or late, must change nothing. */
	place_ended(m->place, job->id, job->attempt, outcome, worker, m->now);
}

static void submit(struct model *m)
{
	static const uint32_t widths[] = {0, 1, 1, 1, 2, 2, 3, 4, 8};
	struct model_job *job = &m->jobs[m->job_count];
	struct place_job_spec spec = {.class_name = "c", .submitted_ms = m->now};
	char organisation[16];
	struct err err;

	if (m->job_count == JOBS_MAX)
		return;
	memset(job, 0, sizeof(*job));
	snprintf(job->id, sizeof(job->id), "j%u", m->job_count);
	snprintf(organisation, sizeof(organisation), "o%u", below(m, ORGANISATIONS));
	job->shape.members = below(m, 4) ? 1 : 1 + below(m, 4);
	job->shape.accelerators = widths[below(m, G_N_ELEMENTS(widths))];
	job->shape.cores = below(m, 12);
	job->shape.within = (enum place_within)below(m, 3);
	spec.id = job->id;
	spec.organisation = organisation;
	spec.shape = job->shape;
	spec.declared_ms = 1000 + below(m, 600000);
	spec.urgent = below(m, 8) == 0;
	spec.checkpoint = below(m, 2);
	spec.restartable = below(m, 2);
	job->once = !spec.checkpoint && !spec.restartable;
	if (place_submit(m->place, &spec, m->now, &err) == 0)
		m->job_count++;
}

static struct model_job *pick(struct model *m, bool placed)
{
	uint32_t start = m->job_count ? below(m, m->job_count) : 0;

	for (uint32_t i = 0; i < m->job_count; i++) {
		struct model_job *job = &m->jobs[(start + i) % m->job_count];

		if (placed ? holds(job) : job->state != MODEL_ENDED)
			return job;
	}
	return NULL;
}

static void end_some(struct model *m)
{
	static const enum place_outcome outcomes[] = {PLACE_DONE,	 PLACE_DONE,
						      PLACE_JOB_FAILED,	 PLACE_START_FAILED,
						      PLACE_WORKER_LOST, PLACE_HOLD_REFUSED};
	struct model_job *job = pick(m, true);
	enum place_outcome outcome = outcomes[below(m, G_N_ELEMENTS(outcomes))];

	if (!job)
		return;
	if (job->state == MODEL_STOPPING && below(m, 2))
		outcome = PLACE_STOPPED;
	if (job->state == MODEL_RUNNING && outcome == PLACE_HOLD_REFUSED)
		outcome = PLACE_DONE;
	end_attempt(m, job, outcome);
}

static void start_some(struct model *m)
{
	struct model_job *job = pick(m, true);

	if (!job || job->state != MODEL_STARTING)
		return;
	job->state = MODEL_RUNNING;
	job->ran = true;
	place_started(m->place, job->id, job->attempt, m->now);
	place_checkpointed(m->place, job->id, below(m, 1000));
}

static void cancel_some(struct model *m)
{
	struct model_job *job = pick(m, false);
	int ret;

	if (!job)
		return;
	ret = place_cancel(m->place, job->id, m->now);
	if (ret == -ERR_NOT_FOUND)
		return; /* given up; its PLACE_FAIL is due */
	require(m, ret == (holds(job) ? 1 : 0), "wrong answer to a cancellation");
	job->cancelled = true;
	if (ret == 0)
		job->state = MODEL_ENDED;
}

static void worker_up(struct model *m, struct model_worker *w)
{
	struct place_worker_spec spec = {.name = w->name,
					 .zone = w->zone,
					 .rack = w->rack,
					 .accelerators = w->accelerators,
					 .cores = w->cores};

	w->up = true;
	place_worker_up(m->place, &spec, m->now);
}

static void worker_down(struct model *m, uint32_t index)
{
	for (uint32_t i = 0; i < m->job_count; i++) {
		struct model_job *job = &m->jobs[i];
		bool touched = false;

		for (uint32_t k = 0; k < job->shape.members && holds(job); k++)
			touched |= job->worker[k] == index;
		if (!touched)
			continue;
		job->ran = true;
		release(m, job);
	}
	m->workers[index].up = false;
	place_worker_down(m->place, m->workers[index].name, m->now);
}

static void change_worker(struct model *m)
{
	uint32_t index = below(m, m->worker_count);
	struct model_worker *w = &m->workers[index];

	if (!w->up) {
		worker_up(m, w);
	} else if (below(m, 2)) {
		worker_down(m, index);
	} else {
		w->draining = !w->draining;
		place_worker_drain(m->place, w->name, w->draining, m->now);
	}
}

static void set_organisations(struct model *m, bool guarantees)
{
	static const uint32_t widths[] = {1, 2, 3, 4, 8};
	struct place_organisation_spec specs[ORGANISATIONS] = {0};
	struct place_shape shapes[ORGANISATIONS][2] = {0};
	char names[ORGANISATIONS][16];

	for (uint32_t i = 0; i < ORGANISATIONS; i++) {
		snprintf(names[i], sizeof(names[i]), "o%u", i);
		specs[i].name = names[i];
		specs[i].guarantees = shapes[i];
		specs[i].guarantee_count = guarantees ? below(m, 3) : 0;
		specs[i].priority = (int32_t)below(m, 3);
		specs[i].share = 1 + below(m, 3);
		for (uint32_t k = 0; k < 2; k++) {
			shapes[i][k].members = 1 + below(m, 2);
			shapes[i][k].accelerators = widths[below(m, G_N_ELEMENTS(widths))];
			shapes[i][k].cores = below(m, 8);
			shapes[i][k].within = (enum place_within)below(m, 2);
		}
	}
	place_set_organisations(m->place, specs, ORGANISATIONS, m->now);
}

static void set_policy(struct model *m)
{
	struct place_policy policy = {
		.weight_completion = util_rng_unit(&m->rng),
		.weight_fragmentation = util_rng_unit(&m->rng),
		.lend_idle = below(m, 4) > 0,
		.give_back = below(m, 2),
		.give_back_idle_ms = 10000,
		.give_back_return_ms = 20000,
		.reclaim_grace_ms = 1000,
	};

	place_set_policy(m->place, &policy);
}

static void prove(struct model *m)
{
	struct err err;

	if (place_check(m->place, &err) == 0 || m->fault)
		return;
	snprintf(m->detail, sizeof(m->detail), "%s", err.message);
	m->fault = "place_check() reports a violation";
}

static void check(struct model *m)
{
	struct place_stats stats;
	uint32_t open = 0;
	uint32_t used = 0;

	prove(m);
	place_stats(m->place, &stats);
	for (uint32_t i = 0; i < m->job_count; i++)
		open += m->jobs[i].state != MODEL_ENDED;
	for (uint32_t i = 0; i < m->worker_count; i++)
		used += (uint32_t)__builtin_popcountll(m->workers[i].held);
	require(m, stats.jobs_waiting + stats.jobs_placed == open,
		"a job is lost or counted twice");
	require(m, stats.accelerators_used == used, "accelerators in use differ from the model");
	require(m, place_fragmentation(m->place) >= 0 && place_fragmentation(m->place) <= 1,
		"fragmentation out of range");
}

static void step(struct model *m)
{
	prove(m);
	place_step(m->place, m->now, on_decision, m);
	check(m);
}

static void random_event(struct model *m)
{
	uint32_t kind = below(m, 100);

	m->now += below(m, 10) ? below(m, 2000) : below(m, 120000);
	if (kind < 40)
		submit(m);
	else if (kind < 62)
		start_some(m);
	else if (kind < 84)
		end_some(m);
	else if (kind < 90)
		cancel_some(m);
	else if (kind < 96)
		change_worker(m);
	else if (kind < 98)
		set_organisations(m, true);
	else
		set_policy(m);
	step(m);
}

/* With every worker back and no guarantees, all jobs must come to an end. */
static void drain(struct model *m)
{
	uint32_t open = 1;

	set_organisations(m, false);
	for (uint32_t i = 0; i < m->worker_count; i++) {
		struct model_worker *w = &m->workers[i];

		w->draining = false;
		place_worker_drain(m->place, w->name, false, m->now);
		worker_up(m, w);
	}
	for (int round = 0; round < DRAIN_ROUNDS && open && !m->fault; round++) {
		m->now += 5000;
		step(m);
		open = 0;
		for (uint32_t i = 0; i < m->job_count; i++) {
			struct model_job *job = &m->jobs[i];

			open += job->state != MODEL_ENDED;
			if (job->state == MODEL_STARTING) {
				job->state = MODEL_RUNNING;
				job->ran = true;
				place_started(m->place, job->id, job->attempt, m->now);
			} else if (holds(job)) {
				end_attempt(m, job, PLACE_DONE);
			}
		}
	}
	for (uint32_t i = 0; i < m->job_count && open && !m->fault; i++) {
		char *text = place_explain(m->place, m->jobs[i].id, m->place);

		if (m->jobs[i].state != MODEL_ENDED && text)
			snprintf(m->detail, sizeof(m->detail), "%s: %s", m->jobs[i].id, text);
	}
	require(m, open == 0, "a job never ended");
}

static void create_workers(struct model *m)
{
	static const uint32_t widths[] = {8, 8, 4, 1, 0};

	m->worker_count = 3 + below(m, WORKERS_MAX - 2);
	for (uint32_t i = 0; i < m->worker_count; i++) {
		struct model_worker *w = &m->workers[i];

		snprintf(w->name, sizeof(w->name), "w%u", i);
		snprintf(w->rack, sizeof(w->rack), "r%u", i / 3);
		snprintf(w->zone, sizeof(w->zone), "z%u", i / 6);
		w->accelerators = widths[below(m, G_N_ELEMENTS(widths))];
		w->cores = 16 + below(m, 48);
		worker_up(m, w);
	}
}

static bool run_history(uint64_t seed)
{
	struct place_policy policy = {.weight_completion = 0.5,
				      .weight_fragmentation = 0.5,
				      .lend_idle = true,
				      .reclaim_grace_ms = 1000};
	struct model *m = g_new0(struct model, 1);
	bool good;

	m->rng.state = seed;
	m->now = 1000;
	m->place = place_create(NULL, &policy, seed);
	create_workers(m);
	set_organisations(m, true);
	for (int i = 0; i < EVENTS && !m->fault; i++)
		random_event(m);
	if (!m->fault)
		drain(m);
	good = m->fault == NULL;
	if (!good)
		printf("seed %llu: %s (%s)\n", (unsigned long long)seed, m->fault, m->detail);
	talloc_free(m->place);
	g_free(m);
	return good;
}

/* Guards against doubled accelerators, partial gangs, lost or doubled jobs, broken guarantees. */
static void test_histories(void)
{
	const char *only = getenv("JAYCOURSE_SEED");
	uint64_t first = only ? strtoull(only, NULL, 10) : 0;
	uint64_t last = only ? first + 1 : SEEDS;
	int failures = 0;

	for (uint64_t seed = first; seed < last && failures < 5; seed++)
		failures += !run_history(seed);
	CU_ASSERT_EQUAL(failures, 0);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("place_random", NULL, NULL);
	CU_add_test(suite, "histories", test_histories);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
