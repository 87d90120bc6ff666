#include "frag.h"

#include "place_impl.h"

static uint32_t count_runs(uint64_t mask, uint32_t width)
{
	uint32_t runs = 0;

	while (mask) {
		int start = __builtin_ctzll(mask);
		uint64_t rest = ~(mask >> start);
		uint32_t length = rest ? (uint32_t)__builtin_ctzll(rest) : 64;

		if (length > 64 - (uint32_t)start)
			length = 64 - (uint32_t)start;
		runs += length / width;
		mask &= ~topo_run_mask((uint32_t)start, length);
	}
	return runs;
}

static bool same_group(const struct frag_worker *a, const struct frag_worker *b,
		       enum place_within within)
{
	if (within == PLACE_WITHIN_WORKER)
		return a == b;
	return a->zone == b->zone && (within == PLACE_WITHIN_ZONE || a->rack == b->rack);
}

static uint32_t usable_accelerators(const struct frag_worker *workers, size_t count,
				    const struct place_shape *shape)
{
	uint32_t total = 0;

	for (size_t begin = 0, end; begin < count; begin = end) {
		uint32_t runs = 0;

		for (end = begin; end < count; end++) {
			if (!same_group(&workers[begin], &workers[end], shape->within))
				break;
			runs += count_runs(workers[end].free, shape->accelerators);
		}
		total += runs / shape->members;
	}
	return total * shape->members * shape->accelerators;
}

double frag_share(const struct frag_worker *workers, size_t worker_count,
		  const struct frag_shape *shapes, size_t shape_count)
{
	uint32_t available = 0;
	double unusable = 0;
	double weights = 0;

	for (size_t i = 0; i < worker_count; i++)
		available += (uint32_t)__builtin_popcountll(workers[i].free);
	for (size_t i = 0; i < shape_count && available; i++) {
		const struct place_shape *shape = &shapes[i].shape;
		uint32_t size = shape->members * shape->accelerators;
		double weight = shapes[i].weight * size;
		uint32_t ideal;

		if (size == 0)
			continue;
		ideal = available / size * size;
		unusable += weight * (ideal - usable_accelerators(workers, worker_count, shape)) /
			    available;
		weights += weight;
	}
	return weights > 0 ? unusable / weights : 0;
}

static void add_shape(TALLOC_CTX *mem, struct frag_shape **shapes, size_t *count,
		      const struct place_shape *shape)
{
	for (size_t i = 0; i < *count; i++) {
		const struct place_shape *known = &(*shapes)[i].shape;

		if (known->members == shape->members &&
		    known->accelerators == shape->accelerators && known->within == shape->within) {
			(*shapes)[i].weight++;
			return;
		}
	}
	*shapes = talloc_realloc(mem, *shapes, struct frag_shape, *count + 1);
	(*shapes)[(*count)++] = (struct frag_shape){.shape = *shape, .weight = 1};
}

/* Collects the shapes of waiting jobs and guarantees, with their numbers; owned by @mem. */
struct frag_shape *frag_demanded_shapes(const struct place *place, TALLOC_CTX *mem, size_t *count)
{
	struct frag_shape *shapes = NULL;

	*count = 0;
	for (size_t i = 0; i < place->unit_count; i++)
		add_shape(mem, &shapes, count, &place->units[i]->shape);
	for (guint i = 0; i < place->orgs->len; i++) {
		const struct organisation *org = place->orgs->pdata[i];

		for (GList *at = org->waiting.head; at; at = at->next)
			add_shape(mem, &shapes, count, &((struct job *)at->data)->shape);
	}
	return shapes;
}

double place_fragmentation(const struct place *place)
{
	struct frag_worker *workers =
		talloc_array(NULL, struct frag_worker, place->workers->len + 1);
	size_t worker_count = 0;
	size_t shape_count;
	struct frag_shape *shapes = frag_demanded_shapes(place, workers, &shape_count);
	double share;

	topo_sort_workers((struct place *)place);
	for (size_t i = 0; i < place->order_count; i++) {
		const struct worker *worker = place->order[i];

		if (!topo_worker_usable(worker))
			continue;
		workers[worker_count++] =
			(struct frag_worker){.zone = worker->zone,
					     .rack = worker->rack,
					     .free = worker->all_mask & ~worker->used_mask};
	}
	share = frag_share(workers, worker_count, shapes, shape_count);
	talloc_free(workers);
	return share;
}
