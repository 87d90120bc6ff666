#ifndef JAYCOURSE_AGENT_H
#define JAYCOURSE_AGENT_H

#include "err.h"
#include "settings.h"

#include <talloc.h>
#include <tevent.h>

/**
 * DOC: The agent, a process that runs beside a target
 *
 * Connects the modules of the agent: the target's announcements, the connections to the
 * entries, the request proxy and the gang members. Runs on one loop thread.
 */

struct agent;

/**
 * agent_create() - open the sockets and start looking for entries
 * @settings: borrowed, must outlive the agent
 *
 * Return: the agent, or NULL with an explanation in @err.
 */
struct agent *agent_create(TALLOC_CTX *mem, struct tevent_context *ev,
			   const struct settings *settings, struct err *err);

/** agent_http_address() - address at which the target announces itself, "ip:port", borrowed */
const char *agent_http_address(const struct agent *agent);

/** agent_peer_address() - address to which other processes connect, "ip:port", borrowed */
const char *agent_peer_address(const struct agent *agent);

/**
 * agent_shutdown() - announce the shutdown to the entries, refuse new work, finish running work
 * @done: called when no work runs any more or settings->shutdown_grace_ms has passed
 */
void agent_shutdown(struct agent *agent, void (*done)(void *ctx), void *ctx);

/** agent_destroy() - send the buffered messages, close the connections and free the agent */
void agent_destroy(struct agent *agent);

#endif
