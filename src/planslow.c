#include "plan_int.h"

/*
 * Moves stalled tasks, and tasks of slow workers. It is made for workers that for some seconds
 * run several times slower than usual, or not at all, and still accept tasks.
 */

#define SAMPLE_MIN_MS 1200 /* shorter samples measure the granularity of progress reports */
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

/* False also for a gang member at 100%: it waits for slower members. */
static bool should_progress(const struct task *task)
{
	const struct jobspec_step *spec = task->step->spec;

	return task->state == TASK_RUNNING && !spec->long_running &&
	       !(spec->gang && task->percent >= PERCENT_DONE);
}

void plan_sample_speed(struct task *task, uint64_t now_ms)
{
	uint64_t passed_ms = now_ms - task->sample_ms;

	/* Before the first percent a task starts or restores a checkpoint; that is not sampled. */
	if (task->percent == 0 || !should_progress(task))
		return;
	if (task->sample_ms && passed_ms < SAMPLE_MIN_MS)
		return;
	if (task->sample_ms && task->percent >= task->sample_percent) {
		task->speed = (double)(task->percent - task->sample_percent) / (double)passed_ms;
		if (task->speed > task->best_speed)
			task->best_speed = task->speed;
		task->slow_samples =
			task->speed * SLOW_FACTOR < task->best_speed ? task->slow_samples + 1 : 0;
	}
	task->sample_ms = now_ms;
	task->sample_percent = task->percent;
}

/*
 * A gang on several workers advances at the speed of its slowest member, so none of the workers
 * can be found to be the slow one: the gang is moved, but no worker is marked slow or suspect.
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

void plan_move_stalled(struct plan *plan, uint64_t now_ms)
{
	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];

		for (struct task *task = worker->tasks; task; task = task->next_on_worker) {
			/* Without a list of the worker since then, the progress is unknown. */
			if (!should_progress(task) ||
			    worker->last_list_ms <= task->progress_ms + plan->params.stall_ms)
				continue;
			task->avoid = worker;
			if (!gang_spans_workers(task->step))
				plan_suspect_worker(worker, now_ms);
			plan_stop_gang(task, "it makes no progress");
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
		return plan_pick_worker(plan, task, now_ms) != NULL;
	workers = talloc_zero_array(NULL, struct worker *, step->spec->count);
	found = plan_pick_gang_workers(plan, step, false, now_ms, workers);
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
			plan_stop_gang(task, "its worker is slow");
		}
	}
}
