#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * "jaycourse trace ID FILE...": the records of many processes about one job, in order of
 * time. It reads what the processes wrote and calls nobody.
 */

#define RECORDS_MAX 200000 /* bounds the memory of one run */
#define FILES_MAX 256

struct record {
	const char *time;
	const char *node;
	const char *event;
	const char *id;
	const char *message;
};

struct trace {
	struct cli *cli;
	const char *id;
	const char *files[FILES_MAX];
	size_t file_count;
	struct record *records;
	size_t record_count;
	size_t unreadable;
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct trace *t = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		if (!t->id)
			t->id = arg;
		else if (t->file_count < FILES_MAX)
			t->files[t->file_count++] = arg;
		else
			argp_error(state, "more than %d files", FILES_MAX);
		return 0;
	case ARGP_KEY_END:
		if (!t->id || t->file_count == 0)
			argp_error(state, "name the job and at least one log file");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* A task's id begins with its job's, and the path of a refused call holds the job's id. */
static bool concerns(const struct trace *t, const struct record *r)
{
	size_t len = strlen(t->id);

	if (!strncmp(r->id, t->id, len) && (r->id[len] == '\0' || r->id[len] == '.'))
		return true;
	return strstr(r->message, t->id) != NULL;
}

static const char *text(const struct trace *t, const json_t *json, const char *name)
{
	const char *value = json_string_value(json_object_get(json, name));

	return talloc_strdup(t->cli->mem, value ? value : "");
}

static void take_line(struct trace *t, const char *line)
{
	/* Collectors put a time or a host's name before the record. */
	const char *start = strchr(line, '{');
	json_t *json = start ? json_loads(start, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
	struct record r;

	if (!json) {
		t->unreadable += start != NULL;
		return;
	}
	r = (struct record){text(t, json, "time"), text(t, json, "node"), text(t, json, "event"),
			    text(t, json, "id"), text(t, json, "message")};
	json_decref(json);
	if (!concerns(t, &r) || t->record_count == RECORDS_MAX)
		return;
	t->records = talloc_realloc(t->cli->mem, t->records, struct record, t->record_count + 1);
	t->records[t->record_count++] = r;
}

static int read_file(struct trace *t, const char *path)
{
	FILE *file = fopen(path, "r");
	char *line = NULL;
	size_t size = 0;

	if (!file) {
		fprintf(stderr, "jaycourse trace: %s cannot be read; name a log file\n", path);
		return CLI_FAILED;
	}
	while (getline(&line, &size, file) >= 0)
		take_line(t, line);
	free(line);
	fclose(file);
	return CLI_OK;
}

static int by_time(const void *a, const void *b)
{
	return strcmp(((const struct record *)a)->time, ((const struct record *)b)->time);
}

static void print_json(const struct record *r)
{
	json_t *json = json_pack("{s:s, s:s, s:s, s:s, s:s}", "time", r->time, "node", r->node,
				 "event", r->event, "id", r->id, "message", r->message);
	char *line = json_dumps(json, JSON_COMPACT);

	printf("%s\n", line);
	free(line);
	json_decref(json);
}

static int run_trace(struct cli *cli, int argc, char **argv)
{
	static const struct argp parser = {
		.parser = parse,
		.args_doc = "ID FILE...",
		.doc = "Show what the log files say of a job, in order of time.\v"
		       "Example: jaycourse trace 5c0e7a21d94b36f8 entry-1.log agent-*.log",
	};
	struct trace t = {.cli = cli};

	cli_parse(cli, &parser, argc, argv, &t);
	for (size_t i = 0; i < t.file_count; i++) {
		if (read_file(&t, t.files[i]))
			return CLI_FAILED;
	}
	if (t.record_count == 0) {
		fprintf(stderr, "jaycourse trace: no record names %s; add the logs of more hosts\n",
			t.id);
		return CLI_NOT_FOUND;
	}
	qsort(t.records, t.record_count, sizeof(t.records[0]), by_time);
	for (size_t i = 0; i < t.record_count; i++) {
		const struct record *r = &t.records[i];

		if (cli->json)
			print_json(r);
		else
			printf("%s  %-20s %-18s %s  %s\n", r->time, r->node, r->event, r->id,
			       r->message);
	}
	if (t.unreadable)
		fprintf(stderr, "jaycourse trace: %zu lines are not whole records\n", t.unreadable);
	return CLI_OK;
}

const struct cli_command cli_trace_commands[] = {
	{"trace", "What log files say of a job, in order of time", run_trace},
	{0},
};
