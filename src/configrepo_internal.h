#ifndef JAYCOURSE_CONFIGREPO_INTERNAL_H
#define JAYCOURSE_CONFIGREPO_INTERNAL_H

#include "configrepo.h"
#include "util.h"

#include <pthread.h>

/** DOC: Shared by configrepo.c and configapply.c only */

struct config_held;
struct config_job;

struct configrepo {
	struct tevent_context *ev;
	struct store *store;
	struct metrics *metrics;
	int revision_gauge;
	void (*on_change)(uint64_t revision, void *ctx);
	void *ctx;
	struct store_watch *watch;
	struct tevent_timer *timer;
	struct util_rng rng;
	pthread_mutex_t lock;	  /* guards @held */
	struct config_held *held; /* configuration in force, NULL before the first */

	/* The newest known revision; it is not in force when this build cannot read it. */
	uint64_t head;
	json_t *files;
	uint64_t snapshot;    /* revision of the snapshot, 0: none */
	int64_t snapshot_mod; /* its modification revision in the store, 0: none */
	bool syncing;
	bool gap;   /* the records do not follow the head; only a snapshot helps */
	bool again; /* read once more after the reading under way */
	uint32_t failures;
	struct config_job *waiting; /* jobs that wait for the end of a reading */
};

/** configrepo_sync() - read what is newer than the head */
void configrepo_sync(struct configrepo *repo);

/** configrepo_advance() - take the record of revision head + 1; false when it does not fit */
bool configrepo_advance(struct configrepo *repo, const char *record, size_t len);

/** configapply_synced() - a reading has ended; continue the waiting jobs */
void configapply_synced(struct configrepo *repo, int status);

#endif
