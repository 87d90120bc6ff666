#include "stream.h"
#include "log.h"
#include "util.h"

#include <string.h>

#define CREDIT_MAX_BYTES (16 * 1024 * 1024) /* of one reader; more than any entry grants */
#define READER_STALL_MS 30000		    /* a reader without credit for this time is dropped */
#define SEND_RETRY_MS 20		    /* pause when a peer's send buffer is full */

struct reader {
	struct reader *next;
	struct answer *answer; /* holds a reference */
	char *peer;
	uint64_t id;
	uint64_t offset;
	uint64_t credit;
	uint64_t checksum;
	uint64_t last_progress_ms;
};

struct answer {
	struct streams *streams;
	unsigned int refs;
	bool keep;
	bool finished;
	enum err_code code;
	int http_status;
	char *content_type;
	uint64_t base; /* offset of the first byte in memory */
	uint64_t end;  /* offset after the last byte received */
	uint8_t *data;
	size_t allocated;
	void (*drained)(void *ctx);
	void *drained_ctx;
};

struct streams {
	struct tevent_context *ev;
	struct wire *wire;
	struct slots *slots;
	struct metrics *metrics;
	struct reader *readers;
	struct tevent_timer *retry;
};

struct streams *streams_create(TALLOC_CTX *mem, struct tevent_context *ev, struct wire *wire,
			       struct slots *slots, struct metrics *metrics)
{
	struct streams *streams = talloc_zero(mem, struct streams);

	streams->ev = ev;
	streams->wire = wire;
	streams->slots = slots;
	streams->metrics = metrics;
	return streams;
}

struct answer *answer_create(struct streams *streams, bool keep)
{
	struct answer *answer = talloc_zero(streams, struct answer);

	answer->streams = streams;
	answer->refs = 1;
	answer->keep = keep;
	answer->content_type = talloc_strdup(answer, "");
	return answer;
}

struct answer *answer_ref(struct answer *answer)
{
	answer->refs++;
	return answer;
}

void answer_unref(struct answer *answer)
{
	if (--answer->refs == 0)
		talloc_free(answer);
}

void answer_on_drained(struct answer *answer, void (*drained)(void *ctx), void *ctx)
{
	answer->drained = drained;
	answer->drained_ctx = ctx;
}

static struct reader *find_reader(const struct streams *streams, const char *peer, uint64_t id)
{
	for (struct reader *reader = streams->readers; reader; reader = reader->next) {
		if (reader->id == id && !strcmp(reader->peer, peer))
			return reader;
	}
	return NULL;
}

static void remove_reader(struct streams *streams, struct reader *reader)
{
	struct reader **link = &streams->readers;

	while (*link != reader)
		link = &(*link)->next;
	*link = reader->next;
	answer_unref(reader->answer);
	talloc_free(reader);
}

/* Returns the offset of the slowest reader, or the end of an answer without readers. */
static uint64_t slowest_reader_offset(const struct answer *answer)
{
	uint64_t offset = answer->end;

	for (const struct reader *reader = answer->streams->readers; reader;
	     reader = reader->next) {
		if (reader->answer == answer && reader->offset < offset)
			offset = reader->offset;
	}
	return offset;
}

static void drop_read_bytes(struct answer *answer)
{
	uint64_t first = slowest_reader_offset(answer);

	if (answer->keep || first <= answer->base)
		return;
	memmove(answer->data, answer->data + (first - answer->base), answer->end - first);
	answer->base = first;
	if (answer->base < answer->end)
		return;
	TALLOC_FREE(answer->data);
	answer->allocated = 0;
}

bool answer_full(const struct answer *answer)
{
	return !answer->keep &&
	       answer->end - slowest_reader_offset(answer) >= STREAM_INITIAL_CREDIT_BYTES;
}

static void retry_event(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			void *data);

static void schedule_retry(struct streams *streams)
{
	if (streams->retry)
		return;
	streams->retry = tevent_add_timer(streams->ev, streams,
					  tevent_timeval_current_ofs(0, SEND_RETRY_MS * 1000),
					  retry_event, streams);
}

static int send_chunk(struct reader *reader)
{
	const struct answer *answer = reader->answer;
	uint64_t len = answer->end - reader->offset;
	struct msg msg = {.type = MSG_CHUNK};
	int ret;

	if (len > STREAM_CHUNK_BYTES)
		len = STREAM_CHUNK_BYTES;
	if (len > reader->credit)
		len = reader->credit;
	msg.u.chunk.id = reader->id;
	msg.u.chunk.offset = reader->offset;
	msg.u.chunk.data.data = answer->data + (reader->offset - answer->base);
	msg.u.chunk.data.len = len;
	if (reader->offset == 0) {
		msg.u.chunk.status = (uint64_t)answer->http_status;
		msg.u.chunk.content_type = answer->content_type;
	}
	ret = wire_send(answer->streams->wire, reader->peer, &msg);
	if (ret)
		return ret;
	reader->checksum = util_hash64(msg.u.chunk.data.data, len, reader->checksum);
	reader->offset += len;
	reader->credit -= len;
	reader->last_progress_ms = util_clock_ms();
	return 0;
}

static int send_end(struct reader *reader)
{
	const struct answer *answer = reader->answer;
	struct msg msg = {.type = MSG_END};

	msg.u.end.id = reader->id;
	msg.u.end.code = answer->code;
	msg.u.end.status = (uint64_t)answer->http_status;
	msg.u.end.content_type = answer->content_type;
	msg.u.end.length = reader->offset;
	msg.u.end.checksum = reader->checksum;
	msg.u.end.in_flight = slots_in_flight(answer->streams->slots);
	return wire_send(answer->streams->wire, reader->peer, &msg);
}

/* Sends what the reader's credit allows; frees it after END or when its peer is gone. */
static void send_to_reader(struct reader *reader)
{
	struct streams *streams = reader->answer->streams;
	struct answer *answer = reader->answer;
	int ret = 0;

	while (!ret && reader->offset < answer->end && reader->credit > 0)
		ret = send_chunk(reader);
	if (!ret && answer->finished && reader->offset == answer->end) {
		ret = send_end(reader);
		if (!ret) {
			remove_reader(streams, reader);
			return;
		}
	}
	if (ret == -ERR_QUEUE_FULL) {
		schedule_retry(streams);
	} else if (ret) {
		metrics_count(streams->metrics, "jaycourse_answers_undeliverable_total", "",
			      "Answers whose entry was gone");
		remove_reader(streams, reader);
	}
}

static void send_to_readers(struct answer *answer)
{
	struct streams *streams = answer->streams;
	struct reader *next;

	answer_ref(answer);
	for (struct reader *reader = streams->readers; reader; reader = next) {
		next = reader->next;
		if (reader->answer == answer)
			send_to_reader(reader);
	}
	drop_read_bytes(answer);
	answer_unref(answer);
}

/* Tells the run to read on from the target when the answer is no longer full. */
static void notify_drained(struct answer *answer)
{
	if (answer->drained && !answer_full(answer))
		answer->drained(answer->drained_ctx);
}

static void retry_event(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			void *data)
{
	struct streams *streams = data;
	struct reader *next;

	streams->retry = NULL;
	for (struct reader *reader = streams->readers; reader; reader = next) {
		struct answer *answer = answer_ref(reader->answer);

		next = reader->next;
		send_to_reader(reader);
		drop_read_bytes(answer);
		answer_unref(answer);
	}
	for (struct reader *reader = streams->readers; reader; reader = reader->next)
		notify_drained(reader->answer);
}

void answer_add_reader(struct answer *answer, const char *peer, uint64_t id)
{
	struct streams *streams = answer->streams;
	struct reader *reader = talloc_zero(streams, struct reader);

	reader->answer = answer_ref(answer);
	reader->peer = talloc_strdup(reader, peer);
	reader->id = id;
	reader->credit = STREAM_INITIAL_CREDIT_BYTES;
	reader->last_progress_ms = util_clock_ms();
	reader->next = streams->readers;
	streams->readers = reader;
	send_to_reader(reader);
}

uint32_t answer_reader_count(const struct answer *answer)
{
	uint32_t count = 0;

	for (const struct reader *reader = answer->streams->readers; reader; reader = reader->next)
		count += reader->answer == answer;
	return count;
}

static void grow_buffer(struct answer *answer, size_t more)
{
	size_t used = answer->end - answer->base;

	if (used + more <= answer->allocated)
		return;
	answer->allocated =
		used + more > 2 * answer->allocated ? used + more : 2 * answer->allocated;
	answer->data = talloc_realloc(answer, answer->data, uint8_t, answer->allocated);
}

void answer_append(struct answer *answer, const void *data, size_t len)
{
	grow_buffer(answer, len);
	memcpy(answer->data + (answer->end - answer->base), data, len);
	answer->end += len;
	if (answer->end > STREAM_KEEP_MAX_BYTES)
		answer->keep = false;
	send_to_readers(answer);
}

void answer_set_head(struct answer *answer, int http_status, const char *content_type)
{
	answer->http_status = http_status;
	talloc_free(answer->content_type);
	answer->content_type = talloc_strdup(answer, content_type);
}

void answer_finish(struct answer *answer, enum err_code code)
{
	answer->code = code;
	answer->finished = true;
	answer->drained = NULL;
	send_to_readers(answer);
}

void stream_send_not_run(struct streams *streams, const char *peer, uint64_t id, enum err_code code,
			 const char *reason)
{
	struct msg msg = {.type = MSG_NOT_RUN};

	msg.u.not_run.id = id;
	msg.u.not_run.code = code;
	msg.u.not_run.reason = reason;
	msg.u.not_run.in_flight = slots_in_flight(streams->slots);
	wire_send(streams->wire, peer, &msg);
}

void stream_send_end(struct streams *streams, const char *peer, uint64_t id, enum err_code code)
{
	struct msg msg = {.type = MSG_END};

	msg.u.end.id = id;
	msg.u.end.code = code;
	msg.u.end.in_flight = slots_in_flight(streams->slots);
	wire_send(streams->wire, peer, &msg);
}

void answer_send_not_run(struct answer *answer, enum err_code code, const char *reason)
{
	struct streams *streams = answer->streams;
	struct reader *next;

	answer_ref(answer);
	for (struct reader *reader = streams->readers; reader; reader = next) {
		next = reader->next;
		if (reader->answer != answer)
			continue;
		stream_send_not_run(streams, reader->peer, reader->id, code, reason);
		remove_reader(streams, reader);
	}
	answer_unref(answer);
}

bool answer_has_all_bytes(const struct answer *answer)
{
	return answer->base == 0;
}

size_t answer_drop_bytes(struct answer *answer)
{
	size_t before = answer->allocated;

	answer->keep = false;
	drop_read_bytes(answer);
	return before - answer->allocated;
}

size_t answer_size(const struct answer *answer)
{
	return answer->allocated;
}

void streams_add_credit(struct streams *streams, const char *peer, uint64_t id, uint64_t bytes)
{
	struct reader *reader = find_reader(streams, peer, id);
	struct answer *answer;

	if (!reader)
		return;
	if (bytes > CREDIT_MAX_BYTES - reader->credit)
		bytes = CREDIT_MAX_BYTES - reader->credit;
	reader->credit += bytes;
	reader->last_progress_ms = util_clock_ms();
	answer = answer_ref(reader->answer);
	send_to_reader(reader);
	drop_read_bytes(answer);
	notify_drained(answer);
	answer_unref(answer);
}

struct answer *streams_remove_reader(struct streams *streams, const char *peer, uint64_t id)
{
	struct reader *reader = find_reader(streams, peer, id);
	struct answer *answer;

	if (!reader)
		return NULL;
	answer = reader->answer;
	if (answer->refs == 1)
		answer = NULL;
	remove_reader(streams, reader);
	if (answer) {
		drop_read_bytes(answer);
		notify_drained(answer);
	}
	return answer;
}

bool streams_has_reader(const struct streams *streams, const char *peer, uint64_t id)
{
	return find_reader(streams, peer, id) != NULL;
}

void streams_tick(struct streams *streams, uint64_t now_ms)
{
	struct reader *next;

	for (struct reader *reader = streams->readers; reader; reader = next) {
		next = reader->next;
		if (reader->credit > 0 || now_ms < reader->last_progress_ms + READER_STALL_MS)
			continue;
		log_warn("reader_stalled", "", "entry %s granted no credit for request %llu",
			 reader->peer, (unsigned long long)reader->id);
		metrics_count_refusal(streams->metrics, "reader_stalled");
		stream_send_end(streams, reader->peer, reader->id, ERR_OUTCOME_UNKNOWN);
		streams_remove_reader(streams, reader->peer, reader->id);
	}
}

bool streams_has_peer(const struct streams *streams, const char *peer)
{
	for (const struct reader *reader = streams->readers; reader; reader = reader->next) {
		if (!strcmp(reader->peer, peer))
			return true;
	}
	return false;
}

uint32_t streams_reader_count(const struct streams *streams)
{
	uint32_t count = 0;

	for (const struct reader *reader = streams->readers; reader; reader = reader->next)
		count++;
	return count;
}
