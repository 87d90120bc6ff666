#include "jobs_int.h"
#include "lib_jobworld.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define GANG "{\"class\":\"again\",\"members\":3,\"accelerators\":4,\"cores\":1}"
#define GANG_ONCE "{\"class\":\"once\",\"members\":2,\"accelerators\":4,\"cores\":1}"
#define SMALL "{\"class\":\"again\",\"accelerators\":1}"
#define DEADLINE_MS 20000

/* Guards against jobs that are lost, run twice or aren't found by their idempotency key. */
static void test_run_to_end(void)
{
	struct job_world world;
	struct test_entry *entry;
	struct job_reply reply;
	char id[32];

	world_open(&world);
	entry = world_entry(&world, 0);
	world.behaviour = AGENT_DONE;
	world_submit(entry, GANG, "key", DEADLINE_MS, &reply);
	CU_ASSERT_EQUAL(reply.status, 0);
	CU_ASSERT_EQUAL(strlen(reply.id), 16);
	memcpy(id, reply.id, sizeof(id));
	world_wait(entry, id, &reply);
	CU_ASSERT_STRING_EQUAL(reply.state, "done");
	CU_ASSERT_EQUAL(reply.attempt, 1);
	CU_ASSERT_EQUAL(world.started_members, 3);
	world_submit(entry, GANG, "key", DEADLINE_MS, &reply);
	CU_ASSERT_STRING_EQUAL(reply.id, id);
	world_submit(entry, SMALL, "", DEADLINE_MS, &reply);
	world_wait(entry, reply.id, &reply);
	CU_ASSERT_EQUAL(world.started_members, 4);
	world_query(entry, "list", "", &reply);
	CU_ASSERT_EQUAL(reply.jobs, 2);
	world_query(entry, "get", "0000000000000000", &reply);
	CU_ASSERT_EQUAL(reply.status, -ERR_NOT_FOUND);
	world_close(&world);
}

/*
 * Guards against a new leader that loses a job, or starts one again that its predecessor has
 * granted.
 */
static void test_leader_takeover(void)
{
	struct job_world world;
	struct test_entry *entry_a;
	struct test_entry *entry_b;
	struct job_reply gang;
	struct job_reply waiting;
	struct job_reply reply;

	world_open(&world);
	entry_a = world_entry(&world, 0);
	world_submit(entry_a, GANG, "", DEADLINE_MS, &gang);
	CU_ASSERT_TRUE(world_until(entry_a, gang.id, "running"));
	world_submit(entry_a, GANG, "", DEADLINE_MS, &waiting);
	entry_b = world_entry(&world, 1);
	world_query(entry_b, "get", gang.id, &reply);
	CU_ASSERT_STRING_EQUAL(reply.state, "running");
	world_crash(entry_a);
	CU_ASSERT_TRUE(world_until(entry_b, gang.id, "running"));
	CU_ASSERT_TRUE(world_until(entry_b, waiting.id, "waiting"));
	CU_ASSERT_EQUAL(world.started_members, 3);
	world.behaviour = AGENT_DONE;
	world_finish(&world, MSG_MEMBER_DONE);
	world_wait(entry_b, gang.id, &reply);
	CU_ASSERT_STRING_EQUAL(reply.state, "done");
	CU_ASSERT_EQUAL(reply.attempt, 1);
	world_wait(entry_b, waiting.id, &reply);
	CU_ASSERT_STRING_EQUAL(reply.state, "done");
	CU_ASSERT_EQUAL(world.started_members, 6);
	world_close(&world);
}

/* Guards against the loss of accepted jobs when all entry hosts crash at once. */
static void test_all_entries_replaced(void)
{
	struct job_world world;
	struct job_reply ids[3];
	struct job_reply reply;
	struct test_entry *entry;

	world_open(&world);
	world.behaviour = AGENT_SILENT;
	entry = world_entry(&world, 0);
	for (int i = 0; i < 3; i++)
		world_submit(entry, SMALL, "", DEADLINE_MS, &ids[i]);
	world_crash(entry);
	world.behaviour = AGENT_DONE;
	entry = world_entry(&world, 1);
	for (int i = 0; i < 3; i++) {
		CU_ASSERT_EQUAL(ids[i].status, 0);
		world_wait(entry, ids[i].id, &reply);
		CU_ASSERT_STRING_EQUAL(reply.state, "done");
	}
	CU_ASSERT_EQUAL(world.started_members, 3);
	world_close(&world);
}

/* Guards against writes repeated blindly: lost answers must neither lose nor duplicate a job. */
static void test_lost_answers(void)
{
	struct job_world world;
	struct test_entry *entry;
	struct job_reply reply;

	world_open(&world);
	entry = world_entry(&world, 0);
	world.behaviour = AGENT_DONE;
	world_submit(entry, SMALL, "", DEADLINE_MS, &reply);
	world_wait(entry, reply.id, &reply);
	for (int i = 1; i <= 4; i++) {
		fakestore_set_fault(world.fake,
				    i % 2 ? "{\"lose_answers\":1}" : "{\"lose_answers\":2}");
		world_submit(entry, GANG, "", DEADLINE_MS, &reply);
		CU_ASSERT_EQUAL(reply.status, 0);
		world_wait(entry, reply.id, &reply);
		CU_ASSERT_STRING_EQUAL(reply.state, "done");
	}
	CU_ASSERT_EQUAL(world.started_members, 1 + 4 * 3);
	world_close(&world);
}

/*
 * Guards against gangs that are stopped by a store outage, and against jobs that run although
 * their submission was refused during the outage.
 */
static void test_outage(void)
{
	struct job_world world;
	struct test_entry *entry;
	struct job_reply gang;
	struct job_reply refused;
	struct job_reply reply;

	world_open(&world);
	entry = world_entry(&world, 0);
	world_submit(entry, GANG, "", DEADLINE_MS, &gang);
	CU_ASSERT_TRUE(world_until(entry, gang.id, "running"));
	fakestore_set_fault(world.fake, "{\"down\":true}");
	world_submit(entry, SMALL, "refused", 300, &refused);
	CU_ASSERT_EQUAL(refused.status, -ERR_UNAVAILABLE);
	CU_ASSERT_EQUAL(world_running(&world), 3);
	world.behaviour = AGENT_DONE;
	world_finish(&world, MSG_MEMBER_DONE);
	loop_for(world.ev, 300);
	fakestore_set_fault(world.fake, "{\"down\":false}");
	world_wait(entry, gang.id, &reply);
	CU_ASSERT_STRING_EQUAL(reply.state, "done");
	world_submit(entry, SMALL, "", DEADLINE_MS, &reply);
	CU_ASSERT_EQUAL(reply.status, 0);
	world_wait(entry, reply.id, &reply);
	CU_ASSERT_STRING_EQUAL(reply.state, "done");
	world_query(entry, "list", "", &reply);
	CU_ASSERT_EQUAL(reply.jobs, 2);
	world_close(&world);
}

#define LEASE_MS 3000 /* of the placement leader */

/* Stops the whole process for longer than the leader's lease. */
static void stall(void)
{
	usleep((LEASE_MS + 200) * 1000);
}

/* Guards against a leader that stops gangs, after its lease has ended, since it hears nothing. */
static void test_stalled_leader(void)
{
	struct job_world world;
	struct test_entry *entry;
	struct job_reply gang;
	struct job_reply waiting;
	struct job_reply reply;

	world_open(&world);
	entry = world_entry(&world, 0);
	world_submit(entry, GANG, "", DEADLINE_MS, &gang);
	CU_ASSERT_TRUE(world_until(entry, gang.id, "running"));
	stall();
	member_tick(entry->members, util_clock_ms() + MEMBER_REMOVE_MS + 1);
	loop_for(world.ev, 1500);
	CU_ASSERT_EQUAL(world_running(&world), 3);
	world_submit(entry, GANG, "", DEADLINE_MS, &waiting);
	loop_for(world.ev, 500);
	CU_ASSERT_EQUAL(world.holds, 3);
	world.behaviour = AGENT_DONE;
	world_finish(&world, MSG_MEMBER_DONE);
	world_wait(entry, gang.id, &reply);
	CU_ASSERT_STRING_EQUAL(reply.state, "done");
	CU_ASSERT_EQUAL(reply.attempt, 1);
	world_wait(entry, waiting.id, &reply);
	CU_ASSERT_EQUAL(reply.attempt, 1);
	CU_ASSERT_EQUAL(world.started_members, 6);
	world_close(&world);
}

/* Guards against a start that a leader decides after its lease has ended. */
static void test_start_after_stall(void)
{
	struct job_world world;
	struct test_entry *entry;
	struct job_reply gang;
	struct job_reply waiting;
	struct job_reply reply;

	world_open(&world);
	entry = world_entry(&world, 0);
	world_submit(entry, GANG, "", DEADLINE_MS, &gang);
	CU_ASSERT_TRUE(world_until(entry, gang.id, "running"));
	world_submit(entry, GANG, "", DEADLINE_MS, &waiting);
	CU_ASSERT_TRUE(world_until(entry, waiting.id, "waiting"));
	world_finish(&world, MSG_MEMBER_DONE);
	fakestore_pause(world.fake, true);
	stall();
	world.behaviour = AGENT_DONE;
	loop_for(world.ev, 1000);
	CU_ASSERT_EQUAL(world.holds, 3);
	fakestore_pause(world.fake, false);
	world_wait(entry, waiting.id, &reply);
	CU_ASSERT_STRING_EQUAL(reply.state, "done");
	CU_ASSERT_EQUAL(world.started_members, 6);
	world_close(&world);
}

struct segment {
	int done;
	char *key;
	char *value;
};

static void on_segment(int status, const struct store_result *result, void *ctx)
{
	struct segment *segment = ctx;

	segment->done = 1;
	CU_ASSERT_EQUAL_FATAL(result ? result->count : 0, 1);
	segment->key = strdup(result->kvs[0].key);
	segment->value = strndup(result->kvs[0].value, result->kvs[0].value_len);
}

static void on_moved(int status, const struct store_result *result, void *ctx)
{
	CU_ASSERT_EQUAL(status, 0);
	*(int *)ctx = 1;
}

/* Merges the only segment into the shard of its job, as a placement leader does. */
static void merge_segment(struct job_world *world, struct store *store, const char *job)
{
	struct segment segment = {0};
	char shard[16];
	int moved = 0;

	store_range(store, "submit/", 0, (struct store_cb){on_segment, &segment});
	CU_ASSERT_TRUE_FATAL(loop_until(world->ev, &segment.done));
	snprintf(shard, sizeof(shard), "jobs/%02u", job_shard(job));
	store_txn(store, NULL, 0,
		  (struct store_op[]){{.kind = STORE_PUT,
				       .key = shard,
				       .value = segment.value,
				       .value_len = strlen(segment.value)},
				      {.kind = STORE_DELETE, .key = segment.key}},
		  2, (struct store_cb){on_moved, &moved});
	CU_ASSERT_TRUE(loop_until(world->ev, &moved));
	free(segment.key);
	free(segment.value);
}

/* Lets another process, which does not answer, be the placement leader. */
static void elect_silent_leader(struct job_world *world, struct store *store)
{
	static const char record[] =
		"{\"node\":\"ghost#1\",\"address\":\"127.0.0.1:9\",\"epoch\":7}";
	int done = 0;

	store_txn(store, NULL, 0,
		  (struct store_op[]){{.kind = STORE_PUT,
				       .key = "duty/placement/r",
				       .value = record,
				       .value_len = strlen(record)},
				      {.kind = STORE_PUT,
				       .key = "duty-epoch/placement/r",
				       .value = "7",
				       .value_len = 1}},
		  2, (struct store_cb){on_moved, &done});
	CU_ASSERT_TRUE(loop_until(world->ev, &done));
}

/* Guards against "no such job" for a job that is merged while the store is read. */
static void test_merge_during_query(void)
{
	struct job_world world;
	struct test_entry *entry;
	struct store *store;
	struct job_reply submitted;
	struct job_reply reply;
	int64_t reads;

	world_open(&world);
	store = fakestore_client(world.mem, world.fake, 0);
	elect_silent_leader(&world, store);
	entry = world_entry(&world, 0);
	world_submit(entry, SMALL, "", DEADLINE_MS, &submitted);
	CU_ASSERT_EQUAL(submitted.status, 0);
	fakestore_set_fault(world.fake, "{\"slow_ms\":1000}");
	reads = fakestore_stat(world.fake, "reads");
	reply = (struct job_reply){0};
	jobs_query(entry->jobs, "get", submitted.id, "", world_reply(&reply));
	while (fakestore_stat(world.fake, "reads") < reads + 2 && !reply.done)
		loop_for(world.ev, 20);
	fakestore_set_fault(world.fake, "{\"slow_ms\":0}");
	merge_segment(&world, store, submitted.id);
	CU_ASSERT_TRUE(loop_until(world.ev, &reply.done));
	CU_ASSERT_EQUAL(reply.status, 0);
	CU_ASSERT_STRING_EQUAL(reply.id, submitted.id);
	world_close(&world);
}

/* Ends the leadership that elect_silent_leader() has given to another process. */
static void end_silent_leader(struct job_world *world, struct store *store)
{
	int done = 0;

	store_txn(store, NULL, 0,
		  (struct store_op[]){{.kind = STORE_DELETE, .key = "duty/placement/r"}}, 1,
		  (struct store_cb){on_moved, &done});
	CU_ASSERT_TRUE(loop_until(world->ev, &done));
}

/* Waits until @entry is the placement leader and has loaded the jobs; false after 30 s. */
static bool until_leader_loaded(struct test_entry *entry)
{
	uint64_t end_ms = util_clock_ms() + LOOP_TIMEOUT_MS;

	while (util_clock_ms() < end_ms) {
		if (entry->jobs->leader && entry->jobs->leader->loaded)
			return true;
		loop_for(entry->world->ev, 10);
	}
	return false;
}

/*
 * Guards against "no such job" from a leader that has not read the submissions yet, because the
 * store is slow. A query that waits for the job's end would end with that answer.
 */
static void test_query_before_merge(void)
{
	struct job_world world;
	struct test_entry *entry;
	struct store *store;
	struct job_reply submitted;
	struct job_reply reply;

	world_open(&world);
	world.behaviour = AGENT_DONE;
	store = fakestore_client(world.mem, world.fake, 0);
	elect_silent_leader(&world, store);
	entry = world_entry(&world, 0);
	world_submit(entry, SMALL, "", DEADLINE_MS, &submitted);
	CU_ASSERT_EQUAL(submitted.status, 0);
	fakestore_set_fault(world.fake, "{\"slow_ms\":700}");
	end_silent_leader(&world, store);
	CU_ASSERT_TRUE_FATAL(until_leader_loaded(entry));
	world_wait(entry, submitted.id, &reply);
	CU_ASSERT_EQUAL(reply.status, 0);
	CU_ASSERT_STRING_EQUAL(reply.state, "done");
	CU_ASSERT_EQUAL(reply.attempt, 1);
	world_close(&world);
}

/* Waits until @entry knows @count workers; false after 30 s. */
static bool until_workers(struct test_entry *entry, size_t count)
{
	uint64_t end_ms = util_clock_ms() + LOOP_TIMEOUT_MS;

	while (util_clock_ms() < end_ms) {
		TALLOC_CTX *mem = talloc_new(NULL);
		struct member_target *targets;
		size_t known = member_targets(entry->members, mem, MSG_TARGET_WORKER, &targets);

		talloc_free(mem);
		if (known == count)
			return true;
		loop_for(entry->world->ev, 10);
	}
	return false;
}

/*
 * Guards against "never fits" from an entry host that has just started and to which not all workers
 * have announced themselves; and against accepting such a job later, when they have had the time.
 */
static void test_submission_before_workers(void)
{
	struct job_world world;
	struct test_entry *entry;
	struct job_reply submitted;
	struct job_reply reply;

	world_open(&world);
	world.behaviour = AGENT_DONE;
	for (int i = 1; i < WORLD_AGENTS; i++)
		world.agents[i].silent = true;
	entry = world_entry(&world, 0);
	CU_ASSERT_TRUE_FATAL(until_workers(entry, 1));
	world_submit(entry, GANG, "", DEADLINE_MS, &submitted);
	CU_ASSERT_EQUAL(submitted.status, 0);
	entry->jobs->created_ms -= MEMBER_REMOVE_MS;
	world_submit(entry, GANG, "", DEADLINE_MS, &reply);
	CU_ASSERT_EQUAL(reply.status, -ERR_NEVER_FITS);
	for (int i = 1; i < WORLD_AGENTS; i++)
		world.agents[i].silent = false;
	world_wait(entry, submitted.id, &reply);
	CU_ASSERT_STRING_EQUAL(reply.state, "done");
	CU_ASSERT_EQUAL(world.started_members, 3);
	world_close(&world);
}

struct failure_case {
	const char *body;
	enum agent_behaviour behaviour;
	const char *state;
	const char *reason;
	json_int_t attempt;
};

static const struct failure_case failure_cases[] = {
	{GANG, AGENT_BREAKS, "done", "", 2},
	{GANG_ONCE, AGENT_BREAKS, "failed", "outcome unknown", 1},
	{GANG_ONCE, AGENT_DONE, "done", "", 1},
	{GANG, AGENT_FAILS, "failed", "the task failed", 1},
};

/* Guards against starting a job again whose class isn't idempotent. */
static void test_failed_attempts(void)
{
	for (size_t i = 0; i < sizeof(failure_cases) / sizeof(failure_cases[0]); i++) {
		struct job_world world;
		struct test_entry *entry;
		struct job_reply reply;

		world_open(&world);
		entry = world_entry(&world, 0);
		world.behaviour = failure_cases[i].behaviour;
		world_submit(entry, failure_cases[i].body, "", DEADLINE_MS, &reply);
		CU_ASSERT_EQUAL(reply.status, 0);
		world_wait(entry, reply.id, &reply);
		CU_ASSERT_STRING_EQUAL(reply.state, failure_cases[i].state);
		CU_ASSERT_EQUAL(reply.attempt, failure_cases[i].attempt);
		if (failure_cases[i].reason[0])
			CU_ASSERT_TRUE(!strcmp(reply.reason, failure_cases[i].reason) ||
				       !reply.reason[0]);
		world_close(&world);
	}
}

/* Guards against cancelled jobs that go on running, and against cancellations that get lost. */
static void test_cancel(void)
{
	struct job_world world;
	struct test_entry *entry;
	struct job_reply gang;
	struct job_reply waiting;
	struct job_reply reply;

	world_open(&world);
	entry = world_entry(&world, 0);
	world_submit(entry, GANG_ONCE, "", DEADLINE_MS, &gang);
	CU_ASSERT_TRUE(world_until(entry, gang.id, "running"));
	world_submit(entry, GANG, "", DEADLINE_MS, &waiting);
	world_query(entry, "cancel", waiting.id, &reply);
	CU_ASSERT_EQUAL(reply.status, 0);
	CU_ASSERT_STRING_EQUAL(reply.state, "cancelled");
	world_query(entry, "cancel", gang.id, &reply);
	CU_ASSERT_EQUAL(reply.status, 0);
	world_wait(entry, gang.id, &reply);
	CU_ASSERT_STRING_EQUAL(reply.state, "cancelled");
	CU_ASSERT_EQUAL(world_running(&world), 0);
	CU_ASSERT_EQUAL(world.started_members, 2);
	world_query(entry, "explain", gang.id, &reply);
	CU_ASSERT_EQUAL(reply.status, 0);
	world_close(&world);
}

/* Guards against more jobs of an organisation than its quota, also via another entry host. */
static void test_quota(void)
{
	static const char body[] = "{\"class\":\"again\",\"accelerators\":1,\"payload\":\"fig\"}";
	struct job_world world;
	struct test_entry *entry_a;
	struct test_entry *entry_b;
	struct job_reply first;
	struct job_reply reply;

	world_open(&world);
	entry_a = world_entry(&world, 0);
	entry_b = world_entry(&world, 1);
	world_submit(entry_a, body, "", DEADLINE_MS, &first);
	CU_ASSERT_EQUAL(first.status, 0);
	CU_ASSERT_TRUE(world_until(entry_a, first.id, "running"));
	world_submit(entry_b, body, "", DEADLINE_MS, &reply);
	CU_ASSERT_EQUAL(reply.status, -ERR_OVER_QUOTA);
	world_finish(&world, MSG_MEMBER_DONE);
	world_wait(entry_a, first.id, &reply);
	world_submit(entry_b, body, "", DEADLINE_MS, &reply);
	CU_ASSERT_EQUAL(reply.status, 0);
	world_close(&world);
}

/* Guards against an urgent job that isn't done within 4.1 s, submitted via another entry host. */
static void test_urgent(void)
{
	struct job_world world;
	struct test_entry *entry_a;
	struct test_entry *entry_b;
	struct job_reply reply;
	uint64_t start_ms;

	world_open(&world);
	entry_a = world_entry(&world, 0);
	entry_b = world_entry(&world, 1);
	world.behaviour = AGENT_DONE;
	world_submit(entry_a, SMALL, "", DEADLINE_MS, &reply);
	world_wait(entry_a, reply.id, &reply);
	start_ms = util_clock_ms();
	world_submit(entry_b, "{\"class\":\"quick\",\"accelerators\":1}", "", DEADLINE_MS, &reply);
	world_wait(entry_b, reply.id, &reply);
	CU_ASSERT_STRING_EQUAL(reply.state, "done");
	CU_ASSERT_TRUE(util_clock_ms() - start_ms < 4100);
	world_close(&world);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("jobs", NULL, NULL);
	CU_add_test(suite, "to the end", test_run_to_end);
	CU_add_test(suite, "takeover", test_leader_takeover);
	CU_add_test(suite, "all replaced", test_all_entries_replaced);
	CU_add_test(suite, "lost answers", test_lost_answers);
	CU_add_test(suite, "outage", test_outage);
	CU_add_test(suite, "stalled leader", test_stalled_leader);
	CU_add_test(suite, "start after stall", test_start_after_stall);
	CU_add_test(suite, "merge during query", test_merge_during_query);
	CU_add_test(suite, "query before merge", test_query_before_merge);
	CU_add_test(suite, "submission before workers", test_submission_before_workers);
	CU_add_test(suite, "broken", test_failed_attempts);
	CU_add_test(suite, "cancel", test_cancel);
	CU_add_test(suite, "quota", test_quota);
	CU_add_test(suite, "urgent", test_urgent);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
