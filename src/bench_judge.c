#include "bench_run.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define URGENT_BOUND_MS 4100 /* start of urgent work */

void bench_violation(struct bench_run *r, uint64_t *counter, const char *text, const char *subject)
{
	(*counter)++;
	if (getenv("DBGV"))
		fprintf(stderr, "VIOL t=%.1f %s %s\n", r->now / 1000.0, subject, text);
	if (!r->out->first_violation[0])
		snprintf(r->out->first_violation, sizeof(r->out->first_violation),
			 "t=%.3f %.64s: %.256s", (double)r->now / MS_PER_S, subject, text);
}

bool bench_holds(const struct bench_job *job)
{
	return job->state == JOB_STARTING || job->state == JOB_RUNNING ||
	       job->state == JOB_STOPPING;
}

static void count_urgent(struct bench_run *r, struct bench_job *job)
{
	double wait = (double)(r->now - job->event->time_ms) / MS_PER_S;

	g_array_append_val(r->urgent_start, wait);
	if (wait > r->out->urgent_start_max_s)
		r->out->urgent_start_max_s = wait;
}

void bench_first_start(struct bench_run *r, struct bench_job *job)
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
		bench_violation(r, &r->out->guarantee_violations, "job within its guarantee waited",
				job->event->job.id);
}

static const struct place_organisation_spec *find_organisation(const struct bench_run *r,
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

bool bench_fits_guarantee(struct bench_run *r, const struct bench_job *job)
{
	const struct place_organisation_spec *organisation =
		find_organisation(r, job->event->job.organisation);
	bool *taken;
	bool fits = true;

	if (!organisation || !organisation->guarantee_count)
		return false;
	taken = g_new0(bool, organisation->guarantee_count);
	for (guint i = 0; i < r->all->len && fits; i++) {
		const struct bench_job *other = g_ptr_array_index(r->all, i);
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

bool bench_could_have_started(struct bench_run *r, const struct bench_job *waiting)
{
	struct bench_free *clear = g_new(struct bench_free, r->fleet->worker_count);
	size_t index[PLACE_MEMBERS_MAX];
	uint64_t mask[PLACE_MEMBERS_MAX];
	bool fits;

	for (size_t i = 0; i < r->fleet->worker_count; i++)
		clear[i] = r->worker[i].free;
	for (guint i = 0; i < r->all->len; i++) {
		const struct bench_job *job = g_ptr_array_index(r->all, i);

		if (!bench_holds(job) || job->within_guarantee ||
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
static void count_open_jobs(struct bench_run *r)
{
	for (guint i = 0; i < r->all->len; i++) {
		struct bench_job *job = g_ptr_array_index(r->all, i);
		double wait = (double)(r->now - job->event->time_ms) / MS_PER_S;

		if (job->state >= JOB_DONE)
			continue;
		if (job->large && !job->started_once)
			g_array_append_val(r->large_wait, wait);
		if (job->event->job.urgent && !job->started_once && !job->event->never_runs)
			count_urgent(r, job);
		bench_violation(r, &r->out->lost_jobs, "never ended", job->event->job.id);
	}
}

void bench_summarise(struct bench_run *r)
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
