#include "gangagent_int.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define ENDED_MAX 1024		      /* records of ended members that nobody has released */
#define ENDED_KEEP_MS (24 * 3600000U) /* their age; the holder keeps results as long */
#define USAGE_PERIOD_MS 60000	      /* usage reports to the holder; its share of 3 KB/s */

static void emit(const struct gang_action *action, void *ctx)
{
	struct gang_record *record = ctx;
	struct gangagent *g = record->g;

	if (g->queue_count == GANGAGENT_ACTIONS_MAX) {
		log_error("gang_actions_full", record->job, "action %d dropped", action->kind);
		return;
	}
	g->queue[(g->queue_head + g->queue_count) % GANGAGENT_ACTIONS_MAX] =
		(struct gang_queued){.record = record, .action = *action};
	g->queue_count++;
}

struct gang_out gangagent_out(struct gang_record *record)
{
	struct gang_out out = {emit, record};

	return out;
}

static struct gang_record *find(struct gangagent *g, const char *job, uint64_t member)
{
	for (struct gang_record *r = g->records; r; r = r->next) {
		if (r->gang.index == member && !strcmp(r->job, job))
			return r;
	}
	return NULL;
}

struct gang_record *gangagent_find_task(struct gangagent *g, const char *task)
{
	for (struct gang_record *r = g->records; r; r = r->next) {
		if (!strcmp(r->task, task))
			return r;
	}
	return NULL;
}

static void remove_record(struct gang_record *r)
{
	struct gang_record **at = &r->g->records;

	for (size_t i = 0; i < r->g->queue_count; i++) {
		struct gang_queued *q =
			&r->g->queue[(r->g->queue_head + i) % GANGAGENT_ACTIONS_MAX];

		if (q->record == r)
			q->record = NULL;
	}
	gangring_drop_links(r);
	while (*at != r)
		at = &(*at)->next;
	*at = r->next;
	talloc_free(r);
}

static void send_status(struct gang_record *r, uint32_t state)
{
	struct msg msg = {.type = MSG_MEMBER_STATUS};

	msg.u.member_status = (struct msg_member_status){
		.job = r->job,
		.attempt = r->gang.attempt,
		.member = r->gang.index,
		.state = state,
		.reason = r->reason,
		.usage_percent = r->usage_percent,
		.checkpoint_ms = r->checkpoint_ms,
	};
	wire_send(r->g->wire, r->holder, &msg);
}

void gangagent_set_reason(struct gang_record *r, const char *reason)
{
	talloc_free(r->reason);
	r->reason = talloc_strdup(r, reason ? reason : "");
}

static void free_hold(struct gang_record *r)
{
	slots_drop(r->g->slots, r->mask, r->cores, r->memory_mb);
	r->ended_ms = util_clock_ms();
	log_info("member_ended", r->job, "attempt %" PRIu64 " member %u state %u", r->gang.attempt,
		 r->gang.index, r->gang.final);
}

static void run_action(struct gang_record *r, const struct gang_action *action)
{
	switch (action->kind) {
	case GANG_SEND_STATUS:
		send_status(r, action->status);
		break;
	case GANG_SEND_PING:
		gangring_ping(r, action);
		break;
	case GANG_SEND_BROKEN:
		metrics_count(r->g->metrics, "jaycourse_gang_broken_total", "",
			      "Messages that tell a member that its gang is broken");
		gangring_broken(r, action->member);
		break;
	case GANG_TASK_START:
		gangtask_start(r);
		break;
	case GANG_TASK_STOP:
		gangtask_stop(r, action);
		break;
	case GANG_FREE:
		free_hold(r);
		break;
	case GANG_FORGET:
		remove_record(r);
		break;
	default:
		break;
	}
}

static void on_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		     void *data);

static void schedule(struct gangagent *g)
{
	uint64_t due = UINT64_MAX;
	uint64_t now = util_clock_ms();
	uint64_t wait;

	for (struct gang_record *r = g->records; r; r = r->next) {
		uint64_t at = gang_member_due(&r->gang);

		due = at < due ? at : due;
	}
	TALLOC_FREE(g->timer);
	if (due == UINT64_MAX)
		return;
	wait = due > now ? due - now : 0;
	g->timer = tevent_add_timer(
		g->ev, g,
		tevent_timeval_current_ofs((uint32_t)(wait / 1000), (uint32_t)(wait % 1000) * 1000),
		on_timer, g);
}

/* Actions may cause further events on other members here, so they run one after another. */
void gangagent_run(struct gangagent *g)
{
	if (g->running_queue)
		return;
	g->running_queue = true;
	while (g->queue_count) {
		struct gang_queued q = g->queue[g->queue_head];

		g->queue_head = (g->queue_head + 1) % GANGAGENT_ACTIONS_MAX;
		g->queue_count--;
		if (q.record)
			run_action(q.record, &q.action);
	}
	g->running_queue = false;
	schedule(g);
}

static void drop_old_records(struct gangagent *g, uint64_t now)
{
	uint32_t kept = 0;
	struct gang_record *next;

	for (struct gang_record *r = g->records; r; r = next) {
		next = r->next;
		if (r->gang.phase != GANG_MEMBER_ENDED)
			continue;
		if (++kept > ENDED_MAX || now - r->ended_ms > ENDED_KEEP_MS)
			remove_record(r);
	}
}

static void on_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		     void *data)
{
	struct gangagent *g = data;
	uint64_t now_ms = util_clock_ms();

	g->timer = NULL;
	for (struct gang_record *r = g->records; r; r = r->next)
		gang_member_tick(&r->gang, now_ms, gangagent_out(r));
	gangagent_run(g);
	drop_old_records(g, now_ms);
}

static void refuse(struct gangagent *g, const char *peer, const struct msg_hold *hold, int code,
		   const char *reason)
{
	struct msg msg = {.type = MSG_HOLD_REFUSED};

	msg.u.hold_refused = (struct msg_hold_refused){
		.job = hold->job,
		.attempt = hold->attempt,
		.member = hold->member,
		.code = (uint64_t)-code,
		.reason = reason,
	};
	metrics_refusal(g->metrics, "gang_hold");
	log_info("hold_refused", hold->job, "%s", reason);
	wire_send(g->wire, peer, &msg);
}

static void send_held(struct gangagent *g, const char *peer, const struct msg_hold *hold)
{
	struct msg msg = {.type = MSG_HELD};

	msg.u.held = (struct msg_held){
		.job = hold->job,
		.attempt = hold->attempt,
		.member = hold->member,
	};
	wire_send(g->wire, peer, &msg);
}

/* Makes way for @attempt; true when no other attempt of the job is left here. */
static bool supersede(struct gangagent *g, const char *job, uint64_t attempt)
{
	bool clear = true;

	for (struct gang_record *r = g->records; r; r = r->next) {
		if (strcmp(r->job, job) != 0 || r->gang.attempt == attempt)
			continue;
		if (r->gang.attempt > attempt)
			return false;
		if (r->gang.phase != GANG_MEMBER_ENDED) {
			gang_member_supersede(&r->gang, util_clock_ms(), gangagent_out(r));
			clear = clear && r->gang.phase == GANG_MEMBER_ENDED;
		}
	}
	return clear;
}

static void add_record(struct gangagent *g, const char *peer, const struct msg_hold *hold)
{
	struct gang_record *r = talloc_zero(g, struct gang_record);

	r->g = g;
	r->job = talloc_strdup(r, hold->job);
	/* Counts of granted attempts never repeat, so neither do ids of tasks that start. */
	r->task = talloc_asprintf(r, "%s.%u.%" PRIu64, hold->job, gang_attempt_count(hold->attempt),
				  hold->member);
	r->holder = talloc_strdup(r, peer);
	r->payload = talloc_strndup(
		r, (const char *)(hold->payload.data ? hold->payload.data : (const uint8_t *)""),
		hold->payload.len);
	r->reason = talloc_strdup(r, "");
	r->mask = hold->accelerator_mask;
	r->cores = (uint32_t)hold->cores;
	r->memory_mb = (uint32_t)hold->memory_mb;
	r->checkpoint = hold->checkpoint;
	r->next = g->records;
	g->records = r;
	gang_member_hold(&r->gang, hold->epoch, hold->attempt, (uint32_t)hold->member,
			 (uint32_t)hold->ttl_ms, util_clock_ms());
}

static void on_hold(struct gangagent *g, const char *peer, const struct msg_hold *hold)
{
	struct gang_record *r = find(g, hold->job, hold->member);
	struct err err = {0};

	if (r && r->gang.attempt == hold->attempt) {
		if (r->gang.phase == GANG_MEMBER_HELD)
			send_held(g, peer, hold);
		else
			refuse(g, peer, hold, -ERR_STALE, "this attempt's hold is over");
		return;
	}
	if (!supersede(g, hold->job, hold->attempt)) {
		refuse(g, peer, hold, -ERR_STALE, "another attempt of the job is here");
		return;
	}
	if (!g->accepting || !g->worker) {
		refuse(g, peer, hold, -ERR_LEAVING, "no worker accepts work here");
		return;
	}
	if (hold->member >= PLACE_MEMBERS_MAX || hold->ttl_ms > 60000) {
		refuse(g, peer, hold, -ERR_INVALID, "member index or TTL out of range");
		return;
	}
	if (slots_hold(g->slots, hold->accelerator_mask, (uint32_t)hold->cores,
		       (uint32_t)hold->memory_mb, &err)) {
		refuse(g, peer, hold, -ERR_NO_TARGET, err.message);
		return;
	}
	if (r)
		remove_record(r);
	add_record(g, peer, hold);
	send_held(g, peer, hold);
}

static void tell_unknown(struct gangagent *g, const char *peer, const char *job, uint64_t attempt,
			 uint64_t member)
{
	struct msg msg = {.type = MSG_MEMBER_STATUS};

	msg.u.member_status = (struct msg_member_status){
		.job = job,
		.attempt = attempt,
		.member = member,
		.state = MSG_MEMBER_UNKNOWN,
		.reason = "no record of this attempt",
	};
	wire_send(g->wire, peer, &msg);
}

static const char **copy_strings(TALLOC_CTX *mem, const struct msg_strings *from)
{
	const char **to = talloc_array(mem, const char *, from->count);

	for (size_t i = 0; i < from->count; i++)
		to[i] = talloc_strdup(to, from->items[i]);
	return to;
}

static void set_holder(struct gang_record *r, const char *peer)
{
	if (!strcmp(r->holder, peer))
		return;
	talloc_free(r->holder);
	r->holder = talloc_strdup(r, peer);
}

static bool valid_start(const struct gangagent *g, const struct msg_start *start)
{
	return start->nodes.count > 0 && start->nodes.count <= PLACE_MEMBERS_MAX &&
	       start->nodes.count == start->addresses.count && start->member < start->nodes.count &&
	       !strcmp(start->nodes.items[start->member], g->node);
}

static void on_start(struct gangagent *g, const char *peer, const struct msg_start *start)
{
	struct gang_record *r = find(g, start->job, start->member);

	if (!valid_start(g, start)) {
		log_warn("start_malformed", start->job, "from %s", peer);
		return;
	}
	if (!r || r->gang.attempt != start->attempt) {
		/* Another attempt that is older must not go on beside this one. */
		supersede(g, start->job, start->attempt);
		tell_unknown(g, peer, start->job, start->attempt, start->member);
		return;
	}
	set_holder(r, peer);
	if (!r->nodes) {
		r->nodes = copy_strings(r, &start->nodes);
		r->addresses = copy_strings(r, &start->addresses);
	}
	gang_member_start(&r->gang, start->epoch, (uint32_t)start->nodes.count, util_clock_ms(),
			  gangagent_out(r));
}

static void on_release(struct gangagent *g, const struct msg_release *release)
{
	for (struct gang_record *r = g->records; r; r = r->next) {
		if (!strcmp(r->job, release->job) && r->gang.attempt == release->attempt)
			gang_member_release(&r->gang, util_clock_ms(), gangagent_out(r));
	}
}

static void on_stop(struct gangagent *g, const char *peer, const struct msg_stop *stop)
{
	bool found = false;

	for (struct gang_record *r = g->records; r; r = r->next) {
		if (strcmp(r->job, stop->job) != 0 || r->gang.attempt != stop->attempt)
			continue;
		found = true;
		set_holder(r, peer);
		gang_member_stop(&r->gang, stop->epoch, stop->checkpoint, (uint32_t)stop->grace_ms,
				 util_clock_ms(), gangagent_out(r));
	}
	/* The holder takes the member from the sender when the index is out of range. */
	if (!found)
		tell_unknown(g, peer, stop->job, stop->attempt, PLACE_MEMBERS_MAX);
}

/* False for messages of a former holder. */
static bool check_epoch(struct gangagent *g, uint64_t epoch, const char *job)
{
	if (epoch < g->epoch) {
		metrics_refusal(g->metrics, "stale_epoch");
		log_info("stale_epoch", job, "epoch %" PRIu64 ", highest seen %" PRIu64, epoch,
			 g->epoch);
		return false;
	}
	g->epoch = epoch;
	return true;
}

static void from_holder(struct gangagent *g, const char *peer, struct msg *msg)
{
	switch (msg->type) {
	case MSG_HOLD:
		if (check_epoch(g, msg->u.hold.epoch, msg->u.hold.job))
			on_hold(g, peer, &msg->u.hold);
		else
			refuse(g, peer, &msg->u.hold, -ERR_STALE, "a later holder is known");
		break;
	case MSG_START:
		if (check_epoch(g, msg->u.start.epoch, msg->u.start.job))
			on_start(g, peer, &msg->u.start);
		break;
	case MSG_RELEASE:
		if (check_epoch(g, msg->u.release.epoch, msg->u.release.job))
			on_release(g, &msg->u.release);
		break;
	default:
		if (check_epoch(g, msg->u.stop.epoch, msg->u.stop.job))
			on_stop(g, peer, &msg->u.stop);
		break;
	}
}

bool gangagent_message(struct gangagent *g, const char *peer, struct msg *msg)
{
	switch (msg->type) {
	case MSG_HOLD:
	case MSG_START:
	case MSG_RELEASE:
	case MSG_STOP:
		from_holder(g, peer, msg);
		break;
	case MSG_GANG_PING:
	case MSG_GANG_BROKEN:
		g->ring_peer = peer;
		gangring_receive(g, msg);
		break;
	default:
		return false;
	}
	gangagent_run(g);
	g->ring_peer = NULL;
	return true;
}

struct gangagent *gangagent_create(TALLOC_CTX *mem, const struct gangagent_deps *deps)
{
	struct gangagent *g = talloc_zero(mem, struct gangagent);

	g->ev = deps->ev;
	g->wire = deps->wire;
	g->slots = deps->slots;
	g->metrics = deps->metrics;
	g->node = talloc_strdup(g, deps->node);
	return g;
}

/* The worker is gone: members leave, and tasks that it may have end with their leases. */
static void lose_worker(struct gang_record *r)
{
	bool calling = r->gang.phase == GANG_MEMBER_STARTING;

	if (r->gang.phase == GANG_MEMBER_ENDED)
		return;
	gangagent_set_reason(r, "the worker has left");
	gang_member_supersede(&r->gang, util_clock_ms(), gangagent_out(r));
	if (calling)
		gang_member_task_started(&r->gang, true, util_clock_ms(), gangagent_out(r));
	else if (r->gang.phase == GANG_MEMBER_STOPPING)
		gangtask_wait_for_lapse(r);
}

void gangagent_set_worker(struct gangagent *g, struct worker *worker)
{
	if (worker == g->worker)
		return;
	g->worker = NULL;
	TALLOC_FREE(g->calls);
	for (struct gang_record *r = g->records; r; r = r->next)
		lose_worker(r);
	gangagent_run(g);
	g->worker = worker;
	g->calls = talloc_new(g);
}

void gangagent_set_accepting(struct gangagent *g, bool accepting)
{
	g->accepting = accepting;
}

void gangagent_task(struct gangagent *g, const char *id, enum worker_task_state state,
		    const char *reason)
{
	static const uint32_t states[] = {
		[WORKER_TASK_DONE] = MSG_MEMBER_DONE,
		[WORKER_TASK_FAILED] = MSG_MEMBER_FAILED,
		[WORKER_TASK_STOPPED] = MSG_MEMBER_LOST,
		[WORKER_TASK_UNKNOWN] = MSG_MEMBER_LOST,
	};
	struct gang_record *r = gangagent_find_task(g, id);

	if (!r || state < WORKER_TASK_DONE || state > WORKER_TASK_UNKNOWN)
		return;
	gangagent_set_reason(r, reason);
	gang_member_task_ended(&r->gang, states[state], util_clock_ms(), gangagent_out(r));
	gangagent_run(g);
}

void gangagent_usage(struct gangagent *g, const char *id, uint32_t percent, uint64_t checkpoint_ms)
{
	struct gang_record *r = gangagent_find_task(g, id);
	uint64_t now = util_clock_ms();

	if (!r || r->gang.phase != GANG_MEMBER_RUNNING)
		return;
	r->usage_percent = percent;
	r->checkpoint_ms = checkpoint_ms;
	if (now - r->usage_sent_ms < USAGE_PERIOD_MS)
		return;
	r->usage_sent_ms = now;
	send_status(r, MSG_MEMBER_RUNNING);
}

uint32_t gangagent_active(const struct gangagent *g)
{
	uint32_t count = 0;

	for (const struct gang_record *r = g->records; r; r = r->next)
		count += r->gang.phase != GANG_MEMBER_ENDED;
	return count;
}
