#ifndef JAYCOURSE_LIB_FAULTLOAD_H
#define JAYCOURSE_LIB_FAULTLOAD_H

#include "lib_callers.h"

#include <glib.h>
#include <stdatomic.h>

/**
 * DOC: Jobs and configuration changes under failures
 *
 * One thread submits and cancels jobs, two threads act as operators whose configuration changes
 * race, and one thread polls the configuration revision of each entry. All of them record the
 * answers that they get.
 */

#define FAULTLOAD_OPERATORS 2

struct faultload_job {
	char id[32];
	char token[80];
	const char *class_name;
	unsigned int members;
	bool idempotent;
	bool cancelled;	   /* a cancellation was sent */
	bool duplicate_id; /* submissions under one key were accepted with two ids */
	bool ended;
	char state[16];
};

struct faultload_config {
	double in_force_s_max; /* longest time from acceptance to an entry's use of a revision */
	unsigned int reverts;  /* accepted changes that were lost or undone */
	unsigned int accepted;
	unsigned int conflicts; /* changes answered with 409 */
};

struct faultload;

/** faultload_start() - apply the class plain-run, start all threads; NULL if it was not accepted */
struct faultload *faultload_start(struct cluster *cluster, uint64_t seed);

/** faultload_lock() - keep other threads from reading the cluster's addresses while a process
 * is restarted */
void faultload_lock(struct faultload *load);
void faultload_unlock(struct faultload *load);

/**
 * faultload_set_available_since() - record from when on an entry should learn of new revisions
 * @since: that time by util_clock_ms(); 0 while the entry cannot learn of revisions
 */
void faultload_set_available_since(struct faultload *load, unsigned int entry, uint64_t since);

/** faultload_burst() - make the job thread submit a burst of jobs and cancel half of them */
void faultload_burst(struct faultload *load, unsigned int jobs);

/** faultload_stop() - submit no further jobs and changes; joins these threads */
void faultload_stop(struct faultload *load);

/** faultload_wait_jobs() - wait until every accepted job has ended; returns the number of jobs that
 * have not */
unsigned int faultload_wait_jobs(struct faultload *load, uint32_t timeout_ms);

/** faultload_jobs() - accepted jobs as struct faultload_job, owned by @load; call after
 * faultload_stop() */
GPtrArray *faultload_jobs(struct faultload *load);

/** faultload_config_result() - stop polling the entries and report on the revisions */
struct faultload_config faultload_config_result(struct faultload *load);

void faultload_free(struct faultload *load);

#endif
