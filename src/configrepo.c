#include "configrepo.h"

#include "configrepo_internal.h"
#include "configrev.h"
#include "log.h"
#include "store_internal.h"

#include <inttypes.h>
#include <stdatomic.h>
#include <string.h>

#define RECORDS_PER_READ 64
#define RETRY_BASE_MS 100
#define RETRY_MAX_MS 1000
#define POLL_INTERVAL_MS 60000 /* finds what the watch missed; costs 0.02 reads/s per entry */

/* Parent of a parsed struct config, freed with the last reference to it. */
struct config_shared {
	atomic_uint refs;
	struct config *config;
};

static void read_changes(struct configrepo *repo);

static void release_shared(struct config_shared *shared)
{
	if (shared && atomic_fetch_sub(&shared->refs, 1) == 1)
		talloc_free(shared);
}

struct config *configrepo_current(struct configrepo *repo)
{
	struct config *config = NULL;

	pthread_mutex_lock(&repo->lock);
	if (repo->current) {
		atomic_fetch_add(&repo->current->refs, 1);
		config = repo->current->config;
	}
	pthread_mutex_unlock(&repo->lock);
	return config;
}

void configrepo_release(struct configrepo *repo, struct config *config)
{
	if (config)
		release_shared(talloc_parent(config));
}

uint64_t configrepo_revision(struct configrepo *repo)
{
	uint64_t revision;

	pthread_mutex_lock(&repo->lock);
	revision = repo->current ? repo->current->config->revision : 0;
	pthread_mutex_unlock(&repo->lock);
	return revision;
}

static void log_problems(uint64_t revision, const struct config_problems *problems)
{
	const struct config_problem *first = &problems->items[0];

	log_error("config_unreadable", "",
		  "revision %" PRIu64 " cannot be parsed by this build and is not in force; %zu "
		  "problems, the first: %s:%u: %s: %s",
		  revision, problems->count, first->file, first->line, first->field,
		  first->message);
}

/* Returns false when the files cannot be parsed or the revision is not newer than that in force. */
static bool put_in_force(struct configrepo *repo, uint64_t revision, json_t *files)
{
	struct config_shared *shared;
	struct config_shared *old;
	struct config_problems problems;

	if (revision <= configrepo_revision(repo))
		return false;
	shared = talloc_zero(NULL, struct config_shared);
	shared->config = config_parse(shared, files, &problems);
	if (!shared->config) {
		log_problems(revision, &problems);
		metrics_count(repo->metrics, "jaycourse_config_unreadable_total", "",
			      "Revisions that this build could not read");
		talloc_free(shared);
		return false;
	}
	shared->config->revision = revision;
	atomic_store(&shared->refs, 1);
	pthread_mutex_lock(&repo->lock);
	old = repo->current;
	repo->current = shared;
	pthread_mutex_unlock(&repo->lock);
	release_shared(old);
	metrics_set(repo->metrics, repo->revision_gauge, revision);
	log_info("config_in_force", "", "revision %" PRIu64, revision);
	if (repo->on_change)
		repo->on_change(revision, repo->ctx);
	return true;
}

/* Takes ownership of @files. */
static void set_head(struct configrepo *repo, uint64_t revision, json_t *files)
{
	json_decref(repo->files);
	repo->files = files;
	repo->head = revision;
	put_in_force(repo, revision, files);
}

bool configrepo_advance(struct configrepo *repo, const char *record, size_t len)
{
	json_t *files = configrev_apply(record, len, repo->head, repo->files);

	if (!files) {
		log_error("config_mismatch", "",
			  "the record of revision %" PRIu64
			  " does not apply to the revision before it",
			  repo->head + 1);
		return false;
	}
	set_head(repo, repo->head + 1, files);
	return true;
}

static void on_sync_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			  void *ctx)
{
	struct configrepo *repo = ctx;

	repo->timer = NULL;
	configrepo_sync(repo);
}

static void schedule_sync(struct configrepo *repo, uint32_t delay_ms)
{
	TALLOC_FREE(repo->timer);
	repo->timer = store_timer(repo->ev, repo, delay_ms, on_sync_timer, repo);
}

static void end_sync(struct configrepo *repo, int status)
{
	bool again = repo->sync_again;

	repo->syncing = false;
	repo->sync_again = false;
	repo->gap = false;
	if (status) {
		metrics_count_retry(repo->metrics, "config_read");
		schedule_sync(repo, store_backoff_ms(&repo->rng, repo->failures++, RETRY_BASE_MS,
						     RETRY_MAX_MS));
	} else {
		repo->failures = 0;
		schedule_sync(repo,
			      store_backoff_ms(&repo->rng, 0, POLL_INTERVAL_MS, POLL_INTERVAL_MS));
	}
	configapply_synced(repo, status);
	if (again && !status)
		configrepo_sync(repo);
}

static void on_snapshot(int status, const struct store_result *result, void *ctx)
{
	struct configrepo *repo = callref_end(ctx);
	uint64_t revision = 0;
	json_t *files = NULL;

	if (!repo)
		return;
	if (status) {
		end_sync(repo, status);
		return;
	}
	if (result->count > 0) {
		files = configrev_read_snapshot(result->kvs[0].value, result->kvs[0].value_len,
						&revision);
		repo->snapshot_mod_revision = result->kvs[0].mod_revision;
		repo->snapshot = revision;
	}
	if (files && revision > repo->head) {
		set_head(repo, revision, files);
		read_changes(repo);
		return;
	}
	json_decref(files);
	/* Neither records nor a snapshot lead beyond the head; only a later snapshot can. */
	if (repo->gap) {
		log_error("config_gap", "", "no usable record follows revision %" PRIu64,
			  repo->head);
		end_sync(repo, -ERR_UNAVAILABLE);
		return;
	}
	read_changes(repo);
}

static void read_snapshot(struct configrepo *repo)
{
	store_get(repo->store, CONFIGREV_SNAPSHOT,
		  (struct store_cb){on_snapshot, callref_begin(repo->calls)});
}

static void on_changes(int status, const struct store_result *result, void *ctx)
{
	struct configrepo *repo = callref_end(ctx);
	bool fits = true;

	if (!repo)
		return;
	if (status) {
		end_sync(repo, status);
		return;
	}
	for (size_t i = 0; i < result->count && fits; i++) {
		const struct store_kv *kv = &result->kvs[i];
		uint64_t revision = configrev_parse_key(kv->key);

		if (revision <= repo->head)
			continue;
		fits = revision == repo->head + 1 &&
		       configrepo_advance(repo, kv->value, kv->value_len);
	}
	repo->gap = !fits;
	if (!fits && repo->head > 0)
		read_snapshot(repo);
	else if (fits && (result->more || result->count == RECORDS_PER_READ))
		read_changes(repo);
	else
		end_sync(repo, fits ? 0 : -ERR_UNAVAILABLE);
}

static void read_changes(struct configrepo *repo)
{
	char *first = configrev_key(NULL, repo->head + 1);

	store_range_from(repo->store, first, CONFIGREV_PREFIX, RECORDS_PER_READ,
			 (struct store_cb){on_changes, callref_begin(repo->calls)});
	talloc_free(first);
}

void configrepo_sync(struct configrepo *repo)
{
	if (repo->syncing) {
		repo->sync_again = true;
		return;
	}
	repo->syncing = true;
	if (repo->head == 0)
		read_snapshot(repo);
	else
		read_changes(repo);
}

static void on_watch_change(const struct store_kv *kv, void *ctx)
{
	struct configrepo *repo = ctx;
	uint64_t revision = configrev_parse_key(kv->key);

	if (kv->version == 0 || revision <= repo->head)
		return;
	if (revision != repo->head + 1 || !configrepo_advance(repo, kv->value, kv->value_len))
		configrepo_sync(repo);
}

static void on_watch_resync(void *ctx)
{
	configrepo_sync(ctx);
}

int configrepo_offer(struct configrepo *repo, uint64_t revision, json_t *files)
{
	uint64_t current = configrepo_revision(repo);

	if (revision == current)
		return 0;
	if (revision < current)
		return -ERR_STALE;
	if (!put_in_force(repo, revision, files))
		return -ERR_INVALID;
	if (revision > repo->head) {
		json_decref(repo->files);
		repo->files = json_copy(files);
		repo->head = revision;
	}
	return 0;
}

static int repo_destructor(struct configrepo *repo)
{
	release_shared(repo->current);
	json_decref(repo->files);
	pthread_mutex_destroy(&repo->lock);
	return 0;
}

struct configrepo *configrepo_create(TALLOC_CTX *mem, struct tevent_context *ev,
				     struct store *store, struct metrics *metrics,
				     void (*on_change)(uint64_t revision, void *ctx), void *ctx)
{
	struct configrepo *repo = talloc_zero(mem, struct configrepo);
	struct store_watch_handlers handlers = {on_watch_change, on_watch_resync, repo};

	repo->ev = ev;
	repo->store = store;
	repo->calls = callref_create(store, repo);
	repo->metrics = metrics ? metrics : metrics_create(repo);
	repo->revision_gauge =
		metrics_define(repo->metrics, METRICS_GAUGE, "jaycourse_config_revision", "",
			       "Revision of the configuration in force here");
	repo->on_change = on_change;
	repo->ctx = ctx;
	repo->files = json_object();
	util_random_bytes(&repo->rng.state, sizeof(repo->rng.state));
	pthread_mutex_init(&repo->lock, NULL);
	talloc_set_destructor(repo, repo_destructor);
	repo->watch = store_watch_create(repo, store, CONFIGREV_PREFIX, &handlers);
	return repo;
}
