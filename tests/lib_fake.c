#include "lib_fake.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <microhttpd.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define ANNOUNCE_TIMEOUT_MS 1000L
#define RESPONSE_BLOCK_BYTES 16384

struct fake_server {
	struct MHD_Daemon *daemon;
	char url[64];
	void (*handle)(const struct fake_request *request, struct fake_reply *reply, void *ctx);
	void *ctx;
};

struct exchange {
	char *body;
	size_t len;
};

/* Response body that ends before its Content-Length. */
struct cut_body {
	char *text;
	size_t len;
	size_t cut_after;
};

void fake_parse_options(int argc, char **argv, const struct fake_option *options, size_t count)
{
	for (int i = 1; i < argc; i += 2) {
		size_t found = 0;

		while (found < count && strcmp(options[found].name, argv[i]) != 0)
			found++;
		if (found == count || i + 1 == argc) {
			fprintf(stderr, "unknown option or missing value: %s\n", argv[i]);
			exit(EXIT_FAILURE);
		}
		*options[found].value = argv[i + 1];
	}
}

void fake_reply_json(struct fake_reply *reply, unsigned int status, json_t *root)
{
	reply->status = status;
	reply->body = json_dumps(root, JSON_COMPACT);
	json_decref(root);
}

void fake_reply_error(struct fake_reply *reply, unsigned int status, const char *text)
{
	fake_reply_json(reply, status, json_pack("{s:s}", "error", text));
}

static ssize_t read_cut_body(void *ctx, uint64_t position, char *out, size_t max)
{
	const struct cut_body *cut = ctx;
	size_t rest;

	if (position >= cut->cut_after)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	rest = cut->cut_after - position;
	if (rest > max)
		rest = max;
	memcpy(out, cut->text + position, rest);
	return (ssize_t)rest;
}

static void free_cut_body(void *ctx)
{
	struct cut_body *cut = ctx;

	free(cut->text);
	free(cut);
}

static struct MHD_Response *create_response(struct fake_reply *reply)
{
	size_t len = strlen(reply->body);
	struct cut_body *cut;

	if (reply->cut_after == 0 || reply->cut_after >= len)
		return MHD_create_response_from_buffer(len, reply->body, MHD_RESPMEM_MUST_FREE);
	cut = calloc(1, sizeof(*cut));
	cut->text = reply->body;
	cut->len = len;
	cut->cut_after = reply->cut_after;
	return MHD_create_response_from_callback(len, RESPONSE_BLOCK_BYTES, read_cut_body, cut,
						 free_cut_body);
}

static const char *request_header(struct MHD_Connection *connection, const char *name)
{
	const char *value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);

	return value ? value : "";
}

static enum MHD_Result respond(struct fake_server *server, struct MHD_Connection *connection,
			       const char *url, const char *method, const struct exchange *exchange)
{
	struct fake_request request = {
		.method = method,
		.path = url,
		.body = exchange->body ? exchange->body : "",
		.body_len = exchange->len,
		.id = request_header(connection, "X-Jaycourse-Request"),
		.class_name = request_header(connection, "X-Jaycourse-Class"),
		.organisation = request_header(connection, "X-Jaycourse-Organisation"),
	};
	struct fake_reply reply = {0};
	struct MHD_Response *response;
	enum MHD_Result ret;

	server->handle(&request, &reply, server->ctx);
	if (!reply.body)
		fake_reply_error(&reply, 404, "no such path");
	response = create_response(&reply);
	MHD_add_response_header(response, "Content-Type", "application/json");
	ret = MHD_queue_response(connection, reply.status, response);
	MHD_destroy_response(response);
	return ret;
}

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *len, void **state)
{
	struct exchange *exchange = *state;

	if (!exchange) {
		*state = calloc(1, sizeof(*exchange));
		return MHD_YES;
	}
	if (*len == 0)
		return respond(ctx, connection, url, method, exchange);
	exchange->body = realloc(exchange->body, exchange->len + *len + 1);
	memcpy(exchange->body + exchange->len, data, *len);
	exchange->len += *len;
	exchange->body[exchange->len] = '\0';
	*len = 0;
	return MHD_YES;
}

static void on_completed(void *ctx, struct MHD_Connection *connection, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct exchange *exchange = *state;

	if (exchange)
		free(exchange->body);
	free(exchange);
	*state = NULL;
}

static void parse_listen_address(const char *listen, struct sockaddr_in *out,
				 char host[INET_ADDRSTRLEN])
{
	const char *colon = strrchr(listen, ':');

	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	snprintf(host, INET_ADDRSTRLEN, "%.*s", colon ? (int)(colon - listen) : 0, listen);
	if (!colon || inet_pton(AF_INET, host, &out->sin_addr) != 1) {
		fprintf(stderr, "--listen takes IP:PORT, not %s\n", listen);
		exit(EXIT_FAILURE);
	}
	out->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
}

static void fill_end_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
}

void fake_block_signals(void)
{
	sigset_t set;

	fill_end_signals(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}

struct fake_server *fake_server_start(const char *listen, unsigned int connections,
				      void (*handle)(const struct fake_request *request,
						     struct fake_reply *reply, void *ctx),
				      void *ctx)
{
	struct fake_server *server = calloc(1, sizeof(*server));
	char host[INET_ADDRSTRLEN];
	struct sockaddr_in address;
	unsigned int port;

	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	server->handle = handle;
	server->ctx = ctx;
	parse_listen_address(listen, &address, host);
	server->daemon = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL, 0,
		NULL, NULL, on_request, server, MHD_OPTION_SOCK_ADDR, &address,
		MHD_OPTION_CONNECTION_LIMIT, connections, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
		NULL, MHD_OPTION_END);
	if (!server->daemon) {
		fprintf(stderr, "cannot listen on %s\n", listen);
		exit(EXIT_FAILURE);
	}
	port = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
	snprintf(server->url, sizeof(server->url), "http://%s:%u", host, port);
	printf("listening %s:%u\n", host, port);
	fflush(stdout);
	return server;
}

const char *fake_server_url(const struct fake_server *server)
{
	return server->url;
}

void fake_server_stop(struct fake_server *server)
{
	MHD_stop_daemon(server->daemon);
	free(server);
}

static size_t ignore_response(char *data, size_t size, size_t count, void *ctx)
{
	return size * count;
}

void fake_announce(const char *agent, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);
	CURL *easy = curl_easy_init();
	char url[256];

	snprintf(url, sizeof(url), "%s/v1/announce", agent);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, text);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, ANNOUNCE_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, ignore_response);
	curl_easy_perform(easy);
	curl_easy_cleanup(easy);
	free(text);
	json_decref(root);
}

bool fake_wait_signal(uint32_t timeout_ms)
{
	struct timespec timeout = {
		.tv_sec = timeout_ms / 1000,
		.tv_nsec = (long)(timeout_ms % 1000) * 1000000L,
	};
	sigset_t set;

	fill_end_signals(&set);
	return sigtimedwait(&set, NULL, &timeout) > 0;
}
