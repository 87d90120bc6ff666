#ifndef JAYCOURSE_LOOPQ_H
#define JAYCOURSE_LOOPQ_H

#include <talloc.h>
#include <tevent.h>

/**
 * DOC: Commands from other threads to the loop thread
 */

struct loopq;

/**
 * loopq_create() - create a queue that is served by a loop
 * @mem: talloc parent that owns the queue
 * @ev: loop, borrowed
 *
 * Return: the queue, or NULL when the system is out of file descriptors.
 */
struct loopq *loopq_create(TALLOC_CTX *mem, struct tevent_context *ev);

/**
 * loopq_push() - have a function called on the loop thread; callable from any thread
 * @run: function to call; it takes over @arg
 * @arg: its argument
 *
 * Commands run in the order in which they were pushed. Those still queued when the queue
 * is destroyed are run then.
 */
void loopq_push(struct loopq *q, void (*run)(void *arg), void *arg);

/** loopq_destroy() - run what is queued and free the queue; call on the loop thread */
void loopq_destroy(struct loopq *q);

#endif
