#include "intake_int.h"

#include "log.h"
#include "util.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#define DEADLINE_DEFAULT_MS 3000
#define DEADLINE_MAX_MS 60000
#define RETRY_SOON_S 1

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

static void count_answer(struct intake *in, enum intake_kind kind, int status)
{
	char labels[64];

	snprintf(labels, sizeof(labels), "call=\"%s\",status=\"%d\"", kind_names[kind], status);
	metrics_count(in->deps.metrics, "jaycourse_calls_total", labels,
		      "Answers to callers, by call and status");
}

static void log_answer(const struct intake_request *q, int status, const char *why)
{
	uint64_t took_ms = util_clock_ms() - q->began_ms;

	if (q->kind == INTAKE_SUBMIT || q->kind == INTAKE_CANCEL || status >= 500)
		log_info("call_answered", q->id, "%s: %d after %llu ms, %s", kind_names[q->kind],
			 status, (unsigned long long)took_ms, why);
}

static void free_if_idle(struct intake_request *q)
{
	if (!q->call && !q->busy)
		talloc_free(q);
}

void intake_answer(struct intake_request *q, int status, const char *body, uint32_t retry_after_s,
		   const char *why)
{
	struct httpd_call *call = q->call;

	intake_drop_query(q);
	TALLOC_FREE(q->timer);
	q->call = NULL;
	if (call) {
		log_answer(q, status, why);
		count_answer(q->intake, q->kind, status);
		if (q->kind == INTAKE_SUBMIT)
			metrics_observe(&q->intake->acceptance, util_clock_ms() - q->began_ms);
		if (status >= 400)
			metrics_refusal(q->intake->deps.metrics, why);
		httpd_set_context(call, NULL);
		httpd_answer(call, status, body ? "application/json" : NULL, body, retry_after_s);
	}
	free_if_idle(q);
}

bool intake_abandoned(struct intake_request *q)
{
	q->busy = false;
	if (q->call)
		return false;
	talloc_free(q);
	return true;
}

bool intake_store_answers(const struct intake *in)
{
	return in->deps.kv->ops->answers(in->deps.kv->impl);
}

void intake_show_state(struct intake_request *q, enum plan_job_state state)
{
	char *body = q->intake->codec.state_body(q, state);

	intake_answer(q, OK, body, 0, plan_job_state_name(state));
}

/* An answer that needs no request: the call is malformed or not allowed. */
static void refuse(struct intake *in, struct httpd_call *call, int status, uint32_t retry_after_s,
		   const char *why, const char *detail)
{
	log_info("call_refused", "", "%s %s: %d, %s%s%s", httpd_method(call), httpd_path(call),
		 status, why, *detail ? ": " : "", detail);
	metrics_refusal(in->deps.metrics, why);
	httpd_answer(call, status, NULL, NULL, retry_after_s);
}

static const char *bearer_key(const struct httpd_call *call)
{
	const char *value = httpd_header(call, "Authorization");

	if (!value || strncasecmp(value, "Bearer ", 7) != 0)
		return "";
	return value + 7;
}

static bool is_id(const char *text)
{
	size_t len = 0;

	while (isxdigit((unsigned char)text[len]))
		len++;
	return len == JOB_ID_LEN && text[len] == '\0';
}

static uint64_t wait_of(const struct intake *in, const struct httpd_call *call)
{
	const char *text = httpd_header(call, in->codec.deadline_header);
	long ms = text ? strtol(text, NULL, 10) : 0;

	return ms > 0 && ms <= DEADLINE_MAX_MS ? (uint64_t)ms : DEADLINE_DEFAULT_MS;
}

static struct intake_request *new_request(struct intake *in, struct httpd_call *call,
					  enum intake_kind kind, const char *id,
					  const struct fleetconf_queue *queue)
{
	struct intake_request *q = talloc_zero(in, struct intake_request);

	q->intake = in;
	q->call = call;
	q->kind = kind;
	q->began_ms = util_clock_ms();
	q->deadline_ms = q->began_ms + wait_of(in, call);
	g_strlcpy(q->id, id, sizeof(q->id));
	q->queue = talloc_strdup(q, queue->name);
	httpd_set_context(call, q);
	return q;
}

static void submit(struct intake *in, struct httpd_call *call, const char *id,
		   const struct fleetconf_queue *queue,
		   const struct fleetconf_organisation *organisation)
{
	TALLOC_CTX *mem = talloc_new(in);
	struct err err = {0};
	size_t len;
	const char *body = httpd_body(call, &len);
	struct jobspec *spec = in->codec.read_job(mem, body, len, &err);
	struct intake_request *q;
	json_t *record;
	char *text;

	if (!spec) {
		refuse(in, call, BAD_REQUEST, 0, "job_malformed", err.message);
		talloc_free(mem);
		return;
	}
	q = new_request(in, call, INTAKE_SUBMIT, id, queue);
	record = json_pack("{s:s, s:s, s:I, s:o}", "queue", queue->name, "organisation",
			   organisation ? organisation->name : "", "accepted_ms",
			   (json_int_t)util_wall_ms(), "spec", jobspec_write(spec));
	text = json_dumps(record, JSON_COMPACT);
	q->record = talloc_strdup(q, text);
	free(text);
	json_decref(record);
	talloc_free(mem);
	intake_submit(q);
}

static void with_id(struct intake *in, struct httpd_call *call, const char *id,
		    const struct fleetconf_queue *queue,
		    const struct fleetconf_organisation *organisation)
{
	const char *method = httpd_method(call);

	if (!strcmp(method, "POST"))
		submit(in, call, id, queue, organisation);
	else if (!strcmp(method, "GET"))
		intake_ask(new_request(in, call, INTAKE_STATE, id, queue));
	else if (!strcmp(method, "DELETE"))
		intake_cancel(new_request(in, call, INTAKE_CANCEL, id, queue));
	else
		refuse(in, call, METHOD_NOT_ALLOWED, 0, "method_unknown", "");
}

void intake_call(struct httpd_call *call, void *ctx)
{
	struct intake *in = ctx;
	const char *host = httpd_header(call, "Host");
	const struct fleetconf_organisation *organisation;
	const struct fleetconf_queue *queue;
	const char *rest;

	if (!in->conf) {
		refuse(in, call, UNAVAILABLE, RETRY_SOON_S, "no_configuration", "");
		return;
	}
	queue = fleetconf_route(in->conf, host ? host : "", httpd_path(call));
	if (!queue) {
		refuse(in, call, NOT_FOUND, 0, "no_queue", "");
		return;
	}
	if (queue->advised && !in->deps.advised_queues) {
		refuse(in, call, UNAVAILABLE, 0, "no_advice_service",
		       "the queue needs advice on workers; set advice_address in the settings");
		return;
	}
	organisation = fleetconf_organisation_of_key(in->conf, bearer_key(call));
	if (!queue->open && !organisation) {
		refuse(in, call, UNAUTHORIZED, 0, "key_unknown", "");
		return;
	}
	rest = httpd_path(call) + strlen(queue->prefix);
	if (is_id(rest))
		with_id(in, call, rest, queue, organisation);
	else if (*rest == '\0' && !strcmp(httpd_method(call), "GET"))
		intake_ask(new_request(in, call, INTAKE_PENDING, "", queue));
	else
		refuse(in, call, NOT_FOUND, 0, "job_id_malformed", "");
}

void intake_gone(struct httpd_call *call, void *ctx)
{
	struct intake_request *q = httpd_context(call);

	if (!q)
		return;
	q->call = NULL;
	intake_drop_query(q);
	TALLOC_FREE(q->timer);
	free_if_idle(q);
}

void intake_configure(struct intake *in, const struct fleetconf *conf)
{
	in->conf = conf;
}

void intake_lead(struct intake *in, struct coord *coord)
{
	in->coord = coord;
}

static int intake_destructor(struct intake *in)
{
	g_hash_table_destroy(in->queries);
	return 0;
}

struct intake *intake_create(TALLOC_CTX *mem, const struct intake_deps *deps)
{
	struct intake *in = talloc_zero(mem, struct intake);

	in->deps = *deps;
	in->codec = *deps->codec;
	metrics_histogram_define(deps->metrics, &in->acceptance, "jaycourse_acceptance_ms", "",
				 "Time from a submission to its answer");
	in->queries = g_hash_table_new(g_int64_hash, g_int64_equal);
	talloc_set_destructor(in, intake_destructor);
	return in;
}
