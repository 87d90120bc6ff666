#include "place_impl.h"

#include <math.h>
#include <string.h>

#define NO_ROOM_SCORE 1e18
#define CHECKPOINT_COST_MS 5000.0 /* run time lost if a checkpoint precedes the eviction */
#define EVICTION_COST_MS 20000.0  /* restart overhead, so that idle accelerators are preferred */
#define URGENT_VICTIM_COST_MS 3600000.0 /* makes urgent work the last choice */
#define GUARANTEED_VICTIM_COST_MS 20000.0
#define AGE_COST_FACTOR 0.05  /* times the time since submission: displaces older work later */
#define MIN_RUN_MS 120000     /* run time before a job may be evicted for work that is not urgent */
#define YIELD_AFTER_MS 300000 /* run time after which a small job yields to an overdue one */
#define SUSPICION_PENALTY 30.0	  /* score per start failure that may be the worker's fault */
#define MOVE_BONUS 15.0		  /* score in favour of the planned target of a move */
#define BORROWED_CELL_PENALTY 6.0 /* score of a run that borrows a cell, which may be reclaimed */
#define DRAINING_RUN_PENALTY 20.0 /* score of a run on draining accelerators: it moves soon */
#define IDLE_WORKER_PENALTY 0.5	  /* score for each idle worker that a placement starts to use */

static uint32_t job_width(const struct job *job)
{
	return job->shape.members * MAX(job->shape.accelerators, 1);
}

/* Limits how often a job is evicted for others, apart from reclaims of guarantees. */
static bool eviction_budget_left(const struct job *victim, const struct query *query)
{
	uint64_t now_ms = query->now_ms;
	uint64_t run_ms = victim->saved_ms;
	bool extra = query->entitled || (query->job && query->job->urgent);
	uint32_t base_limit = extra ? PLACE_EVICTIONS_PRIORITY_MAX : PLACE_EVICTIONS_CHECKPOINT_MAX;

	if (!victim->checkpoint)
		return victim->evictions < PLACE_EVICTIONS_RESTART_MAX;
	/* An overdue job has not started yet, so it adds at most one eviction to another job. */
	if (query->overdue)
		return true;
	if (victim->started_ms && now_ms > victim->started_ms)
		run_ms += now_ms - victim->started_ms;
	return victim->evictions < base_limit + run_ms / PLACE_RUN_MS_PER_EVICTION;
}

bool search_eviction_budget_left(const struct place *place, const struct job *victim)
{
	return eviction_budget_left(victim, &(struct query){.now_ms = place->now_ms});
}

/*
 * In the cells of its organisation, a large job may evict smaller work of that organisation, and an
 * overdue job younger work. Work that only borrows the cells may always be evicted.
 */
static bool may_evict_from_cells(const struct job *victim, const struct query *query)
{
	if (victim->org != query->org || !sched_guaranteed(victim))
		return true;
	if (!victim->checkpoint || victim->urgent || !eviction_budget_left(victim, query))
		return false;
	if (query->overdue && victim->submitted_ms > query->job->submitted_ms)
		return true;
	return query->large && !sched_large(query->place, victim);
}

/* A small job that has run for YIELD_AFTER_MS yields to an overdue job. */
static bool must_yield_to_overdue(const struct job *victim, const struct query *query)
{
	return sched_cheap_to_move(query->place, victim) && victim->started_ms &&
	       query->now_ms > victim->started_ms + YIELD_AFTER_MS;
}

/* Work that has just started is not evicted, or two jobs could evict each other in turns. */
static bool started_recently(const struct job *victim, const struct query *query)
{
	uint64_t min_run_ms = query->overdue || (query->job && query->job->urgent) ? 0 : MIN_RUN_MS;

	return victim->state != JOB_RUNNING || query->now_ms < victim->started_ms + min_run_ms;
}

static bool younger_than_overdue(const struct job *victim, const struct query *query)
{
	return query->overdue && victim->submitted_ms > query->job->submitted_ms;
}

bool search_may_evict(const struct job *victim, const struct query *query)
{
	if (victim->stopping || victim->cancelled)
		return true;
	if (!sched_evictable(victim))
		return false;
	if (!query->job)
		return !sched_guaranteed(victim);
	if (query->mode == QUERY_CELLS_EVICT)
		return may_evict_from_cells(victim, query);
	if (victim->urgent || !eviction_budget_left(victim, query) ||
	    started_recently(victim, query))
		return false;
	/*
	 * A small job may be evicted from its guarantee for a large or overdue one: the guarantee
	 * lets it start again at once.
	 */
	if (sched_guaranteed(victim))
		return (query->large || younger_than_overdue(victim, query)) &&
		       sched_cheap_to_move(query->place, victim);
	if (younger_than_overdue(victim, query))
		return true;
	if (guarantee_covers_job(victim) && !query->large && query->job && !query->job->urgent)
		return false;
	if (query->entitled && !sched_large(query->place, victim))
		return true;
	if (query->job && query->job->urgent)
		return true;
	if (query->overdue && must_yield_to_overdue(victim, query))
		return true;
	if (query->aged && victim->submitted_ms > query->job->submitted_ms &&
	    job_width(victim) < job_width(query->job) && sched_cheap_to_move(query->place, victim))
		return true;
	if (!query->large)
		return false;
	return !sched_large(query->place, victim) || job_width(victim) < job_width(query->job);
}

/* Cost of evicting a job, in accelerator-milliseconds: lost run time and penalties. */
double search_evict_cost(const struct place *place, const struct job *victim, uint64_t now_ms)
{
	uint32_t width = victim->shape.members * MAX(victim->shape.accelerators, 1);
	double lost = CHECKPOINT_COST_MS;

	if (victim->stopping || victim->cancelled)
		return 0;
	if (!victim->checkpoint && victim->started_ms && now_ms > victim->started_ms)
		lost = (double)(now_ms - victim->started_ms);
	lost += EVICTION_COST_MS * (1 + victim->evictions);
	lost += AGE_COST_FACTOR * (double)(now_ms - MIN(now_ms, victim->submitted_ms));
	if (victim->urgent)
		lost += URGENT_VICTIM_COST_MS;
	if (sched_guaranteed(victim) || guarantee_covers_job(victim))
		lost += GUARANTEED_VICTIM_COST_MS;
	return lost * width;
}

static double drain_cost(const struct place *place, const struct job *victim,
			 const struct query *query)
{
	uint32_t width = query->shape->members * MAX(query->shape->accelerators, 1);

	if (search_may_evict(victim, query))
		return search_evict_cost(place, victim, query->now_ms);
	return (double)estimate_remaining_ms(victim, query->now_ms) * width;
}

/* Accelerators of the worker granted to work that the query may not displace. */
static uint64_t blocked_mask(const struct worker *worker, const struct query *query)
{
	uint64_t blocked = 0;

	for (guint i = 0; i < worker->members->len; i++) {
		const struct member *member = worker->members->pdata[i];

		if (query->mode == QUERY_GUARANTEE) {
			if (member->job->org != query->org && !sched_evictable(member->job))
				blocked |= member->mask;
		} else if (query->mode != QUERY_DRAIN && !search_may_evict(member->job, query)) {
			blocked |= member->mask;
		}
	}
	return blocked;
}

static void subtract_blocked_cores(const struct worker *worker, const struct query *query,
				   struct slot *slot)
{
	uint32_t cores = 0;
	uint32_t memory = 0;

	if (query->mode == QUERY_DRAIN)
		return;
	for (guint i = 0; i < worker->members->len; i++) {
		const struct member *member = worker->members->pdata[i];

		if (search_may_evict(member->job, query))
			continue;
		cores += member->job->shape.cores;
		memory += member->job->shape.memory_mb;
	}
	slot->cores = slot->cores > cores ? slot->cores - cores : 0;
	slot->memory = slot->memory > memory ? slot->memory - memory : 0;
}

static uint32_t saturating_sub(uint32_t a, uint32_t b)
{
	return a > b ? a - b : 0;
}

static uint64_t other_guarantees_mask(const struct worker *worker, const struct organisation *org)
{
	uint64_t own_mask = 0;

	if (!worker->guaranteed_mask)
		return 0;
	for (guint i = 0; i < worker->cells->len; i++) {
		const struct cell *cell = worker->cells->pdata[i];

		if (cell->unit->org == org)
			own_mask |= cell->mask;
	}
	return worker->guaranteed_mask & ~own_mask;
}

/*
 * Is the placement still outside the guarantees of other organisations? Their cells can move to
 * reserved accelerators.
 */
bool search_outside_guarantees(const struct job *job, const struct member *members)
{
	for (uint32_t i = 0; i < job->shape.members; i++) {
		const struct worker *worker = members[i].worker;
		uint32_t count = 0;

		for (uint32_t k = 0; k < job->shape.members; k++)
			count += members[k].worker == worker;
		if (members[i].mask & other_guarantees_mask(worker, job->org))
			return false;
		if (worker->cores_guaranteed + worker->cores_pinned + count * job->shape.cores >
			    worker->cores ||
		    worker->memory_guaranteed + worker->memory_pinned +
				    count * job->shape.memory_mb >
			    worker->memory)
			return false;
	}
	return true;
}

/*
 * Cells for a guarantee may overlap neither other cells nor work of other organisations that may
 * not be evicted.
 */
static bool init_guarantee_slot(const struct worker *worker, const struct query *query,
				struct slot *slot)
{
	if (!topo_worker_usable(worker))
		return false;
	slot->mask = worker->all_mask & ~worker->guaranteed_mask;
	if (query->mode == QUERY_GUARANTEE_FREE)
		slot->mask &= ~(worker->used_mask | worker->reserved_mask | worker->draining_mask |
				worker->reported_mask);
	else
		slot->mask &= ~blocked_mask(worker, query);
	slot->cores =
		saturating_sub(worker->cores, worker->cores_guaranteed + worker->cores_pinned);
	slot->memory =
		saturating_sub(worker->memory, worker->memory_guaranteed + worker->memory_pinned);
	if (query->mode == QUERY_GUARANTEE_FREE) {
		slot->cores = MIN(
			slot->cores,
			saturating_sub(worker->cores, worker->cores_used + worker->cores_reserved));
		slot->memory = MIN(slot->memory,
				   saturating_sub(worker->memory,
						  worker->memory_used + worker->memory_reserved));
	}
	return true;
}

static bool init_worker_slot(const struct worker *worker, const struct query *query,
			     struct slot *slot)
{
	bool pinned = !sched_evictable(query->job);

	if (!topo_worker_usable(worker) || worker->avoid_until_ms > query->now_ms ||
	    health_job_avoids(query->job, worker, query->now_ms))
		return false;
	slot->mask = worker->all_mask & ~(worker->reserved_mask | worker->reported_mask);
	if (!query->job->urgent && !query->cheap_to_move)
		slot->mask &= ~worker->draining_mask;
	slot->cores = saturating_sub(worker->cores, worker->cores_reserved);
	slot->memory = saturating_sub(worker->memory, worker->memory_reserved);
	if (!query->may_borrow || pinned)
		slot->mask &= ~other_guarantees_mask(worker, query->org);
	if (query->mode == QUERY_FREE) {
		slot->mask &= ~worker->used_mask;
		slot->cores = saturating_sub(slot->cores, worker->cores_used);
		slot->memory = saturating_sub(slot->memory, worker->memory_used);
	} else {
		slot->mask &= ~blocked_mask(worker, query);
		if (topo_longest_run(slot->mask) >= (int)query->shape->accelerators)
			subtract_blocked_cores(worker, query, slot);
		else
			return false;
	}
	if (!query->may_borrow || pinned) {
		slot->cores = MIN(slot->cores,
				  saturating_sub(worker->cores,
						 worker->cores_guaranteed + worker->cores_pinned));
		slot->memory = MIN(slot->memory,
				   saturating_sub(worker->memory, worker->memory_guaranteed +
									  worker->memory_pinned));
	}
	return true;
}

/*
 * Capacity of an own cell that own work does not use. Reservations of work that only borrows the
 * cell are ignored, except in QUERY_CELLS.
 */
static bool init_cell_slot(struct cell *cell, const struct query *query, struct slot *slot)
{
	const struct worker *worker = cell->worker;

	if (!worker || !topo_worker_usable(worker) || worker->avoid_until_ms > query->now_ms ||
	    health_job_avoids(query->job, worker, query->now_ms))
		return false;
	slot->cell = cell;
	slot->mask = cell->mask;
	slot->cores = cell->cores - MIN(cell->cores, cell->cores_used);
	slot->memory = cell->memory - MIN(cell->memory, cell->memory_used);
	for (uint64_t rest = cell->mask & worker->reserved_mask; rest; rest &= rest - 1) {
		int i = __builtin_ctzll(rest);

		if (worker->reserving_jobs[i]->reservation[0].cell || query->mode == QUERY_CELLS)
			slot->mask &= ~(1ULL << i);
	}
	if (query->mode == QUERY_CELLS) {
		slot->mask &= ~(worker->used_mask | worker->reported_mask);
		slot->cores = MIN(
			slot->cores,
			saturating_sub(worker->cores, worker->cores_used + worker->cores_reserved));
		slot->memory = MIN(slot->memory,
				   saturating_sub(worker->memory,
						  worker->memory_used + worker->memory_reserved));
	} else {
		slot->mask &= ~blocked_mask(worker, query);
	}
	return true;
}

static bool mode_evicts(enum query_mode mode)
{
	return mode == QUERY_EVICT || mode == QUERY_DRAIN || mode == QUERY_CELLS_EVICT ||
	       mode == QUERY_GUARANTEE;
}

static double run_eviction_cost(struct place *place, const struct worker *worker, uint64_t run,
				const struct query *query)
{
	struct job *last = NULL;
	double cost = 0;

	for (uint64_t rest = run & worker->used_mask; rest; rest &= rest - 1) {
		struct job *victim = worker->granted_jobs[__builtin_ctzll(rest)];

		if (victim == last)
			continue;
		last = victim;
		if (query->mode == QUERY_GUARANTEE && victim->org == query->org)
			cost -= 1e6 * (sched_evictable(victim) ? 1 : 1000);
		else if (query->mode == QUERY_DRAIN)
			cost += drain_cost(place, victim, query);
		else
			cost += search_evict_cost(place, victim, query->now_ms);
	}
	return cost;
}

/*
 * Score of a placement on the run; lower is better. Free runs are compared by the buddy blocks that
 * they split, the idle workers that they start to use and the risk of a reclaim. If the query may
 * evict, the cost of the evictions dominates.
 */
static double run_score(struct place *place, const struct slot *slot, uint64_t run,
			const struct query *query)
{
	const struct worker *worker = slot->worker;
	double broken = topo_buddy_value(slot->mask) - topo_buddy_value(slot->mask & ~run);
	double score = place->policy.weight_fragmentation * broken + 0.01 * broken;

	if (worker->used_mask == 0)
		score += place->policy.weight_fragmentation * IDLE_WORKER_PENALTY;
	if (!slot->cell && query->job && (worker->guaranteed_mask & run))
		score += place->policy.weight_completion * BORROWED_CELL_PENALTY;
	if (worker->draining_mask & run)
		score += DRAINING_RUN_PENALTY;
	score += SUSPICION_PENALTY * worker->suspicion;
	if (query->job && query->job->move_to == worker)
		score -= MOVE_BONUS;
	score += 0.001 * (double)__builtin_ctzll(run) / 64;
	if (mode_evicts(query->mode))
		score = run_eviction_cost(place, worker, run, query) + score;
	return score;
}

static void score_core_slot(struct slot *slot, const struct query *query)
{
	const struct worker *worker = slot->worker;
	double busy = worker->cores ? (double)worker->cores_used / worker->cores : 1;

	slot->offset = 0;
	slot->score = (worker->accelerators ? 1 : 0) + 1 - busy;
}

static void score_slot(struct place *place, struct slot *slot, const struct query *query)
{
	uint32_t width = query->shape->accelerators;
	uint64_t starts = slot->mask;

	slot->offset = -1;
	slot->score = NO_ROOM_SCORE;
	if (slot->cores < query->shape->cores || slot->memory < query->shape->memory_mb)
		return;
	if (width == 0) {
		score_core_slot(slot, query);
		return;
	}
	for (uint32_t i = 1; i < width && starts; i++)
		starts &= slot->mask >> i;
	for (; starts; starts &= starts - 1) {
		int offset = __builtin_ctzll(starts);
		double score =
			run_score(place, slot, topo_run_mask((uint32_t)offset, width), query);

		if (score < slot->score) {
			slot->score = score;
			slot->offset = offset;
		}
	}
}

static int topology_group(const struct worker *worker, enum place_within within)
{
	if (within == PLACE_WITHIN_WORKER)
		return (int)worker->order;
	return within == PLACE_WITHIN_RACK ? worker->rack : worker->zone;
}

static bool group_may_fit(const struct slot *slots, size_t count, const struct place_shape *shape)
{
	uint64_t room = 0;

	for (size_t i = 0; i < count && room < shape->members; i++) {
		if (slots[i].offset < 0)
			continue;
		room += shape->accelerators ? (uint64_t)__builtin_popcountll(slots[i].mask) /
						      shape->accelerators
					    : shape->members;
	}
	return room >= shape->members;
}

/*
 * Assigns the best run of the slot to a member. Cells of one worker share its cores; slots of other
 * cells are not reduced here, so sched_room_free() sums up the members of each worker.
 */
static void take_run(struct place *place, struct slot *slot, const struct query *query,
		     struct member *out)
{
	uint64_t run = topo_run_mask((uint32_t)slot->offset, query->shape->accelerators);

	*out = (struct member){.job = query->job, .worker = slot->worker, .mask = run};
	out->cell = slot->cell;
	slot->mask &= ~run;
	slot->cores -= query->shape->cores;
	slot->memory -= query->shape->memory_mb;
	score_slot(place, slot, query);
}

static double place_in_group(struct place *place, const struct slot *slots, size_t count,
			     const struct query *query, double limit, struct member *out)
{
	double total = 0;

	memcpy(place->trial_slots, slots, count * sizeof(*slots));
	for (uint32_t k = 0; k < query->shape->members; k++) {
		size_t best = 0;

		for (size_t i = 1; i < count; i++) {
			if (place->trial_slots[i].score < place->trial_slots[best].score)
				best = i;
		}
		if (place->trial_slots[best].offset < 0)
			return NO_ROOM_SCORE;
		total += place->trial_slots[best].score;
		if (total >= limit)
			return NO_ROOM_SCORE;
		take_run(place, &place->trial_slots[best], query, &out[k]);
	}
	return total;
}

static int compare_slots(const void *a, const void *b)
{
	const struct slot *x = a;
	const struct slot *y = b;

	return x->worker->order < y->worker->order ? -1 : x->worker->order > y->worker->order;
}

/*
 * Does the shape fit within the guaranteed shape? Work that does not fit only borrows capacity,
 * even that of its own organisation.
 */
bool search_fits_guarantee(const struct place_shape *job, const struct place_shape *guarantee)
{
	return job->members <= guarantee->members && job->accelerators <= guarantee->accelerators &&
	       (job->accelerators > 0 || guarantee->accelerators == 0) &&
	       (job->members == 1 || job->within <= guarantee->within);
}

static size_t collect_cells(struct place *place, const struct query *query)
{
	size_t slot_count = 0;

	for (size_t i = 0; i < query->org->unit_count; i++) {
		struct unit *unit = query->org->units[i];

		if (!search_fits_guarantee(query->shape, &unit->shape))
			continue;
		for (uint32_t k = 0; k < unit->shape.members; k++) {
			struct slot *slot = &place->slots[slot_count];

			*slot = (struct slot){.worker = unit->cells[k].worker};
			if (init_cell_slot(&unit->cells[k], query, slot))
				slot_count++;
		}
	}
	qsort(place->slots, slot_count, sizeof(place->slots[0]), compare_slots);
	return slot_count;
}

static size_t collect_workers(struct place *place, const struct query *query)
{
	size_t slot_count = 0;

	for (size_t i = 0; i < place->order_count; i++) {
		struct slot *slot = &place->slots[slot_count];
		struct worker *worker = place->order[i];

		if (query->shape->accelerators > worker->accelerators)
			continue;
		if (query->mode == QUERY_FREE && query->shape->accelerators &&
		    worker->used_mask == worker->all_mask)
			continue;
		*slot = (struct slot){.worker = worker};
		if (query->job ? init_worker_slot(worker, query, slot)
			       : init_guarantee_slot(worker, query, slot))
			slot_count++;
	}
	return slot_count;
}

static bool search_groups(struct place *place, const struct query *query, size_t slot_count,
			  struct member *out)
{
	struct member trial[PLACE_MEMBERS_MAX];
	double best = NO_ROOM_SCORE;
	/* Cells that cover own work score below 0, so partial totals cannot be compared. */
	bool prune = query->mode != QUERY_GUARANTEE;

	for (size_t i = 0; i < slot_count; i++)
		score_slot(place, &place->slots[i], query);
	for (size_t begin = 0, end; begin < slot_count; begin = end) {
		int group = topology_group(place->slots[begin].worker, query->shape->within);
		double score;

		for (end = begin + 1; end < slot_count; end++) {
			if (topology_group(place->slots[end].worker, query->shape->within) != group)
				break;
		}
		if (!group_may_fit(&place->slots[begin], end - begin, query->shape))
			continue;
		score = place_in_group(place, &place->slots[begin], end - begin, query,
				       prune ? best : NO_ROOM_SCORE, trial);
		if (score >= best)
			continue;
		best = score;
		memcpy(out, trial, query->shape->members * sizeof(*out));
	}
	return best < NO_ROOM_SCORE;
}

/**
 * search_placement() - find the placement of all members that has the lowest score
 * @out: receives shape.members members
 *
 * Return: false if the members do not all fit.
 */
bool search_placement(struct place *place, const struct query *query, struct member *out)
{
	size_t slot_count;

	topo_sort_workers(place);
	if (query->mode == QUERY_CELLS || query->mode == QUERY_CELLS_EVICT)
		slot_count = collect_cells(place, query);
	else
		slot_count = collect_workers(place, query);
	return search_groups(place, query, slot_count, out);
}

static int compare_groups(const void *a, const void *b)
{
	const struct slot *x = a;
	const struct slot *y = b;

	if (x->worker->rack != y->worker->rack)
		return x->worker->zone != y->worker->zone ? x->worker->zone - y->worker->zone
							  : x->worker->rack - y->worker->rack;
	return strcmp(x->worker->name, y->worker->name);
}

static bool known_to_fit(const struct place *place, const struct place_shape *shape)
{
	for (size_t i = 0; i < place->fitting_count; i++) {
		if (memcmp(&place->fitting_shapes[i], shape, sizeof(*shape)) == 0)
			return true;
	}
	return false;
}

/**
 * search_fits_idle_fleet() - check if a shape would fit an idle fleet, lost workers included
 */
bool search_fits_idle_fleet(struct place *place, const struct place_shape *shape)
{
	struct query query = {.mode = QUERY_GUARANTEE_FREE, .shape = shape};
	struct member out[PLACE_MEMBERS_MAX];
	size_t slot_count = place->workers->len;

	if (known_to_fit(place, shape))
		return true;
	topo_sort_workers(place);
	topo_grow_slots(place, slot_count);
	for (size_t i = 0; i < slot_count; i++) {
		struct worker *worker = place->workers->pdata[i];

		place->slots[i] = (struct slot){.worker = worker,
						.mask = worker->all_mask,
						.cores = worker->cores,
						.memory = worker->memory};
	}
	qsort(place->slots, slot_count, sizeof(place->slots[0]), compare_groups);
	for (size_t i = 0; i < slot_count; i++)
		place->slots[i].worker->order = (uint32_t)i;
	place->order_dirty = true;
	if (!search_groups(place, &query, slot_count, out))
		return false;
	place->fitting_shapes[place->fitting_next] = *shape;
	place->fitting_next = (place->fitting_next + 1) % FITTING_SHAPES_MAX;
	place->fitting_count = MAX(place->fitting_count, place->fitting_next);
	return true;
}
