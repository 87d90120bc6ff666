#include "peers.h"
#include "log.h"
#include "registration.h"
#include "util.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define DELTA_MS 200
#define DIGEST_MS 1000
#define HELLO_MS 10000 /* repeated, because a peer that restarts loses what it was told */
#define LIST_MS 5000
#define LIVE_MS 5000 /* without a digest, for entries the store does not list */
/* Also for listed ones, because the list is old while the store is down. */
#define LISTED_LIVE_MS 30000

struct entry {
	char *peer;
	char *node;
	uint64_t incarnation;
	char *peer_address;
	char *http_address;
	char *zone;
	char *region;
	bool listed; /* in the store at the last reading */
	uint64_t heard_ms;
	uint64_t hello_ms;
};

struct peers {
	struct peers_deps deps;
	GPtrArray *entries; /* others */
	uint64_t version;   /* of the list told to agents */
	GHashTable *told;   /* agent to the version it was told, by pointer to uint64_t */
	struct registration *registration;
	bool leaving;
	bool listing;
	uint64_t next_digest_ms;
	uint64_t next_renew_ms;
	uint64_t next_list_ms;
	uint64_t slice_revision;
	char *slice;
};

static int peers_destructor(struct peers *p)
{
	g_ptr_array_free(p->entries, TRUE);
	g_hash_table_destroy(p->told);
	return 0;
}

bool peers_registered(const struct peers *p)
{
	return registration_complete(p->registration);
}

static bool live(const struct entry *e, uint64_t now)
{
	return now - e->heard_ms < (e->listed ? LISTED_LIVE_MS : LIVE_MS);
}

static void list_changed(struct peers *p)
{
	p->version++;
	p->deps.on_entries(p->entries->len + 1, p->deps.ctx);
}

static struct entry *find_entry(const struct peers *p, const char *peer)
{
	for (guint i = 0; i < p->entries->len; i++) {
		struct entry *e = g_ptr_array_index(p->entries, i);

		if (!strcmp(e->peer, peer))
			return e;
	}
	return NULL;
}

static void send_hello(struct peers *p, struct entry *e)
{
	struct msg msg = {.type = MSG_HELLO};
	const struct settings *s = p->deps.settings;

	e->hello_ms = util_clock_ms();
	msg.u.hello = (struct msg_hello){
		.node = s->node,
		.incarnation = p->deps.incarnation,
		.role = MSG_ROLE_ENTRY,
		.region = s->region,
		.zone = s->zone,
		.rack = "",
		.address = p->deps.peer_address,
		.clock_ms = e->hello_ms,
	};
	wire_send(p->deps.wire, e->peer, &msg);
}

static void remove_entry(struct peers *p, struct entry *e)
{
	log_info("entry_gone", "", "%s", e->peer);
	wire_disconnect(p->deps.wire, e->peer);
	g_ptr_array_remove(p->entries, e);
	talloc_free(e);
	list_changed(p);
}

static struct entry *find_node(const struct peers *p, const char *node)
{
	for (guint i = 0; i < p->entries->len; i++) {
		struct entry *e = g_ptr_array_index(p->entries, i);

		if (!strcmp(e->node, node))
			return e;
	}
	return NULL;
}

/* Splits "<node id>#<incarnation>"; false when malformed. */
static bool split_peer(TALLOC_CTX *mem, const char *peer, char **node, uint64_t *incarnation)
{
	const char *mark = strrchr(peer, '#');
	char *end = NULL;

	if (!mark || mark == peer)
		return false;
	*incarnation = g_ascii_strtoull(mark + 1, &end, 10);
	if (!mark[1] || *end)
		return false;
	*node = talloc_strndup(mem, peer, (size_t)(mark - peer));
	return true;
}

/* Returns the entry of this incarnation; NULL for this process and for predecessors. */
static struct entry *learn_entry(struct peers *p, const char *peer, const char *address)
{
	struct entry *e = find_entry(p, peer);
	struct entry *old;

	if (e)
		return e;
	e = talloc_zero(p, struct entry);
	if (!split_peer(e, peer, &e->node, &e->incarnation) ||
	    !strcmp(e->node, p->deps.settings->node)) {
		talloc_free(e);
		return NULL;
	}
	old = find_node(p, e->node);
	if ((old && old->incarnation > e->incarnation) ||
	    wire_connect(p->deps.wire, peer, address)) {
		talloc_free(e);
		return NULL;
	}
	if (old)
		remove_entry(p, old);
	e->peer = talloc_strdup(e, peer);
	e->peer_address = talloc_strdup(e, address);
	e->http_address = talloc_strdup(e, "");
	e->zone = talloc_strdup(e, "");
	e->region = talloc_strdup(e, "");
	e->heard_ms = util_clock_ms();
	g_ptr_array_add(p->entries, e);
	log_info("entry_found", "", "%s at %s", peer, address);
	send_hello(p, e);
	list_changed(p);
	return e;
}

static void replace(struct entry *e, char **field, const char *value)
{
	if (!strcmp(*field, value))
		return;
	talloc_free(*field);
	*field = talloc_strdup(e, value);
}

static void take_listed(struct peers *p, const struct store_kv *kv)
{
	json_t *json = json_loadb(kv->value, kv->value_len, 0, NULL);
	const char *peer = NULL;
	const char *address = NULL;
	const char *http = "";
	const char *zone = "";
	const char *region = "";
	struct entry *e = NULL;

	if (!json_unpack(json, "{s:s, s:s, s?s, s?s, s?s}", "peer", &peer, "peer_address", &address,
			 "http_address", &http, "zone", &zone, "region", &region))
		e = learn_entry(p, peer, address);
	if (e) {
		e->listed = true;
		replace(e, &e->http_address, http);
		replace(e, &e->zone, zone);
		replace(e, &e->region, region);
	}
	json_decref(json);
}

static void drop_dead(struct peers *p)
{
	uint64_t now = util_clock_ms();

	for (guint i = p->entries->len; i-- > 0;) {
		struct entry *e = g_ptr_array_index(p->entries, i);

		if (!live(e, now))
			remove_entry(p, e);
	}
}

static void on_listed(int status, const struct store_result *result, void *ctx)
{
	struct peers *p = ctx;

	p->listing = false;
	if (status)
		return;
	for (guint i = 0; i < p->entries->len; i++)
		((struct entry *)g_ptr_array_index(p->entries, i))->listed = false;
	for (size_t i = 0; i < result->count; i++)
		take_listed(p, &result->kvs[i]);
	drop_dead(p);
}

static void list_entries(struct peers *p)
{
	struct store_cb cb = {on_listed, p};

	if (p->listing)
		return;
	p->listing = true;
	store_range(p->deps.store, REGISTRATION_PREFIX, 0, cb);
}

static void send_entries(struct peers *p, const char *agent)
{
	struct msg msg = {.type = MSG_ENTRIES};
	const char **ids = talloc_array(p, const char *, p->entries->len + 1);
	const char **addresses = talloc_array(ids, const char *, p->entries->len + 1);
	size_t count = 0;
	uint64_t *told = g_new(uint64_t, 1);

	if (!p->leaving) {
		ids[0] = p->deps.self;
		addresses[count++] = p->deps.peer_address;
	}
	for (guint i = 0; i < p->entries->len; i++) {
		const struct entry *e = g_ptr_array_index(p->entries, i);

		ids[count] = e->peer;
		addresses[count++] = e->peer_address;
	}
	msg.u.entries.version = p->version;
	msg.u.entries.ids = (struct msg_strings){ids, count};
	msg.u.entries.addresses = (struct msg_strings){addresses, count};
	wire_send(p->deps.wire, agent, &msg);
	talloc_free(ids);
	*told = p->version;
	g_hash_table_replace(p->told, g_strdup(agent), told);
}

/* Agents drop the connection to an entry that is not listed, so this comes last. */
static void tell_agents(struct peers *p)
{
	guint count = 0;
	gpointer *agents = g_hash_table_get_keys_as_array(p->told, &count);

	for (guint i = 0; i < count; i++) {
		char *agent = g_strdup(agents[i]);

		send_entries(p, agent);
		g_free(agent);
	}
	g_free(agents);
}

void peers_leave(struct peers *p)
{
	if (p->leaving)
		return;
	p->leaving = true;
	registration_remove(p->registration);
	list_changed(p);
	tell_agents(p);
}

static void to_all(struct peers *p, const struct msg *msg)
{
	for (guint i = 0; i < p->entries->len; i++) {
		const struct entry *e = g_ptr_array_index(p->entries, i);

		wire_send(p->deps.wire, e->peer, msg);
	}
}

static void send_delta(struct peers *p, const char *peer, bool full)
{
	TALLOC_CTX *mem = talloc_new(p);
	struct msg msg = {.type = MSG_TARGET_DELTA};
	size_t count = member_take_delta(p->deps.members, mem, full, &msg.u.target_delta);

	if (peer)
		wire_send(p->deps.wire, peer, &msg);
	else if (count)
		to_all(p, &msg);
	talloc_free(mem);
}

static void send_digest(struct peers *p)
{
	struct msg msg = {.type = MSG_DIGEST};

	member_own_digest(p->deps.members, &msg.u.digest);
	msg.u.digest.config_revision = configrepo_revision(p->deps.configs);
	to_all(p, &msg);
}

static void repeat_hellos(struct peers *p, uint64_t now)
{
	for (guint i = 0; i < p->entries->len; i++) {
		struct entry *e = g_ptr_array_index(p->entries, i);

		if (now - e->hello_ms >= HELLO_MS)
			send_hello(p, e);
	}
}

static void start_timer(struct peers *p);

static void on_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval current,
		     void *data)
{
	struct peers *p = data;
	uint64_t now = util_clock_ms();

	member_tick(p->deps.members, now);
	send_delta(p, NULL, false);
	if (now >= p->next_digest_ms) {
		p->next_digest_ms = now + DIGEST_MS;
		send_digest(p);
		repeat_hellos(p, now);
		drop_dead(p);
	}
	if (now >= p->next_renew_ms) {
		p->next_renew_ms = now + REGISTRATION_RENEW_MS;
		registration_renew(p->registration);
	}
	if (now >= p->next_list_ms) {
		p->next_list_ms = now + LIST_MS;
		list_entries(p);
	}
	start_timer(p);
}

static void start_timer(struct peers *p)
{
	tevent_add_timer(p->deps.ev, p, tevent_timeval_current_ofs(0, DELTA_MS * 1000), on_timer,
			 p);
}

static void on_target(const struct member_target *target, void *ctx)
{
	struct peers *p = ctx;

	if (target->state == MSG_TARGET_GONE)
		g_hash_table_remove(p->told, target->peer);
}

static char *own_record(struct peers *p)
{
	const struct settings *s = p->deps.settings;
	json_t *json = json_pack("{s:s, s:s, s:s, s:s, s:s}", "peer", p->deps.self, "peer_address",
				 p->deps.peer_address, "http_address", p->deps.http_address, "zone",
				 s->zone, "region", s->region);
	char *text = json_dumps(json, JSON_COMPACT);
	char *copy = talloc_strdup(p, text);

	free(text);
	json_decref(json);
	return copy;
}

struct peers *peers_create(TALLOC_CTX *mem, const struct peers_deps *deps)
{
	struct peers *p = talloc_zero(mem, struct peers);
	struct member_handlers handlers = {.on_target = on_target, .ctx = p};

	p->deps = *deps;
	member_subscribe(deps->members, &handlers);
	p->entries = g_ptr_array_new();
	p->told = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->version = 1;
	talloc_set_destructor(p, peers_destructor);
	p->registration = registration_create(p, deps->store, deps->settings->node, own_record(p));
	list_entries(p);
	p->next_renew_ms = util_clock_ms() + REGISTRATION_RENEW_MS;
	p->next_list_ms = util_clock_ms() + LIST_MS;
	start_timer(p);
	return p;
}

static void add_json(json_t *list, const char *peer, const char *address, const char *http,
		     const char *zone, const char *region)
{
	json_array_append_new(list, json_pack("{s:s, s:s, s:s, s:s, s:s}", "peer", peer,
					      "peer_address", address, "http_address", http, "zone",
					      zone, "region", region));
}

json_t *peers_entries(struct peers *p)
{
	const struct settings *s = p->deps.settings;
	json_t *list = json_array();

	if (!p->leaving)
		add_json(list, p->deps.self, p->deps.peer_address, p->deps.http_address, s->zone,
			 s->region);
	for (guint i = 0; i < p->entries->len; i++) {
		const struct entry *e = g_ptr_array_index(p->entries, i);

		add_json(list, e->peer, e->peer_address, e->http_address, e->zone, e->region);
	}
	return list;
}

static json_t *slice_of(const struct config *c)
{
	json_t *services = json_object();
	json_t *classes = json_object();

	for (size_t i = 0; i < c->service_count; i++)
		json_object_set_new(services, c->services[i].name,
				    json_pack("{s:i, s:i}", "slots", (int)c->services[i].slots,
					      "connections", (int)c->services[i].connections));
	for (size_t i = 0; i < c->class_count; i++)
		json_object_set_new(classes, c->classes[i].name,
				    json_pack("{s:i, s:i}", "deadline_ms",
					      (int)c->classes[i].deadline_ms, "idempotency_ttl_s",
					      (int)c->classes[i].idempotency_ttl_s));
	return json_pack("{s:I, s:o, s:o, s:i, s:i}", "revision", (json_int_t)c->revision,
			 "services", services, "classes", classes, "body_bytes",
			 (int)c->limits.body_bytes, "reclaim_grace_ms",
			 (int)c->policy.reclaim_grace_ms);
}

static void refresh_slice(struct peers *p)
{
	struct config *config = configrepo_current(p->deps.configs);
	json_t *json;
	char *text;

	if (!config)
		return;
	if (!p->slice || p->slice_revision != config->revision) {
		json = slice_of(config);
		text = json_dumps(json, JSON_COMPACT);
		TALLOC_FREE(p->slice);
		p->slice = talloc_strdup(p, text);
		p->slice_revision = config->revision;
		free(text);
		json_decref(json);
	}
	configrepo_release(p->deps.configs, config);
}

static void send_slice(struct peers *p, const char *agent, uint64_t have)
{
	struct msg msg = {.type = MSG_CONFIG_SLICE};

	refresh_slice(p);
	if (!p->slice || have >= p->slice_revision)
		return;
	msg.u.config_slice.revision = p->slice_revision;
	msg.u.config_slice.json = (struct msg_bytes){(uint8_t *)p->slice, strlen(p->slice)};
	wire_send(p->deps.wire, agent, &msg);
}

static void on_hello(struct peers *p, const char *peer, const struct msg_hello *hello)
{
	struct entry *e;

	if (hello->role == MSG_ROLE_AGENT) {
		member_hello(p->deps.members, hello, util_clock_ms());
		send_entries(p, peer);
		return;
	}
	e = learn_entry(p, peer, hello->address);
	if (!e)
		return;
	e->heard_ms = util_clock_ms();
	replace(e, &e->zone, hello->zone);
	replace(e, &e->region, hello->region);
}

static void on_heartbeat(struct peers *p, const char *peer, const struct msg_heartbeat *heartbeat)
{
	struct msg msg = {.type = MSG_HEARTBEAT_ACK};
	const uint64_t *told = g_hash_table_lookup(p->told, peer);

	/* An agent unknown here takes this process for its predecessor; the list corrects it. */
	if (!member_heartbeat(p->deps.members, peer, heartbeat, util_clock_ms())) {
		send_entries(p, peer);
		return;
	}
	if (!told || *told != p->version)
		send_entries(p, peer);
	msg.u.heartbeat_ack.sequence = heartbeat->sequence;
	msg.u.heartbeat_ack.config_revision = configrepo_revision(p->deps.configs);
	msg.u.heartbeat_ack.entries_version = p->version;
	wire_send(p->deps.wire, peer, &msg);
	if (heartbeat->config_revision < msg.u.heartbeat_ack.config_revision)
		send_slice(p, peer, heartbeat->config_revision);
}

static void on_digest(struct peers *p, const char *peer, const struct msg_digest *digest)
{
	struct entry *e = find_entry(p, peer);
	struct msg pull = {.type = MSG_DIGEST_PULL};
	struct msg config = {.type = MSG_CONFIG_PULL};

	if (!e)
		return;
	e->heard_ms = util_clock_ms();
	if (member_digest(p->deps.members, peer, digest, e->heard_ms))
		wire_send(p->deps.wire, peer, &pull);
	config.u.config_pull.have_revision = configrepo_revision(p->deps.configs);
	if (digest->config_revision > config.u.config_pull.have_revision)
		wire_send(p->deps.wire, peer, &config);
}

static void send_config(struct peers *p, const char *peer, uint64_t have)
{
	struct config *config = configrepo_current(p->deps.configs);
	struct msg msg = {.type = MSG_CONFIG_REV};
	char *text;

	if (!config)
		return;
	if (config->revision > have) {
		text = json_dumps(config->files, JSON_COMPACT);
		msg.u.config_rev.revision = config->revision;
		msg.u.config_rev.json = (struct msg_bytes){(uint8_t *)text, strlen(text)};
		wire_send(p->deps.wire, peer, &msg);
		free(text);
	}
	configrepo_release(p->deps.configs, config);
}

static void take_config(struct peers *p, const char *peer, const struct msg_config_rev *rev)
{
	json_t *files = json_loadb((const char *)rev->json.data, rev->json.len, 0, NULL);
	int ret = -ERR_INVALID;

	if (files && find_entry(p, peer))
		ret = configrepo_offer(p->deps.configs, rev->revision, files);
	if (ret && ret != -ERR_STALE)
		log_warn("config_offer_refused", "", "revision %" G_GUINT64_FORMAT " from %s: %s",
			 rev->revision, peer, err_name(ret));
	json_decref(files);
}

bool peers_message(struct peers *p, const char *peer, const struct msg *msg)
{
	switch (msg->type) {
	case MSG_HELLO:
		on_hello(p, peer, &msg->u.hello);
		return true;
	case MSG_ANNOUNCE:
		member_announce(p->deps.members, &msg->u.announce, util_clock_ms());
		return true;
	case MSG_HEARTBEAT:
		on_heartbeat(p, peer, &msg->u.heartbeat);
		return true;
	case MSG_TARGET_DELTA:
		if (find_entry(p, peer))
			member_delta(p->deps.members, peer, &msg->u.target_delta, util_clock_ms());
		return true;
	case MSG_DIGEST:
		on_digest(p, peer, &msg->u.digest);
		return true;
	case MSG_DIGEST_PULL:
		send_delta(p, peer, true);
		return true;
	case MSG_CONFIG_PULL:
		send_config(p, peer, msg->u.config_pull.have_revision);
		return true;
	case MSG_CONFIG_REV:
		take_config(p, peer, &msg->u.config_rev);
		return true;
	default:
		return false;
	}
}
