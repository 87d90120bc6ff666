#include "api_int.h"

#include <stdio.h>
#include <string.h>

#define HISTORY_LENGTH 20 /* revisions listed */

void api_config_get(struct api *api, struct request *request)
{
	json_t *body =
		json_pack("{s:I, s:s, s:O}", "revision", (json_int_t)request->config->revision,
			  "digest", request->config->digest ? request->config->digest : "", "files",
			  request->config->files);

	request_reply_json(request, 200, body);
	json_decref(body);
}

static void on_history(int status, json_t *history, void *ctx)
{
	struct api_pending *pending = ctx;
	json_t *body;

	if (status) {
		err_set(&pending->request->err, (enum err_code) - status, "retry later",
			"the history cannot be read from the store");
		api_reply_error(pending->api, pending->request, REQUEST_NOT_RUN);
	} else {
		body = json_pack("{s:O}", "history", history);
		request_reply_json(pending->request, 200, body);
		json_decref(body);
	}
	api_pending_free(pending);
}

void api_config_history(struct api *api, struct request *request)
{
	configrepo_history(api->deps.configs, HISTORY_LENGTH, on_history,
			   api_pending_create(api, request));
}

static void on_applied(int status, uint64_t revision, const char *text, void *ctx)
{
	struct api_pending *pending = ctx;
	json_t *body;

	api_audit(pending->request, pending->author, pending->action, status);
	if (!status) {
		body = json_pack("{s:I}", "revision", (json_int_t)revision);
		request_reply_json(pending->request, 200, body);
	} else {
		enum request_outcome outcome =
			status == -ERR_OUTCOME_UNKNOWN ? REQUEST_UNKNOWN : REQUEST_NOT_RUN;

		err_set(&pending->request->err, (enum err_code) - status,
			status == -ERR_CONFLICT
				? "apply the change again on top of that revision"
				: "correct the problems listed, or retry if the store is down",
			"the configuration was not applied: %.300s", text ? text : "");
		body = request_error_json(&pending->request->err, outcome, pending->request->id);
		/* The error message is bounded; "details" holds the whole list of problems. */
		json_object_set_new(body, "details", json_string(text ? text : ""));
		json_object_set_new(body, "revision", json_integer((json_int_t)revision));
		if (request_retryable(status, outcome))
			pending->request->retry_after_s = 1;
		request_reply_json(pending->request, request_http_status(status), body);
	}
	json_decref(body);
	api_pending_free(pending);
}

static void apply_change(struct api_pending *pending, uint64_t base_revision, const char *message)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct member_target *workers;
	size_t count = member_targets(pending->api->deps.members, mem, MSG_TARGET_WORKER, &workers);
	struct place_worker_spec *specs =
		talloc_zero_array(mem, struct place_worker_spec, count + 1);
	struct configrepo_apply change = {
		.files = pending->files,
		.base_revision = base_revision,
		.by = pending->author,
		.message = message,
		.workers = specs,
		.worker_count = count,
	};

	for (size_t i = 0; i < count; i++)
		specs[i] = (struct place_worker_spec){
			.name = workers[i].target,
			.zone = workers[i].zone,
			.rack = workers[i].rack,
			.accelerators = workers[i].accelerators,
			.cores = workers[i].cores,
			.memory_mb = workers[i].memory_mb,
		};
	configrepo_apply(pending->api->deps.configs, &change, on_applied, pending);
	talloc_free(mem);
}

/*
 * Before the first revision there is no configuration to authenticate callers with, so the first
 * configuration is accepted from an operator that it names itself.
 */
static int authorise_first_configuration(struct api_pending *pending)
{
	const struct config_organisation *organisation = NULL;
	const struct config_operator *author = NULL;
	TALLOC_CTX *mem = talloc_new(NULL);
	struct config_problems problems = {0};
	struct config *config = config_parse(mem, pending->files, &problems);
	int ret = -ERR_INVALID;

	if (config)
		ret = config_authenticate(config,
					  pending->request->token ? pending->request->token : "",
					  &organisation, &author);
	if (!ret && author && author->role == CONFIG_OPERATOR)
		pending->author = talloc_strdup(pending, author->name);
	else if (config)
		ret = err_set(&pending->request->err, ERR_DENIED,
			      "use the token of an operator that it names",
			      "the first configuration has to name its author as an operator");
	else
		ret = err_set(&pending->request->err, ERR_INVALID,
			      "run jaycourse config check on the folder",
			      "the configuration has %zu problems, the first: %.200s",
			      problems.count,
			      problems.count ? problems.items[0].message : "unreadable");
	talloc_free(mem);
	return ret;
}

static void refuse_first_configuration(struct api_pending *pending)
{
	api_audit(pending->request, "unauthenticated", pending->action,
		  -(int)pending->request->err.code);
	api_reply_error(pending->api, pending->request, REQUEST_NOT_RUN);
	api_pending_free(pending);
}

/*
 * Checks in the store that no revision exists: an entry host that has not read the configuration
 * yet must not accept another first configuration.
 */
static void on_existing_revisions(int status, json_t *history, void *ctx)
{
	struct api_pending *pending = ctx;

	if (status || json_array_size(history)) {
		err_set(&pending->request->err, ERR_UNAVAILABLE, "retry in a second",
			"the configuration in force has not been read from the store yet");
		refuse_first_configuration(pending);
	} else if (authorise_first_configuration(pending)) {
		refuse_first_configuration(pending);
	} else {
		apply_change(pending, 0, "first configuration");
	}
}

void api_config_apply(struct api *api, struct request *request)
{
	struct api_pending *pending;
	json_t *body = api_parse_body(api, request);
	json_t *files = json_object_get(body, "files");
	json_int_t base_revision = json_integer_value(json_object_get(body, "base_revision"));
	const char *message = json_string_value(json_object_get(body, "message"));

	if (!body)
		return;
	if (!json_is_object(files) || base_revision < 0) {
		err_set(&request->err, ERR_INVALID,
			"send {\"files\":{name:content},\"base_revision\":n}",
			"the body has no files or a negative base_revision");
		api_reply_error(api, request, REQUEST_NOT_RUN);
		json_decref(body);
		return;
	}
	pending = api_pending_create(api, request);
	pending->action = "config_apply";
	pending->files = json_incref(files);
	pending->author = talloc_strdup(pending, api_caller_name(request));
	if (request->operator_)
		apply_change(pending, (uint64_t)base_revision, message ? message : "");
	else
		configrepo_history(api->deps.configs, 1, on_existing_revisions, pending);
	json_decref(body);
}

static bool parse_drain_arguments(json_t *body, const char **kind, const char **name)
{
	*kind = json_string_value(json_object_get(body, "kind"));
	*name = json_string_value(json_object_get(body, "name"));
	if (!*kind || !*name || !**name || strlen(*name) > 128)
		return false;
	return !strcmp(*kind, "target") || !strcmp(*kind, "rack") || !strcmp(*kind, "zone");
}

static char *create_drain_file(TALLOC_CTX *mem, const char *kind, const char *name, char **content)
{
	json_t *json = json_pack("{s:s, s:s, s:s}", "decision", "drain", "name", name, kind, name);
	char *text = json_dumps(json, JSON_INDENT(2));
	char *file = talloc_asprintf(mem, "90-drain-%s-%s.json", kind, name);

	for (char *c = file; *c; c++) {
		if (*c == '/' || (unsigned char)*c < ' ')
			*c = '-';
	}
	*content = talloc_strdup(mem, text);
	free(text);
	json_decref(json);
	return file;
}

/* Drains by a decision file, which is added to the configuration in force as a new revision. */
void api_drain(struct api *api, struct request *request)
{
	const char *kind;
	const char *name;
	char *content;
	char *file;
	struct api_pending *pending;
	json_t *body = api_parse_body(api, request);

	if (!body)
		return;
	if (!parse_drain_arguments(body, &kind, &name)) {
		err_set(&request->err, ERR_INVALID,
			"send {\"kind\":\"target|rack|zone\",\"name\":…}",
			"kind or name is missing or invalid");
		api_reply_error(api, request, REQUEST_NOT_RUN);
		json_decref(body);
		return;
	}
	pending = api_pending_create(api, request);
	pending->action = "drain";
	pending->author = talloc_strdup(pending, api_caller_name(request));
	pending->files = json_copy(request->config->files);
	file = create_drain_file(pending, kind, name, &content);
	json_object_set_new(pending->files, file, json_string(content));
	apply_change(pending, request->config->revision, file);
	json_decref(body);
}
