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
 * A table lists the known fields of an object with their types and bounds. A field that is present
 * and valid overwrites its structure member; an absent one leaves it unchanged. Every problem is
 * reported.
 */

enum field_type {
	FIELD_STRING,	      /* const char *; @min and @max bound the length in bytes */
	FIELD_NAME,	      /* const char *; 1 to 63 letters, digits and "._-" */
	FIELD_ADDRESS,	      /* const char *; "ip:port" or "[ip6]:port" */
	FIELD_U32,	      /* uint32_t */
	FIELD_I32,	      /* int32_t */
	FIELD_DOUBLE,	      /* double */
	FIELD_BOOL,	      /* bool */
	FIELD_STRINGS,	      /* const char **; @count_offset holds a size_t, from @min to @max */
	FIELD_READ_BY_CALLER, /* accepted as known; the caller reads its value */
};

struct field_spec {
	const char *name;
	enum field_type type;
	size_t offset;
	double min;
	double max;
	size_t count_offset;
};

/* Receives problems. @field is the path, for example "quota.jobs"; all strings are borrowed. */
struct field_sink {
	void (*problem)(const char *field, const char *message, const char *remedy, void *ctx);
	void *ctx;
};

/**
 * fields_read() - check a JSON object and copy its fields into a structure
 * @mem: talloc parent of copied strings
 * @object: object to read, borrowed
 * @prefix: path of the object with a final dot, or ""; precedes field names in problems
 * @specs: known fields, @count of them
 * @out: structure that the offsets in @specs refer to
 * @sink: receives each problem
 *
 * Return: number of problems reported.
 */
size_t fields_read(TALLOC_CTX *mem, const json_t *object, const char *prefix,
		   const struct field_spec *specs, size_t count, void *out,
		   const struct field_sink *sink);

/** fields_find() - find the specification of a field by name; NULL: the field is unknown */
const struct field_spec *fields_find(const struct field_spec *specs, size_t count,
				     const char *name);

/** fields_nearest_remedy() - remedy that names the known field nearest to @name, owned by @mem */
char *fields_nearest_remedy(TALLOC_CTX *mem, const struct field_spec *specs, size_t count,
			    const char *name);

/** fields_is_valid_name() - does @text hold 1 to 63 letters, digits, dots, underscores and hyphens?
 */
bool fields_is_valid_name(const char *text);

/**
 * fields_is_valid_address() - is @text "ip:port" with a numeric address?
 * @unspecified: set to true for 0.0.0.0 and ::; may be NULL
 */
bool fields_is_valid_address(const char *text, bool *unspecified);

/** fields_is_peer_address() - can a connection be opened to @text: a valid address, port not 0? */
bool fields_is_peer_address(const char *text);

#endif
