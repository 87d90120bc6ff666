#include "plan_int.h"

#include <string.h>

/*
 * Workers that are kept free of lower work. The load it answers: urgent jobs that arrive every
 * few seconds on a fleet full of longer work, where a stop takes a large part of the time that
 * an urgent job has until it is late. Work that starts on free room needs no stop, and none is
 * thrown away.
 */

/*
 * Share of the workers that is kept free for each second that a stop may take: 0.9 s keeps 3 of
 * 11 workers, 0.2 s one. On the standard days more workers gained nothing, fewer less.
 */
#define SHARE_PER_STOP_S 0.33
#define SHARE_MAX 0.3
/* Without an urgent job for this long none is expected soon, and idle room helps nobody. */
#define URGENT_RECENT_MS 10000
/* Lower work that has waited this long takes the room; its own objective is seconds longer. */
#define LOWER_WAIT_MS 6000

static bool is_urgent(const struct job *job)
{
	return job->queue && job->queue->priority == 0;
}

bool plan_may_use_headroom(const struct step_run *step, uint64_t now_ms)
{
	const struct job *job = step->occurrence->job;

	return job->guaranteed || is_urgent(job) || step->spec->long_running ||
	       now_ms - step->ready_ms > LOWER_WAIT_MS;
}

/* Accelerators and tasks of lower work; each has to be stopped before the worker is free. */
static uint32_t lower_load(const struct worker *worker)
{
	uint32_t load = 0;

	for (const struct task *t = worker->tasks; t; t = t->next_on_worker) {
		if (!is_urgent(plan_task_job(t)))
			load += 1 + t->step->spec->accelerators;
	}
	return load;
}

static bool urgent_work_comes(const struct plan *plan, const char *service, uint64_t now_ms)
{
	for (guint i = 0; i < plan->active->len; i++) {
		const struct job *job = plan->active->pdata[i];

		if (is_urgent(job) && job->accepted_ms + URGENT_RECENT_MS > now_ms &&
		    !strcmp(job->queue->service, service))
			return true;
	}
	return false;
}

static bool belongs(const struct worker *worker, const char *service, uint64_t now_ms)
{
	return !strcmp(worker->service, service) && plan_worker_free(worker, now_ms);
}

static uint32_t workers_to_keep(const struct plan *plan, const char *service, uint64_t now_ms)
{
	double share = SHARE_PER_STOP_S * plan->params.stop_ms / 1000.0;
	uint32_t count = 0;

	for (guint i = 0; i < plan->workers->len; i++)
		count += belongs(plan->workers->pdata[i], service, now_ms);
	return (uint32_t)(count * (share < SHARE_MAX ? share : SHARE_MAX) + 0.5);
}

/* The workers with the least lower work become free first; they stay chosen while they are. */
static void keep_least_loaded(struct plan *plan, const char *service, uint64_t now_ms)
{
	struct worker *best = NULL;
	uint32_t best_load = 0;

	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];
		uint32_t load;

		if (worker->kept_free || !belongs(worker, service, now_ms))
			continue;
		load = lower_load(worker);
		if (best && load >= best_load)
			continue;
		best = worker;
		best_load = load;
	}
	if (best)
		best->kept_free = true;
}

void plan_keep_headroom(struct plan *plan, uint64_t now_ms)
{
	for (guint i = 0; i < plan->workers->len; i++)
		((struct worker *)plan->workers->pdata[i])->kept_free = false;
	for (size_t i = 0; plan->conf && i < plan->conf->service_count; i++) {
		const char *service = plan->conf->services[i].name;
		uint32_t count;

		if (!urgent_work_comes(plan, service, now_ms))
			continue;
		count = workers_to_keep(plan, service, now_ms);
		while (count-- > 0)
			keep_least_loaded(plan, service, now_ms);
	}
}
