#include "coord_int.h"

#include "fleetlimits.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <string.h>

#define WATCH_MS 200 /* interval of the check for lost workers and silent agents */
#define SUSPENDED_RECHECK_MS 50
#define WAITS_INTERVAL_MS 1000 /* between two counts of waiting steps for the metrics */
/*
 * A pause of this many times the duration of a decision follows it. A decision takes tens of
 * milliseconds on a small host of a large fleet, where the reports of hundreds of agents ask for
 * one each, so reports and renewals would wait without the pause.
 */
#define DECISION_PAUSE_FACTOR 2
#define DECISION_SLOW_MS 500 /* a third of the leader's lease */
/*
 * A new leader announces itself to agents that have not reported, a few at a time. Most agents of a
 * large fleet find the leader in the store meanwhile, which costs the leader half as many
 * connections.
 */
#define ANNOUNCE_BATCH 16
#define ANNOUNCE_BATCH_INTERVAL_MS 25
#define ANNOUNCE_INTERVAL_MS 1000 /* until an agent that has not reported gets the next one */
/* For warnings to agents; in between, the answers to reports carry the same warning. */
#define WARN_INTERVAL_MS 2000
/* Run numbers reserved for each term, so that leaders of different terms use different ones. */
#define RUNS_PER_TERM 10000

struct agent_row *coord_agent_row(struct coord *coord, const char *node)
{
	struct agent_row *row = g_hash_table_lookup(coord->agents, node);

	if (row)
		return row;
	row = talloc_zero(coord, struct agent_row);
	row->node = talloc_strdup(row, node);
	row->incarnation = talloc_strdup(row, "");
	g_hash_table_insert(coord->agents, row->node, row);
	return row;
}

/*
 * Time for which an agent may act on orders that are sent now. A later leader counts the runs of
 * agents that it has not heard from as over WORKER_LOST_MS after its election, which is not before
 * the end of this leader's lease.
 */
static uint32_t authority_ms(const struct coord *coord)
{
	int64_t left_ms = leader_lease_left_ms(coord->deps.leader);

	if (leader_term(coord->deps.leader) != coord->term || left_ms <= -WORKER_RENEWAL_WINDOW_MS)
		return 0;
	return left_ms > 0 ? WORKER_RENEWAL_WINDOW_MS
			   : (uint32_t)(left_ms + WORKER_RENEWAL_WINDOW_MS);
}

/*
 * Time up to which the silence of an agent means that nobody lets its worker run. From the end of
 * this leader's lease on, the agent may follow a later leader.
 */
static uint64_t silence_known_until_ms(const struct coord *coord)
{
	int64_t left_ms = leader_lease_left_ms(coord->deps.leader);
	uint64_t now_ms = util_clock_ms();

	if (leader_term(coord->deps.leader) != coord->term)
		return 0;
	return left_ms >= 0 ? now_ms : now_ms - MIN((uint64_t)-left_ms, now_ms);
}

/*
 * True if nothing was heard from @since_ms on for longer than @limit_ms, and this leader's lease
 * lasted as long. Every conclusion from the silence of an agent is made by this function.
 */
static bool is_silent(const struct coord *coord, uint64_t since_ms, uint64_t limit_ms)
{
	return silence_known_until_ms(coord) > since_ms + limit_ms;
}

static void send_orders_text(struct coord *coord, const char *peer, const char *node,
			     const struct fleet_orders *orders)
{
	struct msg msg = {.type = MSG_WORKER_ORDERS, .u.worker_orders.term = coord->term};
	char *text = fleet_orders_write(coord, orders);

	msg.u.worker_orders.json.data = (uint8_t *)text;
	msg.u.worker_orders.json.len = strlen(text);
	/* The agent's next report opens a connection and is answered with all orders. */
	if (wire_send(coord->deps.wire, peer, &msg))
		log_debug("orders_unsent", node, "no connection to the agent");
	talloc_free(text);
}

static bool zones_are_unknown(struct coord *coord);

/* True if nothing may be started on the agent's worker, as its zone is or may be evacuated. */
static bool is_closed(struct coord *coord, const struct agent_row *row)
{
	return zones_are_unknown(coord) || plan_worker_closed(coord->plan, row->node);
}

/* Gives a session to a process of the agent, which then reports again. */
static void issue_session(struct coord *coord, struct agent_row *row, const char *peer)
{
	struct fleet_orders orders = {
		.incarnation = "",
		.report_ms = report_interval_ms(g_hash_table_size(coord->agents)),
		.closed = is_closed(coord, row),
	};

	if (!row->issued_to || strcmp(row->issued_to, peer) != 0) {
		wire_disconnect(coord->deps.wire, row->node);
		talloc_free(row->issued_to);
		row->issued_to = talloc_strdup(row, peer);
		row->sessions_issued++;
	}
	orders.session = row->sessions_issued;
	send_orders_text(coord, peer, row->node, &orders);
}

/*
 * True while a zone may have been evacuated without the leader's knowledge: the store answers the
 * renewals of its lease, but not the reads of the operators' keys. Without any answer of the store
 * the leader's authority ends by itself; keys that were overdue when it last answered stay unknown.
 */
static bool zones_are_unknown(struct coord *coord)
{
	uint64_t age_ms = coord->deps.zones ? coord->deps.zones_age_ms(coord->deps.zones_ctx) : 0;
	uint64_t limit_ms = coord->deps.zones_age_max_ms;
	bool unknown;

	if (!leader_confirmed(coord->deps.leader))
		limit_ms += leader_unconfirmed_ms(coord->deps.leader);
	unknown = coord->deps.zones && age_ms > limit_ms;
	if (unknown != coord->zones_unknown && age_ms == UINT64_MAX)
		log_warn("zones_unknown", "", "the operators' keys have not been read yet");
	else if (unknown != coord->zones_unknown)
		log_warn(unknown ? "zones_unknown" : "zones_known", "",
			 "all changes of the operators' keys were known %" PRIu64 " ms ago",
			 age_ms);
	coord->zones_unknown = unknown;
	return unknown;
}

static void send_orders(struct coord *coord, struct agent_row *row,
			const struct fleet_report *report)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct fleet_orders orders = {
		.session = row->session,
		.echo_ms = row->echo_ms,
		.valid_ms = row->list_current ? authority_ms(coord) : 0,
		.incarnation = row->incarnation,
		.ends_stored = row->ends_stored,
		.report_ms = report_interval_ms(g_hash_table_size(coord->agents)),
		.unsure = coord->ending || leader_renewal_overdue(coord->deps.leader),
		.closed = is_closed(coord, row),
		.health_path = plan_health_path(coord->plan, row->node),
	};

	/* Acknowledges only refusals passed to the plan; the agent repeats the others. */
	if (report && report->alive && report->settled) {
		orders.handled = talloc_zero_array(mem, struct plan_run, report->refusal_count + 1);
		for (size_t i = 0; i < report->refusal_count; i++)
			orders.handled[orders.handled_count++] = report->refusals[i].run;
	}
	orders.order_count = plan_orders(coord->plan, mem, row->node, &orders.orders);
	if (row->peer)
		send_orders_text(coord, row->peer, row->node, &orders);
	talloc_free(mem);
}

static void on_orders_changed(const char *node, void *ctx)
{
	struct coord *coord = ctx;
	struct agent_row *row = coord_agent_row(coord, node);
	TALLOC_CTX *mem = talloc_new(NULL);
	struct plan_order *orders;
	size_t count = plan_orders(coord->plan, mem, node, &orders);

	for (size_t i = 0; i < count; i++) {
		if (!orders[i].first_time)
			continue;
		if (orders[i].start)
			log_info("task_start", orders[i].task,
				 "run %u on %s after %" PRIu64 " ms%s; term %" PRIu64
				 " confirmed %" PRIu64 " ms ago",
				 orders[i].run, node, orders[i].waited_ms,
				 *orders[i].checkpoint ? ", from a checkpoint" : "", coord->term,
				 leader_unconfirmed_ms(coord->deps.leader));
		else
			log_info("task_stop", orders[i].task, "run %u on %s: %s", orders[i].run,
				 node, orders[i].stop_reason);
	}
	talloc_free(mem);
	send_orders(coord, row, NULL);
}

uint64_t coord_decision_pause_ms(uint64_t took_ms)
{
	return DECISION_PAUSE_FACTOR * took_ms;
}

static void on_decide_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			    void *ctx)
{
	struct coord *coord = ctx;

	coord->decide_timer = NULL;
	coord_schedule_decision(coord);
}

static void set_decide_timer(struct coord *coord, uint64_t due_ms)
{
	uint64_t now_ms = util_clock_ms();
	uint64_t wait_ms = due_ms > now_ms ? due_ms - now_ms : 0;

	if (coord->decide_timer && coord->decide_timer_ms <= due_ms)
		return;
	TALLOC_FREE(coord->decide_timer);
	coord->decide_timer_ms = due_ms;
	coord->decide_timer = tevent_add_timer(
		coord->deps.ev, coord,
		tevent_timeval_current_ofs((uint32_t)(wait_ms / 1000), wait_ms % 1000 * 1000),
		on_decide_timer, coord);
}

/* Suspends decisions while another process may be the leader and act on its own. */
static bool may_decide(struct coord *coord)
{
	bool suspended = authority_ms(coord) == 0;

	if (suspended != coord->suspended)
		log_warn(suspended ? "leader_suspended" : "leader_resumed", "",
			 "term %" PRIu64 " was confirmed %" PRIu64 " ms ago", coord->term,
			 leader_unconfirmed_ms(coord->deps.leader));
	coord->suspended = suspended;
	return !suspended;
}

static void set_zone_metrics(struct coord *coord, size_t zones, uint32_t tasks)
{
	if (!coord->deps.zones)
		return;
	metrics_set(coord->deps.metrics, coord->evacuated_zones, zones);
	metrics_set(coord->deps.metrics, coord->evacuated_tasks, tasks);
}

static void count_evacuated(struct coord *coord)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct plan_zone *zones;
	size_t count = plan_zones(coord->plan, mem, &zones);
	uint32_t tasks = 0;

	for (size_t i = 0; i < count; i++)
		tasks += zones[i].closed ? zones[i].tasks : 0;
	set_zone_metrics(coord, zones_count(coord->deps.zones), tasks);
	talloc_free(mem);
}

static void report_headroom(struct coord *coord)
{
	struct plan_headroom headroom = plan_headroom(coord->plan);

	metrics_set(coord->deps.metrics, coord->headroom_workers, headroom.workers);
	metrics_set(coord->deps.metrics, coord->demand_accelerators,
		    (uint64_t)(headroom.accelerators + 0.5));
	if (headroom.workers == coord->logged_headroom)
		return;
	coord->logged_headroom = headroom.workers;
	log_info("headroom_changed", "",
		 "%u workers are kept free; urgent jobs are expected to use %.0f accelerators",
		 headroom.workers, headroom.accelerators);
}

static void report_shares(struct coord *coord)
{
	struct plan_share_peak peak = plan_share_peak(coord->plan);
	double percent = 100 * peak.excess;

	metrics_set(coord->deps.metrics, coord->share_excess, (uint64_t)(MIN(percent, 1e6) + 0.5));
	if (!strcmp(peak.organisation, coord->logged_share ? coord->logged_share : ""))
		return;
	talloc_free(coord->logged_share);
	coord->logged_share = talloc_strdup(coord, peak.organisation);
	if (*peak.organisation)
		log_info("share_exceeded", peak.organisation,
			 "uses %.0f%% more than its fair share; others come first", percent);
	else
		log_info("shares_kept", "", "no organisation is above its fair share");
}

static void set_wait_metrics(struct coord *coord, const uint32_t *counts)
{
	for (int i = PLAN_WAIT_NONE + 1; i < PLAN_WAIT_COUNT; i++)
		metrics_set(coord->deps.metrics, coord->waiting_steps[i], counts[i]);
}

static void count_waits(struct coord *coord, uint64_t now_ms)
{
	uint32_t counts[PLAN_WAIT_COUNT];

	if (now_ms - coord->waits_counted_ms < WAITS_INTERVAL_MS)
		return;
	coord->waits_counted_ms = now_ms;
	plan_count_waits(coord->plan, counts);
	set_wait_metrics(coord, counts);
	report_headroom(coord);
	report_shares(coord);
	if (coord->deps.zones)
		count_evacuated(coord);
}

/* A leader whose decisions take longer than its lease is replaced again and again. */
static void observe_decision(struct coord *coord, uint64_t took_ms)
{
	uint32_t counts[PLAN_WAIT_COUNT];
	uint32_t waiting = 0;

	metrics_observe(&coord->decision_ms, took_ms);
	if (took_ms < DECISION_SLOW_MS)
		return;
	plan_count_waits(coord->plan, counts);
	for (int i = 0; i < PLAN_WAIT_COUNT; i++)
		waiting += counts[i];
	log_warn("decision_slow", "", "a decision took %" PRIu64 " ms; %u jobs, %u waiting steps",
		 took_ms, g_hash_table_size(coord->jobs), waiting);
}

static void run_decision(struct tevent_context *ev, struct tevent_immediate *im, void *ctx)
{
	struct coord *coord = ctx;
	uint64_t began_ms = util_clock_ms();
	uint64_t pause_ms;
	uint64_t now_ms;
	uint32_t wait_ms = SUSPENDED_RECHECK_MS;

	coord->decide_scheduled = false;
	if (!coord->loaded)
		return;
	if (leader_confirmed(coord->deps.leader))
		plan_release_held(coord->plan);
	if (may_decide(coord) && !zones_are_unknown(coord)) {
		wait_ms = plan_decide(coord->plan, began_ms, on_orders_changed, coord);
		coord_ask_advice(coord, util_clock_ms());
		count_waits(coord, began_ms);
	}
	coord_store_dirty(coord);
	now_ms = util_clock_ms();
	observe_decision(coord, now_ms - began_ms);
	pause_ms = coord_decision_pause_ms(now_ms - began_ms);
	coord->decide_after_ms = now_ms + pause_ms;
	TALLOC_FREE(coord->decide_timer);
	set_decide_timer(coord, now_ms + (pause_ms > wait_ms ? pause_ms : wait_ms));
}

void coord_schedule_decision(struct coord *coord)
{
	if (coord->decide_scheduled)
		return;
	if (util_clock_ms() < coord->decide_after_ms) {
		set_decide_timer(coord, coord->decide_after_ms);
		return;
	}
	coord->decide_scheduled = true;
	tevent_schedule_immediate(coord->decide_immediate, coord->deps.ev, run_decision, coord);
}

void coord_confirm_ends(struct coord *coord)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, coord->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct agent_row *row = value;

		if (row->ends_stored >= row->ends_cycle)
			continue;
		row->ends_stored = row->ends_cycle;
		send_orders(coord, row, NULL);
	}
}

static struct msg lead_message(const struct coord *coord)
{
	return (struct msg){
		.type = MSG_LEAD,
		.u.lead = {.term = coord->term,
			   .node = coord->deps.node,
			   .address = wire_address(coord->deps.wire)},
	};
}

/* A report under an earlier term may have a session of that term's controller. */
static void tell_term(struct coord *coord, const char *peer)
{
	struct msg msg = lead_message(coord);

	if (wire_send(coord->deps.wire, peer, &msg))
		log_debug("lead_unsent", peer, "no connection to the agent");
}

static void announce_leader(struct coord *coord, struct agent_row *row, uint64_t now_ms)
{
	struct msg msg = lead_message(coord);

	row->announced_ms = now_ms;
	if (!row->address || wire_connect(coord->deps.wire, row->node, row->address) ||
	    wire_send(coord->deps.wire, row->node, &msg))
		log_warn("agent_unreachable", row->node,
			 "cannot announce term %" PRIu64 " to the agent", coord->term);
}

/* Announces the leader to the next silent agents, until inherited jobs may start. */
static void on_announce_timer(struct tevent_context *ev, struct tevent_timer *te,
			      struct timeval now, void *ctx)
{
	struct coord *coord = ctx;
	uint64_t now_ms = util_clock_ms();
	int left = ANNOUNCE_BATCH;
	GHashTableIter iter;
	gpointer value;

	coord->announce_timer = NULL;
	if (coord->inherited_released)
		return;
	g_hash_table_iter_init(&iter, coord->agents);
	while (left > 0 && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct agent_row *row = value;

		if (row->sessions_issued || row->last_report_ms ||
		    (row->announced_ms && now_ms - row->announced_ms < ANNOUNCE_INTERVAL_MS))
			continue;
		announce_leader(coord, row, now_ms);
		left--;
	}
	coord->announce_timer = tevent_add_timer(
		ev, coord, tevent_timeval_current_ofs(0, ANNOUNCE_BATCH_INTERVAL_MS * 1000),
		on_announce_timer, coord);
}

static void release_inherited_jobs(struct coord *coord, const char *why)
{
	coord->inherited_released = true;
	metrics_observe(&coord->settling_ms, util_clock_ms() - coord->elected_ms);
	log_info("leader_settled", "", "%s, %" PRIu64 " ms after the election", why,
		 util_clock_ms() - coord->elected_ms);
	plan_recovery_done(coord->plan);
	coord_schedule_decision(coord);
}

/* Removes the stored keys of agents that have not sent a list of runs to this leader. */
static void remove_silent_agents(struct coord *coord)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, coord->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct agent_row *row = value;

		if (row->last_list_ms || !row->key_stored)
			continue;
		log_info("agent_forgotten", row->node, "no list of its runs since the election");
		coord_remove_agent_key(coord, row);
	}
}

static void try_release_inherited_jobs(struct coord *coord, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	bool all = true;
	bool more_ends = false;

	if (coord->inherited_released || !coord->loaded)
		return;
	g_hash_table_iter_init(&iter, coord->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct agent_row *row = value;

		all = all && row->last_list_ms;
		more_ends = more_ends || row->more_ends;
		if (row->more_ends)
			log_once("ends_awaited", row->node,
				 "inherited jobs wait until its worker has listed all ends");
	}
	/* A run that is neither running nor listed as ended may have ended as done. */
	if (more_ends)
		return;
	if (all) {
		release_inherited_jobs(coord, "all agents have reported what runs and what ended");
	} else if (is_silent(coord, coord->elected_ms, WORKER_LOST_MS)) {
		release_inherited_jobs(coord,
				       "the leases of workers that have not reported have expired");
		remove_silent_agents(coord);
	}
}

static void detect_lost_workers(struct coord *coord, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, coord->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct agent_row *row = value;

		/*
		 * An agent from which the leader gets no list of runs has no authority to renew the
		 * lease of its worker, unless a later leader gives it some.
		 */
		if (!row->alive || !is_silent(coord, row->last_list_ms, WORKER_LOST_MS) ||
		    !is_silent(coord, row->long_lease_until_ms, 0))
			continue;
		row->alive = false;
		row->more_ends = false; /* its lease has lapsed, so they no longer count */
		log_warn("worker_lost", row->node,
			 "no list of its runs received for %" PRIu64 " ms",
			 now_ms - row->last_list_ms);
		plan_worker_lost(coord->plan, row->node, now_ms);
		coord_remove_agent_key(coord, row);
		coord_schedule_decision(coord);
	}
}

static void on_watch_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			   void *ctx)
{
	struct coord *coord = ctx;
	uint64_t now_ms = util_clock_ms();

	detect_lost_workers(coord, now_ms);
	try_release_inherited_jobs(coord, now_ms);
	coord_remove_ended_jobs(coord, now_ms);
	coord_remove_early_cancels(coord, now_ms);
	coord_repeat_agent_keys(coord, now_ms);
	tevent_add_timer(ev, coord, tevent_timeval_current_ofs(0, WATCH_MS * 1000), on_watch_timer,
			 coord);
}

static void apply_all_pending(struct coord *coord);

void coord_on_loaded(struct coord *coord)
{
	coord->loaded = true;
	log_info("jobs_loaded", "", "%u jobs, %u agents", g_hash_table_size(coord->jobs),
		 g_hash_table_size(coord->agents));
	plan_set_min_run(coord->plan, (uint32_t)((coord->term - 1) * RUNS_PER_TERM + 1));
	on_announce_timer(coord->deps.ev, NULL, tevent_timeval_zero(), coord);
	if (coord->term == 1)
		release_inherited_jobs(coord, "this is the first leader");
	apply_all_pending(coord);
	coord_schedule_decision(coord);
}

static const char *const end_names[PLAN_END_COUNT] = {
	"done", "failed", "stopped", "lapsed", "broken", "alone", "closed",
};

static const char *const refusal_names[PLAN_REFUSED_COUNT] = {
	"no room", "unhealthy", "closed or stale", "no valid ticket", "other",
};

static const char *const loss_names[PLAN_LOSS_COUNT] = {
	"its worker is lost or down",
	"its worker reports as another incarnation",
	"its worker's list lacks it",
};

static void on_run_lost(const char *task, uint32_t run, const char *node, enum plan_loss loss,
			void *ctx)
{
	struct coord *coord = ctx;

	metrics_add(coord->deps.metrics, coord->losses[loss], 1);
	log_warn("run_lost", task, "run %u on %s: %s", run, node, loss_names[loss]);
}

static void on_evict(const struct plan_eviction *eviction, void *ctx)
{
	struct coord *coord = ctx;

	metrics_add(coord->deps.metrics, coord->evictions[eviction->reason], 1);
	metrics_observe(&coord->eviction_ages_ms, eviction->age_ms);
	log_info("task_evicted", eviction->task,
		 "run %u on %s, %" PRIu64 " ms old, evicted %u times before, for step %s (%s), %s",
		 eviction->run, eviction->node, eviction->age_ms, eviction->before, eviction->step,
		 plan_evict_reason_name(eviction->reason),
		 eviction->known ? "known when the run began" : "accepted later");
}

static void on_move(const struct plan_move *move, void *ctx)
{
	struct coord *coord = ctx;

	metrics_add(coord->deps.metrics, coord->moves[move->why], 1);
	if (move->left_ms == UINT64_MAX)
		log_info("task_moved", move->task,
			 "run %u from %s: %s; it had no end, %" PRIu64 " ms of work are lost",
			 move->run, move->node, plan_move_name(move->why), move->lost_ms);
	else
		log_info("task_moved", move->task,
			 "run %u from %s: %s; %" PRIu64 " ms were left, %" PRIu64
			 " ms of work are lost",
			 move->run, move->node, plan_move_name(move->why), move->left_ms,
			 move->lost_ms);
}

static void on_evidence(const char *node, bool suspected, enum plan_evidence latest, double weight,
			void *ctx)
{
	struct coord *coord = ctx;

	metrics_set(coord->deps.metrics, coord->suspected_workers,
		    plan_count_suspected(coord->plan));
	log_info(suspected ? "worker_suspected" : "worker_cleared", node,
		 "weight %.2f; the latest evidence was a %s", weight, plan_evidence_name(latest));
}

static void on_wait(const char *step, enum plan_wait reason, const char *text, void *ctx)
{
	log_info("step_waits", step, "%s: %s", plan_wait_name(reason), text);
}

static void define_eviction_metrics(struct coord *coord)
{
	for (int i = 0; i < PLAN_EVICT_COUNT; i++) {
		char *label = talloc_asprintf(coord, "reason=\"%s\"", plan_evict_reason_name(i));

		coord->evictions[i] = metrics_define(coord->deps.metrics, METRICS_COUNTER,
						     "jaycourse_evictions_total", label,
						     "Runs stopped to make room");
		talloc_free(label);
	}
	metrics_histogram_define(coord->deps.metrics, &coord->eviction_ages_ms,
				 "jaycourse_eviction_age_ms", "",
				 "Age of a run when it was stopped to make room");
}

static void define_wait_metrics(struct coord *coord)
{
	for (int i = PLAN_WAIT_NONE + 1; i < PLAN_WAIT_COUNT; i++) {
		char *label = talloc_asprintf(coord, "reason=\"%s\"", plan_wait_name(i));

		coord->waiting_steps[i] = metrics_define(coord->deps.metrics, METRICS_GAUGE,
							 "jaycourse_waiting_steps", label,
							 "Steps that could start and wait");
		talloc_free(label);
	}
}

static void define_move_metrics(struct coord *coord)
{
	for (int i = 0; i < PLAN_MOVE_COUNT; i++) {
		char *label = talloc_asprintf(coord, "reason=\"%s\"",
					      plan_move_name((enum plan_move_reason)i));

		coord->moves[i] = metrics_define(coord->deps.metrics, METRICS_COUNTER,
						 "jaycourse_tasks_moved_total", label,
						 "Runs stopped so that their tasks run elsewhere");
		talloc_free(label);
	}
}

static void define_metrics(struct coord *coord)
{
	static const char *const labels[PLAN_LOSS_COUNT] = {
		"reason=\"worker\"",
		"reason=\"incarnation\"",
		"reason=\"unlisted\"",
	};
	struct metrics *metrics = coord->deps.metrics;

	metrics_histogram_define(metrics, &coord->settling_ms, "jaycourse_settling_ms", "",
				 "Time from an election until inherited jobs may start");
	metrics_histogram_define(metrics, &coord->progress_ms, "jaycourse_progress_ms", "",
				 "Time of one transaction that stores progress");
	metrics_histogram_define(metrics, &coord->decision_ms, "jaycourse_decision_ms", "",
				 "Time of one decision of the plan");
	metrics_histogram_define(metrics, &coord->advice_ms, "jaycourse_advice_ms", "",
				 "Time of one call for advice on workers");
	for (int i = 0; i < PLAN_LOSS_COUNT; i++)
		coord->losses[i] =
			metrics_define(metrics, METRICS_COUNTER, "jaycourse_runs_lost_total",
				       labels[i], "Runs given up without a reported end");
	coord->agent_restarts =
		metrics_define(metrics, METRICS_COUNTER, "jaycourse_agent_processes_total", "",
			       "Reports that came from another process of an agent than before");
	if (coord->deps.zones) {
		coord->evacuated_zones =
			metrics_define(metrics, METRICS_GAUGE, "jaycourse_evacuated_zones", "",
				       "Zones in which operators let nothing start");
		coord->evacuated_tasks =
			metrics_define(metrics, METRICS_GAUGE, "jaycourse_evacuated_tasks", "",
				       "Tasks that still run in evacuated zones");
	}
	coord->headroom_workers =
		metrics_define(metrics, METRICS_GAUGE, "jaycourse_headroom_workers", "",
			       "Workers kept free for urgent jobs");
	coord->demand_accelerators =
		metrics_define(metrics, METRICS_GAUGE, "jaycourse_demand_accelerators", "",
			       "Accelerators that urgent jobs are expected to use at a time");
	coord->share_excess =
		metrics_define(metrics, METRICS_GAUGE, "jaycourse_share_excess", "",
			       "Most that an organisation uses above its fair share, in percent");
	define_wait_metrics(coord);
	define_eviction_metrics(coord);
	define_move_metrics(coord);
	coord->suspected_workers =
		metrics_define(metrics, METRICS_GAUGE, "jaycourse_suspected_workers", "",
			       "Workers that urgent work avoids by the evidence about them");
}

static void apply_ends(struct coord *coord, struct agent_row *row,
		       const struct fleet_report *report, uint64_t now_ms)
{
	for (size_t i = 0; i < report->end_count; i++) {
		const struct fleet_run_end *end = &report->ends[i];

		if (end->number <= row->ends_seen)
			continue;
		log_info("task_end", end->run.task, "run %u on %s: %s", end->run.run, row->node,
			 end_names[end->how]);
		plan_worker_ended(coord->plan, row->node, &end->run, end->how, now_ms);
	}
	for (size_t i = 0; i < report->end_count; i++) {
		if (report->ends[i].number > row->ends_seen)
			row->ends_seen = report->ends[i].number;
	}
}

/* An incarnation begins with the identifier of its worker. */
static bool is_same_worker(const char *incarnation, const char *id)
{
	size_t len = strlen(id);

	return strncmp(incarnation, id, len) == 0 && incarnation[len] == '/';
}

static void apply_worker_report(struct coord *coord, struct agent_row *row,
				const struct fleet_report *report, uint64_t now_ms)
{
	uint64_t list_ms = now_ms - (report->list_age_ms < now_ms ? report->list_age_ms : 0);
	bool new_incarnation = false;

	if (strcmp(row->incarnation, report->info.incarnation) != 0) {
		row->long_lease_until_ms = is_same_worker(row->incarnation, report->info.id)
						   ? now_ms + WORKER_LONG_LEASE_MS
						   : 0;
		talloc_free(row->incarnation);
		row->incarnation = talloc_strdup(row, report->info.incarnation);
		row->ends_seen = 0;
		row->ends_cycle = 0;
		row->ends_stored = 0;
		new_incarnation = true;
	}
	/* A leader that was elected after the restart knows of it from the agent only. */
	if (report->long_lease_ms)
		row->long_lease_until_ms =
			MAX(row->long_lease_until_ms,
			    now_ms + MIN(report->long_lease_ms, WORKER_LONG_LEASE_MS));
	if (!row->alive || new_incarnation)
		log_info("worker_found", row->node, "incarnation %s", row->incarnation);
	row->alive = true;
	plan_worker_update(coord->plan, &report->info, now_ms);
	apply_ends(coord, row, report, now_ms);
	for (size_t i = 0; i < report->refusal_count; i++) {
		const struct fleet_refusal *refusal = &report->refusals[i];

		log_info("task_refused", refusal->run.task, "run %u on %s: %s", refusal->run.run,
			 row->node, refusal_names[refusal->why]);
		plan_worker_refused(coord->plan, row->node, &refusal->run, refusal->why, now_ms);
	}
	for (size_t i = 0; i < report->running_count; i++)
		plan_worker_running(coord->plan, row->node, &report->running[i], list_ms);
	for (size_t i = 0; i < report->pending_count; i++)
		plan_worker_pending(coord->plan, row->node, &report->pending[i], list_ms);
	plan_worker_list_end(coord->plan, row->node, !report->more_ends && !report->unreadable,
			     list_ms);
}

/*
 * The stored key of an agent makes a later leader wait for the agent's report. That is needed only
 * while the worker may run tasks, accepts work, or lists ends of runs that are not stored yet.
 */
static bool needs_agent_key(const struct fleet_report *report)
{
	return report->alive &&
	       (!report->settled || report->info.accepting || report->running_count > 0 ||
		report->pending_count > 0 || report->end_count > 0);
}

/* Returns true if the report must be ignored because the agent's key is not stored yet. */
static bool store_agent_address(struct coord *coord, struct agent_row *row, const char *address)
{
	if (row->key_stored && row->address && !strcmp(row->address, address))
		return false;
	talloc_free(row->address);
	row->address = talloc_strdup(row, address);
	coord_store_agent_key(coord, row);
	/* A key with an outdated address is enough to make a later leader wait for the agent. */
	return !row->key_stored;
}

/*
 * Returns false if the report is not from the latest known process of the agent. A process that
 * has no session yet is given one. A session is only used by a process that was alive when it was
 * given, so a report with a higher session is from a later process.
 */
static bool accept_process(struct coord *coord, struct agent_row *row, const char *peer,
			   const struct fleet_report *report)
{
	if (report->session < row->session || report->session == 0 ||
	    report->session > row->sessions_issued) {
		if (report->session)
			log_info("report_ignored", row->node,
				 "process %s with session %" PRIu64 "; the latest is %" PRIu64,
				 peer, report->session, row->session);
		issue_session(coord, row, peer);
		return false;
	}
	if (report->session == row->session)
		return true;
	if (row->peer) {
		metrics_add(coord->deps.metrics, coord->agent_restarts, 1);
		log_info("agent_process", row->node, "process %s reports after %s", peer,
			 row->peer);
	}
	row->session = report->session;
	talloc_free(row->peer);
	row->peer = talloc_strdup(row, peer);
	row->echo_ms = 0;
	plan_agent_replaced(coord->plan, row->node);
	return true;
}

static void apply_report(struct coord *coord, struct agent_row *row,
			 const struct fleet_report *report)
{
	uint64_t now_ms = util_clock_ms();

	row->echo_ms = report->sent_ms;
	row->last_report_ms = now_ms;
	row->list_current = report->alive && report->settled;
	if (!report->alive || report->settled) {
		row->last_list_ms = now_ms;
		row->more_ends = report->alive && report->more_ends;
	}
	if (report->alive && report->settled) {
		apply_worker_report(coord, row, report, now_ms);
	} else if (!report->alive && row->alive) {
		row->alive = false;
		log_warn("worker_down", row->node, "the agent reports that its worker is down: %s",
			 report->why_down);
		plan_worker_lost(coord->plan, row->node, now_ms);
	}
	if (row->key_stored && !needs_agent_key(report) &&
	    !plan_worker_occupied(coord->plan, row->node))
		coord_remove_agent_key(coord, row);
	try_release_inherited_jobs(coord, now_ms);
	send_orders(coord, row, report);
	coord_store_dirty(coord);
	coord_schedule_decision(coord);
}

/* Applies a report, or keeps it if it can't be applied yet. */
static void take_report(struct coord *coord, struct agent_row *row, struct fleet_report *report)
{
	if (report->sent_ms < row->echo_ms)
		return;
	TALLOC_FREE(row->pending);
	if (!coord->loaded ||
	    (needs_agent_key(report) && store_agent_address(coord, row, report->address)))
		row->pending = talloc_steal(row, report);
	else
		apply_report(coord, row, report);
}

void coord_apply_pending(struct coord *coord, struct agent_row *row)
{
	struct fleet_report *report = row->pending;

	if (!report)
		return;
	row->pending = NULL;
	take_report(coord, row, report);
	if (row->pending != report)
		talloc_free(report);
}

static void apply_all_pending(struct coord *coord)
{
	GList *rows = g_hash_table_get_values(coord->agents);

	for (GList *at = rows; at; at = at->next)
		coord_apply_pending(coord, at->data);
	g_list_free(rows);
}

bool coord_message(struct coord *coord, const char *peer, const struct msg *msg)
{
	struct fleet_report *report;
	struct agent_row *row;

	if (msg->type != MSG_WORKER_REPORT)
		return false;
	if (msg->u.worker_report.term > coord->term) {
		leader_deposed(coord->deps.leader, msg->u.worker_report.term);
		return true;
	}
	if (msg->u.worker_report.term < coord->term) {
		tell_term(coord, peer);
		return true;
	}
	report = fleet_report_read(coord, msg->u.worker_report.json.data,
				   msg->u.worker_report.json.len);
	if (!report) {
		log_once("report_malformed", peer, "the report is not valid JSON or names no node");
		return true;
	}
	row = coord_agent_row(coord, report->info.node);
	if (accept_process(coord, row, peer, report))
		take_report(coord, row, report);
	if (row->pending != report)
		talloc_free(report);
	return true;
}

void coord_end(struct coord *coord)
{
	coord->ending = true;
	coord_warn_agents(coord);
}

void coord_warn_agents(struct coord *coord)
{
	uint64_t now_ms = util_clock_ms();
	GHashTableIter iter;
	gpointer value;

	if (coord->warned_ms && now_ms - coord->warned_ms < WARN_INTERVAL_MS)
		return;
	coord->warned_ms = now_ms;
	g_hash_table_iter_init(&iter, coord->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct agent_row *)value)->alive)
			send_orders(coord, value, NULL);
	}
}

int coord_job_state(const struct coord *coord, const char *id, enum plan_job_state *state)
{
	const struct job_row *row = g_hash_table_lookup(coord->jobs, id);

	if (!coord->loaded)
		return -ERR_UNAVAILABLE;
	if (!row || !plan_job_known(coord->plan, id, state))
		return -ERR_NOT_FOUND;
	if (row->ended_stored)
		*state = row->stored_state;
	else if (*state >= PLAN_JOB_COMPLETED)
		*state = PLAN_JOB_RUNNING;
	return 0;
}

int coord_count_pending(const struct coord *coord, const char *queue, uint32_t *count)
{
	if (!coord->loaded)
		return -ERR_UNAVAILABLE;
	*count = plan_count_pending(coord->plan, queue);
	return 0;
}

char *coord_explain(const struct coord *coord, TALLOC_CTX *mem, const char *id)
{
	return plan_explain_job(coord->plan, mem, id);
}

void coord_configure(struct coord *coord, const struct fleetconf *conf)
{
	coord->conf = conf;
	plan_configure(coord->plan, conf);
	coord_schedule_decision(coord);
}

/* Number of tasks in a zone; *@known tells whether it has any worker. */
static uint32_t count_zone_tasks(const struct coord *coord, const char *zone, bool *known)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct plan_zone *zones;
	size_t count = plan_zones(coord->plan, mem, &zones);
	uint32_t tasks = 0;

	*known = false;
	for (size_t i = 0; i < count; i++) {
		if (strcmp(zones[i].name, zone) != 0)
			continue;
		*known = true;
		tasks = zones[i].tasks;
	}
	talloc_free(mem);
	return tasks;
}

uint32_t coord_zone_changed(struct coord *coord, const char *zone, bool closed)
{
	bool known;
	uint32_t tasks = count_zone_tasks(coord, zone, &known);

	plan_set_zone_closed(coord->plan, zone, closed);
	/* It stays in force: the workers of the zone may all be away for a while. */
	if (!known)
		log_once("zone_unknown", zone, "no worker of this zone has reported");
	coord_schedule_decision(coord);
	return tasks;
}

json_t *coord_zones(const struct coord *coord)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	json_t *rows = json_array();
	struct plan_zone *zones;
	size_t count = plan_zones(coord->plan, mem, &zones);

	for (size_t i = 0; i < count; i++)
		json_array_append_new(
			rows, json_pack("{s:s, s:s, s:i, s:i}", "zone", zones[i].name, "state",
					zones[i].closed ? "evacuated" : "in service", "workers",
					(int)zones[i].workers, "tasks", (int)zones[i].tasks));
	talloc_free(mem);
	return rows;
}

static int coord_destructor(struct coord *coord)
{
	const uint32_t none[PLAN_WAIT_COUNT] = {0};

	set_wait_metrics(coord, none);
	set_zone_metrics(coord, 0, 0);
	metrics_set(coord->deps.metrics, coord->suspected_workers, 0);
	metrics_set(coord->deps.metrics, coord->headroom_workers, 0);
	metrics_set(coord->deps.metrics, coord->demand_accelerators, 0);
	metrics_set(coord->deps.metrics, coord->share_excess, 0);
	g_hash_table_destroy(coord->jobs);
	g_hash_table_destroy(coord->progress);
	g_hash_table_destroy(coord->agents);
	g_hash_table_destroy(coord->early_cancels);
	g_queue_free_full(coord->cycle, g_free);
	g_queue_free_full(coord->ended_jobs, g_free);
	return 0;
}

struct coord *coord_create(TALLOC_CTX *mem, const struct coord_deps *deps,
			   const struct fleetconf *conf)
{
	struct coord *coord = talloc_zero(mem, struct coord);

	coord->deps = *deps;
	coord->term = leader_term(deps->leader);
	coord->elected_ms = util_clock_ms();
	coord->plan = plan_create(coord, deps->params);
	coord->conf = conf;
	plan_configure(coord->plan, conf);
	for (size_t i = 0; deps->zones && i < zones_count(deps->zones); i++)
		plan_set_zone_closed(coord->plan, zones_row(deps->zones, i)->name, true);
	coord->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	coord->progress = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	coord->agents = g_hash_table_new(g_str_hash, g_str_equal);
	coord->early_cancels = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	define_metrics(coord);
	plan_on_loss(coord->plan, on_run_lost, coord);
	plan_on_wait(coord->plan, on_wait, coord);
	plan_on_evict(coord->plan, on_evict, coord);
	plan_on_move(coord->plan, on_move, coord);
	plan_on_evidence(coord->plan, on_evidence, coord);
	coord->cycle = g_queue_new();
	coord->ended_jobs = g_queue_new();
	coord->decide_immediate = tevent_create_immediate(coord);
	/* Owned by the event loop, which outlives every asynchronous call. */
	coord->calls = callref_create(deps->ev, coord);
	talloc_set_destructor(coord, coord_destructor);
	coord_load(coord);
	tevent_add_timer(deps->ev, coord, tevent_timeval_current_ofs(0, WATCH_MS * 1000),
			 on_watch_timer, coord);
	return coord;
}
