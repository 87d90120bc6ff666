#ifndef JAYCOURSE_WORKER_H
#define JAYCOURSE_WORKER_H

#include "err.h"
#include "metrics.h"

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/**
 * DOC: Client of the task API of the worker on the agent's host
 *
 * HTTP calls to the worker: PUT /tasks/ID (start under a lease), POST /tasks/ID/renew,
 * POST /tasks/ID/checkpoint, POST /tasks/ID/throttle, DELETE /tasks/ID (stop), GET /tasks
 * (states, and usage that may be out of date). All functions run on the event loop's thread.
 *
 * Leases. The agent renews the lease of each running task. The worker stops a task whose lease
 * expires, so no task outlives its agent for long. Once the worker has announced its clock, each
 * start and renewal carries the end of the lease by that clock. So a worker that was frozen and
 * reads the request late finds that the lease has expired already.
 *
 * Incarnations. Each start and renewal names the incarnation of the worker that it is meant for,
 * and the worker refuses it with 409 if that is not its own. A restarted worker may be reached
 * before it has announced itself, and its clock may start anew, so that the end of a lease by the
 * former clock would be far ahead.
 */

struct worker;

#define TASK_LEASE_MS 3000 /* time until the task of a dead or frozen agent stops */
/* A task whose lease is no longer renewed has stopped after this time, also if clocks step. */
#define TASK_LEASE_EXPIRY_MS (TASK_LEASE_MS + 1000)

enum worker_task_state {
	WORKER_TASK_RUNNING = 1,
	WORKER_TASK_DONE,
	WORKER_TASK_FAILED,
	WORKER_TASK_STOPPED,
	WORKER_TASK_UNKNOWN, /* the worker does not know the task */
};

struct worker_task_spec {
	const char *id; /* "<job>.<attempt>.<member>" */
	uint64_t accelerator_mask;
	uint32_t cores;
	uint32_t memory_mb;
	const char *payload; /* opaque JSON text for the worker */
};

struct worker_handlers {
	/* A task has ended without a stop, its lease has expired, or the worker has lost it. */
	void (*on_task)(const char *id, enum worker_task_state state, const char *reason,
			void *ctx);
	void (*on_usage)(const char *id, uint32_t percent, uint64_t checkpoint_ms, void *ctx);
	void *ctx;
};

/**
 * worker_create() - client of one incarnation of the worker
 * @url: base address that the worker has announced, "http://ip:port"
 * @incarnation: as announced; 0: unknown
 */
struct worker *worker_create(TALLOC_CTX *mem, struct tevent_context *ev, const char *url,
			     uint64_t incarnation, const struct worker_handlers *handlers,
			     struct metrics *metrics);

/**
 * worker_announced() - an announcement of this client's incarnation of the worker was received
 * @clock_ms: worker's clock when it sent the announcement; 0: not announced
 * @now_ms: util_clock_ms() when the announcement was received
 *
 * The resulting estimate of the worker's clock is never ahead of that clock. Starts that the worker
 * did not answer and doesn't know have had no effect, since it has not restarted.
 */
void worker_announced(struct worker *worker, uint64_t clock_ms, uint64_t now_ms);

/* What the worker says of its tasks when it is asked at its address. */
enum worker_identity {
	WORKER_SAME = 1,  /* it lists a task of this client */
	WORKER_GONE,	  /* nothing listens there, or it lists none of the running tasks */
	WORKER_UNDECIDED, /* no answer, an unreadable one, or no task had been running */
};

/** worker_busy() - true if the worker has tasks of this client, or may have */
bool worker_busy(const struct worker *worker);

/**
 * worker_identify() - ask the worker whether it still is the one that has this client's tasks
 * @done: called once, unless the client is freed before
 *
 * The task API does not tell the incarnation of a worker, but a restarted worker has no tasks.
 *
 * Return: 0; -ERR_EXISTS while an answer is awaited; -ERR_UNAVAILABLE when out of memory.
 */
int worker_identify(struct worker *worker, void (*done)(enum worker_identity identity, void *ctx),
		    void *ctx);

/**
 * worker_start_task() - start a task
 * @done: status 0: the task runs; -ERR_OUTCOME_UNKNOWN: the worker did not answer, and the task
 *	may have run but is over; otherwise it is certain that it has not run and never will
 */
void worker_start_task(struct worker *worker, const struct worker_task_spec *spec,
		       void (*done)(int status, const char *reason, void *ctx), void *ctx);

/**
 * worker_stop_task() - stop a task, after a checkpoint if @checkpoint is set
 * @grace_ms: time-out of the checkpoint in ms; 0: STOP_TIMEOUT_MS
 * @done: called once the worker has confirmed the stop, or the lease must have expired;
 *	checkpoint_ms is 0 unless a checkpoint was taken for this stop
 */
void worker_stop_task(struct worker *worker, const char *id, bool checkpoint, uint32_t grace_ms,
		      void (*done)(int status, uint64_t checkpoint_ms, void *ctx), void *ctx);

/** worker_throttle_task() - set the throttle of a task to @percent; the answer is ignored */
void worker_throttle_task(struct worker *worker, const char *id, uint32_t percent);

#endif
