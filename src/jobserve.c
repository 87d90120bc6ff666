#include "jobs_int.h"
#include "log.h"
#include "util.h"

#include <stdlib.h>
#include <string.h>

#define LIST_MAX 1000	    /* jobs of one answer, which stays under the message limit */
#define SEGMENT_WAIT_MS 300 /* for a job that may still be in a segment */

/* A query that waits for a segment or a write. */
struct waiting {
	struct job_holder *h;
	char *peer;
	struct msg_job_query query; /* strings owned */
};

static void reply(struct job_holder *h, const char *peer, uint64_t id, int code, json_t *json)
{
	struct msg msg = {.type = MSG_JOB_INFO};
	char *text;

	if (!peer[0]) {
		job_queries_answer(h->jobs->queries, id, code, json);
		json_decref(json);
		return;
	}
	text = json_dumps(json, JSON_COMPACT);
	msg.u.job_info = (struct msg_job_info){
		.id = id,
		.code = (uint64_t)-code,
		.json = {(const uint8_t *)text, strlen(text)},
	};
	wire_send(h->jobs->deps.wire, peer, &msg);
	free(text);
	json_decref(json);
}

static void refuse(struct job_holder *h, const char *peer, uint64_t id, enum err_code code,
		   const char *remedy, const char *message)
{
	struct err err;

	err_set(&err, code, remedy, "%s", message);
	reply(h, peer, id, -(int)code, job_error(&err, false));
}

static gint newest_first(gconstpointer a, gconstpointer b)
{
	const struct job_record *left = *(struct job_record *const *)a;
	const struct job_record *right = *(struct job_record *const *)b;

	if (left->submitted_ms != right->submitted_ms)
		return left->submitted_ms > right->submitted_ms ? -1 : 1;
	return strcmp(left->id, right->id);
}

static json_t *list_jobs(struct job_holder *h, const char *organisation)
{
	GPtrArray *list = g_ptr_array_new();
	json_t *jobs = json_array();
	GHashTableIter iter;
	gpointer value;
	json_t *result;

	g_hash_table_iter_init(&iter, h->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct job_record *job = value;

		if (!organisation[0] || !strcmp(job->organisation, organisation))
			g_ptr_array_add(list, value);
	}
	g_ptr_array_sort(list, newest_first);
	for (guint i = 0; i < list->len && i < LIST_MAX; i++)
		json_array_append_new(jobs, job_to_reply(list->pdata[i]));
	result = json_pack("{s:o, s:I, s:b}", "jobs", jobs, "total", (json_int_t)list->len,
			   "truncated", (int)(list->len > LIST_MAX));
	g_ptr_array_free(list, TRUE);
	return result;
}

static json_t *fragmentation(struct job_holder *h)
{
	struct place_stats s;

	place_stats(h->place, &s);
	return json_pack("{s:f, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:I}", "fragmentation",
			 place_fragmentation(h->place), "workers", (int)s.workers, "accelerators",
			 (int)s.accelerators, "accelerators_used", (int)s.accelerators_used,
			 "jobs_waiting", (int)s.jobs_waiting, "jobs_placed", (int)s.jobs_placed,
			 "workers_quarantined", (int)s.workers_quarantined, "workers_offered",
			 (int)s.workers_offered, "guarantees_unmet", (int)s.guarantees_unmet,
			 "evictions", (json_int_t)s.evictions);
}

static json_t *explain(struct job_holder *h, const struct job_record *job)
{
	json_t *json = job_to_reply(job);
	char *text = job_ended(job) ? NULL : place_explain(h->place, job->id, NULL);

	json_object_set_new(json, "explanation", json_string(text ? text : job->reason));
	talloc_free(text);
	return json;
}

/* Jobs accepted by other entries and not merged yet are not counted; they are few. */
static void admit(struct job_holder *h, const char *peer, const struct msg_job_query *query)
{
	struct config *config = configrepo_current(h->jobs->deps.configs);
	const struct config_organisation *org = config_organisation(config, query->organisation);
	uint32_t quota = org ? org->quota_jobs : 0;

	configrepo_release(h->jobs->deps.configs, config);
	if (quota && job_holder_live(h, query->organisation) >= quota)
		refuse(h, peer, query->id, ERR_OVER_QUOTA,
		       "wait until jobs have ended, or cancel some",
		       "the organisation has as many jobs as its quota allows");
	else
		reply(h, peer, query->id, 0, json_object());
}

static struct waiting *wait_for(struct job_holder *h, const char *peer,
				const struct msg_job_query *query)
{
	struct waiting *w = talloc_zero(h, struct waiting);

	w->h = h;
	w->peer = talloc_strdup(w, peer);
	w->query = (struct msg_job_query){
		.id = query->id,
		.verb = talloc_strdup(w, query->verb),
		.job = talloc_strdup(w, query->job),
		.organisation = talloc_strdup(w, query->organisation),
	};
	return w;
}

static void on_cancelled(int status, void *ctx)
{
	struct waiting *w = ctx;
	struct job_record *job = job_holder_find(w->h, w->query.job);

	log_info("job_cancelled", w->query.job, "by %s", w->query.organisation);
	if (job)
		reply(w->h, w->peer, w->query.id, 0, job_to_reply(job));
	talloc_free(w);
}

static void serve_job(struct job_holder *h, const char *peer, const struct msg_job_query *query,
		      struct job_record *job)
{
	bool cancel = !strcmp(query->verb, "cancel");

	if (!strcmp(query->verb, "get") || (cancel && job_ended(job)))
		reply(h, peer, query->id, 0, job_to_reply(job));
	else if (!strcmp(query->verb, "explain"))
		reply(h, peer, query->id, 0, explain(h, job));
	else if (cancel)
		job_holder_cancel(h, job, on_cancelled, wait_for(h, peer, query));
	else
		refuse(h, peer, query->id, ERR_INVALID, "ask with a known verb", "unknown verb");
}

static struct job_record *find_for(struct job_holder *h, const struct msg_job_query *query)
{
	struct job_record *job = job_holder_find(h, query->job);

	if (!job || !query->organisation[0] || !strcmp(job->organisation, query->organisation))
		return job;
	return NULL;
}

static void on_segment_wait(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			    void *data)
{
	struct waiting *w = data;
	struct job_record *job = find_for(w->h, &w->query);

	if (job)
		serve_job(w->h, w->peer, &w->query, job);
	else
		refuse(w->h, w->peer, w->query.id, ERR_NOT_FOUND,
		       "check the id; results are kept for 24 hours", "there is no such job");
	talloc_free(w);
}

void job_serve(struct job_holder *h, const char *peer, const struct msg_job_query *query)
{
	struct job_record *job;
	struct waiting *w;

	if (!h->loaded) {
		refuse(h, peer, query->id, ERR_UNAVAILABLE, "retry in a second",
		       "the placement duty is being taken over");
		return;
	}
	if (!strcmp(query->verb, "list")) {
		reply(h, peer, query->id, 0, list_jobs(h, query->organisation));
		return;
	}
	if (!strcmp(query->verb, "fragmentation")) {
		reply(h, peer, query->id, 0, fragmentation(h));
		return;
	}
	if (!strcmp(query->verb, "admit")) {
		admit(h, peer, query);
		return;
	}
	job = find_for(h, query);
	if (job) {
		serve_job(h, peer, query, job);
		return;
	}
	/* It may have been accepted by another entry a moment ago. */
	job_holder_read_segments(h);
	w = wait_for(h, peer, query);
	jobs_timer(h->jobs, w, SEGMENT_WAIT_MS, on_segment_wait, w);
}
