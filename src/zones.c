#include "zones.h"

#include <string.h>

struct zones {
	struct zones_row *rows;
	size_t count;
};

struct zones *zones_create(TALLOC_CTX *mem)
{
	return talloc_zero(mem, struct zones);
}

static struct zones_row *find(const struct zones *zones, const char *name)
{
	for (size_t i = 0; i < zones->count; i++) {
		if (!strcmp(zones->rows[i].name, name))
			return &zones->rows[i];
	}
	return NULL;
}

bool zones_evacuate(struct zones *zones, const char *name, int64_t revision, uint64_t now_ms)
{
	struct zones_row *row = find(zones, name);

	if (row) {
		row->revision = revision;
		return false;
	}
	zones->rows = talloc_realloc(zones, zones->rows, struct zones_row,
				     (unsigned int)zones->count + 1);
	zones->rows[zones->count++] = (struct zones_row){
		.name = talloc_strdup(zones, name),
		.revision = revision,
		.heard_ms = now_ms,
	};
	return true;
}

bool zones_return(struct zones *zones, const char *name)
{
	struct zones_row *row = find(zones, name);

	if (!row)
		return false;
	talloc_free((char *)row->name);
	*row = zones->rows[--zones->count];
	return true;
}

size_t zones_count(const struct zones *zones)
{
	return zones->count;
}

const struct zones_row *zones_row(const struct zones *zones, size_t i)
{
	return &zones->rows[i];
}
