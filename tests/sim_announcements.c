#include "sim_announcements.h"

#include <inttypes.h>
#include <string.h>

#define LATE_MAX_MS 6000
#define MUCH_LATER_MIN_MS 60000
#define MUCH_LATER_MAX_MS 3600000 /* an agent's platform refuses what starts later */

static struct sim_fault_mix mix;
static struct util_rng stream;
static uint32_t strangers; /* identifiers that no worker has had */

/* Begins to draw from the stream of this module, or ends to. */
static void switch_streams(void)
{
	struct util_rng other = sim_now->rng;

	sim_now->rng = stream;
	stream = other;
}

static struct sim_worker *draw_worker(void)
{
	return sim_fleet.agents[sim_below((uint32_t)sim_fleet.agent_count)].worker;
}

/* A false conclusion shows only where something runs. */
static struct sim_worker *draw_busy_worker(void)
{
	struct sim_worker *worker = draw_worker();

	for (int i = 0; i < 4 && !sim_worker_is_busy(worker); i++)
		worker = draw_worker();
	return worker;
}

static char *draw_stranger(void)
{
	return talloc_asprintf(sim_now, "w-stranger-%u", strangers++);
}

/* Returns a start time other than @true_ms. */
static uint64_t draw_other_start(uint64_t true_ms)
{
	switch (sim_below(5)) {
	case 0:
		return 0;
	case 1:
		return true_ms - sim_between(1, 20000);
	case 2:
		return true_ms + MUCH_LATER_MIN_MS +
		       sim_below(MUCH_LATER_MAX_MS - MUCH_LATER_MIN_MS);
	default:
		return true_ms + sim_between(1, 15000);
	}
}

static uint64_t draw_sequence(uint64_t true_sequence)
{
	switch (sim_below(4)) {
	case 0:
		return 1;
	case 1:
		return UINT32_MAX - sim_below(10);
	default:
		return true_sequence + sim_below(20);
	}
}

/*
 * Draws an announcement of another incarnation than the present one of @worker. Not drawn: its own
 * identifier and start time with false content, which no agent can tell from the true worker.
 */
static struct runner_announcement draw_announcement(struct sim_worker *worker)
{
	struct runner_announcement own = sim_worker_announce(worker);
	struct runner_announcement out = own;

	switch (sim_below(6)) {
	case 0:
		if (sim_worker_former(worker, &out))
			return out;
		break;
	case 1: {
		struct sim_worker *other = draw_worker();

		out = sim_worker_announce(other);
		if (sim_chance(0.3))
			sim_worker_former(other, &out);
		if (other != worker)
			return out;
		out = own;
		break;
	}
	case 2:
	case 3:
		out.started_ms = draw_other_start(own.started_ms);
		out.sequence = draw_sequence(own.sequence);
		break;
	default:
		break;
	}
	if (out.started_ms == own.started_ms) {
		out.id = draw_stranger();
		if (sim_chance(0.7))
			out.started_ms = draw_other_start(own.started_ms);
		out.sequence = draw_sequence(own.sequence);
	}
	out.address = "127.0.0.2:9";
	out.room.cpu_milli = sim_between(1, 8) * SIM_WORKER_CPU_MILLI / 4;
	out.accepting = sim_chance(0.8);
	if (sim_chance(0.05))
		out.service = "another";
	return out;
}

static void begin_announcements(void)
{
	struct sim_worker *worker = draw_busy_worker();
	bool series = sim_chance(0.4);
	uint32_t count = series ? sim_between(2, 12) : 1;
	uint32_t ms = 0;
	bool repeated = sim_chance(0.5);
	struct runner_announcement announcement = draw_announcement(worker);

	for (uint32_t i = 0; i < count; i++) {
		if (i > 0 && !repeated)
			announcement = draw_announcement(worker);
		sim_worker_deliver(worker, &announcement, ms);
		if (repeated)
			announcement.sequence++;
		ms += sim_chance(0.5) ? sim_below(50) : sim_below(1500);
	}
}

static void begin_leaving(void)
{
	struct sim_worker *worker = draw_busy_worker();
	struct runner_announcement former;
	char *id = draw_stranger();

	if (sim_chance(0.3) && sim_worker_former(worker, &former))
		id = talloc_strdup(sim_now, former.id);
	else if (sim_chance(0.5))
		id = talloc_strdup(sim_now, sim_worker_announce(draw_worker()).id);
	sim_worker_deliver_leaving(worker, id, sim_below(200));
}

static bool draw_same_id(void)
{
	return !mix.new_ids_only && sim_chance(0.5);
}

/* Announcements of the present incarnation that arrive after its end, perhaps. */
static void hold_announcements(struct sim_worker *worker, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		struct runner_announcement announcement = sim_worker_announce(worker);

		sim_worker_deliver(worker, &announcement, sim_below(LATE_MAX_MS));
	}
}

static void replace_again(void *ctx)
{
	switch_streams();
	hold_announcements(ctx, sim_below(3));
	sim_worker_crash(ctx, sim_between(10, 300), draw_same_id(), false);
	switch_streams();
}

/* Replaces a worker twice within a second, with announcements of all incarnations on their way. */
static void begin_replacement(void)
{
	struct sim_worker *worker = draw_worker();
	uint32_t down_ms = sim_between(10, 300);

	if (mix.without_crashes)
		return;
	hold_announcements(worker, sim_below(3));
	sim_worker_crash(worker, down_ms, draw_same_id(), false);
	sim_at(NULL, NULL, down_ms + sim_between(1, 350), replace_again, worker);
}

static void end_clock_step(void *ctx)
{
	*(int64_t *)ctx = 0;
}

/* A crash whose announcements arrive late, perhaps with a step of the clock before the restart. */
static void begin_crash(void)
{
	int one = (int)sim_below((uint32_t)sim_fleet.agent_count);
	struct sim_worker *worker = sim_fleet.agents[one].worker;
	int64_t *offset = &sim_now->wall_offset_ms[sim_fleet.agents[one].host];

	if (mix.without_crashes)
		return;
	hold_announcements(worker, sim_between(1, 5));
	sim_worker_crash(worker, sim_chance(0.5) ? sim_between(50, 600) : sim_between(300, 4000),
			 draw_same_id(), sim_chance(0.3));
	if (sim_chance(0.4)) {
		*offset = (int64_t)sim_between(0, 30000) - 15000;
		sim_print("the wall clock of %s is off by %" PRId64 " ms",
			  sim_fleet.agents[one].node, *offset);
		sim_at(NULL, NULL, sim_between(500, 8000), end_clock_step, offset);
	}
}

static void end_misdirection(void *ctx)
{
	sim_worker_faults(ctx)->misdirected = 0;
}

static void begin_misdirection(void)
{
	struct sim_worker *worker = draw_busy_worker();

	sim_worker_faults(worker)->misdirected = sim_chance(0.5) ? 0.02 : 0.1;
	sim_print("answers of another incarnation on a host");
	sim_at(NULL, NULL, sim_between(500, 6000), end_misdirection, worker);
}

static void end_refusals(void *ctx)
{
	sim_worker_faults(ctx)->refused = 0;
}

static void begin_refusals(void)
{
	struct sim_worker *worker = draw_busy_worker();

	sim_worker_faults(worker)->refused = sim_chance(0.5) ? 0.05 : 0.3;
	sim_print("refused calls on a host");
	sim_at(NULL, NULL, sim_between(500, 6000), end_refusals, worker);
}

static const struct {
	const char *name;
	void (*begin)(void);
	uint32_t weight;
} kinds[] = {
	{"announce", begin_announcements, 12}, {"leave", begin_leaving, 1},
	{"replace", begin_replacement, 1},     {"replay", begin_crash, 1},
	{"misdirect", begin_misdirection, 3},  {"refuse", begin_refusals, 2},
};

static uint32_t weight(size_t kind)
{
	const char *found = mix.only ? strstr(mix.only, kinds[kind].name) : "";

	return found ? kinds[kind].weight : 0;
}

static void begin_fault(void *ctx)
{
	uint32_t sum = 0;
	uint32_t drawn;
	size_t kind = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		sum += weight(i);
	if (sum == 0)
		return; /* no such kind */
	switch_streams();
	for (drawn = sim_below(sum); drawn >= weight(kind); kind++)
		drawn -= weight(kind);
	kinds[kind].begin();
	switch_streams();
}

void sim_announcements_plan(uint64_t seed, const struct sim_fault_mix *faults)
{
	bool mostly = faults->announcements == SIM_ANNOUNCEMENTS_MOSTLY;
	uint32_t at_ms = SIM_FAULTS_FROM_MS;

	mix = *faults;
	strangers = 0;
	stream.state = seed ^ 0x616e6e6f756e6365; /* other than that of the day */
	for (int i = 0; i < 3; i++)		  /* similar seeds shall not begin alike */
		util_rng_next(&stream);
	if (faults->announcements == SIM_ANNOUNCEMENTS_NONE)
		return;
	switch_streams();
	while (at_ms < SIM_FAULTS_UNTIL_MS) {
		sim_at(NULL, NULL, at_ms, begin_fault, NULL);
		at_ms += mostly ? sim_between(50, 1500) : sim_between(500, 8000);
	}
	switch_streams();
}
