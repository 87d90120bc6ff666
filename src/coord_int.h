#ifndef JAYCOURSE_COORD_INT_H
#define JAYCOURSE_COORD_INT_H

#include "coord.h"
#include "fleetmsg.h"

#include <glib.h>

/** DOC: Shared by the coord*.c files only */

#define JOB_PREFIX "job/"
#define CANCEL_SUFFIX ".cancel"
#define PROGRESS_PREFIX "progress/"
#define AGENT_PREFIX "agent/"

/* One agent, known from the store or from its reports. */
struct agent_row {
	char *node;
	char *address;
	char *peer; /* name under which its reports arrive; NULL before the first */
	char *incarnation;
	uint64_t heard_ms;  /* last report; 0: never under this leader */
	uint64_t listed_ms; /* last report that says what runs; 0: never */
	uint64_t echo_ms;
	uint64_t ends_seen;  /* highest number taken over into the plan */
	uint64_t ends_cycle; /* ends_seen when the storing under way began */
	uint64_t ends_stored;
	bool alive;	  /* the plan counts on its worker */
	bool stored;	  /* the store names it, so a later leader will wait for it */
	int64_t revision; /* of its key */
	bool storing;
};

/* What the store holds of one job. */
struct job_row {
	char *id;
	int64_t revision; /* of the progress record, 0: none */
	bool ended_stored;
	enum plan_job_state stored_state;
};

struct coord {
	struct coord_deps deps;
	struct plan *plan;
	const struct fleetconf *conf;
	uint64_t term;
	uint64_t began_ms;
	struct kv_mirror *jobs_mirror;
	GHashTable *jobs;     /* id -> struct job_row */
	GHashTable *progress; /* id -> text, read at the start, until its job turns up */
	GHashTable *agents;   /* node -> struct agent_row */
	bool progress_loaded;
	bool agents_loaded;
	bool loaded; /* all jobs are in the plan */
	bool settled;
	GQueue *cycle; /* ids to store in the cycle under way */
	char **batch;  /* ids of the transaction under way */
	size_t batch_count;
	bool storing;
	GQueue *ended;			     /* struct ended_row, oldest first */
	struct metrics_histogram settling;   /* from an election to the first placement */
	struct metrics_histogram storing_ms; /* one transaction of progress */
	uint64_t batch_sent_ms;
	struct metrics_histogram advice_ms; /* one call for advice */
	uint64_t unsure_told_ms;	    /* when the agents were told that the lead may end */
	uint32_t advice_calls;		    /* under way */
	struct tevent_immediate *decide;
	bool decide_scheduled;
	struct tevent_timer *decide_timer;
	struct coord_link *link;
};

/* Outlives the controller until its last store call has ended. */
struct coord_link {
	struct coord *coord;
	uint32_t calls;
};

/* coordstore.c */
struct kv_cb coord_call(struct coord *c, void (*done)(int, const struct kv_result *, void *));
struct coord *coord_call_ended(void *ctx);
void coord_load(struct coord *c);
void coord_store_dirty(struct coord *c);
void coord_forget_old(struct coord *c, uint64_t now_ms);
void coord_store_agent(struct coord *c, struct agent_row *row);
void coord_forget_agent(struct coord *c, struct agent_row *row);

/* coordadvice.c */
void coord_ask_advice(struct coord *c, uint64_t now_ms);

/* coord.c */
void coord_loaded(struct coord *c);
void coord_ends_stored(struct coord *c);
void coord_decide_soon(struct coord *c);
struct agent_row *coord_agent(struct coord *c, const char *node);

#endif
