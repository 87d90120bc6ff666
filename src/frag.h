#ifndef JAYCOURSE_FRAG_H
#define JAYCOURSE_FRAG_H

#include "place.h"

/**
 * DOC: Fragmentation
 *
 * Fragmentation is the share of free accelerators that cannot serve the shapes of waiting jobs and
 * guarantees because they are not adjacent. All code uses this definition. For one shape it is the
 * number of accelerators that complete instances of the shape could use if all free accelerators
 * were adjacent, less the number that complete instances can use as the accelerators lie, divided
 * by the number of free accelerators. Over several shapes it is the mean, weighted by the
 * accelerators that they ask for.
 */

struct frag_worker {
	int zone;
	int rack;
	uint64_t free; /* mask of free accelerators */
};

struct frag_shape {
	struct place_shape shape;
	double weight; /* number of jobs and guarantees of this shape */
};

/**
 * frag_share() - fragmentation of free accelerators for a set of shapes
 * @workers: sorted so that workers of a rack, and racks of a zone, are neighbours; borrowed
 * @shapes: shapes in demand; those without accelerators are ignored; borrowed
 *
 * Return: 0 to 1; 0 when no accelerator is free or no shape asks for accelerators.
 */
double frag_share(const struct frag_worker *workers, size_t worker_count,
		  const struct frag_shape *shapes, size_t shape_count);

#endif
