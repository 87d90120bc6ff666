#include "coord.h"
#include "fleetmsg.h"
#include "lib_memkv.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

/* A leader with a store in memory, and agents that this program plays. */

#define AGENTS 2
#define TTL_MS 600

static const struct plan_params params = {.stop_ms = 200, .stall_ms = 60000};

struct fixture;

struct agent {
	struct fixture *f;
	struct wire *wire;
	char node[16];
	bool told; /* the leader has said that it leads */
	struct fleet_orders *orders;
	int answers;
};

struct fixture {
	struct tevent_context *ev;
	struct memkv *store;
	struct memkv_client *client;
	struct metrics *metrics;
	struct wire *wire;
	struct leader *leader;
	struct coord *coord;
	struct fleetconf conf;
	struct fleetconf_queue queue;
	struct agent agents[AGENTS];
	int lost;
};

static void on_leader_message(const char *peer, struct msg *msg, void *ctx)
{
	struct fixture *f = ctx;

	if (f->coord)
		coord_message(f->coord, peer, msg);
}

static void on_agent_message(const char *peer, struct msg *msg, void *ctx)
{
	struct agent *a = ctx;

	if (msg->type == MSG_LEAD)
		a->told = true;
	if (msg->type != MSG_WORKER_ORDERS)
		return;
	talloc_free(a->orders);
	a->orders = fleet_orders_read(a->f, msg->u.worker_orders.json.data,
				      msg->u.worker_orders.json.len);
	a->answers++;
}

/* The service that advises on workers; allows one of them, or has no time. */
static const char *allowed;
static int asked;

static void fake_ask(void *impl, const struct plan_advice_query *query,
		     void (*done)(int, const struct advice_answer *, void *), void *ctx)
{
	struct plan_advice_row row = {allowed, "ticket-1"};
	struct advice_answer answer = {.rows = &row, .count = 1, .valid_ms = 5000};

	asked++;
	done(allowed ? 0 : -ERR_QUEUE_FULL, allowed ? &answer : NULL, ctx);
}

static const struct advice_calls fake_advice = {fake_ask, NULL};

static void on_gained(uint64_t term, void *ctx)
{
	struct fixture *f = ctx;
	struct coord_deps deps = {.ev = f->ev,
				  .kv = &f->client->kv,
				  .wire = f->wire,
				  .leader = f->leader,
				  .metrics = f->metrics,
				  .advice = &fake_advice,
				  .node = "e1",
				  .params = &params,
				  .keep_ended_ms = 1000};

	f->coord = coord_create(f, &deps, &f->conf);
}

static void on_lost(void *ctx)
{
	struct fixture *f = ctx;

	TALLOC_FREE(f->coord);
	f->lost++;
}

static void create_agent(struct fixture *f, int number)
{
	struct agent *a = &f->agents[number];
	struct wire_handlers handlers = {on_agent_message, a};
	struct err err;
	char *key;

	a->f = f;
	g_snprintf(a->node, sizeof(a->node), "host%d", number);
	a->wire = wire_create(f, f->ev, a->node, "127.0.0.1:0", &handlers, f->metrics, &err);
	wire_connect(a->wire, "leader", wire_address(f->wire));
	key = talloc_asprintf(f, "agent/%s", a->node);
	memkv_put(f->store, key, wire_address(a->wire));
}

/* @term: what the counter of former leaders says, "" for none. */
static struct fixture *set_up(const char *term)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);
	struct wire_handlers handlers = {on_leader_message, f};
	struct err err;

	f->ev = tevent_context_init(f);
	f->store = memkv_create(f, f->ev);
	f->client = memkv_client(f->store);
	f->metrics = metrics_create(f);
	f->queue = (struct fleetconf_queue){.name = "q",
					    .host = "h",
					    .prefix = "/",
					    .service = "s",
					    .max_attempts = 2,
					    .stretch = 2,
					    .allowance_ms = 1000};
	f->conf = (struct fleetconf){.version = 1, .queues = &f->queue, .queue_count = 1};
	f->wire = wire_create(f, f->ev, "e1#1", "127.0.0.1:0", &handlers, f->metrics, &err);
	if (*term)
		memkv_put(f->store, "term", term);
	for (int i = 0; i < AGENTS; i++)
		create_agent(f, i);
	return f;
}

static void lead(struct fixture *f)
{
	struct leader_handlers on_leader = {on_gained, on_lost, NULL, NULL, f};
	struct leader_options options = {"e1", "127.0.0.1:1", TTL_MS, true};

	f->leader = leader_create(f, f->ev, &f->client->kv, &options, &on_leader);
	memkv_run(f->ev, 700);
}

static void tear_down(struct fixture *f)
{
	TALLOC_FREE(f->coord);
	for (int i = 0; i < AGENTS; i++)
		wire_destroy(f->agents[i].wire, 0);
	wire_destroy(f->wire, 0);
	talloc_free(f);
}

static void put_job(struct fixture *f, const char *id, uint32_t tasks)
{
	char *key = talloc_asprintf(f, "job/%s", id);

	memkv_put(f->store, key,
		  talloc_asprintf(f,
				  "{\"queue\":\"q\",\"organisation\":\"o\",\"accepted_ms\":1,"
				  "\"spec\":{\"payload\":\"p\",\"steps\":[{\"tasks\":%u,"
				  "\"cpu_milli\":1000,\"estimate_ms\":1000}]}}",
				  tasks));
}

/* @settled: the agent knows what runs. */
static bool drains;
static const struct fleet_refusal *refusal; /* told by the reports, NULL for none */

static void report(struct fixture *f, int number, bool settled, const struct plan_run *running,
		   const struct fleet_end *end)
{
	static uint64_t sent_ms = 1;
	struct agent *a = &f->agents[number];
	struct fleet_report r = {.sent_ms = ++sent_ms,
				 .address = wire_address(a->wire),
				 .alive = true,
				 .settled = settled,
				 .info = {.node = a->node,
					  .id = "w",
					  .incarnation = "w/1",
					  .service = "s",
					  .zone = "z",
					  .kind = "k",
					  .rack = "r",
					  .room = {8000, 8000, 8},
					  .accepting = !drains},
				 .running = (struct plan_run *)running,
				 .running_count = running ? 1 : 0,
				 .ends = (struct fleet_end *)end,
				 .end_count = end ? 1 : 0,
				 .refusals = (struct fleet_refusal *)refusal,
				 .refusal_count = refusal ? 1 : 0};
	struct msg msg = {.type = MSG_WORKER_REPORT, .u.worker_report.term = 1};
	char *text = fleet_report_write(f, &r);

	msg.u.worker_report.json.data = (uint8_t *)text;
	msg.u.worker_report.json.len = strlen(text);
	CU_ASSERT_EQUAL(wire_send(a->wire, "leader", &msg), 0);
	memkv_run(f->ev, 60);
}

static size_t starts(const struct fixture *f)
{
	size_t count = 0;

	for (int i = 0; i < AGENTS; i++) {
		const struct fleet_orders *orders = f->agents[i].orders;

		for (size_t k = 0; orders && k < orders->order_count; k++)
			count += orders->orders[k].start;
	}
	return count;
}

/* Guards against jobs that a leader does not see or does not place. */
static void test_places_jobs(void)
{
	struct fixture *f = set_up("");
	enum plan_job_state state;

	lead(f);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f->coord);
	report(f, 0, true, NULL, NULL);
	put_job(f, "0123456789abcdef", 2);
	memkv_run(f->ev, 100);
	CU_ASSERT_EQUAL(starts(f), 2);
	CU_ASSERT_EQUAL(coord_job_state(f->coord, "0123456789abcdef", &state), 0);
	CU_ASSERT_EQUAL(state, PLAN_JOB_RUNNING);
	CU_ASSERT_EQUAL(coord_job_state(f->coord, "ffffffffffffffff", &state), -ERR_NOT_FOUND);
	tear_down(f);
}

/*
 * Guards against an end that the agent forgets, or a job that is shown as completed, before
 * the store has it.
 */
static void test_stores_ends_first(void)
{
	struct fixture *f = set_up("");
	const struct fleet_end end = {4, {"0123456789abcdef.0.0.0", 1, "", 0}, PLAN_END_DONE};
	enum plan_job_state state;

	lead(f);
	report(f, 0, true, NULL, NULL);
	put_job(f, "0123456789abcdef", 1);
	memkv_run(f->ev, 100);
	f->client->trouble = MEMKV_REFUSES;
	report(f, 0, true, NULL, &end);
	CU_ASSERT_EQUAL(f->agents[0].orders->ends_stored, 0);
	CU_ASSERT_EQUAL(coord_job_state(f->coord, "0123456789abcdef", &state), 0);
	CU_ASSERT_EQUAL(state, PLAN_JOB_RUNNING);
	f->client->trouble = MEMKV_WELL;
	memkv_run(f->ev, 400);
	CU_ASSERT_EQUAL(f->agents[0].orders->ends_stored, 4);
	CU_ASSERT_EQUAL(coord_job_state(f->coord, "0123456789abcdef", &state), 0);
	CU_ASSERT_EQUAL(state, PLAN_JOB_COMPLETED);
	tear_down(f);
}

/* Guards against progress that is lost, or stored over newer progress, when answers are lost. */
static void test_lost_answers(void)
{
	static const enum memkv_trouble troubles[] = {MEMKV_LOSES, MEMKV_LATE};

	for (int i = 0; i < 2; i++) {
		struct fixture *f = set_up("");
		const struct fleet_end end = {
			1, {"0123456789abcdef.0.0.0", 1, "", 0}, PLAN_END_DONE};
		enum plan_job_state state;

		lead(f);
		report(f, 0, true, NULL, NULL);
		put_job(f, "0123456789abcdef", 1);
		memkv_run(f->ev, 100);
		f->client->trouble = troubles[i];
		report(f, 0, true, NULL, &end);
		memkv_run(f->ev, 200);
		f->client->trouble = MEMKV_WELL;
		memkv_run(f->ev, 900);
		CU_ASSERT_PTR_NOT_NULL_FATAL(f->coord);
		CU_ASSERT_EQUAL(coord_job_state(f->coord, "0123456789abcdef", &state), 0);
		CU_ASSERT_EQUAL(state, PLAN_JOB_COMPLETED);
		CU_ASSERT_STRING_EQUAL(memkv_value(f->store, "progress/0123456789abcdef"),
				       "{\"state\":\"completed\"}");
		tear_down(f);
	}
}

/*
 * Guards against a new leader that starts tasks which run already on a worker whose agent has
 * just been restarted: the agent reports, but does not yet know what runs.
 */
static void test_waits_for_lists(void)
{
	struct fixture *f = set_up("7");
	const struct plan_run running = {"0123456789abcdef.0.0.0", 3, "", 10};

	put_job(f, "0123456789abcdef", 1);
	lead(f);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f->coord);
	CU_ASSERT_TRUE(f->agents[0].told);
	report(f, 0, true, NULL, NULL);
	report(f, 1, false, NULL, NULL);
	CU_ASSERT_EQUAL(starts(f), 0);
	report(f, 1, true, &running, NULL);
	memkv_run(f->ev, 100);
	CU_ASSERT_EQUAL(starts(f), 0);
	tear_down(f);
}

/*
 * Guards against a refusal that is acknowledged and not taken: the agent forgot it, started the
 * repeated order, and the leader took the refusal from a later report and started the task
 * elsewhere.
 */
static void test_refusal_of_unsettled_agent(void)
{
	struct fixture *f = set_up("");
	const struct fleet_refusal refused = {{"0123456789abcdef.0.0.0", 1, "", 0},
					      PLAN_REFUSED_OTHER};

	lead(f);
	report(f, 0, true, NULL, NULL);
	put_job(f, "0123456789abcdef", 1);
	memkv_run(f->ev, 100);
	CU_ASSERT_EQUAL(starts(f), 1);
	refusal = &refused;
	report(f, 0, false, NULL, NULL);
	CU_ASSERT_EQUAL(f->agents[0].orders->handled_count, 0);
	report(f, 0, true, NULL, NULL);
	CU_ASSERT_EQUAL(f->agents[0].orders->handled_count, 1);
	refusal = NULL;
	tear_down(f);
}

/* Guards against a new leader that holds up new jobs until all workers have reported. */
static void test_new_jobs_need_not_wait(void)
{
	struct fixture *f = set_up("7");

	lead(f);
	report(f, 0, true, NULL, NULL);
	put_job(f, "0123456789abcdef", 1);
	memkv_run(f->ev, 100);
	CU_ASSERT_EQUAL(starts(f), 1);
	tear_down(f);
}

/*
 * Guards against every later leader waiting for an agent whose host is gone for good, and
 * against one that is back and that later leaders do not wait for.
 */
static void test_forgets_gone_agents(void)
{
	struct fixture *f = set_up("7");

	lead(f);
	report(f, 0, true, NULL, NULL);
	memkv_run(f->ev, 7500);
	CU_ASSERT_PTR_NULL(memkv_value(f->store, "agent/host0"));
	CU_ASSERT_PTR_NULL(memkv_value(f->store, "agent/host1"));
	report(f, 0, true, NULL, NULL);
	CU_ASSERT_PTR_NOT_NULL(memkv_value(f->store, "agent/host0"));
	report(f, 0, true, NULL, NULL);
	put_job(f, "0123456789abcdef", 1);
	memkv_run(f->ev, 100);
	CU_ASSERT_EQUAL(starts(f), 1);
	tear_down(f);
}

/* Guards against a later leader that looks for an agent where it was before its restart. */
static void test_agent_moves(void)
{
	struct fixture *f = set_up("");

	memkv_put(f->store, "agent/host0", "127.0.0.1:9");
	lead(f);
	report(f, 0, true, NULL, NULL);
	CU_ASSERT_STRING_EQUAL(memkv_value(f->store, "agent/host0"),
			       wire_address(f->agents[0].wire));
	put_job(f, "0123456789abcdef", 1);
	memkv_run(f->ev, 100);
	CU_ASSERT_EQUAL(starts(f), 1);
	tear_down(f);
}

/*
 * Guards against a leader that is elected after a loss of all hosts and waits for a worker that
 * was emptied and taken away shortly before.
 */
static void test_forgets_emptied_workers(void)
{
	struct fixture *f = set_up("");
	const struct plan_run running = {"0123456789abcdef.0.0.0", 1, "", 10};

	lead(f);
	report(f, 0, true, NULL, NULL);
	put_job(f, "0123456789abcdef", 1);
	memkv_run(f->ev, 100);
	drains = true;
	report(f, 0, true, &running, NULL);
	CU_ASSERT_PTR_NOT_NULL(memkv_value(f->store, "agent/host0"));
	report(f, 0, true, NULL, NULL);
	CU_ASSERT_PTR_NULL(memkv_value(f->store, "agent/host0"));
	drains = false;
	tear_down(f);
}

/*
 * Guards against starts in an advised queue without a ticket, and against a busy service that
 * is called without a pause.
 */
static void test_advised_queue(void)
{
	struct fixture *f = set_up("");

	f->queue.advised = true;
	allowed = NULL;
	asked = 0;
	lead(f);
	report(f, 0, true, NULL, NULL);
	put_job(f, "0123456789abcdef", 1);
	memkv_run(f->ev, 500);
	CU_ASSERT_EQUAL(asked, 1);
	CU_ASSERT_EQUAL(starts(f), 0);
	allowed = "w";
	memkv_run(f->ev, 1000);
	CU_ASSERT_EQUAL(asked, 2);
	CU_ASSERT_EQUAL_FATAL(starts(f), 1);
	CU_ASSERT_STRING_EQUAL(f->agents[0].orders->orders[0].ticket, "ticket-1");
	tear_down(f);
}

/* Guards against agents that go on without knowing that another leader may be elected. */
static void test_lead_unsure(void)
{
	struct fixture *f = set_up("");
	int answers;

	lead(f);
	report(f, 0, true, NULL, NULL);
	CU_ASSERT_FALSE(f->agents[0].orders->unsure);
	f->client->trouble = MEMKV_REFUSES;
	memkv_run(f->ev, TTL_MS * 6 / 10);
	answers = f->agents[0].answers;
	coord_lead_unsure(f->coord);
	memkv_run(f->ev, 20);
	CU_ASSERT_EQUAL(f->agents[0].answers, answers + 1);
	CU_ASSERT_TRUE(f->agents[0].orders->unsure);
	tear_down(f);
}

/* Guards against starts of a job that its owner has cancelled. */
static void test_cancel(void)
{
	struct fixture *f = set_up("");
	enum plan_job_state state;

	lead(f);
	put_job(f, "0123456789abcdef", 1);
	memkv_put(f->store, "job/0123456789abcdef.cancel", "1");
	memkv_run(f->ev, 100);
	report(f, 0, true, NULL, NULL);
	CU_ASSERT_EQUAL(starts(f), 0);
	CU_ASSERT_EQUAL(coord_job_state(f->coord, "0123456789abcdef", &state), 0);
	CU_ASSERT_EQUAL(state, PLAN_JOB_CANCELLED);
	tear_down(f);
}

/* Guards against a store that fills up with jobs that ended long ago. */
static void test_forgets_ended_jobs(void)
{
	struct fixture *f = set_up("");

	lead(f);
	put_job(f, "0123456789abcdef", 1);
	memkv_put(f->store, "job/0123456789abcdef.cancel", "1");
	memkv_run(f->ev, 1700);
	CU_ASSERT_PTR_NULL(memkv_value(f->store, "job/0123456789abcdef"));
	CU_ASSERT_PTR_NULL(memkv_value(f->store, "job/0123456789abcdef.cancel"));
	CU_ASSERT_PTR_NULL(memkv_value(f->store, "progress/0123456789abcdef"));
	tear_down(f);
}

/* Guards against a record that nobody can read and that stops the leader. */
static void test_malformed_job(void)
{
	struct fixture *f = set_up("");

	lead(f);
	memkv_put(f->store, "job/00000000000000ff", "not a job");
	put_job(f, "0123456789abcdef", 1);
	memkv_run(f->ev, 100);
	report(f, 0, true, NULL, NULL);
	CU_ASSERT_EQUAL(starts(f), 1);
	tear_down(f);
}

int main(void)
{
	static CU_TestInfo tests[] = {
		{"places_jobs", test_places_jobs},
		{"stores_ends_first", test_stores_ends_first},
		{"lost_answers", test_lost_answers},
		{"waits_for_lists", test_waits_for_lists},
		{"refusal_of_unsettled_agent", test_refusal_of_unsettled_agent},
		{"new_jobs_need_not_wait", test_new_jobs_need_not_wait},
		{"forgets_gone_agents", test_forgets_gone_agents},
		{"agent_moves", test_agent_moves},
		{"lead_unsure", test_lead_unsure},
		{"advised_queue", test_advised_queue},
		{"forgets_emptied_workers", test_forgets_emptied_workers},
		{"cancel", test_cancel},
		{"forgets_ended_jobs", test_forgets_ended_jobs},
		{"malformed_job", test_malformed_job},
		CU_TEST_INFO_NULL,
	};
	CU_SuiteInfo suites[] = {
		{"coord", NULL, NULL, NULL, NULL, tests},
		CU_SUITE_INFO_NULL,
	};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
