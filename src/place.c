#include "place_impl.h"

#include <string.h>

#define USAGE_LAG_MS 5000 /* a usage report may still include work that ended this long ago */
#define USAGE_REPORT_TTL_MS 15000 /* use without a grant ends without a report for this long */
#define SHARE_MIN 0.001
#define ESTIMATE_SAMPLE_MIN_MS 10

static int place_destructor(struct place *place)
{
	g_ptr_array_free(place->reserved, TRUE);
	g_ptr_array_free(place->urgent, TRUE);
	g_ptr_array_free(place->ending_jobs, TRUE);
	g_hash_table_destroy(place->jobs);
	g_hash_table_destroy(place->org_names);
	g_hash_table_destroy(place->worker_names);
	g_hash_table_destroy(place->estimates);
	for (guint i = 0; i < place->orgs->len; i++)
		g_queue_clear(&((struct organisation *)place->orgs->pdata[i])->waiting);
	g_ptr_array_free(place->orgs, TRUE);
	g_ptr_array_free(place->zones, TRUE);
	g_ptr_array_free(place->racks, TRUE);
	g_ptr_array_free(place->workers, TRUE);
	return 0;
}

struct place *place_create(TALLOC_CTX *mem, const struct place_policy *policy, uint64_t seed)
{
	struct place *place = talloc_zero(mem, struct place);

	place->policy = *policy;
	place->rng.state = seed;
	place->gen = 1;
	place->workers = g_ptr_array_new();
	place->zones = g_ptr_array_new();
	place->racks = g_ptr_array_new();
	place->orgs = g_ptr_array_new();
	place->reserved = g_ptr_array_new();
	place->urgent = g_ptr_array_new();
	place->ending_jobs = g_ptr_array_new();
	place->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	place->org_names = g_hash_table_new(g_str_hash, g_str_equal);
	place->worker_names = g_hash_table_new(g_str_hash, g_str_equal);
	place->estimates = g_hash_table_new(g_str_hash, g_str_equal);
	talloc_set_destructor(place, place_destructor);
	return place;
}

void place_set_policy(struct place *place, const struct place_policy *policy)
{
	place->policy = *policy;
	place->gen++;
	place->queue_pass_due = true;
}

static struct organisation *find_or_create_organisation(struct place *place, const char *name,
							uint64_t now_ms)
{
	struct organisation *organisation = g_hash_table_lookup(place->org_names, name);

	if (organisation)
		return organisation;
	organisation = talloc_zero(place, struct organisation);
	organisation->name = talloc_strdup(organisation, name);
	organisation->removed = true;
	organisation->share = 1;
	g_queue_init(&organisation->waiting);
	g_ptr_array_add(place->orgs, organisation);
	g_hash_table_insert(place->org_names, organisation->name, organisation);
	return organisation;
}

void place_set_organisations(struct place *place, const struct place_organisation_spec *specs,
			     size_t count, uint64_t now_ms)
{
	place->now_ms = now_ms;
	for (guint i = 0; i < place->orgs->len; i++)
		((struct organisation *)place->orgs->pdata[i])->listed = false;
	for (size_t i = 0; i < count; i++) {
		struct organisation *organisation =
			find_or_create_organisation(place, specs[i].name, now_ms);

		if (organisation->removed)
			organisation->since_ms = now_ms;
		organisation->removed = false;
		organisation->listed = true;
		organisation->index = (uint32_t)i;
		organisation->priority = specs[i].priority;
		organisation->quota = specs[i].quota_accelerators;
		organisation->share = specs[i].share > 0 ? MAX(specs[i].share, SHARE_MIN) : 1;
		organisation->guaranteed_pass_due = true;
	}
	for (guint i = 0; i < place->orgs->len; i++) {
		struct organisation *organisation = place->orgs->pdata[i];

		organisation->removed = !organisation->listed;
	}
	guarantee_apply_specs(place, specs, count);
	place->gen++;
	place->queue_pass_due = true;
}

static void update_worker_width(struct place *place)
{
	uint32_t width = 0;

	for (guint i = 0; i < place->workers->len; i++) {
		const struct worker *worker = place->workers->pdata[i];

		if (worker->up)
			width = MAX(width, worker->accelerators);
	}
	place->worker_width = width;
}

static bool same_spec(const struct place *place, const struct worker *worker,
		      const struct place_worker_spec *spec)
{
	const struct zone *zone = place->zones->pdata[worker->zone];
	const struct rack *rack = place->racks->pdata[worker->rack];

	return worker->accelerators == MIN(spec->accelerators, PLACE_ACCELERATORS_MAX) &&
	       worker->cores == spec->cores && worker->memory == spec->memory_mb &&
	       strcmp(zone->name, spec->zone ? spec->zone : "") == 0 &&
	       strcmp(rack->name, spec->rack ? spec->rack : "") == 0;
}

void place_worker_up(struct place *place, const struct place_worker_spec *spec, uint64_t now_ms)
{
	struct worker *worker;

	place->now_ms = now_ms;
	worker = topo_get_worker(place, spec->name, true);
	if (worker->up && same_spec(place, worker, spec))
		return;
	if (!worker->up) {
		worker->offered = false;
		worker->idle_since_ms = now_ms;
		worker->reported_mask = 0;
		worker->avoid_until_ms = 0;
	}
	worker->up = true;
	topo_update_worker(place, worker, spec);
	update_worker_width(place);
	place->guarantees_dirty = true;
	place->gen++;
	place->queue_pass_due = true;
}

static void drop_worker_reservations(struct place *place, const struct worker *worker)
{
	for (guint i = place->reserved->len; i > 0; i--) {
		struct job *job = place->reserved->pdata[i - 1];

		for (uint32_t k = 0; k < job->shape.members; k++) {
			if (job->reservation[k].worker != worker)
				continue;
			topo_unreserve(place, job);
			break;
		}
	}
}

void place_worker_down(struct place *place, const char *name, uint64_t now_ms)
{
	struct worker *worker = topo_get_worker(place, name, false);

	place->now_ms = now_ms;
	if (!worker)
		return;
	worker->up = false;
	worker->down_ms = now_ms;
	worker->reported_mask = 0;
	while (worker->members->len) {
		struct member *member = worker->members->pdata[0];

		place_ended(place, member->job->id, member->job->attempt, PLACE_WORKER_LOST, name,
			    now_ms);
	}
	drop_worker_reservations(place, worker);
	place->order_dirty = true;
	place->guarantees_dirty = true;
	place->queue_pass_due = true;
	update_worker_width(place);
}

void place_worker_drain(struct place *place, const char *name, bool drain, uint64_t now_ms)
{
	struct worker *worker = topo_get_worker(place, name, false);

	place->now_ms = now_ms;
	if (!worker || worker->draining == drain)
		return;
	worker->draining = drain;
	place->guarantees_dirty = true;
	place->gen++;
	place->queue_pass_due = true;
}

static int validate_job_spec(struct place *place, const struct place_job_spec *spec,
			     struct err *err)
{
	const struct place_shape *shape = &spec->shape;

	if (!spec->id || !spec->id[0] || !spec->organisation)
		return err_set(err, ERR_INVALID, "Give the job an id and an organisation.",
			       "the job has no id or no organisation");
	if (shape->members == 0 || shape->members > PLACE_MEMBERS_MAX ||
	    shape->accelerators > PLACE_ACCELERATORS_MAX)
		return err_set(err, ERR_INVALID,
			       "Ask for 1 to 64 members of at most 64 accelerators each.",
			       "the shape %u x %u is out of range", shape->members,
			       shape->accelerators);
	if (g_hash_table_lookup(place->jobs, spec->id))
		return err_set(err, ERR_EXISTS, "Use a new id.", "job %s exists already", spec->id);
	return 0;
}

static struct job *create_job(struct place *place, const struct place_job_spec *spec,
			      struct organisation *organisation)
{
	struct job *job = talloc_zero(place, struct job);

	job->id = talloc_strdup(job, spec->id);
	job->org = organisation;
	job->estimate =
		estimate_get(place, organisation->name, spec->class_name ? spec->class_name : "");
	job->shape = spec->shape;
	job->declared_ms = spec->declared_ms;
	job->submitted_ms = spec->submitted_ms;
	job->urgent = spec->urgent;
	job->checkpoint = spec->checkpoint;
	job->restartable = spec->restartable;
	g_hash_table_insert(place->jobs, job->id, job);
	return job;
}

static void record_largest_shape(struct place *place, const struct place_shape *shape)
{
	const struct place_shape *largest = &place->largest_submitted_shape;

	if (shape->members * shape->accelerators > largest->members * largest->accelerators)
		place->largest_submitted_shape = *shape;
}

int place_submit(struct place *place, const struct place_job_spec *spec, uint64_t now_ms,
		 struct err *err)
{
	struct organisation *organisation;
	int rc = validate_job_spec(place, spec, err);

	place->now_ms = now_ms;
	if (rc)
		return rc;
	organisation = g_hash_table_lookup(place->org_names, spec->organisation);
	if (!organisation || organisation->removed)
		return err_set(err, ERR_NOT_FOUND, "Add the organisation to the configuration.",
			       "organisation %s is unknown", spec->organisation);
	if (organisation->quota &&
	    spec->shape.members * spec->shape.accelerators > organisation->quota)
		return err_set(err, ERR_OVER_QUOTA, "Ask for less, or have the quota raised.",
			       "the job asks for %u accelerators, the quota is %u",
			       spec->shape.members * spec->shape.accelerators, organisation->quota);
	if (place->workers->len && !search_fits_idle_fleet(place, &spec->shape))
		return err_set(err, ERR_NEVER_FITS,
			       "Ask for fewer or smaller members, or for placement within a zone.",
			       "%u x %u accelerators (%u cores, %u MB each) fit nowhere",
			       spec->shape.members, spec->shape.accelerators, spec->shape.cores,
			       spec->shape.memory_mb);
	record_largest_shape(place, &spec->shape);
	sched_enqueue(place, create_job(place, spec, organisation), now_ms);
	return 0;
}

static bool accelerators_free(struct place *place, const struct member *members, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (members[i].worker->used_mask & members[i].mask)
			return false;
		for (size_t k = 0; k < i; k++) {
			if (members[k].worker == members[i].worker &&
			    (members[k].mask & members[i].mask))
				return false;
		}
	}
	return true;
}

int place_restore(struct place *place, const struct place_job_spec *spec, uint32_t attempt,
		  const struct place_assignment *members, size_t member_count, bool running,
		  uint64_t now_ms, struct err *err)
{
	struct job *job;
	struct member *granted;
	int rc = validate_job_spec(place, spec, err);

	place->now_ms = now_ms;
	if (rc)
		return rc;
	if (member_count && member_count != spec->shape.members)
		return err_set(err, ERR_INVALID, "Restore all members or none.",
			       "job %s has %zu of %u members", spec->id, member_count,
			       spec->shape.members);
	granted = talloc_zero_array(place, struct member, spec->shape.members);
	for (size_t i = 0; i < member_count; i++)
		granted[i] =
			(struct member){.worker = topo_get_worker(place, members[i].worker, true),
					.mask = members[i].mask};
	if (!accelerators_free(place, granted, member_count)) {
		talloc_free(granted);
		return err_set(err, ERR_CONFLICT, "Stop one of the two jobs and submit it again.",
			       "accelerators of job %s are held by another job", spec->id);
	}
	job = create_job(place, spec,
			 find_or_create_organisation(place, spec->organisation, now_ms));
	job->attempt = attempt;
	if (member_count == 0) {
		talloc_free(granted);
		sched_enqueue(place, job, now_ms);
		return 0;
	}
	for (size_t i = 0; i < member_count; i++)
		granted[i].job = job;
	job->state = running ? JOB_RUNNING : JOB_PLACED;
	job->ever_started = true;
	job->placed_ms = now_ms;
	job->started_ms = running ? now_ms : 0;
	topo_grant(place, job, talloc_steal(job, granted));
	place->guarantees_dirty = true;
	return 0;
}

/** place_remove_job() - release the resources of a job, remove it from all lists and free it */
void place_remove_job(struct place *place, struct job *job)
{
	topo_unreserve(place, job);
	topo_release(place, job);
	sched_dequeue(place, job);
	g_ptr_array_remove(place->ending_jobs, job);
	g_hash_table_remove(place->jobs, job->id);
	talloc_free(job);
}

/* Removes the job from the queue at once; the next step emits PLACE_FAIL and frees it. */
void place_give_up(struct place *place, struct job *job, const char *reason)
{
	job->given_up = true;
	job->fail_reason = reason;
	topo_unreserve(place, job);
	sched_dequeue(place, job);
	g_ptr_array_add(place->ending_jobs, job);
}

int place_cancel(struct place *place, const char *id, uint64_t now_ms)
{
	struct job *job = g_hash_table_lookup(place->jobs, id);

	place->now_ms = now_ms;
	if (!job || job->given_up)
		return -ERR_NOT_FOUND;
	if (!job->members) {
		place_remove_job(place, job);
		return 0;
	}
	if (!job->cancelled && !job->stopping)
		g_ptr_array_add(place->ending_jobs, job);
	job->cancelled = true;
	return 1;
}

void place_started(struct place *place, const char *id, uint32_t attempt, uint64_t now_ms)
{
	struct job *job = g_hash_table_lookup(place->jobs, id);

	place->now_ms = now_ms;
	if (!job || job->attempt != attempt || job->state != JOB_PLACED)
		return;
	job->state = JOB_RUNNING;
	job->ever_started = true;
	job->started_ms = now_ms;
	job->run_base_ms = job->checkpoint ? job->saved_ms : 0;
	job->refusals = 0;
	health_job_started(place, job, now_ms);
}

void place_checkpointed(struct place *place, const char *id, uint64_t done_ms)
{
	struct job *job = g_hash_table_lookup(place->jobs, id);

	if (job)
		job->saved_ms = MAX(job->saved_ms, done_ms);
}

static void finish_job(struct place *place, struct job *job, bool done, struct worker *worker)
{
	if (done && job->started_ms) {
		uint64_t actual = job->run_base_ms + place->now_ms - job->started_ms;

		if (actual >= ESTIMATE_SAMPLE_MIN_MS)
			estimate_learn(job->estimate, job->declared_ms, actual);
		for (uint32_t i = 0; i < job->shape.members; i++)
			job->members[i].worker->suspicion /= 2;
	}
	if (!done && worker)
		health_program_failed(place, worker);
	place_remove_job(place, job);
}

static void clear_probe(struct job *job)
{
	for (uint32_t i = 0; job->probing && i < job->shape.members; i++) {
		if (job->members[i].worker->probe == job)
			job->members[i].worker->probe = NULL;
	}
	job->probing = false;
}

static void requeue_job(struct place *place, struct job *job, enum place_outcome outcome,
			struct worker *worker)
{
	if (outcome == PLACE_START_FAILED) {
		health_start_failed(place, job, worker, place->now_ms);
	} else if (outcome == PLACE_HOLD_REFUSED) {
		job->refusals++;
		job->not_before_ms = place->now_ms + MIN(50ULL << MIN(job->refusals, 6), 2000);
		if (worker)
			worker->avoid_until_ms = place->now_ms + 1000;
	}
	clear_probe(job);
	topo_release(place, job);
	if (!job->given_up)
		sched_enqueue(place, job, place->now_ms);
}

/* A job that may run only once is not started again if it may have run. */
static bool outcome_unknown(const struct job *job, enum place_outcome outcome)
{
	if (sched_evictable(job))
		return false;
	if (outcome == PLACE_WORKER_LOST || outcome == PLACE_STOPPED)
		return true;
	return job->ever_started;
}

void place_ended(struct place *place, const char *id, uint32_t attempt, enum place_outcome outcome,
		 const char *worker_name, uint64_t now_ms)
{
	struct job *job = g_hash_table_lookup(place->jobs, id);
	struct worker *worker = worker_name ? topo_get_worker(place, worker_name, false) : NULL;

	place->now_ms = now_ms;
	if (!job || job->attempt != attempt || !job->members)
		return;
	if (outcome == PLACE_DONE || outcome == PLACE_JOB_FAILED) {
		clear_probe(job);
		finish_job(place, job, outcome == PLACE_DONE, worker);
		return;
	}
	if (job->cancelled) {
		clear_probe(job);
		place_remove_job(place, job);
		return;
	}
	if (outcome_unknown(job, outcome)) {
		clear_probe(job);
		topo_release(place, job);
		place_give_up(place, job, "outcome unknown");
		return;
	}
	requeue_job(place, job, outcome, worker);
	job->stopping = false;
}

void place_usage(struct place *place, const char *worker_name, uint64_t accelerator_mask,
		 uint64_t now_ms)
{
	struct worker *worker = topo_get_worker(place, worker_name, false);
	uint64_t ungranted;

	place->now_ms = now_ms;
	if (!worker)
		return;
	ungranted = accelerator_mask & worker->all_mask & ~worker->used_mask;
	if (worker->released_ms && now_ms < worker->released_ms + USAGE_LAG_MS)
		ungranted &= worker->reported_mask;
	if (worker->reported_mask & ~ungranted) {
		place->gen++;
		place->queue_pass_due = true;
	}
	worker->reported_mask = ungranted;
	worker->reported_ms = now_ms;
}

static void expire_usage_reports(struct place *place)
{
	for (size_t i = 0; i < place->order_count; i++) {
		struct worker *worker = place->order[i];

		if (!worker->reported_mask ||
		    place->now_ms < worker->reported_ms + USAGE_REPORT_TTL_MS)
			continue;
		worker->reported_mask = 0;
		place->gen++;
		place->queue_pass_due = true;
	}
}

uint64_t place_step(struct place *place, uint64_t now_ms,
		    void (*emit)(const struct place_decision *decision, void *ctx), void *ctx)
{
	uint64_t next;

	place->now_ms = now_ms;
	place->emit = emit;
	place->emit_ctx = ctx;
	expire_usage_reports(place);
	next = sched_step(place, now_ms);
	place->emit = NULL;
	place->emit_ctx = NULL;
	return next;
}
