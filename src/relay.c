#include "relay.h"

#include "log.h"
#include "util.h"

#include <glib.h>
#include <string.h>

#define ENTRY_PREFIX "entry/"
#define LINK_PREFIX "entry:"
#define ANSWER_WAIT_MS 350  /* a peer whose store works answers within a tenth of this */
#define SILENT_REST_MS 5000 /* a peer that did not answer is left alone for this time */
#define REGISTER_RETRY_MS 500

struct peer_entry {
	struct peer_entry *next;
	char *node;
	char *address;
	char *link;
	uint64_t rest_until_ms;
};

struct relay {
	struct relay_deps deps;
	struct kv_mirror *mirror;
	struct peer_entry *peers;
	GHashTable *calls; /* number -> struct relay_call */
	uint64_t next_number;
	bool registered;
};

/* A write that peers are asked for. */
struct relay_call {
	struct relay *relay;
	uint64_t number;
	char *key;
	char *value;
	char *requires;
	struct peer_entry *asked; /* now */
	char **tried;		  /* nodes, ended by NULL */
	size_t tried_count;
	bool maybe_written;
	struct tevent_timer *timer;
	void (*done)(int status, void *ctx);
	void *ctx;
};

/* A write for a peer. */
struct relay_service {
	struct relay *relay;
	char *peer;
	uint64_t number;
	char *key;
	char *value;
};

static void ask_next(struct relay_call *call);

static void finish(struct relay_call *call, int status)
{
	if (status == -ERR_UNAVAILABLE && call->maybe_written)
		status = -ERR_OUTCOME_UNKNOWN;
	g_hash_table_remove(call->relay->calls, &call->number);
	call->done(status, call->ctx);
	talloc_free(call);
}

static void on_silence(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		       void *ctx)
{
	struct relay_call *call = ctx;

	call->timer = NULL;
	call->maybe_written = true;
	if (call->asked)
		call->asked->rest_until_ms = util_clock_ms() + SILENT_REST_MS;
	ask_next(call);
}

static bool was_tried(const struct relay_call *call, const char *node)
{
	for (size_t i = 0; i < call->tried_count; i++) {
		if (!strcmp(call->tried[i], node))
			return true;
	}
	return false;
}

static struct peer_entry *next_peer(const struct relay_call *call)
{
	uint64_t now_ms = util_clock_ms();

	for (struct peer_entry *p = call->relay->peers; p; p = p->next) {
		if (p->rest_until_ms <= now_ms && !was_tried(call, p->node))
			return p;
	}
	return NULL;
}

static bool ask(struct relay_call *call, const struct peer_entry *peer)
{
	struct wire *wire = call->relay->deps.wire;
	struct msg msg = {.type = MSG_RELAY,
			  .u.relay = {.id = call->number,
				      .key = call->key,
				      .requires_key = call->requires,
				      .value = {(uint8_t *)call->value, strlen(call->value)}}};

	return !wire_connect(wire, peer->link, peer->address) && !wire_send(wire, peer->link, &msg);
}

static void ask_next(struct relay_call *call)
{
	struct peer_entry *peer;

	while ((peer = next_peer(call))) {
		call->tried = talloc_realloc(call, call->tried, char *, call->tried_count + 1);
		call->tried[call->tried_count++] = talloc_strdup(call, peer->node);
		if (!ask(call, peer))
			continue;
		call->asked = peer;
		metrics_retry(call->relay->deps.metrics, "store_by_peer");
		call->timer = tevent_add_timer(call->relay->deps.ev, call,
					       tevent_timeval_current_ofs(0, ANSWER_WAIT_MS * 1000),
					       on_silence, call);
		return;
	}
	finish(call, -ERR_UNAVAILABLE);
}

static void on_first(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		     void *ctx)
{
	ask_next(ctx);
}

void relay_put(struct relay *relay, const char *key, const char *value, const char *requires,
	       void (*done)(int status, void *ctx), void *ctx)
{
	struct relay_call *call = talloc_zero(relay, struct relay_call);

	call->relay = relay;
	call->number = ++relay->next_number;
	call->key = talloc_strdup(call, key);
	call->value = talloc_strdup(call, value);
	call->requires = talloc_strdup(call, requires);
	call->done = done;
	call->ctx = ctx;
	g_hash_table_insert(relay->calls, &call->number, call);
	/* The callback never runs inside the call that registers it. */
	tevent_add_timer(relay->deps.ev, call, tevent_timeval_zero(), on_first, call);
}

const char *relay_connect(struct relay *relay, const char *after, const char **link)
{
	bool found = *after == '\0';

	for (struct peer_entry *p = relay->peers; p; p = p->next) {
		if (found && !wire_connect(relay->deps.wire, p->link, p->address)) {
			*link = p->link;
			return p->node;
		}
		found = found || !strcmp(p->node, after);
	}
	return NULL;
}

static void answer(struct relay_service *service, int status)
{
	struct msg msg = {.type = MSG_RELAYED,
			  .u.relayed = {.id = service->number, .code = (uint64_t)-status}};

	if (wire_send(service->relay->deps.wire, service->peer, &msg))
		log_debug("relay_unsent", service->key, "the asking entry is gone");
	talloc_free(service);
}

static void on_written(int status, const struct kv_result *result, void *ctx)
{
	answer(ctx, status);
}

static void write_for_peer(struct relay_service *service)
{
	struct kv *kv = service->relay->deps.kv;
	struct kv_expect expect = {service->key, 0};
	struct kv_put put = {service->key, service->value, 0};
	struct kv_txn txn = {.expects = &expect, .expect_count = 1, .puts = &put, .put_count = 1};

	kv->ops->txn(kv->impl, &txn, (struct kv_cb){on_written, service});
}

static void on_required(int status, const struct kv_result *result, void *ctx)
{
	if (status)
		answer(ctx, -ERR_UNAVAILABLE);
	else if (result->count == 0)
		answer(ctx, -ERR_NOT_FOUND);
	else
		write_for_peer(ctx);
}

static void serve(struct relay *relay, const char *peer, const struct msg_relay *msg)
{
	struct relay_service *service = talloc_zero(relay, struct relay_service);
	struct kv *kv = relay->deps.kv;

	service->relay = relay;
	service->peer = talloc_strdup(service, peer);
	service->number = msg->id;
	service->key = talloc_strdup(service, msg->key);
	service->value = talloc_strndup(service, (const char *)msg->value.data, msg->value.len);
	if (!kv->ops->answers(kv->impl))
		answer(service, -ERR_UNAVAILABLE);
	else if (*msg->requires_key)
		kv->ops->get(kv->impl, msg->requires_key, (struct kv_cb){on_required, service});
	else
		write_for_peer(service);
}

static void on_relayed(struct relay *relay, const struct msg_relayed *msg)
{
	struct relay_call *call = g_hash_table_lookup(relay->calls, &msg->id);
	int status = -(int)msg->code;

	if (!call)
		return;
	TALLOC_FREE(call->timer);
	if (status == -ERR_OUTCOME_UNKNOWN)
		call->maybe_written = true;
	if (status == -ERR_OUTCOME_UNKNOWN || status == -ERR_UNAVAILABLE)
		ask_next(call);
	else
		finish(call, status);
}

bool relay_message(struct relay *relay, const char *peer, const struct msg *msg)
{
	if (msg->type == MSG_RELAY)
		serve(relay, peer, &msg->u.relay);
	else if (msg->type == MSG_RELAYED)
		on_relayed(relay, &msg->u.relayed);
	else
		return false;
	return true;
}

static void forget_peer(struct relay *relay, const char *node)
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
	forget_peer(relay, node);
	if (item->revision == 0)
		return;
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
	talloc_set_destructor(relay, relay_destructor);
	register_entry(relay);
	relay->mirror = kv_mirror_create(relay, deps->ev, deps->kv, ENTRY_PREFIX, &handlers);
	return relay;
}
