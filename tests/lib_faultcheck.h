#ifndef JAYCOURSE_LIB_FAULTCHECK_H
#define JAYCOURSE_LIB_FAULTCHECK_H

#include "lib_faultload.h"

/**
 * DOC: Checks the tasks that all workers ran, including workers that were restarted or frozen
 */

struct faultcheck;

struct faultcheck_result {
	unsigned int lost;    /* not ended, done without a run, or cancelled unasked */
	unsigned int doubled; /* with overlapping attempts or a second run that is not allowed */
	unsigned int partial_gangs; /* ran with only part of its members for longer than 4 s */
	unsigned int done;
	unsigned int failed;
	unsigned int failed_idempotent; /* failed although it may be retried */
	unsigned int cancelled;
};

/** faultcheck_create() - create an empty record; freed by faultcheck_free() */
struct faultcheck *faultcheck_create(void);

/**
 * faultcheck_add() - add a worker's history
 * @ended_ms: time at which the worker ended, which also ended its running tasks; UINT64_MAX if it
 * still runs
 */
void faultcheck_add(struct faultcheck *check, const char *target, const json_t *history,
		    uint64_t ended_ms);

/** faultcheck_add_freeze() - record that a worker's process was suspended between two times */
void faultcheck_add_freeze(struct faultcheck *check, const char *target, uint64_t from_ms,
			   uint64_t until_ms);

/** faultcheck_check_jobs() - check all accepted jobs and print each fault found */
struct faultcheck_result faultcheck_check_jobs(struct faultcheck *check, const GPtrArray *jobs);

void faultcheck_free(struct faultcheck *check);

#endif
