#include "httpd.h"
#include "lib_memkv.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Stand-in for the platform's metadata store, written from the platform's documentation.
 *
 * Usage: fake_platform [ADDRESS [JOURNAL]]. Prints "listening ip:port". With a journal file the
 * contents outlive the process. PUT /trouble/N[/MS] sets the fault N of enum memkv_fault for all
 * clients, MS is the delay of late writes; PUT /operator/KEY writes a key without a client, as the
 * operator does, and DELETE removes it.
 */

#define BODY_BYTES_MAX (2 * 1024 * 1024)
#define HTTP_OK 200

struct platform {
	struct tevent_context *ev;
	struct memkv *store;
	struct memkv_client *client;
};

/* A call that waits for the answer of the in-memory store. */
struct waiting {
	struct httpd_call *call;
	enum {
		WAIT_KEY,
		WAIT_RANGE,
		WAIT_TXN,
		WAIT_LEASE,
		WAIT_WATCH,
		WAIT_EMPTY
	} kind;
};

static json_t *item_json(const struct kv_item *item)
{
	char *value = g_base64_encode((const guchar *)item->value, item->value_len);
	json_t *json;

	if (item->revision == 0)
		json = json_pack("{s:s, s:I, s:b}", "key", item->key, "revision", (json_int_t)1,
				 "deleted", 1);
	else
		json = json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", item->key, "value", value,
				 "revision", (json_int_t)item->revision, "created",
				 (json_int_t)item->created, "lease", (json_int_t)item->lease);
	g_free(value);
	return json;
}

static json_t *items_json(const struct kv_result *result, bool present_only)
{
	json_t *list = json_array();

	for (size_t i = 0; i < result->count; i++) {
		if (!present_only || result->items[i].revision > 0)
			json_array_append_new(list, item_json(&result->items[i]));
	}
	return list;
}

static json_t *result_json(const struct waiting *waiting, const struct kv_result *result)
{
	json_int_t revision = result->revision;
	json_t *json;

	switch (waiting->kind) {
	case WAIT_KEY:
		json = result->count ? item_json(&result->items[0]) : json_object();
		json_object_set_new(json, "current_rev", json_integer(revision));
		return json;
	case WAIT_RANGE:
		return json_pack("{s:o, s:b, s:I}", "items", items_json(result, true), "has_more",
				 0, "current_rev", revision);
	case WAIT_WATCH:
		return json_pack("{s:o, s:I}", "events", items_json(result, false), "current_rev",
				 revision);
	case WAIT_TXN:
		return json_pack("{s:I, s:o}", "revision", revision, "items",
				 items_json(result, true));
	default:
		return json_pack("{s:I, s:i}", "lease", (json_int_t)result->lease, "ttl_ms", 0);
	}
}

static int http_status(const struct waiting *waiting, int status, const struct kv_result *result)
{
	switch (status) {
	case 0:
		return waiting->kind == WAIT_KEY && result && result->count == 0 ? 404 : HTTP_OK;
	case -ERR_CONFLICT:
		return 412;
	case -ERR_NOT_FOUND:
		return 404;
	case -ERR_STALE:
		return 410;
	case -ERR_UNAVAILABLE:
		return 503;
	default:
		return 500; /* the write took effect, but its answer is lost */
	}
}

static void on_done(int status, const struct kv_result *result, void *ctx)
{
	struct waiting *waiting = ctx;
	json_t *json = result ? result_json(waiting, result) : json_object();
	char *text = json_dumps(json, JSON_COMPACT);

	httpd_answer(waiting->call, http_status(waiting, status, result), "application/json", text,
		     0);
	free(text);
	json_decref(json);
	talloc_free(waiting);
}

static const char *string_member(const json_t *json, const char *name)
{
	const char *text = json_string_value(json_object_get(json, name));

	return text ? text : "";
}

static void serve_txn(struct platform *platform, struct kv_cb cb, const json_t *body)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	const json_t *expected = json_object_get(body, "expected");
	const json_t *puts = json_object_get(body, "puts");
	const json_t *removes = json_object_get(body, "remove");
	struct kv_expect *expects = talloc_zero_array(mem, struct kv_expect, KV_TXN_MAX);
	struct kv_put *rows = talloc_zero_array(mem, struct kv_put, KV_TXN_MAX);
	const char **keys = talloc_zero_array(mem, const char *, KV_TXN_MAX);
	struct kv_txn txn = {.expects = expects, .puts = rows, .removes = keys};
	const json_t *row;
	size_t i;

	json_array_foreach(expected, i, row) expects[txn.expect_count++] = (struct kv_expect){
		string_member(row, "key"), json_integer_value(json_object_get(row, "revision"))};
	json_array_foreach(puts, i, row)
	{
		gsize len;
		guchar *value = g_base64_decode(string_member(row, "value"), &len);

		rows[txn.put_count++] = (struct kv_put){
			string_member(row, "key"), talloc_strndup(mem, (char *)value, len),
			json_integer_value(json_object_get(row, "lease"))};
		g_free(value);
	}
	json_array_foreach(removes, i, row) keys[txn.remove_count++] = json_string_value(row);
	platform->client->kv.ops->txn(platform->client, &txn, cb);
	talloc_free(mem);
}

static const char *query_argument(const struct httpd_call *call, const char *name)
{
	const char *value = httpd_argument(call, name);

	return value ? value : "";
}

static void serve_test_control(struct platform *platform, struct httpd_call *call, const char *path)
{
	size_t len;
	const char *body = httpd_body(call, &len);

	unsigned int fault;
	unsigned int late_ms;
	int count = sscanf(path, "/trouble/%u/%u", &fault, &late_ms);

	if (count >= 1)
		platform->client->fault = (enum memkv_fault)fault;
	if (count == 2)
		platform->client->late_write_ms = late_ms;
	if (count < 1 && !strcmp(httpd_method(call), "DELETE"))
		memkv_remove(platform->store, path + strlen("/operator/"));
	else if (count < 1)
		memkv_put(platform->store, path + strlen("/operator/"), body);
	httpd_answer(call, HTTP_OK, NULL, NULL, 0);
}

static void serve_store(struct platform *platform, struct httpd_call *call, const char *path)
{
	const struct kv_ops *ops = platform->client->kv.ops;
	struct waiting *waiting = talloc_zero(NULL, struct waiting);
	struct kv_cb cb = {on_done, waiting};
	size_t len;
	json_t *body = json_loads(httpd_body(call, &len), 0, NULL);

	waiting->call = call;
	if (!strcmp(path, "/v1/kv-key")) {
		waiting->kind = WAIT_KEY;
		ops->get(platform->client, query_argument(call, "key"), cb);
	} else if (!strcmp(path, "/v1/kv-range")) {
		waiting->kind = WAIT_RANGE;
		ops->range(platform->client, query_argument(call, "prefix"),
			   query_argument(call, "after"), cb);
	} else if (!strcmp(path, "/v1/kv-watch")) {
		waiting->kind = WAIT_WATCH;
		ops->poll(platform->client, query_argument(call, "prefix"),
			  atoll(query_argument(call, "after")),
			  (uint32_t)atoi(query_argument(call, "wait_ms")), cb);
	} else if (!strcmp(path, "/v1/kv-txn")) {
		waiting->kind = WAIT_TXN;
		serve_txn(platform, cb, body);
	} else if (!strcmp(path, "/v1/kv-lease")) {
		waiting->kind = WAIT_LEASE;
		ops->lease_grant(platform->client,
				 (uint32_t)json_integer_value(json_object_get(body, "ttl_ms")), cb);
	} else if (!strncmp(path, "/v1/kv-keep/", 12)) {
		waiting->kind = WAIT_EMPTY;
		ops->lease_keep(platform->client, atoll(path + 12), cb);
	} else if (!strncmp(path, "/v1/kv-lease-end/", 17)) {
		waiting->kind = WAIT_EMPTY;
		ops->lease_end(platform->client, atoll(path + 17), cb);
	} else {
		httpd_answer(call, 404, NULL, NULL, 0);
		talloc_free(waiting);
	}
	json_decref(body);
}

static void on_call(struct httpd_call *call, void *ctx)
{
	const char *path = httpd_path(call);

	if (!strncmp(path, "/v1/", 4))
		serve_store(ctx, call, path);
	else
		serve_test_control(ctx, call, path);
}

int main(int argc, char **argv)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct platform platform = {.ev = tevent_context_init(mem)};
	struct httpd_handlers handlers = {on_call, NULL, &platform};
	struct err err = {0};
	struct httpd *httpd;

	signal(SIGPIPE, SIG_IGN);
	platform.store = memkv_create(mem, platform.ev);
	platform.client = memkv_client(platform.store);
	if (argc > 2 && !memkv_open_journal(platform.store, argv[2])) {
		perror(argv[2]);
		return 1;
	}
	httpd = httpd_create(mem, platform.ev, argc > 1 ? argv[1] : "127.0.0.1:0", BODY_BYTES_MAX,
			     &handlers, &err);
	if (!httpd) {
		fprintf(stderr, "%s\n", err.message);
		return 1;
	}
	printf("listening %s\n", httpd_address(httpd));
	fflush(stdout);
	while (tevent_loop_once(platform.ev) == 0)
		;
	return 1;
}
