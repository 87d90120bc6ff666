#include "outcome.h"

#include <glib.h>

struct record {
	uint64_t key; /* also the key of the hash table */
	enum outcome_state state;
	struct answer *answer; /* holds a reference; NULL when not kept */
	size_t bytes;	       /* counted in the cache for @answer */
	uint64_t done_ms;
	uint64_t expires_ms;
	struct record *next; /* in order of @done_ms; running records are in no list */
};

struct outcomes {
	GHashTable *records; /* owns them */
	size_t records_max;
	size_t cache_max;
	size_t cache_bytes;
	struct record *first;
	struct record *last;
	struct record *cached; /* no record before this one holds an answer */
	uint64_t ttl_ms;
	uint64_t uncertain_until_ms; /* a key without a record may have run until then */
};

static void drop_answer(struct outcomes *o, struct record *r)
{
	if (!r->answer)
		return;
	o->cache_bytes -= r->bytes;
	r->bytes = 0;
	answer_unref(r->answer);
	r->answer = NULL;
}

static int outcomes_destructor(struct outcomes *o)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, o->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		drop_answer(o, value);
	g_hash_table_destroy(o->records);
	return 0;
}

struct outcomes *outcomes_create(TALLOC_CTX *mem, size_t records_max, size_t cache_bytes)
{
	struct outcomes *o = talloc_zero(mem, struct outcomes);

	o->records = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	o->ttl_ms = OUTCOME_TTL_MS;
	o->records_max = records_max ? records_max : OUTCOME_RECORDS_MAX;
	o->cache_max = cache_bytes ? cache_bytes : OUTCOME_CACHE_BYTES;
	talloc_set_destructor(o, outcomes_destructor);
	return o;
}

void outcomes_set_ttl(struct outcomes *o, uint64_t ttl_ms)
{
	o->ttl_ms = ttl_ms > OUTCOME_MIN_MS ? ttl_ms : OUTCOME_MIN_MS;
}

enum outcome_state outcomes_find(const struct outcomes *o, uint64_t key, struct answer **answer)
{
	const struct record *r = g_hash_table_lookup(o->records, &key);

	*answer = r ? r->answer : NULL;
	return r ? r->state : OUTCOME_NONE;
}

static void drop_first(struct outcomes *o)
{
	struct record *r = o->first;

	o->first = r->next;
	if (!o->first)
		o->last = NULL;
	if (o->cached == r)
		o->cached = r->next;
	drop_answer(o, r);
	g_hash_table_remove(o->records, &r->key);
}

/* A dropped fence loses nothing: the REQUEST it was set against has expired. */
static bool make_room(struct outcomes *o, uint64_t now_ms)
{
	const struct record *r = o->first;

	if (g_hash_table_size(o->records) < o->records_max)
		return true;
	if (!r || now_ms - r->done_ms < OUTCOME_MIN_MS)
		return false;
	if (r->state == OUTCOME_FINISHED && r->expires_ms > o->uncertain_until_ms)
		o->uncertain_until_ms = r->expires_ms;
	drop_first(o);
	return true;
}

static int add_record(struct outcomes *o, uint64_t key, enum outcome_state state, uint64_t now_ms,
		      struct record **out)
{
	struct record *r;

	if (g_hash_table_lookup(o->records, &key))
		return -ERR_EXISTS;
	if (!make_room(o, now_ms))
		return -ERR_QUEUE_FULL;
	r = g_new0(struct record, 1);
	r->key = key;
	r->state = state;
	g_hash_table_insert(o->records, &r->key, r);
	*out = r;
	return 0;
}

static void append(struct outcomes *o, struct record *r, uint64_t now_ms)
{
	r->done_ms = now_ms;
	r->expires_ms = now_ms + (r->state == OUTCOME_FENCED ? OUTCOME_MIN_MS : o->ttl_ms);
	if (o->last)
		o->last->next = r;
	else
		o->first = r;
	o->last = r;
	if (!o->cached)
		o->cached = r;
}

int outcomes_start(struct outcomes *o, uint64_t key, struct answer *answer, uint64_t now_ms)
{
	struct record *r;
	int ret = add_record(o, key, OUTCOME_RUNNING, now_ms, &r);

	if (!ret)
		r->answer = answer_ref(answer);
	return ret;
}

static void shrink_cache(struct outcomes *o)
{
	while (o->cached && o->cache_bytes > o->cache_max) {
		drop_answer(o, o->cached);
		o->cached = o->cached->next;
	}
}

void outcomes_finish(struct outcomes *o, uint64_t key, uint64_t now_ms)
{
	struct record *r = g_hash_table_lookup(o->records, &key);

	if (!r || r->state != OUTCOME_RUNNING)
		return;
	r->state = OUTCOME_FINISHED;
	if (answer_whole(r->answer)) {
		r->bytes = answer_size(r->answer);
		o->cache_bytes += r->bytes;
	} else {
		drop_answer(o, r);
	}
	append(o, r, now_ms);
	shrink_cache(o);
}

void outcomes_forget(struct outcomes *o, uint64_t key)
{
	struct record *r = g_hash_table_lookup(o->records, &key);

	if (!r || r->state != OUTCOME_RUNNING)
		return;
	drop_answer(o, r);
	g_hash_table_remove(o->records, &key);
}

int outcomes_fence(struct outcomes *o, uint64_t key, uint64_t now_ms)
{
	struct record *r;
	int ret;

	if (now_ms < o->uncertain_until_ms && !g_hash_table_lookup(o->records, &key))
		return -ERR_OUTCOME_UNKNOWN;
	ret = add_record(o, key, OUTCOME_FENCED, now_ms, &r);
	if (!ret)
		append(o, r, now_ms);
	return ret;
}

void outcomes_tick(struct outcomes *o, uint64_t now_ms)
{
	while (o->first && o->first->expires_ms <= now_ms)
		drop_first(o);
}
