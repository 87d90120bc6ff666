#include "api_int.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define WAIT_DEFAULT_MS 30000
#define WAIT_MAX_MS 600000
#define SUBMIT_DEADLINE_MS 5000 /* when the configuration sets none */

void api_fail(struct request *r, enum request_outcome outcome)
{
	request_fail(r, &r->err, outcome);
}

struct api_pending *api_pend(struct api *api, struct request *r)
{
	struct api_pending *p = talloc_zero(NULL, struct api_pending);

	p->api = api;
	p->r = request_ref(r);
	return p;
}

void api_unpend(struct api_pending *p)
{
	json_decref(p->files);
	request_unref(p->r);
	talloc_free(p);
}

const char *api_caller_name(const struct request *r)
{
	if (r->operator_)
		return r->operator_->name;
	return r->organisation ? r->organisation->name : "";
}

/* Organisation whose objects the call may see; "" for operators: all. */
static const char *scope(const struct request *r)
{
	return r->organisation ? r->organisation->name : "";
}

void api_audit(const struct request *r, const char *who, const char *what, int status)
{
	log_info("audit", r->id, "%s by %s: %s", what, who, status ? err_name(status) : "done");
}

json_t *api_parse_body(struct request *r)
{
	json_error_t error;
	json_t *json =
		json_loadb((const char *)r->body, r->body_len, JSON_REJECT_DUPLICATES, &error);

	if (json_is_object(json))
		return json;
	json_decref(json);
	err_set(&r->err, ERR_INVALID, "send one JSON object",
		"the body is not a JSON object: %.200s", json ? "it has another type" : error.text);
	api_fail(r, REQUEST_NOT_RUN);
	return NULL;
}

static void healthz(struct api *api, struct request *r)
{
	request_reply(r, 200, "text/plain", "ok\n", 3);
}

static void not_ready(struct request *r, const char *why)
{
	char text[96];
	int len = snprintf(text, sizeof(text), "%s\n", why);

	r->retry_after_s = 1;
	request_reply(r, 503, "text/plain", text, (size_t)len);
}

static void readyz(struct api *api, struct request *r)
{
	if (filters_leaving(api->deps.filters))
		not_ready(r, "shutting down");
	else if (!configrepo_revision(api->deps.configs))
		not_ready(r, "no configuration yet");
	else
		request_reply(r, 200, "text/plain", "ready\n", 6);
}

static void metrics(struct api *api, struct request *r)
{
	char *text = metrics_render(api->deps.metrics, NULL);

	request_reply(r, 200, "text/plain; version=0.0.4", text, strlen(text));
	talloc_free(text);
}

static void internal_entries(struct api *api, struct request *r)
{
	json_t *list = peers_entries(api->deps.peers);

	request_reply_json(r, 200, list);
	json_decref(list);
}

static json_t *target_json(const struct member_target *t)
{
	json_t *json =
		json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s}", "name", t->target, "node",
			  t->node, "kind", t->kind == MSG_TARGET_WORKER ? "worker" : "service",
			  "service", t->service, "state", member_state_name(t->state), "region",
			  t->region, "zone", t->zone, "rack", t->rack);
	json_t *numbers = json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "slots",
				    (json_int_t)t->slots, "connections", (json_int_t)t->connections,
				    "in_flight", (json_int_t)t->in_flight, "accelerators",
				    (json_int_t)t->accelerators, "accelerators_free",
				    (json_int_t)__builtin_popcountll(t->accelerators_free), "cores",
				    (json_int_t)t->cores, "memory_mb", (json_int_t)t->memory_mb);

	json_object_update(json, numbers);
	json_decref(numbers);
	return json;
}

static void targets(struct api *api, struct request *r)
{
	static const enum msg_target_kind kinds[] = {MSG_TARGET_SERVICE, MSG_TARGET_WORKER};
	TALLOC_CTX *mem = talloc_new(NULL);
	json_t *list = json_array();
	json_t *body = json_pack("{s:o}", "targets", list);

	for (size_t k = 0; k < 2; k++) {
		struct member_target *rows;
		size_t count = member_targets(api->deps.members, mem, kinds[k], &rows);

		for (size_t i = 0; i < count; i++)
			json_array_append_new(list, target_json(&rows[i]));
	}
	request_reply_json(r, 200, body);
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

static json_t *organisation_json(const struct config_organisation *o)
{
	json_t *guarantees = json_array();

	for (size_t i = 0; i < o->guarantee_count; i++) {
		const struct place_shape *s = &o->guarantees[i];

		json_array_append_new(guarantees, json_pack("{s:I, s:I, s:I, s:I, s:s}", "members",
							    (json_int_t)s->members, "accelerators",
							    (json_int_t)s->accelerators, "cores",
							    (json_int_t)s->cores, "memory_mb",
							    (json_int_t)s->memory_mb, "within",
							    within_name(s->within)));
	}
	return json_pack("{s:s, s:o, s:i, s:f, s:{s:I, s:I, s:I}}", "name", o->name, "guarantee",
			 guarantees, "priority", (int)o->priority, "share", o->share, "quota",
			 "accelerators", (json_int_t)o->quota_accelerators, "jobs",
			 (json_int_t)o->quota_jobs, "requests_in_flight",
			 (json_int_t)o->quota_requests_in_flight);
}

static void organisations(struct api *api, struct request *r)
{
	json_t *list = json_array();
	json_t *body = json_pack("{s:o}", "organisations", list);

	for (size_t i = 0; i < r->config->organisation_count; i++) {
		const struct config_organisation *o = &r->config->organisations[i];

		if (!r->organisation || o == r->organisation)
			json_array_append_new(list, organisation_json(o));
	}
	request_reply_json(r, 200, body);
	json_decref(body);
}

static void on_job(int status, json_t *reply, void *ctx)
{
	struct api_pending *p = ctx;
	struct request *r = p->r;
	enum request_outcome outcome =
		status == -ERR_OUTCOME_UNKNOWN ? REQUEST_UNKNOWN : REQUEST_NOT_RUN;
	json_t *error = json_object_get(reply, "error");

	if (p->what)
		api_audit(r, api_caller_name(r), p->what, status);
	if (!status) {
		request_reply_json(r, p->what && !strcmp(p->what, "job_submit") ? 202 : 200, reply);
	} else if (error) {
		metrics_refusal(p->api->deps.metrics, err_name(status));
		json_object_set_new(error, "request", json_string(r->id));
		if (request_retryable(status, outcome))
			r->retry_after_s = 1;
		request_reply_json(r, request_http_status(status), reply);
	} else {
		metrics_refusal(p->api->deps.metrics, err_name(status));
		err_set(&r->err, (enum err_code) - status, "retry later, or check the job id",
			"the call failed: %s", err_name(status));
		api_fail(r, outcome);
	}
	api_unpend(p);
}

static struct jobs_cb job_cb(struct api *api, struct request *r, const char *what)
{
	struct api_pending *p = api_pend(api, r);

	p->what = what;
	return (struct jobs_cb){on_job, p};
}

static int key_problem(struct request *r)
{
	size_t len = r->key ? strlen(r->key) : 1;

	if (len && len <= REQUEST_KEY_MAX)
		return 0;
	return err_set(&r->err, ERR_INVALID, "send a key of 1 to 256 bytes",
		       "Idempotency-Key has %zu bytes", len);
}

static void job_submit(struct api *api, struct request *r)
{
	uint32_t deadline = r->config->limits.job_deadline_ms;
	struct jobs_submission submission = {
		.organisation = scope(r),
		.idempotency_key = r->key ? r->key : "",
		.deadline_ms = deadline ? deadline : SUBMIT_DEADLINE_MS,
	};

	if (filters_leaving(api->deps.filters))
		err_set(&r->err, ERR_LEAVING, "retry; the load balancer will choose another host",
			"this entry host is shutting down");
	else if (!r->organisation)
		err_set(&r->err, ERR_DENIED, "use a token of an organisation",
			"operators cannot submit jobs");
	if (r->err.code || key_problem(r)) {
		r->http_status = r->err.code == ERR_DENIED ? 403 : 0;
		api_fail(r, REQUEST_NOT_RUN);
		return;
	}
	submission.body = api_parse_body(r);
	if (!submission.body)
		return;
	jobs_submit(api->deps.jobs, &submission, job_cb(api, r, "job_submit"));
	json_decref(submission.body);
}

static void job_list(struct api *api, struct request *r)
{
	jobs_query(api->deps.jobs, "list", "", scope(r), job_cb(api, r, NULL));
}

static void job_get(struct api *api, struct request *r)
{
	jobs_query(api->deps.jobs, "get", r->argument, scope(r), job_cb(api, r, NULL));
}

static void job_explain(struct api *api, struct request *r)
{
	jobs_query(api->deps.jobs, "explain", r->argument, scope(r), job_cb(api, r, NULL));
}

static void job_cancel(struct api *api, struct request *r)
{
	jobs_query(api->deps.jobs, "cancel", r->argument, scope(r), job_cb(api, r, "job_cancel"));
}

static void fragmentation(struct api *api, struct request *r)
{
	jobs_query(api->deps.jobs, "fragmentation", "", "", job_cb(api, r, NULL));
}

static void job_wait(struct api *api, struct request *r)
{
	unsigned long timeout = WAIT_DEFAULT_MS;
	char *end = NULL;

	if (r->timeout_text) {
		timeout = strtoul(r->timeout_text, &end, 10);
		if (!r->timeout_text[0] || *end || r->timeout_text[0] == '-') {
			err_set(&r->err, ERR_INVALID, "send whole milliseconds",
				"timeout_ms is not a number");
			api_fail(r, REQUEST_NOT_RUN);
			return;
		}
	}
	if (timeout > WAIT_MAX_MS)
		timeout = WAIT_MAX_MS;
	jobs_wait(api->deps.jobs, r->argument, scope(r), (uint32_t)timeout, job_cb(api, r, NULL));
}

static const struct api_endpoint endpoints[] = {
	{"POST", "/v1/services/*/requests", API_REQUEST, true, NULL},
	{"POST", "/v1/jobs", API_ANY, true, job_submit},
	{"GET", "/v1/jobs", API_ANY, true, job_list},
	{"GET", "/v1/jobs/*", API_ANY, true, job_get},
	{"GET", "/v1/jobs/*/wait", API_ANY, true, job_wait},
	{"GET", "/v1/jobs/*/explain", API_ANY, true, job_explain},
	{"DELETE", "/v1/jobs/*", API_ANY, true, job_cancel},
	{"GET", "/v1/targets", API_VIEWER, false, targets},
	{"GET", "/v1/organisations", API_ANY, false, organisations},
	{"GET", "/v1/fragmentation", API_VIEWER, true, fragmentation},
	{"POST", "/v1/drain", API_OPERATOR, true, api_drain},
	{"GET", "/v1/config", API_VIEWER, false, api_config_get},
	{"GET", "/v1/config/history", API_VIEWER, true, api_config_history},
	{"POST", "/v1/config", API_BOOTSTRAP, true, api_config_apply},
	{"GET", "/v1/internal/entries", API_OPEN, true, internal_entries},
	{"GET", "/healthz", API_OPEN, false, healthz},
	{"GET", "/readyz", API_OPEN, false, readyz},
	{"GET", "/metrics", API_OPEN, false, metrics},
};

static bool match(TALLOC_CTX *mem, const char *pattern, const char *url, char **argument)
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
		if (!match(mem, endpoints[i].path, url, argument))
			continue;
		*path_known = true;
		if (!strcmp(endpoints[i].method, method))
			return &endpoints[i];
	}
	return NULL;
}

int api_authorise(const struct api_endpoint *endpoint, struct request *r)
{
	enum config_role needed = CONFIG_VIEWER;

	if (endpoint->access == API_ANY)
		return 0;
	if (endpoint->access == API_OPERATOR || endpoint->access == API_BOOTSTRAP)
		needed = CONFIG_OPERATOR;
	if (r->operator_ && r->operator_->role >= needed)
		return 0;
	r->http_status = 403;
	return err_set(&r->err, ERR_DENIED, "use the token of an operator with the role it needs",
		       "this call is not open to %.64s", api_caller_name(r));
}
