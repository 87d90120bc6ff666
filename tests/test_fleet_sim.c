#include "sim_announcements.h"
#include "sim_faults.h"

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
 * test_fleet_sim FIRST COUNT [-v] [--new-ids] [--no-crashes] [--faults KIND,KIND...] [--ends MAX]
 * [--partitions] [--announcements] [--some-announcements] [--detection] plays other seeds by hand.
 * With --ends, lists of workers name at most MAX ends. Without --announcements, which draws mostly
 * announcements of other writers, or --some-announcements, which adds some to the faults of the
 * day, there are none. --detection prints how long after the end of a worker the leader gives up
 * its runs.
 */

#define JOBS_MAX 128
#define REPEATS_MAX 3
#define JOBS_FROM_MS 500
#define JOBS_UNTIL_MS 30000
#define DAY_MAX_MS 240000
/* After the end of the faults a cancelled job has this long to stop. */
#define CANCEL_LIMIT_MS 10000
#define SEEDS_IN_CI 30
#define SEEDS_OF_KIND 15 /* of days that are drawn for one kind of fault */

struct job {
	struct sim_step steps[SIM_STEPS_MAX];
	uint32_t step_count;
	uint32_t repeats;
	char id[JOBSPEC_ID_LEN + 1];
	bool cancelled;
	bool may_fail;
};

static struct job jobs[JOBS_MAX];
static uint32_t job_count;

static void cancel_job(void *ctx)
{
	struct job *job = ctx;
	char *key = talloc_asprintf(sim_now, "job/%s.cancel", job->id);

	sim_print("job %s is cancelled", job->id);
	job->cancelled = true;
	memkv_put(sim_fleet.store, key, "1");
}

static char *write_steps(const struct job *job)
{
	char *text = talloc_strdup(sim_now, "");

	for (uint32_t i = 0; i < job->step_count; i++) {
		const struct sim_step *step = &job->steps[i];

		text = talloc_asprintf_append(
			text, "%s{\"tasks\":%u,\"cpu_milli\":%u,\"estimate_ms\":%u%s", i ? "," : "",
			step->count, step->cpu_milli, step->work_ms,
			step->gang ? ",\"gang\":true" : "");
		if (step->after_former)
			text = talloc_asprintf_append(text, ",\"after_steps\":[%u]", i - 1);
		text = talloc_strdup_append(text, "}");
	}
	return text;
}

static void submit_job(void *ctx)
{
	struct job *job = ctx;
	char *key = talloc_asprintf(sim_now, "job/%s", job->id);
	char *record = talloc_asprintf(
		sim_now,
		"{\"queue\":\"q\",\"organisation\":\"o\",\"accepted_ms\":%" PRIu64
		",\"spec\":{\"payload\":\"%s\",\"repeats\":%u,\"first_due_ms\":%" PRIu64
		",\"interval_ms\":%u,\"steps\":[%s]}}",
		util_wall_ms(), sim_steps_write(sim_now, job->steps, job->step_count), job->repeats,
		job->repeats ? util_wall_ms() + sim_below(3000) : 0,
		job->repeats ? sim_between(2000, 8000) : 0, write_steps(job));

	memkv_put(sim_fleet.store, key, record);
	if (sim_chance(0.15))
		sim_at(NULL, NULL, sim_below(12000), cancel_job, job);
}

static void draw_steps(struct job *job, bool busy)
{
	uint32_t fail_percent = 0;

	if (sim_chance(0.15))
		fail_percent = sim_chance(0.2) ? 100 : sim_between(10, 60);
	job->may_fail = fail_percent > 0;
	job->step_count = sim_chance(0.3) ? sim_between(2, 3) : 1;
	for (uint32_t i = 0; i < job->step_count; i++) {
		struct sim_step *step = &job->steps[i];

		step->gang = sim_chance(0.4);
		step->count = step->gang ? sim_between(2, 3) : sim_between(1, 4);
		step->work_ms = sim_chance(busy ? 0.8 : 0.3) ? sim_between(100, 1500)
							     : sim_between(1000, 9000);
		step->cpu_milli = sim_between(1, 6) * 1000;
		step->after_former = i > 0 && sim_chance(0.7);
		step->fail_percent = fail_percent;
	}
}

static void plan_jobs(void)
{
	bool busy = sim_chance(sim_fleet.agent_count > 4
				       ? 0
				       : 0.3); /* more starts, so that more of them meet a fault */

	memset(jobs, 0, sizeof(jobs));
	job_count = busy ? sim_between(50, 100) : sim_between(12, 35);
	for (uint32_t i = 0; i < job_count; i++) {
		struct job *job = &jobs[i];

		g_snprintf(job->id, sizeof(job->id), "%016x", i + 1);
		draw_steps(job, busy);
		if (sim_chance(0.1))
			job->repeats = sim_between(2, REPEATS_MAX);
		sim_at(NULL, NULL, sim_between(JOBS_FROM_MS, JOBS_UNTIL_MS), submit_job, job);
	}
}

static bool is_step_done(const struct job *job, uint32_t occurrence, uint32_t number)
{
	const struct sim_step *step = &job->steps[number];
	uint32_t done = 0;

	for (uint32_t i = 0; i < step->count; i++) {
		char *task =
			talloc_asprintf(sim_now, "%s.%u.%u.%u", job->id, occurrence, number, i);

		done += sim_runs_done(task);
	}
	return step->gang ? done > 0 : done == step->count;
}

static void check_completed(const struct job *job)
{
	for (uint32_t k = 0; k < MAX(job->repeats, 1); k++) {
		for (uint32_t i = 0; i < job->step_count; i++) {
			if (!is_step_done(job, k, i))
				sim_runs_violate(job->id, "completed though a task is not done");
		}
	}
}

/* Jobs that the leader does not show as ended. */
static uint32_t count_unfinished(void)
{
	const struct sim_entry *leader = &sim_fleet.entries[sim_fleet_leader()];
	uint32_t count = 0;

	for (uint32_t i = 0; i < job_count; i++) {
		enum plan_job_state state;

		count += !leader->coord || coord_job_state(leader->coord, jobs[i].id, &state) ||
			 state < PLAN_JOB_COMPLETED;
	}
	return count;
}

static void print_unfinished(void)
{
	const struct sim_entry *leader = &sim_fleet.entries[sim_fleet_leader()];

	for (uint32_t i = 0; leader->coord && i < job_count; i++) {
		enum plan_job_state state = PLAN_JOB_QUEUED;
		int status = coord_job_state(leader->coord, jobs[i].id, &state);

		if (status || state < PLAN_JOB_COMPLETED)
			sim_print("job %s: status %d, %s%s: %s", jobs[i].id, status,
				  plan_job_state_name(state),
				  jobs[i].cancelled ? ", cancelled" : "",
				  coord_explain(leader->coord, sim_now, jobs[i].id));
	}
}

/* To be called when all jobs have ended. */
static void check_states(void)
{
	const struct sim_entry *leader = &sim_fleet.entries[sim_fleet_leader()];

	for (uint32_t i = 0; i < job_count; i++) {
		enum plan_job_state state = PLAN_JOB_QUEUED;

		if (coord_job_state(leader->coord, jobs[i].id, &state))
			continue;
		if (state == PLAN_JOB_COMPLETED)
			check_completed(&jobs[i]);
		else if (state == PLAN_JOB_FAILED && !jobs[i].may_fail)
			sim_runs_violate(jobs[i].id, "failed though its tasks do not fail");
		else if (state == PLAN_JOB_CANCELLED && !jobs[i].cancelled)
			sim_runs_violate(jobs[i].id, "cancelled though nobody did so");
	}
}

static void check_workers(void)
{
	for (int i = 0; i < sim_fleet.agent_count; i++) {
		if (!sim_worker_is_served(sim_fleet.agents[i].worker))
			sim_runs_violate(sim_fleet.agents[i].node, "its worker is not used");
	}
}

static void end_cancelled_jobs(void)
{
	for (uint32_t i = 0; i < job_count; i++) {
		if (jobs[i].cancelled)
			sim_runs_end_job(jobs[i].id);
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

/* Returns the number of violations. */
static int play_day(uint64_t seed, const struct sim_fault_mix *mix, bool verbose,
		    uint32_t *unfinished)
{
	struct sim *sim = sim_create(seed);
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
	sim_fleet_create(sim_chance(0.1) ? (int)sim_between(8, 12) : 4, sim_chance(0.5));
	plan_jobs();
	sim_faults_plan(mix);
	sim_announcements_plan(seed, mix);
	sim_run_until(SIM_FAULTS_END_MS + CANCEL_LIMIT_MS);
	check_workers();
	end_cancelled_jobs();
	while ((*unfinished = count_unfinished()) > 0 && sim_now_ms() < DAY_MAX_MS)
		sim_run_until(sim_now_ms() + 1000);
	if (*unfinished)
		print_unfinished();
	else
		check_states();
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
	if (measures_detection)
		print_detection();
	return broken > 0 || stuck > 0;
}

int main(int argc, char **argv)
{
	CU_pSuite suite;
	unsigned int failures;

	if (argc > 2)
		return play_by_hand(argc, argv);
	CU_initialize_registry();
	suite = CU_add_suite("fleet_sim", NULL, NULL);
	CU_add_test(suite, "random_days", test_random_days);
	CU_add_test(suite, "late_calls", test_late_calls);
	CU_add_test(suite, "lists_cut_short", test_lists_cut_short);
	CU_add_test(suite, "partitions", test_partitions);
	CU_add_test(suite, "announcements_of_others", test_announcements_of_others);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
