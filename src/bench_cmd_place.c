#include "bench_cmd.h"
#include "bench_replay.h"
#include "bench_workload.h"

#include <argp.h>
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
	 "completion, fragmentation, nefeli or sonhario; default both alike", 0},
	{"seed", OPT_SEED, "N", 0, "Seed of the policy's random choices", 0},
	{"check", OPT_CHECK, NULL, 0, "Prove the invariants after every event (slow)", 0},
	{"timeline", OPT_TIMELINE, "FILE", 0, "Write fragmentation and large waits by minute", 0},
	{"json", OPT_JSON, NULL, 0, "Write one JSON object", 0},
	{0},
};

static const struct argp_option workload_options[] = {
	{"size", OPT_SIZE, "NAME", 0, "nefeli, sonhario or two-year", 0},
	{"scale", OPT_SCALE, "N", 0, "Multiply fleet and arrivals", 0},
	{"seed", OPT_SEED, "N", 0, "Seed of the workload", 0},
	{"demand", OPT_DEMAND, "X", 0, "Share of the accelerator time asked for; default 0.9", 0},
	{"hours", OPT_HOURS, "H", 0, "Length of the submissions", 0},
	{"fleet", OPT_FLEET, "FILE", 0, "Fleet file to write", 0},
	{"workload", OPT_WORKLOAD, "FILE", 0, "Workload file to write", 0},
	{0},
};

static const struct argp_option table_options[] = {
	{"size", OPT_SIZE, "NAME", 0, "Only this size", 0},
	{"seed", OPT_SEED, "N", 0, "First seed", 0},
	{"seeds", OPT_SEEDS, "N", 0, "Number of seeds for each size; default 1", 0},
	{"demand", OPT_DEMAND, "X", 0, "Share of the accelerator time asked for; default 0.9", 0},
	{"hours", OPT_HOURS, "H", 0, "Length of the submissions", 0},
	{"weights", OPT_WEIGHTS, "NAME", 0, "Instead of the deployment's own weights", 0},
	{0},
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;

	switch (key) {
	case OPT_FLEET:
		a->fleet = arg;
		return 0;
	case OPT_WORKLOAD:
		a->workload = arg;
		return 0;
	case OPT_POLICY:
		a->policy = arg;
		return 0;
	case OPT_WEIGHTS:
		a->weights = arg;
		return 0;
	case OPT_TIMELINE:
		a->timeline = arg;
		return 0;
	case OPT_SIZE:
		a->size = arg;
		return 0;
	case OPT_SEED:
		a->seed = strtoull(arg, NULL, 10);
		return 0;
	case OPT_SEEDS:
		a->seeds = strtoull(arg, NULL, 10);
		return 0;
	case OPT_SCALE:
		a->scale = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPT_DEMAND:
		a->demand = strtod(arg, NULL);
		return 0;
	case OPT_HOURS:
		a->hours = strtod(arg, NULL);
		return 0;
	case OPT_JSON:
		a->json = true;
		return 0;
	case OPT_CHECK:
		a->check = true;
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument %s", arg);
		return EINVAL;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int fail(const struct err *err)
{
	fprintf(stderr, "jaycourse-bench: %s\nRemedy: %s\n", err->message, err->remedy);
	return 1;
}

/* Weights of the deployments, as in the policies of examples/nefeli and examples/sonhario. */
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

static int run_policy(const struct arguments *a, const struct bench_fleet *fleet,
		      const struct bench_workload *workload, const char *name,
		      struct bench_result *out, struct err *err)
{
	struct bench_replay_options options = {.reclaim_grace_ms = RECLAIM_GRACE_MS,
					       .check = a->check};
	struct place_policy weights = make_policy(a->weights);
	TALLOC_CTX *mem = talloc_new(NULL);
	struct bench_policy policy;

	if (!strcmp(name, "jaycourse")) {
		bench_policy_place(mem, &weights, fleet->organisations, fleet->organisation_count,
				   a->seed, &policy);
	} else if (!strcmp(name, "first-fit") || !strcmp(name, "best-fit")) {
		bench_policy_baseline(mem, !strcmp(name, "best-fit"), fleet->organisations,
				      fleet->organisation_count, &policy);
	} else {
		talloc_free(mem);
		return err_set(err, ERR_INVALID, "use jaycourse, first-fit or best-fit",
			       "unknown policy %s", name);
	}
	if (a->timeline)
		options.timeline = fopen(a->timeline, "w");
	bench_replay(fleet, workload, &policy, &options, out);
	if (options.timeline)
		fclose(options.timeline);
	talloc_free(mem);
	return 0;
}

static json_t *result_json(const struct bench_result *r)
{
	return json_pack(
		"{s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:I, s:I, s:I, "
		"s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:s}",
		"completion_p50_s", r->completion_p50_s, "completion_p99_s", r->completion_p99_s,
		"large_wait_p99_s", r->large_wait_p99_s, "urgent_start_p99_s",
		r->urgent_start_p99_s, "urgent_start_max_s", r->urgent_start_max_s,
		"fragmentation_mean", r->fragmentation_mean, "utilisation_mean",
		r->utilisation_mean, "utilisation_raw_mean", r->utilisation_raw_mean,
		"reclaim_max_s", r->reclaim_max_s, "lost_work_s", r->lost_work_s, "decision_p50_us",
		r->decision_p50_us, "decision_p99_us", r->decision_p99_us, "decision_max_us",
		r->decision_max_us, "guarantee_violations", (json_int_t)r->guarantee_violations,
		"partial_gangs", (json_int_t)r->partial_gangs, "starved_jobs",
		(json_int_t)r->starved_jobs, "lost_jobs", (json_int_t)r->lost_jobs, "doubled_jobs",
		(json_int_t)r->doubled_jobs, "evictions", (json_int_t)r->evictions, "jobs_done",
		(json_int_t)r->jobs_done, "jobs_failed", (json_int_t)r->jobs_failed,
		"jobs_cancelled", (json_int_t)r->jobs_cancelled, "decisions",
		(json_int_t)r->decisions, "first_violation", r->first_violation);
}

static void print_result(const struct bench_result *r, bool compact)
{
	json_t *object = result_json(r);

	json_dumpf(object, stdout, JSON_REAL_PRECISION(6) | (compact ? 0 : JSON_INDENT(1)));
	putchar('\n');
	json_decref(object);
}

static struct arguments defaults(void)
{
	struct arguments a = {
		.policy = "jaycourse",
		.weights = "",
		.seed = 1,
		.seeds = 1,
		.scale = 1,
		.demand = 0.9,
	};

	return a;
}

int bench_cmd_place(int argc, char **argv)
{
	const struct argp argp = {
		place_options,
		parse,
		NULL,
		"Replay a workload against the decision module or a baseline.\v"
		"Example: jaycourse-bench place --fleet fleet.json --workload work.jsonl "
		"--policy jaycourse --json",
		NULL,
		NULL,
		NULL};
	struct arguments a = defaults();
	TALLOC_CTX *mem = talloc_new(NULL);
	struct bench_workload workload;
	struct bench_result result = {0};
	struct bench_fleet fleet;
	struct err err;
	int ret;

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	if (!a.fleet || !a.workload) {
		fprintf(stderr, "jaycourse-bench place: --fleet and --workload are required\n");
		return 2;
	}
	ret = bench_fleet_load(mem, a.fleet, &fleet, &err);
	if (!ret)
		ret = bench_workload_load(mem, a.workload, &workload, &err);
	if (!ret)
		ret = run_policy(&a, &fleet, &workload, a.policy, &result, &err);
	if (!ret)
		print_result(&result, a.json);
	talloc_free(mem);
	return ret ? fail(&err) : 0;
}

int bench_cmd_workload(int argc, char **argv)
{
	const struct argp argp = {
		workload_options,
		parse,
		NULL,
		"Write a fleet and a bursty workload made from a seed.\v"
		"Example: jaycourse-bench workload --size nefeli --seed 7 --fleet fleet.json "
		"--workload work.jsonl",
		NULL,
		NULL,
		NULL};
	struct arguments a = defaults();
	struct bench_workload_options options;
	struct err err;

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	if (!a.size || !a.fleet || !a.workload) {
		fprintf(stderr, "jaycourse-bench workload: --size, --fleet and --workload are "
				"required\n");
		return 2;
	}
	options = (struct bench_workload_options){
		.size = a.size,
		.scale = a.scale ? a.scale : 1,
		.seed = a.seed,
		.demand = a.demand,
		.hours = a.hours,
		.fleet_path = a.fleet,
		.workload_path = a.workload,
	};
	if (bench_workload_write(&options, &err))
		return fail(&err);
	return 0;
}

/* One bound of the table: ours against a limit that may depend on first-fit's figure. */
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
		const struct bound *b = &bounds[i];
		bool ok = b->at_least ? b->ours >= b->limit : b->ours <= b->limit;

		printf("  %-22s %12.4f %12.4f %s%11.4f  %s\n", b->name, b->ours, b->base,
		       b->at_least ? ">=" : "<=", b->limit, ok ? "ok" : "MISSED");
		all = all && ok;
	}
	if (ours->first_violation[0])
		printf("  first violation: %s\n", ours->first_violation);
	return all;
}

static int compare(const struct arguments *a, const char *size, uint64_t seed, bool *ok)
{
	char fleet_path[] = "/tmp/jaycourse-fleet-XXXXXX";
	char work_path[] = "/tmp/jaycourse-work-XXXXXX";
	struct bench_workload_options options = {
		.size = size,
		.scale = 1,
		.seed = seed,
		.demand = a->demand,
		.hours = a->hours,
		.fleet_path = fleet_path,
		.workload_path = work_path,
	};
	TALLOC_CTX *mem = talloc_new(NULL);
	struct bench_workload workload;
	struct bench_result ours = {0};
	struct bench_result base = {0};
	struct bench_fleet fleet;
	struct arguments own = *a;
	struct err err;
	int ret;

	/* Each deployment is measured with the weights that it runs with. */
	if (!own.weights[0])
		own.weights = size;
	close(mkstemp(fleet_path));
	close(mkstemp(work_path));
	ret = bench_workload_write(&options, &err);
	if (!ret)
		ret = bench_fleet_load(mem, fleet_path, &fleet, &err);
	if (!ret)
		ret = bench_workload_load(mem, work_path, &workload, &err);
	if (!ret)
		ret = run_policy(&own, &fleet, &workload, "jaycourse", &ours, &err);
	if (!ret)
		ret = run_policy(&own, &fleet, &workload, "first-fit", &base, &err);
	if (!ret)
		*ok = check_bounds(size, seed, &ours, &base);
	unlink(fleet_path);
	unlink(work_path);
	talloc_free(mem);
	return ret ? fail(&err) : 0;
}

int bench_cmd_table(int argc, char **argv)
{
	static const char *const all_sizes[] = {"nefeli", "sonhario", "two-year"};
	const struct argp argp = {table_options,
				  parse,
				  NULL,
				  "Compare jaycourse with first-fit and check the bounds.\v"
				  "Example: jaycourse-bench table --size nefeli --seeds 3",
				  NULL,
				  NULL,
				  NULL};
	struct arguments a = defaults();
	bool all = true;

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	for (size_t i = 0; i < 3; i++) {
		if (a.size && strcmp(a.size, all_sizes[i]) != 0)
			continue;
		for (uint64_t seed = a.seed; seed < a.seed + a.seeds; seed++) {
			bool ok = false;

			if (compare(&a, all_sizes[i], seed, &ok))
				return 1;
			all = all && ok;
		}
	}
	printf("%s\n", all ? "all bounds hold" : "at least one bound is missed");
	return all ? 0 : 1;
}
