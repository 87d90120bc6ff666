#include "cli.h"
#include "config.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BASE_NOT_GIVEN (-1)
#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

struct folder_arguments {
	const char *folder;
	const char *message;
	long long base;
};

static error_t parse_folder(int key, char *arg, struct argp_state *state)
{
	struct folder_arguments *arguments = state->input;
	char *end;

	switch (key) {
	case 'm':
		arguments->message = arg;
		return 0;
	case 'b':
		errno = 0;
		arguments->base = strtoll(arg, &end, 10);
		if (!*arg || *end || errno || arguments->base < 0)
			argp_error(state, "--base takes the number of a revision");
		return 0;
	case ARGP_KEY_ARG:
		if (arguments->folder)
			argp_usage(state);
		arguments->folder = arg;
		return 0;
	case ARGP_KEY_END:
		if (!arguments->folder)
			argp_error(state, "name a folder");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Reads a folder into @files, which the caller owns. */
static int read_folder(const char *folder, json_t **files)
{
	struct err err = {0};

	if (!config_read_folder(folder, files, &err))
		return CLI_OK;
	return cli_error(err.code == ERR_NOT_FOUND ? CLI_NOT_FOUND : CLI_FAILED, err.remedy, "%s",
			 err.message);
}

static void print_problems(struct cli *cli, const struct config_problems *problems)
{
	json_t *list = json_array();

	for (size_t i = 0; i < problems->count; i++) {
		const struct config_problem *problem = &problems->items[i];

		json_array_append_new(list, json_pack("{s:s, s:i, s:s, s:s, s:s}", "file",
						      problem->file, "line", (int)problem->line,
						      "field", problem->field, "message",
						      problem->message, "remedy", problem->remedy));
		if (!cli->json)
			fprintf(stderr, "%s:%u: %s%s%s\n  remedy: %s\n", problem->file,
				problem->line, problem->field, *problem->field ? ": " : "",
				problem->message, problem->remedy);
	}
	if (cli->json)
		cli_print_json(list);
	json_decref(list);
}

static int check_files(struct cli *cli, json_t *files, bool quiet)
{
	struct config_problems problems;
	struct config *config = config_parse(cli->mem, files, &problems);

	if (!config) {
		print_problems(cli, &problems);
		return CLI_FAILED;
	}
	if (!quiet && !cli->json)
		printf("%zu files, %zu organisations, %zu classes, %zu planned workers: no "
		       "problems\n",
		       json_object_size(files), config->organisation_count, config->class_count,
		       config->fleet_count);
	if (!quiet && cli->json)
		fputs("[]\n", stdout);
	return CLI_OK;
}

struct check_arguments {
	struct folder_arguments folder;
	struct cli_fleet_files fleet;
};

static error_t parse_check(int key, char *arg, struct argp_state *state)
{
	struct check_arguments *arguments = state->input;
	struct cli_fleet_files *fleet = &arguments->fleet;
	char *end;

	switch (key) {
	case 'f':
		fleet->file = arg;
		return 0;
	case 'i':
		fleet->in_force = arg;
		return 0;
	case 'a':
		errno = 0;
		fleet->accelerators = strtoull(arg, &end, 10);
		if (*arg < '1' || *arg > '9' || *end || errno)
			argp_error(state, "--accelerators takes a number above 0");
		return 0;
	case ARGP_KEY_END:
		if (!fleet->file && (fleet->in_force || fleet->accelerators))
			argp_error(state, "--in-force and --accelerators go with --fleet");
		if (fleet->file && arguments->folder.folder)
			argp_error(state, "name a folder or --fleet, not both");
		return fleet->file ? 0 : parse_folder(key, arg, state);
	default:
		/* The folder is the first member, so the input is that of parse_folder() too. */
		return parse_folder(key, arg, state);
	}
}

static const struct argp_option check_options[] = {
	{"fleet", 'f', "FILE", 0, "Check the configuration of a fleet instead of a folder", 0},
	{"in-force", 'i', "FILE", 0, "Configuration of the fleet that would be replaced", 0},
	{"accelerators", 'a', "N", 0, "Accelerators of the fleet, for the guarantees", 0},
	{0},
};

static const struct argp check_parser = {
	.options = check_options,
	.parser = parse_check,
	.args_doc = "DIR\n--fleet FILE",
	.doc = "Check a configuration offline and print all problems at once.\v"
	       "Example: jaycourse config check examples/nefeli",
};

static int run_check(struct cli *cli, int argc, char **argv)
{
	struct check_arguments arguments = {0};
	json_t *files;
	int code;

	cli_parse(cli, &check_parser, argc, argv, &arguments);
	if (arguments.fleet.file)
		return cli_check_fleet(cli, &arguments.fleet);
	code = read_folder(arguments.folder.folder, &files);
	if (!code)
		code = check_files(cli, files, false);
	json_decref(files);
	return code;
}

static const struct argp diff_parser = {
	.parser = parse_folder,
	.args_doc = "DIR",
	.doc = "Show what applying a folder would change in the configuration in force.\v"
	       "Example: jaycourse config diff examples/nefeli",
};

static int run_diff(struct cli *cli, int argc, char **argv)
{
	struct folder_arguments arguments = {0};
	struct cli_answer answer;
	json_t *files;
	int code;

	cli_parse(cli, &diff_parser, argc, argv, &arguments);
	code = read_folder(arguments.folder, &files);
	if (!code)
		code = cli_get(cli, "/v1/config", &answer);
	if (!code)
		fputs(config_diff(cli->mem, json_object_get(answer.json, "files"), files), stdout);
	json_decref(files);
	return code;
}

static const struct argp_option apply_options[] = {
	{"message", 'm', "TEXT", 0, "Reason, kept in the history", 0},
	{"base", 'b', "REVISION", 0,
	 "Apply only on top of this revision; the one in force if not given", 0},
	{0},
};

static const struct argp apply_parser = {
	.options = apply_options,
	.parser = parse_folder,
	.args_doc = "DIR",
	.doc = "Apply a configuration folder as a new revision.\v"
	       "Example: jaycourse config apply examples/nefeli --message 'lend idle capacity'",
};

/*
 * Without --base the revision in force becomes the base, so that the entry refuses the folder if
 * another one is applied in the meantime. An entry that has no configuration yet answers 503, which
 * gives base 0; an entry accepts base 0 only for the first revision.
 */
static int find_base_revision(struct cli *cli, struct folder_arguments *arguments)
{
	struct cli_call call = {.method = "GET",
				.path = "/v1/config",
				.repeatable = true,
				.accept_unavailable = true};
	struct cli_answer answer;
	int code;

	if (arguments->base != BASE_NOT_GIVEN)
		return CLI_OK;
	code = cli_send(cli, &call, &answer);
	arguments->base = json_integer_value(json_object_get(answer.json, "revision"));
	return code;
}

static int apply_folder(struct cli *cli, const struct folder_arguments *arguments, json_t *files)
{
	static const char *const headers[] = {"Content-Type: application/json"};
	json_t *body = json_pack("{s:O, s:I, s:s}", "files", files, "base_revision",
				 (json_int_t)arguments->base, "message", arguments->message);
	char *text = json_dumps(body, JSON_COMPACT);
	struct cli_call call = {.method = "POST",
				.path = "/v1/config",
				.headers = headers,
				.header_count = 1,
				.body = text,
				.body_len = strlen(text)};
	struct cli_answer answer;
	int code = cli_send(cli, &call, &answer);

	if (!code && cli->json)
		cli_print_json(answer.json);
	else if (!code)
		cli_print_object(answer.json);
	free(text);
	json_decref(body);
	return code;
}

static int run_apply(struct cli *cli, int argc, char **argv)
{
	struct folder_arguments arguments = {.message = "", .base = BASE_NOT_GIVEN};
	json_t *files;
	int code;

	cli_parse(cli, &apply_parser, argc, argv, &arguments);
	code = read_folder(arguments.folder, &files);
	if (!code)
		code = check_files(cli, files, true);
	if (!code)
		code = find_base_revision(cli, &arguments);
	if (!code)
		code = apply_folder(cli, &arguments, files);
	json_decref(files);
	return code;
}

static error_t reject_arguments(int key, char *arg, struct argp_state *state)
{
	if (key == ARGP_KEY_ARG)
		argp_usage(state);
	return key == ARGP_KEY_ARG ? 0 : ARGP_ERR_UNKNOWN;
}

static const struct argp history_parser = {
	.parser = reject_arguments,
	.doc = "List the latest revisions of the configuration.\vExample: jaycourse config history",
};

static int run_history(struct cli *cli, int argc, char **argv)
{
	static const struct cli_column columns[] = {
		{"REVISION", "revision"}, {"WHEN", "when"},	  {"BY", "by"},
		{"MESSAGE", "message"},	  {"CHANGED", "changed"}, {"REMOVED", "removed"},
	};
	struct cli_answer answer;
	int code;

	cli_parse(cli, &history_parser, argc, argv, NULL);
	code = cli_get(cli, "/v1/config/history", &answer);
	if (code)
		return code;
	if (cli->json)
		cli_print_json(answer.json);
	else
		cli_print_table(json_object_get(answer.json, "history"), columns,
				COUNT_OF(columns));
	return CLI_OK;
}

static const struct argp hash_parser = {
	.parser = reject_arguments,
	.doc = "Print the salted hash of a token that is read from standard input.\v"
	       "Example: head -c 24 /dev/urandom | base64 | tee token | jaycourse token hash",
};

static int run_hash(struct cli *cli, int argc, char **argv)
{
	size_t len;
	char *token;
	char *hash;

	cli_parse(cli, &hash_parser, argc, argv, NULL);
	token = cli_read_argument(cli, "-", &len);
	if (token)
		token[strcspn(token, "\r\n")] = '\0';
	hash = token ? config_hash_token(cli->mem, token) : NULL;
	if (!hash)
		return cli_error(CLI_USAGE, "Write a token of 1 to 256 bytes to standard input.",
				 "standard input contains no valid token");
	puts(hash);
	return CLI_OK;
}

const struct cli_command cli_config_commands[] = {
	{"config check", "check a configuration folder offline", run_check},
	{"config diff", "show what a folder would change", run_diff},
	{"config apply", "apply a folder as a new revision", run_apply},
	{"config history", "list the latest revisions", run_history},
	{"token hash", "print the salted hash of a token", run_hash},
	{0},
};
