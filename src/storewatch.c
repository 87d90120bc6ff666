#include "jsonread.h"
#include "log.h"
#include "store.h"
#include "store_internal.h"
#include "storejson.h"
#include "util.h"

#include <string.h>

#define RECONNECT_BASE_MS 50
#define RECONNECT_MAX_MS 1000
#define RENEW_JITTER_MS 500 /* spreads the reconnects of all processes after an outage */
#define LINE_MAX_BYTES (64 * 1024 * 1024)
/*
 * A watch reconnects after at most this time, because a connection whose peer vanished without
 * closing it looks like a connection without changes.
 */
#define RENEW_INTERVAL_MS 30000

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
	int64_t next_revision; /* first one not yet received; 0: start now, with a resync */
	uint64_t connected_ms;
	int64_t created_revision; /* revision of the store when it confirmed the watch */
	size_t endpoint;
	uint32_t failures;
	bool created;  /* the service confirmed the watch */
	bool probe;    /* connecting is the probe of the circuit breaker */
	bool ended;    /* no more data will arrive; reconnect once the buffer is processed */
	bool *deleted; /* set when a handler frees the watch */
};

static void schedule_connect(struct store_watch *watch, uint32_t delay_ms);

static int watch_destructor(struct store_watch *watch)
{
	if (watch->deleted)
		*watch->deleted = true;
	if (watch->prev)
		watch->prev->next = watch->next;
	else
		watch->store->watches = watch->next;
	if (watch->next)
		watch->next->prev = watch->prev;
	if (watch->call)
		httpc_cancel(watch->call);
	if (watch->probe)
		store_breaker_abandon(&watch->store->breaker);
	return 0;
}

static void cancel_call(struct store_watch *watch)
{
	if (watch->call)
		httpc_cancel(watch->call);
	watch->call = NULL;
	watch->created = false;
	watch->ended = false;
	watch->len = 0;
	TALLOC_FREE(watch->timer);
}

static void handle_connection_failure(struct store_watch *watch)
{
	cancel_call(watch);
	watch->probe = false;
	metrics_count_retry(watch->store->metrics, "store_watch");
	store_record_result(watch->store, watch->endpoint, false);
	schedule_connect(watch, store_backoff_ms(&watch->store->rng, watch->failures,
						 RECONNECT_BASE_MS, RECONNECT_MAX_MS));
	watch->failures++;
}

static void on_renew_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			   void *ctx)
{
	struct store_watch *watch = ctx;

	watch->timer = NULL;
	if (watch->len > 0) { /* the rest of a line has yet to arrive */
		watch->timer =
			store_timer(ev, watch, watch->store->timeout_ms, on_renew_timer, watch);
		return;
	}
	/*
	 * All changes up to created_revision have long arrived. Starting after it keeps the start
	 * revision of a prefix without changes from being compacted.
	 */
	if (watch->next_revision <= watch->created_revision)
		watch->next_revision = watch->created_revision + 1;
	cancel_call(watch);
	schedule_connect(watch, 0);
}

void store_schedule_watch_renewals(struct store *store)
{
	for (struct store_watch *watch = store->watches; watch; watch = watch->next) {
		if (!watch->created || watch->connected_ms > store->opened_ms)
			continue;
		TALLOC_FREE(watch->timer);
		watch->timer = store_timer(store->ev, watch,
					   (uint32_t)util_rng_below(&store->rng, RENEW_JITTER_MS),
					   on_renew_timer, watch);
	}
}

static void on_confirm_timeout(struct tevent_context *ev, struct tevent_timer *te,
			       struct timeval now, void *ctx)
{
	struct store_watch *watch = ctx;

	watch->timer = NULL;
	handle_connection_failure(watch);
}

/* Returns true when changes before this point may have been missed. */
static bool handle_watch_created(struct store_watch *watch, int64_t revision)
{
	bool missed = watch->next_revision == 0 || revision + 1 < watch->next_revision;

	watch->created = true;
	watch->created_revision = revision;
	watch->probe = false;
	watch->failures = 0;
	store_record_result(watch->store, watch->endpoint, true);
	TALLOC_FREE(watch->timer);
	watch->timer =
		store_timer(watch->store->ev, watch,
			    RENEW_INTERVAL_MS / 2 + (uint32_t)util_rng_below(&watch->store->rng,
									     RENEW_INTERVAL_MS / 2),
			    on_renew_timer, watch);
	if (missed)
		watch->next_revision = revision + 1;
	return missed;
}

static void deliver_event(struct store_watch *watch, const json_t *event)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct store_kv kv = {0};

	if (storejson_kv(mem, json_object_get(event, "kv"), &kv)) {
		const char *type = json_string_value(json_object_get(event, "type"));

		if (type && !strcmp(type, "DELETE"))
			kv.version = 0;
		if (kv.mod_revision >= watch->next_revision)
			watch->next_revision = kv.mod_revision + 1;
		watch->handlers.on_change(&kv, watch->handlers.ctx);
	}
	talloc_free(mem);
}

static void request_resync(struct store_watch *watch)
{
	log_info("store_watch_resync", "",
		 "watch started or interrupted; reading all keys under %s", watch->prefix);
	if (watch->handlers.on_resync)
		watch->handlers.on_resync(watch->handlers.ctx);
}

/*
 * Starts a new watch at the present revision, with a resync. Needed when the store's revision went
 * back, and when the watch asked for a revision that the store has compacted.
 */
static void restart_from_present(struct store_watch *watch)
{
	/* The store has answered; the circuit breaker's probe, if this is it, has succeeded. */
	if (!watch->created)
		store_record_result(watch->store, watch->endpoint, true);
	watch->probe = false;
	cancel_call(watch);
	watch->next_revision = 0;
	schedule_connect(watch, store_backoff_ms(&watch->store->rng, 0, RECONNECT_BASE_MS,
						 RECONNECT_MAX_MS));
}

static void handle_line(struct store_watch *watch, const json_t *line, const bool *deleted)
{
	const json_t *result = json_object_get(line, "result");
	int64_t revision = storejson_number(json_object_get(result, "header"), "revision");
	bool went_back = watch->next_revision > 0 && revision + 1 < watch->next_revision;
	const json_t *event;
	size_t i;

	if (!result) {
		handle_connection_failure(watch);
		return;
	}
	if (json_is_true(json_object_get(result, "canceled")) || (!watch->created && went_back)) {
		restart_from_present(watch);
		return;
	}
	if (!watch->created && handle_watch_created(watch, revision))
		request_resync(watch);
	json_array_foreach(json_object_get(result, "events"), i, event)
	{
		if (*deleted)
			return;
		deliver_event(watch, event);
	}
}

/* Returns the length of the first complete line with its newline, or 0 when there is none. */
static size_t line_length(const struct store_watch *watch)
{
	const char *end = watch->len ? memchr(watch->buffer, '\n', watch->len) : NULL;

	return end ? (size_t)(end - watch->buffer) + 1 : 0;
}

static json_t *pop_line(struct store_watch *watch, size_t len)
{
	json_t *line = jsonread_document(watch->buffer, len, NULL);

	watch->len -= len;
	memmove(watch->buffer, watch->buffer + len, watch->len);
	return line;
}

static void process_lines(struct tevent_context *ev, struct tevent_immediate *immediate, void *ctx)
{
	struct store_watch *watch = ctx;
	bool deleted = false;
	size_t len;

	watch->deleted = &deleted;
	while (!deleted && (len = line_length(watch)) > 0) {
		json_t *line = pop_line(watch, len);

		handle_line(watch, line, &deleted);
		json_decref(line);
	}
	if (deleted)
		return;
	watch->deleted = NULL;
	if (watch->ended)
		handle_connection_failure(watch);
}

static void schedule_processing(struct store_watch *watch)
{
	tevent_schedule_immediate(watch->immediate, watch->store->ev, process_lines, watch);
}

static bool on_data(struct httpc_call *call, const void *data, size_t len, void *ctx)
{
	struct store_watch *watch = ctx;

	if (watch->len + len > LINE_MAX_BYTES) {
		watch->ended = true;
		watch->len = 0;
		schedule_processing(watch);
		return true;
	}
	watch->buffer = talloc_realloc(watch, watch->buffer, char, watch->len + len);
	memcpy(watch->buffer + watch->len, data, len);
	watch->len += len;
	schedule_processing(watch);
	return true;
}

static void on_done(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct store_watch *watch = ctx;

	watch->call = NULL;
	watch->ended = true;
	schedule_processing(watch);
}

static void connect_watch(struct store_watch *watch)
{
	static const char *const headers[] = {"Content-Type: application/json"};
	struct store *store = watch->store;
	TALLOC_CTX *scratch = talloc_new(NULL);
	struct httpc_request request = {
		.method = "POST",
		.url = store_url(store, scratch, "/v3/watch"),
		.headers = headers,
		.header_count = 1,
		.body = storejson_watch(scratch, watch->prefix, watch->next_revision),
		.connect_timeout_ms = store->timeout_ms,
		.fresh_connection = true,
		.on_data = on_data,
		.done = on_done,
		.ctx = watch,
	};

	request.body_len = strlen(request.body);
	store_count_call(store, "watch");
	watch->endpoint = store->endpoint;
	watch->connected_ms = util_clock_ms();
	watch->call = httpc_start(store->http, &request);
	watch->timer = store_timer(store->ev, watch, store->timeout_ms, on_confirm_timeout, watch);
	talloc_free(scratch);
}

static void on_connect_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			     void *ctx)
{
	struct store_watch *watch = ctx;
	uint64_t now_ms = util_clock_ms();

	watch->timer = NULL;
	if (store_breaker_open(&watch->store->breaker, now_ms) ||
	    !store_bucket_take(&watch->store->reads.bucket, now_ms) ||
	    !store_breaker_begin(&watch->store->breaker, now_ms, &watch->probe)) {
		schedule_connect(watch,
				 RECONNECT_BASE_MS + (uint32_t)util_rng_below(&watch->store->rng,
									      RECONNECT_BASE_MS));
		return;
	}
	connect_watch(watch);
}

static void schedule_connect(struct store_watch *watch, uint32_t delay_ms)
{
	TALLOC_FREE(watch->timer);
	watch->timer = store_timer(watch->store->ev, watch, delay_ms, on_connect_timer, watch);
}

struct store_watch *store_watch_create(TALLOC_CTX *mem, struct store *store, const char *prefix,
				       const struct store_watch_handlers *handlers)
{
	struct store_watch *watch = talloc_zero(mem, struct store_watch);

	watch->store = store;
	watch->prefix = talloc_strdup(watch, prefix);
	watch->handlers = *handlers;
	watch->immediate = tevent_create_immediate(watch);
	watch->next = store->watches;
	if (watch->next)
		watch->next->prev = watch;
	store->watches = watch;
	talloc_set_destructor(watch, watch_destructor);
	schedule_connect(watch, 0);
	return watch;
}
