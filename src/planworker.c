#include "plan_int.h"

#include <string.h>

#define NO_ROOM_BACKOFF_MS 200 /* the next report of the worker shows its real room */
#define UNHEALTHY_BACKOFF_MS 1000
/* Shortest time between stored checkpoints of a job; a loss of all hosts costs no more work. */
#define CHECKPOINT_RECORD_INTERVAL_MS 2000
#define SUSPECT_BASE_MS 3000 /* doubles each time, so that a faulty worker uses up few attempts */
#define SUSPECT_DOUBLINGS_MAX 4
/* Waits before a lasting task that has ended starts again: 50 ms to 3.2 s. */
#define LASTING_RETRY_MS ((uint64_t)50)
#define LASTING_DOUBLINGS_MAX 6
#define LASTING_SOUND_MS 10000 /* a run of this length ends the doubling */
/*
 * Tasks of a step may differ by more, see SLOW_FACTOR in planslow.c. A wrong suspicion decays
 * within seconds and stops nothing.
 */
#define SLOW_END_FACTOR 5
/* Failures of different jobs; a single failure may be the job's own fault. */
#define SUSPECT_FAILURE_STREAK 2

struct worker *plan_find_worker(const struct plan *plan, const char *node)
{
	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];

		if (!strcmp(worker->node, node))
			return worker;
	}
	return NULL;
}

static void adjust_used_resources(struct worker *worker, const struct jobspec_step *spec, int sign)
{
	struct plan_resources need = plan_step_need(spec);

	worker->used.cpu_milli += (uint32_t)sign * need.cpu_milli;
	worker->used.memory_mb += (uint32_t)sign * need.memory_mb;
	worker->used.accelerators += (uint32_t)sign * need.accelerators;
}

void plan_assign_task(struct task *task, struct worker *worker, uint64_t now_ms)
{
	if (task->state == TASK_WAITING)
		task->step->waiting--;
	task->ordered_state = TASK_WAITING;
	task->maybe_begun = false;
	task->worker = worker;
	task->next_on_worker = worker->tasks;
	task->began_ms = now_ms;
	task->assigned_ms = now_ms;
	task->adopted_ms = 0;
	task->progress_ms = now_ms;
	task->percent = task->checkpoint ? task->saved_percent : 0;
	task->base_percent = task->percent;
	task->sample_ms = 0;
	task->speed = -1;
	task->slow_samples = 0;
	worker->tasks = task;
	adjust_used_resources(worker, task->step->spec, 1);
}

void plan_unassign_task(struct task *task)
{
	struct worker *worker = task->worker;
	struct task **at;

	if (!worker)
		return;
	for (at = &worker->tasks; *at && *at != task; at = &(*at)->next_on_worker)
		;
	if (*at)
		*at = task->next_on_worker;
	adjust_used_resources(worker, task->step->spec, -1);
	task->worker = NULL;
	task->next_on_worker = NULL;
}

void plan_stop_task(struct task *task, const char *reason)
{
	if (task->state != TASK_STARTING && task->state != TASK_RUNNING)
		return;
	task->state = TASK_STOPPING;
	task->stop_reason = reason;
	task->own_end_ms = 0;
	task->worker->changed = true;
}

void plan_stop_gang(struct task *task, const char *reason)
{
	struct step_run *step = task->step;

	plan_stop_task(task, reason);
	for (uint32_t i = 0; step->spec->gang && i < step->spec->count; i++)
		plan_stop_task(&step->tasks[i], reason);
}

void plan_on_move(struct plan *plan, void (*moved)(const struct plan_move *move, void *ctx),
		  void *ctx)
{
	plan->on_move = moved;
	plan->on_move_ctx = ctx;
}

const char *plan_move_name(enum plan_move_reason why)
{
	static const char *const names[PLAN_MOVE_COUNT] = {"leaves", "stalled", "slow"};

	return names[why];
}

void plan_move_task(struct plan *plan, struct task *task, enum plan_move_reason why,
		    uint64_t now_ms)
{
	static const char *const reasons[PLAN_MOVE_COUNT] = {
		"its worker leaves", "it makes no progress", "its worker is slow"};
	uint64_t end_ms = plan_expected_end_ms(plan, task, now_ms);
	bool loses = task->state == TASK_RUNNING && !task->step->spec->checkpoints;
	struct plan_move move = {
		.task = task->name,
		.run = task->run,
		.node = task->worker->node,
		.why = why,
		.left_ms = end_ms == UINT64_MAX ? end_ms : end_ms - MIN(end_ms, now_ms),
		.lost_ms = loses ? now_ms - task->began_ms : 0,
	};

	if (plan->on_move)
		plan->on_move(&move, plan->on_move_ctx);
	plan_stop_gang(task, reasons[why]);
}

/* Ends the current run of a task; the task waits for its next run. */
static void return_to_waiting(struct task *task)
{
	bool began = task->state != TASK_STARTING;

	plan_unassign_task(task);
	task->state = TASK_WAITING;
	task->step->waiting++;
	plan_job_unassigned(plan_task_job(task));
	if (task->step->waiting > 1 || !began)
		return;
	/* The step waits for a good place anew. */
	task->step->wait.began_ms = 0;
	task->step->wait.roomy_since_ms = 0;
}

/* Stops the other members of a gang, which can't continue without the one that has ended. */
static void stop_other_members(struct task *task, uint32_t run)
{
	struct step_run *step = task->step;

	if (!step->spec->gang)
		return;
	for (uint32_t i = 0; i < step->spec->count; i++) {
		if (step->tasks[i].run == run)
			plan_stop_task(&step->tasks[i], "a member of its gang has ended");
	}
}

void plan_suspect_worker(struct worker *worker, uint64_t now_ms)
{
	uint32_t doublings = worker->suspicions < SUSPECT_DOUBLINGS_MAX ? worker->suspicions
									: SUSPECT_DOUBLINGS_MAX;

	worker->last_failure_ms = now_ms;
	if (worker->suspect_until_ms > now_ms)
		return;
	worker->suspect_until_ms = now_ms + ((uint64_t)SUSPECT_BASE_MS << doublings);
	worker->suspicions++;
}

void plan_on_loss(struct plan *plan,
		  void (*lost)(const char *task, uint32_t run, const char *node,
			       enum plan_loss loss, void *ctx),
		  void *ctx)
{
	plan->on_loss = lost;
	plan->on_loss_ctx = ctx;
}

/* Gives up the current run of a task. */
static void lose_run(struct plan *plan, struct task *task, enum plan_loss loss)
{
	if (plan->on_loss)
		plan->on_loss(task->name, task->run, task->worker->node, loss, plan->on_loss_ctx);
	plan_task_job(task)->started = true;
	stop_other_members(task, task->run);
	return_to_waiting(task);
	task->own_end_ms = 0;
}

static void drop_all_runs(struct plan *plan, struct worker *worker, enum plan_loss loss)
{
	while (worker->tasks)
		lose_run(plan, worker->tasks, loss);
	while (worker->orphans) {
		struct orphan_run *orphan = worker->orphans;

		worker->orphans = orphan->next;
		talloc_free(orphan);
	}
}

static void set_worker_text(struct worker *worker, char **field, const char *value)
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
		drop_all_runs(plan, worker, PLAN_LOSS_INCARNATION);
		worker->suspect_until_ms = 0;
		worker->slow_until_ms = 0;
		worker->suspicions = 0;
		worker->failure_streak = 0;
		worker->backoff_until_ms = 0;
		plan_forget_evidence(plan, worker, now_ms);
	}
	set_worker_text(worker, &worker->incarnation, info->incarnation);
	set_worker_text(worker, &worker->id, info->id);
	set_worker_text(worker, &worker->service, info->service);
	set_worker_text(worker, &worker->zone, info->zone);
	set_worker_text(worker, &worker->kind, info->kind);
	set_worker_text(worker, &worker->rack, info->rack);
	worker->room = info->room;
	worker->present = true;
	worker->last_report_ms = now_ms;
	worker->offers_room = info->accepting;
	worker->leaves_ms = info->leaves && !info->accepting ? now_ms + info->remaining_ms : 0;
	plan_update_accepting(plan, worker);
	plan_add_health(plan, worker, info->health_good, info->health_bad, now_ms);
}

void plan_worker_lost(struct plan *plan, const char *node, uint64_t now_ms)
{
	struct worker *worker = plan_find_worker(plan, node);

	if (!worker)
		return;
	drop_all_runs(plan, worker, PLAN_LOSS_WORKER);
	worker->present = false;
	worker->offers_room = false;
	worker->accepting = false;
}

static void save_checkpoint(struct plan *plan, struct task *task, const struct plan_run *run,
			    uint64_t now_ms)
{
	struct step_run *step = task->step;
	struct job *job = plan_task_job(task);

	if (!*run->checkpoint || (task->checkpoint && !strcmp(task->checkpoint, run->checkpoint)))
		return;
	task->progress_ms = now_ms; /* a task that stands still takes no checkpoints */
	task->still_lists = 0;
	talloc_free(task->checkpoint);
	task->checkpoint = talloc_strdup(step->occurrence, run->checkpoint);
	task->saved_percent = run->percent;
	if (now_ms - job->checkpoint_ms < CHECKPOINT_RECORD_INTERVAL_MS)
		return;
	job->checkpoint_ms = now_ms;
	plan_mark_job_dirty(plan, job);
}

static struct orphan_run *find_orphan_run(const struct worker *worker, const struct plan_run *run)
{
	struct orphan_run *orphan = worker->orphans;

	while (orphan && (orphan->run != run->run || strcmp(orphan->task, run->task) != 0))
		orphan = orphan->next;
	return orphan;
}

static void add_orphan_run(struct worker *worker, const struct plan_run *run)
{
	struct orphan_run *orphan = find_orphan_run(worker, run);

	if (orphan) {
		orphan->listed = true;
		return;
	}
	orphan = talloc_zero(worker, struct orphan_run);
	orphan->task = talloc_strdup(orphan, run->task);
	orphan->run = run->run;
	orphan->listed = true;
	orphan->next = worker->orphans;
	worker->orphans = orphan;
	worker->changed = true;
}

static void remove_orphan_run(struct worker *worker, const struct plan_run *run)
{
	for (struct orphan_run **at = &worker->orphans; *at; at = &(*at)->next) {
		struct orphan_run *orphan = *at;

		if (orphan->run != run->run || strcmp(orphan->task, run->task) != 0)
			continue;
		*at = orphan->next;
		talloc_free(orphan);
		return;
	}
}

/* Takes over a run that can_adopt_run() accepts: its task is assigned to the worker. */
static void adopt_run(struct plan *plan, struct task *task, struct worker *worker,
		      const struct plan_run *run, uint64_t now_ms)
{
	struct job *job = plan_task_job(task);

	plan_assign_task(task, worker, now_ms);
	task->state = TASK_STARTING;
	task->run = run->run;
	task->adopted_ms = now_ms;
	task->listed = true;
	if (run->run >= job->next_run)
		job->next_run = run->run + 1;
	plan_job_assigned(job);
	if (plan_job_ended(job))
		plan_stop_task(task, "its job has ended");
}

/*
 * True for the latest run of a waiting task, either started by the former leader or wrongly
 * taken for lost. Members of a gang can't work together under different run numbers.
 */
static bool can_adopt_run(const struct task *task, uint32_t run)
{
	const struct step_run *step = task->step;

	if (task->state != TASK_WAITING || run <= task->ended_run || task->done_before)
		return false;
	if (run != task->run && !(plan_task_job(task)->inherited && run > task->run))
		return false;
	for (uint32_t i = 0; step->spec->gang && i < step->spec->count; i++) {
		if (step->tasks[i].worker && step->tasks[i].run != run)
			return false;
	}
	return true;
}

/* The worker has confirmed or listed the run. */
static void record_progress(struct task *task, const struct plan_run *run, uint64_t now_ms)
{
	if (task->state == TASK_STARTING) {
		task->state = TASK_RUNNING;
		task->base_percent = run->percent;
		task->began_ms = now_ms;
		task->progress_ms = now_ms;
		task->percent_changed_ms = now_ms;
		task->still_list_ms = now_ms;
		task->still_lists = 0;
	}
	plan_record_percent(task, run->percent, now_ms);
}

/*
 * Lets go of an adopted run that a later one has replaced. No task of an inherited job is started
 * by this leader, so every assignment is an adoption. The members of a gang run under one number.
 */
static void supersede_adopted_run(struct task *task, uint32_t run)
{
	struct step_run *step = task->step;

	for (uint32_t i = 0; i < step->spec->count; i++) {
		struct task *member = step->spec->gang ? &step->tasks[i] : task;

		if (!member->worker || member->run >= run || member->state == TASK_STOPPING)
			continue;
		add_orphan_run(member->worker,
			       &(struct plan_run){.task = member->name, .run = member->run});
		return_to_waiting(member);
	}
}

static bool is_current_run(const struct task *task, const struct worker *worker,
			   const struct plan_run *run)
{
	return task->worker == worker && task->run == run->run;
}

/* Returns the task that a reported run belongs to, if it is its current run or can become it. */
static struct task *match_run(struct plan *plan, struct worker *worker, const struct plan_run *run,
			      uint64_t list_ms)
{
	struct task *task = plan_find_task(plan, run->task);

	if (task && is_current_run(task, worker, run)) {
		task->listed = true;
		return task;
	}
	if (find_orphan_run(worker, run))
		task = NULL;
	if (task && plan_task_job(task)->inherited)
		supersede_adopted_run(task, run->run);
	if (task && can_adopt_run(task, run->run)) {
		adopt_run(plan, task, worker, run, list_ms);
		return task;
	}
	add_orphan_run(worker, run);
	return NULL;
}

void plan_worker_running(struct plan *plan, const char *node, const struct plan_run *run,
			 uint64_t list_ms)
{
	struct worker *worker = plan_find_worker(plan, node);
	struct task *task = plan_find_task(plan, run->task);

	if (task)
		plan_task_job(task)->started = true;
	task = worker ? match_run(plan, worker, run, list_ms) : NULL;
	if (!task)
		return;
	record_progress(task, run, list_ms);
	save_checkpoint(plan, task, run, list_ms);
}

void plan_worker_pending(struct plan *plan, const char *node, const struct plan_run *run,
			 uint64_t list_ms)
{
	struct worker *worker = plan_find_worker(plan, node);
	struct task *task = plan_find_task(plan, run->task);

	if (!worker)
		return;
	/*
	 * A start of the former leader is not repeated: a worker that has not reported yet may have
	 * a later run of the task.
	 */
	if (task && plan_task_job(task)->inherited && !is_current_run(task, worker, run))
		add_orphan_run(worker, run);
	else if ((task = match_run(plan, worker, run, list_ms)) && task->state == TASK_RUNNING)
		task->progress_ms = list_ms; /* unknown, so it does not count as stalled */
}

static void record_success(struct worker *worker)
{
	worker->failure_streak = 0;
	worker->suspicions = 0;
	worker->suspect_until_ms = 0;
	worker->last_failed_job = NULL;
}

static void record_failure(struct plan *plan, struct worker *worker, const struct job *job,
			   uint64_t now_ms)
{
	worker->last_failure_ms = now_ms;
	if (worker->last_failed_job == job)
		return;
	worker->last_failed_job = job;
	plan_add_evidence(plan, worker, PLAN_EVIDENCE_FAILURE, now_ms);
	worker->failure_streak++;
	if (worker->failure_streak >= SUSPECT_FAILURE_STREAK)
		plan_suspect_worker(worker, now_ms);
}

/*
 * A lasting task starts again however it ended. One that ends again and again soon after its start
 * waits longer each time, but not so long that it counts as left alone.
 */
static void delay_lasting_start(struct task *task, uint64_t now_ms)
{
	if (now_ms - task->began_ms >= LASTING_SOUND_MS)
		task->short_runs = 0;
	task->retry_after_ms = now_ms + (LASTING_RETRY_MS << task->short_runs);
	if (task->short_runs < LASTING_DOUBLINGS_MAX)
		task->short_runs++;
}

/*
 * A run that is done speaks for its worker, unless it took much longer than another one of its
 * step. Members of a gang take as long as the slowest, so their times are not compared.
 */
static void record_end_speed(struct plan *plan, const struct task *task, uint64_t now_ms)
{
	const struct step_run *step = task->step;
	uint64_t took_ms = now_ms - task->began_ms;

	if (!step->spec->gang && !task->checkpoint && step->measured_run_ms > 0 &&
	    took_ms > SLOW_END_FACTOR * step->measured_run_ms)
		plan_add_evidence(plan, task->worker, PLAN_EVIDENCE_SLOW, now_ms);
	else
		plan_add_proof(plan, task->worker, task->began_ms, now_ms);
}

static void end_current_run(struct plan *plan, struct worker *worker, struct task *task,
			    const struct plan_run *run, enum plan_end end, uint64_t now_ms)
{
	struct job *job = plan_task_job(task);
	bool lasting = task->step->spec->long_running;
	bool was_at_work = plan_is_at_work(task);

	save_checkpoint(plan, task, run, now_ms);
	task->ended_run = run->run;
	if (end == PLAN_END_DONE && !lasting) {
		record_end_speed(plan, task, now_ms);
		/* Of a run that was taken over, the time before is not known. */
		if (!task->checkpoint && !task->adopted_ms)
			task->step->measured_run_ms = MAX(now_ms - task->began_ms, 1);
		record_success(worker);
		plan_task_done(plan, task, now_ms);
		return;
	}
	stop_other_members(task, run->run);
	return_to_waiting(task);
	if (end == PLAN_END_FAILED) {
		task->avoid = worker;
		/* A lasting task may fail any number of times, on any worker. */
		if (!lasting)
			record_failure(plan, worker, job, now_ms);
		plan_task_failed(plan, task, run->run, now_ms);
	}
	if (lasting && (end == PLAN_END_FAILED || end == PLAN_END_DONE)) {
		delay_lasting_start(task, now_ms);
		if (was_at_work)
			task->own_end_ms = now_ms;
	} else {
		task->own_end_ms = 0;
	}
}

/* A run that is not the current one has done the work: the current run is not needed. */
static void finish_by_other_run(struct plan *plan, struct task *task, uint64_t now_ms)
{
	struct step_run *step = task->step;

	if (task->state == TASK_WAITING && !step->spec->gang) {
		plan_task_done(plan, task, now_ms);
		return;
	}
	for (uint32_t i = 0; i < step->spec->count; i++) {
		struct task *member = step->spec->gang ? &step->tasks[i] : task;

		member->done_before = true;
		plan_stop_task(member, "an earlier run has done its work");
	}
	plan->has_done_before = true;
	plan_mark_job_dirty(plan, plan_task_job(task));
	plan_end_tasks_done_before(plan, now_ms);
}

/*
 * Handles the end of a run that is not the current run of its task: it was started by a former
 * leader, or its worker was taken for lost. If no later run has begun, the end is the task's.
 * A run that is done, or a failure, which counts as an attempt, is taken in any case. A lasting
 * task is never done.
 */
static void end_other_run(struct plan *plan, struct task *task, const struct plan_run *run,
			  enum plan_end end, uint64_t now_ms)
{
	struct job *job = plan_task_job(task);
	bool is_latest = task->state == TASK_WAITING && run->run > task->ended_run &&
			 (run->run == task->run || (job->inherited && run->run > task->run));

	if (end == PLAN_END_FAILED)
		plan_task_failed(plan, task, run->run, now_ms);
	if (plan_job_ended(job))
		return;
	if (is_latest) {
		task->run = run->run;
		task->ended_run = run->run;
		if (run->run >= job->next_run)
			job->next_run = run->run + 1;
		save_checkpoint(plan, task, run, now_ms);
	}
	if (end == PLAN_END_DONE && !task->step->spec->long_running)
		finish_by_other_run(plan, task, now_ms);
}

void plan_worker_ended(struct plan *plan, const char *node, const struct plan_run *run,
		       enum plan_end end, uint64_t now_ms)
{
	struct worker *worker = plan_find_worker(plan, node);
	struct task *task = plan_find_task(plan, run->task);

	if (!worker)
		return;
	remove_orphan_run(worker, run);
	if (!task || task->state == TASK_DONE)
		return;
	if (end != PLAN_END_CLOSED)
		plan_task_job(task)->started = true;
	if (task->worker == worker && task->run == run->run)
		end_current_run(plan, worker, task, run, end, now_ms);
	else
		end_other_run(plan, task, run, end, now_ms);
}

void plan_worker_refused(struct plan *plan, const char *node, const struct plan_run *run,
			 enum plan_refusal refusal, uint64_t now_ms)
{
	struct worker *worker = plan_find_worker(plan, node);
	struct task *task = plan_find_task(plan, run->task);

	if (!worker)
		return;
	remove_orphan_run(worker, run);
	if (!task || task->worker != worker || task->run != run->run)
		return;
	task->ended_run = run->run;
	stop_other_members(task, run->run);
	return_to_waiting(task);
	if (refusal == PLAN_REFUSED_NO_ROOM)
		worker->backoff_until_ms = now_ms + NO_ROOM_BACKOFF_MS;
	else if (refusal == PLAN_REFUSED_NO_TICKET)
		plan_drop_ticket(worker, task->step);
	else if (refusal != PLAN_REFUSED_STALE)
		worker->backoff_until_ms = now_ms + UNHEALTHY_BACKOFF_MS;
	if (refusal == PLAN_REFUSED_UNHEALTHY && worker->offers_room)
		plan_add_evidence(plan, worker, PLAN_EVIDENCE_REFUSAL, now_ms);
}

void plan_worker_list_end(struct plan *plan, const char *node, bool complete, uint64_t list_ms)
{
	struct worker *worker = plan_find_worker(plan, node);
	struct task *task;
	struct task *next;

	if (!worker)
		return;
	worker->last_list_ms = list_ms;
	for (task = worker->tasks; task; task = next) {
		bool is_gone = !task->listed && task->state == TASK_RUNNING;

		next = task->next_on_worker;
		task->listed = false;
		if (is_gone && complete)
			lose_run(plan, task, PLAN_LOSS_UNLISTED);
		else if (is_gone)
			task->progress_ms = list_ms; /* unknown, so it does not count as stalled */
	}
	for (struct orphan_run *orphan = worker->orphans; orphan; orphan = orphan->next)
		orphan->listed = false;
}

bool plan_worker_occupied(const struct plan *plan, const char *node)
{
	const struct worker *worker = plan_find_worker(plan, node);

	return worker && (worker->tasks || worker->orphans);
}

void plan_agent_replaced(struct plan *plan, const char *node)
{
	const struct worker *worker = plan_find_worker(plan, node);

	for (struct task *task = worker ? worker->tasks : NULL; task; task = task->next_on_worker)
		task->maybe_begun = true;
}

size_t plan_orders(struct plan *plan, TALLOC_CTX *mem, const char *node, struct plan_order **out)
{
	const struct worker *worker = plan_find_worker(plan, node);
	size_t count = 0;
	size_t i = 0;

	*out = NULL;
	if (!worker)
		return 0;
	for (const struct task *task = worker->tasks; task; task = task->next_on_worker)
		count += task->state != TASK_RUNNING;
	for (const struct orphan_run *orphan = worker->orphans; orphan; orphan = orphan->next)
		count++;
	*out = talloc_zero_array(mem, struct plan_order, count + 1);
	for (struct task *task = worker->tasks; task; task = task->next_on_worker) {
		if (task->state == TASK_RUNNING)
			continue;
		(*out)[i++] = (struct plan_order){
			.start = task->state == TASK_STARTING,
			.first_time = task->ordered_state != task->state,
			.task = task->name,
			.run = task->run,
			.payload = plan_task_job(task)->spec->payload,
			.checkpoint = task->checkpoint ? task->checkpoint : "",
			.ticket = plan_start_ticket(worker, task->step),
			.maybe_begun = task->maybe_begun,
			.stop_reason = task->stop_reason ? task->stop_reason : "",
			.waited_ms = task->waited_ms,
		};
		task->ordered_state = task->state;
	}
	for (struct orphan_run *orphan = worker->orphans; orphan; orphan = orphan->next) {
		(*out)[i++] = (struct plan_order){.first_time = !orphan->order_sent,
						  .task = orphan->task,
						  .run = orphan->run,
						  .stop_reason = "no task is assigned to this run"};
		orphan->order_sent = true;
	}
	return count;
}
