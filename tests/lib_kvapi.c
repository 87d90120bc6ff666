#include "lib_kv.h"

#include <stdlib.h>
#include <string.h>

#define TXN_OPS_MAX 128
#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define CODE_INVALID 3 /* gRPC status numbers, as in the gateway's error answers */
#define CODE_NOT_FOUND 5

static json_t *number_json(int64_t value)
{
	char text[32];

	snprintf(text, sizeof(text), "%lld", (long long)value);
	return json_string(text);
}

static json_t *bytes_json(const void *data, size_t len)
{
	gchar *encoded = g_base64_encode(data, len);
	json_t *json = json_string(encoded);

	g_free(encoded);
	return json;
}

json_t *kv_item_json(const struct kv_item *item)
{
	json_t *json = json_object();

	json_object_set_new(json, "key", bytes_json(item->key, strlen(item->key)));
	json_object_set_new(json, "mod_revision", number_json(item->mod_revision));
	if (!item->value)
		return json;
	json_object_set_new(json, "create_revision", number_json(item->create_revision));
	json_object_set_new(json, "version", number_json(item->version));
	json_object_set_new(
		json, "value",
		bytes_json(g_bytes_get_data(item->value, NULL), g_bytes_get_size(item->value)));
	if (item->lease)
		json_object_set_new(json, "lease", number_json(item->lease));
	return json;
}

json_t *kv_header(const struct kv *kv)
{
	return json_pack("{s:s, s:o}", "cluster_id", "1", "revision", number_json(kv_revision(kv)));
}

static GBytes *field_bytes(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));
	gsize len = 0;
	guchar *data;

	if (!text)
		return g_bytes_new_static("", 0);
	data = g_base64_decode(text, &len);
	return g_bytes_new_take(data, len);
}

char *kv_text(const json_t *object, const char *name)
{
	GBytes *bytes = field_bytes(object, name);
	char *text = g_strndup(g_bytes_get_data(bytes, NULL), g_bytes_get_size(bytes));

	g_bytes_unref(bytes);
	return text;
}

int64_t kv_number(const json_t *object, const char *name)
{
	const json_t *value = json_object_get(object, name);

	if (json_is_string(value))
		return strtoll(json_string_value(value), NULL, 10);
	return json_integer_value(value);
}

static json_t *error_answer(int code, const char *message, int *status)
{
	*status = code == CODE_NOT_FOUND ? HTTP_NOT_FOUND : HTTP_BAD_REQUEST;
	return json_pack("{s:s, s:i, s:s}", "error", message, "code", code, "message", message);
}

static json_t *call_range(struct kv *kv, const json_t *body)
{
	char *key = kv_text(body, "key");
	char *range_end = kv_text(body, "range_end");
	int64_t limit = kv_number(body, "limit");
	size_t end;
	size_t first = kv_range(kv, key, range_end, &end);
	size_t stop = limit > 0 && end - first > (size_t)limit ? first + (size_t)limit : end;
	json_t *kvs = json_array();
	json_t *answer = json_pack("{s:o, s:o}", "header", kv_header(kv), "count",
				   number_json((int64_t)(end - first)));

	for (size_t i = first; i < stop; i++)
		json_array_append_new(kvs, kv_item_json(kv_at(kv, i)));
	json_object_set_new(answer, "kvs", kvs);
	json_object_set_new(answer, "more", json_boolean(stop < end));
	g_free(key);
	g_free(range_end);
	return answer;
}

/* Returns why a put would be refused, or NULL when it is valid; changes nothing. */
static const char *put_problem(struct kv *kv, const json_t *put)
{
	const char *key = json_string_value(json_object_get(put, "key"));
	GBytes *value = field_bytes(put, "value");
	size_t len = g_bytes_get_size(value);
	int64_t lease = kv_number(put, "lease");

	g_bytes_unref(value);
	if (!key || !*key)
		return "etcdserver: key is not provided";
	if (len > KV_VALUE_MAX)
		return "etcdserver: request is too large";
	if (lease && !kv_lease_known(kv, lease))
		return "etcdserver: requested lease not found";
	return NULL;
}

static json_t *call_put(struct kv *kv, const json_t *body)
{
	char *key = kv_text(body, "key");
	GBytes *value = field_bytes(body, "value");

	kv_put(kv, key, value, kv_number(body, "lease"));
	g_bytes_unref(value);
	g_free(key);
	return json_pack("{s:o}", "header", kv_header(kv));
}

static json_t *call_delete(struct kv *kv, const json_t *body)
{
	char *key = kv_text(body, "key");
	char *range_end = kv_text(body, "range_end");
	size_t deleted = kv_delete(kv, key, range_end);

	g_free(key);
	g_free(range_end);
	return json_pack("{s:o, s:o}", "header", kv_header(kv), "deleted",
			 number_json((int64_t)deleted));
}

static int value_order(const json_t *compare, const struct kv_item *item)
{
	GBytes *wanted = field_bytes(compare, "value");
	GBytes *none = g_bytes_new_static("", 0);
	int order = g_bytes_compare(item ? item->value : none, wanted);

	g_bytes_unref(wanted);
	g_bytes_unref(none);
	return order;
}

static int number_order(int64_t actual, int64_t wanted)
{
	return (actual > wanted) - (actual < wanted);
}

static int compare_order(const json_t *compare, const struct kv_item *item, const char *target)
{
	if (!strcmp(target, "VALUE"))
		return value_order(compare, item);
	if (!strcmp(target, "MOD"))
		return number_order(item ? item->mod_revision : 0,
				    kv_number(compare, "mod_revision"));
	if (!strcmp(target, "CREATE"))
		return number_order(item ? item->create_revision : 0,
				    kv_number(compare, "create_revision"));
	return number_order(item ? item->version : 0, kv_number(compare, "version"));
}

static bool compare_holds(struct kv *kv, const json_t *compare)
{
	const char *target = json_string_value(json_object_get(compare, "target"));
	const char *result = json_string_value(json_object_get(compare, "result"));
	char *key = kv_text(compare, "key");
	const struct kv_item *item = kv_get(kv, key);
	bool absent = !item && target && !strcmp(target, "VALUE");
	int order = compare_order(compare, item, target ? target : "VERSION");

	g_free(key);
	if (absent) /* as etcd documents: a value compare fails on a missing key */
		return false;
	if (result && !strcmp(result, "GREATER"))
		return order > 0;
	if (result && !strcmp(result, "LESS"))
		return order < 0;
	if (result && !strcmp(result, "NOT_EQUAL"))
		return order != 0;
	return order == 0;
}

/* The gateway accepts the fields of "oneof" groups in snake case and in camel case. */
static const json_t *oneof_field(const json_t *op, const char *snake, const char *camel)
{
	const json_t *found = json_object_get(op, snake);

	return found ? found : json_object_get(op, camel);
}

static bool is_write_op(const json_t *op)
{
	return oneof_field(op, "request_put", "requestPut") ||
	       oneof_field(op, "request_delete_range", "requestDeleteRange");
}

static json_t *run_op(struct kv *kv, const json_t *op)
{
	const json_t *put = oneof_field(op, "request_put", "requestPut");
	const json_t *range = oneof_field(op, "request_range", "requestRange");
	const json_t *delete_range = oneof_field(op, "request_delete_range", "requestDeleteRange");

	if (put)
		return json_pack("{s:o}", "response_put", call_put(kv, put));
	if (range)
		return json_pack("{s:o}", "response_range", call_range(kv, range));
	return json_pack("{s:o}", "response_delete_range", call_delete(kv, delete_range));
}

/* Checks all puts before any is executed, because a transaction is atomic. */
static const char *ops_problem(struct kv *kv, const json_t *ops)
{
	const char *problem = NULL;
	const json_t *op;
	size_t i;

	if (json_array_size(ops) > TXN_OPS_MAX)
		return "etcdserver: too many operations in txn request";
	json_array_foreach(ops, i, op)
	{
		const json_t *put = oneof_field(op, "request_put", "requestPut");

		if (put && !problem)
			problem = put_problem(kv, put);
	}
	return problem;
}

static json_t *call_txn(struct kv *kv, const json_t *body, int *status)
{
	bool succeeded = true;
	const char *problem;
	json_t *responses;
	const json_t *compare;
	const json_t *ops;
	const json_t *op;
	size_t i;

	json_array_foreach(json_object_get(body, "compare"), i, compare) succeeded =
		succeeded && compare_holds(kv, compare);
	ops = json_object_get(body, succeeded ? "success" : "failure");
	problem = ops_problem(kv, ops);
	if (problem)
		return error_answer(strstr(problem, "lease") ? CODE_NOT_FOUND : CODE_INVALID,
				    problem, status);
	responses = json_array();
	json_array_foreach(ops, i, op) json_array_append_new(responses, run_op(kv, op));
	return json_pack("{s:o, s:b, s:o}", "header", kv_header(kv), "succeeded", succeeded,
			 "responses", responses);
}

static json_t *call_grant(struct kv *kv, const json_t *body, uint64_t now_ms, int *status)
{
	int64_t ttl_s = kv_number(body, "TTL");

	if (ttl_s <= 0)
		return error_answer(CODE_INVALID, "etcdserver: invalid TTL", status);
	return json_pack("{s:o, s:o, s:o}", "header", kv_header(kv), "ID",
			 number_json(kv_grant(kv, ttl_s, now_ms)), "TTL", number_json(ttl_s));
}

static json_t *call_keepalive(struct kv *kv, const json_t *body, uint64_t now_ms)
{
	int64_t lease = kv_number(body, "ID");
	int64_t ttl_s = kv_keepalive(kv, lease, now_ms);
	json_t *result = json_pack("{s:o, s:o}", "header", kv_header(kv), "ID", number_json(lease));

	/* The gateway omits fields whose value is zero, such as the TTL of an expired lease. */
	if (ttl_s > 0)
		json_object_set_new(result, "TTL", number_json(ttl_s));
	return json_pack("{s:o}", "result", result);
}

bool kv_is_write(const char *path, const json_t *body)
{
	const json_t *op;
	size_t i;

	if (!strcmp(path, "/v3/kv/range"))
		return false;
	if (strcmp(path, "/v3/kv/txn") != 0)
		return true;
	json_array_foreach(json_object_get(body, "success"), i, op)
	{
		if (is_write_op(op))
			return true;
	}
	return false;
}

json_t *kv_call(struct kv *kv, const char *path, const json_t *body, uint64_t now_ms, int *status)
{
	const char *problem = NULL;

	*status = HTTP_OK;
	kv_begin(kv);
	if (!strcmp(path, "/v3/kv/range"))
		return call_range(kv, body);
	if (!strcmp(path, "/v3/kv/txn"))
		return call_txn(kv, body, status);
	if (!strcmp(path, "/v3/kv/put"))
		problem = put_problem(kv, body);
	if (problem)
		return error_answer(strstr(problem, "lease") ? CODE_NOT_FOUND : CODE_INVALID,
				    problem, status);
	if (!strcmp(path, "/v3/kv/put"))
		return call_put(kv, body);
	if (!strcmp(path, "/v3/kv/deleterange"))
		return call_delete(kv, body);
	if (!strcmp(path, "/v3/lease/grant"))
		return call_grant(kv, body, now_ms, status);
	if (!strcmp(path, "/v3/lease/keepalive"))
		return call_keepalive(kv, body, now_ms);
	if (!strcmp(path, "/v3/lease/revoke") && kv_revoke(kv, kv_number(body, "ID")))
		return json_pack("{s:o}", "header", kv_header(kv));
	return error_answer(CODE_NOT_FOUND, "etcdserver: not found", status);
}
