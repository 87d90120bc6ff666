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
 * DOC: HTTP calls of callers to an entry: jobs are submitted, queried and cancelled
 *
 * A job is accepted once it is written to the store. States come from the leader, or from the
 * store while the leader can't be reached.
 */

struct intake;

/**
 * struct intake_codec - encoding of the calls and their answers
 * @deadline_header: name of the header with the milliseconds that the caller waits
 * @read_job: parse the body of a submission; returns NULL and fills @err when malformed
 * @state_body: format a job's state as a body, owned by @mem
 * @pending_body: format the number of waiting jobs as a body, owned by @mem
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
	bool advised_queues; /* an advice service is set, so queues that need advice are served */
};

/** intake_create() - @deps is copied, the objects in it are borrowed */
struct intake *intake_create(TALLOC_CTX *mem, const struct intake_deps *deps);

/**
 * intake_configure() - set the configuration
 * @conf: borrowed until the next call; NULL while there is none, all calls are refused then
 */
void intake_configure(struct intake *intake, const struct fleetconf *conf);

/** intake_set_coord() - set the coordinator while this process leads; NULL when it no longer does
 */
void intake_set_coord(struct intake *intake, struct coord *coord);

/** intake_leader_changed() - close the connection to the former leader */
void intake_leader_changed(struct intake *intake);

/** intake_call() - serve an HTTP call; for &struct httpd_handlers */
void intake_call(struct httpd_call *call, void *ctx);

/** intake_caller_gone() - the caller closed its connection; for &struct httpd_handlers */
void intake_caller_gone(struct httpd_call *call, void *ctx);

/** intake_message() - process a message; Return: true if its type is one for an entry */
bool intake_message(struct intake *intake, const char *peer, const struct msg *msg);

#endif
