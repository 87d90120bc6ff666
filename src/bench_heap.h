#ifndef JAYCOURSE_BENCH_HEAP_H
#define JAYCOURSE_BENCH_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* A future event of the replay; events of equal time are popped in insertion order. */
struct bench_heap_item {
	uint64_t time_ms;
	uint64_t order; /* of insertion */
	int kind;
	uint32_t attempt;
	void *subject;
};

struct bench_heap;

struct bench_heap *bench_heap_create(TALLOC_CTX *mem);

void bench_heap_push(struct bench_heap *heap, uint64_t time_ms, int kind, uint32_t attempt,
		     void *subject);

/** bench_heap_peek() - get the time of the first item; returns false if the heap is empty */
bool bench_heap_peek(const struct bench_heap *heap, uint64_t *time_ms);

/** bench_heap_pop() - remove the first item; returns false if the heap is empty */
bool bench_heap_pop(struct bench_heap *heap, struct bench_heap_item *out);

#endif
