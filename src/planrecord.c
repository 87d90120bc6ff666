#include "plan_int.h"

#include "jsonread.h"

#include <string.h>

/*
 * The record of a job holds what must survive a loss of all hosts: which tasks are done, which
 * runs failed, the run numbers and the latest checkpoints.
 */

static const char *const state_texts[] = {
	[PLAN_JOB_QUEUED] = "queued",	    [PLAN_JOB_RUNNING] = "running",
	[PLAN_JOB_COMPLETED] = "completed", [PLAN_JOB_FAILED] = "failed",
	[PLAN_JOB_CANCELLED] = "cancelled",
};

const char *plan_job_state_name(enum plan_job_state state)
{
	return state_texts[state];
}

bool plan_job_state_parse(const char *text, enum plan_job_state *state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(state_texts); i++) {
		if (strcmp(text, state_texts[i]) != 0)
			continue;
		*state = (enum plan_job_state)i;
		return true;
	}
	return false;
}

/*
 * Writes [index, done, failed runs, ended run, checkpoint, percent] for each task that is done,
 * has failed or has a checkpoint; the ranges of the failed runs follow where they are needed.
 */
static json_t *write_tasks(const struct step_run *step)
{
	json_t *rows = json_array();

	for (uint32_t i = 0; i < step->spec->count; i++) {
		const struct task *task = &step->tasks[i];
		bool done = task->state == TASK_DONE || task->done_before;
		json_t *ranges;
		json_t *row;

		if (!done && task->failures.count == 0 && !task->checkpoint)
			continue;
		row = json_pack("[i, b, o, i, s, i]", (int)i, done,
				plan_run_set_write(&task->failures, &ranges), (int)task->ended_run,
				task->checkpoint ? task->checkpoint : "", (int)task->saved_percent);
		if (ranges)
			json_array_append_new(row, ranges);
		json_array_append_new(rows, row);
	}
	return rows;
}

static json_t *write_occurrence(const struct occurrence *occurrence)
{
	json_t *steps = json_array();

	for (size_t i = 0; i < occurrence->job->spec->step_count; i++) {
		const struct step_run *step = &occurrence->steps[i];
		json_t *ranges;
		json_t *json = json_pack("{s:o, s:o}", "gang_failures",
					 plan_run_set_write(&step->gang_failures, &ranges), "tasks",
					 write_tasks(step));

		if (ranges)
			json_object_set_new(json, "gang_failure_ranges", ranges);
		json_array_append_new(steps, json);
	}
	return json_pack("{s:i, s:o}", "number", (int)occurrence->number, "steps", steps);
}

json_t *plan_job_record(const struct plan *plan, const char *id)
{
	const struct job *job = plan_find_job(plan, id);
	json_t *occurrences;

	if (!job)
		return NULL;
	if (plan_job_ended(job))
		return json_pack("{s:s}", "state", plan_job_state_name(job->state));
	occurrences = json_array();
	for (const struct occurrence *o = job->occurrences; o; o = o->next)
		json_array_append_new(occurrences, write_occurrence(o));
	return json_pack("{s:s, s:b, s:i, s:i, s:i, s:o}", "state", plan_job_state_name(job->state),
			 "started", job->started, "created", (int)job->created, "finished",
			 (int)job->finished, "next_run", (int)job->next_run, "occurrences",
			 occurrences);
}

static int read_task(struct step_run *step, const json_t *row)
{
	uint32_t index;
	uint32_t run;
	uint32_t percent;
	bool done = json_is_true(json_array_get(row, 1));
	const char *checkpoint = json_string_value(json_array_get(row, 4));
	struct task *task;

	if (!jsonread_u32(json_array_get(row, 0), step->spec->count - 1, &index) ||
	    !json_is_boolean(json_array_get(row, 1)) ||
	    !jsonread_u32(json_array_get(row, 3), PLAN_RUN_MAX, &run) || !checkpoint ||
	    !jsonread_u32(json_array_get(row, 5), UINT32_MAX, &percent))
		return -ERR_INVALID;
	task = &step->tasks[index];
	if (plan_run_set_read(step->occurrence, &task->failures, json_array_get(row, 2),
			      json_array_get(row, 6)))
		return -ERR_INVALID;
	task->run = run;
	task->ended_run = run;
	if (*checkpoint)
		task->checkpoint = talloc_strdup(step->occurrence, checkpoint);
	task->saved_percent = MIN(percent, PLAN_PERCENT_MAX);
	if (!done || task->state == TASK_DONE)
		return 0;
	task->state = TASK_DONE;
	step->waiting--;
	step->done++;
	return 0;
}

static int read_step(struct step_run *step, const json_t *json)
{
	const json_t *row;
	const json_t *rows = json_object_get(json, "tasks");
	size_t i;

	if (plan_run_set_read(step->occurrence, &step->gang_failures,
			      json_object_get(json, "gang_failures"),
			      json_object_get(json, "gang_failure_ranges")))
		return -ERR_INVALID;
	json_array_foreach(rows, i, row)
	{
		if (read_task(step, row))
			return -ERR_INVALID;
	}
	if (step->done == step->spec->count)
		step->occurrence->steps_left--;
	return 0;
}

static int read_occurrence(struct plan *plan, struct job *job, const json_t *json)
{
	const json_t *steps = json_object_get(json, "steps");
	uint32_t number;
	struct occurrence *occurrence;

	if (json_array_size(steps) != job->spec->step_count || job->created == 0 ||
	    !jsonread_u32(json_object_get(json, "number"), job->created - 1, &number))
		return -ERR_INVALID;
	if (plan_find_occurrence(job, number))
		return -ERR_INVALID;
	occurrence = plan_make_occurrence(plan, job, number);
	for (size_t i = 0; i < job->spec->step_count; i++) {
		if (read_step(&occurrence->steps[i], json_array_get(steps, i)))
			return -ERR_INVALID;
	}
	plan_update_ready(occurrence, job->accepted_ms);
	return 0;
}

/* Reads the counters of a job that has not ended. */
static int read_counters(struct job *job, const json_t *record)
{
	uint32_t count = job->spec->repeats > 0 ? job->spec->repeats : 1;

	if (!jsonread_u32(json_object_get(record, "created"), count, &job->created) ||
	    !jsonread_u32(json_object_get(record, "finished"), job->created, &job->finished) ||
	    !jsonread_u32(json_object_get(record, "next_run"), PLAN_RUN_MAX + 1, &job->next_run) ||
	    job->finished == count)
		return -ERR_INVALID;
	return 0;
}

static int read_job(struct plan *plan, struct job *job, const json_t *record)
{
	const json_t *occurrence;
	size_t i;

	if (read_counters(job, record))
		return -ERR_INVALID;
	json_array_foreach(json_object_get(record, "occurrences"), i, occurrence)
	{
		if (read_occurrence(plan, job, occurrence))
			return -ERR_INVALID;
	}
	return 0;
}

/* All tasks of an occurrence may be recorded as done while a run of one was still to be stopped. */
static void finish_ended_occurrences(struct plan *plan, struct job *job)
{
	struct occurrence *next;

	for (struct occurrence *occurrence = job->occurrences; occurrence; occurrence = next) {
		next = occurrence->next;
		if (occurrence->steps_left == 0)
			plan_finish_occurrence(plan, occurrence);
	}
}

int plan_job_restore(struct plan *plan, const char *id, const json_t *record)
{
	struct job *job = plan_find_job(plan, id);
	const char *state;

	if (!job)
		return -ERR_NOT_FOUND;
	state = json_string_value(json_object_get(record, "state"));
	if (!state || !plan_job_state_parse(state, &job->state))
		return -ERR_INVALID;
	if (plan_job_ended(job))
		return 0;
	job->started = json_is_true(json_object_get(record, "started"));
	if (read_job(plan, job, record) == 0) {
		job->next_run = MAX(job->next_run, 1);
		finish_ended_occurrences(plan, job);
		return 0;
	}
	while (job->occurrences)
		plan_free_occurrence(job->occurrences);
	job->created = 0;
	job->finished = 0;
	job->next_run = 1;
	job->state = PLAN_JOB_QUEUED;
	return -ERR_INVALID;
}
