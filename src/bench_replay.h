#ifndef JAYCOURSE_BENCH_REPLAY_H
#define JAYCOURSE_BENCH_REPLAY_H

#include "bench_input.h"
#include "bench_policy.h"

#include <stdio.h>

/* The suffix of a name gives its unit; fragmentation and utilisation are shares from 0 to 1. */
struct bench_result {
	double completion_p50_s;
	double completion_p99_s;
	double large_wait_p99_s;
	double urgent_start_p99_s;
	double urgent_start_max_s;
	double fragmentation_mean;
	double utilisation_mean;     /* useful share: without work lost to evictions and failures */
	double utilisation_raw_mean; /* share of accelerators granted */
	double reclaim_max_s;	     /* longest wait of a job within the guarantee */
	double lost_work_s;	     /* accelerator seconds */
	double decision_p50_us;
	double decision_p99_us;
	double decision_max_us;
	uint64_t guarantee_violations;
	uint64_t partial_gangs;
	uint64_t starved_jobs;
	uint64_t lost_jobs;
	uint64_t doubled_jobs;
	uint64_t evictions;
	uint64_t jobs_done;
	uint64_t jobs_failed;
	uint64_t jobs_cancelled;
	uint64_t decisions;
	char first_violation[ERR_TEXT_MAX];
};

struct bench_replay_options {
	uint32_t reclaim_grace_ms;
	FILE *timeline; /* one line a minute, see write_timeline(); NULL for none */
	bool check;	/* run the policy's invariant check after every step */
};

/**
 * bench_replay() - replay a workload against a policy with a virtual clock
 * @fleet: borrowed
 * @workload: borrowed
 * @policy: borrowed; its callbacks change its state
 * @options: borrowed
 * @out: receives the figures
 */
void bench_replay(const struct bench_fleet *fleet, const struct bench_workload *workload,
		  const struct bench_policy *policy, const struct bench_replay_options *options,
		  struct bench_result *out);

#endif
