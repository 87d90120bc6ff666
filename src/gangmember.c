#include "gang.h"

#include <string.h>

static void emit_action(struct gang_action_sink out, enum gang_action_kind kind)
{
	struct gang_action action = {.kind = kind};

	out.emit(&action, out.ctx);
}

/* Member state to report to the coordinator. */
static uint32_t reported_state(const struct gang_member *member)
{
	switch (member->phase) {
	case GANG_MEMBER_ENDED:
		return member->final_state;
	case GANG_MEMBER_RUNNING:
	case GANG_MEMBER_STOPPING:
		return MSG_MEMBER_RUNNING;
	default:
		return MSG_MEMBER_STARTING;
	}
}

static void send_status(const struct gang_member *member, struct gang_action_sink out)
{
	struct gang_action action = {.kind = GANG_SEND_STATUS, .status = reported_state(member)};

	out.emit(&action, out.ctx);
}

static void send_ping(const struct gang_member *member, struct gang_action_sink out)
{
	struct gang_action action = {.kind = GANG_SEND_PING, .closed = member->ring_closed};

	if (member->members < 2)
		return;
	action.member = (member->index + 1) % member->members;
	out.emit(&action, out.ctx);
}

static void send_broken_to_all(const struct gang_member *member, struct gang_action_sink out)
{
	struct gang_action action = {.kind = GANG_SEND_BROKEN};

	for (uint32_t i = 0; i < member->members; i++) {
		action.member = i;
		if (i != member->index)
			out.emit(&action, out.ctx);
	}
}

static void end_member(struct gang_member *member, uint32_t final_state, uint64_t now_ms,
		       struct gang_action_sink out)
{
	member->phase = GANG_MEMBER_ENDED;
	member->final_state = final_state;
	member->next_status_ms = now_ms + GANG_STATUS_RESEND_INTERVAL_MS;
	emit_action(out, GANG_RELEASE_SLOTS);
	send_status(member, out);
}

static void stop_task(struct gang_member *member, struct gang_action_sink out)
{
	struct gang_action action = {
		.kind = GANG_TASK_STOP,
		.checkpoint = member->checkpoint,
		.grace_ms = member->grace_ms,
	};

	member->phase = GANG_MEMBER_STOPPING;
	out.emit(&action, out.ctx);
}

/* Ends the member with state @final_state; if the worker may have the task, stops the task first.
 */
static void stop_member(struct gang_member *member, uint32_t final_state, uint64_t now_ms,
			struct gang_action_sink out)
{
	switch (member->phase) {
	case GANG_MEMBER_HELD:
	case GANG_MEMBER_READY:
		member->next_ping_ms = 0;
		end_member(member, MSG_MEMBER_START_FAILED, now_ms, out);
		break;
	case GANG_MEMBER_STARTING:
		member->final_state = member->stop_pending ? member->final_state : final_state;
		member->stop_pending = true;
		break;
	case GANG_MEMBER_RUNNING:
		member->final_state = final_state;
		stop_task(member, out);
		break;
	default:
		break;
	}
}

static void break_ring(struct gang_member *member, uint64_t now_ms, struct gang_action_sink out)
{
	member->next_ping_ms = 0;
	send_broken_to_all(member, out);
	stop_member(member, MSG_MEMBER_LOST, now_ms, out);
}

void gang_member_hold(struct gang_member *member, uint64_t epoch, uint64_t attempt, uint32_t index,
		      uint32_t ttl_ms, uint64_t now_ms)
{
	memset(member, 0, sizeof(*member));
	member->epoch = epoch;
	member->attempt = attempt;
	member->index = index;
	member->phase = GANG_MEMBER_HELD;
	member->deadline_ms = now_ms + ttl_ms;
}

/* All members have received START: starts the task and passes the second token on. */
static void close_ring(struct gang_member *member, uint64_t now_ms, struct gang_action_sink out)
{
	member->ring_closed = true;
	member->phase = GANG_MEMBER_STARTING;
	member->deadline_ms = 0;
	member->predecessor_seen_ms = now_ms;
	member->next_ping_ms = now_ms + GANG_RING_PING_INTERVAL_MS;
	emit_action(out, GANG_TASK_START);
	send_ping(member, out);
}

static void pass_token(struct gang_member *member, uint64_t now_ms, struct gang_action_sink out)
{
	member->next_ping_ms = now_ms + GANG_RING_PING_INTERVAL_MS;
	send_ping(member, out);
}

void gang_member_start(struct gang_member *member, uint64_t epoch, uint32_t members,
		       uint64_t now_ms, struct gang_action_sink out)
{
	member->epoch = epoch;
	if (member->phase == GANG_MEMBER_HELD && now_ms >= member->deadline_ms) {
		end_member(member, MSG_MEMBER_START_FAILED, now_ms, out);
		return;
	}
	if (member->phase == GANG_MEMBER_HELD) {
		member->phase = GANG_MEMBER_READY;
		member->members = members;
		member->deadline_ms = now_ms + GANG_RING_CLOSE_TIMEOUT_MS;
		if (members == 1)
			close_ring(member, now_ms, out);
		else if (member->index == 0 || member->token_received)
			pass_token(member, now_ms, out);
		return; /* the state is sent when the task starts or the ring times out */
	}
	send_status(member, out);
}

static void send_broken(uint32_t to, struct gang_action_sink out)
{
	struct gang_action action = {.kind = GANG_SEND_BROKEN, .member = to};

	out.emit(&action, out.ctx);
}

static void receive_token(struct gang_member *member, bool closed, uint64_t now_ms,
			  struct gang_action_sink out)
{
	bool first = !member->token_received;

	member->token_received = true;
	if (member->phase != GANG_MEMBER_READY)
		return;
	if (closed || member->index == 0)
		close_ring(member, now_ms, out);
	else if (first)
		pass_token(member, now_ms, out);
}

static bool watches_predecessor(const struct gang_member *member)
{
	if (member->members < 2 || member->stop_pending)
		return false;
	/*
	 * A done member that pings watches its predecessor too; otherwise its own pings would
	 * keep the rest of the ring from noticing that the predecessor is lost.
	 */
	if (member->phase == GANG_MEMBER_ENDED)
		return member->final_state == MSG_MEMBER_DONE && member->next_ping_ms;
	return member->phase == GANG_MEMBER_STARTING || member->phase == GANG_MEMBER_RUNNING;
}

/*
 * Breaks a ring that has not closed in time, or whose predecessor has been silent for too long.
 * Also called before a ping is handled, because an agent that was frozen may read late messages
 * before its timers run. Returns true if the ring is broken.
 */
static bool break_overdue_ring(struct gang_member *member, uint64_t now_ms,
			       struct gang_action_sink out)
{
	if (!(member->phase == GANG_MEMBER_READY && now_ms >= member->deadline_ms) &&
	    !(watches_predecessor(member) &&
	      now_ms >= member->predecessor_seen_ms + GANG_PREDECESSOR_TIMEOUT_MS))
		return false;
	break_ring(member, now_ms, out);
	return true;
}

void gang_member_ping(struct gang_member *member, uint32_t from, bool closed, uint64_t now_ms,
		      struct gang_action_sink out)
{
	/* Before START the ring's size is unknown; the token is then only recorded. */
	if (member->members && (from + 1) % member->members != member->index)
		return;
	if (member->phase >= GANG_MEMBER_STOPPING && !member->next_ping_ms) {
		send_broken(from, out);
		return;
	}
	if (break_overdue_ring(member, now_ms, out))
		return;
	member->predecessor_seen_ms = now_ms;
	if (member->phase <= GANG_MEMBER_READY)
		receive_token(member, closed, now_ms, out);
}

void gang_member_broken(struct gang_member *member, uint64_t now_ms, struct gang_action_sink out)
{
	/* A requested stop is left to finish, so that its checkpoint is complete. */
	if (member->phase == GANG_MEMBER_STOPPING)
		return;
	member->next_ping_ms = 0;
	stop_member(member, MSG_MEMBER_LOST, now_ms, out);
}

void gang_member_stop(struct gang_member *member, uint64_t epoch, bool checkpoint,
		      uint32_t grace_ms, uint64_t now_ms, struct gang_action_sink out)
{
	member->epoch = epoch;
	if (member->phase < GANG_MEMBER_STOPPING && !member->stop_pending) {
		member->checkpoint = checkpoint;
		member->grace_ms = grace_ms;
		member->linger_until_ms = now_ms + GANG_LINGER_MS;
		stop_member(member, MSG_MEMBER_STOPPED, now_ms, out);
		return;
	}
	if (!member->linger_until_ms)
		member->linger_until_ms = now_ms + GANG_LINGER_MS;
	send_status(member, out);
}

void gang_member_supersede(struct gang_member *member, uint64_t now_ms, struct gang_action_sink out)
{
	if (member->phase < GANG_MEMBER_STOPPING)
		break_ring(member, now_ms, out);
}

void gang_member_release(struct gang_member *member, uint64_t now_ms, struct gang_action_sink out)
{
	if (member->phase == GANG_MEMBER_HELD)
		end_member(member, MSG_MEMBER_START_FAILED, now_ms, out);
	/* RELEASE does not apply between START and the end: such an attempt has its grant. */
	if (member->phase == GANG_MEMBER_ENDED) {
		member->next_status_ms = 0;
		member->next_ping_ms = 0;
		emit_action(out, GANG_DELETE_RECORD);
	}
}

static void fail_start(struct gang_member *member, uint64_t now_ms, struct gang_action_sink out)
{
	member->next_ping_ms = 0;
	send_broken_to_all(member, out);
	end_member(member, MSG_MEMBER_START_FAILED, now_ms, out);
}

void gang_member_start_unanswered(struct gang_member *member, uint64_t now_ms,
				  struct gang_action_sink out)
{
	if (member->phase != GANG_MEMBER_STARTING)
		return;
	member->may_have_run = true;
	fail_start(member, now_ms, out);
}

void gang_member_task_started(struct gang_member *member, bool runs, uint64_t now_ms,
			      struct gang_action_sink out)
{
	if (member->phase != GANG_MEMBER_STARTING)
		return;
	if (!runs) {
		fail_start(member, now_ms, out);
		return;
	}
	member->phase = GANG_MEMBER_RUNNING;
	if (member->stop_pending)
		stop_task(member, out);
	else
		send_status(member, out);
}

void gang_member_task_ended(struct gang_member *member, uint32_t state, uint64_t now_ms,
			    struct gang_action_sink out)
{
	if (member->phase != GANG_MEMBER_RUNNING && member->phase != GANG_MEMBER_STOPPING)
		return;
	/* A member that is done stays in the ring, since others may still run their tasks. */
	if (state != MSG_MEMBER_DONE) {
		member->next_ping_ms = 0;
		send_broken_to_all(member, out);
	}
	end_member(member, state, now_ms, out);
}

void gang_member_task_stopped(struct gang_member *member, uint64_t now_ms,
			      struct gang_action_sink out)
{
	if (member->phase == GANG_MEMBER_STOPPING)
		end_member(member, member->final_state, now_ms, out);
}

static void send_due_ping(struct gang_member *member, uint64_t now_ms, struct gang_action_sink out)
{
	if (!member->next_ping_ms || now_ms < member->next_ping_ms)
		return;
	if (member->linger_until_ms && now_ms >= member->linger_until_ms) {
		member->next_ping_ms = 0;
		return;
	}
	send_ping(member, out);
	member->next_ping_ms =
		now_ms + (member->phase < GANG_MEMBER_RUNNING ? GANG_RING_PING_INTERVAL_MS
							      : GANG_PING_INTERVAL_MS);
}

static bool has_deadline(const struct gang_member *member)
{
	return member->phase == GANG_MEMBER_HELD || member->phase == GANG_MEMBER_READY;
}

void gang_member_tick(struct gang_member *member, uint64_t now_ms, struct gang_action_sink out)
{
	if (member->phase == GANG_MEMBER_HELD && now_ms >= member->deadline_ms)
		end_member(member, MSG_MEMBER_START_FAILED, now_ms, out);
	else
		break_overdue_ring(member, now_ms, out);
	send_due_ping(member, now_ms, out);
	if (member->next_status_ms && now_ms >= member->next_status_ms) {
		send_status(member, out);
		member->next_status_ms = now_ms + GANG_STATUS_RESEND_INTERVAL_MS;
	}
}

uint64_t gang_member_due(const struct gang_member *member)
{
	uint64_t due = UINT64_MAX;

	if (has_deadline(member))
		due = member->deadline_ms;
	if (watches_predecessor(member))
		due = member->predecessor_seen_ms + GANG_PREDECESSOR_TIMEOUT_MS;
	if (member->next_ping_ms && member->next_ping_ms < due)
		due = member->next_ping_ms;
	if (member->next_status_ms && member->next_status_ms < due)
		due = member->next_status_ms;
	return due;
}
