#include "lib_gangworld.h"

#include <string.h>

uint32_t world_members;
uint32_t world_attempts;
bool world_named_processes;
const char *world_violation;
struct world *world_now;
static int emitter_index; /* index of the coordinator or member whose actions are being emitted */

void world_report_violation(const char *text)
{
	if (!world_violation)
		world_violation = text;
}

static void add_packet(struct packet packet)
{
	uint32_t i = 0;

	while (i < world_now->in_flight_count &&
	       memcmp(&world_now->in_flight[i], &packet, sizeof(packet)) < 0)
		i++;
	if (i < world_now->in_flight_count &&
	    !memcmp(&world_now->in_flight[i], &packet, sizeof(packet)))
		return;
	if (world_now->in_flight_count == IN_FLIGHT_MAX) {
		world_report_violation("more messages in flight than the model holds");
		return;
	}
	memmove(&world_now->in_flight[i + 1], &world_now->in_flight[i],
		(world_now->in_flight_count - i) * sizeof(packet));
	world_now->in_flight[i] = packet;
	world_now->in_flight_count++;
}

void world_remove_packet(uint32_t i)
{
	world_now->in_flight_count--;
	memmove(&world_now->in_flight[i], &world_now->in_flight[i + 1],
		(world_now->in_flight_count - i) * sizeof(world_now->in_flight[0]));
	memset(&world_now->in_flight[world_now->in_flight_count], 0,
	       sizeof(world_now->in_flight[0]));
}

static uint8_t epoch_of(uint64_t attempt)
{
	return (uint8_t)(attempt >> GANG_ATTEMPT_BITS);
}

static uint8_t count_of(uint64_t attempt)
{
	return (uint8_t)(attempt & ((1U << GANG_ATTEMPT_BITS) - 1));
}

static struct packet make_packet(uint8_t kind, uint32_t coordinator_index, uint32_t member,
				 uint64_t attempt)
{
	struct packet packet = {
		.kind = kind,
		.coordinator = (uint8_t)coordinator_index,
		.member = (uint8_t)member,
		.epoch = epoch_of(attempt),
		.count = count_of(attempt),
	};

	return packet;
}

static uint64_t attempt_of(const struct packet *packet)
{
	return gang_attempt(packet->epoch, packet->count);
}

static void coordinator_emit(const struct gang_action *action, void *ctx)
{
	static const uint8_t kinds[] = {
		[GANG_SEND_HOLD] = HOLD,
		[GANG_SEND_START] = START,
		[GANG_SEND_RELEASE] = RELEASE,
		[GANG_SEND_STOP] = STOP,
	};
	struct coordinator *coordinator = ctx;
	struct packet packet;

	switch (action->kind) {
	case GANG_WRITE_GRANT:
		coordinator->write = WRITE_SENT;
		break;
	case GANG_ENDED:
		coordinator->end_unrecorded = 1;
		break;
	case GANG_RUNNING:
		break;
	default:
		packet = make_packet(kinds[action->kind], (uint32_t)emitter_index, action->member,
				     coordinator->gang.attempt);
		packet.arg = action->checkpoint;
		packet.process = world_now->agents[action->member].process;
		if (action->kind == GANG_SEND_STOP)
			world_now->stop_sent = 1;
		add_packet(packet);
		break;
	}
}

struct gang_action_sink world_coordinator_out(int coordinator_index)
{
	struct gang_action_sink out = {coordinator_emit,
				       &world_now->coordinators[coordinator_index]};

	emitter_index = coordinator_index;
	return out;
}

static void member_emit(const struct gang_action *action, void *ctx)
{
	struct agent *agent = ctx;
	struct packet packet =
		make_packet(0, agent->epoch - 1U, action->member, agent->gang.attempt);

	packet.from = (uint8_t)emitter_index;
	switch (action->kind) {
	case GANG_SEND_STATUS:
		packet.kind = STATUS;
		packet.member = (uint8_t)emitter_index;
		packet.from = 0;
		packet.arg = (uint8_t)action->status;
		packet.may_have_run = agent->gang.may_have_run;
		packet.process = agent->process;
		add_packet(packet);
		break;
	case GANG_SEND_PING:
	case GANG_SEND_BROKEN:
		packet.coordinator = 0;
		packet.kind = action->kind == GANG_SEND_PING ? PING : BROKEN;
		packet.arg = action->closed;
		add_packet(packet);
		break;
	case GANG_TASK_START:
		agent->task = TASK_STARTING;
		agent->task_epoch = epoch_of(agent->gang.attempt);
		agent->task_count = count_of(agent->gang.attempt);
		break;
	case GANG_TASK_STOP:
		agent->task = TASK_STOPPING;
		break;
	case GANG_DELETE_RECORD:
		agent->has_record = 0;
		break;
	default:
		break;
	}
}

static struct gang_action_sink member_out(int member)
{
	struct gang_action_sink out = {member_emit, &world_now->agents[member]};

	emitter_index = member;
	return out;
}

static void answer(const struct packet *to, uint8_t kind, uint8_t arg)
{
	struct packet packet = *to;

	packet.kind = kind;
	packet.arg = arg;
	packet.from = 0;
	packet.may_have_run = 0;
	add_packet(packet);
}

static void agent_hold(struct agent *agent, const struct packet *packet)
{
	struct gang_member *member = &agent->gang;
	uint64_t attempt = attempt_of(packet);

	if (agent->has_record && member->attempt == attempt) {
		answer(packet, member->phase == GANG_MEMBER_HELD ? HELD : REFUSED, 0);
		return;
	}
	if (agent->has_record && member->attempt < attempt && member->phase != GANG_MEMBER_ENDED)
		gang_member_supersede(member, world_now->now, member_out(packet->member));
	if (agent->has_record &&
	    (member->attempt > attempt || member->phase != GANG_MEMBER_ENDED)) {
		answer(packet, REFUSED, 0);
		return;
	}
	agent->has_record = 1;
	agent->task = agent->task == TASK_ORPHAN ? TASK_ORPHAN : TASK_NONE;
	gang_member_hold(member, packet->epoch, attempt, packet->member, GANG_HOLD_TTL_MS,
			 world_now->now);
	answer(packet, HELD, 0);
}

static void agent_start(struct agent *agent, const struct packet *packet)
{
	struct gang_member *member = &agent->gang;

	if (!agent->has_record || member->attempt != attempt_of(packet)) {
		answer(packet, STATUS, MSG_MEMBER_UNKNOWN);
		return;
	}
	gang_member_start(member, agent->epoch, world_members, world_now->now,
			  member_out(packet->member));
	if (member->phase == GANG_MEMBER_READY || member->phase == GANG_MEMBER_STARTING)
		world_now->start_received[packet->epoch][packet->count] |=
			(uint8_t)(1U << packet->member);
}

static void agent_ring(struct agent *agent, const struct packet *packet)
{
	struct packet reply = *packet;

	if (agent->has_record && agent->gang.attempt == attempt_of(packet)) {
		if (packet->kind == PING)
			gang_member_ping(&agent->gang, packet->from, packet->arg, world_now->now,
					 member_out(packet->member));
		else
			gang_member_broken(&agent->gang, world_now->now,
					   member_out(packet->member));
	} else if (packet->kind == PING) {
		reply.kind = BROKEN;
		reply.member = packet->from;
		reply.from = packet->member;
		reply.arg = 0;
		add_packet(reply);
	}
}

static void agent_receive(const struct packet *packet)
{
	struct agent *agent = &world_now->agents[packet->member];
	uint8_t epoch = (uint8_t)(packet->coordinator + 1);

	if (agent->down)
		return;
	if (packet->kind == PING || packet->kind == BROKEN) {
		agent_ring(agent, packet);
		return;
	}
	if (epoch < agent->epoch || packet->process != agent->process)
		return;
	agent->epoch = epoch;
	if (packet->kind == HOLD) {
		agent_hold(agent, packet);
	} else if (packet->kind == START) {
		agent_start(agent, packet);
	} else if (!agent->has_record || agent->gang.attempt != attempt_of(packet)) {
		if (packet->kind == STOP)
			answer(packet, STATUS, MSG_MEMBER_UNKNOWN);
	} else if (packet->kind == STOP) {
		gang_member_stop(&agent->gang, epoch, packet->arg, 0, world_now->now,
				 member_out(packet->member));
	} else {
		gang_member_release(&agent->gang, world_now->now, member_out(packet->member));
	}
}

/*
 * Handles a status of an attempt that the coordinator does not run: the attempt is over, or
 * another coordinator has granted it.
 */
static void handle_foreign_status(const struct packet *packet)
{
	if (world_now->current_coordinator != packet->coordinator ||
	    (world_now->granted_epoch == packet->epoch &&
	     world_now->granted_count == packet->count))
		return;
	if (packet->arg == MSG_MEMBER_STARTING || packet->arg == MSG_MEMBER_RUNNING)
		answer(packet, STOP, 0);
	else if (packet->arg != MSG_MEMBER_UNKNOWN)
		answer(packet, RELEASE, 0);
}

static void coordinator_receive(const struct packet *packet)
{
	struct coordinator *coordinator = &world_now->coordinators[packet->coordinator];
	struct gang_coordinator *gang = &coordinator->gang;
	struct gang_status status = {.state = packet->arg, .may_have_run = packet->may_have_run};

	if (!coordinator->alive)
		return;
	if (!coordinator->active || gang->attempt != attempt_of(packet)) {
		if (packet->kind == STATUS)
			handle_foreign_status(packet);
	} else if (packet->kind == HELD) {
		gang_coordinator_member_held(gang, packet->member, world_now->now,
					     world_coordinator_out(packet->coordinator));
	} else if (packet->kind == REFUSED) {
		gang_coordinator_member_refused(gang, packet->member, world_now->now,
						world_coordinator_out(packet->coordinator));
	} else {
		gang_coordinator_member_status(gang, packet->member, &status, world_now->now,
					       world_coordinator_out(packet->coordinator));
	}
}

void world_deliver(uint32_t i, bool keep)
{
	struct packet packet = world_now->in_flight[i];

	if (!keep)
		world_remove_packet(i);
	if (packet.kind == HELD || packet.kind == REFUSED || packet.kind == STATUS)
		coordinator_receive(&packet);
	else
		agent_receive(&packet);
}

bool world_is_ring_message(const struct packet *packet)
{
	return packet->kind == PING || packet->kind == BROKEN;
}

bool world_task_exists(const struct agent *agent)
{
	return agent->task >= TASK_STARTING && agent->task <= TASK_ORPHAN;
}

static bool task_runs(const struct agent *agent)
{
	return agent->task >= TASK_RUNNING && agent->task <= TASK_ORPHAN;
}

/* Returns true if some tasks of the gang run while others neither run nor are done. */
bool world_is_partial(void)
{
	uint32_t running = 0;
	uint32_t missing = 0;

	for (uint32_t i = 0; i < world_members; i++) {
		running += task_runs(&world_now->agents[i]);
		missing += !world_task_exists(&world_now->agents[i]) &&
			   world_now->agents[i].task != TASK_DONE;
	}
	return running && missing;
}

static uint32_t partial_bound_ticks(void)
{
	uint32_t ms = GANG_PREDECESSOR_TIMEOUT_MS + GANG_PING_INTERVAL_MS + TICK_MS;

	/* If a second agent dies while it stops its task, the task ends with its lease. */
	if (world_now->kills > 1)
		ms += LEASE_TICKS * TICK_MS;
	if (world_now->stop_sent)
		ms += GANG_LINGER_MS + GANG_PING_INTERVAL_MS;
	ms += world_now->ring_losses * (world_members - 1) * GANG_PREDECESSOR_TIMEOUT_MS;
	return ms / TICK_MS;
}

void world_check_invariants(void)
{
	for (uint32_t i = 0; i < world_members; i++) {
		const struct agent *agent = &world_now->agents[i];

		if (!world_task_exists(agent) || agent->task == TASK_ORPHAN)
			continue;
		if (!world_now->grant_written[agent->task_epoch][agent->task_count])
			world_report_violation("a task started without a grant");
		if (world_now->start_received[agent->task_epoch][agent->task_count] !=
		    (1U << world_members) - 1)
			world_report_violation("a task started before all members were ready");
		for (uint32_t j = 0; j < world_members; j++) {
			const struct agent *other = &world_now->agents[j];

			if (world_task_exists(other) && !world_now->overlap_allowed &&
			    (agent->task_epoch != other->task_epoch ||
			     agent->task_count != other->task_count))
				world_report_violation("two attempts run at the same time");
		}
	}
	if (world_now->partial_ticks > partial_bound_ticks())
		world_report_violation("a gang with a missing member ran for too long");
}

static void tick_agent(uint32_t i)
{
	struct agent *agent = &world_now->agents[i];

	if (agent->has_record)
		gang_member_tick(&agent->gang, world_now->now, member_out((int)i));
	if (agent->task == TASK_ORPHAN && agent->orphan_ticks-- == 1)
		agent->task = TASK_NONE;
}

void world_tick(void)
{
	world_now->partial_ticks = world_is_partial() ? world_now->partial_ticks + 1 : 0;
	world_now->now += TICK_MS;
	for (uint32_t i = 0; i < world_members; i++)
		tick_agent(i);
	for (int i = 0; i < COORDINATORS; i++) {
		if (world_now->coordinators[i].alive && world_now->coordinators[i].active)
			gang_coordinator_tick(&world_now->coordinators[i].gang, world_now->now,
					      world_coordinator_out(i));
	}
}

bool world_find_pending_task(uint32_t *member)
{
	for (uint32_t i = 0; i < world_members; i++) {
		*member = i;
		if (world_now->agents[i].task == TASK_STARTING ||
		    world_now->agents[i].task == TASK_STOPPING)
			return true;
	}
	return false;
}

void world_answer_task(uint32_t i, bool ok)
{
	struct agent *agent = &world_now->agents[i];

	if (agent->task == TASK_STARTING) {
		agent->task = ok ? TASK_RUNNING : TASK_NONE;
		world_now->task_has_run[agent->task_epoch][agent->task_count] |= ok;
		gang_member_task_started(&agent->gang, ok, world_now->now, member_out((int)i));
	} else {
		agent->task = TASK_NONE;
		gang_member_task_stopped(&agent->gang, world_now->now, member_out((int)i));
	}
}

/* The worker runs the task, but its answers are lost until the task has been stopped. */
void world_run_without_answer(uint32_t i)
{
	struct agent *agent = &world_now->agents[i];

	agent->task = TASK_NONE;
	world_now->task_has_run[agent->task_epoch][agent->task_count] = 1;
	gang_member_start_unanswered(&agent->gang, world_now->now, member_out((int)i));
}

void world_apply_grant(struct coordinator *coordinator)
{
	world_now->granted_epoch = epoch_of(coordinator->gang.attempt);
	world_now->granted_count = count_of(coordinator->gang.attempt);
	world_now->grant_written[world_now->granted_epoch][world_now->granted_count] = 1;
}

/* The store checks the epoch of the grant, so a former coordinator's write has no effect. */
void world_answer_write(int i, bool available)
{
	struct coordinator *coordinator = &world_now->coordinators[i];
	int status = available ? -ERR_CONFLICT : -ERR_UNAVAILABLE;

	if (available && world_now->current_coordinator == i) {
		world_apply_grant(coordinator);
		status = 0;
	}
	coordinator->write = WRITE_NONE;
	gang_coordinator_grant_written(&coordinator->gang, status, world_now->now,
				       world_coordinator_out(i));
}

void world_record_end(int i)
{
	struct coordinator *coordinator = &world_now->coordinators[i];
	struct gang_result result = gang_coordinator_result(&coordinator->gang);

	coordinator->end_unrecorded = 0;
	coordinator->active = 0;
	if (world_now->current_coordinator != i) {
		coordinator->alive = 0; /* the write fails, as another coordinator has taken over */
		return;
	}
	if (!result.certain)
		world_now->overlap_allowed = 1;
	if (!result.may_have_run && world_now->task_has_run[epoch_of(coordinator->gang.attempt)]
							   [count_of(coordinator->gang.attempt)])
		world_report_violation("an attempt that has run counts as never started");
	world_now->granted_count = 0;
	if (result.outcome == PLACE_DONE || result.outcome == PLACE_JOB_FAILED)
		world_now->job_ended = 1;
	gang_coordinator_end_recorded(&coordinator->gang, world_coordinator_out(i));
}

void world_take_over(void)
{
	struct coordinator *coordinator = &world_now->coordinators[1];

	world_now->current_coordinator = 1;
	coordinator->alive = 1;
	if (!world_now->granted_count)
		return;
	coordinator->active = 1;
	gang_coordinator_restore(&coordinator->gang, 2,
				 gang_attempt(world_now->granted_epoch, world_now->granted_count),
				 world_members, false, world_now->now, world_coordinator_out(1));
}

void world_begin_attempt(int i)
{
	struct coordinator *coordinator = &world_now->coordinators[i];

	world_now->attempt_count++;
	coordinator->active = 1;
	gang_coordinator_begin(&coordinator->gang, (uint64_t)i + 1,
			       gang_attempt((uint64_t)i + 1, world_now->attempt_count),
			       world_members, world_now->now, world_coordinator_out(i));
}

bool world_may_begin_attempt(int i)
{
	return world_now->coordinators[i].alive && !world_now->coordinators[i].active &&
	       world_now->current_coordinator == i && !world_now->granted_count &&
	       !world_now->job_ended && world_now->attempt_count < world_attempts;
}

void world_kill_agent(uint32_t i)
{
	struct agent *agent = &world_now->agents[i];

	if (world_task_exists(agent) && agent->task != TASK_ORPHAN) {
		world_now->task_has_run[agent->task_epoch][agent->task_count] = 1;
		agent->task = TASK_ORPHAN;
		agent->orphan_ticks = LEASE_TICKS;
	} else if (agent->task == TASK_DONE) {
		agent->task = TASK_NONE;
	}
	agent->has_record = 0;
	agent->epoch = 0;
	agent->death_unreported = 1;
	agent->down = 1;
	agent->process += world_named_processes;
	world_now->kills++;
	memset(&agent->gang, 0, sizeof(agent->gang));
}

bool world_coordinator_active(int i)
{
	return world_now->coordinators[i].alive && world_now->coordinators[i].active;
}

void world_finish_task(uint32_t i, uint32_t state)
{
	struct agent *agent = &world_now->agents[i];

	agent->task = state == MSG_MEMBER_DONE ? TASK_DONE : TASK_NONE;
	gang_member_task_ended(&agent->gang, state, world_now->now, member_out((int)i));
}
