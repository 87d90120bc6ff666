#include "plan_int.h"

#include <string.h>

/*
 * Keeps some workers free of jobs with lower priority than 0. This is made for urgent jobs that
 * arrive every few seconds on a fleet full of longer work, where a stop takes a large part of
 * the time that an urgent job has until it is late. A job that starts on free room needs no stop,
 * and no work is lost.
 */

/*
 * Share of the workers that is kept free for each second that a stop may take: 0.9 s keeps 3 of
 * 11 workers, 0.2 s one. On the standard days more free workers gained nothing and fewer gained
 * less.
 */
#define HEADROOM_SHARE_PER_STOP_S 0.33
#define HEADROOM_SHARE_MAX 0.3
/* If no urgent job arrived for this long, none is expected soon and no worker is kept idle. */
#define URGENT_EXPECTED_MS 10000
/*
 * Steps of lower priority that have waited this long may use the free workers; their objective
 * is longer than this by seconds.
 */
#define LOWER_WAIT_MAX_MS 6000

static bool is_urgent(const struct job *job)
{
	return job->queue && job->queue->priority == 0;
}

bool plan_may_use_headroom(const struct step_run *step, uint64_t now_ms)
{
	const struct job *job = step->occurrence->job;

	return job->guaranteed || is_urgent(job) || step->spec->long_running ||
	       now_ms - step->ready_ms > LOWER_WAIT_MAX_MS;
}

/* Lower-priority tasks and their accelerators; all must end before the worker is free. */
static uint32_t lower_priority_load(const struct worker *worker)
{
	uint32_t load = 0;

	for (const struct task *task = worker->tasks; task; task = task->next_on_worker) {
		if (!is_urgent(plan_task_job(task)))
			load += 1 + task->step->spec->accelerators;
	}
	return load;
}

static bool expects_urgent_work(const struct plan *plan, const char *service, uint64_t now_ms)
{
	for (guint i = 0; i < plan->active->len; i++) {
		const struct job *job = plan->active->pdata[i];

		if (is_urgent(job) && job->accepted_ms + URGENT_EXPECTED_MS > now_ms &&
		    !strcmp(job->queue->service, service))
			return true;
	}
	return false;
}

static bool is_available_for(const struct worker *worker, const char *service, uint64_t now_ms)
{
	return !strcmp(worker->service, service) && plan_worker_available(worker, now_ms);
}

static uint32_t workers_to_keep(const struct plan *plan, const char *service, uint64_t now_ms)
{
	double share = HEADROOM_SHARE_PER_STOP_S * plan->params.stop_ms / 1000.0;
	uint32_t count = 0;

	for (guint i = 0; i < plan->workers->len; i++)
		count += is_available_for(plan->workers->pdata[i], service, now_ms);
	return (uint32_t)(count * (share < HEADROOM_SHARE_MAX ? share : HEADROOM_SHARE_MAX) + 0.5);
}

/* Workers with the least lower-priority load become free first, and then remain chosen. */
static void keep_least_loaded(struct plan *plan, const char *service, uint64_t now_ms)
{
	struct worker *best = NULL;
	uint32_t best_load = 0;

	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];
		uint32_t load;

		if (worker->kept_free || !is_available_for(worker, service, now_ms))
			continue;
		load = lower_priority_load(worker);
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

		if (!expects_urgent_work(plan, service, now_ms))
			continue;
		count = workers_to_keep(plan, service, now_ms);
		while (count-- > 0)
			keep_least_loaded(plan, service, now_ms);
	}
}
