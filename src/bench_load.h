#ifndef JAYCOURSE_BENCH_LOAD_H
#define JAYCOURSE_BENCH_LOAD_H

#include "err.h"

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/* Open loop: requests are sent at a fixed rate whether or not earlier ones have been answered. */
struct bench_load_options {
	const char **urls; /* used in turn */
	size_t url_count;
	const char *token;	/* NULL: no Authorization header */
	const char *class_name; /* NULL: no class header */
	uint32_t rate;		/* requests a second */
	uint32_t requests;
	uint32_t in_flight_max; /* further requests count as dropped */
	uint32_t work_ms;	/* asked of the target */
	uint32_t answer_bytes;	/* asked of the target in addition to the echo */
	uint32_t timeout_ms;
};

struct bench_load_result {
	uint64_t sent;
	uint64_t whole;	  /* answers with status 200 that echo their own request */
	uint64_t mixed;	  /* answers with status 200 that do not */
	uint64_t refused; /* status 429 or 503: not run */
	uint64_t failed;  /* any other answer, or none */
	uint64_t dropped; /* not sent because too many were in flight */
	double seconds;
	double p50_ms; /* from the scheduled send time, whole answers only */
	double p99_ms;
	double p999_ms;
	double max_ms;
};

/**
 * bench_load_run() - send load and wait for all answers
 * @options: borrowed
 * @out: receives the figures
 */
int bench_load_run(struct tevent_context *ev, const struct bench_load_options *options,
		   struct bench_load_result *out, struct err *err);

#endif
