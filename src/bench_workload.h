#ifndef JAYCOURSE_BENCH_WORKLOAD_H
#define JAYCOURSE_BENCH_WORKLOAD_H

#include "err.h"

#include <stdint.h>

struct bench_workload_options {
	const char *size; /* "nefeli", "sonhario" or "two-year" */
	uint32_t scale;	  /* factor for fleet, organisations and arrivals; 1 keeps the size */
	uint64_t seed;
	double demand; /* requested accelerator time as a share of the capacity */
	double hours;  /* length of the period of submissions; 0 for the default of the size */
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
