#include "settings.h"

#include "fields.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define ENDPOINT_COUNT_MAX 16
#define FILE_PATH_MAX_BYTES 4096
#define HTTP_THREADS_DEFAULT 4
#define HTTP_THREADS_MAX 64
#define SHUTDOWN_GRACE_DEFAULT_MS 30000
#define SHUTDOWN_GRACE_MAX_MS 3600000
#define URL_SCHEME "http://"

#define OFFSET(field) offsetof(struct settings, field)
#define COMMON_FIELDS                                                                     \
	{"node", FIELD_NAME, OFFSET(node), 0, 0, 0},                                      \
		{"region", FIELD_NAME, OFFSET(region), 0, 0, 0},                          \
		{"zone", FIELD_NAME, OFFSET(zone), 0, 0, 0},                              \
		{"rack", FIELD_NAME, OFFSET(rack), 0, 0, 0},                              \
		{"http_address", FIELD_ADDRESS, OFFSET(http_address), 0, 0, 0},           \
		{"peer_address", FIELD_ADDRESS, OFFSET(peer_address), 0, 0, 0},           \
		{"advertise_address", FIELD_ADDRESS, OFFSET(advertise_address), 0, 0, 0}, \
		{"store_endpoints",	  FIELD_STRINGS,                                  \
		 OFFSET(store_endpoints), 0,                                              \
		 ENDPOINT_COUNT_MAX,	  OFFSET(store_endpoint_count)},                  \
		{"shutdown_grace_ms",	FIELD_U32, OFFSET(shutdown_grace_ms), 0,          \
		 SHUTDOWN_GRACE_MAX_MS, 0},                                               \
	{                                                                                 \
		"verbose", FIELD_BOOL, OFFSET(verbose), 0, 0, 0                           \
	}

static const struct field_spec entry_fields[] = {
	COMMON_FIELDS,
	{"http_threads", FIELD_U32, OFFSET(http_threads), 1, HTTP_THREADS_MAX, 0},
	{"tls_certificate", FIELD_STRING, OFFSET(tls_certificate), 1, FILE_PATH_MAX_BYTES, 0},
	{"tls_key", FIELD_STRING, OFFSET(tls_key), 1, FILE_PATH_MAX_BYTES, 0},
};

static const struct field_spec agent_fields[] = {
	COMMON_FIELDS,
	{"seeds", FIELD_STRINGS, OFFSET(seeds), 0, ENDPOINT_COUNT_MAX, OFFSET(seed_count)},
};

static const char *const required_entry_fields[] = {
	"node", "region", "zone", "http_address", "peer_address", "store_endpoints"};
static const char *const required_agent_fields[] = {"node",	    "region",	    "zone", "rack",
						    "http_address", "peer_address", "seeds"};

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

struct settings_loader {
	TALLOC_CTX *mem;
	const struct field_spec *specs;
	size_t spec_count;
	char *report;
};

static void add_problem(const char *field, const char *message, const char *remedy, void *ctx)
{
	struct settings_loader *loader = ctx;

	loader->report = talloc_asprintf_append_buffer(loader->report, "%s: %s. %s\n", field,
						       message, remedy);
}

static json_t *read_file(struct settings_loader *loader, const char *path)
{
	json_error_t error;
	json_t *object = json_load_file(path, JSON_REJECT_DUPLICATES, &error);

	if (!object) {
		char *message = talloc_asprintf(loader->mem, "line %d: %s", error.line, error.text);

		add_problem(path, message, "Correct the file's path or JSON syntax.", loader);
		talloc_free(message);
		return json_object();
	}
	if (!json_is_object(object)) {
		add_problem(path, "does not hold a JSON object", "Write {\"node\": …}.", loader);
		json_decref(object);
		return json_object();
	}
	return object;
}

static json_t *split_list(const char *text)
{
	json_t *list = json_array();

	while (*text) {
		size_t len = strcspn(text, ",");

		json_array_append_new(list, json_stringn(text, len));
		text += len + (text[len] == ',');
	}
	return list;
}

/* A value that does not parse stays a string; fields_read() then reports the wrong type. */
static json_t *override_value(const struct field_spec *spec, const char *text)
{
	char *end;
	long long number;

	if (spec->type == FIELD_STRINGS)
		return split_list(text);
	if (spec->type == FIELD_BOOL && (!strcmp(text, "true") || !strcmp(text, "false")))
		return json_boolean(!strcmp(text, "true"));
	if (spec->type != FIELD_U32)
		return json_string(text);
	errno = 0;
	number = strtoll(text, &end, 10);
	if (*end || end == text || errno)
		return json_string(text);
	return json_integer(number);
}

static void apply_override(struct settings_loader *loader, json_t *object, const char *text)
{
	const char *equals = strchr(text, '=');
	const struct field_spec *spec;
	char *key;

	if (!equals) {
		add_problem(text, "has no \"=\"", "Write --set KEY=VALUE.", loader);
		return;
	}
	key = talloc_strndup(loader->mem, text, (size_t)(equals - text));
	spec = fields_find(loader->specs, loader->spec_count, key);
	if (spec)
		json_object_set_new(object, key, override_value(spec, equals + 1));
	else
		json_object_set_new(object, key, json_string(equals + 1));
	talloc_free(key);
}

static void check_required(struct settings_loader *loader, const json_t *object,
			   enum settings_role role)
{
	bool entry = role == SETTINGS_ENTRY;
	const char *const *names = entry ? required_entry_fields : required_agent_fields;
	size_t count = entry ? COUNT_OF(required_entry_fields) : COUNT_OF(required_agent_fields);

	for (size_t i = 0; i < count; i++) {
		const json_t *value = json_object_get(object, names[i]);

		if (!value)
			add_problem(names[i], "is missing", "Set it in the file or with --set.",
				    loader);
		else if (json_is_array(value) && json_array_size(value) == 0)
			add_problem(names[i], "is empty", "Give at least one value.", loader);
	}
}

static void check_endpoints(struct settings_loader *loader, const struct settings *settings)
{
	for (size_t i = 0; i < settings->store_endpoint_count; i++) {
		const char *url = settings->store_endpoints[i];

		if (strncmp(url, URL_SCHEME, strlen(URL_SCHEME)) != 0 ||
		    !fields_is_valid_address(url + strlen(URL_SCHEME), NULL))
			add_problem("store_endpoints", "holds an invalid URL",
				    "Write \"http://ip:port\" with a numeric IP address.", loader);
	}
	for (size_t i = 0; i < settings->seed_count; i++) {
		if (!fields_is_valid_address(settings->seeds[i], NULL))
			add_problem("seeds", "holds an invalid address",
				    "Write \"ip:port\" with a numeric IP address.", loader);
	}
}

/* Other hosts cannot connect to 0.0.0.0 or ::, so neither may become the advertised address. */
static void check_advertised_address(struct settings_loader *loader, struct settings *settings)
{
	bool unspecified = false;

	if (!settings->advertise_address)
		settings->advertise_address = settings->peer_address;
	if (!settings->advertise_address)
		return;
	fields_is_valid_address(settings->advertise_address, &unspecified);
	if (unspecified)
		add_problem("advertise_address",
			    "would be an unspecified address, which no host can connect to",
			    "Set it to the \"ip:port\" at which other hosts reach this one.",
			    loader);
}

static void check_tls(struct settings_loader *loader, const struct settings *settings)
{
	if (!settings->tls_certificate == !settings->tls_key)
		return;
	add_problem(settings->tls_certificate ? "tls_key" : "tls_certificate", "is missing",
		    "Set tls_certificate and tls_key together.", loader);
}

static struct settings *read_settings(struct settings_loader *loader, const json_t *object)
{
	struct settings *settings = talloc_zero(loader->mem, struct settings);
	struct field_sink sink = {add_problem, loader};

	settings->http_threads = HTTP_THREADS_DEFAULT;
	settings->shutdown_grace_ms = SHUTDOWN_GRACE_DEFAULT_MS;
	fields_read(settings, object, "", loader->specs, loader->spec_count, settings, &sink);
	check_endpoints(loader, settings);
	check_advertised_address(loader, settings);
	check_tls(loader, settings);
	return settings;
}

struct settings *settings_load(TALLOC_CTX *mem, enum settings_role role, const char *path,
			       const char **overrides, size_t override_count, char **report)
{
	bool entry = role == SETTINGS_ENTRY;
	struct settings_loader loader = {
		.mem = mem,
		.specs = entry ? entry_fields : agent_fields,
		.spec_count = entry ? COUNT_OF(entry_fields) : COUNT_OF(agent_fields),
		.report = talloc_strdup(mem, ""),
	};
	json_t *object = path ? read_file(&loader, path) : json_object();
	struct settings *settings;

	for (size_t i = 0; i < override_count; i++)
		apply_override(&loader, object, overrides[i]);
	check_required(&loader, object, role);
	settings = read_settings(&loader, object);
	json_decref(object);
	if (loader.report[0])
		TALLOC_FREE(settings);
	else
		TALLOC_FREE(loader.report);
	*report = loader.report;
	return settings;
}
