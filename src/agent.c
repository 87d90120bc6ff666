#include "agent.h"
#include "announce.h"
#include "configslice.h"
#include "entrylinks.h"
#include "gangagent.h"
#include "httpc.h"
#include "log.h"
#include "proxy.h"
#include "targetclaim.h"
#include "util.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define TICK_MS 200
#define PAUSE_MIN_MS 500   /* a gap this long between two ticks is no jitter of the timer */
#define FROZEN_MIN_MS 2000 /* a gap this long between two ticks means the process was frozen */
#define WIRE_LINGER_MS 500
#define STORE_READS_PER_S 2

struct agent {
	struct tevent_context *ev;
	const struct settings *settings;
	struct metrics *metrics;
	char *self; /* own peer name */
	uint64_t incarnation;
	char *address; /* own peer address as advertised to other processes */
	struct httpc *http;
	struct wire *wire;
	struct store *store; /* NULL when no endpoints are set */
	struct announce *announce;
	struct target *target;
	struct targetclaim *claim;
	struct slots *slots;
	struct streams *streams;
	struct outcomes *outcomes;
	struct proxy *proxy;
	struct entrylinks *entrylinks;
	struct gangagent *gang;
	struct worker *worker; /* NULL unless the target is a worker that announces itself */
	uint64_t tick_ms;
	uint64_t config_revision;
	struct configslice *slice; /* NULL until an entry has sent one */
	uint64_t leaving_since_ms; /* 0 while not shutting down */
	void (*done)(void *ctx);
	void *done_ctx;
	int in_flight_gauge;
	int gang_members_gauge;
	int revision_gauge;
};

static void on_task(const char *id, enum worker_task_state state, const char *reason, void *ctx)
{
	struct agent *agent = ctx;

	gangagent_handle_task_end(agent->gang, id, state, reason);
}

static void on_usage(const char *id, uint32_t percent, uint64_t checkpoint_ms, void *ctx)
{
	struct agent *agent = ctx;

	gangagent_handle_usage(agent->gang, id, percent, checkpoint_ms);
}

/* The gang members are notified before the worker object is freed, so that none still calls it. */
static void drop_worker(struct agent *agent)
{
	if (!agent->worker)
		return;
	targetclaim_drop(agent->claim);
	gangagent_set_worker(agent->gang, NULL);
	TALLOC_FREE(agent->worker);
}

static void set_worker(struct agent *agent, const struct target_info *info)
{
	struct worker_handlers handlers = {
		.on_task = on_task,
		.on_usage = on_usage,
		.ctx = agent,
	};

	if (agent->worker)
		return;
	agent->worker = worker_create(agent, agent->ev, info->url, info->incarnation, &handlers,
				      agent->metrics);
	gangagent_set_worker(agent->gang, agent->worker);
}

/* Returns the capacity that the target announced, limited by the configuration. */
static struct slots_capacity allowed_capacity(const struct agent *agent)
{
	const struct target_info *info = target_info(agent->target);
	struct slots_capacity result = info->capacity;

	if (agent->slice && info->kind == MSG_TARGET_SERVICE)
		configslice_apply_limits(agent->slice, info->service, &result);
	return result;
}

/* Passes the state of the target on to the modules that depend on it. */
static void apply_target(struct agent *agent, bool restarted)
{
	const struct target_info *info = target_info(agent->target);
	int usable = target_usable(agent->target, util_clock_ms());
	struct slots_capacity allowed = allowed_capacity(agent);

	slots_set_capacity(agent->slots, &allowed);
	if (restarted || info->kind != MSG_TARGET_WORKER || target_silent(agent->target))
		drop_worker(agent);
	if (info->kind == MSG_TARGET_WORKER && !target_silent(agent->target))
		set_worker(agent, info);
	gangagent_set_accepting(agent->gang, usable == 0 && !agent->leaving_since_ms);
	entrylinks_announce(agent->entrylinks);
}

static const char *target_state_name(int usable)
{
	if (usable == 0)
		return "alive";
	return usable == -ERR_LEAVING ? "leaving" : "silent";
}

static int accept_announcement(struct agent *agent, const struct target_info *info,
			       uint64_t received_ms, struct err *err)
{
	unsigned int changes;
	int ret = target_announce(agent->target, info, received_ms, &changes, err);

	if (ret)
		return ret;
	if (changes) {
		log_info("target_changed", "",
			 "target %s incarnation %" PRIu64 " at %s is %s, as announced", info->name,
			 info->incarnation, info->url,
			 target_state_name(target_usable(agent->target, util_clock_ms())));
		apply_target(agent, changes & TARGET_RESTARTED);
	}
	if (agent->worker)
		worker_announced(agent->worker, info->clock_ms, received_ms);
	return 0;
}

static void on_claim_confirmed(const struct target_info *info, uint64_t received_ms, void *ctx)
{
	struct err err = {0};

	if (accept_announcement(ctx, info, received_ms, &err))
		log_once("announce_refused", "", "%s; %s", err.message, err.remedy);
}

static int on_announce(const struct target_info *info, struct err *err, void *ctx)
{
	struct agent *agent = ctx;
	uint64_t now = util_clock_ms();
	int ret = target_check(agent->target, info, now, err);

	if (ret)
		return ret;
	if (agent->worker && worker_busy(agent->worker) && target_is_other(agent->target, info))
		return targetclaim_add(agent->claim, agent->worker, info, now, err);
	return accept_announcement(agent, info, now, err);
}

static bool is_ready(const char **why, void *ctx)
{
	struct agent *agent = ctx;

	*why = "";
	if (agent->leaving_since_ms)
		*why = "the agent is shutting down";
	else if (target_usable(agent->target, util_clock_ms()))
		*why = "the target does not announce itself or is leaving";
	else if (!entrylinks_connected(agent->entrylinks))
		*why = "no entry answers";
	return !(*why)[0];
}

static bool fill_announce(struct msg_announce *out, void *ctx)
{
	struct agent *agent = ctx;
	const struct target_info *info = target_info(agent->target);
	struct slots_capacity allowed;
	bool usable;

	if (!info)
		return false;
	allowed = allowed_capacity(agent);
	usable = target_usable(agent->target, util_clock_ms()) == 0 && !agent->leaving_since_ms;
	out->kind = info->kind;
	out->service = info->service;
	out->target = info->name;
	out->target_incarnation = info->incarnation;
	out->state = usable ? MSG_TARGET_ALIVE : MSG_TARGET_LEAVING;
	out->slots = allowed.slots;
	out->connections = allowed.connections;
	out->accelerators = allowed.accelerators;
	out->cores = allowed.cores;
	out->memory_mb = allowed.memory_mb;
	return true;
}

static bool is_peer_busy(const char *peer, void *ctx)
{
	const struct agent *agent = ctx;

	return streams_has_peer(agent->streams, peer);
}

static void fill_heartbeat(struct msg_heartbeat *out, void *ctx)
{
	struct agent *agent = ctx;

	out->in_flight = slots_in_flight(agent->slots);
	out->connections_used = out->in_flight;
	out->accelerators_free = slots_free_mask(agent->slots);
	out->config_revision = agent->config_revision;
}

static void apply_config_slice(struct agent *agent, const struct msg_config_slice *msg)
{
	struct configslice *slice;

	if (msg->revision <= agent->config_revision)
		return;
	slice = configslice_parse(agent, msg->json.data, msg->json.len);
	if (!slice) {
		log_warn("config_slice", "", "revision %" PRIu64 " cannot be parsed",
			 msg->revision);
		return;
	}
	talloc_free(agent->slice);
	agent->slice = slice;
	agent->config_revision = msg->revision;
	outcomes_set_ttl(agent->outcomes, configslice_max_key_ttl_ms(slice));
	metrics_set(agent->metrics, agent->revision_gauge, msg->revision);
	log_info("config_applied", "", "revision %" PRIu64, msg->revision);
	if (target_info(agent->target))
		apply_target(agent, false);
}

static void on_message(const char *peer, struct msg *msg, void *ctx)
{
	struct agent *agent = ctx;

	if (entrylinks_message(agent->entrylinks, peer, msg))
		return;
	if (proxy_handle_message(agent->proxy, peer, msg))
		return;
	if (gangagent_handle_message(agent->gang, peer, msg))
		return;
	if (msg->type == MSG_CONFIG_SLICE)
		apply_config_slice(agent, &msg->u.config_slice);
}

static void check_frozen(struct agent *agent, uint64_t now)
{
	uint64_t gap = now - agent->tick_ms;

	agent->tick_ms = now;
	if (gap < FROZEN_MIN_MS)
		return;
	log_warn("process_resumed", "", "the process did not run for %" PRIu64 " ms", gap);
	metrics_count(agent->metrics, "jaycourse_frozen_total", "",
		      "Times the process did not run for more than 2 s");
	entrylinks_resumed(agent->entrylinks, now);
}

static uint32_t active_work_count(const struct agent *agent)
{
	return proxy_active(agent->proxy) + gangagent_count_active(agent->gang);
}

static void check_shutdown(struct agent *agent, uint64_t now)
{
	bool grace_over = now - agent->leaving_since_ms >= agent->settings->shutdown_grace_ms;

	if (!agent->leaving_since_ms || !agent->done)
		return;
	if (active_work_count(agent) > 0 && !grace_over)
		return;
	if (active_work_count(agent) > 0)
		log_warn("shutdown_incomplete", "",
			 "%u requests and gang members still run after %u ms",
			 active_work_count(agent), agent->settings->shutdown_grace_ms);
	drop_worker(agent);
	agent->done(agent->done_ctx);
	agent->done = NULL;
}

static void schedule_tick(struct agent *agent);

/* Announcements that arrived while this process did not run are read after the tick. */
static void allow_for_pause(struct agent *agent, uint64_t now)
{
	uint64_t gap = now - agent->tick_ms;

	if (gap < PAUSE_MIN_MS || !target_info(agent->target))
		return;
	target_add_unheard(agent->target, gap - TICK_MS);
	if (target_usable(agent->target, now))
		apply_target(agent, false);
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te, struct timeval at,
		    void *data)
{
	struct agent *agent = data;
	uint64_t now = util_clock_ms();

	schedule_tick(agent);
	allow_for_pause(agent, now);
	check_frozen(agent, now);
	if (target_check_silence(agent->target, now)) {
		log_warn("target_silent", "", "target %s has not announced itself for %d ms",
			 target_info(agent->target)->name, TARGET_SILENCE_MS);
		apply_target(agent, false);
	}
	entrylinks_tick(agent->entrylinks, now);
	proxy_tick(agent->proxy, now);
	metrics_set(agent->metrics, agent->in_flight_gauge, slots_in_flight(agent->slots));
	metrics_set(agent->metrics, agent->gang_members_gauge, gangagent_count_active(agent->gang));
	check_shutdown(agent, now);
}

static void schedule_tick(struct agent *agent)
{
	tevent_add_timer(agent->ev, agent, tevent_timeval_current_ofs(0, TICK_MS * 1000), on_tick,
			 agent);
}

static int open_store(struct agent *agent, struct err *err)
{
	const struct settings *settings = agent->settings;
	struct store_options options = {
		.endpoints = settings->store_endpoints,
		.endpoint_count = settings->store_endpoint_count,
		.reads_per_s = STORE_READS_PER_S,
	};

	if (settings->store_endpoint_count == 0)
		return 0;
	agent->store = store_create(agent, agent->ev, &options, agent->metrics, err);
	return agent->store ? 0 : -ERR_SYSTEM;
}

static int open_sockets(struct agent *agent, struct err *err)
{
	struct wire_handlers wire = {.on_message = on_message, .ctx = agent};
	struct announce_handlers http = {
		.on_announce = on_announce,
		.ready = is_ready,
		.ctx = agent,
	};

	agent->wire = wire_create(agent, agent->ev, agent->self, agent->settings->peer_address,
				  &wire, agent->metrics, err);
	if (!agent->wire)
		return -ERR_SYSTEM;
	agent->announce = announce_create(agent, agent->ev, agent->settings->http_address, &http,
					  agent->metrics, err);
	return agent->announce ? 0 : -ERR_SYSTEM;
}

/* A configured port of 0 stands for the port that the socket was bound to. */
static char *advertised_address(struct agent *agent)
{
	const char *bound = wire_address(agent->wire);
	const char *set = agent->settings->advertise_address;
	const char *colon = set ? strrchr(set, ':') : NULL;

	if (!colon)
		return talloc_strdup(agent, bound);
	if (strcmp(colon, ":0") != 0)
		return talloc_strdup(agent, set);
	return talloc_asprintf(agent, "%.*s%s", (int)(colon - set), set, strrchr(bound, ':'));
}

static void create_proxy(struct agent *agent)
{
	struct proxy_deps deps = {
		.ev = agent->ev,
		.wire = agent->wire,
		.http = agent->http,
		.slots = agent->slots,
		.target = agent->target,
		.metrics = agent->metrics,
	};

	agent->streams =
		streams_create(agent, agent->ev, agent->wire, agent->slots, agent->metrics);
	agent->outcomes = outcomes_create(agent, 0, 0);
	deps.streams = agent->streams;
	deps.outcomes = agent->outcomes;
	agent->proxy = proxy_create(agent, &deps);
}

static void create_gang(struct agent *agent)
{
	struct gangagent_deps deps = {
		.ev = agent->ev,
		.wire = agent->wire,
		.slots = agent->slots,
		.metrics = agent->metrics,
		.node = agent->settings->node,
	};

	agent->gang = gangagent_create(agent, &deps);
}

static void create_entrylinks(struct agent *agent)
{
	struct entrylinks_deps deps = {
		.ev = agent->ev,
		.wire = agent->wire,
		.http = agent->http,
		.store = agent->store,
		.settings = agent->settings,
		.metrics = agent->metrics,
		.self = agent->self,
		.incarnation = agent->incarnation,
		.address = agent->address,
		.fill_announce = fill_announce,
		.fill_heartbeat = fill_heartbeat,
		.is_peer_busy = is_peer_busy,
		.ctx = agent,
	};

	agent->entrylinks = entrylinks_create(agent, &deps);
}

static void define_gauges(struct agent *agent)
{
	agent->in_flight_gauge =
		metrics_define(agent->metrics, METRICS_GAUGE, "jaycourse_slots_taken", "",
			       "Slots of the target that are taken");
	agent->gang_members_gauge =
		metrics_define(agent->metrics, METRICS_GAUGE, "jaycourse_gang_members", "",
			       "Gang members held, starting or running here");
	agent->revision_gauge =
		metrics_define(agent->metrics, METRICS_GAUGE, "jaycourse_config_revision", "",
			       "Revision of the configuration in force here");
}

struct agent *agent_create(TALLOC_CTX *mem, struct tevent_context *ev,
			   const struct settings *settings, struct err *err)
{
	struct agent *agent = talloc_zero(mem, struct agent);

	agent->ev = ev;
	agent->settings = settings;
	agent->metrics = metrics_create(agent);
	agent->incarnation = util_wall_ms();
	agent->self = talloc_asprintf(agent, "%s#%" PRIu64, settings->node, agent->incarnation);
	agent->http = httpc_create(agent, ev);
	agent->target = target_create(agent);
	agent->claim = targetclaim_create(agent, ev, agent->metrics, on_claim_confirmed, agent);
	agent->slots = slots_create(agent);
	agent->tick_ms = util_clock_ms();
	define_gauges(agent);
	if (open_sockets(agent, err) || open_store(agent, err)) {
		talloc_free(agent);
		return NULL;
	}
	agent->address = advertised_address(agent);
	create_proxy(agent);
	create_gang(agent);
	create_entrylinks(agent);
	schedule_tick(agent);
	return agent;
}

const char *agent_http_address(const struct agent *agent)
{
	return announce_address(agent->announce);
}

const char *agent_peer_address(const struct agent *agent)
{
	return agent->address;
}

void agent_shutdown(struct agent *agent, void (*done)(void *ctx), void *ctx)
{
	if (agent->leaving_since_ms)
		return;
	log_info("shutdown_started", "", "%u requests and gang members are running",
		 active_work_count(agent));
	agent->leaving_since_ms = util_clock_ms();
	agent->done = done;
	agent->done_ctx = ctx;
	proxy_refuse_new(agent->proxy);
	gangagent_set_accepting(agent->gang, false);
	entrylinks_announce(agent->entrylinks);
}

void agent_destroy(struct agent *agent)
{
	TALLOC_FREE(agent->announce);
	TALLOC_FREE(agent->entrylinks);
	TALLOC_FREE(agent->proxy);
	TALLOC_FREE(agent->outcomes);
	TALLOC_FREE(agent->streams);
	TALLOC_FREE(agent->gang);
	TALLOC_FREE(agent->worker);
	wire_destroy(agent->wire, WIRE_LINGER_MS);
	talloc_free(agent);
}
