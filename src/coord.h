#ifndef JAYCOURSE_COORD_H
#define JAYCOURSE_COORD_H

#include "advice.h"
#include "fleetconf.h"
#include "kv.h"
#include "leader.h"
#include "metrics.h"
#include "plan.h"
#include "wire.h"
#include "zones.h"

/**
 * DOC: Controller of the job scheduler, run by the leader
 *
 * Reads the jobs from the store, passes the agents' reports to the plan, stores the state that
 * a later leader needs and sends the agents their orders. The controller exists only while this
 * process is the leader.
 *
 * Keys in the store: "job/ID" is the accepted job, written once by an entry; "job/ID.cancel"
 * marks it as cancelled, written by an entry; "progress/ID" is the plan's record of the job,
 * written by the leader only; "agent/NODE" is the address of an agent, written by the leader.
 */

struct coord;

struct coord_deps {
	struct tevent_context *ev;
	struct kv *kv;
	struct wire *wire;
	struct leader *leader;
	struct metrics *metrics;
	const struct advice_calls *advice; /* NULL: no advice service is configured */
	const char *node;
	const struct plan_params *params;
	uint32_t keep_ended_ms;	   /* ended jobs can be queried for this long */
	const struct zones *zones; /* evacuated ones; NULL: operators evacuate none */
	/* Time since the store last answered for @zones; UINT64_MAX before their first read. */
	uint64_t (*zones_age_ms)(void *ctx);
	void *zones_ctx;
	uint32_t zones_age_max_ms; /* with older knowledge of @zones nothing is started */
};

/**
 * coord_create() - start the controller of a new leader
 * @deps: copied; the objects it points to are borrowed
 * @conf: borrowed until the next coord_configure(); NULL while there is none
 *
 * Return: the controller; free it when this process is no longer the leader.
 */
struct coord *coord_create(TALLOC_CTX *mem, const struct coord_deps *deps,
			   const struct fleetconf *conf);

/** coord_configure() - use a new configuration; borrowed until the next call */
void coord_configure(struct coord *coord, const struct fleetconf *conf);

/**
 * coord_zone_changed() - a zone was evacuated or has returned, as &coord_deps.zones shows
 *
 * Return: number of tasks at work in the zone.
 */
uint32_t coord_zone_changed(struct coord *coord, const char *zone, bool closed);

/** coord_zones() - zones with workers, as a new JSON array for operators */
json_t *coord_zones(const struct coord *coord);

/**
 * coord_message() - handle a message from another process
 *
 * Return: true if the message was meant for the leader.
 */
bool coord_message(struct coord *coord, const char *peer, const struct msg *msg);

/**
 * coord_warn_agents() - warn the agents that another process may soon be the leader
 *
 * The agents then look for the new leader themselves, because the new leader may
 * be unable to reach them.
 */
void coord_warn_agents(struct coord *coord);

/**
 * coord_end() - tell the agents that this process is about to give up the lead
 *
 * They look for the next leader at once then, and not only when this one has been silent.
 */
void coord_end(struct coord *coord);

/**
 * coord_job_state() - state of a job to report to callers
 *
 * A job that has ended is reported as running until its end is stored.
 *
 * Return: 0; -ERR_NOT_FOUND when the leader does not know the job; -ERR_UNAVAILABLE while the
 * leader is still reading the jobs.
 */
int coord_job_state(const struct coord *coord, const char *id, enum plan_job_state *state);

/**
 * coord_count_pending() - number of jobs of a queue of which no task has started
 *
 * Return: 0, or -ERR_UNAVAILABLE while the leader is still reading the jobs.
 */
int coord_count_pending(const struct coord *coord, const char *queue, uint32_t *count);

/** coord_explain() - text on why a job is in its present state, owned by @mem */
char *coord_explain(const struct coord *coord, TALLOC_CTX *mem, const char *id);

#endif
