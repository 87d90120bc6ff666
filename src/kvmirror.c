#include "kv.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <string.h>

/*
 * A poll may be silenced while changes are made. Together with the binding's slack this
 * leaves time to read again within the 2 s in which a configuration must be in force.
 */
#define POLL_WAIT_MS 800
#define RETRY_BASE_MS 50
#define RETRY_MAX_MS 500 /* configurations have to be in force within 2 s */
#define DOUBLINGS_MAX 5

struct kv_mirror {
	struct tevent_context *ev;
	struct kv *kv;
	char *prefix;
	struct kv_mirror_handlers handlers;
	GHashTable *known; /* key -> revision, as pointer to int64_t */
	GHashTable *seen;  /* keys met in the reading under way */
	struct tevent_timer *timer;
	struct mirror_link *link;
	int64_t revision;	/* everything up to here has been reported */
	int64_t first_revision; /* of the store when the reading began */
	bool loaded;
	uint32_t failures;
	uint64_t failing_since_ms;
};

/* Outlives the mirror until its call under way has ended. */
struct mirror_link {
	struct kv_mirror *mirror;
	bool busy;
};

static void read_page(struct kv_mirror *m, const char *after);
static void poll_changes(struct kv_mirror *m);

static struct kv_mirror *call_ended(void *ctx)
{
	struct mirror_link *link = ctx;
	struct kv_mirror *m = link->mirror;

	link->busy = false;
	if (!m)
		talloc_free(link);
	return m;
}

static struct kv_cb call_begins(struct kv_mirror *m,
				void (*done)(int, const struct kv_result *, void *))
{
	m->link->busy = true;
	return (struct kv_cb){done, m->link};
}

static int mirror_destructor(struct kv_mirror *m)
{
	m->link->mirror = NULL;
	if (!m->link->busy)
		talloc_free(m->link);
	g_hash_table_destroy(m->known);
	if (m->seen)
		g_hash_table_destroy(m->seen);
	return 0;
}

static void on_retry(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		     void *ctx)
{
	struct kv_mirror *m = ctx;

	m->timer = NULL;
	if (m->loaded)
		poll_changes(m);
	else
		read_page(m, "");
}

static void retry(struct kv_mirror *m)
{
	uint32_t doublings = m->failures < DOUBLINGS_MAX ? m->failures : DOUBLINGS_MAX;
	uint32_t delay_ms = RETRY_BASE_MS << doublings;

	if (delay_ms > RETRY_MAX_MS)
		delay_ms = RETRY_MAX_MS;
	if (m->failures++ == 0) {
		m->failing_since_ms = util_clock_ms();
		log_warn("store_lost", "", "no answer about %s", m->prefix);
	}
	m->timer = tevent_add_timer(m->ev, m, tevent_timeval_current_ofs(0, delay_ms * 1000),
				    on_retry, m);
}

static void answered(struct kv_mirror *m)
{
	if (m->failures > 0)
		log_info("store_regained", "", "%s answers again after %u failures", m->prefix,
			 m->failures);
	m->failures = 0;
}

static void report(struct kv_mirror *m, const struct kv_item *item)
{
	int64_t *known = g_hash_table_lookup(m->known, item->key);

	if (known && *known >= item->revision)
		return;
	if (!known) {
		known = g_new(int64_t, 1);
		g_hash_table_insert(m->known, g_strdup(item->key), known);
	}
	*known = item->revision;
	m->handlers.on_item(item, m->handlers.ctx);
}

static void report_removed(struct kv_mirror *m, const char *key)
{
	struct kv_item item = {.key = key, .value = ""};

	if (!g_hash_table_contains(m->known, key))
		return;
	m->handlers.on_item(&item, m->handlers.ctx);
	g_hash_table_remove(m->known, key);
}

/* Keys that were known before and did not come up in the reading are gone. */
static void report_missing(struct kv_mirror *m)
{
	GList *keys = g_hash_table_get_keys(m->known);

	for (GList *k = keys; k; k = k->next) {
		if (!g_hash_table_contains(m->seen, k->data))
			report_removed(m, k->data);
	}
	g_list_free(keys);
}

static void on_page(int status, const struct kv_result *result, void *ctx)
{
	struct kv_mirror *m = call_ended(ctx);

	if (!m)
		return;
	if (status) {
		retry(m);
		return;
	}
	answered(m);
	if (m->first_revision == 0)
		m->first_revision = result->revision;
	for (size_t i = 0; i < result->count; i++) {
		g_hash_table_add(m->seen, g_strdup(result->items[i].key));
		report(m, &result->items[i]);
	}
	if (result->more && result->count > 0) {
		read_page(m, result->items[result->count - 1].key);
		return;
	}
	report_missing(m);
	m->revision = m->first_revision;
	m->loaded = true;
	m->failing_since_ms = 0;
	if (m->handlers.on_loaded)
		m->handlers.on_loaded(m->handlers.ctx);
	poll_changes(m);
}

static void read_page(struct kv_mirror *m, const char *after)
{
	if (!*after) {
		if (m->seen)
			g_hash_table_destroy(m->seen);
		m->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
		m->first_revision = 0;
	}
	m->kv->ops->range(m->kv->impl, m->prefix, after, call_begins(m, on_page));
}

static void on_poll(int status, const struct kv_result *result, void *ctx)
{
	struct kv_mirror *m = call_ended(ctx);

	if (!m)
		return;
	if (status == -ERR_STALE) {
		log_info("store_reread", "",
			 "changes of %s after revision %" PRId64 " are not kept", m->prefix,
			 m->revision);
		m->loaded = false;
		read_page(m, "");
		return;
	}
	if (status) {
		retry(m);
		return;
	}
	answered(m);
	m->failing_since_ms = 0;
	for (size_t i = 0; i < result->count; i++) {
		if (result->items[i].revision > 0)
			report(m, &result->items[i]);
		else
			report_removed(m, result->items[i].key);
	}
	if (result->revision > m->revision)
		m->revision = result->revision;
	poll_changes(m);
}

static void poll_changes(struct kv_mirror *m)
{
	m->kv->ops->poll(m->kv->impl, m->prefix, m->revision, POLL_WAIT_MS,
			 call_begins(m, on_poll));
}

uint64_t kv_mirror_failing_ms(const struct kv_mirror *m)
{
	return m->failing_since_ms ? util_clock_ms() - m->failing_since_ms : 0;
}

struct kv_mirror *kv_mirror_create(TALLOC_CTX *mem, struct tevent_context *ev, struct kv *kv,
				   const char *prefix, const struct kv_mirror_handlers *handlers)
{
	struct kv_mirror *m = talloc_zero(mem, struct kv_mirror);

	m->ev = ev;
	m->kv = kv;
	m->prefix = talloc_strdup(m, prefix);
	m->handlers = *handlers;
	m->known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	/* Owned by the loop, which outlives every call. */
	m->link = talloc_zero(ev, struct mirror_link);
	m->link->mirror = m;
	talloc_set_destructor(m, mirror_destructor);
	read_page(m, "");
	return m;
}
