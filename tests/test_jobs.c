#include "lib_jobworld.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <string.h>

#define GANG "{\"class\":\"again\",\"members\":3,\"accelerators\":4,\"cores\":1}"
#define GANG_ONCE "{\"class\":\"once\",\"members\":2,\"accelerators\":4,\"cores\":1}"
#define SMALL "{\"class\":\"again\",\"accelerators\":1}"
#define DEADLINE_MS 20000

/* Guards against a job that is lost, runs twice or is not found by its key. */
static void test_to_the_end(void)
{
	struct job_world w;
	struct played_entry *e;
	struct job_reply r;
	char id[32];

	world_open(&w);
	e = world_entry(&w, 0);
	w.conduct = AGENT_DONE;
	world_submit(e, GANG, "key", DEADLINE_MS, &r);
	CU_ASSERT_EQUAL(r.status, 0);
	CU_ASSERT_EQUAL(strlen(r.id), 16);
	memcpy(id, r.id, sizeof(id));
	world_wait(e, id, &r);
	CU_ASSERT_STRING_EQUAL(r.state, "done");
	CU_ASSERT_EQUAL(r.attempt, 1);
	CU_ASSERT_EQUAL(w.starts, 3);
	world_submit(e, GANG, "key", DEADLINE_MS, &r);
	CU_ASSERT_STRING_EQUAL(r.id, id);
	world_submit(e, SMALL, "", DEADLINE_MS, &r);
	world_wait(e, r.id, &r);
	CU_ASSERT_EQUAL(w.starts, 4);
	world_query(e, "list", "", &r);
	CU_ASSERT_EQUAL(r.jobs, 2);
	world_query(e, "get", "0000000000000000", &r);
	CU_ASSERT_EQUAL(r.status, -ERR_NOT_FOUND);
	world_close(&w);
}

/* Guards against a successor that loses, restarts or forgets what its predecessor granted. */
static void test_takeover(void)
{
	struct job_world w;
	struct played_entry *a;
	struct played_entry *b;
	struct job_reply gang;
	struct job_reply waiting;
	struct job_reply r;

	world_open(&w);
	a = world_entry(&w, 0);
	world_submit(a, GANG, "", DEADLINE_MS, &gang);
	CU_ASSERT_TRUE(world_until(a, gang.id, "running"));
	world_submit(a, GANG, "", DEADLINE_MS, &waiting);
	b = world_entry(&w, 1);
	world_query(b, "get", gang.id, &r);
	CU_ASSERT_STRING_EQUAL(r.state, "running");
	world_crash(a);
	CU_ASSERT_TRUE(world_until(b, gang.id, "running"));
	CU_ASSERT_TRUE(world_until(b, waiting.id, "waiting"));
	CU_ASSERT_EQUAL(w.starts, 3);
	w.conduct = AGENT_DONE;
	world_finish(&w, MSG_MEMBER_DONE);
	world_wait(b, gang.id, &r);
	CU_ASSERT_STRING_EQUAL(r.state, "done");
	CU_ASSERT_EQUAL(r.attempt, 1);
	world_wait(b, waiting.id, &r);
	CU_ASSERT_STRING_EQUAL(r.state, "done");
	CU_ASSERT_EQUAL(w.starts, 6);
	world_close(&w);
}

/* Guards against the loss of what was accepted when all entries go at once. */
static void test_all_replaced(void)
{
	struct job_world w;
	struct job_reply ids[3];
	struct job_reply r;
	struct played_entry *e;

	world_open(&w);
	w.conduct = AGENT_SILENT;
	e = world_entry(&w, 0);
	for (int i = 0; i < 3; i++)
		world_submit(e, SMALL, "", DEADLINE_MS, &ids[i]);
	world_crash(e);
	w.conduct = AGENT_DONE;
	e = world_entry(&w, 1);
	for (int i = 0; i < 3; i++) {
		CU_ASSERT_EQUAL(ids[i].status, 0);
		world_wait(e, ids[i].id, &r);
		CU_ASSERT_STRING_EQUAL(r.state, "done");
	}
	CU_ASSERT_EQUAL(w.starts, 3);
	world_close(&w);
}

/* Guards against blind repetition: lost answers must neither lose nor double a job. */
static void test_lost_answers(void)
{
	struct job_world w;
	struct played_entry *e;
	struct job_reply r;

	world_open(&w);
	e = world_entry(&w, 0);
	w.conduct = AGENT_DONE;
	world_submit(e, SMALL, "", DEADLINE_MS, &r);
	world_wait(e, r.id, &r);
	for (int i = 1; i <= 4; i++) {
		fakestore_fault(w.fake, i % 2 ? "{\"lose_answers\":1}" : "{\"lose_answers\":2}");
		world_submit(e, GANG, "", DEADLINE_MS, &r);
		CU_ASSERT_EQUAL(r.status, 0);
		world_wait(e, r.id, &r);
		CU_ASSERT_STRING_EQUAL(r.state, "done");
	}
	CU_ASSERT_EQUAL(w.starts, 1 + 4 * 3);
	world_close(&w);
}

/* Guards against gangs stopped by an outage, and against "not run" for a job that runs. */
static void test_outage(void)
{
	struct job_world w;
	struct played_entry *e;
	struct job_reply gang;
	struct job_reply refused;
	struct job_reply r;

	world_open(&w);
	e = world_entry(&w, 0);
	world_submit(e, GANG, "", DEADLINE_MS, &gang);
	CU_ASSERT_TRUE(world_until(e, gang.id, "running"));
	fakestore_fault(w.fake, "{\"down\":true}");
	world_submit(e, SMALL, "refused", 300, &refused);
	CU_ASSERT_EQUAL(refused.status, -ERR_UNAVAILABLE);
	CU_ASSERT_EQUAL(world_running(&w), 3);
	w.conduct = AGENT_DONE;
	world_finish(&w, MSG_MEMBER_DONE);
	loop_for(w.ev, 300);
	fakestore_fault(w.fake, "{\"down\":false}");
	world_wait(e, gang.id, &r);
	CU_ASSERT_STRING_EQUAL(r.state, "done");
	world_submit(e, SMALL, "", DEADLINE_MS, &r);
	CU_ASSERT_EQUAL(r.status, 0);
	world_wait(e, r.id, &r);
	CU_ASSERT_STRING_EQUAL(r.state, "done");
	world_query(e, "list", "", &r);
	CU_ASSERT_EQUAL(r.jobs, 2);
	world_close(&w);
}

struct broken_case {
	const char *body;
	enum agent_conduct conduct;
	const char *state;
	const char *reason;
	json_int_t attempt;
};

static const struct broken_case broken[] = {
	{GANG, AGENT_BREAKS, "done", "", 2},
	{GANG_ONCE, AGENT_BREAKS, "failed", "outcome unknown", 1},
	{GANG_ONCE, AGENT_DONE, "done", "", 1},
	{GANG, AGENT_FAILS, "failed", "the task failed", 1},
};

/* Guards against running work again that may run only once. */
static void test_broken(void)
{
	for (size_t i = 0; i < sizeof(broken) / sizeof(broken[0]); i++) {
		struct job_world w;
		struct played_entry *e;
		struct job_reply r;

		world_open(&w);
		e = world_entry(&w, 0);
		w.conduct = broken[i].conduct;
		world_submit(e, broken[i].body, "", DEADLINE_MS, &r);
		world_wait(e, r.id, &r);
		CU_ASSERT_STRING_EQUAL(r.state, broken[i].state);
		CU_ASSERT_EQUAL(r.attempt, broken[i].attempt);
		if (broken[i].reason[0])
			CU_ASSERT_TRUE(!strcmp(r.reason, broken[i].reason) || !r.reason[0]);
		world_close(&w);
	}
}

/* Guards against cancelled work that goes on, and against a cancel that is forgotten. */
static void test_cancel(void)
{
	struct job_world w;
	struct played_entry *e;
	struct job_reply gang;
	struct job_reply waiting;
	struct job_reply r;

	world_open(&w);
	e = world_entry(&w, 0);
	world_submit(e, GANG_ONCE, "", DEADLINE_MS, &gang);
	CU_ASSERT_TRUE(world_until(e, gang.id, "running"));
	world_submit(e, GANG, "", DEADLINE_MS, &waiting);
	world_query(e, "cancel", waiting.id, &r);
	CU_ASSERT_EQUAL(r.status, 0);
	CU_ASSERT_STRING_EQUAL(r.state, "cancelled");
	world_query(e, "cancel", gang.id, &r);
	CU_ASSERT_EQUAL(r.status, 0);
	world_wait(e, gang.id, &r);
	CU_ASSERT_STRING_EQUAL(r.state, "cancelled");
	CU_ASSERT_EQUAL(world_running(&w), 0);
	CU_ASSERT_EQUAL(w.starts, 2);
	world_query(e, "explain", gang.id, &r);
	CU_ASSERT_EQUAL(r.status, 0);
	world_close(&w);
}

/* Guards against an organisation with more jobs than its quota, also through another entry. */
static void test_quota(void)
{
	static const char body[] = "{\"class\":\"again\",\"accelerators\":1,\"payload\":\"fig\"}";
	struct job_world w;
	struct played_entry *a;
	struct played_entry *b;
	struct job_reply first;
	struct job_reply r;

	world_open(&w);
	a = world_entry(&w, 0);
	b = world_entry(&w, 1);
	world_submit(a, body, "", DEADLINE_MS, &first);
	CU_ASSERT_EQUAL(first.status, 0);
	CU_ASSERT_TRUE(world_until(a, first.id, "running"));
	world_submit(b, body, "", DEADLINE_MS, &r);
	CU_ASSERT_EQUAL(r.status, -ERR_OVER_QUOTA);
	world_finish(&w, MSG_MEMBER_DONE);
	world_wait(a, first.id, &r);
	world_submit(b, body, "", DEADLINE_MS, &r);
	CU_ASSERT_EQUAL(r.status, 0);
	world_close(&w);
}

/* Guards against an urgent job that starts later than 4.1 s, submitted through another entry. */
static void test_urgent(void)
{
	struct job_world w;
	struct played_entry *a;
	struct played_entry *b;
	struct job_reply r;
	uint64_t begun;

	world_open(&w);
	a = world_entry(&w, 0);
	b = world_entry(&w, 1);
	w.conduct = AGENT_DONE;
	world_submit(a, SMALL, "", DEADLINE_MS, &r);
	world_wait(a, r.id, &r);
	begun = util_clock_ms();
	world_submit(b, "{\"class\":\"quick\",\"accelerators\":1}", "", DEADLINE_MS, &r);
	world_wait(b, r.id, &r);
	CU_ASSERT_STRING_EQUAL(r.state, "done");
	CU_ASSERT_TRUE(util_clock_ms() - begun < 4100);
	world_close(&w);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("jobs", NULL, NULL);
	CU_add_test(suite, "to the end", test_to_the_end);
	CU_add_test(suite, "takeover", test_takeover);
	CU_add_test(suite, "all replaced", test_all_replaced);
	CU_add_test(suite, "lost answers", test_lost_answers);
	CU_add_test(suite, "outage", test_outage);
	CU_add_test(suite, "broken", test_broken);
	CU_add_test(suite, "cancel", test_cancel);
	CU_add_test(suite, "quota", test_quota);
	CU_add_test(suite, "urgent", test_urgent);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
