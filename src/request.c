#include "request.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

struct code_info {
	const char *kind;
	int status;
	bool retryable;
};

static const struct code_info codes[ERR_CODE_COUNT] = {
	[ERR_INVALID] = {"invalid", 400, false},
	[ERR_NOT_FOUND] = {"invalid", 404, false},
	[ERR_EXISTS] = {"conflict", 409, false},
	[ERR_CONFLICT] = {"conflict", 409, false},
	[ERR_DENIED] = {"denied", 401, false},
	[ERR_TOO_LARGE] = {"invalid", 413, false},
	[ERR_OVER_QUOTA] = {"overload", 429, true},
	[ERR_QUEUE_FULL] = {"overload", 429, true},
	[ERR_DEADLINE] = {"deadline", 504, true},
	[ERR_NO_TARGET] = {"unavailable", 503, true},
	[ERR_NEVER_FITS] = {"invalid", 400, false},
	[ERR_UNAVAILABLE] = {"unavailable", 503, true},
	[ERR_OUTCOME_UNKNOWN] = {"unknown", 502, false},
	[ERR_STALE] = {"conflict", 409, false},
	[ERR_LEAVING] = {"unavailable", 503, true},
	[ERR_CANCELLED] = {"conflict", 409, false},
	[ERR_FAILED] = {"failed", 502, false},
	[ERR_SYSTEM] = {"unavailable", 503, true},
};

static const struct code_info *info(int code)
{
	static const struct code_info unknown = {"failed", 500, false};

	code = code < 0 ? -code : code;
	return code > 0 && code < ERR_CODE_COUNT ? &codes[code] : &unknown;
}

int request_http_status(int code)
{
	return info(code)->status;
}

const char *request_outcome_name(enum request_outcome outcome)
{
	static const char *const names[] = {"not_run", "unknown", "failed"};

	return names[outcome];
}

bool request_retryable(int code, enum request_outcome outcome)
{
	return outcome == REQUEST_NOT_RUN && info(code)->retryable;
}

json_t *request_error_json(const struct err *err, enum request_outcome outcome, const char *id)
{
	return json_pack("{s:{s:s, s:s, s:s, s:s, s:s, s:s}}", "error", "kind",
			 info((int)err->code)->kind, "code", err_name((int)err->code), "message",
			 err->message, "remedy", err->remedy, "outcome",
			 request_outcome_name(outcome), "request", id);
}

struct request *request_create(void)
{
	struct request *r = talloc_zero(NULL, struct request);

	atomic_init(&r->refs, 1);
	pthread_mutex_init(&r->lock, NULL);
	r->fd = -1;
	for (int i = 0; i < 2; i++)
		r->attempts[i].request = r;
	return r;
}

struct request *request_ref(struct request *r)
{
	atomic_fetch_add(&r->refs, 1);
	return r;
}

static void free_chunks(struct request *r)
{
	struct request_chunk *chunk;

	while ((chunk = r->head)) {
		r->head = chunk->next;
		g_free(chunk);
	}
	r->tail = NULL;
	r->buffered = 0;
}

void request_unref(struct request *r)
{
	if (atomic_fetch_sub(&r->refs, 1) != 1)
		return;
	if (r->on_free)
		r->on_free(r, r->on_free_ctx);
	free_chunks(r);
	g_free(r->body);
	pthread_mutex_destroy(&r->lock);
	talloc_free(r);
}

/* Called with the lock held. */
static void wake(struct request *r)
{
	if (!r->suspended)
		return;
	r->suspended = false;
	r->wake(r);
}

static void begin_locked(struct request *r, int status, const char *type, uint64_t length)
{
	r->status = status;
	r->length = length;
	snprintf(r->answer_type, sizeof(r->answer_type), "%s", type);
	r->ready = true;
}

void request_begin(struct request *r, int status, const char *type, uint64_t length)
{
	pthread_mutex_lock(&r->lock);
	if (!r->ready)
		begin_locked(r, status, type, length);
	wake(r);
	pthread_mutex_unlock(&r->lock);
}

static void append_locked(struct request *r, const void *data, size_t len)
{
	struct request_chunk *chunk;

	if (!len)
		return;
	chunk = g_malloc(sizeof(*chunk) + len);
	chunk->next = NULL;
	chunk->len = len;
	chunk->taken = 0;
	memcpy(chunk->data, data, len);
	if (r->tail)
		r->tail->next = chunk;
	else
		r->head = chunk;
	r->tail = chunk;
	r->buffered += len;
}

int request_append(struct request *r, const void *data, size_t len)
{
	int ret = 0;

	pthread_mutex_lock(&r->lock);
	if (r->buffered + len > REQUEST_CREDIT) {
		ret = -ERR_TOO_LARGE;
	} else {
		append_locked(r, data, len);
		if (r->ready)
			wake(r);
	}
	pthread_mutex_unlock(&r->lock);
	return ret;
}

bool request_discard(struct request *r)
{
	bool possible;

	pthread_mutex_lock(&r->lock);
	possible = !r->ready;
	if (possible)
		free_chunks(r);
	pthread_mutex_unlock(&r->lock);
	return possible;
}

void request_end(struct request *r)
{
	pthread_mutex_lock(&r->lock);
	r->ended = true;
	wake(r);
	pthread_mutex_unlock(&r->lock);
}

void request_cut(struct request *r)
{
	pthread_mutex_lock(&r->lock);
	r->cut = true;
	r->ended = true;
	wake(r);
	pthread_mutex_unlock(&r->lock);
}

bool request_begun(struct request *r)
{
	bool begun;

	pthread_mutex_lock(&r->lock);
	begun = r->ready;
	pthread_mutex_unlock(&r->lock);
	return begun;
}

void request_reply(struct request *r, int status, const char *type, const void *data, size_t len)
{
	pthread_mutex_lock(&r->lock);
	if (!r->ready) {
		free_chunks(r);
		append_locked(r, data, len);
		begin_locked(r, status, type, len);
		r->ended = true;
		wake(r);
	}
	pthread_mutex_unlock(&r->lock);
}

void request_reply_json(struct request *r, int status, const json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	request_reply(r, status, "application/json", text ? text : "{}", text ? strlen(text) : 2);
	free(text);
}

void request_fail(struct request *r, const struct err *err, enum request_outcome outcome)
{
	json_t *body;

	if (request_begun(r)) {
		request_cut(r);
		return;
	}
	body = request_error_json(err, outcome, r->id);
	if (request_retryable((int)err->code, outcome))
		r->retry_after_s = 1;
	request_reply_json(r, r->http_status ? r->http_status : request_http_status((int)err->code),
			   body);
	json_decref(body);
}

bool request_wait(struct request *r, bool for_data, void (*suspend)(struct request *r))
{
	bool now;

	pthread_mutex_lock(&r->lock);
	now = r->ended || (for_data ? r->buffered > 0 : r->ready);
	if (!now) {
		r->suspended = true;
		suspend(r);
	}
	pthread_mutex_unlock(&r->lock);
	return now;
}

void request_suspend(struct request *r, void (*suspend)(struct request *r))
{
	pthread_mutex_lock(&r->lock);
	r->suspended = true;
	suspend(r);
	pthread_mutex_unlock(&r->lock);
}

void request_resume(struct request *r)
{
	pthread_mutex_lock(&r->lock);
	wake(r);
	pthread_mutex_unlock(&r->lock);
}

static size_t take_locked(struct request *r, uint8_t *out, size_t max)
{
	size_t total = 0;

	while (r->head && total < max) {
		struct request_chunk *chunk = r->head;
		size_t part = chunk->len - chunk->taken;

		if (part > max - total)
			part = max - total;
		memcpy(out + total, chunk->data + chunk->taken, part);
		chunk->taken += part;
		total += part;
		if (chunk->taken < chunk->len)
			break;
		r->head = chunk->next;
		if (!r->head)
			r->tail = NULL;
		g_free(chunk);
	}
	r->buffered -= total;
	r->consumed += total;
	return total;
}

ssize_t request_read(struct request *r, void *out, size_t max)
{
	ssize_t result;

	pthread_mutex_lock(&r->lock);
	if (r->cut)
		result = -2;
	else if (r->buffered)
		result = (ssize_t)take_locked(r, out, max);
	else
		result = r->ended ? -1 : 0;
	pthread_mutex_unlock(&r->lock);
	return result;
}
