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

/* Cost of stopping a task; that of a gang is found once, since it takes a look at all members. */
static double cost_of_stop(const struct task *task, GHashTable *gang_costs, uint64_t now_ms)
{
	double *cost;

	if (!task->step->spec->gang)
		return plan_eviction_cost(task, now_ms);
	cost = g_hash_table_lookup(gang_costs, task->step);
	if (!cost) {
		cost = g_new(double, 1);
		*cost = plan_eviction_cost(task, now_ms);
		g_hash_table_insert(gang_costs, task->step, cost);
	}
	return *cost;
}

static int compare_stoppable(gconstpointer first, gconstpointer second)
{
	const struct plan_stoppable *left = first;
	const struct plan_stoppable *right = second;

	return left->cost < right->cost ? -1 : left->cost > right->cost;
}

GArray *plan_list_stoppable(const struct worker *worker, const struct job *beneficiary,
			    uint64_t now_ms)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct plan_stoppable));
	GHashTable *gang_costs = g_hash_table_new_full(NULL, NULL, NULL, g_free);

	for (struct task *task = worker->tasks; task; task = task->next_on_worker) {
		struct plan_stoppable stoppable = {task, 0};

		if (task->state == TASK_STOPPING || !plan_evictable(task, beneficiary))
			continue;
		stoppable.cost = cost_of_stop(task, gang_costs, now_ms);
		g_array_append_val(list, stoppable);
	}
	/* A stable sort: tasks of equal cost keep the order of the worker's list. */
	g_array_sort(list, compare_stoppable);
	g_hash_table_destroy(gang_costs);
	return list;
}

/* Room that a victim and the other members of its gang leave on a worker. */
static struct plan_resources room_freed(const struct worker *worker, const struct task *victim)
{
	const struct step_run *step = victim->step;
	struct plan_resources need = plan_step_need(step->spec);
	struct plan_resources freed = {0};

	if (!step->spec->gang)
		return need;
	for (uint32_t i = 0; i < step->spec->count; i++) {
		const struct task *member = &step->tasks[i];

		if (member->worker == worker && member->state != TASK_STOPPING)
			plan_add_resources(&freed, &need);
	}
	return freed;
}

/* Room in use on a worker after the stops under way and those of the victims. */
static struct plan_resources use_beside_victims(const struct worker *worker,
						const struct plan_stopset *victims)
{
	struct plan_resources used = {0};

	for (const struct task *task = worker->tasks; task; task = task->next_on_worker) {
		struct plan_resources taken = plan_step_need(task->step->spec);

		if (task->state != TASK_STOPPING && !plan_stopset_has(victims, task))
			plan_add_resources(&used, &taken);
	}
	return used;
}

/*
 * Leaves out the tasks of a worker that need not be stopped, the dearest first.
 *
 * @first: index of the first victim on this worker; the cheapest were added first
 * @used: room in use beside the victims
 */
static void spare_needless_victims(const struct worker *worker, const struct plan_resources *need,
				   guint first, struct plan_resources used,
				   struct plan_stopset *victims)
{
	guint i = plan_stopset_count(victims);

	while (i-- > first) {
		struct plan_resources freed = room_freed(worker, plan_stopset_task(victims, i));
		struct plan_resources with = used;

		plan_add_resources(&with, &freed);
		if (!plan_fits(&worker->room, &with, need))
			continue;
		plan_stopset_remove(victims, i);
		used = with;
	}
}

static bool is_serving(const struct step_run *step)
{
	return step->spec->latency_target_ms > 0 && !step->spec->filler;
}

/* Adds all fillers of a worker; false if one of them has to stay. */
static bool choose_fillers(const struct worker *worker, const struct job *job, uint64_t now_ms,
			   struct plan_stopset *victims)
{
	for (struct task *task = worker->tasks; task; task = task->next_on_worker) {
		if (!task->step->spec->filler || task->state == TASK_STOPPING ||
		    plan_stopset_has(victims, task))
			continue;
		if (plan_task_job(task)->guaranteed ||
		    (plan_is_protected(task) && !job->evicts_protected) ||
		    !plan_stopset_may_stop(victims, task))
			return false;
		plan_stopset_add(victims, task, plan_eviction_cost(task, now_ms));
	}
	return true;
}

/*
 * Adds the cheapest tasks of a worker until @need fits beside the remaining tasks.
 *
 * @stoppable: by plan_list_stoppable(); some may be victims or be stopped by now
 */
static bool choose_victims(const struct worker *worker, const struct plan_resources *need,
			   const GArray *stoppable, struct plan_stopset *victims)
{
	struct plan_resources used = use_beside_victims(worker, victims);
	guint first = plan_stopset_count(victims);

	for (guint i = 0; i < stoppable->len && !plan_fits(&worker->room, &used, need); i++) {
		const struct plan_stoppable *next =
			&g_array_index(stoppable, struct plan_stoppable, i);
		struct plan_resources freed;

		if (next->task->state == TASK_STOPPING || plan_stopset_has(victims, next->task) ||
		    !plan_stopset_may_stop(victims, next->task))
			continue;
		freed = room_freed(worker, next->task);
		plan_stopset_add(victims, next->task, next->cost);
		plan_subtract_resources(&used, &freed);
	}
	if (!plan_fits(&worker->room, &used, need))
		return false;
	spare_needless_victims(worker, need, first, used, victims);
	return true;
}

/* Sums the needs of a gang's members by worker; owned by the caller. */
static GHashTable *sum_by_worker(const struct step_run *step, struct worker *const *workers)
{
	GHashTable *sums = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	struct plan_resources need = plan_step_need(step->spec);

	for (uint32_t i = 0; i < step->spec->count; i++) {
		struct plan_resources *sum;

		if (!workers[i])
			continue;
		sum = g_hash_table_lookup(sums, workers[i]);
		if (!sum) {
			sum = g_new0(struct plan_resources, 1);
			g_hash_table_insert(sums, workers[i], sum);
		}
		plan_add_resources(sum, &need);
	}
	return sums;
}

static bool choose_gang_victims(const struct step_run *step, struct worker *const *workers,
				uint64_t now_ms, struct plan_stopset *victims)
{
	const struct job *job = step->occurrence->job;
	GHashTable *sums = sum_by_worker(step, workers);
	bool found = true;

	for (uint32_t i = 0; i < step->spec->count && found; i++) {
		/* Room is made for all members on this worker together. */
		const struct plan_resources *sum = g_hash_table_lookup(sums, workers[i]);
		GArray *stoppable;

		if (!sum)
			continue;
		stoppable = plan_list_stoppable(workers[i], job, now_ms);
		found = choose_victims(workers[i], sum, stoppable, victims);
		g_array_free(stoppable, TRUE);
		g_hash_table_remove(sums, workers[i]);
	}
	g_hash_table_destroy(sums);
	return found;
}

/*
 * Chooses workers for a gang, and victims on them, among the evictable tasks. A choice that takes
 * more tasks of a step than it allows is repeated without the surplus ones.
 */
static bool choose_gang_room(struct plan *plan, struct step_run *step, unsigned int waived,
			     uint64_t now_ms, struct worker **workers, struct plan_stopset *victims)
{
	do {
		plan_stopset_clear(victims);
		if (!plan_pick_gang_workers(plan, step, true, waived, now_ms, workers))
			return false;
		if (choose_gang_victims(step, workers, now_ms, victims))
			return true;
	} while (plan_spare_disallowed(plan, victims));
	return false;
}

/* The same; long-running tasks are evictable only for the guaranteed, and as few as will do. */
static bool reclaim_gang_room(struct plan *plan, struct step_run *step, unsigned int waived,
			      uint64_t now_ms, struct worker **workers,
			      struct plan_stopset *victims)
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

static void stop_victims(struct plan *plan, struct step_run *step,
			 const struct plan_stopset *victims, enum plan_evict_reason reason,
			 uint64_t now_ms)
{
	guint count = plan_stopset_count(victims);

	for (guint i = 0; i < count; i++)
		plan_evict_task(plan, plan_stopset_task(victims, i), step, reason, now_ms);
	if (count > 0)
		note_room_made(plan, step, now_ms);
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
	struct plan_stopset *victims = plan_stopset_create(plan, now_ms);
	bool firm = false;
	bool found = reclaim_gang_room(plan, step, waived, now_ms, workers, victims) &&
		     (job->guaranteed ||
		      plan_stopset_cost(victims) <= URGENT_WASTE_FACTOR * step->spec->count *
							    plan_estimated_task_work(step->spec));

	if (found)
		stop_victims(plan, step, victims, eviction_reason(job, EVICT_URGENT), now_ms);
	for (uint32_t i = 0; found && i < step->spec->count; i++)
		firm = firm || (workers[i] && !has_room_now(workers[i], step));
	for (uint32_t i = 0; found && i < step->spec->count; i++) {
		if (workers[i])
			reserve(workers[i], step, firm);
	}
	plan_stopset_destroy(victims);
	talloc_free(workers);
	return found;
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

/*
 * Room on one worker for more tasks of a step. Stops there don't change what other workers offer,
 * except where a gang or a step with a limit for its stops has tasks on several of them.
 */
struct worker_room {
	struct plan_resources placed; /* needs of the tasks of the step that get room here */
	uint32_t placed_count;
	GArray *stoppable;	      /* by plan_list_stoppable(); NULL: not made yet */
	bool known;		      /* @victims is what room for the next task takes */
	struct plan_stopset *victims; /* NULL: no room can be made */
};

/* Makes room for the tasks of a step on the workers, one task after the other. */
struct room_search {
	struct plan *plan;
	struct step_run *step;
	enum eviction_kind kind;
	uint64_t now_ms;
	struct worker_room *rooms; /* in the order of plan.workers */
};

static struct room_search *room_search_create(struct plan *plan, struct step_run *step,
					      enum eviction_kind kind, uint64_t now_ms)
{
	struct room_search *search = g_new0(struct room_search, 1);

	search->plan = plan;
	search->step = step;
	search->kind = kind;
	search->now_ms = now_ms;
	search->rooms = g_new0(struct worker_room, plan->workers->len);
	return search;
}

static void forget_victims(struct worker_room *room)
{
	plan_stopset_destroy(room->victims);
	room->victims = NULL;
	room->known = false;
}

/* To be called when plan_evictable() answers otherwise than before. */
static void forget_stoppable(struct room_search *search)
{
	for (guint i = 0; i < search->plan->workers->len; i++) {
		struct worker_room *room = &search->rooms[i];

		forget_victims(room);
		if (room->stoppable)
			g_array_free(room->stoppable, TRUE);
		room->stoppable = NULL;
	}
}

static void room_search_destroy(struct room_search *search)
{
	forget_stoppable(search);
	g_free(search->rooms);
	g_free(search);
}

static bool within_spread_limit(const struct worker *worker, const struct step_run *step,
				uint32_t placed)
{
	return !step->spec->spread_limit ||
	       plan_count_siblings(worker, step) + placed < step->spec->spread_limit;
}

/* Chooses what is stopped on one worker; fillers leave that of a task with a latency target. */
static bool choose_on_worker(const struct room_search *search, guint index,
			     struct plan_stopset *victims)
{
	const struct worker *worker = search->plan->workers->pdata[index];
	const struct job *job = search->step->occurrence->job;
	struct plan_resources need = plan_step_need(search->step->spec);
	struct worker_room *room = &search->rooms[index];
	struct plan_resources used;

	plan_add_resources(&need, &room->placed);
	if (is_serving(search->step) && !choose_fillers(worker, job, search->now_ms, victims))
		return false;
	if (search->kind == EVICT_FILLERS) {
		used = use_beside_victims(worker, victims);
		return plan_fits(&worker->room, &used, &need);
	}
	if (!room->stoppable)
		room->stoppable = plan_list_stoppable(worker, job, search->now_ms);
	return choose_victims(worker, &need, room->stoppable, victims);
}

/* What has to be stopped on a worker for one more task; NULL if no room can be made. */
static struct plan_stopset *victims_on_worker(const struct room_search *search, guint index)
{
	const struct worker *worker = search->plan->workers->pdata[index];
	struct worker_room *room = &search->rooms[index];

	if (room->known)
		return room->victims;
	room->known = true;
	if (!usable_after_eviction(worker, search->step, search->now_ms) ||
	    !within_spread_limit(worker, search->step, room->placed_count))
		return NULL;
	room->victims = plan_stopset_create(search->plan, search->now_ms);
	if (choose_on_worker(search, index, room->victims))
		return room->victims;
	plan_stopset_destroy(room->victims);
	room->victims = NULL;
	return NULL;
}

/* True if stops of these tasks change what other workers offer. */
static bool affects_other_workers(const struct plan_stopset *victims)
{
	for (guint i = 0; i < plan_stopset_count(victims); i++) {
		const struct jobspec_step *spec = plan_stopset_task(victims, i)->step->spec;

		if (spec->gang || spec->long_running)
			return true;
	}
	return false;
}

/* Makes room for one more task; false if no eviction is possible or worth its cost. */
static bool evict_for_task(struct room_search *search)
{
	struct step_run *step = search->step;
	const struct job *job = step->occurrence->job;
	struct plan_resources need = plan_step_need(step->spec);
	struct plan_stopset *best = NULL;
	struct worker_room *room = NULL;
	struct worker *worker = NULL;

	for (guint i = 0; i < search->plan->workers->len; i++) {
		struct plan_stopset *victims = victims_on_worker(search, i);

		if (!victims || (best && plan_stopset_cost(victims) >= plan_stopset_cost(best)))
			continue;
		best = victims;
		room = &search->rooms[i];
		worker = search->plan->workers->pdata[i];
	}
	if (!best ||
	    (search->kind != EVICT_FILLERS && !job->guaranteed &&
	     plan_stopset_cost(best) > URGENT_WASTE_FACTOR * plan_estimated_task_work(step->spec)))
		return false;
	stop_victims(search->plan, step, best, eviction_reason(job, search->kind), search->now_ms);
	reserve(worker, step, !has_room_now(worker, step));
	plan_add_resources(&room->placed, &need);
	room->placed_count++;
	if (affects_other_workers(best)) {
		for (guint i = 0; i < search->plan->workers->len; i++)
			forget_victims(&search->rooms[i]);
	} else {
		forget_victims(room);
	}
	return true;
}

/* Number of tasks, up to @count, for which room was made. */
static uint32_t evict_up_to(struct room_search *search, uint32_t count)
{
	uint32_t found = 0;

	while (found < count && evict_for_task(search))
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
	struct room_search *search = room_search_create(plan, step, kind, now_ms);
	struct job *job = step->occurrence->job;
	bool reclaims = kind == EVICT_URGENT && job->guaranteed;
	uint32_t found = 0;

	found += evict_up_to(search, count);
	if (reclaims && plan->has_protected) {
		job->evicts_protected = true;
		forget_stoppable(search);
		found += evict_up_to(search, count - found);
	}
	if (reclaims && found < count && plan_mark_reclaimable(plan, PLAN_RECLAIM_ALL)) {
		forget_stoppable(search);
		found += evict_up_to(search, count - found);
		plan_mark_reclaimable(plan, PLAN_RECLAIM_NONE);
	}
	job->evicts_protected = false;
	room_search_destroy(search);
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
