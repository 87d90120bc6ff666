#include "place_impl.h"

#include <math.h>
#include <string.h>

#define NO_ROOM 1e18
#define CHECKPOINT_COST_MS 5000.0	/* work lost when a checkpoint is taken first */
#define EVICTION_COST_MS 20000.0	/* restart overhead, so that idle room is preferred */
#define URGENT_VICTIM_COST_MS 3600000.0 /* urgent work is displaced last */
#define GUARANTEED_VICTIM_COST_MS 20000.0
#define AGE_COST 0.05		/* of the time since submission: older work is displaced later */
#define MIN_RUN_MS 120000	/* run time before work is displaced for work that is not urgent */
#define TURN_MS 300000		/* run time after which small work yields to a starving job */
#define SUSPICION_PENALTY 30.0	/* score per failure of a worker that may be its fault */
#define MOVE_BONUS 15.0		/* for the place that a move was planned to */
#define LENT_PENALTY 6.0	/* score of a run in a lent cell: it may be reclaimed */
#define EARMARK_PENALTY 20.0	/* a run in earmarked room moves away before long */
#define IDLE_WORKER_PENALTY 0.5 /* per idle worker of the rack that would be broken into */

static uint32_t job_width(const struct job *job)
{
	return job->shape.members * MAX(job->shape.accelerators, 1);
}

/* Bounds how often a job is stopped for others beyond reclaims of guarantees. */
static bool eviction_budget_left(const struct job *victim, const struct query *q)
{
	uint64_t now_ms = q->now_ms;
	uint64_t ran = victim->saved_ms;
	uint32_t extra = q->overdue || q->entitled || (q->job && q->job->urgent)
				 ? PLACE_EVICTIONS_FREE * 4
				 : 0;

	if (!victim->checkpoint)
		return victim->evictions < PLACE_EVICTIONS_RESTART;
	if (victim->started_ms && now_ms > victim->started_ms)
		ran += now_ms - victim->started_ms;
	return victim->evictions < PLACE_EVICTIONS_FREE + extra + ran / PLACE_EVICTION_PER_MS;
}

bool search_budget_left(const struct place *p, const struct job *victim)
{
	return eviction_budget_left(victim, &(struct query){.now_ms = p->now_ms});
}

/* In its own cells an organisation's large or overdue job goes before others of its own. */
static bool may_evict_from_cells(const struct job *victim, const struct query *q)
{
	if (victim->org != q->org || !sched_guaranteed(victim))
		return true;
	if (!victim->checkpoint || victim->urgent || !eviction_budget_left(victim, q))
		return false;
	if (q->overdue && victim->submitted_ms > q->job->submitted_ms)
		return true;
	return q->large && !sched_large(q->p, victim);
}

/* Small work that has run for a while gives its place to a job that would starve. */
static bool had_a_turn(const struct job *victim, const struct query *q)
{
	return sched_moves_easily(q->p, victim) && victim->started_ms &&
	       q->now_ms > victim->started_ms + TURN_MS;
}

/* Work that has barely started is left alone, or two jobs would take turns without progress. */
static bool just_placed(const struct job *victim, const struct query *q)
{
	uint64_t least = q->job && q->job->urgent ? 0 : MIN_RUN_MS;

	return victim->state != JOB_RUNNING || q->now_ms < victim->started_ms + least;
}

static bool younger_for_overdue(const struct job *victim, const struct query *q)
{
	return q->overdue && victim->submitted_ms > q->job->submitted_ms;
}

bool search_may_evict(const struct job *victim, const struct query *q)
{
	if (victim->stopping || victim->cancelled)
		return true;
	if (!sched_evictable(victim))
		return false;
	if (!q->job)
		return !sched_guaranteed(victim);
	if (q->mode == QUERY_CELLS_EVICT)
		return may_evict_from_cells(victim, q);
	if (victim->urgent || !eviction_budget_left(victim, q) || just_placed(victim, q))
		return false;
	/* Small work leaves its guarantee for a large or starving job: it gets room at once. */
	if (sched_guaranteed(victim))
		return (q->large || younger_for_overdue(victim, q)) &&
		       sched_moves_easily(q->p, victim);
	if (younger_for_overdue(victim, q))
		return true;
	if (guarantee_covers(victim) && !q->large && q->job && !q->job->urgent)
		return false;
	if (q->entitled && !sched_large(q->p, victim))
		return true;
	if (q->job && q->job->urgent)
		return true;
	if (q->overdue && had_a_turn(victim, q))
		return true;
	if (q->aged && victim->submitted_ms > q->job->submitted_ms &&
	    job_width(victim) < job_width(q->job) && sched_moves_easily(q->p, victim))
		return true;
	if (!q->large)
		return false;
	return !sched_large(q->p, victim) || job_width(victim) < job_width(q->job);
}

/* Accelerator-milliseconds of work that evicting the job loses. */
double search_evict_cost(const struct place *p, const struct job *victim, uint64_t now_ms)
{
	uint32_t width = victim->shape.members * MAX(victim->shape.accelerators, 1);
	double lost = CHECKPOINT_COST_MS;

	if (victim->stopping || victim->cancelled)
		return 0;
	if (!victim->checkpoint && victim->started_ms && now_ms > victim->started_ms)
		lost = (double)(now_ms - victim->started_ms);
	lost += EVICTION_COST_MS * (1 + victim->evictions);
	lost += AGE_COST * (double)(now_ms - MIN(now_ms, victim->submitted_ms));
	if (victim->urgent)
		lost += URGENT_VICTIM_COST_MS;
	if (sched_guaranteed(victim) || guarantee_covers(victim))
		lost += GUARANTEED_VICTIM_COST_MS;
	return lost * width;
}

static double drain_cost(const struct place *p, const struct job *holder, const struct query *q)
{
	uint32_t width = q->shape->members * MAX(q->shape->accelerators, 1);

	if (search_may_evict(holder, q))
		return search_evict_cost(p, holder, q->now_ms);
	return (double)estimate_remaining_ms(holder, q->now_ms) * width;
}

/* Accelerators of the worker held by work that the query may not displace. */
static uint64_t blocked_mask(const struct worker *w, const struct query *q)
{
	uint64_t blocked = 0;

	for (guint i = 0; i < w->members->len; i++) {
		const struct member *m = w->members->pdata[i];

		if (q->mode == QUERY_HOME) {
			if (m->job->org != q->org && !sched_evictable(m->job))
				blocked |= m->mask;
		} else if (q->mode != QUERY_DRAIN && !search_may_evict(m->job, q)) {
			blocked |= m->mask;
		}
	}
	return blocked;
}

static void blocked_cores(const struct worker *w, const struct query *q, struct slot *slot)
{
	uint32_t cores = 0;
	uint32_t memory = 0;

	if (q->mode == QUERY_DRAIN)
		return;
	for (guint i = 0; i < w->members->len; i++) {
		const struct member *m = w->members->pdata[i];

		if (search_may_evict(m->job, q))
			continue;
		cores += m->job->shape.cores;
		memory += m->job->shape.memory_mb;
	}
	slot->cores = slot->cores > cores ? slot->cores - cores : 0;
	slot->memory = slot->memory > memory ? slot->memory - memory : 0;
}

static uint32_t sub(uint32_t a, uint32_t b)
{
	return a > b ? a - b : 0;
}

static uint64_t others_home(const struct worker *w, const struct organisation *org)
{
	uint64_t own = 0;

	if (!w->home)
		return 0;
	for (guint i = 0; i < w->cells->len; i++) {
		const struct cell *c = w->cells->pdata[i];

		if (c->unit->org == org)
			own |= c->mask;
	}
	return w->home & ~own;
}

/* Homes can move over a reservation: is it still outside the guarantees of others? */
bool search_outside_homes(const struct job *job, const struct member *members)
{
	for (uint32_t i = 0; i < job->shape.members; i++) {
		const struct worker *w = members[i].worker;
		uint32_t count = 0;

		for (uint32_t k = 0; k < job->shape.members; k++)
			count += members[k].worker == w;
		if (members[i].mask & others_home(w, job->org))
			return false;
		if (w->cores_home + w->cores_pinned + count * job->shape.cores > w->cores ||
		    w->memory_home + w->memory_pinned + count * job->shape.memory_mb > w->memory)
			return false;
	}
	return true;
}

/* Homes may not overlap each other, and not work of others that may not be evicted. */
static bool home_slot(const struct worker *w, const struct query *q, struct slot *slot)
{
	if (!topo_usable(w))
		return false;
	slot->mask = w->all & ~w->home;
	if (q->mode == QUERY_HOME_FREE)
		slot->mask &= ~(w->used | w->reserved | w->earmarked | w->reported);
	else
		slot->mask &= ~blocked_mask(w, q);
	slot->cores = sub(w->cores, w->cores_home + w->cores_pinned);
	slot->memory = sub(w->memory, w->memory_home + w->memory_pinned);
	if (q->mode == QUERY_HOME_FREE) {
		slot->cores = MIN(slot->cores, sub(w->cores, w->cores_used + w->cores_reserved));
		slot->memory =
			MIN(slot->memory, sub(w->memory, w->memory_used + w->memory_reserved));
	}
	return true;
}

static bool worker_slot(const struct worker *w, const struct query *q, struct slot *slot)
{
	bool pinned = !sched_evictable(q->job);

	if (!topo_usable(w) || w->avoid_until_ms > q->now_ms || health_avoids(q->job, w, q->now_ms))
		return false;
	slot->mask = w->all & ~(w->reserved | w->reported);
	if (!q->job->urgent && !q->moves_easily)
		slot->mask &= ~w->earmarked;
	slot->cores = sub(w->cores, w->cores_reserved);
	slot->memory = sub(w->memory, w->memory_reserved);
	if (!q->lend || pinned)
		slot->mask &= ~others_home(w, q->org);
	if (q->mode == QUERY_FREE) {
		slot->mask &= ~w->used;
		slot->cores = sub(slot->cores, w->cores_used);
		slot->memory = sub(slot->memory, w->memory_used);
	} else {
		slot->mask &= ~blocked_mask(w, q);
		if (topo_longest_run(slot->mask) >= (int)q->shape->accelerators)
			blocked_cores(w, q, slot);
		else
			return false;
	}
	if (!q->lend || pinned) {
		slot->cores = MIN(slot->cores, sub(w->cores, w->cores_home + w->cores_pinned));
		slot->memory = MIN(slot->memory, sub(w->memory, w->memory_home + w->memory_pinned));
	}
	return true;
}

/* Own cells: room not taken by own work; reservations of work that only borrows don't count. */
static bool cell_slot(struct cell *c, const struct query *q, struct slot *slot)
{
	const struct worker *w = c->worker;

	if (!w || !topo_usable(w) || w->avoid_until_ms > q->now_ms ||
	    health_avoids(q->job, w, q->now_ms))
		return false;
	slot->cell = c;
	slot->mask = c->mask;
	slot->cores = c->cores - MIN(c->cores, c->cores_used);
	slot->memory = c->memory - MIN(c->memory, c->memory_used);
	for (uint64_t rest = c->mask & w->reserved; rest; rest &= rest - 1) {
		int i = __builtin_ctzll(rest);

		if (w->reserver[i]->reservation[0].cell || q->mode == QUERY_CELLS)
			slot->mask &= ~(1ULL << i);
	}
	if (q->mode == QUERY_CELLS) {
		slot->mask &= ~(w->used | w->reported);
		slot->cores = MIN(slot->cores, sub(w->cores, w->cores_used + w->cores_reserved));
		slot->memory =
			MIN(slot->memory, sub(w->memory, w->memory_used + w->memory_reserved));
	} else {
		slot->mask &= ~blocked_mask(w, q);
	}
	return true;
}

static bool mode_evicts(enum query_mode mode)
{
	return mode == QUERY_EVICT || mode == QUERY_DRAIN || mode == QUERY_CELLS_EVICT ||
	       mode == QUERY_HOME;
}

static double displaced_cost(struct place *p, const struct worker *w, uint64_t run,
			     const struct query *q)
{
	struct job *last = NULL;
	double cost = 0;

	for (uint64_t rest = run & w->used; rest; rest &= rest - 1) {
		struct job *holder = w->holder[__builtin_ctzll(rest)];

		if (holder == last)
			continue;
		last = holder;
		if (q->mode == QUERY_HOME && holder->org == q->org)
			cost -= 1e6 * (sched_evictable(holder) ? 1 : 1000);
		else if (q->mode == QUERY_DRAIN)
			cost += drain_cost(p, holder, q);
		else
			cost += search_evict_cost(p, holder, q->now_ms);
	}
	return cost;
}

/*
 * Cost of putting a run there. Free runs are compared by the buddy blocks they break up, the
 * idle workers they break into and the risk of a reclaim; with evictions the work lost leads.
 */
static double run_score(struct place *p, const struct slot *slot, uint64_t run,
			const struct query *q)
{
	const struct worker *w = slot->worker;
	double broken = topo_potential(slot->mask) - topo_potential(slot->mask & ~run);
	double score = p->policy.weight_fragmentation * broken + 0.01 * broken;

	if (w->used == 0)
		score += p->policy.weight_fragmentation * IDLE_WORKER_PENALTY;
	if (!slot->cell && q->job && (w->home & run))
		score += p->policy.weight_completion * LENT_PENALTY;
	if (w->earmarked & run)
		score += EARMARK_PENALTY;
	score += SUSPICION_PENALTY * w->suspicion;
	if (q->job && q->job->move_to == w)
		score -= MOVE_BONUS;
	score += 0.001 * (double)__builtin_ctzll(run) / 64;
	if (mode_evicts(q->mode))
		score = displaced_cost(p, w, run, q) + score;
	return score;
}

static void score_cores(struct slot *slot, const struct query *q)
{
	const struct worker *w = slot->worker;
	double busy = w->cores ? (double)w->cores_used / w->cores : 1;

	slot->offset = 0;
	slot->score = (w->accelerators ? 1 : 0) + 1 - busy;
}

static void score_slot(struct place *p, struct slot *slot, const struct query *q)
{
	uint32_t width = q->shape->accelerators;
	uint64_t starts = slot->mask;

	slot->offset = -1;
	slot->score = NO_ROOM;
	if (slot->cores < q->shape->cores || slot->memory < q->shape->memory_mb)
		return;
	if (width == 0) {
		score_cores(slot, q);
		return;
	}
	for (uint32_t i = 1; i < width && starts; i++)
		starts &= slot->mask >> i;
	for (; starts; starts &= starts - 1) {
		int offset = __builtin_ctzll(starts);
		double score = run_score(p, slot, topo_run((uint32_t)offset, width), q);

		if (score < slot->score) {
			slot->score = score;
			slot->offset = offset;
		}
	}
}

static int group_of(const struct worker *w, enum place_within within)
{
	if (within == PLACE_WITHIN_WORKER)
		return (int)w->order;
	return within == PLACE_WITHIN_RACK ? w->rack : w->zone;
}

static bool group_may_hold(const struct slot *slots, size_t count, const struct place_shape *shape)
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

/* Cells of one worker share its cores: a member taken from one leaves less for the others. */
static void take(struct place *p, struct slot *slot, const struct query *q, struct member *out)
{
	uint64_t run = topo_run((uint32_t)slot->offset, q->shape->accelerators);

	*out = (struct member){.job = q->job, .worker = slot->worker, .mask = run};
	out->cell = slot->cell;
	slot->mask &= ~run;
	slot->cores -= q->shape->cores;
	slot->memory -= q->shape->memory_mb;
	score_slot(p, slot, q);
}

static double fill_group(struct place *p, const struct slot *slots, size_t count,
			 const struct query *q, double limit, struct member *out)
{
	double total = 0;

	memcpy(p->scratch, slots, count * sizeof(*slots));
	for (uint32_t m = 0; m < q->shape->members; m++) {
		size_t best = 0;

		for (size_t i = 1; i < count; i++) {
			if (p->scratch[i].score < p->scratch[best].score)
				best = i;
		}
		if (p->scratch[best].offset < 0)
			return NO_ROOM;
		total += p->scratch[best].score;
		if (total >= limit)
			return NO_ROOM;
		take(p, &p->scratch[best], q, &out[m]);
	}
	return total;
}

static int compare_slots(const void *a, const void *b)
{
	const struct slot *x = a;
	const struct slot *y = b;

	return x->worker->order < y->worker->order ? -1 : x->worker->order > y->worker->order;
}

/* Work of another shape than the guaranteed one only borrows, also from its own organisation. */
bool search_inside(const struct place_shape *job, const struct place_shape *guarantee)
{
	return job->members <= guarantee->members && job->accelerators <= guarantee->accelerators &&
	       (job->accelerators > 0 || guarantee->accelerators == 0) &&
	       (job->members == 1 || job->within <= guarantee->within);
}

static size_t collect_cells(struct place *p, const struct query *q)
{
	size_t n = 0;

	for (size_t u = 0; u < q->org->unit_count; u++) {
		struct unit *unit = q->org->units[u];

		if (!search_inside(q->shape, &unit->shape))
			continue;
		for (uint32_t c = 0; c < unit->shape.members; c++) {
			struct slot *slot = &p->slots[n];

			*slot = (struct slot){.worker = unit->cells[c].worker};
			if (cell_slot(&unit->cells[c], q, slot))
				n++;
		}
	}
	qsort(p->slots, n, sizeof(p->slots[0]), compare_slots);
	return n;
}

static size_t collect_workers(struct place *p, const struct query *q)
{
	size_t n = 0;

	for (size_t i = 0; i < p->order_count; i++) {
		struct slot *slot = &p->slots[n];
		struct worker *w = p->order[i];

		if (q->shape->accelerators > w->accelerators)
			continue;
		if (q->mode == QUERY_FREE && q->shape->accelerators && w->used == w->all)
			continue;
		*slot = (struct slot){.worker = w};
		if (q->job ? worker_slot(w, q, slot) : home_slot(w, q, slot))
			n++;
	}
	return n;
}

static bool search_groups(struct place *p, const struct query *q, size_t n, struct member *out)
{
	struct member trial[PLACE_MEMBERS_MAX];
	double best = NO_ROOM;
	/* Homes score below 0 where they cover own work, so only complete totals compare. */
	bool prune = q->mode != QUERY_HOME;

	for (size_t i = 0; i < n; i++)
		score_slot(p, &p->slots[i], q);
	for (size_t begin = 0, end; begin < n; begin = end) {
		int group = group_of(p->slots[begin].worker, q->shape->within);
		double score;

		for (end = begin + 1; end < n; end++) {
			if (group_of(p->slots[end].worker, q->shape->within) != group)
				break;
		}
		if (!group_may_hold(&p->slots[begin], end - begin, q->shape))
			continue;
		score = fill_group(p, &p->slots[begin], end - begin, q, prune ? best : NO_ROOM,
				   trial);
		if (score >= best)
			continue;
		best = score;
		memcpy(out, trial, q->shape->members * sizeof(*out));
	}
	return best < NO_ROOM;
}

/* Finds the best complete placement; @out receives shape.members members. */
bool search_place(struct place *p, const struct query *q, struct member *out)
{
	size_t n;

	topo_order(p);
	if (q->mode == QUERY_CELLS || q->mode == QUERY_CELLS_EVICT)
		n = collect_cells(p, q);
	else
		n = collect_workers(p, q);
	return search_groups(p, q, n, out);
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

static bool known_to_fit(const struct place *p, const struct place_shape *shape)
{
	for (size_t i = 0; i < p->fitting_count; i++) {
		if (memcmp(&p->fitting[i], shape, sizeof(*shape)) == 0)
			return true;
	}
	return false;
}

/* Could the shape be placed on the known workers, lost ones included, if nothing ran? */
bool search_capacity(struct place *p, const struct place_shape *shape)
{
	struct query q = {.mode = QUERY_HOME_FREE, .shape = shape};
	struct member out[PLACE_MEMBERS_MAX];
	size_t n = p->workers->len;

	if (known_to_fit(p, shape))
		return true;
	topo_order(p);
	topo_reserve_slots(p, n);
	for (size_t i = 0; i < n; i++) {
		struct worker *w = p->workers->pdata[i];

		p->slots[i] = (struct slot){
			.worker = w, .mask = w->all, .cores = w->cores, .memory = w->memory};
	}
	qsort(p->slots, n, sizeof(p->slots[0]), compare_groups);
	for (size_t i = 0; i < n; i++)
		p->slots[i].worker->order = (uint32_t)i;
	p->order_dirty = true;
	if (!search_groups(p, &q, n, out))
		return false;
	p->fitting[p->fitting_next] = *shape;
	p->fitting_next = (p->fitting_next + 1) % FITTING_SHAPES_MAX;
	p->fitting_count = MAX(p->fitting_count, p->fitting_next);
	return true;
}
