#include "lib_kv.h"

#include <string.h>

#define EVENT_LOG_MAX 20000 /* events kept for watches that start at a past revision */

struct lease {
	int64_t id;
	int64_t ttl_s;
	uint64_t expires_ms;
};

struct kv {
	GPtrArray *items;  /* struct kv_item, sorted by key */
	GPtrArray *events; /* struct kv_item, in order of revision */
	GHashTable *leases;
	int64_t revision;
	int64_t oldest_revision; /* revisions below are compacted: no longer in @events */
	int64_t next_lease;
	bool revision_advanced; /* since the last kv_begin() */
};

static void free_item(gpointer data)
{
	struct kv_item *item = data;

	g_free(item->key);
	g_bytes_unref(item->value);
	g_free(item);
}

struct kv *kv_create(void)
{
	struct kv *kv = g_new0(struct kv, 1);

	kv->items = g_ptr_array_new_with_free_func(free_item);
	kv->events = g_ptr_array_new_with_free_func(free_item);
	kv->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	kv->revision = 1;
	kv->next_lease = 7000;
	return kv;
}

void kv_destroy(struct kv *kv)
{
	g_ptr_array_unref(kv->items);
	g_ptr_array_unref(kv->events);
	g_hash_table_unref(kv->leases);
	g_free(kv);
}

int64_t kv_revision(const struct kv *kv)
{
	return kv->revision;
}

size_t kv_count(const struct kv *kv)
{
	return kv->items->len;
}

void kv_begin(struct kv *kv)
{
	kv->revision_advanced = false;
}

const struct kv_item *kv_at(const struct kv *kv, size_t index)
{
	return g_ptr_array_index(kv->items, index);
}

static size_t lower_bound(const struct kv *kv, const char *key)
{
	size_t low = 0;
	size_t high = kv->items->len;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (strcmp(kv_at(kv, middle)->key, key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

const struct kv_item *kv_get(const struct kv *kv, const char *key)
{
	size_t index = lower_bound(kv, key);

	if (index == kv->items->len || strcmp(kv_at(kv, index)->key, key) != 0)
		return NULL;
	return kv_at(kv, index);
}

size_t kv_range(const struct kv *kv, const char *key, const char *range_end, size_t *end)
{
	size_t first = lower_bound(kv, key);

	if (*range_end)
		*end = lower_bound(kv, range_end);
	else
		*end = first + (kv_get(kv, key) != NULL);
	return first;
}

static void add_event(struct kv *kv, const struct kv_item *item)
{
	struct kv_item *event = g_memdup2(item, sizeof(*item));

	event->key = g_strdup(item->key);
	if (event->value)
		g_bytes_ref(event->value);
	g_ptr_array_add(kv->events, event);
	if (kv->events->len <= EVENT_LOG_MAX)
		return;
	g_ptr_array_remove_range(kv->events, 0, EVENT_LOG_MAX / 2);
	event = g_ptr_array_index(kv->events, 0);
	kv->oldest_revision = event->mod_revision + 1;
}

static void advance_revision(struct kv *kv)
{
	kv->revision += !kv->revision_advanced;
	kv->revision_advanced = true;
}

bool kv_lease_known(const struct kv *kv, int64_t lease)
{
	return g_hash_table_contains(kv->leases, &lease);
}

bool kv_put(struct kv *kv, const char *key, GBytes *value, int64_t lease)
{
	size_t index = lower_bound(kv, key);
	struct kv_item *item = (struct kv_item *)kv_get(kv, key);

	if (lease && !kv_lease_known(kv, lease))
		return false;
	advance_revision(kv);
	if (!item) {
		item = g_new0(struct kv_item, 1);
		item->key = g_strdup(key);
		item->create_revision = kv->revision;
		g_ptr_array_insert(kv->items, (gint)index, item);
	}
	g_bytes_ref(value);
	g_bytes_unref(item->value);
	item->value = value;
	item->version++;
	item->mod_revision = kv->revision;
	item->lease = lease;
	add_event(kv, item);
	return true;
}

static void delete_at(struct kv *kv, size_t index)
{
	struct kv_item deletion = {.key = kv_at(kv, index)->key};

	advance_revision(kv);
	deletion.mod_revision = kv->revision;
	add_event(kv, &deletion);
	g_ptr_array_remove_index(kv->items, (guint)index);
}

size_t kv_delete(struct kv *kv, const char *key, const char *range_end)
{
	size_t end;
	size_t first = kv_range(kv, key, range_end, &end);

	for (size_t i = first; i < end; i++)
		delete_at(kv, first);
	return end - first;
}

int64_t kv_grant(struct kv *kv, int64_t ttl_s, uint64_t now_ms)
{
	struct lease *lease = g_new0(struct lease, 1);

	lease->id = kv->next_lease++;
	lease->ttl_s = ttl_s;
	lease->expires_ms = now_ms + (uint64_t)ttl_s * 1000U;
	g_hash_table_insert(kv->leases, &lease->id, lease);
	return lease->id;
}

int64_t kv_keepalive(struct kv *kv, int64_t lease, uint64_t now_ms)
{
	struct lease *found = g_hash_table_lookup(kv->leases, &lease);

	if (!found)
		return 0;
	found->expires_ms = now_ms + (uint64_t)found->ttl_s * 1000U;
	return found->ttl_s;
}

bool kv_revoke(struct kv *kv, int64_t lease)
{
	kv_begin(kv);
	for (size_t i = kv->items->len; i > 0; i--) {
		if (kv_at(kv, i - 1)->lease == lease)
			delete_at(kv, i - 1);
	}
	return g_hash_table_remove(kv->leases, &lease);
}

bool kv_expire(struct kv *kv, uint64_t now_ms, bool all)
{
	GArray *lapsed = g_array_new(FALSE, FALSE, sizeof(int64_t));
	GHashTableIter iter;
	gpointer value;
	bool any;

	g_hash_table_iter_init(&iter, kv->leases);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct lease *lease = value;

		if (all || lease->expires_ms <= now_ms)
			g_array_append_val(lapsed, lease->id);
	}
	for (guint i = 0; i < lapsed->len; i++)
		kv_revoke(kv, g_array_index(lapsed, int64_t, i));
	any = lapsed->len > 0;
	g_array_unref(lapsed);
	return any;
}

static guint first_event(const struct kv *kv, int64_t revision)
{
	guint low = 0;
	guint high = kv->events->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;
		const struct kv_item *event = g_ptr_array_index(kv->events, middle);

		if (event->mod_revision < revision)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

json_t *kv_events(const struct kv *kv, int64_t revision, const char *key, const char *range_end)
{
	json_t *list;

	if (revision < kv->oldest_revision)
		return NULL;
	list = json_array();
	for (guint i = first_event(kv, revision); i < kv->events->len; i++) {
		const struct kv_item *event = g_ptr_array_index(kv->events, i);
		json_t *json;

		if (strcmp(event->key, key) < 0 || (*range_end ? strcmp(event->key, range_end) >= 0
							       : strcmp(event->key, key) != 0))
			continue;
		json = json_pack("{s:o}", "kv", kv_item_json(event));
		if (!event->value)
			json_object_set_new(json, "type", json_string("DELETE"));
		json_array_append_new(list, json);
	}
	return list;
}
