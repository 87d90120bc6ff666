#ifndef JAYCOURSE_WIRE_H
#define JAYCOURSE_WIRE_H

#include "err.h"
#include "metrics.h"
#include "msg.h"

#include <stdbool.h>
#include <tevent.h>

/**
 * DOC: Message transport between the system's own processes
 *
 * One ROUTER socket accepts connections; one DEALER is opened for each peer this process
 * connects to. A peer is named "<node id>#<incarnation>"; a restarted process is a new
 * peer. All functions run on the loop thread. Delivery is best effort: a message to a peer
 * that is gone is dropped, so callers must resend or time out.
 */

struct wire;

/**
 * struct wire_handlers - callbacks of a wire
 * @on_message: a decoded message arrived from @peer. @msg is freed on return unless the
 *	handler moves it with talloc_steal(). @peer is borrowed for the call.
 * @ctx: passed to the callbacks, borrowed
 */
struct wire_handlers {
	void (*on_message)(const char *peer, struct msg *msg, void *ctx);
	void *ctx;
};

/**
 * wire_create() - create the sockets and bind the ROUTER
 * @mem: talloc parent that owns the wire
 * @ev: loop, borrowed; must outlive the wire
 * @self: this process's peer name, copied
 * @bind_address: "ip:port"; port 0 picks a free one
 * @handlers: callbacks, copied
 * @metrics: registry for byte and message counters, borrowed
 * @err: explanation when NULL is returned
 */
struct wire *wire_create(TALLOC_CTX *mem, struct tevent_context *ev, const char *self,
			 const char *bind_address, const struct wire_handlers *handlers,
			 struct metrics *metrics, struct err *err);

/** wire_address() - the address the ROUTER is bound to, "ip:port", borrowed */
const char *wire_address(const struct wire *wire);

/**
 * wire_connect() - open a connection to a peer, or do nothing if it is open
 * @peer: "<node id>#<incarnation>", or any unique label when the peer's name is not yet
 *	known; messages that arrive over the connection are reported under this name
 * @address: "ip:port"
 *
 * Return: 0, or -ERR_SYSTEM when the address is malformed.
 */
int wire_connect(struct wire *wire, const char *peer, const char *address);

/** wire_disconnect() - close the connection opened to @peer; unsent messages are dropped */
void wire_disconnect(struct wire *wire, const char *peer);

/** wire_connected() - true if this process has opened a connection to @peer */
bool wire_connected(const struct wire *wire, const char *peer);

/**
 * wire_send() - send a message
 * @peer: a peer that wire_connect() opened or that has sent this process a message
 * @msg: message, borrowed
 *
 * Return: 0 when handed to the transport, -ERR_NO_TARGET when there is no connection to
 * the peer, -ERR_QUEUE_FULL when its send buffer is full, -ERR_TOO_LARGE when it is longer than
 * PARTS_JOINED_MAX_BYTES. After a failure the message has certainly not been delivered. A message
 * of more than PARTS_WHOLE_MAX_BYTES is sent in parts and arrives as one.
 */
int wire_send(struct wire *wire, const char *peer, const struct msg *msg);

/** wire_destroy() - send what is buffered for at most @linger_ms, close and free */
void wire_destroy(struct wire *wire, int linger_ms);

#endif
