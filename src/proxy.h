#ifndef JAYCOURSE_PROXY_H
#define JAYCOURSE_PROXY_H

#include "httpc.h"
#include "outcome.h"
#include "slots.h"
#include "stream.h"
#include "target.h"
#include "wire.h"

/**
 * DOC: Requests on their way from entries to the target
 *
 * Decides on each REQUEST, sends the admitted ones to the target over HTTP and streams the
 * answers back. Nothing is queued here: a request either starts at once or is NOT_RUN.
 * Runs on the loop thread.
 */

#define PROXY_EXPIRY_MAX_MS                                                      \
	OUTCOME_TTL_MIN_MS /* a REQUEST whose expiry is further ahead is refused \
			    */

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

/* All pointers in @deps are borrowed and must outlive the object. */
struct proxy *proxy_create(TALLOC_CTX *mem, const struct proxy_deps *deps);

/** proxy_message() - true if the message was REQUEST, CREDIT, CANCEL or ATTEMPT_QUERY */
bool proxy_message(struct proxy *p, const char *peer, const struct msg *msg);

/** proxy_leave() - refuse new requests from now on with ERR_LEAVING */
void proxy_leave(struct proxy *p);

/** proxy_tick() - drop what is no longer needed; call about once a second or more often */
void proxy_tick(struct proxy *p, uint64_t now_ms);

/** proxy_active() - requests that run or whose answer is not yet delivered */
uint32_t proxy_active(const struct proxy *p);

#endif
