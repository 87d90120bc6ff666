#include "lib_rawcall.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define STATUS_LINE_BYTES 12 /* "HTTP/1.1 200" */

struct rawcall {
	int fd;
	struct tevent_fd *event;
	char *bytes;
	size_t len;
	size_t sent;
	char answer[STATUS_LINE_BYTES + 1];
	size_t received;
	void (*done)(int status, void *ctx);
	void *ctx;
};

static int close_call(struct rawcall *call)
{
	TALLOC_FREE(call->event);
	if (call->fd >= 0)
		close(call->fd);
	return 0;
}

static void end_call(struct rawcall *call, int status)
{
	call->done(status, call->ctx);
	talloc_free(call);
}

static void on_timeout(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		       void *ctx)
{
	end_call(ctx, 0);
}

static bool would_block(ssize_t count)
{
	return count < 0 && (errno == EAGAIN || errno == EINTR);
}

static void read_answer(struct rawcall *call)
{
	ssize_t count = recv(call->fd, call->answer + call->received,
			     STATUS_LINE_BYTES - call->received, 0);
	int status = 0;

	if (would_block(count))
		return;
	call->received += count > 0 ? (size_t)count : 0;
	if (count > 0 && call->received < STATUS_LINE_BYTES)
		return;
	if (sscanf(call->answer, "HTTP/1.%*1d %3d", &status) != 1)
		status = 0;
	end_call(call, status);
}

/* A server may answer and close before it has read everything, so a failure to send is no end. */
static void on_event(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *ctx)
{
	struct rawcall *call = ctx;

	if (flags & TEVENT_FD_WRITE) {
		ssize_t count = send(call->fd, call->bytes + call->sent, call->len - call->sent,
				     MSG_NOSIGNAL);

		call->sent += count > 0 ? (size_t)count : 0;
		if (call->sent == call->len || (count < 0 && !would_block(count)))
			TEVENT_FD_NOT_WRITEABLE(call->event);
	}
	if (flags & TEVENT_FD_READ)
		read_answer(call);
}

static int open_connection(const char *address)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct sockaddr_in target = {.sin_family = AF_INET};
	const char *colon = strchr(address, ':');
	char ip[INET_ADDRSTRLEN] = "";

	if (fd < 0 || !colon)
		return fd;
	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - address), address);
	target.sin_port = htons((uint16_t)atoi(colon + 1));
	if (inet_pton(AF_INET, ip, &target.sin_addr) == 1 &&
	    (connect(fd, (struct sockaddr *)&target, sizeof(target)) == 0 || errno == EINPROGRESS))
		return fd;
	close(fd);
	return -1;
}

void rawcall_send(TALLOC_CTX *mem, struct tevent_context *ev, const char *address,
		  const char *bytes, size_t len, uint32_t timeout_ms,
		  void (*done)(int status, void *ctx), void *ctx)
{
	struct rawcall *call = talloc_zero(mem, struct rawcall);

	call->bytes = talloc_memdup(call, bytes, len);
	call->len = len;
	call->done = done;
	call->ctx = ctx;
	call->fd = open_connection(address);
	talloc_set_destructor(call, close_call);
	if (call->fd < 0)
		timeout_ms = 0;
	else
		call->event = tevent_add_fd(ev, call, call->fd, TEVENT_FD_READ | TEVENT_FD_WRITE,
					    on_event, call);
	tevent_add_timer(ev, call,
			 tevent_timeval_current_ofs(timeout_ms / 1000, timeout_ms % 1000 * 1000),
			 on_timeout, call);
}
