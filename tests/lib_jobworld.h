#ifndef JAYCOURSE_TESTS_LIB_JOBWORLD_H
#define JAYCOURSE_TESTS_LIB_JOBWORLD_H

#include "jobs.h"
#include "lib_fakestore.h"

/**
 * DOC: Test environment for the jobs module
 *
 * Entry hosts with the jobs module run in the test process, with the fake store and simulated
 * agents, which hold, start and stop members and report what the test asks for.
 */

#define WORLD_AGENTS 4
#define WORLD_ENTRIES 3
#define WORLD_MEMBERS 16

/* How the simulated agents react to START. */
enum agent_behaviour {
	AGENT_RUNS = 0, /* report RUNNING, and nothing more */
	AGENT_DONE,	/* run and report DONE at once */
	AGENT_FAILS,	/* run and report FAILED at once */
	AGENT_BREAKS,	/* the first member reports LOST; afterwards as AGENT_DONE */
	AGENT_SILENT,	/* do not answer HOLD */
};

struct simulated_member {
	char job[32];
	uint64_t attempt;
	uint64_t member;
	uint64_t state;	 /* enum msg_member_state; 0: held */
	char leader[64]; /* peer name */
	bool used;
};

struct job_world;

struct simulated_agent {
	struct job_world *world;
	struct wire *wire;
	char node[16];
	struct simulated_member members[WORLD_MEMBERS];
	bool silent; /* does not announce itself */
	uint64_t epoch;
	bool up;
};

struct test_entry {
	struct job_world *world;
	TALLOC_CTX *mem;
	struct store *store;
	struct configrepo *repo;
	struct metrics *metrics;
	struct membership *members;
	struct wire *wire;
	struct jobs *jobs;
	char peer[16];
	char address[64];
};

struct job_world {
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	struct fakestore *fake;
	struct simulated_agent agents[WORLD_AGENTS];
	struct test_entry entries[WORLD_ENTRIES];
	enum agent_behaviour behaviour;
	unsigned int started_members; /* members whose task was started */
	unsigned int holds;	      /* holds received for further members */
	unsigned int
		overlapping_starts;  /* tasks started while another attempt of the same job ran */
	unsigned int partial_starts; /* tasks started of gangs without a hold for every member */
};

/* Result of one call of the jobs module. */
struct job_reply {
	int done;
	int status;
	char id[32];
	char state[16];
	char reason[128];
	json_int_t attempt;
	size_t members;
	size_t jobs;
};

void world_open(struct job_world *world);
void world_close(struct job_world *world);

/** world_entry() - start entry host @i; world_crash() ends it */
struct test_entry *world_entry(struct job_world *world, int i);
void world_crash(struct test_entry *entry);

/** world_reply() - callback that clears @reply and stores the result of one call in it */
struct jobs_cb world_reply(struct job_reply *reply);

/** world_submit() - submit a job and wait for the answer; @key: idempotency key, "" for none */
void world_submit(struct test_entry *entry, const char *body, const char *key, uint32_t deadline_ms,
		  struct job_reply *reply);

/** world_query() - send a query (see jobs_query()) and wait for the answer */
void world_query(struct test_entry *entry, const char *verb, const char *job,
		 struct job_reply *reply);

/** world_wait() - wait until the job has ended, with jobs_wait() */
void world_wait(struct test_entry *entry, const char *job, struct job_reply *reply);

/** world_until() - query until the job has @state; false after 30 s */
bool world_until(struct test_entry *entry, const char *job, const char *state);

/** world_finish() - have all running members report @state */
void world_finish(struct job_world *world, uint64_t state);

/** world_running() - number of members that run now */
unsigned int world_running(const struct job_world *world);

#endif
