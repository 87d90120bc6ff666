#ifndef JAYCOURSE_BENCH_POLICY_H
#define JAYCOURSE_BENCH_POLICY_H

#include "place.h"

/**
 * struct bench_policy - one placement policy under measurement
 *
 * Each callback has the meaning of the function of the same name with the prefix place_ in
 * place.h.
 */
struct bench_policy {
	void (*worker_up)(const struct place_worker_spec *spec, uint64_t now_ms, void *ctx);
	void (*worker_down)(const char *name, uint64_t now_ms, void *ctx);
	int (*submit)(const struct place_job_spec *spec, uint64_t now_ms, struct err *err,
		      void *ctx);
	int (*cancel)(const char *job, uint64_t now_ms, void *ctx);
	void (*started)(const char *job, uint32_t attempt, uint64_t now_ms, void *ctx);
	void (*checkpointed)(const char *job, uint64_t done_ms, void *ctx);
	void (*ended)(const char *job, uint32_t attempt, enum place_outcome outcome,
		      const char *worker, uint64_t now_ms, void *ctx);
	uint64_t (*step)(uint64_t now_ms,
			 void (*emit)(const struct place_decision *decision, void *emit_ctx),
			 void *emit_ctx, void *ctx);
	double (*fragmentation)(void *ctx);
	int (*check)(struct err *err, void *ctx);
	void *ctx;
};

/** bench_policy_place() - use the decision module (place.h) as the policy */
void bench_policy_place(TALLOC_CTX *mem, const struct place_policy *policy,
			const struct place_organisation_spec *organisations, size_t count,
			uint64_t seed, struct bench_policy *out);

/**
 * bench_policy_baseline() - first-fit or best-fit without eviction
 * @mem: owner of the policy
 * @best_fit: choose the worker with the fewest free accelerators that fits instead of the first
 *
 * Goes through the waiting jobs in arrival order and starts each job that fits. A struct place that
 * mirrors the state measures the fragmentation, so that all policies share one definition of it.
 */
void bench_policy_baseline(TALLOC_CTX *mem, bool best_fit,
			   const struct place_organisation_spec *organisations, size_t count,
			   struct bench_policy *out);

#endif
