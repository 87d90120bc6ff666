#include "frag.h"
#include "place_impl.h"

#define MOVE_PERIOD_MS 5000		/* lets one move take effect before the next */
#define MOVE_PERIOD_LARGE_FLEET_MS 1000 /* moves seldom affect the same workers */
#define LARGE_FLEET_WORKERS 100
#define REMAINING_MIN_MS 60000 /* expected remaining run time from which a move pays */
#define MIN_RUN_MS 60000       /* least run time between two moves of a job */
#define FRAG_GAIN_MIN 0.03     /* decrease of fragmentation from which a move pays */
#define CANDIDATES_MAX 16      /* workers compared per pass */
#define CANDIDATES_MIN 2
#define CANDIDATE_COST_MAX 8000 /* bounds the cost of a pass: candidates x workers of the fleet */
#define COMPACT_MEMBERS_MAX 8
#define WORKERS_PER_WAITING 10 /* allows one more waiting job for this many workers */
#define WAITING_MAX 4	       /* with more waiting jobs, freed accelerators are soon used anyway */

/* Plan for moving all members off one worker. */
struct plan {
	struct frag_worker *workers; /* free accelerators after the move, by place->order */
	size_t *target;		     /* index in place->order of each member's new worker */
	double share;		     /* fragmentation after the move */
};

static bool may_move_member(const struct place *place, const struct member *member)
{
	const struct job *job = member->job;

	return job->shape.accelerators > 0 && job->state == JOB_RUNNING && !job->stopping &&
	       !job->urgent && job->checkpoint && !(member->cell && sched_large(place, job)) &&
	       place->now_ms >= job->started_ms + MIN_RUN_MS &&
	       estimate_remaining_ms(job, place->now_ms) >= REMAINING_MIN_MS &&
	       search_eviction_budget_left(place, job);
}

static bool may_empty_worker(const struct place *place, const struct worker *worker)
{
	if (!topo_worker_usable(worker) || worker->used_mask == 0 || worker->reserved_mask ||
	    worker->draining_mask || worker->members->len > COMPACT_MEMBERS_MAX)
		return false;
	for (guint i = 0; i < worker->members->len; i++) {
		if (!may_move_member(place, worker->members->pdata[i]))
			return false;
	}
	return true;
}

static uint64_t find_cheapest_run(uint64_t free, uint32_t width, double *loss)
{
	uint64_t starts = free;
	uint64_t best = 0;

	for (uint32_t i = 1; i < width; i++)
		starts &= free >> i;
	for (; starts; starts &= starts - 1) {
		uint64_t run = topo_run_mask((uint32_t)__builtin_ctzll(starts), width);
		double cost = topo_buddy_value(free) - topo_buddy_value(free & ~run);

		if (best && cost >= *loss)
			continue;
		best = run;
		*loss = cost;
	}
	return best;
}

/*
 * Chooses the run of free accelerators that splits up the free blocks least, on any worker but
 * @from. A worker without work is chosen only for a member that needs all its accelerators.
 */
static bool assign_target(struct place *place, const struct worker *from, const struct job *job,
			  struct plan *plan, size_t *target)
{
	uint64_t best = 0;
	double best_loss = 0;

	for (size_t i = 0; i < place->order_count; i++) {
		const struct worker *other = place->order[i];
		double loss = 0;
		uint64_t run;

		if (other == from || !topo_worker_usable(other) || other->reserved_mask ||
		    other->draining_mask ||
		    (plan->workers[i].free == other->all_mask &&
		     job->shape.accelerators < other->accelerators) ||
		    other->cores_used + job->shape.cores > other->cores ||
		    other->memory_used + job->shape.memory_mb > other->memory)
			continue;
		run = find_cheapest_run(plan->workers[i].free, job->shape.accelerators, &loss);
		if (!run || (best && loss >= best_loss))
			continue;
		best = run;
		best_loss = loss;
		*target = i;
	}
	if (best)
		plan->workers[*target].free &= ~best;
	return best != 0;
}

static void load_free_masks(const struct place *place, struct plan *plan)
{
	for (size_t i = 0; i < place->order_count; i++) {
		const struct worker *worker = place->order[i];

		plan->workers[i].zone = worker->zone;
		plan->workers[i].rack = worker->rack;
		plan->workers[i].free =
			topo_worker_usable(worker) ? worker->all_mask & ~worker->used_mask : 0;
	}
}

static bool plan_emptying(struct place *place, const struct worker *worker,
			  const struct frag_shape *shapes, size_t shape_count, struct plan *plan)
{
	load_free_masks(place, plan);
	for (guint i = 0; i < worker->members->len; i++) {
		const struct member *member = worker->members->pdata[i];

		if (!assign_target(place, worker, member->job, plan, &plan->target[i]))
			return false;
	}
	plan->workers[worker->order].free = worker->all_mask;
	plan->share = frag_share(plan->workers, place->order_count, shapes, shape_count);
	return true;
}

static struct plan *create_plan(struct place *place, TALLOC_CTX *mem)
{
	struct plan *plan = talloc_zero(mem, struct plan);

	plan->workers = talloc_array(plan, struct frag_worker, place->order_count + 1);
	plan->target = talloc_zero_array(plan, size_t, COMPACT_MEMBERS_MAX);
	return plan;
}

static void move_members(struct place *place, const struct worker *worker, const struct plan *plan)
{
	for (guint i = 0; i < worker->members->len; i++) {
		struct job *job = ((struct member *)worker->members->pdata[i])->job;

		job->move_to = place->order[plan->target[i]];
		sched_move(place, job,
			   "moved into a gap so that adjacent accelerators become free");
	}
}

static void empty_best_worker(struct place *place)
{
	TALLOC_CTX *mem = talloc_new(place);
	size_t shape_count;
	struct frag_shape *shapes = frag_demanded_shapes(place, mem, &shape_count);
	struct plan *best = create_plan(place, mem);
	struct plan *trial = create_plan(place, mem);
	const struct worker *from = NULL;
	int candidates = 0;
	int limit =
		(int)CLAMP(CANDIDATE_COST_MAX / place->order_count, CANDIDATES_MIN, CANDIDATES_MAX);

	load_free_masks(place, best);
	best->share =
		frag_share(best->workers, place->order_count, shapes, shape_count) - FRAG_GAIN_MIN;
	for (size_t i = 0; i < place->order_count && candidates < limit; i++) {
		const struct worker *worker =
			place->order[(place->compact_turn + i) % place->order_count];

		if (!may_empty_worker(place, worker))
			continue;
		candidates++;
		if (!plan_emptying(place, worker, shapes, shape_count, trial) ||
		    trial->share > best->share)
			continue;
		from = worker;
		struct plan *swap = best;
		best = trial;
		trial = swap;
	}
	place->compact_turn += (size_t)limit;
	if (from)
		move_members(place, from, best);
	talloc_free(mem);
}

/* While few jobs wait, empties a worker by moving its jobs, if that lowers fragmentation enough. */
uint64_t compact_step(struct place *place, uint64_t now_ms)
{
	uint64_t period = place->order_count > LARGE_FLEET_WORKERS ? MOVE_PERIOD_LARGE_FLEET_MS
								   : MOVE_PERIOD_MS;

	if (place->waiting > WAITING_MAX + place->order_count / WORKERS_PER_WAITING ||
	    place->placed == 0 || place->order_count == 0 ||
	    place->policy.weight_fragmentation <= 0)
		return UINT64_MAX;
	if (now_ms < place->compact_ms)
		return place->compact_ms - now_ms;
	place->compact_ms = now_ms + period;
	empty_best_worker(place);
	return period;
}
