#include "fleet-2.h"

#include <stdlib.h>
#include <string.h>

/*
 * Two tenants submit jobs at queues of their own. Each client chooses the ID of its job, and both
 * choose the same one. The second client then cancels its job.
 */

#define ID_1 "00000000000000aa"
#define ID_2 "00000000000000bb"

static bool play(bool trouble)
{
	const char *id = trouble ? ID_1 : ID_2;
	bool cancelled = false;
	char *body = NULL;

	fleet_submit(0, FLEET_NORMAL, ID_1, FLEET_KEY_1, 60000, fleet_step(1, 1, 60000), NULL);
	fleet_run(FLEET_VISIBLE_MS);
	fleet_call(1, "GET", FLEET_BATCH, id, FLEET_KEY_2, NULL);
	if (fleet_submit(1, FLEET_BATCH, id, FLEET_KEY_2, 60000, fleet_step(3, 2, 60000), NULL) !=
	    200)
		return false;
	fleet_run(FLEET_FINISH_MS);
	fleet_note("%u of 1 and 3 tasks have begun", fleet_starts("0"));
	if (fleet_starts("0") < 4) {
		fleet_note("the second job was accepted and has not begun on an idle fleet");
		cancelled = true;
	}
	fleet_call(2, "DELETE", FLEET_BATCH, id, FLEET_KEY_2, NULL);
	fleet_run(FLEET_CANCEL_MS);
	if (fleet_call(0, "GET", FLEET_NORMAL, ID_1, FLEET_KEY_1, &body) == 200 &&
	    strstr(body, "cancelled")) {
		fleet_note("the first job is shown as cancelled, which its client did not ask for");
		cancelled = true;
	}
	free(body);
	return cancelled;
}

int main(int argc, char **argv)
{
	return fleet_play(argc, argv, 6, NULL, play);
}
