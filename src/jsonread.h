#ifndef JAYCOURSE_JSONREAD_H
#define JAYCOURSE_JSONREAD_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Reading JSON that another process or operator wrote
 *
 * A list often has entries of several writers. One value that the JSON library can't represent
 * must not make the other entries unreadable, and a number outside its range must not be used.
 */

/** JSONREAD_RESOURCE_MAX - limit of processors in thousandths, megabytes and accelerators; the sum
 * of two still fits into 32 bits */
#define JSONREAD_RESOURCE_MAX 1000000000

/** JSONREAD_NAME_MAX_BYTES - limit of names and identifiers; that of a key in the store */
#define JSONREAD_NAME_MAX_BYTES 200

/**
 * jsonread_document() - parse a document although single values in it are unreadable
 * @data: text, borrowed; need not end with NUL
 * @replaced: set to the number of values that were replaced by null; may be NULL
 *
 * Numbers that overflow, strings that are not valid text and values nested more than 32 levels
 * deep are read as null. A key that is not valid text is replaced by another one.
 *
 * Return: a new reference, or NULL if the text is not JSON.
 */
json_t *jsonread_document(const char *data, size_t len, size_t *replaced);

/** jsonread_u64() - an integer from 0 to @max; false, with @out unchanged, for all else */
bool jsonread_u64(const json_t *value, uint64_t max, uint64_t *out);

/** jsonread_u32() - like jsonread_u64() */
bool jsonread_u32(const json_t *value, uint32_t max, uint32_t *out);

/** jsonread_text() - a string of at most JSONREAD_NAME_MAX_BYTES without control characters; NULL
 * for all else */
const char *jsonread_text(const json_t *value);

/**
 * jsonread_is_name() - whether a text is usable as part of a key, a path and a header
 *
 * True for 1 to JSONREAD_NAME_MAX_BYTES printable ASCII characters without a slash or a space.
 */
bool jsonread_is_name(const char *text);

/** jsonread_decimal() - parse a text that consists of decimal digits only, up to @max */
bool jsonread_decimal(const char *text, uint64_t max, uint64_t *out);

#endif
