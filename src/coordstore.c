#include "coord_int.h"

#include "fields.h"
#include "jsonread.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_MS 100
#define KEY_RETRY_MS 1000 /* until a failed write or removal of an agent's key is repeated */
/* Each job takes one expectation and one put; one more expectation checks the leader key. */
#define BATCH_JOBS_MAX ((KV_TXN_MAX - 1) / 2)
/* Each job takes three removals; one expectation checks the leader key. */
#define REMOVE_JOBS_MAX ((KV_TXN_MAX - 1) / 3)

/* An ended job whose keys are removed later. */
struct ended_row {
	char id[JOBSPEC_ID_LEN + 1];
	uint64_t ended_ms;
};

struct kv_cb coord_begin_call(struct coord *coord,
			      void (*done)(int, const struct kv_result *, void *))
{
	return (struct kv_cb){done, callref_begin(coord->calls)};
}

static struct tevent_timer *schedule_after(struct coord *coord, uint32_t ms,
					   tevent_timer_handler_t handler)
{
	return tevent_add_timer(coord->deps.ev, coord, tevent_timeval_current_ofs(0, ms * 1000),
				handler, coord);
}

static struct job_row *job_row(struct coord *coord, const char *id)
{
	struct job_row *row = g_hash_table_lookup(coord->jobs, id);

	if (row)
		return row;
	row = talloc_zero(coord, struct job_row);
	row->id = talloc_strdup(row, id);
	g_hash_table_insert(coord->jobs, row->id, row);
	return row;
}

static void record_job_end(struct coord *coord, struct job_row *row, enum plan_job_state state)
{
	struct ended_row *ended;

	if (row->ended_stored)
		return;
	row->ended_stored = true;
	row->stored_state = state;
	ended = g_new0(struct ended_row, 1);
	g_strlcpy(ended->id, row->id, sizeof(ended->id));
	ended->ended_ms = util_clock_ms();
	g_queue_push_tail(coord->ended_jobs, ended);
}

static void restore_job(struct coord *coord, struct job_row *row)
{
	const char *text = g_hash_table_lookup(coord->progress, row->id);
	enum plan_job_state state;
	json_t *record;

	if (!text)
		return;
	record = json_loads(text, 0, NULL);
	if (plan_job_restore(coord->plan, row->id, record))
		log_error("progress_unreadable", row->id,
			  "the stored progress is malformed; the job starts from the beginning");
	else if (plan_job_known(coord->plan, row->id, &state) && state >= PLAN_JOB_COMPLETED)
		record_job_end(coord, row, state);
	json_decref(record);
	g_hash_table_remove(coord->progress, row->id);
}

/* Returns -1 when the queue is not configured. */
static int queue_priority(const struct coord *coord, const char *name)
{
	const struct fleetconf_queue *queue =
		coord->conf ? fleetconf_queue(coord->conf, name) : NULL;

	return queue ? (int)queue->priority : -1;
}

/*
 * Reads the queue of a job as it was when the job was accepted; false if the record does not name
 * its service. Records of earlier releases lack the settings, and some also the service: without
 * settings a job is the least urgent, and its failures are not limited.
 */
static bool read_queue(const json_t *record, struct fleetconf_queue *queue)
{
	const json_t *stretch = json_object_get(record, "stretch");

	*queue = (struct fleetconf_queue){
		.name = json_string_value(json_object_get(record, "queue")),
		.host = json_string_value(json_object_get(record, "host")),
		.prefix = json_string_value(json_object_get(record, "prefix")),
		.service = json_string_value(json_object_get(record, "service")),
		.priority = FLEETCONF_PRIORITY_MAX,
		.max_attempts = UINT32_MAX,
		.stretch = json_is_number(stretch) ? json_number_value(stretch) : 1,
		.advised = json_is_true(json_object_get(record, "advised")),
	};
	jsonread_u32(json_object_get(record, "priority"), FLEETCONF_PRIORITY_MAX, &queue->priority);
	jsonread_u32(json_object_get(record, "max_attempts"), UINT32_MAX, &queue->max_attempts);
	jsonread_u32(json_object_get(record, "allowance_ms"), UINT32_MAX, &queue->allowance_ms);
	return queue->service != NULL;
}

static void add_job(struct coord *coord, const struct kv_item *item, const char *id)
{
	json_t *record = json_loadb(item->value, item->value_len, 0, NULL);
	struct plan_job_info info = {.id = id};
	struct fleetconf_queue last_queue;
	json_int_t accepted_ms = 0;
	uint64_t now_ms = util_clock_ms();
	uint64_t wall_ms = util_wall_ms();
	json_t *spec = NULL;
	struct err err = {0};
	uint64_t age_ms;

	if (json_unpack(record, "{s:s, s:s, s:I, s:o}", "queue", &info.queue, "organisation",
			&info.organisation, "accepted_ms", &accepted_ms, "spec", &spec) ||
	    !(info.spec = jobspec_read(coord, spec, &jobspec_record_names, &err))) {
		log_once("job_unreadable", id, "the stored job is malformed: %s", err.message);
		json_decref(record);
		return;
	}
	/* Clocks of hosts differ: a job accepted in the future counts as accepted now. */
	age_ms = (uint64_t)accepted_ms < wall_ms ? wall_ms - (uint64_t)accepted_ms : 0;
	info.accepted_ms = age_ms < now_ms ? now_ms - age_ms : 1;
	info.wall_offset_ms = (int64_t)wall_ms - (int64_t)now_ms;
	if (read_queue(record, &last_queue))
		info.last_queue = &last_queue;
	info.inherited = item->created < leader_expect(coord->deps.leader).revision;
	/* A job that was accepted after the election of a later leader is started by that one only.
	 */
	info.held = !leader_confirmed(coord->deps.leader);
	if (!plan_job_known(coord->plan, id, &(enum plan_job_state){0})) {
		plan_job_add(coord->plan, &info);
		restore_job(coord, job_row(coord, id));
		log_info("job_seen", id, "queue %s of priority %d, %zu tasks, %s", info.queue,
			 queue_priority(coord, info.queue), jobspec_task_count(info.spec),
			 info.inherited ? "accepted under a former leader" : "new");
	} else {
		talloc_free(info.spec);
	}
	json_decref(record);
}

static void cancel_job(struct coord *coord, const struct kv_item *item, const char *id)
{
	enum plan_job_state state;

	if (item->revision == 0) {
		coord_forget_early_cancel(coord, id);
	} else if (!plan_job_known(coord->plan, id, &state)) {
		coord_keep_early_cancel(coord, id, item->revision);
	} else {
		log_info("job_cancel", id, "cancelled by its owner");
		plan_job_cancel(coord->plan, id);
	}
}

static void on_job_item(const struct kv_item *item, void *ctx)
{
	struct coord *coord = ctx;
	const char *id = item->key + strlen(JOB_PREFIX);
	char *cancelled = g_str_has_suffix(id, CANCEL_SUFFIX)
				  ? talloc_strndup(NULL, id, strlen(id) - strlen(CANCEL_SUFFIX))
				  : NULL;

	if (!jobspec_is_id(cancelled ? cancelled : id)) {
		if (item->revision != 0)
			log_once("job_unreadable", item->key, "the key names no job");
	} else if (cancelled) {
		cancel_job(coord, item, cancelled);
	} else if (item->revision != 0) { /* only the leader itself removes jobs */
		add_job(coord, item, id);
		coord_apply_early_cancel(coord, id);
	}
	talloc_free(cancelled);
	if (coord->loaded && item->revision != 0)
		coord_schedule_decision(coord);
}

static void on_jobs_loaded(void *ctx)
{
	struct coord *coord = ctx;

	if (!coord->loaded)
		coord_on_loaded(coord);
}

static void read_progress(struct coord *coord, const char *after_key);
static void read_agents(struct coord *coord, const char *after_key);

static void on_load_retry(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			  void *ctx)
{
	coord_load(ctx);
}

/* Returns NULL and begins the load again if the page does not show where the range goes on. */
static const char *next_page(struct coord *coord, const char *prefix, const struct kv_result *page)
{
	const char *next = kv_range_next(page);

	if (!next) {
		log_once("page_unreadable", prefix, "no key of a page could be read");
		schedule_after(coord, RETRY_MS, on_load_retry);
	}
	return next;
}

static void on_progress_read(int status, const struct kv_result *result, void *ctx)
{
	struct coord *coord = callref_end(ctx);
	const char *next;

	if (!coord)
		return;
	if (status) {
		schedule_after(coord, RETRY_MS, on_load_retry);
		return;
	}
	for (size_t i = 0; i < result->count; i++) {
		const char *id = result->items[i].key + strlen(PROGRESS_PREFIX);

		if (!jobspec_is_id(id) || result->items[i].revision <= 0) {
			log_once("progress_unreadable", result->items[i].key,
				 "the key names no job, or its value can't be read");
			continue;
		}
		job_row(coord, id)->revision = result->items[i].revision;
		g_hash_table_insert(coord->progress, g_strdup(id),
				    g_strdup(result->items[i].value));
	}
	if (!(next = next_page(coord, PROGRESS_PREFIX, result)))
		return;
	if (*next) {
		read_progress(coord, next);
		return;
	}
	coord->progress_loaded = true;
	coord_load(coord);
}

static void read_progress(struct coord *coord, const char *after_key)
{
	coord->deps.kv->ops->range(coord->deps.kv->impl, PROGRESS_PREFIX, after_key,
				   coord_begin_call(coord, on_progress_read));
}

static void on_agents_read(int status, const struct kv_result *result, void *ctx)
{
	struct coord *coord = callref_end(ctx);
	const char *next;

	if (!coord)
		return;
	if (status) {
		schedule_after(coord, RETRY_MS, on_load_retry);
		return;
	}
	for (size_t i = 0; i < result->count; i++) {
		const struct kv_item *item = &result->items[i];
		const char *node = item->key + strlen(AGENT_PREFIX);
		bool reachable = fields_is_peer_address(item->value);
		struct agent_row *row;

		if (!jsonread_is_name(node) || item->revision <= 0) {
			log_once("agent_unreadable", item->key,
				 "the key names no node, or its value can't be read");
			continue;
		}
		/* An agent without a usable address may still have runs, so it is waited for. */
		if (!reachable)
			log_once("agent_unreadable", item->key, "its value is no address");
		row = coord_agent_row(coord, node);
		talloc_free(row->address);
		row->address = reachable ? talloc_strdup(row, item->value) : NULL;
		talloc_free(row->key_address);
		row->key_address = talloc_strdup(row, row->address);
		row->key_wanted = true;
		row->key_stored = true;
		row->key_may_exist = true;
		row->key_revision = item->revision;
	}
	if (!(next = next_page(coord, AGENT_PREFIX, result)))
		return;
	if (*next) {
		read_agents(coord, next);
		return;
	}
	coord->agents_loaded = true;
	coord_load(coord);
}

static void read_agents(struct coord *coord, const char *after_key)
{
	coord->deps.kv->ops->range(coord->deps.kv->impl, AGENT_PREFIX, after_key,
				   coord_begin_call(coord, on_agents_read));
}

/* Reads all progress, then the agents, then the jobs, and watches the jobs from then on. */
void coord_load(struct coord *coord)
{
	struct kv_mirror_handlers handlers = {on_job_item, on_jobs_loaded, coord};

	if (!coord->progress_loaded)
		read_progress(coord, "");
	else if (!coord->agents_loaded)
		read_agents(coord, "");
	else if (!coord->jobs_mirror)
		coord->jobs_mirror = kv_mirror_create(coord, coord->deps.ev, coord->deps.kv,
						      JOB_PREFIX, &handlers);
}

static void store_batch(struct coord *coord);

static void on_batch_retry(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			   void *ctx)
{
	store_batch(ctx);
}

/*
 * After a conflict, adopts the stored revisions: an earlier attempt whose answer was lost may have
 * written the records. Returns false when another process is the leader.
 */
static bool adopt_stored_revisions(struct coord *coord, const struct kv_result *result)
{
	struct kv_expect own = leader_expect(coord->deps.leader);

	for (size_t i = 0; i < result->count; i++) {
		const struct kv_item *item = &result->items[i];

		if (!strcmp(item->key, own.key)) {
			if (item->revision != own.revision)
				return false;
			continue;
		}
		if (g_str_has_prefix(item->key, PROGRESS_PREFIX))
			job_row(coord, item->key + strlen(PROGRESS_PREFIX))->revision =
				item->revision;
	}
	return true;
}

static void mark_batch_stored(struct coord *coord, int64_t revision)
{
	for (size_t i = 0; i < coord->batch_count; i++) {
		struct job_row *row = job_row(coord, coord->batch[i]);

		row->revision = revision;
		if (row->stored_state >= PLAN_JOB_COMPLETED) {
			row->ended_stored = false;
			record_job_end(coord, row, row->stored_state);
			log_info("job_end", row->id, "%s", plan_job_state_name(row->stored_state));
		}
	}
	coord->batch_count = 0;
}

static void on_batch(int status, const struct kv_result *result, void *ctx)
{
	struct coord *coord = callref_end(ctx);

	if (!coord)
		return;
	metrics_observe(&coord->progress_ms, util_clock_ms() - coord->batch_sent_ms);
	if (status == 0) {
		mark_batch_stored(coord, result->revision);
		store_batch(coord);
		return;
	}
	if (status == -ERR_CONFLICT && !adopt_stored_revisions(coord, result)) {
		log_warn("progress_rejected", "", "the leader key in the store has changed");
		schedule_after(coord, RETRY_MS, on_batch_retry);
		return;
	}
	log_info("progress_retry", "", "storing the progress of %zu jobs failed with %s; retrying",
		 coord->batch_count, err_name(status));
	schedule_after(coord, status == -ERR_CONFLICT ? 1 : RETRY_MS, on_batch_retry);
}

static void fill_batch(struct coord *coord)
{
	if (!coord->batch)
		coord->batch = talloc_zero_array(coord, char *, BATCH_JOBS_MAX);
	while (coord->batch_count < BATCH_JOBS_MAX && !g_queue_is_empty(coord->cycle)) {
		char *id = g_queue_pop_head(coord->cycle);
		struct job_row *row = g_hash_table_lookup(coord->jobs, id);

		if (row && !row->ended_stored)
			coord->batch[coord->batch_count++] = row->id;
		g_free(id);
	}
}

/*
 * Writes the next jobs of the cycle. When none is left, the agents are told that the ends reported
 * before the cycle are stored.
 */
static void store_batch(struct coord *coord)
{
	struct kv_expect expects[BATCH_JOBS_MAX + 1];
	struct kv_put puts[BATCH_JOBS_MAX] = {0};
	struct kv_txn txn = {.expects = expects, .puts = puts};
	TALLOC_CTX *mem = talloc_new(NULL);

	fill_batch(coord);
	if (coord->batch_count == 0) {
		talloc_free(mem);
		coord->storing = false;
		coord_confirm_ends(coord);
		coord_store_dirty(coord);
		return;
	}
	expects[txn.expect_count++] = leader_expect(coord->deps.leader);
	for (size_t i = 0; i < coord->batch_count; i++) {
		struct job_row *row = job_row(coord, coord->batch[i]);
		char *key = talloc_asprintf(mem, PROGRESS_PREFIX "%s", row->id);
		json_t *record = plan_job_record(coord->plan, row->id);
		char *text = json_dumps(record, JSON_COMPACT);

		plan_job_known(coord->plan, row->id, &row->stored_state);
		expects[txn.expect_count++] = (struct kv_expect){key, row->revision};
		puts[txn.put_count++] = (struct kv_put){key, talloc_strdup(mem, text), 0};
		free(text);
		json_decref(record);
	}
	coord->batch_sent_ms = util_clock_ms();
	coord->deps.kv->ops->txn(coord->deps.kv->impl, &txn, coord_begin_call(coord, on_batch));
	talloc_free(mem);
}

/*
 * Starts a cycle that stores all jobs changed so far, unless one is in progress; that one starts
 * the next when it ends.
 */
void coord_store_dirty(struct coord *coord)
{
	GHashTableIter iter;
	gpointer value;
	const char *id;

	if (coord->storing || !coord->loaded)
		return;
	while ((id = plan_take_dirty(coord->plan)))
		g_queue_push_tail(coord->cycle, g_strdup(id));
	g_hash_table_iter_init(&iter, coord->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct agent_row *row = value;

		row->ends_cycle = row->ends_seen;
	}
	if (g_queue_is_empty(coord->cycle)) {
		coord_confirm_ends(coord);
		return;
	}
	coord->storing = true;
	store_batch(coord);
}

static void on_ended_jobs_removed(int status, const struct kv_result *result, void *ctx)
{
	struct coord *coord = callref_end(ctx);

	if (coord && status)
		log_info("forget_failed", "", "keys of ended jobs were not removed: %s",
			 err_name(status));
}

/* Removes the keys of jobs that ended more than keep_ended_ms ago. */
void coord_remove_ended_jobs(struct coord *coord, uint64_t now_ms)
{
	struct kv_expect own = leader_expect(coord->deps.leader);
	const char *removes[REMOVE_JOBS_MAX * 3];
	struct kv_txn txn = {.expects = &own, .expect_count = 1, .removes = removes};
	TALLOC_CTX *mem = talloc_new(NULL);

	while (txn.remove_count < REMOVE_JOBS_MAX * 3 && !g_queue_is_empty(coord->ended_jobs)) {
		struct ended_row *ended = g_queue_peek_head(coord->ended_jobs);

		if (now_ms - ended->ended_ms < coord->deps.keep_ended_ms ||
		    !plan_job_remove(coord->plan, ended->id))
			break;
		removes[txn.remove_count++] = talloc_asprintf(mem, JOB_PREFIX "%s", ended->id);
		removes[txn.remove_count++] =
			talloc_asprintf(mem, JOB_PREFIX "%s" CANCEL_SUFFIX, ended->id);
		removes[txn.remove_count++] = talloc_asprintf(mem, PROGRESS_PREFIX "%s", ended->id);
		g_hash_table_remove(coord->jobs, ended->id);
		g_free(g_queue_pop_head(coord->ended_jobs));
	}
	if (txn.remove_count > 0)
		coord->deps.kv->ops->txn(coord->deps.kv->impl, &txn,
					 coord_begin_call(coord, on_ended_jobs_removed));
	talloc_free(mem);
}

/* A write or removal of an agent's key; may outlive the controller. */
struct agent_key_write {
	void *call; /* of callref_begin() */
	char *node;
	char *address; /* NULL: the key is removed */
};

static void update_agent_key(struct coord *coord, struct agent_row *row);

/* After a conflict: the key may have changed by an earlier write whose answer was lost. */
static void adopt_agent_key(struct agent_row *row, const struct kv_result *result)
{
	for (size_t i = 0; i < result->count; i++) {
		const struct kv_item *item = &result->items[i];

		if (!g_str_has_prefix(item->key, AGENT_PREFIX))
			continue;
		row->key_revision = item->revision;
		row->key_may_exist = item->revision != 0;
	}
}

static void on_agent_key_written(int status, const struct kv_result *result, void *ctx)
{
	struct agent_key_write *change = ctx;
	struct coord *coord = callref_end(change->call);
	struct agent_row *row = coord ? coord_agent_row(coord, change->node) : NULL;

	if (!row) {
		talloc_free(change);
		return;
	}
	row->key_storing = false;
	if (status) {
		log_info("agent_key_failed", row->node, "%s its key: %s",
			 change->address ? "storing" : "removing", err_name(status));
		row->key_failed_ms = util_clock_ms();
		if (status == -ERR_CONFLICT)
			adopt_agent_key(row, result);
	} else {
		row->key_may_exist = change->address != NULL;
		row->key_stored = change->address && row->key_wanted;
		if (change->address)
			row->key_revision = result->revision;
		talloc_free(row->key_address);
		row->key_address = talloc_steal(row, change->address);
		update_agent_key(coord, row);
	}
	if (row->key_stored)
		coord_apply_pending(coord, row);
	talloc_free(change);
}

static void write_agent_key(struct coord *coord, struct agent_row *row)
{
	struct kv_expect expects[2] = {leader_expect(coord->deps.leader)};
	struct agent_key_write *change;
	char *key;
	struct kv_put put;
	const char *remove;
	struct kv_txn txn = {.expects = expects, .expect_count = 1};

	row->key_storing = true;
	change = talloc_zero(coord->deps.ev, struct agent_key_write);
	change->call = callref_begin(coord->calls);
	change->node = talloc_strdup(change, row->node);
	key = talloc_asprintf(change, AGENT_PREFIX "%s", row->node);
	put = (struct kv_put){key, row->address, 0};
	remove = key;
	if (row->key_wanted) {
		change->address = talloc_strdup(change, row->address);
		row->key_may_exist = true;
		txn.puts = &put;
		txn.put_count = 1;
	} else {
		/* A delayed removal must not delete a key that has been written again since. */
		expects[txn.expect_count++] = (struct kv_expect){key, row->key_revision};
		txn.removes = &remove;
		txn.remove_count = 1;
	}
	coord->deps.kv->ops->txn(coord->deps.kv->impl, &txn,
				 (struct kv_cb){on_agent_key_written, change});
}

static bool key_is_outdated(const struct agent_row *row)
{
	if (!row->key_wanted)
		return row->key_may_exist;
	/* A key that was read without a usable address stays until the agent reports one. */
	return row->address && (!row->key_stored || !row->key_address ||
				strcmp(row->key_address, row->address) != 0);
}

/* Writes or removes the key unless it is as wanted. A call in progress is followed by the next. */
static void update_agent_key(struct coord *coord, struct agent_row *row)
{
	if (!row->key_storing && key_is_outdated(row))
		write_agent_key(coord, row);
}

/*
 * Writes the key of an agent that is new, has moved or has returned. An agent without a key gets
 * no orders until this has succeeded.
 */
void coord_store_agent_key(struct coord *coord, struct agent_row *row)
{
	row->key_wanted = true;
	update_agent_key(coord, row);
}

/* Removes the key of an agent whose worker runs nothing, so that no later leader waits for it. */
void coord_remove_agent_key(struct coord *coord, struct agent_row *row)
{
	row->key_wanted = false;
	row->key_stored = false;
	update_agent_key(coord, row);
}

/* Repeats failed writes and removals of agents' keys. */
void coord_repeat_agent_keys(struct coord *coord, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, coord->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct agent_row *row = value;

		if (row->key_failed_ms && now_ms - row->key_failed_ms >= KEY_RETRY_MS) {
			row->key_failed_ms = 0;
			update_agent_key(coord, row);
		}
	}
}
