#include "lib_plansim.h"

#include "util.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>

/* Random fleets, jobs and faults from a seed; lib_planworld checks the invariants. */

#define SEEDS 60
#define JOBS 40
#define FAULT_INTERVAL_MAX_MS 700
#define DRAIN_TIMEOUT_MS 120000

static void add_random_job(struct plansim *sim, struct util_rng *rng, int number)
{
	static const char *const queues[] = {"urgent", "large", "batch"};
	static const uint32_t accelerators[] = {1, 2, 4, 8, 8};
	uint64_t queue = util_rng_below(rng, 3);
	bool gang = queue < 2 && util_rng_below(rng, 4) > 0;
	char id[16];
	char *steps;

	snprintf(id, sizeof(id), "j%d", number);
	steps = talloc_asprintf(
		sim,
		"[{\"tasks\":%u,\"cpu_milli\":%u,\"memory_mb\":%u,\"accelerators\":%u,"
		"\"estimate_ms\":%u,\"gang\":%s,\"one_rack\":%s,\"spread_limit\":%u}%s]",
		(unsigned int)(1 + util_rng_below(rng, gang ? 4 : 12)),
		(unsigned int)util_rng_below(rng, 40000), (unsigned int)util_rng_below(rng, 200000),
		queue == 2 ? 1 : accelerators[util_rng_below(rng, 5)],
		(unsigned int)(200 + util_rng_below(rng, 3000)), gang ? "true" : "false",
		util_rng_below(rng, 2) ? "true" : "false",
		gang ? 0 : (unsigned int)util_rng_below(rng, 4),
		util_rng_below(rng, 3) ? ""
				       : ",{\"tasks\":2,\"cpu_milli\":500,\"estimate_ms\":400,"
					 "\"after_steps\":[0]}");
	plansim_add_job(sim, id, queues[queue], util_rng_below(rng, 2) ? "a" : "b", steps);
}

static void inject_random_fault(struct plansim *sim, struct util_rng *rng)
{
	uint32_t worker = (uint32_t)util_rng_below(rng, sim->worker_count);
	char id[16];

	switch (util_rng_below(rng, 7)) {
	case 0:
		plansim_crash_worker(sim, worker);
		break;
	case 1:
		sim->workers[worker].reachable = !sim->workers[worker].reachable;
		break;
	case 2:
		sim->workers[worker].draining = !sim->workers[worker].draining;
		break;
	case 3:
		snprintf(id, sizeof(id), "j%d", (int)util_rng_below(rng, JOBS));
		plan_job_cancel(sim->plan, id);
		break;
	case 4:
		/* All workers report to the new leader before it starts any task. */
		for (uint32_t i = 0; i < sim->worker_count; i++)
			sim->workers[i].reachable = true;
		plansim_restart_leader(sim, false);
		plansim_run(sim, 10);
		plan_recovery_done(sim->plan);
		break;
	default:
		break;
	}
}

static int count_unfinished(const struct plansim *sim)
{
	int count = 0;
	char id[16];

	for (int i = 0; i < JOBS; i++) {
		snprintf(id, sizeof(id), "j%d", i);
		count += plansim_job_state(sim, id) < PLAN_JOB_COMPLETED;
	}
	return count;
}

static void run_seed(uint64_t seed)
{
	struct util_rng rng = {seed};
	struct plansim *sim = plansim_create(NULL, 5 + (uint32_t)util_rng_below(&rng, 8));
	int left;

	for (int i = 0; i < JOBS; i++) {
		add_random_job(sim, &rng, i);
		plansim_run(sim, (uint32_t)util_rng_below(&rng, FAULT_INTERVAL_MAX_MS));
		inject_random_fault(sim, &rng);
	}
	for (uint32_t i = 0; i < sim->worker_count; i++) {
		sim->workers[i].reachable = true;
		sim->workers[i].draining = false;
	}
	for (uint32_t passed = 0; passed < DRAIN_TIMEOUT_MS && count_unfinished(sim);
	     passed += 1000)
		plansim_run(sim, 1000);
	left = count_unfinished(sim);
	CU_ASSERT_PTR_NULL(sim->violation);
	CU_ASSERT_EQUAL(left, 0);
	if (sim->violation || left)
		printf("\nseed %llu: %s %s, %d jobs not finished\n", (unsigned long long)seed,
		       sim->violation ? sim->violation : "", sim->violation_task, left);
	talloc_free(sim);
}

/* Guards against violated invariants under mixed faults, and against jobs that never finish. */
static void test_seeds(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		run_seed(seed);
}

int main(int argc, char **argv)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("plan_random", NULL, NULL);
	if (argc > 1) {
		run_seed(strtoull(argv[1], NULL, 10));
		return 0;
	}
	CU_add_test(suite, "seeds", test_seeds);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
