#ifndef JAYCOURSE_RUNNER_H
#define JAYCOURSE_RUNNER_H

#include "fleetmsg.h"
#include "kv.h"
#include "metrics.h"
#include "wire.h"

/**
 * DOC: The agent's controller: one worker, driven by the leader's orders
 *
 * It keeps nothing that lasts: after a restart the worker lists what runs, and the leader
 * repeats its orders. How the worker is spoken to is behind &struct runner_calls.
 */

struct runner;

/* How a start went. */
enum runner_started {
	RUNNER_STARTED,
	RUNNER_REFUSED_FENCED, /* the worker obeys a later leader */
	RUNNER_REFUSED_STALE,  /* an equal or later run was seen */
	RUNNER_REFUSED_LATE,   /* the lease is over */
	RUNNER_REFUSED_NO_ROOM,
	RUNNER_REFUSED_NO_TICKET, /* the advice on which it was placed does not hold */
	RUNNER_REFUSED_UNHEALTHY,
	RUNNER_REFUSED_INVALID,
	RUNNER_OTHER_LIFE, /* another incarnation of the worker answered */
	RUNNER_NOT_SENT,   /* nothing listens at the worker's address */
	RUNNER_NO_ANSWER,  /* it may begin now or later */
};

struct runner_start {
	const char *worker; /* incarnation's identifier */
	const char *task;
	uint32_t run;
	const char *payload;
	const char *checkpoint;
	const char *ticket; /* "": none */
	uint64_t term;
	uint64_t lease_end_ms; /* worker's clock */
};

/**
 * struct runner_renewal - renew the lease and ask what runs
 * @worker: NULL: whichever incarnation is there
 * @extend: with @lease_end_ms; otherwise only ask
 * @ends_known: ends up to this number may be forgotten
 * @wait_ms: the worker answers at once when a run ends, else after this time
 */
struct runner_renewal {
	const char *worker;
	uint64_t term;
	bool extend;
	uint64_t lease_end_ms;
	uint64_t ends_known;
	uint32_t wait_ms;
};

/**
 * struct runner_list - what the worker says
 * @born_ms: start of this life of the worker, milliseconds since 1970; 0 if not said
 */
struct runner_list {
	uint64_t clock_ms;
	uint64_t born_ms;
	struct plan_run *running;
	size_t running_count;
	struct fleet_run_end *ends;
	size_t end_count;
};

/**
 * struct runner_calls - calls to the worker
 *
 * Each callback runs once, from the loop. A clock of 0 means that the answer held none.
 * @renew: status 0 with a list; -ERR_UNAVAILABLE: nothing listens there; -ERR_STALE:
 *	another incarnation answered; -ERR_DENIED: a later leader; others: no usable answer
 */
struct runner_calls {
	void (*start)(void *impl, const struct runner_start *start,
		      void (*done)(enum runner_started result, uint64_t clock_ms, void *ctx),
		      void *ctx);
	void (*stop)(void *impl, const char *worker, const char *task, uint32_t run, uint64_t term,
		     void (*done)(enum runner_started result, uint64_t clock_ms, void *ctx),
		     void *ctx);
	void (*renew)(void *impl, const struct runner_renewal *renewal,
		      void (*done)(int status, const struct runner_list *list, void *ctx),
		      void *ctx);
	void *impl;
};

/**
 * struct runner_self - what a worker announces about itself
 * @id: stays the same over a restart
 * @born_ms: tells lives with one @id apart
 * @sequence: grows with each announcement of one life
 * @accepting: false while it drains
 */
struct runner_self {
	const char *id;
	const char *service;
	const char *zone;
	const char *kind;
	const char *rack;
	struct plan_resources room;
	bool accepting;
	uint64_t born_ms;
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

/** runner_create() - @deps is copied, its parts borrowed */
struct runner *runner_create(TALLOC_CTX *mem, const struct runner_deps *deps);

/**
 * runner_announced() - the worker has announced itself
 *
 * Return: 0; -ERR_STALE for an announcement of an earlier life; -ERR_INVALID for another
 * service.
 */
int runner_announced(struct runner *runner, const struct runner_self *self);

/** runner_leaving() - the worker says that it ends now */
void runner_leaving(struct runner *runner, const char *id);

/** runner_message() - a message from another process; true if it was for the agent */
bool runner_message(struct runner *runner, const char *peer, const struct msg *msg);

#endif
