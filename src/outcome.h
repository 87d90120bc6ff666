#ifndef JAYCOURSE_OUTCOME_H
#define JAYCOURSE_OUTCOME_H

#include "msg.h"
#include "stream.h"

/**
 * DOC: What became of idempotency keys on this agent
 *
 * Remembers which keys run, have run or are fenced, so that a key runs at most once here.
 * Records live as long as the entries' claims on the keys. When the table is full, the
 * oldest records go early; from then on the table cannot tell that a key never ran, until
 * the dropped records would have ended. Answers are kept while they fit into a bounded cache.
 */

#define OUTCOME_TTL_MS 86400000	   /* of records, until the configuration tells */
#define OUTCOME_MIN_MS 600000	   /* no record is dropped earlier: a REQUEST may still arrive */
#define OUTCOME_RECORDS_MAX 262144 /* about 24 MB */
#define OUTCOME_CACHE_BYTES (16 * 1024 * 1024)

struct outcomes;

enum outcome_state {
	OUTCOME_NONE, /* no record */
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

/** outcomes_set_ttl() - time that records live, at least OUTCOME_MIN_MS */
void outcomes_set_ttl(struct outcomes *o, uint64_t ttl_ms);

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
int outcomes_start(struct outcomes *o, uint64_t key, struct answer *answer, uint64_t now_ms);

/** outcomes_finish() - the run has ended, whatever its result */
void outcomes_finish(struct outcomes *o, uint64_t key, uint64_t now_ms);

/** outcomes_forget() - the key certainly did not run */
void outcomes_forget(struct outcomes *o, uint64_t key);

/**
 * outcomes_fence() - refuse the key from now on
 *
 * Return: 0, -ERR_EXISTS when the key is known, -ERR_QUEUE_FULL when the table is full,
 * -ERR_OUTCOME_UNKNOWN when the key may have run and its record was dropped.
 */
int outcomes_fence(struct outcomes *o, uint64_t key, uint64_t now_ms);

/** outcomes_tick() - drop records that have reached their time to live */
void outcomes_tick(struct outcomes *o, uint64_t now_ms);

#endif
