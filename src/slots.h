#ifndef JAYCOURSE_SLOTS_H
#define JAYCOURSE_SLOTS_H

#include "err.h"

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: Capacity in use on one target
 *
 * The agent's authoritative account of the slots and connections in use (targets that serve
 * requests) and of the accelerators, cores and memory in use (workers). Only counts; used from
 * one thread.
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

/** slots_set_capacity() - sets the capacity; work that runs keeps what it uses if it shrinks */
void slots_set_capacity(struct slots *slots, const struct slots_capacity *capacity);

/** slots_acquire_request() - acquires a slot and a connection; -ERR_NO_TARGET if none is free */
int slots_acquire_request(struct slots *slots);

void slots_release_request(struct slots *slots);

/**
 * slots_reserve() - reserves accelerators, cores and memory for a gang member
 * @mask: one bit for each accelerator
 *
 * Return: 0, or -ERR_NO_TARGET with what is short in @err.
 */
int slots_reserve(struct slots *slots, uint64_t mask, uint32_t cores, uint32_t memory_mb,
		  struct err *err);

void slots_release(struct slots *slots, uint64_t mask, uint32_t cores, uint32_t memory_mb);

uint32_t slots_in_flight(const struct slots *slots);

uint64_t slots_free_mask(const struct slots *slots);

#endif
