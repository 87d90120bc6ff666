#ifndef JAYCOURSE_ZONES_H
#define JAYCOURSE_ZONES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: Table of the availability zones that operators have evacuated
 *
 * An entry fills it from the operators' keys in the store; the leader's plan starts nothing in the
 * zones listed here.
 */

struct zones;

/**
 * struct zones_row - an evacuated zone
 * @name: owned by the table
 * @revision: of the store when the request was written
 * @heard_ms: when this process read the request, on its own clock
 */
struct zones_row {
	const char *name;
	int64_t revision;
	uint64_t heard_ms;
};

/** zones_create() - an empty table, owned by @mem */
struct zones *zones_create(TALLOC_CTX *mem);

/**
 * zones_evacuate() - note that a zone is evacuated
 *
 * Return: true if it was in service before.
 */
bool zones_evacuate(struct zones *zones, const char *name, int64_t revision, uint64_t now_ms);

/**
 * zones_return() - note that a zone is in service again
 *
 * Return: true if it was evacuated before.
 */
bool zones_return(struct zones *zones, const char *name);

size_t zones_count(const struct zones *zones);

/** zones_row() - evacuated zone number @i, valid until the table changes */
const struct zones_row *zones_row(const struct zones *zones, size_t i);

#endif
