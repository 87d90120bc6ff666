#include "callref.h"

#include <stdint.h>

struct callref {
	void *owner;	       /* NULL: freed */
	struct owner_end *end; /* likewise */
	uint32_t calls;	       /* under way */
};

/* A talloc child of the owner, so that it is freed with it. */
struct owner_end {
	struct callref *ref; /* NULL: freed */
};

static int on_owner_freed(struct owner_end *end)
{
	struct callref *ref = end->ref;

	if (!ref)
		return 0;
	ref->owner = NULL;
	ref->end = NULL;
	if (ref->calls == 0)
		talloc_free(ref);
	return 0;
}

static int callref_destructor(struct callref *ref)
{
	if (ref->end)
		ref->end->ref = NULL;
	return 0;
}

struct callref *callref_create(TALLOC_CTX *mem, void *owner)
{
	struct callref *ref = talloc_zero(mem, struct callref);

	ref->owner = owner;
	ref->end = talloc_zero(owner, struct owner_end);
	ref->end->ref = ref;
	talloc_set_destructor(ref->end, on_owner_freed);
	talloc_set_destructor(ref, callref_destructor);
	return ref;
}

void *callref_begin(struct callref *ref)
{
	ref->calls++;
	return ref;
}

void *callref_end(void *ctx)
{
	struct callref *ref = ctx;
	void *owner = ref->owner;

	ref->calls--;
	if (!owner && ref->calls == 0)
		talloc_free(ref);
	return owner;
}
