#include "gangagent_int.h"
#include "util.h"

#include <stdio.h>
#include <string.h>

static bool address_in_use(const struct gangagent *agent, const struct gang_record *except,
			   const char *address)
{
	for (const struct gang_record *record = agent->records; record; record = record->next) {
		for (uint32_t i = 0;
		     record != except && record->nodes && i < record->member.members; i++) {
			if (record->connected_members & (uint64_t)1 << i &&
			    !strcmp(record->addresses[i], address))
				return true;
		}
	}
	return false;
}

static void ring_label(char *label, size_t size, const char *address)
{
	snprintf(label, size, "ring@%s", address);
}

void gangring_disconnect(struct gang_record *record)
{
	char label[128];

	for (uint32_t i = 0; record->nodes && i < record->member.members; i++) {
		if (!(record->connected_members & (uint64_t)1 << i) ||
		    address_in_use(record->agent, record, record->addresses[i]))
			continue;
		ring_label(label, sizeof(label), record->addresses[i]);
		wire_disconnect(record->agent->wire, label);
	}
}

static void send_to_member(struct gang_record *record, uint32_t member, const struct msg *msg)
{
	struct gangagent *agent = record->agent;
	char label[128];

	if (!record->nodes || member >= record->member.members) {
		if (agent->ring_peer)
			wire_send(agent->wire, agent->ring_peer, msg);
		return;
	}
	if (!strcmp(record->nodes[member], agent->node)) {
		gangring_receive(agent, msg);
		return;
	}
	ring_label(label, sizeof(label), record->addresses[member]);
	if (wire_connect(agent->wire, label, record->addresses[member]))
		return;
	record->connected_members |= (uint64_t)1 << member;
	wire_send(agent->wire, label, msg);
}

void gangring_send_ping(struct gang_record *record, const struct gang_action *action)
{
	struct msg msg = {.type = MSG_GANG_PING};

	msg.u.gang_ping = (struct msg_gang_ping){
		.job = record->job,
		.attempt = record->member.attempt,
		.member = record->member.index,
		.closed = action->closed,
	};
	send_to_member(record, action->member, &msg);
}

void gangring_send_broken(struct gang_record *record, uint32_t member)
{
	struct msg msg = {.type = MSG_GANG_BROKEN};

	msg.u.gang_broken = (struct msg_gang_broken){
		.job = record->job,
		.attempt = record->member.attempt,
		.member = record->member.index,
	};
	send_to_member(record, member, &msg);
}

static void send_broken_reply(struct gangagent *agent, const struct msg_gang_ping *ping)
{
	struct msg msg = {.type = MSG_GANG_BROKEN};

	msg.u.gang_broken = (struct msg_gang_broken){
		.job = ping->job,
		.attempt = ping->attempt,
		.member = ping->member + 1,
	};
	if (agent->ring_peer)
		wire_send(agent->wire, agent->ring_peer, &msg);
}

static void receive_ping(struct gangagent *agent, const struct msg_gang_ping *ping)
{
	struct gang_record *receiver = NULL;

	for (struct gang_record *record = agent->records; record; record = record->next) {
		if (strcmp(record->job, ping->job) != 0 || record->member.attempt != ping->attempt)
			continue;
		/*
		 * The receiver is the successor of the sender. Before START the ring's size is
		 * unknown, so it is the member with the next index or else member 0.
		 */
		if (record->member.members
			    ? (ping->member + 1) % record->member.members == record->member.index
			    : (record->member.index == ping->member + 1 ||
			       record->member.index == 0))
			receiver = record;
		if (receiver == record && record->member.index == ping->member + 1)
			break;
	}
	if (receiver)
		gang_member_ping(&receiver->member, (uint32_t)ping->member, ping->closed,
				 util_clock_ms(), gangagent_action_queue(receiver));
	else
		send_broken_reply(agent, ping);
}

void gangring_receive(struct gangagent *agent, const struct msg *msg)
{
	const struct msg_gang_broken *broken = &msg->u.gang_broken;

	if (msg->type == MSG_GANG_PING) {
		receive_ping(agent, &msg->u.gang_ping);
		return;
	}
	for (struct gang_record *record = agent->records; record; record = record->next) {
		if (!strcmp(record->job, broken->job) && record->member.attempt == broken->attempt)
			gang_member_broken(&record->member, util_clock_ms(),
					   gangagent_action_queue(record));
	}
}
