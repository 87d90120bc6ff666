#ifndef JAYCOURSE_CLAIM_H
#define JAYCOURSE_CLAIM_H

#include "store.h"

/**
 * DOC: Claims of idempotency keys
 *
 * Before a non-idempotent request with a key is sent, "claim/<hash>" is created in the store
 * with the agent that is to run it. Whoever finds a claim asks that agent. Claims that wait
 * while a write is in flight share the next one. Runs on the loop thread.
 */

struct claims;

/* What a claim says. Strings of a record passed to a callback are borrowed for the call. */
struct claim_record {
	const char *entry; /* peer name of the claiming entry */
	const char *agent; /* peer name of the agent that may run it */
	const char *organisation;
	const char *service;
	const char *key;
	const char *mark;     /* unique to the write, to recognise it after a lost answer */
	int64_t mod_revision; /* in the store */
};

struct claims *claims_create(TALLOC_CTX *mem, struct tevent_context *ev, struct store *store,
			     struct metrics *metrics);

/** claim_hash() - hash that names a claim; never 0 */
uint64_t claim_hash(const char *organisation, const char *service, const char *key);

/**
 * claims_take() - create a claim, or replace the one at record->mod_revision
 * @hash: of the key
 * @record: strings are copied; mod_revision is that of the claim to replace, or 0
 * @ttl_s: the claim is kept at least this long
 * @done: status 0: @found is the own record with its revision; -ERR_CONFLICT: @found is
 *	another's claim; -ERR_UNAVAILABLE: the claim is not ours, and nothing may be sent
 */
void claims_take(struct claims *c, uint64_t hash, const struct claim_record *record, uint32_t ttl_s,
		 void (*done)(int status, const struct claim_record *found, void *ctx), void *ctx);

/** claims_drop() - delete the own claim of a request that certainly did not run */
void claims_drop(struct claims *c, uint64_t hash, int64_t mod_revision);

#endif
