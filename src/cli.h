#ifndef JAYCOURSE_CLI_H
#define JAYCOURSE_CLI_H

#include "err.h"

#include <argp.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/** DOC: Shared by the commands of the command line program (cli_*.c and main_cli.c) only */

enum cli_exit {
	CLI_OK = 0,
	CLI_FAILED = 1,
	CLI_USAGE = 2,
	CLI_NOT_RUN = 3, /* nothing happened; safe to repeat */
	CLI_OUTCOME_UNKNOWN = 4,
	CLI_DENIED = 5,
	CLI_NOT_FOUND = 6,
	CLI_CONFLICT = 7,
};

#define CLI_ENTRIES_MAX 16

/* Options common to all commands. */
struct cli {
	TALLOC_CTX *mem;
	const char *entries[CLI_ENTRIES_MAX]; /* URLs, borrowed */
	size_t entry_count;
	const char *token; /* "" for none */
	bool json;	   /* output as JSON instead of tables */
};

struct cli_command {
	const char *name; /* "config check" and the like with one space */
	const char *summary;
	int (*run)(struct cli *cli, int argc, char **argv);
};

extern const struct cli_command cli_job_commands[];
extern const struct cli_command cli_fleet_commands[];
extern const struct cli_command cli_config_commands[];
extern const struct cli_command cli_trace_commands[];

/** cli_common - argp parser of the common options, child of each command's parser */
extern const struct argp cli_common;

/**
 * cli_parse() - parse the options of a command
 * @parser: its own options; cli_common is added, whose input is @cli
 * @input: input of @parser
 */
void cli_parse(struct cli *cli, const struct argp *parser, int argc, char **argv, void *input);

struct cli_call {
	const char *method;
	const char *path; /* with query, already escaped */
	const char *const *headers;
	size_t header_count;
	const char *body; /* NULL for none */
	size_t body_len;
	uint32_t timeout_ms; /* 0: 30 s */
	bool may_be_down;    /* an answer of 503 is no problem; the caller looks at it */
	bool repeatable;     /* may be sent again to another entry after an unknown outcome */
};

struct cli_answer {
	int http_status;
	char *body;
	size_t len;
	json_t *json; /* owned by cli->mem; NULL when it is not JSON */
};

/**
 * cli_send() - make a call through the first entry that answers
 * @answer: filled on success, owned by cli->mem
 *
 * Return: CLI_OK for a 2xx answer; otherwise the exit code, after telling the problem.
 */
int cli_send(struct cli *cli, const struct cli_call *call, struct cli_answer *answer);

/** cli_get() - GET a path that answers with JSON */
int cli_get(struct cli *cli, const char *path, struct cli_answer *answer);

/** cli_escape() - text as one part of a path, owned by cli->mem */
char *cli_escape(struct cli *cli, const char *text);

/** cli_error() - tell a problem on standard error; returns @code */
int cli_error(int code, const char *remedy, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/** cli_read_argument() - "@FILE", "-" (standard input) or the text itself; NULL: unreadable */
char *cli_read_argument(struct cli *cli, const char *text, size_t *len);

void cli_print_json(const json_t *json);

/** cli_print_object() - one field a line, nested fields with dots */
void cli_print_object(const json_t *object);

struct cli_column {
	const char *title;
	const char *path; /* field, nested with dots */
};

/** cli_print_table() - @rows is an array of objects */
void cli_print_table(const json_t *rows, const struct cli_column *columns, size_t count);

#endif
