#include "peers.h"
#include "jsonread.h"
#include "log.h"
#include "registration.h"
#include "util.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define DELTA_PERIOD_MS 200
#define DIGEST_PERIOD_MS 1000
#define STALL_MIN_MS 1000     /* a gap this long between two ticks means the process was stopped */
#define HELLO_PERIOD_MS 10000 /* HELLO is repeated because a restarted entry has lost it */
#define LIST_PERIOD_MS 5000
#define INCARNATION_AHEAD_MAX_MS (24 * 3600 * 1000) /* clocks of hosts differ by less */
#define UNLISTED_TIMEOUT_MS 5000 /* without a digest, for entries that the store does not list */
/* Listed entries time out as well, because the list is out of date while the store is down. */
#define LISTED_TIMEOUT_MS 30000

struct entry {
	char *peer;
	char *node;
	uint64_t incarnation;
	char *peer_address;
	char *http_address;
	char *zone;
	char *region;
	bool listed; /* found in the store when it was last read */
	uint64_t heard_ms;
	uint64_t hello_ms;
};

struct peers {
	struct peers_deps deps;
	GPtrArray *entries;	   /* the other entries */
	uint64_t version;	   /* of the list of entries that is sent to agents */
	GHashTable *sent_versions; /* agent to the uint64_t list version last sent to it */
	struct registration *registration;
	bool leaving;
	bool listing;
	uint64_t tick_ms; /* time of the last tick */
	uint64_t next_digest_ms;
	uint64_t next_renew_ms;
	uint64_t next_list_ms;
	uint64_t slice_revision;
	char *slice;
};

static int peers_destructor(struct peers *peers)
{
	g_ptr_array_free(peers->entries, TRUE);
	g_hash_table_destroy(peers->sent_versions);
	return 0;
}

bool peers_registered(const struct peers *peers)
{
	return registration_complete(peers->registration);
}

static bool is_live(const struct entry *entry, uint64_t now)
{
	return now - entry->heard_ms < (entry->listed ? LISTED_TIMEOUT_MS : UNLISTED_TIMEOUT_MS);
}

static void entry_list_changed(struct peers *peers)
{
	peers->version++;
	peers->deps.on_entries(peers->entries->len + 1, peers->deps.ctx);
}

static struct entry *find_entry(const struct peers *peers, const char *peer)
{
	for (guint i = 0; i < peers->entries->len; i++) {
		struct entry *entry = g_ptr_array_index(peers->entries, i);

		if (!strcmp(entry->peer, peer))
			return entry;
	}
	return NULL;
}

static void send_hello(struct peers *peers, struct entry *entry)
{
	struct msg msg = {.type = MSG_HELLO};
	const struct settings *settings = peers->deps.settings;

	entry->hello_ms = util_clock_ms();
	msg.u.hello = (struct msg_hello){
		.node = settings->node,
		.incarnation = peers->deps.incarnation,
		.role = MSG_ROLE_ENTRY,
		.region = settings->region,
		.zone = settings->zone,
		.rack = "",
		.address = peers->deps.peer_address,
		.clock_ms = entry->hello_ms,
	};
	wire_send(peers->deps.wire, entry->peer, &msg);
}

static void remove_entry(struct peers *peers, struct entry *entry)
{
	log_info("entry_gone", "", "%s", entry->peer);
	wire_disconnect(peers->deps.wire, entry->peer);
	g_ptr_array_remove(peers->entries, entry);
	talloc_free(entry);
	entry_list_changed(peers);
}

static struct entry *find_entry_of_node(const struct peers *peers, const char *node)
{
	for (guint i = 0; i < peers->entries->len; i++) {
		struct entry *entry = g_ptr_array_index(peers->entries, i);

		if (!strcmp(entry->node, node))
			return entry;
	}
	return NULL;
}

/* Splits "<node id>#<incarnation>"; false when malformed. */
static bool split_peer(TALLOC_CTX *mem, const char *peer, char **node, uint64_t *incarnation)
{
	const char *mark = strrchr(peer, '#');

	/* A start far in the future would make every later process seem outdated. */
	if (!mark || mark == peer || !jsonread_is_name(peer) ||
	    !jsonread_decimal(mark + 1, util_wall_ms() + INCARNATION_AHEAD_MAX_MS, incarnation))
		return false;
	*node = talloc_strndup(mem, peer, (size_t)(mark - peer));
	return true;
}

/*
 * Returns the entry named @peer, added if missing. Returns NULL for this node, for a process that a
 * newer incarnation has replaced, and if @peer or @address is malformed.
 */
static struct entry *find_or_add_entry(struct peers *peers, const char *peer, const char *address)
{
	struct entry *entry = find_entry(peers, peer);
	struct entry *old;

	if (entry)
		return entry;
	entry = talloc_zero(peers, struct entry);
	if (!split_peer(entry, peer, &entry->node, &entry->incarnation) ||
	    !strcmp(entry->node, peers->deps.settings->node)) {
		talloc_free(entry);
		return NULL;
	}
	old = find_entry_of_node(peers, entry->node);
	if ((old && old->incarnation > entry->incarnation) ||
	    wire_connect(peers->deps.wire, peer, address)) {
		talloc_free(entry);
		return NULL;
	}
	if (old)
		remove_entry(peers, old);
	entry->peer = talloc_strdup(entry, peer);
	entry->peer_address = talloc_strdup(entry, address);
	entry->http_address = talloc_strdup(entry, "");
	entry->zone = talloc_strdup(entry, "");
	entry->region = talloc_strdup(entry, "");
	entry->heard_ms = util_clock_ms();
	g_ptr_array_add(peers->entries, entry);
	log_info("entry_found", "", "%s at %s", peer, address);
	send_hello(peers, entry);
	entry_list_changed(peers);
	return entry;
}

static void replace_string(struct entry *entry, char **field, const char *value)
{
	if (!strcmp(*field, value))
		return;
	talloc_free(*field);
	*field = talloc_strdup(entry, value);
}

static void apply_listed_entry(struct peers *peers, const struct store_kv *kv)
{
	json_t *json = json_loadb(kv->value, kv->value_len, 0, NULL);
	const char *peer = NULL;
	const char *address = NULL;
	const char *http = "";
	const char *zone = "";
	const char *region = "";
	struct entry *entry = NULL;

	if (!json_unpack(json, "{s:s, s:s, s?s, s?s, s?s}", "peer", &peer, "peer_address", &address,
			 "http_address", &http, "zone", &zone, "region", &region))
		entry = find_or_add_entry(peers, peer, address);
	else
		log_once("entry_unreadable", kv->key,
			 "its record lacks a field or has a wrong one");
	if (entry) {
		entry->listed = true;
		replace_string(entry, &entry->http_address, http);
		replace_string(entry, &entry->zone, zone);
		replace_string(entry, &entry->region, region);
	}
	json_decref(json);
}

static void remove_dead_entries(struct peers *peers)
{
	uint64_t now = util_clock_ms();

	for (guint i = peers->entries->len; i-- > 0;) {
		struct entry *entry = g_ptr_array_index(peers->entries, i);

		if (!is_live(entry, now))
			remove_entry(peers, entry);
	}
}

static void on_listed(int status, const struct store_result *result, void *ctx)
{
	struct peers *peers = ctx;

	peers->listing = false;
	if (status)
		return;
	for (guint i = 0; i < peers->entries->len; i++)
		((struct entry *)g_ptr_array_index(peers->entries, i))->listed = false;
	for (size_t i = 0; i < result->count; i++)
		apply_listed_entry(peers, &result->kvs[i]);
	remove_dead_entries(peers);
}

static void list_entries(struct peers *peers)
{
	struct store_cb cb = {on_listed, peers};

	if (peers->listing)
		return;
	peers->listing = true;
	store_range(peers->deps.store, REGISTRATION_PREFIX, 0, cb);
}

static void send_entries(struct peers *peers, const char *agent)
{
	struct msg msg = {.type = MSG_ENTRIES};
	const char **ids = talloc_array(peers, const char *, peers->entries->len + 1);
	const char **addresses = talloc_array(ids, const char *, peers->entries->len + 1);
	size_t count = 0;
	uint64_t *sent_version = g_new(uint64_t, 1);

	if (!peers->leaving) {
		ids[0] = peers->deps.self;
		addresses[count++] = peers->deps.peer_address;
	}
	for (guint i = 0; i < peers->entries->len; i++) {
		const struct entry *entry = g_ptr_array_index(peers->entries, i);

		ids[count] = entry->peer;
		addresses[count++] = entry->peer_address;
	}
	msg.u.entries.version = peers->version;
	msg.u.entries.ids = (struct msg_strings){ids, count};
	msg.u.entries.addresses = (struct msg_strings){addresses, count};
	wire_send(peers->deps.wire, agent, &msg);
	talloc_free(ids);
	*sent_version = peers->version;
	g_hash_table_replace(peers->sent_versions, g_strdup(agent), sent_version);
}

/*
 * Agents close the connection to an entry that is not listed, so an entry that leaves sends this
 * last.
 */
static void send_entries_to_agents(struct peers *peers)
{
	guint count = 0;
	gpointer *agents = g_hash_table_get_keys_as_array(peers->sent_versions, &count);

	for (guint i = 0; i < count; i++) {
		char *agent = g_strdup(agents[i]);

		send_entries(peers, agent);
		g_free(agent);
	}
	g_free(agents);
}

void peers_leave(struct peers *peers)
{
	if (peers->leaving)
		return;
	peers->leaving = true;
	registration_remove(peers->registration);
	entry_list_changed(peers);
	send_entries_to_agents(peers);
}

static void send_to_entries(struct peers *peers, const struct msg *msg)
{
	for (guint i = 0; i < peers->entries->len; i++) {
		const struct entry *entry = g_ptr_array_index(peers->entries, i);

		wire_send(peers->deps.wire, entry->peer, msg);
	}
}

static void send_delta(struct peers *peers, const char *peer, bool full)
{
	TALLOC_CTX *mem = talloc_new(peers);
	struct msg msg = {.type = MSG_TARGET_DELTA};
	size_t count = member_collect_delta(peers->deps.members, mem, full, &msg.u.target_delta);

	if (peer)
		wire_send(peers->deps.wire, peer, &msg);
	else if (count)
		send_to_entries(peers, &msg);
	talloc_free(mem);
}

static void send_digest(struct peers *peers)
{
	struct msg msg = {.type = MSG_DIGEST};

	member_own_digest(peers->deps.members, &msg.u.digest);
	msg.u.digest.config_revision = configrepo_revision(peers->deps.configs);
	send_to_entries(peers, &msg);
}

static void repeat_hellos(struct peers *peers, uint64_t now)
{
	for (guint i = 0; i < peers->entries->len; i++) {
		struct entry *entry = g_ptr_array_index(peers->entries, i);

		if (now - entry->hello_ms >= HELLO_PERIOD_MS)
			send_hello(peers, entry);
	}
}

/* What others sent during a stall has not been read yet, so they do not count as silent. */
static void check_stall(struct peers *peers, uint64_t now)
{
	uint64_t gap = now - peers->tick_ms;

	peers->tick_ms = now;
	if (gap < STALL_MIN_MS)
		return;
	log_warn("process_resumed", "", "the process did not run for %" PRIu64 " ms", gap);
	metrics_count(peers->deps.metrics, "jaycourse_frozen_total", "",
		      "Times the process did not run for more than 1 s");
	member_resumed(peers->deps.members, gap);
	for (guint i = 0; i < peers->entries->len; i++)
		((struct entry *)g_ptr_array_index(peers->entries, i))->heard_ms += gap;
}

static void start_timer(struct peers *peers);

static void on_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval current,
		     void *data)
{
	struct peers *peers = data;
	uint64_t now = util_clock_ms();

	check_stall(peers, now);
	member_tick(peers->deps.members, now);
	send_delta(peers, NULL, false);
	if (now >= peers->next_digest_ms) {
		peers->next_digest_ms = now + DIGEST_PERIOD_MS;
		send_digest(peers);
		repeat_hellos(peers, now);
		remove_dead_entries(peers);
	}
	if (now >= peers->next_renew_ms) {
		peers->next_renew_ms = now + REGISTRATION_RENEW_MS;
		registration_renew(peers->registration);
	}
	if (now >= peers->next_list_ms) {
		peers->next_list_ms = now + LIST_PERIOD_MS;
		list_entries(peers);
	}
	start_timer(peers);
}

static void start_timer(struct peers *peers)
{
	tevent_add_timer(peers->deps.ev, peers,
			 tevent_timeval_current_ofs(0, DELTA_PERIOD_MS * 1000), on_timer, peers);
}

static void on_target(const struct member_target *target, void *ctx)
{
	struct peers *peers = ctx;

	if (target->state == MSG_TARGET_GONE)
		g_hash_table_remove(peers->sent_versions, target->peer);
}

static char *own_store_value(struct peers *peers)
{
	const struct settings *settings = peers->deps.settings;
	json_t *json =
		json_pack("{s:s, s:s, s:s, s:s, s:s}", "peer", peers->deps.self, "peer_address",
			  peers->deps.peer_address, "http_address", peers->deps.http_address,
			  "zone", settings->zone, "region", settings->region);
	char *text = json_dumps(json, JSON_COMPACT);
	char *copy = talloc_strdup(peers, text);

	free(text);
	json_decref(json);
	return copy;
}

struct peers *peers_create(TALLOC_CTX *mem, const struct peers_deps *deps)
{
	struct peers *peers = talloc_zero(mem, struct peers);
	struct member_handlers handlers = {.on_target = on_target, .ctx = peers};

	peers->deps = *deps;
	member_subscribe(deps->members, &handlers);
	peers->entries = g_ptr_array_new();
	peers->sent_versions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	peers->version = 1;
	talloc_set_destructor(peers, peers_destructor);
	peers->registration = registration_create(peers, deps->store, deps->settings->node,
						  own_store_value(peers));
	list_entries(peers);
	peers->tick_ms = util_clock_ms();
	peers->next_renew_ms = util_clock_ms() + REGISTRATION_RENEW_MS;
	peers->next_list_ms = util_clock_ms() + LIST_PERIOD_MS;
	start_timer(peers);
	return peers;
}

static void append_entry_json(json_t *list, const char *peer, const char *address, const char *http,
			      const char *zone, const char *region)
{
	json_array_append_new(list, json_pack("{s:s, s:s, s:s, s:s, s:s}", "peer", peer,
					      "peer_address", address, "http_address", http, "zone",
					      zone, "region", region));
}

json_t *peers_entries(struct peers *peers)
{
	const struct settings *settings = peers->deps.settings;
	json_t *list = json_array();

	if (!peers->leaving)
		append_entry_json(list, peers->deps.self, peers->deps.peer_address,
				  peers->deps.http_address, settings->zone, settings->region);
	for (guint i = 0; i < peers->entries->len; i++) {
		const struct entry *entry = g_ptr_array_index(peers->entries, i);

		append_entry_json(list, entry->peer, entry->peer_address, entry->http_address,
				  entry->zone, entry->region);
	}
	return list;
}

static json_t *config_slice_json(const struct config *conf)
{
	json_t *services = json_object();
	json_t *classes = json_object();

	for (size_t i = 0; i < conf->service_count; i++)
		json_object_set_new(services, conf->services[i].name,
				    json_pack("{s:i, s:i}", "slots", (int)conf->services[i].slots,
					      "connections", (int)conf->services[i].connections));
	for (size_t i = 0; i < conf->class_count; i++)
		json_object_set_new(
			classes, conf->classes[i].name,
			json_pack("{s:i, s:i}", "deadline_ms", (int)conf->classes[i].deadline_ms,
				  "idempotency_ttl_s", (int)conf->classes[i].idempotency_ttl_s));
	return json_pack("{s:I, s:o, s:o, s:i, s:i}", "revision", (json_int_t)conf->revision,
			 "services", services, "classes", classes, "body_bytes",
			 (int)conf->limits.body_bytes, "reclaim_grace_ms",
			 (int)conf->policy.reclaim_grace_ms);
}

static void update_slice(struct peers *peers)
{
	struct config *config = configrepo_current(peers->deps.configs);
	json_t *json;
	char *text;

	if (!config)
		return;
	if (!peers->slice || peers->slice_revision != config->revision) {
		json = config_slice_json(config);
		text = json_dumps(json, JSON_COMPACT);
		TALLOC_FREE(peers->slice);
		peers->slice = talloc_strdup(peers, text);
		peers->slice_revision = config->revision;
		free(text);
		json_decref(json);
	}
	configrepo_release(peers->deps.configs, config);
}

static void send_slice(struct peers *peers, const char *agent, uint64_t have)
{
	struct msg msg = {.type = MSG_CONFIG_SLICE};

	update_slice(peers);
	if (!peers->slice || have >= peers->slice_revision)
		return;
	msg.u.config_slice.revision = peers->slice_revision;
	msg.u.config_slice.json = (struct msg_bytes){(uint8_t *)peers->slice, strlen(peers->slice)};
	wire_send(peers->deps.wire, agent, &msg);
}

static void on_hello(struct peers *peers, const char *peer, const struct msg_hello *hello)
{
	struct entry *entry;

	if (hello->role == MSG_ROLE_AGENT) {
		member_hello(peers->deps.members, hello, util_clock_ms());
		send_entries(peers, peer);
		return;
	}
	entry = find_or_add_entry(peers, peer, hello->address);
	if (!entry)
		return;
	entry->heard_ms = util_clock_ms();
	replace_string(entry, &entry->zone, hello->zone);
	replace_string(entry, &entry->region, hello->region);
}

static void on_heartbeat(struct peers *peers, const char *peer,
			 const struct msg_heartbeat *heartbeat)
{
	struct msg msg = {.type = MSG_HEARTBEAT_ACK};
	const uint64_t *sent_version = g_hash_table_lookup(peers->sent_versions, peer);

	/*
	 * An unknown agent takes this process for an earlier one at the same address; the list of
	 * entries gives it the new peer name.
	 */
	if (!member_heartbeat(peers->deps.members, peer, heartbeat, util_clock_ms())) {
		send_entries(peers, peer);
		return;
	}
	if (!sent_version || *sent_version != peers->version)
		send_entries(peers, peer);
	msg.u.heartbeat_ack.sequence = heartbeat->sequence;
	msg.u.heartbeat_ack.config_revision = configrepo_revision(peers->deps.configs);
	msg.u.heartbeat_ack.entries_version = peers->version;
	wire_send(peers->deps.wire, peer, &msg);
	if (heartbeat->config_revision < msg.u.heartbeat_ack.config_revision)
		send_slice(peers, peer, heartbeat->config_revision);
}

static void on_digest(struct peers *peers, const char *peer, const struct msg_digest *digest)
{
	struct entry *entry = find_entry(peers, peer);
	struct msg pull = {.type = MSG_DIGEST_PULL};
	struct msg config = {.type = MSG_CONFIG_PULL};

	if (!entry)
		return;
	entry->heard_ms = util_clock_ms();
	if (member_digest(peers->deps.members, peer, digest, entry->heard_ms))
		wire_send(peers->deps.wire, peer, &pull);
	config.u.config_pull.have_revision = configrepo_revision(peers->deps.configs);
	if (digest->config_revision > config.u.config_pull.have_revision)
		wire_send(peers->deps.wire, peer, &config);
}

static void send_config(struct peers *peers, const char *peer, uint64_t have)
{
	struct config *config = configrepo_current(peers->deps.configs);
	struct msg msg = {.type = MSG_CONFIG_REV};
	char *text;

	if (!config)
		return;
	if (config->revision > have) {
		text = json_dumps(config->files, JSON_COMPACT);
		msg.u.config_rev.revision = config->revision;
		msg.u.config_rev.json = (struct msg_bytes){(uint8_t *)text, strlen(text)};
		wire_send(peers->deps.wire, peer, &msg);
		free(text);
	}
	configrepo_release(peers->deps.configs, config);
}

static void offer_config(struct peers *peers, const char *peer, const struct msg_config_rev *rev)
{
	json_t *files = json_loadb((const char *)rev->json.data, rev->json.len, 0, NULL);
	int ret = -ERR_INVALID;

	if (files && find_entry(peers, peer))
		ret = configrepo_offer(peers->deps.configs, rev->revision, files);
	if (ret && ret != -ERR_STALE)
		log_warn("config_offer_refused", "", "revision %" G_GUINT64_FORMAT " from %s: %s",
			 rev->revision, peer, err_name(ret));
	json_decref(files);
}

bool peers_message(struct peers *peers, const char *peer, const struct msg *msg)
{
	switch (msg->type) {
	case MSG_HELLO:
		on_hello(peers, peer, &msg->u.hello);
		return true;
	case MSG_ANNOUNCE:
		member_announce(peers->deps.members, &msg->u.announce, util_clock_ms());
		return true;
	case MSG_HEARTBEAT:
		on_heartbeat(peers, peer, &msg->u.heartbeat);
		return true;
	case MSG_TARGET_DELTA:
		if (find_entry(peers, peer))
			member_delta(peers->deps.members, peer, &msg->u.target_delta,
				     util_clock_ms());
		return true;
	case MSG_DIGEST:
		on_digest(peers, peer, &msg->u.digest);
		return true;
	case MSG_DIGEST_PULL:
		send_delta(peers, peer, true);
		return true;
	case MSG_CONFIG_PULL:
		send_config(peers, peer, msg->u.config_pull.have_revision);
		return true;
	case MSG_CONFIG_REV:
		offer_config(peers, peer, &msg->u.config_rev);
		return true;
	default:
		return false;
	}
}
