#include "place_impl.h"

#define PERIOD_MS 15000		/* between moves, so that one takes effect before the next */
#define WORTH_MS 120000		/* expected remaining run time that pays for a move */
#define MIN_RUN_MS 120000	/* run time between two moves of a job */
#define COMPACT_MEMBERS_MAX 8

static bool may_move(const struct place *p, const struct job *job)
{
	return job->shape.members == 1 && job->shape.accelerators > 0 && job->state == JOB_RUNNING &&
	       !job->stopping && !job->urgent && sched_moves_easily(p, job) &&
	       p->now_ms >= job->started_ms + MIN_RUN_MS &&
	       estimate_remaining_ms(job, p->now_ms) >= WORTH_MS && search_budget_left(p, job);
}

static bool movable(const struct place *p, const struct worker *w)
{
	if (!topo_usable(w) || w->used == 0 || w->reserved || w->earmarked ||
	    w->members->len > COMPACT_MEMBERS_MAX)
		return false;
	for (guint i = 0; i < w->members->len; i++) {
		const struct member *m = w->members->pdata[i];

		if (!may_move(p, m->job))
			return false;
	}
	return true;
}

static bool take_run(uint64_t *free, uint32_t width)
{
	uint64_t starts = *free;

	for (uint32_t i = 1; i < width; i++)
		starts &= *free >> i;
	if (!starts)
		return false;
	*free &= ~topo_run((uint32_t)__builtin_ctzll(starts), width);
	return true;
}

static bool fits_beside(const struct worker *other, const struct job *job, uint64_t *free)
{
	return other->cores_used + job->shape.cores <= other->cores &&
	       other->memory_used + job->shape.memory_mb <= other->memory &&
	       take_run(free, job->shape.accelerators);
}

/* Would all jobs of the worker find gaps on other workers that are in use already? */
static bool gaps_elsewhere(struct place *p, const struct worker *w)
{
	uint64_t *free = talloc_array(p, uint64_t, p->order_count + 1);
	bool all = true;

	for (size_t i = 0; i < p->order_count; i++) {
		const struct worker *o = p->order[i];
		bool gap = o != w && topo_usable(o) && o->used && o->avoid_until_ms <= p->now_ms;

		free[i] = gap ? o->all & ~(o->used | o->reserved | o->earmarked | o->reported) : 0;
	}
	for (guint m = 0; m < w->members->len && all; m++) {
		const struct member *member = w->members->pdata[m];
		bool found = false;

		for (size_t i = 0; i < p->order_count && !found; i++)
			found = free[i] && fits_beside(p->order[i], member->job, &free[i]);
		all = found;
	}
	talloc_free(free);
	return all;
}

/* Moving costs a checkpoint and a restart of each job; few busy accelerators make it pay. */
static struct worker *find_worker(struct place *p)
{
	struct worker *best = NULL;

	for (size_t i = 0; i < p->order_count; i++) {
		struct worker *w = p->order[i];
		int used = __builtin_popcountll(w->used);

		if (2 * used > (int)w->accelerators ||
		    (best && used >= __builtin_popcountll(best->used)))
			continue;
		if (movable(p, w) && gaps_elsewhere(p, w))
			best = w;
	}
	return best;
}

/* With nothing waiting, empties a worker by moving its small jobs into gaps of others. */
uint64_t compact_step(struct place *p, uint64_t now_ms)
{
	struct worker *w;

	if (p->waiting || p->placed == 0 || p->policy.weight_fragmentation <= 0)
		return UINT64_MAX;
	if (now_ms < p->compact_ms)
		return p->compact_ms - now_ms;
	p->compact_ms = now_ms + PERIOD_MS;
	w = find_worker(p);
	for (guint i = 0; w && i < w->members->len; i++) {
		struct member *m = w->members->pdata[i];

		sched_move(p, m->job, "moved into a gap so that adjacent accelerators become free");
	}
	return PERIOD_MS;
}
