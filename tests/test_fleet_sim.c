#include "sim_announcements.h"
#include "sim_faults.h"
#include "sim_idle.h"
#include "sim_jobs.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Entries, agents and workers under random faults, on a simulated clock: the leader's and the
 * agent's controllers are the real ones. Guards against two runs of one task, starts out of order,
 * starts without room, runs of cancelled jobs and jobs that never end.
 *
 * Without arguments all tests are run; --days-with-faults and --days-with-idle-room each run a part
 * of them, which ctest runs side by side.
 *
 * test_fleet_sim FIRST COUNT [-v] [--new-ids] [--no-crashes] [--faults KIND,KIND...] [--ends MAX]
 * [--partitions] [--announcements] [--some-announcements] [--idle] [--detection] plays other seeds
 * by hand. --idle plays the days of sim_idle.h and prints for what steps waited.
 * With --ends, lists of workers name at most MAX ends. Without --announcements, which draws mostly
 * announcements of other writers, or --some-announcements, which adds some to the faults of the
 * day, there are none. --detection prints how long after the end of a worker the leader gives up
 * its runs.
 */

#define DAY_MAX_MS 240000
#define IDLE_DAY_MAX_MS 1200000 /* has tasks of minutes, which may begin late or twice */
#define SEEDS_IN_CI 30
#define SEEDS_OF_KIND 15 /* of days that are drawn for one kind of fault */

static void check_workers(void)
{
	for (int i = 0; i < sim_fleet.agent_count; i++) {
		if (!sim_worker_is_served(sim_fleet.agents[i].worker))
			sim_runs_violate(sim_fleet.agents[i].node, "its worker is not used");
	}
}

/* A run that has ended with its worker and that the leader has not given up yet. */
struct crashed_run {
	char *task;
	uint32_t run;
	uint32_t kind;
	uint64_t at_ms;
};

/* Times from the end of a worker until the leader gives up one of its runs. */
struct detection {
	uint32_t count;
	uint32_t unknown; /* the run was given up otherwise, such as by a later leader */
	uint64_t sum_ms;
	uint64_t max_ms;
	uint64_t max_seed;
};

#define CRASH_SAME_ID 1u
#define CRASH_DARK 2u

static bool measures_detection;
static GPtrArray *crashed_runs; /* of the day */
static struct detection detections[4];
static uint64_t day_seed;

static void on_crashed_run(const char *task, uint32_t run, bool same_id, bool dark)
{
	struct crashed_run *crashed = talloc_zero(NULL, struct crashed_run);

	*crashed = (struct crashed_run){talloc_strdup(crashed, task), run,
					(same_id ? CRASH_SAME_ID : 0) | (dark ? CRASH_DARK : 0),
					sim_now_ms()};
	if (!crashed_runs)
		crashed_runs = g_ptr_array_new();
	g_ptr_array_add(crashed_runs, crashed);
}

static void on_record(const char *event, const char *id, const char *text)
{
	uint32_t run;

	if (!crashed_runs || strcmp(event, "run_lost") != 0 || sscanf(text, "run %u", &run) != 1)
		return;
	for (guint i = 0; i < crashed_runs->len; i++) {
		struct crashed_run *crashed = crashed_runs->pdata[i];
		struct detection *detection = &detections[crashed->kind];
		uint64_t passed_ms = sim_now_ms() - crashed->at_ms;

		if (crashed->run != run || strcmp(crashed->task, id) != 0)
			continue;
		detection->count++;
		detection->sum_ms += passed_ms;
		if (passed_ms >= detection->max_ms) {
			detection->max_ms = passed_ms;
			detection->max_seed = day_seed;
		}
		talloc_free(crashed);
		g_ptr_array_remove_index_fast(crashed_runs, i);
		return;
	}
}

static void end_crashes(void)
{
	for (guint i = 0; crashed_runs && i < crashed_runs->len; i++) {
		struct crashed_run *crashed = crashed_runs->pdata[i];

		detections[crashed->kind].unknown++;
		talloc_free(crashed);
	}
	if (crashed_runs)
		g_ptr_array_set_size(crashed_runs, 0);
}

static void print_detection(void)
{
	for (uint32_t i = 0; i < G_N_ELEMENTS(detections); i++) {
		const struct detection *detection = &detections[i];

		printf("runs of ended workers, %s id, %s: %u given up after %.0f ms on average, "
		       "%" PRIu64 " ms at most (seed %" PRIu64 "); %u otherwise\n",
		       i & CRASH_SAME_ID ? "same" : "new",
		       i & CRASH_DARK ? "address does not answer" : "connections refused",
		       detection->count,
		       (double)detection->sum_ms / (double)MAX(detection->count, 1),
		       detection->max_ms, detection->max_seed, detection->unknown);
	}
}

static void run_until(const struct sim_fault_mix *mix, uint64_t ms)
{
	if (mix->idle_room)
		sim_idle_run_until(ms);
	else
		sim_run_until(ms);
}

/* Returns the number of violations. */
static int play_day(uint64_t seed, const struct sim_fault_mix *mix, bool verbose,
		    uint32_t *unfinished)
{
	struct sim *sim = sim_create(seed);
	uint64_t day_max_ms = mix->idle_room ? IDLE_DAY_MAX_MS : DAY_MAX_MS;
	int violations;

	day_seed = seed;
	sim->verbose = verbose;
	if (measures_detection) {
		sim->on_record = on_record;
		sim_workers_watch_crashes(on_crashed_run);
	}
	sim_runs_create(SIM_MAX_ATTEMPTS);
	if (mix->listed_ends)
		sim_workers_limit_ends(mix->listed_ends);
	if (mix->idle_room) {
		sim_idle_plan();
	} else {
		sim_fleet_create(sim_chance(0.1) ? (int)sim_between(8, 12) : 4, sim_chance(0.5));
		sim_jobs_plan();
	}
	sim_faults_plan(mix);
	sim_announcements_plan(seed, mix);
	run_until(mix, SIM_FAULTS_END_MS + SIM_CANCEL_LIMIT_MS);
	check_workers();
	sim_jobs_end_cancelled();
	while ((*unfinished = sim_jobs_unfinished()) > 0 && sim_now_ms() < day_max_ms)
		run_until(mix, sim_now_ms() + 1000);
	if (*unfinished)
		sim_jobs_print_unfinished();
	else
		sim_jobs_check_states();
	violations = sim_runs_violations();
	if (measures_detection)
		end_crashes();
	sim_fleet_destroy();
	sim_destroy(sim);
	return violations;
}

static void check_mixed_day(uint64_t seed, const struct sim_fault_mix *mix)
{
	uint32_t unfinished;
	int violations = play_day(seed, mix, false, &unfinished);

	CU_ASSERT_EQUAL(violations, 0);
	CU_ASSERT_EQUAL(unfinished, 0);
	if (violations || unfinished)
		printf("seed %" PRIu64 ": %d violations, %u unfinished jobs, %s\n", seed,
		       violations, unfinished, sim_runs_violation());
}

static void check_day(uint64_t seed)
{
	const struct sim_fault_mix mix = {0};

	check_mixed_day(seed, &mix);
}

static void test_random_days(void)
{
	for (uint64_t seed = 1; seed <= SEEDS_IN_CI; seed++)
		check_day(seed);
}

/* Guards against calls of the past that take effect on a worker. */
static void test_late_calls(void)
{
	/* Days on which a task ran twice while the fence of a call was the term alone. */
	static const uint64_t seeds[] = {52, 80, 109, 114, 177, 210};

	for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++)
		check_day(seeds[i]);
}

/*
 * Guards against a list that is cut short and taken as complete: the tasks whose ends it lacks
 * were started again.
 */
static void test_lists_cut_short(void)
{
	const struct sim_fault_mix mix = {.listed_ends = 2};

	for (uint64_t seed = 1; seed <= SEEDS_OF_KIND; seed++)
		check_mixed_day(seed, &mix);
}

/*
 * Guards against a leader whose lease is over and that takes an agent's silence for the loss of its
 * worker, though the agent follows the next leader.
 */
static void test_partitions(void)
{
	const struct sim_fault_mix mix = {.partitions = true};

	for (uint64_t seed = 1; seed <= SEEDS_OF_KIND; seed++)
		check_mixed_day(seed, &mix);
}

/*
 * Guards against a live worker whose runs are given up because of an announcement of another writer
 * or one answer of another incarnation. Refused calls are left to days by hand.
 */
static void test_announcements_of_others(void)
{
	const struct sim_fault_mix mix = {.announcements = SIM_ANNOUNCEMENTS_MOSTLY,
					  .only = "announce,leave,replace,replay,misdirect,cut,"
						  "freeze,kill,crash,worker,store,stop,drain,"
						  "outage,compaction,clock,lag"};

	for (uint64_t seed = 1; seed <= SEEDS_OF_KIND; seed++)
		check_mixed_day(seed, &mix);
}

/*
 * Guards against steps that wait for a better place beside room: for one rack, for the rack of
 * their data or beside a reservation.
 */
static void test_idle_room(void)
{
	/* Days on which a step waited for each of these. */
	static const uint64_t seeds[] = {22, 25, 36, 77, 123, 127, 174, 187};
	const struct sim_fault_mix mix = {.idle_room = true};

	for (uint64_t seed = 1; seed <= SEEDS_OF_KIND; seed++)
		check_mixed_day(seed, &mix);
	for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++)
		check_mixed_day(seeds[i], &mix);
}

static int play_by_hand(int argc, char **argv)
{
	uint64_t first = strtoull(argv[1], NULL, 10);
	uint64_t count = strtoull(argv[2], NULL, 10);
	struct sim_fault_mix mix = {0};
	bool verbose = false;
	int broken = 0;
	int stuck = 0;

	for (int i = 3; i < argc; i++) {
		verbose = verbose || !strcmp(argv[i], "-v");
		mix.new_ids_only = mix.new_ids_only || !strcmp(argv[i], "--new-ids");
		mix.without_crashes = mix.without_crashes || !strcmp(argv[i], "--no-crashes");
		if (!strcmp(argv[i], "--faults") && i + 1 < argc)
			mix.only = argv[i + 1];
		mix.partitions = mix.partitions || !strcmp(argv[i], "--partitions");
		mix.idle_room = mix.idle_room || !strcmp(argv[i], "--idle");
		if (!strcmp(argv[i], "--announcements"))
			mix.announcements = SIM_ANNOUNCEMENTS_MOSTLY;
		if (!strcmp(argv[i], "--some-announcements"))
			mix.announcements = SIM_ANNOUNCEMENTS_SHARE;
		measures_detection = measures_detection || !strcmp(argv[i], "--detection");
		if (!strcmp(argv[i], "--ends") && i + 1 < argc)
			mix.listed_ends = (uint32_t)atoi(argv[i + 1]);
	}
	for (uint64_t seed = first; seed < first + count; seed++) {
		uint32_t unfinished;
		int violations = play_day(seed, &mix, verbose, &unfinished);

		broken += violations > 0;
		stuck += unfinished > 0;
		if (violations || unfinished)
			printf("seed %" PRIu64 ": %d violations, %u unfinished jobs, %s\n", seed,
			       violations, unfinished, sim_runs_violation());
		fflush(stdout);
	}
	printf("%" PRIu64 " days: %d with violations, %d with unfinished jobs\n", count, broken,
	       stuck);
	if (mix.idle_room)
		sim_idle_print_reasons();
	if (measures_detection)
		print_detection();
	return broken > 0 || stuck > 0;
}

int main(int argc, char **argv)
{
	bool faults = argc < 2 || !strcmp(argv[1], "--days-with-faults");
	bool idle = argc < 2 || !strcmp(argv[1], "--days-with-idle-room");
	CU_pSuite suite;
	unsigned int failures;

	if (argc > 2)
		return play_by_hand(argc, argv);
	if (!faults && !idle) {
		fprintf(stderr, "unknown option %s\n", argv[1]);
		return 2;
	}
	CU_initialize_registry();
	suite = CU_add_suite("fleet_sim", NULL, NULL);
	if (faults) {
		CU_add_test(suite, "random_days", test_random_days);
		CU_add_test(suite, "late_calls", test_late_calls);
		CU_add_test(suite, "lists_cut_short", test_lists_cut_short);
		CU_add_test(suite, "partitions", test_partitions);
		CU_add_test(suite, "announcements_of_others", test_announcements_of_others);
	}
	if (idle)
		CU_add_test(suite, "idle_room", test_idle_room);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
