#include "retry.h"
#include "util.h"

#define DEFAULT_PERCENT 10
#define DEFAULT_PER_S 10
#define BACKOFF_FIRST_MS 20
#define BACKOFF_MAX_MS 1000
/* Requests whose share may be saved up; more would let a quiet hour pay for a retry storm. */
#define SAVED_REQUESTS 1000

struct retry {
	struct util_rng rng;
	uint32_t percent;
	uint32_t per_s;
	uint64_t shares;    /* hundredths of a retry earned by requests */
	uint64_t rate_left; /* thousandths of a retry earned by time */
	uint64_t last_ms;
};

struct retry *retry_create(TALLOC_CTX *mem, uint64_t seed, uint64_t now_ms)
{
	struct retry *r = talloc_zero(mem, struct retry);

	r->rng.state = seed;
	r->last_ms = now_ms;
	retry_set_limits(r, DEFAULT_PERCENT, DEFAULT_PER_S);
	r->rate_left = (uint64_t)r->per_s * 1000;
	return r;
}

void retry_set_limits(struct retry *r, uint32_t percent, uint32_t per_s)
{
	r->percent = percent;
	r->per_s = per_s;
	if (r->rate_left > (uint64_t)per_s * 1000)
		r->rate_left = (uint64_t)per_s * 1000;
}

void retry_on_request(struct retry *r)
{
	uint64_t most = (uint64_t)r->percent * SAVED_REQUESTS;

	r->shares += r->percent;
	if (r->shares > most)
		r->shares = most;
}

static void earn_by_time(struct retry *r, uint64_t now_ms)
{
	uint64_t most = (uint64_t)r->per_s * 1000;

	if (now_ms <= r->last_ms)
		return;
	if (now_ms - r->last_ms >= 1000)
		r->rate_left = most;
	else
		r->rate_left += (now_ms - r->last_ms) * r->per_s;
	if (r->rate_left > most)
		r->rate_left = most;
	r->last_ms = now_ms;
}

bool retry_take(struct retry *r, uint64_t now_ms)
{
	earn_by_time(r, now_ms);
	if (r->rate_left >= 1000) {
		r->rate_left -= 1000;
		return true;
	}
	if (r->shares >= 100) {
		r->shares -= 100;
		return true;
	}
	return false;
}

uint32_t retry_backoff_ms(struct retry *r, uint32_t attempt)
{
	uint32_t bound = BACKOFF_MAX_MS;

	if (attempt < 6 && (BACKOFF_FIRST_MS << attempt) < BACKOFF_MAX_MS)
		bound = BACKOFF_FIRST_MS << attempt;
	return (uint32_t)util_rng_below(&r->rng, bound + 1);
}
