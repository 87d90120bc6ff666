#ifndef JAYCOURSE_FLEETLIMITS_H
#define JAYCOURSE_FLEETLIMITS_H

#include <stdint.h>

/** DOC: Time limits that the leader and the agents must agree on */

/*
 * An agent goes on starting runs and renewing its worker's lease for this long after it sent the
 * latest report that the leader has answered. This is enough time for three lost reports or an
 * election. It is also the time after the end of its own lease in which a leader without the
 * store still grants this, so that short outages of the store do not stop work.
 */
#define WORKER_RENEWAL_WINDOW_MS 2500

/* Duration of each lease renewal. */
#define WORKER_LEASE_MS 4000

/* A worker shortens longer leases to this, according to the worker interface. */
#define WORKER_LEASE_MAX_MS 10000

/*
 * For this long after its first list a worker that has restarted under its identifier may have a
 * lease by its former clock. The agent lets it start nothing while such a lease is longer than
 * usual, but a later process of the agent does not know of the restart.
 */
#define WORKER_LONG_LEASE_MS 10300

/* A worker's clock may be slow by up to this share, according to the worker interface. */
#define WORKER_CLOCK_ERROR 0.02

/*
 * After this long without a report, no run that the leader knows of is left on a worker: the last
 * renewal came at most WORKER_RENEWAL_WINDOW_MS after the report and lasts WORKER_LEASE_MS on a
 * slow clock. The same holds for the runs of a former leader from an election on. The remainder
 * covers timers that fire late.
 */
#define WORKER_LOST_MS 6900

/* Interval between the reports of an agent whose state does not change, in a small fleet. */
#define REPORT_INTERVAL_MIN_MS 700

/* Limit on reports to the leader; agents of a large fleet report less often to keep to it. */
#define REPORTS_PER_S_MAX 120

/** report_interval_ms() - interval of reports without a change, in a fleet of @agents agents */
static inline uint32_t report_interval_ms(uint32_t agents)
{
	uint32_t pause = agents * 1000 / REPORTS_PER_S_MAX;

	if (pause > WORKER_RENEWAL_WINDOW_MS / 2)
		return WORKER_RENEWAL_WINDOW_MS / 2;
	return pause > REPORT_INTERVAL_MIN_MS ? pause : REPORT_INTERVAL_MIN_MS;
}

/**
 * worker_silence_limit_ms() - age of the latest report above which a worker gets no new tasks
 *
 * Two reports are missing by then: the agent hangs, or its connection to the leader is broken.
 */
static inline uint32_t worker_silence_limit_ms(uint32_t agents)
{
	return 2 * report_interval_ms(agents) + 200; /* allows for late messages and timers */
}

#endif
