#ifndef JAYCOURSE_BENCH_INPUT_H
#define JAYCOURSE_BENCH_INPUT_H

#include "err.h"
#include "place.h"

#include <stdio.h>

/**
 * DOC: Fleet and workload files of the placement benchmark
 *
 * A fleet file holds one JSON object, a workload file one JSON event per line, sorted by time.
 * docs/benchmarks.md describes the fields.
 */

struct bench_fleet {
	struct place_worker_spec *workers;
	size_t worker_count;
	struct place_organisation_spec *organisations;
	size_t organisation_count;
	uint32_t accelerators;
	uint32_t largest_worker; /* accelerators of the largest worker */
};

enum bench_event_kind {
	BENCH_SUBMIT,
	BENCH_CANCEL,
	BENCH_WORKER_DOWN,
	BENCH_WORKER_UP,
	BENCH_WORKER_BAD,
	BENCH_WORKER_GOOD,
};

struct bench_event {
	uint64_t time_ms;
	enum bench_event_kind kind;
	struct place_job_spec job; /* only for BENCH_SUBMIT */
	uint64_t actual_ms;	   /* run time */
	bool never_runs;	   /* each start fails */
	const char *name;	   /* job id for BENCH_CANCEL, otherwise the worker */
};

struct bench_workload {
	struct bench_event *events;
	size_t event_count;
};

/** bench_output_open() - create or empty a file; Return: NULL with @err filled on failure */
FILE *bench_output_open(const char *path, struct err *err);

/** bench_output_close() - Return: an error, with @err filled, if not all was written */
int bench_output_close(FILE *file, const char *path, struct err *err);

/** bench_fleet_load() - read a fleet file; the result is owned by @mem */
int bench_fleet_load(TALLOC_CTX *mem, const char *path, struct bench_fleet *out, struct err *err);

/** bench_workload_load() - read a workload file; the result is owned by @mem */
int bench_workload_load(TALLOC_CTX *mem, const char *path, struct bench_workload *out,
			struct err *err);

#endif
