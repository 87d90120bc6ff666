#ifndef JAYCOURSE_CLAIM_H
#define JAYCOURSE_CLAIM_H

#include "store.h"

/**
 * DOC: Claims of idempotency keys
 *
 * Before a non-idempotent request with a key is sent, the entry creates "claim/<hash>" in the
 * store. The claim names the agent that is to run the request. An entry that finds a claim for
 * its key asks that agent for the earlier run. Claims that wait while a transaction is in flight
 * share the next transaction. The module runs on the loop thread.
 */

struct claims;

/* Content of a claim. Strings of a record passed to a callback are borrowed for the call. */
struct claim_record {
	const char *entry; /* peer name of the claiming entry */
	const char *agent; /* peer name of the agent that may run it */
	const char *organisation;
	const char *service;
	const char *key;
	const char *mark; /* unique per claims_acquire(); identifies the claim after a lost reply */
	int64_t mod_revision; /* store revision of the claim's last write */
};

struct claims *claims_create(TALLOC_CTX *mem, struct tevent_context *ev, struct store *store,
			     struct metrics *metrics);

/** claim_hash() - hash of an idempotency key, used as the name of its claim; never 0 */
uint64_t claim_hash(const char *organisation, const char *service, const char *key);

/**
 * claims_acquire() - create a claim, or replace the one at record->mod_revision
 * @hash: claim_hash() of the key
 * @record: strings are copied; mod_revision is that of the claim to replace, or 0 to create one
 * @ttl_s: the claim is kept at least this long; 0: the default of 600 s
 * @done: status 0: @found is @record with its revision in the store; -ERR_CONFLICT: @found is
 *	the claim of another request; -ERR_UNAVAILABLE: the claim could not be confirmed, so the
 *	request must not be sent
 */
void claims_acquire(struct claims *claims, uint64_t hash, const struct claim_record *record,
		    uint32_t ttl_s,
		    void (*done)(int status, const struct claim_record *found, void *ctx),
		    void *ctx);

/**
 * claims_release() - delete the claim of a request that certainly did not run
 *
 * A failed deletion is repeated for some minutes. Until then this entry can replace the claim;
 * other entries find it, and cannot use the key again if the claimed agent is gone.
 */
void claims_release(struct claims *claims, uint64_t hash, int64_t mod_revision);

#endif
