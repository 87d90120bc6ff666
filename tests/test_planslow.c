#include "lib_plansim.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>

/* Which tasks stand still, and which are only slow or long, on simulated time. */

#define MINUTE_MS 60000U
#define HOUR_MS (60 * MINUTE_MS)
#define STALL_MS 2500	      /* of the simulated plan */
#define REPORT_MS 200	      /* steps of the simulation and of this test */
#define LIST_MS 500	      /* between two lists while nothing ends */
#define SUSPECT_FIRST_MS 3000 /* a suspect worker gets no new tasks for this time */

static void add_job(struct plansim *sim, const char *id, double estimate_ms)
{
	char *steps = g_strdup_printf(
		"[{\"tasks\":1,\"cpu_milli\":128000,\"accelerators\":8,\"estimate_ms\":%u}]",
		(uint32_t)estimate_ms);

	plansim_add_job(sim, id, "batch", "b", steps);
	g_free(steps);
}

/* Returns the number of stops until the task is done, or until it has done five percent. */
static int count_stops(uint64_t work_ms, double error)
{
	struct plansim *sim = plansim_create(NULL, 3);
	int stops;

	sim->duration_factor = error;
	add_job(sim, "j1", (double)work_ms / error);
	plansim_run(sim, (uint32_t)(work_ms < MINUTE_MS ? 2 * work_ms : work_ms / 20));
	stops = (int)sim->stops;
	talloc_free(sim);
	return stops;
}

/*
 * Guards against a sound task that is stopped because its percent, a whole number, changes more
 * seldom than a task may stand still: each task of more than 200 s was, again and again.
 */
static void test_long_tasks(void)
{
	static const uint64_t works_ms[] = {1000,	 3000,	      10000,	  30000,
					    100000,	 200 * 1000,  600 * 1000, 2 * HOUR_MS,
					    8 * HOUR_MS, 24 * HOUR_MS};
	static const double errors[] = {0.1, 0.5, 1, 3, 10};

	for (size_t i = 0; i < G_N_ELEMENTS(works_ms); i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(errors); k++) {
			int stops = count_stops(works_ms[i], errors[k]);

			CU_ASSERT_EQUAL(stops, 0);
			if (stops)
				printf("%lu ms, %.1f times the estimate: %d stops\n",
				       (unsigned long)works_ms[i], errors[k], stops);
		}
	}
}

/* Guards against a task without a usable estimate that is stopped again and again. */
static void test_wrong_estimate(void)
{
	struct plansim *sim = plansim_create(NULL, 3);

	sim->duration_factor = 1000; /* 20 minutes, estimated as 1.2 s */
	add_job(sim, "j1", 1200);
	plansim_run(sim, 25 * MINUTE_MS);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_COMPLETED);
	CU_ASSERT(sim->stops <= 2);
	talloc_free(sim);
}

/* Time until a task is stopped whose worker stands still after a share of the work. */
static uint64_t time_to_find_ms(uint64_t work_ms, double share)
{
	struct plansim *sim = plansim_create(NULL, 1);
	uint64_t halted_ms;
	uint64_t found_ms;

	add_job(sim, "j1", (double)work_ms);
	plansim_run(sim, 100 + (uint32_t)(share * (double)work_ms));
	CU_ASSERT_EQUAL(sim->stops, 0);
	sim->workers[0].halted = true;
	halted_ms = sim->now_ms;
	while (sim->stops == 0 && sim->now_ms - halted_ms < 2 * work_ms + MINUTE_MS)
		plansim_run(sim, 100);
	found_ms = sim->stops ? sim->now_ms - halted_ms : UINT64_MAX;
	talloc_free(sim);
	return found_ms;
}

/*
 * Guards against tasks that stand still and are not found, or are found later than the time in
 * which a sound task shows progress asks for.
 */
static void test_time_to_find(void)
{
	static const uint64_t works_ms[] = {2000, 20000, 200000, 2 * HOUR_MS};

	for (size_t i = 0; i < G_N_ELEMENTS(works_ms); i++) {
		uint64_t work_ms = works_ms[i];
		uint64_t at_start_ms = time_to_find_ms(work_ms, 0.002);
		uint64_t later_ms = time_to_find_ms(work_ms, 0.1);

		/* Twenty percents of the estimate, then ten as the task has them. */
		CU_ASSERT(at_start_ms <= MAX(STALL_MS, work_ms / 5) + REPORT_MS);
		CU_ASSERT(later_ms <= MAX(STALL_MS, work_ms / 10) + REPORT_MS);
		printf("work %lu ms: found after %lu ms at the start, %lu ms later\n",
		       (unsigned long)work_ms, (unsigned long)at_start_ms, (unsigned long)later_ms);
	}
}

/* Guards against a time that wraps because a list was older than the one before. */
static void test_older_list(void)
{
	struct plansim *sim = plansim_create(NULL, 1);
	struct plan_run run = {.checkpoint = ""};

	add_job(sim, "j1", 20000);
	plansim_run(sim, 900);
	CU_ASSERT_EQUAL_FATAL(plansim_count_runs(sim, "j1."), 1);
	run.task = sim->runs[0].task;
	run.run = sim->runs[0].run;
	run.percent = 1 + (uint32_t)(sim->runs[0].work_done_ms / 200); /* of 20 s */
	plan_worker_running(sim->plan, sim->workers[0].node, &run, sim->now_ms - 500);
	plan_worker_list_end(sim->plan, sim->workers[0].node, true, sim->now_ms - 500);
	plansim_run(sim, 5000);
	CU_ASSERT_EQUAL(sim->stops, 0);
	talloc_free(sim);
}

/*
 * Guards against workers that are barred one after the other because of a task that stands still
 * on each of them.
 */
static void test_task_that_always_stands(void)
{
	struct plansim *sim = plansim_create(NULL, 3);

	sim->duration_factor = 100000; /* never shows a percent */
	add_job(sim, "j1", 1000);
	plansim_run(sim, 20 * MINUTE_MS);
	CU_ASSERT(sim->stops >= 3);
	plansim_run(sim, SUSPECT_FIRST_MS);
	sim->duration_factor = 1;
	add_job(sim, "k1", 1000);
	add_job(sim, "k2", 1000);
	plansim_run(sim, 1500);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "k1"), PLAN_JOB_COMPLETED);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "k2"), PLAN_JOB_COMPLETED);
	talloc_free(sim);
}

/* An urgent gang of two on two workers. */
static void add_urgent_gang(struct plansim *sim, const char *id, uint32_t estimate_ms)
{
	char *steps = g_strdup_printf("[{\"tasks\":2,\"cpu_milli\":8000,\"accelerators\":8,"
				      "\"gang\":true,\"estimate_ms\":%u}]",
				      estimate_ms);

	plansim_add_job(sim, id, "urgent", "a", steps);
	g_free(steps);
}

/* Guards against urgent gangs that are late because their stall is found after 2 s and more. */
static void test_urgent_gang_stalls(void)
{
	for (uint32_t begun = 0; begun <= 1000; begun += 500) {
		struct plansim *sim = plansim_create(NULL, 2);
		uint64_t halted_ms;

		sim->tick_ms = LIST_MS;
		add_urgent_gang(sim, "j1", 2500);
		plansim_run(sim, LIST_MS + begun);
		sim->workers[1].halted = true;
		sim->workers[0].halted = true;
		halted_ms = sim->now_ms;
		while (sim->stops == 0 && sim->now_ms < halted_ms + 5000)
			plansim_run(sim, LIST_MS);
		/* A list shows the progress, and two more that there is none. */
		CU_ASSERT(sim->now_ms - halted_ms <= 3 * LIST_MS);
		talloc_free(sim);
	}
}

/* Guards against sound urgent work that is stopped, also with estimates wrong by ten times. */
static void test_sound_urgent_work(void)
{
	static const uint32_t estimates_ms[] = {300, 1000, 2500, 6000, 20000};
	static const double errors[] = {0.1, 0.5, 1, 3, 10};
	static const uint32_t ticks_ms[] = {20, 100, LIST_MS};

	for (size_t i = 0; i < G_N_ELEMENTS(estimates_ms) * G_N_ELEMENTS(errors); i++) {
		double error = errors[i / G_N_ELEMENTS(estimates_ms)];
		uint32_t estimate_ms = estimates_ms[i % G_N_ELEMENTS(estimates_ms)];

		for (size_t k = 0; k < G_N_ELEMENTS(ticks_ms); k++) {
			struct plansim *sim = plansim_create(NULL, 2);

			sim->tick_ms = ticks_ms[k];
			sim->duration_factor = error;
			add_urgent_gang(sim, "j1", estimate_ms);
			plansim_run(sim, (uint32_t)(error * estimate_ms) + 2000);
			CU_ASSERT_EQUAL(sim->stops, 0);
			CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_COMPLETED);
			talloc_free(sim);
		}
	}
}

/* Guards against a stall that is concluded from lists that are late, or from a member that is. */
static void test_late_lists(void)
{
	struct plansim *sim = plansim_create(NULL, 2);

	sim->tick_ms = 100;
	add_urgent_gang(sim, "j1", 6000);
	plansim_run(sim, 100);
	sim->workers[1].reachable = false; /* its start is not carried out */
	plansim_run(sim, 2000);
	CU_ASSERT_EQUAL(sim->stops, 0);
	sim->workers[1].reachable = true;
	plansim_run(sim, 2000);
	for (uint32_t i = 0; i < 2; i++) {
		sim->workers[i].reachable = false;
		plansim_run(sim, 1800);
		sim->workers[i].reachable = true;
		plansim_run(sim, 200);
	}
	plansim_run(sim, 4000);
	CU_ASSERT_EQUAL(sim->stops, 0);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_COMPLETED);
	talloc_free(sim);
}

/* Guards against a slow worker's urgent task that is stopped as if it stood still. */
static void test_slow_is_not_still(void)
{
	struct plansim *sim = plansim_create(NULL, 2);

	sim->tick_ms = 100;
	sim->workers[0].slowdown = 6;
	sim->workers[1].slowdown = 6;
	add_urgent_gang(sim, "j1", 2500);
	plansim_run(sim, 16000);
	CU_ASSERT_EQUAL(sim->stops, 0);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_COMPLETED);
	talloc_free(sim);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("planslow", NULL, NULL);
	CU_add_test(suite, "long_tasks", test_long_tasks);
	CU_add_test(suite, "wrong_estimate", test_wrong_estimate);
	CU_add_test(suite, "time_to_find", test_time_to_find);
	CU_add_test(suite, "older_list", test_older_list);
	CU_add_test(suite, "task_that_always_stands", test_task_that_always_stands);
	CU_add_test(suite, "urgent_gang_stalls", test_urgent_gang_stalls);
	CU_add_test(suite, "sound_urgent_work", test_sound_urgent_work);
	CU_add_test(suite, "late_lists", test_late_lists);
	CU_add_test(suite, "slow_is_not_still", test_slow_is_not_still);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
