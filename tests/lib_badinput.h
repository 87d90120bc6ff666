#ifndef JAYCOURSE_LIB_BADINPUT_H
#define JAYCOURSE_LIB_BADINPUT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Calls of other writers to the processes of a fleet, drawn at random
 *
 * A heartbeat that differs from the true one only in well-formed values of state, capacity or
 * labels is not drawn: no agent can tell it from one of its worker.
 */

/* What is wrong with a heartbeat. */
enum badinput_kind {
	BADINPUT_GARBLED,      /* a field is of another type or unreadable */
	BADINPUT_MISSING,      /* a field is left out */
	BADINPUT_FOREIGN,      /* id, start time or address of another worker */
	BADINPUT_FORMER,       /* of a former incarnation */
	BADINPUT_LATE,	       /* seq is lower, the state may be another one */
	BADINPUT_AHEAD,	       /* seq is huge */
	BADINPUT_BORN_EARLIER, /* own id, another start time */
	BADINPUT_BORN_LATER,   /* the same, by up to 5 s */
	BADINPUT_BORN_FAR,     /* the same, by minutes or hours */
	BADINPUT_OTHER_ID,     /* of no worker */
	BADINPUT_OTHER_UNBORN, /* the same, without a start time */
	BADINPUT_STATE,	       /* unknown state */
	BADINPUT_SERVICE,      /* another service */
	BADINPUT_NOT_JSON,     /* unreadable body */
	BADINPUT_TOO_LARGE,    /* longer than the platform allows */
	BADINPUT_DEREGISTER,   /* a worker that isn't there leaves */
	BADINPUT_KINDS,
};

enum badinput_server {
	BADINPUT_CALLERS,
	BADINPUT_READY,
	BADINPUT_CONTROL,
};

/* What the heartbeats of a worker say. */
struct badinput_worker {
	char id[24];
	char address[32];
	char service[8];
	char zone[16];
	char kind[8];
	char rack[16];
	uint64_t born_ms;
	uint64_t clock_ms;
	uint64_t sequence; /* of the latest heartbeat, or a little lower */
	bool draining;
};

/**
 * struct badinput - a call
 * @request: the whole HTTP request
 * @refused: each server has to answer with a 4xx status
 */
struct badinput {
	const char *name;
	GString *request;
	bool refused;
};

/**
 * badinput_heartbeat() - draw a heartbeat, or the end of a registration, that is not to be believed
 * @own: the worker of the agent
 * @other: another worker of the fleet
 * @former: a former incarnation of @own, or NULL, for which another kind is drawn
 */
struct badinput badinput_heartbeat(GRand *rand, const struct badinput_worker *own,
				   const struct badinput_worker *other,
				   const struct badinput_worker *former);

/** badinput_heartbeat_of_kind() - like badinput_heartbeat(), of one kind */
struct badinput badinput_heartbeat_of_kind(GRand *rand, enum badinput_kind kind,
					   const struct badinput_worker *own,
					   const struct badinput_worker *other,
					   const struct badinput_worker *former);

/**
 * badinput_call() - draw a call without a meaning to an address
 * @host, @prefix, @key: of a queue of the configuration
 * @job: identifier of a job that nobody submits
 */
struct badinput badinput_call(GRand *rand, enum badinput_server server, const char *host,
			      const char *prefix, const char *key, const char *job);

#endif
