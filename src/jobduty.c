#include "jobs_int.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_MS 200
#define TICK_BUSY_MS 50
#define TICK_IDLE_MS 500
#define HEALTH_CHECK_MS 250 /* while the store is unavailable */
#define STEP_MAX_MS 10000
#define SEGMENTS_RETRY_MS 10000 /* for segments whose shard was full */

static int holder_destructor(struct job_holder *h)
{
	h->link->h = NULL;
	if (!h->link->calls)
		talloc_free(h->link);
	TALLOC_FREE(h->shards); /* before the gangs, which its writes refer to */
	g_ptr_array_free(h->gangs, TRUE);
	g_hash_table_destroy(h->records);
	g_hash_table_destroy(h->segments);
	g_hash_table_destroy(h->workers);
	return 0;
}

static struct store_cb call_begins(struct job_holder *h,
				   void (*done)(int, const struct store_result *, void *))
{
	h->link->calls++;
	return (struct store_cb){done, h->link};
}

/* NULL when the holder was freed meanwhile. */
static struct job_holder *call_ended(void *ctx)
{
	struct job_link *link = ctx;
	struct job_holder *h = link->h;

	link->calls--;
	if (!h && !link->calls)
		talloc_free(link);
	return h;
}

struct job_record *job_holder_find(struct job_holder *h, const char *id)
{
	return g_hash_table_lookup(h->records, id);
}

uint32_t job_holder_live(const struct job_holder *h, const char *organisation)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, h->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct job_record *job = value;

		count += !job_ended(job) && !strcmp(job->organisation, organisation);
	}
	return count;
}

bool job_may_run_again(struct jobs *jobs, const struct job_record *job)
{
	struct config *config = configrepo_current(jobs->deps.configs);
	const struct config_class *class = config ? config_class(config, job->class_name) : NULL;
	bool again = class && class->idempotent;

	if (config)
		configrepo_release(jobs->deps.configs, config);
	return again;
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

/* Enters a job into the decision module, which knows only the monotonic clock. */
void job_holder_enter(struct job_holder *h, struct job_record *job)
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
		.checkpoint = has_checkpoint(h->jobs, job),
		.restartable = job_may_run_again(h->jobs, job),
	};
	struct err err = {0};

	for (uint32_t i = 0; i < job->member_count; i++)
		members[i] = (struct place_assignment){.worker = job->members[i].worker,
						       .mask = job->members[i].mask};
	/*
	 * Not place_submit(): an accepted job must not be refused because workers have not
	 * announced themselves to this process yet.
	 */
	job->entered = !place_restore(h->place, &spec, job->attempt, members, job->member_count,
				      job->state == JOBS_RUNNING, now, &err);
	if (job->entered)
		return;
	/* A job that runs is entered again when its attempt has ended. */
	log_error("job_not_entered", job->id, "%s", err.message);
	if (!job->gang)
		job_holder_ended(h, job, JOBS_FAILED, err.message);
}

void job_holder_ended(struct job_holder *h, struct job_record *job, enum job_state state,
		      const char *reason)
{
	job->state = state;
	job->cancel = false;
	job->ended_ms = util_wall_ms();
	job_set_reason(job, reason);
	talloc_free(job->payload);
	job->payload = talloc_strdup(job, "");
	job_shards_lazy(h->shards, job->id);
}

static void fail(struct job_holder *h, struct job_record *job, const char *reason)
{
	log_info("job_failed", job->id, "%s", reason);
	if (job->gang) {
		job_gang_give_up(h, job, reason);
		return;
	}
	job_holder_ended(h, job, job->cancel ? JOBS_CANCELLED : JOBS_FAILED, reason);
	job_shards_write(h->shards, job->id, false, NULL, NULL);
}

static void note(struct job_holder *h, const struct place_decision *d)
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

	if (!events[d->kind])
		return;
	snprintf(labels, sizeof(labels), "event=\"%s\"", events[d->kind]);
	metrics_count(h->jobs->deps.metrics, "jaycourse_fleet_events_total", labels,
		      "Decisions about workers and guarantees");
	log_warn(events[d->kind], "", "worker %s organisation %s: %s", d->worker ? d->worker : "",
		 d->organisation ? d->organisation : "", d->reason ? d->reason : "");
}

static void carry_out(struct job_holder *h, const struct place_decision *d)
{
	struct job_record *job = d->job ? job_holder_find(h, d->job) : NULL;

	if (d->kind != PLACE_START && d->kind != PLACE_EVICT && d->kind != PLACE_FAIL) {
		note(h, d);
		return;
	}
	if (!job)
		return;
	if (d->kind == PLACE_FAIL) {
		if (!job_ended(job))
			fail(h, job, d->reason ? d->reason : "given up");
	} else if (d->kind == PLACE_EVICT) {
		log_info("job_evicted", job->id, "for %s: %s", d->for_job ? d->for_job : "",
			 d->reason ? d->reason : "");
		job_gang_evict(h, job, d);
	} else if (job_ended(job) || job->cancel) {
		place_ended(h->place, job->id, d->attempt, PLACE_STOPPED, NULL, util_clock_ms());
		place_cancel(h->place, job->id, util_clock_ms());
	} else {
		job_gang_start(h, job, d);
	}
}

/* Decisions are copied: carrying them out calls the decision module again. */
static void collect(const struct place_decision *d, void *ctx)
{
	GPtrArray *list = ctx;
	struct place_decision *copy = talloc_memdup(NULL, d, sizeof(*d));
	struct place_assignment *members;

	members = talloc_zero_array(copy, struct place_assignment, d->member_count);
	for (size_t i = 0; i < d->member_count; i++) {
		members[i].worker = talloc_strdup(members, d->members[i].worker);
		members[i].mask = d->members[i].mask;
	}
	copy->members = members;
	copy->job = talloc_strdup(copy, d->job);
	copy->worker = talloc_strdup(copy, d->worker);
	copy->organisation = talloc_strdup(copy, d->organisation);
	copy->for_job = talloc_strdup(copy, d->for_job);
	copy->reason = talloc_strdup(copy, d->reason);
	g_ptr_array_add(list, copy);
}

static void on_step(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		    void *data);

static void schedule_step(struct job_holder *h, uint64_t delay_ms)
{
	TALLOC_FREE(h->step_timer);
	h->step_timer = jobs_timer(h->jobs, h, delay_ms, on_step, h);
}

static void on_step(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		    void *data)
{
	struct job_holder *h = data;
	GPtrArray *list;
	uint64_t next;

	h->step_timer = NULL;
	if (!h->loaded || h->jobs->closing)
		return;
	/* Without the store no grant can be written: what runs goes on, nothing is decided. */
	if (!store_healthy(h->jobs->deps.store)) {
		schedule_step(h, HEALTH_CHECK_MS);
		return;
	}
	list = g_ptr_array_new();
	h->stepping = true;
	next = place_step(h->place, util_clock_ms(), collect, list);
	h->stepping = false;
	schedule_step(h, MIN(next, STEP_MAX_MS));
	for (guint i = 0; i < list->len; i++) {
		carry_out(h, list->pdata[i]);
		talloc_free(list->pdata[i]);
	}
	g_ptr_array_free(list, TRUE);
}

void job_holder_step(struct job_holder *h)
{
	if (h->loaded)
		schedule_step(h, 0);
}

static bool merge_job(struct job_holder *h, json_t *json)
{
	struct job_record *job = job_from_json(h, json);

	if (!job) {
		log_error("submission_malformed", "", "a record of a segment cannot be read");
		return true;
	}
	if (job_holder_find(h, job->id)) {
		talloc_free(job);
		return true;
	}
	if (!job_shards_room(h->shards, job)) {
		metrics_count(h->jobs->deps.metrics, "jaycourse_job_shard_full_total", "",
			      "Submissions that wait in their segment because the shard is full");
		talloc_free(job);
		return false;
	}
	job->state = JOBS_WAITING;
	g_hash_table_insert(h->records, job->id, job);
	log_info("job_merged", job->id, "organisation %s class %s", job->organisation,
		 job->class_name);
	job_holder_enter(h, job);
	job_shards_write(h->shards, job->id, false, NULL, NULL);
	return true;
}

/* A segment is deleted in the write that holds all its jobs. */
static void merge_segment(struct job_holder *h, const struct store_kv *kv)
{
	json_t *list;
	bool all = true;
	size_t i;
	json_t *json;

	if (g_hash_table_contains(h->segments, kv->key))
		return;
	list = json_loadb(kv->value, kv->value_len, 0, NULL);
	json_array_foreach(list, i, json) all = merge_job(h, json) && all;
	if (all) {
		g_hash_table_add(h->segments, g_strdup(kv->key));
		job_shards_drop_segment(h->shards, kv->key);
	}
	json_decref(list);
	job_holder_step(h);
}

static void on_segments(int status, const struct store_result *result, void *ctx)
{
	struct job_holder *h = call_ended(ctx);

	if (!h)
		return;
	h->reading_segments = false;
	for (size_t i = 0; !status && i < result->count; i++)
		merge_segment(h, &result->kvs[i]);
	if (h->segments_again) {
		h->segments_again = false;
		job_holder_read_segments(h);
	}
}

void job_holder_read_segments(struct job_holder *h)
{
	if (!h->loaded)
		return;
	h->segments_again = h->reading_segments;
	if (h->reading_segments)
		return;
	h->reading_segments = true;
	store_range(h->jobs->deps.store, "submit/", 0, call_begins(h, on_segments));
}

static void on_segment(const struct store_kv *kv, void *ctx)
{
	struct job_holder *h = ctx;

	if (kv->version == 0)
		g_hash_table_remove(h->segments, kv->key);
	else
		merge_segment(h, kv);
}

static void on_resync(void *ctx)
{
	job_holder_read_segments(ctx);
}

static void on_rescan(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		      void *data)
{
	struct job_holder *h = data;

	job_holder_read_segments(h);
	jobs_timer(h->jobs, h, SEGMENTS_RETRY_MS, on_rescan, h);
}

static void read_shard(struct job_holder *h, const struct store_kv *kv)
{
	uint32_t shard = (uint32_t)strtoul(kv->key + strlen("jobs/"), NULL, 10);
	json_t *list = json_loadb(kv->value, kv->value_len, 0, NULL);
	size_t i;
	json_t *json;

	if (shard < JOBS_SHARDS)
		job_shards_loaded(h->shards, shard, kv->mod_revision);
	json_array_foreach(list, i, json)
	{
		struct job_record *job = job_from_json(h, json);

		if (job)
			g_hash_table_insert(h->records, job->id, job);
		else
			log_error("job_malformed", "", "a record of %s cannot be read", kv->key);
	}
	json_decref(list);
}

static gint by_submission(gconstpointer a, gconstpointer b)
{
	const struct job_record *left = *(struct job_record *const *)a;
	const struct job_record *right = *(struct job_record *const *)b;

	if (left->submitted_ms != right->submitted_ms)
		return left->submitted_ms < right->submitted_ms ? -1 : 1;
	return strcmp(left->id, right->id);
}

static void restore(struct job_holder *h, struct job_record *job)
{
	bool granted = job->state == JOBS_STARTING || job->state == JOBS_RUNNING;

	if (job_ended(job))
		return;
	/* The gang comes first: a job with one is never given up before it has stopped. */
	if (granted)
		job_gang_restore(h, job);
	job_holder_enter(h, job);
	if (job->cancel && place_cancel(h->place, job->id, util_clock_ms()) == 0) {
		job_holder_ended(h, job, JOBS_CANCELLED, "cancelled");
		job_shards_write(h->shards, job->id, false, NULL, NULL);
	}
}

static void restore_all(struct job_holder *h)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, h->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(list, value);
	g_ptr_array_sort(list, by_submission);
	for (guint i = 0; i < list->len; i++)
		restore(h, list->pdata[i]);
	log_info("jobs_loaded", "", "%u jobs under epoch %" PRIu64, list->len, h->epoch);
	g_ptr_array_free(list, TRUE);
}

static void read_targets(struct job_holder *h)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct member_target *targets;
	size_t count = member_targets(h->jobs->deps.members, mem, MSG_TARGET_WORKER, &targets);

	for (size_t i = 0; i < count; i++)
		job_holder_target(h, &targets[i]);
	talloc_free(mem);
}

static void load(struct job_holder *h);

static void on_load_retry(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			  void *data)
{
	load(data);
}

static void on_loaded(int status, const struct store_result *result, void *ctx)
{
	struct job_holder *h = call_ended(ctx);
	struct store_watch_handlers handlers = {on_segment, on_resync, h};

	if (!h)
		return;
	if (status) {
		metrics_retry(h->jobs->deps.metrics, "jobs_load");
		jobs_timer(h->jobs, h, RETRY_MS, on_load_retry, h);
		return;
	}
	for (size_t i = 0; i < result->count; i++)
		read_shard(h, &result->kvs[i]);
	h->loaded = true;
	h->loaded_ms = util_clock_ms();
	read_targets(h);
	restore_all(h);
	h->watch = store_watch_create(h, h->jobs->deps.store, "submit/", &handlers);
	on_rescan(NULL, NULL, (struct timeval){0}, h);
	job_holder_step(h);
}

/* The decision module needs the organisations, so the configuration comes first. */
static void load(struct job_holder *h)
{
	job_holder_config(h);
	if (h->place)
		store_range(h->jobs->deps.store, "jobs/", 0, call_begins(h, on_loaded));
	else
		jobs_timer(h->jobs, h, RETRY_MS, on_load_retry, h);
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		    void *data)
{
	struct job_holder *h = data;
	bool busy = h->loaded && job_gang_tick(h);

	if (h->loaded && configrepo_revision(h->jobs->deps.configs) != h->config_revision)
		job_holder_config(h);
	h->tick_timer = jobs_timer(h->jobs, h, busy ? TICK_BUSY_MS : TICK_IDLE_MS, on_tick, h);
}

struct job_holder *job_holder_create(struct jobs *jobs, uint64_t epoch)
{
	struct job_holder *h = talloc_zero(jobs, struct job_holder);

	h->jobs = jobs;
	h->epoch = epoch;
	h->records = g_hash_table_new(g_str_hash, g_str_equal);
	h->segments = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	h->workers = g_hash_table_new(g_str_hash, g_str_equal);
	h->gangs = g_ptr_array_new();
	h->shards = job_shards_create(h, jobs, h->records);
	h->link = talloc_zero(jobs->deps.store, struct job_link);
	h->link->h = h;
	talloc_set_destructor(h, holder_destructor);
	on_tick(NULL, NULL, (struct timeval){0}, h);
	load(h);
	return h;
}

void job_holder_cancel(struct job_holder *h, struct job_record *job,
		       void (*done)(int status, void *ctx), void *ctx)
{
	/* 0: it was waiting and is gone; 1: a PLACE_EVICT follows. */
	int placed = place_cancel(h->place, job->id, util_clock_ms());

	if (job->gang || placed == 1)
		job->cancel = true;
	else
		job_holder_ended(h, job, JOBS_CANCELLED, "cancelled");
	if (job->gang && placed != 1) {
		job->cancel = true;
		job_gang_give_up(h, job, "cancelled");
	}
	job_shards_write(h->shards, job->id, false, done, ctx);
	job_holder_step(h);
}
