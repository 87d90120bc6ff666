#ifndef JAYCOURSE_FLEETCONF_H
#define JAYCOURSE_FLEETCONF_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#define FLEETCONF_PRIORITY_MAX 1000 /* the least urgent */

/**
 * DOC: The operators' configuration of queues, services and organisations
 *
 * Each version is immutable once it has been read. Lists have at most hundreds of entries, so
 * lookups are linear searches.
 */

/**
 * struct fleetconf_queue - queue that callers submit jobs to
 * @host: host name of the request that selects the queue
 * @prefix: start of the path that selects it; the longest prefix wins
 * @service: pool of workers that run its tasks
 * @priority: 0 is the most urgent; its tasks may evict those of less urgent queues
 * @max_attempts: failed runs of a task after which its job fails
 * @stretch: a job is on time if it takes at most this many times the estimate of its longest
 *	chain of steps, plus @allowance_ms
 * @allowance_ms: see @stretch
 * @open: callers need no API key
 * @advised: an advice service decides which workers may run a step
 */
struct fleetconf_queue {
	const char *name;
	const char *host;
	const char *prefix;
	const char *service;
	uint32_t priority;
	uint32_t max_attempts;
	double stretch;
	uint32_t allowance_ms;
	bool open;
	bool advised;
};

/**
 * struct fleetconf_service - pool of workers
 * @rejects_overload: workers refuse tasks that exceed their free resources
 * @health_path: path at which a worker says whether it is healthy; "": none
 */
struct fleetconf_service {
	const char *name;
	bool rejects_overload;
	bool standby;
	const char *health_path;
};

/** fleetconf_is_health_path() - true for a path that a call can be made to */
bool fleetconf_is_health_path(const char *path);

struct fleetconf_organisation {
	const char *name;
	const char **keys;
	size_t key_count;
	uint32_t guaranteed_accelerators;
};

struct fleetconf {
	uint64_t version;
	struct fleetconf_queue *queues;
	size_t queue_count;
	struct fleetconf_service *services;
	size_t service_count;
	struct fleetconf_organisation *organisations;
	size_t organisation_count;
	size_t body_max; /* bytes */
};

/**
 * fleetconf_route() - the queue for a request
 * @host: Host header without a port
 *
 * Return: the queue with the longest prefix, or NULL.
 */
const struct fleetconf_queue *fleetconf_route(const struct fleetconf *conf, const char *host,
					      const char *path);

/** fleetconf_copy_queue() - copy a queue with its texts; owned by @mem */
struct fleetconf_queue *fleetconf_copy_queue(TALLOC_CTX *mem, const struct fleetconf_queue *queue);

/** fleetconf_queue() - queue by name, or NULL */
const struct fleetconf_queue *fleetconf_queue(const struct fleetconf *conf, const char *name);

/**
 * fleetconf_renamed_queue() - the queue that took the place of one whose name is gone
 *
 * Return: the queue at the same host and prefix with the same service, or NULL.
 */
const struct fleetconf_queue *fleetconf_renamed_queue(const struct fleetconf *conf,
						      const char *host, const char *prefix,
						      const char *service);

/** fleetconf_organisation() - organisation by name, or NULL */
const struct fleetconf_organisation *fleetconf_organisation(const struct fleetconf *conf,
							    const char *name);

/** fleetconf_organisation_of_key() - organisation that an API key belongs to, or NULL */
const struct fleetconf_organisation *fleetconf_organisation_of_key(const struct fleetconf *conf,
								   const char *key);

#endif
