#include "coord_int.h"

#include "fleetlimits.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <string.h>

#define WATCH_MS 200	      /* lost workers and agents that have not reported are looked for */
#define LEAD_REPEAT_MS 1000   /* agents that have not reported are told again */
#define UNSURE_REPEAT_MS 2000 /* later reports are answered with the same word */
#define RUNS_PER_TERM 100     /* run numbers of different leaders stay apart */

struct agent_row *coord_agent(struct coord *c, const char *node)
{
	struct agent_row *row = g_hash_table_lookup(c->agents, node);

	if (row)
		return row;
	row = talloc_zero(c, struct agent_row);
	row->node = talloc_strdup(row, node);
	row->incarnation = talloc_strdup(row, "");
	g_hash_table_insert(c->agents, row->node, row);
	return row;
}

static void send_orders(struct coord *c, struct agent_row *row, const struct fleet_report *report)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct fleet_orders orders = {
		.echo_ms = row->echo_ms,
		.incarnation = row->incarnation,
		.ends_stored = row->ends_stored,
		.report_ms = report_pause_ms(g_hash_table_size(c->agents)),
		.unsure = leader_unsure(c->deps.leader),
	};
	struct msg msg = {.type = MSG_WORKER_ORDERS, .u.worker_orders.term = c->term};

	/* What was not taken over must be reported again. */
	if (report && report->alive && report->settled) {
		orders.handled = talloc_zero_array(mem, struct plan_run, report->refusal_count + 1);
		for (size_t i = 0; i < report->refusal_count; i++)
			orders.handled[orders.handled_count++] = report->refusals[i].run;
	}
	orders.order_count = plan_orders(c->plan, mem, row->node, &orders.orders);
	msg.u.worker_orders.json.data = (uint8_t *)fleet_orders_write(mem, &orders);
	msg.u.worker_orders.json.len = strlen((const char *)msg.u.worker_orders.json.data);
	/* Without a connection the agent's next report brings one, and is answered in full. */
	if (row->peer && wire_send(c->deps.wire, row->peer, &msg))
		log_debug("orders_unsent", row->node, "no connection to the agent");
	talloc_free(mem);
}

static void on_orders_changed(const char *node, void *ctx)
{
	struct coord *c = ctx;
	struct agent_row *row = coord_agent(c, node);
	TALLOC_CTX *mem = talloc_new(NULL);
	struct plan_order *orders;
	size_t count = plan_orders(c->plan, mem, node, &orders);

	for (size_t i = 0; i < count; i++) {
		if (!orders[i].fresh)
			continue;
		if (orders[i].start)
			log_info("task_start", orders[i].task,
				 "run %u on %s after %" PRIu64 " ms%s", orders[i].run, node,
				 orders[i].waited_ms,
				 *orders[i].checkpoint ? ", from a checkpoint" : "");
		else
			log_info("task_stop", orders[i].task, "run %u on %s: %s", orders[i].run,
				 node, orders[i].why);
	}
	talloc_free(mem);
	send_orders(c, row, NULL);
}

static void on_decide_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			    void *ctx)
{
	struct coord *c = ctx;

	c->decide_timer = NULL;
	coord_decide_soon(c);
}

static void decide(struct tevent_context *ev, struct tevent_immediate *im, void *ctx)
{
	struct coord *c = ctx;
	uint32_t wait_ms;

	c->decide_scheduled = false;
	if (!c->loaded)
		return;
	wait_ms = plan_decide(c->plan, util_clock_ms(), on_orders_changed, c);
	coord_ask_advice(c, util_clock_ms());
	coord_store_dirty(c);
	TALLOC_FREE(c->decide_timer);
	c->decide_timer = tevent_add_timer(
		c->deps.ev, c, tevent_timeval_current_ofs(wait_ms / 1000, wait_ms % 1000 * 1000),
		on_decide_timer, c);
}

void coord_decide_soon(struct coord *c)
{
	if (c->decide_scheduled)
		return;
	c->decide_scheduled = true;
	tevent_schedule_immediate(c->decide, c->deps.ev, decide, c);
}

void coord_ends_stored(struct coord *c)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct agent_row *row = value;

		if (row->ends_stored >= row->ends_cycle)
			continue;
		row->ends_stored = row->ends_cycle;
		send_orders(c, row, NULL);
	}
}

static void tell(struct coord *c, const struct agent_row *row)
{
	struct msg msg = {
		.type = MSG_LEAD,
		.u.lead = {.term = c->term,
			   .node = c->deps.node,
			   .address = wire_address(c->deps.wire)},
	};

	if (!row->address || wire_connect(c->deps.wire, row->node, row->address) ||
	    wire_send(c->deps.wire, row->node, &msg))
		log_warn("agent_unreachable", row->node, "cannot tell the agent of term %" PRIu64,
			 c->term);
}

static void settle(struct coord *c, const char *why)
{
	c->settled = true;
	metrics_observe(&c->settling, util_clock_ms() - c->began_ms);
	log_info("leader_settled", "", "%s, %" PRIu64 " ms after the election", why,
		 util_clock_ms() - c->began_ms);
	plan_settle(c->plan);
	coord_decide_soon(c);
}

/* Agents that did not report under this leader at all. */
static void forget_silent_agents(struct coord *c)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct agent_row *row = value;

		if (row->listed_ms || !row->stored)
			continue;
		log_info("agent_forgotten", row->node, "it has not reported");
		coord_forget_agent(c, row);
	}
}

static void check_settled(struct coord *c, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	bool all = true;

	if (c->settled || !c->loaded)
		return;
	g_hash_table_iter_init(&iter, c->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		all = all && ((struct agent_row *)value)->listed_ms;
	if (all) {
		settle(c, "all agents have told what runs");
	} else if (now_ms - c->began_ms > WORKER_LOST_MS) {
		settle(c, "leases of workers that have not reported are over");
		forget_silent_agents(c);
	}
}

static void watch_agents(struct coord *c, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct agent_row *row = value;

		/* An agent that does not know its worker's runs does not renew its lease either. */
		if (!row->alive || now_ms - row->listed_ms <= WORKER_LOST_MS)
			continue;
		row->alive = false;
		log_warn("worker_lost", row->node, "no list of its runs for %" PRIu64 " ms",
			 now_ms - row->listed_ms);
		plan_worker_lost(c->plan, row->node, now_ms);
		coord_forget_agent(c, row);
		coord_decide_soon(c);
	}
}

static void tell_silent_agents(struct coord *c)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!((struct agent_row *)value)->heard_ms)
			tell(c, value);
	}
}

static void on_watch(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		     void *ctx)
{
	struct coord *c = ctx;
	uint64_t now_ms = util_clock_ms();

	watch_agents(c, now_ms);
	check_settled(c, now_ms);
	coord_forget_old(c, now_ms);
	if (!c->settled && (now_ms - c->began_ms) % LEAD_REPEAT_MS < WATCH_MS)
		tell_silent_agents(c);
	tevent_add_timer(ev, c, tevent_timeval_current_ofs(0, WATCH_MS * 1000), on_watch, c);
}

void coord_loaded(struct coord *c)
{
	c->loaded = true;
	log_info("jobs_loaded", "", "%u jobs, %u agents", g_hash_table_size(c->jobs),
		 g_hash_table_size(c->agents));
	plan_run_floor(c->plan, (uint32_t)((c->term - 1) * RUNS_PER_TERM + 1));
	tell_silent_agents(c);
	if (c->term == 1)
		settle(c, "nobody led before");
	coord_decide_soon(c);
}

static const char *const end_names[PLAN_END_COUNT] = {
	"done", "failed", "stopped", "lapsed", "broken", "alone", "closed",
};

static const char *const refusal_names[PLAN_REFUSED_COUNT] = {
	"no room", "unhealthy", "closed or stale", "its ticket does not hold", "other",
};

static void take_ends(struct coord *c, struct agent_row *row, const struct fleet_report *report,
		      uint64_t now_ms)
{
	for (size_t i = 0; i < report->end_count; i++) {
		const struct fleet_end *end = &report->ends[i];

		if (end->number <= row->ends_seen)
			continue;
		log_info("task_end", end->run.task, "run %u on %s: %s", end->run.run, row->node,
			 end_names[end->how]);
		plan_worker_ended(c->plan, row->node, &end->run, end->how, now_ms);
	}
	for (size_t i = 0; i < report->end_count; i++) {
		if (report->ends[i].number > row->ends_seen)
			row->ends_seen = report->ends[i].number;
	}
}

static void take_worker(struct coord *c, struct agent_row *row, const struct fleet_report *report,
			uint64_t now_ms)
{
	uint64_t list_ms = now_ms - (report->list_age_ms < now_ms ? report->list_age_ms : 0);

	if (strcmp(row->incarnation, report->info.incarnation) != 0) {
		talloc_free(row->incarnation);
		row->incarnation = talloc_strdup(row, report->info.incarnation);
		row->ends_seen = 0;
		row->ends_cycle = 0;
		row->ends_stored = 0;
	}
	if (!row->alive)
		log_info("worker_found", row->node, "incarnation %s", row->incarnation);
	row->alive = true;
	plan_worker_update(c->plan, &report->info, now_ms);
	take_ends(c, row, report, now_ms);
	for (size_t i = 0; i < report->refusal_count; i++) {
		const struct fleet_refusal *refusal = &report->refusals[i];

		log_info("task_refused", refusal->run.task, "run %u on %s: %s", refusal->run.run,
			 row->node, refusal_names[refusal->why]);
		plan_worker_refused(c->plan, row->node, &refusal->run, refusal->why, now_ms);
	}
	for (size_t i = 0; i < report->running_count; i++)
		plan_worker_running(c->plan, row->node, &report->running[i], list_ms);
	plan_worker_listed(c->plan, row->node, list_ms);
}

/*
 * A later leader has to wait for an agent only while its worker may run something, gets work,
 * or lists ends that are not stored.
 */
static bool must_be_stored(const struct fleet_report *report)
{
	return report->alive && (!report->settled || report->info.accepting ||
				 report->running_count > 0 || report->end_count > 0);
}

/* Returns true if the report must wait for the agent's key. */
static bool store_address(struct coord *c, struct agent_row *row, const char *address)
{
	if (row->stored && row->address && !strcmp(row->address, address))
		return false;
	talloc_free(row->address);
	row->address = talloc_strdup(row, address);
	coord_store_agent(c, row);
	/* A later leader waits for a stored agent, wherever its messages arrive. */
	return !row->stored;
}

static void take_report(struct coord *c, const char *peer, const struct fleet_report *report)
{
	uint64_t now_ms = util_clock_ms();
	struct agent_row *row = coord_agent(c, report->info.node);

	if (!row->peer || strcmp(row->peer, peer) != 0) {
		talloc_free(row->peer);
		row->peer = talloc_strdup(row, peer);
		row->echo_ms = 0;
		wire_disconnect(c->deps.wire, row->node);
	}
	if (report->sent_ms < row->echo_ms)
		return;
	if (must_be_stored(report) && store_address(c, row, report->address))
		return;
	row->echo_ms = report->sent_ms;
	row->heard_ms = now_ms;
	if (!report->alive || report->settled)
		row->listed_ms = now_ms;
	if (report->alive && report->settled) {
		take_worker(c, row, report, now_ms);
	} else if (!report->alive && row->alive) {
		row->alive = false;
		log_warn("worker_down", row->node, "its agent finds it down");
		plan_worker_lost(c->plan, row->node, now_ms);
	}
	if (row->stored && !must_be_stored(report))
		coord_forget_agent(c, row);
	check_settled(c, now_ms);
	send_orders(c, row, report);
	coord_store_dirty(c);
	coord_decide_soon(c);
}

bool coord_message(struct coord *c, const char *peer, const struct msg *msg)
{
	struct fleet_report *report;

	if (msg->type != MSG_WORKER_REPORT)
		return false;
	if (msg->u.worker_report.term > c->term) {
		leader_deposed(c->deps.leader, msg->u.worker_report.term);
		return true;
	}
	if (!c->loaded)
		return true; /* the agent repeats its report */
	report = fleet_report_read(NULL, msg->u.worker_report.json.data,
				   msg->u.worker_report.json.len);
	if (report)
		take_report(c, peer, report);
	else
		log_warn("report_malformed", peer, "the report cannot be read");
	talloc_free(report);
	return true;
}

void coord_lead_unsure(struct coord *c)
{
	uint64_t now_ms = util_clock_ms();
	GHashTableIter iter;
	gpointer value;

	if (c->unsure_told_ms && now_ms - c->unsure_told_ms < UNSURE_REPEAT_MS)
		return;
	c->unsure_told_ms = now_ms;
	g_hash_table_iter_init(&iter, c->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct agent_row *)value)->alive)
			send_orders(c, value, NULL);
	}
}

int coord_job_state(const struct coord *c, const char *id, enum plan_job_state *state)
{
	const struct job_row *row = g_hash_table_lookup(c->jobs, id);

	if (!c->loaded)
		return -ERR_UNAVAILABLE;
	if (!row || !plan_job_known(c->plan, id, state))
		return -ERR_NOT_FOUND;
	if (row->ended_stored)
		*state = row->stored_state;
	else if (*state >= PLAN_JOB_COMPLETED)
		*state = PLAN_JOB_RUNNING;
	return 0;
}

int coord_pending(const struct coord *c, const char *queue, uint32_t *count)
{
	if (!c->loaded)
		return -ERR_UNAVAILABLE;
	*count = plan_pending(c->plan, queue);
	return 0;
}

char *coord_explain(const struct coord *c, TALLOC_CTX *mem, const char *id)
{
	return plan_explain(c->plan, mem, id);
}

void coord_configure(struct coord *c, const struct fleetconf *conf)
{
	c->conf = conf;
	plan_configure(c->plan, conf);
	coord_decide_soon(c);
}

static int coord_destructor(struct coord *c)
{
	c->link->coord = NULL;
	if (c->link->calls == 0)
		talloc_free(c->link);
	g_hash_table_destroy(c->jobs);
	g_hash_table_destroy(c->progress);
	g_hash_table_destroy(c->agents);
	g_queue_free_full(c->cycle, g_free);
	g_queue_free_full(c->ended, g_free);
	return 0;
}

struct coord *coord_create(TALLOC_CTX *mem, const struct coord_deps *deps,
			   const struct fleetconf *conf)
{
	struct coord *c = talloc_zero(mem, struct coord);

	c->deps = *deps;
	c->term = leader_term(deps->leader);
	c->began_ms = util_clock_ms();
	c->plan = plan_create(c, deps->params);
	c->conf = conf;
	plan_configure(c->plan, conf);
	c->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	c->progress = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->agents = g_hash_table_new(g_str_hash, g_str_equal);
	metrics_histogram_define(deps->metrics, &c->settling, "jaycourse_settling_ms", "",
				 "Time from an election until inherited jobs may start");
	metrics_histogram_define(deps->metrics, &c->storing_ms, "jaycourse_progress_ms", "",
				 "Time of one transaction that stores progress");
	metrics_histogram_define(deps->metrics, &c->advice_ms, "jaycourse_advice_ms", "",
				 "Time of one call for advice on workers");
	c->cycle = g_queue_new();
	c->ended = g_queue_new();
	c->decide = tevent_create_immediate(c);
	/* Owned by the loop, which outlives every call. */
	c->link = talloc_zero(deps->ev, struct coord_link);
	c->link->coord = c;
	talloc_set_destructor(c, coord_destructor);
	coord_load(c);
	tevent_add_timer(deps->ev, c, tevent_timeval_current_ofs(0, WATCH_MS * 1000), on_watch, c);
	return c;
}
