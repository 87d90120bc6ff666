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

static const struct code_info *find_code_info(int code)
{
	static const struct code_info unknown = {"failed", 500, false};

	code = code < 0 ? -code : code;
	return code > 0 && code < ERR_CODE_COUNT ? &codes[code] : &unknown;
}

int request_http_status(int code)
{
	return find_code_info(code)->status;
}

const char *request_outcome_name(enum request_outcome outcome)
{
	static const char *const names[] = {"not_run", "unknown", "failed"};

	return names[outcome];
}

bool request_retryable(int code, enum request_outcome outcome)
{
	return outcome == REQUEST_NOT_RUN && find_code_info(code)->retryable;
}

json_t *request_error_json(const struct err *err, enum request_outcome outcome, const char *id)
{
	return json_pack("{s:{s:s, s:s, s:s, s:s, s:s, s:s}}", "error", "kind",
			 find_code_info((int)err->code)->kind, "code", err_name((int)err->code),
			 "message", err->message, "remedy", err->remedy, "outcome",
			 request_outcome_name(outcome), "request", id);
}

struct request *request_create(void)
{
	struct request *request = talloc_zero(NULL, struct request);

	atomic_init(&request->refs, 1);
	pthread_mutex_init(&request->lock, NULL);
	request->fd = -1;
	for (int i = 0; i < 2; i++)
		request->attempts[i].request = request;
	return request;
}

struct request *request_ref(struct request *request)
{
	atomic_fetch_add(&request->refs, 1);
	return request;
}

static void free_chunks(struct request *request)
{
	struct request_chunk *chunk;

	while ((chunk = request->head)) {
		request->head = chunk->next;
		g_free(chunk);
	}
	request->tail = NULL;
	request->buffered = 0;
}

void request_unref(struct request *request)
{
	if (atomic_fetch_sub(&request->refs, 1) != 1)
		return;
	if (request->on_free)
		request->on_free(request, request->on_free_ctx);
	free_chunks(request);
	g_free(request->body);
	pthread_mutex_destroy(&request->lock);
	talloc_free(request);
}

/* Called with the lock held. */
static void wake_reader(struct request *request)
{
	if (!request->suspended)
		return;
	request->suspended = false;
	request->wake(request);
}

static void begin_locked(struct request *request, int status, const char *type, uint64_t length)
{
	request->status = status;
	request->length = length;
	snprintf(request->answer_type, sizeof(request->answer_type), "%s", type);
	request->ready = true;
}

void request_begin_answer(struct request *request, int status, const char *type, uint64_t length)
{
	pthread_mutex_lock(&request->lock);
	if (!request->ready)
		begin_locked(request, status, type, length);
	wake_reader(request);
	pthread_mutex_unlock(&request->lock);
}

static void append_locked(struct request *request, const void *data, size_t len)
{
	struct request_chunk *chunk;

	if (!len)
		return;
	chunk = g_malloc(sizeof(*chunk) + len);
	chunk->next = NULL;
	chunk->len = len;
	chunk->consumed = 0;
	memcpy(chunk->data, data, len);
	if (request->tail)
		request->tail->next = chunk;
	else
		request->head = chunk;
	request->tail = chunk;
	request->buffered += len;
}

int request_append_answer(struct request *request, const void *data, size_t len)
{
	int ret = 0;

	pthread_mutex_lock(&request->lock);
	if (request->buffered + len > REQUEST_CREDIT_BYTES) {
		ret = -ERR_TOO_LARGE;
	} else {
		append_locked(request, data, len);
		if (request->ready)
			wake_reader(request);
	}
	pthread_mutex_unlock(&request->lock);
	return ret;
}

bool request_discard_answer(struct request *request)
{
	bool possible;

	pthread_mutex_lock(&request->lock);
	possible = !request->ready;
	if (possible)
		free_chunks(request);
	pthread_mutex_unlock(&request->lock);
	return possible;
}

void request_end_answer(struct request *request)
{
	pthread_mutex_lock(&request->lock);
	request->ended = true;
	wake_reader(request);
	pthread_mutex_unlock(&request->lock);
}

void request_abort_answer(struct request *request)
{
	pthread_mutex_lock(&request->lock);
	request->aborted = true;
	request->ended = true;
	wake_reader(request);
	pthread_mutex_unlock(&request->lock);
}

bool request_answer_begun(struct request *request)
{
	bool begun;

	pthread_mutex_lock(&request->lock);
	begun = request->ready;
	pthread_mutex_unlock(&request->lock);
	return begun;
}

void request_reply(struct request *request, int status, const char *type, const void *data,
		   size_t len)
{
	pthread_mutex_lock(&request->lock);
	if (!request->ready) {
		free_chunks(request);
		append_locked(request, data, len);
		begin_locked(request, status, type, len);
		request->ended = true;
		wake_reader(request);
	}
	pthread_mutex_unlock(&request->lock);
}

void request_reply_json(struct request *request, int status, const json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	request_reply(request, status, "application/json", text ? text : "{}",
		      text ? strlen(text) : 2);
	free(text);
}

void request_reply_error(struct request *request, const struct err *err,
			 enum request_outcome outcome)
{
	json_t *body;

	if (request_answer_begun(request)) {
		request_abort_answer(request);
		return;
	}
	body = request_error_json(err, outcome, request->id);
	if (request_retryable((int)err->code, outcome))
		request->retry_after_s = 1;
	request_reply_json(request,
			   request->http_status ? request->http_status
						: request_http_status((int)err->code),
			   body);
	json_decref(body);
}

bool request_wait(struct request *request, bool for_data, void (*suspend)(struct request *request))
{
	bool now;

	pthread_mutex_lock(&request->lock);
	now = request->ended || (for_data ? request->buffered > 0 : request->ready);
	if (!now) {
		request->suspended = true;
		suspend(request);
	}
	pthread_mutex_unlock(&request->lock);
	return now;
}

void request_suspend(struct request *request, void (*suspend)(struct request *request))
{
	pthread_mutex_lock(&request->lock);
	request->suspended = true;
	suspend(request);
	pthread_mutex_unlock(&request->lock);
}

void request_resume(struct request *request)
{
	pthread_mutex_lock(&request->lock);
	wake_reader(request);
	pthread_mutex_unlock(&request->lock);
}

static size_t read_locked(struct request *request, uint8_t *out, size_t max)
{
	size_t total = 0;

	while (request->head && total < max) {
		struct request_chunk *chunk = request->head;
		size_t count = chunk->len - chunk->consumed;

		if (count > max - total)
			count = max - total;
		memcpy(out + total, chunk->data + chunk->consumed, count);
		chunk->consumed += count;
		total += count;
		if (chunk->consumed < chunk->len)
			break;
		request->head = chunk->next;
		if (!request->head)
			request->tail = NULL;
		g_free(chunk);
	}
	request->buffered -= total;
	request->consumed += total;
	return total;
}

ssize_t request_read_answer(struct request *request, void *out, size_t max)
{
	ssize_t result;

	pthread_mutex_lock(&request->lock);
	if (request->aborted)
		result = -2;
	else if (request->buffered)
		result = (ssize_t)read_locked(request, out, max);
	else
		result = request->ended ? -1 : 0;
	pthread_mutex_unlock(&request->lock);
	return result;
}
