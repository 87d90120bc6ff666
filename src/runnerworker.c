#include "runner_int.h"

#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <string.h>

/*
 * What the agent concludes about its worker. Evidence is what the worker answers at the address
 * that the agent calls, and that the worker's host refuses connections to it. An announcement may
 * come from another worker, from an earlier incarnation or from any other writer, so one that does
 * not agree with what is believed is only a reason to ask the worker. docs/platform.md has the
 * table.
 */

#define CONNECT_FAILURES_TO_DOWN 2 /* a single refused connection may be a reset */
#define CONTRADICTIONS_TO_DOWN 2   /* answers of another incarnation, with doubts between */
#define CONTRADICTED_RETRY_MS 200
/*
 * An announcement waits this long for an answer of the worker that settles it, so that the worker
 * is asked until its next announcement arrives.
 */
#define ENQUIRY_MS 2000
#define ENQUIRY_RETRY_MS 100
#define ENQUIRIES_MAX 8

/* An announcement about which the worker is being asked. */
struct enquiry {
	struct runner *runner;
	struct runner_announcement announcement; /* its strings are owned by the enquiry */
	uint64_t until_ms;
	uint32_t generation; /* of the runner when the worker was called */
	void (*done)(int status, void *ctx);
	void *ctx;
};

/* Counts a change of what the agent believes about its worker. */
static void count_conclusion(struct runner *runner, const char *conclusion)
{
	char *labels = talloc_asprintf(NULL, "conclusion=\"%s\"", conclusion);

	metrics_count(runner->deps.metrics, "jaycourse_worker_conclusions_total", labels,
		      "Changes of what the agent believes about its worker");
	talloc_free(labels);
}

static void replace_string(struct runner *runner, char **field, const char *value)
{
	if (*field && !strcmp(*field, value))
		return;
	talloc_free(*field);
	*field = talloc_strdup(runner, value);
}

static void set_incarnation(struct runner *runner, const char *id, uint64_t started_ms)
{
	runner_reset_incarnation(runner, runner->worker && !strcmp(runner->worker, id));
	replace_string(runner, &runner->worker, id);
	talloc_free(runner->incarnation);
	runner->incarnation = talloc_asprintf(runner, "%s/%" PRIu64, id, started_ms);
	runner->worker_started_ms = started_ms;
	runner->contradicted = false;
	runner->contradictions = 0;
	runner->connect_failures = 0;
	runner->sequence = 0;
	runner->leaves_ms = 0;
}

const char *runner_named_worker(const struct runner *runner)
{
	return runner->alive && !runner->contradicted ? runner->worker : NULL;
}

static void conclude_found(struct runner *runner, const struct runner_announcement *announcement)
{
	log_info("worker_found", announcement->id,
		 "room for %u accelerators, rack %s; announcement %" PRIu64
		 " from %s, start %" PRIu64 "; before: %s, %s, %u runs",
		 announcement->room.accelerators, announcement->rack, announcement->sequence,
		 announcement->address, announcement->started_ms,
		 runner->incarnation ? runner->incarnation : "none",
		 runner->alive ? "alive" : "not alive", g_hash_table_size(runner->runs));
	count_conclusion(runner, "found");
	set_incarnation(runner, announcement->id, announcement->started_ms);
	runner->alive = true;
	runner->down = false;
	runner->down_received = false;
	runner->leaving = false;
	runner->renew_due_ms = 0;
}

static void conclude_down(struct runner *runner, const char *why)
{
	log_warn("worker_down", runner->worker, "%s; %s, %u runs", why, runner->incarnation,
		 g_hash_table_size(runner->runs));
	count_conclusion(runner, "down");
	runner->alive = false;
	runner->down = true;
	runner->why_down = why;
	runner->down_ms = util_clock_ms();
	runner->contradicted = false;
	runner_reset_incarnation(runner, false);
	runner_schedule_report(runner);
}

/*
 * A new agent process does not know whether its worker runs anything. If nothing listens at the
 * worker's address, nothing runs, and the leader need not wait for leases that were extended
 * before this process began.
 */
static void conclude_absent(struct runner *runner)
{
	log_info("worker_absent", "",
		 "no worker has announced itself, and nothing listens at its address");
	count_conclusion(runner, "absent");
	runner->down = true;
	runner->why_down = "nothing has listened at its address since the agent began";
	runner_schedule_report(runner);
}

/*
 * The worker was restarted under its identifier and has not announced itself yet. Calls that were
 * sent since then have reached the new incarnation, which gets nothing new before it has announced
 * what it offers.
 */
static void conclude_restarted(struct runner *runner, uint64_t started_ms)
{
	char *id = talloc_strdup(NULL, runner->worker);

	log_info("worker_restarted", id,
		 "its list names %" PRIu64 " as its start; before: %s, %u runs", started_ms,
		 runner->incarnation, g_hash_table_size(runner->runs));
	count_conclusion(runner, "restarted");
	set_incarnation(runner, id, started_ms);
	runner->accepting = false;
	talloc_free(id);
}

/*
 * An answer to a call that names the present incarnation contradicts it. One answer may be wrong,
 * so whoever listens is asked when it started before anything is given up.
 */
static void doubt_incarnation(struct runner *runner, bool renamed)
{
	if (runner->contradictions++ == 0)
		log_info("worker_contradicted", runner->worker, "%s, in answer to a call to %s",
			 renamed ? "another incarnation" : "another start time",
			 runner->incarnation);
	runner->contradicted = true;
	runner->renamed = renamed;
	runner->renew_due_ms = 0;
}

/*
 * @list: of whoever listens, in answer to a call that names nobody
 * Return: true if it is the list of the worker after a restart.
 */
static bool settle_doubt(struct runner *runner, const struct runner_list *list)
{
	bool unknown = !list->worker_started_ms || !runner->worker_started_ms;

	runner->contradicted = false;
	if (!unknown && list->worker_started_ms == runner->worker_started_ms) {
		log_once("worker_contradicted", runner->worker,
			 "%s has listed its runs, so the answer was wrong", runner->incarnation);
		runner->renew_due_ms = util_clock_ms() + CONTRADICTED_RETRY_MS;
	} else if (!unknown && !runner->renamed) {
		conclude_restarted(runner, list->worker_started_ms);
		return true;
	} else if (runner->contradictions >= CONTRADICTIONS_TO_DOWN) {
		/* One wrong answer may have come from the worker itself, or after a restart. */
		conclude_down(runner, "another incarnation answered");
	}
	return false;
}

static void count_refused_connection(struct runner *runner)
{
	if (runner->down || ++runner->connect_failures < CONNECT_FAILURES_TO_DOWN)
		return;
	if (runner->alive)
		conclude_down(runner, "nothing listens at the worker's address");
	else if (!runner->worker)
		conclude_absent(runner);
}

/* A call that ended without an answer does not show that the worker is there. */
void runner_list_call_ended(struct runner *runner, int status)
{
	if (status == 0 || status == -ERR_STALE || status == -ERR_DENIED || status == -ERR_FAILED ||
	    status == -ERR_TOO_LARGE)
		runner->connect_failures = 0;
}

void runner_order_call_ended(struct runner *runner, enum runner_call_result result)
{
	if (result != RUNNER_NOT_SENT && result != RUNNER_NO_ANSWER)
		runner->connect_failures = 0;
}

bool runner_judge_answer(struct runner *runner, bool named, int status,
			 const struct runner_list *list)
{
	if (status == -ERR_UNAVAILABLE) {
		count_refused_connection(runner);
		return false;
	}
	if (!runner->alive)
		return false;
	if (status == -ERR_STALE && named)
		doubt_incarnation(runner, true);
	if (status)
		return false;
	if (!named)
		return settle_doubt(runner, list);
	if (list->worker_started_ms && runner->worker_started_ms &&
	    list->worker_started_ms != runner->worker_started_ms) {
		doubt_incarnation(runner, false);
		return false;
	}
	runner->contradictions = 0;
	return true;
}

static bool is_present_id(const struct runner *runner, const char *id)
{
	return runner->alive && !strcmp(runner->worker, id);
}

static bool is_present(const struct runner *runner, const struct runner_announcement *announcement)
{
	return is_present_id(runner, announcement->id) &&
	       runner->worker_started_ms == announcement->started_ms;
}

static void set_accepting(struct runner *runner, bool accepting)
{
	if (runner->accepting == accepting)
		return;
	if (!accepting)
		log_info("worker_drains", runner->worker, "the worker accepts no new runs");
	runner->accepting = accepting;
	runner_schedule_report(runner);
}

/* When the worker ends by its announcement, at the earliest; 0: it gives no notice. */
static uint64_t announced_end_ms(const struct runner_announcement *announcement)
{
	return announcement->leaves && !announcement->accepting
		       ? util_clock_ms() + announcement->remaining_ms
		       : 0;
}

/* The leader is told at once, because the time that is left is short. */
static void set_leaves(struct runner *runner, uint64_t leaves_ms)
{
	bool had_notice = runner->leaves_ms > 0;

	runner->leaves_ms = leaves_ms;
	if (had_notice == (runner->leaves_ms > 0))
		return;
	log_info("worker_notice", runner->worker, "%s",
		 had_notice ? "the worker no longer says when it leaves"
			    : "the worker leaves soon");
	runner_schedule_report(runner);
}

/* Takes over what the present incarnation says of itself. */
static void take_offer(struct runner *runner, const struct runner_announcement *announcement)
{
	uint64_t end_ms = announced_end_ms(announcement);

	if (announcement->sequence < runner->sequence) {
		/* Draining is believed whatever the number, since its sender is told so. */
		if (!announcement->accepting)
			set_accepting(runner, false);
		if (end_ms && (!runner->leaves_ms || end_ms < runner->leaves_ms))
			set_leaves(runner, end_ms);
		return;
	}
	/* One that is sent again was written when more time was left. */
	if (announcement->sequence == runner->sequence && runner->leaves_ms && end_ms)
		end_ms = MIN(end_ms, runner->leaves_ms);
	runner->sequence = announcement->sequence;
	if (announcement->accepting)
		runner->leaving = false;
	replace_string(runner, &runner->zone, announcement->zone);
	replace_string(runner, &runner->kind, announcement->kind);
	replace_string(runner, &runner->rack, announcement->rack);
	runner->room = announcement->room;
	set_accepting(runner, announcement->accepting);
	set_leaves(runner, end_ms);
	runner_renew_if_due(runner, util_clock_ms());
}

/*
 * Compares an announcement with the answer of the worker to a call that names the announced
 * identifier. A worker that gives its start time in its lists gives it in its announcements; a list
 * without it can't tell two incarnations under one identifier apart.
 * Return: 0 if the worker is the announced incarnation, -ERR_STALE or -ERR_INVALID if it is not,
 * otherwise the failure of the call, which settles nothing.
 */
static int compare_with_answer(const struct runner *runner,
			       const struct runner_announcement *announcement, int status,
			       const struct runner_list *list)
{
	if (status)
		return status;
	if (!list->worker_started_ms)
		return is_present_id(runner, announcement->id) ? -ERR_FAILED : 0;
	if (list->worker_started_ms == announcement->started_ms)
		return 0;
	return announcement->started_ms ? -ERR_STALE : -ERR_INVALID;
}

static void end_enquiry(struct enquiry *enquiry, int status)
{
	enquiry->runner->enquiries--;
	if (enquiry->done)
		enquiry->done(status, enquiry->ctx);
	talloc_free(enquiry);
}

static void ask_worker(struct enquiry *enquiry);

static void on_enquiry_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			     void *ctx)
{
	ask_worker(ctx);
}

static void on_enquiry_answer(int status, const struct runner_list *list, void *ctx)
{
	struct enquiry *enquiry = ctx;
	struct runner *runner = enquiry->runner;
	int result = compare_with_answer(runner, &enquiry->announcement, status, list);

	runner_list_call_ended(runner, status);
	if (result == -ERR_STALE || result == -ERR_INVALID) {
		end_enquiry(enquiry, result);
	} else if (result == 0 && enquiry->generation == runner->generation) {
		if (!is_present(runner, &enquiry->announcement))
			conclude_found(runner, &enquiry->announcement);
		take_offer(runner, &enquiry->announcement);
		end_enquiry(enquiry, 0);
	} else if (util_clock_ms() >= enquiry->until_ms) {
		end_enquiry(enquiry, -ERR_UNAVAILABLE);
	} else {
		/* The call failed, or another incarnation was found before it was answered. */
		tevent_add_timer(runner->deps.ev, enquiry,
				 tevent_timeval_current_ofs(0, ENQUIRY_RETRY_MS * 1000),
				 on_enquiry_timer, enquiry);
	}
}

/* The call changes nothing at the worker but the fence, and makes it ignore earlier calls. */
static void ask_worker(struct enquiry *enquiry)
{
	struct runner *runner = enquiry->runner;
	struct runner_renewal renewal = {.worker = enquiry->announcement.id,
					 .fence = runner_fence(runner)};

	enquiry->generation = runner->generation;
	runner->calls.renew(runner->calls.impl, &renewal, on_enquiry_answer, enquiry);
}

static struct enquiry *create_enquiry(struct runner *runner,
				      const struct runner_announcement *announcement,
				      void (*done)(int status, void *ctx), void *ctx)
{
	struct enquiry *enquiry = talloc_zero(runner, struct enquiry);
	struct runner_announcement *copy = &enquiry->announcement;

	*enquiry = (struct enquiry){.runner = runner,
				    .announcement = *announcement,
				    .until_ms = util_clock_ms() + ENQUIRY_MS,
				    .done = done,
				    .ctx = ctx};
	copy->id = talloc_strdup(enquiry, announcement->id);
	copy->address = talloc_strdup(enquiry, announcement->address);
	copy->service = talloc_strdup(enquiry, announcement->service);
	copy->zone = talloc_strdup(enquiry, announcement->zone);
	copy->kind = talloc_strdup(enquiry, announcement->kind);
	copy->rack = talloc_strdup(enquiry, announcement->rack);
	return enquiry;
}

/* Returns 0 if nothing has to be asked, 1 if the worker has to be asked, or the refusal. */
static int check_announcement(const struct runner *runner,
			      const struct runner_announcement *announcement)
{
	if (strcmp(announcement->service, runner->deps.service) != 0)
		return -ERR_INVALID;
	if (is_present(runner, announcement))
		return 0;
	return runner->enquiries < ENQUIRIES_MAX ? 1 : -ERR_QUEUE_FULL;
}

void runner_announced(struct runner *runner, const struct runner_announcement *announcement,
		      void (*done)(int status, void *ctx), void *ctx)
{
	int status = check_announcement(runner, announcement);

	if (status > 0) {
		runner->enquiries++;
		ask_worker(create_enquiry(runner, announcement, done, ctx));
		return;
	}
	if (status == 0)
		take_offer(runner, announcement);
	if (done)
		done(status, ctx);
}

/* Nothing is given up: the worker gets no new runs until it announces itself again. */
void runner_leaving(struct runner *runner, const char *id)
{
	if (!runner->worker || strcmp(runner->worker, id) != 0)
		return;
	log_info("worker_leaves", id, "the worker shuts down");
	runner->accepting = false;
	runner->leaving = true;
	runner_schedule_report(runner);
}

bool runner_may_stop(const struct runner *runner)
{
	return !runner->leaving || runner->down_received;
}
