#include "lib_plansim.h"

#include <CUnit/Basic.h>
#include <string.h>

/* Queues whose steps run only on workers that the advice service allows; the tests act as it. */

#define VALID_MS 3000
#define TWO_TASKS                                                                 \
	"[{\"tasks\":2,\"cpu_milli\":8000,\"memory_mb\":1000,\"accelerators\":8," \
	"\"estimate_ms\":1000}]"

static struct plansim *set_up(uint32_t workers)
{
	struct plansim *world = plansim_create(NULL, workers);

	world->queues[1].advised = true;
	world->queues[0].advised = true;
	return world;
}

static void finish(struct plansim *world)
{
	CU_ASSERT_PTR_NULL(world->violation);
	talloc_free(world);
}

static bool names(const struct plan_advice_query *query, const char *worker)
{
	for (size_t i = 0; i < query->count; i++) {
		if (!strcmp(query->workers[i], worker))
			return true;
	}
	return false;
}

static void approve(struct plansim *world, const struct plan_advice_query *query,
		    const char *worker)
{
	struct plan_advice_row row = {worker, "ticket-1"};

	plan_advice_take(world->plan, query, &row, worker ? 1 : 0, world->now_ms + VALID_MS);
}

/*
 * Guards against starts before the advice, on workers that it does not allow, or without the
 * ticket.
 */
static void test_only_where_allowed(void)
{
	struct plansim *world = set_up(3);
	struct plan_advice_query query;
	struct plan_order *orders;

	plansim_add_job(world, "j1", "large", "b", TWO_TASKS);
	plansim_run(world, 500);
	CU_ASSERT_EQUAL(plansim_count_runs(world, "j1."), 0);
	CU_ASSERT_TRUE_FATAL(plan_advice_wanted(world->plan, world, world->now_ms, &query));
	CU_ASSERT_STRING_EQUAL(query.step, "j1.0.0");
	CU_ASSERT_EQUAL(query.count, 3);
	approve(world, &query, "w1");
	plan_decide(world->plan, world->now_ms, NULL, NULL);
	CU_ASSERT_EQUAL_FATAL(plan_orders(world->plan, world, "w1", &orders), 1);
	CU_ASSERT_STRING_EQUAL(orders[0].ticket, "ticket-1");
	/* Both tasks run one after the other on the only allowed worker. */
	plansim_run(world, 2500);
	CU_ASSERT_EQUAL(plansim_job_state(world, "j1"), PLAN_JOB_COMPLETED);
	finish(world);
}

/* Guards against repeated queries about workers that the service has already answered for. */
static void test_asks_once(void)
{
	struct plansim *world = set_up(2);
	struct plan_advice_query query;
	struct plan_advice_query again;

	plansim_add_job(world, "j1", "large", "b", TWO_TASKS);
	plansim_run(world, 50);
	CU_ASSERT_TRUE_FATAL(plan_advice_wanted(world->plan, world, world->now_ms, &query));
	CU_ASSERT_FALSE(plan_advice_wanted(world->plan, world, world->now_ms, &again));
	approve(world, &query, NULL);
	plansim_run(world, 5000);
	CU_ASSERT_FALSE(plan_advice_wanted(world->plan, world, world->now_ms, &again));
	CU_ASSERT_EQUAL(plansim_count_runs(world, "j1."), 0);
	finish(world);
}

/*
 * Guards against tickets that are used after they have expired, and against workers that are never
 * used again after their ticket has expired.
 */
static void test_tickets_end(void)
{
	struct plansim *world = set_up(2);
	struct plan_advice_query query;

	plansim_add_job(world, "f1", "batch", "b", TWO_TASKS);
	plansim_run(world, 50);
	plansim_add_job(world, "j1", "large", "b", TWO_TASKS);
	plansim_run(world, 50);
	CU_ASSERT_TRUE_FATAL(plan_advice_wanted(world->plan, world, world->now_ms, &query));
	plan_advice_take(world->plan, &query, &(struct plan_advice_row){"w0", "t"}, 1,
			 world->now_ms + 100);
	plansim_run(world, 1500);
	CU_ASSERT_EQUAL(plansim_count_runs(world, "j1."), 0);
	/* The new query names only the worker that was allowed; the others stay forbidden. */
	CU_ASSERT_TRUE_FATAL(plan_advice_wanted(world->plan, world, world->now_ms, &query));
	CU_ASSERT_EQUAL(query.count, 1);
	CU_ASSERT_TRUE(names(&query, "w0"));
	approve(world, &query, "w0");
	plansim_run(world, 50);
	CU_ASSERT_EQUAL(plansim_count_runs(world, "j1."), 1);
	finish(world);
}

/*
 * Guards against sending a ticket again to the worker that refused it, and against never asking
 * for advice about that worker again.
 */
static void test_refused_ticket(void)
{
	struct plansim *world = set_up(1);
	struct plan_advice_query query;
	struct plan_order *orders;
	struct plan_run run = {"j1.0.0.0", 0, "", 0};

	plansim_add_job(world, "j1", "large", "b", TWO_TASKS);
	plansim_run(world, 50);
	CU_ASSERT_TRUE_FATAL(plan_advice_wanted(world->plan, world, world->now_ms, &query));
	approve(world, &query, "w0");
	plan_decide(world->plan, world->now_ms, NULL, NULL);
	CU_ASSERT_EQUAL_FATAL(plan_orders(world->plan, world, "w0", &orders), 1);
	run.run = orders[0].run;
	plan_worker_refused(world->plan, "w0", &run, PLAN_REFUSED_NO_TICKET, world->now_ms);
	plan_decide(world->plan, world->now_ms, NULL, NULL);
	CU_ASSERT_EQUAL(plan_orders(world->plan, world, "w0", &orders), 0);
	CU_ASSERT_TRUE(plan_advice_wanted(world->plan, world, world->now_ms, &query));
	CU_ASSERT_TRUE(names(&query, "w0"));
	finish(world);
}

/* Guards against a step that waits forever for a lost answer. */
static void test_lost_answer(void)
{
	struct plansim *world = set_up(1);
	struct plan_advice_query query;

	plansim_add_job(world, "j1", "large", "b", TWO_TASKS);
	plansim_run(world, 50);
	CU_ASSERT_TRUE_FATAL(plan_advice_wanted(world->plan, world, world->now_ms, &query));
	plan_advice_failed(world->plan, "j1.0.0", world->now_ms + 200);
	CU_ASSERT_FALSE(plan_advice_wanted(world->plan, world, world->now_ms, &query));
	plansim_run(world, 250);
	CU_ASSERT_TRUE(plan_advice_wanted(world->plan, world, world->now_ms, &query));
	/* Answers about steps that no longer exist are ignored. */
	plan_job_cancel(world->plan, "j1");
	plansim_run(world, 50);
	approve(world, &query, "w0");
	query.step = "nothing.0.0";
	approve(world, &query, "w0");
	plan_advice_failed(world->plan, "nothing", 0);
	CU_ASSERT_EQUAL(plansim_count_runs(world, "j1."), 0);
	finish(world);
}

/*
 * Guards against urgent steps that wait behind others for advice, which happens when several jobs
 * need advice at once and the service handles one call at a time.
 */
static void test_urgent_first(void)
{
	struct plansim *world = set_up(40);
	struct plan_advice_query query;

	plansim_add_job(world, "j1", "large", "b", TWO_TASKS);
	plansim_add_job(world, "u1", "urgent", "b", TWO_TASKS);
	plansim_run(world, 50);
	CU_ASSERT_TRUE_FATAL(plan_advice_wanted(world->plan, world, world->now_ms, &query));
	CU_ASSERT_STRING_EQUAL(query.step, "u1.0.0");
	CU_ASSERT_EQUAL(query.count, 30);
	/* None of these workers is allowed, so the next query names the others. */
	approve(world, &query, NULL);
	CU_ASSERT_TRUE_FATAL(plan_advice_wanted(world->plan, world, world->now_ms, &query));
	CU_ASSERT_STRING_EQUAL(query.step, "u1.0.0");
	CU_ASSERT_EQUAL(query.count, 10);
	finish(world);
}

/* Guards against a ticket that is used for another incarnation of its worker. */
static void test_new_life(void)
{
	struct plansim *world = set_up(1);
	struct plan_advice_query query;

	plansim_add_job(world, "j1", "large", "b", TWO_TASKS);
	plansim_run(world, 50);
	CU_ASSERT_TRUE_FATAL(plan_advice_wanted(world->plan, world, world->now_ms, &query));
	approve(world, &query, "w0");
	plansim_crash_worker(world, 0);
	plansim_run(world, 100);
	CU_ASSERT_EQUAL(plansim_count_runs(world, "j1."), 0);
	CU_ASSERT_TRUE(plan_advice_wanted(world->plan, world, world->now_ms, &query));
	finish(world);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"only_where_allowed", test_only_where_allowed},
		{"asks_once", test_asks_once},
		{"tickets_end", test_tickets_end},
		{"refused_ticket", test_refused_ticket},
		{"lost_answer", test_lost_answer},
		{"urgent_first", test_urgent_first},
		{"new_life", test_new_life},
		CU_TEST_INFO_NULL,
	};
	CU_SuiteInfo suites[] = {
		{"advice", NULL, NULL, NULL, NULL, tests},
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
