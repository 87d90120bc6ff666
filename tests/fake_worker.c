/* Stand-in of a worker: tasks under leases, with admission checks. */
#include "lib_fake.h"
#include "util.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ANNOUNCE_MS 1000
#define TICK_MS 20
#define CONNECTIONS 128U
#define LEAVE_TOLD_MS 100   /* time for the announcement that it leaves */
#define LEAVE_GRACE_MS 2000 /* running tasks get this time when the worker leaves */
#define NEVER_RUNS_MS 20    /* a task that can never run fails after this */

enum task_state {
	TASK_RUNNING,
	TASK_DONE,
	TASK_FAILED,
	TASK_STOPPED,
	TASK_REFUSED, /* stopped before it arrived: a late start is refused */
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
	unsigned int percent; /* throttle */
};

struct faults {
	bool fail_starts;
	bool silent;
	bool freeze_tasks;
};

struct node {
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
	struct node *node;
	const char *agent;
	const char *url;
	atomic_bool now; /* announce without waiting for the period */
	atomic_bool ended;
};

static struct task *find_task(const struct node *n, const char *id)
{
	for (struct task *t = n->tasks; t; t = t->next) {
		if (!strcmp(t->id, id))
			return t;
	}
	return NULL;
}

static struct task *add_task(struct node *n, const char *id)
{
	struct task *t = calloc(1, sizeof(*t));

	snprintf(t->id, sizeof(t->id), "%s", id);
	t->reason = "";
	t->percent = 100;
	t->started_ms = util_clock_ms();
	t->next = n->tasks;
	n->tasks = t;
	return t;
}

static void end_task(struct task *t, enum task_state state, const char *reason)
{
	t->state = state;
	t->reason = reason;
	t->ended_ms = util_clock_ms();
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

/* Admission check; NULL when the task fits. */
static const char *guard(const struct node *n, const struct task *wanted)
{
	uint64_t taken = 0;
	long cores = wanted->cores;
	long memory = wanted->memory_mb;

	for (const struct task *t = n->tasks; t; t = t->next) {
		if (t == wanted || t->state != TASK_RUNNING)
			continue;
		taken |= t->mask;
		cores += t->cores;
		memory += t->memory_mb;
	}
	if (n->accelerators < 64 && wanted->mask >> n->accelerators)
		return "no such accelerator";
	if (wanted->mask & taken)
		return "accelerator taken";
	if (cores > n->cores)
		return "not enough cores";
	return memory > n->memory_mb ? "not enough memory" : NULL;
}

/* The absolute end counts when the agent gives one; a start or renewal read late is over. */
static uint64_t lease_end(json_t *root)
{
	long until = read_long(root, "lease_until_ms", 0);

	if (until > 0)
		return (uint64_t)until;
	return util_clock_ms() + (uint64_t)read_long(root, "lease_ms", 3000);
}

static void read_task(struct task *t, json_t *root)
{
	const char *mask = json_string_value(json_object_get(root, "accelerator_mask"));
	json_t *payload = json_object_get(root, "payload");

	t->mask = mask ? strtoull(mask, NULL, 16) : 0;
	t->cores = read_long(root, "cores", 0);
	t->memory_mb = read_long(root, "memory_mb", 0);
	t->run_ms = read_long(payload, "run_ms", 0);
	t->never_runs = read_bool(payload, "never_runs", false);
	t->checkpoint_ms = (uint64_t)read_long(payload, "resume_ms", 0);
	t->progress_ms = (double)t->checkpoint_ms;
	t->lease_until_ms = lease_end(root);
}

static void start(struct node *n, const char *id, json_t *body, struct fake_reply *reply)
{
	struct task *t = find_task(n, id);
	const char *refusal;

	if (t && t->state == TASK_RUNNING) {
		fake_reply_json(reply, 200, json_object());
		return;
	}
	if (t) {
		fake_reply_error(reply, 410, "the task has ended or was stopped");
		return;
	}
	if (n->faults.fail_starts) {
		fake_reply_error(reply, 500, "fault fail_starts");
		return;
	}
	t = add_task(n, id);
	read_task(t, body);
	refusal = n->leaving ? "the worker is leaving" : guard(n, t);
	if (t->lease_until_ms <= t->started_ms)
		refusal = "the lease is over";
	if (refusal) {
		n->tasks = t->next;
		free(t);
		fake_reply_error(reply, 409, refusal);
		return;
	}
	fake_reply_json(reply, 201, json_object());
}

static void stop(struct node *n, const char *id, struct fake_reply *reply)
{
	struct task *t = find_task(n, id);

	if (!t) {
		t = add_task(n, id);
		end_task(t, TASK_REFUSED, "stopped before it started");
		fake_reply_error(reply, 404, "unknown task");
		return;
	}
	if (t->state == TASK_RUNNING)
		end_task(t, TASK_STOPPED, "asked");
	fake_reply_json(reply, 200,
			json_pack("{s:s, s:I}", "state", state_names[t->state], "checkpoint_ms",
				  (json_int_t)t->checkpoint_ms));
}

static void act(struct task *t, const char *verb, json_t *body, struct fake_reply *reply)
{
	if (!strcmp(verb, "renew"))
		t->lease_until_ms = lease_end(body);
	else if (!strcmp(verb, "checkpoint"))
		t->checkpoint_ms = (uint64_t)t->progress_ms;
	else if (!strcmp(verb, "throttle"))
		t->percent = (unsigned int)read_long(body, "percent", 100);
	else
		return;
	fake_reply_json(reply, 200,
			json_pack("{s:I}", "checkpoint_ms", (json_int_t)t->checkpoint_ms));
}

static json_t *describe(const struct node *n, const struct task *t)
{
	json_t *root =
		json_pack("{s:s, s:s, s:s, s:I}", "id", t->id, "state", state_names[t->state],
			  "reason", t->reason, "checkpoint_ms", (json_int_t)t->checkpoint_ms);

	if (t->state == TASK_RUNNING && util_clock_ms() - t->started_ms >= n->usage_lag_ms)
		json_object_set_new(root, "usage_percent", json_integer((json_int_t)t->percent));
	return root;
}

static json_t *history_item(const struct task *t)
{
	char mask[24];

	snprintf(mask, sizeof(mask), "%" PRIx64, t->mask);
	return json_pack("{s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:i}", "id", t->id, "state",
			 state_names[t->state], "reason", t->reason, "accelerator_mask", mask,
			 "started_ms", (json_int_t)t->started_ms, "ended_ms",
			 (json_int_t)t->ended_ms, "checkpoint_ms", (json_int_t)t->checkpoint_ms,
			 "throttle_percent", (int)t->percent);
}

static void list(struct node *n, bool history, struct fake_reply *reply)
{
	json_t *items = json_array();

	for (const struct task *t = n->tasks; t; t = t->next) {
		if (t->state != TASK_REFUSED)
			json_array_append_new(items, history ? history_item(t) : describe(n, t));
	}
	fake_reply_json(reply, 200, json_pack("{s:o}", "tasks", items));
}

static void set_faults(struct node *n, json_t *root, struct fake_reply *reply)
{
	struct faults *f = &n->faults;

	f->fail_starts = read_bool(root, "fail_starts", f->fail_starts);
	f->silent = read_bool(root, "silent", f->silent);
	f->freeze_tasks = read_bool(root, "freeze_tasks", f->freeze_tasks);
	fake_reply_json(reply, 200, json_object());
}

static void handle_task(struct node *n, const struct fake_request *request, json_t *body,
			struct fake_reply *reply)
{
	char id[128];
	const char *slash;
	struct task *t;

	snprintf(id, sizeof(id), "%s", request->path + strlen("/tasks/"));
	slash = strchr(id, '/');
	id[slash ? slash - id : (long)strlen(id)] = '\0';
	t = find_task(n, id);
	if (!slash && !strcmp(request->method, "PUT"))
		start(n, id, body, reply);
	else if (!slash && !strcmp(request->method, "DELETE"))
		stop(n, id, reply);
	else if (slash && t && t->state == TASK_RUNNING)
		act(t, request->path + strlen("/tasks/") + strlen(id) + 1, body, reply);
}

static void handle(const struct fake_request *request, struct fake_reply *reply, void *ctx)
{
	struct node *n = ctx;
	json_t *body = json_loadb(request->body, request->body_len, 0, NULL);

	pthread_mutex_lock(&n->lock);
	if (!strcmp(request->path, "/history"))
		list(n, true, reply);
	else if (!strcmp(request->path, "/fault"))
		set_faults(n, body, reply);
	else if (!strcmp(request->path, "/tasks"))
		list(n, false, reply);
	else if (!strncmp(request->path, "/tasks/", strlen("/tasks/")))
		handle_task(n, request, body, reply);
	pthread_mutex_unlock(&n->lock);
	json_decref(body);
}

static void advance(struct node *n, struct task *t, uint64_t now, uint64_t passed)
{
	if (now >= t->lease_until_ms) {
		end_task(t, TASK_STOPPED, "lease lapsed");
		return;
	}
	if (n->faults.freeze_tasks)
		return;
	/* After a freeze of this process a new task has not run for the whole time passed. */
	if (passed > now - t->started_ms)
		passed = now - t->started_ms;
	t->progress_ms += (double)passed * t->percent / 100.0;
	if (t->never_runs && now - t->started_ms >= NEVER_RUNS_MS)
		end_task(t, TASK_FAILED, "the program cannot run");
	else if (t->run_ms > 0 && t->progress_ms >= (double)t->run_ms)
		end_task(t, TASK_DONE, "");
}

static bool tick(struct node *n)
{
	uint64_t now = util_clock_ms();
	bool running = false;

	pthread_mutex_lock(&n->lock);
	for (struct task *t = n->tasks; t; t = t->next) {
		if (t->state == TASK_RUNNING)
			advance(n, t, now, now - n->tick_ms);
		running = running || t->state == TASK_RUNNING;
	}
	n->tick_ms = now;
	pthread_mutex_unlock(&n->lock);
	return running;
}

static void announce(struct node *n, const char *agent, const char *url)
{
	json_t *root = NULL;

	pthread_mutex_lock(&n->lock);
	if (!n->faults.silent && agent[0])
		root = json_pack(
			"{s:s, s:s, s:s, s:I, s:I, s:s, s:i, s:i, s:i}", "kind", "worker", "target",
			n->target, "url", url, "incarnation", (json_int_t)n->incarnation,
			"clock_ms", (json_int_t)util_clock_ms(), "state",
			n->leaving ? "leaving" : "alive", "accelerators", (int)n->accelerators,
			"cores", (int)n->cores, "memory_mb", (int)n->memory_mb);
	pthread_mutex_unlock(&n->lock);
	if (root)
		fake_announce(agent, root);
}

/* In a thread of its own: an agent that does not answer must not delay the ends of leases. */
static void *announce_loop(void *ctx)
{
	struct announcer *a = ctx;

	while (!atomic_load(&a->ended)) {
		announce(a->node, a->agent, a->url);
		for (int i = 0; i < ANNOUNCE_MS / TICK_MS && !atomic_load(&a->now); i++)
			usleep(TICK_MS * 1000);
		atomic_store(&a->now, false);
	}
	return NULL;
}

static void leave(struct announcer *a)
{
	struct node *n = a->node;
	uint64_t until_ms = util_clock_ms() + LEAVE_GRACE_MS;

	pthread_mutex_lock(&n->lock);
	n->leaving = true;
	pthread_mutex_unlock(&n->lock);
	atomic_store(&a->now, true);
	fake_wait(LEAVE_TOLD_MS);
	while (tick(n) && util_clock_ms() < until_ms)
		fake_wait(TICK_MS);
	atomic_store(&a->ended, true);
	atomic_store(&a->now, true);
}

static void free_tasks(struct node *n)
{
	struct task *t;

	while ((t = n->tasks)) {
		n->tasks = t->next;
		free(t);
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
	struct node n = {
		.lock = PTHREAD_MUTEX_INITIALIZER,
		.target = "worker",
		.incarnation = util_wall_ms(),
		.tick_ms = util_clock_ms(),
	};
	const struct fake_option options[] = {
		{"--listen", &listen},
		{"--agent", &agent},
		{"--target", &n.target},
		{"--accelerators", &accelerators},
		{"--cores", &cores},
		{"--memory-mb", &memory_mb},
		{"--usage-lag-ms", &usage_lag_ms},
	};
	struct announcer announcer = {.node = &n};
	struct fake_server *server;
	pthread_t thread;

	fake_block_signals();
	fake_parse(argc, argv, options, sizeof(options) / sizeof(options[0]));
	n.accelerators = (unsigned int)strtoul(accelerators, NULL, 10);
	n.cores = strtol(cores, NULL, 10);
	n.memory_mb = strtol(memory_mb, NULL, 10);
	n.usage_lag_ms = strtoull(usage_lag_ms, NULL, 10);
	server = fake_server_start(listen, CONNECTIONS, handle, &n);
	announcer.agent = agent;
	announcer.url = fake_server_url(server);
	pthread_create(&thread, NULL, announce_loop, &announcer);
	while (!fake_wait(TICK_MS))
		tick(&n);
	leave(&announcer);
	pthread_join(thread, NULL);
	fake_server_stop(server);
	free_tasks(&n);
	return EXIT_SUCCESS;
}
