#include "httpc.h"
#include "httpd.h"
#include "util.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Stand-in for a worker of the platform, written from the platform's documentation.
 *
 * Usage: fake_minion ID SERVICE RACK CONTROL_ADDRESS ADDRESS. Prints "listening ip:port". The
 * task_spec of a task is its run time in milliseconds, or "fail". Each start and end is written to
 * standard error, where tests read what ran: "start TASK RUN", "end TASK RUN HOW".
 */

#define BODY_BYTES_MAX (1024 * 1024)
#define TICK_PERIOD_MS 10
#define HEARTBEAT_PERIOD_MS 300
#define STOP_DELAY_MS 50
#define ACCELERATORS 8
#define ENDS_MAX 4096

struct run {
	struct run *next;
	char task[64];
	uint32_t number;
	uint64_t end_ms; /* by util_clock_ms() */
	bool fails;
	bool stopping;
};

struct end {
	uint64_t number;
	char task[64];
	uint32_t run;
	const char *how;
};

/* A call to /v1/hold that is answered when a run ends or its wait time is over. */
struct waiting {
	struct waiting *next;
	struct httpd_call *call;
	uint64_t until_ms;
	uint64_t seen;
};

static struct {
	struct tevent_context *ev;
	struct httpd *httpd;
	struct httpc *httpc;
	const char *id;
	const char *service;
	const char *rack;
	const char *control;
	uint64_t born_ms;
	uint64_t fence;
	uint64_t lease_ms;
	uint64_t sequence;
	uint64_t next_heartbeat_ms;
	struct run *runs;
	struct end ends[ENDS_MAX];
	size_t end_count;
	uint64_t ends_known;
	struct waiting *waiting;
} minion;

static void send_answer(struct httpd_call *call, int status, json_t *json)
{
	char *text;

	json_object_set_new(json, "clock_ms", json_integer((json_int_t)util_clock_ms()));
	text = json_dumps(json, JSON_COMPACT);
	httpd_answer(call, status, "application/json", text, 0);
	free(text);
	json_decref(json);
}

static void end_run(struct run **at, const char *how)
{
	struct run *run = *at;
	struct end *end = &minion.ends[minion.end_count % ENDS_MAX];

	*at = run->next;
	*end = (struct end){.number = minion.end_count + 1, .run = run->number, .how = how};
	g_strlcpy(end->task, run->task, sizeof(end->task));
	minion.end_count++;
	fprintf(stderr, "end %s %u %s\n", run->task, run->number, how);
	free(run);
}

/* Index of the oldest end that is still held. */
static size_t first_end(void)
{
	return minion.end_count > ENDS_MAX ? minion.end_count - ENDS_MAX : 0;
}

static json_t *runs_json(uint64_t seen)
{
	json_t *running = json_array();
	json_t *ended = json_array();

	for (struct run *run = minion.runs; run; run = run->next)
		json_array_append_new(running,
				      json_pack("[s, i, s, i]", run->task, (int)run->number, "",
						(int)(util_clock_ms() / 50 % 100)));
	for (size_t i = first_end(); i < minion.end_count; i++) {
		const struct end *end = &minion.ends[i % ENDS_MAX];

		if (end->number > seen)
			json_array_append_new(ended,
					      json_pack("[I, s, i, s, s]", (json_int_t)end->number,
							end->task, (int)end->run, end->how, ""));
	}
	return json_pack("{s:I, s:o, s:o}", "born", (json_int_t)minion.born_ms, "running", running,
			 "ended", ended);
}

static bool run_has_ended(const char *task, uint32_t run)
{
	for (size_t i = first_end(); i < minion.end_count; i++) {
		const struct end *end = &minion.ends[i % ENDS_MAX];

		if (!strcmp(end->task, task) && end->run >= run)
			return true;
	}
	return false;
}

static void start_run(struct httpd_call *call, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	const char *spec = json_string_value(json_object_get(body, "task_spec"));
	uint32_t number = (uint32_t)json_integer_value(json_object_get(body, "run"));
	struct run *run;
	size_t count = 0;

	for (run = minion.runs; run; run = run->next) {
		count++;
		if (!strcmp(run->task, task) && run->number == number) {
			send_answer(call, 200, json_object());
			return;
		}
	}
	if (run_has_ended(task, number) || count >= ACCELERATORS) {
		send_answer(call, 409,
			    json_pack("{s:s}", "reason", count >= ACCELERATORS ? "room" : "old"));
		return;
	}
	run = calloc(1, sizeof(*run));
	g_strlcpy(run->task, task, sizeof(run->task));
	run->number = number;
	run->fails = !strcmp(spec, "fail");
	run->end_ms = util_clock_ms() + (uint64_t)(run->fails ? 20 : atoi(spec));
	run->next = minion.runs;
	minion.runs = run;
	fprintf(stderr, "start %s %u\n", task, number);
	send_answer(call, 200, json_object());
}

static void stop_run(struct httpd_call *call, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	uint32_t number = (uint32_t)json_integer_value(json_object_get(body, "run"));

	for (struct run *run = minion.runs; run; run = run->next) {
		if (strcmp(run->task, task) != 0 || run->number != number)
			continue;
		run->stopping = true;
		run->end_ms = util_clock_ms() + STOP_DELAY_MS;
	}
	send_answer(call, 200, json_object());
}

static void handle_hold(struct httpd_call *call, const json_t *body)
{
	struct waiting *waiting = calloc(1, sizeof(*waiting));
	uint64_t deadline = (uint64_t)json_integer_value(json_object_get(body, "deadline_ms"));

	if (deadline > minion.lease_ms)
		minion.lease_ms = deadline;
	waiting->call = call;
	waiting->seen = (uint64_t)json_integer_value(json_object_get(body, "last_seen"));
	waiting->until_ms =
		util_clock_ms() + (uint64_t)json_integer_value(json_object_get(body, "wait_ms"));
	waiting->next = minion.waiting;
	minion.waiting = waiting;
}

static void on_call(struct httpd_call *call, void *ctx)
{
	const char *path = httpd_path(call);
	const char *target = httpd_header(call, "Target-Instance");
	size_t len;
	json_t *body = json_loads(httpd_body(call, &len), 0, NULL);
	uint64_t fence = (uint64_t)json_integer_value(json_object_get(body, "fencing_token"));

	if (target && strcmp(target, minion.id) != 0) {
		send_answer(call, 421, json_object());
	} else if (fence < minion.fence) {
		send_answer(call, 409, json_pack("{s:s}", "reason", "fence"));
	} else {
		minion.fence = fence;
		if (!strcmp(path, "/v1/run-start"))
			start_run(call, body);
		else if (!strcmp(path, "/v1/run-stop"))
			stop_run(call, body);
		else if (!strcmp(path, "/v1/hold"))
			handle_hold(call, body);
		else
			send_answer(call, 404, json_object());
	}
	json_decref(body);
}

static void on_heartbeat_answer(int status, int http_status, const char *body, size_t len,
				void *ctx)
{
}

static void send_heartbeat(void)
{
	static const char *const headers[] = {"Content-Type: application/json"};
	char *url = g_strdup_printf("http://%s/v1/instances/%s", minion.control, minion.id);
	json_t *json = json_pack(
		"{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, s:i}, s:[s, s], s:I, s:I}",
		"service", minion.service, "address", httpd_address(minion.httpd), "zone", "z",
		"version", "v1", "slots", 8, "state", "ready", "cold_remaining_ms", 0, "capacity",
		"cpu", 128000, "mem_mb", 524288, "gpu", ACCELERATORS, "labels", "a", minion.rack,
		"seq", (json_int_t)++minion.sequence, "born", (json_int_t)minion.born_ms);
	char *text = json_dumps(json, JSON_COMPACT);
	struct httpc_request request = {.method = "PUT",
					.url = url,
					.headers = headers,
					.header_count = 1,
					.body = text,
					.body_len = strlen(text),
					.timeout_ms = 1000,
					.done = on_heartbeat_answer};

	httpc_start(minion.httpc, &request);
	free(text);
	json_decref(json);
	g_free(url);
}

static void answer_waiting_calls(uint64_t now_ms)
{
	for (struct waiting **at = &minion.waiting; *at;) {
		struct waiting *waiting = *at;

		if (now_ms < waiting->until_ms && minion.end_count <= waiting->seen) {
			at = &waiting->next;
			continue;
		}
		send_answer(waiting->call, 200, runs_json(waiting->seen));
		*at = waiting->next;
		free(waiting);
	}
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		    void *ctx)
{
	uint64_t now_ms = util_clock_ms();

	for (struct run **at = &minion.runs; *at;) {
		struct run *run = *at;

		if (minion.lease_ms && now_ms > minion.lease_ms)
			end_run(at, "lapsed");
		else if (now_ms >= run->end_ms)
			end_run(at, run->stopping ? "stopped" : run->fails ? "failed" : "done");
		else
			at = &run->next;
	}
	answer_waiting_calls(now_ms);
	if (now_ms >= minion.next_heartbeat_ms) {
		minion.next_heartbeat_ms = now_ms + HEARTBEAT_PERIOD_MS;
		send_heartbeat();
	}
	tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, TICK_PERIOD_MS * 1000), on_tick,
			 NULL);
}

int main(int argc, char **argv)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct httpd_handlers handlers = {on_call, NULL, NULL};
	struct err err = {0};

	if (argc != 6) {
		fprintf(stderr, "usage: fake_minion ID SERVICE RACK CONTROL_ADDRESS ADDRESS\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	minion.id = argv[1];
	minion.service = argv[2];
	minion.rack = argv[3];
	minion.control = argv[4];
	minion.born_ms = util_wall_ms();
	minion.ev = tevent_context_init(mem);
	minion.httpc = httpc_create(mem, minion.ev);
	minion.httpd = httpd_create(mem, minion.ev, argv[5], BODY_BYTES_MAX, &handlers, &err);
	if (!minion.httpd) {
		fprintf(stderr, "%s\n", err.message);
		return 1;
	}
	printf("listening %s\n", httpd_address(minion.httpd));
	fflush(stdout);
	on_tick(minion.ev, NULL, tevent_timeval_zero(), NULL);
	while (tevent_loop_once(minion.ev) == 0)
		;
	return 1;
}
