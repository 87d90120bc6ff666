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
#define CONNECTION_MEMORY (16 * 1024) /* bytes; also the limit of a call's header */
#define CONNECTION_IDLE_S 30
#define READER_BLOCK (16 * 1024)
#define HEADERS_COUNTED 7
/* Bytes of all bodies in memory; many large uploads at once are refused instead of stored. */
#define BODIES_MAX (32 * 1024 * 1024)

/* One HTTP call; owned by its connection. */
struct call {
	struct call *next;
	struct call *prev;
	struct api *api;
	struct request *r;
	const struct api_endpoint *endpoint;
	GByteArray *body;
	size_t body_max;
	bool too_large;
	bool no_memory; /* BODIES_MAX was reached */
	bool started;
	bool answered;
};

static void resume(struct request *r)
{
	MHD_resume_connection(r->connection);
}

static void suspend(struct request *r)
{
	MHD_suspend_connection(r->connection);
}

static void on_free(struct request *r, void *ctx)
{
	struct api *api = ctx;

	atomic_fetch_sub(&api->body_bytes, r->body_len);
	filters_done(api->deps.filters, r);
}

/* Headers that count for jaycourse and where their values go. */
struct header_scan {
	struct request *r;
	unsigned int seen[HEADERS_COUNTED];
};

static const char *const counted_headers[HEADERS_COUNTED] = {
	"Authorization",	   "Idempotency-Key", "X-Jaycourse-Class", "X-Jaycourse-Idempotent",
	"X-Jaycourse-Deadline-Ms", "Content-Length",  "Content-Type",
};

static void take_header(struct request *r, size_t which, const char *value)
{
	const char **fields[HEADERS_COUNTED] = {
		&r->token,	   &r->key, &r->class_name,   &r->idempotent_text,
		&r->deadline_text, NULL,    &r->content_type,
	};

	if (which == 0 && !strncasecmp(value, "Bearer ", 7))
		r->token = talloc_strdup(r, value + 7);
	else if (which != 0 && fields[which])
		*fields[which] = talloc_strdup(r, value);
}

static enum MHD_Result scan_header(void *cls, enum MHD_ValueKind kind, const char *key,
				   const char *value)
{
	struct header_scan *scan = cls;

	for (size_t i = 0; i < HEADERS_COUNTED; i++) {
		if (strcasecmp(key, counted_headers[i]) != 0)
			continue;
		if (scan->seen[i]++)
			scan->r->problem = counted_headers[i];
		else
			take_header(scan->r, i, value ? value : "");
	}
	if (!strcasecmp(key, "Transfer-Encoding") && scan->seen[5])
		scan->r->problem = "Content-Length";
	return MHD_YES;
}

static void take_headers(struct request *r, struct MHD_Connection *connection)
{
	struct header_scan scan = {.r = r};
	const char *timeout;

	MHD_get_connection_values(connection, MHD_HEADER_KIND, scan_header, &scan);
	if (scan.seen[5] &&
	    MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Transfer-Encoding"))
		r->problem = "Content-Length";
	timeout = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "timeout_ms");
	if (timeout)
		r->timeout_text = talloc_strdup(r, timeout);
	if (!r->content_type)
		r->content_type = "";
}

static size_t body_limit(struct api *api, const struct api_endpoint *endpoint)
{
	struct config *config;
	size_t most = API_REQUEST_BODY_MAX;

	if (!endpoint || endpoint->access != API_REQUEST)
		return API_BODY_MAX;
	config = configrepo_current(api->deps.configs);
	if (!config)
		return most;
	if (config->limits.body_bytes && config->limits.body_bytes < most)
		most = config->limits.body_bytes;
	configrepo_release(api->deps.configs, config);
	return most;
}

static struct request *new_request(struct api *api, struct MHD_Connection *connection)
{
	struct request *r = request_create();

	snprintf(r->id, sizeof(r->id), "%.64s.%" PRIx64, api->deps.self,
		 (uint64_t)atomic_fetch_add(&api->serial, 1) + 1);
	r->connection = connection;
	r->fd = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
	r->wake = resume;
	r->on_free = on_free;
	r->on_free_ctx = api;
	return r;
}

static void set_path_error(struct request *r, const char *method, bool path_known)
{
	if (path_known) {
		r->http_status = 405;
		err_set(&r->err, ERR_INVALID, "see docs/OPERATIONS.md for the methods",
			"the path does not support %.16s", method);
	} else {
		err_set(&r->err, ERR_NOT_FOUND, "see docs/OPERATIONS.md for the paths",
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
	call->r = new_request(api, connection);
	call->endpoint = api_find_endpoint(call->r, method, url, &argument, &path_known);
	call->r->argument = argument;
	call->body = g_byte_array_new();
	call->body_max = body_limit(api, call->endpoint);
	take_headers(call->r, connection);
	if (!call->endpoint)
		set_path_error(call->r, method, path_known);
	link_call(api, call);
	return call;
}

static void fail_now(struct call *call)
{
	request_fail(call->r, &call->r->err, REQUEST_NOT_RUN);
	call->started = true;
}

static void refuse_large(struct call *call)
{
	metrics_refusal(call->api->deps.metrics, err_name(ERR_TOO_LARGE));
	err_set(&call->r->err, ERR_TOO_LARGE, "send a smaller body",
		"the body has more than %zu bytes", call->body_max);
	fail_now(call);
}

static void refuse_busy(struct call *call)
{
	metrics_refusal(call->api->deps.metrics, "bodies_full");
	err_set(&call->r->err, ERR_UNAVAILABLE, "retry later with backoff",
		"this entry host is receiving too many large bodies");
	fail_now(call);
}

/* A body whose announced length is over the limit is refused before it is read. */
static void check_length(struct call *call, struct MHD_Connection *connection)
{
	const char *text =
		MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Content-Length");

	if (text && strtoull(text, NULL, 10) > call->body_max)
		refuse_large(call);
}

static ssize_t read_answer(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct call *call = cls;
	struct request *r = call->r;
	ssize_t got;

	do {
		got = request_read(r, buf, max);
	} while (!got && request_wait(r, true, suspend));
	if (got > 0 && r->dispatch)
		dispatch_consumed(r->dispatch, r);
	if (got == -1)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (got == -2)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	return got;
}

static enum MHD_Result send_answer(struct call *call, struct MHD_Connection *connection)
{
	struct request *r = call->r;
	uint64_t length = r->length == REQUEST_LENGTH_UNKNOWN ? MHD_SIZE_UNKNOWN : r->length;
	struct MHD_Response *response =
		MHD_create_response_from_callback(length, READER_BLOCK, read_answer, call, NULL);
	enum MHD_Result ret;
	char retry[16];

	if (!response || !r->ready) {
		if (response)
			MHD_destroy_response(response);
		return MHD_NO;
	}
	call->answered = true;
	if (r->answer_type[0])
		MHD_add_response_header(response, "Content-Type", r->answer_type);
	MHD_add_response_header(response, "X-Jaycourse-Request", r->id);
	if (r->retry_after_s) {
		snprintf(retry, sizeof(retry), "%" PRIu32, r->retry_after_s);
		MHD_add_response_header(response, "Retry-After", retry);
	}
	if (r->status == 401)
		MHD_add_response_header(response, "WWW-Authenticate", "Bearer");
	if (filters_leaving(call->api->deps.filters))
		MHD_add_response_header(response, "Connection", "close");
	ret = MHD_queue_response(connection, (unsigned int)r->status, response);
	MHD_destroy_response(response);
	return ret;
}

struct loop_call {
	struct api *api;
	struct request *r; /* own reference */
	const struct api_endpoint *endpoint;
};

static void run_on_loop(void *arg)
{
	struct loop_call *lc = arg;

	if (lc->endpoint->access == API_REQUEST) {
		dispatch_submit(lc->api->deps.dispatch, lc->r);
	} else {
		lc->endpoint->run(lc->api, lc->r);
		request_unref(lc->r);
	}
	g_free(lc);
}

static void push(struct call *call)
{
	struct loop_call *lc = g_new0(struct loop_call, 1);

	lc->api = call->api;
	lc->r = request_ref(call->r);
	lc->endpoint = call->endpoint;
	loopq_push(call->api->deps.loop, run_on_loop, lc);
}

static int admit(struct call *call)
{
	struct filters *filters = call->api->deps.filters;
	enum api_access access = call->endpoint->access;
	int ret = 0;

	if (access == API_REQUEST) {
		call->r->service = call->r->argument;
		return filters_request(filters, call->r);
	}
	if (access == API_OPEN)
		return 0;
	ret = filters_authenticate(filters, call->r);
	if (access == API_BOOTSTRAP && !call->r->config)
		return 0;
	if (ret == FILTERS_PENDING)
		return ret;
	if (!ret && call->r->problem)
		ret = err_set(&call->r->err, ERR_INVALID, "send the header once",
			      "the header %s is given more than once", call->r->problem);
	if (!ret)
		ret = api_authorise(call->endpoint, call->r);
	if (ret)
		metrics_refusal(call->api->deps.metrics, err_name(ret));
	return ret;
}

static void keep_body(struct call *call)
{
	if (!call->body)
		return;
	call->r->body_len = call->body->len;
	call->r->body = g_byte_array_free(call->body, FALSE);
	call->body = NULL;
}

enum progress {
	ANSWERED,  /* the answer is there */
	FOR_LOOP,  /* the loop thread has to answer */
	SUSPENDED, /* until the token has been checked */
};

/* Suspended before the check can end, or its wake-up would be lost. */
static enum progress check_token(struct call *call)
{
	struct request *r = request_ref(call->r);

	request_suspend(r, suspend);
	if (!filters_check(call->api->deps.filters, r))
		return SUSPENDED;
	fail_now(call);
	request_unref(r);
	return SUSPENDED;
}

/* The whole call has been read. */
static enum progress start(struct call *call)
{
	int ret = call->endpoint ? admit(call) : -ERR_NOT_FOUND;

	if (ret == FILTERS_PENDING)
		return check_token(call);
	call->started = true;
	if (ret) {
		fail_now(call);
		return ANSWERED;
	}
	if (call->endpoint->on_loop || call->endpoint->access == API_REQUEST)
		return FOR_LOOP;
	call->endpoint->run(call->api, call->r);
	return ANSWERED;
}

static enum MHD_Result proceed(struct call *call, struct MHD_Connection *connection)
{
	enum progress progress = ANSWERED;

	if (call->answered)
		return MHD_YES;
	if (!call->started) {
		api_conns_read(call->api->conns, connection);
		keep_body(call);
		if (call->too_large)
			refuse_large(call);
		else if (call->no_memory)
			refuse_busy(call);
		else
			progress = start(call);
	}
	if (progress == SUSPENDED)
		return MHD_YES;
	/* Suspended before the loop thread can answer, or its wake-up would be lost. */
	if (request_wait(call->r, false, suspend))
		return send_answer(call, connection);
	if (progress == FOR_LOOP)
		push(call);
	return MHD_YES;
}

static void drop_body(struct call *call)
{
	if (!call->body)
		return;
	atomic_fetch_sub(&call->api->body_bytes, call->body->len);
	g_byte_array_free(call->body, TRUE);
	call->body = NULL;
}

static void take_body(struct call *call, const char *data, size_t len)
{
	size_t before;

	if (!call->body)
		return;
	before = atomic_fetch_add(&call->api->body_bytes, len);
	call->too_large = call->body->len + len > call->body_max;
	call->no_memory = before + len > BODIES_MAX;
	if (call->too_large || call->no_memory) {
		atomic_fetch_sub(&call->api->body_bytes, len);
		drop_body(call);
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
		check_length(call, connection);
		return call->started ? send_answer(call, connection) : MHD_YES;
	}
	if (*len) {
		take_body(call, data, *len);
		*len = 0;
		return MHD_YES;
	}
	return proceed(call, connection);
}

static void abandon(void *arg)
{
	struct request *r = arg;

	if (r->dispatch)
		dispatch_abandon(r->dispatch, r);
	request_unref(r);
}

static void on_completed(void *cls, struct MHD_Connection *connection, void **con_cls,
			 enum MHD_RequestTerminationCode toe)
{
	struct call *call = *con_cls;
	struct api *api = cls;

	if (!call)
		return;
	*con_cls = NULL;
	if (toe != MHD_REQUEST_TERMINATED_COMPLETED_OK && call->started)
		loopq_push(api->deps.loop, abandon, request_ref(call->r));
	drop_body(call);
	unlink_call(api, call);
	request_unref(call->r);
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
	const struct settings *s = api->deps.settings;
	int ret;

	if (!s->tls_certificate)
		return 0;
	ret = read_file(s->tls_certificate, &api->certificate, err);
	return ret ? ret : read_file(s->tls_key, &api->key, err);
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
		(size_t)CONNECTION_MEMORY, MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)CONNECTION_IDLE_S, MHD_OPTION_NOTIFY_COMPLETED, on_completed, api,
		MHD_OPTION_NOTIFY_CONNECTION, api_conns_notify, api->conns,
		MHD_OPTION_URI_LOG_CALLBACK, api_conns_uri, api->conns, MHD_OPTION_ARRAY,
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
			"the HTTP server does not start");
	talloc_free(api);
	return NULL;
}

uint32_t api_active(const struct api *api)
{
	return atomic_load(&api->active);
}

/* The server cannot stop while connections are suspended; a cut call is never suspended again. */
static void cut_all(struct api *api)
{
	pthread_mutex_lock(&api->lock);
	for (struct call *call = api->calls; call; call = call->next)
		request_cut(call->r);
	pthread_mutex_unlock(&api->lock);
}

void api_destroy(struct api *api)
{
	cut_all(api);
	MHD_stop_daemon(api->daemon);
	g_free(api->certificate);
	g_free(api->key);
	pthread_mutex_destroy(&api->lock);
	talloc_free(api);
}
