#include "outcome.h"

#include <glib.h>

struct record {
	uint64_t key; /* hash of the idempotency key; records are looked up by it */
	enum outcome_state state;
	struct answer *answer; /* holds a reference; NULL when not kept */
	size_t cached_bytes;   /* size of @answer as counted in the cache, 0 while running */
	uint64_t done_ms;
	uint64_t expires_ms;
	struct record *next; /* in order of @done_ms; running records are not in the list */
};

struct outcomes {
	GHashTable *records; /* owns them */
	size_t records_max;
	size_t cache_max;
	size_t cache_bytes;
	struct record *oldest;
	struct record *newest;
	struct record *oldest_cached; /* no record before this one holds an answer */
	uint64_t ttl_ms;
	uint64_t uncertain_until_ms; /* until then a key without a record may have run */
};

static void drop_answer(struct outcomes *outcomes, struct record *record)
{
	if (!record->answer)
		return;
	outcomes->cache_bytes -= record->cached_bytes;
	record->cached_bytes = 0;
	answer_unref(record->answer);
	record->answer = NULL;
}

static int outcomes_destructor(struct outcomes *outcomes)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, outcomes->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		drop_answer(outcomes, value);
	g_hash_table_destroy(outcomes->records);
	return 0;
}

struct outcomes *outcomes_create(TALLOC_CTX *mem, size_t records_max, size_t cache_bytes)
{
	struct outcomes *outcomes = talloc_zero(mem, struct outcomes);

	outcomes->records = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	outcomes->ttl_ms = OUTCOME_TTL_MS;
	outcomes->records_max = records_max ? records_max : OUTCOME_RECORDS_MAX;
	outcomes->cache_max = cache_bytes ? cache_bytes : OUTCOME_CACHE_BYTES;
	talloc_set_destructor(outcomes, outcomes_destructor);
	return outcomes;
}

void outcomes_set_ttl(struct outcomes *outcomes, uint64_t ttl_ms)
{
	outcomes->ttl_ms = ttl_ms > OUTCOME_TTL_MIN_MS ? ttl_ms : OUTCOME_TTL_MIN_MS;
}

enum outcome_state outcomes_find(const struct outcomes *outcomes, uint64_t key,
				 struct answer **answer)
{
	const struct record *record = g_hash_table_lookup(outcomes->records, &key);

	*answer = record ? record->answer : NULL;
	return record ? record->state : OUTCOME_NONE;
}

static void drop_oldest(struct outcomes *outcomes)
{
	struct record *record = outcomes->oldest;

	outcomes->oldest = record->next;
	if (!outcomes->oldest)
		outcomes->newest = NULL;
	if (outcomes->oldest_cached == record)
		outcomes->oldest_cached = record->next;
	drop_answer(outcomes, record);
	g_hash_table_remove(outcomes->records, &record->key);
}

/* A fenced record may be dropped safely: the REQUEST that it was to refuse has expired. */
static bool make_room(struct outcomes *outcomes, uint64_t now_ms)
{
	const struct record *record = outcomes->oldest;

	if (g_hash_table_size(outcomes->records) < outcomes->records_max)
		return true;
	if (!record || now_ms - record->done_ms < OUTCOME_TTL_MIN_MS)
		return false;
	if (record->state == OUTCOME_FINISHED && record->expires_ms > outcomes->uncertain_until_ms)
		outcomes->uncertain_until_ms = record->expires_ms;
	drop_oldest(outcomes);
	return true;
}

static int add_record(struct outcomes *outcomes, uint64_t key, enum outcome_state state,
		      uint64_t now_ms, struct record **out)
{
	struct record *record;

	if (g_hash_table_lookup(outcomes->records, &key))
		return -ERR_EXISTS;
	if (!make_room(outcomes, now_ms))
		return -ERR_QUEUE_FULL;
	record = g_new0(struct record, 1);
	record->key = key;
	record->state = state;
	g_hash_table_insert(outcomes->records, &record->key, record);
	*out = record;
	return 0;
}

static void append_ended(struct outcomes *outcomes, struct record *record, uint64_t now_ms)
{
	record->done_ms = now_ms;
	record->expires_ms =
		now_ms + (record->state == OUTCOME_FENCED ? OUTCOME_TTL_MIN_MS : outcomes->ttl_ms);
	if (outcomes->newest)
		outcomes->newest->next = record;
	else
		outcomes->oldest = record;
	outcomes->newest = record;
	if (!outcomes->oldest_cached)
		outcomes->oldest_cached = record;
}

int outcomes_start(struct outcomes *outcomes, uint64_t key, struct answer *answer, uint64_t now_ms)
{
	struct record *record;
	int ret = add_record(outcomes, key, OUTCOME_RUNNING, now_ms, &record);

	if (!ret)
		record->answer = answer_ref(answer);
	return ret;
}

static void shrink_cache(struct outcomes *outcomes)
{
	while (outcomes->oldest_cached && outcomes->cache_bytes > outcomes->cache_max) {
		drop_answer(outcomes, outcomes->oldest_cached);
		outcomes->oldest_cached = outcomes->oldest_cached->next;
	}
}

void outcomes_finish(struct outcomes *outcomes, uint64_t key, uint64_t now_ms)
{
	struct record *record = g_hash_table_lookup(outcomes->records, &key);

	if (!record || record->state != OUTCOME_RUNNING)
		return;
	record->state = OUTCOME_FINISHED;
	if (answer_has_all_bytes(record->answer)) {
		record->cached_bytes = answer_size(record->answer);
		outcomes->cache_bytes += record->cached_bytes;
	} else {
		drop_answer(outcomes, record);
	}
	append_ended(outcomes, record, now_ms);
	shrink_cache(outcomes);
}

void outcomes_forget(struct outcomes *outcomes, uint64_t key)
{
	struct record *record = g_hash_table_lookup(outcomes->records, &key);

	if (!record || record->state != OUTCOME_RUNNING)
		return;
	drop_answer(outcomes, record);
	g_hash_table_remove(outcomes->records, &key);
}

int outcomes_fence(struct outcomes *outcomes, uint64_t key, uint64_t now_ms)
{
	struct record *record;
	int ret;

	if (now_ms < outcomes->uncertain_until_ms && !g_hash_table_lookup(outcomes->records, &key))
		return -ERR_OUTCOME_UNKNOWN;
	ret = add_record(outcomes, key, OUTCOME_FENCED, now_ms, &record);
	if (!ret)
		append_ended(outcomes, record, now_ms);
	return ret;
}

void outcomes_drop_expired(struct outcomes *outcomes, uint64_t now_ms)
{
	while (outcomes->oldest && outcomes->oldest->expires_ms <= now_ms)
		drop_oldest(outcomes);
}
