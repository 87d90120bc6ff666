#include "plan_int.h"

#include <inttypes.h>

/*
 * Occurrences of a job: they are made when they are due, a few at a time. A job may have 100,000
 * that are due at once. The bounds keep its memory within that of the largest job without
 * occurrences, its record within a value of the store and a decision short.
 */

#define UNFINISHED_MAX 4096 /* occurrences */
#define UNFINISHED_TASKS_MAX JOBSPEC_TASKS_MAX
#define UNFINISHED_MIN 2 /* occurrences that may overlap, however many tasks they have */
#define WAITING_MAX 256	 /* occurrences of which a step waits to be placed */

static void init_step(struct step_run *step, struct occurrence *occurrence, uint32_t number)
{
	const struct job *job = occurrence->job;

	step->occurrence = occurrence;
	step->spec = &job->spec->steps[number];
	step->number = number;
	step->waiting = step->spec->count;
	step->tasks = talloc_zero_array(occurrence, struct task, step->spec->count);
	for (uint32_t i = 0; i < step->spec->count; i++) {
		struct task *task = &step->tasks[i];

		task->step = step;
		task->index = i;
		snprintf(task->name, sizeof(task->name), "%s.%" PRIu32 ".%" PRIu32 ".%" PRIu32,
			 job->id, occurrence->number, number, i);
	}
}

struct occurrence *plan_make_occurrence(struct plan *plan, struct job *job, uint32_t number)
{
	struct occurrence *occurrence = talloc_zero(job, struct occurrence);

	occurrence->job = job;
	occurrence->number = number;
	occurrence->due_ms = job->accepted_ms;
	if (job->spec->repeats > 0) {
		int64_t due = (int64_t)(job->spec->first_due_ms + number * job->spec->interval_ms) -
			      job->wall_offset_ms;

		occurrence->due_ms = due > 0 ? (uint64_t)due : 0;
	}
	occurrence->steps_left = job->spec->step_count;
	occurrence->steps = talloc_zero_array(occurrence, struct step_run, job->spec->step_count);
	for (size_t i = 0; i < job->spec->step_count; i++)
		init_step(&occurrence->steps[i], occurrence, (uint32_t)i);
	occurrence->prev = job->last_occurrence;
	if (occurrence->prev)
		occurrence->prev->next = occurrence;
	else
		job->occurrences = occurrence;
	job->last_occurrence = occurrence;
	g_hash_table_insert(job->occurrences_by_number, GUINT_TO_POINTER(number), occurrence);
	if (number >= job->created)
		job->created = number + 1;
	return occurrence;
}

struct occurrence *plan_find_occurrence(const struct job *job, uint32_t number)
{
	return g_hash_table_lookup(job->occurrences_by_number, GUINT_TO_POINTER(number));
}

void plan_free_occurrence(struct occurrence *occurrence)
{
	struct job *job = occurrence->job;

	if (occurrence->prev)
		occurrence->prev->next = occurrence->next;
	else
		job->occurrences = occurrence->next;
	if (occurrence->next)
		occurrence->next->prev = occurrence->prev;
	else
		job->last_occurrence = occurrence->prev;
	g_hash_table_remove(job->occurrences_by_number, GUINT_TO_POINTER(occurrence->number));
	talloc_free(occurrence);
}

uint32_t plan_occurrence_count(const struct job *job)
{
	return job->spec->repeats > 0 ? job->spec->repeats : 1;
}

/* Number of occurrences that are due by now, made or not. */
static uint32_t count_due(const struct job *job, uint64_t now_ms)
{
	const struct jobspec *spec = job->spec;
	int64_t since_ms = (int64_t)now_ms + job->wall_offset_ms - (int64_t)spec->first_due_ms;
	uint64_t passed;

	if (spec->repeats == 0)
		return 1;
	if (since_ms < 0)
		return 0;
	if (spec->interval_ms == 0)
		return spec->repeats;
	passed = (uint64_t)since_ms / spec->interval_ms;
	return passed < spec->repeats ? (uint32_t)passed + 1 : spec->repeats;
}

static uint32_t count_waiting(const struct job *job, size_t step)
{
	uint32_t waiting = 0;

	for (const struct occurrence *o = job->occurrences; o && waiting < WAITING_MAX; o = o->next)
		waiting += o->steps[step].waiting > 0;
	return waiting;
}

/*
 * Number of occurrences that may be made before each step that depends on no other waits in
 * WAITING_MAX of them. A step that can't be placed does not hold back the others.
 */
static uint32_t count_missing(const struct job *job)
{
	uint32_t fewest = WAITING_MAX;

	for (size_t s = 0; s < job->spec->step_count; s++) {
		if (job->spec->steps[s].after_count == 0)
			fewest = MIN(fewest, count_waiting(job, s));
	}
	return WAITING_MAX - fewest;
}

static bool may_be_unfinished(const struct job *job, uint64_t occurrences)
{
	return occurrences <= UNFINISHED_MIN ||
	       (occurrences <= UNFINISHED_MAX &&
		occurrences * jobspec_task_count(job->spec) <= UNFINISHED_TASKS_MAX);
}

static void make_due_occurrences(struct plan *plan, struct job *job, uint64_t now_ms)
{
	uint32_t due = count_due(job, now_ms);
	uint32_t missing = job->created < due ? count_missing(job) : 0;
	uint64_t unfinished = g_hash_table_size(job->occurrences_by_number);

	while (job->created < due && missing > 0 && may_be_unfinished(job, unfinished + 1)) {
		plan_update_ready(plan_make_occurrence(plan, job, job->created), now_ms);
		missing--;
		unfinished++;
	}
	job->overdue = due > job->created ? due - job->created : 0;
}

void plan_make_due_occurrences(struct plan *plan, uint64_t now_ms)
{
	for (guint i = 0; i < plan->active->len; i++) {
		struct job *job = plan->active->pdata[i];

		if (!plan_job_ended(job))
			make_due_occurrences(plan, job, now_ms);
	}
}

void plan_update_ready(struct occurrence *occurrence, uint64_t now_ms)
{
	size_t count = occurrence->job->spec->step_count;

	for (size_t i = 0; i < count; i++) {
		struct step_run *step = &occurrence->steps[i];
		bool ready = true;

		for (size_t k = 0; k < step->spec->after_count; k++) {
			const struct step_run *before = &occurrence->steps[step->spec->after[k]];

			ready = ready && before->done == before->spec->count;
		}
		if (ready && !step->ready_ms)
			step->ready_ms = now_ms > 0 ? now_ms : 1;
	}
}
