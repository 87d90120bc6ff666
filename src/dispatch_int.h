#ifndef JAYCOURSE_DISPATCH_INT_H
#define JAYCOURSE_DISPATCH_INT_H

#include "dispatch.h"
#include "retry.h"

#include <glib.h>

/* Shared by dispatch.c, which queues and places requests, and attempt.c, which talks to agents. */

/*
 * Time in which the agent may start a request. The agent does not start it later, so after this
 * time the target either has started the request or never will.
 */
#define DISPATCH_START_TIMEOUT_MS 1000
#define DISPATCH_STARTED_MARGIN_MS 200 /* added for the delivery of STARTED */
#define DISPATCH_QUERY_TIMEOUT_MS 1000 /* from ATTEMPT_QUERY to ATTEMPT_INFO */
#define DISPATCH_SLOTS_FULL_MAX 16     /* refusals by full targets that cost no retry budget */

struct dispatch {
	struct dispatch_deps deps;
	struct queue *queue;
	struct route *route;
	struct retry *retry;
	GHashTable *attempts;	/* attempt id to struct request_attempt */
	GHashTable *latencies;	/* class name to struct class_latency */
	struct request *active; /* list of the requests that have not ended */
	size_t active_count;
	uint64_t last_attempt_id;
	uint64_t last_sweep_ms;
	struct tevent_timer *tick_timer;
	bool sending; /* dispatch_send_waiting() is running; keeps it from recursing */
	int metric_requests;
	int metric_late;
	int metric_active;
	int metric_waiting;
};

/** dispatch_send_waiting() - send a service's waiting requests while targets have free slots */
void dispatch_send_waiting(struct dispatch *dispatch, const char *service);

/** dispatch_finish() - close the attempts of a request whose answer has ended, and release it */
void dispatch_finish(struct dispatch *dispatch, struct request *request);

/** dispatch_refuse() - answer with the request's err, count the refusal and finish the request */
void dispatch_refuse(struct dispatch *dispatch, struct request *request,
		     enum request_outcome outcome);

/**
 * dispatch_retry() - retry after a backoff, for an attempt that failed or was not run
 * @reason: label of the retry counter
 *
 * Refuses the request when its deadline has passed or the retry budget is used up. The calling
 * function ensures that another run is allowed.
 */
void dispatch_retry(struct dispatch *dispatch, struct request *request, const char *reason);

/** dispatch_requeue() - put a request at the head of its queue; spends no retry budget */
void dispatch_requeue(struct dispatch *dispatch, struct request *request);

/**
 * dispatch_exclude_peer() - do not send the request to @peer again
 *
 * Only the latest ROUTE_EXCLUDE_MAX peers are kept, and a retry ignores them all if no other
 * target has a free slot.
 */
void dispatch_exclude_peer(struct request *request, const char *peer);

/** dispatch_record_latency() - add @us to the mean latency of a class, in microseconds */
void dispatch_record_latency(struct dispatch *dispatch, const char *class_name, uint64_t us);

/**
 * attempt_send() - send a request to an agent
 *
 * Return: 0, or a negative error when the request was not delivered.
 */
int attempt_send(struct dispatch *dispatch, struct request *request,
		 const struct route_choice *choice);

/**
 * attempt_query() - ask the agent named in a claim for the run of the request's key
 *
 * The agent sends the answer of a run that it knows. Otherwise it fences the key, so that a
 * request sent earlier does not start any more.
 *
 * Return: 0, or a negative error when the query was not delivered.
 */
int attempt_query(struct dispatch *dispatch, struct request *request, const char *peer);

/** attempt_close() - release an attempt; @cancel: also send CANCEL to the agent */
void attempt_close(struct dispatch *dispatch, struct request_attempt *attempt,
		   enum route_result result, bool cancel);

/**
 * attempt_begin_answer() - begin an answer that has no END yet
 *
 * Called on each tick. Begins only answers of requests that cannot be retried; others are held
 * back up to REQUEST_HOLD_BACK_BYTES. A short answer usually ends before the next tick, so that
 * the caller still gets an error object if it turns out incomplete.
 */
void attempt_begin_answer(struct request_attempt *attempt);

/** attempt_handle_timeout() - handle an attempt whose STARTED or ATTEMPT_INFO is overdue */
void attempt_handle_timeout(struct dispatch *dispatch, struct request_attempt *attempt);

/** attempt_lost() - give up an attempt whose agent is gone, failed or broke the protocol */
void attempt_lost(struct dispatch *dispatch, struct request_attempt *attempt, const char *reason);

#endif
