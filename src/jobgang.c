#include "jobs_int.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <string.h>

/* One attempt to run a job's gang. Owned by the placement leader. */
struct job_gang {
	struct job_leader *leader;
	struct job_record *job;
	struct gang_coordinator protocol; /* state machine of the leader's side; see gang.h */
	uint32_t place_attempt;
	struct job_member *members;
	bool ended;	    /* the coordinator reported GANG_ENDED; not processed yet */
	char *reason;	    /* reported by the first member that ended with an error */
	char *abort_reason; /* why the job is given up or cancelled; NULL if it is not */
};

static struct gang_action_sink gang_output(struct job_gang *gang);

static const struct config_class *find_class(const struct config *config,
					     const struct job_record *job)
{
	return config ? config_class(config, job->class_name) : NULL;
}

static struct job_worker *member_worker(const struct job_gang *gang, uint32_t member)
{
	struct job_worker *worker =
		g_hash_table_lookup(gang->leader->workers, gang->members[member].worker);

	return worker && worker->present ? worker : NULL;
}

static void send_to_member(const struct job_gang *gang, uint32_t member, const struct msg *msg)
{
	struct job_worker *worker = member_worker(gang, member);

	if (worker)
		wire_send(gang->leader->jobs->deps.wire, worker->peer, msg);
}

static void send_hold(const struct job_gang *gang, uint32_t member)
{
	struct jobs *jobs = gang->leader->jobs;
	struct config *config = configrepo_current(jobs->deps.configs);
	const struct config_class *class = find_class(config, gang->job);
	struct msg msg = {.type = MSG_HOLD};

	msg.u.hold = (struct msg_hold){
		.epoch = gang->protocol.epoch,
		.job = gang->job->id,
		.attempt = gang->protocol.attempt,
		.member = member,
		.organisation = gang->job->organisation,
		.class_name = gang->job->class_name,
		.accelerator_mask = gang->members[member].mask,
		.cores = gang->job->shape.cores,
		.memory_mb = gang->job->shape.memory_mb,
		.ttl_ms = GANG_HOLD_TTL_MS,
		.checkpoint = class && class->checkpoint,
		.payload = {(const uint8_t *)gang->job->payload, strlen(gang->job->payload)},
	};
	send_to_member(gang, member, &msg);
	if (config)
		configrepo_release(jobs->deps.configs, config);
}

static void send_start(const struct job_gang *gang, uint32_t member)
{
	const char *nodes[PLACE_MEMBERS_MAX];
	const char *addresses[PLACE_MEMBERS_MAX];
	struct msg msg = {.type = MSG_START};

	for (uint32_t i = 0; i < gang->protocol.members; i++) {
		struct job_worker *worker = member_worker(gang, i);

		/*
		 * The members cannot connect into a ring without the addresses of all of them.
		 * START is not sent now; the coordinator repeats it later.
		 */
		if (!worker)
			return;
		nodes[i] = worker->node;
		addresses[i] = worker->address;
	}
	msg.u.start = (struct msg_start){
		.epoch = gang->protocol.epoch,
		.job = gang->job->id,
		.attempt = gang->protocol.attempt,
		.member = member,
		.nodes = {nodes, gang->protocol.members},
		.addresses = {addresses, gang->protocol.members},
	};
	send_to_member(gang, member, &msg);
}

static void send_stop(const struct job_gang *gang, const struct gang_action *action)
{
	struct msg msg = {.type = MSG_STOP};

	msg.u.stop = (struct msg_stop){
		.epoch = gang->protocol.epoch,
		.job = gang->job->id,
		.attempt = gang->protocol.attempt,
		.grace_ms = action->grace_ms,
		.checkpoint = action->checkpoint,
	};
	send_to_member(gang, action->member, &msg);
}

static void send_release(const struct job_gang *gang, uint32_t member)
{
	struct msg msg = {.type = MSG_RELEASE};

	msg.u.release = (struct msg_release){.epoch = gang->protocol.epoch,
					     .job = gang->job->id,
					     .attempt = gang->protocol.attempt};
	send_to_member(gang, member, &msg);
}

static void process_end(struct job_gang *gang);

static void copy_grant(struct job_gang *gang)
{
	struct job_record *job = gang->job;

	job_clear_members(job);
	job->members = talloc_zero_array(job, struct job_member, gang->protocol.members);
	job->member_count = gang->protocol.members;
	for (uint32_t i = 0; i < gang->protocol.members; i++) {
		job->members[i].worker = talloc_strdup(job->members, gang->members[i].worker);
		job->members[i].mask = gang->members[i].mask;
	}
}

static void withdraw_grant(struct job_record *job)
{
	job->state = JOBS_WAITING;
	job->grant = 0;
	job_clear_members(job);
}

static void on_grant_written(int status, void *ctx)
{
	struct job_gang *gang = ctx;

	if (status) {
		metrics_count_refusal(gang->leader->jobs->deps.metrics, "grant_not_written");
		withdraw_grant(gang->job);
	}
	gang_coordinator_grant_written(&gang->protocol, status, util_clock_ms(), gang_output(gang));
	process_end(gang);
}

static void write_grant(struct job_gang *gang)
{
	struct job_record *job = gang->job;

	copy_grant(gang);
	job->state = JOBS_STARTING;
	job->attempt = gang->place_attempt;
	job->grant = gang->protocol.attempt;
	job_shards_write(gang->leader->shards, job->id, true, on_grant_written, gang);
}

static void mark_running(struct job_gang *gang)
{
	gang->job->state = JOBS_RUNNING;
	log_info("job_running", gang->job->id, "attempt %u", gang->place_attempt);
	place_started(gang->leader->place, gang->job->id, gang->place_attempt, util_clock_ms());
	job_shards_write_lazily(gang->leader->shards, gang->job->id);
	job_leader_schedule_step(gang->leader);
}

static void perform_action(const struct gang_action *action, void *ctx)
{
	struct job_gang *gang = ctx;

	switch (action->kind) {
	case GANG_SEND_HOLD:
		send_hold(gang, action->member);
		break;
	case GANG_SEND_START:
		send_start(gang, action->member);
		break;
	case GANG_SEND_STOP:
		send_stop(gang, action);
		break;
	case GANG_SEND_RELEASE:
		send_release(gang, action->member);
		break;
	case GANG_WRITE_GRANT:
		write_grant(gang);
		break;
	case GANG_RUNNING:
		mark_running(gang);
		break;
	case GANG_ENDED:
		gang->ended = true;
		break;
	default:
		break;
	}
}

static struct gang_action_sink gang_output(struct job_gang *gang)
{
	struct gang_action_sink out = {perform_action, gang};

	return out;
}

static struct job_gang *add_gang(struct job_leader *leader, struct job_record *job,
				 uint32_t attempt, const struct job_member *members, uint32_t count)
{
	struct job_gang *gang = talloc_zero(leader, struct job_gang);

	gang->leader = leader;
	gang->job = job;
	gang->place_attempt = attempt;
	gang->members = talloc_zero_array(gang, struct job_member, count);
	for (uint32_t i = 0; i < count; i++) {
		gang->members[i].worker = talloc_strdup(gang, members[i].worker);
		gang->members[i].mask = members[i].mask;
	}
	job->gang = gang;
	g_ptr_array_add(leader->gangs, gang);
	return gang;
}

static void begin_attempt(struct job_leader *leader, struct job_record *job, uint32_t attempt,
			  const struct job_member *members, uint32_t count)
{
	struct job_gang *gang = add_gang(leader, job, attempt, members, count);

	job->attempt = attempt;
	gang_coordinator_begin(&gang->protocol, leader->epoch, gang_attempt(leader->epoch, attempt),
			       count, util_clock_ms(), gang_output(gang));
	process_end(gang);
}

/* Ends a job that was cancelled or given up while the end of its attempt was being recorded. */
static void end_withdrawn_job(struct job_gang *gang)
{
	struct job_record *job = gang->job;

	if (job_ended(job) || (!job->cancel && !gang->abort_reason))
		return;
	job_leader_end_job(gang->leader, job, job->cancel ? JOBS_CANCELLED : JOBS_FAILED,
			   gang->abort_reason ? gang->abort_reason : "cancelled");
	job_shards_write(gang->leader->shards, job->id, false, NULL, NULL);
	place_cancel(gang->leader->place, job->id, util_clock_ms());
}

static void remove_gang(struct job_gang *gang)
{
	struct job_leader *leader = gang->leader;
	struct job_record *job = gang->job;
	struct job_start *next = job->next_start;

	g_ptr_array_remove(leader->gangs, gang);
	job->gang = NULL;
	job->next_start = NULL;
	end_withdrawn_job(gang);
	talloc_free(gang);
	if (!job_ended(job) && !job->added_to_place)
		job_leader_add_to_place(leader, job);
	if (next && job_ended(job))
		place_ended(leader->place, job->id, next->attempt, PLACE_STOPPED, NULL,
			    util_clock_ms());
	else if (next)
		begin_attempt(leader, job, next->attempt, next->members, next->member_count);
	talloc_free(next);
	job_leader_schedule_step(leader);
}

static void on_end_recorded(int status, void *ctx)
{
	struct job_gang *gang = ctx;

	gang_coordinator_end_recorded(&gang->protocol, gang_output(gang));
	remove_gang(gang);
}

static void report_end(struct job_gang *gang, enum place_outcome outcome, const char *fault_worker)
{
	place_ended(gang->leader->place, gang->job->id, gang->place_attempt, outcome, fault_worker,
		    util_clock_ms());
	/* After the loss of a worker, the decision module may have queued the ended job again. */
	if (job_ended(gang->job))
		place_cancel(gang->leader->place, gang->job->id, util_clock_ms());
	job_leader_schedule_step(gang->leader);
}

/*
 * A job that is not idempotent is not started again once one of its tasks may have run, unless
 * all members were stopped after a checkpoint.
 */
static bool is_outcome_unknown(const struct job_gang *gang, const struct gang_result *result)
{
	bool saved = result->outcome == PLACE_STOPPED && result->checkpointed;

	return result->may_have_run && !saved && !job_is_restartable(gang->leader->jobs, gang->job);
}

static void record_outcome(struct job_gang *gang, const struct gang_result *result)
{
	struct job_leader *leader = gang->leader;
	struct job_record *job = gang->job;
	const char *fault_worker = result->fault >= 0 ? gang->members[result->fault].worker : NULL;
	enum place_outcome outcome = result->outcome;

	if (outcome == PLACE_DONE) {
		job_leader_end_job(leader, job, JOBS_DONE, "");
	} else if (outcome == PLACE_JOB_FAILED) {
		job_leader_end_job(leader, job, JOBS_FAILED,
				   gang->reason ? gang->reason : "the task failed");
	} else if (job->cancel) {
		job_leader_end_job(leader, job, JOBS_CANCELLED, "cancelled");
	} else if (is_outcome_unknown(gang, result)) {
		job_leader_end_job(leader, job, JOBS_FAILED, "outcome unknown");
		outcome = PLACE_JOB_FAILED;
		fault_worker = NULL;
	} else if (gang->abort_reason) {
		job_leader_end_job(leader, job, JOBS_FAILED, gang->abort_reason);
	} else {
		withdraw_grant(job);
		job_set_reason(job, gang->reason ? gang->reason : "");
		/*
		 * After a lost worker or a stop, the decision module gives up a job that may run
		 * only once. Here no task of the attempt has run, so the attempt is reported as
		 * refused instead, and the job is queued again.
		 */
		if (!result->may_have_run &&
		    (outcome == PLACE_WORKER_LOST || outcome == PLACE_STOPPED))
			outcome = PLACE_HOLD_REFUSED;
	}
	log_info("job_attempt_ended", job->id,
		 "attempt %u ended with outcome %d; the job is now %s %s", gang->place_attempt,
		 (int)result->outcome, job_state_name(job->state), job->reason);
	report_end(gang, outcome, fault_worker);
}

/*
 * Processes the end of an attempt, if it has ended. If the attempt was granted, its end is recorded
 * before the members are released, because a member forgets the attempt when it is released.
 */
static void process_end(struct job_gang *gang)
{
	struct gang_result result;

	if (!gang->ended)
		return;
	gang->ended = false;
	result = gang_coordinator_result(&gang->protocol);
	if (result.outcome == PLACE_HOLD_REFUSED)
		metrics_count_retry(gang->leader->jobs->deps.metrics, "gang_hold");
	record_outcome(gang, &result);
	if (gang->protocol.granted || job_ended(gang->job))
		job_shards_write(gang->leader->shards, gang->job->id, false, on_end_recorded, gang);
	else
		on_end_recorded(0, gang);
}

void job_gang_start(struct job_leader *leader, struct job_record *job,
		    const struct place_decision *decision)
{
	struct job_start *start = talloc_zero(job, struct job_start);

	start->attempt = decision->attempt;
	start->member_count = (uint32_t)decision->member_count;
	start->members = talloc_zero_array(start, struct job_member, decision->member_count);
	for (size_t i = 0; i < decision->member_count; i++) {
		start->members[i].worker = talloc_strdup(start, decision->members[i].worker);
		start->members[i].mask = decision->members[i].mask;
	}
	/* The previous attempt must have ended first. */
	if (job->gang) {
		talloc_free(job->next_start);
		job->next_start = start;
		return;
	}
	begin_attempt(leader, job, start->attempt, start->members, start->member_count);
	talloc_free(start);
}

void job_gang_restore(struct job_leader *leader, struct job_record *job)
{
	struct job_gang *gang =
		add_gang(leader, job, job->attempt, job->members, job->member_count);

	gang_coordinator_restore(&gang->protocol, leader->epoch, job->grant, job->member_count,
				 job->state == JOBS_RUNNING, util_clock_ms(), gang_output(gang));
	process_end(gang);
}

void job_gang_evict(struct job_leader *leader, struct job_record *job,
		    const struct place_decision *decision)
{
	struct job_gang *gang = job->gang;

	if (gang && gang->place_attempt == decision->attempt) {
		gang_coordinator_stop(&gang->protocol, decision->checkpoint, decision->grace_ms,
				      util_clock_ms(), gang_output(gang));
		process_end(gang);
		return;
	}
	TALLOC_FREE(job->next_start);
	place_ended(leader->place, job->id, decision->attempt, PLACE_STOPPED, NULL,
		    util_clock_ms());
	job_leader_schedule_step(leader);
}

void job_gang_abort(struct job_leader *leader, struct job_record *job, const char *reason)
{
	struct job_gang *gang = job->gang;

	gang->abort_reason = talloc_strdup(gang, reason);
	gang_coordinator_stop(&gang->protocol, false, 0, util_clock_ms(), gang_output(gang));
	process_end(gang);
}

/* Stops a member that still runs for an ended attempt; releases a member that has ended. */
static void handle_stale_status(struct job_leader *leader, const char *peer,
				const struct msg_member_status *status)
{
	struct msg msg = {.type = MSG_STOP};

	if (!leader->loaded || status->state == MSG_MEMBER_UNKNOWN)
		return;
	if (status->state == MSG_MEMBER_STARTING || status->state == MSG_MEMBER_RUNNING) {
		log_warn("stray_member", status->job,
			 "attempt %" PRIu64 " has already ended; stopping its member on %s",
			 status->attempt, peer);
		msg.u.stop = (struct msg_stop){
			.epoch = leader->epoch, .job = status->job, .attempt = status->attempt};
	} else {
		msg.type = MSG_RELEASE;
		msg.u.release = (struct msg_release){
			.epoch = leader->epoch, .job = status->job, .attempt = status->attempt};
	}
	wire_send(leader->jobs->deps.wire, peer, &msg);
}

static struct job_gang *find_gang(struct job_leader *leader, const char *id, uint64_t attempt)
{
	struct job_record *job = job_leader_find_job(leader, id);

	return job && job->gang && job->gang->protocol.attempt == attempt ? job->gang : NULL;
}

/* Messages about a member are accepted only from the agent of the worker it was placed on. */
static bool is_from_member(const struct job_gang *gang, const char *peer, uint64_t member)
{
	struct job_worker *worker;

	if (member >= gang->protocol.members)
		return false;
	worker = member_worker(gang, (uint32_t)member);
	return worker && !strcmp(worker->peer, peer);
}

static void apply_status(struct job_gang *gang, uint32_t member,
			 const struct msg_member_status *status)
{
	struct gang_status seen = {
		.state = (uint32_t)status->state,
		.may_have_run = status->may_have_run,
		.checkpoint = status->checkpoint_ms > 0,
	};

	if (status->state == MSG_MEMBER_FAILED || status->state == MSG_MEMBER_START_FAILED ||
	    status->state == MSG_MEMBER_LOST) {
		if (!gang->reason)
			gang->reason = talloc_strndup(gang, status->reason, 300);
	}
	if (status->checkpoint_ms)
		place_checkpointed(gang->leader->place, gang->job->id, status->checkpoint_ms);
	gang_coordinator_member_status(&gang->protocol, member, &seen, util_clock_ms(),
				       gang_output(gang));
}

static void on_member_status(struct job_leader *leader, const char *peer,
			     const struct msg_member_status *status)
{
	struct job_gang *gang = find_gang(leader, status->job, status->attempt);

	if (!gang) {
		handle_stale_status(leader, peer, status);
		return;
	}
	/*
	 * An agent that has no record of the attempt does not know the member's index and sends
	 * one that is out of range. The status then applies to all members on that agent.
	 */
	for (uint32_t i = 0; status->member >= PLACE_MEMBERS_MAX && i < gang->protocol.members;
	     i++) {
		if (is_from_member(gang, peer, i))
			apply_status(gang, i, status);
	}
	if (is_from_member(gang, peer, status->member))
		apply_status(gang, (uint32_t)status->member, status);
	process_end(gang);
}

static void on_held(struct job_leader *leader, const char *peer, const struct msg_held *held)
{
	struct job_gang *gang = find_gang(leader, held->job, held->attempt);

	if (!gang || !is_from_member(gang, peer, held->member))
		return;
	gang_coordinator_member_held(&gang->protocol, (uint32_t)held->member, util_clock_ms(),
				     gang_output(gang));
	process_end(gang);
}

static void on_hold_refused(struct job_leader *leader, const char *peer,
			    const struct msg_hold_refused *refused)
{
	struct job_gang *gang = find_gang(leader, refused->job, refused->attempt);

	if (!gang || !is_from_member(gang, peer, refused->member))
		return;
	log_info("hold_refused", refused->job, "%s: %s", peer, refused->reason);
	gang_coordinator_member_refused(&gang->protocol, (uint32_t)refused->member, util_clock_ms(),
					gang_output(gang));
	process_end(gang);
}

bool job_gang_handle_message(struct job_leader *leader, const char *peer, const struct msg *msg)
{
	switch (msg->type) {
	case MSG_HELD:
		on_held(leader, peer, &msg->u.held);
		return true;
	case MSG_HOLD_REFUSED:
		on_hold_refused(leader, peer, &msg->u.hold_refused);
		return true;
	case MSG_MEMBER_STATUS:
		on_member_status(leader, peer, &msg->u.member_status);
		return true;
	default:
		return false;
	}
}

void job_gang_worker_lost(struct job_leader *leader, const char *node, bool dead)
{
	for (guint i = leader->gangs->len; i > 0; i--) {
		struct job_gang *gang = leader->gangs->pdata[i - 1];

		for (uint32_t k = 0; k < gang->protocol.members; k++) {
			if (!strcmp(gang->members[k].worker, node))
				gang_coordinator_member_lost(&gang->protocol, k, dead,
							     util_clock_ms(), gang_output(gang));
		}
		process_end(gang);
	}
}

/*
 * Reports members as lost if their workers have not connected since this process became the
 * placement leader.
 */
static void report_missing_workers(struct job_leader *leader, uint64_t now)
{
	GPtrArray *missing = g_ptr_array_new_with_free_func(g_free);

	leader->members_checked_ms = now;
	for (guint i = 0; i < leader->gangs->len; i++) {
		struct job_gang *gang = leader->gangs->pdata[i];

		for (uint32_t k = 0; k < gang->protocol.members; k++) {
			if (!member_worker(gang, k))
				g_ptr_array_add(missing, g_strdup(gang->members[k].worker));
		}
	}
	for (guint i = 0; i < missing->len; i++)
		job_gang_worker_lost(leader, missing->pdata[i], false);
	g_ptr_array_free(missing, TRUE);
}

bool job_gang_tick(struct job_leader *leader)
{
	uint64_t now = util_clock_ms();
	bool busy = false;

	for (guint i = leader->gangs->len; i > 0; i--) {
		struct job_gang *gang = leader->gangs->pdata[i - 1];

		busy |= gang->protocol.phase != GANG_PHASE_RUNNING;
		if (gang_coordinator_due(&gang->protocol) <= now)
			gang_coordinator_tick(&gang->protocol, now, gang_output(gang));
		process_end(gang);
	}
	if (now > leader->loaded_ms + MEMBER_REMOVE_MS &&
	    now > leader->members_checked_ms + GANG_PING_INTERVAL_MS)
		report_missing_workers(leader, now);
	return busy;
}
