#include "relay.h"

#include "fields.h"
#include "jsonread.h"
#include "log.h"
#include "util.h"

#include <glib.h>
#include <string.h>

#define ENTRY_PREFIX "entry/"
#define LINK_PREFIX "entry:"
#define ANSWER_WAIT_MS 350	 /* a peer whose store works answers within a tenth of this */
#define SILENT_PEER_SKIP_MS 5000 /* a peer that did not answer is not asked for this time */
#define REGISTER_RETRY_MS 500
#define PROBED_PEERS_MAX 8 /* asked at once whether the store answers them */
#define PROBE_WAIT_MS 150  /* an entry answers a probe without a call to the store */

struct peer_entry {
	struct peer_entry *next;
	char *node;
	char *address;
	char *link;
	uint64_t skip_until_ms;
};

struct relay {
	struct relay_deps deps;
	struct kv_mirror *mirror;
	struct peer_entry *peers;
	GHashTable *calls; /* number -> struct relay_call */
	uint64_t next_number;
	struct util_rng rng;
	bool registered;
};

/* A write that this entry asks its peers for. */
struct relay_call {
	struct relay *relay;
	uint64_t number;
	char *key;
	char *value;
	char *requires;
	int64_t requires_revision;
	struct peer_entry *asked; /* peer that was asked last, NULL once it is removed */
	char **tried;		  /* nodes of the peers tried so far */
	size_t tried_count;
	char *probed[PROBED_PEERS_MAX]; /* nodes of the peers that have not answered the probe */
	size_t probed_count;
	char *ready[PROBED_PEERS_MAX]; /* nodes of the peers that the store answers */
	size_t ready_count;
	bool maybe_written;
	struct tevent_timer *timer;	  /* for the answer of the peer that was asked last */
	struct tevent_timer *probe_timer; /* set while answers to probes are waited for */
	void (*done)(int status, void *ctx);
	void *ctx;
};

/* A write that this entry makes for a peer. */
struct peer_write {
	struct relay *relay;
	char *peer;
	uint64_t number;
	char *key;
	char *value;
	char *requires;
	int64_t requires_revision; /* 0: any */
};

static void ask_next_peer(struct relay_call *call);

static void finish_call(struct relay_call *call, int status)
{
	if (status == -ERR_UNAVAILABLE && call->maybe_written)
		status = -ERR_OUTCOME_UNKNOWN;
	g_hash_table_remove(call->relay->calls, &call->number);
	call->done(status, call->ctx);
	talloc_free(call);
}

static void on_answer_timeout(struct tevent_context *ev, struct tevent_timer *te,
			      struct timeval now, void *ctx)
{
	struct relay_call *call = ctx;

	call->timer = NULL;
	call->maybe_written = true;
	if (call->asked)
		call->asked->skip_until_ms = util_clock_ms() + SILENT_PEER_SKIP_MS;
	ask_next_peer(call);
}

static bool was_tried(const struct relay_call *call, const char *node)
{
	for (size_t i = 0; i < call->tried_count; i++) {
		if (!strcmp(call->tried[i], node))
			return true;
	}
	return false;
}

static struct peer_entry *find_peer(const struct relay *relay, const char *node)
{
	for (struct peer_entry *peer = relay->peers; peer; peer = peer->next) {
		if (!strcmp(peer->node, node))
			return peer;
	}
	return NULL;
}

/* The next peer that the store answers and that was not asked for the write yet. */
static struct peer_entry *next_peer(const struct relay_call *call)
{
	for (size_t i = 0; i < call->ready_count; i++) {
		struct peer_entry *peer = find_peer(call->relay, call->ready[i]);

		if (peer && !was_tried(call, peer->node))
			return peer;
	}
	return NULL;
}

static bool send_request(struct relay_call *call, const struct peer_entry *peer)
{
	struct wire *wire = call->relay->deps.wire;
	struct msg msg = {.type = MSG_RELAY,
			  .u.relay = {.id = call->number,
				      .key = call->key,
				      .requires_key = call->requires,
				      .requires_revision = (uint64_t)call->requires_revision,
				      .value = {(uint8_t *)call->value, strlen(call->value)}}};

	return !wire_connect(wire, peer->link, peer->address) && !wire_send(wire, peer->link, &msg);
}

static void ask_next_peer(struct relay_call *call)
{
	struct peer_entry *peer;

	while ((peer = next_peer(call))) {
		call->tried = talloc_realloc(call, call->tried, char *, call->tried_count + 1);
		call->tried[call->tried_count++] = talloc_strdup(call, peer->node);
		if (!send_request(call, peer))
			continue;
		call->asked = peer;
		metrics_count_retry(call->relay->deps.metrics, "store_by_peer");
		call->timer = tevent_add_timer(call->relay->deps.ev, call,
					       tevent_timeval_current_ofs(0, ANSWER_WAIT_MS * 1000),
					       on_answer_timeout, call);
		return;
	}
	call->asked = NULL;
	if (!call->probe_timer)
		finish_call(call, -ERR_UNAVAILABLE);
}

/* Continues without the peers that have not answered the probe. */
static void on_probe_timeout(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			     void *ctx)
{
	struct relay_call *call = ctx;

	call->probe_timer = NULL;
	for (size_t i = 0; i < call->probed_count; i++) {
		struct peer_entry *peer = find_peer(call->relay, call->probed[i]);

		if (peer)
			peer->skip_until_ms = util_clock_ms() + SILENT_PEER_SKIP_MS;
	}
	if (!call->timer)
		ask_next_peer(call);
}

static bool send_probe(struct relay_call *call, const struct peer_entry *peer)
{
	struct wire *wire = call->relay->deps.wire;
	struct msg msg = {.type = MSG_RELAY_PROBE, .u.relay_probe.id = call->number};

	return !wire_connect(wire, peer->link, peer->address) && !wire_send(wire, peer->link, &msg);
}

/* Asks some peers, from a random one on, whether the store answers them. */
static void probe_peers(struct relay_call *call)
{
	struct relay *relay = call->relay;
	uint64_t now_ms = util_clock_ms();
	uint64_t count = 0;
	uint64_t skipped;

	for (struct peer_entry *peer = relay->peers; peer; peer = peer->next)
		count++;
	skipped = count ? util_rng_below(&relay->rng, count) : 0;
	for (int round = 0; round < 2; round++) {
		uint64_t index = 0;

		for (struct peer_entry *peer = relay->peers; peer; peer = peer->next, index++) {
			bool in_round = round == 0 ? index >= skipped : index < skipped;

			if (!in_round || peer->skip_until_ms > now_ms ||
			    call->probed_count == PROBED_PEERS_MAX || !send_probe(call, peer))
				continue;
			call->probed[call->probed_count++] = talloc_strdup(call, peer->node);
		}
	}
}

static void on_put_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			 void *ctx)
{
	struct relay_call *call = ctx;

	probe_peers(call);
	if (!call->probed_count) {
		finish_call(call, -ERR_UNAVAILABLE);
		return;
	}
	call->probe_timer = tevent_add_timer(call->relay->deps.ev, call,
					     tevent_timeval_current_ofs(0, PROBE_WAIT_MS * 1000),
					     on_probe_timeout, call);
}

/* Returns false if no answer to a probe is expected from the peer. */
static bool take_probed(struct relay_call *call, const char *node)
{
	for (size_t i = 0; i < call->probed_count; i++) {
		if (strcmp(call->probed[i], node) != 0)
			continue;
		talloc_free(call->probed[i]);
		call->probed[i] = call->probed[--call->probed_count];
		return true;
	}
	return false;
}

static void on_probe_answer(struct relay *relay, const char *link,
			    const struct msg_relay_probed *msg)
{
	struct relay_call *call = g_hash_table_lookup(relay->calls, &msg->id);
	const char *node;

	if (!call || !call->probe_timer || !g_str_has_prefix(link, LINK_PREFIX))
		return;
	node = link + strlen(LINK_PREFIX);
	if (!take_probed(call, node))
		return;
	if (msg->code == 0)
		call->ready[call->ready_count++] = talloc_strdup(call, node);
	if (!call->probed_count)
		TALLOC_FREE(call->probe_timer);
	if (!call->timer && (msg->code == 0 || !call->probe_timer))
		ask_next_peer(call);
}

static void answer_probe(struct relay *relay, const char *peer, const struct msg_relay_probe *msg)
{
	struct kv *kv = relay->deps.kv;
	bool answers = kv->ops->is_responding(kv->impl);
	struct msg answer = {
		.type = MSG_RELAY_PROBED,
		.u.relay_probed = {.id = msg->id, .code = answers ? 0 : ERR_UNAVAILABLE}};

	if (wire_send(relay->deps.wire, peer, &answer))
		log_debug("probe_unsent", peer, "cannot send the answer to the entry that asked");
}

void relay_put(struct relay *relay, const char *key, const char *value, const char *requires,
	       int64_t requires_revision, void (*done)(int status, void *ctx), void *ctx)
{
	struct relay_call *call = talloc_zero(relay, struct relay_call);

	call->relay = relay;
	call->number = ++relay->next_number;
	call->key = talloc_strdup(call, key);
	call->value = talloc_strdup(call, value);
	call->requires = talloc_strdup(call, requires ? requires : "");
	call->requires_revision = requires_revision;
	call->done = done;
	call->ctx = ctx;
	g_hash_table_insert(relay->calls, &call->number, call);
	/* The timer ensures that @done is never called before this function returns. */
	tevent_add_timer(relay->deps.ev, call, tevent_timeval_zero(), on_put_timer, call);
}

const char *relay_connect(struct relay *relay, const char *after, const char **link)
{
	bool found = *after == '\0';

	for (struct peer_entry *peer = relay->peers; peer; peer = peer->next) {
		if (found && !wire_connect(relay->deps.wire, peer->link, peer->address)) {
			*link = peer->link;
			return peer->node;
		}
		found = found || !strcmp(peer->node, after);
	}
	return NULL;
}

static void answer_peer(struct peer_write *peer_write, int status)
{
	struct msg msg = {.type = MSG_RELAYED,
			  .u.relayed = {.id = peer_write->number, .code = (uint64_t)-status}};

	if (wire_send(peer_write->relay->deps.wire, peer_write->peer, &msg))
		log_debug("relay_unsent", peer_write->key,
			  "cannot send the answer to the entry that asked");
	talloc_free(peer_write);
}

static void on_written(int status, const struct kv_result *result, void *ctx)
{
	answer_peer(ctx, status);
}

static void write_for_peer(struct peer_write *peer_write)
{
	struct kv *kv = peer_write->relay->deps.kv;
	struct kv_expect expects[2] = {{peer_write->key, 0},
				       {peer_write->requires, peer_write->requires_revision}};
	struct kv_put put = {peer_write->key, peer_write->value, 0};
	struct kv_txn txn = {.expects = expects,
			     .expect_count = peer_write->requires_revision ? 2 : 1,
			     .puts = &put,
			     .put_count = 1};

	kv->ops->txn(kv->impl, &txn, (struct kv_cb){on_written, peer_write});
}

static void on_required_key_read(int status, const struct kv_result *result, void *ctx)
{
	if (status)
		answer_peer(ctx, -ERR_UNAVAILABLE);
	else if (result->count == 0)
		answer_peer(ctx, -ERR_NOT_FOUND);
	else
		write_for_peer(ctx);
}

static void handle_request(struct relay *relay, const char *peer, const struct msg_relay *msg)
{
	struct peer_write *peer_write = talloc_zero(relay, struct peer_write);
	struct kv *kv = relay->deps.kv;

	peer_write->relay = relay;
	peer_write->peer = talloc_strdup(peer_write, peer);
	peer_write->number = msg->id;
	peer_write->key = talloc_strdup(peer_write, msg->key);
	peer_write->value =
		talloc_strndup(peer_write, (const char *)msg->value.data, msg->value.len);
	peer_write->requires = talloc_strdup(peer_write, msg->requires_key);
	peer_write->requires_revision = (int64_t)msg->requires_revision;
	/* A key that can't be sent to the store would be left out of the transaction. */
	if (!g_utf8_validate(msg->key, -1, NULL) || !g_utf8_validate(msg->requires_key, -1, NULL) ||
	    !*msg->key || msg->requires_revision > INT64_MAX) {
		log_once("relay_refused", peer, "the write names an unusable key or revision");
		answer_peer(peer_write, -ERR_UNAVAILABLE);
	} else if (!kv->ops->is_responding(kv->impl)) {
		answer_peer(peer_write, -ERR_UNAVAILABLE);
	} else if (*msg->requires_key && !msg->requires_revision) {
		kv->ops->get(kv->impl, msg->requires_key,
			     (struct kv_cb){on_required_key_read, peer_write});
	} else {
		write_for_peer(peer_write);
	}
}

/* Returns true if @link is the connection to a peer that was asked for this write. */
static bool was_asked(const struct relay_call *call, const char *link)
{
	return g_str_has_prefix(link, LINK_PREFIX) && was_tried(call, link + strlen(LINK_PREFIX));
}

static void on_relay_answer(struct relay *relay, const char *link, const struct msg_relayed *msg)
{
	struct relay_call *call = g_hash_table_lookup(relay->calls, &msg->id);
	int status = msg->code < ERR_CODE_COUNT ? -(int)msg->code : -ERR_OUTCOME_UNKNOWN;
	bool refused = status == -ERR_OUTCOME_UNKNOWN || status == -ERR_UNAVAILABLE;

	if (!call || !was_asked(call, link))
		return;
	/* A late refusal does not end the wait for the peer that was asked after it. */
	if (refused && (!call->asked || strcmp(call->asked->link, link) != 0))
		return;
	TALLOC_FREE(call->timer);
	if (status == -ERR_OUTCOME_UNKNOWN)
		call->maybe_written = true;
	if (refused)
		ask_next_peer(call);
	else
		finish_call(call, status);
}

bool relay_message(struct relay *relay, const char *peer, const struct msg *msg)
{
	if (msg->type == MSG_RELAY)
		handle_request(relay, peer, &msg->u.relay);
	else if (msg->type == MSG_RELAYED)
		on_relay_answer(relay, peer, &msg->u.relayed);
	else if (msg->type == MSG_RELAY_PROBE)
		answer_probe(relay, peer, &msg->u.relay_probe);
	else if (msg->type == MSG_RELAY_PROBED)
		on_probe_answer(relay, peer, &msg->u.relay_probed);
	else
		return false;
	return true;
}

static void remove_peer(struct relay *relay, const char *node)
{
	GHashTableIter iter;
	gpointer value;

	for (struct peer_entry **at = &relay->peers; *at; at = &(*at)->next) {
		struct peer_entry *peer = *at;

		if (strcmp(peer->node, node) != 0)
			continue;
		g_hash_table_iter_init(&iter, relay->calls);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			if (((struct relay_call *)value)->asked == peer)
				((struct relay_call *)value)->asked = NULL;
		}
		wire_disconnect(relay->deps.wire, peer->link);
		*at = peer->next;
		talloc_free(peer);
		return;
	}
}

static void on_entry_item(const struct kv_item *item, void *ctx)
{
	struct relay *relay = ctx;
	const char *node = item->key + strlen(ENTRY_PREFIX);
	struct peer_entry *peer;

	if (!strcmp(node, relay->deps.node))
		return;
	remove_peer(relay, node);
	if (item->revision == 0)
		return;
	if (!jsonread_is_name(node) || !fields_is_peer_address(item->value)) {
		log_once("entry_unreadable", item->key,
			 "the key names no node, or its value is no address");
		return;
	}
	peer = talloc_zero(relay, struct peer_entry);
	peer->node = talloc_strdup(peer, node);
	peer->address = talloc_strdup(peer, item->value);
	peer->link = talloc_asprintf(peer, LINK_PREFIX "%s", node);
	peer->next = relay->peers;
	relay->peers = peer;
}

static void register_entry(struct relay *relay);

static void on_register_timer(struct tevent_context *ev, struct tevent_timer *te,
			      struct timeval now, void *ctx)
{
	register_entry(ctx);
}

static void on_registered(int status, const struct kv_result *result, void *ctx)
{
	struct relay *relay = ctx;

	relay->registered = status == 0;
	if (status)
		tevent_add_timer(relay->deps.ev, relay,
				 tevent_timeval_current_ofs(0, REGISTER_RETRY_MS * 1000),
				 on_register_timer, relay);
}

static void register_entry(struct relay *relay)
{
	char *key = talloc_asprintf(relay, ENTRY_PREFIX "%s", relay->deps.node);
	struct kv_put put = {key, wire_address(relay->deps.wire), 0};
	struct kv_txn txn = {.puts = &put, .put_count = 1};

	relay->deps.kv->ops->txn(relay->deps.kv->impl, &txn, (struct kv_cb){on_registered, relay});
	talloc_free(key);
}

static int relay_destructor(struct relay *relay)
{
	g_hash_table_destroy(relay->calls);
	return 0;
}

struct relay *relay_create(TALLOC_CTX *mem, const struct relay_deps *deps)
{
	struct relay *relay = talloc_zero(mem, struct relay);
	struct kv_mirror_handlers handlers = {on_entry_item, NULL, relay};

	relay->deps = *deps;
	relay->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	util_random_bytes(&relay->rng.state, sizeof(relay->rng.state));
	talloc_set_destructor(relay, relay_destructor);
	register_entry(relay);
	relay->mirror = kv_mirror_create(relay, deps->ev, deps->kv, ENTRY_PREFIX, &handlers);
	return relay;
}
