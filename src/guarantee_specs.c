#include "place_impl.h"

#include <string.h>

static int compare_priority(const void *a, const void *b)
{
	const struct unit *x = *(struct unit *const *)a;
	const struct unit *y = *(struct unit *const *)b;

	if (x->org->priority != y->org->priority)
		return x->org->priority > y->org->priority ? -1 : 1;
	if (x->org->since_ms != y->org->since_ms)
		return x->org->since_ms < y->org->since_ms ? -1 : 1;
	if (x->org->index != y->org->index)
		return x->org->index < y->org->index ? -1 : 1;
	return x->index < y->index ? -1 : x->index > y->index;
}

static struct unit *reuse_unit(struct unit **old, size_t count, const struct place_shape *shape)
{
	for (size_t i = 0; i < count; i++) {
		struct unit *unit = old[i];

		if (unit && guarantee_same_shape(&unit->shape, shape)) {
			old[i] = NULL;
			return unit;
		}
	}
	return NULL;
}

static struct unit *create_unit(struct organisation *org, const struct place_shape *shape)
{
	struct unit *unit = talloc_zero(org, struct unit);

	unit->org = org;
	unit->shape = *shape;
	unit->cells = talloc_zero_array(unit, struct cell, shape->members);
	for (uint32_t i = 0; i < shape->members; i++)
		unit->cells[i].unit = unit;
	return unit;
}

static void replace_units(struct place *place, struct organisation *org,
			  const struct place_shape *shapes, size_t count)
{
	struct unit **old = org->units;
	size_t old_count = org->unit_count;

	org->units = talloc_zero_array(org, struct unit *, count + 1);
	org->unit_count = 0;
	for (size_t i = 0; i < count; i++) {
		struct unit *unit;

		if (shapes[i].members == 0 || shapes[i].members > PLACE_MEMBERS_MAX)
			continue;
		unit = reuse_unit(old, old_count, &shapes[i]);
		if (!unit)
			unit = create_unit(org, &shapes[i]);
		unit->index = org->unit_count;
		org->units[org->unit_count++] = unit;
	}
	for (size_t i = 0; i < old_count; i++) {
		if (!old[i])
			continue;
		guarantee_clear_placement(place, old[i]);
		talloc_free(old[i]);
	}
	talloc_free(old);
}

/* Rebuilds the guarantees from new specs. Units of unchanged shapes keep their placement. */
void guarantee_apply_specs(struct place *place, const struct place_organisation_spec *specs,
			   size_t count)
{
	place->unit_count = 0;
	place->cell_count = 0;
	for (guint i = 0; i < place->orgs->len; i++) {
		struct organisation *org = place->orgs->pdata[i];

		if (org->removed)
			replace_units(place, org, NULL, 0);
	}
	for (size_t i = 0; i < count; i++) {
		struct organisation *org = g_hash_table_lookup(place->org_names, specs[i].name);

		replace_units(place, org, specs[i].guarantees, specs[i].guarantee_count);
	}
	for (guint i = 0; i < place->orgs->len; i++) {
		struct organisation *org = place->orgs->pdata[i];

		org->guaranteed = 0;
		place->units = talloc_realloc(place, place->units, struct unit *,
					      place->unit_count + org->unit_count + 1);
		for (size_t k = 0; k < org->unit_count; k++) {
			place->units[place->unit_count++] = org->units[k];
			place->cell_count += org->units[k]->shape.members;
			org->guaranteed +=
				org->units[k]->shape.members * org->units[k]->shape.accelerators;
		}
	}
	qsort(place->units, place->unit_count, sizeof(void *), compare_priority);
	place->guarantees_dirty = true;
}
