#include "target.h"

#include <string.h>

struct target {
	struct target_info *info; /* owned with its strings; NULL before the first announcement */
	uint64_t seen_ms;
	bool silent;
};

struct target *target_create(TALLOC_CTX *mem)
{
	return talloc_zero(mem, struct target);
}

static bool fresh(const struct target *t, uint64_t now_ms)
{
	return t->info && now_ms - t->seen_ms <= TARGET_SILENCE_MS;
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

static bool same_row(const struct target_info *a, const struct target_info *b)
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

static int check_sender(const struct target *t, const struct target_info *info, uint64_t now_ms,
			struct err *err)
{
	if (!t->info)
		return 0;
	if (strcmp(t->info->name, info->name) != 0) {
		if (!fresh(t, now_ms))
			return 0;
		return err_set(err, ERR_CONFLICT, "run one agent beside each target",
			       "this agent serves target %s, which still announces itself",
			       t->info->name);
	}
	if (info->incarnation < t->info->incarnation)
		return err_set(err, ERR_STALE,
			       "stop the older process or give incarnations that grow",
			       "incarnation %llu of %s is older than %llu seen before",
			       (unsigned long long)info->incarnation, info->name,
			       (unsigned long long)t->info->incarnation);
	return 0;
}

int target_announce(struct target *t, const struct target_info *info, uint64_t now_ms,
		    unsigned int *changes, struct err *err)
{
	int ret = check_sender(t, info, now_ms, err);

	*changes = 0;
	if (ret)
		return ret;
	if (!t->info || !same_process(t->info, info))
		*changes |= TARGET_RESTARTED | TARGET_CHANGED;
	else if (!same_row(t->info, info) || !fresh(t, now_ms) || t->silent)
		*changes |= TARGET_CHANGED;
	if (*changes) {
		talloc_free(t->info);
		t->info = copy_info(t, info);
	}
	t->seen_ms = now_ms;
	t->silent = false;
	return 0;
}

unsigned int target_check(struct target *t, uint64_t now_ms)
{
	if (!t->info || t->silent || fresh(t, now_ms))
		return 0;
	t->silent = true;
	return TARGET_CHANGED;
}

int target_usable(const struct target *t, uint64_t now_ms)
{
	if (!fresh(t, now_ms))
		return -ERR_NO_TARGET;
	return t->info->leaving ? -ERR_LEAVING : 0;
}

const struct target_info *target_info(const struct target *t)
{
	return t->info;
}
