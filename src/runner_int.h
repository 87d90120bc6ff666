#ifndef JAYCOURSE_RUNNER_INT_H
#define JAYCOURSE_RUNNER_INT_H

#include "runner.h"

#include <glib.h>

/** DOC: Shared by the runner*.c files only */

enum run_state {
	RUN_ORDERED,  /* the start call is under way or due again */
	RUN_STARTED,  /* the worker has confirmed the start or listed the run */
	RUN_STOPPING, /* the stop call is under way or due again */
	RUN_REFUSED,  /* never began; reported until the leader acknowledges the refusal */
	RUN_CLOSED,   /* cannot begin any more; if it ever ran, the worker lists its end */
};

/* A run that was ordered by the leader or listed by the worker. */
struct run_row {
	struct runner *runner;
	char *key; /* task and run */
	char *task;
	uint32_t run;
	enum run_state state;
	enum plan_refusal refusal; /* valid in RUN_REFUSED */
	char *payload;
	char *checkpoint; /* the run starts from it */
	char *ticket;
	bool call_pending;
	uint32_t attempts; /* start calls so far */
	bool confirmed;	   /* the worker has confirmed or listed the run */
	bool maybe_begun;  /* a former process of the agent may have made such a call */
	uint64_t retry_ms;
	uint64_t term; /* of the leader that ordered the run */
	/* Time when the start or stop was confirmed; lists requested earlier may lack the run. */
	uint64_t confirmed_ms;
	char *saved_checkpoint; /* latest that the worker listed */
	uint32_t percent;
	bool listed; /* in the list that is being processed */
	/* Confirmed, but missing from the latest list, which does not show whether it has ended. */
	bool unaccounted;
	/* Copy of runner.generation; an answer is ignored when the two differ. 0: row dropped. */
	uint32_t generation;
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
	uint32_t generation; /* number of times that the state of the runs was reset, plus 1 */
	uint32_t enquiries;  /* announcements about which the worker is being asked */
	uint64_t worker_started_ms;
	uint64_t sequence;
	uint64_t worker_clock_ms;   /* last reading of the worker's clock */
	uint64_t clock_read_ms;	    /* util_running_ms() at that reading */
	GHashTable *runs;	    /* key -> struct run_row */
	struct fleet_run_end *ends; /* from the latest list, owned by ends_mem */
	size_t end_count;
	TALLOC_CTX *ends_mem;
	uint64_t ends_stored;
	uint64_t list_received_ms; /* time of the latest list */
	uint64_t renew_due_ms;
	uint64_t list_fence;	   /* of the call that returned the latest list */
	uint32_t renewals;	   /* number sent so far; only the answer to the latest counts */
	uint32_t connect_failures; /* calls in a row that found nothing listening */
	uint32_t contradictions;   /* since the latest list of the present incarnation */
	bool more_ends;		   /* see &struct runner_list; of the latest list */
	bool list_unreadable;
	bool renewal_failed; /* the latest one */
	/*
	 * A call with the end of a lease by the clock of the former incarnation may reach this one,
	 * whose clock started anew; the worker then shortens the lease to WORKER_LEASE_MAX_MS.
	 */
	bool lease_unknown;
	uint64_t long_lease_until_ms; /* end of the time in which such a lease is a longer one */
	/* The leader. */
	uint64_t term;
	char *leader_address;
	uint64_t session;	    /* given by the leader to this process; 0: none yet */
	uint32_t epoch;		    /* see runner_fence() */
	uint32_t report_ms;	    /* interval between reports */
	uint64_t authority_end_ms;  /* until then the orders allow starts and renewals */
	uint64_t leader_contact_ms; /* last orders, or last attempt to connect */
	uint64_t reported_ms;
	uint64_t leader_queried_ms; /* last read of the leader's record in the store */
	uint64_t down_ms;	    /* when @down became true */
	const char *why_down;	    /* constant */
	bool accepting;
	char *health_path;	/* by its orders; "" or NULL: the worker is not asked */
	uint64_t health_due_ms; /* no call for its health before */
	bool health_pending;
	uint32_t health_good; /* answers in a row, see struct plan_worker_info */
	uint32_t health_bad;
	uint32_t health_generation; /* value of @generation that they belong to */
	uint64_t leaves_ms; /* the worker drains and ends then or later; 0: it has not said so */
	bool alive;	    /* an incarnation has announced itself and is not known to have ended */
	bool down; /* certainly nothing runs on the worker; false while its state is unknown */
	/* Another incarnation has answered a call; until it is known which one, calls name none. */
	bool contradicted;
	bool renamed; /* that answer was of another identifier, otherwise of another start time */
	bool settled; /* a complete list was read from this incarnation */
	bool leaving; /* the worker shuts down for good */
	bool down_received; /* the leader has received a report of that */
	bool renewing;
	bool connected;
	bool leader_query_pending;
	bool closed;		 /* by its orders, nothing may be started on the worker now */
	bool leader_unconfirmed; /* by its orders, the store has not confirmed it for a while */
};

/* runner.c */
/* Sends a report after a short delay in which further changes can join it. */
void runner_schedule_report(struct runner *runner);
/* True while the leader's orders allow starts and renewals of the lease. */
bool runner_may_extend_lease(const struct runner *runner);
/* End of a lease that begins now, by the worker's clock. */
uint64_t runner_lease_end(const struct runner *runner);
void runner_read_clock(struct runner *runner, uint64_t clock_ms);
/**
 * runner_fence() - fence of calls to the worker
 *
 * It rises with the leader's term, with the session of the agent's process, and with the epoch.
 */
uint64_t runner_fence(const struct runner *runner);
/*
 * Begins an epoch: once the worker has answered a call of it, no earlier call has an effect on the
 * worker any more, nor on a later incarnation under the same identifier.
 */
void runner_begin_epoch(struct runner *runner, const char *why);
/* True if the worker takes starts. */
bool runner_accepts(const struct runner *runner);
/* True while the worker may have a longer lease than the leader expects. */
bool runner_lease_may_be_long(const struct runner *runner);

/* Makes the call that renews the lease and lists the runs, if it is due and none is under way. */
void runner_renew_if_due(struct runner *runner, uint64_t now_ms);

/* runnerworker.c */
/* Identifier that calls name, so that no other incarnation carries them out; NULL: none is known.
 */
const char *runner_named_worker(const struct runner *runner);
/*
 * Called first whenever a call has ended, also one that is not wanted any more: if whoever listens
 * has answered it, connections that were refused before prove nothing.
 */
void runner_list_call_ended(struct runner *runner, int status);
void runner_order_call_ended(struct runner *runner, enum runner_call_result result);
/*
 * Concludes what the answer to a call for a list says of the worker.
 * @named: the call named the present incarnation
 * @status: as in &runner_calls.renew
 * Return: true if the list is one of the present incarnation.
 */
bool runner_judge_answer(struct runner *runner, bool named, int status,
			 const struct runner_list *list);

/* runnerruns.c */
struct run_row *runner_find_row(const struct runner *runner, const char *task, uint32_t run);
void runner_apply_order(struct runner *runner, const struct plan_order *order);
void runner_drop_abandoned(struct runner *runner, const struct fleet_orders *orders);
/* The leader has recorded the refusal of @run, so it need not be reported any more. */
void runner_acknowledge_refusal(struct runner *runner, const struct plan_run *run);
/* @sent_ms: own clock when the list was requested */
void runner_apply_list(struct runner *runner, const struct runner_list *list, uint64_t sent_ms);
/* True if the latest list shows that the run has ended. */
bool runner_end_listed(const struct runner *runner, const char *task, uint32_t run);
void runner_make_due_calls(struct runner *runner, uint64_t now_ms);
/*
 * Forgets all that is known about runs, because the incarnation that ran them has ended.
 * @same_id: the next incarnation has the same identifier, so it may carry out calls that were sent
 *	to the former one; runs that may begin that way are stopped
 */
void runner_reset_incarnation(struct runner *runner, bool same_id);
void runner_drop_untried_starts(struct runner *runner);

#endif
