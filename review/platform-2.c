/*
 * The project's stand-in of the platform's store with the limits that the pages name: a value has
 * at most value_bytes, or the transaction is refused with 400; a page of a range has at most 500
 * items or 1 MB; the history reaches back history_s, and a watch from before it gets 410.
 */
#include "httpd.h"
#include "kv.h"
#include "lib_memkv.h"
#include "util.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VALUE_BYTES_MAX 1048576
#define PAGE_BYTES_MAX 1000000
#define PAGE_ITEMS_MAX 500
#define HISTORY_MS 20000
#define SAMPLES_MAX 65536

static const struct kv_ops *any_ops;

/* Revisions of the store and when they were its present one. */
static struct {
	uint64_t at_ms;
	int64_t revision;
} samples[SAMPLES_MAX];
static size_t sample_count;
static size_t expired_count; /* samples older than the history */

static void limited_txn(void *impl, const struct kv_txn *txn, struct kv_cb cb)
{
	for (size_t i = 0; i < txn->put_count; i++) {
		size_t len = strlen(txn->puts[i].value);

		if (len <= VALUE_BYTES_MAX)
			continue;
		fprintf(stderr, "refused %s %zu\n", txn->puts[i].key, len);
		cb.done(-ERR_TOO_LARGE, NULL, cb.ctx);
		return;
	}
	any_ops->txn(impl, txn, cb);
}

static void on_polled(int status, const struct kv_result *result, void *ctx)
{
	struct kv_cb *cb = ctx;

	if (!status && sample_count < SAMPLES_MAX) {
		samples[sample_count].at_ms = util_clock_ms();
		samples[sample_count++].revision = result->revision;
	}
	cb->done(status, result, cb->ctx);
	free(cb);
}

static void limited_poll(void *impl, const char *prefix, int64_t after, uint32_t wait_ms,
			 struct kv_cb cb)
{
	struct kv_cb *copy = malloc(sizeof(*copy));

	while (expired_count < sample_count &&
	       samples[expired_count].at_ms + HISTORY_MS < util_clock_ms())
		expired_count++;
	if (expired_count && after < samples[expired_count - 1].revision) {
		fprintf(stderr, "history of %s after %lld is gone\n", prefix, (long long)after);
		free(copy);
		cb.done(-ERR_STALE, NULL, cb.ctx);
		return;
	}
	*copy = cb;
	any_ops->poll(impl, prefix, after, wait_ms, (struct kv_cb){on_polled, copy});
}

static struct memkv_client *limited_client(struct memkv *store)
{
	static struct kv_ops ops;
	struct memkv_client *client = memkv_client(store);

	any_ops = client->kv.ops;
	ops = *any_ops;
	ops.txn = limited_txn;
	ops.poll = limited_poll;
	client->kv.ops = &ops;
	return client;
}

static char *cut_page(const char *body)
{
	json_t *json = json_loads(body, 0, NULL);
	json_t *items = json_object_get(json, "items");
	size_t bytes = 0;
	size_t count = 0;
	char *text;

	while (count < json_array_size(items) && count < PAGE_ITEMS_MAX && bytes < PAGE_BYTES_MAX)
		bytes += json_string_length(
			json_object_get(json_array_get(items, count++), "value"));
	if (count < json_array_size(items))
		json_object_set_new(json, "has_more", json_true());
	while (json_array_size(items) > count)
		json_array_remove(items, json_array_size(items) - 1);
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	return text;
}

/* Without an injected fault the store has no other reason for its status 500. */
static void limited_answer(struct httpd_call *call, int status, const char *type, const char *body,
			   uint32_t retry_after_s)
{
	char *page = strcmp(httpd_path(call), "/v1/kv-range") ? NULL : cut_page(body);

	httpd_answer(call, status == 500 ? 400 : status, type, page ? page : body, retry_after_s);
	free(page);
}

#define memkv_client(store) limited_client(store)
#define httpd_answer limited_answer
#include "../tests/fake_platform.c"
