#ifndef JAYCOURSE_REQUEST_H
#define JAYCOURSE_REQUEST_H

#include "config.h"
#include "queue.h"
#include "route.h"

#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>

/**
 * DOC: One call of a caller, from its HTTP header to the end of its answer
 *
 * Shared by an HTTP thread and the loop thread, one reference each. The HTTP thread fills
 * the fields that describe the call before it hands the request to the loop thread; after
 * that they are only read. The answer goes through a bounded buffer under the lock.
 *
 * An answer's checksum is util_hash64() chained over its chunks in order: hash starts at 0
 * and becomes util_hash64(chunk, chunk length, hash) with each chunk. The agent computes it
 * over the chunks as it sends them; a chunk is never split or joined on the way.
 */

#define REQUEST_CHUNK_MAX (64 * 1024)	/* bytes of one answer chunk */
#define REQUEST_CREDIT (256 * 1024)	/* bytes of answer an agent may send ahead */
#define REQUEST_CREDIT_STEP (64 * 1024) /* consumed bytes that are reported at once */
/*
 * Bytes held back before an answer without an END goes out: up to here a failed attempt
 * can still be retried unseen. Half the credit, so that the agent keeps sending meanwhile.
 */
#define REQUEST_HOLD_BACK (128 * 1024)
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
	REQUEST_CLAIMING, /* its claim is being written */
	REQUEST_SENT,	  /* at least one attempt is out */
	REQUEST_BACKOFF,
	REQUEST_DONE,
};

struct dispatch;
struct request;

/* One sending of a request to an agent; loop thread only. */
struct request_attempt {
	struct request *request;
	uint64_t id; /* unique in this process; 0: unused */
	char *peer;  /* agent, owned by the request */
	bool started;
	bool joined;   /* follows another request's run through ATTEMPT_QUERY */
	bool querying; /* ATTEMPT_INFO is awaited */
	uint64_t sent_us;
	uint64_t heard_ms;
	uint64_t due_ms;   /* bound for STARTED or ATTEMPT_INFO; 0: none */
	uint64_t received; /* bytes, and the next offset expected */
	uint64_t checksum;
	int status; /* of the answer, told by its first chunk; 0: not yet */
	char type[128];
};

struct request_chunk {
	struct request_chunk *next;
	size_t len;
	size_t taken;
	uint8_t data[];
};

struct request {
	atomic_int refs;
	int fd; /* caller's connection */
	char id[REQUEST_ID_MAX];

	/* Description, written by the HTTP thread before submission. */
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
	const char *argument; /* variable segment of the path */
	const char *timeout_text;
	const char *problem; /* name of a duplicated header, or NULL */
	bool identified;     /* the token has been checked; neither owner set: denied */
	bool needs_claim;
	bool idempotent;
	bool quota_counted;
	int http_status; /* of a refusal, 0: derived from the code */
	uint64_t key_hash;
	uint64_t deadline_ms; /* util_clock_ms() */
	uint8_t *body;	      /* g_malloc() */
	size_t body_len;
	void *connection; /* of the HTTP server */
	void *http;	  /* private to the HTTP side */
	struct err err;	  /* why a filter refused it */

	/* Loop thread. */
	enum request_state state;
	struct queue_item item;
	struct queue_flow_spec place;
	struct request_attempt attempts[2];
	char *excluded[ROUTE_EXCLUDE_MAX];
	uint32_t excluded_count;
	uint32_t tries;
	uint32_t bounces; /* refusals because a target's slots were full */
	uint32_t claim_serial;
	uint32_t retry_after_s;
	bool may_have_run;
	bool claimed;
	int64_t claim_revision; /* of the claim to replace; 0: to create */
	uint64_t step_ms;	/* end of the backoff, or time to hedge; 0: none */
	uint64_t credited;
	struct dispatch *dispatch; /* borrowed; set on submission */
	struct request *next;
	struct request *prev;

	/* Answer, under the lock. */
	pthread_mutex_t lock;
	bool ready; /* status and type are known and may be sent */
	bool ended;
	bool cut; /* the answer is not whole and must not look whole */
	bool suspended;
	int status;
	char answer_type[128];
	uint64_t length;
	struct request_chunk *head;
	struct request_chunk *tail;
	size_t buffered;
	uint64_t consumed;
	/* Wakes the HTTP side; called with the lock held, only while suspended. */
	void (*wake)(struct request *r);
	/* Called by the thread that gives back the last reference. */
	void (*on_free)(struct request *r, void *ctx);
	void *on_free_ctx;
	uint64_t reported; /* HTTP thread: consumed bytes the loop thread has been told */
};

/** request_create() - a request with one reference */
struct request *request_create(void);

struct request *request_ref(struct request *r);

/** request_unref() - give a reference back; the last one frees the request */
void request_unref(struct request *r);

/** request_begin() - status and type are known; @length may be REQUEST_LENGTH_UNKNOWN */
void request_begin(struct request *r, int status, const char *type, uint64_t length);

/** request_append() - more bytes of the answer, copied; -ERR_TOO_LARGE beyond the credit */
int request_append(struct request *r, const void *data, size_t len);

/** request_discard() - drop what was received; false when the answer has begun */
bool request_discard(struct request *r);

/** request_end() - the answer is whole */
void request_end(struct request *r);

/** request_cut() - the answer breaks off; an answer that has begun is not ended properly */
void request_cut(struct request *r);

bool request_begun(struct request *r);

/** request_reply() - a whole answer made here; ignored when one has begun */
void request_reply(struct request *r, int status, const char *type, const void *data, size_t len);

/** request_reply_json() - like request_reply(); @body is borrowed */
void request_reply_json(struct request *r, int status, const json_t *body);

/** request_fail() - answer with the error JSON of the API; cuts an answer that has begun */
void request_fail(struct request *r, const struct err *err, enum request_outcome outcome);

/**
 * request_wait() - HTTP side: suspend until there is something to do
 * @suspend: called with the lock held when the caller has to wait
 * @for_data: wait for bytes instead of for the header
 *
 * Return: true when there is something to do now. When the header was waited for and the
 * request is not ready then, the connection is to be closed.
 */
bool request_wait(struct request *r, bool for_data, void (*suspend)(struct request *r));

/** request_suspend() - HTTP side: suspend in any case, until request_resume() */
void request_suspend(struct request *r, void (*suspend)(struct request *r));

/** request_resume() - wake the HTTP side if it is suspended */
void request_resume(struct request *r);

/**
 * request_read() - HTTP side: take bytes of the answer
 *
 * Return: bytes copied; 0 when none are there yet; -1 at the end; -2 when it was cut.
 */
ssize_t request_read(struct request *r, void *out, size_t max);

/** request_http_status() - status for an error code */
int request_http_status(int code);

/** request_outcome_name() - "not_run", "unknown" or "failed" */
const char *request_outcome_name(enum request_outcome outcome);

/** request_retryable() - true when the same request may succeed later */
bool request_retryable(int code, enum request_outcome outcome);

/** request_error_json() - the error object of the API; new reference */
json_t *request_error_json(const struct err *err, enum request_outcome outcome, const char *id);

#endif
