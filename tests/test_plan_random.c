#include "lib_planworld.h"

#include "util.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>

/* Random fleets, jobs and troubles from a seed; what must always hold is checked by the world. */

#define SEEDS 60
#define JOBS 40
#define FAULT_INTERVAL_MAX_MS 700
#define DRAIN_TIMEOUT_MS 120000

static void add_random_job(struct planworld *w, struct util_rng *rng, int number)
{
	static const char *const queues[] = {"urgent", "large", "batch"};
	static const uint32_t accelerators[] = {1, 2, 4, 8, 8};
	uint64_t queue = util_rng_below(rng, 3);
	bool gang = queue < 2 && util_rng_below(rng, 4) > 0;
	char id[16];
	char *steps;

	snprintf(id, sizeof(id), "j%d", number);
	steps = talloc_asprintf(
		w,
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
	planworld_job(w, id, queues[queue], util_rng_below(rng, 2) ? "a" : "b", steps);
}

static void inject_random_fault(struct planworld *w, struct util_rng *rng)
{
	uint32_t worker = (uint32_t)util_rng_below(rng, w->worker_count);
	char id[16];

	switch (util_rng_below(rng, 7)) {
	case 0:
		planworld_crash(w, worker);
		break;
	case 1:
		w->workers[worker].reachable = !w->workers[worker].reachable;
		break;
	case 2:
		w->workers[worker].draining = !w->workers[worker].draining;
		break;
	case 3:
		snprintf(id, sizeof(id), "j%d", (int)util_rng_below(rng, JOBS));
		plan_job_cancel(w->plan, id);
		break;
	case 4:
		/* The new leader hears of all workers before it starts anything. */
		for (uint32_t i = 0; i < w->worker_count; i++)
			w->workers[i].reachable = true;
		planworld_restart(w, false);
		planworld_run(w, 10);
		plan_settle(w->plan);
		break;
	default:
		break;
	}
}

static int count_unfinished(const struct planworld *w)
{
	int count = 0;
	char id[16];

	for (int i = 0; i < JOBS; i++) {
		snprintf(id, sizeof(id), "j%d", i);
		count += planworld_state(w, id) < PLAN_JOB_COMPLETED;
	}
	return count;
}

static void run_seed(uint64_t seed)
{
	struct util_rng rng = {seed};
	struct planworld *w = planworld_create(NULL, 5 + (uint32_t)util_rng_below(&rng, 8));
	int left;

	for (int i = 0; i < JOBS; i++) {
		add_random_job(w, &rng, i);
		planworld_run(w, (uint32_t)util_rng_below(&rng, FAULT_INTERVAL_MAX_MS));
		inject_random_fault(w, &rng);
	}
	for (uint32_t i = 0; i < w->worker_count; i++) {
		w->workers[i].reachable = true;
		w->workers[i].draining = false;
	}
	for (uint32_t passed = 0; passed < DRAIN_TIMEOUT_MS && count_unfinished(w); passed += 1000)
		planworld_run(w, 1000);
	left = count_unfinished(w);
	CU_ASSERT_PTR_NULL(w->violation);
	CU_ASSERT_EQUAL(left, 0);
	if (w->violation || left)
		printf("\nseed %llu: %s %s, %d jobs not finished\n", (unsigned long long)seed,
		       w->violation ? w->violation : "", w->violation_task, left);
	talloc_free(w);
}

/* Guards against breaches of the invariants under mixed troubles, and jobs that starve. */
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
