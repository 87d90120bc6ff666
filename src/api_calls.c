#include "api_int.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define WAIT_DEFAULT_MS 30000
#define WAIT_MAX_MS 600000
#define HISTORY_DEFAULT 20
#define HISTORY_MAX 200
#define SUBMIT_DEADLINE_MS 5000 /* when the configuration sets none */

/* A call that waits for a callback on the loop thread; holds a reference to the request. */
struct pending {
	struct api *api;
	struct request *r;
	const char *what; /* of an audited change */
	json_t *files;
	char *by;
};

static void api_fail(struct request *r, enum request_outcome outcome)
{
	request_fail(r, &r->err, outcome);
}

static struct pending *pend(struct api *api, struct request *r)
{
	struct pending *p = talloc_zero(NULL, struct pending);

	p->api = api;
	p->r = request_ref(r);
	return p;
}

static void unpend(struct pending *p)
{
	json_decref(p->files);
	request_unref(p->r);
	talloc_free(p);
}

static const char *caller_name(const struct request *r)
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

static void audit(const struct request *r, const char *who, const char *what, int status)
{
	log_info("audit", r->id, "%s by %s: %s", what, who, status ? err_name(status) : "done");
}

static json_t *parse_body(struct request *r)
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

static void config_get(struct api *api, struct request *r)
{
	json_t *body =
		json_pack("{s:I, s:s, s:O}", "revision", (json_int_t)r->config->revision, "digest",
			  r->config->digest ? r->config->digest : "", "files", r->config->files);

	request_reply_json(r, 200, body);
	json_decref(body);
}

static void on_history(int status, json_t *history, void *ctx)
{
	struct pending *p = ctx;
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
	unpend(p);
}

static void config_history(struct api *api, struct request *r)
{
	configrepo_history(api->deps.configs, HISTORY_DEFAULT, on_history, pend(api, r));
}

static void on_applied(int status, uint64_t revision, const char *text, void *ctx)
{
	struct pending *p = ctx;
	json_t *body;

	audit(p->r, p->by, p->what, status);
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
	unpend(p);
}

static void apply(struct pending *p, uint64_t base, const char *message)
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
static int authorise_first(struct pending *p)
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

static void config_apply(struct api *api, struct request *r)
{
	struct pending *p;
	json_t *body = parse_body(r);
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
	p = pend(api, r);
	p->what = "config_apply";
	p->files = json_incref(files);
	if (r->operator_)
		p->by = talloc_strdup(p, r->operator_->name);
	if (!r->operator_ && authorise_first(p)) {
		audit(r, "unauthenticated", p->what, -(int)r->err.code);
		api_fail(r, REQUEST_NOT_RUN);
		unpend(p);
	} else {
		apply(p, (uint64_t)base, message ? message : "");
	}
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
static void drain(struct api *api, struct request *r)
{
	const char *kind;
	const char *name;
	char *content;
	char *file;
	struct pending *p;
	json_t *body = parse_body(r);

	if (!body)
		return;
	if (!drain_arguments(body, &kind, &name)) {
		err_set(&r->err, ERR_INVALID, "send {\"kind\":\"target|rack|zone\",\"name\":…}",
			"kind or name is missing or wrong");
		api_fail(r, REQUEST_NOT_RUN);
		json_decref(body);
		return;
	}
	p = pend(api, r);
	p->what = "drain";
	p->by = talloc_strdup(p, caller_name(r));
	p->files = json_copy(r->config->files);
	file = drain_file(p, kind, name, &content);
	json_object_set_new(p->files, file, json_string(content));
	apply(p, r->config->revision, file);
	json_decref(body);
}

static void on_job(int status, json_t *reply, void *ctx)
{
	struct pending *p = ctx;
	struct request *r = p->r;
	enum request_outcome outcome =
		status == -ERR_OUTCOME_UNKNOWN ? REQUEST_UNKNOWN : REQUEST_NOT_RUN;
	json_t *error = json_object_get(reply, "error");

	if (p->what)
		audit(r, caller_name(r), p->what, status);
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
	unpend(p);
}

static struct jobs_cb job_cb(struct api *api, struct request *r, const char *what)
{
	struct pending *p = pend(api, r);

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
	submission.body = parse_body(r);
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
	{"POST", "/v1/drain", API_OPERATOR, true, drain},
	{"GET", "/v1/config", API_VIEWER, false, config_get},
	{"GET", "/v1/config/history", API_VIEWER, true, config_history},
	{"POST", "/v1/config", API_BOOTSTRAP, true, config_apply},
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
		       "this call is not open to %.64s", caller_name(r));
}
