#ifndef JAYCOURSE_LIB_PLANWORLD_H
#define JAYCOURSE_LIB_PLANWORLD_H

#include "plan.h"

/**
 * DOC: Workers in memory that carry out the orders of a plan, for tests of its decisions
 *
 * Time is simulated. The world checks on every step what must always hold: no worker over
 * its room, no task twice at a time, none again after it is done, no gang with only a part of
 * its members working, no attempt beyond the limit.
 */

#define PW_WORKERS_MAX 64
#define PW_RUNS_MAX 4096

struct pw_run {
	char task[64];
	uint32_t run;
	uint32_t worker;
	struct plan_room need;
	uint64_t began_ms;
	uint64_t duration_ms;
	double work_done_ms; /* of work */
	uint32_t gang;	     /* members of its gang, 0 for none */
	bool present;
	bool stopping;
};

struct pw_worker {
	char node[16];
	char rack[16];
	uint32_t incarnation;
	bool up;
	bool reachable; /* its reports arrive */
	bool draining;
	bool fails;	   /* everything that it starts fails */
	bool stalls;	   /* what it starts never advances */
	uint32_t slowdown; /* everything takes this many times as long; 0 and 1: as usual */
	uint64_t next_end;
};

/* An end that the plan has not taken over. */
struct pw_end {
	struct plan_run run;
	char task[64];
	enum plan_end how;
	uint32_t worker;
	uint32_t incarnation;
	bool reported;
};

/* A job as it was handed in, so that a new leader can read it again. */
struct pw_job {
	char id[32];
	char queue[16];
	char organisation[16];
	char *text;
};

#define PW_JOBS_MAX 512

struct planworld {
	struct plan *plan;
	struct plan_params params;
	struct pw_job jobs[PW_JOBS_MAX];
	uint32_t job_count;
	struct fleetconf conf;
	struct fleetconf_queue queues[3];
	struct fleetconf_organisation organisations[2];
	uint64_t now_ms;
	struct pw_worker workers[PW_WORKERS_MAX];
	uint32_t worker_count;
	struct pw_run runs[PW_RUNS_MAX];
	uint32_t run_count;
	struct pw_end ends[PW_RUNS_MAX];
	uint32_t end_count;
	uint32_t starts;
	uint32_t stops;
	const char *violation; /* first thing that must not happen, or NULL */
	char violation_task[64];
	char done_tasks[PW_RUNS_MAX][64]; /* tasks whose end as done the plan has been told */
	uint32_t done_count;
};

/**
 * planworld_create() - a plan with queues of priority 0, 1 and 2 and equal workers
 *
 * Workers have 8 accelerators, 128 processors and 512 GB, three to a rack. Queue "urgent" is
 * of priority 0, "large" of 1, "batch" of 2; organisation "a" is promised 16 accelerators.
 */
struct planworld *planworld_create(TALLOC_CTX *mem, uint32_t workers);

/** planworld_create_with_stops() - the same, with workers that take @stop_ms for a stop */
struct planworld *planworld_create_with_stops(TALLOC_CTX *mem, uint32_t workers, uint32_t stop_ms);

/** planworld_job() - accept a job of one step; @step_json holds the step's own fields */
void planworld_job(struct planworld *w, const char *id, const char *queue, const char *organisation,
		   const char *steps_json);

/** planworld_run() - let time pass in steps of 10 ms */
void planworld_run(struct planworld *w, uint32_t ms);

/** planworld_count() - runs on workers now whose task begins with @prefix */
uint32_t planworld_count(const struct planworld *w, const char *prefix);

/** planworld_state() - state of a job, or -1 if it is not known */
int planworld_state(const struct planworld *w, const char *id);

/** planworld_restart() - a new leader: a new plan from the records and the workers' lists */
void planworld_restart(struct planworld *w, bool settle_first);

/** planworld_crash() - the worker loses everything and starts a new life */
void planworld_crash(struct planworld *w, uint32_t worker);

#endif
