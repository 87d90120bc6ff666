#include "plan_int.h"

#include <stdlib.h>
#include <string.h>

/*
 * When room becomes free, by the expected ends of runs. A run's own progress says more of its end
 * than the estimate of its caller, which may be wrong by a factor of ten.
 */

#define PERCENT_DONE 100.0
#define NEVER_MS UINT64_MAX
/* A run that takes longer than expected is expected to take this share of its time again. */
#define OVERDUE_SHARE 0.5
/* Runs that have shown progress take at least this share of the time that they are expected to. */
#define EARLIEST_SHARE 0.5
#define EARLIEST_PERCENTS 5 /* the time of fewer percents says too little of the others */
/* Bounds of a run's time: by former runs of its step, or by an estimate that may be wrong. */
#define MEASURED_MARGIN 1.5
#define ESTIMATE_MARGIN 10.0
#define BACKFILL_MARGIN_MS 500 /* for the orders and reports of the start and of the end */

uint64_t plan_expected_run_ms(const struct step_run *step)
{
	if (step->measured_run_ms > 0)
		return step->measured_run_ms;
	for (uint32_t i = 0; i < step->spec->count; i++) {
		if (step->tasks[i].best_speed > 0)
			return (uint64_t)(PERCENT_DONE / step->tasks[i].best_speed);
	}
	return step->spec->estimate_ms;
}

/* A gang works from the start of its last member on. */
static uint64_t work_began_ms(const struct task *task)
{
	const struct step_run *step = task->step;
	uint64_t began_ms = task->began_ms;

	for (uint32_t i = 0; step->spec->gang && i < step->spec->count; i++) {
		if (step->tasks[i].state == TASK_RUNNING)
			began_ms = MAX(began_ms, step->tasks[i].began_ms);
	}
	return began_ms;
}

/* A run that was taken over, or continues from a checkpoint, has a part of its work behind it. */
static uint64_t expected_work_ms(const struct task *task)
{
	double left = PERCENT_DONE - MIN(task->base_percent, PERCENT_DONE);

	return (uint64_t)(left / PERCENT_DONE * (double)plan_expected_run_ms(task->step));
}

uint64_t plan_expected_end_ms(const struct plan *plan, const struct task *task, uint64_t now_ms)
{
	uint64_t began_ms;
	uint64_t elapsed_ms;
	uint64_t run_ms;

	if (task->state == TASK_STOPPING)
		return now_ms + plan->params.stop_ms;
	if (task->step->spec->long_running)
		return NEVER_MS;
	began_ms = work_began_ms(task);
	if (task->percent > task->base_percent && task->percent_changed_ms > began_ms) {
		double percent_ms = (double)(task->percent_changed_ms - began_ms) /
				    (task->percent - task->base_percent);
		uint64_t end_ms = task->percent_changed_ms +
				  (uint64_t)(percent_ms * (PERCENT_DONE - task->percent));

		/* It stands still, or is a member of a gang that waits for a slower one. */
		if (end_ms < now_ms)
			end_ms = now_ms + (uint64_t)(OVERDUE_SHARE *
						     (double)(now_ms - task->percent_changed_ms));
		return end_ms;
	}
	run_ms = expected_work_ms(task);
	elapsed_ms = now_ms > began_ms ? now_ms - began_ms : 0;
	if (elapsed_ms >= run_ms)
		return now_ms + (uint64_t)(OVERDUE_SHARE * (double)elapsed_ms);
	return began_ms + run_ms;
}

static uint64_t earliest_end_ms(const struct plan *plan, const struct task *task, uint64_t now_ms)
{
	uint64_t end_ms = plan_expected_end_ms(plan, task, now_ms);

	if (end_ms == NEVER_MS)
		return NEVER_MS;
	if (task->state == TASK_STOPPING ||
	    (task->percent < task->base_percent + EARLIEST_PERCENTS &&
	     task->step->measured_run_ms == 0))
		return now_ms;
	return now_ms + (uint64_t)(EARLIEST_SHARE * (double)(end_ms - MIN(end_ms, now_ms)));
}

bool plan_ends_before(const struct step_run *step, uint64_t at_ms, uint64_t now_ms)
{
	double margin = step->measured_run_ms > 0 ? MEASURED_MARGIN : ESTIMATE_MARGIN;

	if (at_ms <= now_ms || step->spec->long_running)
		return false;
	return margin * (double)plan_expected_run_ms(step) + BACKFILL_MARGIN_MS <=
	       (double)(at_ms - now_ms);
}

/* Room for one task of a step on a worker, from a time on. */
struct slot {
	uint64_t at_ms;
	const struct worker *worker;
};

struct release {
	uint64_t at_ms;
	const struct task *task;
};

static int compare_releases(gconstpointer first, gconstpointer second)
{
	const struct release *left = first;
	const struct release *right = second;

	return left->at_ms < right->at_ms ? -1 : left->at_ms > right->at_ms;
}

static int compare_slots(gconstpointer first, gconstpointer second)
{
	const struct slot *left = first;
	const struct slot *right = second;

	return left->at_ms < right->at_ms ? -1 : left->at_ms > right->at_ms;
}

/* When a run is taken to end. */
typedef uint64_t end_time(const struct plan *plan, const struct task *task, uint64_t now_ms);

static void list_releases(const struct plan *plan, const struct worker *worker, end_time *end_ms,
			  uint64_t now_ms, GArray *releases)
{
	g_array_set_size(releases, 0);
	for (const struct task *task = worker->tasks; task; task = task->next_on_worker) {
		struct release release = {end_ms(plan, task, now_ms), task};

		if (release.at_ms != NEVER_MS)
			g_array_append_val(releases, release);
	}
	g_array_sort(releases, compare_releases);
}

static uint64_t available_from_ms(const struct worker *worker, uint64_t now_ms)
{
	return MAX(MAX(now_ms, worker->backoff_until_ms),
		   MAX(worker->suspect_until_ms, worker->slow_until_ms));
}

/* Adds the times from which on a worker has room for one, two and more tasks of the step. */
static void add_slots(const struct plan *plan, const struct step_run *step, guint index,
		      uint32_t limit, uint64_t from_ms, end_time *end_ms, uint64_t now_ms,
		      GArray *releases, GArray *slots)
{
	const struct worker *worker = plan->workers->pdata[index];
	struct plan_resources need = plan_step_need(step->spec);
	struct plan_resources used = worker->used;
	struct slot slot = {from_ms, worker};
	guint released = 0;

	if (step->spec->spread_limit)
		limit = MIN(limit, step->spec->spread_limit);
	list_releases(plan, worker, end_ms, now_ms, releases);
	for (uint32_t i = 0; i < limit; i++) {
		while (!plan_fits(&worker->room, &used, &need)) {
			const struct release *next;
			struct plan_resources freed;

			if (released == releases->len)
				return;
			next = &g_array_index(releases, struct release, released++);
			freed = plan_step_need(next->task->step->spec);
			used.cpu_milli -= freed.cpu_milli;
			used.memory_mb -= freed.memory_mb;
			used.accelerators -= freed.accelerators;
			slot.at_ms = MAX(slot.at_ms, next->at_ms);
		}
		plan_add_resources(&used, &need);
		g_array_append_val(slots, slot);
	}
}

/* Time of the slot that completes @wanted of them in one rack. */
static uint64_t find_rack_time(const GArray *slots, uint32_t wanted)
{
	GHashTable *racks = g_hash_table_new(g_str_hash, g_str_equal);
	uint64_t due_ms = NEVER_MS;

	for (guint i = 0; i < slots->len && due_ms == NEVER_MS; i++) {
		const struct slot *slot = &g_array_index(slots, struct slot, i);
		guint count = GPOINTER_TO_UINT(g_hash_table_lookup(racks, slot->worker->rack)) + 1;

		g_hash_table_insert(racks, slot->worker->rack, GUINT_TO_POINTER(count));
		if (count == wanted)
			due_ms = slot->at_ms;
	}
	g_hash_table_destroy(racks);
	return due_ms;
}

uint64_t plan_rack_due_ms(const struct plan *plan, const struct step_run *step, uint64_t now_ms)
{
	GArray *slots = g_array_new(FALSE, FALSE, sizeof(struct slot));
	GArray *releases = g_array_new(FALSE, FALSE, sizeof(struct release));
	uint32_t wanted = step->spec->gang ? step->spec->count : 1;
	uint64_t due_ms;

	for (guint i = 0; i < plan->workers->len; i++) {
		const struct worker *worker = plan->workers->pdata[i];

		/* What else bars a worker, such as a missing report, is expected to pass soon. */
		if (worker->accepting && plan_worker_could_hold(worker, step) &&
		    (step->spec->gang || !plan_data_on_other_rack(worker, step->spec)))
			add_slots(plan, step, i, wanted, available_from_ms(worker, now_ms),
				  plan_expected_end_ms, now_ms, releases, slots);
	}
	g_array_sort(slots, compare_slots);
	due_ms = find_rack_time(slots, wanted);
	g_array_free(slots, TRUE);
	g_array_free(releases, TRUE);
	return due_ms;
}

uint64_t plan_earliest_begin_ms(const struct plan *plan, const struct step_run *step,
				uint64_t now_ms)
{
	GArray *slots = g_array_new(FALSE, FALSE, sizeof(struct slot));
	GArray *releases = g_array_new(FALSE, FALSE, sizeof(struct release));
	uint32_t wanted = step->spec->count;
	uint64_t begin_ms = 0;

	for (guint i = 0; i < plan->workers->len; i++) {
		const struct worker *worker = plan->workers->pdata[i];

		/* Draining workers may come back, and pauses may be waived. */
		if (plan_worker_could_hold(worker, step))
			add_slots(plan, step, i, wanted, now_ms, earliest_end_ms, now_ms, releases,
				  slots);
	}
	g_array_sort(slots, compare_slots);
	if (slots->len >= wanted)
		begin_ms = g_array_index(slots, struct slot, wanted - 1).at_ms;
	g_array_free(slots, TRUE);
	g_array_free(releases, TRUE);
	return begin_ms;
}
