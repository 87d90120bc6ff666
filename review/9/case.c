#include "fleet-2.h"

#include <signal.h>

/*
 * An entry stands still while a client submits a job there. The client gets no answer until its
 * deadline and cancels the job at another entry. Then the first entry wakes.
 */

#define ID "00000000000000aa"
#define FREEZE_MS 4000
#define WORK_MS 20000

static bool play(bool trouble)
{
	unsigned int first = (fleet_leader() + 1) % FLEET_ENTRIES;
	unsigned int second = (fleet_leader() + 2) % FLEET_ENTRIES;
	uint64_t began_ms = fleet_now_ms();
	uint64_t cancelled_ms;
	int status;

	if (trouble)
		fleet_signal(first, SIGSTOP);
	fleet_submit(first, FLEET_NORMAL, ID, FLEET_KEY_1, WORK_MS, fleet_step(1, 1, WORK_MS),
		     NULL);
	status = fleet_call(second, "DELETE", FLEET_NORMAL, ID, FLEET_KEY_1, NULL);
	cancelled_ms = fleet_now_ms();
	if (trouble) {
		fleet_run((uint32_t)(began_ms + FREEZE_MS - cancelled_ms));
		fleet_signal(first, SIGCONT);
	}
	/* Past cancel_ms and stop_timeout_ms, and contact_ms after the end of the freeze. */
	fleet_run(FLEET_CANCEL_MS + FLEET_STOP_TIMEOUT_MS + FLEET_CONTACT_MS);
	fleet_note("the cancelling was answered %d %u ms ago; %u tasks are at work", status,
		   (unsigned int)(fleet_now_ms() - cancelled_ms), fleet_running(ID));
	fleet_call(second, "GET", FLEET_NORMAL, ID, FLEET_KEY_1, NULL);
	return (status / 100 == 2 || status == 410) && fleet_running(ID) > 0;
}

int main(int argc, char **argv)
{
	return fleet_play(argc, argv, 6, NULL, play);
}
