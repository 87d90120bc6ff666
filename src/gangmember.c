#include "gang.h"

#include <string.h>

static void act(struct gang_out out, enum gang_action_kind kind)
{
	struct gang_action action = {.kind = kind};

	out.emit(&action, out.ctx);
}

/* State that the holder is told. */
static uint32_t state_of(const struct gang_member *m)
{
	switch (m->phase) {
	case GANG_MEMBER_ENDED:
		return m->final;
	case GANG_MEMBER_RUNNING:
	case GANG_MEMBER_STOPPING:
		return MSG_MEMBER_RUNNING;
	default:
		return MSG_MEMBER_STARTING;
	}
}

static void tell(const struct gang_member *m, struct gang_out out)
{
	struct gang_action action = {.kind = GANG_SEND_STATUS, .status = state_of(m)};

	out.emit(&action, out.ctx);
}

static void ping(const struct gang_member *m, struct gang_out out)
{
	struct gang_action action = {.kind = GANG_SEND_PING, .closed = m->closed};

	if (m->members < 2)
		return;
	action.member = (m->index + 1) % m->members;
	out.emit(&action, out.ctx);
}

static void tell_broken(const struct gang_member *m, struct gang_out out)
{
	struct gang_action action = {.kind = GANG_SEND_BROKEN};

	for (uint32_t i = 0; i < m->members; i++) {
		action.member = i;
		if (i != m->index)
			out.emit(&action, out.ctx);
	}
}

static void end(struct gang_member *m, uint32_t final, uint64_t now_ms, struct gang_out out)
{
	m->phase = GANG_MEMBER_ENDED;
	m->final = final;
	m->status_ms = now_ms + GANG_STATUS_MS;
	act(out, GANG_FREE);
	tell(m, out);
}

static void stop_task(struct gang_member *m, struct gang_out out)
{
	struct gang_action action = {
		.kind = GANG_TASK_STOP,
		.checkpoint = m->checkpoint,
		.grace_ms = m->grace_ms,
	};

	m->phase = GANG_MEMBER_STOPPING;
	out.emit(&action, out.ctx);
}

/* Ends the member's part with @final, through the worker if it may have the task. */
static void leave(struct gang_member *m, uint32_t final, uint64_t now_ms, struct gang_out out)
{
	switch (m->phase) {
	case GANG_MEMBER_HELD:
	case GANG_MEMBER_READY:
		m->ping_ms = 0;
		end(m, MSG_MEMBER_START_FAILED, now_ms, out);
		break;
	case GANG_MEMBER_STARTING:
		m->final = m->stop ? m->final : final;
		m->stop = true;
		break;
	case GANG_MEMBER_RUNNING:
		m->final = final;
		stop_task(m, out);
		break;
	default:
		break;
	}
}

static void break_ring(struct gang_member *m, uint64_t now_ms, struct gang_out out)
{
	m->ping_ms = 0;
	tell_broken(m, out);
	leave(m, MSG_MEMBER_LOST, now_ms, out);
}

void gang_member_hold(struct gang_member *m, uint64_t epoch, uint64_t attempt, uint32_t index,
		      uint32_t ttl_ms, uint64_t now_ms)
{
	memset(m, 0, sizeof(*m));
	m->epoch = epoch;
	m->attempt = attempt;
	m->index = index;
	m->phase = GANG_MEMBER_HELD;
	m->deadline_ms = now_ms + ttl_ms;
}

/* All members are ready: the task may start, and the second token goes on. */
static void close_ring(struct gang_member *m, uint64_t now_ms, struct gang_out out)
{
	m->closed = true;
	m->phase = GANG_MEMBER_STARTING;
	m->deadline_ms = 0;
	m->predecessor_ms = now_ms;
	m->ping_ms = now_ms + GANG_RING_REPEAT_MS;
	act(out, GANG_TASK_START);
	ping(m, out);
}

static void pass_token(struct gang_member *m, uint64_t now_ms, struct gang_out out)
{
	m->ping_ms = now_ms + GANG_RING_REPEAT_MS;
	ping(m, out);
}

void gang_member_start(struct gang_member *m, uint64_t epoch, uint32_t members, uint64_t now_ms,
		       struct gang_out out)
{
	m->epoch = epoch;
	if (m->phase == GANG_MEMBER_HELD && now_ms >= m->deadline_ms) {
		end(m, MSG_MEMBER_START_FAILED, now_ms, out);
		return;
	}
	if (m->phase == GANG_MEMBER_HELD) {
		m->phase = GANG_MEMBER_READY;
		m->members = members;
		m->deadline_ms = now_ms + GANG_RING_MS;
		if (members == 1)
			close_ring(m, now_ms, out);
		else if (m->index == 0 || m->token)
			pass_token(m, now_ms, out);
		return; /* the task's start or the end of the wait is told */
	}
	tell(m, out);
}

static void answer_broken(uint32_t to, struct gang_out out)
{
	struct gang_action action = {.kind = GANG_SEND_BROKEN, .member = to};

	out.emit(&action, out.ctx);
}

static void take_token(struct gang_member *m, bool closed, uint64_t now_ms, struct gang_out out)
{
	bool first = !m->token;

	m->token = true;
	if (m->phase != GANG_MEMBER_READY)
		return;
	if (closed || m->index == 0)
		close_ring(m, now_ms, out);
	else if (first)
		pass_token(m, now_ms, out);
}

void gang_member_ping(struct gang_member *m, uint32_t from, bool closed, uint64_t now_ms,
		      struct gang_out out)
{
	/* START may still be under way here: then only the token is noted. */
	if (m->members && (from + 1) % m->members != m->index)
		return;
	if (m->phase >= GANG_MEMBER_STOPPING && !m->ping_ms) {
		answer_broken(from, out);
		return;
	}
	m->predecessor_ms = now_ms;
	if (m->phase <= GANG_MEMBER_READY)
		take_token(m, closed, now_ms, out);
}

void gang_member_broken(struct gang_member *m, uint64_t now_ms, struct gang_out out)
{
	/* A stop that was asked for is not cut short, nor is its checkpoint. */
	if (m->phase == GANG_MEMBER_STOPPING)
		return;
	m->ping_ms = 0;
	leave(m, MSG_MEMBER_LOST, now_ms, out);
}

void gang_member_stop(struct gang_member *m, uint64_t epoch, bool checkpoint, uint32_t grace_ms,
		      uint64_t now_ms, struct gang_out out)
{
	m->epoch = epoch;
	if (m->phase < GANG_MEMBER_STOPPING && !m->stop) {
		m->checkpoint = checkpoint;
		m->grace_ms = grace_ms;
		m->linger_ms = now_ms + GANG_LINGER_MS;
		leave(m, MSG_MEMBER_STOPPED, now_ms, out);
		return;
	}
	if (!m->linger_ms)
		m->linger_ms = now_ms + GANG_LINGER_MS;
	tell(m, out);
}

void gang_member_supersede(struct gang_member *m, uint64_t now_ms, struct gang_out out)
{
	if (m->phase < GANG_MEMBER_STOPPING)
		break_ring(m, now_ms, out);
}

void gang_member_release(struct gang_member *m, uint64_t now_ms, struct gang_out out)
{
	if (m->phase == GANG_MEMBER_HELD)
		end(m, MSG_MEMBER_START_FAILED, now_ms, out);
	/* A ready or running attempt has been granted and is never released. */
	if (m->phase == GANG_MEMBER_ENDED) {
		m->status_ms = 0;
		m->ping_ms = 0;
		act(out, GANG_FORGET);
	}
}

void gang_member_task_started(struct gang_member *m, bool runs, uint64_t now_ms,
			      struct gang_out out)
{
	if (m->phase != GANG_MEMBER_STARTING)
		return;
	if (!runs) {
		m->ping_ms = 0;
		tell_broken(m, out);
		end(m, MSG_MEMBER_START_FAILED, now_ms, out);
		return;
	}
	m->phase = GANG_MEMBER_RUNNING;
	if (m->stop)
		stop_task(m, out);
	else
		tell(m, out);
}

void gang_member_task_ended(struct gang_member *m, uint32_t state, uint64_t now_ms,
			    struct gang_out out)
{
	if (m->phase != GANG_MEMBER_RUNNING && m->phase != GANG_MEMBER_STOPPING)
		return;
	/* A member that is done stays in the ring, since the others may still need time. */
	if (state != MSG_MEMBER_DONE) {
		m->ping_ms = 0;
		tell_broken(m, out);
	}
	end(m, state, now_ms, out);
}

void gang_member_task_stopped(struct gang_member *m, uint64_t now_ms, struct gang_out out)
{
	if (m->phase == GANG_MEMBER_STOPPING)
		end(m, m->final, now_ms, out);
}

static bool watches(const struct gang_member *m)
{
	if (m->members < 2 || m->stop)
		return false;
	/* A done member must not hide from the others that its predecessor is gone. */
	if (m->phase == GANG_MEMBER_ENDED)
		return m->final == MSG_MEMBER_DONE && m->ping_ms;
	return m->phase == GANG_MEMBER_STARTING || m->phase == GANG_MEMBER_RUNNING;
}

static void tick_ping(struct gang_member *m, uint64_t now_ms, struct gang_out out)
{
	if (!m->ping_ms || now_ms < m->ping_ms)
		return;
	if (m->linger_ms && now_ms >= m->linger_ms) {
		m->ping_ms = 0;
		return;
	}
	ping(m, out);
	m->ping_ms = now_ms + (m->phase < GANG_MEMBER_RUNNING ? GANG_RING_REPEAT_MS : GANG_PING_MS);
}

static bool waits(const struct gang_member *m)
{
	return m->phase == GANG_MEMBER_HELD || m->phase == GANG_MEMBER_READY;
}

void gang_member_tick(struct gang_member *m, uint64_t now_ms, struct gang_out out)
{
	if (m->phase == GANG_MEMBER_HELD && now_ms >= m->deadline_ms)
		end(m, MSG_MEMBER_START_FAILED, now_ms, out);
	else if ((m->phase == GANG_MEMBER_READY && now_ms >= m->deadline_ms) ||
		 (watches(m) && now_ms >= m->predecessor_ms + GANG_PREDECESSOR_MS))
		break_ring(m, now_ms, out);
	tick_ping(m, now_ms, out);
	if (m->status_ms && now_ms >= m->status_ms) {
		tell(m, out);
		m->status_ms = now_ms + GANG_STATUS_MS;
	}
}

uint64_t gang_member_due(const struct gang_member *m)
{
	uint64_t due = UINT64_MAX;

	if (waits(m))
		due = m->deadline_ms;
	if (watches(m))
		due = m->predecessor_ms + GANG_PREDECESSOR_MS;
	if (m->ping_ms && m->ping_ms < due)
		due = m->ping_ms;
	if (m->status_ms && m->status_ms < due)
		due = m->status_ms;
	return due;
}
