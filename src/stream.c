#include "stream.h"
#include "log.h"
#include "util.h"

#include <string.h>

#define CREDIT_MAX_BYTES (16 * 1024 * 1024) /* more than any entry grants; bounds the sum */
#define STALL_MS 30000			    /* a reader without credit for this time is dropped */
#define RETRY_MS 20			    /* pause when a peer's send buffer is full */

struct reader {
	struct reader *next;
	struct answer *answer; /* holds a reference */
	char *peer;
	uint64_t id;
	uint64_t offset;
	uint64_t credit;
	uint64_t hash;
	uint64_t progress_ms;
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
	size_t room;
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
	struct streams *s = talloc_zero(mem, struct streams);

	s->ev = ev;
	s->wire = wire;
	s->slots = slots;
	s->metrics = metrics;
	return s;
}

struct answer *answer_create(struct streams *s, bool keep)
{
	struct answer *a = talloc_zero(s, struct answer);

	a->streams = s;
	a->refs = 1;
	a->keep = keep;
	a->content_type = talloc_strdup(a, "");
	return a;
}

struct answer *answer_ref(struct answer *a)
{
	a->refs++;
	return a;
}

void answer_unref(struct answer *a)
{
	if (--a->refs == 0)
		talloc_free(a);
}

void answer_on_drained(struct answer *a, void (*drained)(void *ctx), void *ctx)
{
	a->drained = drained;
	a->drained_ctx = ctx;
}

static struct reader *find_reader(const struct streams *s, const char *peer, uint64_t id)
{
	for (struct reader *r = s->readers; r; r = r->next) {
		if (r->id == id && !strcmp(r->peer, peer))
			return r;
	}
	return NULL;
}

static void remove_reader(struct streams *s, struct reader *reader)
{
	struct reader **at = &s->readers;

	while (*at != reader)
		at = &(*at)->next;
	*at = reader->next;
	answer_unref(reader->answer);
	talloc_free(reader);
}

/* Offset of the slowest reader; without readers, the end. */
static uint64_t slowest(const struct answer *a)
{
	uint64_t offset = a->end;

	for (const struct reader *r = a->streams->readers; r; r = r->next) {
		if (r->answer == a && r->offset < offset)
			offset = r->offset;
	}
	return offset;
}

static void trim(struct answer *a)
{
	uint64_t first = slowest(a);

	if (a->keep || first <= a->base)
		return;
	memmove(a->data, a->data + (first - a->base), a->end - first);
	a->base = first;
	if (a->base < a->end)
		return;
	TALLOC_FREE(a->data);
	a->room = 0;
}

bool answer_full(const struct answer *a)
{
	return !a->keep && a->end - slowest(a) >= STREAM_CREDIT_BYTES;
}

static void retry_event(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			void *data);

static void schedule_retry(struct streams *s)
{
	if (s->retry)
		return;
	s->retry = tevent_add_timer(s->ev, s, tevent_timeval_current_ofs(0, RETRY_MS * 1000),
				    retry_event, s);
}

static int send_chunk(struct reader *r)
{
	const struct answer *a = r->answer;
	uint64_t len = a->end - r->offset;
	struct msg msg = {.type = MSG_CHUNK};
	int ret;

	if (len > STREAM_CHUNK_BYTES)
		len = STREAM_CHUNK_BYTES;
	if (len > r->credit)
		len = r->credit;
	msg.u.chunk.id = r->id;
	msg.u.chunk.offset = r->offset;
	msg.u.chunk.data.data = a->data + (r->offset - a->base);
	msg.u.chunk.data.len = len;
	if (r->offset == 0) {
		msg.u.chunk.status = (uint64_t)a->http_status;
		msg.u.chunk.content_type = a->content_type;
	}
	ret = wire_send(a->streams->wire, r->peer, &msg);
	if (ret)
		return ret;
	r->hash = util_hash64(msg.u.chunk.data.data, len, r->hash);
	r->offset += len;
	r->credit -= len;
	r->progress_ms = util_clock_ms();
	return 0;
}

static int send_end(struct reader *r)
{
	const struct answer *a = r->answer;
	struct msg msg = {.type = MSG_END};

	msg.u.end.id = r->id;
	msg.u.end.code = a->code;
	msg.u.end.status = (uint64_t)a->http_status;
	msg.u.end.content_type = a->content_type;
	msg.u.end.length = r->offset;
	msg.u.end.checksum = r->hash;
	msg.u.end.in_flight = slots_in_flight(a->streams->slots);
	return wire_send(a->streams->wire, r->peer, &msg);
}

/* Sends what the credit allows; frees the reader after END or when its peer is gone. */
static void pump(struct reader *r)
{
	struct streams *s = r->answer->streams;
	struct answer *a = r->answer;
	int ret = 0;

	while (!ret && r->offset < a->end && r->credit > 0)
		ret = send_chunk(r);
	if (!ret && a->finished && r->offset == a->end) {
		ret = send_end(r);
		if (!ret) {
			remove_reader(s, r);
			return;
		}
	}
	if (ret == -ERR_QUEUE_FULL) {
		schedule_retry(s);
	} else if (ret) {
		metrics_count(s->metrics, "jaycourse_answers_undeliverable_total", "",
			      "Answers whose entry was gone");
		remove_reader(s, r);
	}
}

static void pump_answer(struct answer *a)
{
	struct streams *s = a->streams;
	struct reader *next;

	answer_ref(a);
	for (struct reader *r = s->readers; r; r = next) {
		next = r->next;
		if (r->answer == a)
			pump(r);
	}
	trim(a);
	answer_unref(a);
}

/* Lets the run continue when a reader has made room. */
static void notify_drained(struct answer *a)
{
	if (a->drained && !answer_full(a))
		a->drained(a->drained_ctx);
}

static void retry_event(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			void *data)
{
	struct streams *s = data;
	struct reader *next;

	s->retry = NULL;
	for (struct reader *r = s->readers; r; r = next) {
		struct answer *a = answer_ref(r->answer);

		next = r->next;
		pump(r);
		trim(a);
		answer_unref(a);
	}
	for (struct reader *r = s->readers; r; r = r->next)
		notify_drained(r->answer);
}

void answer_read(struct answer *a, const char *peer, uint64_t id)
{
	struct streams *s = a->streams;
	struct reader *r = talloc_zero(s, struct reader);

	r->answer = answer_ref(a);
	r->peer = talloc_strdup(r, peer);
	r->id = id;
	r->credit = STREAM_CREDIT_BYTES;
	r->progress_ms = util_clock_ms();
	r->next = s->readers;
	s->readers = r;
	pump(r);
}

uint32_t answer_readers(const struct answer *a)
{
	uint32_t count = 0;

	for (const struct reader *r = a->streams->readers; r; r = r->next)
		count += r->answer == a;
	return count;
}

static void make_room(struct answer *a, size_t more)
{
	size_t used = a->end - a->base;

	if (used + more <= a->room)
		return;
	a->room = used + more > 2 * a->room ? used + more : 2 * a->room;
	a->data = talloc_realloc(a, a->data, uint8_t, a->room);
}

void answer_append(struct answer *a, const void *data, size_t len)
{
	make_room(a, len);
	memcpy(a->data + (a->end - a->base), data, len);
	a->end += len;
	if (a->end > STREAM_KEEP_BYTES)
		a->keep = false;
	pump_answer(a);
}

void answer_head(struct answer *a, int http_status, const char *content_type)
{
	a->http_status = http_status;
	talloc_free(a->content_type);
	a->content_type = talloc_strdup(a, content_type);
}

void answer_finish(struct answer *a, enum err_code code)
{
	a->code = code;
	a->finished = true;
	a->drained = NULL;
	pump_answer(a);
}

void stream_not_run(struct streams *s, const char *peer, uint64_t id, enum err_code code,
		    const char *reason)
{
	struct msg msg = {.type = MSG_NOT_RUN};

	msg.u.not_run.id = id;
	msg.u.not_run.code = code;
	msg.u.not_run.reason = reason;
	msg.u.not_run.in_flight = slots_in_flight(s->slots);
	wire_send(s->wire, peer, &msg);
}

void stream_end(struct streams *s, const char *peer, uint64_t id, enum err_code code)
{
	struct msg msg = {.type = MSG_END};

	msg.u.end.id = id;
	msg.u.end.code = code;
	msg.u.end.in_flight = slots_in_flight(s->slots);
	wire_send(s->wire, peer, &msg);
}

void answer_not_run(struct answer *a, enum err_code code, const char *reason)
{
	struct streams *s = a->streams;
	struct reader *next;

	answer_ref(a);
	for (struct reader *r = s->readers; r; r = next) {
		next = r->next;
		if (r->answer != a)
			continue;
		stream_not_run(s, r->peer, r->id, code, reason);
		remove_reader(s, r);
	}
	answer_unref(a);
}

bool answer_whole(const struct answer *a)
{
	return a->base == 0;
}

size_t answer_drop_bytes(struct answer *a)
{
	size_t before = a->room;

	a->keep = false;
	trim(a);
	return before - a->room;
}

size_t answer_size(const struct answer *a)
{
	return a->room;
}

void streams_credit(struct streams *s, const char *peer, uint64_t id, uint64_t bytes)
{
	struct reader *r = find_reader(s, peer, id);
	struct answer *a;

	if (!r)
		return;
	if (bytes > CREDIT_MAX_BYTES - r->credit)
		bytes = CREDIT_MAX_BYTES - r->credit;
	r->credit += bytes;
	r->progress_ms = util_clock_ms();
	a = answer_ref(r->answer);
	pump(r);
	trim(a);
	notify_drained(a);
	answer_unref(a);
}

struct answer *streams_leave(struct streams *s, const char *peer, uint64_t id)
{
	struct reader *r = find_reader(s, peer, id);
	struct answer *a;

	if (!r)
		return NULL;
	a = r->answer;
	if (a->refs == 1)
		a = NULL;
	remove_reader(s, r);
	if (a) {
		trim(a);
		notify_drained(a);
	}
	return a;
}

bool streams_known(const struct streams *s, const char *peer, uint64_t id)
{
	return find_reader(s, peer, id) != NULL;
}

void streams_tick(struct streams *s, uint64_t now_ms)
{
	struct reader *next;

	for (struct reader *r = s->readers; r; r = next) {
		next = r->next;
		if (r->credit > 0 || now_ms < r->progress_ms + STALL_MS)
			continue;
		log_warn("reader_stalled", "", "entry %s gave no credit for request %llu", r->peer,
			 (unsigned long long)r->id);
		metrics_refusal(s->metrics, "reader_stalled");
		stream_end(s, r->peer, r->id, ERR_OUTCOME_UNKNOWN);
		streams_leave(s, r->peer, r->id);
	}
}

bool streams_peer(const struct streams *s, const char *peer)
{
	for (const struct reader *r = s->readers; r; r = r->next) {
		if (!strcmp(r->peer, peer))
			return true;
	}
	return false;
}

uint32_t streams_active(const struct streams *s)
{
	uint32_t count = 0;

	for (const struct reader *r = s->readers; r; r = r->next)
		count++;
	return count;
}
