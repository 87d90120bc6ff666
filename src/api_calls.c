#include "api_int.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define WAIT_DEFAULT_MS 30000
#define WAIT_MAX_MS 600000
#define SUBMIT_DEADLINE_DEFAULT_MS 5000 /* when the configuration sets no job_deadline_ms */

void api_reply_error(struct api *api, struct request *request, enum request_outcome outcome)
{
	metrics_count_refusal(api->deps.metrics, err_name((int)request->err.code));
	request_reply_error(request, &request->err, outcome);
}

struct api_pending *api_pending_create(struct api *api, struct request *request)
{
	struct api_pending *pending = talloc_zero(NULL, struct api_pending);

	pending->api = api;
	pending->request = request_ref(request);
	return pending;
}

void api_pending_free(struct api_pending *pending)
{
	json_decref(pending->files);
	request_unref(pending->request);
	talloc_free(pending);
}

const char *api_caller_name(const struct request *request)
{
	if (request->operator_)
		return request->operator_->name;
	return request->organisation ? request->organisation->name : "";
}

/* Organisation whose objects the call may see; "" for operators, who see all. */
static const char *visible_organisation(const struct request *request)
{
	return request->organisation ? request->organisation->name : "";
}

void api_audit(const struct request *request, const char *caller, const char *action, int status)
{
	log_info("audit", request->id, "%s by %s: %s", action, caller,
		 status ? err_name(status) : "done");
}

json_t *api_parse_body(struct api *api, struct request *request)
{
	json_error_t error;
	json_t *json = json_loadb((const char *)request->body, request->body_len,
				  JSON_REJECT_DUPLICATES, &error);

	if (json_is_object(json))
		return json;
	json_decref(json);
	err_set(&request->err, ERR_INVALID, "send one JSON object",
		"the body is not a JSON object: %.200s", json ? "it has another type" : error.text);
	api_reply_error(api, request, REQUEST_NOT_RUN);
	return NULL;
}

static void get_healthz(struct api *api, struct request *request)
{
	request_reply(request, 200, "text/plain", "ok\n", 3);
}

static void reply_not_ready(struct request *request, const char *why)
{
	char text[96];
	int len = snprintf(text, sizeof(text), "%s\n", why);

	request->retry_after_s = 1;
	request_reply(request, 503, "text/plain", text, (size_t)len);
}

static void get_readyz(struct api *api, struct request *request)
{
	if (filters_leaving(api->deps.filters))
		reply_not_ready(request, "shutting down");
	else if (!configrepo_revision(api->deps.configs))
		reply_not_ready(request, "no configuration yet");
	else
		request_reply(request, 200, "text/plain", "ready\n", 6);
}

static void get_metrics(struct api *api, struct request *request)
{
	char *text = metrics_render(api->deps.metrics, NULL);

	request_reply(request, 200, "text/plain; version=0.0.4", text, strlen(text));
	talloc_free(text);
}

static void get_internal_entries(struct api *api, struct request *request)
{
	json_t *list = peers_entries(api->deps.peers);

	request_reply_json(request, 200, list);
	json_decref(list);
}

static json_t *target_json(const struct member_target *target)
{
	json_t *json = json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s}", "name", target->target, "node",
		target->node, "kind", target->kind == MSG_TARGET_WORKER ? "worker" : "service",
		"service", target->service, "state", member_state_name(target->state), "region",
		target->region, "zone", target->zone, "rack", target->rack);
	json_t *numbers = json_pack(
		"{s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "slots", (json_int_t)target->slots,
		"connections", (json_int_t)target->connections, "in_flight",
		(json_int_t)target->in_flight, "accelerators", (json_int_t)target->accelerators,
		"accelerators_free", (json_int_t)__builtin_popcountll(target->accelerators_free),
		"cores", (json_int_t)target->cores, "memory_mb", (json_int_t)target->memory_mb);

	json_object_update(json, numbers);
	json_decref(numbers);
	return json;
}

static void get_targets(struct api *api, struct request *request)
{
	static const enum msg_target_kind kinds[] = {MSG_TARGET_SERVICE, MSG_TARGET_WORKER};
	TALLOC_CTX *mem = talloc_new(NULL);
	json_t *list = json_array();
	json_t *body = json_pack("{s:o}", "targets", list);

	for (size_t kind = 0; kind < 2; kind++) {
		struct member_target *rows;
		size_t count = member_targets(api->deps.members, mem, kinds[kind], &rows);

		for (size_t i = 0; i < count; i++)
			json_array_append_new(list, target_json(&rows[i]));
	}
	request_reply_json(request, 200, body);
	json_decref(body);
	talloc_free(mem);
}

static const char *within_name(enum place_within within)
{
	switch (within) {
	case PLACE_WITHIN_WORKER:
		return "worker";
	case PLACE_WITHIN_RACK:
		return "rack";
	default:
		return "zone";
	}
}

static json_t *organisation_json(const struct config_organisation *organisation)
{
	json_t *guarantees = json_array();

	for (size_t i = 0; i < organisation->guarantee_count; i++) {
		const struct place_shape *shape = &organisation->guarantees[i];

		json_array_append_new(guarantees,
				      json_pack("{s:I, s:I, s:I, s:I, s:s}", "members",
						(json_int_t)shape->members, "accelerators",
						(json_int_t)shape->accelerators, "cores",
						(json_int_t)shape->cores, "memory_mb",
						(json_int_t)shape->memory_mb, "within",
						within_name(shape->within)));
	}
	return json_pack("{s:s, s:o, s:i, s:f, s:{s:I, s:I, s:I}}", "name", organisation->name,
			 "guarantee", guarantees, "priority", (int)organisation->priority, "share",
			 organisation->share, "quota", "accelerators",
			 (json_int_t)organisation->quota_accelerators, "jobs",
			 (json_int_t)organisation->quota_jobs, "requests_in_flight",
			 (json_int_t)organisation->quota_requests_in_flight);
}

static void get_organisations(struct api *api, struct request *request)
{
	json_t *list = json_array();
	json_t *body = json_pack("{s:o}", "organisations", list);

	for (size_t i = 0; i < request->config->organisation_count; i++) {
		const struct config_organisation *organisation = &request->config->organisations[i];

		if (!request->organisation || organisation == request->organisation)
			json_array_append_new(list, organisation_json(organisation));
	}
	request_reply_json(request, 200, body);
	json_decref(body);
}

static void on_job_reply(int status, json_t *reply, void *ctx)
{
	struct api_pending *pending = ctx;
	struct request *request = pending->request;
	enum request_outcome outcome =
		status == -ERR_OUTCOME_UNKNOWN ? REQUEST_UNKNOWN : REQUEST_NOT_RUN;
	json_t *error = json_object_get(reply, "error");

	if (pending->action)
		api_audit(request, api_caller_name(request), pending->action, status);
	if (!status) {
		request_reply_json(request,
				   pending->action && !strcmp(pending->action, "job_submit") ? 202
											     : 200,
				   reply);
	} else if (error) {
		metrics_count_refusal(pending->api->deps.metrics, err_name(status));
		json_object_set_new(error, "request", json_string(request->id));
		if (request_retryable(status, outcome))
			request->retry_after_s = 1;
		request_reply_json(request, request_http_status(status), reply);
	} else {
		err_set(&request->err, (enum err_code) - status, "retry later, or check the job id",
			"the call failed: %s", err_name(status));
		api_reply_error(pending->api, request, outcome);
	}
	api_pending_free(pending);
}

static struct jobs_cb create_job_callback(struct api *api, struct request *request,
					  const char *action)
{
	struct api_pending *pending = api_pending_create(api, request);

	pending->action = action;
	return (struct jobs_cb){on_job_reply, pending};
}

static int check_idempotency_key(struct request *request)
{
	size_t len = request->key ? strlen(request->key) : 1;

	if (len && len <= REQUEST_KEY_MAX)
		return 0;
	return err_set(&request->err, ERR_INVALID, "send a key of 1 to 256 bytes",
		       "Idempotency-Key has %zu bytes", len);
}

static void submit_job(struct api *api, struct request *request)
{
	uint32_t deadline = request->config->limits.job_deadline_ms;
	struct jobs_submission submission = {
		.organisation = visible_organisation(request),
		.idempotency_key = request->key ? request->key : "",
		.deadline_ms = deadline ? deadline : SUBMIT_DEADLINE_DEFAULT_MS,
	};

	if (filters_leaving(api->deps.filters))
		err_set(&request->err, ERR_LEAVING,
			"retry; the load balancer will choose another host",
			"this entry host is shutting down");
	else if (!request->organisation)
		err_set(&request->err, ERR_DENIED, "use a token of an organisation",
			"operators cannot submit jobs");
	if (request->err.code || check_idempotency_key(request)) {
		request->http_status = request->err.code == ERR_DENIED ? 403 : 0;
		api_reply_error(api, request, REQUEST_NOT_RUN);
		return;
	}
	submission.body = api_parse_body(api, request);
	if (!submission.body)
		return;
	jobs_submit(api->deps.jobs, &submission, create_job_callback(api, request, "job_submit"));
	json_decref(submission.body);
}

static void list_jobs(struct api *api, struct request *request)
{
	jobs_query(api->deps.jobs, "list", "", visible_organisation(request),
		   create_job_callback(api, request, NULL));
}

static void get_job(struct api *api, struct request *request)
{
	jobs_query(api->deps.jobs, "get", request->argument, visible_organisation(request),
		   create_job_callback(api, request, NULL));
}

static void explain_job(struct api *api, struct request *request)
{
	jobs_query(api->deps.jobs, "explain", request->argument, visible_organisation(request),
		   create_job_callback(api, request, NULL));
}

static void cancel_job(struct api *api, struct request *request)
{
	jobs_query(api->deps.jobs, "cancel", request->argument, visible_organisation(request),
		   create_job_callback(api, request, "job_cancel"));
}

static void get_fragmentation(struct api *api, struct request *request)
{
	jobs_query(api->deps.jobs, "fragmentation", "", "",
		   create_job_callback(api, request, NULL));
}

static void wait_for_job(struct api *api, struct request *request)
{
	unsigned long timeout = WAIT_DEFAULT_MS;
	char *end = NULL;

	if (request->timeout_text) {
		timeout = strtoul(request->timeout_text, &end, 10);
		if (!request->timeout_text[0] || *end || request->timeout_text[0] == '-') {
			err_set(&request->err, ERR_INVALID, "send whole milliseconds",
				"timeout_ms is not a number");
			api_reply_error(api, request, REQUEST_NOT_RUN);
			return;
		}
	}
	if (timeout > WAIT_MAX_MS)
		timeout = WAIT_MAX_MS;
	jobs_wait(api->deps.jobs, request->argument, visible_organisation(request),
		  (uint32_t)timeout, create_job_callback(api, request, NULL));
}

static const struct api_endpoint endpoints[] = {
	{"POST", "/v1/services/*/requests", API_REQUEST, true, NULL},
	{"POST", "/v1/jobs", API_AUTHENTICATED, true, submit_job},
	{"GET", "/v1/jobs", API_AUTHENTICATED, true, list_jobs},
	{"GET", "/v1/jobs/*", API_AUTHENTICATED, true, get_job},
	{"GET", "/v1/jobs/*/wait", API_AUTHENTICATED, true, wait_for_job},
	{"GET", "/v1/jobs/*/explain", API_AUTHENTICATED, true, explain_job},
	{"DELETE", "/v1/jobs/*", API_AUTHENTICATED, true, cancel_job},
	{"GET", "/v1/targets", API_VIEWER, false, get_targets},
	{"GET", "/v1/organisations", API_AUTHENTICATED, false, get_organisations},
	{"GET", "/v1/fragmentation", API_VIEWER, true, get_fragmentation},
	{"POST", "/v1/drain", API_OPERATOR, true, api_drain},
	{"GET", "/v1/config", API_VIEWER, false, api_config_get},
	{"GET", "/v1/config/history", API_VIEWER, true, api_config_history},
	{"POST", "/v1/config", API_BOOTSTRAP, true, api_config_apply},
	{"GET", "/v1/internal/entries", API_PUBLIC, true, get_internal_entries},
	{"GET", "/healthz", API_PUBLIC, false, get_healthz},
	{"GET", "/readyz", API_PUBLIC, false, get_readyz},
	{"GET", "/metrics", API_PUBLIC, false, get_metrics},
};

static bool match_path(TALLOC_CTX *mem, const char *pattern, const char *url, char **argument)
{
	const char *star = strchr(pattern, '*');
	const char *rest;
	const char *end;

	if (!star)
		return !strcmp(pattern, url);
	if (strncmp(url, pattern, (size_t)(star - pattern)) != 0)
		return false;
	rest = url + (star - pattern);
	end = rest + strcspn(rest, "/");
	if (end == rest || strcmp(end, star + 1) != 0)
		return false;
	*argument = talloc_strndup(mem, rest, (size_t)(end - rest));
	return true;
}

const struct api_endpoint *api_find_endpoint(TALLOC_CTX *mem, const char *method, const char *url,
					     char **argument, bool *path_known)
{
	*path_known = false;
	for (size_t i = 0; i < sizeof(endpoints) / sizeof(endpoints[0]); i++) {
		if (!match_path(mem, endpoints[i].path, url, argument))
			continue;
		*path_known = true;
		if (!strcmp(endpoints[i].method, method))
			return &endpoints[i];
	}
	return NULL;
}

int api_authorise(const struct api_endpoint *endpoint, struct request *request)
{
	enum config_role needed = CONFIG_VIEWER;

	if (endpoint->access == API_AUTHENTICATED)
		return 0;
	if (endpoint->access == API_OPERATOR || endpoint->access == API_BOOTSTRAP)
		needed = CONFIG_OPERATOR;
	if (request->operator_ && request->operator_->role >= needed)
		return 0;
	request->http_status = 403;
	return err_set(&request->err, ERR_DENIED,
		       "use the token of an operator with the role that the call needs",
		       "this call is not open to %.64s", api_caller_name(request));
}
