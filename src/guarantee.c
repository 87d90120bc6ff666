#include "place_impl.h"

#include <string.h>

#define REPACK_TRIES_MAX 16 /* complete repackings for guarantees that don't fit incrementally */
#define RETRIES_MAX 16	    /* guarantees without a home tried again per step */

static void attach_cores(struct member *m, int sign)
{
	const struct place_shape *shape = &m->job->shape;
	struct worker *w = m->worker;

	if (m->cell) {
		m->cell->cores_used += sign * shape->cores;
		m->cell->memory_used += sign * shape->memory_mb;
		return;
	}
	m->job->org->borrowed += sign * shape->accelerators;
	if (sched_evictable(m->job))
		return;
	w->cores_pinned += sign * shape->cores;
	w->memory_pinned += sign * shape->memory_mb;
}

static void set_cell(struct member *m, struct cell *cell)
{
	attach_cores(m, -1);
	m->cell = cell;
	attach_cores(m, 1);
}

static struct cell *find_cell(const struct member *m)
{
	const struct place_shape *shape = &m->job->shape;

	for (guint i = 0; i < m->worker->cells->len; i++) {
		struct cell *c = m->worker->cells->pdata[i];

		if (c->unit->org != m->job->org || (m->mask & ~c->mask))
			continue;
		if (!search_inside(shape, &c->unit->shape))
			continue;
		if (c->cores - c->cores_used < shape->cores)
			continue;
		if (c->memory - c->memory_used < shape->memory_mb)
			continue;
		return c;
	}
	return NULL;
}

/* A job is attached to cells with all its members or with none. */
static void attach_job(struct job *job)
{
	bool complete = true;

	for (uint32_t i = 0; i < job->shape.members; i++) {
		if (!job->members[i].cell)
			set_cell(&job->members[i], find_cell(&job->members[i]));
		complete &= job->members[i].cell != NULL;
	}
	for (uint32_t i = 0; i < job->shape.members && !complete; i++)
		set_cell(&job->members[i], NULL);
}

static void detach_cell(struct cell *cell)
{
	struct worker *w = cell->worker;

	for (guint i = 0; i < w->members->len; i++) {
		struct member *m = w->members->pdata[i];

		if (m->cell != cell)
			continue;
		for (uint32_t k = 0; k < m->job->shape.members; k++)
			set_cell(&m->job->members[k], NULL);
	}
}

static bool reserved_in_unit(const struct job *job, const struct unit *unit)
{
	for (uint32_t i = 0; i < job->shape.members; i++) {
		const struct cell *c = job->reservation[i].cell;

		if (c && c->unit == unit)
			return true;
	}
	return false;
}

static void drop_reservations(struct place *p, const struct unit *unit)
{
	for (guint i = p->reserved->len; i > 0; i--) {
		struct job *job = p->reserved->pdata[i - 1];

		if (reserved_in_unit(job, unit))
			topo_unreserve(p, job);
	}
}

void guarantee_clear_home(struct place *p, struct unit *unit)
{
	drop_reservations(p, unit);
	for (uint32_t i = 0; i < unit->shape.members; i++) {
		struct cell *c = &unit->cells[i];
		struct worker *w = c->worker;

		if (!w)
			continue;
		detach_cell(c);
		w->home &= ~c->mask;
		w->cores_home -= c->cores;
		w->memory_home -= c->memory;
		g_ptr_array_remove_fast(w->cells, c);
		c->worker = NULL;
	}
	unit->met = false;
}

static uint32_t cell_part(uint32_t asked, uint32_t width, const struct worker *w, uint32_t total,
			  uint32_t committed)
{
	uint32_t part = asked;

	/*
	 * A guarantee that names no cores or memory includes its share of the worker's. An eighth
	 * stays outside, for work without accelerators that may not be evicted.
	 */
	if (asked == 0 && width && w->accelerators)
		part = (uint32_t)((uint64_t)total * 7 / 8 * width / w->accelerators);
	return MIN(part, total > committed ? total - committed : 0);
}

static void set_home(struct place *p, struct unit *unit, const struct member *members)
{
	for (uint32_t i = 0; i < unit->shape.members; i++) {
		struct cell *c = &unit->cells[i];
		struct worker *w = members[i].worker;
		uint32_t width = unit->shape.accelerators;

		if (!w)
			continue;
		c->worker = w;
		c->mask = members[i].mask;
		c->cores_used = 0;
		c->memory_used = 0;
		c->cores = cell_part(unit->shape.cores, width, w, w->cores,
				     w->cores_home + w->cores_pinned);
		c->memory = cell_part(unit->shape.memory_mb, width, w, w->memory,
				      w->memory_home + w->memory_pinned);
		w->home |= c->mask;
		w->cores_home += c->cores;
		w->memory_home += c->memory;
		g_ptr_array_add(w->cells, c);
	}
	unit->met = true;
	unit->org->dirty = true;
}

static void attach_unit(struct unit *unit)
{
	for (uint32_t i = 0; i < unit->shape.members; i++) {
		struct worker *w = unit->cells[i].worker;

		for (guint k = 0; w && k < w->members->len; k++) {
			struct member *m = w->members->pdata[k];

			if (m->job->org == unit->org && !m->cell)
				attach_job(m->job);
		}
	}
}

static bool find_home(struct place *p, struct unit *unit, enum query_mode mode, struct member *out)
{
	struct query q = {
		.mode = mode,
		.shape = &unit->shape,
		.org = unit->org,
		.unit = unit,
		.now_ms = p->now_ms,
	};

	return search_place(p, &q, out);
}

static bool place_home(struct place *p, struct unit *unit)
{
	struct member out[PLACE_MEMBERS_MAX];

	if (!find_home(p, unit, QUERY_HOME, out))
		return false;
	set_home(p, unit, out);
	return true;
}

static uint64_t unit_size(const struct unit *u)
{
	return (uint64_t)u->shape.members * u->shape.accelerators;
}

static bool has_pinned_work(const struct place *p, const struct organisation *org)
{
	for (guint i = 0; i < p->workers->len; i++) {
		const struct worker *w = p->workers->pdata[i];

		for (guint k = 0; k < w->members->len; k++) {
			const struct member *m = w->members->pdata[k];

			if (m->job->org == org && !sched_evictable(m->job))
				return true;
		}
	}
	return false;
}

/* Homes that must cover work that may not be evicted go first, then large shapes. */
static int compare_for_packing(const void *a, const void *b)
{
	const struct unit *x = *(struct unit *const *)a;
	const struct unit *y = *(struct unit *const *)b;

	if (x->org->pinned_work != y->org->pinned_work)
		return x->org->pinned_work ? -1 : 1;
	if (unit_size(x) != unit_size(y))
		return unit_size(x) > unit_size(y) ? -1 : 1;
	if (x->shape.accelerators != y->shape.accelerators)
		return x->shape.accelerators > y->shape.accelerators ? -1 : 1;
	if (x->shape.cores != y->shape.cores)
		return x->shape.cores > y->shape.cores ? -1 : 1;
	return 0;
}

/* Packs the first @count of @units (by priority) afresh; false if they don't all fit. */
static bool pack_prefix(struct place *p, struct unit **units, size_t count)
{
	struct unit **sorted = talloc_memdup(p, units, (count + 1) * sizeof(void *));
	bool complete = true;

	for (size_t i = 0; i < p->unit_count; i++)
		guarantee_clear_home(p, p->units[i]);
	qsort(sorted, count, sizeof(void *), compare_for_packing);
	for (size_t i = 0; i < count && complete; i++)
		complete = place_home(p, sorted[i]);
	talloc_free(sorted);
	return complete;
}

/* Serves by priority, then age: whole shapes, each added if the accepted ones still fit. */
static void pack_by_priority(struct place *p)
{
	struct unit **accepted = talloc_array(p, struct unit *, p->unit_count + 1);
	size_t count = 0;
	int tries = 0;

	for (size_t i = 0; i < p->unit_count; i++)
		guarantee_clear_home(p, p->units[i]);
	for (size_t i = 0; i < p->unit_count; i++) {
		bool fits = place_home(p, p->units[i]);

		accepted[count] = p->units[i];
		if (!fits && tries++ < REPACK_TRIES_MAX) {
			fits = pack_prefix(p, accepted, count + 1);
			if (!fits)
				pack_prefix(p, accepted, count);
		}
		count += fits;
	}
	for (size_t i = 0; i < count; i++) {
		if (!accepted[i]->met)
			place_home(p, accepted[i]);
	}
	talloc_free(accepted);
}

static bool unit_broken(const struct unit *unit)
{
	for (uint32_t i = 0; i < unit->shape.members; i++) {
		const struct worker *w = unit->cells[i].worker;

		if (!w || !topo_usable(w) || (unit->cells[i].mask & ~w->all))
			return true;
	}
	return false;
}

static bool place_missing(struct place *p, size_t limit)
{
	bool complete = true;

	for (size_t i = 0; i < p->unit_count && limit; i++) {
		if (p->units[i]->met)
			continue;
		limit--;
		if (place_home(p, p->units[i]))
			attach_unit(p->units[i]);
		else
			complete = false;
	}
	return complete;
}

static void attach_all(struct place *p)
{
	for (size_t i = 0; i < p->unit_count; i++)
		attach_unit(p->units[i]);
}

static void repack(struct place *p)
{
	for (guint i = 0; i < p->orgs->len; i++) {
		struct organisation *org = p->orgs->pdata[i];

		org->pinned_work = org->unit_count && has_pinned_work(p, org);
	}
	if (!pack_prefix(p, p->units, p->unit_count))
		pack_by_priority(p);
	attach_all(p);
}

static void report(struct place *p, struct organisation *org)
{
	bool unmet = false;

	for (size_t i = 0; i < org->unit_count; i++)
		unmet |= !org->units[i]->met;
	if (unmet == org->reported_unmet)
		return;
	org->reported_unmet = unmet;
	sched_emit(p, &(struct place_decision){
			      .kind = unmet ? PLACE_GUARANTEE_UNMET : PLACE_GUARANTEE_MET,
			      .organisation = org->name,
			      .reason = unmet ? "too few usable workers for all guarantees"
					      : "the guarantee fits again",
		      });
}

/* Gives every guarantee a home: keeps those that stand, repacks when one cannot be added. */
void guarantee_refresh(struct place *p, uint64_t now_ms)
{
	if (!p->homes_dirty) {
		if (p->units_unmet && p->units_tried_gen != p->gen)
			place_missing(p, RETRIES_MAX);
	} else {
		for (size_t i = 0; i < p->unit_count; i++) {
			if (unit_broken(p->units[i]))
				guarantee_clear_home(p, p->units[i]);
		}
		if (!place_missing(p, SIZE_MAX))
			repack(p);
		p->homes_dirty = false;
		p->gen++;
		p->work_due = true;
	}
	p->units_tried_gen = p->gen;
	p->units_unmet = 0;
	for (size_t i = 0; i < p->unit_count; i++)
		p->units_unmet += !p->units[i]->met;
	for (guint i = 0; i < p->orgs->len && p->emit; i++)
		report(p, p->orgs->pdata[i]);
}

bool guarantee_same_shape(const struct place_shape *a, const struct place_shape *b)
{
	return memcmp(a, b, sizeof(*a)) == 0;
}

static bool unit_idle(const struct unit *unit)
{
	for (uint32_t i = 0; i < unit->shape.members; i++) {
		const struct cell *c = &unit->cells[i];

		if (!c->worker || (c->worker->used & c->mask) || (c->worker->reserved & c->mask) ||
		    (c->worker->reported & c->mask) || c->cores_used)
			return false;
		if (c->worker->cores - MIN(c->worker->cores, c->worker->cores_used) < c->cores)
			return false;
	}
	return true;
}

static bool unit_unattached(const struct unit *unit)
{
	for (uint32_t i = 0; i < unit->shape.members; i++) {
		const struct cell *c = &unit->cells[i];

		for (guint k = 0; c->worker && k < c->worker->members->len; k++) {
			const struct member *m = c->worker->members->pdata[k];

			if (m->cell == c || (m->job->org == unit->org && (m->mask & c->mask)))
				return false;
		}
		for (uint64_t rest = c->worker ? c->mask & c->worker->reserved : 0; rest;
		     rest &= rest - 1) {
			if (c->worker->reserver[__builtin_ctzll(rest)]->org == unit->org)
				return false;
		}
	}
	return true;
}

static void save_home(const struct unit *unit, struct member *out)
{
	for (uint32_t i = 0; i < unit->shape.members; i++)
		out[i] = (struct member){.worker = unit->cells[i].worker,
					 .mask = unit->cells[i].mask};
}

static bool may_take_home(const struct unit *unit, const struct organisation *org)
{
	for (uint32_t i = 0; i < unit->shape.members; i++) {
		const struct cell *c = &unit->cells[i];

		for (guint k = 0; k < c->worker->members->len; k++) {
			const struct member *m = c->worker->members->pdata[k];

			if ((m->mask & c->mask) && m->job->org != org && !sched_evictable(m->job))
				return false;
		}
	}
	return true;
}

/* Exchanges homes with another organisation's equal shape whose cells are all idle. */
static bool swap_with_idle(struct place *p, struct unit *unit)
{
	struct member ours[PLACE_MEMBERS_MAX];
	struct member theirs[PLACE_MEMBERS_MAX];

	for (size_t i = 0; i < p->unit_count; i++) {
		struct unit *other = p->units[i];

		if (other == unit || other->org == unit->org || !other->met ||
		    !guarantee_same_shape(&other->shape, &unit->shape) || !unit_idle(other) ||
		    !may_take_home(unit, other->org))
			continue;
		save_home(unit, ours);
		save_home(other, theirs);
		guarantee_clear_home(p, unit);
		guarantee_clear_home(p, other);
		set_home(p, unit, theirs);
		set_home(p, other, ours);
		return true;
	}
	return false;
}

static bool move_to_free(struct place *p, struct unit *unit)
{
	struct member old[PLACE_MEMBERS_MAX] = {0};
	struct member out[PLACE_MEMBERS_MAX] = {0};
	bool found;

	save_home(unit, old);
	guarantee_clear_home(p, unit);
	found = find_home(p, unit, QUERY_HOME_FREE, out);
	set_home(p, unit, found ? out : old);
	return found;
}

/*
 * Before borrowed work is evicted for a guaranteed job, moves an unused home of the organisation
 * to free accelerators, so that the job can start there without an eviction.
 */
bool guarantee_rehome_free(struct place *p, struct job *job, uint64_t now_ms)
{
	for (size_t i = 0; i < job->org->unit_count; i++) {
		struct unit *unit = job->org->units[i];
		const struct place_shape *shape = &unit->shape;

		if (!unit->met || shape->accelerators < job->shape.accelerators ||
		    shape->members < job->shape.members || unit_idle(unit) ||
		    !unit_unattached(unit))
			continue;
		if (move_to_free(p, unit) || swap_with_idle(p, unit))
			return true;
	}
	return false;
}

/* Moves all homes of a worker elsewhere without an eviction; false leaves them in place. */
bool guarantee_move_off(struct place *p, struct worker *w, uint64_t now_ms)
{
	bool saved = w->offered;
	bool moved = true;

	w->offered = true;
	while (moved && w->cells->len) {
		struct cell *c = w->cells->pdata[0];

		moved = unit_unattached(c->unit) && move_to_free(p, c->unit);
	}
	w->offered = saved;
	return w->cells->len == 0;
}

bool guarantee_holds_shape(const struct organisation *org, const struct place_shape *shape)
{
	for (size_t i = 0; i < org->unit_count; i++) {
		if (search_inside(shape, &org->units[i]->shape))
			return true;
	}
	return false;
}

/*
 * May the waiting job evict others? Only while the organisation's use, wherever it runs, stays
 * within its guarantee; otherwise an organisation that borrows much would claim twice.
 */
bool guarantee_entitles(const struct job *job)
{
	return job->org->used_inside + job->shape.members * job->shape.accelerators <=
	       job->org->guaranteed;
}

/* Does the placed job count as use of its organisation's guarantee, although it runs outside? */
bool guarantee_covers(const struct job *job)
{
	return job->counted_inside && job->org->used_inside <= job->org->guaranteed;
}
