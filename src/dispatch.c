#include "callref.h"
#include "dispatch_int.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>

#define TICK_MS 20	/* resolution of deadlines, backoff and hedging */
#define SWEEP_MS 200	/* between checks for lost agents and callers */
#define LATENCY_SHIFT 3 /* a new sample counts for an eighth */
/*
 * Each refusal by the latency estimate lowers the estimate by a sixteenth. Otherwise, after one
 * slow period, all requests would be refused and no new sample could correct the estimate.
 */
#define LATENCY_DECAY_SHIFT 4

struct class_latency {
	uint64_t us;
};

struct claim_call {
	struct dispatch *dispatch;
	struct request *request;    /* holds a reference, dropped by the destructor */
	struct route_choice choice; /* its peer is owned by the call */
};

size_t dispatch_active(const struct dispatch *dispatch)
{
	return dispatch->active_count;
}

static struct class_latency *get_class_latency(struct dispatch *dispatch, const char *class_name)
{
	struct class_latency *latency = g_hash_table_lookup(dispatch->latencies, class_name);

	if (!latency) {
		latency = g_new0(struct class_latency, 1);
		g_hash_table_insert(dispatch->latencies, g_strdup(class_name), latency);
	}
	return latency;
}

void dispatch_record_latency(struct dispatch *dispatch, const char *class_name, uint64_t us)
{
	struct class_latency *latency = get_class_latency(dispatch, class_name);

	if (!latency->us)
		latency->us = us;
	else
		latency->us = latency->us - (latency->us >> LATENCY_SHIFT) + (us >> LATENCY_SHIFT);
}

static void link_active(struct dispatch *dispatch, struct request *request)
{
	request->prev = NULL;
	request->next = dispatch->active;
	if (dispatch->active)
		dispatch->active->prev = request;
	dispatch->active = request;
	dispatch->active_count++;
}

static void unlink_active(struct dispatch *dispatch, struct request *request)
{
	if (request->prev)
		request->prev->next = request->next;
	else
		dispatch->active = request->next;
	if (request->next)
		request->next->prev = request->prev;
	dispatch->active_count--;
}

void dispatch_finish(struct dispatch *dispatch, struct request *request)
{
	if (request->state == REQUEST_DONE)
		return;
	request->state = REQUEST_DONE;
	queue_remove(dispatch->queue, &request->item);
	for (int i = 0; i < 2; i++)
		attempt_close(dispatch, &request->attempts[i], ROUTE_NEUTRAL, true);
	unlink_active(dispatch, request);
	request_unref(request);
}

void dispatch_refuse(struct dispatch *dispatch, struct request *request,
		     enum request_outcome outcome)
{
	metrics_count_refusal(dispatch->deps.metrics, outcome == REQUEST_NOT_RUN
							      ? err_name((int)request->err.code)
							      : "outcome_unknown");
	if (outcome == REQUEST_NOT_RUN) {
		log_debug("request_refused", request->id, "%s", request->err.message);
		if (request->claimed)
			claims_release(dispatch->deps.claims, request->key_hash,
				       request->claim_revision);
	} else {
		log_warn("request_outcome_unknown", request->id, "%s", request->err.message);
	}
	request_reply_error(request, &request->err, outcome);
	dispatch_finish(dispatch, request);
}

void dispatch_exclude_peer(struct request *request, const char *peer)
{
	uint32_t at = request->excluded_count % ROUTE_EXCLUDE_MAX;

	talloc_free(request->excluded[at]);
	request->excluded[at] = talloc_strdup(request, peer);
	request->excluded_count++;
}

void dispatch_requeue(struct dispatch *dispatch, struct request *request)
{
	request->state = REQUEST_QUEUED;
	queue_push_front(dispatch->queue, &request->item, &request->flow);
	dispatch_send_waiting(dispatch, request->service);
}

void dispatch_retry(struct dispatch *dispatch, struct request *request, const char *reason)
{
	uint64_t now = util_clock_ms();
	enum request_outcome outcome = request->may_have_run ? REQUEST_UNKNOWN : REQUEST_NOT_RUN;

	if (now >= request->deadline_ms) {
		err_set(&request->err, ERR_DEADLINE, "retry with more time",
			"the deadline passed before a target answered (%s)", reason);
		dispatch_refuse(dispatch, request, outcome);
		return;
	}
	if (!retry_try_spend(dispatch->retry, now)) {
		err_set(&request->err,
			request->may_have_run ? ERR_OUTCOME_UNKNOWN : ERR_UNAVAILABLE,
			"retry later with backoff", "the retry budget is used up (%s)", reason);
		dispatch_refuse(dispatch, request, outcome);
		return;
	}
	metrics_count_retry(dispatch->deps.metrics, reason);
	request->state = REQUEST_BACKOFF;
	request->next_action_ms = now + retry_backoff_ms(dispatch->retry, request->retry_count++);
}

static void on_claimed(int status, const struct claim_record *found, void *ctx);

static int claim_call_destructor(struct claim_call *call)
{
	request_unref(call->request);
	return 0;
}

static void start_claim(struct dispatch *dispatch, struct request *request,
			const struct route_choice *choice)
{
	struct claim_call *call = talloc_zero(dispatch, struct claim_call);
	char mark[REQUEST_ID_MAX + 16];
	struct claim_record record = {
		.entry = dispatch->deps.self,
		.agent = choice->peer,
		.organisation = request->organisation->name,
		.service = request->service,
		.key = request->key,
		.mark = mark,
		.mod_revision = request->claim_revision,
	};

	snprintf(mark, sizeof(mark), "%s.%" PRIu32, request->id, ++request->claim_serial);
	call->dispatch = dispatch;
	call->request = request_ref(request);
	call->choice = *choice;
	call->choice.peer = talloc_strdup(call, choice->peer);
	talloc_set_destructor(call, claim_call_destructor);
	request->state = REQUEST_CLAIMING;
	claims_acquire(dispatch->deps.claims, request->key_hash, &record,
		       request->class_->idempotency_ttl_s, on_claimed,
		       callref_begin(callref_create(dispatch->deps.claims, call)));
}

/* Counts the end of a request that was not sent to its target. */
static void end_choice(struct dispatch *dispatch, const struct route_choice *choice)
{
	route_end_request(dispatch->route, choice->peer, choice->probe, ROUTE_NEUTRAL, 0,
			  util_clock_ms());
}

static void on_deadline(struct dispatch *dispatch, struct request *request)
{
	bool may_have_run = request->state == REQUEST_SENT || request->may_have_run;

	err_set(&request->err, ERR_DEADLINE,
		may_have_run ? "check the effect before retrying, or use an idempotency key"
			     : "retry, with more time if this happens often",
		may_have_run ? "no target had sent its complete answer by the deadline"
			     : "no target was free before the deadline");
	dispatch_refuse(dispatch, request, may_have_run ? REQUEST_UNKNOWN : REQUEST_NOT_RUN);
}

static void send_or_requeue(struct dispatch *dispatch, struct request *request,
			    const struct route_choice *choice)
{
	/* It has not run yet, which could not be said of it once it was sent. */
	if (util_clock_ms() >= request->deadline_ms) {
		end_choice(dispatch, choice);
		on_deadline(dispatch, request);
		return;
	}
	if (!attempt_send(dispatch, request, choice))
		return;
	end_choice(dispatch, choice);
	route_mark_unreachable(dispatch->route, choice->peer, util_clock_ms());
	metrics_count_retry(dispatch->deps.metrics, "not_delivered");
	dispatch_requeue(dispatch, request);
}

/* Two keys may have the same hash, and so the same claim. */
static bool same_key(const struct request *request, const struct claim_record *found)
{
	return !strcmp(found->organisation, request->organisation->name) &&
	       !strcmp(found->service, request->service) && !strcmp(found->key, request->key);
}

/* Gets the answer of the run for which the key was claimed before. */
static void follow_claim(struct dispatch *dispatch, struct request *request,
			 const struct claim_record *found)
{
	if (!same_key(request, found)) {
		err_set(&request->err, ERR_CONFLICT, "use another key",
			"the idempotency key's hash belongs to another key");
		dispatch_refuse(dispatch, request, REQUEST_NOT_RUN);
		return;
	}
	request->claim_revision = found->mod_revision;
	request->claimed = false;
	metrics_count(dispatch->deps.metrics, "jaycourse_claim_joins_total", "",
		      "Requests that followed an earlier run of their key");
	if (!attempt_query(dispatch, request, found->agent))
		return;
	err_set(&request->err, ERR_OUTCOME_UNKNOWN, "check the effect before sending a new key",
		"an earlier request with this key went to an agent that is gone");
	dispatch_refuse(dispatch, request, REQUEST_UNKNOWN);
}

static void on_claimed(int status, const struct claim_record *found, void *ctx)
{
	struct claim_call *call = callref_end(ctx);
	struct dispatch *dispatch;
	struct request *request;
	bool ended;

	if (!call)
		return; /* the claim of a request that did not run expires */
	dispatch = call->dispatch;
	request = call->request;
	ended = request->state == REQUEST_DONE;
	if (ended && !status)
		claims_release(dispatch->deps.claims, request->key_hash, found->mod_revision);
	if (ended || status)
		end_choice(dispatch, &call->choice);
	if (!ended && !status) {
		request->claimed = true;
		request->claim_revision = found->mod_revision;
		send_or_requeue(dispatch, request, &call->choice);
	} else if (!ended && status == -ERR_CONFLICT) {
		follow_claim(dispatch, request, found);
	} else if (!ended) {
		err_set(&request->err, ERR_UNAVAILABLE, "retry with the same key",
			"the key could not be recorded because the store is unavailable");
		dispatch_refuse(dispatch, request, REQUEST_NOT_RUN);
	}
	talloc_free(call);
}

/* Sends the request to a target, after a claim if it needs one; false when no slot is free. */
static bool choose_and_send(struct dispatch *dispatch, struct request *request)
{
	struct route_choice choice;
	uint64_t now = util_clock_ms();
	int ret = route_choose(dispatch->route, request->service,
			       (const char *const *)request->excluded, ROUTE_EXCLUDE_MAX,
			       request->idempotent, now, &choice);

	if (ret && request->excluded_count)
		ret = route_choose(dispatch->route, request->service, NULL, 0, request->idempotent,
				   now, &choice);
	if (ret)
		return false;
	if (request->needs_claim)
		start_claim(dispatch, request, &choice);
	else
		send_or_requeue(dispatch, request, &choice);
	return true;
}

void dispatch_send_waiting(struct dispatch *dispatch, const char *service)
{
	if (dispatch->sending)
		return;
	dispatch->sending = true;
	while (queue_waiting(dispatch->queue, service) &&
	       route_has_room(dispatch->route, service, util_clock_ms())) {
		struct queue_item *item = queue_pop(dispatch->queue, service);
		struct request *request = item->owner;

		if (choose_and_send(dispatch, request))
			continue;
		queue_push_front(dispatch->queue, item, &request->flow);
		break;
	}
	dispatch->sending = false;
}

static void send_waiting_of_service(const char *service, void *ctx)
{
	dispatch_send_waiting(ctx, service);
}

/* Sends an idempotent request also to a second target when the first has not answered yet. */
static void send_hedge(struct dispatch *dispatch, struct request *request)
{
	const char *first =
		request->attempts[0].id ? request->attempts[0].peer : request->attempts[1].peer;
	struct route_choice choice;
	uint64_t now = util_clock_ms();

	if (!first || (request->attempts[0].id && request->attempts[1].id) ||
	    request->attempts[0].received || request->attempts[1].received)
		return;
	if (route_choose(dispatch->route, request->service, &first, 1, false, now, &choice))
		return;
	if (retry_try_spend(dispatch->retry, now)) {
		metrics_count_retry(dispatch->deps.metrics, "hedge");
		if (!attempt_send(dispatch, request, &choice))
			return;
	}
	end_choice(dispatch, &choice);
}

static void advance_request(struct dispatch *dispatch, struct request *request, uint64_t now)
{
	if (now >= request->deadline_ms) {
		on_deadline(dispatch, request);
		return;
	}
	for (int i = 0; i < 2 && request->state == REQUEST_SENT; i++) {
		struct request_attempt *attempt = &request->attempts[i];

		if (attempt->id && attempt->reply_due_ms && now >= attempt->reply_due_ms)
			attempt_handle_timeout(dispatch, attempt);
		else if (attempt->id)
			attempt_begin_answer(attempt);
	}
	if (request->state == REQUEST_DONE || !request->next_action_ms ||
	    now < request->next_action_ms)
		return;
	request->next_action_ms = 0;
	if (request->state == REQUEST_BACKOFF)
		dispatch_requeue(dispatch, request);
	else if (request->state == REQUEST_SENT)
		send_hedge(dispatch, request);
}

/* An agent that is suspect but still sends messages for this attempt is not lost. */
static bool agent_lost(struct dispatch *dispatch, const struct request_attempt *attempt,
		       uint64_t now)
{
	if (!route_is_known(dispatch->route, attempt->peer))
		return true;
	return now - attempt->last_message_ms >= MEMBER_SUSPECT_MS &&
	       !route_is_alive(dispatch->route, attempt->peer);
}

static void close_lost_attempts(struct dispatch *dispatch, struct request *request, uint64_t now)
{
	for (int i = 0; i < 2 && request->state == REQUEST_SENT; i++) {
		struct request_attempt *attempt = &request->attempts[i];

		if (attempt->id && agent_lost(dispatch, attempt, now))
			attempt_lost(dispatch, attempt, "agent_lost");
	}
}

/* Calls @visit for every active request; it may finish the request that it gets. */
static void for_each_active(struct dispatch *dispatch, uint64_t now,
			    void (*visit)(struct dispatch *dispatch, struct request *request,
					  uint64_t now))
{
	struct request *next;

	for (struct request *request = dispatch->active; request; request = next) {
		next = request->next;
		request_ref(request);
		visit(dispatch, request, now);
		request_unref(request);
	}
}

/* The HTTP server does not poll suspended connections, so closed ones are detected here. */
static void abandon_gone_callers(struct dispatch *dispatch)
{
	size_t count = 0;
	struct pollfd *fds = g_new0(struct pollfd, dispatch->active_count + 1);
	struct request **owners = g_new0(struct request *, dispatch->active_count + 1);

	for (struct request *request = dispatch->active; request; request = request->next) {
		pthread_mutex_lock(&request->lock);
		if (request->suspended) {
			fds[count].fd = request->fd;
			fds[count].events = POLLRDHUP;
			owners[count++] = request_ref(request);
		}
		pthread_mutex_unlock(&request->lock);
	}
	if (poll(fds, count, 0) < 0)
		count = 0;
	for (size_t i = 0; i < count; i++) {
		if (fds[i].revents & (POLLRDHUP | POLLHUP | POLLERR))
			dispatch_abandon(dispatch, owners[i]);
	}
	for (size_t i = 0; owners[i]; i++)
		request_unref(owners[i]);
	g_free(owners);
	g_free(fds);
}

static void start_tick(struct dispatch *dispatch);

static void on_tick(struct tevent_context *ev, struct tevent_timer *te, struct timeval current,
		    void *data)
{
	struct dispatch *dispatch = data;
	uint64_t now = util_clock_ms();

	dispatch->tick_timer = NULL;
	for_each_active(dispatch, now, advance_request);
	if (now - dispatch->last_sweep_ms >= SWEEP_MS) {
		dispatch->last_sweep_ms = now;
		for_each_active(dispatch, now, close_lost_attempts);
		abandon_gone_callers(dispatch);
	}
	queue_each_service(dispatch->queue, send_waiting_of_service, dispatch);
	metrics_set(dispatch->deps.metrics, dispatch->metric_active, dispatch->active_count);
	metrics_set(dispatch->deps.metrics, dispatch->metric_waiting,
		    queue_waiting(dispatch->queue, NULL));
	start_tick(dispatch);
}

static void start_tick(struct dispatch *dispatch)
{
	if (!dispatch->tick_timer && dispatch->active)
		dispatch->tick_timer = tevent_add_timer(
			dispatch->deps.ev, dispatch, tevent_timeval_current_ofs(0, TICK_MS * 1000),
			on_tick, dispatch);
}

/* Returns an error for a request that is not expected to end before its deadline. */
static int check_feasible(struct dispatch *dispatch, struct request *request)
{
	struct class_latency *latency = get_class_latency(dispatch, request->class_->name);
	struct route_capacity capacity;
	uint64_t now_ms = util_clock_ms();
	uint64_t left_us =
		request->deadline_ms > now_ms ? (request->deadline_ms - now_ms) * 1000 : 0;
	uint64_t wait_us = 0;

	route_capacity(dispatch->route, request->service, now_ms, &capacity);
	if (!capacity.targets && !capacity.expected)
		return err_set(&request->err, ERR_NO_TARGET, "retry later",
			       "no instance of service %.64s is available", request->service);
	if (capacity.slots)
		wait_us = queue_ahead(dispatch->queue, &request->flow) * capacity.latency_us /
			  capacity.slots;
	if (left_us && wait_us + latency->us <= left_us)
		return 0;
	latency->us -= latency->us >> LATENCY_DECAY_SHIFT;
	return err_set(&request->err, ERR_DEADLINE, "allow more time, or retry later with backoff",
		       "a wait of %" PRIu64 " ms and a run of %" PRIu64
		       " ms are expected, which the deadline does not allow",
		       wait_us / 1000, latency->us / 1000);
}

static int check_store(struct dispatch *dispatch, struct request *request)
{
	if (!request->needs_claim || store_healthy(dispatch->deps.store))
		return 0;
	return err_set(&request->err, ERR_UNAVAILABLE, "retry with the same key",
		       "the store that records idempotency keys is unavailable");
}

void dispatch_submit(struct dispatch *dispatch, struct request *request)
{
	link_active(dispatch, request);
	start_tick(dispatch);
	metrics_add(dispatch->deps.metrics, dispatch->metric_requests, 1);
	retry_add_request(dispatch->retry);
	request->state = REQUEST_QUEUED;
	request->item.owner = request;
	request->dispatch = dispatch;
	request->flow = (struct queue_flow_spec){
		.service = request->service,
		.class_name = request->class_->name,
		.organisation = request->organisation->name,
		.urgent = request->class_->urgent,
		.weight = request->class_->weight,
		.share = request->organisation->share,
		.max_queue = request->class_->max_queue,
	};
	/* Keeps the service name valid if the request ends below. */
	request_ref(request);
	if (check_store(dispatch, request) || check_feasible(dispatch, request) ||
	    queue_push(dispatch->queue, &request->item, &request->flow, &request->err))
		dispatch_refuse(dispatch, request, REQUEST_NOT_RUN);
	else
		dispatch_send_waiting(dispatch, request->service);
	request_unref(request);
}

void dispatch_abandon(struct dispatch *dispatch, struct request *request)
{
	if (request->state == REQUEST_NEW || request->state == REQUEST_DONE)
		return;
	metrics_count_refusal(dispatch->deps.metrics, "caller_gone");
	log_info("request_caller_gone", request->id, "the caller closed its connection");
	if (request->claimed && request->state != REQUEST_SENT && !request->may_have_run)
		claims_release(dispatch->deps.claims, request->key_hash, request->claim_revision);
	request_abort_answer(request);
	dispatch_finish(dispatch, request);
}

static void grant_credit(void *arg)
{
	struct request *request = arg;
	struct dispatch *dispatch = request->dispatch;
	struct msg msg = {.type = MSG_CREDIT};
	uint64_t consumed;

	pthread_mutex_lock(&request->lock);
	consumed = request->consumed;
	pthread_mutex_unlock(&request->lock);
	for (int i = 0; i < 2; i++) {
		const struct request_attempt *attempt = &request->attempts[i];

		if (!attempt->id || !attempt->received || consumed == request->credit_granted)
			continue;
		msg.u.credit.id = attempt->id;
		msg.u.credit.bytes = consumed - request->credit_granted;
		/* If the send buffer is full, the next grant includes these bytes. */
		if (!wire_send(dispatch->deps.wire, attempt->peer, &msg))
			request->credit_granted = consumed;
	}
	request_unref(request);
}

void dispatch_consumed(struct dispatch *dispatch, struct request *request)
{
	if (request->consumed - request->consumed_reported < REQUEST_CREDIT_STEP_BYTES)
		return;
	request->consumed_reported = request->consumed;
	request_ref(request);
	loopq_push(dispatch->deps.loop, grant_credit, request);
}

static void update_target(struct dispatch *dispatch, const struct config *config,
			  const struct member_target *target)
{
	bool drained = config && config_drained(config, target->target, target->rack, target->zone);

	route_update(dispatch->route, target, drained);
}

static void on_target(const struct member_target *target, void *ctx)
{
	struct dispatch *dispatch = ctx;
	struct config *config = configrepo_current(dispatch->deps.configs);

	update_target(dispatch, config, target);
	if (config)
		configrepo_release(dispatch->deps.configs, config);
	if (target->kind == MSG_TARGET_SERVICE)
		dispatch_send_waiting(dispatch, target->service);
}

static void on_load(const char *peer, uint32_t in_flight, void *ctx)
{
	struct dispatch *dispatch = ctx;

	route_set_load(dispatch->route, peer, in_flight, util_clock_ms());
}

void dispatch_configure(struct dispatch *dispatch, const struct config *config)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct member_target *targets;
	size_t count = member_targets(dispatch->deps.members, mem, MSG_TARGET_SERVICE, &targets);

	queue_set_total(dispatch->queue, config->limits.queue_total);
	retry_set_limits(dispatch->retry, config->limits.retry_percent, config->limits.retry_per_s);
	route_set_eject_percent(dispatch->route, config->limits.eject_percent);
	for (size_t i = 0; i < count; i++)
		update_target(dispatch, config, &targets[i]);
	talloc_free(mem);
}

static int dispatch_destructor(struct dispatch *dispatch)
{
	while (dispatch->active) {
		request_abort_answer(dispatch->active);
		dispatch_finish(dispatch, dispatch->active);
	}
	g_hash_table_destroy(dispatch->attempts);
	g_hash_table_destroy(dispatch->latencies);
	return 0;
}

struct dispatch *dispatch_create(TALLOC_CTX *mem, const struct dispatch_deps *deps)
{
	struct dispatch *dispatch = talloc_zero(mem, struct dispatch);
	struct member_handlers handlers = {
		.on_target = on_target, .on_load = on_load, .ctx = dispatch};
	uint64_t seeds[2];

	util_random_bytes(seeds, sizeof(seeds));
	dispatch->deps = *deps;
	dispatch->queue = queue_create(dispatch);
	dispatch->route = route_create(dispatch, deps->zone, seeds[0]);
	dispatch->retry = retry_create(dispatch, seeds[1], util_clock_ms());
	dispatch->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	dispatch->latencies = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	dispatch->metric_requests =
		metrics_define(deps->metrics, METRICS_COUNTER, "jaycourse_requests_total", "",
			       "Requests that passed the filters");
	dispatch->metric_late =
		metrics_define(deps->metrics, METRICS_COUNTER, "jaycourse_late_messages_total", "",
			       "Messages for requests that had ended, or out of order");
	dispatch->metric_active =
		metrics_define(deps->metrics, METRICS_GAUGE, "jaycourse_requests_active", "",
			       "Requests that have not ended");
	dispatch->metric_waiting =
		metrics_define(deps->metrics, METRICS_GAUGE, "jaycourse_requests_waiting", "",
			       "Requests that wait for a target");
	talloc_set_destructor(dispatch, dispatch_destructor);
	member_subscribe(deps->members, &handlers);
	return dispatch;
}
