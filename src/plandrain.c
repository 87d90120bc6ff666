#include "plan_int.h"

#include <string.h>

/*
 * Moves work away from workers that leave at short notice. The load: up to 14% of the workers say
 * that they end 2 s later, while they run gangs and tasks of 2 to 8 s.
 *
 * What is expected to end in time is left alone. A stop saves the work of tasks that take
 * checkpoints, so these go on until the last moment at which a stop can still be confirmed. The
 * work of other tasks is lost in any case, so they are moved as soon as there is room elsewhere.
 * Gangs are moved as soon as there is room too: they need most of it, and their members on other
 * workers would wait for nothing.
 */

#define ORDER_MS 300 /* longest time for a stop order and the report of the end, seen so far */
#define DECISION_GAP_MS 100 /* between two decisions of a leader on a small host */
#define END_REPORT_MS 100   /* an end that is reported later may be lost with the worker */

/* Room that a task to be moved is going to take. */
struct claim {
	struct worker *worker;
	struct plan_resources need;
};

static bool is_active(const struct task *task)
{
	return task->state == TASK_STARTING || task->state == TASK_RUNNING;
}

/* Earliest time at which a worker of the task, or of a member of its gang, may end; 0: none. */
static uint64_t earliest_leave_ms(const struct task *task)
{
	const struct step_run *step = task->step;
	uint64_t earliest_ms = 0;

	for (uint32_t i = 0; i < step->spec->count; i++) {
		const struct task *member = step->spec->gang ? &step->tasks[i] : task;
		uint64_t leaves_ms = member->worker ? member->worker->leaves_ms : 0;

		if (leaves_ms && (!earliest_ms || leaves_ms < earliest_ms))
			earliest_ms = leaves_ms;
		if (!step->spec->gang)
			break;
	}
	return earliest_ms;
}

/* The members of a gang end together, with the last one. */
static bool ends_in_time(const struct plan *plan, const struct task *task, uint64_t leaves_ms,
			 uint64_t now_ms)
{
	const struct step_run *step = task->step;

	for (uint32_t i = 0; i < step->spec->count; i++) {
		const struct task *member = step->spec->gang ? &step->tasks[i] : task;
		uint64_t end_ms;

		if (!member->worker)
			return false;
		end_ms = plan_expected_end_ms(plan, member, now_ms);
		if (end_ms >= leaves_ms || end_ms + END_REPORT_MS > leaves_ms)
			return false;
		if (!step->spec->gang)
			break;
	}
	return true;
}

/* Each gang once, by its first member on a worker that leaves. */
static bool stands_for_unit(const struct task *task)
{
	const struct step_run *step = task->step;

	for (uint32_t i = 0; step->spec->gang && &step->tasks[i] != task; i++) {
		if (step->tasks[i].worker && step->tasks[i].worker->leaves_ms)
			return false;
	}
	return true;
}

/* Gangs first, then by priority. */
static int compare_units(gconstpointer first, gconstpointer second)
{
	const struct task *left = *(const struct task *const *)first;
	const struct task *right = *(const struct task *const *)second;
	const struct fleetconf_queue *left_queue = plan_task_job(left)->queue;
	const struct fleetconf_queue *right_queue = plan_task_job(right)->queue;
	uint32_t left_priority = left_queue ? left_queue->priority : UINT32_MAX;
	uint32_t right_priority = right_queue ? right_queue->priority : UINT32_MAX;

	if (left->step->spec->gang != right->step->spec->gang)
		return left->step->spec->gang ? -1 : 1;
	if (left_priority != right_priority)
		return left_priority < right_priority ? -1 : 1;
	return strcmp(left->name, right->name);
}

static GPtrArray *list_units(const struct plan *plan)
{
	GPtrArray *units = g_ptr_array_new();

	for (guint i = 0; i < plan->workers->len; i++) {
		const struct worker *worker = plan->workers->pdata[i];

		if (!worker->leaves_ms)
			continue;
		for (struct task *task = worker->tasks; task; task = task->next_on_worker) {
			if (stands_for_unit(task))
				g_ptr_array_add(units, task);
		}
	}
	g_ptr_array_sort(units, compare_units);
	return units;
}

static void change_use(struct worker *worker, const struct plan_resources *need, bool take)
{
	uint32_t sign = take ? 1 : UINT32_MAX;

	worker->used.cpu_milli += sign * need->cpu_milli;
	worker->used.memory_mb += sign * need->memory_mb;
	worker->used.accelerators += sign * need->accelerators;
}

/* The room of a gang's members is free for its next run, since all of them are stopped. */
static void change_own_use(const struct step_run *step, bool take)
{
	struct plan_resources need = plan_step_need(step->spec);

	for (uint32_t i = 0; i < step->spec->count; i++) {
		if (step->tasks[i].worker)
			change_use(step->tasks[i].worker, &need, take);
	}
}

/* Finds room for the next run of a task or gang, and keeps it from the next ones to be moved. */
static bool claim_room(struct plan *plan, struct task *task, uint64_t now_ms, GArray *claims)
{
	struct step_run *step = task->step;
	uint32_t count = step->spec->gang ? step->spec->count : 1;
	struct worker **workers = talloc_zero_array(NULL, struct worker *, count);
	bool found;

	if (step->spec->gang) {
		change_own_use(step, false);
		found = plan_pick_gang_workers(plan, step, false, PLAN_WAIVE_RACK, now_ms, workers);
		change_own_use(step, true);
	} else {
		workers[0] = plan_pick_worker(plan, task, PLAN_WAIVE_RACK, now_ms);
		found = workers[0] != NULL;
	}
	for (uint32_t i = 0; found && i < count; i++) {
		struct claim claim = {workers[i], plan_step_need(step->spec)};

		change_use(claim.worker, &claim.need, true);
		g_array_append_val(claims, claim);
	}
	talloc_free(workers);
	return found;
}

static void release_claims(GArray *claims)
{
	for (guint i = 0; i < claims->len; i++) {
		struct claim *claim = &g_array_index(claims, struct claim, i);

		change_use(claim->worker, &claim->need, false);
	}
	g_array_free(claims, TRUE);
}

/* Urgent work makes room for itself by evictions, and does so once it waits. */
static bool makes_its_room(const struct task *task)
{
	const struct job *job = plan_task_job(task);

	return job->guaranteed || (job->queue && job->queue->priority == 0);
}

/* @moved: tasks that this decision moves */
static bool should_move(struct plan *plan, struct task *task, uint64_t now_ms,
			struct plan_stopset *moved, GArray *claims)
{
	const struct jobspec_step *spec = task->step->spec;
	uint64_t leaves_ms = earliest_leave_ms(task);
	bool last_moment = now_ms + plan->params.stop_ms + ORDER_MS + DECISION_GAP_MS >= leaves_ms;
	bool has_room;

	/* The time is over: a stop comes too late to save anything, and the worker may stay. */
	if (now_ms >= leaves_ms)
		return false;
	if (!plan_stopset_may_stop(moved, task))
		return false;
	if (ends_in_time(plan, task, leaves_ms, now_ms))
		return false;
	has_room = claim_room(plan, task, now_ms, claims);
	if (spec->checkpoints)
		return last_moment || (spec->gang && has_room);
	/* A run that its worker has not confirmed has no work to lose. */
	return has_room || makes_its_room(task) || task->state == TASK_STARTING;
}

bool plan_move_from_leaving(struct plan *plan, uint64_t now_ms)
{
	GPtrArray *units = list_units(plan);
	GArray *claims = g_array_new(FALSE, FALSE, sizeof(struct claim));
	struct plan_stopset *moved = plan_stopset_create(plan, now_ms);
	bool work_left = units->len > 0;

	for (guint i = 0; i < units->len; i++) {
		struct task *task = units->pdata[i];

		if (!is_active(task)) {
			claim_room(plan, task, now_ms, claims);
		} else if (should_move(plan, task, now_ms, moved, claims)) {
			plan_stopset_add(moved, task, 0);
			plan_move_task(plan, task, PLAN_MOVE_LEAVES, now_ms);
		}
	}
	plan_stopset_destroy(moved);
	release_claims(claims);
	g_ptr_array_free(units, TRUE);
	return work_left;
}

uint32_t plan_count_leaving(const struct job *job)
{
	uint32_t count = 0;

	for (const struct occurrence *occurrence = job->occurrences; occurrence;
	     occurrence = occurrence->next) {
		for (size_t s = 0; s < job->spec->step_count; s++) {
			const struct step_run *step = &occurrence->steps[s];

			for (uint32_t i = 0; i < step->spec->count; i++)
				count += step->tasks[i].worker && step->tasks[i].worker->leaves_ms;
		}
	}
	return count;
}
