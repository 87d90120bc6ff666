#include "bench_heap.h"

struct bench_heap {
	struct bench_heap_item *items;
	size_t count;
	size_t allocated;
	uint64_t next_order;
};

struct bench_heap *bench_heap_create(TALLOC_CTX *mem)
{
	return talloc_zero(mem, struct bench_heap);
}

static bool precedes(const struct bench_heap_item *a, const struct bench_heap_item *b)
{
	if (a->time_ms != b->time_ms)
		return a->time_ms < b->time_ms;
	return a->order < b->order;
}

static void swap_items(struct bench_heap *heap, size_t a, size_t b)
{
	struct bench_heap_item item = heap->items[a];

	heap->items[a] = heap->items[b];
	heap->items[b] = item;
}

void bench_heap_push(struct bench_heap *heap, uint64_t time_ms, int kind, uint32_t attempt,
		     void *subject)
{
	size_t at = heap->count;

	if (at == heap->allocated) {
		heap->allocated = heap->allocated ? heap->allocated * 2 : 256;
		heap->items =
			talloc_realloc(heap, heap->items, struct bench_heap_item, heap->allocated);
	}
	heap->items[at] = (struct bench_heap_item){
		.time_ms = time_ms,
		.order = heap->next_order++,
		.kind = kind,
		.attempt = attempt,
		.subject = subject,
	};
	heap->count++;
	while (at > 0 && precedes(&heap->items[at], &heap->items[(at - 1) / 2])) {
		swap_items(heap, at, (at - 1) / 2);
		at = (at - 1) / 2;
	}
}

bool bench_heap_peek(const struct bench_heap *heap, uint64_t *time_ms)
{
	if (!heap->count)
		return false;
	*time_ms = heap->items[0].time_ms;
	return true;
}

static void sift_down(struct bench_heap *heap)
{
	size_t at = 0;

	while (2 * at + 1 < heap->count) {
		size_t child = 2 * at + 1;

		if (child + 1 < heap->count &&
		    precedes(&heap->items[child + 1], &heap->items[child]))
			child++;
		if (!precedes(&heap->items[child], &heap->items[at]))
			return;
		swap_items(heap, at, child);
		at = child;
	}
}

bool bench_heap_pop(struct bench_heap *heap, struct bench_heap_item *out)
{
	if (!heap->count)
		return false;
	*out = heap->items[0];
	heap->items[0] = heap->items[--heap->count];
	sift_down(heap);
	return true;
}
