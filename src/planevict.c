#include "plan_int.h"

#include <string.h>

/*
 * Eviction: stops tasks to make room for more urgent jobs. It is made for bursts of urgent gangs
 * that arrive while longer tasks hold most of the fleet.
 *
 * Jobs of priority 0 within the guaranteed accelerators of their organisation evict every task
 * of jobs that are not guaranteed, at any cost; long-running tasks only where other tasks do not
 * hold enough, and within max_unavailable of their steps. Other jobs of priority 0 evict tasks of
 * lower priority, but no long-running ones, if the work lost is worth less than the work gained.
 *
 * Fillers outside the guarantee give way to tasks with a latency target, whatever the priorities,
 * because the two slow each other down and do not share a worker.
 */

/*
 * Upper bound for the work lost by an eviction, as a multiple of the urgent step's own work.
 * Measured on the standard days; an urgent job is worth several times as much as a long one of
 * equal size.
 */
#define URGENT_WASTE_FACTOR 1.0
/* For the order to stop on its way to the worker and the report of the end on its way back. */
#define ROOM_MADE_MARGIN_MS 500

static uint64_t peak_accelerators(const struct jobspec *spec)
{
	uint64_t most = 0;

	/* Steps that depend on each other do not need their accelerators at the same time. */
	for (size_t i = 0; i < spec->step_count; i++) {
		uint64_t need = (uint64_t)spec->steps[i].count * spec->steps[i].accelerators;

		if (need > most)
			most = need;
	}
	return most;
}

static bool can_be_guaranteed(const struct job *job)
{
	return !plan_job_ended(job) && job->queue && job->queue->priority == 0;
}

/* Earlier jobs come first, so a later job beyond the guarantee takes nothing away from them. */
static int compare_acceptance(gconstpointer first, gconstpointer second)
{
	const struct job *left = *(const struct job *const *)first;
	const struct job *right = *(const struct job *const *)second;

	if (left->accepted_ms != right->accepted_ms)
		return left->accepted_ms < right->accepted_ms ? -1 : 1;
	return strcmp(left->id, right->id);
}

static void mark_guaranteed_jobs(GPtrArray *jobs, const struct fleetconf_organisation *organisation)
{
	uint64_t used = 0;

	for (guint i = 0; i < jobs->len; i++) {
		struct job *job = jobs->pdata[i];
		uint64_t need = peak_accelerators(job->spec);

		if (strcmp(job->organisation, organisation->name) != 0 ||
		    used + need > organisation->guaranteed_accelerators)
			continue;
		used += need;
		job->guaranteed = need > 0;
	}
}

void plan_mark_guaranteed(struct plan *plan)
{
	GPtrArray *jobs = g_ptr_array_new();

	for (guint i = 0; i < plan->active->len; i++) {
		struct job *job = plan->active->pdata[i];

		job->guaranteed = false;
		if (can_be_guaranteed(job))
			g_ptr_array_add(jobs, job);
	}
	g_ptr_array_sort(jobs, compare_acceptance);
	for (size_t i = 0; plan->conf && i < plan->conf->organisation_count; i++)
		mark_guaranteed_jobs(jobs, &plan->conf->organisations[i]);
	g_ptr_array_free(jobs, TRUE);
}

bool plan_evictable(const struct task *task, const struct job *beneficiary)
{
	const struct job *job = plan_task_job(task);

	/* The room of a task that is being stopped becomes free in any case. */
	if (task->state == TASK_STOPPING)
		return true;
	if (job == beneficiary)
		return false;
	if (job->guaranteed)
		return false;
	if (task->step->spec->long_running)
		return task->reclaimable;
	if (plan_is_protected(task) && !beneficiary->evicts_protected)
		return false;
	if (beneficiary->guaranteed)
		return true;
	return job->queue && job->queue->priority > beneficiary->queue->priority;
}

/* Room in use after the stops that are under way. */
struct plan_resources plan_use_after_stops(const struct worker *worker)
{
	struct plan_resources used = {0};

	for (const struct task *task = worker->tasks; task; task = task->next_on_worker) {
		struct plan_resources need = plan_step_need(task->step->spec);

		if (task->state != TASK_STOPPING)
			plan_add_resources(&used, &need);
	}
	return used;
}

/* Tasks to be stopped; one member stands for its whole gang. */
struct victims {
	GPtrArray *tasks;
	double cost;
};

static bool is_victim(const struct victims *victims, const struct task *task)
{
	for (guint i = 0; i < victims->tasks->len; i++) {
		const struct task *victim = victims->tasks->pdata[i];

		if (victim == task || (task->step->spec->gang && victim->step == task->step))
			return true;
	}
	return false;
}

/* Room in use on a worker after the stops under way and those of the victims. */
static struct plan_resources use_beside_victims(const struct worker *worker,
						const struct victims *victims)
{
	struct plan_resources used = {0};

	for (const struct task *task = worker->tasks; task; task = task->next_on_worker) {
		struct plan_resources taken = plan_step_need(task->step->spec);

		if (task->state != TASK_STOPPING && !is_victim(victims, task))
			plan_add_resources(&used, &taken);
	}
	return used;
}

/* Leaves out the tasks of a worker that need not be stopped, the dearest first. */
static void spare_needless_victims(const struct worker *worker, const struct plan_resources *need,
				   guint first, uint64_t now_ms, struct victims *victims)
{
	guint i = victims->tasks->len;

	/* The cheapest were added first. */
	while (i-- > first) {
		struct task *task = victims->tasks->pdata[i];
		struct plan_resources used;

		g_ptr_array_remove_index(victims->tasks, i);
		used = use_beside_victims(worker, victims);
		if (plan_fits(&worker->room, &used, need))
			victims->cost -= plan_eviction_cost(task, now_ms);
		else
			g_ptr_array_insert(victims->tasks, (gint)i, task);
	}
}

static bool is_serving(const struct step_run *step)
{
	return step->spec->latency_target_ms > 0 && !step->spec->filler;
}

/* Adds all fillers of a worker; false if one of them has to stay. */
static bool choose_fillers(const struct plan *plan, const struct worker *worker,
			   const struct job *job, uint64_t now_ms, struct victims *victims)
{
	for (struct task *task = worker->tasks; task; task = task->next_on_worker) {
		if (!task->step->spec->filler || task->state == TASK_STOPPING ||
		    is_victim(victims, task))
			continue;
		if (plan_task_job(task)->guaranteed ||
		    (plan_is_protected(task) && !job->evicts_protected) ||
		    !plan_may_stop_lasting(plan, task, victims->tasks, now_ms))
			return false;
		victims->cost += plan_eviction_cost(task, now_ms);
		g_ptr_array_add(victims->tasks, task);
	}
	return true;
}

/* Adds the cheapest tasks of a worker until @need fits beside the remaining tasks. */
static bool choose_victims(const struct plan *plan, const struct worker *worker,
			   const struct plan_resources *need, const struct job *job,
			   uint64_t now_ms, struct victims *victims)
{
	struct plan_resources used = use_beside_victims(worker, victims);
	guint first = victims->tasks->len;

	while (!plan_fits(&worker->room, &used, need)) {
		struct task *cheapest = NULL;

		for (struct task *task = worker->tasks; task; task = task->next_on_worker) {
			if (task->state == TASK_STOPPING || is_victim(victims, task) ||
			    !plan_evictable(task, job) ||
			    !plan_may_stop_lasting(plan, task, victims->tasks, now_ms))
				continue;
			if (!cheapest ||
			    plan_eviction_cost(task, now_ms) < plan_eviction_cost(cheapest, now_ms))
				cheapest = task;
		}
		if (!cheapest)
			return false;
		victims->cost += plan_eviction_cost(cheapest, now_ms);
		g_ptr_array_add(victims->tasks, cheapest);
		/* Several members of a gang may be on the worker. */
		used = use_beside_victims(worker, victims);
	}
	spare_needless_victims(worker, need, first, now_ms, victims);
	return true;
}

static bool is_first_on_worker(struct worker *const *workers, uint32_t index)
{
	for (uint32_t i = 0; i < index; i++) {
		if (workers[i] == workers[index])
			return false;
	}
	return workers[index] != NULL;
}

static bool choose_gang_victims(const struct plan *plan, const struct step_run *step,
				struct worker *const *workers, uint64_t now_ms,
				struct victims *victims)
{
	struct plan_resources need = plan_step_need(step->spec);

	for (uint32_t i = 0; i < step->spec->count; i++) {
		struct plan_resources sum = {0};

		if (!is_first_on_worker(workers, i))
			continue;
		/* Room is made for all members on this worker together. */
		for (uint32_t k = i; k < step->spec->count; k++) {
			if (workers[k] == workers[i])
				plan_add_resources(&sum, &need);
		}
		if (!choose_victims(plan, workers[i], &sum, step->occurrence->job, now_ms, victims))
			return false;
	}
	return true;
}

/*
 * Chooses workers for a gang, and victims on them, among the evictable tasks. A choice that takes
 * more tasks of a step than it allows is repeated without the surplus ones.
 */
static bool choose_gang_room(struct plan *plan, struct step_run *step, unsigned int waived,
			     uint64_t now_ms, struct worker **workers, struct victims *victims)
{
	do {
		g_ptr_array_set_size(victims->tasks, 0);
		victims->cost = 0;
		if (!plan_pick_gang_workers(plan, step, true, waived, now_ms, workers))
			return false;
		if (choose_gang_victims(plan, step, workers, now_ms, victims))
			return true;
	} while (plan_spare_disallowed(plan, victims->tasks, now_ms));
	return false;
}

/* The same; long-running tasks are evictable only for the guaranteed, and as few as will do. */
static bool reclaim_gang_room(struct plan *plan, struct step_run *step, unsigned int waived,
			      uint64_t now_ms, struct worker **workers, struct victims *victims)
{
	struct job *job = step->occurrence->job;
	bool found = choose_gang_room(plan, step, waived, now_ms, workers, victims);

	/* Tasks evicted too often come next, and only then those that last. */
	if (!found && job->guaranteed && plan->has_protected) {
		job->evicts_protected = true;
		found = choose_gang_room(plan, step, waived, now_ms, workers, victims);
	}
	for (int reclaim = PLAN_RECLAIM_ALLOWED_IN_TURN;
	     job->guaranteed && !found && reclaim <= PLAN_RECLAIM_ALL; reclaim++) {
		if (plan_mark_reclaimable(plan, reclaim))
			found = choose_gang_room(plan, step, waived, now_ms, workers, victims);
	}
	if (job->guaranteed)
		plan_mark_reclaimable(plan, PLAN_RECLAIM_NONE);
	job->evicts_protected = false;
	return found;
}

/* What may be stopped for a step. */
enum eviction_kind {
	EVICT_URGENT,  /* whatever plan_evictable() accepts */
	EVICT_FILLERS, /* only fillers, for a step with a latency target */
};

static enum plan_evict_reason eviction_reason(const struct job *job, enum eviction_kind kind)
{
	if (kind == EVICT_FILLERS)
		return PLAN_EVICT_LATENCY;
	return job->guaranteed ? PLAN_EVICT_GUARANTEE : PLAN_EVICT_URGENT;
}

/* Notes that stops make room for the step; later ones do not extend the time. */
static void note_room_made(const struct plan *plan, struct step_run *step, uint64_t now_ms)
{
	if (step->room_made_until_ms <= now_ms)
		step->room_made_until_ms = now_ms + plan->params.stop_ms + ROOM_MADE_MARGIN_MS;
}

/*
 * @firm: stops make room for the step, so it starts within the time that they take. The room is
 * not lent, even where a step that does not evict had reserved the worker and would lend it.
 */
static void reserve(struct worker *worker, const struct step_run *step, bool firm)
{
	worker->reserved_for = step;
	worker->reserved_firm = firm;
	worker->reserved_until_ms = 0;
}

static bool has_room_now(const struct worker *worker, const struct step_run *step)
{
	return plan_count_room_on_worker(worker, step, 1) > 0;
}

static bool evict_for_gang(struct plan *plan, struct step_run *step, unsigned int waived,
			   uint64_t now_ms)
{
	const struct job *job = step->occurrence->job;
	struct worker **workers = talloc_zero_array(NULL, struct worker *, step->spec->count);
	struct victims victims = {.tasks = g_ptr_array_new()};
	bool firm = false;
	bool found =
		reclaim_gang_room(plan, step, waived, now_ms, workers, &victims) &&
		(job->guaranteed || victims.cost <= URGENT_WASTE_FACTOR * step->spec->count *
							    plan_estimated_task_work(step->spec));

	for (guint i = 0; found && i < victims.tasks->len; i++)
		plan_evict_task(plan, victims.tasks->pdata[i], step,
				eviction_reason(job, EVICT_URGENT), now_ms);
	if (found && victims.tasks->len > 0)
		note_room_made(plan, step, now_ms);
	for (uint32_t i = 0; found && i < step->spec->count; i++)
		firm = firm || (workers[i] && !has_room_now(workers[i], step));
	for (uint32_t i = 0; found && i < step->spec->count; i++) {
		if (workers[i])
			reserve(workers[i], step, firm);
	}
	g_ptr_array_free(victims.tasks, TRUE);
	talloc_free(workers);
	return found;
}

/* Makes room on one worker; fillers have to leave the worker of a task with a latency target. */
static bool choose_on_worker(const struct plan *plan, const struct worker *worker,
			     const struct plan_resources *need, const struct step_run *step,
			     enum eviction_kind kind, uint64_t now_ms, struct victims *victims)
{
	const struct job *job = step->occurrence->job;
	struct plan_resources used;

	if (is_serving(step) && !choose_fillers(plan, worker, job, now_ms, victims))
		return false;
	if (kind == EVICT_URGENT)
		return choose_victims(plan, worker, need, job, now_ms, victims);
	used = use_beside_victims(worker, victims);
	return plan_fits(&worker->room, &used, need);
}

/* As plan_worker_usable(), but fillers beside a task with a latency target can be stopped. */
static bool usable_after_eviction(const struct worker *worker, const struct step_run *step,
				  uint64_t now_ms)
{
	if (!is_serving(step))
		return plan_worker_usable(worker, step, 0, now_ms);
	return plan_worker_available(worker, now_ms) && plan_worker_could_hold(worker, step) &&
	       plan_has_valid_ticket(worker, step, now_ms) &&
	       (!worker->reserved_for || worker->reserved_for == step) &&
	       (!worker->kept_free || plan_may_use_headroom(step, now_ms));
}

/* The worker where one more task fits after an eviction, and the cost of that. */
struct eviction {
	guint worker_index; /* in plan.workers */
	double cost;
	GPtrArray *tasks; /* to be stopped; NULL: no worker was found */
};

/* Tasks of a step for which room was made so far, by index of the worker in plan.workers. */
struct planned_use {
	struct plan_resources *used;
	uint32_t *count;
};

static bool within_spread_limit(const struct worker *worker, const struct step_run *step,
				uint32_t placed)
{
	return !step->spec->spread_limit ||
	       plan_count_siblings(worker, step) + placed < step->spec->spread_limit;
}

static struct eviction cheapest_eviction(const struct plan *plan, const struct step_run *step,
					 enum eviction_kind kind, const struct planned_use *placed,
					 uint64_t now_ms)
{
	struct plan_resources need = plan_step_need(step->spec);
	struct eviction best = {0};

	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];
		struct plan_resources sum = placed->used[i];
		struct victims victims = {0};

		if (!usable_after_eviction(worker, step, now_ms) ||
		    !within_spread_limit(worker, step, placed->count[i]))
			continue;
		plan_add_resources(&sum, &need);
		victims.tasks = g_ptr_array_new();
		if (!choose_on_worker(plan, worker, &sum, step, kind, now_ms, &victims) ||
		    (best.tasks && victims.cost >= best.cost)) {
			g_ptr_array_free(victims.tasks, TRUE);
			continue;
		}
		if (best.tasks)
			g_ptr_array_free(best.tasks, TRUE);
		best = (struct eviction){i, victims.cost, victims.tasks};
	}
	return best;
}

/* Makes room for one more task; false if no eviction is possible or worth its cost. */
static bool evict_for_task(struct plan *plan, struct step_run *step, enum eviction_kind kind,
			   struct planned_use *placed, uint64_t now_ms)
{
	const struct job *job = step->occurrence->job;
	struct plan_resources need = plan_step_need(step->spec);
	struct eviction best = cheapest_eviction(plan, step, kind, placed, now_ms);
	bool is_worth_cost =
		kind == EVICT_FILLERS || job->guaranteed ||
		best.cost <= URGENT_WASTE_FACTOR * plan_estimated_task_work(step->spec);
	struct worker *worker;

	if (!best.tasks)
		return false;
	for (guint i = 0; is_worth_cost && i < best.tasks->len; i++)
		plan_evict_task(plan, best.tasks->pdata[i], step, eviction_reason(job, kind),
				now_ms);
	if (is_worth_cost && best.tasks->len > 0)
		note_room_made(plan, step, now_ms);
	g_ptr_array_free(best.tasks, TRUE);
	if (!is_worth_cost)
		return false;
	worker = plan->workers->pdata[best.worker_index];
	reserve(worker, step, !has_room_now(worker, step));
	plan_add_resources(&placed->used[best.worker_index], &need);
	placed->count[best.worker_index]++;
	return true;
}

/* Number of tasks, up to @count, for which room was made. */
static uint32_t evict_up_to(struct plan *plan, struct step_run *step, enum eviction_kind kind,
			    uint32_t count, struct planned_use *placed, uint64_t now_ms)
{
	uint32_t found = 0;

	while (found < count && evict_for_task(plan, step, kind, placed, now_ms))
		found++;
	return found;
}

/*
 * Makes room for independent tasks one by one, so that those that fit need not wait for room
 * for all.
 */
static bool evict_for_tasks(struct plan *plan, struct step_run *step, enum eviction_kind kind,
			    uint32_t count, uint64_t now_ms)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct planned_use placed = {
		.used = talloc_zero_array(mem, struct plan_resources, plan->workers->len),
		.count = talloc_zero_array(mem, uint32_t, plan->workers->len),
	};
	struct job *job = step->occurrence->job;
	bool reclaims = kind == EVICT_URGENT && job->guaranteed;
	uint32_t found = 0;

	found += evict_up_to(plan, step, kind, count, &placed, now_ms);
	if (reclaims && plan->has_protected) {
		job->evicts_protected = true;
		found += evict_up_to(plan, step, kind, count - found, &placed, now_ms);
	}
	if (reclaims && found < count && plan_mark_reclaimable(plan, PLAN_RECLAIM_ALL)) {
		found += evict_up_to(plan, step, kind, count - found, &placed, now_ms);
		plan_mark_reclaimable(plan, PLAN_RECLAIM_NONE);
	}
	job->evicts_protected = false;
	talloc_free(mem);
	return found > 0;
}

bool plan_evict_for_step(struct plan *plan, struct step_run *step, unsigned int waived,
			 uint64_t now_ms)
{
	if (step->spec->gang)
		return evict_for_gang(plan, step, waived, now_ms);
	return evict_for_tasks(plan, step, EVICT_URGENT, step->waiting, now_ms);
}

/* Tasks that wait only for a place. */
static uint32_t count_startable(const struct plan *plan, const struct step_run *step,
				uint64_t now_ms)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < step->spec->count; i++) {
		const struct task *task = &step->tasks[i];

		count += task->state == TASK_WAITING && task->retry_after_ms <= now_ms &&
			 !plan_has_orphan_run(plan, task);
	}
	return count;
}

bool plan_evict_fillers(struct plan *plan, struct step_run *step, uint64_t now_ms)
{
	if (!is_serving(step) || step->spec->gang)
		return false;
	return evict_for_tasks(plan, step, EVICT_FILLERS, count_startable(plan, step, now_ms),
			       now_ms);
}
