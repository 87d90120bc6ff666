#ifndef JAYCOURSE_REVIEW_WORLD_H
#define JAYCOURSE_REVIEW_WORLD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/**
 * DOC: A small deployment on loopback
 *
 * Starts the store stand-in, the entries and the agents as processes. Workers and callers are
 * stand-ins in this process. What is sent, answered and run is written to record.txt.
 */

#define WORLD_OK 0
#define WORLD_BROKEN 1
#define WORLD_UNUSABLE 2

struct world_job {
	char id[20];
	const char *key; /* of its tenant */
	const char *queue;
	char *body;
	uint32_t cpu; /* of each task, in thousandths */
	uint32_t gpu;
	bool lasts;	      /* its tasks are at work until the job is cancelled */
	uint64_t accepted_ms; /* 0: not accepted */
	uint32_t calls;
	char state[16]; /* by the latest answer */
	int status;	/* of the latest answer to a GET */
};

struct world_run {
	char task[64];
	uint32_t run;
	int worker;
	uint64_t start_ms;
	uint64_t due_ms; /* 0: it does not end by itself */
	uint64_t end_ms; /* 0: at work */
	uint64_t noted_ms;
	uint64_t number; /* of the end */
	const char *how;
	bool stopping;
	struct world_job *job;
};

/**
 * struct world_plan - what a case decides about runs
 * @end: called when a run starts: sets how it ends; Return: after how many ms, 0: never
 */
struct world_plan {
	uint64_t (*end)(struct world_run *run, const char **how);
};

/** world_begin() - start a deployment; exits with WORLD_UNUSABLE if it does not come up */
void world_begin(const char *folder, int entries, int workers, const char *config,
		 const struct world_plan *plan);

/** world_trouble() - whether this run has the disruption (TROUBLE is not 0) */
bool world_trouble(void);

uint64_t world_now_ms(void);
void world_wait(uint64_t ms);
void world_note(const char *format, ...) __attribute__((format(printf, 1, 2)));

/** world_store() - set the fault of the store stand-in, by the numbers of enum memkv_fault */
void world_store(int fault);

/** world_config() - write a configuration as the operator does */
void world_config(const char *config);

/** world_submit() - hand a job of one step in, through any entry, until it is accepted */
struct world_job *world_submit(const char *key, const char *queue, const char *id, char *body);

/** world_ask() - ask for the state of a job; the answer is in it 1 s later */
void world_ask(struct world_job *job);

/** world_signal() - send a signal to entry @i, or to all with -1 */
void world_signal(int entry, int signal);
void world_restart(int entry);

/** world_leader() - number of the entry that leads, by the record in the store */
int world_leader(void);

/** world_runs() - all runs so far, in order of their starts; struct world_run pointers */
GPtrArray *world_runs(void);

/** world_longest_gap() - longest time that the only task of a job had no run, up to now */
uint64_t world_longest_gap(const struct world_job *job);

/** world_lapse_ms() - when the lease of a worker last ended, 0: never */
uint64_t world_lapse_ms(int worker);

/** world_used() - processors in use on a worker, in thousandths */
uint32_t world_used(int worker);

/** world_finish() - end all processes; Return: @status */
int world_finish(int status);

#endif
