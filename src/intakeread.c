#include "intake_int.h"

#include "jsonread.h"
#include "log.h"
#include "util.h"

#include <jansson.h>
#include <string.h>

#define OK 200
#define GONE 410
#define UNAVAILABLE 503
#define RETRY_AFTER_S 1
#define LEADER_LINK "leader"
#define LEADER_WAIT_MS 400 /* a leader answers within a few ms; after this the store is read */
#define PEER_WAIT_MS 150   /* after this the next peer is asked */
#define KEY_MAX 64

void intake_drop_query(struct intake_request *request)
{
	if (request->query_id)
		g_hash_table_remove(request->intake->queries, &request->query_id);
	request->query_id = 0;
}

static void on_progress_read(int status, const struct kv_result *result, void *ctx)
{
	struct intake_request *request = ctx;
	enum plan_job_state state = PLAN_JOB_QUEUED;
	const char *text;
	json_t *record;

	if (intake_end_store_call(request))
		return;
	if (status) {
		intake_answer(request, UNAVAILABLE, NULL, RETRY_AFTER_S, "store_unavailable");
		return;
	}
	if (result->count > 0) {
		record = json_loadb(result->items[0].value, result->items[0].value_len, 0, NULL);
		text = json_string_value(json_object_get(record, "state"));
		if (!text || !plan_job_state_parse(text, &state))
			log_error("progress_unreadable", request->id,
				  "the stored progress is malformed");
		json_decref(record);
	}
	intake_answer_state(request, state);
}

static void on_job_read(int status, const struct kv_result *result, void *ctx)
{
	struct intake_request *request = ctx;
	char key[KEY_MAX];

	if (intake_end_store_call(request))
		return;
	if (status) {
		intake_answer(request, UNAVAILABLE, NULL, RETRY_AFTER_S, "store_unavailable");
		return;
	}
	if (result->count == 0) {
		intake_answer(request, GONE, NULL, 0, "job_unknown");
		return;
	}
	g_snprintf(key, sizeof(key), "progress/%s", request->id);
	request->call_pending = true;
	request->intake->deps.kv->ops->get(request->intake->deps.kv->impl, key,
					   (struct kv_cb){on_progress_read, request});
}

static void read_job_from_store(struct intake_request *request)
{
	char key[KEY_MAX];

	if (request->kind != INTAKE_STATE) {
		intake_answer(request, UNAVAILABLE, NULL, RETRY_AFTER_S, "leader_unreachable");
		return;
	}
	g_snprintf(key, sizeof(key), "job/%s", request->id);
	request->call_pending = true;
	request->intake->deps.kv->ops->get(request->intake->deps.kv->impl, key,
					   (struct kv_cb){on_job_read, request});
}

static void disconnect_leader(struct intake *intake)
{
	wire_disconnect(intake->deps.wire, LEADER_LINK);
	intake->leader_connected = false;
	TALLOC_FREE(intake->leader_link_address);
}

static bool connect_leader(struct intake *intake)
{
	const char *address = leader_address(intake->deps.leader);

	if (intake->leader_connected && !strcmp(intake->leader_link_address, address))
		return true;
	disconnect_leader(intake);
	if (!*address || wire_connect(intake->deps.wire, LEADER_LINK, address))
		return false;
	intake->leader_connected = true;
	intake->leader_link_address = talloc_strdup(intake, address);
	return true;
}

static void ask_next_source(struct intake_request *request);

static void on_answer_timeout(struct tevent_context *ev, struct tevent_timer *te,
			      struct timeval now, void *ctx)
{
	struct intake_request *request = ctx;

	request->timer = NULL;
	metrics_count_retry(request->intake->deps.metrics, "leader_silent");
	if (!request->asked_peer)
		disconnect_leader(request->intake);
	ask_next_source(request);
}

static bool send_query(struct intake_request *request, const char *link, uint32_t wait_ms)
{
	struct intake *intake = request->intake;
	struct msg msg = {.type = MSG_JOB_QUERY};

	intake_drop_query(request);
	request->query_id = ++intake->last_query_id;
	g_hash_table_insert(intake->queries, &request->query_id, request);
	msg.u.job_query.id = request->query_id;
	msg.u.job_query.verb = request->kind == INTAKE_PENDING ? "pending" : "get";
	msg.u.job_query.job = request->kind == INTAKE_PENDING ? request->queue : request->id;
	if (wire_send(intake->deps.wire, link, &msg))
		return false;
	request->timer = tevent_add_timer(intake->deps.ev, request,
					  tevent_timeval_current_ofs(0, wait_ms * 1000),
					  on_answer_timeout, request);
	return true;
}

static void answer_pending(struct intake_request *request, uint32_t count)
{
	intake_answer(request, OK, request->intake->codec.pending_body(request, count), 0,
		      "counted");
}

/* Returns false if this process does not lead or does not know the job or queue. */
static bool answer_from_coord(struct intake_request *request)
{
	struct coord *coord = request->intake->coord;
	enum plan_job_state state;
	uint32_t count;

	if (!coord)
		return false;
	if (request->kind == INTAKE_PENDING && !coord_count_pending(coord, request->queue, &count))
		answer_pending(request, count);
	else if (request->kind == INTAKE_STATE && !coord_job_state(coord, request->id, &state))
		intake_answer_state(request, state);
	else
		return false;
	return true;
}

/* Without the store this entry does not know who leads; a peer may lead and know the job. */
static bool ask_next_peer(struct intake_request *request)
{
	struct relay *relay = request->intake->deps.relay;
	const char *node;
	const char *link;

	while ((node = relay_connect(relay, request->asked_peer ? request->asked_peer : "",
				     &link))) {
		talloc_free(request->asked_peer);
		request->asked_peer = talloc_strdup(request, node);
		if (send_query(request, link, PEER_WAIT_MS))
			return true;
	}
	return false;
}

/* Continues when the process that was asked last did not answer or does not know the job. */
static void ask_next_source(struct intake_request *request)
{
	intake_drop_query(request);
	TALLOC_FREE(request->timer);
	if (intake_store_answers(request->intake)) {
		read_job_from_store(request);
		return;
	}
	if (ask_next_peer(request) || answer_from_coord(request))
		return;
	intake_answer(request, UNAVAILABLE, NULL, RETRY_AFTER_S, "store_down");
}

/*
 * A leader that the store has not confirmed may have been replaced, so its own view of the job
 * is used only as the last resort.
 */
void intake_query_job(struct intake_request *request)
{
	struct intake *intake = request->intake;

	if (intake->coord && leader_confirmed(intake->deps.leader) && answer_from_coord(request))
		return;
	if (intake->coord || !connect_leader(intake) ||
	    !send_query(request, LEADER_LINK, LEADER_WAIT_MS))
		ask_next_source(request);
}

static void on_job_info(struct intake *intake, const struct msg_job_info *info)
{
	struct intake_request *request = g_hash_table_lookup(intake->queries, &info->id);
	json_t *json;
	const char *text;
	enum plan_job_state state;
	uint32_t pending;

	if (!request)
		return;
	if (info->code) {
		ask_next_source(request);
		return;
	}
	json = json_loadb((const char *)info->json.data, info->json.len, 0, NULL);
	text = json_string_value(json_object_get(json, "state"));
	if (request->kind == INTAKE_PENDING &&
	    jsonread_u32(json_object_get(json, "pending"), UINT32_MAX, &pending))
		answer_pending(request, pending);
	else if (request->kind == INTAKE_STATE && text && plan_job_state_parse(text, &state))
		intake_answer_state(request, state);
	else
		ask_next_source(request);
	json_decref(json);
}

/* Answers a query of another entry; with an error if this process is not the confirmed leader. */
static void answer_query(struct intake *intake, const char *peer, const struct msg_job_query *query)
{
	struct msg msg = {.type = MSG_JOB_INFO, .u.job_info.id = query->id};
	enum plan_job_state state;
	uint32_t count;
	char text[64] = "{}";

	if (!intake->coord || !leader_confirmed(intake->deps.leader))
		msg.u.job_info.code = ERR_UNAVAILABLE;
	else if (!strcmp(query->verb, "pending") &&
		 !coord_count_pending(intake->coord, query->job, &count))
		g_snprintf(text, sizeof(text), "{\"pending\":%u}", count);
	else if (!strcmp(query->verb, "get") && !coord_job_state(intake->coord, query->job, &state))
		g_snprintf(text, sizeof(text), "{\"state\":\"%s\"}", plan_job_state_name(state));
	else
		msg.u.job_info.code = ERR_NOT_FOUND;
	msg.u.job_info.json.data = (uint8_t *)text;
	msg.u.job_info.json.len = strlen(text);
	if (wire_send(intake->deps.wire, peer, &msg))
		log_debug("info_unsent", query->job,
			  "cannot send the answer to the entry that asked");
}

bool intake_message(struct intake *intake, const char *peer, const struct msg *msg)
{
	if (msg->type == MSG_JOB_INFO)
		on_job_info(intake, &msg->u.job_info);
	else if (msg->type == MSG_JOB_QUERY)
		answer_query(intake, peer, &msg->u.job_query);
	else
		return false;
	return true;
}

void intake_leader_changed(struct intake *intake)
{
	disconnect_leader(intake);
}
