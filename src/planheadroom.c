#include "plan_int.h"

#include <string.h>

/*
 * Keeps some workers free of jobs with lower priority than 0. This is made for urgent gangs that
 * arrive in waves on a fleet full of longer work, where a stop takes a large part of the time that
 * an urgent job has until it is late. A job that starts on free room needs no stop, and no work is
 * lost.
 *
 * How much is kept follows the forecast of plandemand.c: room for the largest recent gang, and for
 * what is expected beyond the urgent tasks at work. Nothing is kept between two waves.
 */

/*
 * Share of the workers that is kept free for each second that a stop may take, while too little is
 * known of a wave: 0.9 s keeps 3 of 11 workers, 0.2 s one.
 */
#define HEADROOM_SHARE_PER_STOP_S 0.33
#define HEADROOM_SHARE_MAX 0.3
/* A worker is kept if more than this share of its room is expected to be asked for. */
#define WORKER_SHARE_MIN 0.5
/*
 * Steps of lower priority that have waited this long may use the free workers; their objective
 * is longer than this by seconds.
 */
#define LOWER_WAIT_MAX_MS 6000

/* A worker that may be kept free, and what runs on it. */
struct candidate {
	struct worker *worker;
	guint index;		   /* in plan.workers */
	bool was_kept;		   /* by the decision before */
	uint32_t lower_load;	   /* see lower_priority_load() */
	struct plan_resources use; /* by urgent tasks */
};

/* The workers of one service, those first that are free of lower priority soonest. */
struct headroom {
	struct candidate *candidates;
	size_t count;
	uint32_t kept;
	uint32_t limit;
};

/* Expected need that the kept workers do not cover yet. */
struct uncovered {
	double accelerators;
	double cpu_milli;
	double memory_mb;
};

static bool is_urgent(const struct job *job)
{
	return job->queue && job->queue->priority == 0;
}

bool plan_may_use_headroom(const struct step_run *step, uint64_t now_ms)
{
	const struct job *job = step->occurrence->job;

	return job->guaranteed || is_urgent(job) || step->spec->long_running ||
	       now_ms - step->ready_ms > LOWER_WAIT_MAX_MS;
}

struct plan_headroom plan_headroom(const struct plan *plan)
{
	return plan->headroom;
}

/* Zone of the rack that the step asks for; "" if it asks for none, or no worker there takes tasks.
 */
static const char *preferred_zone(const struct plan *plan, const struct jobspec_step *spec)
{
	for (guint i = 0; i < plan->workers->len; i++) {
		const struct worker *worker = plan->workers->pdata[i];

		if (worker->present && worker->accepting && *worker->rack &&
		    (!strcmp(worker->rack, spec->data_rack) || !strcmp(worker->rack, spec->label)))
			return worker->zone;
	}
	return "";
}

static void count_arrival(struct plan *plan, struct step_run *step)
{
	const struct plan_demand_arrival arrival = {
		.service = step->occurrence->job->queue->service,
		.zone = preferred_zone(plan, step->spec),
		.need = plan_step_need(step->spec),
		.tasks = step->spec->count,
		.gang = step->spec->gang,
		.one_rack = step->spec->one_rack,
		.run_ms = plan_expected_run_ms(step),
		.at_ms = step->ready_ms,
	};

	step->demand_counted = true;
	plan_demand_arrive(plan->demand, &arrival);
}

static void count_arrivals(struct plan *plan)
{
	for (guint i = 0; i < plan->active->len; i++) {
		struct job *job = plan->active->pdata[i];

		if (!is_urgent(job) || plan_job_ended(job))
			continue;
		for (struct occurrence *o = job->occurrences; o; o = o->next) {
			for (size_t s = 0; s < job->spec->step_count; s++) {
				struct step_run *step = &o->steps[s];

				if (step->ready_ms && !step->demand_counted &&
				    !step->spec->long_running)
					count_arrival(plan, step);
			}
		}
	}
}

/* Lower-priority tasks and their accelerators; all must end before the worker is free. */
static uint32_t lower_priority_load(const struct worker *worker)
{
	uint32_t load = 0;

	for (const struct task *task = worker->tasks; task; task = task->next_on_worker) {
		if (!is_urgent(plan_task_job(task)))
			load += 1 + task->step->spec->accelerators;
	}
	return load;
}

static struct plan_resources urgent_use(const struct worker *worker)
{
	struct plan_resources use = {0};

	for (const struct task *task = worker->tasks; task; task = task->next_on_worker) {
		struct plan_resources need = plan_step_need(task->step->spec);

		if (is_urgent(plan_task_job(task)))
			plan_add_resources(&use, &need);
	}
	return use;
}

/*
 * Workers with the least lower-priority load become free first, and then remain chosen. Beside
 * those that were kept, the ones with the fewest urgent tasks have the most room.
 */
static int compare_candidates(const void *first, const void *second)
{
	const struct candidate *left = first;
	const struct candidate *right = second;

	if (left->lower_load != right->lower_load)
		return left->lower_load < right->lower_load ? -1 : 1;
	if (left->was_kept != right->was_kept)
		return left->was_kept ? -1 : 1;
	if (left->use.accelerators != right->use.accelerators)
		return left->use.accelerators < right->use.accelerators ? -1 : 1;
	return left->index < right->index ? -1 : 1;
}

static struct headroom collect_candidates(const struct plan *plan, TALLOC_CTX *mem,
					  const char *service, const bool *was_kept,
					  uint64_t now_ms)
{
	struct headroom headroom = {
		.candidates = talloc_array(mem, struct candidate, plan->workers->len + 1),
	};

	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];

		if (strcmp(worker->service, service) != 0 || !plan_worker_available(worker, now_ms))
			continue;
		headroom.candidates[headroom.count++] = (struct candidate){
			.worker = worker,
			.index = i,
			.was_kept = was_kept[i],
			.lower_load = lower_priority_load(worker),
			.use = urgent_use(worker),
		};
	}
	headroom.limit = (uint32_t)(headroom.count * HEADROOM_SHARE_MAX + 0.5);
	qsort(headroom.candidates, headroom.count, sizeof(*headroom.candidates),
	      compare_candidates);
	return headroom;
}

static void keep(struct headroom *headroom, struct worker *worker)
{
	if (worker->kept_free || headroom->kept >= headroom->limit)
		return;
	worker->kept_free = true;
	headroom->kept++;
}

static bool in_zone(const struct worker *worker, const char *zone)
{
	return !*zone || !strcmp(worker->zone, zone);
}

/* Number of members, up to @limit, for which a worker has room beside its urgent tasks. */
static uint32_t count_members(const struct candidate *candidate,
			      const struct plan_demand_gang *gang, uint32_t limit)
{
	struct plan_resources used = candidate->use;
	uint32_t count = 0;

	while (count < limit && plan_fits(&candidate->worker->room, &used, &gang->need)) {
		plan_add_resources(&used, &gang->need);
		count++;
	}
	return count;
}

/* Workers of one rack, or of all for NULL, on which a gang has room beside urgent tasks. */
struct gang_room {
	uint32_t missing;    /* members without room */
	uint32_t lower_load; /* on these workers */
};

/* Goes through these workers until the gang has room; @keeps: keeps them free. */
static struct gang_room visit_gang_room(struct headroom *headroom, const char *zone,
					const char *rack, const struct plan_demand_gang *gang,
					bool keeps)
{
	struct gang_room room = {.missing = gang->tasks};

	for (size_t i = 0; i < headroom->count && room.missing > 0; i++) {
		const struct candidate *candidate = &headroom->candidates[i];
		uint32_t members;

		if (!in_zone(candidate->worker, zone) ||
		    (rack && strcmp(candidate->worker->rack, rack) != 0))
			continue;
		members = count_members(candidate, gang, room.missing);
		room.missing -= members;
		room.lower_load += members > 0 ? candidate->lower_load : 0;
		if (members > 0 && keeps)
			keep(headroom, candidate->worker);
	}
	return room;
}

/* The rack that a gang finds free soonest; NULL if none could hold it. */
static const char *choose_rack(struct headroom *headroom, const char *zone,
			       const struct plan_demand_gang *gang)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	const char *best = NULL;
	uint32_t best_load = UINT32_MAX;

	for (size_t i = 0; i < headroom->count && best_load > 0; i++) {
		const char *rack = headroom->candidates[i].worker->rack;
		struct gang_room room;

		if (!g_hash_table_add(seen, (gpointer)rack))
			continue;
		room = visit_gang_room(headroom, zone, rack, gang, false);
		if (room.missing == 0 && room.lower_load < best_load) {
			best = rack;
			best_load = room.lower_load;
		}
	}
	g_hash_table_destroy(seen);
	return best;
}

/* For members that find no room beside urgent tasks: workers that these will leave. */
static void keep_occupied(struct headroom *headroom, const char *zone,
			  const struct plan_demand_gang *gang, uint32_t members)
{
	for (size_t i = 0; i < headroom->count && members > 0; i++) {
		struct candidate emptied = {.worker = headroom->candidates[i].worker};

		if (emptied.worker->kept_free || !in_zone(emptied.worker, zone))
			continue;
		members -= count_members(&emptied, gang, members);
		keep(headroom, emptied.worker);
	}
}

static void keep_for_gang(struct headroom *headroom, const char *zone,
			  const struct plan_demand_gang *gang)
{
	const char *rack = gang->one_rack ? choose_rack(headroom, zone, gang) : NULL;

	struct gang_room room = visit_gang_room(headroom, zone, rack, gang, true);

	keep_occupied(headroom, zone, gang, room.missing);
}

static void cover(struct uncovered *uncovered, const struct plan_resources *room)
{
	uncovered->accelerators -= room->accelerators;
	uncovered->cpu_milli -= room->cpu_milli;
	uncovered->memory_mb -= room->memory_mb;
}

static bool takes_part_of(double need, uint32_t room)
{
	return room > 0 && need > WORKER_SHARE_MIN * room;
}

static uint32_t unused(uint32_t room, uint32_t use)
{
	return room > use ? room - use : 0;
}

static struct plan_resources room_beside_urgent(const struct candidate *candidate)
{
	const struct plan_resources *room = &candidate->worker->room;

	return (struct plan_resources){
		.cpu_milli = unused(room->cpu_milli, candidate->use.cpu_milli),
		.memory_mb = unused(room->memory_mb, candidate->use.memory_mb),
		.accelerators = unused(room->accelerators, candidate->use.accelerators),
	};
}

static void keep_for_forecast(struct headroom *headroom, const char *zone,
			      const struct plan_demand_forecast *forecast)
{
	struct uncovered uncovered = {forecast->accelerators, forecast->cpu_milli,
				      forecast->memory_mb};

	for (size_t i = 0; i < headroom->count; i++) {
		const struct candidate *candidate = &headroom->candidates[i];
		struct plan_resources room = room_beside_urgent(candidate);

		if (!in_zone(candidate->worker, zone))
			continue;
		cover(&uncovered, &candidate->use);
		if (candidate->worker->kept_free)
			cover(&uncovered, &room);
	}
	for (size_t i = 0; i < headroom->count; i++) {
		const struct candidate *candidate = &headroom->candidates[i];
		struct plan_resources room = room_beside_urgent(candidate);

		if (candidate->worker->kept_free || !in_zone(candidate->worker, zone) ||
		    !(takes_part_of(uncovered.accelerators, room.accelerators) ||
		      takes_part_of(uncovered.cpu_milli, room.cpu_milli) ||
		      takes_part_of(uncovered.memory_mb, room.memory_mb)))
			continue;
		keep(headroom, candidate->worker);
		cover(&uncovered, &room);
	}
}

/* What a wave of unknown size gets, by the time that a stop takes. */
static void keep_for_uncertainty(const struct plan *plan, struct headroom *headroom)
{
	double share = HEADROOM_SHARE_PER_STOP_S * plan->params.stop_ms / 1000.0;
	uint32_t count = (uint32_t)(headroom->count * MIN(share, HEADROOM_SHARE_MAX) + 0.5);

	for (size_t i = 0; i < headroom->count && headroom->kept < count; i++)
		keep(headroom, headroom->candidates[i].worker);
}

/* A zone without a worker to keep has its demand served elsewhere. */
static const char *zone_to_keep(const struct headroom *headroom, const char *zone)
{
	for (size_t i = 0; i < headroom->count; i++) {
		if (in_zone(headroom->candidates[i].worker, zone))
			return zone;
	}
	return "";
}

static void keep_for_service(struct plan *plan, const char *service, const bool *was_kept,
			     uint64_t now_ms)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct headroom headroom = {0};
	bool uncertain = false;
	const char *zone;

	for (size_t i = 0; (zone = plan_demand_zone(plan->demand, service, i)); i++) {
		struct plan_demand_forecast forecast =
			plan_demand_forecast(plan->demand, service, zone, now_ms);

		if (!forecast.expected)
			continue;
		if (!headroom.candidates)
			headroom = collect_candidates(plan, mem, service, was_kept, now_ms);
		zone = zone_to_keep(&headroom, zone);
		keep_for_gang(&headroom, zone, &forecast.largest_gang);
		keep_for_forecast(&headroom, zone, &forecast);
		plan->headroom.accelerators += forecast.accelerators;
		uncertain = uncertain || forecast.uncertain;
	}
	if (uncertain)
		keep_for_uncertainty(plan, &headroom);
	plan->headroom.workers += headroom.kept;
	talloc_free(mem);
}

void plan_keep_headroom(struct plan *plan, uint64_t now_ms)
{
	bool *was_kept = talloc_array(NULL, bool, plan->workers->len + 1);

	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];

		was_kept[i] = worker->kept_free;
		worker->kept_free = false;
	}
	plan->headroom = (struct plan_headroom){0};
	count_arrivals(plan);
	for (size_t i = 0; plan->conf && i < plan->conf->service_count; i++)
		keep_for_service(plan, plan->conf->services[i].name, was_kept, now_ms);
	talloc_free(was_kept);
}
