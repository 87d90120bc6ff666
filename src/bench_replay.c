#include "bench_run.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define START_MS 200		    /* hold, grant and start of a gang */
#define START_FAILURE_MS 1000	    /* until a failed start is reported */
#define CHECKPOINT_PERIOD_MS 600000 /* a job that can be checkpointed saves this often */
#define STARVED_FACTOR 10	    /* times the declared run time */
#define DRAIN_LIMIT_MS (30ULL * 24 * 3600 * 1000)
#define TIMELINE_STEP_MS 60000

enum later_kind {
	LATER_STARTED,
	LATER_START_FAILED,
	LATER_FINISHED,
	LATER_STOPPED,
	LATER_STARVE_CHECK,
};

static uint64_t job_accelerators(const struct bench_job *job)
{
	return (uint64_t)job->event->job.shape.members * job->event->job.shape.accelerators;
}

/* Takes (@sign -1) or gives back (@sign 1) what a placed job holds. */
static void account(struct bench_run *r, struct bench_job *job, int sign)
{
	const struct place_shape *shape = &job->event->job.shape;

	for (uint32_t i = 0; i < shape->members; i++) {
		struct bench_worker *worker = &r->worker[job->worker[i]];

		if (!worker->free.up)
			continue;
		if (sign < 0 && (worker->free.mask & job->mask[i]) != job->mask[i])
			bench_violation(r, &r->out->doubled_jobs, "accelerator granted twice",
					job->event->job.id);
		if (sign < 0) {
			worker->free.mask &= ~job->mask[i];
			worker->free.cores -= shape->cores;
			worker->free.memory_mb -= shape->memory_mb;
		} else {
			worker->free.mask |= job->mask[i];
			worker->free.cores += shape->cores;
			worker->free.memory_mb += shape->memory_mb;
		}
	}
	if (sign < 0)
		r->used += job_accelerators(job);
	else
		r->used -= job_accelerators(job);
}

static uint64_t progress(const struct bench_job *job, uint64_t now)
{
	uint64_t done = job->saved_ms;

	if (job->run_start_ms && now > job->run_start_ms)
		done += now - job->run_start_ms;
	return done < job->event->actual_ms ? done : job->event->actual_ms;
}

/* The job stops before its end; @kept_ms of its progress survives. */
static void lose_progress(struct bench_run *r, struct bench_job *job, uint64_t kept_ms)
{
	uint64_t done = progress(job, r->now);

	r->lost_ms += (double)(done - kept_ms) * (double)job_accelerators(job);
	job->saved_ms = kept_ms;
	job->run_start_ms = 0;
}

static uint64_t periodic_checkpoint(const struct bench_job *job, uint64_t now)
{
	uint64_t ran = job->run_start_ms && now > job->run_start_ms ? now - job->run_start_ms : 0;

	if (!job->event->job.checkpoint)
		return 0;
	return job->saved_ms + ran / CHECKPOINT_PERIOD_MS * CHECKPOINT_PERIOD_MS;
}

static void end_job(struct bench_run *r, struct bench_job *job, enum bench_job_state state)
{
	job->state = state;
	r->open--;
}

static bool bad_worker(const struct bench_run *r, const struct bench_job *job, size_t *which)
{
	for (uint32_t i = 0; i < job->event->job.shape.members; i++) {
		if (r->worker[job->worker[i]].bad) {
			*which = job->worker[i];
			return true;
		}
	}
	*which = job->worker[0];
	return false;
}

static bool take_members(struct bench_run *r, struct bench_job *job,
			 const struct place_decision *decision)
{
	if (decision->member_count != job->event->job.shape.members) {
		bench_violation(r, &r->out->partial_gangs, "gang placed in part", decision->job);
		return false;
	}
	for (size_t i = 0; i < decision->member_count; i++) {
		gpointer index;

		if (!g_hash_table_lookup_extended(r->workers, decision->members[i].worker, NULL,
						  &index)) {
			bench_violation(r, &r->out->partial_gangs, "unknown worker", decision->job);
			return false;
		}
		job->worker[i] = GPOINTER_TO_SIZE(index);
		job->mask[i] = decision->members[i].mask;
		if (!r->worker[job->worker[i]].free.up) {
			bench_violation(r, &r->out->partial_gangs, "placed on a lost worker",
					decision->job);
			return false;
		}
	}
	return true;
}

static void on_start(struct bench_run *r, struct bench_job *job,
		     const struct place_decision *decision)
{
	size_t which;

	if (job->state != JOB_WAITING) {
		bench_violation(r, &r->out->doubled_jobs, "started twice", decision->job);
		return;
	}
	if (!take_members(r, job, decision))
		return;
	job->state = JOB_STARTING;
	job->attempt = decision->attempt;
	job->granted_ms = r->now;
	account(r, job, -1);
	if (job->event->never_runs || bad_worker(r, job, &which))
		bench_heap_push(r->heap, r->now + START_FAILURE_MS, LATER_START_FAILED,
				job->attempt, job);
	else
		bench_heap_push(r->heap, r->now + START_MS, LATER_STARTED, job->attempt, job);
}

static void on_evict(struct bench_run *r, struct bench_job *job,
		     const struct place_decision *decision)
{
	if (!bench_holds(job) || job->state == JOB_STOPPING)
		return;
	if (!job->cancelled)
		r->out->evictions++;
	job->evict_checkpoint = decision->checkpoint && job->event->job.checkpoint;
	job->state = JOB_STOPPING;
	/* Half of the grace time: a checkpoint takes time, but seldom all that is allowed. */
	bench_heap_push(r->heap, r->now + decision->grace_ms / 2, LATER_STOPPED, job->attempt, job);
}

static void on_fail(struct bench_run *r, struct bench_job *job,
		    const struct place_decision *decision)
{
	if (job->state >= JOB_DONE)
		return;
	if (!job->event->never_runs)
		bench_violation(r, &r->out->lost_jobs, "given up although it can run",
				decision->job);
	if (bench_holds(job))
		account(r, job, 1);
	r->out->jobs_failed++;
	end_job(r, job, JOB_FAILED);
}

static void on_decision(const struct place_decision *decision, void *ctx)
{
	struct bench_run *r = ctx;
	struct bench_job *job;

	if (decision->kind != PLACE_START && decision->kind != PLACE_EVICT &&
	    decision->kind != PLACE_FAIL)
		return;
	job = g_hash_table_lookup(r->jobs, decision->job);
	if (!job) {
		bench_violation(r, &r->out->doubled_jobs, "decision on an unknown job",
				decision->job);
		return;
	}
	if (decision->kind == PLACE_START)
		on_start(r, job, decision);
	else if (decision->kind == PLACE_EVICT)
		on_evict(r, job, decision);
	else
		on_fail(r, job, decision);
}

static double thread_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void step(struct bench_run *r, double event_us)
{
	double start = thread_us();
	uint64_t delay = r->policy->step(r->now, on_decision, r, r->policy->ctx);
	double spent = thread_us() - start + event_us;
	struct err err;

	g_array_append_val(r->decision_us, spent);
	r->out->decisions++;
	r->step_due = r->now + (delay ? delay : 1);
	if (r->options->check && r->policy->check(&err, r->policy->ctx))
		bench_violation(r, &r->out->guarantee_violations, err.message, "invariant");
}

static bool large_job(const struct bench_run *r, const struct place_shape *shape)
{
	uint32_t worker = r->fleet->largest_worker;

	return (shape->members > 1 && 2 * shape->accelerators > worker) ||
	       shape->accelerators >= worker;
}

static void on_submit(struct bench_run *r, const struct bench_event *event)
{
	struct bench_job *job = talloc_zero(r->mem, struct bench_job);
	double start;
	struct err err;
	int ret;

	job->event = event;
	job->worker = talloc_zero_array(job, size_t, event->job.shape.members);
	job->mask = talloc_zero_array(job, uint64_t, event->job.shape.members);
	job->large = large_job(r, &event->job.shape);
	if (g_hash_table_lookup(r->jobs, event->job.id)) {
		bench_violation(r, &r->out->lost_jobs, "submitted twice", event->job.id);
		return;
	}
	start = thread_us();
	ret = r->policy->submit(&event->job, r->now, &err, r->policy->ctx);
	if (ret) {
		bench_violation(r, &r->out->lost_jobs, err.message, event->job.id);
		return;
	}
	g_hash_table_insert(r->jobs, (gpointer)event->job.id, job);
	g_ptr_array_add(r->all, job);
	r->open++;
	job->within_guarantee = bench_fits_guarantee(r, job);
	bench_heap_push(r->heap, r->now + event->job.declared_ms * STARVED_FACTOR,
			LATER_STARVE_CHECK, 0, job);
	step(r, thread_us() - start);
}

static void on_cancel(struct bench_run *r, const char *id)
{
	struct bench_job *job = g_hash_table_lookup(r->jobs, id);
	int ret;

	if (!job || job->state >= JOB_DONE)
		return;
	job->cancelled = true;
	ret = r->policy->cancel(id, r->now, r->policy->ctx);
	if (ret < 0) {
		bench_violation(r, &r->out->lost_jobs, "unknown to the policy", id);
		return;
	}
	if (ret == 0) {
		if (bench_holds(job))
			account(r, job, 1);
		r->out->jobs_cancelled++;
		end_job(r, job, JOB_CANCELLED);
	}
	step(r, 0);
}

static bool job_on_worker(const struct bench_job *job, size_t worker)
{
	for (uint32_t i = 0; i < job->event->job.shape.members; i++) {
		if (job->worker[i] == worker)
			return true;
	}
	return false;
}

static void on_worker_down(struct bench_run *r, size_t index)
{
	struct bench_worker *worker = &r->worker[index];

	if (!worker->free.up)
		return;
	for (guint i = 0; i < r->all->len; i++) {
		struct bench_job *job = g_ptr_array_index(r->all, i);

		if (!bench_holds(job) || !job_on_worker(job, index))
			continue;
		account(r, job, 1);
		lose_progress(r, job, periodic_checkpoint(job, r->now));
		job->state = JOB_WAITING;
		if (job->cancelled) {
			r->out->jobs_cancelled++;
			end_job(r, job, JOB_CANCELLED);
		}
	}
	worker->free.up = false;
	r->up -= worker->free.spec.accelerators;
	r->policy->worker_down(worker->free.spec.name, r->now, r->policy->ctx);
	step(r, 0);
}

static void worker_up(struct bench_run *r, size_t index)
{
	struct bench_worker *worker = &r->worker[index];

	if (worker->free.up)
		return;
	worker->free.up = true;
	worker->free.mask = bench_fit_full_mask(worker->free.spec.accelerators);
	worker->free.cores = worker->free.spec.cores;
	worker->free.memory_mb = worker->free.spec.memory_mb;
	worker->bad = false;
	r->up += worker->free.spec.accelerators;
	r->policy->worker_up(&worker->free.spec, r->now, r->policy->ctx);
}

static void on_file_event(struct bench_run *r, const struct bench_event *event)
{
	gpointer index = NULL;

	if (event->kind == BENCH_SUBMIT) {
		on_submit(r, event);
		return;
	}
	if (event->kind == BENCH_CANCEL) {
		on_cancel(r, event->name);
		return;
	}
	if (!g_hash_table_lookup_extended(r->workers, event->name, NULL, &index))
		return;
	if (event->kind == BENCH_WORKER_DOWN) {
		on_worker_down(r, GPOINTER_TO_SIZE(index));
	} else if (event->kind == BENCH_WORKER_UP) {
		worker_up(r, GPOINTER_TO_SIZE(index));
		step(r, 0);
	} else {
		r->worker[GPOINTER_TO_SIZE(index)].bad = event->kind == BENCH_WORKER_BAD;
	}
}

static void on_started(struct bench_run *r, struct bench_job *job)
{
	job->state = JOB_RUNNING;
	job->run_start_ms = r->now;
	if (!job->started_once)
		bench_first_start(r, job);
	r->policy->started(job->event->job.id, job->attempt, r->now, r->policy->ctx);
	bench_heap_push(r->heap, r->now + job->event->actual_ms - job->saved_ms, LATER_FINISHED,
			job->attempt, job);
	step(r, 0);
}

static void on_start_failed(struct bench_run *r, struct bench_job *job)
{
	size_t which;

	bad_worker(r, job, &which);
	account(r, job, 1);
	job->state = JOB_WAITING;
	r->policy->ended(job->event->job.id, job->attempt, PLACE_START_FAILED,
			 r->worker[which].free.spec.name, r->now, r->policy->ctx);
	step(r, 0);
}

static void on_finished(struct bench_run *r, struct bench_job *job)
{
	double completion = (double)(r->now - job->event->time_ms) / MS_PER_S;

	account(r, job, 1);
	g_array_append_val(r->completion, completion);
	r->out->jobs_done++;
	end_job(r, job, JOB_DONE);
	r->policy->ended(job->event->job.id, job->attempt, PLACE_DONE, NULL, r->now,
			 r->policy->ctx);
	step(r, 0);
}

static void on_stopped(struct bench_run *r, struct bench_job *job)
{
	uint64_t kept =
		job->evict_checkpoint ? progress(job, r->now) : periodic_checkpoint(job, r->now);

	account(r, job, 1);
	if (job->cancelled) {
		job->run_start_ms = 0;
		r->out->jobs_cancelled++;
		end_job(r, job, JOB_CANCELLED);
	} else {
		lose_progress(r, job, kept);
		job->state = JOB_WAITING;
		if (job->evict_checkpoint)
			r->policy->checkpointed(job->event->job.id, job->saved_ms, r->policy->ctx);
	}
	r->policy->ended(job->event->job.id, job->attempt, PLACE_STOPPED, NULL, r->now,
			 r->policy->ctx);
	step(r, 0);
}

static void on_starve_check(struct bench_run *r, struct bench_job *job)
{
	if (job->started_once || job->state >= JOB_DONE || job->starved || job->event->never_runs)
		return;
	if (bench_could_have_started(r, job)) {
		job->starved = true;
		bench_violation(r, &r->out->starved_jobs, "starved", job->event->job.id);
		return;
	}
	bench_heap_push(r->heap, r->now + job->event->job.declared_ms + 1000, LATER_STARVE_CHECK, 0,
			job);
}

static void on_later(struct bench_run *r, const struct bench_heap_item *item)
{
	struct bench_job *job = item->subject;

	if (item->kind == LATER_STARVE_CHECK) {
		on_starve_check(r, job);
		return;
	}
	if (item->attempt != job->attempt)
		return;
	if (item->kind == LATER_STARTED && job->state == JOB_STARTING)
		on_started(r, job);
	else if (item->kind == LATER_START_FAILED && job->state == JOB_STARTING)
		on_start_failed(r, job);
	else if (item->kind == LATER_FINISHED && job->state == JOB_RUNNING)
		on_finished(r, job);
	else if (item->kind == LATER_STOPPED && job->state == JOB_STOPPING)
		on_stopped(r, job);
}

static double longest_large_wait(const struct bench_run *r)
{
	uint64_t longest = 0;

	for (guint i = 0; i < r->all->len; i++) {
		const struct bench_job *job = g_ptr_array_index(r->all, i);

		if (job->large && job->state == JOB_WAITING && !job->started_once &&
		    r->now - job->event->time_ms > longest)
			longest = r->now - job->event->time_ms;
	}
	return (double)longest / MS_PER_S;
}

static void write_timeline(struct bench_run *r, double fragmentation)
{
	if (!r->options->timeline || r->now < r->next_timeline)
		return;
	r->next_timeline = r->now + TIMELINE_STEP_MS;
	fprintf(r->options->timeline, "%.1f %.4f %.1f %.4f\n", (double)r->now / MS_PER_S,
		fragmentation, longest_large_wait(r),
		r->up ? (double)r->used / (double)r->up : 0.0);
}

static void advance(struct bench_run *r, uint64_t to)
{
	uint64_t end = to < r->window_end ? to : r->window_end;

	if (end > r->now) {
		double span = (double)(end - r->now);
		double fragmentation = r->policy->fragmentation(r->policy->ctx);

		r->used_area += span * (double)r->used;
		r->up_area += span * (double)r->up;
		r->fragmentation_area += span * fragmentation;
		write_timeline(r, fragmentation);
	}
	r->now = to;
}

static uint64_t next_time(const struct bench_run *r, size_t file_at)
{
	uint64_t next = r->step_due;
	uint64_t heap;

	if (bench_heap_peek(r->heap, &heap) && heap < next)
		next = heap;
	if (file_at < r->workload->event_count && r->workload->events[file_at].time_ms < next)
		next = r->workload->events[file_at].time_ms;
	return next;
}

static void run(struct bench_run *r)
{
	size_t file_at = 0;

	while (file_at < r->workload->event_count || r->open > 0) {
		uint64_t next = next_time(r, file_at);
		struct bench_heap_item item;
		uint64_t heap;

		if (next > r->window_end + DRAIN_LIMIT_MS)
			return;
		advance(r, next);
		if (file_at < r->workload->event_count &&
		    r->workload->events[file_at].time_ms <= r->now)
			on_file_event(r, &r->workload->events[file_at++]);
		else if (bench_heap_peek(r->heap, &heap) && heap <= r->now &&
			 bench_heap_pop(r->heap, &item))
			on_later(r, &item);
		else
			step(r, 0);
	}
}

static void set_up(struct bench_run *r)
{
	r->heap = bench_heap_create(r->mem);
	r->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	r->workers = g_hash_table_new(g_str_hash, g_str_equal);
	r->all = g_ptr_array_new();
	r->completion = g_array_new(FALSE, FALSE, sizeof(double));
	r->large_wait = g_array_new(FALSE, FALSE, sizeof(double));
	r->urgent_start = g_array_new(FALSE, FALSE, sizeof(double));
	r->decision_us = g_array_new(FALSE, FALSE, sizeof(double));
	r->worker = talloc_zero_array(r->mem, struct bench_worker, r->fleet->worker_count);
	for (size_t i = 0; i < r->fleet->worker_count; i++) {
		r->worker[i].free.spec = r->fleet->workers[i];
		g_hash_table_insert(r->workers, (gpointer)r->fleet->workers[i].name,
				    GSIZE_TO_POINTER(i));
		worker_up(r, i);
	}
	for (size_t i = 0; i < r->workload->event_count; i++) {
		if (r->workload->events[i].kind == BENCH_SUBMIT)
			r->window_end = r->workload->events[i].time_ms;
	}
}

static void tear_down(struct bench_run *r)
{
	g_hash_table_destroy(r->jobs);
	g_hash_table_destroy(r->workers);
	g_ptr_array_free(r->all, TRUE);
	g_array_free(r->completion, TRUE);
	g_array_free(r->large_wait, TRUE);
	g_array_free(r->urgent_start, TRUE);
	g_array_free(r->decision_us, TRUE);
	talloc_free(r->mem);
}

void bench_replay(const struct bench_fleet *fleet, const struct bench_workload *workload,
		  const struct bench_policy *policy, const struct bench_replay_options *options,
		  struct bench_result *out)
{
	struct bench_run r = {
		.fleet = fleet,
		.workload = workload,
		.policy = policy,
		.options = options,
		.out = out,
		.mem = talloc_new(NULL),
	};

	memset(out, 0, sizeof(*out));
	set_up(&r);
	step(&r, 0);
	run(&r);
	bench_summarise(&r);
	tear_down(&r);
}
