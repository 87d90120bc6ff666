#include "fleet-2.h"

#include <stdio.h>
#include <sys/time.h>

/*
 * One job of twenty can never be done: its task needs more GPUs than a minion has. It runs each
 * second and was due first a day ago. The fleet is idle.
 */

#define NEVER_DONE "00000000000000ff"
#define JOBS 19
#define INTERVAL_MS 1000
#define REPEATS 86400
#define IDLE_MS 3000
#define CHECK_MS 100

static json_t *due_since_yesterday(void)
{
	struct timeval now;

	gettimeofday(&now, NULL);
	return json_pack("{s:i, s:I, s:i}", "repeat_count", REPEATS, "start_at_ms",
			 ((json_int_t)now.tv_sec - REPEATS) * 1000, "interval_ms", INTERVAL_MS);
}

static bool play(bool trouble)
{
	unsigned int leader = fleet_leader();
	unsigned int accepted = 0;

	if (trouble)
		fleet_submit(leader, FLEET_BATCH, NEVER_DONE, FLEET_KEY_1, 2000,
			     fleet_step(1, 8 * FLEET_GPUS, 2000), due_since_yesterday());
	for (unsigned int i = 0; i < JOBS; i++) {
		char id[17];

		snprintf(id, sizeof(id), "%016x", i + 1);
		accepted += fleet_submit((leader + 1 + i % 2) % FLEET_ENTRIES, FLEET_NORMAL, id,
					 FLEET_KEY_2, 2000, fleet_step(1, 1, 2000), NULL) == 200;
	}
	fleet_run(FLEET_FINISH_MS);
	for (uint32_t ms = 0; ms < IDLE_MS; ms += CHECK_MS) {
		if (fleet_starts("0") - fleet_starts(NEVER_DONE) >= accepted)
			return false;
		if (fleet_gpus_used() > 0)
			ms = 0;
		fleet_run(CHECK_MS);
	}
	fleet_note("%u jobs were accepted, %u have begun, and nothing runs for %d ms", accepted,
		   fleet_starts("0"), IDLE_MS);
	for (unsigned int i = 0; i < FLEET_ENTRIES; i++)
		fleet_call(i, "GET", FLEET_NORMAL, "0000000000000001", FLEET_KEY_2, NULL);
	return accepted > 0;
}

int main(int argc, char **argv)
{
	return fleet_play(argc, argv, 6, NULL, play);
}
