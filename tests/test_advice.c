#include "lib_planworld.h"

#include <CUnit/Basic.h>
#include <string.h>

/* Queues whose steps may run only where a service allows it; this program plays the service. */

#define VALID_MS 3000
#define TWO_TASKS                                                                 \
	"[{\"tasks\":2,\"cpu_milli\":8000,\"memory_mb\":1000,\"accelerators\":8," \
	"\"estimate_ms\":1000}]"

static struct plansim *set_up(uint32_t workers)
{
	struct plansim *w = plansim_create(NULL, workers);

	w->queues[1].advised = true;
	w->queues[0].advised = true;
	return w;
}

static void finish(struct plansim *w)
{
	CU_ASSERT_PTR_NULL(w->violation);
	talloc_free(w);
}

static bool names(const struct plan_advice_query *query, const char *worker)
{
	for (size_t i = 0; i < query->count; i++) {
		if (!strcmp(query->workers[i], worker))
			return true;
	}
	return false;
}

static void approve(struct plansim *w, const struct plan_advice_query *query, const char *worker)
{
	struct plan_advice_row row = {worker, "ticket-1"};

	plan_advice_take(w->plan, query, &row, worker ? 1 : 0, w->now_ms + VALID_MS);
}

/* Guards against starts without advice, where it forbids them, and without their ticket. */
static void test_only_where_allowed(void)
{
	struct plansim *w = set_up(3);
	struct plan_advice_query query;
	struct plan_order *orders;

	plansim_add_job(w, "j1", "large", "b", TWO_TASKS);
	plansim_run(w, 500);
	CU_ASSERT_EQUAL(plansim_count_runs(w, "j1."), 0);
	CU_ASSERT_TRUE_FATAL(plan_advice_wanted(w->plan, w, w->now_ms, &query));
	CU_ASSERT_STRING_EQUAL(query.step, "j1.0.0");
	CU_ASSERT_EQUAL(query.count, 3);
	approve(w, &query, "w1");
	plan_decide(w->plan, w->now_ms, NULL, NULL);
	CU_ASSERT_EQUAL_FATAL(plan_orders(w->plan, w, "w1", &orders), 1);
	CU_ASSERT_STRING_EQUAL(orders[0].ticket, "ticket-1");
	/* One after the other on the only worker that is allowed. */
	plansim_run(w, 2500);
	CU_ASSERT_EQUAL(plansim_job_state(w, "j1"), PLAN_JOB_COMPLETED);
	finish(w);
}

/* Guards against a service that is asked again and again about what it has said. */
static void test_asks_once(void)
{
	struct plansim *w = set_up(2);
	struct plan_advice_query query;
	struct plan_advice_query again;

	plansim_add_job(w, "j1", "large", "b", TWO_TASKS);
	plansim_run(w, 50);
	CU_ASSERT_TRUE_FATAL(plan_advice_wanted(w->plan, w, w->now_ms, &query));
	CU_ASSERT_FALSE(plan_advice_wanted(w->plan, w, w->now_ms, &again));
	approve(w, &query, NULL);
	plansim_run(w, 5000);
	CU_ASSERT_FALSE(plan_advice_wanted(w->plan, w, w->now_ms, &again));
	CU_ASSERT_EQUAL(plansim_count_runs(w, "j1."), 0);
	finish(w);
}

/* Guards against tickets that are used after their time, and workers that are lost by it. */
static void test_tickets_end(void)
{
	struct plansim *w = set_up(2);
	struct plan_advice_query query;

	plansim_add_job(w, "f1", "batch", "b", TWO_TASKS);
	plansim_run(w, 50);
	plansim_add_job(w, "j1", "large", "b", TWO_TASKS);
	plansim_run(w, 50);
	CU_ASSERT_TRUE_FATAL(plan_advice_wanted(w->plan, w, w->now_ms, &query));
	plan_advice_take(w->plan, &query, &(struct plan_advice_row){"w0", "t"}, 1, w->now_ms + 100);
	plansim_run(w, 1500);
	CU_ASSERT_EQUAL(plansim_count_runs(w, "j1."), 0);
	/* Only about the worker that is allowed: the others stay forbidden. */
	CU_ASSERT_TRUE_FATAL(plan_advice_wanted(w->plan, w, w->now_ms, &query));
	CU_ASSERT_EQUAL(query.count, 1);
	CU_ASSERT_TRUE(names(&query, "w0"));
	approve(w, &query, "w0");
	plansim_run(w, 50);
	CU_ASSERT_EQUAL(plansim_count_runs(w, "j1."), 1);
	finish(w);
}

/* Guards against a worker that refuses a ticket and gets it again, or no work any more. */
static void test_refused_ticket(void)
{
	struct plansim *w = set_up(1);
	struct plan_advice_query query;
	struct plan_order *orders;
	struct plan_run run = {"j1.0.0.0", 0, "", 0};

	plansim_add_job(w, "j1", "large", "b", TWO_TASKS);
	plansim_run(w, 50);
	CU_ASSERT_TRUE_FATAL(plan_advice_wanted(w->plan, w, w->now_ms, &query));
	approve(w, &query, "w0");
	plan_decide(w->plan, w->now_ms, NULL, NULL);
	CU_ASSERT_EQUAL_FATAL(plan_orders(w->plan, w, "w0", &orders), 1);
	run.run = orders[0].run;
	plan_worker_refused(w->plan, "w0", &run, PLAN_REFUSED_NO_TICKET, w->now_ms);
	plan_decide(w->plan, w->now_ms, NULL, NULL);
	CU_ASSERT_EQUAL(plan_orders(w->plan, w, "w0", &orders), 0);
	CU_ASSERT_TRUE(plan_advice_wanted(w->plan, w, w->now_ms, &query));
	CU_ASSERT_TRUE(names(&query, "w0"));
	finish(w);
}

/* Guards against a step that waits for ever for an answer that was lost. */
static void test_lost_answer(void)
{
	struct plansim *w = set_up(1);
	struct plan_advice_query query;

	plansim_add_job(w, "j1", "large", "b", TWO_TASKS);
	plansim_run(w, 50);
	CU_ASSERT_TRUE_FATAL(plan_advice_wanted(w->plan, w, w->now_ms, &query));
	plan_advice_failed(w->plan, "j1.0.0", w->now_ms + 200);
	CU_ASSERT_FALSE(plan_advice_wanted(w->plan, w, w->now_ms, &query));
	plansim_run(w, 250);
	CU_ASSERT_TRUE(plan_advice_wanted(w->plan, w, w->now_ms, &query));
	/* Answers for what is gone meanwhile do no harm. */
	plan_job_cancel(w->plan, "j1");
	plansim_run(w, 50);
	approve(w, &query, "w0");
	query.step = "nothing.0.0";
	approve(w, &query, "w0");
	plan_advice_failed(w->plan, "nothing", 0);
	CU_ASSERT_EQUAL(plansim_count_runs(w, "j1."), 0);
	finish(w);
}

/*
 * Guards against urgent steps that wait behind others. The load: several advised jobs at once,
 * and a service that answers one call after the other.
 */
static void test_urgent_first(void)
{
	struct plansim *w = set_up(40);
	struct plan_advice_query query;

	plansim_add_job(w, "j1", "large", "b", TWO_TASKS);
	plansim_add_job(w, "u1", "urgent", "b", TWO_TASKS);
	plansim_run(w, 50);
	CU_ASSERT_TRUE_FATAL(plan_advice_wanted(w->plan, w, w->now_ms, &query));
	CU_ASSERT_STRING_EQUAL(query.step, "u1.0.0");
	CU_ASSERT_EQUAL(query.count, 30);
	/* None of them is allowed, so the others are asked about. */
	approve(w, &query, NULL);
	CU_ASSERT_TRUE_FATAL(plan_advice_wanted(w->plan, w, w->now_ms, &query));
	CU_ASSERT_STRING_EQUAL(query.step, "u1.0.0");
	CU_ASSERT_EQUAL(query.count, 10);
	finish(w);
}

/* Guards against a ticket that is used for another life of its worker. */
static void test_new_life(void)
{
	struct plansim *w = set_up(1);
	struct plan_advice_query query;

	plansim_add_job(w, "j1", "large", "b", TWO_TASKS);
	plansim_run(w, 50);
	CU_ASSERT_TRUE_FATAL(plan_advice_wanted(w->plan, w, w->now_ms, &query));
	approve(w, &query, "w0");
	plansim_crash_worker(w, 0);
	plansim_run(w, 100);
	CU_ASSERT_EQUAL(plansim_count_runs(w, "j1."), 0);
	CU_ASSERT_TRUE(plan_advice_wanted(w->plan, w, w->now_ms, &query));
	finish(w);
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
