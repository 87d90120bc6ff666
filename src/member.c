#include "member.h"
#include "util.h"

#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#define SUBSCRIBERS_MAX 8
#define PEER_NAME_SIZE 256
#define LOAD_STEPS 4 /* a row is sent to the other entries when its load crosses a quarter */

struct row {
	int handle;
	struct msg_row data; /* strings are owned by the row */
	char peer[PEER_NAME_SIZE];
	char home_entry[PEER_NAME_SIZE]; /* peer name of the agent's home entry; "" when unknown */
	uint64_t announced;		 /* state that the agent announced */
	uint64_t last_seen_ms;
	uint64_t known_ms; /* when another entry first reported the row; 0: none has */
	int64_t clock_offset_ms;
	bool reachable;
	bool dirty; /* changed since the last delta sent to the other entries */
};

struct membership {
	pthread_mutex_t lock; /* guards the rows; handlers are registered before threads start */
	char self[PEER_NAME_SIZE];
	GHashTable *rows; /* node id to struct row */
	GPtrArray *handles;
	GHashTable *digests; /* peer name of an entry to the uint64_t time of its last digest */
	struct member_handlers handlers[SUBSCRIBERS_MAX];
	size_t handler_count;
};

static int member_destructor(struct membership *table)
{
	g_hash_table_destroy(table->rows);
	g_hash_table_destroy(table->digests);
	g_ptr_array_free(table->handles, TRUE);
	pthread_mutex_destroy(&table->lock);
	return 0;
}

struct membership *member_create(TALLOC_CTX *mem, const char *self)
{
	struct membership *table = talloc_zero(mem, struct membership);

	pthread_mutex_init(&table->lock, NULL);
	snprintf(table->self, sizeof(table->self), "%s", self);
	table->rows = g_hash_table_new(g_str_hash, g_str_equal);
	table->handles = g_ptr_array_new();
	table->digests = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	talloc_set_destructor(table, member_destructor);
	return table;
}

const char *member_state_name(enum msg_target_state state)
{
	switch (state) {
	case MSG_TARGET_ALIVE:
		return "alive";
	case MSG_TARGET_SUSPECT:
		return "suspect";
	case MSG_TARGET_LEAVING:
		return "leaving";
	case MSG_TARGET_GONE:
		return "gone";
	}
	return "unknown";
}

static void copy_row(const struct row *row, TALLOC_CTX *mem, struct member_target *out)
{
	const struct msg_row *row_data = &row->data;

	*out = (struct member_target){
		.handle = row->handle,
		.peer = talloc_strdup(mem, row->peer),
		.node = talloc_strdup(mem, row_data->node),
		.region = talloc_strdup(mem, row_data->region),
		.zone = talloc_strdup(mem, row_data->zone),
		.rack = talloc_strdup(mem, row_data->rack),
		.address = talloc_strdup(mem, row_data->address),
		.kind = (enum msg_target_kind)row_data->kind,
		.service = talloc_strdup(mem, row_data->service),
		.target = talloc_strdup(mem, row_data->target),
		.target_incarnation = row_data->target_incarnation,
		.state = (enum msg_target_state)row_data->state,
		.slots = (uint32_t)row_data->slots,
		.connections = (uint32_t)row_data->connections,
		.accelerators = (uint32_t)row_data->accelerators,
		.cores = (uint32_t)row_data->cores,
		.memory_mb = (uint32_t)row_data->memory_mb,
		.in_flight = (uint32_t)row_data->in_flight,
		.accelerators_free = row_data->accelerators_free,
		.clock_offset_ms = row->clock_offset_ms,
		.reachable = row->reachable,
		.known_ms = row->known_ms,
	};
}

/* The caller must not hold the lock, because the handlers look up rows. */
static void notify_handlers(struct membership *table, const struct row *row)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct member_target target;

	copy_row(row, mem, &target);
	for (size_t i = 0; i < table->handler_count; i++)
		table->handlers[i].on_target(&target, table->handlers[i].ctx);
	talloc_free(mem);
}

static void notify_load(struct membership *table, const struct row *row)
{
	for (size_t i = 0; i < table->handler_count; i++) {
		if (table->handlers[i].on_load)
			table->handlers[i].on_load(row->peer, (uint32_t)row->data.in_flight,
						   table->handlers[i].ctx);
	}
}

static int allocate_handle(struct membership *table, struct row *row)
{
	for (guint i = 0; i < table->handles->len; i++) {
		if (!g_ptr_array_index(table->handles, i)) {
			g_ptr_array_index(table->handles, i) = row;
			return (int)i;
		}
	}
	g_ptr_array_add(table->handles, row);
	return (int)table->handles->len - 1;
}

static void set_string(struct row *row, const char **field, const char *value)
{
	if (*field && !strcmp(*field, value))
		return;
	talloc_free((void *)*field);
	*field = talloc_strdup(row, value);
}

static struct row *add_row(struct membership *table, const char *node, uint64_t incarnation)
{
	struct row *row = talloc_zero(table, struct row);
	const char **strings[] = {&row->data.region,  &row->data.zone,	  &row->data.rack,
				  &row->data.address, &row->data.service, &row->data.target};

	row->data.node = talloc_strdup(row, node);
	row->data.incarnation = incarnation;
	for (size_t i = 0; i < sizeof(strings) / sizeof(strings[0]); i++)
		*strings[i] = talloc_strdup(row, "");
	snprintf(row->peer, sizeof(row->peer), "%s#%" G_GUINT64_FORMAT, node, incarnation);
	row->handle = allocate_handle(table, row);
	g_hash_table_insert(table->rows, (gpointer)row->data.node, row);
	return row;
}

static void detach_row(struct membership *table, struct row *row)
{
	g_hash_table_remove(table->rows, row->data.node);
	g_ptr_array_index(table->handles, (guint)row->handle) = NULL;
	row->data.state = MSG_TARGET_GONE;
}

static bool has_target(const struct row *row)
{
	return row->data.kind != 0;
}

static void remove_row(struct membership *table, struct row *row)
{
	pthread_mutex_lock(&table->lock);
	detach_row(table, row);
	pthread_mutex_unlock(&table->lock);
	if (has_target(row))
		notify_handlers(table, row);
	talloc_free(row);
}

/* Returns the row of @incarnation, added if missing; NULL when a newer incarnation is known. */
static struct row *find_or_add_row(struct membership *table, const char *node, uint64_t incarnation)
{
	struct row *row = g_hash_table_lookup(table->rows, node);

	if (row && row->data.incarnation > incarnation)
		return NULL;
	if (row && row->data.incarnation < incarnation) {
		remove_row(table, row);
		row = NULL;
	}
	if (!row) {
		pthread_mutex_lock(&table->lock);
		row = add_row(table, node, incarnation);
		pthread_mutex_unlock(&table->lock);
	}
	return row;
}

static struct row *find_row_of_peer(struct membership *table, const char *peer)
{
	char node[PEER_NAME_SIZE];
	struct row *row;

	snprintf(node, sizeof(node), "%s", peer);
	if (strrchr(node, '#'))
		*strrchr(node, '#') = '\0';
	row = g_hash_table_lookup(table->rows, node);
	return row && !strcmp(row->peer, peer) ? row : NULL;
}

static bool is_own_row(const struct membership *table, const struct row *row)
{
	return !strcmp(row->home_entry, table->self);
}

static void mark_changed(struct membership *table, struct row *row)
{
	if (!is_own_row(table, row))
		return;
	row->data.version++;
	row->dirty = true;
}

/*
 * Records a sign of life of the agent, which restores the state that it announced; the caller holds
 * the lock. Returns true when the state changed.
 */
static bool mark_seen(struct row *row, uint64_t now_ms)
{
	uint64_t before = row->data.state;

	row->last_seen_ms = now_ms;
	row->data.state = row->announced;
	return row->data.state != before;
}

static void set_clock(struct row *row, uint64_t clock_ms, uint64_t now_ms)
{
	row->clock_offset_ms = (int64_t)(clock_ms - now_ms);
	row->reachable = true;
}

void member_hello(struct membership *table, const struct msg_hello *hello, uint64_t now_ms)
{
	struct row *row = find_or_add_row(table, hello->node, hello->incarnation);
	bool changed;

	if (!row)
		return;
	pthread_mutex_lock(&table->lock);
	changed = strcmp(row->data.zone, hello->zone) != 0 ||
		  strcmp(row->data.rack, hello->rack) != 0 ||
		  strcmp(row->data.address, hello->address) != 0 || !row->reachable;
	set_string(row, &row->data.region, hello->region);
	set_string(row, &row->data.zone, hello->zone);
	set_string(row, &row->data.rack, hello->rack);
	set_string(row, &row->data.address, hello->address);
	set_clock(row, hello->clock_ms, now_ms);
	changed |= mark_seen(row, now_ms);
	if (changed)
		mark_changed(table, row);
	pthread_mutex_unlock(&table->lock);
	if (changed && has_target(row))
		notify_handlers(table, row);
}

static void apply_announce(struct row *row, const struct msg_announce *msg)
{
	struct msg_row *row_data = &row->data;

	row_data->kind = msg->kind;
	set_string(row, &row_data->service, msg->service);
	set_string(row, &row_data->target, msg->target);
	row_data->target_incarnation = msg->target_incarnation;
	row_data->slots = msg->slots;
	row_data->connections = msg->connections;
	row_data->accelerators = msg->accelerators;
	row_data->cores = msg->cores;
	row_data->memory_mb = msg->memory_mb;
	row->announced = msg->state;
}

void member_announce(struct membership *table, const struct msg_announce *announce, uint64_t now_ms)
{
	struct row *row;

	if (announce->kind != MSG_TARGET_SERVICE && announce->kind != MSG_TARGET_WORKER)
		return;
	if (announce->state < MSG_TARGET_ALIVE || announce->state > MSG_TARGET_GONE)
		return;
	row = find_or_add_row(table, announce->node, announce->incarnation);
	if (!row)
		return;
	pthread_mutex_lock(&table->lock);
	if (!has_target(row) && announce->accelerators)
		row->data.accelerators_free = announce->accelerators >= 64
						      ? UINT64_MAX
						      : (1ULL << announce->accelerators) - 1;
	apply_announce(row, announce);
	set_clock(row, announce->clock_ms, now_ms);
	mark_seen(row, now_ms);
	mark_changed(table, row);
	pthread_mutex_unlock(&table->lock);
	notify_handlers(table, row);
}

static uint64_t load_step(const struct msg_row *row_data, uint64_t in_flight)
{
	if (!row_data->slots)
		return 0;
	return (in_flight * LOAD_STEPS + row_data->slots - 1) / row_data->slots;
}

bool member_heartbeat(struct membership *table, const char *peer,
		      const struct msg_heartbeat *heartbeat, uint64_t now_ms)
{
	struct row *row = find_row_of_peer(table, peer);
	struct msg_row *row_data;
	bool changed;
	bool report;

	if (!row)
		return false;
	row_data = &row->data;
	pthread_mutex_lock(&table->lock);
	changed = mark_seen(row, now_ms);
	set_clock(row, heartbeat->clock_ms, now_ms);
	report = changed || !is_own_row(table, row) ||
		 load_step(row_data, heartbeat->in_flight) !=
			 load_step(row_data, row_data->in_flight) ||
		 row_data->accelerators_free != heartbeat->accelerators_free;
	snprintf(row->home_entry, sizeof(row->home_entry), "%s", table->self);
	row_data->in_flight = heartbeat->in_flight;
	row_data->accelerators_free = heartbeat->accelerators_free;
	if (report)
		mark_changed(table, row);
	pthread_mutex_unlock(&table->lock);
	if (!has_target(row))
		return false;
	if (changed)
		notify_handlers(table, row);
	notify_load(table, row);
	return true;
}

static void apply_row(struct row *row, const char *home_entry, const struct msg_row *in)
{
	struct msg_row *row_data = &row->data;

	set_string(row, &row_data->region, in->region);
	set_string(row, &row_data->zone, in->zone);
	set_string(row, &row_data->rack, in->rack);
	set_string(row, &row_data->address, in->address);
	set_string(row, &row_data->service, in->service);
	set_string(row, &row_data->target, in->target);
	row_data->kind = in->kind;
	row_data->target_incarnation = in->target_incarnation;
	row_data->slots = in->slots;
	row_data->connections = in->connections;
	row_data->accelerators = in->accelerators;
	row_data->cores = in->cores;
	row_data->memory_mb = in->memory_mb;
	row_data->in_flight = in->in_flight;
	row_data->accelerators_free = in->accelerators_free;
	row_data->version = in->version;
	row->dirty = false;
	snprintf(row->home_entry, sizeof(row->home_entry), "%s", home_entry);
}

/* Returns true when the row sent by @peer is newer than the one in the table. */
static bool is_newer(const struct row *row, const char *peer, const struct msg_row *in)
{
	if (!strcmp(row->home_entry, peer))
		return in->version != row->data.version || in->state != row->data.state;
	return in->version > row->data.version || !row->home_entry[0];
}

/*
 * Returns true when @peer reports another process of the agent than its home entry does, which
 * still hears of it. The higher incarnation may then be that of the process that has ended: it is
 * the start time, and the host's clock may have been set back. A process that has replaced another
 * says HELLO to each entry, and the row of the former one becomes suspect in any case.
 */
static bool contradicts_live_row(const struct row *row, const char *peer, const struct msg_row *in)
{
	return row->data.incarnation != in->incarnation && row->home_entry[0] &&
	       strcmp(row->home_entry, peer) != 0 && row->data.state != MSG_TARGET_SUSPECT;
}

static void apply_delta_row(struct membership *table, const char *peer, const struct msg_row *in,
			    uint64_t now_ms)
{
	struct row *row;
	bool changed;

	if (in->state < MSG_TARGET_ALIVE || in->state > MSG_TARGET_GONE)
		return;
	row = g_hash_table_lookup(table->rows, in->node);
	if (in->state == MSG_TARGET_GONE) {
		/* Ignored if the agent has moved to another home entry in the meantime. */
		if (row && row->data.incarnation == in->incarnation &&
		    !strcmp(row->home_entry, peer))
			remove_row(table, row);
		return;
	}
	if (row && contradicts_live_row(row, peer, in))
		return;
	row = find_or_add_row(table, in->node, in->incarnation);
	if (!row || !is_newer(row, peer, in))
		return;
	pthread_mutex_lock(&table->lock);
	changed = row->data.state != in->state || row->data.kind != in->kind ||
		  row->data.slots != in->slots ||
		  row->data.target_incarnation != in->target_incarnation;
	apply_row(row, peer, in);
	row->announced = in->state == MSG_TARGET_SUSPECT ? MSG_TARGET_ALIVE : in->state;
	row->data.state = in->state;
	row->last_seen_ms = now_ms;
	if (!row->known_ms)
		row->known_ms = now_ms;
	pthread_mutex_unlock(&table->lock);
	if (changed && has_target(row))
		notify_handlers(table, row);
	notify_load(table, row);
}

static bool delta_lists_node(const struct msg_target_delta *delta, const char *node)
{
	for (size_t i = 0; i < delta->row_count; i++) {
		if (!strcmp(delta->rows[i].node, node))
			return true;
	}
	return false;
}

/*
 * Clears the home entry of rows that the peer no longer lists. Another entry that reports such a
 * row becomes its home entry; if none does, member_tick() removes the row in time.
 */
static void clear_unlisted_home_entries(struct membership *table, const char *peer,
					const struct msg_target_delta *delta)
{
	GHashTableIter iter;
	gpointer value;

	pthread_mutex_lock(&table->lock);
	g_hash_table_iter_init(&iter, table->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct row *row = value;

		if (!strcmp(row->home_entry, peer) && !delta_lists_node(delta, row->data.node))
			row->home_entry[0] = '\0';
	}
	pthread_mutex_unlock(&table->lock);
}

void member_delta(struct membership *table, const char *peer, const struct msg_target_delta *delta,
		  uint64_t now_ms)
{
	for (size_t i = 0; i < delta->row_count; i++)
		apply_delta_row(table, peer, &delta->rows[i], now_ms);
	if (delta->full)
		clear_unlisted_home_entries(table, peer, delta);
}

static uint64_t row_hash(const struct msg_row *row_data)
{
	uint64_t fields[3] = {row_data->incarnation, row_data->version, row_data->state};

	return util_hash64(fields, sizeof(fields), util_hash_str(row_data->node));
}

/* Adds up the hashes of the rows of one home entry; the sum does not depend on their order. */
static void hash_rows(struct membership *table, const char *home_entry, uint64_t *count,
		      uint64_t *hash)
{
	GHashTableIter iter;
	gpointer value;

	*count = 0;
	*hash = 0;
	g_hash_table_iter_init(&iter, table->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct row *row = value;

		if (strcmp(row->home_entry, home_entry) != 0 || !has_target(row))
			continue;
		*count += 1;
		*hash += row_hash(&row->data);
	}
}

static void record_digest_time(struct membership *table, const char *peer, uint64_t now_ms)
{
	uint64_t *when = g_hash_table_lookup(table->digests, peer);

	if (!when) {
		when = g_new(uint64_t, 1);
		g_hash_table_insert(table->digests, g_strdup(peer), when);
	}
	*when = now_ms;
}

/*
 * A matching digest counts as a sign of life for the rows of the sender's agents, except suspect
 * rows. If it counted for those, this entry would start their MEMBER_REMOVE_MS only when the home
 * entry removes them, and would keep them for twice that time.
 */
static void refresh_last_seen(struct membership *table, const char *peer, uint64_t now_ms)
{
	for (guint i = 0; i < table->handles->len; i++) {
		struct row *row = g_ptr_array_index(table->handles, i);

		if (row && !strcmp(row->home_entry, peer) && row->data.state != MSG_TARGET_SUSPECT)
			row->last_seen_ms = now_ms;
	}
}

bool member_digest(struct membership *table, const char *peer, const struct msg_digest *digest,
		   uint64_t now_ms)
{
	uint64_t count;
	uint64_t hash;

	record_digest_time(table, peer, now_ms);
	hash_rows(table, peer, &count, &hash);
	if (count != digest->row_count || hash != digest->rows_hash)
		return true;
	refresh_last_seen(table, peer, now_ms);
	return false;
}

static uint64_t suspect_after_ms(struct membership *table, const struct row *row, uint64_t now_ms)
{
	const uint64_t *digest;

	if (is_own_row(table, row) || !row->home_entry[0])
		return MEMBER_SUSPECT_MS;
	digest = g_hash_table_lookup(table->digests, row->home_entry);
	if (digest && now_ms - *digest <= MEMBER_SUSPECT_MS)
		return MEMBER_SUSPECT_MS;
	return MEMBER_HOME_LOST_MS;
}

static void apply_time_limits(struct membership *table, struct row *row, uint64_t now_ms)
{
	uint64_t age = now_ms > row->last_seen_ms ? now_ms - row->last_seen_ms : 0;

	if (age > MEMBER_REMOVE_MS) {
		remove_row(table, row);
		return;
	}
	if (row->data.state == MSG_TARGET_SUSPECT || age <= suspect_after_ms(table, row, now_ms))
		return;
	pthread_mutex_lock(&table->lock);
	row->data.state = MSG_TARGET_SUSPECT;
	mark_changed(table, row);
	pthread_mutex_unlock(&table->lock);
	if (has_target(row))
		notify_handlers(table, row);
}

void member_tick(struct membership *table, uint64_t now_ms)
{
	for (guint i = 0; i < table->handles->len; i++) {
		struct row *row = g_ptr_array_index(table->handles, i);

		if (row)
			apply_time_limits(table, row, now_ms);
	}
}

void member_resumed(struct membership *table, uint64_t gap_ms)
{
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < table->handles->len; i++) {
		struct row *row = g_ptr_array_index(table->handles, i);

		if (row)
			row->last_seen_ms += gap_ms;
	}
	g_hash_table_iter_init(&iter, table->digests);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		*(uint64_t *)value += gap_ms;
}

size_t member_collect_delta(struct membership *table, TALLOC_CTX *mem, bool full,
			    struct msg_target_delta *out)
{
	*out = (struct msg_target_delta){.full = full};
	out->rows = talloc_array(mem, struct msg_row, table->handles->len + 1);
	pthread_mutex_lock(&table->lock);
	for (guint i = 0; i < table->handles->len; i++) {
		struct row *row = g_ptr_array_index(table->handles, i);

		if (!row || !is_own_row(table, row) || !has_target(row) || !(full || row->dirty))
			continue;
		out->rows[out->row_count++] = row->data;
		if (!full)
			row->dirty = false;
	}
	pthread_mutex_unlock(&table->lock);
	return out->row_count;
}

void member_own_digest(struct membership *table, struct msg_digest *out)
{
	hash_rows(table, table->self, &out->row_count, &out->rows_hash);
}

size_t member_targets(struct membership *table, TALLOC_CTX *mem, enum msg_target_kind kind,
		      struct member_target **out)
{
	size_t count = 0;

	pthread_mutex_lock(&table->lock);
	*out = talloc_array(mem, struct member_target, table->handles->len + 1);
	for (guint i = 0; i < table->handles->len; i++) {
		const struct row *row = g_ptr_array_index(table->handles, i);

		if (row && row->data.kind == kind)
			copy_row(row, *out, &(*out)[count++]);
	}
	pthread_mutex_unlock(&table->lock);
	return count;
}

bool member_find(struct membership *table, TALLOC_CTX *mem, const char *node,
		 struct member_target *out)
{
	const struct row *row;
	bool found;

	pthread_mutex_lock(&table->lock);
	row = g_hash_table_lookup(table->rows, node);
	found = row && has_target(row);
	if (found)
		copy_row(row, mem, out);
	pthread_mutex_unlock(&table->lock);
	return found;
}

void member_subscribe(struct membership *table, const struct member_handlers *handlers)
{
	if (table->handler_count < SUBSCRIBERS_MAX)
		table->handlers[table->handler_count++] = *handlers;
}
