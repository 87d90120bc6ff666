#ifndef JAYCOURSE_UTIL_H
#define JAYCOURSE_UTIL_H

#include <stddef.h>
#include <stdint.h>

/**
 * util_clock_ms() - monotonic clock that also advances while the process is stopped
 *
 * Return: milliseconds since an arbitrary start.
 */
uint64_t util_clock_ms(void);

/** util_clock_us() - like util_clock_ms(), in microseconds */
uint64_t util_clock_us(void);

/** util_wall_ms() - wall clock in milliseconds since 1970, for log lines and records only */
uint64_t util_wall_ms(void);

/**
 * util_hash64() - 64-bit hash, equal on every machine and run
 * @data: bytes to hash, borrowed
 * @len: number of bytes
 * @seed: start value; different seeds give independent hashes
 */
uint64_t util_hash64(const void *data, size_t len, uint64_t seed);

/** util_hash_str() - util_hash64() of a string without its final NUL, seed 0 */
uint64_t util_hash_str(const char *text);

/**
 * struct util_rng - small seeded random generator
 * @state: any value; equal states give equal sequences
 */
struct util_rng {
	uint64_t state;
};

/** util_rng_next() - next 64 random bits */
uint64_t util_rng_next(struct util_rng *rng);

/** util_rng_below() - random integer in [0, @bound); @bound must be above 0 */
uint64_t util_rng_below(struct util_rng *rng, uint64_t bound);

/** util_rng_unit() - random number in [0, 1) */
double util_rng_unit(struct util_rng *rng);

/**
 * util_random_bytes() - bytes from the kernel's random source
 * @out: filled with @len bytes
 */
void util_random_bytes(void *out, size_t len);

/**
 * util_edit_distance() - Levenshtein distance, to suggest the nearest known name
 *
 * Names longer than 63 characters count as infinitely far.
 */
unsigned int util_edit_distance(const char *a, const char *b);

#endif
