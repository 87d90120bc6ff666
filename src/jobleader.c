#include "jobs_int.h"
#include "jsonread.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define LOAD_RETRY_MS 200
#define TICK_BUSY_MS 50 /* while a gang starts or stops */
#define TICK_IDLE_MS 500
#define STORE_CHECK_MS 250 /* while the store is unavailable */
#define STEP_INTERVAL_MAX_MS 10000
#define SEGMENTS_RESCAN_MS 10000 /* retries segments that were left because a shard was full */

static int leader_destructor(struct job_leader *leader)
{
	TALLOC_FREE(leader->shards); /* before the gangs, to which pending writes refer */
	g_ptr_array_free(leader->gangs, TRUE);
	g_hash_table_destroy(leader->records);
	g_hash_table_destroy(leader->segments);
	g_hash_table_destroy(leader->workers);
	return 0;
}

static struct store_cb begin_store_call(struct job_leader *leader,
					void (*done)(int, const struct store_result *, void *))
{
	return (struct store_cb){done, callref_begin(leader->calls)};
}

struct job_record *job_leader_find_job(struct job_leader *leader, const char *id)
{
	return g_hash_table_lookup(leader->records, id);
}

bool job_leader_confirmed(const struct job_leader *leader)
{
	return election_lease_left_ms(leader->jobs->election) > 0;
}

uint32_t job_leader_count_live(const struct job_leader *leader, const char *organisation)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, leader->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct job_record *job = value;

		count += !job_ended(job) && !strcmp(job->organisation, organisation);
	}
	return count;
}

bool job_is_restartable(struct jobs *jobs, const struct job_record *job)
{
	struct config *config = configrepo_current(jobs->deps.configs);
	const struct config_class *class = config ? config_class(config, job->class_name) : NULL;
	bool restartable = class && class->idempotent;

	if (config)
		configrepo_release(jobs->deps.configs, config);
	return restartable;
}

static bool has_checkpoint(struct jobs *jobs, const struct job_record *job)
{
	struct config *config = configrepo_current(jobs->deps.configs);
	const struct config_class *class = config ? config_class(config, job->class_name) : NULL;
	bool checkpoint = class && class->checkpoint;

	if (config)
		configrepo_release(jobs->deps.configs, config);
	return checkpoint;
}

/*
 * The decision module uses the monotonic clock, so the submission time is converted from the
 * wall clock.
 */
void job_leader_add_to_place(struct job_leader *leader, struct job_record *job)
{
	uint64_t now = util_clock_ms();
	uint64_t wall = util_wall_ms();
	uint64_t age = wall > job->submitted_ms ? wall - job->submitted_ms : 0;
	struct place_assignment members[PLACE_MEMBERS_MAX];
	struct place_job_spec spec = {
		.id = job->id,
		.organisation = job->organisation,
		.class_name = job->class_name,
		.shape = job->shape,
		.declared_ms = job->declared_ms,
		.submitted_ms = now > age ? now - age : 0,
		.urgent = job->urgent,
		.checkpoint = has_checkpoint(leader->jobs, job),
		.restartable = job_is_restartable(leader->jobs, job),
	};
	struct err err = {0};

	for (uint32_t i = 0; i < job->member_count; i++)
		members[i] = (struct place_assignment){.worker = job->members[i].worker,
						       .mask = job->members[i].mask};
	/*
	 * place_submit() is not used: it could refuse an accepted job because workers have not
	 * announced themselves to this process yet.
	 */
	job->added_to_place =
		!place_restore(leader->place, &spec, job->attempt, members, job->member_count,
			       job->state == JOBS_RUNNING, now, &err);
	if (job->added_to_place)
		return;
	/* A job with a gang is added again when its attempt has ended. */
	log_error("job_not_entered", job->id, "%s", err.message);
	if (!job->gang)
		job_leader_end_job(leader, job, JOBS_FAILED, err.message);
}

void job_leader_end_job(struct job_leader *leader, struct job_record *job, enum job_state state,
			const char *reason)
{
	job->state = state;
	job->cancel = false;
	job->ended_ms = util_wall_ms();
	job_set_reason(job, reason);
	talloc_free(job->payload);
	job->payload = talloc_strdup(job, "");
	job_shards_write_lazily(leader->shards, job->id);
}

static void fail_job(struct job_leader *leader, struct job_record *job, const char *reason)
{
	log_info("job_failed", job->id, "%s", reason);
	if (job->gang) {
		job_gang_abort(leader, job, reason);
		return;
	}
	job_leader_end_job(leader, job, job->cancel ? JOBS_CANCELLED : JOBS_FAILED, reason);
	job_shards_write(leader->shards, job->id, false, NULL, NULL);
}

static void log_fleet_event(struct job_leader *leader, const struct place_decision *decision)
{
	static const char *const events[PLACE_KIND_COUNT] = {
		[PLACE_QUARANTINE] = "worker_quarantined",
		[PLACE_READMIT] = "worker_readmitted",
		[PLACE_OFFER_BACK] = "worker_offered_back",
		[PLACE_TAKE_BACK] = "worker_taken_back",
		[PLACE_GUARANTEE_UNMET] = "guarantee_unmet",
		[PLACE_GUARANTEE_MET] = "guarantee_met",
	};
	char labels[64];

	if (!events[decision->kind])
		return;
	snprintf(labels, sizeof(labels), "event=\"%s\"", events[decision->kind]);
	metrics_count(leader->jobs->deps.metrics, "jaycourse_fleet_events_total", labels,
		      "Decisions about workers and guarantees");
	log_warn(events[decision->kind], "", "worker %s organisation %s: %s",
		 decision->worker ? decision->worker : "",
		 decision->organisation ? decision->organisation : "",
		 decision->reason ? decision->reason : "");
}

static void apply_decision(struct job_leader *leader, const struct place_decision *decision)
{
	struct job_record *job = decision->job ? job_leader_find_job(leader, decision->job) : NULL;

	if (decision->kind != PLACE_START && decision->kind != PLACE_EVICT &&
	    decision->kind != PLACE_FAIL) {
		log_fleet_event(leader, decision);
		return;
	}
	if (!job)
		return;
	if (decision->kind == PLACE_FAIL) {
		if (!job_ended(job))
			fail_job(leader, job, decision->reason ? decision->reason : "given up");
	} else if (decision->kind == PLACE_EVICT) {
		log_info("job_evicted", job->id, "for %s: %s",
			 decision->for_job ? decision->for_job : "",
			 decision->reason ? decision->reason : "");
		job_gang_evict(leader, job, decision);
	} else if (job_ended(job) || job->cancel) {
		place_ended(leader->place, job->id, decision->attempt, PLACE_STOPPED, NULL,
			    util_clock_ms());
		place_cancel(leader->place, job->id, util_clock_ms());
	} else {
		job_gang_start(leader, job, decision);
	}
}

/*
 * Decisions are copied and applied later, since applying one calls the decision module, which
 * place_step() does not allow in this callback.
 */
static void copy_decision(const struct place_decision *decision, void *ctx)
{
	GPtrArray *list = ctx;
	struct place_decision *copy = talloc_memdup(NULL, decision, sizeof(*decision));
	struct place_assignment *members;

	members = talloc_zero_array(copy, struct place_assignment, decision->member_count);
	for (size_t i = 0; i < decision->member_count; i++) {
		members[i].worker = talloc_strdup(members, decision->members[i].worker);
		members[i].mask = decision->members[i].mask;
	}
	copy->members = members;
	copy->job = talloc_strdup(copy, decision->job);
	copy->worker = talloc_strdup(copy, decision->worker);
	copy->organisation = talloc_strdup(copy, decision->organisation);
	copy->for_job = talloc_strdup(copy, decision->for_job);
	copy->reason = talloc_strdup(copy, decision->reason);
	g_ptr_array_add(list, copy);
}

static void on_step(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		    void *data);

static void schedule_step(struct job_leader *leader, uint64_t delay_ms)
{
	TALLOC_FREE(leader->step_timer);
	leader->step_timer = jobs_timer(leader->jobs, leader, delay_ms, on_step, leader);
}

static void on_step(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		    void *data)
{
	struct job_leader *leader = data;
	GPtrArray *list;
	uint64_t next;

	leader->step_timer = NULL;
	if (!leader->loaded || leader->jobs->closing)
		return;
	/*
	 * Without the store no grant can be written: running jobs go on, nothing is decided. Nor
	 * is anything decided while another process may be the leader.
	 */
	if (!store_healthy(leader->jobs->deps.store) || !job_leader_confirmed(leader)) {
		schedule_step(leader, STORE_CHECK_MS);
		return;
	}
	list = g_ptr_array_new();
	leader->stepping = true;
	next = place_step(leader->place, util_clock_ms(), copy_decision, list);
	leader->stepping = false;
	schedule_step(leader, MIN(next, STEP_INTERVAL_MAX_MS));
	for (guint i = 0; i < list->len; i++) {
		apply_decision(leader, list->pdata[i]);
		talloc_free(list->pdata[i]);
	}
	g_ptr_array_free(list, TRUE);
}

void job_leader_schedule_step(struct job_leader *leader)
{
	if (leader->loaded)
		schedule_step(leader, 0);
}

static bool merge_job(struct job_leader *leader, json_t *json)
{
	struct job_record *job = job_from_json(leader, json);

	if (!job) {
		log_error("submission_malformed", "",
			  "a job record of a submission segment is malformed");
		return true;
	}
	if (job_leader_find_job(leader, job->id)) {
		talloc_free(job);
		return true;
	}
	if (!job_shards_has_room(leader->shards, job)) {
		metrics_count(leader->jobs->deps.metrics, "jaycourse_job_shard_full_total", "",
			      "Submissions that wait in their segment because the shard is full");
		talloc_free(job);
		return false;
	}
	job->state = JOBS_WAITING;
	g_hash_table_insert(leader->records, job->id, job);
	log_info("job_merged", job->id, "organisation %s class %s", job->organisation,
		 job->class_name);
	job_leader_add_to_place(leader, job);
	job_shards_write(leader->shards, job->id, false, NULL, NULL);
	return true;
}

/*
 * The write that stores the jobs of a segment also deletes it. A segment with a job whose shard
 * is full stays, and is read again at the next rescan.
 */
static void merge_segment(struct job_leader *leader, const struct store_kv *kv)
{
	json_t *list;
	bool all_merged = true;
	size_t i;
	json_t *json;

	if (g_hash_table_contains(leader->segments, kv->key))
		return;
	list = jsonread_document(kv->value, kv->value_len, NULL);
	if (!json_is_array(list))
		log_error("submission_malformed", "", "segment %s is no list; it is removed",
			  kv->key);
	json_array_foreach(list, i, json) all_merged = merge_job(leader, json) && all_merged;
	if (all_merged) {
		g_hash_table_add(leader->segments, g_strdup(kv->key));
		job_shards_delete_segment(leader->shards, kv->key);
	}
	json_decref(list);
	job_leader_schedule_step(leader);
}

/* A caller of job_leader_read_segments_for(). */
struct segment_waiter {
	struct segment_waiter *next;
	void (*done)(int status, void *ctx);
	void *ctx;
};

/* Answers the waiters of the read that has ended; they may wait for another read at once. */
static void answer_segment_waiters(struct job_leader *leader, int status)
{
	struct segment_waiter *waiter = leader->read_waiters;

	leader->read_waiters = NULL;
	while (waiter) {
		struct segment_waiter *next = waiter->next;

		waiter->done(status, waiter->ctx);
		talloc_free(waiter);
		waiter = next;
	}
}

static void on_segments_read(int status, const struct store_result *result, void *ctx)
{
	struct job_leader *leader = callref_end(ctx);

	if (!leader)
		return;
	leader->reading_segments = false;
	for (size_t i = 0; !status && i < result->count; i++)
		merge_segment(leader, &result->kvs[i]);
	answer_segment_waiters(leader, status);
	if (leader->reread_segments) {
		leader->reread_segments = false;
		job_leader_read_segments(leader);
	}
}

void job_leader_read_segments(struct job_leader *leader)
{
	if (!leader->loaded)
		return;
	leader->reread_segments = leader->reading_segments;
	if (leader->reading_segments)
		return;
	leader->reading_segments = true;
	leader->read_waiters = leader->next_read_waiters;
	leader->next_read_waiters = NULL;
	store_range(leader->jobs->deps.store, "submit/", 0,
		    begin_store_call(leader, on_segments_read));
}

void job_leader_read_segments_for(struct job_leader *leader, void (*done)(int status, void *ctx),
				  void *ctx)
{
	struct segment_waiter *waiter = talloc_zero(leader, struct segment_waiter);

	waiter->done = done;
	waiter->ctx = ctx;
	waiter->next = leader->next_read_waiters;
	leader->next_read_waiters = waiter;
	job_leader_read_segments(leader);
}

static void on_segment_change(const struct store_kv *kv, void *ctx)
{
	struct job_leader *leader = ctx;

	if (kv->version == 0)
		g_hash_table_remove(leader->segments, kv->key);
	else
		merge_segment(leader, kv);
}

static void on_watch_resync(void *ctx)
{
	job_leader_read_segments(ctx);
}

static void on_rescan_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			    void *data)
{
	struct job_leader *leader = data;

	job_leader_read_segments(leader);
	jobs_timer(leader->jobs, leader, SEGMENTS_RESCAN_MS, on_rescan_timer, leader);
}

static void load_shard(struct job_leader *leader, const struct store_kv *kv)
{
	json_t *list;
	size_t i;
	json_t *json;

	if (!job_shards_set_revision(leader->shards, kv->key, kv->mod_revision)) {
		log_once("shard_unreadable", kv->key, "the key names no shard");
		return;
	}
	list = jsonread_document(kv->value, kv->value_len, NULL);
	if (!json_is_array(list))
		log_error("job_malformed", "", "%s is no list; its jobs are lost", kv->key);
	json_array_foreach(list, i, json)
	{
		struct job_record *job = job_from_json(leader, json);

		if (job && !job_leader_find_job(leader, job->id)) {
			g_hash_table_insert(leader->records, job->id, job);
			continue;
		}
		log_error("job_malformed", job ? job->id : "",
			  "a job record of %s is malformed or listed twice", kv->key);
		talloc_free(job);
	}
	json_decref(list);
}

static gint compare_submission(gconstpointer a, gconstpointer b)
{
	const struct job_record *left = *(struct job_record *const *)a;
	const struct job_record *right = *(struct job_record *const *)b;

	if (left->submitted_ms != right->submitted_ms)
		return left->submitted_ms < right->submitted_ms ? -1 : 1;
	return strcmp(left->id, right->id);
}

static void restore_job(struct job_leader *leader, struct job_record *job)
{
	bool granted = job->state == JOBS_STARTING || job->state == JOBS_RUNNING;

	if (job_ended(job))
		return;
	/*
	 * The gang is restored first: a job that the decision module refuses does not end while
	 * it has a gang, whose members may still run.
	 */
	if (granted)
		job_gang_restore(leader, job);
	job_leader_add_to_place(leader, job);
	if (job->cancel && place_cancel(leader->place, job->id, util_clock_ms()) == 0) {
		job_leader_end_job(leader, job, JOBS_CANCELLED, "cancelled");
		job_shards_write(leader->shards, job->id, false, NULL, NULL);
	}
}

static void restore_jobs(struct job_leader *leader)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, leader->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(list, value);
	g_ptr_array_sort(list, compare_submission);
	for (guint i = 0; i < list->len; i++)
		restore_job(leader, list->pdata[i]);
	log_info("jobs_loaded", "", "%u jobs under epoch %" PRIu64, list->len, leader->epoch);
	g_ptr_array_free(list, TRUE);
}

static void load_workers(struct job_leader *leader)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct member_target *targets;
	size_t count = member_targets(leader->jobs->deps.members, mem, MSG_TARGET_WORKER, &targets);

	for (size_t i = 0; i < count; i++)
		job_leader_update_worker(leader, &targets[i]);
	talloc_free(mem);
}

static void load_state(struct job_leader *leader);

static void on_load_retry(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			  void *data)
{
	load_state(data);
}

static void on_state_loaded(int status, const struct store_result *result, void *ctx)
{
	struct job_leader *leader = callref_end(ctx);
	struct store_watch_handlers handlers = {on_segment_change, on_watch_resync, leader};

	if (!leader)
		return;
	if (status) {
		metrics_count_retry(leader->jobs->deps.metrics, "jobs_load");
		jobs_timer(leader->jobs, leader, LOAD_RETRY_MS, on_load_retry, leader);
		return;
	}
	for (size_t i = 0; i < result->count; i++)
		load_shard(leader, &result->kvs[i]);
	leader->loaded = true;
	leader->loaded_ms = util_clock_ms();
	load_workers(leader);
	restore_jobs(leader);
	leader->watch = store_watch_create(leader, leader->jobs->deps.store, "submit/", &handlers);
	on_rescan_timer(NULL, NULL, (struct timeval){0}, leader);
	job_leader_schedule_step(leader);
}

/* The decision module needs the organisations, so the configuration is applied first. */
static void load_state(struct job_leader *leader)
{
	job_leader_apply_config(leader);
	if (leader->place)
		store_range(leader->jobs->deps.store, "jobs/", 0,
			    begin_store_call(leader, on_state_loaded));
	else
		jobs_timer(leader->jobs, leader, LOAD_RETRY_MS, on_load_retry, leader);
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		    void *data)
{
	struct job_leader *leader = data;
	bool busy = false;

	if (leader->loaded && job_leader_confirmed(leader)) {
		job_leader_report_lost_workers(leader);
		busy = job_gang_tick(leader);
	}
	if (leader->loaded &&
	    configrepo_revision(leader->jobs->deps.configs) != leader->config_revision)
		job_leader_apply_config(leader);
	leader->tick_timer = jobs_timer(leader->jobs, leader, busy ? TICK_BUSY_MS : TICK_IDLE_MS,
					on_tick, leader);
}

struct job_leader *job_leader_create(struct jobs *jobs, uint64_t epoch)
{
	struct job_leader *leader = talloc_zero(jobs, struct job_leader);

	leader->jobs = jobs;
	leader->epoch = epoch;
	leader->records = g_hash_table_new(g_str_hash, g_str_equal);
	leader->segments = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	leader->workers = g_hash_table_new(g_str_hash, g_str_equal);
	leader->gangs = g_ptr_array_new();
	leader->shards = job_shards_create(leader, jobs, leader->records);
	leader->calls = callref_create(jobs->deps.store, leader);
	talloc_set_destructor(leader, leader_destructor);
	on_tick(NULL, NULL, (struct timeval){0}, leader);
	load_state(leader);
	return leader;
}

void job_leader_cancel_job(struct job_leader *leader, struct job_record *job,
			   void (*done)(int status, void *ctx), void *ctx)
{
	/* 0: the job was waiting and is removed; 1: it is placed, a PLACE_EVICT follows. */
	int placed = place_cancel(leader->place, job->id, util_clock_ms());

	if (job->gang || placed == 1)
		job->cancel = true;
	else
		job_leader_end_job(leader, job, JOBS_CANCELLED, "cancelled");
	if (job->gang && placed != 1) {
		job->cancel = true;
		job_gang_abort(leader, job, "cancelled");
	}
	job_shards_write(leader->shards, job->id, false, done, ctx);
	job_leader_schedule_step(leader);
}
