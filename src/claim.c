#include "claim.h"
#include "log.h"
#include "store_internal.h"
#include "util.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define BATCH_MAX 32 /* claims in one transaction; the store allows 128 operations */
#define WRITES_MAX 4 /* attempts to write one claim while the outcome stays unknown */
#define KEY_MAX 32
/* Claims of the same TTL share a lease; new claims use a lease for this long after its grant. */
#define LEASE_ROTATE_MS 60000
/* Added to the TTL of the lease, so that it outlives a claim made just before the rotation. */
#define LEASE_MARGIN_S 120
#define DEFAULT_TTL_S 600
#define RELEASE_RETRY_MIN_MS 200
#define RELEASE_RETRY_MAX_MS 5000
#define RELEASE_GIVE_UP_MS 600000 /* most claims have expired by then */

struct pending_claim {
	struct pending_claim *next;
	char key[KEY_MAX]; /* in the store */
	char *value;
	struct claim_record record;
	uint32_t ttl_s;
	uint32_t writes; /* transactions so far that did not fail by a conflict */
	void (*done)(int status, const struct claim_record *found, void *ctx);
	void *ctx;
};

struct lease {
	struct lease *next;
	struct claims *claims;
	uint32_t ttl_s;
	int64_t id; /* 0 until granted */
	uint64_t granted_ms;
	bool grant_pending;
};

/* The deletion of the claim of a request that did not run. */
struct release {
	struct release *next;
	struct claims *claims;
	char key[KEY_MAX];
	int64_t mod_revision;
	uint64_t give_up_ms;
	uint32_t failures;
};

struct claims {
	struct tevent_context *ev;
	struct store *store;
	struct metrics *metrics;
	struct pending_claim *waiting_first; /* list in order of arrival */
	struct pending_claim **waiting_last;
	struct pending_claim *batch[BATCH_MAX]; /* in the transaction in flight */
	size_t batch_count;
	struct lease *leases;
	struct release *releases; /* in progress */
	struct tevent_immediate *flush_event;
	struct util_rng rng;
	int metric_writes;
};

struct claims *claims_create(TALLOC_CTX *mem, struct tevent_context *ev, struct store *store,
			     struct metrics *metrics)
{
	struct claims *claims = talloc_zero(mem, struct claims);

	claims->ev = ev;
	claims->store = store;
	claims->metrics = metrics;
	claims->waiting_last = &claims->waiting_first;
	claims->flush_event = tevent_create_immediate(claims);
	util_random_bytes(&claims->rng.state, sizeof(claims->rng.state));
	claims->metric_writes =
		metrics_define(metrics, METRICS_COUNTER, "jaycourse_claim_writes_total", "",
			       "Transactions that write claims of idempotency keys");
	return claims;
}

uint64_t claim_hash(const char *organisation, const char *service, const char *key)
{
	uint64_t hash = util_hash64(organisation, strlen(organisation) + 1, 0);

	hash = util_hash64(service, strlen(service) + 1, hash);
	hash = util_hash64(key, strlen(key), hash);
	return hash ? hash : 1;
}

static void claim_key(uint64_t hash, char *out)
{
	snprintf(out, KEY_MAX, "claim/%016" PRIx64, hash);
}

static char *encode_record(TALLOC_CTX *mem, const struct claim_record *record)
{
	json_t *json;
	char *text;
	char *copy;

	json = json_pack("{s:s, s:s, s:s, s:s, s:s, s:s}", "entry", record->entry, "agent",
			 record->agent, "organisation", record->organisation, "service",
			 record->service, "key", record->key, "mark", record->mark);
	text = json_dumps(json, JSON_COMPACT | JSON_ENSURE_ASCII);
	copy = talloc_strdup(mem, text ? text : "{}");
	free(text);
	json_decref(json);
	return copy;
}

static void enqueue_claim(struct claims *claims, struct pending_claim *pending, bool front)
{
	pending->next = NULL;
	if (front) {
		pending->next = claims->waiting_first;
		if (!claims->waiting_first)
			claims->waiting_last = &pending->next;
		claims->waiting_first = pending;
		return;
	}
	*claims->waiting_last = pending;
	claims->waiting_last = &pending->next;
}

static struct pending_claim *dequeue_claim(struct claims *claims)
{
	struct pending_claim *pending = claims->waiting_first;

	if (!pending)
		return NULL;
	claims->waiting_first = pending->next;
	if (!claims->waiting_first)
		claims->waiting_last = &claims->waiting_first;
	return pending;
}

static void finish_claim(struct pending_claim *pending, int status,
			 const struct claim_record *found)
{
	pending->done(status, found, pending->ctx);
	talloc_free(pending);
}

static void finish_with_kv(struct pending_claim *pending, const struct store_kv *kv)
{
	json_t *json = json_loadb(kv->value, kv->value_len, 0, NULL);
	struct claim_record found = {.mod_revision = kv->mod_revision};
	int unpack_failed;

	unpack_failed =
		json_unpack(json, "{s:s, s:s, s:s, s:s, s:s, s:s}", "entry", &found.entry, "agent",
			    &found.agent, "organisation", &found.organisation, "service",
			    &found.service, "key", &found.key, "mark", &found.mark);
	if (unpack_failed) {
		log_error("claim_malformed", "", "%s holds a value that is not a claim", kv->key);
		finish_claim(pending, -ERR_UNAVAILABLE, NULL);
	} else {
		finish_claim(pending, strcmp(found.mark, pending->record.mark) ? -ERR_CONFLICT : 0,
			     &found);
	}
	json_decref(json);
}

static const struct store_kv *find_kv(const struct store_result *result, const char *key)
{
	for (size_t i = 0; result && i < result->count; i++) {
		if (!strcmp(result->kvs[i].key, key) && result->kvs[i].version)
			return &result->kvs[i];
	}
	return NULL;
}

static void write_again(struct claims *claims, struct pending_claim *pending)
{
	if (pending->writes >= WRITES_MAX)
		finish_claim(pending, -ERR_UNAVAILABLE, NULL);
	else
		enqueue_claim(claims, pending, true);
}

/* True while the deletion of that claim, whose request did not run, is in progress. */
static bool is_being_released(const struct claims *claims, const struct store_kv *kv)
{
	for (const struct release *release = claims->releases; release; release = release->next) {
		if (release->mod_revision == kv->mod_revision && !strcmp(release->key, kv->key))
			return true;
	}
	return false;
}

/*
 * Handles one claim of a transaction that failed because a compare did not match. If the store
 * holds another revision of this claim, the caller receives the stored claim, unless that is being
 * deleted and can be replaced. Otherwise the compare of another claim failed or the stored claim
 * is gone, and this claim is written again.
 */
static void resolve_conflict(struct claims *claims, struct pending_claim *pending,
			     const struct store_result *result)
{
	const struct store_kv *kv = find_kv(result, pending->key);

	if (kv && kv->mod_revision != pending->record.mod_revision &&
	    !is_being_released(claims, kv)) {
		finish_with_kv(pending, kv);
		return;
	}
	/* Without a claim to be replaced, a new one is created. */
	pending->record.mod_revision = kv ? kv->mod_revision : 0;
	pending->writes--;
	write_again(claims, pending);
}

static void schedule_flush(struct claims *claims);

static void on_written(int status, const struct store_result *result, void *ctx)
{
	struct claims *claims = ctx;
	struct pending_claim *batch[BATCH_MAX];
	size_t count = claims->batch_count;

	memcpy(batch, claims->batch, sizeof(batch));
	claims->batch_count = 0;
	for (size_t i = count; i-- > 0;) {
		struct pending_claim *pending = batch[i];

		if (!status) {
			pending->record.mod_revision = result->revision;
			finish_claim(pending, 0, &pending->record);
		} else if (status == -ERR_CONFLICT) {
			resolve_conflict(claims, pending, result);
		} else if (status == -ERR_OUTCOME_UNKNOWN) {
			/*
			 * The compare makes it safe to repeat the write. If the first write
			 * took effect, the repeat conflicts and finds the mark of this claim.
			 */
			write_again(claims, pending);
		} else {
			finish_claim(pending, -ERR_UNAVAILABLE, NULL);
		}
	}
	schedule_flush(claims);
}

static struct lease *find_lease(struct claims *claims, uint32_t ttl_s)
{
	struct lease *lease = claims->leases;

	while (lease && lease->ttl_s != ttl_s)
		lease = lease->next;
	if (lease)
		return lease;
	lease = talloc_zero(claims, struct lease);
	lease->claims = claims;
	lease->ttl_s = ttl_s;
	lease->next = claims->leases;
	claims->leases = lease;
	return lease;
}

static void fail_waiting(struct claims *claims, uint32_t ttl_s)
{
	struct pending_claim *pending = claims->waiting_first;

	claims->waiting_first = NULL;
	claims->waiting_last = &claims->waiting_first;
	while (pending) {
		struct pending_claim *next = pending->next;

		if (pending->ttl_s == ttl_s)
			finish_claim(pending, -ERR_UNAVAILABLE, NULL);
		else
			enqueue_claim(claims, pending, false);
		pending = next;
	}
}

static void on_granted(int status, const struct store_result *result, void *ctx)
{
	struct lease *lease = ctx;

	lease->grant_pending = false;
	if (status) {
		fail_waiting(lease->claims, lease->ttl_s);
		return;
	}
	lease->id = result->lease;
	lease->granted_ms = util_clock_ms();
	schedule_flush(lease->claims);
}

/* Returns a lease that outlives claims made now, or requests one and returns 0. */
static int64_t get_lease(struct claims *claims, uint32_t ttl_s)
{
	struct lease *lease = find_lease(claims, ttl_s);
	struct store_cb cb = {on_granted, lease};

	if (lease->id && util_clock_ms() - lease->granted_ms < LEASE_ROTATE_MS)
		return lease->id;
	if (!lease->grant_pending) {
		lease->grant_pending = true;
		store_lease_grant(claims->store, ttl_s + LEASE_MARGIN_S, cb);
	}
	return 0;
}

static void add_to_batch(struct claims *claims, struct pending_claim *pending, int64_t lease,
			 struct store_compare *compare, struct store_op *op)
{
	claims->batch[claims->batch_count++] = pending;
	pending->writes++;
	*compare = (struct store_compare){.kind = STORE_VERSION_IS, .key = pending->key};
	if (pending->record.mod_revision) {
		compare->kind = STORE_MOD_REVISION_IS;
		compare->number = pending->record.mod_revision;
	}
	*op = (struct store_op){.kind = STORE_PUT,
				.key = pending->key,
				.value = pending->value,
				.value_len = strlen(pending->value),
				.lease = lease};
}

/* Two claims of the same key cannot share a transaction. */
static bool key_in_batch(const struct claims *claims, const char *key)
{
	for (size_t i = 0; i < claims->batch_count; i++) {
		if (!strcmp(claims->batch[i]->key, key))
			return true;
	}
	return false;
}

static void flush_now(struct tevent_context *ev, struct tevent_immediate *im, void *data)
{
	struct claims *claims = data;
	struct store_compare compares[BATCH_MAX];
	struct store_op ops[BATCH_MAX];
	struct pending_claim *kept = NULL;
	struct pending_claim **kept_last = &kept;
	struct store_cb cb = {on_written, claims};
	struct pending_claim *pending;

	if (claims->batch_count)
		return;
	while (claims->batch_count < BATCH_MAX && (pending = dequeue_claim(claims))) {
		int64_t lease = get_lease(claims, pending->ttl_s);

		if (lease && !key_in_batch(claims, pending->key)) {
			size_t at = claims->batch_count;

			add_to_batch(claims, pending, lease, &compares[at], &ops[at]);
			continue;
		}
		pending->next = NULL;
		*kept_last = pending;
		kept_last = &pending->next;
	}
	while (kept) {
		pending = kept;
		kept = pending->next;
		enqueue_claim(claims, pending, false);
	}
	if (!claims->batch_count)
		return;
	metrics_add(claims->metrics, claims->metric_writes, 1);
	store_txn(claims->store, compares, claims->batch_count, ops, claims->batch_count, cb);
}

static void schedule_flush(struct claims *claims)
{
	if (claims->waiting_first && !claims->batch_count)
		tevent_schedule_immediate(claims->flush_event, claims->ev, flush_now, claims);
}

void claims_acquire(struct claims *claims, uint64_t hash, const struct claim_record *record,
		    uint32_t ttl_s,
		    void (*done)(int status, const struct claim_record *found, void *ctx),
		    void *ctx)
{
	struct pending_claim *pending = talloc_zero(claims, struct pending_claim);

	claim_key(hash, pending->key);
	pending->record = *record;
	pending->record.entry = talloc_strdup(pending, record->entry);
	pending->record.agent = talloc_strdup(pending, record->agent);
	pending->record.organisation = talloc_strdup(pending, record->organisation);
	pending->record.service = talloc_strdup(pending, record->service);
	pending->record.key = talloc_strdup(pending, record->key);
	pending->record.mark = talloc_strdup(pending, record->mark);
	pending->value = encode_record(pending, record);
	pending->ttl_s = ttl_s ? ttl_s : DEFAULT_TTL_S;
	pending->done = done;
	pending->ctx = ctx;
	enqueue_claim(claims, pending, false);
	schedule_flush(claims);
}

static void send_release(struct release *release);

static void on_release_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			     void *data)
{
	send_release(data);
}

/* A conflict means that the claim is gone, or belongs to another request. */
static void on_released(int status, const struct store_result *result, void *ctx)
{
	struct release *release = ctx;
	struct claims *claims = release->claims;
	uint32_t delay_ms;

	if (!status || status == -ERR_CONFLICT) {
		talloc_free(release);
		return;
	}
	if (util_clock_ms() >= release->give_up_ms) {
		metrics_count(claims->metrics, "jaycourse_claim_drops_failed_total", "",
			      "Claims of requests that did not run and could not be deleted");
		talloc_free(release);
		return;
	}
	metrics_count_retry(claims->metrics, "claim_release");
	delay_ms = store_backoff_ms(&claims->rng, release->failures++, RELEASE_RETRY_MIN_MS,
				    RELEASE_RETRY_MAX_MS);
	store_timer(claims->ev, release, delay_ms, on_release_timer, release);
}

static int release_destructor(struct release *release)
{
	struct release **link = &release->claims->releases;

	while (*link != release)
		link = &(*link)->next;
	*link = release->next;
	return 0;
}

static void send_release(struct release *release)
{
	struct store_compare compare = {.kind = STORE_MOD_REVISION_IS,
					.key = release->key,
					.number = release->mod_revision};
	struct store_op op = {.kind = STORE_DELETE, .key = release->key};
	struct store_cb cb = {on_released, release};

	store_txn(release->claims->store, &compare, 1, &op, 1, cb);
}

void claims_release(struct claims *claims, uint64_t hash, int64_t mod_revision)
{
	struct release *release = talloc_zero(claims, struct release);

	release->claims = claims;
	claim_key(hash, release->key);
	release->mod_revision = mod_revision;
	release->give_up_ms = util_clock_ms() + RELEASE_GIVE_UP_MS;
	release->next = claims->releases;
	claims->releases = release;
	talloc_set_destructor(release, release_destructor);
	send_release(release);
}
