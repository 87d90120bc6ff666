#ifndef JAYCOURSE_LIB_FAULTPLAN_H
#define JAYCOURSE_LIB_FAULTPLAN_H

#include "lib_faultcheck.h"

/**
 * DOC: Makes a schedule of failures from a seed and carries it out
 */

struct faultplan_context {
	struct cluster *cluster;
	struct faultload *load;
	struct faultcheck *check;
	GPtrArray *caller_groups; /* struct callers, owned by the caller; a burst of requests adds
				     one */
	/* longest time from a leave or a freeze of the agent to the last start on the target */
	double after_leave_s_max;
};

struct faultplan;

/**
 * faultplan_create() - make the schedule
 * @context: borrowed, outlives the plan
 * @start_ms: no failure before this time after faultplan_run()
 * @end_ms: no failure begins after this time
 */
struct faultplan *faultplan_create(struct faultplan_context *context, uint64_t seed,
				   uint64_t start_ms, uint64_t end_ms);

/** faultplan_run() - carry out the schedule and repair all failures; false if a restart failed */
bool faultplan_run(struct faultplan *plan);

/** faultplan_events() - the schedule with the times at which its failures began; a new reference */
json_t *faultplan_events(const struct faultplan *plan);

void faultplan_free(struct faultplan *plan);

#endif
