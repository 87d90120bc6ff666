#ifndef JAYCOURSE_DISCOVER_H
#define JAYCOURSE_DISCOVER_H

#include "httpc.h"
#include "metrics.h"
#include "settings.h"
#include "store.h"

/**
 * DOC: How an agent finds entry hosts
 *
 * Asks the seeds one after the other for the entries that they know; when no seed names an entry,
 * reads the store's prefix "entry/" once. Repeats this with jittered backoff until entries are
 * found or the search is stopped.
 */

struct discover;

struct discover_deps {
	struct tevent_context *ev;
	struct httpc *http;
	struct store *store; /* NULL when no endpoints are set */
	const struct settings *settings;
	struct metrics *metrics;
	/* Receives the entries found, at least one; the arrays are borrowed for the call. */
	void (*on_entries)(const char **peers, const char **addresses, size_t count, void *ctx);
	void *ctx;
};

/* All pointers in @deps are borrowed and must outlive the object. */
struct discover *discover_create(TALLOC_CTX *mem, const struct discover_deps *deps);

/** discover_start() - search until entries are found; does nothing if a search is under way */
void discover_start(struct discover *discover);

/** discover_stop() - end the search and reset the backoff, because an entry answers */
void discover_stop(struct discover *discover);

#endif
