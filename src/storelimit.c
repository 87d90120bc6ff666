#include "storelimit.h"

#define BURST_DIVISOR 5	   /* a fifth of a second's calls may go at once */
#define FAILURES_TO_OPEN 5 /* in a row; single lost packets must not open the breaker */
#define OPEN_BASE_MS 100
#define OPEN_MAX_MS 2000 /* leaves two thirds of the 6 s in which a configuration spreads */
#define DOUBLINGS_MAX 16

void store_bucket_init(struct store_bucket *b, uint32_t per_s, uint64_t now_ms)
{
	b->per_s = per_s;
	b->tokens = (double)per_s / BURST_DIVISOR + 1;
	b->filled_ms = now_ms;
}

static double filled(const struct store_bucket *b, uint64_t now_ms)
{
	double most = (double)b->per_s / BURST_DIVISOR + 1;
	double tokens = b->tokens + (double)(now_ms - b->filled_ms) * b->per_s / 1000.0;

	return tokens < most ? tokens : most;
}

bool store_bucket_take(struct store_bucket *b, uint64_t now_ms)
{
	b->tokens = filled(b, now_ms);
	b->filled_ms = now_ms;
	if (b->tokens < 1)
		return false;
	b->tokens -= 1;
	return true;
}

uint32_t store_bucket_wait_ms(const struct store_bucket *b, uint64_t now_ms)
{
	double missing = 1 - filled(b, now_ms);

	if (missing <= 0)
		return 1;
	return (uint32_t)(missing * 1000.0 / b->per_s) + 1;
}

void store_bucket_drain(struct store_bucket *b, uint64_t now_ms)
{
	b->tokens = 0;
	b->filled_ms = now_ms;
}

uint32_t store_backoff_ms(struct util_rng *rng, uint32_t attempt, uint32_t base_ms, uint32_t max_ms)
{
	uint64_t delay = (uint64_t)base_ms << (attempt < DOUBLINGS_MAX ? attempt : DOUBLINGS_MAX);

	if (delay > max_ms)
		delay = max_ms;
	return (uint32_t)(delay / 2 + util_rng_below(rng, delay / 2 + 1));
}

void store_breaker_init(struct store_breaker *b, uint64_t seed)
{
	*b = (struct store_breaker){.rng = {seed}};
}

bool store_breaker_open(const struct store_breaker *b, uint64_t now_ms)
{
	return b->open_until_ms > 0 && (b->probing || now_ms < b->open_until_ms);
}

bool store_breaker_begin(struct store_breaker *b, uint64_t now_ms, bool *probe)
{
	*probe = false;
	if (store_breaker_open(b, now_ms))
		return false;
	if (b->open_until_ms > 0) {
		b->probing = true;
		*probe = true;
	}
	return true;
}

void store_breaker_success(struct store_breaker *b)
{
	b->failures = 0;
	b->open_until_ms = 0;
	b->probing = false;
}

/* Late results of calls that began before the breaker opened must not lengthen its delay. */
void store_breaker_failure(struct store_breaker *b, uint64_t now_ms)
{
	if (b->open_until_ms > 0 && !b->probing)
		return;
	b->failures++;
	if (b->failures < FAILURES_TO_OPEN)
		return;
	b->probing = false;
	b->open_until_ms = now_ms + store_backoff_ms(&b->rng, b->failures - FAILURES_TO_OPEN,
						     OPEN_BASE_MS, OPEN_MAX_MS);
}

void store_breaker_abandon(struct store_breaker *b)
{
	b->probing = false;
}
