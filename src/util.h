#ifndef JAYCOURSE_UTIL_H
#define JAYCOURSE_UTIL_H

#include <stddef.h>
#include <stdint.h>

/**
 * util_clock_ms() - monotonic clock that also advances while the machine is suspended
 *
 * Return: milliseconds since an arbitrary point in time.
 */
uint64_t util_clock_ms(void);

/** util_clock_us() - like util_clock_ms(), in microseconds */
uint64_t util_clock_us(void);

/** util_wall_ms() - wall clock in milliseconds since 1970, for logs and stored records only */
uint64_t util_wall_ms(void);

/** util_running_ms() - milliseconds that this host has run; stands still while it is suspended */
uint64_t util_running_ms(void);

/**
 * util_hash64() - 64-bit hash that is the same on every machine and in every run
 * @data: bytes to hash, borrowed
 * @len: number of bytes
 * @seed: initial value; different seeds give independent hashes
 */
uint64_t util_hash64(const void *data, size_t len, uint64_t seed);

/** util_hash_str() - util_hash64() of a string without its final NUL, seed 0 */
uint64_t util_hash_str(const char *text);

/**
 * struct util_rng - seeded pseudo-random generator, not for secrets
 * @state: seed, any value; equal states give equal sequences
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
 * util_random_bytes() - fill a buffer from the kernel's random source
 * @out: filled with @len bytes
 */
void util_random_bytes(void *out, size_t len);

/**
 * util_edit_distance() - Levenshtein distance, used to suggest the nearest known name
 *
 * Return: the distance; 64 if either text is longer than 63 bytes.
 */
unsigned int util_edit_distance(const char *a, const char *b);

#endif
