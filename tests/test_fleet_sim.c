#include "coord.h"
#include "lib_memkv.h"
#include "runner.h"
#include "sim_core.h"
#include "sim_worker.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Entries, agents and workers under random faults, on a simulated clock: the leader's and the
 * agent's controllers are the real ones. Guards against two runs of one task.
 *
 * test_fleet_sim FIRST COUNT [-v] plays other seeds by hand.
 */

#define ENTRIES 3
#define AGENTS 4
#define JOBS_MAX 64
#define TTL_MS 1500
#define KEEP_ENDED_MS 120000
#define FAULTS_FROM_MS 4000
#define FAULTS_UNTIL_MS 32000
#define FAULTS_END_MS 50000
#define DAY_MAX_MS 240000
#define SEEDS_IN_CI 100

static const struct plan_params params = {.stop_ms = 200, .stall_ms = 60000};

struct entry {
	int host;
	char node[16];
	struct sim_process *process;
	struct wire *wire;
	struct memkv_client *client;
	struct kv *kv;
	struct metrics *metrics;
	struct leader *leader;
	struct coord *coord;
};

struct agent {
	int host;
	char node[16];
	struct sim_process *process;
	struct wire *wire;
	struct memkv_client *client;
	struct kv *kv;
	struct runner *runner;
	struct sim_worker *worker;
};

struct job {
	char id[JOBSPEC_ID_LEN + 1];
	uint32_t tasks;
	bool gang;
};

static struct {
	struct sim *sim;
	struct memkv *store;
	struct memkv_client *peer; /* through which resignations are stored */
	struct fleetconf conf;
	struct fleetconf_queue queue;
	struct entry entries[ENTRIES];
	struct agent agents[AGENTS];
	struct job jobs[JOBS_MAX];
	uint32_t job_count;
	uint32_t blocked[SIM_HOSTS_MAX]; /* faults that keep the host from the store */
	uint32_t cuts[SIM_HOSTS_MAX][SIM_HOSTS_MAX];
} world;

static bool new_ids_only;    /* workers never restart under their identifier */
static bool without_crashes; /* of workers */

static bool is_blocked(int host)
{
	return world.blocked[host] > 0;
}

static void on_entry_message(const char *peer, struct msg *msg, void *ctx)
{
	struct entry *entry = ctx;

	if (entry->coord)
		coord_message(entry->coord, peer, msg);
}

static void on_gained(uint64_t term, void *ctx)
{
	struct entry *entry = ctx;
	struct coord_deps deps = {.ev = sim_process_loop(entry->process),
				  .kv = entry->kv,
				  .wire = entry->wire,
				  .leader = entry->leader,
				  .metrics = entry->metrics,
				  .node = entry->node,
				  .params = &params,
				  .keep_ended_ms = KEEP_ENDED_MS};

	entry->coord = coord_create(deps.ev, &deps, &world.conf);
}

static void free_coord(void *ctx)
{
	talloc_free(ctx);
}

static void on_lost(void *ctx)
{
	struct entry *entry = ctx;

	if (entry->coord)
		sim_at(entry->process, sim_process_loop(entry->process), 0, free_coord,
		       entry->coord);
	entry->coord = NULL;
}

struct resignation {
	struct entry *entry;
	struct sim_process *process;
	char *key;
	char *value;
	int64_t revision;
	int status;
};

static void deliver_resignation(void *ctx)
{
	struct resignation *resignation = ctx;

	leader_resignation_stored(resignation->entry->leader, resignation->status);
	talloc_free(resignation);
}

static void on_resignation(int status, const struct kv_result *result, void *ctx)
{
	struct resignation *resignation = ctx;

	resignation->status = sim_chance(0.2) ? -ERR_OUTCOME_UNKNOWN : status;
	sim_at(resignation->process, resignation, sim_between(1, 30), deliver_resignation,
	       resignation);
}

static void store_resignation(void *ctx)
{
	struct resignation *resignation = ctx;
	struct kv_expect expects[2] = {{"leader", resignation->revision}, {resignation->key, 0}};
	struct kv_put put = {resignation->key, resignation->value, 0};
	struct kv_txn txn = {.expects = expects, .expect_count = 2, .puts = &put, .put_count = 1};

	world.peer->kv.ops->txn(world.peer->kv.impl, &txn,
				(struct kv_cb){on_resignation, resignation});
}

static void on_refused(const char *key, const char *value, const struct kv_expect *own, void *ctx)
{
	struct entry *entry = ctx;
	struct resignation *resignation = talloc_zero(sim_now, struct resignation);

	if (entry->coord)
		coord_warn_agents(entry->coord);
	resignation->entry = entry;
	resignation->process = entry->process;
	resignation->key = talloc_strdup(resignation, key);
	resignation->value = talloc_strdup(resignation, value);
	resignation->revision = own->revision;
	resignation->status = -ERR_UNAVAILABLE;
	for (int i = 0; i < ENTRIES; i++) {
		const struct entry *peer = &world.entries[i];

		if (peer == entry || !sim_process_alive(peer->process) || is_blocked(peer->host) ||
		    sim_now->cut[entry->host][peer->host] || sim_now->cut[peer->host][entry->host])
			continue;
		sim_at(NULL, resignation, sim_between(2, 40), store_resignation, resignation);
		return;
	}
	sim_at(entry->process, resignation, 150, deliver_resignation, resignation);
}

static void start_entry(void *ctx)
{
	struct entry *entry = ctx;
	struct leader_handlers handlers = {on_gained, on_lost, NULL, on_refused, entry};
	struct leader_options options = {.node = entry->node, .ttl_ms = TTL_MS, .candidate = true};

	entry->process = sim_process_create(entry->node, entry->host);
	entry->wire = sim_process_wire(entry->process, on_entry_message, entry);
	entry->client = memkv_client(world.store);
	entry->kv = sim_kv(entry->process, &entry->client->kv, is_blocked);
	entry->metrics = metrics_create(entry->process);
	options.address = wire_address(entry->wire);
	sim_now->current = entry->process;
	entry->leader =
		leader_create(sim_process_loop(entry->process), sim_process_loop(entry->process),
			      entry->kv, &options, &handlers);
	sim_now->current = NULL;
}

static void kill_entry(struct entry *entry, uint32_t down_ms)
{
	if (!sim_process_alive(entry->process))
		return;
	sim_print("%s is killed for %u ms", entry->node, down_ms);
	sim_now->current = entry->process;
	TALLOC_FREE(entry->coord);
	TALLOC_FREE(entry->leader);
	sim_now->current = NULL;
	sim_process_kill(entry->process);
	sim_at(NULL, NULL, down_ms, start_entry, entry);
}

static void on_agent_message(const char *peer, struct msg *msg, void *ctx)
{
	struct agent *agent = ctx;

	if (agent->runner)
		runner_message(agent->runner, peer, msg);
}

static void start_agent(void *ctx)
{
	struct agent *agent = ctx;
	struct runner_deps deps = {.node = agent->node, .service = "s"};

	agent->process = sim_process_create(agent->node, agent->host);
	agent->wire = sim_process_wire(agent->process, on_agent_message, agent);
	agent->client = memkv_client(world.store);
	agent->kv = sim_kv(agent->process, &agent->client->kv, is_blocked);
	deps.ev = sim_process_loop(agent->process);
	deps.kv = agent->kv;
	deps.wire = agent->wire;
	deps.metrics = metrics_create(agent->process);
	deps.calls = sim_worker_calls(agent->worker, agent->process);
	sim_now->current = agent->process;
	agent->runner = runner_create(deps.ev, &deps);
	sim_now->current = NULL;
	sim_worker_attach(agent->worker, agent->process, agent->runner);
}

static void kill_agent(struct agent *agent, uint32_t down_ms)
{
	if (!sim_process_alive(agent->process))
		return;
	sim_print("%s: its agent is killed for %u ms", agent->node, down_ms);
	sim_worker_attach(agent->worker, NULL, NULL);
	TALLOC_FREE(agent->runner);
	sim_process_kill(agent->process);
	sim_at(NULL, NULL, down_ms, start_agent, agent);
}

static void submit_job(void *ctx)
{
	struct job *job = ctx;
	uint32_t work_ms = sim_chance(0.3) ? sim_between(100, 1500) : sim_between(1000, 9000);
	char *key = talloc_asprintf(sim_now, "job/%s", job->id);
	char *record = talloc_asprintf(
		sim_now,
		"{\"queue\":\"q\",\"organisation\":\"o\",\"accepted_ms\":%" PRIu64
		",\"spec\":{\"payload\":\"%u %u\",\"steps\":[{\"tasks\":%u,\"cpu_milli\":%u,"
		"\"estimate_ms\":%u%s}]}}",
		util_wall_ms(), job->gang ? job->tasks : 0, work_ms, job->tasks,
		sim_between(1, 6) * 1000, work_ms, job->gang ? ",\"gang\":true" : "");

	memkv_put(world.store, key, record);
}

static void plan_jobs(void)
{
	world.job_count = sim_between(15, 40);
	for (uint32_t i = 0; i < world.job_count; i++) {
		struct job *job = &world.jobs[i];

		g_snprintf(job->id, sizeof(job->id), "%016x", i + 1);
		job->tasks = sim_between(1, 4);
		job->gang = sim_chance(0.4);
		if (job->gang)
			job->tasks = sim_between(2, 3);
		sim_at(NULL, NULL, sim_between(500, 30000), submit_job, job);
	}
}

/* Faults; each is a function that begins it and, with one that ends it, a duration. */

struct cut_fault {
	bool from[SIM_HOSTS_MAX];
	bool to[SIM_HOSTS_MAX];
	bool both;
	bool store[SIM_HOSTS_MAX];
};

static void apply_cut(const struct cut_fault *cut, int change)
{
	for (int a = 0; a < ENTRIES + AGENTS; a++) {
		world.blocked[a] += (uint32_t)(cut->store[a] ? change : 0);
		for (int b = 0; b < ENTRIES + AGENTS; b++) {
			if (a != b && cut->from[a] && cut->to[b]) {
				world.cuts[a][b] += (uint32_t)change;
				world.cuts[b][a] += (uint32_t)(cut->both ? change : 0);
			}
		}
	}
	for (int a = 0; a < ENTRIES + AGENTS; a++) {
		for (int b = 0; b < ENTRIES + AGENTS; b++)
			sim_now->cut[a][b] = world.cuts[a][b] > 0;
	}
}

static void heal_cut(void *ctx)
{
	sim_print("a cut heals");
	apply_cut(ctx, -1);
}

static int leader_host(void)
{
	for (int i = 0; i < ENTRIES; i++) {
		if (world.entries[i].coord)
			return i;
	}
	return (int)sim_below(ENTRIES);
}

/* Durations around the time limits of the product are the most likely to show a fault. */
static uint32_t draw_duration(void)
{
	switch (sim_below(4)) {
	case 0:
		return sim_between(50, 1500);
	case 1:
		return sim_between(1000, 4500);
	case 2:
		return sim_between(4000, 7500);
	default:
		return sim_between(6500, 10500);
	}
}

static void begin_cut(void)
{
	struct cut_fault *cut = talloc_zero(sim_now, struct cut_fault);
	bool island = sim_chance(0.4);
	uint32_t ms = draw_duration();

	cut->both = sim_chance(0.7);
	if (island) {
		/* Some hosts on one side, all others and the store on the other one. */
		for (int i = 0; i < ENTRIES + AGENTS; i++)
			cut->from[i] = sim_chance(0.4);
		if (sim_chance(0.5))
			cut->from[leader_host()] = true;
		for (int i = 0; i < ENTRIES + AGENTS; i++) {
			cut->to[i] = !cut->from[i];
			cut->store[i] = cut->from[i] && sim_chance(0.7);
		}
	} else {
		int one = sim_chance(0.4) ? leader_host() : (int)sim_below(ENTRIES + AGENTS);

		cut->from[one] = true;
		for (int i = 0; i < ENTRIES + AGENTS; i++)
			cut->to[i] = i != one && sim_chance(0.8);
		cut->store[one] = sim_chance(0.5);
	}
	sim_print("a cut for %u ms%s", ms, cut->both ? "" : ", one way");
	for (int i = 0; i < ENTRIES + AGENTS; i++) {
		if (cut->from[i])
			sim_print("  host %d%s", i, cut->store[i] ? " and the store" : "");
	}
	apply_cut(cut, 1);
	sim_at(NULL, NULL, ms, heal_cut, cut);
}

static void begin_freeze(void)
{
	uint32_t ms = draw_duration();
	bool entry = sim_chance(0.35);
	int n = entry ? leader_host() : (int)sim_below(AGENTS);
	struct sim_process *process = entry ? world.entries[n].process : world.agents[n].process;

	sim_print("%s stands still for %u ms", sim_process_node(process), ms);
	sim_process_freeze(process, ms);
}

static void begin_kill(void)
{
	uint32_t ms = sim_chance(0.7) ? sim_between(100, 900) : draw_duration();

	if (sim_chance(0.4))
		kill_entry(&world.entries[leader_host()], ms);
	else
		kill_agent(&world.agents[sim_below(AGENTS)], ms);
}

static void begin_crash(void)
{
	bool same_id = sim_chance(0.5) && !new_ids_only;

	if (without_crashes)
		return;
	sim_worker_crash(world.agents[sim_below(AGENTS)].worker,
			 sim_chance(0.5) ? sim_between(50, 600) : sim_between(300, 4000), same_id,
			 sim_chance(0.4));
}

static void end_worker_faults(void *ctx)
{
	*sim_worker_faults(ctx) = (struct sim_worker_faults){0};
}

static void begin_worker_faults(void)
{
	bool all = sim_chance(0.6);
	double share = 0.2 + 0.7 * util_rng_unit(&sim_now->rng);
	uint32_t kind = sim_below(4);
	uint32_t ms = draw_duration();

	sim_print("faults of kind %u of %s for %u ms", kind, all ? "all workers" : "a worker", ms);
	for (int i = 0; i < AGENTS; i++) {
		struct sim_worker_faults *faults = sim_worker_faults(world.agents[i].worker);

		if (!all && (uint32_t)i != kind)
			continue;
		if (kind <= 1)
			faults->late = share;
		else if (kind == 2)
			faults->lost = share;
		else
			faults->mute = true;
		faults->late_beats = sim_chance(0.3) ? 0.5 : 0;
		sim_at(NULL, NULL, ms, end_worker_faults, world.agents[i].worker);
	}
}

static void end_store_faults(void *ctx)
{
	struct memkv_client *client = ctx;

	client->fault = MEMKV_FAULT_NONE;
}

static void begin_store_faults(void)
{
	static const enum memkv_fault faults[] = {MEMKV_REJECT_CALLS, MEMKV_LOSE_ANSWERS,
						  MEMKV_DELAY_WRITES, MEMKV_SLOW,
						  MEMKV_EMPTY_POLLS};
	enum memkv_fault fault = faults[sim_below(G_N_ELEMENTS(faults))];
	double share = sim_chance(0.4) ? 1 : 0.5;
	uint32_t ms = draw_duration();

	sim_print("store fault %d for %u ms", (int)fault, ms);
	for (int i = 0; i < ENTRIES + AGENTS; i++) {
		struct memkv_client *client =
			i < ENTRIES ? world.entries[i].client : world.agents[i - ENTRIES].client;

		if (!sim_chance(share))
			continue;
		client->fault = fault;
		client->late_write_ms = sim_between(200, 5000);
		sim_at(NULL, NULL, ms, end_store_faults, client);
	}
}

static void begin_fault(void *ctx)
{
	static void (*const kinds[])(void) = {
		begin_cut,	    begin_freeze, begin_kill,	begin_crash, begin_worker_faults,
		begin_store_faults, begin_cut,	  begin_freeze, begin_kill,  begin_worker_faults};

	kinds[sim_below(G_N_ELEMENTS(kinds))]();
}

/* Faults come in clusters, since it takes several that overlap to break anything. */
static void plan_faults(void)
{
	uint32_t clusters = sim_between(2, 6);

	for (uint32_t i = 0; i < clusters; i++) {
		uint32_t at_ms = sim_between(FAULTS_FROM_MS, FAULTS_UNTIL_MS);
		uint32_t spread_ms = sim_chance(0.3) ? 300 : sim_between(500, 4000);
		uint32_t count = sim_between(1, 4);

		for (uint32_t k = 0; k < count; k++)
			sim_at(NULL, NULL, at_ms + sim_below(spread_ms), begin_fault, NULL);
	}
}

/* Jobs that the leader does not show as completed. */
static uint32_t count_unfinished(void)
{
	const struct entry *leader = &world.entries[leader_host()];
	enum plan_job_state state;
	uint32_t count = 0;

	for (uint32_t i = 0; i < world.job_count; i++)
		count += !leader->coord ||
			 coord_job_state(leader->coord, world.jobs[i].id, &state) ||
			 state != PLAN_JOB_COMPLETED;
	return count;
}

/* Returns the number of violations. */
static int play_day(uint64_t seed, bool verbose, uint32_t *unfinished)
{
	int violations;

	memset(&world, 0, sizeof(world));
	world.sim = sim_create(seed);
	world.sim->verbose = verbose;
	sim_runs_create();
	world.queue = (struct fleetconf_queue){.name = "q",
					       .host = "h",
					       .prefix = "/",
					       .service = "s",
					       .max_attempts = 8,
					       .stretch = 2,
					       .allowance_ms = 1000};
	world.conf = (struct fleetconf){.version = 1, .queues = &world.queue, .queue_count = 1};
	world.store = memkv_create(sim_now, sim_world_loop());
	world.peer = memkv_client(world.store);
	for (int i = 0; i < ENTRIES; i++) {
		world.entries[i].host = i;
		g_snprintf(world.entries[i].node, sizeof(world.entries[i].node), "entry%d", i);
		start_entry(&world.entries[i]);
	}
	for (int i = 0; i < AGENTS; i++) {
		world.agents[i].host = ENTRIES + i;
		g_snprintf(world.agents[i].node, sizeof(world.agents[i].node), "host%d", i);
		world.agents[i].worker = sim_worker_create(ENTRIES + i, world.agents[i].node);
		start_agent(&world.agents[i]);
	}
	plan_jobs();
	plan_faults();
	sim_run_until(FAULTS_END_MS);
	while ((*unfinished = count_unfinished()) > 0 && sim_now_ms() < DAY_MAX_MS)
		sim_run_until(sim_now_ms() + 1000);
	violations = sim_runs_violations();
	for (int i = 0; i < ENTRIES; i++) {
		sim_now->current = world.entries[i].process;
		TALLOC_FREE(world.entries[i].coord);
		if (sim_process_alive(world.entries[i].process))
			TALLOC_FREE(world.entries[i].leader);
	}
	for (int i = 0; i < AGENTS; i++)
		TALLOC_FREE(world.agents[i].runner);
	sim_destroy(world.sim);
	return violations;
}

static void test_random_days(void)
{
	for (uint64_t seed = 1; seed <= SEEDS_IN_CI; seed++) {
		uint32_t unfinished;
		int violations = play_day(seed, false, &unfinished);

		CU_ASSERT_EQUAL(violations, 0);
		if (violations)
			printf("seed %" PRIu64 ": %d violations\n", seed, violations);
	}
}

static int play_by_hand(int argc, char **argv)
{
	uint64_t first = strtoull(argv[1], NULL, 10);
	uint64_t count = strtoull(argv[2], NULL, 10);
	bool verbose = false;
	int broken = 0;
	int stuck = 0;

	for (int i = 3; i < argc; i++) {
		verbose = verbose || !strcmp(argv[i], "-v");
		new_ids_only = new_ids_only || !strcmp(argv[i], "--new-ids");
		without_crashes = without_crashes || !strcmp(argv[i], "--no-crashes");
	}

	for (uint64_t seed = first; seed < first + count; seed++) {
		uint32_t unfinished;
		int violations = play_day(seed, verbose, &unfinished);

		broken += violations > 0;
		stuck += unfinished > 0;
		if (violations || unfinished)
			printf("seed %" PRIu64 ": %d violations, %u unfinished jobs\n", seed,
			       violations, unfinished);
		fflush(stdout);
	}
	printf("%" PRIu64 " days: %d with two runs of a task, %d with unfinished jobs\n", count,
	       broken, stuck);
	return broken > 0;
}

int main(int argc, char **argv)
{
	CU_pSuite suite;
	unsigned int failures;

	if (argc > 2)
		return play_by_hand(argc, argv);
	CU_initialize_registry();
	suite = CU_add_suite("fleet_sim", NULL, NULL);
	CU_add_test(suite, "random_days", test_random_days);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
