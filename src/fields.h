#ifndef JAYCOURSE_FIELDS_H
#define JAYCOURSE_FIELDS_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: Checked reading of JSON objects into structures
 *
 * A table names the known fields of an object with their types and bounds. Fields that are
 * present overwrite the structure, absent ones leave it alone, and every problem is reported.
 */

enum field_type {
	FIELD_STRING,  /* const char *; @min and @max bound the length in bytes */
	FIELD_NAME,    /* const char *; letters, digits and "._-", 1 to 63 of them */
	FIELD_ADDRESS, /* const char *; "ip:port" or "[ip6]:port" */
	FIELD_U32,     /* uint32_t */
	FIELD_I32,     /* int32_t */
	FIELD_DOUBLE,  /* double */
	FIELD_BOOL,    /* bool */
	FIELD_STRINGS, /* const char **, count in a size_t at @count_offset; @max bounds it */
	FIELD_OTHER,   /* known, read by the caller */
};

struct field_spec {
	const char *name;
	enum field_type type;
	size_t offset;
	double min;
	double max;
	size_t count_offset;
};

/* @field is the path of the field, for example "quota.jobs"; all strings are borrowed. */
struct field_sink {
	void (*problem)(const char *field, const char *message, const char *remedy, void *ctx);
	void *ctx;
};

/**
 * fields_read() - check @object and copy its fields into @out
 * @mem: talloc parent of copied strings
 * @prefix: path of the object with a final dot, or ""
 * @specs: known fields, @count of them
 *
 * Return: number of problems reported.
 */
size_t fields_read(TALLOC_CTX *mem, const json_t *object, const char *prefix,
		   const struct field_spec *specs, size_t count, void *out,
		   const struct field_sink *sink);

/** fields_find() - the table row of a field, or NULL */
const struct field_spec *fields_find(const struct field_spec *specs, size_t count,
				     const char *name);

/** fields_nearest() - remedy text for an unknown field, owned by @mem */
char *fields_nearest(TALLOC_CTX *mem, const struct field_spec *specs, size_t count,
		     const char *name);

/** fields_name_ok() - does @text hold 1 to 63 letters, digits, dots, underscores and hyphens? */
bool fields_name_ok(const char *text);

/**
 * fields_address_ok() - is @text "ip:port" with a numeric address?
 * @unspecified: set to true for 0.0.0.0 and ::; may be NULL
 */
bool fields_address_ok(const char *text, bool *unspecified);

#endif
