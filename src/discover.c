#include "discover.h"
#include "fields.h"
#include "jsonread.h"
#include "log.h"
#include "util.h"

#include <jansson.h>
#include <string.h>

#define SEED_TIMEOUT_MS 1000
#define BACKOFF_MIN_MS 250
#define BACKOFF_MAX_MS 15000 /* keeps 510 agents below 70 reads of the store a second */
#define ENTRIES_MAX 64
#define ANSWER_MAX_BYTES (256 * 1024)

struct discover {
	struct discover_deps deps;
	struct util_rng rng;
	struct tevent_timer *timer;
	struct httpc_call *call;
	size_t first_seed; /* random, so that the agents spread over the seeds */
	size_t tried;
	uint32_t backoff_ms;
	bool searching;
	bool reading_store;
};

struct found {
	const char *peers[ENTRIES_MAX];
	const char *addresses[ENTRIES_MAX];
	size_t count;
};

static int discover_destructor(struct discover *discover)
{
	if (discover->call)
		httpc_cancel(discover->call);
	return 0;
}

struct discover *discover_create(TALLOC_CTX *mem, const struct discover_deps *deps)
{
	struct discover *discover = talloc_zero(mem, struct discover);

	discover->deps = *deps;
	discover->backoff_ms = BACKOFF_MIN_MS;
	util_random_bytes(&discover->rng.state, sizeof(discover->rng.state));
	talloc_set_destructor(discover, discover_destructor);
	return discover;
}

static void add_found(struct found *found, json_t *entry)
{
	const char *peer = json_string_value(json_object_get(entry, "peer"));
	const char *address = json_string_value(json_object_get(entry, "peer_address"));

	if (!peer || !address || !jsonread_is_name(peer) || !fields_is_peer_address(address)) {
		log_once("entry_unreadable", peer ? peer : "",
			 "the record of an entry has no usable name or address");
		return;
	}
	if (found->count == ENTRIES_MAX)
		return;
	found->peers[found->count] = peer;
	found->addresses[found->count] = address;
	found->count++;
}

static void query_next_seed(struct discover *discover);

static void on_retry_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			   void *data)
{
	struct discover *discover = data;

	discover->timer = NULL;
	discover->tried = 0;
	if (discover->searching)
		query_next_seed(discover);
}

static void schedule_retry(struct discover *discover)
{
	uint32_t wait_ms = discover->backoff_ms / 2 +
			   (uint32_t)util_rng_below(&discover->rng, discover->backoff_ms);

	metrics_count_retry(discover->deps.metrics, "discovery");
	log_debug("discovery_failed", "", "no entry found; next attempt in %u ms", wait_ms);
	if (discover->backoff_ms < BACKOFF_MAX_MS)
		discover->backoff_ms *= 2;
	discover->timer =
		tevent_add_timer(discover->deps.ev, discover,
				 tevent_timeval_current_ofs(wait_ms / 1000, wait_ms % 1000 * 1000),
				 on_retry_timer, discover);
}

/* Passes the entries to the caller; false when there are none. */
static bool report_found(struct discover *discover, const struct found *found)
{
	if (found->count == 0)
		return false;
	/* The backoff is kept until an entry answers, because all listed entries may be dead. */
	discover->searching = false;
	discover->deps.on_entries((const char **)found->peers, (const char **)found->addresses,
				  found->count, discover->deps.ctx);
	return true;
}

static void on_store_read(int status, const struct store_result *result, void *ctx)
{
	struct discover *discover = ctx;
	struct found found = {0};
	json_t *values = json_array();

	discover->reading_store = false;
	for (size_t i = 0; !status && i < result->count; i++) {
		json_t *value = json_loadb(result->kvs[i].value, result->kvs[i].value_len, 0, NULL);

		json_array_append_new(values, value ? value : json_null());
		add_found(&found, value);
	}
	if (discover->searching && !report_found(discover, &found))
		schedule_retry(discover);
	json_decref(values);
}

static void read_store(struct discover *discover)
{
	struct store_cb cb = {.done = on_store_read, .ctx = discover};

	if (!discover->deps.store) {
		schedule_retry(discover);
		return;
	}
	if (discover->reading_store)
		return;
	discover->reading_store = true;
	store_range(discover->deps.store, "entry/", ENTRIES_MAX, cb);
}

static void on_seed_answer(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct discover *discover = ctx;
	struct found found = {0};
	json_t *root = NULL;
	json_t *entry;
	size_t i;

	discover->call = NULL;
	if (!status && http_status == 200)
		root = jsonread_document(body, len, NULL);
	json_array_foreach(root, i, entry) add_found(&found, entry);
	if (discover->searching && !report_found(discover, &found))
		query_next_seed(discover);
	json_decref(root);
}

static void query_next_seed(struct discover *discover)
{
	const struct settings *settings = discover->deps.settings;
	struct httpc_request request = {
		.method = "GET",
		.timeout_ms = SEED_TIMEOUT_MS,
		.answer_max = ANSWER_MAX_BYTES,
		.done = on_seed_answer,
		.ctx = discover,
	};
	char url[256];

	if (discover->tried >= settings->seed_count) {
		read_store(discover);
		return;
	}
	snprintf(url, sizeof(url), "http://%s/v1/internal/entries",
		 settings->seeds[(discover->first_seed + discover->tried) % settings->seed_count]);
	discover->tried++;
	request.url = url;
	discover->call = httpc_start(discover->deps.http, &request);
	if (!discover->call)
		schedule_retry(discover);
}

void discover_start(struct discover *discover)
{
	if (discover->searching)
		return;
	discover->searching = true;
	discover->tried = 0;
	TALLOC_FREE(discover->timer);
	if (discover->deps.settings->seed_count)
		discover->first_seed =
			util_rng_below(&discover->rng, discover->deps.settings->seed_count);
	if (discover->backoff_ms == BACKOFF_MIN_MS)
		query_next_seed(discover);
	else
		schedule_retry(discover);
}

void discover_stop(struct discover *discover)
{
	discover->searching = false;
	discover->backoff_ms = BACKOFF_MIN_MS;
	TALLOC_FREE(discover->timer);
	if (discover->call)
		httpc_cancel(discover->call);
	discover->call = NULL;
}
