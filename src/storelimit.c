#include "storelimit.h"

#define BURST_DIVISOR 5	   /* a burst may hold the calls of a fifth of a second, and one more */
#define FAILURES_TO_OPEN 5 /* consecutive; single lost packets must not open the breaker */
#define OPEN_BASE_MS 100
#define OPEN_MAX_MS 2000 /* leaves two thirds of the 6 s in which a configuration must spread */
#define BACKOFF_DOUBLINGS_MAX 16

void store_bucket_init(struct store_bucket *bucket, uint32_t per_s, uint64_t now_ms)
{
	bucket->per_s = per_s;
	bucket->tokens = (double)per_s / BURST_DIVISOR + 1;
	bucket->filled_ms = now_ms;
}

static double tokens_at(const struct store_bucket *bucket, uint64_t now_ms)
{
	double capacity = (double)bucket->per_s / BURST_DIVISOR + 1;
	double tokens =
		bucket->tokens + (double)(now_ms - bucket->filled_ms) * bucket->per_s / 1000.0;

	return tokens < capacity ? tokens : capacity;
}

bool store_bucket_take(struct store_bucket *bucket, uint64_t now_ms)
{
	bucket->tokens = tokens_at(bucket, now_ms);
	bucket->filled_ms = now_ms;
	if (bucket->tokens < 1)
		return false;
	bucket->tokens -= 1;
	return true;
}

uint32_t store_bucket_wait_ms(const struct store_bucket *bucket, uint64_t now_ms)
{
	double missing = 1 - tokens_at(bucket, now_ms);

	if (missing <= 0)
		return 1;
	return (uint32_t)(missing * 1000.0 / bucket->per_s) + 1;
}

void store_bucket_drain(struct store_bucket *bucket, uint64_t now_ms)
{
	bucket->tokens = 0;
	bucket->filled_ms = now_ms;
}

uint32_t store_backoff_ms(struct util_rng *rng, uint32_t attempt, uint32_t base_ms, uint32_t max_ms)
{
	uint64_t delay = (uint64_t)base_ms
			 << (attempt < BACKOFF_DOUBLINGS_MAX ? attempt : BACKOFF_DOUBLINGS_MAX);

	if (delay > max_ms)
		delay = max_ms;
	return (uint32_t)(delay / 2 + util_rng_below(rng, delay / 2 + 1));
}

void store_breaker_init(struct store_breaker *breaker, uint64_t seed)
{
	*breaker = (struct store_breaker){.rng = {seed}};
}

bool store_breaker_open(const struct store_breaker *breaker, uint64_t now_ms)
{
	return breaker->open_until_ms > 0 && (breaker->probing || now_ms < breaker->open_until_ms);
}

bool store_breaker_begin(struct store_breaker *breaker, uint64_t now_ms, bool *probe)
{
	*probe = false;
	if (store_breaker_open(breaker, now_ms))
		return false;
	if (breaker->open_until_ms > 0) {
		breaker->probing = true;
		*probe = true;
	}
	return true;
}

void store_breaker_success(struct store_breaker *breaker)
{
	breaker->failures = 0;
	breaker->open_until_ms = 0;
	breaker->probing = false;
}

/*
 * While the breaker is open and no probe is in progress, failures come from calls that began before
 * it opened. They must not lengthen its delay.
 */
void store_breaker_failure(struct store_breaker *breaker, uint64_t now_ms)
{
	if (breaker->open_until_ms > 0 && !breaker->probing)
		return;
	breaker->failures++;
	if (breaker->failures < FAILURES_TO_OPEN)
		return;
	breaker->probing = false;
	breaker->open_until_ms =
		now_ms + store_backoff_ms(&breaker->rng, breaker->failures - FAILURES_TO_OPEN,
					  OPEN_BASE_MS, OPEN_MAX_MS);
}

void store_breaker_abandon(struct store_breaker *breaker)
{
	breaker->probing = false;
}
