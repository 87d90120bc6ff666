#include "entry.h"
#include "log.h"
#include "settings.h"

#include <argp.h>
#include <stdlib.h>

const char *argp_program_version = "jaycourse-entry " JAYCOURSE_VERSION;

#define OVERRIDES_MAX 64

struct arguments {
	const char *config;
	const char *overrides[OVERRIDES_MAX];
	size_t override_count;
};

static const struct argp_option options[] = {
	{"config", 'c', "FILE", 0, "JSON file with the settings of this process", 0},
	{"set", 's', "KEY=VALUE", 0, "Override one setting; may be repeated", 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	switch (key) {
	case 'c':
		arguments->config = arg;
		return 0;
	case 's':
		if (arguments->override_count == OVERRIDES_MAX)
			argp_error(state, "more than %d --set options", OVERRIDES_MAX);
		arguments->overrides[arguments->override_count++] = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.doc = "Entry host of jaycourse: serves HTTP to callers and operators.",
	};
	struct arguments arguments = {0};
	const struct settings *settings;
	char *report = NULL;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	settings = settings_load(NULL, SETTINGS_ENTRY, arguments.config, arguments.overrides,
				 arguments.override_count, &report);
	if (!settings) {
		fprintf(stderr, "%s\n", report ? report : "the settings cannot be loaded");
		return 2;
	}
	log_init("jaycourse-entry", settings->node, settings->verbose);
	return entry_run(settings);
}
