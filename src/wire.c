#include "wire.h"
#include "fields.h"
#include "log.h"
#include "parts.h"
#include "util.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.h>

#define HIGH_WATER_MARK_MESSAGES 4096
#define MESSAGE_MAX_BYTES (2 * 1024 * 1024)
/*
 * All agents of a fleet connect to a new leader within a few milliseconds. An opening packet that
 * finds the queue full is dropped and sent again after a second or more.
 */
#define PENDING_CONNECTIONS_MAX 4096
#define RECONNECT_MIN_MS 100
#define RECONNECT_MAX_MS 2000
/* A socket is read up to these limits before other events are handled. */
#define READ_BATCH_MESSAGES 64
#define READ_BATCH_MS 5
#define PEER_NAME_MAX 255 /* limit of a ZeroMQ routing id */

/* One ZeroMQ socket: the ROUTER, or the DEALER that connects to @peer. */
struct link {
	struct wire *wire;
	struct link *next;
	char *peer; /* NULL for the ROUTER */
	void *socket;
	struct tevent_fd *fde;
	bool read_scheduled; /* it is in the wire's list of unread links */
	bool reading;	     /* read_link() is running */
};

struct wire {
	struct tevent_context *ev;
	void *zmq;
	char *self;
	char *address;
	struct wire_handlers handlers;
	struct metrics *metrics;
	struct link *router;
	struct link *links;
	GQueue unread; /* links whose reading goes on from the loop, longest waiting first */
	/*
	 * Event descriptor that is readable while there are unread links. Immediates and due timers
	 * would go before all descriptors, so a socket that always has messages would keep the
	 * loop from every other one.
	 */
	int unread_fd;
	struct tevent_fd *unread_fde;
	/* Metric handles, by traffic_class() or by enum msg_type. */
	int received_bytes[2];
	int sent_bytes[2];
	int received[MSG_TYPE_COUNT];
	int sent[MSG_TYPE_COUNT];
	int malformed;
	struct parts *parts;   /* of messages that are arriving */
	uint64_t parts_number; /* of the latest message that was sent in parts */
};

/* Index of the byte counters: 0 for control messages, 1 for requests and answers of users. */
static int traffic_class(enum msg_type type)
{
	return type >= MSG_REQUEST && type <= MSG_CANCEL;
}

static void define_counters(struct wire *wire)
{
	static const char *const classes[2] = {"control", "data"};
	char labels[96];

	for (int i = 0; i < 2; i++) {
		snprintf(labels, sizeof(labels), "direction=\"received\",class=\"%s\"", classes[i]);
		wire->received_bytes[i] =
			metrics_define(wire->metrics, METRICS_COUNTER, "jaycourse_wire_bytes_total",
				       labels, "Bytes of messages between processes");
		snprintf(labels, sizeof(labels), "direction=\"sent\",class=\"%s\"", classes[i]);
		wire->sent_bytes[i] =
			metrics_define(wire->metrics, METRICS_COUNTER, "jaycourse_wire_bytes_total",
				       labels, "Bytes of messages between processes");
	}
	for (int i = 1; i < MSG_TYPE_COUNT; i++) {
		snprintf(labels, sizeof(labels), "direction=\"received\",type=\"%s\"",
			 msg_type_name(i));
		wire->received[i] = metrics_define(wire->metrics, METRICS_COUNTER,
						   "jaycourse_wire_messages_total", labels,
						   "Messages between processes");
		snprintf(labels, sizeof(labels), "direction=\"sent\",type=\"%s\"",
			 msg_type_name(i));
		wire->sent[i] = metrics_define(wire->metrics, METRICS_COUNTER,
					       "jaycourse_wire_messages_total", labels,
					       "Messages between processes");
	}
	wire->malformed =
		metrics_define(wire->metrics, METRICS_COUNTER, "jaycourse_wire_malformed_total", "",
			       "Messages from peers that could not be decoded");
}

static void deliver_message(struct wire *wire, const char *source, const char *peer,
			    const uint8_t *data, size_t len);

static void take_part(struct wire *wire, const char *source, const char *peer,
		      const struct msg_part *part)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	uint8_t *data;
	size_t len;
	int ret = parts_add(wire->parts, source, part, mem, &data, &len);

	if (ret) {
		metrics_add(wire->metrics, wire->malformed, 1);
		log_once("wire_part", peer,
			 "a part of a message of %" PRIu64 " bytes is dropped: %s", part->total,
			 err_name(ret));
	} else if (data) {
		deliver_message(wire, source, peer, data, len);
	}
	talloc_free(mem);
}

/* @source: names the connection and the peer */
static void deliver_message(struct wire *wire, const char *source, const char *peer,
			    const uint8_t *data, size_t len)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct msg *msg;
	struct err err;

	if (msg_decode(mem, data, len, &msg, &err)) {
		metrics_add(wire->metrics, wire->malformed, 1);
		log_once("wire_malformed", peer, "%s", err.message);
	} else {
		metrics_add(wire->metrics, wire->received_bytes[traffic_class(msg->type)], len);
		metrics_add(wire->metrics, wire->received[msg->type], 1);
		if (msg->type == MSG_PART)
			take_part(wire, source, peer, &msg->u.part);
		else
			wire->handlers.on_message(peer, msg, wire->handlers.ctx);
	}
	talloc_free(mem);
}

/* Reads one frame and sets @more if further frames follow; returns the ZeroMQ result. */
static int receive_frame(void *socket, zmq_msg_t *frame, bool *more)
{
	int ret;

	zmq_msg_init(frame);
	ret = zmq_msg_recv(frame, socket, ZMQ_DONTWAIT);
	*more = ret >= 0 && zmq_msg_more(frame);
	return ret;
}

static void skip_frames(void *socket, bool more)
{
	while (more) {
		zmq_msg_t frame;

		if (receive_frame(socket, &frame, &more) < 0)
			more = false;
		zmq_msg_close(&frame);
	}
}

static bool receive_message(struct link *link)
{
	char peer[PEER_NAME_MAX + 1] = "";
	char source[PEER_NAME_MAX + 2];
	zmq_msg_t frame;
	bool more;

	if (receive_frame(link->socket, &frame, &more) < 0) {
		zmq_msg_close(&frame);
		return false;
	}
	if (!link->peer && more) {
		snprintf(peer, sizeof(peer), "%.*s", (int)zmq_msg_size(&frame),
			 (const char *)zmq_msg_data(&frame));
		zmq_msg_close(&frame);
		receive_frame(link->socket, &frame, &more);
	} else if (link->peer) {
		snprintf(peer, sizeof(peer), "%s", link->peer);
	}
	skip_frames(link->socket, more);
	snprintf(source, sizeof(source), "%c%s", link->peer ? '>' : '<', peer);
	deliver_message(link->wire, source, peer, zmq_msg_data(&frame), zmq_msg_size(&frame));
	zmq_msg_close(&frame);
	return true;
}

static bool has_input(struct link *link)
{
	int events = 0;
	size_t size = sizeof(events);

	if (zmq_getsockopt(link->socket, ZMQ_EVENTS, &events, &size))
		return false;
	return events & ZMQ_POLLIN;
}

static void read_link(struct link *link);

static void set_unread(struct wire *wire)
{
	if (eventfd_write(wire->unread_fd, 1))
		log_error("wire_unread", "", "cannot write to the event descriptor: %s",
			  strerror(errno));
}

static void schedule_read(struct link *link)
{
	if (link->read_scheduled)
		return;
	link->read_scheduled = true;
	if (g_queue_is_empty(&link->wire->unread))
		set_unread(link->wire);
	g_queue_push_tail(&link->wire->unread, link);
}

static void on_unread(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
	struct wire *wire = data;
	struct link *link = g_queue_pop_head(&wire->unread);
	eventfd_t count;

	if (g_queue_is_empty(&wire->unread) && eventfd_read(wire->unread_fd, &count))
		log_error("wire_unread", "", "cannot read the event descriptor: %s",
			  strerror(errno));
	if (!link)
		return;
	link->read_scheduled = false;
	read_link(link);
}

/*
 * ZeroMQ's file descriptor is edge triggered, and a send may also consume its readiness, so the
 * socket's events must be checked after each send. No check is needed while the socket is being
 * read or a read is scheduled, because reading continues until no message is left. Each check costs
 * a system call, which matters with 510 agents that send a heartbeat every two seconds.
 */
static void schedule_read_after_send(struct link *link)
{
	if (!link->reading && !link->read_scheduled && has_input(link))
		schedule_read(link);
}

static void read_link(struct link *link)
{
	/* A handler may close the link, so the reference keeps it allocated during the loop. */
	TALLOC_CTX *guard = talloc_new(NULL);
	uint64_t end_ms = util_clock_ms() + READ_BATCH_MS;
	int budget = READ_BATCH_MESSAGES;
	bool more = true;

	if (!talloc_reference(guard, link)) {
		talloc_free(guard);
		return;
	}
	link->reading = true;
	while (link->socket && more && budget-- > 0 && util_clock_ms() < end_ms)
		more = receive_message(link);
	link->reading = false;
	if (link->socket && more)
		schedule_read(link);
	talloc_free(guard);
}

static void on_link_readable(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
			     void *data)
{
	read_link(data);
}

static void close_link(struct link *link)
{
	TALLOC_FREE(link->fde);
	if (link->read_scheduled)
		g_queue_remove(&link->wire->unread, link);
	link->read_scheduled = false;
	if (link->socket)
		zmq_close(link->socket);
	link->socket = NULL;
}

static int link_destructor(struct link *link)
{
	close_link(link);
	return 0;
}

static void set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void set_common_options(void *socket)
{
	int64_t max = MESSAGE_MAX_BYTES;

	set_int(socket, ZMQ_SNDHWM, HIGH_WATER_MARK_MESSAGES);
	set_int(socket, ZMQ_RCVHWM, HIGH_WATER_MARK_MESSAGES);
	set_int(socket, ZMQ_LINGER, 0);
	set_int(socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
	set_int(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max, sizeof(max));
}

static struct link *open_link(struct wire *wire, int kind, const char *peer)
{
	struct link *link = talloc_zero(wire, struct link);
	int fd = -1;
	size_t size = sizeof(fd);

	link->wire = wire;
	link->peer = peer ? talloc_strdup(link, peer) : NULL;
	link->socket = zmq_socket(wire->zmq, kind);
	if (!link->socket) {
		talloc_free(link);
		return NULL;
	}
	talloc_set_destructor(link, link_destructor);
	set_common_options(link->socket);
	zmq_setsockopt(link->socket, ZMQ_ROUTING_ID, wire->self, strlen(wire->self));
	zmq_getsockopt(link->socket, ZMQ_FD, &fd, &size);
	link->fde = tevent_add_fd(wire->ev, link, fd, TEVENT_FD_READ, on_link_readable, link);
	return link;
}

static int bind_router(struct wire *wire, const char *bind_address, struct err *err)
{
	char endpoint[128];
	char bound[128] = "";
	size_t size = sizeof(bound);

	wire->router = open_link(wire, ZMQ_ROUTER, NULL);
	if (!wire->router)
		return err_set(err, ERR_SYSTEM, "raise the limit of open files",
			       "cannot create a ZeroMQ socket: %s", zmq_strerror(errno));
	set_int(wire->router->socket, ZMQ_ROUTER_MANDATORY, 1);
	set_int(wire->router->socket, ZMQ_ROUTER_HANDOVER, 1);
	set_int(wire->router->socket, ZMQ_BACKLOG, PENDING_CONNECTIONS_MAX);
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", bind_address);
	if (zmq_bind(wire->router->socket, endpoint))
		return err_set(err, ERR_SYSTEM,
			       "choose a free address of this host for peer_address",
			       "cannot bind %s: %s", bind_address, zmq_strerror(errno));
	zmq_getsockopt(wire->router->socket, ZMQ_LAST_ENDPOINT, bound, &size);
	wire->address = talloc_strdup(wire, bound + strlen("tcp://"));
	return 0;
}

static int wire_destructor(struct wire *wire)
{
	struct link *link;

	while ((link = wire->links)) {
		wire->links = link->next;
		talloc_free(link);
	}
	TALLOC_FREE(wire->router);
	zmq_ctx_term(wire->zmq);
	TALLOC_FREE(wire->unread_fde);
	close(wire->unread_fd);
	return 0;
}

struct wire *wire_create(TALLOC_CTX *mem, struct tevent_context *ev, const char *self,
			 const char *bind_address, const struct wire_handlers *handlers,
			 struct metrics *metrics, struct err *err)
{
	struct wire *wire = talloc_zero(mem, struct wire);

	wire->ev = ev;
	wire->self = talloc_strdup(wire, self);
	wire->handlers = *handlers;
	wire->metrics = metrics;
	wire->unread_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (wire->unread_fd < 0) {
		err_set(err, ERR_SYSTEM, "raise the limit of open files",
			"cannot create an event descriptor: %s", strerror(errno));
		talloc_free(wire);
		return NULL;
	}
	wire->unread_fde =
		tevent_add_fd(ev, wire, wire->unread_fd, TEVENT_FD_READ, on_unread, wire);
	g_queue_init(&wire->unread);
	wire->parts = parts_create(wire);
	wire->zmq = zmq_ctx_new();
	talloc_set_destructor(wire, wire_destructor);
	define_counters(wire);
	if (bind_router(wire, bind_address, err)) {
		talloc_free(wire);
		return NULL;
	}
	return wire;
}

const char *wire_address(const struct wire *wire)
{
	return wire->address;
}

static struct link *find_link(const struct wire *wire, const char *peer)
{
	for (struct link *link = wire->links; link; link = link->next) {
		if (!strcmp(link->peer, peer))
			return link;
	}
	return NULL;
}

int wire_connect(struct wire *wire, const char *peer, const char *address)
{
	char endpoint[128];
	struct link *link;

	if (find_link(wire, peer))
		return 0;
	/* ZeroMQ would look up a host name on the thread that serves all connections. */
	if (!fields_is_peer_address(address)) {
		log_once("address_unusable", peer, "no connection to %.64s", address);
		return -ERR_SYSTEM;
	}
	link = open_link(wire, ZMQ_DEALER, peer);
	if (!link)
		return -ERR_SYSTEM;
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	if (zmq_connect(link->socket, endpoint)) {
		talloc_free(link);
		return -ERR_SYSTEM;
	}
	link->next = wire->links;
	wire->links = link;
	return 0;
}

void wire_disconnect(struct wire *wire, const char *peer)
{
	for (struct link **at = &wire->links; *at; at = &(*at)->next) {
		struct link *link = *at;

		if (strcmp(link->peer, peer) != 0)
			continue;
		*at = link->next;
		close_link(link);
		talloc_unlink(wire, link);
		return;
	}
}

bool wire_connected(const struct wire *wire, const char *peer)
{
	return find_link(wire, peer) != NULL;
}

static int send_frames(struct link *link, const char *peer, const uint8_t *data, size_t len)
{
	if (!link->peer &&
	    zmq_send(link->socket, peer, strlen(peer), ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0)
		return errno == EHOSTUNREACH ? -ERR_NO_TARGET : -ERR_QUEUE_FULL;
	if (zmq_send(link->socket, data, len, ZMQ_DONTWAIT) < 0)
		return -ERR_QUEUE_FULL;
	return 0;
}

static int send_parts(struct wire *wire, struct link *link, const char *peer, const uint8_t *data,
		      size_t len)
{
	uint64_t number = ++wire->parts_number;
	int ret = 0;

	if (len > PARTS_JOINED_MAX_BYTES) {
		log_error("wire_too_large", peer, "a message of %zu bytes can't be sent", len);
		return -ERR_TOO_LARGE;
	}
	for (size_t i = 0; i < parts_count(len) && !ret; i++) {
		struct msg part = {.type = MSG_PART, .u.part = parts_cut(data, len, number, i)};
		uint8_t *bytes;
		size_t size;

		ret = msg_encode(&part, wire, &bytes, &size);
		if (!ret)
			ret = send_frames(link, peer, bytes, size);
		talloc_free(bytes);
	}
	return ret;
}

int wire_send(struct wire *wire, const char *peer, const struct msg *msg)
{
	struct link *link = find_link(wire, peer);
	uint8_t *data;
	size_t len;
	int ret;

	if (!link)
		link = wire->router;
	ret = msg_encode(msg, wire, &data, &len);
	if (ret)
		return ret;
	if (len > PARTS_WHOLE_MAX_BYTES)
		ret = send_parts(wire, link, peer, data, len);
	else
		ret = send_frames(link, peer, data, len);
	talloc_free(data);
	if (!ret) {
		metrics_add(wire->metrics, wire->sent_bytes[traffic_class(msg->type)], len);
		metrics_add(wire->metrics, wire->sent[msg->type], 1);
	}
	schedule_read_after_send(link);
	return ret;
}

void wire_destroy(struct wire *wire, int linger_ms)
{
	set_int(wire->router->socket, ZMQ_LINGER, linger_ms);
	for (struct link *link = wire->links; link; link = link->next)
		set_int(link->socket, ZMQ_LINGER, linger_ms);
	talloc_free(wire);
}
