#include "httpc.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define WAIT_MS 5000
#define PENDING 1 /* no status of a call is positive */

static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

/* Answers the first request on a connection and closes it after the second one. */
struct server {
	struct tevent_context *ev;
	int listener;
	int connection;
	unsigned int requests;
	bool stops; /* listens no more after the second request */
	struct tevent_fd *accepting;
	struct tevent_fd *reading;
};

static void on_request(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *ctx)
{
	struct server *server = ctx;
	char data[4096];

	if (recv(server->connection, data, sizeof(data), 0) > 0 && ++server->requests == 1) {
		CU_ASSERT_EQUAL(send(server->connection, answer, strlen(answer), 0),
				(ssize_t)strlen(answer));
		return;
	}
	TALLOC_FREE(server->reading);
	close(server->connection);
}

static void on_connection(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
			  void *ctx)
{
	struct server *server = ctx;

	server->connection = accept(server->listener, NULL, NULL);
	server->reading =
		tevent_add_fd(ev, ev, server->connection, TEVENT_FD_READ, on_request, server);
	if (!server->stops)
		return;
	TALLOC_FREE(server->accepting);
	close(server->listener);
}

static char *start_server(struct server *server)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t size = sizeof(address);

	server->listener = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL_FATAL(bind(server->listener, (struct sockaddr *)&address, size), 0);
	CU_ASSERT_EQUAL_FATAL(listen(server->listener, 1), 0);
	getsockname(server->listener, (struct sockaddr *)&address, &size);
	server->accepting = tevent_add_fd(server->ev, server->ev, server->listener, TEVENT_FD_READ,
					  on_connection, server);
	return talloc_asprintf(server->ev, "http://127.0.0.1:%u/", ntohs(address.sin_port));
}

static void on_done(int status, int http_status, const char *body, size_t len, void *ctx)
{
	*(int *)ctx = status;
}

static int call_and_wait(struct server *server, struct httpc *client, const char *url)
{
	int status = PENDING;
	struct httpc_request request = {.method = "POST",
					.url = url,
					.body = "{}",
					.body_len = 2,
					.timeout_ms = 1000,
					.done = on_done,
					.ctx = &status};
	uint64_t end_ms = util_clock_ms() + WAIT_MS;

	httpc_start(client, &request);
	while (status == PENDING && util_clock_ms() < end_ms)
		tevent_loop_once(server->ev);
	return status;
}

/* Guards against "not sent" for a request that was sent before its connection was closed. */
static void test_closed_reused_connection(void)
{
	struct server server = {.ev = tevent_context_init(NULL), .stops = true};
	struct httpc *client = httpc_create(server.ev, server.ev);
	char *url = start_server(&server);

	CU_ASSERT_EQUAL(call_and_wait(&server, client, url), 0);
	CU_ASSERT_EQUAL(call_and_wait(&server, client, url), -ERR_OUTCOME_UNKNOWN);
	CU_ASSERT_EQUAL(server.requests, 2);
	CU_ASSERT_EQUAL(call_and_wait(&server, client, url), -ERR_UNAVAILABLE);
	talloc_free(server.ev);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("httpc", NULL, NULL);
	CU_add_test(suite, "closed_reused_connection", test_closed_reused_connection);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
