#ifndef JAYCOURSE_LEADER_H
#define JAYCOURSE_LEADER_H

#include "kv.h"

/**
 * DOC: Election of the process that decides placement
 *
 * The key "leader" names the leader under a lease, the key "term" counts the leaders without
 * one. Each durable write of a leader expects the revision of its "leader" key, so a former
 * leader can't write, and workers obey only the highest term they have seen. A process that
 * finds the key of an earlier process of its own node replaces it without waiting for the
 * lease, so node names must be unique.
 *
 * The store may refuse the leader's host only. A peer then stores "leader.resigned.TERM" for it,
 * and another process replaces the key "leader" at once.
 */

struct leader;

struct leader_options {
	const char *node;
	const char *address; /* for messages of other processes */
	uint32_t ttl_ms;
	bool candidate; /* false: only follow */
};

/**
 * struct leader_handlers - callbacks
 * @on_gained: this process leads
 * @on_lost: it does not lead any more
 * @on_changed: the known leader is another one, or nobody (@address is "")
 * @on_refused: the store has not confirmed this leader for long; have a peer store @key with
 *	@value, and tell leader_resignation_stored() the status. NULL: there are no peers
 */
struct leader_handlers {
	void (*on_gained)(uint64_t term, void *ctx);
	void (*on_lost)(void *ctx);
	void (*on_changed)(const char *node, const char *address, uint64_t term, void *ctx);
	void (*on_refused)(const char *key, const char *value, void *ctx);
	void *ctx;
};

struct leader *leader_create(TALLOC_CTX *mem, struct tevent_context *ev, struct kv *kv,
			     const struct leader_options *options,
			     const struct leader_handlers *handlers);

/** leader_term() - own term, 0 when not the leader */
uint64_t leader_term(const struct leader *leader);

/** leader_expect() - expectation that holds only while this process leads */
struct kv_expect leader_expect(const struct leader *leader);

/**
 * leader_confirmed() - true while nobody else can have become leader
 *
 * Without an answer of the store for longer than the lease, somebody else may lead.
 */
bool leader_confirmed(const struct leader *leader);

/**
 * leader_unsure() - true while this process leads and a renewal is overdue
 *
 * Earlier than the end of leader_confirmed(), so that agents look for another leader in time.
 */
bool leader_unsure(const struct leader *leader);

/** leader_deposed() - another process was seen with a higher term */
void leader_deposed(struct leader *leader, uint64_t term);

/** leader_address() - address of the known leader, "" for none; borrowed */
const char *leader_address(const struct leader *leader);

/** leader_reachable() - false while the store has not answered for longer than the lease */
bool leader_store_answers(const struct leader *leader);

/** leader_resignation_stored() - 0 when a peer has stored it; this process leads no more */
void leader_resignation_stored(struct leader *leader, int status);

/** leader_resign() - give up for good, for a graceful shutdown */
void leader_resign(struct leader *leader);

#endif
