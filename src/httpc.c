#include "httpc.h"

#include <curl/curl.h>
#include <string.h>

#define CONNECT_TIMEOUT_DEFAULT_MS 1000
#define TCP_KEEPALIVE_S 5L
#define ANSWER_MAX_DEFAULT_BYTES (16 * 1024 * 1024)

struct httpc {
	struct tevent_context *ev;
	CURLM *multi;
	struct tevent_timer *timer;
	struct httpc_call *calls;
};

struct httpc_call {
	struct httpc *client;
	struct httpc_call *next;
	struct httpc_call *prev;
	CURL *easy;
	struct curl_slist *headers;
	struct httpc_request request;
	char *body;
	size_t len;
	bool too_large;
	bool sent;
};

struct socket_watch {
	struct httpc *client;
	struct tevent_fd *fde;
	curl_socket_t fd;
};

static void free_call(struct httpc_call *call)
{
	struct httpc *client = call->client;

	if (call->prev)
		call->prev->next = call->next;
	else
		client->calls = call->next;
	if (call->next)
		call->next->prev = call->prev;
	curl_multi_remove_handle(client->multi, call->easy);
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	talloc_free(call);
}

/*
 * Only errors from before the first byte of the request is sent give -ERR_UNAVAILABLE; after other
 * errors the request may have run. libcurl sends a request again on a new connection if a reused
 * one was closed without an answer, so a connection that can't be made proves nothing then.
 */
static int call_status(const struct httpc_call *call, CURLcode code)
{
	long sent_bytes = 0;

	if (code == CURLE_OK)
		return 0;
	if (call->too_large)
		return -ERR_TOO_LARGE;
	curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
	if (sent_bytes > 0 || (call->sent && call->request.send_once))
		return -ERR_OUTCOME_UNKNOWN;
	if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
	    code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL)
		return -ERR_UNAVAILABLE;
	if (code == CURLE_OPERATION_TIMEDOUT) {
		curl_off_t connected = 0;

		curl_easy_getinfo(call->easy, CURLINFO_PRETRANSFER_TIME_T, &connected);
		return connected > 0 ? -ERR_OUTCOME_UNKNOWN : -ERR_UNAVAILABLE;
	}
	return -ERR_OUTCOME_UNKNOWN;
}

static int connect_errno(const struct httpc_call *call, CURLcode code)
{
	long error = 0;

	if (code == CURLE_COULDNT_CONNECT)
		curl_easy_getinfo(call->easy, CURLINFO_OS_ERRNO, &error);
	return (int)error;
}

static void finish_call(struct httpc_call *call, CURLcode code)
{
	struct httpc_request request = call->request;
	TALLOC_CTX *body = talloc_steal(NULL, call->body);
	int status = call_status(call, code);
	int http_status = httpc_status(call);
	size_t len = call->len;

	if (request.connect_errno)
		*request.connect_errno = connect_errno(call, code);

	free_call(call);
	if (request.done)
		request.done(status, http_status, body ? (const char *)body : "", len, request.ctx);
	talloc_free(body);
}

static void check_finished(struct httpc *client)
{
	CURLMsg *message;
	int remaining;

	while ((message = curl_multi_info_read(client->multi, &remaining))) {
		struct httpc_call *call;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, (char **)&call);
		finish_call(call, message->data.result);
	}
}

static void socket_event(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
			 void *data)
{
	struct socket_watch *socket_watch = data;
	struct httpc *client = socket_watch->client;
	int mask = 0;
	int running;

	if (flags & TEVENT_FD_READ)
		mask |= CURL_CSELECT_IN;
	if (flags & TEVENT_FD_WRITE)
		mask |= CURL_CSELECT_OUT;
	curl_multi_socket_action(client->multi, socket_watch->fd, mask, &running);
	check_finished(client);
}

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *data, void *socket_data)
{
	struct httpc *client = data;
	struct socket_watch *socket_watch = socket_data;
	uint16_t flags = 0;

	if (what == CURL_POLL_REMOVE) {
		talloc_free(socket_watch);
		curl_multi_assign(client->multi, fd, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN)
		flags |= TEVENT_FD_READ;
	if (what & CURL_POLL_OUT)
		flags |= TEVENT_FD_WRITE;
	if (!socket_watch) {
		socket_watch = talloc_zero(client, struct socket_watch);
		socket_watch->client = client;
		socket_watch->fd = fd;
		socket_watch->fde = tevent_add_fd(client->ev, socket_watch, (int)fd, flags,
						  socket_event, socket_watch);
		curl_multi_assign(client->multi, fd, socket_watch);
	}
	tevent_fd_set_flags(socket_watch->fde, flags);
	return 0;
}

static void timer_event(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			void *data)
{
	struct httpc *client = data;
	int running;

	client->timer = NULL;
	curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	check_finished(client);
}

static int on_timer(CURLM *multi, long timeout_ms, void *data)
{
	struct httpc *client = data;
	struct timeval due;

	TALLOC_FREE(client->timer);
	if (timeout_ms < 0)
		return 0;
	due = tevent_timeval_current_ofs((uint32_t)(timeout_ms / 1000),
					 (uint32_t)(timeout_ms % 1000) * 1000U);
	client->timer = tevent_add_timer(client->ev, client, due, timer_event, client);
	return 0;
}

static int client_destructor(struct httpc *client)
{
	while (client->calls)
		free_call(client->calls);
	curl_multi_cleanup(client->multi);
	return 0;
}

struct httpc *httpc_create(TALLOC_CTX *mem, struct tevent_context *ev)
{
	struct httpc *client = talloc_zero(mem, struct httpc);

	client->ev = ev;
	client->multi = curl_multi_init();
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	talloc_set_destructor(client, client_destructor);
	return client;
}

static size_t append_body(struct httpc_call *call, const char *data, size_t len)
{
	size_t max = call->request.answer_max ? call->request.answer_max : ANSWER_MAX_DEFAULT_BYTES;

	if (len > max - call->len) {
		call->too_large = true;
		return 0;
	}
	call->body = talloc_realloc(call, call->body, char, call->len + len + 1);
	memcpy(call->body + call->len, data, len);
	call->len += len;
	call->body[call->len] = '\0';
	return len;
}

static size_t on_write(char *data, size_t size, size_t count, void *ctx)
{
	struct httpc_call *call = ctx;
	size_t len = size * count;

	if (!call->request.on_data)
		return append_body(call, data, len);
	if (!call->request.on_data(call, data, len, call->request.ctx))
		return CURL_WRITEFUNC_PAUSE;
	return len;
}

/* Called each time before libcurl sends the request. */
static int on_send(void *ctx, char *peer_ip, char *own_ip, int peer_port, int own_port)
{
	struct httpc_call *call = ctx;
	bool again = call->sent;

	call->sent = true;
	return again && call->request.send_once ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

static void set_body(struct httpc_call *call)
{
	const struct httpc_request *request = &call->request;

	if (!request->body && strcmp(request->method, "POST") != 0 &&
	    strcmp(request->method, "PUT") != 0)
		return;
	curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)request->body_len);
	curl_easy_setopt(call->easy, CURLOPT_COPYPOSTFIELDS,
			 request->body ? (const char *)request->body : "");
}

static void set_options(struct httpc_call *call)
{
	const struct httpc_request *request = &call->request;
	uint32_t connect_ms = request->connect_timeout_ms ? request->connect_timeout_ms
							  : CONNECT_TIMEOUT_DEFAULT_MS;
	CURL *easy = call->easy;

	curl_easy_setopt(easy, CURLOPT_URL, request->url);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	/* A store watch may be idle for hours; only probes detect a half-open connection then. */
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, TCP_KEEPALIVE_S);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, TCP_KEEPALIVE_S);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, (long)connect_ms);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, request->fresh_connection ? 1L : 0L);
	set_body(call);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
	/* "Expect: 100-continue" would add a round trip of latency before each body. */
	call->headers = curl_slist_append(NULL, "Expect:");
	for (size_t i = 0; i < request->header_count; i++)
		call->headers = curl_slist_append(call->headers, request->headers[i]);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
}

struct httpc_call *httpc_start(struct httpc *client, const struct httpc_request *request)
{
	struct httpc_call *call = talloc_zero(client, struct httpc_call);

	call->client = client;
	call->request = *request;
	call->easy = curl_easy_init();
	if (!call->easy) {
		talloc_free(call);
		return NULL;
	}
	set_options(call);
	call->request.headers = NULL;
	call->request.body = NULL;
	call->next = client->calls;
	if (client->calls)
		client->calls->prev = call;
	client->calls = call;
	curl_multi_add_handle(client->multi, call->easy);
	return call;
}

int httpc_status(const struct httpc_call *call)
{
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	return (int)status;
}

const char *httpc_content_type(const struct httpc_call *call)
{
	const char *type = NULL;

	curl_easy_getinfo(call->easy, CURLINFO_CONTENT_TYPE, &type);
	return type ? type : "";
}

bool httpc_delimited(const struct httpc_call *call)
{
	struct curl_header *header;

	return curl_easy_header(call->easy, "Content-Length", 0, CURLH_HEADER, -1, &header) ==
		       CURLHE_OK ||
	       curl_easy_header(call->easy, "Transfer-Encoding", 0, CURLH_HEADER, -1, &header) ==
		       CURLHE_OK;
}

void httpc_resume(struct httpc_call *call)
{
	curl_easy_pause(call->easy, CURLPAUSE_CONT);
}

void httpc_cancel(struct httpc_call *call)
{
	free_call(call);
}
