#include "lib_fleetcheck.h"

#include "fleetlimits.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define CANCEL_BOUND_MS 3000 /* from the acknowledgement to the last start */
#define DRAIN_BOUND_MS 2000  /* from the answered heartbeat to the last start */
/* A store that was disturbed up to this time before an evacuation may have delayed it. */
#define STORE_SILENCE_MS 4000
#define DISTURBED_EXTRA_MS 6000 /* of the bound of an evacuation */

struct run {
	char task[64];
	unsigned int run;
	unsigned int worker;
	uint64_t begin_ms;
	uint64_t ordered_ms; /* the latest time at which the agent may have ordered the start */
	uint64_t end_ms;     /* FLEETCHECK_NEVER while it runs */
	uint64_t number;     /* of the end at the worker */
	uint64_t seen_ms;    /* when the agent confirmed the end */
	bool late;	     /* the worker has carried out the order late */
	char how[12];
};

struct worker {
	char name[24];
	char zone[16];
	bool late_call; /* its last line announced a call that is carried out late */
	uint64_t gone_ms;
	GArray *lapses;	 /* uint64_t: ends of the lease */
	GArray *drained; /* uint64_t: begin and end of draining in turn */
};

struct evacuation {
	char zone[16];
	uint64_t from_ms;
	uint64_t until_ms; /* FLEETCHECK_NEVER while it lasts */
};

struct fleetcheck {
	uint64_t seed;
	GArray *evacuations; /* struct evacuation */
	GArray *disturbed;   /* uint64_t, in ascending order */
	GPtrArray *workers;
	GHashTable *tasks; /* name to GPtrArray of struct run */
	GPtrArray *runs;
	GPtrArray *jobs;
	GHashTable *jobs_by_id;
	GHashTable *reported; /* texts */
	GHashTable *counts;   /* kind to the number of violations */
	unsigned int violations;
};

static void free_worker(gpointer data)
{
	struct worker *worker = data;

	g_array_free(worker->lapses, TRUE);
	g_array_free(worker->drained, TRUE);
	g_free(worker);
}

struct fleetcheck *fleetcheck_create(uint64_t seed)
{
	struct fleetcheck *check = g_new0(struct fleetcheck, 1);

	check->seed = seed;
	check->evacuations = g_array_new(FALSE, FALSE, sizeof(struct evacuation));
	check->disturbed = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	check->workers = g_ptr_array_new_with_free_func(free_worker);
	check->tasks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     (GDestroyNotify)g_ptr_array_unref);
	check->runs = g_ptr_array_new_with_free_func(g_free);
	check->jobs = g_ptr_array_new_with_free_func(g_free);
	check->jobs_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	check->reported = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	check->counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return check;
}

void fleetcheck_free(struct fleetcheck *check)
{
	g_array_free(check->evacuations, TRUE);
	g_array_free(check->disturbed, TRUE);
	g_hash_table_destroy(check->counts);
	g_hash_table_destroy(check->reported);
	g_hash_table_destroy(check->jobs_by_id);
	g_ptr_array_free(check->jobs, TRUE);
	g_ptr_array_free(check->runs, TRUE);
	g_hash_table_destroy(check->tasks);
	g_ptr_array_free(check->workers, TRUE);
	g_free(check);
}

unsigned int fleetcheck_worker(struct fleetcheck *check, const char *name)
{
	struct worker *worker = g_new0(struct worker, 1);

	g_strlcpy(worker->name, name, sizeof(worker->name));
	worker->gone_ms = FLEETCHECK_NEVER;
	worker->lapses = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	worker->drained = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_ptr_array_add(check->workers, worker);
	return check->workers->len - 1;
}

static struct worker *worker_of(const struct fleetcheck *check, unsigned int number)
{
	return g_ptr_array_index(check->workers, number);
}

void fleetcheck_zone(struct fleetcheck *check, unsigned int worker, const char *zone)
{
	g_strlcpy(worker_of(check, worker)->zone, zone, sizeof(worker_of(check, worker)->zone));
}

void fleetcheck_evacuated(struct fleetcheck *check, const char *zone, uint64_t ms)
{
	struct evacuation evacuation = {.from_ms = ms, .until_ms = FLEETCHECK_NEVER};

	g_strlcpy(evacuation.zone, zone, sizeof(evacuation.zone));
	g_array_append_val(check->evacuations, evacuation);
}

void fleetcheck_returned(struct fleetcheck *check, const char *zone, uint64_t ms)
{
	for (guint i = 0; i < check->evacuations->len; i++) {
		struct evacuation *at = &g_array_index(check->evacuations, struct evacuation, i);

		if (!strcmp(at->zone, zone))
			at->until_ms = MIN(at->until_ms, ms);
	}
}

void fleetcheck_disturbed(struct fleetcheck *check, uint64_t ms)
{
	g_array_append_val(check->disturbed, ms);
}

static void add_run(struct fleetcheck *check, const struct run *run)
{
	GPtrArray *list = g_hash_table_lookup(check->tasks, run->task);
	struct run *copy = g_memdup2(run, sizeof(*run));

	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(check->tasks, g_strdup(run->task), list);
	}
	g_ptr_array_add(list, copy);
	g_ptr_array_add(check->runs, copy);
}

static void end_run(struct fleetcheck *check, const struct run *ended)
{
	for (guint i = check->runs->len; i > 0; i--) {
		struct run *run = g_ptr_array_index(check->runs, i - 1);

		if (run->worker != ended->worker || run->run != ended->run ||
		    run->end_ms != FLEETCHECK_NEVER || strcmp(run->task, ended->task) != 0)
			continue;
		run->end_ms = ended->end_ms;
		run->number = ended->number;
		memcpy(run->how, ended->how, sizeof(run->how));
		return;
	}
}

static void confirm_ends(struct fleetcheck *check, unsigned int worker, uint64_t number,
			 uint64_t ms)
{
	for (guint i = 0; i < check->runs->len; i++) {
		struct run *run = g_ptr_array_index(check->runs, i);

		if (run->worker == worker && run->number && run->number <= number &&
		    run->seen_ms == FLEETCHECK_NEVER)
			run->seen_ms = ms;
	}
}

void fleetcheck_line(struct fleetcheck *check, unsigned int worker, const char *line)
{
	struct run run = {.worker = worker,
			  .end_ms = FLEETCHECK_NEVER,
			  .seen_ms = FLEETCHECK_NEVER,
			  .late = worker_of(check, worker)->late_call,
			  .how = "runs"};
	uint64_t number;
	uint64_t ms;
	int on;

	worker_of(check, worker)->late_call = g_str_has_prefix(line, "late ");
	if (sscanf(line, "start %63s %u %" SCNu64 " %" SCNu64, run.task, &run.run, &run.begin_ms,
		   &ms) == 4) {
		/* The agent takes the end of the lease from the time of the order. */
		run.ordered_ms = MIN(run.begin_ms, ms - WORKER_LEASE_MS);
		add_run(check, &run);
	} else if (sscanf(line, "end %63s %u %11s %" SCNu64 " %" SCNu64, run.task, &run.run,
			  run.how, &run.end_ms, &run.number) == 5) {
		end_run(check, &run);
	} else if (sscanf(line, "seen %" SCNu64 " %" SCNu64, &number, &ms) == 2) {
		confirm_ends(check, worker, number, ms);
	} else if (sscanf(line, "lapse %" SCNu64, &ms) == 1) {
		g_array_append_val(worker_of(check, worker)->lapses, ms);
	} else if (sscanf(line, "drain %d %" SCNu64, &on, &ms) == 2) {
		GArray *drained = worker_of(check, worker)->drained;

		if ((drained->len % 2 == 0) == (on != 0))
			g_array_append_val(drained, ms);
	}
}

void fleetcheck_worker_gone(struct fleetcheck *check, unsigned int worker, uint64_t ms)
{
	worker_of(check, worker)->gone_ms = ms;
	for (guint i = 0; i < check->runs->len; i++) {
		struct run *run = g_ptr_array_index(check->runs, i);

		if (run->worker != worker || run->end_ms != FLEETCHECK_NEVER)
			continue;
		run->end_ms = ms;
		g_strlcpy(run->how, "killed", sizeof(run->how));
	}
}

struct fleetcheck_job *fleetcheck_job(struct fleetcheck *check, const char *id)
{
	struct fleetcheck_job *job = g_new0(struct fleetcheck_job, 1);

	g_strlcpy(job->id, id, sizeof(job->id));
	job->cancelled_ms = FLEETCHECK_NEVER;
	job->completed_ms = FLEETCHECK_NEVER;
	g_ptr_array_add(check->jobs, job);
	g_hash_table_insert(check->jobs_by_id, job->id, job);
	return job;
}

static void count_violation(struct fleetcheck *check, const char *kind, const char *text)
{
	guint count = GPOINTER_TO_UINT(g_hash_table_lookup(check->counts, kind));

	g_hash_table_insert(check->counts, g_strdup(kind), GUINT_TO_POINTER(count + 1));
	check->violations++;
	fprintf(stderr, "violation, seed %" PRIu64 ": %s: %s\n", check->seed, kind, text);
}

void fleetcheck_report(struct fleetcheck *check, const char *kind, const char *text)
{
	g_autofree char *key = g_strdup_printf("%s %s", kind, text);

	if (g_hash_table_add(check->reported, g_steal_pointer(&key)))
		count_violation(check, kind, text);
}

static void print_time(const char *label, uint64_t ms)
{
	if (ms == FLEETCHECK_NEVER)
		fprintf(stderr, " %s -", label);
	else
		fprintf(stderr, " %s %" PRIu64, label, ms);
}

static void print_runs(const struct fleetcheck *check, const GPtrArray *runs)
{
	for (guint i = 0; i < runs->len; i++) {
		const struct run *run = g_ptr_array_index(runs, i);

		fprintf(stderr, "  %s run %u on %s:", run->task, run->run,
			worker_of(check, run->worker)->name);
		print_time("ordered", run->ordered_ms);
		print_time("begin", run->begin_ms);
		print_time("end", run->end_ms);
		print_time("confirmed", run->seen_ms);
		fprintf(stderr, " %s\n", run->how);
	}
}

static void report_task(struct fleetcheck *check, const char *kind, const struct run *run)
{
	g_autofree char *text = g_strdup_printf("%s run %u on %s", run->task, run->run,
						worker_of(check, run->worker)->name);
	unsigned int before = check->violations;

	fleetcheck_report(check, kind, text);
	if (check->violations > before)
		print_runs(check, g_hash_table_lookup(check->tasks, run->task));
}

void fleetcheck_state(struct fleetcheck *check, struct fleetcheck_job *job, const char *state,
		      uint64_t ms)
{
	g_autofree char *text =
		g_strdup_printf("job %s: %s, then %s at %" PRIu64, job->id, job->state, state, ms);

	if (job->accepted && !strcmp(state, "unknown"))
		fleetcheck_report(check, "accepted job is unknown", text);
	if (!strcmp(state, "cancelled") && !job->cancel_sent)
		fleetcheck_report(check, "job is cancelled without a request", text);
	if (!strcmp(job->state, "completed") && strcmp(state, "completed") != 0)
		fleetcheck_report(check, "completed job has another state", text);
	if (!strcmp(state, "completed") && job->completed_ms == FLEETCHECK_NEVER)
		job->completed_ms = ms;
	g_strlcpy(job->state, state, sizeof(job->state));
}

/* Whether a worker lost its lease or ended between two times, so that an end may be forgotten. */
static bool may_have_forgotten(const struct worker *worker, uint64_t from_ms, uint64_t until_ms)
{
	if (worker->gone_ms >= from_ms && worker->gone_ms <= until_ms)
		return true;
	for (guint i = 0; i < worker->lapses->len; i++) {
		uint64_t ms = g_array_index(worker->lapses, uint64_t, i);

		if (ms >= from_ms && ms <= until_ms)
			return true;
	}
	return false;
}

static void check_pair(struct fleetcheck *check, const struct run *a, const struct run *b)
{
	if (a->begin_ms <= b->begin_ms && b->begin_ms < a->end_ms)
		report_task(check, "two runs at the same time", b);
	if (!strcmp(a->how, "done") && b->begin_ms >= a->end_ms &&
	    !may_have_forgotten(worker_of(check, a->worker), a->end_ms,
				MIN(a->seen_ms, b->begin_ms)))
		report_task(check, "start after the task was done", b);
}

static void check_drained(struct fleetcheck *check, const struct run *run)
{
	const GArray *drained = worker_of(check, run->worker)->drained;

	for (guint i = 0; i < drained->len; i += 2) {
		uint64_t from = g_array_index(drained, uint64_t, i);
		uint64_t until = i + 1 < drained->len ? g_array_index(drained, uint64_t, i + 1)
						      : FLEETCHECK_NEVER;

		if (run->ordered_ms > from + DRAIN_BOUND_MS && run->begin_ms < until)
			report_task(check, "start on a draining worker", run);
	}
}

/* Whether the store was disturbed within a time or shortly before it. */
static bool was_disturbed(const struct fleetcheck *check, uint64_t from_ms, uint64_t until_ms)
{
	for (guint i = 0; i < check->disturbed->len; i++) {
		uint64_t ms = g_array_index(check->disturbed, uint64_t, i);

		if (ms + STORE_SILENCE_MS >= from_ms && ms <= until_ms)
			return true;
	}
	return false;
}

/* A start that its worker has delayed counts from its order, which nobody can take back. */
static void check_evacuated(struct fleetcheck *check, const struct run *run)
{
	uint64_t start_ms = run->late ? run->ordered_ms : run->begin_ms;

	for (guint i = 0; i < check->evacuations->len; i++) {
		const struct evacuation *at =
			&g_array_index(check->evacuations, struct evacuation, i);
		uint64_t bound_ms = at->from_ms + FLEETCHECK_EVACUATE_MS;

		if (strcmp(at->zone, worker_of(check, run->worker)->zone) != 0 ||
		    start_ms <= bound_ms || run->begin_ms >= at->until_ms)
			continue;
		if (start_ms <= bound_ms + DISTURBED_EXTRA_MS &&
		    was_disturbed(check, at->from_ms, start_ms))
			continue;
		report_task(check, "start in an evacuated zone", run);
	}
}

static void check_run(struct fleetcheck *check, const struct run *run)
{
	char id[20];
	const struct fleetcheck_job *job;

	g_strlcpy(id, run->task, sizeof(id));
	id[strcspn(id, ".")] = '\0';
	job = g_hash_table_lookup(check->jobs_by_id, id);
	check_drained(check, run);
	check_evacuated(check, run);
	if (!job)
		return;
	if (job->refused && !job->accepted && !job->unclear && !job->pending)
		report_task(check, "start of a refused job", run);
	if (job->cancelled_ms != FLEETCHECK_NEVER &&
	    run->ordered_ms > job->cancelled_ms + CANCEL_BOUND_MS)
		report_task(check, "start after a cancellation", run);
}

static bool task_is_done(const struct fleetcheck *check, const char *task, uint64_t at_ms)
{
	const GPtrArray *runs = g_hash_table_lookup(check->tasks, task);

	for (guint i = 0; runs && i < runs->len; i++) {
		const struct run *run = g_ptr_array_index(runs, i);

		if (!strcmp(run->how, "done") && run->end_ms <= at_ms)
			return true;
	}
	return false;
}

static bool step_is_done(const struct fleetcheck *check, const struct fleetcheck_job *job,
			 unsigned int step, uint64_t at_ms)
{
	unsigned int done = 0;

	for (unsigned int i = 0; i < job->steps[step]; i++) {
		g_autofree char *task = g_strdup_printf("%s.0.%u.%u", job->id, step, i);

		done += task_is_done(check, task, at_ms);
	}
	return done == job->steps[step] || (job->gang[step] && done > 0);
}

static void report_job(struct fleetcheck *check, const char *kind, const struct fleetcheck_job *job)
{
	g_autofree char *text = g_strdup_printf("job %s, state %s", job->id, job->state);
	g_autofree char *prefix = g_strdup_printf("%s.", job->id);
	unsigned int before = check->violations;
	GHashTableIter iter;
	gpointer task;
	gpointer runs;

	fleetcheck_report(check, kind, text);
	if (check->violations == before)
		return;
	g_hash_table_iter_init(&iter, check->tasks);
	while (g_hash_table_iter_next(&iter, &task, &runs)) {
		if (g_str_has_prefix(task, prefix))
			print_runs(check, runs);
	}
}

static void check_completed(struct fleetcheck *check, const struct fleetcheck_job *job)
{
	if (job->completed_ms == FLEETCHECK_NEVER)
		return;
	for (unsigned int step = 0; step < FLEETCHECK_STEPS_MAX && job->steps[step]; step++) {
		if (!step_is_done(check, job, step, job->completed_ms))
			report_job(check, "completed before all tasks are done", job);
	}
}

void fleetcheck_run(struct fleetcheck *check)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, check->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const GPtrArray *runs = value;

		for (guint i = 0; i < runs->len; i++) {
			for (guint j = 0; j < runs->len; j++) {
				/* Of two runs that begin at the same time the later one counts. */
				const struct run *a = g_ptr_array_index(runs, i);
				const struct run *b = g_ptr_array_index(runs, j);

				if (i != j && (a->begin_ms != b->begin_ms || i < j))
					check_pair(check, a, b);
			}
			check_run(check, g_ptr_array_index(runs, i));
		}
	}
	for (guint i = 0; i < check->jobs->len; i++)
		check_completed(check, g_ptr_array_index(check->jobs, i));
}

void fleetcheck_finish(struct fleetcheck *check)
{
	fleetcheck_run(check);
	for (guint i = 0; i < check->jobs->len; i++) {
		const struct fleetcheck_job *job = g_ptr_array_index(check->jobs, i);

		if (job->accepted && strcmp(job->state, "completed") != 0 &&
		    !(job->cancel_sent && !strcmp(job->state, "cancelled")))
			report_job(check, "accepted job did not complete", job);
	}
}

GPtrArray *fleetcheck_jobs(struct fleetcheck *check)
{
	return check->jobs;
}

unsigned int fleetcheck_count(const struct fleetcheck *check, const char *kind)
{
	return kind ? GPOINTER_TO_UINT(g_hash_table_lookup(check->counts, kind))
		    : check->violations;
}

json_t *fleetcheck_counts(const struct fleetcheck *check)
{
	json_t *json = json_object();
	GHashTableIter iter;
	gpointer kind;
	gpointer count;

	g_hash_table_iter_init(&iter, check->counts);
	while (g_hash_table_iter_next(&iter, &kind, &count))
		json_object_set_new(json, kind, json_integer(GPOINTER_TO_INT(count)));
	return json;
}

unsigned int fleetcheck_runs(const struct fleetcheck *check)
{
	return check->runs->len;
}
