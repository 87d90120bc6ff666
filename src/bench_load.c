#include "bench_load.h"
#include "httpc.h"
#include "util.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ECHO_MAX 48
#define US_PER_S 1000000ULL
#define US_PER_MS 1000.0

struct load {
	struct tevent_context *ev;
	const struct bench_load_options *options;
	struct bench_load_result *out;
	struct httpc *client;
	char *headers[2];
	size_t header_count;
	uint64_t start_us;
	uint64_t next; /* index of the next request */
	uint64_t in_flight;
	double *latency_ms;
	uint64_t run_id; /* makes the echoes of different runs distinct */
};

struct sent_request {
	struct load *load;
	uint64_t scheduled_us;
	char echo[ECHO_MAX];
};

static void on_answer(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct sent_request *sent = ctx;
	struct load *load = sent->load;
	struct bench_load_result *out = load->out;

	load->in_flight--;
	if (status || (http_status != 200 && http_status != 429 && http_status != 503)) {
		out->failed++;
	} else if (http_status != 200) {
		out->refused++;
	} else if (!strstr(body, sent->echo)) {
		out->mixed++;
	} else {
		load->latency_ms[out->whole++] =
			(double)(util_clock_us() - sent->scheduled_us) / US_PER_MS;
	}
	talloc_free(sent);
}

static void send_request(struct load *load, uint64_t scheduled_us)
{
	const struct bench_load_options *options = load->options;
	struct sent_request *sent = talloc_zero(load, struct sent_request);
	struct httpc_request request = {
		.method = "POST",
		.url = options->urls[load->next % options->url_count],
		.headers = (const char *const *)load->headers,
		.header_count = load->header_count,
		.timeout_ms = options->timeout_ms,
		.done = on_answer,
		.ctx = sent,
	};
	char body[160];

	sent->load = load;
	sent->scheduled_us = scheduled_us;
	snprintf(sent->echo, sizeof(sent->echo), "echo-%016" PRIx64 "-%" PRIu64 ".", load->run_id,
		 load->next);
	snprintf(body, sizeof(body), "{\"work_ms\":%u,\"answer_bytes\":%u,\"echo\":\"%s\"}",
		 options->work_ms, options->answer_bytes, sent->echo);
	request.body = body;
	request.body_len = strlen(body);
	load->out->sent++;
	load->in_flight++;
	if (!httpc_start(load->client, &request))
		on_answer(-ERR_SYSTEM, 0, "", 0, sent);
}

static uint64_t next_send_us(const struct load *load)
{
	return load->start_us + load->next * US_PER_S / load->options->rate;
}

static void schedule_next_send(struct load *load);

static void on_send_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			  void *data)
{
	struct load *load = data;

	while (load->next < load->options->requests && next_send_us(load) <= util_clock_us()) {
		if (load->in_flight >= load->options->in_flight_max)
			load->out->dropped++;
		else
			send_request(load, next_send_us(load));
		load->next++;
	}
	schedule_next_send(load);
}

static void schedule_next_send(struct load *load)
{
	uint64_t now = util_clock_us();
	uint64_t due = next_send_us(load);
	uint64_t wait = due > now ? due - now : 0;

	if (load->next >= load->options->requests)
		return;
	tevent_add_timer(load->ev, load,
			 tevent_timeval_current_ofs((uint32_t)(wait / US_PER_S),
						    (uint32_t)(wait % US_PER_S)),
			 on_send_timer, load);
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double quantile(const double *sorted, uint64_t count, double q)
{
	uint64_t rank = (uint64_t)(q * (double)count);

	if (!count)
		return 0;
	return sorted[rank < count ? rank : count - 1];
}

static void compute_result(struct load *load)
{
	struct bench_load_result *out = load->out;

	qsort(load->latency_ms, out->whole, sizeof(double), compare_doubles);
	out->p50_ms = quantile(load->latency_ms, out->whole, 0.5);
	out->p99_ms = quantile(load->latency_ms, out->whole, 0.99);
	out->p999_ms = quantile(load->latency_ms, out->whole, 0.999);
	out->max_ms = quantile(load->latency_ms, out->whole, 1.0);
	out->seconds = (double)(util_clock_us() - load->start_us) / (double)US_PER_S;
}

int bench_load_run(struct tevent_context *ev, const struct bench_load_options *options,
		   struct bench_load_result *out, struct err *err)
{
	struct load *load;

	memset(out, 0, sizeof(*out));
	if (!options->rate || !options->requests || !options->url_count)
		return err_set(err, ERR_INVALID, "give --url, --rate and --requests",
			       "no URL, a rate of 0 or 0 requests");
	load = talloc_zero(NULL, struct load);
	load->ev = ev;
	load->options = options;
	load->out = out;
	load->client = httpc_create(load, ev);
	load->latency_ms = talloc_zero_array(load, double, options->requests);
	util_random_bytes(&load->run_id, sizeof(load->run_id));
	if (options->token)
		load->headers[load->header_count++] =
			talloc_asprintf(load, "Authorization: Bearer %s", options->token);
	if (options->class_name)
		load->headers[load->header_count++] =
			talloc_asprintf(load, "X-Jaycourse-Class: %s", options->class_name);
	load->start_us = util_clock_us();
	schedule_next_send(load);
	while (load->next < options->requests || load->in_flight > 0)
		tevent_loop_once(ev);
	compute_result(load);
	talloc_free(load);
	return 0;
}
