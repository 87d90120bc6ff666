#ifndef JAYCOURSE_ROUTE_H
#define JAYCOURSE_ROUTE_H

#include "member.h"

/**
 * DOC: Choice of a target for a request
 *
 * The module picks two random targets of a service that have a free slot and chooses the one with
 * the better score of load and latency. Targets in the entry's own zone are preferred unless they
 * are slower than others. Targets that fail or are slow are ejected for a while and readmitted
 * after a probe request. The module does no I/O and is not thread-safe.
 */

struct route;

#define ROUTE_EXCLUDE_MAX 8

struct route_choice {
	const char *peer; /* peer name of the target's agent; valid until the target is gone */
	int64_t clock_offset_ms; /* agent's clock minus this entry's clock, estimated */
	bool probe; /* the target is ejected; this request decides on its readmission */
};

enum route_result {
	ROUTE_OK,
	ROUTE_FAILED,  /* counts towards ejection */
	ROUTE_NEUTRAL, /* not run or cancelled; not evidence for or against the target */
};

/**
 * route_create() - create an empty routing table
 * @zone: availability zone of this entry, copied
 */
struct route *route_create(TALLOC_CTX *mem, const char *zone, uint64_t seed);

/** route_set_eject_percent() - set the share of a service's targets that may be ejected */
void route_set_eject_percent(struct route *route, uint32_t percent);

/** route_update() - add, change or remove a target according to @announced, which is borrowed */
void route_update(struct route *route, const struct member_target *announced, bool drained);

/** route_set_load() - set the number of requests in flight that the target's agent has reported */
void route_set_load(struct route *route, const char *peer, uint32_t in_flight, uint64_t now_ms);

/** route_mark_refusing() - do not choose a refusing target until its next announcement */
void route_mark_refusing(struct route *route, const char *peer);

/**
 * route_choose() - choose a target and count one request on it
 * @exclude: peers not to choose, NULL entries are skipped
 * @may_probe: the request may go to an ejected target, to test it
 *
 * Each choice has to be followed by one route_end_request().
 *
 * Return: 0; -ERR_NOT_FOUND when the service has no target that accepts requests; -ERR_NO_TARGET
 * when none of them can be chosen now, for example because all slots are taken.
 */
int route_choose(struct route *route, const char *service, const char *const *exclude,
		 size_t exclude_count, bool may_probe, uint64_t now_ms, struct route_choice *out);

/**
 * route_end_request() - end a request counted by route_choose()
 * @probe: as in its &struct route_choice; only then the result decides on the readmission
 * @latency_us: used with ROUTE_OK only
 */
void route_end_request(struct route *route, const char *peer, bool probe, enum route_result result,
		       uint64_t latency_us, uint64_t now_ms);

/** route_is_full() - true when all slots of the target are taken, by the estimated load */
bool route_is_full(const struct route *route, const char *peer);

/** route_count_failure() - count a failure of a target that did not run the request */
void route_count_failure(struct route *route, const char *peer, uint64_t now_ms);

/** route_mark_unreachable() - avoid a target for a while after a failed delivery to its agent */
void route_mark_unreachable(struct route *route, const char *peer, uint64_t now_ms);

/** route_has_room() - true when route_choose() without exclusions would find a target */
bool route_has_room(struct route *route, const char *service, uint64_t now_ms);

/** route_is_alive() - false when the target is suspect or gone */
bool route_is_alive(const struct route *route, const char *peer);

/** route_is_known() - false when the target is gone; @peer names one incarnation of the agent */
bool route_is_known(const struct route *route, const char *peer);

struct route_capacity {
	uint32_t targets;    /* targets that accept requests and are not ejected */
	uint32_t expected;   /* targets whose agents are about to connect to this entry */
	uint32_t slots;	     /* request slots of @targets */
	uint64_t latency_us; /* mean of @targets; 0 before the first answer */
};

void route_capacity(const struct route *route, const char *service, uint64_t now_ms,
		    struct route_capacity *out);

#endif
