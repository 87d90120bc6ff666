#include "member.h"
#include "util.h"

#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#define SUBSCRIBERS_MAX 8
#define PEER_MAX 256
#define LOAD_STEPS 4 /* peers are told when the load crosses a quarter of the slots */

struct row {
	int handle;
	struct msg_row data; /* strings are owned by the row */
	char peer[PEER_MAX];
	char home[PEER_MAX]; /* entry that receives the heartbeats; "" when unknown */
	uint64_t announced;  /* state the agent announced */
	uint64_t last_seen_ms;
	int64_t clock_offset_ms;
	bool reachable;
	bool dirty; /* not yet told to the other entries */
};

struct member {
	pthread_mutex_t lock; /* guards the rows; subscribers change before threads start */
	char self[PEER_MAX];
	GHashTable *rows; /* node id to struct row */
	GPtrArray *handles;
	GHashTable *digests; /* entry to the time of its last digest, by pointer to uint64_t */
	struct member_handlers handlers[SUBSCRIBERS_MAX];
	size_t handler_count;
};

static int member_destructor(struct member *m)
{
	g_hash_table_destroy(m->rows);
	g_hash_table_destroy(m->digests);
	g_ptr_array_free(m->handles, TRUE);
	pthread_mutex_destroy(&m->lock);
	return 0;
}

struct member *member_create(TALLOC_CTX *mem, const char *self)
{
	struct member *m = talloc_zero(mem, struct member);

	pthread_mutex_init(&m->lock, NULL);
	snprintf(m->self, sizeof(m->self), "%s", self);
	m->rows = g_hash_table_new(g_str_hash, g_str_equal);
	m->handles = g_ptr_array_new();
	m->digests = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	talloc_set_destructor(m, member_destructor);
	return m;
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
	const struct msg_row *d = &row->data;

	*out = (struct member_target){
		.handle = row->handle,
		.peer = talloc_strdup(mem, row->peer),
		.node = talloc_strdup(mem, d->node),
		.region = talloc_strdup(mem, d->region),
		.zone = talloc_strdup(mem, d->zone),
		.rack = talloc_strdup(mem, d->rack),
		.address = talloc_strdup(mem, d->address),
		.kind = (enum msg_target_kind)d->kind,
		.service = talloc_strdup(mem, d->service),
		.target = talloc_strdup(mem, d->target),
		.target_incarnation = d->target_incarnation,
		.state = (enum msg_target_state)d->state,
		.slots = (uint32_t)d->slots,
		.connections = (uint32_t)d->connections,
		.accelerators = (uint32_t)d->accelerators,
		.cores = (uint32_t)d->cores,
		.memory_mb = (uint32_t)d->memory_mb,
		.in_flight = (uint32_t)d->in_flight,
		.accelerators_free = d->accelerators_free,
		.clock_offset_ms = row->clock_offset_ms,
		.reachable = row->reachable,
	};
}

/* Called without the lock, because handlers look rows up. */
static void notify(struct member *m, const struct row *row)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct member_target target;

	copy_row(row, mem, &target);
	for (size_t i = 0; i < m->handler_count; i++)
		m->handlers[i].on_target(&target, m->handlers[i].ctx);
	talloc_free(mem);
}

static void notify_load(struct member *m, const struct row *row)
{
	for (size_t i = 0; i < m->handler_count; i++) {
		if (m->handlers[i].on_load)
			m->handlers[i].on_load(row->peer, (uint32_t)row->data.in_flight,
					       m->handlers[i].ctx);
	}
}

static int new_handle(struct member *m, struct row *row)
{
	for (guint i = 0; i < m->handles->len; i++) {
		if (!g_ptr_array_index(m->handles, i)) {
			g_ptr_array_index(m->handles, i) = row;
			return (int)i;
		}
	}
	g_ptr_array_add(m->handles, row);
	return (int)m->handles->len - 1;
}

static void set_string(struct row *row, const char **field, const char *value)
{
	if (*field && !strcmp(*field, value))
		return;
	talloc_free((void *)*field);
	*field = talloc_strdup(row, value);
}

static struct row *add_row(struct member *m, const char *node, uint64_t incarnation)
{
	struct row *row = talloc_zero(m, struct row);
	const char **strings[] = {&row->data.region,  &row->data.zone,	  &row->data.rack,
				  &row->data.address, &row->data.service, &row->data.target};

	row->data.node = talloc_strdup(row, node);
	row->data.incarnation = incarnation;
	for (size_t i = 0; i < sizeof(strings) / sizeof(strings[0]); i++)
		*strings[i] = talloc_strdup(row, "");
	snprintf(row->peer, sizeof(row->peer), "%s#%" G_GUINT64_FORMAT, node, incarnation);
	row->handle = new_handle(m, row);
	g_hash_table_insert(m->rows, (gpointer)row->data.node, row);
	return row;
}

static void detach_row(struct member *m, struct row *row)
{
	g_hash_table_remove(m->rows, row->data.node);
	g_ptr_array_index(m->handles, (guint)row->handle) = NULL;
	row->data.state = MSG_TARGET_GONE;
}

static bool visible(const struct row *row)
{
	return row->data.kind != 0;
}

static void remove_row(struct member *m, struct row *row)
{
	pthread_mutex_lock(&m->lock);
	detach_row(m, row);
	pthread_mutex_unlock(&m->lock);
	if (visible(row))
		notify(m, row);
	talloc_free(row);
}

/* Returns the row of exactly this incarnation, or NULL when a newer one is known. */
static struct row *current_row(struct member *m, const char *node, uint64_t incarnation)
{
	struct row *row = g_hash_table_lookup(m->rows, node);

	if (row && row->data.incarnation > incarnation)
		return NULL;
	if (row && row->data.incarnation < incarnation) {
		remove_row(m, row);
		row = NULL;
	}
	if (!row) {
		pthread_mutex_lock(&m->lock);
		row = add_row(m, node, incarnation);
		pthread_mutex_unlock(&m->lock);
	}
	return row;
}

static struct row *row_of_peer(struct member *m, const char *peer)
{
	char node[PEER_MAX];
	struct row *row;

	snprintf(node, sizeof(node), "%s", peer);
	if (strrchr(node, '#'))
		*strrchr(node, '#') = '\0';
	row = g_hash_table_lookup(m->rows, node);
	return row && !strcmp(row->peer, peer) ? row : NULL;
}

static bool own(const struct member *m, const struct row *row)
{
	return !strcmp(row->home, m->self);
}

static void touch(struct member *m, struct row *row)
{
	if (!own(m, row))
		return;
	row->data.version++;
	row->dirty = true;
}

/* A fresh sign of life; the caller holds the lock. Returns true when the state changed. */
static bool seen(struct row *row, uint64_t now_ms)
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

void member_hello(struct member *m, const struct msg_hello *hello, uint64_t now_ms)
{
	struct row *row = current_row(m, hello->node, hello->incarnation);
	bool changed;

	if (!row)
		return;
	pthread_mutex_lock(&m->lock);
	changed = strcmp(row->data.zone, hello->zone) != 0 ||
		  strcmp(row->data.rack, hello->rack) != 0 ||
		  strcmp(row->data.address, hello->address) != 0 || !row->reachable;
	set_string(row, &row->data.region, hello->region);
	set_string(row, &row->data.zone, hello->zone);
	set_string(row, &row->data.rack, hello->rack);
	set_string(row, &row->data.address, hello->address);
	set_clock(row, hello->clock_ms, now_ms);
	changed |= seen(row, now_ms);
	if (changed)
		touch(m, row);
	pthread_mutex_unlock(&m->lock);
	if (changed && visible(row))
		notify(m, row);
}

static void take_announce(struct row *row, const struct msg_announce *a)
{
	struct msg_row *d = &row->data;

	d->kind = a->kind;
	set_string(row, &d->service, a->service);
	set_string(row, &d->target, a->target);
	d->target_incarnation = a->target_incarnation;
	d->slots = a->slots;
	d->connections = a->connections;
	d->accelerators = a->accelerators;
	d->cores = a->cores;
	d->memory_mb = a->memory_mb;
	row->announced = a->state;
}

void member_announce(struct member *m, const struct msg_announce *announce, uint64_t now_ms)
{
	struct row *row;

	if (announce->kind != MSG_TARGET_SERVICE && announce->kind != MSG_TARGET_WORKER)
		return;
	if (announce->state < MSG_TARGET_ALIVE || announce->state > MSG_TARGET_GONE)
		return;
	row = current_row(m, announce->node, announce->incarnation);
	if (!row)
		return;
	pthread_mutex_lock(&m->lock);
	if (!visible(row) && announce->accelerators)
		row->data.accelerators_free = announce->accelerators >= 64
						      ? UINT64_MAX
						      : (1ULL << announce->accelerators) - 1;
	take_announce(row, announce);
	set_clock(row, announce->clock_ms, now_ms);
	seen(row, now_ms);
	touch(m, row);
	pthread_mutex_unlock(&m->lock);
	notify(m, row);
}

static uint64_t load_step(const struct msg_row *d, uint64_t in_flight)
{
	if (!d->slots)
		return 0;
	return (in_flight * LOAD_STEPS + d->slots - 1) / d->slots;
}

bool member_heartbeat(struct member *m, const char *peer, const struct msg_heartbeat *heartbeat,
		      uint64_t now_ms)
{
	struct row *row = row_of_peer(m, peer);
	struct msg_row *d;
	bool changed;
	bool tell;

	if (!row)
		return false;
	d = &row->data;
	pthread_mutex_lock(&m->lock);
	changed = seen(row, now_ms);
	set_clock(row, heartbeat->clock_ms, now_ms);
	tell = changed || !own(m, row) ||
	       load_step(d, heartbeat->in_flight) != load_step(d, d->in_flight) ||
	       d->accelerators_free != heartbeat->accelerators_free;
	snprintf(row->home, sizeof(row->home), "%s", m->self);
	d->in_flight = heartbeat->in_flight;
	d->accelerators_free = heartbeat->accelerators_free;
	if (tell)
		touch(m, row);
	pthread_mutex_unlock(&m->lock);
	if (!visible(row))
		return false;
	if (changed)
		notify(m, row);
	notify_load(m, row);
	return true;
}

static void take_row(struct row *row, const char *home, const struct msg_row *in)
{
	struct msg_row *d = &row->data;

	set_string(row, &d->region, in->region);
	set_string(row, &d->zone, in->zone);
	set_string(row, &d->rack, in->rack);
	set_string(row, &d->address, in->address);
	set_string(row, &d->service, in->service);
	set_string(row, &d->target, in->target);
	d->kind = in->kind;
	d->target_incarnation = in->target_incarnation;
	d->slots = in->slots;
	d->connections = in->connections;
	d->accelerators = in->accelerators;
	d->cores = in->cores;
	d->memory_mb = in->memory_mb;
	d->in_flight = in->in_flight;
	d->accelerators_free = in->accelerators_free;
	d->version = in->version;
	row->dirty = false;
	snprintf(row->home, sizeof(row->home), "%s", home);
}

/* True when a peer's row is newer than the one held. */
static bool newer(const struct row *row, const char *peer, const struct msg_row *in)
{
	if (!strcmp(row->home, peer))
		return in->version != row->data.version || in->state != row->data.state;
	return in->version > row->data.version || !row->home[0];
}

static void delta_row(struct member *m, const char *peer, const struct msg_row *in, uint64_t now_ms)
{
	struct row *row;
	bool changed;

	if (in->state < MSG_TARGET_ALIVE || in->state > MSG_TARGET_GONE)
		return;
	row = g_hash_table_lookup(m->rows, in->node);
	if (in->state == MSG_TARGET_GONE) {
		/* The target's agent may have moved to another home meanwhile. */
		if (row && row->data.incarnation == in->incarnation && !strcmp(row->home, peer))
			remove_row(m, row);
		return;
	}
	row = current_row(m, in->node, in->incarnation);
	if (!row || !newer(row, peer, in))
		return;
	pthread_mutex_lock(&m->lock);
	changed = row->data.state != in->state || row->data.kind != in->kind ||
		  row->data.slots != in->slots ||
		  row->data.target_incarnation != in->target_incarnation;
	take_row(row, peer, in);
	row->announced = in->state == MSG_TARGET_SUSPECT ? MSG_TARGET_ALIVE : in->state;
	row->data.state = in->state;
	row->last_seen_ms = now_ms;
	pthread_mutex_unlock(&m->lock);
	if (changed && visible(row))
		notify(m, row);
	notify_load(m, row);
}

static bool lists(const struct msg_target_delta *delta, const char *node)
{
	for (size_t i = 0; i < delta->row_count; i++) {
		if (!strcmp(delta->rows[i].node, node))
			return true;
	}
	return false;
}

/* Rows that a peer no longer lists are left to the time limits or to their new home. */
static void forget_home(struct member *m, const char *peer, const struct msg_target_delta *delta)
{
	GHashTableIter iter;
	gpointer value;

	pthread_mutex_lock(&m->lock);
	g_hash_table_iter_init(&iter, m->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct row *row = value;

		if (!strcmp(row->home, peer) && !lists(delta, row->data.node))
			row->home[0] = '\0';
	}
	pthread_mutex_unlock(&m->lock);
}

void member_delta(struct member *m, const char *peer, const struct msg_target_delta *delta,
		  uint64_t now_ms)
{
	for (size_t i = 0; i < delta->row_count; i++)
		delta_row(m, peer, &delta->rows[i], now_ms);
	if (delta->full)
		forget_home(m, peer, delta);
}

static uint64_t row_hash(const struct msg_row *d)
{
	uint64_t fields[3] = {d->incarnation, d->version, d->state};

	return util_hash64(fields, sizeof(fields), util_hash_str(d->node));
}

/* Sum of the hashes of the rows homed at an entry; independent of their order. */
static void hash_rows(struct member *m, const char *home, uint64_t *count, uint64_t *hash)
{
	GHashTableIter iter;
	gpointer value;

	*count = 0;
	*hash = 0;
	g_hash_table_iter_init(&iter, m->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct row *row = value;

		if (strcmp(row->home, home) != 0 || !visible(row))
			continue;
		*count += 1;
		*hash += row_hash(&row->data);
	}
}

static void remember_digest(struct member *m, const char *peer, uint64_t now_ms)
{
	uint64_t *when = g_hash_table_lookup(m->digests, peer);

	if (!when) {
		when = g_new(uint64_t, 1);
		g_hash_table_insert(m->digests, g_strdup(peer), when);
	}
	*when = now_ms;
}

/*
 * The home entry vouches for its rows, but not for those it suspects: counting their silence
 * from the home's own removal would double the time until the rest of the fleet removes them.
 */
static void refresh_rows(struct member *m, const char *peer, uint64_t now_ms)
{
	for (guint i = 0; i < m->handles->len; i++) {
		struct row *row = g_ptr_array_index(m->handles, i);

		if (row && !strcmp(row->home, peer) && row->data.state != MSG_TARGET_SUSPECT)
			row->last_seen_ms = now_ms;
	}
}

bool member_digest(struct member *m, const char *peer, const struct msg_digest *digest,
		   uint64_t now_ms)
{
	uint64_t count;
	uint64_t hash;

	remember_digest(m, peer, now_ms);
	hash_rows(m, peer, &count, &hash);
	if (count != digest->row_count || hash != digest->rows_hash)
		return true;
	refresh_rows(m, peer, now_ms);
	return false;
}

static uint64_t suspect_after(struct member *m, const struct row *row, uint64_t now_ms)
{
	const uint64_t *digest;

	if (own(m, row) || !row->home[0])
		return MEMBER_SUSPECT_MS;
	digest = g_hash_table_lookup(m->digests, row->home);
	if (digest && now_ms - *digest <= MEMBER_SUSPECT_MS)
		return MEMBER_SUSPECT_MS;
	return MEMBER_HOME_LOST_MS;
}

static void tick_row(struct member *m, struct row *row, uint64_t now_ms)
{
	uint64_t age = now_ms > row->last_seen_ms ? now_ms - row->last_seen_ms : 0;

	if (age > MEMBER_REMOVE_MS) {
		remove_row(m, row);
		return;
	}
	if (row->data.state == MSG_TARGET_SUSPECT || age <= suspect_after(m, row, now_ms))
		return;
	pthread_mutex_lock(&m->lock);
	row->data.state = MSG_TARGET_SUSPECT;
	touch(m, row);
	pthread_mutex_unlock(&m->lock);
	if (visible(row))
		notify(m, row);
}

void member_tick(struct member *m, uint64_t now_ms)
{
	for (guint i = 0; i < m->handles->len; i++) {
		struct row *row = g_ptr_array_index(m->handles, i);

		if (row)
			tick_row(m, row, now_ms);
	}
}

size_t member_take_delta(struct member *m, TALLOC_CTX *mem, bool full, struct msg_target_delta *out)
{
	*out = (struct msg_target_delta){.full = full};
	out->rows = talloc_array(mem, struct msg_row, m->handles->len + 1);
	pthread_mutex_lock(&m->lock);
	for (guint i = 0; i < m->handles->len; i++) {
		struct row *row = g_ptr_array_index(m->handles, i);

		if (!row || !own(m, row) || !visible(row) || !(full || row->dirty))
			continue;
		out->rows[out->row_count++] = row->data;
		if (!full)
			row->dirty = false;
	}
	pthread_mutex_unlock(&m->lock);
	return out->row_count;
}

void member_own_digest(struct member *m, struct msg_digest *out)
{
	hash_rows(m, m->self, &out->row_count, &out->rows_hash);
}

size_t member_targets(struct member *m, TALLOC_CTX *mem, enum msg_target_kind kind,
		      struct member_target **out)
{
	size_t count = 0;

	pthread_mutex_lock(&m->lock);
	*out = talloc_array(mem, struct member_target, m->handles->len + 1);
	for (guint i = 0; i < m->handles->len; i++) {
		const struct row *row = g_ptr_array_index(m->handles, i);

		if (row && row->data.kind == kind)
			copy_row(row, *out, &(*out)[count++]);
	}
	pthread_mutex_unlock(&m->lock);
	return count;
}

bool member_find(struct member *m, TALLOC_CTX *mem, const char *node, struct member_target *out)
{
	const struct row *row;
	bool found;

	pthread_mutex_lock(&m->lock);
	row = g_hash_table_lookup(m->rows, node);
	found = row && visible(row);
	if (found)
		copy_row(row, mem, out);
	pthread_mutex_unlock(&m->lock);
	return found;
}

void member_subscribe(struct member *m, const struct member_handlers *handlers)
{
	if (m->handler_count < SUBSCRIBERS_MAX)
		m->handlers[m->handler_count++] = *handlers;
}
