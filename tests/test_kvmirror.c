#include "lib_memkv.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

struct seen {
	char text[512]; /* log of the reports: "key=value;" for a write, "-key;" for a removal */
	int loaded;
};

static void on_item(const struct kv_item *item, void *ctx)
{
	struct seen *seen = ctx;
	size_t len = strlen(seen->text);

	if (item->revision > 0)
		snprintf(seen->text + len, sizeof(seen->text) - len, "%s=%s;", item->key,
			 item->value);
	else
		snprintf(seen->text + len, sizeof(seen->text) - len, "-%s;", item->key);
}

static void on_loaded(void *ctx)
{
	((struct seen *)ctx)->loaded++;
}

struct fixture {
	struct tevent_context *ev;
	struct memkv *store;
	struct memkv_client *client;
	struct kv_mirror *mirror;
	struct seen seen;
};

static struct fixture *set_up(void)
{
	struct fixture *fixture = talloc_zero(NULL, struct fixture);
	struct kv_mirror_handlers handlers = {on_item, on_loaded, &fixture->seen};

	fixture->ev = tevent_context_init(fixture);
	fixture->store = memkv_create(fixture, fixture->ev);
	fixture->client = memkv_client(fixture->store);
	memkv_put(fixture->store, "a/1", "x");
	memkv_put(fixture->store, "b/1", "other");
	fixture->mirror =
		kv_mirror_create(fixture, fixture->ev, &fixture->client->kv, "a/", &handlers);
	memkv_run(fixture->ev, 30);
	return fixture;
}

/* Guards against missed changes, reports of keys outside the prefix, and unreported removals. */
static void test_follow(void)
{
	struct fixture *fixture = set_up();

	CU_ASSERT_EQUAL(fixture->seen.loaded, 1);
	memkv_put(fixture->store, "a/2", "y");
	memkv_put(fixture->store, "a/1", "z");
	memkv_remove(fixture->store, "a/2");
	memkv_run(fixture->ev, 30);
	CU_ASSERT_STRING_EQUAL(fixture->seen.text, "a/1=x;a/2=y;a/1=z;-a/2;");
	talloc_free(fixture);
}

/* Guards against lost changes when the store compacts its history during an outage. */
static void test_compacted(void)
{
	struct fixture *fixture = set_up();

	fixture->client->fault = MEMKV_REJECT_CALLS;
	memkv_run(fixture->ev, 100);
	CU_ASSERT(kv_mirror_failing_ms(fixture->mirror) > 0);
	memkv_put(fixture->store, "a/2", "y");
	memkv_remove(fixture->store, "a/1");
	memkv_compact(fixture->store);
	fixture->client->fault = MEMKV_FAULT_NONE;
	memkv_run(fixture->ev, 700);
	CU_ASSERT_STRING_EQUAL(fixture->seen.text, "a/1=x;a/2=y;-a/1;");
	CU_ASSERT_EQUAL(kv_mirror_failing_ms(fixture->mirror), 0);
	talloc_free(fixture);
}

/*
 * Guards against waiting too long for a poll that does not report a change: a configuration must
 * take effect within 2 s after it was acknowledged.
 */
static void test_silenced_poll(void)
{
	struct fixture *fixture = set_up();

	fixture->client->fault = MEMKV_EMPTY_POLLS;
	memkv_put(fixture->store, "a/1", "new");
	memkv_compact(fixture->store);
	memkv_run(fixture->ev, 1500);
	CU_ASSERT_STRING_EQUAL(fixture->seen.text, "a/1=x;a/1=new;");
	talloc_free(fixture);
}

struct odd_store {
	struct tevent_context *ev;
	struct kv_cb poll; /* the call that waits for a change */
	bool unreadable;   /* pages name no key, but say that there are more */
	int reads;
};

static void read_odd_page(void *impl, const char *prefix, const char *after, struct kv_cb cb)
{
	struct odd_store *store = impl;
	struct kv_result page = {.revision = 1, .more = store->unreadable};

	store->reads++;
	cb.done(0, &page, cb.ctx);
}

static void hold_poll(void *impl, const char *prefix, int64_t after, uint32_t wait_ms,
		      struct kv_cb cb)
{
	((struct odd_store *)impl)->poll = cb;
}

/*
 * Guards against keys that count as known because the store answers: after its history is lost, no
 * page of a full read can be read.
 */
static void test_age_without_readable_pages(void)
{
	static const struct kv_ops ops = {.range = read_odd_page, .poll = hold_poll};
	struct fixture *fixture = talloc_zero(NULL, struct fixture);
	struct odd_store store = {0};
	struct kv kv = {&ops, &store};
	struct kv_mirror_handlers handlers = {on_item, on_loaded, &fixture->seen};
	struct kv_result none = {.revision = 1};

	fixture->ev = tevent_context_init(fixture);
	fixture->mirror = kv_mirror_create(fixture, fixture->ev, &kv, "a/", &handlers);
	memkv_run(fixture->ev, 100);
	CU_ASSERT(kv_mirror_age_ms(fixture->mirror) >= 100);
	store.poll.done(0, &none, store.poll.ctx);
	CU_ASSERT(kv_mirror_age_ms(fixture->mirror) < 50);
	store.unreadable = true;
	store.poll.done(-ERR_STALE, NULL, store.poll.ctx);
	memkv_run(fixture->ev, 1200);
	CU_ASSERT(store.reads > 2);
	CU_ASSERT(kv_mirror_age_ms(fixture->mirror) >= 1200);
	talloc_free(fixture);
}

/* Guards against a callback into a mirror that was freed while a call was in progress. */
static void test_freed(void)
{
	struct fixture *fixture = set_up();

	TALLOC_FREE(fixture->mirror);
	memkv_put(fixture->store, "a/9", "late");
	memkv_run(fixture->ev, 1000);
	CU_ASSERT_STRING_EQUAL(fixture->seen.text, "a/1=x;");
	talloc_free(fixture);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("kvmirror", NULL, NULL);
	CU_add_test(suite, "follow", test_follow);
	CU_add_test(suite, "compacted", test_compacted);
	CU_add_test(suite, "silenced_poll", test_silenced_poll);
	CU_add_test(suite, "age_without_readable_pages", test_age_without_readable_pages);
	CU_add_test(suite, "freed", test_freed);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
