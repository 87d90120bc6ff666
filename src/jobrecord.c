#include "jobs_int.h"
#include "util.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MASK_DIGITS_MAX 16 /* of 64 bits in hexadecimal */

static const char *const state_names[JOBS_STATE_COUNT] = {
	[JOBS_ACCEPTED] = "accepted",	[JOBS_WAITING] = "waiting", [JOBS_STARTING] = "starting",
	[JOBS_RUNNING] = "running",	[JOBS_DONE] = "done",	    [JOBS_FAILED] = "failed",
	[JOBS_CANCELLED] = "cancelled",
};

static const char *const within_names[] = {
	[PLACE_WITHIN_ZONE] = "zone",
	[PLACE_WITHIN_RACK] = "rack",
	[PLACE_WITHIN_WORKER] = "worker",
};

const char *job_state_name(enum job_state state)
{
	return state_names[state];
}

bool job_ended(const struct job_record *job)
{
	return job->state >= JOBS_DONE;
}

uint32_t job_shard(const char *id)
{
	return (uint32_t)(util_hash_str(id) % JOBS_SHARDS);
}

/*
 * JSON escapes may double the payload; 96 bytes are counted for each member of the grant. The
 * exact size is measured when a shard is written.
 */
size_t job_size_estimate(const struct job_record *job)
{
	return 512 + 2 * strlen(job->payload) + strlen(job->reason) +
	       (size_t)job->shape.members * 96;
}

static json_t *members_to_json(const struct job_record *job)
{
	json_t *list = json_array();
	char mask[24];

	for (uint32_t i = 0; i < job->member_count; i++) {
		snprintf(mask, sizeof(mask), "%" PRIx64, job->members[i].mask);
		json_array_append_new(list, json_pack("{s:s, s:s}", "worker",
						      job->members[i].worker, "mask", mask));
	}
	return list;
}

json_t *job_to_json(const struct job_record *job)
{
	json_t *json = json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:[iiiii], s:I, s:I, s:I, s:b, s:b, s:s, s:I, s:I, "
		"s:o}",
		"id", job->id, "organisation", job->organisation, "class", job->class_name,
		"payload", job->payload, "reason", job->reason, "shape", (int)job->shape.members,
		(int)job->shape.accelerators, (int)job->shape.cores, (int)job->shape.memory_mb,
		(int)job->shape.within, "declared_ms", (json_int_t)job->declared_ms, "submitted_ms",
		(json_int_t)job->submitted_ms, "ended_ms", (json_int_t)job->ended_ms, "urgent",
		(int)job->urgent, "cancel", (int)job->cancel, "state", state_names[job->state],
		"attempt", (json_int_t)job->attempt, "grant", (json_int_t)job->grant, "members",
		members_to_json(job));

	return json;
}

static bool parse_members(struct job_record *job, json_t *list)
{
	size_t count = json_array_size(list);

	if (count > PLACE_MEMBERS_MAX)
		return false;
	job->member_count = (uint32_t)count;
	job->members = count ? talloc_zero_array(job, struct job_member, count) : NULL;
	for (size_t i = 0; i < count; i++) {
		const char *worker;
		const char *mask;

		if (json_unpack(json_array_get(list, i), "{s:s, s:s}", "worker", &worker, "mask",
				&mask) ||
		    strlen(mask) > MASK_DIGITS_MAX ||
		    strspn(mask, "0123456789abcdef") != strlen(mask))
			return false;
		job->members[i].worker = talloc_strdup(job, worker);
		job->members[i].mask = strtoull(mask, NULL, 16);
	}
	return true;
}

static bool parse_state(struct job_record *job, const char *name)
{
	for (int i = 0; i < JOBS_STATE_COUNT; i++) {
		if (!strcmp(state_names[i], name)) {
			job->state = (enum job_state)i;
			return true;
		}
	}
	return false;
}

struct job_record *job_from_json(TALLOC_CTX *mem, const json_t *json)
{
	struct job_record *job = talloc_zero(mem, struct job_record);
	const char *id, *organisation, *class_name, *payload, *reason, *state;
	json_int_t declared, submitted, ended, attempt, grant;
	int members, accelerators, cores, memory, within, urgent, cancel;
	json_t *list;

	if (json_unpack((json_t *)json,
			"{s:s, s:s, s:s, s:s, s:s, s:[iiiii], s:I, s:I, s:I, s:b, s:b, s:s, s:I, "
			"s:I, s:o}",
			"id", &id, "organisation", &organisation, "class", &class_name, "payload",
			&payload, "reason", &reason, "shape", &members, &accelerators, &cores,
			&memory, &within, "declared_ms", &declared, "submitted_ms", &submitted,
			"ended_ms", &ended, "urgent", &urgent, "cancel", &cancel, "state", &state,
			"attempt", &attempt, "grant", &grant, "members", &list) ||
	    !parse_members(job, list) || !parse_state(job, state) || within < 0 ||
	    within > PLACE_WITHIN_WORKER || members < 0 || accelerators < 0 || cores < 0 ||
	    memory < 0 || declared < 0 || submitted < 0 || ended < 0 || attempt < 0 ||
	    attempt > UINT32_MAX || grant < 0) {
		talloc_free(job);
		return NULL;
	}
	job->id = talloc_strdup(job, id);
	job->organisation = talloc_strdup(job, organisation);
	job->class_name = talloc_strdup(job, class_name);
	job->payload = talloc_strdup(job, payload);
	job->reason = talloc_strdup(job, reason);
	job->shape = (struct place_shape){
		.members = (uint32_t)members,
		.accelerators = (uint32_t)accelerators,
		.cores = (uint32_t)cores,
		.memory_mb = (uint32_t)memory,
		.within = (enum place_within)within,
	};
	job->declared_ms = (uint64_t)declared;
	job->submitted_ms = (uint64_t)submitted;
	job->ended_ms = (uint64_t)ended;
	job->urgent = urgent;
	job->cancel = cancel;
	job->attempt = (uint32_t)attempt;
	job->grant = (uint64_t)grant;
	return job;
}

json_t *job_to_reply(const struct job_record *job)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:i, s:o, s:I, s:s, s:{s:i, s:i, s:i, s:i, s:s}}",
			 "id", job->id, "organisation", job->organisation, "class", job->class_name,
			 "state", state_names[job->state], "attempt", (int)job->attempt, "members",
			 members_to_json(job), "submitted_ms", (json_int_t)job->submitted_ms,
			 "reason", job->reason, "shape", "members", (int)job->shape.members,
			 "accelerators", (int)job->shape.accelerators, "cores",
			 (int)job->shape.cores, "memory_mb", (int)job->shape.memory_mb, "within",
			 within_names[job->shape.within]);
}

void job_set_reason(struct job_record *job, const char *reason)
{
	char *copy = talloc_strndup(job, reason ? reason : "", 300);

	talloc_free(job->reason);
	job->reason = copy;
}

void job_clear_members(struct job_record *job)
{
	TALLOC_FREE(job->members);
	job->member_count = 0;
}

json_t *job_error_to_json(const struct err *err, bool unknown)
{
	return json_pack("{s:{s:s, s:i, s:s, s:s, s:s}}", "error", "kind", err_name(err->code),
			 "code", (int)err->code, "message", err->message, "remedy", err->remedy,
			 "outcome", unknown ? "unknown" : "not_run");
}
