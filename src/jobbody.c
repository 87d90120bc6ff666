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

struct job_body {
	const char *class_name;
	const char *within;
	uint32_t members;
	uint32_t accelerators;
	uint32_t cores;
	uint32_t memory_gb;
	uint32_t declared_s;
	bool urgent;
};

static const struct field_spec body_fields[] = {
	{.name = "class", .type = FIELD_NAME, .offset = offsetof(struct job_body, class_name)},
	{.name = "members",
	 .type = FIELD_U32,
	 .offset = offsetof(struct job_body, members),
	 .min = 1,
	 .max = PLACE_MEMBERS_MAX},
	{.name = "accelerators",
	 .type = FIELD_U32,
	 .offset = offsetof(struct job_body, accelerators),
	 .max = PLACE_ACCELERATORS_MAX},
	{.name = "cores",
	 .type = FIELD_U32,
	 .offset = offsetof(struct job_body, cores),
	 .max = CORES_MAX},
	{.name = "memory_gb",
	 .type = FIELD_U32,
	 .offset = offsetof(struct job_body, memory_gb),
	 .max = MEMORY_MAX_GB},
	{.name = "within", .type = FIELD_NAME, .offset = offsetof(struct job_body, within)},
	{.name = "declared_s",
	 .type = FIELD_U32,
	 .offset = offsetof(struct job_body, declared_s),
	 .min = 1,
	 .max = DECLARED_MAX_S},
	{.name = "urgent", .type = FIELD_BOOL, .offset = offsetof(struct job_body, urgent)},
	{.name = "payload", .type = FIELD_READ_BY_CALLER},
};

/* Keeps only the first problem: the caller is told one at a time, with its remedy. */
static void on_field_problem(const char *field, const char *message, const char *remedy, void *ctx)
{
	struct err *err = ctx;

	if (!err->code)
		err_set(err, ERR_INVALID, remedy, "%s: %s", field, message);
}

static int parse_within(const char *name, enum place_within *within, struct err *err)
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

/* Number of members of the shape that fit on one empty worker. */
static uint32_t members_per_worker(const struct place_shape *shape, uint32_t accelerators,
				   uint32_t cores, uint32_t memory_mb)
{
	uint32_t count = PLACE_MEMBERS_MAX;

	if (shape->accelerators)
		count = MIN(count, accelerators / shape->accelerators);
	if (shape->cores)
		count = MIN(count, cores / shape->cores);
	if (shape->memory_mb)
		count = MIN(count, memory_mb / shape->memory_mb);
	return count;
}

/* True when the constraint allows members of one job on both workers. */
static bool in_same_domain(const struct place_worker_spec *a, const struct place_worker_spec *b,
			   enum place_within within)
{
	if (within == PLACE_WITHIN_ZONE)
		return !strcmp(a->zone, b->zone);
	if (within == PLACE_WITHIN_RACK)
		return !strcmp(a->zone, b->zone) && !strcmp(a->rack, b->rack);
	return a == b;
}

/* True when some worker, rack or zone, as the shape asks, could hold it if it were empty. */
static bool fits_on_workers(const struct place_shape *shape,
			    const struct place_worker_spec *workers, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		uint32_t capacity = 0;

		for (size_t k = 0; k < count && capacity < shape->members; k++) {
			if (in_same_domain(&workers[i], &workers[k], shape->within))
				capacity +=
					members_per_worker(shape, workers[k].accelerators,
							   workers[k].cores, workers[k].memory_mb);
		}
		if (capacity >= shape->members)
			return true;
	}
	return false;
}

static size_t list_announced_workers(TALLOC_CTX *mem, struct membership *members,
				     struct place_worker_spec **out)
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

/*
 * The shape must fit on the announced workers, or on the planned fleet of the configuration, so
 * that a job isn't refused because workers are unreachable for a moment. Before any worker is
 * announced, or while @members is NULL, no shape is refused.
 */
static int check_fits(const struct place_shape *shape, const struct config *config,
		      struct membership *members, struct err *err)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct place_worker_spec *workers;
	size_t count = members ? list_announced_workers(mem, members, &workers) : 0;
	bool ok = count == 0 || fits_on_workers(shape, workers, count) ||
		  fits_on_workers(shape, config->fleet, config->fleet_count);

	talloc_free(mem);
	if (ok)
		return 0;
	return err_set(err, ERR_NEVER_FITS,
		       "ask for fewer or smaller members, or a wider \"within\"",
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
			       "class \"%s\" is for requests to service %s, not for jobs", name,
			       class->service);
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
		return err_set(err, ERR_OVER_QUOTA,
			       "ask for fewer accelerators, or have the quota raised",
			       "%u accelerators requested, the quota is %u", wanted,
			       org->quota_accelerators);
	if (config->limits.max_members && shape->members > config->limits.max_members)
		return err_set(err, ERR_INVALID, "ask for fewer, larger members",
			       "%u members requested, the limit is %u", shape->members,
			       config->limits.max_members);
	return 0;
}

static char *copy_payload(struct job_record *job, const json_t *body, struct err *err)
{
	json_t *payload = json_object_get(body, "payload");
	char *text = payload ? json_dumps(payload, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
	char *copy = talloc_strdup(job, text ? text : "{}");

	free(text);
	if (strlen(copy) <= JOBS_PAYLOAD_MAX_BYTES)
		return copy;
	err_set(err, ERR_INVALID, "keep data elsewhere and send a reference to it",
		"payload has %zu bytes, the limit is %d", strlen(copy), JOBS_PAYLOAD_MAX_BYTES);
	return NULL;
}

static int fill_record(struct job_record *job, const json_t *json, struct job_body *body,
		       const struct config *config, struct membership *members, struct err *err)
{
	int ret = check_class(config, body->class_name, err);

	if (!ret)
		ret = parse_within(body->within, &job->shape.within, err);
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
	job->payload = copy_payload(job, json, err);
	if (!job->payload)
		return -ERR_INVALID;
	ret = check_quota(config, job->organisation, &job->shape, err);
	return ret ? ret : check_fits(&job->shape, config, members, err);
}

struct job_record *job_from_body(TALLOC_CTX *mem, const json_t *json, const char *organisation,
				 const struct config *config, struct membership *members,
				 struct err *err)
{
	struct job_record *job = talloc_zero(mem, struct job_record);
	struct job_body body = {
		.within = "zone", .members = 1, .cores = 1, .declared_s = DECLARED_DEFAULT_S};
	struct field_sink sink = {on_field_problem, err};

	err->code = 0;
	job->organisation = talloc_strdup(job, organisation);
	job->reason = talloc_strdup(job, "");
	job->submitted_ms = util_wall_ms();
	if (!json_is_object(json))
		err_set(err, ERR_INVALID, "send a JSON object", "the body is not a JSON object");
	else if (!fields_read(job, json, "", body_fields, G_N_ELEMENTS(body_fields), &body, &sink))
		fill_record(job, json, &body, config, members, err);
	if (!err->code)
		return job;
	talloc_free(job);
	return NULL;
}
