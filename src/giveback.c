#include "place_impl.h"

#define CHECK_MS 1000
#define OFFERS_PER_STEP 2
#define KEEP_IDLE 1 /* idle workers of each size kept for bursts and reclaimed guarantees */

static bool idle_long(const struct place *p, const struct worker *w, uint64_t now_ms)
{
	return topo_usable(w) && w->members->len == 0 && w->reserved == 0 && w->reported == 0 &&
	       w->cores_reserved == 0 && now_ms >= w->idle_since_ms + p->policy.give_back_idle_ms &&
	       now_ms >= w->returned_ms + p->policy.give_back_idle_ms;
}

/* The largest shape that came lately must still fit without the worker. */
static bool strands_demand(struct place *p, struct worker *w)
{
	struct query q = {.mode = QUERY_HOME_FREE, .shape = &p->largest_lately};
	struct member out[PLACE_MEMBERS_MAX];
	bool fits;

	if (p->largest_lately.members == 0)
		return false;
	w->offered = true;
	fits = search_place(p, &q, out);
	w->offered = false;
	return !fits;
}

static uint32_t idle_like(const struct place *p, const struct worker *w)
{
	uint32_t count = 0;

	for (size_t i = 0; i < p->order_count; i++) {
		const struct worker *other = p->order[i];

		count += topo_usable(other) && other->members->len == 0 &&
			 other->accelerators == w->accelerators;
	}
	return count;
}

static bool offer(struct place *p, struct worker *w, uint64_t now_ms)
{
	if (idle_like(p, w) <= KEEP_IDLE || strands_demand(p, w) ||
	    !guarantee_move_off(p, w, now_ms))
		return false;
	w->offered = true;
	w->offered_ms = now_ms;
	sched_emit(p, &(struct place_decision){
			      .kind = PLACE_OFFER_BACK,
			      .worker = w->name,
			      .reason = "idle, and no guarantee or waiting job needs it",
		      });
	return true;
}

static void take_back(struct place *p, struct worker *w, uint64_t now_ms, const char *reason)
{
	w->offered = false;
	w->returned_ms = now_ms;
	w->idle_since_ms = now_ms;
	p->homes_dirty = true;
	p->gen++;
	p->work_due = true;
	sched_emit(p, &(struct place_decision){
			      .kind = PLACE_TAKE_BACK,
			      .worker = w->name,
			      .reason = reason,
		      });
}

static uint64_t take_back_due(struct place *p, uint64_t now_ms)
{
	const char *reason = NULL;

	if (p->units_unmet)
		reason = "a guarantee needs it";
	else if (p->waiting)
		reason = "waiting jobs need it";
	else if (!p->policy.give_back)
		reason = "giving back is switched off";
	if (!reason)
		return CHECK_MS;
	for (size_t i = 0; i < p->order_count; i++) {
		struct worker *w = p->order[i];

		if (w->offered && now_ms >= w->offered_ms + p->policy.give_back_return_ms)
			take_back(p, w, now_ms, reason);
	}
	return CHECK_MS;
}

uint64_t giveback_step(struct place *p, uint64_t now_ms)
{
	uint64_t next = UINT64_MAX;
	int offers = 0;

	if (!p->policy.give_back && p->offered == 0)
		return next;
	next = take_back_due(p, now_ms);
	p->offered = 0;
	for (size_t i = 0; i < p->order_count; i++)
		p->offered += p->order[i]->offered;
	if (!p->policy.give_back || p->waiting || p->units_unmet || p->homes_dirty)
		return next;
	for (size_t i = 0; i < p->order_count && offers < OFFERS_PER_STEP; i++) {
		if (idle_long(p, p->order[i], now_ms) && offer(p, p->order[i], now_ms)) {
			offers++;
			p->offered++;
		}
	}
	return next;
}
