#ifndef JAYCOURSE_ELECTION_H
#define JAYCOURSE_ELECTION_H

#include "store.h"

/**
 * DOC: Leader election through a lease in the store
 *
 * Of several entry hosts that campaign for a role such as "placement/REGION", one is elected
 * leader. Its record, the JSON object {"node","address","epoch"}, is the value of the key
 * "duty/NAME", which is bound to the leader's lease. The epoch grows with each change of leader.
 * A leader adds election_compare() to the transactions of its durable steps, so that a former
 * leader cannot commit. leader.h is the corresponding election of the jaycourse-fleet processes.
 */

struct election;

/**
 * struct election_handlers - callbacks
 * @on_gained: this process is the leader, with @epoch
 * @on_lost: this process is no longer the leader; nothing may be started under the old epoch
 * @on_leader: another process is the leader, or nobody is (@node is "")
 */
struct election_handlers {
	void (*on_gained)(uint64_t epoch, void *ctx);
	void (*on_lost)(void *ctx);
	void (*on_leader)(const char *node, const char *address, uint64_t epoch, void *ctx);
	void *ctx;
};

/**
 * election_create() - campaign for leadership
 * @name: role, for example "placement/islands"
 * @node: peer name of this process
 * @address: its peer address
 * @ttl_s: lease time to live
 *
 * While the store is down the leader stays leader: nobody else can be elected, and its durable
 * steps are guarded by election_compare(). It loses the leadership when the store answers again
 * and the key holds the record of another process. A process that cannot reach the store, or has
 * just woken, cannot tell whether that has happened: steps that no compare guards are allowed only
 * while election_lease_left_ms() is above 0.
 */
struct election *election_create(TALLOC_CTX *mem, struct tevent_context *ev, struct store *store,
				 const char *name, const char *node, const char *address,
				 uint32_t ttl_s, const struct election_handlers *handlers);

/** election_epoch() - own epoch; 0: this process is not the leader */
uint64_t election_epoch(const struct election *election);

/**
 * election_lease_left_ms() - for how long it is certain that no other process is the leader
 *
 * Return: the time until the lease ends, counted from the sending of its last successful renewal;
 * 0 when this process is not the leader, or another may have been elected.
 */
uint64_t election_lease_left_ms(const struct election *election);

/**
 * election_compare() - a compare that succeeds only while this process is the leader
 *
 * Return: 0, or -ERR_STALE when this process is not the leader. The strings in @out are
 * borrowed from @election.
 */
int election_compare(const struct election *election, struct store_compare *out);

/** election_resign() - resign at once, for a graceful shutdown; @done is called afterwards */
void election_resign(struct election *election, void (*done)(void *ctx), void *ctx);

#endif
