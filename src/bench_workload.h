#ifndef JAYCOURSE_BENCH_WORKLOAD_H
#define JAYCOURSE_BENCH_WORKLOAD_H

#include "err.h"

#include <stdint.h>

struct bench_workload_options {
	const char *size; /* "nefeli", "sonhario" or "two-year" */
	uint32_t scale;	  /* multiplies fleet, organisations and arrivals; 1 for the size itself */
	uint64_t seed;
	double demand; /* accelerator seconds asked for, as a share of the capacity */
	double hours;  /* length of the submissions */
	const char *fleet_path;
	const char *workload_path;
};

/**
 * bench_workload_write() - write a fleet and a bursty workload made from a seed
 *
 * Return: 0, -ERR_INVALID for an unknown size, -ERR_SYSTEM when a file cannot be written.
 */
int bench_workload_write(const struct bench_workload_options *options, struct err *err);

#endif
