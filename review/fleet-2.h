#ifndef JAYCOURSE_FLEET_2_H
#define JAYCOURSE_FLEET_2_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/**
 * DOC: A small deployment on loopback for the cases of the review
 *
 * The store, the minions and the clients are stand-ins in the process of the case, written from
 * the platform's pages; three entries and one agent beside each minion are the project's own
 * programs. Everything that is sent, answered and run is written to record.txt.
 */

#define FLEET_ENTRIES 3
#define FLEET_MINIONS_MAX 12
#define FLEET_GPUS 8 /* of each minion, beside 128 cores and 512 GB */
#define FLEET_RACK_MINIONS 3

/* Figures of the deployment nefeli-prod. */
#define FLEET_ACK_MS 4000
#define FLEET_CANCEL_MS 3000
#define FLEET_CONTACT_MS 3000
#define FLEET_FINISH_MS 14000
#define FLEET_RECLAIM_MS 2700
#define FLEET_STOP_TIMEOUT_MS 200
#define FLEET_VISIBLE_MS 3000

/* Keys of the two tenants; the first has 24 guaranteed GPUs, the second 16. */
#define FLEET_KEY_1 "key-1"
#define FLEET_KEY_2 "key-2"

/* Prefixes of the three queues, of priority 0, 1 and 2. */
#define FLEET_URGENT "/u/"
#define FLEET_NORMAL "/n/"
#define FLEET_BATCH "/b/"

/**
 * fleet_play() - start the deployment and play a case
 * @minions: number of minions
 * @odd_kind: the last minion has this kind, all others have kind "a"
 * @play: returns whether the rule was broken; @trouble is false with TROUBLE=0
 *
 * Return: exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 */
int fleet_play(int argc, char **argv, unsigned int minions, const char *odd_kind,
	       bool (*play)(bool trouble));

/** fleet_note() - write a line with the time to record.txt */
void fleet_note(const char *format, ...) __attribute__((format(printf, 1, 2)));

/** fleet_now_ms() - time since the beginning of the record */
uint64_t fleet_now_ms(void);

/** fleet_run() - let the deployment run for a while */
void fleet_run(uint32_t ms);

/** fleet_leader() - index of the entry that leads */
unsigned int fleet_leader(void);

/** fleet_signal() - send a signal to an entry */
void fleet_signal(unsigned int entry, int signum);

/** fleet_set_unhealthy() - whether a minion answers each start with 503 */
void fleet_set_unhealthy(unsigned int minion, bool unhealthy);

/** fleet_step() - a step of tasks that need 1 core, 100 MB and @gpu GPUs each */
json_t *fleet_step(int count, int gpu, int estimate_ms);

/**
 * fleet_submit() - make a job of one step and submit it
 * @work_ms: time that each task works; 0: it lasts
 * @step: from fleet_step(), with more fields if needed; the reference is taken over
 * @fields: more fields of the job, or NULL; the reference is taken over
 *
 * Return: status of the answer, 0 for none within 3 s.
 */
int fleet_submit(unsigned int entry, const char *prefix, const char *id, const char *key,
		 unsigned int work_ms, json_t *step, json_t *fields);

/** fleet_submit_spec() - the same with a task_spec of the caller, "work MS GPU" and any more text
 */
int fleet_submit_spec(unsigned int entry, const char *prefix, const char *id, const char *key,
		      const char *spec, json_t *step, json_t *fields);

/** fleet_call() - make a call without a body; @body, if not NULL, is set to the answer's body */
int fleet_call(unsigned int entry, const char *method, const char *prefix, const char *id,
	       const char *key, char **body);

/** fleet_running() - number of runs at work whose task names begin with @prefix */
unsigned int fleet_running(const char *prefix);

/** fleet_starts() - number of starts so far of tasks whose names begin with @prefix */
unsigned int fleet_starts(const char *prefix);

/** fleet_gpus_used() - GPUs in use on all minions */
unsigned int fleet_gpus_used(void);

/** fleet_count_ends() - ends that minions have listed for @age_ms, and those not taken note of */
void fleet_count_ends(uint32_t age_ms, unsigned int *listed, unsigned int *unnoted);

#endif
