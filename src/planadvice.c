#include "plan_int.h"

#include <inttypes.h>
#include <string.h>

/*
 * Advice on the workers that may run a step, for queues whose policy only an external advice
 * service knows. The service needs some time for each worker in a query and answers one call
 * after the other, so the most urgent step is asked for first, and first about the workers that
 * have room to start it at once.
 */

/* A call about more workers takes longer than most steps need; the interface allows 100. */
#define QUERY_WORKERS_MAX 30

/* Answer of the service about one incarnation of a worker. */
struct advice {
	bool approved;
	char *ticket;
	uint64_t valid_until_ms; /* of the ticket */
};

static void free_advice(gpointer data)
{
	talloc_free(data);
}

static bool needs_advice(const struct step_run *step)
{
	const struct job *job = step->occurrence->job;

	return job->queue && job->queue->advised;
}

static struct advice *find_advice(const struct worker *worker, const struct step_run *step)
{
	return step->advice ? g_hash_table_lookup(step->advice, worker->incarnation) : NULL;
}

bool plan_advice_allows(const struct worker *worker, const struct step_run *step)
{
	const struct advice *advice = needs_advice(step) ? find_advice(worker, step) : NULL;

	return !advice || advice->approved;
}

bool plan_has_valid_ticket(const struct worker *worker, const struct step_run *step,
			   uint64_t now_ms)
{
	const struct advice *advice;

	if (!needs_advice(step))
		return true;
	advice = find_advice(worker, step);
	return advice && advice->approved && now_ms < advice->valid_until_ms;
}

const char *plan_start_ticket(const struct worker *worker, const struct step_run *step)
{
	const struct advice *advice = find_advice(worker, step);

	return advice && advice->approved ? advice->ticket : "";
}

void plan_drop_ticket(const struct worker *worker, struct step_run *step)
{
	if (step->advice)
		g_hash_table_remove(step->advice, worker->incarnation);
}

/* Destroys the advice table when the occurrence of its step is freed. */
static int free_advice_table(GHashTable **owner)
{
	g_hash_table_destroy(*owner);
	return 0;
}

static GHashTable *step_advice_table(struct step_run *step)
{
	GHashTable **owner;

	if (step->advice)
		return step->advice;
	step->advice = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_advice);
	owner = talloc(step->occurrence, GHashTable *);
	*owner = step->advice;
	talloc_set_destructor(owner, free_advice_table);
	return step->advice;
}

static bool has_room_now(const struct worker *worker, const struct step_run *step)
{
	struct plan_resources need = plan_step_need(step->spec);

	return plan_fits(&worker->room, &worker->used, &need);
}

/* Adds workers that could run the step and for which no valid ticket is known. */
static void add_query_workers(const struct plan *plan, const struct step_run *step, bool with_room,
			      uint64_t now_ms, struct plan_advice_query *query)
{
	for (guint i = 0; i < plan->workers->len && query->count < QUERY_WORKERS_MAX; i++) {
		const struct worker *worker = plan->workers->pdata[i];

		if (!worker->accepting || !plan_worker_could_hold(worker, step) ||
		    plan_has_valid_ticket(worker, step, now_ms) ||
		    has_room_now(worker, step) != with_room)
			continue;
		query->workers[query->count++] = talloc_strdup(query->workers, worker->id);
	}
}

/* The queue of a job may have been removed from the configuration. */
static bool some_job_needs_advice(const struct plan *plan)
{
	for (guint i = 0; i < plan->active->len; i++) {
		const struct job *job = plan->active->pdata[i];

		if (job->queue && job->queue->advised)
			return true;
	}
	return false;
}

bool plan_advice_wanted(struct plan *plan, TALLOC_CTX *mem, uint64_t now_ms,
			struct plan_advice_query *query)
{
	struct step_run *step = NULL;
	GPtrArray *steps;

	if (!some_job_needs_advice(plan))
		return false;
	*query = (struct plan_advice_query){
		.workers = talloc_zero_array(mem, const char *, QUERY_WORKERS_MAX)};
	steps = plan_waiting_steps(plan, now_ms);
	for (guint i = 0; i < steps->len && query->count == 0; i++) {
		step = steps->pdata[i];
		if (!needs_advice(step) || step->advice_pending || step->ask_after_ms > now_ms)
			continue;
		add_query_workers(plan, step, true, now_ms, query);
		add_query_workers(plan, step, false, now_ms, query);
	}
	g_ptr_array_free(steps, TRUE);
	if (!step || query->count == 0)
		return false;
	step->advice_pending = true;
	query->step = talloc_asprintf(mem, "%s.%" PRIu32 ".%" PRIu32, step->occurrence->job->id,
				      step->occurrence->number, step->number);
	return true;
}

/* The step of a query, or NULL if its occurrence has ended meanwhile. */
static struct step_run *find_step(struct plan *plan, const char *name)
{
	char *first = talloc_asprintf(NULL, "%s.0", name);
	struct task *task = plan_find_task(plan, first);

	talloc_free(first);
	return task ? task->step : NULL;
}

static const struct worker *find_worker_by_id(const struct plan *plan, const char *id)
{
	for (guint i = 0; i < plan->workers->len; i++) {
		const struct worker *worker = plan->workers->pdata[i];

		if (worker->present && !strcmp(worker->id, id))
			return worker;
	}
	return NULL;
}

static const char *find_ticket(const struct plan_advice_row *rows, size_t count, const char *worker)
{
	for (size_t i = 0; i < count; i++) {
		if (!strcmp(rows[i].worker, worker))
			return rows[i].ticket;
	}
	return NULL;
}

void plan_advice_take(struct plan *plan, const struct plan_advice_query *query,
		      const struct plan_advice_row *rows, size_t count, uint64_t until_ms)
{
	struct step_run *step = find_step(plan, query->step);

	if (!step)
		return;
	step->advice_pending = false;
	for (size_t i = 0; i < query->count; i++) {
		const struct worker *worker = find_worker_by_id(plan, query->workers[i]);
		const char *ticket = find_ticket(rows, count, query->workers[i]);
		struct advice *advice;

		if (!worker)
			continue;
		advice = talloc_zero(NULL, struct advice);
		advice->approved = ticket != NULL;
		advice->ticket = talloc_strdup(advice, ticket ? ticket : "");
		advice->valid_until_ms = until_ms;
		g_hash_table_replace(step_advice_table(step), g_strdup(worker->incarnation),
				     advice);
	}
}

void plan_advice_failed(struct plan *plan, const char *step_name, uint64_t retry_ms)
{
	struct step_run *step = find_step(plan, step_name);

	if (!step)
		return;
	step->advice_pending = false;
	step->ask_after_ms = retry_ms;
}
