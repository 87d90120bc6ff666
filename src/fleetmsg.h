#ifndef JAYCOURSE_FLEETMSG_H
#define JAYCOURSE_FLEETMSG_H

#include "plan.h"

/**
 * DOC: Messages between an agent and the leader of the fleet
 *
 * Each message contains the sender's complete state, so a lost message causes only a delay.
 */

/**
 * struct fleet_run_end - the end of a run, as listed by its worker
 * @number: sequence number of the end within one worker incarnation, from 1
 */
struct fleet_run_end {
	uint64_t number;
	struct plan_run run;
	enum plan_end how;
};

/** struct fleet_refusal - a run that its worker refused to start */
struct fleet_refusal {
	struct plan_run run;
	enum plan_refusal why;
};

/**
 * struct fleet_report - an agent's view of its worker
 * @session: the latest that the leader has given to this process; 0: none yet
 * @sent_ms: time of sending on the agent's clock; the leader returns it in its orders
 * @address: where the agent receives messages
 * @alive: false only when it is certain that the worker runs nothing
 * @why_down: the evidence for that, for the log; "" while @alive
 * @list_age_ms: time since the worker made the list of its runs
 * @settled: the agent has a complete list of runs, and no call that was sent under an earlier term
 *	can add to it any more; otherwise only @info is valid
 * @more_ends: the worker may have further ends, so a run that @running and @ends lack may have
 *ended
 * @unreadable: the same is true because parts of the list or of the report could not be read
 * @long_lease_ms: for this long runs may be left on the worker, which has restarted under its
 *	identifier, by the clock of its former incarnation; 0: no longer than usual
 * @pending: runs that may still begin, and those of which it is not known whether they have ended
 */
struct fleet_report {
	uint64_t session;
	uint64_t sent_ms;
	const char *address;
	uint64_t list_age_ms;
	bool alive;
	const char *why_down;
	bool settled;
	bool more_ends;
	bool unreadable;
	uint64_t long_lease_ms;
	struct plan_worker_info info;
	struct plan_run *running;
	size_t running_count;
	struct plan_run *pending;
	size_t pending_count;
	struct fleet_run_end *ends;
	size_t end_count;
	struct fleet_refusal *refusals;
	size_t refusal_count;
};

/**
 * struct fleet_orders - the leader's orders to an agent
 * @session: number of the agent's process, which its reports must carry. The leader takes reports
 *	only of the highest session that it has heard of, so messages of a process that has ended
 *	have no effect, however late they arrive.
 * @echo_ms: &fleet_report.sent_ms of the latest report
 * @valid_ms: the agent may start runs and renew the worker's lease until this long after @echo_ms;
 *	0 when the leader may have been replaced
 * @incarnation: incarnation of the worker that @ends_stored refers to
 * @ends_stored: the ends up to this number are in the store, so the agent may drop them
 * @handled: refusals that the leader has processed
 * @report_ms: interval of reports while the agent's state does not change
 * @unsure: the renewal of the leader's own lease is overdue, so another process may have become
 *	the leader
 * @closed: nothing may be started on the worker now: its zone is evacuated, or the leader may not
 *	know whether it is
 * @health_path: at which the agent asks its worker whether it is healthy; "" or NULL: it does not
 * @unreadable: parts of @orders could not be read
 */
struct fleet_orders {
	uint64_t session;
	uint64_t echo_ms;
	uint32_t valid_ms;
	const char *incarnation;
	uint64_t ends_stored;
	struct plan_run *handled;
	size_t handled_count;
	struct plan_order *orders;
	size_t order_count;
	uint32_t report_ms;
	bool unsure;
	bool closed;
	const char *health_path;
	bool unreadable;
};

/** fleet_report_write() - convert a report to JSON text, owned by @mem */
char *fleet_report_write(TALLOC_CTX *mem, const struct fleet_report *report);

/**
 * fleet_report_read() - parse a report
 *
 * Return: the report, which owns all its parts, or NULL when it is malformed.
 */
struct fleet_report *fleet_report_read(TALLOC_CTX *mem, const void *data, size_t len);

char *fleet_orders_write(TALLOC_CTX *mem, const struct fleet_orders *orders);
struct fleet_orders *fleet_orders_read(TALLOC_CTX *mem, const void *data, size_t len);

#endif
