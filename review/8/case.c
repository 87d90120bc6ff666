#include "fleet-2.h"

/*
 * Tenant 2 runs an urgent job on one minion of each rack, within its guarantee, and then takes
 * what is idle for a batch job that lasts. Tenant 1 hands in an urgent gang of 24 GPUs, which it
 * is guaranteed.
 */

#define ID "00000000000000aa"
#define GANG 3

static void hold_one_minion_a_rack(void)
{
	static const char *const racks[] = {"r0", "r1"};
	static const char *const ids[] = {"0000000000000001", "0000000000000002"};

	for (unsigned int i = 0; i < 2; i++) {
		json_t *step = fleet_step(1, FLEET_GPUS, 90000);

		json_object_set_new(step, "affinity", json_string(racks[i]));
		fleet_submit(i, FLEET_URGENT, ids[i], FLEET_KEY_2, 90000, step, NULL);
	}
}

static void take_what_is_idle(void)
{
	json_t *step = fleet_step(4, FLEET_GPUS, 90000);

	json_object_set_new(step, "long_running", json_true());
	fleet_submit(0, FLEET_BATCH, "0000000000000003", FLEET_KEY_2, 0, step, NULL);
}

static bool play(bool trouble)
{
	json_t *step = fleet_step(GANG, FLEET_GPUS, 2500);

	json_object_set_new(step, "gang", json_true());
	json_object_set_new(step, "same_rack", json_true());
	hold_one_minion_a_rack();
	fleet_run(1000);
	if (trouble)
		take_what_is_idle();
	fleet_run(2000);
	if (fleet_submit(1, FLEET_URGENT, ID, FLEET_KEY_1, 5000, step, NULL) != 200)
		return false;
	fleet_run(FLEET_RECLAIM_MS);
	if (fleet_starts(ID) >= GANG)
		return false;
	fleet_note("%u of %d tasks have begun within reclaim_ms", fleet_starts(ID), GANG);
	fleet_run(30000);
	fleet_note("%u of %d tasks have begun 30 s later", fleet_starts(ID), GANG);
	return true;
}

int main(int argc, char **argv)
{
	return fleet_play(argc, argv, 6, NULL, play);
}
