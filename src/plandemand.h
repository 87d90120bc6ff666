#ifndef JAYCOURSE_PLANDEMAND_H
#define JAYCOURSE_PLANDEMAND_H

#include "plan.h"

/**
 * DOC: Forecast of what urgent steps will ask for, from recent arrivals
 *
 * Made for urgent gangs that arrive in waves: several a second for some seconds, then none. It
 * knows neither workers nor running tasks. Times are those of the plan and do not go back.
 */

struct plan_demand;

/**
 * struct plan_demand_arrival - an urgent step that has become ready
 * @zone: the only zone that it prefers, or "" where any zone will do
 * @need: of one task
 * @gang, @one_rack: as in struct jobspec_step
 * @run_ms: expected time of one run
 */
struct plan_demand_arrival {
	const char *service;
	const char *zone;
	struct plan_resources need;
	uint32_t tasks;
	bool gang;
	bool one_rack;
	uint64_t run_ms;
	uint64_t at_ms;
};

/** struct plan_demand_gang - shape of a gang; no tasks: there was none */
struct plan_demand_gang {
	struct plan_resources need;
	uint32_t tasks;
	bool one_rack;
	uint64_t at_ms;
};

/**
 * struct plan_demand_forecast - what one zone of a service will be asked for
 * @accelerators, @cpu_milli, @memory_mb: in use at a time by urgent steps, those included that
 *	arrive while room for them is being made
 * @largest_gang: the largest recent one
 * @expected: a wave of arrivals is under way
 * @uncertain: it has been under way for too short a time to tell how large it will be
 */
struct plan_demand_forecast {
	double accelerators;
	double cpu_milli;
	double memory_mb;
	struct plan_demand_gang largest_gang;
	bool expected;
	bool uncertain;
};

/** plan_demand_create() - a forecast without arrivals; @stop_ms: a stop takes at most this long */
struct plan_demand *plan_demand_create(TALLOC_CTX *mem, uint32_t stop_ms);

/** plan_demand_destroy() - free a forecast; does nothing for NULL */
void plan_demand_destroy(struct plan_demand *demand);

/** plan_demand_arrive() - take an arrival into account */
void plan_demand_arrive(struct plan_demand *demand, const struct plan_demand_arrival *arrival);

/** plan_demand_zone() - zone number @index of those that arrivals at a service had, or NULL */
const char *plan_demand_zone(const struct plan_demand *demand, const char *service, size_t index);

/** plan_demand_forecast() - forecast for a zone of a service; "": for steps that take any zone */
struct plan_demand_forecast plan_demand_forecast(const struct plan_demand *demand,
						 const char *service, const char *zone,
						 uint64_t now_ms);

#endif
