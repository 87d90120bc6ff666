#ifndef JAYCOURSE_LIB_FLEETHOSTS_H
#define JAYCOURSE_LIB_FLEETHOSTS_H

#include "httpc.h"
#include "lib_badinput.h"
#include "lib_fleetcheck.h"
#include "lib_netproxy.h"
#include "lib_proc.h"

#include <stdio.h>

/**
 * DOC: The processes of a fleet on loopback, the proxies between them and their faults
 *
 * Each process has an address 127.NETWORK.0.NUMBER of its own. redirect_connect.c makes its
 * connections to another one go to 127.NETWORK.OWN_NUMBER.NUMBER, where a proxy listens. What is
 * done to the processes is written to events.log in the log folder. All runs on the event loop.
 */

#define FLEETHOSTS_ENTRIES_MAX 8
#define FLEETHOSTS_WORKERS_MAX 100
#define FLEETHOSTS_MAX (1 + FLEETHOSTS_ENTRIES_MAX + 2 * FLEETHOSTS_WORKERS_MAX)

#define PORT_STORE 7000
#define PORT_MESSAGES 7001
#define PORT_CALLERS 7002
#define PORT_READY 7003
#define PORT_CONTROL 7004
#define PORT_WORKER 7005

enum fleetrole {
	ROLE_STORE,
	ROLE_ENTRY,
	ROLE_AGENT,
	ROLE_WORKER,
};

enum fleetaction {
	ACTION_KILL,	    /* value: restart after this time */
	ACTION_TERMINATE,   /* value: restart after this time */
	ACTION_REPLACE,	    /* of a worker: as ACTION_KILL, but another identifier follows */
	ACTION_CRASH,	    /* of a worker: ACTION_KILL once it has delayed a start */
	ACTION_FREEZE,	    /* value: duration */
	ACTION_RELOAD,	    /* SIGHUP, also while the process ends */
	ACTION_RESET,	    /* of all its connections */
	ACTION_DESCRIPTORS, /* value: how long no or few new descriptors can be opened */
	ACTION_PORTS,	    /* value: how long no local port is free for a new connection */
	ACTION_CLOCK,	    /* of a worker's host: set back by value until the next step */
	ACTION_LATE_ORDERS, /* value: duration */
	ACTION_DRAIN,	    /* value: on or off */
	ACTION_NOTICE,	    /* of a worker: it drains and says that it leaves after value */
	ACTION_EVACUATE,    /* of the store: value: number of the zone */
	ACTION_RETURN,	    /* of the store: value: number of the zone */
	ACTION_STORE_FAULT, /* value: enum memkv_fault */
};

/* A process of a worker. */
struct fleetlife {
	unsigned int identifier;
	uint64_t born_ms; /* as it announces; 0 while unknown */
	uint64_t began_ms;
	uint64_t ended_ms; /* 0: it runs */
};

struct fleethost {
	enum fleetrole role;
	unsigned int index; /* within the role */
	unsigned int number;
	unsigned int processes;	  /* started so far */
	unsigned int identifiers; /* of a worker: used before the present one */
	char name[16];
	char settings[300];
	struct proc proc;
	uint64_t start_ms;	/* when to start it; 0: it runs */
	uint64_t started_ms;	/* when it was started last */
	uint64_t thaw_ms;	/* when to send SIGCONT; 0: it is not frozen */
	uint64_t stop_limit_ms; /* SIGTERM was sent; 0: it was not */
	uint32_t restart_ms;	/* after its end by SIGTERM */
	FILE *log;		/* of a worker */
	unsigned int record;	/* number of a worker in the check */
	bool draining; /* a worker was told to drain, and not yet has its agent been told otherwise
			*/
	bool delayed_start;	/* this process of a worker has delayed a start */
	GArray *lives;		/* struct fleetlife, of a worker; the present one is last */
	uint32_t clock_back_ms; /* of a worker's host, see ACTION_CLOCK */
	uint64_t limit_end_ms; /* when its descriptors and ports are unlimited again; 0: they are */
};

/* Fault of the bytes from some hosts to others, by their index in &struct fleethosts. */
struct fleetcut {
	uint64_t from_ms;
	uint64_t until_ms;
	enum netproxy_flow flow;
	uint32_t delay_ms;
	bool from[FLEETHOSTS_MAX];
	bool to[FLEETHOSTS_MAX];
};

struct fleethosts {
	struct tevent_context *ev;
	struct netproxy *proxy;
	struct httpc *http;
	struct fleetcheck *check;
	uint64_t seed; /* of what the workers draw */
	FILE *events;
	unsigned int network; /* second byte of all addresses */
	unsigned int entries;
	unsigned int workers;
	bool zoned; /* each rack is a zone, which operators may evacuate; otherwise there is one */
	uint64_t returned_ms; /* when the latest return of a zone was requested */
	bool store_fault;     /* the store has a fault of enum memkv_fault */
	struct fleethost hosts[FLEETHOSTS_MAX];
	unsigned int host_count;
	GArray *links;
	GArray *cuts;
	GArray *steps;
	uint64_t began_ms;
	uint64_t next_check_ms;
	uint64_t next_poll_ms;
	char leader[32];
};

/**
 * fleethosts_start() - start the proxies and processes; NULL if no network is free
 * @zoned: each rack is a zone of its own, and the entries follow evacuations
 */
struct fleethosts *fleethosts_start(struct tevent_context *ev, struct fleetcheck *check,
				    unsigned int entries, unsigned int workers, bool zoned,
				    uint64_t seed);

/** fleethosts_stop() - kill all processes */
void fleethosts_stop(struct fleethosts *fleet);

/** fleethosts_zones() - number of zones */
unsigned int fleethosts_zones(const struct fleethosts *fleet);

unsigned int fleethosts_count(const struct fleethosts *fleet, enum fleetrole role);
struct fleethost *fleethosts_at(struct fleethosts *fleet, enum fleetrole role, unsigned int index);

/** fleethosts_leader() - the entry that led last, by the store */
struct fleethost *fleethosts_leader(struct fleethosts *fleet);

/**
 * fleethosts_address() - "ip:port" of a process
 * @caller: whose proxy is meant; NULL: the process itself
 */
char *fleethosts_address(struct fleethosts *fleet, const struct fleethost *caller,
			 const struct fleethost *host, unsigned int port);

/** fleethosts_log() - write a line to events.log */
void fleethosts_log(struct fleethosts *fleet, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** fleethosts_put() - make a call to a stand-in without waiting for its answer */
void fleethosts_put(struct fleethosts *fleet, const struct fleethost *host, unsigned int port,
		    const char *path, const char *body);

/**
 * fleethosts_describe() - what the heartbeats of a process of a worker say
 * @back: 0 for the latest process, 1 for the one before, and so on
 *
 * Return: false if there is none or it has not announced itself yet.
 */
bool fleethosts_describe(struct fleethosts *fleet, struct fleethost *worker, unsigned int back,
			 struct badinput_worker *out);

/** fleethosts_later() - do something after a time, unless the process is down or frozen then */
void fleethosts_later(struct fleethosts *fleet, uint32_t ms, enum fleetaction action,
		      struct fleethost *host, uint32_t value);

/** fleethosts_cut() - let a fault of the network begin after @after_ms and last for @ms */
void fleethosts_cut(struct fleethosts *fleet, const struct fleetcut *pattern, uint32_t after_ms,
		    uint32_t ms);

/** fleethosts_reset() - reset all connections of a process */
void fleethosts_reset(struct fleethosts *fleet, const struct fleethost *host);

/** fleethosts_end_faults() - end all faults and start what is down */
void fleethosts_end_faults(struct fleethosts *fleet);

/** fleethosts_check() - read what the workers have done and check the record */
void fleethosts_check(struct fleethosts *fleet);

#endif
