#include "intake_int.h"

#include "log.h"
#include "util.h"

#include <jansson.h>
#include <string.h>

#define OK 200
#define GONE 410
#define UNAVAILABLE 503
#define RETRY_AFTER_S 1
#define LEADER_LINK "leader"
#define LEADER_WAIT_MS 400 /* then the store is asked; a leader answers within few milliseconds */
#define PEER_WAIT_MS 150   /* then the next peer is asked */
#define KEY_MAX 64

void intake_drop_query(struct intake_request *q)
{
	if (q->query)
		g_hash_table_remove(q->intake->queries, &q->query);
	q->query = 0;
}

static void on_progress(int status, const struct kv_result *result, void *ctx)
{
	struct intake_request *q = ctx;
	enum plan_job_state state = PLAN_JOB_QUEUED;
	const char *text;
	json_t *record;

	if (intake_abandoned(q))
		return;
	if (status) {
		intake_answer(q, UNAVAILABLE, NULL, RETRY_AFTER_S, "store_unavailable");
		return;
	}
	if (result->count > 0) {
		record = json_loadb(result->items[0].value, result->items[0].value_len, 0, NULL);
		text = json_string_value(json_object_get(record, "state"));
		if (!text || !plan_job_state_parse(text, &state))
			log_error("progress_unreadable", q->id, "the stored progress is malformed");
		json_decref(record);
	}
	intake_show_state(q, state);
}

static void on_job(int status, const struct kv_result *result, void *ctx)
{
	struct intake_request *q = ctx;
	char key[KEY_MAX];

	if (intake_abandoned(q))
		return;
	if (status) {
		intake_answer(q, UNAVAILABLE, NULL, RETRY_AFTER_S, "store_unavailable");
		return;
	}
	if (result->count == 0) {
		intake_answer(q, GONE, NULL, 0, "job_unknown");
		return;
	}
	g_snprintf(key, sizeof(key), "progress/%s", q->id);
	q->busy = true;
	q->intake->deps.kv->ops->get(q->intake->deps.kv->impl, key, (struct kv_cb){on_progress, q});
}

static void ask_store(struct intake_request *q)
{
	char key[KEY_MAX];

	if (q->kind != INTAKE_STATE) {
		intake_answer(q, UNAVAILABLE, NULL, RETRY_AFTER_S, "leader_unreachable");
		return;
	}
	g_snprintf(key, sizeof(key), "job/%s", q->id);
	q->busy = true;
	q->intake->deps.kv->ops->get(q->intake->deps.kv->impl, key, (struct kv_cb){on_job, q});
}

static void disconnect(struct intake *in)
{
	wire_disconnect(in->deps.wire, LEADER_LINK);
	in->connected = false;
	TALLOC_FREE(in->connected_to);
}

static bool connect_leader(struct intake *in)
{
	const char *address = leader_address(in->deps.leader);

	if (in->connected && !strcmp(in->connected_to, address))
		return true;
	disconnect(in);
	if (!*address || wire_connect(in->deps.wire, LEADER_LINK, address))
		return false;
	in->connected = true;
	in->connected_to = talloc_strdup(in, address);
	return true;
}

static void go_on(struct intake_request *q);

static void on_no_answer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			 void *ctx)
{
	struct intake_request *q = ctx;

	q->timer = NULL;
	metrics_retry(q->intake->deps.metrics, "leader_silent");
	if (!q->asked_peer)
		disconnect(q->intake);
	go_on(q);
}

static bool ask_link(struct intake_request *q, const char *link, uint32_t wait_ms)
{
	struct intake *in = q->intake;
	struct msg msg = {.type = MSG_JOB_QUERY};

	intake_drop_query(q);
	q->query = ++in->next_query;
	g_hash_table_insert(in->queries, &q->query, q);
	msg.u.job_query.id = q->query;
	msg.u.job_query.verb = q->kind == INTAKE_PENDING ? "pending" : "get";
	msg.u.job_query.job = q->kind == INTAKE_PENDING ? q->queue : q->id;
	if (wire_send(in->deps.wire, link, &msg))
		return false;
	q->timer = tevent_add_timer(in->deps.ev, q, tevent_timeval_current_ofs(0, wait_ms * 1000),
				    on_no_answer, q);
	return true;
}

static void show_pending(struct intake_request *q, uint32_t count)
{
	intake_answer(q, OK, q->intake->codec.pending_body(q, count), 0, "counted");
}

/* False if this process does not lead or does not know the job. */
static bool answer_here(struct intake_request *q)
{
	struct coord *coord = q->intake->coord;
	enum plan_job_state state;
	uint32_t count;

	if (!coord)
		return false;
	if (q->kind == INTAKE_PENDING && !coord_count_pending(coord, q->queue, &count))
		show_pending(q, count);
	else if (q->kind == INTAKE_STATE && !coord_job_state(coord, q->id, &state))
		intake_show_state(q, state);
	else
		return false;
	return true;
}

/* Without the store it is not known who leads; a peer may lead, or know. */
static bool ask_next_peer(struct intake_request *q)
{
	const char *link;
	const char *node =
		relay_connect(q->intake->deps.relay, q->asked_peer ? q->asked_peer : "", &link);

	if (!node)
		return false;
	talloc_free(q->asked_peer);
	q->asked_peer = talloc_strdup(q, node);
	return ask_link(q, link, PEER_WAIT_MS);
}

/* Who was asked last can't say. */
static void go_on(struct intake_request *q)
{
	intake_drop_query(q);
	TALLOC_FREE(q->timer);
	if (intake_store_answers(q->intake)) {
		ask_store(q);
		return;
	}
	if (ask_next_peer(q) || answer_here(q))
		return;
	intake_answer(q, UNAVAILABLE, NULL, RETRY_AFTER_S, "store_down");
}

/*
 * A leader that the store does not answer may have been replaced, so its own view comes last
 * then.
 */
void intake_ask(struct intake_request *q)
{
	struct intake *in = q->intake;

	if (in->coord && leader_confirmed(in->deps.leader) && answer_here(q))
		return;
	if (in->coord || !connect_leader(in) || !ask_link(q, LEADER_LINK, LEADER_WAIT_MS))
		go_on(q);
}

static void on_info(struct intake *in, const struct msg_job_info *info)
{
	struct intake_request *q = g_hash_table_lookup(in->queries, &info->id);
	json_t *json;
	const char *text;
	enum plan_job_state state;

	if (!q)
		return;
	if (info->code) {
		go_on(q);
		return;
	}
	json = json_loadb((const char *)info->json.data, info->json.len, 0, NULL);
	text = json_string_value(json_object_get(json, "state"));
	if (q->kind == INTAKE_PENDING && json_is_integer(json_object_get(json, "pending")))
		show_pending(q, (uint32_t)json_integer_value(json_object_get(json, "pending")));
	else if (q->kind == INTAKE_STATE && text && plan_job_state_parse(text, &state))
		intake_show_state(q, state);
	else
		go_on(q);
	json_decref(json);
}

/* Another entry asks this process, which leads or did so a moment ago. */
static void answer_query(struct intake *in, const char *peer, const struct msg_job_query *query)
{
	struct msg msg = {.type = MSG_JOB_INFO, .u.job_info.id = query->id};
	enum plan_job_state state;
	uint32_t count;
	char text[64] = "{}";

	if (!in->coord || !leader_confirmed(in->deps.leader))
		msg.u.job_info.code = ERR_UNAVAILABLE;
	else if (!strcmp(query->verb, "pending") &&
		 !coord_count_pending(in->coord, query->job, &count))
		g_snprintf(text, sizeof(text), "{\"pending\":%u}", count);
	else if (!strcmp(query->verb, "get") && !coord_job_state(in->coord, query->job, &state))
		g_snprintf(text, sizeof(text), "{\"state\":\"%s\"}", plan_job_state_name(state));
	else
		msg.u.job_info.code = ERR_NOT_FOUND;
	msg.u.job_info.json.data = (uint8_t *)text;
	msg.u.job_info.json.len = strlen(text);
	if (wire_send(in->deps.wire, peer, &msg))
		log_debug("info_unsent", query->job, "the asking entry is gone");
}

bool intake_message(struct intake *in, const char *peer, const struct msg *msg)
{
	if (msg->type == MSG_JOB_INFO)
		on_info(in, &msg->u.job_info);
	else if (msg->type == MSG_JOB_QUERY)
		answer_query(in, peer, &msg->u.job_query);
	else
		return false;
	return true;
}

void intake_leader_changed(struct intake *in)
{
	disconnect(in);
}
