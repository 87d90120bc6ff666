#include "lib_runnerworld.h"

#include <glib.h>
#include <string.h>

struct delayed_answer {
	struct runnerworld *f;
	void (*order)(enum runner_call_result, uint64_t, void *);
	void (*list)(int, const struct runner_list *, void *);
	void *ctx;
	enum runner_call_result result;
	char named[16];	  /* identifier that the call names; "": none */
	bool misdirected; /* answered as if the call named another incarnation */
	bool refused;	  /* nothing seems to listen, though the worker is up */
};

static void on_order_answer_due(struct tevent_context *ev, struct tevent_timer *te,
				struct timeval now, void *ctx)
{
	struct delayed_answer *answer = ctx;

	answer->order(answer->result, answer->f->clock_ms, answer->ctx);
	talloc_free(answer);
}

static void on_list_answer_due(struct tevent_context *ev, struct tevent_timer *te,
			       struct timeval now, void *ctx)
{
	struct delayed_answer *answer = ctx;
	struct runner_list list = {.clock_ms = answer->f->clock_ms,
				   .worker_started_ms = answer->f->born_ms,
				   .running = answer->f->running,
				   .running_count = answer->f->running_count,
				   .ends = answer->f->ends,
				   .end_count = answer->f->end_count,
				   .more_ends = answer->f->more_ends,
				   .unreadable = answer->f->unreadable};

	answer->f->lists_open--;
	if (*answer->named && answer->f->false_starts > 0) {
		answer->f->false_starts--;
		list.worker_started_ms++;
	}
	if (answer->refused)
		answer->list(-ERR_UNAVAILABLE, NULL, answer->ctx);
	else if (answer->f->list_answers_lost ||
		 (answer->f->breaks_connections && !answer->f->worker_up && answer->f->lists % 2))
		answer->list(-ERR_OUTCOME_UNKNOWN, NULL, answer->ctx);
	else if (answer->f->worker_up &&
		 (answer->misdirected ||
		  (*answer->named && strcmp(answer->named, answer->f->worker_id) != 0)))
		answer->list(-ERR_STALE, NULL, answer->ctx);
	else
		answer->list(answer->f->worker_up ? 0 : -ERR_UNAVAILABLE,
			     answer->f->worker_up ? &list : NULL, answer->ctx);
	talloc_free(answer);
}

static struct delayed_answer *create_answer(struct runnerworld *f, void *ctx)
{
	struct delayed_answer *answer = talloc_zero(f, struct delayed_answer);

	answer->f = f;
	answer->ctx = ctx;
	return answer;
}

static struct delayed_answer *schedule_answer(struct runnerworld *f, void *ctx, uint32_t ms,
					      tevent_timer_handler_t handler)
{
	struct delayed_answer *answer = create_answer(f, ctx);

	tevent_add_timer(f->ev, answer, tevent_timeval_current_ofs(0, ms * 1000), handler, answer);
	return answer;
}

static void fake_start(void *impl, const struct runner_start *start,
		       void (*done)(enum runner_call_result, uint64_t, void *), void *ctx)
{
	struct runnerworld *f = impl;
	struct delayed_answer *answer =
		f->holds_start ? create_answer(f, ctx)
			       : schedule_answer(f, ctx, f->start_delay_ms, on_order_answer_due);

	if (f->holds_start)
		f->held_start = answer;
	f->holds_start = false;
	answer->order = done;
	answer->result = f->start_result;
	f->starts++;
	f->start_fence = start->fence;
	g_strlcpy(f->ticket, start->ticket, sizeof(f->ticket));
	if (start->lease_end_ms > f->lease_end_ms)
		f->lease_end_ms = start->lease_end_ms;
	if (f->start_result == RUNNER_STARTED)
		f->running[f->running_count++] =
			(struct plan_run){talloc_strdup(f, start->task), start->run, "", 1};
}

void runnerworld_answer_start(struct runnerworld *f)
{
	struct delayed_answer *answer = f->held_start;

	f->held_start = NULL;
	answer->order(answer->result, f->clock_ms, answer->ctx);
	talloc_free(answer);
}

static void fake_stop(void *impl, const char *worker, const char *task, uint32_t run, uint64_t term,
		      void (*done)(enum runner_call_result, uint64_t, void *), void *ctx)
{
	struct runnerworld *f = impl;
	struct delayed_answer *answer = schedule_answer(f, ctx, 2, on_order_answer_due);

	answer->order = done;
	answer->result = f->stop_answers_lost ? RUNNER_NO_ANSWER : RUNNER_STARTED;
	f->stops++;
}

static void fake_ask_health(void *impl, const char *worker, const char *path,
			    void (*done)(enum runner_health, void *), void *ctx)
{
	struct runnerworld *f = impl;

	f->health_calls++;
	done(f->health, ctx);
}

static void fake_renew(void *impl, const struct runner_renewal *renewal,
		       void (*done)(int, const struct runner_list *, void *), void *ctx)
{
	struct runnerworld *f = impl;
	struct delayed_answer *answer = schedule_answer(
		f, ctx, renewal->wait_ms ? 50 : f->list_delay_ms, on_list_answer_due);

	answer->list = done;
	g_strlcpy(answer->named, renewal->worker ? renewal->worker : "", sizeof(answer->named));
	f->lists++;
	f->lists_open++;
	f->lists_open_max = MAX(f->lists_open_max, f->lists_open);
	if (f->refusals > 0) {
		f->refusals--;
		answer->refused = true;
		return;
	}
	if (renewal->worker && f->misdirected > 0) {
		f->misdirected--;
		answer->misdirected = true;
	}
	if (answer->misdirected || (*answer->named && strcmp(answer->named, f->worker_id) != 0))
		return;
	f->ends_known = renewal->ends_known;
	f->list_fence = renewal->fence;
	f->extensions += renewal->extend;
	if (renewal->extend && renewal->lease_end_ms > f->lease_end_ms)
		f->lease_end_ms = renewal->lease_end_ms;
}

static void on_agent_message(const char *peer, struct msg *msg, void *ctx)
{
	struct runnerworld *f = ctx;

	if (f->runner)
		runner_message(f->runner, peer, msg);
}

void runnerworld_send_orders(struct runnerworld *f)
{
	struct fleet_orders orders = {.session = f->session,
				      .echo_ms = f->echo_outdated ? 1 : f->report->sent_ms,
				      .incarnation = f->report->info.incarnation,
				      .ends_stored = f->ends_stored,
				      .valid_ms = f->valid_ms,
				      .orders = f->orders,
				      .order_count = f->order_count,
				      .unsure = f->unsure,
				      .closed = f->closed,
				      .health_path = f->health_path,
				      .report_ms = 100};
	struct msg msg = {.type = MSG_WORKER_ORDERS, .u.worker_orders.term = f->term};
	char *text = fleet_orders_write(f, &orders);

	msg.u.worker_orders.json.data = (uint8_t *)text;
	msg.u.worker_orders.json.len = strlen(text);
	wire_send(f->leader_wire, f->agent_peer, &msg);
	talloc_free(text);
}

static void on_leader_message(const char *peer, struct msg *msg, void *ctx)
{
	struct runnerworld *f = ctx;

	if (msg->type != MSG_WORKER_REPORT)
		return;
	g_strlcpy(f->agent_peer, peer, sizeof(f->agent_peer));
	talloc_free(f->report);
	f->report =
		fleet_report_read(f, msg->u.worker_report.json.data, msg->u.worker_report.json.len);
	f->reports++;
	if (f->answers)
		runnerworld_send_orders(f);
}

struct runnerworld *runnerworld_create(void)
{
	struct runnerworld *f = talloc_zero(NULL, struct runnerworld);
	struct wire_handlers agent = {on_agent_message, f};
	struct wire_handlers leader = {on_leader_message, f};
	struct err err = {0};
	char *record;
	struct runner_deps deps;

	f->ev = tevent_context_init(f);
	f->store = memkv_create(f, f->ev);
	f->metrics = metrics_create(f);
	f->agent_wire = wire_create(f, f->ev, "agent#1", "127.0.0.1:0", &agent, f->metrics, &err);
	f->leader_wire =
		wire_create(f, f->ev, "leader#1", "127.0.0.1:0", &leader, f->metrics, &err);
	f->calls = (struct runner_calls){fake_start, fake_stop, fake_renew, f, fake_ask_health};
	f->worker_id = "w1";
	f->worker_up = true;
	f->born_ms = 7;
	f->clock_ms = 10000;
	f->answers = true;
	f->start_delay_ms = 2;
	f->list_delay_ms = 2;
	f->term = 3;
	f->valid_ms = WORKER_RENEWAL_WINDOW_MS;
	record = talloc_asprintf(f, "{\"node\":\"e\",\"address\":\"%s\",\"term\":3}",
				 wire_address(f->leader_wire));
	memkv_put(f->store, "leader", record);
	deps = (struct runner_deps){.ev = f->ev,
				    .kv = &memkv_client(f->store)->kv,
				    .wire = f->agent_wire,
				    .metrics = f->metrics,
				    .calls = &f->calls,
				    .node = "host1",
				    .service = "s"};
	f->runner = runner_create(f, &deps);
	memkv_run(f->ev, 300);
	return f;
}

struct runner_announcement runnerworld_announcement(const struct runnerworld *f, uint64_t born_ms,
						    uint64_t sequence)
{
	return (struct runner_announcement){.id = "w1",
					    .address = "127.0.0.1:9",
					    .service = "s",
					    .zone = "z",
					    .kind = "k",
					    .rack = "r",
					    .room = {1000, 1000, 8},
					    .accepting = !f->draining,
					    .started_ms = born_ms,
					    .sequence = sequence};
}

/* What the sender of an announcement is told. */
struct verdict {
	int status;
	bool known;
};

static void on_verdict(int status, void *ctx)
{
	*(struct verdict *)ctx = (struct verdict){status, true};
}

int runnerworld_take(struct runnerworld *f, const struct runner_announcement *announcement)
{
	struct verdict verdict = {0};

	runner_announced(f->runner, announcement, on_verdict, &verdict);
	while (!verdict.known)
		memkv_run(f->ev, 1);
	return verdict.status;
}

int runnerworld_announce(struct runnerworld *f, uint64_t born_ms, uint64_t sequence)
{
	struct runner_announcement announcement = runnerworld_announcement(f, born_ms, sequence);

	return runnerworld_take(f, &announcement);
}

void runnerworld_destroy(struct runnerworld *f)
{
	TALLOC_FREE(f->runner);
	wire_destroy(f->agent_wire, 0);
	wire_destroy(f->leader_wire, 0);
	talloc_free(f);
}
