#include "route.h"
#include "util.h"

#include <glib.h>
#include <string.h>

#define EWMA_SHIFT 3	       /* a new sample counts for an eighth */
#define EJECT_FAILURES 5       /* consecutive */
#define EJECT_LATENCY_FACTOR 4 /* times the mean of the service's other targets */
#define EJECT_MIN_SAMPLES 20
#define EJECT_FIRST_MS 5000
#define EJECT_MAX_MS 60000
#define DEFAULT_EJECT_PERCENT 50
/* A far target must be this many times better than a near one to be preferred. */
#define ZONE_FACTOR 2
/*
 * Age at which a report that the target is full no longer keeps requests from it: other
 * entries' requests on it end unnoticed, and the agent refuses what it cannot take.
 */
#define FULL_REPORT_MS 100
/* A failed delivery ends at once, so a dead agent would look idle and attract all requests. */
#define UNREACHABLE_MS 500

struct target {
	char *peer;
	char *service;
	bool near;
	enum msg_target_state state;
	bool drained;
	bool refused;
	bool reachable;
	int64_t clock_offset_ms;
	uint32_t slots;
	uint32_t connections;
	uint32_t reported; /* in flight at the last report, less those that ended since */
	uint32_t sent;	   /* own requests sent since the last report */
	uint32_t own;	   /* own requests in flight */
	uint64_t reported_ms;
	uint64_t latency_us;
	uint32_t samples;
	uint32_t failures; /* consecutive */
	uint32_t ejections;
	bool ejected;
	bool probing;
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

static int route_destructor(struct route *r)
{
	g_hash_table_destroy(r->by_peer);
	g_hash_table_destroy(r->services);
	return 0;
}

struct route *route_create(TALLOC_CTX *mem, const char *zone, uint64_t seed)
{
	struct route *r = talloc_zero(mem, struct route);

	r->zone = talloc_strdup(r, zone);
	r->rng.state = seed;
	r->eject_percent = DEFAULT_EJECT_PERCENT;
	r->by_peer = g_hash_table_new(g_str_hash, g_str_equal);
	r->services = g_hash_table_new(g_str_hash, g_str_equal);
	talloc_set_destructor(r, route_destructor);
	return r;
}

void route_set_eject_percent(struct route *r, uint32_t percent)
{
	r->eject_percent = percent > 100 ? 100 : percent;
}

static struct service *find_service(struct route *r, const char *name)
{
	struct service *service = g_hash_table_lookup(r->services, name);

	if (service)
		return service;
	service = talloc_zero(r, struct service);
	service->name = talloc_strdup(service, name);
	service->targets = g_ptr_array_new();
	talloc_set_destructor(service, service_destructor);
	g_hash_table_insert(r->services, service->name, service);
	return service;
}

static void remove_target(struct route *r, struct target *t)
{
	struct service *service = g_hash_table_lookup(r->services, t->service);

	g_ptr_array_remove(service->targets, t);
	g_hash_table_remove(r->by_peer, t->peer);
	talloc_free(t);
	if (!service->targets->len) {
		g_hash_table_remove(r->services, service->name);
		talloc_free(service);
	}
}

static struct target *add_target(struct route *r, const struct member_target *from)
{
	struct target *t = talloc_zero(r, struct target);

	t->peer = talloc_strdup(t, from->peer);
	t->service = talloc_strdup(t, from->service);
	t->near = !strcmp(from->zone, r->zone);
	g_hash_table_insert(r->by_peer, t->peer, t);
	g_ptr_array_add(find_service(r, t->service)->targets, t);
	return t;
}

void route_update(struct route *r, const struct member_target *target, bool drained)
{
	struct target *t = g_hash_table_lookup(r->by_peer, target->peer);

	if (target->kind != MSG_TARGET_SERVICE)
		return;
	if (t && (target->state == MSG_TARGET_GONE || strcmp(t->service, target->service) != 0)) {
		remove_target(r, t);
		t = NULL;
	}
	if (target->state == MSG_TARGET_GONE)
		return;
	if (!t)
		t = add_target(r, target);
	t->state = target->state;
	t->drained = drained;
	t->refused = false;
	t->reachable = target->reachable;
	t->clock_offset_ms = target->clock_offset_ms;
	t->slots = target->slots;
	t->connections = target->connections;
}

void route_load(struct route *r, const char *peer, uint32_t in_flight, uint64_t now_ms)
{
	struct target *t = g_hash_table_lookup(r->by_peer, peer);

	if (!t)
		return;
	t->reported = in_flight;
	t->sent = 0;
	t->reported_ms = now_ms;
}

void route_refused(struct route *r, const char *peer)
{
	struct target *t = g_hash_table_lookup(r->by_peer, peer);

	if (t)
		t->refused = true;
}

static uint32_t load_of(const struct target *t)
{
	uint32_t estimate = t->reported + t->sent;

	return estimate > t->own ? estimate : t->own;
}

static uint32_t limit_of(const struct target *t)
{
	return t->connections < t->slots ? t->connections : t->slots;
}

static bool takes_work(const struct target *t)
{
	return t->state == MSG_TARGET_ALIVE && t->reachable && !t->drained && !t->refused;
}

static bool has_slot(const struct target *t, uint64_t now_ms)
{
	if (load_of(t) < limit_of(t))
		return true;
	return t->own < limit_of(t) && !t->sent && now_ms - t->reported_ms >= FULL_REPORT_MS;
}

static bool usable(const struct target *t, bool may_probe, uint64_t now_ms)
{
	if (!takes_work(t) || !has_slot(t, now_ms) || now_ms < t->avoid_until_ms)
		return false;
	if (!t->ejected)
		return true;
	return may_probe && !t->probing && now_ms >= t->eject_until_ms;
}

static bool excluded(const struct target *t, const char *const *exclude, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (exclude[i] && !strcmp(exclude[i], t->peer))
			return true;
	}
	return false;
}

static double score(const struct target *t, uint64_t fallback_us)
{
	/* A target without samples looks good enough to be tried once from another zone. */
	uint64_t latency = t->samples ? t->latency_us : fallback_us / (2 * ZONE_FACTOR);

	return (double)(load_of(t) + 1) / (double)limit_of(t) * (double)(latency ? latency : 1);
}

/* The better of two random candidates. */
static struct target *pick_two(struct route *r, const GPtrArray *candidates, uint64_t fallback_us)
{
	struct target *first;
	struct target *second;
	uint64_t at;

	if (!candidates->len)
		return NULL;
	at = util_rng_below(&r->rng, candidates->len);
	first = g_ptr_array_index(candidates, at);
	if (candidates->len == 1)
		return first;
	at = (at + 1 + util_rng_below(&r->rng, candidates->len - 1)) % candidates->len;
	second = g_ptr_array_index(candidates, at);
	return score(second, fallback_us) < score(first, fallback_us) ? second : first;
}

static uint64_t mean_latency(const struct service *service, const struct target *without)
{
	uint64_t sum = 0;
	uint64_t count = 0;

	for (guint i = 0; i < service->targets->len; i++) {
		const struct target *t = g_ptr_array_index(service->targets, i);

		if (t == without || !t->samples || t->ejected)
			continue;
		sum += t->latency_us;
		count++;
	}
	return count ? sum / count : 0;
}

static struct target *due_probe(const GPtrArray *candidates)
{
	for (guint i = 0; i < candidates->len; i++) {
		struct target *t = g_ptr_array_index(candidates, i);

		if (t->ejected)
			return t;
	}
	return NULL;
}

static struct target *pick(struct route *r, const struct service *service, const GPtrArray *near,
			   const GPtrArray *far)
{
	uint64_t fallback = mean_latency(service, NULL);
	struct target *probe = due_probe(near);
	struct target *close;
	struct target *remote;

	if (!probe)
		probe = due_probe(far);
	if (probe)
		return probe;
	close = pick_two(r, near, fallback);
	remote = pick_two(r, far, fallback);
	if (!close || !remote)
		return close ? close : remote;
	return score(close, fallback) > ZONE_FACTOR * score(remote, fallback) ? remote : close;
}

static void take(struct target *t, struct route_choice *out)
{
	t->sent++;
	t->own++;
	out->peer = t->peer;
	out->clock_offset_ms = t->clock_offset_ms;
	out->probe = t->ejected;
	if (t->ejected)
		t->probing = true;
}

int route_choose(struct route *r, const char *service_name, const char *const *exclude,
		 size_t exclude_count, bool may_probe, uint64_t now_ms, struct route_choice *out)
{
	const struct service *service = g_hash_table_lookup(r->services, service_name);
	GPtrArray *near;
	GPtrArray *far;
	struct target *chosen;
	bool any = false;

	if (!service)
		return -ERR_NOT_FOUND;
	near = g_ptr_array_new();
	far = g_ptr_array_new();
	for (guint i = 0; i < service->targets->len; i++) {
		struct target *t = g_ptr_array_index(service->targets, i);

		any |= takes_work(t);
		if (usable(t, may_probe, now_ms) && !excluded(t, exclude, exclude_count))
			g_ptr_array_add(t->near ? near : far, t);
	}
	chosen = pick(r, service, near, far);
	g_ptr_array_free(near, TRUE);
	g_ptr_array_free(far, TRUE);
	if (!chosen)
		return any ? -ERR_NO_TARGET : -ERR_NOT_FOUND;
	take(chosen, out);
	return 0;
}

static bool may_eject(const struct route *r, const struct service *service)
{
	uint32_t ejected = 0;
	uint32_t total = 0;

	for (guint i = 0; i < service->targets->len; i++) {
		const struct target *t = g_ptr_array_index(service->targets, i);

		total += takes_work(t);
		ejected += takes_work(t) && t->ejected;
	}
	return (ejected + 1) * 100 <= total * r->eject_percent;
}

static void eject(struct target *t, uint64_t now_ms)
{
	uint64_t span = EJECT_FIRST_MS;

	for (uint32_t i = 0; i < t->ejections && span < EJECT_MAX_MS; i++)
		span *= 2;
	t->ejected = true;
	t->ejections++;
	t->eject_until_ms = now_ms + (span < EJECT_MAX_MS ? span : EJECT_MAX_MS);
}

static void readmit(struct target *t)
{
	t->ejected = false;
	t->failures = 0;
	/* Its old latency would eject it again at once. */
	t->samples = 0;
	t->latency_us = 0;
}

static void judge(struct route *r, struct target *t, uint64_t now_ms)
{
	const struct service *service = g_hash_table_lookup(r->services, t->service);
	uint64_t mean = mean_latency(service, t);
	bool slow = t->samples >= EJECT_MIN_SAMPLES && mean &&
		    t->latency_us > EJECT_LATENCY_FACTOR * mean;

	if (t->failures < EJECT_FAILURES && !slow)
		return;
	if (may_eject(r, service))
		eject(t, now_ms);
}

static void add_sample(struct target *t, uint64_t latency_us)
{
	if (!t->samples)
		t->latency_us = latency_us;
	else
		t->latency_us =
			t->latency_us - (t->latency_us >> EWMA_SHIFT) + (latency_us >> EWMA_SHIFT);
	t->samples++;
}

static void release(struct target *t)
{
	if (t->own)
		t->own--;
	if (t->sent)
		t->sent--;
	else if (t->reported)
		t->reported--;
}

void route_done(struct route *r, const char *peer, enum route_result result, uint64_t latency_us,
		uint64_t now_ms)
{
	struct target *t = g_hash_table_lookup(r->by_peer, peer);
	bool probe;

	if (!t)
		return;
	release(t);
	probe = t->ejected && t->probing;
	t->probing = false;
	if (result == ROUTE_OK) {
		if (probe)
			readmit(t);
		t->failures = 0;
		add_sample(t, latency_us);
	} else if (result == ROUTE_FAILED) {
		t->failures++;
	} else {
		return;
	}
	if (t->ejected && probe)
		eject(t, now_ms);
	else if (!t->ejected)
		judge(r, t, now_ms);
}

bool route_full(const struct route *r, const char *peer)
{
	const struct target *t = g_hash_table_lookup(r->by_peer, peer);

	return t && load_of(t) >= limit_of(t);
}

void route_fault(struct route *r, const char *peer, uint64_t now_ms)
{
	struct target *t = g_hash_table_lookup(r->by_peer, peer);

	if (!t || t->ejected)
		return;
	t->failures++;
	judge(r, t, now_ms);
}

void route_unreachable(struct route *r, const char *peer, uint64_t now_ms)
{
	struct target *t = g_hash_table_lookup(r->by_peer, peer);

	if (t)
		t->avoid_until_ms = now_ms + UNREACHABLE_MS;
}

bool route_has_room(struct route *r, const char *service_name, uint64_t now_ms)
{
	const struct service *service = g_hash_table_lookup(r->services, service_name);

	for (guint i = 0; service && i < service->targets->len; i++) {
		if (usable(g_ptr_array_index(service->targets, i), true, now_ms))
			return true;
	}
	return false;
}

bool route_alive(const struct route *r, const char *peer)
{
	const struct target *t = g_hash_table_lookup(r->by_peer, peer);

	return t && t->state != MSG_TARGET_SUSPECT;
}

bool route_known(const struct route *r, const char *peer)
{
	return g_hash_table_contains(r->by_peer, peer);
}

void route_capacity(const struct route *r, const char *service_name, struct route_capacity *out)
{
	const struct service *service = g_hash_table_lookup(r->services, service_name);

	*out = (struct route_capacity){0};
	if (!service)
		return;
	out->latency_us = mean_latency(service, NULL);
	for (guint i = 0; i < service->targets->len; i++) {
		const struct target *t = g_ptr_array_index(service->targets, i);

		if (!takes_work(t) || t->ejected)
			continue;
		out->targets++;
		out->slots += limit_of(t);
	}
}
