#ifndef JAYCOURSE_DISPATCH_INT_H
#define JAYCOURSE_DISPATCH_INT_H

#include "dispatch.h"
#include "retry.h"

#include <glib.h>

/* Shared by dispatch.c, which decides, and attempt.c, which talks to agents. */

/*
 * Bound for STARTED. The agent does not start a request after it, so its target is either
 * running the request by then or never will.
 */
#define DISPATCH_START_MS 1000
#define DISPATCH_START_SPARE_MS 200 /* for STARTED to arrive */
#define DISPATCH_QUERY_MS 1000	    /* for ATTEMPT_INFO to arrive */
#define DISPATCH_BOUNCES_MAX 16	    /* full targets met before the request counts a retry */

struct dispatch {
	struct dispatch_deps deps;
	struct queue *queue;
	struct route *route;
	struct retry *retry;
	GHashTable *attempts;  /* id to struct request_attempt */
	GHashTable *latencies; /* class to struct class_latency */
	struct request *active;
	size_t active_count;
	uint64_t last_id;
	uint64_t last_sweep_ms;
	struct tevent_timer *tick;
	bool pumping;
	int requests;
	int late;
	int gauge_active;
	int gauge_waiting;
};

/** dispatch_pump() - send waiting requests of a service while its targets have room */
void dispatch_pump(struct dispatch *d, const char *service);

/** dispatch_finish() - the answer is settled: forget the request */
void dispatch_finish(struct dispatch *d, struct request *r);

/** dispatch_refuse() - answer with r->err, count the refusal and finish */
void dispatch_refuse(struct dispatch *d, struct request *r, enum request_outcome outcome);

/**
 * dispatch_retry() - start over after an attempt that failed or was not run
 * @reason: label of the retry counter
 *
 * The caller has made sure that another run is allowed.
 */
void dispatch_retry(struct dispatch *d, struct request *r, const char *reason);

/** dispatch_requeue() - back to the head of the queue without spending the retry budget */
void dispatch_requeue(struct dispatch *d, struct request *r);

void dispatch_exclude(struct request *r, const char *peer);

/** dispatch_learn() - an answer of a class took @us */
void dispatch_learn(struct dispatch *d, const char *class_name, uint64_t us);

/** attempt_send() - send to an agent; a negative error means that it was not delivered */
int attempt_send(struct dispatch *d, struct request *r, const char *peer, int64_t clock_offset_ms);

/** attempt_query() - ask the agent of a claim what became of the key */
int attempt_query(struct dispatch *d, struct request *r, const char *peer);

/** attempt_close() - forget an attempt; @cancel tells the agent */
void attempt_close(struct dispatch *d, struct request_attempt *a, enum route_result result,
		   bool cancel);

/**
 * attempt_tick() - pass on an answer that has no END yet
 *
 * Only one that cannot be retried; the others are held back up to REQUEST_HOLD_BACK. Short
 * answers end before the next tick, so that a cut one still gets a proper error.
 */
void attempt_tick(struct request_attempt *a);

/** attempt_overdue() - the bound of the attempt has passed */
void attempt_overdue(struct dispatch *d, struct request_attempt *a);

/** attempt_lost() - the agent is gone or broke the protocol; its run cannot be followed */
void attempt_lost(struct dispatch *d, struct request_attempt *a, const char *reason);

#endif
