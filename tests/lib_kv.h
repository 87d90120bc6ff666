#ifndef JAYCOURSE_TESTS_LIB_KV_H
#define JAYCOURSE_TESTS_LIB_KV_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: In-memory keyspace of the fake store, with revisions, leases and an event log
 *
 * Not thread safe; the caller must hold a lock.
 */

struct kv;

struct kv_item {
	char *key;
	GBytes *value; /* NULL in the event of a deletion */
	int64_t version;
	int64_t create_revision;
	int64_t mod_revision;
	int64_t lease;
};

struct kv *kv_create(void);
void kv_destroy(struct kv *kv);
int64_t kv_revision(const struct kv *kv);
size_t kv_count(const struct kv *kv);

/** kv_begin() - start a transaction: all changes up to the next kv_begin() share one revision */
void kv_begin(struct kv *kv);

const struct kv_item *kv_get(const struct kv *kv, const char *key);

/** kv_put() - write a key, referencing @value; false when @lease is not 0 and unknown */
bool kv_put(struct kv *kv, const char *key, GBytes *value, int64_t lease);

/**
 * kv_range() - index of the first item at or after @key; *@end is the index after the last
 *
 * An empty @range_end selects @key only.
 */
size_t kv_range(const struct kv *kv, const char *key, const char *range_end, size_t *end);
const struct kv_item *kv_at(const struct kv *kv, size_t index);
size_t kv_delete(struct kv *kv, const char *key, const char *range_end);

int64_t kv_grant(struct kv *kv, int64_t ttl_s, uint64_t now_ms);

/** kv_keepalive() - renew a lease; returns its TTL in seconds, 0 when it has expired */
int64_t kv_keepalive(struct kv *kv, int64_t lease, uint64_t now_ms);
bool kv_lease_known(const struct kv *kv, int64_t lease);
bool kv_revoke(struct kv *kv, int64_t lease);

/** kv_expire() - revoke the expired leases, or all; true when there were any */
bool kv_expire(struct kv *kv, uint64_t now_ms, bool all);

/** kv_events() - JSON array of the changes of a range from @revision on; NULL when compacted */
json_t *kv_events(const struct kv *kv, int64_t revision, const char *key, const char *range_end);

/* Calls of etcd's JSON gateway, in lib_kvapi.c. */

#define KV_VALUE_MAX (1024 * 1024)

json_t *kv_item_json(const struct kv_item *item);
json_t *kv_header(const struct kv *kv);

/** kv_text() - decode a base64 field; "" when it is absent; free with g_free() */
char *kv_text(const json_t *object, const char *name);

/** kv_number() - read a 64-bit number that is written as a number or a string; 0 when absent */
int64_t kv_number(const json_t *object, const char *name);

/** kv_is_write() - true when the call changes the store; keepalives count as writes */
bool kv_is_write(const char *path, const json_t *body);

/** kv_call() - execute a call other than a watch; sets *@status to the HTTP status */
json_t *kv_call(struct kv *kv, const char *path, const json_t *body, uint64_t now_ms, int *status);

#endif
