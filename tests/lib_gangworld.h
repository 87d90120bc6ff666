#ifndef LIB_GANGWORLD_H
#define LIB_GANGWORLD_H

#include "gang.h"

/*
 * Model of one job's gang with its agents, coordinators, network and store, for the model
 * explorer. The state machines are those of gang.c and gangmember.c. The code around them is
 * modelled: the agent after gangagent.c, the coordinator's controller after jobs.c.
 */

#define MEMBERS 3
#define COORDINATORS 2
#define ATTEMPTS 2
#define IN_FLIGHT_MAX 32
#define TICK_MS 1000
#define LEASE_TICKS 3

enum packet_kind {
	HOLD = 1,
	HELD,
	REFUSED,
	START,
	STATUS,
	RELEASE,
	STOP,
	PING,
	BROKEN,
};

/*
 * The messages in flight form a set: equal ones are kept once. A duplicate is modelled as a
 * delivery that leaves the message in the set.
 */
struct packet {
	uint8_t kind;
	uint8_t coordinator; /* coordinator that sends or receives the message */
	uint8_t member;	     /* member that receives the message or has sent the answer */
	uint8_t from;	     /* member that has sent PING or BROKEN */
	uint8_t arg;	     /* state, closed or checkpoint, depending on kind */
	uint8_t epoch;
	uint8_t count;
	uint8_t may_have_run; /* of STATUS */
	uint8_t process;      /* of the agent that receives the message or has sent the answer */
};

enum write_state {
	WRITE_NONE,
	WRITE_SENT,
	WRITE_LOST, /* the answer is lost; the write may still take effect */
};

enum task {
	TASK_NONE,
	TASK_STARTING,
	TASK_RUNNING,
	TASK_STOPPING,
	TASK_ORPHAN, /* its agent has died; it ends when its lease expires */
	TASK_DONE,
};

struct coordinator {
	struct gang_coordinator gang;
	uint8_t alive;
	uint8_t active; /* an attempt is in progress */
	uint8_t write;
	uint8_t end_unrecorded;
	uint8_t count;
};

struct agent {
	struct gang_member gang;
	uint8_t has_record; /* the agent has a record of the member */
	uint8_t epoch;
	uint8_t task;
	uint8_t task_epoch;
	uint8_t task_count;
	uint8_t orphan_ticks;
	uint8_t death_unreported; /* the agent has died and the coordinator has not been told */
	uint8_t down;		  /* the agent has not been restarted */
	uint8_t process;	  /* grows when the agent dies */
};

struct world {
	uint64_t now;
	struct coordinator coordinators[COORDINATORS];
	struct agent agents[MEMBERS];
	struct packet in_flight[IN_FLIGHT_MAX];
	uint8_t in_flight_count;
	uint8_t current_coordinator; /* index of the one whose writes to the store succeed */
	uint8_t granted_epoch;
	uint8_t granted_count; /* 0: no attempt is granted */
	uint8_t attempt_count; /* attempts made */
	uint8_t job_ended;     /* the job is recorded as done or failed */
	uint8_t faults;	       /* faults that may still be injected */
	/* Bits of the members that have received START, by epoch and count of the attempt. */
	uint8_t start_received[COORDINATORS + 1][ATTEMPTS + 1];
	uint8_t grant_written[COORDINATORS + 1][ATTEMPTS + 1]; /* the grant is in the store */
	uint8_t task_has_run[COORDINATORS + 1][ATTEMPTS + 1];
	uint8_t overlap_allowed; /* attempts may overlap, because gang_result.certain was false */
	uint8_t stop_sent;	 /* a STOP has been sent */
	uint8_t kills;
	uint8_t ring_losses;
	uint8_t partial_ticks; /* for how long the gang has run without one of its tasks */
	uint8_t finishing;     /* a task is done, so others may end as done at no fault */
};

extern uint32_t world_members;
extern uint32_t world_attempts;
/*
 * Messages of coordinators reach only the process that they were sent to, as those of wire.h do.
 * Otherwise they may reach a later process of the agent.
 */
extern bool world_named_processes;
extern const char *world_violation; /* first violated invariant, or NULL */
extern struct world *world_now;	    /* state that all functions below read and change */

void world_deliver(uint32_t i, bool keep);
bool world_is_ring_message(const struct packet *packet);
bool world_task_exists(const struct agent *agent);
bool world_is_partial(void);
void world_check_invariants(void);
void world_tick(void);
bool world_find_pending_task(uint32_t *member);
void world_answer_task(uint32_t i, bool ok);
void world_run_without_answer(uint32_t i);
void world_apply_grant(struct coordinator *coordinator);
void world_answer_write(int i, bool available);
void world_record_end(int i);
void world_take_over(void);
void world_begin_attempt(int i);
bool world_may_begin_attempt(int i);
void world_kill_agent(uint32_t i);
bool world_coordinator_active(int i);
void world_finish_task(uint32_t i, uint32_t state);
struct gang_action_sink world_coordinator_out(int coordinator_index);
void world_report_violation(const char *text);
void world_remove_packet(uint32_t i);

#endif
