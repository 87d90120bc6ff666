#include "callref.h"
#include "kv.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <string.h>

/*
 * A poll may return nothing although keys have changed. This wait, together with the time that the
 * backend adds to it (POLL_SLACK_MS in platform/kv.c), leaves time to read all keys again within
 * the 2 s in which a new configuration must take effect.
 */
#define POLL_WAIT_MS 800
#define RETRY_BASE_MS 50
#define RETRY_MAX_MS 500 /* a new configuration must take effect within 2 s */
#define RETRY_DOUBLINGS_MAX 5

struct kv_mirror {
	struct tevent_context *ev;
	struct kv *kv;
	char *prefix;
	struct kv_mirror_handlers handlers;
	GHashTable *known; /* key to pointer to its int64_t revision */
	GHashTable *seen;  /* keys returned so far by the current full read */
	struct tevent_timer *timer;
	struct callref *calls;	/* context of store calls */
	int64_t revision;	/* all changes up to this one have been reported */
	int64_t first_revision; /* of the store when the current full read began */
	bool loaded;
	uint32_t failures;
	uint64_t failing_since_ms;
	uint64_t current_ms; /* when all changes were known last, or the mirror was created */
};

static void read_page(struct kv_mirror *mirror, const char *after);
static void poll_changes(struct kv_mirror *mirror);

static struct kv_cb begin_call(struct kv_mirror *mirror,
			       void (*done)(int, const struct kv_result *, void *))
{
	return (struct kv_cb){done, callref_begin(mirror->calls)};
}

static int mirror_destructor(struct kv_mirror *mirror)
{
	g_hash_table_destroy(mirror->known);
	if (mirror->seen)
		g_hash_table_destroy(mirror->seen);
	return 0;
}

static void on_retry_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			   void *ctx)
{
	struct kv_mirror *mirror = ctx;

	mirror->timer = NULL;
	if (mirror->loaded)
		poll_changes(mirror);
	else
		read_page(mirror, "");
}

static void schedule_retry(struct kv_mirror *mirror)
{
	uint32_t doublings =
		mirror->failures < RETRY_DOUBLINGS_MAX ? mirror->failures : RETRY_DOUBLINGS_MAX;
	uint32_t delay_ms = RETRY_BASE_MS << doublings;

	if (delay_ms > RETRY_MAX_MS)
		delay_ms = RETRY_MAX_MS;
	if (mirror->failures++ == 0) {
		mirror->failing_since_ms = util_clock_ms();
		log_warn("store_lost", "", "no answer from the store for keys under %s",
			 mirror->prefix);
	}
	mirror->timer =
		tevent_add_timer(mirror->ev, mirror, tevent_timeval_current_ofs(0, delay_ms * 1000),
				 on_retry_timer, mirror);
}

static void record_answer(struct kv_mirror *mirror)
{
	if (mirror->failures > 0)
		log_info("store_regained", "",
			 "the store answers again for keys under %s after %u failures",
			 mirror->prefix, mirror->failures);
	mirror->failures = 0;
}

static void report_item(struct kv_mirror *mirror, const struct kv_item *item)
{
	int64_t *known = g_hash_table_lookup(mirror->known, item->key);

	if (item->revision == KV_UNREADABLE || (known && *known >= item->revision))
		return;
	if (!known) {
		known = g_new(int64_t, 1);
		g_hash_table_insert(mirror->known, g_strdup(item->key), known);
	}
	*known = item->revision;
	mirror->handlers.on_item(item, mirror->handlers.ctx);
}

static void report_removed(struct kv_mirror *mirror, const char *key)
{
	struct kv_item item = {.key = key, .value = ""};

	if (!g_hash_table_contains(mirror->known, key))
		return;
	mirror->handlers.on_item(&item, mirror->handlers.ctx);
	g_hash_table_remove(mirror->known, key);
}

/* Reports as removed the known keys that the full read did not return. */
static void report_missing(struct kv_mirror *mirror)
{
	GList *keys = g_hash_table_get_keys(mirror->known);

	for (GList *entry = keys; entry; entry = entry->next) {
		if (!g_hash_table_contains(mirror->seen, entry->data))
			report_removed(mirror, entry->data);
	}
	g_list_free(keys);
}

const char *kv_range_next(const struct kv_result *page)
{
	if (!page->more)
		return "";
	return page->count > 0 ? page->items[page->count - 1].key : NULL;
}

static void on_page(int status, const struct kv_result *result, void *ctx)
{
	struct kv_mirror *mirror = callref_end(ctx);
	const char *next;

	if (!mirror)
		return;
	if (status) {
		schedule_retry(mirror);
		return;
	}
	record_answer(mirror);
	if (mirror->first_revision == 0)
		mirror->first_revision = result->revision;
	for (size_t i = 0; i < result->count; i++) {
		g_hash_table_add(mirror->seen, g_strdup(result->items[i].key));
		report_item(mirror, &result->items[i]);
	}
	next = kv_range_next(result);
	if (!next) {
		log_once("page_unreadable", mirror->prefix, "no key of a page could be read");
		schedule_retry(mirror);
		return;
	}
	if (*next) {
		read_page(mirror, next);
		return;
	}
	report_missing(mirror);
	mirror->revision = mirror->first_revision;
	mirror->loaded = true;
	mirror->failing_since_ms = 0;
	mirror->current_ms = util_clock_ms();
	if (mirror->handlers.on_loaded)
		mirror->handlers.on_loaded(mirror->handlers.ctx);
	poll_changes(mirror);
}

static void read_page(struct kv_mirror *mirror, const char *after)
{
	if (!*after) {
		if (mirror->seen)
			g_hash_table_destroy(mirror->seen);
		mirror->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
		mirror->first_revision = 0;
	}
	mirror->kv->ops->range(mirror->kv->impl, mirror->prefix, after,
			       begin_call(mirror, on_page));
}

static void on_poll(int status, const struct kv_result *result, void *ctx)
{
	struct kv_mirror *mirror = callref_end(ctx);

	if (!mirror)
		return;
	if (status == -ERR_STALE) {
		log_info("store_reread", "",
			 "reading all keys under %s again: changes after revision %" PRId64
			 " are no longer kept",
			 mirror->prefix, mirror->revision);
		mirror->loaded = false;
		read_page(mirror, "");
		return;
	}
	if (status) {
		schedule_retry(mirror);
		return;
	}
	record_answer(mirror);
	mirror->failing_since_ms = 0;
	mirror->current_ms = util_clock_ms();
	for (size_t i = 0; i < result->count; i++) {
		if (result->items[i].revision != 0)
			report_item(mirror, &result->items[i]);
		else
			report_removed(mirror, result->items[i].key);
	}
	if (result->revision > mirror->revision)
		mirror->revision = result->revision;
	poll_changes(mirror);
}

static void poll_changes(struct kv_mirror *mirror)
{
	mirror->kv->ops->poll(mirror->kv->impl, mirror->prefix, mirror->revision, POLL_WAIT_MS,
			      begin_call(mirror, on_poll));
}

uint64_t kv_mirror_failing_ms(const struct kv_mirror *mirror)
{
	return mirror->failing_since_ms ? util_clock_ms() - mirror->failing_since_ms : 0;
}

uint64_t kv_mirror_age_ms(const struct kv_mirror *mirror)
{
	return util_clock_ms() - mirror->current_ms;
}

struct kv_mirror *kv_mirror_create(TALLOC_CTX *mem, struct tevent_context *ev, struct kv *kv,
				   const char *prefix, const struct kv_mirror_handlers *handlers)
{
	struct kv_mirror *mirror = talloc_zero(mem, struct kv_mirror);

	mirror->ev = ev;
	mirror->kv = kv;
	mirror->prefix = talloc_strdup(mirror, prefix);
	mirror->handlers = *handlers;
	mirror->current_ms = util_clock_ms();
	mirror->known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	/* Owned by the event loop, which outlives every call. */
	mirror->calls = callref_create(ev, mirror);
	talloc_set_destructor(mirror, mirror_destructor);
	read_page(mirror, "");
	return mirror;
}
