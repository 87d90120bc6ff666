#include "settings.h"

#include "fields.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define ENDPOINTS_MAX 16
#define PATH_MAX_BYTES 4096
#define HTTP_THREADS_DEFAULT 4
#define HTTP_THREADS_MAX 64
#define SHUTDOWN_GRACE_DEFAULT_MS 30000
#define SHUTDOWN_GRACE_MAX_MS 3600000
#define URL_SCHEME "http://"

#define AT(field) offsetof(struct settings, field)
#define COMMON_FIELDS                                                                             \
	{"node", FIELD_NAME, AT(node), 0, 0, 0}, {"region", FIELD_NAME, AT(region), 0, 0, 0},     \
		{"zone", FIELD_NAME, AT(zone), 0, 0, 0}, {"rack", FIELD_NAME, AT(rack), 0, 0, 0}, \
		{"http_address", FIELD_ADDRESS, AT(http_address), 0, 0, 0},                       \
		{"peer_address", FIELD_ADDRESS, AT(peer_address), 0, 0, 0},                       \
		{"advertise_address", FIELD_ADDRESS, AT(advertise_address), 0, 0, 0},             \
		{"store_endpoints", FIELD_STRINGS,	     AT(store_endpoints), 0,              \
		 ENDPOINTS_MAX,	    AT(store_endpoint_count)},                                    \
		{"shutdown_grace_ms",	FIELD_U32, AT(shutdown_grace_ms), 0,                      \
		 SHUTDOWN_GRACE_MAX_MS, 0},                                                       \
	{                                                                                         \
		"verbose", FIELD_BOOL, AT(verbose), 0, 0, 0                                       \
	}

static const struct field_spec entry_fields[] = {
	COMMON_FIELDS,
	{"http_threads", FIELD_U32, AT(http_threads), 1, HTTP_THREADS_MAX, 0},
	{"tls_certificate", FIELD_STRING, AT(tls_certificate), 1, PATH_MAX_BYTES, 0},
	{"tls_key", FIELD_STRING, AT(tls_key), 1, PATH_MAX_BYTES, 0},
};

static const struct field_spec agent_fields[] = {
	COMMON_FIELDS,
	{"seeds", FIELD_STRINGS, AT(seeds), 0, ENDPOINTS_MAX, AT(seed_count)},
};

static const char *const required_entry[] = {"node",	     "region",	     "zone",
					     "http_address", "peer_address", "store_endpoints"};
static const char *const required_agent[] = {"node",	     "region",	     "zone", "rack",
					     "http_address", "peer_address", "seeds"};

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

struct load {
	TALLOC_CTX *mem;
	const struct field_spec *specs;
	size_t spec_count;
	char *report;
};

static void add_problem(const char *field, const char *message, const char *remedy, void *ctx)
{
	struct load *load = ctx;

	load->report =
		talloc_asprintf_append_buffer(load->report, "%s: %s. %s\n", field, message, remedy);
}

static json_t *read_file(struct load *load, const char *path)
{
	json_error_t error;
	json_t *object = json_load_file(path, JSON_REJECT_DUPLICATES, &error);

	if (!object) {
		char *message = talloc_asprintf(load->mem, "line %d: %s", error.line, error.text);

		add_problem(path, message, "Correct the file's path or JSON syntax.", load);
		talloc_free(message);
		return json_object();
	}
	if (!json_is_object(object)) {
		add_problem(path, "does not hold a JSON object", "Write {\"node\": …}.", load);
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

/* A value that does not parse stays a text, so that the type check reports it. */
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

static void apply_override(struct load *load, json_t *object, const char *text)
{
	const char *equals = strchr(text, '=');
	const struct field_spec *spec;
	char *key;

	if (!equals) {
		add_problem(text, "has no \"=\"", "Write --set KEY=VALUE.", load);
		return;
	}
	key = talloc_strndup(load->mem, text, (size_t)(equals - text));
	spec = fields_find(load->specs, load->spec_count, key);
	if (spec)
		json_object_set_new(object, key, override_value(spec, equals + 1));
	else
		json_object_set_new(object, key, json_string(equals + 1));
	talloc_free(key);
}

static void check_required(struct load *load, const json_t *object, enum settings_role role)
{
	bool entry = role == SETTINGS_ENTRY;
	const char *const *names = entry ? required_entry : required_agent;
	size_t count = entry ? COUNT_OF(required_entry) : COUNT_OF(required_agent);

	for (size_t i = 0; i < count; i++) {
		const json_t *value = json_object_get(object, names[i]);

		if (!value)
			add_problem(names[i], "is missing", "Set it in the file or by --set.",
				    load);
		else if (json_is_array(value) && json_array_size(value) == 0)
			add_problem(names[i], "is empty", "Name at least one.", load);
	}
}

static void check_endpoints(struct load *load, const struct settings *s)
{
	for (size_t i = 0; i < s->store_endpoint_count; i++) {
		const char *url = s->store_endpoints[i];

		if (strncmp(url, URL_SCHEME, strlen(URL_SCHEME)) != 0 ||
		    !fields_address_ok(url + strlen(URL_SCHEME), NULL))
			add_problem("store_endpoints", "holds an invalid URL",
				    "Write \"http://ip:port\" with a numeric IP.", load);
	}
	for (size_t i = 0; i < s->seed_count; i++) {
		if (!fields_address_ok(s->seeds[i], NULL))
			add_problem("seeds", "holds an invalid address",
				    "Write \"ip:port\" with a numeric IP.", load);
	}
}

/* Others cannot connect to 0.0.0.0, so it must not become the advertised address. */
static void check_advertised(struct load *load, struct settings *s)
{
	bool unspecified = false;

	if (!s->advertise_address)
		s->advertise_address = s->peer_address;
	if (!s->advertise_address)
		return;
	fields_address_ok(s->advertise_address, &unspecified);
	if (unspecified)
		add_problem("advertise_address", "would be an address nobody can connect to",
			    "Set it to the \"ip:port\" that other hosts reach this one at.", load);
}

static void check_tls(struct load *load, const struct settings *s)
{
	if (!s->tls_certificate == !s->tls_key)
		return;
	add_problem(s->tls_certificate ? "tls_key" : "tls_certificate", "is missing",
		    "Set tls_certificate and tls_key together.", load);
}

static struct settings *read_settings(struct load *load, const json_t *object)
{
	struct settings *s = talloc_zero(load->mem, struct settings);
	struct field_sink sink = {add_problem, load};

	s->http_threads = HTTP_THREADS_DEFAULT;
	s->shutdown_grace_ms = SHUTDOWN_GRACE_DEFAULT_MS;
	fields_read(s, object, "", load->specs, load->spec_count, s, &sink);
	check_endpoints(load, s);
	check_advertised(load, s);
	check_tls(load, s);
	return s;
}

struct settings *settings_load(TALLOC_CTX *mem, enum settings_role role, const char *path,
			       const char **overrides, size_t override_count, char **report)
{
	bool entry = role == SETTINGS_ENTRY;
	struct load load = {
		.mem = mem,
		.specs = entry ? entry_fields : agent_fields,
		.spec_count = entry ? COUNT_OF(entry_fields) : COUNT_OF(agent_fields),
		.report = talloc_strdup(mem, ""),
	};
	json_t *object = path ? read_file(&load, path) : json_object();
	struct settings *s;

	for (size_t i = 0; i < override_count; i++)
		apply_override(&load, object, overrides[i]);
	check_required(&load, object, role);
	s = read_settings(&load, object);
	json_decref(object);
	if (load.report[0])
		TALLOC_FREE(s);
	else
		TALLOC_FREE(load.report);
	*report = load.report;
	return s;
}
