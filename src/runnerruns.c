#include "runner_int.h"

#include "fleetlimits.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <string.h>

/*
 * A start without an answer is repeated: the worker answers "started" if the first one got
 * through. After this many tries the run is closed instead, and the leader looks elsewhere.
 */
#define START_ATTEMPTS 2
#define STOP_RETRY_MS 100

static char *key_of(TALLOC_CTX *mem, const char *task, uint32_t run)
{
	return talloc_asprintf(mem, "%s/%" PRIu32, task, run);
}

struct run_row *runner_find(const struct runner *r, const char *task, uint32_t run)
{
	char *key = key_of(NULL, task, run);
	struct run_row *row = g_hash_table_lookup(r->runs, key);

	talloc_free(key);
	return row;
}

static struct run_row *add_row(struct runner *r, const char *task, uint32_t run)
{
	struct run_row *row = talloc_zero(r, struct run_row);

	row->runner = r;
	row->task = talloc_strdup(row, task);
	row->run = run;
	row->key = key_of(row, task, run);
	row->saved = talloc_strdup(row, "");
	row->life = r->life;
	row->term = r->term;
	g_hash_table_insert(r->runs, row->key, row);
	return row;
}

static void drop_row(struct runner *r, struct run_row *row)
{
	g_hash_table_remove(r->runs, row->key);
	/* The answer to a call under way frees it. */
	if (row->calling)
		row->life = 0;
	else
		talloc_free(row);
}

void runner_new_life(struct runner *r)
{
	GList *rows = g_hash_table_get_values(r->runs);

	r->life++;
	for (GList *at = rows; at; at = at->next)
		drop_row(r, at->data);
	g_list_free(rows);
	TALLOC_FREE(r->ends_mem);
	r->ends = NULL;
	r->end_count = 0;
	r->ends_stored = 0;
	r->settled = false;
	r->worker_clock_ms = 0;
}

/* A new leader does not know of starts that have not been tried yet; it decides anew. */
void runner_new_term(struct runner *r)
{
	GList *rows = g_hash_table_get_values(r->runs);

	for (GList *at = rows; at; at = at->next) {
		struct run_row *row = at->data;

		if (row->state == RUN_ORDERED && row->attempts == 0)
			drop_row(r, row);
	}
	g_list_free(rows);
}

/* True if the answer still concerns a row of the table; frees the row otherwise. */
static bool answered(struct run_row *row)
{
	row->calling = false;
	if (row->life == row->runner->life)
		return true;
	talloc_free(row);
	return false;
}

static void refuse(struct run_row *row, enum plan_refusal why)
{
	row->state = RUN_REFUSED;
	row->why = why;
	runner_report_soon(row->runner);
}

/* A start that was tried without an answer may still begin, so its run is closed first. */
static void give_up(struct run_row *row, enum plan_refusal why)
{
	if (row->attempts > 0)
		row->state = RUN_STOPPING;
	else
		refuse(row, why);
}

/* The latest try did nothing, but an earlier one without an answer may begin. */
static void refuse_last(struct run_row *row, enum plan_refusal why)
{
	if (row->attempts > 1)
		row->state = RUN_STOPPING;
	else
		refuse(row, why);
}

/* The run does not begin any more. The list that is asked for next shows whether it ever ran. */
static void close_row(struct run_row *row)
{
	row->state = RUN_CLOSED;
	row->confirmed_ms = util_clock_ms();
	row->runner->renew_due_ms = 0;
}

static void on_started(enum runner_started result, uint64_t clock_ms, void *ctx)
{
	struct run_row *row = ctx;
	struct runner *r = row->runner;

	if (!answered(row))
		return;
	if (clock_ms)
		runner_read_clock(r, clock_ms);
	/* A stop was ordered while the start was under way. */
	if (row->state != RUN_ORDERED) {
		runner_drive(r, util_clock_ms());
		return;
	}
	switch (result) {
	case RUNNER_STARTED:
		row->state = RUN_STARTED;
		row->confirmed_ms = util_clock_ms();
		runner_report_soon(r);
		break;
	case RUNNER_REFUSED_NO_ROOM:
		refuse_last(row, PLAN_REFUSED_NO_ROOM);
		break;
	case RUNNER_REFUSED_STALE:
		/* An earlier try without an answer may have run to its end. */
		close_row(row);
		break;
	case RUNNER_REFUSED_NO_TICKET:
		refuse_last(row, PLAN_REFUSED_NO_TICKET);
		break;
	case RUNNER_REFUSED_UNHEALTHY:
		refuse_last(row, PLAN_REFUSED_UNHEALTHY);
		break;
	case RUNNER_NO_ANSWER:
		if (row->attempts >= START_ATTEMPTS)
			row->state = RUN_STOPPING;
		break;
	default:
		refuse_last(row, PLAN_REFUSED_OTHER);
		break;
	}
	if (result != RUNNER_STARTED)
		log_info("start_failed", row->task, "run %u: result %d, attempt %u", row->run,
			 (int)result, row->attempts);
	runner_drive(r, util_clock_ms());
}

static void on_stopped(enum runner_started result, uint64_t clock_ms, void *ctx)
{
	struct run_row *row = ctx;
	struct runner *r = row->runner;

	if (!answered(row))
		return;
	if (clock_ms)
		runner_read_clock(r, clock_ms);
	if (result == RUNNER_STARTED) {
		close_row(row);
		return;
	}
	row->retry_ms = util_clock_ms() + STOP_RETRY_MS;
}

static void call_start(struct run_row *row)
{
	struct runner *r = row->runner;
	struct runner_start start = {
		.worker = r->worker,
		.task = row->task,
		.run = row->run,
		.payload = row->payload,
		.checkpoint = row->checkpoint,
		.ticket = row->ticket,
		.term = r->term,
		.lease_end_ms = runner_lease_end(r),
	};

	row->calling = true;
	row->attempts++;
	r->calls.start(r->calls.impl, &start, on_started, row);
}

static void call_stop(struct run_row *row)
{
	struct runner *r = row->runner;

	row->calling = true;
	r->calls.stop(r->calls.impl, r->worker, row->task, row->run, r->term, on_stopped, row);
}

/* Makes the calls that are due. */
void runner_drive(struct runner *r, uint64_t now_ms)
{
	GList *rows;

	if (!r->alive || !r->worker)
		return;
	rows = g_hash_table_get_values(r->runs);
	for (GList *at = rows; at; at = at->next) {
		struct run_row *row = at->data;

		if (row->calling || row->retry_ms > now_ms)
			continue;
		if (row->state == RUN_STOPPING)
			call_stop(row);
		else if (row->state == RUN_ORDERED && !r->accepting)
			give_up(row, PLAN_REFUSED_OTHER);
		else if (row->state == RUN_ORDERED && runner_granted(r) && r->settled)
			call_start(row);
	}
	g_list_free(rows);
}

bool runner_end_listed(const struct runner *r, const char *task, uint32_t run)
{
	for (size_t i = 0; i < r->end_count; i++) {
		if (r->ends[i].run.run == run && !strcmp(r->ends[i].run.task, task))
			return true;
	}
	return false;
}

void runner_order(struct runner *r, const struct plan_order *order)
{
	struct run_row *row = runner_find(r, order->task, order->run);

	/* The order crossed the report of the end. */
	if (runner_end_listed(r, order->task, order->run))
		return;
	if (!row) {
		row = add_row(r, order->task, order->run);
		row->state = order->start ? RUN_ORDERED : RUN_STOPPING;
		row->payload = talloc_strdup(row, order->payload ? order->payload : "");
		row->checkpoint = talloc_strdup(row, order->checkpoint ? order->checkpoint : "");
		row->ticket = talloc_strdup(row, order->ticket ? order->ticket : "");
		return;
	}
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
 * Starts are repeated until they are confirmed. One that is missing was given up by the leader,
 * which may have started its task elsewhere while this process stood still.
 */
void runner_drop_abandoned(struct runner *r, const struct fleet_orders *orders)
{
	GList *rows = g_hash_table_get_values(r->runs);

	for (GList *at = rows; at; at = at->next) {
		struct run_row *row = at->data;

		/* What a former leader ordered was told to this one as running. */
		if (row->state != RUN_ORDERED || row->term != r->term || is_ordered(orders, row))
			continue;
		log_info("order_abandoned", row->task, "run %u after %u attempts", row->run,
			 row->attempts);
		if (row->attempts > 0)
			row->state = RUN_STOPPING;
		else
			drop_row(r, row);
	}
	g_list_free(rows);
}

void runner_handled(struct runner *r, const struct plan_run *run)
{
	struct run_row *row = runner_find(r, run->task, run->run);

	if (row && row->state == RUN_REFUSED && !row->calling)
		drop_row(r, row);
}

static void note_running(struct runner *r, const struct plan_run *run)
{
	struct run_row *row = runner_find(r, run->task, run->run);

	if (!row) {
		row = add_row(r, run->task, run->run);
		row->state = RUN_STARTED;
	}
	if (row->state == RUN_ORDERED && !row->calling)
		row->state = RUN_STARTED;
	row->listed = true;
	row->percent = run->percent;
	if (strcmp(row->saved, run->checkpoint) != 0) {
		talloc_free(row->saved);
		row->saved = talloc_strdup(row, run->checkpoint);
	}
}

static void copy_ends(struct runner *r, const struct runner_list *list)
{
	TALLOC_FREE(r->ends_mem);
	r->ends_mem = talloc_new(r);
	r->end_count = list->end_count;
	r->ends = talloc_zero_array(r->ends_mem, struct fleet_run_end, list->end_count + 1);
	for (size_t i = 0; i < list->end_count; i++) {
		r->ends[i] = list->ends[i];
		r->ends[i].run.task = talloc_strdup(r->ends_mem, list->ends[i].run.task);
		r->ends[i].run.checkpoint =
			talloc_strdup(r->ends_mem, list->ends[i].run.checkpoint);
	}
}

/*
 * Rows that the list lacks: a confirmed start or stop is over if the list was asked for
 * after the confirmation.
 */
static void drop_missing(struct runner *r, uint64_t sent_ms)
{
	GList *rows = g_hash_table_get_values(r->runs);

	for (GList *at = rows; at; at = at->next) {
		struct run_row *row = at->data;
		bool listed = row->listed;

		row->listed = false;
		if (listed || row->calling || row->confirmed_ms >= sent_ms)
			continue;
		if (row->state == RUN_CLOSED && !runner_end_listed(r, row->task, row->run))
			refuse(row, PLAN_REFUSED_STALE);
		else if (row->state == RUN_STARTED || row->state == RUN_CLOSED)
			drop_row(r, row);
	}
	g_list_free(rows);
}

void runner_take_list(struct runner *r, const struct runner_list *list, uint64_t sent_ms)
{
	uint64_t newest = r->end_count ? r->ends[r->end_count - 1].number : r->ends_stored;

	for (size_t i = 0; i < list->running_count; i++)
		note_running(r, &list->running[i]);
	copy_ends(r, list);
	drop_missing(r, sent_ms);
	if (!r->settled || (r->end_count && r->ends[r->end_count - 1].number > newest))
		runner_report_soon(r);
	r->settled = true;
	r->listed_ms = util_clock_ms();
}
