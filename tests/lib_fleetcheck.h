#ifndef JAYCOURSE_LIB_FLEETCHECK_H
#define JAYCOURSE_LIB_FLEETCHECK_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Record of what callers and workers of the fleet scheduler see, and its checks
 *
 * All times are by util_clock_ms(). A worker that is restarted is another worker here. An end by a
 * lease that is over counts from the end of the lease.
 */

#define FLEETCHECK_STEPS_MAX 4
#define FLEETCHECK_NEVER UINT64_MAX
#define FLEETCHECK_EVACUATE_MS 5000 /* the setting evacuate_ms of the entries */

struct fleetcheck;

/**
 * struct fleetcheck_job - what a caller knows of a job
 * @steps: number of tasks of each step; 0 after the last one
 * @gang: the step is a gang, whose tasks are done as soon as one is
 * @accepted: a submission was accepted
 * @unclear: the outcome of a submission is unknown
 * @refused: a submission was answered as not run
 * @pending: a submission has no answer yet
 * @cancelled_ms: when a cancellation was acknowledged, or FLEETCHECK_NEVER
 * @cancel_sent: a cancellation was requested
 * @completed_ms: when the job was first shown as completed, or FLEETCHECK_NEVER
 */
struct fleetcheck_job {
	char id[20];
	unsigned int steps[FLEETCHECK_STEPS_MAX];
	bool gang[FLEETCHECK_STEPS_MAX];
	bool accepted;
	bool unclear;
	bool refused;
	bool pending;
	bool cancel_sent;
	uint64_t cancelled_ms;
	uint64_t completed_ms;
	char state[16];
};

/** fleetcheck_create() - create an empty record; @seed is printed with each violation */
struct fleetcheck *fleetcheck_create(uint64_t seed);

/** fleetcheck_worker() - add a worker, or a new process of one; returns its number */
unsigned int fleetcheck_worker(struct fleetcheck *check, const char *name);

/** fleetcheck_zone() - the zone of a worker, which is "" until it is set */
void fleetcheck_zone(struct fleetcheck *check, unsigned int worker, const char *zone);

/**
 * fleetcheck_evacuated() - the store has acknowledged the evacuation of a zone
 *
 * Nothing may start there later than FLEETCHECK_EVACUATE_MS after it.
 */
void fleetcheck_evacuated(struct fleetcheck *check, const char *zone, uint64_t ms);

/** fleetcheck_returned() - the evacuation of a zone is being taken back */
void fleetcheck_returned(struct fleetcheck *check, const char *zone, uint64_t ms);

/** fleetcheck_disturbed() - the store or a link to it or to a worker is disturbed now */
void fleetcheck_disturbed(struct fleetcheck *check, uint64_t ms);

/** fleetcheck_line() - add a line of a worker's output, in the format of fake_minion */
void fleetcheck_line(struct fleetcheck *check, unsigned int worker, const char *line);

/** fleetcheck_worker_gone() - the worker was killed, which ended its runs */
void fleetcheck_worker_gone(struct fleetcheck *check, unsigned int worker, uint64_t ms);

/** fleetcheck_job() - add a job, owned by the record, to be filled in by the caller */
struct fleetcheck_job *fleetcheck_job(struct fleetcheck *check, const char *id);

/** fleetcheck_state() - a caller was shown a state of a job; "unknown" if the job was not found */
void fleetcheck_state(struct fleetcheck *check, struct fleetcheck_job *job, const char *state,
		      uint64_t ms);

/** fleetcheck_report() - print and count a violation that was found elsewhere, once a text */
void fleetcheck_report(struct fleetcheck *check, const char *kind, const char *text);

/** fleetcheck_run() - check the whole record and print new violations */
void fleetcheck_run(struct fleetcheck *check);

/** fleetcheck_finish() - check also that all accepted jobs have ended as they should */
void fleetcheck_finish(struct fleetcheck *check);

GPtrArray *fleetcheck_jobs(struct fleetcheck *check);

/** fleetcheck_count() - violations found of one kind, or of all kinds for NULL */
unsigned int fleetcheck_count(const struct fleetcheck *check, const char *kind);

/** fleetcheck_counts() - number of violations by kind; a new reference */
json_t *fleetcheck_counts(const struct fleetcheck *check);

/** fleetcheck_runs() - runs of tasks that workers have started */
unsigned int fleetcheck_runs(const struct fleetcheck *check);

void fleetcheck_free(struct fleetcheck *check);

#endif
