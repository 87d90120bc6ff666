#include "lib_plansim.h"

#include "util.h"

#include <CUnit/Basic.h>
#include <stdio.h>

/*
 * Short work on workers that are reserved for a blocked gang. Workers have 8 accelerators, three
 * to a rack.
 */

#define SEEDS 25
#define ARRIVALS 120
#define GANG_WAIT_MAX_MS 120000U
/* A decision and a report later than in the other world. */
#define TOLERANCE_MS 20
#define FULL_RUN_MS 11000 /* until these show enough progress */
/* Reservations cover half of the workers at most, so the others are full. */
#define FULL_WORKERS(count)                                                             \
	"[{\"tasks\":" #count ",\"cpu_milli\":1000,\"accelerators\":8,\"estimate_ms\":" \
	"200000}]"

static void check_and_free(struct plansim *sim)
{
	if (sim->violation)
		printf("\n%s: %s\n", sim->violation_task, sim->violation);
	CU_ASSERT_PTR_NULL(sim->violation);
	talloc_free(sim);
}

/* Guards against workers that stay idle for a gang which can't begin for a long time. */
static void test_short_work_starts(void)
{
	struct plansim *sim = plansim_create(NULL, 2);

	plansim_add_job(sim, "full", "large", "b", FULL_WORKERS(1));
	plansim_run(sim, FULL_RUN_MS);
	plansim_add_job(sim, "b1", "batch", "b",
			"[{\"tasks\":1,\"cpu_milli\":1000,\"accelerators\":4,"
			"\"estimate_ms\":60000}]");
	plansim_run(sim, 5000);
	plansim_add_job(sim, "g1", "large", "b",
			"[{\"tasks\":2,\"cpu_milli\":1000,\"accelerators\":4,\"gang\":true,"
			"\"estimate_ms\":20000}]");
	plansim_run(sim, 1000);
	plansim_add_job(sim, "long", "batch", "b",
			"[{\"tasks\":1,\"cpu_milli\":1000,\"accelerators\":1,"
			"\"estimate_ms\":20000}]");
	plansim_add_job(sim, "short", "batch", "b",
			"[{\"tasks\":1,\"cpu_milli\":1000,\"accelerators\":1,"
			"\"estimate_ms\":1000}]");
	plansim_run(sim, 500);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "short."), 1);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "long."), 0);
	check_and_free(sim);
}

/*
 * Guards against room that an urgent step has made and that is lent, because a gang which does not
 * evict had reserved the worker before: the short tasks that start there are stopped at once.
 */
static void test_room_made_is_not_lent(void)
{
	struct plansim *sim = plansim_create(NULL, 4);

	plansim_add_job(sim, "full", "large", "b", FULL_WORKERS(2));
	plansim_run(sim, 500);
	plansim_add_job(sim, "b1", "batch", "b",
			"[{\"tasks\":12,\"cpu_milli\":1000,\"accelerators\":1,"
			"\"checkpoints\":true,\"spread_limit\":6,\"estimate_ms\":200000}]");
	plansim_run(sim, FULL_RUN_MS);
	plansim_add_job(sim, "g1", "large", "b",
			"[{\"tasks\":2,\"cpu_milli\":1000,\"accelerators\":8,\"gang\":true,"
			"\"long_running\":true,\"estimate_ms\":1000}]");
	plansim_run(sim, 1000);
	plansim_add_job(sim, "u1", "urgent", "b",
			"[{\"tasks\":1,\"cpu_milli\":1000,\"accelerators\":3,"
			"\"estimate_ms\":2000}]");
	plansim_add_job(sim, "short", "batch", "b",
			"[{\"tasks\":4,\"cpu_milli\":1000,\"accelerators\":1,"
			"\"estimate_ms\":300}]");
	plansim_run(sim, 200);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "b1."), 11);
	plansim_run(sim, 800);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "u1."), 1);
	CU_ASSERT_EQUAL(sim->stops, 1);
	check_and_free(sim);
}

static void add_job(struct plansim *sim, struct util_rng *rng, const char *id, const char *queue,
		    uint32_t estimate_ms)
{
	char *steps = talloc_asprintf(
		sim, "[{\"tasks\":1,\"cpu_milli\":1000,\"accelerators\":%u,\"estimate_ms\":%u}]",
		(unsigned int)(1 + util_rng_below(rng, 4)), estimate_ms);

	plansim_add_job(sim, id, queue, "b", steps);
}

/* Time at which a gang starts on workers that earlier work holds, with or without later jobs. */
static uint64_t gang_start_ms(uint32_t seed, bool later_jobs, uint32_t *backfilled)
{
	struct plansim *sim = plansim_create(NULL, 12);
	struct util_rng rng = {seed};
	struct util_rng later = {seed + SEEDS};
	uint64_t started_ms = 0;
	char id[16];

	plansim_add_job(sim, "full", "large", "b", FULL_WORKERS(9));
	plansim_run(sim, FULL_RUN_MS);
	for (int i = 1; i < 10; i++) {
		snprintf(id, sizeof(id), "b%d", i);
		add_job(sim, &rng, id, "batch", (uint32_t)(2000 + util_rng_below(&rng, 20000)));
		sim->jobs[i].duration_factor = 0.5 + 2 * util_rng_unit(&rng);
	}
	plansim_run(sim, 1000);
	plansim_add_job(sim, "g1", "large", "b",
			"[{\"tasks\":3,\"cpu_milli\":1000,\"accelerators\":7,\"gang\":true,"
			"\"estimate_ms\":60000}]");
	plansim_run(sim, 600);
	for (uint32_t i = 0; !started_ms && i < GANG_WAIT_MAX_MS / 10; i++) {
		if (later_jobs && i % 10 == 0 && i < 10 * ARRIVALS) {
			uint32_t estimate_ms = (uint32_t)(50 + util_rng_below(&later, 1000));

			snprintf(id, sizeof(id), "l%u", i);
			add_job(sim, &later, id, "batch", estimate_ms);
			sim->jobs[sim->job_count - 1].duration_factor =
				0.2 + 4 * util_rng_unit(&later);
		}
		plansim_run(sim, 10);
		if (plansim_count_runs(sim, "g1."))
			started_ms = sim->now_ms;
		else
			*backfilled = sim->starts;
	}
	check_and_free(sim);
	return started_ms;
}

/* Guards against short work that delays the gang: it starts as early as without that work. */
static void test_gang_is_not_delayed(void)
{
	uint32_t alone_starts = 0;
	uint32_t starts = 0;
	uint32_t backfilled = 0;

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		uint64_t alone_ms = gang_start_ms(seed, false, &alone_starts);
		uint64_t beside_ms = gang_start_ms(seed, true, &starts);

		backfilled += starts - alone_starts;

		if (beside_ms == 0 || beside_ms > alone_ms + TOLERANCE_MS)
			printf("\nseed %u: the gang starts at %u ms, without other work at %u ms\n",
			       seed, (unsigned int)beside_ms, (unsigned int)alone_ms);
		CU_ASSERT_TRUE(beside_ms > 0 && beside_ms <= alone_ms + TOLERANCE_MS);
	}
	/* Otherwise the worlds would show nothing. */
	CU_ASSERT_TRUE(backfilled > 10 * SEEDS);
	printf("backfilled %u\n", backfilled);
}

int main(void)
{
	CU_pSuite suite;

	if (CU_initialize_registry() != CUE_SUCCESS)
		return CU_get_error();
	suite = CU_add_suite("planbackfill", NULL, NULL);
	CU_add_test(suite, "short_work_starts", test_short_work_starts);
	CU_add_test(suite, "room_made_is_not_lent", test_room_made_is_not_lent);
	CU_add_test(suite, "gang_is_not_delayed", test_gang_is_not_delayed);
	CU_basic_run_tests();
	return CU_get_number_of_failures() > 0;
}
