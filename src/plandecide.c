#include "fleetlimits.h"
#include "plan_int.h"

#include <string.h>

/*
 * The order in which waiting steps get room. The load it answers: bursts of urgent gangs on a
 * fleet that is kept 60 to 100% busy by longer work. Promised work comes first, then by
 * priority, and within a priority the job whose objective ends first. Jobs that missed even
 * the late objective wait behind all others: serving them first would make the next ones late
 * too.
 */

#define LATE_FACTOR 3.0	     /* results are worthless after this many times the objective */
#define IDLE_MS 1000	     /* look again for stalls at least this often */
#define SOON_MS 50	     /* some back-off or due time passes soon */
#define RESERVE_AFTER_MS 500 /* a gang blocked this long keeps room free for itself */
#define RESERVE_SHARE 0.5    /* of the workers, at most, is kept free for blocked gangs */
#define RANK_WORTHLESS 100

struct unit {
	struct step_run *step;
	uint32_t rank;
	double due_ms;
};

static double due_of(const struct job *job, const struct occurrence *occurrence, double factor)
{
	double objective = job->queue->stretch * (double)jobspec_chain_ms(job->spec) +
			   job->queue->allowance_ms;

	return (double)occurrence->due_ms + factor * objective;
}

static uint32_t rank_of(const struct step_run *step, uint64_t now_ms)
{
	const struct job *job = step->occurrence->job;

	if (job->guaranteed || step->spec->long_running)
		return 0;
	if ((double)now_ms > due_of(job, step->occurrence, LATE_FACTOR))
		return RANK_WORTHLESS + job->queue->priority;
	return 1 + job->queue->priority;
}

static int by_rank(gconstpointer a, gconstpointer b)
{
	const struct unit *left = a;
	const struct unit *right = b;

	if (left->rank != right->rank)
		return left->rank < right->rank ? -1 : 1;
	if (left->due_ms != right->due_ms)
		return left->due_ms < right->due_ms ? -1 : 1;
	return strcmp(left->step->tasks[0].name, right->step->tasks[0].name);
}

/* A gang starts only as a whole, so it waits until no member of the last run is left. */
static bool can_start(const struct step_run *step)
{
	if (!step->ready_ms || step->waiting == 0)
		return false;
	return !step->spec->gang || step->waiting == step->spec->count;
}

static GArray *collect_units(struct plan *plan, uint64_t now_ms)
{
	GArray *units = g_array_new(FALSE, FALSE, sizeof(struct unit));

	for (guint i = 0; i < plan->active->len; i++) {
		const struct job *job = plan->active->pdata[i];

		if (plan_job_ended(job) || job->inherited || !job->queue)
			continue;
		for (struct occurrence *o = job->occurrences; o; o = o->next) {
			for (size_t s = 0; s < job->spec->step_count; s++) {
				struct unit unit = {.step = &o->steps[s]};

				if (!can_start(unit.step))
					continue;
				unit.rank = rank_of(unit.step, now_ms);
				unit.due_ms = due_of(job, o, 1);
				g_array_append_val(units, unit);
			}
		}
	}
	g_array_sort(units, by_rank);
	return units;
}

GPtrArray *plan_waiting_steps(struct plan *plan, uint64_t now_ms)
{
	GArray *units = collect_units(plan, now_ms);
	GPtrArray *steps = g_ptr_array_sized_new(units->len);

	for (guint i = 0; i < units->len; i++)
		g_ptr_array_add(steps, g_array_index(units, struct unit, i).step);
	g_array_free(units, TRUE);
	return steps;
}

static void start(struct plan *plan, struct task *task, struct worker *worker, uint32_t run,
		  uint64_t now_ms)
{
	struct job *job = plan_task_job(task);

	plan_assign(task, worker, now_ms);
	task->state = TASK_STARTING;
	task->run = run;
	task->waited_ms = now_ms - task->step->ready_ms;
	worker->changed = true;
	job->started = true;
	if (job->state == PLAN_JOB_QUEUED)
		job->state = PLAN_JOB_RUNNING;
}

static uint32_t next_run(const struct plan *plan, struct job *job)
{
	if (job->next_run < plan->run_floor)
		job->next_run = plan->run_floor;
	return job->next_run++;
}

static bool retry_is_due(const struct step_run *step, uint64_t now_ms)
{
	for (uint32_t i = 0; i < step->spec->count; i++) {
		if (step->tasks[i].retry_ms > now_ms)
			return false;
	}
	return true;
}

/* The members of a gang resume from one checkpoint, the one that is furthest. */
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

static bool place_gang(struct plan *plan, struct step_run *step, uint64_t now_ms)
{
	struct worker **places;
	bool found;

	if (!retry_is_due(step, now_ms))
		return true;
	places = talloc_zero_array(NULL, struct worker *, step->spec->count);
	found = plan_pick_gang(plan, step, false, now_ms, places);
	if (found) {
		uint32_t run = next_run(plan, step->occurrence->job);

		share_checkpoint(step);
		for (uint32_t i = 0; i < step->spec->count; i++)
			start(plan, &step->tasks[i], places[i], run, now_ms);
	}
	talloc_free(places);
	return found;
}

static bool place_tasks(struct plan *plan, struct step_run *step, uint64_t now_ms)
{
	for (uint32_t i = 0; i < step->spec->count; i++) {
		struct task *task = &step->tasks[i];
		struct worker *worker;

		if (task->state != TASK_WAITING || task->retry_ms > now_ms)
			continue;
		worker = plan_pick(plan, task, now_ms);
		if (!worker)
			return false;
		start(plan, task, worker, next_run(plan, step->occurrence->job), now_ms);
	}
	return true;
}

/* Keeps the workers on which a blocked gang will fit first free of later, lesser work. */
static void reserve(struct plan *plan, struct step_run *step, uint64_t now_ms, uint32_t *reserved)
{
	struct worker **places;
	uint32_t most = (uint32_t)(plan->workers->len * RESERVE_SHARE);

	if (now_ms - step->ready_ms < RESERVE_AFTER_MS || *reserved >= most)
		return;
	places = talloc_zero_array(NULL, struct worker *, step->spec->count);
	if (plan_pick_gang(plan, step, true, now_ms, places)) {
		for (uint32_t i = 0; i < step->spec->count && *reserved < most; i++) {
			if (!places[i] || places[i]->reserved_for)
				continue;
			places[i]->reserved_for = step;
			(*reserved)++;
		}
	}
	talloc_free(places);
}

static bool may_evict(const struct unit *unit)
{
	const struct job *job = unit->step->occurrence->job;

	return job->guaranteed || (job->queue->priority == 0 && unit->rank < RANK_WORTHLESS);
}

static void place(struct plan *plan, const struct unit *unit, uint64_t now_ms, uint32_t *reserved)
{
	struct step_run *step = unit->step;
	bool placed =
		step->spec->gang ? place_gang(plan, step, now_ms) : place_tasks(plan, step, now_ms);

	if (placed)
		return;
	if (may_evict(unit) && plan_evict_for(plan, step, now_ms))
		return;
	if (step->spec->gang && unit->rank < RANK_WORTHLESS)
		reserve(plan, step, now_ms, reserved);
}

static void note_silence(struct plan *plan, uint64_t now_ms)
{
	uint32_t most_ms = worker_silence_limit_ms(plan->workers->len);

	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];

		worker->silent = now_ms - worker->heard_ms > most_ms;
	}
}

uint32_t plan_decide(struct plan *plan, uint64_t now_ms,
		     void (*changed)(const char *node, void *ctx), void *ctx)
{
	uint32_t reserved = 0;
	GArray *units;
	bool blocked;

	for (guint i = 0; i < plan->workers->len; i++)
		((struct worker *)plan->workers->pdata[i])->reserved_for = NULL;
	note_silence(plan, now_ms);
	plan_make_due(plan, now_ms);
	plan_mark_guaranteed(plan);
	plan_keep_headroom(plan, now_ms);
	plan_move_stalled(plan, now_ms);
	plan_move_slow(plan, now_ms);
	units = collect_units(plan, now_ms);
	blocked = units->len > 0;
	for (guint i = 0; i < units->len; i++)
		place(plan, &g_array_index(units, struct unit, i), now_ms, &reserved);
	g_array_free(units, TRUE);
	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];

		if (worker->changed && changed)
			changed(worker->node, ctx);
		worker->changed = false;
	}
	return blocked ? SOON_MS : IDLE_MS;
}
