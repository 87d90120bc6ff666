#include "loopq.h"

#include <glib.h>
#include <sys/eventfd.h>
#include <unistd.h>

struct command {
	void (*run)(void *arg);
	void *arg;
};

struct loopq {
	GAsyncQueue *commands;
	struct tevent_fd *fde;
	int fd;
};

static void run_all(struct loopq *q)
{
	struct command *command;

	while ((command = g_async_queue_try_pop(q->commands))) {
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
	q->commands = g_async_queue_new();
	q->fde = tevent_add_fd(ev, q, q->fd, TEVENT_FD_READ, wake, q);
	return q;
}

void loopq_push(struct loopq *q, void (*run)(void *arg), void *arg)
{
	struct command *command = g_new(struct command, 1);

	command->run = run;
	command->arg = arg;
	g_async_queue_push(q->commands, command);
	eventfd_write(q->fd, 1);
}

void loopq_destroy(struct loopq *q)
{
	run_all(q);
	TALLOC_FREE(q->fde);
	close(q->fd);
	g_async_queue_unref(q->commands);
	talloc_free(q);
}
