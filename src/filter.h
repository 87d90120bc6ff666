#ifndef JAYCOURSE_FILTER_H
#define JAYCOURSE_FILTER_H

#include "configrepo.h"
#include "metrics.h"
#include "request.h"

/**
 * DOC: Filters that a request passes before it may wait for a target
 *
 * The filters run on the HTTP threads; their tables are sharded, with a lock for each shard. A
 * filter that refuses a request fills request->err; a refused request has certainly not run.
 */

struct filter {
	const char *name;
	int (*run)(struct filter *filter, struct request *request, void *ctx);
};

struct filters;

/** filters_create() - Return: NULL with @err filled when the thread for tokens can't be started */
struct filters *filters_create(TALLOC_CTX *mem, struct configrepo *configs, struct metrics *metrics,
			       struct err *err);

#define FILTERS_PENDING 1 /* the token has to be checked by filters_check_token() first */

/**
 * filters_run_chain() - run all filters, from shutdown to quota, on a service request
 *
 * Return: 0, FILTERS_PENDING, or the negative error code of the filter that refused it.
 */
int filters_run_chain(struct filters *filters, struct request *request);

/**
 * filters_authenticate() - set request->config to the configuration in force and find the caller
 *
 * The other endpoints use this filter alone. Return: 0, FILTERS_PENDING, -ERR_DENIED, or
 * -ERR_UNAVAILABLE when there is no configuration yet.
 */
int filters_authenticate(struct filters *filters, struct request *request);

/**
 * filters_check_token() - check a token that is not in the cache, on the thread for token checks
 *
 * Takes over a reference to @request and calls request_resume() when the result is known.
 *
 * Return: 0, or -ERR_UNAVAILABLE when too many tokens wait; the caller then keeps the reference.
 */
int filters_check_token(struct filters *filters, struct request *request);

/** filters_release() - release the quota and the configuration that a finished request holds */
void filters_release(struct filters *filters, struct request *request);

/** filters_set_entries() - set the number of live entry hosts, which share each quota equally */
void filters_set_entries(struct filters *filters, uint32_t entries);

/** filters_set_leaving() - refuse new work because the process shuts down */
void filters_set_leaving(struct filters *filters);

bool filters_leaving(const struct filters *filters);

#endif
