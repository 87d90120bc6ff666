#include "coord_int.h"

#include "log.h"
#include "util.h"

#include <inttypes.h>

/*
 * The service handles one call at a time for each host that calls, so a second call would only
 * wait behind the first, and a more urgent step could not overtake it.
 */
#define CALLS_MAX 1
#define RETRY_MS 200
#define BUSY_RETRY_MS 1000
/* An order takes some milliseconds to its worker; a ticket must hold until then. */
#define TICKET_MARGIN_MS 100

/* One call; outlives the controller. */
struct advice_call {
	struct coord_link *link;
	struct plan_advice_query query;
	uint64_t sent_ms;
};

static void take_answer(struct coord *c, const struct advice_call *call,
			const struct advice_answer *answer)
{
	uint32_t valid_ms =
		answer->valid_ms > TICKET_MARGIN_MS ? answer->valid_ms - TICKET_MARGIN_MS : 0;

	log_info("advice_taken", call->query.step,
		 "%zu of %zu workers may run it, after %" PRIu64 " ms; tickets hold for %u ms",
		 answer->count, call->query.count, util_clock_ms() - call->sent_ms,
		 answer->valid_ms);
	plan_advice_take(c->plan, &call->query, answer->rows, answer->count,
			 util_clock_ms() + valid_ms);
}

static void on_answer(int status, const struct advice_answer *answer, void *ctx)
{
	struct advice_call *call = ctx;
	struct coord *c = coord_call_ended(call->link);

	if (c) {
		c->advice_calls--;
		metrics_observe(&c->advice_ms, util_clock_ms() - call->sent_ms);
		if (status == 0) {
			take_answer(c, call, answer);
		} else {
			log_info("advice_retry", call->query.step, "%s", err_name(status));
			plan_advice_failed(c->plan, call->query.step,
					   util_clock_ms() + (status == -ERR_QUEUE_FULL
								      ? BUSY_RETRY_MS
								      : RETRY_MS));
		}
		coord_decide_soon(c);
	}
	talloc_free(call);
}

void coord_ask_advice(struct coord *c, uint64_t now_ms)
{
	while (c->deps.advice && c->advice_calls < CALLS_MAX) {
		struct advice_call *call = talloc_zero(NULL, struct advice_call);

		call->link = c->link;
		call->sent_ms = now_ms;
		if (!plan_advice_wanted(c->plan, call, now_ms, &call->query)) {
			talloc_free(call);
			return;
		}
		c->advice_calls++;
		c->link->calls++;
		c->deps.advice->ask(c->deps.advice->impl, &call->query, on_answer, call);
	}
}
