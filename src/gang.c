#include "gang.h"

#include <string.h>

static void act(struct gang_out out, enum gang_action_kind kind, uint32_t member)
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
	return seen == GANG_SEEN_DEAD || seen == GANG_SEEN_SILENT;
}

static uint32_t count_seen(const struct gang_holder *h, bool (*match)(uint8_t seen))
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < h->members; i++)
		count += match(h->seen[i]);
	return count;
}

static bool all_seen(const struct gang_holder *h, enum gang_seen seen)
{
	for (uint32_t i = 0; i < h->members; i++) {
		if (h->seen[i] != seen)
			return false;
	}
	return true;
}

static bool any_seen(const struct gang_holder *h, enum gang_seen seen)
{
	for (uint32_t i = 0; i < h->members; i++) {
		if (h->seen[i] == seen)
			return true;
	}
	return false;
}

static void send_stop(const struct gang_holder *h, uint32_t member, struct gang_out out)
{
	struct gang_action action = {
		.kind = GANG_SEND_STOP,
		.member = member,
		.checkpoint = h->checkpoint,
		.grace_ms = h->grace_ms,
	};

	out.emit(&action, out.ctx);
}

/* Sends the message of the phase to each member that has not yet answered it. */
static void repeat(struct gang_holder *h, uint64_t now_ms, struct gang_out out)
{
	for (uint32_t i = 0; i < h->members; i++) {
		if (is_final(h->seen[i]))
			continue;
		if (h->phase == GANG_PHASE_HOLDING && h->seen[i] < GANG_SEEN_HELD)
			act(out, GANG_SEND_HOLD, i);
		else if (h->phase == GANG_PHASE_STARTING && h->seen[i] < GANG_SEEN_RUNNING)
			act(out, GANG_SEND_START, i);
		else if (h->phase == GANG_PHASE_STOPPING)
			send_stop(h, i, out);
	}
	h->repeat_ms = now_ms + GANG_REPEAT_MS;
}

static void decide(struct gang_holder *h, enum place_outcome outcome, int fault)
{
	if (h->outcome)
		return;
	h->outcome = (uint8_t)(outcome + 1);
	h->fault = fault;
}

/* A lost member's task may run, and a done member pings, until its predecessor is silent. */
static bool may_ping(uint8_t seen)
{
	return is_lost(seen) || seen == GANG_SEEN_DONE;
}

/* Longest run of neighbours in the ring that may still ping each other. */
static uint32_t longest_pinging_run(const struct gang_holder *h)
{
	uint32_t longest = 0;
	uint32_t run = 0;

	for (uint32_t i = 0; i < 2 * h->members; i++) {
		run = may_ping(h->seen[i % h->members]) ? run + 1 : 0;
		if (run > longest)
			longest = run;
	}
	return longest < h->members ? longest : h->members;
}

static void end(struct gang_holder *h, struct gang_out out)
{
	h->phase = GANG_PHASE_ENDED;
	h->deadline_ms = 0;
	act(out, GANG_ENDED, 0);
}

/*
 * All reachable members have no task. In a run of lost or done members the first one
 * misses its predecessor, stops, and is missed by the next: each costs one detection time. A frozen
 * agent's task ends with the worker's lease.
 */
static void fence(struct gang_holder *h, uint64_t now_ms, struct gang_out out)
{
	if (count_seen(h, is_lost) == 0) {
		end(h, out);
		return;
	}
	h->phase = GANG_PHASE_FENCING;
	h->deadline_ms = now_ms + (uint64_t)longest_pinging_run(h) * GANG_PREDECESSOR_MS +
			 GANG_LINGER_MS + GANG_PING_MS + GANG_LEASE_MS;
}

static void check_stopped(struct gang_holder *h, uint64_t now_ms, struct gang_out out)
{
	if (count_seen(h, is_final) == h->members)
		fence(h, now_ms, out);
}

static void stop_all(struct gang_holder *h, uint64_t now_ms, struct gang_out out)
{
	h->phase = GANG_PHASE_STOPPING;
	h->deadline_ms = 0;
	repeat(h, now_ms, out);
	check_stopped(h, now_ms, out);
}

/* Before the grant nothing has started, so the attempt ends at once. */
static void give_up_hold(struct gang_holder *h, enum place_outcome outcome, int fault,
			 struct gang_out out)
{
	decide(h, outcome, fault);
	end(h, out);
}

static void start_all(struct gang_holder *h, uint64_t now_ms, struct gang_out out)
{
	h->granted = true;
	if (h->stop_asked || h->outcome || count_seen(h, is_lost)) {
		stop_all(h, now_ms, out);
		return;
	}
	h->phase = GANG_PHASE_STARTING;
	h->start_sent = true;
	h->deadline_ms = now_ms + GANG_START_WAIT_MS;
	repeat(h, now_ms, out);
}

void gang_holder_begin(struct gang_holder *h, uint64_t epoch, uint64_t attempt, uint32_t members,
		       uint64_t now_ms, struct gang_out out)
{
	memset(h, 0, sizeof(*h));
	h->epoch = epoch;
	h->attempt = attempt;
	h->members = members;
	h->fault = -1;
	h->phase = GANG_PHASE_HOLDING;
	h->deadline_ms = now_ms + GANG_HOLD_WAIT_MS;
	repeat(h, now_ms, out);
}

void gang_holder_restore(struct gang_holder *h, uint64_t epoch, uint64_t attempt, uint32_t members,
			 bool running, uint64_t now_ms, struct gang_out out)
{
	memset(h, 0, sizeof(*h));
	h->epoch = epoch;
	h->attempt = attempt;
	h->members = members;
	h->fault = -1;
	h->start_sent = true; /* perhaps, by the former holder */
	start_all(h, now_ms, out);
	if (running)
		h->deadline_ms = 0;
}

void gang_holder_held(struct gang_holder *h, uint32_t member, uint64_t now_ms, struct gang_out out)
{
	if (member >= h->members || h->phase != GANG_PHASE_HOLDING)
		return;
	if (h->seen[member] < GANG_SEEN_HELD)
		h->seen[member] = GANG_SEEN_HELD;
	if (!all_seen(h, GANG_SEEN_HELD))
		return;
	h->phase = GANG_PHASE_GRANTING;
	h->deadline_ms = 0;
	act(out, GANG_WRITE_GRANT, 0);
}

void gang_holder_refused(struct gang_holder *h, uint32_t member, uint64_t now_ms,
			 struct gang_out out)
{
	if (member >= h->members || h->phase != GANG_PHASE_HOLDING)
		return;
	give_up_hold(h, PLACE_HOLD_REFUSED, (int)member, out);
}

void gang_holder_written(struct gang_holder *h, int status, uint64_t now_ms, struct gang_out out)
{
	if (h->phase != GANG_PHASE_GRANTING)
		return;
	if (status == 0)
		start_all(h, now_ms, out);
	else
		give_up_hold(h, h->stop_asked ? PLACE_STOPPED : PLACE_HOLD_REFUSED, -1, out);
}

static enum gang_seen seen_of(uint32_t state)
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

	if (state >= sizeof(seen) / sizeof(seen[0]))
		return GANG_SEEN_NOTHING;
	return seen[state];
}

static void decide_by_seen(struct gang_holder *h, uint32_t member)
{
	switch (h->seen[member]) {
	case GANG_SEEN_FAILED:
		decide(h, PLACE_JOB_FAILED, (int)member);
		break;
	case GANG_SEEN_UNSTARTED:
		decide(h, PLACE_START_FAILED, (int)member);
		break;
	case GANG_SEEN_DEAD:
	case GANG_SEEN_SILENT:
		decide(h, PLACE_WORKER_LOST, (int)member);
		break;
	case GANG_SEEN_BROKEN:
		/* The member at fault is another one, known when it is found lost. */
		decide(h, PLACE_WORKER_LOST, -1);
		break;
	default:
		decide(h, PLACE_STOPPED, -1);
		break;
	}
}

static void advance(struct gang_holder *h, uint32_t member, uint64_t now_ms, struct gang_out out)
{
	if (all_seen(h, GANG_SEEN_DONE)) {
		h->outcome = PLACE_DONE + 1;
		h->fault = -1;
		end(h, out);
		return;
	}
	if (h->phase == GANG_PHASE_STOPPING) {
		check_stopped(h, now_ms, out);
		return;
	}
	if (is_final(h->seen[member]) && h->seen[member] != GANG_SEEN_DONE) {
		decide_by_seen(h, member);
		stop_all(h, now_ms, out);
		return;
	}
	if (h->seen[member] == GANG_SEEN_RUNNING)
		h->deadline_ms = 0; /* the ring has closed; from now on it watches the gang */
	for (uint32_t i = 0; i < h->members; i++) {
		if (h->seen[i] != GANG_SEEN_RUNNING && h->seen[i] != GANG_SEEN_DONE)
			return;
	}
	if (h->phase == GANG_PHASE_STARTING) {
		h->phase = GANG_PHASE_RUNNING;
		h->deadline_ms = 0;
		act(out, GANG_RUNNING, 0);
	}
}

void gang_holder_status(struct gang_holder *h, uint32_t member, uint32_t state, bool checkpoint,
			uint64_t now_ms, struct gang_out out)
{
	enum gang_seen seen = seen_of(state);

	if (member >= h->members || seen == GANG_SEEN_NOTHING)
		return;
	if (h->phase < GANG_PHASE_STARTING || h->phase > GANG_PHASE_FENCING)
		return;
	/* A silent member that answers after all is known again; other finals stand. */
	if (is_final(h->seen[member]) && h->seen[member] != GANG_SEEN_SILENT)
		return;
	if (!is_final(seen) && (h->seen[member] >= seen || h->phase == GANG_PHASE_FENCING))
		return;
	h->seen[member] = seen;
	h->checkpointed[member] = checkpoint;
	if (h->fault < 0 && h->outcome == PLACE_WORKER_LOST + 1 && is_lost(seen))
		h->fault = (int)member;
	if (h->phase != GANG_PHASE_FENCING)
		advance(h, member, now_ms, out);
	else if (!count_seen(h, is_lost))
		end(h, out);
}

void gang_holder_lost(struct gang_holder *h, uint32_t member, bool dead, uint64_t now_ms,
		      struct gang_out out)
{
	if (member >= h->members || h->phase >= GANG_PHASE_FENCING)
		return;
	if (is_final(h->seen[member]))
		return;
	if (h->phase == GANG_PHASE_HOLDING) {
		give_up_hold(h, PLACE_HOLD_REFUSED, (int)member, out);
		return;
	}
	h->seen[member] = dead ? GANG_SEEN_DEAD : GANG_SEEN_SILENT;
	if (h->fault < 0 && h->outcome == PLACE_WORKER_LOST + 1)
		h->fault = (int)member;
	decide_by_seen(h, member);
	if (h->phase == GANG_PHASE_STOPPING)
		check_stopped(h, now_ms, out);
	else if (h->phase != GANG_PHASE_GRANTING)
		stop_all(h, now_ms, out);
}

void gang_holder_stop(struct gang_holder *h, bool checkpoint, uint32_t grace_ms, uint64_t now_ms,
		      struct gang_out out)
{
	if (h->phase >= GANG_PHASE_STOPPING)
		return;
	h->stop_asked = true;
	h->checkpoint = checkpoint;
	h->grace_ms = grace_ms;
	decide(h, PLACE_STOPPED, -1);
	if (h->phase == GANG_PHASE_HOLDING)
		give_up_hold(h, PLACE_STOPPED, -1, out);
	else if (h->phase != GANG_PHASE_GRANTING)
		stop_all(h, now_ms, out);
}

void gang_holder_recorded(struct gang_holder *h, struct gang_out out)
{
	if (h->phase != GANG_PHASE_ENDED)
		return;
	h->phase = GANG_PHASE_CLOSED;
	for (uint32_t i = 0; i < h->members; i++)
		act(out, GANG_SEND_RELEASE, i);
}

static void time_out(struct gang_holder *h, uint64_t now_ms, struct gang_out out)
{
	enum gang_seen answered = h->phase == GANG_PHASE_HOLDING ? GANG_SEEN_HELD : GANG_SEEN_READY;
	int fault = -1;

	for (uint32_t i = 0; i < h->members && fault < 0; i++) {
		if (h->seen[i] < answered)
			fault = (int)i;
	}
	h->deadline_ms = 0;
	switch (h->phase) {
	case GANG_PHASE_HOLDING:
		give_up_hold(h, PLACE_HOLD_REFUSED, fault, out);
		break;
	case GANG_PHASE_STARTING:
		decide(h, PLACE_START_FAILED, fault);
		stop_all(h, now_ms, out);
		break;
	case GANG_PHASE_FENCING:
		end(h, out);
		break;
	default:
		break;
	}
}

static bool repeats(const struct gang_holder *h)
{
	return h->phase == GANG_PHASE_HOLDING || h->phase == GANG_PHASE_STARTING ||
	       h->phase == GANG_PHASE_STOPPING;
}

void gang_holder_tick(struct gang_holder *h, uint64_t now_ms, struct gang_out out)
{
	if (h->deadline_ms && now_ms >= h->deadline_ms)
		time_out(h, now_ms, out);
	if (repeats(h) && now_ms >= h->repeat_ms)
		repeat(h, now_ms, out);
}

uint64_t gang_holder_due(const struct gang_holder *h)
{
	uint64_t due = h->deadline_ms ? h->deadline_ms : UINT64_MAX;

	if (repeats(h) && h->repeat_ms < due)
		due = h->repeat_ms;
	return due;
}

struct gang_result gang_holder_result(const struct gang_holder *h)
{
	struct gang_result result = {
		.outcome = h->outcome ? (enum place_outcome)(h->outcome - 1) : PLACE_STOPPED,
		.fault = h->fault,
		.may_have_run = h->start_sent && !all_seen(h, GANG_SEEN_UNSTARTED),
		.checkpointed = h->checkpoint && all_seen(h, GANG_SEEN_STOPPED),
		.certain = !any_seen(h, GANG_SEEN_SILENT),
	};

	for (uint32_t i = 0; i < h->members; i++) {
		result.checkpointed = result.checkpointed && h->checkpointed[i];
		/* Any other member breaks the ring, which stops the silent ones. */
		if (h->seen[i] != GANG_SEEN_SILENT && h->seen[i] != GANG_SEEN_DONE)
			result.certain = true;
	}
	return result;
}
