#include "fields.h"

#include "util.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#define NAME_MAX_BYTES 63
#define HOST_MAX_BYTES 64
#define PORT_MAX 65535L

struct read {
	TALLOC_CTX *mem;
	TALLOC_CTX *scratch;
	const char *prefix;
	void *out;
	const struct field_sink *sink;
	size_t problems;
};

const struct field_spec *fields_find(const struct field_spec *specs, size_t count, const char *name)
{
	for (size_t i = 0; i < count; i++) {
		if (!strcmp(specs[i].name, name))
			return &specs[i];
	}
	return NULL;
}

char *fields_nearest(TALLOC_CTX *mem, const struct field_spec *specs, size_t count,
		     const char *name)
{
	const char *nearest = count ? specs[0].name : "";
	unsigned int best = ~0U;

	for (size_t i = 0; i < count; i++) {
		unsigned int distance = util_edit_distance(specs[i].name, name);

		if (distance < best) {
			best = distance;
			nearest = specs[i].name;
		}
	}
	return talloc_asprintf(mem, "Use a known field; the nearest is \"%s\".", nearest);
}

bool fields_name_ok(const char *text)
{
	size_t len = strlen(text);

	if (len == 0 || len > NAME_MAX_BYTES)
		return false;
	for (size_t i = 0; i < len; i++) {
		if (!isalnum((unsigned char)text[i]) && !strchr("._-", text[i]))
			return false;
	}
	return true;
}

static bool host_ok(const char *host, bool *unspecified)
{
	struct in_addr v4;
	struct in6_addr v6;
	size_t len = strlen(host);
	char inner[HOST_MAX_BYTES];

	if (inet_pton(AF_INET, host, &v4) == 1) {
		*unspecified = v4.s_addr == 0;
		return true;
	}
	if (len < 3 || host[0] != '[' || host[len - 1] != ']')
		return false;
	memcpy(inner, host + 1, len - 2);
	inner[len - 2] = '\0';
	if (inet_pton(AF_INET6, inner, &v6) != 1)
		return false;
	*unspecified = IN6_IS_ADDR_UNSPECIFIED(&v6);
	return true;
}

bool fields_address_ok(const char *text, bool *unspecified)
{
	const char *colon = strrchr(text, ':');
	char host[HOST_MAX_BYTES];
	bool any = false;
	char *end;
	long port;

	if (!colon || (size_t)(colon - text) >= sizeof(host) || !isdigit((unsigned char)colon[1]))
		return false;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	port = strtol(colon + 1, &end, 10);
	if (*end || port > PORT_MAX || !host_ok(host, &any))
		return false;
	if (unspecified)
		*unspecified = any;
	return true;
}

static void problem(struct read *r, const char *name, const char *message, const char *remedy)
{
	char *field = talloc_asprintf(r->scratch, "%s%s", r->prefix, name);

	r->problems++;
	r->sink->problem(field, message, remedy, r->sink->ctx);
}

static void wrong_type(struct read *r, const struct field_spec *spec, const char *wanted)
{
	problem(r, spec->name, talloc_asprintf(r->scratch, "is not %s", wanted),
		talloc_asprintf(r->scratch, "Give %s.", wanted));
}

static void out_of_range(struct read *r, const struct field_spec *spec, const char *what)
{
	problem(r, spec->name,
		talloc_asprintf(r->scratch, "%s is outside %g to %g", what, spec->min, spec->max),
		talloc_asprintf(r->scratch, "Choose a value from %g to %g.", spec->min, spec->max));
}

static bool in_range(const struct field_spec *spec, double value)
{
	return value >= spec->min && value <= spec->max;
}

static void read_string(struct read *r, const struct field_spec *spec, const json_t *value)
{
	const char *text = json_string_value(value);

	if (!text || strlen(text) != json_string_length(value)) {
		wrong_type(r, spec, "a text");
		return;
	}
	if (spec->type == FIELD_NAME && !fields_name_ok(text)) {
		wrong_type(r, spec, "a name of 1 to 63 letters, digits, \".\", \"_\" or \"-\"");
		return;
	}
	if (spec->type == FIELD_ADDRESS && !fields_address_ok(text, NULL)) {
		wrong_type(r, spec, "an \"ip:port\" address with a numeric IP");
		return;
	}
	if (spec->type == FIELD_STRING && !in_range(spec, (double)strlen(text))) {
		out_of_range(r, spec, "its length in bytes");
		return;
	}
	*(const char **)((char *)r->out + spec->offset) = talloc_strdup(r->mem, text);
}

static void read_integer(struct read *r, const struct field_spec *spec, const json_t *value)
{
	json_int_t number = json_integer_value(value);
	char *at = (char *)r->out + spec->offset;

	if (!json_is_integer(value)) {
		wrong_type(r, spec, "a whole number");
		return;
	}
	if (!in_range(spec, (double)number)) {
		out_of_range(r, spec, "it");
		return;
	}
	if (spec->type == FIELD_U32)
		*(uint32_t *)at = (uint32_t)number;
	else
		*(int32_t *)at = (int32_t)number;
}

static void read_double(struct read *r, const struct field_spec *spec, const json_t *value)
{
	if (!json_is_number(value))
		wrong_type(r, spec, "a number");
	else if (!in_range(spec, json_number_value(value)))
		out_of_range(r, spec, "it");
	else
		*(double *)((char *)r->out + spec->offset) = json_number_value(value);
}

static void read_bool(struct read *r, const struct field_spec *spec, const json_t *value)
{
	if (!json_is_boolean(value))
		wrong_type(r, spec, "true or false");
	else
		*(bool *)((char *)r->out + spec->offset) = json_is_true(value);
}

static bool strings_ok(const json_t *value)
{
	const json_t *item;
	size_t i;

	json_array_foreach(value, i, item)
	{
		if (!json_is_string(item) || json_string_length(item) == 0 ||
		    strlen(json_string_value(item)) != json_string_length(item))
			return false;
	}
	return json_is_array(value);
}

static void read_strings(struct read *r, const struct field_spec *spec, const json_t *value)
{
	size_t count = json_array_size(value);
	const char **items;

	if (!strings_ok(value)) {
		wrong_type(r, spec, "a list of texts");
		return;
	}
	if (!in_range(spec, (double)count)) {
		out_of_range(r, spec, "its number of entries");
		return;
	}
	items = talloc_zero_array(r->mem, const char *, count + 1);
	for (size_t i = 0; i < count; i++)
		items[i] = talloc_strdup(items, json_string_value(json_array_get(value, i)));
	*(const char ***)((char *)r->out + spec->offset) = items;
	*(size_t *)((char *)r->out + spec->count_offset) = count;
}

static void read_field(struct read *r, const struct field_spec *spec, const json_t *value)
{
	switch (spec->type) {
	case FIELD_STRING:
	case FIELD_NAME:
	case FIELD_ADDRESS:
		read_string(r, spec, value);
		break;
	case FIELD_U32:
	case FIELD_I32:
		read_integer(r, spec, value);
		break;
	case FIELD_DOUBLE:
		read_double(r, spec, value);
		break;
	case FIELD_BOOL:
		read_bool(r, spec, value);
		break;
	case FIELD_STRINGS:
		read_strings(r, spec, value);
		break;
	case FIELD_OTHER:
		break;
	}
}

size_t fields_read(TALLOC_CTX *mem, const json_t *object, const char *prefix,
		   const struct field_spec *specs, size_t count, void *out,
		   const struct field_sink *sink)
{
	TALLOC_CTX *scratch = talloc_new(NULL);
	struct read r = {mem, scratch, prefix, out, sink, 0};
	const char *name;
	json_t *value;

	json_object_foreach((json_t *)object, name, value)
	{
		const struct field_spec *spec = fields_find(specs, count, name);

		if (spec)
			read_field(&r, spec, value);
		else
			problem(&r, name, "is not a known field",
				fields_nearest(scratch, specs, count, name));
	}
	talloc_free(scratch);
	return r.problems;
}
