#ifndef JAYCOURSE_FLEETNODE_H
#define JAYCOURSE_FLEETNODE_H

#include "err.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: Settings of jaycourse-fleet, the process of the job scheduler on one host
 */

/**
 * struct fleetnode_settings - contents of the settings file, which is JSON
 * @node: name of the host
 * @message_address: receives messages of other processes
 * @metrics_address: serves /metrics; NULL: no metrics are served
 * @callers_address: entry: receives the requests of callers
 * @ready_address: entry: answers the load balancer's readiness checks
 * @control_address: agent: receives the worker's heartbeats
 * @worker_address: agent: where the worker receives calls
 * @advice_address: entry: service that decides which workers may run a step; NULL: none
 * @service: agent: pool that the worker belongs to
 * @grace_s: time between SIGTERM and the end of the process
 * @leader_ttl_ms: duration of the leader's lease; a leader silent for longer is replaced
 * @processor_share: share of each processor that this process may use; 0: unknown
 * @processors: number of processors that this process may use at once
 * @stall_ms: a task without progress for this long counts as stuck
 * @urgent_stall_ms: the same for a task of priority 0, by several lists of its worker; 0: as
 *	@stall_ms
 * @away_factor: entry: tasks take this many times as long away from their data, or on several racks
 *	where they ask for one
 * @unavailable_after_ms: a long-running task that ended by itself counts against its step's
 *	max_unavailable from this time on
 * @evacuate_ms: entry: from this time after an operator has asked for the evacuation of a zone, no
 *	task is started there; 0: operators evacuate no zones
 * @memory_mb: of the host, for this process; 0: unknown
 * @max_descriptors: that this process may open; 0: unknown
 * @bodies_max_mb: memory of all request bodies that are held at once; 0: a quarter of @memory_mb,
 *	or 64 if that is unknown
 * @connections_max: of clients, for each address that takes work; 0: as @max_descriptors allows, at
 *	most 2,048
 * @body_idle_ms: the connection of an unfinished body without progress for this long is closed
 * @keep_ended_s: the states of ended jobs can be queried for this long
 */
struct fleetnode_settings {
	const char *node;
	const char *message_address;
	const char *metrics_address;
	const char *store_address;
	const char *callers_address;
	const char *ready_address;
	const char *control_address;
	const char *worker_address;
	const char *advice_address;
	const char *service;
	double grace_s;
	uint32_t leader_ttl_ms;
	double processor_share;
	uint32_t processors;
	uint32_t stall_ms;
	uint32_t urgent_stall_ms;
	double keep_ended_s;
	double stop_ms;
	double away_factor;
	double unavailable_after_ms;
	uint32_t evacuate_ms;
	uint32_t memory_mb;
	uint32_t max_descriptors;
	uint32_t bodies_max_mb;
	uint32_t connections_max;
	uint32_t body_idle_ms;
	bool verbose;
};

enum fleetnode_role {
	FLEETNODE_ENTRY,
	FLEETNODE_AGENT,
};

/**
 * fleetnode_load() - read and check a settings file
 * @report: all problems, one per line, owned by @mem; not empty when NULL is returned
 *
 * Unknown fields are ignored, because a newer platform may have written the file.
 *
 * Return: the settings, owned by @mem, or NULL.
 */
struct fleetnode_settings *fleetnode_load(TALLOC_CTX *mem, enum fleetnode_role role,
					  const char *path, char **report);

#endif
