#ifndef JAYCOURSE_STORE_INTERNAL_H
#define JAYCOURSE_STORE_INTERNAL_H

#include "httpc.h"
#include "store.h"
#include "storelimit.h"

/** DOC: Shared by store.c and storewatch.c only */

struct store_call;
struct store_watch;

/* Calls that wait for a token of their bucket, oldest first. */
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
	size_t endpoint; /* in use; moves on after a failure */
	uint32_t timeout_ms;
	struct store_queue writes;
	struct store_queue reads;
	struct store_breaker breaker;
	uint64_t opened_ms; /* when the breaker opened last */
	struct store_watch *watches;
	struct util_rng rng;
};

/** store_url() - URL of a call at the endpoint in use, owned by @mem */
char *store_url(const struct store *store, TALLOC_CTX *mem, const char *path);

/**
 * store_report() - tell the breaker a result
 * @endpoint: index that was called; a failure moves on if it is still the one in use
 */
void store_report(struct store *store, size_t endpoint, bool success);

/** store_timer() - one-shot timer owned by @mem */
struct tevent_timer *store_timer(struct tevent_context *ev, TALLOC_CTX *mem, uint32_t delay_ms,
				 tevent_timer_handler_t handler, void *ctx);

/** store_watches_renew() - reconnect the watches that are older than the last outage */
void store_watches_renew(struct store *store);

void store_count(struct store *store, const char *kind);

#endif
