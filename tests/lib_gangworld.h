#ifndef LIB_GANGWORLD_H
#define LIB_GANGWORLD_H

#include "gang.h"

/*
 * One job's gang with its agents, holders, network and store, for the model explorer. The
 * machines are those of gang.c and gangmember.c. Agents and the holder's controller around
 * them are modelled as gangagent.c and jobs.c behave.
 */

#define MEMBERS 3
#define HOLDERS 2
#define ATTEMPTS 2
#define NET_MAX 32
#define TICK_MS 1000
#define LEASE_TICKS 3

enum kind {
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

/* Messages are sets: equal ones in flight count once, a duplicate is a second delivery. */
struct packet {
	uint8_t kind;
	uint8_t holder; /* sender or receiver on the holder's side */
	uint8_t member; /* receiver, or sender of an answer */
	uint8_t from;	/* of PING and BROKEN */
	uint8_t arg;	/* state, closed or checkpoint */
	uint8_t epoch;
	uint8_t count;
	uint8_t unused;
};

enum write_state {
	WRITE_NONE,
	WRITE_SENT,
	WRITE_LOST, /* the answer is lost; whether it took effect is still open */
};

enum task {
	TASK_NONE,
	TASK_STARTING,
	TASK_RUNS,
	TASK_STOPS,
	TASK_ORPHAN, /* its agent has died; the worker's lease ends it */
	TASK_DONE,
};

struct side {
	struct gang_holder gang;
	uint8_t alive;
	uint8_t active; /* the gang is in use */
	uint8_t write;
	uint8_t ended;
	uint8_t count;
};

struct agent {
	struct gang_member gang;
	uint8_t known; /* has a record */
	uint8_t epoch;
	uint8_t task;
	uint8_t task_epoch;
	uint8_t task_count;
	uint8_t orphan_ticks;
	uint8_t died; /* and the holder does not know it */
	uint8_t down; /* not restarted yet */
};

struct world {
	uint64_t now;
	struct side side[HOLDERS];
	struct agent agent[MEMBERS];
	struct packet net[NET_MAX];
	uint8_t net_count;
	uint8_t owner; /* holder whose writes succeed */
	uint8_t granted_epoch;
	uint8_t granted_count; /* 0: the job waits */
	uint8_t count;	       /* attempts made */
	uint8_t over;	       /* the job is recorded as done or failed */
	uint8_t faults;
	uint8_t ready[HOLDERS + 1][ATTEMPTS + 1]; /* members that had START, by attempt */
	uint8_t written[HOLDERS + 1][ATTEMPTS + 1];
	uint8_t excused; /* two attempts may overlap: certain was false */
	uint8_t stops;
	uint8_t kills;
	uint8_t ring_losses;
	uint8_t partial_ticks;
	uint8_t finishing;
};

extern uint32_t world_members;
extern uint32_t world_attempts;
extern const char *world_violation; /* first violated invariant, or NULL */
extern struct world *world_now;	    /* world that the functions below act on */

void world_deliver(uint32_t i, bool keep);
bool world_ring_message(const struct packet *p);
bool world_task_live(const struct agent *agent);
bool world_partial(void);
void world_check(void);
void world_tick(void);
bool world_task_waits(uint32_t *member);
void world_task_answer(uint32_t i, bool ok);
void world_apply_grant(struct side *side);
void world_write_answer(int i, bool available);
void world_record_end(int i);
void world_take_over(void);
void world_begin(int i);
bool world_may_begin(int i);
void world_kill_agent(uint32_t i);
bool world_holder_sees(int i);
void world_finish_task(uint32_t i, uint32_t state);
struct gang_out world_holder_out(int holder);
void world_violate(const char *text);
void world_net_remove(uint32_t i);

#endif
