#ifndef JAYCOURSE_ANNOUNCE_H
#define JAYCOURSE_ANNOUNCE_H

#include "err.h"
#include "metrics.h"
#include "target.h"

#include <tevent.h>

/**
 * DOC: HTTP server of an agent
 *
 * Serves POST /v1/announce to the target beside the agent, and /healthz, /readyz and
 * /metrics. libmicrohttpd runs on the loop thread through its epoll descriptor, so no
 * locks are needed.
 */

struct announce;

/**
 * struct announce_handlers - callbacks of the server
 * @on_announce: handles a well-formed announcement, borrowed; returns 0, or a negative error code
 *	with @err filled in
 * @ready: true when the agent can take work; otherwise @why receives a static text
 */
struct announce_handlers {
	int (*on_announce)(const struct target_info *info, struct err *err, void *ctx);
	bool (*ready)(const char **why, void *ctx);
	void *ctx;
};

/**
 * announce_create() - listen on @address, "ip:port"; port 0 picks a free one
 *
 * Return: the server, or NULL with an explanation in @err.
 */
struct announce *announce_create(TALLOC_CTX *mem, struct tevent_context *ev, const char *address,
				 const struct announce_handlers *handlers, struct metrics *metrics,
				 struct err *err);

/** announce_address() - the address listened on, "ip:port", borrowed */
const char *announce_address(const struct announce *server);

/**
 * announce_parse() - check the JSON body of an announcement
 * @mem: talloc parent of the strings in @out
 *
 * Return: 0, or -ERR_INVALID with an @err that names the first wrong field.
 */
int announce_parse(TALLOC_CTX *mem, const char *body, size_t len, struct target_info *out,
		   struct err *err);

#endif
