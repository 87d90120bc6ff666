#include "bench_cmd.h"
#include "bench_replay.h"
#include "bench_workload.h"

#include <argp.h>
#include <errno.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define RECLAIM_GRACE_MS 2000

enum option_key {
	OPT_FLEET = 256,
	OPT_WORKLOAD,
	OPT_POLICY,
	OPT_WEIGHTS,
	OPT_SEED,
	OPT_JSON,
	OPT_CHECK,
	OPT_TIMELINE,
	OPT_SIZE,
	OPT_SCALE,
	OPT_DEMAND,
	OPT_HOURS,
	OPT_SEEDS,
};

struct arguments {
	const char *fleet;
	const char *workload;
	const char *policy;
	const char *weights;
	const char *timeline;
	const char *size;
	uint64_t seed;
	uint64_t seeds;
	uint32_t scale;
	double demand;
	double hours;
	bool json;
	bool check;
};

static const struct argp_option place_options[] = {
	{"fleet", OPT_FLEET, "FILE", 0, "Fleet and organisations (JSON)", 0},
	{"workload", OPT_WORKLOAD, "FILE", 0, "Events, one JSON object a line", 0},
	{"policy", OPT_POLICY, "NAME", 0, "jaycourse, first-fit or best-fit", 0},
	{"weights", OPT_WEIGHTS, "NAME", 0,
	 "completion, fragmentation, nefeli or sonhario; default: both equal", 0},
	{"seed", OPT_SEED, "N", 0, "Seed of the policy's random choices", 0},
	{"check", OPT_CHECK, NULL, 0, "Check the invariants after every event (slow)", 0},
	{"timeline", OPT_TIMELINE, "FILE", 0, "Write fragmentation and large waits by minute", 0},
	{"json", OPT_JSON, NULL, 0, "Write one JSON object", 0},
	{0},
};

static const struct argp_option workload_options[] = {
	{"size", OPT_SIZE, "NAME", 0, "nefeli, sonhario or two-year", 0},
	{"scale", OPT_SCALE, "N", 0, "Multiply fleet and arrivals", 0},
	{"seed", OPT_SEED, "N", 0, "Seed of the workload", 0},
	{"demand", OPT_DEMAND, "X", 0, "Requested share of the accelerator time; default 0.9", 0},
	{"hours", OPT_HOURS, "H", 0, "Length of the period of submissions", 0},
	{"fleet", OPT_FLEET, "FILE", 0, "Fleet file to write", 0},
	{"workload", OPT_WORKLOAD, "FILE", 0, "Workload file to write", 0},
	{0},
};

static const struct argp_option table_options[] = {
	{"size", OPT_SIZE, "NAME", 0, "Only this size", 0},
	{"seed", OPT_SEED, "N", 0, "First seed", 0},
	{"seeds", OPT_SEEDS, "N", 0, "Number of seeds for each size; default 1", 0},
	{"demand", OPT_DEMAND, "X", 0, "Requested share of the accelerator time; default 0.9", 0},
	{"hours", OPT_HOURS, "H", 0, "Length of the period of submissions", 0},
	{"weights", OPT_WEIGHTS, "NAME", 0, "Instead of the deployment's own weights", 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *args = state->input;

	switch (key) {
	case OPT_FLEET:
		args->fleet = arg;
		return 0;
	case OPT_WORKLOAD:
		args->workload = arg;
		return 0;
	case OPT_POLICY:
		args->policy = arg;
		return 0;
	case OPT_WEIGHTS:
		args->weights = arg;
		return 0;
	case OPT_TIMELINE:
		args->timeline = arg;
		return 0;
	case OPT_SIZE:
		args->size = arg;
		return 0;
	case OPT_SEED:
		args->seed = strtoull(arg, NULL, 10);
		return 0;
	case OPT_SEEDS:
		args->seeds = strtoull(arg, NULL, 10);
		return 0;
	case OPT_SCALE:
		args->scale = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPT_DEMAND:
		args->demand = strtod(arg, NULL);
		return 0;
	case OPT_HOURS:
		args->hours = strtod(arg, NULL);
		return 0;
	case OPT_JSON:
		args->json = true;
		return 0;
	case OPT_CHECK:
		args->check = true;
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument %s", arg);
		return EINVAL;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int report_error(const struct err *err)
{
	fprintf(stderr, "jaycourse-bench: %s\nRemedy: %s\n", err->message, err->remedy);
	return 1;
}

/* Weights by name; nefeli and sonhario as in examples/nefeli and examples/sonhario. */
static const struct {
	const char *name;
	double completion;
	double fragmentation;
} weight_sets[] = {
	{"completion", 0.9, 0.1},
	{"fragmentation", 0.1, 0.9},
	{"nefeli", 0.7, 0.3},
	{"sonhario", 0.3, 0.7},
};

static struct place_policy make_policy(const char *weights)
{
	struct place_policy policy = {
		.weight_completion = 0.5,
		.weight_fragmentation = 0.5,
		.lend_idle = true,
		.reclaim_grace_ms = RECLAIM_GRACE_MS,
	};

	for (size_t i = 0; i < sizeof(weight_sets) / sizeof(weight_sets[0]); i++) {
		if (strcmp(weights, weight_sets[i].name) != 0)
			continue;
		policy.weight_completion = weight_sets[i].completion;
		policy.weight_fragmentation = weight_sets[i].fragmentation;
	}
	return policy;
}

static int run_policy(const struct arguments *args, const struct bench_fleet *fleet,
		      const struct bench_workload *workload, const char *name,
		      struct bench_result *out, struct err *err)
{
	struct bench_replay_options options = {.reclaim_grace_ms = RECLAIM_GRACE_MS,
					       .check = args->check};
	struct place_policy weights = make_policy(args->weights);
	TALLOC_CTX *mem = talloc_new(NULL);
	struct bench_policy policy;
	int ret = 0;

	if (!strcmp(name, "jaycourse")) {
		bench_policy_place(mem, &weights, fleet->organisations, fleet->organisation_count,
				   args->seed, &policy);
	} else if (!strcmp(name, "first-fit") || !strcmp(name, "best-fit")) {
		bench_policy_baseline(mem, !strcmp(name, "best-fit"), fleet->organisations,
				      fleet->organisation_count, &policy);
	} else {
		talloc_free(mem);
		return err_set(err, ERR_INVALID, "use jaycourse, first-fit or best-fit",
			       "unknown policy %s", name);
	}
	if (args->timeline && !(options.timeline = bench_output_open(args->timeline, err))) {
		talloc_free(mem);
		return -ERR_SYSTEM;
	}
	bench_replay(fleet, workload, &policy, &options, out);
	if (options.timeline)
		ret = bench_output_close(options.timeline, args->timeline, err);
	talloc_free(mem);
	return ret;
}

static json_t *result_json(const struct bench_result *result)
{
	return json_pack(
		"{s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:I, s:I, s:I, "
		"s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:s}",
		"completion_p50_s", result->completion_p50_s, "completion_p99_s",
		result->completion_p99_s, "large_wait_p99_s", result->large_wait_p99_s,
		"urgent_start_p99_s", result->urgent_start_p99_s, "urgent_start_max_s",
		result->urgent_start_max_s, "fragmentation_mean", result->fragmentation_mean,
		"utilisation_mean", result->utilisation_mean, "utilisation_raw_mean",
		result->utilisation_raw_mean, "reclaim_max_s", result->reclaim_max_s, "lost_work_s",
		result->lost_work_s, "decision_p50_us", result->decision_p50_us, "decision_p99_us",
		result->decision_p99_us, "decision_max_us", result->decision_max_us,
		"guarantee_violations", (json_int_t)result->guarantee_violations, "partial_gangs",
		(json_int_t)result->partial_gangs, "starved_jobs", (json_int_t)result->starved_jobs,
		"lost_jobs", (json_int_t)result->lost_jobs, "doubled_jobs",
		(json_int_t)result->doubled_jobs, "evictions", (json_int_t)result->evictions,
		"jobs_done", (json_int_t)result->jobs_done, "jobs_failed",
		(json_int_t)result->jobs_failed, "jobs_cancelled",
		(json_int_t)result->jobs_cancelled, "decisions", (json_int_t)result->decisions,
		"first_violation", result->first_violation);
}

static void print_result(const struct bench_result *result, bool compact)
{
	json_t *object = result_json(result);

	json_dumpf(object, stdout, JSON_REAL_PRECISION(6) | (compact ? 0 : JSON_INDENT(1)));
	putchar('\n');
	json_decref(object);
}

static struct arguments default_arguments(void)
{
	struct arguments args = {
		.policy = "jaycourse",
		.weights = "",
		.seed = 1,
		.seeds = 1,
		.scale = 1,
		.demand = 0.9,
	};

	return args;
}

int bench_cmd_place(int argc, char **argv)
{
	const struct argp argp = {
		place_options,
		parse_option,
		NULL,
		"Replay a workload against the decision module or a baseline.\v"
		"Example: jaycourse-bench place --fleet fleet.json --workload work.jsonl "
		"--policy jaycourse --json",
		NULL,
		NULL,
		NULL};
	struct arguments args = default_arguments();
	TALLOC_CTX *mem = talloc_new(NULL);
	struct bench_workload workload;
	struct bench_result result = {0};
	struct bench_fleet fleet;
	struct err err;
	int ret;

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	if (!args.fleet || !args.workload) {
		fprintf(stderr, "jaycourse-bench place: --fleet and --workload are required\n");
		return 2;
	}
	ret = bench_fleet_load(mem, args.fleet, &fleet, &err);
	if (!ret)
		ret = bench_workload_load(mem, args.workload, &workload, &err);
	if (!ret)
		ret = run_policy(&args, &fleet, &workload, args.policy, &result, &err);
	if (!ret)
		print_result(&result, args.json);
	talloc_free(mem);
	return ret ? report_error(&err) : 0;
}

int bench_cmd_workload(int argc, char **argv)
{
	const struct argp argp = {
		workload_options,
		parse_option,
		NULL,
		"Write a fleet and a bursty workload made from a seed.\v"
		"Example: jaycourse-bench workload --size nefeli --seed 7 --fleet fleet.json "
		"--workload work.jsonl",
		NULL,
		NULL,
		NULL};
	struct arguments args = default_arguments();
	struct bench_workload_options options;
	struct err err;

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	if (!args.size || !args.fleet || !args.workload) {
		fprintf(stderr, "jaycourse-bench workload: --size, --fleet and --workload are "
				"required\n");
		return 2;
	}
	options = (struct bench_workload_options){
		.size = args.size,
		.scale = args.scale ? args.scale : 1,
		.seed = args.seed,
		.demand = args.demand,
		.hours = args.hours,
		.fleet_path = args.fleet,
		.workload_path = args.workload,
	};
	if (bench_workload_write(&options, &err))
		return report_error(&err);
	return 0;
}

/*
 * One bound of the table: the figure of jaycourse against a limit, which may be derived from the
 * figure of first-fit (@base).
 */
struct bound {
	const char *name;
	double ours;
	double base;
	double limit;
	bool at_least;
};

static bool check_bounds(const char *size, uint64_t seed, const struct bench_result *ours,
			 const struct bench_result *base)
{
	const struct bound bounds[] = {
		{"guarantee_violations", (double)ours->guarantee_violations,
		 (double)base->guarantee_violations, 0, false},
		{"partial_gangs", (double)ours->partial_gangs, (double)base->partial_gangs, 0,
		 false},
		{"starved_jobs", (double)ours->starved_jobs, (double)base->starved_jobs, 0, false},
		{"lost_jobs", (double)ours->lost_jobs, (double)base->lost_jobs, 0, false},
		{"doubled_jobs", (double)ours->doubled_jobs, (double)base->doubled_jobs, 0, false},
		{"fragmentation_mean", ours->fragmentation_mean, base->fragmentation_mean,
		 base->fragmentation_mean / 2, false},
		{"large_wait_p99_s", ours->large_wait_p99_s, base->large_wait_p99_s,
		 base->large_wait_p99_s / 2, false},
		{"urgent_start_max_s", ours->urgent_start_max_s, base->urgent_start_max_s, 4.1,
		 false},
		{"completion_p99_s", ours->completion_p99_s, base->completion_p99_s,
		 base->completion_p99_s, false},
		{"utilisation_mean", ours->utilisation_mean, base->utilisation_mean,
		 base->utilisation_mean, true},
		{"decision_p99_us", ours->decision_p99_us, base->decision_p99_us, 1000, false},
	};
	bool all = true;

	printf("%s, seed %" PRIu64 ": %" PRIu64 " jobs done, %" PRIu64 " evictions\n", size, seed,
	       ours->jobs_done, ours->evictions);
	printf("  %-22s %12s %12s %12s\n", "", "jaycourse", "first-fit", "bound");
	for (size_t i = 0; i < sizeof(bounds) / sizeof(bounds[0]); i++) {
		const struct bound *bound = &bounds[i];
		bool ok =
			bound->at_least ? bound->ours >= bound->limit : bound->ours <= bound->limit;

		printf("  %-22s %12.4f %12.4f %s%11.4f  %s\n", bound->name, bound->ours,
		       bound->base, bound->at_least ? ">=" : "<=", bound->limit,
		       ok ? "ok" : "MISSED");
		all = all && ok;
	}
	if (ours->first_violation[0])
		printf("  first violation: %s\n", ours->first_violation);
	return all;
}

/* Creates an empty file; replaces the last six characters of @path. */
static int create_temporary(char *path, struct err *err)
{
	int fd = mkstemp(path);

	if (fd < 0)
		return err_set(err, ERR_SYSTEM, "make /tmp writable",
			       "cannot create a temporary file: %s", strerror(errno));
	close(fd);
	return 0;
}

static int compare_policies(const struct arguments *args, const char *size, uint64_t seed, bool *ok)
{
	char fleet_path[] = "/tmp/jaycourse-fleet-XXXXXX";
	char work_path[] = "/tmp/jaycourse-work-XXXXXX";
	struct bench_workload_options options = {
		.size = size,
		.scale = 1,
		.seed = seed,
		.demand = args->demand,
		.hours = args->hours,
		.fleet_path = fleet_path,
		.workload_path = work_path,
	};
	TALLOC_CTX *mem = talloc_new(NULL);
	struct bench_workload workload;
	struct bench_result ours = {0};
	struct bench_result base = {0};
	struct bench_fleet fleet;
	struct arguments run_args = *args;
	struct err err;
	int ret;

	/* By default each deployment is measured with its own weights. */
	if (!run_args.weights[0])
		run_args.weights = size;
	ret = create_temporary(fleet_path, &err);
	if (ret) {
		talloc_free(mem);
		return report_error(&err);
	}
	ret = create_temporary(work_path, &err);
	if (!ret)
		ret = bench_workload_write(&options, &err);
	if (!ret)
		ret = bench_fleet_load(mem, fleet_path, &fleet, &err);
	if (!ret)
		ret = bench_workload_load(mem, work_path, &workload, &err);
	if (!ret)
		ret = run_policy(&run_args, &fleet, &workload, "jaycourse", &ours, &err);
	if (!ret)
		ret = run_policy(&run_args, &fleet, &workload, "first-fit", &base, &err);
	if (!ret)
		*ok = check_bounds(size, seed, &ours, &base);
	unlink(fleet_path);
	unlink(work_path);
	talloc_free(mem);
	return ret ? report_error(&err) : 0;
}

int bench_cmd_table(int argc, char **argv)
{
	static const char *const all_sizes[] = {"nefeli", "sonhario", "two-year"};
	const struct argp argp = {table_options,
				  parse_option,
				  NULL,
				  "Compare jaycourse with first-fit and check the bounds.\v"
				  "Example: jaycourse-bench table --size nefeli --seeds 3",
				  NULL,
				  NULL,
				  NULL};
	struct arguments args = default_arguments();
	bool all = true;

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	for (size_t i = 0; i < 3; i++) {
		if (args.size && strcmp(args.size, all_sizes[i]) != 0)
			continue;
		for (uint64_t seed = args.seed; seed < args.seed + args.seeds; seed++) {
			bool ok = false;

			if (compare_policies(&args, all_sizes[i], seed, &ok))
				return 1;
			all = all && ok;
		}
	}
	printf("%s\n", all ? "all bounds hold" : "at least one bound is missed");
	return all ? 0 : 1;
}
