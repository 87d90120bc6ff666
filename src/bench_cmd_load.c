#include "bench_cmd.h"
#include "bench_load.h"

#include <argp.h>
#include <errno.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#define URLS_MAX 16
/*
 * Each round measures the direct path and then the path through the system, so that drift affects
 * both alike.
 */
#define ROUNDS 2

enum option_key {
	OPT_URL = 256,
	OPT_DIRECT,
	OPT_TOKEN,
	OPT_CLASS,
	OPT_RATE,
	OPT_REQUESTS,
	OPT_WORK_MS,
	OPT_ANSWER_BYTES,
	OPT_IN_FLIGHT,
	OPT_BOUND,
	OPT_JSON,
};

static const struct argp_option options[] = {
	{"url", OPT_URL, "URL", 0, "Request URL at an entry; may be repeated", 0},
	{"direct", OPT_DIRECT, "URL", 0,
	 "URL of the same target, bypassing the system; may be repeated", 0},
	{"token", OPT_TOKEN, "TOKEN", 0, "Organisation's token", 0},
	{"class", OPT_CLASS, "NAME", 0, "Class of work", 0},
	{"rate", OPT_RATE, "N", 0, "Requests a second; default 500", 0},
	{"requests", OPT_REQUESTS, "N", 0, "Number of requests; default 5000", 0},
	{"work-ms", OPT_WORK_MS, "N", 0, "Simulated work of the target per request; default 1", 0},
	{"answer-bytes", OPT_ANSWER_BYTES, "N", 0,
	 "Bytes of each answer besides the echo; default 0", 0},
	{"in-flight", OPT_IN_FLIGHT, "N", 0, "Maximum number of requests in flight; default 512",
	 0},
	{"bound-ms", OPT_BOUND, "X", 0, "Fail if the system adds more than this to the p99 latency",
	 0},
	{"json", OPT_JSON, NULL, 0, "Print the results as one JSON object", 0},
	{0},
};

struct arguments {
	const char *urls[URLS_MAX];
	size_t url_count;
	const char *direct[URLS_MAX];
	size_t direct_count;
	struct bench_load_options load;
	double bound_ms;
	bool json;
};

static error_t add_url(struct argp_state *state, const char **list, size_t *count, const char *url)
{
	if (*count == URLS_MAX) {
		argp_error(state, "at most %d URLs", URLS_MAX);
		return EINVAL;
	}
	list[(*count)++] = url;
	return 0;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *args = state->input;

	switch (key) {
	case OPT_URL:
		return add_url(state, args->urls, &args->url_count, arg);
	case OPT_DIRECT:
		return add_url(state, args->direct, &args->direct_count, arg);
	case OPT_TOKEN:
		args->load.token = arg;
		return 0;
	case OPT_CLASS:
		args->load.class_name = arg;
		return 0;
	case OPT_RATE:
		args->load.rate = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPT_REQUESTS:
		args->load.requests = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPT_WORK_MS:
		args->load.work_ms = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPT_ANSWER_BYTES:
		args->load.answer_bytes = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPT_IN_FLIGHT:
		args->load.in_flight_max = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPT_BOUND:
		args->bound_ms = strtod(arg, NULL);
		return 0;
	case OPT_JSON:
		args->json = true;
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument %s", arg);
		return EINVAL;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static json_t *result_json(const struct bench_load_result *result)
{
	return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:f, s:f, s:f, s:f, s:f}", "sent",
			 (json_int_t)result->sent, "whole", (json_int_t)result->whole, "mixed",
			 (json_int_t)result->mixed, "refused", (json_int_t)result->refused,
			 "failed", (json_int_t)result->failed, "dropped",
			 (json_int_t)result->dropped, "per_s",
			 result->seconds > 0 ? (double)result->whole / result->seconds : 0.0,
			 "p50_ms", result->p50_ms, "p99_ms", result->p99_ms, "p999_ms",
			 result->p999_ms, "max_ms", result->max_ms);
}

static void print_row(const char *name, const struct bench_load_result *result)
{
	printf("%-8s %8.0f/s p50 %7.3f p99 %7.3f p99.9 %7.3f max %7.3f ms; whole %llu, mixed "
	       "%llu, refused %llu, failed %llu, dropped %llu\n",
	       name, result->seconds > 0 ? (double)result->whole / result->seconds : 0.0,
	       result->p50_ms, result->p99_ms, result->p999_ms, result->max_ms,
	       (unsigned long long)result->whole, (unsigned long long)result->mixed,
	       (unsigned long long)result->refused, (unsigned long long)result->failed,
	       (unsigned long long)result->dropped);
}

static int run_round(struct tevent_context *ev, const struct arguments *args, bool direct,
		     struct bench_load_result *out)
{
	struct bench_load_options load = args->load;
	struct err err;

	load.urls = (const char **)(direct ? args->direct : args->urls);
	load.url_count = direct ? args->direct_count : args->url_count;
	if (!bench_load_run(ev, &load, out, &err))
		return 0;
	fprintf(stderr, "jaycourse-bench load: %s\nRemedy: %s\n", err.message, err.remedy);
	return 1;
}

static bool has_no_errors(const struct bench_load_result *result)
{
	return result->mixed == 0 && result->failed == 0;
}

int bench_cmd_load(int argc, char **argv)
{
	const struct argp argp = {
		options,
		parse_option,
		NULL,
		"Send requests at a fixed rate and measure the latency that the system adds.\v"
		"Example: jaycourse-bench load --url "
		"http://127.0.0.1:8080/v1/services/harvest-planner/requests "
		"--direct http://127.0.0.1:9001/run --token TOKEN --class "
		"net-angle-check",
		NULL,
		NULL,
		NULL};
	struct arguments args = {.load = {.rate = 500,
					  .requests = 5000,
					  .in_flight_max = 512,
					  .work_ms = 1,
					  .timeout_ms = 30000}};
	struct bench_load_result direct = {0};
	struct bench_load_result through = {0};
	struct tevent_context *ev;
	bool ok = true;
	double added;

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	if (!args.url_count) {
		fprintf(stderr, "jaycourse-bench load: --url is required\n");
		return 2;
	}
	ev = tevent_context_init(NULL);
	for (int i = 0; i < ROUNDS && ok; i++) {
		if (args.direct_count)
			ok = run_round(ev, &args, true, &direct) == 0;
		ok = ok && run_round(ev, &args, false, &through) == 0;
		ok = ok && has_no_errors(&through);
		if (!args.json && args.direct_count)
			print_row("direct", &direct);
		if (!args.json)
			print_row("through", &through);
	}
	talloc_free(ev);
	added = through.p99_ms - direct.p99_ms;
	if (args.json) {
		json_t *json = json_pack("{s:o, s:o, s:f}", "direct", result_json(&direct),
					 "through", result_json(&through), "added_p99_ms", added);

		json_dumpf(json, stdout, JSON_INDENT(1) | JSON_REAL_PRECISION(6));
		putchar('\n');
		json_decref(json);
	} else if (args.direct_count) {
		printf("added at p99: %.3f ms\n", added);
	}
	if (args.bound_ms > 0 && added > args.bound_ms) {
		fprintf(stderr, "jaycourse-bench load: %.3f ms added at p99, bound %.3f ms\n",
			added, args.bound_ms);
		return 1;
	}
	return ok ? 0 : 1;
}
