#include "slots.h"

struct slots {
	struct slots_capacity capacity;
	uint32_t requests;
	uint64_t taken_mask;
	uint32_t taken_cores;
	uint32_t taken_memory_mb;
};

struct slots *slots_create(TALLOC_CTX *mem)
{
	return talloc_zero(mem, struct slots);
}

void slots_set_capacity(struct slots *s, const struct slots_capacity *capacity)
{
	s->capacity = *capacity;
}

int slots_take_request(struct slots *s)
{
	if (s->requests >= s->capacity.slots || s->requests >= s->capacity.connections)
		return -ERR_NO_TARGET;
	s->requests++;
	return 0;
}

void slots_give_request(struct slots *s)
{
	if (s->requests > 0)
		s->requests--;
}

static uint64_t capacity_mask(const struct slots *s)
{
	if (s->capacity.accelerators >= 64)
		return UINT64_MAX;
	return ((uint64_t)1 << s->capacity.accelerators) - 1;
}

/* A capacity that shrank below what is taken leaves nothing free. */
static uint32_t left(uint32_t capacity, uint32_t taken)
{
	return capacity > taken ? capacity - taken : 0;
}

int slots_hold(struct slots *s, uint64_t mask, uint32_t cores, uint32_t memory_mb, struct err *err)
{
	static const char *const remedy = "place the member on another worker";
	uint64_t missing = mask & ~slots_free_mask(s);
	uint32_t free_cores = left(s->capacity.cores, s->taken_cores);
	uint32_t free_memory = left(s->capacity.memory_mb, s->taken_memory_mb);

	if (missing)
		return err_set(err, ERR_NO_TARGET, remedy,
			       "accelerators %#llx of %#llx are not free",
			       (unsigned long long)missing, (unsigned long long)mask);
	if (cores > free_cores)
		return err_set(err, ERR_NO_TARGET, remedy, "%u cores wanted, %u free", cores,
			       free_cores);
	if (memory_mb > free_memory)
		return err_set(err, ERR_NO_TARGET, remedy, "%u MB of memory wanted, %u MB free",
			       memory_mb, free_memory);
	s->taken_mask |= mask;
	s->taken_cores += cores;
	s->taken_memory_mb += memory_mb;
	return 0;
}

void slots_drop(struct slots *s, uint64_t mask, uint32_t cores, uint32_t memory_mb)
{
	s->taken_mask &= ~mask;
	s->taken_cores = left(s->taken_cores, cores);
	s->taken_memory_mb = left(s->taken_memory_mb, memory_mb);
}

uint32_t slots_in_flight(const struct slots *s)
{
	return s->requests;
}

uint64_t slots_free_mask(const struct slots *s)
{
	return capacity_mask(s) & ~s->taken_mask;
}
