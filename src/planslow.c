#include "plan_int.h"

/*
 * Tasks that stand still and workers that turn slow. The load it answers: workers that work
 * several times slower than usual, or not at all, for some seconds, and still accept tasks.
 */

#define SAMPLE_MS 1200 /* shorter samples see the steps in which progress is reported */
/*
 * A task is slow against its own best speed. Callers' estimates are off by up to ten times,
 * and tasks of one step differ by as much. Samples are off by half.
 */
#define SLOW_FACTOR 5.0
#define SLOW_SAMPLES 2	  /* in a row; one may fall into a pause of the worker */
#define SLOW_REST_MS 3000 /* a slow worker gets nothing new for this time */
#define MOVE_GAIN_MS 1000 /* a move has to save at least this much */
#define PERCENT 100.0

/* A member of a gang that is through waits for the others, which may be slower. */
static bool at_work(const struct task *task)
{
	const struct jobspec_step *spec = task->step->spec;

	return task->state == TASK_RUNNING && !spec->long_running &&
	       !(spec->gang && task->percent >= PERCENT);
}

void plan_sample_speed(struct task *task, uint64_t now_ms)
{
	uint64_t passed_ms = now_ms - task->sample_ms;

	/* The start and the restoring of a checkpoint are no part of the work. */
	if (task->percent == 0 || !at_work(task))
		return;
	if (task->sample_ms && passed_ms < SAMPLE_MS)
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
 * A gang on several workers advances at the pace of its slowest member, so no single worker
 * can be blamed; it is only moved.
 */
static bool spans_workers(const struct step_run *step)
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
			/* Without a new list nothing is known of the progress. */
			if (!at_work(task) ||
			    worker->listed_ms <= task->progress_ms + plan->params.stall_ms)
				continue;
			task->avoid = worker;
			if (!spans_workers(task->step))
				plan_suspect(worker, now_ms);
			plan_stop_gang(task, "it stands still");
		}
	}
}

static bool is_slow(const struct task *task)
{
	return at_work(task) && task->slow_samples >= SLOW_SAMPLES;
}

/* Time that a fresh start elsewhere takes, from the checkpoint if there is one. */
static double restart_ms(const struct plan *plan, const struct task *task)
{
	const struct jobspec_step *spec = task->step->spec;
	double left = PERCENT;

	if (spec->checkpoints && task->checkpoint)
		left -= task->saved_percent;
	return left / task->best_speed + plan->params.stop_ms;
}

static bool worth_moving(const struct plan *plan, const struct task *task)
{
	double here_ms = (PERCENT - task->percent) / (task->speed + 1e-6);

	return here_ms > restart_ms(plan, task) + MOVE_GAIN_MS;
}

static bool room_elsewhere(struct plan *plan, struct task *task, uint64_t now_ms)
{
	struct step_run *step = task->step;
	struct worker **places;
	bool found;

	if (!step->spec->gang)
		return plan_pick(plan, task, now_ms) != NULL;
	places = talloc_zero_array(NULL, struct worker *, step->spec->count);
	found = plan_pick_gang(plan, step, false, now_ms, places);
	talloc_free(places);
	return found;
}

void plan_move_slow(struct plan *plan, uint64_t now_ms)
{
	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];

		for (struct task *task = worker->tasks; task; task = task->next_on_worker) {
			if (!is_slow(task))
				continue;
			if (!spans_workers(task->step))
				worker->slow_until_ms = now_ms + SLOW_REST_MS;
			if (!worth_moving(plan, task) || !room_elsewhere(plan, task, now_ms))
				continue;
			task->avoid = worker;
			plan_stop_gang(task, "its worker is slow");
		}
	}
}
