#include "leader.h"

#include "log.h"
#include "util.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define LEADER_KEY "leader"
#define TERM_KEY "term"
#define RENEWALS_PER_LEASE 4 /* three renewals may be lost before the lease ends */
#define RESIGNED_PREFIX LEADER_KEY ".resigned."
#define RETRY_MS 150
/*
 * A leader that is not confirmed for this share of its lease, and whose latest renewal failed,
 * asks its peers whether the store answers them.
 */
#define RESIGN_SHARE 0.4
#define RESIGN_LOOK_MS 100
#define RESIGN_SPREAD_MS 50 /* between those that want to replace a leader that has resigned */
#define CANDIDATE_WAIT_MS \
	150 /* a leader whose lease lapsed while the store was away is back sooner */
#define CANDIDATE_SPREAD_MS 250

struct leader {
	struct tevent_context *ev;
	struct kv *kv;
	struct kv_mirror *mirror;
	struct leader_handlers handlers;
	struct tevent_timer *timer;
	struct tevent_timer *watch; /* for renewals that are overdue, while leading */
	struct util_rng rng;
	char *node;
	char *address;
	char *known_address;
	uint32_t ttl_ms;
	bool candidate;
	bool resigned;
	bool busy;   /* one call of the election at a time */
	bool vacant; /* the key is absent */
	bool loaded;
	int64_t stale_revision; /* of the key of a leader that is not waited for; 0: none */
	int64_t lease;
	uint64_t term; /* own; 0 when not the leader */
	uint64_t known_term;
	int64_t known_revision; /* of the key; 0: it is absent */
	uint64_t resigned_term; /* the latest leader that has resigned through a peer */
	uint64_t asking_term;	/* whose resignation a peer is asked to store; 0: none */
	uint64_t next_term;
	int64_t term_revision;
	int64_t revision;     /* of the leader key, while leading */
	uint64_t renewing_ms; /* when the renewal under way was sent */
	uint64_t confirmed_ms;
	bool renewal_failed; /* the latest one; a slow answer is none */
	char *value;	     /* last value written or tried */
};

static void step(struct leader *l);

static void on_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		     void *ctx)
{
	struct leader *l = ctx;

	l->timer = NULL;
	step(l);
}

static void step_after(struct leader *l, uint32_t delay_ms)
{
	TALLOC_FREE(l->timer);
	l->timer = tevent_add_timer(
		l->ev, l, tevent_timeval_current_ofs(delay_ms / 1000, delay_ms % 1000 * 1000),
		on_timer, l);
}

static void lose(struct leader *l, const char *why)
{
	if (!l->term)
		return;
	log_warn("leader_lost", "", "term %" PRIu64 " ends: %s", l->term, why);
	TALLOC_FREE(l->watch);
	l->term = 0;
	l->lease = 0;
	l->handlers.on_lost(l->handlers.ctx);
}

static void confirm(struct leader *l)
{
	l->confirmed_ms = l->renewing_ms;
	l->renewal_failed = false;
	step_after(l, l->ttl_ms / RENEWALS_PER_LEASE);
}

static char *resigned_key(TALLOC_CTX *mem, uint64_t term)
{
	return talloc_asprintf(mem, RESIGNED_PREFIX "%" PRIu64, term);
}

static void watch_after(struct leader *l);

/* The store may refuse this host only; a peer that it answers can say so there. */
static void on_watch(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		     void *ctx)
{
	struct leader *l = ctx;
	uint64_t passed_ms = util_clock_ms() - l->confirmed_ms;
	char *key;

	watch_after(l);
	if (!l->renewal_failed || passed_ms < l->ttl_ms * RESIGN_SHARE || l->asking_term ||
	    !l->handlers.on_refused)
		return;
	l->asking_term = l->term;
	key = resigned_key(l, l->term);
	l->handlers.on_refused(key, l->node, l->handlers.ctx);
	talloc_free(key);
}

static void watch_after(struct leader *l)
{
	l->watch = tevent_add_timer(l->ev, l, tevent_timeval_current_ofs(0, RESIGN_LOOK_MS * 1000),
				    on_watch, l);
}

void leader_resignation_stored(struct leader *l, int status)
{
	uint64_t term = l->asking_term;

	l->asking_term = 0;
	if (status == 0 && term && term == l->term)
		lose(l, "a peer has stored that the store refuses this host");
}

static void gain(struct leader *l, int64_t revision)
{
	bool again = l->term == l->next_term;

	l->revision = revision;
	l->vacant = false;
	l->stale_revision = 0;
	confirm(l);
	if (again)
		return;
	l->term = l->next_term;
	watch_after(l);
	log_info("leader_gained", "", "term %" PRIu64, l->term);
	l->handlers.on_gained(l->term, l->handlers.ctx);
}

static void on_taken(int status, const struct kv_result *result, void *ctx)
{
	struct leader *l = ctx;

	l->busy = false;
	if (status == 0) {
		gain(l, result->revision);
		return;
	}
	/* An answer was lost: the key shows whether the attempt took effect. */
	if (status == -ERR_CONFLICT) {
		for (size_t i = 0; i < result->count; i++) {
			const struct kv_item *item = &result->items[i];

			if (!strcmp(item->key, LEADER_KEY) && item->revision > 0 &&
			    !strcmp(item->value, l->value)) {
				gain(l, item->revision);
				return;
			}
		}
		lose(l, "another process was elected");
	}
	step_after(l, RETRY_MS);
}

static void take(struct leader *l)
{
	char term_text[24];
	struct kv_expect expects[2] = {{LEADER_KEY, l->vacant ? 0 : l->stale_revision},
				       {TERM_KEY, l->term_revision}};
	struct kv_put puts[2] = {{LEADER_KEY, NULL, l->lease}, {TERM_KEY, term_text, 0}};
	char *resigned = resigned_key(NULL, l->resigned_term);
	const char *removes[1] = {resigned};
	struct kv_txn txn = {
		.expects = expects, .expect_count = 2, .puts = puts, .removes = removes};
	json_t *value = json_pack("{s:s, s:s, s:I}", "node", l->node, "address", l->address, "term",
				  (json_int_t)l->next_term);
	char *text = json_dumps(value, JSON_COMPACT);

	talloc_free(l->value);
	l->value = talloc_strdup(l, text);
	free(text);
	json_decref(value);
	snprintf(term_text, sizeof(term_text), "%" PRIu64, l->next_term);
	puts[0].value = l->value;
	/* Continuing the own term leaves the counter alone. */
	txn.put_count = l->term == l->next_term ? 1 : 2;
	/* The resignation has served its purpose. */
	txn.remove_count = !l->term && l->resigned_term > 0 && l->resigned_term == l->next_term - 1;
	l->busy = true;
	l->kv->ops->txn(l->kv->impl, &txn, (struct kv_cb){on_taken, l});
	talloc_free(resigned);
}

static void on_lease(int status, const struct kv_result *result, void *ctx)
{
	struct leader *l = ctx;

	l->busy = false;
	if (status) {
		step_after(l, RETRY_MS);
		return;
	}
	l->lease = result->lease;
	take(l);
}

static void on_term(int status, const struct kv_result *result, void *ctx)
{
	struct leader *l = ctx;
	uint64_t stored = 0;

	l->busy = false;
	if (status) {
		step_after(l, RETRY_MS);
		return;
	}
	l->term_revision = 0;
	if (result->count > 0) {
		l->term_revision = result->items[0].revision;
		stored = strtoull(result->items[0].value, NULL, 10);
	}
	if (l->term && stored != l->term)
		lose(l, "another process led meanwhile");
	l->next_term = l->term ? l->term : stored + 1;
	l->renewing_ms = util_clock_ms();
	l->busy = true;
	l->kv->ops->lease_grant(l->kv->impl, l->ttl_ms, (struct kv_cb){on_lease, l});
}

static void on_renewed(int status, const struct kv_result *result, void *ctx)
{
	struct leader *l = ctx;

	l->busy = false;
	if (!l->term)
		return;
	if (status == 0) {
		confirm(l);
		return;
	}
	l->renewal_failed = status != -ERR_NOT_FOUND;
	if (status == -ERR_NOT_FOUND) {
		l->lease = 0;
		l->vacant = true;
	}
	step_after(l, status == -ERR_NOT_FOUND ? 0 : RETRY_MS);
}

/* Whatever is next: renew, or try to become leader. */
static void step(struct leader *l)
{
	if (l->busy || l->resigned || !l->loaded)
		return;
	if (l->term && l->lease) {
		l->renewing_ms = util_clock_ms();
		l->busy = true;
		l->kv->ops->lease_keep(l->kv->impl, l->lease, (struct kv_cb){on_renewed, l});
		return;
	}
	if (!l->candidate || (!l->vacant && !l->stale_revision))
		return;
	l->busy = true;
	l->kv->ops->get(l->kv->impl, TERM_KEY, (struct kv_cb){on_term, l});
}

static void report(struct leader *l, const char *node, const char *address, uint64_t term)
{
	talloc_free(l->known_address);
	l->known_address = talloc_strdup(l, address);
	if (l->handlers.on_changed)
		l->handlers.on_changed(node, address, term, l->handlers.ctx);
}

static void vacated(struct leader *l)
{
	l->vacant = true;
	l->known_revision = 0;
	l->stale_revision = 0;
	report(l, "", "", 0);
	if (l->term) {
		l->lease = 0;
		step_after(l, 0);
		return;
	}
	step_after(l, CANDIDATE_WAIT_MS + (uint32_t)util_rng_below(&l->rng, CANDIDATE_SPREAD_MS));
}

/*
 * A key that names this node, before this process has tried to write one, belongs to an
 * earlier process of the node, which has ended. Its lease need not be waited for.
 */
static void note_stale(struct leader *l, const struct kv_item *item, const char *node)
{
	l->stale_revision = !l->value && !strcmp(node, l->node) ? item->revision : 0;
	if (!l->stale_revision)
		return;
	log_info("leader_stale", "", "an earlier process of this node still holds the key");
	if (l->loaded)
		step_after(l, 0);
}

/* A leader that has resigned through a peer need not be waited for either. */
static void replace_resigned(struct leader *l)
{
	if (l->term || l->resigned_term == 0 || l->resigned_term != l->known_term ||
	    l->known_revision == 0)
		return;
	l->stale_revision = l->known_revision;
	step_after(l, (uint32_t)util_rng_below(&l->rng, RESIGN_SPREAD_MS));
}

static void note_resigned(struct leader *l, const struct kv_item *item)
{
	uint64_t term = strtoull(item->key + strlen(RESIGNED_PREFIX), NULL, 10);

	if (item->revision == 0 || term <= l->resigned_term)
		return;
	l->resigned_term = term;
	log_info("leader_resigned", "", "%s, term %" PRIu64 ", is refused by the store",
		 item->value, term);
	replace_resigned(l);
}

static void on_item(const struct kv_item *item, void *ctx)
{
	struct leader *l = ctx;
	const char *node = "";
	const char *address = "";
	json_int_t term = 0;
	json_t *record;

	if (g_str_has_prefix(item->key, RESIGNED_PREFIX))
		note_resigned(l, item);
	if (strcmp(item->key, LEADER_KEY) != 0)
		return;
	if (item->revision == 0) {
		vacated(l);
		return;
	}
	l->vacant = false;
	record = json_loadb(item->value, item->value_len, 0, NULL);
	if (json_unpack(record, "{s:s, s:s, s:I}", "node", &node, "address", &address, "term",
			&term))
		log_warn("leader_unreadable", "", "the record of the leader is malformed");
	if (l->term && (uint64_t)term > l->term)
		lose(l, "another process was elected");
	/* The answer to the own attempt was lost. */
	if (!l->term && l->lease && l->value && !strcmp(item->value, l->value) && !l->resigned)
		gain(l, item->revision);
	l->known_term = (uint64_t)term;
	l->known_revision = item->revision;
	note_stale(l, item, node);
	replace_resigned(l);
	report(l, node, address, (uint64_t)term);
	json_decref(record);
}

static void on_loaded(void *ctx)
{
	struct leader *l = ctx;
	bool first = !l->loaded;

	l->loaded = true;
	if (first && !l->known_address)
		vacated(l);
	else if (first && l->stale_revision)
		step_after(l, 0);
}

struct leader *leader_create(TALLOC_CTX *mem, struct tevent_context *ev, struct kv *kv,
			     const struct leader_options *options,
			     const struct leader_handlers *handlers)
{
	struct leader *l = talloc_zero(mem, struct leader);
	struct kv_mirror_handlers mirror = {on_item, on_loaded, l};

	l->ev = ev;
	l->kv = kv;
	l->handlers = *handlers;
	l->node = talloc_strdup(l, options->node);
	l->address = talloc_strdup(l, options->address);
	l->ttl_ms = options->ttl_ms;
	l->candidate = options->candidate;
	util_random_bytes(&l->rng.state, sizeof(l->rng.state));
	l->mirror = kv_mirror_create(l, ev, kv, LEADER_KEY, &mirror);
	return l;
}

uint64_t leader_term(const struct leader *l)
{
	return l->term;
}

struct kv_expect leader_expect(const struct leader *l)
{
	return (struct kv_expect){LEADER_KEY, l->revision};
}

bool leader_confirmed(const struct leader *l)
{
	return l->term && util_clock_ms() - l->confirmed_ms < l->ttl_ms;
}

bool leader_unsure(const struct leader *l)
{
	return l->term && (l->asking_term || util_clock_ms() - l->confirmed_ms > l->ttl_ms / 2);
}

void leader_deposed(struct leader *l, uint64_t term)
{
	if (term > l->term)
		lose(l, "a worker obeys a later leader");
}

const char *leader_address(const struct leader *l)
{
	return l->known_address ? l->known_address : "";
}

bool leader_store_answers(const struct leader *l)
{
	return l->loaded && kv_mirror_failing_ms(l->mirror) < l->ttl_ms;
}

static void on_lease_ended(int status, const struct kv_result *result, void *ctx)
{
	if (status)
		log_info("leader_resign", "", "the lease could not be ended; it lapses by itself");
}

void leader_resign(struct leader *l)
{
	int64_t lease = l->lease;

	l->resigned = true;
	TALLOC_FREE(l->timer);
	lose(l, "this process shuts down");
	if (lease)
		l->kv->ops->lease_end(l->kv->impl, lease, (struct kv_cb){on_lease_ended, l});
}
