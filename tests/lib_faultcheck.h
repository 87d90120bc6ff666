#ifndef JAYCOURSE_LIB_FAULTCHECK_H
#define JAYCOURSE_LIB_FAULTCHECK_H

#include "lib_faultload.h"

/**
 * DOC: Checks of the tasks that all workers ran, restarted and frozen ones included
 */

struct faultcheck;

struct faultcheck_result {
	unsigned int lost;	    /* did not end, or ended as done without having run */
	unsigned int doubled;	    /* attempts that overlapped or ran twice */
	unsigned int partial_gangs; /* ran with only part of its members for longer than 4 s */
	unsigned int done;
	unsigned int failed;
	unsigned int failed_idempotent; /* could have been tried again */
	unsigned int cancelled;
};

/** faultcheck_create() - an empty record; freed by faultcheck_free() */
struct faultcheck *faultcheck_create(void);

/**
 * faultcheck_add() - enter a worker's history
 * @ended_ms: when the worker ended; tasks that ran then ended then. UINT64_MAX: it still runs
 */
void faultcheck_add(struct faultcheck *check, const char *target, const json_t *history,
		    uint64_t ended_ms);

/** faultcheck_frozen() - a worker's process ran nothing between two times */
void faultcheck_frozen(struct faultcheck *check, const char *target, uint64_t from_ms,
		       uint64_t until_ms);

/** faultcheck_jobs() - check all accepted jobs; prints each fault found */
struct faultcheck_result faultcheck_jobs(struct faultcheck *check, const GPtrArray *jobs);

void faultcheck_free(struct faultcheck *check);

#endif
