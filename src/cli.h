#ifndef JAYCOURSE_CLI_H
#define JAYCOURSE_CLI_H

#include "confcheck.h"
#include "err.h"

#include <argp.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/** DOC: Declarations for the command-line program only (cli_*.c and main_cli.c) */

enum cli_exit {
	CLI_OK = 0,
	CLI_FAILED = 1,
	CLI_USAGE = 2,
	CLI_NOT_RUN = 3, /* the operation had no effect; safe to repeat */
	CLI_OUTCOME_UNKNOWN = 4,
	CLI_DENIED = 5,
	CLI_NOT_FOUND = 6,
	CLI_CONFLICT = 7,
};

#define CLI_ENTRIES_MAX 16

/* Values of the options that all commands accept. */
struct cli {
	TALLOC_CTX *mem;
	const char *entries[CLI_ENTRIES_MAX]; /* URLs, borrowed */
	size_t entry_count;
	const char *token;			   /* "" for none */
	bool json;				   /* output as JSON instead of tables */
	const struct confcheck_codec *fleet_codec; /* of the configuration of a fleet */
};

struct cli_command {
	const char *name; /* one word, or two separated by one space, as in "config check" */
	const char *summary;
	int (*run)(struct cli *cli, int argc, char **argv);
};

extern const struct cli_command cli_job_commands[];
extern const struct cli_command cli_fleet_commands[];
extern const struct cli_command cli_config_commands[];
extern const struct cli_command cli_trace_commands[];

/* What "config check --fleet" was given. */
struct cli_fleet_files {
	const char *file;
	const char *in_force;  /* NULL: not given */
	uint64_t accelerators; /* 0: not given */
};

/** cli_check_fleet() - check the configuration of a fleet and print its problems */
int cli_check_fleet(struct cli *cli, const struct cli_fleet_files *files);

/** cli_common_argp - parser of the options that all commands accept, whose input is struct cli */
extern const struct argp cli_common_argp;

/**
 * cli_parse() - parse the options of a command and the common options
 * @cli: filled with the common options
 * @parser: parser of the command's own options
 * @input: input of @parser
 *
 * Environment variables replace common options that are not given. Exits with CLI_USAGE on wrong
 * usage, and with 0 after --help.
 */
void cli_parse(struct cli *cli, const struct argp *parser, int argc, char **argv, void *input);

struct cli_call {
	const char *method;
	const char *path; /* with query, already percent-encoded */
	const char *const *headers;
	size_t header_count;
	const char *body; /* NULL for none */
	size_t body_len;
	uint32_t timeout_ms;	 /* 0: 30 s */
	bool accept_unavailable; /* status 503 is not an error; the caller handles it */
	bool repeatable;	 /* may be sent to another entry after an unknown outcome */
};

struct cli_answer {
	int http_status;
	char *body;
	size_t len;
	json_t *json; /* owned by cli->mem; NULL when the body is not JSON */
};

/**
 * cli_send() - send a call to the first entry that answers
 * @answer: filled when an entry answers, owned by cli->mem
 *
 * Return: CLI_OK for status 2xx; otherwise the exit code, after printing the error.
 */
int cli_send(struct cli *cli, const struct cli_call *call, struct cli_answer *answer);

/** cli_get() - send a GET request and require a JSON answer; returns like cli_send() */
int cli_get(struct cli *cli, const char *path, struct cli_answer *answer);

/** cli_escape() - percent-encode a text as one path segment, owned by cli->mem */
char *cli_escape(struct cli *cli, const char *text);

/** cli_error() - print an error and its remedy on standard error; returns @code */
int cli_error(int code, const char *remedy, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/**
 * cli_read_argument() - read "@FILE", "-" (standard input) or the text itself
 * @len: set to the length in bytes
 *
 * Return: the content, owned by cli->mem; NULL when a file cannot be read or exceeds 64 MiB.
 */
char *cli_read_argument(struct cli *cli, const char *text, size_t *len);

void cli_print_json(const json_t *json);

/** cli_print_object() - print one field per line, nested fields with dotted names */
void cli_print_object(const json_t *object);

struct cli_column {
	const char *title;
	const char *path; /* field name; dots separate nested fields */
};

/** cli_print_table() - print an array of objects, one row for each */
void cli_print_table(const json_t *rows, const struct cli_column *columns, size_t count);

#endif
