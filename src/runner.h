#ifndef JAYCOURSE_RUNNER_H
#define JAYCOURSE_RUNNER_H

#include "fleetmsg.h"
#include "kv.h"
#include "metrics.h"
#include "wire.h"

/**
 * DOC: The agent's controller: carries out the leader's orders on one worker
 *
 * The controller stores nothing durably: after a restart the worker lists its runs, and the
 * leader repeats its orders. &struct runner_calls hides the protocol to the worker.
 */

struct runner;

/* Result of a start or stop call to the worker. */
enum runner_call_result {
	RUNNER_STARTED,	       /* the worker has carried out the start or stop */
	RUNNER_REFUSED_FENCED, /* the worker has accepted a call with a higher fence */
	RUNNER_REFUSED_STALE,  /* the worker has seen the same or a later run of the task */
	RUNNER_REFUSED_LATE,   /* the lease has expired */
	RUNNER_REFUSED_NO_ROOM,
	RUNNER_REFUSED_NO_TICKET, /* the advice by which the run was placed is no longer valid */
	RUNNER_REFUSED_UNHEALTHY,
	RUNNER_REFUSED_INVALID,
	RUNNER_OTHER_INCARNATION, /* another incarnation of the worker answered */
	RUNNER_NOT_SENT,	  /* nothing listens at the worker's address */
	RUNNER_NO_ANSWER,	  /* the call may still take effect */
	RUNNER_UNKNOWN_OUTCOME,	  /* the worker answered, but not what has become of the call */
};

/**
 * struct runner_start - start of a run
 * @worker: identifier of the worker
 * @fence: the worker ignores calls whose fence is lower than one that it has accepted
 * @lease_end_ms: by the worker's clock
 */
struct runner_start {
	const char *worker;
	const char *task;
	uint32_t run;
	const char *payload;
	const char *checkpoint;
	const char *ticket; /* "": none */
	uint64_t fence;
	uint64_t lease_end_ms;
};

/**
 * struct runner_renewal - request to extend the lease and list the runs
 * @worker: identifier of the worker, NULL for any
 * @fence: as in &struct runner_start
 * @extend: extend the lease to @lease_end_ms; if false, only list the runs
 * @ends_known: the worker may forget ends up to this number
 * @wait_ms: the worker answers as soon as a run ends, otherwise after this time
 */
struct runner_renewal {
	const char *worker;
	uint64_t fence;
	bool extend;
	uint64_t lease_end_ms;
	uint64_t ends_known;
	uint32_t wait_ms;
};

/**
 * struct runner_list - the worker's list of running and ended runs
 * @clock_ms: the worker's clock, 0 if the answer lacks it
 * @worker_started_ms: start of this incarnation of the worker, milliseconds since 1970; 0 if the
 *	answer lacks it
 * @ends: in the order of their numbers
 * @more_ends: the worker may have further ends, which it lists once these are confirmed
 * @unreadable: rows were left out because they could not be read
 */
struct runner_list {
	uint64_t clock_ms;
	uint64_t worker_started_ms;
	struct plan_run *running;
	size_t running_count;
	struct fleet_run_end *ends;
	size_t end_count;
	bool more_ends;
	bool unreadable;
};

/* What a worker says of its health. */
enum runner_health {
	RUNNER_HEALTH_UNKNOWN, /* no usable answer */
	RUNNER_HEALTH_GOOD,
	RUNNER_HEALTH_BAD,
};

/**
 * struct runner_calls - calls to the worker
 * @renew: its callback receives status 0 with a list; -ERR_UNAVAILABLE when the worker's host has
 *	refused the connection, so that nothing listens at the address; -ERR_SYSTEM when the
 *	connection failed otherwise; -ERR_STALE when another incarnation answered; -ERR_DENIED
 *	when the worker has accepted a higher fence; -ERR_DEADLINE when there was no answer in
 *	time; another error without a usable answer
 * @ask_health: asks the worker at @path whether it is healthy; NULL where that can't be asked
 *
 * Each callback runs once, from the event loop. Its clock_ms is 0 if the answer lacks the
 * worker's clock.
 */
struct runner_calls {
	void (*start)(void *impl, const struct runner_start *start,
		      void (*done)(enum runner_call_result result, uint64_t clock_ms, void *ctx),
		      void *ctx);
	void (*stop)(void *impl, const char *worker, const char *task, uint32_t run, uint64_t fence,
		     void (*done)(enum runner_call_result result, uint64_t clock_ms, void *ctx),
		     void *ctx);
	void (*renew)(void *impl, const struct runner_renewal *renewal,
		      void (*done)(int status, const struct runner_list *list, void *ctx),
		      void *ctx);
	void *impl;
	void (*ask_health)(void *impl, const char *worker, const char *path,
			   void (*done)(enum runner_health health, void *ctx), void *ctx);
};

/**
 * struct runner_announcement - announcement of a worker
 * @id: identifier of the worker, the same after a restart
 * @started_ms: start time; distinguishes the incarnations of one @id
 * @address: where the worker says that it takes calls; the agent calls the one in its settings
 * @sequence: increases with each announcement of one incarnation
 * @accepting: false while the worker drains
 * @leaves: it drains and says how much time is left, at least, until it ends
 * @remaining_ms: that time; only with @leaves
 */
struct runner_announcement {
	const char *id;
	const char *address;
	const char *service;
	const char *zone;
	const char *kind;
	const char *rack;
	struct plan_resources room;
	bool accepting;
	bool leaves;
	uint32_t remaining_ms;
	uint64_t started_ms;
	uint64_t sequence;
};

struct runner_deps {
	struct tevent_context *ev;
	struct kv *kv;
	struct wire *wire;
	struct metrics *metrics;
	const struct runner_calls *calls;
	const char *node;
	const char *service;
};

/** runner_create() - start the controller; @deps is copied, the objects in it are borrowed */
struct runner *runner_create(TALLOC_CTX *mem, const struct runner_deps *deps);

/**
 * runner_announced() - process an announcement that says to be of the worker
 * @announcement: copied if needed
 * @done: called once, at once or when the worker has been asked; may be NULL. @status: 0 if the
 *	announcement is taken; -ERR_INVALID if it is of another service, or lacks the start time
 *	that the worker gives in its lists; -ERR_STALE if the worker answers as another
 *	incarnation; -ERR_UNAVAILABLE if it did not answer within about 3 s; -ERR_QUEUE_FULL if too
 *	many announcements wait for its answer
 *
 * Only an announcement of the present incarnation is taken without asking the worker. Nothing is
 * given up before the worker has answered.
 */
void runner_announced(struct runner *runner, const struct runner_announcement *announcement,
		      void (*done)(int status, void *ctx), void *ctx);

/** runner_leaving() - the worker has announced that it shuts down */
void runner_leaving(struct runner *runner, const char *id);

/**
 * runner_may_stop() - true if the leader loses nothing when this agent ends now
 *
 * While a worker shuts down, only its agent can tell the leader at once that nothing runs there any
 * more. Without that report the tasks of the worker, and all inherited jobs of a later
 * leader, wait until its leases have expired.
 */
bool runner_may_stop(const struct runner *runner);

/** runner_message() - process a message; Return: true if its type is one for the agent */
bool runner_message(struct runner *runner, const char *peer, const struct msg *msg);

#endif
