#ifndef JAYCOURSE_ADVICE_H
#define JAYCOURSE_ADVICE_H

#include "plan.h"

/**
 * DOC: Interface of the advice service, which decides on which workers a step may run
 *
 * A queue may have a placement policy that only this service knows. &struct advice_calls hides the
 * protocol of the service.
 */

/**
 * struct advice_answer - workers on which a step may run
 * @rows: array of @count workers, each with the ticket that allows the start
 * @count: number of rows
 * @valid_ms: time for which the tickets are valid, counted from the answer
 */
struct advice_answer {
	const struct plan_advice_row *rows;
	size_t count;
	uint32_t valid_ms;
};

/**
 * struct advice_calls - calls to the advice service
 * @ask: request advice for a step. @query is borrowed until the function returns. @done runs
 *	exactly once, from the event loop, with status 0 and an answer that is borrowed for the
 *	call; -ERR_QUEUE_FULL: too many calls are waiting at the service; other errors: no usable
 *	answer.
 * @impl: state of the implementation, passed to @ask
 */
struct advice_calls {
	void (*ask)(void *impl, const struct plan_advice_query *query,
		    void (*done)(int status, const struct advice_answer *answer, void *ctx),
		    void *ctx);
	void *impl;
};

#endif
