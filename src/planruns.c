#include "plan_int.h"

#include "jsonread.h"

#include <string.h>

/*
 * Ranges of one set. Each run that did not fail between failed ones, and each change of leader, may
 * begin a new range; 128 of them take less than 5 KB of a stored record.
 */
#define RANGES_MAX 128

/* Returns the index of the first range that ends at @run or later. */
static uint32_t find_range(const struct run_set *set, uint32_t run)
{
	uint32_t low = 0;
	uint32_t high = set->range_count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (set->ranges[middle].last < run)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static bool contains(const struct run_set *set, uint32_t run)
{
	uint32_t i = find_range(set, run);

	return i < set->range_count && set->ranges[i].first <= run;
}

static void insert_range(TALLOC_CTX *mem, struct run_set *set, uint32_t index,
			 const struct run_range *range)
{
	struct run_range *at;

	set->ranges = talloc_realloc(mem, set->ranges, struct run_range, set->range_count + 1);
	at = &set->ranges[index];
	memmove(at + 1, at, (set->range_count - index) * sizeof(*at));
	*at = *range;
	set->range_count++;
	set->count += range->count;
}

/* Makes one range of the one at @index and the next one. */
static void join_with_next(struct run_set *set, uint32_t index)
{
	struct run_range *range = &set->ranges[index];
	uint32_t after = set->range_count - index - 2;

	range->last = range[1].last;
	range->count += range[1].count;
	memmove(range + 1, range + 2, after * sizeof(*range));
	set->range_count--;
}

static void note_latest(struct run_set *set, uint32_t run)
{
	for (uint32_t i = 0; i < set->latest_count; i++) {
		if (set->latest[i] == run)
			return;
	}
	if (set->latest_count == LATEST_RUNS_MAX) {
		memmove(set->latest, set->latest + 1, sizeof(set->latest) - sizeof(set->latest[0]));
		set->latest_count--;
	}
	set->latest[set->latest_count++] = run;
}

bool plan_run_set_add(TALLOC_CTX *mem, struct run_set *set, uint32_t run, uint32_t previous)
{
	uint32_t i = find_range(set, run);

	if (contains(set, run))
		return false;
	insert_range(mem, set, i, &(struct run_range){run, run, 1});
	note_latest(set, run);
	if (i + 1 < set->range_count && set->ranges[i + 1].first == run + 1)
		join_with_next(set, i);
	if (i > 0 && (set->ranges[i - 1].last == run - 1 ||
		      (previous != 0 && set->ranges[i - 1].last == previous)))
		join_with_next(set, i - 1);
	/*
	 * A failure in the oldest gap that is reported only now is not counted any more. Dropping
	 * the oldest range would count each repeated report of its failures again.
	 */
	if (set->range_count > RANGES_MAX)
		join_with_next(set, 0);
	return true;
}

static json_t *write_latest(const struct run_set *set)
{
	json_t *runs = json_array();

	for (uint32_t i = 0; i < set->latest_count; i++)
		json_array_append_new(runs, json_integer(set->latest[i]));
	return runs;
}

json_t *plan_run_set_write(const struct run_set *set, json_t **ranges)
{
	*ranges = NULL;
	/* Up to this count the numbers say all, also to a leader of an earlier release. */
	if (set->count != set->latest_count) {
		*ranges = json_array();
		for (uint32_t i = 0; i < set->range_count; i++) {
			const struct run_range *range = &set->ranges[i];

			json_array_append_new(*ranges,
					      json_pack("[i, i, i]", (int)range->first,
							(int)range->last, (int)range->count));
		}
	}
	return write_latest(set);
}

static bool read_range(const json_t *json, struct run_range *range)
{
	return json_array_size(json) == 3 &&
	       jsonread_u32(json_array_get(json, 0), PLAN_RUN_MAX, &range->first) &&
	       jsonread_u32(json_array_get(json, 1), PLAN_RUN_MAX, &range->last) &&
	       jsonread_u32(json_array_get(json, 2), PLAN_RUN_MAX, &range->count) &&
	       range->first <= range->last && range->count > 0 &&
	       range->count <= range->last - range->first + 1;
}

static int read_ranges(TALLOC_CTX *mem, struct run_set *set, const json_t *ranges)
{
	const json_t *json;
	size_t i;

	if (ranges && !json_is_array(ranges))
		return -ERR_INVALID;
	json_array_foreach(ranges, i, json)
	{
		struct run_range range;

		if (!read_range(json, &range) ||
		    (i > 0 && range.first <= set->ranges[set->range_count - 1].last))
			return -ERR_INVALID;
		insert_range(mem, set, set->range_count, &range);
		if (set->range_count > RANGES_MAX)
			join_with_next(set, 0);
	}
	return 0;
}

int plan_run_set_read(TALLOC_CTX *mem, struct run_set *set, const json_t *runs,
		      const json_t *ranges)
{
	const json_t *json;
	uint32_t run;
	size_t i;

	if (read_ranges(mem, set, ranges))
		return -ERR_INVALID;
	json_array_foreach(runs, i, json)
	{
		if (!jsonread_u32(json, PLAN_RUN_MAX, &run))
			return -ERR_INVALID;
		if (contains(set, run))
			note_latest(set, run);
		else
			plan_run_set_add(mem, set, run, 0);
	}
	return 0;
}
