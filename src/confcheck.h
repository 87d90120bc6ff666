#ifndef JAYCOURSE_CONFCHECK_H
#define JAYCOURSE_CONFCHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: Offline check of a fleet's configuration
 *
 * The format belongs to a platform, whose codec finds the problems and names their fields.
 */

/**
 * struct confcheck_problem - something that is wrong, or that may not be intended
 * @path: of the field, for example "routes[2].prefix"; "" for the whole text
 * @remedy: what to do
 * @warning: the configuration can be used all the same
 */
struct confcheck_problem {
	const char *path;
	const char *message;
	const char *remedy;
	bool warning;
};

/** struct confcheck_report - problems in the order of the fields; freed with @problems' parent */
struct confcheck_report {
	TALLOC_CTX *mem;
	struct confcheck_problem *problems;
	size_t count;
};

/**
 * struct confcheck_input - texts to check
 * @in_force: the version that would be replaced; NULL: not known
 * @accelerators: of the fleet; 0: not known
 */
struct confcheck_input {
	const char *text;
	size_t len;
	const char *in_force;
	size_t in_force_len;
	uint64_t accelerators;
};

/** struct confcheck_codec - reader of a platform's configuration */
struct confcheck_codec {
	void (*check)(const struct confcheck_input *input, struct confcheck_report *report);
};

#endif
