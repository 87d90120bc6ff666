#include "cli.h"
#include "httpc.h"
#include "util.h"

#include <ctype.h>
#include <stdio.h>
#include <string.h>

#define DEFAULT_TIMEOUT_MS 30000
#define HEADERS_MAX 16
#define HTTP_UNAUTHORIZED 401
#define HTTP_FORBIDDEN 403
#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT 409
#define HTTP_UNAVAILABLE 503

struct exchange {
	struct cli *cli;
	struct cli_answer *answer;
	int status;
	bool done;
};

char *cli_escape(struct cli *cli, const char *text)
{
	char *out = talloc_strdup(cli->mem, "");

	for (; *text; text++) {
		if (isalnum((unsigned char)*text) || strchr("-._~", *text))
			out = talloc_asprintf_append_buffer(out, "%c", *text);
		else
			out = talloc_asprintf_append_buffer(out, "%%%02X", (unsigned char)*text);
	}
	return out;
}

static void on_answer(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct exchange *exchange = ctx;

	exchange->done = true;
	exchange->status = status;
	exchange->answer->http_status = http_status;
	exchange->answer->body = talloc_strndup(exchange->cli->mem, "", 0);
	exchange->answer->body =
		talloc_realloc(exchange->cli->mem, exchange->answer->body, char, len + 1);
	memcpy(exchange->answer->body, body, len);
	exchange->answer->body[len] = '\0';
	exchange->answer->len = len;
}

static int send_to_entry(struct cli *cli, const char *entry, const struct cli_call *call,
			 struct cli_answer *answer)
{
	struct exchange exchange = {.cli = cli, .answer = answer};
	TALLOC_CTX *mem = talloc_new(cli->mem);
	struct tevent_context *ev = tevent_context_init(mem);
	struct httpc *http = httpc_create(mem, ev);
	const char *headers[HEADERS_MAX] = {0};
	struct httpc_request request = {
		.method = call->method,
		.url = talloc_asprintf(mem, "%s%s", entry, call->path),
		.headers = headers,
		.body = call->body,
		.body_len = call->body_len,
		.timeout_ms = call->timeout_ms ? call->timeout_ms : DEFAULT_TIMEOUT_MS,
		.connect_timeout_ms = 3000,
		.fresh_connection = true,
		.done = on_answer,
		.ctx = &exchange,
	};

	for (size_t i = 0; i < call->header_count; i++)
		headers[request.header_count++] = call->headers[i];
	if (cli->token[0])
		headers[request.header_count++] =
			talloc_asprintf(mem, "Authorization: Bearer %s", cli->token);
	if (!httpc_start(http, &request))
		exchange.status = -ERR_SYSTEM;
	else
		while (!exchange.done)
			tevent_loop_once(ev);
	talloc_free(mem);
	return exchange.status;
}

static const char *error_text(const json_t *error, const char *name, const char *fallback)
{
	const char *text = json_string_value(json_object_get(error, name));

	return text && *text ? text : fallback;
}

static int exit_code(int http_status, const char *outcome)
{
	if (http_status == HTTP_UNAUTHORIZED || http_status == HTTP_FORBIDDEN)
		return CLI_DENIED;
	if (http_status == HTTP_NOT_FOUND)
		return CLI_NOT_FOUND;
	if (http_status == HTTP_CONFLICT)
		return CLI_CONFLICT;
	if (!strcmp(outcome, "unknown"))
		return CLI_OUTCOME_UNKNOWN;
	return strcmp(outcome, "not_run") ? CLI_FAILED : CLI_NOT_RUN;
}

static int report_error_answer(struct cli *cli, const struct cli_answer *answer)
{
	const json_t *error = json_object_get(answer->json, "error");
	const char *details = json_string_value(json_object_get(answer->json, "details"));
	const char *outcome = error_text(error, "outcome", "unknown");
	int code = exit_code(answer->http_status, outcome);

	if (cli->json && answer->json)
		cli_print_json(answer->json);
	if (details && *details)
		fprintf(stderr, "%s%s", details, details[strlen(details) - 1] == '\n' ? "" : "\n");
	return cli_error(code, error_text(error, "remedy", "See the log of the entry host."),
			 "%s (HTTP %d, %s)", error_text(error, "message", "the call failed"),
			 answer->http_status, error_text(error, "code", "no details"));
}

static int report_transport_error(int status, const char *entry)
{
	if (status == -ERR_UNAVAILABLE)
		return cli_error(CLI_NOT_RUN, "Check --entry, or try again later.",
				 "no entry host could be reached; the last one tried was %s",
				 entry);
	return cli_error(CLI_OUTCOME_UNKNOWN,
			 "Look up what happened before repeating; with the same --key it is safe.",
			 "%s did not give a complete answer (%s)", entry, err_name(status));
}

/* Releases a JSON value together with its talloc parent. */
struct json_owner {
	json_t *json;
};

static int json_owner_destructor(struct json_owner *owner)
{
	json_decref(owner->json);
	return 0;
}

/* Returns the parsed body, owned by cli->mem; NULL when it is not JSON. */
static json_t *parse_answer(struct cli *cli, const struct cli_answer *answer)
{
	struct json_owner *owner = talloc_zero(cli->mem, struct json_owner);

	owner->json = json_loadb(answer->body, answer->len, 0, NULL);
	talloc_set_destructor(owner, json_owner_destructor);
	return owner->json;
}

int cli_send(struct cli *cli, const struct cli_call *call, struct cli_answer *answer)
{
	int status = -ERR_UNAVAILABLE;
	size_t i = 0;

	*answer = (struct cli_answer){0};
	if (cli->entry_count == 0)
		return cli_error(CLI_USAGE, "Give --entry URL or set JAYCOURSE_ENTRY.",
				 "no entry host was given");
	for (; i < cli->entry_count; i++) {
		status = send_to_entry(cli, cli->entries[i], call, answer);
		if (!status || (status != -ERR_UNAVAILABLE && !call->repeatable))
			break;
	}
	if (status)
		return report_transport_error(status,
					      cli->entries[i < cli->entry_count ? i : i - 1]);
	answer->json = parse_answer(cli, answer);
	if (answer->http_status / 100 == 2)
		return CLI_OK;
	if (answer->http_status == HTTP_UNAVAILABLE && call->accept_unavailable)
		return CLI_OK;
	return report_error_answer(cli, answer);
}

int cli_get(struct cli *cli, const char *path, struct cli_answer *answer)
{
	struct cli_call call = {.method = "GET", .path = path, .repeatable = true};
	int code = cli_send(cli, &call, answer);

	if (!code && !answer->json)
		return cli_error(CLI_FAILED, "Check that --entry names an entry host.",
				 "the answer is not JSON");
	return code;
}
