#ifndef JAYCOURSE_LIB_MEMKV_H
#define JAYCOURSE_LIB_MEMKV_H

#include "kv.h"

/**
 * DOC: Key-value service in memory, with the troubles of a real one
 *
 * Answers come from the loop after a millisecond. Several clients may share the data of one
 * service, each with troubles of its own.
 */

struct memkv;

/* What happens to the next calls of one client. */
enum memkv_trouble {
	MEMKV_WELL,
	MEMKV_REFUSES,	   /* nothing is done, and the client is told so */
	MEMKV_LOSES,	   /* writes are done, and the answer is lost */
	MEMKV_LATE,	   /* writes are done 300 ms after their answer was lost */
	MEMKV_SILENT_POLL, /* polls hear nothing of changes; other calls work */
};

struct memkv_client {
	struct memkv *store;
	enum memkv_trouble trouble;
	bool down; /* what the client believes of the store */
	uint32_t calls;
	uint32_t writes;
	struct kv kv;
};

struct memkv *memkv_create(TALLOC_CTX *mem, struct tevent_context *ev);

/** memkv_client() - a client of the store, owned by it */
struct memkv_client *memkv_client(struct memkv *store);

/** memkv_put() - write as the operator */
void memkv_put(struct memkv *store, const char *key, const char *value);
void memkv_remove(struct memkv *store, const char *key);

/** memkv_value() - current value or NULL */
const char *memkv_value(const struct memkv *store, const char *key);

/** memkv_expire() - end all leases at once */
void memkv_expire(struct memkv *store);

/** memkv_compact() - forget the history; polls from before end with -ERR_STALE */
void memkv_compact(struct memkv *store);

/** memkv_run() - run the loop for a time */
void memkv_run(struct tevent_context *ev, uint32_t ms);

#endif
