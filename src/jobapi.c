#include "jobs_int.h"
#include "log.h"
#include "util.h"

#include <string.h>

#define LEADER_TIMEOUT_MS 1000 /* wait for the placement leader before reading the store */
#define QUERY_TIMEOUT_MS 4000  /* of a query that only the placement leader can answer */
#define ADMIT_TIMEOUT_MS 500   /* wait for the leader before admitting a submission unchecked */
#define POLL_FIRST_MS 100      /* delay before a query is first repeated; doubles each time */
#define POLL_MAX_MS 1000

struct query {
	struct query *next;
	struct job_queries *owner;
	uint64_t id;
	char *verb;
	char *job;
	char *organisation;
	uint64_t started_ms;
	uint64_t wait_until_ms; /* wait for the job's end until this time; 0: answer at once */
	uint32_t poll_delay_ms;
	struct jobs_cb cb;
	struct tevent_timer *timer;
};

struct job_queries {
	struct jobs *jobs;
	struct query *pending; /* not answered yet */
	uint64_t next_id;
};

/* Context of store calls. The query may have been answered before they complete. */
struct lookup {
	struct job_queries *owner;
	uint64_t id;
	json_t *jobs; /* jobs found so far, by id */
};

struct job_queries *job_queries_create(struct jobs *jobs)
{
	struct job_queries *queries = talloc_zero(jobs, struct job_queries);

	queries->jobs = jobs;
	util_random_bytes(&queries->next_id, 4);
	return queries;
}

static struct query *find_query(struct job_queries *queries, uint64_t id)
{
	for (struct query *query = queries->pending; query; query = query->next) {
		if (query->id == id)
			return query;
	}
	return NULL;
}

static void complete_query(struct query *query, int code, json_t *json)
{
	struct query **at = &query->owner->pending;
	struct jobs_cb cb = query->cb;

	while (*at != query)
		at = &(*at)->next;
	*at = query->next;
	talloc_free(query);
	cb.done(code, json, cb.ctx);
}

static void complete_with_error(struct query *query, enum err_code code, const char *remedy,
				const char *message)
{
	struct err err;
	json_t *json;

	err_set(&err, code, remedy, "%s", message);
	json = job_error_to_json(&err, code == ERR_OUTCOME_UNKNOWN);
	complete_query(query, -(int)code, json);
	json_decref(json);
}

static void send_query(struct query *query);

static void on_repeat_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			    void *data)
{
	struct query *query = data;

	query->timer = NULL;
	send_query(query);
}

static void repeat_query(struct query *query, uint32_t delay_ms)
{
	TALLOC_FREE(query->timer);
	query->timer = jobs_timer(query->owner->jobs, query, delay_ms, on_repeat_timer, query);
}

static bool has_ended(json_t *json)
{
	const char *state = json_string_value(json_object_get(json, "state"));

	return state &&
	       (!strcmp(state, "done") || !strcmp(state, "failed") || !strcmp(state, "cancelled"));
}

/* Repeats a query later if it still has to wait for its job to end; false if it need not wait. */
static bool schedule_poll(struct query *query, int code, json_t *json)
{
	uint64_t now = util_clock_ms();

	if (!query->wait_until_ms || now >= query->wait_until_ms)
		return false;
	if (code && code != -ERR_UNAVAILABLE)
		return false;
	if (!code && has_ended(json))
		return false;
	repeat_query(query, (uint32_t)MIN(query->poll_delay_ms, query->wait_until_ms - now));
	query->poll_delay_ms = MIN(query->poll_delay_ms * 2, POLL_MAX_MS);
	return true;
}

static void handle_answer(struct query *query, int code, json_t *json)
{
	bool may_retry = code == -ERR_UNAVAILABLE && strcmp(query->verb, "admit") != 0 &&
			 util_clock_ms() < query->started_ms + QUERY_TIMEOUT_MS;

	TALLOC_FREE(query->timer);
	if (schedule_poll(query, code, json))
		return;
	/* The placement leader is being replaced; the next one can answer. */
	if (may_retry)
		repeat_query(query, POLL_FIRST_MS);
	else
		complete_query(query, code, json);
}

void job_queries_answer(struct job_queries *queries, uint64_t id, int code, json_t *json)
{
	struct query *query = find_query(queries, id);

	if (query)
		handle_answer(query, code, json);
}

static bool matches_query(const struct query *query, const struct job_record *job)
{
	if (query->organisation[0] && strcmp(query->organisation, job->organisation) != 0)
		return false;
	return !query->job[0] || !strcmp(query->job, job->id);
}

/*
 * Adds the jobs of segments or shards that match the query. The segments are read first: a job
 * that the leader moves to its shard between the two reads is then found in the shard. A record of
 * a shard replaces one of a segment, which is older.
 */
static void add_matching_jobs(struct lookup *lookup, const struct query *query,
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

			if (job && matches_query(query, job))
				json_object_set_new(lookup->jobs, job->id, job_to_reply(job));
			talloc_free(job);
		}
		json_decref(list);
	}
}

static void answer_from_store(struct query *query, json_t *found)
{
	json_t *list = json_array();
	const char *key;
	json_t *job;
	json_t *json;

	if (!strcmp(query->verb, "list")) {
		json_object_foreach(found, key, job) json_array_append(list, job);
		json = json_pack("{s:O, s:I, s:b}", "jobs", list, "total",
				 (json_int_t)json_array_size(list), "truncated", 0);
		handle_answer(query, 0, json);
		json_decref(json);
	} else if (json_object_get(found, query->job)) {
		job = json_object_get(found, query->job);
		if (!strcmp(query->verb, "explain"))
			json_object_set_new(job, "explanation",
					    json_string("there is no placement leader now"));
		handle_answer(query, 0, job);
	} else {
		complete_with_error(query, ERR_NOT_FOUND,
				    "check the job id; results are kept for 24 hours",
				    "there is no such job");
	}
	json_decref(list);
}

static void on_shards(int status, const struct store_result *result, void *ctx)
{
	struct lookup *lookup = ctx;
	struct query *query = find_query(lookup->owner, lookup->id);

	if (query && status) {
		complete_with_error(query, ERR_UNAVAILABLE, "retry later",
				    "neither the placement leader nor the store answered");
	} else if (query) {
		add_matching_jobs(lookup, query, result);
		answer_from_store(query, lookup->jobs);
	}
	talloc_free(lookup);
}

static void on_segments(int status, const struct store_result *result, void *ctx)
{
	struct lookup *lookup = ctx;
	struct query *query = find_query(lookup->owner, lookup->id);
	struct store_cb cb = {on_shards, lookup};
	char key[16];

	if (!query || status) {
		on_shards(status ? status : -ERR_UNAVAILABLE, NULL, lookup);
		return;
	}
	add_matching_jobs(lookup, query, result);
	if (query->job[0]) {
		snprintf(key, sizeof(key), "jobs/%02u", job_shard(query->job));
		store_get(lookup->owner->jobs->deps.store, key, cb);
	} else {
		store_range(lookup->owner->jobs->deps.store, "jobs/", 0, cb);
	}
}

/* A lookup also ends with the module, while the store has not answered yet. */
static int lookup_destructor(struct lookup *lookup)
{
	json_decref(lookup->jobs);
	return 0;
}

static void read_store(struct query *query)
{
	struct lookup *lookup = talloc_zero(query->owner, struct lookup);
	struct store_cb cb = {on_segments, lookup};

	lookup->owner = query->owner;
	lookup->id = query->id;
	lookup->jobs = json_object();
	talloc_set_destructor(lookup, lookup_destructor);
	metrics_count_retry(query->owner->jobs->deps.metrics, "job_query_store");
	store_range(query->owner->jobs->deps.store, "submit/", 0, cb);
}

static bool is_read_only(const struct query *query)
{
	return !strcmp(query->verb, "get") || !strcmp(query->verb, "list") ||
	       !strcmp(query->verb, "explain");
}

/*
 * Answers a query, or repeats it later, when the placement leader is unknown or does not answer.
 */
static void handle_no_leader(struct query *query)
{
	json_t *json;

	if (is_read_only(query)) {
		read_store(query);
	} else if (!strcmp(query->verb, "admit")) {
		json = json_object();
		complete_query(query, 0, json);
		json_decref(json);
	} else if (util_clock_ms() < query->started_ms + QUERY_TIMEOUT_MS) {
		repeat_query(query, POLL_FIRST_MS);
	} else {
		complete_with_error(query, ERR_UNAVAILABLE,
				    "send the request again; cancelling a job twice does no harm",
				    "no placement leader answered");
	}
}

static void on_leader_timeout(struct tevent_context *ev, struct tevent_timer *te,
			      struct timeval now, void *data)
{
	struct query *query = data;

	query->timer = NULL;
	handle_no_leader(query);
}

static void send_query(struct query *query)
{
	struct jobs *jobs = query->owner->jobs;
	struct msg msg = {.type = MSG_JOB_QUERY};
	bool admit = !strcmp(query->verb, "admit");

	msg.u.job_query = (struct msg_job_query){
		.id = query->id,
		.verb = query->verb,
		.job = query->job,
		.organisation = query->organisation,
	};
	query->timer = jobs_timer(jobs, query, admit ? ADMIT_TIMEOUT_MS : LEADER_TIMEOUT_MS,
				  on_leader_timeout, query);
	if (jobs->leader) {
		job_serve_query(jobs->leader, "", &msg.u.job_query);
	} else if (jobs_send_to_leader(jobs, &msg)) {
		TALLOC_FREE(query->timer);
		handle_no_leader(query);
	}
}

void job_queries_ask(struct job_queries *queries, const char *verb, const char *job,
		     const char *organisation, uint32_t wait_ms, struct jobs_cb cb)
{
	struct query *query = talloc_zero(queries, struct query);

	query->owner = queries;
	query->id = ++queries->next_id;
	query->verb = talloc_strdup(query, verb);
	query->job = talloc_strdup(query, job);
	query->organisation = talloc_strdup(query, organisation);
	query->started_ms = util_clock_ms();
	query->wait_until_ms = wait_ms ? query->started_ms + wait_ms : 0;
	query->poll_delay_ms = POLL_FIRST_MS;
	query->cb = cb;
	query->next = queries->pending;
	queries->pending = query;
	/* Sent from the event loop, so that @cb is never called before this function returns. */
	repeat_query(query, 0);
}
