#ifndef JAYCOURSE_RETRY_H
#define JAYCOURSE_RETRY_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: Retry budget and backoff
 *
 * Retries are limited to a percentage of the requests plus a fixed rate, so that they cannot
 * multiply an overload. The module does no I/O and is not thread-safe.
 */

struct retry;

/** retry_create() - create a budget that holds the fixed rate's retries of one second */
struct retry *retry_create(TALLOC_CTX *mem, uint64_t seed, uint64_t now_ms);

/**
 * retry_set_limits() - set the budget
 * @percent: retries per 100 requests
 * @per_s: additional retries per second
 */
void retry_set_limits(struct retry *retry, uint32_t percent, uint32_t per_s);

/** retry_add_request() - add the share of a new request to the budget */
void retry_add_request(struct retry *retry);

/** retry_try_spend() - spend one retry from the budget; false when the budget is used up */
bool retry_try_spend(struct retry *retry, uint64_t now_ms);

/**
 * retry_backoff_ms() - random delay before a retry, uniform from 0 to a bound
 * @attempt: number of retries made before, 0 for the first; each doubles the bound
 */
uint32_t retry_backoff_ms(struct retry *retry, uint32_t attempt);

#endif
