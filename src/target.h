#ifndef JAYCOURSE_TARGET_H
#define JAYCOURSE_TARGET_H

#include "err.h"
#include "msg.h"
#include "slots.h"

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: The target beside an agent
 *
 * Remembers the target's last announcement and tells whether it may get new work. Clock
 * values are passed in; one thread.
 */

#define TARGET_SILENCE_MS 2000 /* a target is gone after this time without an announcement */

struct target;

/**
 * struct target_info - one announcement; strings are borrowed
 * @url: base address, "http://ip:port"
 * @incarnation: changes when the target restarts
 * @clock_ms: the target's clock when it sent this; 0 when it does not say
 */
struct target_info {
	enum msg_target_kind kind;
	const char *name;
	const char *service;
	const char *url;
	uint64_t incarnation;
	uint64_t clock_ms;
	bool leaving;
	struct slots_capacity capacity;
};

/* Results of target_announce() and target_check(), combined as bits. */
#define TARGET_CHANGED 1U   /* a field told to the entries differs */
#define TARGET_RESTARTED 2U /* another incarnation or address than before */

struct target *target_create(TALLOC_CTX *mem);

/**
 * target_announce() - take in an announcement
 * @now_ms: util_clock_ms()
 * @changes: receives TARGET_ bits
 *
 * Return: 0; -ERR_CONFLICT while another target is announced here; -ERR_STALE for an
 * incarnation older than the current one.
 */
int target_announce(struct target *t, const struct target_info *info, uint64_t now_ms,
		    unsigned int *changes, struct err *err);

/** target_check() - TARGET_CHANGED when the target has become silent since the last check */
unsigned int target_check(struct target *t, uint64_t now_ms);

/** target_usable() - 0 when new work may start, -ERR_NO_TARGET or -ERR_LEAVING when not */
int target_usable(const struct target *t, uint64_t now_ms);

/** target_info() - the last announcement, borrowed; NULL before the first */
const struct target_info *target_info(const struct target *t);

#endif
