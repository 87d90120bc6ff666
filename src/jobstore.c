#include "jobs_int.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_MS 200
#define LAZY_MS 5000
#define BATCH_BYTES (1000 * 1024) /* of all values of one transaction */
#define SEGMENTS_MAX 64		  /* deletions of one transaction */

struct waiter {
	struct waiter *next;
	uint32_t shard;
	bool once;
	bool sent; /* its shard is part of the write under way */
	void (*done)(int status, void *ctx);
	void *ctx;
};

struct shard {
	char key[16];
	int64_t mod_revision; /* 0: the key does not exist */
	bool dirty;
	bool writing;
	char *value;  /* being written */
	size_t bytes; /* of the last value */
};

/* Outlives the shards until the last store call has ended. */
struct link {
	struct job_shards *s;
};

struct job_shards {
	struct jobs *jobs;
	GHashTable *records;
	struct shard shards[JOBS_SHARDS];
	struct waiter *waiters; /* oldest first */
	GPtrArray *segments;	/* keys to delete, owned */
	uint32_t segments_sent;
	bool calling;
	bool unknown; /* the write was sent and its answer lost */
	struct tevent_timer *retry;
	struct tevent_timer *lazy;
	struct link *link;
	int dropped;
};

static int shards_destructor(struct job_shards *s)
{
	s->link->s = NULL;
	if (!s->calling)
		talloc_free(s->link);
	g_ptr_array_free(s->segments, TRUE);
	return 0;
}

struct job_shards *job_shards_create(TALLOC_CTX *mem, struct jobs *jobs, GHashTable *records)
{
	struct job_shards *s = talloc_zero(mem, struct job_shards);

	s->jobs = jobs;
	s->records = records;
	s->segments = g_ptr_array_new_with_free_func(g_free);
	s->link = talloc_zero(jobs->deps.store, struct link);
	s->link->s = s;
	for (int i = 0; i < JOBS_SHARDS; i++)
		snprintf(s->shards[i].key, sizeof(s->shards[i].key), "jobs/%02d", i);
	s->dropped = metrics_define(jobs->deps.metrics, METRICS_COUNTER,
				    "jaycourse_job_results_dropped_total", "",
				    "Results of ended jobs dropped before 24 h to make room");
	talloc_set_destructor(s, shards_destructor);
	return s;
}

void job_shards_loaded(struct job_shards *s, uint32_t shard, int64_t mod_revision)
{
	s->shards[shard].mod_revision = mod_revision;
}

static gint by_end(gconstpointer a, gconstpointer b)
{
	const struct job_record *left = *(struct job_record *const *)a;
	const struct job_record *right = *(struct job_record *const *)b;

	if (left->ended_ms != right->ended_ms)
		return left->ended_ms < right->ended_ms ? -1 : 1;
	return strcmp(left->id, right->id);
}

/* Records of a shard; those that are live (ended_ms 0) come first. */
static GPtrArray *shard_records(struct job_shards *s, uint32_t shard)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job_record *job = value;

		if (job_shard(job->id) == shard)
			g_ptr_array_add(list, job);
	}
	g_ptr_array_sort(list, by_end);
	return list;
}

/* Drops results that are too old, and the oldest ones while there is too little room. */
static void trim(struct job_shards *s, GPtrArray *list)
{
	uint64_t now = util_wall_ms();
	size_t bytes = 0;

	for (guint i = 0; i < list->len; i++)
		bytes += job_size(list->pdata[i]);
	for (guint i = 0; i < list->len;) {
		struct job_record *job = list->pdata[i];
		bool old = job->ended_ms && now > job->ended_ms + JOBS_KEEP_MS;

		if (!job_ended(job) || job->gang || (!old && bytes <= JOBS_SHARD_BYTES)) {
			i++;
			continue;
		}
		if (!old)
			metrics_add(s->jobs->deps.metrics, s->dropped, 1);
		bytes -= job_size(job);
		g_ptr_array_remove_index(list, i);
		g_hash_table_remove(s->records, job->id);
		talloc_free(job);
	}
}

static void encode_shard(struct job_shards *s, uint32_t shard)
{
	GPtrArray *list = shard_records(s, shard);
	json_t *array = json_array();
	char *text;

	trim(s, list);
	for (guint i = 0; i < list->len; i++)
		json_array_append_new(array, job_to_json(list->pdata[i]));
	text = json_dumps(array, JSON_COMPACT);
	talloc_free(s->shards[shard].value);
	s->shards[shard].value = talloc_strdup(s, text);
	s->shards[shard].bytes = strlen(text);
	free(text);
	json_decref(array);
	g_ptr_array_free(list, TRUE);
}

bool job_shards_room(struct job_shards *s, const struct job_record *job)
{
	uint32_t shard = job_shard(job->id);
	GHashTableIter iter;
	gpointer value;
	size_t bytes = job_size(job);

	g_hash_table_iter_init(&iter, s->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct job_record *other = value;

		if (!job_ended(other) && job_shard(other->id) == shard)
			bytes += job_size(other);
	}
	return bytes <= JOBS_SHARD_BYTES;
}

static void flush(struct job_shards *s);

static void on_retry(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		     void *data)
{
	struct job_shards *s = data;

	s->retry = NULL;
	flush(s);
}

static void retry(struct job_shards *s)
{
	metrics_retry(s->jobs->deps.metrics, "job_shards");
	if (!s->retry)
		s->retry = jobs_timer(s->jobs, s, RETRY_MS, on_retry, s);
}

/* Takes the waiters of the ended write out of the list and answers them. */
static void answer_waiters(struct job_shards *s, int status)
{
	struct waiter *answered = NULL;
	struct waiter **end = &answered;
	struct waiter **at = &s->waiters;

	while (*at) {
		struct waiter *w = *at;

		if (!w->sent || (status && !w->once)) {
			w->sent = false;
			at = &w->next;
			continue;
		}
		*at = w->next;
		w->next = NULL;
		*end = w;
		end = &w->next;
	}
	while (answered) {
		struct waiter *w = answered;

		answered = w->next;
		if (w->done)
			w->done(status, w->ctx);
		talloc_free(w);
	}
}

static void write_succeeded(struct job_shards *s, int64_t revision)
{
	s->unknown = false;
	for (uint32_t i = 0; i < JOBS_SHARDS; i++) {
		if (!s->shards[i].writing)
			continue;
		s->shards[i].writing = false;
		s->shards[i].mod_revision = revision;
		TALLOC_FREE(s->shards[i].value);
	}
	if (s->segments_sent)
		g_ptr_array_remove_range(s->segments, 0, s->segments_sent);
	s->segments_sent = 0;
	answer_waiters(s, 0);
	flush(s);
}

/* Certainly without effect: everything is written anew later. */
static void write_failed(struct job_shards *s)
{
	for (uint32_t i = 0; i < JOBS_SHARDS; i++) {
		s->shards[i].dirty |= s->shards[i].writing;
		s->shards[i].writing = false;
		TALLOC_FREE(s->shards[i].value);
	}
	s->segments_sent = 0;
	/* Delayed first: the answers may ask for other writes. */
	retry(s);
	answer_waiters(s, -ERR_UNAVAILABLE);
}

/* The value of the first shard of the write as it is in the store now. */
static const struct store_kv *find_written(const struct job_shards *s,
					   const struct store_result *result, bool *ours)
{
	for (uint32_t i = 0; i < JOBS_SHARDS; i++) {
		const struct shard *shard = &s->shards[i];

		if (!shard->writing)
			continue;
		for (size_t k = 0; result && k < result->count; k++) {
			const struct store_kv *kv = &result->kvs[k];

			if (strcmp(kv->key, shard->key) != 0)
				continue;
			*ours = kv->value_len == strlen(shard->value) &&
				!memcmp(kv->value, shard->value, kv->value_len) &&
				kv->mod_revision != shard->mod_revision;
			return kv;
		}
		return NULL;
	}
	return NULL;
}

/*
 * A write that this process made earlier shows as a conflict when it is repeated. Any other
 * conflict means that another process holds the duty, or has held it since: the state is read
 * again.
 */
static void on_conflict(struct job_shards *s, const struct store_result *result)
{
	bool ours = false;
	const struct store_kv *kv = find_written(s, result, &ours);

	if (kv && ours) {
		write_succeeded(s, kv->mod_revision);
		return;
	}
	log_warn("jobs_conflict", "", "a write of job state lost against another holder");
	retry(s);
	jobs_reload(s->jobs);
}

static void send_write(struct job_shards *s);

static bool any_writing(const struct job_shards *s)
{
	for (uint32_t i = 0; i < JOBS_SHARDS; i++) {
		if (s->shards[i].writing)
			return true;
	}
	return false;
}

static void on_written(int status, const struct store_result *result, void *ctx)
{
	struct link *link = ctx;
	struct job_shards *s = link->s;

	if (!s) {
		talloc_free(link);
		return;
	}
	s->calling = false;
	if (status == 0) {
		write_succeeded(s, result->revision);
	} else if (status == -ERR_CONFLICT) {
		on_conflict(s, result);
	} else if (any_writing(s) && (status == -ERR_OUTCOME_UNKNOWN || s->unknown)) {
		s->unknown = true;
		retry(s);
	} else {
		write_failed(s);
	}
}

static void send_write(struct job_shards *s)
{
	struct store_compare compares[JOBS_SHARDS + 1];
	struct store_op ops[JOBS_SHARDS + SEGMENTS_MAX];
	struct store_cb cb = {on_written, s->link};
	size_t compare_count = 0;
	size_t op_count = 0;

	for (uint32_t i = 0; i < JOBS_SHARDS; i++) {
		struct shard *shard = &s->shards[i];

		if (!shard->writing)
			continue;
		compares[compare_count++] = (struct store_compare){
			.kind = shard->mod_revision ? STORE_MOD_REVISION_IS : STORE_VERSION_IS,
			.key = shard->key,
			.number = shard->mod_revision,
		};
		ops[op_count++] = (struct store_op){
			.kind = STORE_PUT,
			.key = shard->key,
			.value = shard->value,
			.value_len = strlen(shard->value),
		};
	}
	if (duty_compare(s->jobs->duty, &compares[compare_count++]))
		return;
	for (uint32_t i = 0; i < s->segments_sent; i++)
		ops[op_count++] =
			(struct store_op){.kind = STORE_DELETE, .key = s->segments->pdata[i]};
	s->calling = true;
	store_txn(s->jobs->deps.store, compares, compare_count, ops, op_count, cb);
}

/*
 * A lost write may still arrive. It is read first; when it has not taken effect, the same
 * write is sent again, and the compares let only one of the two succeed.
 */
static void on_read(int status, const struct store_result *result, void *ctx)
{
	struct link *link = ctx;
	struct job_shards *s = link->s;
	const struct store_kv *kv;
	bool ours = false;

	if (!s) {
		talloc_free(link);
		return;
	}
	s->calling = false;
	if (status) {
		retry(s);
		return;
	}
	kv = find_written(s, result, &ours);
	if (kv && ours)
		write_succeeded(s, kv->mod_revision);
	else
		send_write(s);
}

static void read_written(struct job_shards *s)
{
	struct store_cb cb = {on_read, s->link};

	for (uint32_t i = 0; i < JOBS_SHARDS; i++) {
		if (!s->shards[i].writing)
			continue;
		s->calling = true;
		store_get(s->jobs->deps.store, s->shards[i].key, cb);
		return;
	}
}

/* Segments go only with the write that holds all their jobs. */
static bool build_write(struct job_shards *s)
{
	size_t bytes = 0;
	bool all = true;
	bool any = false;

	for (uint32_t i = 0; i < JOBS_SHARDS; i++) {
		struct shard *shard = &s->shards[i];

		if (!shard->dirty)
			continue;
		if (any && bytes + shard->bytes > BATCH_BYTES) {
			all = false;
			continue;
		}
		encode_shard(s, i);
		bytes += shard->bytes;
		shard->dirty = false;
		shard->writing = true;
		any = true;
	}
	for (struct waiter *w = s->waiters; w; w = w->next)
		w->sent = s->shards[w->shard].writing;
	s->segments_sent = all ? MIN(s->segments->len, SEGMENTS_MAX) : 0;
	return any || s->segments_sent;
}

static void flush(struct job_shards *s)
{
	if (s->calling || s->retry)
		return;
	if (s->unknown)
		read_written(s);
	else if (any_writing(s) || build_write(s))
		send_write(s);
}

/* Deferred, so that everything that changes in one turn of the loop goes into one write. */
static void flush_soon(struct job_shards *s)
{
	if (!s->calling && !s->retry)
		s->retry = jobs_timer(s->jobs, s, 0, on_retry, s);
}

void job_shards_write(struct job_shards *s, const char *job, bool once,
		      void (*done)(int status, void *ctx), void *ctx)
{
	struct waiter *w = talloc_zero(s, struct waiter);
	struct waiter **at = &s->waiters;

	w->shard = job_shard(job);
	w->once = once;
	w->done = done;
	w->ctx = ctx;
	while (*at)
		at = &(*at)->next;
	*at = w;
	s->shards[w->shard].dirty = true;
	flush_soon(s);
}

static void on_lazy(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		    void *data)
{
	struct job_shards *s = data;

	s->lazy = NULL;
	flush(s);
}

void job_shards_lazy(struct job_shards *s, const char *job)
{
	s->shards[job_shard(job)].dirty = true;
	if (!s->lazy)
		s->lazy = jobs_timer(s->jobs, s, LAZY_MS, on_lazy, s);
}

void job_shards_drop_segment(struct job_shards *s, const char *key)
{
	g_ptr_array_add(s->segments, g_strdup(key));
	flush_soon(s);
}

bool job_shards_idle(const struct job_shards *s)
{
	return !s->calling && !s->unknown && !s->waiters;
}
