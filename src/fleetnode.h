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
 * struct fleetnode_settings - one JSON file
 * @node: name of the host
 * @message_address: for messages of other processes
 * @metrics_address: serves /metrics
 * @callers_address: entry: calls of callers
 * @ready_address: entry: the balancer asks here
 * @control_address: agent: the worker announces itself here
 * @worker_address: agent: the worker takes calls here
 * @advice_address: entry: service that advises on workers; NULL: there is none
 * @service: agent: pool that the worker belongs to
 * @grace_s: between SIGTERM and the end of the process
 * @leader_ttl_ms: a leader that is silent for longer is replaced
 * @stall_ms: a task without progress for this long is taken for stuck
 * @keep_ended_s: the states of ended jobs are shown for this long
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
	uint32_t stall_ms;
	double keep_ended_s;
	double stop_ms;
	bool verbose;
};

enum fleetnode_role {
	FLEETNODE_ENTRY,
	FLEETNODE_AGENT,
};

/**
 * fleetnode_load() - read and check a settings file
 * @report: all problems, one a line, owned by @mem; filled when NULL is returned
 *
 * Unknown fields are ignored: the file may be made by a newer platform.
 */
struct fleetnode_settings *fleetnode_load(TALLOC_CTX *mem, enum fleetnode_role role,
					  const char *path, char **report);

#endif
