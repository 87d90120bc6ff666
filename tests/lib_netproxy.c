#include "lib_netproxy.h"

#include "util.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TICK_US 5000
#define READ_BYTES 65536
#define BACKLOG 64
#define STRAY_CLOSE_MS 300
#define STRAY_MAX_MS 4000 /* how much later the held bytes of a closed connection may arrive */

struct chunk {
	uint64_t due_ms;
	size_t len;
	size_t sent;
	char data[];
};

/* The bytes of one connection in one direction. */
struct stream {
	GQueue chunks;
	bool ended;  /* no more bytes come from the sender */
	bool closed; /* the receiver has been told so, or is gone */
};

struct conn {
	struct conn *next;
	struct netlink *link;
	int fd[NETPROXY_DIRECTIONS]; /* by the direction of the bytes that are read from it */
	struct tevent_fd *fde[NETPROXY_DIRECTIONS];
	struct stream streams[NETPROXY_DIRECTIONS];
	bool lost_bytes;
	bool finished; /* freed by the next tick */
};

struct netlink {
	struct netproxy *proxy;
	struct netlink *next;
	struct sockaddr_in listen;
	struct sockaddr_in target;
	int fd;
	struct tevent_fd *fde;
	enum netproxy_flow flow[NETPROXY_DIRECTIONS];
	uint32_t delay_ms[NETPROXY_DIRECTIONS];
	struct conn *conns;
};

struct netproxy {
	struct tevent_context *ev;
	struct netlink *links;
};

static struct sockaddr_in parse_address(const char *text)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	g_auto(GStrv) parts = g_strsplit(text, ":", 2);

	if (inet_pton(AF_INET, parts[0], &address.sin_addr) != 1)
		abort();
	address.sin_port = htons((uint16_t)atoi(parts[1]));
	return address;
}

static void finish_conn(struct conn *conn, bool reset)
{
	const struct linger hard = {.l_onoff = 1};

	if (conn->finished)
		return;
	conn->finished = true;
	for (int d = 0; d < NETPROXY_DIRECTIONS; d++) {
		if (reset)
			setsockopt(conn->fd[d], SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
		TALLOC_FREE(conn->fde[d]);
		close(conn->fd[d]);
		g_queue_clear_full(&conn->streams[d].chunks, g_free);
	}
}

static void close_stream(struct conn *conn, int d)
{
	struct stream *stream = &conn->streams[d];

	g_queue_clear_full(&stream->chunks, g_free);
	stream->closed = true;
	shutdown(conn->fd[1 - d], SHUT_WR);
	if (conn->streams[1 - d].closed)
		finish_conn(conn, false);
}

/* Delivers what may be delivered now in one direction. */
static void pump_stream(struct conn *conn, int d)
{
	struct stream *stream = &conn->streams[d];
	struct netlink *link = conn->link;
	uint64_t now_ms = util_clock_ms();
	struct chunk *chunk;

	if (conn->finished || stream->closed || link->flow[d] != NETPROXY_PASS)
		return;
	while ((chunk = g_queue_peek_head(&stream->chunks)) && chunk->due_ms <= now_ms) {
		ssize_t sent = send(conn->fd[1 - d], chunk->data + chunk->sent,
				    chunk->len - chunk->sent, MSG_NOSIGNAL);

		if (sent < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		if (sent < 0) {
			close_stream(conn, d);
			return;
		}
		chunk->sent += (size_t)sent;
		if (chunk->sent == chunk->len)
			g_free(g_queue_pop_head(&stream->chunks));
	}
	if (stream->ended && !chunk)
		close_stream(conn, d);
}

static void read_stream(struct conn *conn, int d)
{
	struct chunk *chunk = g_malloc(sizeof(*chunk) + READ_BYTES);
	ssize_t len = recv(conn->fd[d], chunk->data, READ_BYTES, 0);

	if (len < 0 && (errno == EAGAIN || errno == EINTR)) {
		g_free(chunk);
		return;
	}
	if (len <= 0) {
		g_free(chunk);
		conn->streams[d].ended = true;
		TALLOC_FREE(conn->fde[d]);
	} else if (conn->link->flow[d] == NETPROXY_DROP || conn->streams[d].closed) {
		g_free(chunk);
		conn->lost_bytes = true;
	} else {
		chunk->due_ms = util_clock_ms() + conn->link->delay_ms[d];
		chunk->len = (size_t)len;
		chunk->sent = 0;
		g_queue_push_tail(&conn->streams[d].chunks,
				  g_realloc(chunk, sizeof(*chunk) + (size_t)len));
	}
	pump_stream(conn, d);
}

static void on_caller_readable(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
			       void *ctx)
{
	read_stream(ctx, NETPROXY_TO_TARGET);
}

static void on_target_readable(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
			       void *ctx)
{
	read_stream(ctx, NETPROXY_TO_CALLER);
}

static void on_accept(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *ctx)
{
	struct netlink *link = ctx;
	int caller = accept4(link->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	int target = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	const struct linger hard = {.l_onoff = 1};
	struct conn *conn;

	if (caller < 0 || target < 0 ||
	    (connect(target, (struct sockaddr *)&link->target, sizeof(link->target)) &&
	     errno != EINPROGRESS)) {
		if (caller >= 0) {
			setsockopt(caller, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
			close(caller);
		}
		if (target >= 0)
			close(target);
		return;
	}
	conn = talloc_zero(link, struct conn);
	conn->link = link;
	conn->fd[NETPROXY_TO_TARGET] = caller;
	conn->fd[NETPROXY_TO_CALLER] = target;
	for (int d = 0; d < NETPROXY_DIRECTIONS; d++)
		g_queue_init(&conn->streams[d].chunks);
	conn->fde[NETPROXY_TO_TARGET] =
		tevent_add_fd(ev, conn, caller, TEVENT_FD_READ, on_caller_readable, conn);
	conn->fde[NETPROXY_TO_CALLER] =
		tevent_add_fd(ev, conn, target, TEVENT_FD_READ, on_target_readable, conn);
	conn->next = link->conns;
	link->conns = conn;
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		    void *ctx)
{
	struct netproxy *proxy = ctx;

	for (struct netlink *link = proxy->links; link; link = link->next) {
		for (struct conn **at = &link->conns; *at;) {
			struct conn *conn = *at;

			for (int d = 0; d < NETPROXY_DIRECTIONS; d++)
				pump_stream(conn, d);
			if (!conn->finished) {
				at = &conn->next;
				continue;
			}
			*at = conn->next;
			talloc_free(conn);
		}
	}
	tevent_add_timer(ev, proxy, tevent_timeval_current_ofs(0, TICK_US), on_tick, proxy);
}

struct netproxy *netproxy_create(TALLOC_CTX *mem, struct tevent_context *ev)
{
	struct netproxy *proxy = talloc_zero(mem, struct netproxy);

	proxy->ev = ev;
	on_tick(ev, NULL, tevent_timeval_zero(), proxy);
	return proxy;
}

struct netlink *netproxy_add(struct netproxy *proxy, const char *listen, const char *target)
{
	struct netlink *link = talloc_zero(proxy, struct netlink);

	link->proxy = proxy;
	link->listen = parse_address(listen);
	link->target = parse_address(target);
	link->fd = -1;
	link->next = proxy->links;
	proxy->links = link;
	return link;
}

bool netlink_listen(struct netlink *link, bool on)
{
	const int yes = 1;

	if (on == (link->fd >= 0))
		return true;
	if (!on) {
		TALLOC_FREE(link->fde);
		close(link->fd);
		link->fd = -1;
		return true;
	}
	link->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(link->fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
	if (bind(link->fd, (struct sockaddr *)&link->listen, sizeof(link->listen)) ||
	    listen(link->fd, BACKLOG)) {
		perror("netlink_listen");
		close(link->fd);
		link->fd = -1;
		return false;
	}
	link->fde = tevent_add_fd(link->proxy->ev, link, link->fd, TEVENT_FD_READ, on_accept, link);
	return true;
}

void netlink_reset(struct netlink *link)
{
	for (struct conn *conn = link->conns; conn; conn = conn->next)
		finish_conn(conn, true);
}

/*
 * Bytes of a sender that has ended may arrive after those of its successor. An empty chunk makes
 * the end of the connection arrive later than they do, so that the receiver reads them.
 */
static void delay_stray_bytes(struct conn *conn, enum netproxy_direction direction)
{
	GQueue *chunks = &conn->streams[direction].chunks;
	struct chunk *chunk = g_queue_peek_head(chunks);
	struct chunk *last;

	if (!chunk || !conn->streams[direction].ended)
		return;
	chunk->due_ms = util_clock_ms() + (uint64_t)g_random_int_range(0, STRAY_MAX_MS);
	last = g_new0(struct chunk, 1);
	last->due_ms = chunk->due_ms + STRAY_CLOSE_MS;
	g_queue_push_tail(chunks, last);
}

void netlink_set(struct netlink *link, enum netproxy_direction direction, enum netproxy_flow flow,
		 uint32_t delay_ms)
{
	enum netproxy_flow before = link->flow[direction];

	link->flow[direction] = flow;
	link->delay_ms[direction] = delay_ms;
	if (flow == NETPROXY_REFUSE && before != NETPROXY_REFUSE)
		netlink_reset(link);
	for (struct conn *conn = link->conns; conn && flow < before; conn = conn->next) {
		if (before == NETPROXY_DROP && conn->lost_bytes)
			finish_conn(conn, true);
		else if (before == NETPROXY_HOLD)
			delay_stray_bytes(conn, direction);
	}
}
