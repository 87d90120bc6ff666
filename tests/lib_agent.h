#ifndef JAYCOURSE_LIB_AGENT_H
#define JAYCOURSE_LIB_AGENT_H

#include "lib_proc.h"
#include "wire.h"

/**
 * DOC: One agent process with a target, and entries simulated by the test
 *
 * Each entry is a wire endpoint in the test's own process. The test also serves the seed, which
 * lists the entries, over HTTP.
 */

#define AGENT_ENTRIES_MAX 2

struct agent_rig;

/* One entry, simulated by the test. */
struct rig_entry {
	struct agent_rig *rig;
	struct wire *wire;
	struct metrics *metrics;
	char peer[32];
	bool silent; /* does not acknowledge heartbeats */
	unsigned int heartbeats;
	unsigned int hellos;
	uint64_t target_state;	     /* of the last ANNOUNCE; 0 before */
	uint64_t target_incarnation; /* likewise */
	uint64_t in_flight;	     /* of the last HEARTBEAT */
};

struct agent_rig {
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	struct fake_server *seed;
	struct rig_entry entries[AGENT_ENTRIES_MAX];
	unsigned int entry_count;
	struct proc agent;
	struct proc target;
	char agent_peer[128];	 /* "" until the first HELLO */
	int64_t clock_offset_ms; /* agent's clock minus the test's, ms; at most the true difference
				  */
	struct msg **inbox;	 /* all other messages, in order of arrival; owned by @mem */
	size_t inbox_count;
};

/** rig_prepare() - starts the entries and serves the seed, but starts no process */
void rig_prepare(struct agent_rig *rig, unsigned int entries);

/**
 * rig_start_agent() - starts an agent without a target; waits until it has connected to all entries
 * @seed: "ip:port"
 * @store: endpoint of the store, NULL for none
 */
void rig_start_agent(struct agent_rig *rig, const char *seed, const char *store);

/** rig_start() - rig_prepare() and rig_start_agent() with the test's own seed */
void rig_start(struct agent_rig *rig, unsigned int entries);

/** rig_restart_entry() - replaces an entry by a new incarnation at the same address */
void rig_restart_entry(struct agent_rig *rig, unsigned int index);

/** rig_start_service() - starts fake_service "svc" as the target; waits until it is announced */
void rig_start_service(struct agent_rig *rig, const char *slots);

/** rig_start_worker() - starts fake_worker as the target; waits until it is announced */
void rig_start_worker(struct agent_rig *rig);

/** rig_restart_worker() - kills the worker and starts another incarnation at @listen, "ip:port" */
void rig_restart_worker(struct agent_rig *rig, const char *listen);

/** rig_start_other_worker() - likewise beside the present one, which stays with the caller */
void rig_start_other_worker(struct agent_rig *rig);

/** rig_stop() - stops all processes and checks that agent and target exit with 0 */
void rig_stop(struct agent_rig *rig);

/** rig_send() - sends a message from the first entry to the agent */
void rig_send(struct agent_rig *rig, const struct msg *msg);

/** rig_request() - a valid REQUEST to fake_service; callers change fields as needed */
struct msg rig_request(const struct agent_rig *rig, uint64_t id, const char *body);

/** rig_run_until() - runs the event loop until @check is true; false after @timeout_ms */
bool rig_run_until(struct agent_rig *rig, bool (*check)(struct agent_rig *rig, void *ctx),
		   void *ctx, uint32_t timeout_ms);

/** rig_find() - first message of a type for a request id, or NULL */
const struct msg *rig_find(const struct agent_rig *rig, enum msg_type type, uint64_t id);

/** rig_wait() - waits for a message as for rig_find(); fails the test when none arrives */
const struct msg *rig_wait(struct agent_rig *rig, enum msg_type type, uint64_t id);

/** rig_message_count() - number of messages of a type for a request id */
size_t rig_message_count(const struct agent_rig *rig, enum msg_type type, uint64_t id);

/** rig_received_bytes() - bytes of an answer so far; checks that its chunks are in order */
uint64_t rig_received_bytes(const struct agent_rig *rig, uint64_t id);

/** rig_answer_complete() - true when an answer has ended without error and its END fits its chunks
 */
bool rig_answer_complete(const struct agent_rig *rig, uint64_t id);

/** rig_run_count() - how often the service began a request whose body has this echo */
size_t rig_run_count(const struct agent_rig *rig, const char *echo);

/** rig_running_count() - number of requests that run at the service now */
size_t rig_running_count(const struct agent_rig *rig);

/** rig_set_fault() - sets a fault of the target; @json is the body of POST /fault */
void rig_set_fault(const struct agent_rig *rig, const char *json);

#endif
