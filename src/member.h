#ifndef JAYCOURSE_MEMBER_H
#define JAYCOURSE_MEMBER_H

#include "msg.h"
#include "wire.h"

#include <stdbool.h>

/**
 * DOC: An entry's membership table, with one row for each agent and its target
 *
 * The home entry of an agent is the one entry that receives its heartbeats and reports its row
 * to the other entries. The table is updated by HELLO, ANNOUNCE and HEARTBEAT from agents and by
 * TARGET_DELTA and DIGEST from other entries. Changes happen on the loop thread; lookups take
 * the table's lock and may come from any thread.
 */

struct membership;

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
	/* util_clock_ms() + this estimates the agent's clock, and is never ahead of that clock. */
	int64_t clock_offset_ms;
	bool reachable;	   /* the agent itself has sent its clock to this entry */
	uint64_t known_ms; /* when another entry first reported it; 0: none has */
};

struct member_handlers {
	/* A target appeared or changed state; on the loop thread. */
	void (*on_target)(const struct member_target *target, void *ctx);
	/* The load last reported for an agent; may be NULL. */
	void (*on_load)(const char *peer, uint32_t in_flight, void *ctx);
	void *ctx;
};

/* Time without a sign of life after which a row becomes suspect; design section 5. */
#define MEMBER_SUSPECT_MS 2500
#define MEMBER_REMOVE_MS 30000 /* likewise, after which a row is removed */
/*
 * Replaces MEMBER_SUSPECT_MS while the agent's home entry is silent too: the agent needs one
 * detection period to move to another home entry.
 */
#define MEMBER_HOME_LOST_MS (2 * MEMBER_SUSPECT_MS)

/**
 * member_create() - create an empty table
 * @self: peer name of this entry, copied
 */
struct membership *member_create(TALLOC_CTX *mem, const char *self);

/*
 * Events, handled on the loop thread. @peer is the sender's peer name, @now_ms is util_clock_ms().
 * Reports of an incarnation older than the one known are ignored.
 */

void member_hello(struct membership *table, const struct msg_hello *hello, uint64_t now_ms);

void member_announce(struct membership *table, const struct msg_announce *announce,
		     uint64_t now_ms);

/**
 * member_heartbeat() - record a heartbeat; makes this entry the agent's home entry
 *
 * Return: false when the agent or its target is unknown.
 */
bool member_heartbeat(struct membership *table, const char *peer,
		      const struct msg_heartbeat *heartbeat, uint64_t now_ms);

/** member_delta() - apply the rows that another entry reports for its agents */
void member_delta(struct membership *table, const char *peer, const struct msg_target_delta *delta,
		  uint64_t now_ms);

/**
 * member_digest() - compare the sender's digest with this table's rows of the sender's agents
 *
 * Return: true when they differ, so that the sender's rows have to be pulled.
 */
bool member_digest(struct membership *table, const char *peer, const struct msg_digest *digest,
		   uint64_t now_ms);

/** member_tick() - apply the time limits; call every few hundred milliseconds */
void member_tick(struct membership *table, uint64_t now_ms);

/**
 * member_resumed() - this process did not run for @gap_ms
 *
 * What others sent meanwhile has not been read yet, so the gap does not count as their silence.
 */
void member_resumed(struct membership *table, uint64_t gap_ms);

/**
 * member_collect_delta() - collect the rows that this entry reports to the other entries
 * @full: collect all own rows, not only those changed since the last call with @full false
 * @out: row array owned by @mem; its strings are borrowed until the next event
 *
 * Own rows are those of the agents whose home entry this is.
 *
 * Return: number of rows.
 */
size_t member_collect_delta(struct membership *table, TALLOC_CTX *mem, bool full,
			    struct msg_target_delta *out);

/** member_own_digest() - fill row_count and rows_hash for this entry's own rows */
void member_own_digest(struct membership *table, struct msg_digest *out);

/** member_state_name() - "alive", "suspect", "leaving" or "gone" */
const char *member_state_name(enum msg_target_state state);

/** member_targets() - copies of all rows of a kind, owned by @mem; returns their number */
size_t member_targets(struct membership *table, TALLOC_CTX *mem, enum msg_target_kind kind,
		      struct member_target **out);

/** member_find() - copy of the row of the agent on @node; false if there is none */
bool member_find(struct membership *table, TALLOC_CTX *mem, const char *node,
		 struct member_target *out);

/** member_subscribe() - register handlers for changes; at most 8 can be registered */
void member_subscribe(struct membership *table, const struct member_handlers *handlers);

#endif
