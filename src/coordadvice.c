#include "coord_int.h"

#include "log.h"
#include "util.h"

#include <inttypes.h>

/*
 * The advice service handles one call at a time for each calling host. A second call would only
 * queue behind the first, and a more urgent step could not overtake it there.
 */
#define CALLS_MAX 1
#define RETRY_MS 200
#define BUSY_RETRY_MS 1000
/* A ticket must still be valid when the order reaches the worker, some milliseconds later. */
#define TICKET_MARGIN_MS 100

/* A call to the advice service; may outlive the controller. */
struct advice_call {
	void *call; /* of callref_begin() */
	struct plan_advice_query query;
	uint64_t sent_ms;
};

static void apply_answer(struct coord *coord, const struct advice_call *call,
			 const struct advice_answer *answer)
{
	uint32_t valid_ms =
		answer->valid_ms > TICKET_MARGIN_MS ? answer->valid_ms - TICKET_MARGIN_MS : 0;

	log_info("advice_taken", call->query.step,
		 "%zu of %zu workers may run the step, answer after %" PRIu64
		 " ms; tickets valid for %u ms",
		 answer->count, call->query.count, util_clock_ms() - call->sent_ms,
		 answer->valid_ms);
	plan_advice_take(coord->plan, &call->query, answer->rows, answer->count,
			 util_clock_ms() + valid_ms);
}

static void on_answer(int status, const struct advice_answer *answer, void *ctx)
{
	struct advice_call *call = ctx;
	struct coord *coord = callref_end(call->call);

	if (coord) {
		coord->advice_calls--;
		metrics_observe(&coord->advice_ms, util_clock_ms() - call->sent_ms);
		if (status == 0) {
			apply_answer(coord, call, answer);
		} else {
			log_info("advice_retry", call->query.step, "%s", err_name(status));
			plan_advice_failed(coord->plan, call->query.step,
					   util_clock_ms() + (status == -ERR_QUEUE_FULL
								      ? BUSY_RETRY_MS
								      : RETRY_MS));
		}
		coord_schedule_decision(coord);
	}
	talloc_free(call);
}

void coord_ask_advice(struct coord *coord, uint64_t now_ms)
{
	while (coord->deps.advice && coord->advice_calls < CALLS_MAX) {
		struct advice_call *call = talloc_zero(NULL, struct advice_call);

		call->sent_ms = now_ms;
		if (!plan_advice_wanted(coord->plan, call, now_ms, &call->query)) {
			talloc_free(call);
			return;
		}
		coord->advice_calls++;
		call->call = callref_begin(coord->calls);
		coord->deps.advice->ask(coord->deps.advice->impl, &call->query, on_answer, call);
	}
}
