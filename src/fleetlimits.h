#ifndef JAYCOURSE_FLEETLIMITS_H
#define JAYCOURSE_FLEETLIMITS_H

#include <stdint.h>

/** DOC: Times that the leader and the agents have to agree on */

/*
 * An agent renews its worker's lease for this long after it sent the latest report that the
 * leader has answered. Long enough for three lost reports or an election.
 */
#define WORKER_GRANT_MS 2500

/* Each renewal lasts this long; the interface allows 10 s at most. */
#define WORKER_LEASE_MS 4000

/* A worker's clock may be slow by this share, stated by the interface. */
#define WORKER_CLOCK_ERROR 0.02

/*
 * Without a report for this long, nothing of what the leader knows runs on a worker: the last
 * renewal was at most WORKER_GRANT_MS after the report and lasts WORKER_LEASE_MS on a slow
 * clock. The rest covers timers that fire late.
 */
#define WORKER_LOST_MS 6900

/* Pause between the reports of an agent that has no news, for small fleets. */
#define REPORT_MS 700

/* Most reports a second that the leader asks for; large fleets report more seldom. */
#define REPORTS_PER_S 120

/** report_pause_ms() - between two reports of an agent without news, in a fleet of @agents */
static inline uint32_t report_pause_ms(uint32_t agents)
{
	uint32_t pause = agents * 1000 / REPORTS_PER_S;

	if (pause > WORKER_GRANT_MS / 2)
		return WORKER_GRANT_MS / 2;
	return pause > REPORT_MS ? pause : REPORT_MS;
}

/**
 * worker_silent_ms() - a worker that was not heard of for longer gets nothing new
 *
 * Two reports are missing by then: the agent stands still, or its way to the leader is cut.
 */
static inline uint32_t worker_silent_ms(uint32_t agents)
{
	return 2 * report_pause_ms(agents) + 200; /* messages and timers that are late */
}

#endif
