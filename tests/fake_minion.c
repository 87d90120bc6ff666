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
 * Usage: fake_minion ID SERVICE RACK CONTROL_ADDRESS ADDRESS [LATE_CALLS SEED [CLOCK_BACK_MS
 * [ZONE]]]. Prints "listening ip:port". The task_spec of a task is its run time in milliseconds, or
 * "fail". The file LATE_CALLS holds calls that will be carried out late, also by the next process
 * of the same ID. The clock of a process starts at about 0. What happens is written to standard
 * error, where tests read it, with times by util_clock_ms():
 *
 *   born MS                       the start time that it announces
 *   start TASK RUN MS DEADLINE_MS   a run begins; DEADLINE_MS is the end of the lease in the order
 *   end TASK RUN HOW MS NUMBER
 *   seen NUMBER MS                  the agent has confirmed the ends up to NUMBER
 *   lapse MS                        the lease has ended
 *   drain ON MS                     the agent has answered the first heartbeat of this state
 *   delay PATH                      a call is left unanswered, to be carried out late
 *   late MS ...                     a call is carried out late
 *
 * PUT /test/late/MS leaves half of the calls of the next MS milliseconds unanswered and carries
 * them out 2 to 12 s later; PUT /test/drain/ON sets whether the worker drains; PUT /test/notice/MS
 * lets it drain and announce that it leaves after MS milliseconds, which is left to the caller.
 */

#define BODY_BYTES_MAX (1024 * 1024)
#define TICK_PERIOD_MS 10
#define HEARTBEAT_PERIOD_MS 300
#define STOP_DELAY_MS 50
#define ACCELERATORS 8
#define ENDS_MAX 4096
#define LATE_MIN_MS 2000
#define LATE_MAX_MS 12000
#define LEASE_MAX_MS 10000
#define CLOCK_START_MAX_MS 500
#define SLOW_CLOCK_RATE 0.98 /* the slowest that the platform allows */

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

/* A call that is carried out late and never answered. */
struct late_call {
	struct late_call *next;
	uint64_t at_ms;
	json_t *record; /* as in the file of late calls */
};

static struct {
	struct tevent_context *ev;
	struct httpd *httpd;
	struct httpc *httpc;
	const char *id;
	const char *service;
	const char *rack;
	const char *zone;
	const char *control;
	uint64_t born_ms;
	uint64_t began_ms; /* by util_clock_ms() */
	uint64_t clock_start_ms;
	double clock_rate;
	bool late_by_order; /* a start is late by its own deadline, not by the lease */
	bool served;	    /* a call of an agent has extended the lease of this process */
	FILE *late_file;
	GRand *rand;
	uint64_t fence;
	uint64_t lease_ms; /* by util_clock_ms() */
	uint64_t sequence;
	uint64_t next_heartbeat_ms;
	struct run *runs;
	struct end ends[ENDS_MAX];
	size_t end_count;
	uint64_t ends_known;
	struct waiting *waiting;
	GHashTable *seen_runs; /* task to the highest run number started or stopped */
	struct late_call *late_calls;
	uint64_t late_until_ms;
	bool lapsed;
	bool draining;
	bool drain_told;
	uint64_t leaves_ms; /* by util_clock_ms(); 0: it has given no notice */
} minion;

/* The worker's clock, which starts anew with each process. */
static uint64_t worker_clock_ms(void)
{
	return minion.clock_start_ms +
	       (uint64_t)((double)(util_clock_ms() - minion.began_ms) * minion.clock_rate);
}

static void send_answer(struct httpd_call *call, int status, json_t *json)
{
	char *text;

	if (!call) {
		json_decref(json);
		return;
	}
	json_object_set_new(json, "clock_ms", json_integer((json_int_t)worker_clock_ms()));
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

static json_t *runs_json(void)
{
	json_t *running = json_array();
	json_t *ended = json_array();

	for (struct run *run = minion.runs; run; run = run->next)
		json_array_append_new(running,
				      json_pack("[s, i, s, i]", run->task, (int)run->number, "",
						(int)(util_clock_ms() / 50 % 100)));
	for (size_t i = first_end(); i < minion.end_count; i++) {
		const struct end *end = &minion.ends[i % ENDS_MAX];

		if (end->number > minion.ends_known)
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

/* Ends the runs that are over, and all of them when the lease is over. */
static void end_due_runs(uint64_t now_ms)
{
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
}

static bool has_lease(void)
{
	return minion.lease_ms > util_clock_ms();
}

/* @deadline_ms: by the worker's clock; a lease never gets shorter */
static void extend_lease(uint64_t deadline_ms)
{
	uint64_t now_ms = util_clock_ms();
	uint64_t clock_ms = worker_clock_ms();
	uint64_t lasts_ms;

	if (deadline_ms <= clock_ms)
		return;
	lasts_ms = MIN(deadline_ms - clock_ms, LEASE_MAX_MS);
	lasts_ms = (uint64_t)((double)lasts_ms / minion.clock_rate);
	if (now_ms + lasts_ms <= minion.lease_ms)
		return;
	minion.lease_ms = now_ms + lasts_ms;
	minion.lapsed = false;
}

/* @offset_ms: from the clock by which the order was computed to util_clock_ms() */
static void start_run(struct httpd_call *call, const json_t *body, int64_t offset_ms)
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
	extend_lease(deadline_ms);
	if (minion.late_by_order ? deadline_ms <= worker_clock_ms() : !has_lease())
		refusal = "late";
	else if (count >= ACCELERATORS)
		refusal = "room";
	else if (!note_run(task, number))
		refusal = "old";
	if (refusal) {
		send_answer(call, 409, json_pack("{s:s}", "reason", refusal));
		return;
	}
	run = calloc(1, sizeof(*run));
	g_strlcpy(run->task, task, sizeof(run->task));
	run->number = number;
	run->fails = !strcmp(spec, "fail");
	run->end_ms = util_clock_ms() + (uint64_t)(run->fails ? 20 : atoi(spec));
	run->next = minion.runs;
	minion.runs = run;
	fprintf(stderr, "start %s %u %" PRIu64 " %" PRIu64 "\n", task, number, util_clock_ms(),
		(uint64_t)((int64_t)deadline_ms + offset_ms));
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
	seen = MIN(seen, minion.end_count);
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

/* @call: NULL for a call that is carried out late */
static void carry_out(struct httpd_call *call, const char *path, const json_t *body,
		      int64_t offset_ms)
{
	uint64_t fence = (uint64_t)json_integer_value(json_object_get(body, "fencing_token"));

	end_due_runs(util_clock_ms());
	if (fence < minion.fence) {
		send_answer(call, 409, json_pack("{s:s}", "reason", "fence"));
		return;
	}
	minion.fence = fence;
	if (!strcmp(path, "/v1/run-start"))
		start_run(call, body, offset_ms);
	else if (!strcmp(path, "/v1/run-stop"))
		stop_run(call, body);
	else if (!strcmp(path, "/v1/hold"))
		handle_hold(call, body);
	else
		send_answer(call, 404, json_object());
}

static int64_t clock_offset_ms(void)
{
	return (int64_t)util_clock_ms() - (int64_t)worker_clock_ms();
}

static void add_late_call(json_t *record)
{
	struct late_call *late = calloc(1, sizeof(*late));

	late->at_ms = (uint64_t)json_integer_value(json_object_get(record, "at_ms"));
	late->record = record;
	late->next = minion.late_calls;
	minion.late_calls = late;
}

static void delay_call(const char *path, const char *target, json_t *body)
{
	uint64_t at_ms =
		util_clock_ms() + (uint64_t)g_rand_int_range(minion.rand, LATE_MIN_MS, LATE_MAX_MS);
	json_t *record =
		json_pack("{s:I, s:I, s:I, s:s, s:s, s:O}", "at_ms", (json_int_t)at_ms, "born",
			  (json_int_t)minion.born_ms, "offset_ms", (json_int_t)clock_offset_ms(),
			  "path", path, "target", target ? target : "", "body", body);

	add_late_call(record);
	fprintf(stderr, "delay %s\n", path);
	if (!minion.late_file)
		return;
	json_dumpf(record, minion.late_file, JSON_COMPACT);
	fputc('\n', minion.late_file);
	fflush(minion.late_file);
}

/* Takes over the calls that a former process left; those due before now found no process. */
static void read_late_calls(const char *path)
{
	json_t *record;

	minion.late_file = fopen(path, "a+");
	if (!minion.late_file) {
		perror(path);
		exit(1);
	}
	while ((record = json_loadf(minion.late_file, JSON_DISABLE_EOF_CHECK, NULL))) {
		if ((uint64_t)json_integer_value(json_object_get(record, "at_ms")) >
		    util_clock_ms())
			add_late_call(record);
		else
			json_decref(record);
	}
}

/*
 * A late call to a former process reaches this one only when an agent works with it: nothing that
 * an agent could do keeps it from a process that no agent has reached yet.
 */
static bool takes_late_call(const json_t *record)
{
	const char *target = json_string_value(json_object_get(record, "target"));
	json_int_t born = json_integer_value(json_object_get(record, "born"));

	return (!*target || !strcmp(target, minion.id)) &&
	       (born == (json_int_t)minion.born_ms || minion.served);
}

static void log_late_call(const json_t *record, uint64_t now_ms)
{
	const json_t *body = json_object_get(record, "body");
	const char *task = json_string_value(json_object_get(body, "task"));

	fprintf(stderr,
		"late %" PRIu64 " %s of process %" JSON_INTEGER_FORMAT
		", task %s %d, fence %" JSON_INTEGER_FORMAT " here %" PRIu64
		", deadline %" JSON_INTEGER_FORMAT " here %" PRIu64 "\n",
		now_ms, json_string_value(json_object_get(record, "path")),
		json_integer_value(json_object_get(record, "born")), task ? task : "-",
		(int)json_integer_value(json_object_get(body, "run")),
		json_integer_value(json_object_get(body, "fencing_token")), minion.fence,
		json_integer_value(json_object_get(body, "deadline_ms")), worker_clock_ms());
}

static void carry_out_late_calls(uint64_t now_ms)
{
	for (struct late_call **at = &minion.late_calls; *at;) {
		struct late_call *late = *at;
		const char *path = json_string_value(json_object_get(late->record, "path"));
		const json_t *body = json_object_get(late->record, "body");

		if (now_ms < late->at_ms) {
			at = &late->next;
			continue;
		}
		*at = late->next;
		if (takes_late_call(late->record)) {
			log_late_call(late->record, now_ms);
			carry_out(NULL, path, body,
				  json_integer_value(json_object_get(late->record, "offset_ms")));
		}
		json_decref(late->record);
		free(late);
	}
}

static void serve_test_control(struct httpd_call *call, const char *path)
{
	unsigned int value = 0;

	if (sscanf(path, "/test/late/%u", &value) == 1) {
		minion.late_until_ms = util_clock_ms() + value;
	} else if (sscanf(path, "/test/drain/%u", &value) == 1) {
		minion.draining = value != 0;
		minion.leaves_ms = 0;
		minion.drain_told = false;
		minion.next_heartbeat_ms = 0;
	} else if (sscanf(path, "/test/notice/%u", &value) == 1) {
		minion.draining = true;
		minion.leaves_ms = util_clock_ms() + value;
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
	else if (util_clock_ms() < minion.late_until_ms && g_rand_boolean(minion.rand))
		delay_call(path, target, body);
	else
		carry_out(call, path, body, clock_offset_ms());
	minion.served |= has_lease();
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
		"{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, s:i}, s:[s, s], s:I, s:I, s:I}",
		"service", minion.service, "address", httpd_address(minion.httpd), "zone",
		minion.zone, "version", "v1", "slots", 8, "state",
		minion.draining ? "draining" : "ready", "cold_remaining_ms", 0, "capacity", "cpu",
		128000, "mem_mb", 524288, "gpu", ACCELERATORS, "labels", "a", minion.rack,
		"clock_ms", (json_int_t)worker_clock_ms(), "seq", (json_int_t)++minion.sequence,
		"born", (json_int_t)minion.born_ms);
	struct httpc_request request = {.method = "PUT",
					.url = url,
					.headers = headers,
					.header_count = 1,
					.timeout_ms = 1000,
					.done = on_heartbeat_answer,
					.ctx = GINT_TO_POINTER(minion.draining)};
	uint64_t now_ms = util_clock_ms();
	char *text;

	if (minion.leaves_ms)
		json_object_set_new(
			json, "remaining_ms",
			json_integer((json_int_t)(MAX(minion.leaves_ms, now_ms) - now_ms)));
	text = json_dumps(json, JSON_COMPACT);
	request.body = text;
	request.body_len = strlen(text);
	httpc_start(minion.httpc, &request);
	free(text);
	json_decref(json);
	g_free(url);
}

static void answer_waiting_calls(uint64_t now_ms)
{
	for (struct waiting **at = &minion.waiting; *at;) {
		struct waiting *waiting = *at;

		if (now_ms < waiting->until_ms &&
		    minion.end_count <= MAX(waiting->seen, minion.ends_known)) {
			at = &waiting->next;
			continue;
		}
		send_answer(waiting->call, 200, runs_json());
		*at = waiting->next;
		free(waiting);
	}
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		    void *ctx)
{
	uint64_t now_ms = util_clock_ms();

	end_due_runs(now_ms);
	carry_out_late_calls(now_ms);
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

	if (argc != 6 && (argc < 8 || argc > 10)) {
		fprintf(stderr, "usage: fake_minion ID SERVICE RACK CONTROL_ADDRESS ADDRESS "
				"[LATE_CALLS SEED [CLOCK_BACK_MS [ZONE]]]\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	minion.id = argv[1];
	minion.service = argv[2];
	minion.rack = argv[3];
	minion.zone = argc > 9 ? argv[9] : "z";
	minion.control = argv[4];
	minion.born_ms = util_wall_ms();
	if (argc > 8)
		minion.born_ms -= strtoull(argv[8], NULL, 10);
	fprintf(stderr, "born %" PRIu64 "\n", minion.born_ms);
	minion.began_ms = util_clock_ms();
	minion.rand = g_rand_new_with_seed(argc > 7 ? (guint32)atoi(argv[7]) : 0);
	minion.clock_start_ms = (uint64_t)g_rand_int_range(minion.rand, 1, CLOCK_START_MAX_MS);
	minion.clock_rate = argc > 7 && g_rand_boolean(minion.rand) ? SLOW_CLOCK_RATE : 1;
	minion.late_by_order = argc < 8 || g_rand_boolean(minion.rand);
	if (argc > 7)
		read_late_calls(argv[6]);
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
