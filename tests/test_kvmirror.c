#include "lib_memkv.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

struct seen {
	char text[512]; /* what was reported, "key=value;" or "-key;" */
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
	struct fixture *f = talloc_zero(NULL, struct fixture);
	struct kv_mirror_handlers handlers = {on_item, on_loaded, &f->seen};

	f->ev = tevent_context_init(f);
	f->store = memkv_create(f, f->ev);
	f->client = memkv_client(f->store);
	memkv_put(f->store, "a/1", "x");
	memkv_put(f->store, "b/1", "other");
	f->mirror = kv_mirror_create(f, f->ev, &f->client->kv, "a/", &handlers);
	memkv_run(f->ev, 30);
	return f;
}

/* Guards against missed or foreign keys, and removals that are not told. */
static void test_follow(void)
{
	struct fixture *f = set_up();

	CU_ASSERT_EQUAL(f->seen.loaded, 1);
	memkv_put(f->store, "a/2", "y");
	memkv_put(f->store, "a/1", "z");
	memkv_remove(f->store, "a/2");
	memkv_run(f->ev, 30);
	CU_ASSERT_STRING_EQUAL(f->seen.text, "a/1=x;a/2=y;a/1=z;-a/2;");
	talloc_free(f);
}

/* Guards against changes that are lost when the store forgets its history during an outage. */
static void test_compacted(void)
{
	struct fixture *f = set_up();

	f->client->trouble = MEMKV_REFUSES;
	memkv_run(f->ev, 100);
	CU_ASSERT(kv_mirror_failing_ms(f->mirror) > 0);
	memkv_put(f->store, "a/2", "y");
	memkv_remove(f->store, "a/1");
	memkv_compact(f->store);
	f->client->trouble = MEMKV_WELL;
	memkv_run(f->ev, 700);
	CU_ASSERT_STRING_EQUAL(f->seen.text, "a/1=x;a/2=y;-a/1;");
	CU_ASSERT_EQUAL(kv_mirror_failing_ms(f->mirror), 0);
	talloc_free(f);
}

/*
 * Guards against a poll that hears nothing of changes and is waited for too long: a
 * configuration must be in force 2 s after it was acknowledged.
 */
static void test_silenced_poll(void)
{
	struct fixture *f = set_up();

	f->client->trouble = MEMKV_SILENT_POLL;
	memkv_put(f->store, "a/1", "new");
	memkv_compact(f->store);
	memkv_run(f->ev, 1500);
	CU_ASSERT_STRING_EQUAL(f->seen.text, "a/1=x;a/1=new;");
	talloc_free(f);
}

/* Guards against a callback into a mirror that was freed while a call was under way. */
static void test_freed(void)
{
	struct fixture *f = set_up();

	TALLOC_FREE(f->mirror);
	memkv_put(f->store, "a/9", "late");
	memkv_run(f->ev, 1000);
	CU_ASSERT_STRING_EQUAL(f->seen.text, "a/1=x;");
	talloc_free(f);
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
	CU_add_test(suite, "freed", test_freed);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
