#ifndef JAYCOURSE_GANGAGENT_H
#define JAYCOURSE_GANGAGENT_H

#include "slots.h"
#include "wire.h"
#include "worker.h"

/**
 * DOC: Gang members on one agent
 *
 * Handles the messages HOLD, START, RELEASE, STOP, GANG_PING and GANG_BROKEN with the member state
 * machine of gang.h, reserves accelerators through slots.h and runs tasks through worker.h. All
 * functions run on the event loop's thread.
 */

struct gangagent;

struct gangagent_deps {
	struct tevent_context *ev;
	struct wire *wire;
	struct slots *slots;
	struct metrics *metrics;
	const char *node; /* id of this node */
};

/** gangagent_create() - @deps: its pointers are borrowed and must outlive the object */
struct gangagent *gangagent_create(TALLOC_CTX *mem, const struct gangagent_deps *deps);

/**
 * gangagent_set_worker() - set the worker that runs the tasks
 * @worker: client of a worker that has announced itself; NULL: the worker has left
 *
 * When the worker changes or leaves, all members on this agent are stopped as lost.
 */
void gangagent_set_worker(struct gangagent *agent, struct worker *worker);

/**
 * gangagent_set_accepting() - accept or refuse new members
 * @accepting: false while the target leaves or the agent shuts down
 */
void gangagent_set_accepting(struct gangagent *agent, bool accepting);

/** gangagent_handle_message() - handle @msg; returns false if it is not for this module */
bool gangagent_handle_message(struct gangagent *agent, const char *peer, struct msg *msg);

/** gangagent_handle_task_end() - to be called by worker_handlers.on_task */
void gangagent_handle_task_end(struct gangagent *agent, const char *id,
			       enum worker_task_state state, const char *reason);

/** gangagent_handle_usage() - to be called by worker_handlers.on_usage */
void gangagent_handle_usage(struct gangagent *agent, const char *id, uint32_t percent,
			    uint64_t checkpoint_ms);

/** gangagent_count_active() - number of members that have not ended */
uint32_t gangagent_count_active(const struct gangagent *agent);

#endif
