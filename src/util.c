#include "util.h"

#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

#define EDIT_DISTANCE_MAX 64

static uint64_t clock_us(clockid_t id)
{
	struct timespec now;

	clock_gettime(id, &now);
	return (uint64_t)now.tv_sec * 1000000U + (uint64_t)now.tv_nsec / 1000U;
}

uint64_t util_clock_us(void)
{
	return clock_us(CLOCK_BOOTTIME);
}

uint64_t util_clock_ms(void)
{
	return util_clock_us() / 1000U;
}

uint64_t util_running_ms(void)
{
	return clock_us(CLOCK_MONOTONIC) / 1000U;
}

uint64_t util_wall_ms(void)
{
	return clock_us(CLOCK_REALTIME) / 1000U;
}

static uint64_t mix64(uint64_t value)
{
	value ^= value >> 30;
	value *= 0xbf58476d1ce4e5b9U;
	value ^= value >> 27;
	value *= 0x94d049bb133111ebU;
	value ^= value >> 31;
	return value;
}

uint64_t util_hash64(const void *data, size_t len, uint64_t seed)
{
	const unsigned char *bytes = data;
	uint64_t hash = 0xcbf29ce484222325U ^ mix64(seed + 1);

	for (size_t i = 0; i < len; i++) {
		hash ^= bytes[i];
		hash *= 0x100000001b3U;
	}
	return mix64(hash ^ len);
}

uint64_t util_hash_str(const char *text)
{
	return util_hash64(text, strlen(text), 0);
}

uint64_t util_rng_next(struct util_rng *rng)
{
	rng->state += 0x9e3779b97f4a7c15U;
	return mix64(rng->state);
}

uint64_t util_rng_below(struct util_rng *rng, uint64_t bound)
{
	return util_rng_next(rng) % bound;
}

double util_rng_unit(struct util_rng *rng)
{
	return (double)(util_rng_next(rng) >> 11) / 9007199254740992.0;
}

void util_random_bytes(void *out, size_t len)
{
	unsigned char *bytes = out;

	while (len > 0) {
		ssize_t got = getrandom(bytes, len, 0);

		if (got < 0)
			continue;
		bytes += got;
		len -= (size_t)got;
	}
}

unsigned int util_edit_distance(const char *a, const char *b)
{
	unsigned int row[EDIT_DISTANCE_MAX + 1];
	size_t a_len = strlen(a);
	size_t b_len = strlen(b);

	if (a_len >= EDIT_DISTANCE_MAX || b_len >= EDIT_DISTANCE_MAX)
		return EDIT_DISTANCE_MAX;
	for (size_t j = 0; j <= b_len; j++)
		row[j] = (unsigned int)j;
	for (size_t i = 1; i <= a_len; i++) {
		unsigned int diagonal = row[0];

		row[0] = (unsigned int)i;
		for (size_t j = 1; j <= b_len; j++) {
			unsigned int best = diagonal + (a[i - 1] != b[j - 1]);

			diagonal = row[j];
			if (row[j] + 1 < best)
				best = row[j] + 1;
			if (row[j - 1] + 1 < best)
				best = row[j - 1] + 1;
			row[j] = best;
		}
	}
	return row[b_len];
}
