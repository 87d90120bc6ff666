#include "plan_int.h"

/*
 * Tasks that are to be stopped together. A decision may choose thousands of small tasks on one
 * worker, so each question about the set takes constant time.
 */

/* Unavailable tasks of one long-running step. */
struct tally {
	uint32_t unavailable; /* whatever happens to the tasks of the set */
	uint32_t stopped;     /* tasks of the set that are not among them */
};

struct plan_stopset {
	const struct plan *plan;
	uint64_t now_ms;
	GPtrArray *tasks;    /* in the order in which they were added */
	GHashTable *keys;    /* see key_of() */
	GHashTable *tallies; /* struct step_run -> struct tally; made on demand */
	double cost;
};

struct plan_stopset *plan_stopset_create(const struct plan *plan, uint64_t now_ms)
{
	struct plan_stopset *set = g_new0(struct plan_stopset, 1);

	set->plan = plan;
	set->now_ms = now_ms;
	set->tasks = g_ptr_array_new();
	set->keys = g_hash_table_new(NULL, NULL);
	set->tallies = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return set;
}

void plan_stopset_destroy(struct plan_stopset *set)
{
	if (!set)
		return;
	g_ptr_array_free(set->tasks, TRUE);
	g_hash_table_destroy(set->keys);
	g_hash_table_destroy(set->tallies);
	g_free(set);
}

void plan_stopset_clear(struct plan_stopset *set)
{
	g_ptr_array_set_size(set->tasks, 0);
	g_hash_table_remove_all(set->keys);
	g_hash_table_remove_all(set->tallies);
	set->cost = 0;
}

/* All members of a gang share one key. */
static gpointer key_of(const struct task *task)
{
	return task->step->spec->gang ? (gpointer)task->step : (gpointer)task;
}

/* True if stops of single tasks of the step are limited. */
static bool has_limit(const struct step_run *step)
{
	return step->spec->long_running && step->spec->max_unavailable > 0 && !step->spec->gang;
}

static struct tally *tally_of(struct plan_stopset *set, const struct step_run *step)
{
	struct tally *tally = g_hash_table_lookup(set->tallies, step);

	if (tally)
		return tally;
	tally = g_new0(struct tally, 1);
	for (uint32_t i = 0; i < step->spec->count; i++)
		tally->unavailable += plan_is_unavailable(set->plan, &step->tasks[i], set->now_ms);
	g_hash_table_insert(set->tallies, (gpointer)step, tally);
	return tally;
}

/* Counts or uncounts a task of the set. */
static void count_stop(struct plan_stopset *set, const struct task *task, int sign)
{
	if (has_limit(task->step) && !plan_is_unavailable(set->plan, task, set->now_ms))
		tally_of(set, task->step)->stopped += (uint32_t)sign;
}

bool plan_stopset_has(const struct plan_stopset *set, const struct task *task)
{
	return g_hash_table_contains(set->keys, key_of(task));
}

void plan_stopset_add(struct plan_stopset *set, struct task *task, double cost)
{
	count_stop(set, task, 1);
	g_ptr_array_add(set->tasks, task);
	g_hash_table_add(set->keys, key_of(task));
	set->cost += cost;
}

void plan_stopset_remove(struct plan_stopset *set, guint index)
{
	struct task *task = set->tasks->pdata[index];

	count_stop(set, task, -1);
	g_ptr_array_remove_index(set->tasks, index);
	g_hash_table_remove(set->keys, key_of(task));
	set->cost -= plan_eviction_cost(task, set->now_ms);
}

guint plan_stopset_count(const struct plan_stopset *set)
{
	return set->tasks->len;
}

struct task *plan_stopset_task(const struct plan_stopset *set, guint index)
{
	return set->tasks->pdata[index];
}

double plan_stopset_cost(const struct plan_stopset *set)
{
	return set->cost;
}

bool plan_stopset_may_stop(struct plan_stopset *set, const struct task *task)
{
	const struct jobspec_step *spec = task->step->spec;
	const struct tally *tally;
	uint32_t others;

	if (!spec->long_running || spec->max_unavailable == 0)
		return true;
	if (spec->gang)
		return spec->count <= spec->max_unavailable;
	tally = tally_of(set, task->step);
	others = tally->unavailable + tally->stopped;
	/* The task itself is one of them. */
	if (plan_stopset_has(set, task) || plan_is_unavailable(set->plan, task, set->now_ms))
		others--;
	return others < spec->max_unavailable;
}
