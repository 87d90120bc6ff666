#ifndef JAYCOURSE_ROUTE_H
#define JAYCOURSE_ROUTE_H

#include "member.h"

/**
 * DOC: Choice of a target for a request
 *
 * Two random choices among the targets of a service with a free slot, the nearest zone first
 * unless it is slower. Targets that fail or are slow are ejected for a while and readmitted
 * through a probe. Pure, one thread.
 */

struct route;

#define ROUTE_EXCLUDE_MAX 8

struct route_choice {
	const char *peer; /* borrowed until the target is gone */
	int64_t clock_offset_ms;
	bool probe; /* readmission of an ejected target depends on this request */
};

enum route_result {
	ROUTE_OK,
	ROUTE_FAILED,  /* counts towards ejection */
	ROUTE_NEUTRAL, /* not run, or cancelled: says nothing about the target */
};

/**
 * route_create() - create an empty table
 * @zone: availability zone of this entry, copied
 */
struct route *route_create(TALLOC_CTX *mem, const char *zone, uint64_t seed);

/** route_set_eject_percent() - share of a service's targets that may be ejected */
void route_set_eject_percent(struct route *r, uint32_t percent);

/** route_update() - add, change or remove a target according to its state */
void route_update(struct route *r, const struct member_target *target, bool drained);

/** route_load() - requests in flight on the target, as its agent reported just now */
void route_load(struct route *r, const char *peer, uint32_t in_flight, uint64_t now_ms);

/** route_refused() - the agent said that the target takes no work; until its next announcement */
void route_refused(struct route *r, const char *peer);

/**
 * route_choose() - choose a target and count one request on it
 * @exclude: peers not to choose, NULL entries are skipped
 * @may_probe: the request may go to an ejected target to try it out
 *
 * Each choice is followed by one route_done().
 *
 * Return: 0; -ERR_NOT_FOUND when the service has no target; -ERR_NO_TARGET when none of them
 * has a free slot.
 */
int route_choose(struct route *r, const char *service, const char *const *exclude,
		 size_t exclude_count, bool may_probe, uint64_t now_ms, struct route_choice *out);

/** route_done() - the request sent to @peer is over; @latency_us counts for ROUTE_OK only */
void route_done(struct route *r, const char *peer, enum route_result result, uint64_t latency_us,
		uint64_t now_ms);

/** route_full() - true when all slots of the target are taken as far as is known */
bool route_full(const struct route *r, const char *peer);

/** route_fault() - a failure of the target that was seen without running a request */
void route_fault(struct route *r, const char *peer, uint64_t now_ms);

/** route_unreachable() - a message to the agent could not be delivered; avoid it for a while */
void route_unreachable(struct route *r, const char *peer, uint64_t now_ms);

/** route_has_room() - true when route_choose() without exclusions would find a target */
bool route_has_room(struct route *r, const char *service, uint64_t now_ms);

/** route_alive() - false when the target is suspect or gone */
bool route_alive(const struct route *r, const char *peer);

/** route_known() - false when this incarnation of the agent is gone for good */
bool route_known(const struct route *r, const char *peer);

struct route_capacity {
	uint32_t targets; /* that take work */
	uint32_t slots;
	uint64_t latency_us; /* mean of the targets; 0 before the first answer */
};

void route_capacity(const struct route *r, const char *service, struct route_capacity *out);

#endif
