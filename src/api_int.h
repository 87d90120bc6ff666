#ifndef JAYCOURSE_API_INT_H
#define JAYCOURSE_API_INT_H

#include "api.h"

#include <microhttpd.h>

/*
 * Shared by api.c (HTTP server), api_calls.c and api_config.c (endpoints) and api_conn.c
 * (connections).
 */

/* Body of any call but a service request; the largest is a whole configuration. */
#define API_BODY_MAX_BYTES (2 * 1024 * 1024)
/* Body of a service request; the rest of the message to the agent fits in 4096 bytes. */
#define API_REQUEST_BODY_MAX_BYTES (MSG_BODY_MAX - 4096)

struct api_conns;

struct api {
	struct api_deps deps;
	struct MHD_Daemon *daemon;
	struct api_conns *conns;
	char *certificate;
	char *key;
	atomic_uint active;   /* calls not yet completed */
	pthread_mutex_t lock; /* guards calls */
	struct call *calls;
	atomic_ullong serial;	  /* last serial number used in a request id */
	atomic_size_t body_bytes; /* of calls being read and of requests not yet freed */
};

enum api_access {
	API_PUBLIC,	   /* no credentials */
	API_AUTHENTICATED, /* organisations and operators */
	API_VIEWER,	   /* operators */
	API_OPERATOR,	   /* operators with the role operator */
	API_BOOTSTRAP,	   /* like API_OPERATOR, and open while there is no configuration */
	API_REQUEST,	   /* the request path, which has its own filters */
};

struct api_endpoint {
	const char *method;
	const char *path; /* "*" matches one segment, which becomes the request's argument */
	enum api_access access;
	bool on_loop; /* @run is called on the loop thread, not on an HTTP thread */
	void (*run)(struct api *api, struct request *request);
};

/**
 * api_find_endpoint() - find the endpoint for a method and path
 * @argument: receives the segment matched by "*", owned by @mem
 * @path_known: receives whether any method is served at this path
 *
 * Return: the endpoint, or NULL.
 */
const struct api_endpoint *api_find_endpoint(TALLOC_CTX *mem, const char *method, const char *url,
					     char **argument, bool *path_known);

/** api_authorise() - check an authenticated call against the endpoint's access; 0 or -ERR_DENIED */
int api_authorise(const struct api_endpoint *endpoint, struct request *request);

/* A call that waits for a callback on the loop thread; holds a reference to the request. */
struct api_pending {
	struct api *api;
	struct request *request;
	const char *action; /* name in the audit log; NULL if the call changes nothing */
	json_t *files;	    /* configuration to apply */
	char *author;
};

struct api_pending *api_pending_create(struct api *api, struct request *request);
void api_pending_free(struct api_pending *pending);

/** api_reply_error() - answer with request->err and count the refusal */
void api_reply_error(struct api *api, struct request *request, enum request_outcome outcome);

/** api_caller_name() - operator or organisation of an authenticated call, or "" */
const char *api_caller_name(const struct request *request);

/** api_audit() - log who changed what, and the outcome; @status as returned by the change */
void api_audit(const struct request *request, const char *caller, const char *action, int status);

/** api_parse_body() - the body as a JSON object, or NULL after the call has been refused */
json_t *api_parse_body(struct api *api, struct request *request);

/* Endpoints of the configuration, in api_config.c. */
void api_config_get(struct api *api, struct request *request);
void api_config_history(struct api *api, struct request *request);
void api_config_apply(struct api *api, struct request *request);
void api_drain(struct api *api, struct request *request);

/* Connections, and the limit on the time in which a call has to arrive. */
struct api_conns *api_conns_create(TALLOC_CTX *mem, struct tevent_context *ev,
				   struct metrics *metrics);
void api_conns_on_connection(void *cls, struct MHD_Connection *connection, void **socket_context,
			     enum MHD_ConnectionNotificationCode code);
void *api_conns_on_call_start(void *cls, const char *uri, struct MHD_Connection *connection);
void api_conns_on_call_read(struct api_conns *conns, struct MHD_Connection *connection);

#endif
