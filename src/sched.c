#include "place_impl.h"

#include <string.h>

#define OVERDUE_FACTOR 8	 /* times the declared run time; a job has starved at 10 times */
#define OVERDUE_MIN_MS 5000	 /* lower bound for jobs with a very short declared run time */
#define LARGE_OVERDUE_MS 9000000 /* wait before a large job may displace younger large ones */
#define LARGE_SHARE_MIN 0.1	 /* of the fleet that large jobs may clear, by the policy weights */
#define LARGE_SHARE_SPAN 0.6
#define AGED_MS 60000	     /* wait before a job may displace narrower ones */
#define URGENT_GRACE_MS 2000 /* leaves half of the 4.1 s start-time limit for the start itself */

void sched_emit(struct place *place, struct place_decision *decision)
{
	if (!decision->job)
		decision->job = "";
	if (!decision->worker)
		decision->worker = "";
	if (!decision->organisation)
		decision->organisation = "";
	if (!decision->for_job)
		decision->for_job = "";
	if (!decision->reason)
		decision->reason = "";
	if (place->emit)
		place->emit(decision, place->emit_ctx);
}

bool sched_evictable(const struct job *job)
{
	return job->checkpoint || job->restartable;
}

/* Return: true if the job runs in cells of its organisation's guarantee. */
bool sched_guaranteed(const struct job *job)
{
	return job->members && job->members[0].cell;
}

bool sched_large(const struct place *place, const struct job *job)
{
	const struct place_shape *shape = &job->shape;
	uint32_t full_width = 8;

	if (place && place->worker_width)
		full_width = place->worker_width;
	if (shape->accelerators == 0)
		return false;
	return shape->accelerators >= full_width ||
	       (shape->members > 1 && shape->accelerators * 2 > full_width);
}

/* An overdue job is close to starving, so it may displace work that was submitted after it. */
bool sched_overdue(const struct place *place, const struct job *job, uint64_t now_ms)
{
	uint64_t limit = MAX(job->declared_ms * OVERDUE_FACTOR, OVERDUE_MIN_MS);

	if (sched_large(place, job))
		limit = MIN(limit, LARGE_OVERDUE_MS);

	return !job->ever_started && now_ms > job->submitted_ms + limit;
}

/*
 * An aged job has waited long enough to displace younger and narrower jobs. Without this rule those
 * would always start first, because they fit into smaller gaps.
 */
bool sched_aged(const struct job *job, uint64_t now_ms)
{
	return job->shape.members * job->shape.accelerators > 1 &&
	       now_ms > job->submitted_ms + AGED_MS;
}

/*
 * A small job with checkpoints can run on accelerators that drain for a large job, because it loses
 * little when it has to move.
 */
bool sched_cheap_to_move(const struct place *place, const struct job *job)
{
	return job->checkpoint && !sched_large(place, job);
}

static bool queued_before(const struct job *a, const struct job *b)
{
	if (a->submitted_ms != b->submitted_ms)
		return a->submitted_ms < b->submitted_ms;
	return strcmp(a->id, b->id) < 0;
}

/*
 * Inserts by submission time. New jobs belong near the tail and jobs that return to the queue near
 * the head, so the walk starts at that end.
 */
static GList *insert_sorted(GQueue *queue, struct job *job)
{
	GList *link;

	if (job->attempt == 0) {
		for (link = queue->tail; link && queued_before(job, link->data); link = link->prev)
			;
		g_queue_insert_after(queue, link, job);
		return link ? link->next : queue->head;
	}
	for (link = queue->head; link && !queued_before(job, link->data); link = link->next)
		;
	g_queue_insert_before(queue, link, job);
	return link ? link->prev : queue->tail;
}

void sched_enqueue(struct place *place, struct job *job, uint64_t now_ms)
{
	job->state = JOB_WAITING;
	job->tried_gen = 0;
	job->entitled = false;
	job->waiting_since_ms = now_ms;
	job->link = insert_sorted(&job->org->waiting, job);
	job->org->guaranteed_pass_due = true;
	if (job->urgent)
		g_ptr_array_add(place->urgent, job);
	place->waiting++;
	place->queue_pass_due = true;
}

void sched_dequeue(struct place *place, struct job *job)
{
	if (!job->link)
		return;
	if (job->org->cursor == job->link)
		job->org->cursor = job->link->next;
	g_queue_delete_link(&job->org->waiting, job->link);
	job->link = NULL;
	if (job->urgent)
		g_ptr_array_remove(place->urgent, job);
	place->waiting--;
}

void sched_evict(struct place *place, struct job *victim, const struct job *for_job,
		 const char *reason)
{
	uint32_t grace = place->policy.reclaim_grace_ms;

	if (victim->stopping)
		return;
	victim->stopping = true;
	if (for_job) {
		victim->evictions++;
		place->evictions++;
		if (for_job->urgent)
			grace = MIN(grace, URGENT_GRACE_MS);
	}
	sched_emit(place, &(struct place_decision){
				  .kind = PLACE_EVICT,
				  .job = victim->id,
				  .attempt = victim->attempt,
				  .organisation = victim->org->name,
				  .for_job = for_job ? for_job->id : "",
				  .checkpoint = victim->checkpoint,
				  .grace_ms = grace,
				  .reason = reason,
			  });
}

/* Evicts a job so that it starts again on another worker. */
void sched_move(struct place *place, struct job *job, const char *reason)
{
	job->evictions++;
	place->evictions++;
	sched_evict(place, job, NULL, reason);
}

static void emit_start(struct place *place, struct job *job)
{
	struct place_assignment members[PLACE_MEMBERS_MAX];

	for (uint32_t i = 0; i < job->shape.members; i++)
		members[i] = (struct place_assignment){.worker = job->members[i].worker->name,
						       .mask = job->members[i].mask};
	sched_emit(place, &(struct place_decision){
				  .kind = PLACE_START,
				  .job = job->id,
				  .attempt = job->attempt,
				  .members = members,
				  .member_count = job->shape.members,
				  .organisation = job->org->name,
			  });
}

/*
 * Are the accelerators, cores and memory of all members free now? Members on the same worker are
 * summed up.
 */
bool sched_room_free(const struct job *job, const struct member *members)
{
	for (uint32_t i = 0; i < job->shape.members; i++) {
		const struct worker *worker = members[i].worker;
		uint64_t cores = 0;
		uint64_t memory = 0;

		if (!topo_worker_usable(worker) && !job->probing)
			return false;
		if (members[i].mask & (worker->used_mask | worker->reported_mask))
			return false;
		for (uint32_t k = 0; k < job->shape.members; k++) {
			if (members[k].worker != worker)
				continue;
			cores += job->shape.cores;
			memory += job->shape.memory_mb;
		}
		if (worker->cores_used + cores > worker->cores ||
		    worker->memory_used + memory > worker->memory)
			return false;
	}
	return true;
}

/* Grants a copy of @members to the job and emits PLACE_START. */
void sched_start(struct place *place, struct job *job, const struct member *members)
{
	size_t size = job->shape.members * sizeof(*members);
	struct member *copy = talloc_memdup(job, members, size);

	for (uint32_t i = 0; i < job->shape.members; i++)
		copy[i].job = job;
	sched_dequeue(place, job);
	job->attempt++;
	job->state = JOB_PLACED;
	job->stopping = false;
	job->entitled = false;
	job->move_to = NULL;
	job->placed_ms = place->now_ms;
	job->started_ms = 0;
	topo_grant(place, job, copy);
	emit_start(place, job);
}

/* Large jobs displace small ones up to a share of the fleet; overdue ones also beyond it. */
static bool large_may_displace(const struct place *place, const struct job *job)
{
	double weights = place->policy.weight_completion + place->policy.weight_fragmentation;
	double weight = weights > 0 ? place->policy.weight_fragmentation / weights : 0.5;
	double share = LARGE_SHARE_MIN + LARGE_SHARE_SPAN * weight;
	uint32_t width = job->shape.members * job->shape.accelerators;

	return sched_overdue(place, job, place->now_ms) ||
	       place->large_used + width <= share * topo_total_accelerators(place);
}

struct query sched_query(const struct place *place, struct job *job, enum query_mode mode)
{
	return (struct query){
		.place = place,
		.mode = mode,
		.shape = &job->shape,
		.org = job->org,
		.job = job,
		.may_borrow = place->policy.lend_idle && sched_evictable(job),
		.large = sched_large(place, job) && large_may_displace(place, job),
		.overdue = sched_overdue(place, job, place->now_ms),
		.aged = sched_aged(job, place->now_ms),
		.cheap_to_move = sched_cheap_to_move(place, job),
		.entitled = job->entitled,
		.now_ms = place->now_ms,
	};
}

static bool may_displace(const struct place *place, const struct job *job, const struct job *victim,
			 bool in_cells)
{
	struct query query =
		sched_query(place, (struct job *)job, in_cells ? QUERY_CELLS_EVICT : QUERY_EVICT);

	return search_may_evict(victim, &query) && !victim->stopping;
}

/*
 * Evicts the jobs with the lowest cost from a worker until the cores and memory asked for become
 * free.
 */
static void evict_for_cores(struct place *place, struct job *job, struct worker *worker,
			    uint64_t cores, uint64_t memory, bool in_cells, const char *reason)
{
	for (;;) {
		uint64_t used_cores = 0;
		uint64_t used_memory = 0;
		struct job *best = NULL;
		double best_cost = 0;

		for (guint i = 0; i < worker->members->len; i++) {
			const struct member *member = worker->members->pdata[i];
			double cost;

			if (member->job->stopping)
				continue;
			used_cores += member->job->shape.cores;
			used_memory += member->job->shape.memory_mb;
			if (!may_displace(place, job, member->job, in_cells))
				continue;
			cost = search_evict_cost(place, member->job, place->now_ms);
			if (best && cost >= best_cost)
				continue;
			best = member->job;
			best_cost = cost;
		}
		if (used_cores + cores <= worker->cores && used_memory + memory <= worker->memory)
			return;
		if (!best)
			return;
		sched_evict(place, best, job, reason);
	}
}

static void evict_for_accelerators(struct place *place, struct job *job,
				   const struct member *member, bool in_cells, const char *reason)
{
	for (uint64_t rest = member->mask & member->worker->used_mask; rest; rest &= rest - 1) {
		struct job *victim = member->worker->granted_jobs[__builtin_ctzll(rest)];

		if (may_displace(place, job, victim, in_cells))
			sched_evict(place, victim, job, reason);
	}
}

/* Evicts work from the reservation of a job. Work that may not be evicted runs until it ends. */
void sched_clear_reservation(struct place *place, struct job *job, const char *reason)
{
	bool in_cells = job->reservation[0].cell != NULL;

	for (uint32_t i = 0; i < job->shape.members; i++)
		evict_for_accelerators(place, job, &job->reservation[i], in_cells, reason);
	for (uint32_t i = 0; i < job->shape.members; i++) {
		struct worker *worker = job->reservation[i].worker;
		uint64_t members = 0;
		bool first = true;

		for (uint32_t k = 0; k < job->shape.members; k++) {
			if (job->reservation[k].worker != worker)
				continue;
			members++;
			first &= k >= i;
		}
		if (first)
			evict_for_cores(place, job, worker, members * job->shape.cores,
					members * job->shape.memory_mb, in_cells, reason);
	}
}

/* Reserves a copy of @members; reservations of other jobs on the same accelerators are dropped. */
void sched_reserve(struct place *place, struct job *job, const struct member *members,
		   bool clearing)
{
	size_t size = job->shape.members * sizeof(*members);
	struct member *copy = talloc_memdup(job, members, size);

	for (uint32_t i = 0; i < job->shape.members; i++) {
		copy[i].job = job;
		for (uint64_t rest = copy[i].mask; rest; rest &= rest - 1) {
			struct job *other = copy[i].worker->reserving_jobs[__builtin_ctzll(rest)];

			if (other)
				topo_unreserve(place, other);
		}
	}
	topo_reserve(place, job, copy, clearing);
	job->reserved_ms = place->now_ms;
}

/* Starts a job on its reservation if all of the reserved capacity is free. */
bool sched_start_reserved(struct place *place, struct job *job)
{
	struct member members[PLACE_MEMBERS_MAX];
	uint64_t gen = place->gen;
	bool entitled;

	if (!sched_room_free(job, job->reservation))
		return false;
	entitled = job->entitled;
	memcpy(members, job->reservation, job->shape.members * sizeof(*members));
	topo_unreserve(place, job);
	place->gen = gen;
	sched_start(place, job, members);
	job->entitled = entitled;
	return true;
}
