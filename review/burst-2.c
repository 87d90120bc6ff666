/*
 * Hands in many jobs, all at once or one after the other, and prints each answer's status.
 *
 * Usage: burst FILE COUNT PREFIX AT_ONCE FRONT...: the body is in FILE, the id of job N is PREFIX
 * and N in four hexadecimal digits.
 */
#include "httpc.h"
#include "util.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#define TIMEOUT_MS 3000

static struct httpc *http;
static char *body;
static gsize body_len;
static const char *prefix;
static char **fronts;
static int front_count, count, open_calls;

static void on_answer(int status, int http_status, const char *answer, size_t len, void *ctx)
{
	printf("%llu job %d %d\n", (unsigned long long)util_wall_ms(), GPOINTER_TO_INT(ctx),
	       status ? 0 : http_status);
	open_calls--;
}

static void send_job(int number)
{
	static const char *const headers[] = {"Host: q.example", "Authorization: Bearer key-a",
					      "Deadline-Ms: 3000",
					      "Content-Type: application/json"};
	g_autofree char *url = g_strdup_printf("http://%s%s%04x", fronts[number % front_count],
					       prefix, (unsigned int)number);
	struct httpc_request request = {.method = "POST",
					.url = url,
					.headers = headers,
					.header_count = 4,
					.body = body,
					.body_len = body_len,
					.timeout_ms = TIMEOUT_MS,
					.fresh_connection = true,
					.done = on_answer,
					.ctx = GINT_TO_POINTER(number)};

	open_calls++;
	httpc_start(http, &request);
}

int main(int argc, char **argv)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	bool at_once;

	if (argc < 6 || !g_file_get_contents(argv[1], &body, &body_len, NULL))
		return 2;
	count = atoi(argv[2]);
	prefix = argv[3];
	at_once = atoi(argv[4]);
	fronts = argv + 5;
	front_count = argc - 5;
	http = httpc_create(ev, ev);
	for (int i = 0; i < count; i++) {
		send_job(i);
		while (!at_once && open_calls)
			tevent_loop_once(ev);
	}
	while (open_calls)
		tevent_loop_once(ev);
	return 0;
}
