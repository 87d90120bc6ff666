#include "lib_gangworld.h"

#include <string.h>

uint32_t world_members;
uint32_t world_attempts;
const char *world_violation;
struct world *world_now; /* world that the machines act on */
static int acting;	 /* holder or member whose actions are being emitted */

void world_violate(const char *text)
{
	if (!world_violation)
		world_violation = text;
}

static void net_add(struct packet p)
{
	uint32_t i = 0;

	while (i < world_now->net_count && memcmp(&world_now->net[i], &p, sizeof(p)) < 0)
		i++;
	if (i < world_now->net_count && !memcmp(&world_now->net[i], &p, sizeof(p)))
		return;
	if (world_now->net_count == NET_MAX) {
		world_violate("more messages in flight than the model holds");
		return;
	}
	memmove(&world_now->net[i + 1], &world_now->net[i], (world_now->net_count - i) * sizeof(p));
	world_now->net[i] = p;
	world_now->net_count++;
}

void world_net_remove(uint32_t i)
{
	world_now->net_count--;
	memmove(&world_now->net[i], &world_now->net[i + 1],
		(world_now->net_count - i) * sizeof(world_now->net[0]));
	memset(&world_now->net[world_now->net_count], 0, sizeof(world_now->net[0]));
}

static uint8_t epoch_of(uint64_t attempt)
{
	return (uint8_t)(attempt >> GANG_ATTEMPT_BITS);
}

static uint8_t count_of(uint64_t attempt)
{
	return (uint8_t)(attempt & ((1U << GANG_ATTEMPT_BITS) - 1));
}

static struct packet packet(uint8_t kind, uint32_t holder, uint32_t member, uint64_t attempt)
{
	struct packet p = {
		.kind = kind,
		.holder = (uint8_t)holder,
		.member = (uint8_t)member,
		.epoch = epoch_of(attempt),
		.count = count_of(attempt),
	};

	return p;
}

static uint64_t attempt_of(const struct packet *p)
{
	return gang_attempt(p->epoch, p->count);
}

static void holder_emit(const struct gang_action *a, void *ctx)
{
	static const uint8_t kinds[] = {
		[GANG_SEND_HOLD] = HOLD,
		[GANG_SEND_START] = START,
		[GANG_SEND_RELEASE] = RELEASE,
		[GANG_SEND_STOP] = STOP,
	};
	struct side *side = ctx;
	struct packet p;

	switch (a->kind) {
	case GANG_WRITE_GRANT:
		side->write = WRITE_SENT;
		break;
	case GANG_ENDED:
		side->ended = 1;
		break;
	case GANG_RUNNING:
		break;
	default:
		p = packet(kinds[a->kind], (uint32_t)acting, a->member, side->gang.attempt);
		p.arg = a->checkpoint;
		if (a->kind == GANG_SEND_STOP)
			world_now->stops = 1;
		net_add(p);
		break;
	}
}

struct gang_out world_holder_out(int holder)
{
	struct gang_out out = {holder_emit, &world_now->side[holder]};

	acting = holder;
	return out;
}

static void member_emit(const struct gang_action *a, void *ctx)
{
	struct agent *agent = ctx;
	struct packet p = packet(0, agent->epoch - 1U, a->member, agent->gang.attempt);

	p.from = (uint8_t)acting;
	switch (a->kind) {
	case GANG_SEND_STATUS:
		p.kind = STATUS;
		p.member = (uint8_t)acting;
		p.from = 0;
		p.arg = (uint8_t)a->status;
		net_add(p);
		break;
	case GANG_SEND_PING:
	case GANG_SEND_BROKEN:
		p.holder = 0;
		p.kind = a->kind == GANG_SEND_PING ? PING : BROKEN;
		p.arg = a->closed;
		net_add(p);
		break;
	case GANG_TASK_START:
		agent->task = TASK_STARTING;
		agent->task_epoch = epoch_of(agent->gang.attempt);
		agent->task_count = count_of(agent->gang.attempt);
		break;
	case GANG_TASK_STOP:
		agent->task = TASK_STOPS;
		break;
	case GANG_DELETE_RECORD:
		agent->known = 0;
		break;
	default:
		break;
	}
}

static struct gang_out member_out(int member)
{
	struct gang_out out = {member_emit, &world_now->agent[member]};

	acting = member;
	return out;
}

static void answer(const struct packet *to, uint8_t kind, uint8_t arg)
{
	struct packet p = *to;

	p.kind = kind;
	p.arg = arg;
	p.from = 0;
	net_add(p);
}

static void agent_hold(struct agent *agent, const struct packet *p)
{
	struct gang_member *m = &agent->gang;
	uint64_t attempt = attempt_of(p);

	if (agent->known && m->attempt == attempt) {
		answer(p, m->phase == GANG_MEMBER_HELD ? HELD : REFUSED, 0);
		return;
	}
	if (agent->known && m->attempt < attempt && m->phase != GANG_MEMBER_ENDED)
		gang_member_supersede(m, world_now->now, member_out(p->member));
	if (agent->known && (m->attempt > attempt || m->phase != GANG_MEMBER_ENDED)) {
		answer(p, REFUSED, 0);
		return;
	}
	agent->known = 1;
	agent->task = agent->task == TASK_ORPHAN ? TASK_ORPHAN : TASK_NONE;
	gang_member_hold(m, p->epoch, attempt, p->member, GANG_HOLD_TTL_MS, world_now->now);
	answer(p, HELD, 0);
}

static void agent_start(struct agent *agent, const struct packet *p)
{
	struct gang_member *m = &agent->gang;

	if (!agent->known || m->attempt != attempt_of(p)) {
		answer(p, STATUS, MSG_MEMBER_UNKNOWN);
		return;
	}
	gang_member_start(m, agent->epoch, world_members, world_now->now, member_out(p->member));
	if (m->phase == GANG_MEMBER_READY || m->phase == GANG_MEMBER_STARTING)
		world_now->ready[p->epoch][p->count] |= (uint8_t)(1U << p->member);
}

static void agent_ring(struct agent *agent, const struct packet *p)
{
	struct packet reply = *p;

	if (agent->known && agent->gang.attempt == attempt_of(p)) {
		if (p->kind == PING)
			gang_member_ping(&agent->gang, p->from, p->arg, world_now->now,
					 member_out(p->member));
		else
			gang_member_broken(&agent->gang, world_now->now, member_out(p->member));
	} else if (p->kind == PING) {
		reply.kind = BROKEN;
		reply.member = p->from;
		reply.from = p->member;
		reply.arg = 0;
		net_add(reply);
	}
}

static void agent_receive(const struct packet *p)
{
	struct agent *agent = &world_now->agent[p->member];
	uint8_t epoch = (uint8_t)(p->holder + 1);

	if (agent->down)
		return;
	if (p->kind == PING || p->kind == BROKEN) {
		agent_ring(agent, p);
		return;
	}
	if (epoch < agent->epoch)
		return;
	agent->epoch = epoch;
	if (p->kind == HOLD) {
		agent_hold(agent, p);
	} else if (p->kind == START) {
		agent_start(agent, p);
	} else if (!agent->known || agent->gang.attempt != attempt_of(p)) {
		if (p->kind == STOP)
			answer(p, STATUS, MSG_MEMBER_UNKNOWN);
	} else if (p->kind == STOP) {
		gang_member_stop(&agent->gang, epoch, p->arg, 0, world_now->now,
				 member_out(p->member));
	} else {
		gang_member_release(&agent->gang, world_now->now, member_out(p->member));
	}
}

/* A status of an attempt that is not this holder's: over, or granted by another holder. */
static void holder_stray(const struct packet *p)
{
	if (world_now->owner != p->holder ||
	    (world_now->granted_epoch == p->epoch && world_now->granted_count == p->count))
		return;
	if (p->arg == MSG_MEMBER_STARTING || p->arg == MSG_MEMBER_RUNNING)
		answer(p, STOP, 0);
	else if (p->arg != MSG_MEMBER_UNKNOWN)
		answer(p, RELEASE, 0);
}

static void holder_receive(const struct packet *p)
{
	struct side *side = &world_now->side[p->holder];
	struct gang_holder *h = &side->gang;

	if (!side->alive)
		return;
	if (!side->active || h->attempt != attempt_of(p)) {
		if (p->kind == STATUS)
			holder_stray(p);
	} else if (p->kind == HELD) {
		gang_holder_held(h, p->member, world_now->now, world_holder_out(p->holder));
	} else if (p->kind == REFUSED) {
		gang_holder_refused(h, p->member, world_now->now, world_holder_out(p->holder));
	} else {
		gang_holder_status(h, p->member, p->arg, false, world_now->now,
				   world_holder_out(p->holder));
	}
}

void world_deliver(uint32_t i, bool keep)
{
	struct packet p = world_now->net[i];

	if (!keep)
		world_net_remove(i);
	if (p.kind == HELD || p.kind == REFUSED || p.kind == STATUS)
		holder_receive(&p);
	else
		agent_receive(&p);
}

bool world_ring_message(const struct packet *p)
{
	return p->kind == PING || p->kind == BROKEN;
}

bool world_task_live(const struct agent *agent)
{
	return agent->task >= TASK_STARTING && agent->task <= TASK_ORPHAN;
}

static bool task_runs(const struct agent *agent)
{
	return agent->task >= TASK_RUNS && agent->task <= TASK_ORPHAN;
}

/* Some tasks of the gang run and others neither run nor are done. */
bool world_partial(void)
{
	uint32_t running = 0;
	uint32_t missing = 0;

	for (uint32_t i = 0; i < world_members; i++) {
		running += task_runs(&world_now->agent[i]);
		missing += !world_task_live(&world_now->agent[i]) &&
			   world_now->agent[i].task != TASK_DONE;
	}
	return running && missing;
}

static uint32_t partial_bound_ticks(void)
{
	uint32_t ms = GANG_PREDECESSOR_TIMEOUT_MS + GANG_PING_MS + TICK_MS;

	/* A second agent that dies while it stops its task leaves the task to the lease. */
	if (world_now->kills > 1)
		ms += LEASE_TICKS * TICK_MS;
	if (world_now->stops)
		ms += GANG_LINGER_MS + GANG_PING_MS;
	ms += world_now->ring_losses * (world_members - 1) * GANG_PREDECESSOR_TIMEOUT_MS;
	return ms / TICK_MS;
}

void world_check(void)
{
	for (uint32_t i = 0; i < world_members; i++) {
		const struct agent *a = &world_now->agent[i];

		if (!world_task_live(a) || a->task == TASK_ORPHAN)
			continue;
		if (!world_now->written[a->task_epoch][a->task_count])
			world_violate("a task started without a grant");
		if (world_now->ready[a->task_epoch][a->task_count] != (1U << world_members) - 1)
			world_violate("a task started before all members were ready");
		for (uint32_t j = 0; j < world_members; j++) {
			const struct agent *b = &world_now->agent[j];

			if (world_task_live(b) && !world_now->excused &&
			    (a->task_epoch != b->task_epoch || a->task_count != b->task_count))
				world_violate("two attempts run at the same time");
		}
	}
	if (world_now->partial_ticks > partial_bound_ticks())
		world_violate("a gang with a missing member ran for too long");
}

static void tick_agent(uint32_t i)
{
	struct agent *agent = &world_now->agent[i];

	if (agent->known)
		gang_member_tick(&agent->gang, world_now->now, member_out((int)i));
	if (agent->task == TASK_ORPHAN && agent->orphan_ticks-- == 1)
		agent->task = TASK_NONE;
}

void world_tick(void)
{
	world_now->partial_ticks = world_partial() ? world_now->partial_ticks + 1 : 0;
	world_now->now += TICK_MS;
	for (uint32_t i = 0; i < world_members; i++)
		tick_agent(i);
	for (int i = 0; i < HOLDERS; i++) {
		if (world_now->side[i].alive && world_now->side[i].active)
			gang_holder_tick(&world_now->side[i].gang, world_now->now,
					 world_holder_out(i));
	}
}

bool world_task_waits(uint32_t *member)
{
	for (uint32_t i = 0; i < world_members; i++) {
		*member = i;
		if (world_now->agent[i].task == TASK_STARTING ||
		    world_now->agent[i].task == TASK_STOPS)
			return true;
	}
	return false;
}

void world_task_answer(uint32_t i, bool ok)
{
	struct agent *agent = &world_now->agent[i];

	if (agent->task == TASK_STARTING) {
		agent->task = ok ? TASK_RUNS : TASK_NONE;
		gang_member_task_started(&agent->gang, ok, world_now->now, member_out((int)i));
	} else {
		agent->task = TASK_NONE;
		gang_member_task_stopped(&agent->gang, world_now->now, member_out((int)i));
	}
}

void world_apply_grant(struct side *side)
{
	world_now->granted_epoch = epoch_of(side->gang.attempt);
	world_now->granted_count = count_of(side->gang.attempt);
	world_now->written[world_now->granted_epoch][world_now->granted_count] = 1;
}

/* The grant write is guarded by the epoch: a former holder's write has no effect. */
void world_write_answer(int i, bool available)
{
	struct side *side = &world_now->side[i];
	int status = available ? -ERR_CONFLICT : -ERR_UNAVAILABLE;

	if (available && world_now->owner == i) {
		world_apply_grant(side);
		status = 0;
	}
	side->write = WRITE_NONE;
	gang_holder_written(&side->gang, status, world_now->now, world_holder_out(i));
}

void world_record_end(int i)
{
	struct side *side = &world_now->side[i];
	struct gang_result result = gang_holder_result(&side->gang);

	side->ended = 0;
	side->active = 0;
	if (world_now->owner != i) {
		side->alive = 0; /* it learns that it has lost the duty */
		return;
	}
	if (!result.certain)
		world_now->excused = 1;
	world_now->granted_count = 0;
	if (result.outcome == PLACE_DONE || result.outcome == PLACE_JOB_FAILED)
		world_now->over = 1;
	gang_holder_recorded(&side->gang, world_holder_out(i));
}

void world_take_over(void)
{
	struct side *side = &world_now->side[1];

	world_now->owner = 1;
	side->alive = 1;
	if (!world_now->granted_count)
		return;
	side->active = 1;
	gang_holder_restore(&side->gang, 2,
			    gang_attempt(world_now->granted_epoch, world_now->granted_count),
			    world_members, false, world_now->now, world_holder_out(1));
}

void world_begin(int i)
{
	struct side *side = &world_now->side[i];

	world_now->count++;
	side->active = 1;
	gang_holder_begin(&side->gang, (uint64_t)i + 1,
			  gang_attempt((uint64_t)i + 1, world_now->count), world_members,
			  world_now->now, world_holder_out(i));
}

bool world_may_begin(int i)
{
	return world_now->side[i].alive && !world_now->side[i].active && world_now->owner == i &&
	       !world_now->granted_count && !world_now->over && world_now->count < world_attempts;
}

void world_kill_agent(uint32_t i)
{
	struct agent *agent = &world_now->agent[i];

	if (world_task_live(agent) && agent->task != TASK_ORPHAN) {
		agent->task = TASK_ORPHAN;
		agent->orphan_ticks = LEASE_TICKS;
	} else if (agent->task == TASK_DONE) {
		agent->task = TASK_NONE;
	}
	agent->known = 0;
	agent->epoch = 0;
	agent->died = 1;
	agent->down = 1;
	world_now->kills++;
	memset(&agent->gang, 0, sizeof(agent->gang));
}

bool world_holder_sees(int i)
{
	return world_now->side[i].alive && world_now->side[i].active;
}

void world_finish_task(uint32_t i, uint32_t state)
{
	struct agent *agent = &world_now->agent[i];

	agent->task = state == MSG_MEMBER_DONE ? TASK_DONE : TASK_NONE;
	gang_member_task_ended(&agent->gang, state, world_now->now, member_out((int)i));
}
