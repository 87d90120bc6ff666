#include "lib_fleethosts.h"

#include "util.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#define TICK_MS 20
#define CHECK_MS 500
#define LEADER_POLL_MS 300
#define RETRY_MS 100
#define STOP_LIMIT_MS 9000 /* SIGTERM to the end of the process, which has 6 s of grace */
#define SELF_RESTART_MS 1000
#define RACK_WORKERS 3
/*
 * poll() of a single descriptor fails below a limit of 1, which no lack of descriptors does; libzmq
 * ends the process then.
 */
#define DESCRIPTORS_LEAST 1
#define HEARTBEAT_SLOW_MS 330 /* the longest time between two heartbeats of a worker */
#define YOUNG_MS 500	      /* after its start a process may not handle signals yet */

/* Second bytes of the addresses of runs: one of these for each run on the machine. */
#define NETWORK_FIRST 64
#define NETWORK_COUNT 128

/* Last byte of the address of the first host of each role. */
#define NUMBER_STORE 1
#define NUMBER_ENTRY 10
#define NUMBER_AGENT 20
#define NUMBER_WORKER 130
#define NUMBER_LOCK 255

struct fleetlink {
	struct netlink *netlink;
	const struct fleethost *caller;
	const struct fleethost *target;
};

struct fleetstep {
	uint64_t at_ms;
	enum fleetaction action;
	struct fleethost *host;
	uint32_t value;
};

/* The hosts are ordered by role: the store, the entries, the agents, the workers. */
static unsigned int role_first(const struct fleethosts *fleet, enum fleetrole role)
{
	const unsigned int first[] = {0, 1, 1 + fleet->entries,
				      1 + fleet->entries + fleet->workers};

	return first[role];
}

unsigned int fleethosts_count(const struct fleethosts *fleet, enum fleetrole role)
{
	if (role == ROLE_STORE)
		return 1;
	return role == ROLE_ENTRY ? fleet->entries : fleet->workers;
}

struct fleethost *fleethosts_at(struct fleethosts *fleet, enum fleetrole role, unsigned int index)
{
	return &fleet->hosts[role_first(fleet, role) + index];
}

void fleethosts_log(struct fleethosts *fleet, const char *format, ...)
{
	uint64_t now_ms = util_clock_ms();
	va_list args;

	fprintf(fleet->events, "%" PRIu64 " (%.2f s) ", now_ms,
		(double)(now_ms - fleet->began_ms) / 1000.0);
	va_start(args, format);
	vfprintf(fleet->events, format, args);
	va_end(args);
	fputc('\n', fleet->events);
	fflush(fleet->events);
}

char *fleethosts_address(struct fleethosts *fleet, const struct fleethost *caller,
			 const struct fleethost *host, unsigned int port)
{
	return talloc_asprintf(fleet->ev, "127.%u.%u.%u:%u", fleet->network,
			       caller ? caller->number : 0, host->number, port);
}

static bool is_up(const struct fleethost *host)
{
	return !host->start_ms;
}

static bool is_free(const struct fleethost *host)
{
	return is_up(host) && !host->thaw_ms && !host->stop_limit_ms;
}

static void update_links(struct fleethosts *fleet, uint64_t now_ms)
{
	for (guint i = 0; i < fleet->links->len; i++) {
		struct fleetlink *link = &g_array_index(fleet->links, struct fleetlink, i);
		ptrdiff_t ends[] = {link->caller - fleet->hosts, link->target - fleet->hosts};
		enum netproxy_flow worst = NETPROXY_PASS;

		for (int d = 0; d < NETPROXY_DIRECTIONS; d++) {
			enum netproxy_flow flow = NETPROXY_PASS;
			uint32_t delay_ms = 0;

			for (guint c = 0; c < fleet->cuts->len; c++) {
				const struct fleetcut *cut =
					&g_array_index(fleet->cuts, struct fleetcut, c);

				if (cut->from_ms > now_ms || !cut->from[ends[d]] ||
				    !cut->to[ends[1 - d]])
					continue;
				flow = MAX(flow, cut->flow);
				delay_ms = MAX(delay_ms, cut->delay_ms);
			}
			worst = MAX(worst, flow);
			netlink_set(link->netlink, d, flow, delay_ms);
		}
		/* A caller that is cut off does not see that nobody listens at the target. */
		netlink_listen(link->netlink, worst == NETPROXY_PASS ? is_up(link->target)
								     : worst != NETPROXY_REFUSE);
	}
}

static void add_links(struct fleethosts *fleet, const struct fleethost *caller, enum fleetrole role,
		      unsigned int port)
{
	for (unsigned int i = 0; i < fleethosts_count(fleet, role); i++) {
		const struct fleethost *target = fleethosts_at(fleet, role, i);
		struct fleetlink link = {.caller = caller, .target = target};

		if (caller == target || (port >= PORT_CONTROL && caller->index != target->index))
			continue;
		link.netlink =
			netproxy_add(fleet->proxy, fleethosts_address(fleet, caller, target, port),
				     fleethosts_address(fleet, NULL, target, port));
		g_array_append_val(fleet->links, link);
	}
}

static void create_links(struct fleethosts *fleet)
{
	for (unsigned int i = 0; i < fleet->host_count; i++) {
		const struct fleethost *host = &fleet->hosts[i];

		if (host->role == ROLE_WORKER)
			add_links(fleet, host, ROLE_AGENT, PORT_CONTROL);
		if (host->role == ROLE_STORE || host->role == ROLE_WORKER)
			continue;
		add_links(fleet, host, ROLE_STORE, PORT_STORE);
		add_links(fleet, host, ROLE_ENTRY, PORT_MESSAGES);
		if (host->role == ROLE_ENTRY)
			add_links(fleet, host, ROLE_AGENT, PORT_MESSAGES);
		else
			add_links(fleet, host, ROLE_WORKER, PORT_WORKER);
	}
}

/* A process ignores the settings of the other role. */
static bool write_settings(struct fleethosts *fleet, struct fleethost *host)
{
	const struct fleethost *store = fleethosts_at(fleet, ROLE_STORE, 0);
	const struct fleethost *worker = fleethosts_at(fleet, ROLE_WORKER, host->index);
	json_t *json =
		json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:i}", "node", host->name,
			  "message_address", fleethosts_address(fleet, NULL, host, PORT_MESSAGES),
			  "store_address", fleethosts_address(fleet, NULL, store, PORT_STORE),
			  "callers_address", fleethosts_address(fleet, NULL, host, PORT_CALLERS),
			  "ready_address", fleethosts_address(fleet, NULL, host, PORT_READY),
			  "control_address", fleethosts_address(fleet, NULL, host, PORT_CONTROL),
			  "worker_address", fleethosts_address(fleet, NULL, worker, PORT_WORKER),
			  "service", "s", "grace_s", 6, "stop_ms", 200);
	char *path = talloc_asprintf(NULL, "%s/%s.json", proc_log_folder(), host->name);
	bool written;

	if (fleet->zoned)
		json_object_set_new(json, "evacuate_ms", json_integer(FLEETCHECK_EVACUATE_MS));
	g_strlcpy(host->settings, path, sizeof(host->settings));
	written = json_dump_file(json, path, 0) == 0;
	json_decref(json);
	talloc_free(path);
	return written;
}

static unsigned int worker_rack(const struct fleethost *worker)
{
	return worker->index / RACK_WORKERS;
}

unsigned int fleethosts_zones(const struct fleethosts *fleet)
{
	return fleet->zoned ? (fleet->workers + RACK_WORKERS - 1) / RACK_WORKERS : 1;
}

static void zone_name(const struct fleethosts *fleet, unsigned int zone, char *out, size_t len)
{
	if (fleet->zoned)
		snprintf(out, len, "z%u", zone);
	else
		snprintf(out, len, "z");
}

/* While it exists, redirect_connect.c lets no connection begin. */
static char *ports_file(const struct fleethost *host)
{
	return g_strdup_printf("%s/%s.noports", proc_log_folder(), host->name);
}

static bool spawn(struct fleethosts *fleet, struct fleethost *host, const char *program,
		  const char *const *arguments)
{
	const char *folder = getenv("JAYCOURSE_BIN");
	g_autofree char *preload =
		g_strdup_printf("LD_PRELOAD=%s/redirect_connect.so", folder ? folder : "build/bin");
	g_autofree char *redirect =
		g_strdup_printf("JAYCOURSE_REDIRECT=%u %u", fleet->network, host->number);
	g_autofree char *ports = ports_file(host);
	g_autofree char *no_ports = g_strdup_printf("JAYCOURSE_NO_PORTS=%s", ports);
	const char *const environment[] = {redirect, preload, no_ports, NULL};
	struct fleetlife life = {.identifier = host->identifiers};
	char label[32];
	char zone[16];

	snprintf(label, sizeof(label), "%s-%u", host->name, ++host->processes);
	if (!proc_spawn(&host->proc, program, label, arguments,
			host->role == ROLE_STORE ? NULL : environment))
		return false;
	host->start_ms = 0;
	host->started_ms = util_clock_ms();
	if (host->role == ROLE_WORKER) {
		host->log = fopen(host->proc.log, "a+");
		host->record = fleetcheck_worker(fleet->check, label);
		zone_name(fleet, worker_rack(host), zone, sizeof(zone));
		fleetcheck_zone(fleet->check, host->record, zone);
		host->delayed_start = false;
		host->draining = false;
		life.began_ms = host->started_ms;
		g_array_append_val(host->lives, life);
	}
	return true;
}

static void worker_id(const struct fleethost *worker, unsigned int identifier, char *out,
		      size_t len)
{
	snprintf(out, len, "i-%u-%u", worker->index, identifier);
}

static bool start_host(struct fleethosts *fleet, struct fleethost *host)
{
	const char *const node[] = {host->role == ROLE_ENTRY ? "entry" : "agent", "--config",
				    host->settings, NULL};
	g_autofree char *journal = g_strdup_printf("%s/store.journal", proc_log_folder());
	char id[24];
	char zone[16];
	g_autofree char *late_calls = g_strdup_printf("%s/%s.late", proc_log_folder(), host->name);
	g_autofree char *seed = g_strdup_printf(
		"%" PRIu64, fleet->seed * 10000 + host->index * 100 + host->processes);
	g_autofree char *rack = g_strdup_printf("r%u", worker_rack(host));
	g_autofree char *clock_back = g_strdup_printf("%u", host->clock_back_ms);
	const char *const store[] = {fleethosts_address(fleet, NULL, host, PORT_STORE), journal,
				     NULL};
	const char *const worker[] = {
		id,
		"s",
		rack,
		fleethosts_address(fleet, NULL, fleethosts_at(fleet, ROLE_AGENT, host->index),
				   PORT_CONTROL),
		fleethosts_address(fleet, NULL, host, PORT_WORKER),
		late_calls,
		seed,
		clock_back,
		zone,
		NULL};

	worker_id(host, host->identifiers, id, sizeof(id));
	zone_name(fleet, worker_rack(host), zone, sizeof(zone));
	fleethosts_log(fleet, "start %s", host->name);
	if (host->role == ROLE_STORE)
		return spawn(fleet, host, "fake_platform", store);
	if (host->role == ROLE_WORKER)
		return spawn(fleet, host, "fake_minion", worker);
	return write_settings(fleet, host) && spawn(fleet, host, "jaycourse-fleet", node);
}

static void read_worker_log(struct fleethosts *fleet, struct fleethost *host)
{
	struct fleetlife *life =
		&g_array_index(host->lives, struct fleetlife, host->lives->len - 1);
	char line[256];

	clearerr(host->log);
	while (fgets(line, sizeof(line), host->log)) {
		fleetcheck_line(fleet->check, host->record, line);
		if (!strcmp(line, "delay /v1/run-start\n"))
			host->delayed_start = true;
		if (g_str_has_prefix(line, "drain 0 "))
			host->draining = false;
		sscanf(line, "born %" SCNu64, &life->born_ms);
	}
}

bool fleethosts_describe(struct fleethosts *fleet, struct fleethost *worker, unsigned int back,
			 struct badinput_worker *out)
{
	const struct fleetlife *life;
	uint64_t lasted_ms;

	if (is_up(worker))
		read_worker_log(fleet, worker);
	if (back >= worker->lives->len)
		return false;
	life = &g_array_index(worker->lives, struct fleetlife, worker->lives->len - 1 - back);
	if (!life->born_ms)
		return false;
	lasted_ms = (life->ended_ms ? life->ended_ms : util_clock_ms()) - life->began_ms;
	*out = (struct badinput_worker){.service = "s", .kind = "a"};
	zone_name(fleet, worker_rack(worker), out->zone, sizeof(out->zone));
	worker_id(worker, life->identifier, out->id, sizeof(out->id));
	snprintf(out->rack, sizeof(out->rack), "r%u", worker_rack(worker));
	snprintf(out->address, sizeof(out->address), "127.%u.0.%u:%u", fleet->network,
		 worker->number, PORT_WORKER);
	out->born_ms = life->born_ms;
	out->clock_ms = lasted_ms;
	out->sequence = lasted_ms / HEARTBEAT_SLOW_MS;
	out->draining = back == 0 && worker->draining;
	return true;
}

static uint64_t count_descriptors(pid_t pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/fd", (int)pid);
	DIR *folder = opendir(path);
	uint64_t count = 0;

	while (folder && readdir(folder))
		count++;
	if (folder)
		closedir(folder);
	return count;
}

/*
 * Nothing new can be opened until a descriptor below the limit is closed. The limit differs by the
 * duration, so an agent sometimes keeps a few descriptors for new connections.
 */
static void limit_descriptors(struct fleethost *host, uint32_t ms)
{
	struct rlimit limit;

	if (prlimit(host->proc.pid, RLIMIT_NOFILE, NULL, &limit))
		return;
	limit.rlim_cur = MIN(limit.rlim_max,
			     DESCRIPTORS_LEAST + ms % (count_descriptors(host->proc.pid) + 1));
	prlimit(host->proc.pid, RLIMIT_NOFILE, &limit, NULL);
	host->limit_end_ms = util_clock_ms() + ms;
}

static void take_ports(struct fleethost *host, uint32_t ms)
{
	g_autofree char *path = ports_file(host);

	g_file_set_contents(path, "", 0, NULL);
	host->limit_end_ms = util_clock_ms() + ms;
}

static void end_limits(struct fleethost *host)
{
	g_autofree char *path = ports_file(host);
	struct rlimit limit;

	host->limit_end_ms = 0;
	unlink(path);
	if (host->proc.pid <= 0 || getrlimit(RLIMIT_NOFILE, &limit))
		return;
	prlimit(host->proc.pid, RLIMIT_NOFILE, &limit, NULL);
}

/* Called when the process has ended; it is started again after @restart_ms. */
static void host_ended(struct fleethosts *fleet, struct fleethost *host, uint32_t restart_ms)
{
	host->start_ms = util_clock_ms() + restart_ms;
	host->thaw_ms = 0;
	host->stop_limit_ms = 0;
	if (host->limit_end_ms)
		end_limits(host);
	if (host->role != ROLE_WORKER)
		return;
	read_worker_log(fleet, host);
	g_array_index(host->lives, struct fleetlife, host->lives->len - 1).ended_ms =
		util_clock_ms();
	fleetcheck_worker_gone(fleet->check, host->record, util_clock_ms());
	fclose(host->log);
}

static void on_ignored_answer(int status, int http_status, const char *body, size_t len, void *ctx)
{
}

void fleethosts_put(struct fleethosts *fleet, const struct fleethost *host, unsigned int port,
		    const char *path, const char *body)
{
	char *url = talloc_asprintf(fleet->ev, "http://%s%s",
				    fleethosts_address(fleet, NULL, host, port), path);
	struct httpc_request request = {.method = "PUT",
					.url = url,
					.body = body,
					.body_len = strlen(body),
					.timeout_ms = 1000,
					.done = on_ignored_answer};

	httpc_start(fleet->http, &request);
	talloc_free(url);
}

static void put_number(struct fleethosts *fleet, const struct fleethost *host, unsigned int port,
		       const char *path, uint32_t value)
{
	g_autofree char *whole = g_strdup_printf("%s%u", path, value);

	fleethosts_put(fleet, host, port, whole, "");
}

void fleethosts_later(struct fleethosts *fleet, uint32_t ms, enum fleetaction action,
		      struct fleethost *host, uint32_t value)
{
	struct fleetstep step = {util_clock_ms() + ms, action, host, value};

	g_array_append_val(fleet->steps, step);
}

/* A key of an operator that the store has not acknowledged yet. */
struct zone_call {
	struct fleethosts *fleet;
	unsigned int zone;
	bool evacuate;
	uint64_t sent_ms;
};

static void on_zone_answer(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct zone_call *call = ctx;
	struct fleethosts *fleet = call->fleet;
	struct fleethost *store = fleethosts_at(fleet, ROLE_STORE, 0);
	bool stored = status == 0 && http_status == 200;
	char zone[16];

	zone_name(fleet, call->zone, zone, sizeof(zone));
	fleethosts_log(fleet, "%s of %s %s", call->evacuate ? "evacuation" : "return", zone,
		       stored ? "acknowledged" : "not acknowledged");
	/* Which of two overlapping calls took effect last is not known. */
	if (stored && call->evacuate && call->sent_ms > fleet->returned_ms)
		fleetcheck_evacuated(fleet->check, zone, util_clock_ms());
	else if (!stored && !call->evacuate)
		fleethosts_later(fleet, RETRY_MS, ACTION_RETURN, store, call->zone);
	talloc_free(call);
}

static void operate_zone(struct fleethosts *fleet, unsigned int number, bool evacuate)
{
	const struct fleethost *store = fleethosts_at(fleet, ROLE_STORE, 0);
	struct zone_call *call = talloc_zero(fleet, struct zone_call);
	struct httpc_request request = {.method = evacuate ? "PUT" : "DELETE",
					.body = evacuate ? "{}" : "",
					.body_len = evacuate ? 2 : 0,
					.timeout_ms = 1000,
					.done = on_zone_answer,
					.ctx = call};
	char zone[16];
	char *url;

	*call = (struct zone_call){fleet, number, evacuate, util_clock_ms()};
	zone_name(fleet, number, zone, sizeof(zone));
	url = talloc_asprintf(call, "http://%s/operator/op/evacuate/%s",
			      fleethosts_address(fleet, NULL, store, PORT_STORE), zone);
	request.url = url;
	if (!evacuate) {
		fleet->returned_ms = call->sent_ms;
		fleetcheck_returned(fleet->check, zone, call->sent_ms);
	}
	httpc_start(fleet->http, &request);
}

static void take_step(struct fleethosts *fleet, const struct fleetstep *step)
{
	static const char *const names[] = {"kill",   "terminate", "replace",	  "crash",
					    "freeze", "reload",	   "reset",	  "descriptors",
					    "ports",  "clock",	   "late orders", "drain",
					    "notice", "evacuate",  "return",	  "store fault"};
	struct fleethost *host = step->host;

	if (step->action == ACTION_CLOCK) {
		fleethosts_log(fleet, "the clock of %s is back by %u ms", host->name, step->value);
		host->clock_back_ms = step->value;
		return;
	}
	if (is_up(host) && host->thaw_ms && step->action >= ACTION_DRAIN)
		fleethosts_later(fleet, RETRY_MS, step->action, host, step->value);
	if (is_up(host) && util_clock_ms() < host->started_ms + YOUNG_MS &&
	    (step->action == ACTION_TERMINATE || step->action == ACTION_RELOAD)) {
		fleethosts_later(fleet, RETRY_MS, step->action, host, step->value);
		return;
	}
	if (step->action == ACTION_CRASH && !host->delayed_start) {
		fleethosts_later(fleet, TICK_MS, step->action, host, step->value);
		return;
	}
	if (!is_free(host) && !(is_up(host) && step->action == ACTION_RELOAD))
		return;
	fleethosts_log(fleet, "%s %s %u", names[step->action], host->name, step->value);
	switch (step->action) {
	case ACTION_KILL:
	case ACTION_CRASH:
		proc_kill(&host->proc);
		host_ended(fleet, host, step->value);
		break;
	case ACTION_REPLACE:
		host->identifiers++;
		proc_kill(&host->proc);
		host_ended(fleet, host, step->value);
		break;
	case ACTION_RELOAD:
		proc_signal(&host->proc, SIGHUP);
		break;
	case ACTION_TERMINATE:
		proc_signal(&host->proc, SIGTERM);
		host->stop_limit_ms = util_clock_ms() + STOP_LIMIT_MS;
		host->restart_ms = step->value;
		break;
	case ACTION_FREEZE:
		proc_signal(&host->proc, SIGSTOP);
		host->thaw_ms = util_clock_ms() + step->value;
		break;
	case ACTION_RESET:
		fleethosts_reset(fleet, host);
		break;
	case ACTION_DESCRIPTORS:
		limit_descriptors(host, step->value);
		break;
	case ACTION_PORTS:
		take_ports(host, step->value);
		break;
	case ACTION_LATE_ORDERS:
		put_number(fleet, host, PORT_WORKER, "/test/late/", step->value);
		break;
	case ACTION_DRAIN:
		host->draining = host->draining || step->value;
		put_number(fleet, host, PORT_WORKER, "/test/drain/", step->value);
		break;
	case ACTION_NOTICE:
		host->draining = true;
		put_number(fleet, host, PORT_WORKER, "/test/notice/", step->value);
		break;
	case ACTION_EVACUATE:
	case ACTION_RETURN:
		operate_zone(fleet, step->value, step->action == ACTION_EVACUATE);
		break;
	default:
		fleet->store_fault = step->value != 0;
		put_number(fleet, host, PORT_STORE, "/trouble/", step->value);
		break;
	}
}

static void print_set(struct fleethosts *fleet, GString *text, const bool *set)
{
	for (unsigned int i = 0; i < fleet->host_count; i++) {
		if (set[i])
			g_string_append_printf(text, " %s", fleet->hosts[i].name);
	}
}

void fleethosts_cut(struct fleethosts *fleet, const struct fleetcut *pattern, uint32_t after_ms,
		    uint32_t ms)
{
	static const char *const names[] = {"delay", "hold", "drop", "refuse"};
	g_autoptr(GString) text = g_string_new("");
	struct fleetcut cut = *pattern;

	cut.from_ms = util_clock_ms() + after_ms;
	cut.until_ms = cut.from_ms + ms;
	g_string_printf(text, "%s %u ms, after %u ms, for %u ms, from", names[cut.flow],
			cut.delay_ms, after_ms, ms);
	print_set(fleet, text, cut.from);
	g_string_append(text, " to");
	print_set(fleet, text, cut.to);
	fleethosts_log(fleet, "%s", text->str);
	g_array_append_val(fleet->cuts, cut);
}

static void check_process(struct fleethosts *fleet, struct fleethost *host, uint64_t now_ms)
{
	int status = 0;

	if (is_up(host) && proc_ended(&host->proc, &status)) {
		bool asked = host->stop_limit_ms && WIFEXITED(status) && WEXITSTATUS(status) == 0;
		g_autofree char *text =
			g_strdup_printf("%s, process %u: wait status 0x%x", host->name,
					host->processes, (unsigned int)status);

		if (!asked)
			fleetcheck_report(fleet->check,
					  host->stop_limit_ms ? "failed end after SIGTERM"
							      : "process ended by itself",
					  text);
		host_ended(fleet, host, host->stop_limit_ms ? host->restart_ms : SELF_RESTART_MS);
	} else if (host->stop_limit_ms && now_ms > host->stop_limit_ms) {
		fleetcheck_report(fleet->check, "process did not stop", host->name);
		proc_kill(&host->proc);
		host_ended(fleet, host, host->restart_ms);
	}
	if (host->thaw_ms && now_ms >= host->thaw_ms) {
		fleethosts_log(fleet, "wake %s", host->name);
		proc_signal(&host->proc, SIGCONT);
		host->thaw_ms = 0;
	}
	if (host->limit_end_ms && now_ms >= host->limit_end_ms) {
		fleethosts_log(fleet, "%s has descriptors and ports", host->name);
		end_limits(host);
	}
	if (host->start_ms && now_ms >= host->start_ms) {
		if (!start_host(fleet, host))
			fleetcheck_report(fleet->check, "process did not start", host->name);
	}
}

static void end_cuts(struct fleethosts *fleet, uint64_t now_ms)
{
	for (guint i = fleet->cuts->len; i > 0; i--) {
		if (g_array_index(fleet->cuts, struct fleetcut, i - 1).until_ms > now_ms)
			continue;
		g_array_remove_index(fleet->cuts, i - 1);
		fleethosts_log(fleet, "%u cuts left", fleet->cuts->len);
	}
}

static void take_due_steps(struct fleethosts *fleet, uint64_t now_ms)
{
	for (guint i = 0; i < fleet->steps->len;) {
		struct fleetstep step = g_array_index(fleet->steps, struct fleetstep, i);

		if (step.at_ms > now_ms) {
			i++;
			continue;
		}
		g_array_remove_index(fleet->steps, i);
		take_step(fleet, &step);
	}
}

static void on_leader(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct fleethosts *fleet = ctx;
	json_t *json = status ? NULL : json_loadb(body, len, 0, NULL);
	const char *value = json_string_value(json_object_get(json, "value"));
	gsize value_len = 0;
	guchar *text = value ? g_base64_decode(value, &value_len) : NULL;
	json_t *record = text ? json_loadb((char *)text, value_len, 0, NULL) : NULL;
	const char *node = json_string_value(json_object_get(record, "node"));

	if (node && strcmp(node, fleet->leader) != 0) {
		g_strlcpy(fleet->leader, node, sizeof(fleet->leader));
		fleethosts_log(fleet, "%s leads, term %d", node,
			       (int)json_integer_value(json_object_get(record, "term")));
	}
	json_decref(record);
	g_free(text);
	json_decref(json);
}

static void poll_leader(struct fleethosts *fleet)
{
	char *url = talloc_asprintf(
		fleet->ev, "http://%s/v1/kv-key?key=leader",
		fleethosts_address(fleet, NULL, fleethosts_at(fleet, ROLE_STORE, 0), PORT_STORE));
	struct httpc_request request = {.method = "GET",
					.url = url,
					.timeout_ms = LEADER_POLL_MS,
					.done = on_leader,
					.ctx = fleet};

	httpc_start(fleet->http, &request);
	talloc_free(url);
}

void fleethosts_check(struct fleethosts *fleet)
{
	for (unsigned int i = 0; i < fleet->workers; i++) {
		struct fleethost *host = fleethosts_at(fleet, ROLE_WORKER, i);

		if (is_up(host))
			read_worker_log(fleet, host);
	}
	fleetcheck_run(fleet->check);
}

void fleethosts_end_faults(struct fleethosts *fleet)
{
	uint64_t now_ms = util_clock_ms();

	g_array_set_size(fleet->steps, 0);
	g_array_set_size(fleet->cuts, 0);
	for (unsigned int i = 0; i < fleet->host_count; i++) {
		struct fleethost *host = &fleet->hosts[i];

		host->thaw_ms = MIN(host->thaw_ms, now_ms);
		host->start_ms = MIN(host->start_ms, now_ms);
		host->limit_end_ms = MIN(host->limit_end_ms, now_ms);
		if (host->role == ROLE_WORKER && is_up(host))
			fleethosts_later(fleet, 0, ACTION_DRAIN, host, 0);
		if (host->role == ROLE_STORE)
			fleethosts_later(fleet, RETRY_MS, ACTION_STORE_FAULT, host, 0);
		for (unsigned int z = 0;
		     host->role == ROLE_STORE && fleet->zoned && z < fleethosts_zones(fleet); z++)
			fleethosts_later(fleet, RETRY_MS, ACTION_RETURN, host, z);
	}
	fleethosts_log(fleet, "the faults end");
}

/* The address of a lock keeps other runs on this machine from using the same network. */
static bool take_network(struct fleethosts *fleet)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	for (unsigned int i = 0; i < NETWORK_COUNT; i++) {
		struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(PORT_STORE)};

		fleet->network = NETWORK_FIRST + ((unsigned int)getpid() + i) % NETWORK_COUNT;
		address.sin_addr.s_addr = htonl(127U << 24 | fleet->network << 16 | NUMBER_LOCK);
		if (bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
			return true;
	}
	close(fd);
	return false;
}

static void create_hosts(struct fleethosts *fleet)
{
	static const char *const names[] = {"store", "entry", "agent", "worker"};
	static const unsigned int numbers[] = {NUMBER_STORE, NUMBER_ENTRY, NUMBER_AGENT,
					       NUMBER_WORKER};

	for (enum fleetrole role = ROLE_STORE; role <= ROLE_WORKER; role++) {
		for (unsigned int i = 0; i < fleethosts_count(fleet, role); i++) {
			struct fleethost *host = fleethosts_at(fleet, role, i);

			host->role = role;
			host->index = i;
			host->number = numbers[role] + i;
			host->start_ms = 1; /* at once */
			host->lives = g_array_new(FALSE, FALSE, sizeof(struct fleetlife));
			snprintf(host->name, sizeof(host->name), "%s%u", names[role], i);
			fleet->host_count++;
		}
	}
}

void fleethosts_reset(struct fleethosts *fleet, const struct fleethost *host)
{
	fleethosts_log(fleet, "reset the connections of %s", host->name);
	for (guint i = 0; i < fleet->links->len; i++) {
		const struct fleetlink *link = &g_array_index(fleet->links, struct fleetlink, i);

		if (link->caller == host || link->target == host)
			netlink_reset(link->netlink);
	}
}

struct fleethost *fleethosts_leader(struct fleethosts *fleet)
{
	for (unsigned int i = 0; i < fleet->entries; i++) {
		struct fleethost *host = fleethosts_at(fleet, ROLE_ENTRY, i);

		if (!strcmp(host->name, fleet->leader))
			return host;
	}
	return fleethosts_at(fleet, ROLE_ENTRY, 0);
}

/* Whether a fault of the store or of a link to it or to a worker may delay a key or a start. */
static bool is_disturbed(const struct fleethosts *fleet, uint64_t now_ms)
{
	bool disturbed = !is_free(&fleet->hosts[0]) || fleet->store_fault;

	for (guint c = 0; c < fleet->cuts->len && !disturbed; c++) {
		const struct fleetcut *cut = &g_array_index(fleet->cuts, struct fleetcut, c);

		for (unsigned int i = 0; i < fleet->host_count; i++) {
			enum fleetrole role = fleet->hosts[i].role;

			if (role == ROLE_STORE || role == ROLE_WORKER)
				disturbed |= cut->from_ms <= now_ms && (cut->from[i] || cut->to[i]);
		}
	}
	return disturbed;
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		    void *ctx)
{
	struct fleethosts *fleet = ctx;
	uint64_t now_ms = util_clock_ms();

	end_cuts(fleet, now_ms);
	take_due_steps(fleet, now_ms);
	for (unsigned int i = 0; i < fleet->host_count; i++)
		check_process(fleet, &fleet->hosts[i], now_ms);
	update_links(fleet, now_ms);
	if (fleet->zoned && is_disturbed(fleet, now_ms))
		fleetcheck_disturbed(fleet->check, now_ms);
	if (now_ms >= fleet->next_poll_ms) {
		poll_leader(fleet);
		fleet->next_poll_ms = now_ms + LEADER_POLL_MS;
	}
	if (now_ms >= fleet->next_check_ms) {
		fleethosts_check(fleet);
		fleet->next_check_ms = now_ms + CHECK_MS;
	}
	tevent_add_timer(ev, fleet, tevent_timeval_current_ofs(0, TICK_MS * 1000), on_tick, fleet);
}

struct fleethosts *fleethosts_start(struct tevent_context *ev, struct fleetcheck *check,
				    unsigned int entries, unsigned int workers, bool zoned,
				    uint64_t seed)
{
	struct fleethosts *fleet = talloc_zero(ev, struct fleethosts);
	g_autofree char *events = g_strdup_printf("%s/events.log", proc_log_folder());

	fleet->ev = ev;
	fleet->check = check;
	fleet->seed = seed;
	fleet->entries = entries;
	fleet->workers = workers;
	fleet->zoned = zoned;
	fleet->events = fopen(events, "w");
	if (!fleet->events || !take_network(fleet)) {
		perror(events);
		return NULL;
	}
	fleet->began_ms = util_clock_ms();
	fleet->proxy = netproxy_create(fleet, ev);
	fleet->http = httpc_create(fleet, ev);
	fleet->links = g_array_new(FALSE, FALSE, sizeof(struct fleetlink));
	fleet->cuts = g_array_new(FALSE, FALSE, sizeof(struct fleetcut));
	fleet->steps = g_array_new(FALSE, FALSE, sizeof(struct fleetstep));
	create_hosts(fleet);
	create_links(fleet);
	on_tick(ev, NULL, tevent_timeval_zero(), fleet);
	return fleet;
}

void fleethosts_stop(struct fleethosts *fleet)
{
	for (unsigned int i = 0; i < fleet->host_count; i++)
		proc_kill(&fleet->hosts[i].proc);
}
