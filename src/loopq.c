#include "loopq.h"

#include <glib.h>
#include <pthread.h>
#include <sys/eventfd.h>
#include <unistd.h>

struct command {
	struct command *next;
	void (*run)(void *arg);
	void *arg;
};

struct loopq {
	pthread_mutex_t lock; /* guards the list; a pthread lock is known to the thread sanitizer */
	struct command *first;
	struct command **last;
	struct tevent_fd *fde;
	int fd;
};

static struct command *pop(struct loopq *q)
{
	struct command *command;

	pthread_mutex_lock(&q->lock);
	command = q->first;
	if (command)
		q->first = command->next;
	if (!q->first)
		q->last = &q->first;
	pthread_mutex_unlock(&q->lock);
	return command;
}

static void run_all(struct loopq *q)
{
	struct command *command;

	while ((command = pop(q))) {
		command->run(command->arg);
		g_free(command);
	}
}

static void wake(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
	struct loopq *q = data;
	eventfd_t value;

	eventfd_read(q->fd, &value);
	run_all(q);
}

struct loopq *loopq_create(TALLOC_CTX *mem, struct tevent_context *ev)
{
	struct loopq *q = talloc_zero(mem, struct loopq);

	q->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (q->fd < 0) {
		talloc_free(q);
		return NULL;
	}
	pthread_mutex_init(&q->lock, NULL);
	q->last = &q->first;
	q->fde = tevent_add_fd(ev, q, q->fd, TEVENT_FD_READ, wake, q);
	return q;
}

void loopq_push(struct loopq *q, void (*run)(void *arg), void *arg)
{
	struct command *command = g_new0(struct command, 1);

	command->run = run;
	command->arg = arg;
	pthread_mutex_lock(&q->lock);
	*q->last = command;
	q->last = &command->next;
	pthread_mutex_unlock(&q->lock);
	eventfd_write(q->fd, 1);
}

void loopq_destroy(struct loopq *q)
{
	run_all(q);
	TALLOC_FREE(q->fde);
	close(q->fd);
	pthread_mutex_destroy(&q->lock);
	talloc_free(q);
}
