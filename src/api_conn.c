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
 * Time for a whole call, header and body, to arrive; the connection of a slower one is shut down.
 * The idle timeout of libmicrohttpd restarts with every byte, so a slow sender could otherwise
 * hold a connection for ever.
 */
#define CALL_READ_TIMEOUT_MS 15000
#define SWEEP_INTERVAL_S 1
#define LISTEN_BACKLOG 1024

struct conn {
	struct conn *next;
	struct conn *prev;
	int fd;
	uint64_t call_start_ms; /* arrival of the call being read; 0: none */
};

struct api_conns {
	pthread_mutex_t lock;
	struct tevent_context *ev;
	struct metrics *metrics;
	struct conn *first;
	int open_gauge;
	int slow_counter;
	uint64_t count;
};

static int conns_destructor(struct api_conns *conns)
{
	pthread_mutex_destroy(&conns->lock);
	return 0;
}

static void schedule_sweep(struct api_conns *conns);

static void sweep_conns(struct tevent_context *ev, struct tevent_timer *te, struct timeval current,
			void *data)
{
	struct api_conns *conns = data;
	uint64_t now = util_clock_ms();

	pthread_mutex_lock(&conns->lock);
	for (struct conn *conn = conns->first; conn; conn = conn->next) {
		if (!conn->call_start_ms || now - conn->call_start_ms < CALL_READ_TIMEOUT_MS)
			continue;
		shutdown(conn->fd, SHUT_RDWR);
		conn->call_start_ms = 0;
		metrics_add(conns->metrics, conns->slow_counter, 1);
	}
	metrics_set(conns->metrics, conns->open_gauge, conns->count);
	pthread_mutex_unlock(&conns->lock);
	schedule_sweep(conns);
}

static void schedule_sweep(struct api_conns *conns)
{
	tevent_add_timer(conns->ev, conns, tevent_timeval_current_ofs(SWEEP_INTERVAL_S, 0),
			 sweep_conns, conns);
}

struct api_conns *api_conns_create(TALLOC_CTX *mem, struct tevent_context *ev,
				   struct metrics *metrics)
{
	struct api_conns *conns = talloc_zero(mem, struct api_conns);

	pthread_mutex_init(&conns->lock, NULL);
	conns->ev = ev;
	conns->metrics = metrics;
	conns->open_gauge = metrics_define(metrics, METRICS_GAUGE, "jaycourse_http_connections", "",
					   "Open HTTP connections");
	conns->slow_counter =
		metrics_define(metrics, METRICS_COUNTER, "jaycourse_http_slow_total", "",
			       "Connections cut off because a call took too long to arrive");
	talloc_set_destructor(conns, conns_destructor);
	schedule_sweep(conns);
	return conns;
}

static void add_conn(struct api_conns *conns, struct conn *conn)
{
	pthread_mutex_lock(&conns->lock);
	conn->next = conns->first;
	if (conns->first)
		conns->first->prev = conn;
	conns->first = conn;
	conns->count++;
	pthread_mutex_unlock(&conns->lock);
}

static void remove_conn(struct api_conns *conns, struct conn *conn)
{
	pthread_mutex_lock(&conns->lock);
	if (conn->prev)
		conn->prev->next = conn->next;
	else
		conns->first = conn->next;
	if (conn->next)
		conn->next->prev = conn->prev;
	conns->count--;
	pthread_mutex_unlock(&conns->lock);
	g_free(conn);
}

void api_conns_on_connection(void *cls, struct MHD_Connection *connection, void **socket_context,
			     enum MHD_ConnectionNotificationCode code)
{
	struct api_conns *conns = cls;
	struct conn *conn;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		conn = g_new0(struct conn, 1);
		conn->fd = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
				   ->connect_fd;
		conn->call_start_ms = util_clock_ms();
		add_conn(conns, conn);
		*socket_context = conn;
	} else if (*socket_context) {
		/* The server closes the socket after this call. */
		remove_conn(conns, *socket_context);
		*socket_context = NULL;
	}
}

static void set_call_start(struct api_conns *conns, struct MHD_Connection *connection,
			   uint64_t call_start_ms)
{
	struct conn *conn = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
				    ->socket_context;

	if (!conn)
		return;
	pthread_mutex_lock(&conns->lock);
	conn->call_start_ms = call_start_ms;
	pthread_mutex_unlock(&conns->lock);
}

void *api_conns_on_call_start(void *cls, const char *uri, struct MHD_Connection *connection)
{
	set_call_start(cls, connection, util_clock_ms());
	return NULL;
}

void api_conns_on_call_read(struct api_conns *conns, struct MHD_Connection *connection)
{
	set_call_start(conns, connection, 0);
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
	    listen(*fd, LISTEN_BACKLOG) || getsockname(*fd, (struct sockaddr *)&bound, &len)) {
		err_set(err, ERR_SYSTEM, "choose a free address of this host for http_address",
			"cannot listen on %s: %s", address, g_strerror(errno));
		if (*fd >= 0)
			close(*fd);
		return NULL;
	}
	inet_ntop(AF_INET, &bound.sin_addr, host, sizeof(host));
	return talloc_asprintf(mem, "%s:%u", host, ntohs(bound.sin_port));
}
