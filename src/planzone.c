#include "plan_int.h"

#include <string.h>

/*
 * Zones that operators have evacuated. The load: a third of the workers takes nothing new for some
 * seconds to minutes while its running work goes on, so what waits needs the rest of the fleet.
 * Workers of such a zone count as not accepting, which keeps starts, reservations, headroom and
 * racks away from them.
 */

bool plan_zone_closed(const struct plan *plan, const char *zone)
{
	return plan->closed_zones && g_hash_table_contains(plan->closed_zones, zone);
}

void plan_update_accepting(const struct plan *plan, struct worker *worker)
{
	worker->accepting = worker->offers_room && !plan_zone_closed(plan, worker->zone);
}

void plan_set_zone_closed(struct plan *plan, const char *zone, bool closed)
{
	if (!plan->closed_zones)
		plan->closed_zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (closed)
		g_hash_table_add(plan->closed_zones, g_strdup(zone));
	else
		g_hash_table_remove(plan->closed_zones, zone);
	for (guint i = 0; i < plan->workers->len; i++)
		plan_update_accepting(plan, plan->workers->pdata[i]);
}

bool plan_worker_closed(const struct plan *plan, const char *node)
{
	const struct worker *worker = plan_find_worker(plan, node);

	return worker && plan_zone_closed(plan, worker->zone);
}

/* A start that its worker has not confirmed may still be repeated by the agent, so it is stopped.
 */
void plan_withdraw_starts(struct plan *plan)
{
	for (guint i = 0; i < plan->workers->len; i++) {
		struct worker *worker = plan->workers->pdata[i];

		if (!plan_zone_closed(plan, worker->zone))
			continue;
		for (struct task *task = worker->tasks; task; task = task->next_on_worker) {
			if (task->state == TASK_STARTING)
				plan_stop_gang(task, "its zone is evacuated");
		}
	}
}

bool plan_closed_zone_has_room(const struct plan *plan, const struct step_run *step)
{
	for (guint i = 0; i < plan->workers->len; i++) {
		const struct worker *worker = plan->workers->pdata[i];

		if (worker->offers_room && !worker->accepting &&
		    plan_worker_could_hold(worker, step) &&
		    plan_count_room_on_worker(worker, step, 1) > 0)
			return true;
	}
	return false;
}

size_t plan_zones(const struct plan *plan, TALLOC_CTX *mem, struct plan_zone **out)
{
	size_t count = 0;

	*out = talloc_zero_array(mem, struct plan_zone, plan->workers->len + 1);
	for (guint i = 0; i < plan->workers->len; i++) {
		const struct worker *worker = plan->workers->pdata[i];
		size_t k = 0;

		if (!worker->present)
			continue;
		while (k < count && strcmp((*out)[k].name, worker->zone) != 0)
			k++;
		if (k == count)
			(*out)[count++] = (struct plan_zone){
				.name = worker->zone,
				.closed = plan_zone_closed(plan, worker->zone),
			};
		(*out)[k].workers++;
		for (const struct task *task = worker->tasks; task; task = task->next_on_worker)
			(*out)[k].tasks++;
	}
	return count;
}
