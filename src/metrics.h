#ifndef JAYCOURSE_METRICS_H
#define JAYCOURSE_METRICS_H

#include <stdint.h>
#include <talloc.h>

/**
 * DOC: Counters and gauges
 *
 * A registry of named values, each with an optional set of labels, rendered in the Prometheus text
 * format. All functions may be called from any thread.
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
 * metrics_define() - find or create the series with a name and a label set
 * @kind: counter (only grows) or gauge
 * @name: metric name, for example "jaycourse_refusals_total"
 * @labels: label set without braces, for example "reason=\"queue_full\"", or ""
 * @help: one line of help, used if the series is the first with this name
 *
 * Return: handle of the series, 0 or above; it stays valid as long as the registry. When the
 * registry is full (4096 series), the handle of a shared overflow series is returned instead, so
 * the call never fails.
 */
int metrics_define(struct metrics *registry, enum metrics_kind kind, const char *name,
		   const char *labels, const char *help);

/** metrics_add() - add @amount to a series */
void metrics_add(struct metrics *registry, int handle, uint64_t amount);

/** metrics_set() - set a gauge */
void metrics_set(struct metrics *registry, int handle, uint64_t value);

/** metrics_get() - current value of a series */
uint64_t metrics_get(struct metrics *registry, int handle);

/**
 * metrics_count() - define a counter if needed and add 1 to it
 *
 * Takes the registry's lock and searches all series. On hot paths call metrics_define() once and
 * metrics_add() with its handle.
 */
void metrics_count(struct metrics *registry, const char *name, const char *labels,
		   const char *help);

/** metrics_count_refusal() - count one refusal under jaycourse_refusals_total{reason=@reason} */
void metrics_count_refusal(struct metrics *registry, const char *reason);

/** metrics_count_retry() - count one retry under jaycourse_retries_total{reason=@reason} */
void metrics_count_retry(struct metrics *registry, const char *reason);

#define METRICS_BUCKETS 12

/**
 * struct metrics_histogram - distribution of durations in milliseconds
 * @registry: registry that holds the series
 * @buckets: handles of the NAME_bucket series, one per upper bound, the last for +Inf; each also
 *	counts the durations of the buckets below it
 * @sum: handle of NAME_sum, milliseconds
 * @count: handle of NAME_count
 */
struct metrics_histogram {
	struct metrics *registry;
	int buckets[METRICS_BUCKETS];
	int sum;
	int count;
};

/**
 * metrics_histogram_define() - fill in a histogram and define its series
 * @name: metric name without the suffixes _bucket, _sum and _count
 * @labels: label set without braces, or ""
 */
void metrics_histogram_define(struct metrics *registry, struct metrics_histogram *histogram,
			      const char *name, const char *labels, const char *help);

/** metrics_observe() - count one duration */
void metrics_observe(const struct metrics_histogram *histogram, uint64_t ms);

/**
 * metrics_render() - all series as text
 * @mem: talloc parent that owns the returned string
 */
char *metrics_render(struct metrics *registry, TALLOC_CTX *mem);

#endif
