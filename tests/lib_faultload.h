#ifndef JAYCOURSE_LIB_FAULTLOAD_H
#define JAYCOURSE_LIB_FAULTLOAD_H

#include "lib_callers.h"

#include <glib.h>
#include <stdatomic.h>

/**
 * DOC: Jobs and configuration changes under failures
 *
 * A thread submits and cancels jobs, two threads are operators that race with changes, and one
 * thread watches which revision each entry has. All of them record what they were told.
 */

#define FAULTLOAD_OPERATORS 2

struct faultload_job {
	char id[32];
	char token[80];
	const char *class_name;
	unsigned int members;
	bool idempotent;
	bool cancelled; /* a cancellation was sent */
	bool two_ids;	/* two submissions of one key were accepted under two ids */
	bool ended;
	char state[16];
};

struct faultload_config {
	double in_force_s_max;
	unsigned int reverts;
	unsigned int accepted;
	unsigned int conflicts;
};

struct faultload;

/** faultload_start() - apply the classes used, start all threads */
struct faultload *faultload_start(struct cluster *c, uint64_t seed);

/** faultload_lock() - exclude threads that copy the addresses, while a process is restarted */
void faultload_lock(struct faultload *load);
void faultload_unlock(struct faultload *load);

/**
 * faultload_entry_available() - an entry can (not) be expected to learn a new revision
 * @since: util_clock_ms() since when, 0: it cannot
 */
void faultload_entry_available(struct faultload *load, unsigned int entry, uint64_t since);

/** faultload_burst() - submit a burst of jobs and cancel half of them */
void faultload_burst(struct faultload *load, unsigned int jobs);

/** faultload_stop() - no further jobs and changes; joins these threads */
void faultload_stop(struct faultload *load);

/** faultload_wait_jobs() - wait until every accepted job has ended; number that have not */
unsigned int faultload_wait_jobs(struct faultload *load, uint32_t timeout_ms);

/** faultload_jobs() - accepted jobs, struct faultload_job; borrowed; after faultload_stop() */
GPtrArray *faultload_jobs(struct faultload *load);

/** faultload_config_result() - stops the watch and reports on the revisions */
struct faultload_config faultload_config_result(struct faultload *load);

void faultload_free(struct faultload *load);

#endif
