#include "plan_int.h"

#include <string.h>

/*
 * Reclaiming what an organisation was promised. Work of priority 0 within the promise may
 * displace everything that is not itself such work.
 */

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
	return !job->guaranteed && !task->step->spec->long_running;
}

/* Work that is thrown away when a task is stopped: accelerators count as 8 processors. */
static double cost(const struct task *task, uint64_t now_ms)
{
	const struct jobspec_step *spec = task->step->spec;
	double weight = spec->cpu_milli / 1000.0 + 8.0 * spec->accelerators;

	if (task->state == TASK_STOPPING)
		return 0;
	if (spec->checkpoints)
		return weight;
	return weight * (1.0 + (double)(now_ms - task->began_ms) / 1000.0);
}

static void stop_with_gang(struct task *task)
{
	struct step_run *step = task->step;

	plan_stop_task(task);
	for (uint32_t i = 0; step->spec->gang && i < step->spec->count; i++)
		plan_stop_task(&step->tasks[i]);
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

/* Stops the cheapest tasks of a worker until @need fits beside what stays. */
static void make_room(struct worker *worker, const struct plan_room *need, const struct job *job,
		      uint64_t now_ms)
{
	struct plan_room used = plan_lasting_use(worker);

	while (!plan_fits(&worker->room, &used, need)) {
		struct task *cheapest = NULL;

		for (struct task *t = worker->tasks; t; t = t->next_on_worker) {
			if (t->state == TASK_STOPPING || !plan_evictable(t, job))
				continue;
			if (!cheapest || cost(t, now_ms) < cost(cheapest, now_ms))
				cheapest = t;
		}
		if (!cheapest)
			return;
		stop_with_gang(cheapest);
		used = plan_lasting_use(worker);
	}
}

bool plan_evict_for(struct plan *plan, struct step_run *step, uint64_t now_ms)
{
	const struct job *job = step->occurrence->job;
	struct worker **places = talloc_zero_array(NULL, struct worker *, step->spec->count);
	struct plan_room need = plan_need(step->spec);
	bool found = plan_pick_gang(plan, step, true, now_ms, places);

	for (uint32_t i = 0; found && i < step->spec->count; i++) {
		struct plan_room sum = {0};

		if (!places[i])
			continue;
		/* All members that go to this worker are made room for together. */
		for (uint32_t k = 0; k < step->spec->count; k++) {
			if (places[k] == places[i])
				plan_add_room(&sum, &need);
		}
		make_room(places[i], &sum, job, now_ms);
		places[i]->reserved_for = step;
	}
	talloc_free(places);
	return found;
}
