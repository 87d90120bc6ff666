#include "cli.h"

#include <stdio.h>

static char *read_file(struct cli *cli, const char *path, size_t *len)
{
	char *argument = talloc_asprintf(cli->mem, "@%s", path);
	char *text = cli_read_argument(cli, argument, len);

	if (!text)
		cli_error(CLI_NOT_FOUND, "Name a readable file of at most 64 MiB.",
			  "cannot read %s", path);
	return text;
}

static void print_problem(const char *file, const struct confcheck_problem *problem)
{
	fprintf(stderr, "%s: %s%s%s%s\n  remedy: %s\n", file, problem->path,
		*problem->path ? ": " : "", problem->warning ? "warning: " : "", problem->message,
		problem->remedy);
}

static json_t *problem_json(const char *file, const struct confcheck_problem *problem)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:s}", "file", file, "field", problem->path,
			 "severity", problem->warning ? "warning" : "error", "message",
			 problem->message, "remedy", problem->remedy);
}

int cli_check_fleet(struct cli *cli, const struct cli_fleet_files *files)
{
	struct confcheck_report report = {.mem = cli->mem};
	struct confcheck_input input = {.accelerators = files->accelerators};
	json_t *list;
	size_t errors = 0;

	input.text = read_file(cli, files->file, &input.len);
	if (input.text && files->in_force)
		input.in_force = read_file(cli, files->in_force, &input.in_force_len);
	if (!input.text || (files->in_force && !input.in_force))
		return CLI_NOT_FOUND;
	cli->fleet_codec->check(&input, &report);
	list = json_array();
	for (size_t i = 0; i < report.count; i++) {
		errors += !report.problems[i].warning;
		json_array_append_new(list, problem_json(files->file, &report.problems[i]));
		if (!cli->json)
			print_problem(files->file, &report.problems[i]);
	}
	if (cli->json)
		cli_print_json(list);
	else if (report.count == 0)
		printf("%s: no problems\n", files->file);
	json_decref(list);
	return errors > 0 ? CLI_FAILED : CLI_OK;
}
