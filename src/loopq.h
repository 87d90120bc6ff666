#ifndef JAYCOURSE_LOOPQ_H
#define JAYCOURSE_LOOPQ_H

#include <talloc.h>
#include <tevent.h>

/**
 * DOC: Queue of function calls that other threads hand to the loop thread
 */

struct loopq;

/**
 * loopq_create() - create a queue whose commands run on a loop
 * @mem: talloc parent that owns the queue
 * @ev: loop, borrowed
 *
 * Return: the queue, or NULL when the system is out of file descriptors.
 */
struct loopq *loopq_create(TALLOC_CTX *mem, struct tevent_context *ev);

/**
 * loopq_push() - queue a call of a function on the loop thread; callable from any thread
 * @run: function to call; it takes ownership of @arg
 * @arg: its argument
 *
 * Commands run in the order in which they were pushed. loopq_destroy() runs those that are
 * still queued.
 */
void loopq_push(struct loopq *queue, void (*run)(void *arg), void *arg);

/** loopq_destroy() - run the queued commands and free the queue; call on the loop thread */
void loopq_destroy(struct loopq *queue);

#endif
