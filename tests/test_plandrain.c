#include "lib_plansim.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>

/* What happens to the work on workers that leave at short notice, on simulated time. */

#define STOP_MS 900 /* of the deployment with the shorter time after a stop */
#define NOTICE_MS 2000
#define ORDER_MS 300 /* a stop has to be over this long before its worker leaves */

static struct plansim *create_sim(uint32_t workers)
{
	struct plansim *sim = plansim_create_with_stops(NULL, workers, STOP_MS);

	sim->saves = true;
	return sim;
}

static void add_job(struct plansim *sim, const char *id, const char *queue, uint32_t tasks,
		    uint32_t estimate_ms, const char *more)
{
	char *steps = g_strdup_printf("[{\"tasks\":%u,\"cpu_milli\":8000,\"accelerators\":4,"
				      "\"estimate_ms\":%u%s}]",
				      tasks, estimate_ms, more);

	plansim_add_job(sim, id, queue, "b", steps);
	g_free(steps);
}

/* Index of the worker that runs a task. */
static uint32_t worker_of(const struct plansim *sim, const char *task)
{
	for (uint32_t i = 0; i < sim->run_count; i++) {
		if (sim->runs[i].present && g_str_has_prefix(sim->runs[i].task, task))
			return sim->runs[i].worker;
	}
	CU_FAIL("the task runs nowhere");
	return 0;
}

/* Notes the latest end by a stop. */
static void note_stop(struct plansim *sim, const struct sim_end *end, void *ctx)
{
	if (end->how == PLAN_END_STOPPED)
		*(uint64_t *)ctx = sim->now_ms;
}

/* Guards against stops of work that would have ended before its worker leaves. */
static void test_ends_in_time(void)
{
	static const char *const queues[] = {"urgent", "batch"};

	for (size_t i = 0; i < G_N_ELEMENTS(queues); i++) {
		struct plansim *sim = create_sim(3);

		add_job(sim, "j1", queues[i], 1, 2500, "");
		add_job(sim, "g1", queues[i], 2, 2500, ",\"gang\":true");
		plansim_run(sim, 1000);
		plansim_give_notice(sim, worker_of(sim, "j1."), NOTICE_MS);
		plansim_give_notice(sim, worker_of(sim, "g1."), NOTICE_MS);
		plansim_run(sim, 2000);
		CU_ASSERT_EQUAL(sim->stops, 0);
		CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_COMPLETED);
		CU_ASSERT_EQUAL(plansim_job_state(sim, "g1"), PLAN_JOB_COMPLETED);
		talloc_free(sim);
	}
}

/*
 * Guards against a stop of a gang that would have ended in time, because the time in which its
 * first members waited for the last one is taken for time of its work.
 */
static void test_late_member_ends_in_time(void)
{
	struct plansim *sim = create_sim(4);

	sim->workers[2].draining = true;
	sim->workers[3].draining = true;
	plansim_run(sim, 100);
	plansim_add_job(sim, "g1", "batch", "b",
			"[{\"tasks\":2,\"cpu_milli\":8000,\"accelerators\":8,\"gang\":true,"
			"\"estimate_ms\":3000}]");
	sim->workers[1].reachable = false; /* its start is not carried out */
	plansim_run(sim, 2000);
	CU_ASSERT_EQUAL_FATAL(plansim_count_runs(sim, "g1."), 1);
	sim->workers[1].reachable = true;
	sim->workers[2].draining = false;
	sim->workers[3].draining = false;
	plansim_run(sim, 1500);
	plansim_give_notice(sim, 0, NOTICE_MS);
	plansim_run(sim, NOTICE_MS);
	CU_ASSERT_EQUAL(sim->stops, 0);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "g1"), PLAN_JOB_COMPLETED);
	talloc_free(sim);
}

/*
 * Guards against a stop of a run that would have ended in time, because a new leader expects it to
 * begin when it hears of it.
 */
static void test_new_leader(void)
{
	struct plansim *sim = create_sim(3);

	add_job(sim, "j1", "batch", 1, 5000, "");
	plansim_run(sim, 4000);
	plansim_restart_leader(sim, false);
	plansim_give_notice(sim, worker_of(sim, "j1."), NOTICE_MS);
	plansim_run(sim, 50);
	plan_recovery_done(sim->plan);
	plansim_run(sim, 1500);
	CU_ASSERT_EQUAL(sim->stops, 0);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_COMPLETED);
	talloc_free(sim);
}

/* Guards against stops of what still runs on a worker that stays longer than it has said. */
static void test_time_is_over(void)
{
	struct plansim *sim = create_sim(2);

	sim->workers[1].draining = true;
	plansim_run(sim, 100);
	add_job(sim, "j1", "batch", 1, 20000, "");
	plansim_run(sim, 100);
	plansim_give_notice(sim, 0, NOTICE_MS);
	sim->workers[0].stays = true;
	plansim_run(sim, NOTICE_MS + 100);
	sim->workers[1].draining = false;
	plansim_run(sim, 20000);
	CU_ASSERT_EQUAL(sim->stops, 0);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_COMPLETED);
	talloc_free(sim);
}

/* Guards against work of a task with checkpoints that is lost with its worker. */
static void test_saves_in_time(void)
{
	struct plansim *sim = create_sim(2);
	uint64_t stopped_ms = 0;
	uint64_t leaves_ms;

	sim->on_end = note_stop;
	sim->hook_ctx = &stopped_ms;
	add_job(sim, "j1", "batch", 1, 8000, ",\"checkpoints\":true");
	plansim_run(sim, 1000);
	leaves_ms = sim->now_ms + NOTICE_MS;
	plansim_give_notice(sim, worker_of(sim, "j1."), NOTICE_MS);
	plansim_run(sim, 300);
	CU_ASSERT_EQUAL(sim->stops, 0); /* there is time to go on */
	plansim_run(sim, NOTICE_MS - 300);
	CU_ASSERT_EQUAL(sim->stops, 1);
	CU_ASSERT(stopped_ms > 0 && stopped_ms + ORDER_MS <= leaves_ms);
	CU_ASSERT(sim->lost_work_ms < 1);
	plansim_run(sim, 8000);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_COMPLETED);
	CU_ASSERT_PTR_NULL(sim->violation);
	talloc_free(sim);
}

/* Guards against a run that is lost in 2 s but goes on while another worker is free. */
static void test_moved_at_once(void)
{
	static const char *const kinds[] = {"", ",\"gang\":true",
					    ",\"gang\":true,\"checkpoints\":true"};

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		struct plansim *sim = create_sim(6);

		add_job(sim, "j1", "large", 2, 7000, kinds[i]);
		plansim_run(sim, 1000);
		plansim_give_notice(sim, worker_of(sim, "j1.0.0.0"), NOTICE_MS);
		plansim_run(sim, 50);
		CU_ASSERT(sim->stops >= 1);
		plansim_run(sim, STOP_MS + 200);
		CU_ASSERT_EQUAL(plansim_count_runs(sim, "j1."), 2);
		plansim_run(sim, 8000);
		CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_COMPLETED);
		talloc_free(sim);
	}
}

/* Guards against a stop that gives up the work of a task for which there is no room elsewhere. */
static void test_no_room_elsewhere(void)
{
	struct plansim *sim = create_sim(2);

	add_job(sim, "j1", "batch", 4, 4000, "");
	sim->duration_factor = 0.6; /* its estimate is too long */
	plansim_run(sim, 500);
	plansim_give_notice(sim, 0, NOTICE_MS);
	plansim_run(sim, NOTICE_MS + 500);
	CU_ASSERT_EQUAL(sim->stops, 0);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_COMPLETED);
	talloc_free(sim);
}

/* Guards against two tasks that are both stopped for the room of one. */
static void test_room_for_one(void)
{
	struct plansim *sim = create_sim(3);

	add_job(sim, "k1", "batch", 4, 20000, "");
	plansim_run(sim, 100);
	add_job(sim, "k2", "batch", 1, 20000, "");
	plansim_run(sim, 100);
	plansim_give_notice(sim, 0, NOTICE_MS);
	plansim_run(sim, 1500);
	CU_ASSERT_EQUAL(sim->stops, 1);
	talloc_free(sim);
}

/* Guards against a drain without a notice that is handled otherwise than before. */
static void test_no_notice(void)
{
	struct plansim *sim = create_sim(2);

	add_job(sim, "j1", "batch", 4, 5000, ",\"checkpoints\":true");
	plansim_run(sim, 500);
	sim->workers[0].draining = true;
	plansim_run(sim, 6000);
	CU_ASSERT_EQUAL(sim->stops, 0);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_COMPLETED);
	talloc_free(sim);
}

/* Adds a job of a random queue, size and kind. */
static void add_random_job(struct plansim *sim, GRand *rand, uint32_t number)
{
	static const char *const queues[] = {"urgent", "large", "batch"};
	static const char *const kinds[] = {"", ",\"checkpoints\":true", ",\"gang\":true",
					    ",\"gang\":true,\"checkpoints\":true"};
	static const double errors[] = {0.1, 0.5, 1, 1, 1, 3, 10};
	char id[16];

	snprintf(id, sizeof(id), "j%u", number);
	add_job(sim, id, queues[g_rand_int_range(rand, 0, 3)],
		(uint32_t)g_rand_int_range(rand, 1, 6), (uint32_t)g_rand_int_range(rand, 500, 8000),
		kinds[g_rand_int_range(rand, 0, 4)]);
	sim->jobs[number].duration_factor = errors[g_rand_int_range(rand, 0, 7)];
}

/*
 * Guards, in random worlds where 14% of the workers leave every 10 s, against saved work that is
 * lost, work that is never done, and starts on workers that leave.
 */
static void test_random_worlds(void)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		struct plansim *sim = create_sim(14);
		GRand *rand = g_rand_new_with_seed(seed);
		uint32_t jobs = 0;

		sim->tick_ms = 50;
		sim->end_repeat_ms = 200;
		for (uint32_t second = 0; second < 40; second++) {
			add_random_job(sim, rand, jobs++);
			for (uint32_t i = 0; second % 10 == 5 && i < 2; i++)
				plansim_give_notice(sim, (second / 10 * 2 + i) % 14, NOTICE_MS);
			for (uint32_t i = 0; second % 10 == 9 && i < 2; i++)
				plansim_add_worker(sim, (second / 10 * 2 + i) % 14);
			plansim_run(sim, 1000);
		}
		plansim_run(sim, 200000);
		for (uint32_t i = 0; i < jobs; i++)
			CU_ASSERT_EQUAL(plansim_job_state(sim, sim->jobs[i].id),
					PLAN_JOB_COMPLETED);
		CU_ASSERT_PTR_NULL(sim->violation);
		if (sim->violation)
			printf("seed %u: %s: %s\n", seed, sim->violation, sim->violation_task);
		g_rand_free(rand);
		talloc_free(sim);
	}
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("plandrain", NULL, NULL);
	CU_add_test(suite, "ends_in_time", test_ends_in_time);
	CU_add_test(suite, "late_member_ends_in_time", test_late_member_ends_in_time);
	CU_add_test(suite, "new_leader", test_new_leader);
	CU_add_test(suite, "time_is_over", test_time_is_over);
	CU_add_test(suite, "saves_in_time", test_saves_in_time);
	CU_add_test(suite, "moved_at_once", test_moved_at_once);
	CU_add_test(suite, "no_room_elsewhere", test_no_room_elsewhere);
	CU_add_test(suite, "room_for_one", test_room_for_one);
	CU_add_test(suite, "no_notice", test_no_notice);
	CU_add_test(suite, "random_worlds", test_random_worlds);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
