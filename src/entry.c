#include "entry.h"
#include "api.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

/* Time for the load balancer to see readyz turn 503 before the last call may end. */
#define LEAVE_NOTICE_MS 500
#define LEAVE_CHECK_MS 20
#define FAREWELL_MS 200 /* for the last messages to agents and the store */
#define WIRE_LINGER_MS 500

struct entry_host {
	const struct settings *settings;
	struct tevent_context *ev;
	struct metrics *metrics;
	struct loopq *loop;
	struct wire *wire;
	struct store *store;
	struct configrepo *configs;
	struct member *members;
	struct filters *filters;
	struct claims *claims;
	struct dispatch *dispatch;
	struct peers *peers;
	struct jobs *jobs;
	struct api *api;
	char *self;
	char *http_address;
	const char *peer_address;
	uint64_t incarnation;
	bool leaving;
	bool jobs_closed;
	bool finished;
	uint64_t leave_ms;
};

static void on_message(const char *peer, struct msg *msg, void *ctx)
{
	struct entry_host *e = ctx;

	if (dispatch_handle_message(e->dispatch, peer, msg) || peers_message(e->peers, peer, msg))
		return;
	if (!jobs_message(e->jobs, peer, msg))
		log_debug("message_ignored", "", "%s from %s", msg_type_name(msg->type), peer);
}

static void on_config(uint64_t revision, void *ctx)
{
	struct entry_host *e = ctx;
	struct config *config;

	log_info("config_in_force", "", "revision %" PRIu64, revision);
	if (!e->dispatch)
		return;
	config = configrepo_current(e->configs);
	if (!config)
		return;
	dispatch_configure(e->dispatch, config);
	configrepo_release(e->configs, config);
}

static void on_entries(uint32_t count, void *ctx)
{
	struct entry_host *e = ctx;

	filters_set_entries(e->filters, count);
}

static void on_jobs_closed(void *ctx)
{
	struct entry_host *e = ctx;

	e->jobs_closed = true;
}

static void on_farewell(struct tevent_context *ev, struct tevent_timer *te, struct timeval current,
			void *data)
{
	struct entry_host *e = data;

	e->finished = true;
}

static void check_leaving(struct tevent_context *ev, struct tevent_timer *te,
			  struct timeval current, void *data)
{
	struct entry_host *e = data;
	uint64_t gone = util_clock_ms() - e->leave_ms;
	bool idle = e->jobs_closed && !api_active_calls(e->api) && !dispatch_active(e->dispatch);

	if (gone >= e->settings->shutdown_grace_ms && !idle)
		log_warn("shutdown_grace_over", "", "%" PRIu32 " calls are cut off",
			 api_active_calls(e->api));
	if ((idle && gone >= LEAVE_NOTICE_MS) || gone >= e->settings->shutdown_grace_ms) {
		peers_leave(e->peers);
		tevent_add_timer(ev, e, tevent_timeval_current_ofs(0, FAREWELL_MS * 1000),
				 on_farewell, e);
		return;
	}
	tevent_add_timer(ev, e, tevent_timeval_current_ofs(0, LEAVE_CHECK_MS * 1000), check_leaving,
			 e);
}

static void on_signal(struct tevent_context *ev, struct tevent_signal *se, int signum, int count,
		      void *info, void *data)
{
	struct entry_host *e = data;

	if (e->leaving)
		return;
	e->leaving = true;
	e->leave_ms = util_clock_ms();
	log_info("shutdown_started", "", "%" PRIu32 " calls in progress", api_active_calls(e->api));
	filters_set_leaving(e->filters);
	jobs_shutdown(e->jobs, on_jobs_closed, e);
	tevent_add_timer(ev, e, tevent_timeval_current_ofs(0, LEAVE_CHECK_MS * 1000), check_leaving,
			 e);
}

/* A configured port of 0 stands for the port that was bound. */
static char *told_address(struct entry_host *e)
{
	const char *bound = wire_address(e->wire);
	const char *set = e->settings->advertise_address;
	const char *colon = set ? strrchr(set, ':') : NULL;

	if (!colon)
		return talloc_strdup(e, bound);
	if (strcmp(colon, ":0") != 0)
		return talloc_strdup(e, set);
	return talloc_asprintf(e, "%.*s%s", (int)(colon - set), set, strrchr(bound, ':'));
}

static int open_transport(struct entry_host *e, struct err *err)
{
	const struct settings *s = e->settings;
	struct wire_handlers handlers = {on_message, e};
	struct store_options options = {s->store_endpoints, s->store_endpoint_count, 0, 0, 0};

	e->wire = wire_create(e, e->ev, e->self, s->peer_address, &handlers, e->metrics, err);
	if (!e->wire)
		return -(int)err->code;
	e->peer_address = told_address(e);
	e->store = store_create(e, e->ev, &options, e->metrics, err);
	return e->store ? 0 : -(int)err->code;
}

static void create_request_path(struct entry_host *e)
{
	struct dispatch_deps deps;

	e->members = member_create(e, e->self);
	e->configs = configrepo_create(e, e->ev, e->store, e->metrics, on_config, e);
	e->filters = filters_create(e, e->configs, e->metrics);
	e->claims = claims_create(e, e->ev, e->store, e->metrics);
	deps = (struct dispatch_deps){
		.ev = e->ev,
		.wire = e->wire,
		.members = e->members,
		.store = e->store,
		.configs = e->configs,
		.claims = e->claims,
		.loop = e->loop,
		.metrics = e->metrics,
		.self = e->self,
		.zone = e->settings->zone,
	};
	e->dispatch = dispatch_create(e, &deps);
}

static void create_control(struct entry_host *e)
{
	struct peers_deps peers = {
		.ev = e->ev,
		.wire = e->wire,
		.store = e->store,
		.members = e->members,
		.configs = e->configs,
		.metrics = e->metrics,
		.settings = e->settings,
		.self = e->self,
		.incarnation = e->incarnation,
		.peer_address = e->peer_address,
		.http_address = e->http_address,
		.on_entries = on_entries,
		.ctx = e,
	};
	struct jobs_deps jobs = {
		.ev = e->ev,
		.wire = e->wire,
		.store = e->store,
		.configs = e->configs,
		.members = e->members,
		.metrics = e->metrics,
		.self = e->self,
		.region = e->settings->region,
		.address = e->peer_address,
	};

	e->peers = peers_create(e, &peers);
	e->jobs = jobs_create(e, &jobs);
}

static int open_http(struct entry_host *e, int fd, struct err *err)
{
	struct api_deps deps = {
		.ev = e->ev,
		.loop = e->loop,
		.filters = e->filters,
		.dispatch = e->dispatch,
		.peers = e->peers,
		.jobs = e->jobs,
		.configs = e->configs,
		.members = e->members,
		.metrics = e->metrics,
		.settings = e->settings,
		.self = e->self,
	};

	e->api = api_create(e, &deps, fd, err);
	return e->api ? 0 : -(int)err->code;
}

/* Each caller's connection is a descriptor; the default soft limit is often 1024. */
static void raise_file_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static int start(struct entry_host *e, struct err *err)
{
	int fd = -1;
	int ret;

	e->http_address = api_listen(e, e->settings->http_address, &fd, err);
	if (!e->http_address)
		return -(int)err->code;
	ret = open_transport(e, err);
	if (ret)
		return ret;
	create_request_path(e);
	create_control(e);
	ret = open_http(e, fd, err);
	if (ret)
		return ret;
	printf("listening http %s peer %s\n", e->http_address, wire_address(e->wire));
	fflush(stdout);
	return 0;
}

static void stop(struct entry_host *e)
{
	log_info("shutdown_done", "", "%s", e->self);
	api_destroy(e->api);
	loopq_destroy(e->loop);
	TALLOC_FREE(e->jobs);
	TALLOC_FREE(e->peers);
	TALLOC_FREE(e->dispatch);
	TALLOC_FREE(e->claims);
	TALLOC_FREE(e->filters);
	TALLOC_FREE(e->configs);
	TALLOC_FREE(e->store);
	wire_destroy(e->wire, WIRE_LINGER_MS);
}

int entry_run(const struct settings *settings)
{
	struct entry_host *e = talloc_zero(NULL, struct entry_host);
	struct err err = {0};

	signal(SIGPIPE, SIG_IGN);
	raise_file_limit();
	e->settings = settings;
	e->ev = tevent_context_init(e);
	e->metrics = metrics_create(e);
	e->loop = loopq_create(e, e->ev);
	e->incarnation = util_wall_ms();
	e->self = talloc_asprintf(e, "%s#%" PRIu64, settings->node, e->incarnation);
	tevent_add_signal(e->ev, e, SIGTERM, 0, on_signal, e);
	tevent_add_signal(e->ev, e, SIGINT, 0, on_signal, e);
	if (start(e, &err)) {
		fprintf(stderr, "%s; %s\n", err.message, err.remedy);
		return 1;
	}
	while (!e->finished)
		tevent_loop_once(e->ev);
	stop(e);
	talloc_free(e);
	return 0;
}
