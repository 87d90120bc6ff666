#ifndef JAYCOURSE_BENCH_RUN_H
#define JAYCOURSE_BENCH_RUN_H

#include "bench_fit.h"
#include "bench_heap.h"
#include "bench_replay.h"

#include <glib.h>

/**
 * DOC: State of one replay, shared by bench_replay.c and the evaluation in bench_evaluate.c
 */

#define MS_PER_S 1000.0

enum bench_job_state {
	JOB_WAITING,
	JOB_STARTING,
	JOB_RUNNING,
	JOB_STOPPING,
	JOB_DONE,
	JOB_FAILED,
	JOB_CANCELLED,
};

struct bench_job {
	const struct bench_event *event;
	enum bench_job_state state;
	bool cancelled;
	bool large;
	bool within_guarantee;
	bool evict_checkpoint;
	bool starved;
	bool started_once;
	uint32_t attempt;
	uint64_t first_start_ms;
	uint64_t run_start_ms;
	uint64_t saved_ms; /* progress kept across a restart */
	uint64_t granted_ms;
	size_t *worker;
	uint64_t *mask;
};

struct bench_worker {
	struct bench_worker_capacity free; /* by the replay's own accounting, not the policy's */
	bool bad;
};

struct bench_run {
	const struct bench_fleet *fleet;
	const struct bench_workload *workload;
	const struct bench_policy *policy;
	const struct bench_replay_options *options;
	struct bench_result *out;
	struct bench_heap *heap;
	GHashTable *jobs;    /* id to struct bench_job */
	GHashTable *workers; /* name to index */
	GPtrArray *all_jobs;
	struct bench_worker *worker;
	uint64_t now_ms;
	uint64_t window_end_ms; /* time of the last submission */
	uint64_t step_due_ms;
	uint64_t open_jobs;	    /* jobs that have not ended */
	uint64_t used_accelerators; /* granted accelerators */
	uint64_t up_accelerators;   /* accelerators of healthy workers */
	double used_integral;	    /* integral of used_accelerators, in accelerator milliseconds */
	double up_integral;	    /* integral of up_accelerators */
	double fragmentation_integral; /* integral of the fragmentation over time */
	double lost_ms;		       /* accelerator milliseconds */
	uint64_t next_timeline_ms;
	GArray *completion;
	GArray *large_wait;
	GArray *urgent_start;
	GArray *decision_us;
	TALLOC_CTX *mem;
};

/** bench_count_violation() - count a violation; the result keeps the text of the first one */
void bench_count_violation(struct bench_run *run, uint64_t *counter, const char *text,
			   const char *subject);

/** bench_job_holds_accelerators() - true while the job holds accelerators */
bool bench_job_holds_accelerators(const struct bench_job *job);

/** bench_record_first_start() - record the wait of a job that starts for the first time */
void bench_record_first_start(struct bench_run *run, struct bench_job *job);

/**
 * bench_fits_guarantee() - check whether the guarantee entitles a job to an immediate start
 *
 * Return: true if the job and all other open jobs of its organisation that fit a guaranteed shape
 * can each be assigned a different guaranteed shape.
 */
bool bench_fits_guarantee(struct bench_run *run, const struct bench_job *job);

/**
 * bench_could_have_started() - check whether the policy is the reason for a long wait
 *
 * Return: true if the job fits into the free capacity plus the capacity of jobs that were submitted
 * later and run outside their organisation's guarantee.
 */
bool bench_could_have_started(struct bench_run *run, const struct bench_job *waiting);

/** bench_summarise() - fill the result at the end of the replay */
void bench_summarise(struct bench_run *run);

#endif
