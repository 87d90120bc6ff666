#include "place.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Runs random sequences of events and compares the decisions with an independent model of the
 * accelerators that each job is granted. The seed of a failing sequence is printed;
 * JAYCOURSE_SEED=N runs only seed N.
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
	bool once; /* may run only once: can neither be checkpointed nor restarted */
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
	uint64_t granted;
	uint32_t cores_granted;
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

static uint32_t random_below(struct model *model, uint32_t bound)
{
	return (uint32_t)util_rng_below(&model->rng, bound);
}

static void require(struct model *model, bool condition, const char *fault)
{
	if (!condition && !model->fault)
		model->fault = fault;
}

static struct model_job *find_job(struct model *model, const char *id)
{
	for (uint32_t i = 0; i < model->job_count; i++) {
		if (!strcmp(model->jobs[i].id, id))
			return &model->jobs[i];
	}
	return NULL;
}

static uint32_t find_worker(struct model *model, const char *name)
{
	uint32_t i = 0;

	while (i < model->worker_count && strcmp(model->workers[i].name, name) != 0)
		i++;
	return i;
}

static bool is_placed(const struct model_job *job)
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

static bool satisfies_within(const struct model_worker *a, const struct model_worker *b,
			     enum place_within within)
{
	if (within == PLACE_WITHIN_WORKER)
		return a == b;
	if (strcmp(a->zone, b->zone) != 0)
		return false;
	return within == PLACE_WITHIN_ZONE || !strcmp(a->rack, b->rack);
}

static void grant_member(struct model *model, struct model_job *job, uint32_t i,
			 const struct place_assignment *assignment)
{
	uint32_t index = find_worker(model, assignment->worker);
	struct model_worker *worker = &model->workers[index];

	require(model, index < model->worker_count && worker->up,
		"placed on an unknown or lost worker");
	if (model->fault)
		return;
	require(model, !worker->draining, "placed on a draining worker");
	require(model, adjacent(assignment->mask, job->shape.accelerators),
		"accelerators not adjacent");
	require(model, !(assignment->mask & worker->granted), "accelerator granted twice");
	require(model, worker->accelerators >= 64 || !(assignment->mask >> worker->accelerators),
		"granted an accelerator that does not exist");
	require(model, worker->cores_granted + job->shape.cores <= worker->cores,
		"more cores granted than the worker has");
	job->worker[i] = index;
	job->mask[i] = assignment->mask;
	require(model, satisfies_within(&model->workers[job->worker[0]], worker, job->shape.within),
		"members not within one worker, rack or zone as required");
	worker->granted |= assignment->mask;
	worker->cores_granted += job->shape.cores;
}

static void on_start(struct model *model, struct model_job *job,
		     const struct place_decision *decision)
{
	require(model, job->state == MODEL_WAITING, "started while not waiting");
	require(model, !job->cancelled, "started after its cancellation");
	require(model, !(job->once && job->ran), "run twice although it may run once");
	require(model, decision->member_count == job->shape.members, "gang placed in part");
	require(model, decision->attempt > job->attempt, "attempt number does not increase");
	job->attempt = decision->attempt;
	job->state = MODEL_STARTING;
	for (uint32_t i = 0; i < decision->member_count && !model->fault; i++)
		grant_member(model, job, i, &decision->members[i]);
}

static void on_decision(const struct place_decision *decision, void *ctx)
{
	struct model *model = ctx;
	struct model_job *job = decision->job[0] ? find_job(model, decision->job) : NULL;

	if (decision->kind == PLACE_START || decision->kind == PLACE_EVICT ||
	    decision->kind == PLACE_FAIL)
		require(model, job && job->state != MODEL_ENDED,
			"decision on an unknown or ended job");
	if (model->fault || !job)
		return;
	if (decision->kind == PLACE_START) {
		on_start(model, job, decision);
	} else if (decision->kind == PLACE_EVICT) {
		require(model, job->state == MODEL_STARTING || job->state == MODEL_RUNNING,
			"evicted while not placed");
		require(model, !job->once || job->cancelled,
			"evicted although it may run only once");
		job->state = MODEL_STOPPING;
	} else if (decision->kind == PLACE_FAIL) {
		require(model, job->state == MODEL_WAITING, "given up while placed");
		job->state = MODEL_ENDED;
	}
}

static void release_job(struct model *model, struct model_job *job)
{
	for (uint32_t i = 0; i < job->shape.members; i++) {
		model->workers[job->worker[i]].granted &= ~job->mask[i];
		model->workers[job->worker[i]].cores_granted -= job->shape.cores;
	}
	job->state = job->cancelled ? MODEL_ENDED : MODEL_WAITING;
}

static void end_attempt(struct model *model, struct model_job *job, enum place_outcome outcome)
{
	const char *worker =
		model->workers[job->worker[random_below(model, job->shape.members)]].name;

	if (outcome == PLACE_STOPPED || outcome == PLACE_WORKER_LOST)
		job->ran = true;
	release_job(model, job);
	if (outcome == PLACE_DONE || outcome == PLACE_JOB_FAILED)
		job->state = MODEL_ENDED;
	place_ended(model->place, job->id, job->attempt, outcome, worker, model->now);
	/* A repeated or late report of the same attempt must change nothing. */
	place_ended(model->place, job->id, job->attempt, outcome, worker, model->now);
}

static void submit_random_job(struct model *model)
{
	static const uint32_t widths[] = {0, 1, 1, 1, 2, 2, 3, 4, 8};
	struct model_job *job = &model->jobs[model->job_count];
	struct place_job_spec spec = {.class_name = "c", .submitted_ms = model->now};
	char organisation[16];
	struct err err;

	if (model->job_count == JOBS_MAX)
		return;
	memset(job, 0, sizeof(*job));
	snprintf(job->id, sizeof(job->id), "j%u", model->job_count);
	snprintf(organisation, sizeof(organisation), "o%u", random_below(model, ORGANISATIONS));
	job->shape.members = random_below(model, 4) ? 1 : 1 + random_below(model, 4);
	job->shape.accelerators = widths[random_below(model, G_N_ELEMENTS(widths))];
	job->shape.cores = random_below(model, 12);
	job->shape.within = (enum place_within)random_below(model, 3);
	spec.id = job->id;
	spec.organisation = organisation;
	spec.shape = job->shape;
	spec.declared_ms = 1000 + random_below(model, 600000);
	spec.urgent = random_below(model, 8) == 0;
	spec.checkpoint = random_below(model, 2);
	spec.restartable = random_below(model, 2);
	job->once = !spec.checkpoint && !spec.restartable;
	if (place_submit(model->place, &spec, model->now, &err) == 0)
		model->job_count++;
}

static struct model_job *pick_random_job(struct model *model, bool placed)
{
	uint32_t start = model->job_count ? random_below(model, model->job_count) : 0;

	for (uint32_t i = 0; i < model->job_count; i++) {
		struct model_job *job = &model->jobs[(start + i) % model->job_count];

		if (placed ? is_placed(job) : job->state != MODEL_ENDED)
			return job;
	}
	return NULL;
}

static void end_random_job(struct model *model)
{
	static const enum place_outcome outcomes[] = {PLACE_DONE,	 PLACE_DONE,
						      PLACE_JOB_FAILED,	 PLACE_START_FAILED,
						      PLACE_WORKER_LOST, PLACE_HOLD_REFUSED};
	struct model_job *job = pick_random_job(model, true);
	enum place_outcome outcome = outcomes[random_below(model, G_N_ELEMENTS(outcomes))];

	if (!job)
		return;
	if (job->state == MODEL_STOPPING && random_below(model, 2))
		outcome = PLACE_STOPPED;
	if (job->state == MODEL_RUNNING && outcome == PLACE_HOLD_REFUSED)
		outcome = PLACE_DONE;
	end_attempt(model, job, outcome);
}

static void run_random_job(struct model *model)
{
	struct model_job *job = pick_random_job(model, true);

	if (!job || job->state != MODEL_STARTING)
		return;
	job->state = MODEL_RUNNING;
	job->ran = true;
	place_started(model->place, job->id, job->attempt, model->now);
	place_checkpointed(model->place, job->id, random_below(model, 1000));
}

static void cancel_random_job(struct model *model)
{
	struct model_job *job = pick_random_job(model, false);
	int ret;

	if (!job)
		return;
	ret = place_cancel(model->place, job->id, model->now);
	if (ret == -ERR_NOT_FOUND)
		return; /* the scheduler has given the job up and will emit PLACE_FAIL */
	require(model, ret == (is_placed(job) ? 1 : 0), "place_cancel() returned the wrong value");
	job->cancelled = true;
	if (ret == 0)
		job->state = MODEL_ENDED;
}

static void worker_up(struct model *model, struct model_worker *worker)
{
	struct place_worker_spec spec = {.name = worker->name,
					 .zone = worker->zone,
					 .rack = worker->rack,
					 .accelerators = worker->accelerators,
					 .cores = worker->cores};

	worker->up = true;
	place_worker_up(model->place, &spec, model->now);
}

static void worker_down(struct model *model, uint32_t index)
{
	for (uint32_t i = 0; i < model->job_count; i++) {
		struct model_job *job = &model->jobs[i];
		bool touched = false;

		for (uint32_t k = 0; k < job->shape.members && is_placed(job); k++)
			touched |= job->worker[k] == index;
		if (!touched)
			continue;
		job->ran = true;
		release_job(model, job);
	}
	model->workers[index].up = false;
	place_worker_down(model->place, model->workers[index].name, model->now);
}

static void change_random_worker(struct model *model)
{
	uint32_t index = random_below(model, model->worker_count);
	struct model_worker *worker = &model->workers[index];

	if (!worker->up) {
		worker_up(model, worker);
	} else if (random_below(model, 2)) {
		worker_down(model, index);
	} else {
		worker->draining = !worker->draining;
		place_worker_drain(model->place, worker->name, worker->draining, model->now);
	}
}

static void set_organisations(struct model *model, bool guarantees)
{
	static const uint32_t widths[] = {1, 2, 3, 4, 8};
	struct place_organisation_spec specs[ORGANISATIONS] = {0};
	struct place_shape shapes[ORGANISATIONS][2] = {0};
	char names[ORGANISATIONS][16];

	for (uint32_t i = 0; i < ORGANISATIONS; i++) {
		snprintf(names[i], sizeof(names[i]), "o%u", i);
		specs[i].name = names[i];
		specs[i].guarantees = shapes[i];
		specs[i].guarantee_count = guarantees ? random_below(model, 3) : 0;
		specs[i].priority = (int32_t)random_below(model, 3);
		specs[i].share = 1 + random_below(model, 3);
		for (uint32_t k = 0; k < 2; k++) {
			shapes[i][k].members = 1 + random_below(model, 2);
			shapes[i][k].accelerators =
				widths[random_below(model, G_N_ELEMENTS(widths))];
			shapes[i][k].cores = random_below(model, 8);
			shapes[i][k].within = (enum place_within)random_below(model, 2);
		}
	}
	place_set_organisations(model->place, specs, ORGANISATIONS, model->now);
}

static void set_policy(struct model *model)
{
	struct place_policy policy = {
		.weight_completion = util_rng_unit(&model->rng),
		.weight_fragmentation = util_rng_unit(&model->rng),
		.lend_idle = random_below(model, 4) > 0,
		.give_back = random_below(model, 2),
		.give_back_idle_ms = 10000,
		.give_back_return_ms = 20000,
		.reclaim_grace_ms = 1000,
	};

	place_set_policy(model->place, &policy);
}

static void check_invariants(struct model *model)
{
	struct err err;

	if (place_check(model->place, &err) == 0 || model->fault)
		return;
	snprintf(model->detail, sizeof(model->detail), "%s", err.message);
	model->fault = "place_check() reports a violation";
}

static void compare_with_model(struct model *model)
{
	struct place_stats stats;
	uint32_t open = 0;
	uint32_t used = 0;

	check_invariants(model);
	place_stats(model->place, &stats);
	for (uint32_t i = 0; i < model->job_count; i++)
		open += model->jobs[i].state != MODEL_ENDED;
	for (uint32_t i = 0; i < model->worker_count; i++)
		used += (uint32_t)__builtin_popcountll(model->workers[i].granted);
	require(model, stats.jobs_waiting + stats.jobs_placed == open,
		"a job is lost or counted twice");
	require(model, stats.accelerators_used == used,
		"accelerators in use differ from the model");
	require(model,
		place_fragmentation(model->place) >= 0 && place_fragmentation(model->place) <= 1,
		"fragmentation out of range");
}

static void step_and_check(struct model *model)
{
	check_invariants(model);
	place_step(model->place, model->now, on_decision, model);
	compare_with_model(model);
}

static void random_event(struct model *model)
{
	uint32_t kind = random_below(model, 100);

	model->now +=
		random_below(model, 10) ? random_below(model, 2000) : random_below(model, 120000);
	if (kind < 40)
		submit_random_job(model);
	else if (kind < 62)
		run_random_job(model);
	else if (kind < 84)
		end_random_job(model);
	else if (kind < 90)
		cancel_random_job(model);
	else if (kind < 96)
		change_random_worker(model);
	else if (kind < 98)
		set_organisations(model, true);
	else
		set_policy(model);
	step_and_check(model);
}

/* With all workers up and no guarantees, every job must end. */
static void end_all_jobs(struct model *model)
{
	uint32_t open = 1;

	set_organisations(model, false);
	for (uint32_t i = 0; i < model->worker_count; i++) {
		struct model_worker *worker = &model->workers[i];

		worker->draining = false;
		place_worker_drain(model->place, worker->name, false, model->now);
		worker_up(model, worker);
	}
	for (int round = 0; round < DRAIN_ROUNDS && open && !model->fault; round++) {
		model->now += 5000;
		step_and_check(model);
		open = 0;
		for (uint32_t i = 0; i < model->job_count; i++) {
			struct model_job *job = &model->jobs[i];

			open += job->state != MODEL_ENDED;
			if (job->state == MODEL_STARTING) {
				job->state = MODEL_RUNNING;
				job->ran = true;
				place_started(model->place, job->id, job->attempt, model->now);
			} else if (is_placed(job)) {
				end_attempt(model, job, PLACE_DONE);
			}
		}
	}
	for (uint32_t i = 0; i < model->job_count && open && !model->fault; i++) {
		char *text = place_explain(model->place, model->jobs[i].id, model->place);

		if (model->jobs[i].state != MODEL_ENDED && text)
			snprintf(model->detail, sizeof(model->detail), "%s: %s", model->jobs[i].id,
				 text);
	}
	require(model, open == 0, "a job has not ended after all drain rounds");
}

static void create_workers(struct model *model)
{
	static const uint32_t widths[] = {8, 8, 4, 1, 0};

	model->worker_count = 3 + random_below(model, WORKERS_MAX - 2);
	for (uint32_t i = 0; i < model->worker_count; i++) {
		struct model_worker *worker = &model->workers[i];

		snprintf(worker->name, sizeof(worker->name), "w%u", i);
		snprintf(worker->rack, sizeof(worker->rack), "r%u", i / 3);
		snprintf(worker->zone, sizeof(worker->zone), "z%u", i / 6);
		worker->accelerators = widths[random_below(model, G_N_ELEMENTS(widths))];
		worker->cores = 16 + random_below(model, 48);
		worker_up(model, worker);
	}
}

static bool run_history(uint64_t seed)
{
	struct place_policy policy = {.weight_completion = 0.5,
				      .weight_fragmentation = 0.5,
				      .lend_idle = true,
				      .reclaim_grace_ms = 1000};
	struct model *model = g_new0(struct model, 1);
	bool good;

	model->rng.state = seed;
	model->now = 1000;
	model->place = place_create(NULL, &policy, seed);
	create_workers(model);
	set_organisations(model, true);
	for (int i = 0; i < EVENTS && !model->fault; i++)
		random_event(model);
	if (!model->fault)
		end_all_jobs(model);
	good = model->fault == NULL;
	if (!good)
		printf("seed %llu: %s (%s)\n", (unsigned long long)seed, model->fault,
		       model->detail);
	talloc_free(model->place);
	g_free(model);
	return good;
}

/*
 * Guards against accelerators granted twice, gangs placed in part, jobs lost or counted twice, and
 * guarantees that cannot be reclaimed.
 */
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
