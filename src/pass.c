#include "place_impl.h"

#include <math.h>
#include <string.h>

#define SEARCHES_PER_STEP 48	  /* keeps one step within its time bound; the rest follows */
#define EVICT_SEARCHES_PER_STEP 4 /* searches that weigh evictions cost several times more */
#define WANTING_LOOKS 256	  /* oldest waiting jobs of an organisation that are looked at */
#define EARMARKED_SHARE 0.34	  /* of the fleet's accelerators drain for large jobs at most */
#define CHECK_MS 1000		  /* reservations and waiting jobs are looked at this often */
#define AGED_RETRY_MS 5000	  /* the same for jobs that are not large */
#define IDLE_MS 10000		  /* nothing to do */
#define URGENT_RETRY_MS 200
#define CLEAR_BASE_MS 120000.0 /* lost work and overhead accepted at once, per accelerator */
#define CLEAR_SHARE 0.25       /* and more with each ms of waiting */
#define AGE_SCALE_MS 600000.0  /* waiting this long outweighs a full share of the fleet */

struct pass {
	struct place *p;
	uint64_t now_ms;
	int searches;
	int evict_searches;
	bool unfinished;
};

static bool over_quota(const struct job *job)
{
	const struct organisation *org = job->org;

	return org->quota && org->used + job->shape.members * job->shape.accelerators > org->quota;
}

static bool ready(const struct pass *pass, const struct job *job)
{
	return !job->reservation && !job->given_up && job->not_before_ms <= pass->now_ms &&
	       !over_quota(job);
}

static bool start_in(struct pass *pass, struct job *job, enum query_mode mode)
{
	struct query q = sched_query(pass->p, job, mode);
	struct member out[PLACE_MEMBERS_MAX];

	pass->searches++;
	if (!search_place(pass->p, &q, out) || !sched_room(job, out))
		return false;
	sched_start(pass->p, job, out);
	return true;
}

static double displacement(const struct pass *pass, const struct job *job,
			   const struct member *members)
{
	double cost = 0;

	for (uint32_t i = 0; i < job->shape.members; i++) {
		const struct member *m = &members[i];
		const struct job *last = NULL;

		for (uint64_t rest = m->mask & m->worker->used; rest; rest &= rest - 1) {
			const struct job *holder = m->worker->holder[__builtin_ctzll(rest)];

			if (holder != last)
				cost += search_evict_cost(pass->p, holder, pass->now_ms);
			last = holder;
		}
	}
	return cost;
}

static bool loses_work(const struct job *job, const struct member *members)
{
	for (uint32_t i = 0; i < job->shape.members; i++) {
		const struct member *m = &members[i];

		for (uint64_t rest = m->mask & m->worker->used; rest; rest &= rest - 1) {
			const struct job *holder = m->worker->holder[__builtin_ctzll(rest)];

			if (!holder->checkpoint && !holder->stopping)
				return true;
		}
	}
	return false;
}

/*
 * Would the job displace less work outside its guarantee than inside? Then the guarantee stays
 * lent, for instance to a large job. @members receives the better room.
 */
static bool cheaper_elsewhere(struct pass *pass, struct job *job, struct member *members)
{
	struct query q = sched_query(pass->p, job, QUERY_EVICT);
	struct member out[PLACE_MEMBERS_MAX];

	q.entitled = true;
	pass->searches++;
	if (!search_place(pass->p, &q, out))
		return false;
	if (displacement(pass, job, out) >= displacement(pass, job, members))
		return false;
	memcpy(members, out, job->shape.members * sizeof(*out));
	return true;
}

/* Room within the organisation's own guarantee, if need be by eviction of borrowed work. */
static bool place_guaranteed(struct pass *pass, struct job *job)
{
	struct query q = sched_query(pass->p, job, QUERY_CELLS_EVICT);
	struct member out[PLACE_MEMBERS_MAX];

	/* What moves easily leaves the guarantee to work that doesn't, while there is free room. */
	if (q.moves_easily && start_in(pass, job, QUERY_FREE))
		return true;
	if (start_in(pass, job, QUERY_CELLS))
		return true;
	pass->searches++;
	if (!guarantee_entitles(job) || !search_place(pass->p, &q, out))
		return false;
	if (loses_work(job, out) && guarantee_rehome_free(pass->p, job, pass->now_ms) &&
	    start_in(pass, job, QUERY_CELLS))
		return true;
	if (!search_place(pass->p, &q, out))
		return false;
	if (sched_evictable(job) && cheaper_elsewhere(pass, job, out))
		job->entitled = true;
	sched_reserve(pass->p, job, out, true);
	sched_clear(pass->p, job, "its accelerators are guaranteed to another organisation");
	sched_start_reserved(pass->p, job);
	return true;
}

static bool smaller_failed(const struct place_shape *shape, const struct place_shape *failed)
{
	return shape->members >= failed->members && shape->accelerators >= failed->accelerators &&
	       shape->cores >= failed->cores && shape->memory_mb >= failed->memory_mb &&
	       shape->within >= failed->within;
}

/* A step only takes capacity, so what a smaller shape didn't get needs no search. */
static bool known_failed(const struct place *p, const struct place_shape *shape, bool lend)
{
	for (size_t i = 0; i < p->failed_count; i++) {
		if (p->failed[i].lend >= lend && smaller_failed(shape, &p->failed[i].shape))
			return true;
	}
	return false;
}

static void remember_failed(struct place *p, const struct place_shape *shape, bool lend)
{
	if (p->failed_count == FAILED_SHAPES_MAX)
		return;
	p->failed[p->failed_count].shape = *shape;
	p->failed[p->failed_count++].lend = lend;
}

static void guaranteed_pass(struct pass *pass, struct organisation *org)
{
	struct place_shape failed[4];
	size_t failed_count = 0;
	GList *next;

	for (GList *at = org->waiting.head; at; at = next) {
		struct job *job = at->data;
		bool skip = false;

		next = at->next;
		if (!ready(pass, job))
			continue;
		for (size_t i = 0; i < failed_count; i++)
			skip |= smaller_failed(&job->shape, &failed[i]);
		if (skip || place_guaranteed(pass, job))
			continue;
		if (failed_count == G_N_ELEMENTS(failed))
			break;
		failed[failed_count++] = job->shape;
	}
}

static void guaranteed_passes(struct pass *pass)
{
	struct place *p = pass->p;

	for (guint i = 0; i < p->orgs->len; i++) {
		struct organisation *org = p->orgs->pdata[(p->org_turn + i) % p->orgs->len];

		if (!org->dirty || org->waiting.length == 0 || org->unit_count == 0)
			continue;
		if (pass->searches >= SEARCHES_PER_STEP) {
			p->org_turn = (p->org_turn + i) % p->orgs->len;
			pass->unfinished = true;
			return;
		}
		org->dirty = false;
		guaranteed_pass(pass, org);
	}
}

static bool urgent_room(struct pass *pass, struct query *q, struct member *out)
{
	pass->searches++;
	q->mode = QUERY_FREE;
	if (search_place(pass->p, q, out) && sched_room(q->job, out))
		return true;
	q->mode = QUERY_EVICT;
	pass->evict_searches++;
	return search_place(pass->p, q, out);
}

/* Room that no reclaim needs comes first: an urgent job must not be stopped before it starts. */
static bool place_urgent(struct pass *pass, struct job *job)
{
	struct query q = sched_query(pass->p, job, QUERY_FREE);
	struct member out[PLACE_MEMBERS_MAX];
	bool lend = q.lend;

	q.lend = false;
	if (!urgent_room(pass, &q, out)) {
		q.lend = lend;
		if (!lend || !urgent_room(pass, &q, out))
			return false;
	}
	if (q.mode == QUERY_FREE) {
		sched_start(pass->p, job, out);
		return true;
	}
	sched_reserve(pass->p, job, out, true);
	sched_clear(pass->p, job, "urgent work needs its accelerators");
	sched_start_reserved(pass->p, job);
	return true;
}

static void urgent_pass(struct pass *pass)
{
	struct place *p = pass->p;

	for (guint i = 0; i < p->urgent->len;) {
		struct job *job = p->urgent->pdata[i];
		bool again = job->tried_gen != p->gen || pass->now_ms >= job->retry_ms;

		if (!ready(pass, job) || !again) {
			i++;
			continue;
		}
		if (pass->evict_searches >= EVICT_SEARCHES_PER_STEP) {
			pass->unfinished = true;
			return;
		}
		job->tried_gen = p->gen;
		job->retry_ms = pass->now_ms + URGENT_RETRY_MS;
		if (!place_urgent(pass, job) || job->reservation)
			i++;
	}
}

static double org_key(const struct pass *pass, const struct organisation *org, double total)
{
	const struct job *oldest = g_queue_peek_head((GQueue *)&org->waiting);
	double used = total > 0 ? org->borrowed / total : 0;
	double waited = (double)(pass->now_ms - MIN(pass->now_ms, oldest->submitted_ms));

	return used / org->share - waited / AGE_SCALE_MS;
}

static int compare_keys(const void *a, const void *b)
{
	const struct organisation *x = *(struct organisation *const *)a;
	const struct organisation *y = *(struct organisation *const *)b;

	if (x->key != y->key)
		return x->key < y->key ? -1 : 1;
	return x->index < y->index ? -1 : x->index > y->index;
}

static bool try_borrow(struct pass *pass, struct job *job)
{
	struct place *p = pass->p;
	bool lend = p->policy.lend_idle && sched_evictable(job);

	if (job->failed_on_count == 0 && known_failed(p, &job->shape, lend))
		return false;
	if (start_in(pass, job, QUERY_FREE))
		return true;
	if (job->failed_on_count == 0 && (lend || job->org->unit_count == 0))
		remember_failed(p, &job->shape, lend);
	return false;
}

/* Starts the first job of the organisation's queue that finds room. */
static bool borrow_one(struct pass *pass, struct organisation *org)
{
	struct place *p = pass->p;

	while (org->cursor) {
		struct job *job = org->cursor->data;

		if (pass->searches >= SEARCHES_PER_STEP) {
			pass->unfinished = true;
			return false;
		}
		org->cursor = org->cursor->next;
		if (job->tried_gen == p->gen || job->urgent || !ready(pass, job))
			continue;
		if (try_borrow(pass, job))
			return true;
		job->tried_gen = p->gen;
	}
	return false;
}

static void borrow_pass(struct pass *pass)
{
	struct place *p = pass->p;
	struct organisation **queue = talloc_array(p, struct organisation *, p->orgs->len + 1);
	double total = topo_total_accelerators(p);
	size_t count = 0;

	p->failed_count = 0;
	for (guint i = 0; i < p->orgs->len; i++) {
		struct organisation *org = p->orgs->pdata[i];

		org->cursor = org->waiting.head;
		if (!org->cursor)
			continue;
		org->key = org_key(pass, org, total);
		queue[count++] = org;
	}
	qsort(queue, count, sizeof(void *), compare_keys);
	while (count && !pass->unfinished) {
		size_t kept = 0;

		for (size_t i = 0; i < count && !pass->unfinished; i++) {
			if (borrow_one(pass, queue[i]))
				queue[kept++] = queue[i];
		}
		count = kept;
	}
	talloc_free(queue);
}

static bool wants_room(const struct pass *pass, const struct job *job)
{
	if (!ready(pass, job) || job->urgent)
		return false;
	return sched_large(pass->p, job) || sched_aged(job, pass->now_ms) ||
	       sched_overdue(pass->p, job, pass->now_ms);
}

static uint32_t earmarked_accelerators(const struct place *p)
{
	uint32_t total = 0;

	for (guint i = 0; i < p->reserved->len; i++) {
		const struct job *job = p->reserved->pdata[i];

		if (!job->clearing)
			total += job->shape.members * job->shape.accelerators;
	}
	return total;
}

static struct job *oldest_wanting_room(const struct pass *pass)
{
	struct job *best = NULL;

	for (guint i = 0; i < pass->p->orgs->len; i++) {
		struct organisation *org = pass->p->orgs->pdata[i];
		int looked = 0;

		for (GList *at = org->waiting.head; at && looked < WANTING_LOOKS;
		     at = at->next, looked++) {
			struct job *job = at->data;

			if (best && best->submitted_ms <= job->submitted_ms)
				break;
			if (job->retry_ms <= pass->now_ms && wants_room(pass, job))
				best = job;
		}
	}
	return best;
}

/* Is the room held only by work that may go now? Lost work must pay off against the wait. */
static bool may_clear(const struct pass *pass, const struct job *job, const struct member *members)
{
	uint64_t waited = pass->now_ms - MIN(pass->now_ms, job->submitted_ms);
	struct query q = sched_query(pass->p, (struct job *)job, QUERY_EVICT);
	double limit = CLEAR_BASE_MS + CLEAR_SHARE * (double)waited;
	double cost = 0;

	for (uint32_t i = 0; i < job->shape.members; i++) {
		const struct member *m = &members[i];

		for (uint64_t rest = m->mask & m->worker->used; rest; rest &= rest - 1) {
			struct job *holder = m->worker->holder[__builtin_ctzll(rest)];

			if (!search_may_evict(holder, &q))
				return false;
			cost += search_evict_cost(pass->p, holder, pass->now_ms) /
				MAX(1, holder->shape.members * holder->shape.accelerators);
		}
	}
	if (q.overdue)
		return true;
	return cost <= limit * job->shape.members * MAX(1, job->shape.accelerators);
}

static bool clear_now(struct pass *pass, struct job *job)
{
	struct query q = sched_query(pass->p, job, QUERY_EVICT);
	struct member out[PLACE_MEMBERS_MAX];

	pass->evict_searches++;
	if (!search_place(pass->p, &q, out) || !may_clear(pass, job, out)) {
		q.mode = QUERY_CELLS_EVICT;
		if (!q.overdue || !search_place(pass->p, &q, out))
			return false;
	}
	sched_reserve(pass->p, job, out, true);
	sched_clear(pass->p, job, "room is made for a job that waits for adjacent accelerators");
	sched_start_reserved(pass->p, job);
	return true;
}

static void earmark(struct pass *pass, struct job *job)
{
	struct place *p = pass->p;
	struct query q = sched_query(p, job, QUERY_DRAIN);
	double limit = EARMARKED_SHARE * topo_total_accelerators(p);
	uint32_t kept = earmarked_accelerators(p);
	struct member out[PLACE_MEMBERS_MAX];

	if (kept && kept + job->shape.members * job->shape.accelerators > limit)
		return;
	pass->evict_searches++;
	if (search_place(p, &q, out))
		sched_reserve(p, job, out, false);
}

static void reserve_pass(struct pass *pass)
{
	while (pass->evict_searches < EVICT_SEARCHES_PER_STEP) {
		struct job *job = oldest_wanting_room(pass);
		bool large;

		if (!job)
			return;
		large = sched_large(pass->p, job);
		job->retry_ms = pass->now_ms + (large ? CHECK_MS : AGED_RETRY_MS);
		if (!clear_now(pass, job) && large)
			earmark(pass, job);
	}
	pass->unfinished = true;
}

static bool reservation_usable(const struct job *job)
{
	if (!sched_evictable(job) && !job->reservation[0].cell &&
	    !search_outside_homes(job, job->reservation))
		return false;
	for (uint32_t i = 0; i < job->shape.members; i++) {
		if (!topo_usable(job->reservation[i].worker))
			return false;
	}
	return true;
}

/* An earmark ends when there is room elsewhere, or all that is left on it may go. */
static void review_earmark(struct pass *pass, struct job *job)
{
	struct place *p = pass->p;
	uint64_t gen = p->gen;
	struct member *kept;
	size_t size = job->shape.members * sizeof(*kept);

	if (may_clear(pass, job, job->reservation)) {
		kept = talloc_memdup(p, job->reservation, size);
		topo_unreserve(p, job);
		sched_reserve(p, job, kept, true);
		talloc_free(kept);
		sched_clear(p, job, "room is made for a job that waits for adjacent accelerators");
		sched_start_reserved(p, job);
		return;
	}
	if (job->retry_ms > pass->now_ms || pass->evict_searches >= EVICT_SEARCHES_PER_STEP)
		return;
	job->retry_ms = pass->now_ms + CHECK_MS;
	kept = talloc_memdup(p, job->reservation, size);
	topo_unreserve(p, job);
	p->gen = gen;
	if (!start_in(pass, job, QUERY_FREE) && !clear_now(pass, job))
		sched_reserve(p, job, kept, false);
	talloc_free(kept);
}

static void reservation_pass(struct pass *pass)
{
	struct place *p = pass->p;

	for (guint i = p->reserved->len; i > 0; i--) {
		struct job *job = i <= p->reserved->len ? p->reserved->pdata[i - 1] : NULL;

		if (!job)
			continue;
		if (!reservation_usable(job) || over_quota(job))
			topo_unreserve(p, job);
		else if (sched_start_reserved(p, job))
			continue;
		else if (job->clearing)
			sched_clear(p, job, "guaranteed or urgent work needs its accelerators");
		else
			review_earmark(pass, job);
	}
}

static void end_pass(struct place *p)
{
	while (p->dying->len) {
		struct job *job = p->dying->pdata[p->dying->len - 1];

		g_ptr_array_set_size(p->dying, (gint)p->dying->len - 1);
		if (!job->given_up) {
			sched_evict(p, job, NULL, "cancelled");
			continue;
		}
		sched_emit(p, &(struct place_decision){
				      .kind = PLACE_FAIL,
				      .job = job->id,
				      .attempt = job->attempt,
				      .organisation = job->org->name,
				      .reason = job->fail_reason,
			      });
		place_forget(p, job);
	}
}

uint64_t sched_step(struct place *p, uint64_t now_ms)
{
	struct pass pass = {.p = p, .now_ms = now_ms};
	uint64_t next;

	topo_order(p);
	end_pass(p);
	guarantee_refresh(p, now_ms);
	next = health_step(p, now_ms);
	reservation_pass(&pass);
	guaranteed_passes(&pass);
	urgent_pass(&pass);
	if (p->work_due || now_ms >= p->queue_pass_ms) {
		p->work_due = false;
		p->queue_pass_ms = now_ms + CHECK_MS;
		borrow_pass(&pass);
		reserve_pass(&pass);
		p->work_due |= pass.unfinished;
	}
	next = MIN(next, giveback_step(p, now_ms));
	next = MIN(next, compact_step(p, now_ms));
	if (pass.unfinished)
		return 1;
	if (p->urgent->len)
		next = MIN(next, URGENT_RETRY_MS);
	return MIN(next, p->waiting ? CHECK_MS : IDLE_MS);
}
