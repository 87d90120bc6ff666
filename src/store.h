#ifndef JAYCOURSE_STORE_H
#define JAYCOURSE_STORE_H

#include "err.h"
#include "metrics.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/**
 * DOC: Client of the platform's key-value service
 *
 * Speaks the etcd v3 JSON gateway over HTTP (libcurl multi on the loop). All functions run
 * on the loop thread; every callback is called exactly once, never before the call that
 * registered it has returned. Freeing the store drops calls under way without a callback.
 * Results:
 *
 * 0: the call took effect.
 * -ERR_CONFLICT: the compares did not hold; nothing was written.
 * -ERR_UNAVAILABLE: the service is down, or a rate limit refused the call; it certainly had
 *	no effect.
 * -ERR_OUTCOME_UNKNOWN: a write was sent and its answer was lost; read before deciding.
 */

#define STORE_VALUE_MAX (1024 * 1024) /* bytes; limit of the platform's service */

struct store;

struct store_options {
	const char **endpoints; /* "http://ip:port", borrowed until store_create() returns */
	size_t endpoint_count;
	uint32_t timeout_ms;   /* for each attempt of a call; 0 means 1000 */
	uint32_t writes_per_s; /* rate limit of this client; 0 means 100 */
	uint32_t reads_per_s;  /* rate limit of this client; 0 means 200 */
};

struct store_kv {
	const char *key;
	const char *value; /* NUL terminated for convenience; may hold NUL bytes */
	size_t value_len;
	int64_t version; /* 1 after the key's creation, one more for each later write; 0: absent */
	int64_t mod_revision; /* store-wide revision of the last write to the key */
};

struct store_result {
	struct store_kv *kvs;
	size_t count;
	int64_t revision; /* revision of the store that the result reflects */
	int64_t lease;	  /* ID of the lease that was granted or renewed */
	bool more;	  /* of a range with a limit: there are keys after the last one */
};

/* @result is valid only during the callback; NULL when @status is not 0 or -ERR_CONFLICT. */
struct store_cb {
	void (*done)(int status, const struct store_result *result, void *ctx);
	void *ctx;
};

enum store_compare_kind {
	STORE_VERSION_IS,      /* version equals @number; 0: the key does not exist */
	STORE_MOD_REVISION_IS, /* last modification equals @number */
	STORE_VALUE_IS,	       /* value equals @value */
};

struct store_compare {
	enum store_compare_kind kind;
	const char *key;
	int64_t number;
	const char *value;
};

enum store_op_kind {
	STORE_PUT,
	STORE_DELETE,
	STORE_GET,
};

struct store_op {
	enum store_op_kind kind;
	const char *key;
	const char *value;
	size_t value_len;
	int64_t lease; /* ID of the lease that a put attaches to the key; 0: none */
};

struct store *store_create(TALLOC_CTX *mem, struct tevent_context *ev,
			   const struct store_options *options, struct metrics *metrics,
			   struct err *err);

/** store_get() - read one key; a missing key gives status 0 and count 0 */
void store_get(struct store *store, const char *key, struct store_cb cb);

/**
 * store_range() - read all keys that start with @prefix, in key order, at most @limit (0: all)
 *
 * Without a limit, an answer with a part of the keys fails with -ERR_UNAVAILABLE.
 */
void store_range(struct store *store, const char *prefix, uint32_t limit, struct store_cb cb);

/** store_range_from() - like store_range() but only keys at or after @first */
void store_range_from(struct store *store, const char *first, const char *prefix, uint32_t limit,
		      struct store_cb cb);

/**
 * store_txn() - apply @ops together if all @compares hold
 *
 * On -ERR_CONFLICT the result holds the current values of the compared keys that exist.
 * Arrays and strings are borrowed until the call returns.
 */
void store_txn(struct store *store, const struct store_compare *compares, size_t compare_count,
	       const struct store_op *ops, size_t op_count, struct store_cb cb);

/** store_lease_grant() - create a lease; result->lease is its ID */
void store_lease_grant(struct store *store, uint32_t ttl_s, struct store_cb cb);

/** store_lease_keepalive() - renew a lease; -ERR_NOT_FOUND when it has expired */
void store_lease_keepalive(struct store *store, int64_t lease, struct store_cb cb);

void store_lease_revoke(struct store *store, int64_t lease, struct store_cb cb);

struct store_watch;

/**
 * struct store_watch_handlers - callbacks of a watch
 * @on_change: a key changed; @kv->version is 0 when it was deleted
 * @on_resync: called when the watch begins, and when it was interrupted and changes may have
 *	been missed: read the range (again)
 */
struct store_watch_handlers {
	void (*on_change)(const struct store_kv *kv, void *ctx);
	void (*on_resync)(void *ctx);
	void *ctx;
};

/**
 * store_watch_create() - watch all keys that start with a prefix
 *
 * Reconnects automatically, with exponential backoff and jitter.
 *
 * @mem: talloc parent; freeing the watch ends it
 */
struct store_watch *store_watch_create(TALLOC_CTX *mem, struct store *store, const char *prefix,
				       const struct store_watch_handlers *handlers);

/** store_healthy() - false while the circuit breaker is open or recent calls failed */
bool store_healthy(const struct store *store);

#endif
