#include "lib_plansim.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>

/*
 * Which waiting work gets room first, seen from outside. A job is on time within 3 x its estimate
 * + 1 s, in every queue; organisation "a" is promised 16 accelerators.
 */

#define WHOLE(estimate) \
	"[{\"tasks\":1,\"cpu_milli\":1000,\"accelerators\":8,\"estimate_ms\":" #estimate "}]"

static void check_and_free(struct plansim *sim)
{
	if (sim->violation)
		printf("\n%s: %s\n", sim->violation_task, sim->violation);
	CU_ASSERT_PTR_NULL(sim->violation);
	talloc_free(sim);
}

/* Guards against a late job that takes the room of one that could still be on time. */
static void test_on_time_before_late(void)
{
	struct plansim *sim = plansim_create(NULL, 1);

	plansim_add_job(sim, "b1", "large", "b", WHOLE(6000));
	plansim_run(sim, 100);
	plansim_add_job(sim, "l1", "large", "b", WHOLE(1000));
	plansim_run(sim, 5000);
	plansim_add_job(sim, "o1", "batch", "b", WHOLE(1000));
	plansim_run(sim, 1500);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "o1."), 1);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "l1."), 0);
	check_and_free(sim);
}

/* Guards against late jobs that wait for ever behind a stream of jobs that are on time. */
static void test_late_job_starts(void)
{
	struct plansim *sim = plansim_create(NULL, 1);
	bool started = false;

	plansim_add_job(sim, "b1", "large", "b", WHOLE(6000));
	plansim_run(sim, 100);
	plansim_add_job(sim, "l1", "large", "b", WHOLE(1000));
	for (int i = 0; i < 130 && !started; i++) {
		char id[16];

		snprintf(id, sizeof(id), "o%d", i);
		plansim_add_job(sim, id, "large", "b", WHOLE(1000));
		plansim_run(sim, 500);
		started = plansim_count_runs(sim, "l1.") > 0;
	}
	CU_ASSERT_TRUE(started);
	check_and_free(sim);
}

int main(void)
{
	CU_pSuite suite;

	if (CU_initialize_registry() != CUE_SUCCESS)
		return CU_get_error();
	suite = CU_add_suite("planorder", NULL, NULL);
	CU_add_test(suite, "on_time_before_late", test_on_time_before_late);
	CU_add_test(suite, "late_job_starts", test_late_job_starts);
	CU_basic_run_tests();
	return CU_get_number_of_failures() > 0;
}
