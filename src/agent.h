#ifndef JAYCOURSE_AGENT_H
#define JAYCOURSE_AGENT_H

#include "err.h"
#include "settings.h"

#include <talloc.h>
#include <tevent.h>

/**
 * DOC: The process beside a target
 *
 * Connects the modules of the agent: the target's announcements, the connections to the
 * entries, the request proxy and the gang members. Runs on one loop thread.
 */

struct agent;

/**
 * agent_create() - open the sockets and start looking for entries
 * @settings: borrowed, must outlive the agent
 *
 * Return: the agent, or NULL with an explanation.
 */
struct agent *agent_create(TALLOC_CTX *mem, struct tevent_context *ev,
			   const struct settings *settings, struct err *err);

/** agent_http_address() - where the target announces itself, "ip:port", borrowed */
const char *agent_http_address(const struct agent *agent);

/** agent_peer_address() - where other processes connect to, "ip:port", borrowed */
const char *agent_peer_address(const struct agent *agent);

/**
 * agent_shutdown() - tell the entries, refuse new work and finish what runs
 * @done: called when nothing runs any more or settings->shutdown_grace_ms has passed
 */
void agent_shutdown(struct agent *agent, void (*done)(void *ctx), void *ctx);

/** agent_destroy() - send what is buffered, close and free */
void agent_destroy(struct agent *agent);

#endif
