/* Stand-in for a worker: runs tasks under leases and checks their admission. */
#include "lib_fake.h"
#include "util.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ANNOUNCE_PERIOD_MS 1000
#define TICK_PERIOD_MS 20
#define CONNECTIONS_MAX 128U
#define LEAVE_ANNOUNCE_MS 100 /* time for the announcement of the leave to arrive */
#define LEAVE_GRACE_MS 2000   /* time for running tasks to end when the worker leaves */
#define NEVER_RUNS_FAIL_MS 20 /* a task with never_runs fails after this time */
#define LATE_ANSWER_MS 1500   /* delay of answers with late_renewals; the agent waits 900 ms */
#define LATE_START_MS 2500    /* delay of answers with late_starts; the agent waits 2000 ms */

enum task_state {
	TASK_RUNNING,
	TASK_DONE,
	TASK_FAILED,
	TASK_STOPPED,
	TASK_REFUSED, /* stopped before its start arrived: the late start is refused */
};

static const char *const state_names[] = {"running", "done", "failed", "stopped", "refused"};

struct task {
	struct task *next;
	char id[128];
	enum task_state state;
	const char *reason;
	uint64_t mask;
	long cores;
	long memory_mb;
	long run_ms; /* 0: until stopped */
	bool never_runs;
	uint64_t started_ms;
	uint64_t ended_ms;
	uint64_t lease_until_ms;
	double progress_ms;
	uint64_t checkpoint_ms;
	unsigned int percent; /* throttle: speed in percent */
};

struct faults {
	bool fail_starts;
	bool silent;
	bool freeze_tasks;
	bool late_renewals; /* renewals take effect, but their answers come too late */
	bool fail_checkpoints;
	bool late_starts; /* likewise starts */
	bool empty_lists;
	bool deny_stop;	 /* the next stop is answered as if the task were unknown, without effect */
	bool bare_lists; /* items have no ids and no states that are in use */
};

struct worker {
	pthread_mutex_t lock; /* guards all fields below */
	struct faults faults;
	struct task *tasks;
	uint64_t tick_ms;
	const char *target;
	unsigned int accelerators;
	long cores;
	long memory_mb;
	uint64_t usage_lag_ms;
	uint64_t incarnation;
	bool leaving;
};

struct announcer {
	struct worker *worker;
	const char *agent;
	const char *url;
	atomic_bool now; /* announce without waiting for the end of the period */
	atomic_bool ended;
};

static struct task *find_task(const struct worker *worker, const char *id)
{
	for (struct task *task = worker->tasks; task; task = task->next) {
		if (!strcmp(task->id, id))
			return task;
	}
	return NULL;
}

static struct task *add_task(struct worker *worker, const char *id)
{
	struct task *task = calloc(1, sizeof(*task));

	snprintf(task->id, sizeof(task->id), "%s", id);
	task->reason = "";
	task->percent = 100;
	task->started_ms = util_clock_ms();
	task->next = worker->tasks;
	worker->tasks = task;
	return task;
}

static void end_task(struct task *task, enum task_state state, const char *reason)
{
	task->state = state;
	task->reason = reason;
	task->ended_ms = util_clock_ms();
}

static long read_long(json_t *root, const char *field, long fallback)
{
	json_t *value = json_object_get(root, field);

	return json_is_integer(value) ? (long)json_integer_value(value) : fallback;
}

static bool read_bool(json_t *root, const char *field, bool fallback)
{
	json_t *value = json_object_get(root, field);

	return json_is_boolean(value) ? json_boolean_value(value) : fallback;
}

/* Returns the reason why a task cannot be admitted, NULL if it can. */
static const char *check_admission(const struct worker *worker, const struct task *candidate)
{
	uint64_t used_mask = 0;
	long cores = candidate->cores;
	long memory = candidate->memory_mb;

	for (const struct task *task = worker->tasks; task; task = task->next) {
		if (task == candidate || task->state != TASK_RUNNING)
			continue;
		used_mask |= task->mask;
		cores += task->cores;
		memory += task->memory_mb;
	}
	if (worker->accelerators < 64 && candidate->mask >> worker->accelerators)
		return "no such accelerator";
	if (candidate->mask & used_mask)
		return "accelerator taken";
	if (cores > worker->cores)
		return "not enough cores";
	return memory > worker->memory_mb ? "not enough memory" : NULL;
}

/*
 * The agent may give the end of the lease as an absolute time. It then counts, so that a start or
 * renewal that is read late brings a lease that is already over.
 */
static uint64_t lease_end(json_t *root)
{
	long until = read_long(root, "lease_until_ms", 0);

	if (until > 0)
		return (uint64_t)until;
	return util_clock_ms() + (uint64_t)read_long(root, "lease_ms", 3000);
}

static void read_task(struct task *task, json_t *root)
{
	const char *mask = json_string_value(json_object_get(root, "accelerator_mask"));
	json_t *payload = json_object_get(root, "payload");

	task->mask = mask ? strtoull(mask, NULL, 16) : 0;
	task->cores = read_long(root, "cores", 0);
	task->memory_mb = read_long(root, "memory_mb", 0);
	task->run_ms = read_long(payload, "run_ms", 0);
	task->never_runs = read_bool(payload, "never_runs", false);
	task->checkpoint_ms = (uint64_t)read_long(payload, "resume_ms", 0);
	task->progress_ms = (double)task->checkpoint_ms;
	task->lease_until_ms = lease_end(root);
}

/* Calls that name no incarnation are accepted by each. */
static bool is_own_incarnation(const struct worker *worker, json_t *body)
{
	json_t *value = json_object_get(body, "incarnation");

	return !value || (uint64_t)json_integer_value(value) == worker->incarnation;
}

static void start_task(struct worker *worker, const char *id, json_t *body,
		       struct fake_reply *reply)
{
	struct task *task = find_task(worker, id);
	const char *refusal;

	if (task && task->state == TASK_RUNNING) {
		fake_reply_json(reply, 200, json_object());
		return;
	}
	if (task) {
		fake_reply_error(reply, 410, "the task has ended or was stopped");
		return;
	}
	if (!is_own_incarnation(worker, body)) {
		fake_reply_error(reply, 409, "meant for another incarnation");
		return;
	}
	if (worker->faults.fail_starts) {
		fake_reply_error(reply, 500, "fault fail_starts");
		return;
	}
	task = add_task(worker, id);
	read_task(task, body);
	refusal = worker->leaving ? "the worker is leaving" : check_admission(worker, task);
	if (task->lease_until_ms <= task->started_ms)
		refusal = "the lease is over";
	if (refusal) {
		worker->tasks = task->next;
		free(task);
		fake_reply_error(reply, 409, refusal);
		return;
	}
	fake_reply_json(reply, 201, json_object());
}

static void stop_task(struct worker *worker, const char *id, struct fake_reply *reply)
{
	struct task *task = find_task(worker, id);

	if (worker->faults.deny_stop) {
		worker->faults.deny_stop = false;
		fake_reply_error(reply, 404, "unknown task");
		return;
	}
	if (!task) {
		task = add_task(worker, id);
		end_task(task, TASK_REFUSED, "stopped before it started");
		fake_reply_error(reply, 404, "unknown task");
		return;
	}
	if (task->state == TASK_RUNNING)
		end_task(task, TASK_STOPPED, "asked");
	fake_reply_json(reply, 200,
			json_pack("{s:s, s:I}", "state", state_names[task->state], "checkpoint_ms",
				  (json_int_t)task->checkpoint_ms));
}

static void act_on_task(const struct worker *worker, struct task *task, const char *verb,
			json_t *body, struct fake_reply *reply)
{
	if (worker->faults.fail_checkpoints && !strcmp(verb, "checkpoint")) {
		fake_reply_error(reply, 500, "fault fail_checkpoints");
		return;
	}
	if (!strcmp(verb, "renew"))
		task->lease_until_ms = lease_end(body);
	else if (!strcmp(verb, "checkpoint"))
		task->checkpoint_ms = (uint64_t)task->progress_ms;
	else if (!strcmp(verb, "throttle"))
		task->percent = (unsigned int)read_long(body, "percent", 100);
	else
		return;
	fake_reply_json(reply, 200,
			json_pack("{s:I}", "checkpoint_ms", (json_int_t)task->checkpoint_ms));
}

static json_t *task_json(const struct worker *worker, const struct task *task)
{
	json_t *root =
		json_pack("{s:s, s:s, s:s, s:I}", "id", task->id, "state", state_names[task->state],
			  "reason", task->reason, "checkpoint_ms", (json_int_t)task->checkpoint_ms);

	if (task->state == TASK_RUNNING &&
	    util_clock_ms() - task->started_ms >= worker->usage_lag_ms)
		json_object_set_new(root, "usage_percent", json_integer((json_int_t)task->percent));
	return root;
}

static json_t *history_json(const struct task *task)
{
	char mask[24];

	snprintf(mask, sizeof(mask), "%" PRIx64, task->mask);
	return json_pack("{s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:i}", "id", task->id, "state",
			 state_names[task->state], "reason", task->reason, "accelerator_mask", mask,
			 "started_ms", (json_int_t)task->started_ms, "ended_ms",
			 (json_int_t)task->ended_ms, "checkpoint_ms",
			 (json_int_t)task->checkpoint_ms, "throttle_percent", (int)task->percent);
}

static void make_items_bare(json_t *items)
{
	json_t *item;
	size_t i;

	json_array_foreach(items, i, item)
	{
		if (i % 2)
			json_object_del(item, "id");
		else
			json_object_set_new(item, "state", json_string("unheard-of"));
	}
}

static void list_tasks(struct worker *worker, bool history, struct fake_reply *reply)
{
	json_t *items = json_array();

	for (const struct task *task = worker->tasks; task; task = task->next) {
		if (task->state != TASK_REFUSED)
			json_array_append_new(items, history ? history_json(task)
							     : task_json(worker, task));
	}
	if (!history && worker->faults.empty_lists)
		json_array_clear(items);
	if (!history && worker->faults.bare_lists)
		make_items_bare(items);
	fake_reply_json(reply, 200, json_pack("{s:o}", "tasks", items));
}

static void set_faults(struct worker *worker, json_t *root, struct fake_reply *reply)
{
	struct faults *faults = &worker->faults;

	faults->fail_starts = read_bool(root, "fail_starts", faults->fail_starts);
	faults->silent = read_bool(root, "silent", faults->silent);
	faults->freeze_tasks = read_bool(root, "freeze_tasks", faults->freeze_tasks);
	faults->late_renewals = read_bool(root, "late_renewals", faults->late_renewals);
	faults->fail_checkpoints = read_bool(root, "fail_checkpoints", faults->fail_checkpoints);
	faults->late_starts = read_bool(root, "late_starts", faults->late_starts);
	faults->empty_lists = read_bool(root, "empty_lists", faults->empty_lists);
	faults->deny_stop = read_bool(root, "deny_stop", faults->deny_stop);
	faults->bare_lists = read_bool(root, "bare_lists", faults->bare_lists);
	fake_reply_json(reply, 200, json_object());
}

static void handle_task(struct worker *worker, const struct fake_request *request, json_t *body,
			struct fake_reply *reply)
{
	char id[128];
	const char *slash;
	struct task *task;

	snprintf(id, sizeof(id), "%s", request->path + strlen("/tasks/"));
	slash = strchr(id, '/');
	id[slash ? slash - id : (long)strlen(id)] = '\0';
	task = find_task(worker, id);
	if (!slash && !strcmp(request->method, "PUT"))
		start_task(worker, id, body, reply);
	else if (!slash && !strcmp(request->method, "DELETE"))
		stop_task(worker, id, reply);
	else if (slash && task && task->state == TASK_RUNNING && is_own_incarnation(worker, body))
		act_on_task(worker, task, request->path + strlen("/tasks/") + strlen(id) + 1, body,
			    reply);
}

static void handle_request(const struct fake_request *request, struct fake_reply *reply, void *ctx)
{
	struct worker *worker = ctx;
	json_t *body = json_loadb(request->body, request->body_len, 0, NULL);
	uint32_t delay_ms = 0;

	pthread_mutex_lock(&worker->lock);
	if (!strcmp(request->path, "/history"))
		list_tasks(worker, true, reply);
	else if (!strcmp(request->path, "/fault"))
		set_faults(worker, body, reply);
	else if (!strcmp(request->path, "/tasks"))
		list_tasks(worker, false, reply);
	else if (!strncmp(request->path, "/tasks/", strlen("/tasks/")))
		handle_task(worker, request, body, reply);
	if (worker->faults.late_renewals && strstr(request->path, "/renew"))
		delay_ms = LATE_ANSWER_MS;
	else if (worker->faults.late_starts && !strcmp(request->method, "PUT"))
		delay_ms = LATE_START_MS;
	pthread_mutex_unlock(&worker->lock);
	json_decref(body);
	if (delay_ms)
		usleep(delay_ms * 1000);
}

static void advance_task(struct worker *worker, struct task *task, uint64_t now, uint64_t passed)
{
	if (now >= task->lease_until_ms) {
		end_task(task, TASK_STOPPED, "lease lapsed");
		return;
	}
	if (worker->faults.freeze_tasks)
		return;
	/* After a freeze of this process a new task has run for only part of the time passed. */
	if (passed > now - task->started_ms)
		passed = now - task->started_ms;
	task->progress_ms += (double)passed * task->percent / 100.0;
	if (task->never_runs && now - task->started_ms >= NEVER_RUNS_FAIL_MS)
		end_task(task, TASK_FAILED, "the program cannot run");
	else if (task->run_ms > 0 && task->progress_ms >= (double)task->run_ms)
		end_task(task, TASK_DONE, "");
}

static bool advance_tasks(struct worker *worker)
{
	uint64_t now = util_clock_ms();
	bool running = false;

	pthread_mutex_lock(&worker->lock);
	for (struct task *task = worker->tasks; task; task = task->next) {
		if (task->state == TASK_RUNNING)
			advance_task(worker, task, now, now - worker->tick_ms);
		running = running || task->state == TASK_RUNNING;
	}
	worker->tick_ms = now;
	pthread_mutex_unlock(&worker->lock);
	return running;
}

static void send_announcement(struct worker *worker, const char *agent, const char *url)
{
	json_t *root = NULL;

	pthread_mutex_lock(&worker->lock);
	if (!worker->faults.silent && agent[0])
		root = json_pack("{s:s, s:s, s:s, s:I, s:I, s:s, s:i, s:i, s:i}", "kind", "worker",
				 "target", worker->target, "url", url, "incarnation",
				 (json_int_t)worker->incarnation, "clock_ms",
				 (json_int_t)util_clock_ms(), "state",
				 worker->leaving ? "leaving" : "alive", "accelerators",
				 (int)worker->accelerators, "cores", (int)worker->cores,
				 "memory_mb", (int)worker->memory_mb);
	pthread_mutex_unlock(&worker->lock);
	if (root)
		fake_announce(agent, root);
}

/* Runs in its own thread, so that an agent that does not answer cannot delay the end of leases. */
static void *announce_loop(void *ctx)
{
	struct announcer *announcer = ctx;

	while (!atomic_load(&announcer->ended)) {
		send_announcement(announcer->worker, announcer->agent, announcer->url);
		for (int i = 0;
		     i < ANNOUNCE_PERIOD_MS / TICK_PERIOD_MS && !atomic_load(&announcer->now); i++)
			usleep(TICK_PERIOD_MS * 1000);
		atomic_store(&announcer->now, false);
	}
	return NULL;
}

static void leave_gracefully(struct announcer *announcer)
{
	struct worker *worker = announcer->worker;
	uint64_t until_ms = util_clock_ms() + LEAVE_GRACE_MS;

	pthread_mutex_lock(&worker->lock);
	worker->leaving = true;
	pthread_mutex_unlock(&worker->lock);
	atomic_store(&announcer->now, true);
	fake_wait_signal(LEAVE_ANNOUNCE_MS);
	while (advance_tasks(worker) && util_clock_ms() < until_ms)
		fake_wait_signal(TICK_PERIOD_MS);
	atomic_store(&announcer->ended, true);
	atomic_store(&announcer->now, true);
}

static void free_tasks(struct worker *worker)
{
	struct task *task;

	while ((task = worker->tasks)) {
		worker->tasks = task->next;
		free(task);
	}
}

int main(int argc, char **argv)
{
	const char *listen = "127.0.0.1:0";
	const char *agent = "";
	const char *accelerators = "8";
	const char *cores = "128";
	const char *memory_mb = "524288";
	const char *usage_lag_ms = "2000";
	struct worker worker = {
		.lock = PTHREAD_MUTEX_INITIALIZER,
		.target = "worker",
		.incarnation = util_wall_ms(),
		.tick_ms = util_clock_ms(),
	};
	const struct fake_option options[] = {
		{"--listen", &listen},
		{"--agent", &agent},
		{"--target", &worker.target},
		{"--accelerators", &accelerators},
		{"--cores", &cores},
		{"--memory-mb", &memory_mb},
		{"--usage-lag-ms", &usage_lag_ms},
	};
	struct announcer announcer = {.worker = &worker};
	struct fake_server *server;
	pthread_t thread;

	fake_block_signals();
	fake_parse_options(argc, argv, options, sizeof(options) / sizeof(options[0]));
	worker.accelerators = (unsigned int)strtoul(accelerators, NULL, 10);
	worker.cores = strtol(cores, NULL, 10);
	worker.memory_mb = strtol(memory_mb, NULL, 10);
	worker.usage_lag_ms = strtoull(usage_lag_ms, NULL, 10);
	server = fake_server_start(listen, CONNECTIONS_MAX, handle_request, &worker);
	announcer.agent = agent;
	announcer.url = fake_server_url(server);
	pthread_create(&thread, NULL, announce_loop, &announcer);
	while (!fake_wait_signal(TICK_PERIOD_MS))
		advance_tasks(&worker);
	leave_gracefully(&announcer);
	pthread_join(thread, NULL);
	fake_server_stop(server);
	free_tasks(&worker);
	return EXIT_SUCCESS;
}
