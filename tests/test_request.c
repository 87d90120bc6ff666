#include "request.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#define STREAM_BYTES (8 * 1024 * 1024)

/* Simulates the HTTP server: a suspended reader thread sleeps until it is woken. */
struct server {
	struct request *request;
	pthread_mutex_t lock;
	pthread_cond_t woken;
	bool suspended;
	uint64_t hash;
	uint64_t read;
	int end;
};

static void suspend_reader(struct request *request)
{
	struct server *server = request->http;

	pthread_mutex_lock(&server->lock);
	server->suspended = true;
	pthread_mutex_unlock(&server->lock);
}

static void wake_reader(struct request *request)
{
	struct server *server = request->http;

	pthread_mutex_lock(&server->lock);
	server->suspended = false;
	pthread_cond_signal(&server->woken);
	pthread_mutex_unlock(&server->lock);
}

static void sleep_until_woken(struct server *server)
{
	pthread_mutex_lock(&server->lock);
	while (server->suspended)
		pthread_cond_wait(&server->woken, &server->lock);
	pthread_mutex_unlock(&server->lock);
}

static void *read_answer(void *arg)
{
	struct server *server = arg;
	uint8_t buf[5000];

	while (!request_wait(server->request, false, suspend_reader))
		sleep_until_woken(server);
	for (;;) {
		ssize_t got = request_read_answer(server->request, buf, sizeof(buf));

		if (got < 0) {
			server->end = (int)got;
			break;
		}
		for (ssize_t i = 0; i < got; i++)
			server->hash = server->hash * 31 + buf[i];
		server->read += (uint64_t)got;
		if (!got && !request_wait(server->request, true, suspend_reader))
			sleep_until_woken(server);
	}
	request_unref(server->request);
	return NULL;
}

static struct request *start_reader(struct server *server, pthread_t *thread)
{
	*server = (struct server){.request = request_create()};
	pthread_mutex_init(&server->lock, NULL);
	pthread_cond_init(&server->woken, NULL);
	server->request->http = server;
	server->request->wake = wake_reader;
	request_ref(server->request);
	pthread_create(thread, NULL, read_answer, server);
	return server->request;
}

/* Guards against lost wake-ups, lost bytes and unbounded buffering between two threads. */
static void test_stream(void)
{
	static uint8_t chunk[REQUEST_CHUNK_MAX];
	struct util_rng rng = {.state = 1};
	struct server server;
	struct request *request;
	pthread_t thread;
	uint64_t hash = 0;
	uint64_t sent = 0;

	request = start_reader(&server, &thread);
	request_begin_answer(request, 200, "text/plain", REQUEST_LENGTH_UNKNOWN);
	while (sent < STREAM_BYTES) {
		size_t len = 1 + util_rng_below(&rng, sizeof(chunk));

		for (size_t i = 0; i < len; i++)
			chunk[i] = (uint8_t)util_rng_next(&rng);
		while (request_append_answer(request, chunk, len))
			g_thread_yield();
		for (size_t i = 0; i < len; i++)
			hash = hash * 31 + chunk[i];
		sent += len;
	}
	request_end_answer(request);
	pthread_join(thread, NULL);
	CU_ASSERT_EQUAL(server.end, -1);
	CU_ASSERT_EQUAL(server.read, sent);
	CU_ASSERT_EQUAL(server.hash, hash);
	request_unref(request);
}

/* Guards against an incomplete answer that ends like a complete one. */
static void test_cut(void)
{
	struct server server;
	struct request *request;
	pthread_t thread;

	request = start_reader(&server, &thread);
	request_begin_answer(request, 200, "text/plain", REQUEST_LENGTH_UNKNOWN);
	CU_ASSERT_EQUAL(request_append_answer(request, "part", 4), 0);
	request_reply_error(request, &(struct err){.code = ERR_OUTCOME_UNKNOWN}, REQUEST_UNKNOWN);
	pthread_join(thread, NULL);
	CU_ASSERT_EQUAL(server.end, -2);
	CU_ASSERT_EQUAL(request->status, 200);
	request_unref(request);
}

/* Guards against bytes of a failed attempt at the head of the next attempt's answer. */
static void test_discard(void)
{
	struct request *request = request_create();
	char buf[16];

	CU_ASSERT_EQUAL(request_append_answer(request, "old", 3), 0);
	CU_ASSERT_TRUE(request_discard_answer(request));
	CU_ASSERT_EQUAL(request_append_answer(request, "new", 3), 0);
	request_begin_answer(request, 200, "", 3);
	CU_ASSERT_FALSE(request_discard_answer(request));
	request_end_answer(request);
	CU_ASSERT_EQUAL(request_read_answer(request, buf, sizeof(buf)), 3);
	CU_ASSERT_NSTRING_EQUAL(buf, "new", 3);
	CU_ASSERT_EQUAL(request_read_answer(request, buf, sizeof(buf)), -1);
	request_unref(request);
}

/* Guards against error answers with a wrong outcome, HTTP status or Retry-After. */
static void test_errors(void)
{
	static const struct {
		const char *outcome_name;
		enum err_code code;
		enum request_outcome outcome;
		int status;
		bool retry_after;
	} cases[] = {
		{"not_run", ERR_INVALID, REQUEST_NOT_RUN, 400, false},
		{"not_run", ERR_DENIED, REQUEST_NOT_RUN, 401, false},
		{"not_run", ERR_NOT_FOUND, REQUEST_NOT_RUN, 404, false},
		{"not_run", ERR_CONFLICT, REQUEST_NOT_RUN, 409, false},
		{"not_run", ERR_TOO_LARGE, REQUEST_NOT_RUN, 413, false},
		{"not_run", ERR_OVER_QUOTA, REQUEST_NOT_RUN, 429, true},
		{"not_run", ERR_QUEUE_FULL, REQUEST_NOT_RUN, 429, true},
		{"unknown", ERR_OUTCOME_UNKNOWN, REQUEST_UNKNOWN, 502, false},
		{"not_run", ERR_UNAVAILABLE, REQUEST_NOT_RUN, 503, true},
		{"not_run", ERR_LEAVING, REQUEST_NOT_RUN, 503, true},
		{"not_run", ERR_DEADLINE, REQUEST_NOT_RUN, 504, true},
		{"unknown", ERR_DEADLINE, REQUEST_UNKNOWN, 504, false},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct request *request = request_create();
		char text[1024] = "";
		struct err err;
		json_t *json;
		const char *outcome;

		err_set(&err, cases[i].code, "do this", "that is wrong");
		request_reply_error(request, &err, cases[i].outcome);
		request_read_answer(request, text, sizeof(text) - 1);
		json = json_loads(text, 0, NULL);
		outcome = json_string_value(
			json_object_get(json_object_get(json, "error"), "outcome"));
		CU_ASSERT_EQUAL(request->status, cases[i].status);
		CU_ASSERT_EQUAL(request->retry_after_s > 0, cases[i].retry_after);
		CU_ASSERT_STRING_EQUAL(outcome ? outcome : "", cases[i].outcome_name);
		json_decref(json);
		request_unref(request);
	}
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("request", NULL, NULL);
	CU_add_test(suite, "stream", test_stream);
	CU_add_test(suite, "cut", test_cut);
	CU_add_test(suite, "discard", test_discard);
	CU_add_test(suite, "errors", test_errors);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
