#ifndef JAYCOURSE_RELAY_H
#define JAYCOURSE_RELAY_H

#include "kv.h"
#include "metrics.h"
#include "wire.h"

/**
 * DOC: Writes to the store through another entry
 *
 * The store may refuse one host while it serves the others. An entry that can't reach the
 * store asks its peers to write for it, so that its callers need not retry at another entry. It
 * first asks several whether the store answers them, and sends the write only to one that says so.
 * If the store is down for all, nothing was sent, and the caller is told that nothing was stored.
 * Each entry stores its address under the key "entry/NODE".
 */

struct relay;
struct relay_call;

struct relay_deps {
	struct tevent_context *ev;
	struct kv *kv;
	struct wire *wire;
	struct metrics *metrics;
	const char *node;
};

/** relay_create() - @deps is copied, the objects in it are borrowed */
struct relay *relay_create(TALLOC_CTX *mem, const struct relay_deps *deps);

/**
 * relay_put() - ask peers that the store answers, one after the other, to create a key
 * @requires: key that must exist, NULL for none; its absence gives -ERR_NOT_FOUND
 * @requires_revision: the write takes effect only while @requires has this revision; 0: any
 * @done: called once with the status of the write: -ERR_CONFLICT if the key exists already or
 *	@requires has another revision,
 *	-ERR_UNAVAILABLE if no peer could write, -ERR_OUTCOME_UNKNOWN if one may have written
 */
void relay_put(struct relay *relay, const char *key, const char *value, const char *requires,
	       int64_t requires_revision, void (*done)(int status, void *ctx), void *ctx);

/**
 * relay_connect() - open the connection to the next peer in the list
 * @after: node of the preceding peer, "" for the first peer
 * @link: receives the peer's name for wire_send(), borrowed
 *
 * Return: the peer's node, borrowed, or NULL after the last peer.
 */
const char *relay_connect(struct relay *relay, const char *after, const char **link);

/** relay_message() - process a message; Return: true if its type is one for the relay */
bool relay_message(struct relay *relay, const char *peer, const struct msg *msg);

#endif
