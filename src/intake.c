#include "intake_int.h"

#include "log.h"
#include "util.h"

#include <stdlib.h>
#include <string.h>

#define DEADLINE_DEFAULT_MS 3000
#define DEADLINE_MAX_MS 60000
#define RETRY_AFTER_S 1

#define OK 200
#define BAD_REQUEST 400
#define UNAUTHORIZED 401
#define NOT_FOUND 404
#define METHOD_NOT_ALLOWED 405
#define UNAVAILABLE 503

static const char *const kind_names[] = {
	[INTAKE_SUBMIT] = "submit",   [INTAKE_STATE] = "state",	    [INTAKE_CANCEL] = "cancel",
	[INTAKE_PENDING] = "pending", [INTAKE_EXPLAIN] = "explain",
};

static void count_answer(struct intake *intake, enum intake_kind kind, int status)
{
	char labels[64];

	snprintf(labels, sizeof(labels), "call=\"%s\",status=\"%d\"", kind_names[kind], status);
	metrics_count(intake->deps.metrics, "jaycourse_calls_total", labels,
		      "Answers to callers, by call and status");
}

static void log_answer(const struct intake_request *request, int status, const char *why)
{
	uint64_t took_ms = util_clock_ms() - request->received_ms;

	if (request->kind == INTAKE_SUBMIT || request->kind == INTAKE_CANCEL || status >= 500)
		log_info("call_answered", request->id, "%s: %d after %llu ms, %s",
			 kind_names[request->kind], status, (unsigned long long)took_ms, why);
}

static void free_if_idle(struct intake_request *request)
{
	if (!request->call && !request->call_pending)
		talloc_free(request);
}

void intake_answer(struct intake_request *request, int status, const char *body,
		   uint32_t retry_after_s, const char *why)
{
	struct httpd_call *call = request->call;

	intake_drop_query(request);
	TALLOC_FREE(request->timer);
	request->call = NULL;
	if (call) {
		log_answer(request, status, why);
		count_answer(request->intake, request->kind, status);
		if (request->kind == INTAKE_SUBMIT)
			metrics_observe(&request->intake->acceptance,
					util_clock_ms() - request->received_ms);
		if (status >= 400)
			metrics_count_refusal(request->intake->deps.metrics, why);
		httpd_set_context(call, NULL);
		httpd_answer(call, status, body ? "application/json" : NULL, body, retry_after_s);
	}
	free_if_idle(request);
}

bool intake_end_store_call(struct intake_request *request)
{
	request->call_pending = false;
	if (request->call)
		return false;
	talloc_free(request);
	return true;
}

bool intake_store_answers(const struct intake *intake)
{
	return intake->deps.kv->ops->is_responding(intake->deps.kv->impl);
}

void intake_answer_state(struct intake_request *request, enum plan_job_state state)
{
	char *body = request->intake->codec.state_body(request, state);

	intake_answer(request, OK, body, 0, plan_job_state_name(state));
}

/* Answers a call that is rejected before a struct intake_request is made for it. */
static void refuse_call(struct intake *intake, struct httpd_call *call, int status,
			uint32_t retry_after_s, const char *why, const char *detail)
{
	log_info("call_refused", "", "%s %s: %d, %s%s%s", httpd_method(call), httpd_path(call),
		 status, why, *detail ? ": " : "", detail);
	metrics_count_refusal(intake->deps.metrics, why);
	httpd_answer(call, status, NULL, NULL, retry_after_s);
}

static const char *bearer_key(const struct httpd_call *call)
{
	const char *value = httpd_header(call, "Authorization");

	if (!value || strncasecmp(value, "Bearer ", 7) != 0)
		return "";
	return value + 7;
}

static uint64_t caller_wait_ms(const struct intake *intake, const struct httpd_call *call)
{
	const char *text = httpd_header(call, intake->codec.deadline_header);
	long ms = text ? strtol(text, NULL, 10) : 0;

	return ms > 0 && ms <= DEADLINE_MAX_MS ? (uint64_t)ms : DEADLINE_DEFAULT_MS;
}

static struct intake_request *create_request(struct intake *intake, struct httpd_call *call,
					     enum intake_kind kind, const char *id,
					     const struct fleetconf_queue *queue)
{
	struct intake_request *request = talloc_zero(intake, struct intake_request);

	request->intake = intake;
	request->call = call;
	request->kind = kind;
	request->received_ms = util_clock_ms();
	request->deadline_ms = request->received_ms + caller_wait_ms(intake, call);
	g_strlcpy(request->id, id, sizeof(request->id));
	request->queue = talloc_strdup(request, queue->name);
	httpd_set_context(call, request);
	return request;
}

static void handle_submission(struct intake *intake, struct httpd_call *call, const char *id,
			      const struct fleetconf_queue *queue,
			      const struct fleetconf_organisation *organisation)
{
	TALLOC_CTX *mem = talloc_new(intake);
	struct err err = {0};
	size_t len;
	const char *body = httpd_body(call, &len);
	struct jobspec *spec = intake->codec.read_job(mem, body, len, &err);
	struct intake_request *request;
	json_t *record;
	char *text;

	if (!spec) {
		refuse_call(intake, call, BAD_REQUEST, 0, "job_malformed", err.message);
		talloc_free(mem);
		return;
	}
	request = create_request(intake, call, INTAKE_SUBMIT, id, queue);
	record = json_pack("{s:s, s:s, s:s, s:s, s:I, s:I, s:f, s:I, s:b, s:s, s:I, s:o}", "queue",
			   queue->name, "host", queue->host, "prefix", queue->prefix, "service",
			   queue->service, "priority", (json_int_t)queue->priority, "max_attempts",
			   (json_int_t)queue->max_attempts, "stretch", queue->stretch,
			   "allowance_ms", (json_int_t)queue->allowance_ms, "advised",
			   queue->advised, "organisation", organisation ? organisation->name : "",
			   "accepted_ms", (json_int_t)util_wall_ms(), "spec", jobspec_write(spec));
	text = json_dumps(record, JSON_COMPACT);
	request->job_record = talloc_strdup(request, text);
	free(text);
	json_decref(record);
	talloc_free(mem);
	intake_submit(request);
}

static void handle_job_call(struct intake *intake, struct httpd_call *call, const char *id,
			    const struct fleetconf_queue *queue,
			    const struct fleetconf_organisation *organisation)
{
	const char *method = httpd_method(call);

	if (!strcmp(method, "POST"))
		handle_submission(intake, call, id, queue, organisation);
	else if (!strcmp(method, "GET"))
		intake_query_job(create_request(intake, call, INTAKE_STATE, id, queue));
	else if (!strcmp(method, "DELETE"))
		intake_cancel(create_request(intake, call, INTAKE_CANCEL, id, queue));
	else
		refuse_call(intake, call, METHOD_NOT_ALLOWED, 0, "method_unknown", "");
}

void intake_call(struct httpd_call *call, void *ctx)
{
	struct intake *intake = ctx;
	const char *host = httpd_header(call, "Host");
	const struct fleetconf_organisation *organisation;
	const struct fleetconf_queue *queue;
	const char *rest;

	if (!intake->conf) {
		refuse_call(intake, call, UNAVAILABLE, RETRY_AFTER_S, "no_configuration", "");
		return;
	}
	queue = fleetconf_route(intake->conf, host ? host : "", httpd_path(call));
	if (!queue) {
		refuse_call(intake, call, NOT_FOUND, 0, "no_queue", "");
		return;
	}
	if (queue->advised && !intake->deps.advised_queues) {
		refuse_call(
			intake, call, UNAVAILABLE, 0, "no_advice_service",
			"the queue needs advice on workers; set advice_address in the settings");
		return;
	}
	organisation = fleetconf_organisation_of_key(intake->conf, bearer_key(call));
	if (!queue->open && !organisation) {
		refuse_call(intake, call, UNAUTHORIZED, 0, "key_unknown", "");
		return;
	}
	rest = httpd_path(call) + strlen(queue->prefix);
	if (jobspec_is_id(rest))
		handle_job_call(intake, call, rest, queue, organisation);
	else if (*rest == '\0' && !strcmp(httpd_method(call), "GET"))
		intake_query_job(create_request(intake, call, INTAKE_PENDING, "", queue));
	else
		refuse_call(intake, call, NOT_FOUND, 0, "job_id_malformed", "");
}

void intake_caller_gone(struct httpd_call *call, void *ctx)
{
	struct intake_request *request = httpd_context(call);

	if (!request)
		return;
	request->call = NULL;
	intake_drop_query(request);
	TALLOC_FREE(request->timer);
	free_if_idle(request);
}

void intake_configure(struct intake *intake, const struct fleetconf *conf)
{
	intake->conf = conf;
}

void intake_set_coord(struct intake *intake, struct coord *coord)
{
	intake->coord = coord;
}

static int intake_destructor(struct intake *intake)
{
	g_hash_table_destroy(intake->queries);
	return 0;
}

struct intake *intake_create(TALLOC_CTX *mem, const struct intake_deps *deps)
{
	struct intake *intake = talloc_zero(mem, struct intake);

	intake->deps = *deps;
	intake->codec = *deps->codec;
	metrics_histogram_define(deps->metrics, &intake->acceptance, "jaycourse_acceptance_ms", "",
				 "Time from a submission to its answer");
	intake->queries = g_hash_table_new(g_int64_hash, g_int64_equal);
	talloc_set_destructor(intake, intake_destructor);
	return intake;
}
