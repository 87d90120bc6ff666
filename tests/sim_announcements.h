#ifndef JAYCOURSE_SIM_ANNOUNCEMENTS_H
#define JAYCOURSE_SIM_ANNOUNCEMENTS_H

#include "sim_faults.h"

/** DOC: Announcements of other writers, and what else makes a worker seem to be another one */

/**
 * sim_announcements_plan() - draw these faults of a day
 * @seed: of the day. They are drawn from a stream of their own, so that all other faults of the day
 *	are the same without them
 */
void sim_announcements_plan(uint64_t seed, const struct sim_fault_mix *faults);

#endif
