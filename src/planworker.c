#include "plan_int.h"

#include <string.h>

#define NO_ROOM_BACKOFF_MS 200 /* the worker's own view catches up within a report */
#define UNHEALTHY_BACKOFF_MS 1000
/* Checkpoints are stored this often, so that a loss of all hosts costs no more work. */
#define CHECKPOINT_RECORD_MS 2000
#define SUSPECT_BASE_MS 3000 /* doubles each time, so a bad worker costs few attempts */
#define SUSPECT_DOUBLINGS_MAX 4
#define STREAK_TO_SUSPECT 2 /* failures of different jobs; one may be the job's own fault */

struct worker *plan_find_worker(const struct plan *plan, const char *node)
{
	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];

		if (!strcmp(worker->node, node))
			return worker;
	}
	return NULL;
}

static void use_room(struct worker *worker, const struct jobspec_step *spec, int sign)
{
	struct plan_room need = plan_need(spec);

	worker->used.cpu_milli += (uint32_t)sign * need.cpu_milli;
	worker->used.memory_mb += (uint32_t)sign * need.memory_mb;
	worker->used.accelerators += (uint32_t)sign * need.accelerators;
}

void plan_assign(struct task *task, struct worker *worker, uint64_t now_ms)
{
	if (task->state == TASK_WAITING)
		task->step->waiting--;
	task->told = TASK_WAITING;
	task->worker = worker;
	task->next_on_worker = worker->tasks;
	task->began_ms = now_ms;
	task->progress_ms = now_ms;
	task->percent = task->checkpoint ? task->saved_percent : 0;
	task->sample_ms = 0;
	task->speed = -1;
	task->slow_samples = 0;
	worker->tasks = task;
	use_room(worker, task->step->spec, 1);
}

void plan_release(struct task *task)
{
	struct worker *worker = task->worker;
	struct task **at;

	if (!worker)
		return;
	for (at = &worker->tasks; *at && *at != task; at = &(*at)->next_on_worker)
		;
	if (*at)
		*at = task->next_on_worker;
	use_room(worker, task->step->spec, -1);
	task->worker = NULL;
	task->next_on_worker = NULL;
}

void plan_stop_task(struct task *task, const char *why)
{
	if (task->state != TASK_STARTING && task->state != TASK_RUNNING)
		return;
	task->state = TASK_STOPPING;
	task->why = why;
	task->worker->changed = true;
}

void plan_stop_gang(struct task *task, const char *why)
{
	struct step_run *step = task->step;

	plan_stop_task(task, why);
	for (uint32_t i = 0; step->spec->gang && i < step->spec->count; i++)
		plan_stop_task(&step->tasks[i], why);
}

/* The run is over; the task waits for its next one. */
static void back_to_waiting(struct task *task)
{
	plan_release(task);
	task->state = TASK_WAITING;
	task->step->waiting++;
}

/* The other members of the run can't go on alone. */
static void stop_gang(struct task *task, uint32_t run)
{
	struct step_run *step = task->step;

	if (!step->spec->gang)
		return;
	for (uint32_t i = 0; i < step->spec->count; i++) {
		if (step->tasks[i].run == run)
			plan_stop_task(&step->tasks[i], "a member of its gang has ended");
	}
}

void plan_suspect(struct worker *worker, uint64_t now_ms)
{
	uint32_t doublings = worker->suspicions < SUSPECT_DOUBLINGS_MAX ? worker->suspicions
									: SUSPECT_DOUBLINGS_MAX;

	if (worker->suspect_until_ms > now_ms)
		return;
	worker->suspect_until_ms = now_ms + ((uint64_t)SUSPECT_BASE_MS << doublings);
	worker->suspicions++;
}

static void lose_runs(struct worker *worker)
{
	while (worker->tasks) {
		struct task *task = worker->tasks;

		stop_gang(task, task->run);
		back_to_waiting(task);
	}
	while (worker->strays) {
		struct stray *stray = worker->strays;

		worker->strays = stray->next;
		talloc_free(stray);
	}
}

static void set_text(struct worker *worker, char **field, const char *value)
{
	if (*field && !strcmp(*field, value))
		return;
	talloc_free(*field);
	*field = talloc_strdup(worker, value);
}

void plan_worker_update(struct plan *plan, const struct plan_worker_info *info, uint64_t now_ms)
{
	struct worker *worker = plan_find_worker(plan, info->node);

	if (!worker) {
		worker = talloc_zero(plan, struct worker);
		worker->node = talloc_strdup(worker, info->node);
		worker->incarnation = talloc_strdup(worker, "");
		g_ptr_array_add(plan->workers, worker);
	}
	if (strcmp(worker->incarnation, info->incarnation) != 0) {
		lose_runs(worker);
		worker->suspect_until_ms = 0;
		worker->slow_until_ms = 0;
		worker->suspicions = 0;
		worker->failure_streak = 0;
		worker->backoff_ms = 0;
	}
	set_text(worker, &worker->incarnation, info->incarnation);
	set_text(worker, &worker->id, info->id);
	set_text(worker, &worker->service, info->service);
	set_text(worker, &worker->zone, info->zone);
	set_text(worker, &worker->kind, info->kind);
	set_text(worker, &worker->rack, info->rack);
	worker->room = info->room;
	worker->present = true;
	worker->heard_ms = now_ms;
	worker->accepting = info->accepting;
}

void plan_worker_lost(struct plan *plan, const char *node, uint64_t now_ms)
{
	struct worker *worker = plan_find_worker(plan, node);

	if (!worker)
		return;
	lose_runs(worker);
	worker->present = false;
	worker->accepting = false;
}

static void keep_checkpoint(struct plan *plan, struct task *task, const struct plan_run *run,
			    uint64_t now_ms)
{
	struct step_run *step = task->step;
	struct job *job = plan_task_job(task);

	if (!*run->checkpoint || (task->checkpoint && !strcmp(task->checkpoint, run->checkpoint)))
		return;
	talloc_free(task->checkpoint);
	task->checkpoint = talloc_strdup(step->occurrence, run->checkpoint);
	task->saved_percent = run->percent;
	if (now_ms - job->checkpoint_ms < CHECKPOINT_RECORD_MS)
		return;
	job->checkpoint_ms = now_ms;
	plan_touch(plan, job);
}

static void add_stray(struct worker *worker, const struct plan_run *run)
{
	struct stray *stray;

	for (stray = worker->strays; stray; stray = stray->next) {
		if (stray->run == run->run && !strcmp(stray->task, run->task)) {
			stray->listed = true;
			return;
		}
	}
	stray = talloc_zero(worker, struct stray);
	stray->task = talloc_strdup(stray, run->task);
	stray->run = run->run;
	stray->listed = true;
	stray->next = worker->strays;
	worker->strays = stray;
	worker->changed = true;
}

static void drop_stray(struct worker *worker, const struct plan_run *run)
{
	for (struct stray **at = &worker->strays; *at; at = &(*at)->next) {
		struct stray *stray = *at;

		if (stray->run != run->run || strcmp(stray->task, run->task) != 0)
			continue;
		*at = stray->next;
		talloc_free(stray);
		return;
	}
}

/* A run that began under a former leader. */
static void adopt(struct plan *plan, struct task *task, struct worker *worker,
		  const struct plan_run *run, uint64_t now_ms)
{
	struct job *job = plan_task_job(task);

	plan_assign(task, worker, now_ms);
	task->state = TASK_RUNNING;
	task->run = run->run;
	task->listed = true;
	if (run->run >= job->next_run)
		job->next_run = run->run + 1;
	job->started = true;
	if (job->state == PLAN_JOB_QUEUED)
		job->state = PLAN_JOB_RUNNING;
	if (plan_job_ended(job))
		plan_stop_task(task, "its job has ended");
}

/*
 * A run of the former leader's time, or one that was given up too early: the latest of its
 * task. Members of a gang that run under different numbers can't work together.
 */
static bool adoptable(const struct task *task, uint32_t run)
{
	const struct step_run *step = task->step;

	if (task->state != TASK_WAITING || run <= task->ended_run)
		return false;
	if (run != task->run && !(plan_task_job(task)->inherited && run > task->run))
		return false;
	for (uint32_t i = 0; step->spec->gang && i < step->spec->count; i++) {
		if (step->tasks[i].worker && step->tasks[i].run != run)
			return false;
	}
	return true;
}

static void note_progress(struct task *task, const struct plan_run *run, uint64_t now_ms)
{
	if (task->state == TASK_STARTING) {
		task->state = TASK_RUNNING;
		task->began_ms = now_ms;
		task->progress_ms = now_ms;
	}
	if (run->percent != task->percent)
		task->progress_ms = now_ms;
	task->percent = run->percent;
	plan_sample_speed(task, now_ms);
}

void plan_worker_running(struct plan *plan, const char *node, const struct plan_run *run,
			 uint64_t list_ms)
{
	struct worker *worker = plan_find_worker(plan, node);
	struct task *task = plan_find_task(plan, run->task);

	if (!worker)
		return;
	if (task && task->worker == worker && task->run == run->run) {
		task->listed = true;
		note_progress(task, run, list_ms);
		keep_checkpoint(plan, task, run, list_ms);
		return;
	}
	if (task && adoptable(task, run->run)) {
		adopt(plan, task, worker, run, list_ms);
		note_progress(task, run, list_ms);
		keep_checkpoint(plan, task, run, list_ms);
		return;
	}
	add_stray(worker, run);
}

static void good_end(struct worker *worker)
{
	worker->failure_streak = 0;
	worker->suspicions = 0;
	worker->suspect_until_ms = 0;
	worker->last_failed_job = NULL;
}

static void bad_end(struct worker *worker, const struct job *job, uint64_t now_ms)
{
	if (worker->last_failed_job == job)
		return;
	worker->last_failed_job = job;
	worker->failure_streak++;
	if (worker->failure_streak >= STREAK_TO_SUSPECT)
		plan_suspect(worker, now_ms);
}

static void end_current_run(struct plan *plan, struct worker *worker, struct task *task,
			    const struct plan_run *run, enum plan_end how, uint64_t now_ms)
{
	struct job *job = plan_task_job(task);

	keep_checkpoint(plan, task, run, now_ms);
	task->ended_run = run->run;
	if (how == PLAN_END_DONE) {
		good_end(worker);
		plan_task_done(plan, task, now_ms);
		return;
	}
	stop_gang(task, run->run);
	back_to_waiting(task);
	if (how != PLAN_END_FAILED)
		return;
	task->avoid = worker;
	bad_end(worker, job, now_ms);
	plan_task_failed(plan, task, run->run, now_ms);
}

/*
 * An end of a run that the plan does not count on: from the time of a former leader, or of a
 * worker that was given up. If no later run has begun, the end holds. A failure counts as an
 * attempt in any case.
 */
static void end_other_run(struct plan *plan, struct task *task, const struct plan_run *run,
			  enum plan_end how, uint64_t now_ms)
{
	struct job *job = plan_task_job(task);
	bool latest = task->state == TASK_WAITING && run->run > task->ended_run &&
		      (run->run == task->run || (job->inherited && run->run > task->run));

	if (how == PLAN_END_FAILED)
		plan_task_failed(plan, task, run->run, now_ms);
	if (!latest || plan_job_ended(job))
		return;
	task->run = run->run;
	task->ended_run = run->run;
	if (run->run >= job->next_run)
		job->next_run = run->run + 1;
	keep_checkpoint(plan, task, run, now_ms);
	if (how == PLAN_END_DONE)
		plan_task_done(plan, task, now_ms);
}

void plan_worker_ended(struct plan *plan, const char *node, const struct plan_run *run,
		       enum plan_end how, uint64_t now_ms)
{
	struct worker *worker = plan_find_worker(plan, node);
	struct task *task = plan_find_task(plan, run->task);

	if (!worker)
		return;
	drop_stray(worker, run);
	if (!task || task->state == TASK_DONE)
		return;
	if (task->worker == worker && task->run == run->run)
		end_current_run(plan, worker, task, run, how, now_ms);
	else
		end_other_run(plan, task, run, how, now_ms);
}

void plan_worker_refused(struct plan *plan, const char *node, const struct plan_run *run,
			 enum plan_refusal why, uint64_t now_ms)
{
	struct worker *worker = plan_find_worker(plan, node);
	struct task *task = plan_find_task(plan, run->task);

	if (!worker)
		return;
	drop_stray(worker, run);
	if (!task || task->worker != worker || task->run != run->run)
		return;
	task->ended_run = run->run;
	stop_gang(task, run->run);
	back_to_waiting(task);
	if (why == PLAN_REFUSED_NO_ROOM)
		worker->backoff_ms = now_ms + NO_ROOM_BACKOFF_MS;
	else if (why == PLAN_REFUSED_NO_TICKET)
		plan_drop_ticket(worker, task->step);
	else if (why != PLAN_REFUSED_STALE)
		worker->backoff_ms = now_ms + UNHEALTHY_BACKOFF_MS;
}

void plan_worker_listed(struct plan *plan, const char *node, uint64_t list_ms)
{
	struct worker *worker = plan_find_worker(plan, node);
	struct task *task;
	struct task *next;

	if (!worker)
		return;
	worker->listed_ms = list_ms;
	for (task = worker->tasks; task; task = next) {
		bool gone = !task->listed && task->state == TASK_RUNNING;

		next = task->next_on_worker;
		task->listed = false;
		if (!gone)
			continue;
		stop_gang(task, task->run);
		back_to_waiting(task);
	}
	for (struct stray *stray = worker->strays; stray; stray = stray->next)
		stray->listed = false;
}

size_t plan_orders(struct plan *plan, TALLOC_CTX *mem, const char *node, struct plan_order **out)
{
	const struct worker *worker = plan_find_worker(plan, node);
	size_t count = 0;
	size_t i = 0;

	*out = NULL;
	if (!worker)
		return 0;
	for (const struct task *t = worker->tasks; t; t = t->next_on_worker)
		count += t->state != TASK_RUNNING;
	for (const struct stray *s = worker->strays; s; s = s->next)
		count++;
	*out = talloc_zero_array(mem, struct plan_order, count + 1);
	for (struct task *t = worker->tasks; t; t = t->next_on_worker) {
		if (t->state == TASK_RUNNING)
			continue;
		(*out)[i++] = (struct plan_order){
			.start = t->state == TASK_STARTING,
			.fresh = t->told != t->state,
			.task = t->name,
			.run = t->run,
			.payload = plan_task_job(t)->spec->payload,
			.checkpoint = t->checkpoint ? t->checkpoint : "",
			.ticket = plan_ticket(worker, t->step),
			.why = t->why ? t->why : "",
			.waited_ms = t->waited_ms,
		};
		t->told = t->state;
	}
	for (struct stray *s = worker->strays; s; s = s->next) {
		(*out)[i++] = (struct plan_order){.fresh = !s->told,
						  .task = s->task,
						  .run = s->run,
						  .why = "no task counts on it"};
		s->told = true;
	}
	return count;
}
