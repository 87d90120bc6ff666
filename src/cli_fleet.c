#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEADERS_MAX 4
#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

struct request_arguments {
	const char *service;
	const char *data;
	const char *class_name;
	const char *key;
	const char *idempotent;
	const char *deadline_ms;
	const char *type;
};

static const struct argp_option request_options[] = {
	{"class", 'c', "NAME", 0, "Class of the request", 0},
	{"data", 'd', "TEXT|@FILE|-", 0, "Body of the request", 0},
	{"type", 'T', "TYPE", 0, "Content type of the body; application/json if not given", 0},
	{"key", 'k', "KEY", 0, "Idempotency key", 0},
	{"idempotent", 'i', "yes|no", 0, "Whether the request may run more than once", 0},
	{"deadline-ms", 'D', "N", 0, "Refuse the request if it cannot be answered within this time",
	 0},
	{0},
};

static error_t parse_request(int key, char *arg, struct argp_state *state)
{
	struct request_arguments *arguments = state->input;

	switch (key) {
	case 'c':
		arguments->class_name = arg;
		return 0;
	case 'd':
		arguments->data = arg;
		return 0;
	case 'T':
		arguments->type = arg;
		return 0;
	case 'k':
		arguments->key = arg;
		return 0;
	case 'i':
		if (strcmp(arg, "yes") != 0 && strcmp(arg, "no") != 0)
			argp_error(state, "--idempotent takes yes or no");
		arguments->idempotent = arg;
		return 0;
	case 'D':
		arguments->deadline_ms = arg;
		return 0;
	case ARGP_KEY_ARG:
		if (arguments->service)
			argp_usage(state);
		arguments->service = arg;
		return 0;
	case ARGP_KEY_END:
		if (!arguments->service)
			argp_error(state, "name a service");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp request_parser = {
	.options = request_options,
	.parser = parse_request,
	.args_doc = "SERVICE",
	.doc = "Send a request to a service and print the answer.\v"
	       "Example: jaycourse request harvest-planner --class net-angle-check --data "
	       "'{\"panel\":7}'",
};

static void add_header(struct cli *cli, const char **headers, size_t *count, const char *name,
		       const char *value)
{
	if (value)
		headers[(*count)++] = talloc_asprintf(cli->mem, "%s: %s", name, value);
}

static int run_request(struct cli *cli, int argc, char **argv)
{
	struct request_arguments arguments = {.data = "", .type = "application/json"};
	const char *headers[HEADERS_MAX + 1];
	struct cli_call call = {.method = "POST", .headers = headers};
	struct cli_answer answer;
	int code;

	cli_parse(cli, &request_parser, argc, argv, &arguments);
	call.path = talloc_asprintf(cli->mem, "/v1/services/%s/requests",
				    cli_escape(cli, arguments.service));
	call.body = cli_read_argument(cli, arguments.data, &call.body_len);
	if (!call.body)
		return cli_error(CLI_USAGE, "Give the text itself, @FILE or - for standard input.",
				 "the data %s cannot be read", arguments.data);
	add_header(cli, headers, &call.header_count, "Content-Type", arguments.type);
	add_header(cli, headers, &call.header_count, "X-Jaycourse-Class", arguments.class_name);
	add_header(cli, headers, &call.header_count, "Idempotency-Key", arguments.key);
	add_header(cli, headers, &call.header_count, "X-Jaycourse-Idempotent",
		   arguments.idempotent);
	add_header(cli, headers, &call.header_count, "X-Jaycourse-Deadline-Ms",
		   arguments.deadline_ms);
	/* A key, or --idempotent yes, makes it safe to send the request to another entry. */
	call.repeatable =
		arguments.key || (arguments.idempotent && !strcmp(arguments.idempotent, "yes"));
	code = cli_send(cli, &call, &answer);
	if (!code)
		fwrite(answer.body, 1, answer.len, stdout);
	return code;
}

static error_t reject_arguments(int key, char *arg, struct argp_state *state)
{
	if (key == ARGP_KEY_ARG)
		argp_usage(state);
	return key == ARGP_KEY_ARG ? 0 : ARGP_ERR_UNKNOWN;
}

/* Gets @path and prints the list in field @name of the answer as a table. */
static int print_list(struct cli *cli, const char *path, const char *name,
		      const struct cli_column *columns, size_t count)
{
	struct cli_answer answer;
	int code = cli_get(cli, path, &answer);

	if (code)
		return code;
	if (cli->json)
		cli_print_json(answer.json);
	else
		cli_print_table(json_object_get(answer.json, name), columns, count);
	return CLI_OK;
}

static const struct argp targets_parser = {
	.parser = reject_arguments,
	.doc = "List the targets that this entry host knows.\vExample: jaycourse targets",
};

static int run_targets(struct cli *cli, int argc, char **argv)
{
	static const struct cli_column columns[] = {
		{"TARGET", "name"},
		{"KIND", "kind"},
		{"SERVICE", "service"},
		{"STATE", "state"},
		{"ZONE", "zone"},
		{"RACK", "rack"},
		{"SLOTS", "slots"},
		{"IN FLIGHT", "in_flight"},
		{"ACCELERATORS", "accelerators"},
		{"FREE", "accelerators_free"},
	};

	cli_parse(cli, &targets_parser, argc, argv, NULL);
	return print_list(cli, "/v1/targets", "targets", columns, COUNT_OF(columns));
}

static const struct argp organisations_parser = {
	.parser = reject_arguments,
	.doc = "List the organisations with guarantees and quotas; guarantees are written "
	       "MEMBERSxACCELERATORS.\vExample: jaycourse organisations",
};

static int run_organisations(struct cli *cli, int argc, char **argv)
{
	static const struct cli_column columns[] = {
		{"ORGANISATION", "name"},
		{"GUARANTEES", "guarantee"},
		{"PRIORITY", "priority"},
		{"SHARE", "share"},
		{"MAX ACCELERATORS", "quota.accelerators"},
		{"MAX JOBS", "quota.jobs"},
		{"MAX REQUESTS", "quota.requests_in_flight"},
	};

	cli_parse(cli, &organisations_parser, argc, argv, NULL);
	return print_list(cli, "/v1/organisations", "organisations", columns, COUNT_OF(columns));
}

static const struct argp fragmentation_parser = {
	.parser = reject_arguments,
	.doc = "Show the share of free accelerators that no job shape in demand can use.\v"
	       "Example: jaycourse fragmentation",
};

static int run_fragmentation(struct cli *cli, int argc, char **argv)
{
	struct cli_answer answer;
	int code;

	cli_parse(cli, &fragmentation_parser, argc, argv, NULL);
	code = cli_get(cli, "/v1/fragmentation", &answer);
	if (code)
		return code;
	if (cli->json)
		cli_print_json(answer.json);
	else
		cli_print_object(answer.json);
	return CLI_OK;
}

static const struct argp zones_parser = {
	.parser = reject_arguments,
	.doc = "List the availability zones of a jaycourse-fleet deployment, as an entry's metrics "
	       "address tells them: whether a zone is evacuated, for how long, and the tasks that "
	       "still run there. The leader knows all zones, other entries only the evacuated "
	       "ones.\vExample: jaycourse zones --entry http://10.1.0.18:9464",
};

static int run_zones(struct cli *cli, int argc, char **argv)
{
	static const struct cli_column columns[] = {
		{"ZONE", "zone"},	{"STATE", "state"}, {"FOR MS", "for_ms"},
		{"WORKERS", "workers"}, {"TASKS", "tasks"},
	};

	cli_parse(cli, &zones_parser, argc, argv, NULL);
	return print_list(cli, "/zones", "zones", columns, COUNT_OF(columns));
}

struct drain_arguments {
	const char *kind;
	const char *name;
};

static error_t parse_drain(int key, char *arg, struct argp_state *state)
{
	struct drain_arguments *arguments = state->input;

	if (key == ARGP_KEY_ARG && !arguments->kind)
		arguments->kind = arg;
	else if (key == ARGP_KEY_ARG && !arguments->name)
		arguments->name = arg;
	else if (key == ARGP_KEY_ARG)
		argp_usage(state);
	else if (key == ARGP_KEY_END && !arguments->name)
		argp_error(state, "name what to drain");
	else if (key != ARGP_KEY_END)
		return ARGP_ERR_UNKNOWN;
	return 0;
}

static const struct argp drain_parser = {
	.parser = parse_drain,
	.args_doc = "target|rack|zone NAME",
	.doc = "Send no new work to a target, a rack or a zone; this creates a new revision of "
	       "the configuration.\vExample: jaycourse drain rack naxos-2",
};

static int run_drain(struct cli *cli, int argc, char **argv)
{
	static const char *const headers[] = {"Content-Type: application/json"};
	struct drain_arguments arguments = {0};
	struct cli_call call = {
		.method = "POST", .path = "/v1/drain", .headers = headers, .header_count = 1};
	struct cli_answer answer;
	json_t *body;
	char *text;
	int code;

	cli_parse(cli, &drain_parser, argc, argv, &arguments);
	body = json_pack("{s:s, s:s}", "kind", arguments.kind, "name", arguments.name);
	text = json_dumps(body, JSON_COMPACT);
	call.body = text;
	call.body_len = strlen(text);
	code = cli_send(cli, &call, &answer);
	if (!code && cli->json)
		cli_print_json(answer.json);
	else if (!code)
		cli_print_object(answer.json);
	free(text);
	json_decref(body);
	return code;
}

const struct cli_command cli_fleet_commands[] = {
	{"request", "send a quick request and print the answer", run_request},
	{"targets", "list targets", run_targets},
	{"organisations", "list organisations", run_organisations},
	{"fragmentation", "show the fragmentation of the fleet", run_fragmentation},
	{"zones", "list the zones of a fleet, and which are evacuated", run_zones},
	{"drain", "send no new work to a target, a rack or a zone", run_drain},
	{0},
};
