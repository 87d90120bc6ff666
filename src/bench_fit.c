#include "bench_fit.h"

#include <stdlib.h>
#include <string.h>

uint64_t bench_fit_full_mask(uint32_t accelerators)
{
	return accelerators >= 64 ? UINT64_MAX : ((uint64_t)1 << accelerators) - 1;
}

static bool take_run(uint64_t *free, uint32_t length, uint64_t *taken)
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

static bool same_group(const struct place_worker_spec *a, const struct place_worker_spec *b,
		       enum place_within within)
{
	if (strcmp(a->zone, b->zone) != 0)
		return false;
	if (within == PLACE_WITHIN_ZONE)
		return true;
	if (strcmp(a->rack, b->rack) != 0)
		return false;
	return within == PLACE_WITHIN_RACK || !strcmp(a->name, b->name);
}

/* Puts as many members as possible on one worker; returns the new number of placed members. */
static uint32_t fill_worker(const struct bench_free *worker, size_t at,
			    const struct place_shape *shape, uint32_t placed, size_t *index,
			    uint64_t *mask)
{
	uint64_t free = worker->mask;
	uint32_t cores = worker->cores;
	uint32_t memory_mb = worker->memory_mb;

	while (placed < shape->members && cores >= shape->cores && memory_mb >= shape->memory_mb &&
	       take_run(&free, shape->accelerators, &mask[placed])) {
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

static int by_free(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->free != y->free)
		return x->free - y->free;
	return x->at < y->at ? -1 : x->at > y->at;
}

/* Candidate workers of the group that @first belongs to, in the order to be tried. */
static size_t list_group(const struct bench_free *workers, size_t count, size_t first,
			 const struct place_shape *shape, bool best_fit, struct candidate *out)
{
	size_t found = 0;

	for (size_t i = first; i < count; i++) {
		if (!workers[i].up ||
		    !same_group(&workers[first].spec, &workers[i].spec, shape->within))
			continue;
		out[found].at = i;
		out[found].free = __builtin_popcountll(workers[i].mask);
		found++;
	}
	if (best_fit)
		qsort(out, found, sizeof(*out), by_free);
	return found;
}

static bool group_seen(const struct bench_free *workers, size_t at, enum place_within within)
{
	for (size_t i = 0; i < at; i++) {
		if (workers[i].up && same_group(&workers[i].spec, &workers[at].spec, within))
			return true;
	}
	return false;
}

bool bench_fit(const struct bench_free *workers, size_t count, const struct place_shape *shape,
	       bool best_fit, size_t *index, uint64_t *mask)
{
	struct candidate *group = malloc((count + 1) * sizeof(*group));
	bool fits = false;

	for (size_t first = 0; group && first < count && !fits; first++) {
		uint32_t placed = 0;
		size_t size;

		if (!workers[first].up || group_seen(workers, first, shape->within))
			continue;
		size = list_group(workers, count, first, shape, best_fit, group);
		for (size_t i = 0; i < size && placed < shape->members; i++)
			placed = fill_worker(&workers[group[i].at], group[i].at, shape, placed,
					     index, mask);
		fits = placed == shape->members;
	}
	free(group);
	return fits;
}
