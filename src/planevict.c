#include "plan_int.h"

#include <string.h>

/*
 * Making room by stopping other work. The load it answers: urgent gangs that arrive in bursts
 * while longer work holds most of the fleet.
 *
 * Work of priority 0 within its organisation's promise displaces everything that is not
 * itself such work, whatever that costs. Other work of priority 0 displaces work of lower
 * priority if what is thrown away is worth less than what it wins.
 */

/*
 * Work thrown away for an urgent step, at most, as a multiple of its own work. Measured on
 * the standard days; an urgent job is worth several times as much as a long one of equal size.
 */
#define URGENT_WASTE_FACTOR 1.0
/* What an urgent task is worth, as a multiple of lower work of equal size. */
#define URGENT_VALUE 5.0
#define ACCELERATOR_WEIGHT 8.0 /* processors that one accelerator counts as */

static uint32_t accelerators_of(const struct jobspec *spec)
{
	uint32_t most = 0;

	/* Steps that wait for each other do not need their accelerators at the same time. */
	for (size_t i = 0; i < spec->step_count; i++) {
		uint32_t need = spec->steps[i].count * spec->steps[i].accelerators;

		if (need > most)
			most = need;
	}
	return most;
}

static bool may_be_guaranteed(const struct job *job)
{
	return !plan_job_ended(job) && job->queue && job->queue->priority == 0;
}

/* Earlier jobs are covered first, so a later one that exceeds the promise takes nothing away. */
static int by_acceptance(gconstpointer a, gconstpointer b)
{
	const struct job *left = *(const struct job *const *)a;
	const struct job *right = *(const struct job *const *)b;

	if (left->accepted_ms != right->accepted_ms)
		return left->accepted_ms < right->accepted_ms ? -1 : 1;
	return strcmp(left->id, right->id);
}

static void cover(GPtrArray *jobs, const struct fleetconf_organisation *organisation)
{
	uint64_t used = 0;

	for (guint i = 0; i < jobs->len; i++) {
		struct job *job = jobs->pdata[i];
		uint32_t need = accelerators_of(job->spec);

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
		if (may_be_guaranteed(job))
			g_ptr_array_add(jobs, job);
	}
	g_ptr_array_sort(jobs, by_acceptance);
	for (size_t i = 0; plan->conf && i < plan->conf->organisation_count; i++)
		cover(jobs, &plan->conf->organisations[i]);
	g_ptr_array_free(jobs, TRUE);
}

bool plan_evictable(const struct task *task, const struct job *beneficiary)
{
	const struct job *job = plan_task_job(task);

	if (job == beneficiary)
		return false;
	/* What stops already makes room in any case. */
	if (task->state == TASK_STOPPING)
		return true;
	if (job->guaranteed || task->step->spec->long_running)
		return false;
	if (beneficiary->guaranteed)
		return true;
	return job->queue && job->queue->priority > beneficiary->queue->priority;
}

static double weight(const struct jobspec_step *spec)
{
	return spec->cpu_milli / 1000.0 + ACCELERATOR_WEIGHT * spec->accelerators;
}

/* Core-seconds that are thrown away when a task is stopped, by what they are worth. */
static double cost(const struct task *task, uint64_t now_ms)
{
	const struct jobspec_step *spec = task->step->spec;

	const struct fleetconf_queue *queue = plan_task_job(task)->queue;
	double value = queue && queue->priority == 0 ? URGENT_VALUE : 1;

	if (task->state == TASK_STOPPING)
		return 0;
	/* A stop saves the progress; only the restart costs. */
	if (spec->checkpoints)
		return value * weight(spec);
	return value * weight(spec) * (1.0 + (double)(now_ms - task->began_ms) / 1000.0);
}

/* A gang is stopped as a whole. */
static double cost_with_gang(const struct task *task, uint64_t now_ms)
{
	const struct step_run *step = task->step;
	double sum = 0;

	if (!step->spec->gang)
		return cost(task, now_ms);
	for (uint32_t i = 0; i < step->spec->count; i++) {
		if (step->tasks[i].worker)
			sum += cost(&step->tasks[i], now_ms);
	}
	return sum;
}

/* Room that is in use and will not become free by stops that are under way. */
struct plan_room plan_lasting_use(const struct worker *worker)
{
	struct plan_room used = {0};

	for (const struct task *t = worker->tasks; t; t = t->next_on_worker) {
		struct plan_room need = plan_need(t->step->spec);

		if (t->state != TASK_STOPPING)
			plan_add_room(&used, &need);
	}
	return used;
}

/* Tasks to be stopped; a gang is named by one of its members. */
struct victims {
	GPtrArray *tasks;
	double cost;
};

static bool already_victim(const struct victims *v, const struct task *task)
{
	for (guint i = 0; i < v->tasks->len; i++) {
		const struct task *victim = v->tasks->pdata[i];

		if (victim == task || (task->step->spec->gang && victim->step == task->step))
			return true;
	}
	return false;
}

/* Adds the cheapest tasks of a worker until @need fits beside what stays. */
static bool choose_victims(const struct worker *worker, const struct plan_room *need,
			   const struct job *job, uint64_t now_ms, struct victims *v)
{
	struct plan_room used = {0};

	for (const struct task *t = worker->tasks; t; t = t->next_on_worker) {
		struct plan_room taken = plan_need(t->step->spec);

		if (t->state != TASK_STOPPING && !already_victim(v, t))
			plan_add_room(&used, &taken);
	}
	while (!plan_fits(&worker->room, &used, need)) {
		struct task *cheapest = NULL;
		struct plan_room taken;

		for (struct task *t = worker->tasks; t; t = t->next_on_worker) {
			if (t->state == TASK_STOPPING || already_victim(v, t) ||
			    !plan_evictable(t, job))
				continue;
			if (!cheapest ||
			    cost_with_gang(t, now_ms) < cost_with_gang(cheapest, now_ms))
				cheapest = t;
		}
		if (!cheapest)
			return false;
		taken = plan_need(cheapest->step->spec);
		v->cost += cost_with_gang(cheapest, now_ms);
		g_ptr_array_add(v->tasks, cheapest);
		used.cpu_milli -= taken.cpu_milli;
		used.memory_mb -= taken.memory_mb;
		used.accelerators -= taken.accelerators;
	}
	return true;
}

static bool first_place(struct worker *const *places, uint32_t index)
{
	for (uint32_t i = 0; i < index; i++) {
		if (places[i] == places[index])
			return false;
	}
	return places[index] != NULL;
}

static bool choose_all(const struct step_run *step, struct worker *const *places, uint64_t now_ms,
		       struct victims *v)
{
	struct plan_room need = plan_need(step->spec);

	for (uint32_t i = 0; i < step->spec->count; i++) {
		struct plan_room sum = {0};

		if (!first_place(places, i))
			continue;
		/* All members that go to this worker are made room for together. */
		for (uint32_t k = i; k < step->spec->count; k++) {
			if (places[k] == places[i])
				plan_add_room(&sum, &need);
		}
		if (!choose_victims(places[i], &sum, step->occurrence->job, now_ms, v))
			return false;
	}
	return true;
}

/* Core-seconds of one task, as its caller guesses. */
static double task_work(const struct jobspec_step *spec)
{
	return weight(spec) * spec->estimate_ms / 1000.0;
}

static const char *reason(const struct job *job)
{
	return job->guaranteed ? "promised work needs its room" : "urgent work needs its room";
}

static bool evict_for_gang(struct plan *plan, struct step_run *step, uint64_t now_ms)
{
	const struct job *job = step->occurrence->job;
	struct worker **places = talloc_zero_array(NULL, struct worker *, step->spec->count);
	struct victims v = {.tasks = g_ptr_array_new()};
	bool found = plan_pick_gang(plan, step, true, now_ms, places) &&
		     choose_all(step, places, now_ms, &v) &&
		     (job->guaranteed ||
		      v.cost <= URGENT_WASTE_FACTOR * step->spec->count * task_work(step->spec));

	for (guint i = 0; found && i < v.tasks->len; i++)
		plan_stop_gang(v.tasks->pdata[i], reason(job));
	for (uint32_t i = 0; found && i < step->spec->count; i++) {
		if (places[i])
			places[i]->reserved_for = step;
	}
	g_ptr_array_free(v.tasks, TRUE);
	talloc_free(places);
	return found;
}

/* Where one more task of a step fits if other work is stopped, and what that costs. */
struct eviction {
	guint worker; /* index */
	double cost;
	GPtrArray *tasks; /* to be stopped; NULL: no place was found */
};

/* What a decision has placed on each worker of the plan so far. */
struct placed {
	struct plan_room *room;
	uint32_t *count;
};

static bool within_spread(const struct worker *worker, const struct step_run *step, uint32_t placed)
{
	return !step->spec->spread_limit ||
	       plan_siblings(worker, step) + placed < step->spec->spread_limit;
}

static struct eviction cheapest_eviction(const struct plan *plan, const struct step_run *step,
					 const struct placed *placed, uint64_t now_ms)
{
	struct plan_room need = plan_need(step->spec);
	struct eviction best = {0};

	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];
		struct plan_room sum = placed->room[i];
		struct victims v = {0};

		if (!plan_usable(worker, step, now_ms) ||
		    !within_spread(worker, step, placed->count[i]))
			continue;
		plan_add_room(&sum, &need);
		v.tasks = g_ptr_array_new();
		if (!choose_victims(worker, &sum, step->occurrence->job, now_ms, &v) ||
		    (best.tasks && v.cost >= best.cost)) {
			g_ptr_array_free(v.tasks, TRUE);
			continue;
		}
		if (best.tasks)
			g_ptr_array_free(best.tasks, TRUE);
		best = (struct eviction){i, v.cost, v.tasks};
	}
	return best;
}

/* Makes room for one more task; false if there is none that is worth its cost. */
static bool evict_for_task(struct plan *plan, const struct step_run *step, struct placed *placed,
			   uint64_t now_ms)
{
	const struct job *job = step->occurrence->job;
	struct plan_room need = plan_need(step->spec);
	struct eviction best = cheapest_eviction(plan, step, placed, now_ms);
	bool worth = job->guaranteed || best.cost <= URGENT_WASTE_FACTOR * task_work(step->spec);

	if (!best.tasks)
		return false;
	for (guint i = 0; worth && i < best.tasks->len; i++)
		plan_stop_gang(best.tasks->pdata[i], reason(job));
	g_ptr_array_free(best.tasks, TRUE);
	if (!worth)
		return false;
	((struct worker *)plan->workers->pdata[best.worker])->reserved_for = step;
	plan_add_room(&placed->room[best.worker], &need);
	placed->count[best.worker]++;
	return true;
}

/*
 * Tasks that do not need each other are made room for one by one, so that one place too few
 * does not keep all of them waiting.
 */
static bool evict_for_tasks(struct plan *plan, const struct step_run *step, uint64_t now_ms)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct placed placed = {
		.room = talloc_zero_array(mem, struct plan_room, plan->workers->len),
		.count = talloc_zero_array(mem, uint32_t, plan->workers->len),
	};
	uint32_t found = 0;

	while (found < step->waiting && evict_for_task(plan, step, &placed, now_ms))
		found++;
	talloc_free(mem);
	return found > 0;
}

bool plan_evict_for(struct plan *plan, struct step_run *step, uint64_t now_ms)
{
	if (step->spec->gang)
		return evict_for_gang(plan, step, now_ms);
	return evict_for_tasks(plan, step, now_ms);
}
