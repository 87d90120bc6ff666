#include "bench_fit.h"

#include <stdlib.h>

uint64_t bench_fit_full_mask(uint32_t accelerators)
{
	return accelerators >= 64 ? UINT64_MAX : ((uint64_t)1 << accelerators) - 1;
}

/* Takes the lowest run of @length adjacent free accelerators. */
static bool allocate_run(uint64_t *free, uint32_t length, uint64_t *taken)
{
	uint64_t run = bench_fit_full_mask(length);

	*taken = 0;
	if (!length)
		return true;
	for (uint32_t at = 0; at + length <= 64; at++) {
		if ((*free >> at & run) == run) {
			*taken = run << at;
			*free &= ~*taken;
			return true;
		}
	}
	return false;
}

/* Name of the worker, rack or zone that all members of the shape must share. */
static const char *group_name(const struct bench_worker_capacity *worker, enum place_within within)
{
	if (within == PLACE_WITHIN_WORKER)
		return worker->spec.name;
	return within == PLACE_WITHIN_RACK ? worker->spec.rack : worker->spec.zone;
}

/* Places as many members as fit on one worker; returns the new number of placed members. */
static uint32_t fill_worker(const struct bench_worker_capacity *worker, size_t at,
			    const struct place_shape *shape, uint32_t placed, size_t *index,
			    uint64_t *mask)
{
	uint64_t free = worker->mask;
	uint32_t cores = worker->cores;
	uint32_t memory_mb = worker->memory_mb;

	while (placed < shape->members && cores >= shape->cores && memory_mb >= shape->memory_mb &&
	       allocate_run(&free, shape->accelerators, &mask[placed])) {
		cores -= shape->cores;
		memory_mb -= shape->memory_mb;
		index[placed++] = at;
	}
	return placed;
}

struct candidate {
	size_t at;
	int free;
};

static int compare_free_count(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->free != y->free)
		return x->free - y->free;
	return x->at < y->at ? -1 : x->at > y->at;
}

/* Lists the available workers of the group of @first in the order in which to try them. */
static size_t list_group(const struct bench_worker_capacity *workers, size_t count, size_t first,
			 const struct place_shape *shape, bool best_fit, struct candidate *out)
{
	const char *group = group_name(&workers[first], shape->within);
	size_t found = 0;

	for (size_t i = first; i < count; i++) {
		if (!workers[i].up || group_name(&workers[i], shape->within) != group)
			continue;
		out[found].at = i;
		out[found].free = __builtin_popcountll(workers[i].mask);
		found++;
	}
	if (best_fit)
		qsort(out, found, sizeof(*out), compare_free_count);
	return found;
}

static bool contains_group(const char **groups, size_t count, const char *group)
{
	for (size_t i = count; i > 0; i--) {
		if (groups[i - 1] == group)
			return true;
	}
	return false;
}

bool bench_fit(const struct bench_worker_capacity *workers, size_t count,
	       const struct place_shape *shape, bool best_fit, size_t *index, uint64_t *mask)
{
	struct candidate *group = malloc((count + 1) * sizeof(*group));
	const char **seen = malloc((count + 1) * sizeof(*seen));
	size_t seen_count = 0;
	bool fits = false;

	for (size_t first = 0; group && seen && first < count && !fits; first++) {
		const char *name = group_name(&workers[first], shape->within);
		uint32_t placed = 0;
		size_t size;

		if (!workers[first].up || contains_group(seen, seen_count, name))
			continue;
		seen[seen_count++] = name;
		size = list_group(workers, count, first, shape, best_fit, group);
		for (size_t i = 0; i < size && placed < shape->members; i++)
			placed = fill_worker(&workers[group[i].at], group[i].at, shape, placed,
					     index, mask);
		fits = placed == shape->members;
	}
	free(group);
	free(seen);
	return fits;
}
