#include "jobs_int.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <string.h>

/* One attempt of a job. Owned by the holder. */
struct job_gang {
	struct job_leader *h;
	struct job_record *job;
	struct gang_coordinator gang;
	uint32_t place_attempt;
	struct job_member *members;
	bool ended;    /* GANG_ENDED has come and is not handled yet */
	char *reason;  /* of the first member that ended with an error */
	char *give_up; /* the decision module has given the job up */
};

static struct gang_action_sink out_of(struct job_gang *g);

static const struct config_class *class_of(const struct config *config,
					   const struct job_record *job)
{
	return config ? config_class(config, job->class_name) : NULL;
}

static struct job_worker *worker_of(const struct job_gang *g, uint32_t member)
{
	struct job_worker *w = g_hash_table_lookup(g->h->workers, g->members[member].worker);

	return w && w->present ? w : NULL;
}

static void send(const struct job_gang *g, uint32_t member, const struct msg *msg)
{
	struct job_worker *w = worker_of(g, member);

	if (w)
		wire_send(g->h->jobs->deps.wire, w->peer, msg);
}

static void send_hold(const struct job_gang *g, uint32_t member)
{
	struct jobs *jobs = g->h->jobs;
	struct config *config = configrepo_current(jobs->deps.configs);
	const struct config_class *class = class_of(config, g->job);
	struct msg msg = {.type = MSG_HOLD};

	msg.u.hold = (struct msg_hold){
		.epoch = g->gang.epoch,
		.job = g->job->id,
		.attempt = g->gang.attempt,
		.member = member,
		.organisation = g->job->organisation,
		.class_name = g->job->class_name,
		.accelerator_mask = g->members[member].mask,
		.cores = g->job->shape.cores,
		.memory_mb = g->job->shape.memory_mb,
		.ttl_ms = GANG_HOLD_TTL_MS,
		.checkpoint = class && class->checkpoint,
		.payload = {(const uint8_t *)g->job->payload, strlen(g->job->payload)},
	};
	send(g, member, &msg);
	if (config)
		configrepo_release(jobs->deps.configs, config);
}

static void send_start(const struct job_gang *g, uint32_t member)
{
	const char *nodes[PLACE_MEMBERS_MAX];
	const char *addresses[PLACE_MEMBERS_MAX];
	struct msg msg = {.type = MSG_START};

	for (uint32_t i = 0; i < g->gang.members; i++) {
		struct job_worker *w = worker_of(g, i);

		/* Without all addresses the ring cannot close; a later repetition has them. */
		if (!w)
			return;
		nodes[i] = w->node;
		addresses[i] = w->address;
	}
	msg.u.start = (struct msg_start){
		.epoch = g->gang.epoch,
		.job = g->job->id,
		.attempt = g->gang.attempt,
		.member = member,
		.nodes = {nodes, g->gang.members},
		.addresses = {addresses, g->gang.members},
	};
	send(g, member, &msg);
}

static void send_stop(const struct job_gang *g, const struct gang_action *action)
{
	struct msg msg = {.type = MSG_STOP};

	msg.u.stop = (struct msg_stop){
		.epoch = g->gang.epoch,
		.job = g->job->id,
		.attempt = g->gang.attempt,
		.grace_ms = action->grace_ms,
		.checkpoint = action->checkpoint,
	};
	send(g, action->member, &msg);
}

static void send_release(const struct job_gang *g, uint32_t member)
{
	struct msg msg = {.type = MSG_RELEASE};

	msg.u.release = (struct msg_release){
		.epoch = g->gang.epoch, .job = g->job->id, .attempt = g->gang.attempt};
	send(g, member, &msg);
}

static void settle(struct job_gang *g);

static void copy_grant(struct job_gang *g)
{
	struct job_record *job = g->job;

	job_clear_members(job);
	job->members = talloc_zero_array(job, struct job_member, g->gang.members);
	job->member_count = g->gang.members;
	for (uint32_t i = 0; i < g->gang.members; i++) {
		job->members[i].worker = talloc_strdup(job->members, g->members[i].worker);
		job->members[i].mask = g->members[i].mask;
	}
}

static void withdraw_grant(struct job_record *job)
{
	job->state = JOBS_WAITING;
	job->grant = 0;
	job_clear_members(job);
}

static void on_granted(int status, void *ctx)
{
	struct job_gang *g = ctx;

	if (status) {
		metrics_refusal(g->h->jobs->deps.metrics, "grant_not_written");
		withdraw_grant(g->job);
	}
	gang_coordinator_grant_written(&g->gang, status, util_clock_ms(), out_of(g));
	settle(g);
}

static void write_grant(struct job_gang *g)
{
	struct job_record *job = g->job;

	copy_grant(g);
	job->state = JOBS_STARTING;
	job->attempt = g->place_attempt;
	job->grant = g->gang.attempt;
	job_shards_write(g->h->shards, job->id, true, on_granted, g);
}

static void set_running(struct job_gang *g)
{
	g->job->state = JOBS_RUNNING;
	log_info("job_running", g->job->id, "attempt %u", g->place_attempt);
	place_started(g->h->place, g->job->id, g->place_attempt, util_clock_ms());
	job_shards_write_lazily(g->h->shards, g->job->id);
	job_leader_schedule_step(g->h);
}

static void emit(const struct gang_action *action, void *ctx)
{
	struct job_gang *g = ctx;

	switch (action->kind) {
	case GANG_SEND_HOLD:
		send_hold(g, action->member);
		break;
	case GANG_SEND_START:
		send_start(g, action->member);
		break;
	case GANG_SEND_STOP:
		send_stop(g, action);
		break;
	case GANG_SEND_RELEASE:
		send_release(g, action->member);
		break;
	case GANG_WRITE_GRANT:
		write_grant(g);
		break;
	case GANG_RUNNING:
		set_running(g);
		break;
	case GANG_ENDED:
		g->ended = true;
		break;
	default:
		break;
	}
}

static struct gang_action_sink out_of(struct job_gang *g)
{
	struct gang_action_sink out = {emit, g};

	return out;
}

static struct job_gang *add_gang(struct job_leader *h, struct job_record *job, uint32_t attempt,
				 const struct job_member *members, uint32_t count)
{
	struct job_gang *g = talloc_zero(h, struct job_gang);

	g->h = h;
	g->job = job;
	g->place_attempt = attempt;
	g->members = talloc_zero_array(g, struct job_member, count);
	for (uint32_t i = 0; i < count; i++) {
		g->members[i].worker = talloc_strdup(g, members[i].worker);
		g->members[i].mask = members[i].mask;
	}
	job->gang = g;
	g_ptr_array_add(h->gangs, g);
	return g;
}

static void begin(struct job_leader *h, struct job_record *job, uint32_t attempt,
		  const struct job_member *members, uint32_t count)
{
	struct job_gang *g = add_gang(h, job, attempt, members, count);

	job->attempt = attempt;
	gang_coordinator_begin(&g->gang, h->epoch, gang_attempt(h->epoch, attempt), count,
			       util_clock_ms(), out_of(g));
	settle(g);
}

/* The job was cancelled or given up while the end of its last attempt was being recorded. */
static void end_withdrawn(struct job_gang *g)
{
	struct job_record *job = g->job;

	if (job_ended(job) || (!job->cancel && !g->give_up))
		return;
	job_leader_end_job(g->h, job, job->cancel ? JOBS_CANCELLED : JOBS_FAILED,
			   g->give_up ? g->give_up : "cancelled");
	job_shards_write(g->h->shards, job->id, false, NULL, NULL);
	place_cancel(g->h->place, job->id, util_clock_ms());
}

static void remove_gang(struct job_gang *g)
{
	struct job_leader *h = g->h;
	struct job_record *job = g->job;
	struct job_start *next = job->next_start;

	g_ptr_array_remove(h->gangs, g);
	job->gang = NULL;
	job->next_start = NULL;
	end_withdrawn(g);
	talloc_free(g);
	if (!job_ended(job) && !job->added_to_place)
		job_leader_add_to_place(h, job);
	if (next && job_ended(job))
		place_ended(h->place, job->id, next->attempt, PLACE_STOPPED, NULL, util_clock_ms());
	else if (next)
		begin(h, job, next->attempt, next->members, next->member_count);
	talloc_free(next);
	job_leader_schedule_step(h);
}

static void on_end_recorded(int status, void *ctx)
{
	struct job_gang *g = ctx;

	gang_coordinator_end_recorded(&g->gang, out_of(g));
	remove_gang(g);
}

static void report(struct job_gang *g, enum place_outcome outcome, const char *worker)
{
	place_ended(g->h->place, g->job->id, g->place_attempt, outcome, worker, util_clock_ms());
	/* The decision module may have queued the job anew when it lost a worker. */
	if (job_ended(g->job))
		place_cancel(g->h->place, g->job->id, util_clock_ms());
	job_leader_schedule_step(g->h);
}

/* Work that may run only once is never started again after it may have run. */
static bool outcome_unknown(const struct job_gang *g, const struct gang_result *result)
{
	bool saved = result->outcome == PLACE_STOPPED && result->checkpointed;

	return result->may_have_run && !saved && !job_is_restartable(g->h->jobs, g->job);
}

static void conclude(struct job_gang *g, const struct gang_result *result)
{
	struct job_leader *h = g->h;
	struct job_record *job = g->job;
	const char *worker = result->fault >= 0 ? g->members[result->fault].worker : NULL;
	enum place_outcome outcome = result->outcome;

	if (outcome == PLACE_DONE) {
		job_leader_end_job(h, job, JOBS_DONE, "");
	} else if (outcome == PLACE_JOB_FAILED) {
		job_leader_end_job(h, job, JOBS_FAILED, g->reason ? g->reason : "the task failed");
	} else if (job->cancel) {
		job_leader_end_job(h, job, JOBS_CANCELLED, "cancelled");
	} else if (outcome_unknown(g, result)) {
		job_leader_end_job(h, job, JOBS_FAILED, "outcome unknown");
		outcome = PLACE_JOB_FAILED;
		worker = NULL;
	} else if (g->give_up) {
		job_leader_end_job(h, job, JOBS_FAILED, g->give_up);
	} else {
		withdraw_grant(job);
		job_set_reason(job, g->reason ? g->reason : "");
		/* The decision module gives up work that may have run only once. */
		if (!result->may_have_run &&
		    (outcome == PLACE_WORKER_LOST || outcome == PLACE_STOPPED))
			outcome = PLACE_HOLD_REFUSED;
	}
	log_info("job_attempt_ended", job->id, "attempt %u, outcome %d, now %s %s",
		 g->place_attempt, (int)result->outcome, job_state_name(job->state), job->reason);
	report(g, outcome, worker);
}

/* The end of a granted attempt is recorded before its members may forget it. */
static void settle(struct job_gang *g)
{
	struct gang_result result;

	if (!g->ended)
		return;
	g->ended = false;
	result = gang_coordinator_result(&g->gang);
	if (result.outcome == PLACE_HOLD_REFUSED)
		metrics_retry(g->h->jobs->deps.metrics, "gang_hold");
	conclude(g, &result);
	if (g->gang.granted || job_ended(g->job))
		job_shards_write(g->h->shards, g->job->id, false, on_end_recorded, g);
	else
		on_end_recorded(0, g);
}

void job_gang_start(struct job_leader *h, struct job_record *job,
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
	/* The former attempt must be over first. */
	if (job->gang) {
		talloc_free(job->next_start);
		job->next_start = start;
		return;
	}
	begin(h, job, start->attempt, start->members, start->member_count);
	talloc_free(start);
}

void job_gang_restore(struct job_leader *h, struct job_record *job)
{
	struct job_gang *g = add_gang(h, job, job->attempt, job->members, job->member_count);

	gang_coordinator_restore(&g->gang, h->epoch, job->grant, job->member_count,
				 job->state == JOBS_RUNNING, util_clock_ms(), out_of(g));
	settle(g);
}

void job_gang_evict(struct job_leader *h, struct job_record *job,
		    const struct place_decision *decision)
{
	struct job_gang *g = job->gang;

	if (g && g->place_attempt == decision->attempt) {
		gang_coordinator_stop(&g->gang, decision->checkpoint, decision->grace_ms,
				      util_clock_ms(), out_of(g));
		settle(g);
		return;
	}
	TALLOC_FREE(job->next_start);
	place_ended(h->place, job->id, decision->attempt, PLACE_STOPPED, NULL, util_clock_ms());
	job_leader_schedule_step(h);
}

void job_gang_abort(struct job_leader *h, struct job_record *job, const char *reason)
{
	struct job_gang *g = job->gang;

	g->give_up = talloc_strdup(g, reason);
	gang_coordinator_stop(&g->gang, false, 0, util_clock_ms(), out_of(g));
	settle(g);
}

/* A member of an attempt that is over is stopped, or told to forget it. */
static void stray_status(struct job_leader *h, const char *peer,
			 const struct msg_member_status *status)
{
	struct msg msg = {.type = MSG_STOP};

	if (!h->loaded || status->state == MSG_MEMBER_UNKNOWN)
		return;
	if (status->state == MSG_MEMBER_STARTING || status->state == MSG_MEMBER_RUNNING) {
		log_warn("stray_member", status->job, "attempt %" PRIu64 " is over, stopped at %s",
			 status->attempt, peer);
		msg.u.stop = (struct msg_stop){
			.epoch = h->epoch, .job = status->job, .attempt = status->attempt};
	} else {
		msg.type = MSG_RELEASE;
		msg.u.release = (struct msg_release){
			.epoch = h->epoch, .job = status->job, .attempt = status->attempt};
	}
	wire_send(h->jobs->deps.wire, peer, &msg);
}

static struct job_gang *find_gang(struct job_leader *h, const char *id, uint64_t attempt)
{
	struct job_record *job = job_leader_find_job(h, id);

	return job && job->gang && job->gang->gang.attempt == attempt ? job->gang : NULL;
}

/* Only the agent that the member was given to speaks for it. */
static bool from_member(const struct job_gang *g, const char *peer, uint64_t member)
{
	struct job_worker *w;

	if (member >= g->gang.members)
		return false;
	w = worker_of(g, (uint32_t)member);
	return w && !strcmp(w->peer, peer);
}

static void take_status(struct job_gang *g, uint32_t member, const struct msg_member_status *status)
{
	if (status->state == MSG_MEMBER_FAILED || status->state == MSG_MEMBER_START_FAILED ||
	    status->state == MSG_MEMBER_LOST) {
		if (!g->reason)
			g->reason = talloc_strndup(g, status->reason, 300);
	}
	if (status->checkpoint_ms)
		place_checkpointed(g->h->place, g->job->id, status->checkpoint_ms);
	gang_coordinator_member_status(&g->gang, member, (uint32_t)status->state,
				       status->checkpoint_ms > 0, util_clock_ms(), out_of(g));
}

static void on_status(struct job_leader *h, const char *peer,
		      const struct msg_member_status *status)
{
	struct job_gang *g = find_gang(h, status->job, status->attempt);

	if (!g) {
		stray_status(h, peer, status);
		return;
	}
	/* An agent without a record does not know the member's index. */
	for (uint32_t i = 0; status->member >= PLACE_MEMBERS_MAX && i < g->gang.members; i++) {
		if (from_member(g, peer, i))
			take_status(g, i, status);
	}
	if (from_member(g, peer, status->member))
		take_status(g, (uint32_t)status->member, status);
	settle(g);
}

static void on_held(struct job_leader *h, const char *peer, const struct msg_held *held)
{
	struct job_gang *g = find_gang(h, held->job, held->attempt);

	if (!g || !from_member(g, peer, held->member))
		return;
	gang_coordinator_member_held(&g->gang, (uint32_t)held->member, util_clock_ms(), out_of(g));
	settle(g);
}

static void on_refused(struct job_leader *h, const char *peer,
		       const struct msg_hold_refused *refused)
{
	struct job_gang *g = find_gang(h, refused->job, refused->attempt);

	if (!g || !from_member(g, peer, refused->member))
		return;
	log_info("hold_refused", refused->job, "%s: %s", peer, refused->reason);
	gang_coordinator_member_refused(&g->gang, (uint32_t)refused->member, util_clock_ms(),
					out_of(g));
	settle(g);
}

bool job_gang_message(struct job_leader *h, const char *peer, const struct msg *msg)
{
	switch (msg->type) {
	case MSG_HELD:
		on_held(h, peer, &msg->u.held);
		return true;
	case MSG_HOLD_REFUSED:
		on_refused(h, peer, &msg->u.hold_refused);
		return true;
	case MSG_MEMBER_STATUS:
		on_status(h, peer, &msg->u.member_status);
		return true;
	default:
		return false;
	}
}

void job_gang_worker_lost(struct job_leader *h, const char *node, bool dead)
{
	for (guint i = h->gangs->len; i > 0; i--) {
		struct job_gang *g = h->gangs->pdata[i - 1];

		for (uint32_t k = 0; k < g->gang.members; k++) {
			if (!strcmp(g->members[k].worker, node))
				gang_coordinator_member_lost(&g->gang, k, dead, util_clock_ms(),
							     out_of(g));
		}
		settle(g);
	}
}

/* Members on workers that never came back after this process took over. */
static void check_missing(struct job_leader *h, uint64_t now)
{
	GPtrArray *missing = g_ptr_array_new_with_free_func(g_free);

	h->members_checked_ms = now;
	for (guint i = 0; i < h->gangs->len; i++) {
		struct job_gang *g = h->gangs->pdata[i];

		for (uint32_t k = 0; k < g->gang.members; k++) {
			if (!worker_of(g, k))
				g_ptr_array_add(missing, g_strdup(g->members[k].worker));
		}
	}
	for (guint i = 0; i < missing->len; i++)
		job_gang_worker_lost(h, missing->pdata[i], false);
	g_ptr_array_free(missing, TRUE);
}

bool job_gang_tick(struct job_leader *h)
{
	uint64_t now = util_clock_ms();
	bool busy = false;

	for (guint i = h->gangs->len; i > 0; i--) {
		struct job_gang *g = h->gangs->pdata[i - 1];

		busy |= g->gang.phase != GANG_PHASE_RUNNING;
		if (gang_coordinator_due(&g->gang) <= now)
			gang_coordinator_tick(&g->gang, now, out_of(g));
		settle(g);
	}
	if (now > h->loaded_ms + MEMBER_REMOVE_MS &&
	    now > h->members_checked_ms + GANG_PING_INTERVAL_MS)
		check_missing(h, now);
	return busy;
}
