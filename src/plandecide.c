#include "fleetlimits.h"
#include "plan_int.h"

#include <string.h>

/*
 * The order in which waiting steps get room, made for bursts of urgent gangs on a fleet that
 * longer work keeps 60 to 100% busy. Steps of guaranteed jobs and long-running steps come first,
 * then jobs by priority, and within a priority those of organisations that are not above their fair
 * share, and of these the job with the earliest deadline. Jobs that are late even by
 * WORTHLESS_AFTER_FACTOR wait behind all others: if they came first, the next jobs would be late
 * too.
 */

#define WORTHLESS_AFTER_FACTOR 3.0 /* results are worthless after this multiple */
#define IDLE_RECHECK_MS 1000	   /* longest time between two checks for stalls */
#define BLOCKED_RECHECK_MS 50	   /* a back-off or due time may pass soon */
#define RESERVE_AFTER_MS 500	   /* a gang that has waited this long reserves workers */
#define RESERVE_SHARE 0.5	   /* largest share of workers reserved for blocked gangs */
#define RANK_WORTHLESS 100

struct ranked_step {
	struct step_run *step;
	uint32_t rank;
	double share_excess; /* see plan_share_claim() */
	double deadline_ms;
};

static double objective_deadline_ms(const struct job *job, const struct occurrence *occurrence,
				    double objective_factor)
{
	double objective = job->queue->stretch * (double)jobspec_critical_path_ms(job->spec) +
			   job->queue->allowance_ms;

	return (double)occurrence->due_ms + objective_factor * objective;
}

static uint32_t step_rank(const struct step_run *step, uint64_t now_ms)
{
	const struct job *job = step->occurrence->job;

	/* A long-running task must not take the room that it was stopped to make. */
	if (job->guaranteed)
		return 0;
	if (step->spec->long_running)
		return step->spec->filler ? 2 : 1;
	if ((double)now_ms > objective_deadline_ms(job, step->occurrence, WORTHLESS_AFTER_FACTOR))
		return RANK_WORTHLESS + job->queue->priority;
	return 3 + job->queue->priority;
}

static int compare_rank(gconstpointer a, gconstpointer b)
{
	const struct ranked_step *left = a;
	const struct ranked_step *right = b;

	if (left->rank != right->rank)
		return left->rank < right->rank ? -1 : 1;
	if (left->share_excess != right->share_excess)
		return left->share_excess < right->share_excess ? -1 : 1;
	if (left->deadline_ms != right->deadline_ms)
		return left->deadline_ms < right->deadline_ms ? -1 : 1;
	return strcmp(left->step->tasks[0].name, right->step->tasks[0].name);
}

/* A gang starts only as a whole, so it waits until all members of its last run have ended. */
static bool can_start(const struct step_run *step)
{
	if (!step->ready_ms || step->waiting == 0)
		return false;
	return !step->spec->gang || step->waiting == step->spec->count;
}

/* Orders steps by rank and deadline, and then by rank, share and deadline. */
static void sort_by_share(struct plan *plan, GArray *ranked_steps)
{
	plan_share_update(plan);
	g_array_sort(ranked_steps, compare_rank);
	for (guint i = 0; i < ranked_steps->len; i++) {
		struct ranked_step *ranked = &g_array_index(ranked_steps, struct ranked_step, i);

		ranked->share_excess = plan_share_claim(plan, ranked->step);
	}
	g_array_sort(ranked_steps, compare_rank);
}

static GArray *rank_waiting_steps(struct plan *plan, uint64_t now_ms)
{
	GArray *ranked_steps = g_array_new(FALSE, FALSE, sizeof(struct ranked_step));

	for (guint i = 0; i < plan->active->len; i++) {
		const struct job *job = plan->active->pdata[i];

		if (plan_job_ended(job) || job->inherited || job->held || !job->queue)
			continue;
		for (struct occurrence *occurrence = job->occurrences; occurrence;
		     occurrence = occurrence->next) {
			for (size_t s = 0; s < job->spec->step_count; s++) {
				struct ranked_step ranked = {.step = &occurrence->steps[s]};

				if (!can_start(ranked.step))
					continue;
				ranked.rank = step_rank(ranked.step, now_ms);
				ranked.deadline_ms = objective_deadline_ms(job, occurrence, 1);
				g_array_append_val(ranked_steps, ranked);
			}
		}
	}
	sort_by_share(plan, ranked_steps);
	return ranked_steps;
}

GPtrArray *plan_waiting_steps(struct plan *plan, uint64_t now_ms)
{
	GArray *ranked_steps = rank_waiting_steps(plan, now_ms);
	GPtrArray *steps = g_ptr_array_sized_new(ranked_steps->len);

	for (guint i = 0; i < ranked_steps->len; i++)
		g_ptr_array_add(steps, g_array_index(ranked_steps, struct ranked_step, i).step);
	g_array_free(ranked_steps, TRUE);
	return steps;
}

static void start_task(struct plan *plan, struct task *task, struct worker *worker, uint32_t run,
		       uint64_t now_ms)
{
	struct job *job = plan_task_job(task);

	plan_assign_task(task, worker, now_ms);
	task->state = TASK_STARTING;
	task->previous_own_run = task->own_run;
	task->own_run = run;
	task->run = run;
	task->waited_ms = now_ms - task->step->ready_ms;
	worker->changed = true;
	plan->use_service = NULL;
	job->started = true;
	if (job->state == PLAN_JOB_QUEUED)
		job->state = PLAN_JOB_RUNNING;
}

static uint32_t allocate_run(const struct plan *plan, struct job *job)
{
	if (job->next_run < plan->min_run)
		job->next_run = plan->min_run;
	return job->next_run++;
}

static bool retry_is_due(const struct step_run *step, uint64_t now_ms)
{
	for (uint32_t i = 0; i < step->spec->count; i++) {
		if (step->tasks[i].retry_after_ms > now_ms)
			return false;
	}
	return true;
}

/* Makes all members of a gang resume from one checkpoint, the most advanced one. */
static void share_checkpoint(struct step_run *step)
{
	struct task *best = NULL;

	for (uint32_t i = 0; i < step->spec->count; i++) {
		struct task *task = &step->tasks[i];

		if (task->checkpoint && (!best || task->saved_percent > best->saved_percent))
			best = task;
	}
	for (uint32_t i = 0; best && i < step->spec->count; i++) {
		struct task *task = &step->tasks[i];

		if (task == best)
			continue;
		talloc_free(task->checkpoint);
		task->checkpoint = talloc_strdup(step->occurrence, best->checkpoint);
		task->saved_percent = best->saved_percent;
	}
}

bool plan_has_orphan_run(const struct plan *plan, const struct task *task)
{
	return plan->orphan_tasks && g_hash_table_contains(plan->orphan_tasks, task->name);
}

static bool gang_has_orphan_run(const struct plan *plan, const struct step_run *step)
{
	for (uint32_t i = 0; i < step->spec->count; i++) {
		if (plan_has_orphan_run(plan, &step->tasks[i]))
			return true;
	}
	return false;
}

/*
 * Ends the job of a task that is to start although its attempts are used up. When the last of them
 * failed, the limit was higher, or the queue was not in the configuration.
 */
static bool end_if_used_up(struct plan *plan, struct task *task)
{
	if (!plan_attempts_used_up(task))
		return false;
	plan_job_end(plan, plan_task_job(task), PLAN_JOB_FAILED);
	return true;
}

static bool place_gang(struct plan *plan, struct step_run *step, unsigned int waived,
		       uint64_t now_ms)
{
	struct worker **workers;
	bool found;

	if (!retry_is_due(step, now_ms) || gang_has_orphan_run(plan, step) ||
	    end_if_used_up(plan, &step->tasks[0]))
		return true;
	workers = talloc_zero_array(NULL, struct worker *, step->spec->count);
	found = plan_pick_gang_workers(plan, step, false, waived, now_ms, workers);
	if (found) {
		uint32_t run = allocate_run(plan, step->occurrence->job);

		share_checkpoint(step);
		for (uint32_t i = 0; i < step->spec->count; i++)
			start_task(plan, &step->tasks[i], workers[i], run, now_ms);
	}
	talloc_free(workers);
	return found;
}

static bool some_at_work(const struct step_run *step)
{
	return step->waiting + step->done < step->spec->count;
}

static bool place_tasks(struct plan *plan, struct step_run *step, unsigned int waived,
			uint64_t now_ms)
{
	for (uint32_t i = 0; i < step->spec->count; i++) {
		struct task *task = &step->tasks[i];
		struct worker *worker;

		if (task->state != TASK_WAITING || task->retry_after_ms > now_ms ||
		    plan_has_orphan_run(plan, task))
			continue;
		if (end_if_used_up(plan, task))
			return true;
		/* What others are to have is left to them once some of the tasks are at work. */
		if ((waived & ~PLAN_WAIVE_RACK) && some_at_work(step) &&
		    !plan_has_ample_room(plan, step, now_ms))
			return false;
		worker = plan_pick_worker(plan, task, waived, now_ms);
		if (!worker)
			return false;
		start_task(plan, task, worker, allocate_run(plan, step->occurrence->job), now_ms);
	}
	return true;
}

/* Reserves the workers on which a blocked gang could fit soonest against less urgent steps. */
static void reserve_workers(struct plan *plan, struct step_run *step, uint64_t now_ms,
			    uint32_t *reserved)
{
	struct worker **workers;
	uint32_t limit = (uint32_t)(plan->workers->len * RESERVE_SHARE);

	if (now_ms - step->ready_ms < RESERVE_AFTER_MS || *reserved >= limit)
		return;
	workers = talloc_zero_array(NULL, struct worker *, step->spec->count);
	if (plan_pick_gang_workers(plan, step, true, 0, now_ms, workers)) {
		for (uint32_t i = 0; i < step->spec->count && *reserved < limit; i++) {
			if (!workers[i] || workers[i]->reserved_for)
				continue;
			workers[i]->reserved_for = step;
			(*reserved)++;
		}
	}
	talloc_free(workers);
}

static bool may_evict(const struct ranked_step *ranked)
{
	const struct job *job = ranked->step->occurrence->job;

	return job->guaranteed || (job->queue->priority == 0 && ranked->rank < RANK_WORTHLESS);
}

/* False if tasks are left over that could start. */
static bool place_all(struct plan *plan, struct step_run *step, unsigned int waived,
		      uint64_t now_ms)
{
	return step->spec->gang ? place_gang(plan, step, waived, now_ms)
				: place_tasks(plan, step, waived, now_ms);
}

/* Leaves preferences aside that may be, no more of them than it takes. */
static bool place_elsewhere(struct plan *plan, struct step_run *step, uint64_t now_ms)
{
	static const unsigned int sets[] = {
		PLAN_WAIVE_RACK,
		PLAN_WAIVE_RACK | PLAN_WAIVE_RESERVED,
		PLAN_WAIVE_RACK | PLAN_WAIVE_RESERVED | PLAN_WAIVE_HEADROOM,
		PLAN_WAIVE_ALL,
	};
	unsigned int waived = plan_waived_preferences(plan, step, now_ms);

	for (size_t i = 0; i < G_N_ELEMENTS(sets) && !(sets[i] & ~waived); i++) {
		if (place_all(plan, step, sets[i], now_ms))
			return true;
	}
	return false;
}

static void place_step(struct plan *plan, const struct ranked_step *ranked, uint64_t now_ms,
		       uint32_t *reserved)
{
	struct step_run *step = ranked->step;

	if (plan_job_ended(step->occurrence->job) || place_all(plan, step, 0, now_ms))
		return;
	/* Room for a gang is made in one rack if possible: a stop takes less than a slower run. */
	if (step->spec->gang && may_evict(ranked) && plan_evict_for_step(plan, step, now_ms))
		return;
	if (place_elsewhere(plan, step, now_ms) || plan_evict_fillers(plan, step, now_ms))
		return;
	if (!step->spec->gang && may_evict(ranked) && plan_evict_for_step(plan, step, now_ms))
		return;
	if (step->spec->gang && ranked->rank < RANK_WORTHLESS)
		reserve_workers(plan, step, now_ms, reserved);
}

static void note_orphans(struct plan *plan, const struct worker *worker)
{
	for (const struct orphan_run *orphan = worker->orphans; orphan; orphan = orphan->next) {
		if (!plan->orphan_tasks)
			plan->orphan_tasks = g_hash_table_new(g_str_hash, g_str_equal);
		g_hash_table_add(plan->orphan_tasks, orphan->task);
	}
}

static void inspect_workers(struct plan *plan, uint64_t now_ms)
{
	uint32_t silent_after_ms = worker_silence_limit_ms(plan->workers->len);

	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];

		worker->silent = now_ms - worker->last_report_ms > silent_after_ms;
		note_orphans(plan, worker);
	}
}

uint32_t plan_decide(struct plan *plan, uint64_t now_ms,
		     void (*changed)(const char *node, void *ctx), void *ctx)
{
	uint32_t reserved = 0;
	GArray *ranked_steps;
	bool blocked;

	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];

		worker->reserved_for = NULL;
		worker->reserved_firm = false;
	}
	plan->use_service = NULL;
	inspect_workers(plan, now_ms);
	plan_withdraw_starts(plan);
	plan_end_tasks_done_before(plan, now_ms);
	plan_make_due_occurrences(plan, now_ms);
	plan_mark_guaranteed(plan);
	plan_keep_headroom(plan, now_ms);
	plan_move_stalled(plan, now_ms);
	plan_move_slow(plan, now_ms);
	ranked_steps = rank_waiting_steps(plan, now_ms);
	blocked = ranked_steps->len > 0 || plan->has_held;
	for (guint i = 0; i < ranked_steps->len; i++)
		place_step(plan, &g_array_index(ranked_steps, struct ranked_step, i), now_ms,
			   &reserved);
	g_array_free(ranked_steps, TRUE);
	plan_update_waits(plan, now_ms);
	g_clear_pointer(&plan->orphan_tasks, g_hash_table_destroy);
	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];

		if (worker->changed && changed)
			changed(worker->node, ctx);
		worker->changed = false;
	}
	return blocked ? BLOCKED_RECHECK_MS : IDLE_RECHECK_MS;
}
