#ifndef JAYCOURSE_GANGAGENT_H
#define JAYCOURSE_GANGAGENT_H

#include "slots.h"
#include "wire.h"
#include "worker.h"

/**
 * DOC: Gang members on one agent
 *
 * Handles HOLD, START, RELEASE, STOP, GANG_PING and GANG_BROKEN with the state machine of gang.h,
 * takes accelerators from slots.h and runs tasks through worker.h. Runs on the loop thread.
 */

struct gangagent;

struct gangagent_deps {
	struct tevent_context *ev;
	struct wire *wire;
	struct slots *slots;
	struct metrics *metrics;
	const char *node; /* own node id */
};

/* All pointers in @deps are borrowed and must outlive the object. */
struct gangagent *gangagent_create(TALLOC_CTX *mem, const struct gangagent_deps *deps);

/**
 * gangagent_set_worker() - the worker has announced itself, or has left (NULL)
 *
 * With NULL every member here is stopped as lost.
 */
void gangagent_set_worker(struct gangagent *g, struct worker *worker);

/** gangagent_set_accepting() - false while the target leaves or the agent shuts down */
void gangagent_set_accepting(struct gangagent *g, bool accepting);

/** gangagent_message() - true if the message was one for this module */
bool gangagent_message(struct gangagent *g, const char *peer, struct msg *msg);

/** gangagent_task() - forward of worker_handlers.on_task */
void gangagent_task(struct gangagent *g, const char *id, enum worker_task_state state,
		    const char *reason);

/** gangagent_usage() - forward of worker_handlers.on_usage */
void gangagent_usage(struct gangagent *g, const char *id, uint32_t percent, uint64_t checkpoint_ms);

/** gangagent_active() - number of members held, starting or running */
uint32_t gangagent_active(const struct gangagent *g);

#endif
