#ifndef JAYCOURSE_CONFIGREPO_H
#define JAYCOURSE_CONFIGREPO_H

#include "config.h"
#include "store.h"

/**
 * DOC: Configuration revisions
 *
 * A struct configrepo holds the revision in force on this node, follows the store through one
 * watch, accepts revisions from peers when the store is not reachable, and writes new revisions.
 * Freeing it drops the calls under way without their callbacks; a write that was sent may still
 * take effect. It runs on the loop thread; configrepo_current(), configrepo_release() and
 * configrepo_revision() may be called from any thread.
 */

struct configrepo;

/**
 * configrepo_create() - create a repository that follows the store
 * @on_change: called after a newer revision has come into force; never for an older one
 */
struct configrepo *configrepo_create(TALLOC_CTX *mem, struct tevent_context *ev,
				     struct store *store, struct metrics *metrics,
				     void (*on_change)(uint64_t revision, void *ctx), void *ctx);

/**
 * configrepo_current() - the configuration in force, or NULL before the first revision
 *
 * Return: a reference that the caller drops with configrepo_release().
 */
struct config *configrepo_current(struct configrepo *repo);

void configrepo_release(struct configrepo *repo, struct config *config);

uint64_t configrepo_revision(struct configrepo *repo);

/**
 * configrepo_offer() - accept a revision that a peer sent
 * @files: as for config_parse(), borrowed
 *
 * Return: 0 when the revision is now in force or already was, -ERR_STALE when it is older than
 * the one in force, -ERR_INVALID when it cannot be parsed.
 */
int configrepo_offer(struct configrepo *repo, uint64_t revision, json_t *files);

struct configrepo_apply {
	json_t *files; /* the whole folder, borrowed */
	/*
	 * Revision that the operator's change is based on. 0: the current one; on a node that has
	 * no configuration yet, the call then succeeds only if there is none.
	 */
	uint64_t base_revision;
	const char *by;
	const char *message;
	/*
	 * Announced workers, for the check of the guarantees when no fleet is planned. A change is
	 * not refused when the guarantees in force do not fit these workers either.
	 */
	const struct place_worker_spec *workers;
	size_t worker_count;
};

/**
 * configrepo_apply() - write one new revision
 * @done: status 0 and the new revision; -ERR_CONFLICT with the newest revision and, in
 *	@text, the differences from it; -ERR_INVALID or -ERR_NEVER_FITS with the problems in @text;
 *	-ERR_UNAVAILABLE; or -ERR_OUTCOME_UNKNOWN when a write was
 *	sent and its outcome could not be read back
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
