#include "place_impl.h"

#define SUSPICION_PER_FAILURE 0.5 /* added for a failure that may be the job's fault */
#define SUSPICION_CONFIRMED 1.0	  /* added when the failed job then runs on another worker */
/* Reached by one failure of a job that then runs elsewhere, or by three other failures. */
#define QUARANTINE_SUSPICION 1.5
/* A failed start on a worker with less suspicion counts as a fault of the job. */
#define HEALTHY_SUSPICION_BELOW 1.0
#define HEALTHY_FAILURES_MAX 3 /* failed starts on such workers until a job fails */
#define START_FAILURES_MAX 12  /* failed starts on any workers until a job fails */
#define QUARANTINE_MS 30000
#define QUARANTINE_DOUBLINGS 5	     /* the longest quarantine is 16 minutes */
#define PROBATION_AFTER_MS 60000     /* readmitted on probation without a probe job */
#define FAILED_WORKER_AVOID_MS 20000 /* a job avoids workers that it failed on */
#define PROBE_CANDIDATES_MAX 64	     /* waiting jobs considered as a probe */
#define WORKERS_PER_QUARANTINED 3    /* at most one worker in this many is quarantined */

/*
 * True if the job avoids the worker because it failed there. This ends after a time, because in a
 * small fleet the avoided workers may be the only ones that fit the job.
 */
bool health_job_avoids(const struct job *job, const struct worker *worker, uint64_t now_ms)
{
	if (now_ms > job->failed_ms + FAILED_WORKER_AVOID_MS)
		return false;
	for (uint32_t i = 0; i < job->failed_on_count; i++) {
		if (job->failed_on[i] == worker)
			return true;
	}
	return false;
}

static uint32_t quarantined_count(const struct place *place)
{
	uint32_t count = 0;

	for (guint i = 0; i < place->workers->len; i++) {
		const struct worker *worker = place->workers->pdata[i];

		count += worker->up && worker->quarantined;
	}
	return count;
}

static void quarantine_worker(struct place *place, struct worker *worker, uint64_t now_ms)
{
	uint32_t doublings = MIN(worker->quarantine_count, QUARANTINE_DOUBLINGS);

	if (!worker->quarantined &&
	    (quarantined_count(place) + 1) * WORKERS_PER_QUARANTINED > place->workers->len)
		return;
	worker->quarantine_until_ms = now_ms + ((uint64_t)QUARANTINE_MS << doublings);
	worker->quarantine_count++;
	if (worker->quarantined)
		return;
	worker->quarantined = true;
	worker->health_event = !worker->health_event;
	place->guarantees_dirty = true;
}

static void readmit_worker(struct place *place, struct worker *worker, double suspicion)
{
	worker->suspicion = suspicion;
	worker->probe = NULL;
	if (!worker->quarantined)
		return;
	worker->quarantined = false;
	worker->health_event = !worker->health_event;
	place->guarantees_dirty = true;
	place->gen++;
	place->queue_pass_due = true;
}

/*
 * Adds the worker to those that the job avoids, in place of the oldest entry if the list is full.
 * The list holds at most half of the fleet, so that in a small fleet enough workers stay allowed.
 */
static void remember_failed_worker(struct place *place, struct job *job, struct worker *worker,
				   uint64_t now_ms)
{
	uint32_t limit = (uint32_t)MIN(place->order_count / 2, PLACE_FAILED_WORKERS_MAX);

	if (limit == 0 || health_job_avoids(job, worker, now_ms))
		return;
	if (job->failed_on_count >= limit) {
		for (uint32_t i = 1; i < job->failed_on_count; i++)
			job->failed_on[i - 1] = job->failed_on[i];
		job->failed_on_count--;
	}
	job->failed_on[job->failed_on_count++] = worker;
}

static void give_up_job(struct place *place, struct job *job)
{
	for (uint32_t i = 0; i < job->failed_on_count; i++) {
		struct worker *worker = job->failed_on[i];

		worker->suspicion = MAX(0, worker->suspicion - SUSPICION_PER_FAILURE);
		if (worker->quarantined && worker->suspicion < HEALTHY_SUSPICION_BELOW)
			readmit_worker(place, worker, worker->suspicion);
	}
	place_give_up(place, job,
		      job->healthy_worker_failures >= HEALTHY_FAILURES_MAX
			      ? "could not start on several workers that run other work"
			      : "could not start on any worker that was tried");
}

void health_start_failed(struct place *place, struct job *job, struct worker *worker,
			 uint64_t now_ms)
{
	bool healthy;

	job->start_failures++;
	job->failed_ms = now_ms;
	/*
	 * The first two failures may well be a worker's fault, so the job is tried on other workers
	 * without a delay.
	 */
	if (job->start_failures > 2)
		job->not_before_ms = now_ms + MIN(250ULL << MIN(job->start_failures, 8), 30000);
	if (!worker)
		healthy = true;
	else
		healthy = !worker->quarantined && worker->suspicion < HEALTHY_SUSPICION_BELOW;
	if (worker && worker->probe == job) {
		worker->probe = NULL;
		quarantine_worker(place, worker, now_ms);
		healthy = false;
	} else if (worker) {
		worker->suspicion += SUSPICION_PER_FAILURE;
		remember_failed_worker(place, job, worker, now_ms);
		if (worker->suspicion >= QUARANTINE_SUSPICION)
			quarantine_worker(place, worker, now_ms);
	}
	job->healthy_worker_failures += healthy;
	if (job->healthy_worker_failures >= HEALTHY_FAILURES_MAX ||
	    job->start_failures >= START_FAILURES_MAX)
		give_up_job(place, job);
}

/* Called only for program failures that the worker may have caused. */
void health_program_failed(struct place *place, struct worker *worker)
{
	worker->suspicion += SUSPICION_PER_FAILURE;
	if (worker->suspicion >= QUARANTINE_SUSPICION)
		quarantine_worker(place, worker, place->now_ms);
}

/*
 * The job has started, so its earlier start failures were not caused by the job itself: they are
 * attributed to the workers on which they occurred.
 */
void health_job_started(struct place *place, struct job *job, uint64_t now_ms)
{
	for (uint32_t i = 0; i < job->failed_on_count; i++) {
		struct worker *worker = job->failed_on[i];

		worker->suspicion += SUSPICION_CONFIRMED;
		if (worker->suspicion >= QUARANTINE_SUSPICION && !worker->quarantined && worker->up)
			quarantine_worker(place, worker, now_ms);
	}
	job->failed_on_count = 0;
	job->healthy_worker_failures = 0;
	job->start_failures = 0;
	for (uint32_t i = 0; i < job->shape.members; i++) {
		struct worker *worker = job->members[i].worker;

		worker->success_ms = now_ms;
		worker->suspicion /= 2;
		if (worker->probe == job)
			readmit_worker(place, worker, 0);
	}
	job->probing = false;
}

static bool may_serve_as_probe(const struct job *job, const struct worker *worker, uint64_t now_ms)
{
	return job->shape.members == 1 && sched_evictable(job) && !job->urgent &&
	       !job->reservation && !job->given_up && job->start_failures == 0 &&
	       job->not_before_ms <= now_ms && job->shape.cores <= worker->cores &&
	       job->shape.memory_mb <= worker->memory &&
	       job->shape.accelerators <= worker->accelerators;
}

static struct job *find_probe_job(const struct place *place, const struct worker *worker,
				  uint64_t now_ms)
{
	int candidates_left = PROBE_CANDIDATES_MAX;

	for (guint i = 0; i < place->orgs->len && candidates_left > 0; i++) {
		const struct organisation *org = place->orgs->pdata[i];

		for (GList *at = org->waiting.head; at && candidates_left-- > 0; at = at->next) {
			if (may_serve_as_probe(at->data, worker, now_ms))
				return at->data;
		}
	}
	return NULL;
}

static void probe_worker(struct place *place, struct worker *worker, uint64_t now_ms)
{
	struct job *job;
	struct member member = {.worker = worker};

	if (worker->probe || worker->draining || worker->offered ||
	    now_ms < worker->quarantine_until_ms)
		return;
	job = find_probe_job(place, worker, now_ms);
	if (!job) {
		if (now_ms >= worker->quarantine_until_ms + PROBATION_AFTER_MS)
			readmit_worker(place, worker, QUARANTINE_SUSPICION - SUSPICION_PER_FAILURE);
		return;
	}
	member.mask = topo_run_mask(0, job->shape.accelerators);
	job->probing = true;
	if (!sched_room_free(job, &member)) {
		job->probing = false;
		return;
	}
	worker->probe = job;
	sched_start(place, job, &member);
}

static void emit_health_event(struct place *place, struct worker *worker)
{
	worker->health_event = false;
	sched_emit(place, &(struct place_decision){
				  .kind = worker->quarantined ? PLACE_QUARANTINE : PLACE_READMIT,
				  .worker = worker->name,
				  .reason = worker->quarantined
						    ? "it fails work that runs elsewhere"
						    : "a probe ran, or its failures were not its "
						      "fault",
			  });
}

uint64_t health_step(struct place *place, uint64_t now_ms)
{
	uint64_t next = UINT64_MAX;

	for (guint i = 0; i < place->workers->len; i++) {
		struct worker *worker = place->workers->pdata[i];

		if (worker->quarantined && worker->up) {
			probe_worker(place, worker, now_ms);
			next = 1000;
		}
		if (worker->health_event)
			emit_health_event(place, worker);
	}
	return next;
}
