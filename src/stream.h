#ifndef JAYCOURSE_STREAM_H
#define JAYCOURSE_STREAM_H

#include "slots.h"
#include "wire.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Streaming of answers to entries
 *
 * An answer is filled by one run at the target and read by any number of readers (entries).
 * Each reader receives CHUNK and END messages within the credit that it has granted. An answer
 * is reference counted: the run, the table of outcomes and each reader hold a reference.
 */

#define STREAM_CHUNK_BYTES (64 * 1024)
#define STREAM_INITIAL_CREDIT_BYTES (256 * 1024) /* of a reader before its first CREDIT message */
#define STREAM_KEEP_MAX_BYTES (512 * 1024)	 /* longer answers are not kept for later readers */

struct streams;
struct answer;

/* All pointers but @mem are borrowed and must outlive the object. */
struct streams *streams_create(TALLOC_CTX *mem, struct tevent_context *ev, struct wire *wire,
			       struct slots *slots, struct metrics *metrics);

/** streams_add_credit() - adds credit that an entry has granted; ignored for an unknown reader */
void streams_add_credit(struct streams *streams, const char *peer, uint64_t id, uint64_t bytes);

/**
 * streams_remove_reader() - removes the reader of an entry that no longer wants an answer
 *
 * Return: the answer, borrowed; NULL for an unknown reader or when the reader held the last
 * reference. While a run holds the answer, it stays valid at least until the next iteration of
 * the event loop.
 */
struct answer *streams_remove_reader(struct streams *streams, const char *peer, uint64_t id);

/** streams_has_reader() - true while the reader waits for its END */
bool streams_has_reader(const struct streams *streams, const char *peer, uint64_t id);

/** streams_has_peer() - true while the entry @peer waits for any answer */
bool streams_has_peer(const struct streams *streams, const char *peer);

/** streams_tick() - ends readers that have been without credit for too long */
void streams_tick(struct streams *streams, uint64_t now_ms);

/** streams_reader_count() - number of readers that wait for their END */
uint32_t streams_reader_count(const struct streams *streams);

/**
 * answer_create() - an empty answer with one reference
 * @keep: keep all bytes for later readers, up to STREAM_KEEP_MAX_BYTES
 */
struct answer *answer_create(struct streams *streams, bool keep);

struct answer *answer_ref(struct answer *answer);

void answer_unref(struct answer *answer);

/** answer_on_drained() - sets the function that is called when answer_full() has become false */
void answer_on_drained(struct answer *answer, void (*drained)(void *ctx), void *ctx);

/**
 * answer_add_reader() - adds a reader that starts at the first byte
 *
 * Call it only while answer_has_all_bytes() is true.
 */
void answer_add_reader(struct answer *answer, const char *peer, uint64_t id);

/** answer_reader_count() - number of readers of this answer that wait for their END */
uint32_t answer_reader_count(const struct answer *answer);

/** answer_full() - true when the run should stop reading from the target for now */
bool answer_full(const struct answer *answer);

/** answer_append() - appends bytes from the target, copied */
void answer_append(struct answer *answer, const void *data, size_t len);

/** answer_set_head() - sets the HTTP status and content type of the target's answer, copied */
void answer_set_head(struct answer *answer, int http_status, const char *content_type);

/** answer_finish() - the run has ended; @code: 0 or an enum err_code for a partial answer */
void answer_finish(struct answer *answer, enum err_code code);

/**
 * answer_send_not_run() - sends NOT_RUN to all readers and removes them
 *
 * Call it only when the work certainly did not run.
 */
void answer_send_not_run(struct answer *answer, enum err_code code, const char *reason);

/** answer_has_all_bytes() - true while every byte received so far is in memory */
bool answer_has_all_bytes(const struct answer *answer);

/** answer_drop_bytes() - frees the bytes that no reader waits for; returns their number */
size_t answer_drop_bytes(struct answer *answer);

/** answer_size() - bytes held in memory */
size_t answer_size(const struct answer *answer);

/** stream_send_not_run() - sends one NOT_RUN */
void stream_send_not_run(struct streams *streams, const char *peer, uint64_t id, enum err_code code,
			 const char *reason);

/** stream_send_end() - sends one END whose @code says why there is no complete answer */
void stream_send_end(struct streams *streams, const char *peer, uint64_t id, enum err_code code);

#endif
