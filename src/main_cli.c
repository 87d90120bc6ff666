#include "cli.h"
#include "platform.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENTRY_SEPARATORS " ,"

const char *argp_program_version = "jaycourse " JAYCOURSE_VERSION;

static const struct cli_command *const command_groups[] = {
	cli_job_commands,
	cli_fleet_commands,
	cli_config_commands,
	cli_trace_commands,
};

static const struct argp_option common_options[] = {
	{"entry", 'e', "URL", 0, "Entry host, may be repeated; also JAYCOURSE_ENTRY", 10},
	{"token", 't' + 256, "TOKEN", 0, "Access token; also JAYCOURSE_TOKEN", 10},
	{"output", 'o', "table|json", 0, "Format of the output", 10},
	{0},
};

static error_t parse_common(int key, char *arg, struct argp_state *state)
{
	struct cli *cli = state->input;

	switch (key) {
	case 'e':
		if (cli->entry_count == CLI_ENTRIES_MAX)
			argp_error(state, "more than %d entry hosts", CLI_ENTRIES_MAX);
		cli->entries[cli->entry_count++] = arg;
		return 0;
	case 't' + 256:
		cli->token = arg;
		return 0;
	case 'o':
		if (strcmp(arg, "json") != 0 && strcmp(arg, "table") != 0)
			argp_error(state, "--output takes table or json");
		cli->json = !strcmp(arg, "json");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

const struct argp cli_common_argp = {.options = common_options, .parser = parse_common};

/* An environment variable is used only if its option was not given. */
static void add_environment(struct cli *cli)
{
	const char *entries = getenv("JAYCOURSE_ENTRY");
	const char *token = getenv("JAYCOURSE_TOKEN");
	char *rest = NULL;
	char *list;

	if (!cli->token)
		cli->token = token ? token : "";
	if (cli->entry_count > 0 || !entries)
		return;
	list = talloc_strdup(cli->mem, entries);
	for (char *entry = strtok_r(list, ENTRY_SEPARATORS, &rest);
	     entry && cli->entry_count < CLI_ENTRIES_MAX;
	     entry = strtok_r(NULL, ENTRY_SEPARATORS, &rest))
		cli->entries[cli->entry_count++] = entry;
}

/* Inputs of the child parsers; argp asks for them once, before it parses any option. */
struct parser_inputs {
	struct cli *cli;
	void *command;
};

static error_t set_child_inputs(int key, char *arg, struct argp_state *state)
{
	struct parser_inputs *inputs = state->input;

	if (key != ARGP_KEY_INIT)
		return ARGP_ERR_UNKNOWN;
	state->child_inputs[0] = inputs->command;
	state->child_inputs[1] = inputs->cli;
	return 0;
}

void cli_parse(struct cli *cli, const struct argp *parser, int argc, char **argv, void *input)
{
	struct argp command_argp = *parser;
	const struct argp_child children[] = {
		{&command_argp, 0, NULL, 0},
		{&cli_common_argp, 0, "Common options:", 10},
		{0},
	};
	struct argp combined = {
		.parser = set_child_inputs,
		.children = children,
		.args_doc = parser->args_doc,
	};
	struct parser_inputs inputs = {cli, input};

	command_argp.args_doc = NULL;
	argp_parse(&combined, argc, argv, 0, NULL, &inputs);
	add_environment(cli);
}

static void print_usage(FILE *out)
{
	fputs("Usage: jaycourse [COMMON OPTION...] COMMAND [OPTION...]\n\nCommands:\n", out);
	for (size_t g = 0; g < sizeof(command_groups) / sizeof(command_groups[0]); g++) {
		for (const struct cli_command *command = command_groups[g]; command->name;
		     command++)
			fprintf(out, "  %-15s %s\n", command->name, command->summary);
	}
	fputs("\n\"jaycourse COMMAND --help\" shows the options of a command, with an example.\n"
	      "Exit status: 0 done, 1 failed, 2 wrong usage, 3 not run (safe to repeat), 4 "
	      "outcome\n"
	      "unknown, 5 denied, 6 not found, 7 conflict.\n"
	      "Example: jaycourse config check examples/nefeli\n",
	      out);
}

/* Returns the number of words in @name if the arguments start with them, otherwise 0. */
static int matching_words(const char *name, int argc, char **argv)
{
	const char *space = strchr(name, ' ');
	size_t len = space ? (size_t)(space - name) : strlen(name);

	if (argc < 2 || strlen(argv[1]) != len || strncmp(argv[1], name, len) != 0)
		return 0;
	if (!space)
		return 1;
	return argc > 2 && !strcmp(argv[2], space + 1) ? 2 : 0;
}

static int run_command(struct cli *cli, int argc, char **argv)
{
	for (size_t g = 0; g < sizeof(command_groups) / sizeof(command_groups[0]); g++) {
		for (const struct cli_command *command = command_groups[g]; command->name;
		     command++) {
			int words = matching_words(command->name, argc, argv);

			if (!words)
				continue;
			argv[words] = talloc_asprintf(cli->mem, "jaycourse %s", command->name);
			return command->run(cli, argc - words, argv + words);
		}
	}
	print_usage(stderr);
	return CLI_USAGE;
}

/* The arguments before the command. */
struct leading_arguments {
	struct cli *cli;
	int command; /* index of the command's first word; 0: no command was given */
	bool help;
	bool version;
};

static const struct argp_option leading_options[] = {
	{"help", 'h', NULL, 0, NULL, 0},
	{"version", 'V', NULL, 0, NULL, 0},
	{0},
};

static error_t parse_leading_option(int key, char *arg, struct argp_state *state)
{
	struct leading_arguments *leading = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = leading->cli;
		return 0;
	case 'h':
		leading->help = true;
		return 0;
	case 'V':
		leading->version = true;
		return 0;
	case ARGP_KEY_ARG:
		leading->command = state->next - 1;
		state->next = state->argc; /* the rest belongs to the command */
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int run_program(struct cli *cli, int argc, char **argv)
{
	static const struct argp_child children[] = {{&cli_common_argp, 0, NULL, 0}, {0}};
	static const struct argp argp = {
		.options = leading_options, .parser = parse_leading_option, .children = children};
	struct leading_arguments leading = {.cli = cli};

	argp_parse(&argp, argc, argv, ARGP_IN_ORDER | ARGP_NO_HELP, NULL, &leading);
	if (leading.version) {
		puts(argp_program_version);
		return CLI_OK;
	}
	if (leading.help) {
		print_usage(stdout);
		return CLI_OK;
	}
	if (!leading.command) {
		print_usage(stderr);
		return CLI_USAGE;
	}
	return run_command(cli, argc - leading.command + 1, argv + leading.command - 1);
}

int main(int argc, char **argv)
{
	struct cli cli = {.mem = talloc_new(NULL), .fleet_codec = &platform_config_check};
	int code;

	signal(SIGPIPE, SIG_IGN);
	argp_err_exit_status = CLI_USAGE;
	code = run_program(&cli, argc, argv);
	talloc_free(cli.mem);
	if (fflush(stdout) && !code)
		code = cli_error(CLI_FAILED,
				 "Check the file or pipe that standard output is redirected to.",
				 "writing to standard output failed");
	return code;
}
