#ifndef JAYCOURSE_GANG_H
#define JAYCOURSE_GANG_H

#include "msg.h"
#include "place.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Gang protocol
 *
 * Pure state machines of one attempt of a gang: the holder's side and one member's side.
 * Events and the time come in as calls, actions go out through a callback, which must not
 * call back into the machine. The structs are plain data without pointers, so that the
 * model explorer can copy, compare and hash them; users touch only the fields marked as
 * readable.
 *
 * Attempts. An attempt number is gang_attempt(epoch, count): it grows over all holders, so a
 * late answer to a former holder can never be taken for one of the present attempt.
 *
 * Start. A member starts its task only after a token has gone round the ring of members twice:
 * a member passes the first token on (GANG_PING, closed = 0) when it has START and the token,
 * so member 0 knows on its return that all members have START; the second (closed = 1) starts
 * the tasks. START follows only a written grant.
 *
 * What an observer can see, with messages delivered within GANG_PING_MS:
 * - part of the tasks started: in normal running the time of one round of messages; when a
 *   member or a message is lost during that round, until the ring breaks, at most
 *   GANG_PREDECESSOR_MS + GANG_PING_MS (4 s);
 * - a gang with a dead member: at most 4 s when GANG_BROKEN arrives. Each lost GANG_BROKEN
 *   costs at most GANG_PREDECESSOR_MS for each following member of the ring. A further agent
 *   that dies while it stops its task leaves the task to the worker's lease (3 s);
 * - a gang stopped in part, after a STOP that some members missed: at most GANG_LINGER_MS
 *   more than that, so that a repeated STOP (and its checkpoint) comes before the ring breaks;
 * - accelerators held without a task: hold TTL + GANG_RING_MS.
 *
 * Two attempts of a job. The holder ends an attempt only when each member has confirmed that
 * it has no task, or is lost and the time has passed in which the ring and the worker's lease
 * stop its task. So two attempts never run at the same time, with one exception: when each
 * member is out of reach or done, and no agent is known to have died, nothing breaks the ring.
 * gang_result.certain is then false, and the gang may go on beyond the partition, since
 * running gangs need no holder. Only work that may run twice is started again then.
 */

#define GANG_REPEAT_MS 500	 /* HOLD, START and STOP are repeated this often */
#define GANG_HOLD_TTL_MS 5000	 /* a member's hold expires after this */
#define GANG_HOLD_WAIT_MS 2000	 /* the holder gives up holding after this */
#define GANG_START_WAIT_MS 10000 /* the holder gives up starting when no member runs */
#define GANG_RING_MS 2000	 /* a member never starts when the ring is not closed by then */
#define GANG_RING_REPEAT_MS 200	 /* tokens are repeated this often until the ring is closed */
#define GANG_PING_MS 1000
#define GANG_PREDECESSOR_MS 3000 /* silence of the predecessor that breaks the ring */
#define GANG_LINGER_MS 3000	 /* a stopped member still pings, so that STOP reaches the rest */
#define GANG_STATUS_MS 2000	 /* a final status is repeated this often until RELEASE */
#define GANG_LEASE_MS 4000	 /* worker lease of 3 s and a margin for clock steps */
#define GANG_ATTEMPT_BITS 16

/** gang_attempt() - attempt number of the @count-th attempt, made under @epoch */
static inline uint64_t gang_attempt(uint64_t epoch, uint32_t count)
{
	return epoch << GANG_ATTEMPT_BITS | (count & ((1U << GANG_ATTEMPT_BITS) - 1));
}

/** gang_attempt_count() - the count of an attempt number, as shown to callers */
static inline uint32_t gang_attempt_count(uint64_t attempt)
{
	return (uint32_t)(attempt & ((1U << GANG_ATTEMPT_BITS) - 1));
}

enum gang_action_kind {
	/* Of the holder. */
	GANG_SEND_HOLD = 1, /* to member @member */
	GANG_SEND_START,
	GANG_SEND_RELEASE,
	GANG_SEND_STOP,	  /* with @checkpoint and @grace_ms */
	GANG_WRITE_GRANT, /* answer with gang_holder_written() */
	GANG_RUNNING,	  /* all members run */
	GANG_ENDED,	  /* see gang_holder_result(); record it, then gang_holder_recorded() */
	/* Of a member. */
	GANG_SEND_STATUS, /* state @status to the holder */
	GANG_SEND_PING,	  /* to member @member with @closed */
	GANG_SEND_BROKEN, /* to member @member */
	GANG_TASK_START,  /* answer with gang_member_task_started() */
	GANG_TASK_STOP,	  /* with @checkpoint and @grace_ms; answer with ..._task_stopped() */
	GANG_FREE,	  /* give accelerators, cores and memory back */
	GANG_FORGET,	  /* the record is not needed any more */
};

struct gang_action {
	enum gang_action_kind kind;
	uint32_t member;
	uint32_t status; /* enum msg_member_state */
	uint32_t grace_ms;
	bool checkpoint;
	bool closed;
};

/* Called for each action in order; must not call back into the machine. */
struct gang_out {
	void (*emit)(const struct gang_action *action, void *ctx);
	void *ctx;
};

/* What the holder knows of one member. */
enum gang_seen {
	GANG_SEEN_NOTHING = 0,
	GANG_SEEN_HELD,
	GANG_SEEN_READY,     /* has START */
	GANG_SEEN_RUNNING,   /* its task runs */
	GANG_SEEN_UNSTARTED, /* from here on final: its task never started and never will */
	GANG_SEEN_STOPPED,
	GANG_SEEN_DONE,
	GANG_SEEN_FAILED,
	GANG_SEEN_BROKEN, /* stopped because the ring broke */
	GANG_SEEN_DEAD,	  /* its agent has died; the worker's lease stops the task */
	GANG_SEEN_SILENT, /* its agent is out of reach */
};

enum gang_phase {
	GANG_PHASE_HOLDING = 1,
	GANG_PHASE_GRANTING,
	GANG_PHASE_STARTING,
	GANG_PHASE_RUNNING,
	GANG_PHASE_STOPPING,
	GANG_PHASE_FENCING, /* a lost member's task may still run */
	GANG_PHASE_ENDED,
	GANG_PHASE_CLOSED, /* recorded and released */
};

/**
 * struct gang_result - how an attempt ended
 * @outcome: for place_ended()
 * @fault: member at fault, or -1
 * @may_have_run: false only when no task of the attempt has ever started
 * @checkpointed: all members stopped as asked, after a checkpoint
 * @certain: false when the members may still be running out of reach
 */
struct gang_result {
	enum place_outcome outcome;
	int fault;
	bool may_have_run;
	bool checkpointed;
	bool certain;
};

struct gang_holder {
	uint64_t epoch;	  /* readable */
	uint64_t attempt; /* readable */
	uint64_t repeat_ms;
	uint64_t deadline_ms;  /* of the phase; 0: none */
	enum gang_phase phase; /* readable */
	uint32_t members;      /* readable */
	uint32_t grace_ms;
	int fault;
	uint8_t outcome; /* decided outcome + 1; 0 while none */
	bool checkpoint;
	bool granted; /* the grant is written */
	bool start_sent;
	bool stop_asked;
	uint8_t seen[PLACE_MEMBERS_MAX];	 /* readable; enum gang_seen */
	uint8_t checkpointed[PLACE_MEMBERS_MAX]; /* a checkpoint came with the STOPPED */
};

/** gang_holder_begin() - start an attempt: HOLD goes to all members */
void gang_holder_begin(struct gang_holder *h, uint64_t epoch, uint64_t attempt, uint32_t members,
		       uint64_t now_ms, struct gang_out out);

/** gang_holder_restore() - take over an attempt whose grant was read: START goes to all */
void gang_holder_restore(struct gang_holder *h, uint64_t epoch, uint64_t attempt, uint32_t members,
			 bool running, uint64_t now_ms, struct gang_out out);

void gang_holder_held(struct gang_holder *h, uint32_t member, uint64_t now_ms, struct gang_out out);

void gang_holder_refused(struct gang_holder *h, uint32_t member, uint64_t now_ms,
			 struct gang_out out);

/**
 * gang_holder_written() - outcome of GANG_WRITE_GRANT, once it is known
 * @status: 0: written; otherwise certainly not written and never will be
 */
void gang_holder_written(struct gang_holder *h, int status, uint64_t now_ms, struct gang_out out);

/** gang_holder_status() - @state is an enum msg_member_state */
void gang_holder_status(struct gang_holder *h, uint32_t member, uint32_t state, bool checkpoint,
			uint64_t now_ms, struct gang_out out);

/** gang_holder_lost() - a member's agent is gone; @dead: its process is known to have ended */
void gang_holder_lost(struct gang_holder *h, uint32_t member, bool dead, uint64_t now_ms,
		      struct gang_out out);

/** gang_holder_stop() - stop the attempt (eviction or cancellation) */
void gang_holder_stop(struct gang_holder *h, bool checkpoint, uint32_t grace_ms, uint64_t now_ms,
		      struct gang_out out);

/** gang_holder_recorded() - the end is recorded: members may forget the attempt */
void gang_holder_recorded(struct gang_holder *h, struct gang_out out);

/** gang_holder_tick() - do what is due at @now_ms */
void gang_holder_tick(struct gang_holder *h, uint64_t now_ms, struct gang_out out);

/** gang_holder_due() - when gang_holder_tick() is due next; UINT64_MAX: never */
uint64_t gang_holder_due(const struct gang_holder *h);

struct gang_result gang_holder_result(const struct gang_holder *h);

enum gang_member_phase {
	GANG_MEMBER_HELD = 1,
	GANG_MEMBER_READY,    /* has START, the ring is not closed */
	GANG_MEMBER_STARTING, /* the worker was told to start the task */
	GANG_MEMBER_RUNNING,
	GANG_MEMBER_STOPPING, /* the worker was told to stop the task */
	GANG_MEMBER_ENDED,    /* nothing runs or is held here */
};

struct gang_member {
	uint64_t epoch;		      /* readable */
	uint64_t attempt;	      /* readable */
	uint64_t deadline_ms;	      /* end of the hold, or of the wait for the ring */
	uint64_t predecessor_ms;      /* last sign of the predecessor */
	uint64_t ping_ms;	      /* next ping; 0: none */
	uint64_t linger_ms;	      /* last time for pings; 0: no limit */
	uint64_t status_ms;	      /* next repetition of the final status; 0: none */
	enum gang_member_phase phase; /* readable */
	uint32_t index;		      /* readable */
	uint32_t members;	      /* 0 before START */
	uint32_t final;		      /* enum msg_member_state once ended or stopping */
	uint32_t grace_ms;
	bool checkpoint;
	bool token;  /* the first token has arrived */
	bool closed; /* the ring is closed: all members were ready */
	bool stop;   /* stop as soon as the start is answered */
};

/** gang_member_hold() - the member's accelerators have been taken */
void gang_member_hold(struct gang_member *m, uint64_t epoch, uint64_t attempt, uint32_t index,
		      uint32_t ttl_ms, uint64_t now_ms);

/**
 * gang_member_start() - START of the same attempt
 *
 * A repeated START is answered with the state at once, the first one when the task has started
 * or will not start.
 *
 * The caller has compared the epoch with the highest it has seen and found the record of the
 * same attempt.
 */
void gang_member_start(struct gang_member *m, uint64_t epoch, uint32_t members, uint64_t now_ms,
		       struct gang_out out);

/** gang_member_ping() - GANG_PING of the same attempt from member @from */
void gang_member_ping(struct gang_member *m, uint32_t from, bool closed, uint64_t now_ms,
		      struct gang_out out);

/** gang_member_broken() - GANG_BROKEN of the same attempt */
void gang_member_broken(struct gang_member *m, uint64_t now_ms, struct gang_out out);

/** gang_member_stop() - STOP of the same attempt; always answered with the state */
void gang_member_stop(struct gang_member *m, uint64_t epoch, bool checkpoint, uint32_t grace_ms,
		      uint64_t now_ms, struct gang_out out);

/** gang_member_supersede() - a later attempt of the job exists: stop this one */
void gang_member_supersede(struct gang_member *m, uint64_t now_ms, struct gang_out out);

/** gang_member_release() - RELEASE of the same attempt */
void gang_member_release(struct gang_member *m, uint64_t now_ms, struct gang_out out);

/** gang_member_task_started() - answer to GANG_TASK_START */
void gang_member_task_started(struct gang_member *m, bool runs, uint64_t now_ms,
			      struct gang_out out);

/** gang_member_task_ended() - the task ended by itself; @state: done, failed or lost */
void gang_member_task_ended(struct gang_member *m, uint32_t state, uint64_t now_ms,
			    struct gang_out out);

/** gang_member_task_stopped() - answer to GANG_TASK_STOP */
void gang_member_task_stopped(struct gang_member *m, uint64_t now_ms, struct gang_out out);

void gang_member_tick(struct gang_member *m, uint64_t now_ms, struct gang_out out);

/** gang_member_due() - when gang_member_tick() is due next; UINT64_MAX: never */
uint64_t gang_member_due(const struct gang_member *m);

#endif
