#include "place_impl.h"

#define SUSPECT_FAILURE 0.5   /* a failure that may be the job's fault */
#define SUSPECT_CONFIRMED 1.0 /* added when the job then runs on another worker */
#define QUARANTINE_AT 1.5     /* one failure of a job that then ran elsewhere, or three others */
#define GOOD_BELOW 1.0	      /* suspicion of a worker whose failures count against the job */
#define GOOD_FAILURES 3	      /* of a job on good workers before it is given up */
#define FAILURES_MAX 12	      /* of a job on any workers */
#define QUARANTINE_MS 30000
#define QUARANTINE_DOUBLINGS 5	 /* at most 16 minutes */
#define PROBATION_AFTER_MS 60000 /* readmitted on probation when no job can serve as a probe */
#define AVOID_MS 20000		 /* a job stays away from workers it failed on */
#define PROBE_LOOKS 64		 /* waiting jobs looked at for a probe */
#define QUARANTINED_SHARE 3	 /* at most one worker of this many */

/* In a small fleet the avoided workers may be the only ones that fit, so avoidance ends. */
bool health_avoids(const struct job *job, const struct worker *w, uint64_t now_ms)
{
	if (now_ms > job->failed_ms + AVOID_MS)
		return false;
	for (uint32_t i = 0; i < job->failed_on_count; i++) {
		if (job->failed_on[i] == w)
			return true;
	}
	return false;
}

static uint32_t quarantined_count(const struct place *p)
{
	uint32_t count = 0;

	for (guint i = 0; i < p->workers->len; i++) {
		const struct worker *w = p->workers->pdata[i];

		count += w->up && w->quarantined;
	}
	return count;
}

static void quarantine(struct place *p, struct worker *w, uint64_t now_ms)
{
	uint32_t doublings = MIN(w->quarantine_count, QUARANTINE_DOUBLINGS);

	if (!w->quarantined && (quarantined_count(p) + 1) * QUARANTINED_SHARE > p->workers->len)
		return;
	w->quarantine_until_ms = now_ms + ((uint64_t)QUARANTINE_MS << doublings);
	w->quarantine_count++;
	if (w->quarantined)
		return;
	w->quarantined = true;
	w->health_event = !w->health_event;
	p->homes_dirty = true;
}

static void readmit(struct place *p, struct worker *w, double suspicion)
{
	w->suspicion = suspicion;
	w->probe = NULL;
	if (!w->quarantined)
		return;
	w->quarantined = false;
	w->health_event = !w->health_event;
	p->homes_dirty = true;
	p->gen++;
	p->work_due = true;
}

/* Older entries go first; in a small fleet at least half of the workers stay allowed. */
static void remember(struct place *p, struct job *job, struct worker *w, uint64_t now_ms)
{
	uint32_t limit = (uint32_t)MIN(p->order_count / 2, PLACE_FAILED_WORKERS_MAX);

	if (limit == 0 || health_avoids(job, w, now_ms))
		return;
	if (job->failed_on_count >= limit) {
		for (uint32_t i = 1; i < job->failed_on_count; i++)
			job->failed_on[i - 1] = job->failed_on[i];
		job->failed_on_count--;
	}
	job->failed_on[job->failed_on_count++] = w;
}

static void give_up(struct place *p, struct job *job)
{
	for (uint32_t i = 0; i < job->failed_on_count; i++) {
		struct worker *w = job->failed_on[i];

		w->suspicion = MAX(0, w->suspicion - SUSPECT_FAILURE);
		if (w->quarantined && w->suspicion < GOOD_BELOW)
			readmit(p, w, w->suspicion);
	}
	place_give_up(p, job,
		      job->good_failures >= GOOD_FAILURES
			      ? "could not start on several workers that run other work"
			      : "could not start on any worker that was tried");
}

void health_start_failed(struct place *p, struct job *job, struct worker *w, uint64_t now_ms)
{
	bool good;

	job->start_failures++;
	job->failed_ms = now_ms;
	/* The first failures may well be a worker's fault, so other workers are tried at once. */
	if (job->start_failures > 2)
		job->not_before_ms = now_ms + MIN(250ULL << MIN(job->start_failures, 8), 30000);
	if (!w)
		good = true;
	else
		good = !w->quarantined && w->suspicion < GOOD_BELOW;
	if (w && w->probe == job) {
		w->probe = NULL;
		quarantine(p, w, now_ms);
		good = false;
	} else if (w) {
		w->suspicion += SUSPECT_FAILURE;
		remember(p, job, w, now_ms);
		if (w->suspicion >= QUARANTINE_AT)
			quarantine(p, w, now_ms);
	}
	job->good_failures += good;
	if (job->good_failures >= GOOD_FAILURES || job->start_failures >= FAILURES_MAX)
		give_up(p, job);
}

/* A program failure names a worker only if the worker may have caused it. */
void health_program_failed(struct place *p, struct worker *w)
{
	w->suspicion += SUSPECT_FAILURE;
	if (w->suspicion >= QUARANTINE_AT)
		quarantine(p, w, p->now_ms);
}

/* The job runs: its earlier failures were the fault of the workers that it failed on. */
void health_started(struct place *p, struct job *job, uint64_t now_ms)
{
	for (uint32_t i = 0; i < job->failed_on_count; i++) {
		struct worker *w = job->failed_on[i];

		w->suspicion += SUSPECT_CONFIRMED;
		if (w->suspicion >= QUARANTINE_AT && !w->quarantined && w->up)
			quarantine(p, w, now_ms);
	}
	job->failed_on_count = 0;
	job->good_failures = 0;
	job->start_failures = 0;
	for (uint32_t i = 0; i < job->shape.members; i++) {
		struct worker *w = job->members[i].worker;

		w->success_ms = now_ms;
		w->suspicion /= 2;
		if (w->probe == job)
			readmit(p, w, 0);
	}
	job->probing = false;
}

static bool may_probe(const struct job *job, const struct worker *w, uint64_t now_ms)
{
	return job->shape.members == 1 && sched_evictable(job) && !job->urgent &&
	       !job->reservation && !job->given_up && job->start_failures == 0 &&
	       job->not_before_ms <= now_ms && job->shape.cores <= w->cores &&
	       job->shape.memory_mb <= w->memory && job->shape.accelerators <= w->accelerators;
}

static struct job *find_probe(const struct place *p, const struct worker *w, uint64_t now_ms)
{
	int looks = PROBE_LOOKS;

	for (guint i = 0; i < p->orgs->len && looks > 0; i++) {
		const struct organisation *org = p->orgs->pdata[i];

		for (GList *at = org->waiting.head; at && looks-- > 0; at = at->next) {
			if (may_probe(at->data, w, now_ms))
				return at->data;
		}
	}
	return NULL;
}

static void probe(struct place *p, struct worker *w, uint64_t now_ms)
{
	struct job *job;
	struct member member = {.worker = w};

	if (w->probe || w->draining || w->offered || now_ms < w->quarantine_until_ms)
		return;
	job = find_probe(p, w, now_ms);
	if (!job) {
		if (now_ms >= w->quarantine_until_ms + PROBATION_AFTER_MS)
			readmit(p, w, QUARANTINE_AT - SUSPECT_FAILURE);
		return;
	}
	member.mask = topo_run(0, job->shape.accelerators);
	job->probing = true;
	if (!sched_room(job, &member)) {
		job->probing = false;
		return;
	}
	w->probe = job;
	sched_start(p, job, &member);
}

static void report(struct place *p, struct worker *w)
{
	w->health_event = false;
	sched_emit(p,
		   &(struct place_decision){
			   .kind = w->quarantined ? PLACE_QUARANTINE : PLACE_READMIT,
			   .worker = w->name,
			   .reason = w->quarantined ? "it fails work that runs elsewhere"
						    : "a probe ran, or its failures were not its "
						      "fault",
		   });
}

uint64_t health_step(struct place *p, uint64_t now_ms)
{
	uint64_t next = UINT64_MAX;

	for (guint i = 0; i < p->workers->len; i++) {
		struct worker *w = p->workers->pdata[i];

		if (w->quarantined && w->up) {
			probe(p, w, now_ms);
			next = 1000;
		}
		if (w->health_event)
			report(p, w);
	}
	return next;
}
