#include "request.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#define TOTAL (8 * 1024 * 1024)

/* Stands for the HTTP server: a suspended reader sleeps until it is woken. */
struct server {
	struct request *r;
	pthread_mutex_t lock;
	pthread_cond_t woken;
	bool suspended;
	uint64_t hash;
	uint64_t read;
	int end;
};

static void suspend(struct request *r)
{
	struct server *s = r->http;

	pthread_mutex_lock(&s->lock);
	s->suspended = true;
	pthread_mutex_unlock(&s->lock);
}

static void wake(struct request *r)
{
	struct server *s = r->http;

	pthread_mutex_lock(&s->lock);
	s->suspended = false;
	pthread_cond_signal(&s->woken);
	pthread_mutex_unlock(&s->lock);
}

static void sleep_until_woken(struct server *s)
{
	pthread_mutex_lock(&s->lock);
	while (s->suspended)
		pthread_cond_wait(&s->woken, &s->lock);
	pthread_mutex_unlock(&s->lock);
}

static void *reader(void *arg)
{
	struct server *s = arg;
	uint8_t buf[5000];

	while (!request_wait(s->r, false, suspend))
		sleep_until_woken(s);
	for (;;) {
		ssize_t got = request_read(s->r, buf, sizeof(buf));

		if (got < 0) {
			s->end = (int)got;
			break;
		}
		for (ssize_t i = 0; i < got; i++)
			s->hash = s->hash * 31 + buf[i];
		s->read += (uint64_t)got;
		if (!got && !request_wait(s->r, true, suspend))
			sleep_until_woken(s);
	}
	request_unref(s->r);
	return NULL;
}

static struct request *start_reader(struct server *s, pthread_t *thread)
{
	*s = (struct server){.r = request_create()};
	pthread_mutex_init(&s->lock, NULL);
	pthread_cond_init(&s->woken, NULL);
	s->r->http = s;
	s->r->wake = wake;
	request_ref(s->r);
	pthread_create(thread, NULL, reader, s);
	return s->r;
}

/* Guards against lost wake-ups, lost bytes and unbounded buffering between the two threads. */
static void test_stream(void)
{
	static uint8_t chunk[REQUEST_CHUNK_MAX];
	struct util_rng rng = {.state = 1};
	struct server s;
	struct request *r;
	pthread_t thread;
	uint64_t hash = 0;
	uint64_t sent = 0;

	r = start_reader(&s, &thread);
	request_begin(r, 200, "text/plain", REQUEST_LENGTH_UNKNOWN);
	while (sent < TOTAL) {
		size_t len = 1 + util_rng_below(&rng, sizeof(chunk));

		for (size_t i = 0; i < len; i++)
			chunk[i] = (uint8_t)util_rng_next(&rng);
		while (request_append(r, chunk, len))
			g_thread_yield();
		for (size_t i = 0; i < len; i++)
			hash = hash * 31 + chunk[i];
		sent += len;
	}
	request_end(r);
	pthread_join(thread, NULL);
	CU_ASSERT_EQUAL(s.end, -1);
	CU_ASSERT_EQUAL(s.read, sent);
	CU_ASSERT_EQUAL(s.hash, hash);
	request_unref(r);
}

/* Guards against a cut answer that is passed on as whole. */
static void test_cut(void)
{
	struct server s;
	struct request *r;
	pthread_t thread;

	r = start_reader(&s, &thread);
	request_begin(r, 200, "text/plain", REQUEST_LENGTH_UNKNOWN);
	CU_ASSERT_EQUAL(request_append(r, "part", 4), 0);
	request_fail(r, &(struct err){.code = ERR_OUTCOME_UNKNOWN}, REQUEST_UNKNOWN);
	pthread_join(thread, NULL);
	CU_ASSERT_EQUAL(s.end, -2);
	CU_ASSERT_EQUAL(r->status, 200);
	request_unref(r);
}

/* Guards against bytes of a failed attempt in front of the next attempt's answer. */
static void test_discard(void)
{
	struct request *r = request_create();
	char buf[16];

	CU_ASSERT_EQUAL(request_append(r, "old", 3), 0);
	CU_ASSERT_TRUE(request_discard(r));
	CU_ASSERT_EQUAL(request_append(r, "new", 3), 0);
	request_begin(r, 200, "", 3);
	CU_ASSERT_FALSE(request_discard(r));
	request_end(r);
	CU_ASSERT_EQUAL(request_read(r, buf, sizeof(buf)), 3);
	CU_ASSERT_NSTRING_EQUAL(buf, "new", 3);
	CU_ASSERT_EQUAL(request_read(r, buf, sizeof(buf)), -1);
	request_unref(r);
}

/* Guards against errors without remedy, outcome or the status that callers expect. */
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
		struct request *r = request_create();
		char text[1024] = "";
		struct err err;
		json_t *json;
		const char *outcome;

		err_set(&err, cases[i].code, "do this", "that is wrong");
		request_fail(r, &err, cases[i].outcome);
		request_read(r, text, sizeof(text) - 1);
		json = json_loads(text, 0, NULL);
		outcome = json_string_value(
			json_object_get(json_object_get(json, "error"), "outcome"));
		CU_ASSERT_EQUAL(r->status, cases[i].status);
		CU_ASSERT_EQUAL(r->retry_after_s > 0, cases[i].retry_after);
		CU_ASSERT_STRING_EQUAL(outcome ? outcome : "", cases[i].outcome_name);
		json_decref(json);
		request_unref(r);
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
