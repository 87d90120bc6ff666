#include "plan_int.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * Tasks that the name of a run may create ahead of their due time, some 40 MB; far more than the
 * clocks of hosts can differ.
 */
#define TASKS_AHEAD_MAX 100000
#define RETRY_AFTER_FAILURE_MS 50 /* so that further failures on the worker are reported first */

static int plan_destructor(struct plan *plan)
{
	g_clear_pointer(&plan->closed_zones, g_hash_table_destroy);
	return 0;
}

struct plan *plan_create(TALLOC_CTX *mem, const struct plan_params *params)
{
	struct plan *plan = talloc_zero(mem, struct plan);

	plan->params = *params;
	plan->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	plan->active = g_ptr_array_new();
	plan->workers = g_ptr_array_new();
	g_queue_init(&plan->dirty);
	plan->demand = plan_demand_create(plan, params->stop_ms);
	plan->shares = plan_shares_create(plan);
	talloc_set_destructor(plan, plan_destructor);
	return plan;
}

static void keep_queue(struct job *job, const struct fleetconf_queue *queue)
{
	struct fleetconf_queue *former = job->last_queue;

	job->last_queue = queue ? fleetconf_copy_queue(job, queue) : NULL;
	talloc_free(former);
}

/*
 * A queue that callers reach as before and that has the same workers is the same one. A job whose
 * queue was removed goes on as before, because it was accepted.
 */
static void lookup_job_queue(const struct plan *plan, struct job *job)
{
	const struct fleetconf_queue *last = job->last_queue;
	const struct fleetconf_queue *queue;

	/* The present configuration may say otherwise than the last one that is known. */
	job->queue = NULL;
	if (!plan->conf)
		return;
	queue = fleetconf_queue(plan->conf, job->queue_name);
	if (!queue && last)
		queue = fleetconf_renamed_queue(plan->conf, last->host, last->prefix,
						last->service);
	if (queue)
		keep_queue(job, queue);
	job->queue = queue ? queue : job->last_queue;
}

void plan_configure(struct plan *plan, const struct fleetconf *conf)
{
	GHashTableIter iter;
	gpointer value;

	plan->conf = conf;
	g_hash_table_iter_init(&iter, plan->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		lookup_job_queue(plan, value);
}

struct job *plan_find_job(const struct plan *plan, const char *id)
{
	return g_hash_table_lookup(plan->jobs, id);
}

struct job *plan_task_job(const struct task *task)
{
	return task->step->occurrence->job;
}

bool plan_job_ended(const struct job *job)
{
	return job->state >= PLAN_JOB_COMPLETED;
}

void plan_job_assigned(struct job *job)
{
	if (job->state == PLAN_JOB_QUEUED)
		job->state = PLAN_JOB_RUNNING;
}

static bool has_assigned_task(const struct job *job)
{
	for (const struct occurrence *o = job->occurrences; o; o = o->next) {
		for (size_t s = 0; s < job->spec->step_count; s++) {
			const struct step_run *step = &o->steps[s];

			if (step->waiting + step->done < step->spec->count)
				return true;
		}
	}
	return false;
}

void plan_job_unassigned(struct job *job)
{
	if (job->state == PLAN_JOB_RUNNING && !job->started && !has_assigned_task(job))
		job->state = PLAN_JOB_QUEUED;
}

void plan_mark_job_dirty(struct plan *plan, struct job *job)
{
	job->dirty = true;
	if (job->queued_dirty)
		return;
	job->queued_dirty = true;
	g_queue_push_tail(&plan->dirty, job);
}

const char *plan_take_dirty(struct plan *plan)
{
	struct job *job = g_queue_pop_head(&plan->dirty);

	if (!job)
		return NULL;
	job->queued_dirty = false;
	job->dirty = false;
	return job->id;
}

void plan_mark_dirty(struct plan *plan, const char *id)
{
	struct job *job = plan_find_job(plan, id);

	if (job)
		plan_mark_job_dirty(plan, job);
}

static int job_destructor(struct job *job)
{
	g_hash_table_destroy(job->occurrences_by_number);
	return 0;
}

void plan_job_add(struct plan *plan, const struct plan_job_info *info)
{
	struct job *job;

	if (plan_find_job(plan, info->id)) {
		talloc_free(info->spec);
		return;
	}
	job = talloc_zero(plan, struct job);
	job->id = talloc_strdup(job, info->id);
	job->queue_name = talloc_strdup(job, info->queue);
	keep_queue(job, info->last_queue);
	job->organisation = talloc_strdup(job, info->organisation);
	job->spec = talloc_steal(job, info->spec);
	job->accepted_ms = info->accepted_ms;
	job->wall_offset_ms = info->wall_offset_ms;
	job->inherited = info->inherited && !plan->recovered;
	job->held = info->held;
	plan->has_held = plan->has_held || info->held;
	job->next_run = 1;
	job->occurrences_by_number = g_hash_table_new(g_direct_hash, g_direct_equal);
	talloc_set_destructor(job, job_destructor);
	lookup_job_queue(plan, job);
	g_hash_table_insert(plan->jobs, job->id, job);
	g_ptr_array_add(plan->active, job);
}

bool plan_job_known(const struct plan *plan, const char *id, enum plan_job_state *state)
{
	const struct job *job = plan_find_job(plan, id);

	if (job)
		*state = job->state;
	return job != NULL;
}

/*
 * A job that the former leader had assigned is in state running, without tasks, until the workers
 * have reported.
 */
static bool is_pending(const struct job *job)
{
	if (job->started)
		return false;
	return job->state == PLAN_JOB_QUEUED ||
	       (job->state == PLAN_JOB_RUNNING && has_assigned_task(job));
}

uint32_t plan_count_pending(const struct plan *plan, const char *queue)
{
	uint32_t count = 0;

	for (guint i = 0; i < plan->active->len; i++) {
		const struct job *job = plan->active->pdata[i];
		const char *name = job->queue ? job->queue->name : job->queue_name;

		if (is_pending(job) && !strcmp(name, queue))
			count++;
	}
	return count;
}

static void stop_all_tasks(struct job *job)
{
	for (struct occurrence *occurrence = job->occurrences; occurrence;
	     occurrence = occurrence->next) {
		for (size_t s = 0; s < job->spec->step_count; s++) {
			for (uint32_t i = 0; i < occurrence->steps[s].spec->count; i++)
				plan_stop_task(&occurrence->steps[s].tasks[i], "its job has ended");
		}
	}
}

void plan_job_end(struct plan *plan, struct job *job, enum plan_job_state state)
{
	if (plan_job_ended(job))
		return;
	job->state = state;
	stop_all_tasks(job);
	plan_mark_job_dirty(plan, job);
}

void plan_job_cancel(struct plan *plan, const char *id)
{
	struct job *job = plan_find_job(plan, id);

	if (job)
		plan_job_end(plan, job, PLAN_JOB_CANCELLED);
}

static bool has_assigned_tasks(const struct job *job)
{
	for (const struct occurrence *occurrence = job->occurrences; occurrence;
	     occurrence = occurrence->next) {
		for (size_t s = 0; s < job->spec->step_count; s++) {
			for (uint32_t i = 0; i < occurrence->steps[s].spec->count; i++) {
				if (occurrence->steps[s].tasks[i].worker)
					return true;
			}
		}
	}
	return false;
}

bool plan_job_remove(struct plan *plan, const char *id)
{
	struct job *job = plan_find_job(plan, id);

	if (!job || !plan_job_ended(job) || has_assigned_tasks(job))
		return false;
	if (job->queued_dirty)
		g_queue_remove(&plan->dirty, job);
	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];

		if (worker->last_failed_job == job)
			worker->last_failed_job = NULL;
	}
	g_hash_table_remove(plan->jobs, job->id);
	g_ptr_array_remove(plan->active, job);
	talloc_free(job);
	return true;
}

struct task *plan_find_task(struct plan *plan, const char *name)
{
	char id[TASK_NAME_MAX];
	unsigned int occurrence_number;
	unsigned int step;
	unsigned int index;
	char rest;
	char text[2 * TASK_NAME_MAX];
	struct occurrence *occurrence;
	struct job *job;

	if (sscanf(name, "%63[^.].%u.%u.%u%c", id, &occurrence_number, &step, &index, &rest) != 4)
		return NULL;
	/* Numbers with a sign, and those that overflow, are also read, but name no task. */
	snprintf(text, sizeof(text), "%s.%u.%u.%u", id, occurrence_number, step, index);
	job = strcmp(text, name) == 0 ? plan_find_job(plan, id) : NULL;
	if (!job || step >= job->spec->step_count || index >= job->spec->steps[step].count ||
	    occurrence_number >= plan_occurrence_count(job) ||
	    (occurrence_number > job->created &&
	     (uint64_t)(occurrence_number - job->created) * jobspec_task_count(job->spec) >
		     TASKS_AHEAD_MAX))
		return NULL;
	/* The former leader's clock may have been ahead of ours when it created this occurrence. */
	while (job->inherited && !plan_job_ended(job) && job->created <= occurrence_number)
		plan_update_ready(plan_make_occurrence(plan, job, job->created), job->accepted_ms);
	occurrence = plan_find_occurrence(job, occurrence_number);
	return occurrence ? &occurrence->steps[step].tasks[index] : NULL;
}

void plan_finish_occurrence(struct plan *plan, struct occurrence *occurrence)
{
	struct job *job = occurrence->job;

	job->finished++;
	plan_free_occurrence(occurrence);
	if (job->finished == plan_occurrence_count(job))
		plan_job_end(plan, job, PLAN_JOB_COMPLETED);
}

static void mark_task_done(struct step_run *step, struct task *task)
{
	if (task->state == TASK_DONE)
		return;
	if (task->state == TASK_WAITING)
		step->waiting--;
	else
		plan_unassign_task(task);
	task->state = TASK_DONE;
	TALLOC_FREE(task->checkpoint);
	step->done++;
}

void plan_task_done(struct plan *plan, struct task *task, uint64_t now_ms)
{
	struct step_run *step = task->step;
	struct occurrence *occurrence = step->occurrence;
	struct job *job = occurrence->job;
	uint32_t done_before = step->done;

	mark_task_done(step, task);
	/* The members of a gang end together: if one is done, all are. */
	for (uint32_t i = 0; step->spec->gang && i < step->spec->count; i++)
		mark_task_done(step, &step->tasks[i]);
	if (step->done == done_before)
		return;
	plan_mark_job_dirty(plan, job);
	if (step->done < step->spec->count)
		return;
	occurrence->steps_left--;
	plan_update_ready(occurrence, now_ms);
	if (occurrence->steps_left == 0)
		plan_finish_occurrence(plan, occurrence);
}

/* A gang is ended as a whole, so all its members must have ended their current runs. */
static bool is_done_before(const struct step_run *step, const struct task *task)
{
	return task->done_before && task->state == TASK_WAITING &&
	       (!step->spec->gang || step->waiting == step->spec->count);
}

static struct task *find_task_done_before(const struct plan *plan)
{
	for (guint i = 0; i < plan->active->len; i++) {
		const struct job *job = plan->active->pdata[i];

		for (const struct occurrence *o = job->occurrences; o; o = o->next) {
			for (size_t s = 0; s < job->spec->step_count; s++) {
				const struct step_run *step = &o->steps[s];

				for (uint32_t k = 0; k < step->spec->count; k++) {
					if (is_done_before(step, &step->tasks[k]))
						return &step->tasks[k];
				}
			}
		}
	}
	return NULL;
}

void plan_end_tasks_done_before(struct plan *plan, uint64_t now_ms)
{
	struct task *task;

	if (!plan->has_done_before)
		return;
	/* Ending a task may free its occurrence, so the search begins anew each time. */
	while ((task = find_task_done_before(plan)))
		plan_task_done(plan, task, now_ms);
}

/* Several members of a gang may fail in the same run; that counts as one failure. */
static struct run_set *task_failures(struct task *task)
{
	return task->step->spec->gang ? &task->step->gang_failures : &task->failures;
}

bool plan_attempts_used_up(struct task *task)
{
	const struct fleetconf_queue *queue = plan_task_job(task)->queue;

	return !task->step->spec->long_running && queue &&
	       task_failures(task)->count >= queue->max_attempts;
}

void plan_task_failed(struct plan *plan, struct task *task, uint32_t run, uint64_t now_ms)
{
	struct job *job = plan_task_job(task);
	uint32_t previous = run == task->own_run ? task->previous_own_run : 0;

	if (!plan_run_set_add(task->step->occurrence, task_failures(task), run, previous))
		return;
	task->retry_after_ms = now_ms + RETRY_AFTER_FAILURE_MS;
	plan_mark_job_dirty(plan, job);
	if (plan_attempts_used_up(task))
		plan_job_end(plan, job, PLAN_JOB_FAILED);
}

/* Stops a gang of which some members are at work and the others are not. */
static void stop_incomplete_gang(struct step_run *step)
{
	uint32_t assigned = 0;

	for (uint32_t i = 0; i < step->spec->count; i++)
		assigned += step->tasks[i].worker != NULL;
	if (step->spec->gang && assigned > 0 && assigned < step->spec->count)
		plan_stop_gang(&step->tasks[0], "the other members of its gang are not at work");
}

void plan_recovery_done(struct plan *plan)
{
	plan->recovered = true;
	for (guint i = 0; i < plan->active->len; i++) {
		struct job *job = plan->active->pdata[i];

		for (struct occurrence *o = job->inherited ? job->occurrences : NULL; o;
		     o = o->next) {
			for (size_t s = 0; s < job->spec->step_count; s++)
				stop_incomplete_gang(&o->steps[s]);
		}
		job->inherited = false;
		plan_job_unassigned(job);
	}
}

void plan_release_held(struct plan *plan)
{
	if (!plan->has_held)
		return;
	plan->has_held = false;
	for (guint i = 0; i < plan->active->len; i++)
		((struct job *)plan->active->pdata[i])->held = false;
}

void plan_set_min_run(struct plan *plan, uint32_t run)
{
	plan->min_run = run;
}

/* One sentence for each step that waits. */
static char *explain_waits(const struct plan *plan, const struct job *job, TALLOC_CTX *mem)
{
	char *text = talloc_strdup(mem, "");

	for (const struct occurrence *o = job->occurrences; o && !plan_job_ended(job);
	     o = o->next) {
		for (size_t s = 0; s < job->spec->step_count; s++) {
			const struct step_run *step = &o->steps[s];

			if (!step->ready_ms || step->waiting == 0 ||
			    step->wait.reason == PLAN_WAIT_NONE)
				continue;
			text = talloc_asprintf_append(
				text, "; step %u.%u: %s", o->number, step->number,
				plan_describe_wait(step, text, step->wait.checked_ms));
		}
	}
	return text;
}

static uint32_t count_on_suspected(const struct job *job)
{
	uint32_t count = 0;

	for (const struct occurrence *occurrence = job->occurrences; occurrence;
	     occurrence = occurrence->next) {
		for (size_t s = 0; s < job->spec->step_count; s++) {
			const struct step_run *step = &occurrence->steps[s];

			for (uint32_t i = 0; i < step->spec->count; i++)
				count += step->tasks[i].worker && step->tasks[i].worker->suspected;
		}
	}
	return count;
}

/* Why others come first; "" if they don't. */
static char *explain_share(const struct plan *plan, const struct job *job, TALLOC_CTX *mem)
{
	double excess = plan_share_excess(plan, job->organisation);

	if (plan_job_ended(job) || job->guaranteed || excess == 0)
		return talloc_strdup(mem, "");
	return talloc_asprintf(mem,
			       ", its organisation uses %.0f%% more than its fair share, so others "
			       "of the same priority come first",
			       100 * excess);
}

static const char *describe_queue(const struct job *job)
{
	if (!job->queue)
		return ", its queue is not in the configuration";
	return job->queue == job->last_queue ? ", its queue was removed from the configuration, so "
					       "it goes on by the last "
					       "settings of that"
					     : "";
}

char *plan_explain_job(const struct plan *plan, TALLOC_CTX *mem, const char *id)
{
	const struct job *job = plan_find_job(plan, id);
	uint32_t counts[TASK_DONE + 1] = {0};
	uint32_t failures = 0;
	uint32_t leaving;
	uint32_t suspected;
	bool advice_pending = false;

	if (!job)
		return talloc_strdup(mem, "unknown to the leader");
	for (const struct occurrence *occurrence = job->occurrences; occurrence;
	     occurrence = occurrence->next) {
		for (size_t s = 0; s < job->spec->step_count; s++) {
			for (uint32_t i = 0; i < occurrence->steps[s].spec->count; i++) {
				counts[occurrence->steps[s].tasks[i].state]++;
				failures += occurrence->steps[s].tasks[i].failures.count;
			}
			failures += occurrence->steps[s].gang_failures.count;
			advice_pending = advice_pending || occurrence->steps[s].advice_pending;
		}
	}
	leaving = plan_count_leaving(job);
	suspected = count_on_suspected(job);
	return talloc_asprintf(
		mem,
		"%s: tasks: %u waiting, %u starting, %u running, %u stopping, %u done; failed "
		"runs: %u%s%s%s%s%s%s%s%s%s%s",
		plan_job_state_name(job->state), counts[TASK_WAITING], counts[TASK_STARTING],
		counts[TASK_RUNNING], counts[TASK_STOPPING], counts[TASK_DONE], failures,
		job->inherited ? ", waiting for reports of workers that the former leader used"
			       : "",
		job->held ? ", waiting for the store to confirm the leader" : "",
		advice_pending ? ", waiting for advice on workers" : "", describe_queue(job),
		job->overdue && !plan_job_ended(job)
			? talloc_asprintf(
				  mem, ", occurrences that are due and wait for earlier ones: %u",
				  job->overdue)
			: "",
		leaving ? talloc_asprintf(mem, ", tasks on workers that leave soon: %u", leaving)
			: "",
		suspected ? talloc_asprintf(mem, ", tasks on suspected workers: %u", suspected)
			  : "",
		plan_explain_evictions(job, mem), explain_share(plan, job, mem),
		explain_waits(plan, job, mem));
}
