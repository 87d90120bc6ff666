#include "leader.h"
#include "lib_memkv.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#define TTL_MS 600

struct node {
	struct memkv_client *client;
	struct leader *leader;
	uint64_t term; /* while it leads */
	int gained;
	int lost;
	int refused;
	bool peer_writes;
	struct memkv *store;
	char known[32];
};

static void on_gained(uint64_t term, void *ctx)
{
	struct node *n = ctx;

	n->term = term;
	n->gained++;
}

static void on_lost(void *ctx)
{
	struct node *n = ctx;

	n->term = 0;
	n->lost++;
}

/* Plays a peer: writes as the store lets it. */
static void on_refused(const char *key, const char *value, void *ctx)
{
	struct node *n = ctx;

	n->refused++;
	if (n->peer_writes)
		memkv_put(n->store, key, value);
	leader_resignation_stored(n->leader, n->peer_writes ? 0 : -ERR_UNAVAILABLE);
}

static void on_changed(const char *node, const char *address, uint64_t term, void *ctx)
{
	struct node *n = ctx;

	g_strlcpy(n->known, node, sizeof(n->known));
}

struct fixture {
	struct tevent_context *ev;
	struct memkv *store;
	struct node nodes[3];
};

static void start(struct fixture *f, struct node *n)
{
	static const char *const names[] = {"n0", "n1", "n2"};
	struct leader_options options = {names[n - f->nodes], "127.0.0.1:1", TTL_MS, true};
	struct leader_handlers handlers = {on_gained, on_lost, on_changed, on_refused, n};

	n->store = f->store;
	n->client = memkv_client(f->store);
	n->leader = leader_create(f, f->ev, &n->client->kv, &options, &handlers);
}

static struct fixture *set_up(void)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);

	f->ev = tevent_context_init(f);
	f->store = memkv_create(f, f->ev);
	for (int i = 0; i < 3; i++)
		start(f, &f->nodes[i]);
	memkv_run(f->ev, 700);
	return f;
}

static struct node *leading(struct fixture *f, int *count)
{
	struct node *found = NULL;

	*count = 0;
	for (int i = 0; i < 3; i++) {
		if (!f->nodes[i].term)
			continue;
		found = &f->nodes[i];
		(*count)++;
	}
	return found;
}

/* Guards against no leader, or two. */
static void test_one_leader(void)
{
	struct fixture *f = set_up();
	int count;
	struct node *n = leading(f, &count);

	CU_ASSERT_EQUAL_FATAL(count, 1);
	CU_ASSERT_EQUAL(n->term, 1);
	CU_ASSERT_TRUE(leader_confirmed(n->leader));
	memkv_run(f->ev, 1500);
	CU_ASSERT_EQUAL(n->term, 1);
	CU_ASSERT_EQUAL(n->lost, 0);
	talloc_free(f);
}

/* Guards against a leader that the store refuses and that nobody replaces. */
static void test_refused_leader_is_replaced(void)
{
	struct fixture *f = set_up();
	int count;
	struct node *old = leading(f, &count);
	struct node *fresh;

	CU_ASSERT_EQUAL_FATAL(count, 1);
	old->client->trouble = MEMKV_REFUSES;
	memkv_run(f->ev, TTL_MS + 900);
	CU_ASSERT_FALSE(leader_confirmed(old->leader));
	old->client->trouble = MEMKV_WELL;
	memkv_run(f->ev, 900);
	fresh = leading(f, &count);
	CU_ASSERT_EQUAL_FATAL(count, 1);
	CU_ASSERT_PTR_NOT_EQUAL(fresh, old);
	CU_ASSERT_EQUAL(fresh->term, 2);
	CU_ASSERT_EQUAL(old->lost, 1);
	talloc_free(f);
}

/* Guards against a change of leader for an outage in which nobody else was elected. */
static void test_same_leader_after_lapse(void)
{
	struct fixture *f = set_up();
	int count;
	struct node *n = leading(f, &count);

	CU_ASSERT_EQUAL_FATAL(count, 1);
	for (int i = 0; i < 3; i++)
		f->nodes[i].client->trouble = MEMKV_REFUSES;
	memkv_run(f->ev, TTL_MS * 2);
	memkv_expire(f->store);
	for (int i = 0; i < 3; i++)
		f->nodes[i].client->trouble = MEMKV_WELL;
	memkv_run(f->ev, 1500);
	CU_ASSERT_EQUAL(n->term, 1);
	CU_ASSERT_EQUAL(n->lost, 0);
	CU_ASSERT_EQUAL(leading(f, &count) == n, true);
	CU_ASSERT_EQUAL(count, 1);
	talloc_free(f);
}

/* Guards against an election that never ends because answers to writes are lost. */
static void test_lost_answers(void)
{
	struct fixture *f = set_up();
	int count;
	struct node *old = leading(f, &count);
	struct node *fresh;

	CU_ASSERT_EQUAL_FATAL(count, 1);
	leader_resign(old->leader);
	for (int i = 0; i < 3; i++)
		f->nodes[i].client->trouble = MEMKV_LOSES;
	memkv_run(f->ev, 400);
	for (int i = 0; i < 3; i++)
		f->nodes[i].client->trouble = MEMKV_WELL;
	memkv_run(f->ev, 1500);
	fresh = leading(f, &count);
	CU_ASSERT_EQUAL_FATAL(count, 1);
	CU_ASSERT(fresh->term >= 2);
	CU_ASSERT_PTR_NOT_EQUAL(fresh, old);
	talloc_free(f);
}

/* Guards against a shutdown that leaves the fleet without a leader until the lease lapses. */
static void test_resign(void)
{
	struct fixture *f = set_up();
	int count;
	struct node *old = leading(f, &count);

	CU_ASSERT_EQUAL_FATAL(count, 1);
	leader_resign(old->leader);
	memkv_run(f->ev, 500);
	CU_ASSERT_PTR_NOT_EQUAL(leading(f, &count), old);
	CU_ASSERT_EQUAL(count, 1);
	talloc_free(f);
}

/*
 * Guards against a recovery that waits for the lease of a killed leader whose node is back, and
 * against a term that two processes of one node share.
 */
static void test_restarted_leader_leads_at_once(void)
{
	struct fixture *f = set_up();
	int count;
	struct node *n = leading(f, &count);

	CU_ASSERT_EQUAL_FATAL(count, 1);
	talloc_free(n->leader);
	*n = (struct node){0};
	start(f, n);
	memkv_run(f->ev, TTL_MS / 4);
	CU_ASSERT_PTR_EQUAL(leading(f, &count), n);
	CU_ASSERT_EQUAL(count, 1);
	CU_ASSERT_EQUAL(n->term, 2);
	/* The end of the former lease must not take the new key away. */
	memkv_run(f->ev, TTL_MS * 3);
	CU_ASSERT_EQUAL(n->term, 2);
	CU_ASSERT_EQUAL(n->lost, 0);
	CU_ASSERT_EQUAL(n->gained, 1);
	talloc_free(f);
}

/*
 * Guards against a fleet without a leader until the lease lapses, while the store refuses only
 * the leader's host.
 */
static void test_refused_leader_resigns_through_a_peer(void)
{
	struct fixture *f = set_up();
	int count;
	struct node *old = leading(f, &count);
	struct node *fresh;

	CU_ASSERT_EQUAL_FATAL(count, 1);
	old->peer_writes = true;
	old->client->trouble = MEMKV_REFUSES;
	memkv_run(f->ev, TTL_MS * 8 / 10);
	fresh = leading(f, &count);
	CU_ASSERT_EQUAL_FATAL(count, 1);
	CU_ASSERT_PTR_NOT_EQUAL(fresh, old);
	CU_ASSERT_EQUAL(fresh->term, 2);
	CU_ASSERT_EQUAL(old->lost, 1);
	CU_ASSERT_PTR_NULL(memkv_value(f->store, "leader.resigned.1"));
	old->client->trouble = MEMKV_WELL;
	memkv_run(f->ev, TTL_MS * 3);
	CU_ASSERT_PTR_EQUAL(leading(f, &count), fresh);
	CU_ASSERT_EQUAL(fresh->term, 2);
	talloc_free(f);
}

/* Guards against a fleet whose leader resigns because the store is away for everybody. */
static void test_leader_stays_while_the_store_is_away(void)
{
	struct fixture *f = set_up();
	int count;
	struct node *n = leading(f, &count);

	CU_ASSERT_EQUAL_FATAL(count, 1);
	for (int i = 0; i < 3; i++)
		f->nodes[i].client->trouble = MEMKV_REFUSES;
	memkv_run(f->ev, TTL_MS);
	CU_ASSERT(n->refused > 0);
	CU_ASSERT_EQUAL(n->lost, 0);
	CU_ASSERT_EQUAL(n->term, 1);
	talloc_free(f);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("leader", NULL, NULL);
	CU_add_test(suite, "one_leader", test_one_leader);
	CU_add_test(suite, "refused_leader_is_replaced", test_refused_leader_is_replaced);
	CU_add_test(suite, "same_leader_after_lapse", test_same_leader_after_lapse);
	CU_add_test(suite, "lost_answers", test_lost_answers);
	CU_add_test(suite, "resign", test_resign);
	CU_add_test(suite, "restarted_leader_leads_at_once", test_restarted_leader_leads_at_once);
	CU_add_test(suite, "refused_leader_resigns_through_a_peer",
		    test_refused_leader_resigns_through_a_peer);
	CU_add_test(suite, "leader_stays_while_the_store_is_away",
		    test_leader_stays_while_the_store_is_away);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
