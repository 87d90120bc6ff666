#include "route.h"
#include "util.h"

#include <glib.h>
#include <string.h>

#define EWMA_SHIFT 3	       /* a new sample counts for an eighth */
#define EJECT_FAILURES 5       /* consecutive failures */
#define EJECT_LATENCY_FACTOR 4 /* multiple of the mean of the service's other targets */
#define EJECT_MIN_SAMPLES 20
#define EJECT_FIRST_MS 5000
#define EJECT_MAX_MS 60000
#define DEFAULT_EJECT_PERCENT 50
/* The score of a target in another zone must be this many times better to be preferred. */
#define ZONE_FACTOR 2
/*
 * Age at which a report that all slots are taken is ignored. This entry does not see when other
 * entries' requests on the target end. A request sent too early is safe, because the agent refuses
 * requests for which it has no slot.
 */
#define FULL_REPORT_MAX_AGE_MS 100
/*
 * Time without requests after a failed delivery. Failed deliveries end at once, so a dead agent
 * would look idle and attract all requests.
 */
#define UNREACHABLE_AVOID_MS 500
/*
 * Time within which an agent that another entry reports connects to this one. Entries find each
 * other within 5 s (LIST_PERIOD_MS in peers.c), and tell their agents at once.
 */
#define CONNECT_MAX_MS 6000

struct target {
	char *peer;
	char *service;
	bool same_zone;
	enum msg_target_state state;
	bool drained;
	bool refuses_requests; /* until its next announcement */
	bool reachable;
	uint64_t known_ms; /* see struct member_target */
	int64_t clock_offset_ms;
	uint32_t slots;
	uint32_t connections;
	uint32_t reported_in_flight; /* at the last report, less the requests that ended since */
	uint32_t sent_since_report;  /* requests of this entry */
	uint32_t own_in_flight;	     /* requests of this entry */
	uint64_t reported_ms;
	uint64_t latency_us;
	uint32_t samples;
	uint32_t failures; /* consecutive */
	uint32_t ejections;
	bool ejected;
	bool probing; /* a probe request is in flight */
	uint64_t eject_until_ms;
	uint64_t avoid_until_ms;
};

struct service {
	char *name;
	GPtrArray *targets;
};

struct route {
	char *zone;
	struct util_rng rng;
	uint32_t eject_percent;
	GHashTable *by_peer;
	GHashTable *services;
};

static int service_destructor(struct service *service)
{
	g_ptr_array_free(service->targets, TRUE);
	return 0;
}

static int route_destructor(struct route *route)
{
	g_hash_table_destroy(route->by_peer);
	g_hash_table_destroy(route->services);
	return 0;
}

struct route *route_create(TALLOC_CTX *mem, const char *zone, uint64_t seed)
{
	struct route *route = talloc_zero(mem, struct route);

	route->zone = talloc_strdup(route, zone);
	route->rng.state = seed;
	route->eject_percent = DEFAULT_EJECT_PERCENT;
	route->by_peer = g_hash_table_new(g_str_hash, g_str_equal);
	route->services = g_hash_table_new(g_str_hash, g_str_equal);
	talloc_set_destructor(route, route_destructor);
	return route;
}

void route_set_eject_percent(struct route *route, uint32_t percent)
{
	route->eject_percent = percent > 100 ? 100 : percent;
}

static struct service *find_service(struct route *route, const char *name)
{
	struct service *service = g_hash_table_lookup(route->services, name);

	if (service)
		return service;
	service = talloc_zero(route, struct service);
	service->name = talloc_strdup(service, name);
	service->targets = g_ptr_array_new();
	talloc_set_destructor(service, service_destructor);
	g_hash_table_insert(route->services, service->name, service);
	return service;
}

static void remove_target(struct route *route, struct target *target)
{
	struct service *service = g_hash_table_lookup(route->services, target->service);

	g_ptr_array_remove(service->targets, target);
	g_hash_table_remove(route->by_peer, target->peer);
	talloc_free(target);
	if (!service->targets->len) {
		g_hash_table_remove(route->services, service->name);
		talloc_free(service);
	}
}

static struct target *add_target(struct route *route, const struct member_target *announced)
{
	struct target *target = talloc_zero(route, struct target);

	target->peer = talloc_strdup(target, announced->peer);
	target->service = talloc_strdup(target, announced->service);
	target->same_zone = !strcmp(announced->zone, route->zone);
	g_hash_table_insert(route->by_peer, target->peer, target);
	g_ptr_array_add(find_service(route, target->service)->targets, target);
	return target;
}

void route_update(struct route *route, const struct member_target *announced, bool drained)
{
	struct target *target = g_hash_table_lookup(route->by_peer, announced->peer);

	if (announced->kind != MSG_TARGET_SERVICE)
		return;
	if (target && (announced->state == MSG_TARGET_GONE ||
		       strcmp(target->service, announced->service) != 0)) {
		remove_target(route, target);
		target = NULL;
	}
	if (announced->state == MSG_TARGET_GONE)
		return;
	if (!target)
		target = add_target(route, announced);
	target->state = announced->state;
	target->drained = drained;
	target->refuses_requests = false;
	target->reachable = announced->reachable;
	target->known_ms = announced->known_ms;
	target->clock_offset_ms = announced->clock_offset_ms;
	target->slots = announced->slots;
	target->connections = announced->connections;
}

void route_set_load(struct route *route, const char *peer, uint32_t in_flight, uint64_t now_ms)
{
	struct target *target = g_hash_table_lookup(route->by_peer, peer);

	if (!target)
		return;
	target->reported_in_flight = in_flight;
	target->sent_since_report = 0;
	target->reported_ms = now_ms;
}

void route_mark_refusing(struct route *route, const char *peer)
{
	struct target *target = g_hash_table_lookup(route->by_peer, peer);

	if (target)
		target->refuses_requests = true;
}

static uint32_t estimated_load(const struct target *target)
{
	uint32_t estimate = target->reported_in_flight + target->sent_since_report;

	return estimate > target->own_in_flight ? estimate : target->own_in_flight;
}

static uint32_t slot_limit(const struct target *target)
{
	return target->connections < target->slots ? target->connections : target->slots;
}

static bool is_open(const struct target *target)
{
	return target->state == MSG_TARGET_ALIVE && !target->drained && !target->refuses_requests;
}

static bool accepts_requests(const struct target *target)
{
	return is_open(target) && target->reachable;
}

/* The target is known from another entry, and its agent is about to connect to this one. */
static bool is_expected(const struct target *target, uint64_t now_ms)
{
	return is_open(target) && !target->reachable && now_ms - target->known_ms < CONNECT_MAX_MS;
}

static bool has_free_slot(const struct target *target, uint64_t now_ms)
{
	if (estimated_load(target) < slot_limit(target))
		return true;
	return target->own_in_flight < slot_limit(target) && !target->sent_since_report &&
	       now_ms - target->reported_ms >= FULL_REPORT_MAX_AGE_MS;
}

static bool can_choose(const struct target *target, bool may_probe, uint64_t now_ms)
{
	if (!accepts_requests(target) || !has_free_slot(target, now_ms) ||
	    now_ms < target->avoid_until_ms)
		return false;
	if (!target->ejected)
		return true;
	return may_probe && !target->probing && now_ms >= target->eject_until_ms;
}

static bool is_excluded(const struct target *target, const char *const *exclude, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (exclude[i] && !strcmp(exclude[i], target->peer))
			return true;
	}
	return false;
}

static double score_target(const struct target *target, uint64_t fallback_us)
{
	/* A target without samples scores well enough to get one request from another zone. */
	uint64_t latency = target->samples ? target->latency_us : fallback_us / (2 * ZONE_FACTOR);

	return (double)(estimated_load(target) + 1) / (double)slot_limit(target) *
	       (double)(latency ? latency : 1);
}

/* Returns the better of two random candidates. */
static struct target *pick_better_of_two(struct route *route, const GPtrArray *candidates,
					 uint64_t fallback_us)
{
	struct target *first;
	struct target *second;
	uint64_t at;

	if (!candidates->len)
		return NULL;
	at = util_rng_below(&route->rng, candidates->len);
	first = g_ptr_array_index(candidates, at);
	if (candidates->len == 1)
		return first;
	at = (at + 1 + util_rng_below(&route->rng, candidates->len - 1)) % candidates->len;
	second = g_ptr_array_index(candidates, at);
	return score_target(second, fallback_us) < score_target(first, fallback_us) ? second
										    : first;
}

static uint64_t mean_latency(const struct service *service, const struct target *without)
{
	uint64_t sum = 0;
	uint64_t count = 0;

	for (guint i = 0; i < service->targets->len; i++) {
		const struct target *target = g_ptr_array_index(service->targets, i);

		if (target == without || !target->samples || target->ejected)
			continue;
		sum += target->latency_us;
		count++;
	}
	return count ? sum / count : 0;
}

static struct target *find_probe(const GPtrArray *candidates)
{
	for (guint i = 0; i < candidates->len; i++) {
		struct target *target = g_ptr_array_index(candidates, i);

		if (target->ejected)
			return target;
	}
	return NULL;
}

static struct target *pick_target(struct route *route, const struct service *service,
				  const GPtrArray *local, const GPtrArray *remote)
{
	uint64_t fallback = mean_latency(service, NULL);
	struct target *probe = find_probe(local);
	struct target *best_local;
	struct target *best_remote;

	if (!probe)
		probe = find_probe(remote);
	if (probe)
		return probe;
	best_local = pick_better_of_two(route, local, fallback);
	best_remote = pick_better_of_two(route, remote, fallback);
	if (!best_local || !best_remote)
		return best_local ? best_local : best_remote;
	return score_target(best_local, fallback) >
			       ZONE_FACTOR * score_target(best_remote, fallback)
		       ? best_remote
		       : best_local;
}

static void assign_request(struct target *target, struct route_choice *out)
{
	target->sent_since_report++;
	target->own_in_flight++;
	out->peer = target->peer;
	out->clock_offset_ms = target->clock_offset_ms;
	out->probe = target->ejected;
	if (target->ejected)
		target->probing = true;
}

int route_choose(struct route *route, const char *service_name, const char *const *exclude,
		 size_t exclude_count, bool may_probe, uint64_t now_ms, struct route_choice *out)
{
	const struct service *service = g_hash_table_lookup(route->services, service_name);
	GPtrArray *local;
	GPtrArray *remote;
	struct target *chosen;
	bool any_accepts = false;

	if (!service)
		return -ERR_NOT_FOUND;
	local = g_ptr_array_new();
	remote = g_ptr_array_new();
	for (guint i = 0; i < service->targets->len; i++) {
		struct target *target = g_ptr_array_index(service->targets, i);

		any_accepts |= accepts_requests(target);
		if (can_choose(target, may_probe, now_ms) &&
		    !is_excluded(target, exclude, exclude_count))
			g_ptr_array_add(target->same_zone ? local : remote, target);
	}
	chosen = pick_target(route, service, local, remote);
	g_ptr_array_free(local, TRUE);
	g_ptr_array_free(remote, TRUE);
	if (!chosen)
		return any_accepts ? -ERR_NO_TARGET : -ERR_NOT_FOUND;
	assign_request(chosen, out);
	return 0;
}

static bool may_eject(const struct route *route, const struct service *service)
{
	uint32_t ejected = 0;
	uint32_t total = 0;

	for (guint i = 0; i < service->targets->len; i++) {
		const struct target *target = g_ptr_array_index(service->targets, i);

		total += accepts_requests(target);
		ejected += accepts_requests(target) && target->ejected;
	}
	return (ejected + 1) * 100 <= total * route->eject_percent;
}

static void eject(struct target *target, uint64_t now_ms)
{
	uint64_t duration_ms = EJECT_FIRST_MS;

	for (uint32_t i = 0; i < target->ejections && duration_ms < EJECT_MAX_MS; i++)
		duration_ms *= 2;
	target->ejected = true;
	target->ejections++;
	target->eject_until_ms = now_ms + (duration_ms < EJECT_MAX_MS ? duration_ms : EJECT_MAX_MS);
}

static void readmit(struct target *target)
{
	target->ejected = false;
	target->failures = 0;
	/* With its old latency, the target would be ejected again at once. */
	target->samples = 0;
	target->latency_us = 0;
}

static void eject_if_unhealthy(struct route *route, struct target *target, uint64_t now_ms)
{
	const struct service *service = g_hash_table_lookup(route->services, target->service);
	uint64_t mean = mean_latency(service, target);
	bool slow = target->samples >= EJECT_MIN_SAMPLES && mean &&
		    target->latency_us > EJECT_LATENCY_FACTOR * mean;

	if (target->failures < EJECT_FAILURES && !slow)
		return;
	if (may_eject(route, service))
		eject(target, now_ms);
}

static void add_sample(struct target *target, uint64_t latency_us)
{
	if (!target->samples)
		target->latency_us = latency_us;
	else
		target->latency_us = target->latency_us - (target->latency_us >> EWMA_SHIFT) +
				     (latency_us >> EWMA_SHIFT);
	target->samples++;
}

static void end_request(struct target *target)
{
	if (target->own_in_flight)
		target->own_in_flight--;
	if (target->sent_since_report)
		target->sent_since_report--;
	else if (target->reported_in_flight)
		target->reported_in_flight--;
}

void route_end_request(struct route *route, const char *peer, bool probe, enum route_result result,
		       uint64_t latency_us, uint64_t now_ms)
{
	struct target *target = g_hash_table_lookup(route->by_peer, peer);

	if (!target)
		return;
	end_request(target);
	/* The target may have left and come back meanwhile. */
	probe = probe && target->ejected && target->probing;
	if (probe)
		target->probing = false;
	if (result == ROUTE_OK) {
		if (probe)
			readmit(target);
		target->failures = 0;
		add_sample(target, latency_us);
	} else if (result == ROUTE_FAILED) {
		target->failures++;
	} else {
		return;
	}
	if (target->ejected && probe)
		eject(target, now_ms);
	else if (!target->ejected)
		eject_if_unhealthy(route, target, now_ms);
}

bool route_is_full(const struct route *route, const char *peer)
{
	const struct target *target = g_hash_table_lookup(route->by_peer, peer);

	return target && estimated_load(target) >= slot_limit(target);
}

void route_count_failure(struct route *route, const char *peer, uint64_t now_ms)
{
	struct target *target = g_hash_table_lookup(route->by_peer, peer);

	if (!target || target->ejected)
		return;
	target->failures++;
	eject_if_unhealthy(route, target, now_ms);
}

void route_mark_unreachable(struct route *route, const char *peer, uint64_t now_ms)
{
	struct target *target = g_hash_table_lookup(route->by_peer, peer);

	if (target)
		target->avoid_until_ms = now_ms + UNREACHABLE_AVOID_MS;
}

bool route_has_room(struct route *route, const char *service_name, uint64_t now_ms)
{
	const struct service *service = g_hash_table_lookup(route->services, service_name);

	for (guint i = 0; service && i < service->targets->len; i++) {
		if (can_choose(g_ptr_array_index(service->targets, i), true, now_ms))
			return true;
	}
	return false;
}

bool route_is_alive(const struct route *route, const char *peer)
{
	const struct target *target = g_hash_table_lookup(route->by_peer, peer);

	return target && target->state != MSG_TARGET_SUSPECT;
}

bool route_is_known(const struct route *route, const char *peer)
{
	return g_hash_table_contains(route->by_peer, peer);
}

void route_capacity(const struct route *route, const char *service_name, uint64_t now_ms,
		    struct route_capacity *out)
{
	const struct service *service = g_hash_table_lookup(route->services, service_name);

	*out = (struct route_capacity){0};
	if (!service)
		return;
	out->latency_us = mean_latency(service, NULL);
	for (guint i = 0; i < service->targets->len; i++) {
		const struct target *target = g_ptr_array_index(service->targets, i);

		out->expected += is_expected(target, now_ms);
		if (!accepts_requests(target) || target->ejected)
			continue;
		out->targets++;
		out->slots += slot_limit(target);
	}
}
