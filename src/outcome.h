#ifndef JAYCOURSE_OUTCOME_H
#define JAYCOURSE_OUTCOME_H

#include "msg.h"
#include "stream.h"

/**
 * DOC: What became of idempotency keys on this agent
 *
 * Remembers for OUTCOME_TTL_MS which keys run, have run or are fenced, so that a key runs
 * at most once here. Answers are kept while they fit into a bounded cache. No record is
 * dropped early: a full table refuses new keys.
 */

#define OUTCOME_TTL_MS 3600000	   /* records are forgotten after this */
#define OUTCOME_RECORDS_MAX 262144 /* about 24 MB */
#define OUTCOME_CACHE_BYTES (16 * 1024 * 1024)

struct outcomes;

enum outcome_state {
	OUTCOME_NONE, /* never seen here, or longer ago than OUTCOME_TTL_MS */
	OUTCOME_RUNNING,
	OUTCOME_FINISHED,
	OUTCOME_FENCED,
};

/**
 * outcomes_create() - an empty table
 * @records_max: 0 means OUTCOME_RECORDS_MAX
 * @cache_bytes: 0 means OUTCOME_CACHE_BYTES
 */
struct outcomes *outcomes_create(TALLOC_CTX *mem, size_t records_max, size_t cache_bytes);

/**
 * outcomes_find() - state of a key
 * @answer: receives the answer, borrowed; NULL when it is not kept
 */
enum outcome_state outcomes_find(const struct outcomes *o, uint64_t key, struct answer **answer);

/**
 * outcomes_start() - the key starts to run; takes a reference on @answer
 *
 * Return: 0, -ERR_EXISTS when the key is known, -ERR_QUEUE_FULL when the table is full.
 */
int outcomes_start(struct outcomes *o, uint64_t key, struct answer *answer);

/** outcomes_finish() - the run has ended, whatever its result */
void outcomes_finish(struct outcomes *o, uint64_t key, uint64_t now_ms);

/** outcomes_forget() - the key certainly did not run */
void outcomes_forget(struct outcomes *o, uint64_t key);

/** outcomes_fence() - refuse the key from now on; -ERR_EXISTS or -ERR_QUEUE_FULL otherwise */
int outcomes_fence(struct outcomes *o, uint64_t key, uint64_t now_ms);

/** outcomes_tick() - forget records older than OUTCOME_TTL_MS */
void outcomes_tick(struct outcomes *o, uint64_t now_ms);

#endif
