#include "place_impl.h"

#include <math.h>

#define LEARN_RATE 0.15 /* weight of the newest run in the moving averages */
#define RATIO_MAX 16.0	/* a larger ratio of actual to declared run time is more likely a fault */
#define DEFAULT_RUN_MS 600000 /* for jobs that declare no run time */
#define DEVIATION_MARGIN 0.5  /* share of the deviation that is added against underestimates */

struct class_estimate *estimate_get(struct place *place, const char *org, const char *class_name)
{
	char *key = talloc_asprintf(place, "%s/%s", org, class_name);
	struct class_estimate *estimate = g_hash_table_lookup(place->estimates, key);

	if (estimate) {
		talloc_free(key);
		return estimate;
	}
	estimate = talloc_zero(place, struct class_estimate);
	talloc_steal(estimate, key);
	g_hash_table_insert(place->estimates, key, estimate);
	return estimate;
}

void estimate_learn(struct class_estimate *estimate, uint64_t declared_ms, uint64_t actual_ms)
{
	double rate = estimate->samples < 6 ? 1.0 / (estimate->samples + 1) : LEARN_RATE;
	double value;

	if (declared_ms == 0 || actual_ms == 0)
		return;
	value = log((double)actual_ms / (double)declared_ms);
	value = CLAMP(value, -log(RATIO_MAX), log(RATIO_MAX));
	estimate->deviation += rate * (fabs(value - estimate->log_ratio) - estimate->deviation);
	estimate->log_ratio += rate * (value - estimate->log_ratio);
	estimate->samples++;
}

uint64_t estimate_run_ms(const struct job *job)
{
	double declared = job->declared_ms ? (double)job->declared_ms : DEFAULT_RUN_MS;
	double log_ratio = job->estimate->log_ratio + DEVIATION_MARGIN * job->estimate->deviation;

	return (uint64_t)(declared * exp(CLAMP(log_ratio, -log(RATIO_MAX), log(RATIO_MAX))));
}

/*
 * A job that has run more than two thirds of its estimate is expected to run half as long again as
 * it has run, so that a wrong estimate is off by no more than a constant factor of the true run
 * time.
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
