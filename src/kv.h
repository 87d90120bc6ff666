#ifndef JAYCOURSE_KV_H
#define JAYCOURSE_KV_H

#include "err.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/**
 * DOC: Key-value service with transactions, leases and change polls
 *
 * The interface that the scheduler's state lives behind. A binding implements it for one
 * service. Every callback runs from the loop, exactly once. Results:
 *
 * 0: the call took effect.
 * -ERR_CONFLICT: an expected revision did not match; nothing was written, and the result
 *	holds the current state of the expected keys.
 * -ERR_NOT_FOUND: the lease has ended.
 * -ERR_STALE: changes that a poll asked for are no longer kept.
 * -ERR_UNAVAILABLE: the call certainly had no effect.
 * -ERR_OUTCOME_UNKNOWN: a write may have taken effect, or may still do so within seconds if
 *	its expectations hold then.
 */

/** struct kv_item - @revision is 0 for a key that does not exist (any more) */
struct kv_item {
	const char *key;
	const char *value; /* NUL terminated for convenience */
	size_t value_len;
	int64_t revision;
	int64_t created; /* revision at which the key was created */
};

struct kv_result {
	struct kv_item *items;
	size_t count;
	bool more;	  /* of a range: read on after the last key */
	int64_t revision; /* of the store, or of the write */
	int64_t lease;	  /* of a grant */
};

/* @result is borrowed for the call, NULL unless @status is 0 or -ERR_CONFLICT. */
struct kv_cb {
	void (*done)(int status, const struct kv_result *result, void *ctx);
	void *ctx;
};

/** struct kv_expect - @revision 0: the key does not exist */
struct kv_expect {
	const char *key;
	int64_t revision;
};

/** struct kv_put - @lease 0: none */
struct kv_put {
	const char *key;
	const char *value;
	int64_t lease;
};

#define KV_TXN_MAX 32 /* expectations, puts and removals together; limit of the service */

struct kv_txn {
	const struct kv_expect *expects;
	size_t expect_count;
	const struct kv_put *puts;
	size_t put_count;
	const char *const *removes;
	size_t remove_count;
};

/**
 * struct kv_ops - a binding
 * @get: one key; absent gives status 0 and count 0
 * @range: keys that start with @prefix, in order, after the key @after ("" for all)
 * @txn: apply puts and removals together if all expectations hold
 * @lease_grant: a lease that ends by itself after @ttl_ms without renewal
 * @lease_keep: renew
 * @lease_end: end now; its keys are removed
 * @answers: false after several calls in a row without an answer; a call now would only wait
 * @poll: answer as soon as something under @prefix has changed after revision @after, or
 *	after @wait_ms with nothing
 *
 * Strings are borrowed until the function returns.
 */
struct kv_ops {
	void (*get)(void *impl, const char *key, struct kv_cb cb);
	void (*range)(void *impl, const char *prefix, const char *after, struct kv_cb cb);
	void (*txn)(void *impl, const struct kv_txn *txn, struct kv_cb cb);
	void (*lease_grant)(void *impl, uint32_t ttl_ms, struct kv_cb cb);
	void (*lease_keep)(void *impl, int64_t lease, struct kv_cb cb);
	void (*lease_end)(void *impl, int64_t lease, struct kv_cb cb);
	void (*poll)(void *impl, const char *prefix, int64_t after, uint32_t wait_ms,
		     struct kv_cb cb);
	bool (*answers)(void *impl);
};

/** struct kv - a binding and its state; both borrowed, they outlive all users */
struct kv {
	const struct kv_ops *ops;
	void *impl;
};

struct kv_mirror;

/**
 * struct kv_mirror_handlers - callbacks of a mirror
 * @on_item: an item was written, or removed (@item->revision is 0)
 * @on_loaded: the mirror has caught up with the store after its start or an interruption
 */
struct kv_mirror_handlers {
	void (*on_item)(const struct kv_item *item, void *ctx);
	void (*on_loaded)(void *ctx);
	void *ctx;
};

/**
 * kv_mirror_create() - follow all keys under a prefix
 * @mem: talloc parent; freeing the mirror ends it
 *
 * Reads the keys, then follows changes; after a gap it reads them again and reports what
 * differs, removals included.
 */
struct kv_mirror *kv_mirror_create(TALLOC_CTX *mem, struct tevent_context *ev, struct kv *kv,
				   const char *prefix, const struct kv_mirror_handlers *handlers);

/** kv_mirror_failing_ms() - how long the mirror has had no answer; 0 while it works */
uint64_t kv_mirror_failing_ms(const struct kv_mirror *mirror);

#endif
