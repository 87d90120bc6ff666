#include "gangagent_int.h"
#include "log.h"
#include "util.h"

/* Context of one call to the worker; the record may have been replaced meanwhile. */
struct task_call {
	struct gangagent *g;
	char *task;
};

static struct task_call *task_call(struct gang_record *r)
{
	struct task_call *call = talloc_zero(r->g->calls, struct task_call);

	call->g = r->g;
	call->task = talloc_strdup(call, r->task);
	return call;
}

static void on_started(int status, const char *reason, void *ctx)
{
	struct task_call *call = ctx;
	struct gangagent *g = call->g;
	struct gang_record *r = gangagent_find_task(g, call->task);

	talloc_free(call);
	if (!r)
		return;
	if (status) {
		gangagent_set_reason(r, reason);
		log_warn("task_start_failed", r->job, "member %u: %s", r->gang.index, r->reason);
	}
	gang_member_task_started(&r->gang, status == 0, util_clock_ms(), gangagent_out(r));
	gangagent_run(g);
}

void gangtask_start(struct gang_record *r)
{
	struct worker_task_spec spec = {
		.id = r->task,
		.accelerator_mask = r->mask,
		.cores = r->cores,
		.memory_mb = r->memory_mb,
		.payload = r->payload,
	};

	if (r->g->worker) {
		worker_start(r->g->worker, &spec, on_started, task_call(r));
		return;
	}
	gangagent_set_reason(r, "the worker has left");
	gang_member_task_started(&r->gang, false, util_clock_ms(), gangagent_out(r));
}

static void on_stopped(int status, uint64_t checkpoint_ms, void *ctx)
{
	struct task_call *call = ctx;
	struct gangagent *g = call->g;
	struct gang_record *r = gangagent_find_task(g, call->task);

	talloc_free(call);
	if (!r)
		return;
	/* Without the worker's word a checkpoint cannot be relied on. */
	r->checkpoint_ms = status == 0 ? checkpoint_ms : 0;
	gang_member_task_stopped(&r->gang, util_clock_ms(), gangagent_out(r));
	gangagent_run(g);
}

static void on_lapse(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		     void *data)
{
	struct gang_record *r = data;

	r->lapse = NULL;
	r->checkpoint_ms = 0;
	gang_member_task_stopped(&r->gang, util_clock_ms(), gangagent_out(r));
	gangagent_run(r->g);
}

/* Nobody renews the task's lease any more, so the worker stops it. */
void gangtask_wait_for_lapse(struct gang_record *r)
{
	if (r->lapse)
		return;
	r->lapse = tevent_add_timer(
		r->g->ev, r, tevent_timeval_current_ofs(GANG_LEASE_MS / 1000, 0), on_lapse, r);
}

void gangtask_stop(struct gang_record *r, const struct gang_action *action)
{
	bool checkpoint = action->checkpoint && r->checkpoint;

	if (r->g->worker)
		worker_stop(r->g->worker, r->task, checkpoint, action->grace_ms, on_stopped,
			    task_call(r));
	else
		gangtask_wait_for_lapse(r);
}
