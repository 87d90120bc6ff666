#include "configrepo.h"
#include "configrepo_internal.h"
#include "configrev.h"
#include "log.h"
#include "store_internal.h"

#include <inttypes.h>
#include <string.h>

#define APPLY_TIMEOUT_MS 10000 /* an operator waits; a longer wait would still end in "unknown" */
#define RETRY_BASE_MS 100
#define RETRY_MAX_MS 1000
#define SNAPSHOT_INTERVAL_REVISIONS 64 /* limits how many records a starting node reads */
#define HISTORY_KEPT_REVISIONS 1024    /* before the snapshot; older records are deleted */
#define HISTORY_READ_MAX_REVISIONS 256
#define TXN_OPS_MAX 128 /* limit of the store's protocol for one transaction */
#define OPERATION_ID_BYTES 8

/* A configrepo_apply() that is not finished; a talloc child of the repository. */
struct config_apply {
	struct config_apply *next; /* in the list configrepo.waiting */
	struct configrepo *repo;
	struct callref *calls; /* context of store calls */
	json_t *files;
	char *by;
	char *message;
	uint64_t base_revision;
	bool had_no_config; /* this node had none in force when the operator applied */
	char operation[2 * OPERATION_ID_BYTES + 1];
	uint64_t started_ms;
	uint64_t revision; /* being written; 0: none yet */
	char *record;
	char *key;
	uint32_t attempts;
	bool wait_next_sync;  /* the sync that is running may be too early */
	bool outcome_unknown; /* a write was sent and may still take effect */
	struct tevent_immediate *immediate;
	struct tevent_timer *timer;
	int status;
	char *text;
	void (*done)(int status, uint64_t revision, const char *text, void *ctx);
	void *ctx;
};

static void write_revision(struct config_apply *apply);
static void schedule_read_back(struct config_apply *apply);
static void complete_commit(struct config_apply *apply);

static int apply_destructor(struct config_apply *apply)
{
	json_decref(apply->files);
	return 0;
}

static void finish_apply(struct config_apply *apply, int status, uint64_t revision,
			 const char *text)
{
	if (status)
		metrics_count_refusal(apply->repo->metrics, "config_apply");
	log_info("config_apply", apply->operation, "by %s: status %d, revision %" PRIu64, apply->by,
		 status, revision);
	apply->done(status, revision, text, apply->ctx);
	talloc_free(apply);
}

static void finish_conflict(struct config_apply *apply)
{
	struct configrepo *repo = apply->repo;
	char *text = talloc_asprintf(apply,
				     "Revision %" PRIu64 " came first. Applied on top of it, this "
				     "folder would change:\n%s",
				     repo->head, config_diff(apply, repo->files, apply->files));

	finish_apply(apply, -ERR_CONFLICT, repo->head, text);
}

/*
 * A write that was sent without a known result may have taken effect. Until it has been read back,
 * its outcome is reported as unknown and not as a failure.
 */
static void abandon_apply(struct config_apply *apply, int status)
{
	if (apply->outcome_unknown)
		finish_apply(
			apply, -ERR_OUTCOME_UNKNOWN, 0,
			"The write was sent and its outcome could not be read. Check the history "
			"before applying again.");
	else
		finish_apply(
			apply, status, apply->repo->head,
			"The store is not reachable and nothing was written. Apply again later.");
}

static void wait_for_sync(struct config_apply *apply)
{
	/* A sync that is already running may have read too early to see the newest record. */
	apply->wait_next_sync = apply->repo->syncing;
	apply->next = apply->repo->waiting;
	apply->repo->waiting = apply;
	configrepo_sync(apply->repo);
}

static void on_read_back(int status, const struct store_result *result, void *ctx)
{
	struct config_apply *apply = callref_end(ctx);
	const struct store_kv *kv = result && result->count ? &result->kvs[0] : NULL;

	if (!apply)
		return;
	if (status)
		schedule_read_back(apply);
	else if (!kv && apply->outcome_unknown)
		write_revision(apply); /* same key and operation: at most one write takes effect */
	else if (kv && configrev_is_operation(kv->value, kv->value_len, apply->operation))
		complete_commit(apply);
	else
		wait_for_sync(apply); /* another node wrote this revision */
}

static void on_read_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			  void *ctx)
{
	struct config_apply *apply = ctx;

	apply->timer = NULL;
	store_get(apply->repo->store, apply->key,
		  (struct store_cb){on_read_back, callref_begin(apply->calls)});
}

static void schedule_read_back(struct config_apply *apply)
{
	if (util_clock_ms() - apply->started_ms > APPLY_TIMEOUT_MS) {
		/* Reported as unknown when a write was sent and may still take effect. */
		abandon_apply(apply, -ERR_CONFLICT);
		return;
	}
	metrics_count_retry(apply->repo->metrics, "config_read_back");
	apply->timer = store_timer(
		apply->repo->ev, apply,
		store_backoff_ms(&apply->repo->rng, apply->attempts++, RETRY_BASE_MS, RETRY_MAX_MS),
		on_read_timer, apply);
}

static void on_snapshot_written(int status, const struct store_result *result, void *ctx)
{
	struct configrepo *repo = callref_end(ctx);

	if (!repo)
		return;
	if (status == 0) {
		repo->snapshot = repo->snapshot_writing;
		repo->snapshot_mod_revision = result->revision;
	}
	/* After a failure the next revision writes a snapshot. */
	repo->snapshot_writing = 0;
	if (status == -ERR_CONFLICT && result->count > 0) {
		json_decref(configrev_read_snapshot(result->kvs[0].value, result->kvs[0].value_len,
						    &repo->snapshot));
		repo->snapshot_mod_revision = result->kvs[0].mod_revision;
	}
	if (status && status != -ERR_CONFLICT)
		log_warn("config_snapshot", "", "not written: %s", err_name(status));
}

/*
 * Adds deletions of the records that are at least HISTORY_KEPT_REVISIONS older than the snapshot to
 * the transaction that writes it: neither a starting node nor the history needs them.
 */
static size_t add_deletions(TALLOC_CTX *mem, struct store_op *ops, size_t max, uint64_t snapshot)
{
	size_t count = 0;
	uint64_t last = snapshot > HISTORY_KEPT_REVISIONS ? snapshot - HISTORY_KEPT_REVISIONS : 0;

	for (uint64_t revision = last; revision > 0 && count < max; revision--)
		ops[count++] = (struct store_op){.kind = STORE_DELETE,
						 .key = configrev_key(mem, revision)};
	return count;
}

static void write_snapshot(struct configrepo *repo)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	char *text = configrev_snapshot(mem, repo->head, repo->files);
	struct store_compare compare = {STORE_MOD_REVISION_IS, CONFIGREV_SNAPSHOT,
					repo->snapshot_mod_revision, NULL};
	struct store_op ops[TXN_OPS_MAX] = {{.kind = STORE_PUT,
					     .key = CONFIGREV_SNAPSHOT,
					     .value = text,
					     .value_len = strlen(text)}};
	size_t count = 1 + add_deletions(mem, ops + 1, TXN_OPS_MAX - 1, repo->head);

	repo->snapshot_writing = repo->head;
	store_txn(repo->store, &compare, 1, ops, count,
		  (struct store_cb){on_snapshot_written, callref_begin(repo->calls)});
	talloc_free(mem);
}

static void complete_commit(struct config_apply *apply)
{
	struct configrepo *repo = apply->repo;
	uint64_t revision = apply->revision;

	/* The watch may have delivered this record already, or even a newer one. */
	if (repo->head + 1 == revision)
		configrepo_advance(repo, apply->record, strlen(apply->record));
	else if (repo->head < revision)
		configrepo_sync(repo);
	if (repo->head == revision && !repo->snapshot_writing &&
	    revision >= repo->snapshot + SNAPSHOT_INTERVAL_REVISIONS)
		write_snapshot(repo);
	finish_apply(apply, 0, revision, "");
}

static void on_written(int status, const struct store_result *result, void *ctx)
{
	struct config_apply *apply = callref_end(ctx);

	if (!apply)
		return;
	if (status == 0) {
		complete_commit(apply);
	} else if (status == -ERR_OUTCOME_UNKNOWN) {
		apply->outcome_unknown = true;
		schedule_read_back(apply);
	} else if (status == -ERR_CONFLICT || apply->outcome_unknown) {
		/* The record that exists may come from an earlier attempt of this operation. */
		schedule_read_back(apply);
	} else if (status == -ERR_TOO_LARGE || status == -ERR_INVALID) {
		finish_apply(apply, -ERR_INVALID, apply->repo->head,
			     "The change is over the store's limit of 1 MB. Apply it in parts.");
	} else {
		abandon_apply(apply, -ERR_UNAVAILABLE);
	}
}

/*
 * Requires that the record of the previous revision still exists. Records of old revisions get
 * deleted, and a process that was paused for long must not create one of them again.
 */
static void write_revision(struct config_apply *apply)
{
	struct configrepo *repo = apply->repo;
	char *parent = configrev_key(apply, apply->revision - 1);
	struct store_compare compares[] = {{STORE_VERSION_IS, apply->key, 0, NULL},
					   {STORE_VERSION_IS, parent, 1, NULL}};
	struct store_op op = {.kind = STORE_PUT,
			      .key = apply->key,
			      .value = apply->record,
			      .value_len = strlen(apply->record)};

	store_txn(repo->store, compares, apply->revision > 1 ? 2 : 1, &op, 1,
		  (struct store_cb){on_written, callref_begin(apply->calls)});
}

static bool fits_snapshot(struct config_apply *apply)
{
	char *text = configrev_snapshot(apply, UINT64_MAX / 2, apply->files);
	bool fits = strlen(text) <= STORE_VALUE_MAX;

	talloc_free(text);
	return fits;
}

static void start_write(struct config_apply *apply)
{
	struct configrepo *repo = apply->repo;
	struct configrepo_apply request = {
		.files = apply->files, .by = apply->by, .message = apply->message};

	/*
	 * A node that has just started may have no configuration yet when an operator applies one
	 * without a base revision. It must not replace a configuration that it receives after that.
	 */
	if ((apply->base_revision && apply->base_revision != repo->head) ||
	    (!apply->base_revision && apply->had_no_config && repo->head)) {
		finish_conflict(apply);
		return;
	}
	if (json_equal(apply->files, repo->files)) {
		finish_apply(apply, 0, repo->head, "Nothing differs from the revision in force.");
		return;
	}
	if (!fits_snapshot(apply)) {
		finish_apply(apply, -ERR_INVALID, repo->head,
			     "The folder is over the store's limit of 1 MB. Remove decisions.");
		return;
	}
	apply->revision = repo->head + 1;
	apply->key = configrev_key(apply, apply->revision);
	apply->record =
		configrev_record(apply, repo->head, apply->operation, &request, repo->files);
	write_revision(apply);
}

static void wait_for_next_sync(struct config_apply *apply)
{
	apply->wait_next_sync = false;
	apply->next = apply->repo->waiting;
	apply->repo->waiting = apply;
}

void configapply_synced(struct configrepo *repo, int status)
{
	struct config_apply *apply = repo->waiting;

	repo->waiting = NULL;
	while (apply) {
		struct config_apply *next = apply->next;

		if (status)
			abandon_apply(apply, -ERR_UNAVAILABLE);
		else if (apply->wait_next_sync)
			wait_for_next_sync(apply);
		else if (apply->revision) /* another node wrote this revision */
			finish_conflict(apply);
		else
			start_write(apply);
		apply = next;
	}
}

static char *format_problems(TALLOC_CTX *mem, const struct config_problems *problems)
{
	char *text = talloc_strdup(mem, "");

	for (size_t i = 0; i < problems->count; i++) {
		const struct config_problem *problem = &problems->items[i];

		text = talloc_asprintf_append_buffer(text, "%s:%u: %s: %s. %s\n", problem->file,
						     problem->line, problem->field,
						     problem->message, problem->remedy);
	}
	return text;
}

/*
 * Checks the guarantees against the announced workers unless a fleet is planned, which
 * config_parse() has checked. When the guarantees in force do not fit the announced workers either,
 * workers were lost, and operators must still be able to change the configuration.
 */
static int check_announced(struct config_apply *apply, const struct config *config,
			   const struct configrepo_apply *request)
{
	struct config *current;
	struct err err;
	int status;

	if (config->fleet_count > 0 || request->worker_count == 0)
		return 0;
	status = config_check_guarantees(config, request->workers, request->worker_count, &err);
	current = status ? configrepo_current(apply->repo) : NULL;
	if (current &&
	    config_check_guarantees(current, request->workers, request->worker_count, NULL))
		status = 0;
	configrepo_release(apply->repo, current);
	if (status)
		apply->text = talloc_asprintf(apply, "%s. %s\n", err.message, err.remedy);
	return status;
}

static int check_request(struct config_apply *apply, const struct configrepo_apply *request)
{
	TALLOC_CTX *mem = talloc_new(apply);
	struct config_problems problems;
	struct config *config = config_parse(mem, request->files, &problems);
	int status = -ERR_INVALID;

	if (config)
		status = check_announced(apply, config, request);
	else
		apply->text = format_problems(apply, &problems);
	talloc_free(mem);
	return status;
}

static void begin_apply(struct tevent_context *ev, struct tevent_immediate *immediate, void *ctx)
{
	struct config_apply *apply = ctx;

	if (apply->status) {
		finish_apply(apply, apply->status, apply->repo->head, apply->text);
		return;
	}
	wait_for_sync(apply);
}

static void set_operation_id(struct config_apply *apply)
{
	unsigned char bytes[OPERATION_ID_BYTES];

	util_random_bytes(bytes, sizeof(bytes));
	for (size_t i = 0; i < sizeof(bytes); i++)
		snprintf(apply->operation + 2 * i, 3, "%02x", bytes[i]);
}

void configrepo_apply(struct configrepo *repo, const struct configrepo_apply *request,
		      void (*done)(int status, uint64_t revision, const char *text, void *ctx),
		      void *ctx)
{
	struct config_apply *apply = talloc_zero(repo, struct config_apply);

	apply->repo = repo;
	apply->calls = callref_create(repo->store, apply);
	apply->files = json_is_object(request->files) ? json_copy(request->files) : json_object();
	apply->by = talloc_strdup(apply, request->by ? request->by : "");
	apply->message = talloc_strdup(apply, request->message ? request->message : "");
	apply->base_revision = request->base_revision;
	apply->had_no_config = configrepo_revision(repo) == 0;
	apply->started_ms = util_clock_ms();
	apply->done = done;
	apply->ctx = ctx;
	talloc_set_destructor(apply, apply_destructor);
	set_operation_id(apply);
	apply->status = check_request(apply, request);
	apply->immediate = tevent_create_immediate(apply);
	tevent_schedule_immediate(apply->immediate, repo->ev, begin_apply, apply);
}

struct history {
	void (*done)(int status, json_t *history, void *ctx);
	void *ctx;
};

static void on_history(int status, const struct store_result *result, void *ctx)
{
	struct history *history = callref_end(ctx);
	json_t *list;

	if (!history)
		return;
	list = status ? NULL : json_array();
	for (size_t i = status ? 0 : result->count; i > 0; i--) {
		const struct store_kv *kv = &result->kvs[i - 1];
		json_t *entry =
			configrev_summary(configrev_parse_key(kv->key), kv->value, kv->value_len);

		if (entry)
			json_array_append_new(list, entry);
	}
	history->done(status, list, history->ctx);
	json_decref(list);
	talloc_free(history);
}

void configrepo_history(struct configrepo *repo, uint32_t limit,
			void (*done)(int status, json_t *history, void *ctx), void *ctx)
{
	struct history *history = talloc_zero(repo, struct history);
	uint64_t wanted = limit < HISTORY_READ_MAX_REVISIONS ? limit : HISTORY_READ_MAX_REVISIONS;
	uint64_t first = repo->head > wanted ? repo->head - wanted + 1 : 1;
	char *key = configrev_key(history, first);
	struct callref *calls = callref_create(repo->store, history);

	history->done = done;
	history->ctx = ctx;
	store_range_from(repo->store, key, CONFIGREV_PREFIX, 0,
			 (struct store_cb){on_history, callref_begin(calls)});
}
