#include "log.h"
#include "util.h"
#include "worker_int.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

struct workerjson_lease worker_new_lease(const struct worker *worker)
{
	struct workerjson_lease lease = {.incarnation = worker->incarnation};

	if (worker->clock_known)
		lease.until_ms = (uint64_t)((int64_t)util_clock_ms() + worker->clock_offset_ms) +
				 TASK_LEASE_MS;
	return lease;
}

static int task_destructor(struct task *task)
{
	if (task->phase_call)
		httpc_cancel(task->phase_call);
	if (task->renew_call)
		httpc_cancel(task->renew_call);
	return 0;
}

static int worker_destructor(struct worker *worker)
{
	struct task *task;

	/* Destructors of tasks cancel HTTP calls, so they must run before the client is freed. */
	while ((task = worker->tasks)) {
		worker->tasks = task->next;
		talloc_free(task);
	}
	TALLOC_FREE(worker->http);
	return 0;
}

struct task *worker_find_task(const struct worker *worker, const char *id)
{
	for (struct task *task = worker->tasks; task; task = task->next) {
		if (!strcmp(task->id, id))
			return task;
	}
	return NULL;
}

static struct task *add_task(struct worker *worker, const char *id, enum task_phase phase)
{
	struct task *task = talloc_zero(worker, struct task);

	task->worker = worker;
	task->id = talloc_strdup(task, id);
	task->phase = phase;
	task->next = worker->tasks;
	worker->tasks = task;
	talloc_set_destructor(task, task_destructor);
	return task;
}

static void remove_task(struct task *task)
{
	struct task **at = &task->worker->tasks;

	while (*at != task)
		at = &(*at)->next;
	*at = task->next;
	talloc_free(task);
}

void worker_set_lease_expiry(struct task *task, uint32_t call_timeout_ms)
{
	task->lease_expiry_ms =
		util_clock_ms() + call_timeout_ms + TASK_LEASE_MS + LEASE_EXPIRY_MARGIN_MS;
}

/*
 * Only a start must not be sent twice and therefore needs a fresh connection, see httpc.h. Other
 * requests may be repeated.
 */
struct httpc_call *worker_call_task(struct worker *worker, const char *id,
				    const struct worker_call *call)
{
	char *escaped = g_uri_escape_string(id, NULL, FALSE);
	char *url = talloc_asprintf(worker, "%s/tasks/%s%s", worker->url, escaped, call->path);
	const char *const headers[] = {"Content-Type: application/json"};
	struct httpc_request request = {
		.method = call->method,
		.url = url,
		.headers = headers,
		.header_count = 1,
		.body = call->body,
		.body_len = call->body ? strlen(call->body) : 0,
		.timeout_ms = call->timeout_ms,
		.fresh_connection = !strcmp(call->method, "PUT"),
		.done = call->done,
		.ctx = call->ctx,
	};
	struct httpc_call *started = httpc_start(worker->http, &request);

	talloc_free(url);
	g_free(escaped);
	return started;
}

void worker_report_task_ended(struct task *task, enum worker_task_state state, const char *reason)
{
	struct worker *worker = task->worker;
	char *id = talloc_steal(worker, task->id);

	remove_task(task);
	worker->handlers.on_task(id, state, reason, worker->handlers.ctx);
	talloc_free(id);
}

/*
 * @start_status: result of a start that was not answered: -ERR_UNAVAILABLE if it certainly had no
 * effect, otherwise -ERR_OUTCOME_UNKNOWN.
 */
static void finish_stop(struct task *task, int status, uint64_t checkpoint_ms, int start_status)
{
	void (*start_done)(int, const char *, void *) = task->start_done;
	void (*stop_done)(int, uint64_t, void *) = task->stop_done;
	void *start_ctx = task->start_ctx;
	void *stop_ctx = task->stop_ctx;

	if (task->renewals_failed && !stop_done) {
		worker_report_task_ended(task, WORKER_TASK_UNKNOWN, "the task's lease has expired");
		return;
	}
	remove_task(task);
	if (start_done)
		start_done(start_status, "the worker did not answer in time", start_ctx);
	if (stop_done)
		stop_done(status, checkpoint_ms, stop_ctx);
}

static void send_delete(struct task *task);

static void retry_delete(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			 void *data)
{
	struct task *task = data;

	task->retry_timer = NULL;
	send_delete(task);
}

static void schedule_delete_retry(struct task *task)
{
	struct timeval at = tevent_timeval_current_ofs(0, STOP_RETRY_DELAY_MS * 1000);

	metrics_count_retry(task->worker->metrics, "task_stop");
	task->retry_timer = tevent_add_timer(task->worker->ev, task, at, retry_delete, task);
}

static void on_no_announcement(struct tevent_context *ev, struct tevent_timer *te,
			       struct timeval now, void *data)
{
	finish_stop(data, 0, 0, -ERR_OUTCOME_UNKNOWN);
}

/*
 * The start has had no effect if the worker has not restarted since, which its next announcement
 * shows. Without one until the lease has expired the task counts as one that may have run.
 */
static void wait_for_announcement(struct task *task)
{
	uint64_t now = util_clock_ms();
	uint64_t wait_ms = task->lease_expiry_ms > now ? task->lease_expiry_ms - now : 0;
	struct timeval at = tevent_timeval_current_ofs((uint32_t)(wait_ms / 1000),
						       (uint32_t)(wait_ms % 1000) * 1000);

	task->start_unknown = true;
	task->retry_timer = tevent_add_timer(task->worker->ev, task, at, on_no_announcement, task);
}

static void on_deleted(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct task *task = ctx;
	json_t *root;

	task->phase_call = NULL;
	if (status || (http_status != 200 && http_status != 404)) {
		schedule_delete_retry(task);
		return;
	}
	if (http_status == 404 && task->start_done) {
		wait_for_announcement(task);
		return;
	}
	/* One such answer may come from another process at the address. */
	if (http_status == 404 && task->started_ms && !task->stop_unknown) {
		task->stop_unknown = true;
		schedule_delete_retry(task);
		return;
	}
	root = json_loadb(body, len, 0, NULL);
	/* An older checkpoint lacks the work done since. */
	finish_stop(task, 0, task->checkpoint_taken ? workerjson_number(root, "checkpoint_ms") : 0,
		    -ERR_OUTCOME_UNKNOWN);
	json_decref(root);
}

static void send_delete(struct task *task)
{
	struct worker_call call = {
		.method = "DELETE",
		.path = "",
		.timeout_ms = STOP_TIMEOUT_MS,
		.done = on_deleted,
		.ctx = task,
	};

	if (util_clock_ms() >= task->lease_expiry_ms) {
		log_warn("task_lapsed", task->id,
			 "the worker did not confirm the stop before the lease expired");
		finish_stop(task, -ERR_UNAVAILABLE, 0, -ERR_OUTCOME_UNKNOWN);
		return;
	}
	task->phase_call = worker_call_task(task->worker, task->id, &call);
	if (!task->phase_call)
		schedule_delete_retry(task);
}

void worker_begin_delete(struct task *task)
{
	task->phase = PHASE_STOPPING;
	if (task->renew_call)
		httpc_cancel(task->renew_call);
	task->renew_call = NULL;
	send_delete(task);
}

static void on_checkpoint(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct task *task = ctx;

	task->phase_call = NULL;
	task->checkpoint_taken = !status && http_status == 200;
	if (!task->checkpoint_taken)
		log_warn("checkpoint_failed", task->id,
			 "no new checkpoint; stopping the task without it");
	worker_begin_delete(task);
}

static void begin_stop(struct task *task)
{
	struct worker_call call = {
		.method = "POST",
		.path = "/checkpoint",
		.body = "{}",
		.timeout_ms = task->stop_grace_ms ? task->stop_grace_ms : STOP_TIMEOUT_MS,
		.done = on_checkpoint,
		.ctx = task,
	};

	task->phase = PHASE_CHECKPOINT;
	if (task->stop_checkpoint)
		task->phase_call = worker_call_task(task->worker, task->id, &call);
	if (!task->phase_call)
		worker_begin_delete(task);
}

static void report_started(struct task *task, int status, const char *reason)
{
	void (*done)(int, const char *, void *) = task->start_done;

	task->start_done = NULL;
	done(status, reason, task->start_ctx);
}

static void handle_start_success(struct task *task)
{
	struct worker *worker = task->worker;
	char *id = talloc_strdup(worker, task->id);

	task->phase = PHASE_RUNNING;
	task->started_ms = util_clock_ms();
	task->renewed_ms = task->started_ms;
	report_started(task, 0, "");
	/* The callback may have stopped the task already. */
	task = worker_find_task(worker, id);
	if (task && task->phase == PHASE_RUNNING && task->stop_requested)
		begin_stop(task);
	talloc_free(id);
}

static void handle_start_failure(struct task *task, int status, const char *reason)
{
	void (*start_done)(int, const char *, void *) = task->start_done;
	void (*stop_done)(int, uint64_t, void *) = task->stop_done;
	void *start_ctx = task->start_ctx;
	void *stop_ctx = task->stop_ctx;

	metrics_count_refusal(task->worker->metrics, "worker_start");
	remove_task(task);
	start_done(status, reason, start_ctx);
	if (stop_done)
		stop_done(0, 0, stop_ctx);
}

static void on_started(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct task *task = ctx;
	json_t *root;

	task->phase_call = NULL;
	if (status == -ERR_UNAVAILABLE) {
		handle_start_failure(task, status, "the worker does not accept connections");
	} else if (status) {
		/*
		 * The task may run or start later. DELETE stops it; the worker also remembers the
		 * id and refuses a later start.
		 */
		worker_begin_delete(task);
	} else if (http_status == 200 || http_status == 201) {
		handle_start_success(task);
	} else {
		root = json_loadb(body, len, 0, NULL);
		handle_start_failure(task, http_status == 409 ? -ERR_NO_TARGET : -ERR_FAILED,
				     workerjson_error(root));
		json_decref(root);
	}
}

/* The worker has not restarted since it was sent these starts. */
static void finish_unknown_starts(struct worker *worker)
{
	struct task *task = worker->tasks;

	while (task) {
		if (task->start_unknown) {
			finish_stop(task, 0, 0, -ERR_UNAVAILABLE);
			task = worker->tasks; /* the callback may have removed tasks */
		} else {
			task = task->next;
		}
	}
}

void worker_announced(struct worker *worker, uint64_t clock_ms, uint64_t now_ms)
{
	worker->clock_known = clock_ms > 0;
	worker->clock_offset_ms = (int64_t)clock_ms - (int64_t)now_ms;
	finish_unknown_starts(worker);
}

void worker_start_task(struct worker *worker, const struct worker_task_spec *spec,
		       void (*done)(int status, const char *reason, void *ctx), void *ctx)
{
	struct task *task = add_task(worker, spec->id, PHASE_STARTING);
	struct workerjson_lease lease = worker_new_lease(worker);
	char *body = workerjson_start(spec, &lease);
	struct worker_call call = {
		.method = "PUT",
		.path = "",
		.body = body,
		.timeout_ms = START_TIMEOUT_MS,
		.done = on_started,
		.ctx = task,
	};

	task->start_done = done;
	task->start_ctx = ctx;
	worker_set_lease_expiry(task, START_TIMEOUT_MS);
	task->phase_call = worker_call_task(worker, spec->id, &call);
	free(body);
	if (!task->phase_call)
		schedule_delete_retry(task);
}

void worker_stop_task(struct worker *worker, const char *id, bool checkpoint, uint32_t grace_ms,
		      void (*done)(int status, uint64_t checkpoint_ms, void *ctx), void *ctx)
{
	struct task *task = worker_find_task(worker, id);

	if (!task) {
		task = add_task(worker, id, PHASE_RUNNING);
		worker_set_lease_expiry(task, RENEW_TIMEOUT_MS);
	}
	task->stop_done = done;
	task->stop_ctx = ctx;
	task->stop_requested = true;
	task->stop_checkpoint = checkpoint;
	task->stop_grace_ms = grace_ms;
	if (task->phase == PHASE_RUNNING)
		begin_stop(task);
}

void worker_throttle_task(struct worker *worker, const char *id, uint32_t percent)
{
	char body[64];
	struct worker_call call = {
		.method = "POST",
		.path = "/throttle",
		.body = body,
		.timeout_ms = STOP_TIMEOUT_MS,
	};

	snprintf(body, sizeof(body), "{\"percent\":%u}", percent);
	worker_call_task(worker, id, &call);
}

struct worker *worker_create(TALLOC_CTX *mem, struct tevent_context *ev, const char *url,
			     uint64_t incarnation, const struct worker_handlers *handlers,
			     struct metrics *metrics)
{
	struct worker *worker = talloc_zero(mem, struct worker);

	worker->ev = ev;
	worker->http = httpc_create(worker, ev);
	worker->url = talloc_strdup(worker, url);
	worker->incarnation = incarnation;
	worker->handlers = *handlers;
	worker->metrics = metrics;
	talloc_set_destructor(worker, worker_destructor);
	worker_schedule_poll(worker);
	return worker;
}
