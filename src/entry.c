#include "entry.h"
#include "api.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

/* Time for the load balancer to see /readyz answer 503 before the process may end. */
#define SHUTDOWN_MIN_MS 500
#define SHUTDOWN_CHECK_MS 20
#define LAST_SEND_MS 200 /* for the last messages to the agents and the store */
#define WIRE_LINGER_MS 500

struct entry_host {
	const struct settings *settings;
	struct tevent_context *ev;
	struct metrics *metrics;
	struct loopq *loop;
	struct wire *wire;
	struct store *store;
	struct configrepo *configs;
	struct membership *members;
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
	uint64_t leaving_since_ms;
};

static void on_message(const char *peer, struct msg *msg, void *ctx)
{
	struct entry_host *host = ctx;

	if (dispatch_handle_message(host->dispatch, peer, msg) ||
	    peers_message(host->peers, peer, msg))
		return;
	if (!jobs_message(host->jobs, peer, msg))
		log_debug("message_ignored", "", "%s from %s", msg_type_name(msg->type), peer);
}

static void on_config(uint64_t revision, void *ctx)
{
	struct entry_host *host = ctx;
	struct config *config;

	log_info("config_in_force", "", "revision %" PRIu64, revision);
	if (!host->dispatch)
		return;
	config = configrepo_current(host->configs);
	if (!config)
		return;
	dispatch_configure(host->dispatch, config);
	configrepo_release(host->configs, config);
}

static void on_entry_count(uint32_t count, void *ctx)
{
	struct entry_host *host = ctx;

	filters_set_entries(host->filters, count);
}

static void on_jobs_closed(void *ctx)
{
	struct entry_host *host = ctx;

	host->jobs_closed = true;
}

static void on_last_send_timeout(struct tevent_context *ev, struct tevent_timer *te,
				 struct timeval current, void *data)
{
	struct entry_host *host = data;

	host->finished = true;
}

static void check_shutdown(struct tevent_context *ev, struct tevent_timer *te,
			   struct timeval current, void *data)
{
	struct entry_host *host = data;
	uint64_t elapsed_ms = util_clock_ms() - host->leaving_since_ms;
	bool idle = host->jobs_closed && !api_active_calls(host->api) &&
		    !dispatch_active(host->dispatch);

	if (elapsed_ms >= host->settings->shutdown_grace_ms && !idle)
		log_warn("shutdown_grace_over", "", "%" PRIu32 " calls are cut off",
			 api_active_calls(host->api));
	if ((idle && elapsed_ms >= SHUTDOWN_MIN_MS) ||
	    elapsed_ms >= host->settings->shutdown_grace_ms) {
		peers_leave(host->peers);
		tevent_add_timer(ev, host, tevent_timeval_current_ofs(0, LAST_SEND_MS * 1000),
				 on_last_send_timeout, host);
		return;
	}
	tevent_add_timer(ev, host, tevent_timeval_current_ofs(0, SHUTDOWN_CHECK_MS * 1000),
			 check_shutdown, host);
}

static void on_signal(struct tevent_context *ev, struct tevent_signal *se, int signum, int count,
		      void *info, void *data)
{
	struct entry_host *host = data;

	if (host->leaving)
		return;
	host->leaving = true;
	host->leaving_since_ms = util_clock_ms();
	log_info("shutdown_started", "", "%" PRIu32 " calls in progress",
		 api_active_calls(host->api));
	filters_set_leaving(host->filters);
	jobs_shutdown(host->jobs, on_jobs_closed, host);
	tevent_add_timer(ev, host, tevent_timeval_current_ofs(0, SHUTDOWN_CHECK_MS * 1000),
			 check_shutdown, host);
}

/* A configured port of 0 stands for the port that the socket was bound to. */
static char *advertised_address(struct entry_host *host)
{
	const char *bound = wire_address(host->wire);
	const char *set = host->settings->advertise_address;
	const char *colon = set ? strrchr(set, ':') : NULL;

	if (!colon)
		return talloc_strdup(host, bound);
	if (strcmp(colon, ":0") != 0)
		return talloc_strdup(host, set);
	return talloc_asprintf(host, "%.*s%s", (int)(colon - set), set, strrchr(bound, ':'));
}

static int open_transport(struct entry_host *host, struct err *err)
{
	const struct settings *settings = host->settings;
	struct wire_handlers handlers = {on_message, host};
	struct store_options options = {settings->store_endpoints, settings->store_endpoint_count,
					0, 0, 0};

	host->wire = wire_create(host, host->ev, host->self, settings->peer_address, &handlers,
				 host->metrics, err);
	if (!host->wire)
		return -(int)err->code;
	host->peer_address = advertised_address(host);
	host->store = store_create(host, host->ev, &options, host->metrics, err);
	return host->store ? 0 : -(int)err->code;
}

static int create_request_path(struct entry_host *host, struct err *err)
{
	struct dispatch_deps deps;

	host->members = member_create(host, host->self);
	host->configs =
		configrepo_create(host, host->ev, host->store, host->metrics, on_config, host);
	host->filters = filters_create(host, host->configs, host->metrics, err);
	if (!host->filters)
		return -(int)err->code;
	host->claims = claims_create(host, host->ev, host->store, host->metrics);
	deps = (struct dispatch_deps){
		.ev = host->ev,
		.wire = host->wire,
		.members = host->members,
		.store = host->store,
		.configs = host->configs,
		.claims = host->claims,
		.loop = host->loop,
		.metrics = host->metrics,
		.self = host->self,
		.zone = host->settings->zone,
	};
	host->dispatch = dispatch_create(host, &deps);
	return 0;
}

static void create_control(struct entry_host *host)
{
	struct peers_deps peers = {
		.ev = host->ev,
		.wire = host->wire,
		.store = host->store,
		.members = host->members,
		.configs = host->configs,
		.metrics = host->metrics,
		.settings = host->settings,
		.self = host->self,
		.incarnation = host->incarnation,
		.peer_address = host->peer_address,
		.http_address = host->http_address,
		.on_entries = on_entry_count,
		.ctx = host,
	};
	struct jobs_deps jobs = {
		.ev = host->ev,
		.wire = host->wire,
		.store = host->store,
		.configs = host->configs,
		.members = host->members,
		.metrics = host->metrics,
		.self = host->self,
		.region = host->settings->region,
		.address = host->peer_address,
	};

	host->peers = peers_create(host, &peers);
	host->jobs = jobs_create(host, &jobs);
}

static int open_http(struct entry_host *host, int fd, struct err *err)
{
	struct api_deps deps = {
		.ev = host->ev,
		.loop = host->loop,
		.filters = host->filters,
		.dispatch = host->dispatch,
		.peers = host->peers,
		.jobs = host->jobs,
		.configs = host->configs,
		.members = host->members,
		.metrics = host->metrics,
		.settings = host->settings,
		.self = host->self,
	};

	host->api = api_create(host, &deps, fd, err);
	return host->api ? 0 : -(int)err->code;
}

/* Each caller's connection takes a descriptor; the default soft limit is often only 1024. */
static void raise_file_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static int start_modules(struct entry_host *host, struct err *err)
{
	int fd = -1;
	int ret;

	host->http_address = api_listen(host, host->settings->http_address, &fd, err);
	if (!host->http_address)
		return -(int)err->code;
	ret = open_transport(host, err);
	if (ret)
		return ret;
	ret = create_request_path(host, err);
	if (ret)
		return ret;
	create_control(host);
	ret = open_http(host, fd, err);
	if (ret)
		return ret;
	printf("listening http %s peer %s\n", host->http_address, wire_address(host->wire));
	fflush(stdout);
	return 0;
}

static void stop_modules(struct entry_host *host)
{
	log_info("shutdown_done", "", "%s", host->self);
	api_stop(host->api);
	loopq_destroy(host->loop);
	TALLOC_FREE(host->jobs);
	TALLOC_FREE(host->peers);
	TALLOC_FREE(host->dispatch);
	TALLOC_FREE(host->claims);
	api_destroy(host->api);
	TALLOC_FREE(host->filters);
	TALLOC_FREE(host->configs);
	TALLOC_FREE(host->store);
	wire_destroy(host->wire, WIRE_LINGER_MS);
}

int entry_run(const struct settings *settings)
{
	struct entry_host *host = talloc_zero(NULL, struct entry_host);
	struct err err = {0};

	signal(SIGPIPE, SIG_IGN);
	raise_file_limit();
	host->settings = settings;
	host->ev = tevent_context_init(host);
	host->metrics = metrics_create(host);
	host->loop = loopq_create(host, host->ev);
	host->incarnation = util_wall_ms();
	host->self = talloc_asprintf(host, "%s#%" PRIu64, settings->node, host->incarnation);
	tevent_add_signal(host->ev, host, SIGTERM, 0, on_signal, host);
	tevent_add_signal(host->ev, host, SIGINT, 0, on_signal, host);
	if (start_modules(host, &err)) {
		fprintf(stderr, "%s; %s\n", err.message, err.remedy);
		return 1;
	}
	while (!host->finished)
		tevent_loop_once(host->ev);
	stop_modules(host);
	talloc_free(host);
	return 0;
}
