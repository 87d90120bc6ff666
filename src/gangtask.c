#include "gangagent_int.h"
#include "log.h"
#include "util.h"

/* Context of one call to the worker. Names the task, as its record may have been replaced. */
struct task_call {
	struct gangagent *agent;
	char *task;
};

static struct task_call *create_task_call(struct gang_record *record)
{
	struct task_call *call = talloc_zero(record->agent->worker_calls, struct task_call);

	call->agent = record->agent;
	call->task = talloc_strdup(call, record->task);
	return call;
}

static void on_started(int status, const char *reason, void *ctx)
{
	struct task_call *call = ctx;
	struct gangagent *agent = call->agent;
	struct gang_record *record = gangagent_find_task(agent, call->task);

	talloc_free(call);
	if (!record)
		return;
	if (status) {
		gangagent_set_reason(record, reason);
		log_warn("task_start_failed", record->job, "member %u: %s", record->member.index,
			 record->reason);
	}
	if (status == -ERR_OUTCOME_UNKNOWN)
		gang_member_start_unanswered(&record->member, util_clock_ms(),
					     gangagent_action_queue(record));
	else
		gang_member_task_started(&record->member, status == 0, util_clock_ms(),
					 gangagent_action_queue(record));
	gangagent_run_actions(agent);
}

void gangtask_start(struct gang_record *record)
{
	struct worker_task_spec spec = {
		.id = record->task,
		.accelerator_mask = record->accelerator_mask,
		.cores = record->cores,
		.memory_mb = record->memory_mb,
		.payload = record->payload,
	};

	if (record->agent->worker) {
		worker_start_task(record->agent->worker, &spec, on_started,
				  create_task_call(record));
		return;
	}
	gangagent_set_reason(record, "the worker has left");
	gang_member_task_started(&record->member, false, util_clock_ms(),
				 gangagent_action_queue(record));
}

static void on_stopped(int status, uint64_t checkpoint_ms, void *ctx)
{
	struct task_call *call = ctx;
	struct gangagent *agent = call->agent;
	struct gang_record *record = gangagent_find_task(agent, call->task);

	talloc_free(call);
	if (!record)
		return;
	/* A checkpoint counts only if the worker has confirmed it. */
	record->checkpoint_ms = status == 0 ? checkpoint_ms : 0;
	gang_member_task_stopped(&record->member, util_clock_ms(), gangagent_action_queue(record));
	gangagent_run_actions(agent);
}

static void on_lease_expired(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			     void *data)
{
	struct gang_record *record = data;

	record->lease_timer = NULL;
	record->checkpoint_ms = 0;
	gang_member_task_stopped(&record->member, util_clock_ms(), gangagent_action_queue(record));
	gangagent_run_actions(record->agent);
}

/* Without the agent's renewals the worker stops the task when its lease expires. */
void gangtask_wait_for_lease_expiry(struct gang_record *record)
{
	if (record->lease_timer)
		return;
	record->lease_timer =
		tevent_add_timer(record->agent->ev, record,
				 tevent_timeval_current_ofs(TASK_LEASE_EXPIRY_MS / 1000,
							    TASK_LEASE_EXPIRY_MS % 1000 * 1000),
				 on_lease_expired, record);
}

void gangtask_stop(struct gang_record *record, const struct gang_action *action)
{
	bool checkpoint = action->checkpoint && record->checkpoint;

	if (record->agent->worker)
		worker_stop_task(record->agent->worker, record->task, checkpoint, action->grace_ms,
				 on_stopped, create_task_call(record));
	else
		gangtask_wait_for_lease_expiry(record);
}
