#include "fleet-2.h"

#include <stdio.h>

/*
 * One job of twenty can never be done: its task needs more GPUs than any minion has. It is to run
 * many times, and its start is left out, so all its occurrences are due. The fleet is idle.
 */

#define POISON "00000000000000ff"
#define JOBS 19
#define REPEATS 100000
#define IDLE_MS 3000

static bool play(bool trouble)
{
	unsigned int leader = fleet_leader();
	unsigned int accepted = 0;

	if (trouble)
		fleet_submit(leader, FLEET_BATCH, POISON, FLEET_KEY_1, 2000,
			     fleet_step(1, 8 * FLEET_GPUS, 2000),
			     json_pack("{s:i, s:i}", "repeat_count", REPEATS, "interval_ms", 1000));
	for (unsigned int i = 0; i < JOBS; i++) {
		char id[17];

		snprintf(id, sizeof(id), "%016x", i + 1);
		accepted += fleet_submit((leader + 1 + i % 2) % FLEET_ENTRIES, FLEET_NORMAL, id,
					 FLEET_KEY_2, 2000, fleet_step(1, 1, 2000), NULL) == 200;
	}
	fleet_run(FLEET_FINISH_MS);
	for (uint32_t ms = 0; ms < IDLE_MS; ms += 100) {
		if (fleet_starts("00000000000000") - fleet_starts(POISON) >= accepted)
			return false;
		if (fleet_gpus_used() > 0)
			ms = 0;
		fleet_run(100);
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
