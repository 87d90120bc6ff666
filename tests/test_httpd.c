#include "httpc.h"
#include "httpd.h"
#include "lib_memkv.h"

#include <CUnit/Basic.h>
#include <string.h>

#define CALLS 3

struct fixture {
	struct tevent_context *ev;
	struct httpd *server;
	char *url;
	int held;
	int disconnected;
	int answers;
	int status;
	int http_status;
};

static void hold_call(struct httpd_call *call, void *ctx)
{
	((struct fixture *)ctx)->held++;
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
	f->http_status = http_status;
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

/* Guards against a process that aborts at its end because calls wait for their answers. */
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
	CU_ASSERT_EQUAL(f->status, 0);
	CU_ASSERT_EQUAL(f->http_status, 503);
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

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("httpd", NULL, NULL);
	CU_add_test(suite, "freed_with_open_calls", test_freed_with_open_calls);
	CU_add_test(suite, "caller_gone", test_caller_gone);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
