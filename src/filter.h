#ifndef JAYCOURSE_FILTER_H
#define JAYCOURSE_FILTER_H

#include "configrepo.h"
#include "metrics.h"
#include "request.h"

/**
 * DOC: Filters that a request passes before it may wait for a target
 *
 * Run on the HTTP threads; their tables are sharded, with a lock for each shard. A filter
 * that refuses a request fills its err, and the request has certainly not run.
 */

struct filter {
	const char *name;
	int (*run)(struct filter *f, struct request *r, void *ctx);
};

struct filters;

struct filters *filters_create(TALLOC_CTX *mem, struct configrepo *configs,
			       struct metrics *metrics);

#define FILTERS_PENDING 1 /* the token has to be checked by filters_check() first */

/**
 * filters_request() - the chain for a service request, up to the quota
 *
 * Return: 0, FILTERS_PENDING, or the negative error code of the filter that refused it.
 */
int filters_request(struct filters *f, struct request *r);

/**
 * filters_authenticate() - take the configuration in force and find out whose call it is
 *
 * Also used alone for the other endpoints. Return: 0, FILTERS_PENDING, -ERR_DENIED, or
 * -ERR_UNAVAILABLE when there is no configuration yet.
 */
int filters_authenticate(struct filters *f, struct request *r);

/**
 * filters_check() - check a token that is not in the cache, on a thread of its own
 *
 * Takes over a reference to @r and calls request_resume() when the result is known.
 *
 * Return: 0, or -ERR_UNAVAILABLE when too many tokens wait; then @r stays the caller's.
 */
int filters_check(struct filters *f, struct request *r);

/** filters_done() - the request is over: gives back its share of the quota and configuration */
void filters_done(struct filters *f, struct request *r);

/** filters_set_entries() - number of live entries; each applies its part of the quotas */
void filters_set_entries(struct filters *f, uint32_t entries);

/** filters_set_leaving() - refuse new work because the process shuts down */
void filters_set_leaving(struct filters *f);

bool filters_leaving(const struct filters *f);

#endif
