#ifndef JAYCOURSE_GANGAGENT_INT_H
#define JAYCOURSE_GANGAGENT_INT_H

#include "gang.h"
#include "gangagent.h"

/* Parts of the gangagent module; see gangagent.h. */

#define GANGAGENT_ACTIONS_MAX 512

/* One member of a gang that is held, runs or has ended here. */
struct gang_record {
	struct gangagent *g;
	struct gang_record *next;
	struct gang_member gang;
	char *job;
	char *task; /* id at the worker */
	char *holder;
	char *payload;
	const char **nodes; /* NULL before START */
	const char **addresses;
	uint64_t linked; /* members that a connection has been opened to */
	uint64_t mask;
	uint32_t cores;
	uint32_t memory_mb;
	bool checkpoint;
	char *reason;
	uint32_t usage_percent;
	uint64_t checkpoint_ms;
	uint64_t usage_sent_ms;
	uint64_t ended_ms;
	struct tevent_timer *lapse; /* the worker has left: its lease ends the task */
};

struct gang_queued {
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
	TALLOC_CTX *calls; /* contexts of calls to the present worker */
	bool accepting;
	uint64_t epoch; /* highest seen */
	struct gang_record *records;
	struct tevent_timer *timer;
	const char *ring_peer; /* sender of the ring message being handled */
	struct gang_queued queue[GANGAGENT_ACTIONS_MAX];
	size_t queue_head;
	size_t queue_count;
	bool running_queue;
};

/* gangagent.c */

struct gang_out gangagent_out(struct gang_record *record);

/** gangagent_run() - carry out the actions that the state machines have emitted */
void gangagent_run(struct gangagent *g);

struct gang_record *gangagent_find_task(struct gangagent *g, const char *task);
void gangagent_set_reason(struct gang_record *record, const char *reason);

/* gangtask.c: tasks at the worker */

void gangtask_start(struct gang_record *record);
void gangtask_stop(struct gang_record *record, const struct gang_action *action);

/** gangtask_wait_for_lapse() - the worker has left: its lease ends the task */
void gangtask_wait_for_lapse(struct gang_record *record);

/* gangring.c: messages between members */

void gangring_ping(struct gang_record *record, const struct gang_action *action);
void gangring_broken(struct gang_record *record, uint32_t member);

/** gangring_receive() - GANG_PING or GANG_BROKEN */
void gangring_receive(struct gangagent *g, const struct msg *msg);

/** gangring_drop_links() - close the connections that only this record uses */
void gangring_drop_links(struct gang_record *record);

#endif
