#ifndef JAYCOURSE_COORD_H
#define JAYCOURSE_COORD_H

#include "advice.h"
#include "fleetconf.h"
#include "kv.h"
#include "leader.h"
#include "metrics.h"
#include "plan.h"
#include "wire.h"

/**
 * DOC: The leader's controller
 *
 * Reads the jobs from the store, feeds the plan with what the agents report, stores what has
 * to last and sends the agents their orders. It exists while this process leads.
 *
 * Keys: "job/ID" is the accepted job, written once by an entry; "job/ID.cancel" its
 * cancellation, written by an entry; "progress/ID" is the plan's record, written by the
 * leader only; "agent/NODE" is the address of an agent, written by the leader.
 */

struct coord;

struct coord_deps {
	struct tevent_context *ev;
	struct kv *kv;
	struct wire *wire;
	struct leader *leader;
	struct metrics *metrics;
	const struct advice_calls *advice; /* NULL: there is no such service */
	const char *node;
	const struct plan_params *params;
	uint32_t keep_ended_ms; /* ended jobs are shown for this long */
};

/** coord_create() - begin to lead; freeing it ends that. @deps is copied, its parts borrowed */
struct coord *coord_create(TALLOC_CTX *mem, const struct coord_deps *deps,
			   const struct fleetconf *conf);

/** coord_configure() - a new configuration; borrowed until the next one */
void coord_configure(struct coord *coord, const struct fleetconf *conf);

/** coord_message() - a message from another process; true if it was for the leader */
bool coord_message(struct coord *coord, const char *peer, const struct msg *msg);

/**
 * coord_lead_unsure() - the lead may end any moment; the agents are told at once
 *
 * They look for a later leader themselves, also where that one can't reach them.
 */
void coord_lead_unsure(struct coord *coord);

/**
 * coord_job_state() - state of a job as it may be shown
 *
 * An end is shown only once it is stored.
 *
 * Return: 0; -ERR_NOT_FOUND when the leader does not know the job; -ERR_UNAVAILABLE while it
 * is still reading the jobs.
 */
int coord_job_state(const struct coord *coord, const char *id, enum plan_job_state *state);

/** coord_pending() - jobs of a queue of which nothing has started, or -ERR_UNAVAILABLE */
int coord_pending(const struct coord *coord, const char *queue, uint32_t *count);

/** coord_explain() - why a job is where it is, owned by @mem */
char *coord_explain(const struct coord *coord, TALLOC_CTX *mem, const char *id);

#endif
