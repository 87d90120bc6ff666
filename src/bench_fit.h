#ifndef JAYCOURSE_BENCH_FIT_H
#define JAYCOURSE_BENCH_FIT_H

#include "place.h"

/*
 * Free capacity of one worker. Workers of one zone or rack share the pointer to its name, as
 * bench_fleet_load() sets it, so that groups are compared by pointer instead of by string.
 */
struct bench_worker_capacity {
	struct place_worker_spec spec;
	uint64_t mask; /* set bits: free accelerators */
	uint32_t cores;
	uint32_t memory_mb;
	bool up;
};

/**
 * bench_fit() - find room for all members of a shape
 * @workers: candidates, searched in this order; not changed
 * @count: number of @workers
 * @shape: members to place and what each needs
 * @best_fit: prefer the workers with the fewest free accelerators
 * @index: receives the index of the worker of each member
 * @mask: receives the mask of accelerators of each member
 *
 * Return: true if all members fit; otherwise @index and @mask may be partly filled.
 */
bool bench_fit(const struct bench_worker_capacity *workers, size_t count,
	       const struct place_shape *shape, bool best_fit, size_t *index, uint64_t *mask);

/** bench_fit_full_mask() - mask with the lowest @accelerators bits set */
uint64_t bench_fit_full_mask(uint32_t accelerators);

#endif
