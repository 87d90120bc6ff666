#include "worker.h"
#include "httpc.h"
#include "log.h"
#include "util.h"
#include "workerjson.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define POLL_MS 1000
#define RENEW_TIMEOUT_MS 900
#define START_TIMEOUT_MS 2000
#define STOP_TIMEOUT_MS 1000
#define STOP_RETRY_MS 300
#define LAPSE_MARGIN_MS 500 /* scheduling delays of the worker when it ends a lapsed task */
#define LIST_MAX_BYTES (4 * 1024 * 1024)

enum task_phase {
	PHASE_STARTING, /* PUT under way */
	PHASE_RUNNING,
	PHASE_CHECKPOINT, /* POST checkpoint under way before a stop; still renewed */
	PHASE_STOPPING,	  /* DELETE under way or repeated; no longer renewed */
};

struct task {
	struct task *next;
	struct worker *worker;
	char *id;
	enum task_phase phase;
	struct httpc_call *call;  /* of the phase */
	struct httpc_call *renew; /* of the lease */
	struct tevent_timer *retry;
	uint64_t running_ms; /* since when it runs */
	uint64_t renewed_ms; /* when the last renewal that succeeded was sent */
	uint64_t lapses_ms;  /* its lease has lapsed by then if no renewal follows */
	void (*start_done)(int status, const char *reason, void *ctx);
	void *start_ctx;
	bool stop_wanted;
	bool stop_checkpoint;
	uint32_t stop_grace_ms;
	void (*stop_done)(int status, uint64_t checkpoint_ms, void *ctx);
	void *stop_ctx;
};

struct worker {
	struct tevent_context *ev;
	struct httpc *http;
	char *url;
	struct worker_handlers handlers;
	struct metrics *metrics;
	struct task *tasks;
	struct httpc_call *list;
	uint64_t list_ms; /* when the list was asked for */
	bool clock_known;
	int64_t clock_offset_ms; /* worker's clock = util_clock_ms() + this; never ahead */
};

/* End of a lease that begins now, by the worker's clock; 0 when that clock is unknown. */
static uint64_t lease_until(const struct worker *w)
{
	if (!w->clock_known)
		return 0;
	return (uint64_t)((int64_t)util_clock_ms() + w->clock_offset_ms) + WORKER_LEASE_MS;
}

static int task_destructor(struct task *task)
{
	if (task->call)
		httpc_cancel(task->call);
	if (task->renew)
		httpc_cancel(task->renew);
	return 0;
}

static int worker_destructor(struct worker *w)
{
	struct task *task;

	/* The tasks cancel their calls, so they go before the client. */
	while ((task = w->tasks)) {
		w->tasks = task->next;
		talloc_free(task);
	}
	TALLOC_FREE(w->http);
	return 0;
}

static struct task *find_task(const struct worker *w, const char *id)
{
	for (struct task *task = w->tasks; task; task = task->next) {
		if (!strcmp(task->id, id))
			return task;
	}
	return NULL;
}

static struct task *add_task(struct worker *w, const char *id, enum task_phase phase)
{
	struct task *task = talloc_zero(w, struct task);

	task->worker = w;
	task->id = talloc_strdup(task, id);
	task->phase = phase;
	task->next = w->tasks;
	w->tasks = task;
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

static void set_lapse(struct task *task, uint32_t call_timeout_ms)
{
	task->lapses_ms = util_clock_ms() + call_timeout_ms + WORKER_LEASE_MS + LAPSE_MARGIN_MS;
}

struct call {
	const char *method;
	const char *path; /* after the task's id; "" for the task itself */
	const char *body; /* JSON text or NULL */
	uint32_t timeout_ms;
	void (*done)(int status, int http_status, const char *body, size_t len, void *ctx);
	void *ctx;
};

/* A renewal or stop may be sent twice without harm, so connections are reused for them. */
static struct httpc_call *call_task(struct worker *w, const char *id, const struct call *call)
{
	char *escaped = g_uri_escape_string(id, NULL, FALSE);
	char *url = talloc_asprintf(w, "%s/tasks/%s%s", w->url, escaped, call->path);
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
	struct httpc_call *started = httpc_start(w->http, &request);

	talloc_free(url);
	g_free(escaped);
	return started;
}

static void finish_stop(struct task *task, int status, uint64_t checkpoint_ms)
{
	void (*start_done)(int, const char *, void *) = task->start_done;
	void (*stop_done)(int, uint64_t, void *) = task->stop_done;
	void *start_ctx = task->start_ctx;
	void *stop_ctx = task->stop_ctx;

	remove_task(task);
	if (start_done)
		start_done(-ERR_UNAVAILABLE, "the worker did not answer in time", start_ctx);
	if (stop_done)
		stop_done(status, checkpoint_ms, stop_ctx);
}

static void send_delete(struct task *task);

static void retry_delete(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			 void *data)
{
	struct task *task = data;

	task->retry = NULL;
	send_delete(task);
}

static void schedule_delete(struct task *task)
{
	struct timeval at = tevent_timeval_current_ofs(0, STOP_RETRY_MS * 1000);

	metrics_retry(task->worker->metrics, "task_stop");
	task->retry = tevent_add_timer(task->worker->ev, task, at, retry_delete, task);
}

static void on_deleted(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct task *task = ctx;
	json_t *root;

	task->call = NULL;
	if (status || (http_status != 200 && http_status != 404)) {
		schedule_delete(task);
		return;
	}
	root = json_loadb(body, len, 0, NULL);
	finish_stop(task, 0, workerjson_number(root, "checkpoint_ms"));
	json_decref(root);
}

static void send_delete(struct task *task)
{
	struct call call = {
		.method = "DELETE",
		.path = "",
		.timeout_ms = STOP_TIMEOUT_MS,
		.done = on_deleted,
		.ctx = task,
	};

	if (util_clock_ms() >= task->lapses_ms) {
		log_warn("task_lapsed", task->id, "the worker did not confirm the stop");
		finish_stop(task, -ERR_UNAVAILABLE, 0);
		return;
	}
	task->call = call_task(task->worker, task->id, &call);
	if (!task->call)
		schedule_delete(task);
}

static void begin_delete(struct task *task)
{
	task->phase = PHASE_STOPPING;
	if (task->renew)
		httpc_cancel(task->renew);
	task->renew = NULL;
	send_delete(task);
}

static void on_checkpoint(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct task *task = ctx;

	task->call = NULL;
	if (status || http_status != 200)
		log_warn("checkpoint_failed", task->id, "stopped without a new checkpoint");
	begin_delete(task);
}

static void begin_stop(struct task *task)
{
	struct call call = {
		.method = "POST",
		.path = "/checkpoint",
		.body = "{}",
		.timeout_ms = task->stop_grace_ms ? task->stop_grace_ms : STOP_TIMEOUT_MS,
		.done = on_checkpoint,
		.ctx = task,
	};

	task->phase = PHASE_CHECKPOINT;
	if (task->stop_checkpoint)
		task->call = call_task(task->worker, task->id, &call);
	if (!task->call)
		begin_delete(task);
}

static void report_started(struct task *task, int status, const char *reason)
{
	void (*done)(int, const char *, void *) = task->start_done;

	task->start_done = NULL;
	done(status, reason, task->start_ctx);
}

static void start_succeeded(struct task *task)
{
	struct worker *w = task->worker;
	char *id = talloc_strdup(w, task->id);

	task->phase = PHASE_RUNNING;
	task->running_ms = util_clock_ms();
	task->renewed_ms = task->running_ms;
	report_started(task, 0, "");
	/* The callback may have stopped the task already. */
	task = find_task(w, id);
	if (task && task->phase == PHASE_RUNNING && task->stop_wanted)
		begin_stop(task);
	talloc_free(id);
}

static void start_failed(struct task *task, int status, const char *reason)
{
	void (*start_done)(int, const char *, void *) = task->start_done;
	void (*stop_done)(int, uint64_t, void *) = task->stop_done;
	void *start_ctx = task->start_ctx;
	void *stop_ctx = task->stop_ctx;

	metrics_refusal(task->worker->metrics, "worker_start");
	remove_task(task);
	start_done(status, reason, start_ctx);
	if (stop_done)
		stop_done(0, 0, stop_ctx);
}

static void on_started(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct task *task = ctx;
	json_t *root;

	task->call = NULL;
	if (status == -ERR_UNAVAILABLE) {
		start_failed(task, status, "the worker does not accept connections");
	} else if (status) {
		/* It may run or start later: stopping it leaves a mark that refuses it. */
		begin_delete(task);
	} else if (http_status == 200 || http_status == 201) {
		start_succeeded(task);
	} else {
		root = json_loadb(body, len, 0, NULL);
		start_failed(task, http_status == 409 ? -ERR_NO_TARGET : -ERR_FAILED,
			     workerjson_error(root));
		json_decref(root);
	}
}

void worker_set_clock(struct worker *w, uint64_t clock_ms, uint64_t now_ms)
{
	w->clock_known = clock_ms > 0;
	w->clock_offset_ms = (int64_t)clock_ms - (int64_t)now_ms;
}

void worker_start(struct worker *w, const struct worker_task_spec *spec,
		  void (*done)(int status, const char *reason, void *ctx), void *ctx)
{
	struct task *task = add_task(w, spec->id, PHASE_STARTING);
	char *body = workerjson_start(spec, lease_until(w));
	struct call call = {
		.method = "PUT",
		.path = "",
		.body = body,
		.timeout_ms = START_TIMEOUT_MS,
		.done = on_started,
		.ctx = task,
	};

	task->start_done = done;
	task->start_ctx = ctx;
	set_lapse(task, START_TIMEOUT_MS);
	task->call = call_task(w, spec->id, &call);
	free(body);
	if (!task->call)
		schedule_delete(task);
}

void worker_stop(struct worker *w, const char *id, bool checkpoint, uint32_t grace_ms,
		 void (*done)(int status, uint64_t checkpoint_ms, void *ctx), void *ctx)
{
	struct task *task = find_task(w, id);

	if (!task) {
		task = add_task(w, id, PHASE_RUNNING);
		set_lapse(task, RENEW_TIMEOUT_MS);
	}
	task->stop_done = done;
	task->stop_ctx = ctx;
	task->stop_wanted = true;
	task->stop_checkpoint = checkpoint;
	task->stop_grace_ms = grace_ms;
	if (task->phase == PHASE_RUNNING)
		begin_stop(task);
}

void worker_throttle(struct worker *w, const char *id, uint32_t percent)
{
	char body[64];
	struct call call = {
		.method = "POST",
		.path = "/throttle",
		.body = body,
		.timeout_ms = STOP_TIMEOUT_MS,
	};

	snprintf(body, sizeof(body), "{\"percent\":%u}", percent);
	call_task(w, id, &call);
}

static void report_ended(struct task *task, enum worker_task_state state, const char *reason)
{
	struct worker *w = task->worker;
	char *id = talloc_steal(w, task->id);

	remove_task(task);
	w->handlers.on_task(id, state, reason, w->handlers.ctx);
	talloc_free(id);
}

/* A renewal refused because the task has ended says nothing; the list tells how it ended. */
static void on_renewed(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct task *task = ctx;

	task->renew = NULL;
	if (!status && http_status == 200)
		task->renewed_ms =
			task->lapses_ms - RENEW_TIMEOUT_MS - WORKER_LEASE_MS - LAPSE_MARGIN_MS;
}

static void renew_task(struct task *task)
{
	char *body;
	struct call call = {
		.method = "POST",
		.path = "/renew",
		.timeout_ms = RENEW_TIMEOUT_MS,
		.done = on_renewed,
		.ctx = task,
	};

	if (task->renew || (task->phase != PHASE_RUNNING && task->phase != PHASE_CHECKPOINT))
		return;
	body = workerjson_renew(lease_until(task->worker));
	call.body = body;
	set_lapse(task, RENEW_TIMEOUT_MS);
	task->renew = call_task(task->worker, task->id, &call);
	free(body);
}

/* Only tasks that ran when the list was asked for are judged by it. */
static struct task *judged_task(const struct worker *w, const char *id)
{
	struct task *task = id ? find_task(w, id) : NULL;

	if (!task || task->phase != PHASE_RUNNING || task->running_ms >= w->list_ms)
		return NULL;
	return task;
}

static void take_listed(struct worker *w, json_t *item)
{
	const char *id = json_string_value(json_object_get(item, "id"));
	const char *reason = json_string_value(json_object_get(item, "reason"));
	enum worker_task_state state =
		workerjson_state(json_string_value(json_object_get(item, "state")));
	struct task *task = judged_task(w, id);
	json_t *usage = json_object_get(item, "usage_percent");

	if (!task)
		return;
	if (state != WORKER_TASK_RUNNING)
		report_ended(task, state, reason ? reason : "");
	else if (json_is_integer(usage))
		w->handlers.on_usage(id, (uint32_t)workerjson_number(item, "usage_percent"),
				     workerjson_number(item, "checkpoint_ms"), w->handlers.ctx);
}

static void report_missing(struct worker *w, json_t *list)
{
	struct task *task = w->tasks;

	while (task) {
		if (judged_task(w, task->id) && !workerjson_contains(list, task->id)) {
			report_ended(task, WORKER_TASK_UNKNOWN,
				     "the worker does not know the task");
			task = w->tasks; /* the callback may have changed the list */
		} else {
			task = task->next;
		}
	}
}

static void on_list(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct worker *w = ctx;
	json_t *root;
	json_t *list;
	json_t *item;
	size_t i;

	w->list = NULL;
	if (status || http_status != 200)
		return;
	root = json_loadb(body, len, 0, NULL);
	list = json_object_get(root, "tasks");
	json_array_foreach(list, i, item) take_listed(w, item);
	if (json_is_array(list))
		report_missing(w, list);
	json_decref(root);
}

static void ask_list(struct worker *w)
{
	char *url;
	struct httpc_request request = {
		.method = "GET",
		.timeout_ms = RENEW_TIMEOUT_MS,
		.answer_max = LIST_MAX_BYTES,
		.done = on_list,
		.ctx = w,
	};

	if (w->list || !w->tasks)
		return;
	url = talloc_asprintf(w, "%s/tasks", w->url);
	request.url = url;
	w->list_ms = util_clock_ms();
	w->list = httpc_start(w->http, &request);
	talloc_free(url);
}

/* A task whose renewals fail for a whole lease has been stopped by the worker. */
static void report_lapsed(struct worker *w, uint64_t now)
{
	struct task *task = w->tasks;

	while (task) {
		if (task->phase == PHASE_RUNNING &&
		    now - task->renewed_ms > WORKER_LEASE_MS + RENEW_TIMEOUT_MS + LAPSE_MARGIN_MS) {
			report_ended(task, WORKER_TASK_UNKNOWN, "the task's lease has lapsed");
			task = w->tasks;
		} else {
			task = task->next;
		}
	}
}

static void schedule_poll(struct worker *w);

static void poll_event(struct tevent_context *ev, struct tevent_timer *te, struct timeval at,
		       void *data)
{
	struct worker *w = data;

	schedule_poll(w);
	report_lapsed(w, util_clock_ms());
	for (struct task *task = w->tasks; task; task = task->next)
		renew_task(task);
	ask_list(w);
}

static void schedule_poll(struct worker *w)
{
	struct timeval at = tevent_timeval_current_ofs(POLL_MS / 1000, POLL_MS % 1000 * 1000);

	tevent_add_timer(w->ev, w, at, poll_event, w);
}

struct worker *worker_create(TALLOC_CTX *mem, struct tevent_context *ev, const char *url,
			     const struct worker_handlers *handlers, struct metrics *metrics)
{
	struct worker *w = talloc_zero(mem, struct worker);

	w->ev = ev;
	w->http = httpc_create(w, ev);
	w->url = talloc_strdup(w, url);
	w->handlers = *handlers;
	w->metrics = metrics;
	talloc_set_destructor(w, worker_destructor);
	schedule_poll(w);
	return w;
}
