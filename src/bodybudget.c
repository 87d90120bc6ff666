#include "bodybudget.h"

/* A body that has made progress within this time is not dropped for another one. */
#define STALLED_MS 200
/*
 * Fewer bytes are no progress: a client that sends one byte now and then would hold a large body
 * for hours. With STALLED_MS this asks for 20 KB/s while the budget is short.
 */
#define PROGRESS_MIN_BYTES 4096

struct body {
	void *owner; /* NULL: the handle is free */
	size_t bytes;
	size_t progress_bytes; /* that had arrived at @progress_ms */
	uint64_t progress_ms;
	bool complete;
};

struct bodybudget {
	struct bodybudget_limits limits;
	void (*drop)(void *owner);
	struct body *bodies;
	uint32_t count;
	size_t used;
	size_t large_used;
};

struct bodybudget *bodybudget_create(TALLOC_CTX *mem, const struct bodybudget_limits *limits,
				     void (*drop)(void *owner))
{
	struct bodybudget *budget = talloc_zero(mem, struct bodybudget);

	budget->limits = *limits;
	budget->drop = drop;
	return budget;
}

static bool is_large(const struct bodybudget *budget, size_t bytes)
{
	return bytes > budget->limits.small_max;
}

static void set_bytes(struct bodybudget *budget, struct body *body, size_t bytes)
{
	if (is_large(budget, body->bytes))
		budget->large_used -= body->bytes;
	if (is_large(budget, bytes))
		budget->large_used += bytes;
	budget->used += bytes - body->bytes;
	body->bytes = bytes;
}

uint32_t bodybudget_open(struct bodybudget *budget, void *owner, uint64_t now_ms)
{
	uint32_t handle = 0;

	while (handle < budget->count && budget->bodies[handle].owner)
		handle++;
	if (handle == budget->count) {
		budget->count = 2 * budget->count + 16;
		budget->bodies = talloc_realloc(budget, budget->bodies, struct body, budget->count);
		for (uint32_t i = handle; i < budget->count; i++)
			budget->bodies[i] = (struct body){0};
	}
	budget->bodies[handle] = (struct body){.owner = owner, .progress_ms = now_ms};
	return handle;
}

void bodybudget_close(struct bodybudget *budget, uint32_t handle)
{
	if (handle == BODYBUDGET_NONE)
		return;
	set_bytes(budget, &budget->bodies[handle], 0);
	budget->bodies[handle] = (struct body){0};
}

/* True if @bytes for @body would take from the share of small bodies. */
static bool exceeds_large_share(const struct bodybudget *budget, const struct body *body,
				size_t bytes)
{
	size_t large = budget->large_used - (is_large(budget, body->bytes) ? body->bytes : 0);

	return is_large(budget, bytes) &&
	       large + bytes > budget->limits.total - budget->limits.small_share;
}

/* True if @bytes for @body would fit. */
static bool has_room(const struct bodybudget *budget, const struct body *body, size_t bytes)
{
	return budget->used - body->bytes + bytes <= budget->limits.total &&
	       !exceeds_large_share(budget, body, bytes);
}

/*
 * The unfinished body that has held most for longest without progress; NULL if none has.
 * @large_only: small bodies hold nothing that would help
 */
static struct body *find_victim(const struct bodybudget *budget, const struct body *self,
				bool large_only, uint64_t now_ms)
{
	struct body *worst = NULL;
	double worst_cost = 0;

	for (uint32_t i = 0; i < budget->count; i++) {
		struct body *body = &budget->bodies[i];
		uint64_t stalled_ms = now_ms - body->progress_ms;
		double cost = (double)body->bytes * (double)stalled_ms;

		if (!body->owner || body == self || body->complete || body->bytes == 0 ||
		    (large_only && !is_large(budget, body->bytes)) || stalled_ms < STALLED_MS ||
		    (worst && cost <= worst_cost))
			continue;
		worst = body;
		worst_cost = cost;
	}
	return worst;
}

bool bodybudget_reserve(struct bodybudget *budget, uint32_t handle, size_t bytes, uint64_t now_ms)
{
	struct body *body = &budget->bodies[handle];

	while (!has_room(budget, body, bytes)) {
		struct body *victim =
			find_victim(budget, body, exceeds_large_share(budget, body, bytes), now_ms);
		void *owner;

		if (!victim)
			return false;
		owner = victim->owner;
		bodybudget_close(budget, (uint32_t)(victim - budget->bodies));
		budget->drop(owner);
	}
	set_bytes(budget, body, bytes);
	return true;
}

void bodybudget_progress(struct bodybudget *budget, uint32_t handle, size_t received,
			 uint64_t now_ms)
{
	struct body *body = &budget->bodies[handle];

	if (received - body->progress_bytes < PROGRESS_MIN_BYTES)
		return;
	body->progress_bytes = received;
	body->progress_ms = now_ms;
}

void bodybudget_complete(struct bodybudget *budget, uint32_t handle)
{
	budget->bodies[handle].complete = true;
}

size_t bodybudget_used(const struct bodybudget *budget)
{
	return budget->used;
}
