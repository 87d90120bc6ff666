#ifndef JAYCOURSE_RELAY_H
#define JAYCOURSE_RELAY_H

#include "kv.h"
#include "metrics.h"
#include "wire.h"

/**
 * DOC: Writes of an entry through another entry
 *
 * The store may refuse one host while it serves the others. An entry that can't reach the
 * store asks its peers to write for it, so that its callers need not come back elsewhere.
 * Key: "entry/NODE" is the address of an entry, written by it.
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

/** relay_create() - @deps is copied, its parts borrowed */
struct relay *relay_create(TALLOC_CTX *mem, const struct relay_deps *deps);

/**
 * relay_put() - have a peer write a key that must not exist yet
 * @requires: key that must exist, "" for none; its absence gives -ERR_NOT_FOUND
 * @done: called once with the status of the write, -ERR_CONFLICT if the key exists,
 *	-ERR_UNAVAILABLE when no peer could write, -ERR_OUTCOME_UNKNOWN when one may have
 *
 * Peers are asked one after the other.
 */
void relay_put(struct relay *relay, const char *key, const char *value, const char *requires,
	       void (*done)(int status, void *ctx), void *ctx);

/**
 * relay_connect() - open the connection to the peer that follows another
 * @after: node asked before, "" for none
 * @link: receives the name under which messages reach it, borrowed
 *
 * Return: the peer's node, borrowed, or NULL when there is no further one.
 */
const char *relay_connect(struct relay *relay, const char *after, const char **link);

/** relay_message() - a message from another process; true if it was for the relay */
bool relay_message(struct relay *relay, const char *peer, const struct msg *msg);

#endif
