#ifndef JAYCOURSE_STORELIMIT_H
#define JAYCOURSE_STORELIMIT_H

#include "util.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Limits of the store client: rate caps and circuit breaker
 *
 * Pure; the caller passes the time of util_clock_ms().
 */

struct store_bucket {
	uint32_t per_s;
	double tokens;
	uint64_t filled_ms;
};

void store_bucket_init(struct store_bucket *b, uint32_t per_s, uint64_t now_ms);

/** store_bucket_take() - take one token; false when there is none */
bool store_bucket_take(struct store_bucket *b, uint64_t now_ms);

/** store_bucket_wait_ms() - time until there is a token, at least 1 */
uint32_t store_bucket_wait_ms(const struct store_bucket *b, uint64_t now_ms);

/** store_bucket_drain() - the service refused by rate: start again from no tokens */
void store_bucket_drain(struct store_bucket *b, uint64_t now_ms);

struct store_breaker {
	struct util_rng rng;
	uint32_t failures; /* in a row */
	uint32_t backoff_ms;
	uint64_t open_until_ms; /* 0: closed */
	bool probing;		/* one call is under way to learn whether to close */
};

/** store_breaker_init() - @seed spreads the probes of different processes */
void store_breaker_init(struct store_breaker *b, uint64_t seed);

/** store_breaker_open() - would a call be refused now? Changes nothing. */
bool store_breaker_open(const struct store_breaker *b, uint64_t now_ms);

/**
 * store_breaker_begin() - ask to make a call
 * @probe: set to true when this call is the probe; report its result in any case
 *
 * Return: false when the call must not be made.
 */
bool store_breaker_begin(struct store_breaker *b, uint64_t now_ms, bool *probe);

void store_breaker_success(struct store_breaker *b);
void store_breaker_failure(struct store_breaker *b, uint64_t now_ms);

/** store_breaker_abandon() - the probe was withdrawn without a result */
void store_breaker_abandon(struct store_breaker *b);

/** store_backoff_ms() - jittered exponential delay before attempt number @attempt, from 0 */
uint32_t store_backoff_ms(struct util_rng *rng, uint32_t attempt, uint32_t base_ms,
			  uint32_t max_ms);

#endif
