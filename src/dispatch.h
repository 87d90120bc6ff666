#ifndef JAYCOURSE_DISPATCH_H
#define JAYCOURSE_DISPATCH_H

#include "claim.h"
#include "configrepo.h"
#include "loopq.h"
#include "member.h"
#include "request.h"
#include "wire.h"

/**
 * DOC: Dispatch of admitted requests to targets
 *
 * Queues requests, chooses targets, sends, retries and hedges requests, and forwards the answers.
 * Runs on the loop thread, apart from dispatch_consumed().
 */

struct dispatch;

/* All pointers are borrowed and must outlive the dispatch. */
struct dispatch_deps {
	struct tevent_context *ev;
	struct wire *wire;
	struct membership *members;
	struct store *store;
	struct configrepo *configs;
	struct claims *claims;
	struct loopq *loop;
	struct metrics *metrics;
	const char *self; /* peer name of this entry */
	const char *zone;
};

struct dispatch *dispatch_create(TALLOC_CTX *mem, const struct dispatch_deps *deps);

/** dispatch_configure() - apply limits and drains of @config, which is borrowed for the call */
void dispatch_configure(struct dispatch *dispatch, const struct config *config);

/** dispatch_submit() - queue a request that has passed the filters; takes over a reference */
void dispatch_submit(struct dispatch *dispatch, struct request *request);

/** dispatch_abandon() - cancel a request whose caller has closed its connection */
void dispatch_abandon(struct dispatch *dispatch, struct request *request);

/** dispatch_consumed() - grant credit for consumed bytes; called by the request's HTTP thread */
void dispatch_consumed(struct dispatch *dispatch, struct request *request);

/**
 * dispatch_handle_message() - handle a message of an agent about a request
 *
 * Return: false when the type of the message does not belong to the request path.
 */
bool dispatch_handle_message(struct dispatch *dispatch, const char *peer, const struct msg *msg);

/** dispatch_active() - number of requests that have been submitted and have not ended */
size_t dispatch_active(const struct dispatch *dispatch);

#endif
