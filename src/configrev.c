#include "configrev.h"

#include "config_internal.h"
#include "util.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

char *configrev_key(TALLOC_CTX *mem, uint64_t revision)
{
	return talloc_asprintf(mem, CONFIGREV_PREFIX "%020" PRIu64, revision);
}

uint64_t configrev_parse_key(const char *key)
{
	size_t prefix = strlen(CONFIGREV_PREFIX);

	if (strncmp(key, CONFIGREV_PREFIX, prefix) != 0)
		return 0;
	return strtoull(key + prefix, NULL, 10);
}

/* Returns @json as text and drops the caller's reference to it. */
static char *dump_and_release(TALLOC_CTX *mem, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	char *copy = talloc_strdup(mem, text);

	free(text);
	json_decref(json);
	return copy;
}

static json_t *changed_files(json_t *from, json_t *to)
{
	json_t *changed = json_object();
	const char *name;
	json_t *content;

	json_object_foreach(to, name, content)
	{
		if (!json_equal(content, json_object_get(from, name)))
			json_object_set(changed, name, content);
	}
	return changed;
}

static json_t *removed_files(json_t *from, json_t *to)
{
	json_t *removed = json_array();
	const char *name;
	json_t *content;

	json_object_foreach(from, name, content)
	{
		if (!json_object_get(to, name))
			json_array_append_new(removed, json_string(name));
	}
	return removed;
}

char *configrev_record(TALLOC_CTX *mem, uint64_t parent, const char *operation,
		       const struct configrepo_apply *request, json_t *from)
{
	char *digest = config_digest(NULL, request->files);
	json_t *record = json_pack("{s:I, s:s, s:s, s:I, s:s, s:o, s:o, s:s}", "parent",
				   (json_int_t)parent, "operation", operation, "by", request->by,
				   "when", (json_int_t)util_wall_ms(), "message", request->message,
				   "changed", changed_files(from, request->files), "removed",
				   removed_files(from, request->files), "digest", digest);

	talloc_free(digest);
	return dump_and_release(mem, record);
}

bool configrev_is_operation(const char *record, size_t len, const char *operation)
{
	json_t *json = json_loadb(record, len, 0, NULL);
	const char *found = json_string_value(json_object_get(json, "operation"));
	bool equal = found && !strcmp(found, operation);

	json_decref(json);
	return equal;
}

static bool digest_matches(const json_t *record, const json_t *files)
{
	const char *wanted = json_string_value(json_object_get(record, "digest"));
	char *digest = config_digest(NULL, files);
	bool equal = wanted && !strcmp(wanted, digest);

	talloc_free(digest);
	return equal;
}

json_t *configrev_apply(const char *record, size_t len, uint64_t parent, json_t *files)
{
	json_t *json = json_loadb(record, len, 0, NULL);
	json_t *result = json_copy(files);
	const json_t *name;
	size_t i;

	json_object_update(result, json_object_get(json, "changed"));
	json_array_foreach(json_object_get(json, "removed"), i, name)
		json_object_del(result, json_string_value(name));
	if ((uint64_t)json_integer_value(json_object_get(json, "parent")) != parent ||
	    !digest_matches(json, result)) {
		json_decref(result);
		result = NULL;
	}
	json_decref(json);
	return result;
}

char *configrev_snapshot(TALLOC_CTX *mem, uint64_t revision, json_t *files)
{
	return dump_and_release(
		mem, json_pack("{s:I, s:O}", "revision", (json_int_t)revision, "files", files));
}

json_t *configrev_read_snapshot(const char *text, size_t len, uint64_t *revision)
{
	json_t *json = json_loadb(text, len, 0, NULL);
	json_t *files = json_object_get(json, "files");

	*revision = (uint64_t)json_integer_value(json_object_get(json, "revision"));
	if (!json_is_object(files) || *revision == 0)
		files = NULL;
	json_incref(files);
	json_decref(json);
	return files;
}

json_t *configrev_summary(uint64_t revision, const char *record, size_t len)
{
	json_t *json = json_loadb(record, len, 0, NULL);
	json_t *names = json_array();
	json_t *summary = NULL;
	const char *name;
	json_t *content;

	json_object_foreach(json_object_get(json, "changed"), name, content)
		json_array_append_new(names, json_string(name));
	if (json)
		summary = json_pack("{s:I, s:O*, s:O*, s:O*, s:O, s:O*}", "revision",
				    (json_int_t)revision, "by", json_object_get(json, "by"), "when",
				    json_object_get(json, "when"), "message",
				    json_object_get(json, "message"), "changed", names, "removed",
				    json_object_get(json, "removed"));
	json_decref(names);
	json_decref(json);
	return summary;
}
