#ifndef JAYCOURSE_CONFIGREPO_INTERNAL_H
#define JAYCOURSE_CONFIGREPO_INTERNAL_H

#include "callref.h"
#include "configrepo.h"
#include "util.h"

#include <pthread.h>

/** DOC: Declarations shared by configrepo.c and configapply.c */

struct config_shared;
struct config_apply;

struct configrepo {
	struct tevent_context *ev;
	struct store *store;
	struct callref *calls; /* context of store calls */
	struct metrics *metrics;
	int revision_gauge;
	void (*on_change)(uint64_t revision, void *ctx);
	void *ctx;
	struct store_watch *watch;
	struct tevent_timer *timer;
	struct util_rng rng;
	pthread_mutex_t lock;	       /* guards @current */
	struct config_shared *current; /* configuration in force, NULL before the first */

	/* Newest known revision and its files; not in force when this build cannot parse them. */
	uint64_t head;
	json_t *files;
	uint64_t snapshot;	       /* revision of the newest known snapshot; 0: none */
	uint64_t snapshot_writing;     /* revision of the snapshot that is being written; 0: none */
	int64_t snapshot_mod_revision; /* modification revision of its key in the store; 0: none */
	bool syncing;
	bool gap;	 /* no record continues from the head; a snapshot is needed */
	bool sync_again; /* sync once more after the one that is running */
	uint32_t failures;
	struct config_apply *waiting; /* calls that wait for the end of a sync */
};

/** configrepo_sync() - read the revisions newer than the head from the store */
void configrepo_sync(struct configrepo *repo);

/**
 * configrepo_advance() - apply the record of revision head + 1
 *
 * Return: false when the record is malformed or does not apply to the files of the head.
 */
bool configrepo_advance(struct configrepo *repo, const char *record, size_t len);

/** configapply_synced() - continue the waiting calls after a sync ended with @status */
void configapply_synced(struct configrepo *repo, int status);

#endif
