#include "runner_int.h"

#include "fleetlimits.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#define TICK_MS 100
#define RENEW_WAIT_MS 500 /* a worker answers at once when a run ends; progress is this old */
#define RENEW_RETRY_MS 200
#define ENDS_PAUSE_MS 150     /* listed ends are answered at once until they are forgotten */
#define REPORT_DELAY_MS 4     /* gathers news that comes together */
#define UNREACHABLE_TO_DOWN 2 /* one refused connection may be a reset */
#define SILENT_MS 1500	      /* without orders for this long the leader is looked for */
#define ASK_MS 500
/* Of a leader without the store. A later one waits only WORKER_LOST_MS for this worker. */
#define ASK_UNSURE_MS 250
#define LEADER_LINK "leader"

bool runner_granted(const struct runner *r)
{
	return r->granted_ms && util_clock_ms() - r->granted_ms < WORKER_RENEWAL_WINDOW_MS;
}

void runner_read_clock(struct runner *r, uint64_t clock_ms)
{
	r->worker_clock_ms = clock_ms;
	r->clock_read_ms = util_clock_ms();
}

/* A reading may be old, and the worker's clock slow; both make the lease shorter, never longer. */
uint64_t runner_lease_end(const struct runner *r)
{
	uint64_t passed = util_clock_ms() - r->clock_read_ms;

	return r->worker_clock_ms + (uint64_t)((double)passed * (1 - WORKER_CLOCK_ERROR)) +
	       WORKER_LEASE_MS;
}

static size_t count_state(const struct runner *r, enum run_state state)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, r->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ((struct run_row *)value)->state == state;
	return count;
}

/*
 * A start that a former leader ordered and that has no answer yet may still begin, so the new
 * leader must count on it.
 */
static bool may_run(const struct runner *r, const struct run_row *row)
{
	if (row->state == RUN_ORDERED)
		return row->term < r->term;
	return row->state != RUN_REFUSED && !runner_end_listed(r, row->task, row->run);
}

static void fill_runs(const struct runner *r, TALLOC_CTX *mem, struct fleet_report *report)
{
	GHashTableIter iter;
	gpointer value;

	report->running = talloc_zero_array(mem, struct plan_run, g_hash_table_size(r->runs) + 1);
	report->refusals =
		talloc_zero_array(mem, struct fleet_refusal, count_state(r, RUN_REFUSED) + 1);
	g_hash_table_iter_init(&iter, r->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run_row *row = value;
		struct plan_run run = {row->task, row->run, row->saved, row->percent};

		if (row->state == RUN_REFUSED)
			report->refusals[report->refusal_count++] =
				(struct fleet_refusal){run, row->why};
		else if (may_run(r, row))
			report->running[report->running_count++] = run;
	}
}

static void send_report(struct runner *r)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct fleet_report report = {
		.sent_ms = util_clock_ms(),
		.list_age_ms = util_clock_ms() - r->listed_ms,
		.address = r->address,
		.alive = !r->down,
		.settled = r->settled,
		.info = {.node = r->deps.node,
			 .id = r->worker ? r->worker : "",
			 .incarnation = r->incarnation ? r->incarnation : "",
			 .service = r->deps.service,
			 .zone = r->zone ? r->zone : "",
			 .kind = r->kind ? r->kind : "",
			 .rack = r->rack ? r->rack : "",
			 .room = r->room,
			 .accepting = r->accepting},
		.ends = r->ends,
		.end_count = r->end_count,
	};
	struct msg msg = {.type = MSG_WORKER_REPORT, .u.worker_report.term = r->term};

	TALLOC_FREE(r->report_timer);
	r->reported_ms = report.sent_ms;
	fill_runs(r, mem, &report);
	msg.u.worker_report.json.data = (uint8_t *)fleet_report_write(mem, &report);
	msg.u.worker_report.json.len = strlen((const char *)msg.u.worker_report.json.data);
	if (r->connected && wire_send(r->deps.wire, LEADER_LINK, &msg))
		log_debug("report_unsent", "", "no room on the way to the leader");
	talloc_free(mem);
}

static void on_report_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			    void *ctx)
{
	struct runner *r = ctx;

	r->report_timer = NULL;
	send_report(r);
}

void runner_report_soon(struct runner *r)
{
	if (!r->report_timer)
		r->report_timer = tevent_add_timer(
			r->deps.ev, r, tevent_timeval_current_ofs(0, REPORT_DELAY_MS * 1000),
			on_report_timer, r);
}

static void connect_leader(struct runner *r)
{
	wire_disconnect(r->deps.wire, LEADER_LINK);
	r->connected = !wire_connect(r->deps.wire, LEADER_LINK, r->leader_address);
	if (!r->connected)
		log_warn("leader_unreachable", "", "cannot connect to %s", r->leader_address);
	r->heard_ms = util_clock_ms();
	send_report(r);
}

static void follow(struct runner *r, uint64_t term, const char *node, const char *address)
{
	if (term < r->term || !*address)
		return;
	if (term == r->term && r->leader_address && !strcmp(address, r->leader_address) &&
	    util_clock_ms() - r->heard_ms < SILENT_MS)
		return;
	if (term > r->term)
		log_info("leader_followed", "", "%s at %s, term %" PRIu64, node, address, term);
	if (term > r->term)
		runner_new_term(r);
	r->term = term;
	r->leader_unsure = false;
	talloc_free(r->leader_address);
	r->leader_address = talloc_strdup(r, address);
	connect_leader(r);
}

static void on_leader(int status, const struct kv_result *result, void *ctx)
{
	struct runner *r = ctx;
	const char *node;
	const char *address;
	json_int_t term;
	json_t *record;

	r->asking = false;
	if (status || result->count == 0)
		return; /* asked again soon */
	record = json_loadb(result->items[0].value, result->items[0].value_len, 0, NULL);
	if (!json_unpack(record, "{s:s, s:s, s:I}", "node", &node, "address", &address, "term",
			 &term))
		follow(r, (uint64_t)term, node, address);
	json_decref(record);
}

static void look_for_leader(struct runner *r, uint64_t now_ms)
{
	if (r->asking || now_ms - r->asked_ms < (r->leader_unsure ? ASK_UNSURE_MS : ASK_MS))
		return;
	if (r->connected && !r->leader_unsure && now_ms - r->heard_ms < SILENT_MS)
		return;
	r->asking = true;
	r->asked_ms = now_ms;
	r->deps.kv->ops->get(r->deps.kv->impl, "leader", (struct kv_cb){on_leader, r});
}

static void worker_down(struct runner *r, const char *why)
{
	if (!r->alive)
		return;
	log_warn("worker_down", r->worker, "%s", why);
	r->alive = false;
	r->down = true;
	runner_new_life(r);
	runner_report_soon(r);
}

/*
 * A new agent process does not know whether its worker runs anything. Where nothing listens,
 * nothing runs, and the leader need not wait for the leases of the time before.
 */
static void on_probed(struct runner *r, int status)
{
	if (status != -ERR_UNAVAILABLE) {
		r->unreachable = 0;
		return;
	}
	if (++r->unreachable < UNREACHABLE_TO_DOWN)
		return;
	log_info("worker_absent", "", "nothing listens at its address since this process began");
	r->down = true;
	runner_report_soon(r);
}

static void on_renewed(int status, const struct runner_list *list, void *ctx)
{
	struct runner *r = ctx;
	uint64_t now_ms = util_clock_ms();

	r->renewing = false;
	r->renew_due_ms = now_ms;
	if (r->renew_life != r->life)
		return;
	if (!r->worker) {
		r->renew_due_ms = now_ms + RENEW_RETRY_MS;
		on_probed(r, status);
		return;
	}
	if (status == 0 && list->born_ms && r->born_ms && list->born_ms != r->born_ms) {
		/* The worker was started again and has not announced itself yet. */
		worker_down(r, "it was started again");
		return;
	}
	if (status == 0) {
		r->unreachable = 0;
		if (list->clock_ms)
			runner_read_clock(r, list->clock_ms);
		runner_take_list(r, list, r->renew_sent_ms);
		if (r->end_count && r->ends[r->end_count - 1].number > r->ends_stored)
			r->renew_due_ms = now_ms + ENDS_PAUSE_MS;
		runner_drive(r, now_ms);
		return;
	}
	r->renew_due_ms = now_ms + RENEW_RETRY_MS;
	if (status == -ERR_STALE)
		worker_down(r, "another incarnation answers");
	else if (status == -ERR_UNAVAILABLE && ++r->unreachable >= UNREACHABLE_TO_DOWN)
		worker_down(r, "nothing listens at its address");
}

static void renew(struct runner *r, uint64_t now_ms)
{
	struct runner_renewal renewal = {
		.worker = r->worker,
		.term = r->term,
		/* The first call reads the clock. */
		.extend = runner_granted(r) && r->worker_clock_ms,
		.ends_known = r->ends_stored,
	};

	if (r->renewing || now_ms < r->renew_due_ms)
		return;
	/* Before the first announcement the call only asks. */
	if (!r->alive && (r->worker || r->down))
		return;
	renewal.lease_end_ms = runner_lease_end(r);
	renewal.wait_ms = renewal.extend && r->settled ? RENEW_WAIT_MS : 0;
	if (!renewal.extend)
		r->renew_due_ms = now_ms + RENEW_RETRY_MS;
	r->renewing = true;
	r->renew_sent_ms = now_ms;
	r->renew_life = r->life;
	r->calls.renew(r->calls.impl, &renewal, on_renewed, r);
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		    void *ctx)
{
	struct runner *r = ctx;
	uint64_t now_ms = util_clock_ms();

	look_for_leader(r, now_ms);
	renew(r, now_ms);
	runner_drive(r, now_ms);
	if (now_ms - r->reported_ms >= r->report_ms)
		send_report(r);
	r->timer =
		tevent_add_timer(ev, r, tevent_timeval_current_ofs(0, TICK_MS * 1000), on_tick, r);
}

static void set_text(struct runner *r, char **field, const char *value)
{
	if (*field && !strcmp(*field, value))
		return;
	talloc_free(*field);
	*field = talloc_strdup(r, value);
}

static void begin_life(struct runner *r, const struct runner_self *self)
{
	log_info("worker_found", self->id, "room for %u accelerators, rack %s",
		 self->room.accelerators, self->rack);
	runner_new_life(r);
	set_text(r, &r->worker, self->id);
	talloc_free(r->incarnation);
	r->incarnation = talloc_asprintf(r, "%s/%" PRIu64, self->id, self->born_ms);
	r->born_ms = self->born_ms;
	r->alive = true;
	r->down = false;
	r->unreachable = 0;
	r->renew_due_ms = 0;
}

int runner_announced(struct runner *r, const struct runner_self *self)
{
	bool same = r->worker && !strcmp(r->worker, self->id) && r->born_ms == self->born_ms;

	if (strcmp(self->service, r->deps.service) != 0)
		return -ERR_INVALID;
	/* Announcements that a partition held up may arrive after those of a later life. */
	if (!same && self->born_ms < r->born_ms)
		return -ERR_STALE;
	if (same && self->sequence < r->sequence)
		return 0;
	if (!same || !r->alive)
		begin_life(r, self);
	r->sequence = self->sequence;
	set_text(r, &r->zone, self->zone);
	set_text(r, &r->kind, self->kind);
	set_text(r, &r->rack, self->rack);
	r->room = self->room;
	if (r->accepting != self->accepting) {
		if (!self->accepting)
			log_info("worker_drains", self->id, "it takes no new work");
		r->accepting = self->accepting;
		runner_report_soon(r);
	}
	renew(r, util_clock_ms());
	return 0;
}

void runner_leaving(struct runner *r, const char *id)
{
	if (!r->worker || strcmp(r->worker, id) != 0)
		return;
	log_info("worker_leaves", id, "it ends now");
	r->accepting = false;
	runner_report_soon(r);
}

static void take_orders(struct runner *r, const struct fleet_orders *orders)
{
	if (orders->echo_ms > r->granted_ms)
		r->granted_ms = orders->echo_ms;
	r->leader_unsure = orders->unsure;
	if (orders->report_ms)
		r->report_ms = orders->report_ms;
	for (size_t i = 0; i < orders->handled_count; i++)
		runner_handled(r, &orders->handled[i]);
	/* Orders for an earlier life of the worker. */
	if (!r->incarnation || strcmp(orders->incarnation, r->incarnation) != 0)
		return;
	if (orders->ends_stored > r->ends_stored) {
		r->ends_stored = orders->ends_stored;
		r->renew_due_ms = 0;
	}
	runner_drop_abandoned(r, orders);
	for (size_t i = 0; i < orders->order_count; i++)
		runner_order(r, &orders->orders[i]);
	runner_drive(r, util_clock_ms());
	renew(r, util_clock_ms());
}

bool runner_message(struct runner *r, const char *peer, const struct msg *msg)
{
	struct fleet_orders *orders;

	if (msg->type == MSG_LEAD) {
		follow(r, msg->u.lead.term, msg->u.lead.node, msg->u.lead.address);
		return true;
	}
	if (msg->type != MSG_WORKER_ORDERS)
		return false;
	/* Orders of a former leader. */
	if (msg->u.worker_orders.term != r->term || strcmp(peer, LEADER_LINK) != 0)
		return true;
	r->heard_ms = util_clock_ms();
	orders = fleet_orders_read(NULL, msg->u.worker_orders.json.data,
				   msg->u.worker_orders.json.len);
	if (orders)
		take_orders(r, orders);
	else
		log_warn("orders_malformed", "", "the orders cannot be read");
	talloc_free(orders);
	return true;
}

static int runner_destructor(struct runner *r)
{
	g_hash_table_destroy(r->runs);
	return 0;
}

struct runner *runner_create(TALLOC_CTX *mem, const struct runner_deps *deps)
{
	struct runner *r = talloc_zero(mem, struct runner);

	r->deps = *deps;
	r->calls = *deps->calls;
	r->address = talloc_strdup(r, wire_address(deps->wire));
	r->runs = g_hash_table_new(g_str_hash, g_str_equal);
	r->report_ms = REPORT_INTERVAL_MIN_MS;
	r->life = 1;
	talloc_set_destructor(r, runner_destructor);
	on_tick(deps->ev, NULL, tevent_timeval_zero(), r);
	return r;
}
