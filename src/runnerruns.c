#include "runner_int.h"

#include "fleetlimits.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <string.h>

/*
 * A start call without an answer is repeated: the worker answers "started" if the first call
 * reached it. After this many attempts the run is stopped instead, and the leader places the task
 * anew.
 */
#define START_ATTEMPTS 2
#define STOP_RETRY_MS 100

static char *make_run_key(TALLOC_CTX *mem, const char *task, uint32_t run)
{
	return talloc_asprintf(mem, "%s/%" PRIu32, task, run);
}

struct run_row *runner_find_row(const struct runner *runner, const char *task, uint32_t run)
{
	char *key = make_run_key(NULL, task, run);
	struct run_row *row = g_hash_table_lookup(runner->runs, key);

	talloc_free(key);
	return row;
}

static struct run_row *add_row(struct runner *runner, const char *task, uint32_t run)
{
	struct run_row *row = talloc_zero(runner, struct run_row);

	row->runner = runner;
	row->task = talloc_strdup(row, task);
	row->run = run;
	row->key = make_run_key(row, task, run);
	row->saved_checkpoint = talloc_strdup(row, "");
	row->generation = runner->generation;
	row->term = runner->term;
	g_hash_table_insert(runner->runs, row->key, row);
	return row;
}

static void drop_row(struct runner *runner, struct run_row *row)
{
	g_hash_table_remove(runner->runs, row->key);
	/* A pending call still refers to the row; finish_call() frees it. */
	if (row->call_pending)
		row->generation = 0;
	else
		talloc_free(row);
}

/* True if a call to start the run was made and its outcome is not known. */
static bool may_begin(const struct run_row *row)
{
	return !row->confirmed && (row->attempts > 0 || row->maybe_begun) &&
	       (row->state == RUN_ORDERED || row->state == RUN_STOPPING);
}

void runner_reset_incarnation(struct runner *runner, bool same_id)
{
	GList *rows = g_hash_table_get_values(runner->runs);

	runner->generation++;
	for (GList *at = rows; at; at = at->next) {
		struct run_row *row = at->data;
		char *task = same_id && may_begin(row) ? talloc_strdup(NULL, row->task) : NULL;
		uint32_t run = row->run;

		drop_row(runner, row);
		if (task)
			add_row(runner, task, run)->state = RUN_STOPPING;
		talloc_free(task);
	}
	g_list_free(rows);
	TALLOC_FREE(runner->ends_mem);
	runner->ends = NULL;
	runner->end_count = 0;
	runner->more_ends = false;
	runner->list_unreadable = false;
	runner->ends_stored = 0;
	runner->settled = false;
	runner->worker_clock_ms = 0;
	runner->renewal_failed = false;
	runner->lease_unknown = same_id;
	runner->long_lease_until_ms = 0;
	runner_begin_epoch(runner, "another incarnation of the worker, or none");
}

/* A new leader does not know of starts that were not attempted yet; it places those tasks anew. */
void runner_drop_untried_starts(struct runner *runner)
{
	GList *rows = g_hash_table_get_values(runner->runs);

	for (GList *at = rows; at; at = at->next) {
		struct run_row *row = at->data;

		if (row->state == RUN_ORDERED && row->attempts == 0 && !row->maybe_begun)
			drop_row(runner, row);
	}
	g_list_free(rows);
}

/* Returns true if the row is still in the table; otherwise frees the row. */
static bool finish_call(struct run_row *row)
{
	row->call_pending = false;
	if (row->generation == row->runner->generation)
		return true;
	talloc_free(row);
	return false;
}

static void refuse_run(struct run_row *row, enum plan_refusal refusal)
{
	row->state = RUN_REFUSED;
	row->refusal = refusal;
	runner_schedule_report(row->runner);
}

/* If a start call got no answer, the run may still begin, so it is stopped instead of refused. */
static void give_up_start(struct run_row *row, enum plan_refusal refusal)
{
	if (row->attempts > 0 || row->maybe_begun)
		row->state = RUN_STOPPING;
	else
		refuse_run(row, refusal);
}

/*
 * The latest attempt did not start the run. An earlier attempt that got no answer may still start
 * it, so the run is then stopped instead of refused.
 */
static void refuse_latest_attempt(struct run_row *row, enum plan_refusal refusal)
{
	if (row->attempts > 1 || row->maybe_begun)
		row->state = RUN_STOPPING;
	else
		refuse_run(row, refusal);
}

/*
 * Closes a run that can no longer begin. The next renewal is made due at once, because the list of
 * runs that the worker returns with it shows whether this run ever started.
 */
static void close_run(struct run_row *row)
{
	row->state = RUN_CLOSED;
	row->confirmed_ms = util_clock_ms();
	row->runner->renew_due_ms = 0;
}

/* The clock of another incarnation is another one. */
static void read_clock(struct runner *runner, enum runner_call_result result, uint64_t clock_ms)
{
	if (clock_ms && result != RUNNER_OTHER_INCARNATION)
		runner_read_clock(runner, clock_ms);
}

static void on_started(enum runner_call_result result, uint64_t clock_ms, void *ctx)
{
	struct run_row *row = ctx;
	struct runner *runner = row->runner;

	runner_order_call_ended(runner, result);
	if (!finish_call(row))
		return;
	read_clock(runner, result, clock_ms);
	/* A stop was ordered, or the start withdrawn, while the start call was pending. */
	if (row->state != RUN_ORDERED) {
		runner_make_due_calls(runner, util_clock_ms());
		return;
	}
	switch (result) {
	case RUNNER_STARTED:
		row->state = RUN_STARTED;
		row->confirmed = true;
		row->confirmed_ms = util_clock_ms();
		log_info("run_started", row->task, "run %u under term %" PRIu64 ", attempt %u",
			 row->run, row->term, row->attempts);
		runner_schedule_report(runner);
		break;
	case RUNNER_REFUSED_NO_ROOM:
		refuse_latest_attempt(row, PLAN_REFUSED_NO_ROOM);
		break;
	case RUNNER_REFUSED_STALE:
		/* The run of an earlier attempt without an answer may have ended already. */
		close_run(row);
		break;
	case RUNNER_REFUSED_NO_TICKET:
		refuse_latest_attempt(row, PLAN_REFUSED_NO_TICKET);
		break;
	case RUNNER_REFUSED_UNHEALTHY:
		refuse_latest_attempt(row, PLAN_REFUSED_UNHEALTHY);
		break;
	case RUNNER_NO_ANSWER:
	case RUNNER_UNKNOWN_OUTCOME:
		if (row->attempts >= START_ATTEMPTS)
			row->state = RUN_STOPPING;
		break;
	default:
		refuse_latest_attempt(row, PLAN_REFUSED_OTHER);
		break;
	}
	if (result != RUNNER_STARTED)
		log_info("start_failed", row->task, "run %u: result %d, attempt %u", row->run,
			 (int)result, row->attempts);
	runner_make_due_calls(runner, util_clock_ms());
}

static void on_stopped(enum runner_call_result result, uint64_t clock_ms, void *ctx)
{
	struct run_row *row = ctx;
	struct runner *runner = row->runner;

	runner_order_call_ended(runner, result);
	if (!finish_call(row))
		return;
	read_clock(runner, result, clock_ms);
	if (result == RUNNER_STARTED) { /* the worker has carried out the stop */
		log_info("run_stopped", row->task, "run %u", row->run);
		close_run(row);
		return;
	}
	row->retry_ms = util_clock_ms() + STOP_RETRY_MS;
}

static void call_start(struct run_row *row)
{
	struct runner *runner = row->runner;
	struct runner_start start = {
		.worker = runner->worker,
		.task = row->task,
		.run = row->run,
		.payload = row->payload,
		.checkpoint = row->checkpoint,
		.ticket = row->ticket,
		.fence = runner_fence(runner),
		.lease_end_ms = runner_lease_end(runner),
	};

	row->call_pending = true;
	row->attempts++;
	runner->calls.start(runner->calls.impl, &start, on_started, row);
}

static void call_stop(struct run_row *row)
{
	struct runner *runner = row->runner;

	row->call_pending = true;
	runner->calls.stop(runner->calls.impl, runner->worker, row->task, row->run,
			   runner_fence(runner), on_stopped, row);
}

/* Makes the start and stop calls that are due. */
void runner_make_due_calls(struct runner *runner, uint64_t now_ms)
{
	GList *rows;

	if (!runner->alive || !runner->worker)
		return;
	rows = g_hash_table_get_values(runner->runs);
	for (GList *at = rows; at; at = at->next) {
		struct run_row *row = at->data;

		if (row->call_pending || row->retry_ms > now_ms)
			continue;
		if (row->state == RUN_STOPPING)
			call_stop(row);
		else if (row->state == RUN_ORDERED && !runner_accepts(runner))
			give_up_start(row, PLAN_REFUSED_OTHER);
		else if (row->state == RUN_ORDERED && !runner->closed &&
			 row->term == runner->term && runner_may_extend_lease(runner) &&
			 runner->settled)
			call_start(row);
	}
	g_list_free(rows);
}

bool runner_end_listed(const struct runner *runner, const char *task, uint32_t run)
{
	for (size_t i = 0; i < runner->end_count; i++) {
		if (runner->ends[i].run.run == run && !strcmp(runner->ends[i].run.task, task))
			return true;
	}
	return false;
}

void runner_apply_order(struct runner *runner, const struct plan_order *order)
{
	struct run_row *row = runner_find_row(runner, order->task, order->run);

	/* The leader sent the order before it received the report of the end. */
	if (runner_end_listed(runner, order->task, order->run))
		return;
	if (!row) {
		row = add_row(runner, order->task, order->run);
		row->state = order->start ? RUN_ORDERED : RUN_STOPPING;
		row->payload = talloc_strdup(row, order->payload ? order->payload : "");
		row->checkpoint = talloc_strdup(row, order->checkpoint ? order->checkpoint : "");
		row->ticket = talloc_strdup(row, order->ticket ? order->ticket : "");
		row->maybe_begun = order->maybe_begun;
		return;
	}
	if (order->start)
		row->term = runner->term; /* the present leader has taken over the start */
	if (!order->start && (row->state == RUN_ORDERED || row->state == RUN_STARTED)) {
		row->state = RUN_STOPPING;
		row->retry_ms = 0;
	}
}

static bool is_ordered(const struct fleet_orders *orders, const struct run_row *row)
{
	for (size_t i = 0; i < orders->order_count; i++) {
		if (orders->orders[i].run == row->run && !strcmp(orders->orders[i].task, row->task))
			return true;
	}
	return false;
}

/*
 * The leader repeats an order to start until the start is confirmed. If the order is missing, the
 * leader has withdrawn it and may have started the task elsewhere while this process was stalled.
 */
void runner_drop_abandoned(struct runner *runner, const struct fleet_orders *orders)
{
	GList *rows = g_hash_table_get_values(runner->runs);

	for (GList *at = rows; at; at = at->next) {
		struct run_row *row = at->data;

		/* Runs ordered by a former leader are reported to the current one as running. */
		if (row->state != RUN_ORDERED || row->term != runner->term ||
		    is_ordered(orders, row))
			continue;
		log_info("order_abandoned", row->task, "run %u after %u attempts", row->run,
			 row->attempts);
		if (row->attempts > 0 || row->maybe_begun)
			row->state = RUN_STOPPING;
		else
			drop_row(runner, row);
	}
	g_list_free(rows);
}

void runner_acknowledge_refusal(struct runner *runner, const struct plan_run *run)
{
	struct run_row *row = runner_find_row(runner, run->task, run->run);

	if (row && row->state == RUN_REFUSED && !row->call_pending)
		drop_row(runner, row);
}

static void record_running(struct runner *runner, const struct plan_run *run)
{
	struct run_row *row = runner_find_row(runner, run->task, run->run);

	if (!row) {
		row = add_row(runner, run->task, run->run);
		/* The first list of an agent process has runs that a former one started. */
		if (runner->settled || runner_lease_may_be_long(runner))
			log_warn("run_unordered", run->task,
				 "run %u is listed, but was not ordered through this process",
				 run->run);
		/* A call to the former incarnation has started it. */
		row->state = runner_lease_may_be_long(runner) ? RUN_STOPPING : RUN_STARTED;
	}
	if (row->state == RUN_ORDERED && !row->call_pending)
		row->state = RUN_STARTED;
	row->listed = true;
	row->unaccounted = false;
	row->confirmed = true;
	row->percent = run->percent;
	if (strcmp(row->saved_checkpoint, run->checkpoint) != 0) {
		talloc_free(row->saved_checkpoint);
		row->saved_checkpoint = talloc_strdup(row, run->checkpoint);
	}
}

static void copy_ends(struct runner *runner, const struct runner_list *list)
{
	TALLOC_FREE(runner->ends_mem);
	runner->ends_mem = talloc_new(runner);
	runner->end_count = list->end_count;
	runner->ends =
		talloc_zero_array(runner->ends_mem, struct fleet_run_end, list->end_count + 1);
	for (size_t i = 0; i < list->end_count; i++) {
		runner->ends[i] = list->ends[i];
		runner->ends[i].run.task = talloc_strdup(runner->ends_mem, list->ends[i].run.task);
		runner->ends[i].run.checkpoint =
			talloc_strdup(runner->ends_mem, list->ends[i].run.checkpoint);
	}
}

/*
 * Drops the rows of runs that have ended or that are missing from the list. A list proves that a
 * confirmed run is over only if it is complete and was requested after the confirmation; if it is
 * not complete, it may lack the end.
 */
static void drop_unlisted_rows(struct runner *runner, bool complete, uint64_t sent_ms)
{
	GList *rows = g_hash_table_get_values(runner->runs);

	for (GList *at = rows; at; at = at->next) {
		struct run_row *row = at->data;
		bool listed = row->listed;

		row->listed = false;
		if (row->state != RUN_REFUSED && runner_end_listed(runner, row->task, row->run)) {
			drop_row(runner, row);
			continue;
		}
		if (listed || row->call_pending || row->confirmed_ms >= sent_ms)
			continue;
		if (!complete)
			row->unaccounted = true;
		else if (row->state == RUN_CLOSED)
			refuse_run(row, PLAN_REFUSED_STALE);
		else if (row->state == RUN_STARTED)
			drop_row(runner, row);
	}
	g_list_free(rows);
}

void runner_apply_list(struct runner *runner, const struct runner_list *list, uint64_t sent_ms)
{
	uint64_t newest = runner->end_count ? runner->ends[runner->end_count - 1].number
					    : runner->ends_stored;

	for (size_t i = 0; i < list->running_count; i++)
		record_running(runner, &list->running[i]);
	copy_ends(runner, list);
	if (list->more_ends && !runner->more_ends)
		log_info("ends_cut", runner->worker,
			 "%zu ends are listed; the worker lists the rest once these are stored",
			 list->end_count);
	runner->more_ends = list->more_ends;
	runner->list_unreadable = list->unreadable;
	drop_unlisted_rows(runner, !list->more_ends && !list->unreadable, sent_ms);
	if (!runner->settled ||
	    (runner->end_count && runner->ends[runner->end_count - 1].number > newest))
		runner_schedule_report(runner);
	runner->settled = true;
	runner->list_received_ms = util_clock_ms();
}
