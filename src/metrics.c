#include "metrics.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#define SERIES_MAX 4096
#define TEXT_MAX_BYTES 192

struct series {
	char *name;
	char *labels;
	char *help;
	enum metrics_kind kind;
	_Atomic uint64_t value;
};

struct metrics {
	pthread_mutex_t lock; /* protects count and the addition of series; values are atomic */
	int count;
	struct series series[SERIES_MAX + 1]; /* the last one is the overflow series */
};

static int metrics_destructor(struct metrics *registry)
{
	pthread_mutex_destroy(&registry->lock);
	return 0;
}

struct metrics *metrics_create(TALLOC_CTX *mem)
{
	struct metrics *registry = talloc_zero(mem, struct metrics);

	pthread_mutex_init(&registry->lock, NULL);
	talloc_set_destructor(registry, metrics_destructor);
	registry->series[SERIES_MAX].name =
		talloc_strdup(registry, "jaycourse_metrics_overflow_total");
	registry->series[SERIES_MAX].labels = talloc_strdup(registry, "");
	registry->series[SERIES_MAX].help =
		talloc_strdup(registry, "Updates to series beyond the limit");
	return registry;
}

static int find_series(struct metrics *registry, const char *name, const char *labels)
{
	for (int i = 0; i < registry->count; i++) {
		if (!strcmp(registry->series[i].name, name) &&
		    !strcmp(registry->series[i].labels, labels))
			return i;
	}
	return -1;
}

int metrics_define(struct metrics *registry, enum metrics_kind kind, const char *name,
		   const char *labels, const char *help)
{
	struct series *series;
	int handle;

	pthread_mutex_lock(&registry->lock);
	handle = find_series(registry, name, labels);
	if (handle < 0 && registry->count == SERIES_MAX)
		handle = SERIES_MAX;
	if (handle < 0) {
		handle = registry->count;
		series = &registry->series[handle];
		series->name = talloc_strdup(registry, name);
		series->labels = talloc_strdup(registry, labels);
		series->help = talloc_strdup(registry, help);
		series->kind = kind;
		registry->count++;
	}
	pthread_mutex_unlock(&registry->lock);
	return handle;
}

void metrics_add(struct metrics *registry, int handle, uint64_t amount)
{
	atomic_fetch_add_explicit(&registry->series[handle].value, amount, memory_order_relaxed);
}

void metrics_set(struct metrics *registry, int handle, uint64_t value)
{
	atomic_store_explicit(&registry->series[handle].value, value, memory_order_relaxed);
}

uint64_t metrics_get(struct metrics *registry, int handle)
{
	return atomic_load_explicit(&registry->series[handle].value, memory_order_relaxed);
}

void metrics_count(struct metrics *registry, const char *name, const char *labels, const char *help)
{
	metrics_add(registry, metrics_define(registry, METRICS_COUNTER, name, labels, help), 1);
}

static void count_reason(struct metrics *registry, const char *name, const char *reason,
			 const char *help)
{
	char labels[TEXT_MAX_BYTES];

	snprintf(labels, sizeof(labels), "reason=\"%s\"", reason);
	metrics_count(registry, name, labels, help);
}

void metrics_count_refusal(struct metrics *registry, const char *reason)
{
	count_reason(registry, "jaycourse_refusals_total", reason,
		     "Requests and jobs refused, by reason");
}

void metrics_count_retry(struct metrics *registry, const char *reason)
{
	count_reason(registry, "jaycourse_retries_total", reason, "Retries, by reason");
}

/* The first series of a name has rendered all series of that name. */
static bool is_name_rendered(const struct metrics *registry, int index)
{
	for (int i = 0; i < index; i++) {
		if (!strcmp(registry->series[i].name, registry->series[index].name))
			return true;
	}
	return false;
}

static char *render_metric(struct metrics *registry, char *text, int first)
{
	const struct series *head = &registry->series[first];

	text = talloc_asprintf_append_buffer(text, "# HELP %s %s\n# TYPE %s %s\n", head->name,
					     head->help, head->name,
					     head->kind == METRICS_GAUGE ? "gauge" : "counter");
	for (int i = first; i < registry->count; i++) {
		const struct series *series = &registry->series[i];
		const char *open = series->labels[0] ? "{" : "";
		const char *close = series->labels[0] ? "}" : "";

		if (strcmp(series->name, head->name) != 0)
			continue;
		text = talloc_asprintf_append_buffer(text, "%s%s%s%s %" PRIu64 "\n", series->name,
						     open, series->labels, close,
						     metrics_get(registry, i));
	}
	return text;
}

char *metrics_render(struct metrics *registry, TALLOC_CTX *mem)
{
	char *text = talloc_strdup(mem, "");

	pthread_mutex_lock(&registry->lock);
	for (int i = 0; i < registry->count; i++) {
		if (!is_name_rendered(registry, i))
			text = render_metric(registry, text, i);
	}
	pthread_mutex_unlock(&registry->lock);
	return text;
}

/* Upper bounds: the range is from one answer of the store to the whole objective of a job. */
static const uint64_t bucket_bounds_ms[METRICS_BUCKETS - 1] = {5,   10,	  25,	50,    100,  250,
							       500, 1000, 2500, 10000, 30000};

void metrics_histogram_define(struct metrics *registry, struct metrics_histogram *histogram,
			      const char *name, const char *labels, const char *help)
{
	char series_name[TEXT_MAX_BYTES];
	char bucket_labels[TEXT_MAX_BYTES];
	const char *comma = *labels ? "," : "";

	histogram->registry = registry;
	snprintf(series_name, sizeof(series_name), "%s_bucket", name);
	for (int i = 0; i < METRICS_BUCKETS; i++) {
		if (i < METRICS_BUCKETS - 1)
			snprintf(bucket_labels, sizeof(bucket_labels), "%s%sle=\"%" PRIu64 "\"",
				 labels, comma, bucket_bounds_ms[i]);
		else
			snprintf(bucket_labels, sizeof(bucket_labels), "%s%sle=\"+Inf\"", labels,
				 comma);
		histogram->buckets[i] =
			metrics_define(registry, METRICS_COUNTER, series_name, bucket_labels, help);
	}
	snprintf(series_name, sizeof(series_name), "%s_sum", name);
	histogram->sum = metrics_define(registry, METRICS_COUNTER, series_name, labels, help);
	snprintf(series_name, sizeof(series_name), "%s_count", name);
	histogram->count = metrics_define(registry, METRICS_COUNTER, series_name, labels, help);
}

void metrics_observe(const struct metrics_histogram *histogram, uint64_t ms)
{
	for (int i = METRICS_BUCKETS - 1; i >= 0; i--) {
		if (i < METRICS_BUCKETS - 1 && ms > bucket_bounds_ms[i])
			break;
		metrics_add(histogram->registry, histogram->buckets[i], 1);
	}
	metrics_add(histogram->registry, histogram->sum, ms);
	metrics_add(histogram->registry, histogram->count, 1);
}
