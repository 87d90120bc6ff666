#ifndef JAYCOURSE_JOBS_H
#define JAYCOURSE_JOBS_H

#include "configrepo.h"
#include "election.h"
#include "member.h"
#include "wire.h"

#include <jansson.h>

/**
 * DOC: Jobs
 *
 * Every entry host records submissions in the store (group commit) and relays queries to the
 * placement leader: the one entry host of the region that is elected through the key
 * "duty/placement/REGION". The leader merges the recorded submissions into its job table, runs
 * the decision module (place.h), drives the gang protocol (gang.h) and records the results.
 * The module runs on the loop thread.
 *
 * A job of a class that is not idempotent is not started again once one of its tasks may have
 * run: it ends as failed with the reason "outcome unknown". It is started again only when no
 * task of the attempt ever started, or when all members were stopped after a checkpoint. Jobs
 * of idempotent classes are started again after any loss.
 */

struct jobs;

struct jobs_deps {
	struct tevent_context *ev;
	struct wire *wire;
	struct store *store;
	struct configrepo *configs;
	struct membership *members;
	struct metrics *metrics;
	const char *self; /* peer name of this process */
	const char *region;
	const char *address; /* own peer address */
};

/** jobs_create() - start the module; pointers in @deps are borrowed and must outlive it */
struct jobs *jobs_create(TALLOC_CTX *mem, const struct jobs_deps *deps);

struct jobs_submission {
	const char *organisation;
	const char *idempotency_key; /* "" for none */
	json_t *body;		     /* parsed request body, borrowed */
	uint32_t deadline_ms;	     /* time allowed for recording the job, from now */
};

/**
 * struct jobs_cb - receiver of an answer
 * @done: called once; @status is 0 or a negative ERR_ code, @reply a JSON object that is
 *	borrowed for the call: the job, or {"error":…} as in the API
 */
struct jobs_cb {
	void (*done)(int status, json_t *reply, void *ctx);
	void *ctx;
};

/**
 * jobs_submit() - check and record a submission
 *
 * The callback gets status 0 when the job is recorded; the reply then holds its id.
 * -ERR_INVALID, -ERR_NEVER_FITS, -ERR_OVER_QUOTA, -ERR_NOT_FOUND (class), -ERR_DEADLINE and
 * -ERR_UNAVAILABLE mean that the job is certainly not recorded. -ERR_OUTCOME_UNKNOWN means that
 * the write was not confirmed and could not be read back either; the reply holds the id with
 * which the caller can ask for the job later.
 */
void jobs_submit(struct jobs *jobs, const struct jobs_submission *submission, struct jobs_cb cb);

/**
 * jobs_query() - ask the placement leader, or the store when there is no leader
 * @verb: "get", "list", "cancel", "explain" or "fragmentation"
 * @job: job id or ""
 * @organisation: restricts the query to jobs of this organisation; "" for operators
 */
void jobs_query(struct jobs *jobs, const char *verb, const char *job, const char *organisation,
		struct jobs_cb cb);

/** jobs_wait() - like a "get" query, but answered when the job has ended or after @timeout_ms */
void jobs_wait(struct jobs *jobs, const char *job, const char *organisation, uint32_t timeout_ms,
	       struct jobs_cb cb);

/** jobs_message() - handle a message from an agent or entry; true if it is for this module */
bool jobs_message(struct jobs *jobs, const char *peer, struct msg *msg);

/** jobs_shutdown() - finish pending writes, resign as placement leader, then call @done */
void jobs_shutdown(struct jobs *jobs, void (*done)(void *ctx), void *ctx);

#endif
