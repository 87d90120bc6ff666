#include "lib_callers.h"
#include "util.h"

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_TRIES 40
#define RETRY_PAUSE_US 100000
#define POLL_PAUSE_US 100000

enum told {
	TOLD_WHOLE,
	TOLD_MIXED,
	TOLD_CUT,
	TOLD_NOT_RUN,
	TOLD_UNKNOWN,
	TOLD_FAILED,
	TOLD_BROKEN,
};

struct record {
	char echo[64];
	enum told told;
	uint64_t took_ms;
	char text[256];
};

struct callers {
	const struct cluster *c;
	struct callers_options options;
	pthread_t threads[CALLERS_MAX];
	pthread_mutex_t lock; /* guards records */
	GPtrArray *records;
	GPtrArray *histories; /* json_t */
	atomic_bool stop;
	atomic_uint sent;
	atomic_uint whole;
	atomic_uint next_thread;
	uint64_t run_id;
	bool joined;
	pthread_t poller;
	atomic_bool polling;
	atomic_bool ready[CLUSTER_ENTRIES_MAX];
};

static enum told judge(const struct http_reply *reply, const char *echo)
{
	json_t *json = json_loads(reply->body, 0, NULL);
	const char *got = json_string_value(json_object_get(json, "echo"));
	const char *outcome =
		json_string_value(json_object_get(json_object_get(json, "error"), "outcome"));
	enum told told = TOLD_FAILED;
	bool not_run = reply->status < 0 || (outcome && !strcmp(outcome, "not_run"));

	if (reply->status == 0)
		told = TOLD_BROKEN;
	else if (reply->status == 200 && !json)
		told = TOLD_CUT;
	else if (reply->status == 200)
		told = got && !strcmp(got, echo) ? TOLD_WHOLE : TOLD_MIXED;
	else if (not_run)
		told = TOLD_NOT_RUN;
	else if (outcome && !strcmp(outcome, "unknown"))
		told = TOLD_UNKNOWN;
	json_decref(json);
	return told;
}

/* The next entry after @entry that the readiness endpoint reports as ready. */
static unsigned int next_ready(struct callers *callers, unsigned int entry)
{
	unsigned int count = callers->c->entry_count;

	for (unsigned int i = 0; i < count; i++) {
		unsigned int at = (entry + i) % count;

		if (!callers->options.balanced || atomic_load(&callers->ready[at]))
			return at;
	}
	return 0;
}

static void *poll_ready(void *ctx)
{
	struct callers *callers = ctx;

	while (atomic_load(&callers->polling)) {
		for (unsigned int i = 0; i < callers->c->entry_count; i++) {
			struct http_reply reply;
			char url[128];

			snprintf(url, sizeof(url), "http://%s/readyz",
				 callers->c->entries[i].address[0]);
			reply = http_call("GET", url, NULL, NULL, 1000);
			atomic_store(&callers->ready[i], reply.status == 200);
			http_free(&reply);
		}
		g_usleep(POLL_PAUSE_US);
	}
	return NULL;
}

static bool send_again(const struct callers_options *o, enum told told)
{
	if (told == TOLD_UNKNOWN || told == TOLD_BROKEN)
		return o->repeat_unknown;
	return o->balanced && told == TOLD_NOT_RUN;
}

static void call(struct callers *callers, unsigned int thread, unsigned int number)
{
	const struct callers_options *o = &callers->options;
	struct record *record = g_new0(struct record, 1);
	unsigned int entry = next_ready(callers, thread + number);
	uint64_t start = util_clock_ms();
	bool uncertain = false;
	char body[160];

	snprintf(record->echo, sizeof(record->echo), "%08x-%u-%u", (unsigned int)callers->run_id,
		 thread, number);
	snprintf(body, sizeof(body), "{\"work_ms\":%u,\"echo\":\"%s\"}", o->work_ms, record->echo);
	for (int i = 0; i < RETRY_TRIES; i++) {
		struct http_reply reply =
			cluster_request(callers->c, entry, o->class_name,
					o->keys ? record->echo : NULL, o->idempotent, body);

		record->told = judge(&reply, record->echo);
		snprintf(record->text, sizeof(record->text), "%d %s", reply.status, reply.body);
		http_free(&reply);
		if (uncertain && record->told == TOLD_NOT_RUN)
			record->told = TOLD_UNKNOWN;
		if (!send_again(o, record->told))
			break;
		uncertain = uncertain || record->told != TOLD_NOT_RUN;
		entry = next_ready(callers, entry + 1);
		g_usleep(RETRY_PAUSE_US);
	}
	record->took_ms = util_clock_ms() - start;
	atomic_fetch_add(&callers->sent, 1);
	if (record->told == TOLD_WHOLE)
		atomic_fetch_add(&callers->whole, 1);
	pthread_mutex_lock(&callers->lock);
	g_ptr_array_add(callers->records, record);
	pthread_mutex_unlock(&callers->lock);
}

static void *caller(void *ctx)
{
	struct callers *callers = ctx;
	unsigned int thread = atomic_fetch_add(&callers->next_thread, 1);
	unsigned int limit = callers->options.requests_per_thread;

	for (unsigned int i = 0; (!limit || i < limit) && !atomic_load(&callers->stop); i++)
		call(callers, thread, i);
	return NULL;
}

struct callers *callers_start(const struct cluster *c, const struct callers_options *options)
{
	struct callers *callers = g_new0(struct callers, 1);

	callers->c = c;
	callers->options = *options;
	callers->records = g_ptr_array_new_with_free_func(g_free);
	callers->histories = g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	util_random_bytes(&callers->run_id, sizeof(callers->run_id));
	pthread_mutex_init(&callers->lock, NULL);
	for (unsigned int i = 0; i < c->entry_count; i++)
		atomic_store(&callers->ready[i], true);
	atomic_store(&callers->polling, true);
	pthread_create(&callers->poller, NULL, poll_ready, callers);
	for (unsigned int i = 0; i < options->threads; i++)
		pthread_create(&callers->threads[i], NULL, caller, callers);
	return callers;
}

void callers_join(struct callers *callers)
{
	for (unsigned int i = 0; i < callers->options.threads && !callers->joined; i++)
		pthread_join(callers->threads[i], NULL);
	if (!callers->joined && atomic_exchange(&callers->polling, false))
		pthread_join(callers->poller, NULL);
	callers->joined = true;
}

void callers_stop(struct callers *callers)
{
	atomic_store(&callers->stop, true);
	callers_join(callers);
}

unsigned int callers_sent(struct callers *callers)
{
	return atomic_load(&callers->sent);
}

unsigned int callers_whole(struct callers *callers)
{
	return atomic_load(&callers->whole);
}

void callers_add_history(struct callers *callers, json_t *history)
{
	g_ptr_array_add(callers->histories, json_incref(history));
}

void callers_keep_history(struct callers *callers, const struct proc *stand_in)
{
	json_t *history = cluster_history(stand_in);

	if (history)
		g_ptr_array_add(callers->histories, history);
}

static void count_runs(GHashTable *runs, json_t *history)
{
	json_t *item;
	size_t i;

	json_array_foreach(json_object_get(history, "requests"), i, item)
	{
		const char *echo = json_string_value(json_object_get(item, "echo"));
		gpointer count;

		if (!echo)
			continue;
		count = g_hash_table_lookup(runs, echo);
		g_hash_table_insert(runs, g_strdup(echo),
				    GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
	}
}

static void add_record(const struct record *record, unsigned int runs, struct callers_summary *out)
{
	unsigned int *const counters[] = {&out->whole,	 &out->mixed,  &out->cut,   &out->not_run,
					  &out->unknown, &out->failed, &out->broken};
	bool wrong = runs > 1 || (record->told == TOLD_NOT_RUN && runs) ||
		     (record->told == TOLD_WHOLE && !runs);

	out->sent++;
	(*counters[record->told])++;
	out->runs += runs;
	out->doubled += runs > 1;
	out->false_not_run += record->told == TOLD_NOT_RUN && runs > 0;
	out->lost += record->told == TOLD_WHOLE && runs == 0;
	if (record->told == TOLD_WHOLE && record->took_ms > out->slowest_ms)
		out->slowest_ms = record->took_ms;
	if (wrong || record->told == TOLD_MIXED || record->told == TOLD_CUT ||
	    record->told == TOLD_FAILED || record->told == TOLD_BROKEN)
		fprintf(stderr, "request %s: ran %u times, told %s\n", record->echo, runs,
			record->text);
}

void callers_summary(struct callers *callers, struct callers_summary *out)
{
	GHashTable *runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	memset(out, 0, sizeof(*out));
	for (unsigned int i = 0; i < callers->c->target_count; i++) {
		if (!callers->c->targets[i].is_worker && callers->c->targets[i].target.pid > 0)
			callers_keep_history(callers, &callers->c->targets[i].target);
	}
	for (guint i = 0; i < callers->histories->len; i++)
		count_runs(runs, g_ptr_array_index(callers->histories, i));
	for (guint i = 0; i < callers->records->len; i++) {
		const struct record *record = g_ptr_array_index(callers->records, i);

		add_record(record, GPOINTER_TO_UINT(g_hash_table_lookup(runs, record->echo)), out);
	}
	g_hash_table_destroy(runs);
}

void callers_free(struct callers *callers)
{
	callers_stop(callers);
	g_ptr_array_free(callers->records, TRUE);
	g_ptr_array_free(callers->histories, TRUE);
	pthread_mutex_destroy(&callers->lock);
	g_free(callers);
}
