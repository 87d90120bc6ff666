#ifndef JAYCOURSE_LIB_MEMKV_H
#define JAYCOURSE_LIB_MEMKV_H

#include "kv.h"

/**
 * DOC: In-memory key-value store with fault injection
 *
 * Answers come from the event loop after 1 ms. Several clients may share the data of one store;
 * each client has its own injected fault.
 */

struct memkv;

/* Fault that is injected into the calls of one client. */
enum memkv_fault {
	MEMKV_FAULT_NONE,
	MEMKV_REJECT_CALLS, /* calls fail without effect, with -ERR_UNAVAILABLE */
	MEMKV_LOSE_ANSWERS, /* writes take effect, but their answer is lost */
	MEMKV_DELAY_WRITES, /* writes take effect some time after their answer was lost */
	MEMKV_DELAY_TXNS,   /* the same for transactions only; calls for leases work */
	MEMKV_EMPTY_POLLS,  /* polls do not report changes; other calls work */
	MEMKV_SLOW,	    /* answers take 250 ms */
};

struct memkv_client {
	struct memkv *store;
	enum memkv_fault fault;
	bool unresponsive; /* result of the answers operation: true when it is to return false */
	uint32_t late_write_ms; /* delay of MEMKV_DELAY_WRITES */
	uint32_t calls;		/* calls made so far */
	uint32_t writes;	/* transactions among them */
	struct kv kv;
};

struct memkv *memkv_create(TALLOC_CTX *mem, struct tevent_context *ev);

/** memkv_open_journal() - read the changes stored in a file and add all later ones to it */
bool memkv_open_journal(struct memkv *store, const char *path);

/** memkv_client() - create a client of the store; owned by the store */
struct memkv_client *memkv_client(struct memkv *store);

/** memkv_put() - write a key directly, as an operator does */
void memkv_put(struct memkv *store, const char *key, const char *value);
void memkv_remove(struct memkv *store, const char *key);

/** memkv_value() - current value of a key, or NULL when it does not exist */
const char *memkv_value(const struct memkv *store, const char *key);

/** memkv_revision() - revision of a key, or 0 when it does not exist */
int64_t memkv_revision(const struct memkv *store, const char *key);

/** memkv_expire() - let all leases expire at once */
void memkv_expire(struct memkv *store);

/**
 * memkv_pause_leases() - let leases neither expire nor grow older, until called with false
 *
 * A store that is down does this or counts on.
 */
void memkv_pause_leases(struct memkv *store, bool paused);

/** memkv_compact() - discard the history; polls from an earlier revision fail with -ERR_STALE */
void memkv_compact(struct memkv *store);

/** memkv_run() - run the event loop for @ms milliseconds */
void memkv_run(struct tevent_context *ev, uint32_t ms);

#endif
