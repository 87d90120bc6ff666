#include "api_int.h"
#include "log.h"
#include "util.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#define CONNECTIONS_MAX 4096
/* Callers come through a few balancer addresses, so one address may hold most connections. */
#define CONNECTIONS_PER_ADDRESS_MAX 3072
#define CONNECTION_MEMORY_BYTES (16 * 1024) /* also limits the header of a call */
#define CONNECTION_IDLE_S 30
#define READER_BLOCK_BYTES (16 * 1024)
#define KNOWN_HEADERS 7
/* Limit on all bodies in memory together; beyond it uploads are refused to save memory. */
#define BODIES_MAX_BYTES (32 * 1024 * 1024)

/* One HTTP call, freed in on_completed(). */
struct call {
	struct call *next;
	struct call *prev;
	struct api *api;
	struct request *request;
	const struct api_endpoint *endpoint;
	GByteArray *body;
	size_t body_max;
	bool too_large;
	bool bodies_full; /* BODIES_MAX_BYTES was reached */
	bool started;	  /* the call has been dispatched or refused */
	bool answered;	  /* the response has been queued */
};

static void resume_connection(struct request *request)
{
	MHD_resume_connection(request->connection);
}

static void suspend_connection(struct request *request)
{
	MHD_suspend_connection(request->connection);
}

static void on_request_free(struct request *request, void *ctx)
{
	struct api *api = ctx;

	atomic_fetch_sub(&api->body_bytes, request->body_len);
	filters_release(api->deps.filters, request);
}

/* State of scan_header(); seen[i] counts the occurrences of known_headers[i]. */
struct header_scan {
	struct request *request;
	unsigned int seen[KNOWN_HEADERS];
};

static const char *const known_headers[KNOWN_HEADERS] = {
	"Authorization",	   "Idempotency-Key", "X-Jaycourse-Class", "X-Jaycourse-Idempotent",
	"X-Jaycourse-Deadline-Ms", "Content-Length",  "Content-Type",
};

static void copy_header(struct request *request, size_t header, const char *value)
{
	const char **fields[KNOWN_HEADERS] = {
		&request->token,	   &request->key,	    &request->class_name,
		&request->idempotent_text, &request->deadline_text, NULL,
		&request->content_type,
	};

	if (header == 0 && !strncasecmp(value, "Bearer ", 7))
		request->token = talloc_strdup(request, value + 7);
	else if (header != 0 && fields[header])
		*fields[header] = talloc_strdup(request, value);
}

static enum MHD_Result scan_header(void *cls, enum MHD_ValueKind kind, const char *key,
				   const char *value)
{
	struct header_scan *scan = cls;

	for (size_t i = 0; i < KNOWN_HEADERS; i++) {
		if (strcasecmp(key, known_headers[i]) != 0)
			continue;
		if (scan->seen[i]++)
			scan->request->duplicate_header = known_headers[i];
		else
			copy_header(scan->request, i, value ? value : "");
	}
	if (!strcasecmp(key, "Transfer-Encoding") && scan->seen[5])
		scan->request->duplicate_header = "Content-Length";
	return MHD_YES;
}

static void read_headers(struct request *request, struct MHD_Connection *connection)
{
	struct header_scan scan = {.request = request};
	const char *timeout;

	MHD_get_connection_values(connection, MHD_HEADER_KIND, scan_header, &scan);
	if (scan.seen[5] &&
	    MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Transfer-Encoding"))
		request->duplicate_header = "Content-Length";
	timeout = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "timeout_ms");
	if (timeout)
		request->timeout_text = talloc_strdup(request, timeout);
	if (!request->content_type)
		request->content_type = "";
}

static size_t body_limit(struct api *api, const struct api_endpoint *endpoint)
{
	struct config *config;
	size_t max_bytes = API_REQUEST_BODY_MAX_BYTES;

	if (!endpoint || endpoint->access != API_REQUEST)
		return API_BODY_MAX_BYTES;
	config = configrepo_current(api->deps.configs);
	if (!config)
		return max_bytes;
	if (config->limits.body_bytes && config->limits.body_bytes < max_bytes)
		max_bytes = config->limits.body_bytes;
	configrepo_release(api->deps.configs, config);
	return max_bytes;
}

static struct request *new_request(struct api *api, struct MHD_Connection *connection)
{
	struct request *request = request_create();

	snprintf(request->id, sizeof(request->id), "%.64s.%" PRIx64, api->deps.self,
		 (uint64_t)atomic_fetch_add(&api->serial, 1) + 1);
	request->connection = connection;
	request->fd =
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
	request->wake = resume_connection;
	request->on_free = on_request_free;
	request->on_free_ctx = api;
	return request;
}

static void set_path_error(struct request *request, const char *method, bool path_known)
{
	if (path_known) {
		request->http_status = 405;
		err_set(&request->err, ERR_INVALID, "see docs/OPERATIONS.md for the methods",
			"the path does not support %.16s", method);
	} else {
		err_set(&request->err, ERR_NOT_FOUND, "see docs/OPERATIONS.md for the paths",
			"there is no such path");
	}
}

static void link_call(struct api *api, struct call *call)
{
	pthread_mutex_lock(&api->lock);
	call->next = api->calls;
	if (api->calls)
		api->calls->prev = call;
	api->calls = call;
	pthread_mutex_unlock(&api->lock);
}

static void unlink_call(struct api *api, struct call *call)
{
	pthread_mutex_lock(&api->lock);
	if (call->prev)
		call->prev->next = call->next;
	else
		api->calls = call->next;
	if (call->next)
		call->next->prev = call->prev;
	pthread_mutex_unlock(&api->lock);
}

static struct call *new_call(struct api *api, struct MHD_Connection *connection, const char *url,
			     const char *method)
{
	struct call *call = g_new0(struct call, 1);
	char *argument = NULL;
	bool path_known = false;

	atomic_fetch_add(&api->active, 1);
	call->api = api;
	call->request = new_request(api, connection);
	call->endpoint = api_find_endpoint(call->request, method, url, &argument, &path_known);
	call->request->argument = argument;
	call->body = g_byte_array_new();
	call->body_max = body_limit(api, call->endpoint);
	read_headers(call->request, connection);
	if (!call->endpoint)
		set_path_error(call->request, method, path_known);
	link_call(api, call);
	return call;
}

static void count_refusal(const struct call *call)
{
	metrics_count_refusal(call->api->deps.metrics, err_name((int)call->request->err.code));
}

static void fail_call(struct call *call)
{
	request_reply_error(call->request, &call->request->err, REQUEST_NOT_RUN);
	call->started = true;
}

static void refuse_large_body(struct call *call)
{
	metrics_count_refusal(call->api->deps.metrics, err_name(ERR_TOO_LARGE));
	err_set(&call->request->err, ERR_TOO_LARGE, "send a smaller body",
		"the body has more than %zu bytes", call->body_max);
	fail_call(call);
}

static void refuse_body_over_memory(struct call *call)
{
	metrics_count_refusal(call->api->deps.metrics, "bodies_full");
	err_set(&call->request->err, ERR_UNAVAILABLE, "retry later with backoff",
		"this entry host is receiving too many large bodies");
	fail_call(call);
}

/* Refuses a body whose Content-Length is over the limit before any of it is read. */
static void check_content_length(struct call *call, struct MHD_Connection *connection)
{
	const char *text =
		MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Content-Length");

	if (text && strtoull(text, NULL, 10) > call->body_max)
		refuse_large_body(call);
}

static ssize_t read_answer(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct call *call = cls;
	struct request *request = call->request;
	ssize_t got;

	do {
		got = request_read_answer(request, buf, max);
	} while (!got && request_wait(request, true, suspend_connection));
	if (got > 0 && request->dispatch)
		dispatch_consumed(request->dispatch, request);
	if (got == -1)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (got == -2)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	return got;
}

static enum MHD_Result send_answer(struct call *call, struct MHD_Connection *connection)
{
	struct request *request = call->request;
	uint64_t length =
		request->length == REQUEST_LENGTH_UNKNOWN ? MHD_SIZE_UNKNOWN : request->length;
	struct MHD_Response *response = MHD_create_response_from_callback(
		length, READER_BLOCK_BYTES, read_answer, call, NULL);
	enum MHD_Result ret;
	char retry[16];

	if (!response || !request->ready) {
		if (response)
			MHD_destroy_response(response);
		return MHD_NO;
	}
	call->answered = true;
	if (request->answer_type[0])
		MHD_add_response_header(response, "Content-Type", request->answer_type);
	MHD_add_response_header(response, "X-Jaycourse-Request", request->id);
	if (request->retry_after_s) {
		snprintf(retry, sizeof(retry), "%" PRIu32, request->retry_after_s);
		MHD_add_response_header(response, "Retry-After", retry);
	}
	if (request->status == 401)
		MHD_add_response_header(response, "WWW-Authenticate", "Bearer");
	if (filters_leaving(call->api->deps.filters))
		MHD_add_response_header(response, "Connection", "close");
	ret = MHD_queue_response(connection, (unsigned int)request->status, response);
	MHD_destroy_response(response);
	return ret;
}

/* A call passed to the loop thread. */
struct loop_call {
	struct api *api;
	struct request *request; /* own reference */
	const struct api_endpoint *endpoint;
};

static void run_on_loop(void *arg)
{
	struct loop_call *loop_call = arg;

	if (loop_call->endpoint->access == API_REQUEST) {
		dispatch_submit(loop_call->api->deps.dispatch, loop_call->request);
	} else {
		loop_call->endpoint->run(loop_call->api, loop_call->request);
		request_unref(loop_call->request);
	}
	g_free(loop_call);
}

static void push_to_loop(struct call *call)
{
	struct loop_call *loop_call = g_new0(struct loop_call, 1);

	loop_call->api = call->api;
	loop_call->request = request_ref(call->request);
	loop_call->endpoint = call->endpoint;
	loopq_push(call->api->deps.loop, run_on_loop, loop_call);
}

static int admit_call(struct call *call)
{
	struct filters *filters = call->api->deps.filters;
	enum api_access access = call->endpoint->access;
	int ret = 0;

	if (access == API_REQUEST) {
		call->request->service = call->request->argument;
		return filters_run_chain(filters, call->request);
	}
	if (access == API_PUBLIC)
		return 0;
	ret = filters_authenticate(filters, call->request);
	if (access == API_BOOTSTRAP && !call->request->config)
		return 0;
	if (ret == FILTERS_PENDING)
		return ret;
	if (!ret && call->request->duplicate_header)
		ret = err_set(&call->request->err, ERR_INVALID, "send the header once",
			      "the header %s is given more than once",
			      call->request->duplicate_header);
	if (!ret)
		ret = api_authorise(call->endpoint, call->request);
	if (ret)
		count_refusal(call);
	return ret;
}

static void move_body_to_request(struct call *call)
{
	if (!call->body)
		return;
	call->request->body_len = call->body->len;
	call->request->body = g_byte_array_free(call->body, FALSE);
	call->body = NULL;
}

enum progress {
	ANSWERED,  /* the answer is ready */
	FOR_LOOP,  /* the loop thread has to answer */
	SUSPENDED, /* the connection waits until the token has been checked */
};

/* Suspends the connection before the check can end; otherwise its wake-up would be lost. */
static enum progress check_token(struct call *call)
{
	struct request *request = request_ref(call->request);

	request_suspend(request, suspend_connection);
	if (!filters_check_token(call->api->deps.filters, request))
		return SUSPENDED;
	count_refusal(call);
	fail_call(call);
	request_unref(request);
	return SUSPENDED;
}

/* Dispatches a call that has been read completely. */
static enum progress start_call(struct call *call)
{
	int ret = call->endpoint ? admit_call(call) : -ERR_NOT_FOUND;

	if (!call->endpoint)
		count_refusal(call);
	if (ret == FILTERS_PENDING)
		return check_token(call);
	call->started = true;
	if (ret) {
		fail_call(call);
		return ANSWERED;
	}
	if (call->endpoint->on_loop || call->endpoint->access == API_REQUEST)
		return FOR_LOOP;
	call->endpoint->run(call->api, call->request);
	return ANSWERED;
}

static enum MHD_Result continue_call(struct call *call, struct MHD_Connection *connection)
{
	enum progress progress = ANSWERED;

	if (call->answered)
		return MHD_YES;
	if (!call->started) {
		api_conns_on_call_read(call->api->conns, connection);
		move_body_to_request(call);
		if (call->too_large)
			refuse_large_body(call);
		else if (call->bodies_full)
			refuse_body_over_memory(call);
		else
			progress = start_call(call);
	}
	if (progress == SUSPENDED)
		return MHD_YES;
	/* Suspend before the loop thread can answer; otherwise its wake-up would be lost. */
	if (request_wait(call->request, false, suspend_connection))
		return send_answer(call, connection);
	if (progress == FOR_LOOP)
		push_to_loop(call);
	return MHD_YES;
}

static void free_body(struct call *call)
{
	if (!call->body)
		return;
	atomic_fetch_sub(&call->api->body_bytes, call->body->len);
	g_byte_array_free(call->body, TRUE);
	call->body = NULL;
}

static void append_body(struct call *call, const char *data, size_t len)
{
	size_t before;

	if (!call->body)
		return;
	before = atomic_fetch_add(&call->api->body_bytes, len);
	call->too_large = call->body->len + len > call->body_max;
	call->bodies_full = before + len > BODIES_MAX_BYTES;
	if (call->too_large || call->bodies_full) {
		atomic_fetch_sub(&call->api->body_bytes, len);
		free_body(call);
		return;
	}
	g_byte_array_append(call->body, (const guint8 *)data, (guint)len);
}

static enum MHD_Result on_call(void *cls, struct MHD_Connection *connection, const char *url,
			       const char *method, const char *version, const char *data,
			       size_t *len, void **con_cls)
{
	struct call *call = *con_cls;

	if (!call) {
		call = new_call(cls, connection, url, method);
		*con_cls = call;
		check_content_length(call, connection);
		return call->started ? send_answer(call, connection) : MHD_YES;
	}
	if (*len) {
		append_body(call, data, *len);
		*len = 0;
		return MHD_YES;
	}
	return continue_call(call, connection);
}

static void abandon_request(void *arg)
{
	struct request *request = arg;

	if (request->dispatch)
		dispatch_abandon(request->dispatch, request);
	request_unref(request);
}

static void on_completed(void *cls, struct MHD_Connection *connection, void **con_cls,
			 enum MHD_RequestTerminationCode termination)
{
	struct call *call = *con_cls;
	struct api *api = cls;

	if (!call)
		return;
	*con_cls = NULL;
	if (termination != MHD_REQUEST_TERMINATED_COMPLETED_OK && call->started)
		loopq_push(api->deps.loop, abandon_request, request_ref(call->request));
	free_body(call);
	unlink_call(api, call);
	request_unref(call->request);
	g_free(call);
	atomic_fetch_sub(&api->active, 1);
}

static int read_file(const char *path, char **out, struct err *err)
{
	if (g_file_get_contents(path, out, NULL, NULL))
		return 0;
	return err_set(err, ERR_INVALID, "name a readable PEM file", "cannot read %s", path);
}

static int load_tls(struct api *api, struct err *err)
{
	const struct settings *settings = api->deps.settings;
	int ret;

	if (!settings->tls_certificate)
		return 0;
	ret = read_file(settings->tls_certificate, &api->certificate, err);
	return ret ? ret : read_file(settings->tls_key, &api->key, err);
}

static struct MHD_Daemon *start_daemon(struct api *api, int fd)
{
	unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
	uint32_t threads = api->deps.settings->http_threads;
	struct MHD_OptionItem tls[] = {
		{MHD_OPTION_HTTPS_MEM_CERT, 0, api->certificate},
		{MHD_OPTION_HTTPS_MEM_KEY, 0, api->key},
		{MHD_OPTION_END, 0, NULL},
	};
	struct MHD_OptionItem none[] = {{MHD_OPTION_END, 0, NULL}};

	if (api->certificate)
		flags |= MHD_USE_TLS;
	return MHD_start_daemon(
		flags, 0, NULL, NULL, on_call, api, MHD_OPTION_LISTEN_SOCKET, fd,
		MHD_OPTION_THREAD_POOL_SIZE, threads ? threads : 4, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)CONNECTIONS_MAX, MHD_OPTION_PER_IP_CONNECTION_LIMIT,
		(unsigned int)CONNECTIONS_PER_ADDRESS_MAX, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)CONNECTION_IDLE_S, MHD_OPTION_NOTIFY_COMPLETED, on_completed, api,
		MHD_OPTION_NOTIFY_CONNECTION, api_conns_on_connection, api->conns,
		MHD_OPTION_URI_LOG_CALLBACK, api_conns_on_call_start, api->conns, MHD_OPTION_ARRAY,
		api->certificate ? tls : none, MHD_OPTION_END);
}

struct api *api_create(TALLOC_CTX *mem, const struct api_deps *deps, int fd, struct err *err)
{
	struct api *api = talloc_zero(mem, struct api);

	api->deps = *deps;
	pthread_mutex_init(&api->lock, NULL);
	api->conns = api_conns_create(api, deps->ev, deps->metrics);
	if (!load_tls(api, err))
		api->daemon = start_daemon(api, fd);
	else
		close(fd);
	if (api->daemon)
		return api;
	if (!err->code)
		err_set(err, ERR_SYSTEM, "check the TLS files and the limits of the process",
			"cannot start the HTTP server");
	talloc_free(api);
	return NULL;
}

uint32_t api_active_calls(const struct api *api)
{
	return atomic_load(&api->active);
}

/*
 * libmicrohttpd cannot stop while connections are suspended; a call that has been cut is never
 * suspended again.
 */
static void cut_all_calls(struct api *api)
{
	pthread_mutex_lock(&api->lock);
	for (struct call *call = api->calls; call; call = call->next)
		request_abort_answer(call->request);
	pthread_mutex_unlock(&api->lock);
}

void api_stop(struct api *api)
{
	cut_all_calls(api);
	MHD_stop_daemon(api->daemon);
}

void api_destroy(struct api *api)
{
	g_free(api->certificate);
	g_free(api->key);
	pthread_mutex_destroy(&api->lock);
	talloc_free(api);
}
