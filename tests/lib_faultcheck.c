#include "lib_faultcheck.h"

#include <stdio.h>
#include <string.h>

#define PARTIAL_BOUND_MS 4000 /* guaranteed in section 8 of the design page */
#define LEASE_END_AFTER_THAW_MS \
	500 /* after a freeze a worker ends within this time a lease that lapsed during it */
#define MEMBERS_MAX 32

struct task {
	char target[32];
	unsigned int attempt;
	unsigned int member;
	uint64_t started_ms;
	uint64_t ended_ms; /* UINT64_MAX while it runs */
	char state[16];
	char reason[48];
};

struct freeze {
	char target[32];
	uint64_t from_ms;
	uint64_t until_ms;
};

struct faultcheck {
	GHashTable *tasks; /* job id to GArray of struct task */
	GArray *freezes;
};

static void free_tasks(gpointer tasks)
{
	g_array_free(tasks, TRUE);
}

struct faultcheck *faultcheck_create(void)
{
	struct faultcheck *check = g_new0(struct faultcheck, 1);

	check->tasks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_tasks);
	check->freezes = g_array_new(FALSE, FALSE, sizeof(struct freeze));
	return check;
}

void faultcheck_add(struct faultcheck *check, const char *target, const json_t *history,
		    uint64_t ended_ms)
{
	json_t *item;
	size_t i;

	json_array_foreach(json_object_get(history, "tasks"), i, item)
	{
		const char *id = json_string_value(json_object_get(item, "id"));
		const char *state = json_string_value(json_object_get(item, "state"));
		const char *reason = json_string_value(json_object_get(item, "reason"));
		struct task task = {0};
		char job[32];
		GArray *list;

		if (!id || sscanf(id, "%31[^.].%u.%u", job, &task.attempt, &task.member) != 3)
			continue;
		snprintf(task.target, sizeof(task.target), "%s", target);
		snprintf(task.state, sizeof(task.state), "%s", state ? state : "");
		snprintf(task.reason, sizeof(task.reason), "%s", reason ? reason : "");
		task.started_ms = (uint64_t)json_integer_value(json_object_get(item, "started_ms"));
		task.ended_ms = (uint64_t)json_integer_value(json_object_get(item, "ended_ms"));
		if (!task.ended_ms)
			task.ended_ms = ended_ms;
		list = g_hash_table_lookup(check->tasks, job);
		if (!list) {
			list = g_array_new(FALSE, FALSE, sizeof(struct task));
			g_hash_table_insert(check->tasks, g_strdup(job), list);
		}
		g_array_append_val(list, task);
	}
}

void faultcheck_add_freeze(struct faultcheck *check, const char *target, uint64_t from_ms,
			   uint64_t until_ms)
{
	struct freeze freeze = {.from_ms = from_ms, .until_ms = until_ms};

	snprintf(freeze.target, sizeof(freeze.target), "%s", target);
	g_array_append_val(check->freezes, freeze);
}

/* A task whose lease lapsed while its worker was frozen did not run during the freeze. */
static void clamp_to_freeze(const struct faultcheck *check, struct task *task)
{
	for (guint i = 0; i < check->freezes->len; i++) {
		const struct freeze *freeze = &g_array_index(check->freezes, struct freeze, i);

		if (!strcmp(freeze->target, task->target) && !strcmp(task->state, "stopped") &&
		    task->started_ms < freeze->from_ms && task->ended_ms >= freeze->until_ms &&
		    task->ended_ms <= freeze->until_ms + LEASE_END_AFTER_THAW_MS)
			task->ended_ms = freeze->from_ms;
	}
}

static bool is_done(const struct task *task)
{
	return !strcmp(task->state, "done");
}

static void print_tasks(const struct faultload_job *job, const GArray *tasks, const char *fault)
{
	fprintf(stderr, "job %s (%s, %u members, %s): %s\n", job->id, job->class_name, job->members,
		job->state, fault);
	for (guint i = 0; tasks && i < tasks->len; i++) {
		const struct task *task = &g_array_index(tasks, struct task, i);

		fprintf(stderr, "  attempt %u member %u at %s: %llu to %llu %s %s\n", task->attempt,
			task->member, task->target, (unsigned long long)task->started_ms,
			task->ended_ms == UINT64_MAX ? 0 : (unsigned long long)task->ended_ms,
			task->state, task->reason);
	}
}

/*
 * Whether a job that is not idempotent may have another attempt after this one: every task of this
 * one was stopped by request.
 */
static bool attempt_stopped_by_request(const GArray *tasks, unsigned int attempt)
{
	for (guint i = 0; i < tasks->len; i++) {
		const struct task *task = &g_array_index(tasks, struct task, i);

		if (task->attempt == attempt && strcmp(task->reason, "asked") != 0)
			return false;
	}
	return true;
}

static bool ran_twice(const struct faultload_job *job, const GArray *tasks)
{
	for (guint i = 0; i < tasks->len; i++) {
		const struct task *a = &g_array_index(tasks, struct task, i);

		for (guint j = 0; j < tasks->len; j++) {
			const struct task *b = &g_array_index(tasks, struct task, j);
			bool overlap = a->started_ms < b->ended_ms && b->started_ms < a->ended_ms;

			if (i != j && a->attempt == b->attempt && a->member == b->member)
				return true;
			if (a->attempt < b->attempt &&
			    (overlap ||
			     (!job->idempotent && !attempt_stopped_by_request(tasks, a->attempt))))
				return true;
		}
	}
	return false;
}

/* Whether a task runs at a time or is done by then. */
static bool runs_or_is_done(const struct task *task, uint64_t at)
{
	return task->started_ms <= at && (at < task->ended_ms || is_done(task));
}

static bool is_frozen(const struct faultcheck *check, const struct task *task, uint64_t at)
{
	for (guint i = 0; i < check->freezes->len; i++) {
		const struct freeze *freeze = &g_array_index(check->freezes, struct freeze, i);

		if (!strcmp(freeze->target, task->target) && freeze->from_ms <= at &&
		    at < freeze->until_ms)
			return true;
	}
	return false;
}

static void take_earlier(uint64_t *next, uint64_t time, uint64_t after)
{
	if (time > after && time < *next)
		*next = time;
}

/* The next time at which the set of members that run can change. */
static uint64_t next_change(const struct faultcheck *check, const GArray *tasks,
			    unsigned int attempt, uint64_t after)
{
	uint64_t next = UINT64_MAX;

	for (guint i = 0; i < tasks->len; i++) {
		const struct task *task = &g_array_index(tasks, struct task, i);

		if (task->attempt != attempt)
			continue;
		take_earlier(&next, task->started_ms, after);
		take_earlier(&next, task->ended_ms, after);
	}
	for (guint i = 0; i < check->freezes->len; i++) {
		take_earlier(&next, g_array_index(check->freezes, struct freeze, i).from_ms, after);
		take_earlier(&next, g_array_index(check->freezes, struct freeze, i).until_ms,
			     after);
	}
	return next;
}

/*
 * How long from a time on only part of an attempt's members ran while the others neither ran nor
 * were done; UINT64_MAX if without end. While all that are left are frozen, nothing runs.
 */
static uint64_t partial_duration_ms(const struct faultcheck *check, const GArray *tasks,
				    unsigned int attempt, unsigned int members, uint64_t from)
{
	uint64_t duration_ms = 0;
	uint64_t at = from;

	while (true) {
		uint64_t next = next_change(check, tasks, attempt, at);
		unsigned int present = 0;
		bool started = false;
		bool running = false;

		for (guint i = 0; i < tasks->len; i++) {
			const struct task *task = &g_array_index(tasks, struct task, i);

			if (task->attempt != attempt)
				continue;
			present += runs_or_is_done(task, at);
			if (task->started_ms > at || at >= task->ended_ms)
				continue;
			started = true;
			running = running || !is_frozen(check, task, at);
		}
		if (!started || present >= members)
			return duration_ms;
		if (next == UINT64_MAX)
			return UINT64_MAX;
		if (running)
			duration_ms += next - at;
		at = next;
	}
}

static bool ran_as_partial_gang(const struct faultcheck *check, const struct faultload_job *job,
				const GArray *tasks)
{
	for (guint i = 0; i < tasks->len; i++) {
		const struct task *task = &g_array_index(tasks, struct task, i);
		uint64_t moments[2] = {task->started_ms, task->ended_ms};

		for (int m = 0; m < 2; m++) {
			if (moments[m] != UINT64_MAX &&
			    partial_duration_ms(check, tasks, task->attempt, job->members,
						moments[m]) > PARTIAL_BOUND_MS)
				return true;
		}
	}
	return false;
}

static bool all_members_done(const struct faultload_job *job, const GArray *tasks)
{
	unsigned int last = 0;
	unsigned int done = 0;

	for (guint i = 0; tasks && i < tasks->len; i++) {
		if (g_array_index(tasks, struct task, i).attempt > last)
			last = g_array_index(tasks, struct task, i).attempt;
	}
	for (guint i = 0; tasks && i < tasks->len; i++) {
		const struct task *task = &g_array_index(tasks, struct task, i);

		done += task->attempt == last && is_done(task);
	}
	return done == job->members;
}

static void check_job(const struct faultcheck *check, const struct faultload_job *job,
		      struct faultcheck_result *out)
{
	GArray *tasks = g_hash_table_lookup(check->tasks, job->id);

	for (guint i = 0; tasks && i < tasks->len; i++)
		clamp_to_freeze(check, &g_array_index(tasks, struct task, i));
	out->done += !strcmp(job->state, "done");
	out->failed += !strcmp(job->state, "failed");
	out->cancelled += !strcmp(job->state, "cancelled");
	if (!strcmp(job->state, "failed") && job->idempotent) {
		out->failed_idempotent++;
		print_tasks(job, tasks, "failed");
	}
	if (!job->ended) {
		out->lost++;
		print_tasks(job, tasks, "did not end");
	} else if (!strcmp(job->state, "done") && !all_members_done(job, tasks)) {
		out->lost++;
		print_tasks(job, tasks, "is done but did not run");
	} else if (!strcmp(job->state, "cancelled") && !job->cancelled) {
		out->lost++;
		print_tasks(job, tasks, "is cancelled without a request");
	}
	if (job->duplicate_id || (tasks && ran_twice(job, tasks))) {
		out->doubled++;
		print_tasks(job, tasks, job->duplicate_id ? "has a second id" : "ran twice");
	}
	if (tasks && ran_as_partial_gang(check, job, tasks)) {
		out->partial_gangs++;
		print_tasks(job, tasks, "ran with part of its members");
	}
}

struct faultcheck_result faultcheck_check_jobs(struct faultcheck *check, const GPtrArray *jobs)
{
	struct faultcheck_result result = {0};

	for (guint i = 0; i < jobs->len; i++)
		check_job(check, g_ptr_array_index(jobs, i), &result);
	return result;
}

void faultcheck_free(struct faultcheck *check)
{
	g_hash_table_destroy(check->tasks);
	g_array_free(check->freezes, TRUE);
	g_free(check);
}
