#include "fleet.h"
#include "httpc.h"
#include "log.h"
#include "platform.h"

#include <argp.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define LOG_EVENT_LIMIT_PER_S 100 /* ten times the most frequent event of the busiest day */
#define SETTINGS_POLL_S 5	  /* the settings file may change without a SIGHUP */

const char *argp_program_version = "jaycourse-fleet " JAYCOURSE_VERSION;

struct arguments {
	enum fleetnode_role role;
	bool role_given;
	bool check;
	const char *config;
};

struct program {
	TALLOC_CTX *mem;
	struct arguments arguments;
	const struct fleetnode_settings *settings;
	struct fleet_node *node;
	struct timespec settings_mtime;
	bool finished;
};

static const struct argp_option options[] = {
	{"config", 'c', "FILE", 0, "JSON file with the settings of this process", 0},
	{"check", 'k', 0, 0, "Check the settings and end", 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	switch (key) {
	case 'c':
		arguments->config = arg;
		return 0;
	case 'k':
		arguments->check = true;
		return 0;
	case ARGP_KEY_ARG:
		if (arguments->role_given ||
		    (strcmp(arg, "entry") != 0 && strcmp(arg, "agent") != 0))
			argp_error(state, "name one role, \"entry\" or \"agent\"");
		arguments->role = strcmp(arg, "entry") ? FLEETNODE_AGENT : FLEETNODE_ENTRY;
		arguments->role_given = true;
		return 0;
	case ARGP_KEY_END:
		if (!arguments->role_given || !arguments->config)
			argp_error(state, "a role and --config are required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void on_drained(void *ctx)
{
	struct program *program = ctx;

	program->finished = true;
}

static void on_stop_signal(struct tevent_context *ev, struct tevent_signal *se, int signum,
			   int count, void *info, void *ctx)
{
	struct program *program = ctx;

	log_info("stopping", "", "signal %d", signum);
	fleet_drain(program->node, on_drained, program);
}

/*
 * Checks the settings file and logs the result. The settings in use stay until a restart,
 * because addresses can't change while the process runs.
 */
static void validate_settings_file(struct program *program)
{
	char *report = NULL;
	struct fleetnode_settings *new_settings = fleetnode_load(
		program->mem, program->arguments.role, program->arguments.config, &report);

	if (!new_settings)
		log_error("settings_rejected", "",
			  "the settings file is invalid; the settings in use stay: %s", report);
	else
		log_info("settings_read", "", "%s is valid; a restart applies the changes",
			 program->arguments.config);
	talloc_free(new_settings);
	talloc_free(report);
}

/* Returns whether the modification time differs from that at the last call. */
static bool settings_file_changed(struct program *program)
{
	struct stat status;
	bool changed;

	if (stat(program->arguments.config, &status)) {
		log_warn("settings_missing", "", "%s: %s", program->arguments.config,
			 strerror(errno));
		return false;
	}
	changed = status.st_mtim.tv_sec != program->settings_mtime.tv_sec ||
		  status.st_mtim.tv_nsec != program->settings_mtime.tv_nsec;
	program->settings_mtime = status.st_mtim;
	return changed;
}

static void on_reload_signal(struct tevent_context *ev, struct tevent_signal *se, int signum,
			     int count, void *info, void *ctx)
{
	struct program *program = ctx;

	settings_file_changed(program);
	validate_settings_file(program);
}

static void on_settings_poll(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			     void *ctx)
{
	struct program *program = ctx;

	if (settings_file_changed(program))
		validate_settings_file(program);
	tevent_add_timer(ev, program->mem, tevent_timeval_current_ofs(SETTINGS_POLL_S, 0),
			 on_settings_poll, program);
}

static struct fleet_platform create_platform(TALLOC_CTX *mem, struct tevent_context *ev,
					     const struct fleetnode_settings *settings,
					     struct metrics *metrics)
{
	struct httpc *http = httpc_create(mem, ev);
	struct fleet_platform platform = {
		.kv = platform_kv_create(mem, http, settings->store_address, metrics),
		.codec = &platform_intake_codec,
		.config_key = PLATFORM_CONFIG_KEY,
		.operator_prefix = PLATFORM_OPERATOR_PREFIX,
		.evacuated_zone = platform_evacuated_zone,
		.read_config = platform_config_read,
		.read_self = platform_self_read,
		.control_call = platform_control_call,
		.is_ready_call = platform_is_ready_call,
	};

	if (settings->worker_address)
		platform.worker = platform_worker_create(mem, http, settings->worker_address);
	if (settings->advice_address)
		platform.advice = platform_advice_create(mem, http, settings->advice_address);
	return platform;
}

static int run(struct program *program)
{
	struct tevent_context *ev = tevent_context_init(program->mem);
	struct metrics *metrics = metrics_create(program->mem);
	struct fleet_platform platform =
		create_platform(program->mem, ev, program->settings, metrics);
	struct err err = {0};

	program->node = fleet_create(program->mem, ev, program->arguments.role, program->settings,
				     &platform, metrics, &err);
	if (!program->node) {
		log_error("start_failed", "", "%s. %s", err.message, err.remedy);
		return EXIT_FAILURE;
	}
	log_info("started", "", "listening for messages at %s", program->settings->message_address);
	tevent_add_signal(ev, program->mem, SIGTERM, 0, on_stop_signal, program);
	tevent_add_signal(ev, program->mem, SIGINT, 0, on_stop_signal, program);
	tevent_add_signal(ev, program->mem, SIGHUP, 0, on_reload_signal, program);
	settings_file_changed(program);
	tevent_add_timer(ev, program->mem, tevent_timeval_current_ofs(SETTINGS_POLL_S, 0),
			 on_settings_poll, program);
	while (!program->finished)
		tevent_loop_once(ev);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.args_doc = "entry|agent",
		.doc = "Job scheduler of a fleet: an entry for callers, an agent beside each "
		       "worker.",
	};
	struct program program = {.mem = talloc_new(NULL)};
	char *report = NULL;
	int status;

	argp_parse(&argp, argc, argv, 0, NULL, &program.arguments);
	signal(SIGPIPE, SIG_IGN);
	program.settings = fleetnode_load(program.mem, program.arguments.role,
					  program.arguments.config, &report);
	if (!program.settings) {
		fprintf(stderr, "jaycourse-fleet: the settings cannot be used:\n%s", report);
		return 2;
	}
	if (program.arguments.check)
		return EXIT_SUCCESS;
	log_init("jaycourse-fleet", program.settings->node, program.settings->verbose);
	log_to_stdout(LOG_EVENT_LIMIT_PER_S);
	status = run(&program);
	log_info("stopped", "", "status %d", status);
	talloc_free(program.mem);
	return status;
}
