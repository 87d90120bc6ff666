#include "fields.h"
#include "jobs_int.h"
#include "util.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#define DECLARED_DEFAULT_S 3600
#define DECLARED_MAX_S (90 * 24 * 3600)
#define CORES_MAX 4096
#define MEMORY_MAX_GB 65536

struct body {
	const char *class_name;
	const char *within;
	uint32_t members;
	uint32_t accelerators;
	uint32_t cores;
	uint32_t memory_gb;
	uint32_t declared_s;
	bool urgent;
};

static const struct field_spec specs[] = {
	{.name = "class", .type = FIELD_NAME, .offset = offsetof(struct body, class_name)},
	{.name = "members",
	 .type = FIELD_U32,
	 .offset = offsetof(struct body, members),
	 .min = 1,
	 .max = PLACE_MEMBERS_MAX},
	{.name = "accelerators",
	 .type = FIELD_U32,
	 .offset = offsetof(struct body, accelerators),
	 .max = PLACE_ACCELERATORS_MAX},
	{.name = "cores",
	 .type = FIELD_U32,
	 .offset = offsetof(struct body, cores),
	 .max = CORES_MAX},
	{.name = "memory_gb",
	 .type = FIELD_U32,
	 .offset = offsetof(struct body, memory_gb),
	 .max = MEMORY_MAX_GB},
	{.name = "within", .type = FIELD_NAME, .offset = offsetof(struct body, within)},
	{.name = "declared_s",
	 .type = FIELD_U32,
	 .offset = offsetof(struct body, declared_s),
	 .min = 1,
	 .max = DECLARED_MAX_S},
	{.name = "urgent", .type = FIELD_BOOL, .offset = offsetof(struct body, urgent)},
	{.name = "payload", .type = FIELD_OTHER},
};

/* Only the first problem is kept; the caller sees one at a time, with its remedy. */
static void on_problem(const char *field, const char *message, const char *remedy, void *ctx)
{
	struct err *err = ctx;

	if (!err->code)
		err_set(err, ERR_INVALID, remedy, "%s: %s", field, message);
}

static int read_within(const char *name, enum place_within *within, struct err *err)
{
	static const char *const names[] = {"zone", "rack", "worker"};

	for (int i = 0; i < 3; i++) {
		if (!strcmp(name, names[i])) {
			*within = (enum place_within)i;
			return 0;
		}
	}
	return err_set(err, ERR_INVALID, "send \"zone\", \"rack\" or \"worker\"",
		       "within: \"%s\" is not known", name);
}

/* Members of the shape that one worker could hold when it is empty. */
static uint32_t members_on(const struct place_shape *s, uint32_t accelerators, uint32_t cores,
			   uint32_t memory_mb)
{
	uint32_t count = PLACE_MEMBERS_MAX;

	if (s->accelerators)
		count = MIN(count, accelerators / s->accelerators);
	if (s->cores)
		count = MIN(count, cores / s->cores);
	if (s->memory_mb)
		count = MIN(count, memory_mb / s->memory_mb);
	return count;
}

static bool same_place(const struct place_worker_spec *a, const struct place_worker_spec *b,
		       enum place_within within)
{
	if (within == PLACE_WITHIN_ZONE)
		return !strcmp(a->zone, b->zone);
	if (within == PLACE_WITHIN_RACK)
		return !strcmp(a->zone, b->zone) && !strcmp(a->rack, b->rack);
	return a == b;
}

/* Could any worker, rack or zone hold the shape if it were empty? */
static bool fits(const struct place_shape *s, const struct place_worker_spec *workers, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		uint32_t sum = 0;

		for (size_t k = 0; k < count && sum < s->members; k++) {
			if (same_place(&workers[i], &workers[k], s->within))
				sum += members_on(s, workers[k].accelerators, workers[k].cores,
						  workers[k].memory_mb);
		}
		if (sum >= s->members)
			return true;
	}
	return false;
}

static size_t announced(TALLOC_CTX *mem, struct member *members, struct place_worker_spec **out)
{
	struct member_target *targets;
	size_t count = member_targets(members, mem, MSG_TARGET_WORKER, &targets);

	*out = talloc_array(mem, struct place_worker_spec, count);
	for (size_t i = 0; i < count; i++) {
		(*out)[i] = (struct place_worker_spec){
			.name = targets[i].node,
			.zone = targets[i].zone,
			.rack = targets[i].rack,
			.accelerators = targets[i].accelerators,
			.cores = targets[i].cores,
			.memory_mb = targets[i].memory_mb,
		};
	}
	return count;
}

/* Workers that are away for a moment count through the planned fleet. */
static int check_fits(const struct place_shape *shape, const struct config *config,
		      struct member *members, struct err *err)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct place_worker_spec *workers;
	size_t count = announced(mem, members, &workers);
	bool ok = count == 0 || fits(shape, workers, count) ||
		  fits(shape, config->fleet, config->fleet_count);

	talloc_free(mem);
	if (ok)
		return 0;
	return err_set(err, ERR_NEVER_FITS, "ask for fewer or smaller members, or a wider place",
		       "%u members of %u accelerators, %u cores and %u MB fit nowhere in the fleet",
		       shape->members, shape->accelerators, shape->cores, shape->memory_mb);
}

static int check_class(const struct config *config, const char *name, struct err *err)
{
	const struct config_class *class;

	if (!name)
		return err_set(err, ERR_INVALID, "name a class of jobs", "class is missing");
	class = config_class(config, name);
	if (!class)
		return err_set(err, ERR_NOT_FOUND, "name a class of the configuration",
			       "class \"%s\" is unknown", name);
	if (class->service && class->service[0])
		return err_set(err, ERR_INVALID, "send it as a request to that service",
			       "class \"%s\" is one of requests to %s", name, class->service);
	return 0;
}

static int check_quota(const struct config *config, const char *organisation,
		       const struct place_shape *shape, struct err *err)
{
	const struct config_organisation *org = config_organisation(config, organisation);
	uint32_t wanted = shape->members * shape->accelerators;

	if (!org)
		return err_set(err, ERR_NOT_FOUND, "add the organisation to the configuration",
			       "organisation \"%s\" is unknown", organisation);
	if (org->quota_accelerators && wanted > org->quota_accelerators)
		return err_set(err, ERR_OVER_QUOTA, "ask for less, or have the quota raised",
			       "%u accelerators wanted, the quota is %u", wanted,
			       org->quota_accelerators);
	if (config->limits.max_members && shape->members > config->limits.max_members)
		return err_set(err, ERR_INVALID, "ask for fewer, larger members",
			       "%u members, the limit is %u", shape->members,
			       config->limits.max_members);
	return 0;
}

static char *payload_text(struct job_record *job, const json_t *body, struct err *err)
{
	json_t *payload = json_object_get(body, "payload");
	char *text = payload ? json_dumps(payload, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
	char *copy = talloc_strdup(job, text ? text : "{}");

	free(text);
	if (strlen(copy) <= JOBS_PAYLOAD_MAX)
		return copy;
	err_set(err, ERR_INVALID, "keep data elsewhere and send a reference to it",
		"payload has %zu bytes, the limit is %d", strlen(copy), JOBS_PAYLOAD_MAX);
	return NULL;
}

static int fill(struct job_record *job, const json_t *json, struct body *body,
		const struct config *config, struct member *members, struct err *err)
{
	int ret = check_class(config, body->class_name, err);

	if (!ret)
		ret = read_within(body->within, &job->shape.within, err);
	if (ret)
		return ret;
	job->class_name = talloc_strdup(job, body->class_name);
	job->shape.members = body->members;
	job->shape.accelerators = body->accelerators;
	job->shape.cores = body->cores;
	job->shape.memory_mb = body->memory_gb * 1024;
	job->declared_ms = (uint64_t)body->declared_s * 1000;
	job->urgent = json_object_get(json, "urgent")
			      ? body->urgent
			      : config_class(config, body->class_name)->urgent;
	job->payload = payload_text(job, json, err);
	if (!job->payload)
		return -ERR_INVALID;
	ret = check_quota(config, job->organisation, &job->shape, err);
	return ret ? ret : check_fits(&job->shape, config, members, err);
}

struct job_record *job_from_body(TALLOC_CTX *mem, const json_t *json, const char *organisation,
				 const struct config *config, struct member *members,
				 struct err *err)
{
	struct job_record *job = talloc_zero(mem, struct job_record);
	struct body body = {
		.within = "zone", .members = 1, .cores = 1, .declared_s = DECLARED_DEFAULT_S};
	struct field_sink sink = {on_problem, err};

	err->code = 0;
	job->organisation = talloc_strdup(job, organisation);
	job->reason = talloc_strdup(job, "");
	job->submitted_ms = util_wall_ms();
	if (!json_is_object(json))
		err_set(err, ERR_INVALID, "send a JSON object", "the body is not a JSON object");
	else if (!fields_read(job, json, "", specs, G_N_ELEMENTS(specs), &body, &sink))
		fill(job, json, &body, config, members, err);
	if (!err->code)
		return job;
	talloc_free(job);
	return NULL;
}
