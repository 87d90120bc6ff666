#include "target.h"

#include <string.h>

struct target {
	struct target_info *info; /* owned with its strings; NULL before the first announcement */
	uint64_t last_announced_ms;
	bool silent;
};

struct target *target_create(TALLOC_CTX *mem)
{
	return talloc_zero(mem, struct target);
}

static bool announced_recently(const struct target *target, uint64_t now_ms)
{
	return target->info && now_ms - target->last_announced_ms <= TARGET_SILENCE_MS;
}

static struct target_info *copy_info(TALLOC_CTX *mem, const struct target_info *info)
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
	if (!target->info)
		return 0;
	if (strcmp(target->info->name, info->name) != 0) {
		if (!announced_recently(target, now_ms))
			return 0;
		return err_set(err, ERR_CONFLICT, "run one agent beside each target",
			       "this agent serves target %s, which still announces itself",
			       target->info->name);
	}
	if (info->incarnation < target->info->incarnation)
		return err_set(err, ERR_STALE,
			       "stop the older process, or announce a larger incarnation after "
			       "each restart",
			       "incarnation %llu of %s is older than %llu seen before",
			       (unsigned long long)info->incarnation, info->name,
			       (unsigned long long)target->info->incarnation);
	return 0;
}

int target_announce(struct target *target, const struct target_info *info, uint64_t now_ms,
		    unsigned int *changes, struct err *err)
{
	int ret = check_sender(target, info, now_ms, err);

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
		target->info = copy_info(target, info);
	}
	target->last_announced_ms = now_ms;
	target->silent = false;
	return 0;
}

unsigned int target_check_silence(struct target *target, uint64_t now_ms)
{
	if (!target->info || target->silent || announced_recently(target, now_ms))
		return 0;
	target->silent = true;
	return TARGET_CHANGED;
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
