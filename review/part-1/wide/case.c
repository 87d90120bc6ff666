#include "fleet-2.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * One job of twenty is large: it has many small tasks with a task_spec of the full length. All of
 * them fit on one minion, so the leader sends their orders in one message.
 */

#define WIDE "00000000000000ff"
#define TASKS 9000
#define SPEC_BYTES 4000
#define JOBS 19
#define IDLE_MS 3000

static void submit_wide(unsigned int entry)
{
	json_t *step = json_pack("{s:i, s:i, s:i, s:i}", "count", TASKS, "cpu", 10, "mem_mb", 50,
				 "estimate_ms", 2000);
	char *spec = malloc(SPEC_BYTES + 1);

	memset(spec, 'x', SPEC_BYTES);
	memcpy(spec, "work 2000 0 ", strlen("work 2000 0 "));
	spec[SPEC_BYTES] = '\0';
	fleet_submit_spec(entry, FLEET_BATCH, WIDE, FLEET_KEY_1, spec, step, NULL);
	free(spec);
}

static bool play(bool trouble)
{
	unsigned int accepted = 0;

	if (trouble)
		submit_wide(0);
	for (unsigned int i = 0; i < JOBS; i++) {
		char id[17];

		snprintf(id, sizeof(id), "%016x", i + 1);
		accepted += fleet_submit(i % FLEET_ENTRIES, FLEET_NORMAL, id, FLEET_KEY_2, 2000,
					 fleet_step(1, 1, 2000), NULL) == 200;
		fleet_run(100);
	}
	fleet_run(FLEET_FINISH_MS);
	for (uint32_t ms = 0; ms < IDLE_MS; ms += 100) {
		if (fleet_starts("0") - fleet_starts(WIDE) >= accepted)
			return false;
		if (fleet_gpus_used() > 0)
			ms = 0;
		fleet_run(100);
	}
	fleet_note("%u jobs were accepted, %u have begun, and nothing runs for %d ms", accepted,
		   fleet_starts("0") - fleet_starts(WIDE), IDLE_MS);
	return accepted > 0;
}

int main(int argc, char **argv)
{
	return fleet_play(argc, argv, 6, NULL, play);
}
