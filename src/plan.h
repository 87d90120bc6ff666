#ifndef JAYCOURSE_PLAN_H
#define JAYCOURSE_PLAN_H

#include "fleetconf.h"
#include "jobspec.h"

/**
 * DOC: Which task runs where: the pure part of the scheduler
 *
 * The plan holds the jobs, the tasks and the workers that its owner tells it about and
 * decides what to start and what to stop. It reads no clock, sends nothing and stores
 * nothing; times are milliseconds of one clock of the caller, which must not go back.
 * Strings passed in are copied, strings handed out are owned by the plan.
 */

struct plan;

enum plan_job_state {
	PLAN_JOB_QUEUED,
	PLAN_JOB_RUNNING,
	PLAN_JOB_COMPLETED,
	PLAN_JOB_FAILED,
	PLAN_JOB_CANCELLED,
};

/** plan_state_name() - text of a state in records and logs; plan_state_parse() reverses it */
const char *plan_state_name(enum plan_job_state state);
bool plan_state_parse(const char *text, enum plan_job_state *state);

/* How a run ended. */
enum plan_end {
	PLAN_END_DONE,
	PLAN_END_FAILED,  /* by its own fault or the worker's: counts as an attempt */
	PLAN_END_STOPPED, /* on our order */
	PLAN_END_LAPSED,  /* the worker's lease ran out */
	PLAN_END_BROKEN,  /* another member of the gang ended */
	PLAN_END_ALONE,	  /* waited too long for the other members */
	PLAN_END_CLOSED,  /* never began, and never will under this run number */
	PLAN_END_COUNT,
};

/* Why a worker refused a start. */
enum plan_refusal {
	PLAN_REFUSED_NO_ROOM,
	PLAN_REFUSED_UNHEALTHY,
	PLAN_REFUSED_STALE,	/* an equal or later run was seen there */
	PLAN_REFUSED_NO_TICKET, /* the ticket of the advice service does not hold */
	PLAN_REFUSED_OTHER,
	PLAN_REFUSED_COUNT,
};

/** struct plan_room - what a worker has or a task takes */
struct plan_room {
	uint32_t cpu_milli;
	uint32_t memory_mb;
	uint32_t accelerators;
};

/**
 * struct plan_worker_info - what a worker says of itself
 * @node: name of the host that the worker runs on
 * @id: what the platform calls the worker; stays the same over a restart
 * @incarnation: changes with each life of the worker; a new life runs nothing
 * @kind: kind of machine; a label that tasks may ask for
 * @accepting: false while the worker drains
 */
struct plan_worker_info {
	const char *node;
	const char *id;
	const char *incarnation;
	const char *service;
	const char *zone;
	const char *kind;
	const char *rack;
	struct plan_room room;
	bool accepting;
};

/** struct plan_run - one run of a task on a worker, as the worker lists it */
struct plan_run {
	const char *task;
	uint32_t run;
	const char *checkpoint; /* "" for none */
	uint32_t percent;
};

/**
 * struct plan_params - bounds that the decisions observe
 * @stop_ms: a stop takes at most this long
 * @stall_ms: a task without progress for this long is taken for stuck
 */
struct plan_params {
	uint32_t stop_ms;
	uint32_t stall_ms;
};

/** plan_create() - an empty plan */
struct plan *plan_create(TALLOC_CTX *mem, const struct plan_params *params);

/** plan_configure() - use a configuration from now on; borrowed until the next call */
void plan_configure(struct plan *plan, const struct fleetconf *conf);

/**
 * struct plan_job_info - an accepted job
 * @spec: taken over with talloc_steal()
 * @accepted_ms: on the plan's clock
 * @wall_offset_ms: time since 1970 less the plan's clock, for due times
 * @inherited: accepted under another leader, so its tasks may be running already; nothing of
 *	it starts before plan_settle()
 */
struct plan_job_info {
	const char *id;
	const char *queue;
	const char *organisation;
	struct jobspec *spec;
	uint64_t accepted_ms;
	int64_t wall_offset_ms;
	bool inherited;
};

/** plan_job_add() - add a job; a job that is known already is left alone, @spec freed */
void plan_job_add(struct plan *plan, const struct plan_job_info *info);

/**
 * plan_job_restore() - continue from a stored record of plan_job_record()
 *
 * Return: 0, or -ERR_INVALID when the record is malformed; the job then starts from nothing.
 */
int plan_job_restore(struct plan *plan, const char *id, const json_t *record);

/** plan_job_record() - what must survive a loss of all hosts; a new reference or NULL */
json_t *plan_job_record(const struct plan *plan, const char *id);

/** plan_job_cancel() - stop a job for good; unknown and ended jobs are left alone */
void plan_job_cancel(struct plan *plan, const char *id);

/** plan_job_remove() - forget an ended job of which nothing runs; false if it is not one */
bool plan_job_remove(struct plan *plan, const char *id);

/** plan_job_known() - true, with its state, if the plan has the job */
bool plan_job_known(const struct plan *plan, const char *id, enum plan_job_state *state);

/** plan_pending() - jobs of a queue of which nothing has started */
uint32_t plan_pending(const struct plan *plan, const char *queue);

/**
 * plan_take_dirty() - next job whose record has changed since it was taken last
 *
 * Return: the job's id, valid until the job is removed, or NULL.
 */
const char *plan_take_dirty(struct plan *plan);

/** plan_mark_dirty() - the record of a job could not be stored */
void plan_mark_dirty(struct plan *plan, const char *id);

/** plan_settle() - all runs of the time before are known; inherited jobs may start */
void plan_settle(struct plan *plan);

/** plan_run_floor() - runs that begin from now on are numbered from @run on, or higher */
void plan_run_floor(struct plan *plan, uint32_t run);

/** plan_worker_update() - add a worker or take over what it says; a new life loses its runs */
void plan_worker_update(struct plan *plan, const struct plan_worker_info *info, uint64_t now_ms);

/** plan_worker_lost() - nothing runs on the worker any more and it takes no work */
void plan_worker_lost(struct plan *plan, const char *node, uint64_t now_ms);

/**
 * plan_worker_running() - a worker lists a run; one that should not be there is stopped
 * @list_ms: when the worker made the list; a list may be reported more than once
 */
void plan_worker_running(struct plan *plan, const char *node, const struct plan_run *run,
			 uint64_t list_ms);

/** plan_worker_ended() - a worker lists the end of a run; repeated ends are ignored */
void plan_worker_ended(struct plan *plan, const char *node, const struct plan_run *run,
		       enum plan_end how, uint64_t now_ms);

/** plan_worker_refused() - a worker refused a start; the run number will not be used again */
void plan_worker_refused(struct plan *plan, const char *node, const struct plan_run *run,
			 enum plan_refusal why, uint64_t now_ms);

/**
 * plan_worker_listed() - the list of a worker's runs is complete
 *
 * Runs that were confirmed before and are not in the list any more are gone.
 */
void plan_worker_listed(struct plan *plan, const char *node, uint64_t list_ms);

/** struct plan_order - what a worker is to do; repeated until the worker has confirmed it */
struct plan_order {
	bool start; /* false: stop */
	bool fresh; /* handed out for the first time */
	const char *task;
	uint32_t run;
	const char *payload;	/* of a start */
	const char *checkpoint; /* of a start */
	const char *ticket;	/* of a start, "" where none is needed */
	const char *why;	/* of a stop, for people */
	uint64_t waited_ms;	/* of a start: since its step could begin */
};

/** plan_orders() - open orders of a worker; array and strings valid until the next change */
size_t plan_orders(struct plan *plan, TALLOC_CTX *mem, const char *node, struct plan_order **out);

/**
 * plan_decide() - decide what to start and stop now
 * @changed: called with each node whose orders have changed
 *
 * Return: milliseconds until it is worth deciding again without news, at most 1000.
 */
uint32_t plan_decide(struct plan *plan, uint64_t now_ms,
		     void (*changed)(const char *node, void *ctx), void *ctx);

/**
 * struct plan_advice_query - which of these workers may run a step?
 * @step: job, occurrence and number of the step
 * @workers: identifiers of @count workers
 */
struct plan_advice_query {
	const char *step;
	const char **workers;
	size_t count;
};

/** struct plan_advice_row - a worker that may run the step, and the ticket its starts carry */
struct plan_advice_row {
	const char *worker;
	const char *ticket;
};

/**
 * plan_advice_wanted() - the next step that waits for advice, most urgent first
 *
 * Valid after plan_decide(). The step is not named again before plan_advice_take() or
 * plan_advice_failed(). Everything in @query is owned by @mem.
 *
 * Return: false when no step waits for advice.
 */
bool plan_advice_wanted(struct plan *plan, TALLOC_CTX *mem, uint64_t now_ms,
			struct plan_advice_query *query);

/**
 * plan_advice_take() - take over an answer; workers of @query that have no row may not run it
 * @until_ms: the tickets hold until then
 */
void plan_advice_take(struct plan *plan, const struct plan_advice_query *query,
		      const struct plan_advice_row *rows, size_t count, uint64_t until_ms);

/** plan_advice_failed() - no answer; the step is named again from @retry_ms on */
void plan_advice_failed(struct plan *plan, const char *step, uint64_t retry_ms);

/**
 * plan_explain() - why a job is in its state, one line for people; owned by @mem
 */
char *plan_explain(const struct plan *plan, TALLOC_CTX *mem, const char *id);

#endif
