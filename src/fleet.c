#include "fleet.h"

#include "coord.h"
#include "fleetlimits.h"
#include "log.h"
#include "util.h"
#include "zones.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define BODY_MAX_BYTES (1024 * 1024) /* the configuration may set a lower limit */
/*
 * A process takes some 15 MB itself. A quarter of a host of 128 MB or more holds the bodies of over
 * a hundred callers that send the largest configured body at the same moment.
 */
#define BODIES_MEMORY_PART 4
#define BODIES_DEFAULT_BYTES ((size_t)64 << 20)
#define BODIES_MIN_BYTES ((size_t)4 << 20) /* several bodies of the largest size */
#define SMALL_BODY_BYTES (16 * 1024)
#define SMALL_BODIES_PART 8	  /* of the budget only small bodies get this part */
#define CHECK_CONNECTIONS_MAX 16  /* for readiness checks and metrics */
#define STORE_SILENCE_MAX_MS 1500 /* after this, another entry should get new connections */
#define DRAIN_TICK_MS 50
#define DRAIN_MIN_MS 2300   /* the load balancer needs two failed checks, 1 s apart */
#define DRAIN_MARGIN_MS 700 /* time left to exit before the process would be killed */
/* Orders given before the leader hears of an evacuation are acted on for 2.5 s; the rest is
 * reserve.
 */
#define EVACUATION_FOLLOW_MS (WORKER_RENEWAL_WINDOW_MS + 500)
#define ZONES_AGE_MIN_MS 1000 /* the mirror waits up to 0.8 s for a change */
#define HEARTBEAT_ANSWER "{}"
#define ANNOUNCEMENTS_METRIC "jaycourse_announcements_total"
#define ANNOUNCEMENTS_HELP "Announcements that arrived at the address of the agent's worker"

struct fleet_node {
	struct tevent_context *ev;
	const struct fleetnode_settings *settings;
	struct fleet_platform platform;
	struct metrics *metrics;
	struct wire *wire;
	struct bodybudget *bodies; /* of all servers */
	struct httpd *metrics_server;
	/* Only in an entry. */
	struct httpd *callers;
	struct httpd *ready;
	struct kv_mirror *config_mirror; /* of the operators' keys */
	struct zones *zones;		 /* evacuated ones; NULL: operators evacuate none */
	bool zones_loaded;
	struct fleetconf *conf;
	struct leader *leader;
	struct coord *coord;
	struct relay *relay;
	struct intake *intake;
	/* Only in an agent. */
	struct httpd *control;
	struct runner *runner;
	/* During the shutdown. */
	uint64_t drain_began_ms;
	void (*done)(void *ctx);
	void *done_ctx;
};

static void on_message(const char *peer, struct msg *msg, void *ctx)
{
	struct fleet_node *node = ctx;

	if (node->coord && coord_message(node->coord, peer, msg))
		return;
	if (node->relay && relay_message(node->relay, peer, msg))
		return;
	if (node->intake && intake_message(node->intake, peer, msg))
		return;
	if (node->runner && runner_message(node->runner, peer, msg))
		return;
	log_debug("message_ignored", peer, "%s", msg_type_name(msg->type));
}

static int create_wire(struct fleet_node *node, struct err *err)
{
	struct wire_handlers handlers = {on_message, node};
	char *self = talloc_asprintf(node, "%s#%" PRIu64, node->settings->node, util_wall_ms());

	node->wire = wire_create(node, node->ev, self, node->settings->message_address, &handlers,
				 node->metrics, err);
	return node->wire ? 0 : -ERR_SYSTEM;
}

/* The row of a zone in a list of them, added if it has none. */
static json_t *find_zone_row(json_t *rows, const char *zone)
{
	json_t *row;
	size_t i;

	json_array_foreach(rows, i, row)
	{
		if (!strcmp(json_string_value(json_object_get(row, "zone")), zone))
			return row;
	}
	json_array_append_new(rows, json_pack("{s:s, s:s}", "zone", zone, "state", "evacuated"));
	return json_array_get(rows, json_array_size(rows) - 1);
}

/* The leader lists all zones with workers and the evacuated ones, another entry only these. */
static void serve_zones(struct fleet_node *node, struct httpd_call *call)
{
	json_t *rows = node->coord ? coord_zones(node->coord) : json_array();
	json_t *json = json_pack("{s:b, s:o}", "leader", node->coord != NULL, "zones", rows);
	char *text;

	for (size_t i = 0; i < zones_count(node->zones); i++) {
		const struct zones_row *evacuated = zones_row(node->zones, i);
		json_t *row = find_zone_row(rows, evacuated->name);
		uint64_t for_ms = util_clock_ms() - evacuated->heard_ms;

		json_object_set_new(row, "for_ms", json_integer((json_int_t)for_ms));
	}
	text = json_dumps(json, JSON_COMPACT);
	httpd_answer(call, 200, "application/json", text ? text : "{}", 0);
	free(text);
	json_decref(json);
}

static void serve_metrics(struct httpd_call *call, void *ctx)
{
	struct fleet_node *node = ctx;
	char *text = metrics_render(node->metrics, node);

	if (!strcmp(httpd_path(call), "/metrics"))
		httpd_answer(call, 200, "text/plain", text, 0);
	else if (!strcmp(httpd_path(call), "/zones") && node->zones)
		serve_zones(node, call);
	else
		httpd_answer(call, 404, NULL, NULL, 0);
	talloc_free(text);
}

static struct bodybudget *create_body_budget(struct fleet_node *node)
{
	const struct fleetnode_settings *settings = node->settings;
	size_t total = BODIES_DEFAULT_BYTES;
	struct bodybudget_limits limits = {.small_max = SMALL_BODY_BYTES};

	if (settings->bodies_max_mb)
		total = (size_t)settings->bodies_max_mb << 20;
	else if (settings->memory_mb)
		total = ((size_t)settings->memory_mb << 20) / BODIES_MEMORY_PART;
	limits.total = MAX(total, BODIES_MIN_BYTES);
	limits.small_share = limits.total / SMALL_BODIES_PART;
	return bodybudget_create(node, &limits, httpd_drop_body);
}

/* The other half of the descriptors is for the store, other processes, checks and files. */
static uint32_t connections_max(const struct fleetnode_settings *settings)
{
	uint32_t max = HTTPD_CONNECTIONS_MAX;

	if (settings->connections_max)
		max = settings->connections_max;
	if (settings->max_descriptors)
		max = MIN(max, settings->max_descriptors / 2);
	return max;
}

/* @open: callers or workers send their calls there; otherwise checks and metrics are served */
static int create_server(struct fleet_node *node, struct httpd **server, const char *address,
			 bool open, const struct httpd_handlers *handlers, struct err *err)
{
	struct httpd_limits limits = {
		.body_max = open ? BODY_MAX_BYTES : SMALL_BODY_BYTES,
		.connections_max = open ? connections_max(node->settings) : CHECK_CONNECTIONS_MAX,
		.body_idle_ms = node->settings->body_idle_ms,
		.bodies = node->bodies,
		.metrics = node->metrics,
	};

	*server = httpd_create_limited(node, node->ev, address, &limits, handlers, err);
	return *server ? 0 : -ERR_SYSTEM;
}

static void on_evacuation(struct fleet_node *node, const struct kv_item *item, const char *zone)
{
	bool evacuated = item->revision != 0;
	bool changed = evacuated
			       ? zones_evacuate(node->zones, zone, item->revision, util_clock_ms())
			       : zones_return(node->zones, zone);
	uint32_t tasks;

	if (!changed)
		return;
	if (evacuated)
		log_info("zone_evacuated", zone, "by revision %" PRId64, item->revision);
	else
		log_info("zone_returned", zone, "the request for its evacuation was removed");
	if (!node->coord)
		return;
	tasks = coord_zone_changed(node->coord, zone, evacuated);
	log_info(evacuated ? "zone_closed" : "zone_opened", zone, "%u tasks are at work there",
		 tasks);
}

static void on_config(struct fleet_node *node, const struct kv_item *item)
{
	struct fleetconf *conf;
	struct err err = {0};

	conf = node->platform.read_config(node, item->value, item->value_len, &err);
	if (!conf) {
		log_once("config_malformed", item->key, "revision %" PRId64 ": %s", item->revision,
			 err.message);
		return;
	}
	if (node->conf && conf->version < node->conf->version) {
		log_warn("config_older", "",
			 "version %" PRIu64 " ignored; version %" PRIu64 " is in use",
			 conf->version, node->conf->version);
		talloc_free(conf);
		return;
	}
	log_info("config_in_force", "", "version %" PRIu64 ", %zu queues, %zu organisations",
		 conf->version, conf->queue_count, conf->organisation_count);
	intake_configure(node->intake, conf);
	if (node->coord)
		coord_configure(node->coord, conf);
	talloc_free(node->conf);
	node->conf = conf;
}

static void on_operator_item(const struct kv_item *item, void *ctx)
{
	struct fleet_node *node = ctx;
	const char *zone;
	int status;

	if (!strcmp(item->key, node->platform.config_key)) {
		if (item->revision != 0)
			on_config(node, item);
		return;
	}
	status = node->zones ? node->platform.evacuated_zone(item->key, &zone) : -ERR_NOT_FOUND;
	if (status == 0)
		on_evacuation(node, item, zone);
	else if (status == -ERR_INVALID)
		log_once("zone_unreadable", item->key, "the key names no zone and is ignored");
}

static void on_operator_keys_loaded(void *ctx)
{
	((struct fleet_node *)ctx)->zones_loaded = true;
}

static uint64_t zones_age_ms(void *ctx)
{
	const struct fleet_node *node = ctx;

	return node->zones_loaded ? kv_mirror_age_ms(node->config_mirror) : UINT64_MAX;
}

static void on_gained(uint64_t term, void *ctx)
{
	struct fleet_node *node = ctx;
	const struct fleetnode_settings *settings = node->settings;
	struct plan_params params = {
		.stop_ms = (uint32_t)settings->stop_ms,
		.stall_ms = settings->stall_ms,
		.urgent_stall_ms = settings->urgent_stall_ms,
		.away_factor = settings->away_factor,
		.unavailable_after_ms = (uint32_t)settings->unavailable_after_ms,
	};
	struct coord_deps deps = {
		.ev = node->ev,
		.kv = node->platform.kv,
		.wire = node->wire,
		.leader = node->leader,
		.metrics = node->metrics,
		.advice = node->platform.advice,
		.node = settings->node,
		.params = &params,
		.keep_ended_ms = (uint32_t)(settings->keep_ended_s * 1000),
		.zones = node->zones,
		.zones_age_ms = zones_age_ms,
		.zones_ctx = node,
		.zones_age_max_ms =
			MAX(settings->evacuate_ms, EVACUATION_FOLLOW_MS + ZONES_AGE_MIN_MS) -
			EVACUATION_FOLLOW_MS,
	};

	node->coord = coord_create(node, &deps, node->conf);
	intake_set_coord(node->intake, node->coord);
}

/* Frees the controller from the event loop: on_lost() may run inside one of its callbacks. */
static void free_coord(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		       void *ctx)
{
	talloc_free(ctx);
}

static void on_lost(void *ctx)
{
	struct fleet_node *node = ctx;
	struct coord *coord = node->coord;

	intake_set_coord(node->intake, NULL);
	node->coord = NULL;
	if (coord)
		tevent_add_timer(node->ev, node, tevent_timeval_zero(), free_coord, coord);
}

static void on_resignation_stored(int status, void *ctx)
{
	struct fleet_node *node = ctx;

	leader_resignation_stored(node->leader, status);
}

static void on_refused(const char *key, const char *value, const struct kv_expect *own, void *ctx)
{
	struct fleet_node *node = ctx;

	if (node->coord)
		coord_warn_agents(node->coord);
	relay_put(node->relay, key, value, own->key, own->revision, on_resignation_stored, node);
}

static void on_leader_changed(const char *name, const char *address, uint64_t term, void *ctx)
{
	struct fleet_node *node = ctx;

	log_info("leader_known", "", "%s at %s, term %" PRIu64, *name ? name : "nobody", address,
		 term);
	if (node->intake)
		intake_leader_changed(node->intake);
}

static bool is_ready(const struct fleet_node *node)
{
	return node->conf && !node->drain_began_ms &&
	       node->platform.kv->ops->is_responding(node->platform.kv->impl) &&
	       kv_mirror_failing_ms(node->config_mirror) < STORE_SILENCE_MAX_MS;
}

static void serve_ready(struct httpd_call *call, void *ctx)
{
	struct fleet_node *node = ctx;

	if (!node->platform.is_ready_call(httpd_method(call), httpd_path(call)))
		httpd_answer(call, 404, NULL, NULL, 0);
	else
		httpd_answer(call, is_ready(node) ? 200 : 503, NULL, NULL, 0);
}

static int create_entry(struct fleet_node *node, struct err *err)
{
	struct leader_options options = {
		.node = node->settings->node,
		.address = wire_address(node->wire),
		.ttl_ms = node->settings->leader_ttl_ms,
		.candidate = true,
		.processors = node->settings->processor_share * node->settings->processors,
	};
	struct leader_handlers on_leader = {on_gained, on_lost, on_leader_changed, on_refused,
					    node};
	struct kv_mirror_handlers on_operator = {on_operator_item, on_operator_keys_loaded, node};
	struct intake_deps deps = {
		.ev = node->ev,
		.kv = node->platform.kv,
		.wire = node->wire,
		.metrics = node->metrics,
		.codec = node->platform.codec,
		.advised_queues = node->platform.advice != NULL,
	};
	struct relay_deps relay = {
		.ev = node->ev,
		.kv = node->platform.kv,
		.wire = node->wire,
		.metrics = node->metrics,
		.node = node->settings->node,
	};
	struct httpd_handlers callers = {intake_call, intake_caller_gone, NULL};
	struct httpd_handlers ready = {serve_ready, NULL, node};

	node->leader = leader_create(node, node->ev, node->platform.kv, &options, &on_leader);
	node->relay = relay_create(node, &relay);
	deps.leader = node->leader;
	deps.relay = node->relay;
	node->intake = intake_create(node, &deps);
	if (node->settings->evacuate_ms)
		node->zones = zones_create(node);
	node->config_mirror = kv_mirror_create(node, node->ev, node->platform.kv,
					       node->zones ? node->platform.operator_prefix
							   : node->platform.config_key,
					       &on_operator);
	callers.ctx = node->intake;
	if (create_server(node, &node->ready, node->settings->ready_address, false, &ready, err))
		return -ERR_SYSTEM;
	return create_server(node, &node->callers, node->settings->callers_address, true, &callers,
			     err);
}

/* A heartbeat that is answered once it is known whether it is taken. */
struct heartbeat {
	struct fleet_node *node;
	struct httpd_call *call; /* NULL: the sender has closed the connection */
	char *id;
};

static const struct {
	int status;
	int http_status;
	const char *labels;
	const char *message;
	const char *remedy;
} heartbeat_answers[] = {
	{-ERR_INVALID, 400, "result=\"refused\"",
	 "the worker belongs to another service, or the heartbeat lacks its start time",
	 "Send heartbeats to the agent of the worker, with all fields."},
	{-ERR_STALE, 409, "result=\"contradicted\"",
	 "the worker at the agent's address answers as another incarnation",
	 "Send heartbeats to the agent of the worker."},
	{-ERR_QUEUE_FULL, 503, "result=\"unanswered\"", "too many heartbeats of unknown workers",
	 "Send the heartbeat again."},
	{0, 503, "result=\"unanswered\"", "the worker has not answered at the agent's address",
	 "Send the heartbeat again."},
};

static void send_heartbeat_answer(struct heartbeat *heartbeat, int http_status, const char *text)
{
	if (heartbeat->call)
		httpd_answer(heartbeat->call, http_status, "application/json", text, 0);
	heartbeat->call = NULL;
}

static void refuse_heartbeat(struct heartbeat *heartbeat, int http_status, const char *labels,
			     const char *message, const char *remedy)
{
	json_t *json = json_pack("{s:s, s:s}", "error", message, "remedy", remedy);
	char *text = json_dumps(json, JSON_COMPACT);

	metrics_count(heartbeat->node->metrics, ANNOUNCEMENTS_METRIC, labels, ANNOUNCEMENTS_HELP);
	log_once("heartbeat_refused", heartbeat->id, "%s", message);
	send_heartbeat_answer(heartbeat, http_status, text ? text : HEARTBEAT_ANSWER);
	free(text);
	json_decref(json);
}

static void on_announced(int status, void *ctx)
{
	struct heartbeat *heartbeat = ctx;
	size_t i = 0;

	if (status == 0) {
		metrics_count(heartbeat->node->metrics, ANNOUNCEMENTS_METRIC, "result=\"taken\"",
			      ANNOUNCEMENTS_HELP);
		send_heartbeat_answer(heartbeat, 200, HEARTBEAT_ANSWER);
	} else {
		while (heartbeat_answers[i].status && heartbeat_answers[i].status != status)
			i++;
		refuse_heartbeat(heartbeat, heartbeat_answers[i].http_status,
				 heartbeat_answers[i].labels, heartbeat_answers[i].message,
				 heartbeat_answers[i].remedy);
	}
	talloc_free(heartbeat);
}

static void on_control_disconnect(struct httpd_call *call, void *ctx)
{
	struct heartbeat *heartbeat = httpd_context(call);

	if (heartbeat)
		heartbeat->call = NULL;
}

static void handle_heartbeat(struct fleet_node *node, struct httpd_call *call, const char *id)
{
	struct err err = {0};
	size_t len;
	const char *body = httpd_body(call, &len);
	struct heartbeat *heartbeat = talloc_zero(node, struct heartbeat);
	struct runner_announcement *self;

	heartbeat->node = node;
	heartbeat->call = call;
	heartbeat->id = talloc_strdup(heartbeat, id);
	httpd_set_context(call, heartbeat);
	self = node->platform.read_self(heartbeat, id, body, len, &err);
	if (self) {
		runner_announced(node->runner, self, on_announced, heartbeat);
		return;
	}
	refuse_heartbeat(heartbeat, 400, "result=\"refused\"", err.message, err.remedy);
	talloc_free(heartbeat);
}

static void serve_control(struct httpd_call *call, void *ctx)
{
	struct fleet_node *node = ctx;
	const char *id;

	switch (node->platform.control_call(httpd_method(call), httpd_path(call), &id)) {
	case FLEET_HEARTBEAT:
		handle_heartbeat(node, call, id);
		break;
	case FLEET_DEREGISTER:
		runner_leaving(node->runner, id);
		httpd_answer(call, 200, "application/json", HEARTBEAT_ANSWER, 0);
		break;
	default:
		httpd_answer(call, 404, NULL, NULL, 0);
		break;
	}
}

static int create_agent(struct fleet_node *node, struct err *err)
{
	struct runner_deps deps = {
		.ev = node->ev,
		.kv = node->platform.kv,
		.wire = node->wire,
		.metrics = node->metrics,
		.calls = node->platform.worker,
		.node = node->settings->node,
		.service = node->settings->service,
	};
	struct httpd_handlers control = {serve_control, on_control_disconnect, node};

	node->runner = runner_create(node, &deps);
	return create_server(node, &node->control, node->settings->control_address, true, &control,
			     err);
}

struct fleet_node *fleet_create(TALLOC_CTX *mem, struct tevent_context *ev,
				enum fleetnode_role role, const struct fleetnode_settings *settings,
				const struct fleet_platform *platform, struct metrics *metrics,
				struct err *err)
{
	struct fleet_node *node = talloc_zero(mem, struct fleet_node);
	struct httpd_handlers on_metrics = {serve_metrics, NULL, node};

	node->ev = ev;
	node->settings = settings;
	node->platform = *platform;
	node->metrics = metrics;
	node->bodies = create_body_budget(node);
	/* The process also starts if it cannot serve metrics. */
	if (settings->metrics_address &&
	    create_server(node, &node->metrics_server, settings->metrics_address, false,
			  &on_metrics, err))
		log_warn("metrics_unavailable", "", "%s. %s", err->message, err->remedy);
	if (!create_wire(node, err) &&
	    !(role == FLEETNODE_ENTRY ? create_entry(node, err) : create_agent(node, err)))
		return node;
	talloc_free(node);
	return NULL;
}

static void on_drain_tick(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			  void *ctx)
{
	struct fleet_node *node = ctx;
	uint64_t passed_ms = util_clock_ms() - node->drain_began_ms;
	uint64_t grace_ms = (uint64_t)(node->settings->grace_s * 1000);
	uint64_t limit_ms = grace_ms > DRAIN_MARGIN_MS ? grace_ms - DRAIN_MARGIN_MS : 0;
	bool idle = node->callers ? httpd_open_calls(node->callers) == 0
				  : runner_may_stop(node->runner);

	if (passed_ms >= limit_ms || (idle && (!node->callers || passed_ms >= DRAIN_MIN_MS))) {
		log_info("drained", "", "after %" PRIu64 " ms", passed_ms);
		node->done(node->done_ctx);
		return;
	}
	tevent_add_timer(ev, node, tevent_timeval_current_ofs(0, DRAIN_TICK_MS * 1000),
			 on_drain_tick, node);
}

void fleet_drain(struct fleet_node *node, void (*done)(void *ctx), void *ctx)
{
	if (node->drain_began_ms)
		return;
	node->drain_began_ms = util_clock_ms();
	node->done = done;
	node->done_ctx = ctx;
	if (node->coord)
		coord_end(node->coord);
	if (node->leader)
		leader_resign(node->leader);
	if (node->callers)
		httpd_close_after_answer(node->callers);
	on_drain_tick(node->ev, NULL, tevent_timeval_zero(), node);
}
