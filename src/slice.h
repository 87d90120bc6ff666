#ifndef JAYCOURSE_SLICE_H
#define JAYCOURSE_SLICE_H

#include "slots.h"

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: The part of the configuration that an agent needs, as sent in CONFIG_SLICE
 */

struct slice;

/** slice_parse() - read a slice; NULL when it is not a JSON object */
struct slice *slice_parse(TALLOC_CTX *mem, const uint8_t *json, size_t len);

/** slice_limit() - lower slots and connections to what is configured for the service */
void slice_limit(const struct slice *slice, const char *service, struct slots_capacity *capacity);

/** slice_key_ttl_ms() - longest time that any class keeps an idempotency key */
uint64_t slice_key_ttl_ms(const struct slice *slice);

#endif
