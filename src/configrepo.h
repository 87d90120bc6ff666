#ifndef JAYCOURSE_CONFIGREPO_H
#define JAYCOURSE_CONFIGREPO_H

#include "config.h"
#include "store.h"

/**
 * DOC: Configuration revisions
 *
 * Holds the revision in force on this node, follows the store through one watch, takes
 * revisions from peers when the store is out of reach, and applies new ones. Runs on the
 * loop thread; configrepo_current() may be called from any thread.
 */

struct configrepo;

/**
 * configrepo_create() - start following the store
 * @on_change: called after a higher revision has come into force; never for a lower one
 */
struct configrepo *configrepo_create(TALLOC_CTX *mem, struct tevent_context *ev,
				     struct store *store, struct metrics *metrics,
				     void (*on_change)(uint64_t revision, void *ctx), void *ctx);

/**
 * configrepo_current() - the configuration in force, or NULL before the first
 *
 * Return: a reference that the caller gives back with configrepo_release().
 */
struct config *configrepo_current(struct configrepo *repo);

void configrepo_release(struct configrepo *repo, struct config *config);

uint64_t configrepo_revision(struct configrepo *repo);

/**
 * configrepo_offer() - a peer's revision
 * @files: as for config_parse(), borrowed
 *
 * Return: 0 when taken or already in force, -ERR_STALE when lower than the one in force,
 * -ERR_INVALID when it does not parse.
 */
int configrepo_offer(struct configrepo *repo, uint64_t revision, json_t *files);

struct configrepo_apply {
	json_t *files; /* the whole folder, borrowed */
	/* Revision the operator started from. 0: whatever is current, or on a node that has no
	 * configuration yet: only if there is none. */
	uint64_t base_revision;
	const char *by;
	const char *message;
	/* Announced fleet for the guarantee check, used when no fleet is planned. A change is not
	 * refused for guarantees when those in force do not fit it either. */
	const struct place_worker_spec *workers;
	size_t worker_count;
};

/**
 * configrepo_apply() - write one new revision
 * @done: status 0 and the new revision; -ERR_CONFLICT with the winner's revision and, in
 *	@text, what differs; -ERR_INVALID or -ERR_NEVER_FITS with the problems in @text;
 *	-ERR_UNAVAILABLE; or -ERR_OUTCOME_UNKNOWN when even reading back failed
 */
void configrepo_apply(struct configrepo *repo, const struct configrepo_apply *request,
		      void (*done)(int status, uint64_t revision, const char *text, void *ctx),
		      void *ctx);

/**
 * configrepo_history() - the last @limit revisions as a JSON array, newest first, each
 * {"revision","by","when","message","changed":[names],"removed":[names]}
 */
void configrepo_history(struct configrepo *repo, uint32_t limit,
			void (*done)(int status, json_t *history, void *ctx), void *ctx);

#endif
