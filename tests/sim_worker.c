#include "sim_worker.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define CALL_TIMEOUT_MS 1000
#define LEASE_MAX_MS 10000
#define LATE_MIN_MS 2000
#define LATE_MAX_MS 12000
#define STOP_TAKES_MS 150
#define BEAT_MS 1500
#define GANG_WAIT_MS 3000
#define ENDS_MAX 512
#define FORMER_MAX 8
#define LEAVING_MAX_MS 300 /* from the word that a worker leaves until its end */
/* A lasting task works this long. */
#define LASTING_MIN_MS 200
#define LASTING_MAX_MS 60000

/* What is known of a task across all workers. */
struct task_history {
	uint32_t active; /* runs at work */
	uint32_t done;
	uint32_t done_noted;
	uint32_t failed_noted;
	uint64_t last_start_ms;
	uint64_t last_end_ms;
	bool lasting;
};

/* The members of one run of a gang. */
struct gang {
	uint32_t size;
	uint32_t present;
	uint64_t began_ms; /* when all were present; 0: not yet */
	bool broken;
	bool halted; /* a member is being stopped, so the others don't work either */
	const char *rack;
	bool on_several_racks;
	uint32_t slowdown; /* on several racks */
};

struct run {
	struct run *next;
	char *task;
	uint32_t number;
	uint64_t began_ms;
	uint64_t work_ms;
	struct plan_resources need;
	bool fails;
	bool lasting;
	bool stopping;
	struct gang *gang; /* NULL: a task by itself */
};

struct end {
	uint64_t number;
	char *task;
	uint32_t run;
	enum plan_end how;
	uint64_t at_ms;
	uint64_t lapses; /* of the worker's lease until then */
	bool gang;
	bool noted;
};

/* A former incarnation of a worker. */
struct former {
	char *id;
	uint64_t born;
	uint64_t sequence; /* of its last announcement */
};

struct sim_worker {
	int host;
	char *node;
	struct sim_worker_shape shape;
	char *id;
	uint64_t born;
	uint32_t ids;
	uint64_t sequence;
	uint64_t clock_began_ms; /* simulated time at zero of its clock */
	double clock_rate;
	uint64_t lease_end; /* by its clock */
	uint64_t lapses;
	bool leased;
	bool up;
	bool dark;
	bool served; /* a call has extended the lease of this incarnation */
	bool guards; /* refuses starts for which it has no room */
	bool accepting;
	uint64_t fence;
	struct run *runs;
	GHashTable *closed; /* task -> highest run that was stopped or has ended */
	struct end ends[ENDS_MAX];
	size_t end_count;
	uint64_t last_end;
	uint64_t ends_known; /* ends up to this number are forgotten */
	struct sim_worker_faults faults;
	bool misdirected; /* the latest call for a list was */
	bool refusing;	  /* a call was refused, and the agent does not know it yet */
	bool refused;	  /* the latest that the agent knows is that a call was refused */
	struct former former[FORMER_MAX];
	size_t former_count;
	struct sim_process *agent;
	struct runner *runner;
	GPtrArray *waiting; /* renewals that wait for the end of a run */
	TALLOC_CTX *life;   /* freed at the end of an incarnation */
};

static GHashTable *histories; /* task -> struct task_history */
static GHashTable *gangs;     /* "job.occurrence.step/run" -> struct gang */
static GPtrArray *workers;
static GHashTable *ended_jobs;
static uint32_t attempts_max;
static uint32_t listed_ends_max; /* in one list */
static void (*on_crashed_run)(const char *task, uint32_t run, bool same_id, bool dark);
static int violations;
static char first_violation[512];

char *sim_steps_write(TALLOC_CTX *mem, const struct sim_step *steps, size_t count)
{
	char *text = talloc_strdup(mem, "");

	for (size_t i = 0; i < count; i++)
		text = talloc_asprintf_append(
			text, "%u %u %u %u %u %u %u %u %u %u %u %s %s;", steps[i].count,
			steps[i].gang, steps[i].work_ms, steps[i].cpu_milli, steps[i].after_former,
			steps[i].fail_percent, steps[i].memory_mb, steps[i].accelerators,
			steps[i].one_rack, steps[i].lasting, steps[i].spread_limit,
			*steps[i].data_rack ? steps[i].data_rack : "-",
			*steps[i].label ? steps[i].label : "-");
	return text;
}

/* Reads the steps of a job up to @last. */
static void read_steps(const char *payload, struct sim_step *steps, uint32_t last)
{
	for (uint32_t i = 0; i <= last && payload; i++) {
		struct sim_step *step = &steps[i];

		sscanf(payload, "%u %u %u %u %u %u %u %u %u %u %u %7s %7[^;];", &step->count,
		       &step->gang, &step->work_ms, &step->cpu_milli, &step->after_former,
		       &step->fail_percent, &step->memory_mb, &step->accelerators, &step->one_rack,
		       &step->lasting, &step->spread_limit, step->data_rack, step->label);
		if (!strcmp(step->data_rack, "-"))
			step->data_rack[0] = '\0';
		if (!strcmp(step->label, "-"))
			step->label[0] = '\0';
		payload = strchr(payload, ';');
		payload = payload ? payload + 1 : NULL;
	}
}

void sim_runs_create(uint32_t max_attempts)
{
	if (histories)
		g_hash_table_destroy(histories);
	if (gangs)
		g_hash_table_destroy(gangs);
	histories = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gangs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (workers)
		g_ptr_array_free(workers, TRUE);
	workers = g_ptr_array_new();
	if (ended_jobs)
		g_hash_table_destroy(ended_jobs);
	ended_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	attempts_max = max_attempts;
	listed_ends_max = SIM_LISTED_ENDS_MAX;
	violations = 0;
	first_violation[0] = '\0';
}

void sim_workers_watch_crashes(void (*fn)(const char *task, uint32_t run, bool same_id, bool dark))
{
	on_crashed_run = fn;
}

void sim_workers_limit_ends(uint32_t max)
{
	listed_ends_max = max;
}

int sim_runs_violations(void)
{
	return violations;
}

static struct task_history *history(const char *task)
{
	struct task_history *found = g_hash_table_lookup(histories, task);

	if (found)
		return found;
	found = g_new0(struct task_history, 1);
	g_hash_table_insert(histories, g_strdup(task), found);
	return found;
}

struct sim_task sim_runs_task(const char *task)
{
	const struct task_history *known = g_hash_table_lookup(histories, task);

	if (!known)
		return (struct sim_task){0};
	return (struct sim_task){.at_work = known->active > 0,
				 .done = known->done > 0,
				 .done_noted = known->done_noted > 0,
				 .last_end_ms = known->last_end_ms};
}

bool sim_runs_done(const char *task)
{
	return history(task)->done > 0;
}

const char *sim_runs_violation(void)
{
	return first_violation;
}

void sim_runs_violate(const char *task, const char *what)
{
	if (violations++ == 0)
		g_snprintf(first_violation, sizeof(first_violation), "%8.3f s %s: %s",
			   (double)sim_now_ms() / 1000, task, what);
	sim_print("VIOLATION %s: %s", task, what);
}

static bool is_task_of(const char *task, const char *job)
{
	return g_str_has_prefix(task, job) && task[strlen(job)] == '.';
}

void sim_runs_end_job(const char *job)
{
	GHashTableIter iter;
	gpointer task;
	gpointer value;

	g_hash_table_add(ended_jobs, g_strdup(job));
	g_hash_table_iter_init(&iter, histories);
	while (g_hash_table_iter_next(&iter, &task, &value)) {
		if (((struct task_history *)value)->active > 0 && is_task_of(task, job))
			sim_runs_violate(task, "runs though its job was cancelled long ago");
	}
}

/* True once the job of the task has been cancelled for long. */
static bool is_of_ended_job(const char *task)
{
	char *job = g_strndup(task, strcspn(task, "."));
	bool ended = g_hash_table_contains(ended_jobs, job);

	g_free(job);
	return ended;
}

/* Time that the run needs where it is, and where the other members of its gang are. */
static uint64_t work_time(const struct run *run)
{
	const struct gang *gang = run->gang;

	return run->work_ms * (gang && gang->on_several_racks ? gang->slowdown : 1);
}

static uint64_t worker_clock(const struct sim_worker *worker)
{
	return (uint64_t)((double)(sim_now_ms() - worker->clock_began_ms) * worker->clock_rate);
}

static void answer_waiting(struct sim_worker *worker);

static void end_run(struct sim_worker *worker, struct run *run, enum plan_end how)
{
	struct end *end;
	uint32_t *closed = g_hash_table_lookup(worker->closed, run->task);

	for (struct run **at = &worker->runs; *at; at = &(*at)->next) {
		if (*at == run) {
			*at = run->next;
			break;
		}
	}
	history(run->task)->active--;
	history(run->task)->done += how == PLAN_END_DONE;
	history(run->task)->last_end_ms = sim_now_ms();
	if (!closed) {
		closed = g_new0(uint32_t, 1);
		g_hash_table_insert(worker->closed, g_strdup(run->task), closed);
	}
	*closed = MAX(*closed, run->number);
	sim_print("%s: %s run %u ends: %d", worker->node, run->task, run->number, (int)how);
	if (worker->end_count == ENDS_MAX) {
		memmove(worker->ends, worker->ends + 1, sizeof(worker->ends[0]) * (ENDS_MAX - 1));
		worker->end_count--;
	}
	end = &worker->ends[worker->end_count++];
	*end = (struct end){.number = ++worker->last_end,
			    .task = talloc_strdup(sim_now, run->task),
			    .run = run->number,
			    .how = how,
			    .at_ms = sim_now_ms(),
			    .lapses = worker->lapses,
			    .gang = run->gang != NULL};
	if (run->gang) {
		run->gang->present--;
		run->gang->broken |= how != PLAN_END_DONE;
	}
	talloc_free(run);
	answer_waiting(worker);
}

static void end_all(struct sim_worker *worker, enum plan_end how)
{
	while (worker->runs)
		end_run(worker, worker->runs, how);
}

static void check_lease(struct sim_worker *worker)
{
	if (!worker->leased || worker_clock(worker) < worker->lease_end)
		return;
	worker->leased = false;
	worker->lapses++;
	sim_print("%s: its lease lapses", worker->node);
	end_all(worker, PLAN_END_LAPSED);
}

static void extend_lease(struct sim_worker *worker, uint64_t end)
{
	check_lease(worker);
	end = MIN(end, worker_clock(worker) + LEASE_MAX_MS);
	if (end > worker_clock(worker)) {
		worker->lease_end = MAX(worker->lease_end, end);
		worker->leased = true;
	}
}

static struct gang *join_gang(const struct sim_worker *worker, const char *task, uint32_t run,
			      const struct sim_step *step)
{
	char *last = strrchr(task, '.');
	char *key = g_strdup_printf("%.*s/%u", (int)(last - task), task, run);
	struct gang *gang = g_hash_table_lookup(gangs, key);

	if (gang) {
		g_free(key);
	} else {
		gang = g_new0(struct gang, 1);
		gang->size = step->count;
		gang->rack = worker->shape.rack;
		gang->slowdown = step->one_rack ? SIM_SLOWDOWN : 1;
		g_hash_table_insert(gangs, key, gang);
	}
	gang->on_several_racks |= strcmp(gang->rack, worker->shape.rack) != 0;
	gang->present++;
	if (gang->present == gang->size && !gang->began_ms)
		gang->began_ms = sim_now_ms();
	return gang;
}

struct plan_resources sim_worker_used(const struct sim_worker *worker)
{
	struct plan_resources used = {0};

	for (const struct run *run = worker->runs; run; run = run->next) {
		used.cpu_milli += run->need.cpu_milli;
		used.memory_mb += run->need.memory_mb;
		used.accelerators += run->need.accelerators;
	}
	return used;
}

uint32_t sim_worker_count_runs(const struct sim_worker *worker, const char *step)
{
	size_t len = strlen(step);
	uint32_t count = 0;

	for (const struct run *run = worker->runs; run; run = run->next)
		count += !strncmp(run->task, step, len) && run->task[len] == '.';
	return count;
}

static bool fits(const struct sim_worker *worker, const struct sim_step *step)
{
	const struct plan_resources *room = &worker->shape.room;
	struct plan_resources used = sim_worker_used(worker);

	return used.cpu_milli + step->cpu_milli <= room->cpu_milli &&
	       used.memory_mb + step->memory_mb <= room->memory_mb &&
	       used.accelerators + step->accelerators <= room->accelerators;
}

/* A place that the step does not allow, whatever room is there. */
static void check_place(const struct sim_worker *worker, const char *task,
			const struct sim_step *step)
{
	char *name = g_strndup(task, (gsize)(strrchr(task, '.') - task));

	if (*step->label && strcmp(step->label, worker->shape.kind) != 0 &&
	    strcmp(step->label, worker->shape.rack) != 0)
		sim_runs_violate(task, "starts on a worker without its label");
	if (step->spread_limit && sim_worker_count_runs(worker, name) >= step->spread_limit)
		sim_runs_violate(task, "starts beside too many tasks of its step");
	g_free(name);
}

/* Reads what a task does; @steps has room for SIM_STEPS_MAX. Returns the number of its step. */
static uint32_t read_task(const struct runner_start *start, struct sim_step *steps,
			  uint32_t *occurrence)
{
	uint32_t step = 0;

	sscanf(start->task, "%*[^.].%u.%u.", occurrence, &step);
	if (step >= SIM_STEPS_MAX)
		step = 0;
	read_steps(start->payload, steps, step);
	return step;
}

/* The end of one member of a gang as done stands for all of them. */
static bool step_is_done(const char *task, uint32_t occurrence, const struct sim_step *steps,
			 uint32_t step)
{
	uint32_t done = 0;

	for (uint32_t i = 0; i < steps[step].count; i++) {
		char *member = g_strdup_printf("%.*s.%u.%u.%u", (int)strcspn(task, "."), task,
					       occurrence, step, i);

		done += sim_runs_done(member);
		g_free(member);
	}
	return steps[step].gang ? done > 0 : done == steps[step].count;
}

static void begin_run(struct sim_worker *worker, const struct runner_start *start)
{
	struct run *run = talloc_zero(worker->life, struct run);
	struct task_history *task = history(start->task);
	struct sim_step steps[SIM_STEPS_MAX] = {{0}};
	uint32_t occurrence = 0;
	uint32_t number = read_task(start, steps, &occurrence);
	const struct sim_step *step = &steps[number];

	sim_print("%s: %s run %u begins", worker->node, start->task, start->run);
	if (task->active > 0)
		sim_runs_violate(start->task, "two runs at the same time");
	if (task->done_noted)
		sim_runs_violate(start->task, "starts after a run has ended as done");
	if (!step->gang && !step->lasting && task->failed_noted >= attempts_max)
		sim_runs_violate(start->task, "starts after its last attempt has failed");
	if (is_of_ended_job(start->task))
		sim_runs_violate(start->task, "starts though its job was cancelled long ago");
	if (!fits(worker, step))
		sim_runs_violate(start->task, "starts without room");
	check_place(worker, start->task, step);
	if (step->after_former && number > 0 &&
	    !step_is_done(start->task, occurrence, steps, number - 1))
		sim_runs_violate(start->task, "starts before the step before it is done");
	task->active++;
	task->last_start_ms = sim_now_ms();
	task->lasting = step->lasting;
	run->task = talloc_strdup(run, start->task);
	run->number = start->run;
	run->began_ms = sim_now_ms();
	run->work_ms = step->work_ms;
	run->need = (struct plan_resources){step->cpu_milli, step->memory_mb, step->accelerators};
	if (*step->data_rack && strcmp(step->data_rack, worker->shape.rack) != 0)
		run->work_ms *= SIM_SLOWDOWN;
	run->fails = sim_below(100) < step->fail_percent;
	if (run->fails)
		run->work_ms = sim_below(step->work_ms);
	if (step->lasting) {
		run->lasting = true;
		run->work_ms = sim_between(LASTING_MIN_MS, LASTING_MAX_MS);
		run->fails = sim_chance(0.7);
	}
	run->next = worker->runs;
	worker->runs = run;
	if (step->gang)
		run->gang = join_gang(worker, start->task, start->run, step);
}

/* A worker that guards its room, or that never gets more than it has. */
static bool has_room(const struct sim_worker *worker, const struct runner_start *start)
{
	struct sim_step steps[SIM_STEPS_MAX] = {{0}};
	uint32_t occurrence = 0;
	uint32_t step = read_task(start, steps, &occurrence);

	return !worker->guards || fits(worker, &steps[step]);
}

static struct run *find_run(struct sim_worker *worker, const char *task, uint32_t number)
{
	struct run *run = worker->runs;

	while (run && (run->number != number || strcmp(run->task, task) != 0))
		run = run->next;
	return run;
}

static enum runner_call_result carry_out_start(struct sim_worker *worker,
					       const struct runner_start *start)
{
	uint32_t *closed = g_hash_table_lookup(worker->closed, start->task);

	if (strcmp(start->worker, worker->id) != 0)
		return RUNNER_OTHER_INCARNATION;
	if (sim_chance(worker->faults.unhealthy))
		return RUNNER_REFUSED_UNHEALTHY;
	if (start->fence < worker->fence)
		return RUNNER_REFUSED_FENCED;
	worker->fence = start->fence;
	extend_lease(worker, start->lease_end_ms);
	if (find_run(worker, start->task, start->run))
		return RUNNER_STARTED;
	if (closed && start->run <= *closed)
		return RUNNER_REFUSED_STALE;
	if (!worker->leased)
		return RUNNER_REFUSED_LATE;
	for (struct run *run = worker->runs; run; run = run->next) {
		if (!strcmp(run->task, start->task) && run->number > start->run)
			return RUNNER_REFUSED_STALE;
	}
	if (!has_room(worker, start))
		return RUNNER_REFUSED_NO_ROOM;
	begin_run(worker, start);
	return RUNNER_STARTED;
}

struct stopping {
	struct sim_worker *worker;
	char *task;
	uint32_t run;
};

static void finish_stop(void *ctx)
{
	struct stopping *stopping = ctx;
	struct run *run = find_run(stopping->worker, stopping->task, stopping->run);

	if (run)
		end_run(stopping->worker, run, PLAN_END_STOPPED);
	talloc_free(stopping);
}

static enum runner_call_result carry_out_stop(struct sim_worker *worker, const char *id,
					      const char *task, uint32_t number, uint64_t fence)
{
	uint32_t *closed = g_hash_table_lookup(worker->closed, task);
	struct run *run;

	if (strcmp(id, worker->id) != 0)
		return RUNNER_OTHER_INCARNATION;
	if (fence < worker->fence)
		return RUNNER_REFUSED_FENCED;
	worker->fence = fence;
	check_lease(worker);
	run = find_run(worker, task, number);
	if (run && !run->stopping) {
		struct stopping *stopping = talloc_zero(worker->life, struct stopping);

		run->stopping = true;
		if (run->gang)
			run->gang->halted = true;
		stopping->worker = worker;
		stopping->task = talloc_strdup(stopping, task);
		stopping->run = number;
		sim_at(NULL, stopping, sim_below(STOP_TAKES_MS), finish_stop, stopping);
	}
	if (!run && !closed) {
		closed = g_new0(uint32_t, 1);
		g_hash_table_insert(worker->closed, g_strdup(task), closed);
	}
	if (!run)
		*closed = MAX(*closed, number);
	return RUNNER_STARTED;
}

/* A call of an agent. */
struct call {
	struct sim_worker *worker;
	struct sim_process *agent;
	uint64_t born; /* of the incarnation that it was made to */
	enum {
		CALL_START,
		CALL_STOP,
		CALL_RENEW
	} kind;
	char *id;
	char *task;
	char *payload;
	struct runner_start start;
	struct runner_renewal renewal;
	uint64_t due_ms; /* of a renewal that waits */
	void (*order_done)(enum runner_call_result, uint64_t, void *);
	void (*list_done)(int, const struct runner_list *, void *);
	void *ctx;
	bool answered; /* by the end of its time */
	enum runner_call_result result;
	int status;
	struct runner_list list;
};

/* The agent learns that a call was refused, or that it was answered. */
static void note_delivery(struct sim_worker *worker, bool refused, bool answered)
{
	if (refused)
		worker->refusing = false;
	if (refused || answered)
		worker->refused = refused;
}

static void answer_order(void *ctx)
{
	struct call *call = ctx;

	note_delivery(call->worker, call->result == RUNNER_NOT_SENT,
		      call->result != RUNNER_NO_ANSWER);
	call->order_done(call->result, call->list.clock_ms, call->ctx);
	talloc_free(call);
}

static void answer_list(void *ctx)
{
	struct call *call = ctx;

	note_delivery(call->worker, call->status == -ERR_UNAVAILABLE,
		      !call->status || call->status == -ERR_STALE || call->status == -ERR_DENIED);
	call->list_done(call->status, call->status ? NULL : &call->list, call->ctx);
	talloc_free(call);
}

static void fail_call(struct call *call, uint32_t ms, enum runner_call_result result, int status)
{
	call->result = result;
	call->status = status;
	sim_at(call->agent, call, ms, call->kind == CALL_RENEW ? answer_list : answer_order, call);
}

static void note_ends(struct sim_worker *worker, uint64_t number)
{
	worker->ends_known = MAX(worker->ends_known, MIN(number, worker->last_end));
	for (size_t i = 0; i < worker->end_count; i++) {
		struct end *end = &worker->ends[i];
		struct task_history *task = history(end->task);

		if (end->number > number || end->noted)
			continue;
		end->noted = true;
		task->failed_noted += end->how == PLAN_END_FAILED;
		if (end->how != PLAN_END_DONE || end->lapses != worker->lapses || task->lasting)
			continue;
		if (task->done_noted == 0 && task->last_start_ms > end->at_ms)
			sim_runs_violate(end->task, "a later run began after the one that is done");
		task->done_noted++;
	}
}

static uint32_t percent_done(const struct run *run)
{
	uint64_t passed_ms = sim_now_ms() - run->began_ms;

	if (run->lasting)
		return 100;
	return (uint32_t)MIN(99, passed_ms * 100 / MAX(work_time(run), 1));
}

static void fill_list(struct sim_worker *worker, struct call *call)
{
	struct runner_list *list = &call->list;
	size_t count = 0;

	for (const struct run *run = worker->runs; run; run = run->next)
		count++;
	list->clock_ms = worker_clock(worker);
	list->worker_started_ms = worker->born;
	list->running = talloc_zero_array(call, struct plan_run, count + 1);
	list->ends = talloc_zero_array(call, struct fleet_run_end, worker->end_count + 1);
	for (const struct run *run = worker->runs; run; run = run->next) {
		list->running[list->running_count++] = (struct plan_run){
			talloc_strdup(call, run->task), run->number, "", percent_done(run)};
	}
	for (size_t i = 0; i < worker->end_count && list->end_count < listed_ends_max; i++) {
		const struct end *end = &worker->ends[i];

		if (end->number > worker->ends_known)
			list->ends[list->end_count++] = (struct fleet_run_end){
				end->number,
				{talloc_strdup(call, end->task), end->run, "", 0},
				end->how};
	}
	list->more_ends = list->end_count == listed_ends_max;
}

static void send_list(struct sim_worker *worker, struct call *call)
{
	if (worker->faults.cut) {
		fail_call(call, CALL_TIMEOUT_MS, RUNNER_NO_ANSWER, -ERR_DEADLINE);
		return;
	}
	fill_list(worker, call);
	sim_at(call->agent, call, sim_between(1, 3), answer_list, call);
}

static void answer_waiting(struct sim_worker *worker)
{
	while (worker->waiting->len > 0) {
		struct call *call = worker->waiting->pdata[0];

		g_ptr_array_remove_index(worker->waiting, 0);
		send_list(worker, call);
	}
}

static void on_wait_over(void *ctx)
{
	struct call *call = ctx;

	if (g_ptr_array_remove(call->worker->waiting, call))
		send_list(call->worker, call);
}

static int carry_out_renewal(struct sim_worker *worker, struct call *call)
{
	if (call->id && strcmp(call->id, worker->id) != 0)
		return -ERR_STALE;
	if (call->renewal.fence < worker->fence)
		return -ERR_DENIED;
	worker->fence = call->renewal.fence;
	check_lease(worker);
	if (call->renewal.extend)
		extend_lease(worker, call->renewal.lease_end_ms);
	note_ends(worker, call->renewal.ends_known);
	return 0;
}

static enum runner_call_result carry_out(struct call *call)
{
	struct sim_worker *worker = call->worker;

	check_lease(worker);
	if (call->kind == CALL_START)
		return carry_out_start(worker, &call->start);
	if (call->kind == CALL_STOP)
		return carry_out_stop(worker, call->id, call->task, call->start.run,
				      call->start.fence);
	call->status = carry_out_renewal(worker, call);
	return RUNNER_STARTED;
}

/*
 * A late call of a former incarnation reaches a new one only when an agent works with it: nothing
 * that an agent could do keeps it from an incarnation that no agent has reached yet.
 */
static void on_late(void *ctx)
{
	struct call *call = ctx;

	if (call->worker->faults.cut) {
		sim_at(NULL, call, sim_between(100, 1000), on_late, call);
		sim_disturb(0);
		return;
	}
	if (call->worker->up && (call->born == call->worker->born || call->worker->served)) {
		sim_disturb(0);
		sim_print("%s: a late call is carried out: %d %s run %u: %d", call->worker->node,
			  (int)call->kind, call->task ? call->task : "", call->start.run,
			  (int)carry_out(call));
	}
	talloc_free(call);
}

static bool has_unknown_end(const struct sim_worker *worker)
{
	return worker->last_end > worker->ends_known;
}

static struct call *copy_call(const struct call *call)
{
	struct call *copy = talloc_memdup(sim_now, call, sizeof(*call));

	copy->id = call->id ? talloc_strdup(copy, call->id) : NULL;
	copy->task = call->task ? talloc_strdup(copy, call->task) : NULL;
	copy->payload = call->payload ? talloc_strdup(copy, call->payload) : NULL;
	copy->start.worker = copy->id;
	copy->start.task = copy->task;
	copy->start.payload = copy->payload;
	return copy;
}

/* Without a share nothing is drawn, so that days without these faults stay what they are. */
static bool is_misdirected(struct sim_worker *worker)
{
	double share = worker->faults.misdirected;

	worker->misdirected = share > 0 && !worker->misdirected && sim_chance(share);
	return worker->misdirected;
}

static bool is_refused(struct sim_worker *worker)
{
	double share = worker->faults.refused;

	if (share <= 0 || worker->refusing || worker->refused || !sim_chance(share))
		return false;
	worker->refusing = true;
	return true;
}

static bool names_worker(const struct call *call)
{
	return call->kind == CALL_RENEW && call->id && !strcmp(call->id, call->worker->id);
}

static void on_arrival(void *ctx)
{
	struct call *call = ctx;
	struct sim_worker *worker = call->worker;

	if (worker->faults.cut) {
		struct call *late = sim_chance(0.5) ? copy_call(call) : NULL;

		if (late)
			sim_at(NULL, late, sim_between(LATE_MIN_MS, LATE_MAX_MS), on_late, late);
		fail_call(call, CALL_TIMEOUT_MS, RUNNER_NO_ANSWER, -ERR_DEADLINE);
		return;
	}
	if (!worker->up && !worker->dark) {
		fail_call(call, 1, RUNNER_NOT_SENT, -ERR_UNAVAILABLE);
		return;
	}
	if (!worker->up || worker->faults.mute) {
		fail_call(call, CALL_TIMEOUT_MS, RUNNER_NO_ANSWER, -ERR_DEADLINE);
		return;
	}
	if (is_refused(worker)) {
		sim_print("%s: a call is refused", worker->node);
		fail_call(call, 1, RUNNER_NOT_SENT, -ERR_UNAVAILABLE);
		return;
	}
	if (names_worker(call) && is_misdirected(worker)) {
		sim_print("%s: a call is answered as another incarnation", worker->node);
		fail_call(call, sim_between(1, 3), RUNNER_OTHER_INCARNATION, -ERR_STALE);
		return;
	}
	if (sim_chance(worker->faults.late)) {
		struct call *late = copy_call(call);

		sim_at(NULL, late, sim_between(LATE_MIN_MS, LATE_MAX_MS), on_late, late);
		fail_call(call, CALL_TIMEOUT_MS, RUNNER_NO_ANSWER, -ERR_DEADLINE);
		return;
	}
	call->result = carry_out(call);
	worker->served |= worker->leased;
	call->list.clock_ms = worker_clock(worker);
	if (sim_chance(worker->faults.lost))
		fail_call(call, CALL_TIMEOUT_MS, RUNNER_NO_ANSWER, -ERR_DEADLINE);
	else if (call->kind != CALL_RENEW)
		sim_at(call->agent, call, sim_between(1, 3), answer_order, call);
	else if (call->status)
		sim_at(call->agent, call, sim_between(1, 3), answer_list, call);
	else if (!call->renewal.wait_ms || has_unknown_end(worker))
		send_list(worker, call);
	else {
		g_ptr_array_add(worker->waiting, call);
		sim_at(NULL, call, call->renewal.wait_ms, on_wait_over, call);
	}
}

struct calls {
	struct runner_calls calls;
	struct sim_worker *worker;
	struct sim_process *agent;
};

static struct call *create_call(struct runner_calls *impl, const char *id)
{
	struct calls *calls = (struct calls *)impl;
	struct call *call = talloc_zero(sim_now, struct call);

	call->worker = calls->worker;
	call->agent = calls->agent;
	call->born = calls->worker->born;
	call->id = id ? talloc_strdup(call, id) : NULL;
	sim_at(NULL, call, sim_between(0, 3), on_arrival, call);
	return call;
}

static void call_start(void *impl, const struct runner_start *start,
		       void (*done)(enum runner_call_result, uint64_t, void *), void *ctx)
{
	struct call *call = create_call(impl, start->worker);

	call->kind = CALL_START;
	call->task = talloc_strdup(call, start->task);
	call->payload = talloc_strdup(call, start->payload);
	call->start = *start;
	call->start.worker = call->id;
	call->start.task = call->task;
	call->start.payload = call->payload;
	call->order_done = done;
	call->ctx = ctx;
}

static void call_stop(void *impl, const char *id, const char *task, uint32_t run, uint64_t fence,
		      void (*done)(enum runner_call_result, uint64_t, void *), void *ctx)
{
	struct call *call = create_call(impl, id);

	call->kind = CALL_STOP;
	call->task = talloc_strdup(call, task);
	call->start.run = run;
	call->start.fence = fence;
	call->order_done = done;
	call->ctx = ctx;
}

static void call_renew(void *impl, const struct runner_renewal *renewal,
		       void (*done)(int, const struct runner_list *, void *), void *ctx)
{
	struct call *call = create_call(impl, renewal->worker);

	call->kind = CALL_RENEW;
	call->renewal = *renewal;
	call->renewal.worker = call->id;
	call->list_done = done;
	call->ctx = ctx;
}

struct runner_calls *sim_worker_calls(struct sim_worker *worker, struct sim_process *agent)
{
	struct calls *calls = talloc_zero(sim_now, struct calls);

	calls->calls = (struct runner_calls){call_start, call_stop, call_renew, calls, NULL};
	calls->worker = worker;
	calls->agent = agent;
	return &calls->calls;
}

static bool run_is_over(const struct run *run, enum plan_end *how)
{
	const struct gang *gang = run->gang;

	*how = run->fails ? PLAN_END_FAILED : PLAN_END_DONE;
	if (!gang)
		return sim_now_ms() - run->began_ms >= run->work_ms;
	if (gang->broken) {
		*how = PLAN_END_BROKEN;
		return true;
	}
	if (gang->halted)
		return false;
	if (!gang->began_ms) {
		*how = PLAN_END_ALONE;
		return sim_now_ms() - run->began_ms >= GANG_WAIT_MS;
	}
	return sim_now_ms() - gang->began_ms >= work_time(run);
}

/* Returns the run whose time is over, if there is one. */
static struct run *find_over(const struct sim_worker *worker, const struct gang *gang,
			     enum plan_end *how)
{
	struct run *run = worker->runs;

	while (run && (run->stopping || (gang && run->gang != gang) || !run_is_over(run, how)))
		run = run->next;
	return run;
}

/* The members of a gang end as done at the same moment. */
static void end_gang(const struct gang *gang)
{
	enum plan_end how;

	for (guint i = 0; i < workers->len; i++) {
		struct sim_worker *worker = workers->pdata[i];
		struct run *run = find_over(worker, gang, &how);

		for (; run && how == PLAN_END_DONE; run = find_over(worker, gang, &how))
			end_run(worker, run, how);
	}
}

static void on_worker_tick(void *ctx)
{
	struct sim_worker *worker = ctx;
	struct run *run;
	enum plan_end how;

	check_lease(worker);
	while ((run = find_over(worker, NULL, &how))) {
		if (run->gang && how == PLAN_END_DONE)
			end_gang(run->gang);
		else
			end_run(worker, run, how);
	}
	sim_at(NULL, worker->life, 10, on_worker_tick, worker);
}

/* An announcement on its way. */
struct beat {
	struct sim_worker *worker;
	struct runner_announcement announcement;
	bool foreign; /* not of the present incarnation of the worker when it was sent */
};

/* No agent can tell a false announcement with the true identifier and start from a true one. */
static bool is_indistinguishable(const struct beat *beat)
{
	const struct sim_worker *worker = beat->worker;

	return beat->foreign && beat->announcement.started_ms == worker->born &&
	       !strcmp(beat->announcement.id, worker->id);
}

static void deliver_beat(void *ctx)
{
	struct beat *beat = ctx;
	struct sim_worker *worker = beat->worker;

	if (worker->agent && sim_process_alive(worker->agent) && worker->runner &&
	    !is_indistinguishable(beat))
		runner_announced(worker->runner, &beat->announcement, NULL, NULL);
	talloc_free(beat);
}

static void carry_beat(void *ctx)
{
	struct beat *beat = ctx;

	if (!beat->worker->faults.cut && beat->worker->agent &&
	    sim_process_alive(beat->worker->agent))
		sim_at(beat->worker->agent, beat, 0, deliver_beat, beat);
	else
		talloc_free(beat);
}

static struct runner_announcement announce(const struct sim_worker *worker, const char *id,
					   uint64_t born, uint64_t sequence)
{
	return (struct runner_announcement){.id = id,
					    .address = "127.0.0.1:9",
					    .service = "s",
					    .zone = worker->shape.zone,
					    .kind = worker->shape.kind,
					    .rack = worker->shape.rack,
					    .room = worker->shape.room,
					    .accepting = true,
					    .started_ms = born,
					    .sequence = sequence};
}

struct runner_announcement sim_worker_announce(struct sim_worker *worker)
{
	struct runner_announcement announcement;

	if (!worker->up) {
		struct former *former = &worker->former[(worker->former_count - 1) % FORMER_MAX];

		return announce(worker, former->id, former->born, ++former->sequence);
	}
	announcement = announce(worker, worker->id, worker->born, ++worker->sequence);
	announcement.accepting = worker->accepting;
	return announcement;
}

bool sim_worker_former(const struct sim_worker *worker, struct runner_announcement *out)
{
	const struct former *former;

	if (worker->former_count == 0)
		return false;
	former = &worker->former[sim_below((uint32_t)MIN(worker->former_count, FORMER_MAX))];
	*out = announce(worker, former->id, former->born, former->sequence);
	return true;
}

static struct beat *create_beat(struct sim_worker *worker,
				const struct runner_announcement *announcement)
{
	struct beat *beat = talloc_zero(sim_now, struct beat);

	beat->worker = worker;
	beat->announcement = *announcement;
	beat->announcement.id = talloc_strdup(beat, announcement->id);
	return beat;
}

void sim_worker_deliver(struct sim_worker *worker, const struct runner_announcement *announcement,
			uint32_t ms)
{
	struct beat *beat = create_beat(worker, announcement);

	beat->foreign = strcmp(announcement->id, worker->id) != 0 ||
			announcement->started_ms != worker->born;
	sim_print("%s: announcement %" PRIu64 " of %s/%" PRIu64 " arrives in %u ms", worker->node,
		  announcement->sequence, announcement->id, announcement->started_ms, ms);
	sim_at(NULL, beat, ms, carry_beat, beat);
}

static void send_beat(struct sim_worker *worker)
{
	struct runner_announcement announcement = sim_worker_announce(worker);
	struct beat *beat = create_beat(worker, &announcement);

	sim_at(NULL, beat, sim_chance(worker->faults.late_beats) ? sim_between(500, 6000) : 1,
	       carry_beat, beat);
}

static void on_beat(void *ctx)
{
	struct sim_worker *worker = ctx;

	send_beat(worker);
	sim_at(NULL, worker->life, BEAT_MS, on_beat, worker);
}

static void start_worker(void *ctx)
{
	struct sim_worker *worker = ctx;

	worker->up = true;
	worker->accepting = true;
	worker->born = sim_wall_ms(worker->host);
	worker->clock_began_ms = sim_now_ms() - sim_below(500);
	worker->clock_rate = sim_chance(0.5) ? 1 : 0.98;
	worker->sequence = 0;
	worker->fence = 0;
	worker->lease_end = 0;
	worker->leased = false;
	worker->served = false;
	worker->end_count = 0;
	worker->last_end = 0;
	worker->ends_known = 0;
	g_hash_table_remove_all(worker->closed);
	worker->life = talloc_new(sim_now);
	sim_print("%s: worker %s born %lu", worker->node, worker->id, (unsigned long)worker->born);
	sim_at(NULL, worker->life, sim_below(400), on_beat, worker);
	sim_at(NULL, worker->life, 10, on_worker_tick, worker);
}

static int worker_destructor(struct sim_worker *worker)
{
	g_hash_table_destroy(worker->closed);
	g_ptr_array_free(worker->waiting, TRUE);
	return 0;
}

struct sim_worker *sim_worker_create(int host, const char *node, bool guards)
{
	struct sim_worker *worker = talloc_zero(sim_now, struct sim_worker);

	worker->host = host;
	worker->guards = guards;
	worker->shape = (struct sim_worker_shape){"z", "k", "r", {SIM_WORKER_CPU_MILLI, 8000, 8}};
	g_ptr_array_add(workers, worker);
	worker->node = talloc_strdup(worker, node);
	worker->id = talloc_asprintf(worker, "w-%s-%u", node, worker->ids++);
	worker->closed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	worker->waiting = g_ptr_array_new();
	talloc_set_destructor(worker, worker_destructor);
	start_worker(worker);
	return worker;
}

void sim_worker_set_shape(struct sim_worker *worker, const struct sim_worker_shape *shape)
{
	worker->shape = *shape;
}

const struct sim_worker_shape *sim_worker_shape(const struct sim_worker *worker)
{
	return &worker->shape;
}

bool sim_worker_is_usable(const struct sim_worker *worker)
{
	return worker->up && worker->accepting && worker->agent && sim_process_alive(worker->agent);
}

bool sim_worker_is_busy(const struct sim_worker *worker)
{
	return worker->runs != NULL;
}

bool sim_worker_is_served(struct sim_worker *worker)
{
	check_lease(worker);
	return !worker->up || worker->leased;
}

struct sim_worker_faults *sim_worker_faults(struct sim_worker *worker)
{
	return &worker->faults;
}

void sim_worker_attach(struct sim_worker *worker, struct sim_process *agent, struct runner *runner)
{
	worker->agent = agent;
	worker->runner = runner;
	worker->refusing = false;
	worker->refused = false;
}

static void keep_former(struct sim_worker *worker)
{
	worker->former[worker->former_count++ % FORMER_MAX] =
		(struct former){worker->id, worker->born, MAX(worker->sequence, 1)};
}

void sim_worker_crash(struct sim_worker *worker, uint32_t down_ms, bool same_id, bool dark)
{
	if (!worker->up)
		return;
	sim_disturb(down_ms);
	sim_print("%s: worker %s crashes for %u ms%s", worker->node, worker->id, down_ms,
		  same_id ? ", same id" : "");
	for (guint i = 0; i < worker->waiting->len; i++)
		fail_call(worker->waiting->pdata[i], dark ? CALL_TIMEOUT_MS : 1, RUNNER_NO_ANSWER,
			  -ERR_FAILED);
	g_ptr_array_set_size(worker->waiting, 0);
	keep_former(worker);
	for (struct run *run = worker->runs; run; run = run->next) {
		history(run->task)->active--;
		history(run->task)->last_end_ms = sim_now_ms();
		if (on_crashed_run)
			on_crashed_run(run->task, run->number, same_id, dark);
		if (run->gang) {
			run->gang->present--;
			run->gang->broken = true;
		}
	}
	worker->runs = NULL;
	worker->up = false;
	worker->dark = dark;
	TALLOC_FREE(worker->life);
	if (!same_id)
		worker->id = talloc_asprintf(worker, "w-%s-%u", worker->node, worker->ids++);
	sim_at(NULL, worker, down_ms, start_worker, worker);
}

/* Tells the agent that the worker shuts down. */
static void deliver_leaving(void *ctx)
{
	struct beat *beat = ctx;
	struct sim_worker *worker = beat->worker;

	if (worker->agent && sim_process_alive(worker->agent) && worker->runner &&
	    !(beat->foreign && !strcmp(beat->announcement.id, worker->id)))
		runner_leaving(worker->runner, beat->announcement.id);
	talloc_free(beat);
}

static void carry_leaving(void *ctx)
{
	struct beat *beat = ctx;

	if (!beat->worker->faults.cut && beat->worker->agent &&
	    sim_process_alive(beat->worker->agent))
		sim_at(beat->worker->agent, beat, 0, deliver_leaving, beat);
	else
		talloc_free(beat);
}

void sim_worker_deliver_leaving(struct sim_worker *worker, const char *id, uint32_t ms)
{
	const struct runner_announcement announcement = {.id = id};
	struct beat *beat = create_beat(worker, &announcement);

	beat->foreign = true;
	sim_print("%s: word that %s leaves arrives in %u ms", worker->node, id, ms);
	sim_at(NULL, beat, ms, carry_leaving, beat);
}

struct drain {
	struct sim_worker *worker;
	uint32_t down_ms;
};

static void end_drain(void *ctx)
{
	struct drain *drain = ctx;

	sim_worker_crash(drain->worker, drain->down_ms, false, false);
}

static void leave(void *ctx)
{
	struct drain *drain = ctx;
	struct sim_worker *worker = drain->worker;
	struct beat *beat = talloc_zero(sim_now, struct beat);

	sim_print("%s: worker %s leaves", worker->node, worker->id);
	beat->worker = worker;
	beat->announcement.id = talloc_strdup(beat, worker->id);
	if (!worker->faults.cut && worker->agent && sim_process_alive(worker->agent))
		sim_at(worker->agent, beat, 1, deliver_leaving, beat);
	sim_at(NULL, drain, sim_between(1, LEAVING_MAX_MS), end_drain, drain);
}

void sim_worker_drain(struct sim_worker *worker, uint32_t drain_ms, uint32_t down_ms)
{
	struct drain *drain;

	if (!worker->up || !worker->accepting)
		return;
	sim_disturb(drain_ms + LEAVING_MAX_MS);
	sim_print("%s: worker %s drains for %u ms", worker->node, worker->id, drain_ms);
	worker->accepting = false;
	send_beat(worker);
	drain = talloc_zero(worker->life, struct drain);
	drain->worker = worker;
	drain->down_ms = down_ms;
	sim_at(NULL, drain, drain_ms, leave, drain);
}
