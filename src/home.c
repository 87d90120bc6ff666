#include "home.h"
#include "log.h"
#include "util.h"

#include <string.h>

#define PROBE_MS 30000	    /* between introductions to an entry that did not answer */
#define HELLO_MIN_MS 5000   /* between repeated introductions to one entry */
#define HELLO_ASKED_MS 1000 /* likewise, when the entry seems not to know this agent */
#define RETIRE_MS 60000	    /* an entry no longer listed may still finish its requests */

struct entry {
	struct entry *next;
	char *peer;
	char *address;
	uint64_t weight;
	uint64_t failed_since_ms; /* did not answer as home and was not heard since; 0: neither */
	bool heard;		  /* sent something: a list may name entries that have gone */
	uint64_t hello_ms;
	uint64_t entries_version; /* of the last ENTRIES from it */
	uint64_t retired_ms;	  /* since when it is not listed any more; 0: listed */
};

struct home {
	struct home_deps deps;
	struct discover *discover;
	struct entry *entries;
	struct entry *home; /* NULL while no entry is known */
	struct msg_heartbeat last;
	uint64_t sent_ms;
	uint64_t changed_ms;
	uint64_t waiting_since_ms; /* first heartbeat without an answer; 0: all answered */
	bool answered;		   /* the current home has answered at least once */
};

static uint64_t weight(const char *peer, const char *node)
{
	return util_hash64(node, strlen(node), util_hash_str(peer));
}

size_t home_choose(const char *const *peers, size_t count, const char *node)
{
	size_t best = 0;

	for (size_t i = 1; i < count; i++) {
		if (weight(peers[i], node) > weight(peers[best], node))
			best = i;
	}
	return best;
}

static struct entry *find_entry(const struct home *h, const char *peer)
{
	for (struct entry *e = h->entries; e; e = e->next) {
		if (!strcmp(e->peer, peer))
			return e;
	}
	return NULL;
}

static void send_announce(struct home *h, const struct entry *entry)
{
	struct msg msg = {.type = MSG_ANNOUNCE};
	struct msg_announce *announce = &msg.u.announce;

	if (!h->deps.fill_announce(announce, h->deps.ctx))
		return;
	announce->node = h->deps.settings->node;
	announce->incarnation = h->deps.incarnation;
	announce->clock_ms = util_clock_ms();
	wire_send(h->deps.wire, entry->peer, &msg);
}

static void send_hello(struct home *h, struct entry *entry)
{
	const struct settings *settings = h->deps.settings;
	struct msg msg = {
		.type = MSG_HELLO,
		.u.hello =
			{
				.node = settings->node,
				.incarnation = h->deps.incarnation,
				.role = MSG_ROLE_AGENT,
				.region = settings->region,
				.zone = settings->zone,
				.rack = settings->rack,
				.address = h->deps.address,
				.clock_ms = util_clock_ms(),
			},
	};

	entry->hello_ms = msg.u.hello.clock_ms;
	wire_send(h->deps.wire, entry->peer, &msg);
	send_announce(h, entry);
}

/* Entries that answer come first, by weight; those that do not, the one that failed first. */
static bool preferred(const struct entry *a, const struct entry *b)
{
	bool a_live = a->heard && !a->failed_since_ms;
	bool b_live = b->heard && !b->failed_since_ms;

	if (a_live != b_live)
		return a_live;
	if (!a_live && a->failed_since_ms != b->failed_since_ms)
		return a->failed_since_ms < b->failed_since_ms;
	return a->weight > b->weight;
}

static struct entry *choose_home(const struct home *h)
{
	struct entry *best = NULL;

	for (struct entry *e = h->entries; e; e = e->next) {
		if (!e->retired_ms && (!best || preferred(e, best)))
			best = e;
	}
	return best;
}

static void set_home(struct home *h, struct entry *entry, uint64_t now_ms)
{
	if (h->home == entry)
		return;
	h->home = entry;
	h->answered = false;
	h->waiting_since_ms = 0;
	h->sent_ms = 0;
	if (!entry)
		return;
	log_info("home_changed", "", "home entry is %s", entry->peer);
	metrics_count(h->deps.metrics, "jaycourse_home_changes_total", "",
		      "Changes of the agent's home entry");
	if (now_ms - entry->hello_ms >= HELLO_MIN_MS)
		send_hello(h, entry);
}

static void remove_entry(struct home *h, struct entry *entry)
{
	struct entry **at = &h->entries;

	while (*at != entry)
		at = &(*at)->next;
	*at = entry->next;
	if (h->home == entry)
		h->home = NULL;
	wire_disconnect(h->deps.wire, entry->peer);
	talloc_free(entry);
}

/* An entry at a known address under a new name has restarted. */
static void remove_predecessor(struct home *h, const char *address)
{
	for (struct entry *e = h->entries; e; e = e->next) {
		if (strcmp(e->address, address) != 0)
			continue;
		remove_entry(h, e);
		return;
	}
}

static void add_entry(struct home *h, const char *peer, const char *address)
{
	struct entry *entry = find_entry(h, peer);

	if (entry && entry->retired_ms) {
		entry->retired_ms = 0;
		entry->heard = false;
		send_hello(h, entry);
	}
	if (entry)
		return;
	remove_predecessor(h, address);
	if (wire_connect(h->deps.wire, peer, address)) {
		log_warn("entry_address", "", "cannot connect to entry %s at %s", peer, address);
		return;
	}
	entry = talloc_zero(h, struct entry);
	entry->peer = talloc_strdup(entry, peer);
	entry->address = talloc_strdup(entry, address);
	entry->weight = weight(peer, h->deps.settings->node);
	entry->next = h->entries;
	h->entries = entry;
	send_hello(h, entry);
}

static bool listed(const char *peer, const char **peers, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (!strcmp(peers[i], peer))
			return true;
	}
	return false;
}

/* An entry that shuts down is not listed, but its requests still get their answers. */
static void retire_unlisted(struct home *h, const char **peers, size_t count)
{
	for (struct entry *e = h->entries; e; e = e->next) {
		if (!e->retired_ms && !listed(e->peer, peers, count))
			e->retired_ms = util_clock_ms();
	}
}

static void remove_retired(struct home *h, uint64_t now_ms)
{
	struct entry *next;

	for (struct entry *e = h->entries; e; e = next) {
		next = e->next;
		if (e->retired_ms && now_ms - e->retired_ms >= RETIRE_MS &&
		    !h->deps.busy(e->peer, h->deps.ctx))
			remove_entry(h, e);
	}
}

static void set_entries(struct home *h, const char **peers, const char **addresses, size_t count,
			bool whole)
{
	uint64_t now = util_clock_ms();

	if (whole)
		retire_unlisted(h, peers, count);
	for (size_t i = 0; i < count; i++)
		add_entry(h, peers[i], addresses[i]);
	set_home(h, choose_home(h), now);
}

static void on_found(const char **peers, const char **addresses, size_t count, void *ctx)
{
	set_entries(ctx, peers, addresses, count, true);
}

struct home *home_create(TALLOC_CTX *mem, const struct home_deps *deps)
{
	struct home *h = talloc_zero(mem, struct home);
	struct discover_deps discover = {
		.ev = deps->ev,
		.http = deps->http,
		.store = deps->store,
		.settings = deps->settings,
		.metrics = deps->metrics,
		.on_entries = on_found,
		.ctx = h,
	};

	h->deps = *deps;
	h->discover = discover_create(h, &discover);
	discover_start(h->discover);
	return h;
}

void home_announce(struct home *h)
{
	for (struct entry *e = h->entries; e; e = e->next)
		send_announce(h, e);
	h->changed_ms = util_clock_ms();
}

void home_resumed(struct home *h, uint64_t now_ms)
{
	for (struct entry *e = h->entries; e; e = e->next)
		send_hello(h, e);
	h->waiting_since_ms = 0;
	h->changed_ms = now_ms;
	h->sent_ms = 0;
}

static bool same_load(const struct msg_heartbeat *a, const struct msg_heartbeat *b)
{
	return a->in_flight == b->in_flight && a->connections_used == b->connections_used &&
	       a->accelerators_free == b->accelerators_free &&
	       a->config_revision == b->config_revision;
}

static void send_heartbeat(struct home *h, uint64_t now_ms)
{
	struct msg msg = {.type = MSG_HEARTBEAT};
	struct msg_heartbeat *beat = &msg.u.heartbeat;
	uint64_t period = HOME_PERIOD_MS;

	h->deps.fill_heartbeat(beat, h->deps.ctx);
	if (!same_load(beat, &h->last))
		h->changed_ms = now_ms;
	if (now_ms - h->changed_ms >= HOME_QUIET_AFTER_MS)
		period = HOME_QUIET_PERIOD_MS;
	if (now_ms - h->sent_ms < period)
		return;
	beat->sequence = h->last.sequence + 1;
	beat->clock_ms = util_clock_ms();
	h->last = *beat;
	h->sent_ms = now_ms;
	if (!h->waiting_since_ms)
		h->waiting_since_ms = now_ms;
	wire_send(h->deps.wire, h->home->peer, &msg);
}

static void check_answers(struct home *h, uint64_t now_ms)
{
	if (!h->waiting_since_ms || now_ms - h->waiting_since_ms < HOME_ACK_TIMEOUT_MS)
		return;
	log_warn("home_lost", "", "home entry %s has not answered for %d ms", h->home->peer,
		 HOME_ACK_TIMEOUT_MS);
	metrics_retry(h->deps.metrics, "home_lost");
	h->home->failed_since_ms = now_ms;
	h->waiting_since_ms = 0;
	h->answered = false;
	set_home(h, choose_home(h), now_ms);
	/* Every known entry is silent: perhaps all have been replaced. */
	if (h->home->failed_since_ms)
		discover_start(h->discover);
}

static void probe_failed(struct home *h, uint64_t now_ms)
{
	for (struct entry *e = h->entries; e; e = e->next) {
		bool live = e->heard && !e->failed_since_ms;

		if (!live && !e->retired_ms && now_ms - e->hello_ms >= PROBE_MS)
			send_hello(h, e);
	}
}

void home_tick(struct home *h, uint64_t now_ms)
{
	if (h->home)
		check_answers(h, now_ms);
	probe_failed(h, now_ms);
	remove_retired(h, now_ms);
	set_home(h, choose_home(h), now_ms);
	if (h->home)
		send_heartbeat(h, now_ms);
	else
		discover_start(h->discover);
}

static void take_ack(struct home *h, struct entry *entry, const struct msg_heartbeat_ack *ack)
{
	uint64_t now = util_clock_ms();

	if (entry != h->home)
		return;
	h->waiting_since_ms = 0;
	h->answered = true;
	discover_stop(h->discover);
	/* The list is sent on HELLO; a lost one is asked for by introducing ourselves again. */
	if (ack->entries_version != entry->entries_version && now - entry->hello_ms >= HELLO_MIN_MS)
		send_hello(h, entry);
}

static void take_entries(struct home *h, struct entry *entry, const struct msg_entries *entries)
{
	size_t count = entries->ids.count;
	uint64_t now = util_clock_ms();

	if (count == 0 || count != entries->addresses.count)
		return;
	entry->entries_version = entries->version;
	/* A list in place of an answer to a heartbeat: the entry has dropped this agent's row. */
	if (h->waiting_since_ms && entry == h->home && now - entry->hello_ms >= HELLO_ASKED_MS)
		send_hello(h, entry);
	/* Only the home entry's view may remove others: it answers us, others may be cut off. */
	set_entries(h, entries->ids.items, entries->addresses.items, count, entry == h->home);
}

bool home_message(struct home *h, const char *peer, const struct msg *msg)
{
	struct entry *entry = find_entry(h, peer);

	if (entry) {
		entry->failed_since_ms = 0;
		entry->heard = true;
	}
	if (msg->type != MSG_HEARTBEAT_ACK && msg->type != MSG_ENTRIES)
		return false;
	if (!entry)
		return true;
	if (msg->type == MSG_HEARTBEAT_ACK)
		take_ack(h, entry, &msg->u.heartbeat_ack);
	else
		take_entries(h, entry, &msg->u.entries);
	return true;
}

bool home_connected(const struct home *h)
{
	return h->home && h->answered;
}
