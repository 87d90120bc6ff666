#include "entrylinks.h"
#include "log.h"
#include "util.h"

#include <string.h>

#define PROBE_PERIOD_MS 30000	  /* between HELLOs to an entry that did not answer */
#define HELLO_MIN_MS 5000	  /* least time between repeated HELLOs to one entry */
#define HELLO_UNKNOWN_MIN_MS 1000 /* likewise, when the entry may have no row for this agent */
#define RETIRED_MIN_MS 60000 /* an entry that is no longer listed may still finish its requests */

struct entry {
	struct entry *next;
	char *peer;
	char *address;
	uint64_t rendezvous_weight;
	/* When it failed to answer as home entry; 0 if never, or if it has sent a message since. */
	uint64_t failed_since_ms;
	bool heard; /* has sent a message; false may mean a listed entry that no longer runs */
	uint64_t hello_ms;	  /* time of the last HELLO sent to it */
	uint64_t entries_version; /* of the last ENTRIES that it sent */
	uint64_t retired_ms;	  /* when it was first missing from the list; 0 while listed */
};

struct entrylinks {
	struct entrylinks_deps deps;
	struct discover *discover;
	struct entry *entries;
	struct entry *home_entry; /* NULL while no entry is known */
	struct msg_heartbeat last_heartbeat;
	uint64_t heartbeat_sent_ms;
	uint64_t changed_ms;	   /* time of the last change of load or target state */
	uint64_t waiting_since_ms; /* time of the first unanswered heartbeat; 0 if there is none */
	bool answered;		   /* the current home entry has answered at least once */
};

static uint64_t rendezvous_weight(const char *peer, const char *node)
{
	return util_hash64(node, strlen(node), util_hash_str(peer));
}

size_t entrylinks_choose_home(const char *const *peers, size_t count, const char *node)
{
	size_t best = 0;

	for (size_t i = 1; i < count; i++) {
		if (rendezvous_weight(peers[i], node) > rendezvous_weight(peers[best], node))
			best = i;
	}
	return best;
}

static struct entry *find_entry(const struct entrylinks *links, const char *peer)
{
	for (struct entry *entry = links->entries; entry; entry = entry->next) {
		if (!strcmp(entry->peer, peer))
			return entry;
	}
	return NULL;
}

static void send_announce(struct entrylinks *links, const struct entry *entry)
{
	struct msg msg = {.type = MSG_ANNOUNCE};
	struct msg_announce *announce = &msg.u.announce;

	if (!links->deps.fill_announce(announce, links->deps.ctx))
		return;
	announce->node = links->deps.settings->node;
	announce->incarnation = links->deps.incarnation;
	announce->clock_ms = util_clock_ms();
	wire_send(links->deps.wire, entry->peer, &msg);
}

static void send_hello(struct entrylinks *links, struct entry *entry)
{
	const struct settings *settings = links->deps.settings;
	struct msg msg = {
		.type = MSG_HELLO,
		.u.hello =
			{
				.node = settings->node,
				.incarnation = links->deps.incarnation,
				.role = MSG_ROLE_AGENT,
				.region = settings->region,
				.zone = settings->zone,
				.rack = settings->rack,
				.address = links->deps.address,
				.clock_ms = util_clock_ms(),
			},
	};

	entry->hello_ms = msg.u.hello.clock_ms;
	wire_send(links->deps.wire, entry->peer, &msg);
	send_announce(links, entry);
}

/*
 * Entries that answer come first, by descending weight. Of the entries that do not answer, those
 * that have not failed as home entry come first, then the others in the order of their failures.
 */
static bool is_preferred(const struct entry *first, const struct entry *second)
{
	bool first_live = first->heard && !first->failed_since_ms;
	bool second_live = second->heard && !second->failed_since_ms;

	if (first_live != second_live)
		return first_live;
	if (!first_live && first->failed_since_ms != second->failed_since_ms)
		return first->failed_since_ms < second->failed_since_ms;
	return first->rendezvous_weight > second->rendezvous_weight;
}

static struct entry *choose_home_entry(const struct entrylinks *links)
{
	struct entry *best = NULL;

	for (struct entry *entry = links->entries; entry; entry = entry->next) {
		if (!entry->retired_ms && (!best || is_preferred(entry, best)))
			best = entry;
	}
	return best;
}

static void set_home_entry(struct entrylinks *links, struct entry *entry, uint64_t now_ms)
{
	if (links->home_entry == entry)
		return;
	links->home_entry = entry;
	links->answered = false;
	links->waiting_since_ms = 0;
	links->heartbeat_sent_ms = 0;
	if (!entry)
		return;
	log_info("home_changed", "", "home entry is %s", entry->peer);
	metrics_count(links->deps.metrics, "jaycourse_home_changes_total", "",
		      "Changes of the agent's home entry");
	if (now_ms - entry->hello_ms >= HELLO_MIN_MS)
		send_hello(links, entry);
}

static void remove_entry(struct entrylinks *links, struct entry *entry)
{
	struct entry **link = &links->entries;

	while (*link != entry)
		link = &(*link)->next;
	*link = entry->next;
	if (links->home_entry == entry)
		links->home_entry = NULL;
	wire_disconnect(links->deps.wire, entry->peer);
	talloc_free(entry);
}

/* An entry that appears under a new peer name at a known address has restarted. */
static void remove_predecessor(struct entrylinks *links, const char *address)
{
	for (struct entry *entry = links->entries; entry; entry = entry->next) {
		if (strcmp(entry->address, address) != 0)
			continue;
		remove_entry(links, entry);
		return;
	}
}

static void add_entry(struct entrylinks *links, const char *peer, const char *address)
{
	struct entry *entry = find_entry(links, peer);

	if (entry && entry->retired_ms) {
		entry->retired_ms = 0;
		entry->heard = false;
		send_hello(links, entry);
	}
	if (entry)
		return;
	remove_predecessor(links, address);
	if (wire_connect(links->deps.wire, peer, address)) {
		log_warn("entry_address", "", "cannot connect to entry %s at %s", peer, address);
		return;
	}
	entry = talloc_zero(links, struct entry);
	entry->peer = talloc_strdup(entry, peer);
	entry->address = talloc_strdup(entry, address);
	entry->rendezvous_weight = rendezvous_weight(peer, links->deps.settings->node);
	entry->next = links->entries;
	links->entries = entry;
	send_hello(links, entry);
}

static bool is_listed(const char *peer, const char **peers, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (!strcmp(peers[i], peer))
			return true;
	}
	return false;
}

/*
 * The connection to an entry that is no longer listed stays open for RETIRED_MIN_MS or longer, so
 * that an entry that shuts down still receives the answers to its requests.
 */
static void retire_unlisted_entries(struct entrylinks *links, const char **peers, size_t count)
{
	for (struct entry *entry = links->entries; entry; entry = entry->next) {
		if (!entry->retired_ms && !is_listed(entry->peer, peers, count))
			entry->retired_ms = util_clock_ms();
	}
}

static void remove_retired_entries(struct entrylinks *links, uint64_t now_ms)
{
	struct entry *next;

	for (struct entry *entry = links->entries; entry; entry = next) {
		next = entry->next;
		if (entry->retired_ms && now_ms - entry->retired_ms >= RETIRED_MIN_MS &&
		    !links->deps.is_peer_busy(entry->peer, links->deps.ctx))
			remove_entry(links, entry);
	}
}

static void update_entries(struct entrylinks *links, const char **peers, const char **addresses,
			   size_t count, bool complete)
{
	uint64_t now = util_clock_ms();

	if (complete)
		retire_unlisted_entries(links, peers, count);
	for (size_t i = 0; i < count; i++)
		add_entry(links, peers[i], addresses[i]);
	set_home_entry(links, choose_home_entry(links), now);
}

static void on_found(const char **peers, const char **addresses, size_t count, void *ctx)
{
	update_entries(ctx, peers, addresses, count, true);
}

struct entrylinks *entrylinks_create(TALLOC_CTX *mem, const struct entrylinks_deps *deps)
{
	struct entrylinks *links = talloc_zero(mem, struct entrylinks);
	struct discover_deps discover = {
		.ev = deps->ev,
		.http = deps->http,
		.store = deps->store,
		.settings = deps->settings,
		.metrics = deps->metrics,
		.on_entries = on_found,
		.ctx = links,
	};

	links->deps = *deps;
	links->discover = discover_create(links, &discover);
	discover_start(links->discover);
	return links;
}

void entrylinks_announce(struct entrylinks *links)
{
	for (struct entry *entry = links->entries; entry; entry = entry->next)
		send_announce(links, entry);
	links->changed_ms = util_clock_ms();
}

void entrylinks_resumed(struct entrylinks *links, uint64_t now_ms)
{
	for (struct entry *entry = links->entries; entry; entry = entry->next)
		send_hello(links, entry);
	links->waiting_since_ms = 0;
	links->changed_ms = now_ms;
	links->heartbeat_sent_ms = 0;
}

static bool same_load(const struct msg_heartbeat *first, const struct msg_heartbeat *second)
{
	return first->in_flight == second->in_flight &&
	       first->connections_used == second->connections_used &&
	       first->accelerators_free == second->accelerators_free &&
	       first->config_revision == second->config_revision;
}

static void send_heartbeat(struct entrylinks *links, uint64_t now_ms)
{
	struct msg msg = {.type = MSG_HEARTBEAT};
	struct msg_heartbeat *heartbeat = &msg.u.heartbeat;
	uint64_t period = ENTRYLINKS_HEARTBEAT_MS;

	links->deps.fill_heartbeat(heartbeat, links->deps.ctx);
	if (!same_load(heartbeat, &links->last_heartbeat))
		links->changed_ms = now_ms;
	if (now_ms - links->changed_ms >= ENTRYLINKS_IDLE_AFTER_MS)
		period = ENTRYLINKS_IDLE_HEARTBEAT_MS;
	if (now_ms - links->heartbeat_sent_ms < period)
		return;
	heartbeat->sequence = links->last_heartbeat.sequence + 1;
	heartbeat->clock_ms = util_clock_ms();
	links->last_heartbeat = *heartbeat;
	links->heartbeat_sent_ms = now_ms;
	if (!links->waiting_since_ms)
		links->waiting_since_ms = now_ms;
	wire_send(links->deps.wire, links->home_entry->peer, &msg);
}

static void check_ack_timeout(struct entrylinks *links, uint64_t now_ms)
{
	if (!links->waiting_since_ms ||
	    now_ms - links->waiting_since_ms < ENTRYLINKS_ACK_TIMEOUT_MS)
		return;
	log_warn("home_lost", "", "home entry %s has not answered for %d ms",
		 links->home_entry->peer, ENTRYLINKS_ACK_TIMEOUT_MS);
	metrics_count_retry(links->deps.metrics, "home_lost");
	links->home_entry->failed_since_ms = now_ms;
	links->waiting_since_ms = 0;
	links->answered = false;
	set_home_entry(links, choose_home_entry(links), now_ms);
	/* No known entry answers: all of them may have been replaced. */
	if (links->home_entry->failed_since_ms)
		discover_start(links->discover);
}

static void probe_unresponsive_entries(struct entrylinks *links, uint64_t now_ms)
{
	for (struct entry *entry = links->entries; entry; entry = entry->next) {
		bool live = entry->heard && !entry->failed_since_ms;

		if (!live && !entry->retired_ms && now_ms - entry->hello_ms >= PROBE_PERIOD_MS)
			send_hello(links, entry);
	}
}

void entrylinks_tick(struct entrylinks *links, uint64_t now_ms)
{
	if (links->home_entry)
		check_ack_timeout(links, now_ms);
	probe_unresponsive_entries(links, now_ms);
	remove_retired_entries(links, now_ms);
	set_home_entry(links, choose_home_entry(links), now_ms);
	if (links->home_entry)
		send_heartbeat(links, now_ms);
	else
		discover_start(links->discover);
}

static void handle_heartbeat_ack(struct entrylinks *links, struct entry *entry,
				 const struct msg_heartbeat_ack *ack)
{
	uint64_t now = util_clock_ms();

	if (entry != links->home_entry)
		return;
	links->waiting_since_ms = 0;
	links->answered = true;
	discover_stop(links->discover);
	/* An entry sends its list in answer to HELLO, so another HELLO requests a lost list. */
	if (ack->entries_version != entry->entries_version && now - entry->hello_ms >= HELLO_MIN_MS)
		send_hello(links, entry);
}

static void handle_entries(struct entrylinks *links, struct entry *entry,
			   const struct msg_entries *entries)
{
	size_t count = entries->ids.count;
	uint64_t now = util_clock_ms();

	if (count == 0 || count != entries->addresses.count)
		return;
	entry->entries_version = entries->version;
	/* An entry that has removed this agent's row answers a heartbeat with its list. */
	if (links->waiting_since_ms && entry == links->home_entry &&
	    now - entry->hello_ms >= HELLO_UNKNOWN_MIN_MS)
		send_hello(links, entry);
	/*
	 * Only the home entry's list removes entries: the home entry answers this agent's
	 * heartbeats, whereas another entry may be cut off and have an outdated list.
	 */
	update_entries(links, entries->ids.items, entries->addresses.items, count,
		       entry == links->home_entry);
}

bool entrylinks_message(struct entrylinks *links, const char *peer, const struct msg *msg)
{
	struct entry *entry = find_entry(links, peer);

	if (entry) {
		entry->failed_since_ms = 0;
		entry->heard = true;
	}
	if (msg->type != MSG_HEARTBEAT_ACK && msg->type != MSG_ENTRIES)
		return false;
	if (!entry)
		return true;
	if (msg->type == MSG_HEARTBEAT_ACK)
		handle_heartbeat_ack(links, entry, &msg->u.heartbeat_ack);
	else
		handle_entries(links, entry, &msg->u.entries);
	return true;
}

bool entrylinks_connected(const struct entrylinks *links)
{
	return links->home_entry && links->answered;
}
