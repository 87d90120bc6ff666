#include "lib_callers.h"
#include "util.h"

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ATTEMPTS_MAX 40
#define RETRY_PAUSE_US 100000
#define READINESS_POLL_US 100000

enum answer_kind {
	ANSWER_WHOLE,
	ANSWER_MIXED,
	ANSWER_CUT,
	ANSWER_NOT_RUN,
	ANSWER_UNKNOWN,
	ANSWER_FAILED,
	ANSWER_BROKEN,
};

struct record {
	char echo[64];
	enum answer_kind answer_kind;
	uint64_t took_ms;
	char text[256]; /* status and body of the last answer */
};

struct callers {
	const struct cluster *cluster;
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

static enum answer_kind classify_answer(const struct http_reply *reply, const char *echo)
{
	json_t *json = json_loads(reply->body, 0, NULL);
	const char *got = json_string_value(json_object_get(json, "echo"));
	const char *outcome =
		json_string_value(json_object_get(json_object_get(json, "error"), "outcome"));
	enum answer_kind answer_kind = ANSWER_FAILED;
	bool not_run = reply->status < 0 || (outcome && !strcmp(outcome, "not_run"));

	if (reply->status == 0)
		answer_kind = ANSWER_BROKEN;
	else if (reply->status == 200 && !json)
		answer_kind = ANSWER_CUT;
	else if (reply->status == 200)
		answer_kind = got && !strcmp(got, echo) ? ANSWER_WHOLE : ANSWER_MIXED;
	else if (not_run)
		answer_kind = ANSWER_NOT_RUN;
	else if (outcome && !strcmp(outcome, "unknown"))
		answer_kind = ANSWER_UNKNOWN;
	json_decref(json);
	return answer_kind;
}

/*
 * First ready entry from @entry on, entry 0 if none is ready. Without balancing every entry counts
 * as ready.
 */
static unsigned int next_ready_entry(struct callers *callers, unsigned int entry)
{
	unsigned int count = callers->cluster->entry_count;

	for (unsigned int i = 0; i < count; i++) {
		unsigned int at = (entry + i) % count;

		if (!callers->options.balanced || atomic_load(&callers->ready[at]))
			return at;
	}
	return 0;
}

static void *poll_readiness(void *ctx)
{
	struct callers *callers = ctx;

	while (atomic_load(&callers->polling)) {
		for (unsigned int i = 0; i < callers->cluster->entry_count; i++) {
			struct http_reply reply;
			char url[128];

			snprintf(url, sizeof(url), "http://%s/readyz",
				 callers->cluster->entries[i].address[0]);
			reply = http_call("GET", url, NULL, NULL, 1000);
			atomic_store(&callers->ready[i], reply.status == 200);
			http_reply_free(&reply);
		}
		g_usleep(READINESS_POLL_US);
	}
	return NULL;
}

static bool should_retry(const struct callers_options *opts, enum answer_kind answer_kind)
{
	if (answer_kind == ANSWER_UNKNOWN || answer_kind == ANSWER_BROKEN)
		return opts->repeat_unknown;
	return opts->balanced && answer_kind == ANSWER_NOT_RUN;
}

static void send_request(struct callers *callers, unsigned int thread, unsigned int number)
{
	const struct callers_options *opts = &callers->options;
	struct record *record = g_new0(struct record, 1);
	unsigned int entry = next_ready_entry(callers, thread + number);
	uint64_t start = util_clock_ms();
	bool uncertain = false;
	char body[160];

	snprintf(record->echo, sizeof(record->echo), "%08x-%u-%u", (unsigned int)callers->run_id,
		 thread, number);
	snprintf(body, sizeof(body), "{\"work_ms\":%u,\"echo\":\"%s\"}", opts->work_ms,
		 record->echo);
	for (int i = 0; i < ATTEMPTS_MAX; i++) {
		struct http_reply reply =
			cluster_request(callers->cluster, entry, opts->class_name,
					opts->keys ? record->echo : NULL, opts->idempotent, body);

		record->answer_kind = classify_answer(&reply, record->echo);
		snprintf(record->text, sizeof(record->text), "%d %s", reply.status, reply.body);
		http_reply_free(&reply);
		if (uncertain && record->answer_kind == ANSWER_NOT_RUN)
			record->answer_kind = ANSWER_UNKNOWN;
		if (!should_retry(opts, record->answer_kind))
			break;
		uncertain = uncertain || record->answer_kind != ANSWER_NOT_RUN;
		entry = next_ready_entry(callers, entry + 1);
		g_usleep(RETRY_PAUSE_US);
	}
	record->took_ms = util_clock_ms() - start;
	atomic_fetch_add(&callers->sent, 1);
	if (record->answer_kind == ANSWER_WHOLE)
		atomic_fetch_add(&callers->whole, 1);
	pthread_mutex_lock(&callers->lock);
	g_ptr_array_add(callers->records, record);
	pthread_mutex_unlock(&callers->lock);
}

static void *caller_thread(void *ctx)
{
	struct callers *callers = ctx;
	unsigned int thread = atomic_fetch_add(&callers->next_thread, 1);
	unsigned int limit = callers->options.requests_per_thread;

	for (unsigned int i = 0; (!limit || i < limit) && !atomic_load(&callers->stop); i++)
		send_request(callers, thread, i);
	return NULL;
}

struct callers *callers_start(const struct cluster *cluster, const struct callers_options *options)
{
	struct callers *callers = g_new0(struct callers, 1);

	callers->cluster = cluster;
	callers->options = *options;
	callers->records = g_ptr_array_new_with_free_func(g_free);
	callers->histories = g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	util_random_bytes(&callers->run_id, sizeof(callers->run_id));
	pthread_mutex_init(&callers->lock, NULL);
	for (unsigned int i = 0; i < cluster->entry_count; i++)
		atomic_store(&callers->ready[i], true);
	atomic_store(&callers->polling, true);
	pthread_create(&callers->poller, NULL, poll_readiness, callers);
	for (unsigned int i = 0; i < options->threads; i++)
		pthread_create(&callers->threads[i], NULL, caller_thread, callers);
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

unsigned int callers_sent_requests(struct callers *callers)
{
	return atomic_load(&callers->sent);
}

unsigned int callers_whole_answers(struct callers *callers)
{
	return atomic_load(&callers->whole);
}

void callers_add_history(struct callers *callers, json_t *history)
{
	g_ptr_array_add(callers->histories, json_incref(history));
}

void callers_fetch_history(struct callers *callers, const struct proc *stand_in)
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

static void summarise_record(const struct record *record, unsigned int runs,
			     struct callers_summary *out)
{
	unsigned int *const counters[] = {&out->whole,	 &out->mixed,	&out->truncated,
					  &out->not_run, &out->unknown, &out->failed,
					  &out->broken};
	bool wrong = runs > 1 || (record->answer_kind == ANSWER_NOT_RUN && runs) ||
		     (record->answer_kind == ANSWER_WHOLE && !runs);

	out->sent++;
	(*counters[record->answer_kind])++;
	out->runs += runs;
	out->doubled += runs > 1;
	out->false_not_run += record->answer_kind == ANSWER_NOT_RUN && runs > 0;
	out->lost += record->answer_kind == ANSWER_WHOLE && runs == 0;
	if (record->answer_kind == ANSWER_WHOLE && record->took_ms > out->slowest_ms)
		out->slowest_ms = record->took_ms;
	if (wrong || record->answer_kind == ANSWER_MIXED || record->answer_kind == ANSWER_CUT ||
	    record->answer_kind == ANSWER_FAILED || record->answer_kind == ANSWER_BROKEN)
		fprintf(stderr, "request %s: ran %u times, answer: %s\n", record->echo, runs,
			record->text);
}

void callers_summary(struct callers *callers, struct callers_summary *out)
{
	GHashTable *runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	memset(out, 0, sizeof(*out));
	for (unsigned int i = 0; i < callers->cluster->target_count; i++) {
		if (!callers->cluster->targets[i].is_worker &&
		    callers->cluster->targets[i].process.pid > 0)
			callers_fetch_history(callers, &callers->cluster->targets[i].process);
	}
	for (guint i = 0; i < callers->histories->len; i++)
		count_runs(runs, g_ptr_array_index(callers->histories, i));
	for (guint i = 0; i < callers->records->len; i++) {
		const struct record *record = g_ptr_array_index(callers->records, i);

		summarise_record(record, GPOINTER_TO_UINT(g_hash_table_lookup(runs, record->echo)),
				 out);
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
