#include "lib_runnerworld.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

/* What the agent concludes about its worker, and on which evidence. */

#define BORN_MS 7000
#define STEP_MS 10

/* @listed_ms: start time in the worker's lists; 0: none */
static struct runnerworld *create_listing_world(uint64_t announced_ms, uint64_t listed_ms)
{
	struct runnerworld *f = runnerworld_create();

	f->born_ms = listed_ms;
	CU_ASSERT_EQUAL(runnerworld_announce(f, announced_ms, 5), 0);
	memkv_run(f->ev, 300);
	return f;
}

static struct runnerworld *create_world(void)
{
	return create_listing_world(BORN_MS, BORN_MS);
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

/* True if all reports in this time say that the worker is alive in this incarnation. */
static bool keeps_incarnation(struct runnerworld *f, const char *incarnation, uint32_t ms)
{
	bool kept = true;

	for (uint32_t passed = 0; passed < ms; passed += STEP_MS) {
		memkv_run(f->ev, STEP_MS);
		kept = kept && f->report->alive &&
		       !strcmp(f->report->info.incarnation, incarnation);
	}
	return kept;
}

static bool is_kept(struct runnerworld *f, uint32_t ms)
{
	return keeps_incarnation(f, "w1/7000", ms);
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

/* Guards against runs that are stopped because of one list with another start time. */
static void test_one_list_of_other_start(void)
{
	struct runnerworld *f = create_world();

	start_run(f);
	f->false_starts = 1;
	CU_ASSERT_TRUE(is_kept(f, 1500));
	CU_ASSERT_EQUAL(f->false_starts, 0);
	CU_ASSERT_EQUAL(f->report->running_count, 1);
	CU_ASSERT_EQUAL(f->stops, 0);
	runnerworld_destroy(f);
}

/* Guards against a run on a restarted worker that is given up because of one wrong answer. */
static void test_wrong_answer_after_restart(void)
{
	struct runnerworld *f = create_world();

	start_run(f);
	f->misdirected = 1;
	for (int i = 0; i < 100 && f->misdirected; i++)
		memkv_run(f->ev, 1);
	f->born_ms = BORN_MS + 900;
	for (int i = 0; i < 100; i++) {
		memkv_run(f->ev, STEP_MS);
		CU_ASSERT_TRUE(f->report->alive);
	}
	CU_ASSERT_EQUAL(f->misdirected, 0);
	CU_ASSERT_STRING_EQUAL(f->report->info.incarnation, "w1/7900");
	runnerworld_destroy(f);
}

/* Guards against one wrong answer, or one announcement, that ends a worker without start times. */
static void test_lists_without_start_time(void)
{
	struct runnerworld *f = create_listing_world(0, 0);
	struct runner_announcement other;

	start_run(f);
	f->misdirected = 1;
	CU_ASSERT_TRUE(keeps_incarnation(f, "w1/0", 1500));
	CU_ASSERT_EQUAL(f->misdirected, 0);
	CU_ASSERT_EQUAL(f->report->running_count, 1);
	runnerworld_destroy(f);
	f = create_listing_world(BORN_MS, 0);
	start_run(f);
	other = runnerworld_announcement(f, BORN_MS + 7, 6);
	CU_ASSERT_NOT_EQUAL(runnerworld_take(f, &other), 0);
	CU_ASSERT_TRUE(is_kept(f, 700));
	CU_ASSERT_EQUAL(f->stops, 0);
	runnerworld_destroy(f);
}

/* Guards against a replaced worker without start times that is taken for alive. */
static void test_replaced_worker_without_start_time(void)
{
	struct runnerworld *f = create_listing_world(0, 0);

	start_run(f);
	f->worker_id = "w2";
	f->running_count = 0;
	for (int i = 0; i < 100 && f->report->alive; i++)
		memkv_run(f->ev, STEP_MS);
	CU_ASSERT_FALSE(f->report->alive);
	runnerworld_destroy(f);
}

/* Guards against a drain that is missed, though acknowledged, after a false number. */
static void test_drain_after_false_number(void)
{
	struct runnerworld *f = create_world();

	CU_ASSERT_EQUAL(runnerworld_announce(f, BORN_MS, 4000000000), 0);
	f->draining = true;
	CU_ASSERT_EQUAL(runnerworld_announce(f, BORN_MS, 6), 0);
	memkv_run(f->ev, 300);
	CU_ASSERT_FALSE(f->report->info.accepting);
	runnerworld_destroy(f);
}

/* Guards against a lease by the clock of another incarnation, which outlasts what the leader knows.
 */
static void test_clock_of_other_incarnation(void)
{
	struct runnerworld *f = create_world();
	uint64_t clock_ms = f->clock_ms;

	start_run(f);
	f->start_result = RUNNER_OTHER_INCARNATION;
	f->orders[0].task = "j.0.0.1";
	for (int i = 0; i < 300 && f->starts < 2; i++)
		memkv_run(f->ev, 1);
	f->clock_ms = clock_ms + 100000;
	memkv_run(f->ev, 3);
	f->clock_ms = clock_ms;
	f->start_result = RUNNER_STARTED;
	f->orders[0].task = "j.0.0.2";
	runnerworld_send_orders(f);
	memkv_run(f->ev, 1000);
	CU_ASSERT_TRUE(f->starts >= 3);
	CU_ASSERT_TRUE(f->lease_end_ms <= clock_ms + WORKER_LEASE_MAX_MS);
	runnerworld_destroy(f);
}

/*
 * Guards against a notice that the leader does not hear of, hears of late, or goes on to believe
 * when the worker takes work again.
 */
static void test_notice(void)
{
	struct runnerworld *f = create_world();
	struct runner_announcement leaves;

	CU_ASSERT_FALSE(f->report->info.leaves);
	f->draining = true;
	leaves = runnerworld_announcement(f, BORN_MS, 30);
	leaves.leaves = true;
	leaves.remaining_ms = 2000;
	CU_ASSERT_EQUAL(runnerworld_take(f, &leaves), 0);
	memkv_run(f->ev, 300);
	CU_ASSERT_TRUE(f->report->info.leaves);
	CU_ASSERT(f->report->info.remaining_ms > 1000 && f->report->info.remaining_ms <= 2000);
	/* One that is sent again was written when more time was left. */
	memkv_run(f->ev, 700);
	runnerworld_take(f, &leaves);
	memkv_run(f->ev, 300);
	CU_ASSERT(f->report->info.remaining_ms < 1100);
	/* An announcement that was overtaken may only bring the time forward. */
	leaves.sequence = 20;
	leaves.remaining_ms = 9000;
	runnerworld_take(f, &leaves);
	memkv_run(f->ev, 1200);
	CU_ASSERT(f->report->info.remaining_ms < 1500);
	f->draining = false;
	CU_ASSERT_EQUAL(runnerworld_announce(f, BORN_MS, 40), 0);
	memkv_run(f->ev, 300);
	CU_ASSERT_FALSE(f->report->info.leaves);
	runnerworld_destroy(f);
}

/* Guards against health answers that are not asked for, not reported, or made up. */
static void test_health(void)
{
	struct runnerworld *f = create_world();

	memkv_run(f->ev, 300);
	CU_ASSERT_EQUAL(f->health_calls, 0); /* an earlier leader sends no path */
	f->health_path = "/healthy";
	f->health = RUNNER_HEALTH_BAD;
	memkv_run(f->ev, 2600);
	CU_ASSERT(f->health_calls >= 2 && f->health_calls <= 3);
	CU_ASSERT_EQUAL(f->report->info.health_bad, (uint32_t)f->health_calls);
	CU_ASSERT_EQUAL(f->report->info.health_good, 0);
	f->health = RUNNER_HEALTH_UNKNOWN;
	memkv_run(f->ev, 1200);
	CU_ASSERT(f->report->info.health_bad >= 2 && f->report->info.health_good == 0);
	f->health = RUNNER_HEALTH_GOOD;
	memkv_run(f->ev, 1500);
	CU_ASSERT_EQUAL(f->report->info.health_bad, 0);
	CU_ASSERT(f->report->info.health_good >= 1);
	f->health_path = NULL;
	memkv_run(f->ev, 500);
	CU_ASSERT_EQUAL(f->report->info.health_good, 0);
	runnerworld_destroy(f);
}

/* Guards against an incarnation that comes back because answers overtake each other. */
static void test_announcements_around_restart(void)
{
	struct runnerworld *f = create_world();
	struct runner_announcement first = runnerworld_announcement(f, BORN_MS + 900, 1);
	struct runner_announcement drains = runnerworld_announcement(f, BORN_MS + 900, 2);
	struct runner_announcement late = runnerworld_announcement(f, BORN_MS, 9);

	start_run(f);
	f->list_delay_ms = 30;
	drains.accepting = false;
	runner_announced(f->runner, &drains, NULL, NULL);
	runner_announced(f->runner, &first, NULL, NULL);
	runner_announced(f->runner, &late, NULL, NULL);
	f->born_ms = BORN_MS + 900;
	f->running_count = 0;
	memkv_run(f->ev, 600);
	CU_ASSERT_STRING_EQUAL(f->report->info.incarnation, "w1/7900");
	CU_ASSERT_FALSE(f->report->info.accepting);
	CU_ASSERT_TRUE(f->report->settled);
	CU_ASSERT_EQUAL(f->report->running_count, 0);
	runnerworld_destroy(f);
}

/* Guards against a crash that is found late, or never, as open connections break one by one. */
static void test_refusals_between_broken_connections(void)
{
	struct runnerworld *f = create_world();

	f->breaks_connections = true;
	f->worker_up = false;
	memkv_run(f->ev, 1500);
	CU_ASSERT_FALSE(f->report->alive);
	runnerworld_destroy(f);
}

static void refuse_next_renewal(struct runnerworld *f)
{
	f->refusals = 1;
	for (int i = 0; i < 1000 && (f->refusals || f->lists_open); i++)
		memkv_run(f->ev, 1);
	CU_ASSERT_EQUAL(f->refusals, 0);
}

/* Guards against refused connections that end a worker whose answer to a superseded call came
 * between them.
 */
static void test_answer_to_superseded_renewal(void)
{
	struct runnerworld *f = create_world();

	int lists;

	start_run(f);
	lists = f->lists;
	for (int i = 0; i < 1000 && f->lists == lists; i++)
		memkv_run(f->ev, 1);
	/* The renewal under way is answered after the one that supersedes it is refused. */
	f->refusals = 2;
	f->session++;
	runnerworld_send_orders(f);
	CU_ASSERT_TRUE(is_kept(f, 1000));
	CU_ASSERT_EQUAL(f->refusals, 0);
	CU_ASSERT_EQUAL(f->report->running_count, 1);
	runnerworld_destroy(f);
}

static void check_answer_about_ended_run(enum runner_call_result result)
{
	struct runnerworld *f = create_world();

	f->holds_start = true;
	f->start_result = result;
	f->orders[f->order_count++] = (struct plan_order){.start = true,
							  .task = "j.0.0.0",
							  .run = 1,
							  .payload = "p",
							  .checkpoint = "",
							  .ticket = ""};
	for (int i = 0; i < 100 && !f->held_start; i++)
		memkv_run(f->ev, STEP_MS);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f->held_start);
	f->order_count = 0;
	f->running_count = 0;
	f->ends[f->end_count++] = (struct fleet_run_end){1, {"j.0.0.0", 1, "", 0}, PLAN_END_DONE};
	for (int i = 0; i < 100 && f->report->end_count == 0; i++)
		memkv_run(f->ev, STEP_MS);
	CU_ASSERT_EQUAL(f->report->end_count, 1);
	refuse_next_renewal(f);
	runnerworld_answer_start(f);
	refuse_next_renewal(f);
	CU_ASSERT_TRUE(is_kept(f, 500));
	CU_ASSERT_EQUAL(f->report->end_count, 1);
	runnerworld_destroy(f);
}

/* Guards against the same when the answer came to a start whose run had ended by then. */
static void test_answer_about_ended_run(void)
{
	check_answer_about_ended_run(RUNNER_STARTED);
	check_answer_about_ended_run(RUNNER_REFUSED_NO_ROOM);
	check_answer_about_ended_run(RUNNER_UNKNOWN_OUTCOME);
}

/* Guards against a worker that is not used again after connections to it were refused. */
static void test_found_again(void)
{
	struct runnerworld *f = create_world();

	f->worker_up = false;
	for (int i = 0; i < 100 && f->report->alive; i++)
		memkv_run(f->ev, STEP_MS);
	f->worker_up = true;
	CU_ASSERT_EQUAL(runnerworld_announce(f, BORN_MS, 6), 0);
	memkv_run(f->ev, 300);
	CU_ASSERT_TRUE(f->report->alive);
	CU_ASSERT_TRUE(f->report->settled);
	runnerworld_destroy(f);
}

/* Guards against callbacks of announcements that wait when the agent ends. */
static void test_destroyed_while_asking(void)
{
	struct runnerworld *f = create_world();
	struct runner_announcement other = runnerworld_announcement(f, BORN_MS, 1);

	other.id = "w9";
	f->list_answers_lost = true;
	for (int i = 0; i < 10; i++)
		runner_announced(f->runner, &other, NULL, NULL);
	memkv_run(f->ev, 50);
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

/* Guards against an agent that takes the first announcement it hears for its worker's. */
static void test_first_announcement_of_other(void)
{
	struct runnerworld *f = runnerworld_create();
	struct runner_announcement other = runnerworld_announcement(f, 9000, 1);

	f->born_ms = BORN_MS;
	other.id = "w9";
	CU_ASSERT_EQUAL(runnerworld_take(f, &other), -ERR_STALE);
	memkv_run(f->ev, 300);
	CU_ASSERT_STRING_EQUAL(f->report->info.id, "");
	CU_ASSERT_EQUAL(runnerworld_announce(f, BORN_MS, 1), 0);
	memkv_run(f->ev, 200);
	CU_ASSERT_TRUE(f->report->settled);
	CU_ASSERT_STRING_EQUAL(f->report->info.incarnation, "w1/7000");
	runnerworld_destroy(f);
}

/* Guards against a worker that stays unused because a call was lost after its announcement. */
static void test_enquiry_is_repeated(void)
{
	struct runnerworld *f = runnerworld_create();
	struct runner_announcement announcement;

	f->born_ms = BORN_MS;
	f->list_answers_lost = true;
	announcement = runnerworld_announcement(f, BORN_MS, 1);
	runner_announced(f->runner, &announcement, NULL, NULL);
	memkv_run(f->ev, 600);
	CU_ASSERT_STRING_EQUAL(f->report->info.id, "");
	f->list_answers_lost = false;
	memkv_run(f->ev, 400);
	CU_ASSERT_STRING_EQUAL(f->report->info.incarnation, "w1/7000");
	CU_ASSERT_TRUE(f->report->settled);
	runnerworld_destroy(f);
}

/* Guards against a worker flooded with calls, and a replacement unnoticed, behind wrong ones. */
static void test_many_announcements_of_others(void)
{
	struct runnerworld *f = create_world();
	struct runner_announcement other = runnerworld_announcement(f, BORN_MS + 1, 1);
	struct runner_announcement next = runnerworld_announcement(f, BORN_MS + 900, 1);

	start_run(f);
	f->list_delay_ms = 20;
	other.id = "w9";
	for (int i = 0; i < 200; i++)
		runner_announced(f->runner, &other, NULL, NULL);
	CU_ASSERT_TRUE(is_kept(f, 300));
	CU_ASSERT_TRUE(f->lists_open_max <= 10);
	f->worker_id = "w2";
	f->born_ms = BORN_MS + 900;
	next.id = "w2";
	CU_ASSERT_EQUAL(runnerworld_take(f, &next), 0);
	memkv_run(f->ev, 200);
	CU_ASSERT_STRING_EQUAL(f->report->info.incarnation, "w2/7900");
	runnerworld_destroy(f);
}

/* Guards against a platform whose workers give no start time and are never used. */
static void test_worker_without_start_time(void)
{
	struct runnerworld *f = runnerworld_create();

	f->born_ms = 0;
	CU_ASSERT_EQUAL(runnerworld_announce(f, 0, 1), 0);
	memkv_run(f->ev, 300);
	CU_ASSERT_TRUE(f->report->settled);
	CU_ASSERT_STRING_EQUAL(f->report->info.incarnation, "w1/0");
	CU_ASSERT_EQUAL(runnerworld_announce(f, 0, 2), 0);
	runnerworld_destroy(f);
}

/* Guards against a deregistration of another worker, or a wrong one, that bars a worker for good.
 */
static void test_leaving(void)
{
	struct runnerworld *f = create_world();

	start_run(f);
	runner_leaving(f->runner, "w9");
	memkv_run(f->ev, 100);
	CU_ASSERT_TRUE(f->report->info.accepting);
	runner_leaving(f->runner, "w1");
	CU_ASSERT_TRUE(is_kept(f, 300));
	CU_ASSERT_FALSE(f->report->info.accepting);
	CU_ASSERT_EQUAL(f->report->running_count, 1);
	CU_ASSERT_FALSE(runner_may_stop(f->runner));
	CU_ASSERT_EQUAL(runnerworld_announce(f, BORN_MS, 6), 0);
	memkv_run(f->ev, 100);
	CU_ASSERT_TRUE(f->report->info.accepting);
	CU_ASSERT_TRUE(runner_may_stop(f->runner));
	runnerworld_destroy(f);
}

int main(void)
{
	CU_pSuite suite;

	CU_initialize_registry();
	suite = CU_add_suite("runnerworker", NULL, NULL);
	CU_add_test(suite, "announcements_of_others", test_announcements_of_others);
	CU_add_test(suite, "one_misdirected_answer", test_one_misdirected_answer);
	CU_add_test(suite, "one_list_of_other_start", test_one_list_of_other_start);
	CU_add_test(suite, "wrong_answer_after_restart", test_wrong_answer_after_restart);
	CU_add_test(suite, "lists_without_start_time", test_lists_without_start_time);
	CU_add_test(suite, "replaced_worker_without_start_time",
		    test_replaced_worker_without_start_time);
	CU_add_test(suite, "drain_after_false_number", test_drain_after_false_number);
	CU_add_test(suite, "clock_of_other_incarnation", test_clock_of_other_incarnation);
	CU_add_test(suite, "notice", test_notice);
	CU_add_test(suite, "health", test_health);
	CU_add_test(suite, "announcements_around_restart", test_announcements_around_restart);
	CU_add_test(suite, "refusals_between_broken_connections",
		    test_refusals_between_broken_connections);
	CU_add_test(suite, "answer_to_superseded_renewal", test_answer_to_superseded_renewal);
	CU_add_test(suite, "answer_about_ended_run", test_answer_about_ended_run);
	CU_add_test(suite, "found_again", test_found_again);
	CU_add_test(suite, "destroyed_while_asking", test_destroyed_while_asking);
	CU_add_test(suite, "replaced_worker", test_replaced_worker);
	CU_add_test(suite, "announcement_of_replacement", test_announcement_of_replacement);
	CU_add_test(suite, "late_announcement_of_ended_worker",
		    test_late_announcement_of_ended_worker);
	CU_add_test(suite, "first_announcement_of_other", test_first_announcement_of_other);
	CU_add_test(suite, "enquiry_is_repeated", test_enquiry_is_repeated);
	CU_add_test(suite, "many_announcements_of_others", test_many_announcements_of_others);
	CU_add_test(suite, "worker_without_start_time", test_worker_without_start_time);
	CU_add_test(suite, "leaving", test_leaving);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	return CU_get_number_of_failures() ? 1 : 0;
}
