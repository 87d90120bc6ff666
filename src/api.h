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
 * HTTP threads read calls and run the filters; what needs the store, other processes or
 * timers is handed to the loop thread while the connection is suspended.
 */

struct api;

/* All pointers are borrowed and must outlive the api. */
struct api_deps {
	struct tevent_context *ev;
	struct loopq *loop;
	struct filters *filters;
	struct dispatch *dispatch;
	struct peers *peers;
	struct jobs *jobs;
	struct configrepo *configs;
	struct member *members;
	struct metrics *metrics;
	const struct settings *settings;
	const char *self; /* peer name of this entry, prefix of request ids */
};

/**
 * api_listen() - bind the HTTP address before anything refers to it
 * @fd: receives the listening socket
 * @mem: owner of the returned text
 *
 * Return: the address bound, "ip:port", or NULL with @err filled.
 */
char *api_listen(TALLOC_CTX *mem, const char *address, int *fd, struct err *err);

/** api_create() - serve calls on a socket from api_listen(), which it takes over */
struct api *api_create(TALLOC_CTX *mem, const struct api_deps *deps, int fd, struct err *err);

/** api_active() - calls whose answer has not been sent to its end */
uint32_t api_active(const struct api *api);

/** api_destroy() - stop the threads; the loop's queue must be served meanwhile no more */
void api_destroy(struct api *api);

#endif
