#include "election.h"

#include "callref.h"
#include "fields.h"
#include "jsonread.h"
#include "log.h"
#include "store_internal.h"
#include "util.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define KEEPALIVE_DIVISOR 3 /* two keepalives may fail before the lease lapses */
#define RETRY_BASE_MS 100
#define RETRY_MAX_MS 1000
/* No counter of elections gets as far; a larger one would overflow. */
#define EPOCH_MAX ((uint64_t)1 << 40)
/* A leader whose record another writer has overwritten stops before this many leases are over. */
#define UNREADABLE_RECORD_LEASES 2
#define FOLLOWER_POLL_MS 15000 /* for events that the watch misses; 0.07 reads/s per entry host */

/*
 * Two keys are used: "duty/NAME" with the leader's record, bound to its lease, and
 * "duty-epoch/NAME" with the last epoch, not bound to a lease, so that epochs never repeat.
 */
struct election {
	struct tevent_context *ev;
	struct store *store;
	struct store_watch *watch;
	struct tevent_timer *timer;
	struct tevent_immediate *immediate;
	struct callref *calls; /* context of store calls */
	struct election_handlers handlers;
	struct util_rng rng;
	char *name;
	char *key;
	char *epoch_key;
	char *node;
	char *address;
	uint32_t ttl_s;
	int64_t lease;	     /* 0: none */
	uint64_t sent_ms;    /* when the last store call was sent */
	uint64_t renewed_ms; /* when the last successful grant or renewal of @lease was sent */
	bool record_stored;  /* own record was found or written under @lease */
	uint64_t epoch;	     /* own epoch; 0: not the leader */
	char *own_record;    /* last record written or tried; while stored, this entry is leader */
	uint64_t own_record_epoch;
	char *stored_epoch;	     /* value of the epoch key; NULL: absent */
	char *leader_record;	     /* last record passed to on_leader(); "": no leader */
	uint64_t seen_epoch;	     /* highest epoch of a readable record */
	int64_t unreadable_revision; /* of a stored record that can't be read; 0: none */
	uint64_t unreadable_since_ms;
	bool replace_record; /* the unreadable record may be replaced */
	uint32_t failures;
	bool call_pending; /* a store call is under way; there is at most one */
	bool reread;	   /* read the keys again after the call under way */
	bool resigned;
	void (*resign_done)(void *ctx);
	void *resign_ctx;
};

static void read_keys(struct election *election);
static void acquire_leadership(struct election *election);

/* Called first in every store callback; returns NULL when the election has been freed. */
static struct election *end_store_call(void *ctx)
{
	struct election *election = callref_end(ctx);

	if (election)
		election->call_pending = false;
	return election;
}

static struct store_cb begin_store_call(struct election *election,
					void (*done)(int, const struct store_result *, void *))
{
	election->call_pending = true;
	election->sent_ms = util_clock_ms();
	return (struct store_cb){done, callref_begin(election->calls)};
}

static void on_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		     void *ctx);

static void schedule_timer(struct election *election, uint32_t delay_ms)
{
	TALLOC_FREE(election->timer);
	if (!election->resigned)
		election->timer = store_timer(election->ev, election, delay_ms, on_timer, election);
}

static void schedule_next(struct election *election)
{
	election->failures = 0;
	schedule_timer(election, election->epoch ? election->ttl_s * 1000 / KEEPALIVE_DIVISOR
						 : FOLLOWER_POLL_MS);
	if (election->reread)
		read_keys(election);
}

static void schedule_retry(struct election *election)
{
	schedule_timer(election, store_backoff_ms(&election->rng, election->failures, RETRY_BASE_MS,
						  RETRY_MAX_MS));
	election->failures++;
}

static void become_leader(struct election *election)
{
	TALLOC_FREE(election->leader_record);
	election->record_stored = true;
	if (election->epoch == election->own_record_epoch)
		return;
	election->epoch = election->own_record_epoch;
	log_info("duty_gained", "", "%s with epoch %" PRIu64, election->name, election->epoch);
	election->handlers.on_gained(election->epoch, election->handlers.ctx);
}

static void lose_leadership(struct election *election)
{
	if (!election->epoch)
		return;
	log_warn("duty_lost", "", "%s with epoch %" PRIu64, election->name, election->epoch);
	election->epoch = 0;
	election->lease = 0;
	election->record_stored = false;
	election->handlers.on_lost(election->handlers.ctx);
}

/* Returns false, and reports no leader, if the record is unusable. */
static bool report_leader(struct election *election, const char *value)
{
	json_t *record;
	const char *node;
	const char *address;
	uint64_t epoch = 0;
	bool valid;

	if (election->leader_record && !strcmp(election->leader_record, value))
		return !election->unreadable_revision;
	talloc_free(election->leader_record);
	election->leader_record = talloc_strdup(election, value);
	record = json_loads(value, 0, NULL);
	node = jsonread_text(json_object_get(record, "node"));
	address = jsonread_text(json_object_get(record, "address"));
	valid = node && *node && address && fields_is_peer_address(address) &&
		jsonread_u64(json_object_get(record, "epoch"), EPOCH_MAX, &epoch) && epoch > 0;
	if (!valid && *value)
		log_once("duty_unreadable", election->key,
			 "the record of the leader has an unusable node, address or epoch");
	election->seen_epoch = valid ? MAX(election->seen_epoch, epoch) : election->seen_epoch;
	if (election->handlers.on_leader)
		election->handlers.on_leader(valid ? node : "", valid ? address : "",
					     valid ? epoch : 0, election->handlers.ctx);
	json_decref(record);
	return valid;
}

/* The stored counter; counted on from the latest epoch seen if it is unusable. */
static uint64_t last_epoch(const struct election *election)
{
	uint64_t epoch;

	if (!election->stored_epoch)
		return 0;
	if (jsonread_decimal(election->stored_epoch, EPOCH_MAX - 1, &epoch))
		return MAX(epoch, election->seen_epoch);
	log_once("duty_unreadable", election->epoch_key, "the counter of epochs is unusable");
	return election->seen_epoch;
}

static bool epoch_is_own(const struct election *election)
{
	return election->stored_epoch && last_epoch(election) == election->epoch;
}

/*
 * Handles keys without a leader's record. A leader whose lease has lapsed keeps its epoch if no
 * other entry has been elected since.
 */
static void handle_vacancy(struct election *election)
{
	election->record_stored = false;
	if (election->epoch && !epoch_is_own(election))
		lose_leadership(election);
	if (!election->epoch)
		report_leader(election, "");
	acquire_leadership(election);
}

/*
 * A record of another writer may belong to no lease, so it would stay for ever. It is replaced
 * once the leader whose record it has overwritten can no longer act.
 */
static void handle_unreadable_record(struct election *election, int64_t revision)
{
	uint64_t wait_ms = (uint64_t)election->ttl_s * 1000 * UNREADABLE_RECORD_LEASES;

	if (election->unreadable_revision != revision) {
		election->unreadable_revision = revision;
		election->unreadable_since_ms = util_clock_ms();
	}
	if (util_clock_ms() - election->unreadable_since_ms < wait_ms) {
		schedule_timer(election, (uint32_t)wait_ms);
		return;
	}
	election->replace_record = true;
	acquire_leadership(election);
}

/* Updates the election to the current values of both keys. */
static void apply_keys(struct election *election, const struct store_result *result)
{
	const struct store_kv *leader = NULL;

	TALLOC_FREE(election->stored_epoch);
	election->replace_record = false;
	for (size_t i = 0; i < result->count; i++) {
		const struct store_kv *kv = &result->kvs[i];

		if (!strcmp(kv->key, election->key))
			leader = kv;
		else if (!strcmp(kv->key, election->epoch_key))
			election->stored_epoch = talloc_strdup(election, kv->value);
	}
	if (!leader) {
		election->unreadable_revision = 0;
		handle_vacancy(election);
		return;
	}
	if (election->own_record && !strcmp(leader->value, election->own_record)) {
		become_leader(election);
	} else {
		lose_leadership(election);
		if (!report_leader(election, leader->value)) {
			handle_unreadable_record(election, leader->mod_revision);
			return;
		}
	}
	election->unreadable_revision = 0;
	schedule_next(election);
}

static void on_keys_read(int status, const struct store_result *result, void *ctx)
{
	struct election *election = end_store_call(ctx);

	if (!election || election->resigned)
		return;
	if (status)
		schedule_retry(election);
	else
		apply_keys(election, result);
}

static void read_keys(struct election *election)
{
	struct store_op ops[] = {{.kind = STORE_GET, .key = election->key},
				 {.kind = STORE_GET, .key = election->epoch_key}};

	if (election->resigned)
		return;
	election->reread = election->call_pending;
	if (!election->call_pending)
		store_txn(election->store, NULL, 0, ops, 2,
			  begin_store_call(election, on_keys_read));
}

static void on_record_written(int status, const struct store_result *result, void *ctx)
{
	struct election *election = end_store_call(ctx);

	if (!election || election->resigned)
		return;
	if (status == 0) {
		become_leader(election);
		schedule_next(election);
	} else if (status == -ERR_CONFLICT) {
		apply_keys(election, result);
	} else {
		/* If the outcome is unknown, the next read shows whether the record is stored. */
		if (status == -ERR_NOT_FOUND)
			election->lease = 0;
		schedule_retry(election);
	}
}

static void prepare_record(struct election *election)
{
	uint64_t epoch = last_epoch(election) + 1;
	json_t *record;
	char *text;

	if (election->epoch || (election->own_record && election->own_record_epoch == epoch))
		return;
	election->own_record_epoch = epoch;
	record = json_pack("{s:s, s:s, s:I}", "node", election->node, "address", election->address,
			   "epoch", (json_int_t)election->own_record_epoch);
	text = json_dumps(record, JSON_COMPACT);
	talloc_free(election->own_record);
	election->own_record = talloc_strdup(election, text);
	free(text);
	json_decref(record);
}

static void write_record(struct election *election)
{
	struct store_compare compares[] = {
		{.kind = STORE_VERSION_IS, .key = election->key},
		{.kind = STORE_VERSION_IS, .key = election->epoch_key},
	};
	char epoch[32];
	struct store_op ops[] = {
		{.kind = STORE_PUT, .key = election->key, .lease = election->lease},
		{.kind = STORE_PUT, .key = election->epoch_key, .value = epoch},
	};

	if (election->replace_record)
		compares[0] = (struct store_compare){.kind = STORE_MOD_REVISION_IS,
						     .key = election->key,
						     .number = election->unreadable_revision};
	prepare_record(election);
	snprintf(epoch, sizeof(epoch), "%" PRIu64, election->own_record_epoch);
	ops[0].value = election->own_record;
	ops[0].value_len = strlen(election->own_record);
	ops[1].value_len = strlen(epoch);
	if (election->stored_epoch) {
		compares[1].kind = STORE_VALUE_IS;
		compares[1].value = election->stored_epoch;
	}
	store_txn(election->store, compares, 2, ops, 2,
		  begin_store_call(election, on_record_written));
}

static void on_lease_granted(int status, const struct store_result *result, void *ctx)
{
	struct election *election = end_store_call(ctx);

	if (!election || election->resigned)
		return;
	if (status) {
		schedule_retry(election);
		return;
	}
	election->lease = result->lease;
	election->renewed_ms = election->sent_ms;
	write_record(election);
}

static void acquire_leadership(struct election *election)
{
	if (election->lease)
		write_record(election);
	else
		store_lease_grant(election->store, election->ttl_s,
				  begin_store_call(election, on_lease_granted));
}

static void on_lease_renewed(int status, const struct store_result *result, void *ctx)
{
	struct election *election = end_store_call(ctx);

	if (!election || election->resigned)
		return;
	if (status == 0) {
		election->renewed_ms = election->sent_ms;
		schedule_next(election);
		return;
	}
	if (status != -ERR_NOT_FOUND) {
		schedule_retry(election);
		return;
	}
	election->lease = 0;
	election->record_stored = false;
	read_keys(election);
}

static void on_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		     void *ctx)
{
	struct election *election = ctx;

	election->timer = NULL;
	if (election->call_pending)
		return;
	if (election->record_stored && election->lease && !election->reread)
		store_lease_keepalive(election->store, election->lease,
				      begin_store_call(election, on_lease_renewed));
	else
		read_keys(election);
}

/* An event may be older than what this process knows, so it only triggers a read of the keys. */
static void on_key_changed(const struct store_kv *kv, void *ctx)
{
	struct election *election = ctx;
	bool own = election->epoch && kv->version > 0 && !strcmp(kv->value, election->own_record);

	if (!strcmp(kv->key, election->key) && !own)
		read_keys(election);
}

static void on_resync(void *ctx)
{
	read_keys(ctx);
}

struct election *election_create(TALLOC_CTX *mem, struct tevent_context *ev, struct store *store,
				 const char *name, const char *node, const char *address,
				 uint32_t ttl_s, const struct election_handlers *handlers)
{
	struct election *election = talloc_zero(mem, struct election);
	struct store_watch_handlers watch = {on_key_changed, on_resync, election};

	election->ev = ev;
	election->store = store;
	election->handlers = *handlers;
	election->name = talloc_strdup(election, name);
	election->key = talloc_asprintf(election, "duty/%s", name);
	election->epoch_key = talloc_asprintf(election, "duty-epoch/%s", name);
	election->node = talloc_strdup(election, node);
	election->address = talloc_strdup(election, address);
	election->ttl_s = ttl_s;
	util_random_bytes(&election->rng.state, sizeof(election->rng.state));
	election->calls = callref_create(store, election);
	election->watch = store_watch_create(election, store, election->key, &watch);
	schedule_timer(election, FOLLOWER_POLL_MS);
	return election;
}

uint64_t election_epoch(const struct election *election)
{
	return election->epoch;
}

uint64_t election_lease_left_ms(const struct election *election)
{
	uint64_t end_ms = election->renewed_ms + (uint64_t)election->ttl_s * 1000;
	uint64_t now_ms = util_clock_ms();

	if (!election->epoch || !election->lease || !election->record_stored)
		return 0;
	return end_ms > now_ms ? end_ms - now_ms : 0;
}

int election_compare(const struct election *election, struct store_compare *out)
{
	if (!election->epoch)
		return -ERR_STALE;
	*out = (struct store_compare){
		.kind = STORE_VALUE_IS, .key = election->key, .value = election->own_record};
	return 0;
}

static void on_resigned(int status, const struct store_result *result, void *ctx)
{
	struct election *election = end_store_call(ctx);

	if (election && election->resign_done)
		election->resign_done(election->resign_ctx);
}

static void on_resign_immediate(struct tevent_context *ev, struct tevent_immediate *immediate,
				void *ctx)
{
	struct election *election = ctx;

	if (election->resign_done)
		election->resign_done(election->resign_ctx);
}

/* Revoking the lease deletes the record, and makes a write of the record under way fail. */
void election_resign(struct election *election, void (*done)(void *ctx), void *ctx)
{
	int64_t lease = election->lease;

	election->resigned = true;
	election->resign_done = done;
	election->resign_ctx = ctx;
	TALLOC_FREE(election->timer);
	TALLOC_FREE(election->watch);
	lose_leadership(election);
	if (lease) {
		store_lease_revoke(election->store, lease, begin_store_call(election, on_resigned));
		return;
	}
	election->immediate = tevent_create_immediate(election);
	tevent_schedule_immediate(election->immediate, election->ev, on_resign_immediate, election);
}
