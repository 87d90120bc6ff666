#include "lib_plansim.h"

#include <CUnit/Basic.h>
#include <stdio.h>

/* What becomes of accepted jobs when the operator replaces their queue. */

#define TWO_STEPS                                                \
	"[{\"tasks\":1,\"cpu_milli\":1000,\"estimate_ms\":500}," \
	"{\"tasks\":1,\"cpu_milli\":1000,\"estimate_ms\":500,\"after_steps\":[0]}]"
#define TOO_LARGE "[{\"tasks\":1,\"cpu_milli\":200000,\"estimate_ms\":500}]"

static struct plansim *create_sim(void)
{
	struct plansim *sim = plansim_create(NULL, 2);

	sim->queues[2].prefix = "/batch/";
	plan_configure(sim->plan, &sim->conf);
	return sim;
}

static void check_and_free(struct plansim *sim)
{
	CU_ASSERT_PTR_NULL(sim->violation);
	if (sim->violation)
		printf("\n%s: %s\n", sim->violation, sim->violation_task);
	talloc_free(sim);
}

/* Gives the queue "batch" another name; its host, prefix and service stay. */
static void rename_queue(struct plansim *sim)
{
	sim->queues[2].name = "bulk";
	sim->conf.version++;
	plan_configure(sim->plan, &sim->conf);
}

/* Guards against a job that stays as it is because its queue has another name now. */
static void test_next_step(void)
{
	struct plansim *sim = create_sim();

	plansim_add_job(sim, "j1", "batch", "b", TWO_STEPS);
	plansim_run(sim, 200);
	rename_queue(sim);
	plansim_run(sim, 3000);
	CU_ASSERT_EQUAL(sim->starts, 2);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_COMPLETED);
	check_and_free(sim);
}

/* Guards against a task that does not start again after its worker has crashed. */
static void test_lost_run(void)
{
	struct plansim *sim = create_sim();

	plansim_add_job(sim, "j1", "batch", "b", TWO_STEPS);
	plansim_run(sim, 200);
	rename_queue(sim);
	plansim_crash_worker(sim, 0);
	plansim_crash_worker(sim, 1);
	plansim_run(sim, 3000);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_COMPLETED);
	check_and_free(sim);
}

/* Guards against accepted jobs that the count of the queue at their prefix leaves out. */
static void test_pending(void)
{
	struct plansim *sim = create_sim();

	plansim_add_job(sim, "j1", "batch", "b", TOO_LARGE);
	plansim_run(sim, 200);
	CU_ASSERT_EQUAL(plan_count_pending(sim->plan, "batch"), 1);
	rename_queue(sim);
	plansim_run(sim, 200);
	CU_ASSERT_EQUAL(plan_count_pending(sim->plan, "bulk"), 1);
	check_and_free(sim);
}

int main(void)
{
	static CU_TestInfo tests[] = {
		{"next_step", test_next_step},
		{"lost_run", test_lost_run},
		{"pending", test_pending},
		CU_TEST_INFO_NULL,
	};
	CU_SuiteInfo suites[] = {
		{"planroute", NULL, NULL, NULL, NULL, tests},
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
