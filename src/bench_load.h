#ifndef JAYCOURSE_BENCH_LOAD_H
#define JAYCOURSE_BENCH_LOAD_H

#include "err.h"

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/* Open-loop load: the send rate is fixed and does not depend on answers to earlier requests. */
struct bench_load_options {
	const char **urls; /* used round robin */
	size_t url_count;
	const char *token;	/* NULL: no Authorization header */
	const char *class_name; /* NULL: no class header */
	uint32_t rate;		/* requests a second */
	uint32_t requests;
	uint32_t in_flight_max; /* requests beyond this limit count as dropped */
	uint32_t work_ms;	/* simulated work of the target */
	uint32_t answer_bytes;	/* size of the answer besides the echo */
	uint32_t timeout_ms;
};

struct bench_load_result {
	uint64_t sent;
	uint64_t whole;	  /* status 200 with the echo of the request */
	uint64_t mixed;	  /* status 200 without the echo of the request */
	uint64_t refused; /* status 429 or 503: the request did not run */
	uint64_t failed;  /* any other status, or no answer */
	uint64_t dropped; /* not sent: in_flight_max requests were in flight */
	double seconds;
	double p50_ms; /* latency from the scheduled send time; whole answers only */
	double p99_ms;
	double p999_ms;
	double max_ms;
};

/**
 * bench_load_run() - send load and wait for all answers
 * @options: borrowed
 * @out: receives the counts and latencies
 *
 * Return: 0, or -ERR_INVALID if there is no URL, or the rate or the number of requests is 0.
 */
int bench_load_run(struct tevent_context *ev, const struct bench_load_options *options,
		   struct bench_load_result *out, struct err *err);

#endif
