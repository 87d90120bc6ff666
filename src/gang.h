#ifndef JAYCOURSE_GANG_H
#define JAYCOURSE_GANG_H

#include "msg.h"
#include "place.h"
#include "worker.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Gang protocol
 *
 * State machines for one attempt to run a gang: the coordinator, which runs on the entry that
 * leads placement, and one machine for each member, which runs on the member's agent. They do
 * no I/O: events and the time are passed in as calls, and actions are passed out through a
 * callback, which must not call back into the machine. The structs are plain data without
 * pointers, so that the model explorer can copy, compare and hash them; callers read only the
 * fields marked as readable and write none.
 *
 * Attempts. An attempt number is gang_attempt(epoch, count). The epoch grows with each change
 * of the coordinator, so attempt numbers never repeat, and a late answer to a former coordinator
 * can never be taken for an answer to the present attempt.
 *
 * Start. The members form a ring in the order of their indexes; the predecessor of a member is
 * the one before it, and that of member 0 is the last one. A member starts its task only after
 * a token has gone round the ring twice. The first token is GANG_PING with closed = 0: a member
 * passes it on once it has received both START and the token, so when the token returns to
 * member 0, all members have received START. The second token (closed = 1) closes the ring and
 * starts the tasks. The coordinator sends START only after the grant has been written to the
 * store.
 *
 * Failure detection. Afterwards each member pings its successor. A member whose predecessor
 * sends nothing for GANG_PREDECESSOR_TIMEOUT_MS breaks the ring: it sends GANG_BROKEN to all other
 * members and stops its task.
 *
 * Longest duration of each intermediate state, if messages are delivered within
 * GANG_PING_INTERVAL_MS:
 * - only some of the tasks have started: normally the time of one round of messages; if a
 *   member or a message is lost during that round, the time until the ring breaks, at most
 *   GANG_PREDECESSOR_TIMEOUT_MS + GANG_PING_INTERVAL_MS (4 s);
 * - tasks of a gang run although one member is dead: at most 4 s if GANG_BROKEN arrives. Each
 *   lost GANG_BROKEN adds at most GANG_PREDECESSOR_TIMEOUT_MS for each following member of the
 *   ring. If another agent dies while it stops its task, the task ends with the worker's lease
 *   (3 s);
 * - only some of the tasks have stopped, after a STOP that some members did not receive: at most
 *   GANG_LINGER_MS longer than that, so that a repeated STOP (and its checkpoint) arrives before
 *   the ring breaks;
 * - accelerators are held without a task: hold TTL + GANG_RING_CLOSE_TIMEOUT_MS;
 * - a member that is stopped with a checkpoint and can't be reached runs for the grace period
 *   longer; the coordinator waits for as long.
 *
 * Two attempts of a job. The coordinator ends an attempt only when each member has confirmed
 * that it has no task, or is lost and the time has passed within which the ring and the worker's
 * lease stop its task. An unreachable member is sent STOP during that time; if it turns out to be
 * reachable again, its end has to be confirmed like that of any other member. So two attempts never
 * run at the same time, with one exception: if each member is unreachable or done, and no agent is
 * known to have died, nothing breaks the ring. gang_result.certain is then false, and the gang may
 * go on running on the other side of a network partition, since running gangs need no coordinator.
 * In that case only work that may run twice is started again.
 */

/* HOLD, START and STOP are repeated at this interval until they are answered. */
#define GANG_RESEND_INTERVAL_MS 500
/* A member's hold expires after this time. */
#define GANG_HOLD_TTL_MS 5000
/* The coordinator ends an attempt if not all members have answered HOLD within this time. */
#define GANG_HOLD_TIMEOUT_MS 2000
/* The coordinator stops a gang if no member runs within this time. */
#define GANG_START_TIMEOUT_MS 10000
/* A member never starts if the ring is not closed this long after START. */
#define GANG_RING_CLOSE_TIMEOUT_MS 2000
/* A member sends pings at this interval until its task runs. */
#define GANG_RING_PING_INTERVAL_MS 200
/* A member sends pings at this interval once its task runs. */
#define GANG_PING_INTERVAL_MS 1000
/* A member breaks the ring if its predecessor sends no ping for this long. */
#define GANG_PREDECESSOR_TIMEOUT_MS 3000
/* A stopped member still pings for this long, so that STOP reaches the others. */
#define GANG_LINGER_MS 3000
/* A final status is repeated at this interval until RELEASE. */
#define GANG_STATUS_RESEND_INTERVAL_MS 2000
#define GANG_ATTEMPT_BITS 16

/** gang_attempt() - attempt number of the @count-th attempt, which was made in @epoch */
static inline uint64_t gang_attempt(uint64_t epoch, uint32_t count)
{
	return epoch << GANG_ATTEMPT_BITS | (count & ((1U << GANG_ATTEMPT_BITS) - 1));
}

/** gang_attempt_count() - the count in an attempt number, as shown to users */
static inline uint32_t gang_attempt_count(uint64_t attempt)
{
	return (uint32_t)(attempt & ((1U << GANG_ATTEMPT_BITS) - 1));
}

enum gang_action_kind {
	/* Actions of the coordinator. */
	GANG_SEND_HOLD = 1, /* to member @member */
	GANG_SEND_START,
	GANG_SEND_RELEASE,
	GANG_SEND_STOP,	  /* with @checkpoint and @grace_ms */
	GANG_WRITE_GRANT, /* write to the store; call gang_coordinator_grant_written() with the
			     result */
	GANG_RUNNING,	  /* all members run */
	GANG_ENDED, /* record gang_coordinator_result(), then call gang_coordinator_end_recorded()
		     */
	/* Actions of a member. */
	GANG_SEND_STATUS,   /* state @status to the coordinator */
	GANG_SEND_PING,	    /* to member @member with @closed */
	GANG_SEND_BROKEN,   /* to member @member */
	GANG_TASK_START,    /* then gang_member_task_started() or _start_unanswered() */
	GANG_TASK_STOP,	    /* with @checkpoint and @grace_ms; then gang_member_task_stopped() */
	GANG_RELEASE_SLOTS, /* release accelerators, cores and memory */
	GANG_DELETE_RECORD, /* delete the record of the member */
};

struct gang_action {
	enum gang_action_kind kind;
	uint32_t member;
	uint32_t status; /* enum msg_member_state */
	uint32_t grace_ms;
	bool checkpoint;
	bool closed;
};

/* Callback for the actions of a machine, called in their order. */
struct gang_action_sink {
	void (*emit)(const struct gang_action *action, void *ctx);
	void *ctx;
};

/* What the coordinator knows about one member. */
enum gang_seen {
	GANG_SEEN_NONE = 0,
	GANG_SEEN_HELD,
	GANG_SEEN_READY,      /* has received START */
	GANG_SEEN_RUNNING,    /* its task runs */
	GANG_SEEN_UNSTARTED,  /* the first final value: its task never started and never will */
	GANG_SEEN_UNANSWERED, /* its worker did not answer the start: its task may have run */
	GANG_SEEN_STOPPED,
	GANG_SEEN_DONE,
	GANG_SEEN_FAILED,
	GANG_SEEN_BROKEN, /* stopped because the ring broke */
	GANG_SEEN_DEAD,	  /* its agent has died; the worker stops the task when its lease expires */
	GANG_SEEN_UNREACHABLE, /* its agent is unreachable; the task may still run */
};

enum gang_phase {
	GANG_PHASE_HOLDING = 1,
	GANG_PHASE_GRANTING,
	GANG_PHASE_STARTING,
	GANG_PHASE_RUNNING,
	GANG_PHASE_STOPPING,
	GANG_PHASE_FENCING, /* waiting until the tasks of lost members must have stopped */
	GANG_PHASE_ENDED,
	GANG_PHASE_CLOSED, /* the end is recorded and RELEASE is sent */
};

/**
 * struct gang_result - how an attempt ended
 * @outcome: to be passed to place_ended()
 * @fault: index of the member that caused the end, or -1
 * @may_have_run: false only when no task of the attempt has ever started
 * @checkpointed: all members stopped on request, after a checkpoint
 * @certain: false if unreachable members may still run their tasks
 */
struct gang_result {
	enum place_outcome outcome;
	int fault;
	bool may_have_run;
	bool checkpointed;
	bool certain;
};

struct gang_coordinator {
	uint64_t epoch;	  /* readable by callers */
	uint64_t attempt; /* readable by callers */
	uint64_t resend_at_ms;
	uint64_t deadline_ms;  /* end of the phase's time-out; 0: none */
	enum gang_phase phase; /* readable by callers */
	uint32_t members;      /* readable by callers */
	uint32_t grace_ms;
	int fault;
	uint8_t outcome; /* enum place_outcome + 1; 0: not decided */
	bool checkpoint;
	bool granted; /* the grant is written */
	bool start_sent;
	bool stop_requested;
	uint8_t seen[PLACE_MEMBERS_MAX]; /* enum gang_seen of each member; readable by callers */
	uint8_t checkpointed[PLACE_MEMBERS_MAX]; /* the member's last status had a checkpoint */
};

/** gang_coordinator_begin() - start an attempt: send HOLD to all members */
void gang_coordinator_begin(struct gang_coordinator *coordinator, uint64_t epoch, uint64_t attempt,
			    uint32_t members, uint64_t now_ms, struct gang_action_sink out);

/**
 * gang_coordinator_restore() - take over an attempt whose grant is in the store: send START to all
 * @running: a former coordinator saw all members run, so the start has no time-out
 */
void gang_coordinator_restore(struct gang_coordinator *coordinator, uint64_t epoch,
			      uint64_t attempt, uint32_t members, bool running, uint64_t now_ms,
			      struct gang_action_sink out);

void gang_coordinator_member_held(struct gang_coordinator *coordinator, uint32_t member,
				  uint64_t now_ms, struct gang_action_sink out);

void gang_coordinator_member_refused(struct gang_coordinator *coordinator, uint32_t member,
				     uint64_t now_ms, struct gang_action_sink out);

/**
 * gang_coordinator_grant_written() - result of GANG_WRITE_GRANT
 * @status: 0: the grant is written; otherwise it is certain that it never will be
 *
 * Not to be called while the result is unknown.
 */
void gang_coordinator_grant_written(struct gang_coordinator *coordinator, int status,
				    uint64_t now_ms, struct gang_action_sink out);

/* What MEMBER_STATUS says about a member. */
struct gang_status {
	uint32_t state; /* enum msg_member_state */
	bool may_have_run;
	bool checkpoint;
};

/** gang_coordinator_member_status() - MEMBER_STATUS from a member */
void gang_coordinator_member_status(struct gang_coordinator *coordinator, uint32_t member,
				    const struct gang_status *status, uint64_t now_ms,
				    struct gang_action_sink out);

/**
 * gang_coordinator_member_lost() - a member's agent cannot be reached any more
 * @dead: the agent's process is known to have ended
 */
void gang_coordinator_member_lost(struct gang_coordinator *coordinator, uint32_t member, bool dead,
				  uint64_t now_ms, struct gang_action_sink out);

/** gang_coordinator_stop() - stop the attempt, because of an eviction or a cancellation */
void gang_coordinator_stop(struct gang_coordinator *coordinator, bool checkpoint, uint32_t grace_ms,
			   uint64_t now_ms, struct gang_action_sink out);

/** gang_coordinator_end_recorded() - the end is in the store, so members may delete their records
 */
void gang_coordinator_end_recorded(struct gang_coordinator *coordinator,
				   struct gang_action_sink out);

/** gang_coordinator_tick() - handle time-outs and send repetitions that are due at @now_ms */
void gang_coordinator_tick(struct gang_coordinator *coordinator, uint64_t now_ms,
			   struct gang_action_sink out);

/** gang_coordinator_due() - next time for gang_coordinator_tick(), in ms; UINT64_MAX: never */
uint64_t gang_coordinator_due(const struct gang_coordinator *coordinator);

struct gang_result gang_coordinator_result(const struct gang_coordinator *coordinator);

enum gang_member_phase {
	GANG_MEMBER_HELD = 1,
	GANG_MEMBER_READY,    /* START received, the ring is not closed */
	GANG_MEMBER_STARTING, /* the worker has been asked to start the task */
	GANG_MEMBER_RUNNING,
	GANG_MEMBER_STOPPING, /* the worker has been asked to stop the task */
	GANG_MEMBER_ENDED,    /* no task runs and no accelerators are held */
};

struct gang_member {
	uint64_t epoch;		      /* readable by callers */
	uint64_t attempt;	      /* readable by callers */
	uint64_t deadline_ms;	      /* end of the hold, or of the wait for the ring */
	uint64_t predecessor_seen_ms; /* last ping from the predecessor */
	uint64_t next_ping_ms;	      /* next ping; 0: none */
	uint64_t linger_until_ms;     /* pings are sent until then; 0: no limit */
	uint64_t next_status_ms;      /* next repetition of the final status; 0: none */
	enum gang_member_phase phase; /* readable by callers */
	uint32_t index;		      /* readable by callers */
	uint32_t members;	      /* 0 before START */
	uint32_t final_state;	      /* enum msg_member_state to end with, once decided */
	uint32_t grace_ms;
	bool checkpoint;
	bool token_received; /* the first token has arrived */
	bool ring_closed;    /* the ring is closed: all members have received START */
	bool stop_pending;   /* stop the task once the worker has answered the start */
	bool may_have_run;   /* the start got no answer; readable by callers */
};

/** gang_member_hold() - initialise a member whose accelerators have just been reserved */
void gang_member_hold(struct gang_member *member, uint64_t epoch, uint64_t attempt, uint32_t index,
		      uint32_t ttl_ms, uint64_t now_ms);

/**
 * gang_member_start() - START of the same attempt
 *
 * The first START is answered with the member's state once the task has started or will not
 * start, a repeated one at once.
 *
 * The caller must have checked that no higher epoch is known and that the member's record is
 * of the same attempt.
 */
void gang_member_start(struct gang_member *member, uint64_t epoch, uint32_t members,
		       uint64_t now_ms, struct gang_action_sink out);

/** gang_member_ping() - GANG_PING of the same attempt from member @from */
void gang_member_ping(struct gang_member *member, uint32_t from, bool closed, uint64_t now_ms,
		      struct gang_action_sink out);

/** gang_member_broken() - GANG_BROKEN of the same attempt */
void gang_member_broken(struct gang_member *member, uint64_t now_ms, struct gang_action_sink out);

/** gang_member_stop() - STOP of the same attempt; always answered with the member's state */
void gang_member_stop(struct gang_member *member, uint64_t epoch, bool checkpoint,
		      uint32_t grace_ms, uint64_t now_ms, struct gang_action_sink out);

/** gang_member_supersede() - stop this attempt, because the job has a later one */
void gang_member_supersede(struct gang_member *member, uint64_t now_ms,
			   struct gang_action_sink out);

/** gang_member_release() - RELEASE of the same attempt */
void gang_member_release(struct gang_member *member, uint64_t now_ms, struct gang_action_sink out);

/**
 * gang_member_task_started() - result of GANG_TASK_START
 * @runs: false: the task has not run and never will
 */
void gang_member_task_started(struct gang_member *member, bool runs, uint64_t now_ms,
			      struct gang_action_sink out);

/** gang_member_start_unanswered() - the task of GANG_TASK_START is over, and may have run */
void gang_member_start_unanswered(struct gang_member *member, uint64_t now_ms,
				  struct gang_action_sink out);

/**
 * gang_member_task_ended() - the task ended by itself, not through GANG_TASK_STOP
 * @state: MSG_MEMBER_DONE, MSG_MEMBER_FAILED or MSG_MEMBER_LOST
 */
void gang_member_task_ended(struct gang_member *member, uint32_t state, uint64_t now_ms,
			    struct gang_action_sink out);

/** gang_member_task_stopped() - result of GANG_TASK_STOP */
void gang_member_task_stopped(struct gang_member *member, uint64_t now_ms,
			      struct gang_action_sink out);

void gang_member_tick(struct gang_member *member, uint64_t now_ms, struct gang_action_sink out);

/** gang_member_due() - next time for gang_member_tick(), in ms; UINT64_MAX: never */
uint64_t gang_member_due(const struct gang_member *member);

#endif
