#ifndef JAYCOURSE_INTAKE_H
#define JAYCOURSE_INTAKE_H

#include "coord.h"
#include "fleetconf.h"
#include "httpd.h"
#include "jobspec.h"
#include "kv.h"
#include "leader.h"
#include "metrics.h"
#include "relay.h"
#include "wire.h"

/**
 * DOC: Callers' side of an entry: jobs are submitted, asked for and cancelled
 *
 * A job counts as accepted once the store has it. States come from the leader; while it can't
 * be reached they are read from the store.
 */

struct intake;

/**
 * struct intake_codec - form of the callers' interface
 * @deadline_header: header with the milliseconds that the caller waits
 * @read_job: body of a submission; NULL with an explanation when malformed
 * @state_body: body that shows a state, owned by @mem
 * @pending_body: body that shows a number of waiting jobs, owned by @mem
 */
struct intake_codec {
	const char *deadline_header;
	struct jobspec *(*read_job)(TALLOC_CTX *mem, const char *body, size_t len, struct err *err);
	char *(*state_body)(TALLOC_CTX *mem, enum plan_job_state state);
	char *(*pending_body)(TALLOC_CTX *mem, uint32_t count);
};

struct intake_deps {
	struct tevent_context *ev;
	struct kv *kv;
	struct wire *wire;
	struct leader *leader;
	struct relay *relay;
	struct metrics *metrics;
	const struct intake_codec *codec;
	bool advised_queues; /* jobs of queues that need advice on workers can run */
};

/** intake_create() - @deps is copied, its parts borrowed */
struct intake *intake_create(TALLOC_CTX *mem, const struct intake_deps *deps);

/** intake_configure() - borrowed until the next call; NULL: nothing is known yet */
void intake_configure(struct intake *intake, const struct fleetconf *conf);

/** intake_lead() - this process leads with @coord, or no longer (NULL) */
void intake_lead(struct intake *intake, struct coord *coord);

/** intake_leader_changed() - forget the connection to the former leader */
void intake_leader_changed(struct intake *intake);

/** intake_call() - serve a call of a caller; for &struct httpd_handlers */
void intake_call(struct httpd_call *call, void *ctx);

/** intake_gone() - the caller went away; for &struct httpd_handlers */
void intake_gone(struct httpd_call *call, void *ctx);

/** intake_message() - a message from another process; true if it was for the entry */
bool intake_message(struct intake *intake, const char *peer, const struct msg *msg);

#endif
