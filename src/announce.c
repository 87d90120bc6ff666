#include "announce.h"
#include "log.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#define BODY_MAX_BYTES (64 * 1024)
#define CONNECTIONS_MAX 32U
#define IDLE_TIMEOUT_S 10U
#define ACCELERATORS_MAX 64 /* bits of an accelerator mask */
#define COUNT_MAX 1000000000
#define CLOCK_MAX_MS (INT64_MAX / 4) /* differences of clocks and ends of leases fit */

struct announce {
	struct tevent_context *ev;
	struct MHD_Daemon *daemon;
	struct tevent_fd *fde;
	struct tevent_immediate *again;
	char *address;
	struct announce_handlers handlers;
	struct metrics *metrics;
};

/* One HTTP request, of which the body may still be arriving. */
struct exchange {
	char *body;
	size_t len;
	bool too_large;
};

static int bad_field(struct err *err, const char *field, const char *remedy)
{
	return err_set(err, ERR_INVALID, remedy, "field \"%s\" is missing or wrong", field);
}

static bool has_control_character(const char *text)
{
	for (; *text; text++) {
		if ((unsigned char)*text < ' ' || *text == 0x7f)
			return true;
	}
	return false;
}

static int read_name(json_t *root, const char *field, const char **out, TALLOC_CTX *mem,
		     struct err *err)
{
	const char *text = json_string_value(json_object_get(root, field));

	if (!text || !text[0] || strlen(text) > 255 || has_control_character(text))
		return bad_field(err, field,
				 "give a text of 1 to 255 bytes without control characters");
	*out = talloc_strdup(mem, text);
	return 0;
}

static int read_count(json_t *root, const char *field, json_int_t min, json_int_t max,
		      uint32_t *out, struct err *err)
{
	json_t *value = json_object_get(root, field);

	if (!value && min == 0) {
		*out = 0;
		return 0;
	}
	if (!json_is_integer(value) || json_integer_value(value) < min ||
	    json_integer_value(value) > max)
		return err_set(err, ERR_INVALID, "correct the target's announcement",
			       "field \"%s\" must be a whole number from %lld to %lld", field,
			       (long long)min, (long long)max);
	*out = (uint32_t)json_integer_value(value);
	return 0;
}

static int read_kind(json_t *root, struct target_info *out, struct err *err)
{
	const char *kind = json_string_value(json_object_get(root, "kind"));

	if (kind && !strcmp(kind, "service"))
		out->kind = MSG_TARGET_SERVICE;
	else if (kind && !strcmp(kind, "worker"))
		out->kind = MSG_TARGET_WORKER;
	else
		return bad_field(err, "kind", "give \"service\" or \"worker\"");
	return 0;
}

static int read_state(json_t *root, struct target_info *out, struct err *err)
{
	const char *state = json_string_value(json_object_get(root, "state"));

	if (!state || (strcmp(state, "alive") != 0 && strcmp(state, "leaving") != 0))
		return bad_field(err, "state", "give \"alive\" or \"leaving\"");
	out->leaving = !strcmp(state, "leaving");
	return 0;
}

static int read_incarnation(json_t *root, struct target_info *out, struct err *err)
{
	json_t *value = json_object_get(root, "incarnation");

	if (!json_is_integer(value) || json_integer_value(value) <= 0)
		return bad_field(err, "incarnation",
				 "give the start time of the target in milliseconds");
	out->incarnation = (uint64_t)json_integer_value(value);
	return 0;
}

static int read_clock(json_t *root, struct target_info *out, struct err *err)
{
	json_t *value = json_object_get(root, "clock_ms");

	if (value && (!json_is_integer(value) || json_integer_value(value) <= 0 ||
		      json_integer_value(value) > CLOCK_MAX_MS))
		return bad_field(err, "clock_ms",
				 "give the target's monotonic clock in milliseconds");
	out->clock_ms = (uint64_t)json_integer_value(value);
	return 0;
}

static int read_url(json_t *root, struct target_info *out, TALLOC_CTX *mem, struct err *err)
{
	static const char *const remedy = "give \"http://IP:PORT\" without a path";
	const char *url = json_string_value(json_object_get(root, "url"));
	unsigned char ip[sizeof(struct in_addr)];
	char host[INET_ADDRSTRLEN] = "";
	const char *colon;
	char *end;
	long port;

	if (!url || strncmp(url, "http://", 7) != 0)
		return bad_field(err, "url", remedy);
	colon = strchr(url + 7, ':');
	if (!colon || (size_t)(colon - url - 7) >= sizeof(host))
		return bad_field(err, "url", remedy);
	memcpy(host, url + 7, (size_t)(colon - url - 7));
	port = strtol(colon + 1, &end, 10);
	if (inet_pton(AF_INET, host, ip) != 1 || colon[1] < '0' || colon[1] > '9' || *end ||
	    port < 1 || port > 65535)
		return bad_field(err, "url", remedy);
	out->url = talloc_strdup(mem, url);
	return 0;
}

static int read_capacity(json_t *root, struct target_info *out, struct err *err)
{
	bool service = out->kind == MSG_TARGET_SERVICE;
	struct slots_capacity *capacity = &out->capacity;
	int ret = read_count(root, "slots", service, COUNT_MAX, &capacity->slots, err);

	if (!ret)
		ret = read_count(root, "connections", service, COUNT_MAX, &capacity->connections,
				 err);
	if (!ret)
		ret = read_count(root, "accelerators", 0, ACCELERATORS_MAX, &capacity->accelerators,
				 err);
	if (!ret)
		ret = read_count(root, "cores", !service, COUNT_MAX, &capacity->cores, err);
	if (!ret)
		ret = read_count(root, "memory_mb", !service, COUNT_MAX, &capacity->memory_mb, err);
	return ret;
}

static int read_fields(TALLOC_CTX *mem, json_t *root, struct target_info *out, struct err *err)
{
	int ret = read_kind(root, out, err);

	if (!ret)
		ret = read_name(root, "target", &out->name, mem, err);
	out->service = "";
	if (!ret && out->kind == MSG_TARGET_SERVICE)
		ret = read_name(root, "service", &out->service, mem, err);
	if (!ret)
		ret = read_url(root, out, mem, err);
	if (!ret)
		ret = read_incarnation(root, out, err);
	if (!ret)
		ret = read_clock(root, out, err);
	if (!ret)
		ret = read_state(root, out, err);
	if (!ret)
		ret = read_capacity(root, out, err);
	return ret;
}

int announce_parse(TALLOC_CTX *mem, const char *body, size_t len, struct target_info *out,
		   struct err *err)
{
	json_error_t problem;
	json_t *root = json_loadb(body, len, JSON_REJECT_DUPLICATES, &problem);
	int ret;

	memset(out, 0, sizeof(*out));
	if (!json_is_object(root)) {
		json_decref(root);
		return err_set(err, ERR_INVALID, "send the announcement as a JSON object",
			       "the body is not a JSON object: %s", problem.text);
	}
	ret = read_fields(mem, root, out, err);
	json_decref(root);
	return ret;
}

static enum MHD_Result answer_text(struct MHD_Connection *connection, unsigned int status,
				   const char *type, const char *text)
{
	struct MHD_Response *response;
	enum MHD_Result ret;

	response =
		MHD_create_response_from_buffer(strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(response, "Content-Type", type);
	ret = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return ret;
}

static unsigned int http_status(int code)
{
	switch (code) {
	case -ERR_INVALID:
		return MHD_HTTP_BAD_REQUEST;
	case -ERR_TOO_LARGE:
		return MHD_HTTP_CONTENT_TOO_LARGE;
	case -ERR_NOT_FOUND:
		return MHD_HTTP_NOT_FOUND;
	case -ERR_CONFLICT:
	case -ERR_STALE:
		return MHD_HTTP_CONFLICT;
	default:
		return MHD_HTTP_SERVICE_UNAVAILABLE;
	}
}

static enum MHD_Result answer_error(struct MHD_Connection *connection, const struct err *err)
{
	json_t *root =
		json_pack("{s:{s:s,s:i,s:s,s:s}}", "error", "kind", err_name((int)err->code),
			  "code", (int)err->code, "message", err->message, "remedy", err->remedy);
	char *text = json_dumps(root, JSON_COMPACT);
	enum MHD_Result ret;

	ret = answer_text(connection, http_status(-(int)err->code), "application/json",
			  text ? text : "{}");
	free(text);
	json_decref(root);
	return ret;
}

static enum MHD_Result handle_announcement(struct announce *server,
					   struct MHD_Connection *connection,
					   const struct exchange *exchange)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct target_info info;
	struct err err = {0};
	enum MHD_Result result;
	int ret;

	if (exchange->too_large)
		ret = err_set(&err, ERR_TOO_LARGE, "send one announcement per request",
			      "the body is longer than %d bytes", BODY_MAX_BYTES);
	else
		ret = announce_parse(mem, exchange->body ? exchange->body : "", exchange->len,
				     &info, &err);
	if (!ret)
		ret = server->handlers.on_announce(&info, &err, server->handlers.ctx);
	if (ret)
		metrics_count_refusal(server->metrics, "announcement");
	if (ret)
		log_once("announce_refused", "", "%s; %s", err.message, err.remedy);
	result = ret ? answer_error(connection, &err)
		     : answer_text(connection, MHD_HTTP_OK, "application/json", "{}");
	talloc_free(mem);
	return result;
}

static enum MHD_Result answer_get(struct announce *server, struct MHD_Connection *connection,
				  const char *url)
{
	struct err err;
	const char *why = "";
	enum MHD_Result ret;
	char *text;

	if (!strcmp(url, "/healthz"))
		return answer_text(connection, MHD_HTTP_OK, "text/plain", "ok\n");
	if (!strcmp(url, "/readyz")) {
		if (server->handlers.ready(&why, server->handlers.ctx))
			return answer_text(connection, MHD_HTTP_OK, "text/plain", "ready\n");
		err_set(&err, ERR_UNAVAILABLE, "wait, or see the agent's log", "not ready: %s",
			why);
		return answer_error(connection, &err);
	}
	if (strcmp(url, "/metrics") != 0) {
		err_set(&err, ERR_NOT_FOUND, "use /v1/announce, /healthz, /readyz or /metrics",
			"no such path: %s", url);
		return answer_error(connection, &err);
	}
	text = metrics_render(server->metrics, NULL);
	ret = answer_text(connection, MHD_HTTP_OK, "text/plain; version=0.0.4", text);
	talloc_free(text);
	return ret;
}

static void collect_body(struct exchange *exchange, const char *data, size_t len)
{
	if (exchange->len + len > BODY_MAX_BYTES) {
		exchange->too_large = true;
		return;
	}
	exchange->body = talloc_realloc(exchange, exchange->body, char, exchange->len + len);
	memcpy(exchange->body + exchange->len, data, len);
	exchange->len += len;
}

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *len, void **state)
{
	struct announce *server = ctx;
	struct exchange *exchange = *state;

	if (!exchange) {
		*state = talloc_zero(server, struct exchange);
		return MHD_YES;
	}
	if (*len > 0) {
		collect_body(exchange, data, *len);
		*len = 0;
		return MHD_YES;
	}
	if (!strcmp(url, "/v1/announce") && !strcmp(method, "POST"))
		return handle_announcement(server, connection, exchange);
	return answer_get(server, connection, url);
}

static void on_completed(void *ctx, struct MHD_Connection *connection, void **state,
			 enum MHD_RequestTerminationCode code)
{
	TALLOC_FREE(*state);
}

static void run_daemon(struct announce *server);

static void run_daemon_again(struct tevent_context *ev, struct tevent_immediate *im, void *data)
{
	run_daemon(data);
}

/* libmicrohttpd reports pending work without a descriptor event as a timeout of 0. */
static void run_daemon(struct announce *server)
{
	MHD_UNSIGNED_LONG_LONG timeout;

	MHD_run(server->daemon);
	if (MHD_get_timeout(server->daemon, &timeout) == MHD_YES && timeout == 0)
		tevent_schedule_immediate(server->again, server->ev, run_daemon_again, server);
}

static void on_daemon_event(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
			    void *data)
{
	run_daemon(data);
}

static int parse_address(const char *address, struct sockaddr_in *out, char *host, size_t size)
{
	const char *colon = strrchr(address, ':');

	if (!colon || (size_t)(colon - address) >= size)
		return -ERR_INVALID;
	memcpy(host, address, (size_t)(colon - address));
	host[colon - address] = '\0';
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return inet_pton(AF_INET, host, &out->sin_addr) == 1 ? 0 : -ERR_INVALID;
}

static int announce_destructor(struct announce *server)
{
	TALLOC_FREE(server->fde);
	if (server->daemon)
		MHD_stop_daemon(server->daemon);
	return 0;
}

static int start_daemon(struct announce *server, const char *address, struct err *err)
{
	const union MHD_DaemonInfo *info;
	struct sockaddr_in bind_to;
	char host[INET_ADDRSTRLEN];

	if (parse_address(address, &bind_to, host, sizeof(host)))
		return err_set(err, ERR_INVALID, "give http_address as \"IP:PORT\"",
			       "%s is not a valid address", address);
	server->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_USE_ERROR_LOG, 0, NULL, NULL, on_request, server,
		MHD_OPTION_SOCK_ADDR, &bind_to, MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX,
		MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, NULL, MHD_OPTION_END);
	if (!server->daemon)
		return err_set(err, ERR_SYSTEM,
			       "choose a free address of this host for http_address",
			       "cannot listen on %s", address);
	info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT);
	server->address = talloc_asprintf(server, "%s:%u", host, (unsigned int)info->port);
	return 0;
}

struct announce *announce_create(TALLOC_CTX *mem, struct tevent_context *ev, const char *address,
				 const struct announce_handlers *handlers, struct metrics *metrics,
				 struct err *err)
{
	struct announce *server = talloc_zero(mem, struct announce);
	const union MHD_DaemonInfo *info;

	server->ev = ev;
	server->handlers = *handlers;
	server->metrics = metrics;
	server->again = tevent_create_immediate(server);
	talloc_set_destructor(server, announce_destructor);
	if (start_daemon(server, address, err)) {
		talloc_free(server);
		return NULL;
	}
	info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	server->fde =
		tevent_add_fd(ev, server, info->epoll_fd, TEVENT_FD_READ, on_daemon_event, server);
	return server;
}

const char *announce_address(const struct announce *server)
{
	return server->address;
}
