#include "plan_int.h"

#include <string.h>

/*
 * Which waiting step gets room first, and what a running task is worth as a victim. Made for
 * fleets whose capacity is short for seconds at a time, with urgent gangs, large gangs and
 * independent tasks of three priorities: the work whose delay costs callers least waits.
 *
 * Guaranteed jobs come first, then long-running steps. Then come, by priority, jobs that can still
 * be on time, then those that are late but still worth something, then those that are worth
 * nothing any more: if these came first, the next jobs would be late too. A step that has waited
 * for plan_wait_bound_ms() ranks as on time, so none waits behind later ones for ever.
 */

#define WORTHLESS_AFTER_FACTOR 3.0 /* results are worthless after this multiple */
/* A step ranks as on time after this multiple of its job's objective, and not before the time. */
#define WAIT_BOUND_FACTOR 5.0
#define WAIT_BOUND_MIN_MS 60000.0
#define PERCENT_DONE 100.0

#define ACCELERATOR_WEIGHT 8.0 /* one accelerator counts as this many processors */
/* Worth of a task of priority 0 as a victim, as a multiple of a lower-priority task of its size. */
#define URGENT_VALUE 5.0
/*
 * Cost of stopping a long-running task, above that of any others; of a step that allows no task to
 * be unavailable it is above that of any number of those that do.
 */
#define LASTING_COST 1e9
#define DISALLOWED_COST 1e13
/* Cost of stopping a protected task, above that of others that do not last. */
#define PROTECTED_COST 1e6

static double objective_ms(const struct job *job)
{
	return job->queue->stretch * (double)jobspec_critical_path_ms(job->spec) +
	       job->queue->allowance_ms;
}

/* Value of an on-time job of the priority, relative to other jobs of its size. */
static double priority_value(uint32_t priority)
{
	static const double values[] = {4, 3, 1};

	return values[MIN(priority, G_N_ELEMENTS(values) - 1)];
}

/* Longest chain of estimates from each step of the job to its end, the step itself excluded. */
static double chain_after_ms(const struct jobspec *spec, uint32_t number)
{
	double after_ms[JOBSPEC_STEPS_MAX] = {0};

	/* Steps depend on earlier ones only. */
	for (size_t i = spec->step_count; i-- > number;) {
		const struct jobspec_step *step = &spec->steps[i];

		for (size_t k = 0; k < step->after_count; k++) {
			double *before = &after_ms[step->after[k]];

			*before = MAX(*before, after_ms[i] + step->estimate_ms);
		}
	}
	return after_ms[number];
}

/* Share of the work of a task that no checkpoint keeps. */
static double unsaved_share(const struct task *task)
{
	return 1 - MIN(task->saved_percent, PERCENT_DONE) / PERCENT_DONE;
}

/*
 * Time that the job needs at least from the start of the step on. The objective is made of the
 * same estimates, so that one that is wrong by a factor does not turn its job late.
 */
static double remaining_chain_ms(const struct step_run *step)
{
	double share = 0;

	for (uint32_t i = 0; i < step->spec->count; i++) {
		if (step->tasks[i].state != TASK_DONE)
			share = MAX(share, unsaved_share(&step->tasks[i]));
	}
	return share * step->spec->estimate_ms +
	       chain_after_ms(step->occurrence->job->spec, step->number);
}

double plan_resource_weight(const struct jobspec_step *spec)
{
	return spec->cpu_milli / 1000.0 + ACCELERATOR_WEIGHT * spec->accelerators;
}

double plan_estimated_task_work(const struct jobspec_step *spec)
{
	return plan_resource_weight(spec) * spec->estimate_ms / 1000.0;
}

/* Core-seconds of the occurrence that are not done or saved yet, by what its runs have shown. */
static double remaining_work(const struct occurrence *occurrence)
{
	double sum = 0;

	for (size_t s = 0; s < occurrence->job->spec->step_count; s++) {
		const struct step_run *step = &occurrence->steps[s];
		double shares = 0;

		if (step->done == step->spec->count)
			continue;
		for (uint32_t i = 0; i < step->spec->count; i++) {
			if (step->tasks[i].state != TASK_DONE)
				shares += unsaved_share(&step->tasks[i]);
		}
		sum += shares * plan_resource_weight(step->spec) *
		       (double)plan_expected_run_ms(step) / 1000.0;
	}
	return sum;
}

double plan_wait_bound_ms(const struct job *job)
{
	return MAX(WAIT_BOUND_MIN_MS, WAIT_BOUND_FACTOR * objective_ms(job));
}

static enum plan_rank_class late_class(const struct step_run *step, uint64_t now_ms,
				       struct step_rank *rank)
{
	const struct occurrence *occurrence = step->occurrence;
	double objective = objective_ms(occurrence->job);
	double age_ms = (double)now_ms - (double)occurrence->due_ms;
	double chain_ms = remaining_chain_ms(step);

	/* An objective shorter than the chain says nothing of when the job was still on time. */
	if (objective < (double)jobspec_critical_path_ms(occurrence->job->spec))
		chain_ms = 0;
	/* Stops under way for the step would be wasted if others took the room that they make. */
	if (age_ms + chain_ms <= objective || now_ms < step->room_made_until_ms) {
		rank->urgent = rank->priority == 0;
		return PLAN_RANK_ON_TIME;
	}
	if (step->ready_ms &&
	    (double)(now_ms - step->ready_ms) >= plan_wait_bound_ms(occurrence->job))
		return PLAN_RANK_ON_TIME;
	if (age_ms > WORTHLESS_AFTER_FACTOR * objective)
		return PLAN_RANK_WORTHLESS;
	rank->work_per_value = remaining_work(occurrence) / priority_value(rank->priority);
	return PLAN_RANK_LATE;
}

void plan_rank_step(const struct plan *plan, struct step_run *step, uint64_t now_ms,
		    struct step_rank *rank)
{
	const struct job *job = step->occurrence->job;

	*rank = (struct step_rank){
		.step = step,
		.priority = job->queue->priority,
		.deadline_ms = (double)step->occurrence->due_ms + objective_ms(job),
	};
	/* A long-running task must not take the room that it was stopped to make. */
	if (job->guaranteed)
		rank->class = PLAN_RANK_GUARANTEED;
	else if (step->spec->long_running)
		rank->class = step->spec->filler ? PLAN_RANK_FILLER : PLAN_RANK_LASTING;
	else
		rank->class = late_class(step, now_ms, rank);
}

bool plan_may_evict(const struct step_rank *rank)
{
	return rank->class == PLAN_RANK_GUARANTEED || rank->urgent;
}

static int compare_doubles(double left, double right)
{
	return left < right ? -1 : left > right;
}

int plan_compare_ranks(const struct step_rank *left, const struct step_rank *right)
{
	int order = (int)left->class - (int)right->class;

	if (order == 0 &&
	    (left->class == PLAN_RANK_ON_TIME || left->class == PLAN_RANK_WORTHLESS)) {
		order = compare_doubles(left->priority, right->priority);
		if (order == 0)
			order = compare_doubles(left->share_excess, right->share_excess);
	}
	if (order == 0)
		order = compare_doubles(left->work_per_value, right->work_per_value);
	if (order == 0)
		order = compare_doubles(left->deadline_ms, right->deadline_ms);
	return order ? order : strcmp(left->step->tasks[0].name, right->step->tasks[0].name);
}

/* Core-seconds of work lost when a task is stopped, weighted by their worth. */
static double task_eviction_cost(const struct task *task, uint64_t now_ms)
{
	const struct jobspec_step *spec = task->step->spec;
	const struct fleetconf_queue *queue = plan_task_job(task)->queue;
	double value = queue && queue->priority == 0 ? URGENT_VALUE : 1;
	double lost;

	if (task->state == TASK_STOPPING)
		return 0;
	/* The one that was displaced longest ago is the cheapest. */
	if (spec->long_running)
		return (spec->max_unavailable ? LASTING_COST : DISALLOWED_COST) +
		       (double)task->displaced_ms / 1000.0;
	/* A stop saves a checkpoint, so only the cost of the restart counts. */
	lost = 1.0 + (spec->checkpoints ? 0 : (double)(now_ms - task->began_ms) / 1000.0);
	lost *= value * plan_resource_weight(spec) * (1 + task->evictions);
	return lost + value * task->evicted_work + (plan_is_protected(task) ? PROTECTED_COST : 0);
}

double plan_eviction_cost(const struct task *task, uint64_t now_ms)
{
	const struct step_run *step = task->step;
	double sum = 0;

	if (!step->spec->gang)
		return task_eviction_cost(task, now_ms);
	for (uint32_t i = 0; i < step->spec->count; i++) {
		if (step->tasks[i].worker)
			sum += task_eviction_cost(&step->tasks[i], now_ms);
	}
	return sum;
}
