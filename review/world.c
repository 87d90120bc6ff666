#include "world.h"

#include "httpc.h"
#include "httpd.h"
#include "util.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define ENTRIES_MAX 4
#define WORKERS_MAX 12
#define BODY_MAX (4 * 1024 * 1024)
#define TICK_MS 10
#define HEARTBEAT_MS 1500
#define HEARTBEAT_LATE_MS 1000
#define LEASE_MAX_MS 10000 /* max_hold_ms */
#define STOP_MS 100	   /* stop_timeout_ms is 200 */
#define ENDS_AT_ONCE 500   /* a minion returns its ends 500 at a time */
#define CALLER_WAIT_MS 3000
#define CALL_RETRY_MS 500
#define CALLS_MAX 5 /* a first call and four retries */
#define START_WAIT_MS 15000
#define PORT_MIN 10000
#define PORT_BLOCKS 200
#define PORTS_A_BLOCK 100
#define CPU_MILLI 128000
#define MEMORY_MB 524288
#define ACCELERATORS 8

struct process {
	pid_t pid;
	char label[32];
	const char *role; /* NULL: the store stand-in */
};

struct waiting {
	struct waiting *next;
	struct httpd_call *call;
	uint64_t seen;
	uint64_t until_ms;
};

struct worker {
	int index;
	char id[16];
	char control[32];
	char address[32];
	struct httpd *httpd;
	uint64_t born_ms;
	uint64_t clock_began_ms;
	uint64_t sequence;
	uint64_t next_heartbeat_ms;
	uint64_t lease_ms; /* by world_now_ms() */
	uint64_t fence;
	uint64_t seen; /* ends up to this number are forgotten */
	GPtrArray *ends;
	GPtrArray *running;
	GHashTable *highest; /* of the runs of a task that were started or stopped here */
	struct waiting *waiting;
	uint64_t lapse_ms; /* when the lease last ended; 0: never */
	uint32_t cpu;
	uint32_t gpu;
	bool told; /* the agent has acknowledged a heartbeat */
};

static struct {
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	struct httpc *http;
	FILE *record;
	char folder[64]; /* of settings and logs */
	uint64_t began_ms;
	struct world_plan plan;
	struct process processes[2 * ENTRIES_MAX + WORKERS_MAX];
	int process_count;
	int entries;
	int workers;
	char store[32];
	char callers[ENTRIES_MAX][32];
	char ready[ENTRIES_MAX][32];
	struct worker worker[WORKERS_MAX];
	GHashTable *jobs;
	GPtrArray *runs;
	int next_entry;
} world;

uint64_t world_now_ms(void)
{
	return util_clock_ms() - world.began_ms;
}

bool world_trouble(void)
{
	const char *value = getenv("TROUBLE");

	return !value || strcmp(value, "0") != 0;
}

void world_note(const char *format, ...)
{
	va_list args;

	fprintf(world.record, "%7" PRIu64 " ", world_now_ms());
	va_start(args, format);
	vfprintf(world.record, format, args);
	va_end(args);
	fputc('\n', world.record);
}

/* Takes ports below those that the system gives to outgoing connections. */
static void free_address(char out[32])
{
	static unsigned int port;
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = -1;

	if (!port)
		port = PORT_MIN + (unsigned int)getpid() % PORT_BLOCKS * PORTS_A_BLOCK;
	for (int tries = 0; tries < PORTS_A_BLOCK && fd < 0; tries++) {
		address.sin_port = htons((uint16_t)++port);
		fd = socket(AF_INET, SOCK_STREAM, 0);
		if (bind(fd, (struct sockaddr *)&address, sizeof(address))) {
			close(fd);
			fd = -1;
		}
	}
	if (fd < 0)
		exit(WORLD_UNUSABLE);
	close(fd);
	snprintf(out, 32, "127.0.0.1:%u", port);
}

static void start_process(struct process *process)
{
	char path[128];
	char log[128];

	snprintf(path, sizeof(path), "%s/%s.json", world.folder, process->label);
	snprintf(log, sizeof(log), "%s/%s.log", world.folder, process->label);
	fflush(NULL);
	process->pid = fork();
	if (process->pid)
		return;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (!freopen(log, "a", stdout) || !freopen(log, "a", stderr))
		_exit(WORLD_UNUSABLE);
	if (process->role)
		execl("target/bin/jaycourse-fleet", "jaycourse-fleet", process->role, "--config",
		      path, NULL);
	else
		execl("target/review/fake_platform", "fake_platform", world.store, NULL);
	_exit(WORLD_UNUSABLE);
}

static struct process *add_process(const char *role, const char *label, json_t *settings)
{
	struct process *process = &world.processes[world.process_count++];
	char path[128];

	snprintf(process->label, sizeof(process->label), "%s", label);
	process->role = role;
	snprintf(path, sizeof(path), "%s/%s.json", world.folder, label);
	if (settings && json_dump_file(settings, path, 0))
		exit(WORLD_UNUSABLE);
	json_decref(settings);
	start_process(process);
	return process;
}

static void start_entry(int index)
{
	char label[32];
	char messages[32];

	free_address(messages);
	free_address(world.callers[index]);
	free_address(world.ready[index]);
	snprintf(label, sizeof(label), "edge-%d", index);
	add_process("entry", label,
		    json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:f, s:i, s:s}",
			      "message_address", messages, "store_address", world.store,
			      "callers_address", world.callers[index], "ready_address",
			      world.ready[index], "grace_s", 6, "keep_ended_s", 120, "stop_ms", 200,
			      "processor_share", 0.25, "processors", 1, "node", label));
}

static void start_agent(struct worker *worker)
{
	char label[32];
	char messages[32];

	free_address(messages);
	snprintf(label, sizeof(label), "side-%d", worker->index);
	add_process("agent", label,
		    json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:s}", "message_address", messages,
			      "store_address", world.store, "control_address", worker->control,
			      "worker_address", worker->address, "service", "planner", "grace_s", 6,
			      "node", label));
}

/* Runs of a worker */

static uint64_t worker_clock(const struct worker *worker)
{
	return util_clock_ms() - worker->clock_began_ms;
}

static void answer(const struct worker *worker, struct httpd_call *call, int status, json_t *json)
{
	char *text;

	json_object_set_new(json, "clock_ms", json_integer((json_int_t)worker_clock(worker)));
	json_object_set_new(json, "born", json_integer((json_int_t)worker->born_ms));
	text = json_dumps(json, JSON_COMPACT);
	httpd_answer(call, status, "application/json", text, 0);
	free(text);
	json_decref(json);
}

static void end_run(struct worker *worker, struct world_run *run, const char *how)
{
	g_ptr_array_remove(worker->running, run);
	g_ptr_array_add(worker->ends, run);
	run->how = how;
	run->end_ms = world_now_ms();
	run->number = worker->ends->len;
	worker->cpu -= run->job ? run->job->cpu : 0;
	worker->gpu -= run->job ? run->job->gpu : 0;
	world_note("end %s run %u on %s: %s, number %" PRIu64, run->task, run->run, worker->id, how,
		   run->number);
}

static void end_due_runs(struct worker *worker)
{
	uint64_t now_ms = world_now_ms();

	if (now_ms >= worker->lease_ms && worker->lapse_ms < worker->lease_ms) {
		worker->lapse_ms = worker->lease_ms;
		world_note("the lease of %s has lapsed", worker->id);
	}
	for (guint i = worker->running->len; i > 0; i--) {
		struct world_run *run = worker->running->pdata[i - 1];

		if (now_ms >= worker->lease_ms)
			end_run(worker, run, "lapsed");
		else if (run->due_ms && now_ms >= run->due_ms)
			end_run(worker, run, run->stopping ? "stopped" : run->how);
	}
}

static void extend_lease(struct worker *worker, const json_t *body)
{
	json_int_t deadline = json_integer_value(json_object_get(body, "deadline_ms"));
	json_int_t left = deadline - (json_int_t)worker_clock(worker);
	uint64_t until_ms;

	if (left <= 0)
		return;
	until_ms = world_now_ms() + (uint64_t)MIN(left, LEASE_MAX_MS);
	worker->lease_ms = MAX(worker->lease_ms, until_ms);
}

static struct world_run *find_run(const struct worker *worker, const char *task, uint32_t number)
{
	for (guint i = 0; i < worker->running->len; i++) {
		struct world_run *run = worker->running->pdata[i];

		if (run->run == number && !strcmp(run->task, task))
			return run;
	}
	return NULL;
}

static void note_number(struct worker *worker, const char *task, uint32_t number)
{
	uint32_t highest = GPOINTER_TO_UINT(g_hash_table_lookup(worker->highest, task));

	g_hash_table_insert(worker->highest, g_strdup(task),
			    GUINT_TO_POINTER(MAX(highest, number)));
}

static struct world_job *job_of_task(const char *task)
{
	char id[17] = "";

	strncpy(id, task, 16);
	return g_hash_table_lookup(world.jobs, id);
}

static void begin_run(struct worker *worker, const char *task, uint32_t number,
		      struct world_job *job)
{
	struct world_run *run = g_new0(struct world_run, 1);
	uint64_t after_ms;

	g_strlcpy(run->task, task, sizeof(run->task));
	run->run = number;
	run->worker = worker->index;
	run->start_ms = world_now_ms();
	run->job = job;
	g_ptr_array_add(world.runs, run);
	g_ptr_array_add(worker->running, run);
	worker->cpu += job ? job->cpu : 0;
	worker->gpu += job ? job->gpu : 0;
	note_number(worker, task, number);
	after_ms = world.plan.end(run, &run->how);
	run->due_ms = after_ms ? run->start_ms + after_ms : 0;
	world_note("start %s run %u on %s", task, number, worker->id);
}

static void handle_start(struct worker *worker, struct httpd_call *call, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	uint32_t number = (uint32_t)json_integer_value(json_object_get(body, "run"));
	json_int_t deadline = json_integer_value(json_object_get(body, "deadline_ms"));
	struct world_job *job = job_of_task(task);
	const char *reason = NULL;

	extend_lease(worker, body);
	if (find_run(worker, task, number)) {
		answer(worker, call, 200, json_object());
		return;
	}
	if (deadline <= (json_int_t)worker_clock(worker))
		reason = "late";
	else if (GPOINTER_TO_UINT(g_hash_table_lookup(worker->highest, task)) >= number)
		reason = "old";
	else if (job &&
		 (worker->cpu + job->cpu > CPU_MILLI || worker->gpu + job->gpu > ACCELERATORS))
		reason = "room";
	if (reason) {
		world_note("refuse %s run %u on %s: %s", task, number, worker->id, reason);
		answer(worker, call, 409, json_pack("{s:s}", "reason", reason));
		return;
	}
	begin_run(worker, task, number, job);
	answer(worker, call, 200, json_object());
}

static void handle_stop(struct worker *worker, struct httpd_call *call, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	uint32_t number = (uint32_t)json_integer_value(json_object_get(body, "run"));
	struct world_run *run = find_run(worker, task, number);

	world_note("stop %s run %u on %s", task, number, worker->id);
	note_number(worker, task, number);
	if (run && !run->stopping) {
		run->stopping = true;
		run->due_ms = world_now_ms() + STOP_MS;
	}
	answer(worker, call, 200, json_object());
}

static json_t *lists(const struct worker *worker, uint64_t seen)
{
	json_t *running = json_array();
	json_t *ended = json_array();
	guint last = (guint)MIN(worker->ends->len, seen + ENDS_AT_ONCE);

	for (guint i = 0; i < worker->running->len; i++) {
		const struct world_run *run = worker->running->pdata[i];
		uint64_t at_ms = world_now_ms() - run->start_ms;
		uint64_t whole_ms = run->due_ms > run->start_ms ? run->due_ms - run->start_ms : 1;
		uint64_t percent = run->job && run->job->lasts ? 100 : at_ms * 100 / whole_ms;

		json_array_append_new(running, json_pack("[s, i, s, i, i]", run->task,
							 (int)run->run, "", (int)MIN(percent, 100),
							 run->job ? (int)run->job->cpu : 0));
	}
	for (guint i = (guint)seen; i < last; i++) {
		const struct world_run *run = worker->ends->pdata[i];

		json_array_append_new(ended, json_pack("[I, s, i, s, s]", (json_int_t)run->number,
						       run->task, (int)run->run, run->how, ""));
	}
	return json_pack("{s:o, s:o}", "running", running, "ended", ended);
}

static void handle_hold(struct worker *worker, struct httpd_call *call, const json_t *body)
{
	uint64_t seen = (uint64_t)json_integer_value(json_object_get(body, "last_seen"));
	uint64_t wait_ms = (uint64_t)json_integer_value(json_object_get(body, "wait_ms"));
	struct waiting *waiting = g_new0(struct waiting, 1);

	extend_lease(worker, body);
	seen = MIN(seen, worker->ends->len);
	for (; worker->seen < seen; worker->seen++)
		((struct world_run *)worker->ends->pdata[worker->seen])->noted_ms = world_now_ms();
	*waiting = (struct waiting){worker->waiting, call, worker->seen, world_now_ms() + wait_ms};
	worker->waiting = waiting;
}

static void answer_waiting(struct worker *worker)
{
	for (struct waiting **at = &worker->waiting; *at;) {
		struct waiting *waiting = *at;

		if (world_now_ms() < waiting->until_ms && worker->ends->len <= waiting->seen) {
			at = &waiting->next;
			continue;
		}
		*at = waiting->next;
		answer(worker, waiting->call, 200, lists(worker, MAX(waiting->seen, worker->seen)));
		g_free(waiting);
	}
}

static void on_worker_call(struct httpd_call *call, void *ctx)
{
	struct worker *worker = ctx;
	const char *target = httpd_header(call, "Target-Instance");
	const char *path = httpd_path(call);
	size_t len;
	json_t *body = json_loads(httpd_body(call, &len), 0, NULL);
	uint64_t fence = (uint64_t)json_integer_value(json_object_get(body, "fencing_token"));

	end_due_runs(worker);
	if (target && strcmp(target, worker->id) != 0) {
		answer(worker, call, 421, json_object());
	} else if (fence < worker->fence) {
		answer(worker, call, 409, json_pack("{s:s}", "reason", "fence"));
	} else {
		worker->fence = fence;
		if (!strcmp(path, "/v1/run-start"))
			handle_start(worker, call, body);
		else if (!strcmp(path, "/v1/run-stop"))
			handle_stop(worker, call, body);
		else if (!strcmp(path, "/v1/hold"))
			handle_hold(worker, call, body);
		else
			answer(worker, call, 404, json_object());
	}
	json_decref(body);
}

static void on_worker_gone(struct httpd_call *call, void *ctx)
{
	struct worker *worker = ctx;

	for (struct waiting **at = &worker->waiting; *at; at = &(*at)->next) {
		struct waiting *waiting = *at;

		if (waiting->call != call)
			continue;
		*at = waiting->next;
		g_free(waiting);
		return;
	}
}

static void on_heartbeat(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct worker *worker = ctx;

	if (status || http_status != 200 || worker->told)
		return;
	worker->told = true;
	world_note("heartbeat of %s acknowledged", worker->id);
}

static void request(const char *method, char *url, const char *const *headers, size_t count,
		    const char *body, uint32_t timeout_ms,
		    void (*done)(int, int, const char *, size_t, void *), void *ctx)
{
	struct httpc_request call = {.method = method,
				     .url = url,
				     .headers = headers,
				     .header_count = count,
				     .body = body,
				     .body_len = body ? strlen(body) : 0,
				     .timeout_ms = timeout_ms,
				     .send_once = true,
				     .done = done,
				     .ctx = ctx};

	httpc_start(world.http, &call);
	g_free(url);
}

static void send_heartbeat(struct worker *worker)
{
	static const char *const headers[] = {"Content-Type: application/json"};
	char rack[16];
	json_t *json;
	char *text;

	snprintf(rack, sizeof(rack), "r1-%d", worker->index / 3);
	json = json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, s:i}, s:[s, s], s:I, "
			 "s:I, s:I}",
			 "service", "planner", "address", worker->address, "zone", "z1", "version",
			 "v1", "slots", 8, "state", "ready", "cold_remaining_ms", 0, "capacity",
			 "cpu", CPU_MILLI, "mem_mb", MEMORY_MB, "gpu", ACCELERATORS, "labels", "a",
			 rack, "clock_ms", (json_int_t)worker_clock(worker), "seq",
			 (json_int_t)++worker->sequence, "born", (json_int_t)worker->born_ms);
	text = json_dumps(json, JSON_COMPACT);
	request("PUT", g_strdup_printf("http://%s/v1/instances/%s", worker->control, worker->id),
		headers, 1, text, HEARTBEAT_LATE_MS, on_heartbeat, worker);
	free(text);
	json_decref(json);
}

static void start_worker(struct worker *worker)
{
	struct httpd_handlers handlers = {on_worker_call, on_worker_gone, worker};
	struct err err = {0};

	snprintf(worker->id, sizeof(worker->id), "i-%d", worker->index);
	free_address(worker->control);
	free_address(worker->address);
	worker->httpd =
		httpd_create(world.mem, world.ev, worker->address, BODY_MAX, &handlers, &err);
	if (!worker->httpd)
		exit(WORLD_UNUSABLE);
	worker->born_ms = util_wall_ms();
	worker->clock_began_ms = util_clock_ms() - 1000;
	worker->ends = g_ptr_array_new();
	worker->running = g_ptr_array_new();
	worker->highest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	start_agent(worker);
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		    void *ctx)
{
	for (int i = 0; i < world.workers; i++) {
		struct worker *worker = &world.worker[i];

		end_due_runs(worker);
		answer_waiting(worker);
		if (world_now_ms() < worker->next_heartbeat_ms)
			continue;
		worker->next_heartbeat_ms = world_now_ms() + HEARTBEAT_MS;
		send_heartbeat(worker);
	}
	tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, TICK_MS * 1000), on_tick, NULL);
}

static void on_wait_end(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			void *ctx)
{
	*(bool *)ctx = true;
}

void world_wait(uint64_t ms)
{
	bool done = false;

	tevent_add_timer(
		world.ev, world.ev,
		tevent_timeval_current_ofs((uint32_t)(ms / 1000), (uint32_t)(ms % 1000 * 1000)),
		on_wait_end, &done);
	while (!done)
		tevent_loop_once(world.ev);
}

/* Callers */

static int take_entry(void)
{
	return world.next_entry++ % world.entries;
}

static void send_job(struct world_job *job);

static void on_job_due(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		       void *ctx)
{
	send_job(ctx);
}

static void on_job_answer(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct world_job *job = ctx;

	world_note("answer to job %s: %d", job->id, status ? status : http_status);
	if (status == 0 && http_status / 100 == 2)
		job->accepted_ms = world_now_ms();
	else if (job->calls < CALLS_MAX)
		tevent_add_timer(world.ev, world.ev,
				 tevent_timeval_current_ofs(0, CALL_RETRY_MS * 1000), on_job_due,
				 job);
}

static void call_entry(const char *method, const struct world_job *job, int entry, const char *body,
		       void (*done)(int, int, const char *, size_t, void *))
{
	char key[64];
	const char *const headers[] = {"Content-Type: application/json", "Host: jobs.example", key,
				       "Deadline-Ms: 3000"};

	snprintf(key, sizeof(key), "Authorization: Bearer %s", job->key);

	request(method,
		g_strdup_printf("http://%s/%s/%s", world.callers[entry], job->queue, job->id),
		headers, 4, body, CALLER_WAIT_MS, done, (void *)job);
}

static void send_job(struct world_job *job)
{
	int entry = take_entry();

	job->calls++;
	world_note("job %s to edge-%d: POST /%s/", job->id, entry, job->queue);
	call_entry("POST", job, entry, job->body, on_job_answer);
}

struct world_job *world_submit(const char *key, const char *queue, const char *id, char *body)
{
	struct world_job *job = g_new0(struct world_job, 1);
	json_t *json = json_loads(body, 0, NULL);
	const json_t *step = json_array_get(json_object_get(json, "steps"), 0);

	g_strlcpy(job->id, id, sizeof(job->id));
	job->key = key;
	job->queue = queue;
	job->body = body;
	job->cpu = (uint32_t)json_integer_value(json_object_get(step, "cpu"));
	job->gpu = (uint32_t)json_integer_value(json_object_get(step, "gpu"));
	job->lasts = json_is_true(json_object_get(step, "long_running"));
	g_hash_table_insert(world.jobs, job->id, job);
	json_decref(json);
	send_job(job);
	return job;
}

static void on_state(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct world_job *job = ctx;
	json_t *json = json_loadb(body, len, 0, NULL);
	const char *state = json_string_value(json_object_get(json, "state"));

	job->status = status ? status : http_status;
	g_strlcpy(job->state, state ? state : "", sizeof(job->state));
	world_note("state of job %s: %d %s", job->id, job->status, job->state);
	json_decref(json);
}

void world_ask(struct world_job *job)
{
	call_entry("GET", job, take_entry(), NULL, on_state);
}

/* Operator and disruptions */

static void on_operator_answer(int status, int http_status, const char *body, size_t len, void *ctx)
{
	if (status || http_status != 200)
		world_note("the store stand-in answered %d", status ? status : http_status);
}

void world_store(int fault)
{
	world_note("store: fault %d", fault);
	request("PUT", g_strdup_printf("http://%s/trouble/%d", world.store, fault), NULL, 0, "",
		1000, on_operator_answer, NULL);
}

void world_config(const char *config)
{
	request("PUT", g_strdup_printf("http://%s/operator/op/config", world.store), NULL, 0,
		config, 1000, on_operator_answer, NULL);
}

static struct process *find_entry_process(int entry)
{
	char label[32];

	snprintf(label, sizeof(label), "edge-%d", entry);
	for (int i = 0; i < world.process_count; i++) {
		if (!strcmp(world.processes[i].label, label))
			return &world.processes[i];
	}
	return NULL;
}

void world_signal(int entry, int signal)
{
	for (int i = 0; i < world.entries; i++) {
		struct process *process = find_entry_process(i);

		if (entry >= 0 && entry != i)
			continue;
		world_note("signal %d to %s", signal, process->label);
		kill(process->pid, signal);
	}
}

void world_restart(int entry)
{
	struct process *process = find_entry_process(entry);

	kill(process->pid, SIGKILL);
	waitpid(process->pid, NULL, 0);
	start_process(process);
}

static void on_leader(int status, int http_status, const char *body, size_t len, void *ctx)
{
	json_t *json = json_loadb(body, len, 0, NULL);
	const char *value = json_string_value(json_object_get(json, "value"));
	gsize decoded_len = 0;
	guchar *decoded = g_base64_decode(value ? value : "", &decoded_len);
	json_t *record = json_loadb((char *)decoded, decoded_len, 0, NULL);
	const char *node = json_string_value(json_object_get(record, "node"));

	if (node)
		sscanf(node, "edge-%d", (int *)ctx);
	json_decref(record);
	json_decref(json);
	g_free(decoded);
}

int world_leader(void)
{
	int leader = -1;

	request("GET", g_strdup_printf("http://%s/v1/kv-key?key=leader", world.store), NULL, 0,
		NULL, 500, on_leader, &leader);
	world_wait(100);
	if (leader < 0)
		exit(world_finish(WORLD_UNUSABLE));
	return leader;
}

GPtrArray *world_runs(void)
{
	return world.runs;
}

uint64_t world_longest_gap(const struct world_job *job)
{
	GPtrArray *runs = world.runs;
	uint64_t idle_since_ms = job->accepted_ms;
	uint64_t longest = 0;

	for (guint i = 0; i < runs->len; i++) {
		const struct world_run *run = runs->pdata[i];

		if (run->job != job)
			continue;
		longest = MAX(longest, run->start_ms - idle_since_ms);
		idle_since_ms = run->end_ms ? run->end_ms : world_now_ms();
	}
	return MAX(longest, world_now_ms() - idle_since_ms);
}

uint64_t world_lapse_ms(int worker)
{
	return world.worker[worker].lapse_ms;
}

uint32_t world_used(int worker)
{
	return world.worker[worker].cpu;
}

static void on_ready(int status, int http_status, const char *body, size_t len, void *ctx)
{
	*(int *)ctx = status ? 0 : http_status;
}

static void wait_until_up(void)
{
	int status[ENTRIES_MAX] = {0};
	uint64_t end_ms = world_now_ms() + START_WAIT_MS;
	bool up = false;

	while (!up && world_now_ms() < end_ms) {
		for (int i = 0; i < world.entries; i++)
			request("GET", g_strdup_printf("http://%s/v1/ready", world.ready[i]), NULL,
				0, NULL, 400, on_ready, &status[i]);
		world_wait(500);
		up = true;
		for (int i = 0; i < world.entries; i++)
			up = up && status[i] == 200;
		for (int i = 0; i < world.workers; i++)
			up = up && world.worker[i].told;
	}
	if (!up) {
		fprintf(stderr, "the deployment did not come up; its logs are in %s\n",
			world.folder);
		exit(world_finish(WORLD_UNUSABLE));
	}
	world_wait(2000);
	world_note("the deployment is up");
}

void world_begin(const char *folder, int entries, int workers, const char *config,
		 const struct world_plan *plan)
{
	char path[256];

	signal(SIGPIPE, SIG_IGN);
	world.began_ms = util_clock_ms();
	world.plan = *plan;
	world.entries = entries;
	world.workers = workers;
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	world.record = fopen(path, "w");
	snprintf(world.folder, sizeof(world.folder), "/tmp/review.XXXXXX");
	if (!world.record || !mkdtemp(world.folder) || access("target/bin/jaycourse-fleet", X_OK))
		exit(WORLD_UNUSABLE);
	world.mem = talloc_new(NULL);
	world.ev = tevent_context_init(world.mem);
	world.http = httpc_create(world.mem, world.ev);
	world.jobs = g_hash_table_new(g_str_hash, g_str_equal);
	world.runs = g_ptr_array_new();
	free_address(world.store);
	add_process(NULL, "store", NULL);
	world_wait(500);
	world_config(config);
	world_wait(200);
	for (int i = 0; i < entries; i++)
		start_entry(i);
	for (int i = 0; i < workers; i++) {
		world.worker[i].index = i;
		start_worker(&world.worker[i]);
	}
	on_tick(world.ev, NULL, tevent_timeval_zero(), NULL);
	wait_until_up();
}

int world_finish(int status)
{
	char command[128];

	for (int i = 0; i < world.process_count; i++)
		kill(world.processes[i].pid, SIGCONT);
	for (int i = 0; i < world.process_count; i++)
		kill(world.processes[i].pid, SIGKILL);
	for (int i = 0; i < world.process_count; i++)
		waitpid(world.processes[i].pid, NULL, 0);
	fclose(world.record);
	snprintf(command, sizeof(command), "rm -r %s", world.folder);
	if (!getenv("KEEP") && system(command))
		fprintf(stderr, "%s was not removed\n", world.folder);
	return status;
}
