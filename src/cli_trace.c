#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * "jaycourse trace ID FILE..." prints the log records of several processes about one job in order
 * of time. It only reads log files and connects to no host.
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
	size_t malformed_lines;
	size_t records_left_out; /* beyond RECORDS_MAX */
};

static error_t parse_arguments(int key, char *arg, struct argp_state *state)
{
	struct trace *trace = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		if (!trace->id)
			trace->id = arg;
		else if (trace->file_count < FILES_MAX)
			trace->files[trace->file_count++] = arg;
		else
			argp_error(state, "more than %d files", FILES_MAX);
		return 0;
	case ARGP_KEY_END:
		if (!trace->id || trace->file_count == 0)
			argp_error(state, "name the job and at least one log file");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/*
 * The id of a task is the job id, a dot and a suffix. The record of a refused call has the job id
 * only in its message, as part of the path of the call.
 */
static bool is_about_job(const struct trace *trace, const struct record *record)
{
	size_t len = strlen(trace->id);

	if (!strncmp(record->id, trace->id, len) &&
	    (record->id[len] == '\0' || record->id[len] == '.'))
		return true;
	return strstr(record->message, trace->id) != NULL;
}

static const char *copy_string(const struct trace *trace, const json_t *json, const char *name)
{
	const char *value = json_string_value(json_object_get(json, name));

	return talloc_strdup(trace->cli->mem, value ? value : "");
}

static void add_line(struct trace *trace, const char *line)
{
	/* Log collectors may write a time or a host name before the record. */
	const char *start = strchr(line, '{');
	json_t *json = start ? json_loads(start, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
	struct record record;

	if (!json) {
		trace->malformed_lines += start != NULL;
		return;
	}
	record = (struct record){copy_string(trace, json, "time"), copy_string(trace, json, "node"),
				 copy_string(trace, json, "event"), copy_string(trace, json, "id"),
				 copy_string(trace, json, "message")};
	json_decref(json);
	if (!is_about_job(trace, &record))
		return;
	if (trace->record_count == RECORDS_MAX) {
		trace->records_left_out++;
		return;
	}
	trace->records = talloc_realloc(trace->cli->mem, trace->records, struct record,
					trace->record_count + 1);
	trace->records[trace->record_count++] = record;
}

static int read_log_file(struct trace *trace, const char *path)
{
	FILE *file = fopen(path, "r");
	char *line = NULL;
	size_t size = 0;

	if (!file) {
		fprintf(stderr, "jaycourse trace: %s cannot be read; name a log file\n", path);
		return CLI_FAILED;
	}
	while (getline(&line, &size, file) >= 0)
		add_line(trace, line);
	free(line);
	fclose(file);
	return CLI_OK;
}

static int compare_time(const void *a, const void *b)
{
	return strcmp(((const struct record *)a)->time, ((const struct record *)b)->time);
}

static void print_record_json(const struct record *record)
{
	json_t *json =
		json_pack("{s:s, s:s, s:s, s:s, s:s}", "time", record->time, "node", record->node,
			  "event", record->event, "id", record->id, "message", record->message);
	char *line = json_dumps(json, JSON_COMPACT);

	printf("%s\n", line);
	free(line);
	json_decref(json);
}

static int run_trace(struct cli *cli, int argc, char **argv)
{
	static const struct argp parser = {
		.parser = parse_arguments,
		.args_doc = "ID FILE...",
		.doc = "Show the log records about a job, in order of time.\v"
		       "Example: jaycourse trace 5c0e7a21d94b36f8 entry-1.log agent-*.log",
	};
	struct trace trace = {.cli = cli};

	cli_parse(cli, &parser, argc, argv, &trace);
	for (size_t i = 0; i < trace.file_count; i++) {
		if (read_log_file(&trace, trace.files[i]))
			return CLI_FAILED;
	}
	if (trace.record_count == 0) {
		fprintf(stderr,
			"jaycourse trace: no record mentions %s; add the logs of more hosts\n",
			trace.id);
		return CLI_NOT_FOUND;
	}
	qsort(trace.records, trace.record_count, sizeof(trace.records[0]), compare_time);
	for (size_t i = 0; i < trace.record_count; i++) {
		const struct record *record = &trace.records[i];

		if (cli->json)
			print_record_json(record);
		else
			printf("%s  %-20s %-18s %s  %s\n", record->time, record->node,
			       record->event, record->id, record->message);
	}
	if (trace.records_left_out)
		fprintf(stderr,
			"jaycourse trace: %zu more records are left out; name fewer log files\n",
			trace.records_left_out);
	if (trace.malformed_lines)
		fprintf(stderr, "jaycourse trace: %zu lines are not complete JSON records\n",
			trace.malformed_lines);
	return CLI_OK;
}

const struct cli_command cli_trace_commands[] = {
	{"trace", "show the log records about a job, in order of time", run_trace},
	{0},
};
