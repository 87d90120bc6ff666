#include "retry.h"
#include "util.h"

#define DEFAULT_PERCENT 10
#define DEFAULT_PER_S 10
#define BACKOFF_FIRST_MS 20
#define BACKOFF_MAX_MS 1000
/*
 * Requests whose share of the budget may accumulate. Without this limit, the shares that
 * accumulate in an hour with few retries would allow a retry storm.
 */
#define ACCUMULATED_REQUESTS_MAX 1000

struct retry {
	struct util_rng rng;
	uint32_t percent;
	uint32_t per_s;
	uint64_t request_tokens; /* hundredths of a retry, added by requests */
	uint64_t rate_tokens;	 /* thousandths of a retry, added by the fixed rate */
	uint64_t last_refill_ms;
};

struct retry *retry_create(TALLOC_CTX *mem, uint64_t seed, uint64_t now_ms)
{
	struct retry *retry = talloc_zero(mem, struct retry);

	retry->rng.state = seed;
	retry->last_refill_ms = now_ms;
	retry_set_limits(retry, DEFAULT_PERCENT, DEFAULT_PER_S);
	retry->rate_tokens = (uint64_t)retry->per_s * 1000;
	return retry;
}

void retry_set_limits(struct retry *retry, uint32_t percent, uint32_t per_s)
{
	retry->percent = percent;
	retry->per_s = per_s;
	if (retry->rate_tokens > (uint64_t)per_s * 1000)
		retry->rate_tokens = (uint64_t)per_s * 1000;
}

void retry_add_request(struct retry *retry)
{
	uint64_t max_tokens = (uint64_t)retry->percent * ACCUMULATED_REQUESTS_MAX;

	retry->request_tokens += retry->percent;
	if (retry->request_tokens > max_tokens)
		retry->request_tokens = max_tokens;
}

static void refill_rate_tokens(struct retry *retry, uint64_t now_ms)
{
	uint64_t max_tokens = (uint64_t)retry->per_s * 1000;

	if (now_ms <= retry->last_refill_ms)
		return;
	if (now_ms - retry->last_refill_ms >= 1000)
		retry->rate_tokens = max_tokens;
	else
		retry->rate_tokens += (now_ms - retry->last_refill_ms) * retry->per_s;
	if (retry->rate_tokens > max_tokens)
		retry->rate_tokens = max_tokens;
	retry->last_refill_ms = now_ms;
}

bool retry_try_spend(struct retry *retry, uint64_t now_ms)
{
	refill_rate_tokens(retry, now_ms);
	if (retry->rate_tokens >= 1000) {
		retry->rate_tokens -= 1000;
		return true;
	}
	if (retry->request_tokens >= 100) {
		retry->request_tokens -= 100;
		return true;
	}
	return false;
}

uint32_t retry_backoff_ms(struct retry *retry, uint32_t attempt)
{
	uint32_t bound = BACKOFF_MAX_MS;

	if (attempt < 6 && (BACKOFF_FIRST_MS << attempt) < BACKOFF_MAX_MS)
		bound = BACKOFF_FIRST_MS << attempt;
	return (uint32_t)util_rng_below(&retry->rng, bound + 1);
}
