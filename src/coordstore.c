#include "coord_int.h"

#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_MS 100
/* Each job takes an expectation and a put; one expectation is the leader's. */
#define BATCH_JOBS ((KV_TXN_MAX - 1) / 2)
/* Each job takes three removals. */
#define FORGET_JOBS ((KV_TXN_MAX - 1) / 3)

/* An ended job whose keys are removed later. */
struct ended_row {
	char id[64];
	uint64_t ended_ms;
};

struct kv_cb coord_call(struct coord *c, void (*done)(int, const struct kv_result *, void *))
{
	c->link->calls++;
	return (struct kv_cb){done, c->link};
}

/* NULL when the controller was freed meanwhile. */
struct coord *coord_call_ended(void *ctx)
{
	struct coord_link *link = ctx;
	struct coord *c = link->coord;

	link->calls--;
	if (!c && link->calls == 0)
		talloc_free(link);
	return c;
}

static struct tevent_timer *after(struct coord *c, uint32_t ms, tevent_timer_handler_t handler)
{
	return tevent_add_timer(c->deps.ev, c, tevent_timeval_current_ofs(0, ms * 1000), handler,
				c);
}

static struct job_row *job_row(struct coord *c, const char *id)
{
	struct job_row *row = g_hash_table_lookup(c->jobs, id);

	if (row)
		return row;
	row = talloc_zero(c, struct job_row);
	row->id = talloc_strdup(row, id);
	g_hash_table_insert(c->jobs, row->id, row);
	return row;
}

static void note_ended(struct coord *c, struct job_row *row, enum plan_job_state state)
{
	struct ended_row *ended;

	if (row->ended_stored)
		return;
	row->ended_stored = true;
	row->stored_state = state;
	ended = g_new0(struct ended_row, 1);
	g_strlcpy(ended->id, row->id, sizeof(ended->id));
	ended->ended_ms = util_clock_ms();
	g_queue_push_tail(c->ended, ended);
}

static void restore(struct coord *c, struct job_row *row)
{
	const char *text = g_hash_table_lookup(c->progress, row->id);
	enum plan_job_state state;
	json_t *record;

	if (!text)
		return;
	record = json_loads(text, 0, NULL);
	if (plan_job_restore(c->plan, row->id, record))
		log_error("progress_unreadable", row->id,
			  "the stored progress is malformed; the job starts again");
	else if (plan_job_known(c->plan, row->id, &state) && state >= PLAN_JOB_COMPLETED)
		note_ended(c, row, state);
	json_decref(record);
	g_hash_table_remove(c->progress, row->id);
}

/* -1: the queue is not configured. */
static int priority_of(const struct coord *c, const char *name)
{
	const struct fleetconf_queue *queue = c->conf ? fleetconf_queue(c->conf, name) : NULL;

	return queue ? (int)queue->priority : -1;
}

static void add_job(struct coord *c, const struct kv_item *item, const char *id)
{
	json_t *record = json_loadb(item->value, item->value_len, 0, NULL);
	struct plan_job_info info = {.id = id};
	json_int_t accepted_ms = 0;
	uint64_t now_ms = util_clock_ms();
	uint64_t wall_ms = util_wall_ms();
	json_t *spec = NULL;
	struct err err = {0};
	uint64_t age_ms;

	if (json_unpack(record, "{s:s, s:s, s:I, s:o}", "queue", &info.queue, "organisation",
			&info.organisation, "accepted_ms", &accepted_ms, "spec", &spec) ||
	    !(info.spec = jobspec_read(c, spec, &jobspec_own_names, &err))) {
		log_error("job_unreadable", id, "the stored job is malformed: %s", err.message);
		json_decref(record);
		return;
	}
	/* Clocks of machines differ; a job is never taken for younger than zero. */
	age_ms = (uint64_t)accepted_ms < wall_ms ? wall_ms - (uint64_t)accepted_ms : 0;
	info.accepted_ms = age_ms < now_ms ? now_ms - age_ms : 1;
	info.wall_offset_ms = (int64_t)wall_ms - (int64_t)now_ms;
	info.inherited = item->created < leader_expect(c->deps.leader).revision;
	if (!plan_job_known(c->plan, id, &(enum plan_job_state){0})) {
		plan_job_add(c->plan, &info);
		restore(c, job_row(c, id));
		log_info("job_seen", id, "queue %s of priority %d, %zu tasks, %s", info.queue,
			 priority_of(c, info.queue), jobspec_task_count(info.spec),
			 info.inherited ? "accepted under a former leader" : "new");
	} else {
		talloc_free(info.spec);
	}
	json_decref(record);
}

static void on_job_item(const struct kv_item *item, void *ctx)
{
	struct coord *c = ctx;
	const char *id = item->key + strlen(JOB_PREFIX);
	char job[64];

	if (item->revision == 0)
		return; /* removals are our own */
	if (!g_str_has_suffix(id, CANCEL_SUFFIX)) {
		add_job(c, item, id);
	} else {
		g_strlcpy(job, id, sizeof(job));
		job[strlen(job) - strlen(CANCEL_SUFFIX)] = '\0';
		/* The key of the job sorts before that of its cancellation. */
		log_info("job_cancel", job, "cancelled by its owner");
		plan_job_cancel(c->plan, job);
	}
	if (c->loaded)
		coord_decide_soon(c);
}

static void on_jobs_loaded(void *ctx)
{
	struct coord *c = ctx;

	if (!c->loaded)
		coord_loaded(c);
}

static void read_progress(struct coord *c, const char *after_key);
static void read_agents(struct coord *c, const char *after_key);

static void load_again(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		       void *ctx)
{
	coord_load(ctx);
}

static void on_progress(int status, const struct kv_result *result, void *ctx)
{
	struct coord *c = coord_call_ended(ctx);

	if (!c)
		return;
	if (status) {
		after(c, RETRY_MS, load_again);
		return;
	}
	for (size_t i = 0; i < result->count; i++) {
		const char *id = result->items[i].key + strlen(PROGRESS_PREFIX);

		job_row(c, id)->revision = result->items[i].revision;
		g_hash_table_insert(c->progress, g_strdup(id), g_strdup(result->items[i].value));
	}
	if (result->more && result->count > 0) {
		read_progress(c, result->items[result->count - 1].key);
		return;
	}
	c->progress_loaded = true;
	coord_load(c);
}

static void read_progress(struct coord *c, const char *after_key)
{
	c->deps.kv->ops->range(c->deps.kv->impl, PROGRESS_PREFIX, after_key,
			       coord_call(c, on_progress));
}

static void on_agents(int status, const struct kv_result *result, void *ctx)
{
	struct coord *c = coord_call_ended(ctx);

	if (!c)
		return;
	if (status) {
		after(c, RETRY_MS, load_again);
		return;
	}
	for (size_t i = 0; i < result->count; i++) {
		struct agent_row *row = coord_agent(c, result->items[i].key + strlen(AGENT_PREFIX));

		talloc_free(row->address);
		row->address = talloc_strdup(row, result->items[i].value);
		row->stored = true;
		row->revision = result->items[i].revision;
	}
	if (result->more && result->count > 0) {
		read_agents(c, result->items[result->count - 1].key);
		return;
	}
	c->agents_loaded = true;
	coord_load(c);
}

static void read_agents(struct coord *c, const char *after_key)
{
	c->deps.kv->ops->range(c->deps.kv->impl, AGENT_PREFIX, after_key, coord_call(c, on_agents));
}

/* Progress first, then agents, then the jobs, which are followed from then on. */
void coord_load(struct coord *c)
{
	struct kv_mirror_handlers handlers = {on_job_item, on_jobs_loaded, c};

	if (!c->progress_loaded)
		read_progress(c, "");
	else if (!c->agents_loaded)
		read_agents(c, "");
	else if (!c->jobs_mirror)
		c->jobs_mirror = kv_mirror_create(c, c->deps.ev, c->deps.kv, JOB_PREFIX, &handlers);
}

static void store_batch(struct coord *c);

static void retry_batch(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			void *ctx)
{
	store_batch(ctx);
}

/* Takes over the revisions of records that an attempt without an answer has written. */
static bool take_current(struct coord *c, const struct kv_result *result)
{
	struct kv_expect own = leader_expect(c->deps.leader);

	for (size_t i = 0; i < result->count; i++) {
		const struct kv_item *item = &result->items[i];

		if (!strcmp(item->key, own.key)) {
			if (item->revision != own.revision)
				return false;
			continue;
		}
		if (g_str_has_prefix(item->key, PROGRESS_PREFIX))
			job_row(c, item->key + strlen(PROGRESS_PREFIX))->revision = item->revision;
	}
	return true;
}

static void batch_stored(struct coord *c, int64_t revision)
{
	for (size_t i = 0; i < c->batch_count; i++) {
		struct job_row *row = job_row(c, c->batch[i]);

		row->revision = revision;
		if (row->stored_state >= PLAN_JOB_COMPLETED) {
			row->ended_stored = false;
			note_ended(c, row, row->stored_state);
			log_info("job_end", row->id, "%s", plan_state_name(row->stored_state));
		}
	}
	c->batch_count = 0;
}

static void on_batch(int status, const struct kv_result *result, void *ctx)
{
	struct coord *c = coord_call_ended(ctx);

	if (!c)
		return;
	metrics_observe(&c->storing_ms, util_clock_ms() - c->batch_sent_ms);
	if (status == 0) {
		batch_stored(c, result->revision);
		store_batch(c);
		return;
	}
	if (status == -ERR_CONFLICT && !take_current(c, result)) {
		log_warn("progress_rejected", "", "the store names another leader");
		after(c, RETRY_MS, retry_batch);
		return;
	}
	log_info("progress_retry", "", "storing the progress of %zu jobs: %s", c->batch_count,
		 err_name(status));
	after(c, status == -ERR_CONFLICT ? 1 : RETRY_MS, retry_batch);
}

static void fill_batch(struct coord *c)
{
	if (!c->batch)
		c->batch = talloc_zero_array(c, char *, BATCH_JOBS);
	while (c->batch_count < BATCH_JOBS && !g_queue_is_empty(c->cycle)) {
		char *id = g_queue_pop_head(c->cycle);
		struct job_row *row = g_hash_table_lookup(c->jobs, id);

		if (row && !row->ended_stored)
			c->batch[c->batch_count++] = row->id;
		g_free(id);
	}
}

/* Writes the next jobs of the cycle; when none is left, their ends may be forgotten. */
static void store_batch(struct coord *c)
{
	struct kv_expect expects[BATCH_JOBS + 1];
	struct kv_put puts[BATCH_JOBS] = {0};
	struct kv_txn txn = {.expects = expects, .puts = puts};
	TALLOC_CTX *mem = talloc_new(NULL);

	fill_batch(c);
	if (c->batch_count == 0) {
		talloc_free(mem);
		c->storing = false;
		coord_ends_stored(c);
		coord_store_dirty(c);
		return;
	}
	expects[txn.expect_count++] = leader_expect(c->deps.leader);
	for (size_t i = 0; i < c->batch_count; i++) {
		struct job_row *row = job_row(c, c->batch[i]);
		char *key = talloc_asprintf(mem, PROGRESS_PREFIX "%s", row->id);
		json_t *record = plan_job_record(c->plan, row->id);
		char *text = json_dumps(record, JSON_COMPACT);

		plan_job_known(c->plan, row->id, &row->stored_state);
		expects[txn.expect_count++] = (struct kv_expect){key, row->revision};
		puts[txn.put_count++] = (struct kv_put){key, talloc_strdup(mem, text), 0};
		free(text);
		json_decref(record);
	}
	c->batch_sent_ms = util_clock_ms();
	c->deps.kv->ops->txn(c->deps.kv->impl, &txn, coord_call(c, on_batch));
	talloc_free(mem);
}

/* One cycle at a time stores everything that has changed until its start. */
void coord_store_dirty(struct coord *c)
{
	GHashTableIter iter;
	gpointer value;
	const char *id;

	if (c->storing || !c->loaded)
		return;
	while ((id = plan_take_dirty(c->plan)))
		g_queue_push_tail(c->cycle, g_strdup(id));
	g_hash_table_iter_init(&iter, c->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct agent_row *row = value;

		row->ends_cycle = row->ends_seen;
	}
	if (g_queue_is_empty(c->cycle)) {
		coord_ends_stored(c);
		return;
	}
	c->storing = true;
	store_batch(c);
}

static void on_forgotten(int status, const struct kv_result *result, void *ctx)
{
	struct coord *c = coord_call_ended(ctx);

	if (c && status)
		log_info("forget_failed", "", "keys of ended jobs stay: %s", err_name(status));
}

/* Removes the keys of jobs that ended long ago. */
void coord_forget_old(struct coord *c, uint64_t now_ms)
{
	struct kv_expect own = leader_expect(c->deps.leader);
	const char *removes[FORGET_JOBS * 3];
	struct kv_txn txn = {.expects = &own, .expect_count = 1, .removes = removes};
	TALLOC_CTX *mem = talloc_new(NULL);

	while (txn.remove_count < FORGET_JOBS * 3 && !g_queue_is_empty(c->ended)) {
		struct ended_row *ended = g_queue_peek_head(c->ended);

		if (now_ms - ended->ended_ms < c->deps.keep_ended_ms ||
		    !plan_job_remove(c->plan, ended->id))
			break;
		removes[txn.remove_count++] = talloc_asprintf(mem, JOB_PREFIX "%s", ended->id);
		removes[txn.remove_count++] =
			talloc_asprintf(mem, JOB_PREFIX "%s" CANCEL_SUFFIX, ended->id);
		removes[txn.remove_count++] = talloc_asprintf(mem, PROGRESS_PREFIX "%s", ended->id);
		g_hash_table_remove(c->jobs, ended->id);
		g_free(g_queue_pop_head(c->ended));
	}
	if (txn.remove_count > 0)
		c->deps.kv->ops->txn(c->deps.kv->impl, &txn, coord_call(c, on_forgotten));
	talloc_free(mem);
}

/* One change of an agent's key; outlives the controller. */
struct agent_change {
	struct coord_link *link;
	char *node;
	bool present;
};

static void on_agent_changed(int status, const struct kv_result *result, void *ctx)
{
	struct agent_change *change = ctx;
	struct coord *c = coord_call_ended(change->link);
	struct agent_row *row = c ? coord_agent(c, change->node) : NULL;

	if (row) {
		row->storing = false;
		if (status == 0)
			row->stored = change->present;
		if (status == 0 && change->present)
			row->revision = result->revision;
		if (status)
			log_info("agent_key_failed", row->node, "%s its key: %s",
				 change->present ? "storing" : "removing", err_name(status));
	}
	talloc_free(change);
}

static void change_agent(struct coord *c, struct agent_row *row, bool present)
{
	struct kv_expect expects[2] = {leader_expect(c->deps.leader)};
	struct agent_change *change;
	char *key;
	struct kv_put put;
	const char *remove;
	struct kv_txn txn = {.expects = expects, .expect_count = 1};

	if (row->storing)
		return;
	row->storing = true;
	change = talloc_zero(NULL, struct agent_change);
	change->link = c->link;
	change->node = talloc_strdup(change, row->node);
	change->present = present;
	key = talloc_asprintf(change, AGENT_PREFIX "%s", row->node);
	put = (struct kv_put){key, row->address ? row->address : "", 0};
	remove = key;
	if (present) {
		txn.puts = &put;
		txn.put_count = 1;
	} else {
		/* A removal that takes effect late must not hit a key that was written again. */
		expects[txn.expect_count++] = (struct kv_expect){key, row->revision};
		txn.removes = &remove;
		txn.remove_count = 1;
	}
	c->link->calls++;
	c->deps.kv->ops->txn(c->deps.kv->impl, &txn, (struct kv_cb){on_agent_changed, change});
}

/* An agent that was given up is back; it gets no orders before the store names it again. */
void coord_store_agent(struct coord *c, struct agent_row *row)
{
	change_agent(c, row, true);
}

/* Nothing runs there any more, so a later leader need not wait for it. */
void coord_forget_agent(struct coord *c, struct agent_row *row)
{
	row->stored = false;
	change_agent(c, row, false);
}
