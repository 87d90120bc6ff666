#include "jobs_int.h"
#include "log.h"
#include "util.h"

#include <stdlib.h>
#include <string.h>

#define LIST_JOBS_MAX 1000 /* keeps an answer under the message size limit */

/* A query that waits for submissions to be merged, or for a write. */
struct pending_query {
	struct job_leader *leader;
	char *peer;
	struct msg_job_query query; /* strings owned */
};

static void send_reply(struct job_leader *leader, const char *peer, uint64_t id, int code,
		       json_t *json)
{
	struct msg msg = {.type = MSG_JOB_INFO};
	char *text;

	if (!peer[0]) {
		job_queries_answer(leader->jobs->queries, id, code, json);
		json_decref(json);
		return;
	}
	text = json_dumps(json, JSON_COMPACT);
	msg.u.job_info = (struct msg_job_info){
		.id = id,
		.code = (uint64_t)-code,
		.json = {(const uint8_t *)text, strlen(text)},
	};
	wire_send(leader->jobs->deps.wire, peer, &msg);
	free(text);
	json_decref(json);
}

static void send_error(struct job_leader *leader, const char *peer, uint64_t id, enum err_code code,
		       const char *remedy, const char *message)
{
	struct err err;

	err_set(&err, code, remedy, "%s", message);
	send_reply(leader, peer, id, -(int)code, job_error_to_json(&err, false));
}

static gint newest_first(gconstpointer a, gconstpointer b)
{
	const struct job_record *left = *(struct job_record *const *)a;
	const struct job_record *right = *(struct job_record *const *)b;

	if (left->submitted_ms != right->submitted_ms)
		return left->submitted_ms > right->submitted_ms ? -1 : 1;
	return strcmp(left->id, right->id);
}

static json_t *list_jobs(struct job_leader *leader, const char *organisation)
{
	GPtrArray *list = g_ptr_array_new();
	json_t *jobs = json_array();
	GHashTableIter iter;
	gpointer value;
	json_t *result;

	g_hash_table_iter_init(&iter, leader->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct job_record *job = value;

		if (!organisation[0] || !strcmp(job->organisation, organisation))
			g_ptr_array_add(list, value);
	}
	g_ptr_array_sort(list, newest_first);
	for (guint i = 0; i < list->len && i < LIST_JOBS_MAX; i++)
		json_array_append_new(jobs, job_to_reply(list->pdata[i]));
	result = json_pack("{s:o, s:I, s:b}", "jobs", jobs, "total", (json_int_t)list->len,
			   "truncated", (int)(list->len > LIST_JOBS_MAX));
	g_ptr_array_free(list, TRUE);
	return result;
}

static json_t *fragmentation_to_json(struct job_leader *leader)
{
	struct place_stats stats;

	place_stats(leader->place, &stats);
	return json_pack("{s:f, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:I}", "fragmentation",
			 place_fragmentation(leader->place), "workers", (int)stats.workers,
			 "accelerators", (int)stats.accelerators, "accelerators_used",
			 (int)stats.accelerators_used, "jobs_waiting", (int)stats.jobs_waiting,
			 "jobs_placed", (int)stats.jobs_placed, "workers_quarantined",
			 (int)stats.workers_quarantined, "workers_offered",
			 (int)stats.workers_offered, "guarantees_unmet",
			 (int)stats.guarantees_unmet, "evictions", (json_int_t)stats.evictions);
}

static json_t *explain_job(struct job_leader *leader, const struct job_record *job)
{
	json_t *json = job_to_reply(job);
	char *text = job_ended(job) ? NULL : place_explain(leader->place, job->id, NULL);

	json_object_set_new(json, "explanation", json_string(text ? text : job->reason));
	talloc_free(text);
	return json;
}

/*
 * Jobs that entry hosts have recorded and the leader has not merged yet are not counted; they
 * are few.
 */
static void check_job_quota(struct job_leader *leader, const char *peer,
			    const struct msg_job_query *query)
{
	struct config *config = configrepo_current(leader->jobs->deps.configs);
	const struct config_organisation *org = config_organisation(config, query->organisation);
	uint32_t quota = org ? org->quota_jobs : 0;

	configrepo_release(leader->jobs->deps.configs, config);
	if (quota && job_leader_count_live(leader, query->organisation) >= quota)
		send_error(leader, peer, query->id, ERR_OVER_QUOTA,
			   "wait until jobs have ended, or cancel some",
			   "the organisation has as many jobs as its quota allows");
	else
		send_reply(leader, peer, query->id, 0, json_object());
}

static struct pending_query *create_pending_query(struct job_leader *leader, const char *peer,
						  const struct msg_job_query *query)
{
	struct pending_query *pending = talloc_zero(leader, struct pending_query);

	pending->leader = leader;
	pending->peer = talloc_strdup(pending, peer);
	pending->query = (struct msg_job_query){
		.id = query->id,
		.verb = talloc_strdup(pending, query->verb),
		.job = talloc_strdup(pending, query->job),
		.organisation = talloc_strdup(pending, query->organisation),
	};
	return pending;
}

static void on_cancelled(int status, void *ctx)
{
	struct pending_query *pending = ctx;
	struct job_record *job = job_leader_find_job(pending->leader, pending->query.job);

	log_info("job_cancelled", pending->query.job, "by %s", pending->query.organisation);
	if (job)
		send_reply(pending->leader, pending->peer, pending->query.id, 0, job_to_reply(job));
	talloc_free(pending);
}

static void serve_job(struct job_leader *leader, const char *peer,
		      const struct msg_job_query *query, struct job_record *job)
{
	bool cancel = !strcmp(query->verb, "cancel");

	if (!strcmp(query->verb, "get") || (cancel && job_ended(job)))
		send_reply(leader, peer, query->id, 0, job_to_reply(job));
	else if (!strcmp(query->verb, "explain"))
		send_reply(leader, peer, query->id, 0, explain_job(leader, job));
	else if (cancel)
		job_leader_cancel_job(leader, job, on_cancelled,
				      create_pending_query(leader, peer, query));
	else
		send_error(leader, peer, query->id, ERR_INVALID, "use a known verb",
			   "unknown verb");
}

/* Hides jobs of other organisations; a query without an organisation sees all. */
static struct job_record *find_visible_job(struct job_leader *leader,
					   const struct msg_job_query *query)
{
	struct job_record *job = job_leader_find_job(leader, query->job);

	if (!job || !query->organisation[0] || !strcmp(job->organisation, query->organisation))
		return job;
	return NULL;
}

static void on_segments_merged(int status, void *ctx)
{
	struct pending_query *pending = ctx;
	struct job_record *job = find_visible_job(pending->leader, &pending->query);

	if (job)
		serve_job(pending->leader, pending->peer, &pending->query, job);
	else if (status)
		send_error(pending->leader, pending->peer, pending->query.id, ERR_UNAVAILABLE,
			   "retry in a second",
			   "the placement leader could not read the latest submissions");
	else
		send_error(pending->leader, pending->peer, pending->query.id, ERR_NOT_FOUND,
			   "check the id; results are kept for 24 hours", "there is no such job");
	talloc_free(pending);
}

void job_serve_query(struct job_leader *leader, const char *peer, const struct msg_job_query *query)
{
	struct job_record *job;
	struct pending_query *pending;

	if (!leader->loaded) {
		send_error(leader, peer, query->id, ERR_UNAVAILABLE, "retry in a second",
			   "the new placement leader is still loading the jobs");
		return;
	}
	if (!strcmp(query->verb, "list")) {
		send_reply(leader, peer, query->id, 0, list_jobs(leader, query->organisation));
		return;
	}
	if (!strcmp(query->verb, "fragmentation")) {
		send_reply(leader, peer, query->id, 0, fragmentation_to_json(leader));
		return;
	}
	if (!strcmp(query->verb, "admit")) {
		check_job_quota(leader, peer, query);
		return;
	}
	job = find_visible_job(leader, query);
	if (job) {
		serve_job(leader, peer, query, job);
		return;
	}
	/*
	 * Another entry host may have recorded the job a moment ago. That there is no such job is
	 * known only once the segments have been read.
	 */
	pending = create_pending_query(leader, peer, query);
	job_leader_read_segments_for(leader, on_segments_merged, pending);
}
