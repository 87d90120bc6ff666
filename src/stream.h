#ifndef JAYCOURSE_STREAM_H
#define JAYCOURSE_STREAM_H

#include "slots.h"
#include "wire.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Answers on their way to entries
 *
 * An answer is filled by one run at the target and read by any number of readers (entries).
 * Each reader gets CHUNK and END messages within the credit it has given. An
 * answer is reference counted: the run, the table of outcomes and each reader hold it.
 */

#define STREAM_CHUNK_BYTES (64 * 1024)
#define STREAM_CREDIT_BYTES (256 * 1024) /* of a reader before its first CREDIT */
#define STREAM_KEEP_BYTES (512 * 1024)	 /* longer answers are not kept for later readers */

struct streams;
struct answer;

/* Borrowed pointers must outlive the object. */
struct streams *streams_create(TALLOC_CTX *mem, struct tevent_context *ev, struct wire *wire,
			       struct slots *slots, struct metrics *metrics);

/** streams_credit() - CREDIT from an entry; ignored for an unknown reader */
void streams_credit(struct streams *s, const char *peer, uint64_t id, uint64_t bytes);

/**
 * streams_leave() - an entry no longer wants an answer
 *
 * Return: the answer, valid until the loop's next turn at least if a run holds it; NULL for
 * an unknown reader.
 */
struct answer *streams_leave(struct streams *s, const char *peer, uint64_t id);

/** streams_known() - true while the reader has not got its END */
bool streams_known(const struct streams *s, const char *peer, uint64_t id);

/** streams_peer() - true while an entry waits for any answer */
bool streams_peer(const struct streams *s, const char *peer);

/** streams_tick() - end readers that have given no credit for long */
void streams_tick(struct streams *s, uint64_t now_ms);

/** streams_active() - readers that have not got their END */
uint32_t streams_active(const struct streams *s);

/**
 * answer_create() - an empty answer with one reference
 * @keep: keep all bytes for later readers, up to STREAM_KEEP_BYTES
 */
struct answer *answer_create(struct streams *s, bool keep);

struct answer *answer_ref(struct answer *a);

void answer_unref(struct answer *a);

/** answer_on_drained() - be called when answer_full() has become false */
void answer_on_drained(struct answer *a, void (*drained)(void *ctx), void *ctx);

/** answer_read() - add a reader from the first byte; call only while answer_whole() */
void answer_read(struct answer *a, const char *peer, uint64_t id);

/** answer_readers() - number of readers that have not got their END */
uint32_t answer_readers(const struct answer *a);

/** answer_full() - true when the run should stop reading from the target for now */
bool answer_full(const struct answer *a);

/** answer_append() - more bytes from the target, copied */
void answer_append(struct answer *a, const void *data, size_t len);

/** answer_head() - HTTP status and content type of the target's answer, copied */
void answer_head(struct answer *a, int http_status, const char *content_type);

/** answer_finish() - the run has ended; @code: 0 or an enum err_code for a partial answer */
void answer_finish(struct answer *a, enum err_code code);

/** answer_not_run() - the work certainly did not run: tell the readers and drop them */
void answer_not_run(struct answer *a, enum err_code code, const char *reason);

/** answer_whole() - true when every byte received so far is still here */
bool answer_whole(const struct answer *a);

/** answer_drop_bytes() - free the bytes that no reader waits for; returns their number */
size_t answer_drop_bytes(struct answer *a);

/** answer_size() - bytes held in memory */
size_t answer_size(const struct answer *a);

/** stream_not_run() - send one NOT_RUN */
void stream_not_run(struct streams *s, const char *peer, uint64_t id, enum err_code code,
		    const char *reason);

/** stream_end() - send one END that says why there is no whole answer */
void stream_end(struct streams *s, const char *peer, uint64_t id, enum err_code code);

#endif
