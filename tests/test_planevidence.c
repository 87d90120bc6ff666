#include "lib_plansim.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

/* Which workers get urgent work while some let tasks stand still or fail, on simulated time. */

#define LIST_MS 100
#define GANG_MS 2000

struct judgement {
	uint32_t suspected[SIM_WORKERS_MAX]; /* times */
	bool is_suspected[SIM_WORKERS_MAX];
};

static void on_evidence(const char *node, bool suspected, enum plan_evidence latest, double weight,
			void *ctx)
{
	struct judgement *judgement = ctx;
	unsigned int index = 0;

	sscanf(node, "w%u", &index);
	judgement->suspected[index] += suspected;
	judgement->is_suspected[index] = suspected;
}

static struct plansim *create_sim(uint32_t workers, struct judgement *judgement)
{
	struct plansim *sim = plansim_create(NULL, workers);

	memset(judgement, 0, sizeof(*judgement));
	sim->tick_ms = LIST_MS;
	sim->end_repeat_ms = 2 * LIST_MS;
	plan_on_evidence(sim->plan, on_evidence, judgement);
	return sim;
}

static void add_job(struct plansim *sim, const char *queue, uint32_t tasks, bool gang,
		    uint32_t accelerators)
{
	char *steps = g_strdup_printf("[{\"tasks\":%u,\"cpu_milli\":8000,\"accelerators\":%u,"
				      "\"estimate_ms\":%u%s}]",
				      tasks, accelerators, GANG_MS, gang ? ",\"gang\":true" : "");
	char id[16];

	snprintf(id, sizeof(id), "j%u", sim->job_count);
	plansim_add_job(sim, id, queue, "b", steps);
	g_free(steps);
}

static uint32_t count_runs_on(const struct plansim *sim, uint32_t worker)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < sim->run_count; i++)
		count += sim->runs[i].present && sim->runs[i].worker == worker;
	return count;
}

/*
 * Guards against gangs that restart on the worker that let them stand still: each gang has members
 * on several workers, of which only one is faulty.
 */
static void test_stalled_gangs_reveal_worker(void)
{
	struct judgement judgement;
	struct plansim *sim = create_sim(12, &judgement);

	sim->workers[4].stall_percent = 100;
	for (uint32_t i = 0; i < 3; i++)
		add_job(sim, "urgent", 3, true, 8);
	plansim_run(sim, LIST_MS);
	CU_ASSERT_EQUAL(count_runs_on(sim, 4), 1);
	plansim_run(sim, 1400);
	/* The gang was moved to other workers, and so go the next ones. */
	for (uint32_t i = 0; i < 20; i++) {
		CU_ASSERT_EQUAL(count_runs_on(sim, 4), 0);
		if (i == 10)
			add_job(sim, "urgent", 3, true, 8);
		plansim_run(sim, LIST_MS);
	}
	plansim_run(sim, 2000);
	for (uint32_t i = 0; i < sim->job_count; i++)
		CU_ASSERT_EQUAL(plansim_job_state(sim, sim->jobs[i].id), PLAN_JOB_COMPLETED);
	CU_ASSERT_PTR_NULL(sim->violation);
	talloc_free(sim);
}

/* Guards against a sound worker that is suspected because of gangs that stalled elsewhere. */
static void test_common_worker(void)
{
	struct judgement judgement;
	struct plansim *sim = create_sim(5, &judgement);

	/* The gang runs on workers 0 to 2 first, then on 0, 3 and 4. */
	sim->workers[0].stall_percent = 100;
	sim->workers[3].draining = true;
	sim->workers[4].draining = true;
	add_job(sim, "urgent", 3, true, 8);
	plansim_run(sim, 300);
	sim->workers[1].draining = true;
	sim->workers[2].draining = true;
	sim->workers[3].draining = false;
	sim->workers[4].draining = false;
	plansim_run(sim, 4500);
	CU_ASSERT(judgement.suspected[0] >= 1);
	for (uint32_t i = 1; i < 5; i++)
		CU_ASSERT_EQUAL(judgement.suspected[i], 0);
	talloc_free(sim);
}

/* Guards against a preference that bars: a suspected worker is better than none. */
static void test_suspected_is_used(void)
{
	struct judgement judgement;
	struct plansim *sim = create_sim(2, &judgement);

	sim->workers[0].stall_percent = 100;
	sim->workers[1].stall_percent = 100;
	add_job(sim, "urgent", 2, true, 8);
	plansim_run(sim, 1500);
	sim->workers[0].stall_percent = 0;
	sim->workers[1].stall_percent = 0;
	sim->workers[0].stall_sum = 0;
	sim->workers[1].stall_sum = 0;
	plansim_run(sim, 4500);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j0"), PLAN_JOB_COMPLETED);
	talloc_free(sim);
}

/* Guards against a worker that stays suspected after it has recovered. */
static void test_recovery(void)
{
	struct judgement judgement;
	struct plansim *sim = create_sim(2, &judgement);
	uint64_t recovered_ms;

	sim->workers[0].stall_percent = 100;
	sim->workers[1].stall_percent = 100;
	add_job(sim, "urgent", 1, false, 4);
	plansim_run(sim, 1500);
	sim->workers[0].stall_percent = 0;
	sim->workers[1].stall_percent = 0;
	CU_ASSERT(judgement.is_suspected[0] || judgement.is_suspected[1]);
	recovered_ms = sim->now_ms;
	while ((judgement.is_suspected[0] || judgement.is_suspected[1]) &&
	       sim->now_ms < recovered_ms + 20000)
		plansim_run(sim, LIST_MS);
	printf("cleared %lu ms after the recovery\n", (unsigned long)(sim->now_ms - recovered_ms));
	CU_ASSERT(sim->now_ms - recovered_ms <= 8000);
	talloc_free(sim);
}

/* Guards against workers that are suspected for a job that can never succeed. */
static void test_failing_job(void)
{
	struct judgement judgement;
	struct plansim *sim = create_sim(3, &judgement);

	for (uint32_t i = 0; i < 3; i++)
		sim->workers[i].fails = true;
	add_job(sim, "batch", 1, false, 1);
	plansim_run(sim, 500);
	for (uint32_t i = 0; i < 3; i++) {
		sim->workers[i].fails = false;
		CU_ASSERT_EQUAL(judgement.suspected[i], 0);
	}
	talloc_free(sim);
}

/*
 * Guards against sound workers that are suspected after a change of leader: the new leader sees
 * only the last part of a run that it has taken over, and the next runs of the step take longer.
 */
static void test_new_leader(void)
{
	struct judgement judgement;
	struct plansim *sim = create_sim(2, &judgement);

	add_job(sim, "batch", 4, false, 8);
	plansim_run(sim, GANG_MS - 2 * LIST_MS);
	plansim_restart_leader(sim, false);
	plan_on_evidence(sim->plan, on_evidence, &judgement);
	plansim_run(sim, LIST_MS);
	plan_recovery_done(sim->plan);
	plansim_run(sim, 2 * GANG_MS);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j0"), PLAN_JOB_COMPLETED);
	CU_ASSERT_EQUAL(judgement.suspected[0], 0);
	CU_ASSERT_EQUAL(judgement.suspected[1], 0);
	talloc_free(sim);
}

/* Guards against a worker that one bad health answer, or wrong ones beside good runs, exclude. */
static void test_health(void)
{
	struct judgement judgement;
	struct plansim *sim = create_sim(2, &judgement);

	sim->workers[0].health_bad = 1;
	plansim_run(sim, 1000);
	CU_ASSERT_FALSE(judgement.is_suspected[0]);
	for (uint32_t second = 0; second < 8; second++) {
		sim->workers[0].health_bad++;
		sim->workers[1].health_good++;
		plansim_run(sim, 1000);
	}
	CU_ASSERT_TRUE(judgement.is_suspected[0]);
	CU_ASSERT_FALSE(judgement.is_suspected[1]);
	add_job(sim, "urgent", 1, false, 4);
	plansim_run(sim, 500);
	CU_ASSERT_EQUAL(count_runs_on(sim, 0), 0);
	add_job(sim, "urgent", 2, true, 8); /* there is no other worker */
	plansim_run(sim, 5000);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_COMPLETED);
	CU_ASSERT_FALSE(judgement.is_suspected[0]); /* the run was proof, though answers are bad */
	CU_ASSERT_EQUAL(sim->stops, 0);
	talloc_free(sim);
}

/* Notes a stop of a sound run whose gang is sound too. */
static void note_unsound_stops(struct plansim *sim, void *ctx)
{
	for (uint32_t i = 0; i < sim->run_count; i++) {
		const struct sim_run *run = &sim->runs[i];
		size_t len = strlen(run->task) - strlen(strrchr(run->task, '.'));
		bool stalled = false;

		if (!run->present || !run->stopping || run->began_ms != sim->now_ms)
			continue;
		for (uint32_t k = 0; k < sim->run_count; k++) {
			const struct sim_run *other = &sim->runs[k];

			stalled = stalled ||
				  (other->present && other->stalled && other->run == run->run &&
				   !strncmp(other->task, run->task, len + 1));
		}
		*(uint32_t *)ctx += !stalled;
	}
}

struct outcome {
	uint32_t unsound_stops;
	uint32_t unfinished;
};

/* Urgent jobs while a seventh of 28 workers lets 45% of its tasks stand still. */
static struct outcome play_stalls(uint32_t seed)
{
	struct judgement judgement;
	struct plansim *sim = create_sim(28, &judgement);
	GRand *rand = g_rand_new_with_seed(seed);
	struct outcome outcome = {0};

	sim->after_tick = note_unsound_stops;
	sim->hook_ctx = &outcome.unsound_stops;
	for (uint32_t i = 0; i < 4; i++)
		sim->workers[(seed + 7 * i) % 28].stall_percent = 45;
	for (uint32_t i = 0; i < 40; i++) {
		static const double errors[] = {0.1, 0.5, 1, 1, 3, 10};

		add_job(sim, "urgent", (uint32_t)g_rand_int_range(rand, 1, 6), g_rand_boolean(rand),
			(uint32_t)g_rand_int_range(rand, 1, 9));
		sim->jobs[i].duration_factor = errors[g_rand_int_range(rand, 0, 6)];
		plansim_run(sim, 700);
	}
	for (uint32_t i = 0; i < 4; i++)
		sim->workers[(seed + 7 * i) % 28].stall_percent = 0;
	plansim_run(sim, 60000);
	for (uint32_t i = 0; i < 40; i++)
		outcome.unfinished += plansim_job_state(sim, sim->jobs[i].id) != PLAN_JOB_COMPLETED;
	CU_ASSERT_PTR_NULL(sim->violation);
	g_rand_free(rand);
	talloc_free(sim);
	return outcome;
}

/* Guards, in random worlds, against stops of sound work and work that is never done. */
static void test_random_worlds(void)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		struct outcome outcome = play_stalls(seed);

		CU_ASSERT_EQUAL(outcome.unsound_stops, 0);
		CU_ASSERT_EQUAL(outcome.unfinished, 0);
	}
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("planevidence", NULL, NULL);
	CU_add_test(suite, "stalled_gangs_reveal_worker", test_stalled_gangs_reveal_worker);
	CU_add_test(suite, "common_worker", test_common_worker);
	CU_add_test(suite, "suspected_is_used", test_suspected_is_used);
	CU_add_test(suite, "recovery", test_recovery);
	CU_add_test(suite, "failing_job", test_failing_job);
	CU_add_test(suite, "new_leader", test_new_leader);
	CU_add_test(suite, "health", test_health);
	CU_add_test(suite, "random_worlds", test_random_worlds);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
