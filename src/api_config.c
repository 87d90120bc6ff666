#include "api_int.h"

#include <stdio.h>
#include <string.h>

#define HISTORY_LENGTH 20 /* revisions listed */

void api_config_get(struct api *api, struct request *r)
{
	json_t *body =
		json_pack("{s:I, s:s, s:O}", "revision", (json_int_t)r->config->revision, "digest",
			  r->config->digest ? r->config->digest : "", "files", r->config->files);

	request_reply_json(r, 200, body);
	json_decref(body);
}

static void on_history(int status, json_t *history, void *ctx)
{
	struct api_pending *p = ctx;
	json_t *body;

	if (status) {
		err_set(&p->r->err, (enum err_code) - status, "retry later",
			"the history cannot be read from the store");
		api_fail(p->r, REQUEST_NOT_RUN);
	} else {
		body = json_pack("{s:O}", "history", history);
		request_reply_json(p->r, 200, body);
		json_decref(body);
	}
	api_unpend(p);
}

void api_config_history(struct api *api, struct request *r)
{
	configrepo_history(api->deps.configs, HISTORY_LENGTH, on_history, api_pend(api, r));
}

static void on_applied(int status, uint64_t revision, const char *text, void *ctx)
{
	struct api_pending *p = ctx;
	json_t *body;

	api_audit(p->r, p->by, p->what, status);
	if (!status) {
		body = json_pack("{s:I}", "revision", (json_int_t)revision);
		request_reply_json(p->r, 200, body);
	} else {
		enum request_outcome outcome =
			status == -ERR_OUTCOME_UNKNOWN ? REQUEST_UNKNOWN : REQUEST_NOT_RUN;

		err_set(&p->r->err, (enum err_code) - status,
			status == -ERR_CONFLICT
				? "apply the change again on top of that revision"
				: "correct what is named, or retry if the store is down",
			"the configuration was not applied: %.300s", text ? text : "");
		body = request_error_json(&p->r->err, outcome, p->r->id);
		/* The message of an error is bounded; the full text lists every problem. */
		json_object_set_new(body, "details", json_string(text ? text : ""));
		json_object_set_new(body, "revision", json_integer((json_int_t)revision));
		if (request_retryable(status, outcome))
			p->r->retry_after_s = 1;
		request_reply_json(p->r, request_http_status(status), body);
	}
	json_decref(body);
	api_unpend(p);
}

static void apply(struct api_pending *p, uint64_t base, const char *message)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct member_target *workers;
	size_t count = member_targets(p->api->deps.members, mem, MSG_TARGET_WORKER, &workers);
	struct place_worker_spec *specs =
		talloc_zero_array(mem, struct place_worker_spec, count + 1);
	struct configrepo_apply request = {
		.files = p->files,
		.base_revision = base,
		.by = p->by,
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
	configrepo_apply(p->api->deps.configs, &request, on_applied, p);
	talloc_free(mem);
}

/*
 * Before the first revision nobody can be authenticated by the configuration in force, so
 * the first one is accepted from an operator that it names itself.
 */
static int authorise_first(struct api_pending *p)
{
	const struct config_organisation *organisation = NULL;
	const struct config_operator *op = NULL;
	TALLOC_CTX *mem = talloc_new(NULL);
	struct config_problems problems = {0};
	struct config *config = config_parse(mem, p->files, &problems);
	int ret = -ERR_INVALID;

	if (config)
		ret = config_authenticate(config, p->r->token ? p->r->token : "", &organisation,
					  &op);
	if (!ret && op && op->role == CONFIG_OPERATOR)
		p->by = talloc_strdup(p, op->name);
	else if (config)
		ret = err_set(&p->r->err, ERR_DENIED, "use the token of an operator it names",
			      "the first configuration has to name its author as an operator");
	else
		ret = err_set(&p->r->err, ERR_INVALID, "run jaycourse config check on the folder",
			      "the configuration has %zu problems, the first: %.200s",
			      problems.count,
			      problems.count ? problems.items[0].message : "unreadable");
	talloc_free(mem);
	return ret;
}

static void refuse_first(struct api_pending *p)
{
	api_audit(p->r, "unauthenticated", p->what, -(int)p->r->err.code);
	api_fail(p->r, REQUEST_NOT_RUN);
	api_unpend(p);
}

/* A node that has not read the configuration yet must not take a second first one. */
static void on_revisions(int status, json_t *history, void *ctx)
{
	struct api_pending *p = ctx;

	if (status || json_array_size(history)) {
		err_set(&p->r->err, ERR_UNAVAILABLE, "retry in a second",
			"the configuration in force has not been read from the store yet");
		refuse_first(p);
	} else if (authorise_first(p)) {
		refuse_first(p);
	} else {
		apply(p, 0, "first configuration");
	}
}

void api_config_apply(struct api *api, struct request *r)
{
	struct api_pending *p;
	json_t *body = api_parse_body(r);
	json_t *files = json_object_get(body, "files");
	json_int_t base = json_integer_value(json_object_get(body, "base_revision"));
	const char *message = json_string_value(json_object_get(body, "message"));

	if (!body)
		return;
	if (!json_is_object(files) || base < 0) {
		err_set(&r->err, ERR_INVALID, "send {\"files\":{name:content},\"base_revision\":n}",
			"the body has no files or a negative base_revision");
		api_fail(r, REQUEST_NOT_RUN);
		json_decref(body);
		return;
	}
	p = api_pend(api, r);
	p->what = "config_apply";
	p->files = json_incref(files);
	p->by = talloc_strdup(p, api_caller_name(r));
	if (r->operator_)
		apply(p, (uint64_t)base, message ? message : "");
	else
		configrepo_history(api->deps.configs, 1, on_revisions, p);
	json_decref(body);
}

static bool drain_arguments(json_t *body, const char **kind, const char **name)
{
	*kind = json_string_value(json_object_get(body, "kind"));
	*name = json_string_value(json_object_get(body, "name"));
	if (!*kind || !*name || !**name || strlen(*name) > 128)
		return false;
	return !strcmp(*kind, "target") || !strcmp(*kind, "rack") || !strcmp(*kind, "zone");
}

static char *drain_file(TALLOC_CTX *mem, const char *kind, const char *name, char **content)
{
	json_t *json = json_pack("{s:s, s:s, s:s}", "decision", "drain", "name", name, kind, name);
	char *text = json_dumps(json, JSON_INDENT(2));
	char *file = talloc_asprintf(mem, "90-drain-%s-%s.json", kind, name);

	for (char *at = file; *at; at++) {
		if (*at == '/' || (unsigned char)*at < ' ')
			*at = '-';
	}
	*content = talloc_strdup(mem, text);
	free(text);
	json_decref(json);
	return file;
}

/* A drain is a decision like others: a new file on top of the revision in force. */
void api_drain(struct api *api, struct request *r)
{
	const char *kind;
	const char *name;
	char *content;
	char *file;
	struct api_pending *p;
	json_t *body = api_parse_body(r);

	if (!body)
		return;
	if (!drain_arguments(body, &kind, &name)) {
		err_set(&r->err, ERR_INVALID, "send {\"kind\":\"target|rack|zone\",\"name\":…}",
			"kind or name is missing or wrong");
		api_fail(r, REQUEST_NOT_RUN);
		json_decref(body);
		return;
	}
	p = api_pend(api, r);
	p->what = "drain";
	p->by = talloc_strdup(p, api_caller_name(r));
	p->files = json_copy(r->config->files);
	file = drain_file(p, kind, name, &content);
	json_object_set_new(p->files, file, json_string(content));
	apply(p, r->config->revision, file);
	json_decref(body);
}
