#include "fleetlimits.h"
#include "plan_int.h"

#include <string.h>

/*
 * One decision: steps get room in the order of planorder.c; urgent ones make some by stops, and
 * blocked gangs reserve workers. Made for bursts of urgent gangs on a fleet that longer work keeps
 * 60 to 100% busy.
 */

#define IDLE_RECHECK_MS 1000  /* longest time between two checks for stalls */
#define BLOCKED_RECHECK_MS 50 /* a back-off or due time may pass soon */
#define RESERVE_AFTER_MS 500  /* a gang that has waited this long reserves workers */
#define HOLD_HORIZON_MS 1000  /* room is held for a gang that is to start again by then */
#define RESERVE_SHARE 0.5     /* largest share of workers reserved for blocked gangs */

static int compare_rank(gconstpointer left, gconstpointer right)
{
	return plan_compare_ranks(left, right);
}

/* Members of a gang's last run are still being stopped; it starts again when they have ended. */
static bool starts_again_soon(const struct step_run *step)
{
	return step->spec->gang && step->ready_ms && step->waiting > 0 &&
	       step->waiting < step->spec->count;
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
		struct step_rank *ranked = &g_array_index(ranked_steps, struct step_rank, i);

		ranked->share_excess = plan_share_claim(plan, ranked->step);
	}
	g_array_sort(ranked_steps, compare_rank);
}

/* @again: also the gangs that wait for the last members of their former runs to end */
static GArray *rank_waiting_steps(struct plan *plan, bool again, uint64_t now_ms)
{
	GArray *ranked_steps = g_array_new(FALSE, FALSE, sizeof(struct step_rank));

	for (guint i = 0; i < plan->active->len; i++) {
		const struct job *job = plan->active->pdata[i];

		if (plan_job_ended(job) || job->inherited || job->held || !job->queue)
			continue;
		for (struct occurrence *occurrence = job->occurrences; occurrence;
		     occurrence = occurrence->next) {
			for (size_t s = 0; s < job->spec->step_count; s++) {
				struct step_run *step = &occurrence->steps[s];
				struct step_rank rank;

				if (!can_start(step) && !(again && starts_again_soon(step)))
					continue;
				plan_rank_step(plan, step, now_ms, &rank);
				g_array_append_val(ranked_steps, rank);
			}
		}
	}
	sort_by_share(plan, ranked_steps);
	return ranked_steps;
}

GPtrArray *plan_waiting_steps(struct plan *plan, uint64_t now_ms)
{
	GArray *ranked_steps = rank_waiting_steps(plan, false, now_ms);
	GPtrArray *steps = g_ptr_array_sized_new(ranked_steps->len);

	for (guint i = 0; i < ranked_steps->len; i++)
		g_ptr_array_add(steps, g_array_index(ranked_steps, struct step_rank, i).step);
	g_array_free(ranked_steps, TRUE);
	return steps;
}

static void start_task(struct plan *plan, struct task *task, struct worker *worker, uint32_t run,
		       uint64_t now_ms)
{
	plan_assign_task(task, worker, now_ms);
	task->state = TASK_STARTING;
	task->previous_own_run = task->own_run;
	task->own_run = run;
	task->run = run;
	task->waited_ms = now_ms - task->step->ready_ms;
	worker->changed = true;
	plan->use_service = NULL;
	plan_job_assigned(plan_task_job(task));
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

/*
 * Reserves the workers on which a blocked gang could fit soonest against less urgent steps. One
 * that may evict reserves them at once, since it would stop what starts there.
 */
static void reserve_workers(struct plan *plan, const struct step_rank *ranked, uint64_t now_ms,
			    uint32_t *reserved)
{
	struct step_run *step = ranked->step;
	struct worker **workers;
	bool evicts = plan_may_evict(ranked);
	uint32_t limit = evicts ? UINT32_MAX : (uint32_t)(plan->workers->len * RESERVE_SHARE);
	uint64_t until_ms = 0;

	if ((now_ms - step->ready_ms < RESERVE_AFTER_MS && !evicts) || *reserved >= limit)
		return;
	workers = talloc_zero_array(NULL, struct worker *, step->spec->count);
	if (plan_pick_gang_workers(plan, step, true, 0, now_ms, workers)) {
		/* What starts there would be stopped by a step that may evict. */
		if (!evicts)
			until_ms = plan_earliest_begin_ms(plan, step, now_ms);
		for (uint32_t i = 0; i < step->spec->count && *reserved < limit; i++) {
			if (!workers[i] || workers[i]->reserved_for)
				continue;
			workers[i]->reserved_for = step;
			workers[i]->reserved_until_ms = until_ms;
			(*reserved)++;
		}
	}
	talloc_free(workers);
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

/*
 * True if stops for a gang, or those that it waits for, are carried out late and it has had ample
 * room elsewhere for as long as any preference may hold it back.
 */
static bool waits_beside_ample_room(struct plan *plan, struct step_run *step, uint64_t now_ms)
{
	return plan_waived_preferences(plan, step, now_ms) == PLAN_WAIVE_ALL &&
	       now_ms >= step->room_made_until_ms;
}

/* True for a gang that can't start yet, but is to start again soon. */
static bool is_held_up(const struct step_run *step, uint64_t now_ms)
{
	return starts_again_soon(step) || (step->spec->gang && !retry_is_due(step, now_ms) &&
					   retry_is_due(step, now_ms + HOLD_HORIZON_MS));
}

/* Makes room on several racks for a gang within its guarantee, once it waits for none any more. */
static bool reclaim_across_racks(struct plan *plan, struct step_run *step, uint64_t now_ms)
{
	return step->spec->gang && step->spec->one_rack && step->occurrence->job->guaranteed &&
	       (plan_waived_preferences(plan, step, now_ms) & PLAN_WAIVE_RACK) &&
	       plan_evict_for_step(plan, step, PLAN_WAIVE_RACK, now_ms);
}

static void place_step(struct plan *plan, const struct step_rank *ranked, uint64_t now_ms,
		       uint32_t *reserved)
{
	struct step_run *step = ranked->step;

	if (plan_job_ended(step->occurrence->job))
		return;
	if (plan_may_evict(ranked) && is_held_up(step, now_ms)) {
		reserve_workers(plan, ranked, now_ms, reserved);
		return;
	}
	if (!can_start(step) || place_all(plan, step, 0, now_ms))
		return;
	/* Room for a gang is made in one rack if possible: a stop takes less than a slower run. */
	if (step->spec->gang && plan_may_evict(ranked) &&
	    plan_evict_for_step(plan, step, 0, now_ms)) {
		if (waits_beside_ample_room(plan, step, now_ms))
			place_elsewhere(plan, step, now_ms);
		return;
	}
	if (place_elsewhere(plan, step, now_ms) || plan_evict_fillers(plan, step, now_ms))
		return;
	if (!step->spec->gang && plan_may_evict(ranked) &&
	    plan_evict_for_step(plan, step, 0, now_ms))
		return;
	if (reclaim_across_racks(plan, step, now_ms))
		return;
	if (step->spec->gang && ranked->class != PLAN_RANK_WORTHLESS)
		reserve_workers(plan, ranked, now_ms, reserved);
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
	bool leaving;
	bool blocked;

	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];

		worker->reserved_for = NULL;
		worker->reserved_firm = false;
		worker->reserved_until_ms = 0;
	}
	plan->use_service = NULL;
	inspect_workers(plan, now_ms);
	plan_review_evidence(plan, now_ms);
	plan_withdraw_starts(plan);
	plan_end_tasks_done_before(plan, now_ms);
	plan_make_due_occurrences(plan, now_ms);
	plan_mark_guaranteed(plan);
	plan_keep_headroom(plan, now_ms);
	plan_move_stalled(plan, now_ms);
	plan_move_slow(plan, now_ms);
	ranked_steps = rank_waiting_steps(plan, true, now_ms);
	blocked = ranked_steps->len > 0 || plan->has_held;
	for (guint i = 0; i < ranked_steps->len; i++)
		place_step(plan, &g_array_index(ranked_steps, struct step_rank, i), now_ms,
			   &reserved);
	g_array_free(ranked_steps, TRUE);
	/* After the placement, so that the room of tasks that were moved before is taken. */
	leaving = plan_move_from_leaving(plan, now_ms);
	plan_update_waits(plan, now_ms);
	g_clear_pointer(&plan->orphan_tasks, g_hash_table_destroy);
	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];

		if (worker->changed && changed)
			changed(worker->node, ctx);
		worker->changed = false;
	}
	return blocked || leaving ? BLOCKED_RECHECK_MS : IDLE_RECHECK_MS;
}
