#include "lib_plansim.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

/* What becomes of accepted jobs when the operator replaces or removes their queue. */

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

/* Guards against a later leader that does not know by which route a job came. */
static void test_later_leader(void)
{
	struct plansim *sim = create_sim();
	struct fleetconf_queue accepted_by = sim->queues[2];
	struct plan_job_info info = {.id = "j1",
				     .queue = "batch",
				     .last_queue = &accepted_by,
				     .organisation = "b",
				     .accepted_ms = sim->now_ms};
	struct err err = {0};
	json_t *json = json_loads("{\"payload\":\"p\",\"steps\":" TWO_STEPS "}", 0, NULL);

	rename_queue(sim);
	info.spec = jobspec_read(sim, json, &jobspec_record_names, &err);
	json_decref(json);
	plan_job_add(sim->plan, &info);
	CU_ASSERT_EQUAL(plan_count_pending(sim->plan, "bulk"), 1);
	CU_ASSERT_PTR_NULL(strstr(plan_explain_job(sim->plan, sim, "j1"), "configuration"));
	check_and_free(sim);
}

/* Takes the queue "batch" out of the configuration. */
static void remove_queue(struct plansim *sim)
{
	sim->conf.queue_count = 2;
	sim->conf.version++;
	plan_configure(sim->plan, &sim->conf);
}

/* Guards against a job that never ends because its queue was removed after it was accepted. */
static void test_removed_queue(void)
{
	struct plansim *sim = create_sim();

	plansim_add_job(sim, "j1", "batch", "b", TWO_STEPS);
	plansim_add_job(sim, "j2", "batch", "b", TOO_LARGE);
	plansim_run(sim, 200);
	remove_queue(sim);
	CU_ASSERT_PTR_NOT_NULL(strstr(plan_explain_job(sim->plan, sim, "j1"), "was removed"));
	plansim_run(sim, 3000);
	CU_ASSERT_EQUAL(sim->starts, 2);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_COMPLETED);
	CU_ASSERT_EQUAL(plan_count_pending(sim->plan, "batch"), 1);
	check_and_free(sim);
}

/* Guards against a job of a removed queue that loses its place to less urgent work. */
static void test_removed_queue_keeps_priority(void)
{
	struct plansim *sim = create_sim();

	plansim_add_job(sim, "low", "large", "b",
			"[{\"tasks\":16,\"accelerators\":1,\"cpu_milli\":1000,"
			"\"estimate_ms\":60000}]");
	plansim_run(sim, 200);
	sim->queues[2].priority = 0;
	plan_configure(sim->plan, &sim->conf);
	plansim_add_job(
		sim, "u1", "batch", "a",
		"[{\"tasks\":1,\"cpu_milli\":1000,\"estimate_ms\":500},"
		"{\"tasks\":1,\"accelerators\":8,\"estimate_ms\":500,\"after_steps\":[0]}]");
	plansim_run(sim, 200);
	remove_queue(sim);
	plansim_run(sim, 4000);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "u1"), PLAN_JOB_COMPLETED);
	check_and_free(sim);
}

/* Guards against a job that fails never or too early because its queue was removed. */
static void test_removed_queue_keeps_attempts(void)
{
	struct plansim *sim = create_sim();

	sim->queues[2].max_attempts = 2;
	plan_configure(sim->plan, &sim->conf);
	for (int i = 0; i < 2; i++)
		sim->workers[i].fails = true;
	plansim_add_job(sim, "j1", "batch", "b", TWO_STEPS);
	plansim_run(sim, 100);
	remove_queue(sim);
	plansim_run(sim, 30000);
	CU_ASSERT_EQUAL(sim->starts, 2);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_FAILED);
	check_and_free(sim);
}

/* Guards against an advised job that gets no more tickets because its queue was removed. */
static void test_removed_queue_is_advised(void)
{
	struct plansim *sim = create_sim();
	struct plan_advice_query query;

	sim->queues[2].advised = true;
	plan_configure(sim->plan, &sim->conf);
	plansim_add_job(sim, "j1", "batch", "b", TWO_STEPS);
	plansim_run(sim, 100);
	remove_queue(sim);
	CU_ASSERT_TRUE(plan_advice_wanted(sim->plan, sim, sim->now_ms, &query));
	plansim_run(sim, 1000);
	CU_ASSERT_EQUAL(sim->starts, 0);
	check_and_free(sim);
}

/*
 * Guards against a job that is placed on the workers of another queue, at another prefix, that came
 * with the change which removed its own one.
 */
static void test_other_queue(void)
{
	struct plansim *sim = create_sim();

	plansim_add_job(sim, "j1", "batch", "b", TWO_STEPS);
	plansim_run(sim, 200);
	sim->queues[2].prefix = "/other/";
	sim->queues[2].service = "other";
	rename_queue(sim);
	plansim_run(sim, 3000);
	CU_ASSERT_EQUAL(sim->starts, 2);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_COMPLETED);
	CU_ASSERT_EQUAL(plan_count_pending(sim->plan, "bulk"), 0);
	check_and_free(sim);
}

int main(void)
{
	static CU_TestInfo tests[] = {
		{"next_step", test_next_step},
		{"lost_run", test_lost_run},
		{"pending", test_pending},
		{"later_leader", test_later_leader},
		{"removed_queue", test_removed_queue},
		{"removed_queue_keeps_priority", test_removed_queue_keeps_priority},
		{"removed_queue_keeps_attempts", test_removed_queue_keeps_attempts},
		{"removed_queue_is_advised", test_removed_queue_is_advised},
		{"other_queue", test_other_queue},
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
