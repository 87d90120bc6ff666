#ifndef JAYCOURSE_JOBS_INT_H
#define JAYCOURSE_JOBS_INT_H

#include "callref.h"
#include "gang.h"
#include "jobs.h"
#include "place.h"

#include <glib.h>

/* Interfaces between the parts of the jobs module; see jobs.h. */

#define JOBS_SHARDS 16
#define JOBS_SHARD_MAX_BYTES (900 * 1024) /* store values hold 1 MB; the rest lets records grow */
#define JOBS_PAYLOAD_MAX_BYTES 4096 /* lets a shard hold at least 200 jobs that have not ended */
#define JOBS_RESULT_RETENTION_MS (24 * 3600000ULL) /* of ended jobs */
#define JOBS_ID_SIZE 17

enum job_state {
	JOBS_ACCEPTED = 0, /* recorded in the store, not yet in the leader's job table */
	JOBS_WAITING,
	JOBS_STARTING, /* the grant is written, or its write is under way */
	JOBS_RUNNING,
	JOBS_DONE, /* this and all following states are final */
	JOBS_FAILED,
	JOBS_CANCELLED,
	JOBS_STATE_COUNT,
};

struct job_member {
	char *worker;  /* node id of its agent */
	uint64_t mask; /* accelerators of the worker, one bit each */
};

/* One job. The record owns its strings and members. */
struct job_record {
	char *id;
	char *organisation;
	char *class_name;
	char *payload; /* JSON text; "" after the job has ended */
	char *reason;
	struct place_shape shape;
	uint64_t declared_ms;
	uint64_t submitted_ms; /* wall clock; so is ended_ms */
	uint64_t ended_ms;
	bool urgent;
	bool cancel; /* cancellation was requested and is not yet carried out */
	enum job_state state;
	uint32_t attempt;	    /* attempt number of the decision module */
	uint64_t grant;		    /* gang_attempt() number of the grant; 0: none */
	struct job_member *members; /* of the grant; NULL: no grant */
	uint32_t member_count;
	/* Not stored: */
	struct job_gang *gang;	      /* NULL when no attempt is under way */
	struct job_start *next_start; /* decided start; waits for the previous attempt to end */
	bool added_to_place;	      /* the decision module has the job */
};

/* jobrecord.c */

const char *job_state_name(enum job_state state);
bool job_ended(const struct job_record *job);
uint32_t job_shard(const char *id);

/** job_size_estimate() - upper estimate of the stored size in bytes */
size_t job_size_estimate(const struct job_record *job);

/** job_to_json() - the record as stored; the caller owns the result */
json_t *job_to_json(const struct job_record *job);

/** job_from_json() - parse a stored record; NULL when it is malformed */
struct job_record *job_from_json(TALLOC_CTX *mem, const json_t *json);

/** job_to_reply() - the job as the API shows it; the caller owns the result */
json_t *job_to_reply(const struct job_record *job);

void job_set_reason(struct job_record *job, const char *reason);
void job_clear_members(struct job_record *job);

/** job_error_to_json() - {"error":…} as in the API; @unknown: the job may have been recorded */
json_t *job_error_to_json(const struct err *err, bool unknown);

/* jobbody.c */

/**
 * job_from_body() - check a submission
 * @json: request body
 * @members: announced workers, to refuse shapes that could never fit; NULL: not all workers have
 *	had the time to announce themselves, and no shape is refused
 * @err: set on failure
 *
 * Return: the record, still without an id, or NULL on failure.
 */
struct job_record *job_from_body(TALLOC_CTX *mem, const json_t *json, const char *organisation,
				 const struct config *config, struct membership *members,
				 struct err *err);

/* jobsubmit.c: submissions that wait to be recorded */

struct job_submit_queue;

struct job_submit_queue *job_submit_queue_create(struct jobs *jobs);

/** job_submit_queue_add() - record @job, whose ownership is taken, and answer @cb by @deadline_ms
 */
void job_submit_queue_add(struct job_submit_queue *queue, struct job_record *job,
			  uint64_t deadline_ms, struct jobs_cb cb);

/** job_submit_queue_idle() - true when no submission waits and no segment is being written */
bool job_submit_queue_idle(const struct job_submit_queue *queue);

/* jobstore.c: durable state of the placement leader */

struct job_shards;

/** job_shards_create() - state without revisions; @records (id to job_record) is borrowed */
struct job_shards *job_shards_create(TALLOC_CTX *mem, struct jobs *jobs, GHashTable *records);

/**
 * job_shards_set_revision() - note the revision at which a shard was read from the store
 *
 * Return: false if @key is not that of a shard.
 */
bool job_shards_set_revision(struct job_shards *shards, const char *key, int64_t mod_revision);

/**
 * job_shards_write() - write a job's shard in the next turn of the event loop
 * @report_failure: answer @done when the write failed, instead of repeating it
 * @done: called once: with 0 when the shard is written, or, with @report_failure, with
 *	-ERR_UNAVAILABLE when the write certainly had no effect. May be NULL.
 */
void job_shards_write(struct job_shards *shards, const char *job, bool report_failure,
		      void (*done)(int status, void *ctx), void *ctx);

/** job_shards_write_lazily() - write a job's shard with the next write, or after 5 s */
void job_shards_write_lazily(struct job_shards *shards, const char *job);

/** job_shards_delete_segment() - delete a merged segment, not before its jobs are stored */
void job_shards_delete_segment(struct job_shards *shards, const char *key);

/** job_shards_has_room() - true when the job's shard has room for it */
bool job_shards_has_room(struct job_shards *shards, const struct job_record *job);

/** job_shards_idle() - true when all calls of job_shards_write() have been answered */
bool job_shards_idle(const struct job_shards *shards);

/* jobleader.c: the placement leader */

struct job_worker {
	char *node;
	char *peer;
	char *address;
	char *zone;
	char *rack;
	char *target;
	bool present;	  /* has announced itself and has not been lost since */
	bool schedulable; /* in state MSG_TARGET_ALIVE: may get new work */
	bool lost;	  /* its loss has not been reported to its gangs yet */
	bool restarted;	  /* with @lost: its agent has been replaced by another process */
};

struct job_leader {
	struct jobs *jobs;
	uint64_t epoch;
	struct place *place;
	GHashTable *records;  /* id to struct job_record */
	GHashTable *segments; /* keys of segments that are merged and not yet deleted */
	GHashTable *workers;  /* node to struct job_worker */
	GPtrArray *gangs;     /* struct job_gang; not owned by the array */
	struct job_shards *shards;
	struct store_watch *watch;
	struct tevent_timer *step_timer;
	struct tevent_timer *tick_timer;
	bool loaded;
	bool stepping;
	bool reading_segments;
	bool reread_segments; /* another read was requested during the one under way */
	struct segment_waiter *read_waiters;	  /* answered by the read under way */
	struct segment_waiter *next_read_waiters; /* answered by the next read */
	uint64_t loaded_ms;
	uint64_t config_revision;
	uint64_t members_checked_ms; /* last check for members on workers that are not present */
	struct callref *calls;	     /* context of store calls */
};

struct job_leader *job_leader_create(struct jobs *jobs, uint64_t epoch);

/** job_leader_find_job() - the record of a job; NULL: unknown */
struct job_record *job_leader_find_job(struct job_leader *leader, const char *id);

/**
 * job_leader_confirmed() - true while it is certain that no other process leads placement
 *
 * Members are neither started nor stopped by the leader's own decision at other times.
 */
bool job_leader_confirmed(const struct job_leader *leader);

/** job_leader_schedule_step() - run the decision module in the next turn of the event loop */
void job_leader_schedule_step(struct job_leader *leader);

/** job_leader_read_segments() - merge the submissions that are below submit/ in the store */
void job_leader_read_segments(struct job_leader *leader);

/**
 * job_leader_read_segments_for() - as job_leader_read_segments(), on behalf of a caller
 * @done: called once a read that began after this call has ended: with 0 when the jobs recorded
 *	before are merged, or with an error when the store could not be read. Not called when the
 *	leader is freed.
 *
 * Only for a leader that has loaded its jobs.
 */
void job_leader_read_segments_for(struct job_leader *leader, void (*done)(int status, void *ctx),
				  void *ctx);

/** job_leader_cancel_job() - cancel a job; @done is called when that is recorded */
void job_leader_cancel_job(struct job_leader *leader, struct job_record *job,
			   void (*done)(int status, void *ctx), void *ctx);

/** job_leader_end_job() - set the final state of a job and keep its result */
void job_leader_end_job(struct job_leader *leader, struct job_record *job, enum job_state state,
			const char *reason);

/** job_leader_add_to_place() - add a job to the decision module */
void job_leader_add_to_place(struct job_leader *leader, struct job_record *job);

/** job_is_restartable() - true when the job's class is idempotent */
bool job_is_restartable(struct jobs *jobs, const struct job_record *job);

/** job_leader_count_live() - number of jobs of @organisation that have not ended */
uint32_t job_leader_count_live(const struct job_leader *leader, const char *organisation);

/* jobworkers.c: passes workers and the configuration to the decision module */

/** job_leader_update_worker() - an agent has announced @target, or has been lost */
void job_leader_update_worker(struct job_leader *leader, const struct member_target *target);

/** job_leader_report_lost_workers() - report losses that had to wait for job_leader_confirmed() */
void job_leader_report_lost_workers(struct job_leader *leader);

/** job_leader_apply_config() - apply the current configuration */
void job_leader_apply_config(struct job_leader *leader);

/* jobgang.c: attempts under way, driven by the placement leader */

/* A start that the decision module has decided. */
struct job_start {
	uint32_t attempt;
	struct job_member *members;
	uint32_t member_count;
};

/** job_gang_start() - start an attempt, once the job's previous one has ended */
void job_gang_start(struct job_leader *leader, struct job_record *job,
		    const struct place_decision *decision);

/** job_gang_restore() - take over the attempt of a job whose grant was read from the store */
void job_gang_restore(struct job_leader *leader, struct job_record *job);

/** job_gang_abort() - stop all members; the job then ends as failed with @reason */
void job_gang_abort(struct job_leader *leader, struct job_record *job, const char *reason);

/** job_gang_evict() - stop the attempt, with the checkpoint and grace time of @decision */
void job_gang_evict(struct job_leader *leader, struct job_record *job,
		    const struct place_decision *decision);

/** job_gang_handle_message() - handle an agent's message; true if its type belongs to the gang
 * protocol */
bool job_gang_handle_message(struct job_leader *leader, const char *peer, const struct msg *msg);

/** job_gang_worker_lost() - members on @node are lost; @dead: because their agent restarted */
void job_gang_worker_lost(struct job_leader *leader, const char *node, bool dead);

/** job_gang_tick() - run the timers of all gangs that are due; true while a gang starts or stops */
bool job_gang_tick(struct job_leader *leader);

/* jobapi.c: queries of callers, on every entry host */

struct job_queries;

struct job_queries *job_queries_create(struct jobs *jobs);

/**
 * job_queries_ask() - send a query to the placement leader, or to the store without one
 * @wait_ms: a "get" is answered when the job has ended or after this time
 */
void job_queries_ask(struct job_queries *queries, const char *verb, const char *job,
		     const char *organisation, uint32_t wait_ms, struct jobs_cb cb);

/** job_queries_answer() - the leader has answered query @id; @json is borrowed */
void job_queries_answer(struct job_queries *queries, uint64_t id, int code, json_t *json);

/* jobserve.c: answers of the placement leader */

/** job_serve_query() - answer a query; @peer is the entry host that sent it, "" for this process */
void job_serve_query(struct job_leader *leader, const char *peer,
		     const struct msg_job_query *query);

/* jobs.c */

struct jobs {
	struct jobs_deps deps;
	struct election *election;
	struct job_leader *leader; /* NULL while this process is not the placement leader */
	struct job_submit_queue *submit_queue;
	struct job_queries *queries;
	char *leader_peer; /* peer name of the leader; "": unknown, or this process */
	char *leader_address;
	uint64_t created_ms; /* util_clock_ms() */
	bool closing;
	void (*shutdown_done)(void *ctx);
	void *shutdown_ctx;
	struct tevent_timer *shutdown_timer;
	uint64_t shutdown_deadline_ms;
	struct tevent_timer *reload_timer;
};

/** jobs_timer() - a timer on the module's event loop, freed with @mem */
struct tevent_timer *jobs_timer(struct jobs *jobs, TALLOC_CTX *mem, uint64_t delay_ms,
				tevent_timer_handler_t handler, void *ctx);

/** jobs_reload() - discard and reload the job state, after a write conflict in the store */
void jobs_reload(struct jobs *jobs);

/** jobs_send_to_leader() - send to the leader; -ERR_UNAVAILABLE when none is known or reachable */
int jobs_send_to_leader(struct jobs *jobs, const struct msg *msg);

#endif
