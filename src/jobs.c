#include "jobs_int.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define ELECTION_LEASE_TTL_S 3
#define SHUTDOWN_POLL_MS 50
#define SHUTDOWN_TIMEOUT_MS 5000
#define RELOAD_DELAY_MS 500

struct tevent_timer *jobs_timer(struct jobs *jobs, TALLOC_CTX *mem, uint64_t delay_ms,
				tevent_timer_handler_t handler, void *ctx)
{
	struct timeval at = tevent_timeval_current_ofs((uint32_t)(delay_ms / 1000),
						       (uint32_t)(delay_ms % 1000) * 1000);

	return tevent_add_timer(jobs->deps.ev, mem, at, handler, ctx);
}

int jobs_send_to_leader(struct jobs *jobs, const struct msg *msg)
{
	if (!jobs->leader_peer[0])
		return -ERR_UNAVAILABLE;
	if (!wire_connected(jobs->deps.wire, jobs->leader_peer))
		wire_connect(jobs->deps.wire, jobs->leader_peer, jobs->leader_address);
	return wire_send(jobs->deps.wire, jobs->leader_peer, msg) ? -ERR_UNAVAILABLE : 0;
}

static void set_known_leader(struct jobs *jobs, const char *peer, const char *address)
{
	talloc_free(jobs->leader_peer);
	talloc_free(jobs->leader_address);
	jobs->leader_peer = talloc_strdup(jobs, peer);
	jobs->leader_address = talloc_strdup(jobs, address);
}

static void on_gained(uint64_t epoch, void *ctx)
{
	struct jobs *jobs = ctx;

	TALLOC_FREE(jobs->leader);
	if (jobs->closing)
		return;
	set_known_leader(jobs, "", "");
	jobs->leader = job_leader_create(jobs, epoch);
}

static void on_lost(void *ctx)
{
	struct jobs *jobs = ctx;

	TALLOC_FREE(jobs->leader);
}

static void on_leader(const char *node, const char *address, uint64_t epoch, void *ctx)
{
	set_known_leader(ctx, node, address);
}

static void on_reload(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		      void *data)
{
	struct jobs *jobs = data;

	jobs->reload_timer = NULL;
	if (!jobs->leader || !election_epoch(jobs->election))
		return;
	metrics_count_retry(jobs->deps.metrics, "jobs_reload");
	TALLOC_FREE(jobs->leader);
	jobs->leader = job_leader_create(jobs, election_epoch(jobs->election));
}

void jobs_reload(struct jobs *jobs)
{
	if (!jobs->reload_timer)
		jobs->reload_timer = jobs_timer(jobs, jobs, RELOAD_DELAY_MS, on_reload, jobs);
}

static void on_worker(const struct member_target *target, void *ctx)
{
	struct jobs *jobs = ctx;

	if (jobs->leader)
		job_leader_update_worker(jobs->leader, target);
}

struct jobs *jobs_create(TALLOC_CTX *mem, const struct jobs_deps *deps)
{
	struct jobs *jobs = talloc_zero(mem, struct jobs);
	struct election_handlers handlers = {on_gained, on_lost, on_leader, jobs};
	struct member_handlers members = {.on_target = on_worker, .ctx = jobs};
	char *name = talloc_asprintf(jobs, "placement/%s", deps->region);

	jobs->deps = *deps;
	jobs->created_ms = util_clock_ms();
	set_known_leader(jobs, "", "");
	jobs->submit_queue = job_submit_queue_create(jobs);
	jobs->queries = job_queries_create(jobs);
	member_subscribe(deps->members, &members);
	jobs->election = election_create(jobs, deps->ev, deps->store, name, deps->self,
					 deps->address, ELECTION_LEASE_TTL_S, &handlers);
	talloc_free(name);
	return jobs;
}

/*
 * With a key the id is a hash of organisation and key, the same on every entry host, so a
 * repeated submission finds the first job.
 */
static void set_job_id(struct job_record *job, const char *key)
{
	uint64_t id;

	if (key[0])
		id = util_hash64(key, strlen(key), util_hash_str(job->organisation));
	else
		util_random_bytes(&id, sizeof(id));
	job->id = talloc_asprintf(job, "%016" PRIx64, id);
}

static void answer_error(struct jobs *jobs, const struct err *err, struct jobs_cb cb)
{
	json_t *json = job_error_to_json(err, false);

	cb.done(-(int)err->code, json, cb.ctx);
	json_decref(json);
}

/* A submission for which the leader is asked whether the organisation's quota allows it. */
struct quota_check {
	struct jobs *jobs;
	struct job_record *job;
	uint64_t deadline_ms;
	struct jobs_cb cb;
};

static void on_quota_checked(int status, json_t *reply, void *ctx)
{
	struct quota_check *check = ctx;

	/* Without a leader nobody counts the jobs: the submission is then accepted unchecked. */
	if (status == -ERR_OVER_QUOTA)
		check->cb.done(status, reply, check->cb.ctx);
	else
		job_submit_queue_add(check->jobs->submit_queue, check->job, check->deadline_ms,
				     check->cb);
	talloc_free(check);
}

static bool has_job_quota(const struct config *config, const char *organisation)
{
	const struct config_organisation *org = config_organisation(config, organisation);

	return org && org->quota_jobs;
}

/*
 * After a start the workers announce themselves one by one. One that runs and has not done so for
 * as long as a silent one is kept in the table isn't expected any more.
 */
static bool workers_known(const struct jobs *jobs)
{
	return util_clock_ms() >= jobs->created_ms + MEMBER_REMOVE_MS;
}

static struct job_record *check_submission(struct jobs *jobs,
					   const struct jobs_submission *submission, bool *quota,
					   struct err *err)
{
	struct config *config = configrepo_current(jobs->deps.configs);
	struct job_record *job;

	if (!config || jobs->closing) {
		err_set(err, ERR_UNAVAILABLE, "retry; another entry host may answer",
			jobs->closing ? "this entry host is shutting down"
				      : "no configuration has been read yet");
		if (config)
			configrepo_release(jobs->deps.configs, config);
		return NULL;
	}
	job = job_from_body(jobs, submission->body, submission->organisation, config,
			    workers_known(jobs) ? jobs->deps.members : NULL, err);
	*quota = has_job_quota(config, submission->organisation);
	configrepo_release(jobs->deps.configs, config);
	return job;
}

void jobs_submit(struct jobs *jobs, const struct jobs_submission *submission, struct jobs_cb cb)
{
	struct err err = {0};
	bool quota = false;
	struct job_record *job = check_submission(jobs, submission, &quota, &err);
	struct jobs_cb check_cb = {.done = on_quota_checked};
	struct quota_check *check;

	if (!job) {
		answer_error(jobs, &err, cb);
		return;
	}
	set_job_id(job, submission->idempotency_key);
	if (!quota) {
		job_submit_queue_add(jobs->submit_queue, job,
				     util_clock_ms() + submission->deadline_ms, cb);
		return;
	}
	check = talloc_zero(jobs, struct quota_check);
	check->jobs = jobs;
	check->job = job;
	check->deadline_ms = util_clock_ms() + submission->deadline_ms;
	check->cb = cb;
	check_cb.ctx = check;
	job_queries_ask(jobs->queries, "admit", job->id, job->organisation, 0, check_cb);
}

void jobs_query(struct jobs *jobs, const char *verb, const char *job, const char *organisation,
		struct jobs_cb cb)
{
	job_queries_ask(jobs->queries, verb, job, organisation, 0, cb);
}

void jobs_wait(struct jobs *jobs, const char *job, const char *organisation, uint32_t timeout_ms,
	       struct jobs_cb cb)
{
	job_queries_ask(jobs->queries, "get", job, organisation, timeout_ms, cb);
}

static void on_query(struct jobs *jobs, const char *peer, const struct msg_job_query *query)
{
	struct err err;
	struct msg msg = {.type = MSG_JOB_INFO};
	json_t *json;
	char *text;

	if (jobs->leader) {
		job_serve_query(jobs->leader, peer, query);
		return;
	}
	err_set(&err, ERR_UNAVAILABLE, "retry in a second",
		"this entry host is not the placement leader");
	json = job_error_to_json(&err, false);
	text = json_dumps(json, JSON_COMPACT);
	msg.u.job_info = (struct msg_job_info){
		.id = query->id,
		.code = ERR_UNAVAILABLE,
		.json = {(const uint8_t *)text, strlen(text)},
	};
	wire_send(jobs->deps.wire, peer, &msg);
	free(text);
	json_decref(json);
}

static void on_info(struct jobs *jobs, const struct msg_job_info *info)
{
	json_t *json = json_loadb((const char *)info->json.data, info->json.len, 0, NULL);

	if (!json)
		json = json_object();
	job_queries_answer(jobs->queries, info->id, -(int)info->code, json);
	json_decref(json);
}

bool jobs_message(struct jobs *jobs, const char *peer, struct msg *msg)
{
	switch (msg->type) {
	case MSG_JOB_HINT:
		if (jobs->leader)
			job_leader_read_segments(jobs->leader);
		return true;
	case MSG_JOB_QUERY:
		on_query(jobs, peer, &msg->u.job_query);
		return true;
	case MSG_JOB_INFO:
		on_info(jobs, &msg->u.job_info);
		return true;
	case MSG_HELD:
	case MSG_HOLD_REFUSED:
	case MSG_MEMBER_STATUS:
		if (jobs->leader)
			job_gang_handle_message(jobs->leader, peer, msg);
		return true;
	default:
		return false;
	}
}

static void on_resigned(void *ctx)
{
	struct jobs *jobs = ctx;

	TALLOC_FREE(jobs->leader);
	jobs->shutdown_done(jobs->shutdown_ctx);
}

static void on_shutdown_poll(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			     void *data)
{
	struct jobs *jobs = data;

	bool idle = job_submit_queue_idle(jobs->submit_queue) &&
		    (!jobs->leader || job_shards_idle(jobs->leader->shards));

	if (idle || util_clock_ms() >= jobs->shutdown_deadline_ms) {
		election_resign(jobs->election, on_resigned, jobs);
		return;
	}
	jobs->shutdown_timer = jobs_timer(jobs, jobs, SHUTDOWN_POLL_MS, on_shutdown_poll, jobs);
}

void jobs_shutdown(struct jobs *jobs, void (*done)(void *ctx), void *ctx)
{
	jobs->closing = true;
	jobs->shutdown_done = done;
	jobs->shutdown_ctx = ctx;
	jobs->shutdown_deadline_ms = util_clock_ms() + SHUTDOWN_TIMEOUT_MS;
	jobs->shutdown_timer = jobs_timer(jobs, jobs, 0, on_shutdown_poll, jobs);
}
