#ifndef JAYCOURSE_KV_H
#define JAYCOURSE_KV_H

#include "err.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/**
 * DOC: Interface of a key-value store with transactions, leases and change polling
 *
 * The scheduler keeps its state in a store behind this interface. A backend implements the
 * interface for one service. Every callback runs from the event loop, exactly once. Status codes:
 *
 * 0: the call took effect.
 * -ERR_CONFLICT: an expected revision did not match. Nothing was written, and the result
 *	holds the current state of the keys with expectations.
 * -ERR_NOT_FOUND: the lease has expired or was revoked.
 * -ERR_STALE: the store no longer keeps the changes that a poll asked for.
 * -ERR_UNAVAILABLE: the call failed and certainly had no effect.
 * -ERR_OUTCOME_UNKNOWN: a write may have taken effect, or may still take effect within seconds
 *	if its expectations hold then.
 */

/**
 * struct kv_item - a key and its value
 * @revision: 0 for a key that does not exist; KV_UNREADABLE for one that exists, but whose state
 *	could not be read (only in results of ranges and polls)
 */
struct kv_item {
	const char *key;
	const char *value; /* NUL terminated; the NUL is not counted in value_len */
	size_t value_len;
	int64_t revision; /* of the last write */
	int64_t created;  /* revision at which the key was created */
	int64_t lease;	  /* that the key belongs to; 0: none */
};

#define KV_UNREADABLE (-1)

struct kv_result {
	struct kv_item *items;
	size_t count;
	bool more;	  /* of a range: there are more keys after the last item */
	int64_t revision; /* of a read: of the store; of a transaction: of the write */
	int64_t lease;	  /* of lease_grant: identifier of the new lease */
};

/* @result is borrowed for the call, NULL unless @status is 0 or -ERR_CONFLICT. */
struct kv_cb {
	void (*done)(int status, const struct kv_result *result, void *ctx);
	void *ctx;
};

/** struct kv_expect - condition of a transaction; @revision 0: the key does not exist */
struct kv_expect {
	const char *key;
	int64_t revision;
};

/** struct kv_put - write in a transaction; @lease 0: the key belongs to no lease */
struct kv_put {
	const char *key;
	const char *value;
	int64_t lease;
};

#define KV_TXN_MAX 32 /* expectations, puts and removals in total; limit of the service */

struct kv_txn {
	const struct kv_expect *expects;
	size_t expect_count;
	const struct kv_put *puts;
	size_t put_count;
	const char *const *removes;
	size_t remove_count;
};

/**
 * struct kv_ops - operations of a backend
 * @get: read one key; a key that does not exist gives status 0 and count 0
 * @range: read the keys that start with @prefix and sort after the key @after ("" for all), in
 *	order
 * @txn: apply all puts and removals atomically if all expectations hold
 * @lease_grant: create a lease that expires after @ttl_ms without renewal
 * @lease_keep: renew a lease
 * @lease_end: revoke a lease at once; its keys are removed
 * @poll: answer as soon as a key under @prefix has changed after revision @after, or with an
 *	empty result after @wait_ms
 * @answers: false when several calls in a row got no answer, so that a call now would most
 *	likely only wait for its time-out
 *
 * String arguments are borrowed until the function returns.
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
	bool (*is_responding)(void *impl);
};

/** struct kv - a backend and its state; both are borrowed and outlive all users */
struct kv {
	const struct kv_ops *ops;
	void *impl;
};

/**
 * kv_range_next() - key after which the next page of a range begins
 *
 * Return: "" if @page is the last one; NULL if the range goes on and it can't be read where, so
 * that what was read so far is not all and must not be taken for it. The key is owned by @page.
 */
const char *kv_range_next(const struct kv_result *page);

struct kv_mirror;

/**
 * struct kv_mirror_handlers - callbacks of a mirror
 * @on_item: an item was written, or removed (then @item->revision is 0)
 * @on_loaded: the mirror has read all keys, after its start or after changes were missed
 */
struct kv_mirror_handlers {
	void (*on_item)(const struct kv_item *item, void *ctx);
	void (*on_loaded)(void *ctx);
	void *ctx;
};

/**
 * kv_mirror_create() - keep track of all keys under a prefix
 * @mem: talloc parent; freeing the mirror stops it
 *
 * The mirror reads all keys and then polls for changes. When the store no longer keeps the
 * changes since the last poll, the mirror reads all keys again and reports the differences,
 * including removals.
 */
struct kv_mirror *kv_mirror_create(TALLOC_CTX *mem, struct tevent_context *ev, struct kv *kv,
				   const char *prefix, const struct kv_mirror_handlers *handlers);

/** kv_mirror_failing_ms() - time since the store stopped answering the mirror; 0 while it answers
 */
uint64_t kv_mirror_failing_ms(const struct kv_mirror *mirror);

/**
 * kv_mirror_age_ms() - time since the mirror last knew all changes
 *
 * It starts anew with each answered poll and at the end of a full read, not with its pages. Unlike
 * kv_mirror_failing_ms() it also grows while a call is unanswered and has not failed yet.
 */
uint64_t kv_mirror_age_ms(const struct kv_mirror *mirror);

#endif
