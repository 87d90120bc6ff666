#include "cli.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEPARATORS " ,"

const char *argp_program_version = "jaycourse " JAYCOURSE_VERSION;

static const struct cli_command *const groups[] = {
	cli_job_commands,
	cli_fleet_commands,
	cli_config_commands,
	cli_trace_commands,
};

static const struct argp_option common_options[] = {
	{"entry", 'e', "URL", 0, "Entry host, may be repeated; also JAYCOURSE_ENTRY", 10},
	{"token", 't' + 256, "TOKEN", 0, "Secret of the caller; also JAYCOURSE_TOKEN", 10},
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

const struct argp cli_common = {.options = common_options, .parser = parse_common};

/* Environment variables count only where no option was given. */
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
	for (char *one = strtok_r(list, SEPARATORS, &rest);
	     one && cli->entry_count < CLI_ENTRIES_MAX; one = strtok_r(NULL, SEPARATORS, &rest))
		cli->entries[cli->entry_count++] = one;
}

/* The child parsers get their inputs here, before any option is parsed. */
struct inputs {
	struct cli *cli;
	void *own;
};

static error_t hand_inputs(int key, char *arg, struct argp_state *state)
{
	struct inputs *inputs = state->input;

	if (key != ARGP_KEY_INIT)
		return ARGP_ERR_UNKNOWN;
	state->child_inputs[0] = inputs->own;
	state->child_inputs[1] = inputs->cli;
	return 0;
}

void cli_parse(struct cli *cli, const struct argp *parser, int argc, char **argv, void *input)
{
	struct argp own = *parser;
	const struct argp_child children[] = {
		{&own, 0, NULL, 0},
		{&cli_common, 0, "Common options:", 10},
		{0},
	};
	struct argp whole = {
		.parser = hand_inputs,
		.children = children,
		.args_doc = parser->args_doc,
	};
	struct inputs inputs = {cli, input};

	own.args_doc = NULL;
	argp_parse(&whole, argc, argv, 0, NULL, &inputs);
	add_environment(cli);
}

static void usage(FILE *out)
{
	fputs("Usage: jaycourse [COMMON OPTION...] COMMAND [OPTION...]\n\nCommands:\n", out);
	for (size_t g = 0; g < sizeof(groups) / sizeof(groups[0]); g++) {
		for (const struct cli_command *c = groups[g]; c->name; c++)
			fprintf(out, "  %-15s %s\n", c->name, c->summary);
	}
	fputs("\n\"jaycourse COMMAND --help\" tells the options of a command, with an example.\n"
	      "Exit status: 0 done, 1 failed, 2 wrong usage, 3 not run (safe to repeat), 4 "
	      "outcome\n"
	      "unknown, 5 denied, 6 not found, 7 conflict.\n"
	      "Example: jaycourse config check examples/nefeli\n",
	      out);
}

/* Number of words of @name that the arguments start with; 0 when they do not. */
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
	for (size_t g = 0; g < sizeof(groups) / sizeof(groups[0]); g++) {
		for (const struct cli_command *c = groups[g]; c->name; c++) {
			int words = matching_words(c->name, argc, argv);

			if (!words)
				continue;
			argv[words] = talloc_asprintf(cli->mem, "jaycourse %s", c->name);
			return c->run(cli, argc - words, argv + words);
		}
	}
	usage(stderr);
	return CLI_USAGE;
}

/* What stands before the command. */
struct front {
	struct cli *cli;
	int command; /* index of its first word, 0: none */
	bool help;
	bool version;
};

static const struct argp_option front_options[] = {
	{"help", 'h', NULL, 0, NULL, 0},
	{"version", 'V', NULL, 0, NULL, 0},
	{0},
};

static error_t parse_front(int key, char *arg, struct argp_state *state)
{
	struct front *front = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = front->cli;
		return 0;
	case 'h':
		front->help = true;
		return 0;
	case 'V':
		front->version = true;
		return 0;
	case ARGP_KEY_ARG:
		front->command = state->next - 1;
		state->next = state->argc; /* the rest belongs to the command */
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int run(struct cli *cli, int argc, char **argv)
{
	static const struct argp_child children[] = {{&cli_common, 0, NULL, 0}, {0}};
	static const struct argp argp = {
		.options = front_options, .parser = parse_front, .children = children};
	struct front front = {.cli = cli};

	argp_parse(&argp, argc, argv, ARGP_IN_ORDER | ARGP_NO_HELP, NULL, &front);
	if (front.version) {
		puts(argp_program_version);
		return CLI_OK;
	}
	if (front.help) {
		usage(stdout);
		return CLI_OK;
	}
	if (!front.command) {
		usage(stderr);
		return CLI_USAGE;
	}
	return run_command(cli, argc - front.command + 1, argv + front.command - 1);
}

int main(int argc, char **argv)
{
	struct cli cli = {.mem = talloc_new(NULL)};
	int code;

	signal(SIGPIPE, SIG_IGN);
	argp_err_exit_status = CLI_USAGE;
	code = run(&cli, argc, argv);
	talloc_free(cli.mem);
	if (fflush(stdout) && !code)
		code = cli_error(CLI_FAILED, "Check where the output goes.",
				 "the output could not be written");
	return code;
}
