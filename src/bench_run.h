#ifndef JAYCOURSE_BENCH_RUN_H
#define JAYCOURSE_BENCH_RUN_H

#include "bench_fit.h"
#include "bench_heap.h"
#include "bench_replay.h"

#include <glib.h>

/**
 * DOC: State of one replay, shared by the replay and its judge
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
	uint64_t saved_ms; /* progress that a restart keeps */
	uint64_t granted_ms;
	size_t *worker;
	uint64_t *mask;
};

struct bench_worker {
	struct bench_free free; /* as granted, whatever the policy believes */
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
	GPtrArray *all;
	struct bench_worker *worker;
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

/** bench_violation() - count a violation and keep the text of the first one */
void bench_violation(struct bench_run *r, uint64_t *counter, const char *text, const char *subject);

/** bench_holds() - true while the job holds accelerators */
bool bench_holds(const struct bench_job *job);

/** bench_first_start() - record the waits that end with a job's first start */
void bench_first_start(struct bench_run *r, struct bench_job *job);

/**
 * bench_fits_guarantee() - is an immediate start owed?
 *
 * True if the job and every open job of its organisation that fits some guaranteed shape
 * can each have a guaranteed shape of its own.
 */
bool bench_fits_guarantee(struct bench_run *r, const struct bench_job *job);

/**
 * bench_could_have_started() - is a long wait the policy's choice?
 *
 * True if the job fits what is free plus what borrowed work submitted after it holds.
 */
bool bench_could_have_started(struct bench_run *r, const struct bench_job *waiting);

/** bench_summarise() - fill the result at the end of the replay */
void bench_summarise(struct bench_run *r);

#endif
