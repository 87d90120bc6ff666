#include "place_impl.h"

#include <string.h>

#define REPACK_ATTEMPTS_MAX 16	  /* full repackings to add units that don't fit otherwise */
#define UNMET_RETRIES_PER_STEP 16 /* unmet guarantees that are tried again per step */

static void account_member_resources(struct member *member, int sign)
{
	const struct place_shape *shape = &member->job->shape;
	struct worker *worker = member->worker;

	if (member->cell) {
		member->cell->cores_used += sign * shape->cores;
		member->cell->memory_used += sign * shape->memory_mb;
		return;
	}
	member->job->org->borrowed += sign * shape->accelerators;
	if (sched_evictable(member->job))
		return;
	worker->cores_pinned += sign * shape->cores;
	worker->memory_pinned += sign * shape->memory_mb;
}

static void set_member_cell(struct member *member, struct cell *cell)
{
	account_member_resources(member, -1);
	member->cell = cell;
	account_member_resources(member, 1);
}

static struct cell *find_cell(const struct member *member)
{
	const struct place_shape *shape = &member->job->shape;

	for (guint i = 0; i < member->worker->cells->len; i++) {
		struct cell *cell = member->worker->cells->pdata[i];

		if (cell->unit->org != member->job->org || (member->mask & ~cell->mask))
			continue;
		if (!search_fits_guarantee(shape, &cell->unit->shape))
			continue;
		if (cell->cores - cell->cores_used < shape->cores)
			continue;
		if (cell->memory - cell->memory_used < shape->memory_mb)
			continue;
		return cell;
	}
	return NULL;
}

/* Assigns cells to all members of a job, or to none of them. */
static void attach_job_to_cells(struct job *job)
{
	bool complete = true;

	for (uint32_t i = 0; i < job->shape.members; i++) {
		if (!job->members[i].cell)
			set_member_cell(&job->members[i], find_cell(&job->members[i]));
		complete &= job->members[i].cell != NULL;
	}
	for (uint32_t i = 0; i < job->shape.members && !complete; i++)
		set_member_cell(&job->members[i], NULL);
}

static void detach_jobs_from_cell(struct cell *cell)
{
	struct worker *worker = cell->worker;

	for (guint i = 0; i < worker->members->len; i++) {
		struct member *member = worker->members->pdata[i];

		if (member->cell != cell)
			continue;
		for (uint32_t k = 0; k < member->job->shape.members; k++)
			set_member_cell(&member->job->members[k], NULL);
	}
}

static bool reserved_in_unit(const struct job *job, const struct unit *unit)
{
	for (uint32_t i = 0; i < job->shape.members; i++) {
		const struct cell *cell = job->reservation[i].cell;

		if (cell && cell->unit == unit)
			return true;
	}
	return false;
}

static void drop_reservations_in_unit(struct place *place, const struct unit *unit)
{
	for (guint i = place->reserved->len; i > 0; i--) {
		struct job *job = place->reserved->pdata[i - 1];

		if (reserved_in_unit(job, unit))
			topo_unreserve(place, job);
	}
}

void guarantee_clear_placement(struct place *place, struct unit *unit)
{
	drop_reservations_in_unit(place, unit);
	for (uint32_t i = 0; i < unit->shape.members; i++) {
		struct cell *cell = &unit->cells[i];
		struct worker *worker = cell->worker;

		if (!worker)
			continue;
		detach_jobs_from_cell(cell);
		worker->guaranteed_mask &= ~cell->mask;
		worker->cores_guaranteed -= cell->cores;
		worker->memory_guaranteed -= cell->memory;
		g_ptr_array_remove_fast(worker->cells, cell);
		cell->worker = NULL;
	}
	unit->met = false;
}

static uint32_t cell_share(uint32_t asked, uint32_t width, const struct worker *worker,
			   uint32_t total, uint32_t committed)
{
	uint32_t part = asked;

	/*
	 * A guarantee that asks for no cores or memory gets a share of the worker's cores or memory
	 * in proportion to its accelerators. One eighth of them stays out of such shares, for jobs
	 * without accelerators that may not be evicted.
	 */
	if (asked == 0 && width && worker->accelerators)
		part = (uint32_t)((uint64_t)total * 7 / 8 * width / worker->accelerators);
	return MIN(part, total > committed ? total - committed : 0);
}

static void set_unit_placement(struct place *place, struct unit *unit, const struct member *members)
{
	for (uint32_t i = 0; i < unit->shape.members; i++) {
		struct cell *cell = &unit->cells[i];
		struct worker *worker = members[i].worker;
		uint32_t width = unit->shape.accelerators;

		if (!worker)
			continue;
		cell->worker = worker;
		cell->mask = members[i].mask;
		cell->cores_used = 0;
		cell->memory_used = 0;
		cell->cores = cell_share(unit->shape.cores, width, worker, worker->cores,
					 worker->cores_guaranteed + worker->cores_pinned);
		cell->memory = cell_share(unit->shape.memory_mb, width, worker, worker->memory,
					  worker->memory_guaranteed + worker->memory_pinned);
		worker->guaranteed_mask |= cell->mask;
		worker->cores_guaranteed += cell->cores;
		worker->memory_guaranteed += cell->memory;
		g_ptr_array_add(worker->cells, cell);
	}
	unit->met = true;
	unit->org->guaranteed_pass_due = true;
}

static void attach_jobs_to_unit(struct unit *unit)
{
	for (uint32_t i = 0; i < unit->shape.members; i++) {
		struct worker *worker = unit->cells[i].worker;

		for (guint k = 0; worker && k < worker->members->len; k++) {
			struct member *member = worker->members->pdata[k];

			if (member->job->org == unit->org && !member->cell)
				attach_job_to_cells(member->job);
		}
	}
}

static bool find_unit_placement(struct place *place, struct unit *unit, enum query_mode mode,
				struct member *out)
{
	struct query query = {
		.mode = mode,
		.shape = &unit->shape,
		.org = unit->org,
		.unit = unit,
		.now_ms = place->now_ms,
	};

	return search_placement(place, &query, out);
}

static bool place_unit(struct place *place, struct unit *unit)
{
	struct member out[PLACE_MEMBERS_MAX];

	if (!find_unit_placement(place, unit, QUERY_GUARANTEE, out))
		return false;
	set_unit_placement(place, unit, out);
	return true;
}

static uint64_t unit_accelerators(const struct unit *unit)
{
	return (uint64_t)unit->shape.members * unit->shape.accelerators;
}

static bool has_pinned_work(const struct place *place, const struct organisation *org)
{
	for (guint i = 0; i < place->workers->len; i++) {
		const struct worker *worker = place->workers->pdata[i];

		for (guint k = 0; k < worker->members->len; k++) {
			const struct member *member = worker->members->pdata[k];

			if (member->job->org == org && !sched_evictable(member->job))
				return true;
		}
	}
	return false;
}

/*
 * Units of organisations that run jobs that may not be evicted come first, since they must be
 * placed over these jobs. Then come large shapes.
 */
static int compare_for_packing(const void *a, const void *b)
{
	const struct unit *x = *(struct unit *const *)a;
	const struct unit *y = *(struct unit *const *)b;

	if (x->org->pinned_work != y->org->pinned_work)
		return x->org->pinned_work ? -1 : 1;
	if (unit_accelerators(x) != unit_accelerators(y))
		return unit_accelerators(x) > unit_accelerators(y) ? -1 : 1;
	if (x->shape.accelerators != y->shape.accelerators)
		return x->shape.accelerators > y->shape.accelerators ? -1 : 1;
	if (x->shape.cores != y->shape.cores)
		return x->shape.cores > y->shape.cores ? -1 : 1;
	return 0;
}

/*
 * Clears the placement of every unit and places the first @count of @units, which are sorted by
 * priority. Return: false if they don't all fit.
 */
static bool pack_prefix(struct place *place, struct unit **units, size_t count)
{
	struct unit **sorted = talloc_memdup(place, units, (count + 1) * sizeof(void *));
	bool complete = true;

	for (size_t i = 0; i < place->unit_count; i++)
		guarantee_clear_placement(place, place->units[i]);
	qsort(sorted, count, sizeof(void *), compare_for_packing);
	for (size_t i = 0; i < count && complete; i++)
		complete = place_unit(place, sorted[i]);
	talloc_free(sorted);
	return complete;
}

/*
 * Accepts units by priority, then age of the organisation: a unit is accepted if all its members
 * fit together with the units that are accepted already.
 */
static void pack_by_priority(struct place *place)
{
	struct unit **accepted = talloc_array(place, struct unit *, place->unit_count + 1);
	size_t count = 0;
	int attempts = 0;

	for (size_t i = 0; i < place->unit_count; i++)
		guarantee_clear_placement(place, place->units[i]);
	for (size_t i = 0; i < place->unit_count; i++) {
		bool fits = place_unit(place, place->units[i]);

		accepted[count] = place->units[i];
		if (!fits && attempts++ < REPACK_ATTEMPTS_MAX) {
			fits = pack_prefix(place, accepted, count + 1);
			if (!fits)
				pack_prefix(place, accepted, count);
		}
		count += fits;
	}
	for (size_t i = 0; i < count; i++) {
		if (!accepted[i]->met)
			place_unit(place, accepted[i]);
	}
	talloc_free(accepted);
}

static bool unit_placement_invalid(const struct unit *unit)
{
	for (uint32_t i = 0; i < unit->shape.members; i++) {
		const struct worker *worker = unit->cells[i].worker;

		if (!worker || !topo_worker_usable(worker) ||
		    (unit->cells[i].mask & ~worker->all_mask))
			return true;
	}
	return false;
}

static bool place_unmet_units(struct place *place, size_t limit)
{
	bool complete = true;

	for (size_t i = 0; i < place->unit_count && limit; i++) {
		if (place->units[i]->met)
			continue;
		limit--;
		if (place_unit(place, place->units[i]))
			attach_jobs_to_unit(place->units[i]);
		else
			complete = false;
	}
	return complete;
}

static void attach_jobs_to_all_units(struct place *place)
{
	for (size_t i = 0; i < place->unit_count; i++)
		attach_jobs_to_unit(place->units[i]);
}

static void repack_all_units(struct place *place)
{
	for (guint i = 0; i < place->orgs->len; i++) {
		struct organisation *org = place->orgs->pdata[i];

		org->pinned_work = org->unit_count && has_pinned_work(place, org);
	}
	if (!pack_prefix(place, place->units, place->unit_count))
		pack_by_priority(place);
	attach_jobs_to_all_units(place);
}

static void emit_guarantee_state(struct place *place, struct organisation *org)
{
	bool unmet = false;

	for (size_t i = 0; i < org->unit_count; i++)
		unmet |= !org->units[i]->met;
	if (unmet == org->reported_unmet)
		return;
	org->reported_unmet = unmet;
	sched_emit(place, &(struct place_decision){
				  .kind = unmet ? PLACE_GUARANTEE_UNMET : PLACE_GUARANTEE_MET,
				  .organisation = org->name,
				  .reason = unmet ? "too few usable workers for all guarantees"
						  : "the guarantee fits again",
			  });
}

/*
 * Places the guarantees on usable workers. Valid placements stay, unless an unmet guarantee fits
 * only after all of them are packed again.
 */
void guarantee_refresh(struct place *place, uint64_t now_ms)
{
	if (!place->guarantees_dirty) {
		if (place->units_unmet && place->units_tried_gen != place->gen)
			place_unmet_units(place, UNMET_RETRIES_PER_STEP);
	} else {
		for (size_t i = 0; i < place->unit_count; i++) {
			if (unit_placement_invalid(place->units[i]))
				guarantee_clear_placement(place, place->units[i]);
		}
		if (!place_unmet_units(place, SIZE_MAX))
			repack_all_units(place);
		place->guarantees_dirty = false;
		place->gen++;
		place->queue_pass_due = true;
	}
	place->units_tried_gen = place->gen;
	place->units_unmet = 0;
	for (size_t i = 0; i < place->unit_count; i++)
		place->units_unmet += !place->units[i]->met;
	for (guint i = 0; i < place->orgs->len && place->emit; i++)
		emit_guarantee_state(place, place->orgs->pdata[i]);
}

bool guarantee_same_shape(const struct place_shape *a, const struct place_shape *b)
{
	return memcmp(a, b, sizeof(*a)) == 0;
}

static bool unit_idle(const struct unit *unit)
{
	for (uint32_t i = 0; i < unit->shape.members; i++) {
		const struct cell *cell = &unit->cells[i];

		if (!cell->worker || (cell->worker->used_mask & cell->mask) ||
		    (cell->worker->reserved_mask & cell->mask) ||
		    (cell->worker->reported_mask & cell->mask) || cell->cores_used)
			return false;
		if (cell->worker->cores - MIN(cell->worker->cores, cell->worker->cores_used) <
		    cell->cores)
			return false;
	}
	return true;
}

static bool unit_unused_by_owner(const struct unit *unit)
{
	for (uint32_t i = 0; i < unit->shape.members; i++) {
		const struct cell *cell = &unit->cells[i];

		for (guint k = 0; cell->worker && k < cell->worker->members->len; k++) {
			const struct member *member = cell->worker->members->pdata[k];

			if (member->cell == cell ||
			    (member->job->org == unit->org && (member->mask & cell->mask)))
				return false;
		}
		for (uint64_t rest = cell->worker ? cell->mask & cell->worker->reserved_mask : 0;
		     rest; rest &= rest - 1) {
			if (cell->worker->reserving_jobs[__builtin_ctzll(rest)]->org == unit->org)
				return false;
		}
	}
	return true;
}

static void save_unit_placement(const struct unit *unit, struct member *out)
{
	for (uint32_t i = 0; i < unit->shape.members; i++)
		out[i] = (struct member){.worker = unit->cells[i].worker,
					 .mask = unit->cells[i].mask};
}

static bool may_take_placement(const struct unit *unit, const struct organisation *org)
{
	for (uint32_t i = 0; i < unit->shape.members; i++) {
		const struct cell *cell = &unit->cells[i];

		for (guint k = 0; k < cell->worker->members->len; k++) {
			const struct member *member = cell->worker->members->pdata[k];

			if ((member->mask & cell->mask) && member->job->org != org &&
			    !sched_evictable(member->job))
				return false;
		}
	}
	return true;
}

/* Exchanges placements with another organisation's unit of equal shape whose cells are all idle. */
static bool swap_with_idle_unit(struct place *place, struct unit *unit)
{
	struct member ours[PLACE_MEMBERS_MAX];
	struct member theirs[PLACE_MEMBERS_MAX];

	for (size_t i = 0; i < place->unit_count; i++) {
		struct unit *other = place->units[i];

		if (other == unit || other->org == unit->org || !other->met ||
		    !guarantee_same_shape(&other->shape, &unit->shape) || !unit_idle(other) ||
		    !may_take_placement(unit, other->org))
			continue;
		save_unit_placement(unit, ours);
		save_unit_placement(other, theirs);
		guarantee_clear_placement(place, unit);
		guarantee_clear_placement(place, other);
		set_unit_placement(place, unit, theirs);
		set_unit_placement(place, other, ours);
		return true;
	}
	return false;
}

static bool move_unit_to_free(struct place *place, struct unit *unit)
{
	struct member old[PLACE_MEMBERS_MAX] = {0};
	struct member out[PLACE_MEMBERS_MAX] = {0};
	bool found;

	save_unit_placement(unit, old);
	guarantee_clear_placement(place, unit);
	found = find_unit_placement(place, unit, QUERY_GUARANTEE_FREE, out);
	set_unit_placement(place, unit, found ? out : old);
	return found;
}

/**
 * guarantee_move_unused_unit() - move an unused unit of the job's organisation to free accelerators
 *
 * The unit goes to free accelerators or swaps with an idle unit, so that the job can start there
 * without an eviction. Called before jobs that borrow capacity are evicted
 * for the job.
 *
 * Return: true if a unit was moved.
 */
bool guarantee_move_unused_unit(struct place *place, struct job *job, uint64_t now_ms)
{
	for (size_t i = 0; i < job->org->unit_count; i++) {
		struct unit *unit = job->org->units[i];
		const struct place_shape *shape = &unit->shape;

		if (!unit->met || shape->accelerators < job->shape.accelerators ||
		    shape->members < job->shape.members || unit_idle(unit) ||
		    !unit_unused_by_owner(unit))
			continue;
		if (move_unit_to_free(place, unit) || swap_with_idle_unit(place, unit))
			return true;
	}
	return false;
}

/**
 * guarantee_move_units_off() - move the units of a worker to free accelerators of other workers
 *
 * Evicts nothing.
 *
 * Return: true if no cell is left on the worker. On false some units may have been moved already.
 */
bool guarantee_move_units_off(struct place *place, struct worker *worker, uint64_t now_ms)
{
	bool saved = worker->offered;
	bool moved = true;

	worker->offered = true;
	while (moved && worker->cells->len) {
		struct cell *cell = worker->cells->pdata[0];

		moved = unit_unused_by_owner(cell->unit) && move_unit_to_free(place, cell->unit);
	}
	worker->offered = saved;
	return worker->cells->len == 0;
}

bool guarantee_includes_shape(const struct organisation *org, const struct place_shape *shape)
{
	for (size_t i = 0; i < org->unit_count; i++) {
		if (search_fits_guarantee(shape, &org->units[i]->shape))
			return true;
	}
	return false;
}

/*
 * True if the waiting job may evict others: only while the organisation's use, inside its cells and
 * on borrowed accelerators, stays within its guarantee. Otherwise an organisation that borrows much
 * would claim the same guarantee twice.
 */
bool guarantee_permits_eviction(const struct job *job)
{
	return job->org->used_inside + job->shape.members * job->shape.accelerators <=
	       job->org->guaranteed;
}

/* True if the placed job counts as use of the guarantee, wherever it runs. */
bool guarantee_covers_job(const struct job *job)
{
	return job->counted_inside && job->org->used_inside <= job->org->guaranteed;
}
