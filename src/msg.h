#ifndef JAYCOURSE_MSG_H
#define JAYCOURSE_MSG_H

#include "err.h"

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: Messages between the system's own processes
 *
 * A message is one msgpack array: type, version, then the fields in the order of the
 * struct below. Strings that arrive are never NULL and are bounded by MSG_STRING_MAX.
 * Clocks and expiries are milliseconds of the monotonic clock of the process named in the
 * field's comment. docs/design.md section 4 lists the sender and receiver of each message.
 */

#define MSG_VERSION 1
#define MSG_STRING_MAX 1024
#define MSG_LIST_MAX 4096
#define MSG_BODY_MAX (1024 * 1024) /* bytes of one request body or one answer chunk */

enum msg_type {
	MSG_HELLO = 1,
	MSG_ANNOUNCE,
	MSG_HEARTBEAT,
	MSG_HEARTBEAT_ACK,
	MSG_ENTRIES,
	MSG_TARGET_DELTA,
	MSG_DIGEST,
	MSG_DIGEST_PULL,
	MSG_CONFIG_SLICE,
	MSG_CONFIG_PULL,
	MSG_CONFIG_REV,
	MSG_REQUEST,
	MSG_STARTED,
	MSG_NOT_RUN,
	MSG_CHUNK,
	MSG_END,
	MSG_CREDIT,
	MSG_CANCEL,
	MSG_ATTEMPT_QUERY,
	MSG_ATTEMPT_INFO,
	MSG_HOLD,
	MSG_HELD,
	MSG_HOLD_REFUSED,
	MSG_START,
	MSG_MEMBER_STATUS,
	MSG_RELEASE,
	MSG_STOP,
	MSG_GANG_PING,
	MSG_GANG_BROKEN,
	MSG_JOB_HINT,
	MSG_JOB_QUERY,
	MSG_JOB_INFO,
	MSG_LEAD,
	MSG_WORKER_REPORT,
	MSG_WORKER_ORDERS,
	MSG_RELAY,
	MSG_RELAYED,
	MSG_RELAY_PROBE,
	MSG_RELAY_PROBED,
	MSG_PART,
	MSG_TYPE_COUNT,
};

enum msg_role {
	MSG_ROLE_ENTRY = 1,
	MSG_ROLE_AGENT,
};

enum msg_target_kind {
	MSG_TARGET_SERVICE = 1, /* request-serving instance */
	MSG_TARGET_WORKER,	/* worker that runs tasks */
};

enum msg_target_state {
	MSG_TARGET_ALIVE = 1,
	MSG_TARGET_SUSPECT,
	MSG_TARGET_LEAVING,
	MSG_TARGET_GONE,
};

/* Flags of MSG_REQUEST. */
#define MSG_REQUEST_IDEMPOTENT 1U
#define MSG_REQUEST_URGENT 2U
#define MSG_REQUEST_PROBE 4U

enum msg_attempt_state {
	MSG_ATTEMPT_FENCED = 1, /* has not run here; a request that arrives later is refused */
	MSG_ATTEMPT_RUNNING,	/* the answer follows as CHUNK and END for the querying request */
	MSG_ATTEMPT_FINISHED,	/* the answer follows in the same way, from the stored copy */
	MSG_ATTEMPT_ANSWER_DROPPED, /* ran to its end; the answer is no longer stored */
	/* May have run, still run or run later; no answer follows. Not sent by older agents. */
	MSG_ATTEMPT_UNKNOWN,
};

enum msg_member_state {
	MSG_MEMBER_STARTING = 1,
	MSG_MEMBER_RUNNING,
	MSG_MEMBER_STOPPED,	 /* stopped as asked; checkpoint taken if asked and possible */
	MSG_MEMBER_DONE,	 /* the task ended by itself with success */
	MSG_MEMBER_FAILED,	 /* the task ended by itself with an error */
	MSG_MEMBER_START_FAILED, /* the worker or agent did not start it; nothing runs */
	MSG_MEMBER_LOST, /* stopped unasked, as when the ring of pings between the members broke */
	MSG_MEMBER_UNKNOWN, /* the agent has no record of the member, because it has restarted */
};

struct msg_bytes {
	const uint8_t *data;
	size_t len;
};

struct msg_strings {
	const char **items;
	size_t count;
};

struct msg_hello {
	const char *node;
	uint64_t incarnation;
	uint64_t role; /* enum msg_role */
	const char *region;
	const char *zone;
	const char *rack;
	const char *address; /* address the sender's ROUTER is bound to, "ip:port" */
	uint64_t clock_ms;   /* sender's clock */
};

struct msg_announce {
	const char *node;
	uint64_t incarnation;
	uint64_t kind; /* enum msg_target_kind */
	const char *service;
	const char *target;	     /* name of the target itself */
	uint64_t target_incarnation; /* changes when the target restarts */
	uint64_t state;		     /* enum msg_target_state: alive or leaving */
	uint64_t slots;
	uint64_t connections;
	uint64_t accelerators;
	uint64_t cores;
	uint64_t memory_mb;
	uint64_t clock_ms; /* sender's clock */
};

struct msg_heartbeat {
	uint64_t sequence;
	uint64_t clock_ms; /* sender's clock */
	uint64_t in_flight;
	uint64_t connections_used;
	uint64_t accelerators_free; /* bit mask */
	uint64_t config_revision;
};

struct msg_heartbeat_ack {
	uint64_t sequence;
	uint64_t config_revision;
	uint64_t entries_version;
};

struct msg_entries {
	uint64_t version;
	struct msg_strings ids; /* "<node id>#<incarnation>" */
	struct msg_strings addresses;
};

/* One row of the target table, as sent from entry to entry. */
struct msg_row {
	const char *node;
	uint64_t incarnation;
	const char *region;
	const char *zone;
	const char *rack;
	const char *address;
	uint64_t kind;
	const char *service;
	const char *target;
	uint64_t target_incarnation;
	uint64_t state; /* enum msg_target_state */
	uint64_t slots;
	uint64_t connections;
	uint64_t accelerators;
	uint64_t cores;
	uint64_t memory_mb;
	uint64_t in_flight;
	uint64_t accelerators_free;
	uint64_t version; /* increases with each change by the entry that gets the heartbeats */
};

struct msg_target_delta {
	uint64_t full; /* 1: complete list of the sender's rows; 0: changes only */
	struct msg_row *rows;
	size_t row_count;
};

struct msg_digest {
	uint64_t row_count;
	uint64_t rows_hash;
	uint64_t config_revision;
	uint64_t duty_epoch; /* epoch in which the sender leads placement; 0: it does not lead */
};

struct msg_digest_pull {
	uint64_t unused;
};

struct msg_config_slice {
	uint64_t revision;
	struct msg_bytes json; /* the values an agent needs, a JSON object */
};

struct msg_config_pull {
	uint64_t have_revision;
};

struct msg_config_rev {
	uint64_t revision;
	struct msg_bytes json; /* merged files: JSON object that maps file names to contents */
};

struct msg_request {
	uint64_t id;
	const char *service;
	const char *class_name;
	const char *organisation;
	uint64_t flags;
	uint64_t key_hash;   /* 0 when the request carries no idempotency key */
	uint64_t expiry_ms;  /* receiver's clock; the request is not started after this time */
	uint64_t timeout_ms; /* time limit for the target's complete answer */
	const char *content_type;
	struct msg_bytes body;
};

struct msg_started {
	uint64_t id;
	uint64_t in_flight;
};

struct msg_not_run {
	uint64_t id;
	uint64_t code; /* enum err_code */
	const char *reason;
	uint64_t in_flight;
};

struct msg_chunk {
	uint64_t id;
	uint64_t offset;
	struct msg_bytes data;
	uint64_t status; /* HTTP status of the target's answer, at offset 0; 0: not known yet */
	const char *content_type; /* at offset 0; "": not known yet */
};

struct msg_end {
	uint64_t id;
	uint64_t code;	 /* 0, or an enum err_code when the answer is incomplete */
	uint64_t status; /* HTTP status of the target's answer */
	const char *content_type;
	uint64_t length;
	uint64_t checksum; /* util_hash64() chained over the bytes, see request.h */
	uint64_t in_flight;
};

struct msg_credit {
	uint64_t id;
	uint64_t bytes;
};

struct msg_cancel {
	uint64_t id;
};

struct msg_attempt_query {
	uint64_t id; /* request id of the querying entry */
	uint64_t key_hash;
	uint64_t fence; /* 1: if the key is unknown, refuse requests with it that arrive later */
};

struct msg_attempt_info {
	uint64_t id;
	uint64_t key_hash;
	uint64_t state; /* enum msg_attempt_state */
};

struct msg_hold {
	uint64_t epoch;
	const char *job;
	uint64_t attempt;
	uint64_t member;
	const char *organisation;
	const char *class_name;
	uint64_t accelerator_mask;
	uint64_t cores;
	uint64_t memory_mb;
	uint64_t ttl_ms;
	uint64_t checkpoint;	  /* 1 when the task can be checkpointed */
	struct msg_bytes payload; /* opaque task description for the worker */
};

struct msg_held {
	const char *job;
	uint64_t attempt;
	uint64_t member;
};

struct msg_hold_refused {
	const char *job;
	uint64_t attempt;
	uint64_t member;
	uint64_t code;
	const char *reason;
};

struct msg_start {
	uint64_t epoch;
	const char *job;
	uint64_t attempt;
	uint64_t member;
	struct msg_strings nodes;     /* agents of the gang in member order */
	struct msg_strings addresses; /* their addresses, in the same order */
};

struct msg_member_status {
	const char *job;
	uint64_t attempt;
	uint64_t member;
	uint64_t state; /* enum msg_member_state */
	const char *reason;
	uint64_t usage_percent;
	uint64_t checkpoint_ms; /* run time that the last checkpoint preserves */
	uint64_t may_have_run;	/* START_FAILED: the worker did not answer; the task may have run */
};

struct msg_release {
	uint64_t epoch;
	const char *job;
	uint64_t attempt;
};

struct msg_stop {
	uint64_t epoch;
	const char *job;
	uint64_t attempt;
	uint64_t grace_ms;
	uint64_t checkpoint;
};

struct msg_gang_ping {
	const char *job;
	uint64_t attempt;
	uint64_t member; /* index of the sender */
	uint64_t closed; /* 1 once the sender knows that all members of the ring are ready */
};

struct msg_gang_broken {
	const char *job;
	uint64_t attempt;
	uint64_t member; /* index of the member found dead */
};

struct msg_job_hint {
	uint64_t unused;
};

/* Query or change of jobs, forwarded by any entry to the entry that leads placement. */
struct msg_job_query {
	uint64_t id;
	const char *verb; /* "get", "list", "cancel", "explain", "fragmentation" */
	const char *job;
	const char *organisation; /* "" for operators: all organisations */
};

struct msg_job_info {
	uint64_t id;
	uint64_t code; /* 0 or enum err_code */
	struct msg_bytes json;
};

/* From the leader of the fleet to an agent: send reports to @address from now on. */
struct msg_lead {
	uint64_t term;
	const char *node;
	const char *address;
};

/* From an agent to the leader: tasks that run, ended or were refused; fields in fleetmsg.h. */
struct msg_worker_report {
	uint64_t term; /* highest that the agent knows */
	struct msg_bytes json;
};

/* From the leader to an agent: tasks to start, stop and forget; fields in fleetmsg.h. */
struct msg_worker_orders {
	uint64_t term;
	struct msg_bytes json;
};

/* From an entry that can't reach the store to another: create @key, which must not exist yet. */
struct msg_relay {
	uint64_t id;
	const char *key;
	const char *requires_key; /* key that must exist; "" for none */
	struct msg_bytes value;
	uint64_t requires_revision; /* that @requires_key must have; 0: any */
};

struct msg_relayed {
	uint64_t id;
	uint64_t code; /* 0 or enum err_code */
};

/* From an entry that can't reach the store to another: does the store answer you? */
struct msg_relay_probe {
	uint64_t id; /* of the write that is to be made */
};

struct msg_relay_probed {
	uint64_t id;
	uint64_t code; /* 0: the store answers; or enum err_code */
};

/* Part of an encoded message that is too long to be sent whole, see parts.h. */
struct msg_part {
	uint64_t number; /* of the message */
	uint64_t offset; /* of the part in it */
	uint64_t total;	 /* bytes of the message */
	struct msg_bytes data;
};

/**
 * struct msg - one message of any type
 * @type: selects the member of the union
 *
 * Strings and bytes are borrowed when encoding and owned by the message when decoded.
 */
struct msg {
	enum msg_type type;
	union {
		struct msg_hello hello;
		struct msg_announce announce;
		struct msg_heartbeat heartbeat;
		struct msg_heartbeat_ack heartbeat_ack;
		struct msg_entries entries;
		struct msg_target_delta target_delta;
		struct msg_digest digest;
		struct msg_digest_pull digest_pull;
		struct msg_config_slice config_slice;
		struct msg_config_pull config_pull;
		struct msg_config_rev config_rev;
		struct msg_request request;
		struct msg_started started;
		struct msg_not_run not_run;
		struct msg_chunk chunk;
		struct msg_end end;
		struct msg_credit credit;
		struct msg_cancel cancel;
		struct msg_attempt_query attempt_query;
		struct msg_attempt_info attempt_info;
		struct msg_hold hold;
		struct msg_held held;
		struct msg_hold_refused hold_refused;
		struct msg_start start;
		struct msg_member_status member_status;
		struct msg_release release;
		struct msg_stop stop;
		struct msg_gang_ping gang_ping;
		struct msg_gang_broken gang_broken;
		struct msg_job_hint job_hint;
		struct msg_job_query job_query;
		struct msg_job_info job_info;
		struct msg_lead lead;
		struct msg_worker_report worker_report;
		struct msg_worker_orders worker_orders;
		struct msg_relay relay;
		struct msg_relayed relayed;
		struct msg_relay_probe relay_probe;
		struct msg_relay_probed relay_probed;
		struct msg_part part;
	} u;
};

/**
 * msg_encode() - encode a message
 * @msg: message to encode, borrowed; NULL strings are sent as ""
 * @mem: talloc parent that owns the result
 * @out: receives the bytes
 * @len: receives their number
 *
 * Return: 0, or -ERR_INVALID when the type is unknown.
 */
int msg_encode(const struct msg *msg, TALLOC_CTX *mem, uint8_t **out, size_t *len);

/**
 * msg_decode() - decode a message from an untrusted sender
 * @mem: talloc parent that owns the result
 * @data: bytes, borrowed
 * @len: number of bytes
 * @out: receives the message
 * @err: explanation on failure, may be NULL
 *
 * Missing trailing fields read as zero or "" and surplus fields are ignored, so that
 * processes of neighbouring versions understand each other during an upgrade.
 *
 * Return: 0 or -ERR_INVALID.
 */
int msg_decode(TALLOC_CTX *mem, const uint8_t *data, size_t len, struct msg **out, struct err *err);

/** msg_type_name() - lower-case name of a type, for logs and metrics labels */
const char *msg_type_name(enum msg_type type);

#endif
