#ifndef JAYCOURSE_TARGET_H
#define JAYCOURSE_TARGET_H

#include "err.h"
#include "msg.h"
#include "slots.h"

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: The target that an agent serves
 *
 * Keeps the target's last announcement and decides whether it may receive new work. Callers
 * pass in the time; used from one thread.
 */

#define TARGET_SILENCE_MS 2000 /* without an announcement for this time, a target is unusable */

/*
 * Announcements are a little late at times. Leases that are shorter by this time still outlast the
 * interval between two renewals.
 */
#define TARGET_CLOCK_STEP_MAX_MS 1000

struct target;

/**
 * struct target_info - one announcement; strings are borrowed
 * @url: base address, "http://ip:port"
 * @incarnation: changes when the target restarts
 * @clock_ms: the target's clock when it sent the announcement; 0 when it does not tell
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

/* What changed about a target: result bits of target_announce() and target_check_silence(). */
#define TARGET_CHANGED 1U   /* a field sent to the entries changed, or a silence began or ended */
#define TARGET_RESTARTED 2U /* the kind, name, address or incarnation has changed */

/** target_info_copy() - copy of @info that owns its strings */
struct target_info *target_info_copy(TALLOC_CTX *mem, const struct target_info *info);

struct target *target_create(TALLOC_CTX *mem);

/**
 * target_check() - check an announcement against the present target, without recording it
 * @now_ms: util_clock_ms()
 *
 * Return: 0; -ERR_CONFLICT while another target announces itself to this agent; -ERR_STALE for an
 * incarnation older than one that still announces itself; -ERR_INVALID for a clock of the present
 * target that is missing or more than TARGET_CLOCK_STEP_MAX_MS off, unless the clock of the
 * announcement before was off by the same time.
 */
int target_check(struct target *target, const struct target_info *info, uint64_t now_ms,
		 struct err *err);

/** target_is_other() - true if @info names another process than the present target */
bool target_is_other(const struct target *target, const struct target_info *info);

/**
 * target_announce() - records an announcement that target_check() has accepted
 * @now_ms: util_clock_ms() when it was received
 * @changes: receives TARGET_CHANGED and TARGET_RESTARTED bits
 *
 * Return: 0, or an error of target_check().
 */
int target_announce(struct target *target, const struct target_info *info, uint64_t now_ms,
		    unsigned int *changes, struct err *err);

/** target_check_silence() - TARGET_CHANGED when the target has become silent since the last check
 */
unsigned int target_check_silence(struct target *target, uint64_t now_ms);

/**
 * target_add_unheard() - this process did not run for @ms, so the target was not silent then
 *
 * It counts for target_check_silence() only: nothing is known of the target's state either.
 */
void target_add_unheard(struct target *target, uint64_t ms);

/** target_silent() - true after target_check_silence() has found a silence, until it ends */
bool target_silent(const struct target *target);

/** target_usable() - 0 when new work may start, -ERR_NO_TARGET or -ERR_LEAVING when not */
int target_usable(const struct target *target, uint64_t now_ms);

/** target_info() - the last announcement with a change, borrowed; NULL before the first */
const struct target_info *target_info(const struct target *target);

#endif
