#include "runner_int.h"

#include "fields.h"
#include "fleetlimits.h"
#include "leader.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <string.h>

#define TICK_MS 100
/* A worker answers a renewal as soon as a run ends; reported progress is up to this old. */
#define RENEW_WAIT_MS 500
#define RENEW_RETRY_MS 200
/* A worker that lists ends answers renewals without waiting, until it may forget the ends. */
#define UNSTORED_ENDS_PAUSE_MS 150
#define HEALTH_INTERVAL_MS 1000
#define REPORT_DELAY_MS 4     /* joins changes that occur together in one report */
#define LEADER_SILENT_MS 1500 /* without orders for this long, the store is asked who leads */
/*
 * An agent without a leader mostly finds the next one by this query, before the announcement. It
 * has to do so within WORKER_LOST_MS of the election, after which its worker counts as lost.
 */
#define LEADER_QUERY_MS 250
#define LEADER_LINK "leader"
/*
 * Answers may overtake each other by less than this. A clock that goes back further is that of a
 * restarted worker.
 */
#define CLOCK_DISORDER_MS 2000
/* A lease that is given now and lasts as long as the worker allows is a normal one after this. */
#define LONG_LEASE_MS ((uint64_t)(WORKER_LEASE_MAX_MS * (1 + WORKER_CLOCK_ERROR)) - WORKER_LEASE_MS)
/*
 * A fence has the term in its high bits, then the session, then the epoch. With the highest term it
 * is below 2^53, which all JSON parsers can read.
 */
#define FENCE_SESSION_BITS 12
#define FENCE_EPOCH_BITS 17

bool runner_may_extend_lease(const struct runner *runner)
{
	return util_clock_ms() < runner->authority_end_ms;
}

void runner_read_clock(struct runner *runner, uint64_t clock_ms)
{
	if (runner->worker_clock_ms > clock_ms + CLOCK_DISORDER_MS) {
		log_info("worker_clock_back", runner->worker ? runner->worker : "",
			 "from %" PRIu64 " to %" PRIu64 " ms", runner->worker_clock_ms, clock_ms);
		runner_begin_epoch(runner, "the worker's clock went back");
		runner->renewal_failed = true;
		runner->settled = false;
		runner->lease_unknown = true;
	}
	runner->worker_clock_ms = clock_ms;
	runner->clock_read_ms = util_running_ms();
}

/*
 * An old reading or a slow clock of the worker makes the lease shorter, never longer. The worker's
 * clock stands still while its host, which is also the agent's, is suspended.
 */
uint64_t runner_lease_end(const struct runner *runner)
{
	uint64_t passed = util_running_ms() - runner->clock_read_ms;

	return runner->worker_clock_ms + (uint64_t)((double)passed * (1 - WORKER_CLOCK_ERROR)) +
	       WORKER_LEASE_MS;
}

uint64_t runner_fence(const struct runner *runner)
{
	/* Sessions beyond the highest number share it. */
	uint64_t session = MIN(runner->session, (1 << FENCE_SESSION_BITS) - 1);

	return ((runner->term << FENCE_SESSION_BITS | session) << FENCE_EPOCH_BITS) | runner->epoch;
}

/* A renewal that may wait for a run to end is superseded by one with the present fence. */
static void supersede_renewal(struct runner *runner)
{
	runner->renewing = false;
	runner->renew_due_ms = 0;
}

void runner_begin_epoch(struct runner *runner, const char *why)
{
	log_info("calls_fenced_off", runner->worker ? runner->worker : "",
		 "calls of epoch %u and before: %s", runner->epoch, why);
	if (runner->epoch == (1 << FENCE_EPOCH_BITS) - 1)
		log_error("epochs_used_up", "",
			  "earlier calls to the worker may still take effect");
	else
		runner->epoch++;
	supersede_renewal(runner);
}

/*
 * A worker that has answered a call with the present fence ignores those with lower ones, so no run
 * that is missing from its list can begin any more.
 */
static bool has_current_list(const struct runner *runner)
{
	return runner->settled && runner->list_fence == runner_fence(runner);
}

bool runner_lease_may_be_long(const struct runner *runner)
{
	return runner->lease_unknown || util_clock_ms() < runner->long_lease_until_ms;
}

/* For how long from now on runs under such a lease may be left on the worker. */
static uint64_t remaining_long_lease_ms(const struct runner *runner)
{
	uint64_t now_ms = util_clock_ms();

	if (runner->lease_unknown)
		return WORKER_LONG_LEASE_MS;
	if (now_ms >= runner->long_lease_until_ms)
		return 0;
	return runner->long_lease_until_ms - now_ms + WORKER_LONG_LEASE_MS - LONG_LEASE_MS;
}

bool runner_accepts(const struct runner *runner)
{
	return runner->accepting && !runner_lease_may_be_long(runner);
}

static size_t count_rows_in_state(const struct runner *runner, enum run_state state)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, runner->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ((struct run_row *)value)->state == state;
	return count;
}

/* A start that was called and that the worker has not answered may still begin. */
static bool may_run(const struct runner *runner, const struct run_row *row)
{
	if (row->state == RUN_ORDERED)
		return row->term < runner->term || row->attempts > 0 || row->maybe_begun;
	return row->state != RUN_REFUSED && !runner_end_listed(runner, row->task, row->run);
}

static void fill_report_runs(const struct runner *runner, TALLOC_CTX *mem,
			     struct fleet_report *report)
{
	GHashTableIter iter;
	gpointer value;

	report->running =
		talloc_zero_array(mem, struct plan_run, g_hash_table_size(runner->runs) + 1);
	report->pending =
		talloc_zero_array(mem, struct plan_run, g_hash_table_size(runner->runs) + 1);
	report->refusals = talloc_zero_array(mem, struct fleet_refusal,
					     count_rows_in_state(runner, RUN_REFUSED) + 1);
	g_hash_table_iter_init(&iter, runner->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run_row *row = value;
		struct plan_run run = {row->task, row->run, row->saved_checkpoint, row->percent};

		if (row->state == RUN_REFUSED)
			report->refusals[report->refusal_count++] =
				(struct fleet_refusal){run, row->refusal};
		else if (may_run(runner, row) && row->confirmed && !row->unaccounted)
			report->running[report->running_count++] = run;
		else if (may_run(runner, row))
			report->pending[report->pending_count++] = run;
	}
}

/* Time until the worker leaves, by its latest announcement. */
static uint32_t remaining_ms(const struct runner *runner)
{
	uint64_t now_ms = util_clock_ms();

	return runner->leaves_ms > now_ms ? (uint32_t)(runner->leaves_ms - now_ms) : 0;
}

/* False for answers of an earlier incarnation, and once the worker is not asked any more. */
static bool has_health(const struct runner *runner)
{
	return runner->health_generation == runner->generation && runner->health_path &&
	       *runner->health_path;
}

static void send_report(struct runner *runner)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct fleet_report report = {
		.session = runner->session,
		.sent_ms = util_clock_ms(),
		.list_age_ms = util_clock_ms() - runner->list_received_ms,
		.address = runner->address,
		.alive = !runner->down,
		.why_down = runner->down ? runner->why_down : "",
		.settled = has_current_list(runner),
		.more_ends = runner->more_ends,
		.unreadable = runner->list_unreadable,
		.long_lease_ms = remaining_long_lease_ms(runner),
		.info = {.node = runner->deps.node,
			 .id = runner->worker ? runner->worker : "",
			 .incarnation = runner->incarnation ? runner->incarnation : "",
			 .service = runner->deps.service,
			 .zone = runner->zone ? runner->zone : "",
			 .kind = runner->kind ? runner->kind : "",
			 .rack = runner->rack ? runner->rack : "",
			 .room = runner->room,
			 .accepting = runner_accepts(runner),
			 .leaves = runner->leaves_ms > 0,
			 .remaining_ms = remaining_ms(runner),
			 .health_good = has_health(runner) ? runner->health_good : 0,
			 .health_bad = has_health(runner) ? runner->health_bad : 0},
		.ends = runner->ends,
		.end_count = runner->end_count,
	};
	struct msg msg = {.type = MSG_WORKER_REPORT, .u.worker_report.term = runner->term};

	TALLOC_FREE(runner->report_timer);
	runner->reported_ms = report.sent_ms;
	fill_report_runs(runner, mem, &report);
	msg.u.worker_report.json.data = (uint8_t *)fleet_report_write(mem, &report);
	msg.u.worker_report.json.len = strlen((const char *)msg.u.worker_report.json.data);
	if (runner->connected && wire_send(runner->deps.wire, LEADER_LINK, &msg))
		log_debug("report_unsent", "",
			  "no connection to the leader, or its send buffer is full");
	talloc_free(mem);
}

static void on_report_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			    void *ctx)
{
	struct runner *runner = ctx;

	runner->report_timer = NULL;
	send_report(runner);
}

void runner_schedule_report(struct runner *runner)
{
	if (!runner->report_timer)
		runner->report_timer =
			tevent_add_timer(runner->deps.ev, runner,
					 tevent_timeval_current_ofs(0, REPORT_DELAY_MS * 1000),
					 on_report_timer, runner);
}

static void connect_leader(struct runner *runner)
{
	wire_disconnect(runner->deps.wire, LEADER_LINK);
	runner->connected = !wire_connect(runner->deps.wire, LEADER_LINK, runner->leader_address);
	if (!runner->connected)
		log_warn("leader_unreachable", "", "cannot connect to %s", runner->leader_address);
	runner->leader_contact_ms = util_clock_ms();
	send_report(runner);
}

static void follow_leader(struct runner *runner, uint64_t term, const char *node,
			  const char *address)
{
	if (term < runner->term || term > LEADER_TERM_MAX || !fields_is_peer_address(address))
		return;
	if (term == runner->term && runner->leader_address &&
	    !strcmp(address, runner->leader_address) &&
	    util_clock_ms() - runner->leader_contact_ms < LEADER_SILENT_MS)
		return;
	if (term > runner->term)
		log_info("leader_followed", "", "%s at %s, term %" PRIu64, node, address, term);
	if (term > runner->term) {
		runner_drop_untried_starts(runner);
		runner->session = 0;
		runner->epoch = 0;
		supersede_renewal(runner);
	}
	runner->term = term;
	runner->leader_unconfirmed = false;
	talloc_free(runner->leader_address);
	runner->leader_address = talloc_strdup(runner, address);
	connect_leader(runner);
	runner_renew_if_due(runner, util_clock_ms());
}

static void on_leader_record(int status, const struct kv_result *result, void *ctx)
{
	struct runner *runner = ctx;
	struct leader_record *record;

	runner->leader_query_pending = false;
	if (status || result->count == 0)
		return; /* on_tick() repeats the query */
	record = leader_record_read(runner, &result->items[0]);
	if (record)
		follow_leader(runner, record->term, record->node, record->address);
	talloc_free(record);
}

static void query_leader_if_due(struct runner *runner, uint64_t now_ms)
{
	if (runner->leader_query_pending || now_ms - runner->leader_queried_ms < LEADER_QUERY_MS)
		return;
	if (runner->connected && !runner->leader_unconfirmed &&
	    now_ms - runner->leader_contact_ms < LEADER_SILENT_MS)
		return;
	runner->leader_query_pending = true;
	runner->leader_queried_ms = now_ms;
	runner->deps.kv->ops->get(runner->deps.kv->impl, "leader",
				  (struct kv_cb){on_leader_record, runner});
}

/* A call to renew the lease or to list the runs. */
struct renewal_call {
	struct runner *runner;
	bool named; /* only the incarnation that is believed to be there answers with a list */
	uint32_t number;
	uint32_t generation;
	uint64_t fence;
	uint64_t sent_ms;
};

static void apply_renewal(struct runner *runner, const struct renewal_call *call,
			  const struct runner_list *list)
{
	bool new_fence = runner->list_fence != call->fence;

	runner->renewal_failed = false;
	if (list->clock_ms)
		runner_read_clock(runner, list->clock_ms);
	runner->list_fence = call->fence;
	/* A call to the former incarnation may have got here before, but none can from now on. */
	if (runner->lease_unknown && runner->list_fence == runner_fence(runner)) {
		runner->lease_unknown = false;
		runner->long_lease_until_ms = util_clock_ms() + LONG_LEASE_MS;
	}
	runner_apply_list(runner, list, call->sent_ms);
	if (new_fence)
		runner_schedule_report(runner);
	if (runner->end_count && runner->ends[runner->end_count - 1].number > runner->ends_stored)
		runner->renew_due_ms = util_clock_ms() + UNSTORED_ENDS_PAUSE_MS;
	runner_make_due_calls(runner, util_clock_ms());
}

static void on_renewed(int status, const struct runner_list *list, void *ctx)
{
	struct renewal_call call = *(struct renewal_call *)ctx;
	struct runner *runner = call.runner;
	uint64_t now_ms = util_clock_ms();

	talloc_free(ctx);
	runner_list_call_ended(runner, status);
	if (call.number != runner->renewals)
		return;
	runner->renewing = false;
	runner->renew_due_ms = now_ms;
	if (call.generation != runner->generation)
		return;
	if (!runner->alive) {
		runner->renew_due_ms = now_ms + (runner->worker ? TICK_MS : RENEW_RETRY_MS);
		runner_judge_answer(runner, call.named, status, list);
		return;
	}
	if (status) {
		/* A connection that breaks may be the first sign of a restart. */
		if (!runner->renewal_failed && status != -ERR_DEADLINE)
			runner_begin_epoch(runner, "a renewal failed");
		runner->renewal_failed = true;
		runner->renew_due_ms = now_ms + RENEW_RETRY_MS;
	}
	if (runner_judge_answer(runner, call.named, status, list))
		apply_renewal(runner, &call, list);
	else if (runner->contradictions > 0)
		runner_renew_if_due(runner, now_ms);
}

void runner_renew_if_due(struct runner *runner, uint64_t now_ms)
{
	struct runner_renewal renewal = {.worker = runner_named_worker(runner),
					 .fence = runner_fence(runner)};
	struct renewal_call *call;

	if (runner->renewing || now_ms < runner->renew_due_ms)
		return;
	/*
	 * While it is not known who the worker is, the call only shows whether a worker listens,
	 * and which one, and makes it ignore earlier calls. The first call to an
	 * incarnation reads its clock, which the end of a lease needs.
	 */
	renewal.extend =
		renewal.worker && runner_may_extend_lease(runner) && runner->worker_clock_ms;
	/* To another incarnation the numbers of the ends mean other ends. */
	if (renewal.worker && !runner->renewal_failed)
		renewal.ends_known = runner->ends_stored;
	renewal.lease_end_ms = runner_lease_end(runner);
	renewal.wait_ms = renewal.extend && has_current_list(runner) ? RENEW_WAIT_MS : 0;
	if (!renewal.extend)
		runner->renew_due_ms = now_ms + RENEW_RETRY_MS;
	runner->renewing = true;
	call = talloc_zero(runner, struct renewal_call);
	*call = (struct renewal_call){runner,
				      renewal.worker != NULL,
				      ++runner->renewals,
				      runner->generation,
				      renewal.fence,
				      now_ms};
	runner->calls.renew(runner->calls.impl, &renewal, on_renewed, call);
}

struct health_call {
	struct runner *runner;
	uint32_t generation;
};

static void on_health(enum runner_health health, void *ctx)
{
	struct health_call call = *(struct health_call *)ctx;
	struct runner *runner = call.runner;

	talloc_free(ctx);
	runner->health_pending = false;
	if (call.generation != runner->generation || health == RUNNER_HEALTH_UNKNOWN)
		return;
	if (runner->health_generation != runner->generation) {
		runner->health_generation = runner->generation;
		runner->health_good = 0;
		runner->health_bad = 0;
	}
	if (health == RUNNER_HEALTH_GOOD) {
		runner->health_good = MIN(runner->health_good + 1, PLAN_HEALTH_MAX);
		runner->health_bad = 0;
	} else {
		runner->health_bad = MIN(runner->health_bad + 1, PLAN_HEALTH_MAX);
		runner->health_good = 0;
	}
}

static void ask_health_if_due(struct runner *runner, uint64_t now_ms)
{
	struct health_call *call;

	if (!runner->alive || !runner->calls.ask_health || runner->health_pending ||
	    !runner->health_path || !*runner->health_path || now_ms < runner->health_due_ms)
		return;
	runner->health_pending = true;
	runner->health_due_ms = now_ms + HEALTH_INTERVAL_MS;
	call = talloc_zero(runner, struct health_call);
	*call = (struct health_call){runner, runner->generation};
	runner->calls.ask_health(runner->calls.impl, runner->worker, runner->health_path, on_health,
				 call);
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		    void *ctx)
{
	struct runner *runner = ctx;
	uint64_t now_ms = util_clock_ms();

	query_leader_if_due(runner, now_ms);
	runner_renew_if_due(runner, now_ms);
	runner_make_due_calls(runner, now_ms);
	ask_health_if_due(runner, now_ms);
	if (now_ms - runner->reported_ms >= runner->report_ms)
		send_report(runner);
	runner->timer = tevent_add_timer(ev, runner, tevent_timeval_current_ofs(0, TICK_MS * 1000),
					 on_tick, runner);
}

static void apply_orders(struct runner *runner, const struct fleet_orders *orders)
{
	uint64_t authority_end_ms = orders->echo_ms + orders->valid_ms;

	if (orders->session > runner->session) {
		runner->session = orders->session;
		runner->epoch = 0;
		supersede_renewal(runner);
		runner_renew_if_due(runner, util_clock_ms());
		runner_schedule_report(runner);
	}
	if (runner->down && orders->echo_ms >= runner->down_ms)
		runner->down_received = true;
	if (orders->valid_ms && authority_end_ms > runner->authority_end_ms) {
		/* The leader may have counted the worker as lost meanwhile. */
		if (runner->authority_end_ms && !runner_may_extend_lease(runner) &&
		    authority_end_ms > util_clock_ms())
			runner_begin_epoch(runner, "the leader's authority had ended");
		runner->authority_end_ms = authority_end_ms;
	}
	runner->leader_unconfirmed = orders->unsure;
	runner->closed = orders->closed;
	if (!runner->health_path || strcmp(runner->health_path, orders->health_path) != 0) {
		talloc_free(runner->health_path);
		runner->health_path = talloc_strdup(runner, orders->health_path);
	}
	if (orders->report_ms)
		runner->report_ms = orders->report_ms;
	for (size_t i = 0; i < orders->handled_count; i++)
		runner_acknowledge_refusal(runner, &orders->handled[i]);
	/* The remaining orders are for an earlier incarnation of the worker. */
	if (!runner->incarnation || strcmp(orders->incarnation, runner->incarnation) != 0)
		return;
	if (orders->ends_stored > runner->ends_stored) {
		runner->ends_stored = orders->ends_stored;
		runner->renew_due_ms = 0;
	}
	if (!orders->unreadable)
		runner_drop_abandoned(runner, orders);
	for (size_t i = 0; i < orders->order_count; i++)
		runner_apply_order(runner, &orders->orders[i]);
	runner_make_due_calls(runner, util_clock_ms());
	runner_renew_if_due(runner, util_clock_ms());
}

bool runner_message(struct runner *runner, const char *peer, const struct msg *msg)
{
	struct fleet_orders *orders;

	if (msg->type == MSG_LEAD) {
		follow_leader(runner, msg->u.lead.term, msg->u.lead.node, msg->u.lead.address);
		return true;
	}
	if (msg->type != MSG_WORKER_ORDERS)
		return false;
	/* Orders of a former leader are ignored. */
	if (msg->u.worker_orders.term != runner->term || strcmp(peer, LEADER_LINK) != 0)
		return true;
	runner->leader_contact_ms = util_clock_ms();
	orders = fleet_orders_read(NULL, msg->u.worker_orders.json.data,
				   msg->u.worker_orders.json.len);
	if (orders)
		apply_orders(runner, orders);
	else
		log_once("orders_malformed", "", "cannot parse the leader's orders");
	talloc_free(orders);
	return true;
}

static int runner_destructor(struct runner *runner)
{
	g_hash_table_destroy(runner->runs);
	return 0;
}

struct runner *runner_create(TALLOC_CTX *mem, const struct runner_deps *deps)
{
	struct runner *runner = talloc_zero(mem, struct runner);

	runner->deps = *deps;
	runner->calls = *deps->calls;
	runner->address = talloc_strdup(runner, wire_address(deps->wire));
	runner->runs = g_hash_table_new(g_str_hash, g_str_equal);
	runner->report_ms = REPORT_INTERVAL_MIN_MS;
	runner->generation = 1;
	talloc_set_destructor(runner, runner_destructor);
	on_tick(deps->ev, NULL, tevent_timeval_zero(), runner);
	return runner;
}
