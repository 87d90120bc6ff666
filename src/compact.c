#include "frag.h"
#include "place_impl.h"

#define PERIOD_MS 5000	     /* between moves, so that one takes effect before the next */
#define PERIOD_LARGE_MS 1000 /* the same in a fleet in which moves seldom meet */
#define LARGE_FLEET 100
#define WORTH_MS 60000	  /* expected remaining run time that pays for a move */
#define MIN_RUN_MS 60000  /* run time between two moves of a job */
#define GAIN_MIN 0.03	  /* of the fragmentation, for a move to pay */
#define CANDIDATES_MAX 16 /* workers weighed at a time */
#define CANDIDATES_MIN 2
#define CANDIDATE_WORKERS 8000 /* candidates x workers of the fleet, which bounds the cost */
#define COMPACT_MEMBERS_MAX 8
#define WORKERS_PER_WAITING 10 /* one more waiting job for this many workers */
#define WAITING_MAX 4	       /* with more, what a move frees is soon used anyway */

/* Free accelerators of each worker, by place->order, as a move would leave them. */
struct plan {
	struct frag_worker *workers;
	size_t *target; /* index of the worker that each member of the emptied one moves to */
	double share;
};

static bool may_move(const struct place *p, const struct member *m)
{
	const struct job *job = m->job;

	return job->shape.accelerators > 0 && job->state == JOB_RUNNING && !job->stopping &&
	       !job->urgent && job->checkpoint && !(m->cell && sched_large(p, job)) &&
	       p->now_ms >= job->started_ms + MIN_RUN_MS &&
	       estimate_remaining_ms(job, p->now_ms) >= WORTH_MS && search_budget_left(p, job);
}

static bool movable(const struct place *p, const struct worker *w)
{
	if (!topo_usable(w) || w->used == 0 || w->reserved || w->earmarked ||
	    w->members->len > COMPACT_MEMBERS_MAX)
		return false;
	for (guint i = 0; i < w->members->len; i++) {
		if (!may_move(p, w->members->pdata[i]))
			return false;
	}
	return true;
}

static uint64_t best_run(uint64_t free, uint32_t width, double *loss)
{
	uint64_t starts = free;
	uint64_t best = 0;

	for (uint32_t i = 1; i < width; i++)
		starts &= free >> i;
	for (; starts; starts &= starts - 1) {
		uint64_t run = topo_run((uint32_t)__builtin_ctzll(starts), width);
		double cost = topo_potential(free) - topo_potential(free & ~run);

		if (best && cost >= *loss)
			continue;
		best = run;
		*loss = cost;
	}
	return best;
}

/* The gap that breaks up least; an idle worker only for work that fills it. */
static bool assign(struct place *p, const struct worker *from, const struct job *job,
		   struct plan *plan, size_t *target)
{
	uint64_t best = 0;
	double best_loss = 0;

	for (size_t i = 0; i < p->order_count; i++) {
		const struct worker *o = p->order[i];
		double loss = 0;
		uint64_t run;

		if (o == from || !topo_usable(o) || o->reserved || o->earmarked ||
		    (plan->workers[i].free == o->all &&
		     job->shape.accelerators < o->accelerators) ||
		    o->cores_used + job->shape.cores > o->cores ||
		    o->memory_used + job->shape.memory_mb > o->memory)
			continue;
		run = best_run(plan->workers[i].free, job->shape.accelerators, &loss);
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

static void read_free(const struct place *p, struct plan *plan)
{
	for (size_t i = 0; i < p->order_count; i++) {
		const struct worker *w = p->order[i];

		plan->workers[i].zone = w->zone;
		plan->workers[i].rack = w->rack;
		plan->workers[i].free = topo_usable(w) ? w->all & ~w->used : 0;
	}
}

static bool plan_move(struct place *p, const struct worker *w, const struct frag_shape *shapes,
		      size_t shape_count, struct plan *plan)
{
	read_free(p, plan);
	for (guint m = 0; m < w->members->len; m++) {
		const struct member *member = w->members->pdata[m];

		if (!assign(p, w, member->job, plan, &plan->target[m]))
			return false;
	}
	plan->workers[w->order].free = w->all;
	plan->share = frag_share(plan->workers, p->order_count, shapes, shape_count);
	return true;
}

static struct plan *create_plan(struct place *p, TALLOC_CTX *mem)
{
	struct plan *plan = talloc_zero(mem, struct plan);

	plan->workers = talloc_array(plan, struct frag_worker, p->order_count + 1);
	plan->target = talloc_zero_array(plan, size_t, COMPACT_MEMBERS_MAX);
	return plan;
}

static void move_all(struct place *p, const struct worker *w, const struct plan *plan)
{
	for (guint m = 0; m < w->members->len; m++) {
		struct job *job = ((struct member *)w->members->pdata[m])->job;

		job->move_to = p->order[plan->target[m]];
		sched_move(p, job, "moved into a gap so that adjacent accelerators become free");
	}
}

static void compact(struct place *p)
{
	TALLOC_CTX *mem = talloc_new(p);
	size_t shape_count;
	struct frag_shape *shapes = frag_demand(p, mem, &shape_count);
	struct plan *best = create_plan(p, mem);
	struct plan *trial = create_plan(p, mem);
	const struct worker *from = NULL;
	int candidates = 0;
	int limit = (int)CLAMP(CANDIDATE_WORKERS / p->order_count, CANDIDATES_MIN, CANDIDATES_MAX);

	read_free(p, best);
	best->share = frag_share(best->workers, p->order_count, shapes, shape_count) - GAIN_MIN;
	for (size_t i = 0; i < p->order_count && candidates < limit; i++) {
		const struct worker *w = p->order[(p->compact_turn + i) % p->order_count];

		if (!movable(p, w))
			continue;
		candidates++;
		if (!plan_move(p, w, shapes, shape_count, trial) || trial->share > best->share)
			continue;
		from = w;
		struct plan *swap = best;
		best = trial;
		trial = swap;
	}
	p->compact_turn += (size_t)limit;
	if (from)
		move_all(p, from, best);
	talloc_free(mem);
}

/* With nothing waiting, empties a worker by moving its jobs, if that lowers fragmentation. */
uint64_t compact_step(struct place *p, uint64_t now_ms)
{
	uint64_t period = p->order_count > LARGE_FLEET ? PERIOD_LARGE_MS : PERIOD_MS;

	if (p->waiting > WAITING_MAX + p->order_count / WORKERS_PER_WAITING || p->placed == 0 ||
	    p->order_count == 0 || p->policy.weight_fragmentation <= 0)
		return UINT64_MAX;
	if (now_ms < p->compact_ms)
		return p->compact_ms - now_ms;
	p->compact_ms = now_ms + period;
	compact(p);
	return period;
}
