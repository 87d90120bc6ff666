#ifndef JAYCOURSE_SETTINGS_H
#define JAYCOURSE_SETTINGS_H

#include "err.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: Process settings
 *
 * One JSON file, overridden by "--set KEY=VALUE" flags, checked before any socket opens.
 * Every problem is reported at once with its field and remedy; unknown fields are errors
 * that name the nearest known field.
 */

enum settings_role {
	SETTINGS_ENTRY,
	SETTINGS_AGENT,
};

struct settings {
	const char *node; /* node id, unique in the fleet */
	const char *region;
	const char *zone;	  /* availability zone */
	const char *rack;	  /* agents */
	const char *http_address; /* "ip:port" callers (entry) or the target (agent) connect to */
	const char *peer_address; /* "ip:port" other processes of the system connect to */
	const char *advertise_address; /* peer address told to others; default: peer_address */
	const char **store_endpoints;
	size_t store_endpoint_count;
	const char **seeds; /* agents: "ip:port" HTTP addresses of entry hosts or the balancer */
	size_t seed_count;
	uint32_t http_threads;	     /* entry; default 4 */
	uint32_t shutdown_grace_ms;  /* default 30000 */
	const char *tls_certificate; /* entry: PEM file, or NULL for plain HTTP */
	const char *tls_key;
	bool verbose;
};

/**
 * settings_load() - read and check the settings
 * @mem: talloc parent that owns the result
 * @role: decides which fields are known and required
 * @path: JSON file, or NULL for flags only
 * @overrides: "KEY=VALUE" strings, borrowed
 * @override_count: number of them
 * @report: on failure all problems as text, one a line, owned by @mem
 *
 * Return: the settings, or NULL.
 */
struct settings *settings_load(TALLOC_CTX *mem, enum settings_role role, const char *path,
			       const char **overrides, size_t override_count, char **report);

#endif
