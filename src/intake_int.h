#ifndef JAYCOURSE_INTAKE_INT_H
#define JAYCOURSE_INTAKE_INT_H

#include "intake.h"

#include <glib.h>

/** DOC: Shared by the intake*.c files only */

enum intake_kind {
	INTAKE_SUBMIT,
	INTAKE_STATE,
	INTAKE_CANCEL,
	INTAKE_PENDING,
	INTAKE_EXPLAIN,
};

/* One HTTP call; freed when it is answered and no store or relay call is under way. */
struct intake_request {
	struct intake *intake;
	struct httpd_call *call; /* NULL: answered, or the caller closed its connection */
	enum intake_kind kind;
	char id[JOBSPEC_ID_LEN + 1];
	char *queue;
	char *job_record; /* record of a submitted job, as written to the store */
	uint64_t received_ms;
	uint64_t deadline_ms; /* on this process's clock; the caller does not wait beyond it */
	bool relayed;	      /* the peers were asked to write, which is done once */
	bool job_unknown;     /* of a cancellation: the store had no such job */
	bool maybe_stored;    /* a write without an answer may have taken effect */
	bool call_pending;    /* a store or relay call is under way */
	uint64_t query_id;    /* of the query that awaits an answer, 0: none */
	char *asked_peer;     /* node of the entry that was asked last, NULL: none */
	struct tevent_timer *timer;
};

struct intake {
	struct intake_deps deps;
	struct intake_codec codec;
	const struct fleetconf *conf;
	struct coord *coord;
	bool leader_connected;
	char *leader_link_address;
	struct metrics_histogram acceptance;
	uint64_t last_query_id;
	GHashTable *queries; /* query_id -> struct intake_request */
};

/* intake.c */
/* Answers the call, unless the caller is gone, and frees the request unless a call is pending. */
void intake_answer(struct intake_request *request, int status, const char *body,
		   uint32_t retry_after_s, const char *why);
/**
 * intake_end_store_call() - to be called first when a store or relay call has ended
 *
 * Return: true if the caller went away meanwhile; the request has been freed then.
 */
bool intake_end_store_call(struct intake_request *request);
bool intake_store_answers(const struct intake *intake);
void intake_answer_state(struct intake_request *request, enum plan_job_state state);

/* intakewrite.c */
void intake_submit(struct intake_request *request);
void intake_cancel(struct intake_request *request);

/* intakeread.c */
void intake_query_job(struct intake_request *request);
void intake_drop_query(struct intake_request *request);

#endif
