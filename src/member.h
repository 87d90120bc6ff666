#ifndef JAYCOURSE_MEMBER_H
#define JAYCOURSE_MEMBER_H

#include "msg.h"
#include "wire.h"

#include <stdbool.h>

/**
 * DOC: An entry's table of targets and entries
 *
 * Fed by HELLO, ANNOUNCE and HEARTBEAT from agents homed here and by TARGET_DELTA and DIGEST
 * from other entries. Changes happen on the loop thread; lookups take the table's lock and
 * may come from any thread.
 */

struct member;

/* Copy of one row; strings are owned by the talloc parent given to the lookup. */
struct member_target {
	int handle;	  /* index of the row; reused after the target is gone */
	const char *peer; /* "<node id>#<incarnation>" of the agent, for wire_send() */
	const char *node;
	const char *region;
	const char *zone;
	const char *rack;
	const char *address;
	enum msg_target_kind kind;
	const char *service;
	const char *target;
	uint64_t target_incarnation;
	enum msg_target_state state;
	uint32_t slots;
	uint32_t connections;
	uint32_t accelerators;
	uint32_t cores;
	uint32_t memory_mb;
	uint32_t in_flight;
	uint64_t accelerators_free;
	int64_t clock_offset_ms; /* agent clock estimate = util_clock_ms() + this; never ahead */
};

struct member_handlers {
	/* A target appeared or changed state; on the loop thread. */
	void (*on_target)(const struct member_target *target, void *ctx);
	void *ctx;
};

/** member_targets() - copies of all rows of a kind, owned by @mem; returns their number */
size_t member_targets(struct member *m, TALLOC_CTX *mem, enum msg_target_kind kind,
		      struct member_target **out);

/** member_find() - copy of the row of the agent on @node; false if there is none */
bool member_find(struct member *m, TALLOC_CTX *mem, const char *node, struct member_target *out);

/** member_subscribe() - be told of changes; at most 8 subscribers */
void member_subscribe(struct member *m, const struct member_handlers *handlers);

#endif
