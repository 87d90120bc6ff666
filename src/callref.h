#ifndef JAYCOURSE_CALLREF_H
#define JAYCOURSE_CALLREF_H

#include <talloc.h>

/**
 * DOC: Contexts of asynchronous calls that may end after their maker was freed
 *
 * A module passes callref_begin() as the context of a call and begins the callback with
 * callref_end(), which gives the module's object, or NULL if that was freed during the call.
 */

struct callref;

/**
 * callref_create() - create the context of the calls that @owner makes
 * @mem: talloc parent; outlives every call, or ends them without callbacks when it is freed
 * @owner: talloc chunk whose end is noticed, borrowed
 *
 * Return: a reference that frees itself once the owner was freed and no call is under way.
 */
struct callref *callref_create(TALLOC_CTX *mem, void *owner);

/** callref_begin() - count a call; returns its context, for one callref_end() */
void *callref_begin(struct callref *ref);

/** callref_end() - end a call; returns the owner, or NULL if it was freed */
void *callref_end(void *ctx);

#endif
