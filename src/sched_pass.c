#include "place_impl.h"

#include <math.h>
#include <string.h>

#define SEARCHES_PER_STEP 48 /* keeps one step within its time limit; the next step continues */
#define EVICT_SEARCHES_PER_STEP 4    /* a search that weighs evictions costs several times more */
#define WAITING_JOBS_SCANNED_MAX 256 /* per organisation, oldest first */
#define DRAINING_SHARE_MAX 0.34	     /* of the fleet's accelerators that drain for large jobs */
#define QUEUE_PASS_PERIOD_MS 1000    /* also the retry delay for reservations of large jobs */
#define AGED_RETRY_MS 5000	     /* retry delay for reservations of other jobs */
#define IDLE_STEP_MS 10000	     /* time to the next step when no job waits */
#define URGENT_RETRY_MS 200
#define CLEARING_COST_BASE_MS 120000.0	 /* cost accepted without a wait, per accelerator */
#define CLEARING_COST_PER_WAITED_MS 0.25 /* cost accepted in addition per ms of waiting */
#define AGE_SCALE_MS 600000.0		 /* this wait outweighs borrowing the whole fleet */

struct pass {
	struct place *place;
	uint64_t now_ms;
	int searches;
	int evict_searches;
	bool unfinished;
};

static bool over_quota(const struct job *job)
{
	const struct organisation *organisation = job->org;

	return organisation->quota &&
	       organisation->used + job->shape.members * job->shape.accelerators >
		       organisation->quota;
}

static bool ready_to_place(const struct pass *pass, const struct job *job)
{
	return !job->reservation && !job->given_up && job->not_before_ms <= pass->now_ms &&
	       !over_quota(job);
}

static bool search_and_start(struct pass *pass, struct job *job, enum query_mode mode)
{
	struct query query = sched_query(pass->place, job, mode);
	struct member out[PLACE_MEMBERS_MAX];

	pass->searches++;
	if (!search_placement(pass->place, &query, out) || !sched_room_free(job, out))
		return false;
	sched_start(pass->place, job, out);
	return true;
}

static double placement_eviction_cost(const struct pass *pass, const struct job *job,
				      const struct member *members)
{
	double cost = 0;

	for (uint32_t i = 0; i < job->shape.members; i++) {
		const struct member *member = &members[i];
		const struct job *last = NULL;

		for (uint64_t rest = member->mask & member->worker->used_mask; rest;
		     rest &= rest - 1) {
			const struct job *victim =
				member->worker->granted_jobs[__builtin_ctzll(rest)];

			if (victim != last)
				cost += search_evict_cost(pass->place, victim, pass->now_ms);
			last = victim;
		}
	}
	return cost;
}

static bool would_lose_work(const struct job *job, const struct member *members)
{
	for (uint32_t i = 0; i < job->shape.members; i++) {
		const struct member *member = &members[i];

		for (uint64_t rest = member->mask & member->worker->used_mask; rest;
		     rest &= rest - 1) {
			const struct job *victim =
				member->worker->granted_jobs[__builtin_ctzll(rest)];

			if (!victim->checkpoint && !victim->stopping)
				return true;
		}
	}
	return false;
}

/*
 * Would the job displace less work outside its guarantee than inside? Then the work that borrows
 * the guarantee, for instance a large job, keeps running. @members receives the cheaper placement.
 */
static bool cheaper_outside_guarantee(struct pass *pass, struct job *job, struct member *members)
{
	struct query query = sched_query(pass->place, job, QUERY_EVICT);
	struct member out[PLACE_MEMBERS_MAX];

	query.entitled = true;
	pass->searches++;
	if (!search_placement(pass->place, &query, out))
		return false;
	if (placement_eviction_cost(pass, job, out) >= placement_eviction_cost(pass, job, members))
		return false;
	memcpy(members, out, job->shape.members * sizeof(*out));
	return true;
}

/*
 * Places a job within the guarantee of its organisation. If necessary, evicts work that borrows the
 * guarantee; then the job holds a reservation until that work has stopped.
 */
static bool place_guaranteed_job(struct pass *pass, struct job *job)
{
	struct query query = sched_query(pass->place, job, QUERY_CELLS_EVICT);
	struct member out[PLACE_MEMBERS_MAX];

	/*
	 * Work that is cheap to move leaves the guarantee to other work while there are free
	 * accelerators elsewhere.
	 */
	if (query.cheap_to_move && search_and_start(pass, job, QUERY_FREE))
		return true;
	if (search_and_start(pass, job, QUERY_CELLS))
		return true;
	pass->searches++;
	if (!guarantee_permits_eviction(job) || !search_placement(pass->place, &query, out))
		return false;
	if (would_lose_work(job, out) &&
	    guarantee_move_unused_unit(pass->place, job, pass->now_ms) &&
	    search_and_start(pass, job, QUERY_CELLS))
		return true;
	if (!search_placement(pass->place, &query, out))
		return false;
	if (sched_evictable(job) && cheaper_outside_guarantee(pass, job, out))
		job->entitled = true;
	sched_reserve(pass->place, job, out, true);
	sched_clear_reservation(pass->place, job,
				"its accelerators are guaranteed to another organisation");
	sched_start_reserved(pass->place, job);
	return true;
}

static bool not_smaller(const struct place_shape *shape, const struct place_shape *failed)
{
	return shape->members >= failed->members && shape->accelerators >= failed->accelerators &&
	       shape->cores >= failed->cores && shape->memory_mb >= failed->memory_mb &&
	       shape->within >= failed->within;
}

/* Capacity only shrinks within a step, so a shape that contains a failed one needs no search. */
static bool known_not_to_fit(const struct place *place, const struct place_shape *shape,
			     bool may_borrow)
{
	for (size_t i = 0; i < place->failed_shape_count; i++) {
		if (place->failed_shapes[i].may_borrow >= may_borrow &&
		    not_smaller(shape, &place->failed_shapes[i].shape))
			return true;
	}
	return false;
}

static void record_failed_shape(struct place *place, const struct place_shape *shape,
				bool may_borrow)
{
	if (place->failed_shape_count == FAILED_SHAPES_MAX)
		return;
	place->failed_shapes[place->failed_shape_count].shape = *shape;
	place->failed_shapes[place->failed_shape_count++].may_borrow = may_borrow;
}

static void place_guaranteed_jobs(struct pass *pass, struct organisation *organisation)
{
	struct place_shape failed[4];
	size_t failed_count = 0;
	GList *next;

	for (GList *link = organisation->waiting.head; link; link = next) {
		struct job *job = link->data;
		bool skip = false;

		next = link->next;
		if (!ready_to_place(pass, job))
			continue;
		for (size_t i = 0; i < failed_count; i++)
			skip |= not_smaller(&job->shape, &failed[i]);
		if (skip || place_guaranteed_job(pass, job))
			continue;
		if (failed_count == G_N_ELEMENTS(failed))
			break;
		failed[failed_count++] = job->shape;
	}
}

static void run_guaranteed_pass(struct pass *pass)
{
	struct place *place = pass->place;

	for (guint i = 0; i < place->orgs->len; i++) {
		struct organisation *organisation =
			place->orgs->pdata[(place->first_org + i) % place->orgs->len];

		if (!organisation->guaranteed_pass_due || organisation->waiting.length == 0 ||
		    organisation->unit_count == 0)
			continue;
		if (pass->searches >= SEARCHES_PER_STEP) {
			place->first_org = (place->first_org + i) % place->orgs->len;
			pass->unfinished = true;
			return;
		}
		organisation->guaranteed_pass_due = false;
		place_guaranteed_jobs(pass, organisation);
	}
}

static bool find_urgent_placement(struct pass *pass, struct query *query, struct member *out)
{
	pass->searches++;
	query->mode = QUERY_FREE;
	if (search_placement(pass->place, query, out) && sched_room_free(query->job, out))
		return true;
	query->mode = QUERY_EVICT;
	pass->evict_searches++;
	return search_placement(pass->place, query, out);
}

/*
 * Accelerators outside guarantees come first: a reclaim of a guarantee must not stop an urgent job
 * before it has started.
 */
static bool place_urgent_job(struct pass *pass, struct job *job)
{
	struct query query = sched_query(pass->place, job, QUERY_FREE);
	struct member out[PLACE_MEMBERS_MAX];
	bool may_borrow = query.may_borrow;

	query.may_borrow = false;
	if (!find_urgent_placement(pass, &query, out)) {
		query.may_borrow = may_borrow;
		if (!may_borrow || !find_urgent_placement(pass, &query, out))
			return false;
	}
	if (query.mode == QUERY_FREE) {
		sched_start(pass->place, job, out);
		return true;
	}
	sched_reserve(pass->place, job, out, true);
	sched_clear_reservation(pass->place, job, "urgent work needs its accelerators");
	sched_start_reserved(pass->place, job);
	return true;
}

static void run_urgent_pass(struct pass *pass)
{
	struct place *place = pass->place;

	for (guint i = 0; i < place->urgent->len;) {
		struct job *job = place->urgent->pdata[i];
		bool retry_due = job->tried_gen != place->gen || pass->now_ms >= job->retry_ms;

		if (!ready_to_place(pass, job) || !retry_due) {
			i++;
			continue;
		}
		if (pass->evict_searches >= EVICT_SEARCHES_PER_STEP) {
			pass->unfinished = true;
			return;
		}
		job->tried_gen = place->gen;
		job->retry_ms = pass->now_ms + URGENT_RETRY_MS;
		if (!place_urgent_job(pass, job) || job->reservation)
			i++;
	}
}

static double fair_share_key(const struct pass *pass, const struct organisation *organisation,
			     double total)
{
	const struct job *oldest = g_queue_peek_head((GQueue *)&organisation->waiting);
	double used = total > 0 ? organisation->borrowed / total : 0;
	double waited = (double)(pass->now_ms - MIN(pass->now_ms, oldest->submitted_ms));

	return used / organisation->share - waited / AGE_SCALE_MS;
}

static int compare_keys(const void *a, const void *b)
{
	const struct organisation *x = *(struct organisation *const *)a;
	const struct organisation *y = *(struct organisation *const *)b;

	if (x->sort_key != y->sort_key)
		return x->sort_key < y->sort_key ? -1 : 1;
	return x->index < y->index ? -1 : x->index > y->index;
}

static bool try_start_borrowing(struct pass *pass, struct job *job)
{
	struct place *place = pass->place;
	bool may_borrow = place->policy.lend_idle && sched_evictable(job);

	if (job->failed_on_count == 0 && known_not_to_fit(place, &job->shape, may_borrow))
		return false;
	if (search_and_start(pass, job, QUERY_FREE))
		return true;
	if (job->failed_on_count == 0 && (may_borrow || job->org->unit_count == 0))
		record_failed_shape(place, &job->shape, may_borrow);
	return false;
}

/* Starts the first job of the organisation's queue for which there is free capacity. */
static bool start_first_fitting_job(struct pass *pass, struct organisation *organisation)
{
	struct place *place = pass->place;

	while (organisation->cursor) {
		struct job *job = organisation->cursor->data;

		if (pass->searches >= SEARCHES_PER_STEP) {
			pass->unfinished = true;
			return false;
		}
		organisation->cursor = organisation->cursor->next;
		if (job->tried_gen == place->gen || job->urgent || !ready_to_place(pass, job))
			continue;
		if (try_start_borrowing(pass, job))
			return true;
		job->tried_gen = place->gen;
	}
	return false;
}

static void run_borrowing_pass(struct pass *pass)
{
	struct place *place = pass->place;
	struct organisation **queue =
		talloc_array(place, struct organisation *, place->orgs->len + 1);
	double total = topo_total_accelerators(place);
	size_t count = 0;

	place->failed_shape_count = 0;
	for (guint i = 0; i < place->orgs->len; i++) {
		struct organisation *organisation = place->orgs->pdata[i];

		organisation->cursor = organisation->waiting.head;
		if (!organisation->cursor)
			continue;
		organisation->sort_key = fair_share_key(pass, organisation, total);
		queue[count++] = organisation;
	}
	qsort(queue, count, sizeof(void *), compare_keys);
	while (count && !pass->unfinished) {
		size_t kept = 0;

		for (size_t i = 0; i < count && !pass->unfinished; i++) {
			if (start_first_fitting_job(pass, queue[i]))
				queue[kept++] = queue[i];
		}
		count = kept;
	}
	talloc_free(queue);
}

static bool needs_reservation(const struct pass *pass, const struct job *job)
{
	if (!ready_to_place(pass, job) || job->urgent)
		return false;
	return sched_large(pass->place, job) || sched_aged(job, pass->now_ms) ||
	       sched_overdue(pass->place, job, pass->now_ms);
}

/* Accelerators of all draining reservations. */
static uint32_t draining_accelerators(const struct place *place)
{
	uint32_t total = 0;

	for (guint i = 0; i < place->reserved->len; i++) {
		const struct job *job = place->reserved->pdata[i];

		if (!job->clearing)
			total += job->shape.members * job->shape.accelerators;
	}
	return total;
}

static struct job *oldest_needing_reservation(const struct pass *pass)
{
	struct job *best = NULL;

	for (guint i = 0; i < pass->place->orgs->len; i++) {
		struct organisation *organisation = pass->place->orgs->pdata[i];
		int scanned = 0;

		for (GList *link = organisation->waiting.head;
		     link && scanned < WAITING_JOBS_SCANNED_MAX; link = link->next, scanned++) {
			struct job *job = link->data;

			if (best && best->submitted_ms <= job->submitted_ms)
				break;
			if (job->retry_ms <= pass->now_ms && needs_reservation(pass, job))
				best = job;
		}
	}
	return best;
}

/*
 * May all work on the members be evicted now? The cost of the evictions must be justified by the
 * time that the job has waited, unless it is overdue.
 */
static bool clearing_allowed(const struct pass *pass, const struct job *job,
			     const struct member *members)
{
	uint64_t waited = pass->now_ms - MIN(pass->now_ms, job->submitted_ms);
	struct query query = sched_query(pass->place, (struct job *)job, QUERY_EVICT);
	double limit = CLEARING_COST_BASE_MS + CLEARING_COST_PER_WAITED_MS * (double)waited;
	double cost = 0;

	for (uint32_t i = 0; i < job->shape.members; i++) {
		const struct member *member = &members[i];

		for (uint64_t rest = member->mask & member->worker->used_mask; rest;
		     rest &= rest - 1) {
			struct job *victim = member->worker->granted_jobs[__builtin_ctzll(rest)];

			if (!search_may_evict(victim, &query))
				return false;
			cost += search_evict_cost(pass->place, victim, pass->now_ms) /
				MAX(1, victim->shape.members * victim->shape.accelerators);
		}
	}
	if (query.overdue)
		return true;
	return cost <= limit * job->shape.members * MAX(1, job->shape.accelerators);
}

static bool reserve_and_clear(struct pass *pass, struct job *job)
{
	struct query query = sched_query(pass->place, job, QUERY_EVICT);
	struct member out[PLACE_MEMBERS_MAX];

	pass->evict_searches++;
	if (!search_placement(pass->place, &query, out) || !clearing_allowed(pass, job, out)) {
		query.mode = QUERY_CELLS_EVICT;
		if (!query.overdue || !search_placement(pass->place, &query, out))
			return false;
	}
	sched_reserve(pass->place, job, out, true);
	sched_clear_reservation(pass->place, job,
				"room is made for a job that waits for adjacent accelerators");
	sched_start_reserved(pass->place, job);
	return true;
}

static void reserve_for_draining(struct pass *pass, struct job *job)
{
	struct place *place = pass->place;
	struct query query = sched_query(place, job, QUERY_DRAIN);
	double limit = DRAINING_SHARE_MAX * topo_total_accelerators(place);
	uint32_t kept = draining_accelerators(place);
	struct member out[PLACE_MEMBERS_MAX];

	if (kept && kept + job->shape.members * job->shape.accelerators > limit)
		return;
	pass->evict_searches++;
	if (search_placement(place, &query, out))
		sched_reserve(place, job, out, false);
}

static void create_reservations(struct pass *pass)
{
	while (pass->evict_searches < EVICT_SEARCHES_PER_STEP) {
		struct job *job = oldest_needing_reservation(pass);
		bool large;

		if (!job)
			return;
		large = sched_large(pass->place, job);
		job->retry_ms = pass->now_ms + (large ? QUEUE_PASS_PERIOD_MS : AGED_RETRY_MS);
		if (!reserve_and_clear(pass, job) && large)
			reserve_for_draining(pass, job);
	}
	pass->unfinished = true;
}

/* The cells of guarantees may have moved over a reservation since it was made. */
static bool reservation_usable(const struct job *job)
{
	if (!sched_evictable(job) && !job->reservation[0].cell &&
	    !search_outside_guarantees(job, job->reservation))
		return false;
	for (uint32_t i = 0; i < job->shape.members; i++) {
		if (!topo_worker_usable(job->reservation[i].worker))
			return false;
	}
	return true;
}

/*
 * A draining reservation ends when the job fits elsewhere, or when all work that is left on it may
 * be evicted.
 */
static void review_draining_reservation(struct pass *pass, struct job *job)
{
	struct place *place = pass->place;
	uint64_t gen = place->gen;
	struct member *kept;
	size_t size = job->shape.members * sizeof(*kept);

	if (clearing_allowed(pass, job, job->reservation)) {
		kept = talloc_memdup(place, job->reservation, size);
		topo_unreserve(place, job);
		sched_reserve(place, job, kept, true);
		talloc_free(kept);
		sched_clear_reservation(
			place, job, "room is made for a job that waits for adjacent accelerators");
		sched_start_reserved(place, job);
		return;
	}
	if (job->retry_ms > pass->now_ms || pass->evict_searches >= EVICT_SEARCHES_PER_STEP)
		return;
	job->retry_ms = pass->now_ms + QUEUE_PASS_PERIOD_MS;
	kept = talloc_memdup(place, job->reservation, size);
	topo_unreserve(place, job);
	place->gen = gen;
	if (!search_and_start(pass, job, QUERY_FREE) && !reserve_and_clear(pass, job))
		sched_reserve(place, job, kept, false);
	talloc_free(kept);
}

static void review_reservations(struct pass *pass)
{
	struct place *place = pass->place;

	for (guint i = place->reserved->len; i > 0; i--) {
		struct job *job = i <= place->reserved->len ? place->reserved->pdata[i - 1] : NULL;

		if (!job)
			continue;
		if (!reservation_usable(job) || over_quota(job))
			topo_unreserve(place, job);
		else if (sched_start_reserved(place, job))
			continue;
		else if (job->clearing)
			sched_clear_reservation(place, job,
						"guaranteed or urgent work needs its accelerators");
		else
			review_draining_reservation(pass, job);
	}
}

static void emit_job_endings(struct place *place)
{
	while (place->ending_jobs->len) {
		struct job *job = place->ending_jobs->pdata[place->ending_jobs->len - 1];

		g_ptr_array_set_size(place->ending_jobs, (gint)place->ending_jobs->len - 1);
		if (!job->given_up) {
			sched_evict(place, job, NULL, "cancelled");
			continue;
		}
		sched_emit(place, &(struct place_decision){
					  .kind = PLACE_FAIL,
					  .job = job->id,
					  .attempt = job->attempt,
					  .organisation = job->org->name,
					  .reason = job->fail_reason,
				  });
		place_remove_job(place, job);
	}
}

/**
 * sched_step() - make all placement decisions that are due
 *
 * Return: milliseconds until the next step is due.
 */
uint64_t sched_step(struct place *place, uint64_t now_ms)
{
	struct pass pass = {.place = place, .now_ms = now_ms};
	uint64_t next;

	topo_sort_workers(place);
	emit_job_endings(place);
	guarantee_refresh(place, now_ms);
	next = health_step(place, now_ms);
	review_reservations(&pass);
	run_guaranteed_pass(&pass);
	run_urgent_pass(&pass);
	if (place->queue_pass_due || now_ms >= place->queue_pass_ms) {
		place->queue_pass_due = false;
		place->queue_pass_ms = now_ms + QUEUE_PASS_PERIOD_MS;
		run_borrowing_pass(&pass);
		create_reservations(&pass);
		place->queue_pass_due |= pass.unfinished;
	}
	next = MIN(next, giveback_step(place, now_ms));
	next = MIN(next, compact_step(place, now_ms));
	if (pass.unfinished)
		return 1;
	if (place->urgent->len)
		next = MIN(next, URGENT_RETRY_MS);
	return MIN(next, place->waiting ? QUEUE_PASS_PERIOD_MS : IDLE_STEP_MS);
}
