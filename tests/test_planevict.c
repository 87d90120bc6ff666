#include "lib_plansim.h"

#include "util.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

/*
 * Which running work is stopped for urgent jobs, and how often. Organisation "a" is promised 16
 * accelerators unless a test says otherwise; workers have 8 accelerators, three to a rack.
 */

#define SEEDS 12
#define EVICTIONS_MAX 2
#define TASKS_MAX 400
#define LATE_STOP_MS 12000
#define LEASE_MS 1500 /* of the leader; a decision that takes longer costs it the lead */

struct stops {
	char task[64];
	uint32_t count;
	uint32_t run;
};

/* Stops of each task, as its worker sees them. */
struct stop_counts {
	struct stops tasks[TASKS_MAX];
	uint32_t count;
};

static void count_stops(struct plansim *sim, void *ctx)
{
	struct stop_counts *counts = ctx;

	for (uint32_t i = 0; i < sim->run_count; i++) {
		const struct sim_run *run = &sim->runs[i];
		uint32_t k = 0;

		if (!run->present || !run->stopping)
			continue;
		while (k < counts->count && strcmp(counts->tasks[k].task, run->task) != 0)
			k++;
		if (k == TASKS_MAX)
			continue;
		if (k == counts->count)
			g_strlcpy(counts->tasks[counts->count++].task, run->task, 64);
		if (counts->tasks[k].run == run->run)
			continue;
		counts->tasks[k].run = run->run;
		counts->tasks[k].count++;
	}
}

static void check_and_free(struct plansim *sim)
{
	if (sim->violation)
		printf("\n%s: %s\n", sim->violation_task, sim->violation);
	CU_ASSERT_PTR_NULL(sim->violation);
	talloc_free(sim);
}

/*
 * Guards against stops of work that is old beside work that has just begun: both workers are
 * equally full, and the gang needs one of them.
 */
static void test_cheapest_worker(void)
{
	struct plansim *sim = plansim_create(NULL, 2);

	plansim_add_job(sim, "old", "batch", "b",
			"[{\"tasks\":8,\"cpu_milli\":1000,\"accelerators\":1,"
			"\"estimate_ms\":60000}]");
	plansim_run(sim, 9000);
	plansim_add_job(sim, "new", "batch", "b",
			"[{\"tasks\":8,\"cpu_milli\":1000,\"accelerators\":1,"
			"\"estimate_ms\":60000}]");
	plansim_run(sim, 1000);
	plansim_add_job(sim, "u1", "urgent", "a",
			"[{\"tasks\":4,\"cpu_milli\":1000,\"accelerators\":2,\"gang\":true,"
			"\"estimate_ms\":3000}]");
	plansim_run(sim, 1000);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "u1."), 4);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "old."), 8);
	check_and_free(sim);
}

/* Guards against stops of small tasks that do not help: the large one has to go in any case. */
static void test_needless_victims(void)
{
	struct plansim *sim = plansim_create(NULL, 1);

	plansim_add_job(sim, "big", "batch", "b",
			"[{\"tasks\":1,\"cpu_milli\":1000,\"accelerators\":6,"
			"\"estimate_ms\":60000}]");
	plansim_run(sim, 4000);
	plansim_add_job(sim, "tiny", "batch", "b",
			"[{\"tasks\":2,\"cpu_milli\":1000,\"accelerators\":1,"
			"\"estimate_ms\":60000}]");
	plansim_run(sim, 1000);
	plansim_add_job(sim, "u1", "urgent", "a",
			"[{\"tasks\":1,\"cpu_milli\":1000,\"accelerators\":5,"
			"\"estimate_ms\":3000}]");
	plansim_run(sim, 1000);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "u1."), 1);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "tiny."), 2);
	CU_ASSERT_EQUAL(sim->stops, 1);
	check_and_free(sim);
}

/*
 * Guards against starts on the room of a gang that is about to start again: a member has failed and
 * the others are being stopped. The gang would evict what started there.
 */
static void test_broken_gang_keeps_room(void)
{
	struct plansim *sim = plansim_create_with_stops(NULL, 1, 900);

	plansim_add_job(sim, "u1", "urgent", "a",
			"[{\"tasks\":4,\"cpu_milli\":1000,\"accelerators\":2,\"gang\":true,"
			"\"estimate_ms\":6000}]");
	plansim_run(sim, 500);
	plansim_add_job(sim, "wait", "batch", "b",
			"[{\"tasks\":8,\"cpu_milli\":1000,\"accelerators\":1,"
			"\"estimate_ms\":6000}]");
	plansim_run(sim, 500);
	/* One run is lost; the others take their time to stop. */
	sim->runs[0].present = false;
	plansim_run(sim, 2500);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "u1."), 4);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "wait."), 0);
	CU_ASSERT_EQUAL(sim->starts, 8);
	check_and_free(sim);
}

/* Makes stops take longer than the plan knows, as orders do that are carried out late. */
static struct plansim *create_with_late_stops(uint32_t workers)
{
	struct plansim *sim = plansim_create(NULL, workers);

	sim->params.stop_ms = LATE_STOP_MS;
	return sim;
}

/* One full worker in each rack, so that no rack has room for three. */
static void fill_one_in_each_rack(struct plansim *sim, uint32_t racks)
{
	for (uint32_t i = 0; i < racks; i++) {
		char id[16];
		char *steps = talloc_asprintf(sim,
					      "[{\"tasks\":1,\"cpu_milli\":1000,\"accelerators\":8,"
					      "\"estimate_ms\":60000,\"label\":\"r%u\"}]",
					      i);

		snprintf(id, sizeof(id), "f%u", i);
		plansim_add_job(sim, id, "batch", "b", steps);
	}
	plansim_run(sim, 500);
}

/*
 * Guards against a gang that waits for a late stop in one rack, while two thirds of its service
 * are free.
 */
static void test_late_stop_beside_room(void)
{
	struct plansim *sim = create_with_late_stops(12);

	fill_one_in_each_rack(sim, 4);
	plansim_add_job(sim, "u1", "urgent", "b",
			"[{\"tasks\":3,\"cpu_milli\":1000,\"accelerators\":8,\"gang\":true,"
			"\"one_rack\":true,\"estimate_ms\":5000}]");
	plansim_run(sim, 1000);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "f"), 3);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "u1."), 0);
	plansim_run(sim, 2000);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "u1."), 3);
	check_and_free(sim);
}

/* Guards against a guarantee that is not kept because a filler was evicted twice before. */
static void test_protected_filler_gives_way(void)
{
	struct plansim *sim = plansim_create(NULL, 1);

	plansim_add_job(sim, "fill", "batch", "b",
			"[{\"tasks\":1,\"cpu_milli\":1000,\"accelerators\":1,\"filler\":true,"
			"\"estimate_ms\":60000}]");
	plansim_run(sim, 500);
	for (int i = 0; i < EVICTIONS_MAX + 1; i++) {
		char id[16];

		CU_ASSERT_EQUAL(plansim_count_runs(sim, "fill."), 1);
		snprintf(id, sizeof(id), "u%d", i);
		plansim_add_job(sim, id, "urgent", "a",
				"[{\"tasks\":1,\"cpu_milli\":1000,\"accelerators\":1,"
				"\"latency_target_ms\":10,\"estimate_ms\":2000}]");
		plansim_run(sim, 1000);
		CU_ASSERT_EQUAL(plansim_count_runs(sim, "u"), 1);
		plansim_run(sim, 3000);
	}
	check_and_free(sim);
}

static void add_random_job(struct plansim *sim, struct util_rng *rng, const char *queue,
			   const char *organisation, int number)
{
	bool gang = strcmp(queue, "batch") != 0;
	char id[16];
	char *steps = talloc_asprintf(
		sim,
		"[{\"tasks\":%u,\"cpu_milli\":%u,\"accelerators\":%u,\"estimate_ms\":%u,"
		"\"gang\":%s}]",
		(unsigned int)(1 + util_rng_below(rng, gang ? 4 : 10)),
		(unsigned int)(1000 + util_rng_below(rng, 9000)),
		(unsigned int)(1 + util_rng_below(rng, gang ? 8 : 2)),
		(unsigned int)(1000 + util_rng_below(rng, 6000)), gang ? "true" : "false");

	snprintf(id, sizeof(id), "%c%d", *queue, number);
	plansim_add_job(sim, id, queue, organisation, steps);
}

/*
 * Guards against tasks that urgent jobs beyond any guarantee stop again and again. Nothing but
 * evictions stops tasks here.
 */
static void test_evicted_twice_at_most(void)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		struct plansim *sim = plansim_create(NULL, 4);
		struct stop_counts *counts = talloc_zero(sim, struct stop_counts);
		struct util_rng rng = {seed};
		uint32_t most = 0;

		sim->after_tick = count_stops;
		sim->hook_ctx = counts;
		for (int i = 0; i < 60; i++) {
			add_random_job(sim, &rng, i % 3 ? "urgent" : "large", "b", i);
			if (i % 4 == 0)
				add_random_job(sim, &rng, "batch", "b", i);
			plansim_run(sim, (uint32_t)(300 + util_rng_below(&rng, 1200)));
		}
		for (uint32_t k = 0; k < counts->count; k++)
			most = MAX(most, counts->tasks[k].count);
		if (most > EVICTIONS_MAX)
			printf("\nseed %u: a task was evicted %u times\n", seed, most);
		CU_ASSERT_TRUE(most <= EVICTIONS_MAX);
		check_and_free(sim);
	}
}

/* Processor time of one decision, in ms. */
static double time_decision(struct plansim *sim)
{
	clock_t began = clock();

	plan_decide(sim->plan, sim->now_ms, NULL, NULL);
	return (double)(clock() - began) * 1000 / CLOCKS_PER_SEC;
}

/*
 * Guards against decisions that outlast the leader's lease: many small tasks make room for one
 * step, so that all entries in turn were elected, hung and lost the lead.
 *
 * @small: steps of a job that fills the worker with @tasks tasks
 * @urgent: steps of the job that is accepted next
 * @stops: number of tasks that have to be stopped for it
 */
static void check_decision_on_small_tasks(const char *small, uint32_t tasks, const char *urgent,
					  uint32_t stops)
{
	struct plansim *sim = plansim_create(NULL, 1);
	double spent_ms;

	sim->tick_ms = 500;
	sim->lasting_go_on = true;
	plansim_add_job(sim, "small", "batch", "b", small);
	plansim_run(sim, 2000);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "small."), tasks);
	plansim_add_job(sim, "u1", "urgent", "a", urgent);
	spent_ms = time_decision(sim);
	CU_ASSERT(spent_ms < LEASE_MS);
	plansim_run(sim, 1000);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "u1"), PLAN_JOB_RUNNING);
	CU_ASSERT_EQUAL(sim->stops, stops);
	if (spent_ms >= LEASE_MS || sim->stops != stops)
		printf("\n%.0f ms, %u stops\n", spent_ms, sim->stops);
	check_and_free(sim);
}

#define GANG                                                                                       \
	"[{\"tasks\":2,\"cpu_milli\":31000,\"accelerators\":4,\"gang\":true,\"estimate_ms\":9000}" \
	"]"

static void test_gang_beside_small_tasks(void)
{
	check_decision_on_small_tasks("[{\"tasks\":3000,\"cpu_milli\":40,\"estimate_ms\":600000}]",
				      3000, GANG, 1350);
}

static void test_small_tasks_beside_small_tasks(void)
{
	const char *steps = "[{\"tasks\":2000,\"cpu_milli\":64,\"estimate_ms\":600000}]";

	check_decision_on_small_tasks(steps, 2000, steps, 2000);
}

static void test_gang_beside_large_gang(void)
{
	check_decision_on_small_tasks("[{\"tasks\":2000,\"cpu_milli\":60,\"gang\":true,"
				      "\"estimate_ms\":600000}]",
				      2000, GANG, 2000);
}

static void test_gang_beside_lasting_tasks(void)
{
	check_decision_on_small_tasks("[{\"tasks\":1000,\"cpu_milli\":120,\"long_running\":true,"
				      "\"max_unavailable\":800,\"estimate_ms\":300}]",
				      1000, GANG, 450);
}

int main(void)
{
	CU_pSuite suite;

	if (CU_initialize_registry() != CUE_SUCCESS)
		return CU_get_error();
	suite = CU_add_suite("planevict", NULL, NULL);
	CU_add_test(suite, "cheapest_worker", test_cheapest_worker);
	CU_add_test(suite, "needless_victims", test_needless_victims);
	CU_add_test(suite, "broken_gang_keeps_room", test_broken_gang_keeps_room);
	CU_add_test(suite, "late_stop_beside_room", test_late_stop_beside_room);
	CU_add_test(suite, "protected_filler_gives_way", test_protected_filler_gives_way);
	CU_add_test(suite, "evicted_twice_at_most", test_evicted_twice_at_most);
	CU_add_test(suite, "gang_beside_small_tasks", test_gang_beside_small_tasks);
	CU_add_test(suite, "small_tasks_beside_small_tasks", test_small_tasks_beside_small_tasks);
	CU_add_test(suite, "gang_beside_large_gang", test_gang_beside_large_gang);
	CU_add_test(suite, "gang_beside_lasting_tasks", test_gang_beside_lasting_tasks);
	CU_basic_run_tests();
	return CU_get_number_of_failures() > 0;
}
