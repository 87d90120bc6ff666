#ifndef JAYCOURSE_FRAG_H
#define JAYCOURSE_FRAG_H

#include "place.h"

/**
 * DOC: Fragmentation
 *
 * The one definition: the share of free accelerators that cannot serve the shapes in demand and
 * the guaranteed shapes because they are not adjacent. For one shape it is the difference between
 * the accelerators that whole copies of the shape could use if all free ones were adjacent, and
 * those that whole copies can use where they are, divided by all free ones. Shapes are averaged,
 * weighted by the accelerators they ask for.
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
 * Return: 0 to 1; 0 when nothing is free or nothing is asked for.
 */
double frag_share(const struct frag_worker *workers, size_t worker_count,
		  const struct frag_shape *shapes, size_t shape_count);

#endif
