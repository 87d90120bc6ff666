#include "lib_jobworld.h"

#include "util.h"

#include <CUnit/Basic.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define BEAT_MS 300
#define WAIT_MS 30000
#define NEVER_MS 600000

static const char *const files[][2] = {
	{"10.json", "{\"decision\":\"organisation\",\"name\":\"olive\"}"},
	{"11.json", "{\"decision\":\"organisation\",\"name\":\"fig\",\"quota\":{\"jobs\":1}}"},
	{"20.json", "{\"decision\":\"class\",\"name\":\"again\",\"idempotent\":true}"},
	{"21.json", "{\"decision\":\"class\",\"name\":\"once\",\"idempotent\":false}"},
	{"22.json", "{\"decision\":\"class\",\"name\":\"quick\",\"idempotent\":true,"
		    "\"urgent\":true}"},
};

static struct played_member *find(struct played_agent *a, const char *job, uint64_t attempt,
				  uint64_t member)
{
	for (int i = 0; i < WORLD_MEMBERS; i++) {
		struct played_member *m = &a->members[i];

		if (m->used && m->attempt == attempt && m->member == member && !strcmp(m->job, job))
			return m;
	}
	return NULL;
}

static void send_state(struct played_agent *a, const struct played_member *m)
{
	struct msg msg = {.type = MSG_MEMBER_STATUS};

	msg.u.member_status = (struct msg_member_status){
		.job = m->job, .attempt = m->attempt, .member = m->member, .state = m->state};
	wire_send(a->wire, m->holder, &msg);
}

static void on_hold(struct played_agent *a, const char *peer, const struct msg_hold *hold)
{
	struct msg msg = {.type = MSG_HELD};
	struct played_member *m = find(a, hold->job, hold->attempt, hold->member);

	if (a->world->conduct == AGENT_SILENT)
		return;
	for (int i = 0; !m && i < WORLD_MEMBERS; i++) {
		if (!a->members[i].used)
			m = &a->members[i];
	}
	CU_ASSERT_PTR_NOT_NULL_FATAL(m);
	*m = (struct played_member){.attempt = hold->attempt, .member = hold->member, .used = true};
	snprintf(m->job, sizeof(m->job), "%s", hold->job);
	snprintf(m->holder, sizeof(m->holder), "%s", peer);
	msg.u.held = (struct msg_held){
		.job = hold->job, .attempt = hold->attempt, .member = hold->member};
	wire_send(a->wire, peer, &msg);
}

static void check_start(struct job_world *w, const struct msg_start *start)
{
	size_t held = 0;

	for (int i = 0; i < WORLD_AGENTS; i++) {
		for (int k = 0; k < WORLD_MEMBERS; k++) {
			const struct played_member *m = &w->agents[i].members[k];

			if (!m->used || strcmp(m->job, start->job) != 0)
				continue;
			held += m->attempt == start->attempt;
			w->overlaps +=
				m->attempt != start->attempt && m->state == MSG_MEMBER_RUNNING;
		}
	}
	w->partial += held != start->nodes.count;
	w->starts++;
}

static void on_start(struct played_agent *a, const char *peer, const struct msg_start *start)
{
	struct played_member *m = find(a, start->job, start->attempt, start->member);
	struct played_member unknown = {
		.attempt = start->attempt, .member = start->member, .state = MSG_MEMBER_UNKNOWN};

	if (!m) {
		snprintf(unknown.job, sizeof(unknown.job), "%s", start->job);
		snprintf(unknown.holder, sizeof(unknown.holder), "%s", peer);
		send_state(a, &unknown);
		return;
	}
	snprintf(m->holder, sizeof(m->holder), "%s", peer);
	if (m->state) {
		send_state(a, m);
		return;
	}
	check_start(a->world, start);
	m->state = MSG_MEMBER_RUNNING;
	send_state(a, m);
	if (a->world->conduct == AGENT_DONE)
		m->state = MSG_MEMBER_DONE;
	else if (a->world->conduct == AGENT_FAILS)
		m->state = MSG_MEMBER_FAILED;
	else if (a->world->conduct == AGENT_BREAKS)
		m->state = MSG_MEMBER_LOST;
	if (a->world->conduct == AGENT_BREAKS)
		a->world->conduct = AGENT_DONE;
	send_state(a, m);
}

static void on_stop(struct played_agent *a, const struct msg_stop *stop)
{
	for (int i = 0; i < WORLD_MEMBERS; i++) {
		struct played_member *m = &a->members[i];

		if (!m->used || m->attempt != stop->attempt || strcmp(m->job, stop->job) != 0)
			continue;
		if (m->state == MSG_MEMBER_RUNNING)
			m->state = MSG_MEMBER_STOPPED;
		else if (!m->state)
			m->state = MSG_MEMBER_START_FAILED;
		send_state(a, m);
	}
}

static void on_release(struct played_agent *a, const struct msg_release *release)
{
	for (int i = 0; i < WORLD_MEMBERS; i++) {
		struct played_member *m = &a->members[i];

		if (m->used && m->attempt == release->attempt && !strcmp(m->job, release->job) &&
		    m->state != MSG_MEMBER_RUNNING)
			m->used = false;
	}
}

static void on_agent_message(const char *peer, struct msg *msg, void *ctx)
{
	struct played_agent *a = ctx;

	if (msg->type == MSG_HOLD)
		on_hold(a, peer, &msg->u.hold);
	else if (msg->type == MSG_START)
		on_start(a, peer, &msg->u.start);
	else if (msg->type == MSG_STOP)
		on_stop(a, &msg->u.stop);
	else if (msg->type == MSG_RELEASE)
		on_release(a, &msg->u.release);
}

static void introduce(struct played_agent *a, const char *peer)
{
	struct msg hello = {.type = MSG_HELLO};
	struct msg announce = {.type = MSG_ANNOUNCE};
	struct msg beat = {.type = MSG_HEARTBEAT};

	hello.u.hello = (struct msg_hello){.node = a->node,
					   .incarnation = 1,
					   .role = MSG_ROLE_AGENT,
					   .region = "r",
					   .zone = "z",
					   .rack = "k",
					   .address = wire_address(a->wire)};
	announce.u.announce = (struct msg_announce){.node = a->node,
						    .incarnation = 1,
						    .kind = MSG_TARGET_WORKER,
						    .service = "",
						    .target = a->node,
						    .target_incarnation = 1,
						    .state = MSG_TARGET_ALIVE,
						    .accelerators = 4,
						    .cores = 16,
						    .memory_mb = 65536};
	wire_send(a->wire, peer, &hello);
	wire_send(a->wire, peer, &announce);
	wire_send(a->wire, peer, &beat);
}

static void on_beat(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		    void *data)
{
	struct job_world *w = data;

	for (int e = 0; e < WORLD_ENTRIES; e++) {
		for (int i = 0; i < WORLD_AGENTS && w->entries[e].mem; i++) {
			wire_connect(w->agents[i].wire, w->entries[e].peer, w->entries[e].address);
			introduce(&w->agents[i], w->entries[e].peer);
		}
	}
	tevent_add_timer(w->ev, w->mem, tevent_timeval_current_ofs(0, BEAT_MS * 1000), on_beat, w);
}

static void on_entry_message(const char *peer, struct msg *msg, void *ctx)
{
	struct played_entry *e = ctx;

	if (msg->type == MSG_HELLO)
		member_hello(e->members, &msg->u.hello, util_clock_ms());
	else if (msg->type == MSG_ANNOUNCE)
		member_announce(e->members, &msg->u.announce, util_clock_ms());
	else if (msg->type == MSG_HEARTBEAT)
		member_heartbeat(e->members, peer, &msg->u.heartbeat, util_clock_ms());
	else
		jobs_message(e->jobs, peer, msg);
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

static void apply_config(struct played_entry *e)
{
	json_t *folder = json_object();
	struct configrepo_apply request = {.files = folder, .by = "op", .message = "test"};
	int done = 0;

	for (size_t i = 0; i < sizeof(files) / sizeof(files[0]); i++)
		json_object_set_new(folder, files[i][0], json_string(files[i][1]));
	configrepo_apply(e->repo, &request, on_applied, &done);
	json_decref(folder);
	CU_ASSERT_TRUE_FATAL(loop_until(e->world->ev, &done));
}

void world_open(struct job_world *w)
{
	static const char *const flags[] = {"--writes-per-s=0", "--reads-per-s=0", NULL};

	*w = (struct job_world){.mem = talloc_new(NULL)};
	w->ev = tevent_context_init(w->mem);
	w->fake = fakestore_start(w->mem, w->ev, flags);
	for (int i = 0; i < WORLD_AGENTS; i++) {
		struct played_agent *a = &w->agents[i];
		struct wire_handlers handlers = {.on_message = on_agent_message, .ctx = a};
		char peer[24];

		a->world = w;
		snprintf(a->node, sizeof(a->node), "w%d", i);
		snprintf(peer, sizeof(peer), "%s#1", a->node);
		a->wire = wire_create(w->mem, w->ev, peer, "127.0.0.1:0", &handlers,
				      metrics_create(w->mem), NULL);
		CU_ASSERT_PTR_NOT_NULL_FATAL(a->wire);
	}
	on_beat(w->ev, NULL, (struct timeval){0}, w);
}

struct played_entry *world_entry(struct job_world *w, int i)
{
	struct played_entry *e = &w->entries[i];
	struct wire_handlers handlers = {.on_message = on_entry_message, .ctx = e};
	struct jobs_deps deps;

	*e = (struct played_entry){.world = w, .mem = talloc_new(w->mem)};
	snprintf(e->peer, sizeof(e->peer), "e%d#1", i);
	e->metrics = metrics_create(e->mem);
	e->store = fakestore_client(e->mem, w->fake, 0);
	e->repo = configrepo_create(e->mem, w->ev, e->store, e->metrics, on_config, e);
	e->members = member_create(e->mem, e->peer);
	e->wire = wire_create(e->mem, w->ev, e->peer, "127.0.0.1:0", &handlers, e->metrics, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(e->wire);
	snprintf(e->address, sizeof(e->address), "%s", wire_address(e->wire));
	deps = (struct jobs_deps){.ev = w->ev,
				  .wire = e->wire,
				  .store = e->store,
				  .configs = e->repo,
				  .members = e->members,
				  .metrics = e->metrics,
				  .self = e->peer,
				  .region = "r",
				  .address = e->address};
	e->jobs = jobs_create(e->mem, &deps);
	for (int k = 0; k < WORLD_ENTRIES; k++) {
		if (k == i || !w->entries[k].mem)
			continue;
		wire_connect(e->wire, w->entries[k].peer, w->entries[k].address);
		wire_connect(w->entries[k].wire, e->peer, e->address);
	}
	if (i == 0)
		apply_config(e);
	while (!configrepo_revision(e->repo))
		loop_for(w->ev, 10);
	return e;
}

void world_crash(struct played_entry *e)
{
	TALLOC_FREE(e->jobs);
	for (int i = 0; i < WORLD_AGENTS; i++)
		wire_disconnect(e->world->agents[i].wire, e->peer);
	TALLOC_FREE(e->mem);
}

void world_close(struct job_world *w)
{
	CU_ASSERT_EQUAL(w->overlaps, 0);
	CU_ASSERT_EQUAL(w->partial, 0);
	for (int i = 0; i < WORLD_ENTRIES; i++) {
		if (w->entries[i].mem)
			world_crash(&w->entries[i]);
	}
	talloc_free(w->mem);
}

static void copy_string(char *out, size_t size, json_t *json, const char *key)
{
	const char *text = json_string_value(json_object_get(json, key));

	snprintf(out, size, "%s", text ? text : "");
}

static void on_reply(int status, json_t *json, void *ctx)
{
	struct job_reply *r = ctx;

	r->done = 1;
	r->status = status;
	copy_string(r->id, sizeof(r->id), json, "id");
	copy_string(r->state, sizeof(r->state), json, "state");
	copy_string(r->reason, sizeof(r->reason), json, "reason");
	r->attempt = json_integer_value(json_object_get(json, "attempt"));
	r->members = json_array_size(json_object_get(json, "members"));
	r->jobs = json_array_size(json_object_get(json, "jobs"));
}

static struct jobs_cb reply_to(struct job_reply *reply)
{
	*reply = (struct job_reply){0};
	return (struct jobs_cb){on_reply, reply};
}

void world_submit(struct played_entry *e, const char *body, const char *key, uint32_t deadline_ms,
		  struct job_reply *reply)
{
	json_t *json = json_loads(body, 0, NULL);
	struct jobs_submission submission = {.organisation =
						     strstr(body, "\"fig\"") ? "fig" : "olive",
					     .idempotency_key = key,
					     .body = json,
					     .deadline_ms = deadline_ms};

	jobs_submit(e->jobs, &submission, reply_to(reply));
	json_decref(json);
	CU_ASSERT_TRUE_FATAL(loop_until(e->world->ev, &reply->done));
}

void world_query(struct played_entry *e, const char *verb, const char *job, struct job_reply *reply)
{
	char id[32];

	/* The id may be part of @reply. */
	snprintf(id, sizeof(id), "%s", job);
	jobs_query(e->jobs, verb, id, "", reply_to(reply));
	CU_ASSERT_TRUE_FATAL(loop_until(e->world->ev, &reply->done));
}

void world_wait(struct played_entry *e, const char *job, struct job_reply *reply)
{
	char id[32];

	snprintf(id, sizeof(id), "%s", job);
	jobs_wait(e->jobs, id, "", NEVER_MS, reply_to(reply));
	CU_ASSERT_TRUE_FATAL(loop_until(e->world->ev, &reply->done));
}

bool world_until(struct played_entry *e, const char *job, const char *state)
{
	uint64_t end = util_clock_ms() + WAIT_MS;
	struct job_reply reply;

	while (util_clock_ms() < end) {
		world_query(e, "get", job, &reply);
		if (!strcmp(reply.state, state))
			return true;
		loop_for(e->world->ev, 10);
	}
	return false;
}

void world_finish(struct job_world *w, uint64_t state)
{
	for (int i = 0; i < WORLD_AGENTS; i++) {
		for (int k = 0; k < WORLD_MEMBERS; k++) {
			struct played_member *m = &w->agents[i].members[k];

			if (!m->used || m->state != MSG_MEMBER_RUNNING)
				continue;
			m->state = state;
			send_state(&w->agents[i], m);
		}
	}
}

unsigned int world_running(const struct job_world *w)
{
	unsigned int count = 0;

	for (int i = 0; i < WORLD_AGENTS; i++) {
		for (int k = 0; k < WORLD_MEMBERS; k++)
			count += w->agents[i].members[k].used &&
				 w->agents[i].members[k].state == MSG_MEMBER_RUNNING;
	}
	return count;
}
