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
	pthread_mutex_t lock; /* guards the list; the thread sanitizer understands pthread locks */
	struct command *first;
	struct command **last;
	struct tevent_fd *fde;
	int fd;
};

static struct command *pop_command(struct loopq *queue)
{
	struct command *command;

	pthread_mutex_lock(&queue->lock);
	command = queue->first;
	if (command)
		queue->first = command->next;
	if (!queue->first)
		queue->last = &queue->first;
	pthread_mutex_unlock(&queue->lock);
	return command;
}

static void run_commands(struct loopq *queue)
{
	struct command *command;

	while ((command = pop_command(queue))) {
		command->run(command->arg);
		g_free(command);
	}
}

static void on_eventfd_readable(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
				void *data)
{
	struct loopq *queue = data;
	eventfd_t value;

	eventfd_read(queue->fd, &value);
	run_commands(queue);
}

struct loopq *loopq_create(TALLOC_CTX *mem, struct tevent_context *ev)
{
	struct loopq *queue = talloc_zero(mem, struct loopq);

	queue->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (queue->fd < 0) {
		talloc_free(queue);
		return NULL;
	}
	pthread_mutex_init(&queue->lock, NULL);
	queue->last = &queue->first;
	queue->fde =
		tevent_add_fd(ev, queue, queue->fd, TEVENT_FD_READ, on_eventfd_readable, queue);
	return queue;
}

void loopq_push(struct loopq *queue, void (*run)(void *arg), void *arg)
{
	struct command *command = g_new0(struct command, 1);

	command->run = run;
	command->arg = arg;
	pthread_mutex_lock(&queue->lock);
	*queue->last = command;
	queue->last = &command->next;
	pthread_mutex_unlock(&queue->lock);
	eventfd_write(queue->fd, 1);
}

void loopq_destroy(struct loopq *queue)
{
	run_commands(queue);
	TALLOC_FREE(queue->fde);
	close(queue->fd);
	pthread_mutex_destroy(&queue->lock);
	talloc_free(queue);
}
