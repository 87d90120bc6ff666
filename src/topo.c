#include "place_impl.h"

#include <string.h>

#define FORGET_LOST_MS 3600000 /* a worker this long lost counts no longer in "could ever fit" */

static int find_or_add_zone(struct place *p, const char *name)
{
	struct zone *zone;

	for (guint i = 0; i < p->zones->len; i++) {
		zone = p->zones->pdata[i];
		if (strcmp(zone->name, name) == 0)
			return (int)i;
	}
	zone = talloc_zero(p, struct zone);
	zone->name = talloc_strdup(zone, name);
	g_ptr_array_add(p->zones, zone);
	return (int)p->zones->len - 1;
}

static int find_or_add_rack(struct place *p, int zone, const char *name)
{
	struct rack *rack;

	for (guint i = 0; i < p->racks->len; i++) {
		rack = p->racks->pdata[i];
		if (rack->zone == zone && strcmp(rack->name, name) == 0)
			return (int)i;
	}
	rack = talloc_zero(p, struct rack);
	rack->name = talloc_strdup(rack, name);
	rack->zone = zone;
	g_ptr_array_add(p->racks, rack);
	return (int)p->racks->len - 1;
}

static int worker_destructor(struct worker *w)
{
	g_ptr_array_free(w->members, TRUE);
	g_ptr_array_free(w->cells, TRUE);
	return 0;
}

static void forget_lost(struct place *p)
{
	for (guint i = 0; i < p->workers->len;) {
		struct worker *w = p->workers->pdata[i];

		if (w->up || w->members->len || w->cells->len || w->reserved || w->cores_reserved ||
		    w->down_ms + FORGET_LOST_MS > p->now_ms) {
			i++;
			continue;
		}
		p->fitting_count = 0;
		p->fitting_next = 0;
		g_hash_table_remove(p->worker_names, w->name);
		g_ptr_array_remove_index(p->workers, i);
		talloc_free(w);
		p->order_dirty = true;
	}
}

/* Jobs remember failed workers by pointer, so rows go only when no job can name them. */
static bool may_forget(const struct place *p)
{
	return g_hash_table_size(p->jobs) == 0 || p->workers->len % 64 == 0;
}

static void forget_failed_on(struct place *p)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, p->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job *job = value;
		uint32_t kept = 0;

		for (uint32_t i = 0; i < job->failed_on_count; i++) {
			if (job->failed_on[i]->up)
				job->failed_on[kept++] = job->failed_on[i];
		}
		job->failed_on_count = kept;
	}
}

struct worker *topo_worker(struct place *p, const char *name, bool create)
{
	struct worker *w = g_hash_table_lookup(p->worker_names, name);

	if (w || !create)
		return w;
	if (may_forget(p)) {
		forget_failed_on(p);
		forget_lost(p);
	}
	w = talloc_zero(p, struct worker);
	w->name = talloc_strdup(w, name);
	w->members = g_ptr_array_new();
	w->cells = g_ptr_array_new();
	w->down_ms = p->now_ms;
	talloc_set_destructor(w, worker_destructor);
	g_ptr_array_add(p->workers, w);
	g_hash_table_insert(p->worker_names, w->name, w);
	p->order_dirty = true;
	return w;
}

void topo_update(struct place *p, struct worker *w, const struct place_worker_spec *spec)
{
	w->accelerators = MIN(spec->accelerators, PLACE_ACCELERATORS_MAX);
	w->cores = spec->cores;
	w->memory = spec->memory_mb;
	w->all = topo_run(0, w->accelerators);
	p->fitting_count = 0;
	p->fitting_next = 0;
	w->zone = find_or_add_zone(p, spec->zone ? spec->zone : "");
	w->rack = find_or_add_rack(p, w->zone, spec->rack ? spec->rack : "");
	p->order_dirty = true;
}

static int compare_workers(const void *a, const void *b)
{
	const struct worker *x = *(struct worker *const *)a;
	const struct worker *y = *(struct worker *const *)b;

	if (x->zone != y->zone)
		return x->zone < y->zone ? -1 : 1;
	if (x->rack != y->rack)
		return x->rack < y->rack ? -1 : 1;
	return strcmp(x->name, y->name);
}

/* Makes room for @count places in the scratch arrays of a search. */
void topo_reserve_slots(struct place *p, size_t count)
{
	if (p->slot_capacity > count)
		return;
	p->slot_capacity = 2 * (count + 1);
	p->slots = talloc_realloc(p, p->slots, struct slot, p->slot_capacity);
	p->scratch = talloc_realloc(p, p->scratch, struct slot, p->slot_capacity);
}

/* Sorts workers so that those of a rack, and the racks of a zone, are neighbours. */
void topo_order(struct place *p)
{
	if (p->order_dirty) {
		p->order = talloc_realloc(p, p->order, struct worker *, p->workers->len + 1);
		p->order_count = 0;
		for (guint i = 0; i < p->workers->len; i++) {
			struct worker *w = p->workers->pdata[i];

			if (w->up)
				p->order[p->order_count++] = w;
		}
		qsort(p->order, p->order_count, sizeof(void *), compare_workers);
		for (size_t i = 0; i < p->order_count; i++)
			p->order[i]->order = (uint32_t)i;
		p->order_dirty = false;
	}
	topo_reserve_slots(p, p->order_count + p->cell_count);
}

bool topo_usable(const struct worker *w)
{
	return w->up && !w->draining && !w->quarantined && !w->offered;
}

uint64_t topo_run(uint32_t offset, uint32_t length)
{
	if (length == 0)
		return 0;
	if (length >= 64)
		return UINT64_MAX;
	return ((1ULL << length) - 1) << offset;
}

/*
 * Value of free accelerators as aligned blocks (buddies). A block of 2^k is worth 2^k for each
 * level, so taking a small run out of a large block costs more than out of a small one.
 */
double topo_potential(uint64_t free_mask)
{
	uint64_t pairs = free_mask & (free_mask >> 1) & 0x5555555555555555ULL;
	uint64_t quads = pairs & (pairs >> 2) & 0x1111111111111111ULL;
	uint64_t octets = quads & (quads >> 4) & 0x0101010101010101ULL;
	uint64_t wide = octets & (octets >> 8) & 0x0001000100010001ULL;

	return __builtin_popcountll(free_mask) + 2.0 * __builtin_popcountll(pairs) +
	       4.0 * __builtin_popcountll(quads) + 8.0 * __builtin_popcountll(octets) +
	       16.0 * __builtin_popcountll(wide);
}

int topo_longest_run(uint64_t mask)
{
	int length = 0;

	while (mask) {
		mask &= mask >> 1;
		length++;
	}
	return length;
}

static void hold(struct place *p, struct member *m, bool on)
{
	struct worker *w = m->worker;
	struct job *job = m->job;
	bool pinned = !sched_evictable(job);

	for (uint64_t rest = m->mask; rest; rest &= rest - 1)
		w->holder[__builtin_ctzll(rest)] = on ? job : NULL;
	if (on) {
		w->used |= m->mask;
		w->reported &= ~m->mask;
		w->cores_used += job->shape.cores;
		w->memory_used += job->shape.memory_mb;
		g_ptr_array_add(w->members, m);
	} else {
		w->used &= ~m->mask;
		w->cores_used -= job->shape.cores;
		w->memory_used -= job->shape.memory_mb;
		w->released_ms = p->now_ms;
		g_ptr_array_remove_fast(w->members, m);
		if (w->members->len == 0)
			w->idle_since_ms = p->now_ms;
	}
	if (pinned && !m->cell) {
		w->cores_pinned += on ? job->shape.cores : -job->shape.cores;
		w->memory_pinned += on ? job->shape.memory_mb : -job->shape.memory_mb;
	}
	if (m->cell) {
		m->cell->cores_used += on ? job->shape.cores : -job->shape.cores;
		m->cell->memory_used += on ? job->shape.memory_mb : -job->shape.memory_mb;
	} else {
		job->org->borrowed += on ? job->shape.accelerators : -job->shape.accelerators;
	}
	job->org->used += on ? job->shape.accelerators : -job->shape.accelerators;
	job->org->used_cores += on ? job->shape.cores : -job->shape.cores;
}

/* Takes over @members, an array of shape.members owned by the job. */
void topo_grant(struct place *p, struct job *job, struct member *members)
{
	job->members = members;
	for (uint32_t i = 0; i < job->shape.members; i++)
		hold(p, &members[i], true);
	p->placed++;
	job->counted_large = sched_large(p, job);
	if (job->counted_large)
		p->large_used += job->shape.members * job->shape.accelerators;
	job->counted_inside = guarantee_holds_shape(job->org, &job->shape);
	if (job->counted_inside)
		job->org->used_inside += job->shape.members * job->shape.accelerators;
}

void topo_release(struct place *p, struct job *job)
{
	if (!job->members)
		return;
	for (uint32_t i = 0; i < job->shape.members; i++)
		hold(p, &job->members[i], false);
	TALLOC_FREE(job->members);
	if (job->counted_large)
		p->large_used -= job->shape.members * job->shape.accelerators;
	if (job->counted_inside)
		job->org->used_inside -= job->shape.members * job->shape.accelerators;
	p->placed--;
	p->gen++;
	p->work_due = true;
	job->org->dirty = true;
}

void topo_reserve(struct place *p, struct job *job, struct member *members, bool clearing)
{
	job->reservation = members;
	job->clearing = clearing;
	for (uint32_t i = 0; i < job->shape.members; i++) {
		struct worker *w = members[i].worker;

		for (uint64_t rest = members[i].mask; rest; rest &= rest - 1)
			w->reserver[__builtin_ctzll(rest)] = job;
		if (!clearing) {
			w->earmarked |= members[i].mask;
			continue;
		}
		w->reserved |= members[i].mask;
		w->cores_reserved += job->shape.cores;
		w->memory_reserved += job->shape.memory_mb;
	}
	g_ptr_array_add(p->reserved, job);
}

void topo_unreserve(struct place *p, struct job *job)
{
	if (!job->reservation)
		return;
	for (uint32_t i = 0; i < job->shape.members; i++) {
		struct worker *w = job->reservation[i].worker;

		for (uint64_t rest = job->reservation[i].mask; rest; rest &= rest - 1)
			w->reserver[__builtin_ctzll(rest)] = NULL;
		w->earmarked &= ~job->reservation[i].mask;
		if (!job->clearing)
			continue;
		w->reserved &= ~job->reservation[i].mask;
		w->cores_reserved -= job->shape.cores;
		w->memory_reserved -= job->shape.memory_mb;
	}
	TALLOC_FREE(job->reservation);
	job->clearing = false;
	g_ptr_array_remove(p->reserved, job);
	p->gen++;
	p->work_due = true;
}

uint32_t topo_total_accelerators(const struct place *p)
{
	uint32_t total = 0;

	for (guint i = 0; i < p->workers->len; i++) {
		const struct worker *w = p->workers->pdata[i];

		if (w->up)
			total += w->accelerators;
	}
	return total;
}
