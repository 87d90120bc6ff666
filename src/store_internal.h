#ifndef JAYCOURSE_STORE_INTERNAL_H
#define JAYCOURSE_STORE_INTERNAL_H

#include "httpc.h"
#include "store.h"
#include "storelimit.h"

/** DOC: Shared by store.c and storewatch.c only */

struct store_call;
struct store_watch;

/* Calls that wait for a token of @bucket, oldest first. */
struct store_queue {
	struct store_bucket bucket;
	struct store_call *head;
	struct store_call **tail;
	size_t count;
	struct tevent_timer *timer;
};

struct store {
	struct tevent_context *ev;
	struct httpc *http;
	struct metrics *metrics;
	char **endpoints;
	size_t endpoint_count;
	size_t endpoint; /* index of the one in use; advances after a failure */
	uint32_t timeout_ms;
	struct store_queue writes;
	struct store_queue reads;
	struct store_breaker breaker;
	uint64_t opened_ms; /* when the breaker last opened */
	struct store_watch *watches;
	struct util_rng rng;
};

/** store_url() - URL of a call at the endpoint in use, owned by @mem */
char *store_url(const struct store *store, TALLOC_CTX *mem, const char *path);

/**
 * store_record_result() - record in the circuit breaker whether a call succeeded
 * @endpoint: index of the endpoint that was called; after a failure the store switches to the
 *	next endpoint, unless it has already left this one
 */
void store_record_result(struct store *store, size_t endpoint, bool success);

/** store_timer() - one-shot timer owned by @mem */
struct tevent_timer *store_timer(struct tevent_context *ev, TALLOC_CTX *mem, uint32_t delay_ms,
				 tevent_timer_handler_t handler, void *ctx);

/**
 * store_schedule_watch_renewals() - reconnect the watches that are older than the last outage
 *
 * Each watch reconnects after a random delay.
 */
void store_schedule_watch_renewals(struct store *store);

/** store_count_call() - count a call in the metrics; @kind is "read", "write" or "watch" */
void store_count_call(struct store *store, const char *kind);

#endif
