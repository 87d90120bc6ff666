#ifndef JAYCOURSE_WORKER_H
#define JAYCOURSE_WORKER_H

#include "err.h"
#include "metrics.h"

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/**
 * DOC: Tasks on the worker beside the agent
 *
 * HTTP calls to the worker: PUT /tasks/ID (start under a lease), POST /tasks/ID/renew,
 * POST /tasks/ID/checkpoint, POST /tasks/ID/throttle, DELETE /tasks/ID (stop), GET /tasks
 * (states and lagging usage). Start and renewal say when the lease ends by the worker's own
 * clock, once the worker has announced it: one that a frozen worker reads late has ended
 * already. Runs on the loop thread. The agent renews the lease of each
 * running task; a worker stops a task whose lease lapses, so a dead agent leaves no task.
 */

struct worker;

#define WORKER_LEASE_MS 3000 /* a task of a dead or frozen agent stops after this */

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
	/* A task ended by itself or vanished; also called for tasks the worker lost. */
	void (*on_task)(const char *id, enum worker_task_state state, const char *reason,
			void *ctx);
	void (*on_usage)(const char *id, uint32_t percent, uint64_t checkpoint_ms, void *ctx);
	void *ctx;
};

/** worker_create() - @url: base address the worker announced, "http://ip:port" */
struct worker *worker_create(TALLOC_CTX *mem, struct tevent_context *ev, const char *url,
			     const struct worker_handlers *handlers, struct metrics *metrics);

/**
 * worker_set_clock() - the worker's clock, from an announcement
 * @clock_ms: worker's clock when it sent the announcement; 0 when it does not say
 * @now_ms: util_clock_ms() at the receipt
 *
 * The estimate made from it is never ahead of the worker's clock.
 */
void worker_set_clock(struct worker *w, uint64_t clock_ms, uint64_t now_ms);

/** worker_start() - status 0: runs; otherwise it certainly does not run and will not */
void worker_start(struct worker *w, const struct worker_task_spec *spec,
		  void (*done)(int status, const char *reason, void *ctx), void *ctx);

/**
 * worker_stop() - stop a task, after a checkpoint if asked
 *
 * @done is called once the worker has confirmed, or after the lease must have lapsed.
 */
void worker_stop(struct worker *w, const char *id, bool checkpoint, uint32_t grace_ms,
		 void (*done)(int status, uint64_t checkpoint_ms, void *ctx), void *ctx);

void worker_throttle(struct worker *w, const char *id, uint32_t percent);

#endif
