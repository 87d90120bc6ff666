#include "dispatch_int.h"
#include "log.h"
#include "util.h"

#include <inttypes.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>

#define TICK_MS 20   /* resolution of deadlines, backoff and hedging */
#define SWEEP_MS 200 /* between looks for lost agents and callers */
#define LATENCY_SHIFT 3
/* Each refusal lowers the estimate it relied on, so that one slow spell cannot refuse for ever. */
#define LATENCY_DECAY_SHIFT 4

struct class_latency {
	uint64_t us;
};

struct claim_call {
	struct dispatch *d;
	struct request *r; /* own reference */
	char *peer;
	int64_t clock_offset_ms;
};

size_t dispatch_active(const struct dispatch *d)
{
	return d->active_count;
}

static struct class_latency *latency_of(struct dispatch *d, const char *class_name)
{
	struct class_latency *latency = g_hash_table_lookup(d->latencies, class_name);

	if (!latency) {
		latency = g_new0(struct class_latency, 1);
		g_hash_table_insert(d->latencies, g_strdup(class_name), latency);
	}
	return latency;
}

void dispatch_learn(struct dispatch *d, const char *class_name, uint64_t us)
{
	struct class_latency *latency = latency_of(d, class_name);

	if (!latency->us)
		latency->us = us;
	else
		latency->us = latency->us - (latency->us >> LATENCY_SHIFT) + (us >> LATENCY_SHIFT);
}

static void link_active(struct dispatch *d, struct request *r)
{
	r->prev = NULL;
	r->next = d->active;
	if (d->active)
		d->active->prev = r;
	d->active = r;
	d->active_count++;
}

static void unlink_active(struct dispatch *d, struct request *r)
{
	if (r->prev)
		r->prev->next = r->next;
	else
		d->active = r->next;
	if (r->next)
		r->next->prev = r->prev;
	d->active_count--;
}

void dispatch_finish(struct dispatch *d, struct request *r)
{
	if (r->state == REQUEST_DONE)
		return;
	r->state = REQUEST_DONE;
	queue_remove(d->queue, &r->item);
	for (int i = 0; i < 2; i++)
		attempt_close(d, &r->attempts[i], ROUTE_NEUTRAL, true);
	unlink_active(d, r);
	request_unref(r);
}

void dispatch_refuse(struct dispatch *d, struct request *r, enum request_outcome outcome)
{
	metrics_refusal(d->deps.metrics, outcome == REQUEST_NOT_RUN ? err_name((int)r->err.code)
								    : "outcome_unknown");
	if (outcome == REQUEST_NOT_RUN) {
		log_debug("request_refused", r->id, "%s", r->err.message);
		if (r->claimed)
			claims_drop(d->deps.claims, r->key_hash, r->claim_revision);
	} else {
		log_warn("request_outcome_unknown", r->id, "%s", r->err.message);
	}
	request_fail(r, &r->err, outcome);
	dispatch_finish(d, r);
}

void dispatch_exclude(struct request *r, const char *peer)
{
	uint32_t at = r->excluded_count % ROUTE_EXCLUDE_MAX;

	talloc_free(r->excluded[at]);
	r->excluded[at] = talloc_strdup(r, peer);
	r->excluded_count++;
}

void dispatch_requeue(struct dispatch *d, struct request *r)
{
	r->state = REQUEST_QUEUED;
	queue_push_front(d->queue, &r->item, &r->place);
	dispatch_pump(d, r->service);
}

void dispatch_retry(struct dispatch *d, struct request *r, const char *reason)
{
	uint64_t now = util_clock_ms();
	enum request_outcome outcome = r->may_have_run ? REQUEST_UNKNOWN : REQUEST_NOT_RUN;

	if (now >= r->deadline_ms) {
		err_set(&r->err, ERR_DEADLINE, "retry with more time",
			"the deadline passed before a target answered (%s)", reason);
		dispatch_refuse(d, r, outcome);
		return;
	}
	if (!retry_take(d->retry, now)) {
		err_set(&r->err, r->may_have_run ? ERR_OUTCOME_UNKNOWN : ERR_UNAVAILABLE,
			"retry later with backoff", "the retry budget is used up (%s)", reason);
		dispatch_refuse(d, r, outcome);
		return;
	}
	metrics_retry(d->deps.metrics, reason);
	r->state = REQUEST_BACKOFF;
	r->step_ms = now + retry_backoff_ms(d->retry, r->tries++);
}

static void on_claimed(int status, const struct claim_record *found, void *ctx);

static void start_claim(struct dispatch *d, struct request *r, const struct route_choice *choice)
{
	struct claim_call *call = talloc_zero(d, struct claim_call);
	char mark[REQUEST_ID_MAX + 16];
	struct claim_record record = {
		.entry = d->deps.self,
		.agent = choice->peer,
		.organisation = r->organisation->name,
		.service = r->service,
		.key = r->key,
		.mark = mark,
		.mod_revision = r->claim_revision,
	};

	snprintf(mark, sizeof(mark), "%s.%" PRIu32, r->id, ++r->claim_serial);
	call->d = d;
	call->r = request_ref(r);
	call->peer = talloc_strdup(call, choice->peer);
	call->clock_offset_ms = choice->clock_offset_ms;
	r->state = REQUEST_CLAIMING;
	claims_take(d->deps.claims, r->key_hash, &record, r->class_->idempotency_ttl_s, on_claimed,
		    call);
}

static void send_or_requeue(struct dispatch *d, struct request *r, const char *peer,
			    int64_t clock_offset_ms)
{
	if (!attempt_send(d, r, peer, clock_offset_ms))
		return;
	route_done(d->route, peer, ROUTE_NEUTRAL, 0, util_clock_ms());
	route_unreachable(d->route, peer, util_clock_ms());
	metrics_retry(d->deps.metrics, "not_delivered");
	dispatch_requeue(d, r);
}

/* Guards against two keys with the same hash. */
static bool same_key(const struct request *r, const struct claim_record *found)
{
	return !strcmp(found->organisation, r->organisation->name) &&
	       !strcmp(found->service, r->service) && !strcmp(found->key, r->key);
}

/* Somebody claimed the key before: follow that run. */
static void join(struct dispatch *d, struct request *r, const struct claim_record *found)
{
	if (!same_key(r, found)) {
		err_set(&r->err, ERR_CONFLICT, "use another key",
			"the idempotency key's hash belongs to another key");
		dispatch_refuse(d, r, REQUEST_NOT_RUN);
		return;
	}
	r->claim_revision = found->mod_revision;
	r->claimed = false;
	metrics_count(d->deps.metrics, "jaycourse_claim_joins_total", "",
		      "Requests that followed an earlier run of their key");
	if (!attempt_query(d, r, found->agent))
		return;
	err_set(&r->err, ERR_OUTCOME_UNKNOWN, "check the effect before sending a new key",
		"an earlier request with this key went to an agent that is gone");
	dispatch_refuse(d, r, REQUEST_UNKNOWN);
}

static void on_claimed(int status, const struct claim_record *found, void *ctx)
{
	struct claim_call *call = ctx;
	struct dispatch *d = call->d;
	struct request *r = call->r;
	bool over = r->state == REQUEST_DONE;

	if (over && !status)
		claims_drop(d->deps.claims, r->key_hash, found->mod_revision);
	if (over || status)
		route_done(d->route, call->peer, ROUTE_NEUTRAL, 0, util_clock_ms());
	if (!over && !status) {
		r->claimed = true;
		r->claim_revision = found->mod_revision;
		send_or_requeue(d, r, call->peer, call->clock_offset_ms);
	} else if (!over && status == -ERR_CONFLICT) {
		join(d, r, found);
	} else if (!over) {
		err_set(&r->err, ERR_UNAVAILABLE, "retry with the same key",
			"the key could not be recorded because the store is unavailable");
		dispatch_refuse(d, r, REQUEST_NOT_RUN);
	}
	request_unref(r);
	talloc_free(call);
}

/* Sends the request to a target; false when none has room for it. */
static bool place_request(struct dispatch *d, struct request *r)
{
	struct route_choice choice;
	uint64_t now = util_clock_ms();
	int ret = route_choose(d->route, r->service, (const char *const *)r->excluded,
			       ROUTE_EXCLUDE_MAX, r->idempotent, now, &choice);

	if (ret && r->excluded_count)
		ret = route_choose(d->route, r->service, NULL, 0, r->idempotent, now, &choice);
	if (ret)
		return false;
	if (r->needs_claim)
		start_claim(d, r, &choice);
	else
		send_or_requeue(d, r, choice.peer, choice.clock_offset_ms);
	return true;
}

void dispatch_pump(struct dispatch *d, const char *service)
{
	if (d->pumping)
		return;
	d->pumping = true;
	while (queue_waiting(d->queue, service) &&
	       route_has_room(d->route, service, util_clock_ms())) {
		struct queue_item *item = queue_pop(d->queue, service);
		struct request *r = item->owner;

		if (place_request(d, r))
			continue;
		queue_push_front(d->queue, item, &r->place);
		break;
	}
	d->pumping = false;
}

static void pump_service(const char *service, void *ctx)
{
	dispatch_pump(ctx, service);
}

static void on_deadline(struct dispatch *d, struct request *r)
{
	bool out = r->state == REQUEST_SENT || r->may_have_run;

	err_set(&r->err, ERR_DEADLINE,
		out ? "check the effect before retrying, or use an idempotency key"
		    : "retry, with more time if this happens often",
		out ? "no target had answered whole by the deadline"
		    : "no target was free before the deadline");
	dispatch_refuse(d, r, out ? REQUEST_UNKNOWN : REQUEST_NOT_RUN);
}

/* Sends an idempotent request that takes long to a second target as well. */
static void hedge(struct dispatch *d, struct request *r)
{
	const char *first = r->attempts[0].id ? r->attempts[0].peer : r->attempts[1].peer;
	struct route_choice choice;
	uint64_t now = util_clock_ms();

	if (!first || (r->attempts[0].id && r->attempts[1].id) || r->attempts[0].received ||
	    r->attempts[1].received)
		return;
	if (route_choose(d->route, r->service, &first, 1, false, now, &choice))
		return;
	if (retry_take(d->retry, now)) {
		metrics_retry(d->deps.metrics, "hedge");
		if (!attempt_send(d, r, choice.peer, choice.clock_offset_ms))
			return;
	}
	route_done(d->route, choice.peer, ROUTE_NEUTRAL, 0, now);
}

static void step(struct dispatch *d, struct request *r, uint64_t now)
{
	if (now >= r->deadline_ms) {
		on_deadline(d, r);
		return;
	}
	for (int i = 0; i < 2 && r->state == REQUEST_SENT; i++) {
		struct request_attempt *a = &r->attempts[i];

		if (a->id && a->due_ms && now >= a->due_ms)
			attempt_overdue(d, a);
		else if (a->id)
			attempt_tick(a);
	}
	if (r->state == REQUEST_DONE || !r->step_ms || now < r->step_ms)
		return;
	r->step_ms = 0;
	if (r->state == REQUEST_BACKOFF)
		dispatch_requeue(d, r);
	else if (r->state == REQUEST_SENT)
		hedge(d, r);
}

/* A suspect agent that still sends for this request is not lost to it. */
static bool agent_lost(struct dispatch *d, const struct request_attempt *a, uint64_t now)
{
	if (!route_known(d->route, a->peer))
		return true;
	return now - a->heard_ms >= MEMBER_SUSPECT_MS && !route_alive(d->route, a->peer);
}

static void check_agents(struct dispatch *d, struct request *r, uint64_t now)
{
	for (int i = 0; i < 2 && r->state == REQUEST_SENT; i++) {
		struct request_attempt *a = &r->attempts[i];

		if (a->id && agent_lost(d, a, now))
			attempt_lost(d, a, "agent_lost");
	}
}

/* Visits every active request; the visitor may finish the one it is given. */
static void each_active(struct dispatch *d, uint64_t now,
			void (*visit)(struct dispatch *d, struct request *r, uint64_t now))
{
	struct request *next;

	for (struct request *r = d->active; r; r = next) {
		next = r->next;
		request_ref(r);
		visit(d, r, now);
		request_unref(r);
	}
}

/* The HTTP server does not watch suspended connections, so this does. */
static void find_gone_callers(struct dispatch *d)
{
	size_t count = 0;
	struct pollfd *fds = g_new0(struct pollfd, d->active_count + 1);
	struct request **owners = g_new0(struct request *, d->active_count + 1);

	for (struct request *r = d->active; r; r = r->next) {
		pthread_mutex_lock(&r->lock);
		if (r->suspended) {
			fds[count].fd = r->fd;
			fds[count].events = POLLRDHUP;
			owners[count++] = request_ref(r);
		}
		pthread_mutex_unlock(&r->lock);
	}
	if (poll(fds, count, 0) < 0)
		count = 0;
	for (size_t i = 0; i < count; i++) {
		if (fds[i].revents & (POLLRDHUP | POLLHUP | POLLERR))
			dispatch_abandon(d, owners[i]);
	}
	for (size_t i = 0; owners[i]; i++)
		request_unref(owners[i]);
	g_free(owners);
	g_free(fds);
}

static void start_tick(struct dispatch *d);

static void on_tick(struct tevent_context *ev, struct tevent_timer *te, struct timeval current,
		    void *data)
{
	struct dispatch *d = data;
	uint64_t now = util_clock_ms();

	d->tick = NULL;
	each_active(d, now, step);
	if (now - d->last_sweep_ms >= SWEEP_MS) {
		d->last_sweep_ms = now;
		each_active(d, now, check_agents);
		find_gone_callers(d);
	}
	queue_each_service(d->queue, pump_service, d);
	metrics_set(d->deps.metrics, d->gauge_active, d->active_count);
	metrics_set(d->deps.metrics, d->gauge_waiting, queue_waiting(d->queue, NULL));
	start_tick(d);
}

static void start_tick(struct dispatch *d)
{
	if (!d->tick && d->active)
		d->tick = tevent_add_timer(
			d->deps.ev, d, tevent_timeval_current_ofs(0, TICK_MS * 1000), on_tick, d);
}

/* Refuses a request that would still wait or run at its deadline. */
static int check_feasible(struct dispatch *d, struct request *r)
{
	struct class_latency *latency = latency_of(d, r->class_->name);
	struct route_capacity capacity;
	uint64_t left_us = (r->deadline_ms - util_clock_ms()) * 1000;
	uint64_t wait_us = 0;

	route_capacity(d->route, r->service, &capacity);
	if (!capacity.targets)
		return err_set(&r->err, ERR_NO_TARGET, "retry later",
			       "no instance of service %.64s is available", r->service);
	if (capacity.slots)
		wait_us = queue_ahead(d->queue, &r->place) * capacity.latency_us / capacity.slots;
	if (wait_us + latency->us <= left_us)
		return 0;
	latency->us -= latency->us >> LATENCY_DECAY_SHIFT;
	return err_set(&r->err, ERR_DEADLINE, "allow more time, or retry later with backoff",
		       "a wait of %" PRIu64 " ms and a run of %" PRIu64
		       " ms are expected, which the deadline does not allow",
		       wait_us / 1000, latency->us / 1000);
}

static int check_store(struct dispatch *d, struct request *r)
{
	if (!r->needs_claim || store_healthy(d->deps.store))
		return 0;
	return err_set(&r->err, ERR_UNAVAILABLE, "retry with the same key",
		       "the store that records idempotency keys is unavailable");
}

void dispatch_submit(struct dispatch *d, struct request *r)
{
	link_active(d, r);
	start_tick(d);
	metrics_add(d->deps.metrics, d->requests, 1);
	retry_on_request(d->retry);
	r->state = REQUEST_QUEUED;
	r->item.owner = r;
	r->dispatch = d;
	r->place = (struct queue_flow_spec){
		.service = r->service,
		.class_name = r->class_->name,
		.organisation = r->organisation->name,
		.urgent = r->class_->urgent,
		.weight = r->class_->weight,
		.share = r->organisation->share,
		.max_queue = r->class_->max_queue,
	};
	/* The request may end below, but its names are still needed. */
	request_ref(r);
	if (check_store(d, r) || check_feasible(d, r) ||
	    queue_push(d->queue, &r->item, &r->place, &r->err))
		dispatch_refuse(d, r, REQUEST_NOT_RUN);
	else
		dispatch_pump(d, r->service);
	request_unref(r);
}

void dispatch_abandon(struct dispatch *d, struct request *r)
{
	if (r->state == REQUEST_NEW || r->state == REQUEST_DONE)
		return;
	metrics_refusal(d->deps.metrics, "caller_gone");
	log_info("request_caller_gone", r->id, "the caller closed its connection");
	if (r->claimed && r->state != REQUEST_SENT && !r->may_have_run)
		claims_drop(d->deps.claims, r->key_hash, r->claim_revision);
	request_cut(r);
	dispatch_finish(d, r);
}

static void give_credit(void *arg)
{
	struct request *r = arg;
	struct dispatch *d = r->dispatch;
	struct msg msg = {.type = MSG_CREDIT};
	uint64_t consumed;

	pthread_mutex_lock(&r->lock);
	consumed = r->consumed;
	pthread_mutex_unlock(&r->lock);
	for (int i = 0; i < 2; i++) {
		const struct request_attempt *a = &r->attempts[i];

		if (!a->id || !a->received || consumed == r->credited)
			continue;
		msg.u.credit.id = a->id;
		msg.u.credit.bytes = consumed - r->credited;
		/* What a full send buffer refuses is granted with the next step. */
		if (!wire_send(d->deps.wire, a->peer, &msg))
			r->credited = consumed;
	}
	request_unref(r);
}

void dispatch_consumed(struct dispatch *d, struct request *r)
{
	if (r->consumed - r->reported < REQUEST_CREDIT_STEP)
		return;
	r->reported = r->consumed;
	request_ref(r);
	loopq_push(d->deps.loop, give_credit, r);
}

static void update_target(struct dispatch *d, const struct config *config,
			  const struct member_target *t)
{
	bool drained = config && config_drained(config, t->target, t->rack, t->zone);

	route_update(d->route, t, drained);
}

static void on_target(const struct member_target *target, void *ctx)
{
	struct dispatch *d = ctx;
	struct config *config = configrepo_current(d->deps.configs);

	update_target(d, config, target);
	if (config)
		configrepo_release(d->deps.configs, config);
	if (target->kind == MSG_TARGET_SERVICE)
		dispatch_pump(d, target->service);
}

static void on_load(const char *peer, uint32_t in_flight, void *ctx)
{
	struct dispatch *d = ctx;

	route_load(d->route, peer, in_flight, util_clock_ms());
}

void dispatch_configure(struct dispatch *d, const struct config *config)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct member_target *targets;
	size_t count = member_targets(d->deps.members, mem, MSG_TARGET_SERVICE, &targets);

	queue_set_total(d->queue, config->limits.queue_total);
	retry_set_limits(d->retry, config->limits.retry_percent, config->limits.retry_per_s);
	route_set_eject_percent(d->route, config->limits.eject_percent);
	for (size_t i = 0; i < count; i++)
		update_target(d, config, &targets[i]);
	talloc_free(mem);
}

static int dispatch_destructor(struct dispatch *d)
{
	while (d->active) {
		request_cut(d->active);
		dispatch_finish(d, d->active);
	}
	g_hash_table_destroy(d->attempts);
	g_hash_table_destroy(d->latencies);
	return 0;
}

struct dispatch *dispatch_create(TALLOC_CTX *mem, const struct dispatch_deps *deps)
{
	struct dispatch *d = talloc_zero(mem, struct dispatch);
	struct member_handlers handlers = {.on_target = on_target, .on_load = on_load, .ctx = d};
	uint64_t seeds[2];

	util_random_bytes(seeds, sizeof(seeds));
	d->deps = *deps;
	d->queue = queue_create(d);
	d->route = route_create(d, deps->zone, seeds[0]);
	d->retry = retry_create(d, seeds[1], util_clock_ms());
	d->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	d->latencies = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	d->requests = metrics_define(deps->metrics, METRICS_COUNTER, "jaycourse_requests_total", "",
				     "Requests that passed the filters");
	d->late = metrics_define(deps->metrics, METRICS_COUNTER, "jaycourse_late_messages_total",
				 "", "Messages for requests that had ended, or out of order");
	d->gauge_active = metrics_define(deps->metrics, METRICS_GAUGE, "jaycourse_requests_active",
					 "", "Requests that have not ended");
	d->gauge_waiting =
		metrics_define(deps->metrics, METRICS_GAUGE, "jaycourse_requests_waiting", "",
			       "Requests that wait for a target");
	talloc_set_destructor(d, dispatch_destructor);
	member_subscribe(deps->members, &handlers);
	return d;
}
