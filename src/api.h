#ifndef JAYCOURSE_API_H
#define JAYCOURSE_API_H

#include "configrepo.h"
#include "dispatch.h"
#include "filter.h"
#include "jobs.h"
#include "loopq.h"
#include "peers.h"
#include "settings.h"

/**
 * DOC: The HTTP interface of an entry host (libmicrohttpd)
 *
 * The HTTP threads read calls and run the filters. A call that needs the store, another process
 * or a timer is passed to the loop thread, and its connection is suspended until the answer.
 */

struct api;

/* All pointers are borrowed and must outlive the struct api. */
struct api_deps {
	struct tevent_context *ev;
	struct loopq *loop;
	struct filters *filters;
	struct dispatch *dispatch;
	struct peers *peers;
	struct jobs *jobs;
	struct configrepo *configs;
	struct membership *members;
	struct metrics *metrics;
	const struct settings *settings;
	const char *self; /* peer name of this entry, prefix of request ids */
};

/**
 * api_listen() - bind the HTTP address, before other modules use the bound address
 * @mem: talloc parent of the returned address
 * @address: "ip:port"; port 0 chooses a free port
 * @fd: receives the listening socket, which the caller owns
 *
 * Return: the bound address, "ip:port", or NULL with @err filled.
 */
char *api_listen(TALLOC_CTX *mem, const char *address, int *fd, struct err *err);

/**
 * api_create() - start the HTTP server on a socket from api_listen()
 * @fd: listening socket; api_create() takes over its ownership
 *
 * Return: the server, or NULL with @err filled.
 */
struct api *api_create(TALLOC_CTX *mem, const struct api_deps *deps, int fd, struct err *err);

/** api_active_calls() - number of calls whose answer has not been sent completely */
uint32_t api_active_calls(const struct api *api);

/**
 * api_stop() - cut off all calls and stop the HTTP threads
 *
 * To be called when the loop no longer runs queued commands, and before the modules that hold
 * requests are freed.
 */
void api_stop(struct api *api);

/** api_destroy() - free a stopped API; to be called when no module holds a request any more */
void api_destroy(struct api *api);

#endif
