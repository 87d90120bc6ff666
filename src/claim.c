#include "claim.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define BATCH_MAX 32 /* claims in one transaction; the store allows 128 operations */
#define WRITES_MAX 4 /* writes of one claim whose outcome stays open */
#define KEY_MAX 32
/* Claims share leases; a lease takes new claims for this long. */
#define LEASE_ROTATE_MS 60000
#define LEASE_SPARE_S 120
#define DEFAULT_TTL_S 600

struct take {
	struct take *next;
	char key[KEY_MAX];
	char *value;
	struct claim_record record;
	uint32_t ttl_s;
	uint32_t writes;
	void (*done)(int status, const struct claim_record *found, void *ctx);
	void *ctx;
};

struct lease {
	struct lease *next;
	struct claims *claims;
	uint32_t ttl_s;
	int64_t id; /* 0 until granted */
	uint64_t granted_ms;
	bool asking;
};

struct claims {
	struct tevent_context *ev;
	struct store *store;
	struct metrics *metrics;
	struct take *first; /* waiting, in order */
	struct take **last;
	struct take *batch[BATCH_MAX]; /* in flight */
	size_t batch_count;
	struct lease *leases;
	struct tevent_immediate *flush;
	int written;
};

struct claims *claims_create(TALLOC_CTX *mem, struct tevent_context *ev, struct store *store,
			     struct metrics *metrics)
{
	struct claims *c = talloc_zero(mem, struct claims);

	c->ev = ev;
	c->store = store;
	c->metrics = metrics;
	c->last = &c->first;
	c->flush = tevent_create_immediate(c);
	c->written = metrics_define(metrics, METRICS_COUNTER, "jaycourse_claim_writes_total", "",
				    "Transactions that write claims of idempotency keys");
	return c;
}

uint64_t claim_hash(const char *organisation, const char *service, const char *key)
{
	uint64_t hash = util_hash64(organisation, strlen(organisation) + 1, 0);

	hash = util_hash64(service, strlen(service) + 1, hash);
	hash = util_hash64(key, strlen(key), hash);
	return hash ? hash : 1;
}

static void key_of(uint64_t hash, char *out)
{
	snprintf(out, KEY_MAX, "claim/%016" PRIx64, hash);
}

static char *encode(TALLOC_CTX *mem, const struct claim_record *record)
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

static void set_waiting(struct claims *c, struct take *take, bool front)
{
	take->next = NULL;
	if (front) {
		take->next = c->first;
		if (!c->first)
			c->last = &take->next;
		c->first = take;
		return;
	}
	*c->last = take;
	c->last = &take->next;
}

static struct take *pop_waiting(struct claims *c)
{
	struct take *take = c->first;

	if (!take)
		return NULL;
	c->first = take->next;
	if (!c->first)
		c->last = &c->first;
	return take;
}

static void finish(struct take *take, int status, const struct claim_record *found)
{
	take->done(status, found, take->ctx);
	talloc_free(take);
}

static void finish_with_kv(struct take *take, const struct store_kv *kv)
{
	json_t *json = json_loadb(kv->value, kv->value_len, 0, NULL);
	struct claim_record found = {.mod_revision = kv->mod_revision};
	int bad;

	bad = json_unpack(json, "{s:s, s:s, s:s, s:s, s:s, s:s}", "entry", &found.entry, "agent",
			  &found.agent, "organisation", &found.organisation, "service",
			  &found.service, "key", &found.key, "mark", &found.mark);
	if (bad) {
		log_error("claim_malformed", "", "%s holds a value that is not a claim", kv->key);
		finish(take, -ERR_UNAVAILABLE, NULL);
	} else {
		finish(take, strcmp(found.mark, take->record.mark) ? -ERR_CONFLICT : 0, &found);
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

static void again(struct claims *c, struct take *take)
{
	if (take->writes >= WRITES_MAX)
		finish(take, -ERR_UNAVAILABLE, NULL);
	else
		set_waiting(c, take, true);
}

/* The batch lost a compare: settle the claims that caused it and write the rest again. */
static void settle_conflict(struct claims *c, struct take *take, const struct store_result *result)
{
	const struct store_kv *kv = find_kv(result, take->key);

	if (kv && kv->mod_revision != take->record.mod_revision) {
		finish_with_kv(take, kv);
		return;
	}
	/* A claim to be replaced that has lapsed is created anew. */
	if (!kv)
		take->record.mod_revision = 0;
	take->writes--;
	again(c, take);
}

static void start_flush(struct claims *c);

static void on_written(int status, const struct store_result *result, void *ctx)
{
	struct claims *c = ctx;
	struct take *batch[BATCH_MAX];
	size_t count = c->batch_count;

	memcpy(batch, c->batch, sizeof(batch));
	c->batch_count = 0;
	for (size_t i = count; i-- > 0;) {
		struct take *take = batch[i];

		if (!status) {
			take->record.mod_revision = result->revision;
			finish(take, 0, &take->record);
		} else if (status == -ERR_CONFLICT) {
			settle_conflict(c, take, result);
		} else if (status == -ERR_OUTCOME_UNKNOWN) {
			/* The compare makes the write safe to repeat; a conflict shows its mark. */
			again(c, take);
		} else {
			finish(take, -ERR_UNAVAILABLE, NULL);
		}
	}
	start_flush(c);
}

static struct lease *find_lease(struct claims *c, uint32_t ttl_s)
{
	struct lease *lease = c->leases;

	while (lease && lease->ttl_s != ttl_s)
		lease = lease->next;
	if (lease)
		return lease;
	lease = talloc_zero(c, struct lease);
	lease->claims = c;
	lease->ttl_s = ttl_s;
	lease->next = c->leases;
	c->leases = lease;
	return lease;
}

static void fail_waiting(struct claims *c, uint32_t ttl_s)
{
	struct take *take = c->first;

	c->first = NULL;
	c->last = &c->first;
	while (take) {
		struct take *next = take->next;

		if (take->ttl_s == ttl_s)
			finish(take, -ERR_UNAVAILABLE, NULL);
		else
			set_waiting(c, take, false);
		take = next;
	}
}

static void on_granted(int status, const struct store_result *result, void *ctx)
{
	struct lease *lease = ctx;

	lease->asking = false;
	if (status) {
		fail_waiting(lease->claims, lease->ttl_s);
		return;
	}
	lease->id = result->lease;
	lease->granted_ms = util_clock_ms();
	start_flush(lease->claims);
}

/* Returns a lease that outlives claims made now, or 0 after asking for one. */
static int64_t lease_for(struct claims *c, uint32_t ttl_s)
{
	struct lease *lease = find_lease(c, ttl_s);
	struct store_cb cb = {on_granted, lease};

	if (lease->id && util_clock_ms() - lease->granted_ms < LEASE_ROTATE_MS)
		return lease->id;
	if (!lease->asking) {
		lease->asking = true;
		store_lease_grant(c->store, ttl_s + LEASE_SPARE_S, cb);
	}
	return 0;
}

static void add_to_batch(struct claims *c, struct take *take, int64_t lease,
			 struct store_compare *compare, struct store_op *op)
{
	c->batch[c->batch_count++] = take;
	take->writes++;
	*compare = (struct store_compare){.kind = STORE_VERSION_IS, .key = take->key};
	if (take->record.mod_revision) {
		compare->kind = STORE_MOD_REVISION_IS;
		compare->number = take->record.mod_revision;
	}
	*op = (struct store_op){.kind = STORE_PUT,
				.key = take->key,
				.value = take->value,
				.value_len = strlen(take->value),
				.lease = lease};
}

/* Two claims of the same key cannot share a transaction. */
static bool in_batch(const struct claims *c, const char *key)
{
	for (size_t i = 0; i < c->batch_count; i++) {
		if (!strcmp(c->batch[i]->key, key))
			return true;
	}
	return false;
}

static void flush_now(struct tevent_context *ev, struct tevent_immediate *im, void *data)
{
	struct claims *c = data;
	struct store_compare compares[BATCH_MAX];
	struct store_op ops[BATCH_MAX];
	struct take *kept = NULL;
	struct take **kept_last = &kept;
	struct store_cb cb = {on_written, c};
	struct take *take;

	if (c->batch_count)
		return;
	while (c->batch_count < BATCH_MAX && (take = pop_waiting(c))) {
		int64_t lease = lease_for(c, take->ttl_s);

		if (lease && !in_batch(c, take->key)) {
			size_t at = c->batch_count;

			add_to_batch(c, take, lease, &compares[at], &ops[at]);
			continue;
		}
		take->next = NULL;
		*kept_last = take;
		kept_last = &take->next;
	}
	while (kept) {
		take = kept;
		kept = take->next;
		set_waiting(c, take, false);
	}
	if (!c->batch_count)
		return;
	metrics_add(c->metrics, c->written, 1);
	store_txn(c->store, compares, c->batch_count, ops, c->batch_count, cb);
}

static void start_flush(struct claims *c)
{
	if (c->first && !c->batch_count)
		tevent_schedule_immediate(c->flush, c->ev, flush_now, c);
}

void claims_take(struct claims *c, uint64_t hash, const struct claim_record *record, uint32_t ttl_s,
		 void (*done)(int status, const struct claim_record *found, void *ctx), void *ctx)
{
	struct take *take = talloc_zero(c, struct take);

	key_of(hash, take->key);
	take->record = *record;
	take->record.entry = talloc_strdup(take, record->entry);
	take->record.agent = talloc_strdup(take, record->agent);
	take->record.organisation = talloc_strdup(take, record->organisation);
	take->record.service = talloc_strdup(take, record->service);
	take->record.key = talloc_strdup(take, record->key);
	take->record.mark = talloc_strdup(take, record->mark);
	take->value = encode(take, record);
	take->ttl_s = ttl_s ? ttl_s : DEFAULT_TTL_S;
	take->done = done;
	take->ctx = ctx;
	set_waiting(c, take, false);
	start_flush(c);
}

/* A claim that stays behind only costs its finder a query, so the outcome is not needed. */
static void on_dropped(int status, const struct store_result *result, void *ctx)
{
	struct claims *c = ctx;

	if (status)
		metrics_count(c->metrics, "jaycourse_claim_drops_failed_total", "",
			      "Claims of requests that did not run and could not be deleted");
}

void claims_drop(struct claims *c, uint64_t hash, int64_t mod_revision)
{
	struct store_compare compare = {.kind = STORE_MOD_REVISION_IS, .number = mod_revision};
	struct store_op op = {.kind = STORE_DELETE};
	struct store_cb cb = {on_dropped, c};
	char key[KEY_MAX];

	key_of(hash, key);
	compare.key = key;
	op.key = key;
	store_txn(c->store, &compare, 1, &op, 1, cb);
}
