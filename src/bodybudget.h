#ifndef JAYCOURSE_BODYBUDGET_H
#define JAYCOURSE_BODYBUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: Memory budget of the request bodies that a process holds; decides, without I/O
 *
 * The load: many clients send large bodies at once and most of them stop just short of the end. A
 * body gets memory only from the budget. When there is too little, the unfinished bodies that hold
 * most for longest without progress are dropped. Large bodies leave a share to small ones.
 */

struct bodybudget;

/**
 * struct bodybudget_limits - in bytes
 * @total: of all bodies
 * @small_share: part of @total that only small bodies get
 * @small_max: largest body that counts as small
 */
struct bodybudget_limits {
	size_t total;
	size_t small_share;
	size_t small_max;
};

/** BODYBUDGET_NONE - no handle */
#define BODYBUDGET_NONE UINT32_MAX

/**
 * bodybudget_create() - an empty budget, owned by @mem
 * @drop: called when a body has to be given up for another one; its memory counts as free already,
 *	and its handle is closed
 */
struct bodybudget *bodybudget_create(TALLOC_CTX *mem, const struct bodybudget_limits *limits,
				     void (*drop)(void *owner));

/** bodybudget_open() - handle of a new body that holds nothing yet; @owner is passed to drop() */
uint32_t bodybudget_open(struct bodybudget *budget, void *owner, uint64_t now_ms);

/** bodybudget_close() - give back what a body holds; BODYBUDGET_NONE is allowed */
void bodybudget_close(struct bodybudget *budget, uint32_t handle);

/**
 * bodybudget_reserve() - let a body hold @bytes in all
 *
 * Other bodies may be dropped for it.
 *
 * Return: false if there is no room and no other body has stood still; nothing has changed then.
 */
bool bodybudget_reserve(struct bodybudget *budget, uint32_t handle, size_t bytes, uint64_t now_ms);

/**
 * bodybudget_progress() - more of a body has arrived, @received bytes in all
 *
 * Less than 4 KiB more than at the latest progress are none.
 */
void bodybudget_progress(struct bodybudget *budget, uint32_t handle, size_t received,
			 uint64_t now_ms);

/** bodybudget_complete() - a body has arrived as a whole; it is not dropped any more */
void bodybudget_complete(struct bodybudget *budget, uint32_t handle);

/** bodybudget_used() - bytes held by all bodies */
size_t bodybudget_used(const struct bodybudget *budget);

#endif
