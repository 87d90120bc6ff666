#include "place_impl.h"

#include <math.h>

#define LEARN_RATE 0.15	      /* weight of the newest run */
#define RATIO_MAX 16.0	      /* a learned factor beyond this is more likely a fault */
#define DEFAULT_RUN_MS 600000 /* for jobs that declare nothing */
#define MARGIN 0.5	      /* of the deviation, added against underestimates */

struct class_estimate *estimate_get(struct place *p, const char *org, const char *class_name)
{
	char *key = talloc_asprintf(p, "%s/%s", org, class_name);
	struct class_estimate *e = g_hash_table_lookup(p->estimates, key);

	if (e) {
		talloc_free(key);
		return e;
	}
	e = talloc_zero(p, struct class_estimate);
	talloc_steal(e, key);
	g_hash_table_insert(p->estimates, key, e);
	return e;
}

void estimate_learn(struct class_estimate *e, uint64_t declared_ms, uint64_t actual_ms)
{
	double rate = e->samples < 6 ? 1.0 / (e->samples + 1) : LEARN_RATE;
	double value;

	if (declared_ms == 0 || actual_ms == 0)
		return;
	value = log((double)actual_ms / (double)declared_ms);
	value = CLAMP(value, -log(RATIO_MAX), log(RATIO_MAX));
	e->deviation += rate * (fabs(value - e->log_ratio) - e->deviation);
	e->log_ratio += rate * (value - e->log_ratio);
	e->samples++;
}

uint64_t estimate_run_ms(const struct job *job)
{
	double declared = job->declared_ms ? (double)job->declared_ms : DEFAULT_RUN_MS;
	double ln = job->estimate->log_ratio + MARGIN * job->estimate->deviation;

	return (uint64_t)(declared * exp(CLAMP(ln, -log(RATIO_MAX), log(RATIO_MAX))));
}

/*
 * A job past its estimate is expected to run half as long again as it has run: a wrong estimate
 * then misleads at most by a constant factor of the true run time.
 */
uint64_t estimate_remaining_ms(const struct job *job, uint64_t now_ms)
{
	uint64_t total = estimate_run_ms(job);
	uint64_t begin = job->started_ms ? job->started_ms : job->placed_ms;
	uint64_t done = job->checkpoint ? job->saved_ms : 0;

	if (job->members && now_ms > begin)
		done = job->run_base_ms + now_ms - begin;
	if (total > done + done / 2)
		return total - done;
	return MAX(done / 2, 1000);
}
