#ifndef JAYCOURSE_PLAN_INT_H
#define JAYCOURSE_PLAN_INT_H

#include "plan.h"
#include "plandemand.h"

#include <glib.h>

/** DOC: Declarations shared by the plan*.c files only */

#define TASK_NAME_MAX 64 /* 16 digits of the job id and three numbers */

enum task_state {
	TASK_WAITING,
	TASK_STARTING, /* ordered, but not confirmed by the worker */
	TASK_RUNNING,
	TASK_STOPPING,
	TASK_DONE,
};

/* Failed runs from @first to @last; no other run of the task with a number between them exists. */
struct run_range {
	uint32_t first;
	uint32_t last;
	uint32_t count;
};

#define LATEST_RUNS_MAX 16 /* numbers that a leader of an earlier release can read */

/*
 * The runs whose failure was counted; a failure may be reported more than once. Ranges keep the
 * set small however many attempts a queue allows.
 */
struct run_set {
	struct run_range *ranges; /* in ascending order */
	uint32_t range_count;
	uint32_t count;			  /* of failed runs in all ranges */
	uint32_t latest[LATEST_RUNS_MAX]; /* in the order in which they were counted */
	uint32_t latest_count;
};

struct task {
	struct step_run *step;
	uint32_t index;
	enum task_state state;
	uint32_t run;		   /* number of the latest run */
	uint32_t ended_run;	   /* this run and all earlier ones have ended */
	uint32_t own_run;	   /* number of the latest run that this plan started; 0: none */
	uint32_t previous_own_run; /* the one before it; the task has no run between them */
	struct worker *worker;
	struct task *next_on_worker;
	char *checkpoint;
	uint32_t saved_percent; /* progress when the checkpoint was taken */
	uint32_t percent;
	uint64_t progress_ms; /* when @percent or the checkpoint last changed */
	uint64_t percent_changed_ms;
	uint64_t still_list_ms; /* latest list that was counted for @still_lists */
	uint32_t still_lists;  /* lists in a row that showed no progress, its gang being complete */
	uint32_t base_percent; /* when the present run was first listed, or its checkpoint was taken
				*/
	uint64_t percent_ms;   /* that the latest percent took, on any worker; 0: not known yet */
	uint32_t
		stalls; /* workers in a row on which it stood still at @stalled_percent or before */
	const struct worker *stalled_on; /* the latest of them */
	uint32_t stalled_percent;
	uint64_t sample_ms; /* start of the current speed sample; 0: none */
	uint32_t sample_percent;
	bool sample_aligned; /* the sample began when @percent changed */
	double speed; /* percent per millisecond over the last complete sample; below 0: none yet */
	double best_speed;     /* of all samples so far, on any worker */
	uint32_t slow_samples; /* number in a row */
	uint32_t evictions;    /* of its runs, that this leader has decided */
	uint64_t began_ms;     /* start of the latest run */
	struct run_set failures;
	uint64_t retry_after_ms; /* the task is not started before this time */
	uint32_t short_runs;	 /* of a lasting task, in a row */
	/* When a lasting task that was at work ended by itself; 0: it is at work, has not been yet,
	 * or an order has ended it since. */
	uint64_t own_end_ms;
	/* When its current run was taken over, from a former leader or after it counted as lost; 0:
	 * it was started by this leader. */
	uint64_t adopted_ms;
	uint64_t displaced_ms;	 /* when a lasting task was last stopped for another; 0: never */
	bool reclaimable;	 /* see plan_mark_reclaimable() */
	uint64_t assigned_ms;	 /* when its present run was decided or taken over */
	double evicted_work;	 /* core-seconds lost by its evictions */
	struct worker *avoid;	 /* where it last failed, stalled or was slow */
	const char *stop_reason; /* in words */
	uint64_t waited_ms;
	bool listed;	  /* seen in the worker's list that is being read */
	bool done_before; /* an earlier run is done; the current one is stopped */
	bool maybe_begun; /* a replaced process of the agent may have started the run */
	enum task_state ordered_state; /* state at the last order that plan_orders() returned */
	char name[TASK_NAME_MAX];
};

/* Why a step waits, as of the latest look at it. */
struct step_wait {
	enum plan_wait reason;
	uint64_t since_ms;    /* the reason holds */
	uint64_t checked_ms;  /* latest look; 0: none */
	uint64_t reported_ms; /* latest call of plan.on_wait; 0: none */
	uint32_t room;	      /* waiting tasks for which there is room now, no preference kept */
	uint32_t room_kept;   /* the same, with all preferences kept */
	uint32_t urgent_accelerators; /* that urgent jobs are expected to use */
	char held_for[TASK_NAME_MAX]; /* step that room is reserved for; "": none */
	uint64_t began_ms;	      /* its tasks wait to be placed; 0: not looked at yet */
	uint64_t roomy_since_ms; /* the step has room on a service that is half empty; 0: has not */
	uint64_t roomy_seen_ms;	 /* latest decision that found it so */
	uint64_t priced_ms;	 /* when the wait for a rack was weighed last; 0: never */
	bool rack_too_late;	 /* a wait for a rack would cost more than it saves */
};

/* One step of one occurrence. */
struct step_run {
	struct occurrence *occurrence;
	const struct jobspec_step *spec;
	uint32_t number;
	struct task *tasks; /* array of spec->count */
	uint32_t done;
	uint32_t waiting;
	struct run_set gang_failures;
	GHashTable *advice;	  /* incarnation of a worker -> struct advice; NULL: none yet */
	bool advice_pending;	  /* a query is under way */
	uint64_t ask_after_ms;	  /* no query is made before this time */
	uint64_t ready_ms;	  /* when the steps it depends on had ended; 0: not yet */
	uint64_t measured_run_ms; /* of its latest task that was done in one run; 0: none yet */
	bool demand_counted;	  /* plan.demand has taken its arrival into account */
	struct step_wait wait;
	uint64_t room_made_until_ms; /* the room that stops make for it is expected by then */
};

struct occurrence {
	struct job *job;
	struct occurrence *next;
	struct occurrence *prev;
	uint32_t number;
	struct step_run *steps;
	size_t steps_left;
	uint64_t due_ms; /* on the plan's clock */
};

struct job {
	char *id;
	char *queue_name;
	/* Copy of its queue as it was last in the configuration; NULL: not known. */
	struct fleetconf_queue *last_queue;
	char *organisation;
	struct jobspec *spec;
	/* In the configuration; @last_queue if it was removed; NULL: not known. */
	const struct fleetconf_queue *queue;
	uint64_t accepted_ms;
	int64_t wall_offset_ms;
	bool inherited;
	bool held;    /* see plan_release_held() */
	bool started; /* a task has begun, or may have: a refused start is none */
	bool dirty;
	bool queued_dirty; /* the job is in plan.dirty */
	enum plan_job_state state;
	uint32_t created;  /* number of occurrences created so far */
	uint32_t finished; /* number of occurrences that have ended */
	uint32_t overdue;  /* number that are due, but were not created in the latest decision */
	uint32_t next_run;
	uint64_t checkpoint_ms;		/* when a checkpoint last made the record change */
	struct occurrence *occurrences; /* unfinished ones, in the order of their creation */
	struct occurrence *last_occurrence;
	GHashTable *occurrences_by_number;
	bool evicts_protected;	     /* see plan_is_protected(); only while room is made for it */
	bool guaranteed;	     /* within the accelerators promised to its organisation */
	struct share_row *share_row; /* of planshare.c; set by plan_share_update() */
};

/* A run that a worker reports but that no task is assigned to; it has to be stopped. */
struct orphan_run {
	struct orphan_run *next;
	char *task;
	uint32_t run;
	bool listed;
	bool order_sent;
};

struct worker {
	char *node;
	char *id;
	char *incarnation;
	char *service;
	char *zone;
	char *kind;
	char *rack;
	struct plan_resources room;
	struct plan_resources used;
	bool present;
	bool offers_room;   /* by its own report */
	bool accepting;	    /* offers_room, and its zone is not closed */
	uint64_t leaves_ms; /* it drains and ends with all its runs at this time or later; 0: no
			       notice */
	struct task *tasks;
	struct orphan_run *orphans;
	uint64_t backoff_until_ms; /* no new tasks before, after a refused start */
	uint64_t last_report_ms;   /* time of the latest report */
	uint64_t last_list_ms;	   /* when the worker made its latest list of runs */
	bool silent; /* no report for worker_silence_limit_ms(); set by each plan_decide() */
	uint64_t suspect_until_ms; /* no new tasks before, after failures or a stall */
	uint64_t slow_until_ms;	   /* no new tasks before, after slow samples */
	uint64_t last_failure_ms;  /* when a task last failed or stood still on it; 0: never */
	uint32_t suspicions;	   /* times it became suspect since the last success */
	double evidence;	   /* weight at @evidence_ms of what speaks against it */
	uint64_t evidence_ms;
	/* When a run or a refusal last spoke against it, not a health answer; 0: never. */
	uint64_t bad_evidence_ms;
	enum plan_evidence latest_evidence;
	uint32_t health_good; /* consecutive answers as last reported */
	uint32_t health_bad;
	bool suspected;		 /* by the weight of its evidence */
	uint32_t failure_streak; /* failures since the last success; once per job in a row */
	const struct job *last_failed_job;
	const struct step_run *reserved_for; /* set during plan_decide() */
	uint64_t reserved_until_ms;	     /* that step can't begin before; 0: not lent */
	bool reserved_firm;		     /* room is being made there for that step */
	bool kept_free;			     /* for urgent jobs; set by each plan_decide() */
	bool changed; /* its orders have changed since the last plan_decide() */
};

struct plan {
	struct plan_params params;
	const struct fleetconf *conf;
	GHashTable *closed_zones; /* names; NULL: none was ever closed */
	GHashTable *jobs;	  /* id -> struct job, in no order */
	GPtrArray *active;	  /* struct job: all that are not removed */
	GPtrArray *workers;
	GQueue dirty;		  /* struct job */
	bool has_held;		  /* a job may be held */
	GHashTable *orphan_tasks; /* names of tasks with orphan runs; only during plan_decide() */
	bool has_done_before; /* a task may have ended as done in a run that is not its current one
			       */
	bool recovered;	      /* the runs of the former leader are known */
	uint32_t min_run;     /* lowest number for new runs */
	void (*on_loss)(const char *task, uint32_t run, const char *node, enum plan_loss loss,
			void *ctx);
	void *on_loss_ctx;
	void (*on_evidence)(const char *node, bool suspected, enum plan_evidence latest,
			    double weight, void *ctx);
	void *on_evidence_ctx;
	void (*on_move)(const struct plan_move *move, void *ctx);
	void *on_move_ctx;
	/* Service whose use was measured last, and its share in use; NULL: measure it again. */
	const char *use_service;
	double use_share;
	uint64_t displaced_ms; /* latest of all tasks */
	bool has_protected;    /* some task was evicted PLAN_EVICTIONS_MAX times */
	void (*on_evict)(const struct plan_eviction *eviction, void *ctx);
	void *on_evict_ctx;
	uint64_t waits_checked_ms; /* latest plan_update_waits() that looked at the steps */
	struct plan_demand *demand;
	struct plan_shares *shares;
	struct plan_headroom headroom; /* of the latest plan_decide() */
	void (*on_wait)(const char *step, enum plan_wait reason, const char *text, void *ctx);
	void *on_wait_ctx;
};

/* planjob.c */
struct job *plan_find_job(const struct plan *plan, const char *id);
struct task *plan_find_task(struct plan *plan, const char *name);
/* A task of the job was assigned to a worker. */
void plan_job_assigned(struct job *job);
/* A task waits again; if no task has begun and none is assigned, the job is queued as before. */
void plan_job_unassigned(struct job *job);
void plan_mark_job_dirty(struct plan *plan, struct job *job);
void plan_task_done(struct plan *plan, struct task *task, uint64_t now_ms);
/* Ends an occurrence whose tasks are all done, and the job with its last one. */
void plan_finish_occurrence(struct plan *plan, struct occurrence *occurrence);
/* Ends the tasks that are done by an earlier run, once their current runs have ended. */
void plan_end_tasks_done_before(struct plan *plan, uint64_t now_ms);
void plan_task_failed(struct plan *plan, struct task *task, uint32_t run, uint64_t now_ms);
/* True if no run of the task, or of its gang, may start any more. */
bool plan_attempts_used_up(struct task *task);
void plan_job_end(struct plan *plan, struct job *job, enum plan_job_state state);
bool plan_job_ended(const struct job *job);
struct job *plan_task_job(const struct task *task);

/* planoccurrence.c */
/* Number of occurrences of a job in all. */
uint32_t plan_occurrence_count(const struct job *job);
/* Adds an unfinished occurrence that does not exist yet; owned by the job. */
struct occurrence *plan_make_occurrence(struct plan *plan, struct job *job, uint32_t number);
/* Makes the occurrences that are due, as far as the bounds of unfinished ones allow. */
void plan_make_due_occurrences(struct plan *plan, uint64_t now_ms);
/* The unfinished occurrence with a number, or NULL. */
struct occurrence *plan_find_occurrence(const struct job *job, uint32_t number);
void plan_free_occurrence(struct occurrence *occurrence);
/* Notes since when the steps are ready whose earlier steps are done. */
void plan_update_ready(struct occurrence *occurrence, uint64_t now_ms);

/* planruns.c */
/**
 * plan_run_set_add() - count a failed run
 * @mem: owner of the set
 * @previous: the run of the task right before @run, or 0 if it is not known
 *
 * Return: false if the run was counted before.
 */
bool plan_run_set_add(TALLOC_CTX *mem, struct run_set *set, uint32_t run, uint32_t previous);
/**
 * plan_run_set_write() - make the stored form of a set
 * @ranges: set to a new reference, or to NULL where the numbers that are returned say all
 *
 * Return: a new reference to the numbers of the latest failed runs.
 */
json_t *plan_run_set_write(const struct run_set *set, json_t **ranges);
/** plan_run_set_read() - inverse of plan_run_set_write(); -ERR_INVALID for a malformed form */
int plan_run_set_read(TALLOC_CTX *mem, struct run_set *set, const json_t *runs,
		      const json_t *ranges);

/* planworker.c */
struct worker *plan_find_worker(const struct plan *plan, const char *node);
void plan_assign_task(struct task *task, struct worker *worker, uint64_t now_ms);
void plan_unassign_task(struct task *task);
/** plan_stop_task() - @reason: in words; must live as long as the plan */
void plan_stop_task(struct task *task, const char *reason);
void plan_stop_gang(struct task *task, const char *reason);
/* Stops a task, and the other members of its gang, so that it runs elsewhere. */
void plan_move_task(struct plan *plan, struct task *task, enum plan_move_reason why,
		    uint64_t now_ms);
void plan_suspect_worker(struct worker *worker, uint64_t now_ms);

/* planzone.c */
bool plan_zone_closed(const struct plan *plan, const char *zone);
/* Sets worker.accepting by what the worker offers and by its zone. */
void plan_update_accepting(const struct plan *plan, struct worker *worker);
/* Stops the starts in closed zones that are not confirmed. */
void plan_withdraw_starts(struct plan *plan);
/* True if a worker would have room for a task of the step, were its zone not closed. */
bool plan_closed_zone_has_room(const struct plan *plan, const struct step_run *step);

/* planevidence.c */
/* Weight of what speaks against a worker now; 0: nothing does. */
double plan_evidence(const struct worker *worker, uint64_t now_ms);
void plan_add_evidence(struct plan *plan, struct worker *worker, enum plan_evidence kind,
		       uint64_t now_ms);
/* Shares the weight between the workers of the task's gang, most to the one with most already. */
void plan_add_shared_evidence(struct plan *plan, const struct task *task, enum plan_evidence kind,
			      uint64_t now_ms);
/* A run is done that began at @began_ms; one from before the latest evidence proves nothing. */
void plan_add_proof(struct plan *plan, struct worker *worker, uint64_t began_ms, uint64_t now_ms);
/* Weighs health answers that are new since the last report. */
void plan_add_health(struct plan *plan, struct worker *worker, uint32_t good, uint32_t bad,
		     uint64_t now_ms);
void plan_forget_evidence(struct plan *plan, struct worker *worker, uint64_t now_ms);
/* Clears workers whose evidence has decayed. */
void plan_review_evidence(struct plan *plan, uint64_t now_ms);
/* To be added to the score of a worker for a step; smaller scores are better. */
double plan_evidence_score(const struct worker *worker, const struct step_run *step,
			   uint64_t now_ms);

/* plandrain.c */
/**
 * plan_move_from_leaving() - move what would be lost with workers that leave soon
 *
 * Return: true while work is left on such workers, so that the next decision is due soon.
 */
bool plan_move_from_leaving(struct plan *plan, uint64_t now_ms);
/* Tasks of a job that run on workers which leave soon. */
uint32_t plan_count_leaving(const struct job *job);

/* planheadroom.c */
/* Chooses the workers that this plan_decide() keeps free for urgent jobs. */
void plan_keep_headroom(struct plan *plan, uint64_t now_ms);
bool plan_may_use_headroom(const struct step_run *step, uint64_t now_ms);

/* planshare.c */
struct plan_shares *plan_shares_create(TALLOC_CTX *mem);
/* Works out what each organisation uses, asks for and may use; before steps are ordered. */
void plan_share_update(struct plan *plan);
/**
 * plan_share_claim() - key by which steps of one priority are ordered before their deadlines
 *
 * To be called after plan_share_update() for each step in the order in which they would start. The
 * steps of its organisation that were claimed before count as if they had started.
 *
 * Return: 0 if the step keeps its organisation within the share, otherwise by how much it takes it
 * above, as a part of the share.
 */
double plan_share_claim(struct plan *plan, const struct step_run *step);

/* planadvice.c */
/* False if the advice service has answered that the worker may not run the step. */
bool plan_advice_allows(const struct worker *worker, const struct step_run *step);
/* True if starts of the step on the worker need no ticket, or a valid one is known. */
bool plan_has_valid_ticket(const struct worker *worker, const struct step_run *step,
			   uint64_t now_ms);
/* The ticket for a start on the worker, "" where none is known or needed. */
const char *plan_start_ticket(const struct worker *worker, const struct step_run *step);
void plan_drop_ticket(const struct worker *worker, struct step_run *step);

/* planorder.c */
/* In the order in which waiting steps get room. */
enum plan_rank_class {
	PLAN_RANK_GUARANTEED,
	PLAN_RANK_LASTING,
	PLAN_RANK_FILLER,
	PLAN_RANK_ON_TIME, /* can be on time, or has waited for plan_wait_bound_ms() */
	PLAN_RANK_LATE,	   /* late, but its result is still worth something */
	PLAN_RANK_WORTHLESS,
};

struct step_rank {
	struct step_run *step;
	enum plan_rank_class class;
	uint32_t priority;
	bool urgent;	       /* of priority 0, and can be on time */
	double share_excess;   /* see plan_share_claim() */
	double work_per_value; /* core-seconds that are left, for PLAN_RANK_LATE only */
	double deadline_ms;
};

void plan_rank_step(const struct plan *plan, struct step_run *step, uint64_t now_ms,
		    struct step_rank *rank);
/* Below 0 if @left gets room first; 0 for the same step only. */
int plan_compare_ranks(const struct step_rank *left, const struct step_rank *right);
/* True if tasks may be stopped for the step. Nothing that it may stop ranks before it. */
bool plan_may_evict(const struct step_rank *rank);
/* The longest that a step waits before it ranks as on time. */
double plan_wait_bound_ms(const struct job *job);
/* Size of a task in processors. */
double plan_resource_weight(const struct jobspec_step *spec);
/* Core-seconds of one task by the estimate in its job. */
double plan_estimated_task_work(const struct jobspec_step *spec);
/* Core-seconds lost if a task is stopped, weighted by their worth; a gang is stopped as a whole. */
double plan_eviction_cost(const struct task *task, uint64_t now_ms);

/* plandecide.c */
/* The steps that could start, most urgent first; the array is owned by the caller. */
GPtrArray *plan_waiting_steps(struct plan *plan, uint64_t now_ms);

/* True while a worker lists a run of the task that is not its current one and has to be stopped. */
bool plan_has_orphan_run(const struct plan *plan, const struct task *task);

/* plandue.c */
/* Expected time of one run of a task; of its own runs so far, otherwise by the estimate. */
uint64_t plan_expected_run_ms(const struct step_run *step);
/* Expected end of a task's present run; UINT64_MAX for a task that lasts. */
uint64_t plan_expected_end_ms(const struct plan *plan, const struct task *task, uint64_t now_ms);
/**
 * plan_rack_due_ms() - when the rack that a step prefers is expected to have room
 *
 * For a gang that asks for one rack, the time at which one has room for all its tasks; for another
 * step, the time at which the rack of its data has room for a task. Nothing is stopped for it.
 *
 * Return: a time, or UINT64_MAX when none is expected.
 */
uint64_t plan_rack_due_ms(const struct plan *plan, const struct step_run *step, uint64_t now_ms);

/**
 * plan_earliest_begin_ms() - time before which a blocked gang can't begin
 *
 * Runs that have shown less than five percents may end at any time, others take at least half of
 * the time that is expected to be left. Nothing is stopped for the gang.
 *
 * Return: a time, or 0 when the gang can't begin by the ends of runs alone.
 */
uint64_t plan_earliest_begin_ms(const struct plan *plan, const struct step_run *step,
				uint64_t now_ms);
/* True if a task of the step that starts now ends before a time, estimates' errors included. */
bool plan_ends_before(const struct step_run *step, uint64_t at_ms, uint64_t now_ms);

/* planprefer.c */
/**
 * plan_waived_preferences() - preferences that a step which could not be placed no longer keeps
 *
 * To be called in each decision that leaves the step waiting.
 */
unsigned int plan_waived_preferences(struct plan *plan, struct step_run *step, uint64_t now_ms);

/* True if there is room for the step twice over and its service is not much in use. */
bool plan_has_ample_room(struct plan *plan, const struct step_run *step, uint64_t now_ms);

/* planwait.c */
/* Finds out why steps wait; to be called at the end of plan_decide(). */
void plan_update_waits(struct plan *plan, uint64_t now_ms);
/* One sentence on why a step waits; owned by @mem. */
char *plan_describe_wait(const struct step_run *step, TALLOC_CTX *mem, uint64_t now_ms);
/* Writes job, occurrence and number of a step, joined by dots; @name has TASK_NAME_MAX bytes. */
void plan_step_name(const struct step_run *step, char *name);

/* planslow.c */
/* Notes the progress of a running task that its worker has listed. */
void plan_record_percent(struct task *task, uint32_t percent, uint64_t now_ms);
void plan_move_stalled(struct plan *plan, uint64_t now_ms);
void plan_move_slow(struct plan *plan, uint64_t now_ms);

/* planplace.c */
void plan_add_resources(struct plan_resources *sum, const struct plan_resources *need);
void plan_subtract_resources(struct plan_resources *sum, const struct plan_resources *need);
bool plan_fits(const struct plan_resources *room, const struct plan_resources *used,
	       const struct plan_resources *need);
struct plan_resources plan_step_need(const struct jobspec_step *spec);
bool plan_worker_available(const struct worker *worker, uint64_t now_ms);
/* Preferences, of which a caller may waive some. */
#define PLAN_WAIVE_RACK (1U << 0)     /* all tasks of a gang on one rack, tasks at their data */
#define PLAN_WAIVE_RESERVED (1U << 1) /* workers that are reserved for another step */
#define PLAN_WAIVE_HEADROOM (1U << 2) /* workers that are kept free for urgent jobs */
#define PLAN_WAIVE_PAUSE (1U << 3)    /* workers that are suspect or slow */
#define PLAN_WAIVE_FAILURE                                                     \
	(1U << 4) /* also ones that failed just now; no step leaves that aside \
		   */
#define PLAN_WAIVE_ALL \
	(PLAN_WAIVE_RACK | PLAN_WAIVE_RESERVED | PLAN_WAIVE_HEADROOM | PLAN_WAIVE_PAUSE)
/**
 * plan_worker_usable() - whether tasks of the step may be started on the worker now
 * @waived: preferences that are left aside
 *
 * The free room of the worker is not checked.
 */
bool plan_worker_usable(const struct worker *worker, const struct step_run *step,
			unsigned int waived, uint64_t now_ms);
/* Number of tasks of a step, up to @limit, for which a worker has room beside what runs there. */
uint32_t plan_count_room_on_worker(const struct worker *worker, const struct step_run *step,
				   uint32_t limit);
/* Number of tasks, up to @limit, for which there is room; in one rack for a gang that asks so. */
uint32_t plan_count_room(const struct plan *plan, const struct step_run *step, unsigned int waived,
			 uint32_t limit, uint64_t now_ms);
bool plan_data_on_other_rack(const struct worker *worker, const struct jobspec_step *spec);
/* Number of tasks of the same step and occurrence on a worker. */
uint32_t plan_count_siblings(const struct worker *worker, const struct step_run *step);
bool plan_worker_could_hold(const struct worker *worker, const struct step_run *step);
struct worker *plan_pick_worker(struct plan *plan, const struct task *task, unsigned int waived,
				uint64_t now_ms);

/**
 * plan_pick_gang_workers() - choose workers for all members of a gang
 * @evict: count room used by tasks that plan_evictable() accepts as free
 * @waived: preferences that are left aside
 * @out: one worker per task, in the order of the tasks
 *
 * Members that are assigned already get a worker as if they waited.
 *
 * Return: false when there is no room for all.
 */
bool plan_pick_gang_workers(struct plan *plan, struct step_run *step, bool evict,
			    unsigned int waived, uint64_t now_ms, struct worker **out);

/* planstopset.c */
/*
 * Tasks that are to be stopped together, by one decision. One member stands for its whole gang.
 * A task is added before it is told to stop; no other task may change its state meanwhile.
 */
struct plan_stopset;
/** plan_stopset_create() - make an empty set; freed by plan_stopset_destroy() */
struct plan_stopset *plan_stopset_create(const struct plan *plan, uint64_t now_ms);
void plan_stopset_destroy(struct plan_stopset *set);
void plan_stopset_clear(struct plan_stopset *set);
/* True if the task, or a member of its gang, was added. */
bool plan_stopset_has(const struct plan_stopset *set, const struct task *task);
/* @cost: by plan_eviction_cost() */
void plan_stopset_add(struct plan_stopset *set, struct task *task, double cost);
void plan_stopset_remove(struct plan_stopset *set, guint index);
guint plan_stopset_count(const struct plan_stopset *set);
/* In the order in which they were added. */
struct task *plan_stopset_task(const struct plan_stopset *set, guint index);
double plan_stopset_cost(const struct plan_stopset *set);
/**
 * plan_stopset_may_stop() - whether a stop of the task keeps to max_unavailable of its step
 *
 * All tasks of the set are counted as stopped. True for tasks that do not last and for steps that
 * allow none, for which the caller decides.
 */
bool plan_stopset_may_stop(struct plan_stopset *set, const struct task *task);

/* planlasting.c */
bool plan_is_at_work(const struct task *task);

/* Which long-running tasks give way to a job within its guarantee; each includes those before. */
enum plan_reclaim {
	PLAN_RECLAIM_NONE,
	PLAN_RECLAIM_ALLOWED_IN_TURN, /* of steps that allow some, but not the latest displaced */
	PLAN_RECLAIM_ALLOWED,	      /* of steps that allow some */
	PLAN_RECLAIM_IN_TURN,	      /* also of steps that allow none, not the latest displaced */
	PLAN_RECLAIM_ALL,
};

/** plan_mark_reclaimable() - let plan_evictable() accept these tasks; false if nothing changed */
bool plan_mark_reclaimable(struct plan *plan, enum plan_reclaim reclaim);
/* True if a lasting task counts as unavailable once a task that is told to stop now has ended. */
bool plan_is_unavailable(const struct plan *plan, const struct task *task, uint64_t now_ms);
/** plan_spare_disallowed() - unmark the tasks that can't be stopped beside @victims
 *
 * Return: false if there was none.
 */
bool plan_spare_disallowed(struct plan *plan, struct plan_stopset *victims);
/** plan_displace_task() - stop a task, and the other members of its gang, to make room */
void plan_displace_task(struct plan *plan, struct task *task, const char *reason, uint64_t now_ms);

/* planvictim.c */
/* A task that was evicted this often makes room only for a guarantee that nothing else keeps. */
#define PLAN_EVICTIONS_MAX 2
bool plan_is_protected(const struct task *task);
/* Stops a task, and the other members of its gang, to make room for a step. */
void plan_evict_task(struct plan *plan, struct task *task, const struct step_run *step,
		     enum plan_evict_reason reason, uint64_t now_ms);
/* Part of an explanation; "" if no task of the job was evicted. Owned by @mem. */
char *plan_explain_evictions(const struct job *job, TALLOC_CTX *mem);

/* planevict.c */
bool plan_evictable(const struct task *task, const struct job *beneficiary);
/* A task that may be stopped for a job. */
struct plan_stoppable {
	struct task *task;
	double cost; /* by plan_eviction_cost() */
};

/**
 * plan_list_stoppable() - tasks of a worker that may be stopped for a job, the cheapest first
 *
 * Return: struct plan_stoppable, without the tasks that are being stopped; owned by the caller.
 */
GArray *plan_list_stoppable(const struct worker *worker, const struct job *beneficiary,
			    uint64_t now_ms);
/* Room in use after the stops that are under way. */
struct plan_resources plan_use_after_stops(const struct worker *worker);
/* Stops tasks to make room for a step. @waived: preferences that a gang leaves aside */
bool plan_evict_for_step(struct plan *plan, struct step_run *step, unsigned int waived,
			 uint64_t now_ms);
/* Stops fillers on workers that could hold tasks of a step with a latency target without them. */
bool plan_evict_fillers(struct plan *plan, struct step_run *step, uint64_t now_ms);
void plan_mark_guaranteed(struct plan *plan);

#endif
