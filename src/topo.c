#include "place_impl.h"

#include <string.h>

/* Lost workers are kept this long, since the capacity check at submission counts them. */
#define LOST_WORKER_RETENTION_MS 3600000

static int find_or_add_zone(struct place *place, const char *name)
{
	struct zone *zone;

	for (guint i = 0; i < place->zones->len; i++) {
		zone = place->zones->pdata[i];
		if (strcmp(zone->name, name) == 0)
			return (int)i;
	}
	zone = talloc_zero(place, struct zone);
	zone->name = talloc_strdup(zone, name);
	g_ptr_array_add(place->zones, zone);
	return (int)place->zones->len - 1;
}

static int find_or_add_rack(struct place *place, int zone, const char *name)
{
	struct rack *rack;

	for (guint i = 0; i < place->racks->len; i++) {
		rack = place->racks->pdata[i];
		if (rack->zone == zone && strcmp(rack->name, name) == 0)
			return (int)i;
	}
	rack = talloc_zero(place, struct rack);
	rack->name = talloc_strdup(rack, name);
	rack->zone = zone;
	g_ptr_array_add(place->racks, rack);
	return (int)place->racks->len - 1;
}

static int worker_destructor(struct worker *worker)
{
	g_ptr_array_free(worker->members, TRUE);
	g_ptr_array_free(worker->cells, TRUE);
	return 0;
}

static void remove_lost_workers(struct place *place)
{
	for (guint i = 0; i < place->workers->len;) {
		struct worker *worker = place->workers->pdata[i];

		if (worker->up || worker->members->len || worker->cells->len ||
		    worker->reserved_mask || worker->cores_reserved ||
		    worker->down_ms + LOST_WORKER_RETENTION_MS > place->now_ms) {
			i++;
			continue;
		}
		place->fitting_count = 0;
		place->fitting_next = 0;
		g_hash_table_remove(place->worker_names, worker->name);
		g_ptr_array_remove_index(place->workers, i);
		talloc_free(worker);
		place->order_dirty = true;
	}
}

/*
 * Jobs point to the workers that they failed on, and these pointers must be dropped before a worker
 * is freed. That visits every job, so while there are jobs it is done only when the number of
 * workers is a multiple of 64.
 */
static bool removal_due(const struct place *place)
{
	return g_hash_table_size(place->jobs) == 0 || place->workers->len % 64 == 0;
}

static void drop_lost_failed_workers(struct place *place)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, place->jobs);
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

struct worker *topo_get_worker(struct place *place, const char *name, bool create)
{
	struct worker *worker = g_hash_table_lookup(place->worker_names, name);

	if (worker || !create)
		return worker;
	if (removal_due(place)) {
		drop_lost_failed_workers(place);
		remove_lost_workers(place);
	}
	worker = talloc_zero(place, struct worker);
	worker->name = talloc_strdup(worker, name);
	worker->members = g_ptr_array_new();
	worker->cells = g_ptr_array_new();
	worker->down_ms = place->now_ms;
	talloc_set_destructor(worker, worker_destructor);
	g_ptr_array_add(place->workers, worker);
	g_hash_table_insert(place->worker_names, worker->name, worker);
	place->order_dirty = true;
	return worker;
}

void topo_update_worker(struct place *place, struct worker *worker,
			const struct place_worker_spec *spec)
{
	worker->accelerators = MIN(spec->accelerators, PLACE_ACCELERATORS_MAX);
	worker->cores = spec->cores;
	worker->memory = spec->memory_mb;
	worker->all_mask = topo_run_mask(0, worker->accelerators);
	place->fitting_count = 0;
	place->fitting_next = 0;
	worker->zone = find_or_add_zone(place, spec->zone ? spec->zone : "");
	worker->rack = find_or_add_rack(place, worker->zone, spec->rack ? spec->rack : "");
	place->order_dirty = true;
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

/* Grows the scratch arrays of a search to hold at least @count slots. */
void topo_grow_slots(struct place *place, size_t count)
{
	if (place->slot_capacity > count)
		return;
	place->slot_capacity = 2 * (count + 1);
	place->slots = talloc_realloc(place, place->slots, struct slot, place->slot_capacity);
	place->trial_slots =
		talloc_realloc(place, place->trial_slots, struct slot, place->slot_capacity);
}

/* Sorts workers so that those of a rack, and the racks of a zone, are adjacent in place->order. */
void topo_sort_workers(struct place *place)
{
	if (place->order_dirty) {
		place->order = talloc_realloc(place, place->order, struct worker *,
					      place->workers->len + 1);
		place->order_count = 0;
		for (guint i = 0; i < place->workers->len; i++) {
			struct worker *worker = place->workers->pdata[i];

			if (worker->up)
				place->order[place->order_count++] = worker;
		}
		qsort(place->order, place->order_count, sizeof(void *), compare_workers);
		for (size_t i = 0; i < place->order_count; i++)
			place->order[i]->order = (uint32_t)i;
		place->order_dirty = false;
	}
	topo_grow_slots(place, place->order_count + place->cell_count);
}

bool topo_worker_usable(const struct worker *worker)
{
	return worker->up && !worker->draining && !worker->quarantined && !worker->offered;
}

uint64_t topo_run_mask(uint32_t offset, uint32_t length)
{
	if (length == 0)
		return 0;
	if (length >= 64)
		return UINT64_MAX;
	return ((1ULL << length) - 1) << offset;
}

/*
 * Value of free accelerators as aligned blocks, as in a buddy allocator. Each free aligned block of
 * 2^k accelerators adds 2^k, and the smaller blocks inside it add theirs, so taking a small run out
 * of a large block costs more than out of a small one.
 */
double topo_buddy_value(uint64_t free_mask)
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

static void account_grant(struct place *place, struct member *member, bool granted)
{
	struct worker *worker = member->worker;
	struct job *job = member->job;
	bool pinned = !sched_evictable(job);

	for (uint64_t rest = member->mask; rest; rest &= rest - 1)
		worker->granted_jobs[__builtin_ctzll(rest)] = granted ? job : NULL;
	if (granted) {
		worker->used_mask |= member->mask;
		worker->reported_mask &= ~member->mask;
		worker->cores_used += job->shape.cores;
		worker->memory_used += job->shape.memory_mb;
		g_ptr_array_add(worker->members, member);
	} else {
		worker->used_mask &= ~member->mask;
		worker->cores_used -= job->shape.cores;
		worker->memory_used -= job->shape.memory_mb;
		worker->released_ms = place->now_ms;
		g_ptr_array_remove_fast(worker->members, member);
		if (worker->members->len == 0)
			worker->idle_since_ms = place->now_ms;
	}
	if (pinned && !member->cell) {
		worker->cores_pinned += granted ? job->shape.cores : -job->shape.cores;
		worker->memory_pinned += granted ? job->shape.memory_mb : -job->shape.memory_mb;
	}
	if (member->cell) {
		member->cell->cores_used += granted ? job->shape.cores : -job->shape.cores;
		member->cell->memory_used += granted ? job->shape.memory_mb : -job->shape.memory_mb;
	} else {
		job->org->borrowed += granted ? job->shape.accelerators : -job->shape.accelerators;
	}
	job->org->used += granted ? job->shape.accelerators : -job->shape.accelerators;
	job->org->used_cores += granted ? job->shape.cores : -job->shape.cores;
}

/* Grants @members, an array of shape.members elements, to the job, which becomes its owner. */
void topo_grant(struct place *place, struct job *job, struct member *members)
{
	job->members = members;
	for (uint32_t i = 0; i < job->shape.members; i++)
		account_grant(place, &members[i], true);
	place->placed++;
	job->counted_large = sched_large(place, job);
	if (job->counted_large)
		place->large_used += job->shape.members * job->shape.accelerators;
	job->counted_inside = guarantee_includes_shape(job->org, &job->shape);
	if (job->counted_inside)
		job->org->used_inside += job->shape.members * job->shape.accelerators;
}

void topo_release(struct place *place, struct job *job)
{
	if (!job->members)
		return;
	for (uint32_t i = 0; i < job->shape.members; i++)
		account_grant(place, &job->members[i], false);
	TALLOC_FREE(job->members);
	if (job->counted_large)
		place->large_used -= job->shape.members * job->shape.accelerators;
	if (job->counted_inside)
		job->org->used_inside -= job->shape.members * job->shape.accelerators;
	place->placed--;
	place->gen++;
	place->queue_pass_due = true;
	job->org->guaranteed_pass_due = true;
}

void topo_reserve(struct place *place, struct job *job, struct member *members, bool clearing)
{
	job->reservation = members;
	job->clearing = clearing;
	for (uint32_t i = 0; i < job->shape.members; i++) {
		struct worker *worker = members[i].worker;

		for (uint64_t rest = members[i].mask; rest; rest &= rest - 1)
			worker->reserving_jobs[__builtin_ctzll(rest)] = job;
		if (!clearing) {
			worker->draining_mask |= members[i].mask;
			continue;
		}
		worker->reserved_mask |= members[i].mask;
		worker->cores_reserved += job->shape.cores;
		worker->memory_reserved += job->shape.memory_mb;
	}
	g_ptr_array_add(place->reserved, job);
}

void topo_unreserve(struct place *place, struct job *job)
{
	if (!job->reservation)
		return;
	for (uint32_t i = 0; i < job->shape.members; i++) {
		struct worker *worker = job->reservation[i].worker;

		for (uint64_t rest = job->reservation[i].mask; rest; rest &= rest - 1)
			worker->reserving_jobs[__builtin_ctzll(rest)] = NULL;
		worker->draining_mask &= ~job->reservation[i].mask;
		if (!job->clearing)
			continue;
		worker->reserved_mask &= ~job->reservation[i].mask;
		worker->cores_reserved -= job->shape.cores;
		worker->memory_reserved -= job->shape.memory_mb;
	}
	TALLOC_FREE(job->reservation);
	job->clearing = false;
	g_ptr_array_remove(place->reserved, job);
	place->gen++;
	place->queue_pass_due = true;
}

uint32_t topo_total_accelerators(const struct place *place)
{
	uint32_t total = 0;

	for (guint i = 0; i < place->workers->len; i++) {
		const struct worker *worker = place->workers->pdata[i];

		if (worker->up)
			total += worker->accelerators;
	}
	return total;
}
