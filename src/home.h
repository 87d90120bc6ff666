#ifndef JAYCOURSE_HOME_H
#define JAYCOURSE_HOME_H

#include "discover.h"
#include "wire.h"

/**
 * DOC: An agent's connections to the entries
 *
 * Keeps one connection to each entry, tells all of them about the target, and sends
 * heartbeats to one of them, the home entry, chosen by rendezvous hashing. Runs on the loop
 * thread.
 */

#define HOME_PERIOD_MS 1000
#define HOME_QUIET_PERIOD_MS 2000 /* period when nothing has changed for HOME_QUIET_AFTER_MS */
#define HOME_QUIET_AFTER_MS 10000
#define HOME_ACK_TIMEOUT_MS 3000

struct home;

struct home_deps {
	struct tevent_context *ev;
	struct wire *wire;
	struct httpc *http;
	struct store *store; /* NULL when no endpoints are set */
	const struct settings *settings;
	struct metrics *metrics;
	const char *self; /* own peer name */
	uint64_t incarnation;
	const char *address; /* own peer address as told to others */
	/* Fills the target's part of ANNOUNCE; false while there is no target. */
	bool (*fill_announce)(struct msg_announce *out, void *ctx);
	/* Fills the load in HEARTBEAT. */
	void (*fill_heartbeat)(struct msg_heartbeat *out, void *ctx);
	/* True while messages to an entry are outstanding, so that its connection is needed. */
	bool (*busy)(const char *peer, void *ctx);
	void *ctx;
};

/* All pointers in @deps are borrowed and must outlive the object. */
struct home *home_create(TALLOC_CTX *mem, const struct home_deps *deps);

/** home_announce() - the target's row has changed: tell every entry */
void home_announce(struct home *h);

/** home_resumed() - the process was frozen: introduce it again and restart the timeouts */
void home_resumed(struct home *h, uint64_t now_ms);

/** home_tick() - send what is due; call several times a second */
void home_tick(struct home *h, uint64_t now_ms);

/**
 * home_message() - true if the message was HEARTBEAT_ACK or ENTRIES
 *
 * Call it with every message: any message shows that an entry is alive.
 */
bool home_message(struct home *h, const char *peer, const struct msg *msg);

/** home_connected() - true while the home entry answers heartbeats */
bool home_connected(const struct home *h);

/** home_choose() - index of the entry with the highest rendezvous weight for @node */
size_t home_choose(const char *const *peers, size_t count, const char *node);

#endif
