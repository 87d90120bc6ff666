#ifndef JAYCOURSE_PLAN_INT_H
#define JAYCOURSE_PLAN_INT_H

#include "plan.h"

#include <glib.h>

/** DOC: Shared by the plan*.c files only */

#define TASK_NAME_MAX 64 /* 16 digits of the job and three numbers */

enum task_state {
	TASK_WAITING,
	TASK_STARTING, /* ordered, not confirmed */
	TASK_RUNNING,
	TASK_STOPPING,
	TASK_DONE,
};

#define FAILED_RUNS_KEPT 16 /* more than any queue allows attempts */

/* Runs whose failure has been counted; a failure may be reported more than once. */
struct run_set {
	uint32_t runs[FAILED_RUNS_KEPT];
	uint32_t count;
};

struct task {
	struct step_run *step;
	uint32_t index;
	enum task_state state;
	uint32_t run;	    /* number of the latest run */
	uint32_t ended_run; /* no run up to this one goes on */
	struct worker *worker;
	struct task *next_on_worker;
	char *checkpoint;
	uint32_t saved_percent; /* progress when the checkpoint was taken */
	uint32_t percent;
	uint64_t progress_ms; /* when the percentage moved last */
	uint64_t sample_ms;   /* start of the sample of its speed */
	uint32_t sample_percent;
	double speed;	   /* percent a millisecond over the last whole sample; below 0: none yet */
	double best_speed; /* of any sample so far, on any worker */
	uint32_t slow_samples; /* in a row */
	uint64_t began_ms;     /* of the latest run */
	struct run_set failures;
	uint64_t retry_ms;    /* not started before */
	struct worker *avoid; /* where it failed last */
	const char *why;      /* it was stopped */
	uint64_t waited_ms;
	bool listed;	      /* in the report being read */
	enum task_state told; /* state whose order was handed out last */
	char name[TASK_NAME_MAX];
};

/* One step of one occurrence. */
struct step_run {
	struct occurrence *occurrence;
	const struct jobspec_step *spec;
	uint32_t number;
	struct task *tasks; /* spec->count of them */
	uint32_t done;
	uint32_t waiting;
	struct run_set gang_failures;
	GHashTable *advice; /* incarnation of a worker -> struct advice; NULL: none yet */
	bool asking;	    /* for advice */
	uint64_t ask_ms;    /* advice is not asked for before */
	uint64_t ready_ms;  /* when the steps before it had ended; 0: they have not */
};

struct occurrence {
	struct job *job;
	struct occurrence *next;
	uint32_t number;
	struct step_run *steps;
	size_t steps_left;
	uint64_t due_ms; /* on the plan's clock */
};

struct job {
	char *id;
	char *queue_name;
	char *organisation;
	struct jobspec *spec;
	const struct fleetconf_queue *queue; /* NULL: removed from the configuration */
	uint64_t accepted_ms;
	int64_t wall_offset_ms;
	bool inherited;
	bool started; /* some task has begun at some time */
	bool dirty;
	bool queued_dirty; /* in the list of dirty jobs */
	enum plan_job_state state;
	uint32_t created;  /* occurrences made so far */
	uint32_t finished; /* occurrences that have ended */
	uint32_t next_run;
	uint64_t checkpoint_ms;		/* when a checkpoint last made the record change */
	struct occurrence *occurrences; /* unfinished ones */
	bool guaranteed; /* within what its organisation was promised; set by each decision */
};

/* A run on a worker that belongs to no task and has to be stopped. */
struct stray {
	struct stray *next;
	char *task;
	uint32_t run;
	bool listed;
	bool told;
};

struct worker {
	char *node;
	char *id;
	char *incarnation;
	char *service;
	char *zone;
	char *kind;
	char *rack;
	struct plan_room room;
	struct plan_room used;
	bool present;
	bool accepting;
	struct task *tasks;
	struct stray *strays;
	uint64_t backoff_ms; /* takes nothing new before */
	uint64_t heard_ms;   /* latest report */
	uint64_t listed_ms;  /* when it made the latest list of its runs */
	bool silent;	     /* not heard of for long; set by each decision */
	uint64_t suspect_until_ms;
	uint64_t slow_until_ms;	 /* takes nothing new before */
	uint32_t suspicions;	 /* times in a row it became suspect */
	uint32_t failure_streak; /* failed runs of different jobs since the last good end */
	const struct job *last_failed_job;
	const struct step_run *reserved_for; /* by the decision under way */
	bool kept_free;			     /* for urgent work; set by each decision */
	bool changed;			     /* orders changed in the decision under way */
};

struct plan {
	struct plan_params params;
	const struct fleetconf *conf;
	GHashTable *jobs;  /* id -> struct job, in no order */
	GPtrArray *active; /* struct job: not ended or with runs */
	GPtrArray *workers;
	GQueue dirty; /* struct job */
	bool settled;
	uint32_t run_floor;
};

/* planjob.c */
struct job *plan_find_job(const struct plan *plan, const char *id);
struct task *plan_find_task(struct plan *plan, const char *name);
void plan_touch(struct plan *plan, struct job *job);
struct occurrence *plan_make_occurrence(struct plan *plan, struct job *job, uint32_t number);
void plan_make_due(struct plan *plan, uint64_t now_ms);
void plan_update_ready(struct occurrence *occurrence, uint64_t now_ms);
void plan_task_done(struct plan *plan, struct task *task, uint64_t now_ms);
void plan_task_failed(struct plan *plan, struct task *task, uint32_t run, uint64_t now_ms);
bool plan_run_set_add(struct run_set *set, uint32_t run);
void plan_job_end(struct plan *plan, struct job *job, enum plan_job_state state);
bool plan_job_ended(const struct job *job);
struct job *plan_task_job(const struct task *task);
void plan_free_occurrence(struct occurrence *occurrence);

/* planworker.c */
struct worker *plan_find_worker(const struct plan *plan, const char *node);
void plan_assign(struct task *task, struct worker *worker, uint64_t now_ms);
void plan_release(struct task *task);
/** plan_stop_task() - @why: for people, lives as long as the plan */
void plan_stop_task(struct task *task, const char *why);
void plan_stop_gang(struct task *task, const char *why);
void plan_suspect(struct worker *worker, uint64_t now_ms);

/* planheadroom.c */
/* Chooses the workers that the decision under way keeps free for urgent work. */
void plan_keep_headroom(struct plan *plan, uint64_t now_ms);
bool plan_may_use_headroom(const struct step_run *step, uint64_t now_ms);

/* planadvice.c */
/* False if the advice service has said that the worker may not run the step. */
bool plan_not_barred(const struct worker *worker, const struct step_run *step);
/* True if starts of the step need no ticket, or hold one. */
bool plan_has_ticket(const struct worker *worker, const struct step_run *step, uint64_t now_ms);
/* The ticket of a start, "" where none is needed. */
const char *plan_ticket(const struct worker *worker, const struct step_run *step);
void plan_drop_ticket(const struct worker *worker, struct step_run *step);

/* plandecide.c */
/* What waits, most urgent first; owned by the caller. */
GPtrArray *plan_waiting_steps(struct plan *plan, uint64_t now_ms);

/* planslow.c */
void plan_sample_speed(struct task *task, uint64_t now_ms);
void plan_move_stalled(struct plan *plan, uint64_t now_ms);
void plan_move_slow(struct plan *plan, uint64_t now_ms);

/* planplace.c */
void plan_add_room(struct plan_room *sum, const struct plan_room *need);
bool plan_fits(const struct plan_room *room, const struct plan_room *used,
	       const struct plan_room *need);
struct plan_room plan_need(const struct jobspec_step *spec);
bool plan_worker_free(const struct worker *worker, uint64_t now_ms);
/* True if the worker takes tasks of the step now, as far as it has room. */
bool plan_usable(const struct worker *worker, const struct step_run *step, uint64_t now_ms);
/* Tasks of the same step of the same occurrence on a worker. */
uint32_t plan_siblings(const struct worker *worker, const struct step_run *step);
bool plan_could_hold(const struct worker *worker, const struct step_run *step);
struct worker *plan_pick(struct plan *plan, const struct task *task, uint64_t now_ms);

/**
 * plan_pick_gang() - workers for all waiting tasks of a gang
 * @evict: count what plan_evictable() gives free as room
 * @out: one worker a task, in order of the tasks
 *
 * Return: false when there is no room for all.
 */
bool plan_pick_gang(struct plan *plan, struct step_run *step, bool evict, uint64_t now_ms,
		    struct worker **out);

/* planevict.c */
bool plan_evictable(const struct task *task, const struct job *beneficiary);
/* Room in use that will not become free by stops under way. */
struct plan_room plan_lasting_use(const struct worker *worker);
bool plan_evict_for(struct plan *plan, struct step_run *step, uint64_t now_ms);
void plan_mark_guaranteed(struct plan *plan);

#endif
