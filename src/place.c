#include "place_impl.h"

#include <string.h>

#define USAGE_LAG_MS 5000	/* a report may still show work that ended this long before */
#define REPORT_EXPIRES_MS 15000 /* a use without a grant that is no longer reported */
#define SHARE_MIN 0.001
#define ESTIMATE_SAMPLE_MIN_MS 10

static int place_destructor(struct place *p)
{
	g_ptr_array_free(p->reserved, TRUE);
	g_ptr_array_free(p->urgent, TRUE);
	g_ptr_array_free(p->dying, TRUE);
	g_hash_table_destroy(p->jobs);
	g_hash_table_destroy(p->org_names);
	g_hash_table_destroy(p->worker_names);
	g_hash_table_destroy(p->estimates);
	for (guint i = 0; i < p->orgs->len; i++)
		g_queue_clear(&((struct organisation *)p->orgs->pdata[i])->waiting);
	g_ptr_array_free(p->orgs, TRUE);
	g_ptr_array_free(p->zones, TRUE);
	g_ptr_array_free(p->racks, TRUE);
	g_ptr_array_free(p->workers, TRUE);
	return 0;
}

struct place *place_create(TALLOC_CTX *mem, const struct place_policy *policy, uint64_t seed)
{
	struct place *p = talloc_zero(mem, struct place);

	p->policy = *policy;
	p->rng.state = seed;
	p->gen = 1;
	p->workers = g_ptr_array_new();
	p->zones = g_ptr_array_new();
	p->racks = g_ptr_array_new();
	p->orgs = g_ptr_array_new();
	p->reserved = g_ptr_array_new();
	p->urgent = g_ptr_array_new();
	p->dying = g_ptr_array_new();
	p->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	p->org_names = g_hash_table_new(g_str_hash, g_str_equal);
	p->worker_names = g_hash_table_new(g_str_hash, g_str_equal);
	p->estimates = g_hash_table_new(g_str_hash, g_str_equal);
	talloc_set_destructor(p, place_destructor);
	return p;
}

void place_set_policy(struct place *p, const struct place_policy *policy)
{
	p->policy = *policy;
	p->gen++;
	p->work_due = true;
}

static struct organisation *get_org(struct place *p, const char *name, uint64_t now_ms)
{
	struct organisation *org = g_hash_table_lookup(p->org_names, name);

	if (org)
		return org;
	org = talloc_zero(p, struct organisation);
	org->name = talloc_strdup(org, name);
	org->gone = true;
	org->share = 1;
	g_queue_init(&org->waiting);
	g_ptr_array_add(p->orgs, org);
	g_hash_table_insert(p->org_names, org->name, org);
	return org;
}

void place_set_organisations(struct place *p, const struct place_organisation_spec *specs,
			     size_t count, uint64_t now_ms)
{
	p->now_ms = now_ms;
	for (guint i = 0; i < p->orgs->len; i++)
		((struct organisation *)p->orgs->pdata[i])->listed = false;
	for (size_t i = 0; i < count; i++) {
		struct organisation *org = get_org(p, specs[i].name, now_ms);

		if (org->gone)
			org->since_ms = now_ms;
		org->gone = false;
		org->listed = true;
		org->index = (uint32_t)i;
		org->priority = specs[i].priority;
		org->quota = specs[i].quota_accelerators;
		org->share = specs[i].share > 0 ? MAX(specs[i].share, SHARE_MIN) : 1;
		org->dirty = true;
	}
	for (guint i = 0; i < p->orgs->len; i++) {
		struct organisation *org = p->orgs->pdata[i];

		org->gone = !org->listed;
	}
	guarantee_build(p, specs, count);
	p->gen++;
	p->work_due = true;
}

static void update_width(struct place *p)
{
	uint32_t width = 0;

	for (guint i = 0; i < p->workers->len; i++) {
		const struct worker *w = p->workers->pdata[i];

		if (w->up)
			width = MAX(width, w->accelerators);
	}
	p->worker_width = width;
}

static bool same_spec(const struct place *p, const struct worker *w,
		      const struct place_worker_spec *spec)
{
	const struct zone *zone = p->zones->pdata[w->zone];
	const struct rack *rack = p->racks->pdata[w->rack];

	return w->accelerators == MIN(spec->accelerators, PLACE_ACCELERATORS_MAX) &&
	       w->cores == spec->cores && w->memory == spec->memory_mb &&
	       strcmp(zone->name, spec->zone ? spec->zone : "") == 0 &&
	       strcmp(rack->name, spec->rack ? spec->rack : "") == 0;
}

void place_worker_up(struct place *p, const struct place_worker_spec *spec, uint64_t now_ms)
{
	struct worker *w;

	p->now_ms = now_ms;
	w = topo_worker(p, spec->name, true);
	if (w->up && same_spec(p, w, spec))
		return;
	if (!w->up) {
		w->offered = false;
		w->idle_since_ms = now_ms;
		w->reported = 0;
		w->avoid_until_ms = 0;
	}
	w->up = true;
	topo_update(p, w, spec);
	update_width(p);
	p->homes_dirty = true;
	p->gen++;
	p->work_due = true;
}

static void drop_worker_reservations(struct place *p, const struct worker *w)
{
	for (guint i = p->reserved->len; i > 0; i--) {
		struct job *job = p->reserved->pdata[i - 1];

		for (uint32_t k = 0; k < job->shape.members; k++) {
			if (job->reservation[k].worker != w)
				continue;
			topo_unreserve(p, job);
			break;
		}
	}
}

void place_worker_down(struct place *p, const char *name, uint64_t now_ms)
{
	struct worker *w = topo_worker(p, name, false);

	p->now_ms = now_ms;
	if (!w)
		return;
	w->up = false;
	w->down_ms = now_ms;
	w->reported = 0;
	while (w->members->len) {
		struct member *m = w->members->pdata[0];

		place_ended(p, m->job->id, m->job->attempt, PLACE_WORKER_LOST, name, now_ms);
	}
	drop_worker_reservations(p, w);
	p->order_dirty = true;
	p->homes_dirty = true;
	p->work_due = true;
	update_width(p);
}

void place_worker_drain(struct place *p, const char *name, bool drain, uint64_t now_ms)
{
	struct worker *w = topo_worker(p, name, false);

	p->now_ms = now_ms;
	if (!w || w->draining == drain)
		return;
	w->draining = drain;
	p->homes_dirty = true;
	p->gen++;
	p->work_due = true;
}

static int check_spec(struct place *p, const struct place_job_spec *spec, struct err *err)
{
	const struct place_shape *s = &spec->shape;

	if (!spec->id || !spec->id[0] || !spec->organisation)
		return err_set(err, ERR_INVALID, "Give the job an id and an organisation.",
			       "the job has no id or no organisation");
	if (s->members == 0 || s->members > PLACE_MEMBERS_MAX ||
	    s->accelerators > PLACE_ACCELERATORS_MAX)
		return err_set(err, ERR_INVALID,
			       "Ask for 1 to 64 members of at most 64 accelerators each.",
			       "the shape %u x %u is out of range", s->members, s->accelerators);
	if (g_hash_table_lookup(p->jobs, spec->id))
		return err_set(err, ERR_EXISTS, "Use a new id.", "job %s exists already", spec->id);
	return 0;
}

static struct job *create_job(struct place *p, const struct place_job_spec *spec,
			      struct organisation *org)
{
	struct job *job = talloc_zero(p, struct job);

	job->id = talloc_strdup(job, spec->id);
	job->org = org;
	job->estimate = estimate_get(p, org->name, spec->class_name ? spec->class_name : "");
	job->shape = spec->shape;
	job->declared_ms = spec->declared_ms;
	job->submitted_ms = spec->submitted_ms;
	job->urgent = spec->urgent;
	job->checkpoint = spec->checkpoint;
	job->restartable = spec->restartable;
	g_hash_table_insert(p->jobs, job->id, job);
	return job;
}

static void note_demand(struct place *p, const struct place_shape *shape)
{
	const struct place_shape *largest = &p->largest_lately;

	if (shape->members * shape->accelerators > largest->members * largest->accelerators)
		p->largest_lately = *shape;
}

int place_submit(struct place *p, const struct place_job_spec *spec, uint64_t now_ms,
		 struct err *err)
{
	struct organisation *org;
	int rc = check_spec(p, spec, err);

	p->now_ms = now_ms;
	if (rc)
		return rc;
	org = g_hash_table_lookup(p->org_names, spec->organisation);
	if (!org || org->gone)
		return err_set(err, ERR_NOT_FOUND, "Add the organisation to the configuration.",
			       "organisation %s is unknown", spec->organisation);
	if (org->quota && spec->shape.members * spec->shape.accelerators > org->quota)
		return err_set(err, ERR_OVER_QUOTA, "Ask for less, or have the quota raised.",
			       "the job asks for %u accelerators, the quota is %u",
			       spec->shape.members * spec->shape.accelerators, org->quota);
	if (p->workers->len && !search_capacity(p, &spec->shape))
		return err_set(err, ERR_NEVER_FITS,
			       "Ask for fewer or smaller members, or a wider place (zone).",
			       "%u x %u accelerators (%u cores, %u MB each) fit nowhere",
			       spec->shape.members, spec->shape.accelerators, spec->shape.cores,
			       spec->shape.memory_mb);
	note_demand(p, &spec->shape);
	sched_enqueue(p, create_job(p, spec, org), now_ms);
	return 0;
}

static bool restorable(struct place *p, const struct member *members, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (members[i].worker->used & members[i].mask)
			return false;
		for (size_t k = 0; k < i; k++) {
			if (members[k].worker == members[i].worker &&
			    (members[k].mask & members[i].mask))
				return false;
		}
	}
	return true;
}

int place_restore(struct place *p, const struct place_job_spec *spec, uint32_t attempt,
		  const struct place_assignment *members, size_t member_count, bool running,
		  uint64_t now_ms, struct err *err)
{
	struct job *job;
	struct member *own;
	int rc = check_spec(p, spec, err);

	p->now_ms = now_ms;
	if (rc)
		return rc;
	if (member_count && member_count != spec->shape.members)
		return err_set(err, ERR_INVALID, "Restore all members or none.",
			       "job %s has %zu of %u members", spec->id, member_count,
			       spec->shape.members);
	own = talloc_zero_array(p, struct member, spec->shape.members);
	for (size_t i = 0; i < member_count; i++)
		own[i] = (struct member){.worker = topo_worker(p, members[i].worker, true),
					 .mask = members[i].mask};
	if (!restorable(p, own, member_count)) {
		talloc_free(own);
		return err_set(err, ERR_CONFLICT, "Stop one of the two jobs and submit it again.",
			       "accelerators of job %s are held by another job", spec->id);
	}
	job = create_job(p, spec, get_org(p, spec->organisation, now_ms));
	job->attempt = attempt;
	if (member_count == 0) {
		talloc_free(own);
		sched_enqueue(p, job, now_ms);
		return 0;
	}
	for (size_t i = 0; i < member_count; i++)
		own[i].job = job;
	job->state = running ? JOB_RUNNING : JOB_PLACED;
	job->ever_started = true;
	job->placed_ms = now_ms;
	job->started_ms = running ? now_ms : 0;
	topo_grant(p, job, talloc_steal(job, own));
	p->homes_dirty = true;
	return 0;
}

void place_forget(struct place *p, struct job *job)
{
	topo_unreserve(p, job);
	topo_release(p, job);
	sched_dequeue(p, job);
	g_ptr_array_remove(p->dying, job);
	g_hash_table_remove(p->jobs, job->id);
	talloc_free(job);
}

/* The job is out of the queue at once; its PLACE_FAIL follows from the next step. */
void place_give_up(struct place *p, struct job *job, const char *reason)
{
	job->given_up = true;
	job->fail_reason = reason;
	topo_unreserve(p, job);
	sched_dequeue(p, job);
	g_ptr_array_add(p->dying, job);
}

int place_cancel(struct place *p, const char *id, uint64_t now_ms)
{
	struct job *job = g_hash_table_lookup(p->jobs, id);

	p->now_ms = now_ms;
	if (!job || job->given_up)
		return -ERR_NOT_FOUND;
	if (!job->members) {
		place_forget(p, job);
		return 0;
	}
	if (!job->cancelled && !job->stopping)
		g_ptr_array_add(p->dying, job);
	job->cancelled = true;
	return 1;
}

void place_started(struct place *p, const char *id, uint32_t attempt, uint64_t now_ms)
{
	struct job *job = g_hash_table_lookup(p->jobs, id);

	p->now_ms = now_ms;
	if (!job || job->attempt != attempt || job->state != JOB_PLACED)
		return;
	job->state = JOB_RUNNING;
	job->ever_started = true;
	job->started_ms = now_ms;
	job->run_base_ms = job->checkpoint ? job->saved_ms : 0;
	job->refusals = 0;
	health_started(p, job, now_ms);
}

void place_checkpointed(struct place *p, const char *id, uint64_t done_ms)
{
	struct job *job = g_hash_table_lookup(p->jobs, id);

	if (job)
		job->saved_ms = MAX(job->saved_ms, done_ms);
}

static void finished(struct place *p, struct job *job, bool done, struct worker *w)
{
	if (done && job->started_ms) {
		uint64_t actual = job->run_base_ms + p->now_ms - job->started_ms;

		if (actual >= ESTIMATE_SAMPLE_MIN_MS)
			estimate_learn(job->estimate, job->declared_ms, actual);
		for (uint32_t i = 0; i < job->shape.members; i++)
			job->members[i].worker->suspicion /= 2;
	}
	if (!done && w)
		health_program_failed(p, w);
	place_forget(p, job);
}

static void clear_probe(struct job *job)
{
	for (uint32_t i = 0; job->probing && i < job->shape.members; i++) {
		if (job->members[i].worker->probe == job)
			job->members[i].worker->probe = NULL;
	}
	job->probing = false;
}

static void requeue(struct place *p, struct job *job, enum place_outcome outcome, struct worker *w)
{
	if (outcome == PLACE_START_FAILED) {
		health_start_failed(p, job, w, p->now_ms);
	} else if (outcome == PLACE_HOLD_REFUSED) {
		job->refusals++;
		job->not_before_ms = p->now_ms + MIN(50ULL << MIN(job->refusals, 6), 2000);
		if (w)
			w->avoid_until_ms = p->now_ms + 1000;
	}
	clear_probe(job);
	topo_release(p, job);
	if (!job->given_up)
		sched_enqueue(p, job, p->now_ms);
}

/* Work that may run only once and may have run is not started again. */
static bool outcome_unknown(const struct job *job, enum place_outcome outcome)
{
	if (sched_evictable(job))
		return false;
	if (outcome == PLACE_WORKER_LOST || outcome == PLACE_STOPPED)
		return true;
	return job->ever_started;
}

void place_ended(struct place *p, const char *id, uint32_t attempt, enum place_outcome outcome,
		 const char *worker, uint64_t now_ms)
{
	struct job *job = g_hash_table_lookup(p->jobs, id);
	struct worker *w = worker ? topo_worker(p, worker, false) : NULL;

	p->now_ms = now_ms;
	if (!job || job->attempt != attempt || !job->members)
		return;
	if (outcome == PLACE_DONE || outcome == PLACE_JOB_FAILED) {
		clear_probe(job);
		finished(p, job, outcome == PLACE_DONE, w);
		return;
	}
	if (job->cancelled) {
		clear_probe(job);
		place_forget(p, job);
		return;
	}
	if (outcome_unknown(job, outcome)) {
		clear_probe(job);
		topo_release(p, job);
		place_give_up(p, job, "outcome unknown");
		return;
	}
	requeue(p, job, outcome, w);
	job->stopping = false;
}

void place_usage(struct place *p, const char *worker, uint64_t accelerator_mask, uint64_t now_ms)
{
	struct worker *w = topo_worker(p, worker, false);
	uint64_t foreign;

	p->now_ms = now_ms;
	if (!w)
		return;
	foreign = accelerator_mask & w->all & ~w->used;
	if (w->released_ms && now_ms < w->released_ms + USAGE_LAG_MS)
		foreign &= w->reported;
	if (w->reported & ~foreign) {
		p->gen++;
		p->work_due = true;
	}
	w->reported = foreign;
	w->reported_ms = now_ms;
}

static void expire_reports(struct place *p)
{
	for (size_t i = 0; i < p->order_count; i++) {
		struct worker *w = p->order[i];

		if (!w->reported || p->now_ms < w->reported_ms + REPORT_EXPIRES_MS)
			continue;
		w->reported = 0;
		p->gen++;
		p->work_due = true;
	}
}

uint64_t place_step(struct place *p, uint64_t now_ms,
		    void (*emit)(const struct place_decision *decision, void *ctx), void *ctx)
{
	uint64_t next;

	p->now_ms = now_ms;
	p->emit = emit;
	p->emit_ctx = ctx;
	expire_reports(p);
	next = sched_step(p, now_ms);
	p->emit = NULL;
	p->emit_ctx = NULL;
	return next;
}
