#ifndef JAYCOURSE_RUNNER_INT_H
#define JAYCOURSE_RUNNER_INT_H

#include "runner.h"

#include <glib.h>

/** DOC: Shared by the runner*.c files only */

enum run_state {
	RUN_ORDERED,  /* the start call is under way or due again */
	RUN_STARTED,  /* the worker has confirmed it */
	RUN_STOPPING, /* the stop call is under way or due again */
	RUN_REFUSED,
	RUN_CLOSED, /* stopped; the end of it, if it ever began, is listed by the worker */
};

struct run_row {
	struct runner *runner;
	char *key; /* task and run */
	char *task;
	uint32_t run;
	enum run_state state;
	enum plan_refusal why;
	char *payload;
	char *checkpoint;
	char *ticket;
	bool calling;
	uint32_t attempts;
	uint64_t retry_ms;
	uint64_t term;	       /* of the leader that ordered it */
	uint64_t confirmed_ms; /* when the start was confirmed; lists asked for earlier lack it */
	char *saved;
	uint32_t percent;
	bool listed;
	uint32_t life; /* of the worker; answers to calls of an earlier life are ignored */
};

struct runner {
	struct runner_deps deps;
	struct runner_calls calls;
	char *address;
	struct tevent_timer *timer;
	struct tevent_timer *report_timer;
	/* The worker. */
	char *worker; /* identifier, NULL before the first announcement */
	char *incarnation;
	char *zone;
	char *kind;
	char *rack;
	struct plan_resources room;
	uint32_t life;
	uint64_t born_ms;
	uint64_t sequence;
	uint64_t worker_clock_ms;   /* last reading */
	uint64_t clock_read_ms;	    /* own clock at that time */
	GHashTable *runs;	    /* key -> struct run_row */
	struct fleet_run_end *ends; /* last list, owned by ends_mem */
	size_t end_count;
	TALLOC_CTX *ends_mem;
	uint64_t ends_stored;
	uint64_t listed_ms; /* when the latest list came */
	uint64_t renew_sent_ms;
	uint64_t renew_due_ms;
	uint32_t renew_life;
	uint32_t unreachable; /* calls in a row that found nobody listening */
	/* The leader. */
	uint64_t term;
	char *leader_address;
	uint64_t granted_ms; /* sending time of the latest report that was answered */
	uint64_t heard_ms;   /* last orders */
	uint64_t reported_ms;
	uint64_t asked_ms; /* the store for the leader */
	uint32_t report_ms;
	bool accepting;
	bool alive;
	bool down;    /* it is certain that nothing runs; false while nothing is known */
	bool settled; /* a complete list was read in this life */
	bool renewing;
	bool connected;
	bool asking;
	bool leader_unsure; /* of its lead, by its latest orders */
};

/* runner.c */
void runner_report_soon(struct runner *r);
bool runner_granted(const struct runner *r);
uint64_t runner_lease_end(const struct runner *r);
void runner_read_clock(struct runner *r, uint64_t clock_ms);

/* runnerruns.c */
struct run_row *runner_find(const struct runner *r, const char *task, uint32_t run);
void runner_order(struct runner *r, const struct plan_order *order);
void runner_drop_abandoned(struct runner *r, const struct fleet_orders *orders);
void runner_handled(struct runner *r, const struct plan_run *run);
void runner_take_list(struct runner *r, const struct runner_list *list, uint64_t sent_ms);
bool runner_end_listed(const struct runner *r, const char *task, uint32_t run);
void runner_drive(struct runner *r, uint64_t now_ms);
void runner_new_life(struct runner *r);
void runner_new_term(struct runner *r);

#endif
