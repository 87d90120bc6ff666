#include "cli.h"
#include "util.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WAIT_REQUEST_MS 20000
/* The entry may answer only when the time that it was asked to wait is over. */
#define WAIT_MARGIN_MS 10000
/* Least time between two wait requests, also if entries answer before the job has ended. */
#define WAIT_INTERVAL_MS 1000
#define NUMBER_MAX_THOUSANDS 1000000UL
#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

struct submission {
	json_t *body;
	const char *key;
	const char *payload;
	bool wait;
};

struct job_arguments {
	const char *id;
	uint64_t timeout_s; /* 0: no limit */
};

static unsigned long parse_number(const char *text, struct argp_state *state)
{
	char *end;
	unsigned long value;

	errno = 0;
	value = strtoul(text, &end, 10);
	if (!*text || *end || *text == '-' || errno || value > NUMBER_MAX_THOUSANDS * 1000)
		argp_error(state, "\"%s\" is not a number in range", text);
	return value;
}

static const struct argp_option submit_options[] = {
	{"class", 'c', "NAME", 0, "Class of the job (required)", 0},
	{"members", 'm', "N", 0, "Members of the gang; 1 if not given", 0},
	{"accelerators", 'a', "N", 0, "Adjacent accelerators of each member; 1 if not given", 0},
	{"cores", 'C', "N", 0, "Processor cores of each member", 0},
	{"memory-gb", 'M', "N", 0, "Memory of each member in GB", 0},
	{"within", 'w', "zone|rack|worker", 0, "Place all members in the same zone, rack or worker",
	 0},
	{"declared-s", 'd', "SECONDS", 0, "Expected run time", 0},
	{"urgent", 'u', NULL, 0, "Start within seconds", 0},
	{"payload", 'p', "JSON|@FILE|-", 0, "Data passed to each task", 0},
	{"key", 'k', "KEY", 0, "Idempotency key; a random one if not given", 0},
	{"wait", 'W', NULL, 0, "Wait until the job has ended", 0},
	{0},
};

static void set_number(struct submission *submission, const char *name, const char *text,
		       struct argp_state *state)
{
	json_object_set_new(submission->body, name,
			    json_integer((json_int_t)parse_number(text, state)));
}

static error_t parse_submit(int key, char *arg, struct argp_state *state)
{
	struct submission *submission = state->input;

	switch (key) {
	case 'c':
		json_object_set_new(submission->body, "class", json_string(arg));
		return 0;
	case 'm':
		set_number(submission, "members", arg, state);
		return 0;
	case 'a':
		set_number(submission, "accelerators", arg, state);
		return 0;
	case 'C':
		set_number(submission, "cores", arg, state);
		return 0;
	case 'M':
		set_number(submission, "memory_gb", arg, state);
		return 0;
	case 'd':
		set_number(submission, "declared_s", arg, state);
		return 0;
	case 'w':
		json_object_set_new(submission->body, "within", json_string(arg));
		return 0;
	case 'u':
		json_object_set_new(submission->body, "urgent", json_true());
		return 0;
	case 'p':
		submission->payload = arg;
		return 0;
	case 'k':
		submission->key = arg;
		return 0;
	case 'W':
		submission->wait = true;
		return 0;
	case ARGP_KEY_ARG:
		argp_usage(state);
		return 0;
	case ARGP_KEY_END:
		if (!json_object_get(submission->body, "class"))
			argp_error(state, "--class is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp submit_parser = {
	.options = submit_options,
	.parser = parse_submit,
	.doc = "Submit a job.\vExample: jaycourse submit --class yield-forecast --members 2 "
	       "--accelerators 8 --within rack --declared-s 7200",
};

static void print_job(struct cli *cli, const json_t *job)
{
	if (cli->json)
		cli_print_json(job);
	else
		cli_print_object(job);
}

/* The idempotency key makes it safe to repeat a submission whose answer was lost. */
static const char *random_key(struct cli *cli)
{
	uint64_t bits;

	util_random_bytes(&bits, sizeof(bits));
	return talloc_asprintf(cli->mem, "cli-%016" PRIx64, bits);
}

static int set_payload(struct cli *cli, struct submission *submission)
{
	size_t len;
	char *text = cli_read_argument(cli, submission->payload, &len);
	json_t *payload = text ? json_loadb(text, len, 0, NULL) : NULL;

	if (!payload)
		return cli_error(CLI_USAGE, "Give a JSON object, @FILE or - for standard input.",
				 "the payload cannot be read as JSON");
	json_object_set_new(submission->body, "payload", payload);
	return CLI_OK;
}

static int wait_for_job(struct cli *cli, const char *id, uint64_t timeout_s);

static int send_submission(struct cli *cli, const struct submission *submission)
{
	char *text = json_dumps(submission->body, JSON_COMPACT);
	const char *headers[] = {"Content-Type: application/json",
				 talloc_asprintf(cli->mem, "Idempotency-Key: %s", submission->key)};
	struct cli_call call = {.method = "POST",
				.path = "/v1/jobs",
				.headers = headers,
				.header_count = COUNT_OF(headers),
				.body = text,
				.body_len = strlen(text),
				.repeatable = true};
	struct cli_answer answer;
	int code = cli_send(cli, &call, &answer);

	free(text);
	if (code == CLI_OUTCOME_UNKNOWN)
		fprintf(stderr, "  the key of this submission is %s\n", submission->key);
	if (code)
		return code;
	if (submission->wait)
		return wait_for_job(cli, json_string_value(json_object_get(answer.json, "id")), 0);
	print_job(cli, answer.json);
	return CLI_OK;
}

static int run_submit(struct cli *cli, int argc, char **argv)
{
	struct submission submission = {
		.body = json_pack("{s:i, s:i}", "members", 1, "accelerators", 1)};
	int code = CLI_OK;

	cli_parse(cli, &submit_parser, argc, argv, &submission);
	if (submission.payload)
		code = set_payload(cli, &submission);
	if (!submission.key)
		submission.key = random_key(cli);
	if (!code)
		code = send_submission(cli, &submission);
	json_decref(submission.body);
	return code;
}

static const struct argp_option wait_options[] = {
	{"timeout-s", 't', "SECONDS", 0, "Give up waiting after this time", 0},
	{0},
};

static error_t parse_job_arguments(int key, char *arg, struct argp_state *state)
{
	struct job_arguments *arguments = state->input;

	switch (key) {
	case 't':
		arguments->timeout_s = parse_number(arg, state);
		return 0;
	case ARGP_KEY_ARG:
		if (arguments->id)
			argp_usage(state);
		arguments->id = arg;
		return 0;
	case ARGP_KEY_END:
		if (!arguments->id)
			argp_error(state, "name a job");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static bool has_ended(const char *state)
{
	return state &&
	       (!strcmp(state, "done") || !strcmp(state, "failed") || !strcmp(state, "cancelled"));
}

static void pause_until(uint64_t due_ms)
{
	uint64_t now_ms = util_clock_ms();

	if (now_ms < due_ms)
		g_usleep((due_ms - now_ms) * 1000);
}

/* Repeats the wait request until the job ends; each request may go to another entry. */
static int wait_for_job(struct cli *cli, const char *id, uint64_t timeout_s)
{
	uint64_t end_ms = util_clock_ms() + timeout_s * 1000;
	char *path;

	if (!id)
		return cli_error(CLI_FAILED, "Look for the job with: jaycourse jobs",
				 "the answer contains no job id");
	path = talloc_asprintf(cli->mem, "/v1/jobs/%s/wait?timeout_ms=%d", cli_escape(cli, id),
			       WAIT_REQUEST_MS);
	while (!timeout_s || util_clock_ms() < end_ms) {
		uint64_t next_ms = util_clock_ms() + WAIT_INTERVAL_MS;
		struct cli_call call = {.method = "GET",
					.path = path,
					.timeout_ms = WAIT_REQUEST_MS + WAIT_MARGIN_MS,
					.repeatable = true};
		struct cli_answer answer;
		int code = cli_send(cli, &call, &answer);
		const char *state = json_string_value(json_object_get(answer.json, "state"));

		if (code)
			return code;
		if (has_ended(state)) {
			print_job(cli, answer.json);
			return strcmp(state, "done") ? CLI_FAILED : CLI_OK;
		}
		pause_until(timeout_s ? MIN(next_ms, end_ms) : next_ms);
	}
	return cli_error(CLI_FAILED, "Run the command again; the job continues.",
			 "job %s has not ended", id);
}

static const struct argp wait_parser = {
	.options = wait_options,
	.parser = parse_job_arguments,
	.args_doc = "JOB",
	.doc = "Wait until a job has ended; exit status 1 when it failed or was cancelled.\v"
	       "Example: jaycourse wait 9f86d081884c7d65 --timeout-s 3600",
};

static int run_wait(struct cli *cli, int argc, char **argv)
{
	struct job_arguments arguments = {0};

	cli_parse(cli, &wait_parser, argc, argv, &arguments);
	return wait_for_job(cli, arguments.id, arguments.timeout_s);
}

static int call_job(struct cli *cli, const char *method, const char *id, const char *suffix)
{
	char *path = talloc_asprintf(cli->mem, "/v1/jobs/%s%s", cli_escape(cli, id), suffix);
	struct cli_call call = {.method = method, .path = path, .repeatable = true};
	struct cli_answer answer;
	int code = cli_send(cli, &call, &answer);

	if (!code)
		print_job(cli, answer.json);
	return code;
}

static const struct argp status_parser = {
	.parser = parse_job_arguments,
	.args_doc = "JOB",
	.doc = "Show a job.\vExample: jaycourse status 9f86d081884c7d65 --output json",
};

static int run_status(struct cli *cli, int argc, char **argv)
{
	struct job_arguments arguments = {0};

	cli_parse(cli, &status_parser, argc, argv, &arguments);
	return call_job(cli, "GET", arguments.id, "");
}

static const struct argp explain_parser = {
	.parser = parse_job_arguments,
	.args_doc = "JOB",
	.doc = "Show why a job waits, or where it runs and why.\v"
	       "Example: jaycourse explain 9f86d081884c7d65",
};

static int run_explain(struct cli *cli, int argc, char **argv)
{
	struct job_arguments arguments = {0};

	cli_parse(cli, &explain_parser, argc, argv, &arguments);
	return call_job(cli, "GET", arguments.id, "/explain");
}

static const struct argp cancel_parser = {
	.parser = parse_job_arguments,
	.args_doc = "JOB",
	.doc = "Cancel a job.\vExample: jaycourse cancel 9f86d081884c7d65",
};

static int run_cancel(struct cli *cli, int argc, char **argv)
{
	struct job_arguments arguments = {0};

	cli_parse(cli, &cancel_parser, argc, argv, &arguments);
	return call_job(cli, "DELETE", arguments.id, "");
}

static error_t reject_arguments(int key, char *arg, struct argp_state *state)
{
	if (key == ARGP_KEY_ARG)
		argp_usage(state);
	return key == ARGP_KEY_ARG ? 0 : ARGP_ERR_UNKNOWN;
}

static const struct argp jobs_parser = {
	.parser = reject_arguments,
	.doc = "List the jobs of the token's organisation, or all for an operator.\v"
	       "Example: jaycourse jobs",
};

static int run_jobs(struct cli *cli, int argc, char **argv)
{
	static const struct cli_column columns[] = {
		{"JOB", "id"},	      {"ORGANISATION", "organisation"}, {"CLASS", "class"},
		{"STATE", "state"},   {"ATTEMPT", "attempt"},		{"MEMBERS", "members"},
		{"REASON", "reason"},
	};
	struct cli_answer answer;
	const json_t *jobs;
	int code;

	cli_parse(cli, &jobs_parser, argc, argv, NULL);
	code = cli_get(cli, "/v1/jobs", &answer);
	if (code)
		return code;
	jobs = json_object_get(answer.json, "jobs");
	if (cli->json)
		cli_print_json(answer.json);
	else
		cli_print_table(jobs, columns, COUNT_OF(columns));
	if (json_is_true(json_object_get(answer.json, "truncated")))
		fprintf(stderr,
			"jaycourse jobs: only the newest %zu of %" JSON_INTEGER_FORMAT
			" jobs are listed\n",
			json_array_size(jobs),
			json_integer_value(json_object_get(answer.json, "total")));
	return CLI_OK;
}

const struct cli_command cli_job_commands[] = {
	{"submit", "submit a job", run_submit},
	{"wait", "wait until a job has ended", run_wait},
	{"status", "show a job", run_status},
	{"cancel", "cancel a job", run_cancel},
	{"jobs", "list jobs", run_jobs},
	{"explain", "show why a job waits or where it runs", run_explain},
	{0},
};
