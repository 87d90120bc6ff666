#include "bench_cmd.h"
#include "bench_load.h"

#include <argp.h>
#include <errno.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#define URLS_MAX 16
#define ROUNDS 2 /* direct and through the system take turns, so that drift hits both */

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
	{"direct", OPT_DIRECT, "URL", 0, "The same target asked directly; may be repeated", 0},
	{"token", OPT_TOKEN, "TOKEN", 0, "Organisation's token", 0},
	{"class", OPT_CLASS, "NAME", 0, "Class of work", 0},
	{"rate", OPT_RATE, "N", 0, "Requests a second; default 500", 0},
	{"requests", OPT_REQUESTS, "N", 0, "Number of requests; default 5000", 0},
	{"work-ms", OPT_WORK_MS, "N", 0, "Work asked of the target; default 1", 0},
	{"answer-bytes", OPT_ANSWER_BYTES, "N", 0, "Size of the answers; default 0", 0},
	{"in-flight", OPT_IN_FLIGHT, "N", 0, "Requests in flight at most; default 512", 0},
	{"bound-ms", OPT_BOUND, "X", 0, "Fail if more than this is added at p99", 0},
	{"json", OPT_JSON, NULL, 0, "Write one JSON object", 0},
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

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;

	switch (key) {
	case OPT_URL:
		return add_url(state, a->urls, &a->url_count, arg);
	case OPT_DIRECT:
		return add_url(state, a->direct, &a->direct_count, arg);
	case OPT_TOKEN:
		a->load.token = arg;
		return 0;
	case OPT_CLASS:
		a->load.class_name = arg;
		return 0;
	case OPT_RATE:
		a->load.rate = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPT_REQUESTS:
		a->load.requests = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPT_WORK_MS:
		a->load.work_ms = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPT_ANSWER_BYTES:
		a->load.answer_bytes = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPT_IN_FLIGHT:
		a->load.in_flight_max = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPT_BOUND:
		a->bound_ms = strtod(arg, NULL);
		return 0;
	case OPT_JSON:
		a->json = true;
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument %s", arg);
		return EINVAL;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static json_t *result_json(const struct bench_load_result *r)
{
	return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:f, s:f, s:f, s:f, s:f}", "sent",
			 (json_int_t)r->sent, "whole", (json_int_t)r->whole, "mixed",
			 (json_int_t)r->mixed, "refused", (json_int_t)r->refused, "failed",
			 (json_int_t)r->failed, "dropped", (json_int_t)r->dropped, "per_s",
			 r->seconds > 0 ? (double)r->whole / r->seconds : 0.0, "p50_ms", r->p50_ms,
			 "p99_ms", r->p99_ms, "p999_ms", r->p999_ms, "max_ms", r->max_ms);
}

static void print_row(const char *name, const struct bench_load_result *r)
{
	printf("%-8s %8.0f/s p50 %7.3f p99 %7.3f p99.9 %7.3f max %7.3f ms; whole %llu, mixed "
	       "%llu, refused %llu, failed %llu, dropped %llu\n",
	       name, r->seconds > 0 ? (double)r->whole / r->seconds : 0.0, r->p50_ms, r->p99_ms,
	       r->p999_ms, r->max_ms, (unsigned long long)r->whole, (unsigned long long)r->mixed,
	       (unsigned long long)r->refused, (unsigned long long)r->failed,
	       (unsigned long long)r->dropped);
}

static int run_one(struct tevent_context *ev, const struct arguments *a, bool direct,
		   struct bench_load_result *out)
{
	struct bench_load_options load = a->load;
	struct err err;

	load.urls = (const char **)(direct ? a->direct : a->urls);
	load.url_count = direct ? a->direct_count : a->url_count;
	if (!bench_load_run(ev, &load, out, &err))
		return 0;
	fprintf(stderr, "jaycourse-bench load: %s\nRemedy: %s\n", err.message, err.remedy);
	return 1;
}

static bool clean(const struct bench_load_result *r)
{
	return r->mixed == 0 && r->failed == 0;
}

int bench_cmd_load(int argc, char **argv)
{
	const struct argp argp = {
		options,
		parse,
		NULL,
		"Send requests at a fixed rate and measure what the system adds.\v"
		"Example: jaycourse-bench load --url "
		"http://127.0.0.1:8080/v1/services/harvest-planner/requests "
		"--direct http://127.0.0.1:9001/run --token TOKEN --class "
		"net-angle-check",
		NULL,
		NULL,
		NULL};
	struct arguments a = {.load = {.rate = 500,
				       .requests = 5000,
				       .in_flight_max = 512,
				       .work_ms = 1,
				       .timeout_ms = 30000}};
	struct bench_load_result direct = {0};
	struct bench_load_result through = {0};
	struct tevent_context *ev;
	bool ok = true;
	double added;

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	if (!a.url_count) {
		fprintf(stderr, "jaycourse-bench load: --url is required\n");
		return 2;
	}
	ev = tevent_context_init(NULL);
	for (int i = 0; i < ROUNDS && ok; i++) {
		if (a.direct_count)
			ok = run_one(ev, &a, true, &direct) == 0;
		ok = ok && run_one(ev, &a, false, &through) == 0;
		ok = ok && clean(&through);
		if (!a.json && a.direct_count)
			print_row("direct", &direct);
		if (!a.json)
			print_row("through", &through);
	}
	talloc_free(ev);
	added = through.p99_ms - direct.p99_ms;
	if (a.json) {
		json_t *json = json_pack("{s:o, s:o, s:f}", "direct", result_json(&direct),
					 "through", result_json(&through), "added_p99_ms", added);

		json_dumpf(json, stdout, JSON_INDENT(1) | JSON_REAL_PRECISION(6));
		putchar('\n');
		json_decref(json);
	} else if (a.direct_count) {
		printf("added at p99: %.3f ms\n", added);
	}
	if (a.bound_ms > 0 && added > a.bound_ms) {
		fprintf(stderr, "jaycourse-bench load: %.3f ms added at p99, bound %.3f ms\n",
			added, a.bound_ms);
		return 1;
	}
	return ok ? 0 : 1;
}
