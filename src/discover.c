#include "discover.h"
#include "log.h"
#include "util.h"

#include <jansson.h>
#include <string.h>

#define SEED_TIMEOUT_MS 1000
#define BACKOFF_MIN_MS 250
#define BACKOFF_MAX_MS 15000 /* 510 agents then read the store less than 70 times a second */
#define ENTRIES_MAX 64
#define ANSWER_MAX_BYTES (256 * 1024)

struct discover {
	struct discover_deps deps;
	struct util_rng rng;
	struct tevent_timer *timer;
	struct httpc_call *call;
	size_t first_seed; /* random, so that agents spread over the seeds */
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

static int discover_destructor(struct discover *d)
{
	if (d->call)
		httpc_cancel(d->call);
	return 0;
}

struct discover *discover_create(TALLOC_CTX *mem, const struct discover_deps *deps)
{
	struct discover *d = talloc_zero(mem, struct discover);

	d->deps = *deps;
	d->backoff_ms = BACKOFF_MIN_MS;
	util_random_bytes(&d->rng.state, sizeof(d->rng.state));
	talloc_set_destructor(d, discover_destructor);
	return d;
}

static void add_found(struct found *found, json_t *entry)
{
	const char *peer = json_string_value(json_object_get(entry, "peer"));
	const char *address = json_string_value(json_object_get(entry, "peer_address"));

	if (!peer || !address || found->count == ENTRIES_MAX)
		return;
	found->peers[found->count] = peer;
	found->addresses[found->count] = address;
	found->count++;
}

static void try_next(struct discover *d);

static void retry_event(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			void *data)
{
	struct discover *d = data;

	d->timer = NULL;
	d->tried = 0;
	if (d->searching)
		try_next(d);
}

static void back_off(struct discover *d)
{
	uint32_t wait = d->backoff_ms / 2 + (uint32_t)util_rng_below(&d->rng, d->backoff_ms);

	metrics_retry(d->deps.metrics, "discovery");
	log_debug("discovery_failed", "", "no entry found; next attempt in %u ms", wait);
	if (d->backoff_ms < BACKOFF_MAX_MS)
		d->backoff_ms *= 2;
	d->timer = tevent_add_timer(d->deps.ev, d,
				    tevent_timeval_current_ofs(wait / 1000, wait % 1000 * 1000),
				    retry_event, d);
}

/* Hands the entries over; false when there are none. */
static bool hand_over(struct discover *d, const struct found *found)
{
	if (found->count == 0)
		return false;
	/* The backoff stays until an entry answers: the list may name dead ones only. */
	d->searching = false;
	d->deps.on_entries((const char **)found->peers, (const char **)found->addresses,
			   found->count, d->deps.ctx);
	return true;
}

static void on_store(int status, const struct store_result *result, void *ctx)
{
	struct discover *d = ctx;
	struct found found = {0};
	json_t *values = json_array();

	d->reading_store = false;
	for (size_t i = 0; !status && i < result->count; i++) {
		json_t *value = json_loadb(result->kvs[i].value, result->kvs[i].value_len, 0, NULL);

		json_array_append_new(values, value ? value : json_null());
		add_found(&found, value);
	}
	if (d->searching && !hand_over(d, &found))
		back_off(d);
	json_decref(values);
}

static void read_store(struct discover *d)
{
	struct store_cb cb = {.done = on_store, .ctx = d};

	if (!d->deps.store) {
		back_off(d);
		return;
	}
	if (d->reading_store)
		return;
	d->reading_store = true;
	store_range(d->deps.store, "entry/", ENTRIES_MAX, cb);
}

static void on_seed(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct discover *d = ctx;
	struct found found = {0};
	json_t *root = NULL;
	json_t *entry;
	size_t i;

	d->call = NULL;
	if (!status && http_status == 200)
		root = json_loadb(body, len, 0, NULL);
	json_array_foreach(root, i, entry) add_found(&found, entry);
	if (d->searching && !hand_over(d, &found))
		try_next(d);
	json_decref(root);
}

static void try_next(struct discover *d)
{
	const struct settings *settings = d->deps.settings;
	struct httpc_request request = {
		.method = "GET",
		.timeout_ms = SEED_TIMEOUT_MS,
		.answer_max = ANSWER_MAX_BYTES,
		.done = on_seed,
		.ctx = d,
	};
	char url[256];

	if (d->tried >= settings->seed_count) {
		read_store(d);
		return;
	}
	snprintf(url, sizeof(url), "http://%s/v1/internal/entries",
		 settings->seeds[(d->first_seed + d->tried) % settings->seed_count]);
	d->tried++;
	request.url = url;
	d->call = httpc_start(d->deps.http, &request);
	if (!d->call)
		back_off(d);
}

void discover_start(struct discover *d)
{
	if (d->searching)
		return;
	d->searching = true;
	d->tried = 0;
	TALLOC_FREE(d->timer);
	if (d->deps.settings->seed_count)
		d->first_seed = util_rng_below(&d->rng, d->deps.settings->seed_count);
	if (d->backoff_ms == BACKOFF_MIN_MS)
		try_next(d);
	else
		back_off(d);
}

void discover_stop(struct discover *d)
{
	d->searching = false;
	d->backoff_ms = BACKOFF_MIN_MS;
	TALLOC_FREE(d->timer);
	if (d->call)
		httpc_cancel(d->call);
	d->call = NULL;
}
