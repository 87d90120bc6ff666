#ifndef JAYCOURSE_SLOTS_H
#define JAYCOURSE_SLOTS_H

#include "err.h"

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: What is taken on one target
 *
 * The agent's truth about slots and connections (request-serving instances) and about
 * accelerators, cores and memory (workers). Pure bookkeeping, one thread.
 */

struct slots;

struct slots_capacity {
	uint32_t slots;
	uint32_t connections;
	uint32_t accelerators;
	uint32_t cores;
	uint32_t memory_mb;
};

struct slots *slots_create(TALLOC_CTX *mem);

/** slots_set_capacity() - a smaller capacity takes nothing away from work that runs */
void slots_set_capacity(struct slots *s, const struct slots_capacity *capacity);

/** slots_take_request() - one slot and one connection; -ERR_NO_TARGET when there is none */
int slots_take_request(struct slots *s);

void slots_give_request(struct slots *s);

/**
 * slots_hold() - take accelerators, cores and memory for a gang member
 *
 * Return: 0, or -ERR_NO_TARGET with what is short.
 */
int slots_hold(struct slots *s, uint64_t mask, uint32_t cores, uint32_t memory_mb, struct err *err);

void slots_drop(struct slots *s, uint64_t mask, uint32_t cores, uint32_t memory_mb);

uint32_t slots_in_flight(const struct slots *s);

uint64_t slots_free_mask(const struct slots *s);

#endif
