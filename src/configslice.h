#ifndef JAYCOURSE_CONFIGSLICE_H
#define JAYCOURSE_CONFIGSLICE_H

#include "slots.h"

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: The part of the configuration that an agent needs, as sent in CONFIG_SLICE
 */

struct configslice;

/** configslice_parse() - parse the JSON text of a slice; NULL when it is not an object */
struct configslice *configslice_parse(TALLOC_CTX *mem, const uint8_t *json, size_t len);

/** configslice_apply_limits() - cap slots and connections at the limits configured for the service
 */
void configslice_apply_limits(const struct configslice *slice, const char *service,
			      struct slots_capacity *capacity);

/** configslice_max_key_ttl_ms() - longest time for which any class stores an idempotency key */
uint64_t configslice_max_key_ttl_ms(const struct configslice *slice);

#endif
