#ifndef JAYCOURSE_JOBS_INT_H
#define JAYCOURSE_JOBS_INT_H

#include "gang.h"
#include "jobs.h"
#include "place.h"

#include <glib.h>

/* Parts of the jobs module; see jobs.h. */

#define JOBS_SHARDS 16
#define JOBS_SHARD_BYTES (900 * 1024)  /* of a value of 1 MB; the rest is room for changes */
#define JOBS_PAYLOAD_MAX 4096	       /* so that a shard holds at least 200 live jobs */
#define JOBS_KEEP_MS (24 * 3600000ULL) /* results of ended jobs */
#define JOBS_ID_SIZE 17

enum job_state {
	JOBS_ACCEPTED = 0, /* recorded, not merged yet */
	JOBS_WAITING,
	JOBS_STARTING, /* the grant is written */
	JOBS_RUNNING,
	JOBS_DONE, /* from here on ended */
	JOBS_FAILED,
	JOBS_CANCELLED,
	JOBS_STATE_COUNT,
};

struct job_member {
	char *worker; /* node id of its agent */
	uint64_t mask;
};

/* One job. Strings and members are owned by the record. */
struct job_record {
	char *id;
	char *organisation;
	char *class_name;
	char *payload; /* JSON text; dropped when the job has ended */
	char *reason;
	struct place_shape shape;
	uint64_t declared_ms;
	uint64_t submitted_ms; /* wall clock, as are the other times */
	uint64_t ended_ms;
	bool urgent;
	bool cancel; /* asked for and not yet carried out */
	enum job_state state;
	uint32_t attempt;	    /* count of the decision module */
	uint64_t grant;		    /* attempt number of the grant */
	struct job_member *members; /* of the grant, NULL when there is none */
	uint32_t member_count;
	/* Not stored: */
	struct job_gang *gang;	      /* NULL when no attempt is under way */
	struct job_start *next_start; /* waits for the end of the former attempt */
	bool entered;		      /* the decision module knows it */
};

/* jobrecord.c */

const char *job_state_name(enum job_state state);
bool job_ended(const struct job_record *job);
uint32_t job_shard(const char *id);
size_t job_size(const struct job_record *job);

/** job_to_json() - the record as stored */
json_t *job_to_json(const struct job_record *job);

/** job_from_json() - NULL when the record is malformed */
struct job_record *job_from_json(TALLOC_CTX *mem, const json_t *json);

/** job_to_reply() - the job as in the API */
json_t *job_to_reply(const struct job_record *job);

void job_set_reason(struct job_record *job, const char *reason);
void job_clear_members(struct job_record *job);

/* {"error":…} as in the API, for @err. */
json_t *job_error(const struct err *err, bool unknown);

/* jobbody.c */

/**
 * job_from_body() - check a submission
 * @workers: announced workers, for shapes that could never fit
 *
 * Return: the record without an id, or NULL with @err.
 */
struct job_record *job_from_body(TALLOC_CTX *mem, const json_t *json, const char *organisation,
				 const struct config *config, struct member *members,
				 struct err *err);

/* jobsubmit.c */

struct job_submits;

struct job_submits *job_submits_create(struct jobs *jobs);
void job_submits_add(struct job_submits *s, struct job_record *job, uint64_t deadline_ms,
		     struct jobs_cb cb);
bool job_submits_idle(const struct job_submits *s);

/* jobstore.c: durable state of the holder */

struct job_shards;

/** job_shards_create() - empty; @records maps ids to records, borrowed */
struct job_shards *job_shards_create(TALLOC_CTX *mem, struct jobs *jobs, GHashTable *records);

/** job_shards_loaded() - a shard as read from the store */
void job_shards_loaded(struct job_shards *s, uint32_t shard, int64_t mod_revision);

/**
 * job_shards_write() - write a job's shard soon
 * @done: called once with 0 when it is written; for a job that must not be repeated
 *	(@once) also with -ERR_UNAVAILABLE when this write certainly failed. May be NULL.
 */
void job_shards_write(struct job_shards *s, const char *job, bool once,
		      void (*done)(int status, void *ctx), void *ctx);

/** job_shards_lazy() - write a job's shard with the next write, or within some seconds */
void job_shards_lazy(struct job_shards *s, const char *job);

/** job_shards_drop_segment() - delete a merged segment in the next write */
void job_shards_drop_segment(struct job_shards *s, const char *key);

/** job_shards_room() - is there room for another job of this size in its shard? */
bool job_shards_room(struct job_shards *s, const struct job_record *job);

bool job_shards_idle(const struct job_shards *s);

/* jobduty.c: the holder */

/* Context of store calls; outlives the holder until the last call has ended. */
struct job_link {
	struct job_holder *h; /* NULL when freed */
	uint32_t calls;
};

struct job_worker {
	char *node;
	char *peer;
	char *address;
	char *zone;
	char *rack;
	char *target;
	bool there; /* neither gone nor never seen */
	bool full;  /* alive: may get new work */
};

struct job_holder {
	struct jobs *jobs;
	uint64_t epoch;
	struct place *place;
	GHashTable *records;  /* id to struct job_record */
	GHashTable *segments; /* keys merged and not yet deleted */
	GHashTable *workers;  /* node to struct job_worker */
	GPtrArray *gangs;     /* struct job_gang, borrowed */
	struct job_shards *shards;
	struct store_watch *watch;
	struct tevent_timer *step_timer;
	struct tevent_timer *tick_timer;
	bool loaded;
	bool stepping;
	bool reading_segments;
	bool segments_again;
	uint64_t loaded_ms;
	uint64_t config_revision;
	uint64_t checked_ms; /* last look for members on unknown workers */
	struct job_link *link;
};

struct job_holder *job_holder_create(struct jobs *jobs, uint64_t epoch);
struct job_record *job_holder_find(struct job_holder *h, const char *id);

/** job_holder_step() - have the decision module make its decisions soon */
void job_holder_step(struct job_holder *h);

/** job_holder_read_segments() - merge what is in submit/ now */
void job_holder_read_segments(struct job_holder *h);

/** job_holder_cancel() - withdraw a job; @done when it is recorded */
void job_holder_cancel(struct job_holder *h, struct job_record *job,
		       void (*done)(int status, void *ctx), void *ctx);

/** job_holder_ended() - the job has ended for good: keep the result */
void job_holder_ended(struct job_holder *h, struct job_record *job, enum job_state state,
		      const char *reason);

/** job_holder_enter() - tell the decision module of a job */
void job_holder_enter(struct job_holder *h, struct job_record *job);

/** job_may_run_again() - is the job's class idempotent? */
bool job_may_run_again(struct jobs *jobs, const struct job_record *job);

uint32_t job_holder_live(const struct job_holder *h, const char *organisation);

/* jobworkers.c: what the decision module knows of workers and the configuration */

void job_holder_target(struct job_holder *h, const struct member_target *target);
void job_holder_config(struct job_holder *h);

/* jobgang.c: gangs of the holder */

struct job_start {
	uint32_t attempt;
	struct job_member *members;
	uint32_t member_count;
};

void job_gang_start(struct job_holder *h, struct job_record *job,
		    const struct place_decision *decision);
void job_gang_restore(struct job_holder *h, struct job_record *job);
/** job_gang_give_up() - stop what runs; the job then ends as failed with @reason */
void job_gang_give_up(struct job_holder *h, struct job_record *job, const char *reason);
void job_gang_evict(struct job_holder *h, struct job_record *job,
		    const struct place_decision *decision);
bool job_gang_message(struct job_holder *h, const char *peer, const struct msg *msg);

/** job_gang_worker_lost() - members on @node are lost; @dead: their agent has restarted */
void job_gang_worker_lost(struct job_holder *h, const char *node, bool dead);

/** job_gang_tick() - do what is due; true while a gang starts or stops */
bool job_gang_tick(struct job_holder *h);

/* jobapi.c: queries of callers, on every entry */

struct job_queries;

struct job_queries *job_queries_create(struct jobs *jobs);

/** job_queries_ask() - @wait_ms: answer a "get" only when the job has ended or after this */
void job_queries_ask(struct job_queries *q, const char *verb, const char *job,
		     const char *organisation, uint32_t wait_ms, struct jobs_cb cb);

/** job_queries_answer() - the holder's answer to query @id; @json borrowed */
void job_queries_answer(struct job_queries *q, uint64_t id, int code, json_t *json);

/* jobserve.c: answers of the holder */

/** job_serve() - answer a query; @peer is the asking entry, "" for this process */
void job_serve(struct job_holder *h, const char *peer, const struct msg_job_query *query);

/* jobs.c */

struct jobs {
	struct jobs_deps deps;
	struct duty *duty;
	struct job_holder *holder; /* NULL while another process holds the duty */
	struct job_submits *submits;
	struct job_queries *queries;
	char *holder_peer; /* "" when nobody is known to hold the duty */
	char *holder_address;
	bool closing;
	void (*closed)(void *ctx);
	void *closed_ctx;
	struct tevent_timer *close_timer;
	uint64_t close_by_ms;
	struct tevent_timer *reload_timer;
};

struct tevent_timer *jobs_timer(struct jobs *jobs, TALLOC_CTX *mem, uint64_t delay_ms,
				tevent_timer_handler_t handler, void *ctx);

/** jobs_reload() - read the job state again, after a write that lost against another one */
void jobs_reload(struct jobs *jobs);

/** jobs_send_holder() - -ERR_UNAVAILABLE when no holder is known */
int jobs_send_holder(struct jobs *jobs, const struct msg *msg);

#endif
