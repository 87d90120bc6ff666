#include "lib_runnerworld.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

/*
 * Guards against agents that a leader cannot find, and against an agent that stores its own key
 * before it has reported: every later leader would wait for it. The leader stores the key when
 * it receives the report.
 */
static void test_reports_to_leader(void)
{
	struct runnerworld *f = runnerworld_create();

	CU_ASSERT_PTR_NULL(memkv_value(f->store, "agent/host1"));
	CU_ASSERT(f->reports > 0);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f->report);
	if (!f->report)
		return;
	CU_ASSERT_STRING_EQUAL(f->report->address, wire_address(f->agent_wire));
	runnerworld_destroy(f);
}

/*
 * Guards against an agent that reports its worker as down before the worker has announced
 * itself: the leader would then start the worker's tasks a second time elsewhere.
 */
static void test_unknown_worker_is_not_down(void)
{
	struct runnerworld *f = runnerworld_create();

	CU_ASSERT_PTR_NOT_NULL_FATAL(f->report);
	if (!f->report)
		return;
	CU_ASSERT_TRUE(f->report->alive);
	CU_ASSERT_FALSE(f->report->settled);
	runnerworld_destroy(f);
}

/*
 * Guards against a recovery that waits for the leases of a worker that has ended: its agent was
 * restarted and nothing listens at the worker's address. A worker that announces itself later is
 * reported as alive.
 */
static void test_absent_worker_is_down(void)
{
	struct runnerworld *f = runnerworld_create();

	f->worker_up = false;
	memkv_run(f->ev, 1000);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f->report);
	if (!f->report)
		return;
	CU_ASSERT_FALSE(f->report->alive);
	f->worker_up = true;
	CU_ASSERT_EQUAL(runnerworld_announce(f, 7, 1), 0);
	memkv_run(f->ev, 300);
	CU_ASSERT_TRUE(f->report->alive);
	CU_ASSERT_TRUE(f->report->settled);
	runnerworld_destroy(f);
}

/*
 * Guards against an agent that ends before it has reported the end of its worker, which shuts down
 * for good: on a day with 12 such workers the leader heard of 5. The others' tasks, and all
 * inherited jobs of the next leader, waited for 6.9 s.
 */
static void test_reports_end_of_leaving_worker(void)
{
	struct runnerworld *f = runnerworld_create();

	CU_ASSERT_EQUAL(runnerworld_announce(f, 7, 1), 0);
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
	CU_ASSERT_EQUAL(runnerworld_announce(f, 9, 1), 0);
	CU_ASSERT_TRUE(runner_may_stop(f->runner));
	runnerworld_destroy(f);
}

/* Guards against starts that are not carried out, not confirmed, or carried out twice. */
static void test_start(void)
{
	struct runnerworld *f = runnerworld_create();

	CU_ASSERT_EQUAL(runnerworld_announce(f, 7, 1), 0);
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
	runnerworld_destroy(f);
}

/* Guards against a ticket that does not reach the worker, and a refusal of it not reported. */
static void test_ticket(void)
{
	struct runnerworld *f = runnerworld_create();

	f->start_result = RUNNER_REFUSED_NO_TICKET;
	CU_ASSERT_EQUAL(runnerworld_announce(f, 7, 1), 0);
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
	runnerworld_destroy(f);
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
	struct runnerworld *f = runnerworld_create();

	f->start_result = RUNNER_NO_ANSWER;
	f->start_delay_ms = 300;
	CU_ASSERT_EQUAL(runnerworld_announce(f, 7, 1), 0);
	memkv_run(f->ev, 300);
	f->orders[f->order_count++] = start_order();
	for (int i = 0; i < 15 && f->starts == 0; i++)
		memkv_run(f->ev, 10);
	CU_ASSERT_EQUAL(f->starts, 1);
	f->draining = true;
	CU_ASSERT_EQUAL(runnerworld_announce(f, 7, 2), 0);
	memkv_run(f->ev, f->start_delay_ms + 50);
	CU_ASSERT_EQUAL(f->starts, 1);
	CU_ASSERT_EQUAL(f->stops, 1);
	runnerworld_destroy(f);
}

/* Guards against a refusal of a run that a former process of the agent may have started. */
static void test_refusal_after_restart(void)
{
	struct runnerworld *f = runnerworld_create();
	struct plan_order order = start_order();

	f->start_result = RUNNER_REFUSED_NO_ROOM;
	CU_ASSERT_EQUAL(runnerworld_announce(f, 7, 1), 0);
	memkv_run(f->ev, 300);
	order.maybe_begun = true;
	f->orders[f->order_count++] = order;
	for (int i = 0; i < 30 && f->stops == 0; i++) {
		memkv_run(f->ev, 10);
		CU_ASSERT(f->stops > 0 || f->report->refusal_count == 0);
	}
	CU_ASSERT_EQUAL(f->stops, 1);
	runnerworld_destroy(f);
}

/*
 * Guards against a second run of a task that is done: the start and the renewals got no answer,
 * and the repeated start is refused as old because the run has ended meanwhile.
 */
static void test_old_after_unanswered_start(void)
{
	struct runnerworld *f = runnerworld_create();

	f->start_result = RUNNER_NO_ANSWER;
	f->start_delay_ms = 50;
	CU_ASSERT_EQUAL(runnerworld_announce(f, 7, 1), 0);
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
	runnerworld_destroy(f);
}

/*
 * Guards against a start that an agent carries out after it was stalled, while the leader has
 * declared the worker lost and started the task elsewhere.
 */
static void test_abandoned_start(void)
{
	struct runnerworld *f = runnerworld_create();

	CU_ASSERT_EQUAL(runnerworld_announce(f, 7, 1), 0);
	memkv_run(f->ev, 300);
	f->answers = false;
	memkv_run(f->ev, WORKER_RENEWAL_WINDOW_MS + 300);
	/* The order was sent before the agent stalled; its echo is too old to extend the lease. */
	f->orders[f->order_count++] = start_order();
	f->echo_outdated = true;
	runnerworld_send_orders(f);
	memkv_run(f->ev, 100);
	CU_ASSERT_EQUAL(f->starts, 0);
	f->order_count = 0;
	f->echo_outdated = false;
	f->answers = true;
	memkv_run(f->ev, 1000);
	CU_ASSERT_EQUAL(f->starts, 0);
	runnerworld_destroy(f);
}

/* Guards against ends that the worker forgets before the leader has stored them. */
static void test_ends(void)
{
	struct runnerworld *f = runnerworld_create();

	runnerworld_announce(f, 7, 1);
	f->ends[f->end_count++] = (struct fleet_run_end){5, {"j.0.0.0", 1, "", 0}, PLAN_END_DONE};
	memkv_run(f->ev, 500);
	CU_ASSERT_EQUAL_FATAL(f->report->end_count, 1);
	CU_ASSERT_EQUAL(f->ends_known, 0);
	f->ends_stored = 5;
	memkv_run(f->ev, 500);
	CU_ASSERT_EQUAL(f->ends_known, 5);
	runnerworld_destroy(f);
}

/* Guards against a start without an answer that is reported as refused but may begin later. */
static void test_start_without_answer(void)
{
	struct runnerworld *f = runnerworld_create();

	runnerworld_announce(f, 7, 1);
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
	runnerworld_destroy(f);
}

/* Guards against a lease that is extended although no leader answers any more. */
static void test_lease_needs_leader(void)
{
	struct runnerworld *f = runnerworld_create();
	uint64_t last;

	runnerworld_announce(f, 7, 1);
	memkv_run(f->ev, 500);
	f->answers = false;
	memkv_run(f->ev, 3200);
	last = f->lease_end_ms;
	memkv_run(f->ev, 1000);
	CU_ASSERT_EQUAL(f->lease_end_ms, last);
	runnerworld_destroy(f);
}

/* Guards against starts and a lease on behalf of a leader that may have been replaced. */
static void test_replaceable_leader(void)
{
	struct runnerworld *f = runnerworld_create();
	int extensions;
	int starts;

	runnerworld_announce(f, 7, 1);
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
	runnerworld_destroy(f);
}

/*
 * Guards against starts in an evacuated zone, new ones and repetitions, and against orders that are
 * lost by the wait.
 */
static void test_closed_zone(void)
{
	struct runnerworld *f = runnerworld_create();
	struct plan_order order = {.start = true,
				   .task = "j.0.0.0",
				   .run = 1,
				   .payload = "p",
				   .checkpoint = "",
				   .ticket = ""};
	int starts;

	runnerworld_announce(f, 7, 1);
	memkv_run(f->ev, 300);
	f->closed = true;
	f->orders[f->order_count++] = order;
	memkv_run(f->ev, 500);
	CU_ASSERT_EQUAL(f->starts, 0);
	CU_ASSERT_EQUAL(f->report->refusal_count, 0);
	/* The zone returns; the start gets no answer, so that it would be repeated. */
	f->start_result = RUNNER_NO_ANSWER;
	f->closed = false;
	for (int i = 0; i < 100 && f->starts == 0; i++)
		memkv_run(f->ev, 10);
	CU_ASSERT(f->starts > 0);
	f->closed = true;
	runnerworld_send_orders(f);
	memkv_run(f->ev, 100);
	starts = f->starts;
	memkv_run(f->ev, 500);
	CU_ASSERT_EQUAL(f->starts, starts);
	/* The leader withdraws it, and the worker carries out the stop. */
	f->order_count = 0;
	memkv_run(f->ev, 500);
	CU_ASSERT(f->stops > 0);
	runnerworld_destroy(f);
}

/*
 * Guards against a lease that is extended on behalf of a leader without the store, while a later
 * leader, which can't reach this agent, declares the worker lost. The lease has to end within
 * WORKER_LOST_MS of the election.
 */
static void test_unsure_leader(void)
{
	struct runnerworld *f = runnerworld_create();
	int last;

	runnerworld_announce(f, 7, 1);
	memkv_run(f->ev, 500);
	f->unsure = true;
	memkv_run(f->ev, 800);
	memkv_put(f->store, "leader", "{\"node\":\"e2\",\"address\":\"127.0.0.1:1\",\"term\":4}");
	memkv_run(f->ev, 350 + WORKER_RENEWAL_WINDOW_MS);
	last = f->extensions;
	memkv_run(f->ev, 1500);
	CU_ASSERT_EQUAL(f->extensions, last);
	runnerworld_destroy(f);
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
	struct runnerworld *f = runnerworld_create();
	char *record = talloc_strdup(f, memkv_value(f->store, "leader"));

	runnerworld_announce(f, 7, 1);
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
	runnerworld_destroy(f);
}

/* Guards against work that ends because the store is unreachable and no leader was elected. */
static void test_unsure_leader_is_kept(void)
{
	struct runnerworld *f = runnerworld_create();
	int last;

	runnerworld_announce(f, 7, 1);
	memkv_run(f->ev, 500);
	f->unsure = true;
	memkv_run(f->ev, 3500);
	last = f->extensions;
	memkv_run(f->ev, 1500);
	CU_ASSERT(f->extensions > last);
	runnerworld_destroy(f);
}

/* Guards against a worker that has ended but is reported as alive, and mixed-up incarnations. */
static void test_incarnations(void)
{
	struct runnerworld *f = runnerworld_create();

	runnerworld_announce(f, 7, 1);
	memkv_run(f->ev, 300);
	CU_ASSERT_TRUE(f->report->alive);
	f->worker_up = false;
	memkv_run(f->ev, 900);
	CU_ASSERT_FALSE(f->report->alive);
	f->worker_up = true;
	f->born_ms = 9;
	CU_ASSERT_EQUAL(runnerworld_announce(f, 9, 1), 0);
	CU_ASSERT_EQUAL(runnerworld_announce(f, 7, 99), -ERR_STALE);
	memkv_run(f->ev, 300);
	CU_ASSERT_TRUE(f->report->alive);
	CU_ASSERT_STRING_EQUAL(f->report->info.incarnation, "w1/9");
	runnerworld_destroy(f);
}

/* Guards against starts that are refused because the worker has not sent its first list yet. */
/* The worker's start time comes from a clock that may be set back; it must be used nevertheless. */
static void test_clock_set_back(void)
{
	struct runnerworld *f = runnerworld_create();

	runnerworld_announce(f, 7, 1);
	memkv_run(f->ev, 300);
	f->worker_up = false;
	memkv_run(f->ev, 900);
	CU_ASSERT_FALSE(f->report->alive);
	CU_ASSERT_EQUAL(runnerworld_announce(f, 5, 1), -ERR_UNAVAILABLE);
	CU_ASSERT_FALSE(f->report->alive);
	f->worker_up = true;
	f->born_ms = 5;
	memkv_run(f->ev, 500);
	CU_ASSERT_EQUAL(runnerworld_announce(f, 6, 99), -ERR_STALE);
	CU_ASSERT_EQUAL(runnerworld_announce(f, 5, 2), 0);
	memkv_run(f->ev, 300);
	CU_ASSERT_TRUE(f->report->alive);
	CU_ASSERT_STRING_EQUAL(f->report->info.incarnation, "w1/5");
	runnerworld_destroy(f);
}

static void test_order_before_first_list(void)
{
	struct runnerworld *f = runnerworld_create();

	f->list_delay_ms = 400;
	f->orders[f->order_count++] = (struct plan_order){.start = true,
							  .task = "j.0.0.0",
							  .run = 1,
							  .payload = "p",
							  .checkpoint = "",
							  .ticket = ""};
	runnerworld_announce(f, 7, 1);
	memkv_run(f->ev, 300);
	CU_ASSERT_EQUAL(f->report->refusal_count, 0);
	memkv_run(f->ev, 500);
	CU_ASSERT_EQUAL(f->starts, 1);
	runnerworld_destroy(f);
}

/*
 * Guards against a new leader that starts a task elsewhere while a start that the former
 * leader ordered has no answer yet and begins late.
 */
static void test_unanswered_start_is_reported_to_new_leader(void)
{
	struct runnerworld *f = runnerworld_create();
	struct msg msg = {.type = MSG_LEAD, .u.lead = {4, "e2", wire_address(f->leader_wire)}};

	runnerworld_announce(f, 7, 1);
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
	runnerworld_destroy(f);
}

/* Guards against a run that is reported as running before the worker has confirmed it. */
static void test_stopping_start_is_not_running(void)
{
	struct runnerworld *f = runnerworld_create();

	runnerworld_announce(f, 7, 1);
	memkv_run(f->ev, 300);
	f->start_result = RUNNER_NO_ANSWER;
	f->stop_answers_lost = true;
	f->orders[f->order_count++] = start_order();
	memkv_run(f->ev, 600);
	CU_ASSERT_EQUAL(f->starts, 2);
	CU_ASSERT(f->stops > 0);
	CU_ASSERT_EQUAL(f->report->running_count, 0);
	CU_ASSERT_EQUAL(f->report->pending_count, 1);
	runnerworld_destroy(f);
}

/* Guards against orders of a former leader that are carried out. */
static void test_former_leader(void)
{
	struct runnerworld *f = runnerworld_create();
	struct msg msg = {.type = MSG_WORKER_ORDERS, .u.worker_orders.term = 2};
	const char *text =
		"{\"echo\":1,\"incarnation\":\"w1/7\",\"orders\":[[\"j.0.0.0\",1,\"\",\"p\"]]}";

	runnerworld_announce(f, 7, 1);
	memkv_run(f->ev, 300);
	msg.u.worker_orders.json.data = (uint8_t *)text;
	msg.u.worker_orders.json.len = strlen(text);
	wire_send(f->leader_wire, f->agent_peer, &msg);
	memkv_run(f->ev, 300);
	CU_ASSERT_EQUAL(f->starts, 0);
	runnerworld_destroy(f);
}

/* Guards against an ended run that is reported as running because its stop got no answer. */
static void test_end_after_unanswered_stop(void)
{
	struct runnerworld *f = runnerworld_create();

	runnerworld_announce(f, 7, 1);
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
	runnerworld_destroy(f);
}

/* Guards against a list that lacks a run because an earlier term's start was carried out late. */
static void test_list_of_former_term(void)
{
	struct runnerworld *f = runnerworld_create();
	char *record;

	runnerworld_announce(f, 7, 1);
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
	runnerworld_destroy(f);
}

/* Guards against a worker that is reported as down while a new incarnation runs a start of ours. */
static void test_start_on_restarted_worker(void)
{
	struct runnerworld *f = runnerworld_create();

	runnerworld_announce(f, 7, 1);
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
	CU_ASSERT_EQUAL(runnerworld_announce(f, 9, 1), 0);
	memkv_run(f->ev, 300);
	CU_ASSERT_EQUAL(f->report->running_count, 1);
	runnerworld_destroy(f);
}

/* Gives the agent a start that gets no answer. */
static void leave_start_unanswered(struct runnerworld *f)
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
	struct runnerworld *f = runnerworld_create();

	runnerworld_announce(f, 7, 1);
	memkv_run(f->ev, 300);
	leave_start_unanswered(f);
	f->born_ms = 9;
	runnerworld_announce(f, 9, 1);
	memkv_run(f->ev, 300);
	CU_ASSERT_TRUE(f->list_fence > f->start_fence);
	runnerworld_destroy(f);
}

/* Guards against a late start on a worker that is down and restarts before it announces itself. */
static void test_late_start_on_returning_worker(void)
{
	struct runnerworld *f = runnerworld_create();

	runnerworld_announce(f, 7, 1);
	memkv_run(f->ev, 300);
	leave_start_unanswered(f);
	f->worker_up = false;
	memkv_run(f->ev, 1000);
	CU_ASSERT_FALSE(f->report->alive);
	f->worker_up = true;
	f->list_fence = 0;
	memkv_run(f->ev, 300);
	CU_ASSERT_TRUE(f->list_fence > f->start_fence);
	runnerworld_destroy(f);
}

/*
 * Guards against a late start that a returning worker has carried out before any call of its agent
 * and that works on beside the run that the leader has started elsewhere.
 */
static void test_late_start_before_first_call(void)
{
	struct runnerworld *f = runnerworld_create();

	runnerworld_announce(f, 7, 1);
	memkv_run(f->ev, 300);
	leave_start_unanswered(f);
	f->order_count = 0; /* the leader gives the start up with the worker */
	f->worker_up = false;
	memkv_run(f->ev, 1000);
	CU_ASSERT_FALSE(f->report->alive);
	f->worker_up = true;
	f->born_ms = 9;
	f->running[f->running_count++] = (struct plan_run){start_order().task, 1, "", 1};
	CU_ASSERT_EQUAL(runnerworld_announce(f, 9, 1), 0);
	for (int i = 0; i < 10 && f->stops == 0; i++)
		memkv_run(f->ev, 10);
	CU_ASSERT_EQUAL(f->stops, 1);
	memkv_run(f->ev, 200);
	CU_ASSERT_FALSE(f->report->info.accepting);
	runnerworld_destroy(f);
}

/* Guards against a late start on a worker whose connection broke because it restarted. */
static void test_late_start_after_failed_renewal(void)
{
	struct runnerworld *f = runnerworld_create();

	runnerworld_announce(f, 7, 1);
	memkv_run(f->ev, 300);
	leave_start_unanswered(f);
	f->list_answers_lost = true;
	memkv_run(f->ev, 600);
	CU_ASSERT_TRUE(f->list_fence > f->start_fence);
	runnerworld_destroy(f);
}

/* Guards against a restart that only the clock in the answer to a start shows. */
static void test_clock_of_worker_goes_back(void)
{
	struct runnerworld *f = runnerworld_create();
	uint64_t fence;

	runnerworld_announce(f, 7, 1);
	memkv_run(f->ev, 300);
	fence = f->list_fence;
	f->clock_ms = 500;
	f->orders[f->order_count++] = start_order();
	memkv_run(f->ev, 300);
	CU_ASSERT_TRUE(f->list_fence > fence);
	CU_ASSERT_FALSE(f->report->info.accepting);
	runnerworld_destroy(f);
}

/* Guards against a late start on a worker that the leader has counted as lost meanwhile. */
static void test_late_start_on_lost_worker(void)
{
	struct runnerworld *f = runnerworld_create();

	runnerworld_announce(f, 7, 1);
	memkv_run(f->ev, 300);
	leave_start_unanswered(f);
	f->answers = false;
	memkv_run(f->ev, WORKER_RENEWAL_WINDOW_MS + 300);
	CU_ASSERT_TRUE(f->list_fence <= f->start_fence);
	f->answers = true;
	memkv_run(f->ev, 1500);
	CU_ASSERT_TRUE(f->list_fence > f->start_fence);
	runnerworld_destroy(f);
}

/* Guards against a late start of a former process of the agent, and a list that may lack it. */
static void test_list_of_former_session(void)
{
	struct runnerworld *f = runnerworld_create();
	uint64_t fence;

	runnerworld_announce(f, 7, 1);
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
	runnerworld_destroy(f);
}

/* Guards against ends of a restarted worker that are forgotten by the numbers of its former ones.
 */
static void test_ends_known_after_failure(void)
{
	struct runnerworld *f = runnerworld_create();

	f->ends[f->end_count++] = (struct fleet_run_end){57, {"t.0.0.1", 3, "", 0}, PLAN_END_DONE};
	runnerworld_announce(f, 7, 1);
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
	runnerworld_destroy(f);
}

/*
 * Guards against runs that outlive the time after which the leader counts their worker as lost: a
 * worker that has restarted may have a lease by its former clock.
 */
static void test_no_start_under_long_lease(void)
{
	struct runnerworld *f = runnerworld_create();

	runnerworld_announce(f, 7, 1);
	memkv_run(f->ev, 300);
	f->born_ms = 9;
	f->running[f->running_count++] = (struct plan_run){"t.0.0.1", 3, "", 1};
	runnerworld_announce(f, 9, 1);
	memkv_run(f->ev, 300);
	CU_ASSERT_FALSE(f->report->info.accepting);
	CU_ASSERT_TRUE(f->report->long_lease_ms > WORKER_LONG_LEASE_MS - 500);
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
	CU_ASSERT_EQUAL(f->report->long_lease_ms, 0);
	runnerworld_destroy(f);
}

/* Guards against a start that is repeated under a term whose leader does not know of it yet. */
static void test_start_of_former_term_is_not_repeated(void)
{
	struct runnerworld *f = runnerworld_create();
	struct msg msg = {.type = MSG_LEAD, .u.lead = {4, "e2", wire_address(f->leader_wire)}};

	runnerworld_announce(f, 7, 1);
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
	runnerworld_destroy(f);
}

/* The list of the worker names neither the run nor its end; then it names the end. */
static void check_missing_run(bool more_ends)
{
	struct runnerworld *f = runnerworld_create();

	runnerworld_announce(f, 7, 1);
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
	runnerworld_destroy(f);
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
	struct runnerworld *f = runnerworld_create();
	char *text;
	struct msg msg = {.type = MSG_WORKER_ORDERS, .u.worker_orders.term = 3};

	runnerworld_announce(f, 7, 1);
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
	runnerworld_destroy(f);
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
	CU_add_test(suite, "closed_zone", test_closed_zone);
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
	CU_add_test(suite, "late_start_before_first_call", test_late_start_before_first_call);
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
