#include "configrepo.h"
#include "configrepo_internal.h"
#include "configrev.h"
#include "log.h"
#include "store_internal.h"

#include <inttypes.h>
#include <string.h>

#define APPLY_MAX_MS 10000 /* an operator waits; longer says no more than "unknown" */
#define RETRY_BASE_MS 100
#define RETRY_MAX_MS 1000
#define SNAPSHOT_EVERY 64 /* revisions; bounds what a starting node reads */
#define HISTORY_KEPT 1024 /* revisions before the snapshot; older records are deleted */
#define HISTORY_READ_MAX 256
#define OPS_MAX 128 /* of one transaction, limit of the protocol */
#define OPERATION_BYTES 8

/* One configrepo_apply(), child of the repository. */
struct config_job {
	struct config_job *next; /* in the waiting list */
	struct configrepo *repo;
	json_t *files;
	char *by;
	char *message;
	uint64_t base;
	bool first; /* this node had no configuration when it was asked */
	char operation[2 * OPERATION_BYTES + 1];
	uint64_t started_ms;
	uint64_t revision; /* being written, 0: none yet */
	char *record;
	char *key;
	uint32_t attempts;
	bool next_reading; /* waits for the reading after the one under way */
	bool unknown;	   /* a write may still take effect */
	struct tevent_immediate *immediate;
	struct tevent_timer *timer;
	int status;
	char *text;
	void (*done)(int status, uint64_t revision, const char *text, void *ctx);
	void *ctx;
};

static void write_revision(struct config_job *job);
static void read_back(struct config_job *job);
static void committed(struct config_job *job);

static int job_destructor(struct config_job *job)
{
	json_decref(job->files);
	return 0;
}

static void finish(struct config_job *job, int status, uint64_t revision, const char *text)
{
	if (status)
		metrics_refusal(job->repo->metrics, "config_apply");
	log_info("config_apply", job->operation, "by %s: status %d, revision %" PRIu64, job->by,
		 status, revision);
	job->done(status, revision, text, job->ctx);
	talloc_free(job);
}

static void finish_conflict(struct config_job *job)
{
	struct configrepo *repo = job->repo;
	char *text = talloc_asprintf(job,
				     "Revision %" PRIu64 " came first. Applied on top of it, this "
				     "folder would change:\n%s",
				     repo->head, config_diff(job, repo->files, job->files));

	finish(job, -ERR_CONFLICT, repo->head, text);
}

/* The outcome of a write that may have taken effect stays open until it has been read back. */
static void give_up(struct config_job *job, int status)
{
	if (job->unknown)
		finish(job, -ERR_OUTCOME_UNKNOWN, 0,
		       "The write was sent and its outcome could not be read. Look at the history "
		       "before applying again.");
	else
		finish(job, status, job->repo->head,
		       "The store is not reachable and nothing was written. Apply again later.");
}

static void wait_for_sync(struct config_job *job)
{
	/* A reading under way may have passed the newest record already. */
	job->next_reading = job->repo->syncing;
	job->next = job->repo->waiting;
	job->repo->waiting = job;
	configrepo_sync(job->repo);
}

static void on_read_back(int status, const struct store_result *result, void *ctx)
{
	struct config_job *job = ctx;
	const struct store_kv *kv = result && result->count ? &result->kvs[0] : NULL;

	if (status)
		read_back(job);
	else if (!kv && job->unknown)
		write_revision(job); /* the same operation again: at most one takes effect */
	else if (kv && configrev_is_operation(kv->value, kv->value_len, job->operation))
		committed(job);
	else
		wait_for_sync(job); /* lost the race */
}

static void on_read_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			  void *ctx)
{
	struct config_job *job = ctx;

	job->timer = NULL;
	store_get(job->repo->store, job->key, (struct store_cb){on_read_back, job});
}

static void read_back(struct config_job *job)
{
	if (util_clock_ms() - job->started_ms > APPLY_MAX_MS) {
		give_up(job, -ERR_CONFLICT); /* unless a write may still take effect */
		return;
	}
	metrics_retry(job->repo->metrics, "config_read_back");
	job->timer = store_timer(
		job->repo->ev, job,
		store_backoff_ms(&job->repo->rng, job->attempts++, RETRY_BASE_MS, RETRY_MAX_MS),
		on_read_timer, job);
}

static void on_snapshot_written(int status, const struct store_result *result, void *ctx)
{
	struct configrepo *repo = ctx;

	if (status == 0)
		repo->snapshot_mod = result->revision;
	if (status == -ERR_CONFLICT && result->count > 0) {
		json_decref(configrev_read_snapshot(result->kvs[0].value, result->kvs[0].value_len,
						    &repo->snapshot));
		repo->snapshot_mod = result->kvs[0].mod_revision;
	}
	if (status && status != -ERR_CONFLICT)
		log_warn("config_snapshot", "", "not written: %s", err_name(status));
}

/* Records that no starting node and no history needs any more go with the new snapshot. */
static size_t add_deletions(TALLOC_CTX *mem, struct store_op *ops, size_t max, uint64_t snapshot)
{
	size_t count = 0;
	uint64_t last = snapshot > HISTORY_KEPT ? snapshot - HISTORY_KEPT : 0;

	for (uint64_t r = last; r > 0 && count < max; r--)
		ops[count++] =
			(struct store_op){.kind = STORE_DELETE, .key = configrev_key(mem, r)};
	return count;
}

static void write_snapshot(struct configrepo *repo)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	char *text = configrev_snapshot(mem, repo->head, repo->files);
	struct store_compare compare = {STORE_MOD_REVISION_IS, CONFIGREV_SNAPSHOT,
					repo->snapshot_mod, NULL};
	struct store_op ops[OPS_MAX] = {{.kind = STORE_PUT,
					 .key = CONFIGREV_SNAPSHOT,
					 .value = text,
					 .value_len = strlen(text)}};
	size_t count = 1 + add_deletions(mem, ops + 1, OPS_MAX - 1, repo->head);

	repo->snapshot = repo->head;
	store_txn(repo->store, &compare, 1, ops, count,
		  (struct store_cb){on_snapshot_written, repo});
	talloc_free(mem);
}

static void committed(struct config_job *job)
{
	struct configrepo *repo = job->repo;
	uint64_t revision = job->revision;

	/* The watch may have brought the record already, or a newer one may be known. */
	if (repo->head + 1 == revision)
		configrepo_advance(repo, job->record, strlen(job->record));
	else if (repo->head < revision)
		configrepo_sync(repo);
	if (repo->head == revision && revision >= repo->snapshot + SNAPSHOT_EVERY)
		write_snapshot(repo);
	finish(job, 0, revision, "");
}

static void on_written(int status, const struct store_result *result, void *ctx)
{
	struct config_job *job = ctx;

	if (status == 0) {
		committed(job);
	} else if (status == -ERR_OUTCOME_UNKNOWN) {
		job->unknown = true;
		read_back(job);
	} else if (status == -ERR_CONFLICT || job->unknown) {
		/* An earlier attempt of the same operation may be the winner. */
		read_back(job);
	} else if (status == -ERR_TOO_LARGE || status == -ERR_INVALID) {
		finish(job, -ERR_INVALID, job->repo->head,
		       "The change is over the store's limit of 1 MB. Apply it in parts.");
	} else {
		give_up(job, -ERR_UNAVAILABLE);
	}
}

/* The parent's record must be there: the records of old revisions are deleted, and a process
 * that was paused for long must not create one of them anew. */
static void write_revision(struct config_job *job)
{
	struct configrepo *repo = job->repo;
	char *parent = configrev_key(job, job->revision - 1);
	struct store_compare compares[] = {{STORE_VERSION_IS, job->key, 0, NULL},
					   {STORE_VERSION_IS, parent, 1, NULL}};
	struct store_op op = {.kind = STORE_PUT,
			      .key = job->key,
			      .value = job->record,
			      .value_len = strlen(job->record)};

	store_txn(repo->store, compares, job->revision > 1 ? 2 : 1, &op, 1,
		  (struct store_cb){on_written, job});
}

static bool fits_snapshot(struct config_job *job)
{
	char *text = configrev_snapshot(job, UINT64_MAX / 2, job->files);
	bool fits = strlen(text) <= STORE_VALUE_MAX;

	talloc_free(text);
	return fits;
}

static void start_write(struct config_job *job)
{
	struct configrepo *repo = job->repo;
	struct configrepo_apply request = {
		.files = job->files, .by = job->by, .message = job->message};

	/* Without a base, a node that has just started must not replace what it did not know. */
	if ((job->base && job->base != repo->head) || (!job->base && job->first && repo->head)) {
		finish_conflict(job);
		return;
	}
	if (json_equal(job->files, repo->files)) {
		finish(job, 0, repo->head, "Nothing differs from the revision in force.");
		return;
	}
	if (!fits_snapshot(job)) {
		finish(job, -ERR_INVALID, repo->head,
		       "The folder is over the store's limit of 1 MB. Remove decisions.");
		return;
	}
	job->revision = repo->head + 1;
	job->key = configrev_key(job, job->revision);
	job->record = configrev_record(job, repo->head, job->operation, &request, repo->files);
	write_revision(job);
}

static void wait_longer(struct config_job *job)
{
	job->next_reading = false;
	job->next = job->repo->waiting;
	job->repo->waiting = job;
}

void configapply_synced(struct configrepo *repo, int status)
{
	struct config_job *job = repo->waiting;

	repo->waiting = NULL;
	while (job) {
		struct config_job *next = job->next;

		if (status)
			give_up(job, -ERR_UNAVAILABLE);
		else if (job->next_reading)
			wait_longer(job);
		else if (job->revision) /* lost the race for this revision */
			finish_conflict(job);
		else
			start_write(job);
		job = next;
	}
}

static char *problem_text(TALLOC_CTX *mem, const struct config_problems *problems)
{
	char *text = talloc_strdup(mem, "");

	for (size_t i = 0; i < problems->count; i++) {
		const struct config_problem *p = &problems->items[i];

		text = talloc_asprintf_append_buffer(text, "%s:%u: %s: %s. %s\n", p->file, p->line,
						     p->field, p->message, p->remedy);
	}
	return text;
}

/*
 * The planned fleet, when there is one, was checked by config_parse(). When the guarantees in
 * force do not fit the announced workers either, workers are lost, and operators must still be
 * able to change the configuration.
 */
static int check_announced(struct config_job *job, const struct config *config,
			   const struct configrepo_apply *request)
{
	struct config *current;
	struct err err;
	int status;

	if (config->fleet_count > 0 || request->worker_count == 0)
		return 0;
	status = config_check_guarantees(config, request->workers, request->worker_count, &err);
	current = status ? configrepo_current(job->repo) : NULL;
	if (current &&
	    config_check_guarantees(current, request->workers, request->worker_count, NULL))
		status = 0;
	configrepo_release(job->repo, current);
	if (status)
		job->text = talloc_asprintf(job, "%s. %s\n", err.message, err.remedy);
	return status;
}

/* Checks the folder before anything is written. */
static int check(struct config_job *job, const struct configrepo_apply *request)
{
	TALLOC_CTX *mem = talloc_new(job);
	struct config_problems problems;
	struct config *config = config_parse(mem, request->files, &problems);
	int status = -ERR_INVALID;

	if (config)
		status = check_announced(job, config, request);
	else
		job->text = problem_text(job, &problems);
	talloc_free(mem);
	return status;
}

static void begin(struct tevent_context *ev, struct tevent_immediate *immediate, void *ctx)
{
	struct config_job *job = ctx;

	if (job->status) {
		finish(job, job->status, job->repo->head, job->text);
		return;
	}
	wait_for_sync(job);
}

static void set_operation(struct config_job *job)
{
	unsigned char bytes[OPERATION_BYTES];

	util_random_bytes(bytes, sizeof(bytes));
	for (size_t i = 0; i < sizeof(bytes); i++)
		snprintf(job->operation + 2 * i, 3, "%02x", bytes[i]);
}

void configrepo_apply(struct configrepo *repo, const struct configrepo_apply *request,
		      void (*done)(int status, uint64_t revision, const char *text, void *ctx),
		      void *ctx)
{
	struct config_job *job = talloc_zero(repo, struct config_job);

	job->repo = repo;
	job->files = json_is_object(request->files) ? json_copy(request->files) : json_object();
	job->by = talloc_strdup(job, request->by ? request->by : "");
	job->message = talloc_strdup(job, request->message ? request->message : "");
	job->base = request->base_revision;
	job->first = configrepo_revision(repo) == 0;
	job->started_ms = util_clock_ms();
	job->done = done;
	job->ctx = ctx;
	talloc_set_destructor(job, job_destructor);
	set_operation(job);
	job->status = check(job, request);
	job->immediate = tevent_create_immediate(job);
	tevent_schedule_immediate(job->immediate, repo->ev, begin, job);
}

struct history {
	void (*done)(int status, json_t *history, void *ctx);
	void *ctx;
};

static void on_history(int status, const struct store_result *result, void *ctx)
{
	struct history *history = ctx;
	json_t *list = status ? NULL : json_array();

	for (size_t i = status ? 0 : result->count; i > 0; i--) {
		const struct store_kv *kv = &result->kvs[i - 1];
		json_t *entry =
			configrev_summary(configrev_number(kv->key), kv->value, kv->value_len);

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
	uint64_t wanted = limit < HISTORY_READ_MAX ? limit : HISTORY_READ_MAX;
	uint64_t first = repo->head > wanted ? repo->head - wanted + 1 : 1;
	char *key = configrev_key(history, first);

	history->done = done;
	history->ctx = ctx;
	store_range_from(repo->store, key, CONFIGREV_PREFIX, 0,
			 (struct store_cb){on_history, history});
}
