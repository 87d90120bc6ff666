#include "proxy.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define REQUEST_TIMEOUT_DEFAULT_MS 60000
#define REQUEST_TIMEOUT_MAX_MS 86400000
#define PURGE_INTERVAL_MS 1000
#define SEEN_IDS_MAX 65536 /* remembered request ids */
#define HEADER_MAX_BYTES (MSG_STRING_MAX + 64)
#define ID_TEXT_BYTES 24

/* A request that is running at the target. */
struct run {
	struct run *next;
	struct proxy *proxy;
	struct httpc_call *call;
	struct answer *answer; /* holds a reference */
	struct tevent_immediate *resume;
	uint64_t id;
	uint64_t key_hash;
	bool idempotent;
	bool has_head;
	bool open_ended; /* the answer has neither a length nor chunks, so its end is unknown */
	bool paused;
};

struct proxy {
	struct proxy_deps deps;
	struct run *runs;
	GHashTable *seen_ids; /* maps the hash of peer and request id to the expiry, ms */
	uint64_t last_purge_ms;
	bool leaving;
	int started_counter;
	int finished_counter;
	int unknown_counter;
	int duplicate_counter;
};

static int proxy_destructor(struct proxy *proxy)
{
	for (struct run *run = proxy->runs; run; run = run->next) {
		if (run->call)
			httpc_cancel(run->call);
		run->call = NULL;
	}
	g_hash_table_destroy(proxy->seen_ids);
	return 0;
}

static int define_result_counter(struct proxy *proxy, const char *result)
{
	char labels[64];

	snprintf(labels, sizeof(labels), "result=\"%s\"", result);
	return metrics_define(proxy->deps.metrics, METRICS_COUNTER,
			      "jaycourse_agent_requests_total", labels,
			      "Requests sent to the target, by result");
}

struct proxy *proxy_create(TALLOC_CTX *mem, const struct proxy_deps *deps)
{
	struct proxy *proxy = talloc_zero(mem, struct proxy);

	proxy->deps = *deps;
	proxy->seen_ids = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	proxy->started_counter = define_result_counter(proxy, "started");
	proxy->finished_counter = define_result_counter(proxy, "finished");
	proxy->unknown_counter = define_result_counter(proxy, "outcome_unknown");
	proxy->duplicate_counter = metrics_define(
		proxy->deps.metrics, METRICS_COUNTER, "jaycourse_duplicate_requests_total", "",
		"REQUEST messages received a second time and ignored");
	talloc_set_destructor(proxy, proxy_destructor);
	return proxy;
}

static const char *id_text(uint64_t id, char text[ID_TEXT_BYTES])
{
	snprintf(text, ID_TEXT_BYTES, "%016" PRIx64, id);
	return text;
}

static gboolean seen_expired(gpointer key, gpointer value, gpointer ctx)
{
	return (uint64_t)(uintptr_t)value < *(const uint64_t *)ctx;
}

static bool seen_before(const struct proxy *proxy, const char *peer, uint64_t id)
{
	int64_t key = (int64_t)util_hash64(peer, strlen(peer), id);

	return g_hash_table_contains(proxy->seen_ids, &key);
}

/*
 * Remembers a request id until the request has expired, whether it is refused or started: a
 * duplicate that arrives later must not run after the entry has received NOT_RUN. Returns false
 * when the table is full.
 */
static bool remember_request(struct proxy *proxy, const char *peer, uint64_t id, uint64_t expiry_ms)
{
	int64_t key = (int64_t)util_hash64(peer, strlen(peer), id);

	if (g_hash_table_size(proxy->seen_ids) >= SEEN_IDS_MAX)
		return false;
	g_hash_table_insert(proxy->seen_ids, g_memdup2(&key, sizeof(key)),
			    (gpointer)(uintptr_t)expiry_ms);
	return true;
}

static void refuse_request(struct proxy *proxy, const char *peer, uint64_t id, int code,
			   const char *reason, const char *text)
{
	char name[ID_TEXT_BYTES];

	metrics_count_refusal(proxy->deps.metrics, reason);
	log_debug("request_refused", id_text(id, name), "%s", text);
	stream_send_not_run(proxy->deps.streams, peer, id, (enum err_code) - code, text);
}

static void remove_run(struct run *run)
{
	struct run **link = &run->proxy->runs;

	while (*link != run)
		link = &(*link)->next;
	*link = run->next;
	answer_unref(run->answer);
	talloc_free(run);
}

static void resume_run(struct tevent_context *ev, struct tevent_immediate *im, void *data)
{
	struct run *run = data;

	if (!run->call || !run->paused || answer_full(run->answer))
		return;
	run->paused = false;
	httpc_resume(run->call);
}

/* Called while messages are being sent, so the HTTP call is resumed later from the event loop. */
static void on_drained(void *ctx)
{
	struct run *run = ctx;

	if (run->paused)
		tevent_schedule_immediate(run->resume, run->proxy->deps.ev, resume_run, run);
}

static bool on_data(struct httpc_call *call, const void *data, size_t len, void *ctx)
{
	struct run *run = ctx;

	if (answer_full(run->answer)) {
		run->paused = true;
		return false;
	}
	if (!run->has_head)
		answer_set_head(run->answer, httpc_status(call), httpc_content_type(call));
	if (!run->has_head)
		run->open_ended = !httpc_delimited(call);
	run->has_head = true;
	answer_append(run->answer, data, len);
	return true;
}

static void finish_not_run(struct run *run)
{
	struct proxy *proxy = run->proxy;

	metrics_count_refusal(proxy->deps.metrics, "target_unreachable");
	answer_send_not_run(run->answer, ERR_NO_TARGET, "the target does not accept connections");
	if (run->key_hash)
		outcomes_forget(proxy->deps.outcomes, run->key_hash);
}

static void finish_run(struct run *run, int status, int http_status)
{
	struct proxy *proxy = run->proxy;
	bool complete = status == 0 && !run->open_ended;
	char name[ID_TEXT_BYTES];

	metrics_add(proxy->deps.metrics,
		    complete ? proxy->finished_counter : proxy->unknown_counter, 1);
	if (!complete)
		log_warn("answer_cut", id_text(run->id, name), "%s",
			 status ? "the connection to the target broke or the request timed out"
				: "the target's answer has neither a length nor chunked encoding");
	if (!run->has_head)
		answer_set_head(run->answer, http_status, "");
	answer_finish(run->answer, complete ? 0 : ERR_OUTCOME_UNKNOWN);
	if (run->key_hash)
		outcomes_finish(proxy->deps.outcomes, run->key_hash, util_clock_ms());
}

static void on_done(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct run *run = ctx;

	run->call = NULL;
	slots_release_request(run->proxy->deps.slots);
	if (status == -ERR_UNAVAILABLE)
		finish_not_run(run);
	else
		finish_run(run, status, http_status);
	remove_run(run);
}

static uint32_t request_timeout_ms(const struct msg_request *request)
{
	if (request->timeout_ms == 0)
		return REQUEST_TIMEOUT_DEFAULT_MS;
	return request->timeout_ms < REQUEST_TIMEOUT_MAX_MS ? (uint32_t)request->timeout_ms
							    : REQUEST_TIMEOUT_MAX_MS;
}

static struct httpc_call *call_target(struct run *run, const struct msg_request *request)
{
	struct proxy *proxy = run->proxy;
	char texts[4][HEADER_MAX_BYTES];
	const char *headers[4] = {texts[0], texts[1], texts[2], texts[3]};
	struct httpc_request call = {
		.method = "POST",
		.headers = headers,
		.header_count = 4,
		.body = request->body.len ? (const void *)request->body.data : "",
		.body_len = request->body.len,
		.timeout_ms = request_timeout_ms(request),
		.fresh_connection = !run->idempotent,
		.on_data = on_data,
		.done = on_done,
		.ctx = run,
	};
	struct httpc_call *started;
	char *url;

	snprintf(texts[0], HEADER_MAX_BYTES, "X-Jaycourse-Request: %016" PRIx64, request->id);
	snprintf(texts[1], HEADER_MAX_BYTES, "X-Jaycourse-Class: %s", request->class_name);
	snprintf(texts[2], HEADER_MAX_BYTES, "X-Jaycourse-Organisation: %s", request->organisation);
	snprintf(texts[3], HEADER_MAX_BYTES, "Content-Type: %s",
		 request->content_type[0] ? request->content_type : "application/json");
	url = talloc_asprintf(run, "%s/run", target_info(proxy->deps.target)->url);
	call.url = url;
	started = httpc_start(proxy->deps.http, &call);
	talloc_free(url);
	return started;
}

static void send_started(struct proxy *proxy, const char *peer, uint64_t id)
{
	struct msg msg = {.type = MSG_STARTED};

	msg.u.started.id = id;
	msg.u.started.in_flight = slots_in_flight(proxy->deps.slots);
	wire_send(proxy->deps.wire, peer, &msg);
}

static struct run *create_run(struct proxy *proxy, const struct msg_request *request)
{
	struct run *run = talloc_zero(proxy, struct run);

	run->proxy = proxy;
	run->id = request->id;
	run->key_hash = request->key_hash;
	run->idempotent = request->flags & MSG_REQUEST_IDEMPOTENT;
	run->resume = tevent_create_immediate(run);
	run->answer = answer_create(proxy->deps.streams, request->key_hash != 0);
	answer_on_drained(run->answer, on_drained, run);
	run->next = proxy->runs;
	proxy->runs = run;
	return run;
}

/* The caller has acquired the slot; it is released here when the request cannot start. */
static void start_run(struct proxy *proxy, const char *peer, const struct msg_request *request)
{
	struct run *run = create_run(proxy, request);
	int ret = 0;

	if (request->key_hash)
		ret = outcomes_start(proxy->deps.outcomes, request->key_hash, run->answer,
				     util_clock_ms());
	if (!ret)
		run->call = call_target(run, request);
	if (!run->call) {
		if (!ret && request->key_hash)
			outcomes_forget(proxy->deps.outcomes, request->key_hash);
		slots_release_request(proxy->deps.slots);
		refuse_request(proxy, peer, request->id, -ERR_QUEUE_FULL, "no_memory",
			       ret ? "too many idempotency keys are remembered" : "out of memory");
		remove_run(run);
		return;
	}
	metrics_add(proxy->deps.metrics, proxy->started_counter, 1);
	send_started(proxy, peer, request->id);
	answer_add_reader(run->answer, peer, request->id);
}

static bool is_printable(const char *text)
{
	for (; *text; text++) {
		if ((unsigned char)*text < ' ' || *text == 0x7f)
			return false;
	}
	return true;
}

struct refusal {
	int code; /* negative; 0: admitted */
	const char *reason;
	const char *text;
};

static struct refusal check_target(const struct proxy *proxy, const struct msg_request *request,
				   uint64_t now)
{
	int usable = target_usable(proxy->deps.target, now);
	const struct target_info *info = target_info(proxy->deps.target);

	if (proxy->leaving)
		return (struct refusal){-ERR_LEAVING, "agent_leaving",
					"the agent is shutting down"};
	if (usable == -ERR_LEAVING)
		return (struct refusal){usable, "target_leaving", "the target is leaving"};
	if (usable)
		return (struct refusal){usable, "target_silent",
					"the target does not announce itself"};
	if (info->kind != MSG_TARGET_SERVICE || strcmp(info->service, request->service) != 0)
		return (struct refusal){-ERR_NO_TARGET, "other_service",
					"the target serves another service"};
	return (struct refusal){0};
}

static struct refusal check_request(const struct proxy *proxy, const struct msg_request *request,
				    uint64_t now)
{
	if (request->expiry_ms <= now)
		return (struct refusal){-ERR_DEADLINE, "expired", "the request has expired"};
	if (request->expiry_ms > now + PROXY_EXPIRY_MAX_MS)
		return (struct refusal){-ERR_INVALID, "expiry", "the expiry is too far ahead"};
	if (!is_printable(request->class_name) || !is_printable(request->organisation) ||
	    !is_printable(request->content_type))
		return (struct refusal){-ERR_INVALID, "header",
					"a header value holds control characters"};
	return check_target(proxy, request, now);
}

static void admit_request(struct proxy *proxy, const char *peer, const struct msg_request *request)
{
	struct refusal refusal = check_request(proxy, request, util_clock_ms());

	if (!refusal.code && slots_acquire_request(proxy->deps.slots))
		refusal = (struct refusal){-ERR_NO_TARGET, "slots_full",
					   "all slots or connections are taken"};
	if (refusal.code)
		refuse_request(proxy, peer, request->id, refusal.code, refusal.reason,
			       refusal.text);
	else
		start_run(proxy, peer, request);
}

/* Answers a request from the current or earlier run of the same idempotency key, unless fenced. */
static void handle_known_key(struct proxy *proxy, const char *peer,
			     const struct msg_request *request, enum outcome_state state,
			     struct answer *answer)
{
	if (state == OUTCOME_FENCED) {
		refuse_request(proxy, peer, request->id, -ERR_STALE, "fenced",
			       "the idempotency key is fenced on this agent");
		return;
	}
	metrics_count(proxy->deps.metrics, "jaycourse_joined_requests_total", "",
		      "Requests answered by an earlier run of the same key");
	send_started(proxy, peer, request->id);
	if (answer && answer_has_all_bytes(answer))
		answer_add_reader(answer, peer, request->id);
	else
		stream_send_end(proxy->deps.streams, peer, request->id, ERR_OUTCOME_UNKNOWN);
}

static void handle_request(struct proxy *proxy, const char *peer, const struct msg_request *request)
{
	enum outcome_state state = OUTCOME_NONE;
	struct answer *answer = NULL;
	char name[ID_TEXT_BYTES];

	if (seen_before(proxy, peer, request->id)) {
		metrics_add(proxy->deps.metrics, proxy->duplicate_counter, 1);
		log_debug("request_duplicate", id_text(request->id, name), "from %s", peer);
		return;
	}
	if (!remember_request(proxy, peer, request->id, request->expiry_ms)) {
		metrics_count_refusal(proxy->deps.metrics, "too_many_ids");
		log_warn("request_ignored", id_text(request->id, name),
			 "more than %d requests that have not expired", SEEN_IDS_MAX);
		return;
	}
	if (request->key_hash)
		state = outcomes_find(proxy->deps.outcomes, request->key_hash, &answer);
	if (state == OUTCOME_NONE)
		admit_request(proxy, peer, request);
	else
		handle_known_key(proxy, peer, request, state, answer);
}

static struct run *find_run(const struct proxy *proxy, const struct answer *answer)
{
	for (struct run *run = proxy->runs; run; run = run->next) {
		if (run->answer == answer)
			return run;
	}
	return NULL;
}

/* Closing the connection is the only way to stop the target's work. */
static void cancel_run(struct run *run)
{
	struct proxy *proxy = run->proxy;

	httpc_cancel(run->call);
	run->call = NULL;
	slots_release_request(proxy->deps.slots);
	if (run->key_hash)
		outcomes_forget(proxy->deps.outcomes, run->key_hash);
	remove_run(run);
}

static void handle_cancel(struct proxy *proxy, const char *peer, uint64_t id)
{
	struct answer *answer;
	struct run *run;

	if (!streams_has_reader(proxy->deps.streams, peer, id)) {
		if (seen_before(proxy, peer, id))
			return;
		/* Without the id the request could still run if it arrives later. */
		if (remember_request(proxy, peer, id, util_clock_ms() + PROXY_EXPIRY_MAX_MS))
			refuse_request(proxy, peer, id, -ERR_CANCELLED, "cancelled",
				       "cancelled before it started");
		else
			metrics_count_refusal(proxy->deps.metrics, "too_many_ids");
		return;
	}
	metrics_count_refusal(proxy->deps.metrics, "cancelled_running");
	answer = streams_remove_reader(proxy->deps.streams, peer, id);
	run = answer ? find_run(proxy, answer) : NULL;
	if (!run || !run->idempotent || answer_reader_count(answer) > 0) {
		stream_send_end(proxy->deps.streams, peer, id, ERR_OUTCOME_UNKNOWN);
		return;
	}
	cancel_run(run);
	stream_send_end(proxy->deps.streams, peer, id, ERR_CANCELLED);
}

static enum msg_attempt_state
query_state(struct proxy *proxy, const struct msg_attempt_query *query, struct answer **answer)
{
	enum outcome_state state = outcomes_find(proxy->deps.outcomes, query->key_hash, answer);

	if (state == OUTCOME_FENCED)
		return MSG_ATTEMPT_FENCED;
	if (state == OUTCOME_NONE && !query->fence)
		return 0;
	/*
	 * If the key cannot be fenced, its request may have run on this agent or may still arrive
	 * and run, so the entry must not send it to another agent.
	 */
	if (state == OUTCOME_NONE)
		return outcomes_fence(proxy->deps.outcomes, query->key_hash, util_clock_ms())
			       ? MSG_ATTEMPT_UNKNOWN
			       : MSG_ATTEMPT_FENCED;
	if (!*answer || !answer_has_all_bytes(*answer))
		return state == OUTCOME_RUNNING ? MSG_ATTEMPT_UNKNOWN : MSG_ATTEMPT_ANSWER_DROPPED;
	return state == OUTCOME_RUNNING ? MSG_ATTEMPT_RUNNING : MSG_ATTEMPT_FINISHED;
}

static void handle_attempt_query(struct proxy *proxy, const char *peer,
				 const struct msg_attempt_query *query)
{
	struct answer *answer = NULL;
	struct msg msg = {.type = MSG_ATTEMPT_INFO};
	enum msg_attempt_state state;

	if (streams_has_reader(proxy->deps.streams, peer, query->id))
		return;
	state = query_state(proxy, query, &answer);
	msg.u.attempt_info.id = query->id;
	msg.u.attempt_info.key_hash = query->key_hash;
	msg.u.attempt_info.state = state;
	wire_send(proxy->deps.wire, peer, &msg);
	if (state == MSG_ATTEMPT_RUNNING || state == MSG_ATTEMPT_FINISHED)
		answer_add_reader(answer, peer, query->id);
}

bool proxy_handle_message(struct proxy *proxy, const char *peer, const struct msg *msg)
{
	switch (msg->type) {
	case MSG_REQUEST:
		handle_request(proxy, peer, &msg->u.request);
		return true;
	case MSG_CREDIT:
		streams_add_credit(proxy->deps.streams, peer, msg->u.credit.id,
				   msg->u.credit.bytes);
		return true;
	case MSG_CANCEL:
		handle_cancel(proxy, peer, msg->u.cancel.id);
		return true;
	case MSG_ATTEMPT_QUERY:
		handle_attempt_query(proxy, peer, &msg->u.attempt_query);
		return true;
	default:
		return false;
	}
}

void proxy_refuse_new(struct proxy *proxy)
{
	proxy->leaving = true;
}

void proxy_tick(struct proxy *proxy, uint64_t now_ms)
{
	if (now_ms - proxy->last_purge_ms < PURGE_INTERVAL_MS)
		return;
	proxy->last_purge_ms = now_ms;
	g_hash_table_foreach_remove(proxy->seen_ids, seen_expired, &now_ms);
	outcomes_drop_expired(proxy->deps.outcomes, now_ms);
	streams_tick(proxy->deps.streams, now_ms);
}

uint32_t proxy_active(const struct proxy *proxy)
{
	uint32_t count = streams_reader_count(proxy->deps.streams);

	for (const struct run *run = proxy->runs; run; run = run->next)
		count += answer_reader_count(run->answer) == 0;
	return count;
}
