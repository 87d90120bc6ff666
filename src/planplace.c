#include "plan_int.h"

#include <string.h>

#define RACKS_MAX 512 /* racks looked at for one gang */
/*
 * A task that is much slower away from its data waits for its rack this many times its
 * estimate; waiting longer costs more than the slower run.
 */
#define DATA_WAIT_FACTOR 1.0

struct plan_room plan_need(const struct jobspec_step *spec)
{
	return (struct plan_room){
		.cpu_milli = spec->filler ? 0 : spec->cpu_milli,
		.memory_mb = spec->memory_mb,
		.accelerators = spec->accelerators,
	};
}

void plan_add_room(struct plan_room *sum, const struct plan_room *need)
{
	sum->cpu_milli += need->cpu_milli;
	sum->memory_mb += need->memory_mb;
	sum->accelerators += need->accelerators;
}

bool plan_fits(const struct plan_room *room, const struct plan_room *used,
	       const struct plan_room *need)
{
	return used->cpu_milli + need->cpu_milli <= room->cpu_milli &&
	       used->memory_mb + need->memory_mb <= room->memory_mb &&
	       used->accelerators + need->accelerators <= room->accelerators;
}

bool plan_worker_free(const struct worker *worker, uint64_t now_ms)
{
	return worker->present && worker->accepting && !worker->silent && !worker->strays &&
	       worker->backoff_ms <= now_ms && worker->suspect_until_ms <= now_ms &&
	       worker->slow_until_ms <= now_ms;
}

bool plan_could_hold(const struct worker *worker, const struct step_run *step)
{
	const struct job *job = step->occurrence->job;
	struct plan_room need = plan_need(step->spec);
	struct plan_room none = {0};

	if (!worker->present || !job->queue || strcmp(worker->service, job->queue->service) != 0)
		return false;
	if (*step->spec->label && strcmp(step->spec->label, worker->kind) != 0 &&
	    strcmp(step->spec->label, worker->rack) != 0)
		return false;
	return plan_fits(&worker->room, &none, &need) && plan_not_barred(worker, step);
}

/* Tasks of the same step of the same occurrence on a worker. */
uint32_t plan_siblings(const struct worker *worker, const struct step_run *step)
{
	uint32_t count = 0;

	for (const struct task *t = worker->tasks; t; t = t->next_on_worker)
		count += t->step == step;
	return count;
}

/*
 * Serving tasks and fillers disturb each other by amounts that nobody declares, so they do
 * not share a worker.
 */
static bool disturbs(const struct worker *worker, const struct jobspec_step *spec)
{
	if (!spec->filler && spec->latency_target_ms == 0)
		return false;
	for (const struct task *t = worker->tasks; t; t = t->next_on_worker) {
		if (spec->filler ? t->step->spec->latency_target_ms > 0 : t->step->spec->filler)
			return true;
	}
	return false;
}

bool plan_usable(const struct worker *worker, const struct step_run *step, uint64_t now_ms)
{
	return plan_worker_free(worker, now_ms) && plan_could_hold(worker, step) &&
	       (!worker->reserved_for || worker->reserved_for == step) &&
	       (!worker->kept_free || plan_may_use_headroom(step, now_ms)) &&
	       plan_has_ticket(worker, step, now_ms) && !disturbs(worker, step->spec);
}

/*
 * Best fit: the share of the worker that stays free, accelerators counted double because
 * large gangs starve when small tasks leave none of them together. Smaller is better.
 */
static double waste(const struct worker *worker, const struct plan_room *used,
		    const struct plan_room *need)
{
	double left = 0;

	if (worker->room.accelerators > 0)
		left += 2.0 *
			(worker->room.accelerators - used->accelerators - need->accelerators) /
			worker->room.accelerators;
	if (worker->room.memory_mb > 0)
		left += (double)(worker->room.memory_mb - used->memory_mb - need->memory_mb) /
			worker->room.memory_mb;
	if (worker->room.cpu_milli > 0)
		left += (double)(worker->room.cpu_milli - used->cpu_milli - need->cpu_milli) /
			worker->room.cpu_milli;
	return left;
}

static bool data_is_elsewhere(const struct worker *worker, const struct jobspec_step *spec)
{
	return *spec->data_rack && strcmp(spec->data_rack, worker->rack) != 0;
}

/* True while it pays to wait for a worker on the rack of the data. */
static bool waits_for_rack(const struct plan *plan, const struct step_run *step, uint64_t now_ms)
{
	if (!*step->spec->data_rack ||
	    now_ms - step->ready_ms > step->spec->estimate_ms * DATA_WAIT_FACTOR)
		return false;
	for (guint i = 0; i < plan->workers->len; i++) {
		const struct worker *worker = plan->workers->pdata[i];

		if (worker->accepting && worker->suspect_until_ms <= now_ms &&
		    plan_could_hold(worker, step) && !data_is_elsewhere(worker, step->spec))
			return true;
	}
	return false;
}

struct worker *plan_pick(struct plan *plan, const struct task *task, uint64_t now_ms)
{
	const struct step_run *step = task->step;
	struct plan_room need = plan_need(step->spec);
	bool wait = waits_for_rack(plan, step, now_ms);
	struct worker *best = NULL;
	double best_waste = 0;

	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];
		double w;

		if (!plan_usable(worker, step, now_ms) ||
		    !plan_fits(&worker->room, &worker->used, &need))
			continue;
		if (step->spec->spread_limit &&
		    plan_siblings(worker, step) >= step->spec->spread_limit)
			continue;
		if (wait && data_is_elsewhere(worker, step->spec))
			continue;
		w = waste(worker, &worker->used, &need);
		if (worker == task->avoid)
			w += 10; /* above any waste: only where nothing else is free */
		if (data_is_elsewhere(worker, step->spec))
			w += 5;
		if (best && w >= best_waste)
			continue;
		best = worker;
		best_waste = w;
	}
	return best;
}

/* Room taken on a worker by what would not make way for a step. */
static struct plan_room firmly_used(const struct worker *worker, const struct job *job)
{
	struct plan_room used = {0};

	for (const struct task *t = worker->tasks; t; t = t->next_on_worker) {
		struct plan_room need = plan_need(t->step->spec);

		if (!plan_evictable(t, job))
			plan_add_room(&used, &need);
	}
	return used;
}

/* What of a gang's members goes where, for one choice of workers. */
struct gang_fit {
	struct worker **workers;
	struct plan_room *used;	   /* that counts against the room */
	struct plan_room *lasting; /* the same and what would have to be stopped */
	uint32_t *placed;
	size_t count;
};

static void collect(struct plan *plan, struct step_run *step, bool evict, uint64_t now_ms,
		    struct gang_fit *fit)
{
	const struct job *job = step->occurrence->job;

	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];

		if (!plan_usable(worker, step, now_ms))
			continue;
		fit->workers[fit->count] = worker;
		fit->used[fit->count] = evict ? firmly_used(worker, job) : worker->used;
		fit->lasting[fit->count] = evict ? plan_lasting_use(worker) : worker->used;
		fit->placed[fit->count] = plan_siblings(worker, step);
		fit->count++;
	}
}

static bool member_fits(const struct gang_fit *fit, size_t i, const struct step_run *step,
			const char *rack)
{
	struct plan_room need = plan_need(step->spec);
	const struct worker *worker = fit->workers[i];

	if (rack && strcmp(worker->rack, rack) != 0)
		return false;
	if (step->spec->spread_limit && fit->placed[i] >= step->spec->spread_limit)
		return false;
	return plan_fits(&worker->room, &fit->used[i], &need);
}

static double excess(uint32_t used, uint32_t need, uint32_t room)
{
	return used + need > room ? (double)(used + need - room) / room : 0;
}

/* Work that has to be stopped on a worker; workers without any come first. */
static double displaced(const struct gang_fit *fit, size_t i, const struct plan_room *need)
{
	const struct plan_room *room = &fit->workers[i]->room;
	const struct plan_room *used = &fit->lasting[i];
	double most = excess(used->cpu_milli, need->cpu_milli, room->cpu_milli);
	double other = excess(used->memory_mb, need->memory_mb, room->memory_mb);

	most = other > most ? other : most;
	other = excess(used->accelerators, need->accelerators, room->accelerators);
	return 4.0 * (other > most ? other : most);
}

/* A gang that still runs is placed as if it waited. */
/* Places all waiting members, best fit first; @rack NULL allows all racks. */
static bool try_racks(const struct gang_fit *start, const struct step_run *step, const char *rack,
		      struct worker **out, double *total_waste)
{
	struct plan_room need = plan_need(step->spec);
	TALLOC_CTX *mem = talloc_new(NULL);
	struct gang_fit fit = *start;
	bool complete = true;

	fit.used = talloc_memdup(mem, start->used, start->count * sizeof(*start->used));
	fit.lasting = talloc_memdup(mem, start->lasting, start->count * sizeof(*start->lasting));
	fit.placed = talloc_memdup(mem, start->placed, start->count * sizeof(*start->placed));
	*total_waste = 0;
	for (uint32_t t = 0; t < step->spec->count && complete; t++) {
		size_t best = fit.count;
		double best_waste = 0;

		out[t] = NULL;
		if (!step->spec->gang && step->tasks[t].state != TASK_WAITING)
			continue;
		for (size_t i = 0; i < fit.count; i++) {
			double w;

			if (!member_fits(&fit, i, step, rack))
				continue;
			w = waste(fit.workers[i], &fit.used[i], &need);
			w += data_is_elsewhere(fit.workers[i], step->spec) ? 5 : 0;
			w += displaced(&fit, i, &need);
			if (best < fit.count && w >= best_waste)
				continue;
			best = i;
			best_waste = w;
		}
		complete = best < fit.count;
		if (!complete)
			break;
		out[t] = fit.workers[best];
		*total_waste += best_waste;
		fit.placed[best]++;
		plan_add_room(&fit.used[best], &need);
		plan_add_room(&fit.lasting[best], &need);
	}
	talloc_free(mem);
	return complete;
}

/* True if the empty rack would hold the whole gang. */
static bool rack_could_hold(const struct plan *plan, const struct step_run *step, const char *rack)
{
	struct plan_room need = plan_need(step->spec);
	uint32_t places = 0;

	for (guint i = 0; i < plan->workers->len; i++) {
		const struct worker *worker = plan->workers->pdata[i];
		uint32_t here = 0;
		struct plan_room used = {0};

		if (!worker->accepting || strcmp(worker->rack, rack) != 0 ||
		    !plan_could_hold(worker, step))
			continue;
		while (here < step->spec->count && plan_fits(&worker->room, &used, &need) &&
		       (!step->spec->spread_limit || here < step->spec->spread_limit)) {
			plan_add_room(&used, &need);
			here++;
		}
		places += here;
	}
	return places >= step->spec->count;
}

/* The distinct racks of the workers at hand. */
static size_t list_racks(const struct gang_fit *fit, const char **racks)
{
	size_t count = 0;

	for (size_t i = 0; i < fit->count && count < RACKS_MAX; i++) {
		size_t k = 0;

		while (k < count && strcmp(racks[k], fit->workers[i]->rack) != 0)
			k++;
		if (k == count)
			racks[count++] = fit->workers[i]->rack;
	}
	return count;
}

static bool some_rack_could_hold(const struct plan *plan, const struct step_run *step)
{
	for (guint i = 0; i < plan->workers->len; i++) {
		const struct worker *worker = plan->workers->pdata[i];

		if (worker->present && rack_could_hold(plan, step, worker->rack))
			return true;
	}
	return false;
}

static bool best_rack(const struct gang_fit *fit, const struct step_run *step, struct worker **out)
{
	const char *racks[RACKS_MAX];
	size_t count = list_racks(fit, racks);
	struct worker **attempt = talloc_zero_array(NULL, struct worker *, step->spec->count);
	double best = 0;
	bool found = false;

	for (size_t r = 0; r < count; r++) {
		double w;

		if (!try_racks(fit, step, racks[r], attempt, &w) || (found && w >= best))
			continue;
		found = true;
		best = w;
		memcpy(out, attempt, step->spec->count * sizeof(*out));
	}
	talloc_free(attempt);
	return found;
}

bool plan_pick_gang(struct plan *plan, struct step_run *step, bool evict, uint64_t now_ms,
		    struct worker **out)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct gang_fit fit = {
		.workers = talloc_zero_array(mem, struct worker *, plan->workers->len + 1),
		.used = talloc_zero_array(mem, struct plan_room, plan->workers->len + 1),
		.lasting = talloc_zero_array(mem, struct plan_room, plan->workers->len + 1),
		.placed = talloc_zero_array(mem, uint32_t, plan->workers->len + 1),
	};
	bool found;
	double w;

	collect(plan, step, evict, now_ms, &fit);
	found = step->spec->one_rack && best_rack(&fit, step, out);
	if (!found && (!step->spec->one_rack || !some_rack_could_hold(plan, step)))
		found = try_racks(&fit, step, NULL, out, &w);
	talloc_free(mem);
	return found;
}
