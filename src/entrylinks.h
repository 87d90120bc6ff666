#ifndef JAYCOURSE_ENTRYLINKS_H
#define JAYCOURSE_ENTRYLINKS_H

#include "discover.h"
#include "wire.h"

/**
 * DOC: An agent's connections to the entries
 *
 * Keeps one connection to each entry, announces the target to all of them, and sends
 * heartbeats to one of them, the home entry, which is chosen by rendezvous hashing. Runs on the
 * loop thread.
 */

#define ENTRYLINKS_HEARTBEAT_MS 1000
/* Heartbeat period when nothing has changed for ENTRYLINKS_IDLE_AFTER_MS. */
#define ENTRYLINKS_IDLE_HEARTBEAT_MS 2000
#define ENTRYLINKS_IDLE_AFTER_MS 10000
#define ENTRYLINKS_ACK_TIMEOUT_MS 3000

struct entrylinks;

struct entrylinks_deps {
	struct tevent_context *ev;
	struct wire *wire;
	struct httpc *http;
	struct store *store; /* NULL when no endpoints are set */
	const struct settings *settings;
	struct metrics *metrics;
	const char *self; /* own peer name */
	uint64_t incarnation;
	const char *address; /* own peer address as advertised to other processes */
	/* Fills in the target's part of ANNOUNCE; false while there is no target. */
	bool (*fill_announce)(struct msg_announce *out, void *ctx);
	/* Fills in the load and the configuration revision of HEARTBEAT. */
	void (*fill_heartbeat)(struct msg_heartbeat *out, void *ctx);
	/* True while messages to an entry are outstanding, so that its connection is needed. */
	bool (*is_peer_busy)(const char *peer, void *ctx);
	void *ctx;
};

/* All pointers in @deps are borrowed and must outlive the object. */
struct entrylinks *entrylinks_create(TALLOC_CTX *mem, const struct entrylinks_deps *deps);

/** entrylinks_announce() - announce the target's changed state to every entry */
void entrylinks_announce(struct entrylinks *links);

/** entrylinks_resumed() - send HELLO again and restart the timeouts after the process was frozen */
void entrylinks_resumed(struct entrylinks *links, uint64_t now_ms);

/** entrylinks_tick() - send the messages that are due; call several times a second */
void entrylinks_tick(struct entrylinks *links, uint64_t now_ms);

/**
 * entrylinks_message() - handle a message; true if it was HEARTBEAT_ACK or ENTRIES
 *
 * Call it with every message: any message shows that an entry is alive.
 */
bool entrylinks_message(struct entrylinks *links, const char *peer, const struct msg *msg);

/** entrylinks_connected() - true while the home entry answers heartbeats */
bool entrylinks_connected(const struct entrylinks *links);

/** entrylinks_choose_home() - index of the entry with the highest rendezvous weight for @node */
size_t entrylinks_choose_home(const char *const *peers, size_t count, const char *node);

#endif
