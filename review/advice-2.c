/*
 * Stand-in of the advice service. It approves every worker, after DECISION_MS and PER_WORKER_MS for
 * each one named, one call after the other.
 *
 * Usage: advice ADDRESS DECISION_MS PER_WORKER_MS VALID_MS. Each answer is written to standard
 * output.
 */
#include "httpd.h"
#include "util.h"

#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BODY_BYTES_MAX (1024 * 1024)
#define WAITING_MAX 32

struct waiting {
	struct httpd_call *call;
	json_t *answer;
	char step[128];
};

static struct tevent_context *ev;
static uint32_t decision_ms, per_worker_ms, valid_ms;
static uint64_t busy_until_ms;
static unsigned int waiting_count, ticket_count;

static void on_decided(struct tevent_context *context, struct tevent_timer *te, struct timeval now,
		       void *ctx)
{
	struct waiting *waiting = ctx;
	char *text = json_dumps(waiting->answer, JSON_COMPACT);

	waiting_count--;
	printf("%llu advised %s\n", (unsigned long long)util_clock_ms(), waiting->step);
	fflush(stdout);
	if (waiting->call)
		httpd_answer(waiting->call, 200, "application/json", text, 0);
	free(text);
	json_decref(waiting->answer);
	free(waiting);
}

static void on_call(struct httpd_call *call, void *ctx)
{
	size_t len, i;
	json_t *body = json_loads(httpd_body(call, &len), 0, NULL);
	const json_t *workers = json_object_get(body, "workers");
	const char *step = json_string_value(json_object_get(body, "step"));
	json_t *approved = json_array();
	struct waiting *waiting;
	uint64_t now_ms = util_clock_ms();
	json_t *worker;

	if (strcmp(httpd_path(call), "/v1/advise") || !step || waiting_count >= WAITING_MAX) {
		httpd_answer(call, step ? 429 : 400, NULL, NULL, 0);
		json_decref(approved);
		json_decref(body);
		return;
	}
	json_array_foreach(workers, i, worker)
	{
		char ticket[32];

		snprintf(ticket, sizeof(ticket), "ticket-%u", ++ticket_count);
		json_array_append_new(approved, json_pack("[O, s]", worker, ticket));
	}
	waiting = calloc(1, sizeof(*waiting));
	waiting->call = call;
	waiting->answer = json_pack("{s:o, s:i}", "approved", approved, "valid_ms", (int)valid_ms);
	snprintf(waiting->step, sizeof(waiting->step), "%s", step);
	waiting_count++;
	if (busy_until_ms < now_ms)
		busy_until_ms = now_ms;
	busy_until_ms += decision_ms + per_worker_ms * json_array_size(workers);
	httpd_set_context(call, waiting);
	tevent_add_timer(
		ev, ev,
		tevent_timeval_current_ofs((uint32_t)((busy_until_ms - now_ms) / 1000),
					   (uint32_t)((busy_until_ms - now_ms) % 1000 * 1000)),
		on_decided, waiting);
	json_decref(body);
}

static void on_disconnect(struct httpd_call *call, void *ctx)
{
	struct waiting *waiting = httpd_context(call);

	if (waiting)
		waiting->call = NULL;
}

int main(int argc, char **argv)
{
	struct httpd_handlers handlers = {on_call, on_disconnect, NULL};
	struct err err = {0};

	if (argc != 5)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	decision_ms = (uint32_t)atoi(argv[2]);
	per_worker_ms = (uint32_t)atoi(argv[3]);
	valid_ms = (uint32_t)atoi(argv[4]);
	ev = tevent_context_init(NULL);
	if (!httpd_create(ev, ev, argv[1], BODY_BYTES_MAX, &handlers, &err)) {
		fprintf(stderr, "%s\n", err.message);
		return 1;
	}
	while (tevent_loop_once(ev) == 0)
		;
	return 1;
}
