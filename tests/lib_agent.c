#include "lib_agent.h"
#include "lib_fake.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define WAIT_MS 20000
#define LOOP_STEP_MS 20
#define STOP_MS 20000
#define SEED_CONNECTIONS 16U

static void serve_entries(const struct fake_request *request, struct fake_reply *reply, void *ctx)
{
	const struct agent_rig *rig = ctx;
	json_t *list = json_array();

	for (unsigned int i = 0; i < rig->entry_count; i++)
		json_array_append_new(list, json_pack("{s:s, s:s}", "peer", rig->entries[i].peer,
						      "peer_address",
						      wire_address(rig->entries[i].wire)));
	fake_reply_json(reply, 200, list);
}

static void send_entries(struct rig_entry *entry, const char *peer)
{
	struct agent_rig *rig = entry->rig;
	const char *ids[AGENT_ENTRIES_MAX];
	const char *addresses[AGENT_ENTRIES_MAX];
	struct msg msg = {.type = MSG_ENTRIES};

	for (unsigned int i = 0; i < rig->entry_count; i++) {
		ids[i] = rig->entries[i].peer;
		addresses[i] = wire_address(rig->entries[i].wire);
	}
	msg.u.entries.version = 1;
	msg.u.entries.ids = (struct msg_strings){ids, rig->entry_count};
	msg.u.entries.addresses = (struct msg_strings){addresses, rig->entry_count};
	wire_send(entry->wire, peer, &msg);
}

static void update_clock_offset(struct agent_rig *rig, uint64_t clock_ms)
{
	rig->clock_offset_ms = (int64_t)clock_ms - (int64_t)util_clock_ms();
}

static void handle_hello(struct rig_entry *entry, const char *peer, const struct msg *msg)
{
	entry->hellos++;
	snprintf(entry->rig->agent_peer, sizeof(entry->rig->agent_peer), "%s", peer);
	update_clock_offset(entry->rig, msg->u.hello.clock_ms);
	send_entries(entry, peer);
}

static void handle_heartbeat(struct rig_entry *entry, const char *peer, const struct msg *msg)
{
	struct msg ack = {.type = MSG_HEARTBEAT_ACK};

	entry->heartbeats++;
	entry->in_flight = msg->u.heartbeat.in_flight;
	update_clock_offset(entry->rig, msg->u.heartbeat.clock_ms);
	/* A real entry answers the same way when it has no row for the agent. */
	if (entry->hellos == 0) {
		send_entries(entry, peer);
		return;
	}
	ack.u.heartbeat_ack.sequence = msg->u.heartbeat.sequence;
	ack.u.heartbeat_ack.entries_version = 1;
	if (!entry->silent)
		wire_send(entry->wire, peer, &ack);
}

static void append_to_inbox(struct agent_rig *rig, struct msg *msg)
{
	rig->inbox = talloc_realloc(rig->mem, rig->inbox, struct msg *, rig->inbox_count + 1);
	rig->inbox[rig->inbox_count++] = talloc_steal(rig->mem, msg);
}

static void handle_announce(struct rig_entry *entry, const struct msg *msg)
{
	entry->target_state = msg->u.announce.state;
	entry->target_incarnation = msg->u.announce.target_incarnation;
}

static void on_message(const char *peer, struct msg *msg, void *ctx)
{
	struct rig_entry *entry = ctx;

	if (msg->type == MSG_HELLO)
		handle_hello(entry, peer, msg);
	else if (msg->type == MSG_HEARTBEAT)
		handle_heartbeat(entry, peer, msg);
	else if (msg->type == MSG_ANNOUNCE)
		handle_announce(entry, msg);
	else
		append_to_inbox(entry->rig, msg);
}

static void start_entry(struct agent_rig *rig, unsigned int index, unsigned int incarnation,
			const char *address)
{
	struct rig_entry *entry = &rig->entries[index];
	struct wire_handlers handlers = {.on_message = on_message, .ctx = entry};

	memset(entry, 0, sizeof(*entry));
	entry->rig = rig;
	entry->metrics = metrics_create(rig->mem);
	snprintf(entry->peer, sizeof(entry->peer), "entry-%u#%u", index, incarnation);
	entry->wire = wire_create(rig->mem, rig->ev, entry->peer, address, &handlers,
				  entry->metrics, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(entry->wire);
}

void rig_restart_entry(struct agent_rig *rig, unsigned int index)
{
	char address[64];

	snprintf(address, sizeof(address), "%s", wire_address(rig->entries[index].wire));
	wire_destroy(rig->entries[index].wire, 0);
	start_entry(rig, index, 2, address);
}

static void on_step_timeout(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			    void *data)
{
	bool *timed_out = data;

	*timed_out = true;
}

/* Runs the event loop until one event, for at most LOOP_STEP_MS. */
static void run_loop_once(struct agent_rig *rig)
{
	bool timed_out = false;
	struct tevent_timer *timer = tevent_add_timer(
		rig->ev, rig->mem, tevent_timeval_current_ofs(0, LOOP_STEP_MS * 1000),
		on_step_timeout, &timed_out);

	tevent_loop_once(rig->ev);
	if (!timed_out)
		talloc_free(timer);
}

bool rig_run_until(struct agent_rig *rig, bool (*check)(struct agent_rig *rig, void *ctx),
		   void *ctx, uint32_t timeout_ms)
{
	uint64_t deadline = util_clock_ms() + timeout_ms;

	while (!check(rig, ctx)) {
		if (util_clock_ms() > deadline)
			return false;
		run_loop_once(rig);
	}
	return true;
}

static bool all_connected(struct agent_rig *rig, void *ctx)
{
	for (unsigned int i = 0; i < rig->entry_count; i++) {
		if (rig->entries[i].hellos == 0)
			return false;
	}
	return true;
}

void rig_prepare(struct agent_rig *rig, unsigned int entries)
{
	memset(rig, 0, sizeof(*rig));
	rig->mem = talloc_new(NULL);
	rig->ev = tevent_context_init(rig->mem);
	for (unsigned int i = 0; i < entries; i++)
		start_entry(rig, i, 1, "127.0.0.1:0");
	rig->entry_count = entries;
	rig->seed = fake_server_start("127.0.0.1:0", SEED_CONNECTIONS, serve_entries, rig);
}

void rig_start_agent(struct agent_rig *rig, const char *seed, const char *store)
{
	char seeds[128];
	char stores[128];
	const char *arguments[] = {"--set", "node=agent-1",
				   "--set", "region=region-1",
				   "--set", "zone=zone-1",
				   "--set", "rack=rack-1",
				   "--set", "http_address=127.0.0.1:0",
				   "--set", "peer_address=127.0.0.1:0",
				   "--set", seeds,
				   NULL,    stores,
				   NULL};

	snprintf(seeds, sizeof(seeds), "seeds=%s", seed);
	snprintf(stores, sizeof(stores), "store_endpoints=%s", store ? store : "");
	if (store)
		arguments[14] = "--set";
	CU_ASSERT_FATAL(proc_start(&rig->agent, "jaycourse-agent", "agent", arguments));
	CU_ASSERT_FATAL(rig_run_until(rig, all_connected, NULL, WAIT_MS));
}

void rig_start(struct agent_rig *rig, unsigned int entries)
{
	rig_prepare(rig, entries);
	rig_start_agent(rig, fake_server_url(rig->seed) + strlen("http://"), NULL);
}

static bool target_announced(struct agent_rig *rig, void *ctx)
{
	return rig->entries[0].target_state == MSG_TARGET_ALIVE;
}

void rig_start_service(struct agent_rig *rig, const char *slots)
{
	char agent[128];
	const char *const arguments[] = {"--agent",   agent,	    "--service", "svc",
					 "--target",  "instance-1", "--slots",	 slots,
					 "--work-ms", "0",	    NULL};

	snprintf(agent, sizeof(agent), "http://%s", rig->agent.address[0]);
	CU_ASSERT_FATAL(proc_start(&rig->target, "fake_service", "service", arguments));
	CU_ASSERT_FATAL(rig_run_until(rig, target_announced, NULL, WAIT_MS));
}

static void start_worker(struct agent_rig *rig, const char *listen)
{
	char agent[128];
	const char *const arguments[] = {"--agent",	   agent,      "--target",
					 "worker-1",	   "--listen", listen,
					 "--usage-lag-ms", "100",      NULL};

	snprintf(agent, sizeof(agent), "http://%s", rig->agent.address[0]);
	CU_ASSERT_FATAL(proc_start(&rig->target, "fake_worker", "worker", arguments));
}

void rig_start_worker(struct agent_rig *rig)
{
	start_worker(rig, "127.0.0.1:0");
	CU_ASSERT_FATAL(rig_run_until(rig, target_announced, NULL, WAIT_MS));
}

void rig_start_other_worker(struct agent_rig *rig)
{
	start_worker(rig, "127.0.0.1:0");
}

void rig_restart_worker(struct agent_rig *rig, const char *listen)
{
	proc_kill(&rig->target);
	start_worker(rig, listen);
}

void rig_stop(struct agent_rig *rig)
{
	if (rig->agent.pid > 0)
		CU_ASSERT_EQUAL(proc_stop(&rig->agent, STOP_MS), 0);
	if (rig->target.pid > 0)
		CU_ASSERT_EQUAL(proc_stop(&rig->target, STOP_MS), 0);
	fake_server_stop(rig->seed);
	for (unsigned int i = 0; i < rig->entry_count; i++)
		wire_destroy(rig->entries[i].wire, 0);
	talloc_free(rig->mem);
}

void rig_send(struct agent_rig *rig, const struct msg *msg)
{
	CU_ASSERT_EQUAL(wire_send(rig->entries[0].wire, rig->agent_peer, msg), 0);
}

struct msg rig_request(const struct agent_rig *rig, uint64_t id, const char *body)
{
	struct msg msg = {.type = MSG_REQUEST};
	struct msg_request *request = &msg.u.request;

	request->id = id;
	request->service = "svc";
	request->class_name = "class-a";
	request->organisation = "org-a";
	request->expiry_ms = (uint64_t)((int64_t)util_clock_ms() + rig->clock_offset_ms) + WAIT_MS;
	request->timeout_ms = WAIT_MS;
	request->content_type = "application/json";
	request->body.data = (const uint8_t *)body;
	request->body.len = strlen(body);
	return msg;
}

static uint64_t request_id(const struct msg *msg)
{
	/* The id is the first field of each of these messages. */
	return msg->type >= MSG_STARTED && msg->type <= MSG_ATTEMPT_INFO ? msg->u.started.id : 0;
}

const struct msg *rig_find(const struct agent_rig *rig, enum msg_type type, uint64_t id)
{
	for (size_t i = 0; i < rig->inbox_count; i++) {
		if (rig->inbox[i]->type == type && request_id(rig->inbox[i]) == id)
			return rig->inbox[i];
	}
	return NULL;
}

struct awaited_message {
	enum msg_type type;
	uint64_t id;
};

static bool message_arrived(struct agent_rig *rig, void *ctx)
{
	const struct awaited_message *awaited = ctx;

	return rig_find(rig, awaited->type, awaited->id) != NULL;
}

const struct msg *rig_wait(struct agent_rig *rig, enum msg_type type, uint64_t id)
{
	struct awaited_message awaited = {type, id};

	if (!rig_run_until(rig, message_arrived, &awaited, WAIT_MS))
		fprintf(stderr, "no %s message for request %llu; agent log: %s\n",
			msg_type_name(type), (unsigned long long)id, rig->agent.log);
	CU_ASSERT_PTR_NOT_NULL_FATAL(rig_find(rig, type, id));
	return rig_find(rig, type, id);
}

size_t rig_message_count(const struct agent_rig *rig, enum msg_type type, uint64_t id)
{
	size_t count = 0;

	for (size_t i = 0; i < rig->inbox_count; i++)
		count += rig->inbox[i]->type == type && request_id(rig->inbox[i]) == id;
	return count;
}

/* Returns the length of the chunks received so far; @hash receives their checksum. */
static uint64_t sum_chunks(const struct agent_rig *rig, uint64_t id, uint64_t *hash)
{
	uint64_t length = 0;

	*hash = 0;
	for (size_t i = 0; i < rig->inbox_count; i++) {
		const struct msg_chunk *chunk = &rig->inbox[i]->u.chunk;

		if (rig->inbox[i]->type != MSG_CHUNK || chunk->id != id)
			continue;
		CU_ASSERT_EQUAL(chunk->offset, length);
		CU_ASSERT(chunk->data.len <= 64 * 1024);
		*hash = util_hash64(chunk->data.data, chunk->data.len, *hash);
		length += chunk->data.len;
	}
	return length;
}

uint64_t rig_received_bytes(const struct agent_rig *rig, uint64_t id)
{
	uint64_t hash;

	return sum_chunks(rig, id, &hash);
}

bool rig_answer_complete(const struct agent_rig *rig, uint64_t id)
{
	const struct msg *end = rig_find(rig, MSG_END, id);
	uint64_t hash;
	uint64_t length = sum_chunks(rig, id, &hash);

	return end && end->u.end.code == 0 && end->u.end.length == length &&
	       end->u.end.checksum == hash;
}

static json_t *service_history(const struct agent_rig *rig)
{
	char url[128];
	struct http_reply reply;
	json_t *root;

	snprintf(url, sizeof(url), "http://%s/history", rig->target.address[0]);
	reply = http_call("GET", url, NULL, NULL, WAIT_MS);
	CU_ASSERT_EQUAL_FATAL(reply.status, 200);
	root = json_loads(reply.body, 0, NULL);
	http_reply_free(&reply);
	return root;
}

size_t rig_run_count(const struct agent_rig *rig, const char *echo)
{
	json_t *root = service_history(rig);
	json_t *item;
	size_t count = 0;
	size_t i;

	json_array_foreach(json_object_get(root, "requests"), i, item)
	{
		const char *text = json_string_value(json_object_get(item, "echo"));

		count += text && !strcmp(text, echo);
	}
	json_decref(root);
	return count;
}

size_t rig_running_count(const struct agent_rig *rig)
{
	json_t *root = service_history(rig);
	size_t running = (size_t)json_integer_value(json_object_get(root, "running"));

	json_decref(root);
	return running;
}

void rig_set_fault(const struct agent_rig *rig, const char *json)
{
	char url[128];
	struct http_reply reply;

	snprintf(url, sizeof(url), "http://%s/fault", rig->target.address[0]);
	reply = http_call("POST", url, NULL, json, WAIT_MS);
	CU_ASSERT_EQUAL(reply.status, 200);
	http_reply_free(&reply);
}
