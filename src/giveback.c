#include "place_impl.h"

#define CHECK_PERIOD_MS 1000
#define OFFERS_PER_STEP 2
/* Idle workers of each size that are not offered, for bursts and reclaimed guarantees. */
#define IDLE_KEPT_PER_SIZE 1

static bool idle_long_enough(const struct place *place, const struct worker *worker,
			     uint64_t now_ms)
{
	return topo_worker_usable(worker) && worker->members->len == 0 &&
	       worker->reserved_mask == 0 && worker->reported_mask == 0 &&
	       worker->cores_reserved == 0 &&
	       now_ms >= worker->idle_since_ms + place->policy.give_back_idle_ms &&
	       now_ms >= worker->returned_ms + place->policy.give_back_idle_ms;
}

/* True if the largest shape submitted so far would not fit into free room without the worker. */
static bool would_strand_demand(struct place *place, struct worker *worker)
{
	struct query query = {.mode = QUERY_GUARANTEE_FREE,
			      .shape = &place->largest_submitted_shape};
	struct member out[PLACE_MEMBERS_MAX];
	bool fits;

	if (place->largest_submitted_shape.members == 0)
		return false;
	worker->offered = true;
	fits = search_placement(place, &query, out);
	worker->offered = false;
	return !fits;
}

static uint32_t count_idle_same_size(const struct place *place, const struct worker *worker)
{
	uint32_t count = 0;

	for (size_t i = 0; i < place->order_count; i++) {
		const struct worker *other = place->order[i];

		count += topo_worker_usable(other) && other->members->len == 0 &&
			 other->accelerators == worker->accelerators;
	}
	return count;
}

static bool offer_worker(struct place *place, struct worker *worker, uint64_t now_ms)
{
	if (count_idle_same_size(place, worker) <= IDLE_KEPT_PER_SIZE ||
	    would_strand_demand(place, worker) || !guarantee_move_units_off(place, worker, now_ms))
		return false;
	worker->offered = true;
	worker->offered_ms = now_ms;
	sched_emit(place, &(struct place_decision){
				  .kind = PLACE_OFFER_BACK,
				  .worker = worker->name,
				  .reason = "idle, and no guarantee or waiting job needs it",
			  });
	return true;
}

static void take_back_worker(struct place *place, struct worker *worker, uint64_t now_ms,
			     const char *reason)
{
	worker->offered = false;
	worker->returned_ms = now_ms;
	worker->idle_since_ms = now_ms;
	place->guarantees_dirty = true;
	place->gen++;
	place->queue_pass_due = true;
	sched_emit(place, &(struct place_decision){
				  .kind = PLACE_TAKE_BACK,
				  .worker = worker->name,
				  .reason = reason,
			  });
}

static uint64_t take_back_wanted_workers(struct place *place, uint64_t now_ms)
{
	const char *reason = NULL;

	if (place->units_unmet)
		reason = "a guarantee needs it";
	else if (place->waiting)
		reason = "waiting jobs need it";
	else if (!place->policy.give_back)
		reason = "giving back is switched off";
	if (!reason)
		return CHECK_PERIOD_MS;
	for (size_t i = 0; i < place->order_count; i++) {
		struct worker *worker = place->order[i];

		if (worker->offered &&
		    now_ms >= worker->offered_ms + place->policy.give_back_return_ms)
			take_back_worker(place, worker, now_ms, reason);
	}
	return CHECK_PERIOD_MS;
}

uint64_t giveback_step(struct place *place, uint64_t now_ms)
{
	uint64_t next = UINT64_MAX;
	int offers = 0;

	if (!place->policy.give_back && place->offered == 0)
		return next;
	next = take_back_wanted_workers(place, now_ms);
	place->offered = 0;
	for (size_t i = 0; i < place->order_count; i++)
		place->offered += place->order[i]->offered;
	if (!place->policy.give_back || place->waiting || place->units_unmet ||
	    place->guarantees_dirty)
		return next;
	for (size_t i = 0; i < place->order_count && offers < OFFERS_PER_STEP; i++) {
		if (idle_long_enough(place, place->order[i], now_ms) &&
		    offer_worker(place, place->order[i], now_ms)) {
			offers++;
			place->offered++;
		}
	}
	return next;
}
