#include "log.h"
#include "util.h"
#include "worker_int.h"

#include <errno.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

/*
 * Either answer alone may be that of another process, or a list that is cut. Both are asked for in
 * each poll, so that the end of a task is noticed as soon as by one.
 */
static void report_lost_tasks(struct worker *worker)
{
	struct task *task = worker->tasks;

	while (task) {
		if (task->phase == PHASE_RUNNING && task->unlisted && task->renewal_refused) {
			worker_report_task_ended(task, WORKER_TASK_UNKNOWN,
						 "the worker does not know the task");
			task = worker->tasks; /* the callback may have removed tasks */
		} else {
			task = task->next;
		}
	}
}

/* If the task has ended, the list of tasks tells how. */
static void on_renewed(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct task *task = ctx;

	task->renew_call = NULL;
	if (status)
		return;
	task->renewal_refused = http_status == 404 || http_status == 409 || http_status == 410;
	if (http_status == 200)
		task->renewed_ms = task->lease_expiry_ms - RENEW_TIMEOUT_MS - TASK_LEASE_MS -
				   LEASE_EXPIRY_MARGIN_MS;
	report_lost_tasks(task->worker);
}

static void renew_task(struct task *task)
{
	struct workerjson_lease lease = worker_new_lease(task->worker);
	char *body;
	struct worker_call call = {
		.method = "POST",
		.path = "/renew",
		.timeout_ms = RENEW_TIMEOUT_MS,
		.done = on_renewed,
		.ctx = task,
	};

	if (task->renew_call || (task->phase != PHASE_RUNNING && task->phase != PHASE_CHECKPOINT))
		return;
	body = workerjson_renew(&lease);
	call.body = body;
	worker_set_lease_expiry(task, RENEW_TIMEOUT_MS);
	task->renew_call = worker_call_task(task->worker, task->id, &call);
	free(body);
}

/*
 * Finds a task whose state the requested list can tell: one that was running before the request.
 * Returns NULL for other tasks.
 */
static struct task *find_listable_task(const struct worker *worker, const char *id)
{
	struct task *task = id ? worker_find_task(worker, id) : NULL;

	if (!task || task->phase != PHASE_RUNNING || task->started_ms >= worker->list_requested_ms)
		return NULL;
	return task;
}

static void handle_listed_task(struct worker *worker, json_t *item)
{
	const char *id = json_string_value(json_object_get(item, "id"));
	const char *reason = json_string_value(json_object_get(item, "reason"));
	enum worker_task_state state =
		workerjson_state(json_string_value(json_object_get(item, "state")));
	struct task *task = find_listable_task(worker, id);
	json_t *usage = json_object_get(item, "usage_percent");

	if (!task || !state)
		return;
	task->unlisted = false;
	if (state != WORKER_TASK_RUNNING)
		worker_report_task_ended(task, state, reason ? reason : "");
	else if (json_is_integer(usage))
		worker->handlers.on_usage(id, (uint32_t)workerjson_number(item, "usage_percent"),
					  workerjson_number(item, "checkpoint_ms"),
					  worker->handlers.ctx);
}

static void mark_unlisted_tasks(struct worker *worker, json_t *list)
{
	for (struct task *task = worker->tasks; task; task = task->next) {
		if (find_listable_task(worker, task->id) && !workerjson_contains(list, task->id))
			task->unlisted = true;
	}
}

static void on_list(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct worker *worker = ctx;
	json_t *root;
	json_t *list;
	json_t *item;
	size_t i;

	worker->list_call = NULL;
	if (status || http_status != 200)
		return;
	root = json_loadb(body, len, 0, NULL);
	list = json_object_get(root, "tasks");
	json_array_foreach(list, i, item) handle_listed_task(worker, item);
	if (workerjson_complete(list))
		mark_unlisted_tasks(worker, list);
	else
		log_once("list_unreadable", worker->url,
			 "a list of tasks has no or unreadable items; those are ignored");
	json_decref(root);
	report_lost_tasks(worker);
}

static void request_list(struct worker *worker)
{
	char *url;
	struct httpc_request request = {
		.method = "GET",
		.timeout_ms = RENEW_TIMEOUT_MS,
		.answer_max = LIST_MAX_BYTES,
		.done = on_list,
		.ctx = worker,
	};

	if (worker->list_call || !worker->tasks)
		return;
	url = talloc_asprintf(worker, "%s/tasks", worker->url);
	request.url = url;
	worker->list_requested_ms = util_clock_ms();
	worker->list_call = httpc_start(worker->http, &request);
	talloc_free(url);
}

bool worker_busy(const struct worker *worker)
{
	return worker->tasks != NULL;
}

static enum worker_identity identify_by_list(const struct worker *worker, json_t *list)
{
	bool expected = false;

	for (const struct task *task = worker->tasks; task; task = task->next) {
		if (workerjson_contains(list, task->id))
			return WORKER_SAME;
		expected = expected ||
			   (task->started_ms && task->started_ms < worker->identify_requested_ms);
	}
	return expected && workerjson_complete(list) ? WORKER_GONE : WORKER_UNDECIDED;
}

static void on_identified(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct worker *worker = ctx;
	enum worker_identity identity = WORKER_UNDECIDED;
	json_t *root = NULL;

	worker->identify_call = NULL;
	if (!status && http_status == 200)
		root = json_loadb(body, len, 0, NULL);
	if (root)
		identity = identify_by_list(worker, json_object_get(root, "tasks"));
	else if (status == -ERR_UNAVAILABLE && worker->identify_errno == ECONNREFUSED)
		identity = WORKER_GONE;
	json_decref(root);
	/* The callback may free the worker. */
	worker->identify_done(identity, worker->identify_ctx);
}

int worker_identify(struct worker *worker, void (*done)(enum worker_identity identity, void *ctx),
		    void *ctx)
{
	char *url;
	struct httpc_request request = {
		.method = "GET",
		.timeout_ms = RENEW_TIMEOUT_MS,
		.answer_max = LIST_MAX_BYTES,
		.fresh_connection = true,
		.connect_errno = &worker->identify_errno,
		.done = on_identified,
		.ctx = worker,
	};

	if (worker->identify_call)
		return -ERR_EXISTS;
	url = talloc_asprintf(worker, "%s/tasks", worker->url);
	request.url = url;
	worker->identify_requested_ms = util_clock_ms();
	worker->identify_done = done;
	worker->identify_ctx = ctx;
	worker->identify_call = httpc_start(worker->http, &request);
	talloc_free(url);
	return worker->identify_call ? 0 : -ERR_UNAVAILABLE;
}

/*
 * Stops tasks whose renewals have not been answered for so long that the worker has stopped them,
 * unless only the answers were lost: then the lease is still valid. The end is reported when the
 * worker confirms the stop, or the lease of the last renewal must have expired.
 */
static void stop_unconfirmed_tasks(struct worker *worker, uint64_t now)
{
	struct task *task = worker->tasks;

	while (task) {
		if (task->phase == PHASE_RUNNING &&
		    now - task->renewed_ms >
			    TASK_LEASE_MS + RENEW_TIMEOUT_MS + LEASE_EXPIRY_MARGIN_MS) {
			log_warn("task_unconfirmed", task->id,
				 "the worker has not answered a renewal for %" PRIu64 " ms",
				 now - task->renewed_ms);
			task->renewals_failed = true;
			worker_begin_delete(task);
			task = worker->tasks; /* the callback may have removed tasks */
		} else {
			task = task->next;
		}
	}
}

static void poll_event(struct tevent_context *ev, struct tevent_timer *te, struct timeval at,
		       void *data)
{
	struct worker *worker = data;

	worker_schedule_poll(worker);
	stop_unconfirmed_tasks(worker, util_clock_ms());
	for (struct task *task = worker->tasks; task; task = task->next)
		renew_task(task);
	request_list(worker);
}

void worker_schedule_poll(struct worker *worker)
{
	struct timeval at =
		tevent_timeval_current_ofs(POLL_INTERVAL_MS / 1000, POLL_INTERVAL_MS % 1000 * 1000);

	tevent_add_timer(worker->ev, worker, at, poll_event, worker);
}
