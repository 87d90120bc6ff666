#include "httpc.h"
#include "httpd.h"
#include "lib_memkv.h"

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALLS 3

struct fixture {
	struct tevent_context *ev;
	struct httpd *server;
	struct bodybudget *bodies;
	struct metrics *metrics;
	size_t body_len; /* of the latest call */
	char *url;
	int held;
	int disconnected;
	int answers;
	int status;
};

static void hold_call(struct httpd_call *call, void *ctx)
{
	struct fixture *f = ctx;

	f->held++;
	httpd_body(call, &f->body_len);
}

static void answer_call(struct httpd_call *call, void *ctx)
{
	hold_call(call, ctx);
	httpd_answer(call, 200, NULL, NULL, 0);
}

static void on_disconnect(struct httpd_call *call, void *ctx)
{
	((struct fixture *)ctx)->disconnected++;
}

static void on_answer(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct fixture *f = ctx;

	f->answers++;
	f->status = status;
}

static struct fixture *set_up(void)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);
	struct httpd_handlers handlers = {hold_call, on_disconnect, f};
	struct err err = {0};

	f->ev = tevent_context_init(f);
	f->server = httpd_create(f, f->ev, "127.0.0.1:0", 1000, &handlers, &err);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f->server);
	f->url = talloc_asprintf(f, "http://%s/held", httpd_address(f->server));
	return f;
}

static struct httpc_call *send_call(struct fixture *f, struct httpc *client)
{
	struct httpc_request request = {
		.method = "GET", .url = f->url, .timeout_ms = 3000, .done = on_answer, .ctx = f};

	return httpc_start(client, &request);
}

/* Guards against a process that aborts, or makes up answers, as calls are open at its end. */
static void test_freed_with_open_calls(void)
{
	struct fixture *f = set_up();
	struct httpc *client = httpc_create(f, f->ev);

	for (int i = 0; i < CALLS; i++)
		send_call(f, client);
	while (f->held < CALLS)
		memkv_run(f->ev, 1);
	CU_ASSERT_EQUAL(httpd_open_calls(f->server), CALLS);
	TALLOC_FREE(f->server);
	CU_ASSERT_EQUAL(f->disconnected, 0);
	while (f->answers < CALLS)
		memkv_run(f->ev, 1);
	CU_ASSERT_EQUAL(f->status, -ERR_OUTCOME_UNKNOWN);
	talloc_free(f);
}

/* Guards against an answer to a call whose caller has gone. */
static void test_caller_gone(void)
{
	struct fixture *f = set_up();
	struct httpc *client = httpc_create(f, f->ev);
	struct httpc_call *call = send_call(f, client);

	while (f->held < 1)
		memkv_run(f->ev, 1);
	httpc_cancel(call);
	TALLOC_FREE(client);
	memkv_run(f->ev, 100);
	TALLOC_FREE(f->server);
	CU_ASSERT_EQUAL(f->answers, 0);
	talloc_free(f);
}

#define BODY_MAX 8192
#define BUDGET_BYTES (3 * (BODY_MAX + 1))
#define SMALL_BODY 512
#define IDLE_MS 300

/* A server whose limits a few clients reach. */
static struct fixture *set_up_limited(uint32_t connections_max, bool answers)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);
	struct httpd_handlers handlers = {answers ? answer_call : hold_call, on_disconnect, f};
	struct bodybudget_limits budget = {BUDGET_BYTES, 1024, SMALL_BODY};
	struct httpd_limits limits = {
		.body_max = BODY_MAX, .connections_max = connections_max, .body_idle_ms = IDLE_MS};
	struct err err = {0};

	f->ev = tevent_context_init(f);
	f->metrics = metrics_create(f);
	f->bodies = bodybudget_create(f, &budget, httpd_drop_body);
	limits.bodies = f->bodies;
	limits.metrics = f->metrics;
	f->server = httpd_create_limited(f, f->ev, "127.0.0.1:0", &limits, &handlers, &err);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f->server);
	return f;
}

/* Connects and sends @text, then @body bytes. */
static int connect_client(struct fixture *f, const char *text, size_t body)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char bytes[16384];

	address.sin_port = htons((uint16_t)atoi(strchr(httpd_address(f->server), ':') + 1));
	CU_ASSERT_EQUAL(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	memset(bytes, 'x', sizeof(bytes));
	CU_ASSERT_EQUAL(send(fd, text, strlen(text), MSG_NOSIGNAL), (ssize_t)strlen(text));
	if (body > 0)
		CU_ASSERT_EQUAL(send(fd, bytes, body, MSG_NOSIGNAL), (ssize_t)body);
	return fd;
}

static int post(struct fixture *f, size_t announced, size_t sent)
{
	char text[100];

	snprintf(text, sizeof(text), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %zu\r\n\r\n",
		 announced);
	return connect_client(f, text, sent);
}

/* Status of the answer that has arrived; 0: none yet; -1: the connection was closed without one. */
static int read_status(int fd)
{
	char text[64] = "";
	ssize_t len = recv(fd, text, sizeof(text) - 1, 0);

	if (len <= 0)
		return len == 0 || (errno != EAGAIN && errno != EWOULDBLOCK) ? -1 : 0;
	return atoi(text + strlen("HTTP/1.1 "));
}

static uint64_t count_refused(struct fixture *f, const char *reason)
{
	char *label = talloc_asprintf(f, "reason=\"%s\"", reason);

	return metrics_get(f->metrics, metrics_define(f->metrics, METRICS_COUNTER,
						      "jaycourse_http_refused_total", label, ""));
}

/* Guards against a body of exactly the limit that is refused or cut, and a longer one taken. */
static void test_body_at_limit(void)
{
	static const char chunked[] =
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2000\r\n";
	struct fixture *f = set_up_limited(8, true);
	int whole = post(f, BODY_MAX, BODY_MAX);
	int in_chunks;
	int larger;

	memkv_run(f->ev, 50);
	CU_ASSERT_EQUAL(read_status(whole), 200);
	CU_ASSERT_EQUAL(f->body_len, BODY_MAX);
	f->body_len = 0;
	in_chunks = connect_client(f, chunked, BODY_MAX);
	memkv_run(f->ev, 50);
	CU_ASSERT_EQUAL(send(in_chunks, "\r\n0\r\n\r\n", 7, MSG_NOSIGNAL), 7);
	memkv_run(f->ev, 50);
	CU_ASSERT_EQUAL(read_status(in_chunks), 200);
	CU_ASSERT_EQUAL(f->body_len, BODY_MAX);
	larger = post(f, BODY_MAX + 1, BODY_MAX + 1);
	memkv_run(f->ev, 50);
	CU_ASSERT_EQUAL(read_status(larger), 413);
	CU_ASSERT_EQUAL(f->held, 2);
	CU_ASSERT_EQUAL(bodybudget_used(f->bodies), 0);
	CU_ASSERT_EQUAL(count_refused(f, "body_size"), 1);
	talloc_free(f);
	close(whole);
	close(in_chunks);
	close(larger);
}

/* Guards against a small body of exactly the limit that gets no part of the small ones' share. */
static void test_small_body_at_limit(void)
{
	struct fixture *f = set_up_limited(8, false);
	int calls[4] = {post(f, BODY_MAX, BODY_MAX), post(f, BODY_MAX, BODY_MAX),
			post(f, 7000, 7000)};

	memkv_run(f->ev, 50);
	CU_ASSERT_EQUAL(f->held, 3);
	calls[3] = post(f, SMALL_BODY, SMALL_BODY);
	memkv_run(f->ev, 50);
	CU_ASSERT_EQUAL(f->held, 4);
	CU_ASSERT_EQUAL(count_refused(f, "body_budget"), 0);
	talloc_free(f);
	for (int i = 0; i < 4; i++)
		close(calls[i]);
}

/*
 * Guards against a call that takes effect although its connection was closed in favour of another
 * one: its last byte had arrived before, and its answer can't be sent.
 */
static void test_no_call_of_closed_connection(void)
{
	struct fixture *f = set_up_limited(1, true);
	int first = post(f, 100, 99);
	int second;

	memkv_run(f->ev, 50);
	CU_ASSERT_EQUAL(send(first, "x", 1, MSG_NOSIGNAL), 1);
	second = post(f, 10, 10);
	memkv_run(f->ev, 50);
	CU_ASSERT_EQUAL(read_status(first), -1);
	CU_ASSERT_EQUAL(read_status(second), 200);
	CU_ASSERT_EQUAL(f->held, 1);
	CU_ASSERT_EQUAL(f->body_len, 10);
	CU_ASSERT_EQUAL(httpd_open_calls(f->server), 0);
	CU_ASSERT_EQUAL(count_refused(f, "connections"), 1);
	talloc_free(f);
	close(first);
	close(second);
}

/* Guards against a connection that is closed for another one while its call waits. */
static void test_waiting_calls_stay(void)
{
	struct fixture *f = set_up_limited(2, false);
	int waiting[2] = {post(f, 10, 10), post(f, 10, 10)};
	int further;

	memkv_run(f->ev, 50);
	CU_ASSERT_EQUAL(f->held, 2);
	further = post(f, 10, 10);
	memkv_run(f->ev, 50);
	CU_ASSERT_EQUAL(read_status(further), -1);
	CU_ASSERT_EQUAL(f->held, 2);
	CU_ASSERT_EQUAL(read_status(waiting[0]), 0);
	CU_ASSERT_EQUAL(read_status(waiting[1]), 0);
	/* One of these clients goes while its call waits; the server is then freed. */
	close(waiting[0]);
	memkv_run(f->ev, 50);
	talloc_free(f);
	close(waiting[1]);
	close(further);
}

/* Guards against bodies that are held for ever, and against access to a dropped one. */
static void test_unfinished_bodies(void)
{
	struct fixture *f = set_up_limited(16, true);
	int stalled[3];
	int whole;

	for (int i = 0; i < 3; i++)
		stalled[i] = post(f, BODY_MAX, BODY_MAX - 1);
	memkv_run(f->ev, 250);
	CU_ASSERT_EQUAL(bodybudget_used(f->bodies), 2 * BODY_MAX);
	whole = post(f, BODY_MAX, BODY_MAX);
	memkv_run(f->ev, 50);
	CU_ASSERT_EQUAL(read_status(whole), 200);
	CU_ASSERT(count_refused(f, "body_budget") >= 1);
	/* Those that are left are cut off as idle; the check is made once a second. */
	memkv_run(f->ev, 1500);
	for (int i = 0; i < 3; i++)
		CU_ASSERT_NOT_EQUAL(read_status(stalled[i]), 0);
	CU_ASSERT_EQUAL(bodybudget_used(f->bodies), 0);
	/* The server is freed with an unfinished body. */
	close(stalled[0]);
	stalled[0] = post(f, BODY_MAX, 100);
	memkv_run(f->ev, 50);
	TALLOC_FREE(f->server);
	CU_ASSERT_EQUAL(bodybudget_used(f->bodies), 0);
	talloc_free(f);
	for (int i = 0; i < 3; i++)
		close(stalled[i]);
	close(whole);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("httpd", NULL, NULL);
	CU_add_test(suite, "freed_with_open_calls", test_freed_with_open_calls);
	CU_add_test(suite, "caller_gone", test_caller_gone);
	CU_add_test(suite, "body_at_limit", test_body_at_limit);
	CU_add_test(suite, "small_body_at_limit", test_small_body_at_limit);
	CU_add_test(suite, "no_call_of_closed_connection", test_no_call_of_closed_connection);
	CU_add_test(suite, "waiting_calls_stay", test_waiting_calls_stay);
	CU_add_test(suite, "unfinished_bodies", test_unfinished_bodies);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
