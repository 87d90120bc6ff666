#include "dispatch_int.h"
#include "log.h"
#include "util.h"

#include <string.h>

static struct request_attempt *open_attempt(struct dispatch *d, struct request *r, const char *peer)
{
	struct request_attempt *a = r->attempts[0].id ? &r->attempts[1] : &r->attempts[0];

	*a = (struct request_attempt){
		.request = r,
		.id = ++d->last_id,
		.peer = talloc_strdup(r, peer),
		.sent_us = util_clock_us(),
		.heard_ms = util_clock_ms(),
	};
	g_hash_table_insert(d->attempts, &a->id, a);
	return a;
}

static void forget(struct dispatch *d, struct request_attempt *a)
{
	g_hash_table_remove(d->attempts, &a->id);
	TALLOC_FREE(a->peer);
	a->id = 0;
}

void attempt_close(struct dispatch *d, struct request_attempt *a, enum route_result result,
		   bool cancel)
{
	struct msg msg = {.type = MSG_CANCEL};

	if (!a->id)
		return;
	/* An agent keeps a run that others follow or that must not run twice. */
	if (cancel) {
		msg.u.cancel.id = a->id;
		wire_send(d->deps.wire, a->peer, &msg);
	}
	if (!a->joined)
		route_done(d->route, a->peer, result, util_clock_us() - a->sent_us,
			   util_clock_ms());
	forget(d, a);
}

static struct request_attempt *other_attempt(struct request_attempt *a)
{
	struct request *r = a->request;

	return a == &r->attempts[0] ? &r->attempts[1] : &r->attempts[0];
}

static uint64_t flags_of(const struct request *r)
{
	uint64_t flags = 0;

	if (r->idempotent)
		flags |= MSG_REQUEST_IDEMPOTENT;
	if (r->class_->urgent)
		flags |= MSG_REQUEST_URGENT;
	return flags;
}

int attempt_send(struct dispatch *d, struct request *r, const char *peer, int64_t clock_offset_ms)
{
	struct request_attempt *a = open_attempt(d, r, peer);
	uint64_t now = util_clock_ms();
	uint64_t left = r->deadline_ms > now ? r->deadline_ms - now : 0;
	uint64_t start = left < DISPATCH_START_MS ? left : DISPATCH_START_MS;
	struct msg msg = {.type = MSG_REQUEST};
	int ret;

	msg.u.request = (struct msg_request){
		.id = a->id,
		.service = r->service,
		.class_name = r->class_->name,
		.organisation = r->organisation->name,
		.flags = flags_of(r),
		.key_hash = r->needs_claim ? r->key_hash : 0,
		.expiry_ms = (uint64_t)((int64_t)(now + start) + clock_offset_ms),
		.timeout_ms = left,
		.content_type = r->content_type,
		.body = {.data = r->body ? r->body : (const uint8_t *)"", .len = r->body_len},
	};
	ret = wire_send(d->deps.wire, peer, &msg);
	if (ret) {
		forget(d, a);
		return ret;
	}
	a->due_ms = now + start + DISPATCH_START_SPARE_MS;
	r->state = REQUEST_SENT;
	if (r->class_->hedge && r->idempotent && !other_attempt(a)->id)
		r->step_ms = now + r->class_->hedge_after_ms;
	return 0;
}

int attempt_query(struct dispatch *d, struct request *r, const char *peer)
{
	struct request_attempt *a = open_attempt(d, r, peer);
	struct msg msg = {.type = MSG_ATTEMPT_QUERY};
	int ret;

	a->joined = true;
	a->querying = true;
	a->due_ms = util_clock_ms() + DISPATCH_QUERY_MS;
	msg.u.attempt_query.id = a->id;
	msg.u.attempt_query.key_hash = r->key_hash;
	msg.u.attempt_query.fence = 1;
	ret = wire_send(d->deps.wire, peer, &msg);
	if (ret) {
		forget(d, a);
		return ret;
	}
	r->state = REQUEST_SENT;
	return 0;
}

static void unknown(struct dispatch *d, struct request *r, const char *reason)
{
	err_set(&r->err, ERR_OUTCOME_UNKNOWN,
		"check the effect before retrying, or use an idempotency key",
		"the request was sent to a target and its answer did not come whole (%s)", reason);
	dispatch_refuse(d, r, REQUEST_UNKNOWN);
}

/* After an attempt whose run can no longer be followed. */
static void recover(struct dispatch *d, struct request *r, const char *reason)
{
	r->may_have_run = true;
	if (request_begun(r) || !r->idempotent) {
		unknown(d, r, reason);
		return;
	}
	request_discard(r);
	dispatch_retry(d, r, reason);
}

void attempt_lost(struct dispatch *d, struct request_attempt *a, const char *reason)
{
	struct request *r = a->request;

	log_info("attempt_lost", r->id, "%s: %s", a->peer, reason);
	dispatch_exclude(r, a->peer);
	attempt_close(d, a, ROUTE_FAILED, true);
	/* The other of two hedged attempts goes on alone. */
	if (other_attempt(a)->id) {
		r->may_have_run = true;
		return;
	}
	recover(d, r, reason);
}

void attempt_overdue(struct dispatch *d, struct request_attempt *a)
{
	struct request *r = a->request;
	char *peer;

	if (a->querying || !r->needs_claim) {
		attempt_lost(d, a, a->querying ? "no_attempt_info" : "not_started");
		return;
	}
	/* The agent can tell whether the keyed request started, and fence it if it did not. */
	peer = talloc_strdup(r, a->peer);
	attempt_close(d, a, ROUTE_FAILED, false);
	r->may_have_run = true;
	if (attempt_query(d, r, peer))
		unknown(d, r, "not_started");
	talloc_free(peer);
}

static void close_other(struct dispatch *d, struct request_attempt *a)
{
	attempt_close(d, other_attempt(a), ROUTE_NEUTRAL, true);
}

static void on_started(struct dispatch *d, struct request_attempt *a, const struct msg_started *m)
{
	a->started = true;
	a->due_ms = 0;
	if (!a->joined)
		route_load(d->route, a->peer, (uint32_t)m->in_flight, util_clock_ms());
}

static void refuse_final(struct dispatch *d, struct request *r, const struct msg_not_run *m)
{
	err_set(&r->err, (enum err_code)m->code, "correct the request",
		"the target's agent refused it: %.200s", m->reason);
	dispatch_refuse(d, r, REQUEST_NOT_RUN);
}

static bool is_final(uint64_t code)
{
	return code == ERR_INVALID || code == ERR_TOO_LARGE || code == ERR_DENIED;
}

static void on_not_run(struct dispatch *d, struct request_attempt *a, const struct msg_not_run *m)
{
	struct request *r = a->request;
	char *peer = talloc_strdup(r, a->peer);
	bool full;

	attempt_close(d, a, ROUTE_NEUTRAL, false);
	route_load(d->route, peer, (uint32_t)m->in_flight, util_clock_ms());
	full = m->code == ERR_NO_TARGET && route_full(d->route, peer);
	/* The agent is there but cannot reach its target. */
	if (m->code == ERR_NO_TARGET && !full)
		route_fault(d->route, peer, util_clock_ms());
	if (m->code == ERR_LEAVING)
		route_refused(d->route, peer);
	if (!full)
		dispatch_exclude(r, peer);
	talloc_free(peer);
	if (other_attempt(a)->id)
		return;
	if (is_final(m->code)) {
		refuse_final(d, r, m);
	} else if (full && r->bounces++ < DISPATCH_BOUNCES_MAX) {
		metrics_retry(d->deps.metrics, "slots_full");
		dispatch_requeue(d, r);
	} else {
		dispatch_retry(d, r, m->code < ERR_CODE_COUNT ? err_name((int)m->code) : "not_run");
	}
}

static void begin_unended(struct request_attempt *a)
{
	request_begin(a->request, a->status ? a->status : 200,
		      a->type[0] ? a->type : "application/octet-stream", REQUEST_LENGTH_UNKNOWN);
}

void attempt_tick(struct request_attempt *a)
{
	if (a->received && a->status && !a->request->idempotent)
		begin_unended(a);
}

static void on_chunk(struct dispatch *d, struct request_attempt *a, const struct msg_chunk *m)
{
	struct request *r = a->request;

	if (m->offset < a->received) {
		metrics_add(d->deps.metrics, d->late, 1);
		return;
	}
	close_other(d, a);
	a->started = true;
	a->due_ms = 0;
	if (m->offset > a->received || m->data.len > REQUEST_CHUNK_MAX) {
		attempt_lost(d, a, "chunk_missing");
		return;
	}
	if (request_append(r, m->data.data, m->data.len)) {
		attempt_lost(d, a, "credit_exceeded");
		return;
	}
	a->checksum = util_hash64(m->data.data, m->data.len, a->checksum);
	a->received += m->data.len;
	if (m->status && !m->offset) {
		a->status = (int)m->status;
		g_strlcpy(a->type, m->content_type, sizeof(a->type));
	}
	if (a->received >= REQUEST_HOLD_BACK)
		begin_unended(a);
}

static void complete(struct dispatch *d, struct request_attempt *a, const struct msg_end *m)
{
	struct request *r = a->request;
	uint64_t us = util_clock_us() - a->sent_us;

	if (!a->joined)
		dispatch_learn(d, r->class_->name, us);
	request_begin(r, (int)m->status, m->content_type, m->length);
	request_end(r);
	attempt_close(d, a, m->status >= 500 ? ROUTE_FAILED : ROUTE_OK, false);
	dispatch_finish(d, r);
}

static void on_end(struct dispatch *d, struct request_attempt *a, const struct msg_end *m)
{
	struct request *r = a->request;
	bool whole = !m->code && m->length == a->received && m->checksum == a->checksum;
	bool status_differs = request_begun(r) && r->status != (int)m->status;

	if (whole && !status_differs && m->status >= 200 && m->status <= 599) {
		close_other(d, a);
		complete(d, a, m);
		return;
	}
	attempt_lost(d, a, m->code ? "target_failed" : "answer_truncated");
}

static void on_attempt_info(struct dispatch *d, struct request_attempt *a,
			    const struct msg_attempt_info *m)
{
	struct request *r = a->request;

	if (!a->querying || m->key_hash != r->key_hash)
		return;
	a->querying = false;
	a->due_ms = 0;
	if (m->state == MSG_ATTEMPT_RUNNING || m->state == MSG_ATTEMPT_FINISHED)
		return;
	if (m->state == MSG_ATTEMPT_FENCED) {
		dispatch_exclude(r, a->peer);
		attempt_close(d, a, ROUTE_NEUTRAL, false);
		r->may_have_run = false;
		dispatch_retry(d, r, "fenced");
		return;
	}
	err_set(&r->err, ERR_EXISTS, "check the effect; use a new key to run it again",
		"an earlier request with this key ran to its end and its answer is no longer kept");
	dispatch_refuse(d, r, REQUEST_UNKNOWN);
}

static uint64_t id_of(const struct msg *msg)
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

static void handle(struct dispatch *d, struct request_attempt *a, const struct msg *msg)
{
	switch (msg->type) {
	case MSG_STARTED:
		on_started(d, a, &msg->u.started);
		break;
	case MSG_NOT_RUN:
		on_not_run(d, a, &msg->u.not_run);
		break;
	case MSG_CHUNK:
		on_chunk(d, a, &msg->u.chunk);
		break;
	case MSG_END:
		on_end(d, a, &msg->u.end);
		break;
	default:
		on_attempt_info(d, a, &msg->u.attempt_info);
		break;
	}
}

bool dispatch_message(struct dispatch *d, const char *peer, const struct msg *msg)
{
	uint64_t id = id_of(msg);
	struct request_attempt *a;
	struct request *r;

	if (!id)
		return msg->type >= MSG_STARTED && msg->type <= MSG_ATTEMPT_INFO;
	a = g_hash_table_lookup(d->attempts, &id);
	if (!a || strcmp(a->peer, peer) != 0) {
		metrics_add(d->deps.metrics, d->late, 1);
		return true;
	}
	a->heard_ms = util_clock_ms();
	r = request_ref(a->request);
	handle(d, a, msg);
	dispatch_pump(d, r->service);
	request_unref(r);
	return true;
}
