#include "fleetnode.h"

#include "fields.h"
#include "httpd.h"

#include <jansson.h>
#include <string.h>

#define GRACE_DEFAULT_S 6
#define LEADER_TTL_DEFAULT_MS 1500 /* no task is placed until a lost leader's lease expires */
#define STALL_DEFAULT_MS 2000	   /* the slowest known workers advance by 1 % in under 1 s */
#define KEEP_ENDED_DEFAULT_S 120
#define STOP_DEFAULT_MS 900
#define AWAY_FACTOR_DEFAULT 3
#define AWAY_FACTOR_MAX 1000
#define UNAVAILABLE_AFTER_DEFAULT_MS 0 /* without the bound, each task counts at once */
#define EVACUATE_MIN_MS 1000
#define MEMORY_MAX_MB (1024 * 1024)
#define DESCRIPTORS_MAX (1024 * 1024)
#define DURATION_MAX_S 86400
#define PROCESSORS_MAX 4096
#define DURATION_MAX_MS (DURATION_MAX_S * 1000)

#define FIELD_OFFSET(field) offsetof(struct fleetnode_settings, field)
#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

static const struct field_spec known_fields[] = {
	{"node", FIELD_NAME, FIELD_OFFSET(node), 0, 0, 0},
	{"message_address", FIELD_ADDRESS, FIELD_OFFSET(message_address), 0, 0, 0},
	{"metrics_address", FIELD_ADDRESS, FIELD_OFFSET(metrics_address), 0, 0, 0},
	{"store_address", FIELD_ADDRESS, FIELD_OFFSET(store_address), 0, 0, 0},
	{"callers_address", FIELD_ADDRESS, FIELD_OFFSET(callers_address), 0, 0, 0},
	{"ready_address", FIELD_ADDRESS, FIELD_OFFSET(ready_address), 0, 0, 0},
	{"control_address", FIELD_ADDRESS, FIELD_OFFSET(control_address), 0, 0, 0},
	{"worker_address", FIELD_ADDRESS, FIELD_OFFSET(worker_address), 0, 0, 0},
	{"advice_address", FIELD_ADDRESS, FIELD_OFFSET(advice_address), 0, 0, 0},
	{"service", FIELD_STRING, FIELD_OFFSET(service), 1, 200, 0},
	{"grace_s", FIELD_DOUBLE, FIELD_OFFSET(grace_s), 0.1, DURATION_MAX_S, 0},
	{"leader_ttl_ms", FIELD_U32, FIELD_OFFSET(leader_ttl_ms), 500, DURATION_MAX_MS, 0},
	{"processor_share", FIELD_DOUBLE, FIELD_OFFSET(processor_share), 0, 1, 0},
	{"processors", FIELD_U32, FIELD_OFFSET(processors), 1, PROCESSORS_MAX, 0},
	{"stall_ms", FIELD_U32, FIELD_OFFSET(stall_ms), 100, DURATION_MAX_MS, 0},
	{"urgent_stall_ms", FIELD_U32, FIELD_OFFSET(urgent_stall_ms), 0, DURATION_MAX_MS, 0},
	{"keep_ended_s", FIELD_DOUBLE, FIELD_OFFSET(keep_ended_s), 0, DURATION_MAX_S, 0},
	{"stop_ms", FIELD_DOUBLE, FIELD_OFFSET(stop_ms), 0, DURATION_MAX_MS, 0},
	{"away_factor", FIELD_DOUBLE, FIELD_OFFSET(away_factor), 0, AWAY_FACTOR_MAX, 0},
	{"unavailable_after_ms", FIELD_DOUBLE, FIELD_OFFSET(unavailable_after_ms), 0,
	 DURATION_MAX_MS, 0},
	{"evacuate_ms", FIELD_U32, FIELD_OFFSET(evacuate_ms), EVACUATE_MIN_MS, DURATION_MAX_MS, 0},
	{"memory_mb", FIELD_U32, FIELD_OFFSET(memory_mb), 16, MEMORY_MAX_MB, 0},
	{"max_descriptors", FIELD_U32, FIELD_OFFSET(max_descriptors), 128, DESCRIPTORS_MAX, 0},
	{"bodies_max_mb", FIELD_U32, FIELD_OFFSET(bodies_max_mb), 4, MEMORY_MAX_MB, 0},
	{"connections_max", FIELD_U32, FIELD_OFFSET(connections_max), 8, DESCRIPTORS_MAX, 0},
	{"body_idle_ms", FIELD_U32, FIELD_OFFSET(body_idle_ms), 100, DURATION_MAX_MS, 0},
	{"verbose", FIELD_BOOL, FIELD_OFFSET(verbose), 0, 0, 0},
};

static const char *const required_entry[] = {"node", "message_address", "store_address",
					     "callers_address", "ready_address"};
static const char *const required_agent[] = {
	"node", "message_address", "store_address", "control_address", "worker_address", "service"};

static void add_problem(const char *field, const char *message, const char *remedy, void *ctx)
{
	char **report = ctx;

	*report = talloc_asprintf_append_buffer(*report, "%s: %s. %s\n", field, message, remedy);
}

static void check_required(const json_t *object, enum fleetnode_role role, char **report)
{
	const char *const *names = role == FLEETNODE_ENTRY ? required_entry : required_agent;
	size_t count =
		role == FLEETNODE_ENTRY ? COUNT_OF(required_entry) : COUNT_OF(required_agent);

	for (size_t i = 0; i < count; i++) {
		if (!json_object_get(object, names[i]))
			add_problem(names[i], "is missing", "Add it to the settings file.", report);
	}
}

static bool is_empty(const json_t *value)
{
	return json_is_string(value) && json_string_length(value) == 0;
}

/* Removes fields that are empty or that this version does not know. */
static void drop_unused_fields(json_t *object)
{
	const char *name;
	json_t *value;
	void *next;

	json_object_foreach_safe(object, next, name, value)
	{
		if (is_empty(value) || !fields_find(known_fields, COUNT_OF(known_fields), name))
			json_object_del(object, name);
	}
}

struct fleetnode_settings *fleetnode_load(TALLOC_CTX *mem, enum fleetnode_role role,
					  const char *path, char **report)
{
	json_error_t error;
	json_t *object = json_load_file(path, JSON_REJECT_DUPLICATES, &error);
	struct fleetnode_settings *settings;
	struct field_sink sink = {add_problem, report};

	*report = talloc_strdup(mem, "");
	if (!json_is_object(object)) {
		*report = talloc_asprintf_append_buffer(*report,
							"%s: line %d: %s. Correct the file.\n",
							path, error.line, error.text);
		json_decref(object);
		return NULL;
	}
	settings = talloc_zero(mem, struct fleetnode_settings);
	settings->grace_s = GRACE_DEFAULT_S;
	settings->leader_ttl_ms = LEADER_TTL_DEFAULT_MS;
	settings->stall_ms = STALL_DEFAULT_MS;
	settings->keep_ended_s = KEEP_ENDED_DEFAULT_S;
	settings->body_idle_ms = HTTPD_BODY_IDLE_MS;
	settings->stop_ms = STOP_DEFAULT_MS;
	settings->away_factor = AWAY_FACTOR_DEFAULT;
	settings->unavailable_after_ms = UNAVAILABLE_AFTER_DEFAULT_MS;
	settings->processors = 1;
	drop_unused_fields(object);
	check_required(object, role, report);
	fields_read(settings, object, "", known_fields, COUNT_OF(known_fields), settings, &sink);
	json_decref(object);
	if (!**report)
		return settings;
	talloc_free(settings);
	return NULL;
}
