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
 * task_spec of a task is its run time in milliseconds, or "fail". What happens is written to
 * standard error, where tests read it, with times by util_clock_ms():
 *
 *   start TASK RUN MS DEADLINE_MS   a run begins; DEADLINE_MS is the end of the lease in the order
 *   end TASK RUN HOW MS NUMBER
 *   seen NUMBER MS                  the agent has confirmed the ends up to NUMBER
 *   lapse MS                        the lease has ended
 *   drain ON MS                     the agent has answered the first heartbeat of this state
 *
 * PUT /test/late/MS leaves half of the orders of the next MS milliseconds unanswered and carries
 * them out 2 to 12 s later; PUT /test/drain/ON sets whether the worker drains.
 */

#define BODY_BYTES_MAX (1024 * 1024)
#define TICK_PERIOD_MS 10
#define HEARTBEAT_PERIOD_MS 300
#define STOP_DELAY_MS 50
#define ACCELERATORS 8
#define ENDS_MAX 4096
#define LATE_MIN_MS 2000
#define LATE_MAX_MS 12000

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

/* An order that is carried out late and never answered. */
struct late_order {
	struct late_order *next;
	uint64_t at_ms;
	char path[32];
	json_t *body;
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
	GHashTable *seen_runs; /* task to the highest run number started or stopped */
	struct late_order *late_orders;
	uint64_t late_until_ms;
	bool lapsed;
	bool draining;
	bool drain_told;
} minion;

static void send_answer(struct httpd_call *call, int status, json_t *json)
{
	char *text;

	if (!call) {
		json_decref(json);
		return;
	}
	json_object_set_new(json, "clock_ms", json_integer((json_int_t)util_clock_ms()));
	text = json_dumps(json, JSON_COMPACT);
	httpd_answer(call, status, "application/json", text, 0);
	free(text);
	json_decref(json);
}

static void end_run(struct run **at, const char *how, uint64_t ended_ms)
{
	struct run *run = *at;
	struct end *end = &minion.ends[minion.end_count % ENDS_MAX];

	*at = run->next;
	*end = (struct end){.number = minion.end_count + 1, .run = run->number, .how = how};
	g_strlcpy(end->task, run->task, sizeof(end->task));
	minion.end_count++;
	fprintf(stderr, "end %s %u %s %" PRIu64 " %zu\n", run->task, run->number, how, ended_ms,
		minion.end_count);
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

/* Returns false if this or a later run of the task was started or stopped before. */
static bool note_run(const char *task, uint32_t run)
{
	if (GPOINTER_TO_UINT(g_hash_table_lookup(minion.seen_runs, task)) >= run)
		return false;
	g_hash_table_insert(minion.seen_runs, g_strdup(task), GUINT_TO_POINTER(run));
	return true;
}

static void extend_lease(uint64_t deadline_ms)
{
	if (deadline_ms <= minion.lease_ms || deadline_ms <= util_clock_ms())
		return;
	minion.lease_ms = deadline_ms;
	minion.lapsed = false;
}

static void start_run(struct httpd_call *call, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	const char *spec = json_string_value(json_object_get(body, "task_spec"));
	uint32_t number = (uint32_t)json_integer_value(json_object_get(body, "run"));
	uint64_t deadline_ms = (uint64_t)json_integer_value(json_object_get(body, "deadline_ms"));
	const char *refusal = NULL;
	struct run *run;
	size_t count = 0;

	for (run = minion.runs; run; run = run->next) {
		count++;
		if (!strcmp(run->task, task) && run->number == number) {
			send_answer(call, 200, json_object());
			return;
		}
	}
	if (deadline_ms <= util_clock_ms())
		refusal = "late";
	else if (count >= ACCELERATORS)
		refusal = "room";
	else if (!note_run(task, number))
		refusal = "old";
	if (refusal) {
		send_answer(call, 409, json_pack("{s:s}", "reason", refusal));
		return;
	}
	extend_lease(deadline_ms);
	run = calloc(1, sizeof(*run));
	g_strlcpy(run->task, task, sizeof(run->task));
	run->number = number;
	run->fails = !strcmp(spec, "fail");
	run->end_ms = util_clock_ms() + (uint64_t)(run->fails ? 20 : atoi(spec));
	run->next = minion.runs;
	minion.runs = run;
	fprintf(stderr, "start %s %u %" PRIu64 " %" PRIu64 "\n", task, number, util_clock_ms(),
		deadline_ms);
	send_answer(call, 200, json_object());
}

static void stop_run(struct httpd_call *call, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	uint32_t number = (uint32_t)json_integer_value(json_object_get(body, "run"));

	note_run(task, number);
	for (struct run *run = minion.runs; run; run = run->next) {
		if (strcmp(run->task, task) != 0 || run->number != number || run->stopping)
			continue;
		run->stopping = true;
		run->end_ms = util_clock_ms() + STOP_DELAY_MS;
	}
	send_answer(call, 200, json_object());
}

static void handle_hold(struct httpd_call *call, const json_t *body)
{
	uint64_t seen = (uint64_t)json_integer_value(json_object_get(body, "last_seen"));
	struct waiting *waiting;

	extend_lease((uint64_t)json_integer_value(json_object_get(body, "deadline_ms")));
	if (seen > minion.ends_known) {
		minion.ends_known = seen;
		fprintf(stderr, "seen %" PRIu64 " %" PRIu64 "\n", seen, util_clock_ms());
	}
	if (!call)
		return;
	waiting = calloc(1, sizeof(*waiting));
	waiting->call = call;
	waiting->seen = seen;
	waiting->until_ms =
		util_clock_ms() + (uint64_t)json_integer_value(json_object_get(body, "wait_ms"));
	waiting->next = minion.waiting;
	minion.waiting = waiting;
}

/* @call: NULL for an order that is carried out late */
static void carry_out(struct httpd_call *call, const char *path, const json_t *body)
{
	uint64_t fence = (uint64_t)json_integer_value(json_object_get(body, "fencing_token"));

	if (fence < minion.fence) {
		send_answer(call, 409, json_pack("{s:s}", "reason", "fence"));
		return;
	}
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

static void delay_order(const char *path, json_t *body)
{
	struct late_order *order = calloc(1, sizeof(*order));

	order->at_ms = util_clock_ms() + (uint64_t)g_random_int_range(LATE_MIN_MS, LATE_MAX_MS);
	g_strlcpy(order->path, path, sizeof(order->path));
	order->body = json_incref(body);
	order->next = minion.late_orders;
	minion.late_orders = order;
}

static void carry_out_late_orders(uint64_t now_ms)
{
	for (struct late_order **at = &minion.late_orders; *at;) {
		struct late_order *order = *at;

		if (now_ms < order->at_ms) {
			at = &order->next;
			continue;
		}
		*at = order->next;
		carry_out(NULL, order->path, order->body);
		json_decref(order->body);
		free(order);
	}
}

static void serve_test_control(struct httpd_call *call, const char *path)
{
	unsigned int value = 0;

	if (sscanf(path, "/test/late/%u", &value) == 1) {
		minion.late_until_ms = util_clock_ms() + value;
	} else if (sscanf(path, "/test/drain/%u", &value) == 1) {
		minion.draining = value != 0;
		minion.drain_told = false;
		minion.next_heartbeat_ms = 0;
	}
	send_answer(call, 200, json_object());
}

static void on_call(struct httpd_call *call, void *ctx)
{
	const char *path = httpd_path(call);
	const char *target = httpd_header(call, "Target-Instance");
	size_t len;
	json_t *body = json_loads(httpd_body(call, &len), 0, NULL);

	if (!strncmp(path, "/test/", 6))
		serve_test_control(call, path);
	else if (target && strcmp(target, minion.id) != 0)
		send_answer(call, 421, json_object());
	else if (util_clock_ms() < minion.late_until_ms && g_random_boolean())
		delay_order(path, body);
	else
		carry_out(call, path, body);
	json_decref(body);
}

static void on_disconnect(struct httpd_call *call, void *ctx)
{
	for (struct waiting **at = &minion.waiting; *at; at = &(*at)->next) {
		struct waiting *waiting = *at;

		if (waiting->call != call)
			continue;
		*at = waiting->next;
		free(waiting);
		return;
	}
}

static void on_heartbeat_answer(int status, int http_status, const char *body, size_t len,
				void *ctx)
{
	bool draining = GPOINTER_TO_INT(ctx);

	if (status || http_status != 200 || draining != minion.draining || minion.drain_told)
		return;
	minion.drain_told = true;
	fprintf(stderr, "drain %d %" PRIu64 "\n", draining, util_clock_ms());
}

static void send_heartbeat(void)
{
	static const char *const headers[] = {"Content-Type: application/json"};
	char *url = g_strdup_printf("http://%s/v1/instances/%s", minion.control, minion.id);
	json_t *json = json_pack(
		"{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, s:i}, s:[s, s], s:I, s:I}",
		"service", minion.service, "address", httpd_address(minion.httpd), "zone", "z",
		"version", "v1", "slots", 8, "state", minion.draining ? "draining" : "ready",
		"cold_remaining_ms", 0, "capacity", "cpu", 128000, "mem_mb", 524288, "gpu",
		ACCELERATORS, "labels", "a", minion.rack, "seq", (json_int_t)++minion.sequence,
		"born", (json_int_t)minion.born_ms);
	char *text = json_dumps(json, JSON_COMPACT);
	struct httpc_request request = {.method = "PUT",
					.url = url,
					.headers = headers,
					.header_count = 1,
					.body = text,
					.body_len = strlen(text),
					.timeout_ms = 1000,
					.done = on_heartbeat_answer,
					.ctx = GINT_TO_POINTER(minion.draining)};

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
		bool lapses = minion.lease_ms && now_ms > minion.lease_ms &&
			      run->end_ms > minion.lease_ms;

		if (lapses)
			end_run(at, "lapsed", minion.lease_ms);
		else if (now_ms >= run->end_ms)
			end_run(at,
				run->stopping ? "stopped"
				: run->fails  ? "failed"
					      : "done",
				run->end_ms);
		else
			at = &run->next;
	}
	if (minion.lease_ms && now_ms > minion.lease_ms && !minion.lapsed) {
		minion.lapsed = true;
		fprintf(stderr, "lapse %" PRIu64 "\n", minion.lease_ms);
	}
	carry_out_late_orders(now_ms);
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
	struct httpd_handlers handlers = {on_call, on_disconnect, NULL};
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
	minion.seen_runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
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
