#include "plan_int.h"

/*
 * Which long-running tasks give way. They are made to run until their job is cancelled, so what
 * they hold comes back only when they are stopped. A step says how many of its tasks may be
 * unavailable at a time; one that says nothing is stopped only when nothing else would do.
 */

#define PERCENT_AT_WORK 100
/* From the decision to stop a task until the order reaches its worker. */
#define ORDER_DELAY_MS 500

bool plan_is_at_work(const struct task *task)
{
	return task->state == TASK_RUNNING && task->percent >= PERCENT_AT_WORK;
}

/* True while an order of a former leader, which this one doesn't know, may end the task. */
static bool may_be_stopping(const struct plan *plan, const struct task *task, uint64_t now_ms)
{
	return task->adopted_ms &&
	       now_ms < task->adopted_ms + ORDER_DELAY_MS + plan->params.stop_ms;
}

bool plan_is_unavailable(const struct plan *plan, const struct task *task, uint64_t now_ms)
{
	uint64_t ends_ms = now_ms + ORDER_DELAY_MS + plan->params.stop_ms;

	if (plan_is_at_work(task))
		return may_be_stopping(plan, task, now_ms);
	/* Whatever else keeps it away may be due to an order. */
	return !task->own_end_ms || ends_ms >= task->own_end_ms + plan->params.unavailable_after_ms;
}

static bool was_displaced_last(const struct plan *plan, const struct task *task)
{
	return task->displaced_ms && task->displaced_ms == plan->displaced_ms;
}

static bool is_reclaimable(const struct plan *plan, const struct task *task,
			   enum plan_reclaim reclaim)
{
	bool in_turn = !was_displaced_last(plan, task);

	switch (reclaim) {
	case PLAN_RECLAIM_NONE:
		return false;
	case PLAN_RECLAIM_ALLOWED_IN_TURN:
		return task->step->spec->max_unavailable > 0 && in_turn;
	case PLAN_RECLAIM_ALLOWED:
		return task->step->spec->max_unavailable > 0;
	case PLAN_RECLAIM_IN_TURN:
		return task->step->spec->max_unavailable > 0 || in_turn;
	default:
		return true;
	}
}

bool plan_mark_reclaimable(struct plan *plan, enum plan_reclaim reclaim)
{
	bool changed = false;

	for (guint i = 0; i < plan->workers->len; i++) {
		const struct worker *worker = plan->workers->pdata[i];

		for (struct task *task = worker->tasks; task; task = task->next_on_worker) {
			bool reclaimable = task->step->spec->long_running &&
					   is_reclaimable(plan, task, reclaim);

			changed = changed || reclaimable != task->reclaimable;
			task->reclaimable = reclaimable;
		}
	}
	return changed;
}

bool plan_spare_disallowed(struct plan *plan, struct plan_stopset *victims)
{
	bool changed = false;

	for (guint i = 0; i < plan->workers->len; i++) {
		const struct worker *worker = plan->workers->pdata[i];

		for (struct task *task = worker->tasks; task; task = task->next_on_worker) {
			if (!task->reclaimable || plan_stopset_has(victims, task) ||
			    plan_stopset_may_stop(victims, task))
				continue;
			task->reclaimable = false;
			changed = true;
		}
	}
	return changed;
}

void plan_displace_task(struct plan *plan, struct task *task, const char *reason, uint64_t now_ms)
{
	struct step_run *step = task->step;

	if (step->spec->long_running) {
		for (uint32_t i = 0; step->spec->gang && i < step->spec->count; i++)
			step->tasks[i].displaced_ms = now_ms;
		task->displaced_ms = now_ms;
		plan->displaced_ms = now_ms;
	}
	plan_stop_gang(task, reason);
}
