#include "plan_int.h"

#include <string.h>

/*
 * How long a step waits for a better place. A preference (racks, reservations, headroom, pauses of
 * workers) holds work back only while that is expected to cost less than starting elsewhere, and
 * never for long while there is ample room. This file alone decides that.
 */

/*
 * No preference holds work back for longer while there is ample room for it, and no rack a job
 * within its guarantee: with a stop of 900 ms it still starts within the bound of 2,900 ms.
 */
#define PREFERENCE_WAIT_MAX_MS 1000
#define AMPLE_FACTOR 2U /* room for the step this many times over */
/* Share of the service in use; a half, and a margin for runs whose ends are not reported yet. */
#define AMPLE_USE_MAX 0.55
#define AMPLE_GAP_MS 500      /* a shorter lack of room does not end the time */
#define PRICE_INTERVAL_MS 250 /* between two looks at when a rack has room */
#define FREE_SHARE_MIN 0.05   /* bounds the price of room on a full service */

static double used_share(uint64_t used, uint64_t room)
{
	return room > 0 ? (double)used / (double)room : 0;
}

/*
 * Share of the room of the service's workers that is in use; of the resource that is used most.
 * Workers that accept no tasks count only with @draining.
 */
static double measure_use(const struct plan *plan, const char *service, bool draining)
{
	uint64_t used[3] = {0};
	uint64_t room[3] = {0};
	double share;

	for (guint i = 0; i < plan->workers->len; i++) {
		const struct worker *worker = plan->workers->pdata[i];

		if (!worker->present || (!worker->accepting && !draining) ||
		    strcmp(worker->service, service) != 0)
			continue;
		used[0] += worker->used.cpu_milli;
		used[1] += worker->used.memory_mb;
		used[2] += worker->used.accelerators;
		room[0] += worker->room.cpu_milli;
		room[1] += worker->room.memory_mb;
		room[2] += worker->room.accelerators;
	}
	share = used_share(used[0], room[0]);
	share = MAX(share, used_share(used[1], room[1]));
	return MAX(share, used_share(used[2], room[2]));
}

/* While workers drain, the service counts as full only if it is with and without them. */
static double service_use(struct plan *plan, const char *service)
{
	if (plan->use_service != service) {
		double accepting = measure_use(plan, service, false);
		double all = measure_use(plan, service, true);

		plan->use_service = service;
		plan->use_share = MIN(accepting, all);
	}
	return plan->use_share;
}

/* A lasting task is to run whenever there is room, however full its service is. */
bool plan_has_ample_room(struct plan *plan, const struct step_run *step, uint64_t now_ms)
{
	uint32_t needed = AMPLE_FACTOR * (step->spec->gang ? step->spec->count : 1);

	return (step->spec->long_running ||
		service_use(plan, step->occurrence->job->queue->service) < AMPLE_USE_MAX) &&
	       plan_count_room(plan, step, PLAN_WAIVE_ALL | PLAN_WAIVE_FAILURE, needed, now_ms) >=
		       needed;
}

static bool prefers_rack(const struct jobspec_step *spec)
{
	return spec->gang ? spec->one_rack : *spec->data_rack != '\0';
}

/*
 * Whether a rack has room so late that the step is cheaper away from it. There it holds room for
 * longer, which costs others the more the less of it is left.
 */
static bool rack_too_late(struct plan *plan, struct step_run *step, uint64_t now_ms)
{
	struct step_wait *wait = &step->wait;
	double use;
	double extra_ms;
	uint64_t due_ms;

	if (wait->priced_ms && now_ms - wait->priced_ms < PRICE_INTERVAL_MS)
		return wait->rack_too_late;
	use = service_use(plan, step->occurrence->job->queue->service);
	extra_ms = (plan->params.away_factor - 1) * (double)plan_expected_run_ms(step) /
		   MAX(1 - use, FREE_SHARE_MIN);
	due_ms = plan_rack_due_ms(plan, step, now_ms);
	wait->priced_ms = now_ms;
	/* The time waited so far counts, so that a rack that is always due soon ends the wait too.
	 */
	wait->rack_too_late = (double)(due_ms - wait->began_ms) > extra_ms;
	return wait->rack_too_late;
}

/* Stops make room for a guarantee on any rack, and it is to be used in time. */
static bool waited_for_guarantee(const struct step_run *step, uint64_t now_ms)
{
	return step->occurrence->job->guaranteed &&
	       now_ms - step->wait.began_ms >= PREFERENCE_WAIT_MAX_MS;
}

unsigned int plan_waived_preferences(struct plan *plan, struct step_run *step, uint64_t now_ms)
{
	struct step_wait *wait = &step->wait;

	if (!wait->began_ms)
		wait->began_ms = now_ms;
	if (plan_has_ample_room(plan, step, now_ms)) {
		if (!wait->roomy_since_ms)
			wait->roomy_since_ms = now_ms;
		wait->roomy_seen_ms = now_ms;
	} else if (now_ms - wait->roomy_seen_ms > AMPLE_GAP_MS) {
		wait->roomy_since_ms = 0;
	}
	if (wait->roomy_since_ms && now_ms - wait->roomy_since_ms >= PREFERENCE_WAIT_MAX_MS)
		return PLAN_WAIVE_ALL;
	if (!prefers_rack(step->spec))
		return 0;
	return waited_for_guarantee(step, now_ms) || rack_too_late(plan, step, now_ms)
		       ? PLAN_WAIVE_RACK
		       : 0;
}
