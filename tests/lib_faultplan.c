#include "lib_faultplan.h"
#include "util.h"

#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#define EVENTS_MAX 64
#define TICK_US 20000
#define DURATION_MIN_MS 1000
#define DURATION_MAX_MS 8000
#define RESTART_TIMEOUT_MS 30000
#define BURST_JOBS 16
#define WORKERS_PER_RACK 3 /* as lib_cluster.c names them */
#define OBJECT_COUNT (CLUSTER_ENTRIES_MAX + CLUSTER_TARGETS_MAX + 1)
#define OBJECT_STORE (OBJECT_COUNT - 1)

enum scope {
	SCOPE_ENTRY,
	SCOPE_ALL_ENTRIES,
	SCOPE_RACK,   /* three workers with their agents */
	SCOPE_TARGET, /* instance or worker, with its agent */
	SCOPE_INSTANCE,
	SCOPE_WORKER,
	SCOPE_STORE,
	SCOPE_CALLERS,
};

struct event {
	uint64_t at_ms; /* since the start of the plan */
	uint64_t duration_ms;
	uint64_t began_ms; /* by util_clock_ms(); 0 if not begun */
	const struct kind *kind;
	unsigned int index;
	unsigned int span; /* number of entries or targets from index on */
	uint32_t value;	   /* random; the kind derives the strength from it */
	bool ended;
};

struct kind {
	const char *name;
	enum scope scope;
	bool (*begin)(struct faultplan *plan, struct event *event);
	/* NULL if the failure ends by itself; returns false to be called again later */
	bool (*heal)(struct faultplan *plan, struct event *event);
};

struct faultplan {
	struct faultplan_context *context;
	struct event events[EVENTS_MAX];
	unsigned int count;
	uint64_t began_ms;
	json_t *leaving[CLUSTER_TARGETS_MAX]; /* last history read from a leaving target */
	bool entry_up[CLUSTER_ENTRIES_MAX];
	bool store_up;
	bool broken; /* a process could not be restarted */
};

static struct cluster_target *target_of(struct faultplan *plan, unsigned int index)
{
	return &plan->context->cluster->targets[index];
}

/*
 * An entry can learn of a revision while it runs and reaches the store or another entry. Call on
 * each change of this: the time allowed for learning then starts anew for every such entry.
 */
static void update_available(struct faultplan *plan)
{
	const struct cluster *cluster = plan->context->cluster;
	unsigned int up = 0;

	for (unsigned int i = 0; i < cluster->entry_count; i++)
		up += plan->entry_up[i];
	for (unsigned int i = 0; i < cluster->entry_count; i++) {
		bool available = plan->entry_up[i] && (plan->store_up || up > 1);

		faultload_set_available_since(plan->context->load, i,
					      available ? util_clock_ms() : 0);
	}
}

/* Starts on a copy, as other threads read the cluster: its addresses change in one step. */
static bool restart_process(struct faultplan *plan,
			    bool (*start)(struct cluster *cluster, unsigned int index),
			    unsigned int index)
{
	struct cluster *cluster = plan->context->cluster;
	struct cluster *scratch = g_memdup2(cluster, sizeof(*cluster));
	bool ok = start(scratch, index);

	faultload_lock(plan->context->load);
	*cluster = *scratch;
	faultload_unlock(plan->context->load);
	g_free(scratch);
	if (!ok)
		plan->broken = true;
	return ok;
}

/* Adds the history of a stand-in that ended at a time to all checks; takes over the reference. */
static void keep_history(struct faultplan *plan, unsigned int index, json_t *history,
			 uint64_t ended_ms)
{
	for (guint i = 0; i < plan->context->caller_groups->len; i++)
		callers_add_history(g_ptr_array_index(plan->context->caller_groups, i), history);
	faultcheck_add(plan->context->check, target_of(plan, index)->name, history, ended_ms);
	json_decref(history);
}

static uint64_t last_start_ms(json_t *history)
{
	static const char *const lists[] = {"requests", "tasks"};
	uint64_t last = 0;
	json_t *item;
	size_t i;

	for (size_t l = 0; l < G_N_ELEMENTS(lists); l++) {
		json_array_foreach(json_object_get(history, lists[l]), i, item)
		{
			uint64_t at =
				(uint64_t)json_integer_value(json_object_get(item, "started_ms"));

			if (at > last)
				last = at;
		}
	}
	return last;
}

static void record_last_start(struct faultplan *plan, const struct event *event, json_t *history)
{
	uint64_t last = last_start_ms(history);
	double after = last > event->began_ms ? (double)(last - event->began_ms) / 1000.0 : 0;

	if (after > plan->context->after_leave_s_max)
		plan->context->after_leave_s_max = after;
	if (after > 2)
		fprintf(stderr, "%s: last start %.2f s after %s\n",
			target_of(plan, event->index)->name, after, event->kind->name);
}

static bool kill_entry(struct faultplan *plan, struct event *event)
{
	for (unsigned int i = event->index; i < event->index + event->span; i++) {
		proc_kill(&plan->context->cluster->entries[i]);
		plan->entry_up[i] = false;
	}
	update_available(plan);
	return true;
}

static bool entry_is_ready(void *ctx)
{
	const struct faultplan *plan = ((void **)ctx)[0];
	const unsigned int *index = ((void **)ctx)[1];
	char url[128];
	struct http_reply reply;
	bool ok;

	snprintf(url, sizeof(url), "http://%s/readyz",
		 plan->context->cluster->entries[*index].address[0]);
	reply = http_call("GET", url, NULL, NULL, 1000);
	ok = reply.status == 200;
	http_reply_free(&reply);
	return ok;
}

static bool start_entry(struct faultplan *plan, struct event *event)
{
	for (unsigned int i = event->index; i < event->index + event->span; i++) {
		restart_process(plan, cluster_start_entry, i);
		plan->entry_up[i] = true;
	}
	update_available(plan);
	return true;
}

static bool freeze_entry(struct faultplan *plan, struct event *event)
{
	plan->entry_up[event->index] = false;
	update_available(plan);
	proc_signal(&plan->context->cluster->entries[event->index], SIGSTOP);
	return true;
}

static bool thaw_entry(struct faultplan *plan, struct event *event)
{
	proc_signal(&plan->context->cluster->entries[event->index], SIGCONT);
	plan->entry_up[event->index] = true;
	update_available(plan);
	return true;
}

static bool kill_agent(struct faultplan *plan, struct event *event)
{
	proc_kill(&target_of(plan, event->index)->agent);
	return true;
}

/* The stand-in would go on announcing to the old agent's address, so it is restarted as well. */
static bool replace_host(struct faultplan *plan, struct event *event)
{
	struct cluster_target *target = target_of(plan, event->index);
	json_t *history;

	proc_kill(&target->agent);
	if (target->process.pid > 0) {
		history = cluster_history(&target->process);
		proc_kill(&target->process);
		keep_history(plan, event->index, history, util_clock_ms());
	}
	restart_process(plan, cluster_start_target, event->index);
	return true;
}

static bool freeze_agent(struct faultplan *plan, struct event *event)
{
	proc_signal(&target_of(plan, event->index)->agent, SIGSTOP);
	return true;
}

static bool thaw_agent(struct faultplan *plan, struct event *event)
{
	struct cluster_target *target = target_of(plan, event->index);
	json_t *history = cluster_history(&target->process);

	record_last_start(plan, event, history);
	json_decref(history);
	proc_signal(&target->agent, SIGCONT);
	return true;
}

/* The agent is stopped meanwhile, so that it forwards no answer after the history was read. */
static bool kill_target(struct faultplan *plan, struct event *event)
{
	struct cluster_target *target = target_of(plan, event->index);
	json_t *history;

	proc_signal(&target->agent, SIGSTOP);
	history = cluster_history(&target->process);
	proc_kill(&target->process);
	proc_signal(&target->agent, SIGCONT);
	keep_history(plan, event->index, history, util_clock_ms());
	return true;
}

/* Kills the stand-ins and agents of several hosts at nearly the same time. */
static bool kill_hosts(struct faultplan *plan, struct event *event)
{
	for (unsigned int i = event->index; i < event->index + event->span; i++)
		proc_signal(&target_of(plan, i)->agent, SIGSTOP);
	for (unsigned int i = event->index; i < event->index + event->span; i++) {
		struct cluster_target *target = target_of(plan, i);
		json_t *history = cluster_history(&target->process);

		proc_kill(&target->process);
		keep_history(plan, i, history, util_clock_ms());
		proc_kill(&target->agent);
	}
	return true;
}

static bool start_hosts(struct faultplan *plan, struct event *event)
{
	for (unsigned int i = event->index; i < event->index + event->span; i++)
		restart_process(plan, cluster_start_target, i);
	return true;
}

static bool start_stand_in(struct faultplan *plan, struct event *event)
{
	restart_process(plan, cluster_start_stand_in, event->index);
	return true;
}

static bool freeze_target(struct faultplan *plan, struct event *event)
{
	proc_signal(&target_of(plan, event->index)->process, SIGSTOP);
	return true;
}

static bool thaw_target(struct faultplan *plan, struct event *event)
{
	struct cluster_target *target = target_of(plan, event->index);

	faultcheck_add_freeze(plan->context->check, target->name, event->began_ms, util_clock_ms());
	proc_signal(&target->process, SIGCONT);
	return true;
}

static bool start_leave(struct faultplan *plan, struct event *event)
{
	proc_signal(&target_of(plan, event->index)->process, SIGTERM);
	return true;
}

/* Reads the history of a leaving target until it has ended, and restarts it after the duration. */
static bool poll_leaving_target(struct faultplan *plan, struct event *event)
{
	struct cluster_target *target = target_of(plan, event->index);
	json_t *history = target->process.pid > 0 ? cluster_history(&target->process) : NULL;

	if (history) {
		json_decref(plan->leaving[event->index]);
		plan->leaving[event->index] = history;
	}
	if (target->process.pid > 0) {
		if (waitpid(target->process.pid, NULL, WNOHANG) == 0)
			return false;
		target->process.pid = 0;
		record_last_start(plan, event, plan->leaving[event->index]);
		keep_history(plan, event->index, plan->leaving[event->index], util_clock_ms());
		plan->leaving[event->index] = NULL;
	}
	if (util_clock_ms() < event->began_ms + event->duration_ms)
		return false;
	return start_stand_in(plan, event);
}

static bool set_store_fault(struct faultplan *plan, bool up, const char *fault)
{
	cluster_set_fault(&plan->context->cluster->store, fault);
	if (plan->store_up != up) {
		plan->store_up = up;
		update_available(plan);
	}
	return true;
}

static bool store_down(struct faultplan *plan, struct event *event)
{
	return set_store_fault(plan, false, "{\"down\":true}");
}

static bool store_slow(struct faultplan *plan, struct event *event)
{
	char fault[64];

	snprintf(fault, sizeof(fault), "{\"slow_ms\":%u}", 200 + event->value % 1300);
	return set_store_fault(plan, true, fault);
}

static bool store_closes_connections(struct faultplan *plan, struct event *event)
{
	return set_store_fault(plan, false, "{\"close\":true}");
}

static bool store_heal(struct faultplan *plan, struct event *event)
{
	return set_store_fault(plan, true,
			       "{\"down\":false,\"close\":false,\"slow_ms\":0,\"lose_answers\":0}");
}

static bool store_loses_answers(struct faultplan *plan, struct event *event)
{
	char fault[64];

	snprintf(fault, sizeof(fault), "{\"lose_answers\":%u}", 1 + event->value % 8);
	return set_store_fault(plan, true, fault);
}

static bool expire_leases(struct faultplan *plan, struct event *event)
{
	return set_store_fault(plan, true, "{\"expire_leases\":true}");
}

static bool fail_starts(struct faultplan *plan, struct event *event)
{
	cluster_set_fault(&target_of(plan, event->index)->process, "{\"fail_starts\":true}");
	return true;
}

static bool clear_target_faults(struct faultplan *plan, struct event *event)
{
	cluster_set_fault(&target_of(plan, event->index)->process,
			  "{\"fail_starts\":false,\"cut_after\":0,\"slow_ms\":0,"
			  "\"delay_answers\":false}");
	return true;
}

static bool cut_answers(struct faultplan *plan, struct event *event)
{
	char fault[64];

	snprintf(fault, sizeof(fault), "{\"cut_after\":%u}", 1 + event->value % 40);
	cluster_set_fault(&target_of(plan, event->index)->process, fault);
	return true;
}

static bool slow_target(struct faultplan *plan, struct event *event)
{
	cluster_set_fault(&target_of(plan, event->index)->process,
			  "{\"slow_ms\":400,\"delay_answers\":true}");
	return true;
}

static bool start_job_burst(struct faultplan *plan, struct event *event)
{
	faultload_burst(plan->context->load, BURST_JOBS);
	return true;
}

/* Ends by itself, as each caller sends a fixed number of requests. */
static bool start_request_burst(struct faultplan *plan, struct event *event)
{
	const struct callers_options options = {
		.threads = CALLERS_MAX,
		.requests_per_thread = 1 + event->value % 20,
		.work_ms = 50,
		.class_name = "net-angle-check",
		.idempotent = "no",
		.balanced = true,
	};

	g_ptr_array_add(plan->context->caller_groups,
			callers_start(plan->context->cluster, &options));
	return true;
}

static const struct kind kinds[] = {
	{"entry killed", SCOPE_ENTRY, kill_entry, start_entry},
	{"entry frozen", SCOPE_ENTRY, freeze_entry, thaw_entry},
	{"agent killed", SCOPE_TARGET, kill_agent, replace_host},
	{"agent frozen", SCOPE_TARGET, freeze_agent, thaw_agent},
	{"target killed", SCOPE_TARGET, kill_target, start_stand_in},
	{"target frozen", SCOPE_TARGET, freeze_target, thaw_target},
	{"target leaves", SCOPE_TARGET, start_leave, poll_leaving_target},
	{"host killed", SCOPE_TARGET, kill_hosts, start_hosts},
	{"rack lost", SCOPE_RACK, kill_hosts, start_hosts},
	{"all entries killed", SCOPE_ALL_ENTRIES, kill_entry, start_entry},
	{"store down", SCOPE_STORE, store_down, store_heal},
	{"store slow", SCOPE_STORE, store_slow, store_heal},
	{"store closes connections", SCOPE_STORE, store_closes_connections, store_heal},
	{"store loses answers", SCOPE_STORE, store_loses_answers, store_heal},
	{"leases lapse", SCOPE_STORE, expire_leases, NULL},
	{"worker fails starts", SCOPE_WORKER, fail_starts, clear_target_faults},
	{"instance cuts answers", SCOPE_INSTANCE, cut_answers, clear_target_faults},
	{"instance slow and out of order", SCOPE_INSTANCE, slow_target, clear_target_faults},
	{"burst of jobs and cancellations", SCOPE_CALLERS, start_job_burst, NULL},
	{"burst of requests", SCOPE_CALLERS, start_request_burst, NULL},
};

static unsigned int pick_object_index(const struct cluster *cluster, enum scope scope, GRand *rand)
{
	unsigned int instances = 0;
	int from = 0;
	int until = 1;

	while (instances < cluster->target_count && !cluster->targets[instances].is_worker)
		instances++;
	if (scope == SCOPE_ENTRY)
		until = (int)cluster->entry_count;
	if (scope == SCOPE_TARGET || scope == SCOPE_WORKER)
		until = (int)cluster->target_count;
	if (scope == SCOPE_INSTANCE)
		until = (int)instances;
	if (scope == SCOPE_WORKER)
		from = (int)instances;
	if (scope == SCOPE_RACK) {
		int racks = (int)(cluster->target_count - instances) / WORKERS_PER_RACK;

		return instances +
		       WORKERS_PER_RACK * (unsigned int)g_rand_int_range(rand, 0, racks);
	}
	return (unsigned int)g_rand_int_range(rand, from, until);
}

static unsigned int first_object(const struct event *event)
{
	if (event->kind->scope == SCOPE_STORE || event->kind->scope == SCOPE_CALLERS)
		return OBJECT_STORE;
	return event->kind->scope == SCOPE_ENTRY || event->kind->scope == SCOPE_ALL_ENTRIES
		       ? event->index
		       : CLUSTER_ENTRIES_MAX + event->index;
}

static struct event pick_event(const struct cluster *cluster, GRand *rand, uint64_t at_ms)
{
	struct event event = {
		.at_ms = at_ms,
		.kind = &kinds[g_rand_int_range(rand, 0, G_N_ELEMENTS(kinds))],
		.duration_ms =
			(uint64_t)g_rand_int_range(rand, DURATION_MIN_MS, DURATION_MAX_MS + 1),
	};

	event.index = pick_object_index(cluster, event.kind->scope, rand);
	event.span = 1;
	if (event.kind->scope == SCOPE_RACK)
		event.span = WORKERS_PER_RACK;
	if (event.kind->scope == SCOPE_ALL_ENTRIES)
		event.span = cluster->entry_count;
	event.value = g_rand_int(rand);
	return event;
}

/* Each object has one failure at a time, with time to recover in between. */
static bool reserve_objects(uint64_t *busy_until, const struct event *event)
{
	unsigned int object = first_object(event);

	for (unsigned int i = object; i < object + event->span; i++) {
		if (busy_until[i] > event->at_ms)
			return false;
	}
	for (unsigned int i = object; i < object + event->span; i++)
		busy_until[i] = event->at_ms + event->duration_ms + 2 * DURATION_MIN_MS;
	return true;
}

struct faultplan *faultplan_create(struct faultplan_context *context, uint64_t seed,
				   uint64_t start_ms, uint64_t end_ms)
{
	struct faultplan *plan = g_new0(struct faultplan, 1);
	GRand *rand = g_rand_new_with_seed((guint32)seed);
	uint64_t busy_until[OBJECT_COUNT] = {0};
	uint64_t at = start_ms;

	plan->context = context;
	plan->store_up = true;
	for (unsigned int i = 0; i < context->cluster->entry_count; i++)
		plan->entry_up[i] = true;
	while (at < end_ms && plan->count < EVENTS_MAX) {
		struct event event = pick_event(context->cluster, rand, at);

		if (reserve_objects(busy_until, &event))
			plan->events[plan->count++] = event;
		/* On average every third failure begins at the same time as the one before. */
		if (g_rand_int_range(rand, 0, 3) > 0)
			at += (uint64_t)g_rand_int_range(rand, 1000, 5000);
	}
	g_rand_free(rand);
	return plan;
}

static void advance_event(struct faultplan *plan, struct event *event)
{
	uint64_t now = util_clock_ms();

	if (event->ended || now < plan->began_ms + event->at_ms)
		return;
	if (!event->began_ms) {
		event->began_ms = now;
		event->kind->begin(plan, event);
		event->ended = !event->kind->heal;
		return;
	}
	if (now < event->began_ms + event->duration_ms && event->kind->heal != poll_leaving_target)
		return;
	event->ended = event->kind->heal(plan, event);
}

bool faultplan_run(struct faultplan *plan)
{
	bool pending = true;

	plan->began_ms = util_clock_ms();
	while (pending && !plan->broken) {
		pending = false;
		for (unsigned int i = 0; i < plan->count; i++) {
			advance_event(plan, &plan->events[i]);
			pending = pending || !plan->events[i].ended;
		}
		g_usleep(TICK_US);
	}
	for (unsigned int i = 0; i < plan->context->cluster->entry_count && !plan->broken; i++) {
		void *ctx[2] = {plan, &i};

		plan->broken = !wait_until(entry_is_ready, ctx, RESTART_TIMEOUT_MS);
	}
	return !plan->broken;
}

json_t *faultplan_events(const struct faultplan *plan)
{
	json_t *list = json_array();

	for (unsigned int i = 0; i < plan->count; i++) {
		const struct event *event = &plan->events[i];
		const char *name = "";

		if (event->kind->scope == SCOPE_ENTRY || event->kind->scope == SCOPE_ALL_ENTRIES)
			name = plan->context->cluster->entries[event->index].name;
		else if (event->kind->scope != SCOPE_STORE && event->kind->scope != SCOPE_CALLERS)
			name = plan->context->cluster->targets[event->index].name;
		json_array_append_new(list, json_pack("{s:s, s:s, s:I, s:I, s:I}", "kind",
						      event->kind->name, "at", name, "at_ms",
						      (json_int_t)event->at_ms, "duration_ms",
						      (json_int_t)event->duration_ms, "clock_ms",
						      (json_int_t)event->began_ms));
	}
	return list;
}

void faultplan_free(struct faultplan *plan)
{
	g_free(plan);
}
