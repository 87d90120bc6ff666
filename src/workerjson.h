#ifndef JAYCOURSE_WORKERJSON_H
#define JAYCOURSE_WORKERJSON_H

#include "worker.h"

#include <jansson.h>

/**
 * DOC: JSON bodies of the worker's task API
 */

/** workerjson_number() - value of an integer field; 0 if it is missing or negative */
uint64_t workerjson_number(json_t *root, const char *field);

/** workerjson_error() - error text of a response, borrowed from @root */
const char *workerjson_error(json_t *root);

/**
 * struct workerjson_lease - a lease that the worker is asked for
 * @until_ms: end of the lease by the worker's clock; 0 if that clock is unknown
 * @incarnation: of the worker that the request is meant for; 0 if it is unknown
 */
struct workerjson_lease {
	uint64_t until_ms;
	uint64_t incarnation;
};

/** workerjson_start() - body of PUT /tasks/ID; the caller frees it */
char *workerjson_start(const struct worker_task_spec *spec, const struct workerjson_lease *lease);

/** workerjson_renew() - body of POST /tasks/ID/renew; the caller frees it */
char *workerjson_renew(const struct workerjson_lease *lease);

/** workerjson_state() - state for its name in the list of tasks; 0 if there is no such name */
enum worker_task_state workerjson_state(const char *text);

/** workerjson_complete() - true if @list is an array of which each item has an id and a state */
bool workerjson_complete(json_t *list);

/** workerjson_contains() - true if the list of tasks contains task @id */
bool workerjson_contains(json_t *list, const char *id);

#endif
