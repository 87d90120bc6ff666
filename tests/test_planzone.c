#include "lib_plansim.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

/* What the plan does while operators have evacuated zones. Two workers are in each of three. */

#define WORKERS 6
#define BATCH(tasks, ms) "[{\"tasks\":" #tasks ",\"accelerators\":1,\"estimate_ms\":" #ms "}]"
#define GANG(tasks, accelerators, ms)                                              \
	"[{\"tasks\":" #tasks ",\"accelerators\":" #accelerators ",\"gang\":true," \
	"\"estimate_ms\":" #ms "}]"

static struct plansim *set_up(void)
{
	static const char *const zones[] = {"z1", "z2", "z3"};
	struct plansim *sim = plansim_create(NULL, WORKERS);

	for (uint32_t i = 0; i < WORKERS; i++)
		sim->workers[i].zone = zones[i / 2];
	plansim_run(sim, 100);
	return sim;
}

static void check_and_free(struct plansim *sim)
{
	if (sim->violation)
		printf("\n%s: %s\n", sim->violation_task, sim->violation);
	CU_ASSERT_PTR_NULL(sim->violation);
	talloc_free(sim);
}

/* Runs on the workers from @first on, so many, that are not being stopped. */
static uint32_t count_on(const struct plansim *sim, uint32_t first, uint32_t workers)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < SIM_RUNS_MAX; i++) {
		const struct sim_run *run = &sim->runs[i];

		count += run->present && !run->stopping && run->worker >= first &&
			 run->worker < first + workers;
	}
	return count;
}

/* Guards against starts in an evacuated zone, stops of what runs there, and a zone without work
 * once it is back.
 */
static void test_evacuated_and_returned(void)
{
	struct plansim *sim = set_up();

	plansim_add_job(sim, "j1", "batch", "b", BATCH(48, 3000));
	plansim_run(sim, 500);
	CU_ASSERT_EQUAL(count_on(sim, 0, 2), 16);
	plansim_add_job(sim, "j2", "batch", "b", BATCH(96, 2000));
	plan_set_zone_closed(sim->plan, "z1", true);
	plansim_run(sim, 500);
	CU_ASSERT_EQUAL(count_on(sim, 0, 2), 16);
	plansim_run(sim, 3500);
	CU_ASSERT_EQUAL(count_on(sim, 0, 2), 0);
	CU_ASSERT_EQUAL(count_on(sim, 2, 4), 32);
	CU_ASSERT_EQUAL(sim->stops, 0);
	plan_set_zone_closed(sim->plan, "z1", false);
	plansim_run(sim, 200);
	CU_ASSERT_EQUAL(count_on(sim, 0, 2), 16);
	check_and_free(sim);
}

/* Guards against a zone that is forgotten when a second one goes, or when it goes again at once. */
static void test_two_zones(void)
{
	struct plansim *sim = set_up();
	struct plan_zone *zones;

	plan_set_zone_closed(sim->plan, "z1", true);
	plan_set_zone_closed(sim->plan, "z2", true);
	plan_set_zone_closed(sim->plan, "z1", false);
	plan_set_zone_closed(sim->plan, "z1", true);
	plan_set_zone_closed(sim->plan, "nowhere", true);
	plansim_add_job(sim, "j1", "batch", "b", BATCH(48, 9000));
	plansim_run(sim, 2000);
	CU_ASSERT_EQUAL(count_on(sim, 0, 4), 0);
	CU_ASSERT_EQUAL(count_on(sim, 4, 2), 16);
	CU_ASSERT_EQUAL(plan_zones(sim->plan, sim, &zones), 3);
	CU_ASSERT_TRUE(zones[1].closed);
	CU_ASSERT_EQUAL(zones[2].tasks, 16);
	CU_ASSERT_EQUAL(zones[2].workers, 2);
	/* A worker that joins an evacuated zone, or restarts there, gets nothing either. */
	plansim_crash_worker(sim, 0);
	plansim_run(sim, 2000);
	CU_ASSERT_EQUAL(count_on(sim, 0, 4), 0);
	check_and_free(sim);
}

/*
 * Guards against a gang that starts with a member in an evacuated zone, whose worker has not
 * confirmed it: all members are stopped and the gang starts elsewhere.
 */
static void test_unconfirmed_member(void)
{
	struct plansim *sim = set_up();

	plan_set_zone_closed(sim->plan, "z2", true);
	plan_set_zone_closed(sim->plan, "z3", true);
	/* It needs both workers of z1, one of which gets no orders. */
	plansim_run(sim, 50);
	sim->workers[1].reachable = false;
	plansim_add_job(sim, "j1", "large", "b", GANG(2, 8, 4000));
	plansim_run(sim, 50);
	CU_ASSERT_EQUAL(count_on(sim, 0, 1), 1);
	plan_set_zone_closed(sim->plan, "z1", true);
	plan_set_zone_closed(sim->plan, "z2", false);
	plansim_run(sim, 100);
	CU_ASSERT_EQUAL(count_on(sim, 0, 2), 0);
	sim->workers[1].reachable = true;
	plansim_run(sim, 1500);
	CU_ASSERT_EQUAL(count_on(sim, 0, 2), 0);
	CU_ASSERT_EQUAL(count_on(sim, 2, 2), 2);
	check_and_free(sim);
}

/* Guards against a reason that hides the evacuation, or names it while only workers drain. */
static void test_reason(void)
{
	struct plansim *sim = set_up();
	uint32_t counts[PLAN_WAIT_COUNT];
	char *text;

	plansim_add_job(sim, "j0", "batch", "b", BATCH(32, 60000));
	plan_set_zone_closed(sim->plan, "z1", true);
	plansim_run(sim, 500);
	plansim_add_job(sim, "j1", "batch", "b", BATCH(2, 500));
	plansim_run(sim, 1500);
	plan_count_waits(sim->plan, counts);
	CU_ASSERT_EQUAL(counts[PLAN_WAIT_EVACUATED], 1);
	text = plan_explain_job(sim->plan, sim, "j1");
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "outside the evacuated zones"));
	sim->workers[0].draining = true;
	sim->workers[1].draining = true;
	plansim_run(sim, 1500);
	plan_count_waits(sim->plan, counts);
	CU_ASSERT_EQUAL(counts[PLAN_WAIT_EVACUATED], 0);
	CU_ASSERT_EQUAL(counts[PLAN_WAIT_ROOM], 1);
	CU_ASSERT_EQUAL(count_on(sim, 0, 2), 0);
	check_and_free(sim);
}

/* Guards against a guarantee that is not reclaimed in what is left of the fleet. */
static void test_guarantee(void)
{
	struct plansim *sim = set_up();

	plan_set_zone_closed(sim->plan, "z1", true);
	plan_set_zone_closed(sim->plan, "z2", true);
	plansim_add_job(sim, "j0", "batch", "b", BATCH(32, 60000));
	plansim_run(sim, 500);
	CU_ASSERT_EQUAL(count_on(sim, 4, 2), 16);
	plansim_add_job(sim, "j1", "urgent", "a", BATCH(16, 5000));
	plansim_run(sim, 2000);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "j1."), 16);
	CU_ASSERT_EQUAL(count_on(sim, 0, 4), 0);
	check_and_free(sim);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("planzone", NULL, NULL);
	CU_add_test(suite, "evacuated_and_returned", test_evacuated_and_returned);
	CU_add_test(suite, "two_zones", test_two_zones);
	CU_add_test(suite, "unconfirmed_member", test_unconfirmed_member);
	CU_add_test(suite, "reason", test_reason);
	CU_add_test(suite, "guarantee", test_guarantee);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
