#include "fleetlimits.h"
#include "lib_memkv.h"
#include "runner.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

/* The agent's controller with a simulated worker and a simulated leader. */

#define LIST_MAX 16

struct fixture {
	struct tevent_context *ev;
	struct memkv *store;
	struct metrics *metrics;
	struct wire *agent_wire;
	struct wire *leader_wire;
	struct runner *runner;
	/* The worker. */
	struct runner_calls calls;
	bool worker_up;
	bool draining;
	bool list_answers_lost; /* renewals get no usable answer */
	uint64_t born_ms;
	uint64_t clock_ms;
	enum runner_call_result start_result;
	bool stop_answers_lost;	 /* stops are carried out */
	uint32_t start_delay_ms; /* delay of the answers to start calls */
	uint64_t term;
	int starts;
	int stops;
	uint64_t lease_end_ms; /* latest end of the lease that the worker was sent */
	int extensions;	       /* renewals of the lease */
	uint64_t start_fence;  /* of the latest start */
	uint64_t list_fence;   /* of the latest renewal */
	char ticket[32];       /* of the latest start */
	struct plan_run running[LIST_MAX];
	size_t running_count;
	struct fleet_run_end ends[LIST_MAX];
	size_t end_count;
	bool more_ends; /* than the list names */
	bool unreadable;
	uint64_t ends_known;
	/* The leader. */
	char agent_peer[64];
	struct fleet_report *report; /* latest */
	int reports;
	bool answers;
	uint64_t session;
	bool unsure; /* the orders say that the store has not confirmed the leader */
	bool echo_outdated;
	uint32_t valid_ms; /* from the time of the report on */
	struct plan_order orders[LIST_MAX];
	size_t order_count;
	uint64_t ends_stored;
};

struct delayed_answer {
	struct fixture *f;
	void (*order)(enum runner_call_result, uint64_t, void *);
	void (*list)(int, const struct runner_list *, void *);
	void *ctx;
	enum runner_call_result result;
};

static void on_order_answer_due(struct tevent_context *ev, struct tevent_timer *te,
				struct timeval now, void *ctx)
{
	struct delayed_answer *answer = ctx;

	answer->order(answer->result, answer->f->clock_ms, answer->ctx);
	talloc_free(answer);
}

static void on_list_answer_due(struct tevent_context *ev, struct tevent_timer *te,
			       struct timeval now, void *ctx)
{
	struct delayed_answer *answer = ctx;
	struct runner_list list = {.clock_ms = answer->f->clock_ms,
				   .worker_started_ms = answer->f->born_ms,
				   .running = answer->f->running,
				   .running_count = answer->f->running_count,
				   .ends = answer->f->ends,
				   .end_count = answer->f->end_count,
				   .more_ends = answer->f->more_ends,
				   .unreadable = answer->f->unreadable};

	if (answer->f->list_answers_lost)
		answer->list(-ERR_OUTCOME_UNKNOWN, NULL, answer->ctx);
	else
		answer->list(answer->f->worker_up ? 0 : -ERR_UNAVAILABLE,
			     answer->f->worker_up ? &list : NULL, answer->ctx);
	talloc_free(answer);
}

static struct delayed_answer *schedule_answer(struct fixture *f, void *ctx, uint32_t ms,
					      tevent_timer_handler_t handler)
{
	struct delayed_answer *answer = talloc_zero(f, struct delayed_answer);

	answer->f = f;
	answer->ctx = ctx;
	tevent_add_timer(f->ev, answer, tevent_timeval_current_ofs(0, ms * 1000), handler, answer);
	return answer;
}

static void fake_start(void *impl, const struct runner_start *start,
		       void (*done)(enum runner_call_result, uint64_t, void *), void *ctx)
{
	struct fixture *f = impl;
	struct delayed_answer *answer =
		schedule_answer(f, ctx, f->start_delay_ms, on_order_answer_due);

	answer->order = done;
	answer->result = f->start_result;
	f->starts++;
	f->start_fence = start->fence;
	g_strlcpy(f->ticket, start->ticket, sizeof(f->ticket));
	if (start->lease_end_ms > f->lease_end_ms)
		f->lease_end_ms = start->lease_end_ms;
	if (f->start_result == RUNNER_STARTED)
		f->running[f->running_count++] =
			(struct plan_run){talloc_strdup(f, start->task), start->run, "", 1};
}

static void fake_stop(void *impl, const char *worker, const char *task, uint32_t run, uint64_t term,
		      void (*done)(enum runner_call_result, uint64_t, void *), void *ctx)
{
	struct fixture *f = impl;
	struct delayed_answer *answer = schedule_answer(f, ctx, 2, on_order_answer_due);

	answer->order = done;
	answer->result = f->stop_answers_lost ? RUNNER_NO_ANSWER : RUNNER_STARTED;
	f->stops++;
}

/* Time that the worker takes to answer a renewal that does not wait for a run to end. */
static uint32_t list_delay_ms = 2;

static void fake_renew(void *impl, const struct runner_renewal *renewal,
		       void (*done)(int, const struct runner_list *, void *), void *ctx)
{
	struct fixture *f = impl;
	struct delayed_answer *answer =
		schedule_answer(f, ctx, renewal->wait_ms ? 50 : list_delay_ms, on_list_answer_due);

	answer->list = done;
	f->ends_known = renewal->ends_known;
	f->list_fence = renewal->fence;
	f->extensions += renewal->extend;
	if (renewal->extend && renewal->lease_end_ms > f->lease_end_ms)
		f->lease_end_ms = renewal->lease_end_ms;
}

static void on_agent_message(const char *peer, struct msg *msg, void *ctx)
{
	struct fixture *f = ctx;

	if (f->runner)
		runner_message(f->runner, peer, msg);
}

static void send_orders(struct fixture *f)
{
	struct fleet_orders orders = {.session = f->session,
				      .echo_ms = f->echo_outdated ? 1 : f->report->sent_ms,
				      .incarnation = f->report->info.incarnation,
				      .ends_stored = f->ends_stored,
				      .valid_ms = f->valid_ms,
				      .orders = f->orders,
				      .order_count = f->order_count,
				      .unsure = f->unsure,
				      .report_ms = 100};
	struct msg msg = {.type = MSG_WORKER_ORDERS, .u.worker_orders.term = f->term};
	char *text = fleet_orders_write(f, &orders);

	msg.u.worker_orders.json.data = (uint8_t *)text;
	msg.u.worker_orders.json.len = strlen(text);
	wire_send(f->leader_wire, f->agent_peer, &msg);
	talloc_free(text);
}

static void on_leader_message(const char *peer, struct msg *msg, void *ctx)
{
	struct fixture *f = ctx;

	if (msg->type != MSG_WORKER_REPORT)
		return;
	g_strlcpy(f->agent_peer, peer, sizeof(f->agent_peer));
	talloc_free(f->report);
	f->report =
		fleet_report_read(f, msg->u.worker_report.json.data, msg->u.worker_report.json.len);
	f->reports++;
	if (f->answers)
		send_orders(f);
}

static struct fixture *set_up(void)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);
	struct wire_handlers agent = {on_agent_message, f};
	struct wire_handlers leader = {on_leader_message, f};
	struct err err = {0};
	char *record;
	struct runner_deps deps;

	f->ev = tevent_context_init(f);
	f->store = memkv_create(f, f->ev);
	f->metrics = metrics_create(f);
	f->agent_wire = wire_create(f, f->ev, "agent#1", "127.0.0.1:0", &agent, f->metrics, &err);
	f->leader_wire =
		wire_create(f, f->ev, "leader#1", "127.0.0.1:0", &leader, f->metrics, &err);
	f->calls = (struct runner_calls){fake_start, fake_stop, fake_renew, f};
	f->worker_up = true;
	f->born_ms = 7;
	f->clock_ms = 10000;
	f->answers = true;
	f->start_delay_ms = 2;
	f->term = 3;
	f->valid_ms = WORKER_RENEWAL_WINDOW_MS;
	record = talloc_asprintf(f, "{\"node\":\"e\",\"address\":\"%s\",\"term\":3}",
				 wire_address(f->leader_wire));
	memkv_put(f->store, "leader", record);
	deps = (struct runner_deps){.ev = f->ev,
				    .kv = &memkv_client(f->store)->kv,
				    .wire = f->agent_wire,
				    .metrics = f->metrics,
				    .calls = &f->calls,
				    .node = "host1",
				    .service = "s"};
	f->runner = runner_create(f, &deps);
	memkv_run(f->ev, 300);
	return f;
}

static int announce(struct fixture *f, uint64_t born_ms, uint64_t sequence)
{
	struct runner_announcement announcement = {.id = "w1",
						   .address = "127.0.0.1:9",
						   .service = "s",
						   .zone = "z",
						   .kind = "k",
						   .rack = "r",
						   .room = {1000, 1000, 8},
						   .accepting = !f->draining,
						   .started_ms = born_ms,
						   .sequence = sequence};

	return runner_announced(f->runner, &announcement);
}

static void tear_down(struct fixture *f)
{
	TALLOC_FREE(f->runner);
	wire_destroy(f->agent_wire, 0);
	wire_destroy(f->leader_wire, 0);
	talloc_free(f);
}

/*
 * Guards against agents that a leader cannot find, and against an agent that stores its own key
 * before it has reported: every later leader would wait for it. The leader stores the key when
 * it receives the report.
 */
static void test_reports_to_leader(void)
{
	struct fixture *f = set_up();

	CU_ASSERT_PTR_NULL(memkv_value(f->store, "agent/host1"));
	CU_ASSERT(f->reports > 0);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f->report);
	if (!f->report)
		return;
	CU_ASSERT_STRING_EQUAL(f->report->address, wire_address(f->agent_wire));
	tear_down(f);
}

/*
 * Guards against an agent that reports its worker as down before the worker has announced
 * itself: the leader would then start the worker's tasks a second time elsewhere.
 */
static void test_unknown_worker_is_not_down(void)
{
	struct fixture *f = set_up();

	CU_ASSERT_PTR_NOT_NULL_FATAL(f->report);
	if (!f->report)
		return;
	CU_ASSERT_TRUE(f->report->alive);
	CU_ASSERT_FALSE(f->report->settled);
	tear_down(f);
}

/*
 * Guards against a recovery that waits for the leases of a worker that has ended: its agent was
 * restarted and nothing listens at the worker's address. A worker that announces itself later is
 * reported as alive.
 */
static void test_absent_worker_is_down(void)
{
	struct fixture *f = set_up();

	f->worker_up = false;
	memkv_run(f->ev, 1000);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f->report);
	if (!f->report)
		return;
	CU_ASSERT_FALSE(f->report->alive);
	f->worker_up = true;
	CU_ASSERT_EQUAL(announce(f, 7, 1), 0);
	memkv_run(f->ev, 300);
	CU_ASSERT_TRUE(f->report->alive);
	CU_ASSERT_TRUE(f->report->settled);
	tear_down(f);
}

/*
 * Guards against an agent that ends before it has reported the end of its worker, which shuts down
 * for good: on a day with 12 such workers the leader heard of 5. The others' tasks, and all
 * inherited jobs of the next leader, waited for 6.9 s.
 */
static void test_reports_end_of_leaving_worker(void)
{
	struct fixture *f = set_up();

	CU_ASSERT_EQUAL(announce(f, 7, 1), 0);
	memkv_run(f->ev, 300);
	CU_ASSERT_TRUE(runner_may_stop(f->runner));
	runner_leaving(f->runner, "another");
	CU_ASSERT_TRUE(runner_may_stop(f->runner));
	runner_leaving(f->runner, f->report->info.id);
	CU_ASSERT_FALSE(runner_may_stop(f->runner));
	f->answers = false;
	f->worker_up = false;
	memkv_run(f->ev, 1000);
	CU_ASSERT_FALSE(f->report->alive);
	CU_ASSERT_FALSE(runner_may_stop(f->runner));
	f->answers = true;
	memkv_run(f->ev, 300);
	CU_ASSERT_TRUE(runner_may_stop(f->runner));
	f->worker_up = true;
	f->born_ms = 9;
	CU_ASSERT_EQUAL(announce(f, 9, 1), 0);
	CU_ASSERT_TRUE(runner_may_stop(f->runner));
	tear_down(f);
}

/* Guards against starts that are not carried out, not confirmed, or carried out twice. */
static void test_start(void)
{
	struct fixture *f = set_up();

	CU_ASSERT_EQUAL(announce(f, 7, 1), 0);
	memkv_run(f->ev, 300);
	CU_ASSERT_TRUE(f->report->settled);
	f->orders[f->order_count++] = (struct plan_order){.start = true,
							  .task = "j.0.0.0",
							  .run = 1,
							  .payload = "p",
							  .checkpoint = "",
							  .ticket = ""};
	memkv_run(f->ev, 500);
	CU_ASSERT_EQUAL(f->starts, 1);
	CU_ASSERT_EQUAL_FATAL(f->report->running_count, 1);
	CU_ASSERT_STRING_EQUAL(f->report->running[0].task, "j.0.0.0");
	CU_ASSERT(f->lease_end_ms > 1000);
	tear_down(f);
}

/* Guards against a ticket that does not reach the worker, and a refusal of it not reported. */
static void test_ticket(void)
{
	struct fixture *f = set_up();

	f->start_result = RUNNER_REFUSED_NO_TICKET;
	CU_ASSERT_EQUAL(announce(f, 7, 1), 0);
	memkv_run(f->ev, 300);
	f->orders[f->order_count++] = (struct plan_order){.start = true,
							  .task = "j.0.0.0",
							  .run = 1,
							  .payload = "p",
							  .checkpoint = "",
							  .ticket = "ticket-1"};
	memkv_run(f->ev, 300);
	CU_ASSERT_EQUAL(f->starts, 1);
	CU_ASSERT_STRING_EQUAL(f->ticket, "ticket-1");
	CU_ASSERT_EQUAL_FATAL(f->report->refusal_count, 1);
	CU_ASSERT_EQUAL(f->report->refusals[0].why, PLAN_REFUSED_NO_TICKET);
	tear_down(f);
}

static struct plan_order start_order(void)
{
	return (struct plan_order){.start = true,
				   .task = "j.0.0.0",
				   .run = 1,
				   .payload = "p",
				   .checkpoint = "",
				   .ticket = ""};
}

/*
 * Guards against two concurrent runs of a task: a start without an answer may begin late, so it
 * must be stopped, not only refused, when the worker begins to drain.
 */
static void test_drain_after_unanswered_start(void)
{
	struct fixture *f = set_up();

	f->start_result = RUNNER_NO_ANSWER;
	f->start_delay_ms = 300;
	CU_ASSERT_EQUAL(announce(f, 7, 1), 0);
	memkv_run(f->ev, 300);
	f->orders[f->order_count++] = start_order();
	memkv_run(f->ev, 150);
	CU_ASSERT_EQUAL(f->starts, 1);
	f->draining = true;
	CU_ASSERT_EQUAL(announce(f, 7, 2), 0);
	memkv_run(f->ev, 250);
	CU_ASSERT_EQUAL(f->starts, 1);
	CU_ASSERT_EQUAL(f->stops, 1);
	tear_down(f);
}

/* Guards against a refusal of a run that a former process of the agent may have started. */
static void test_refusal_after_restart(void)
{
	struct fixture *f = set_up();
	struct plan_order order = start_order();

	f->start_result = RUNNER_REFUSED_NO_ROOM;
	CU_ASSERT_EQUAL(announce(f, 7, 1), 0);
	memkv_run(f->ev, 300);
	order.maybe_begun = true;
	f->orders[f->order_count++] = order;
	for (int i = 0; i < 30 && f->stops == 0; i++) {
		memkv_run(f->ev, 10);
		CU_ASSERT(f->stops > 0 || f->report->refusal_count == 0);
	}
	CU_ASSERT_EQUAL(f->stops, 1);
	tear_down(f);
}

/*
 * Guards against a second run of a task that is done: the start and the renewals got no answer,
 * and the repeated start is refused as old because the run has ended meanwhile.
 */
static void test_old_after_unanswered_start(void)
{
	struct fixture *f = set_up();

	f->start_result = RUNNER_NO_ANSWER;
	f->start_delay_ms = 50;
	CU_ASSERT_EQUAL(announce(f, 7, 1), 0);
	memkv_run(f->ev, 300);
	f->list_answers_lost = true;
	f->orders[f->order_count++] = start_order();
	for (int i = 0; i < 30 && f->starts == 0; i++)
		memkv_run(f->ev, 10);
	f->start_result = RUNNER_REFUSED_STALE;
	memkv_run(f->ev, 400);
	CU_ASSERT_EQUAL(f->starts, 2);
	CU_ASSERT_EQUAL(f->report->refusal_count, 0);
	f->ends[f->end_count++] = (struct fleet_run_end){1, {"j.0.0.0", 1, "", 0}, PLAN_END_DONE};
	f->list_answers_lost = false;
	memkv_run(f->ev, 600);
	CU_ASSERT_EQUAL(f->report->refusal_count, 0);
	CU_ASSERT_EQUAL(f->report->end_count, 1);
	tear_down(f);
}

/*
 * Guards against a start that an agent carries out after it was stalled, while the leader has
 * declared the worker lost and started the task elsewhere.
 */
static void test_abandoned_start(void)
{
	struct fixture *f = set_up();

	CU_ASSERT_EQUAL(announce(f, 7, 1), 0);
	memkv_run(f->ev, 300);
	f->answers = false;
	memkv_run(f->ev, WORKER_RENEWAL_WINDOW_MS + 300);
	/* The order was sent before the agent stalled; its echo is too old to extend the lease. */
	f->orders[f->order_count++] = start_order();
	f->echo_outdated = true;
	send_orders(f);
	memkv_run(f->ev, 100);
	CU_ASSERT_EQUAL(f->starts, 0);
	f->order_count = 0;
	f->echo_outdated = false;
	f->answers = true;
	memkv_run(f->ev, 1000);
	CU_ASSERT_EQUAL(f->starts, 0);
	tear_down(f);
}

/* Guards against ends that the worker forgets before the leader has stored them. */
static void test_ends(void)
{
	struct fixture *f = set_up();

	announce(f, 7, 1);
	f->ends[f->end_count++] = (struct fleet_run_end){5, {"j.0.0.0", 1, "", 0}, PLAN_END_DONE};
	memkv_run(f->ev, 500);
	CU_ASSERT_EQUAL_FATAL(f->report->end_count, 1);
	CU_ASSERT_EQUAL(f->ends_known, 0);
	f->ends_stored = 5;
	memkv_run(f->ev, 500);
	CU_ASSERT_EQUAL(f->ends_known, 5);
	tear_down(f);
}

/* Guards against a start without an answer that is reported as refused but may begin later. */
static void test_start_without_answer(void)
{
	struct fixture *f = set_up();

	announce(f, 7, 1);
	f->start_result = RUNNER_NO_ANSWER;
	memkv_run(f->ev, 200);
	f->orders[f->order_count++] = (struct plan_order){.start = true,
							  .task = "j.0.0.0",
							  .run = 1,
							  .payload = "p",
							  .checkpoint = "",
							  .ticket = ""};
	memkv_run(f->ev, 800);
	CU_ASSERT_EQUAL(f->starts, 2);
	CU_ASSERT(f->stops >= 1);
	CU_ASSERT_EQUAL_FATAL(f->report->refusal_count, 1);
	tear_down(f);
}

/* Guards against a lease that is extended although no leader answers any more. */
static void test_lease_needs_leader(void)
{
	struct fixture *f = set_up();
	uint64_t last;

	announce(f, 7, 1);
	memkv_run(f->ev, 500);
	f->answers = false;
	memkv_run(f->ev, 3200);
	last = f->lease_end_ms;
	memkv_run(f->ev, 1000);
	CU_ASSERT_EQUAL(f->lease_end_ms, last);
	tear_down(f);
}

/* Guards against starts and a lease on behalf of a leader that may have been replaced. */
static void test_replaceable_leader(void)
{
	struct fixture *f = set_up();
	int extensions;
	int starts;

	announce(f, 7, 1);
	memkv_run(f->ev, 500);
	f->valid_ms = 0;
	memkv_run(f->ev, WORKER_RENEWAL_WINDOW_MS + 100);
	extensions = f->extensions;
	starts = f->starts;
	f->orders[f->order_count++] = (struct plan_order){.start = true,
							  .task = "j.0.0.0",
							  .run = 1,
							  .payload = "p",
							  .checkpoint = "",
							  .ticket = ""};
	memkv_run(f->ev, 1000);
	CU_ASSERT_EQUAL(f->extensions, extensions);
	CU_ASSERT_EQUAL(f->starts, starts);
	f->valid_ms = WORKER_RENEWAL_WINDOW_MS;
	memkv_run(f->ev, 500);
	CU_ASSERT(f->extensions > extensions);
	CU_ASSERT_EQUAL(f->starts, starts + 1);
	tear_down(f);
}

/*
 * Guards against a lease that is extended on behalf of a leader without the store, while a later
 * leader, which can't reach this agent, declares the worker lost. The lease has to end within
 * WORKER_LOST_MS of the election.
 */
static void test_unsure_leader(void)
{
	struct fixture *f = set_up();
	int last;

	announce(f, 7, 1);
	memkv_run(f->ev, 500);
	f->unsure = true;
	memkv_run(f->ev, 800);
	memkv_put(f->store, "leader", "{\"node\":\"e2\",\"address\":\"127.0.0.1:1\",\"term\":4}");
	memkv_run(f->ev, 350 + WORKER_RENEWAL_WINDOW_MS);
	last = f->extensions;
	memkv_run(f->ev, 1500);
	CU_ASSERT_EQUAL(f->extensions, last);
	tear_down(f);
}

/* Guards against an agent that follows no leader any more after an odd record of a leader. */
static void test_odd_leader_record(void)
{
	static const char *const records[] = {
		"{\"node\":\"x\",\"address\":\"127.0.0.1:1\",\"term\":-1}",
		"{\"node\":\"x\",\"address\":\"127.0.0.1:1\",\"term\":9223372036854775807}",
		"{\"node\":\"x\",\"address\":\"127.0.0.1:99999\",\"term\":9}",
		"{\"node\":\"x\",\"address\":\"some.host:1\",\"term\":9}",
		"",
	};
	struct fixture *f = set_up();
	char *record = talloc_strdup(f, memkv_value(f->store, "leader"));

	announce(f, 7, 1);
	memkv_run(f->ev, 300);
	for (size_t i = 0; i < G_N_ELEMENTS(records); i++) {
		int last;

		f->unsure = true; /* lets the agent read the record */
		memkv_put(f->store, "leader", records[i]);
		memkv_run(f->ev, 900);
		memkv_put(f->store, "leader", record);
		f->unsure = false;
		last = f->extensions;
		memkv_run(f->ev, 900);
		CU_ASSERT(f->extensions > last);
	}
	tear_down(f);
}

/* Guards against work that ends because the store is unreachable and no leader was elected. */
static void test_unsure_leader_is_kept(void)
{
	struct fixture *f = set_up();
	int last;

	announce(f, 7, 1);
	memkv_run(f->ev, 500);
	f->unsure = true;
	memkv_run(f->ev, 3500);
	last = f->extensions;
	memkv_run(f->ev, 1500);
	CU_ASSERT(f->extensions > last);
	tear_down(f);
}

/* Guards against a worker that has ended but is reported as alive, and mixed-up incarnations. */
static void test_incarnations(void)
{
	struct fixture *f = set_up();

	announce(f, 7, 1);
	memkv_run(f->ev, 300);
	CU_ASSERT_TRUE(f->report->alive);
	f->worker_up = false;
	memkv_run(f->ev, 900);
	CU_ASSERT_FALSE(f->report->alive);
	f->worker_up = true;
	f->born_ms = 9;
	CU_ASSERT_EQUAL(announce(f, 9, 1), 0);
	CU_ASSERT_EQUAL(announce(f, 7, 99), -ERR_STALE);
	memkv_run(f->ev, 300);
	CU_ASSERT_TRUE(f->report->alive);
	CU_ASSERT_STRING_EQUAL(f->report->info.incarnation, "w1/9");
	tear_down(f);
}

/* Guards against starts that are refused because the worker has not sent its first list yet. */
/* The worker's start time comes from a clock that may be set back; it must be used nevertheless. */
static void test_clock_set_back(void)
{
	struct fixture *f = set_up();

	announce(f, 7, 1);
	memkv_run(f->ev, 300);
	f->worker_up = false;
	memkv_run(f->ev, 900);
	CU_ASSERT_FALSE(f->report->alive);
	CU_ASSERT_EQUAL(announce(f, 5, 1), -ERR_STALE);
	f->worker_up = true;
	f->born_ms = 5;
	memkv_run(f->ev, 500);
	CU_ASSERT_EQUAL(announce(f, 6, 99), -ERR_STALE);
	CU_ASSERT_EQUAL(announce(f, 5, 2), 0);
	memkv_run(f->ev, 300);
	CU_ASSERT_TRUE(f->report->alive);
	CU_ASSERT_STRING_EQUAL(f->report->info.incarnation, "w1/5");
	tear_down(f);
}

static void test_order_before_first_list(void)
{
	struct fixture *f = set_up();

	list_delay_ms = 400;
	f->orders[f->order_count++] = (struct plan_order){.start = true,
							  .task = "j.0.0.0",
							  .run = 1,
							  .payload = "p",
							  .checkpoint = "",
							  .ticket = ""};
	announce(f, 7, 1);
	memkv_run(f->ev, 300);
	CU_ASSERT_EQUAL(f->report->refusal_count, 0);
	memkv_run(f->ev, 500);
	CU_ASSERT_EQUAL(f->starts, 1);
	list_delay_ms = 2;
	tear_down(f);
}

/*
 * Guards against a new leader that starts a task elsewhere while a start that the former
 * leader ordered has no answer yet and begins late.
 */
static void test_unanswered_start_is_reported_to_new_leader(void)
{
	struct fixture *f = set_up();
	struct msg msg = {.type = MSG_LEAD, .u.lead = {4, "e2", wire_address(f->leader_wire)}};

	announce(f, 7, 1);
	memkv_run(f->ev, 300);
	f->start_result = RUNNER_NO_ANSWER;
	f->start_delay_ms = 900;
	f->orders[f->order_count++] = (struct plan_order){.start = true,
							  .task = "j.0.0.0",
							  .run = 1,
							  .payload = "p",
							  .checkpoint = "",
							  .ticket = ""};
	memkv_run(f->ev, 300);
	CU_ASSERT_EQUAL(f->starts, 1);
	CU_ASSERT_EQUAL(f->report->running_count, 0);
	f->order_count = 0;
	f->term = 4;
	wire_send(f->leader_wire, f->agent_peer, &msg);
	memkv_run(f->ev, 200);
	CU_ASSERT_EQUAL(f->report->running_count, 0);
	CU_ASSERT_EQUAL_FATAL(f->report->pending_count, 1);
	CU_ASSERT_STRING_EQUAL(f->report->pending[0].task, "j.0.0.0");
	tear_down(f);
}

/* Guards against a run that is reported as running before the worker has confirmed it. */
static void test_stopping_start_is_not_running(void)
{
	struct fixture *f = set_up();

	announce(f, 7, 1);
	memkv_run(f->ev, 300);
	f->start_result = RUNNER_NO_ANSWER;
	f->stop_answers_lost = true;
	f->orders[f->order_count++] = start_order();
	memkv_run(f->ev, 600);
	CU_ASSERT_EQUAL(f->starts, 2);
	CU_ASSERT(f->stops > 0);
	CU_ASSERT_EQUAL(f->report->running_count, 0);
	CU_ASSERT_EQUAL(f->report->pending_count, 1);
	tear_down(f);
}

/* Guards against orders of a former leader that are carried out. */
static void test_former_leader(void)
{
	struct fixture *f = set_up();
	struct msg msg = {.type = MSG_WORKER_ORDERS, .u.worker_orders.term = 2};
	const char *text =
		"{\"echo\":1,\"incarnation\":\"w1/7\",\"orders\":[[\"j.0.0.0\",1,\"\",\"p\"]]}";

	announce(f, 7, 1);
	memkv_run(f->ev, 300);
	msg.u.worker_orders.json.data = (uint8_t *)text;
	msg.u.worker_orders.json.len = strlen(text);
	wire_send(f->leader_wire, f->agent_peer, &msg);
	memkv_run(f->ev, 300);
	CU_ASSERT_EQUAL(f->starts, 0);
	tear_down(f);
}

/* Guards against an ended run that is reported as running because its stop got no answer. */
static void test_end_after_unanswered_stop(void)
{
	struct fixture *f = set_up();

	announce(f, 7, 1);
	memkv_run(f->ev, 300);
	f->orders[f->order_count++] = start_order();
	memkv_run(f->ev, 300);
	CU_ASSERT_EQUAL(f->report->running_count, 1);
	f->stop_answers_lost = true;
	f->orders[0].start = false;
	f->orders[0].payload = NULL;
	memkv_run(f->ev, 200);
	CU_ASSERT(f->stops > 0);
	f->running_count = 0;
	f->ends[f->end_count++] =
		(struct fleet_run_end){1, {"j.0.0.0", 1, "", 0}, PLAN_END_STOPPED};
	memkv_run(f->ev, 300);
	CU_ASSERT_EQUAL(f->report->end_count, 1);
	f->order_count = 0;
	f->ends_stored = 1;
	f->end_count = 0;
	memkv_run(f->ev, 500);
	CU_ASSERT_EQUAL(f->report->end_count, 0);
	CU_ASSERT_EQUAL(f->report->running_count, 0);
	tear_down(f);
}

/* Guards against a list that lacks a run because an earlier term's start was carried out late. */
static void test_list_of_former_term(void)
{
	struct fixture *f = set_up();
	char *record;

	announce(f, 7, 1);
	memkv_run(f->ev, 300);
	CU_ASSERT_TRUE(f->report->settled);
	f->list_answers_lost = true;
	f->term = 4;
	record = talloc_asprintf(f, "{\"node\":\"e\",\"address\":\"%s\",\"term\":4}",
				 wire_address(f->leader_wire));
	f->answers = false;
	memkv_put(f->store, "leader", record);
	memkv_run(f->ev, 2500);
	CU_ASSERT_FALSE(f->report->settled);
	f->answers = true;
	f->list_answers_lost = false;
	memkv_run(f->ev, 500);
	CU_ASSERT_TRUE(f->report->settled);
	tear_down(f);
}

/* Guards against a worker that is reported as down while a new incarnation runs a start of ours. */
static void test_start_on_restarted_worker(void)
{
	struct fixture *f = set_up();

	announce(f, 7, 1);
	memkv_run(f->ev, 300);
	CU_ASSERT_TRUE(f->report->settled);
	/* The worker restarts under its identifier, and its answer with the new start time is late.
	 */
	f->list_answers_lost = true;
	f->born_ms = 9;
	f->orders[f->order_count++] = start_order();
	for (int i = 0; i < 50 && f->starts == 0; i++)
		memkv_run(f->ev, 10);
	CU_ASSERT_EQUAL(f->running_count, 1);
	f->list_answers_lost = false;
	for (int i = 0; i < 60; i++) {
		memkv_run(f->ev, 10);
		CU_ASSERT_TRUE(f->report->alive);
	}
	CU_ASSERT_EQUAL(announce(f, 9, 1), 0);
	memkv_run(f->ev, 300);
	CU_ASSERT_EQUAL(f->report->running_count, 1);
	tear_down(f);
}

/* Gives the agent a start that gets no answer. */
static void leave_start_unanswered(struct fixture *f)
{
	f->start_result = RUNNER_NO_ANSWER;
	f->start_delay_ms = 5000;
	f->orders[f->order_count++] = start_order();
	for (int i = 0; i < 50 && f->starts == 0; i++)
		memkv_run(f->ev, 10);
	CU_ASSERT_EQUAL(f->starts, 1);
	CU_ASSERT_TRUE(f->start_fence >= f->list_fence);
}

/* Guards against a late start that a restarted worker carries out under its identifier. */
static void test_late_start_on_restarted_worker(void)
{
	struct fixture *f = set_up();

	announce(f, 7, 1);
	memkv_run(f->ev, 300);
	leave_start_unanswered(f);
	f->born_ms = 9;
	announce(f, 9, 1);
	memkv_run(f->ev, 300);
	CU_ASSERT_TRUE(f->list_fence > f->start_fence);
	tear_down(f);
}

/* Guards against a late start on a worker that is down and restarts before it announces itself. */
static void test_late_start_on_returning_worker(void)
{
	struct fixture *f = set_up();

	announce(f, 7, 1);
	memkv_run(f->ev, 300);
	leave_start_unanswered(f);
	f->worker_up = false;
	memkv_run(f->ev, 1000);
	CU_ASSERT_FALSE(f->report->alive);
	f->worker_up = true;
	f->list_fence = 0;
	memkv_run(f->ev, 300);
	CU_ASSERT_TRUE(f->list_fence > f->start_fence);
	tear_down(f);
}

/* Guards against a late start on a worker whose connection broke because it restarted. */
static void test_late_start_after_failed_renewal(void)
{
	struct fixture *f = set_up();

	announce(f, 7, 1);
	memkv_run(f->ev, 300);
	leave_start_unanswered(f);
	f->list_answers_lost = true;
	memkv_run(f->ev, 600);
	CU_ASSERT_TRUE(f->list_fence > f->start_fence);
	tear_down(f);
}

/* Guards against a restart that only the clock in the answer to a start shows. */
static void test_clock_of_worker_goes_back(void)
{
	struct fixture *f = set_up();
	uint64_t fence;

	announce(f, 7, 1);
	memkv_run(f->ev, 300);
	fence = f->list_fence;
	f->clock_ms = 500;
	f->orders[f->order_count++] = start_order();
	memkv_run(f->ev, 300);
	CU_ASSERT_TRUE(f->list_fence > fence);
	CU_ASSERT_FALSE(f->report->info.accepting);
	tear_down(f);
}

/* Guards against a late start on a worker that the leader has counted as lost meanwhile. */
static void test_late_start_on_lost_worker(void)
{
	struct fixture *f = set_up();

	announce(f, 7, 1);
	memkv_run(f->ev, 300);
	leave_start_unanswered(f);
	f->answers = false;
	memkv_run(f->ev, WORKER_RENEWAL_WINDOW_MS + 300);
	CU_ASSERT_TRUE(f->list_fence <= f->start_fence);
	f->answers = true;
	memkv_run(f->ev, 1500);
	CU_ASSERT_TRUE(f->list_fence > f->start_fence);
	tear_down(f);
}

/* Guards against a late start of a former process of the agent, and a list that may lack it. */
static void test_list_of_former_session(void)
{
	struct fixture *f = set_up();
	uint64_t fence;

	announce(f, 7, 1);
	memkv_run(f->ev, 300);
	CU_ASSERT_TRUE(f->report->settled);
	fence = f->list_fence;
	f->list_answers_lost = true;
	f->session = 1;
	memkv_run(f->ev, 400);
	CU_ASSERT_EQUAL(f->report->session, 1);
	CU_ASSERT_FALSE(f->report->settled);
	f->list_answers_lost = false;
	memkv_run(f->ev, 600);
	CU_ASSERT_TRUE(f->report->settled);
	CU_ASSERT_TRUE(f->list_fence > fence);
	tear_down(f);
}

/* Guards against ends of a restarted worker that are forgotten by the numbers of its former ones.
 */
static void test_ends_known_after_failure(void)
{
	struct fixture *f = set_up();

	f->ends[f->end_count++] = (struct fleet_run_end){57, {"t.0.0.1", 3, "", 0}, PLAN_END_DONE};
	announce(f, 7, 1);
	memkv_run(f->ev, 300);
	f->ends_stored = 57;
	memkv_run(f->ev, 600);
	CU_ASSERT_EQUAL(f->ends_known, 57);
	f->list_answers_lost = true;
	memkv_run(f->ev, 600);
	CU_ASSERT_EQUAL(f->ends_known, 0);
	f->list_answers_lost = false;
	memkv_run(f->ev, 600);
	CU_ASSERT_EQUAL(f->ends_known, 57);
	tear_down(f);
}

/*
 * Guards against runs that outlive the time after which the leader counts their worker as lost: a
 * worker that has restarted may have a lease by its former clock.
 */
static void test_no_start_under_long_lease(void)
{
	struct fixture *f = set_up();

	announce(f, 7, 1);
	memkv_run(f->ev, 300);
	f->born_ms = 9;
	f->running[f->running_count++] = (struct plan_run){"t.0.0.1", 3, "", 1};
	announce(f, 9, 1);
	memkv_run(f->ev, 300);
	CU_ASSERT_FALSE(f->report->info.accepting);
	CU_ASSERT(f->stops > 0);
	f->orders[f->order_count++] = start_order();
	memkv_run(f->ev, 300);
	CU_ASSERT_EQUAL(f->starts, 0);
	CU_ASSERT_EQUAL(f->report->refusal_count, 1);
	f->order_count = 0;
	memkv_run(f->ev, WORKER_LEASE_MAX_MS - WORKER_LEASE_MS - 800);
	CU_ASSERT_FALSE(f->report->info.accepting);
	memkv_run(f->ev, 1300);
	CU_ASSERT_TRUE(f->report->info.accepting);
	tear_down(f);
}

/* Guards against a start that is repeated under a term whose leader does not know of it yet. */
static void test_start_of_former_term_is_not_repeated(void)
{
	struct fixture *f = set_up();
	struct msg msg = {.type = MSG_LEAD, .u.lead = {4, "e2", wire_address(f->leader_wire)}};

	announce(f, 7, 1);
	memkv_run(f->ev, 300);
	f->start_result = RUNNER_NO_ANSWER;
	f->start_delay_ms = 200;
	f->orders[f->order_count++] = start_order();
	for (int i = 0; i < 50 && f->starts == 0; i++)
		memkv_run(f->ev, 10);
	CU_ASSERT_EQUAL(f->starts, 1);
	f->order_count = 0;
	f->answers = false;
	f->term = 4;
	wire_send(f->leader_wire, f->agent_peer, &msg);
	memkv_run(f->ev, 1000);
	CU_ASSERT_EQUAL(f->starts, 1);
	tear_down(f);
}

/* The list of the worker names neither the run nor its end; then it names the end. */
static void check_missing_run(bool more_ends)
{
	struct fixture *f = set_up();

	announce(f, 7, 1);
	memkv_run(f->ev, 300);
	f->orders[f->order_count++] = start_order();
	memkv_run(f->ev, 300);
	CU_ASSERT_EQUAL(f->report->running_count, 1);
	f->order_count = 0;
	f->running_count = 0;
	f->more_ends = more_ends;
	f->unreadable = !more_ends;
	f->ends[f->end_count++] = (struct fleet_run_end){1, {"k.0.0.0", 1, "", 0}, PLAN_END_DONE};
	memkv_run(f->ev, 400);
	CU_ASSERT_EQUAL(f->report->more_ends, more_ends);
	CU_ASSERT_EQUAL(f->report->unreadable, !more_ends);
	CU_ASSERT_EQUAL(f->report->running_count, 0);
	CU_ASSERT_EQUAL(f->report->pending_count, 1);
	f->orders[f->order_count++] =
		(struct plan_order){.task = "j.0.0.0", .run = 1, .stop_reason = ""};
	memkv_run(f->ev, 400);
	CU_ASSERT(f->stops > 0);
	CU_ASSERT_EQUAL(f->report->refusal_count, 0);
	CU_ASSERT_EQUAL(f->report->pending_count, 1);
	f->order_count = 0;
	f->more_ends = false;
	f->unreadable = false;
	f->ends[f->end_count++] = (struct fleet_run_end){2, {"j.0.0.0", 1, "", 0}, PLAN_END_DONE};
	memkv_run(f->ev, 400);
	CU_ASSERT_EQUAL(f->report->end_count, 2);
	CU_ASSERT_EQUAL(f->report->pending_count, 0);
	CU_ASSERT_EQUAL(f->report->refusal_count, 0);
	tear_down(f);
}

/*
 * Guards against a second start of a task whose end is among those that the worker has not listed
 * yet, or whose row can't be read.
 */
static void test_run_missing_from_partial_list(void)
{
	check_missing_run(true);
	check_missing_run(false);
}

/* Guards against starts that are withdrawn because a part of the orders can't be read. */
static void test_unreadable_order(void)
{
	struct fixture *f = set_up();
	char *text;
	struct msg msg = {.type = MSG_WORKER_ORDERS, .u.worker_orders.term = 3};

	announce(f, 7, 1);
	memkv_run(f->ev, 300);
	f->start_result = RUNNER_NO_ANSWER;
	f->start_delay_ms = 900;
	f->orders[f->order_count++] = start_order();
	memkv_run(f->ev, 300);
	CU_ASSERT_EQUAL(f->starts, 1);
	f->answers = false;
	text = talloc_asprintf(f,
			       "{\"session\":0,\"echo\":1,\"incarnation\":\"%s\","
			       "\"orders\":[[7,1,\"\",\"p\"]]}",
			       f->report->info.incarnation);
	msg.u.worker_orders.json.data = (uint8_t *)text;
	msg.u.worker_orders.json.len = strlen(text);
	wire_send(f->leader_wire, f->agent_peer, &msg);
	memkv_run(f->ev, 1000); /* a withdrawn start is stopped when its call has ended */
	CU_ASSERT_EQUAL(f->starts, 2);
	CU_ASSERT_EQUAL(f->stops, 0);
	tear_down(f);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("runner", NULL, NULL);
	CU_add_test(suite, "reports_to_leader", test_reports_to_leader);
	CU_add_test(suite, "unknown_worker_is_not_down", test_unknown_worker_is_not_down);
	CU_add_test(suite, "absent_worker_is_down", test_absent_worker_is_down);
	CU_add_test(suite, "reports_end_of_leaving_worker", test_reports_end_of_leaving_worker);
	CU_add_test(suite, "start", test_start);
	CU_add_test(suite, "ticket", test_ticket);
	CU_add_test(suite, "drain_after_unanswered_start", test_drain_after_unanswered_start);
	CU_add_test(suite, "refusal_after_restart", test_refusal_after_restart);
	CU_add_test(suite, "old_after_unanswered_start", test_old_after_unanswered_start);
	CU_add_test(suite, "abandoned_start", test_abandoned_start);
	CU_add_test(suite, "ends", test_ends);
	CU_add_test(suite, "start_without_answer", test_start_without_answer);
	CU_add_test(suite, "lease_needs_leader", test_lease_needs_leader);
	CU_add_test(suite, "replaceable_leader", test_replaceable_leader);
	CU_add_test(suite, "unsure_leader", test_unsure_leader);
	CU_add_test(suite, "odd_leader_record", test_odd_leader_record);
	CU_add_test(suite, "unsure_leader_is_kept", test_unsure_leader_is_kept);
	CU_add_test(suite, "lives", test_incarnations);
	CU_add_test(suite, "clock_set_back", test_clock_set_back);
	CU_add_test(suite, "order_before_first_list", test_order_before_first_list);
	CU_add_test(suite, "unanswered_start_is_told_to_new_leader",
		    test_unanswered_start_is_reported_to_new_leader);
	CU_add_test(suite, "former_leader", test_former_leader);
	CU_add_test(suite, "stopping_start_is_not_running", test_stopping_start_is_not_running);
	CU_add_test(suite, "start_on_restarted_worker", test_start_on_restarted_worker);
	CU_add_test(suite, "start_of_former_term_is_not_repeated",
		    test_start_of_former_term_is_not_repeated);
	CU_add_test(suite, "list_of_former_term", test_list_of_former_term);
	CU_add_test(suite, "list_of_former_session", test_list_of_former_session);
	CU_add_test(suite, "late_start_on_restarted_worker", test_late_start_on_restarted_worker);
	CU_add_test(suite, "late_start_on_returning_worker", test_late_start_on_returning_worker);
	CU_add_test(suite, "late_start_on_lost_worker", test_late_start_on_lost_worker);
	CU_add_test(suite, "late_start_after_failed_renewal", test_late_start_after_failed_renewal);
	CU_add_test(suite, "clock_of_worker_goes_back", test_clock_of_worker_goes_back);
	CU_add_test(suite, "ends_known_after_failure", test_ends_known_after_failure);
	CU_add_test(suite, "no_start_under_long_lease", test_no_start_under_long_lease);
	CU_add_test(suite, "end_after_unanswered_stop", test_end_after_unanswered_stop);
	CU_add_test(suite, "run_missing_from_partial_list", test_run_missing_from_partial_list);
	CU_add_test(suite, "unreadable_order", test_unreadable_order);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
