#ifndef JAYCOURSE_QUEUE_H
#define JAYCOURSE_QUEUE_H

#include "err.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: Bounded queues of waiting requests
 *
 * For each service, requests wait by organisation and class. Organisations are served by
 * weighted deficit round robin, and so are the classes of one organisation. Urgent classes
 * go first; the others keep a tenth of the turns. Pure, one thread.
 */

#define QUEUE_NON_URGENT_PERCENT 10 /* turns of classes that are not urgent, when both wait */

struct queue;
struct queue_flow;

/* Member of the object that waits; zero before the first push. */
struct queue_item {
	struct queue_item *next;
	struct queue_item *prev;
	struct queue_flow *flow; /* NULL when not queued */
	void *owner;
};

/* Where a request waits; strings are borrowed for the call. */
struct queue_place {
	const char *service;
	const char *class_name;
	const char *organisation;
	bool urgent;
	double weight;	    /* of the class; 0 means 1 */
	double share;	    /* of the organisation; 0 means 1 */
	uint32_t max_queue; /* of this class and organisation; 0: no own limit */
};

struct queue *queue_create(TALLOC_CTX *mem);

/** queue_set_total() - limit of all waiting requests; 0: none */
void queue_set_total(struct queue *queue, uint32_t total);

/** queue_push() - append; 0 or -ERR_QUEUE_FULL */
int queue_push(struct queue *queue, struct queue_item *item, const struct queue_place *place,
	       struct err *err);

/** queue_push_front() - put an item back that was popped but could not be sent; never refused */
void queue_push_front(struct queue *queue, struct queue_item *item,
		      const struct queue_place *place);

/** queue_pop() - next item of a service, or NULL */
struct queue_item *queue_pop(struct queue *queue, const char *service);

/** queue_remove() - take out an item that is queued */
void queue_remove(struct queue *queue, struct queue_item *item);

/** queue_waiting() - items waiting for a service, or for all when @service is NULL */
size_t queue_waiting(const struct queue *queue, const char *service);

/** queue_ahead() - estimated number of items served before a new one at @place */
size_t queue_ahead(const struct queue *queue, const struct queue_place *place);

/** queue_each_service() - call @visit for each service with waiting items */
void queue_each_service(struct queue *queue, void (*visit)(const char *service, void *ctx),
			void *ctx);

#endif
