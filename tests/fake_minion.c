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
 * Stand-in for a worker of the platform, written from its page.
 *
 * Usage: fake_minion ID SERVICE RACK CONTROL_ADDRESS ADDRESS. It prints "listening ip:port". A
 * task's text is the milliseconds that it takes, or "fail". Each start and end goes to standard
 * error, so that a test sees what ran: "start TASK RUN", "end TASK RUN HOW".
 */

#define BODY_MAX (1024 * 1024)
#define TICK_MS 10
#define HEARTBEAT_MS 300
#define STOP_MS 50
#define ACCELERATORS 8
#define ENDS_MAX 4096

struct run {
	struct run *next;
	char task[64];
	uint32_t number;
	uint64_t end_ms; /* own clock */
	bool fails;
	bool stopping;
};

struct end {
	uint64_t number;
	char task[64];
	uint32_t run;
	const char *how;
};

/* A call that waits for an end. */
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
} m;

static void answer(struct httpd_call *call, int status, json_t *json)
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
	struct end *end = &m.ends[m.end_count % ENDS_MAX];

	*at = run->next;
	*end = (struct end){.number = m.end_count + 1, .run = run->number, .how = how};
	g_strlcpy(end->task, run->task, sizeof(end->task));
	m.end_count++;
	fprintf(stderr, "end %s %u %s\n", run->task, run->number, how);
	free(run);
}

static json_t *lists(uint64_t seen)
{
	json_t *running = json_array();
	json_t *ended = json_array();

	for (struct run *r = m.runs; r; r = r->next)
		json_array_append_new(running, json_pack("[s, i, s, i]", r->task, (int)r->number,
							 "", (int)(util_clock_ms() / 50 % 100)));
	for (size_t i = 0; i < m.end_count; i++) {
		if (m.ends[i].number > seen)
			json_array_append_new(ended, json_pack("[I, s, i, s, s]",
							       (json_int_t)m.ends[i].number,
							       m.ends[i].task, (int)m.ends[i].run,
							       m.ends[i].how, ""));
	}
	return json_pack("{s:I, s:o, s:o}", "born", (json_int_t)m.born_ms, "running", running,
			 "ended", ended);
}

static bool closed(const char *task, uint32_t run)
{
	for (size_t i = 0; i < m.end_count; i++) {
		if (!strcmp(m.ends[i].task, task) && m.ends[i].run >= run)
			return true;
	}
	return false;
}

static void start(struct httpd_call *call, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	const char *spec = json_string_value(json_object_get(body, "task_spec"));
	uint32_t number = (uint32_t)json_integer_value(json_object_get(body, "run"));
	struct run *run;
	size_t count = 0;

	for (run = m.runs; run; run = run->next) {
		count++;
		if (!strcmp(run->task, task) && run->number == number) {
			answer(call, 200, json_object());
			return;
		}
	}
	if (closed(task, number) || count >= ACCELERATORS) {
		answer(call, 409,
		       json_pack("{s:s}", "reason", count >= ACCELERATORS ? "room" : "old"));
		return;
	}
	run = calloc(1, sizeof(*run));
	g_strlcpy(run->task, task, sizeof(run->task));
	run->number = number;
	run->fails = !strcmp(spec, "fail");
	run->end_ms = util_clock_ms() + (uint64_t)(run->fails ? 20 : atoi(spec));
	run->next = m.runs;
	m.runs = run;
	fprintf(stderr, "start %s %u\n", task, number);
	answer(call, 200, json_object());
}

static void stop(struct httpd_call *call, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	uint32_t number = (uint32_t)json_integer_value(json_object_get(body, "run"));

	for (struct run *run = m.runs; run; run = run->next) {
		if (strcmp(run->task, task) != 0 || run->number != number)
			continue;
		run->stopping = true;
		run->end_ms = util_clock_ms() + STOP_MS;
	}
	answer(call, 200, json_object());
}

static void hold(struct httpd_call *call, const json_t *body)
{
	struct waiting *w = calloc(1, sizeof(*w));
	uint64_t deadline = (uint64_t)json_integer_value(json_object_get(body, "deadline_ms"));

	if (deadline > m.lease_ms)
		m.lease_ms = deadline;
	w->call = call;
	w->seen = (uint64_t)json_integer_value(json_object_get(body, "last_seen"));
	w->until_ms =
		util_clock_ms() + (uint64_t)json_integer_value(json_object_get(body, "wait_ms"));
	w->next = m.waiting;
	m.waiting = w;
}

static void on_call(struct httpd_call *call, void *ctx)
{
	const char *path = httpd_path(call);
	const char *target = httpd_header(call, "Target-Instance");
	size_t len;
	json_t *body = json_loads(httpd_body(call, &len), 0, NULL);
	uint64_t fence = (uint64_t)json_integer_value(json_object_get(body, "fencing_token"));

	if (target && strcmp(target, m.id) != 0) {
		answer(call, 421, json_object());
	} else if (fence < m.fence) {
		answer(call, 409, json_pack("{s:s}", "reason", "fence"));
	} else {
		m.fence = fence;
		if (!strcmp(path, "/v1/run-start"))
			start(call, body);
		else if (!strcmp(path, "/v1/run-stop"))
			stop(call, body);
		else if (!strcmp(path, "/v1/hold"))
			hold(call, body);
		else
			answer(call, 404, json_object());
	}
	json_decref(body);
}

static void on_heartbeat(int status, int http_status, const char *body, size_t len, void *ctx)
{
}

static void heartbeat(void)
{
	static const char *const headers[] = {"Content-Type: application/json"};
	char *url = g_strdup_printf("http://%s/v1/instances/%s", m.control, m.id);
	json_t *json = json_pack(
		"{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, s:i}, s:[s, s], s:I, s:I}",
		"service", m.service, "address", httpd_address(m.httpd), "zone", "z", "version",
		"v1", "slots", 8, "state", "ready", "cold_remaining_ms", 0, "capacity", "cpu",
		128000, "mem_mb", 524288, "gpu", ACCELERATORS, "labels", "a", m.rack, "seq",
		(json_int_t)++m.sequence, "born", (json_int_t)m.born_ms);
	char *text = json_dumps(json, JSON_COMPACT);
	struct httpc_request request = {.method = "PUT",
					.url = url,
					.headers = headers,
					.header_count = 1,
					.body = text,
					.body_len = strlen(text),
					.timeout_ms = 1000,
					.done = on_heartbeat};

	httpc_start(m.httpc, &request);
	free(text);
	json_decref(json);
	g_free(url);
}

static void answer_waiting(uint64_t now_ms)
{
	for (struct waiting **at = &m.waiting; *at;) {
		struct waiting *w = *at;

		if (now_ms < w->until_ms && m.end_count <= w->seen) {
			at = &w->next;
			continue;
		}
		answer(w->call, 200, lists(w->seen));
		*at = w->next;
		free(w);
	}
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		    void *ctx)
{
	uint64_t now_ms = util_clock_ms();

	for (struct run **at = &m.runs; *at;) {
		struct run *run = *at;

		if (m.lease_ms && now_ms > m.lease_ms)
			end_run(at, "lapsed");
		else if (now_ms >= run->end_ms)
			end_run(at, run->stopping ? "stopped" : run->fails ? "failed" : "done");
		else
			at = &run->next;
	}
	answer_waiting(now_ms);
	if (now_ms >= m.next_heartbeat_ms) {
		m.next_heartbeat_ms = now_ms + HEARTBEAT_MS;
		heartbeat();
	}
	tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, TICK_MS * 1000), on_tick, NULL);
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
	m.id = argv[1];
	m.service = argv[2];
	m.rack = argv[3];
	m.control = argv[4];
	m.born_ms = util_wall_ms();
	m.ev = tevent_context_init(mem);
	m.httpc = httpc_create(mem, m.ev);
	m.httpd = httpd_create(mem, m.ev, argv[5], BODY_MAX, &handlers, &err);
	if (!m.httpd) {
		fprintf(stderr, "%s\n", err.message);
		return 1;
	}
	printf("listening %s\n", httpd_address(m.httpd));
	fflush(stdout);
	on_tick(m.ev, NULL, tevent_timeval_zero(), NULL);
	while (tevent_loop_once(m.ev) == 0)
		;
	return 1;
}
