#include "gangagent_int.h"
#include "util.h"

#include <stdio.h>
#include <string.h>

static bool address_in_use(const struct gangagent *g, const struct gang_record *except,
			   const char *address)
{
	for (const struct gang_record *r = g->records; r; r = r->next) {
		for (uint32_t i = 0; r != except && r->nodes && i < r->gang.members; i++) {
			if (r->linked & (uint64_t)1 << i && !strcmp(r->addresses[i], address))
				return true;
		}
	}
	return false;
}

static void ring_label(char *label, size_t size, const char *address)
{
	snprintf(label, size, "ring@%s", address);
}

void gangring_drop_links(struct gang_record *r)
{
	char label[128];

	for (uint32_t i = 0; r->nodes && i < r->gang.members; i++) {
		if (!(r->linked & (uint64_t)1 << i) || address_in_use(r->g, r, r->addresses[i]))
			continue;
		ring_label(label, sizeof(label), r->addresses[i]);
		wire_disconnect(r->g->wire, label);
	}
}

static void send_ring(struct gang_record *r, uint32_t member, const struct msg *msg)
{
	struct gangagent *g = r->g;
	char label[128];

	if (!r->nodes || member >= r->gang.members) {
		if (g->ring_peer)
			wire_send(g->wire, g->ring_peer, msg);
		return;
	}
	if (!strcmp(r->nodes[member], g->node)) {
		gangring_receive(g, msg);
		return;
	}
	ring_label(label, sizeof(label), r->addresses[member]);
	if (wire_connect(g->wire, label, r->addresses[member]))
		return;
	r->linked |= (uint64_t)1 << member;
	wire_send(g->wire, label, msg);
}

void gangring_ping(struct gang_record *r, const struct gang_action *action)
{
	struct msg msg = {.type = MSG_GANG_PING};

	msg.u.gang_ping = (struct msg_gang_ping){
		.job = r->job,
		.attempt = r->gang.attempt,
		.member = r->gang.index,
		.closed = action->closed,
	};
	send_ring(r, action->member, &msg);
}

void gangring_broken(struct gang_record *r, uint32_t member)
{
	struct msg msg = {.type = MSG_GANG_BROKEN};

	msg.u.gang_broken = (struct msg_gang_broken){
		.job = r->job,
		.attempt = r->gang.attempt,
		.member = r->gang.index,
	};
	send_ring(r, member, &msg);
}

static void answer_broken(struct gangagent *g, const struct msg_gang_ping *ping)
{
	struct msg msg = {.type = MSG_GANG_BROKEN};

	msg.u.gang_broken = (struct msg_gang_broken){
		.job = ping->job,
		.attempt = ping->attempt,
		.member = ping->member + 1,
	};
	if (g->ring_peer)
		wire_send(g->wire, g->ring_peer, &msg);
}

static void receive_ping(struct gangagent *g, const struct msg_gang_ping *ping)
{
	struct gang_record *before = NULL;

	for (struct gang_record *r = g->records; r; r = r->next) {
		if (strcmp(r->job, ping->job) != 0 || r->gang.attempt != ping->attempt)
			continue;
		/* Before START the size of the ring is unknown: the next index is meant, or 0. */
		if (r->gang.members ? (ping->member + 1) % r->gang.members == r->gang.index
				    : (r->gang.index == ping->member + 1 || r->gang.index == 0))
			before = r;
		if (before == r && r->gang.index == ping->member + 1)
			break;
	}
	if (before)
		gang_member_ping(&before->gang, (uint32_t)ping->member, ping->closed,
				 util_clock_ms(), gangagent_out(before));
	else
		answer_broken(g, ping);
}

void gangring_receive(struct gangagent *g, const struct msg *msg)
{
	const struct msg_gang_broken *broken = &msg->u.gang_broken;

	if (msg->type == MSG_GANG_PING) {
		receive_ping(g, &msg->u.gang_ping);
		return;
	}
	for (struct gang_record *r = g->records; r; r = r->next) {
		if (!strcmp(r->job, broken->job) && r->gang.attempt == broken->attempt)
			gang_member_broken(&r->gang, util_clock_ms(), gangagent_out(r));
	}
}
