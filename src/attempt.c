#include "dispatch_int.h"
#include "log.h"
#include "util.h"

#include <string.h>

static struct request_attempt *open_attempt(struct dispatch *dispatch, struct request *request,
					    const char *peer)
{
	struct request_attempt *attempt =
		request->attempts[0].id ? &request->attempts[1] : &request->attempts[0];

	*attempt = (struct request_attempt){
		.request = request,
		.id = ++dispatch->last_attempt_id,
		.peer = talloc_strdup(request, peer),
		.sent_us = util_clock_us(),
		.last_message_ms = util_clock_ms(),
	};
	g_hash_table_insert(dispatch->attempts, &attempt->id, attempt);
	return attempt;
}

static void remove_attempt(struct dispatch *dispatch, struct request_attempt *attempt)
{
	g_hash_table_remove(dispatch->attempts, &attempt->id);
	TALLOC_FREE(attempt->peer);
	attempt->id = 0;
}

void attempt_close(struct dispatch *dispatch, struct request_attempt *attempt,
		   enum route_result result, bool cancel)
{
	struct msg msg = {.type = MSG_CANCEL};

	if (!attempt->id)
		return;
	/* The agent does not stop a run that other requests wait for or that must not run twice. */
	if (cancel) {
		msg.u.cancel.id = attempt->id;
		wire_send(dispatch->deps.wire, attempt->peer, &msg);
	}
	if (!attempt->joined)
		route_end_request(dispatch->route, attempt->peer, attempt->probe, result,
				  util_clock_us() - attempt->sent_us, util_clock_ms());
	remove_attempt(dispatch, attempt);
}

static struct request_attempt *other_attempt(struct request_attempt *attempt)
{
	struct request *request = attempt->request;

	return attempt == &request->attempts[0] ? &request->attempts[1] : &request->attempts[0];
}

static uint64_t request_flags(const struct request *request)
{
	uint64_t flags = 0;

	if (request->idempotent)
		flags |= MSG_REQUEST_IDEMPOTENT;
	if (request->class_->urgent)
		flags |= MSG_REQUEST_URGENT;
	return flags;
}

int attempt_send(struct dispatch *dispatch, struct request *request,
		 const struct route_choice *choice)
{
	struct request_attempt *attempt = open_attempt(dispatch, request, choice->peer);
	uint64_t now = util_clock_ms();
	uint64_t left = request->deadline_ms > now ? request->deadline_ms - now : 0;
	uint64_t start = left < DISPATCH_START_TIMEOUT_MS ? left : DISPATCH_START_TIMEOUT_MS;
	struct msg msg = {.type = MSG_REQUEST};
	int ret;

	msg.u.request = (struct msg_request){
		.id = attempt->id,
		.service = request->service,
		.class_name = request->class_->name,
		.organisation = request->organisation->name,
		.flags = request_flags(request),
		.key_hash = request->needs_claim ? request->key_hash : 0,
		.expiry_ms = (uint64_t)((int64_t)(now + start) + choice->clock_offset_ms),
		.timeout_ms = left,
		.content_type = request->content_type,
		.body = {.data = request->body ? request->body : (const uint8_t *)"",
			 .len = request->body_len},
	};
	attempt->probe = choice->probe;
	ret = wire_send(dispatch->deps.wire, choice->peer, &msg);
	if (ret) {
		remove_attempt(dispatch, attempt);
		return ret;
	}
	attempt->reply_due_ms = now + start + DISPATCH_STARTED_MARGIN_MS;
	request->state = REQUEST_SENT;
	if (request->class_->hedge && request->idempotent && !other_attempt(attempt)->id)
		request->next_action_ms = now + request->class_->hedge_after_ms;
	return 0;
}

int attempt_query(struct dispatch *dispatch, struct request *request, const char *peer)
{
	struct request_attempt *attempt = open_attempt(dispatch, request, peer);
	struct msg msg = {.type = MSG_ATTEMPT_QUERY};
	int ret;

	attempt->joined = true;
	attempt->querying = true;
	attempt->reply_due_ms = util_clock_ms() + DISPATCH_QUERY_TIMEOUT_MS;
	msg.u.attempt_query.id = attempt->id;
	msg.u.attempt_query.key_hash = request->key_hash;
	msg.u.attempt_query.fence = 1;
	ret = wire_send(dispatch->deps.wire, peer, &msg);
	if (ret) {
		remove_attempt(dispatch, attempt);
		return ret;
	}
	request->state = REQUEST_SENT;
	return 0;
}

static void refuse_outcome_unknown(struct dispatch *dispatch, struct request *request,
				   const char *reason)
{
	err_set(&request->err, ERR_OUTCOME_UNKNOWN,
		"check the effect before retrying, or use an idempotency key",
		"the request was sent to a target and its complete answer did not arrive (%s)",
		reason);
	dispatch_refuse(dispatch, request, REQUEST_UNKNOWN);
}

/* Retries an idempotent request whose attempt was lost; refuses others, as they may have run. */
static void retry_or_refuse(struct dispatch *dispatch, struct request *request, const char *reason)
{
	request->may_have_run = true;
	if (request_answer_begun(request) || !request->idempotent) {
		refuse_outcome_unknown(dispatch, request, reason);
		return;
	}
	request_discard_answer(request);
	dispatch_retry(dispatch, request, reason);
}

void attempt_lost(struct dispatch *dispatch, struct request_attempt *attempt, const char *reason)
{
	struct request *request = attempt->request;

	log_info("attempt_lost", request->id, "%s: %s", attempt->peer, reason);
	dispatch_exclude_peer(request, attempt->peer);
	attempt_close(dispatch, attempt, ROUTE_FAILED, true);
	/* With hedging, the other attempt continues. */
	if (other_attempt(attempt)->id) {
		request->may_have_run = true;
		return;
	}
	retry_or_refuse(dispatch, request, reason);
}

void attempt_handle_timeout(struct dispatch *dispatch, struct request_attempt *attempt)
{
	struct request *request = attempt->request;
	char *peer;

	if (attempt->querying || !request->needs_claim) {
		attempt_lost(dispatch, attempt,
			     attempt->querying ? "no_attempt_info" : "not_started");
		return;
	}
	/* The agent knows whether the request with this key started, and fences it if not. */
	peer = talloc_strdup(request, attempt->peer);
	attempt_close(dispatch, attempt, ROUTE_FAILED, false);
	request->may_have_run = true;
	if (attempt_query(dispatch, request, peer))
		refuse_outcome_unknown(dispatch, request, "not_started");
	talloc_free(peer);
}

static void cancel_other_attempt(struct dispatch *dispatch, struct request_attempt *attempt)
{
	attempt_close(dispatch, other_attempt(attempt), ROUTE_NEUTRAL, true);
}

static void on_started(struct dispatch *dispatch, struct request_attempt *attempt,
		       const struct msg_started *message)
{
	attempt->started = true;
	attempt->reply_due_ms = 0;
	if (!attempt->joined)
		route_set_load(dispatch->route, attempt->peer, (uint32_t)message->in_flight,
			       util_clock_ms());
}

static void refuse_permanently(struct dispatch *dispatch, struct request *request,
			       const struct msg_not_run *message)
{
	err_set(&request->err, (enum err_code)message->code, "correct the request",
		"the target's agent refused the request: %.200s", message->reason);
	dispatch_refuse(dispatch, request, REQUEST_NOT_RUN);
}

static bool is_permanent(uint64_t code)
{
	return code == ERR_INVALID || code == ERR_TOO_LARGE || code == ERR_DENIED;
}

static void on_not_run(struct dispatch *dispatch, struct request_attempt *attempt,
		       const struct msg_not_run *message)
{
	struct request *request = attempt->request;
	char *peer = talloc_strdup(request, attempt->peer);
	bool full;

	attempt_close(dispatch, attempt, ROUTE_NEUTRAL, false);
	route_set_load(dispatch->route, peer, (uint32_t)message->in_flight, util_clock_ms());
	full = message->code == ERR_NO_TARGET && route_is_full(dispatch->route, peer);
	/* The agent works but cannot reach its target. */
	if (message->code == ERR_NO_TARGET && !full)
		route_count_failure(dispatch->route, peer, util_clock_ms());
	if (message->code == ERR_LEAVING)
		route_mark_refusing(dispatch->route, peer);
	if (!full)
		dispatch_exclude_peer(request, peer);
	talloc_free(peer);
	if (other_attempt(attempt)->id)
		return;
	if (is_permanent(message->code)) {
		refuse_permanently(dispatch, request, message);
	} else if (full && request->slots_full_count++ < DISPATCH_SLOTS_FULL_MAX) {
		metrics_count_retry(dispatch->deps.metrics, "slots_full");
		dispatch_requeue(dispatch, request);
	} else {
		dispatch_retry(dispatch, request,
			       message->code < ERR_CODE_COUNT ? err_name((int)message->code)
							      : "not_run");
	}
}

static void begin_answer_before_end(struct request_attempt *attempt)
{
	request_begin_answer(attempt->request, attempt->status ? attempt->status : 200,
			     attempt->type[0] ? attempt->type : "application/octet-stream",
			     REQUEST_LENGTH_UNKNOWN);
}

void attempt_begin_answer(struct request_attempt *attempt)
{
	if (attempt->received && attempt->status && !attempt->request->idempotent)
		begin_answer_before_end(attempt);
}

static void on_chunk(struct dispatch *dispatch, struct request_attempt *attempt,
		     const struct msg_chunk *message)
{
	struct request *request = attempt->request;

	if (message->offset < attempt->received) {
		metrics_add(dispatch->deps.metrics, dispatch->metric_late, 1);
		return;
	}
	cancel_other_attempt(dispatch, attempt);
	attempt->started = true;
	attempt->reply_due_ms = 0;
	if (message->offset > attempt->received || message->data.len > REQUEST_CHUNK_MAX) {
		attempt_lost(dispatch, attempt, "chunk_missing");
		return;
	}
	if (request_append_answer(request, message->data.data, message->data.len)) {
		attempt_lost(dispatch, attempt, "credit_exceeded");
		return;
	}
	attempt->checksum = util_hash64(message->data.data, message->data.len, attempt->checksum);
	attempt->received += message->data.len;
	if (message->status && !message->offset) {
		attempt->status = (int)message->status;
		g_strlcpy(attempt->type, message->content_type, sizeof(attempt->type));
	}
	if (attempt->received >= REQUEST_HOLD_BACK_BYTES)
		begin_answer_before_end(attempt);
}

static void complete_answer(struct dispatch *dispatch, struct request_attempt *attempt,
			    const struct msg_end *message)
{
	struct request *request = attempt->request;
	uint64_t us = util_clock_us() - attempt->sent_us;

	if (!attempt->joined)
		dispatch_record_latency(dispatch, request->class_->name, us);
	request_begin_answer(request, (int)message->status, message->content_type, message->length);
	request_end_answer(request);
	attempt_close(dispatch, attempt, message->status >= 500 ? ROUTE_FAILED : ROUTE_OK, false);
	dispatch_finish(dispatch, request);
}

static void on_end(struct dispatch *dispatch, struct request_attempt *attempt,
		   const struct msg_end *message)
{
	struct request *request = attempt->request;
	bool whole = !message->code && message->length == attempt->received &&
		     message->checksum == attempt->checksum;
	bool status_differs =
		request_answer_begun(request) && request->status != (int)message->status;

	if (whole && !status_differs && message->status >= 200 && message->status <= 599) {
		cancel_other_attempt(dispatch, attempt);
		complete_answer(dispatch, attempt, message);
		return;
	}
	attempt_lost(dispatch, attempt, message->code ? "target_failed" : "answer_truncated");
}

static void on_attempt_info(struct dispatch *dispatch, struct request_attempt *attempt,
			    const struct msg_attempt_info *message)
{
	struct request *request = attempt->request;

	if (!attempt->querying || message->key_hash != request->key_hash)
		return;
	attempt->querying = false;
	attempt->reply_due_ms = 0;
	if (message->state == MSG_ATTEMPT_RUNNING || message->state == MSG_ATTEMPT_FINISHED)
		return;
	if (message->state == MSG_ATTEMPT_FENCED) {
		dispatch_exclude_peer(request, attempt->peer);
		attempt_close(dispatch, attempt, ROUTE_NEUTRAL, false);
		request->may_have_run = false;
		dispatch_retry(dispatch, request, "fenced");
		return;
	}
	if (message->state != MSG_ATTEMPT_ANSWER_DROPPED) {
		refuse_outcome_unknown(dispatch, request, "earlier_request");
		return;
	}
	err_set(&request->err, ERR_EXISTS, "check the effect; use a new key to run it again",
		"an earlier request with this key was completed and its answer is no longer kept");
	dispatch_refuse(dispatch, request, REQUEST_UNKNOWN);
}

static uint64_t attempt_id_of(const struct msg *msg)
{
	switch (msg->type) {
	case MSG_STARTED:
		return msg->u.started.id;
	case MSG_NOT_RUN:
		return msg->u.not_run.id;
	case MSG_CHUNK:
		return msg->u.chunk.id;
	case MSG_END:
		return msg->u.end.id;
	case MSG_ATTEMPT_INFO:
		return msg->u.attempt_info.id;
	default:
		return 0;
	}
}

static void handle_message(struct dispatch *dispatch, struct request_attempt *attempt,
			   const struct msg *msg)
{
	switch (msg->type) {
	case MSG_STARTED:
		on_started(dispatch, attempt, &msg->u.started);
		break;
	case MSG_NOT_RUN:
		on_not_run(dispatch, attempt, &msg->u.not_run);
		break;
	case MSG_CHUNK:
		on_chunk(dispatch, attempt, &msg->u.chunk);
		break;
	case MSG_END:
		on_end(dispatch, attempt, &msg->u.end);
		break;
	default:
		on_attempt_info(dispatch, attempt, &msg->u.attempt_info);
		break;
	}
}

bool dispatch_handle_message(struct dispatch *dispatch, const char *peer, const struct msg *msg)
{
	uint64_t id = attempt_id_of(msg);
	struct request_attempt *attempt;
	struct request *request;

	if (!id)
		return msg->type >= MSG_STARTED && msg->type <= MSG_ATTEMPT_INFO;
	attempt = g_hash_table_lookup(dispatch->attempts, &id);
	if (!attempt || strcmp(attempt->peer, peer) != 0) {
		metrics_add(dispatch->deps.metrics, dispatch->metric_late, 1);
		return true;
	}
	attempt->last_message_ms = util_clock_ms();
	request = request_ref(attempt->request);
	handle_message(dispatch, attempt, msg);
	dispatch_send_waiting(dispatch, request->service);
	request_unref(request);
	return true;
}
