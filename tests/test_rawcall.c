#include "httpd.h"
#include "lib_rawcall.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BODY_MAX_BYTES 1000
#define LARGE_BODY_BYTES (3 * 1024 * 1024)
#define TIMEOUT_MS 400
#define WAIT_MS 5000
#define PENDING (-1)

static void on_call(struct httpd_call *call, void *ctx)
{
	struct httpd_call **silent = ctx;

	if (!strcmp(httpd_path(call), "/silent"))
		*silent = call;
	else
		httpd_answer(call, 404, NULL, NULL, 0);
}

static void on_done(int status, void *ctx)
{
	*(int *)ctx = status;
}

static int status_of(struct tevent_context *ev, const char *address, const char *bytes, size_t len)
{
	uint64_t end_ms = util_clock_ms() + WAIT_MS;
	int status = PENDING;

	rawcall_send(ev, ev, address, bytes, len, TIMEOUT_MS, on_done, &status);
	while (status == PENDING && util_clock_ms() < end_ms)
		tevent_loop_once(ev);
	return status;
}

/* Guards against a check that takes a missing answer for one, or the other way round. */
static void test_statuses(void)
{
	static const char missing[] = "FOO /x HTTP/1.1\r\nHost: x\r\n\r\n";
	static const char silent[] = "GET /silent HTTP/1.1\r\nHost: x\r\n\r\n";
	static const char malformed[] = "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n";
	static const char header[] =
		"PUT /x HTTP/1.1\r\nHost: x\r\nContent-Length: 3145728\r\n\r\n";
	struct tevent_context *ev = tevent_context_init(NULL);
	struct httpd_call *unanswered = NULL;
	struct httpd_handlers handlers = {on_call, NULL, &unanswered};
	struct err err = {0};
	struct httpd *httpd = httpd_create(ev, ev, "127.0.0.1:0", BODY_MAX_BYTES, &handlers, &err);
	char *address = talloc_strdup(ev, httpd_address(httpd));
	char *large = talloc_zero_size(ev, strlen(header) + LARGE_BODY_BYTES);

	memcpy(large, header, strlen(header));
	CU_ASSERT_EQUAL(status_of(ev, address, missing, strlen(missing)), 404);
	CU_ASSERT_EQUAL(status_of(ev, address, malformed, strlen(malformed)), 400);
	CU_ASSERT_EQUAL(status_of(ev, address, large, strlen(header) + LARGE_BODY_BYTES), 413);
	CU_ASSERT_EQUAL(status_of(ev, address, silent, strlen(silent)), 0);
	httpd_answer(unanswered, 404, NULL, NULL, 0);
	CU_ASSERT_EQUAL(status_of(ev, address, "GE", 2), 0);
	talloc_free(httpd);
	CU_ASSERT_EQUAL(status_of(ev, address, missing, strlen(missing)), 0);
	CU_ASSERT_EQUAL(status_of(ev, "none", missing, strlen(missing)), 0);
	talloc_free(ev);
}

int main(void)
{
	CU_pSuite suite;

	if (CU_initialize_registry() != CUE_SUCCESS)
		return EXIT_FAILURE;
	suite = CU_add_suite("rawcall", NULL, NULL);
	if (!suite || !CU_add_test(suite, "statuses", test_statuses))
		return EXIT_FAILURE;
	CU_basic_run_tests();
	return CU_get_number_of_failures() ? EXIT_FAILURE : EXIT_SUCCESS;
}
