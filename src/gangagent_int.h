#ifndef JAYCOURSE_GANGAGENT_INT_H
#define JAYCOURSE_GANGAGENT_INT_H

#include "gang.h"
#include "gangagent.h"

/* Declarations shared by the files of the gangagent module; see gangagent.h. */

#define GANGAGENT_ACTIONS_MAX 512

/* One gang member on this agent; kept for a while after its end. */
struct gang_record {
	struct gangagent *agent;
	struct gang_record *next;
	struct gang_member member;
	char *job;
	char *task; /* task id at the worker */
	char *coordinator;
	char *payload;
	const char **nodes; /* NULL before START */
	const char **addresses;
	uint64_t connected_members; /* bit i: a connection to member i has been opened */
	uint64_t accelerator_mask;
	uint32_t cores;
	uint32_t memory_mb;
	bool checkpoint;
	char *reason;
	uint32_t usage_percent;
	uint64_t checkpoint_ms;
	uint64_t usage_sent_ms;
	uint64_t ended_ms;
	struct tevent_timer *lease_timer; /* end of the task's lease after its worker has left */
};

struct gang_queued_action {
	struct gang_record *record;
	struct gang_action action;
};

struct gangagent {
	struct tevent_context *ev;
	struct wire *wire;
	struct slots *slots;
	struct metrics *metrics;
	char *node;
	struct worker *worker;
	TALLOC_CTX *worker_calls; /* owns the struct task_call of calls to @worker */
	bool accepting;
	uint64_t highest_epoch; /* of all messages from coordinators */
	struct gang_record *records;
	struct tevent_timer *timer;
	const char *ring_peer; /* sender of the ring message being handled, or NULL */
	struct gang_queued_action queue[GANGAGENT_ACTIONS_MAX];
	size_t queue_head;
	size_t queue_count;
	bool running_actions;
};

/* gangagent.c */

/** gangagent_action_queue() - callback that queues the actions of the record's state machine */
struct gang_action_sink gangagent_action_queue(struct gang_record *record);

/** gangagent_run_actions() - execute the queued actions of the state machines */
void gangagent_run_actions(struct gangagent *agent);

struct gang_record *gangagent_find_task(struct gangagent *agent, const char *task);
void gangagent_set_reason(struct gang_record *record, const char *reason);

/* gangtask.c: tasks at the worker */

void gangtask_start(struct gang_record *record);
void gangtask_stop(struct gang_record *record, const struct gang_action *action);

/** gangtask_wait_for_lease_expiry() - end the member once its task's lease must have expired */
void gangtask_wait_for_lease_expiry(struct gang_record *record);

/* gangring.c: messages between members */

void gangring_send_ping(struct gang_record *record, const struct gang_action *action);
void gangring_send_broken(struct gang_record *record, uint32_t member);

/** gangring_receive() - handle GANG_PING or GANG_BROKEN */
void gangring_receive(struct gangagent *agent, const struct msg *msg);

/** gangring_disconnect() - close connections that no other record uses */
void gangring_disconnect(struct gang_record *record);

#endif
