#include "lib_planworld.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define TICK_MS 10
#define STOP_MS 200
#define STALL_MS 2500
#define GANG_WAIT_MS 3000

static void record_violation(struct planworld *w, const char *what, const char *task)
{
	if (w->violation)
		return;
	w->violation = what;
	g_strlcpy(w->violation_task, task, sizeof(w->violation_task));
}

struct planworld *planworld_create(TALLOC_CTX *mem, uint32_t workers)
{
	return planworld_create_with_stops(mem, workers, STOP_MS);
}

struct planworld *planworld_create_with_stops(TALLOC_CTX *mem, uint32_t workers, uint32_t stop_ms)
{
	static const char *const names[] = {"urgent", "large", "batch"};
	static struct fleetconf_service service = {.name = "s", .guards = true};
	struct planworld *w = talloc_zero(mem, struct planworld);

	w->params = (struct plan_params){.stop_ms = stop_ms, .stall_ms = STALL_MS};
	for (uint32_t i = 0; i < 3; i++)
		w->queues[i] = (struct fleetconf_queue){.name = names[i],
							.host = "h",
							.prefix = "/",
							.service = "s",
							.priority = i,
							.max_attempts = 3,
							.stretch = 3,
							.allowance_ms = 1000};
	w->organisations[0] =
		(struct fleetconf_organisation){.name = "a", .guaranteed_accelerators = 16};
	w->organisations[1] = (struct fleetconf_organisation){.name = "b"};
	w->conf = (struct fleetconf){.version = 1,
				     .queues = w->queues,
				     .queue_count = 3,
				     .services = &service,
				     .service_count = 1,
				     .organisations = w->organisations,
				     .organisation_count = 2};
	w->now_ms = 100000;
	w->plan = plan_create(w, &w->params);
	plan_configure(w->plan, &w->conf);
	plan_settle(w->plan);
	w->worker_count = workers;
	for (uint32_t i = 0; i < workers; i++) {
		struct pw_worker *worker = &w->workers[i];

		snprintf(worker->node, sizeof(worker->node), "w%u", i);
		snprintf(worker->rack, sizeof(worker->rack), "r%u", i / 3);
		worker->up = true;
		worker->reachable = true;
	}
	return w;
}

static void add_job(struct planworld *w, const char *id, const char *queue,
		    const char *organisation, struct jobspec *spec, bool inherited)
{
	struct plan_job_info info = {.id = id,
				     .queue = queue,
				     .organisation = organisation,
				     .spec = spec,
				     .accepted_ms = w->now_ms,
				     .inherited = inherited};

	plan_job_add(w->plan, &info);
}

void planworld_job(struct planworld *w, const char *id, const char *queue, const char *organisation,
		   const char *steps_json)
{
	char *text = talloc_asprintf(w, "{\"payload\":\"p\",\"steps\":%s}", steps_json);
	json_t *json = json_loads(text, 0, NULL);
	struct err err = {0};
	struct jobspec *spec = jobspec_read(w, json, &jobspec_own_names, &err);
	struct pw_job *job = &w->jobs[w->job_count++ % PW_JOBS_MAX];

	json_decref(json);
	if (!spec) {
		record_violation(w, err.message, id);
		return;
	}
	g_strlcpy(job->id, id, sizeof(job->id));
	g_strlcpy(job->queue, queue, sizeof(job->queue));
	g_strlcpy(job->organisation, organisation, sizeof(job->organisation));
	job->text = text;
	add_job(w, id, queue, organisation, spec, false);
}

static struct pw_run *find_run(struct planworld *w, uint32_t worker, const char *task, uint32_t run)
{
	for (uint32_t i = 0; i < w->run_count; i++) {
		struct pw_run *r = &w->runs[i];

		if (r->present && r->worker == worker && r->run == run && !strcmp(r->task, task))
			return r;
	}
	return NULL;
}

static bool is_done(const struct planworld *w, const char *task)
{
	for (uint32_t i = 0; i < w->done_count; i++) {
		if (!strcmp(w->done_tasks[i], task))
			return true;
	}
	return false;
}

static void check_start(struct planworld *w, const struct plan_order *order, uint32_t worker,
			const struct jobspec_step *step)
{
	struct plan_room used = {0};

	if (is_done(w, order->task))
		record_violation(w, "a task started again after it was done", order->task);
	for (uint32_t i = 0; i < w->run_count; i++) {
		const struct pw_run *r = &w->runs[i];

		if (!r->present)
			continue;
		if (!strcmp(r->task, order->task) && w->workers[r->worker].up)
			record_violation(w, "a task runs twice at a time", order->task);
		if (r->worker != worker)
			continue;
		used.cpu_milli += r->need.cpu_milli;
		used.memory_mb += r->need.memory_mb;
		used.accelerators += r->need.accelerators;
	}
	if (used.accelerators + step->accelerators > 8 ||
	    used.cpu_milli + step->cpu_milli > 128000 || used.memory_mb + step->memory_mb > 524288)
		record_violation(w, "a worker is over its room", order->task);
	if (w->workers[worker].draining)
		record_violation(w, "a start on a draining worker", order->task);
}

static struct jobspec *job_spec(const struct planworld *w, TALLOC_CTX *mem, const char *task)
{
	for (uint32_t i = 0; i < w->job_count && i < PW_JOBS_MAX; i++) {
		size_t len = strlen(w->jobs[i].id);
		json_t *json;
		struct jobspec *spec;

		if (strncmp(w->jobs[i].id, task, len) != 0 || task[len] != '.')
			continue;
		json = json_loads(w->jobs[i].text, 0, NULL);
		spec = jobspec_read(mem, json, &jobspec_own_names, NULL);
		json_decref(json);
		return spec;
	}
	return NULL;
}

static void start_run(struct planworld *w, const struct plan_order *order, uint32_t worker)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct jobspec *spec = job_spec(w, mem, order->task);
	const struct jobspec_step *step;
	unsigned int number;
	struct pw_run *r;

	sscanf(order->task, "%*[^.].%*u.%u", &number);
	step = &spec->steps[number];
	check_start(w, order, worker, step);
	r = &w->runs[w->run_count];
	for (uint32_t i = 0; i < w->run_count; i++) {
		if (!w->runs[i].present)
			r = &w->runs[i];
	}
	if (r == &w->runs[w->run_count])
		w->run_count++;
	*r = (struct pw_run){.run = order->run,
			     .worker = worker,
			     .need = {step->cpu_milli, step->memory_mb, step->accelerators},
			     .began_ms = w->now_ms,
			     .duration_ms = step->estimate_ms,
			     .gang = step->gang ? step->count : 0,
			     .present = true};
	g_strlcpy(r->task, order->task, sizeof(r->task));
	w->starts++;
	talloc_free(mem);
}

static void end_run(struct planworld *w, struct pw_run *r, enum plan_end how)
{
	struct pw_end *end = &w->ends[w->end_count++ % PW_RUNS_MAX];

	*end = (struct pw_end){
		.how = how, .worker = r->worker, .incarnation = w->workers[r->worker].incarnation};
	g_strlcpy(end->task, r->task, sizeof(end->task));
	end->run = (struct plan_run){end->task, r->run, "", 0};
	r->present = false;
}

static void carry_out_orders(struct planworld *w, uint32_t worker)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct plan_order *orders;
	size_t count = plan_orders(w->plan, mem, w->workers[worker].node, &orders);

	for (size_t i = 0; i < count; i++) {
		struct pw_run *r = find_run(w, worker, orders[i].task, orders[i].run);

		if (orders[i].start && !r && w->workers[worker].draining) {
			struct plan_run run = {orders[i].task, orders[i].run, "", 0};

			plan_worker_refused(w->plan, w->workers[worker].node, &run,
					    PLAN_REFUSED_OTHER, w->now_ms);
		} else if (orders[i].start && !r) {
			start_run(w, &orders[i], worker);
		} else if (!orders[i].start && r && !r->stopping) {
			r->stopping = true;
			r->began_ms = w->now_ms;
			w->stops++;
		} else if (!orders[i].start && !r) {
			struct plan_run run = {orders[i].task, orders[i].run, "", 0};

			plan_worker_refused(w->plan, w->workers[worker].node, &run,
					    PLAN_REFUSED_STALE, w->now_ms);
		}
	}
	talloc_free(mem);
}

static void report_worker(struct planworld *w, uint32_t worker)
{
	const struct pw_worker *p = &w->workers[worker];
	char incarnation[32];
	struct plan_worker_info info = {.node = p->node,
					.id = p->node,
					.incarnation = incarnation,
					.service = "s",
					.zone = "z",
					.kind = "k",
					.rack = p->rack,
					.room = {128000, 524288, 8},
					.accepting = !p->draining};

	snprintf(incarnation, sizeof(incarnation), "%s/%u", p->node, p->incarnation);
	plan_worker_update(w->plan, &info, w->now_ms);
	for (uint32_t i = 0; i < w->end_count && i < PW_RUNS_MAX; i++) {
		struct pw_end *end = &w->ends[i];

		if (end->worker != worker || end->incarnation != p->incarnation)
			continue;
		plan_worker_ended(w->plan, p->node, &end->run, end->how, w->now_ms);
		if (end->how == PLAN_END_DONE && !end->reported)
			g_strlcpy(w->done_tasks[w->done_count++ % PW_RUNS_MAX], end->task,
				  sizeof(w->done_tasks[0]));
		end->reported = true;
	}
	for (uint32_t i = 0; i < w->run_count; i++) {
		const struct pw_run *r = &w->runs[i];
		struct plan_run run = {r->task, r->run, "", 0};

		if (!r->present || r->worker != worker)
			continue;
		if (r->duration_ms > 0 && !p->stalls)
			run.percent = (uint32_t)(r->work_done_ms * 100 / (double)r->duration_ms);
		if (run.percent > 100)
			run.percent = 100;
		plan_worker_running(w->plan, p->node, &run, w->now_ms);
	}
	plan_worker_listed(w->plan, p->node, w->now_ms);
}

static bool same_gang(const struct pw_run *a, const struct pw_run *b)
{
	size_t len = (size_t)(strrchr(a->task, '.') - a->task) + 1;

	return b->present && a->run == b->run && !strncmp(a->task, b->task, len);
}

/* Members of a gang work from the moment when all are there. */
static bool gang_complete(struct planworld *w, const struct pw_run *r, uint64_t *since_ms)
{
	uint32_t count = 0;

	*since_ms = r->began_ms;
	for (uint32_t i = 0; i < w->run_count; i++) {
		const struct pw_run *other = &w->runs[i];

		if (!same_gang(r, other) || other->stopping)
			continue;
		count++;
		if (other->began_ms > *since_ms)
			*since_ms = other->began_ms;
	}
	return count == r->gang;
}

static void end_gang(struct planworld *w, const struct pw_run *r, enum plan_end how)
{
	for (uint32_t i = 0; i < w->run_count; i++) {
		struct pw_run *other = &w->runs[i];

		if (other != r && same_gang(r, other) && !other->stopping)
			end_run(w, other, how);
	}
}

/* Members end together, when the slowest is through. */
static bool is_finished(struct planworld *w, const struct pw_run *r)
{
	for (uint32_t i = 0; r->gang && i < w->run_count; i++) {
		const struct pw_run *other = &w->runs[i];

		if (same_gang(r, other) && other->work_done_ms < (double)other->duration_ms)
			return false;
	}
	return r->work_done_ms >= (double)r->duration_ms;
}

static void advance_run(struct planworld *w, struct pw_run *r)
{
	const struct pw_worker *p = &w->workers[r->worker];
	uint64_t since_ms = r->began_ms;
	bool whole = r->gang == 0 || r->stopping || gang_complete(w, r, &since_ms);
	uint64_t passed = w->now_ms - since_ms;
	struct pw_run copy = *r;

	if (whole && !p->stalls)
		r->work_done_ms += (double)TICK_MS / (p->slowdown > 1 ? p->slowdown : 1);

	if (r->stopping && passed >= w->params.stop_ms) {
		end_run(w, r, PLAN_END_STOPPED);
	} else if (!r->stopping && !whole && w->now_ms - r->began_ms >= GANG_WAIT_MS) {
		end_run(w, r, PLAN_END_ALONE);
	} else if (!r->stopping && whole && p->fails && passed >= 30) {
		end_run(w, r, PLAN_END_FAILED);
		if (copy.gang)
			end_gang(w, &copy, PLAN_END_BROKEN);
	} else if (!r->stopping && whole && !p->stalls && !p->fails && is_finished(w, r)) {
		end_run(w, r, PLAN_END_DONE);
		if (copy.gang)
			end_gang(w, &copy, PLAN_END_DONE);
	}
}

static void advance_runs(struct planworld *w)
{
	for (uint32_t i = 0; i < w->run_count; i++) {
		if (w->runs[i].present)
			advance_run(w, &w->runs[i]);
	}
}

void planworld_run(struct planworld *w, uint32_t ms)
{
	for (uint32_t passed = 0; passed < ms; passed += TICK_MS) {
		w->now_ms += TICK_MS;
		advance_runs(w);
		for (uint32_t i = 0; i < w->worker_count; i++) {
			if (w->workers[i].up && w->workers[i].reachable)
				report_worker(w, i);
		}
		plan_decide(w->plan, w->now_ms, NULL, NULL);
		for (uint32_t i = 0; i < w->worker_count; i++) {
			if (w->workers[i].up && w->workers[i].reachable)
				carry_out_orders(w, i);
		}
	}
}

uint32_t planworld_count(const struct planworld *w, const char *prefix)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < w->run_count; i++)
		count += w->runs[i].present && !w->runs[i].stopping &&
			 g_str_has_prefix(w->runs[i].task, prefix);
	return count;
}

int planworld_state(const struct planworld *w, const char *id)
{
	enum plan_job_state state;

	return plan_job_known(w->plan, id, &state) ? (int)state : -1;
}

void planworld_restart(struct planworld *w, bool settle_first)
{
	struct plan *fresh = plan_create(w, &w->params);
	struct plan *old = w->plan;

	plan_configure(fresh, &w->conf);
	w->plan = fresh;
	for (uint32_t i = 0; i < w->job_count && i < PW_JOBS_MAX; i++) {
		const struct pw_job *job = &w->jobs[i];
		json_t *record = plan_job_record(old, job->id);
		json_t *json = json_loads(job->text, 0, NULL);

		if (record) {
			add_job(w, job->id, job->queue, job->organisation,
				jobspec_read(w, json, &jobspec_own_names, NULL), true);
			if (plan_job_restore(fresh, job->id, record))
				record_violation(w, "a record cannot be read", job->id);
		}
		json_decref(record);
		json_decref(json);
	}
	plan_run_floor(fresh, 100);
	if (settle_first)
		plan_settle(fresh);
}

void planworld_crash(struct planworld *w, uint32_t worker)
{
	w->workers[worker].incarnation++;
	for (uint32_t i = 0; i < w->run_count; i++) {
		if (w->runs[i].worker == worker)
			w->runs[i].present = false;
	}
}
