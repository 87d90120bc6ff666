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
 * The settings come from one JSON file and from "--set KEY=VALUE" flags, which override it. They
 * are checked before any socket opens. All problems are reported together, each with its field and
 * a remedy. An unknown field is an error; its remedy names the nearest known field.
 */

enum settings_role {
	SETTINGS_ENTRY,
	SETTINGS_AGENT,
};

struct settings {
	const char *node; /* node id, unique in the fleet */
	const char *region;
	const char *zone;	       /* availability zone */
	const char *rack;	       /* agents only */
	const char *http_address;      /* "ip:port" for callers (entry) or the target (agent) */
	const char *peer_address;      /* "ip:port" for other processes of the system */
	const char *advertise_address; /* announced to other processes; default: peer_address */
	const char **store_endpoints;
	size_t store_endpoint_count;
	const char **seeds; /* agents: HTTP "ip:port" of entry hosts or the load balancer */
	size_t seed_count;
	uint32_t http_threads;	     /* entries only; default 4 */
	uint32_t shutdown_grace_ms;  /* default 30000 */
	const char *tls_certificate; /* entries only: PEM file, or NULL for plain HTTP */
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
 * @report: set to all problems as text, one per line, owned by @mem; NULL on success
 *
 * Return: the settings, or NULL when there is any problem.
 */
struct settings *settings_load(TALLOC_CTX *mem, enum settings_role role, const char *path,
			       const char **overrides, size_t override_count, char **report);

#endif
