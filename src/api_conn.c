#include "api_int.h"
#include "util.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * A call whose header or body takes longer is cut off. The server's own limit restarts with
 * every byte, so a slow sender could hold a connection for ever.
 */
#define READ_MAX_MS 15000
#define SWEEP_S 1
#define BACKLOG 1024

struct conn {
	struct conn *next;
	struct conn *prev;
	int fd;
	uint64_t since_ms; /* start of the call being read; 0: none */
};

struct api_conns {
	pthread_mutex_t lock;
	struct tevent_context *ev;
	struct metrics *metrics;
	struct conn *first;
	int gauge;
	int slow;
	uint64_t count;
};

static int conns_destructor(struct api_conns *c)
{
	pthread_mutex_destroy(&c->lock);
	return 0;
}

static void start_sweep(struct api_conns *c);

static void sweep(struct tevent_context *ev, struct tevent_timer *te, struct timeval current,
		  void *data)
{
	struct api_conns *c = data;
	uint64_t now = util_clock_ms();

	pthread_mutex_lock(&c->lock);
	for (struct conn *conn = c->first; conn; conn = conn->next) {
		if (!conn->since_ms || now - conn->since_ms < READ_MAX_MS)
			continue;
		shutdown(conn->fd, SHUT_RDWR);
		conn->since_ms = 0;
		metrics_add(c->metrics, c->slow, 1);
	}
	metrics_set(c->metrics, c->gauge, c->count);
	pthread_mutex_unlock(&c->lock);
	start_sweep(c);
}

static void start_sweep(struct api_conns *c)
{
	tevent_add_timer(c->ev, c, tevent_timeval_current_ofs(SWEEP_S, 0), sweep, c);
}

struct api_conns *api_conns_create(TALLOC_CTX *mem, struct tevent_context *ev,
				   struct metrics *metrics)
{
	struct api_conns *c = talloc_zero(mem, struct api_conns);

	pthread_mutex_init(&c->lock, NULL);
	c->ev = ev;
	c->metrics = metrics;
	c->gauge = metrics_define(metrics, METRICS_GAUGE, "jaycourse_http_connections", "",
				  "Open HTTP connections");
	c->slow = metrics_define(metrics, METRICS_COUNTER, "jaycourse_http_slow_total", "",
				 "Connections cut off because a call took too long to arrive");
	talloc_set_destructor(c, conns_destructor);
	start_sweep(c);
	return c;
}

static void add(struct api_conns *c, struct conn *conn)
{
	pthread_mutex_lock(&c->lock);
	conn->next = c->first;
	if (c->first)
		c->first->prev = conn;
	c->first = conn;
	c->count++;
	pthread_mutex_unlock(&c->lock);
}

static void drop(struct api_conns *c, struct conn *conn)
{
	pthread_mutex_lock(&c->lock);
	if (conn->prev)
		conn->prev->next = conn->next;
	else
		c->first = conn->next;
	if (conn->next)
		conn->next->prev = conn->prev;
	c->count--;
	pthread_mutex_unlock(&c->lock);
	g_free(conn);
}

void api_conns_notify(void *cls, struct MHD_Connection *connection, void **socket_context,
		      enum MHD_ConnectionNotificationCode code)
{
	struct api_conns *c = cls;
	struct conn *conn;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		conn = g_new0(struct conn, 1);
		conn->fd = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
				   ->connect_fd;
		conn->since_ms = util_clock_ms();
		add(c, conn);
		*socket_context = conn;
	} else if (*socket_context) {
		/* The server closes the socket after this call. */
		drop(c, *socket_context);
		*socket_context = NULL;
	}
}

static void set_since(struct api_conns *c, struct MHD_Connection *connection, uint64_t since_ms)
{
	struct conn *conn = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
				    ->socket_context;

	if (!conn)
		return;
	pthread_mutex_lock(&c->lock);
	conn->since_ms = since_ms;
	pthread_mutex_unlock(&c->lock);
}

void *api_conns_uri(void *cls, const char *uri, struct MHD_Connection *connection)
{
	set_since(cls, connection, util_clock_ms());
	return NULL;
}

void api_conns_read(struct api_conns *conns, struct MHD_Connection *connection)
{
	set_since(conns, connection, 0);
}

static bool parse_address(const char *text, struct sockaddr_in *out)
{
	char host[64];
	const char *colon = strrchr(text, ':');
	char *end = NULL;
	unsigned long port;

	if (!colon || (size_t)(colon - text) >= sizeof(host))
		return false;
	snprintf(host, sizeof(host), "%.*s", (int)(colon - text), text);
	port = strtoul(colon + 1, &end, 10);
	*out = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	return colon[1] && !*end && port <= UINT16_MAX && inet_pton(AF_INET, host, &out->sin_addr);
}

char *api_listen(TALLOC_CTX *mem, const char *address, int *fd, struct err *err)
{
	struct sockaddr_in bound;
	socklen_t len = sizeof(bound);
	char host[INET_ADDRSTRLEN];
	int one = 1;

	if (!parse_address(address, &bound)) {
		err_set(err, ERR_INVALID, "write http_address as ip:port", "%s is not an address",
			address);
		return NULL;
	}
	*fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (*fd >= 0)
		setsockopt(*fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (*fd < 0 || bind(*fd, (struct sockaddr *)&bound, sizeof(bound)) ||
	    listen(*fd, BACKLOG) || getsockname(*fd, (struct sockaddr *)&bound, &len)) {
		err_set(err, ERR_SYSTEM, "choose a free address of this host for http_address",
			"cannot listen on %s: %s", address, g_strerror(errno));
		if (*fd >= 0)
			close(*fd);
		return NULL;
	}
	inet_ntop(AF_INET, &bound.sin_addr, host, sizeof(host));
	return talloc_asprintf(mem, "%s:%u", host, ntohs(bound.sin_port));
}
