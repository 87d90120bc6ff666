#ifndef JAYCOURSE_LIB_RUNNERWORLD_H
#define JAYCOURSE_LIB_RUNNERWORLD_H

#include "fleetlimits.h"
#include "lib_memkv.h"
#include "runner.h"

/** DOC: The agent's controller with a simulated worker and a simulated leader */

#define RUNNERWORLD_LIST_MAX 16

struct runnerworld {
	struct tevent_context *ev;
	struct memkv *store;
	struct metrics *metrics;
	struct wire *agent_wire;
	struct wire *leader_wire;
	struct runner *runner;
	/* The worker. */
	struct runner_calls calls;
	const char *worker_id;
	bool worker_up;
	int misdirected;  /* so many calls for a list are answered as if by another incarnation */
	int false_starts; /* so many lists name another start time */
	bool breaks_connections; /* while down, each other call for a list finds an open one */
	int lists;		 /* calls for a list so far */
	int lists_open;		 /* of these, not answered yet */
	int lists_open_max;
	bool draining;
	const char *health_path; /* in the orders; NULL: none */
	enum runner_health health;
	int health_calls;
	bool list_answers_lost; /* renewals get no usable answer */
	struct delayed_answer *held_start;
	uint64_t born_ms;
	uint64_t clock_ms;
	enum runner_call_result start_result;
	bool stop_answers_lost;	 /* stops are carried out */
	bool holds_start;	 /* the next start is answered by runnerworld_answer_start() */
	uint32_t start_delay_ms; /* delay of the answers to start calls */
	uint32_t list_delay_ms;	 /* of the answers to renewals that do not wait for an end */
	uint64_t term;
	int starts;
	int stops;
	uint64_t lease_end_ms; /* latest end of the lease that the worker was sent */
	int extensions;	       /* renewals of the lease */
	int refusals;	       /* so many calls for a list find the connection refused */
	uint64_t start_fence;  /* of the latest start */
	uint64_t list_fence;   /* of the latest renewal */
	char ticket[32];       /* of the latest start */
	struct plan_run running[RUNNERWORLD_LIST_MAX];
	size_t running_count;
	struct fleet_run_end ends[RUNNERWORLD_LIST_MAX];
	size_t end_count;
	bool more_ends; /* than the list names */
	bool unreadable;
	uint64_t ends_known;
	/* The leader. */
	char agent_peer[64];
	struct fleet_report *report; /* latest */
	int reports;
	bool answers;
	uint64_t session;
	bool unsure; /* the orders say that the store has not confirmed the leader */
	bool closed; /* the orders say that the zone of the worker is evacuated */
	bool echo_outdated;
	uint32_t valid_ms; /* from the time of the report on */
	struct plan_order orders[RUNNERWORLD_LIST_MAX];
	size_t order_count;
	uint64_t ends_stored;
};

struct runnerworld *runnerworld_create(void);
void runnerworld_destroy(struct runnerworld *f);

/** runnerworld_announcement() - a true announcement of worker w1 but for these fields */
struct runner_announcement runnerworld_announcement(const struct runnerworld *f, uint64_t born_ms,
						    uint64_t sequence);

/** runnerworld_take() - give the agent an announcement; Return: what its sender is told */
int runnerworld_take(struct runnerworld *f, const struct runner_announcement *announcement);

/** runnerworld_announce() - announce worker w1; Return: as runner_announced() */
int runnerworld_announce(struct runnerworld *f, uint64_t born_ms, uint64_t sequence);

/** runnerworld_answer_start() - answer the start that was held back by @holds_start */
void runnerworld_answer_start(struct runnerworld *f);

/** runnerworld_send_orders() - answer the latest report */
void runnerworld_send_orders(struct runnerworld *f);

#endif
