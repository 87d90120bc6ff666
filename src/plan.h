#ifndef JAYCOURSE_PLAN_H
#define JAYCOURSE_PLAN_H

#include "fleetconf.h"
#include "jobspec.h"

/**
 * DOC: Decides which task runs on which worker; the part of the scheduler without I/O
 *
 * The plan holds the jobs, tasks and workers that its caller reports and decides which tasks
 * to start and which to stop. It reads no clock, sends nothing and stores nothing. All times
 * are milliseconds of one clock of the caller, which must not go back. Strings passed in are
 * copied; strings returned are owned by the plan.
 */

struct plan;

enum plan_job_state {
	PLAN_JOB_QUEUED,
	PLAN_JOB_RUNNING,
	PLAN_JOB_COMPLETED,
	PLAN_JOB_FAILED,
	PLAN_JOB_CANCELLED,
};

/** plan_job_state_name() - text of a job state in records and logs; inverse of
 * plan_job_state_parse() */
const char *plan_job_state_name(enum plan_job_state state);
bool plan_job_state_parse(const char *text, enum plan_job_state *state);

/* How a run ended. */
enum plan_end {
	PLAN_END_DONE,
	PLAN_END_FAILED,  /* by a fault of the task or of the worker; counts as an attempt */
	PLAN_END_STOPPED, /* by a stop order of the leader */
	PLAN_END_LAPSED,  /* the worker's lease ran out */
	PLAN_END_BROKEN,  /* another member of the gang ended */
	PLAN_END_ALONE,	  /* waited too long for the other members of the gang */
	PLAN_END_CLOSED,  /* never began; the worker will not start this run number any more */
	PLAN_END_COUNT,
};

/* Why a worker refused a start. */
enum plan_refusal {
	PLAN_REFUSED_NO_ROOM,
	PLAN_REFUSED_UNHEALTHY,
	PLAN_REFUSED_STALE,	/* the worker has seen an equal or later run of the task */
	PLAN_REFUSED_NO_TICKET, /* the ticket of the advice service is missing or not valid */
	PLAN_REFUSED_OTHER,
	PLAN_REFUSED_COUNT,
};

/** struct plan_resources - resources that a worker offers or a task needs */
struct plan_resources {
	uint32_t cpu_milli;
	uint32_t memory_mb;
	uint32_t accelerators;
};

/**
 * struct plan_worker_info - what a worker reports about itself
 * @node: name of the host that the worker runs on
 * @id: identifier of the worker on the platform; stays the same over a restart
 * @incarnation: changes with each restart of the worker; after a restart nothing runs on it
 * @kind: kind of machine; a label that tasks may require
 * @accepting: false while the worker drains
 * @leaves: the worker drains and has said how much time is left, at least, until it ends with
 *	everything that runs on it
 * @remaining_ms: that time; only with @leaves
 * @health_good: answers in a row that say that the worker is healthy; 0: the latest did not, or
 *	there is none
 * @health_bad: the same for those that say that it is not
 */
struct plan_worker_info {
	const char *node;
	const char *id;
	const char *incarnation;
	const char *service;
	const char *zone;
	const char *kind;
	const char *rack;
	struct plan_resources room;
	bool accepting;
	bool leaves;
	uint32_t remaining_ms;
	uint32_t health_good;
	uint32_t health_bad;
};

/** PLAN_HEALTH_MAX - consecutive health answers are counted up to this number */
#define PLAN_HEALTH_MAX 1000

/** PLAN_REMAINING_MAX_MS - a longer time until a worker leaves counts as no notice */
#define PLAN_REMAINING_MAX_MS (1 << 30)

/** PLAN_RUN_MAX - no run has a higher number; the next ones still fit into 31 bits */
#define PLAN_RUN_MAX (1 << 30)

#define PLAN_PERCENT_MAX 100

/** struct plan_run - one run of a task, as its worker reports it */
struct plan_run {
	const char *task;
	uint32_t run;
	const char *checkpoint; /* "" for none */
	uint32_t percent;
};

/**
 * struct plan_params - time limits that the decisions use
 * @stop_ms: a stop takes at most this long
 * @stall_ms: a task without progress for this long counts as stalled, if ten of its percents take
 *	no longer
 * @urgent_stall_ms: takes the place of @stall_ms for a task of priority 0 that its worker's lists
 *	show without progress several times in a row; 0: @stall_ms counts for it too
 * @away_factor: tasks take this many times as long on several racks, or away from their data
 * @unavailable_after_ms: a long-running task that ended by itself counts as unavailable once it has
 *	not been at work for this long; one that was stopped counts at once
 */
struct plan_params {
	uint32_t stop_ms;
	uint32_t stall_ms;
	uint32_t urgent_stall_ms;
	double away_factor;
	uint32_t unavailable_after_ms;
};

/** plan_create() - an empty plan */
struct plan *plan_create(TALLOC_CTX *mem, const struct plan_params *params);

/* Why a run was given up before its worker reported an end or a refusal. */
enum plan_loss {
	PLAN_LOSS_WORKER,      /* its worker was lost or is down */
	PLAN_LOSS_INCARNATION, /* its worker reports as another incarnation */
	PLAN_LOSS_UNLISTED,    /* its worker's list lacks it */
	PLAN_LOSS_COUNT,
};

/** plan_on_loss() - call @lost for each run that is given up; its task waits again */
void plan_on_loss(struct plan *plan,
		  void (*lost)(const char *task, uint32_t run, const char *node,
			       enum plan_loss loss, void *ctx),
		  void *ctx);

/* Why a run is stopped so that its task runs elsewhere. */
enum plan_move_reason {
	PLAN_MOVE_LEAVES,  /* its worker leaves */
	PLAN_MOVE_STALLED, /* it makes no progress */
	PLAN_MOVE_SLOW,	   /* its worker is slow */
	PLAN_MOVE_COUNT,
};

/** plan_move_name() - text of a reason in metrics */
const char *plan_move_name(enum plan_move_reason why);

/**
 * struct plan_move - a run that is stopped, with the other members of its gang, to be moved
 * @left_ms: expected time until it would have ended; UINT64_MAX for a long-running task
 * @lost_ms: time that it has run since it began, if its work is not saved by the stop
 */
struct plan_move {
	const char *task;
	uint32_t run;
	const char *node;
	enum plan_move_reason why;
	uint64_t left_ms;
	uint64_t lost_ms;
};

/** plan_on_move() - call @moved for each run that is moved, once for a gang */
void plan_on_move(struct plan *plan, void (*moved)(const struct plan_move *move, void *ctx),
		  void *ctx);

/* What speaks against a worker. */
enum plan_evidence {
	PLAN_EVIDENCE_STALL,
	PLAN_EVIDENCE_SLOW,
	PLAN_EVIDENCE_FAILURE,
	PLAN_EVIDENCE_REFUSAL,
	PLAN_EVIDENCE_HEALTH, /* several bad health answers in a row */
	PLAN_EVIDENCE_COUNT,
};

/** plan_evidence_name() - text of a kind in logs */
const char *plan_evidence_name(enum plan_evidence kind);

/**
 * plan_on_evidence() - call @judged when a worker becomes suspected and when it no longer is
 *
 * @latest is the kind of the latest evidence, @weight the sum of all that has not decayed.
 */
void plan_on_evidence(struct plan *plan,
		      void (*judged)(const char *node, bool suspected, enum plan_evidence latest,
				     double weight, void *ctx),
		      void *ctx);

/** plan_count_suspected() - number of workers that are suspected now */
uint32_t plan_count_suspected(const struct plan *plan);

/* Why a step that could start waits. */
enum plan_wait {
	PLAN_WAIT_NONE,		 /* it doesn't wait, or its reason has not been looked for yet */
	PLAN_WAIT_FORMER_LEADER, /* its tasks may run already, started by a former leader */
	PLAN_WAIT_HELD,		 /* see plan_release_held() */
	PLAN_WAIT_QUEUE,	 /* its queue is neither in the configuration nor in its record */
	PLAN_WAIT_MEMBERS,	 /* members of its last run have not ended */
	PLAN_WAIT_RETRY,	 /* a task failed a short time ago */
	PLAN_WAIT_ORPHAN,	 /* an earlier run of a task has to be stopped */
	PLAN_WAIT_WORKERS,	 /* no worker could hold a task, even without load */
	PLAN_WAIT_ADVICE,	 /* no worker with a valid ticket */
	PLAN_WAIT_ROOM,		 /* no room */
	PLAN_WAIT_RACK,		 /* room, but not in one rack */
	PLAN_WAIT_DATA_RACK,	 /* room, but not in the rack of its data */
	PLAN_WAIT_RESERVED,	 /* room, but reserved for a more urgent step */
	PLAN_WAIT_HEADROOM,	 /* room, but kept free for urgent jobs */
	PLAN_WAIT_PAUSE,	 /* room, but on workers that are suspect or slow */
	PLAN_WAIT_EVACUATED,	 /* room, but in zones that operators have evacuated */
	PLAN_WAIT_COUNT,
};

/** plan_wait_name() - text of a reason in metrics */
const char *plan_wait_name(enum plan_wait reason);

/**
 * plan_on_wait() - call @waits when the reason why a step waits has changed
 *
 * Called for steps that have waited for at least a second, at most once a second for each of them.
 * @step is the job's id, the occurrence and the number of the step, joined by dots.
 */
void plan_on_wait(struct plan *plan,
		  void (*waits)(const char *step, enum plan_wait reason, const char *text,
				void *ctx),
		  void *ctx);

/** plan_count_waits() - number of waiting steps by reason; @counts has PLAN_WAIT_COUNT entries */
void plan_count_waits(const struct plan *plan, uint32_t *counts);

/* Why a run was stopped to make room. */
enum plan_evict_reason {
	PLAN_EVICT_GUARANTEE, /* for a job within the guarantee of its organisation */
	PLAN_EVICT_URGENT,    /* for another job of priority 0 */
	PLAN_EVICT_LATENCY,   /* a filler, for a task with a latency target */
	PLAN_EVICT_COUNT,
};

/** plan_evict_reason_name() - text of a reason in metrics */
const char *plan_evict_reason_name(enum plan_evict_reason reason);

/**
 * struct plan_eviction - a run that is stopped to make room
 * @step: for which room is made; the job's id, the occurrence and the number of the step
 * @age_ms: since its start was decided
 * @before: former evictions of the task that this leader knows of
 * @known: the job that room is made for had been accepted when the run began
 */
struct plan_eviction {
	const char *task;
	uint32_t run;
	const char *node;
	const char *step;
	enum plan_evict_reason reason;
	uint64_t age_ms;
	uint32_t before;
	bool known;
};

/** plan_on_evict() - call @evicted for each run that is evicted, each member of a gang alone */
void plan_on_evict(struct plan *plan,
		   void (*evicted)(const struct plan_eviction *eviction, void *ctx), void *ctx);
/**
 * struct plan_headroom - what is kept free for urgent jobs
 * @workers: number of workers that jobs of lower priority leave free
 * @accelerators: that urgent jobs are expected to use at a time
 */
struct plan_headroom {
	uint32_t workers;
	double accelerators;
};

/** plan_headroom() - what the latest plan_decide() keeps free */
struct plan_headroom plan_headroom(const struct plan *plan);

/**
 * plan_share_excess() - what an organisation uses above its fair share, as a part of the share
 *
 * Of the service where it is most above. 0: at or below its share, or no other organisation waits.
 */
double plan_share_excess(const struct plan *plan, const char *organisation);

/**
 * struct plan_share_peak - the organisation that is most above its share
 * @organisation: "" if none is above
 */
struct plan_share_peak {
	const char *organisation;
	double excess;
};

/** plan_share_peak() - as of the latest time that waiting steps were ordered */
struct plan_share_peak plan_share_peak(const struct plan *plan);

/** plan_configure() - replace the configuration; @conf is borrowed until the next call */
void plan_configure(struct plan *plan, const struct fleetconf *conf);

/**
 * plan_set_zone_closed() - start nothing in a zone any more, or again
 *
 * What runs there goes on. Starts there that no worker has confirmed are withdrawn by the next
 * plan_decide().
 */
void plan_set_zone_closed(struct plan *plan, const char *zone, bool closed);

/** plan_health_path() - path of the health answers of a worker's service; "" if it has none */
const char *plan_health_path(const struct plan *plan, const char *node);

/** plan_worker_closed() - true while the zone of a worker is closed */
bool plan_worker_closed(const struct plan *plan, const char *node);

/**
 * struct plan_zone - a zone with workers
 * @tasks: that are assigned to its workers
 */
struct plan_zone {
	const char *name;
	bool closed;
	uint32_t workers;
	uint32_t tasks;
};

/** plan_zones() - zones of the workers that are present; the array is owned by @mem */
size_t plan_zones(const struct plan *plan, TALLOC_CTX *mem, struct plan_zone **out);

/**
 * struct plan_job_info - an accepted job
 * @last_queue: its queue when the job was accepted; copied. A queue that has been renamed is found
 *	by it, and the job goes on by its settings where the queue was removed. NULL: not known
 * @spec: taken over with talloc_steal()
 * @accepted_ms: on the plan's clock
 * @wall_offset_ms: time since 1970 minus the plan's clock, to convert due times
 * @inherited: accepted under a former leader, so its tasks may be running already; none of
 *	them is started before plan_recovery_done()
 * @held: none of its tasks is started before plan_release_held()
 */
struct plan_job_info {
	const char *id;
	const char *queue;
	const struct fleetconf_queue *last_queue;
	const char *organisation;
	struct jobspec *spec;
	uint64_t accepted_ms;
	int64_t wall_offset_ms;
	bool inherited;
	bool held;
};

/** plan_job_add() - add a job; if its id is known already, only free the spec */
void plan_job_add(struct plan *plan, const struct plan_job_info *info);

/**
 * plan_job_restore() - continue a job from a stored record that plan_job_record() made
 *
 * Return: 0, or -ERR_NOT_FOUND when the plan does not have the job, or -ERR_INVALID when the
 * record is malformed; the job then starts from the beginning.
 */
int plan_job_restore(struct plan *plan, const char *id, const json_t *record);

/**
 * plan_job_record() - state of a job that must survive a loss of all hosts
 *
 * Return: a new reference, or NULL for an unknown job.
 */
json_t *plan_job_record(const struct plan *plan, const char *id);

/** plan_job_cancel() - cancel a job and stop its tasks; no effect on unknown and ended jobs */
void plan_job_cancel(struct plan *plan, const char *id);

/**
 * plan_job_remove() - remove an ended job
 *
 * Return: false if the job is unknown or has not ended, or if a task of it still runs.
 */
bool plan_job_remove(struct plan *plan, const char *id);

/** plan_job_known() - true if the plan has the job; *@state is then set */
bool plan_job_known(const struct plan *plan, const char *id, enum plan_job_state *state);

/** plan_count_pending() - number of unfinished jobs in a queue of which no task has begun */
uint32_t plan_count_pending(const struct plan *plan, const char *queue);

/**
 * plan_take_dirty() - next job whose record has changed since the last call that returned it
 *
 * Return: the job's id, valid until the job is removed, or NULL.
 */
const char *plan_take_dirty(struct plan *plan);

/** plan_mark_dirty() - mark a job's record as not stored, after a failed write */
void plan_mark_dirty(struct plan *plan, const char *id);

/**
 * plan_recovery_done() - let inherited jobs start
 *
 * To be called when all runs that the former leader started have been reported.
 */
void plan_recovery_done(struct plan *plan);

/** plan_release_held() - let all jobs that were added as held start */
void plan_release_held(struct plan *plan);

/** plan_set_min_run() - number all later runs @run or higher */
void plan_set_min_run(struct plan *plan, uint32_t run);

/** plan_worker_update() - add or update a worker; a new incarnation drops its former runs */
void plan_worker_update(struct plan *plan, const struct plan_worker_info *info, uint64_t now_ms);

/** plan_worker_lost() - drop all runs of a worker; it gets no tasks until it reports again */
void plan_worker_lost(struct plan *plan, const char *node, uint64_t now_ms);

/**
 * plan_worker_running() - a worker reports a run; a run that belongs to no task is stopped
 * @list_ms: when the worker made its list of runs; a list may be reported more than once
 */
void plan_worker_running(struct plan *plan, const char *node, const struct plan_run *run,
			 uint64_t list_ms);

/**
 * plan_worker_pending() - a run that its worker has neither confirmed nor listed may still begin
 *
 * Reported like a run of the worker's list, but the task does not count as running.
 */
void plan_worker_pending(struct plan *plan, const char *node, const struct plan_run *run,
			 uint64_t list_ms);

/** plan_worker_ended() - a worker reports the end of a run; repeated reports are ignored */
void plan_worker_ended(struct plan *plan, const char *node, const struct plan_run *run,
		       enum plan_end end, uint64_t now_ms);

/** plan_worker_refused() - a worker refused a start; the run number will not be used again */
void plan_worker_refused(struct plan *plan, const char *node, const struct plan_run *run,
			 enum plan_refusal refusal, uint64_t now_ms);

/**
 * plan_worker_list_end() - all runs of a worker's list have been reported
 * @complete: the list and the reported ends together name every run that the worker has started
 *	and whose end is not stored
 *
 * Confirmed runs that are missing from a complete list are taken for lost; their tasks wait again.
 * A run that is missing from another list may have ended, also as done. Its task stays with the
 * worker until the end is reported or a complete list lacks the run.
 */
void plan_worker_list_end(struct plan *plan, const char *node, bool complete, uint64_t list_ms);

/** struct plan_order - a start or a stop; repeated until the worker has confirmed it */
struct plan_order {
	bool start;	 /* false: stop */
	bool first_time; /* returned by plan_orders() for the first time */
	const char *task;
	uint32_t run;
	const char *payload;	 /* of a start */
	const char *checkpoint;	 /* of a start */
	const char *ticket;	 /* of a start; "" where none is needed */
	bool maybe_begun;	 /* of a start; an earlier process of the agent may have tried it */
	const char *stop_reason; /* of a stop; reason in words */
	uint64_t waited_ms;	 /* of a start; time since its step was ready */
};

/**
 * plan_orders() - unconfirmed orders of a worker
 *
 * The array is owned by @mem; its strings are valid until the plan changes.
 */
size_t plan_orders(struct plan *plan, TALLOC_CTX *mem, const char *node, struct plan_order **out);

/** plan_worker_occupied() - true while a run on the worker is ordered, reported or to be stopped */
bool plan_worker_occupied(const struct plan *plan, const char *node);

/** plan_agent_replaced() - another process now carries out the orders of a worker */
void plan_agent_replaced(struct plan *plan, const char *node);

/**
 * plan_decide() - decide which tasks to start and stop now
 * @changed: called with each node whose orders have changed
 *
 * Return: milliseconds until the next call is due if nothing is reported before, at most 1000.
 */
uint32_t plan_decide(struct plan *plan, uint64_t now_ms,
		     void (*changed)(const char *node, void *ctx), void *ctx);

/**
 * struct plan_advice_query - question to the advice service which workers may run a step
 * @step: job id, occurrence and number of the step, joined by dots
 * @workers: identifiers of @count workers
 */
struct plan_advice_query {
	const char *step;
	const char **workers;
	size_t count;
};

/** struct plan_advice_row - a worker that may run the step, and the ticket for starts on it */
struct plan_advice_row {
	const char *worker;
	const char *ticket;
};

/**
 * plan_advice_wanted() - the most urgent step that needs advice
 *
 * Valid after plan_decide(). The step is not returned again before plan_advice_take() or
 * plan_advice_failed(). Everything in @query is owned by @mem.
 *
 * Return: false when no step needs advice.
 */
bool plan_advice_wanted(struct plan *plan, TALLOC_CTX *mem, uint64_t now_ms,
			struct plan_advice_query *query);

/**
 * plan_advice_take() - apply an answer; workers of @query without a row may not run the step
 * @until_ms: end of the validity of the tickets
 */
void plan_advice_take(struct plan *plan, const struct plan_advice_query *query,
		      const struct plan_advice_row *rows, size_t count, uint64_t until_ms);

/** plan_advice_failed() - the query failed; the step may be returned again from @retry_ms on */
void plan_advice_failed(struct plan *plan, const char *step, uint64_t retry_ms);

/** plan_explain_job() - one line on why a job is in its state, for users; owned by @mem */
char *plan_explain_job(const struct plan *plan, TALLOC_CTX *mem, const char *id);

#endif
