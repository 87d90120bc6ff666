#include "duty.h"

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
#define FOLLOW_POLL_MS 15000 /* backs up the watch, at 0.07 reads/s an entry */

/*
 * Two keys: "duty/NAME" holds the holder's record under its lease, and "duty-epoch/NAME"
 * holds the last epoch without a lease, so that epochs never repeat.
 */
struct duty {
	struct tevent_context *ev;
	struct store *store;
	struct store_watch *watch;
	struct tevent_timer *timer;
	struct tevent_immediate *immediate;
	struct duty_link *link;
	struct duty_handlers handlers;
	struct util_rng rng;
	char *name;
	char *key;
	char *epoch_key;
	char *node;
	char *address;
	uint32_t ttl_s;
	int64_t lease;	/* 0: none */
	uint64_t epoch; /* held; 0 when not the holder */
	char *value;	/* record held, or last tried; equal in the store means it is ours */
	uint64_t value_epoch;
	char *seen_epoch;   /* text of the epoch key, NULL when absent */
	char *holder_value; /* last record of another holder that was reported */
	uint32_t failures;
	bool busy;  /* one call at a time */
	bool again; /* look again after the call under way */
	bool resigned;
	void (*resign_done)(void *ctx);
	void *resign_ctx;
};

/* Outlives the duty until its last store call has ended. */
struct duty_link {
	struct duty *duty; /* NULL when freed */
	uint32_t calls;
};

static void look(struct duty *d);
static void take(struct duty *d);

static int duty_destructor(struct duty *d)
{
	d->link->duty = NULL;
	if (d->link->calls == 0)
		talloc_free(d->link);
	return 0;
}

/* Every store callback starts here; NULL when the duty was freed meanwhile. */
static struct duty *call_ended(void *ctx)
{
	struct duty_link *link = ctx;
	struct duty *d = link->duty;

	link->calls--;
	if (d)
		d->busy = false;
	else if (link->calls == 0)
		talloc_free(link);
	return d;
}

static struct store_cb call_begins(struct duty *d,
				   void (*done)(int, const struct store_result *, void *))
{
	d->busy = true;
	d->link->calls++;
	return (struct store_cb){done, d->link};
}

static void on_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		     void *ctx);

static void schedule(struct duty *d, uint32_t delay_ms)
{
	TALLOC_FREE(d->timer);
	if (!d->resigned)
		d->timer = store_timer(d->ev, d, delay_ms, on_timer, d);
}

static void schedule_next(struct duty *d)
{
	d->failures = 0;
	schedule(d, d->epoch ? d->ttl_s * 1000 / KEEPALIVE_DIVISOR : FOLLOW_POLL_MS);
	if (d->again)
		look(d);
}

static void retry(struct duty *d)
{
	schedule(d, store_backoff_ms(&d->rng, d->failures, RETRY_BASE_MS, RETRY_MAX_MS));
	d->failures++;
}

static void gain(struct duty *d)
{
	TALLOC_FREE(d->holder_value);
	if (d->epoch == d->value_epoch)
		return;
	d->epoch = d->value_epoch;
	log_info("duty_gained", "", "%s with epoch %" PRIu64, d->name, d->epoch);
	d->handlers.on_gained(d->epoch, d->handlers.ctx);
}

static void lose(struct duty *d)
{
	if (!d->epoch)
		return;
	log_warn("duty_lost", "", "%s with epoch %" PRIu64, d->name, d->epoch);
	d->epoch = 0;
	d->lease = 0;
	d->handlers.on_lost(d->handlers.ctx);
}

static void report_holder(struct duty *d, const char *value)
{
	json_t *record;
	const char *node = "";
	const char *address = "";
	json_int_t epoch = 0;

	if (d->holder_value && !strcmp(d->holder_value, value))
		return;
	talloc_free(d->holder_value);
	d->holder_value = talloc_strdup(d, value);
	record = json_loads(value, 0, NULL);
	json_unpack(record, "{s:s, s:s, s:I}", "node", &node, "address", &address, "epoch", &epoch);
	if (d->handlers.on_holder)
		d->handlers.on_holder(node, address, (uint64_t)epoch, d->handlers.ctx);
	json_decref(record);
}

static bool epoch_is_own(const struct duty *d)
{
	return d->seen_epoch && strtoull(d->seen_epoch, NULL, 10) == d->epoch;
}

/* Nobody holds the duty. The holder whose lease lapsed continues if nobody came between. */
static void take_vacant(struct duty *d)
{
	if (d->epoch && !epoch_is_own(d))
		lose(d);
	if (!d->epoch)
		report_holder(d, "");
	take(d);
}

/* Acts on the current state of both keys. */
static void apply(struct duty *d, const struct store_result *result)
{
	const struct store_kv *holder = NULL;

	TALLOC_FREE(d->seen_epoch);
	for (size_t i = 0; i < result->count; i++) {
		const struct store_kv *kv = &result->kvs[i];

		if (!strcmp(kv->key, d->key))
			holder = kv;
		else if (!strcmp(kv->key, d->epoch_key))
			d->seen_epoch = talloc_strdup(d, kv->value);
	}
	if (!holder) {
		take_vacant(d);
		return;
	}
	if (d->value && !strcmp(holder->value, d->value)) {
		gain(d);
	} else {
		lose(d);
		report_holder(d, holder->value);
	}
	schedule_next(d);
}

static void on_look(int status, const struct store_result *result, void *ctx)
{
	struct duty *d = call_ended(ctx);

	if (!d || d->resigned)
		return;
	if (status)
		retry(d);
	else
		apply(d, result);
}

static void look(struct duty *d)
{
	struct store_op ops[] = {{.kind = STORE_GET, .key = d->key},
				 {.kind = STORE_GET, .key = d->epoch_key}};

	if (d->resigned)
		return;
	d->again = d->busy;
	if (!d->busy)
		store_txn(d->store, NULL, 0, ops, 2, call_begins(d, on_look));
}

static void on_take(int status, const struct store_result *result, void *ctx)
{
	struct duty *d = call_ended(ctx);

	if (!d || d->resigned)
		return;
	if (status == 0) {
		gain(d);
		schedule_next(d);
	} else if (status == -ERR_CONFLICT) {
		apply(d, result);
	} else {
		/* After an unknown outcome the next look finds the own record, or none. */
		if (status == -ERR_NOT_FOUND)
			d->lease = 0;
		retry(d);
	}
}

static void set_value(struct duty *d)
{
	uint64_t seen = d->seen_epoch ? strtoull(d->seen_epoch, NULL, 10) : 0;
	json_t *record;
	char *text;

	if (d->epoch || (d->value && d->value_epoch == seen + 1))
		return;
	d->value_epoch = seen + 1;
	record = json_pack("{s:s, s:s, s:I}", "node", d->node, "address", d->address, "epoch",
			   (json_int_t)d->value_epoch);
	text = json_dumps(record, JSON_COMPACT);
	talloc_free(d->value);
	d->value = talloc_strdup(d, text);
	free(text);
	json_decref(record);
}

static void write_record(struct duty *d)
{
	struct store_compare compares[] = {
		{.kind = STORE_VERSION_IS, .key = d->key},
		{.kind = STORE_VERSION_IS, .key = d->epoch_key},
	};
	char epoch[32];
	struct store_op ops[] = {
		{.kind = STORE_PUT, .key = d->key, .lease = d->lease},
		{.kind = STORE_PUT, .key = d->epoch_key, .value = epoch},
	};

	set_value(d);
	snprintf(epoch, sizeof(epoch), "%" PRIu64, d->value_epoch);
	ops[0].value = d->value;
	ops[0].value_len = strlen(d->value);
	ops[1].value_len = strlen(epoch);
	if (d->seen_epoch) {
		compares[1].kind = STORE_VALUE_IS;
		compares[1].value = d->seen_epoch;
	}
	store_txn(d->store, compares, 2, ops, 2, call_begins(d, on_take));
}

static void on_granted(int status, const struct store_result *result, void *ctx)
{
	struct duty *d = call_ended(ctx);

	if (!d || d->resigned)
		return;
	if (status) {
		retry(d);
		return;
	}
	d->lease = result->lease;
	write_record(d);
}

static void take(struct duty *d)
{
	if (d->lease)
		write_record(d);
	else
		store_lease_grant(d->store, d->ttl_s, call_begins(d, on_granted));
}

static void on_kept(int status, const struct store_result *result, void *ctx)
{
	struct duty *d = call_ended(ctx);

	if (!d || d->resigned)
		return;
	if (status == 0) {
		schedule_next(d);
		return;
	}
	if (status != -ERR_NOT_FOUND) {
		retry(d);
		return;
	}
	d->lease = 0;
	look(d);
}

static void on_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		     void *ctx)
{
	struct duty *d = ctx;

	d->timer = NULL;
	if (d->busy)
		return;
	if (d->epoch && d->lease && !d->again)
		store_lease_keepalive(d->store, d->lease, call_begins(d, on_kept));
	else
		look(d);
}

/* Events may be older than what this process knows, so they only cause a look. */
static void on_change(const struct store_kv *kv, void *ctx)
{
	struct duty *d = ctx;
	bool own = d->epoch && kv->version > 0 && !strcmp(kv->value, d->value);

	if (!strcmp(kv->key, d->key) && !own)
		look(d);
}

static void on_resync(void *ctx)
{
	look(ctx);
}

struct duty *duty_create(TALLOC_CTX *mem, struct tevent_context *ev, struct store *store,
			 const char *name, const char *node, const char *address, uint32_t ttl_s,
			 const struct duty_handlers *handlers)
{
	struct duty *d = talloc_zero(mem, struct duty);
	struct store_watch_handlers watch = {on_change, on_resync, d};

	d->ev = ev;
	d->store = store;
	d->handlers = *handlers;
	d->name = talloc_strdup(d, name);
	d->key = talloc_asprintf(d, "duty/%s", name);
	d->epoch_key = talloc_asprintf(d, "duty-epoch/%s", name);
	d->node = talloc_strdup(d, node);
	d->address = talloc_strdup(d, address);
	d->ttl_s = ttl_s;
	util_random_bytes(&d->rng.state, sizeof(d->rng.state));
	d->link = talloc_zero(store, struct duty_link);
	d->link->duty = d;
	talloc_set_destructor(d, duty_destructor);
	d->watch = store_watch_create(d, store, d->key, &watch);
	schedule(d, FOLLOW_POLL_MS);
	return d;
}

uint64_t duty_epoch(const struct duty *duty)
{
	return duty->epoch;
}

int duty_compare(const struct duty *duty, struct store_compare *out)
{
	if (!duty->epoch)
		return -ERR_STALE;
	*out = (struct store_compare){
		.kind = STORE_VALUE_IS, .key = duty->key, .value = duty->value};
	return 0;
}

static void on_resigned(int status, const struct store_result *result, void *ctx)
{
	struct duty *d = call_ended(ctx);

	if (d && d->resign_done)
		d->resign_done(d->resign_ctx);
}

static void resign_now(struct tevent_context *ev, struct tevent_immediate *immediate, void *ctx)
{
	struct duty *d = ctx;

	if (d->resign_done)
		d->resign_done(d->resign_ctx);
}

/* Revoking the lease deletes the record, and makes a write under way fail. */
void duty_resign(struct duty *duty, void (*done)(void *ctx), void *ctx)
{
	int64_t lease = duty->lease;

	duty->resigned = true;
	duty->resign_done = done;
	duty->resign_ctx = ctx;
	TALLOC_FREE(duty->timer);
	TALLOC_FREE(duty->watch);
	lose(duty);
	if (lease) {
		store_lease_revoke(duty->store, lease, call_begins(duty, on_resigned));
		return;
	}
	duty->immediate = tevent_create_immediate(duty);
	tevent_schedule_immediate(duty->immediate, duty->ev, resign_now, duty);
}
