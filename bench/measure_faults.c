/* Runs a deployment under load and failures generated from a seed and checks its guarantees. */
#include "lib_faultplan.h"
#include "util.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define RATE_WINDOW_MS 4000    /* measures the rate before the first failure and after recovery */
#define RECOVERY_DELAY_MS 5000 /* from recovery until the rate is measured again */
#define JOBS_TIMEOUT_MS 90000  /* for all accepted jobs to end after recovery */
#define TARGETS_ALIVE_TIMEOUT_MS 30000
#define AFTER_LEAVE_BOUND_S 3 /* design page, section 1.1, G6 */
#define IN_FORCE_BOUND_S 6    /* design page, section 1.1, G8 */

struct arguments {
	uint64_t seed;
	unsigned int seconds;
	bool json_only;
};

struct rates {
	double before;
	double after;
	double store_calls;
};

static struct cluster cluster;
static struct faultplan_context scene = {.cluster = &cluster};

static const struct callers_options groups[] = {
	{.threads = 3,
	 .work_ms = 30,
	 .class_name = "net-angle-check",
	 .idempotent = "no",
	 .balanced = true},
	{.threads = 3,
	 .work_ms = 30,
	 .class_name = "net-angle-check",
	 .idempotent = "yes",
	 .balanced = true},
	{.threads = 2,
	 .work_ms = 30,
	 .class_name = "net-angle-check",
	 .idempotent = "no",
	 .keys = true,
	 .balanced = true,
	 .repeat_unknown = true},
};

static unsigned int count_whole_answers(const GPtrArray *callers)
{
	unsigned int sum = 0;

	for (guint i = 0; i < callers->len; i++)
		sum += callers_whole_answers(g_ptr_array_index(callers, i));
	return sum;
}

static double measure_answer_rate(const GPtrArray *callers)
{
	unsigned int before = count_whole_answers(callers);
	uint64_t start = util_clock_ms();

	usleep(RATE_WINDOW_MS * 1000);
	return 1000.0 * (count_whole_answers(callers) - before) / (double)(util_clock_ms() - start);
}

static double read_store_calls(void)
{
	char url[128];
	struct http_reply reply;
	json_t *json;
	double sum;

	snprintf(url, sizeof(url), "http://%s/stats", cluster.store.address[0]);
	reply = http_call("GET", url, NULL, NULL, 5000);
	json = json_loads(reply.body, 0, NULL);
	http_reply_free(&reply);
	sum = json_number_value(json_object_get(json, "reads")) +
	      json_number_value(json_object_get(json, "writes"));
	json_decref(json);
	return sum;
}

static bool all_targets_alive(void *ctx)
{
	for (unsigned int i = 0; i < cluster.entry_count; i++) {
		if (cluster_alive_targets(&cluster, i) < cluster.target_count)
			return false;
	}
	return true;
}

static void add_summary(struct callers *callers, bool idempotent, struct callers_summary *sum)
{
	struct callers_summary summary;

	callers_summary(callers, &summary);
	sum->sent += summary.sent;
	sum->whole += summary.whole;
	sum->mixed += summary.mixed;
	sum->truncated += summary.truncated;
	sum->not_run += summary.not_run;
	sum->unknown += summary.unknown;
	sum->failed += summary.failed;
	sum->broken += summary.broken;
	sum->doubled += idempotent ? 0 : summary.doubled;
	sum->false_not_run += idempotent ? 0 : summary.false_not_run;
	sum->lost += summary.lost;
	if (summary.slowest_ms > sum->slowest_ms)
		sum->slowest_ms = summary.slowest_ms;
}

static void add_worker_histories(void)
{
	for (unsigned int i = 0; i < cluster.target_count; i++) {
		json_t *history;

		if (!cluster.targets[i].is_worker)
			continue;
		history = cluster_history(&cluster.targets[i].process);
		faultcheck_add(scene.check, cluster.targets[i].name, history, UINT64_MAX);
		json_decref(history);
	}
}

static bool report_result(const struct arguments *args, const struct faultplan *plan,
			  const struct rates *rates, const GPtrArray *callers)
{
	struct callers_summary summary = {0};
	struct faultcheck_result jobs;
	struct faultload_config config;
	unsigned int lost;
	unsigned int doubled;
	json_t *json;

	for (guint i = 0; i < callers->len; i++) {
		bool idempotent = i < G_N_ELEMENTS(groups) && !strcmp(groups[i].idempotent, "yes");

		add_summary(g_ptr_array_index(callers, i), idempotent, &summary);
	}
	add_worker_histories();
	jobs = faultcheck_check_jobs(scene.check, faultload_jobs(scene.load));
	config = faultload_config_result(scene.load);
	lost = summary.lost + jobs.lost;
	doubled = summary.doubled + jobs.doubled;
	json = json_pack("{s:I, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i}", "seed",
			 (json_int_t)args->seed, "requests", (int)summary.sent, "jobs",
			 (int)faultload_jobs(scene.load)->len, "lost", (int)lost, "doubled",
			 (int)doubled, "false_not_run", (int)summary.false_not_run, "partial_gangs",
			 (int)jobs.partial_gangs, "mixed_answers", (int)summary.mixed,
			 "cut_answers", (int)summary.truncated);
	json_object_update_new(json,
			       json_pack("{s:f, s:f, s:i, s:f, s:f}", "after_leave_s_max",
					 scene.after_leave_s_max, "config_in_force_s_max",
					 config.in_force_s_max, "config_reverts",
					 (int)config.reverts, "goodput_ratio",
					 rates->before > 0 ? rates->after / rates->before : 0.0,
					 "store_calls_per_s", rates->store_calls));
	json_object_set_new(json, "told",
			    json_pack("{s:i, s:i, s:i, s:i, s:i, s:I}", "whole", (int)summary.whole,
				      "not_run", (int)summary.not_run, "unknown",
				      (int)summary.unknown, "failed", (int)summary.failed, "broken",
				      (int)summary.broken, "slowest_ms",
				      (json_int_t)summary.slowest_ms));
	json_object_set_new(json, "jobs_ended",
			    json_pack("{s:i, s:i, s:i, s:i}", "done", (int)jobs.done, "failed",
				      (int)jobs.failed, "failed_idempotent",
				      (int)jobs.failed_idempotent, "cancelled",
				      (int)jobs.cancelled));
	json_object_set_new(json, "config_changes",
			    json_pack("{s:i, s:i}", "accepted", (int)config.accepted, "conflicts",
				      (int)config.conflicts));
	json_object_set_new(json, "events", faultplan_events(plan));
	json_dumpf(json, stdout,
		   (args->json_only ? JSON_COMPACT : JSON_INDENT(1)) | JSON_REAL_PRECISION(4));
	putchar('\n');
	json_decref(json);
	return !lost && !doubled && !summary.false_not_run && !jobs.partial_gangs &&
	       !summary.mixed && !summary.truncated && !config.reverts &&
	       scene.after_leave_s_max <= AFTER_LEAVE_BOUND_S &&
	       config.in_force_s_max <= IN_FORCE_BOUND_S;
}

static bool run_scenario(const struct arguments *args)
{
	GPtrArray *callers;
	struct faultplan *plan;
	struct rates rates;
	uint64_t start;
	double calls;
	bool ok;

	scene.check = faultcheck_create();
	scene.load = faultload_start(&cluster, args->seed);
	if (!scene.load)
		return false;
	callers = g_ptr_array_new_with_free_func((GDestroyNotify)callers_free);
	scene.caller_groups = callers;
	for (size_t i = 0; i < G_N_ELEMENTS(groups); i++)
		g_ptr_array_add(callers, callers_start(&cluster, &groups[i]));
	plan = faultplan_create(&scene, args->seed, 0, args->seconds * 1000ULL);
	rates.before = measure_answer_rate(callers);
	calls = read_store_calls();
	start = util_clock_ms();
	ok = faultplan_run(plan);
	ok = ok && wait_until(all_targets_alive, NULL, TARGETS_ALIVE_TIMEOUT_MS);
	if (!ok)
		fprintf(stderr, "not everything recovered after the failures\n");
	usleep(RECOVERY_DELAY_MS * 1000);
	rates.after = measure_answer_rate(callers);
	rates.store_calls =
		1000.0 * (read_store_calls() - calls) / (double)(util_clock_ms() - start);
	for (guint i = 0; i < callers->len; i++)
		callers_stop(g_ptr_array_index(callers, i));
	faultload_stop(scene.load);
	faultload_wait_jobs(scene.load, JOBS_TIMEOUT_MS);
	ok = report_result(args, plan, &rates, callers) && ok;
	g_ptr_array_free(callers, TRUE);
	faultload_free(scene.load);
	faultcheck_free(scene.check);
	faultplan_free(plan);
	return ok;
}

enum option_key {
	OPT_SEED = 256,
	OPT_SECONDS,
	OPT_JSON,
};

static const struct argp_option options[] = {
	{"seed", OPT_SEED, "N", 0, "Seed of the schedule and the load; default 1", 0},
	{"seconds", OPT_SECONDS, "N", 0, "Length of the schedule of failures; default 40", 0},
	{"json", OPT_JSON, NULL, 0, "Print the result on one line", 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *args = state->input;

	switch (key) {
	case OPT_SEED:
		args->seed = strtoull(arg, NULL, 10);
		return 0;
	case OPT_SECONDS:
		args->seconds = (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	case OPT_JSON:
		args->json_only = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	const struct argp argp = {
		options, parse_option,
		NULL,	 "Run a deployment on loopback under failures and check its guarantees.",
		NULL,	 NULL,
		NULL};
	const struct cluster_options cluster_options = {
		.example = "nefeli", .entries = 2, .services = 4, .workers = 9};
	struct arguments args = {.seed = 1, .seconds = 40};
	bool ok;

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	if (!cluster_start(&cluster, &cluster_options))
		return EXIT_FAILURE;
	ok = run_scenario(&args);
	fprintf(stderr, "logs in %s\n", proc_log_folder());
	return cluster_stop(&cluster) && ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
