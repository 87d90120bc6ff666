#include "intake_int.h"

#include "log.h"
#include "util.h"

#define OK 200
#define GONE 410
#define UNAVAILABLE 503
#define GATEWAY_TIMEOUT 504
#define RETRY_AFTER_S 1
#define RETRY_MS 60
/* A store that refuses this entry may serve the next one, so the caller is told after this. */
#define REFUSED_WAIT_MS 400
#define ANSWER_MARGIN_MS 150 /* an answer has to reach the caller before it gives up */
#define RELAY_MARGIN_MS 500  /* peers are asked only while this much patience is left */
#define KEY_MAX 64

static void retry_later(struct intake_request *q, tevent_timer_handler_t handler)
{
	q->timer = tevent_add_timer(q->intake->deps.ev, q,
				    tevent_timeval_current_ofs(0, RETRY_MS * 1000), handler, q);
}

/*
 * A write failed. While it may have taken effect the job must not be called refused, so only
 * a time-out is left when the time is over.
 */
static void failed(struct intake_request *q, int status, tevent_timer_handler_t again)
{
	uint64_t now_ms = util_clock_ms();

	if (status == -ERR_OUTCOME_UNKNOWN)
		q->maybe_stored = true;
	/* The next try goes through a peer. */
	if (!q->relayed && !intake_store_answers(q->intake) &&
	    now_ms + RELAY_MARGIN_MS < q->deadline_ms) {
		retry_later(q, again);
		return;
	}
	if (now_ms + ANSWER_MARGIN_MS >= q->deadline_ms || !intake_store_answers(q->intake)) {
		if (q->maybe_stored)
			intake_answer(q, GATEWAY_TIMEOUT, NULL, 0, "store_outcome_unknown");
		else
			intake_answer(q, UNAVAILABLE, NULL, RETRY_AFTER_S, "store_unavailable");
		return;
	}
	if (!q->maybe_stored && now_ms - q->began_ms > REFUSED_WAIT_MS) {
		intake_answer(q, UNAVAILABLE, NULL, RETRY_AFTER_S, "store_unavailable");
		return;
	}
	retry_later(q, again);
}

static void on_submit_again(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			    void *ctx)
{
	struct intake_request *q = ctx;

	q->timer = NULL;
	intake_submit(q);
}

static void on_cancel_again(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			    void *ctx)
{
	struct intake_request *q = ctx;

	q->timer = NULL;
	intake_cancel(q);
}

static void on_submitted(int status, const struct kv_result *result, void *ctx)
{
	struct intake_request *q = ctx;

	if (intake_abandoned(q))
		return;
	/* A conflict shows that the job is there: sent again, or by an answer that was lost. */
	if (status == 0)
		intake_answer(q, OK, NULL, 0, "stored");
	else if (status == -ERR_CONFLICT)
		intake_answer(q, OK, NULL, 0, "stored before");
	else
		failed(q, status, on_submit_again);
}

static void on_relayed(int status, void *ctx)
{
	struct intake_request *q = ctx;

	if (intake_abandoned(q))
		return;
	if (status == 0 || status == -ERR_CONFLICT)
		intake_answer(q, OK, NULL, 0, "stored by a peer");
	else if (status == -ERR_NOT_FOUND)
		intake_answer(q, GONE, NULL, 0, "job_unknown");
	else
		failed(q, status, q->kind == INTAKE_SUBMIT ? on_submit_again : on_cancel_again);
}

/*
 * The store does not answer this entry, but may answer its peers. They are asked once; what
 * they can't write either is refused.
 */
static bool relay_instead(struct intake_request *q)
{
	char key[KEY_MAX];
	char job_key[KEY_MAX];
	bool cancel = q->kind == INTAKE_CANCEL;

	if (q->relayed || intake_store_answers(q->intake))
		return false;
	q->relayed = true;
	q->busy = true;
	g_snprintf(job_key, sizeof(job_key), "job/%s", q->id);
	g_snprintf(key, sizeof(key), "%s%s", job_key, cancel ? ".cancel" : "");
	relay_put(q->intake->deps.relay, key, cancel ? "1" : q->record, cancel ? job_key : "",
		  on_relayed, q);
	return true;
}

void intake_submit(struct intake_request *q)
{
	char key[KEY_MAX];
	struct kv_expect expect = {key, 0};
	struct kv_put put = {key, q->record, 0};
	struct kv_txn txn = {.expects = &expect, .expect_count = 1, .puts = &put, .put_count = 1};

	if (relay_instead(q))
		return;
	g_snprintf(key, sizeof(key), "job/%s", q->id);
	q->busy = true;
	q->intake->deps.kv->ops->txn(q->intake->deps.kv->impl, &txn,
				     (struct kv_cb){on_submitted, q});
}

static void on_cancelled(int status, const struct kv_result *result, void *ctx)
{
	struct intake_request *q = ctx;

	if (intake_abandoned(q))
		return;
	if (status == 0 || status == -ERR_CONFLICT)
		intake_answer(q, OK, NULL, 0, "cancelled");
	else
		failed(q, status, on_cancel_again);
}

static void on_cancel_found(int status, const struct kv_result *result, void *ctx)
{
	struct intake_request *q = ctx;
	char key[KEY_MAX];
	struct kv_expect expect = {key, 0};
	struct kv_put put = {key, "1", 0};
	struct kv_txn txn = {.expects = &expect, .expect_count = 1, .puts = &put, .put_count = 1};

	if (intake_abandoned(q))
		return;
	if (status) {
		failed(q, status, on_cancel_again);
		return;
	}
	if (result->count == 0) {
		intake_answer(q, GONE, NULL, 0, "job_unknown");
		return;
	}
	g_snprintf(key, sizeof(key), "job/%s.cancel", q->id);
	q->busy = true;
	q->intake->deps.kv->ops->txn(q->intake->deps.kv->impl, &txn,
				     (struct kv_cb){on_cancelled, q});
}

/* The mark of a cancellation is written only for a job that exists. */
void intake_cancel(struct intake_request *q)
{
	char key[KEY_MAX];

	if (relay_instead(q))
		return;
	g_snprintf(key, sizeof(key), "job/%s", q->id);
	q->busy = true;
	q->intake->deps.kv->ops->get(q->intake->deps.kv->impl, key,
				     (struct kv_cb){on_cancel_found, q});
}
