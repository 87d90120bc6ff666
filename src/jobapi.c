#include "jobs_int.h"
#include "log.h"
#include "util.h"

#include <string.h>

#define ANSWER_MS 1000	  /* the holder's answer; then the store is asked */
#define GIVE_UP_MS 4000	  /* of a query that only the holder can answer */
#define ADMIT_MS 500	  /* without a holder a submission is admitted */
#define WAIT_FIRST_MS 100 /* between two looks at a job that is waited for */
#define WAIT_MAX_MS 1000

struct query {
	struct query *next;
	struct job_queries *q;
	uint64_t id;
	char *verb;
	char *job;
	char *organisation;
	uint64_t begun_ms;
	uint64_t wait_until_ms; /* 0: no wait */
	uint32_t wait_step_ms;
	struct jobs_cb cb;
	struct tevent_timer *timer;
};

struct job_queries {
	struct jobs *jobs;
	struct query *queries;
	uint64_t next_id;
};

/* Context of store calls; the query may have been answered meanwhile. */
struct lookup {
	struct job_queries *q;
	uint64_t id;
	json_t *jobs; /* of a list: what was found so far */
};

struct job_queries *job_queries_create(struct jobs *jobs)
{
	struct job_queries *q = talloc_zero(jobs, struct job_queries);

	q->jobs = jobs;
	util_random_bytes(&q->next_id, 4);
	return q;
}

static struct query *find(struct job_queries *q, uint64_t id)
{
	for (struct query *query = q->queries; query; query = query->next) {
		if (query->id == id)
			return query;
	}
	return NULL;
}

static void finish(struct query *query, int code, json_t *json)
{
	struct query **at = &query->q->queries;
	struct jobs_cb cb = query->cb;

	while (*at != query)
		at = &(*at)->next;
	*at = query->next;
	talloc_free(query);
	cb.done(code, json, cb.ctx);
}

static void finish_err(struct query *query, enum err_code code, const char *remedy,
		       const char *message)
{
	struct err err;
	json_t *json;

	err_set(&err, code, remedy, "%s", message);
	json = job_error_to_json(&err, code == ERR_OUTCOME_UNKNOWN);
	finish(query, -(int)code, json);
	json_decref(json);
}

static void ask(struct query *query);

static void on_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		     void *data)
{
	struct query *query = data;

	query->timer = NULL;
	ask(query);
}

static void ask_again(struct query *query, uint32_t delay_ms)
{
	TALLOC_FREE(query->timer);
	query->timer = jobs_timer(query->q->jobs, query, delay_ms, on_timer, query);
}

static bool has_ended(json_t *json)
{
	const char *state = json_string_value(json_object_get(json, "state"));

	return state &&
	       (!strcmp(state, "done") || !strcmp(state, "failed") || !strcmp(state, "cancelled"));
}

/* True when a waiting query has to look again later. */
static bool goes_on(struct query *query, int code, json_t *json)
{
	uint64_t now = util_clock_ms();

	if (!query->wait_until_ms || now >= query->wait_until_ms)
		return false;
	if (code && code != -ERR_UNAVAILABLE)
		return false;
	if (!code && has_ended(json))
		return false;
	ask_again(query, (uint32_t)MIN(query->wait_step_ms, query->wait_until_ms - now));
	query->wait_step_ms = MIN(query->wait_step_ms * 2, WAIT_MAX_MS);
	return true;
}

static void take_answer(struct query *query, int code, json_t *json)
{
	bool may_retry = code == -ERR_UNAVAILABLE && strcmp(query->verb, "admit") != 0 &&
			 util_clock_ms() < query->begun_ms + GIVE_UP_MS;

	TALLOC_FREE(query->timer);
	if (goes_on(query, code, json))
		return;
	/* The duty is changing hands. */
	if (may_retry)
		ask_again(query, WAIT_FIRST_MS);
	else
		finish(query, code, json);
}

void job_queries_answer(struct job_queries *q, uint64_t id, int code, json_t *json)
{
	struct query *query = find(q, id);

	if (query)
		take_answer(query, code, json);
}

static bool wanted(const struct query *query, const struct job_record *job)
{
	if (query->organisation[0] && strcmp(query->organisation, job->organisation) != 0)
		return false;
	return !query->job[0] || !strcmp(query->job, job->id);
}

/* Adds the wanted jobs of shards or segments, each once: merged ones come first. */
static void add_found(struct lookup *lookup, const struct query *query,
		      const struct store_result *result)
{
	for (size_t i = 0; i < result->count; i++) {
		const struct store_kv *kv = &result->kvs[i];
		json_t *list = json_loadb(kv->value, kv->value_len, 0, NULL);
		size_t k;
		json_t *json;

		json_array_foreach(list, k, json)
		{
			struct job_record *job = job_from_json(NULL, json);

			if (job && wanted(query, job) && !json_object_get(lookup->jobs, job->id))
				json_object_set_new(lookup->jobs, job->id, job_to_reply(job));
			talloc_free(job);
		}
		json_decref(list);
	}
}

static void drop_lookup(struct lookup *lookup)
{
	json_decref(lookup->jobs);
	talloc_free(lookup);
}

static void answer_found(struct query *query, json_t *found)
{
	json_t *list = json_array();
	const char *key;
	json_t *job;
	json_t *json;

	if (!strcmp(query->verb, "list")) {
		json_object_foreach(found, key, job) json_array_append(list, job);
		json = json_pack("{s:O, s:I, s:b}", "jobs", list, "total",
				 (json_int_t)json_array_size(list), "truncated", 0);
		take_answer(query, 0, json);
		json_decref(json);
	} else if (json_object_get(found, query->job)) {
		job = json_object_get(found, query->job);
		if (!strcmp(query->verb, "explain"))
			json_object_set_new(job, "explanation",
					    json_string("no entry holds the placement duty now"));
		take_answer(query, 0, job);
	} else {
		finish_err(query, ERR_NOT_FOUND, "check the id; results are kept for 24 hours",
			   "there is no such job");
	}
	json_decref(list);
}

static void on_segments(int status, const struct store_result *result, void *ctx)
{
	struct lookup *lookup = ctx;
	struct query *query = find(lookup->q, lookup->id);

	if (query && status) {
		finish_err(query, ERR_UNAVAILABLE, "retry later",
			   "neither a holder of the placement duty nor the store answers");
	} else if (query) {
		add_found(lookup, query, result);
		answer_found(query, lookup->jobs);
	}
	drop_lookup(lookup);
}

static void on_shards(int status, const struct store_result *result, void *ctx)
{
	struct lookup *lookup = ctx;
	struct query *query = find(lookup->q, lookup->id);
	struct store_cb cb = {on_segments, lookup};

	if (!query || status) {
		on_segments(status ? status : -ERR_UNAVAILABLE, NULL, lookup);
		return;
	}
	add_found(lookup, query, result);
	store_range(lookup->q->jobs->deps.store, "submit/", 0, cb);
}

static void read_store(struct query *query)
{
	struct lookup *lookup = talloc_zero(query->q, struct lookup);
	struct store_cb cb = {on_shards, lookup};
	char key[16];

	lookup->q = query->q;
	lookup->id = query->id;
	lookup->jobs = json_object();
	metrics_retry(query->q->jobs->deps.metrics, "job_query_store");
	if (query->job[0]) {
		snprintf(key, sizeof(key), "jobs/%02u", job_shard(query->job));
		store_get(query->q->jobs->deps.store, key, cb);
	} else {
		store_range(query->q->jobs->deps.store, "jobs/", 0, cb);
	}
}

static bool readable(const struct query *query)
{
	return !strcmp(query->verb, "get") || !strcmp(query->verb, "list") ||
	       !strcmp(query->verb, "explain");
}

/* The holder is unknown or does not answer. */
static void do_without_holder(struct query *query)
{
	json_t *json;

	if (readable(query)) {
		read_store(query);
	} else if (!strcmp(query->verb, "admit")) {
		json = json_object();
		finish(query, 0, json);
		json_decref(json);
	} else if (util_clock_ms() < query->begun_ms + GIVE_UP_MS) {
		ask_again(query, WAIT_FIRST_MS);
	} else {
		finish_err(query, ERR_UNAVAILABLE, "send it again; a second cancel does no harm",
			   "no holder of the placement duty answers");
	}
}

static void on_no_answer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			 void *data)
{
	struct query *query = data;

	query->timer = NULL;
	do_without_holder(query);
}

static void ask(struct query *query)
{
	struct jobs *jobs = query->q->jobs;
	struct msg msg = {.type = MSG_JOB_QUERY};
	bool admit = !strcmp(query->verb, "admit");

	msg.u.job_query = (struct msg_job_query){
		.id = query->id,
		.verb = query->verb,
		.job = query->job,
		.organisation = query->organisation,
	};
	query->timer = jobs_timer(jobs, query, admit ? ADMIT_MS : ANSWER_MS, on_no_answer, query);
	if (jobs->leader) {
		job_serve_query(jobs->leader, "", &msg.u.job_query);
	} else if (jobs_send_to_leader(jobs, &msg)) {
		TALLOC_FREE(query->timer);
		do_without_holder(query);
	}
}

void job_queries_ask(struct job_queries *q, const char *verb, const char *job,
		     const char *organisation, uint32_t wait_ms, struct jobs_cb cb)
{
	struct query *query = talloc_zero(q, struct query);

	query->q = q;
	query->id = ++q->next_id;
	query->verb = talloc_strdup(query, verb);
	query->job = talloc_strdup(query, job);
	query->organisation = talloc_strdup(query, organisation);
	query->begun_ms = util_clock_ms();
	query->wait_until_ms = wait_ms ? query->begun_ms + wait_ms : 0;
	query->wait_step_ms = WAIT_FIRST_MS;
	query->cb = cb;
	query->next = q->queries;
	q->queries = query;
	/* Answered from the loop, so that @cb is never called before this call has returned. */
	ask_again(query, 0);
}
