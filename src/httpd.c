#include "httpd.h"

#include "log.h"
#include "util.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Connections that are being closed, in favour of others, count beyond the limit. */
#define CONNECTIONS_CLOSING_MAX 64
#define OVERSIZE_READ_FACTOR 4 /* a larger body is cut off, a smaller one read to its end */
#define BODY_CAPACITY_MIN 1024
#define RETRY_AFTER_REFUSAL_S 1
#define REFUSED_METRIC "jaycourse_http_refused_total"
#define REFUSED_HELP "Calls and connections refused because of what they take of the process"
#define CONNECTION_MEMORY_BYTES (16 * 1024) /* also limits the header of a call */
#define CONNECTION_IDLE_S 60
#define LISTEN_BACKLOG 256
#define TIMEOUT_CHECK_INTERVAL_MS 1000 /* of connection timeouts */

/* A client's connection, in the list of its server, the most recent one first. */
struct connection {
	struct httpd *httpd;
	struct connection *next;
	struct connection *prev;
	struct httpd_call *call; /* under way; NULL: between two calls */
	int fd;
	uint64_t progress_ms; /* when it was accepted, or when bytes of a body or an answer moved */
	bool closing;
};

struct httpd {
	struct tevent_context *ev;
	struct MHD_Daemon *daemon;
	struct tevent_fd *fde;
	struct tevent_immediate *immediate;
	struct httpd_handlers handlers;
	char *address;
	struct httpd_limits limits;
	struct connection *connections;
	uint32_t connection_count; /* without those that are closing */
	int connections_metric;	   /* only with metrics */
	int bodies_metric;
	size_t open_calls;
	struct httpd_call *suspended; /* calls whose connections wait for their answers */
	bool run_scheduled;
	bool closing;
	bool stopping;
};

struct httpd_call {
	struct httpd *httpd;
	struct MHD_Connection *connection;
	char *method;
	char *path;
	struct connection *peer;
	uint32_t budget; /* handle of its body */
	char *body;
	size_t body_len;
	size_t body_capacity;
	size_t announced; /* Content-Length; 0: none */
	size_t received;  /* bytes of the body, kept or not */
	bool too_large;
	bool dropped;	/* its connection is being closed, because it takes too much */
	bool delivered; /* the call has been passed to the handler or refused */
	bool suspended;
	struct httpd_call *next; /* in &httpd.suspended */
	struct httpd_call *prev;
	struct MHD_Response *response;
	int status;
	void *ctx;
};

static void schedule_run(struct httpd *httpd);

static void run_server(struct httpd *httpd)
{
	MHD_UNSIGNED_LONG_LONG timeout;

	MHD_run(httpd->daemon);
	/* A timeout of zero means that a connection can proceed without a new event. */
	if (MHD_get_timeout(httpd->daemon, &timeout) == MHD_YES && timeout == 0)
		schedule_run(httpd);
}

static void on_immediate(struct tevent_context *ev, struct tevent_immediate *im, void *ctx)
{
	struct httpd *httpd = ctx;

	httpd->run_scheduled = false;
	run_server(httpd);
}

static void schedule_run(struct httpd *httpd)
{
	if (httpd->run_scheduled)
		return;
	httpd->run_scheduled = true;
	tevent_schedule_immediate(httpd->immediate, httpd->ev, on_immediate, httpd);
}

static void on_readable(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *ctx)
{
	run_server(ctx);
}

static void check_connections(struct httpd *httpd);
static void schedule_timeout_check(struct httpd *httpd);

static void on_timeout_check(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			     void *ctx)
{
	check_connections(ctx);
	run_server(ctx);
	schedule_timeout_check(ctx);
}

static void schedule_timeout_check(struct httpd *httpd)
{
	tevent_add_timer(httpd->ev, httpd,
			 tevent_timeval_current_ofs(TIMEOUT_CHECK_INTERVAL_MS / 1000, 0),
			 on_timeout_check, httpd);
}

enum refusal {
	REFUSED_BODY_BUDGET,
	REFUSED_BODY_SIZE,
	REFUSED_CONNECTIONS,
	REFUSED_IDLE,
};

static void count_refusal(const struct httpd *httpd, enum refusal why)
{
	static const char *const labels[] = {
		[REFUSED_BODY_BUDGET] = "reason=\"body_budget\"",
		[REFUSED_BODY_SIZE] = "reason=\"body_size\"",
		[REFUSED_CONNECTIONS] = "reason=\"connections\"",
		[REFUSED_IDLE] = "reason=\"idle\"",
	};

	log_info("client_refused", httpd->address, "%s", labels[why]);
	if (httpd->limits.metrics)
		metrics_count(httpd->limits.metrics, REFUSED_METRIC, labels[why], REFUSED_HELP);
}

/* The server finds the connection closed and ends its call, if there is one. */
static void close_connection(struct connection *peer, enum refusal why)
{
	if (peer->closing)
		return;
	peer->closing = true;
	peer->httpd->connection_count--;
	count_refusal(peer->httpd, why);
	shutdown(peer->fd, SHUT_RDWR);
}

static void free_body(struct httpd_call *call)
{
	TALLOC_FREE(call->body);
	call->body_len = 0;
	call->body_capacity = 0;
	if (call->httpd->limits.bodies)
		bodybudget_close(call->httpd->limits.bodies, call->budget);
	call->budget = BODYBUDGET_NONE;
}

void httpd_drop_body(void *owner)
{
	struct httpd_call *call = owner;

	call->budget = BODYBUDGET_NONE;
	call->dropped = true;
	free_body(call);
	if (call->peer)
		close_connection(call->peer, REFUSED_BODY_BUDGET);
}

/* Grows the buffer, within the budget, to hold @len bytes and a terminator. */
static bool reserve_body(struct httpd_call *call, size_t len)
{
	struct httpd *httpd = call->httpd;
	size_t capacity = MAX(call->body_capacity, BODY_CAPACITY_MIN);

	if (call->announced)
		capacity = MAX(call->announced + 1, len + 1);
	while (capacity < len + 1)
		capacity *= 2;
	capacity = MIN(capacity, httpd->limits.body_max + 1);
	if (capacity <= call->body_capacity)
		return true;
	if (httpd->limits.bodies) {
		if (call->budget == BODYBUDGET_NONE)
			call->budget = bodybudget_open(httpd->limits.bodies, call, util_clock_ms());
		/* Without the terminator, so that a body of just the small size is a small one. */
		if (!bodybudget_reserve(httpd->limits.bodies, call->budget, capacity - 1,
					util_clock_ms()))
			return false;
	}
	call->body = talloc_realloc(call, call->body, char, capacity);
	call->body_capacity = capacity;
	return true;
}

/* Returns MHD_NO, which closes the connection, for a body that is not to be read to its end. */
static enum MHD_Result append_body(struct httpd_call *call, const char *data, size_t *len)
{
	struct httpd *httpd = call->httpd;

	if (call->dropped)
		return MHD_NO;
	call->received += *len;
	if (call->peer)
		call->peer->progress_ms = util_clock_ms();
	if (!call->too_large && call->received > httpd->limits.body_max) {
		call->too_large = true;
		free_body(call);
	}
	if (call->received > OVERSIZE_READ_FACTOR * httpd->limits.body_max) {
		count_refusal(httpd, REFUSED_BODY_SIZE);
		return MHD_NO;
	}
	if (!call->too_large) {
		if (!reserve_body(call, call->body_len + *len)) {
			free_body(call);
			count_refusal(httpd, REFUSED_BODY_BUDGET);
			return MHD_NO;
		}
		memcpy(call->body + call->body_len, data, *len);
		call->body_len += *len;
		call->body[call->body_len] = '\0';
		if (call->budget != BODYBUDGET_NONE)
			bodybudget_progress(httpd->limits.bodies, call->budget, call->body_len,
					    util_clock_ms());
	}
	*len = 0;
	return MHD_YES;
}

static enum MHD_Result send_response(struct httpd_call *call)
{
	enum MHD_Result ret =
		MHD_queue_response(call->connection, (unsigned int)call->status, call->response);

	MHD_destroy_response(call->response);
	call->response = NULL;
	return ret;
}

static void suspend_call(struct httpd_call *call)
{
	struct httpd *httpd = call->httpd;

	call->suspended = true;
	call->next = httpd->suspended;
	if (call->next)
		call->next->prev = call;
	httpd->suspended = call;
	MHD_suspend_connection(call->connection);
}

static void resume_call(struct httpd_call *call)
{
	if (call->prev)
		call->prev->next = call->next;
	else
		call->httpd->suspended = call->next;
	if (call->next)
		call->next->prev = call->prev;
	call->suspended = false;
	MHD_resume_connection(call->connection);
}

/* A body that is announced as much too large is refused before any of it is read. */
static bool is_announced_too_large(struct httpd_call *call, struct MHD_Connection *connection)
{
	const char *text = MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
						       MHD_HTTP_HEADER_CONTENT_LENGTH);
	unsigned long long announced = text ? strtoull(text, NULL, 10) : 0;

	if (announced > OVERSIZE_READ_FACTOR * call->httpd->limits.body_max)
		return true;
	if (announced <= call->httpd->limits.body_max)
		call->announced = announced;
	return false;
}

/* Answers before the body, so the server closes the connection. */
static enum MHD_Result refuse_early(struct httpd_call *call, int status, enum refusal why)
{
	call->delivered = true;
	call->httpd->open_calls++;
	count_refusal(call->httpd, why);
	httpd_answer(call, status, NULL, NULL,
		     status == MHD_HTTP_SERVICE_UNAVAILABLE ? RETRY_AFTER_REFUSAL_S : 0);
	return send_response(call);
}

static struct connection *find_peer(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

static bool is_closing(struct MHD_Connection *connection)
{
	const struct connection *peer = find_peer(connection);

	return peer && peer->closing;
}

static struct httpd_call *new_call(struct httpd *httpd, struct MHD_Connection *connection,
				   const char *method, const char *url)
{
	struct httpd_call *call = talloc_zero(httpd, struct httpd_call);

	call->httpd = httpd;
	call->connection = connection;
	call->method = talloc_strdup(call, method);
	call->path = talloc_strdup(call, url);
	call->budget = BODYBUDGET_NONE;
	call->peer = find_peer(connection);
	if (call->peer) {
		call->peer->call = call;
		call->peer->progress_ms = util_clock_ms();
	}
	return call;
}

static enum MHD_Result on_access(void *cls, struct MHD_Connection *connection, const char *url,
				 const char *method, const char *version, const char *data,
				 size_t *len, void **con_cls)
{
	struct httpd *httpd = cls;
	struct httpd_call *call = *con_cls;

	/* Whether an open call has taken effect is not known here, so it gets no answer. */
	if (httpd->stopping)
		return MHD_NO;
	/* What had arrived before is still read; its answer could not be sent. */
	if (is_closing(connection))
		return MHD_NO;
	if (!call) {
		call = new_call(httpd, connection, method, url);
		*con_cls = call;
		if (is_announced_too_large(call, connection))
			return refuse_early(call, MHD_HTTP_CONTENT_TOO_LARGE, REFUSED_BODY_SIZE);
		if (call->announced && !reserve_body(call, call->announced))
			return refuse_early(call, MHD_HTTP_SERVICE_UNAVAILABLE,
					    REFUSED_BODY_BUDGET);
		return MHD_YES;
	}
	if (*len > 0)
		return append_body(call, data, len);
	if (call->response)
		return send_response(call);
	if (call->delivered)
		return MHD_YES;
	if (call->dropped)
		return MHD_NO;
	call->delivered = true;
	httpd->open_calls++;
	if (call->budget != BODYBUDGET_NONE)
		bodybudget_complete(httpd->limits.bodies, call->budget);
	if (call->too_large) {
		count_refusal(httpd, REFUSED_BODY_SIZE);
		httpd_answer(call, MHD_HTTP_CONTENT_TOO_LARGE, NULL, NULL, 0);
		return send_response(call);
	}
	httpd->handlers.on_call(call, httpd->handlers.ctx);
	if (call->response)
		return send_response(call);
	suspend_call(call);
	return MHD_YES;
}

static void on_completed(void *cls, struct MHD_Connection *connection, void **con_cls,
			 enum MHD_RequestTerminationCode code)
{
	struct httpd *httpd = cls;
	struct httpd_call *call = *con_cls;

	if (!call)
		return;
	*con_cls = NULL;
	if (call->delivered && call->status == 0) {
		httpd->open_calls--;
		if (httpd->handlers.on_disconnect && !httpd->stopping)
			httpd->handlers.on_disconnect(call, httpd->handlers.ctx);
	}
	if (call->response)
		MHD_destroy_response(call->response);
	free_body(call);
	if (call->peer) {
		call->peer->call = NULL;
		call->peer->progress_ms = util_clock_ms();
	}
	talloc_free(call);
}

/* True if a connection does more for its client than @other, so that it should rather stay. */
static bool is_worth_more(const struct connection *connection, const struct connection *other)
{
	bool unfinished = connection->call != NULL;
	bool other_unfinished = other->call != NULL;

	if (unfinished != other_unfinished)
		return !unfinished;
	return connection->progress_ms > other->progress_ms;
}

/*
 * The connection to be closed in favour of a new one: of a body that has not made progress for
 * longest, otherwise the one that has been idle for longest. Calls that wait for their answers
 * stay.
 */
static struct connection *find_least_useful(const struct httpd *httpd)
{
	struct connection *least = NULL;

	for (struct connection *at = httpd->connections; at; at = at->next) {
		if (at->closing || (at->call && at->call->delivered))
			continue;
		if (!least || is_worth_more(least, at))
			least = at;
	}
	return least;
}

static void begin_connection(struct httpd *httpd, struct MHD_Connection *connection, void **context)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct connection *peer = talloc_zero(httpd, struct connection);
	struct connection *least;

	peer->httpd = httpd;
	peer->fd = info->connect_fd;
	peer->progress_ms = util_clock_ms();
	peer->next = httpd->connections;
	if (peer->next)
		peer->next->prev = peer;
	httpd->connections = peer;
	httpd->connection_count++;
	*context = peer;
	if (httpd->connection_count <= httpd->limits.connections_max)
		return;
	least = find_least_useful(httpd);
	if (least)
		close_connection(least, REFUSED_CONNECTIONS);
}

static void end_connection(struct connection *peer)
{
	if (peer->prev)
		peer->prev->next = peer->next;
	else
		peer->httpd->connections = peer->next;
	if (peer->next)
		peer->next->prev = peer->prev;
	if (!peer->closing)
		peer->httpd->connection_count--;
	if (peer->call)
		peer->call->peer = NULL;
	talloc_free(peer);
}

static void on_connection(void *cls, struct MHD_Connection *connection, void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		begin_connection(cls, connection, context);
	else if (*context)
		end_connection(*context);
}

/* Closes connections whose bodies do not get on, and brings the gauges up to date. */
static void check_connections(struct httpd *httpd)
{
	uint64_t now_ms = util_clock_ms();

	for (struct connection *at = httpd->connections; at; at = at->next) {
		if (at->call && !at->call->delivered &&
		    now_ms - at->progress_ms > httpd->limits.body_idle_ms)
			close_connection(at, REFUSED_IDLE);
	}
	if (!httpd->limits.metrics)
		return;
	metrics_set(httpd->limits.metrics, httpd->connections_metric, httpd->connection_count);
	if (httpd->limits.bodies)
		metrics_set(httpd->limits.metrics, httpd->bodies_metric,
			    bodybudget_used(httpd->limits.bodies));
}

const char *httpd_method(const struct httpd_call *call)
{
	return call->method;
}

const char *httpd_path(const struct httpd_call *call)
{
	return call->path;
}

const char *httpd_header(const struct httpd_call *call, const char *name)
{
	return MHD_lookup_connection_value(call->connection, MHD_HEADER_KIND, name);
}

const char *httpd_argument(const struct httpd_call *call, const char *name)
{
	return MHD_lookup_connection_value(call->connection, MHD_GET_ARGUMENT_KIND, name);
}

const char *httpd_body(const struct httpd_call *call, size_t *len)
{
	*len = call->body_len;
	return call->body ? call->body : "";
}

void httpd_set_context(struct httpd_call *call, void *ctx)
{
	call->ctx = ctx;
}

void *httpd_context(const struct httpd_call *call)
{
	return call->ctx;
}

void httpd_answer(struct httpd_call *call, int status, const char *type, const char *body,
		  uint32_t retry_after_s)
{
	struct httpd *httpd = call->httpd;
	char text[16];

	call->response = MHD_create_response_from_buffer(body ? strlen(body) : 0, (void *)body,
							 MHD_RESPMEM_MUST_COPY);
	call->status = status;
	if (type)
		MHD_add_response_header(call->response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
	if (retry_after_s > 0) {
		snprintf(text, sizeof(text), "%u", retry_after_s);
		MHD_add_response_header(call->response, MHD_HTTP_HEADER_RETRY_AFTER, text);
	}
	if (httpd->closing)
		MHD_add_response_header(call->response, MHD_HTTP_HEADER_CONNECTION, "close");
	httpd->open_calls--;
	if (!call->suspended)
		return;
	resume_call(call);
	schedule_run(httpd);
}

void httpd_close_after_answer(struct httpd *httpd)
{
	httpd->closing = true;
}

size_t httpd_open_calls(const struct httpd *httpd)
{
	return httpd->open_calls;
}

/* A decoded "%00" would end the path, so that it named something else; it is left encoded. */
static size_t decode_path(void *cls, struct MHD_Connection *connection, char *text)
{
	return strstr(text, "%00") ? strlen(text) : MHD_http_unescape(text);
}

static int open_socket(const char *address, struct err *err)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	char ip[64];
	unsigned int port;
	int enable = 1;
	int fd;

	if (sscanf(address, "%63[^:]:%u", ip, &port) != 2 || port > 65535 ||
	    inet_pton(AF_INET, ip, &addr.sin_addr) != 1)
		return err_set(err, ERR_INVALID, "Write it as \"ip:port\".",
			       "\"%s\" is not an address to listen on", address);
	addr.sin_port = htons((uint16_t)port);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return err_set(err, ERR_SYSTEM, "Raise the limit of open files.",
			       "cannot create a socket: %s", strerror(errno));
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) || listen(fd, LISTEN_BACKLOG)) {
		err_set(err, ERR_SYSTEM, "Choose a free address of this host.",
			"cannot listen on %s: %s", address, strerror(errno));
		close(fd);
		return -ERR_SYSTEM;
	}
	return fd;
}

static char *bound_address(TALLOC_CTX *mem, int fd)
{
	struct sockaddr_in addr = {0};
	socklen_t len = sizeof(addr);
	char ip[INET_ADDRSTRLEN] = "";

	if (getsockname(fd, (struct sockaddr *)&addr, &len))
		return talloc_strdup(mem, "");
	inet_ntop(AF_INET, &addr.sin_addr, ip, sizeof(ip));
	return talloc_asprintf(mem, "%s:%u", ip, ntohs(addr.sin_port));
}

const char *httpd_address(const struct httpd *httpd)
{
	return httpd->address;
}

static int httpd_destructor(struct httpd *httpd)
{
	if (!httpd->daemon)
		return 0;
	/* libmicrohttpd does not stop while connections are suspended. */
	httpd->stopping = true;
	while (httpd->suspended)
		resume_call(httpd->suspended);
	MHD_stop_daemon(httpd->daemon);
	return 0;
}

static void define_metrics(struct httpd *httpd)
{
	char *label = talloc_asprintf(httpd, "address=\"%s\"", httpd->address);

	httpd->connections_metric =
		metrics_define(httpd->limits.metrics, METRICS_GAUGE, "jaycourse_http_connections",
			       label, "Open connections of clients");
	if (httpd->limits.bodies)
		httpd->bodies_metric = metrics_define(
			httpd->limits.metrics, METRICS_GAUGE, "jaycourse_http_body_bytes", "",
			"Memory of request bodies that are held, of all servers of the process");
	talloc_free(label);
}

struct httpd *httpd_create(TALLOC_CTX *mem, struct tevent_context *ev, const char *address,
			   size_t body_max, const struct httpd_handlers *handlers, struct err *err)
{
	struct httpd_limits limits = {
		.body_max = body_max,
		.connections_max = HTTPD_CONNECTIONS_MAX,
		.body_idle_ms = HTTPD_BODY_IDLE_MS,
	};

	return httpd_create_limited(mem, ev, address, &limits, handlers, err);
}

struct httpd *httpd_create_limited(TALLOC_CTX *mem, struct tevent_context *ev, const char *address,
				   const struct httpd_limits *limits,
				   const struct httpd_handlers *handlers, struct err *err)
{
	struct httpd *httpd = talloc_zero(mem, struct httpd);
	const union MHD_DaemonInfo *info;
	int fd = open_socket(address, err);

	if (fd < 0) {
		talloc_free(httpd);
		return NULL;
	}
	httpd->ev = ev;
	httpd->handlers = *handlers;
	httpd->limits = *limits;
	httpd->address = bound_address(httpd, fd);
	if (limits->metrics)
		define_metrics(httpd);
	httpd->immediate = tevent_create_immediate(httpd);
	httpd->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access, httpd,
		MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)(limits->connections_max + CONNECTIONS_CLOSING_MAX),
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, httpd,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)CONNECTION_IDLE_S,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, httpd, MHD_OPTION_UNESCAPE_CALLBACK,
		decode_path, httpd, MHD_OPTION_END);
	if (!httpd->daemon) {
		err_set(err, ERR_SYSTEM, "Raise the limit of open files.",
			"cannot start the HTTP server on %s", address);
		close(fd);
		talloc_free(httpd);
		return NULL;
	}
	talloc_set_destructor(httpd, httpd_destructor);
	info = MHD_get_daemon_info(httpd->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	httpd->fde = tevent_add_fd(ev, httpd, info->epoll_fd, TEVENT_FD_READ, on_readable, httpd);
	schedule_timeout_check(httpd);
	return httpd;
}
