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

void slots_set_capacity(struct slots *slots, const struct slots_capacity *capacity)
{
	slots->capacity = *capacity;
}

int slots_acquire_request(struct slots *slots)
{
	if (slots->requests >= slots->capacity.slots ||
	    slots->requests >= slots->capacity.connections)
		return -ERR_NO_TARGET;
	slots->requests++;
	return 0;
}

void slots_release_request(struct slots *slots)
{
	if (slots->requests > 0)
		slots->requests--;
}

static uint64_t capacity_mask(const struct slots *slots)
{
	if (slots->capacity.accelerators >= 64)
		return UINT64_MAX;
	return ((uint64_t)1 << slots->capacity.accelerators) - 1;
}

/* Nothing is left of a capacity that has shrunk below what is in use. */
static uint32_t remaining(uint32_t capacity, uint32_t taken)
{
	return capacity > taken ? capacity - taken : 0;
}

int slots_reserve(struct slots *slots, uint64_t mask, uint32_t cores, uint32_t memory_mb,
		  struct err *err)
{
	static const char *const remedy = "place the member on another worker";
	uint64_t missing = mask & ~slots_free_mask(slots);
	uint32_t free_cores = remaining(slots->capacity.cores, slots->taken_cores);
	uint32_t free_memory = remaining(slots->capacity.memory_mb, slots->taken_memory_mb);

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
	slots->taken_mask |= mask;
	slots->taken_cores += cores;
	slots->taken_memory_mb += memory_mb;
	return 0;
}

void slots_release(struct slots *slots, uint64_t mask, uint32_t cores, uint32_t memory_mb)
{
	slots->taken_mask &= ~mask;
	slots->taken_cores = remaining(slots->taken_cores, cores);
	slots->taken_memory_mb = remaining(slots->taken_memory_mb, memory_mb);
}

uint32_t slots_in_flight(const struct slots *slots)
{
	return slots->requests;
}

uint64_t slots_free_mask(const struct slots *slots)
{
	return capacity_mask(slots) & ~slots->taken_mask;
}
