#include "fields.h"
#include "lib_kv.h"
#include "util.h"

#include <argp.h>
#include <arpa/inet.h>
#include <microhttpd.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BODY_MAX (16 * 1024 * 1024)
#define POLL_INTERVAL_MS 20 /* granularity of lease expiry and of noticing closed watches */
#define BURST_DIVISOR 5	    /* a burst may hold the calls of a fifth of a second, and one more */
#define WRITES_DEFAULT 400
#define READS_DEFAULT 2000

struct bucket {
	uint32_t per_s; /* 0: no limit */
	double tokens;
	uint64_t filled_ms;
};

struct faults {
	int down;	  /* boolean, int for json_unpack(): answer 503 to all calls */
	int close;	  /* boolean, with @down: close the connection without an answer */
	int slow_ms;	  /* delay before a call takes effect */
	int lose_answers; /* number of further writes whose answers are lost */
};

struct counts {
	uint64_t reads;
	uint64_t writes;
	uint64_t watches; /* open now */
	uint64_t watches_total;
	uint64_t rejected; /* refused by the rate limit */
	uint64_t refused;  /* refused while @down was set */
	uint64_t lost;	   /* answers that were not sent */
};

struct server {
	pthread_mutex_t lock; /* guards the members below */
	pthread_cond_t changed;
	struct kv *kv;
	struct bucket writes;
	struct bucket reads;
	struct faults faults;
	struct counts counts;
	bool stopping;
};

/*
 * Body of a request. Kept in plain memory, because the thread sanitizer can't see the locks of
 * GLib's own allocator.
 */
struct upload {
	char *body;
	size_t len;
	bool too_large;
};

struct watch {
	struct server *server;
	int fd; /* borrowed from the connection */
	char *key;
	char *range_end;
	int64_t next_revision;
	char *text;  /* current line */
	size_t sent; /* bytes of @text that were sent */
};

struct options {
	const char *listen;
	uint32_t writes_per_s;
	uint32_t reads_per_s;
};

static bool take_token(struct bucket *bucket, uint64_t now_ms)
{
	double capacity = (double)bucket->per_s / BURST_DIVISOR + 1;

	if (!bucket->per_s)
		return true;
	bucket->tokens += (double)(now_ms - bucket->filled_ms) * bucket->per_s / 1000.0;
	bucket->filled_ms = now_ms;
	if (bucket->tokens > capacity)
		bucket->tokens = capacity;
	if (bucket->tokens < 1)
		return false;
	bucket->tokens -= 1;
	return true;
}

static enum MHD_Result reply_text(struct MHD_Connection *connection, int status, const char *text)
{
	struct MHD_Response *response =
		MHD_create_response_from_buffer(strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	MHD_add_response_header(response, "Content-Type", "application/json");
	result = MHD_queue_response(connection, (unsigned int)status, response);
	MHD_destroy_response(response);
	return result;
}

/* Takes ownership of @json. */
static enum MHD_Result reply(struct MHD_Connection *connection, int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);
	enum MHD_Result result = reply_text(connection, status, text);

	free(text);
	json_decref(json);
	return result;
}

static enum MHD_Result reply_error(struct MHD_Connection *connection, int status, const char *text)
{
	return reply(connection, status, json_pack("{s:s, s:i}", "error", text, "code", 14));
}

static json_t *fault_json(const struct faults *faults)
{
	return json_pack("{s:b, s:b, s:i, s:i}", "down", faults->down, "close", faults->close,
			 "slow_ms", faults->slow_ms, "lose_answers", faults->lose_answers);
}

static json_t *stats_json(struct server *server)
{
	const struct counts *counts = &server->counts;

	return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "reads",
			 (json_int_t)counts->reads, "writes", (json_int_t)counts->writes, "watches",
			 (json_int_t)counts->watches, "watches_total",
			 (json_int_t)counts->watches_total, "rejected",
			 (json_int_t)counts->rejected, "refused", (json_int_t)counts->refused,
			 "lost", (json_int_t)counts->lost, "keys", (json_int_t)kv_count(server->kv),
			 "revision", (json_int_t)kv_revision(server->kv));
}

/* Absent fields keep their values; expire_leases is executed once and not stored. */
static json_t *set_faults(struct server *server, const json_t *body)
{
	int expire = 0;

	json_unpack((json_t *)body, "{s?b, s?b, s?i, s?i, s?b}", "down", &server->faults.down,
		    "close", &server->faults.close, "slow_ms", &server->faults.slow_ms,
		    "lose_answers", &server->faults.lose_answers, "expire_leases", &expire);
	if (expire)
		kv_expire(server->kv, 0, true);
	pthread_cond_broadcast(&server->changed);
	return fault_json(&server->faults);
}

static bool peer_closed(int fd)
{
	struct pollfd pfd = {.fd = fd, .events = POLLIN | POLLRDHUP};

	return poll(&pfd, 1, 0) > 0 && (pfd.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

static void wait_for_change(struct server *server)
{
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_nsec += POLL_INTERVAL_MS * 1000000L;
	if (until.tv_nsec >= 1000000000L) {
		until.tv_nsec -= 1000000000L;
		until.tv_sec++;
	}
	pthread_cond_timedwait(&server->changed, &server->lock, &until);
}

/* Takes ownership of @result. */
static void set_line(struct watch *watch, json_t *result)
{
	json_t *line = json_pack("{s:o}", "result", result);
	char *text = json_dumps(line, JSON_COMPACT);

	g_free(watch->text);
	watch->text = g_strconcat(text, "\n", NULL);
	watch->sent = 0;
	free(text);
	json_decref(line);
}

/* Prepares the next line of a watch; false when there are no changes to send. */
static bool next_line(struct watch *watch)
{
	struct kv *kv = watch->server->kv;
	json_t *events;
	json_t *result;

	if (kv_revision(kv) < watch->next_revision)
		return false;
	events = kv_events(kv, watch->next_revision, watch->key, watch->range_end);
	if (events && json_array_size(events) == 0) {
		json_decref(events);
		watch->next_revision = kv_revision(kv) + 1;
		return false;
	}
	result = json_pack("{s:o}", "header", kv_header(kv));
	if (events) {
		json_object_set_new(result, "events", events);
	} else {
		json_object_set_new(result, "canceled", json_true());
		json_object_set_new(result, "compact_revision", json_string("1"));
	}
	watch->next_revision = kv_revision(kv) + 1;
	set_line(watch, result);
	return true;
}

static ssize_t read_watch_stream(void *ctx, uint64_t position, char *buffer, size_t max)
{
	struct watch *watch = ctx;
	struct server *server = watch->server;
	size_t left;
	bool ended;

	pthread_mutex_lock(&server->lock);
	while (!watch->text[watch->sent] && !server->stopping && !server->faults.down) {
		if (next_line(watch) || peer_closed(watch->fd))
			break;
		wait_for_change(server);
	}
	ended = server->stopping || server->faults.down || !watch->text[watch->sent];
	pthread_mutex_unlock(&server->lock);
	if (ended)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	left = strlen(watch->text + watch->sent);
	if (left > max)
		left = max;
	memcpy(buffer, watch->text + watch->sent, left);
	watch->sent += left;
	return (ssize_t)left;
}

static void free_watch(void *ctx)
{
	struct watch *watch = ctx;

	pthread_mutex_lock(&watch->server->lock);
	watch->server->counts.watches--;
	pthread_mutex_unlock(&watch->server->lock);
	g_free(watch->key);
	g_free(watch->range_end);
	g_free(watch->text);
	g_free(watch);
}

static struct watch *create_watch(struct server *server, struct MHD_Connection *connection,
				  const json_t *body)
{
	const json_t *create = json_object_get(body, "create_request");
	struct watch *watch = g_new0(struct watch, 1);

	watch->server = server;
	watch->fd =
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
	watch->key = kv_text(create, "key");
	watch->range_end = kv_text(create, "range_end");
	watch->next_revision = kv_number(create, "start_revision");
	if (watch->next_revision <= 0)
		watch->next_revision = kv_revision(server->kv) + 1;
	set_line(watch, json_pack("{s:o, s:b}", "header", kv_header(server->kv), "created", 1));
	server->counts.watches++;
	server->counts.watches_total++;
	return watch;
}

static enum MHD_Result start_watch(struct server *server, struct MHD_Connection *connection,
				   const json_t *body)
{
	struct MHD_Response *response;
	enum MHD_Result result;
	struct watch *watch;

	pthread_mutex_lock(&server->lock);
	watch = create_watch(server, connection, body);
	pthread_mutex_unlock(&server->lock);
	response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, 65536, read_watch_stream,
						     watch, free_watch);
	MHD_add_response_header(response, "Content-Type", "application/json");
	result = MHD_queue_response(connection, MHD_HTTP_OK, response);
	MHD_destroy_response(response);
	return result;
}

enum admission {
	ADMITTED,
	ADMIT_DOWN,
	ADMIT_CLOSE,
	ADMIT_RATE,
};

static enum admission admit(struct server *server, bool is_write)
{
	if (server->faults.down) {
		server->counts.refused++;
		return server->faults.close ? ADMIT_CLOSE : ADMIT_DOWN;
	}
	if (!take_token(is_write ? &server->writes : &server->reads, util_clock_ms())) {
		server->counts.rejected++;
		return ADMIT_RATE;
	}
	if (is_write)
		server->counts.writes++;
	else
		server->counts.reads++;
	return ADMITTED;
}

/* Returns NULL when the answer must not be sent, as set by lose_answers. */
static json_t *run_call(struct server *server, const char *path, const json_t *body, bool is_write,
			int *status)
{
	int64_t before = kv_revision(server->kv);
	json_t *answer = kv_call(server->kv, path, body, util_clock_ms(), status);

	if (kv_revision(server->kv) != before)
		pthread_cond_broadcast(&server->changed);
	if (!is_write || server->faults.lose_answers <= 0)
		return answer;
	server->faults.lose_answers--;
	server->counts.lost++;
	json_decref(answer);
	return NULL;
}

static enum MHD_Result serve_gateway_call(struct server *server, struct MHD_Connection *connection,
					  const char *path, const json_t *body)
{
	bool is_watch = !strcmp(path, "/v3/watch");
	bool is_write = !is_watch && kv_is_write(path, body);
	enum admission admission;
	json_t *answer;
	int status;
	int slow_ms;

	pthread_mutex_lock(&server->lock);
	admission = admit(server, is_write);
	slow_ms = server->faults.slow_ms;
	pthread_mutex_unlock(&server->lock);
	if (admission == ADMIT_CLOSE)
		return MHD_NO;
	if (admission == ADMIT_DOWN)
		return reply_error(connection, MHD_HTTP_SERVICE_UNAVAILABLE, "unavailable");
	if (admission == ADMIT_RATE)
		return reply_error(connection, MHD_HTTP_TOO_MANY_REQUESTS, "too many requests");
	if (slow_ms > 0)
		usleep((useconds_t)slow_ms * 1000);
	if (is_watch)
		return start_watch(server, connection, body);
	pthread_mutex_lock(&server->lock);
	answer = run_call(server, path, body, is_write, &status);
	pthread_mutex_unlock(&server->lock);
	return answer ? reply(connection, status, answer) : MHD_NO;
}

static enum MHD_Result serve(struct server *server, struct MHD_Connection *connection,
			     const char *path, const char *method, const json_t *body)
{
	bool post = !strcmp(method, "POST");
	json_t *answer = NULL;

	if (!strncmp(path, "/v3/", 4) && post && body)
		return serve_gateway_call(server, connection, path, body);
	pthread_mutex_lock(&server->lock);
	if (!strcmp(path, "/fault"))
		answer = post ? set_faults(server, body) : fault_json(&server->faults);
	else if (!strcmp(path, "/stats"))
		answer = stats_json(server);
	pthread_mutex_unlock(&server->lock);
	if (!answer)
		return reply_error(connection, MHD_HTTP_NOT_FOUND, "no such call");
	return reply(connection, MHD_HTTP_OK, answer);
}

static void add_data(struct upload *upload, const char *data, size_t len)
{
	if (upload->len + len > BODY_MAX) {
		upload->too_large = true;
		return;
	}
	upload->body = g_realloc(upload->body, upload->len + len);
	memcpy(upload->body + upload->len, data, len);
	upload->len += len;
}

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *len, void **state)
{
	struct upload *upload = *state;
	enum MHD_Result result;
	json_t *body;

	if (!upload) {
		upload = g_new0(struct upload, 1);
		*state = upload;
		return MHD_YES;
	}
	if (*len > 0) {
		add_data(upload, data, *len);
		*len = 0;
		return MHD_YES;
	}
	if (upload->too_large)
		return reply_error(connection, MHD_HTTP_CONTENT_TOO_LARGE, "request too large");
	body = upload->len ? json_loadb(upload->body, upload->len, 0, NULL) : NULL;
	result = serve(ctx, connection, url, method, body);
	json_decref(body);
	return result;
}

static void free_upload(void *ctx, struct MHD_Connection *connection, void **state,
			enum MHD_RequestTerminationCode code)
{
	struct upload *upload = *state;

	if (!upload)
		return;
	g_free(upload->body);
	g_free(upload);
	*state = NULL;
}

static bool parse_address(const char *text, struct sockaddr_in *address)
{
	const char *colon = strrchr(text, ':');
	char host[INET_ADDRSTRLEN] = "";

	if (!fields_is_valid_address(text, NULL) || (size_t)(colon - text) >= sizeof(host))
		return false;
	memcpy(host, text, (size_t)(colon - text));
	address->sin_family = AF_INET;
	address->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return inet_pton(AF_INET, host, &address->sin_addr) == 1;
}

static const struct argp_option option_list[] = {
	{"listen", 'l', "IP:PORT", 0, "Address to serve; port 0 takes a free one", 0},
	{"writes-per-s", 'w', "N", 0, "Writes answered a second; 0: no limit", 0},
	{"reads-per-s", 'r', "N", 0, "Reads and watches answered a second; 0: no limit", 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *options = state->input;

	switch (key) {
	case 'l':
		options->listen = arg;
		return 0;
	case 'w':
		options->writes_per_s = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case 'r':
		options->reads_per_s = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Expires leases by the clock until a termination signal arrives, then ends all watches. */
static void run_until_signal(struct server *server, sigset_t *signals)
{
	struct timespec tick = {.tv_nsec = POLL_INTERVAL_MS * 1000000L};

	while (sigtimedwait(signals, NULL, &tick) < 0) {
		pthread_mutex_lock(&server->lock);
		if (kv_expire(server->kv, util_clock_ms(), false))
			pthread_cond_broadcast(&server->changed);
		pthread_mutex_unlock(&server->lock);
	}
	pthread_mutex_lock(&server->lock);
	server->stopping = true;
	pthread_cond_broadcast(&server->changed);
	pthread_mutex_unlock(&server->lock);
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		option_list, parse_option, NULL, "Key-value service for tests.", NULL, NULL, NULL};
	struct options options = {"127.0.0.1:0", WRITES_DEFAULT, READS_DEFAULT};
	static struct server server = {.lock = PTHREAD_MUTEX_INITIALIZER,
				       .changed = PTHREAD_COND_INITIALIZER};
	struct sockaddr_in address = {0};
	char host[INET_ADDRSTRLEN];
	struct MHD_Daemon *daemon;
	sigset_t signals;

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	if (!parse_address(options.listen, &address)) {
		fprintf(stderr, "fake_store: --listen needs an IPv4 address and a port\n");
		return 2;
	}
	server.kv = kv_create();
	server.writes.per_s = options.writes_per_s;
	server.reads.per_s = options.reads_per_s;
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
				  0, NULL, NULL, on_request, &server, MHD_OPTION_SOCK_ADDR,
				  &address, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
				  MHD_OPTION_NOTIFY_COMPLETED, free_upload, NULL, MHD_OPTION_END);
	if (!daemon) {
		fprintf(stderr, "fake_store: cannot listen on %s\n", options.listen);
		return 1;
	}
	inet_ntop(AF_INET, &address.sin_addr, host, sizeof(host));
	printf("listening %s:%u\n", host,
	       MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
	fflush(stdout);
	run_until_signal(&server, &signals);
	MHD_stop_daemon(daemon);
	kv_destroy(server.kv);
	return 0;
}
