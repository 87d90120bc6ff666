#include "lib_plansim.h"

#include "util.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

/* How many runs of a task may fail: exactly as many as its queue allows. */

#define LIMIT_MAX INT32_MAX /* the largest limit that the platform's configuration admits */
#define TASK "[{\"tasks\":1,\"cpu_milli\":1000,\"estimate_ms\":500}]"
#define TASKS "[{\"tasks\":4,\"cpu_milli\":1000,\"estimate_ms\":500}]"
#define GANG "[{\"tasks\":3,\"cpu_milli\":1000,\"estimate_ms\":500,\"gang\":true}]"
#define LASTING "[{\"tasks\":1,\"cpu_milli\":1000,\"estimate_ms\":500,\"long_running\":true}]"
#define FIRST_TASK "j1.0.0.0"
#define SEEDS 200
/* Failed runs that the progress record names one by one, for entries of earlier releases. */
#define NAMED_RUNS_MAX 16

static const uint32_t limits[] = {1, 2, 15, 16, 17, 20, 100, 300};

static struct plansim *create_sim(uint32_t workers, uint32_t limit)
{
	struct plansim *sim = plansim_create(NULL, workers);

	for (size_t i = 0; i < G_N_ELEMENTS(sim->queues); i++)
		sim->queues[i].max_attempts = limit;
	return sim;
}

static void check_and_free(struct plansim *sim)
{
	CU_ASSERT_PTR_NULL(sim->violation);
	if (sim->violation)
		printf("\n%s: %s\n", sim->violation, sim->violation_task);
	talloc_free(sim);
}

/* All workers report to the new leader before it starts any task. */
static void change_leader(struct plansim *sim)
{
	plansim_restart_leader(sim, false);
	plansim_run(sim, 10);
	plan_recovery_done(sim->plan);
}

/* Returns the number of starts of a job that always fails until it has failed, or 0. */
static uint32_t count_starts(uint32_t limit, const char *steps, uint32_t leader_ms)
{
	struct plansim *sim = create_sim(3, limit);
	uint32_t timeout_ms = 60000 + limit * 1000;
	uint32_t starts;

	for (uint32_t i = 0; i < sim->worker_count; i++)
		sim->workers[i].fails = true;
	plansim_add_job(sim, "j1", "batch", "b", steps);
	for (uint32_t passed = 0;
	     passed < timeout_ms && plansim_job_state(sim, "j1") != PLAN_JOB_FAILED; passed += 10) {
		plansim_run(sim, 10);
		if (leader_ms > 0 && passed % leader_ms == leader_ms - 10)
			change_leader(sim);
	}
	plansim_run(sim, 1000);
	starts = plansim_job_state(sim, "j1") == PLAN_JOB_FAILED ? sim->starts : 0;
	check_and_free(sim);
	return starts;
}

/* Guards against a count of failures that ends below the limit, so that the task never fails. */
static void test_limits(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(limits); i++) {
		uint32_t starts = count_starts(limits[i], TASK, 0);

		CU_ASSERT_EQUAL(starts, limits[i]);
		if (starts != limits[i])
			printf("\nlimit %u: %u starts\n", limits[i], starts);
	}
}

/* Guards against a gang whose failures count for each member, or not at all. */
static void test_gang(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(limits); i++)
		CU_ASSERT_EQUAL(count_starts(limits[i], GANG, 0), 3 * limits[i]);
}

/* Guards against failures that are lost, or counted twice, when leaders follow one another. */
static void test_changes_of_leader(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(limits); i++) {
		CU_ASSERT_EQUAL(count_starts(limits[i], TASK, 470), limits[i]);
		CU_ASSERT_EQUAL(count_starts(limits[i], GANG, 470), 3 * limits[i]);
		CU_ASSERT_EQUAL(count_starts(limits[i], TASK, 2990), limits[i]);
	}
}

/* Guards against a lasting task that fails for good. */
static void test_lasting(void)
{
	struct plansim *sim = create_sim(1, 17);

	sim->workers[0].fails = true;
	plansim_add_job(sim, "j1", "batch", "b", LASTING);
	for (int i = 0; i < 40; i++) {
		plansim_run(sim, 3500);
		change_leader(sim);
	}
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_RUNNING);
	CU_ASSERT_TRUE(sim->starts > 40);
	check_and_free(sim);
}

/* Adds a job whose tasks wait, because there is no worker yet. */
static void add_unplaced_job(struct plansim *sim, const char *steps)
{
	plansim_add_job(sim, "j1", "batch", "b", steps);
	plansim_run(sim, 10);
}

static void report_worker(struct plansim *sim)
{
	struct plan_worker_info info = {.node = "a",
					.id = "a",
					.incarnation = "1",
					.service = "s",
					.zone = "z",
					.kind = "k",
					.rack = "r",
					.room = {8000, 8000, 8},
					.accepting = true};

	plan_worker_update(sim->plan, &info, sim->now_ms);
}

static void report_failure(struct plansim *sim, uint32_t number)
{
	struct plan_run run = {FIRST_TASK, number, "", 0};

	plan_worker_ended(sim->plan, "a", &run, PLAN_END_FAILED, sim->now_ms);
}

/* Reports @limit failed runs in a random order, again and again, to leaders that change. */
static bool counts_in_any_order(uint64_t seed, uint32_t limit, uint32_t numbers, const char *steps)
{
	struct util_rng rng = {seed};
	struct plansim *sim = create_sim(0, limit);
	uint32_t *runs = g_new0(uint32_t, limit);
	GHashTable *reported = g_hash_table_new(NULL, NULL);
	bool exact = true;

	add_unplaced_job(sim, steps);
	report_worker(sim);
	for (uint32_t i = 0; i < limit; i++)
		runs[i] = 1 + (uint32_t)util_rng_below(&rng, numbers);
	while (g_hash_table_size(reported) < limit && exact) {
		uint32_t *run = &runs[util_rng_below(&rng, limit)];

		/* Most reports repeat a known failure. */
		if (util_rng_below(&rng, 3) == 0)
			*run = 1 + (uint32_t)util_rng_below(&rng, numbers);
		g_hash_table_add(reported, GUINT_TO_POINTER(*run));
		report_failure(sim, *run);
		exact = (plansim_job_state(sim, "j1") == PLAN_JOB_FAILED) ==
			(g_hash_table_size(reported) >= limit);
		if (util_rng_below(&rng, 10) == 0) {
			plansim_restart_leader(sim, false);
			report_worker(sim);
		}
	}
	if (!exact)
		printf("\nseed %llu: limit %u, %u reported\n", (unsigned long long)seed, limit,
		       g_hash_table_size(reported));
	g_hash_table_destroy(reported);
	g_free(runs);
	check_and_free(sim);
	return exact;
}

/* Guards against ends that count twice, or not, because they arrive out of order or repeatedly. */
static void test_any_order(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		uint32_t limit = 1 + (uint32_t)(seed * 7 % 100);

		CU_ASSERT_TRUE(counts_in_any_order(seed, limit, 2 * limit, TASK));
		CU_ASSERT_TRUE(counts_in_any_order(seed, limit, PLAN_RUN_MAX, TASK));
		CU_ASSERT_TRUE(counts_in_any_order(seed, limit, 2 * limit, GANG));
	}
}

/* Number of failed runs that any leader has been told of, of the tasks with a name like this. */
static uint32_t count_noted_of(const struct plansim *sim, const char *prefix)
{
	GHashTable *runs = g_hash_table_new(NULL, NULL);
	uint32_t count;

	for (uint32_t i = 0; i < sim->end_count && i < SIM_RUNS_MAX; i++) {
		if (sim->ends[i].how == PLAN_END_FAILED && sim->ends[i].reported &&
		    g_str_has_prefix(sim->ends[i].task, prefix))
			g_hash_table_add(runs, GUINT_TO_POINTER(sim->ends[i].run.run));
	}
	count = g_hash_table_size(runs);
	g_hash_table_destroy(runs);
	return count;
}

/* The same of the task that has failed most, or of the gang, whose members fail together. */
static uint32_t count_noted(const struct plansim *sim, bool gang)
{
	static const char *const tasks[] = {"j1.0.0.0", "j1.0.0.1", "j1.0.0.2", "j1.0.0.3"};
	uint32_t most = 0;

	if (gang)
		return count_noted_of(sim, "j1.");
	for (size_t i = 0; i < G_N_ELEMENTS(tasks); i++)
		most = MAX(most, count_noted_of(sim, tasks[i]));
	return most;
}

static void inject_fault(struct plansim *sim, struct util_rng *rng)
{
	uint32_t worker = (uint32_t)util_rng_below(rng, sim->worker_count);

	switch (util_rng_below(rng, 4)) {
	case 0:
		plansim_crash_worker(sim, worker);
		break;
	case 1:
		sim->workers[worker].reachable = !sim->workers[worker].reachable;
		if (!sim->workers[worker].reachable)
			plan_worker_lost(sim->plan, sim->workers[worker].node, sim->now_ms);
		break;
	case 2:
		for (uint32_t i = 0; i < sim->worker_count; i++)
			sim->workers[i].reachable = true;
		change_leader(sim);
		break;
	default:
		break;
	}
}

/* True if the job has failed exactly when its leaders knew of @limit failed runs. */
static bool fails_at_limit(uint64_t seed, const char *steps, bool gang)
{
	struct util_rng rng = {seed};
	uint32_t limit = 1 + (uint32_t)util_rng_below(&rng, 60);
	struct plansim *sim = create_sim(4, limit);
	uint32_t noted = 0;
	bool exact = true;

	for (uint32_t i = 0; i < sim->worker_count; i++)
		sim->workers[i].fails = true;
	plansim_add_job(sim, "j1", "batch", "b", steps);
	for (uint32_t i = 0; i < 20000 && noted < limit && exact; i++) {
		plansim_run(sim, 10);
		if (util_rng_below(&rng, 10) == 0)
			inject_fault(sim, &rng);
		noted = count_noted(sim, gang);
		exact = (plansim_job_state(sim, "j1") == PLAN_JOB_FAILED) == (noted >= limit);
	}
	if (!exact || noted < limit)
		printf("\nseed %llu: limit %u, %u noted\n", (unsigned long long)seed, limit, noted);
	exact = exact && noted >= limit;
	talloc_free(sim);
	return exact;
}

/* Guards against a count that lost workers, lost runs or changes of leader make inexact. */
static void test_random_faults(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		CU_ASSERT_TRUE(fails_at_limit(seed, TASKS, false));
		CU_ASSERT_TRUE(fails_at_limit(seed, GANG, true));
	}
}

/* Restores a record of the job with the given row of its first task. */
static int restore(struct plansim *sim, const char *row)
{
	char *text = talloc_asprintf(sim,
				     "{\"state\":\"running\",\"started\":true,\"created\":1,"
				     "\"finished\":0,\"next_run\":50,\"occurrences\":[{"
				     "\"number\":0,\"steps\":[{\"gang_failures\":[],\"tasks\":"
				     "[%s]}]}]}",
				     row);
	json_t *record = json_loads(text, 0, NULL);
	int status;

	plansim_add_job(sim, "j1", "batch", "b", TASK);
	status = plan_job_restore(sim->plan, "j1", record);
	json_decref(record);
	return status;
}

/* Replaces the configuration by one with this limit, and without queues if @queues is 0. */
static void configure(struct plansim *sim, uint32_t limit, size_t queues)
{
	for (size_t i = 0; i < G_N_ELEMENTS(sim->queues); i++)
		sim->queues[i].max_attempts = limit;
	sim->conf.queue_count = queues;
	plan_configure(sim->plan, &sim->conf);
}

static void check_queue_returns(const char *steps, uint32_t starts)
{
	struct plansim *sim = create_sim(1, 2);

	sim->workers[0].fails = true;
	plansim_add_job(sim, "j1", "batch", "b", steps);
	while (sim->starts < starts)
		plansim_run(sim, 10);
	configure(sim, 2, 0);
	plansim_run(sim, 1000);
	configure(sim, 2, 3);
	plansim_run(sim, 1000);
	CU_ASSERT_EQUAL(sim->starts, starts);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_FAILED);
	check_and_free(sim);
}

/* Guards against a start after the limit, where the last failure came while no limit was known. */
static void test_queue_returns(void)
{
	check_queue_returns(TASK, 2);
	check_queue_returns(GANG, 6);
}

/* Guards against a start after a limit that has been lowered meanwhile. */
static void test_lowered_limit(void)
{
	struct plansim *sim = create_sim(1, 20);

	sim->workers[0].fails = true;
	plansim_add_job(sim, "j1", "batch", "b", TASK);
	while (sim->end_count < 5)
		plansim_run(sim, 10);
	plansim_run(sim, 10);
	configure(sim, 5, 3);
	plansim_run(sim, 1000);
	CU_ASSERT_EQUAL(sim->starts, 5);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_FAILED);
	check_and_free(sim);
}

/* Guards against a new leader that starts a task whose record holds all failures it may have. */
static void test_record_at_limit(void)
{
	struct plansim *sim = create_sim(1, 3);

	sim->workers[0].fails = true;
	CU_ASSERT_EQUAL(restore(sim, "[0,false,[3,5,7],7,\"\",0]"), 0);
	plansim_run(sim, 1000);
	CU_ASSERT_EQUAL(sim->starts, 0);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_FAILED);
	check_and_free(sim);
}

/* Returns the row of the first task. */
static const json_t *stored_row(const json_t *record)
{
	const json_t *occurrence = json_array_get(json_object_get(record, "occurrences"), 0);
	const json_t *step = json_array_get(json_object_get(occurrence, "steps"), 0);

	return json_array_get(json_object_get(step, "tasks"), 0);
}

/* Guards against a stored record that grows with the number of attempts. */
static void test_record_size(void)
{
	static const uint32_t ms[] = {10000, 20000, 30000};
	size_t sizes[G_N_ELEMENTS(ms)];
	struct plansim *sim = create_sim(1, LIMIT_MAX);

	sim->workers[0].fails = true;
	plansim_add_job(sim, "j1", "batch", "b", TASKS);
	for (size_t i = 0; i < G_N_ELEMENTS(ms); i++) {
		json_t *record;
		char *text;

		plansim_run(sim, ms[i]);
		CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_RUNNING);
		record = plan_job_record(sim->plan, "j1");
		text = json_dumps(record, JSON_COMPACT);
		sizes[i] = strlen(text);
		free(text);
		json_decref(record);
	}
	CU_ASSERT_TRUE(sim->starts > 1000); /* of four tasks */
	CU_ASSERT_TRUE(sizes[2] < sizes[0] + 100);
	check_and_free(sim);
}

/* Guards against a record without a bound when all failures are reported with gaps. */
static void test_record_bound(void)
{
	struct plansim *sim = create_sim(0, LIMIT_MAX);
	json_t *record;
	char *text;

	add_unplaced_job(sim, TASK);
	report_worker(sim);
	for (uint32_t i = 1; i <= 10000; i++)
		report_failure(sim, PLAN_RUN_MAX - 20000 + 2 * i);
	record = plan_job_record(sim->plan, "j1");
	text = json_dumps(record, JSON_COMPACT);
	CU_ASSERT_TRUE(strlen(text) < 5000);
	free(text);
	json_decref(record);
	for (int i = 0; i < 3; i++) {
		for (uint32_t run = 1; run <= 10000; run++)
			report_failure(sim, PLAN_RUN_MAX - 20000 + 2 * run);
		plansim_restart_leader(sim, false);
		report_worker(sim);
	}
	sim->queues[2].max_attempts = 10001;
	report_failure(sim, PLAN_RUN_MAX - 2);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_QUEUED);
	report_failure(sim, PLAN_RUN_MAX - 1);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_FAILED);
	check_and_free(sim);
}

/* Guards against a record of an earlier release that loses its failures during an upgrade. */
static void test_earlier_record(void)
{
	struct plansim *sim = create_sim(0, 17);

	CU_ASSERT_EQUAL(
		restore(sim, "[0,false,[3,5,7,9,11,13,15,17,19,21,23,25,27,29,31,33],33,\"\",0]"),
		0);
	report_worker(sim);
	report_failure(sim, 3);
	report_failure(sim, 33);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_RUNNING);
	report_failure(sim, 34);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_FAILED);
	check_and_free(sim);
}

/*
 * Guards against a record that an entry of an earlier release refuses, which starts the job from
 * the beginning, or reads with fewer failures than it can hold.
 */
static void test_record_for_earlier_release(void)
{
	for (uint32_t failed = 1; failed <= 40; failed++) {
		struct plansim *sim = create_sim(0, 100);
		uint32_t named = failed < NAMED_RUNS_MAX ? failed : NAMED_RUNS_MAX;
		json_t *record;
		const json_t *row;
		const json_t *runs;

		add_unplaced_job(sim, TASK);
		report_worker(sim);
		for (uint32_t run = 1; run <= failed; run++)
			report_failure(sim, 3 * run);
		record = plan_job_record(sim->plan, "j1");
		row = stored_row(record);
		runs = json_array_get(row, 2);
		CU_ASSERT_EQUAL(json_array_size(row), failed <= NAMED_RUNS_MAX ? 6 : 7);
		CU_ASSERT_EQUAL(json_array_size(runs), named);
		for (uint32_t i = 0; i < named; i++)
			CU_ASSERT_EQUAL(json_integer_value(json_array_get(runs, i)),
					3 * (failed - named + 1 + i));
		json_decref(record);
		check_and_free(sim);
	}
}

/* Guards against a malformed count that is taken for a valid one. */
static void test_malformed_ranges(void)
{
	static const char *const ranges[] = {
		"7",
		"[3]",
		"[[1,2]]",
		"[[1,2,3]]",
		"[[1,2,0]]",
		"[[2,1,1]]",
		"[[1,2,-1]]",
		"[[0,2,4]]",
		"[[1,2,1,1]]",
		"[[1,1073741825,9]]",
		"[[1,4,2],[4,6,2]]",
		"[[5,6,2],[1,2,2]]",
		"[[1,\"2\",1]]",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(ranges); i++) {
		struct plansim *sim = create_sim(0, 17);
		char *row = talloc_asprintf(sim, "[0,false,[],40,\"\",0,%s]", ranges[i]);

		CU_ASSERT_EQUAL(restore(sim, row), -ERR_INVALID);
		check_and_free(sim);
	}
}

/* Guards against counts that overflow at limits that no simulation reaches. */
static void test_largest_counts(void)
{
	struct plansim *sim = create_sim(0, PLAN_RUN_MAX - 8);

	CU_ASSERT_EQUAL(restore(sim, "[0,false,[],40,\"\",0,[[1,1073741814,1073741814]]]"), 0);
	report_worker(sim);
	report_failure(sim, 1);
	report_failure(sim, 1073741814);
	report_failure(sim, 1073741815);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_RUNNING);
	plansim_restart_leader(sim, false);
	report_worker(sim);
	report_failure(sim, 1073741815);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_RUNNING);
	report_failure(sim, PLAN_RUN_MAX);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_FAILED);
	check_and_free(sim);

	sim = create_sim(0, LIMIT_MAX);
	CU_ASSERT_EQUAL(restore(sim, "[0,false,[],40,\"\",0,[[1,1073741823,1073741823]]]"), 0);
	report_worker(sim);
	report_failure(sim, PLAN_RUN_MAX);
	CU_ASSERT_EQUAL(plansim_job_state(sim, "j1"), PLAN_JOB_RUNNING);
	check_and_free(sim);
}

int main(void)
{
	static CU_TestInfo tests[] = {
		{"limits", test_limits},
		{"gang", test_gang},
		{"changes_of_leader", test_changes_of_leader},
		{"lasting", test_lasting},
		{"any_order", test_any_order},
		{"random_faults", test_random_faults},
		{"queue_returns", test_queue_returns},
		{"lowered_limit", test_lowered_limit},
		{"record_at_limit", test_record_at_limit},
		{"record_size", test_record_size},
		{"record_bound", test_record_bound},
		{"earlier_record", test_earlier_record},
		{"record_for_earlier_release", test_record_for_earlier_release},
		{"malformed_ranges", test_malformed_ranges},
		{"largest_counts", test_largest_counts},
		CU_TEST_INFO_NULL,
	};
	CU_SuiteInfo suites[] = {
		{"planbudget", NULL, NULL, NULL, NULL, tests},
		CU_SUITE_INFO_NULL,
	};
	unsigned int failures;

	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
