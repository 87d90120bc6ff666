#include "plan_int.h"

#include <string.h>

/*
 * Why steps wait. For each step that is left over, the preferences are waived one by one until its
 * tasks would fit; the one that makes the difference is the reason. That takes some passes over all
 * workers, so only a few steps are looked at in each decision.
 */

#define CHECK_INTERVAL_MS 250 /* between two rounds */
#define STEP_INTERVAL_MS 500  /* between two looks at one step, in a small queue */
#define STEPS_PER_ROUND 32
#define REPORT_AFTER_MS 1000
#define REPORT_INTERVAL_MS 1000

const char *plan_wait_name(enum plan_wait reason)
{
	static const char *const names[PLAN_WAIT_COUNT] = {
		[PLAN_WAIT_NONE] = "none",	   [PLAN_WAIT_FORMER_LEADER] = "former_leader",
		[PLAN_WAIT_HELD] = "held",	   [PLAN_WAIT_QUEUE] = "queue",
		[PLAN_WAIT_MEMBERS] = "members",   [PLAN_WAIT_RETRY] = "retry",
		[PLAN_WAIT_ORPHAN] = "orphan_run", [PLAN_WAIT_WORKERS] = "workers",
		[PLAN_WAIT_ADVICE] = "advice",	   [PLAN_WAIT_ROOM] = "room",
		[PLAN_WAIT_RACK] = "rack",	   [PLAN_WAIT_DATA_RACK] = "data_rack",
		[PLAN_WAIT_RESERVED] = "reserved", [PLAN_WAIT_HEADROOM] = "headroom",
		[PLAN_WAIT_PAUSE] = "pause",	   [PLAN_WAIT_EVACUATED] = "evacuated",
	};

	return names[reason];
}

void plan_on_wait(struct plan *plan,
		  void (*waits)(const char *step, enum plan_wait reason, const char *text,
				void *ctx),
		  void *ctx)
{
	plan->on_wait = waits;
	plan->on_wait_ctx = ctx;
}

static bool some_worker_could_hold(const struct plan *plan, const struct step_run *step)
{
	for (guint i = 0; i < plan->workers->len; i++) {
		if (plan_worker_could_hold(plan->workers->pdata[i], step))
			return true;
	}
	return false;
}

/* True if a worker has room, but no valid ticket is known for it. */
static bool lacks_ticket(const struct plan *plan, const struct step_run *step, uint64_t now_ms)
{
	for (guint i = 0; i < plan->workers->len; i++) {
		const struct worker *worker = plan->workers->pdata[i];

		if (plan_worker_available(worker, now_ms) && plan_worker_could_hold(worker, step) &&
		    plan_count_room_on_worker(worker, step, 1) > 0 &&
		    !plan_has_valid_ticket(worker, step, now_ms))
			return true;
	}
	return false;
}

/* The preference that keeps the tasks from room that there is. */
static enum plan_wait find_preference(const struct plan *plan, const struct step_run *step,
				      uint32_t needed, uint64_t now_ms)
{
	enum plan_wait rack = step->spec->gang ? PLAN_WAIT_RACK : PLAN_WAIT_DATA_RACK;
	const struct {
		unsigned int waiver;
		enum plan_wait reason;
	} preferences[] = {
		{PLAN_WAIVE_RACK, rack},
		{PLAN_WAIVE_RESERVED, PLAN_WAIT_RESERVED},
		{PLAN_WAIVE_HEADROOM, PLAN_WAIT_HEADROOM},
		{PLAN_WAIVE_PAUSE | PLAN_WAIVE_FAILURE, PLAN_WAIT_PAUSE},
	};
	unsigned int waived = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(preferences); i++) {
		if (plan_count_room(plan, step, preferences[i].waiver, needed, now_ms) >= needed)
			return preferences[i].reason;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(preferences); i++) {
		waived |= preferences[i].waiver;
		if (plan_count_room(plan, step, waived, needed, now_ms) >= needed)
			return preferences[i].reason;
	}
	return PLAN_WAIT_ROOM;
}

void plan_step_name(const struct step_run *step, char *name)
{
	g_snprintf(name, TASK_NAME_MAX, "%s.%u.%u", step->occurrence->job->id,
		   step->occurrence->number, step->number);
}

static void note_reservation(const struct plan *plan, struct step_run *step)
{
	step->wait.held_for[0] = '\0';
	for (guint i = 0; i < plan->workers->len; i++) {
		const struct worker *worker = plan->workers->pdata[i];

		if (!worker->reserved_for || worker->reserved_for == step ||
		    plan_count_room_on_worker(worker, step, 1) == 0)
			continue;
		plan_step_name(worker->reserved_for, step->wait.held_for);
		return;
	}
}

static enum plan_wait find_lack_of_room(const struct plan *plan, struct step_run *step,
					uint64_t now_ms)
{
	/* Independent tasks start one by one. */
	uint32_t needed = step->spec->gang ? step->spec->count : 1;
	enum plan_wait reason;

	if (!some_worker_could_hold(plan, step))
		return PLAN_WAIT_WORKERS;
	step->wait.room = plan_count_room(plan, step, PLAN_WAIVE_ALL | PLAN_WAIVE_FAILURE,
					  step->waiting, now_ms);
	if (step->wait.room < needed && plan_closed_zone_has_room(plan, step))
		return PLAN_WAIT_EVACUATED;
	if (step->wait.room < needed)
		return lacks_ticket(plan, step, now_ms) ? PLAN_WAIT_ADVICE : PLAN_WAIT_ROOM;
	step->wait.room_kept = plan_count_room(plan, step, 0, step->waiting, now_ms);
	if (step->wait.room_kept >= needed)
		return PLAN_WAIT_NONE;
	reason = find_preference(plan, step, needed, now_ms);
	if (reason == PLAN_WAIT_RESERVED)
		note_reservation(plan, step);
	return reason;
}

static bool some_task_may_start(const struct plan *plan, const struct step_run *step,
				uint64_t now_ms, enum plan_wait *reason)
{
	bool gang = step->spec->gang;

	for (uint32_t i = 0; i < step->spec->count; i++) {
		const struct task *task = &step->tasks[i];
		enum plan_wait hindrance = PLAN_WAIT_NONE;

		if (task->state != TASK_WAITING)
			continue;
		if (task->retry_after_ms > now_ms)
			hindrance = PLAN_WAIT_RETRY;
		else if (plan_has_orphan_run(plan, task))
			hindrance = PLAN_WAIT_ORPHAN;
		if (hindrance != PLAN_WAIT_NONE)
			*reason = hindrance;
		if ((hindrance == PLAN_WAIT_NONE) != gang)
			return !gang;
	}
	return gang;
}

static enum plan_wait find_reason(const struct plan *plan, struct step_run *step, uint64_t now_ms)
{
	const struct job *job = step->occurrence->job;
	enum plan_wait reason = PLAN_WAIT_NONE;

	step->wait.room = 0;
	step->wait.room_kept = 0;
	step->wait.urgent_accelerators = (uint32_t)(plan->headroom.accelerators + 0.5);
	if (job->inherited)
		return PLAN_WAIT_FORMER_LEADER;
	if (job->held)
		return PLAN_WAIT_HELD;
	if (!job->queue)
		return PLAN_WAIT_QUEUE;
	if (step->spec->gang && step->waiting < step->spec->count)
		return PLAN_WAIT_MEMBERS;
	if (!some_task_may_start(plan, step, now_ms, &reason))
		return reason;
	return find_lack_of_room(plan, step, now_ms);
}

/* Length of the wait in words, and who holds the room. */
static char *describe_room(const struct step_run *step, TALLOC_CTX *mem)
{
	const struct step_wait *wait = &step->wait;
	uint32_t tasks = step->waiting;

	switch (wait->reason) {
	case PLAN_WAIT_WORKERS:
		return talloc_strdup(mem, "no worker of its service could hold a task");
	case PLAN_WAIT_ADVICE:
		return talloc_strdup(mem, "no ticket is valid for a worker with room");
	case PLAN_WAIT_ROOM:
		return talloc_asprintf(mem, "there is room for %u of %u tasks", wait->room, tasks);
	case PLAN_WAIT_RACK:
		return talloc_asprintf(mem, "there is room for %u tasks, in one rack for %u",
				       wait->room, wait->room_kept);
	case PLAN_WAIT_DATA_RACK:
		return talloc_asprintf(mem, "there is room for %u tasks, beside their data for %u",
				       wait->room, wait->room_kept);
	case PLAN_WAIT_RESERVED:
		return talloc_asprintf(mem, "there is room for %u tasks, but it is reserved for %s",
				       wait->room, *wait->held_for ? wait->held_for : "others");
	case PLAN_WAIT_HEADROOM:
		return talloc_asprintf(
			mem,
			"there is room for %u tasks, but it is kept free for urgent jobs, which "
			"are expected to use %u accelerators",
			wait->room, wait->urgent_accelerators);
	case PLAN_WAIT_PAUSE:
		return talloc_asprintf(
			mem, "there is room for %u tasks, but on workers that are suspect or slow",
			wait->room);
	case PLAN_WAIT_EVACUATED:
		return talloc_asprintf(
			mem, "there is room for %u of %u tasks outside the evacuated zones",
			wait->room, tasks);
	default:
		return talloc_strdup(mem, "it may start");
	}
}

char *plan_describe_wait(const struct step_run *step, TALLOC_CTX *mem, uint64_t now_ms)
{
	static const char *const texts[PLAN_WAIT_COUNT] = {
		[PLAN_WAIT_FORMER_LEADER] =
			"reports of workers that the former leader used are missing",
		[PLAN_WAIT_HELD] = "the store has not confirmed the leader",
		[PLAN_WAIT_QUEUE] = "its queue is not in the configuration",
		[PLAN_WAIT_MEMBERS] = "members of its last run have not ended",
		[PLAN_WAIT_RETRY] = "a task failed a short time ago",
		[PLAN_WAIT_ORPHAN] = "an earlier run of a task is being stopped",
	};
	char *own = texts[step->wait.reason] ? NULL : describe_room(step, mem);
	char *text = talloc_asprintf(mem, "%u tasks wait for %" G_GUINT64_FORMAT " ms: %s",
				     step->waiting, now_ms - step->ready_ms,
				     own ? own : texts[step->wait.reason]);

	talloc_free(own);
	return text;
}

static void report_wait(struct plan *plan, struct step_run *step, uint64_t now_ms)
{
	char name[TASK_NAME_MAX];
	char *text;

	if (!plan->on_wait || step->wait.reason == PLAN_WAIT_NONE ||
	    step->wait.since_ms <= step->wait.reported_ms ||
	    now_ms - step->ready_ms < REPORT_AFTER_MS ||
	    (step->wait.reported_ms && now_ms - step->wait.reported_ms < REPORT_INTERVAL_MS))
		return;
	step->wait.reported_ms = now_ms;
	plan_step_name(step, name);
	text = plan_describe_wait(step, NULL, now_ms);
	plan->on_wait(name, step->wait.reason, text, plan->on_wait_ctx);
	talloc_free(text);
}

static void check_step(struct plan *plan, struct step_run *step, uint64_t now_ms)
{
	enum plan_wait reason = find_reason(plan, step, now_ms);

	step->wait.checked_ms = now_ms;
	if (reason != step->wait.reason) {
		step->wait.reason = reason;
		step->wait.since_ms = now_ms;
	}
	report_wait(plan, step, now_ms);
}

static bool is_waiting(const struct step_run *step)
{
	return step->ready_ms > 0 && step->waiting > 0;
}

static void visit_waiting_steps(const struct plan *plan,
				void (*visit)(struct step_run *step, void *ctx), void *ctx)
{
	for (guint i = 0; i < plan->active->len; i++) {
		const struct job *job = plan->active->pdata[i];

		if (plan_job_ended(job))
			continue;
		for (struct occurrence *o = job->occurrences; o; o = o->next) {
			for (size_t s = 0; s < job->spec->step_count; s++) {
				if (is_waiting(&o->steps[s]))
					visit(&o->steps[s], ctx);
			}
		}
	}
}

struct round {
	struct plan *plan;
	uint64_t now_ms;
	uint64_t interval_ms; /* between two looks at one step */
	uint32_t left;
};

static void count_step(struct step_run *step, void *ctx)
{
	(*(uint32_t *)ctx)++;
}

static void check_if_due(struct step_run *step, void *ctx)
{
	struct round *round = ctx;

	if (round->left == 0 || round->now_ms - step->ready_ms < STEP_INTERVAL_MS ||
	    round->now_ms - step->wait.checked_ms < round->interval_ms)
		return;
	round->left--;
	check_step(round->plan, step, round->now_ms);
}

void plan_update_waits(struct plan *plan, uint64_t now_ms)
{
	struct round round = {.plan = plan, .now_ms = now_ms, .left = STEPS_PER_ROUND};
	uint32_t waiting = 0;

	if (plan->waits_checked_ms && now_ms - plan->waits_checked_ms < CHECK_INTERVAL_MS)
		return;
	plan->waits_checked_ms = now_ms;
	visit_waiting_steps(plan, count_step, &waiting);
	round.interval_ms = MAX(STEP_INTERVAL_MS,
				(uint64_t)CHECK_INTERVAL_MS * (waiting / STEPS_PER_ROUND + 1));
	visit_waiting_steps(plan, check_if_due, &round);
}

static void count_reason(struct step_run *step, void *ctx)
{
	((uint32_t *)ctx)[step->wait.reason]++;
}

void plan_count_waits(const struct plan *plan, uint32_t *counts)
{
	memset(counts, 0, PLAN_WAIT_COUNT * sizeof(*counts));
	visit_waiting_steps(plan, count_reason, counts);
}
