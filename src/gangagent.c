#include "gangagent_int.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Records of ended members that have not been released. */
#define ENDED_RECORDS_MAX 1024
/* The coordinator's node keeps results for as long. */
#define ENDED_RECORD_MAX_AGE_MS (24 * 3600000U)
/* Keeps usage reports within the 3 KB/s that the coordinator's node may use for control. */
#define USAGE_REPORT_INTERVAL_MS 60000

static void enqueue_action(const struct gang_action *action, void *ctx)
{
	struct gang_record *record = ctx;
	struct gangagent *agent = record->agent;

	if (agent->queue_count == GANGAGENT_ACTIONS_MAX) {
		log_error("gang_actions_full", record->job, "queue full, dropped action %d",
			  action->kind);
		return;
	}
	agent->queue[(agent->queue_head + agent->queue_count) % GANGAGENT_ACTIONS_MAX] =
		(struct gang_queued_action){.record = record, .action = *action};
	agent->queue_count++;
}

struct gang_action_sink gangagent_action_queue(struct gang_record *record)
{
	struct gang_action_sink out = {enqueue_action, record};

	return out;
}

static struct gang_record *find_record(struct gangagent *agent, const char *job, uint64_t member)
{
	for (struct gang_record *record = agent->records; record; record = record->next) {
		if (record->member.index == member && !strcmp(record->job, job))
			return record;
	}
	return NULL;
}

struct gang_record *gangagent_find_task(struct gangagent *agent, const char *task)
{
	for (struct gang_record *record = agent->records; record; record = record->next) {
		if (!strcmp(record->task, task))
			return record;
	}
	return NULL;
}

static void remove_record(struct gang_record *record)
{
	struct gang_record **at = &record->agent->records;

	for (size_t i = 0; i < record->agent->queue_count; i++) {
		struct gang_queued_action *queued =
			&record->agent
				 ->queue[(record->agent->queue_head + i) % GANGAGENT_ACTIONS_MAX];

		if (queued->record == record)
			queued->record = NULL;
	}
	gangring_disconnect(record);
	while (*at != record)
		at = &(*at)->next;
	*at = record->next;
	talloc_free(record);
}

static void send_status(struct gang_record *record, uint32_t state)
{
	struct msg msg = {.type = MSG_MEMBER_STATUS};

	msg.u.member_status = (struct msg_member_status){
		.job = record->job,
		.attempt = record->member.attempt,
		.member = record->member.index,
		.state = state,
		.reason = record->reason,
		.usage_percent = record->usage_percent,
		.checkpoint_ms = record->checkpoint_ms,
		.may_have_run = record->member.may_have_run,
	};
	wire_send(record->agent->wire, record->coordinator, &msg);
}

void gangagent_set_reason(struct gang_record *record, const char *reason)
{
	talloc_free(record->reason);
	record->reason = talloc_strdup(record, reason ? reason : "");
}

static void release_slots(struct gang_record *record)
{
	slots_release(record->agent->slots, record->accelerator_mask, record->cores,
		      record->memory_mb);
	record->ended_ms = util_clock_ms();
	log_info("member_ended", record->job, "attempt %" PRIu64 " member %u state %u",
		 record->member.attempt, record->member.index, record->member.final_state);
}

static void run_action(struct gang_record *record, const struct gang_action *action)
{
	switch (action->kind) {
	case GANG_SEND_STATUS:
		send_status(record, action->status);
		break;
	case GANG_SEND_PING:
		gangring_send_ping(record, action);
		break;
	case GANG_SEND_BROKEN:
		metrics_count(record->agent->metrics, "jaycourse_gang_broken_total", "",
			      "Messages that tell a member that its gang is broken");
		gangring_send_broken(record, action->member);
		break;
	case GANG_TASK_START:
		gangtask_start(record);
		break;
	case GANG_TASK_STOP:
		gangtask_stop(record, action);
		break;
	case GANG_RELEASE_SLOTS:
		release_slots(record);
		break;
	case GANG_DELETE_RECORD:
		remove_record(record);
		break;
	default:
		break;
	}
}

static void on_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		     void *data);

static void schedule_timer(struct gangagent *agent)
{
	uint64_t due = UINT64_MAX;
	uint64_t now = util_clock_ms();
	uint64_t wait;

	for (struct gang_record *record = agent->records; record; record = record->next) {
		uint64_t at = gang_member_due(&record->member);

		due = at < due ? at : due;
	}
	TALLOC_FREE(agent->timer);
	if (due == UINT64_MAX)
		return;
	wait = due > now ? due - now : 0;
	agent->timer = tevent_add_timer(
		agent->ev, agent,
		tevent_timeval_current_ofs((uint32_t)(wait / 1000), (uint32_t)(wait % 1000) * 1000),
		on_timer, agent);
}

/*
 * An action may cause events for other members on this agent. Their actions are appended to the
 * queue, so that no state machine is called from within its own callback.
 */
void gangagent_run_actions(struct gangagent *agent)
{
	if (agent->running_actions)
		return;
	agent->running_actions = true;
	while (agent->queue_count) {
		struct gang_queued_action queued = agent->queue[agent->queue_head];

		agent->queue_head = (agent->queue_head + 1) % GANGAGENT_ACTIONS_MAX;
		agent->queue_count--;
		if (queued.record)
			run_action(queued.record, &queued.action);
	}
	agent->running_actions = false;
	schedule_timer(agent);
}

static void remove_old_records(struct gangagent *agent, uint64_t now)
{
	uint32_t kept = 0;
	struct gang_record *next;

	for (struct gang_record *record = agent->records; record; record = next) {
		next = record->next;
		if (record->member.phase != GANG_MEMBER_ENDED)
			continue;
		if (++kept > ENDED_RECORDS_MAX || now - record->ended_ms > ENDED_RECORD_MAX_AGE_MS)
			remove_record(record);
	}
}

static void on_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		     void *data)
{
	struct gangagent *agent = data;
	uint64_t now_ms = util_clock_ms();

	agent->timer = NULL;
	for (struct gang_record *record = agent->records; record; record = record->next)
		gang_member_tick(&record->member, now_ms, gangagent_action_queue(record));
	gangagent_run_actions(agent);
	remove_old_records(agent, now_ms);
}

static void send_hold_refused(struct gangagent *agent, const char *peer,
			      const struct msg_hold *hold, int code, const char *reason)
{
	struct msg msg = {.type = MSG_HOLD_REFUSED};

	msg.u.hold_refused = (struct msg_hold_refused){
		.job = hold->job,
		.attempt = hold->attempt,
		.member = hold->member,
		.code = (uint64_t)-code,
		.reason = reason,
	};
	metrics_count_refusal(agent->metrics, "gang_hold");
	log_info("hold_refused", hold->job, "%s", reason);
	wire_send(agent->wire, peer, &msg);
}

static void send_held(struct gangagent *agent, const char *peer, const struct msg_hold *hold)
{
	struct msg msg = {.type = MSG_HELD};

	msg.u.held = (struct msg_held){
		.job = hold->job,
		.attempt = hold->attempt,
		.member = hold->member,
	};
	wire_send(agent->wire, peer, &msg);
}

/*
 * Stops attempts of the job that are older than @attempt. Returns true if no other attempt of the
 * job is active on this agent and none is later than @attempt.
 */
static bool supersede_older_attempts(struct gangagent *agent, const char *job, uint64_t attempt)
{
	bool clear = true;

	for (struct gang_record *record = agent->records; record; record = record->next) {
		if (strcmp(record->job, job) != 0 || record->member.attempt == attempt)
			continue;
		if (record->member.attempt > attempt)
			return false;
		if (record->member.phase != GANG_MEMBER_ENDED) {
			gang_member_supersede(&record->member, util_clock_ms(),
					      gangagent_action_queue(record));
			clear = clear && record->member.phase == GANG_MEMBER_ENDED;
		}
	}
	return clear;
}

static void add_record(struct gangagent *agent, const char *peer, const struct msg_hold *hold)
{
	struct gang_record *record = talloc_zero(agent, struct gang_record);

	record->agent = agent;
	record->job = talloc_strdup(record, hold->job);
	/* The count of a granted attempt is never reused, so ids of started tasks are unique. */
	record->task = talloc_asprintf(record, "%s.%u.%" PRIu64, hold->job,
				       gang_attempt_count(hold->attempt), hold->member);
	record->coordinator = talloc_strdup(record, peer);
	record->payload = talloc_strndup(
		record,
		(const char *)(hold->payload.data ? hold->payload.data : (const uint8_t *)""),
		hold->payload.len);
	record->reason = talloc_strdup(record, "");
	record->accelerator_mask = hold->accelerator_mask;
	record->cores = (uint32_t)hold->cores;
	record->memory_mb = (uint32_t)hold->memory_mb;
	record->checkpoint = hold->checkpoint;
	record->next = agent->records;
	agent->records = record;
	gang_member_hold(&record->member, hold->epoch, hold->attempt, (uint32_t)hold->member,
			 (uint32_t)hold->ttl_ms, util_clock_ms());
}

static void on_hold(struct gangagent *agent, const char *peer, const struct msg_hold *hold)
{
	struct gang_record *record = find_record(agent, hold->job, hold->member);
	struct err err = {0};

	if (record && record->member.attempt == hold->attempt) {
		if (record->member.phase == GANG_MEMBER_HELD)
			send_held(agent, peer, hold);
		else
			send_hold_refused(agent, peer, hold, -ERR_STALE,
					  "this attempt has already started or ended here");
		return;
	}
	if (!supersede_older_attempts(agent, hold->job, hold->attempt)) {
		send_hold_refused(agent, peer, hold, -ERR_STALE,
				  "an active or later attempt of the job is on this agent");
		return;
	}
	if (!agent->accepting || !agent->worker) {
		send_hold_refused(agent, peer, hold, -ERR_LEAVING,
				  "no worker on this agent accepts tasks");
		return;
	}
	if (hold->member >= PLACE_MEMBERS_MAX || hold->ttl_ms > 60000) {
		send_hold_refused(agent, peer, hold, -ERR_INVALID,
				  "member index or TTL out of range");
		return;
	}
	if (slots_reserve(agent->slots, hold->accelerator_mask, (uint32_t)hold->cores,
			  (uint32_t)hold->memory_mb, &err)) {
		send_hold_refused(agent, peer, hold, -ERR_NO_TARGET, err.message);
		return;
	}
	if (record)
		remove_record(record);
	add_record(agent, peer, hold);
	send_held(agent, peer, hold);
}

static void send_unknown_status(struct gangagent *agent, const char *peer, const char *job,
				uint64_t attempt, uint64_t member)
{
	struct msg msg = {.type = MSG_MEMBER_STATUS};

	msg.u.member_status = (struct msg_member_status){
		.job = job,
		.attempt = attempt,
		.member = member,
		.state = MSG_MEMBER_UNKNOWN,
		.reason = "no record of this attempt",
	};
	wire_send(agent->wire, peer, &msg);
}

static const char **copy_strings(TALLOC_CTX *mem, const struct msg_strings *from)
{
	const char **to = talloc_array(mem, const char *, from->count);

	for (size_t i = 0; i < from->count; i++)
		to[i] = talloc_strdup(to, from->items[i]);
	return to;
}

static void set_coordinator(struct gang_record *record, const char *peer)
{
	if (!strcmp(record->coordinator, peer))
		return;
	talloc_free(record->coordinator);
	record->coordinator = talloc_strdup(record, peer);
}

static bool valid_start(const struct gangagent *agent, const struct msg_start *start)
{
	return start->nodes.count > 0 && start->nodes.count <= PLACE_MEMBERS_MAX &&
	       start->nodes.count == start->addresses.count && start->member < start->nodes.count &&
	       !strcmp(start->nodes.items[start->member], agent->node);
}

static void on_start(struct gangagent *agent, const char *peer, const struct msg_start *start)
{
	struct gang_record *record = find_record(agent, start->job, start->member);

	if (!valid_start(agent, start)) {
		log_warn("start_malformed", start->job, "invalid START from %s", peer);
		return;
	}
	if (!record || record->member.attempt != start->attempt) {
		/* An older attempt must not run at the same time as this one. */
		supersede_older_attempts(agent, start->job, start->attempt);
		send_unknown_status(agent, peer, start->job, start->attempt, start->member);
		return;
	}
	set_coordinator(record, peer);
	if (!record->nodes) {
		record->nodes = copy_strings(record, &start->nodes);
		record->addresses = copy_strings(record, &start->addresses);
	}
	gang_member_start(&record->member, start->epoch, (uint32_t)start->nodes.count,
			  util_clock_ms(), gangagent_action_queue(record));
}

static void on_release(struct gangagent *agent, const struct msg_release *release)
{
	for (struct gang_record *record = agent->records; record; record = record->next) {
		if (!strcmp(record->job, release->job) &&
		    record->member.attempt == release->attempt)
			gang_member_release(&record->member, util_clock_ms(),
					    gangagent_action_queue(record));
	}
}

static void on_stop(struct gangagent *agent, const char *peer, const struct msg_stop *stop)
{
	bool found = false;

	for (struct gang_record *record = agent->records; record; record = record->next) {
		if (strcmp(record->job, stop->job) != 0 || record->member.attempt != stop->attempt)
			continue;
		found = true;
		set_coordinator(record, peer);
		gang_member_stop(&record->member, stop->epoch, stop->checkpoint,
				 (uint32_t)stop->grace_ms, util_clock_ms(),
				 gangagent_action_queue(record));
	}
	/* Given an index out of range, the coordinator finds the member by the sending agent. */
	if (!found)
		send_unknown_status(agent, peer, stop->job, stop->attempt, PLACE_MEMBERS_MAX);
}

/* Returns false if the message is from a former coordinator. */
static bool accept_epoch(struct gangagent *agent, uint64_t epoch, const char *job)
{
	if (epoch < agent->highest_epoch) {
		metrics_count_refusal(agent->metrics, "stale_epoch");
		log_info("stale_epoch", job, "epoch %" PRIu64 ", highest seen %" PRIu64, epoch,
			 agent->highest_epoch);
		return false;
	}
	agent->highest_epoch = epoch;
	return true;
}

static void handle_coordinator_message(struct gangagent *agent, const char *peer, struct msg *msg)
{
	switch (msg->type) {
	case MSG_HOLD:
		if (accept_epoch(agent, msg->u.hold.epoch, msg->u.hold.job))
			on_hold(agent, peer, &msg->u.hold);
		else
			send_hold_refused(agent, peer, &msg->u.hold, -ERR_STALE,
					  "a coordinator with a higher epoch is known");
		break;
	case MSG_START:
		if (accept_epoch(agent, msg->u.start.epoch, msg->u.start.job))
			on_start(agent, peer, &msg->u.start);
		break;
	case MSG_RELEASE:
		if (accept_epoch(agent, msg->u.release.epoch, msg->u.release.job))
			on_release(agent, &msg->u.release);
		break;
	default:
		if (accept_epoch(agent, msg->u.stop.epoch, msg->u.stop.job))
			on_stop(agent, peer, &msg->u.stop);
		break;
	}
}

bool gangagent_handle_message(struct gangagent *agent, const char *peer, struct msg *msg)
{
	switch (msg->type) {
	case MSG_HOLD:
	case MSG_START:
	case MSG_RELEASE:
	case MSG_STOP:
		handle_coordinator_message(agent, peer, msg);
		break;
	case MSG_GANG_PING:
	case MSG_GANG_BROKEN:
		agent->ring_peer = peer;
		gangring_receive(agent, msg);
		break;
	default:
		return false;
	}
	gangagent_run_actions(agent);
	agent->ring_peer = NULL;
	return true;
}

struct gangagent *gangagent_create(TALLOC_CTX *mem, const struct gangagent_deps *deps)
{
	struct gangagent *agent = talloc_zero(mem, struct gangagent);

	agent->ev = deps->ev;
	agent->wire = deps->wire;
	agent->slots = deps->slots;
	agent->metrics = deps->metrics;
	agent->node = talloc_strdup(agent, deps->node);
	return agent;
}

/* Ends a member whose worker has left; a task that may still run ends with its lease. */
static void end_without_worker(struct gang_record *record)
{
	bool calling = record->member.phase == GANG_MEMBER_STARTING;

	if (record->member.phase == GANG_MEMBER_ENDED)
		return;
	gangagent_set_reason(record, "the worker has left");
	gang_member_supersede(&record->member, util_clock_ms(), gangagent_action_queue(record));
	if (calling)
		gang_member_task_started(&record->member, true, util_clock_ms(),
					 gangagent_action_queue(record));
	else if (record->member.phase == GANG_MEMBER_STOPPING)
		gangtask_wait_for_lease_expiry(record);
}

void gangagent_set_worker(struct gangagent *agent, struct worker *worker)
{
	if (worker == agent->worker)
		return;
	agent->worker = NULL;
	TALLOC_FREE(agent->worker_calls);
	for (struct gang_record *record = agent->records; record; record = record->next)
		end_without_worker(record);
	gangagent_run_actions(agent);
	agent->worker = worker;
	agent->worker_calls = talloc_new(agent);
}

void gangagent_set_accepting(struct gangagent *agent, bool accepting)
{
	agent->accepting = accepting;
}

void gangagent_handle_task_end(struct gangagent *agent, const char *id,
			       enum worker_task_state state, const char *reason)
{
	static const uint32_t states[] = {
		[WORKER_TASK_DONE] = MSG_MEMBER_DONE,
		[WORKER_TASK_FAILED] = MSG_MEMBER_FAILED,
		[WORKER_TASK_STOPPED] = MSG_MEMBER_LOST,
		[WORKER_TASK_UNKNOWN] = MSG_MEMBER_LOST,
	};
	struct gang_record *record = gangagent_find_task(agent, id);

	if (!record || state < WORKER_TASK_DONE || state > WORKER_TASK_UNKNOWN)
		return;
	gangagent_set_reason(record, reason);
	gang_member_task_ended(&record->member, states[state], util_clock_ms(),
			       gangagent_action_queue(record));
	gangagent_run_actions(agent);
}

void gangagent_handle_usage(struct gangagent *agent, const char *id, uint32_t percent,
			    uint64_t checkpoint_ms)
{
	struct gang_record *record = gangagent_find_task(agent, id);
	uint64_t now = util_clock_ms();

	if (!record || record->member.phase != GANG_MEMBER_RUNNING)
		return;
	record->usage_percent = percent;
	record->checkpoint_ms = checkpoint_ms;
	if (now - record->usage_sent_ms < USAGE_REPORT_INTERVAL_MS)
		return;
	record->usage_sent_ms = now;
	send_status(record, MSG_MEMBER_RUNNING);
}

uint32_t gangagent_count_active(const struct gangagent *agent)
{
	uint32_t count = 0;

	for (const struct gang_record *record = agent->records; record; record = record->next)
		count += record->member.phase != GANG_MEMBER_ENDED;
	return count;
}
