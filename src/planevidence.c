#include "plan_int.h"

#include <math.h>
#include <string.h>

/*
 * Evidence about each worker: a weight that grows with stalls, failures, refusals and slow runs,
 * decays over seconds, and shrinks with runs that are done. The load: for some seconds 8 to 15% of
 * the workers fail what they start, let a part of it stand still or run several times slower, and
 * then are sound again.
 *
 * The weight makes a worker a worse choice. It bars none and moves nothing: a faulty worker is
 * better than no worker, and each single answer may be wrong.
 */

#define HALF_LIFE_MS 4000.0
#define WEIGHT_MAX 2.0
#define WEIGHT_MIN 0.01	   /* less counts as none, so that it decides between no equal workers */
#define SUSPECT_WEIGHT 0.6 /* above one failure, and above one of two workers of a stalled gang */
#define CLEAR_WEIGHT 0.3
/* Taken off by a run that began after the latest evidence and is done. */
#define DONE_WEIGHT 0.4
/*
 * What a worker without any evidence counts when the weight of a stall is shared. It is small, so
 * that a second gang puts most of it on the worker that both had.
 */
#define PRIOR_WEIGHT 0.05
/* Scores of a free and a full worker differ by 4 at most. */
#define SCORE_FACTOR 6.0
#define SCORE_FACTOR_SHORT 1.0
#define SHORT_RUN_MS 10000 /* of a single task that a suspected worker is tried with */

/*
 * Health answers are wrong in both directions, so a single bad one counts nothing, and no number of
 * them makes more than a suspicion that a few runs refute.
 */
#define HEALTH_WEIGHT_MAX 0.7
#define HEALTH_GOOD_WEIGHT 0.05
#define HEALTH_BAD_MIN 2 /* in a row */

static const double weights[PLAN_EVIDENCE_COUNT] = {
	[PLAN_EVIDENCE_STALL] = 1.0,   [PLAN_EVIDENCE_SLOW] = 1.0,   [PLAN_EVIDENCE_FAILURE] = 0.5,
	[PLAN_EVIDENCE_REFUSAL] = 0.3, [PLAN_EVIDENCE_HEALTH] = 0.2,
};

const char *plan_evidence_name(enum plan_evidence kind)
{
	static const char *const names[PLAN_EVIDENCE_COUNT] = {"stall", "slow", "failure",
							       "refusal", "bad health answer"};

	return names[kind];
}

void plan_on_evidence(struct plan *plan,
		      void (*judged)(const char *node, bool suspected, enum plan_evidence latest,
				     double weight, void *ctx),
		      void *ctx)
{
	plan->on_evidence = judged;
	plan->on_evidence_ctx = ctx;
}

double plan_evidence(const struct worker *worker, uint64_t now_ms)
{
	double passed_ms =
		now_ms > worker->evidence_ms ? (double)(now_ms - worker->evidence_ms) : 0;

	double weight =
		worker->evidence > 0 ? worker->evidence * exp2(-passed_ms / HALF_LIFE_MS) : 0;

	return weight >= WEIGHT_MIN ? weight : 0;
}

static void judge(struct plan *plan, struct worker *worker, uint64_t now_ms)
{
	double weight = plan_evidence(worker, now_ms);
	bool suspected = weight >= (worker->suspected ? CLEAR_WEIGHT : SUSPECT_WEIGHT);

	if (suspected == worker->suspected)
		return;
	worker->suspected = suspected;
	if (plan->on_evidence)
		plan->on_evidence(worker->node, suspected, worker->latest_evidence, weight,
				  plan->on_evidence_ctx);
}

static void set_weight(struct plan *plan, struct worker *worker, double weight, uint64_t now_ms)
{
	worker->evidence = CLAMP(weight, 0, WEIGHT_MAX);
	worker->evidence_ms = MAX(now_ms, worker->evidence_ms);
	judge(plan, worker, now_ms);
}

static void add_weight(struct plan *plan, struct worker *worker, enum plan_evidence kind,
		       double weight, uint64_t now_ms)
{
	worker->latest_evidence = kind;
	worker->bad_evidence_ms = now_ms;
	set_weight(plan, worker, plan_evidence(worker, now_ms) + weight, now_ms);
}

void plan_add_evidence(struct plan *plan, struct worker *worker, enum plan_evidence kind,
		       uint64_t now_ms)
{
	add_weight(plan, worker, kind, weights[kind], now_ms);
}

void plan_add_shared_evidence(struct plan *plan, const struct task *task, enum plan_evidence kind,
			      uint64_t now_ms)
{
	const struct step_run *step = task->step;
	double *shares;
	double sum = 0;

	if (!step->spec->gang) {
		plan_add_evidence(plan, task->worker, kind, now_ms);
		return;
	}
	/* The shares are taken before the first of them changes the evidence. */
	shares = talloc_zero_array(NULL, double, step->spec->count);
	for (uint32_t i = 0; i < step->spec->count; i++) {
		const struct worker *worker = step->tasks[i].worker;

		shares[i] = worker ? PRIOR_WEIGHT + plan_evidence(worker, now_ms) : 0;
		sum += shares[i];
	}
	for (uint32_t i = 0; i < step->spec->count && sum > 0; i++) {
		if (step->tasks[i].worker)
			add_weight(plan, step->tasks[i].worker, kind,
				   weights[kind] * shares[i] / sum, now_ms);
	}
	talloc_free(shares);
}

void plan_add_proof(struct plan *plan, struct worker *worker, uint64_t began_ms, uint64_t now_ms)
{
	if (began_ms <= worker->bad_evidence_ms || worker->evidence <= 0)
		return;
	set_weight(plan, worker, plan_evidence(worker, now_ms) - DONE_WEIGHT, now_ms);
}

void plan_add_health(struct plan *plan, struct worker *worker, uint32_t good, uint32_t bad,
		     uint64_t now_ms)
{
	uint32_t new_good = good - (good >= worker->health_good ? worker->health_good : 0);
	uint32_t known_bad = bad >= worker->health_bad ? worker->health_bad : 0;
	double weight = plan_evidence(worker, now_ms);

	/* The first bad answers in a row are not weighed. */
	known_bad = MAX(known_bad, HEALTH_BAD_MIN - 1);
	worker->health_good = good;
	worker->health_bad = bad;
	if (worker->offers_room && bad > known_bad && weight < HEALTH_WEIGHT_MAX) {
		worker->latest_evidence = PLAN_EVIDENCE_HEALTH;
		weight += weights[PLAN_EVIDENCE_HEALTH] * (bad - known_bad);
		set_weight(plan, worker, MIN(weight, HEALTH_WEIGHT_MAX), now_ms);
	} else if (new_good > 0 && weight > 0) {
		set_weight(plan, worker, weight - HEALTH_GOOD_WEIGHT * new_good, now_ms);
	}
}

void plan_forget_evidence(struct plan *plan, struct worker *worker, uint64_t now_ms)
{
	worker->bad_evidence_ms = 0;
	worker->health_good = 0;
	worker->health_bad = 0;
	set_weight(plan, worker, 0, now_ms);
}

void plan_review_evidence(struct plan *plan, uint64_t now_ms)
{
	for (guint i = 0; i < plan->workers->len; i++)
		judge(plan, plan->workers->pdata[i], now_ms);
}

const char *plan_health_path(const struct plan *plan, const char *node)
{
	const struct worker *worker = plan_find_worker(plan, node);
	const struct fleetconf *conf = plan->conf;

	for (size_t i = 0; worker && conf && i < conf->service_count; i++) {
		if (!strcmp(conf->services[i].name, worker->service) &&
		    conf->services[i].health_path)
			return conf->services[i].health_path;
	}
	return "";
}

double plan_evidence_score(const struct worker *worker, const struct step_run *step,
			   uint64_t now_ms)
{
	const struct job *job = step->occurrence->job;
	bool is_trial = !step->spec->gang && job->queue && job->queue->priority > 0 &&
			plan_expected_run_ms(step) <= SHORT_RUN_MS;

	if (worker->evidence <= 0)
		return 0;
	return (is_trial ? SCORE_FACTOR_SHORT : SCORE_FACTOR) * plan_evidence(worker, now_ms);
}

uint32_t plan_count_suspected(const struct plan *plan)
{
	uint32_t count = 0;

	for (guint i = 0; i < plan->workers->len; i++) {
		const struct worker *worker = plan->workers->pdata[i];

		count += worker->present && worker->suspected;
	}
	return count;
}
