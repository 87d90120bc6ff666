#include "bench_run.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define URGENT_BOUND_MS 4100 /* limit for the start of urgent jobs */

void bench_count_violation(struct bench_run *run, uint64_t *counter, const char *text,
			   const char *subject)
{
	(*counter)++;
	if (getenv("DBGV"))
		fprintf(stderr, "violation at t=%.1f s: %s: %s\n", run->now_ms / 1000.0, subject,
			text);
	if (!run->out->first_violation[0])
		snprintf(run->out->first_violation, sizeof(run->out->first_violation),
			 "t=%.3f %.64s: %.256s", (double)run->now_ms / MS_PER_S, subject, text);
}

bool bench_job_holds_accelerators(const struct bench_job *job)
{
	return job->state == JOB_STARTING || job->state == JOB_RUNNING ||
	       job->state == JOB_STOPPING;
}

static void record_urgent_start(struct bench_run *run, struct bench_job *job)
{
	double wait = (double)(run->now_ms - job->event->time_ms) / MS_PER_S;

	g_array_append_val(run->urgent_start, wait);
	if (wait > run->out->urgent_start_max_s)
		run->out->urgent_start_max_s = wait;
}

void bench_record_first_start(struct bench_run *run, struct bench_job *job)
{
	double wait = (double)(run->now_ms - job->event->time_ms) / MS_PER_S;

	job->started_once = true;
	job->first_start_ms = run->now_ms;
	if (job->large)
		g_array_append_val(run->large_wait, wait);
	if (job->event->job.urgent && !job->event->never_runs)
		record_urgent_start(run, job);
	if (!job->within_guarantee || job->event->never_runs)
		return;
	if (wait > run->out->reclaim_max_s)
		run->out->reclaim_max_s = wait;
	if (wait * MS_PER_S > (double)(run->options->reclaim_grace_ms + URGENT_BOUND_MS))
		bench_count_violation(run, &run->out->guarantee_violations,
				      "job within its guarantee waited", job->event->job.id);
}

static const struct place_organisation_spec *find_organisation(const struct bench_run *run,
							       const char *name)
{
	for (size_t i = 0; i < run->fleet->organisation_count; i++) {
		if (!strcmp(run->fleet->organisations[i].name, name))
			return &run->fleet->organisations[i];
	}
	return NULL;
}

static bool shape_inside(const struct place_shape *job, const struct place_shape *guarantee)
{
	return job->members <= guarantee->members && job->accelerators <= guarantee->accelerators &&
	       job->accelerators > 0 && (job->members == 1 || job->within <= guarantee->within);
}

bool bench_fits_guarantee(struct bench_run *run, const struct bench_job *job)
{
	const struct place_organisation_spec *organisation =
		find_organisation(run, job->event->job.organisation);
	bool *assigned;
	bool fits = true;

	if (!organisation || !organisation->guarantee_count)
		return false;
	assigned = g_new0(bool, organisation->guarantee_count);
	for (guint i = 0; i < run->all_jobs->len && fits; i++) {
		const struct bench_job *other = g_ptr_array_index(run->all_jobs, i);
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
			if (!assigned[g]) {
				assigned[g] = true;
				placed = true;
			}
		}
		if (candidate && !placed)
			fits = false;
		if (other == job && !candidate)
			fits = false;
	}
	g_free(assigned);
	return fits;
}

bool bench_could_have_started(struct bench_run *run, const struct bench_job *waiting)
{
	struct bench_worker_capacity *clear =
		g_new(struct bench_worker_capacity, run->fleet->worker_count);
	size_t index[PLACE_MEMBERS_MAX];
	uint64_t mask[PLACE_MEMBERS_MAX];
	bool fits;

	for (size_t i = 0; i < run->fleet->worker_count; i++)
		clear[i] = run->worker[i].free;
	for (guint i = 0; i < run->all_jobs->len; i++) {
		const struct bench_job *job = g_ptr_array_index(run->all_jobs, i);

		if (!bench_job_holds_accelerators(job) || job->within_guarantee ||
		    job->event->time_ms <= waiting->event->time_ms)
			continue;
		for (uint32_t m = 0; m < job->event->job.shape.members; m++) {
			clear[job->worker[m]].mask |= job->mask[m];
			clear[job->worker[m]].cores += job->event->job.shape.cores;
			clear[job->worker[m]].memory_mb += job->event->job.shape.memory_mb;
		}
	}
	fits = bench_fit(clear, run->fleet->worker_count, &waiting->event->job.shape, false, index,
			 mask);
	g_free(clear);
	return fits;
}

static int compare_doubles(gconstpointer a, gconstpointer b)
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
	g_array_sort(values, compare_doubles);
	rank = (size_t)ceil(q * values->len);
	return g_array_index(values, double, rank ? rank - 1 : 0);
}

/* Jobs that have not ended count as lost; those not started add their wait so far. */
static void count_open_jobs(struct bench_run *run)
{
	for (guint i = 0; i < run->all_jobs->len; i++) {
		struct bench_job *job = g_ptr_array_index(run->all_jobs, i);
		double wait = (double)(run->now_ms - job->event->time_ms) / MS_PER_S;

		if (job->state >= JOB_DONE)
			continue;
		if (job->large && !job->started_once)
			g_array_append_val(run->large_wait, wait);
		if (job->event->job.urgent && !job->started_once && !job->event->never_runs)
			record_urgent_start(run, job);
		bench_count_violation(run, &run->out->lost_jobs, "never ended", job->event->job.id);
	}
}

void bench_summarise(struct bench_run *run)
{
	struct bench_result *out = run->out;

	count_open_jobs(run);
	out->completion_p50_s = quantile(run->completion, 0.5);
	out->completion_p99_s = quantile(run->completion, 0.99);
	out->large_wait_p99_s = quantile(run->large_wait, 0.99);
	out->urgent_start_p99_s = quantile(run->urgent_start, 0.99);
	out->decision_p50_us = quantile(run->decision_us, 0.5);
	out->decision_p99_us = quantile(run->decision_us, 0.99);
	out->decision_max_us = quantile(run->decision_us, 1.0);
	out->lost_work_s = run->lost_ms / MS_PER_S;
	if (run->up_integral > 0) {
		out->utilisation_raw_mean = run->used_integral / run->up_integral;
		out->utilisation_mean = (run->used_integral - run->lost_ms) / run->up_integral;
	}
	if (run->window_end_ms)
		out->fragmentation_mean = run->fragmentation_integral / (double)run->window_end_ms;
}
