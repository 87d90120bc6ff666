#ifndef JAYCOURSE_JOBS_H
#define JAYCOURSE_JOBS_H

#include "configrepo.h"
#include "duty.h"
#include "member.h"
#include "wire.h"

#include <jansson.h>

/**
 * DOC: Jobs
 *
 * On every entry: records submissions in the store (group commit) and relays queries to
 * the holder of the placement duty. On the holder: merges submissions, runs the decision
 * module, drives the gang protocol and records the results. Runs on the loop thread.
 *
 * A job of a class that is not idempotent is not started again once one of its tasks may have
 * run: it ends as failed with the reason "outcome unknown". It is started again when no task
 * of the attempt ever started, or when all members were stopped after a checkpoint. Jobs of
 * idempotent classes are started again after any loss.
 */

struct jobs;

struct jobs_deps {
	struct tevent_context *ev;
	struct wire *wire;
	struct store *store;
	struct configrepo *configs;
	struct member *members;
	struct metrics *metrics;
	const char *self; /* peer name of this process */
	const char *region;
	const char *address; /* own peer address */
};

/* All pointers in @deps are borrowed and must outlive the jobs. */
struct jobs *jobs_create(TALLOC_CTX *mem, const struct jobs_deps *deps);

struct jobs_submission {
	const char *organisation;
	const char *idempotency_key; /* "" for none */
	json_t *body;		     /* parsed request body, borrowed */
	uint32_t deadline_ms;	     /* for recording it */
};

/* @reply is a JSON object, borrowed for the call: the job, or {"error":…} as in the API. */
struct jobs_cb {
	void (*done)(int status, json_t *reply, void *ctx);
	void *ctx;
};

/**
 * jobs_submit() - check and record a submission
 *
 * Status 0: recorded, the reply holds the id. -ERR_INVALID, -ERR_NEVER_FITS, -ERR_OVER_QUOTA,
 * -ERR_NOT_FOUND (class), -ERR_DEADLINE or -ERR_UNAVAILABLE: certainly not recorded.
 * -ERR_OUTCOME_UNKNOWN: reading back failed too; the reply holds the id to ask for.
 */
void jobs_submit(struct jobs *jobs, const struct jobs_submission *submission, struct jobs_cb cb);

/**
 * jobs_query() - ask the holder, or the store when there is no holder
 * @verb: "get", "list", "cancel", "explain" or "fragmentation"
 * @job: job id or ""
 * @organisation: only its jobs; "" for operators
 */
void jobs_query(struct jobs *jobs, const char *verb, const char *job, const char *organisation,
		struct jobs_cb cb);

/** jobs_wait() - like "get", but answers when the job has ended or after @timeout_ms */
void jobs_wait(struct jobs *jobs, const char *job, const char *organisation, uint32_t timeout_ms,
	       struct jobs_cb cb);

/** jobs_message() - a message from an agent or entry; true if it was one for this module */
bool jobs_message(struct jobs *jobs, const char *peer, struct msg *msg);

/** jobs_shutdown() - finish what is being recorded, hand over the duty, then call @done */
void jobs_shutdown(struct jobs *jobs, void (*done)(void *ctx), void *ctx);

#endif
