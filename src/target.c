#include "target.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define CLOCK_AGREEMENT_MS 200	/* between two announcements of a clock that was set */
#define CLOCK_REPEAT_MIN_MS 500 /* late announcements that are read at once are no repetition */

struct target {
	struct target_info *info; /* owned with its strings; NULL before the first announcement */
	uint64_t last_announced_ms;
	uint64_t unheard_ms; /* time since then in which this process could not hear the target */
	bool silent;
	bool clock_known;
	int64_t clock_offset_ms;     /* the target's clock minus this process's */
	int64_t odd_clock_offset_ms; /* of the last announcement that was refused for it */
	uint64_t odd_clock_ms;	     /* time of that announcement; 0: none */
};

struct target *target_create(TALLOC_CTX *mem)
{
	return talloc_zero(mem, struct target);
}

static bool announced_recently(const struct target *target, uint64_t now_ms)
{
	return target->info && now_ms - target->last_announced_ms <= TARGET_SILENCE_MS;
}

static bool is_silent(const struct target *target, uint64_t now_ms)
{
	return now_ms - target->last_announced_ms > TARGET_SILENCE_MS + target->unheard_ms;
}

struct target_info *target_info_copy(TALLOC_CTX *mem, const struct target_info *info)
{
	struct target_info *copy = talloc(mem, struct target_info);

	*copy = *info;
	copy->name = talloc_strdup(copy, info->name);
	copy->service = talloc_strdup(copy, info->service);
	copy->url = talloc_strdup(copy, info->url);
	return copy;
}

static bool same_capacity(const struct slots_capacity *a, const struct slots_capacity *b)
{
	return a->slots == b->slots && a->connections == b->connections &&
	       a->accelerators == b->accelerators && a->cores == b->cores &&
	       a->memory_mb == b->memory_mb;
}

static bool same_published_fields(const struct target_info *a, const struct target_info *b)
{
	return a->kind == b->kind && !strcmp(a->name, b->name) && !strcmp(a->service, b->service) &&
	       a->incarnation == b->incarnation && a->leaving == b->leaving &&
	       same_capacity(&a->capacity, &b->capacity);
}

static bool same_process(const struct target_info *a, const struct target_info *b)
{
	return a->kind == b->kind && !strcmp(a->name, b->name) && !strcmp(a->url, b->url) &&
	       a->incarnation == b->incarnation;
}

static int check_sender(const struct target *target, const struct target_info *info,
			uint64_t now_ms, struct err *err)
{
	if (!target->info || is_silent(target, now_ms))
		return 0;
	if (strcmp(target->info->name, info->name) != 0)
		return err_set(err, ERR_CONFLICT, "run one agent beside each target",
			       "this agent serves target %s, which still announces itself",
			       target->info->name);
	if (info->incarnation < target->info->incarnation)
		return err_set(err, ERR_STALE, "stop one of the two processes",
			       "incarnation %" PRIu64 " of %s is older than %" PRIu64
			       ", which still announces itself",
			       info->incarnation, info->name, target->info->incarnation);
	return 0;
}

/* Leases end by this clock: one that is wrong ends all tasks, or lets them outlive their agent. */
static int check_clock(struct target *target, const struct target_info *info, uint64_t now_ms,
		       struct err *err)
{
	int64_t offset = (int64_t)info->clock_ms - (int64_t)now_ms;
	bool repeated;

	if (!info->clock_ms)
		return err_set(err, ERR_INVALID, "announce the clock each time",
			       "field \"clock_ms\" is missing, but was announced before");
	if (llabs(offset - target->clock_offset_ms) <= TARGET_CLOCK_STEP_MAX_MS)
		return 0;
	repeated = target->odd_clock_ms && now_ms - target->odd_clock_ms >= CLOCK_REPEAT_MIN_MS &&
		   llabs(offset - target->odd_clock_offset_ms) <= CLOCK_AGREEMENT_MS;
	if (repeated)
		return 0;
	target->odd_clock_offset_ms = offset;
	target->odd_clock_ms = now_ms;
	return err_set(err, ERR_INVALID, "repeat the announcement if the clock was set",
		       "field \"clock_ms\" differs by %lld ms from the announcements before",
		       (long long)(offset - target->clock_offset_ms));
}

bool target_is_other(const struct target *target, const struct target_info *info)
{
	return target->info && !same_process(target->info, info);
}

int target_check(struct target *target, const struct target_info *info, uint64_t now_ms,
		 struct err *err)
{
	int ret = check_sender(target, info, now_ms, err);

	if (ret || !target->clock_known || target_is_other(target, info))
		return ret;
	return check_clock(target, info, now_ms, err);
}

int target_announce(struct target *target, const struct target_info *info, uint64_t now_ms,
		    unsigned int *changes, struct err *err)
{
	int ret = target_check(target, info, now_ms, err);

	*changes = 0;
	if (ret)
		return ret;
	if (!target->info || !same_process(target->info, info))
		*changes |= TARGET_RESTARTED | TARGET_CHANGED;
	else if (!same_published_fields(target->info, info) ||
		 !announced_recently(target, now_ms) || target->silent)
		*changes |= TARGET_CHANGED;
	if (*changes) {
		talloc_free(target->info);
		target->info = target_info_copy(target, info);
	}
	target->last_announced_ms = now_ms;
	target->unheard_ms = 0;
	target->silent = false;
	target->clock_known = info->clock_ms > 0;
	target->clock_offset_ms = (int64_t)info->clock_ms - (int64_t)now_ms;
	target->odd_clock_ms = 0;
	return 0;
}

unsigned int target_check_silence(struct target *target, uint64_t now_ms)
{
	if (!target->info || target->silent || !is_silent(target, now_ms))
		return 0;
	target->silent = true;
	return TARGET_CHANGED;
}

void target_add_unheard(struct target *target, uint64_t ms)
{
	target->unheard_ms += ms;
}

bool target_silent(const struct target *target)
{
	return target->silent;
}

int target_usable(const struct target *target, uint64_t now_ms)
{
	if (!announced_recently(target, now_ms))
		return -ERR_NO_TARGET;
	return target->info->leaving ? -ERR_LEAVING : 0;
}

const struct target_info *target_info(const struct target *target)
{
	return target->info;
}
