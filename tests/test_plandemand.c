#include "lib_plansim.h"
#include "plandemand.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>

/* Forecast of urgent work, and the workers that are kept free by it. */

#define STOP_MS 400
#define RUN_MS 2500
#define WORKERS 40
#define ACCELERATORS 8 /* of a worker */
#define KEPT_MAX(workers) ((uint32_t)((workers)*0.3 + 0.5))
/* Kept before the forecast was there: 0.33 of the workers for each second of a stop. */
#define KEPT_BEFORE(workers, stop_ms) ((uint32_t)((workers)*0.33 * (stop_ms) / 1000 + 0.5))

static void arrive(struct plan_demand *demand, const char *zone, uint32_t tasks,
		   uint32_t accelerators, uint64_t at_ms)
{
	const struct plan_demand_arrival arrival = {.service = "s",
						    .zone = zone,
						    .need = {8000, 1000, accelerators},
						    .tasks = tasks,
						    .gang = true,
						    .run_ms = RUN_MS,
						    .at_ms = at_ms};

	plan_demand_arrive(demand, &arrival);
}

/* Guards against a level that differs from what steady arrivals have in use at a time. */
static void test_steady_level(void)
{
	struct plan_demand *demand = plan_demand_create(NULL, STOP_MS);
	struct plan_demand_forecast forecast;
	double in_use = 5 * 2 * (RUN_MS + STOP_MS) / 800.0;
	uint64_t now_ms = 1000;

	for (int i = 0; i < 100; i++, now_ms += 800)
		arrive(demand, "", 5, 2, now_ms);
	forecast = plan_demand_forecast(demand, "s", "", now_ms);
	CU_ASSERT_TRUE(forecast.expected && !forecast.uncertain);
	CU_ASSERT_TRUE(fabs(forecast.accelerators / in_use - 1) < 0.3);
	CU_ASSERT_TRUE(fabs(forecast.cpu_milli / (in_use * 4000) - 1) < 0.3);
	plan_demand_destroy(demand);
}

/* Guards against a forecast that is late for a burst, or gone between two of its gangs. */
static void test_quick_rise_slow_fall(void)
{
	struct plan_demand *demand = plan_demand_create(NULL, STOP_MS);
	uint64_t now_ms = 1000;
	double before;
	double peak;

	for (int i = 0; i < 30; i++, now_ms += 1000)
		arrive(demand, "", 4, 2, now_ms);
	before = plan_demand_forecast(demand, "s", "", now_ms).accelerators;
	for (int i = 0; i < 10; i++, now_ms += 100)
		arrive(demand, "", 8, 4, now_ms);
	peak = plan_demand_forecast(demand, "s", "", now_ms).accelerators;
	CU_ASSERT_TRUE(peak > 4 * before);
	CU_ASSERT_TRUE(plan_demand_forecast(demand, "s", "", now_ms + 1000).accelerators >
		       0.35 * peak);
	plan_demand_destroy(demand);
}

/* Guards against room that is held for a wave that is over, or for a gang of a former wave. */
static void test_wave_ends(void)
{
	struct plan_demand *demand = plan_demand_create(NULL, STOP_MS);
	uint64_t now_ms = 1000;

	arrive(demand, "", 20, 8, now_ms);
	for (int i = 0; i < 30; i++, now_ms += 500)
		arrive(demand, "", 4, 2, now_ms);
	CU_ASSERT_EQUAL(plan_demand_forecast(demand, "s", "", now_ms).largest_gang.tasks, 4);
	CU_ASSERT_TRUE(plan_demand_forecast(demand, "s", "", now_ms + 2000).expected);
	CU_ASSERT_FALSE(plan_demand_forecast(demand, "s", "", now_ms + 4000).expected);
	arrive(demand, "", 1, 1, now_ms + 20000);
	CU_ASSERT_EQUAL(plan_demand_forecast(demand, "s", "", now_ms + 20000).largest_gang.tasks,
			1);
	CU_ASSERT_FALSE(plan_demand_forecast(demand, "s", "", now_ms + 31000).expected);
	plan_demand_destroy(demand);
}

/* Guards against demand of one zone or service that is taken for that of another. */
static void test_zones_are_apart(void)
{
	struct plan_demand *demand = plan_demand_create(NULL, STOP_MS);

	arrive(demand, "z1", 4, 2, 1000);
	arrive(demand, "z2", 8, 2, 1000);
	CU_ASSERT_EQUAL(plan_demand_forecast(demand, "s", "z1", 1000).largest_gang.tasks, 4);
	CU_ASSERT_EQUAL(plan_demand_forecast(demand, "s", "z2", 1000).largest_gang.tasks, 8);
	CU_ASSERT_FALSE(plan_demand_forecast(demand, "s", "", 1000).expected);
	CU_ASSERT_FALSE(plan_demand_forecast(demand, "other", "z1", 1000).expected);
	CU_ASSERT_STRING_EQUAL(plan_demand_zone(demand, "s", 1), "z2");
	CU_ASSERT_PTR_NULL(plan_demand_zone(demand, "s", 2));
	plan_demand_destroy(demand);
}

static void add_urgent(struct plansim *sim, int number, uint32_t tasks, uint32_t accelerators,
		       const char *more)
{
	char id[32];
	char *steps = talloc_asprintf(sim,
				      "[{\"tasks\":%u,\"cpu_milli\":1000,\"memory_mb\":1000,"
				      "\"accelerators\":%u,\"estimate_ms\":%d%s}]",
				      tasks, accelerators, RUN_MS, more);

	snprintf(id, sizeof(id), "u%d", number);
	plansim_add_job(sim, id, "urgent", "b", steps);
	talloc_free(steps);
}

static void add_batch(struct plansim *sim, const char *id, uint32_t tasks, uint32_t estimate_ms)
{
	char *steps = talloc_asprintf(sim,
				      "[{\"tasks\":%u,\"cpu_milli\":4000,\"memory_mb\":1000,"
				      "\"accelerators\":1,\"estimate_ms\":%u}]",
				      tasks, estimate_ms);

	plansim_add_job(sim, id, "batch", "b", steps);
	talloc_free(steps);
}

/* Guards against more workers idle than by the share of former releases while demand is low. */
static void test_low_demand_keeps_few(void)
{
	struct plansim *sim = plansim_create_with_stops(NULL, WORKERS, STOP_MS);

	plansim_run(sim, 100);
	for (int i = 0; i < 20; i++) {
		add_urgent(sim, i, 2, 1, ",\"gang\":true");
		for (int k = 0; k < 10; k++) {
			plansim_run(sim, 200);
			CU_ASSERT_TRUE(plan_headroom(sim->plan).workers <=
				       KEPT_BEFORE(WORKERS, STOP_MS));
		}
	}
	/* Once the wave is known, its gangs of two small tasks fit on one worker. */
	CU_ASSERT_EQUAL(plan_headroom(sim->plan).workers, 1);
	CU_ASSERT_PTR_NULL(sim->violation);
	talloc_free(sim);
}

/* Guards against urgent gangs of a burst that have to stop others since too little was kept. */
static void test_burst_finds_room(void)
{
	struct plansim *sim = plansim_create_with_stops(NULL, WORKERS, STOP_MS);

	plansim_run(sim, 100);
	add_urgent(sim, 0, 8, 8, ",\"gang\":true");
	plansim_run(sim, 100);
	CU_ASSERT_EQUAL(plan_headroom(sim->plan).workers, 8);
	add_batch(sim, "f1", WORKERS * ACCELERATORS, 60000);
	plansim_run(sim, 900);
	add_urgent(sim, 1, 8, 8, ",\"gang\":true");
	plansim_run(sim, 100);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "u1."), 8);
	CU_ASSERT_EQUAL(sim->stops, 0);
	CU_ASSERT_PTR_NULL(sim->violation);
	talloc_free(sim);
}

/* Guards against a gang for one rack that finds its room kept on several. */
static void test_gang_finds_one_rack(void)
{
	struct plansim *sim = plansim_create_with_stops(NULL, WORKERS, STOP_MS);

	plansim_run(sim, 100);
	add_urgent(sim, 0, 3, 8, ",\"gang\":true,\"one_rack\":true");
	plansim_run(sim, 6000);
	add_urgent(sim, 1, 1, 1, "");
	plansim_run(sim, 100);
	add_batch(sim, "f1", WORKERS * ACCELERATORS, 60000);
	plansim_run(sim, 500);
	add_urgent(sim, 2, 3, 8, ",\"gang\":true,\"one_rack\":true");
	plansim_run(sim, 100);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "u2."), 3);
	CU_ASSERT_EQUAL(sim->stops, 0);
	talloc_free(sim);
}

/* Guards against steps of lower priority that wait for workers kept free after the wave. */
static void test_room_is_released(void)
{
	struct plansim *sim = plansim_create_with_stops(NULL, WORKERS, STOP_MS);

	plansim_run(sim, 100);
	for (int i = 0; i < 20; i++) {
		add_urgent(sim, i, 4, 4, ",\"gang\":true");
		plansim_run(sim, 500);
	}
	CU_ASSERT_TRUE(plan_headroom(sim->plan).workers > 0);
	CU_ASSERT_TRUE(plan_headroom(sim->plan).accelerators > 0);
	plansim_run(sim, 3500);
	CU_ASSERT_EQUAL(plan_headroom(sim->plan).workers, 0);
	add_batch(sim, "f1", WORKERS * ACCELERATORS, 60000);
	plansim_run(sim, 100);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "f1."), WORKERS * ACCELERATORS);
	talloc_free(sim);
}

static void report_zones(struct plan *plan, uint64_t now_ms)
{
	for (int i = 0; i < WORKERS; i++) {
		bool first = i < WORKERS / 2;
		char node[16];
		const struct plan_worker_info info = {.node = node,
						      .id = node,
						      .incarnation = node,
						      .service = "s",
						      .zone = first ? "z1" : "z2",
						      .kind = "k",
						      .rack = first ? "r1" : "r2",
						      .room = {128000, 524288, ACCELERATORS},
						      .accepting = true};

		snprintf(node, sizeof(node), "w%d", i);
		plan_worker_update(plan, &info, now_ms);
	}
}

/* Number of batch tasks that are started in the first or the second zone. */
static uint32_t count_batch(struct plan *plan, bool first)
{
	uint32_t count = 0;

	for (int i = first ? 0 : WORKERS / 2; i < (first ? WORKERS / 2 : WORKERS); i++) {
		struct plan_order *orders;
		char node[16];
		size_t order_count;

		snprintf(node, sizeof(node), "w%d", i);
		order_count = plan_orders(plan, plan, node, &orders);
		for (size_t k = 0; k < order_count; k++)
			count += orders[k].start && orders[k].task[0] == 'f';
	}
	return count;
}

/* Guards against room kept where urgent data is not, or in a zone that is evacuated. */
static void test_room_is_kept_in_the_zone(void)
{
	for (int closed = 0; closed < 2; closed++) {
		struct plansim *sim = plansim_create_with_stops(NULL, 0, STOP_MS);
		uint32_t zone_room = WORKERS / 2 * ACCELERATORS;

		report_zones(sim->plan, sim->now_ms);
		add_urgent(sim, 0, 3, 8, ",\"data_rack\":\"r2\",\"gang\":true");
		plan_decide(sim->plan, sim->now_ms, NULL, NULL);
		plan_set_zone_closed(sim->plan, "z2", closed);
		add_batch(sim, "f1", WORKERS * ACCELERATORS, 60000);
		plan_decide(sim->plan, sim->now_ms + 50, NULL, NULL);
		CU_ASSERT_TRUE(plan_headroom(sim->plan).workers >= 3);
		if (closed) {
			CU_ASSERT_TRUE(count_batch(sim->plan, true) <=
				       zone_room - 3 * ACCELERATORS);
		} else {
			CU_ASSERT_EQUAL(count_batch(sim->plan, true), zone_room);
		}
		CU_ASSERT_TRUE(count_batch(sim->plan, false) <=
			       (closed ? 0 : zone_room - 6 * ACCELERATORS));
		talloc_free(sim);
	}
}

/* Bounds in one random world; the oracle knows the gangs that were submitted, not the forecast. */
static void check_random_world(uint32_t seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	uint32_t workers = (uint32_t)g_rand_int_range(rand, 6, WORKERS + 1);
	struct plansim *sim = plansim_create_with_stops(
		NULL, workers, (uint32_t)g_rand_int_range(rand, 100, 1000));
	uint32_t largest = 0;

	plansim_run(sim, 100);
	add_batch(sim, "f1", workers * ACCELERATORS / 2, 1500);
	for (int i = 0; i < 12; i++) {
		uint32_t tasks = (uint32_t)g_rand_int_range(rand, 1, 9);
		uint32_t accelerators = (uint32_t)g_rand_int_range(rand, 1, ACCELERATORS + 1);
		uint32_t per_worker = ACCELERATORS / accelerators;
		uint32_t needed = (tasks + per_worker - 1) / per_worker;
		uint32_t kept;
		bool is_largest = tasks * accelerators > largest;

		add_urgent(sim, i, tasks, accelerators, ",\"gang\":true");
		largest = MAX(largest, tasks * accelerators);
		plansim_run(sim, 20);
		kept = plan_headroom(sim->plan).workers;
		CU_ASSERT_TRUE(kept <= KEPT_MAX(workers));
		CU_ASSERT_TRUE(kept >=
			       MIN(KEPT_MAX(workers), (largest + ACCELERATORS - 1) / ACCELERATORS));
		if (is_largest)
			CU_ASSERT_TRUE(kept >= MIN(KEPT_MAX(workers), needed));
		plansim_run(sim, (uint32_t)g_rand_int_range(rand, 10, 800));
	}
	plansim_run(sim, 11000);
	CU_ASSERT_EQUAL(plan_headroom(sim->plan).workers, 0);
	if (sim->violation)
		printf("\nseed %u: %s: %s\n", seed, sim->violation_task, sim->violation);
	CU_ASSERT_PTR_NULL(sim->violation);
	g_rand_free(rand);
	talloc_free(sim);
}

/* Guards against more than 0.3 of the workers idle, or too few for the largest recent gang. */
static void test_bounds_in_random_worlds(void)
{
	for (uint32_t seed = 1; seed <= 30; seed++)
		check_random_world(seed);
}

int main(void)
{
	static const struct {
		const char *name;
		CU_TestFunc run;
	} tests[] = {
		{"steady_level", test_steady_level},
		{"quick_rise_slow_fall", test_quick_rise_slow_fall},
		{"wave_ends", test_wave_ends},
		{"zones_are_apart", test_zones_are_apart},
		{"low_demand_keeps_few", test_low_demand_keeps_few},
		{"burst_finds_room", test_burst_finds_room},
		{"gang_finds_one_rack", test_gang_finds_one_rack},
		{"room_is_released", test_room_is_released},
		{"room_is_kept_in_the_zone", test_room_is_kept_in_the_zone},
		{"bounds_in_random_worlds", test_bounds_in_random_worlds},
	};
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("plandemand", NULL, NULL);
	for (size_t i = 0; i < sizeof(tests) / sizeof(tests[0]); i++)
		CU_add_test(suite, tests[i].name, tests[i].run);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
