#ifndef JAYCOURSE_PEERS_H
#define JAYCOURSE_PEERS_H

#include "configrepo.h"
#include "member.h"
#include "settings.h"

#include <jansson.h>

/**
 * DOC: Exchange of membership and configuration between entries and with agents
 *
 * Registers this entry in the store, keeps connections to the other entries, exchanges the
 * target table and configuration revisions with them, and serves the membership messages of
 * agents. Runs on the loop thread.
 */

struct peers;

/* All pointers are borrowed and must outlive the peers. */
struct peers_deps {
	struct tevent_context *ev;
	struct wire *wire;
	struct store *store;
	struct membership *members;
	struct configrepo *configs;
	struct metrics *metrics;
	const struct settings *settings;
	const char *self; /* peer name of this entry */
	uint64_t incarnation;
	const char *peer_address; /* as sent to other processes */
	const char *http_address;
	/* The number of live entries, this one included, has changed. */
	void (*on_entries)(uint32_t count, void *ctx);
	void *ctx;
};

struct peers *peers_create(TALLOC_CTX *mem, const struct peers_deps *deps);

/** peers_message() - handle a message; false if it is not about membership or configuration */
bool peers_message(struct peers *peers, const char *peer, const struct msg *msg);

/** peers_entries() - live entries as a JSON array of {"peer","peer_address",…}; new reference */
json_t *peers_entries(struct peers *peers);

/** peers_registered() - true once this entry is listed in the store */
bool peers_registered(const struct peers *peers);

/**
 * peers_leave() - remove this entry from the list of entries; agents choose other home entries
 *
 * Agents close their connections to this entry, so all requests must have ended.
 */
void peers_leave(struct peers *peers);

#endif
