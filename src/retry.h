#ifndef JAYCOURSE_RETRY_H
#define JAYCOURSE_RETRY_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: Retry budget and backoff
 *
 * Retries are limited to a percentage of the requests plus a fixed rate, so that they cannot
 * multiply an overload. Pure, one thread.
 */

struct retry;

/** retry_create() - a budget that starts with one second of the fixed rate */
struct retry *retry_create(TALLOC_CTX *mem, uint64_t seed, uint64_t now_ms);

/**
 * retry_set_limits() - set the budget
 * @percent: retries per 100 requests
 * @per_s: retries a second in addition
 */
void retry_set_limits(struct retry *r, uint32_t percent, uint32_t per_s);

/** retry_on_request() - a new request adds its share to the budget */
void retry_on_request(struct retry *r);

/** retry_take() - true when the budget allows one more retry, which is then spent */
bool retry_take(struct retry *r, uint64_t now_ms);

/**
 * retry_backoff_ms() - delay before a retry: uniform in [0, bound], the bound doubles
 * @attempt: number of retries made before, 0 for the first
 */
uint32_t retry_backoff_ms(struct retry *r, uint32_t attempt);

#endif
