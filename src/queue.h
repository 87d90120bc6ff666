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
 * Each service has one queue per organisation and class. Organisations are served by weighted
 * deficit round robin, and so are the classes of one organisation. Urgent classes go first; the
 * others get QUEUE_NON_URGENT_PERCENT of the turns. The module does no I/O and is not thread-safe.
 */

/* Share of the turns for classes that are not urgent while urgent requests wait. */
#define QUEUE_NON_URGENT_PERCENT 10

struct queue;
struct queue_flow;

/* List element, embedded in the object that waits; all zero before the first push. */
struct queue_item {
	struct queue_item *next;
	struct queue_item *prev;
	struct queue_flow *flow; /* NULL when not queued */
	void *owner;		 /* the object; not used by the queue */
};

/* Names the queue of a request and sets its parameters. The strings are copied. */
struct queue_flow_spec {
	const char *service;
	const char *class_name;
	const char *organisation;
	bool urgent;
	double weight;	    /* weight of the class; 0 means 1 */
	double share;	    /* weight of the organisation; 0 means 1 */
	uint32_t max_queue; /* limit of waiting requests of this class and organisation; 0: none */
};

struct queue *queue_create(TALLOC_CTX *mem);

/** queue_set_total() - set the limit of waiting requests of all queues; 0: no limit */
void queue_set_total(struct queue *queue, uint32_t total);

/**
 * queue_push() - append an item
 *
 * Return: 0, or -ERR_QUEUE_FULL when a limit is reached.
 */
int queue_push(struct queue *queue, struct queue_item *item, const struct queue_flow_spec *spec,
	       struct err *err);

/** queue_push_front() - put a popped item that could not be sent back; ignores the limits */
void queue_push_front(struct queue *queue, struct queue_item *item,
		      const struct queue_flow_spec *spec);

/** queue_pop() - take the next item of a service, or NULL */
struct queue_item *queue_pop(struct queue *queue, const char *service);

/** queue_remove() - remove an item from its queue; does nothing if it is not queued */
void queue_remove(struct queue *queue, struct queue_item *item);

/** queue_waiting() - count the items that wait for a service, or for all when @service is NULL */
size_t queue_waiting(const struct queue *queue, const char *service);

/** queue_ahead() - estimate how many items would be served before a new one at @spec */
size_t queue_ahead(const struct queue *queue, const struct queue_flow_spec *spec);

/** queue_each_service() - call @visit for each service with waiting items */
void queue_each_service(struct queue *queue, void (*visit)(const char *service, void *ctx),
			void *ctx);

#endif
