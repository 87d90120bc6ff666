#include "fields.h"

#include "util.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#define NAME_MAX_BYTES 63
#define HOST_MAX_BYTES 64
#define PORT_MAX 65535L

struct field_reader {
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

char *fields_nearest_remedy(TALLOC_CTX *mem, const struct field_spec *specs, size_t count,
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

bool fields_is_valid_name(const char *text)
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

static bool is_numeric_host(const char *host, bool *unspecified)
{
	struct in_addr v4;
	struct in6_addr v6;
	size_t len = strlen(host);
	char ip6_text[HOST_MAX_BYTES];

	if (inet_pton(AF_INET, host, &v4) == 1) {
		*unspecified = v4.s_addr == 0;
		return true;
	}
	if (len < 3 || host[0] != '[' || host[len - 1] != ']')
		return false;
	memcpy(ip6_text, host + 1, len - 2);
	ip6_text[len - 2] = '\0';
	if (inet_pton(AF_INET6, ip6_text, &v6) != 1)
		return false;
	*unspecified = IN6_IS_ADDR_UNSPECIFIED(&v6);
	return true;
}

bool fields_is_valid_address(const char *text, bool *unspecified)
{
	const char *colon = strrchr(text, ':');
	char host[HOST_MAX_BYTES];
	bool host_unspecified = false;
	char *end;
	long port;

	if (!colon || (size_t)(colon - text) >= sizeof(host) || !isdigit((unsigned char)colon[1]))
		return false;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	port = strtol(colon + 1, &end, 10);
	if (*end || port > PORT_MAX || !is_numeric_host(host, &host_unspecified))
		return false;
	if (unspecified)
		*unspecified = host_unspecified;
	return true;
}

bool fields_is_peer_address(const char *text)
{
	return fields_is_valid_address(text, NULL) && strtol(strrchr(text, ':') + 1, NULL, 10) > 0;
}

static void report_problem(struct field_reader *reader, const char *name, const char *message,
			   const char *remedy)
{
	char *field = talloc_asprintf(reader->scratch, "%s%s", reader->prefix, name);

	reader->problems++;
	reader->sink->problem(field, message, remedy, reader->sink->ctx);
}

static void report_wrong_type(struct field_reader *reader, const struct field_spec *spec,
			      const char *wanted)
{
	report_problem(reader, spec->name, talloc_asprintf(reader->scratch, "is not %s", wanted),
		       talloc_asprintf(reader->scratch, "Give %s.", wanted));
}

static void report_out_of_range(struct field_reader *reader, const struct field_spec *spec,
				const char *what)
{
	report_problem(reader, spec->name,
		       talloc_asprintf(reader->scratch, "%s is outside %g to %g", what, spec->min,
				       spec->max),
		       talloc_asprintf(reader->scratch, "Choose a value from %g to %g.", spec->min,
				       spec->max));
}

static bool in_range(const struct field_spec *spec, double value)
{
	return value >= spec->min && value <= spec->max;
}

static void read_string(struct field_reader *reader, const struct field_spec *spec,
			const json_t *value)
{
	const char *text = json_string_value(value);

	if (!text || strlen(text) != json_string_length(value)) {
		report_wrong_type(reader, spec, "a string");
		return;
	}
	if (spec->type == FIELD_NAME && !fields_is_valid_name(text)) {
		report_wrong_type(reader, spec,
				  "a name of 1 to 63 letters, digits, \".\", \"_\" or \"-\"");
		return;
	}
	if (spec->type == FIELD_ADDRESS && !fields_is_valid_address(text, NULL)) {
		report_wrong_type(reader, spec, "an \"ip:port\" address with a numeric IP");
		return;
	}
	if (spec->type == FIELD_STRING && !in_range(spec, (double)strlen(text))) {
		report_out_of_range(reader, spec, "its length in bytes");
		return;
	}
	*(const char **)((char *)reader->out + spec->offset) = talloc_strdup(reader->mem, text);
}

static void read_integer(struct field_reader *reader, const struct field_spec *spec,
			 const json_t *value)
{
	json_int_t number = json_integer_value(value);
	char *destination = (char *)reader->out + spec->offset;

	if (!json_is_integer(value)) {
		report_wrong_type(reader, spec, "a whole number");
		return;
	}
	if (!in_range(spec, (double)number)) {
		report_out_of_range(reader, spec, "it");
		return;
	}
	if (spec->type == FIELD_U32)
		*(uint32_t *)destination = (uint32_t)number;
	else
		*(int32_t *)destination = (int32_t)number;
}

static void read_double(struct field_reader *reader, const struct field_spec *spec,
			const json_t *value)
{
	if (!json_is_number(value))
		report_wrong_type(reader, spec, "a number");
	else if (!in_range(spec, json_number_value(value)))
		report_out_of_range(reader, spec, "it");
	else
		*(double *)((char *)reader->out + spec->offset) = json_number_value(value);
}

static void read_bool(struct field_reader *reader, const struct field_spec *spec,
		      const json_t *value)
{
	if (!json_is_boolean(value))
		report_wrong_type(reader, spec, "true or false");
	else
		*(bool *)((char *)reader->out + spec->offset) = json_is_true(value);
}

static bool is_string_list(const json_t *value)
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

static void read_strings(struct field_reader *reader, const struct field_spec *spec,
			 const json_t *value)
{
	size_t count = json_array_size(value);
	const char **items;

	if (!is_string_list(value)) {
		report_wrong_type(reader, spec, "a list of strings");
		return;
	}
	if (!in_range(spec, (double)count)) {
		report_out_of_range(reader, spec, "its number of entries");
		return;
	}
	items = talloc_zero_array(reader->mem, const char *, count + 1);
	for (size_t i = 0; i < count; i++)
		items[i] = talloc_strdup(items, json_string_value(json_array_get(value, i)));
	*(const char ***)((char *)reader->out + spec->offset) = items;
	*(size_t *)((char *)reader->out + spec->count_offset) = count;
}

static void read_field(struct field_reader *reader, const struct field_spec *spec,
		       const json_t *value)
{
	switch (spec->type) {
	case FIELD_STRING:
	case FIELD_NAME:
	case FIELD_ADDRESS:
		read_string(reader, spec, value);
		break;
	case FIELD_U32:
	case FIELD_I32:
		read_integer(reader, spec, value);
		break;
	case FIELD_DOUBLE:
		read_double(reader, spec, value);
		break;
	case FIELD_BOOL:
		read_bool(reader, spec, value);
		break;
	case FIELD_STRINGS:
		read_strings(reader, spec, value);
		break;
	case FIELD_READ_BY_CALLER:
		break;
	}
}

size_t fields_read(TALLOC_CTX *mem, const json_t *object, const char *prefix,
		   const struct field_spec *specs, size_t count, void *out,
		   const struct field_sink *sink)
{
	TALLOC_CTX *scratch = talloc_new(NULL);
	struct field_reader reader = {mem, scratch, prefix, out, sink, 0};
	const char *name;
	json_t *value;

	json_object_foreach((json_t *)object, name, value)
	{
		const struct field_spec *spec = fields_find(specs, count, name);

		if (spec)
			read_field(&reader, spec, value);
		else
			report_problem(&reader, name, "is not a known field",
				       fields_nearest_remedy(scratch, specs, count, name));
	}
	talloc_free(scratch);
	return reader.problems;
}
