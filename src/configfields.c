#include "config_internal.h"

#include <crypt.h>
#include <string.h>

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))
#define ACCELERATORS_MAX 1000000
#define REQUESTS_MAX 1000000
#define JOBS_MAX 1000000
#define DEADLINE_MAX_MS 86400000 /* a day */
#define GUARANTEES_MAX 64
#define TOKENS_MAX 16
#define RACKS_MAX 2000
#define WORKERS_PER_RACK_MAX 256
#define CORES_MAX 4096
#define MEMORY_MAX_GB 65536
#define BODY_MAX_BYTES (64 * 1024 * 1024)
#define PERIOD_MAX_S 604800 /* a week */
#define MS_PER_S 1000

#define ORG(f) offsetof(struct config_organisation, f)
#define CLASS(f) offsetof(struct config_class, f)
#define SERVICE(f) offsetof(struct config_service, f)
#define LIMIT(f) offsetof(struct config_limits, f)
#define POLICY(f) offsetof(struct place_policy, f)
#define SHAPE(f) offsetof(struct place_shape, f)
#define DRAIN(f) offsetof(struct config_drain_draft, f)
#define RACK(f) offsetof(struct config_rack_draft, f)
#define COMMON_FIELDS                                    \
	{"decision", FIELD_READ_BY_CALLER, 0, 0, 0, 0},  \
	{                                                \
		"name", FIELD_READ_BY_CALLER, 0, 0, 0, 0 \
	}

static const struct field_spec organisation_fields[] = {
	COMMON_FIELDS,
	{"guarantees", FIELD_READ_BY_CALLER, 0, 0, 0, 0},
	{"quota", FIELD_READ_BY_CALLER, 0, 0, 0, 0},
	{"priority", FIELD_I32, ORG(priority), -1000, 1000, 0},
	{"share", FIELD_DOUBLE, ORG(share), 0.01, 1000, 0},
	{"tokens", FIELD_STRINGS, ORG(token_hashes), 0, TOKENS_MAX, ORG(token_hash_count)},
};
static const struct field_spec quota_fields[] = {
	{"accelerators", FIELD_U32, ORG(quota_accelerators), 0, ACCELERATORS_MAX, 0},
	{"jobs", FIELD_U32, ORG(quota_jobs), 0, JOBS_MAX, 0},
	{"requests_in_flight", FIELD_U32, ORG(quota_requests_in_flight), 0, REQUESTS_MAX, 0},
};
static const struct field_spec shape_fields[] = {
	{"members", FIELD_U32, SHAPE(members), 1, PLACE_MEMBERS_MAX, 0},
	{"accelerators", FIELD_U32, SHAPE(accelerators), 1, PLACE_ACCELERATORS_MAX, 0},
	{"cores", FIELD_U32, SHAPE(cores), 0, CORES_MAX, 0},
	{"memory_gb", FIELD_U32, SHAPE(memory_mb), 0, MEMORY_MAX_GB, 0},
	{"within", FIELD_READ_BY_CALLER, 0, 0, 0, 0},
};
static const struct field_spec class_fields[] = {
	COMMON_FIELDS,
	{"service", FIELD_NAME, CLASS(service), 0, 0, 0},
	{"urgent", FIELD_BOOL, CLASS(urgent), 0, 0, 0},
	{"idempotent", FIELD_BOOL, CLASS(idempotent), 0, 0, 0},
	{"deadline_ms", FIELD_U32, CLASS(deadline_ms), 1, DEADLINE_MAX_MS, 0},
	{"weight", FIELD_DOUBLE, CLASS(weight), 0.01, 1000, 0},
	{"max_queue", FIELD_U32, CLASS(max_queue), 1, REQUESTS_MAX, 0},
	{"hedge", FIELD_BOOL, CLASS(hedge), 0, 0, 0},
	{"hedge_after_ms", FIELD_U32, CLASS(hedge_after_ms), 0, DEADLINE_MAX_MS, 0},
	{"checkpoint", FIELD_BOOL, CLASS(checkpoint), 0, 0, 0},
	{"idempotency_ttl_s", FIELD_U32, CLASS(idempotency_ttl_s), 1, PERIOD_MAX_S, 0},
};
static const struct field_spec service_fields[] = {
	COMMON_FIELDS,
	{"slots", FIELD_U32, SERVICE(slots), 1, 65536, 0},
	{"connections", FIELD_U32, SERVICE(connections), 1, 65536, 0},
};
static const struct field_spec operator_fields[] = {
	COMMON_FIELDS,
	{"token", FIELD_STRING, offsetof(struct config_operator, token_hash), 1, CRYPT_OUTPUT_SIZE,
	 0},
	{"role", FIELD_READ_BY_CALLER, 0, 0, 0, 0},
};
static const struct field_spec drain_fields[] = {
	COMMON_FIELDS,
	{"target", FIELD_NAME, DRAIN(target), 0, 0, 0},
	{"rack", FIELD_NAME, DRAIN(rack), 0, 0, 0},
	{"zone", FIELD_NAME, DRAIN(zone), 0, 0, 0},
};
static const struct field_spec limits_fields[] = {
	COMMON_FIELDS,
	{"body_bytes", FIELD_U32, LIMIT(body_bytes), 1, BODY_MAX_BYTES, 0},
	{"queue_total", FIELD_U32, LIMIT(queue_total), 1, REQUESTS_MAX, 0},
	{"retry_percent", FIELD_U32, LIMIT(retry_percent), 0, 100, 0},
	{"retry_per_s", FIELD_U32, LIMIT(retry_per_s), 0, 1000, 0},
	{"eject_percent", FIELD_U32, LIMIT(eject_percent), 0, 50, 0},
	{"job_deadline_ms", FIELD_U32, LIMIT(job_deadline_ms), 100, 600000, 0},
	{"max_members", FIELD_U32, LIMIT(max_members), 1, PLACE_MEMBERS_MAX, 0},
};
static const struct field_spec policy_fields[] = {
	COMMON_FIELDS,
	{"weights", FIELD_READ_BY_CALLER, 0, 0, 0, 0},
	{"lend_idle", FIELD_BOOL, POLICY(lend_idle), 0, 0, 0},
	{"give_back", FIELD_READ_BY_CALLER, 0, 0, 0, 0},
	{"reclaim_grace_ms", FIELD_U32, POLICY(reclaim_grace_ms), 0, 600000, 0},
};
static const struct field_spec weight_fields[] = {
	{"completion", FIELD_DOUBLE, POLICY(weight_completion), 0, 1, 0},
	{"fragmentation", FIELD_DOUBLE, POLICY(weight_fragmentation), 0, 1, 0},
};
/* The table reads the values as seconds; read_give_back() converts them to milliseconds. */
static const struct field_spec give_back_fields[] = {
	{"enabled", FIELD_BOOL, POLICY(give_back), 0, 0, 0},
	{"idle_s", FIELD_U32, POLICY(give_back_idle_ms), 1, PERIOD_MAX_S, 0},
	{"return_s", FIELD_U32, POLICY(give_back_return_ms), 0, PERIOD_MAX_S, 0},
};
static const struct field_spec fleet_fields[] = {
	COMMON_FIELDS,
	{"racks", FIELD_READ_BY_CALLER, 0, 0, 0, 0},
};
static const struct field_spec rack_fields[] = {
	{"zone", FIELD_NAME, RACK(zone), 0, 0, 0},
	{"rack", FIELD_NAME, RACK(rack), 0, 0, 0},
	{"workers", FIELD_U32, RACK(workers), 1, WORKERS_PER_RACK_MAX, 0},
	{"accelerators", FIELD_U32, RACK(accelerators), 0, PLACE_ACCELERATORS_MAX, 0},
	{"cores", FIELD_U32, RACK(cores), 0, CORES_MAX, 0},
	{"memory_gb", FIELD_U32, RACK(memory_gb), 0, MEMORY_MAX_GB, 0},
};

static void report_problem(const char *field, const char *message, const char *remedy, void *ctx)
{
	config_problem_add(ctx, field, message, remedy);
}

static size_t read_fields(struct config_merge *merge, const json_t *object, const char *prefix,
			  const struct field_spec *specs, size_t count, void *out)
{
	struct field_sink sink = {report_problem, merge};

	return fields_read(merge->config, object, prefix, specs, count, out, &sink);
}

/* Reads the fields of the object in field @name, if it is present, into @out. */
static size_t read_nested(struct config_merge *merge, const json_t *decision, const char *name,
			  const struct field_spec *specs, size_t count, void *out)
{
	const json_t *object = json_object_get(decision, name);
	char prefix[64];

	if (!object)
		return 0;
	if (!json_is_object(object)) {
		config_problem_add(merge, name, "is not an object", "Write {…} with named fields.");
		return 1;
	}
	snprintf(prefix, sizeof(prefix), "%s.", name);
	return read_fields(merge, object, prefix, specs, count, out);
}

/*
 * Returns the list in field @name. Returns NULL when it is absent, and also reports a problem when
 * it is not a list of at most @max objects.
 */
static const json_t *check_object_list(struct config_merge *merge, const json_t *decision,
				       const char *name, size_t max)
{
	const json_t *list = json_object_get(decision, name);
	const json_t *item;
	size_t i;

	if (!list)
		return NULL;
	if (!json_is_array(list) || json_array_size(list) > max) {
		char message[64];

		snprintf(message, sizeof(message), "is not a list of at most %zu objects", max);
		config_problem_add(merge, name, message, "Write [{…}, …].");
		return NULL;
	}
	json_array_foreach(list, i, item)
	{
		if (json_is_object(item))
			continue;
		config_problem_add(merge, name, "holds an entry that is not an object",
				   "Write [{…}, …].");
		return NULL;
	}
	return list;
}

static bool require_fields(struct config_merge *merge, const json_t *object, const char *prefix,
			   const char *const *names, size_t count)
{
	bool complete = true;

	for (size_t i = 0; i < count; i++) {
		char field[128];

		if (json_object_get(object, names[i]))
			continue;
		snprintf(field, sizeof(field), "%s%s", prefix, names[i]);
		config_problem_add(merge, field, "is missing", "Add the field.");
		complete = false;
	}
	return complete;
}

static void read_within(struct config_merge *merge, const json_t *object, const char *prefix,
			struct place_shape *shape)
{
	static const char *const names[] = {"zone", "rack", "worker"};
	const json_t *value = json_object_get(object, "within");
	const char *text = value ? json_string_value(value) : "zone";
	char field[96];

	for (int i = 0; text && i < 3; i++) {
		if (strcmp(text, names[i]) != 0)
			continue;
		shape->within = (enum place_within)i;
		return;
	}
	snprintf(field, sizeof(field), "%swithin", prefix);
	config_problem_add(merge, field, "is not \"zone\", \"rack\" or \"worker\"",
			   "Choose one of the three.");
}

static void read_shape(struct config_merge *merge, const json_t *object, size_t index,
		       struct place_shape *shape)
{
	static const char *const required[] = {"members", "accelerators"};
	char prefix[64];

	snprintf(prefix, sizeof(prefix), "guarantees[%zu].", index);
	require_fields(merge, object, prefix, required, COUNT_OF(required));
	read_fields(merge, object, prefix, shape_fields, COUNT_OF(shape_fields), shape);
	read_within(merge, object, prefix, shape);
	shape->memory_mb *= 1024;
	if (shape->within == PLACE_WITHIN_WORKER &&
	    (uint64_t)shape->members * shape->accelerators > PLACE_ACCELERATORS_MAX) {
		snprintf(prefix, sizeof(prefix), "guarantees[%zu].members", index);
		config_problem_add(merge, prefix, "makes a shape that no single worker can hold",
				   "Reduce it, or choose \"within\": \"rack\".");
	}
}

static void read_guarantees(struct config_merge *merge, const json_t *decision,
			    struct config_organisation *org)
{
	const json_t *list = check_object_list(merge, decision, "guarantees", GUARANTEES_MAX);
	const json_t *item;
	size_t i;

	if (!list)
		return;
	org->guarantee_count = json_array_size(list);
	org->guarantees =
		talloc_zero_array(merge->config, struct place_shape, org->guarantee_count);
	json_array_foreach(list, i, item) read_shape(merge, item, i, &org->guarantees[i]);
}

static void check_hash(struct config_merge *merge, const char *field, const char *hash)
{
	if (crypt_checksalt(hash) != CRYPT_SALT_OK)
		config_problem_add(merge, field, "is not a salted hash that this system accepts",
				   "Store the output of \"jaycourse token hash\", not the token.");
}

static void read_organisation(struct config_merge *merge, const json_t *decision, const char *name)
{
	struct config *config = merge->config;
	struct config_organisation *org = (void *)config_organisation(config, name);

	if (!org) {
		config->organisations =
			talloc_realloc(config, config->organisations, struct config_organisation,
				       config->organisation_count + 1);
		org = &config->organisations[config->organisation_count++];
		*org = (struct config_organisation){.name = talloc_strdup(config, name),
						    .share = 1};
	}
	read_fields(merge, decision, "", organisation_fields, COUNT_OF(organisation_fields), org);
	read_nested(merge, decision, "quota", quota_fields, COUNT_OF(quota_fields), org);
	read_guarantees(merge, decision, org);
	for (size_t i = 0; json_object_get(decision, "tokens") && i < org->token_hash_count; i++)
		check_hash(merge, "tokens", org->token_hashes[i]);
}

static void read_class(struct config_merge *merge, const json_t *decision, const char *name)
{
	struct config *config = merge->config;
	struct config_class *class = (void *)config_class(config, name);

	if (!class) {
		config->classes = talloc_realloc(config, config->classes, struct config_class,
						 config->class_count + 1);
		class = &config->classes[config->class_count++];
		*class = (struct config_class){.name = talloc_strdup(config, name),
					       .service = "",
					       .deadline_ms = 30000,
					       .weight = 1,
					       .max_queue = 100,
					       .idempotency_ttl_s = 3600};
	}
	read_fields(merge, decision, "", class_fields, COUNT_OF(class_fields), class);
}

static void read_service(struct config_merge *merge, const json_t *decision, const char *name)
{
	struct config *config = merge->config;
	struct config_service *service = (void *)config_service(config, name);

	if (!service) {
		config->services = talloc_realloc(config, config->services, struct config_service,
						  config->service_count + 1);
		service = &config->services[config->service_count++];
		*service = (struct config_service){talloc_strdup(config, name), 8, 64};
	}
	read_fields(merge, decision, "", service_fields, COUNT_OF(service_fields), service);
}

static struct config_operator *find_or_add_operator(struct config *config, const char *name)
{
	for (size_t i = 0; i < config->operator_count; i++) {
		if (!strcmp(config->operators[i].name, name))
			return &config->operators[i];
	}
	config->operators = talloc_realloc(config, config->operators, struct config_operator,
					   config->operator_count + 1);
	config->operators[config->operator_count] =
		(struct config_operator){talloc_strdup(config, name), CONFIG_VIEWER, NULL};
	return &config->operators[config->operator_count++];
}

static void read_operator(struct config_merge *merge, const json_t *decision, const char *name)
{
	struct config_operator *op = find_or_add_operator(merge->config, name);
	const json_t *role = json_object_get(decision, "role");
	const char *text = json_string_value(role);

	read_fields(merge, decision, "", operator_fields, COUNT_OF(operator_fields), op);
	if (json_object_get(decision, "token") && op->token_hash)
		check_hash(merge, "token", op->token_hash);
	if (!role)
		return;
	if (text && !strcmp(text, "operator"))
		op->role = CONFIG_OPERATOR;
	else if (text && !strcmp(text, "viewer"))
		op->role = CONFIG_VIEWER;
	else
		config_problem_add(merge, "role", "is not \"viewer\" or \"operator\"",
				   "Choose one of the two.");
}

static void read_drain(struct config_merge *merge, const json_t *decision, const char *name)
{
	struct config_drain_draft *draft = NULL;

	for (size_t i = 0; i < merge->drain_count && !draft; i++) {
		if (!strcmp(merge->drains[i].name, name))
			draft = &merge->drains[i];
	}
	if (!draft) {
		merge->drains = talloc_realloc(merge->config, merge->drains,
					       struct config_drain_draft, merge->drain_count + 1);
		draft = &merge->drains[merge->drain_count++];
		*draft = (struct config_drain_draft){.name = talloc_strdup(merge->config, name)};
	}
	read_fields(merge, decision, "", drain_fields, COUNT_OF(drain_fields), draft);
}

static void read_limits(struct config_merge *merge, const json_t *decision, const char *name)
{
	read_fields(merge, decision, "", limits_fields, COUNT_OF(limits_fields),
		    &merge->config->limits);
}

static void read_give_back(struct config_merge *merge, const json_t *decision)
{
	struct place_policy *policy = &merge->config->policy;
	struct place_policy seconds = {
		.give_back = policy->give_back,
		.give_back_idle_ms = policy->give_back_idle_ms / MS_PER_S,
		.give_back_return_ms = policy->give_back_return_ms / MS_PER_S,
	};

	read_nested(merge, decision, "give_back", give_back_fields, COUNT_OF(give_back_fields),
		    &seconds);
	policy->give_back = seconds.give_back;
	policy->give_back_idle_ms = seconds.give_back_idle_ms * MS_PER_S;
	policy->give_back_return_ms = seconds.give_back_return_ms * MS_PER_S;
}

/* There is only one policy: every policy decision, whatever its name, overrides fields of it. */
static void read_policy(struct config_merge *merge, const json_t *decision, const char *name)
{
	struct place_policy *policy = &merge->config->policy;

	read_fields(merge, decision, "", policy_fields, COUNT_OF(policy_fields), policy);
	read_nested(merge, decision, "weights", weight_fields, COUNT_OF(weight_fields), policy);
	read_give_back(merge, decision);
}

static struct config_fleet_draft *find_or_add_fleet(struct config_merge *merge, const char *name)
{
	for (size_t i = 0; i < merge->fleet_count; i++) {
		if (!strcmp(merge->fleets[i].name, name))
			return &merge->fleets[i];
	}
	merge->fleets = talloc_realloc(merge->config, merge->fleets, struct config_fleet_draft,
				       merge->fleet_count + 1);
	merge->fleets[merge->fleet_count] =
		(struct config_fleet_draft){.name = talloc_strdup(merge->config, name)};
	return &merge->fleets[merge->fleet_count++];
}

static void read_fleet(struct config_merge *merge, const json_t *decision, const char *name)
{
	static const char *const required[] = {"zone", "rack", "workers"};
	struct config_fleet_draft *fleet = find_or_add_fleet(merge, name);
	const json_t *list = check_object_list(merge, decision, "racks", RACKS_MAX);
	const json_t *item;
	size_t i;

	read_fields(merge, decision, "", fleet_fields, COUNT_OF(fleet_fields), fleet);
	if (!list)
		return;
	fleet->racks =
		talloc_zero_array(merge->config, struct config_rack_draft, json_array_size(list));
	fleet->rack_count = 0;
	json_array_foreach(list, i, item)
	{
		struct config_rack_draft *rack = &fleet->racks[fleet->rack_count];
		char prefix[32];

		snprintf(prefix, sizeof(prefix), "racks[%zu].", i);
		if (require_fields(merge, item, prefix, required, COUNT_OF(required)) &&
		    !read_fields(merge, item, prefix, rack_fields, COUNT_OF(rack_fields), rack))
			fleet->rack_count++;
	}
}

static const struct decision_kind {
	const char *name;
	void (*read)(struct config_merge *merge, const json_t *decision, const char *name);
} decision_kinds[] = {
	{"organisation", read_organisation},
	{"class", read_class},
	{"service", read_service},
	{"policy", read_policy},
	{"limits", read_limits},
	{"operator", read_operator},
	{"drain", read_drain},
	{"fleet", read_fleet},
};

static void record_origin(struct config_merge *merge, const char *kind, const char *name)
{
	for (size_t i = 0; i < merge->origin_count; i++) {
		struct config_origin *origin = &merge->origins[i];

		if (!strcmp(origin->kind, kind) && !strcmp(origin->name, name)) {
			origin->file = merge->file;
			return;
		}
	}
	merge->origins = talloc_realloc(merge->config, merge->origins, struct config_origin,
					merge->origin_count + 1);
	merge->origins[merge->origin_count++] =
		(struct config_origin){kind, talloc_strdup(merge->config, name), merge->file};
}

void config_read_decision(struct config_merge *merge, const json_t *decision)
{
	const char *kind = json_string_value(json_object_get(decision, "decision"));
	const char *name = json_string_value(json_object_get(decision, "name"));
	bool name_ok = name && fields_is_valid_name(name);

	if (!name_ok)
		config_problem_add(merge, "name", "is not a name",
				   "Use 1 to 63 letters, digits, \".\", \"_\" or \"-\".");
	for (size_t i = 0; kind && i < COUNT_OF(decision_kinds); i++) {
		if (strcmp(decision_kinds[i].name, kind) != 0)
			continue;
		if (name_ok)
			record_origin(merge, decision_kinds[i].name, name);
		decision_kinds[i].read(merge, decision, name_ok ? name : "unnamed");
		return;
	}
	config_problem_add(merge, "decision", "is not a known kind of decision",
			   "Use organisation, class, service, policy, limits, operator, drain or "
			   "fleet.");
}
