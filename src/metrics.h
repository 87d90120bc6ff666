#ifndef JAYCOURSE_METRICS_H
#define JAYCOURSE_METRICS_H

#include <stdint.h>
#include <talloc.h>

/**
 * DOC: Counters and gauges
 *
 * A registry of named values, each with an optional label set, rendered in the text
 * format that common metrics scrapers read. All functions may be called from any thread.
 */

struct metrics;

enum metrics_kind {
	METRICS_COUNTER,
	METRICS_GAUGE,
};

/**
 * metrics_create() - create an empty registry
 * @mem: talloc parent that owns the registry
 */
struct metrics *metrics_create(TALLOC_CTX *mem);

/**
 * metrics_define() - find or create one series
 * @m: registry
 * @kind: counter (only grows) or gauge
 * @name: metric name, for example "jaycourse_refusals_total"
 * @labels: label set without braces, for example "reason=\"queue_full\"", or ""
 * @help: one line of help, used when the name is new
 *
 * Return: handle of the series, 0 or above. When the registry is full (4096 series) the
 * handle of a shared overflow series is returned, so the call never fails.
 */
int metrics_define(struct metrics *m, enum metrics_kind kind, const char *name, const char *labels,
		   const char *help);

/** metrics_add() - add @amount to a series */
void metrics_add(struct metrics *m, int handle, uint64_t amount);

/** metrics_set() - set a gauge */
void metrics_set(struct metrics *m, int handle, uint64_t value);

/** metrics_get() - current value of a series */
uint64_t metrics_get(struct metrics *m, int handle);

/**
 * metrics_count() - define a counter if needed and add 1 to it
 *
 * Takes the registry's lock; use a kept handle on hot paths.
 */
void metrics_count(struct metrics *m, const char *name, const char *labels, const char *help);

/** metrics_refusal() - count one refusal under jaycourse_refusals_total{reason=@reason} */
void metrics_refusal(struct metrics *m, const char *reason);

/** metrics_retry() - count one retry under jaycourse_retries_total{reason=@reason} */
void metrics_retry(struct metrics *m, const char *reason);

#define METRICS_BUCKETS 12

/**
 * struct metrics_histogram - a distribution of times
 *
 * Rendered as NAME_bucket series with upper bounds in milliseconds, NAME_sum and NAME_count.
 */
struct metrics_histogram {
	struct metrics *m;
	int buckets[METRICS_BUCKETS];
	int sum;
	int count;
};

/**
 * metrics_histogram_define() - set up a histogram
 * @labels: label set without braces, or ""
 */
void metrics_histogram_define(struct metrics *m, struct metrics_histogram *h, const char *name,
			      const char *labels, const char *help);

/** metrics_observe() - count one time */
void metrics_observe(const struct metrics_histogram *h, uint64_t ms);

/**
 * metrics_render() - all series as text
 * @mem: talloc parent that owns the returned string
 */
char *metrics_render(struct metrics *m, TALLOC_CTX *mem);

#endif
