#include "plan_int.h"

/*
 * Moves stalled tasks, and tasks of slow workers. It is made for workers that for some seconds
 * run several times slower than usual, or not at all, and still accept tasks, also for those that
 * let only a part of their tasks stand still. Urgent gangs of 2 to 3 s lose their objective if a
 * stall is found only after 2 s, so for them several lists without progress suffice.
 */

#define SAMPLE_MIN_MS 1200 /* shorter samples measure the granularity of progress reports */
/*
 * A task stands still if its percent has not changed for this many times as long as one takes. A
 * slower worker that still works is found by SLOW_FACTOR.
 */
#define STALL_FACTOR 10.0
/* Estimates of callers are wrong by a factor of up to ten; as much again covers the start. */
#define ESTIMATE_FACTOR 20.0
#define STALL_LIMIT_MAX_MS 1e10
/* A task that has shown no progress gets four times as long on each further worker. */
#define STALL_BACKOFF_BITS 2
#define STALL_BACKOFF_MAX 8
/*
 * A task is slow if its speed is below its own best speed by this factor. Estimates of callers
 * are wrong by a factor of up to ten and tasks of one step differ by as much, so neither is a
 * reference. Samples are off by half.
 */
#define SLOW_FACTOR 5.0
#define SLOW_SAMPLES 2		  /* in a row; a single one may fall into a pause of the worker */
#define SLOW_WORKER_PAUSE_MS 3000 /* a slow worker gets no new tasks for this time */
#define MOVE_GAIN_MIN_MS 1000	  /* a move has to save at least this much */
#define PERCENT_DONE 100.0
#define STILL_LISTS_MIN 2   /* after the one with the latest progress; a single one may be late */
#define SHARED_STALLS_MAX 2 /* from this many other workers on, a stall speaks against none */
#define LIST_GAP_MIN_MS 100 /* a list that is reported again differs by less than this */
/* The same as STALL_BACKOFF_BITS, for tasks of priority 0: the next worker may have the same fault.
 */
#define URGENT_BACKOFF_BITS 1

/* False also for a gang member at 100%: it waits for slower members. */
static bool should_progress(const struct task *task)
{
	const struct jobspec_step *spec = task->step->spec;

	return task->state == TASK_RUNNING && !spec->long_running &&
	       !(spec->gang && task->percent >= PERCENT_DONE);
}

/* Lists that are delayed on their way are older than what is known already. */
static uint64_t time_since_ms(uint64_t then_ms, uint64_t now_ms)
{
	return now_ms > then_ms ? now_ms - then_ms : 0;
}

static bool is_urgent(const struct task *task)
{
	const struct job *job = plan_task_job(task);

	return job->queue && job->queue->priority == 0;
}

/* When the last member of a gang was listed; a gang does nothing before. UINT64_MAX: not yet. */
static uint64_t complete_since_ms(const struct task *task)
{
	const struct step_run *step = task->step;
	uint64_t since_ms = task->began_ms;

	for (uint32_t i = 0; step->spec->gang && i < step->spec->count; i++) {
		if (step->tasks[i].state == TASK_DONE)
			continue;
		if (step->tasks[i].state != TASK_RUNNING)
			return UINT64_MAX;
		since_ms = MAX(since_ms, step->tasks[i].began_ms);
	}
	return since_ms;
}

/* Counts the lists that show no progress; one that is reported again is not counted. */
static void count_still_list(struct task *task, bool changed, uint64_t list_ms)
{
	if (changed || complete_since_ms(task) == UINT64_MAX) {
		task->still_lists = 0;
		task->still_list_ms = list_ms;
	} else if (list_ms >= task->still_list_ms + LIST_GAP_MIN_MS) {
		task->still_lists++;
		task->still_list_ms = list_ms;
	}
}

static void begin_sample(struct task *task, bool changed, uint64_t now_ms)
{
	task->sample_ms = now_ms;
	task->sample_percent = task->percent;
	task->sample_aligned = changed;
}

/*
 * Ends a sample once it is long enough and either the percent has changed or even the next percent
 * would make it slow. A task may need hours for a percent, so only samples from one change to
 * another measure the speed that it can have.
 */
static void sample_speed(struct task *task, bool changed, uint64_t now_ms)
{
	uint64_t passed_ms = time_since_ms(task->sample_ms, now_ms);
	uint32_t done;
	double speed;

	/* Before the first percent a task starts or restores a checkpoint; that is not sampled. */
	if (task->percent == 0 || !should_progress(task))
		return;
	if (!task->sample_ms || task->percent < task->sample_percent) {
		if (changed)
			begin_sample(task, true, now_ms);
		return;
	}
	if (passed_ms < SAMPLE_MIN_MS)
		return;
	done = task->percent - task->sample_percent;
	speed = (double)(changed ? done : done + 1) / (double)passed_ms;
	if (!changed && speed * SLOW_FACTOR >= task->best_speed)
		return;
	task->speed = speed;
	if (changed && task->sample_aligned && speed > task->best_speed)
		task->best_speed = speed;
	task->slow_samples = speed * SLOW_FACTOR < task->best_speed ? task->slow_samples + 1 : 0;
	begin_sample(task, changed, now_ms);
}

void plan_record_percent(struct task *task, uint32_t percent, uint64_t now_ms)
{
	bool changed = percent != task->percent;

	count_still_list(task, changed, now_ms);
	/* A task that continues from a checkpoint begins within a percent. */
	if (percent > task->percent && (task->percent == 0 || task->sample_ms))
		task->percent_ms =
			time_since_ms(task->percent_changed_ms, now_ms) / (percent - task->percent);
	if (changed) {
		task->progress_ms = now_ms;
		task->percent_changed_ms = now_ms;
	}
	if (percent > task->stalled_percent)
		task->stalls = 0;
	if (percent >= PERCENT_DONE)
		task->own_end_ms = 0;
	task->percent = percent;
	sample_speed(task, changed, now_ms);
}

/* Other workers on which the task has stood still and not got further since. */
static uint32_t stalls_elsewhere(const struct task *task)
{
	return task->stalls - (task->stalls > 0 && task->stalled_on == task->worker);
}

/* A run that continues from a checkpoint restores it first, for as long as a stall may last. */
static bool uses_urgent_limit(const struct plan *plan, const struct task *task)
{
	bool may_restore = task->checkpoint && task->percent <= task->base_percent;

	return plan->params.urgent_stall_ms > 0 && is_urgent(task) && !may_restore;
}

/* Time without a sign of progress after which the task stands still. */
static uint64_t stall_limit_ms(const struct plan *plan, const struct task *task)
{
	bool urgent = uses_urgent_limit(plan, task);
	double limit_ms = urgent ? plan->params.urgent_stall_ms : plan->params.stall_ms;
	uint32_t backoff_bits = urgent ? URGENT_BACKOFF_BITS : STALL_BACKOFF_BITS;
	uint32_t backoff = 0;

	if (task->best_speed > 0) {
		limit_ms = MAX(limit_ms, STALL_FACTOR / task->best_speed);
	} else if (task->percent_ms > 0) {
		limit_ms = MAX(limit_ms, STALL_FACTOR * (double)task->percent_ms);
	} else {
		limit_ms = MAX(limit_ms, ESTIMATE_FACTOR / PERCENT_DONE *
						 (double)task->step->spec->estimate_ms);
		backoff = backoff_bits * MIN(stalls_elsewhere(task), STALL_BACKOFF_MAX);
	}
	return (uint64_t)MIN(limit_ms, STALL_LIMIT_MAX_MS) << backoff;
}

static void count_stall(struct task *task)
{
	struct step_run *step = task->step;

	for (uint32_t i = 0; i < step->spec->count; i++) {
		struct task *member = step->spec->gang ? &step->tasks[i] : task;

		member->stalls = stalls_elsewhere(member) + 1;
		member->stalled_on = member->worker;
		member->stalled_percent = MAX(member->stalled_percent, member->percent);
		if (!step->spec->gang)
			break;
	}
}

/*
 * A gang on several workers advances at the speed of its slowest member, so none of the workers
 * can be found to be the slow one: the gang is moved, but no worker is marked slow or suspect. The
 * evidence is shared between them, see planevidence.c.
 */
static bool gang_spans_workers(const struct step_run *step)
{
	if (!step->spec->gang)
		return false;
	for (uint32_t i = 1; i < step->spec->count; i++) {
		if (step->tasks[i].worker != step->tasks[0].worker)
			return true;
	}
	return false;
}

/* Without a list of the worker since then, the progress is unknown. */
static bool stands_still(const struct plan *plan, const struct task *task)
{
	uint64_t since_ms = complete_since_ms(task);

	if (!should_progress(task) || since_ms == UINT64_MAX)
		return false;
	if (uses_urgent_limit(plan, task) && task->still_lists < STILL_LISTS_MIN)
		return false;
	since_ms = MAX(since_ms, task->progress_ms);
	return task->worker->last_list_ms > since_ms + stall_limit_ms(plan, task);
}

void plan_move_stalled(struct plan *plan, uint64_t now_ms)
{
	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];

		for (struct task *task = worker->tasks; task; task = task->next_on_worker) {
			if (!stands_still(plan, task))
				continue;
			task->avoid = worker;
			/* A task that has stood still elsewhere says nothing of this worker. */
			if (!gang_spans_workers(task->step) && stalls_elsewhere(task) == 0)
				plan_suspect_worker(worker, now_ms);
			if (stalls_elsewhere(task) < SHARED_STALLS_MAX)
				plan_add_shared_evidence(plan, task, PLAN_EVIDENCE_STALL, now_ms);
			count_stall(task);
			plan_move_task(plan, task, PLAN_MOVE_STALLED, now_ms);
		}
	}
}

static bool is_slow(const struct task *task)
{
	return should_progress(task) && task->slow_samples >= SLOW_SAMPLES;
}

/* Time to stop the task and run it elsewhere, from its checkpoint if there is one. */
static double estimated_restart_ms(const struct plan *plan, const struct task *task)
{
	const struct jobspec_step *spec = task->step->spec;
	double remaining_percent = PERCENT_DONE;

	if (spec->checkpoints && task->checkpoint)
		remaining_percent -= task->saved_percent;
	return remaining_percent / task->best_speed + plan->params.stop_ms;
}

static bool worth_moving(const struct plan *plan, const struct task *task)
{
	double here_ms = (PERCENT_DONE - task->percent) / (task->speed + 1e-6);

	return here_ms > estimated_restart_ms(plan, task) + MOVE_GAIN_MIN_MS;
}

static bool fits_elsewhere(struct plan *plan, struct task *task, uint64_t now_ms)
{
	struct step_run *step = task->step;
	struct worker **workers;
	bool found;

	if (!step->spec->gang)
		return plan_pick_worker(plan, task, 0, now_ms) != NULL;
	workers = talloc_zero_array(NULL, struct worker *, step->spec->count);
	found = plan_pick_gang_workers(plan, step, false, 0, now_ms, workers);
	talloc_free(workers);
	return found;
}

void plan_move_slow(struct plan *plan, uint64_t now_ms)
{
	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];

		for (struct task *task = worker->tasks; task; task = task->next_on_worker) {
			if (!is_slow(task))
				continue;
			if (!gang_spans_workers(task->step))
				worker->slow_until_ms = now_ms + SLOW_WORKER_PAUSE_MS;
			if (!worth_moving(plan, task) || !fits_elsewhere(plan, task, now_ms))
				continue;
			task->avoid = worker;
			plan_add_shared_evidence(plan, task, PLAN_EVIDENCE_SLOW, now_ms);
			plan_move_task(plan, task, PLAN_MOVE_SLOW, now_ms);
		}
	}
}
