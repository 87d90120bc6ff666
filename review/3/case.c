#include "world.h"

#include <stdlib.h>
#include <string.h>

/*
 * Twenty jobs of 50 small tasks fill a part of one worker. Their tasks end one after the other,
 * 250 a second, while the store is down for 4.5 s.
 */

#define JOBS 20
#define TASKS 50
#define CPU 100
#define FIRST_END_MS 4000
#define END_GAP_MS 4
#define OUTAGE_MS 4500
#define REJECT_CALLS 1

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"forecast\",\"host\":\"jobs.example\",\"prefix\":"
	"\"/forecast/\",\"kind\":\"non_idempotent\",\"service\":\"planner\",\"priority\":1,"
	"\"max_attempts\":3,\"stretch\":3.0,\"slo_ms\":1000,\"timeout_ms\":3000,\"public\":false}],"
	"\"services\":[{\"name\":\"planner\",\"rejects_overload\":true,\"standby\":false}],"
	"\"limits\":{\"max_body_bytes\":262144},\"tenants\":[{\"name\":\"t1\",\"api_keys\":"
	"[\"key-1\"],\"guaranteed\":{\"gpu\":4}}]}";

static uint64_t first_start_ms;

static uint64_t plan_end(struct world_run *run, const char **how)
{
	uint64_t job = strtoul(run->task + 8, NULL, 16);
	uint64_t index = strtoul(strrchr(run->task, '.') + 1, NULL, 10);
	uint64_t end_ms;

	*how = "done";
	if (!first_start_ms)
		first_start_ms = run->start_ms;
	end_ms = first_start_ms + FIRST_END_MS + (job * TASKS + index) * END_GAP_MS;
	return end_ms > run->start_ms ? end_ms - run->start_ms : 500;
}

/* TWICE: a start after a run of the task has ended done, if that end is taken note of. */
static int count_twice(void)
{
	GHashTable *done = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *runs = world_runs();
	int broken = 0;

	for (guint i = 0; i < runs->len; i++) {
		struct world_run *run = runs->pdata[i];

		/* A lease that lapses in between would excuse the later start. */
		if (run->end_ms && !strcmp(run->how, "done") && run->noted_ms &&
		    world_lapse_ms(run->worker) < run->end_ms &&
		    !g_hash_table_contains(done, run->task))
			g_hash_table_insert(done, run->task, run);
	}
	for (guint i = 0; i < runs->len; i++) {
		const struct world_run *run = runs->pdata[i];
		const struct world_run *before = g_hash_table_lookup(done, run->task);

		if (!before || before == run || run->start_ms <= before->end_ms)
			continue;
		broken++;
		world_note("TWICE: %s run %u started at %lu, run %u had ended done at %lu, taken "
			   "note of at %lu",
			   run->task, run->run, (unsigned long)run->start_ms, before->run,
			   (unsigned long)before->end_ms, (unsigned long)before->noted_ms);
	}
	return broken;
}

int main(int argc, char **argv)
{
	struct world_plan plan = {plan_end};
	int broken;

	world_begin(argv[1], 3, 3, config, &plan);
	for (int i = 0; i < JOBS; i++) {
		char *id = g_strdup_printf("5c0e7a21%08x", i);

		world_submit("key-1", "forecast", id,
			     g_strdup_printf("{\"task_spec\":\"panel %d\",\"steps\":[{\"count\":%d,"
					     "\"cpu\":%d,\"mem_mb\":64,\"estimate_ms\":6000}]}",
					     i, TASKS, CPU));
		world_wait(50);
	}
	world_wait(FIRST_END_MS - JOBS * 50);
	if (world_trouble())
		world_store(REJECT_CALLS);
	world_wait(OUTAGE_MS);
	if (world_trouble())
		world_store(0);
	world_wait(12000);
	broken = count_twice();
	world_note("%u runs, %d of them after the task was done", world_runs()->len, broken);
	printf("%u runs of %d tasks, %d of them after the task was done\n", world_runs()->len,
	       JOBS * TASKS, broken);
	if (world_runs()->len < JOBS * TASKS)
		return world_finish(WORLD_UNUSABLE);
	return world_finish(broken ? WORLD_BROKEN : WORLD_OK);
}
