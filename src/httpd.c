#include "httpd.h"

#include "log.h"

#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTIONS_MAX 2048
#define CONNECTION_MEMORY_BYTES (16 * 1024) /* also limits the header of a call */
#define CONNECTION_IDLE_S 60
#define LISTEN_BACKLOG 256
#define TIMEOUT_CHECK_INTERVAL_MS 1000 /* of connection timeouts */

struct httpd {
	struct tevent_context *ev;
	struct MHD_Daemon *daemon;
	struct tevent_fd *fde;
	struct tevent_immediate *immediate;
	struct httpd_handlers handlers;
	char *address;
	size_t body_max;
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
	char *body;
	size_t body_len;
	bool too_large;
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

static void schedule_timeout_check(struct httpd *httpd);

static void on_timeout_check(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			     void *ctx)
{
	run_server(ctx);
	schedule_timeout_check(ctx);
}

static void schedule_timeout_check(struct httpd *httpd)
{
	tevent_add_timer(httpd->ev, httpd,
			 tevent_timeval_current_ofs(TIMEOUT_CHECK_INTERVAL_MS / 1000, 0),
			 on_timeout_check, httpd);
}

static enum MHD_Result append_body(struct httpd_call *call, const char *data, size_t *len)
{
	if (call->body_len + *len > call->httpd->body_max)
		call->too_large = true;
	if (!call->too_large) {
		call->body = talloc_realloc(call, call->body, char, call->body_len + *len + 1);
		memcpy(call->body + call->body_len, data, *len);
		call->body_len += *len;
		call->body[call->body_len] = '\0';
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

static enum MHD_Result on_access(void *cls, struct MHD_Connection *connection, const char *url,
				 const char *method, const char *version, const char *data,
				 size_t *len, void **con_cls)
{
	struct httpd *httpd = cls;
	struct httpd_call *call = *con_cls;

	if (!call) {
		call = talloc_zero(httpd, struct httpd_call);
		call->httpd = httpd;
		call->connection = connection;
		call->method = talloc_strdup(call, method);
		call->path = talloc_strdup(call, url);
		*con_cls = call;
		return MHD_YES;
	}
	if (*len > 0)
		return append_body(call, data, len);
	if (call->response)
		return send_response(call);
	if (call->delivered)
		return MHD_YES;
	call->delivered = true;
	httpd->open_calls++;
	if (call->too_large) {
		httpd_answer(call, MHD_HTTP_CONTENT_TOO_LARGE, NULL, NULL, 0);
		return send_response(call);
	}
	if (httpd->stopping)
		httpd_answer(call, MHD_HTTP_SERVICE_UNAVAILABLE, NULL, NULL, 0);
	else
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
		if (httpd->handlers.on_disconnect)
			httpd->handlers.on_disconnect(call, httpd->handlers.ctx);
	}
	if (call->response)
		MHD_destroy_response(call->response);
	talloc_free(call);
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
	httpd->closing = true;
	httpd->stopping = true;
	while (httpd->suspended)
		httpd_answer(httpd->suspended, MHD_HTTP_SERVICE_UNAVAILABLE, NULL, NULL, 0);
	MHD_run(httpd->daemon);
	MHD_stop_daemon(httpd->daemon);
	return 0;
}

struct httpd *httpd_create(TALLOC_CTX *mem, struct tevent_context *ev, const char *address,
			   size_t body_max, const struct httpd_handlers *handlers, struct err *err)
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
	httpd->body_max = body_max;
	httpd->address = bound_address(httpd, fd);
	httpd->immediate = tevent_create_immediate(httpd);
	httpd->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access, httpd,
		MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)CONNECTIONS_MAX, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)CONNECTION_IDLE_S, MHD_OPTION_NOTIFY_COMPLETED, on_completed, httpd,
		MHD_OPTION_UNESCAPE_CALLBACK, decode_path, httpd, MHD_OPTION_END);
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
