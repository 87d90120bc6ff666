#ifndef JAYCOURSE_PROXY_H
#define JAYCOURSE_PROXY_H

#include "httpc.h"
#include "outcome.h"
#include "slots.h"
#include "stream.h"
#include "target.h"
#include "wire.h"

/**
 * DOC: Admission of requests and calls to the target
 *
 * Admits or refuses each REQUEST of an entry, sends the admitted ones to the target over HTTP
 * and streams the answers back. Requests are not queued here: each one starts at once or is
 * answered with NOT_RUN. Runs on the event loop's thread.
 */

/* A REQUEST whose expiry is further ahead than this is refused. */
#define PROXY_EXPIRY_MAX_MS OUTCOME_TTL_MIN_MS

struct proxy;

struct proxy_deps {
	struct tevent_context *ev;
	struct wire *wire;
	struct httpc *http;
	struct slots *slots;
	struct streams *streams;
	struct outcomes *outcomes;
	struct target *target;
	struct metrics *metrics;
};

/* All pointers in @deps are borrowed and must outlive the proxy. */
struct proxy *proxy_create(TALLOC_CTX *mem, const struct proxy_deps *deps);

/** proxy_handle_message() - handles REQUEST, CREDIT, CANCEL and ATTEMPT_QUERY; false for other
 * messages */
bool proxy_handle_message(struct proxy *proxy, const char *peer, const struct msg *msg);

/** proxy_refuse_new() - refuses all further requests with ERR_LEAVING */
void proxy_refuse_new(struct proxy *proxy);

/**
 * proxy_tick() - drops expired request ids and outcome records, and ends stalled readers
 *
 * Call it about once a second or more often.
 */
void proxy_tick(struct proxy *proxy, uint64_t now_ms);

/** proxy_active() - number of requests that are running or whose answer is not yet delivered */
uint32_t proxy_active(const struct proxy *proxy);

#endif
