#include "agent.h"
#include "log.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define OVERRIDES_MAX 64

const char *argp_program_version = "jaycourse-agent " JAYCOURSE_VERSION;

struct options {
	const char *config;
	const char *overrides[OVERRIDES_MAX];
	size_t override_count;
};

struct program {
	struct agent *agent;
	bool finished;
};

static error_t parse_option(int key, char *value, struct argp_state *state)
{
	struct options *options = state->input;

	switch (key) {
	case 'c':
		options->config = value;
		return 0;
	case 's':
		if (options->override_count == OVERRIDES_MAX)
			argp_error(state, "more than %d --set options", OVERRIDES_MAX);
		options->overrides[options->override_count++] = value;
		return 0;
	case ARGP_KEY_ARG:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option argp_options[] = {
	{"config", 'c', "FILE", 0, "Process settings, a JSON file", 0},
	{"set", 's', "KEY=VALUE", 0, "Override one setting", 0},
	{0},
};

static const struct argp parser = {
	.options = argp_options,
	.parser = parse_option,
	.doc = "Agent beside one target: starts and stops work there on request of the entries.",
};

static void on_shutdown_done(void *ctx)
{
	struct program *program = ctx;

	program->finished = true;
}

static void on_stop_signal(struct tevent_context *ev, struct tevent_signal *se, int signum,
			   int count, void *info, void *data)
{
	struct program *program = data;

	agent_shutdown(program->agent, on_shutdown_done, program);
}

static int run(TALLOC_CTX *mem, const struct settings *settings)
{
	struct tevent_context *ev = tevent_context_init(mem);
	struct program program = {0};
	struct err err = {0};

	program.agent = agent_create(mem, ev, settings, &err);
	if (!program.agent) {
		fprintf(stderr, "jaycourse-agent: %s; %s\n", err.message, err.remedy);
		return EXIT_FAILURE;
	}
	tevent_add_signal(ev, mem, SIGTERM, 0, on_stop_signal, &program);
	tevent_add_signal(ev, mem, SIGINT, 0, on_stop_signal, &program);
	printf("listening http %s peer %s\n", agent_http_address(program.agent),
	       agent_peer_address(program.agent));
	fflush(stdout);
	while (!program.finished)
		tevent_loop_once(ev);
	agent_destroy(program.agent);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	struct options options = {0};
	struct settings *settings;
	char *report = NULL;
	TALLOC_CTX *mem;
	int status = EXIT_FAILURE;

	argp_parse(&parser, argc, argv, 0, NULL, &options);
	signal(SIGPIPE, SIG_IGN);
	mem = talloc_new(NULL);
	settings = settings_load(mem, SETTINGS_AGENT, options.config, options.overrides,
				 options.override_count, &report);
	if (!settings)
		fprintf(stderr, "%s", report ? report : "the settings cannot be loaded\n");
	if (settings)
		log_init("jaycourse-agent", settings->node, settings->verbose);
	if (settings)
		status = run(mem, settings);
	talloc_free(mem);
	return status;
}
