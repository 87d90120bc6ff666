#include "lib_jobworld.h"

#include "util.h"

#include <CUnit/Basic.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define HEARTBEAT_MS 300
#define STATE_TIMEOUT_MS 30000
#define JOB_TIMEOUT_MS 600000

static const char *const files[][2] = {
	{"10.json", "{\"decision\":\"organisation\",\"name\":\"olive\"}"},
	{"11.json", "{\"decision\":\"organisation\",\"name\":\"fig\",\"quota\":{\"jobs\":1}}"},
	{"20.json", "{\"decision\":\"class\",\"name\":\"again\",\"idempotent\":true}"},
	{"21.json", "{\"decision\":\"class\",\"name\":\"once\",\"idempotent\":false}"},
	{"22.json", "{\"decision\":\"class\",\"name\":\"quick\",\"idempotent\":true,"
		    "\"urgent\":true}"},
};

static struct simulated_member *find_member(struct simulated_agent *agent, const char *job,
					    uint64_t attempt, uint64_t index)
{
	for (int i = 0; i < WORLD_MEMBERS; i++) {
		struct simulated_member *member = &agent->members[i];

		if (member->used && member->attempt == attempt && member->member == index &&
		    !strcmp(member->job, job))
			return member;
	}
	return NULL;
}

static void send_state(struct simulated_agent *agent, const struct simulated_member *member)
{
	struct msg msg = {.type = MSG_MEMBER_STATUS};

	msg.u.member_status = (struct msg_member_status){.job = member->job,
							 .attempt = member->attempt,
							 .member = member->member,
							 .state = member->state};
	wire_send(agent->wire, member->leader, &msg);
}

static void on_hold(struct simulated_agent *agent, const char *peer, const struct msg_hold *hold)
{
	struct msg msg = {.type = MSG_HELD};
	struct simulated_member *member =
		find_member(agent, hold->job, hold->attempt, hold->member);

	agent->world->holds += !member;
	if (agent->world->behaviour == AGENT_SILENT)
		return;
	for (int i = 0; !member && i < WORLD_MEMBERS; i++) {
		if (!agent->members[i].used)
			member = &agent->members[i];
	}
	CU_ASSERT_PTR_NOT_NULL_FATAL(member);
	*member = (struct simulated_member){
		.attempt = hold->attempt, .member = hold->member, .used = true};
	snprintf(member->job, sizeof(member->job), "%s", hold->job);
	snprintf(member->leader, sizeof(member->leader), "%s", peer);
	msg.u.held = (struct msg_held){
		.job = hold->job, .attempt = hold->attempt, .member = hold->member};
	wire_send(agent->wire, peer, &msg);
}

static void check_start(struct job_world *world, const struct msg_start *start)
{
	size_t held = 0;

	for (int i = 0; i < WORLD_AGENTS; i++) {
		for (int k = 0; k < WORLD_MEMBERS; k++) {
			const struct simulated_member *member = &world->agents[i].members[k];

			if (!member->used || strcmp(member->job, start->job) != 0)
				continue;
			held += member->attempt == start->attempt;
			world->overlapping_starts += member->attempt != start->attempt &&
						     member->state == MSG_MEMBER_RUNNING;
		}
	}
	world->partial_starts += held != start->nodes.count;
	world->started_members++;
}

static void on_start(struct simulated_agent *agent, const char *peer, const struct msg_start *start)
{
	struct simulated_member *member =
		find_member(agent, start->job, start->attempt, start->member);
	struct simulated_member unknown = {
		.attempt = start->attempt, .member = start->member, .state = MSG_MEMBER_UNKNOWN};

	if (!member) {
		snprintf(unknown.job, sizeof(unknown.job), "%s", start->job);
		snprintf(unknown.leader, sizeof(unknown.leader), "%s", peer);
		send_state(agent, &unknown);
		return;
	}
	snprintf(member->leader, sizeof(member->leader), "%s", peer);
	if (member->state) {
		send_state(agent, member);
		return;
	}
	check_start(agent->world, start);
	member->state = MSG_MEMBER_RUNNING;
	send_state(agent, member);
	if (agent->world->behaviour == AGENT_DONE)
		member->state = MSG_MEMBER_DONE;
	else if (agent->world->behaviour == AGENT_FAILS)
		member->state = MSG_MEMBER_FAILED;
	else if (agent->world->behaviour == AGENT_BREAKS)
		member->state = MSG_MEMBER_LOST;
	if (agent->world->behaviour == AGENT_BREAKS)
		agent->world->behaviour = AGENT_DONE;
	send_state(agent, member);
}

static void on_stop(struct simulated_agent *agent, const struct msg_stop *stop)
{
	for (int i = 0; i < WORLD_MEMBERS; i++) {
		struct simulated_member *member = &agent->members[i];

		if (!member->used || member->attempt != stop->attempt ||
		    strcmp(member->job, stop->job) != 0)
			continue;
		if (member->state == MSG_MEMBER_RUNNING)
			member->state = MSG_MEMBER_STOPPED;
		else if (!member->state)
			member->state = MSG_MEMBER_START_FAILED;
		send_state(agent, member);
	}
}

static void on_release(struct simulated_agent *agent, const struct msg_release *release)
{
	for (int i = 0; i < WORLD_MEMBERS; i++) {
		struct simulated_member *member = &agent->members[i];

		if (member->used && member->attempt == release->attempt &&
		    !strcmp(member->job, release->job) && member->state != MSG_MEMBER_RUNNING)
			member->used = false;
	}
}

static void on_agent_message(const char *peer, struct msg *msg, void *ctx)
{
	struct simulated_agent *agent = ctx;

	if (msg->type == MSG_HOLD)
		on_hold(agent, peer, &msg->u.hold);
	else if (msg->type == MSG_START)
		on_start(agent, peer, &msg->u.start);
	else if (msg->type == MSG_STOP)
		on_stop(agent, &msg->u.stop);
	else if (msg->type == MSG_RELEASE)
		on_release(agent, &msg->u.release);
}

static void announce_agent(struct simulated_agent *agent, const char *peer)
{
	struct msg hello = {.type = MSG_HELLO};
	struct msg announce = {.type = MSG_ANNOUNCE};
	struct msg heartbeat = {.type = MSG_HEARTBEAT};

	hello.u.hello = (struct msg_hello){.node = agent->node,
					   .incarnation = 1,
					   .role = MSG_ROLE_AGENT,
					   .region = "r",
					   .zone = "z",
					   .rack = "k",
					   .address = wire_address(agent->wire)};
	announce.u.announce = (struct msg_announce){.node = agent->node,
						    .incarnation = 1,
						    .kind = MSG_TARGET_WORKER,
						    .service = "",
						    .target = agent->node,
						    .target_incarnation = 1,
						    .state = MSG_TARGET_ALIVE,
						    .accelerators = 4,
						    .cores = 16,
						    .memory_mb = 65536};
	wire_send(agent->wire, peer, &hello);
	wire_send(agent->wire, peer, &announce);
	wire_send(agent->wire, peer, &heartbeat);
}

static void on_heartbeat_timer(struct tevent_context *ev, struct tevent_timer *te,
			       struct timeval now, void *data)
{
	struct job_world *world = data;

	for (int e = 0; e < WORLD_ENTRIES; e++) {
		for (int i = 0; i < WORLD_AGENTS && world->entries[e].mem; i++) {
			if (world->agents[i].silent)
				continue;
			wire_connect(world->agents[i].wire, world->entries[e].peer,
				     world->entries[e].address);
			announce_agent(&world->agents[i], world->entries[e].peer);
		}
	}
	tevent_add_timer(world->ev, world->mem, tevent_timeval_current_ofs(0, HEARTBEAT_MS * 1000),
			 on_heartbeat_timer, world);
}

static void on_entry_message(const char *peer, struct msg *msg, void *ctx)
{
	struct test_entry *entry = ctx;

	if (msg->type == MSG_HELLO)
		member_hello(entry->members, &msg->u.hello, util_clock_ms());
	else if (msg->type == MSG_ANNOUNCE)
		member_announce(entry->members, &msg->u.announce, util_clock_ms());
	else if (msg->type == MSG_HEARTBEAT)
		member_heartbeat(entry->members, peer, &msg->u.heartbeat, util_clock_ms());
	else
		jobs_message(entry->jobs, peer, msg);
}

static void on_config(uint64_t revision, void *ctx)
{
}

static void on_applied(int status, uint64_t revision, const char *text, void *ctx)
{
	int *done = ctx;

	if (status)
		printf("\nconfiguration refused: %s", text);
	*done = status ? -1 : 1;
}

static void apply_config(struct test_entry *entry)
{
	json_t *folder = json_object();
	struct configrepo_apply request = {.files = folder, .by = "op", .message = "test"};
	int done = 0;

	for (size_t i = 0; i < sizeof(files) / sizeof(files[0]); i++)
		json_object_set_new(folder, files[i][0], json_string(files[i][1]));
	configrepo_apply(entry->repo, &request, on_applied, &done);
	json_decref(folder);
	CU_ASSERT_TRUE_FATAL(loop_until(entry->world->ev, &done));
}

void world_open(struct job_world *world)
{
	static const char *const flags[] = {"--writes-per-s=0", "--reads-per-s=0", NULL};

	*world = (struct job_world){.mem = talloc_new(NULL)};
	world->ev = tevent_context_init(world->mem);
	world->fake = fakestore_start(world->mem, world->ev, flags);
	for (int i = 0; i < WORLD_AGENTS; i++) {
		struct simulated_agent *agent = &world->agents[i];
		struct wire_handlers handlers = {.on_message = on_agent_message, .ctx = agent};
		char peer[24];

		agent->world = world;
		snprintf(agent->node, sizeof(agent->node), "w%d", i);
		snprintf(peer, sizeof(peer), "%s#1", agent->node);
		agent->wire = wire_create(world->mem, world->ev, peer, "127.0.0.1:0", &handlers,
					  metrics_create(world->mem), NULL);
		CU_ASSERT_PTR_NOT_NULL_FATAL(agent->wire);
	}
	on_heartbeat_timer(world->ev, NULL, (struct timeval){0}, world);
}

struct test_entry *world_entry(struct job_world *world, int i)
{
	struct test_entry *entry = &world->entries[i];
	struct wire_handlers handlers = {.on_message = on_entry_message, .ctx = entry};
	struct jobs_deps deps;

	*entry = (struct test_entry){.world = world, .mem = talloc_new(world->mem)};
	snprintf(entry->peer, sizeof(entry->peer), "e%d#1", i);
	entry->metrics = metrics_create(entry->mem);
	entry->store = fakestore_client(entry->mem, world->fake, 0);
	entry->repo = configrepo_create(entry->mem, world->ev, entry->store, entry->metrics,
					on_config, entry);
	entry->members = member_create(entry->mem, entry->peer);
	entry->wire = wire_create(entry->mem, world->ev, entry->peer, "127.0.0.1:0", &handlers,
				  entry->metrics, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(entry->wire);
	snprintf(entry->address, sizeof(entry->address), "%s", wire_address(entry->wire));
	deps = (struct jobs_deps){.ev = world->ev,
				  .wire = entry->wire,
				  .store = entry->store,
				  .configs = entry->repo,
				  .members = entry->members,
				  .metrics = entry->metrics,
				  .self = entry->peer,
				  .region = "r",
				  .address = entry->address};
	entry->jobs = jobs_create(entry->mem, &deps);
	for (int k = 0; k < WORLD_ENTRIES; k++) {
		if (k == i || !world->entries[k].mem)
			continue;
		wire_connect(entry->wire, world->entries[k].peer, world->entries[k].address);
		wire_connect(world->entries[k].wire, entry->peer, entry->address);
	}
	if (i == 0)
		apply_config(entry);
	while (!configrepo_revision(entry->repo))
		loop_for(world->ev, 10);
	return entry;
}

void world_crash(struct test_entry *entry)
{
	TALLOC_FREE(entry->jobs);
	for (int i = 0; i < WORLD_AGENTS; i++)
		wire_disconnect(entry->world->agents[i].wire, entry->peer);
	TALLOC_FREE(entry->mem);
}

void world_close(struct job_world *world)
{
	CU_ASSERT_EQUAL(world->overlapping_starts, 0);
	CU_ASSERT_EQUAL(world->partial_starts, 0);
	for (int i = 0; i < WORLD_ENTRIES; i++) {
		if (world->entries[i].mem)
			world_crash(&world->entries[i]);
	}
	talloc_free(world->mem);
}

static void copy_string(char *out, size_t size, json_t *json, const char *key)
{
	const char *text = json_string_value(json_object_get(json, key));

	snprintf(out, size, "%s", text ? text : "");
}

static void on_reply(int status, json_t *json, void *ctx)
{
	struct job_reply *reply = ctx;

	reply->done = 1;
	reply->status = status;
	copy_string(reply->id, sizeof(reply->id), json, "id");
	copy_string(reply->state, sizeof(reply->state), json, "state");
	copy_string(reply->reason, sizeof(reply->reason), json, "reason");
	reply->attempt = json_integer_value(json_object_get(json, "attempt"));
	reply->members = json_array_size(json_object_get(json, "members"));
	reply->jobs = json_array_size(json_object_get(json, "jobs"));
}

struct jobs_cb world_reply(struct job_reply *reply)
{
	*reply = (struct job_reply){0};
	return (struct jobs_cb){on_reply, reply};
}

void world_submit(struct test_entry *entry, const char *body, const char *key, uint32_t deadline_ms,
		  struct job_reply *reply)
{
	json_t *json = json_loads(body, 0, NULL);
	struct jobs_submission submission = {.organisation =
						     strstr(body, "\"fig\"") ? "fig" : "olive",
					     .idempotency_key = key,
					     .body = json,
					     .deadline_ms = deadline_ms};

	jobs_submit(entry->jobs, &submission, world_reply(reply));
	json_decref(json);
	CU_ASSERT_TRUE_FATAL(loop_until(entry->world->ev, &reply->done));
}

void world_query(struct test_entry *entry, const char *verb, const char *job,
		 struct job_reply *reply)
{
	char id[32];

	/* The id may be part of @reply, which is cleared. */
	snprintf(id, sizeof(id), "%s", job);
	jobs_query(entry->jobs, verb, id, "", world_reply(reply));
	CU_ASSERT_TRUE_FATAL(loop_until(entry->world->ev, &reply->done));
}

void world_wait(struct test_entry *entry, const char *job, struct job_reply *reply)
{
	char id[32];

	snprintf(id, sizeof(id), "%s", job);
	jobs_wait(entry->jobs, id, "", JOB_TIMEOUT_MS, world_reply(reply));
	CU_ASSERT_TRUE_FATAL(loop_until(entry->world->ev, &reply->done));
}

bool world_until(struct test_entry *entry, const char *job, const char *state)
{
	uint64_t end = util_clock_ms() + STATE_TIMEOUT_MS;
	struct job_reply reply;

	while (util_clock_ms() < end) {
		world_query(entry, "get", job, &reply);
		if (!strcmp(reply.state, state))
			return true;
		loop_for(entry->world->ev, 10);
	}
	return false;
}

void world_finish(struct job_world *world, uint64_t state)
{
	for (int i = 0; i < WORLD_AGENTS; i++) {
		for (int k = 0; k < WORLD_MEMBERS; k++) {
			struct simulated_member *member = &world->agents[i].members[k];

			if (!member->used || member->state != MSG_MEMBER_RUNNING)
				continue;
			member->state = state;
			send_state(&world->agents[i], member);
		}
	}
}

unsigned int world_running(const struct job_world *world)
{
	unsigned int count = 0;

	for (int i = 0; i < WORLD_AGENTS; i++) {
		for (int k = 0; k < WORLD_MEMBERS; k++)
			count += world->agents[i].members[k].used &&
				 world->agents[i].members[k].state == MSG_MEMBER_RUNNING;
	}
	return count;
}
