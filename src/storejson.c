#include "storejson.h"

#include "jsonread.h"
#include "log.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

static json_t *base64_bytes_json(const char *data, size_t len)
{
	gchar *text = g_base64_encode((const guchar *)data, len);
	json_t *json = json_string(text);

	g_free(text);
	return json;
}

static json_t *base64_text_json(const char *text)
{
	return base64_bytes_json(text, strlen(text));
}

/* Returns @json as text owned by @mem; takes ownership of @json. */
static char *dump_and_free(TALLOC_CTX *mem, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);
	char *copy = talloc_strdup(mem, text);

	free(text);
	json_decref(json);
	return copy;
}

static json_t *range_json(const char *first, const char *end, uint32_t limit)
{
	json_t *json = json_object();

	json_object_set_new(json, "key", base64_text_json(first));
	if (end)
		json_object_set_new(json, "range_end", base64_text_json(end));
	if (limit)
		json_object_set_new(json, "limit", json_integer(limit));
	return json;
}

char *storejson_range(TALLOC_CTX *mem, const char *first, const char *end, uint32_t limit)
{
	return dump_and_free(mem, range_json(first, end, limit));
}

char *storejson_prefix_end(TALLOC_CTX *mem, const char *prefix)
{
	char *end = talloc_strdup(mem, prefix);
	size_t len = strlen(end);

	while (len > 0 && (unsigned char)end[len - 1] == 0xff)
		len--;
	end[len] = '\0';
	if (len > 0)
		end[len - 1]++;
	return end;
}

static json_t *compare_json(const struct store_compare *compare)
{
	json_t *json =
		json_pack("{s:s, s:o}", "result", "EQUAL", "key", base64_text_json(compare->key));

	switch (compare->kind) {
	case STORE_VERSION_IS:
		json_object_set_new(json, "target", json_string("VERSION"));
		json_object_set_new(json, "version", json_integer(compare->number));
		break;
	case STORE_MOD_REVISION_IS:
		json_object_set_new(json, "target", json_string("MOD"));
		json_object_set_new(json, "mod_revision", json_integer(compare->number));
		break;
	case STORE_VALUE_IS:
		json_object_set_new(json, "target", json_string("VALUE"));
		json_object_set_new(json, "value", base64_text_json(compare->value));
		break;
	}
	return json;
}

static json_t *put_json(const struct store_op *op)
{
	json_t *json = json_object();

	json_object_set_new(json, "key", base64_text_json(op->key));
	json_object_set_new(json, "value", base64_bytes_json(op->value, op->value_len));
	if (op->lease)
		json_object_set_new(json, "lease", json_integer(op->lease));
	return json_pack("{s:o}", "request_put", json);
}

static json_t *op_json(const struct store_op *op)
{
	switch (op->kind) {
	case STORE_PUT:
		return put_json(op);
	case STORE_DELETE:
		return json_pack("{s:{s:o}}", "request_delete_range", "key",
				 base64_text_json(op->key));
	case STORE_GET:
		break;
	}
	return json_pack("{s:o}", "request_range", range_json(op->key, NULL, 0));
}

static bool key_already_compared(const struct store_compare *compares, size_t index)
{
	for (size_t i = 0; i < index; i++) {
		if (!strcmp(compares[i].key, compares[index].key))
			return true;
	}
	return false;
}

char *storejson_txn(TALLOC_CTX *mem, const struct store_compare *compares, size_t compare_count,
		    const struct store_op *ops, size_t op_count)
{
	json_t *compare = json_array();
	json_t *success = json_array();
	json_t *failure = json_array();

	for (size_t i = 0; i < compare_count; i++) {
		json_array_append_new(compare, compare_json(&compares[i]));
		if (!key_already_compared(compares, i))
			json_array_append_new(failure,
					      json_pack("{s:o}", "request_range",
							range_json(compares[i].key, NULL, 0)));
	}
	for (size_t i = 0; i < op_count; i++)
		json_array_append_new(success, op_json(&ops[i]));
	return dump_and_free(mem, json_pack("{s:o, s:o, s:o}", "compare", compare, "success",
					    success, "failure", failure));
}

char *storejson_watch(TALLOC_CTX *mem, const char *prefix, int64_t start_revision)
{
	TALLOC_CTX *scratch = talloc_new(NULL);
	json_t *json = range_json(prefix, storejson_prefix_end(scratch, prefix), 0);
	char *text;

	if (start_revision > 0)
		json_object_set_new(json, "start_revision", json_integer(start_revision));
	text = dump_and_free(mem, json_pack("{s:o}", "create_request", json));
	talloc_free(scratch);
	return text;
}

int64_t storejson_number(const json_t *object, const char *name)
{
	const json_t *value = json_object_get(object, name);

	if (json_is_string(value))
		return strtoll(json_string_value(value), NULL, 10);
	return json_integer_value(value);
}

/* Returns an empty string for an absent field, because the gateway omits empty fields. */
static char *decode_base64_field(TALLOC_CTX *mem, const json_t *object, const char *name,
				 size_t *len)
{
	const char *text = json_string_value(json_object_get(object, name));
	size_t text_len = text ? strlen(text) : 0;
	char *data = talloc_array(mem, char, text_len / 4 * 3 + 4);
	guint save = 0;
	gint state = 0;

	*len = text ? g_base64_decode_step(text, text_len, (guchar *)data, &state, &save) : 0;
	data[*len] = '\0';
	return data;
}

bool storejson_kv(TALLOC_CTX *mem, const json_t *json, struct store_kv *kv)
{
	size_t key_len;

	kv->key = decode_base64_field(mem, json, "key", &key_len);
	kv->value = decode_base64_field(mem, json, "value", &kv->value_len);
	kv->version = storejson_number(json, "version");
	kv->mod_revision = storejson_number(json, "mod_revision");
	if (key_len > 0 && strlen(kv->key) == key_len && kv->version >= 0 && kv->mod_revision >= 0)
		return true;
	log_once("store_item_unreadable", kv->key, "its key has a NUL, or a revision is negative");
	return false;
}

static void append_kvs(TALLOC_CTX *mem, const json_t *list, struct store_result *result)
{
	size_t more = json_array_size(list);
	const json_t *item;
	size_t i;

	result->kvs = talloc_realloc(mem, result->kvs, struct store_kv, result->count + more + 1);
	json_array_foreach(list, i, item) result->count +=
		storejson_kv(mem, item, &result->kvs[result->count]);
}

static int read_txn(TALLOC_CTX *mem, const json_t *json, struct store_result *result)
{
	const json_t *response;
	size_t i;

	json_array_foreach(json_object_get(json, "responses"), i, response)
	{
		const json_t *range = json_object_get(response, "response_range");

		append_kvs(mem, json_object_get(range, "kvs"), result);
	}
	return json_is_true(json_object_get(json, "succeeded")) ? 0 : -ERR_CONFLICT;
}

static int read_keepalive(const json_t *json, struct store_result *result)
{
	const json_t *inner = json_object_get(json, "result");

	if (!inner)
		return -ERR_INVALID;
	result->revision = storejson_number(json_object_get(inner, "header"), "revision");
	result->lease = storejson_number(inner, "ID");
	return storejson_number(inner, "TTL") > 0 ? 0 : -ERR_NOT_FOUND;
}

static int read_answer(TALLOC_CTX *mem, enum storejson_answer kind, const json_t *json,
		       struct store_result *result)
{
	if (kind == STOREJSON_KEEPALIVE)
		return read_keepalive(json, result);
	if (!json_is_object(json_object_get(json, "header")))
		return -ERR_INVALID;
	result->revision = storejson_number(json_object_get(json, "header"), "revision");
	if (kind == STOREJSON_RANGE) {
		append_kvs(mem, json_object_get(json, "kvs"), result);
		result->more = json_is_true(json_object_get(json, "more"));
		return 0;
	}
	if (kind == STOREJSON_TXN)
		return read_txn(mem, json, result);
	if (kind == STOREJSON_REVOKE)
		return 0;
	result->lease = storejson_number(json, "ID");
	return result->lease ? 0 : -ERR_INVALID;
}

int storejson_result(TALLOC_CTX *mem, enum storejson_answer kind, const char *body, size_t len,
		     struct store_result *result)
{
	size_t replaced;
	json_t *json = jsonread_document(body, len, &replaced);
	int status;

	*result = (struct store_result){0};
	if (!json)
		return -ERR_INVALID;
	if (replaced)
		log_once("store_answer", "", "%zu values of an answer of the store are unreadable",
			 replaced);
	status = read_answer(mem, kind, json, result);
	json_decref(json);
	return status;
}
