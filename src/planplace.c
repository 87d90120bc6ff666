#include "plan_int.h"

#include <string.h>

#define RACKS_MAX 512		 /* racks tried for one gang */
#define SUSPECT_TRIAL_MS 3000	 /* after a failure, before another task may try the worker */
#define SUSPECT_TRIAL_GAP_MS 250 /* between two such starts */

struct plan_resources plan_step_need(const struct jobspec_step *spec)
{
	return (struct plan_resources){
		.cpu_milli = spec->filler ? 0 : spec->cpu_milli,
		.memory_mb = spec->memory_mb,
		.accelerators = spec->accelerators,
	};
}

void plan_add_resources(struct plan_resources *sum, const struct plan_resources *need)
{
	sum->cpu_milli += need->cpu_milli;
	sum->memory_mb += need->memory_mb;
	sum->accelerators += need->accelerators;
}

void plan_subtract_resources(struct plan_resources *sum, const struct plan_resources *need)
{
	sum->cpu_milli -= need->cpu_milli;
	sum->memory_mb -= need->memory_mb;
	sum->accelerators -= need->accelerators;
}

bool plan_fits(const struct plan_resources *room, const struct plan_resources *used,
	       const struct plan_resources *need)
{
	return (uint64_t)used->cpu_milli + need->cpu_milli <= room->cpu_milli &&
	       (uint64_t)used->memory_mb + need->memory_mb <= room->memory_mb &&
	       (uint64_t)used->accelerators + need->accelerators <= room->accelerators;
}

static bool accepts_tasks(const struct worker *worker, uint64_t now_ms)
{
	return worker->present && worker->accepting && !worker->silent && !worker->orphans &&
	       worker->backoff_until_ms <= now_ms;
}

static bool is_paused(const struct worker *worker, uint64_t now_ms)
{
	return worker->suspect_until_ms > now_ms || worker->slow_until_ms > now_ms;
}

/*
 * A suspect worker is tried with one start at a time, and with none soon after a failure, since a
 * task has few attempts.
 */
static bool may_try_suspect(const struct worker *worker, uint64_t now_ms)
{
	if (now_ms - worker->last_failure_ms < SUSPECT_TRIAL_MS)
		return false;
	for (const struct task *task = worker->tasks; task; task = task->next_on_worker) {
		if (task->state == TASK_STARTING || now_ms - task->began_ms < SUSPECT_TRIAL_GAP_MS)
			return false;
	}
	return true;
}

static bool may_use_paused(const struct worker *worker, unsigned int waived, uint64_t now_ms)
{
	return (waived & PLAN_WAIVE_PAUSE) &&
	       (worker->suspect_until_ms <= now_ms || (waived & PLAN_WAIVE_FAILURE) ||
		may_try_suspect(worker, now_ms));
}

bool plan_worker_available(const struct worker *worker, uint64_t now_ms)
{
	return accepts_tasks(worker, now_ms) && !is_paused(worker, now_ms);
}

bool plan_worker_could_hold(const struct worker *worker, const struct step_run *step)
{
	const struct job *job = step->occurrence->job;
	struct plan_resources need = plan_step_need(step->spec);
	struct plan_resources none = {0};

	if (!worker->present || !job->queue || strcmp(worker->service, job->queue->service) != 0)
		return false;
	if (*step->spec->label && strcmp(step->spec->label, worker->kind) != 0 &&
	    strcmp(step->spec->label, worker->rack) != 0)
		return false;
	return plan_fits(&worker->room, &none, &need) && plan_advice_allows(worker, step);
}

uint32_t plan_count_siblings(const struct worker *worker, const struct step_run *step)
{
	uint32_t count = 0;

	for (const struct task *task = worker->tasks; task; task = task->next_on_worker)
		count += task->step == step;
	return count;
}

/*
 * True if the step would share the worker with tasks that it interferes with. Tasks with a
 * latency target and fillers slow each other down by amounts that no job declares.
 */
static bool would_interfere(const struct worker *worker, const struct jobspec_step *spec)
{
	if (!spec->filler && spec->latency_target_ms == 0)
		return false;
	for (const struct task *task = worker->tasks; task; task = task->next_on_worker) {
		if (spec->filler ? task->step->spec->latency_target_ms > 0
				 : task->step->spec->filler)
			return true;
	}
	return false;
}

bool plan_worker_usable(const struct worker *worker, const struct step_run *step,
			unsigned int waived, uint64_t now_ms)
{
	return accepts_tasks(worker, now_ms) &&
	       (!is_paused(worker, now_ms) || may_use_paused(worker, waived, now_ms)) &&
	       (!worker->reserved_for || worker->reserved_for == step ||
		plan_ends_before(step, worker->reserved_until_ms, now_ms) ||
		((waived & PLAN_WAIVE_RESERVED) && !worker->reserved_firm)) &&
	       plan_worker_could_hold(worker, step) &&
	       ((waived & PLAN_WAIVE_HEADROOM) || !worker->kept_free ||
		plan_may_use_headroom(step, now_ms)) &&
	       plan_has_valid_ticket(worker, step, now_ms) && !would_interfere(worker, step->spec);
}

/*
 * Best fit: the share of the worker that stays free; smaller is better. Accelerators count
 * double, because large gangs starve when small tasks scatter the free accelerators.
 */
static double unused_share(const struct worker *worker, const struct plan_resources *used,
			   const struct plan_resources *need)
{
	double unused = 0;

	if (worker->room.accelerators > 0)
		unused += 2.0 *
			  (worker->room.accelerators - used->accelerators - need->accelerators) /
			  worker->room.accelerators;
	if (worker->room.memory_mb > 0)
		unused += (double)(worker->room.memory_mb - used->memory_mb - need->memory_mb) /
			  worker->room.memory_mb;
	if (worker->room.cpu_milli > 0)
		unused += (double)(worker->room.cpu_milli - used->cpu_milli - need->cpu_milli) /
			  worker->room.cpu_milli;
	return unused;
}

bool plan_data_on_other_rack(const struct worker *worker, const struct jobspec_step *spec)
{
	return *spec->data_rack && strcmp(spec->data_rack, worker->rack) != 0;
}

static uint32_t units(uint32_t room, uint32_t used, uint32_t need, uint32_t limit)
{
	uint32_t count;

	if (need == 0)
		return limit;
	count = used < room ? (room - used) / need : 0;
	return count < limit ? count : limit;
}

uint32_t plan_count_room_on_worker(const struct worker *worker, const struct step_run *step,
				   uint32_t limit)
{
	struct plan_resources need = plan_step_need(step->spec);
	uint32_t spread_limit = step->spec->spread_limit;

	limit = units(worker->room.cpu_milli, worker->used.cpu_milli, need.cpu_milli, limit);
	limit = units(worker->room.memory_mb, worker->used.memory_mb, need.memory_mb, limit);
	limit = units(worker->room.accelerators, worker->used.accelerators, need.accelerators,
		      limit);
	if (spread_limit && limit > 0) {
		uint32_t siblings = plan_count_siblings(worker, step);

		limit = MIN(limit, siblings < spread_limit ? spread_limit - siblings : 0);
	}
	return limit;
}

uint32_t plan_count_room(const struct plan *plan, const struct step_run *step, unsigned int waived,
			 uint32_t limit, uint64_t now_ms)
{
	bool keeps_rack = !(waived & PLAN_WAIVE_RACK);
	bool one_rack = keeps_rack && step->spec->gang && step->spec->one_rack;
	bool data_rack = keeps_rack && !step->spec->gang;
	GHashTable *racks = one_rack ? g_hash_table_new(g_str_hash, g_str_equal) : NULL;
	uint32_t sum = 0;

	for (guint i = 0; i < plan->workers->len && sum < limit; i++) {
		const struct worker *worker = plan->workers->pdata[i];
		uint32_t count = plan_count_room_on_worker(worker, step, limit);

		if (count == 0 || (data_rack && plan_data_on_other_rack(worker, step->spec)) ||
		    !plan_worker_usable(worker, step, waived, now_ms))
			continue;
		if (one_rack) {
			count += GPOINTER_TO_UINT(g_hash_table_lookup(racks, worker->rack));
			g_hash_table_insert(racks, worker->rack, GUINT_TO_POINTER(count));
			sum = MAX(sum, MIN(count, limit));
		} else {
			sum = MIN(sum + count, limit);
		}
	}
	g_clear_pointer(&racks, g_hash_table_destroy);
	return sum;
}

struct worker *plan_pick_worker(struct plan *plan, const struct task *task, unsigned int waived,
				uint64_t now_ms)
{
	const struct step_run *step = task->step;
	struct plan_resources need = plan_step_need(step->spec);
	bool wait = !(waived & PLAN_WAIVE_RACK);
	struct worker *best = NULL;
	double best_score = 0;

	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];
		double score;

		if (!plan_worker_usable(worker, step, waived, now_ms) ||
		    !plan_fits(&worker->room, &worker->used, &need))
			continue;
		if (step->spec->spread_limit &&
		    plan_count_siblings(worker, step) >= step->spec->spread_limit)
			continue;
		if (wait && plan_data_on_other_rack(worker, step->spec))
			continue;
		score = unused_share(worker, &worker->used, &need);
		if (worker == task->avoid)
			score += 10; /* above any unused share: chosen only if no other fits */
		if (plan_data_on_other_rack(worker, step->spec))
			score += 5;
		score += plan_evidence_score(worker, step, now_ms);
		if (best && score >= best_score)
			continue;
		best = worker;
		best_score = score;
	}
	return best;
}

/* Room on a worker in use by tasks that can't be stopped in favour of @job. */
static struct plan_resources used_by_unevictable(const struct worker *worker, const struct job *job)
{
	struct plan_resources used = {0};

	for (const struct task *task = worker->tasks; task; task = task->next_on_worker) {
		struct plan_resources need = plan_step_need(task->step->spec);

		if (!plan_evictable(task, job))
			plan_add_resources(&used, &need);
	}
	return used;
}

/* Usable workers and their load while the members of a gang are placed on them. */
struct gang_candidates {
	struct worker **workers;
	struct plan_resources *used;		 /* room that is not available to the gang */
	struct plan_resources *used_after_stops; /* room in use unless more tasks are stopped */
	uint32_t *member_count;
	double *stops_so_far; /* cost of the tasks that are stopped there for the members */
	double *stop_cost;    /* the same, in addition for one more member; below 0: not known */
	GPtrArray *stoppable; /* lists of plan_list_stoppable(); NULL: not made yet */
	const struct job *evicts_for; /* NULL: nothing is stopped */
	uint64_t now_ms;
	double *evidence_score;
	size_t count;
};

static void free_list(gpointer list)
{
	if (list)
		g_array_free(list, TRUE);
}

/* Cost of the cheapest tasks of a worker whose stops make @need fit; whether enough is not said. */
static double cost_of_stops(const struct gang_candidates *candidates, size_t i,
			    const struct plan_resources *need)
{
	const struct worker *worker = candidates->workers[i];
	struct plan_resources used = candidates->used_after_stops[i];
	GArray *tasks = candidates->stoppable->pdata[i];
	double cost = 0;

	if (plan_fits(&worker->room, &used, need))
		return 0;
	if (!tasks) {
		tasks = plan_list_stoppable(worker, candidates->evicts_for, candidates->now_ms);
		candidates->stoppable->pdata[i] = tasks;
	}
	for (guint k = 0; k < tasks->len && !plan_fits(&worker->room, &used, need); k++) {
		const struct plan_stoppable *stopped =
			&g_array_index(tasks, struct plan_stoppable, k);
		struct plan_resources freed = plan_step_need(stopped->task->step->spec);

		plan_subtract_resources(&used, &freed);
		cost += stopped->cost;
	}
	return cost;
}

static void collect_candidates(struct plan *plan, struct step_run *step, bool evict,
			       unsigned int waived, uint64_t now_ms,
			       struct gang_candidates *candidates)
{
	const struct job *job = step->occurrence->job;

	candidates->evicts_for = evict ? job : NULL;
	candidates->now_ms = now_ms;
	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];

		if (!plan_worker_usable(worker, step, waived, now_ms))
			continue;
		candidates->workers[candidates->count] = worker;
		candidates->used[candidates->count] =
			evict ? used_by_unevictable(worker, job) : worker->used;
		candidates->used_after_stops[candidates->count] =
			evict ? plan_use_after_stops(worker) : worker->used;
		candidates->evidence_score[candidates->count] =
			plan_evidence_score(worker, step, now_ms);
		candidates->member_count[candidates->count] = plan_count_siblings(worker, step);
		candidates->count++;
	}
}

static bool member_fits(const struct gang_candidates *candidates, size_t i,
			const struct step_run *step, const char *rack)
{
	struct plan_resources need = plan_step_need(step->spec);
	const struct worker *worker = candidates->workers[i];

	if (rack && strcmp(worker->rack, rack) != 0)
		return false;
	if (step->spec->spread_limit && candidates->member_count[i] >= step->spec->spread_limit)
		return false;
	return plan_fits(&worker->room, &candidates->used[i], &need);
}

/* Cost of the stops for one more member on a worker. */
static double cost_of_next(struct gang_candidates *candidates, size_t i,
			   const struct plan_resources *need)
{
	if (!candidates->evicts_for)
		return 0;
	if (candidates->stop_cost[i] < 0)
		candidates->stop_cost[i] =
			MAX(0, cost_of_stops(candidates, i, need) - candidates->stops_so_far[i]);
	return candidates->stop_cost[i];
}

/* Scores of a place; the cost of stops there goes before how well the tasks fit. */
struct place_score {
	double stop_cost;
	double unused;
};

static bool is_better(const struct place_score *score, const struct place_score *best)
{
	if (score->stop_cost != best->stop_cost)
		return score->stop_cost < best->stop_cost;
	return score->unused < best->unused;
}

/*
 * Places all waiting tasks, each where it fits best; @rack NULL allows all racks. A gang that
 * still runs is placed as if all its members waited.
 */
static bool fit_on_racks(const struct gang_candidates *initial, const struct step_run *step,
			 const char *rack, struct worker **out, struct place_score *total)
{
	struct plan_resources need = plan_step_need(step->spec);
	TALLOC_CTX *mem = talloc_new(NULL);
	struct gang_candidates candidates = *initial;
	bool complete = true;

	candidates.used =
		talloc_memdup(mem, initial->used, initial->count * sizeof(*initial->used));
	candidates.used_after_stops =
		talloc_memdup(mem, initial->used_after_stops,
			      initial->count * sizeof(*initial->used_after_stops));
	candidates.member_count = talloc_memdup(mem, initial->member_count,
						initial->count * sizeof(*initial->member_count));
	if (initial->evicts_for) {
		candidates.stops_so_far = talloc_zero_array(mem, double, initial->count);
		candidates.stop_cost = talloc_array(mem, double, initial->count);
		for (size_t i = 0; i < initial->count; i++)
			candidates.stop_cost[i] = -1;
	}
	*total = (struct place_score){0};
	for (uint32_t t = 0; t < step->spec->count && complete; t++) {
		size_t best = candidates.count;
		struct place_score best_score = {0};

		out[t] = NULL;
		if (!step->spec->gang && step->tasks[t].state != TASK_WAITING)
			continue;
		for (size_t i = 0; i < candidates.count; i++) {
			struct place_score score = {0};

			if (!member_fits(&candidates, i, step, rack))
				continue;
			score.stop_cost = cost_of_next(&candidates, i, &need);
			score.unused =
				unused_share(candidates.workers[i], &candidates.used[i], &need);
			score.unused +=
				plan_data_on_other_rack(candidates.workers[i], step->spec) ? 5 : 0;
			score.unused += candidates.evidence_score[i];
			if (best < candidates.count && !is_better(&score, &best_score))
				continue;
			best = i;
			best_score = score;
		}
		complete = best < candidates.count;
		if (!complete)
			break;
		out[t] = candidates.workers[best];
		total->stop_cost += best_score.stop_cost;
		total->unused += best_score.unused;
		candidates.member_count[best]++;
		plan_add_resources(&candidates.used[best], &need);
		plan_add_resources(&candidates.used_after_stops[best], &need);
		if (candidates.evicts_for) {
			candidates.stops_so_far[best] += best_score.stop_cost;
			candidates.stop_cost[best] = -1;
		}
	}
	talloc_free(mem);
	return complete;
}

/* Lists the distinct racks of the candidates. */
static size_t list_racks(const struct gang_candidates *candidates, const char **racks)
{
	size_t count = 0;

	for (size_t i = 0; i < candidates->count && count < RACKS_MAX; i++) {
		size_t k = 0;

		while (k < count && strcmp(racks[k], candidates->workers[i]->rack) != 0)
			k++;
		if (k == count)
			racks[count++] = candidates->workers[i]->rack;
	}
	return count;
}

/* Number of tasks of a step that a worker without any load could hold. */
static uint32_t count_capacity(const struct worker *worker, const struct step_run *step)
{
	struct plan_resources need = plan_step_need(step->spec);
	uint32_t limit = step->spec->count;

	if (step->spec->spread_limit)
		limit = MIN(limit, step->spec->spread_limit);
	limit = units(worker->room.cpu_milli, 0, need.cpu_milli, limit);
	limit = units(worker->room.memory_mb, 0, need.memory_mb, limit);
	return units(worker->room.accelerators, 0, need.accelerators, limit);
}

/* True if a rack without any load could hold the whole gang. */
static bool some_rack_could_hold(const struct plan *plan, const struct step_run *step)
{
	GHashTable *racks = g_hash_table_new(g_str_hash, g_str_equal);
	bool found = false;

	for (guint i = 0; i < plan->workers->len && !found; i++) {
		const struct worker *worker = plan->workers->pdata[i];
		guint count;

		if (!worker->accepting || !plan_worker_could_hold(worker, step))
			continue;
		count = GPOINTER_TO_UINT(g_hash_table_lookup(racks, worker->rack)) +
			count_capacity(worker, step);
		g_hash_table_insert(racks, worker->rack, GUINT_TO_POINTER(count));
		found = count >= step->spec->count;
	}
	g_hash_table_destroy(racks);
	return found;
}

static bool fit_on_best_rack(const struct gang_candidates *candidates, const struct step_run *step,
			     struct worker **out)
{
	const char *racks[RACKS_MAX];
	size_t count = list_racks(candidates, racks);
	struct worker **attempt = talloc_zero_array(NULL, struct worker *, step->spec->count);
	struct place_score best_score = {0};
	bool found = false;

	for (size_t r = 0; r < count; r++) {
		struct place_score total;

		if (!fit_on_racks(candidates, step, racks[r], attempt, &total) ||
		    (found && !is_better(&total, &best_score)))
			continue;
		found = true;
		best_score = total;
		memcpy(out, attempt, step->spec->count * sizeof(*out));
	}
	talloc_free(attempt);
	return found;
}

bool plan_pick_gang_workers(struct plan *plan, struct step_run *step, bool evict,
			    unsigned int waived, uint64_t now_ms, struct worker **out)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct gang_candidates candidates = {
		.workers = talloc_zero_array(mem, struct worker *, plan->workers->len + 1),
		.used = talloc_zero_array(mem, struct plan_resources, plan->workers->len + 1),
		.used_after_stops =
			talloc_zero_array(mem, struct plan_resources, plan->workers->len + 1),
		.member_count = talloc_zero_array(mem, uint32_t, plan->workers->len + 1),
		.evidence_score = talloc_zero_array(mem, double, plan->workers->len + 1),
	};
	bool found;
	struct place_score total;

	collect_candidates(plan, step, evict, waived, now_ms, &candidates);
	candidates.stoppable = g_ptr_array_new_with_free_func(free_list);
	g_ptr_array_set_size(candidates.stoppable, (gint)candidates.count);
	found = step->spec->one_rack && fit_on_best_rack(&candidates, step, out);
	if (!found && (!step->spec->one_rack || (waived & PLAN_WAIVE_RACK) ||
		       !some_rack_could_hold(plan, step)))
		found = fit_on_racks(&candidates, step, NULL, out, &total);
	g_ptr_array_free(candidates.stoppable, TRUE);
	talloc_free(mem);
	return found;
}
