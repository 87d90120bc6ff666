#ifndef JAYCOURSE_STORELIMIT_H
#define JAYCOURSE_STORELIMIT_H

#include "util.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Limits of the store client: rate limits and circuit breaker
 *
 * The functions read no clock and do no I/O; the caller passes the time of util_clock_ms().
 */

/* Token bucket: each call takes a token. */
struct store_bucket {
	uint32_t per_s;
	double tokens; /* as of @filled_ms */
	uint64_t filled_ms;
};

void store_bucket_init(struct store_bucket *bucket, uint32_t per_s, uint64_t now_ms);

/** store_bucket_take() - take one token; false when there is none */
bool store_bucket_take(struct store_bucket *bucket, uint64_t now_ms);

/** store_bucket_wait_ms() - time until the next token, at least 1 ms */
uint32_t store_bucket_wait_ms(const struct store_bucket *bucket, uint64_t now_ms);

/** store_bucket_drain() - remove all tokens, after the service refused a call by rate */
void store_bucket_drain(struct store_bucket *bucket, uint64_t now_ms);

struct store_breaker {
	struct util_rng rng;
	uint32_t failures; /* in a row */
	uint32_t backoff_ms;
	uint64_t open_until_ms; /* 0: closed */
	bool probing; /* a probe call is in progress; its result closes or reopens the breaker */
};

/** store_breaker_init() - @seed varies by process, so that processes probe at different times */
void store_breaker_init(struct store_breaker *breaker, uint64_t seed);

/** store_breaker_open() - true when a call would be refused now; changes nothing */
bool store_breaker_open(const struct store_breaker *breaker, uint64_t now_ms);

/**
 * store_breaker_begin() - ask for permission to make a call
 * @probe: set to true when this call is the probe, and to false otherwise
 *
 * The result of a probe must be reported with store_breaker_success(),
 * store_breaker_failure() or store_breaker_abandon(), or the breaker stays open.
 *
 * Return: false when the call must not be made.
 */
bool store_breaker_begin(struct store_breaker *breaker, uint64_t now_ms, bool *probe);

void store_breaker_success(struct store_breaker *breaker);
void store_breaker_failure(struct store_breaker *breaker, uint64_t now_ms);

/** store_breaker_abandon() - the probe was cancelled without a result; another call may probe */
void store_breaker_abandon(struct store_breaker *breaker);

/** store_backoff_ms() - jittered exponential delay before attempt number @attempt, from 0 */
uint32_t store_backoff_ms(struct util_rng *rng, uint32_t attempt, uint32_t base_ms,
			  uint32_t max_ms);

#endif
