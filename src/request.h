#ifndef JAYCOURSE_REQUEST_H
#define JAYCOURSE_REQUEST_H

#include "config.h"
#include "queue.h"
#include "route.h"

#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>

/**
 * DOC: One HTTP request of a caller, from its header to the end of its answer
 *
 * A request is shared by an HTTP thread and the loop thread, which hold one reference each. The
 * HTTP thread fills the fields that describe the request before it submits the request to the
 * loop thread; after that both threads only read them. The answer goes through a bounded buffer
 * that the lock protects.
 *
 * An answer's checksum is util_hash64() chained over its chunks in order: hash starts at 0
 * and becomes util_hash64(chunk, chunk length, hash) with each chunk. The agent computes it
 * over the chunks as it sends them; chunks are never split or joined in transit.
 */

#define REQUEST_CHUNK_MAX (64 * 1024) /* bytes of one answer chunk */
/* Bytes of an answer that an agent may send before the caller has read them. */
#define REQUEST_CREDIT_BYTES (256 * 1024)
/* Bytes that the caller has to read before the agent is granted new credit. */
#define REQUEST_CREDIT_STEP_BYTES (64 * 1024)
/*
 * Bytes of an answer without an END that are held back from the caller. Until the caller gets
 * the first byte, a failed attempt can be retried without the caller noticing. The limit is half
 * the credit, so that the agent can go on sending.
 */
#define REQUEST_HOLD_BACK_BYTES (128 * 1024)
#define REQUEST_LENGTH_UNKNOWN UINT64_MAX
#define REQUEST_ID_MAX 96
#define REQUEST_KEY_MAX 256 /* bytes of an idempotency key */

enum request_outcome {
	REQUEST_NOT_RUN,
	REQUEST_UNKNOWN,
	REQUEST_FAILED,
};

enum request_state {
	REQUEST_NEW,
	REQUEST_QUEUED,
	REQUEST_CLAIMING, /* the claim of its key is being written to the store */
	REQUEST_SENT,	  /* at least one attempt is open */
	REQUEST_BACKOFF,
	REQUEST_DONE,
};

struct dispatch;
struct request;

/* One attempt: a request sent to an agent, or a query for an earlier run; loop thread only. */
struct request_attempt {
	struct request *request;
	uint64_t id; /* unique in this process; 0: unused */
	char *peer;  /* peer name of the agent, owned by the request */
	bool started;
	bool probe;    /* decides on the readmission of its target, see &struct route_choice */
	bool joined;   /* opened by attempt_query(): gets the answer of a run sent earlier */
	bool querying; /* ATTEMPT_QUERY was sent and ATTEMPT_INFO has not arrived */
	uint64_t sent_us;
	uint64_t last_message_ms; /* time of the agent's last message */
	uint64_t reply_due_ms;	  /* latest time for STARTED or ATTEMPT_INFO; 0: none */
	uint64_t received;	  /* bytes received, which is also the next offset expected */
	uint64_t checksum;
	int status; /* HTTP status, from the first chunk; 0: not received */
	char type[128];
};

struct request_chunk {
	struct request_chunk *next;
	size_t len;
	size_t consumed; /* bytes that request_read_answer() has copied */
	uint8_t data[];
};

struct request {
	atomic_int refs;
	int fd; /* socket of the caller's connection */
	char id[REQUEST_ID_MAX];

	/* Written by the HTTP thread before submission, then read-only apart from err. */
	struct config *config; /* reference held until the request is freed */
	const struct config_organisation *organisation;
	const struct config_operator *operator_;
	const struct config_class *class_;
	const char *service;
	const char *token;
	const char *class_name;
	const char *key; /* idempotency key, NULL if none */
	const char *idempotent_text;
	const char *deadline_text;
	const char *content_type;
	const char *argument; /* variable segment of the URL path */
	const char *timeout_text;
	const char *duplicate_header; /* name of a duplicated header, or NULL */
	bool identified; /* token checked; denied if organisation and operator_ are NULL */
	bool needs_claim;
	bool idempotent;
	bool quota_counted;
	int http_status; /* status of an error answer; 0: derived from the error code */
	uint64_t key_hash;
	uint64_t deadline_ms; /* util_clock_ms() */
	uint8_t *body;	      /* g_malloc() */
	size_t body_len;
	void *connection; /* of the HTTP server */
	void *http;	  /* private to the HTTP side */
	struct err err;	  /* reason of a refusal, by a filter or by dispatch */

	/* Used by the loop thread only. */
	enum request_state state;
	struct queue_item item;
	struct queue_flow_spec flow;
	struct request_attempt attempts[2];
	char *excluded[ROUTE_EXCLUDE_MAX]; /* the latest excluded peers */
	uint32_t excluded_count;	   /* exclusions so far; may exceed the array */
	uint32_t retry_count;
	uint32_t slots_full_count; /* refusals because all slots of the target were taken */
	uint32_t claim_serial;
	uint32_t retry_after_s;
	bool may_have_run;
	bool claimed;
	int64_t claim_revision;	   /* store revision of the key's claim; 0: no claim known */
	uint64_t next_action_ms;   /* end of the backoff, or time to hedge; 0: none */
	uint64_t credit_granted;   /* consumed bytes for which the agent got new credit */
	struct dispatch *dispatch; /* borrowed; set on submission */
	struct request *next;
	struct request *prev;

	/* Answer, protected by the lock. */
	pthread_mutex_t lock;
	bool ready; /* status and type are known and may be sent */
	bool ended;
	bool aborted;	/* the answer is incomplete; the connection must not end it properly */
	bool suspended; /* the HTTP side waits to be woken */
	int status;
	char answer_type[128];
	uint64_t length;
	struct request_chunk *head;
	struct request_chunk *tail;
	size_t buffered;
	uint64_t consumed;
	/* Wakes the HTTP side; called with the lock held, only while suspended. */
	void (*wake)(struct request *request);
	/* Called by the thread that releases the last reference. */
	void (*on_free)(struct request *request, void *ctx);
	void *on_free_ctx;
	uint64_t consumed_reported; /* HTTP thread only: value of consumed last sent to the loop */
};

/** request_create() - create a request with one reference */
struct request *request_create(void);

struct request *request_ref(struct request *request);

/** request_unref() - release a reference; the last release frees the request */
void request_unref(struct request *request);

/**
 * request_begin_answer() - begin the answer, unless it has begun
 * @status: HTTP status
 * @type: content type, copied
 * @length: length of the whole answer in bytes, or REQUEST_LENGTH_UNKNOWN
 *
 * From now on the HTTP side may send the header and the bytes appended so far.
 */
void request_begin_answer(struct request *request, int status, const char *type, uint64_t length);

/**
 * request_append_answer() - append bytes to the answer, which are copied
 *
 * Return: 0, or -ERR_TOO_LARGE when more than REQUEST_CREDIT_BYTES would be buffered.
 */
int request_append_answer(struct request *request, const void *data, size_t len);

/** request_discard_answer() - discard the buffered bytes; false when the answer has begun */
bool request_discard_answer(struct request *request);

/** request_end_answer() - mark the answer as complete */
void request_end_answer(struct request *request);

/** request_abort_answer() - end the answer as incomplete; the caller's connection is closed early
 */
void request_abort_answer(struct request *request);

/** request_answer_begun() - true when the status and type of the answer are set */
bool request_answer_begun(struct request *request);

/** request_reply() - set a complete answer; ignored when an answer has begun */
void request_reply(struct request *request, int status, const char *type, const void *data,
		   size_t len);

/** request_reply_json() - like request_reply(); @body is borrowed */
void request_reply_json(struct request *request, int status, const json_t *body);

/** request_reply_error() - answer with the API's error object; request_abort_answer() if the answer
 * has begun */
void request_reply_error(struct request *request, const struct err *err,
			 enum request_outcome outcome);

/**
 * request_wait() - HTTP side: suspend unless the answer can go on now
 * @for_data: wait for bytes of the answer instead of for its header
 * @suspend: called with the lock held when the connection has to wait
 *
 * Return: true when the header or bytes are available, or the answer has ended. If it ended
 * without a header, the connection is to be closed.
 */
bool request_wait(struct request *request, bool for_data, void (*suspend)(struct request *request));

/** request_suspend() - HTTP side: suspend unconditionally, until request_resume() */
void request_suspend(struct request *request, void (*suspend)(struct request *request));

/** request_resume() - wake the HTTP side if it is suspended */
void request_resume(struct request *request);

/**
 * request_read_answer() - HTTP side: read bytes of the answer and remove them from the buffer
 *
 * Return: bytes copied; 0 when none are available yet; -1 at the end; -2 after
 * request_abort_answer().
 */
ssize_t request_read_answer(struct request *request, void *out, size_t max);

/** request_http_status() - HTTP status for an error code, positive or negative */
int request_http_status(int code);

/** request_outcome_name() - "not_run", "unknown" or "failed" */
const char *request_outcome_name(enum request_outcome outcome);

/** request_retryable() - true when the request did not run and may succeed if sent again */
bool request_retryable(int code, enum request_outcome outcome);

/** request_error_json() - the error object of the API; new reference */
json_t *request_error_json(const struct err *err, enum request_outcome outcome, const char *id);

#endif
