#include "bench_run.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define START_MS 200		    /* to reserve, grant and start a gang */
#define START_FAILURE_MS 1000	    /* from the grant to the report of a failed start */
#define CHECKPOINT_PERIOD_MS 600000 /* between checkpoints of a job that supports them */
#define STARVED_FACTOR 10 /* wait before the first starvation check, in declared run times */
#define DRAIN_LIMIT_MS (30ULL * 24 * 3600 * 1000) /* replay time after the last submission */
#define TIMELINE_STEP_MS 60000

enum scheduled_kind {
	SCHEDULED_STARTED,
	SCHEDULED_START_FAILED,
	SCHEDULED_FINISHED,
	SCHEDULED_STOPPED,
	SCHEDULED_STARVE_CHECK,
};

static uint64_t job_accelerators(const struct bench_job *job)
{
	return (uint64_t)job->event->job.shape.members * job->event->job.shape.accelerators;
}

/* Allocates (@sign -1) or releases (@sign 1) the accelerators, cores and memory of a job. */
static void account_resources(struct bench_run *run, struct bench_job *job, int sign)
{
	const struct place_shape *shape = &job->event->job.shape;

	for (uint32_t i = 0; i < shape->members; i++) {
		struct bench_worker *worker = &run->worker[job->worker[i]];

		if (!worker->free.up)
			continue;
		if (sign < 0 && (worker->free.mask & job->mask[i]) != job->mask[i])
			bench_count_violation(run, &run->out->doubled_jobs,
					      "accelerator granted twice", job->event->job.id);
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
		run->used_accelerators += job_accelerators(job);
	else
		run->used_accelerators -= job_accelerators(job);
}

static uint64_t job_progress_ms(const struct bench_job *job, uint64_t now)
{
	uint64_t done = job->saved_ms;

	if (job->run_start_ms && now > job->run_start_ms)
		done += now - job->run_start_ms;
	return done < job->event->actual_ms ? done : job->event->actual_ms;
}

/* Accounts for a job that stops early: all progress beyond @kept_ms is lost work. */
static void discard_progress(struct bench_run *run, struct bench_job *job, uint64_t kept_ms)
{
	uint64_t done = job_progress_ms(job, run->now_ms);

	run->lost_ms += (double)(done - kept_ms) * (double)job_accelerators(job);
	job->saved_ms = kept_ms;
	job->run_start_ms = 0;
}

static uint64_t periodic_checkpoint_ms(const struct bench_job *job, uint64_t now)
{
	uint64_t ran = job->run_start_ms && now > job->run_start_ms ? now - job->run_start_ms : 0;

	if (!job->event->job.checkpoint)
		return 0;
	return job->saved_ms + ran / CHECKPOINT_PERIOD_MS * CHECKPOINT_PERIOD_MS;
}

static void end_job(struct bench_run *run, struct bench_job *job, enum bench_job_state state)
{
	job->state = state;
	run->open_jobs--;
}

/* Finds the first bad worker of a job; sets @which to its first worker if there is none. */
static bool find_bad_worker(const struct bench_run *run, const struct bench_job *job, size_t *which)
{
	for (uint32_t i = 0; i < job->event->job.shape.members; i++) {
		if (run->worker[job->worker[i]].bad) {
			*which = job->worker[i];
			return true;
		}
	}
	*which = job->worker[0];
	return false;
}

static bool record_members(struct bench_run *run, struct bench_job *job,
			   const struct place_decision *decision)
{
	if (decision->member_count != job->event->job.shape.members) {
		bench_count_violation(run, &run->out->partial_gangs, "gang placed in part",
				      decision->job);
		return false;
	}
	for (size_t i = 0; i < decision->member_count; i++) {
		gpointer index;

		if (!g_hash_table_lookup_extended(run->workers, decision->members[i].worker, NULL,
						  &index)) {
			bench_count_violation(run, &run->out->partial_gangs, "unknown worker",
					      decision->job);
			return false;
		}
		job->worker[i] = GPOINTER_TO_SIZE(index);
		job->mask[i] = decision->members[i].mask;
		if (!run->worker[job->worker[i]].free.up) {
			bench_count_violation(run, &run->out->partial_gangs,
					      "placed on a lost worker", decision->job);
			return false;
		}
	}
	return true;
}

static void apply_start(struct bench_run *run, struct bench_job *job,
			const struct place_decision *decision)
{
	size_t which;

	if (job->state != JOB_WAITING) {
		bench_count_violation(run, &run->out->doubled_jobs, "started twice", decision->job);
		return;
	}
	if (!record_members(run, job, decision))
		return;
	job->state = JOB_STARTING;
	job->attempt = decision->attempt;
	job->granted_ms = run->now_ms;
	account_resources(run, job, -1);
	if (job->event->never_runs || find_bad_worker(run, job, &which))
		bench_heap_push(run->heap, run->now_ms + START_FAILURE_MS, SCHEDULED_START_FAILED,
				job->attempt, job);
	else
		bench_heap_push(run->heap, run->now_ms + START_MS, SCHEDULED_STARTED, job->attempt,
				job);
}

static void apply_evict(struct bench_run *run, struct bench_job *job,
			const struct place_decision *decision)
{
	if (!bench_job_holds_accelerators(job) || job->state == JOB_STOPPING)
		return;
	if (!job->cancelled)
		run->out->evictions++;
	job->evict_checkpoint = decision->checkpoint && job->event->job.checkpoint;
	job->state = JOB_STOPPING;
	/* A checkpoint takes time, but seldom the whole grace time: half of it is assumed. */
	bench_heap_push(run->heap, run->now_ms + decision->grace_ms / 2, SCHEDULED_STOPPED,
			job->attempt, job);
}

static void apply_fail(struct bench_run *run, struct bench_job *job,
		       const struct place_decision *decision)
{
	if (job->state >= JOB_DONE)
		return;
	if (!job->event->never_runs)
		bench_count_violation(run, &run->out->lost_jobs, "given up although it can run",
				      decision->job);
	if (bench_job_holds_accelerators(job))
		account_resources(run, job, 1);
	run->out->jobs_failed++;
	end_job(run, job, JOB_FAILED);
}

static void on_decision(const struct place_decision *decision, void *ctx)
{
	struct bench_run *run = ctx;
	struct bench_job *job;

	if (decision->kind != PLACE_START && decision->kind != PLACE_EVICT &&
	    decision->kind != PLACE_FAIL)
		return;
	job = g_hash_table_lookup(run->jobs, decision->job);
	if (!job) {
		bench_count_violation(run, &run->out->doubled_jobs, "decision on an unknown job",
				      decision->job);
		return;
	}
	if (decision->kind == PLACE_START)
		apply_start(run, job, decision);
	else if (decision->kind == PLACE_EVICT)
		apply_evict(run, job, decision);
	else
		apply_fail(run, job, decision);
}

static double thread_cpu_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void step_policy(struct bench_run *run, double event_us)
{
	double start = thread_cpu_us();
	uint64_t delay = run->policy->step(run->now_ms, on_decision, run, run->policy->ctx);
	double spent = thread_cpu_us() - start + event_us;
	struct err err;

	g_array_append_val(run->decision_us, spent);
	run->out->decisions++;
	run->step_due_ms = run->now_ms + (delay ? delay : 1);
	if (run->options->check && run->policy->check(&err, run->policy->ctx))
		bench_count_violation(run, &run->out->guarantee_violations, err.message,
				      "invariant");
}

static bool is_large_job(const struct bench_run *run, const struct place_shape *shape)
{
	uint32_t worker = run->fleet->largest_worker;

	return (shape->members > 1 && 2 * shape->accelerators > worker) ||
	       shape->accelerators >= worker;
}

static void on_submit(struct bench_run *run, const struct bench_event *event)
{
	struct bench_job *job = talloc_zero(run->mem, struct bench_job);
	double start;
	struct err err;
	int ret;

	job->event = event;
	job->worker = talloc_zero_array(job, size_t, event->job.shape.members);
	job->mask = talloc_zero_array(job, uint64_t, event->job.shape.members);
	job->large = is_large_job(run, &event->job.shape);
	if (g_hash_table_lookup(run->jobs, event->job.id)) {
		bench_count_violation(run, &run->out->lost_jobs, "submitted twice", event->job.id);
		return;
	}
	start = thread_cpu_us();
	ret = run->policy->submit(&event->job, run->now_ms, &err, run->policy->ctx);
	if (ret) {
		bench_count_violation(run, &run->out->lost_jobs, err.message, event->job.id);
		return;
	}
	g_hash_table_insert(run->jobs, (gpointer)event->job.id, job);
	g_ptr_array_add(run->all_jobs, job);
	run->open_jobs++;
	job->within_guarantee = bench_fits_guarantee(run, job);
	bench_heap_push(run->heap, run->now_ms + event->job.declared_ms * STARVED_FACTOR,
			SCHEDULED_STARVE_CHECK, 0, job);
	step_policy(run, thread_cpu_us() - start);
}

static void on_cancel(struct bench_run *run, const char *id)
{
	struct bench_job *job = g_hash_table_lookup(run->jobs, id);
	int ret;

	if (!job || job->state >= JOB_DONE)
		return;
	job->cancelled = true;
	ret = run->policy->cancel(id, run->now_ms, run->policy->ctx);
	if (ret < 0) {
		bench_count_violation(run, &run->out->lost_jobs, "unknown to the policy", id);
		return;
	}
	if (ret == 0) {
		if (bench_job_holds_accelerators(job))
			account_resources(run, job, 1);
		run->out->jobs_cancelled++;
		end_job(run, job, JOB_CANCELLED);
	}
	step_policy(run, 0);
}

static bool job_on_worker(const struct bench_job *job, size_t worker)
{
	for (uint32_t i = 0; i < job->event->job.shape.members; i++) {
		if (job->worker[i] == worker)
			return true;
	}
	return false;
}

static void on_worker_down(struct bench_run *run, size_t index)
{
	struct bench_worker *worker = &run->worker[index];

	if (!worker->free.up)
		return;
	for (guint i = 0; i < run->all_jobs->len; i++) {
		struct bench_job *job = g_ptr_array_index(run->all_jobs, i);

		if (!bench_job_holds_accelerators(job) || !job_on_worker(job, index))
			continue;
		account_resources(run, job, 1);
		discard_progress(run, job, periodic_checkpoint_ms(job, run->now_ms));
		job->state = JOB_WAITING;
		if (job->cancelled) {
			run->out->jobs_cancelled++;
			end_job(run, job, JOB_CANCELLED);
		}
	}
	worker->free.up = false;
	run->up_accelerators -= worker->free.spec.accelerators;
	run->policy->worker_down(worker->free.spec.name, run->now_ms, run->policy->ctx);
	step_policy(run, 0);
}

static void bring_worker_up(struct bench_run *run, size_t index)
{
	struct bench_worker *worker = &run->worker[index];

	if (worker->free.up)
		return;
	worker->free.up = true;
	worker->free.mask = bench_fit_full_mask(worker->free.spec.accelerators);
	worker->free.cores = worker->free.spec.cores;
	worker->free.memory_mb = worker->free.spec.memory_mb;
	worker->bad = false;
	run->up_accelerators += worker->free.spec.accelerators;
	run->policy->worker_up(&worker->free.spec, run->now_ms, run->policy->ctx);
}

static void on_file_event(struct bench_run *run, const struct bench_event *event)
{
	gpointer index = NULL;

	if (event->kind == BENCH_SUBMIT) {
		on_submit(run, event);
		return;
	}
	if (event->kind == BENCH_CANCEL) {
		on_cancel(run, event->name);
		return;
	}
	if (!g_hash_table_lookup_extended(run->workers, event->name, NULL, &index))
		return;
	if (event->kind == BENCH_WORKER_DOWN) {
		on_worker_down(run, GPOINTER_TO_SIZE(index));
	} else if (event->kind == BENCH_WORKER_UP) {
		bring_worker_up(run, GPOINTER_TO_SIZE(index));
		step_policy(run, 0);
	} else {
		run->worker[GPOINTER_TO_SIZE(index)].bad = event->kind == BENCH_WORKER_BAD;
	}
}

static void on_started(struct bench_run *run, struct bench_job *job)
{
	job->state = JOB_RUNNING;
	job->run_start_ms = run->now_ms;
	if (!job->started_once)
		bench_record_first_start(run, job);
	run->policy->started(job->event->job.id, job->attempt, run->now_ms, run->policy->ctx);
	bench_heap_push(run->heap, run->now_ms + job->event->actual_ms - job->saved_ms,
			SCHEDULED_FINISHED, job->attempt, job);
	step_policy(run, 0);
}

static void on_start_failed(struct bench_run *run, struct bench_job *job)
{
	size_t which;

	find_bad_worker(run, job, &which);
	account_resources(run, job, 1);
	job->state = JOB_WAITING;
	run->policy->ended(job->event->job.id, job->attempt, PLACE_START_FAILED,
			   run->worker[which].free.spec.name, run->now_ms, run->policy->ctx);
	step_policy(run, 0);
}

static void on_finished(struct bench_run *run, struct bench_job *job)
{
	double completion = (double)(run->now_ms - job->event->time_ms) / MS_PER_S;

	account_resources(run, job, 1);
	g_array_append_val(run->completion, completion);
	run->out->jobs_done++;
	end_job(run, job, JOB_DONE);
	run->policy->ended(job->event->job.id, job->attempt, PLACE_DONE, NULL, run->now_ms,
			   run->policy->ctx);
	step_policy(run, 0);
}

static void on_stopped(struct bench_run *run, struct bench_job *job)
{
	uint64_t kept = job->evict_checkpoint ? job_progress_ms(job, run->now_ms)
					      : periodic_checkpoint_ms(job, run->now_ms);

	account_resources(run, job, 1);
	if (job->cancelled) {
		job->run_start_ms = 0;
		run->out->jobs_cancelled++;
		end_job(run, job, JOB_CANCELLED);
	} else {
		discard_progress(run, job, kept);
		job->state = JOB_WAITING;
		if (job->evict_checkpoint)
			run->policy->checkpointed(job->event->job.id, job->saved_ms,
						  run->policy->ctx);
	}
	run->policy->ended(job->event->job.id, job->attempt, PLACE_STOPPED, NULL, run->now_ms,
			   run->policy->ctx);
	step_policy(run, 0);
}

static void on_starve_check(struct bench_run *run, struct bench_job *job)
{
	if (job->started_once || job->state >= JOB_DONE || job->starved || job->event->never_runs)
		return;
	if (bench_could_have_started(run, job)) {
		job->starved = true;
		bench_count_violation(run, &run->out->starved_jobs, "starved", job->event->job.id);
		return;
	}
	bench_heap_push(run->heap, run->now_ms + job->event->job.declared_ms + 1000,
			SCHEDULED_STARVE_CHECK, 0, job);
}

static void on_scheduled_event(struct bench_run *run, const struct bench_heap_item *item)
{
	struct bench_job *job = item->subject;

	if (item->kind == SCHEDULED_STARVE_CHECK) {
		on_starve_check(run, job);
		return;
	}
	if (item->attempt != job->attempt)
		return;
	if (item->kind == SCHEDULED_STARTED && job->state == JOB_STARTING)
		on_started(run, job);
	else if (item->kind == SCHEDULED_START_FAILED && job->state == JOB_STARTING)
		on_start_failed(run, job);
	else if (item->kind == SCHEDULED_FINISHED && job->state == JOB_RUNNING)
		on_finished(run, job);
	else if (item->kind == SCHEDULED_STOPPED && job->state == JOB_STOPPING)
		on_stopped(run, job);
}

static double longest_large_wait(const struct bench_run *run)
{
	uint64_t longest = 0;

	for (guint i = 0; i < run->all_jobs->len; i++) {
		const struct bench_job *job = g_ptr_array_index(run->all_jobs, i);

		if (job->large && job->state == JOB_WAITING && !job->started_once &&
		    run->now_ms - job->event->time_ms > longest)
			longest = run->now_ms - job->event->time_ms;
	}
	return (double)longest / MS_PER_S;
}

/* Writes time, fragmentation, longest wait of a large job and utilisation once a minute. */
static void write_timeline(struct bench_run *run, double fragmentation)
{
	if (!run->options->timeline || run->now_ms < run->next_timeline_ms)
		return;
	run->next_timeline_ms = run->now_ms + TIMELINE_STEP_MS;
	fprintf(run->options->timeline, "%.1f %.4f %.1f %.4f\n", (double)run->now_ms / MS_PER_S,
		fragmentation, longest_large_wait(run),
		run->up_accelerators ? (double)run->used_accelerators / (double)run->up_accelerators
				     : 0.0);
}

static void advance_clock(struct bench_run *run, uint64_t to)
{
	uint64_t end = to < run->window_end_ms ? to : run->window_end_ms;

	if (end > run->now_ms) {
		double span = (double)(end - run->now_ms);
		double fragmentation = run->policy->fragmentation(run->policy->ctx);

		run->used_integral += span * (double)run->used_accelerators;
		run->up_integral += span * (double)run->up_accelerators;
		run->fragmentation_integral += span * fragmentation;
		write_timeline(run, fragmentation);
	}
	run->now_ms = to;
}

static uint64_t next_time(const struct bench_run *run, size_t next_event)
{
	uint64_t next = run->step_due_ms;
	uint64_t heap_time_ms;

	if (bench_heap_peek(run->heap, &heap_time_ms) && heap_time_ms < next)
		next = heap_time_ms;
	if (next_event < run->workload->event_count &&
	    run->workload->events[next_event].time_ms < next)
		next = run->workload->events[next_event].time_ms;
	return next;
}

static void replay_events(struct bench_run *run)
{
	size_t next_event = 0;

	while (next_event < run->workload->event_count || run->open_jobs > 0) {
		uint64_t next = next_time(run, next_event);
		struct bench_heap_item item;
		uint64_t heap_time_ms;

		if (next > run->window_end_ms + DRAIN_LIMIT_MS)
			return;
		advance_clock(run, next);
		if (next_event < run->workload->event_count &&
		    run->workload->events[next_event].time_ms <= run->now_ms)
			on_file_event(run, &run->workload->events[next_event++]);
		else if (bench_heap_peek(run->heap, &heap_time_ms) && heap_time_ms <= run->now_ms &&
			 bench_heap_pop(run->heap, &item))
			on_scheduled_event(run, &item);
		else
			step_policy(run, 0);
	}
}

static void init_run(struct bench_run *run)
{
	run->heap = bench_heap_create(run->mem);
	run->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	run->workers = g_hash_table_new(g_str_hash, g_str_equal);
	run->all_jobs = g_ptr_array_new();
	run->completion = g_array_new(FALSE, FALSE, sizeof(double));
	run->large_wait = g_array_new(FALSE, FALSE, sizeof(double));
	run->urgent_start = g_array_new(FALSE, FALSE, sizeof(double));
	run->decision_us = g_array_new(FALSE, FALSE, sizeof(double));
	run->worker = talloc_zero_array(run->mem, struct bench_worker, run->fleet->worker_count);
	for (size_t i = 0; i < run->fleet->worker_count; i++) {
		run->worker[i].free.spec = run->fleet->workers[i];
		g_hash_table_insert(run->workers, (gpointer)run->fleet->workers[i].name,
				    GSIZE_TO_POINTER(i));
		bring_worker_up(run, i);
	}
	for (size_t i = 0; i < run->workload->event_count; i++) {
		if (run->workload->events[i].kind == BENCH_SUBMIT)
			run->window_end_ms = run->workload->events[i].time_ms;
	}
}

static void free_run(struct bench_run *run)
{
	g_hash_table_destroy(run->jobs);
	g_hash_table_destroy(run->workers);
	g_ptr_array_free(run->all_jobs, TRUE);
	g_array_free(run->completion, TRUE);
	g_array_free(run->large_wait, TRUE);
	g_array_free(run->urgent_start, TRUE);
	g_array_free(run->decision_us, TRUE);
	talloc_free(run->mem);
}

void bench_replay(const struct bench_fleet *fleet, const struct bench_workload *workload,
		  const struct bench_policy *policy, const struct bench_replay_options *options,
		  struct bench_result *out)
{
	struct bench_run run = {
		.fleet = fleet,
		.workload = workload,
		.policy = policy,
		.options = options,
		.out = out,
		.mem = talloc_new(NULL),
	};

	memset(out, 0, sizeof(*out));
	init_run(&run);
	step_policy(&run, 0);
	replay_events(&run);
	bench_summarise(&run);
	free_run(&run);
}
