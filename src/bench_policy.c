#include "bench_policy.h"
#include "bench_fit.h"

#include <glib.h>
#include <string.h>

#define BASELINE_START_TRIES 3 /* a job fails for good after this many failed starts */

static void place_cb_up(const struct place_worker_spec *spec, uint64_t now_ms, void *ctx)
{
	place_worker_up(ctx, spec, now_ms);
}

static void place_cb_down(const char *name, uint64_t now_ms, void *ctx)
{
	place_worker_down(ctx, name, now_ms);
}

static int place_cb_submit(const struct place_job_spec *spec, uint64_t now_ms, struct err *err,
			   void *ctx)
{
	return place_submit(ctx, spec, now_ms, err);
}

static int place_cb_cancel(const char *job, uint64_t now_ms, void *ctx)
{
	return place_cancel(ctx, job, now_ms);
}

static void place_cb_started(const char *job, uint32_t attempt, uint64_t now_ms, void *ctx)
{
	place_started(ctx, job, attempt, now_ms);
}

static void place_cb_checkpointed(const char *job, uint64_t done_ms, void *ctx)
{
	place_checkpointed(ctx, job, done_ms);
}

static void place_cb_ended(const char *job, uint32_t attempt, enum place_outcome outcome,
			   const char *worker, uint64_t now_ms, void *ctx)
{
	place_ended(ctx, job, attempt, outcome, worker, now_ms);
}

static uint64_t place_cb_step(uint64_t now_ms,
			      void (*emit)(const struct place_decision *decision, void *emit_ctx),
			      void *emit_ctx, void *ctx)
{
	return place_step(ctx, now_ms, emit, emit_ctx);
}

static double place_cb_fragmentation(void *ctx)
{
	return place_fragmentation(ctx);
}

static int place_cb_check(struct err *err, void *ctx)
{
	return place_check(ctx, err);
}

void bench_policy_place(TALLOC_CTX *mem, const struct place_policy *policy,
			const struct place_organisation_spec *organisations, size_t count,
			uint64_t seed, struct bench_policy *out)
{
	struct place *place = place_create(mem, policy, seed);

	place_set_organisations(place, organisations, count, 0);
	*out = (struct bench_policy){
		.worker_up = place_cb_up,
		.worker_down = place_cb_down,
		.submit = place_cb_submit,
		.cancel = place_cb_cancel,
		.started = place_cb_started,
		.checkpointed = place_cb_checkpointed,
		.ended = place_cb_ended,
		.step = place_cb_step,
		.fragmentation = place_cb_fragmentation,
		.check = place_cb_check,
		.ctx = place,
	};
}

struct baseline_job {
	struct place_job_spec spec;
	uint32_t attempt;
	uint32_t failures;
	size_t avoid[BASELINE_START_TRIES]; /* workers on which the job failed to start */
	bool placed;
	bool cancelled;
	size_t *index;
	uint64_t *mask;
};

struct baseline {
	bool best_fit;
	struct bench_worker_capacity *workers;
	size_t worker_count;
	GHashTable *jobs;     /* id to struct baseline_job */
	GQueue queue;	      /* waiting jobs in arrival order; requeued jobs go to the end */
	GQueue evict;	      /* cancelled jobs that still hold accelerators */
	bool changed;	      /* a job may fit that did not fit in the last step */
	struct place *mirror; /* same state, to measure the fragmentation */
};

static int baseline_destructor(struct baseline *baseline)
{
	g_hash_table_destroy(baseline->jobs);
	g_queue_clear(&baseline->queue);
	g_queue_clear(&baseline->evict);
	return 0;
}

/* Returns the index of a worker, or the number of workers if @name is unknown. */
static size_t find_worker(const struct baseline *baseline, const char *name)
{
	size_t i = 0;

	while (i < baseline->worker_count &&
	       (!name || strcmp(baseline->workers[i].spec.name, name) != 0))
		i++;
	return i;
}

static void baseline_worker_up(const struct place_worker_spec *spec, uint64_t now_ms, void *ctx)
{
	struct baseline *baseline = ctx;
	size_t i = find_worker(baseline, spec->name);

	if (i == baseline->worker_count) {
		baseline->workers = talloc_realloc(baseline, baseline->workers,
						   struct bench_worker_capacity, i + 1);
		baseline->worker_count++;
	}
	baseline->workers[i] = (struct bench_worker_capacity){
		.spec = *spec,
		.mask = bench_fit_full_mask(spec->accelerators),
		.cores = spec->cores,
		.memory_mb = spec->memory_mb,
		.up = true,
	};
	baseline->changed = true;
	place_worker_up(baseline->mirror, spec, now_ms);
}

static void baseline_release(struct baseline *baseline, struct baseline_job *job)
{
	for (uint32_t i = 0; i < job->spec.shape.members; i++) {
		struct bench_worker_capacity *worker = &baseline->workers[job->index[i]];

		if (!worker->up)
			continue;
		worker->mask |= job->mask[i];
		worker->cores += job->spec.shape.cores;
		worker->memory_mb += job->spec.shape.memory_mb;
	}
	job->placed = false;
	baseline->changed = true;
}

static bool baseline_job_uses_worker(const struct baseline_job *job, size_t worker)
{
	for (uint32_t i = 0; i < job->spec.shape.members; i++) {
		if (job->index[i] == worker)
			return true;
	}
	return false;
}

static void baseline_requeue(struct baseline *baseline, struct baseline_job *job, uint64_t now_ms)
{
	place_cancel(baseline->mirror, job->spec.id, now_ms);
	place_ended(baseline->mirror, job->spec.id, job->attempt, PLACE_STOPPED, NULL, now_ms);
	if (job->cancelled) {
		g_hash_table_remove(baseline->jobs, job->spec.id);
		return;
	}
	place_submit(baseline->mirror, &job->spec, now_ms, NULL);
	g_queue_push_tail(&baseline->queue, job);
}

static void baseline_worker_down(const char *name, uint64_t now_ms, void *ctx)
{
	struct baseline *baseline = ctx;
	GList *jobs = g_hash_table_get_values(baseline->jobs);

	for (size_t i = 0; i < baseline->worker_count; i++) {
		if (strcmp(baseline->workers[i].spec.name, name) != 0)
			continue;
		baseline->workers[i].up = false;
		for (GList *at = jobs; at; at = at->next) {
			struct baseline_job *job = at->data;

			if (!job->placed || !baseline_job_uses_worker(job, i))
				continue;
			baseline_release(baseline, job);
			baseline_requeue(baseline, job, now_ms);
		}
	}
	g_list_free(jobs);
	place_worker_down(baseline->mirror, name, now_ms);
}

static void baseline_job_free(gpointer job)
{
	talloc_free(job);
}

static int baseline_submit(const struct place_job_spec *spec, uint64_t now_ms, struct err *err,
			   void *ctx)
{
	struct baseline *baseline = ctx;
	int ret = place_submit(baseline->mirror, spec, now_ms, err);
	struct baseline_job *job;

	if (ret)
		return ret;
	job = talloc_zero(baseline, struct baseline_job);
	job->spec = *spec;
	job->index = talloc_zero_array(job, size_t, spec->shape.members);
	job->mask = talloc_zero_array(job, uint64_t, spec->shape.members);
	g_hash_table_insert(baseline->jobs, (gpointer)spec->id, job);
	g_queue_push_tail(&baseline->queue, job);
	baseline->changed = true;
	return 0;
}

static int baseline_cancel(const char *id, uint64_t now_ms, void *ctx)
{
	struct baseline *baseline = ctx;
	struct baseline_job *job = g_hash_table_lookup(baseline->jobs, id);

	if (!job)
		return -ERR_NOT_FOUND;
	if (job->placed) {
		job->cancelled = true;
		g_queue_push_tail(&baseline->evict, job);
		return 1;
	}
	g_queue_remove(&baseline->queue, job);
	place_cancel(baseline->mirror, id, now_ms);
	g_hash_table_remove(baseline->jobs, id);
	return 0;
}

static void baseline_started(const char *job, uint32_t attempt, uint64_t now_ms, void *ctx)
{
	struct baseline *baseline = ctx;

	place_started(baseline->mirror, job, attempt, now_ms);
}

static void baseline_checkpointed(const char *job, uint64_t done_ms, void *ctx)
{
}

static void baseline_ended(const char *id, uint32_t attempt, enum place_outcome outcome,
			   const char *worker, uint64_t now_ms, void *ctx)
{
	struct baseline *baseline = ctx;
	struct baseline_job *job = g_hash_table_lookup(baseline->jobs, id);

	if (!job || !job->placed || job->attempt != attempt)
		return;
	baseline_release(baseline, job);
	g_queue_remove(&baseline->evict, job);
	if (outcome == PLACE_DONE || outcome == PLACE_JOB_FAILED) {
		place_ended(baseline->mirror, id, attempt, outcome, NULL, now_ms);
		g_hash_table_remove(baseline->jobs, id);
		return;
	}
	if (outcome == PLACE_START_FAILED && job->failures < BASELINE_START_TRIES)
		job->avoid[job->failures++] = find_worker(baseline, worker);
	baseline_requeue(baseline, job, now_ms);
}

static void baseline_start_job(struct baseline *baseline, struct baseline_job *job, uint64_t now_ms,
			       void (*emit)(const struct place_decision *decision, void *emit_ctx),
			       void *emit_ctx)
{
	struct place_assignment members[PLACE_MEMBERS_MAX];
	struct place_decision decision = {.kind = PLACE_START, .job = job->spec.id};

	for (uint32_t i = 0; i < job->spec.shape.members; i++) {
		struct bench_worker_capacity *worker = &baseline->workers[job->index[i]];

		worker->mask &= ~job->mask[i];
		worker->cores -= job->spec.shape.cores;
		worker->memory_mb -= job->spec.shape.memory_mb;
		members[i].worker = worker->spec.name;
		members[i].mask = job->mask[i];
	}
	job->placed = true;
	job->attempt++;
	place_cancel(baseline->mirror, job->spec.id, now_ms);
	place_restore(baseline->mirror, &job->spec, job->attempt, members, job->spec.shape.members,
		      true, now_ms, NULL);
	decision.attempt = job->attempt;
	decision.members = members;
	decision.member_count = job->spec.shape.members;
	emit(&decision, emit_ctx);
}

static void baseline_give_up(struct baseline *baseline, struct baseline_job *job, uint64_t now_ms,
			     void (*emit)(const struct place_decision *decision, void *emit_ctx),
			     void *emit_ctx)
{
	struct place_decision decision = {
		.kind = PLACE_FAIL, .job = job->spec.id, .reason = "failed to start too often"};

	emit(&decision, emit_ctx);
	place_cancel(baseline->mirror, job->spec.id, now_ms);
	g_hash_table_remove(baseline->jobs, job->spec.id);
}

static bool same_shape(const struct place_shape *x, const struct place_shape *y)
{
	return x->members == y->members && x->accelerators == y->accelerators &&
	       x->cores == y->cores && x->memory_mb == y->memory_mb && x->within == y->within;
}

/*
 * Skips the workers on which the job failed to start; otherwise a bad worker could use up all start
 * attempts of a job that runs elsewhere.
 */
static bool baseline_find_workers(struct baseline *baseline, struct baseline_job *job)
{
	bool up[BASELINE_START_TRIES] = {false};
	bool fits;

	for (uint32_t i = 0; i < job->failures; i++) {
		if (job->avoid[i] >= baseline->worker_count)
			continue;
		up[i] = baseline->workers[job->avoid[i]].up;
		baseline->workers[job->avoid[i]].up = false;
	}
	fits = bench_fit(baseline->workers, baseline->worker_count, &job->spec.shape,
			 baseline->best_fit, job->index, job->mask);
	for (uint32_t i = job->failures; i > 0; i--) {
		if (job->avoid[i - 1] < baseline->worker_count)
			baseline->workers[job->avoid[i - 1]].up = up[i - 1];
	}
	return fits;
}

#define FAILED_SHAPES_MAX 64 /* shapes that did not fit, remembered during one step */

static uint64_t baseline_step(uint64_t now_ms,
			      void (*emit)(const struct place_decision *decision, void *emit_ctx),
			      void *emit_ctx, void *ctx)
{
	struct baseline *baseline = ctx;
	struct place_shape failed[FAILED_SHAPES_MAX];
	size_t failed_count = 0;
	GList *next;

	for (struct baseline_job *job; (job = g_queue_pop_head(&baseline->evict));) {
		struct place_decision decision = {
			.kind = PLACE_EVICT, .job = job->spec.id, .attempt = job->attempt};

		emit(&decision, emit_ctx);
	}
	if (!baseline->changed)
		return UINT32_MAX;
	baseline->changed = false;
	for (GList *at = baseline->queue.head; at; at = next) {
		struct baseline_job *job = at->data;
		bool known = false;

		next = at->next;
		if (job->failures >= BASELINE_START_TRIES) {
			g_queue_delete_link(&baseline->queue, at);
			baseline_give_up(baseline, job, now_ms, emit, emit_ctx);
			continue;
		}
		for (size_t i = 0; i < failed_count && !known; i++)
			known = same_shape(&failed[i], &job->spec.shape);
		if (known)
			continue;
		if (baseline_find_workers(baseline, job)) {
			g_queue_delete_link(&baseline->queue, at);
			baseline_start_job(baseline, job, now_ms, emit, emit_ctx);
		} else if (!job->failures && failed_count < FAILED_SHAPES_MAX) {
			failed[failed_count++] = job->spec.shape;
		}
	}
	return UINT32_MAX;
}

static double baseline_fragmentation(void *ctx)
{
	const struct baseline *baseline = ctx;

	return place_fragmentation(baseline->mirror);
}

static int baseline_check(struct err *err, void *ctx)
{
	return 0;
}

void bench_policy_baseline(TALLOC_CTX *mem, bool best_fit,
			   const struct place_organisation_spec *organisations, size_t count,
			   struct bench_policy *out)
{
	const struct place_policy policy = {.weight_completion = 0.5, .weight_fragmentation = 0.5};
	struct baseline *baseline = talloc_zero(mem, struct baseline);

	baseline->best_fit = best_fit;
	baseline->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, baseline_job_free);
	g_queue_init(&baseline->queue);
	g_queue_init(&baseline->evict);
	baseline->mirror = place_create(baseline, &policy, 1);
	place_set_organisations(baseline->mirror, organisations, count, 0);
	talloc_set_destructor(baseline, baseline_destructor);
	*out = (struct bench_policy){
		.worker_up = baseline_worker_up,
		.worker_down = baseline_worker_down,
		.submit = baseline_submit,
		.cancel = baseline_cancel,
		.started = baseline_started,
		.checkpointed = baseline_checkpointed,
		.ended = baseline_ended,
		.step = baseline_step,
		.fragmentation = baseline_fragmentation,
		.check = baseline_check,
		.ctx = baseline,
	};
}
