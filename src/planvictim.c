#include "plan_int.h"

/*
 * What evictions have cost each task. Made for days on which a burst of urgent gangs stops the
 * same independent tasks and lower gangs again and again: what a task has lost protects it.
 * The counts are not stored; a new leader begins without them.
 */

const char *plan_evict_reason_name(enum plan_evict_reason reason)
{
	static const char *const names[PLAN_EVICT_COUNT] = {
		[PLAN_EVICT_GUARANTEE] = "guarantee",
		[PLAN_EVICT_URGENT] = "urgent",
		[PLAN_EVICT_LATENCY] = "latency",
	};

	return names[reason];
}

static const char *stop_text(enum plan_evict_reason reason)
{
	static const char *const texts[PLAN_EVICT_COUNT] = {
		[PLAN_EVICT_GUARANTEE] = "evicted for a job within its guarantee",
		[PLAN_EVICT_URGENT] = "evicted for an urgent job",
		[PLAN_EVICT_LATENCY] = "gives way to a task with a latency target",
	};

	return texts[reason];
}

void plan_on_evict(struct plan *plan,
		   void (*evicted)(const struct plan_eviction *eviction, void *ctx), void *ctx)
{
	plan->on_evict = evicted;
	plan->on_evict_ctx = ctx;
}

bool plan_is_protected(const struct task *task)
{
	return task->evictions >= PLAN_EVICTIONS_MAX && !task->step->spec->long_running;
}

static void report_eviction(struct plan *plan, const struct task *task, const struct step_run *step,
			    enum plan_evict_reason reason, uint64_t now_ms)
{
	char name[TASK_NAME_MAX];
	struct plan_eviction eviction = {
		.task = task->name,
		.run = task->run,
		.node = task->worker->node,
		.step = name,
		.reason = reason,
		.age_ms = now_ms - task->assigned_ms,
		.before = task->evictions,
		.known = step->occurrence->job->accepted_ms <= task->assigned_ms,
	};

	if (!plan->on_evict)
		return;
	plan_step_name(step, name);
	plan->on_evict(&eviction, plan->on_evict_ctx);
}

/* Members of a gang that do not run are counted too, so that all have the same protection. */
static void count_eviction(struct plan *plan, struct task *task, const struct step_run *step,
			   enum plan_evict_reason reason, uint64_t now_ms)
{
	const struct jobspec_step *spec = task->step->spec;

	if (task->state == TASK_STARTING || task->state == TASK_RUNNING) {
		report_eviction(plan, task, step, reason, now_ms);
		if (!spec->checkpoints)
			task->evicted_work += plan_resource_weight(spec) *
					      (double)(now_ms - task->began_ms) / 1000.0;
	}
	task->evictions++;
	plan->has_protected = plan->has_protected || plan_is_protected(task);
}

void plan_evict_task(struct plan *plan, struct task *task, const struct step_run *step,
		     enum plan_evict_reason reason, uint64_t now_ms)
{
	struct step_run *own = task->step;

	if (!own->spec->gang)
		count_eviction(plan, task, step, reason, now_ms);
	for (uint32_t i = 0; own->spec->gang && i < own->spec->count; i++)
		count_eviction(plan, &own->tasks[i], step, reason, now_ms);
	plan_displace_task(plan, task, stop_text(reason), now_ms);
}

char *plan_explain_evictions(const struct job *job, TALLOC_CTX *mem)
{
	uint32_t tasks = 0;
	uint32_t sum = 0;
	uint32_t most = 0;
	double work = 0;

	for (const struct occurrence *o = job->occurrences; o; o = o->next) {
		for (size_t s = 0; s < job->spec->step_count; s++) {
			for (uint32_t i = 0; i < o->steps[s].spec->count; i++) {
				const struct task *task = &o->steps[s].tasks[i];

				tasks += task->evictions > 0;
				sum += task->evictions;
				most = MAX(most, task->evictions);
				work += task->evicted_work;
			}
		}
	}
	if (sum == 0)
		return talloc_strdup(mem, "");
	return talloc_asprintf(mem,
			       "; evictions: %u of %u tasks, at most %u of one, %.0f core-seconds "
			       "lost",
			       sum, tasks, most, work);
}
