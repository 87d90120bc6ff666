#ifndef JAYCOURSE_LEADER_H
#define JAYCOURSE_LEADER_H

#include "kv.h"

/**
 * DOC: Election of the process that decides placement
 *
 * The key "leader" names the leader and is attached to a lease. The key "term" counts the leaders
 * and has no lease. Each durable write of a leader expects the revision of its "leader" key, so a
 * former leader can't write, and workers obey only the highest term they have seen. A process
 * that finds a "leader" key written by an earlier process of its own node replaces it without
 * waiting for the lease to expire, so node names must be unique.
 *
 * The store may refuse only the leader's host. A peer then stores "leader.resigned.TERM" on behalf
 * of the leader, and another process replaces the key "leader" at once. If the outcome of that
 * write is unknown, the leader writes its key again under the condition that no resignation is
 * stored: the peer's write expects the former revision of the key, so it can't take effect later.
 */

struct leader;

struct leader_options {
	const char *node;
	const char *address; /* where other processes send messages to this one */
	uint32_t ttl_ms;
	bool candidate;	   /* false: only observes who is the leader */
	double processors; /* that this process may use, 0.5: half of one; 0: unknown */
};

/**
 * struct leader_handlers - callbacks
 * @on_gained: this process has become the leader
 * @on_lost: this process is no longer the leader
 * @on_changed: the known leader has changed; @address is "" when there is none
 * @on_refused: the store has not confirmed this leader for some time and the latest renewal
 *	failed; ask a peer to store @key with @value if the leader key is still as @own
 *	says, and pass the status to leader_resignation_stored(). NULL: there are no peers
 */
struct leader_handlers {
	void (*on_gained)(uint64_t term, void *ctx);
	void (*on_lost)(void *ctx);
	void (*on_changed)(const char *node, const char *address, uint64_t term, void *ctx);
	void (*on_refused)(const char *key, const char *value, const struct kv_expect *own,
			   void *ctx);
	void *ctx;
};

struct leader *leader_create(TALLOC_CTX *mem, struct tevent_context *ev, struct kv *kv,
			     const struct leader_options *options,
			     const struct leader_handlers *handlers);

/**
 * LEADER_PROCESSORS_MIN - a host with less than this becomes leader only if no other one does
 *
 * In a fleet of 240 workers a leader needs seconds to hear from all agents on 0.12 of a processor,
 * and a third of a second on 0.5.
 */
#define LEADER_PROCESSORS_MIN 0.25

/** leader_term() - term of this process, 0 when it is not the leader */
uint64_t leader_term(const struct leader *leader);

/** leader_expect() - expectation that fails a transaction unless this process is the leader */
struct kv_expect leader_expect(const struct leader *leader);

/**
 * leader_confirmed() - true while no other process can have become leader
 *
 * Once the store has not confirmed a renewal for the duration of the lease, another process may
 * be the leader; also from the moment when a peer is asked to store the resignation, until it
 * is certain that it will never be stored.
 */
bool leader_confirmed(const struct leader *leader);

/**
 * leader_lease_left_ms() - time for which leader_confirmed() stays true without a renewal
 *
 * Return: milliseconds; below zero the time since it was last certain. INT64_MIN when this
 * process is not the leader.
 */
int64_t leader_lease_left_ms(const struct leader *leader);

/** leader_unconfirmed_ms() - time since the store last confirmed this leader */
uint64_t leader_unconfirmed_ms(const struct leader *leader);

/**
 * leader_renewal_overdue() - true while this process is the leader and a renewal is overdue
 *
 * This is so before leader_confirmed() turns false, so that agents look for another leader in
 * time.
 */
bool leader_renewal_overdue(const struct leader *leader);

/** LEADER_TERM_MAX - no counter of elections gets as far; run numbers made from it fit PLAN_RUN_MAX
 */
#define LEADER_TERM_MAX 10000000

/** struct leader_record - content of the leader's key; strings are owned by the reader's parent */
struct leader_record {
	const char *node;
	const char *address;
	uint64_t term;
};

/** leader_record_read() - parse the value of the leader's key; NULL if a part of it is unusable */
struct leader_record *leader_record_read(TALLOC_CTX *mem, const struct kv_item *item);

/** leader_deposed() - another process is known to lead with a later @term */
void leader_deposed(struct leader *leader, uint64_t term);

/** leader_address() - address of the known leader, "" for none; borrowed */
const char *leader_address(const struct leader *leader);

/** leader_store_answers() - false once the store has not answered for the lease duration */
bool leader_store_answers(const struct leader *leader);

/**
 * leader_resignation_stored() - result of the request to a peer, see leader_handlers.on_refused
 * @status: 0 when the peer has stored the resignation, which ends this leader's term
 */
void leader_resignation_stored(struct leader *leader, int status);

/** leader_resign() - end the term and take part in no later election; for a graceful shutdown */
void leader_resign(struct leader *leader);

#endif
