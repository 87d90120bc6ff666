#include "lib_plansim.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

/* Weighted max-min shares between organisations with waiting jobs. */

#define WORKERS 4
#define ACCELERATORS 8 /* of a worker */
#define ORGANISATIONS 5

static struct plansim *create_world(uint32_t workers)
{
	static const char *const names[ORGANISATIONS] = {"o0", "o1", "o2", "o3", "o4"};
	struct plansim *sim = plansim_create(NULL, workers);
	struct fleetconf_organisation *rows =
		talloc_zero_array(sim, struct fleetconf_organisation, ORGANISATIONS);

	for (int i = 0; i < ORGANISATIONS; i++)
		rows[i].name = names[i];
	sim->conf.organisations = rows;
	sim->conf.organisation_count = ORGANISATIONS;
	/* No job is late, so jobs of one priority have one rank. */
	for (int i = 0; i < 3; i++)
		sim->queues[i].allowance_ms = 600000;
	sim->conf.version++;
	plan_configure(sim->plan, &sim->conf);
	plansim_run(sim, 50);
	return sim;
}

static void add_tasks(struct plansim *sim, const char *id, const char *queue,
		      const char *organisation, uint32_t tasks, uint32_t accelerators,
		      uint32_t estimate_ms)
{
	char *steps = talloc_asprintf(sim,
				      "[{\"tasks\":%u,\"cpu_milli\":1000,\"memory_mb\":1000,"
				      "\"accelerators\":%u,\"estimate_ms\":%u}]",
				      tasks, accelerators, estimate_ms);

	plansim_add_job(sim, id, queue, organisation, steps);
	talloc_free(steps);
}

static void finish(struct plansim *sim)
{
	if (sim->violation)
		printf("\n%s: %s\n", sim->violation_task, sim->violation);
	CU_ASSERT_PTR_NULL(sim->violation);
	talloc_free(sim);
}

/* Guards against a small organisation that waits for all earlier jobs of a large one. */
static void test_small_comes_before_large(void)
{
	struct plansim *sim = create_world(WORKERS);

	for (int i = 0; i < 12; i++) {
		char id[16];

		snprintf(id, sizeof(id), "l%d", i);
		add_tasks(sim, id, "batch", "o0", 16, 1, 1000);
	}
	plansim_run(sim, 300);
	add_tasks(sim, "s", "batch", "o1", 8, 1, 1000);
	plansim_run(sim, 300);
	CU_ASSERT_TRUE(plan_share_excess(sim->plan, "o0") > 0);
	CU_ASSERT_EQUAL(plan_share_excess(sim->plan, "o1"), 0);
	CU_ASSERT_STRING_EQUAL(plan_share_peak(sim->plan).organisation, "o0");
	CU_ASSERT_PTR_NOT_NULL(
		strstr(plan_explain_job(sim->plan, sim, "l11"), "more than its fair share"));
	CU_ASSERT_PTR_NULL(strstr(plan_explain_job(sim->plan, sim, "s"), "fair share"));
	plansim_run(sim, 700);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "s."), 8);
	finish(sim);
}

/* Guards against shares by weight that are not followed: three quarters of the room are o0's. */
static void test_weights_divide_the_room(void)
{
	struct plansim *sim = create_world(WORKERS);

	sim->conf.organisations[0].guaranteed_accelerators = 12;
	sim->conf.organisations[1].guaranteed_accelerators = 4;
	sim->conf.version++;
	for (int i = 0; i < 40; i++) {
		char id[16];

		snprintf(id, sizeof(id), "b%d", i);
		add_tasks(sim, id, "batch", "o1", 4, 1, 1000);
		snprintf(id, sizeof(id), "a%d", i);
		add_tasks(sim, id, "batch", "o0", 4, 1, 1000);
	}
	plansim_run(sim, 3500);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "a"), 24);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "b"), 8);
	finish(sim);
}

/* Guards against a share that changes the order of priorities, or of one organisation's jobs. */
static void test_priority_comes_before_share(void)
{
	struct plansim *sim = create_world(WORKERS);

	add_tasks(sim, "l0", "large", "o0", WORKERS * ACCELERATORS, 1, 1000);
	plansim_run(sim, 300);
	add_tasks(sim, "s", "batch", "o1", 8, 1, 1000);
	add_tasks(sim, "l1", "large", "o0", WORKERS * ACCELERATORS, 1, 1000);
	plansim_run(sim, 1000);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "l1."), WORKERS * ACCELERATORS);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "s."), 0);
	finish(sim);
}

/* Guards against an organisation that pays for what it used while others had no jobs. */
static void test_no_debt(void)
{
	struct plansim *sim = create_world(WORKERS);

	add_tasks(sim, "x", "batch", "o0", 3 * WORKERS * ACCELERATORS, 1, 1000);
	plansim_run(sim, 3300);
	CU_ASSERT_EQUAL(plan_share_excess(sim->plan, "o0"), 0);
	for (int i = 0; i < 8; i++) {
		char id[16];

		snprintf(id, sizeof(id), "b%d", i);
		add_tasks(sim, id, "batch", "o1", 8, 1, 1000);
		snprintf(id, sizeof(id), "a%d", i);
		add_tasks(sim, id, "batch", "o0", 8, 1, 1000);
	}
	plansim_run(sim, 300);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "a"), WORKERS * ACCELERATORS / 2);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "b"), WORKERS * ACCELERATORS / 2);
	finish(sim);
}

/* Guards against room left free because the organisation that could use it is above its share. */
static void test_room_is_not_left_free(void)
{
	struct plansim *sim = create_world(WORKERS);

	add_tasks(sim, "a", "batch", "o0", 100, 1, 1000);
	/* No worker is that large. */
	add_tasks(sim, "b", "batch", "o1", 1, ACCELERATORS + 1, 1000);
	plansim_run(sim, 200);
	CU_ASSERT_EQUAL(plansim_count_runs(sim, "a."), WORKERS * ACCELERATORS);
	finish(sim);
}

/* What an organisation has at work, asks for and could start, by the simulation's own state. */
struct need {
	double weight;
	double used;
	double asked;
	double smallest; /* of its tasks that wait; 0: none waits */
	double started;	 /* in this tick */
	double largest;	 /* task started in this tick */
};

struct oracle {
	struct need before[ORGANISATIONS]; /* at the end of the tick before */
	uint32_t tasks[SIM_JOBS_MAX];
	uint32_t accelerators[SIM_JOBS_MAX];
	uint32_t seed;
	uint32_t checks; /* starts above the share, each compared with all others */
	uint32_t failures;
};

static uint32_t count_tasks(const struct plansim *sim, const char *job, uint64_t began_ms,
			    bool done)
{
	size_t length = strlen(job);
	uint32_t count = 0;

	for (uint32_t i = 0; done && i < sim->done_count; i++)
		count += !strncmp(sim->done_tasks[i], job, length) &&
			 sim->done_tasks[i][length] == '.';
	for (uint32_t i = 0; !done && i < sim->run_count; i++)
		count += sim->runs[i].present && sim->runs[i].began_ms >= began_ms &&
			 !strncmp(sim->runs[i].task, job, length) &&
			 sim->runs[i].task[length] == '.';
	return count;
}

static void observe(const struct plansim *sim, const struct oracle *oracle, struct need *needs)
{
	for (uint32_t i = 0; i < sim->job_count; i++) {
		const struct sim_job *job = &sim->jobs[i];
		struct need *need = &needs[job->organisation[1] - '0'];
		uint32_t left = oracle->tasks[i] - count_tasks(sim, job->id, 0, true);
		uint32_t running = count_tasks(sim, job->id, 0, false);
		uint32_t started = count_tasks(sim, job->id, sim->now_ms, false);
		double size = oracle->accelerators[i];

		need->asked += left * size;
		need->used += running * size;
		need->started += started * size;
		if (started > 0)
			need->largest = MAX(need->largest, size);
		if (left > running && (need->smallest == 0 || size < need->smallest))
			need->smallest = size;
	}
	for (int i = 0; i < ORGANISATIONS; i++)
		needs[i].weight = MAX(1, sim->conf.organisations[i].guaranteed_accelerators);
}

/* Room for each unit of weight, found by bisection; INFINITY if there is enough for all. */
static double find_level(const struct plansim *sim, const struct need *needs)
{
	double room = sim->worker_count * ACCELERATORS;
	double low = 0;
	double high = room;
	double asked = 0;

	for (int i = 0; i < ORGANISATIONS; i++) {
		asked += needs[i].smallest > 0 ? needs[i].asked : 0;
		room -= needs[i].smallest > 0 ? 0 : needs[i].used;
	}
	if (asked <= room)
		return INFINITY;
	for (int round = 0; round < 60; round++) {
		double level = (low + high) / 2;
		double sum = 0;

		for (int i = 0; i < ORGANISATIONS; i++)
			sum += needs[i].smallest > 0 ? MIN(needs[i].asked, needs[i].weight * level)
						     : 0;
		if (sum > room)
			high = level;
		else
			low = level;
	}
	return low;
}

/*
 * Nobody starts a task that takes it above its share while one waits that asks for no more than
 * its share and has a task of at most that size. Shares before and after the tick are both tried,
 * because the plan hears of submissions and ends between them.
 */
static void check_tick(struct plansim *sim, void *ctx)
{
	struct oracle *oracle = ctx;
	struct need now[ORGANISATIONS] = {0};
	double level = find_level(sim, oracle->before);
	double lower_level;

	observe(sim, oracle, now);
	lower_level = MIN(level, find_level(sim, now));
	level = MAX(level, find_level(sim, now));
	for (int i = 0; i < ORGANISATIONS; i++) {
		const struct need *above = &oracle->before[i];
		double used = MIN(above->used + now[i].started, now[i].used);

		if (now[i].started == 0 || used <= above->weight * level * 1.001)
			continue;
		oracle->checks++;
		for (int k = 0; k < ORGANISATIONS; k++) {
			const struct need *below = &oracle->before[k];

			if (k == i || below->smallest == 0 || now[k].smallest == 0 ||
			    below->asked > below->weight * lower_level * 0.999 ||
			    MAX(below->smallest, now[k].smallest) > now[i].largest)
				continue;
			oracle->failures++;
			printf("\nseed %u at %u ms: o%d starts above its share, o%d waits",
			       oracle->seed, (unsigned int)sim->now_ms, i, k);
		}
	}
	memcpy(oracle->before, now, sizeof(now));
}

static uint32_t check_random_world(uint32_t seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	struct plansim *sim = create_world((uint32_t)g_rand_int_range(rand, 2, 8));
	struct oracle oracle = {.seed = seed};

	for (int i = 0; i < ORGANISATIONS; i++)
		sim->conf.organisations[i].guaranteed_accelerators =
			(uint32_t)g_rand_int_range(rand, 0, 12);
	sim->conf.version++;
	sim->after_tick = check_tick;
	sim->hook_ctx = &oracle;
	for (int i = 0; i < 60; i++) {
		/* Half of the jobs are of one organisation, so some are above their share. */
		int number = g_rand_boolean(rand) ? 0 : g_rand_int_range(rand, 1, ORGANISATIONS);
		char organisation[8];
		char id[16];

		snprintf(organisation, sizeof(organisation), "o%d", number);
		snprintf(id, sizeof(id), "j%d", i);
		oracle.tasks[i] = (uint32_t)g_rand_int_range(rand, 1, number == 0 ? 12 : 4);
		oracle.accelerators[i] = (uint32_t)g_rand_int_range(rand, 1, 5);
		add_tasks(sim, id, "batch", organisation, oracle.tasks[i], oracle.accelerators[i],
			  (uint32_t)g_rand_int_range(rand, 200, 1200));
		plansim_run(sim, (uint32_t)g_rand_int_range(rand, 10, 150));
	}
	plansim_run(sim, 3000);
	CU_ASSERT_EQUAL(oracle.failures, 0);
	g_rand_free(rand);
	finish(sim);
	return oracle.checks;
}

/* Guards against an organisation that waits below its share behind one above it. */
static void test_random_worlds(void)
{
	uint32_t checks = 0;

	for (uint32_t seed = 1; seed <= 40; seed++)
		checks += check_random_world(seed);
	/* The worlds do have organisations that start above their shares. */
	CU_ASSERT_TRUE(checks > 1000);
}

int main(void)
{
	static const struct {
		const char *name;
		CU_TestFunc run;
	} tests[] = {
		{"small_comes_before_large", test_small_comes_before_large},
		{"weights_divide_the_room", test_weights_divide_the_room},
		{"priority_comes_before_share", test_priority_comes_before_share},
		{"no_debt", test_no_debt},
		{"room_is_not_left_free", test_room_is_not_left_free},
		{"random_worlds", test_random_worlds},
	};
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("planshare", NULL, NULL);
	for (size_t i = 0; i < sizeof(tests) / sizeof(tests[0]); i++)
		CU_add_test(suite, tests[i].name, tests[i].run);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
