#include "plan_int.h"

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

static json_t *write_runs(const struct run_set *set)
{
	json_t *runs = json_array();

	for (uint32_t i = 0; i < set->count; i++)
		json_array_append_new(runs, json_integer(set->runs[i]));
	return runs;
}

static void read_runs(struct run_set *set, const json_t *runs)
{
	const json_t *run;
	size_t i;

	json_array_foreach(runs, i, run) plan_run_set_add(set, (uint32_t)json_integer_value(run));
}

/*
 * Writes [index, done, failed runs, ended run, checkpoint, percent] for each task that is done,
 * has failed or has a checkpoint.
 */
static json_t *write_tasks(const struct step_run *step)
{
	json_t *rows = json_array();

	for (uint32_t i = 0; i < step->spec->count; i++) {
		const struct task *task = &step->tasks[i];
		bool done = task->state == TASK_DONE || task->done_before;

		if (!done && task->failures.count == 0 && !task->checkpoint)
			continue;
		json_array_append_new(rows,
				      json_pack("[i, b, o, i, s, i]", (int)i, done,
						write_runs(&task->failures), (int)task->ended_run,
						task->checkpoint ? task->checkpoint : "",
						(int)task->saved_percent));
	}
	return rows;
}

static json_t *write_occurrence(const struct occurrence *occurrence)
{
	json_t *steps = json_array();

	for (size_t i = 0; i < occurrence->job->spec->step_count; i++) {
		const struct step_run *step = &occurrence->steps[i];

		json_array_append_new(steps, json_pack("{s:o, s:o}", "gang_failures",
						       write_runs(&step->gang_failures), "tasks",
						       write_tasks(step)));
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
	int index;
	int done;
	json_t *failures;
	int run;
	const char *checkpoint;
	int percent;
	struct task *task;

	if (json_unpack((json_t *)row, "[i, b, o, i, s, i]", &index, &done, &failures, &run,
			&checkpoint, &percent) ||
	    index < 0 || (uint32_t)index >= step->spec->count || run < 0)
		return -ERR_INVALID;
	task = &step->tasks[index];
	read_runs(&task->failures, failures);
	task->run = (uint32_t)run;
	task->ended_run = (uint32_t)run;
	if (*checkpoint)
		task->checkpoint = talloc_strdup(step->occurrence, checkpoint);
	task->saved_percent = (uint32_t)percent;
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

	read_runs(&step->gang_failures, json_object_get(json, "gang_failures"));
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
	json_int_t number = json_integer_value(json_object_get(json, "number"));
	struct occurrence *occurrence;

	if (json_array_size(steps) != job->spec->step_count || number < 0)
		return -ERR_INVALID;
	occurrence = plan_make_occurrence(plan, job, (uint32_t)number);
	for (size_t i = 0; i < job->spec->step_count; i++) {
		if (read_step(&occurrence->steps[i], json_array_get(steps, i)))
			return -ERR_INVALID;
	}
	plan_update_ready(occurrence, job->accepted_ms);
	return 0;
}

int plan_job_restore(struct plan *plan, const char *id, const json_t *record)
{
	struct job *job = plan_find_job(plan, id);
	const json_t *occurrence;
	const char *state;
	size_t i;

	if (!job)
		return -ERR_NOT_FOUND;
	state = json_string_value(json_object_get(record, "state"));
	if (!state || !plan_job_state_parse(state, &job->state))
		return -ERR_INVALID;
	if (plan_job_ended(job))
		return 0;
	job->started = json_is_true(json_object_get(record, "started"));
	job->created = (uint32_t)json_integer_value(json_object_get(record, "created"));
	job->finished = (uint32_t)json_integer_value(json_object_get(record, "finished"));
	job->next_run = (uint32_t)json_integer_value(json_object_get(record, "next_run"));
	if (job->next_run < 1)
		job->next_run = 1;
	json_array_foreach(json_object_get(record, "occurrences"), i, occurrence)
	{
		if (!read_occurrence(plan, job, occurrence))
			continue;
		while (job->occurrences)
			plan_free_occurrence(job->occurrences);
		job->created = 0;
		job->finished = 0;
		job->state = PLAN_JOB_QUEUED;
		return -ERR_INVALID;
	}
	return 0;
}
