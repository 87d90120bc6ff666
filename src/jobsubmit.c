#include "jobs_int.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_MS 200
#define SEGMENT_JOBS_MAX 100 /* 100 jobs of at most 9 KB fit into a store value */
#define QUEUE_JOBS_MAX 2000

/* One caller's submission; several callers may submit the same job. */
struct submit_item {
	struct submit_item *next;
	struct job_record *job;
	uint64_t deadline_ms;
	struct jobs_cb cb;
	struct tevent_timer *timer;
	struct job_submit_queue *queue;
	bool sent; /* part of the segment that is being written */
};

struct job_submit_queue {
	struct jobs *jobs;
	struct submit_item *items; /* oldest first */
	uint32_t count;
	uint64_t sequence;
	/* The segment that is being written; only one at a time. */
	char *key;
	char *value;
	bool outcome_unknown; /* a write of it was sent and its answer was lost */
	bool call_pending;    /* a store call is under way */
	struct tevent_timer *retry_timer;
};

static void remove_item(struct submit_item *item)
{
	struct submit_item **at = &item->queue->items;

	while (*at != item)
		at = &(*at)->next;
	*at = item->next;
	item->queue->count--;
	talloc_free(item);
}

static void answer_item(struct submit_item *item, const struct err *err)
{
	struct jobs_cb cb = item->cb;
	json_t *reply;

	if (!err) {
		reply = job_to_reply(item->job);
	} else {
		reply = job_error_to_json(err, err->code == ERR_OUTCOME_UNKNOWN);
		json_object_set_new(reply, "id", json_string(item->job->id));
		log_info("job_not_recorded", item->job->id, "%s", err->message);
	}
	remove_item(item);
	cb.done(err ? -(int)err->code : 0, reply, cb.ctx);
	json_decref(reply);
}

static void on_deadline(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			void *data)
{
	struct submit_item *item = data;
	struct err err;

	item->timer = NULL;
	if (item->sent && (item->queue->outcome_unknown || item->queue->call_pending))
		err_set(&err, ERR_OUTCOME_UNKNOWN, "ask for the job by its id, or send it again",
			"the store has not confirmed the job in time");
	else
		err_set(&err, ERR_UNAVAILABLE, "retry later with the same Idempotency-Key",
			"the store is unavailable; the job was not recorded");
	answer_item(item, &err);
}

static void notify_leader(struct jobs *jobs)
{
	struct msg msg = {.type = MSG_JOB_HINT};

	if (jobs->leader)
		job_leader_read_segments(jobs->leader);
	else
		jobs_send_to_leader(jobs, &msg);
}

static void flush_segment(struct job_submit_queue *queue);

static void finish_segment(struct job_submit_queue *queue)
{
	struct submit_item *next;

	TALLOC_FREE(queue->key);
	TALLOC_FREE(queue->value);
	queue->outcome_unknown = false;
	for (struct submit_item *item = queue->items; item; item = next) {
		next = item->next;
		if (item->sent)
			answer_item(item, NULL);
	}
	notify_leader(queue->jobs);
	flush_segment(queue);
}

static void on_retry_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			   void *data)
{
	struct job_submit_queue *queue = data;

	queue->retry_timer = NULL;
	flush_segment(queue);
}

static void schedule_retry(struct job_submit_queue *queue)
{
	metrics_count_retry(queue->jobs->deps.metrics, "job_segment");
	queue->retry_timer = jobs_timer(queue->jobs, queue, RETRY_MS, on_retry_timer, queue);
}

/*
 * The write certainly had no effect: its jobs go into the next segment unless their deadlines
 * have passed.
 */
static void discard_segment(struct job_submit_queue *queue)
{
	TALLOC_FREE(queue->key);
	TALLOC_FREE(queue->value);
	for (struct submit_item *item = queue->items; item; item = item->next)
		item->sent = false;
}

static void on_segment_written(int status, const struct store_result *result, void *ctx)
{
	struct job_submit_queue *queue = ctx;

	queue->call_pending = false;
	/* Only this process creates the key, so a conflict means that an earlier write was done. */
	if (status == 0 || status == -ERR_CONFLICT) {
		finish_segment(queue);
		return;
	}
	if (status == -ERR_OUTCOME_UNKNOWN)
		queue->outcome_unknown = true;
	else if (!queue->outcome_unknown)
		discard_segment(queue);
	schedule_retry(queue);
}

static void write_segment(struct job_submit_queue *queue)
{
	struct store_compare compare = {.kind = STORE_VERSION_IS, .key = queue->key};
	struct store_op op = {
		.kind = STORE_PUT,
		.key = queue->key,
		.value = queue->value,
		.value_len = strlen(queue->value),
	};
	struct store_cb cb = {on_segment_written, queue};

	queue->call_pending = true;
	store_txn(queue->jobs->deps.store, &compare, 1, &op, 1, cb);
}

static void on_segment_read(int status, const struct store_result *result, void *ctx)
{
	struct job_submit_queue *queue = ctx;

	queue->call_pending = false;
	if (status) {
		schedule_retry(queue);
		return;
	}
	/*
	 * When the key is absent, the write whose answer was lost may still take effect. So the
	 * same write is sent again: the first to arrive creates the key, the other one fails its
	 * compare.
	 */
	if (result->count)
		finish_segment(queue);
	else
		write_segment(queue);
}

static void build_segment(struct job_submit_queue *queue)
{
	json_t *list = json_array();
	uint32_t count = 0;
	char *text;

	for (struct submit_item *item = queue->items; item && count < SEGMENT_JOBS_MAX;
	     item = item->next) {
		item->sent = true;
		count++;
		json_array_append_new(list, job_to_json(item->job));
	}
	text = json_dumps(list, JSON_COMPACT);
	queue->value = talloc_strdup(queue, text);
	queue->key = talloc_asprintf(queue, "submit/%s/%020" PRIu64, queue->jobs->deps.self,
				     ++queue->sequence);
	free(text);
	json_decref(list);
}

static void flush_segment(struct job_submit_queue *queue)
{
	struct store_cb read = {on_segment_read, queue};

	if (queue->call_pending || queue->retry_timer || (!queue->items && !queue->key))
		return;
	if (queue->outcome_unknown) {
		queue->call_pending = true;
		store_get(queue->jobs->deps.store, queue->key, read);
		return;
	}
	if (!queue->key)
		build_segment(queue);
	write_segment(queue);
}

struct job_submit_queue *job_submit_queue_create(struct jobs *jobs)
{
	struct job_submit_queue *queue = talloc_zero(jobs, struct job_submit_queue);

	queue->jobs = jobs;
	return queue;
}

void job_submit_queue_add(struct job_submit_queue *queue, struct job_record *job,
			  uint64_t deadline_ms, struct jobs_cb cb)
{
	struct submit_item *item = talloc_zero(queue, struct submit_item);
	struct submit_item **at = &queue->items;
	uint64_t now = util_clock_ms();
	struct err err;

	item->queue = queue;
	item->job = talloc_steal(item, job);
	item->deadline_ms = deadline_ms;
	item->cb = cb;
	while (*at)
		at = &(*at)->next;
	*at = item;
	queue->count++;
	if (queue->count > QUEUE_JOBS_MAX) {
		metrics_count_refusal(queue->jobs->deps.metrics, "job_queue_full");
		err_set(&err, ERR_UNAVAILABLE, "retry later",
			"too many submissions wait for the store");
		answer_item(item, &err);
		return;
	}
	item->timer = jobs_timer(queue->jobs, item, deadline_ms > now ? deadline_ms - now : 0,
				 on_deadline, item);
	flush_segment(queue);
}

bool job_submit_queue_idle(const struct job_submit_queue *queue)
{
	return !queue->items && !queue->key;
}
