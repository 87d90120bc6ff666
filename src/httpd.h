#ifndef JAYCOURSE_HTTPD_H
#define JAYCOURSE_HTTPD_H

#include "bodybudget.h"
#include "err.h"
#include "metrics.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/**
 * DOC: HTTP server on the loop thread (libmicrohttpd in its epoll mode)
 *
 * For processes that serve few calls with a small share of one core, where the cost of threads
 * would exceed their benefit. The handler is called when the body of a call is complete; it answers
 * at once or later.
 */

struct httpd;
struct httpd_call;

/**
 * struct httpd_handlers - callbacks
 * @on_call: a call has been read completely; answer it with httpd_answer() now or later
 * @on_disconnect: the caller has closed the connection before its answer; the call must not be used
 *	afterwards. May be NULL when @on_call always answers at once.
 */
struct httpd_handlers {
	void (*on_call)(struct httpd_call *call, void *ctx);
	void (*on_disconnect)(struct httpd_call *call, void *ctx);
	void *ctx;
};

/**
 * struct httpd_limits - what clients may take of the process
 * @body_max: bytes; calls with a larger body are answered 413, or cut off where the body is larger
 *	several times over
 * @connections_max: a further connection takes the place of the one that does least
 * @body_idle_ms: the connection of an unfinished body without progress for this long is closed
 * @bodies: shared by the servers of a process; borrowed, NULL: unlimited
 * @metrics: borrowed; NULL: nothing is counted
 */
struct httpd_limits {
	size_t body_max;
	uint32_t connections_max;
	uint32_t body_idle_ms;
	struct bodybudget *bodies;
	struct metrics *metrics;
};

#define HTTPD_CONNECTIONS_MAX 2048 /* default */
#define HTTPD_BODY_IDLE_MS 15000   /* default; callers' connections may idle as long */

/** httpd_drop_body() - &bodybudget_create.drop of budgets that servers share */
void httpd_drop_body(void *owner);

/**
 * httpd_create_limited() - listen on an address and start the server
 * @address: "ip:port"; port 0 picks a free one
 * @limits: copied
 * @handlers: copied
 *
 * When the server is freed, connections of calls that have no answer yet are closed, and no
 * callback runs any more.
 *
 * Return: the server, or NULL with @err filled.
 */
struct httpd *httpd_create_limited(TALLOC_CTX *mem, struct tevent_context *ev, const char *address,
				   const struct httpd_limits *limits,
				   const struct httpd_handlers *handlers, struct err *err);

/**
 * httpd_create() - the same with default limits
 * @body_max: bytes; see &httpd_limits.body_max
 *
 * When the server is freed, connections of calls that have no answer yet are closed, and no
 * callback runs any more.
 *
 * Return: the server, or NULL with @err filled.
 */
struct httpd *httpd_create(TALLOC_CTX *mem, struct tevent_context *ev, const char *address,
			   size_t body_max, const struct httpd_handlers *handlers, struct err *err);

/** httpd_address() - "ip:port" that the server listens on, borrowed */
const char *httpd_address(const struct httpd *httpd);

/** httpd_close_after_answer() - send "Connection: close" with each answer from now on */
void httpd_close_after_answer(struct httpd *httpd);

/** httpd_open_calls() - number of calls that the handler has not answered yet */
size_t httpd_open_calls(const struct httpd *httpd);

const char *httpd_method(const struct httpd_call *call);
const char *httpd_path(const struct httpd_call *call);

/** httpd_header() - a request header, or NULL; borrowed until the answer */
const char *httpd_header(const struct httpd_call *call, const char *name);

/** httpd_argument() - a parameter of the query string, or NULL; borrowed until the answer */
const char *httpd_argument(const struct httpd_call *call, const char *name);

/** httpd_body() - body of the call, NUL terminated, borrowed until the answer */
const char *httpd_body(const struct httpd_call *call, size_t *len);

/** httpd_set_context() - attach the owner's state to a call; read with httpd_context() */
void httpd_set_context(struct httpd_call *call, void *ctx);
void *httpd_context(const struct httpd_call *call);

/**
 * httpd_answer() - answer a call; the call must not be used afterwards
 * @type: Content-Type, or NULL for none
 * @body: copied; NULL for none
 * @retry_after_s: value of Retry-After, 0 for none
 */
void httpd_answer(struct httpd_call *call, int status, const char *type, const char *body,
		  uint32_t retry_after_s);

#endif
