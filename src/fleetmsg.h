#ifndef JAYCOURSE_FLEETMSG_H
#define JAYCOURSE_FLEETMSG_H

#include "plan.h"

/**
 * DOC: What an agent and the leader of the fleet tell each other
 *
 * Both sides repeat their whole state, so that a lost message costs time and nothing else.
 */

/**
 * struct fleet_end - an end that a worker lists
 * @number: counts from 1 in each life of the worker
 */
struct fleet_end {
	uint64_t number;
	struct plan_run run;
	enum plan_end how;
};

/** struct fleet_refusal - a start that was refused */
struct fleet_refusal {
	struct plan_run run;
	enum plan_refusal why;
};

/**
 * struct fleet_report - an agent's view of its worker
 * @sent_ms: agent's clock, returned in the orders
 * @address: where the agent takes messages
 * @alive: false only when it is certain that the worker runs nothing
 * @list_age_ms: how long ago the worker made the list of its runs
 * @settled: the agent has a complete list of runs; without it only @info is valid
 */
struct fleet_report {
	uint64_t sent_ms;
	const char *address;
	uint64_t list_age_ms;
	bool alive;
	bool settled;
	struct plan_worker_info info;
	struct plan_run *running;
	size_t running_count;
	struct fleet_end *ends;
	size_t end_count;
	struct fleet_refusal *refusals;
	size_t refusal_count;
};

/**
 * struct fleet_orders - what the leader wants of an agent
 * @echo_ms: @sent_ms of the latest report; the worker's lease may be renewed for a time that
 *	counts from it
 * @incarnation: life of the worker that @ends_stored belongs to
 * @ends_stored: ends up to this number are stored and may be forgotten
 * @handled: refusals that the leader has taken note of
 * @report_ms: pause between reports without news
 * @unsure: the store has not confirmed the lead for a while, so another process may lead
 */
struct fleet_orders {
	uint64_t echo_ms;
	const char *incarnation;
	uint64_t ends_stored;
	struct plan_run *handled;
	size_t handled_count;
	struct plan_order *orders;
	size_t order_count;
	uint32_t report_ms;
	bool unsure;
};

/** fleet_report_write() - as JSON text, owned by @mem */
char *fleet_report_write(TALLOC_CTX *mem, const struct fleet_report *report);

/** fleet_report_read() - NULL when malformed; everything is owned by the result */
struct fleet_report *fleet_report_read(TALLOC_CTX *mem, const void *data, size_t len);

char *fleet_orders_write(TALLOC_CTX *mem, const struct fleet_orders *orders);
struct fleet_orders *fleet_orders_read(TALLOC_CTX *mem, const void *data, size_t len);

#endif
