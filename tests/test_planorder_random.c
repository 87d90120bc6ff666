#include "plan_int.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>

/*
 * Properties of the order of waiting steps, in random worlds of jobs with one step. The oracle
 * knows the objective only: 3 x the estimate + 1 s.
 */

#define SEEDS 500
#define STEPS 40
#define STRETCH 3
#define ALLOWANCE_MS 1000
#define NOW_MS 1000000

struct world {
	struct fleetconf_queue queues[3];
	struct jobspec_step specs[STEPS];
	struct jobspec jobspecs[STEPS];
	struct job jobs[STEPS];
	struct occurrence occurrences[STEPS];
	struct step_run steps[STEPS];
	struct task tasks[STEPS];
	struct step_rank ranks[STEPS];
};

static uint64_t objective_ms(const struct step_run *step)
{
	return STRETCH * (uint64_t)step->spec->estimate_ms + ALLOWANCE_MS;
}

static uint64_t age_ms(const struct step_run *step)
{
	return NOW_MS - step->occurrence->due_ms;
}

static void make_step(struct world *world, int i)
{
	world->specs[i] = (struct jobspec_step){.count = 1,
						.cpu_milli = 1000 * (1 + rand() % 64),
						.estimate_ms = 100 + rand() % 10000,
						.long_running = rand() % 20 == 0,
						.label = "",
						.data_rack = ""};
	world->jobspecs[i] = (struct jobspec){.steps = &world->specs[i], .step_count = 1};
	world->jobs[i] = (struct job){.spec = &world->jobspecs[i],
				      .queue = &world->queues[rand() % 3],
				      .guaranteed = rand() % 10 == 0};
	world->occurrences[i] = (struct occurrence){.job = &world->jobs[i],
						    .steps = &world->steps[i],
						    .due_ms = NOW_MS - rand() % 200000};
	world->steps[i] = (struct step_run){.occurrence = &world->occurrences[i],
					    .spec = &world->specs[i],
					    .tasks = &world->tasks[i],
					    .waiting = 1,
					    .ready_ms = world->occurrences[i].due_ms};
	world->tasks[i] = (struct task){.step = &world->steps[i]};
	snprintf(world->tasks[i].name, TASK_NAME_MAX, "%d.0.0.0", i);
}

static struct world *make_world(unsigned int seed)
{
	struct world *world = talloc_zero(NULL, struct world);
	struct plan plan = {0};

	srand(seed);
	for (uint32_t i = 0; i < 3; i++)
		world->queues[i] = (struct fleetconf_queue){
			.priority = i, .stretch = STRETCH, .allowance_ms = ALLOWANCE_MS};
	for (int i = 0; i < STEPS; i++) {
		make_step(world, i);
		plan_rank_step(&plan, &world->steps[i], NOW_MS, &world->ranks[i]);
	}
	return world;
}

/* What the order promises of a step that ranks before another; NULL: nothing is broken. */
static const char *find_fault(const struct step_run *first, const struct step_run *second)
{
	const struct job *winner = first->occurrence->job;
	const struct job *loser = second->occurrence->job;
	bool winner_on_time = age_ms(first) + first->spec->estimate_ms <= objective_ms(first);
	bool loser_on_time = age_ms(second) + second->spec->estimate_ms <= objective_ms(second);
	bool winner_aged = (double)age_ms(first) >= plan_wait_bound_ms(winner);
	bool loser_aged = (double)age_ms(second) >= plan_wait_bound_ms(loser);

	if (winner->guaranteed)
		return NULL;
	if (loser->guaranteed)
		return "a step ranks before a guaranteed one";
	if (first->spec->long_running)
		return NULL;
	if (second->spec->long_running)
		return "a step ranks before a long-running one";
	if (loser->queue->priority == 0 && loser_on_time && winner->queue->priority > 0)
		return "a lower priority ranks before priority 0 that can be on time";
	if (loser_on_time && !winner_on_time && !winner_aged)
		return "a late step ranks before one that can be on time";
	if (loser_aged && winner->queue->priority >= loser->queue->priority &&
	    first->occurrence->due_ms + objective_ms(first) >
		    second->occurrence->due_ms + objective_ms(second))
		return "a step that has waited for the bound is behind a later one";
	if (age_ms(second) <= 3 * objective_ms(second) && age_ms(first) > 3 * objective_ms(first) &&
	    !winner_aged)
		return "a worthless step ranks before one that is worth something";
	return NULL;
}

/* Guards against an order that breaks a promise of planorder.c, or is no order at all. */
static void test_order(void)
{
	for (unsigned int seed = 1; seed <= SEEDS; seed++) {
		struct world *world = make_world(seed);
		const char *fault = NULL;

		for (int i = 0; i < STEPS && !fault; i++) {
			for (int k = 0; k < STEPS && !fault; k++) {
				int order = plan_compare_ranks(&world->ranks[i], &world->ranks[k]);

				if ((order == 0) != (i == k) ||
				    (order < 0) == (plan_compare_ranks(&world->ranks[k],
								       &world->ranks[i]) < 0 ||
						    i == k))
					fault = "the order contradicts itself";
				else if (order < 0)
					fault = find_fault(&world->steps[i], &world->steps[k]);
			}
		}
		if (fault)
			printf("\nseed %u: %s\n", seed, fault);
		CU_ASSERT_PTR_NULL(fault);
		talloc_free(world);
	}
}

/* Guards against evictions for a step that others precede to the room that it makes. */
static void test_evicting_steps_come_first(void)
{
	for (unsigned int seed = 1; seed <= SEEDS; seed++) {
		struct world *world = make_world(seed);

		for (int i = 0; i < STEPS; i++) {
			const struct step_rank *rank = &world->ranks[i];

			for (int k = 0; k < STEPS && plan_may_evict(rank); k++) {
				const struct job *other = world->steps[k].occurrence->job;

				if (!other->guaranteed && !world->specs[k].long_running &&
				    other->queue->priority > rank->priority)
					CU_ASSERT_TRUE(plan_compare_ranks(rank, &world->ranks[k]) <
						       0);
			}
		}
		talloc_free(world);
	}
}

int main(void)
{
	CU_pSuite suite;

	if (CU_initialize_registry() != CUE_SUCCESS)
		return CU_get_error();
	suite = CU_add_suite("planorder_random", NULL, NULL);
	CU_add_test(suite, "order", test_order);
	CU_add_test(suite, "evicting_steps_come_first", test_evicting_steps_come_first);
	CU_basic_run_tests();
	return CU_get_number_of_failures() > 0;
}
