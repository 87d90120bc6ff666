#ifndef JAYCOURSE_COORD_INT_H
#define JAYCOURSE_COORD_INT_H

#include "callref.h"
#include "coord.h"
#include "fleetmsg.h"

#include <glib.h>

/** DOC: Internals of the controller, shared by the coord*.c files only */

#define JOB_PREFIX "job/"
#define CANCEL_SUFFIX ".cancel"
#define PROGRESS_PREFIX "progress/"
#define AGENT_PREFIX "agent/"

/* An agent that is listed in the store or has sent a report. */
struct agent_row {
	char *node;
	char *address;
	char *peer; /* wire name that its reports come from; NULL before the first report */
	char *incarnation;
	uint64_t announced_ms;	  /* when this leader last announced itself to it; 0: never */
	uint64_t last_report_ms;  /* time of the last report; 0: none under this leader */
	uint64_t last_list_ms;	  /* last report of what runs, or that nothing does; 0: none */
	uint64_t session;	  /* of the process that reports; 0: none yet */
	uint64_t sessions_issued; /* highest session given to a process of the agent */
	char *issued_to;	  /* wire name of the process that was given it */
	uint64_t echo_ms;
	struct fleet_report *pending; /* latest report, kept until it can be applied; or NULL */
	bool list_current;	      /* the latest report had a list of all running tasks */
	bool more_ends;		      /* the latest list may lack ends of runs */
	uint64_t ends_seen;	      /* highest number of an end that the plan has been given */
	uint64_t ends_cycle;	      /* value of ends_seen when the present store cycle began */
	uint64_t ends_stored;
	/* Until then runs may be left on its restarted worker, see WORKER_LONG_LEASE_MS; 0: none.
	 */
	uint64_t long_lease_until_ms;
	bool alive;	      /* the plan may place tasks on its worker */
	bool key_wanted;      /* its key is to be in the store, with its address */
	bool key_stored;      /* its key is in the store, so a later leader waits for its report */
	bool key_may_exist;   /* false only if its key is certainly not in the store */
	int64_t key_revision; /* last known one */
	char *key_address;    /* that the key was last written with; NULL: not known */
	bool key_storing;     /* a write or removal of its key is in progress */
	uint64_t key_failed_ms;
};

/* State of a job in the store. */
struct job_row {
	char *id;
	int64_t revision; /* of the progress record; 0: there is none */
	bool ended_stored;
	enum plan_job_state stored_state;
};

struct coord {
	struct coord_deps deps;
	struct plan *plan;
	const struct fleetconf *conf;
	uint64_t term;
	uint64_t elected_ms; /* time of the election */
	struct kv_mirror *jobs_mirror;
	GHashTable *jobs;     /* id -> struct job_row */
	GHashTable *progress; /* id -> stored record, kept until the job itself has been read */
	GHashTable *agents;   /* node -> struct agent_row */
	GHashTable *early_cancels; /* id -> struct early_cancel, jobs that are not stored */
	bool progress_loaded;
	bool agents_loaded;
	bool loaded;		 /* all jobs are in the plan */
	bool suspended;		 /* no decisions, as another process may have become leader */
	bool zones_unknown;	 /* no starts, as a zone may have been evacuated meanwhile */
	bool inherited_released; /* plan_recovery_done() was called: inherited jobs may start */
	GQueue *cycle;		 /* ids of jobs still to be stored in the present cycle */
	char **batch;		 /* ids of jobs in the present transaction */
	size_t batch_count;
	bool storing;			      /* a store cycle is in progress */
	GQueue *ended_jobs;		      /* struct ended_row, oldest first */
	struct metrics_histogram settling_ms; /* from the election until inherited jobs may start */
	struct metrics_histogram progress_ms; /* one transaction that stores progress */
	uint64_t batch_sent_ms;
	struct metrics_histogram decision_ms;
	struct metrics_histogram advice_ms;  /* one call to the advice service */
	uint64_t warned_ms;		     /* last warning of coord_warn_agents() */
	bool ending;			     /* this process gives up the lead */
	struct tevent_timer *announce_timer; /* set while agents have not reported */
	uint32_t advice_calls;		     /* in progress */
	int losses[PLAN_LOSS_COUNT];	     /* metric handles */
	int evictions[PLAN_EVICT_COUNT];     /* metric handles */
	struct metrics_histogram eviction_ages_ms;
	int suspected_workers;	    /* metric handle */
	int moves[PLAN_MOVE_COUNT]; /* metric handles */
	int agent_restarts;	    /* metric handle */
	int evacuated_zones;	    /* metric handle */
	int evacuated_tasks;	    /* metric handle */
	int headroom_workers;	    /* metric handle */
	int demand_accelerators;    /* metric handle */
	int share_excess;	    /* metric handle */
	char *logged_share;	    /* organisation of the latest log line on shares, or NULL */
	uint32_t logged_headroom;   /* workers kept free as of the latest log line on it */
	int waiting_steps[PLAN_WAIT_COUNT]; /* metric handles; that of PLAN_WAIT_NONE is unused */
	uint64_t waits_counted_ms;
	struct tevent_immediate *decide_immediate;
	bool decide_scheduled;
	struct tevent_timer *decide_timer;
	uint64_t decide_timer_ms; /* when decide_timer is due; only while it is set */
	uint64_t decide_after_ms; /* no decision before this time, see coord_decision_pause_ms() */
	struct callref *calls;	  /* context of asynchronous calls */
};

/* coordstore.c */
struct kv_cb coord_begin_call(struct coord *coord,
			      void (*done)(int, const struct kv_result *, void *));
void coord_load(struct coord *coord);
void coord_store_dirty(struct coord *coord);
void coord_remove_ended_jobs(struct coord *coord, uint64_t now_ms);
void coord_store_agent_key(struct coord *coord, struct agent_row *row);
void coord_remove_agent_key(struct coord *coord, struct agent_row *row);
void coord_repeat_agent_keys(struct coord *coord, uint64_t now_ms);

/* coordcancel.c */
/* Remembers the cancellation of a job that is not known; @revision is that of its key. */
void coord_keep_early_cancel(struct coord *coord, const char *id, int64_t revision);
/* To be called when the key of a cancellation has been removed. */
void coord_forget_early_cancel(struct coord *coord, const char *id);
/* Ends a job that has just been read, if it was cancelled before. */
void coord_apply_early_cancel(struct coord *coord, const char *id);
/* Removes the keys of cancellations whose jobs have not appeared for keep_ended_ms. */
void coord_remove_early_cancels(struct coord *coord, uint64_t now_ms);

/* coordadvice.c */
void coord_ask_advice(struct coord *coord, uint64_t now_ms);

/* coord.c */
/* Pause after a decision that took @took_ms, so that other events get their share of the time. */
uint64_t coord_decision_pause_ms(uint64_t took_ms);
void coord_on_loaded(struct coord *coord);
void coord_confirm_ends(struct coord *coord);
/* Applies the report of an agent that was kept until its key is stored. */
void coord_apply_pending(struct coord *coord, struct agent_row *row);
void coord_schedule_decision(struct coord *coord);
struct agent_row *coord_agent_row(struct coord *coord, const char *node);

#endif
