#include "lib_plansim.h"

#include "util.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

/*
 * Guarantees on a fleet full of tasks that were evicted before, in random worlds. The oracle counts
 * evictions itself and knows only the runs on the workers: a task that was evicted twice may be
 * stopped only if the gang would not fit with all other tasks gone. Organisation "a" is promised 16
 * accelerators, and its gangs come one at a time.
 */

#define SEEDS 15
#define ROUNDS 40
#define WORKERS 4
#define EVICTIONS_MAX 2
#define RECLAIM_MS 700 /* a stop takes 200 ms */

struct counted {
	uint32_t evictions;
	uint32_t pending; /* in the present decision */
	uint32_t run;
};

struct world {
	struct plansim *sim;
	GHashTable *counted; /* task, or job of a gang -> struct counted */
	struct plan_resources need;
	uint32_t members;
	uint32_t protected_stops;
	const char *fault;
};

/* All members of a gang are stopped together, so they are counted as one. */
static void make_key(char *key, const char *task)
{
	g_strlcpy(key, task, 64);
	if (*key == 'l')
		*strchr(key, '.') = '\0';
}

static uint32_t count_evictions(const struct world *world, const char *task)
{
	const struct counted *counted;
	char key[64];

	make_key(key, task);
	counted = g_hash_table_lookup(world->counted, key);
	return counted ? counted->evictions : 0;
}

static uint32_t units(uint32_t room, uint32_t used, uint32_t need)
{
	return room > used ? (room - used) / need : 0;
}

/* Members of the gang that fit when all but guaranteed and protected runs are gone. */
static uint32_t room_without_protected(const struct world *world)
{
	struct plan_resources used[WORKERS] = {0};
	uint32_t sum = 0;

	for (uint32_t i = 0; i < world->sim->run_count; i++) {
		const struct sim_run *run = &world->sim->runs[i];

		if (!run->present || run->stopping ||
		    (*run->task != 'g' && count_evictions(world, run->task) < EVICTIONS_MAX))
			continue;
		used[run->worker].cpu_milli += run->need.cpu_milli;
		used[run->worker].accelerators += run->need.accelerators;
	}
	for (uint32_t i = 0; i < WORKERS; i++)
		sum += MIN(units(SIM_WORKER_ACCELERATORS, used[i].accelerators,
				 world->need.accelerators),
			   units(SIM_WORKER_CPU_MILLI, used[i].cpu_milli, world->need.cpu_milli));
	return sum;
}

static void on_evict(const struct plan_eviction *eviction, void *ctx)
{
	struct world *world = ctx;
	struct counted *counted;
	char key[64];

	make_key(key, eviction->task);
	counted = g_hash_table_lookup(world->counted, key);
	if (!counted) {
		counted = g_new0(struct counted, 1);
		g_hash_table_insert(world->counted, g_strdup(key), counted);
	}
	if (counted->run == eviction->run)
		return;
	counted->run = eviction->run;
	counted->pending++;
	if (eviction->before != counted->evictions)
		world->fault = "an eviction reports another number of earlier ones";
	if (counted->evictions < EVICTIONS_MAX)
		return;
	world->protected_stops++;
	if (eviction->reason != PLAN_EVICT_GUARANTEE || *eviction->step != 'g')
		world->fault = "a task was evicted a third time, and not for a guarantee";
	else if (room_without_protected(world) >= world->members)
		world->fault = "a task was evicted a third time, but there was another way";
}

static void apply_pending(struct plansim *sim, void *ctx)
{
	struct world *world = ctx;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, world->counted);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct counted *counted = value;

		counted->evictions += counted->pending;
		counted->pending = 0;
	}
}

static void add_other_job(struct plansim *sim, struct util_rng *rng, int number)
{
	bool gang = util_rng_below(rng, 3) == 0;
	char id[16];
	char *steps = talloc_asprintf(
		sim,
		"[{\"tasks\":%u,\"cpu_milli\":%u,\"accelerators\":%u,\"estimate_ms\":%u,"
		"\"gang\":%s}]",
		(unsigned int)(1 + util_rng_below(rng, gang ? 3 : 8)),
		(unsigned int)(1000 + util_rng_below(rng, 9000)),
		(unsigned int)(1 + util_rng_below(rng, 4)),
		(unsigned int)(2000 + util_rng_below(rng, 9000)), gang ? "true" : "false");

	snprintf(id, sizeof(id), "%c%d", gang ? 'l' : 'b', number);
	plansim_add_job(sim, id, gang ? "large" : "batch", "b", steps);
}

/* Adds a guaranteed gang; false if it does not start within the time of a reclaim. */
static bool reclaim(struct world *world, struct util_rng *rng, int number)
{
	char id[16];
	char prefix[16];
	char *steps;

	world->members = (uint32_t)(1 + util_rng_below(rng, 4));
	world->need = (struct plan_resources){
		.cpu_milli = (uint32_t)(1000 + util_rng_below(rng, 30000)),
		.accelerators = (uint32_t)(1 + util_rng_below(rng, 16 / world->members)),
	};
	world->need.accelerators = MIN(world->need.accelerators, SIM_WORKER_ACCELERATORS);
	steps = talloc_asprintf(world->sim,
				"[{\"tasks\":%u,\"cpu_milli\":%u,\"accelerators\":%u,"
				"\"estimate_ms\":600,\"gang\":true}]",
				world->members, world->need.cpu_milli, world->need.accelerators);
	snprintf(id, sizeof(id), "g%d", number);
	snprintf(prefix, sizeof(prefix), "g%d.", number);
	plansim_add_job(world->sim, id, "urgent", "a", steps);
	for (int ms = 0; ms < RECLAIM_MS; ms += 10) {
		plansim_run(world->sim, 10);
		if (plansim_count_runs(world->sim, prefix) == world->members)
			return true;
	}
	return false;
}

/*
 * Guards against guarantees that are kept at the cost of the same tasks again and again, and
 * against guarantees that are not kept since all tasks are protected.
 */
static void test_third_eviction(void)
{
	uint32_t protected_stops = 0;

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		struct world world = {.sim = plansim_create(NULL, WORKERS)};
		struct util_rng rng = {seed};

		world.counted = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
		plan_on_evict(world.sim->plan, on_evict, &world);
		world.sim->after_tick = apply_pending;
		world.sim->hook_ctx = &world;
		for (int i = 0; i < ROUNDS && !world.fault; i++) {
			add_other_job(world.sim, &rng, i);
			plansim_run(world.sim, 100);
			if (!reclaim(&world, &rng, i))
				world.fault = "a guarantee was not kept in time";
			plansim_run(world.sim, 900);
		}
		if (!world.fault)
			world.fault = world.sim->violation;
		if (world.fault)
			printf("\nseed %u: %s\n", seed, world.fault);
		CU_ASSERT_PTR_NULL(world.fault);
		protected_stops += world.protected_stops;
		g_hash_table_destroy(world.counted);
		talloc_free(world.sim);
	}
	/* Otherwise the worlds would show nothing of the last resort. */
	CU_ASSERT_TRUE(protected_stops > 0);
}

int main(void)
{
	CU_pSuite suite;

	if (CU_initialize_registry() != CUE_SUCCESS)
		return CU_get_error();
	suite = CU_add_suite("planevict_random", NULL, NULL);
	CU_add_test(suite, "third_eviction", test_third_eviction);
	CU_basic_run_tests();
	return CU_get_number_of_failures() > 0;
}
