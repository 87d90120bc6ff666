#include "plandemand.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/*
 * The load: about one urgent gang a second, of 5 tasks and 2 to 3 s, and bursts of 1.7 to 2.6
 * times as many for 3 to 4 s; between waves none for tens of seconds.
 *
 * An arrival that needs n accelerators for one stop and one run adds n times that time. Divided by
 * the time over which arrivals are averaged this is the number in use at a time (Little's law), so
 * steps with short and long runs are added up without an average of the runs.
 */

/*
 * Times over which arrivals are averaged. The short one follows a burst of 3 s within a second;
 * the long one holds what such a burst has shown while the next gangs are due.
 */
#define RISE_MS 2000.0
#define FALL_MS 6000.0
/* The trend is followed for this long, the time that a burst goes on rising. */
#define TREND_MS 1000.0
/* Estimates are off by up to ten times; urgent runs take 2 to 3 s. */
#define RUN_MS_MAX 10000
/* A wave is over after this many mean gaps; with random arrivals a gap is longer in 2% of cases. */
#define WAVE_END_GAPS 4.0
#define WAVE_END_MS_MIN 3000.0
#define WAVE_END_MS_MAX 10000.0
/* A younger wave has had too few arrivals, four at one a second, to average them. */
#define UNCERTAIN_MS 4000
#define GANG_RECENT_MS 10000
#define GANGS_MAX 32
#define ACCELERATOR_WEIGHT 8.0 /* one accelerator counts as this many processors */

/* An average over a short and a long time. */
struct average {
	double rise;
	double fall;
};

enum demand_kind {
	DEMAND_ACCELERATORS,
	DEMAND_CPU,
	DEMAND_MEMORY,
	DEMAND_ARRIVALS, /* number of arrivals in a millisecond */
	DEMAND_COUNT,
};

struct demand_cell {
	char *service;
	char *zone;
	struct average averages[DEMAND_COUNT]; /* as of @at_ms */
	uint64_t began_ms;		       /* first arrival of the wave */
	uint64_t at_ms;			       /* latest arrival */
	struct plan_demand_gang gangs[GANGS_MAX];
	uint32_t next_gang; /* index in @gangs that is written next */
};

struct plan_demand {
	uint32_t stop_ms;
	struct demand_cell *cells;
	size_t cell_count;
};

struct plan_demand *plan_demand_create(TALLOC_CTX *mem, uint32_t stop_ms)
{
	struct plan_demand *demand = talloc_zero(mem, struct plan_demand);

	demand->stop_ms = stop_ms;
	return demand;
}

void plan_demand_destroy(struct plan_demand *demand)
{
	talloc_free(demand);
}

static struct demand_cell *find_cell(const struct plan_demand *demand, const char *service,
				     const char *zone)
{
	for (size_t i = 0; i < demand->cell_count; i++) {
		struct demand_cell *cell = &demand->cells[i];

		if (!strcmp(cell->service, service) && !strcmp(cell->zone, zone))
			return cell;
	}
	return NULL;
}

static struct demand_cell *make_cell(struct plan_demand *demand, const char *service,
				     const char *zone)
{
	struct demand_cell *cell = find_cell(demand, service, zone);

	if (cell)
		return cell;
	demand->cells =
		talloc_realloc(demand, demand->cells, struct demand_cell, demand->cell_count + 1);
	cell = &demand->cells[demand->cell_count++];
	*cell = (struct demand_cell){
		.service = talloc_strdup(demand, service),
		.zone = talloc_strdup(demand, zone),
	};
	return cell;
}

static struct average decayed(struct average average, double elapsed_ms)
{
	return (struct average){average.rise * exp(-elapsed_ms / RISE_MS),
				average.fall * exp(-elapsed_ms / FALL_MS)};
}

/* False once no arrival has come for so long that no more is expected soon. */
static bool wave_goes_on(const struct demand_cell *cell, uint64_t now_ms)
{
	double rate = cell->averages[DEMAND_ARRIVALS].fall;
	double limit_ms;

	if (cell->at_ms == 0)
		return false;
	limit_ms = CLAMP(WAVE_END_GAPS / rate, WAVE_END_MS_MIN, WAVE_END_MS_MAX);
	return now_ms < cell->at_ms || (double)(now_ms - cell->at_ms) <= limit_ms;
}

static void add_arrival(struct demand_cell *cell, const double amounts[DEMAND_COUNT],
			uint64_t at_ms)
{
	double elapsed_ms = at_ms > cell->at_ms ? (double)(at_ms - cell->at_ms) : 0;

	for (int i = 0; i < DEMAND_COUNT; i++) {
		struct average *average = &cell->averages[i];

		*average = decayed(*average, elapsed_ms);
		average->rise += amounts[i] / RISE_MS;
		average->fall += amounts[i] / FALL_MS;
	}
	cell->at_ms = MAX(cell->at_ms, at_ms);
}

void plan_demand_arrive(struct plan_demand *demand, const struct plan_demand_arrival *arrival)
{
	struct demand_cell *cell = make_cell(demand, arrival->service, arrival->zone);
	double task_ms = (double)arrival->tasks *
			 (double)(demand->stop_ms + MIN(arrival->run_ms, RUN_MS_MAX));
	const double amounts[DEMAND_COUNT] = {
		[DEMAND_ACCELERATORS] = task_ms * arrival->need.accelerators,
		[DEMAND_CPU] = task_ms * arrival->need.cpu_milli,
		[DEMAND_MEMORY] = task_ms * arrival->need.memory_mb,
		[DEMAND_ARRIVALS] = 1,
	};

	if (!wave_goes_on(cell, arrival->at_ms)) {
		memset(cell->averages, 0, sizeof(cell->averages));
		memset(cell->gangs, 0, sizeof(cell->gangs));
		cell->began_ms = arrival->at_ms;
	}
	add_arrival(cell, amounts, arrival->at_ms);
	if (arrival->gang)
		cell->gangs[cell->next_gang++ % GANGS_MAX] = (struct plan_demand_gang){
			arrival->need, arrival->tasks, arrival->one_rack, arrival->at_ms};
}

static double gang_size(const struct plan_demand_gang *gang)
{
	return gang->tasks *
	       (gang->need.cpu_milli / 1000.0 + ACCELERATOR_WEIGHT * gang->need.accelerators);
}

static struct plan_demand_gang largest_gang(const struct demand_cell *cell, uint64_t now_ms)
{
	struct plan_demand_gang largest = {0};

	for (int i = 0; i < GANGS_MAX; i++) {
		const struct plan_demand_gang *gang = &cell->gangs[i];

		if (gang->tasks > 0 && gang->at_ms + GANG_RECENT_MS > now_ms &&
		    gang_size(gang) > gang_size(&largest))
			largest = *gang;
	}
	return largest;
}

/* The level rises with the short average and falls with the long one. */
static double expected_amount(const struct demand_cell *cell, enum demand_kind kind,
			      uint64_t now_ms)
{
	double elapsed_ms = now_ms > cell->at_ms ? (double)(now_ms - cell->at_ms) : 0;
	struct average average = decayed(cell->averages[kind], elapsed_ms);
	double trend = MAX(0, average.rise - average.fall) / (FALL_MS - RISE_MS);

	return MAX(average.rise, average.fall) + trend * TREND_MS;
}

const char *plan_demand_zone(const struct plan_demand *demand, const char *service, size_t index)
{
	for (size_t i = 0; i < demand->cell_count; i++) {
		if (!strcmp(demand->cells[i].service, service) && index-- == 0)
			return demand->cells[i].zone;
	}
	return NULL;
}

struct plan_demand_forecast plan_demand_forecast(const struct plan_demand *demand,
						 const char *service, const char *zone,
						 uint64_t now_ms)
{
	const struct demand_cell *cell = find_cell(demand, service, zone);

	if (!cell || !wave_goes_on(cell, now_ms))
		return (struct plan_demand_forecast){0};
	return (struct plan_demand_forecast){
		.accelerators = expected_amount(cell, DEMAND_ACCELERATORS, now_ms),
		.cpu_milli = expected_amount(cell, DEMAND_CPU, now_ms),
		.memory_mb = expected_amount(cell, DEMAND_MEMORY, now_ms),
		.largest_gang = largest_gang(cell, now_ms),
		.expected = true,
		.uncertain = now_ms < cell->began_ms + UNCERTAIN_MS,
	};
}
