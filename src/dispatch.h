#ifndef JAYCOURSE_DISPATCH_H
#define JAYCOURSE_DISPATCH_H

#include "claim.h"
#include "configrepo.h"
#include "loopq.h"
#include "member.h"
#include "request.h"
#include "wire.h"

/**
 * DOC: From an admitted request to its answer
 *
 * Queues requests, chooses targets, sends, retries, hedges and passes answers on. Runs on the
 * loop thread, apart from dispatch_consumed().
 */

struct dispatch;

/* All pointers are borrowed and must outlive the dispatch. */
struct dispatch_deps {
	struct tevent_context *ev;
	struct wire *wire;
	struct member *members;
	struct store *store;
	struct configrepo *configs;
	struct claims *claims;
	struct loopq *loop;
	struct metrics *metrics;
	const char *self; /* peer name of this entry */
	const char *zone;
};

struct dispatch *dispatch_create(TALLOC_CTX *mem, const struct dispatch_deps *deps);

/** dispatch_configure() - take limits and drains from a configuration, borrowed for the call */
void dispatch_configure(struct dispatch *d, const struct config *config);

/** dispatch_submit() - take over a reference to a request that has passed the filters */
void dispatch_submit(struct dispatch *d, struct request *r);

/** dispatch_abandon() - the caller is gone */
void dispatch_abandon(struct dispatch *d, struct request *r);

/** dispatch_consumed() - the caller took bytes of the answer; callable from any thread */
void dispatch_consumed(struct dispatch *d, struct request *r);

/** dispatch_message() - true if the message is one of the request path */
bool dispatch_message(struct dispatch *d, const char *peer, const struct msg *msg);

/** dispatch_active() - requests that have not ended */
size_t dispatch_active(const struct dispatch *d);

#endif
