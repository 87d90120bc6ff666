#ifndef JAYCOURSE_WORKER_INT_H
#define JAYCOURSE_WORKER_INT_H

#include "httpc.h"
#include "worker.h"
#include "workerjson.h"

/* Declarations shared by the files of the worker module; see worker.h. */

#define POLL_INTERVAL_MS 1000
#define RENEW_TIMEOUT_MS 900
#define START_TIMEOUT_MS 2000
#define STOP_TIMEOUT_MS 1000
#define STOP_RETRY_DELAY_MS 300
#define LEASE_EXPIRY_MARGIN_MS                                             \
	500 /* for scheduling delays when the worker stops an expired task \
	     */
#define LIST_MAX_BYTES (4 * 1024 * 1024)

enum task_phase {
	PHASE_STARTING, /* PUT in progress */
	PHASE_RUNNING,
	PHASE_CHECKPOINT, /* POST /checkpoint in progress before a stop; lease still renewed */
	PHASE_STOPPING,	  /* DELETE in progress or retried; lease no longer renewed */
};

struct task {
	struct task *next;
	struct worker *worker;
	char *id;
	enum task_phase phase;
	struct httpc_call *phase_call; /* the call of the phase, or NULL */
	struct httpc_call *renew_call; /* renewal of the lease in progress, or NULL */
	struct tevent_timer *retry_timer;
	uint64_t started_ms;	  /* time of the successful start */
	uint64_t renewed_ms;	  /* time when the last successful renewal was sent */
	uint64_t lease_expiry_ms; /* the lease has expired by then, unless it is renewed again */
	/* The worker that answers doesn't know this unanswered start; it may have restarted. */
	bool start_unknown;
	bool unlisted;	      /* the last complete list lacks the task */
	bool renewal_refused; /* the last answer to a renewal */
	bool stop_unknown;    /* the last answer to the stop was that the task is unknown */
	bool renewals_failed; /* stopped because no renewal was answered in time */
	void (*start_done)(int status, const char *reason, void *ctx);
	void *start_ctx;
	bool stop_requested;
	bool stop_checkpoint;
	bool checkpoint_taken; /* for this stop */
	uint32_t stop_grace_ms;
	void (*stop_done)(int status, uint64_t checkpoint_ms, void *ctx);
	void *stop_ctx;
};

struct worker {
	struct tevent_context *ev;
	struct httpc *http;
	char *url;
	uint64_t incarnation; /* 0: unknown */
	struct worker_handlers handlers;
	struct metrics *metrics;
	struct task *tasks;
	struct httpc_call *list_call;
	uint64_t list_requested_ms; /* time of the last request for the list */
	struct httpc_call *identify_call;
	uint64_t identify_requested_ms;
	int identify_errno; /* of the attempt to connect */
	void (*identify_done)(enum worker_identity identity, void *ctx);
	void *identify_ctx;
	bool clock_known;
	int64_t clock_offset_ms; /* to add to util_clock_ms(); never ahead of the worker's clock */
};

struct worker_call {
	const char *method;
	const char *path; /* suffix after the task's id, "" for the task itself */
	const char *body; /* JSON text or NULL */
	uint32_t timeout_ms;
	void (*done)(int status, int http_status, const char *body, size_t len, void *ctx);
	void *ctx;
};

/* worker.c */

struct task *worker_find_task(const struct worker *worker, const char *id);

/** worker_call_task() - call the worker; NULL when out of memory */
struct httpc_call *worker_call_task(struct worker *worker, const char *id,
				    const struct worker_call *call);

/** worker_report_task_ended() - remove @task, then call the handler, which may change all tasks */
void worker_report_task_ended(struct task *task, enum worker_task_state state, const char *reason);

/** worker_begin_delete() - stop @task and no longer renew its lease; may remove it */
void worker_begin_delete(struct task *task);

/** worker_new_lease() - a lease that begins now */
struct workerjson_lease worker_new_lease(const struct worker *worker);

/** worker_set_lease_expiry() - note a call of at most @call_timeout_ms that renews the lease */
void worker_set_lease_expiry(struct task *task, uint32_t call_timeout_ms);

/* workerpoll.c: renewals, the list of tasks and what follows from both */

void worker_schedule_poll(struct worker *worker);

#endif
