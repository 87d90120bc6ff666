#ifndef JAYCOURSE_OUTCOME_H
#define JAYCOURSE_OUTCOME_H

#include "msg.h"
#include "stream.h"

/**
 * DOC: Outcomes of requests with an idempotency key on this agent
 *
 * The table records which keys are running, have run or are fenced, so that a key runs at most
 * once here. Records live as long as the entries' claims on the keys. When the table is full,
 * the oldest records are dropped early; from then on the table cannot tell that a key never ran,
 * until the dropped records would have expired. Answers are kept in a cache of bounded size.
 */

#define OUTCOME_TTL_MS 86400000	   /* time that records live, until the configuration sets it */
#define OUTCOME_TTL_MIN_MS 600000  /* no record is dropped earlier: a REQUEST may still arrive */
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

/** outcomes_set_ttl() - set the time that later records live, at least OUTCOME_TTL_MIN_MS */
void outcomes_set_ttl(struct outcomes *outcomes, uint64_t ttl_ms);

/**
 * outcomes_find() - state of a key
 * @answer: receives the answer, borrowed; NULL if there is none or it has left the cache
 */
enum outcome_state outcomes_find(const struct outcomes *outcomes, uint64_t key,
				 struct answer **answer);

/**
 * outcomes_start() - record that the request of @key starts to run
 * @answer: the table takes a reference
 *
 * Return: 0, -ERR_EXISTS when the key is known, -ERR_QUEUE_FULL when the table is full.
 */
int outcomes_start(struct outcomes *outcomes, uint64_t key, struct answer *answer, uint64_t now_ms);

/** outcomes_finish() - record that the request of @key has ended, whatever its result */
void outcomes_finish(struct outcomes *outcomes, uint64_t key, uint64_t now_ms);

/** outcomes_forget() - remove the record of a running key whose request certainly did not run */
void outcomes_forget(struct outcomes *outcomes, uint64_t key);

/**
 * outcomes_fence() - record that requests with @key are to be refused from now on
 *
 * Return: 0, -ERR_EXISTS when the key is known, -ERR_QUEUE_FULL when the table is full,
 * -ERR_OUTCOME_UNKNOWN when the key may have run and its record was dropped.
 */
int outcomes_fence(struct outcomes *outcomes, uint64_t key, uint64_t now_ms);

/**
 * outcomes_drop_expired() - drop expired records
 *
 * Records are dropped in the order in which they ended, so an expired record stays while one
 * before it has not expired.
 */
void outcomes_drop_expired(struct outcomes *outcomes, uint64_t now_ms);

#endif
