#include "bench_replay.h"
#include "bench_fit.h"
#include "bench_heap.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define START_MS 200		    /* hold, grant and start of a gang */
#define START_FAILURE_MS 1000	    /* until a failed start is reported */
#define CHECKPOINT_PERIOD_MS 600000 /* a job that can be checkpointed saves this often */
#define STARVED_FACTOR 10	    /* times the declared run time */
#define URGENT_BOUND_MS 4100	    /* start of urgent work */
#define DRAIN_LIMIT_MS (30ULL * 24 * 3600 * 1000)
#define TIMELINE_STEP_MS 60000
#define MS_PER_S 1000.0

enum job_state {
	JOB_WAITING,
	JOB_STARTING,
	JOB_RUNNING,
	JOB_STOPPING,
	JOB_DONE,
	JOB_FAILED,
	JOB_CANCELLED,
};

struct job {
	const struct bench_event *event;
	enum job_state state;
	bool cancelled;
	bool large;
	bool within_guarantee;
	bool evict_checkpoint;
	bool starved;
	bool started_once;
	uint32_t attempt;
	uint64_t first_start_ms;
	uint64_t run_start_ms;
	uint64_t saved_ms; /* progress that a restart keeps */
	uint64_t granted_ms;
	size_t *worker;
	uint64_t *mask;
};

enum later_kind {
	LATER_STARTED,
	LATER_START_FAILED,
	LATER_FINISHED,
	LATER_STOPPED,
	LATER_STARVE_CHECK,
};

struct worker {
	struct bench_free free; /* as granted, whatever the policy believes */
	bool bad;
};

struct replay {
	const struct bench_fleet *fleet;
	const struct bench_workload *workload;
	const struct bench_policy *policy;
	const struct bench_replay_options *options;
	struct bench_result *out;
	struct bench_heap *heap;
	GHashTable *jobs;    /* id to struct job */
	GHashTable *workers; /* name to index */
	GPtrArray *all;
	struct worker *worker;
	uint64_t now;
	uint64_t window_end; /* last submission */
	uint64_t step_due;
	uint64_t open; /* jobs not ended */
	uint64_t used; /* accelerators granted */
	uint64_t up;   /* accelerators of healthy workers */
	double used_area;
	double up_area;
	double fragmentation_area;
	double lost_ms; /* accelerator milliseconds */
	uint64_t next_timeline;
	GArray *completion;
	GArray *large_wait;
	GArray *urgent_start;
	GArray *decision_us;
	TALLOC_CTX *mem;
};

static uint64_t job_accelerators(const struct job *job)
{
	return (uint64_t)job->event->job.shape.members * job->event->job.shape.accelerators;
}

static void violation(struct replay *r, uint64_t *counter, const char *text, const char *subject)
{
	(*counter)++;
	if (getenv("DBGV"))
		fprintf(stderr, "VIOL t=%.1f %s %s\n", r->now / 1000.0, subject, text);
	if (!r->out->first_violation[0])
		snprintf(r->out->first_violation, sizeof(r->out->first_violation),
			 "t=%.3f %.64s: %.256s", (double)r->now / MS_PER_S, subject, text);
}

/* Takes (@sign -1) or gives back (@sign 1) what a placed job holds. */
static void account(struct replay *r, struct job *job, int sign)
{
	const struct place_shape *shape = &job->event->job.shape;

	for (uint32_t i = 0; i < shape->members; i++) {
		struct worker *worker = &r->worker[job->worker[i]];

		if (!worker->free.up)
			continue;
		if (sign < 0 && (worker->free.mask & job->mask[i]) != job->mask[i])
			violation(r, &r->out->doubled_jobs, "accelerator granted twice",
				  job->event->job.id);
		if (sign < 0) {
			worker->free.mask &= ~job->mask[i];
			worker->free.cores -= shape->cores;
			worker->free.memory_mb -= shape->memory_mb;
		} else {
			worker->free.mask |= job->mask[i];
			worker->free.cores += shape->cores;
			worker->free.memory_mb += shape->memory_mb;
		}
	}
	if (sign < 0)
		r->used += job_accelerators(job);
	else
		r->used -= job_accelerators(job);
}

static bool holds(const struct job *job)
{
	return job->state == JOB_STARTING || job->state == JOB_RUNNING ||
	       job->state == JOB_STOPPING;
}

static uint64_t progress(const struct job *job, uint64_t now)
{
	uint64_t done = job->saved_ms;

	if (job->run_start_ms && now > job->run_start_ms)
		done += now - job->run_start_ms;
	return done < job->event->actual_ms ? done : job->event->actual_ms;
}

/* The job stops before its end; @kept_ms of its progress survives. */
static void lose_progress(struct replay *r, struct job *job, uint64_t kept_ms)
{
	uint64_t done = progress(job, r->now);

	r->lost_ms += (double)(done - kept_ms) * (double)job_accelerators(job);
	job->saved_ms = kept_ms;
	job->run_start_ms = 0;
}

static uint64_t periodic_checkpoint(const struct job *job, uint64_t now)
{
	uint64_t ran = job->run_start_ms && now > job->run_start_ms ? now - job->run_start_ms : 0;

	if (!job->event->job.checkpoint)
		return 0;
	return job->saved_ms + ran / CHECKPOINT_PERIOD_MS * CHECKPOINT_PERIOD_MS;
}

static void end_job(struct replay *r, struct job *job, enum job_state state)
{
	job->state = state;
	r->open--;
}

static void count_urgent(struct replay *r, struct job *job)
{
	double wait = (double)(r->now - job->event->time_ms) / MS_PER_S;

	g_array_append_val(r->urgent_start, wait);
	if (wait > r->out->urgent_start_max_s)
		r->out->urgent_start_max_s = wait;
}

static void first_start(struct replay *r, struct job *job)
{
	double wait = (double)(r->now - job->event->time_ms) / MS_PER_S;

	job->started_once = true;
	job->first_start_ms = r->now;
	if (job->large)
		g_array_append_val(r->large_wait, wait);
	if (job->event->job.urgent && !job->event->never_runs)
		count_urgent(r, job);
	if (!job->within_guarantee || job->event->never_runs)
		return;
	if (wait > r->out->reclaim_max_s)
		r->out->reclaim_max_s = wait;
	if (wait * MS_PER_S > (double)(r->options->reclaim_grace_ms + URGENT_BOUND_MS))
		violation(r, &r->out->guarantee_violations, "job within its guarantee waited",
			  job->event->job.id);
}

static bool bad_worker(const struct replay *r, const struct job *job, size_t *which)
{
	for (uint32_t i = 0; i < job->event->job.shape.members; i++) {
		if (r->worker[job->worker[i]].bad) {
			*which = job->worker[i];
			return true;
		}
	}
	*which = job->worker[0];
	return false;
}

static bool take_members(struct replay *r, struct job *job, const struct place_decision *decision)
{
	if (decision->member_count != job->event->job.shape.members) {
		violation(r, &r->out->partial_gangs, "gang placed in part", decision->job);
		return false;
	}
	for (size_t i = 0; i < decision->member_count; i++) {
		gpointer index;

		if (!g_hash_table_lookup_extended(r->workers, decision->members[i].worker, NULL,
						  &index)) {
			violation(r, &r->out->partial_gangs, "unknown worker", decision->job);
			return false;
		}
		job->worker[i] = GPOINTER_TO_SIZE(index);
		job->mask[i] = decision->members[i].mask;
		if (!r->worker[job->worker[i]].free.up) {
			violation(r, &r->out->partial_gangs, "placed on a lost worker",
				  decision->job);
			return false;
		}
	}
	return true;
}

static void on_start(struct replay *r, struct job *job, const struct place_decision *decision)
{
	size_t which;

	if (job->state != JOB_WAITING) {
		violation(r, &r->out->doubled_jobs, "started twice", decision->job);
		return;
	}
	if (!take_members(r, job, decision))
		return;
	job->state = JOB_STARTING;
	job->attempt = decision->attempt;
	job->granted_ms = r->now;
	account(r, job, -1);
	if (job->event->never_runs || bad_worker(r, job, &which))
		bench_heap_push(r->heap, r->now + START_FAILURE_MS, LATER_START_FAILED,
				job->attempt, job);
	else
		bench_heap_push(r->heap, r->now + START_MS, LATER_STARTED, job->attempt, job);
}

static void on_evict(struct replay *r, struct job *job, const struct place_decision *decision)
{
	if (!holds(job) || job->state == JOB_STOPPING)
		return;
	if (!job->cancelled)
		r->out->evictions++;
	job->evict_checkpoint = decision->checkpoint && job->event->job.checkpoint;
	job->state = JOB_STOPPING;
	/* Half of the grace time: a checkpoint takes time, but seldom all that is allowed. */
	bench_heap_push(r->heap, r->now + decision->grace_ms / 2, LATER_STOPPED, job->attempt, job);
}

static void on_fail(struct replay *r, struct job *job, const struct place_decision *decision)
{
	if (job->state >= JOB_DONE)
		return;
	if (!job->event->never_runs)
		violation(r, &r->out->lost_jobs, "given up although it can run", decision->job);
	if (holds(job))
		account(r, job, 1);
	r->out->jobs_failed++;
	end_job(r, job, JOB_FAILED);
}

static void on_decision(const struct place_decision *decision, void *ctx)
{
	struct replay *r = ctx;
	struct job *job;

	if (decision->kind != PLACE_START && decision->kind != PLACE_EVICT &&
	    decision->kind != PLACE_FAIL)
		return;
	job = g_hash_table_lookup(r->jobs, decision->job);
	if (!job) {
		violation(r, &r->out->doubled_jobs, "decision on an unknown job", decision->job);
		return;
	}
	if (decision->kind == PLACE_START)
		on_start(r, job, decision);
	else if (decision->kind == PLACE_EVICT)
		on_evict(r, job, decision);
	else
		on_fail(r, job, decision);
}

static double thread_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void step(struct replay *r, double event_us)
{
	double start = thread_us();
	uint64_t delay = r->policy->step(r->now, on_decision, r, r->policy->ctx);
	double spent = thread_us() - start + event_us;
	struct err err;

	g_array_append_val(r->decision_us, spent);
	r->out->decisions++;
	r->step_due = r->now + (delay ? delay : 1);
	if (r->options->check && r->policy->check(&err, r->policy->ctx))
		violation(r, &r->out->guarantee_violations, err.message, "invariant");
}

static bool large_job(const struct replay *r, const struct place_shape *shape)
{
	uint32_t worker = r->fleet->largest_worker;

	return (shape->members > 1 && 2 * shape->accelerators > worker) ||
	       shape->accelerators >= worker;
}

static const struct place_organisation_spec *find_organisation(const struct replay *r,
							       const char *name)
{
	for (size_t i = 0; i < r->fleet->organisation_count; i++) {
		if (!strcmp(r->fleet->organisations[i].name, name))
			return &r->fleet->organisations[i];
	}
	return NULL;
}

static bool shape_inside(const struct place_shape *job, const struct place_shape *guarantee)
{
	return job->members <= guarantee->members && job->accelerators <= guarantee->accelerators &&
	       job->accelerators > 0 && (job->members == 1 || job->within <= guarantee->within);
}

/*
 * True if @job and every open job of its organisation that fits some guaranteed shape can
 * each have a guaranteed shape of its own. Only then is an immediate start owed.
 */
static bool fits_guarantee(struct replay *r, const struct job *job)
{
	const struct place_organisation_spec *organisation =
		find_organisation(r, job->event->job.organisation);
	bool *taken;
	bool fits = true;

	if (!organisation || !organisation->guarantee_count)
		return false;
	taken = g_new0(bool, organisation->guarantee_count);
	for (guint i = 0; i < r->all->len && fits; i++) {
		const struct job *other = g_ptr_array_index(r->all, i);
		const struct place_shape *shape = &other->event->job.shape;
		bool candidate = false;
		bool placed = false;

		if (other->state >= JOB_DONE ||
		    strcmp(other->event->job.organisation, organisation->name) != 0)
			continue;
		for (size_t g = 0; g < organisation->guarantee_count && !placed; g++) {
			if (!shape_inside(shape, &organisation->guarantees[g]))
				continue;
			candidate = true;
			if (!taken[g]) {
				taken[g] = true;
				placed = true;
			}
		}
		if (candidate && !placed)
			fits = false;
		if (other == job && !candidate)
			fits = false;
	}
	g_free(taken);
	return fits;
}

static void on_submit(struct replay *r, const struct bench_event *event)
{
	struct job *job = talloc_zero(r->mem, struct job);
	double start;
	struct err err;
	int ret;

	job->event = event;
	job->worker = talloc_zero_array(job, size_t, event->job.shape.members);
	job->mask = talloc_zero_array(job, uint64_t, event->job.shape.members);
	job->large = large_job(r, &event->job.shape);
	if (g_hash_table_lookup(r->jobs, event->job.id)) {
		violation(r, &r->out->lost_jobs, "submitted twice", event->job.id);
		return;
	}
	start = thread_us();
	ret = r->policy->submit(&event->job, r->now, &err, r->policy->ctx);
	if (ret) {
		violation(r, &r->out->lost_jobs, err.message, event->job.id);
		return;
	}
	g_hash_table_insert(r->jobs, (gpointer)event->job.id, job);
	g_ptr_array_add(r->all, job);
	r->open++;
	job->within_guarantee = fits_guarantee(r, job);
	bench_heap_push(r->heap, r->now + event->job.declared_ms * STARVED_FACTOR,
			LATER_STARVE_CHECK, 0, job);
	step(r, thread_us() - start);
}

static void on_cancel(struct replay *r, const char *id)
{
	struct job *job = g_hash_table_lookup(r->jobs, id);
	int ret;

	if (!job || job->state >= JOB_DONE)
		return;
	job->cancelled = true;
	ret = r->policy->cancel(id, r->now, r->policy->ctx);
	if (ret < 0) {
		violation(r, &r->out->lost_jobs, "unknown to the policy", id);
		return;
	}
	if (ret == 0) {
		if (holds(job))
			account(r, job, 1);
		r->out->jobs_cancelled++;
		end_job(r, job, JOB_CANCELLED);
	}
	step(r, 0);
}

static bool job_on_worker(const struct job *job, size_t worker)
{
	for (uint32_t i = 0; i < job->event->job.shape.members; i++) {
		if (job->worker[i] == worker)
			return true;
	}
	return false;
}

static void on_worker_down(struct replay *r, size_t index)
{
	struct worker *worker = &r->worker[index];

	if (!worker->free.up)
		return;
	for (guint i = 0; i < r->all->len; i++) {
		struct job *job = g_ptr_array_index(r->all, i);

		if (!holds(job) || !job_on_worker(job, index))
			continue;
		account(r, job, 1);
		lose_progress(r, job, periodic_checkpoint(job, r->now));
		job->state = JOB_WAITING;
		if (job->cancelled) {
			r->out->jobs_cancelled++;
			end_job(r, job, JOB_CANCELLED);
		}
	}
	worker->free.up = false;
	r->up -= worker->free.spec.accelerators;
	r->policy->worker_down(worker->free.spec.name, r->now, r->policy->ctx);
	step(r, 0);
}

static void worker_up(struct replay *r, size_t index)
{
	struct worker *worker = &r->worker[index];

	if (worker->free.up)
		return;
	worker->free.up = true;
	worker->free.mask = bench_fit_full_mask(worker->free.spec.accelerators);
	worker->free.cores = worker->free.spec.cores;
	worker->free.memory_mb = worker->free.spec.memory_mb;
	worker->bad = false;
	r->up += worker->free.spec.accelerators;
	r->policy->worker_up(&worker->free.spec, r->now, r->policy->ctx);
}

static void on_file_event(struct replay *r, const struct bench_event *event)
{
	gpointer index = NULL;

	if (event->kind == BENCH_SUBMIT) {
		on_submit(r, event);
		return;
	}
	if (event->kind == BENCH_CANCEL) {
		on_cancel(r, event->name);
		return;
	}
	if (!g_hash_table_lookup_extended(r->workers, event->name, NULL, &index))
		return;
	if (event->kind == BENCH_WORKER_DOWN) {
		on_worker_down(r, GPOINTER_TO_SIZE(index));
	} else if (event->kind == BENCH_WORKER_UP) {
		worker_up(r, GPOINTER_TO_SIZE(index));
		step(r, 0);
	} else {
		r->worker[GPOINTER_TO_SIZE(index)].bad = event->kind == BENCH_WORKER_BAD;
	}
}

static void on_started(struct replay *r, struct job *job)
{
	job->state = JOB_RUNNING;
	job->run_start_ms = r->now;
	if (!job->started_once)
		first_start(r, job);
	r->policy->started(job->event->job.id, job->attempt, r->now, r->policy->ctx);
	bench_heap_push(r->heap, r->now + job->event->actual_ms - job->saved_ms, LATER_FINISHED,
			job->attempt, job);
	step(r, 0);
}

static void on_start_failed(struct replay *r, struct job *job)
{
	size_t which;

	bad_worker(r, job, &which);
	account(r, job, 1);
	job->state = JOB_WAITING;
	r->policy->ended(job->event->job.id, job->attempt, PLACE_START_FAILED,
			 r->worker[which].free.spec.name, r->now, r->policy->ctx);
	step(r, 0);
}

static void on_finished(struct replay *r, struct job *job)
{
	double completion = (double)(r->now - job->event->time_ms) / MS_PER_S;

	account(r, job, 1);
	g_array_append_val(r->completion, completion);
	r->out->jobs_done++;
	end_job(r, job, JOB_DONE);
	r->policy->ended(job->event->job.id, job->attempt, PLACE_DONE, NULL, r->now,
			 r->policy->ctx);
	step(r, 0);
}

static void on_stopped(struct replay *r, struct job *job)
{
	uint64_t kept =
		job->evict_checkpoint ? progress(job, r->now) : periodic_checkpoint(job, r->now);

	account(r, job, 1);
	if (job->cancelled) {
		job->run_start_ms = 0;
		r->out->jobs_cancelled++;
		end_job(r, job, JOB_CANCELLED);
	} else {
		lose_progress(r, job, kept);
		job->state = JOB_WAITING;
		if (job->evict_checkpoint)
			r->policy->checkpointed(job->event->job.id, job->saved_ms, r->policy->ctx);
	}
	r->policy->ended(job->event->job.id, job->attempt, PLACE_STOPPED, NULL, r->now,
			 r->policy->ctx);
	step(r, 0);
}

/*
 * Could the job have started on what is free plus what borrowed work submitted after it
 * holds? Then its wait is the policy's choice and it counts as starved.
 */
static bool could_have_started(struct replay *r, const struct job *waiting)
{
	struct bench_free *clear = g_new(struct bench_free, r->fleet->worker_count);
	size_t index[PLACE_MEMBERS_MAX];
	uint64_t mask[PLACE_MEMBERS_MAX];
	bool fits;

	for (size_t i = 0; i < r->fleet->worker_count; i++)
		clear[i] = r->worker[i].free;
	for (guint i = 0; i < r->all->len; i++) {
		const struct job *job = g_ptr_array_index(r->all, i);

		if (!holds(job) || job->within_guarantee ||
		    job->event->time_ms <= waiting->event->time_ms)
			continue;
		for (uint32_t m = 0; m < job->event->job.shape.members; m++) {
			clear[job->worker[m]].mask |= job->mask[m];
			clear[job->worker[m]].cores += job->event->job.shape.cores;
			clear[job->worker[m]].memory_mb += job->event->job.shape.memory_mb;
		}
	}
	fits = bench_fit(clear, r->fleet->worker_count, &waiting->event->job.shape, false, index,
			 mask);
	g_free(clear);
	return fits;
}

static void on_starve_check(struct replay *r, struct job *job)
{
	if (job->started_once || job->state >= JOB_DONE || job->starved || job->event->never_runs)
		return;
	if (could_have_started(r, job)) {
		job->starved = true;
		violation(r, &r->out->starved_jobs, "starved", job->event->job.id);
		return;
	}
	bench_heap_push(r->heap, r->now + job->event->job.declared_ms + 1000, LATER_STARVE_CHECK, 0,
			job);
}

static void on_later(struct replay *r, const struct bench_heap_item *item)
{
	struct job *job = item->subject;

	if (item->kind == LATER_STARVE_CHECK) {
		on_starve_check(r, job);
		return;
	}
	if (item->attempt != job->attempt)
		return;
	if (item->kind == LATER_STARTED && job->state == JOB_STARTING)
		on_started(r, job);
	else if (item->kind == LATER_START_FAILED && job->state == JOB_STARTING)
		on_start_failed(r, job);
	else if (item->kind == LATER_FINISHED && job->state == JOB_RUNNING)
		on_finished(r, job);
	else if (item->kind == LATER_STOPPED && job->state == JOB_STOPPING)
		on_stopped(r, job);
}

static double longest_large_wait(const struct replay *r)
{
	uint64_t longest = 0;

	for (guint i = 0; i < r->all->len; i++) {
		const struct job *job = g_ptr_array_index(r->all, i);

		if (job->large && job->state == JOB_WAITING && !job->started_once &&
		    r->now - job->event->time_ms > longest)
			longest = r->now - job->event->time_ms;
	}
	return (double)longest / MS_PER_S;
}

static void write_timeline(struct replay *r, double fragmentation)
{
	if (!r->options->timeline || r->now < r->next_timeline)
		return;
	r->next_timeline = r->now + TIMELINE_STEP_MS;
	fprintf(r->options->timeline, "%.1f %.4f %.1f %.4f\n", (double)r->now / MS_PER_S,
		fragmentation, longest_large_wait(r),
		r->up ? (double)r->used / (double)r->up : 0.0);
}

static void advance(struct replay *r, uint64_t to)
{
	uint64_t end = to < r->window_end ? to : r->window_end;

	if (end > r->now) {
		double span = (double)(end - r->now);
		double fragmentation = r->policy->fragmentation(r->policy->ctx);

		r->used_area += span * (double)r->used;
		r->up_area += span * (double)r->up;
		r->fragmentation_area += span * fragmentation;
		write_timeline(r, fragmentation);
	}
	r->now = to;
}

static uint64_t next_time(const struct replay *r, size_t file_at)
{
	uint64_t next = r->step_due;
	uint64_t heap;

	if (bench_heap_peek(r->heap, &heap) && heap < next)
		next = heap;
	if (file_at < r->workload->event_count && r->workload->events[file_at].time_ms < next)
		next = r->workload->events[file_at].time_ms;
	return next;
}

static void run(struct replay *r)
{
	size_t file_at = 0;

	while (file_at < r->workload->event_count || r->open > 0) {
		uint64_t next = next_time(r, file_at);
		struct bench_heap_item item;
		uint64_t heap;

		if (next > r->window_end + DRAIN_LIMIT_MS)
			return;
		advance(r, next);
		if (file_at < r->workload->event_count &&
		    r->workload->events[file_at].time_ms <= r->now)
			on_file_event(r, &r->workload->events[file_at++]);
		else if (bench_heap_peek(r->heap, &heap) && heap <= r->now &&
			 bench_heap_pop(r->heap, &item))
			on_later(r, &item);
		else
			step(r, 0);
	}
}

static int by_value(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double quantile(GArray *values, double q)
{
	size_t rank;

	if (!values->len)
		return 0;
	g_array_sort(values, by_value);
	rank = (size_t)ceil(q * values->len);
	return g_array_index(values, double, rank ? rank - 1 : 0);
}

/* Jobs that never started or never ended still count, with the wait they have had. */
static void count_open_jobs(struct replay *r)
{
	for (guint i = 0; i < r->all->len; i++) {
		struct job *job = g_ptr_array_index(r->all, i);
		double wait = (double)(r->now - job->event->time_ms) / MS_PER_S;

		if (job->state >= JOB_DONE)
			continue;
		if (job->large && !job->started_once)
			g_array_append_val(r->large_wait, wait);
		if (job->event->job.urgent && !job->started_once && !job->event->never_runs)
			count_urgent(r, job);
		violation(r, &r->out->lost_jobs, "never ended", job->event->job.id);
	}
}

static void summarise(struct replay *r)
{
	struct bench_result *out = r->out;

	count_open_jobs(r);
	out->completion_p50_s = quantile(r->completion, 0.5);
	out->completion_p99_s = quantile(r->completion, 0.99);
	out->large_wait_p99_s = quantile(r->large_wait, 0.99);
	out->urgent_start_p99_s = quantile(r->urgent_start, 0.99);
	out->decision_p50_us = quantile(r->decision_us, 0.5);
	out->decision_p99_us = quantile(r->decision_us, 0.99);
	out->decision_max_us = quantile(r->decision_us, 1.0);
	out->lost_work_s = r->lost_ms / MS_PER_S;
	if (r->up_area > 0) {
		out->utilisation_raw_mean = r->used_area / r->up_area;
		out->utilisation_mean = (r->used_area - r->lost_ms) / r->up_area;
	}
	if (r->window_end)
		out->fragmentation_mean = r->fragmentation_area / (double)r->window_end;
}

static void set_up(struct replay *r)
{
	r->heap = bench_heap_create(r->mem);
	r->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	r->workers = g_hash_table_new(g_str_hash, g_str_equal);
	r->all = g_ptr_array_new();
	r->completion = g_array_new(FALSE, FALSE, sizeof(double));
	r->large_wait = g_array_new(FALSE, FALSE, sizeof(double));
	r->urgent_start = g_array_new(FALSE, FALSE, sizeof(double));
	r->decision_us = g_array_new(FALSE, FALSE, sizeof(double));
	r->worker = talloc_zero_array(r->mem, struct worker, r->fleet->worker_count);
	for (size_t i = 0; i < r->fleet->worker_count; i++) {
		r->worker[i].free.spec = r->fleet->workers[i];
		g_hash_table_insert(r->workers, (gpointer)r->fleet->workers[i].name,
				    GSIZE_TO_POINTER(i));
		worker_up(r, i);
	}
	for (size_t i = 0; i < r->workload->event_count; i++) {
		if (r->workload->events[i].kind == BENCH_SUBMIT)
			r->window_end = r->workload->events[i].time_ms;
	}
}

static void tear_down(struct replay *r)
{
	g_hash_table_destroy(r->jobs);
	g_hash_table_destroy(r->workers);
	g_ptr_array_free(r->all, TRUE);
	g_array_free(r->completion, TRUE);
	g_array_free(r->large_wait, TRUE);
	g_array_free(r->urgent_start, TRUE);
	g_array_free(r->decision_us, TRUE);
	talloc_free(r->mem);
}

void bench_replay(const struct bench_fleet *fleet, const struct bench_workload *workload,
		  const struct bench_policy *policy, const struct bench_replay_options *options,
		  struct bench_result *out)
{
	struct replay r = {
		.fleet = fleet,
		.workload = workload,
		.policy = policy,
		.options = options,
		.out = out,
		.mem = talloc_new(NULL),
	};

	memset(out, 0, sizeof(*out));
	set_up(&r);
	step(&r, 0);
	run(&r);
	summarise(&r);
	tear_down(&r);
}
