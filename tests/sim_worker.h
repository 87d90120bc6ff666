#ifndef JAYCOURSE_SIM_WORKER_H
#define JAYCOURSE_SIM_WORKER_H

#include "runner.h"
#include "sim_core.h"

/**
 * DOC: Simulated workers, and the check that no task has two runs
 *
 * A worker behaves as its interface says: a call without an answer may be carried out seconds
 * later, also after newer calls and by a later incarnation under the same identifier.
 */

struct sim_worker;

/** struct sim_worker_faults - what may happen to the calls of a worker */
struct sim_worker_faults {
	double late;	   /* share of calls that get no answer and are carried out later */
	double lost;	   /* share that is carried out and gets no answer */
	bool mute;	   /* no call is carried out or answered */
	double late_beats; /* share of announcements that arrive later */
};

/** sim_runs_create() - begin to check; counts violations of all workers */
void sim_runs_create(void);
int sim_runs_violations(void);
/** sim_runs_done() - true if a run of the task has ended as done and that was noted */
bool sim_runs_done(const char *task);

struct sim_worker *sim_worker_create(int host, const char *node);
struct runner_calls *sim_worker_calls(struct sim_worker *worker, struct sim_process *agent);
struct sim_worker_faults *sim_worker_faults(struct sim_worker *worker);

/** sim_worker_attach() - the agent that hears the announcements; NULL: none */
void sim_worker_attach(struct sim_worker *worker, struct sim_process *agent, struct runner *runner);

/**
 * sim_worker_crash() - the worker ends with all its runs and starts again
 * @down_ms: until the start
 * @same_id: under the same identifier
 * @dark: until then its address does not answer, instead of refusing connections
 */
void sim_worker_crash(struct sim_worker *worker, uint32_t down_ms, bool same_id, bool dark);

#endif
