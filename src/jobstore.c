#include "jobs_int.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_MS 200
#define LAZY_WRITE_MS 5000
#define TXN_VALUES_MAX_BYTES (1000 * 1024) /* of the shards in one transaction */
#define TXN_DELETIONS_MAX 64		   /* deletions in one transaction */

/* A caller of job_shards_write() that has not been answered. */
struct waiter {
	struct waiter *next;
	uint32_t shard;
	bool report_failure;
	bool sent; /* its shard is part of the write under way */
	void (*done)(int status, void *ctx);
	void *ctx;
};

struct shard {
	char key[16];
	int64_t mod_revision; /* 0: the key does not exist */
	bool dirty;
	bool writing;
	char *value;  /* JSON text that is being written */
	size_t bytes; /* size of the last value */
};

struct job_shards {
	struct jobs *jobs;
	GHashTable *records;
	struct shard table[JOBS_SHARDS];
	struct waiter *waiters; /* oldest first */
	GPtrArray *segments;	/* keys to delete, owned */
	uint32_t segments_sent;
	bool call_pending;    /* a store call is under way */
	bool outcome_unknown; /* the write was sent and its answer was lost */
	struct tevent_timer *retry_timer;
	struct tevent_timer *lazy_timer;
	struct callref *calls; /* context of store calls */
	int dropped_metric;
};

static int shards_destructor(struct job_shards *shards)
{
	g_ptr_array_free(shards->segments, TRUE);
	return 0;
}

struct job_shards *job_shards_create(TALLOC_CTX *mem, struct jobs *jobs, GHashTable *records)
{
	struct job_shards *shards = talloc_zero(mem, struct job_shards);

	shards->jobs = jobs;
	shards->records = records;
	shards->segments = g_ptr_array_new_with_free_func(g_free);
	shards->calls = callref_create(jobs->deps.store, shards);
	for (int i = 0; i < JOBS_SHARDS; i++)
		snprintf(shards->table[i].key, sizeof(shards->table[i].key), "jobs/%02d", i);
	shards->dropped_metric = metrics_define(
		jobs->deps.metrics, METRICS_COUNTER, "jaycourse_job_results_dropped_total", "",
		"Results of ended jobs dropped before 24 h to make room");
	talloc_set_destructor(shards, shards_destructor);
	return shards;
}

bool job_shards_set_revision(struct job_shards *shards, const char *key, int64_t mod_revision)
{
	for (int i = 0; i < JOBS_SHARDS; i++) {
		if (strcmp(shards->table[i].key, key) != 0)
			continue;
		shards->table[i].mod_revision = mod_revision;
		return true;
	}
	return false;
}

static gint compare_end(gconstpointer a, gconstpointer b)
{
	const struct job_record *left = *(struct job_record *const *)a;
	const struct job_record *right = *(struct job_record *const *)b;

	if (left->ended_ms != right->ended_ms)
		return left->ended_ms < right->ended_ms ? -1 : 1;
	return strcmp(left->id, right->id);
}

/* Records of a shard by end time; jobs that have not ended (ended_ms 0) come first. */
static GPtrArray *shard_records(struct job_shards *shards, uint32_t shard)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shards->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job_record *job = value;

		if (job_shard(job->id) == shard)
			g_ptr_array_add(list, job);
	}
	g_ptr_array_sort(list, compare_end);
	return list;
}

/* Drops expired results, and the oldest ones while the shard is over its size limit. */
static void drop_old_results(struct job_shards *shards, GPtrArray *list)
{
	uint64_t now = util_wall_ms();
	size_t bytes = 0;

	for (guint i = 0; i < list->len; i++)
		bytes += job_size_estimate(list->pdata[i]);
	for (guint i = 0; i < list->len;) {
		struct job_record *job = list->pdata[i];
		bool expired = job->ended_ms && now > job->ended_ms + JOBS_RESULT_RETENTION_MS;

		if (!job_ended(job) || job->gang || (!expired && bytes <= JOBS_SHARD_MAX_BYTES)) {
			i++;
			continue;
		}
		if (!expired)
			metrics_add(shards->jobs->deps.metrics, shards->dropped_metric, 1);
		bytes -= job_size_estimate(job);
		g_ptr_array_remove_index(list, i);
		g_hash_table_remove(shards->records, job->id);
		talloc_free(job);
	}
}

static void encode_shard(struct job_shards *shards, uint32_t shard)
{
	GPtrArray *list = shard_records(shards, shard);
	json_t *array = json_array();
	char *text;

	drop_old_results(shards, list);
	for (guint i = 0; i < list->len; i++)
		json_array_append_new(array, job_to_json(list->pdata[i]));
	text = json_dumps(array, JSON_COMPACT);
	talloc_free(shards->table[shard].value);
	shards->table[shard].value = talloc_strdup(shards, text);
	shards->table[shard].bytes = strlen(text);
	free(text);
	json_decref(array);
	g_ptr_array_free(list, TRUE);
}

bool job_shards_has_room(struct job_shards *shards, const struct job_record *job)
{
	uint32_t shard = job_shard(job->id);
	GHashTableIter iter;
	gpointer value;
	size_t bytes = job_size_estimate(job);

	g_hash_table_iter_init(&iter, shards->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct job_record *other = value;

		if (!job_ended(other) && job_shard(other->id) == shard)
			bytes += job_size_estimate(other);
	}
	return bytes <= JOBS_SHARD_MAX_BYTES;
}

static void flush_writes(struct job_shards *shards);

static void on_retry_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			   void *data)
{
	struct job_shards *shards = data;

	shards->retry_timer = NULL;
	flush_writes(shards);
}

static void schedule_retry(struct job_shards *shards)
{
	metrics_count_retry(shards->jobs->deps.metrics, "job_shards");
	if (!shards->retry_timer)
		shards->retry_timer =
			jobs_timer(shards->jobs, shards, RETRY_MS, on_retry_timer, shards);
}

/*
 * Removes the waiters of the ended write from the list, then answers them. After a failure the
 * waiters without report_failure stay, until the write has been repeated.
 */
static void answer_waiters(struct job_shards *shards, int status)
{
	struct waiter *answered = NULL;
	struct waiter **end = &answered;
	struct waiter **at = &shards->waiters;

	while (*at) {
		struct waiter *waiter = *at;

		if (!waiter->sent || (status && !waiter->report_failure)) {
			waiter->sent = false;
			at = &waiter->next;
			continue;
		}
		*at = waiter->next;
		waiter->next = NULL;
		*end = waiter;
		end = &waiter->next;
	}
	while (answered) {
		struct waiter *waiter = answered;

		answered = waiter->next;
		if (waiter->done)
			waiter->done(status, waiter->ctx);
		talloc_free(waiter);
	}
}

static void write_succeeded(struct job_shards *shards, int64_t revision)
{
	shards->outcome_unknown = false;
	for (uint32_t i = 0; i < JOBS_SHARDS; i++) {
		if (!shards->table[i].writing)
			continue;
		shards->table[i].writing = false;
		shards->table[i].mod_revision = revision;
		TALLOC_FREE(shards->table[i].value);
	}
	if (shards->segments_sent)
		g_ptr_array_remove_range(shards->segments, 0, shards->segments_sent);
	shards->segments_sent = 0;
	answer_waiters(shards, 0);
	flush_writes(shards);
}

/* The write certainly had no effect: its shards become dirty again and are written later. */
static void write_failed(struct job_shards *shards)
{
	for (uint32_t i = 0; i < JOBS_SHARDS; i++) {
		shards->table[i].dirty |= shards->table[i].writing;
		shards->table[i].writing = false;
		TALLOC_FREE(shards->table[i].value);
	}
	shards->segments_sent = 0;
	/* Set the timer first, so that writes requested by the callbacks wait for it too. */
	schedule_retry(shards);
	answer_waiters(shards, -ERR_UNAVAILABLE);
}

/*
 * Finds the first shard of the pending write in @result. @ours is set when the store holds the
 * value of this write under a new revision: then the write has taken effect.
 */
static const struct store_kv *find_written_value(const struct job_shards *shards,
						 const struct store_result *result, bool *ours)
{
	for (uint32_t i = 0; i < JOBS_SHARDS; i++) {
		const struct shard *shard = &shards->table[i];

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
 * A repeated write conflicts when the first one has taken effect. Any other conflict means that
 * another process is the placement leader, or has been in the meantime: the state is then loaded
 * again.
 */
static void on_conflict(struct job_shards *shards, const struct store_result *result)
{
	bool ours = false;
	const struct store_kv *kv = find_written_value(shards, result, &ours);

	if (kv && ours) {
		write_succeeded(shards, kv->mod_revision);
		return;
	}
	log_warn("jobs_conflict", "",
		 "a write of job state conflicts with another placement leader");
	schedule_retry(shards);
	jobs_reload(shards->jobs);
}

static void send_write(struct job_shards *shards);

static bool write_pending(const struct job_shards *shards)
{
	for (uint32_t i = 0; i < JOBS_SHARDS; i++) {
		if (shards->table[i].writing)
			return true;
	}
	return false;
}

static void on_write_answered(int status, const struct store_result *result, void *ctx)
{
	struct job_shards *shards = callref_end(ctx);

	if (!shards)
		return;
	shards->call_pending = false;
	if (status == 0) {
		write_succeeded(shards, result->revision);
	} else if (status == -ERR_CONFLICT) {
		on_conflict(shards, result);
	} else if (write_pending(shards) &&
		   (status == -ERR_OUTCOME_UNKNOWN || shards->outcome_unknown)) {
		shards->outcome_unknown = true;
		schedule_retry(shards);
	} else {
		write_failed(shards);
	}
}

static void send_write(struct job_shards *shards)
{
	struct store_compare compares[JOBS_SHARDS + 1];
	struct store_op ops[JOBS_SHARDS + TXN_DELETIONS_MAX];
	size_t compare_count = 0;
	size_t op_count = 0;

	for (uint32_t i = 0; i < JOBS_SHARDS; i++) {
		struct shard *shard = &shards->table[i];

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
	if (election_compare(shards->jobs->election, &compares[compare_count++]))
		return;
	for (uint32_t i = 0; i < shards->segments_sent; i++)
		ops[op_count++] =
			(struct store_op){.kind = STORE_DELETE, .key = shards->segments->pdata[i]};
	shards->call_pending = true;
	store_txn(shards->jobs->deps.store, compares, compare_count, ops, op_count,
		  (struct store_cb){on_write_answered, callref_begin(shards->calls)});
}

/*
 * A write whose answer was lost may still take effect later. When it hasn't yet, the same write
 * is sent again; the compares let only one of the two succeed.
 */
static void on_read_back(int status, const struct store_result *result, void *ctx)
{
	struct job_shards *shards = callref_end(ctx);
	const struct store_kv *kv;
	bool ours = false;

	if (!shards)
		return;
	shards->call_pending = false;
	if (status) {
		schedule_retry(shards);
		return;
	}
	kv = find_written_value(shards, result, &ours);
	if (kv && ours)
		write_succeeded(shards, kv->mod_revision);
	else
		send_write(shards);
}

static void read_back_write(struct job_shards *shards)
{
	for (uint32_t i = 0; i < JOBS_SHARDS; i++) {
		if (!shards->table[i].writing)
			continue;
		shards->call_pending = true;
		store_get(shards->jobs->deps.store, shards->table[i].key,
			  (struct store_cb){on_read_back, callref_begin(shards->calls)});
		return;
	}
}

/* Segments are deleted only by a write with all dirty shards, and so with all their jobs. */
static bool build_write(struct job_shards *shards)
{
	size_t bytes = 0;
	bool all_shards = true;
	bool has_shard = false;

	for (uint32_t i = 0; i < JOBS_SHARDS; i++) {
		struct shard *shard = &shards->table[i];

		if (!shard->dirty)
			continue;
		if (has_shard && bytes + shard->bytes > TXN_VALUES_MAX_BYTES) {
			all_shards = false;
			continue;
		}
		encode_shard(shards, i);
		bytes += shard->bytes;
		shard->dirty = false;
		shard->writing = true;
		has_shard = true;
	}
	for (struct waiter *waiter = shards->waiters; waiter; waiter = waiter->next)
		waiter->sent = shards->table[waiter->shard].writing;
	shards->segments_sent = all_shards ? MIN(shards->segments->len, TXN_DELETIONS_MAX) : 0;
	return has_shard || shards->segments_sent;
}

static void flush_writes(struct job_shards *shards)
{
	if (shards->call_pending || shards->retry_timer)
		return;
	if (shards->outcome_unknown)
		read_back_write(shards);
	else if (write_pending(shards) || build_write(shards))
		send_write(shards);
}

/* Defers the write, so that all changes of one turn of the event loop go into one write. */
static void schedule_flush(struct job_shards *shards)
{
	if (!shards->call_pending && !shards->retry_timer)
		shards->retry_timer = jobs_timer(shards->jobs, shards, 0, on_retry_timer, shards);
}

void job_shards_write(struct job_shards *shards, const char *job, bool report_failure,
		      void (*done)(int status, void *ctx), void *ctx)
{
	struct waiter *waiter = talloc_zero(shards, struct waiter);
	struct waiter **at = &shards->waiters;

	waiter->shard = job_shard(job);
	waiter->report_failure = report_failure;
	waiter->done = done;
	waiter->ctx = ctx;
	while (*at)
		at = &(*at)->next;
	*at = waiter;
	shards->table[waiter->shard].dirty = true;
	schedule_flush(shards);
}

static void on_lazy_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			  void *data)
{
	struct job_shards *shards = data;

	shards->lazy_timer = NULL;
	flush_writes(shards);
}

void job_shards_write_lazily(struct job_shards *shards, const char *job)
{
	shards->table[job_shard(job)].dirty = true;
	if (!shards->lazy_timer)
		shards->lazy_timer =
			jobs_timer(shards->jobs, shards, LAZY_WRITE_MS, on_lazy_timer, shards);
}

void job_shards_delete_segment(struct job_shards *shards, const char *key)
{
	g_ptr_array_add(shards->segments, g_strdup(key));
	schedule_flush(shards);
}

bool job_shards_idle(const struct job_shards *shards)
{
	return !shards->call_pending && !shards->outcome_unknown && !shards->waiters;
}
