#include "jobs_int.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_MS 200
#define SEGMENT_JOBS_MAX 100 /* 100 jobs of at most 9 KB stay under the value limit */
#define QUEUE_MAX 2000

/* One caller's submission; several may name the same job. */
struct item {
	struct item *next;
	struct job_record *job;
	uint64_t deadline_ms;
	struct jobs_cb cb;
	struct tevent_timer *timer;
	struct job_submits *s;
	bool sent; /* part of the segment being written */
};

struct job_submits {
	struct jobs *jobs;
	struct item *items; /* oldest first */
	uint32_t count;
	uint64_t sequence;
	/* The segment being written; one at a time. */
	char *key;
	char *value;
	bool unknown; /* a write of it was sent and its answer lost */
	bool calling;
	struct tevent_timer *retry;
};

static void remove_item(struct item *item)
{
	struct item **at = &item->s->items;

	while (*at != item)
		at = &(*at)->next;
	*at = item->next;
	item->s->count--;
	talloc_free(item);
}

static void answer(struct item *item, const struct err *err)
{
	struct jobs_cb cb = item->cb;
	json_t *reply;

	if (!err) {
		reply = job_to_reply(item->job);
	} else {
		reply = job_error(err, err->code == ERR_OUTCOME_UNKNOWN);
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
	struct item *item = data;
	struct err err;

	item->timer = NULL;
	if (item->sent && (item->s->unknown || item->s->calling))
		err_set(&err, ERR_OUTCOME_UNKNOWN, "ask for the job by its id, or send it again",
			"the store has not confirmed the job in time");
	else
		err_set(&err, ERR_UNAVAILABLE, "retry later with the same Idempotency-Key",
			"the store is unavailable; the job was not recorded");
	answer(item, &err);
}

static void hint_holder(struct jobs *jobs)
{
	struct msg msg = {.type = MSG_JOB_HINT};

	if (jobs->holder)
		job_holder_read_segments(jobs->holder);
	else
		jobs_send_holder(jobs, &msg);
}

static void flush(struct job_submits *s);

static void finish_segment(struct job_submits *s)
{
	struct item *next;

	TALLOC_FREE(s->key);
	TALLOC_FREE(s->value);
	s->unknown = false;
	for (struct item *item = s->items; item; item = next) {
		next = item->next;
		if (item->sent)
			answer(item, NULL);
	}
	hint_holder(s->jobs);
	flush(s);
}

static void on_retry(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		     void *data)
{
	struct job_submits *s = data;

	s->retry = NULL;
	flush(s);
}

static void retry(struct job_submits *s)
{
	metrics_retry(s->jobs->deps.metrics, "job_segment");
	s->retry = jobs_timer(s->jobs, s, RETRY_MS, on_retry, s);
}

/* The write certainly had no effect: its jobs go into the next segment, if still wanted. */
static void abandon_segment(struct job_submits *s)
{
	TALLOC_FREE(s->key);
	TALLOC_FREE(s->value);
	for (struct item *item = s->items; item; item = item->next)
		item->sent = false;
}

static void on_written(int status, const struct store_result *result, void *ctx)
{
	struct job_submits *s = ctx;

	s->calling = false;
	/* The key is created only by this process, so a conflict means that it exists. */
	if (status == 0 || status == -ERR_CONFLICT) {
		finish_segment(s);
		return;
	}
	if (status == -ERR_OUTCOME_UNKNOWN)
		s->unknown = true;
	else if (!s->unknown)
		abandon_segment(s);
	retry(s);
}

static void write_segment(struct job_submits *s)
{
	struct store_compare compare = {.kind = STORE_VERSION_IS, .key = s->key};
	struct store_op op = {
		.kind = STORE_PUT,
		.key = s->key,
		.value = s->value,
		.value_len = strlen(s->value),
	};
	struct store_cb cb = {on_written, s};

	s->calling = true;
	store_txn(s->jobs->deps.store, &compare, 1, &op, 1, cb);
}

static void on_read(int status, const struct store_result *result, void *ctx)
{
	struct job_submits *s = ctx;

	s->calling = false;
	if (status) {
		retry(s);
		return;
	}
	/*
	 * When the key is absent the lost write may still arrive. The same creation is sent again:
	 * whichever comes first creates the key, the other one fails its compare.
	 */
	if (result->count)
		finish_segment(s);
	else
		write_segment(s);
}

static void build_segment(struct job_submits *s)
{
	json_t *list = json_array();
	uint32_t count = 0;
	char *text;

	for (struct item *item = s->items; item && count < SEGMENT_JOBS_MAX; item = item->next) {
		item->sent = true;
		count++;
		json_array_append_new(list, job_to_json(item->job));
	}
	text = json_dumps(list, JSON_COMPACT);
	s->value = talloc_strdup(s, text);
	s->key = talloc_asprintf(s, "submit/%s/%020" PRIu64, s->jobs->deps.self, ++s->sequence);
	free(text);
	json_decref(list);
}

static void flush(struct job_submits *s)
{
	struct store_cb read = {on_read, s};

	if (s->calling || s->retry || (!s->items && !s->key))
		return;
	if (s->unknown) {
		s->calling = true;
		store_get(s->jobs->deps.store, s->key, read);
		return;
	}
	if (!s->key)
		build_segment(s);
	write_segment(s);
}

struct job_submits *job_submits_create(struct jobs *jobs)
{
	struct job_submits *s = talloc_zero(jobs, struct job_submits);

	s->jobs = jobs;
	return s;
}

void job_submits_add(struct job_submits *s, struct job_record *job, uint64_t deadline_ms,
		     struct jobs_cb cb)
{
	struct item *item = talloc_zero(s, struct item);
	struct item **at = &s->items;
	uint64_t now = util_clock_ms();
	struct err err;

	item->s = s;
	item->job = talloc_steal(item, job);
	item->deadline_ms = deadline_ms;
	item->cb = cb;
	while (*at)
		at = &(*at)->next;
	*at = item;
	s->count++;
	if (s->count > QUEUE_MAX) {
		metrics_refusal(s->jobs->deps.metrics, "job_queue_full");
		err_set(&err, ERR_UNAVAILABLE, "retry later",
			"too many submissions wait for the store");
		answer(item, &err);
		return;
	}
	item->timer = jobs_timer(s->jobs, item, deadline_ms > now ? deadline_ms - now : 0,
				 on_deadline, item);
	flush(s);
}

bool job_submits_idle(const struct job_submits *s)
{
	return !s->items && !s->key;
}
