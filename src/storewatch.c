#include "log.h"
#include "store.h"
#include "store_internal.h"
#include "storejson.h"
#include "util.h"

#include <string.h>

#define RECONNECT_BASE_MS 50
#define RECONNECT_MAX_MS 1000
#define RENEW_SPREAD_MS 500 /* after an outage not all processes reconnect at once */
#define LINE_MAX_BYTES (64 * 1024 * 1024)
/* A peer that vanished without closing leaves the connection silent, so it is renewed. */
#define RENEW_MS 30000

struct store_watch {
	struct store *store;
	struct store_watch *next;
	struct store_watch *prev;
	char *prefix;
	struct store_watch_handlers handlers;
	struct httpc_call *call; /* NULL: waiting to connect */
	struct tevent_timer *timer;
	struct tevent_immediate *immediate; /* handlers must not run inside libcurl's callbacks */
	char *buffer;
	size_t len;
	int64_t next_revision; /* 0: from now on, with a resync */
	uint64_t connected_ms;
	int64_t created_revision; /* of the store when the watch was confirmed */
	size_t endpoint;
	uint32_t failures;
	bool created; /* the service confirmed the watch */
	bool probe;
	bool ended;    /* the answer is over once the buffer is used up */
	bool *deleted; /* set when a handler frees the watch */
};

static void connect_later(struct store_watch *w, uint32_t delay_ms);

static int watch_destructor(struct store_watch *w)
{
	if (w->deleted)
		*w->deleted = true;
	if (w->prev)
		w->prev->next = w->next;
	else
		w->store->watches = w->next;
	if (w->next)
		w->next->prev = w->prev;
	if (w->call)
		httpc_cancel(w->call);
	if (w->probe)
		store_breaker_abandon(&w->store->breaker);
	return 0;
}

static void drop_call(struct store_watch *w)
{
	if (w->call)
		httpc_cancel(w->call);
	w->call = NULL;
	w->created = false;
	w->ended = false;
	w->len = 0;
	TALLOC_FREE(w->timer);
}

static void fail(struct store_watch *w)
{
	drop_call(w);
	w->probe = false;
	metrics_retry(w->store->metrics, "store_watch");
	store_report(w->store, w->endpoint, false);
	connect_later(w, store_backoff_ms(&w->store->rng, w->failures, RECONNECT_BASE_MS,
					  RECONNECT_MAX_MS));
	w->failures++;
}

static void on_renew(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		     void *ctx)
{
	struct store_watch *w = ctx;

	w->timer = NULL;
	if (w->len > 0) { /* a line is half read */
		w->timer = store_timer(ev, w, w->store->timeout_ms, on_renew, w);
		return;
	}
	/* What was older than the watch has long arrived; keeps the start from being compacted. */
	if (w->next_revision <= w->created_revision)
		w->next_revision = w->created_revision + 1;
	drop_call(w);
	connect_later(w, 0);
}

void store_watches_renew(struct store *store)
{
	for (struct store_watch *w = store->watches; w; w = w->next) {
		if (!w->created || w->connected_ms > store->opened_ms)
			continue;
		TALLOC_FREE(w->timer);
		w->timer = store_timer(store->ev, w,
				       (uint32_t)util_rng_below(&store->rng, RENEW_SPREAD_MS),
				       on_renew, w);
	}
}

static void on_slow(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		    void *ctx)
{
	struct store_watch *w = ctx;

	w->timer = NULL;
	fail(w);
}

/* Returns true when changes before this point may have been missed. */
static bool on_created(struct store_watch *w, int64_t revision)
{
	bool missed = w->next_revision == 0 || revision + 1 < w->next_revision;

	w->created = true;
	w->created_revision = revision;
	w->probe = false;
	w->failures = 0;
	store_report(w->store, w->endpoint, true);
	TALLOC_FREE(w->timer);
	w->timer = store_timer(
		w->store->ev, w,
		RENEW_MS / 2 + (uint32_t)util_rng_below(&w->store->rng, RENEW_MS / 2), on_renew, w);
	if (missed)
		w->next_revision = revision + 1;
	return missed;
}

static void deliver(struct store_watch *w, const json_t *event)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct store_kv kv = {0};

	if (storejson_kv(mem, json_object_get(event, "kv"), &kv)) {
		const char *type = json_string_value(json_object_get(event, "type"));

		if (type && !strcmp(type, "DELETE"))
			kv.version = 0;
		if (kv.mod_revision >= w->next_revision)
			w->next_revision = kv.mod_revision + 1;
		w->handlers.on_change(&kv, w->handlers.ctx);
	}
	talloc_free(mem);
}

static void resync(struct store_watch *w)
{
	log_info("store_watch_resync", "", "reading %s again", w->prefix);
	if (w->handlers.on_resync)
		w->handlers.on_resync(w->handlers.ctx);
}

/*
 * A store whose revision went back, and a watch from before the oldest kept revision, need
 * a new watch from the present.
 */
static void start_over(struct store_watch *w)
{
	drop_call(w);
	w->next_revision = 0;
	connect_later(w, store_backoff_ms(&w->store->rng, 0, RECONNECT_BASE_MS, RECONNECT_MAX_MS));
}

static void on_line(struct store_watch *w, const json_t *line, const bool *deleted)
{
	const json_t *result = json_object_get(line, "result");
	int64_t revision = storejson_number(json_object_get(result, "header"), "revision");
	bool went_back = w->next_revision > 0 && revision + 1 < w->next_revision;
	const json_t *event;
	size_t i;

	if (!result) {
		fail(w);
		return;
	}
	if (json_is_true(json_object_get(result, "canceled")) || (!w->created && went_back)) {
		start_over(w);
		return;
	}
	if (!w->created && on_created(w, revision))
		resync(w);
	json_array_foreach(json_object_get(result, "events"), i, event)
	{
		if (*deleted)
			return;
		deliver(w, event);
	}
}

/* Returns the length of the first whole line with its end, or 0. */
static size_t line_length(const struct store_watch *w)
{
	const char *end = w->len ? memchr(w->buffer, '\n', w->len) : NULL;

	return end ? (size_t)(end - w->buffer) + 1 : 0;
}

static json_t *take_line(struct store_watch *w, size_t len)
{
	json_t *line = json_loadb(w->buffer, len, 0, NULL);

	w->len -= len;
	memmove(w->buffer, w->buffer + len, w->len);
	return line;
}

static void process(struct tevent_context *ev, struct tevent_immediate *immediate, void *ctx)
{
	struct store_watch *w = ctx;
	bool deleted = false;
	size_t len;

	w->deleted = &deleted;
	while (!deleted && (len = line_length(w)) > 0) {
		json_t *line = take_line(w, len);

		on_line(w, line, &deleted);
		json_decref(line);
	}
	if (deleted)
		return;
	w->deleted = NULL;
	if (w->ended)
		fail(w);
}

static void process_later(struct store_watch *w)
{
	tevent_schedule_immediate(w->immediate, w->store->ev, process, w);
}

static bool on_data(struct httpc_call *call, const void *data, size_t len, void *ctx)
{
	struct store_watch *w = ctx;

	if (w->len + len > LINE_MAX_BYTES) {
		w->ended = true;
		w->len = 0;
		process_later(w);
		return true;
	}
	w->buffer = talloc_realloc(w, w->buffer, char, w->len + len);
	memcpy(w->buffer + w->len, data, len);
	w->len += len;
	process_later(w);
	return true;
}

static void on_done(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct store_watch *w = ctx;

	w->call = NULL;
	w->ended = true;
	process_later(w);
}

static void connect_watch(struct store_watch *w)
{
	static const char *const headers[] = {"Content-Type: application/json"};
	struct store *store = w->store;
	TALLOC_CTX *scratch = talloc_new(NULL);
	struct httpc_request request = {
		.method = "POST",
		.url = store_url(store, scratch, "/v3/watch"),
		.headers = headers,
		.header_count = 1,
		.body = storejson_watch(scratch, w->prefix, w->next_revision),
		.connect_timeout_ms = store->timeout_ms,
		.fresh_connection = true,
		.on_data = on_data,
		.done = on_done,
		.ctx = w,
	};

	request.body_len = strlen(request.body);
	store_count(store, "watch");
	w->endpoint = store->endpoint;
	w->connected_ms = util_clock_ms();
	w->call = httpc_start(store->http, &request);
	w->timer = store_timer(store->ev, w, store->timeout_ms, on_slow, w);
	talloc_free(scratch);
}

static void on_connect_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			     void *ctx)
{
	struct store_watch *w = ctx;
	uint64_t now_ms = util_clock_ms();

	w->timer = NULL;
	if (store_breaker_open(&w->store->breaker, now_ms) ||
	    !store_bucket_take(&w->store->reads.bucket, now_ms) ||
	    !store_breaker_begin(&w->store->breaker, now_ms, &w->probe)) {
		connect_later(w, RECONNECT_BASE_MS + (uint32_t)util_rng_below(&w->store->rng,
									      RECONNECT_BASE_MS));
		return;
	}
	connect_watch(w);
}

static void connect_later(struct store_watch *w, uint32_t delay_ms)
{
	TALLOC_FREE(w->timer);
	w->timer = store_timer(w->store->ev, w, delay_ms, on_connect_timer, w);
}

struct store_watch *store_watch_create(TALLOC_CTX *mem, struct store *store, const char *prefix,
				       const struct store_watch_handlers *handlers)
{
	struct store_watch *w = talloc_zero(mem, struct store_watch);

	w->store = store;
	w->prefix = talloc_strdup(w, prefix);
	w->handlers = *handlers;
	w->immediate = tevent_create_immediate(w);
	w->next = store->watches;
	if (w->next)
		w->next->prev = w;
	store->watches = w;
	talloc_set_destructor(w, watch_destructor);
	connect_later(w, 0);
	return w;
}
