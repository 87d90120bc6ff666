#include "gang.h"

#include <string.h>

static void emit_action(struct gang_action_sink out, enum gang_action_kind kind, uint32_t member)
{
	struct gang_action action = {.kind = kind, .member = member};

	out.emit(&action, out.ctx);
}

static bool is_final(uint8_t seen)
{
	return seen >= GANG_SEEN_UNSTARTED;
}

static bool is_lost(uint8_t seen)
{
	return seen == GANG_SEEN_DEAD || seen == GANG_SEEN_UNREACHABLE;
}

static uint32_t count_seen(const struct gang_coordinator *coordinator, bool (*match)(uint8_t seen))
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < coordinator->members; i++)
		count += match(coordinator->seen[i]);
	return count;
}

static bool all_seen(const struct gang_coordinator *coordinator, enum gang_seen seen)
{
	for (uint32_t i = 0; i < coordinator->members; i++) {
		if (coordinator->seen[i] != seen)
			return false;
	}
	return true;
}

static bool any_seen(const struct gang_coordinator *coordinator, enum gang_seen seen)
{
	for (uint32_t i = 0; i < coordinator->members; i++) {
		if (coordinator->seen[i] == seen)
			return true;
	}
	return false;
}

static void send_stop(const struct gang_coordinator *coordinator, uint32_t member,
		      struct gang_action_sink out)
{
	struct gang_action action = {
		.kind = GANG_SEND_STOP,
		.member = member,
		.checkpoint = coordinator->checkpoint,
		.grace_ms = coordinator->grace_ms,
	};

	out.emit(&action, out.ctx);
}

/*
 * Sends the message of the phase to each member that has not answered it yet. STOP also goes to
 * unreachable members, which may be reachable again.
 */
static void send_phase_messages(struct gang_coordinator *coordinator, uint64_t now_ms,
				struct gang_action_sink out)
{
	for (uint32_t i = 0; i < coordinator->members; i++) {
		if (coordinator->phase >= GANG_PHASE_STOPPING &&
		    coordinator->seen[i] == GANG_SEEN_UNREACHABLE)
			send_stop(coordinator, i, out);
		if (is_final(coordinator->seen[i]))
			continue;
		if (coordinator->phase == GANG_PHASE_HOLDING &&
		    coordinator->seen[i] < GANG_SEEN_HELD)
			emit_action(out, GANG_SEND_HOLD, i);
		else if (coordinator->phase == GANG_PHASE_STARTING &&
			 coordinator->seen[i] < GANG_SEEN_RUNNING)
			emit_action(out, GANG_SEND_START, i);
		else if (coordinator->phase == GANG_PHASE_STOPPING)
			send_stop(coordinator, i, out);
	}
	coordinator->resend_at_ms = now_ms + GANG_RESEND_INTERVAL_MS;
}

static void set_outcome(struct gang_coordinator *coordinator, enum place_outcome outcome, int fault)
{
	if (coordinator->outcome)
		return;
	coordinator->outcome = (uint8_t)(outcome + 1);
	coordinator->fault = fault;
}

/*
 * A lost member may still run its task and a done member still pings its successor, in either
 * case until its own predecessor stops pinging.
 */
static bool may_ping(uint8_t seen)
{
	return is_lost(seen) || seen == GANG_SEEN_DONE;
}

/* Length of the longest sequence of neighbours in the ring that may still ping each other. */
static uint32_t longest_pinging_sequence(const struct gang_coordinator *coordinator)
{
	uint32_t longest = 0;
	uint32_t run = 0;

	for (uint32_t i = 0; i < 2 * coordinator->members; i++) {
		run = may_ping(coordinator->seen[i % coordinator->members]) ? run + 1 : 0;
		if (run > longest)
			longest = run;
	}
	return longest < coordinator->members ? longest : coordinator->members;
}

static void end_attempt(struct gang_coordinator *coordinator, struct gang_action_sink out)
{
	coordinator->phase = GANG_PHASE_ENDED;
	coordinator->deadline_ms = 0;
	emit_action(out, GANG_ENDED, 0);
}

/*
 * Called when no reachable member has a task. Waits until the tasks of lost members must have
 * stopped. In a sequence of lost or done members the first one no longer receives pings and
 * breaks the ring, then the next one does, so each member adds one detection time
 * (GANG_PREDECESSOR_TIMEOUT_MS). The task of a frozen agent ends with the worker's lease. An
 * unreachable member may have received STOP and takes its checkpoint under its lease, for up to the
 * grace period, although the ring breaks.
 */
static void fence_lost_members(struct gang_coordinator *coordinator, uint64_t now_ms,
			       struct gang_action_sink out)
{
	if (count_seen(coordinator, is_lost) == 0) {
		end_attempt(coordinator, out);
		return;
	}
	coordinator->phase = GANG_PHASE_FENCING;
	coordinator->deadline_ms =
		now_ms +
		(uint64_t)longest_pinging_sequence(coordinator) * GANG_PREDECESSOR_TIMEOUT_MS +
		GANG_LINGER_MS + GANG_PING_INTERVAL_MS + TASK_LEASE_EXPIRY_MS;
	if (coordinator->checkpoint && any_seen(coordinator, GANG_SEEN_UNREACHABLE))
		coordinator->deadline_ms += coordinator->grace_ms;
}

static void fence_when_all_final(struct gang_coordinator *coordinator, uint64_t now_ms,
				 struct gang_action_sink out)
{
	if (count_seen(coordinator, is_final) == coordinator->members)
		fence_lost_members(coordinator, now_ms, out);
}

static void stop_members(struct gang_coordinator *coordinator, uint64_t now_ms,
			 struct gang_action_sink out)
{
	coordinator->phase = GANG_PHASE_STOPPING;
	coordinator->deadline_ms = 0;
	send_phase_messages(coordinator, now_ms, out);
	fence_when_all_final(coordinator, now_ms, out);
}

/* No task starts before the grant is written, so the attempt ends at once. */
static void abort_hold(struct gang_coordinator *coordinator, enum place_outcome outcome, int fault,
		       struct gang_action_sink out)
{
	set_outcome(coordinator, outcome, fault);
	end_attempt(coordinator, out);
}

static void start_members(struct gang_coordinator *coordinator, uint64_t now_ms,
			  struct gang_action_sink out)
{
	coordinator->granted = true;
	if (coordinator->stop_requested || coordinator->outcome ||
	    count_seen(coordinator, is_lost)) {
		stop_members(coordinator, now_ms, out);
		return;
	}
	coordinator->phase = GANG_PHASE_STARTING;
	coordinator->start_sent = true;
	coordinator->deadline_ms = now_ms + GANG_START_TIMEOUT_MS;
	send_phase_messages(coordinator, now_ms, out);
}

void gang_coordinator_begin(struct gang_coordinator *coordinator, uint64_t epoch, uint64_t attempt,
			    uint32_t members, uint64_t now_ms, struct gang_action_sink out)
{
	memset(coordinator, 0, sizeof(*coordinator));
	coordinator->epoch = epoch;
	coordinator->attempt = attempt;
	coordinator->members = members;
	coordinator->fault = -1;
	coordinator->phase = GANG_PHASE_HOLDING;
	coordinator->deadline_ms = now_ms + GANG_HOLD_TIMEOUT_MS;
	send_phase_messages(coordinator, now_ms, out);
}

void gang_coordinator_restore(struct gang_coordinator *coordinator, uint64_t epoch,
			      uint64_t attempt, uint32_t members, bool running, uint64_t now_ms,
			      struct gang_action_sink out)
{
	memset(coordinator, 0, sizeof(*coordinator));
	coordinator->epoch = epoch;
	coordinator->attempt = attempt;
	coordinator->members = members;
	coordinator->fault = -1;
	coordinator->start_sent = true; /* the former coordinator may have sent it */
	start_members(coordinator, now_ms, out);
	if (running)
		coordinator->deadline_ms = 0;
}

void gang_coordinator_member_held(struct gang_coordinator *coordinator, uint32_t member,
				  uint64_t now_ms, struct gang_action_sink out)
{
	if (member >= coordinator->members || coordinator->phase != GANG_PHASE_HOLDING)
		return;
	if (coordinator->seen[member] < GANG_SEEN_HELD)
		coordinator->seen[member] = GANG_SEEN_HELD;
	if (!all_seen(coordinator, GANG_SEEN_HELD))
		return;
	coordinator->phase = GANG_PHASE_GRANTING;
	coordinator->deadline_ms = 0;
	emit_action(out, GANG_WRITE_GRANT, 0);
}

void gang_coordinator_member_refused(struct gang_coordinator *coordinator, uint32_t member,
				     uint64_t now_ms, struct gang_action_sink out)
{
	if (member >= coordinator->members || coordinator->phase != GANG_PHASE_HOLDING)
		return;
	abort_hold(coordinator, PLACE_HOLD_REFUSED, (int)member, out);
}

void gang_coordinator_grant_written(struct gang_coordinator *coordinator, int status,
				    uint64_t now_ms, struct gang_action_sink out)
{
	if (coordinator->phase != GANG_PHASE_GRANTING)
		return;
	if (status == 0)
		start_members(coordinator, now_ms, out);
	else
		abort_hold(coordinator,
			   coordinator->stop_requested ? PLACE_STOPPED : PLACE_HOLD_REFUSED, -1,
			   out);
}

static enum gang_seen seen_from_status(const struct gang_status *status)
{
	static const enum gang_seen seen[] = {
		[MSG_MEMBER_STARTING] = GANG_SEEN_READY,
		[MSG_MEMBER_RUNNING] = GANG_SEEN_RUNNING,
		[MSG_MEMBER_STOPPED] = GANG_SEEN_STOPPED,
		[MSG_MEMBER_DONE] = GANG_SEEN_DONE,
		[MSG_MEMBER_FAILED] = GANG_SEEN_FAILED,
		[MSG_MEMBER_START_FAILED] = GANG_SEEN_UNSTARTED,
		[MSG_MEMBER_LOST] = GANG_SEEN_BROKEN,
		[MSG_MEMBER_UNKNOWN] = GANG_SEEN_DEAD,
	};

	if (status->state >= sizeof(seen) / sizeof(seen[0]))
		return GANG_SEEN_NONE;
	if (status->state == MSG_MEMBER_START_FAILED && status->may_have_run)
		return GANG_SEEN_UNANSWERED;
	return seen[status->state];
}

static void set_outcome_by_member(struct gang_coordinator *coordinator, uint32_t member)
{
	switch (coordinator->seen[member]) {
	case GANG_SEEN_FAILED:
		set_outcome(coordinator, PLACE_JOB_FAILED, (int)member);
		break;
	case GANG_SEEN_UNSTARTED:
	case GANG_SEEN_UNANSWERED:
		set_outcome(coordinator, PLACE_START_FAILED, (int)member);
		break;
	case GANG_SEEN_DEAD:
	case GANG_SEEN_UNREACHABLE:
		set_outcome(coordinator, PLACE_WORKER_LOST, (int)member);
		break;
	case GANG_SEEN_BROKEN:
		/* Another member caused this; it is known once it is found lost. */
		set_outcome(coordinator, PLACE_WORKER_LOST, -1);
		break;
	default:
		set_outcome(coordinator, PLACE_STOPPED, -1);
		break;
	}
}

static void update_phase(struct gang_coordinator *coordinator, uint32_t member, uint64_t now_ms,
			 struct gang_action_sink out)
{
	if (all_seen(coordinator, GANG_SEEN_DONE)) {
		coordinator->outcome = PLACE_DONE + 1;
		coordinator->fault = -1;
		end_attempt(coordinator, out);
		return;
	}
	if (coordinator->phase == GANG_PHASE_STOPPING) {
		fence_when_all_final(coordinator, now_ms, out);
		return;
	}
	if (is_final(coordinator->seen[member]) && coordinator->seen[member] != GANG_SEEN_DONE) {
		set_outcome_by_member(coordinator, member);
		stop_members(coordinator, now_ms, out);
		return;
	}
	if (coordinator->seen[member] == GANG_SEEN_RUNNING)
		coordinator->deadline_ms = 0; /* the ring has closed and now detects failures */
	for (uint32_t i = 0; i < coordinator->members; i++) {
		if (coordinator->seen[i] != GANG_SEEN_RUNNING &&
		    coordinator->seen[i] != GANG_SEEN_DONE)
			return;
	}
	if (coordinator->phase == GANG_PHASE_STARTING) {
		coordinator->phase = GANG_PHASE_RUNNING;
		coordinator->deadline_ms = 0;
		emit_action(out, GANG_RUNNING, 0);
	}
}

void gang_coordinator_member_status(struct gang_coordinator *coordinator, uint32_t member,
				    const struct gang_status *status, uint64_t now_ms,
				    struct gang_action_sink out)
{
	enum gang_seen seen = seen_from_status(status);

	if (member >= coordinator->members || seen == GANG_SEEN_NONE)
		return;
	if (coordinator->phase < GANG_PHASE_STARTING || coordinator->phase > GANG_PHASE_FENCING)
		return;
	/* An unreachable member may report again; no other final state changes. */
	if (is_final(coordinator->seen[member]) &&
	    coordinator->seen[member] != GANG_SEEN_UNREACHABLE)
		return;
	if (coordinator->seen[member] != GANG_SEEN_UNREACHABLE && !is_final(seen) &&
	    coordinator->seen[member] >= seen)
		return;
	coordinator->seen[member] = seen;
	coordinator->checkpointed[member] = status->checkpoint;
	/* The member is reachable again and has its task: its stop has to be confirmed. */
	if (coordinator->phase == GANG_PHASE_FENCING && !is_final(seen)) {
		stop_members(coordinator, now_ms, out);
		return;
	}
	if (coordinator->fault < 0 && coordinator->outcome == PLACE_WORKER_LOST + 1 &&
	    is_lost(seen))
		coordinator->fault = (int)member;
	if (coordinator->phase != GANG_PHASE_FENCING)
		update_phase(coordinator, member, now_ms, out);
	else if (!count_seen(coordinator, is_lost))
		end_attempt(coordinator, out);
}

void gang_coordinator_member_lost(struct gang_coordinator *coordinator, uint32_t member, bool dead,
				  uint64_t now_ms, struct gang_action_sink out)
{
	if (member >= coordinator->members || coordinator->phase >= GANG_PHASE_FENCING)
		return;
	if (is_final(coordinator->seen[member]))
		return;
	if (coordinator->phase == GANG_PHASE_HOLDING) {
		abort_hold(coordinator, PLACE_HOLD_REFUSED, (int)member, out);
		return;
	}
	coordinator->seen[member] = dead ? GANG_SEEN_DEAD : GANG_SEEN_UNREACHABLE;
	if (coordinator->fault < 0 && coordinator->outcome == PLACE_WORKER_LOST + 1)
		coordinator->fault = (int)member;
	set_outcome_by_member(coordinator, member);
	if (coordinator->phase == GANG_PHASE_STOPPING)
		fence_when_all_final(coordinator, now_ms, out);
	else if (coordinator->phase != GANG_PHASE_GRANTING)
		stop_members(coordinator, now_ms, out);
}

void gang_coordinator_stop(struct gang_coordinator *coordinator, bool checkpoint, uint32_t grace_ms,
			   uint64_t now_ms, struct gang_action_sink out)
{
	if (coordinator->phase >= GANG_PHASE_STOPPING)
		return;
	coordinator->stop_requested = true;
	coordinator->checkpoint = checkpoint;
	coordinator->grace_ms = grace_ms;
	set_outcome(coordinator, PLACE_STOPPED, -1);
	if (coordinator->phase == GANG_PHASE_HOLDING)
		abort_hold(coordinator, PLACE_STOPPED, -1, out);
	else if (coordinator->phase != GANG_PHASE_GRANTING)
		stop_members(coordinator, now_ms, out);
}

void gang_coordinator_end_recorded(struct gang_coordinator *coordinator,
				   struct gang_action_sink out)
{
	if (coordinator->phase != GANG_PHASE_ENDED)
		return;
	coordinator->phase = GANG_PHASE_CLOSED;
	for (uint32_t i = 0; i < coordinator->members; i++)
		emit_action(out, GANG_SEND_RELEASE, i);
}

static void handle_timeout(struct gang_coordinator *coordinator, uint64_t now_ms,
			   struct gang_action_sink out)
{
	enum gang_seen answered =
		coordinator->phase == GANG_PHASE_HOLDING ? GANG_SEEN_HELD : GANG_SEEN_READY;
	int fault = -1;

	for (uint32_t i = 0; i < coordinator->members && fault < 0; i++) {
		if (coordinator->seen[i] < answered)
			fault = (int)i;
	}
	coordinator->deadline_ms = 0;
	switch (coordinator->phase) {
	case GANG_PHASE_HOLDING:
		abort_hold(coordinator, PLACE_HOLD_REFUSED, fault, out);
		break;
	case GANG_PHASE_STARTING:
		set_outcome(coordinator, PLACE_START_FAILED, fault);
		stop_members(coordinator, now_ms, out);
		break;
	case GANG_PHASE_FENCING:
		end_attempt(coordinator, out);
		break;
	default:
		break;
	}
}

static bool phase_resends(const struct gang_coordinator *coordinator)
{
	return coordinator->phase == GANG_PHASE_HOLDING ||
	       coordinator->phase == GANG_PHASE_STARTING ||
	       coordinator->phase == GANG_PHASE_STOPPING ||
	       (coordinator->phase == GANG_PHASE_FENCING &&
		any_seen(coordinator, GANG_SEEN_UNREACHABLE));
}

void gang_coordinator_tick(struct gang_coordinator *coordinator, uint64_t now_ms,
			   struct gang_action_sink out)
{
	if (coordinator->deadline_ms && now_ms >= coordinator->deadline_ms)
		handle_timeout(coordinator, now_ms, out);
	if (phase_resends(coordinator) && now_ms >= coordinator->resend_at_ms)
		send_phase_messages(coordinator, now_ms, out);
}

uint64_t gang_coordinator_due(const struct gang_coordinator *coordinator)
{
	uint64_t due = coordinator->deadline_ms ? coordinator->deadline_ms : UINT64_MAX;

	if (phase_resends(coordinator) && coordinator->resend_at_ms < due)
		due = coordinator->resend_at_ms;
	return due;
}

struct gang_result gang_coordinator_result(const struct gang_coordinator *coordinator)
{
	struct gang_result result = {
		.outcome = coordinator->outcome ? (enum place_outcome)(coordinator->outcome - 1)
						: PLACE_STOPPED,
		.fault = coordinator->fault,
		.may_have_run =
			coordinator->start_sent && !all_seen(coordinator, GANG_SEEN_UNSTARTED),
		.checkpointed = coordinator->checkpoint && all_seen(coordinator, GANG_SEEN_STOPPED),
		.certain = !any_seen(coordinator, GANG_SEEN_UNREACHABLE),
	};

	for (uint32_t i = 0; i < coordinator->members; i++) {
		result.checkpointed = result.checkpointed && coordinator->checkpointed[i];
		/* Any other state breaks the ring, which stops the unreachable members. */
		if (coordinator->seen[i] != GANG_SEEN_UNREACHABLE &&
		    coordinator->seen[i] != GANG_SEEN_DONE)
			result.certain = true;
	}
	return result;
}
