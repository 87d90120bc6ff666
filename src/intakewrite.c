#include "intake_int.h"

#include "log.h"
#include "util.h"

#define OK 200
#define GONE 410
#define UNAVAILABLE 503
#define GATEWAY_TIMEOUT 504
#define RETRY_AFTER_S 1
#define RETRY_MS 60
/* After this the caller is refused, since the store may serve the entry that it tries next. */
#define STORE_REFUSAL_WAIT_MS 400
#define ANSWER_MARGIN_MS 150 /* an answer has to reach the caller before its deadline */
#define RELAY_MARGIN_MS 500  /* peers are asked only if the deadline is further away */
#define KEY_MAX 64

static void schedule_retry(struct intake_request *request, tevent_timer_handler_t handler)
{
	request->timer =
		tevent_add_timer(request->intake->deps.ev, request,
				 tevent_timeval_current_ofs(0, RETRY_MS * 1000), handler, request);
}

/*
 * Retries a failed write or answers the caller. A job whose write may have taken effect must not
 * be reported as refused, so the answer is a time-out when the deadline is near.
 */
static void handle_write_failure(struct intake_request *request, int status,
				 tevent_timer_handler_t retry)
{
	uint64_t now_ms = util_clock_ms();

	if (status == -ERR_OUTCOME_UNKNOWN)
		request->maybe_stored = true;
	/* The retry goes through a peer. */
	if (!request->relayed && !intake_store_answers(request->intake) &&
	    now_ms + RELAY_MARGIN_MS < request->deadline_ms) {
		schedule_retry(request, retry);
		return;
	}
	if (now_ms + ANSWER_MARGIN_MS >= request->deadline_ms ||
	    !intake_store_answers(request->intake)) {
		if (request->maybe_stored)
			intake_answer(request, GATEWAY_TIMEOUT, NULL, 0, "store_outcome_unknown");
		else
			intake_answer(request, UNAVAILABLE, NULL, RETRY_AFTER_S,
				      "store_unavailable");
		return;
	}
	if (!request->maybe_stored && now_ms - request->received_ms > STORE_REFUSAL_WAIT_MS) {
		intake_answer(request, UNAVAILABLE, NULL, RETRY_AFTER_S, "store_unavailable");
		return;
	}
	schedule_retry(request, retry);
}

static void on_submit_retry(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			    void *ctx)
{
	struct intake_request *request = ctx;

	request->timer = NULL;
	intake_submit(request);
}

static void on_cancel_retry(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			    void *ctx)
{
	struct intake_request *request = ctx;

	request->timer = NULL;
	intake_cancel(request);
}

static void on_submitted(int status, const struct kv_result *result, void *ctx)
{
	struct intake_request *request = ctx;

	if (intake_end_store_call(request))
		return;
	/*
	 * A conflict shows that the job is stored: the caller submitted it before, or the answer
	 * to an earlier write was lost.
	 */
	if (status == 0)
		intake_answer(request, OK, NULL, 0, "stored");
	else if (status == -ERR_CONFLICT)
		intake_answer(request, OK, NULL, 0, "stored before");
	else
		handle_write_failure(request, status, on_submit_retry);
}

static void relay_write(struct intake_request *request);

static void answer_cancel(struct intake_request *request, const char *why)
{
	if (request->job_unknown)
		intake_answer(request, GONE, NULL, 0, "job_unknown");
	else
		intake_answer(request, OK, NULL, 0, why);
}

static void on_relayed(int status, void *ctx)
{
	struct intake_request *request = ctx;
	bool stored = status == 0 || status == -ERR_CONFLICT;

	if (intake_end_store_call(request))
		return;
	if (request->kind == INTAKE_SUBMIT && stored) {
		intake_answer(request, OK, NULL, 0, "stored by a peer");
	} else if (request->kind == INTAKE_SUBMIT) {
		handle_write_failure(request, status, on_submit_retry);
	} else if (stored) {
		answer_cancel(request, "cancelled by a peer");
	} else if (status == -ERR_NOT_FOUND && !request->job_unknown) {
		request->job_unknown = true;
		relay_write(request);
	} else {
		handle_write_failure(request, status, on_cancel_retry);
	}
}

/* A peer first looks for the job of a cancellation, until none has been found. */
static void relay_write(struct intake_request *request)
{
	char key[KEY_MAX];
	char job_key[KEY_MAX];
	bool cancel = request->kind == INTAKE_CANCEL;

	request->call_pending = true;
	g_snprintf(job_key, sizeof(job_key), "job/%s", request->id);
	g_snprintf(key, sizeof(key), "%s%s", job_key, cancel ? ".cancel" : "");
	relay_put(request->intake->deps.relay, key, cancel ? "1" : request->job_record,
		  cancel && !request->job_unknown ? job_key : NULL, 0, on_relayed, request);
}

/*
 * While the store does not answer this entry, it may answer its peers. They are asked to write
 * once; if they can't either, the call fails.
 */
static bool relay_if_store_down(struct intake_request *request)
{
	if (request->relayed || intake_store_answers(request->intake))
		return false;
	request->relayed = true;
	relay_write(request);
	return true;
}

void intake_submit(struct intake_request *request)
{
	char key[KEY_MAX];
	struct kv_expect expect = {key, 0};
	struct kv_put put = {key, request->job_record, 0};
	struct kv_txn txn = {.expects = &expect, .expect_count = 1, .puts = &put, .put_count = 1};

	if (relay_if_store_down(request))
		return;
	g_snprintf(key, sizeof(key), "job/%s", request->id);
	request->call_pending = true;
	request->intake->deps.kv->ops->txn(request->intake->deps.kv->impl, &txn,
					   (struct kv_cb){on_submitted, request});
}

static void on_cancelled(int status, const struct kv_result *result, void *ctx)
{
	struct intake_request *request = ctx;

	if (intake_end_store_call(request))
		return;
	if (status == 0 || status == -ERR_CONFLICT)
		answer_cancel(request, "cancelled");
	else
		handle_write_failure(request, status, on_cancel_retry);
}

static void on_cancel_job_read(int status, const struct kv_result *result, void *ctx)
{
	struct intake_request *request = ctx;
	char key[KEY_MAX];
	struct kv_expect expect = {key, 0};
	struct kv_put put = {key, "1", 0};
	struct kv_txn txn = {.expects = &expect, .expect_count = 1, .puts = &put, .put_count = 1};

	if (intake_end_store_call(request))
		return;
	if (status) {
		handle_write_failure(request, status, on_cancel_retry);
		return;
	}
	request->job_unknown = result->count == 0;
	g_snprintf(key, sizeof(key), "job/%s.cancel", request->id);
	request->call_pending = true;
	request->intake->deps.kv->ops->txn(request->intake->deps.kv->impl, &txn,
					   (struct kv_cb){on_cancelled, request});
}

/*
 * The cancellation is stored whether the job exists or not, since its submission may still be on
 * its way. The leader removes it with the job, or when no job has come for keep_ended_ms.
 */
void intake_cancel(struct intake_request *request)
{
	char key[KEY_MAX];

	if (relay_if_store_down(request))
		return;
	g_snprintf(key, sizeof(key), "job/%s", request->id);
	request->call_pending = true;
	request->intake->deps.kv->ops->get(request->intake->deps.kv->impl, key,
					   (struct kv_cb){on_cancel_job_read, request});
}
