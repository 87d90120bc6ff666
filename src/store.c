#include "store.h"

#include "fields.h"
#include "log.h"
#include "store_internal.h"
#include "storejson.h"
#include "util.h"

#include <string.h>

#define TIMEOUT_DEFAULT_MS 1000
#define WRITES_DEFAULT_PER_S 100
#define READS_DEFAULT_PER_S 200
#define QUEUE_MAX_CALLS 256   /* calls that wait for a token */
#define QUEUE_WAIT_MAX_MS 500 /* longer waits would only pile up calls whose callers gave up */
#define ANSWER_MAX_BYTES (64 * 1024 * 1024) /* 16 shards of 1 MB in base64, times two */
#define URL_SCHEME "http://"
#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define HTTP_TOO_LARGE 413
#define HTTP_TOO_MANY 429
#define HTTP_UNAVAILABLE 503

struct store_call {
	struct store *store;
	struct store_call *next; /* in the queue */
	const char *path;
	char *body;
	bool write;
	bool whole_range; /* a part of the range is no result */
	bool repeatable;  /* running it twice does no harm; libcurl may resend it */
	enum storejson_answer answer;
	struct store_cb cb;
	uint64_t queued_ms;
	size_t attempts;
	size_t endpoint; /* index of the endpoint that the current attempt uses */
	struct tevent_immediate *immediate;
	int status; /* result of a call that ends without being sent */
};

static void send_call(struct store_call *call);
static void drain_queue(struct store_queue *queue);

struct tevent_timer *store_timer(struct tevent_context *ev, TALLOC_CTX *mem, uint32_t delay_ms,
				 tevent_timer_handler_t handler, void *ctx)
{
	struct timeval at = tevent_timeval_current_ofs(delay_ms / 1000, delay_ms % 1000 * 1000);

	return tevent_add_timer(ev, mem, at, handler, ctx);
}

char *store_url(const struct store *store, TALLOC_CTX *mem, const char *path)
{
	return talloc_asprintf(mem, "%s%s", store->endpoints[store->endpoint], path);
}

void store_count_call(struct store *store, const char *kind)
{
	char labels[64];

	snprintf(labels, sizeof(labels), "kind=\"%s\"", kind);
	metrics_count(store->metrics, "jaycourse_store_calls_total", labels,
		      "Calls to the store, by kind");
}

void store_record_result(struct store *store, size_t endpoint, bool success)
{
	uint64_t now_ms = util_clock_ms();
	bool was_open = store->breaker.open_until_ms > 0;

	if (success) {
		store_breaker_success(&store->breaker);
	} else {
		if (store->endpoint == endpoint)
			store->endpoint = (endpoint + 1) % store->endpoint_count;
		store_breaker_failure(&store->breaker, now_ms);
	}
	if (was_open && success) {
		log_info("store_reachable", "", "store answers again; circuit breaker closed");
		store_schedule_watch_renewals(store);
	}
	if (!was_open && store->breaker.open_until_ms > 0) {
		store->opened_ms = now_ms;
		log_warn("store_unreachable", "",
			 "%u consecutive store calls failed; circuit breaker open",
			 store->breaker.failures);
	}
}

static void end_call(struct store_call *call, int status, const struct store_result *result)
{
	struct store_cb cb = call->cb;

	if (status != 0 && status != -ERR_CONFLICT)
		result = NULL;
	if (cb.done)
		cb.done(status, result, cb.ctx);
	talloc_free(call);
}

static void on_end_immediate(struct tevent_context *ev, struct tevent_immediate *immediate,
			     void *ctx)
{
	struct store_call *call = ctx;

	end_call(call, call->status, NULL);
}

/* Callbacks run from the loop, never inside the call that registers them. */
static void schedule_end(struct store_call *call, int status)
{
	call->status = status;
	call->immediate = tevent_create_immediate(call);
	tevent_schedule_immediate(call->immediate, call->store->ev, on_end_immediate, call);
}

static void refuse_call(struct store_call *call, const char *reason)
{
	metrics_count_refusal(call->store->metrics, reason);
	schedule_end(call, -ERR_UNAVAILABLE);
}

/*
 * A refusal by rate (429) or for unavailability (503) proves that a write was not applied. The
 * exception is a 503 for a proposal that timed out inside the service: it may still be applied.
 */
static bool certainly_not_applied(int http_status, const char *body)
{
	if (http_status == HTTP_TOO_MANY)
		return true;
	return http_status == HTTP_UNAVAILABLE && !strstr(body, "timed out");
}

static int result_status(const struct store_call *call, int status, int http_status,
			 const char *body)
{
	bool may_have_run = call->write && status != -ERR_UNAVAILABLE;

	if (status)
		return may_have_run ? -ERR_OUTCOME_UNKNOWN : -ERR_UNAVAILABLE;
	switch (http_status) {
	case HTTP_OK:
		return 0;
	case HTTP_BAD_REQUEST:
		return -ERR_INVALID;
	case HTTP_NOT_FOUND:
		return -ERR_NOT_FOUND;
	case HTTP_TOO_LARGE:
		return -ERR_TOO_LARGE;
	default:
		break;
	}
	if (!call->write || certainly_not_applied(http_status, body))
		return -ERR_UNAVAILABLE;
	return -ERR_OUTCOME_UNKNOWN;
}

static void record_result(struct store_call *call, int status, int http_status)
{
	struct store *store = call->store;
	bool down = status == -ERR_UNAVAILABLE || status == -ERR_OUTCOME_UNKNOWN;

	if (http_status == HTTP_TOO_MANY) {
		struct store_queue *queue = call->write ? &store->writes : &store->reads;

		metrics_count_retry(store->metrics, "store_over_rate");
		store_bucket_drain(&queue->bucket, util_clock_ms());
		store_record_result(store, call->endpoint, true);
		return;
	}
	if (down)
		metrics_count(store->metrics, "jaycourse_store_failures_total",
			      status == -ERR_UNAVAILABLE ? "reason=\"unavailable\""
							 : "reason=\"outcome_unknown\"",
			      "Failed calls to the store, by reason");
	store_record_result(store, call->endpoint, !down);
}

/* A call that certainly had no effect is sent to each of the other endpoints once. */
static bool retry_at_next_endpoint(struct store_call *call, int status, int http_status)
{
	if (status != -ERR_UNAVAILABLE || http_status == HTTP_TOO_MANY)
		return false;
	if (call->attempts >= call->store->endpoint_count)
		return false;
	metrics_count_retry(call->store->metrics, "store_endpoint");
	send_call(call);
	return true;
}

static void on_answer(int transport, int http_status, const char *body, size_t len, void *ctx)
{
	struct store_call *call = ctx;
	struct store_result result = {0};
	int status = result_status(call, transport, http_status, body);

	if (!status)
		status = storejson_result(call, call->answer, body, len, &result);
	if (status == -ERR_INVALID && http_status == HTTP_OK)
		status = call->write ? -ERR_OUTCOME_UNKNOWN : -ERR_UNAVAILABLE;
	record_result(call, status, http_status);
	if (!status && call->whole_range && result.more) {
		log_once("store_range_cut", "", "the store returned only a part of a range");
		status = -ERR_UNAVAILABLE;
	}
	if (!retry_at_next_endpoint(call, status, http_status))
		end_call(call, status, &result);
}

static void send_call(struct store_call *call)
{
	static const char *const headers[] = {"Content-Type: application/json"};
	struct store *store = call->store;
	struct httpc_request request = {
		.method = "POST",
		.headers = headers,
		.header_count = 1,
		.body = call->body,
		.body_len = strlen(call->body),
		.timeout_ms = store->timeout_ms,
		.connect_timeout_ms = store->timeout_ms,
		.answer_max = ANSWER_MAX_BYTES,
		.fresh_connection = call->write && !call->repeatable,
		.done = on_answer,
		.ctx = call,
	};
	bool probe;

	if (!store_breaker_begin(&store->breaker, util_clock_ms(), &probe)) {
		refuse_call(call, "store_breaker_open");
		return;
	}
	call->attempts++;
	call->endpoint = store->endpoint;
	store_count_call(store, call->write ? "write" : "read");
	request.url = store_url(store, call, call->path);
	if (httpc_start(store->http, &request))
		return;
	store_record_result(store, call->endpoint, false);
	schedule_end(call, -ERR_UNAVAILABLE);
}

static struct store_call *dequeue(struct store_queue *queue)
{
	struct store_call *call = queue->head;

	queue->head = call->next;
	if (!queue->head)
		queue->tail = &queue->head;
	queue->count--;
	return call;
}

static void on_queue_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			   void *ctx)
{
	struct store_queue *queue = ctx;

	queue->timer = NULL;
	drain_queue(queue);
}

static void drain_queue(struct store_queue *queue)
{
	uint64_t now_ms = util_clock_ms();
	struct store *store = queue->head ? queue->head->store : NULL;

	while (queue->head) {
		if (store_bucket_take(&queue->bucket, now_ms))
			send_call(dequeue(queue));
		else if (now_ms - queue->head->queued_ms > QUEUE_WAIT_MAX_MS)
			refuse_call(dequeue(queue), "store_rate");
		else
			break;
	}
	if (queue->head && !queue->timer)
		queue->timer =
			store_timer(store->ev, store, store_bucket_wait_ms(&queue->bucket, now_ms),
				    on_queue_timer, queue);
}

static void submit_call(struct store_call *call)
{
	struct store *store = call->store;
	struct store_queue *queue = call->write ? &store->writes : &store->reads;

	call->queued_ms = util_clock_ms();
	if (store_breaker_open(&store->breaker, call->queued_ms)) {
		refuse_call(call, "store_breaker_open");
		return;
	}
	if (queue->count >= QUEUE_MAX_CALLS) {
		refuse_call(call, "store_rate");
		return;
	}
	*queue->tail = call;
	queue->tail = &call->next;
	queue->count++;
	drain_queue(queue);
}

static struct store_call *new_call(struct store *store, const char *path,
				   enum storejson_answer answer, struct store_cb cb)
{
	struct store_call *call = talloc_zero(store, struct store_call);

	call->store = store;
	call->path = path;
	call->answer = answer;
	call->cb = cb;
	return call;
}

void store_get(struct store *store, const char *key, struct store_cb cb)
{
	struct store_call *call = new_call(store, "/v3/kv/range", STOREJSON_RANGE, cb);

	call->body = storejson_range(call, key, NULL, 0);
	submit_call(call);
}

void store_range_from(struct store *store, const char *first, const char *prefix, uint32_t limit,
		      struct store_cb cb)
{
	struct store_call *call = new_call(store, "/v3/kv/range", STOREJSON_RANGE, cb);
	const char *from = strcmp(first, prefix) > 0 ? first : prefix;

	call->body = storejson_range(call, from, storejson_prefix_end(call, prefix), limit);
	call->whole_range = limit == 0;
	submit_call(call);
}

void store_range(struct store *store, const char *prefix, uint32_t limit, struct store_cb cb)
{
	store_range_from(store, prefix, prefix, limit, cb);
}

void store_txn(struct store *store, const struct store_compare *compares, size_t compare_count,
	       const struct store_op *ops, size_t op_count, struct store_cb cb)
{
	struct store_call *call = new_call(store, "/v3/kv/txn", STOREJSON_TXN, cb);
	bool too_large = false;

	for (size_t i = 0; i < op_count; i++) {
		call->write = call->write || ops[i].kind != STORE_GET;
		too_large = too_large || ops[i].value_len > STORE_VALUE_MAX;
	}
	if (too_large) {
		schedule_end(call, -ERR_TOO_LARGE);
		return;
	}
	call->body = storejson_txn(call, compares, compare_count, ops, op_count);
	submit_call(call);
}

/* A grant is repeatable: if it runs twice, the surplus lease expires without any keepalive. */
void store_lease_grant(struct store *store, uint32_t ttl_s, struct store_cb cb)
{
	struct store_call *call = new_call(store, "/v3/lease/grant", STOREJSON_GRANT, cb);

	call->write = true;
	call->repeatable = true;
	call->body = talloc_asprintf(call, "{\"TTL\":\"%u\"}", ttl_s);
	submit_call(call);
}

void store_lease_keepalive(struct store *store, int64_t lease, struct store_cb cb)
{
	struct store_call *call = new_call(store, "/v3/lease/keepalive", STOREJSON_KEEPALIVE, cb);

	call->write = true;
	call->repeatable = true;
	call->body = talloc_asprintf(call, "{\"ID\":\"%lld\"}", (long long)lease);
	submit_call(call);
}

void store_lease_revoke(struct store *store, int64_t lease, struct store_cb cb)
{
	struct store_call *call = new_call(store, "/v3/lease/revoke", STOREJSON_REVOKE, cb);

	call->write = true;
	call->repeatable = true;
	call->body = talloc_asprintf(call, "{\"ID\":\"%lld\"}", (long long)lease);
	submit_call(call);
}

bool store_healthy(const struct store *store)
{
	return store->breaker.failures == 0;
}

static bool endpoint_valid(const char *url)
{
	size_t scheme = strlen(URL_SCHEME);

	return strncmp(url, URL_SCHEME, scheme) == 0 && fields_is_valid_address(url + scheme, NULL);
}

static void init_queue(struct store_queue *queue, uint32_t per_s)
{
	queue->tail = &queue->head;
	store_bucket_init(&queue->bucket, per_s, util_clock_ms());
}

static int set_endpoints(struct store *store, const struct store_options *options, struct err *err)
{
	store->endpoint_count = options->endpoint_count;
	store->endpoints = talloc_zero_array(store, char *, options->endpoint_count + 1);
	if (options->endpoint_count == 0)
		return err_set(err, ERR_INVALID, "Name at least one store endpoint.",
			       "no store endpoint is set");
	for (size_t i = 0; i < options->endpoint_count; i++) {
		if (!endpoint_valid(options->endpoints[i]))
			return err_set(err, ERR_INVALID, "Write \"http://ip:port\".",
				       "store endpoint \"%s\" is not a URL with a numeric address",
				       options->endpoints[i]);
		store->endpoints[i] = talloc_strdup(store, options->endpoints[i]);
	}
	return 0;
}

struct store *store_create(TALLOC_CTX *mem, struct tevent_context *ev,
			   const struct store_options *options, struct metrics *metrics,
			   struct err *err)
{
	struct store *store = talloc_zero(mem, struct store);
	uint32_t writes = options->writes_per_s ? options->writes_per_s : WRITES_DEFAULT_PER_S;
	uint32_t reads = options->reads_per_s ? options->reads_per_s : READS_DEFAULT_PER_S;

	if (set_endpoints(store, options, err)) {
		talloc_free(store);
		return NULL;
	}
	store->ev = ev;
	store->metrics = metrics ? metrics : metrics_create(store);
	store->timeout_ms = options->timeout_ms ? options->timeout_ms : TIMEOUT_DEFAULT_MS;
	util_random_bytes(&store->rng.state, sizeof(store->rng.state));
	store->endpoint = util_rng_below(&store->rng, store->endpoint_count);
	store_breaker_init(&store->breaker, util_rng_next(&store->rng));
	init_queue(&store->writes, writes);
	init_queue(&store->reads, reads);
	store->http = httpc_create(store, ev);
	return store;
}
