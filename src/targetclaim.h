#ifndef JAYCOURSE_TARGETCLAIM_H
#define JAYCOURSE_TARGETCLAIM_H

#include "metrics.h"
#include "target.h"
#include "worker.h"

#include <tevent.h>

/**
 * DOC: Announcements of another process than the present worker
 *
 * While the present worker has tasks, an announcement with another kind, address or incarnation is
 * a claim: a reason to ask the present worker, and no evidence against it. The present worker is
 * asked at the address where its tasks are called. The claim counts as confirmed when nothing
 * listens there or the worker there lists none of the running tasks, and as refuted when it lists
 * one. Without an answer the tasks stand until the present worker is silent, see target.h.
 */

struct targetclaim;

/**
 * targetclaim_create() - @confirmed: receives a confirmed claim, borrowed, and the time it was
 *	received, ms; it may free the worker
 */
struct targetclaim *targetclaim_create(TALLOC_CTX *mem, struct tevent_context *ev,
				       struct metrics *metrics,
				       void (*confirmed)(const struct target_info *info,
							 uint64_t received_ms, void *ctx),
				       void *ctx);

/**
 * targetclaim_add() - ask @worker, which is borrowed, because of a claim
 *
 * One claim is examined at a time; the claimant repeats its announcement.
 *
 * Return: -ERR_CONFLICT, with an explanation in @err.
 */
int targetclaim_add(struct targetclaim *claim, struct worker *worker,
		    const struct target_info *info, uint64_t now_ms, struct err *err);

/** targetclaim_drop() - forget a claim that is examined; to be called before the worker is freed */
void targetclaim_drop(struct targetclaim *claim);

#endif
