#ifndef JAYCOURSE_API_INT_H
#define JAYCOURSE_API_INT_H

#include "api.h"

#include <microhttpd.h>

/* Shared by api.c (HTTP server), api_calls.c (endpoints) and api_conn.c (connections). */

#define API_BODY_MAX (2 * 1024 * 1024) /* bytes of an operator's call, a whole configuration */
#define API_REQUEST_BODY_MAX (MSG_BODY_MAX - 4096) /* leaves room for the message around it */

struct api_conns;

struct api {
	struct api_deps deps;
	struct MHD_Daemon *daemon;
	struct api_conns *conns;
	char *certificate;
	char *key;
	atomic_uint active;
	pthread_mutex_t lock; /* guards calls */
	struct call *calls;
	atomic_ullong serial;
};

enum api_access {
	API_OPEN,      /* no credentials */
	API_ANY,       /* organisations and operators */
	API_VIEWER,    /* operators */
	API_OPERATOR,  /* operators who may change things */
	API_BOOTSTRAP, /* like API_OPERATOR, and open while there is no configuration */
	API_REQUEST,   /* the request path, which has its own filters */
};

struct api_endpoint {
	const char *method;
	const char *path; /* "*" matches one segment, which becomes the request's argument */
	enum api_access access;
	bool on_loop;
	void (*run)(struct api *api, struct request *r);
};

/** api_find_endpoint() - @argument receives the segment matched by "*", owned by @mem */
const struct api_endpoint *api_find_endpoint(TALLOC_CTX *mem, const char *method, const char *url,
					     char **argument, bool *path_known);

/** api_authorise() - check an authenticated call against the endpoint's access; 0 or an error */
int api_authorise(const struct api_endpoint *endpoint, struct request *r);

/* Connections and the time they take to send a call. */
struct api_conns *api_conns_create(TALLOC_CTX *mem, struct tevent_context *ev,
				   struct metrics *metrics);
void api_conns_notify(void *cls, struct MHD_Connection *connection, void **socket_context,
		      enum MHD_ConnectionNotificationCode code);
void *api_conns_uri(void *cls, const char *uri, struct MHD_Connection *connection);
void api_conns_read(struct api_conns *conns, struct MHD_Connection *connection);

#endif
