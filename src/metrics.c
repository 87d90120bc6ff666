#include "metrics.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#define SERIES_MAX 4096
#define LABELS_MAX 192

struct series {
	char *name;
	char *labels;
	char *help;
	enum metrics_kind kind;
	_Atomic uint64_t value;
};

struct metrics {
	pthread_mutex_t lock; /* guards count and new rows; values are atomic */
	int count;
	struct series series[SERIES_MAX + 1];
};

static int metrics_destructor(struct metrics *m)
{
	pthread_mutex_destroy(&m->lock);
	return 0;
}

struct metrics *metrics_create(TALLOC_CTX *mem)
{
	struct metrics *m = talloc_zero(mem, struct metrics);

	pthread_mutex_init(&m->lock, NULL);
	talloc_set_destructor(m, metrics_destructor);
	m->series[SERIES_MAX].name = talloc_strdup(m, "jaycourse_metrics_overflow_total");
	m->series[SERIES_MAX].labels = talloc_strdup(m, "");
	m->series[SERIES_MAX].help = talloc_strdup(m, "Updates to series beyond the limit");
	return m;
}

static int find(struct metrics *m, const char *name, const char *labels)
{
	for (int i = 0; i < m->count; i++) {
		if (!strcmp(m->series[i].name, name) && !strcmp(m->series[i].labels, labels))
			return i;
	}
	return -1;
}

int metrics_define(struct metrics *m, enum metrics_kind kind, const char *name, const char *labels,
		   const char *help)
{
	struct series *s;
	int handle;

	pthread_mutex_lock(&m->lock);
	handle = find(m, name, labels);
	if (handle < 0 && m->count == SERIES_MAX)
		handle = SERIES_MAX;
	if (handle < 0) {
		handle = m->count;
		s = &m->series[handle];
		s->name = talloc_strdup(m, name);
		s->labels = talloc_strdup(m, labels);
		s->help = talloc_strdup(m, help);
		s->kind = kind;
		m->count++;
	}
	pthread_mutex_unlock(&m->lock);
	return handle;
}

void metrics_add(struct metrics *m, int handle, uint64_t amount)
{
	atomic_fetch_add_explicit(&m->series[handle].value, amount, memory_order_relaxed);
}

void metrics_set(struct metrics *m, int handle, uint64_t value)
{
	atomic_store_explicit(&m->series[handle].value, value, memory_order_relaxed);
}

uint64_t metrics_get(struct metrics *m, int handle)
{
	return atomic_load_explicit(&m->series[handle].value, memory_order_relaxed);
}

void metrics_count(struct metrics *m, const char *name, const char *labels, const char *help)
{
	metrics_add(m, metrics_define(m, METRICS_COUNTER, name, labels, help), 1);
}

static void count_reason(struct metrics *m, const char *name, const char *reason, const char *help)
{
	char labels[LABELS_MAX];

	snprintf(labels, sizeof(labels), "reason=\"%s\"", reason);
	metrics_count(m, name, labels, help);
}

void metrics_refusal(struct metrics *m, const char *reason)
{
	count_reason(m, "jaycourse_refusals_total", reason, "Requests and jobs refused, by reason");
}

void metrics_retry(struct metrics *m, const char *reason)
{
	count_reason(m, "jaycourse_retries_total", reason, "Retries, by reason");
}

static bool named_before(const struct metrics *m, int index)
{
	for (int i = 0; i < index; i++) {
		if (!strcmp(m->series[i].name, m->series[index].name))
			return true;
	}
	return false;
}

static char *render_name(struct metrics *m, char *text, int first)
{
	const struct series *head = &m->series[first];

	text = talloc_asprintf_append_buffer(text, "# HELP %s %s\n# TYPE %s %s\n", head->name,
					     head->help, head->name,
					     head->kind == METRICS_GAUGE ? "gauge" : "counter");
	for (int i = first; i < m->count; i++) {
		const struct series *s = &m->series[i];
		const char *open = s->labels[0] ? "{" : "";
		const char *close = s->labels[0] ? "}" : "";

		if (strcmp(s->name, head->name) != 0)
			continue;
		text = talloc_asprintf_append_buffer(text, "%s%s%s%s %" PRIu64 "\n", s->name, open,
						     s->labels, close, metrics_get(m, i));
	}
	return text;
}

char *metrics_render(struct metrics *m, TALLOC_CTX *mem)
{
	char *text = talloc_strdup(mem, "");

	pthread_mutex_lock(&m->lock);
	for (int i = 0; i < m->count; i++) {
		if (!named_before(m, i))
			text = render_name(m, text, i);
	}
	pthread_mutex_unlock(&m->lock);
	return text;
}

/* Upper bounds in milliseconds: from one answer of the store to a job's whole objective. */
static const uint64_t bucket_ms[METRICS_BUCKETS - 1] = {5,   10,   25,	 50,	100,  250,
							500, 1000, 2500, 10000, 30000};

void metrics_histogram_define(struct metrics *m, struct metrics_histogram *h, const char *name,
			      const char *labels, const char *help)
{
	char series[LABELS_MAX];
	char set[LABELS_MAX];
	const char *comma = *labels ? "," : "";

	h->m = m;
	snprintf(series, sizeof(series), "%s_bucket", name);
	for (int i = 0; i < METRICS_BUCKETS; i++) {
		if (i < METRICS_BUCKETS - 1)
			snprintf(set, sizeof(set), "%s%sle=\"%" PRIu64 "\"", labels, comma,
				 bucket_ms[i]);
		else
			snprintf(set, sizeof(set), "%s%sle=\"+Inf\"", labels, comma);
		h->buckets[i] = metrics_define(m, METRICS_COUNTER, series, set, help);
	}
	snprintf(series, sizeof(series), "%s_sum", name);
	h->sum = metrics_define(m, METRICS_COUNTER, series, labels, help);
	snprintf(series, sizeof(series), "%s_count", name);
	h->count = metrics_define(m, METRICS_COUNTER, series, labels, help);
}

void metrics_observe(const struct metrics_histogram *h, uint64_t ms)
{
	for (int i = METRICS_BUCKETS - 1; i >= 0; i--) {
		if (i < METRICS_BUCKETS - 1 && ms > bucket_ms[i])
			break;
		metrics_add(h->m, h->buckets[i], 1);
	}
	metrics_add(h->m, h->sum, ms);
	metrics_add(h->m, h->count, 1);
}
