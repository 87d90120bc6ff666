#include "leader.h"

#include "callref.h"
#include "fields.h"
#include "jsonread.h"
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
 * A leader whose latest renewal failed and that has been unconfirmed for this share of its lease
 * asks a peer to store its resignation, in case the store refuses only this host.
 */
#define RESIGN_LEASE_SHARE 0.4
#define RENEWAL_CHECK_MS 100
#define RESIGN_JITTER_MS 50 /* candidates replace a resigned leader at different times */
#define CANDIDATE_DELAY_MS \
	150 /* lets a leader return first whose lease expired in a store outage */
#define CANDIDATE_JITTER_MS 250
/* Candidates on small hosts wait until those on larger ones have had the time for an election. */
#define SMALL_HOST_DELAY_MS (CANDIDATE_JITTER_MS + 50)
#define SMALL_HOST_RESIGN_DELAY_MS (RESIGN_JITTER_MS + 50)
/*
 * A leader key that another writer has overwritten is replaced after this many leases. The elected
 * leader sees it by then and writes its own again, or its lease has expired.
 */
#define UNREADABLE_KEY_LEASES 2

struct leader {
	struct tevent_context *ev;
	struct kv *kv;
	struct kv_mirror *mirror;
	struct callref *calls; /* context of store calls */
	struct leader_handlers handlers;
	struct tevent_timer *step_timer;
	struct tevent_timer
		*renewal_check; /* for overdue renewals; only while this is the leader */
	struct util_rng rng;
	char *node;
	char *address;
	char *known_address;
	uint32_t ttl_ms;
	bool candidate;
	bool small_host; /* lets candidates on larger hosts go first */
	bool resigned;
	bool call_pending; /* a store call of the election is in progress; one at a time */
	bool vacant;	   /* the leader key is absent */
	bool loaded;
	int64_t replaceable_revision; /* of a leader key that may be replaced at once; 0: none */
	int64_t lease;
	uint64_t term; /* of this process; 0 when it is not the leader */
	uint64_t known_term;
	int64_t known_revision;	 /* of the leader key; 0: it is absent */
	uint64_t resigned_term;	 /* latest term whose resignation a peer has stored */
	uint64_t resigning_term; /* term whose resignation a peer is asked to store; 0: none */
	/* Since when a resignation of this term may be stored; 0: it is certain that none is. */
	uint64_t maybe_resigned_ms;
	bool rewriting; /* the key is being written again, see end_possible_resignation() */
	bool resignation_unknown; /* the outcome of a request to a peer is unknown */
	uint64_t next_term;
	/* Range of terms whose key this process may have written; it has led none of them yet. */
	uint64_t tried_from;
	uint64_t tried_to;   /* 0: it has never tried */
	int64_t tried_lease; /* of the latest attempt to write the key */
	int64_t term_revision;
	int64_t revision;	  /* of the leader key, while this is the leader */
	uint64_t renewal_sent_ms; /* when the latest renewal was sent */
	uint64_t confirmed_ms;
	bool renewal_failed; /* by the latest answer to a renewal; a late answer is no failure */
	int64_t unreadable_revision; /* of a leader key with an unusable value; 0: it is usable */
	uint64_t heard_term;	     /* latest term of another leader that an agent has reported */
};

static void advance_election(struct leader *leader);

static struct kv_cb begin_call(struct leader *leader,
			       void (*done)(int, const struct kv_result *, void *))
{
	leader->call_pending = true;
	return (struct kv_cb){done, callref_begin(leader->calls)};
}

/* Returns NULL when the leader was freed during the call. */
static struct leader *end_call(void *ctx)
{
	struct leader *leader = callref_end(ctx);

	if (leader)
		leader->call_pending = false;
	return leader;
}

static void on_step_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			  void *ctx)
{
	struct leader *leader = ctx;

	leader->step_timer = NULL;
	advance_election(leader);
}

static void advance_after(struct leader *leader, uint32_t delay_ms)
{
	TALLOC_FREE(leader->step_timer);
	leader->step_timer = tevent_add_timer(
		leader->ev, leader,
		tevent_timeval_current_ofs(delay_ms / 1000, delay_ms % 1000 * 1000), on_step_timer,
		leader);
}

static void end_term(struct leader *leader, const char *why)
{
	if (!leader->term)
		return;
	log_warn("leader_lost", "", "term %" PRIu64 " ends: %s", leader->term, why);
	TALLOC_FREE(leader->renewal_check);
	leader->tried_from = leader->term + 1;
	leader->term = 0;
	leader->lease = 0;
	leader->maybe_resigned_ms = 0;
	leader->resignation_unknown = false;
	leader->handlers.on_lost(leader->handlers.ctx);
}

static void record_confirmation(struct leader *leader)
{
	leader->confirmed_ms = leader->renewal_sent_ms;
	leader->renewal_failed = false;
	advance_after(leader, leader->ttl_ms / RENEWALS_PER_LEASE);
}

static char *resigned_key(TALLOC_CTX *mem, uint64_t term)
{
	return talloc_asprintf(mem, RESIGNED_PREFIX "%" PRIu64, term);
}

static void schedule_renewal_check(struct leader *leader);

/* The store may refuse only this host; a peer that it accepts can store the resignation. */
static void on_renewal_check(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			     void *ctx)
{
	struct leader *leader = ctx;
	uint64_t passed_ms = util_clock_ms() - leader->confirmed_ms;
	struct kv_expect own;
	char *key;

	schedule_renewal_check(leader);
	if (!leader->renewal_failed || passed_ms < leader->ttl_ms * RESIGN_LEASE_SHARE ||
	    leader->resigning_term || leader->rewriting || !leader->handlers.on_refused)
		return;
	leader->resigning_term = leader->term;
	if (!leader->maybe_resigned_ms)
		leader->maybe_resigned_ms = util_clock_ms();
	key = resigned_key(leader, leader->term);
	own = leader_expect(leader);
	leader->handlers.on_refused(key, leader->node, &own, leader->handlers.ctx);
	talloc_free(key);
}

static void schedule_renewal_check(struct leader *leader)
{
	leader->renewal_check = tevent_add_timer(
		leader->ev, leader, tevent_timeval_current_ofs(0, RENEWAL_CHECK_MS * 1000),
		on_renewal_check, leader);
}

void leader_resignation_stored(struct leader *leader, int status)
{
	uint64_t term = leader->resigning_term;

	leader->resigning_term = 0;
	if (!term || term != leader->term)
		return;
	if (status == 0) {
		end_term(leader,
			 "a peer has stored its resignation because the store refuses this host");
		return;
	}
	if (status != -ERR_UNAVAILABLE)
		leader->resignation_unknown = true;
	if (!leader->resignation_unknown)
		leader->maybe_resigned_ms = 0;
}

/* Value of the leader key in a term of this process. */
static char *key_value(TALLOC_CTX *mem, const struct leader *leader, uint64_t term)
{
	json_t *value = json_pack("{s:s, s:s, s:I}", "node", leader->node, "address",
				  leader->address, "term", (json_int_t)term);
	char *text = json_dumps(value, JSON_COMPACT);
	char *copy = talloc_strdup(mem, text);

	free(text);
	json_decref(value);
	return copy;
}

/*
 * The term of a leader key that this process has written, by its latest attempt or by an earlier
 * one that was carried out late; 0 if the key is not its own or its term must not begin.
 */
static uint64_t own_term(const struct leader *leader, const struct kv_item *item)
{
	struct leader_record *record = leader_record_read(NULL, item);
	uint64_t term = record ? record->term : 0;
	char *own = key_value(NULL, leader, term);
	bool may_begin = term >= leader->tried_from && term <= leader->tried_to &&
			 term > leader->heard_term && term != leader->resigned_term;

	if (strcmp(item->value, own) != 0 || (term != leader->term && !may_begin))
		term = 0;
	talloc_free(own);
	talloc_free(record);
	return term;
}

/*
 * The leader key is that of a term of this process. The term is the one that the key names: no
 * other process gets that one, while the counter may have been read again since the key was
 * written.
 *
 * @confirmed_ms: see struct leader; 0: nothing is certain before the lease is renewed
 */
static void hold_key(struct leader *leader, uint64_t term, int64_t revision, int64_t lease,
		     uint64_t confirmed_ms)
{
	bool again = leader->term == term;

	if (!again)
		end_term(leader, "this process has written the key of a later term");
	leader->revision = revision;
	leader->lease = lease;
	leader->vacant = false;
	leader->replaceable_revision = 0;
	leader->maybe_resigned_ms = 0;
	leader->resignation_unknown = false;
	leader->confirmed_ms = confirmed_ms;
	leader->renewal_failed = false;
	advance_after(leader, confirmed_ms ? leader->ttl_ms / RENEWALS_PER_LEASE : 0);
	if (again)
		return;
	leader->term = term;
	schedule_renewal_check(leader);
	log_info("leader_gained", "", "term %" PRIu64, leader->term);
	leader->handlers.on_gained(leader->term, leader->handlers.ctx);
}

/* Begins the term of a key whose write got no answer. */
static void begin_found_term(struct leader *leader, uint64_t term, const struct kv_item *item)
{
	log_info("leader_found", "",
		 "the key of term %" PRIu64 " was written by an attempt without an answer", term);
	hold_key(leader, term, item->revision, item->lease ? item->lease : leader->lease, 0);
}

/*
 * Continues the term with its stored key, whose write may have got no answer. If a late write has
 * bound the key to an earlier lease, that lease is the one to renew, and nothing is certain before
 * its renewal.
 */
static void adopt_key(struct leader *leader, const struct kv_item *item)
{
	leader->revision = item->revision;
	if (item->lease == 0 || item->lease == leader->lease)
		return;
	log_info("leader_lease", "", "the leader key belongs to an earlier lease of this process");
	leader->lease = item->lease;
	leader->confirmed_ms = 0;
	advance_after(leader, 0);
}

/*
 * After a lost answer, the leader key shows whether an attempt took effect. Returns false if none
 * did, or if a resignation of the term is stored.
 */
static bool take_own_key(struct leader *leader, const struct kv_result *result)
{
	const struct kv_item *own = NULL;
	bool resigned = false;

	for (size_t i = 0; i < result->count; i++) {
		const struct kv_item *item = &result->items[i];

		if (item->revision == 0)
			continue;
		if (!strcmp(item->key, LEADER_KEY) && own_term(leader, item))
			own = item;
		resigned = resigned || g_str_has_prefix(item->key, RESIGNED_PREFIX);
	}
	if (own && !resigned) {
		begin_found_term(leader, own_term(leader, own), own);
		return true;
	}
	/* A resignation of a term that has not begun: the term is left out. */
	if (resigned && !leader->term)
		leader->heard_term = MAX(leader->heard_term, leader->next_term);
	end_term(leader, resigned ? "its resignation is stored" : "another process was elected");
	return false;
}

static void on_leader_key_written(int status, const struct kv_result *result, void *ctx)
{
	struct leader *leader = end_call(ctx);

	if (!leader || leader->resigned)
		return; /* leader_resign() ends the lease */
	if (status == 0) {
		hold_key(leader, leader->next_term, result->revision, leader->tried_lease,
			 leader->renewal_sent_ms);
		return;
	}
	if (status == -ERR_CONFLICT && take_own_key(leader, result))
		return;
	/* No key is known to belong to this lease, so a renewal would confirm nothing. */
	if (leader->term && (leader->vacant || leader->replaceable_revision))
		leader->lease = 0;
	advance_after(leader, RETRY_MS);
}

static void write_leader_key(struct leader *leader)
{
	char term_text[24];
	bool again = leader->term == leader->next_term;
	char *own_resignation = resigned_key(NULL, leader->next_term);
	struct kv_expect expects[3] = {
		{LEADER_KEY, leader->vacant ? 0 : leader->replaceable_revision},
		{TERM_KEY, leader->term_revision},
		{own_resignation, 0}};
	struct kv_put puts[2] = {{LEADER_KEY, NULL, leader->lease}, {TERM_KEY, term_text, 0}};
	char *resigned = resigned_key(NULL, leader->resigned_term);
	const char *removes[1] = {resigned};
	struct kv_txn txn = {
		.expects = expects, .expect_count = 3, .puts = puts, .removes = removes};
	char *value = key_value(NULL, leader, leader->next_term);

	if (!leader->tried_to)
		leader->tried_from = leader->next_term;
	leader->tried_to = leader->next_term;
	leader->tried_lease = leader->lease;
	snprintf(term_text, sizeof(term_text), "%" PRIu64, leader->next_term);
	puts[0].value = value;
	/* A leader that continues its own term does not increment the counter. */
	txn.put_count = again ? 1 : 2;
	/* The next leader removes the resignation of the one it replaces. */
	txn.remove_count = !leader->term && leader->resigned_term > 0 &&
			   leader->resigned_term == leader->next_term - 1;
	leader->kv->ops->txn(leader->kv->impl, &txn, begin_call(leader, on_leader_key_written));
	talloc_free(value);
	talloc_free(resigned);
	talloc_free(own_resignation);
}

static void on_lease_revoked(int status, const struct kv_result *result, void *ctx)
{
	if (status)
		log_info("leader_resign", "", "the lease could not be revoked; it will expire");
}

/* True if the key of an earlier attempt was found during an election, which then ends. */
static bool holds_key(const struct leader *leader)
{
	return leader->term && leader->lease;
}

static void on_lease_granted(int status, const struct kv_result *result, void *ctx)
{
	struct leader *leader = end_call(ctx);

	if (!leader)
		return;
	if (status) {
		advance_after(leader, RETRY_MS);
		return;
	}
	if (leader->resigned || holds_key(leader)) {
		leader->kv->ops->lease_end(leader->kv->impl, result->lease,
					   (struct kv_cb){on_lease_revoked, NULL});
		if (!leader->resigned)
			advance_after(leader, 0);
		return;
	}
	leader->lease = result->lease;
	write_leader_key(leader);
}

/* The agents follow no term below one that they know, whatever the counter says. */
static uint64_t known_term(const struct leader *leader)
{
	return MAX(leader->term, MAX(leader->known_term, leader->heard_term));
}

/* An unusable counter is counted on from the latest term known otherwise. */
static uint64_t read_term_counter(const struct leader *leader, const char *text)
{
	uint64_t stored;

	if (jsonread_decimal(text, LEADER_TERM_MAX - 1, &stored) && stored > 0)
		return stored;
	log_once("term_unreadable", TERM_KEY,
		 "the counter of terms is unusable; %" PRIu64 " is the latest term known",
		 known_term(leader));
	return known_term(leader);
}

static void on_term_read(int status, const struct kv_result *result, void *ctx)
{
	struct leader *leader = end_call(ctx);
	uint64_t stored = 0;

	if (!leader || leader->resigned)
		return;
	if (status || holds_key(leader)) {
		advance_after(leader, status ? RETRY_MS : 0);
		return;
	}
	leader->term_revision = 0;
	if (result->count > 0) {
		leader->term_revision = result->items[0].revision;
		stored = read_term_counter(leader, result->items[0].value);
	}
	if (leader->term && stored != leader->term)
		end_term(leader, "another process has been leader since");
	leader->next_term = leader->term ? leader->term : MAX(stored, known_term(leader)) + 1;
	leader->renewal_sent_ms = util_clock_ms();
	leader->kv->ops->lease_grant(leader->kv->impl, leader->ttl_ms,
				     begin_call(leader, on_lease_granted));
}

/* Adopts the stored state of the leader key after a conflict. */
static void resolve_conflict(struct leader *leader, const struct kv_result *result)
{
	for (size_t i = 0; i < result->count; i++) {
		const struct kv_item *item = &result->items[i];

		if (strcmp(item->key, LEADER_KEY) != 0) {
			if (item->revision > 0) {
				end_term(leader, "its resignation is stored");
				break;
			}
		} else if (item->revision == 0) {
			leader->lease = 0;
			leader->vacant = true;
		} else if (own_term(leader, item) != leader->term) {
			end_term(leader, "another process was elected");
			break;
		} else {
			adopt_key(leader, item);
		}
	}
}

static void on_key_rewritten(int status, const struct kv_result *result, void *ctx)
{
	struct leader *leader = end_call(ctx);

	if (!leader)
		return;
	leader->rewriting = false;
	if (!leader->term)
		return;
	if (status == 0) {
		leader->revision = result->revision;
		leader->maybe_resigned_ms = 0;
		leader->resignation_unknown = false;
		log_info("leader_stays", "", "term %" PRIu64 ": no resignation is stored",
			 leader->term);
		record_confirmation(leader);
		return;
	}
	if (status == -ERR_CONFLICT)
		resolve_conflict(leader, result);
	advance_after(leader, RETRY_MS);
}

/* Writes the leader key again, unless a resignation is stored; none can be stored after that. */
static void end_possible_resignation(struct leader *leader)
{
	char *resigned = resigned_key(NULL, leader->term);
	struct kv_expect expects[2] = {leader_expect(leader), {resigned, 0}};
	char *value = key_value(NULL, leader, leader->term);
	struct kv_put put = {LEADER_KEY, value, leader->lease};
	struct kv_txn txn = {.expects = expects, .expect_count = 2, .puts = &put, .put_count = 1};

	leader->rewriting = true;
	leader->kv->ops->txn(leader->kv->impl, &txn, begin_call(leader, on_key_rewritten));
	talloc_free(value);
	talloc_free(resigned);
}

static void on_renewed(int status, const struct kv_result *result, void *ctx)
{
	struct leader *leader = end_call(ctx);

	if (!leader || !leader->term)
		return;
	if (status == 0 && leader->maybe_resigned_ms) {
		end_possible_resignation(leader);
		return;
	}
	if (status == 0) {
		record_confirmation(leader);
		return;
	}
	leader->renewal_failed = status != -ERR_NOT_FOUND;
	if (status == -ERR_NOT_FOUND) {
		leader->lease = 0;
		leader->vacant = true;
	}
	advance_after(leader, status == -ERR_NOT_FOUND ? 0 : RETRY_MS);
}

/* Does what is due: renews the lease, or tries to become leader. */
static void advance_election(struct leader *leader)
{
	if (leader->call_pending || leader->resigned || !leader->loaded)
		return;
	if (leader->term && leader->lease) {
		leader->renewal_sent_ms = util_clock_ms();
		leader->kv->ops->lease_keep(leader->kv->impl, leader->lease,
					    begin_call(leader, on_renewed));
		return;
	}
	if (!leader->candidate || (!leader->vacant && !leader->replaceable_revision))
		return;
	leader->kv->ops->get(leader->kv->impl, TERM_KEY, begin_call(leader, on_term_read));
}

static void report_known_leader(struct leader *leader, const char *node, const char *address,
				uint64_t term)
{
	talloc_free(leader->known_address);
	leader->known_address = talloc_strdup(leader, address);
	if (leader->handlers.on_changed)
		leader->handlers.on_changed(node, address, term, leader->handlers.ctx);
}

static void handle_vacancy(struct leader *leader)
{
	leader->vacant = true;
	leader->known_revision = 0;
	leader->replaceable_revision = 0;
	report_known_leader(leader, "", "", 0);
	if (leader->term) {
		leader->lease = 0;
		advance_after(leader, 0);
		return;
	}
	advance_after(leader, CANDIDATE_DELAY_MS + (leader->small_host ? SMALL_HOST_DELAY_MS : 0) +
				      (uint32_t)util_rng_below(&leader->rng, CANDIDATE_JITTER_MS));
}

/*
 * A leader key that names this node before this process has tried to write one was written by an
 * earlier process of the node. That process has ended, so the key may be replaced before its lease
 * expires.
 */
static void note_stale_key(struct leader *leader, const struct kv_item *item, const char *node)
{
	leader->replaceable_revision =
		!leader->tried_to && !strcmp(node, leader->node) ? item->revision : 0;
	if (!leader->replaceable_revision)
		return;
	log_info("leader_stale", "", "the leader key is left from an earlier process of this node");
	if (leader->loaded)
		advance_after(leader, 0);
}

/* The key of a leader whose resignation is stored may also be replaced before its lease expires. */
static void replace_resigned_leader(struct leader *leader)
{
	if (leader->term || leader->resigned_term == 0 ||
	    leader->resigned_term != leader->known_term || leader->known_revision == 0)
		return;
	leader->replaceable_revision = leader->known_revision;
	advance_after(leader, (leader->small_host ? SMALL_HOST_RESIGN_DELAY_MS : 0) +
				      (uint32_t)util_rng_below(&leader->rng, RESIGN_JITTER_MS));
}

/*
 * Of several resignations, the one of the present or the next later term counts, so that one with
 * a number out of order does not hide those of real leaders.
 */
static void note_resignation(struct leader *leader, const struct kv_item *item)
{
	uint64_t term;

	if (item->revision == 0)
		return;
	if (!jsonread_decimal(item->key + strlen(RESIGNED_PREFIX), LEADER_TERM_MAX, &term)) {
		log_once("resignation_unreadable", item->key, "the key names no term");
		return;
	}
	if (term < leader->known_term ||
	    (leader->resigned_term >= leader->known_term && leader->resigned_term <= term &&
	     leader->resigned_term > 0))
		return;
	leader->resigned_term = term;
	log_info("leader_resigned", "",
		 "%.64s, term %" PRIu64 ", has resigned because the store refuses it", item->value,
		 term);
	replace_resigned_leader(leader);
}

struct leader_record *leader_record_read(TALLOC_CTX *mem, const struct kv_item *item)
{
	json_t *json = json_loadb(item->value, item->value_len, 0, NULL);
	const char *node = jsonread_text(json_object_get(json, "node"));
	const char *address = jsonread_text(json_object_get(json, "address"));
	struct leader_record *record = NULL;
	uint64_t term = 0;

	if (node && *node && address && fields_is_peer_address(address) &&
	    jsonread_u64(json_object_get(json, "term"), LEADER_TERM_MAX, &term) && term > 0) {
		record = talloc_zero(mem, struct leader_record);
		record->node = talloc_strdup(record, node);
		record->address = talloc_strdup(record, address);
		record->term = term;
	} else {
		log_once("leader_unreadable", item->key,
			 "the record of the leader has an unusable node, address or term");
	}
	json_decref(json);
	return record;
}

static void replace_unreadable_key_later(struct leader *leader)
{
	advance_after(leader, leader->ttl_ms * UNREADABLE_KEY_LEASES +
				      (uint32_t)util_rng_below(&leader->rng, CANDIDATE_JITTER_MS));
}

/*
 * Another writer has overwritten the leader key. The leader writes its own again, unless another
 * one has been elected. Without a leader the key would stay, as it may belong to no lease.
 */
static void handle_unreadable_key(struct leader *leader, const struct kv_item *item)
{
	leader->unreadable_revision = item->revision;
	leader->replaceable_revision = item->revision;
	leader->known_revision = item->revision;
	if (leader->term) {
		leader->lease = 0;
		advance_after(leader, 0);
		return;
	}
	if (leader->loaded)
		replace_unreadable_key_later(leader);
}

/* Every election raises the term, so none has written this record over that of this process. */
static bool is_foreign_record(const struct leader *leader, const struct kv_item *item,
			      const struct leader_record *record)
{
	bool foreign = leader->term && item->revision > leader->revision &&
		       record->term <= leader->term && own_term(leader, item) != leader->term;

	if (foreign)
		log_once("leader_unreadable", item->key,
			 "another writer has replaced the record of term %" PRIu64, leader->term);
	return foreign;
}

static void on_item(const struct kv_item *item, void *ctx)
{
	struct leader *leader = ctx;
	struct leader_record *record;
	uint64_t own;

	if (g_str_has_prefix(item->key, RESIGNED_PREFIX))
		note_resignation(leader, item);
	if (strcmp(item->key, LEADER_KEY) != 0)
		return;
	leader->unreadable_revision = 0;
	if (item->revision == 0) {
		handle_vacancy(leader);
		return;
	}
	leader->vacant = false;
	record = leader_record_read(leader, item);
	if (!record || is_foreign_record(leader, item, record)) {
		talloc_free(record);
		handle_unreadable_key(leader, item);
		return;
	}
	/* If the key is its own, the answer to the attempt that wrote it was lost. */
	own = own_term(leader, item);
	if (leader->term && record->term > leader->term && !own)
		end_term(leader, "another process was elected");
	if (own && own == leader->term)
		adopt_key(leader, item);
	else if (own && !leader->resigned)
		begin_found_term(leader, own, item);
	leader->known_term = record->term;
	leader->known_revision = item->revision;
	note_stale_key(leader, item, record->node);
	replace_resigned_leader(leader);
	report_known_leader(leader, record->node, record->address, record->term);
	talloc_free(record);
}

static void on_loaded(void *ctx)
{
	struct leader *leader = ctx;
	bool first = !leader->loaded;

	leader->loaded = true;
	if (first && leader->unreadable_revision)
		replace_unreadable_key_later(leader);
	else if (first && !leader->known_address)
		handle_vacancy(leader);
	else if (first && leader->replaceable_revision)
		advance_after(leader, 0);
}

struct leader *leader_create(TALLOC_CTX *mem, struct tevent_context *ev, struct kv *kv,
			     const struct leader_options *options,
			     const struct leader_handlers *handlers)
{
	struct leader *leader = talloc_zero(mem, struct leader);
	struct kv_mirror_handlers mirror = {on_item, on_loaded, leader};

	leader->ev = ev;
	leader->kv = kv;
	leader->handlers = *handlers;
	leader->node = talloc_strdup(leader, options->node);
	leader->address = talloc_strdup(leader, options->address);
	leader->ttl_ms = options->ttl_ms;
	leader->candidate = options->candidate;
	leader->small_host = options->processors > 0 && options->processors < LEADER_PROCESSORS_MIN;
	util_random_bytes(&leader->rng.state, sizeof(leader->rng.state));
	leader->calls = callref_create(ev, leader);
	leader->mirror = kv_mirror_create(leader, ev, kv, LEADER_KEY, &mirror);
	return leader;
}

uint64_t leader_term(const struct leader *leader)
{
	return leader->term;
}

struct kv_expect leader_expect(const struct leader *leader)
{
	return (struct kv_expect){LEADER_KEY, leader->revision};
}

int64_t leader_lease_left_ms(const struct leader *leader)
{
	uint64_t until_ms = leader->confirmed_ms + leader->ttl_ms;

	if (!leader->term)
		return INT64_MIN;
	if (leader->maybe_resigned_ms && leader->maybe_resigned_ms < until_ms)
		until_ms = leader->maybe_resigned_ms;
	return (int64_t)until_ms - (int64_t)util_clock_ms();
}

bool leader_confirmed(const struct leader *leader)
{
	return leader_lease_left_ms(leader) > 0;
}

uint64_t leader_unconfirmed_ms(const struct leader *leader)
{
	return util_clock_ms() - leader->confirmed_ms;
}

bool leader_renewal_overdue(const struct leader *leader)
{
	return leader->term && (leader->resigning_term ||
				util_clock_ms() - leader->confirmed_ms > leader->ttl_ms / 2);
}

void leader_deposed(struct leader *leader, uint64_t term)
{
	if (term > LEADER_TERM_MAX)
		log_once("term_unreadable", "", "an agent names a term that can't exist");
	if (term > LEADER_TERM_MAX || term <= leader->term)
		return;
	leader->heard_term = MAX(leader->heard_term, term);
	end_term(leader, "a worker obeys a later leader");
}

const char *leader_address(const struct leader *leader)
{
	return leader->known_address ? leader->known_address : "";
}

bool leader_store_answers(const struct leader *leader)
{
	return leader->loaded && kv_mirror_failing_ms(leader->mirror) < leader->ttl_ms;
}

void leader_resign(struct leader *leader)
{
	int64_t lease = leader->lease;

	leader->resigned = true;
	TALLOC_FREE(leader->step_timer);
	end_term(leader, "this process shuts down");
	if (lease)
		leader->kv->ops->lease_end(leader->kv->impl, lease,
					   (struct kv_cb){on_lease_revoked, NULL});
}
