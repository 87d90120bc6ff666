#ifndef JAYCOURSE_INTAKE_INT_H
#define JAYCOURSE_INTAKE_INT_H

#include "intake.h"

#include <glib.h>

/** DOC: Shared by the intake*.c files only */

#define JOB_ID_LEN 16

enum intake_kind {
	INTAKE_SUBMIT,
	INTAKE_STATE,
	INTAKE_CANCEL,
	INTAKE_PENDING,
	INTAKE_EXPLAIN,
};

/* One call of a caller; freed when it is answered and no store call is under way. */
struct intake_request {
	struct intake *intake;
	struct httpd_call *call; /* NULL: answered, or the caller is gone */
	enum intake_kind kind;
	char id[JOB_ID_LEN + 1];
	char *queue;
	char *record; /* of a submission */
	uint64_t began_ms;
	uint64_t deadline_ms; /* own clock; the caller has given up then */
	bool relayed;	      /* the peers have been asked once */
	bool maybe_stored;    /* a write without an answer may have taken effect */
	bool busy;	      /* a store call is under way */
	uint64_t query;	      /* number of the question to the leader, 0: none */
	char *asked_peer;     /* entry that was asked last, NULL: the leader's address */
	struct tevent_timer *timer;
};

struct intake {
	struct intake_deps deps;
	struct intake_codec codec;
	const struct fleetconf *conf;
	struct coord *coord;
	bool connected;
	char *connected_to;
	struct metrics_histogram acceptance;
	uint64_t next_query;
	GHashTable *queries; /* number -> struct intake_request */
};

/* intake.c */
void intake_answer(struct intake_request *q, int status, const char *body, uint32_t retry_after_s,
		   const char *why);
/**
 * intake_abandoned() - a store call has ended
 *
 * Return: true if the caller went away meanwhile; the request is freed then.
 */
bool intake_abandoned(struct intake_request *q);
bool intake_store_answers(const struct intake *in);
void intake_show_state(struct intake_request *q, enum plan_job_state state);

/* intakewrite.c */
void intake_submit(struct intake_request *q);
void intake_cancel(struct intake_request *q);

/* intakeread.c */
void intake_ask(struct intake_request *q);
void intake_drop_query(struct intake_request *q);

#endif
