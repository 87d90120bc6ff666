#ifndef JAYCOURSE_HTTPC_H
#define JAYCOURSE_HTTPC_H

#include "err.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/**
 * DOC: Asynchronous HTTP client on a tevent loop (libcurl multi interface)
 */

struct httpc;
struct httpc_call;

/**
 * struct httpc_request - one HTTP call
 * @method: "GET", "POST", …
 * @url: absolute URL, copied
 * @headers: "Name: value" strings, borrowed until httpc_start() returns
 * @body: request body, copied; NULL for none
 * @timeout_ms: for the whole call; 0: none (long polls and streams)
 * @connect_timeout_ms: 0 means 1000
 * @answer_max: longest answer in bytes; a longer one fails with -ERR_TOO_LARGE; 0 means 16 MiB.
 *	Not used with @on_data.
 * @fresh_connection: open a new connection. libcurl silently resends a request when a
 *	reused connection turns out to be closed, so requests that must not run twice need this
 *	or @send_once.
 * @send_once: a request whose connection breaks fails instead of being sent again
 * @on_data: receives the answer piece by piece instead of as a whole; may be NULL. It
 *	returns false to pause; httpc_resume() then delivers the same piece again.
 * @done: called once, unless the call is cancelled. @status: 0 when a complete HTTP answer
 *	arrived (with any HTTP status); -ERR_UNAVAILABLE when the request was certainly not sent;
 *	-ERR_OUTCOME_UNKNOWN when it may have been; @body is NUL terminated, borrowed.
 * @connect_errno: if not NULL, receives the error number of the attempt to connect before @done is
 *	called; 0 if none failed or the system gave no number. ECONNREFUSED alone is an answer
 *	of the other host; others, such as EMFILE or EADDRNOTAVAIL, may be failures of this one.
 * @ctx: passed to the callbacks
 */
struct httpc_request {
	const char *method;
	const char *url;
	const char *const *headers;
	size_t header_count;
	const void *body;
	size_t body_len;
	uint32_t timeout_ms;
	uint32_t connect_timeout_ms;
	size_t answer_max;
	bool fresh_connection;
	bool send_once;
	bool (*on_data)(struct httpc_call *call, const void *data, size_t len, void *ctx);
	void (*done)(int status, int http_status, const char *body, size_t len, void *ctx);
	int *connect_errno;
	void *ctx;
};

/** httpc_create() - create a client; all functions of this module run on the loop thread */
struct httpc *httpc_create(TALLOC_CTX *mem, struct tevent_context *ev);

/** httpc_start() - start a call; NULL when out of memory, then @done is not called */
struct httpc_call *httpc_start(struct httpc *client, const struct httpc_request *request);

/** httpc_status() - HTTP status received so far, 0 before the header; usable in @on_data */
int httpc_status(const struct httpc_call *call);

/** httpc_content_type() - Content-Type of the answer, "" if none; usable in @on_data, borrowed */
const char *httpc_content_type(const struct httpc_call *call);

/**
 * httpc_delimited() - true when the header has a Content-Length or a Transfer-Encoding
 *
 * Without either, an answer that a closed connection truncates looks complete. Usable in @on_data.
 */
bool httpc_delimited(const struct httpc_call *call);

/** httpc_resume() - continue a call paused by @on_data */
void httpc_resume(struct httpc_call *call);

/** httpc_cancel() - drop a call without calling @done; closes its connection */
void httpc_cancel(struct httpc_call *call);

#endif
