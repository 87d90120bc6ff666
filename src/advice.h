#ifndef JAYCOURSE_ADVICE_H
#define JAYCOURSE_ADVICE_H

#include "plan.h"

/**
 * DOC: The service that says which workers may run a step
 *
 * A queue may have a policy that only this service knows. How it is spoken to is behind
 * &struct advice_calls.
 */

/** struct advice_answer - @valid_ms: how long the tickets hold, from the answer on */
struct advice_answer {
	const struct plan_advice_row *rows;
	size_t count;
	uint32_t valid_ms;
};

/**
 * struct advice_calls - calls to the service
 * @ask: the callback runs once, from the loop; status 0 with an answer, borrowed for the call;
 *	-ERR_QUEUE_FULL: too many calls wait there; others: no usable answer. @query is borrowed
 *until the function returns.
 */
struct advice_calls {
	void (*ask)(void *impl, const struct plan_advice_query *query,
		    void (*done)(int status, const struct advice_answer *answer, void *ctx),
		    void *ctx);
	void *impl;
};

#endif
