#ifndef JAYCOURSE_TESTS_LIB_JOBWORLD_H
#define JAYCOURSE_TESTS_LIB_JOBWORLD_H

#include "jobs.h"
#include "lib_fakestore.h"

/**
 * DOC: Entries with the jobs module in the test process, the store stand-in, and agents that
 * are played by the test: they hold, start and stop members and report what the test wants
 */

#define WORLD_AGENTS 4
#define WORLD_ENTRIES 3
#define WORLD_MEMBERS 16

/* How the played agents treat START. */
enum agent_conduct {
	AGENT_RUNS = 0, /* report running, and nothing more */
	AGENT_DONE,	/* run and end at once */
	AGENT_FAILS,
	AGENT_BREAKS, /* run and then lose the ring, once; afterwards as AGENT_DONE */
	AGENT_SILENT, /* do not answer HOLD */
};

struct played_member {
	char job[32];
	uint64_t attempt;
	uint64_t member;
	uint64_t state; /* enum msg_member_state; 0: held */
	char holder[64];
	bool used;
};

struct job_world;

struct played_agent {
	struct job_world *world;
	struct wire *wire;
	char node[16];
	struct played_member members[WORLD_MEMBERS];
	uint64_t epoch;
	bool up;
};

struct played_entry {
	struct job_world *world;
	TALLOC_CTX *mem;
	struct store *store;
	struct configrepo *repo;
	struct metrics *metrics;
	struct member *members;
	struct wire *wire;
	struct jobs *jobs;
	char peer[16];
	char address[64];
};

struct job_world {
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	struct fakestore *fake;
	struct played_agent agents[WORLD_AGENTS];
	struct played_entry entries[WORLD_ENTRIES];
	enum agent_conduct conduct;
	unsigned int starts;   /* members whose task was started */
	unsigned int overlaps; /* tasks started while another attempt of the job ran */
	unsigned int partial;  /* tasks started of gangs that not all agents had held */
};

/* Result of one call of the jobs API. */
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

void world_open(struct job_world *w);
void world_close(struct job_world *w);

/** world_entry() - start entry @i; freeing entries[i].mem ends it like a crash */
struct played_entry *world_entry(struct job_world *w, int i);
void world_crash(struct played_entry *e);

/** world_call_submit() - @key "" for none; waits for the answer */
void world_submit(struct played_entry *e, const char *body, const char *key, uint32_t deadline_ms,
		  struct job_reply *reply);

/** world_call_query() - "get" and the other verbs */
void world_query(struct played_entry *e, const char *verb, const char *job,
		 struct job_reply *reply);

/** world_wait() - jobs_wait() until the job has ended */
void world_wait(struct played_entry *e, const char *job, struct job_reply *reply);

/** world_until() - query until the job has @state; false after a long time */
bool world_until(struct played_entry *e, const char *job, const char *state);

/** world_finish() - all running members report this state */
void world_finish(struct job_world *w, uint64_t state);

/** world_running() - members that run now */
unsigned int world_running(const struct job_world *w);

#endif
