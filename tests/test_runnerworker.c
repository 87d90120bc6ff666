#include "lib_runnerworld.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

/* What the agent concludes about its worker, and on which evidence. */

#define BORN_MS 7000
#define STEP_MS 10

static struct runnerworld *create_world(void)
{
	struct runnerworld *f = runnerworld_create();

	f->born_ms = BORN_MS;
	CU_ASSERT_EQUAL(runnerworld_announce(f, BORN_MS, 5), 0);
	memkv_run(f->ev, 300);
	return f;
}

static void start_run(struct runnerworld *f)
{
	f->orders[f->order_count++] = (struct plan_order){.start = true,
							  .task = "j.0.0.0",
							  .run = 1,
							  .payload = "p",
							  .checkpoint = "",
							  .ticket = ""};
	for (int i = 0; i < 100 && f->report->running_count == 0; i++)
		memkv_run(f->ev, STEP_MS);
	CU_ASSERT_EQUAL(f->report->running_count, 1);
}

/* True if all reports in this time say that worker w1 is alive in its first incarnation. */
static bool is_kept(struct runnerworld *f, uint32_t ms)
{
	bool kept = true;

	for (uint32_t passed = 0; passed < ms; passed += STEP_MS) {
		memkv_run(f->ev, STEP_MS);
		kept = kept && f->report->alive && !strcmp(f->report->info.incarnation, "w1/7000");
	}
	return kept;
}

/* Guards against a live worker whose runs are given up because of one announcement of another. */
static void test_announcements_of_others(void)
{
	static const struct {
		const char *what;
		const char *id;
		uint64_t born_ms;
		uint64_t sequence;
	} cases[] = {
		{"another id", "w9", BORN_MS, 6},
		{"another id, later start", "w9", BORN_MS + 5000, 1},
		{"another id, earlier start", "w9", BORN_MS - 5000, 6},
		{"another id, no start", "w9", 0, 6},
		{"own id, later start", "w1", BORN_MS + 7, 6},
		{"own id, much later start", "w1", BORN_MS + 500000, 1},
		{"own id, earlier start", "w1", BORN_MS - 7, 6},
		{"own id, no start", "w1", 0, 6},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct runnerworld *f = create_world();
		struct runner_announcement other =
			runnerworld_announcement(f, cases[i].born_ms, cases[i].sequence);
		bool kept;

		other.id = cases[i].id;
		start_run(f);
		CU_ASSERT_NOT_EQUAL(runnerworld_take(f, &other), 0);
		kept = is_kept(f, 700);
		CU_ASSERT_TRUE(kept);
		if (!kept)
			printf("\ngiven up: %s", cases[i].what);
		CU_ASSERT_EQUAL(f->report->running_count, 1);
		CU_ASSERT_EQUAL(f->starts, 1);
		CU_ASSERT_EQUAL(f->stops, 0);
		runnerworld_destroy(f);
	}
}

/* Guards against a worker that is given up because of one wrong answer. */
static void test_one_misdirected_answer(void)
{
	struct runnerworld *f = create_world();

	start_run(f);
	f->misdirected = 1;
	CU_ASSERT_TRUE(is_kept(f, 1500));
	CU_ASSERT_EQUAL(f->misdirected, 0);
	CU_ASSERT_EQUAL(f->report->running_count, 1);
	runnerworld_destroy(f);
}

/* Guards against a worker that was replaced at its address and is taken for alive. */
static void test_replaced_worker(void)
{
	struct runnerworld *f = create_world();
	struct runner_announcement next = runnerworld_announcement(f, BORN_MS + 900, 1);

	start_run(f);
	f->worker_id = "w2";
	f->born_ms = BORN_MS + 900;
	f->running_count = 0;
	for (int i = 0; i < 100 && f->report->alive; i++)
		memkv_run(f->ev, STEP_MS);
	CU_ASSERT_FALSE(f->report->alive);
	next.id = "w2";
	CU_ASSERT_EQUAL(runnerworld_take(f, &next), 0);
	memkv_run(f->ev, 200);
	CU_ASSERT_TRUE(f->report->alive);
	CU_ASSERT_STRING_EQUAL(f->report->info.incarnation, "w2/7900");
	runnerworld_destroy(f);
}

/* Guards against a worker that has been replaced and is not used, as its agent did not notice. */
static void test_announcement_of_replacement(void)
{
	struct runnerworld *f = create_world();
	struct runner_announcement next = runnerworld_announcement(f, BORN_MS + 900, 1);

	start_run(f);
	f->worker_id = "w2";
	f->born_ms = BORN_MS + 900;
	f->running_count = 0;
	next.id = "w2";
	CU_ASSERT_EQUAL(runnerworld_take(f, &next), 0);
	memkv_run(f->ev, 200);
	CU_ASSERT_STRING_EQUAL(f->report->info.incarnation, "w2/7900");
	CU_ASSERT_TRUE(f->report->settled);
	runnerworld_destroy(f);
}

/* Guards against a worker that has ended and is called alive for a late announcement of it. */
static void test_late_announcement_of_ended_worker(void)
{
	struct runnerworld *f = create_world();

	f->worker_up = false;
	for (int i = 0; i < 100 && f->report->alive; i++)
		memkv_run(f->ev, STEP_MS);
	CU_ASSERT_FALSE(f->report->alive);
	CU_ASSERT_NOT_EQUAL(runnerworld_announce(f, BORN_MS, 6), 0);
	for (int i = 0; i < 50; i++) {
		memkv_run(f->ev, STEP_MS);
		CU_ASSERT_FALSE(f->report->alive);
	}
	runnerworld_destroy(f);
}

int main(void)
{
	CU_pSuite suite;

	CU_initialize_registry();
	suite = CU_add_suite("runnerworker", NULL, NULL);
	CU_add_test(suite, "announcements_of_others", test_announcements_of_others);
	CU_add_test(suite, "one_misdirected_answer", test_one_misdirected_answer);
	CU_add_test(suite, "replaced_worker", test_replaced_worker);
	CU_add_test(suite, "announcement_of_replacement", test_announcement_of_replacement);
	CU_add_test(suite, "late_announcement_of_ended_worker",
		    test_late_announcement_of_ended_worker);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	return CU_get_number_of_failures() ? 1 : 0;
}
