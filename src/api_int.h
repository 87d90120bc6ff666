#ifndef JAYCOURSE_API_INT_H
#define JAYCOURSE_API_INT_H

#include "api.h"

#include <microhttpd.h>

/* Shared by api.c (HTTP server), api_calls.c and api_config.c (endpoints) and api_conn.c
 * (connections). */

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
	atomic_size_t body_bytes; /* of calls being read and of requests not yet ended */
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

/* A call that waits for a callback on the loop thread; holds a reference to the request. */
struct api_pending {
	struct api *api;
	struct request *r;
	const char *what; /* of an audited change */
	json_t *files;
	char *by;
};

struct api_pending *api_pend(struct api *api, struct request *r);
void api_unpend(struct api_pending *p);

/** api_fail() - answer with r->err */
void api_fail(struct request *r, enum request_outcome outcome);

/** api_caller_name() - operator or organisation of an authenticated call, or "" */
const char *api_caller_name(const struct request *r);

/** api_audit() - log who changed what, and the outcome; @status as returned by the change */
void api_audit(const struct request *r, const char *who, const char *what, int status);

/** api_parse_body() - the body as a JSON object, or NULL after the call has been refused */
json_t *api_parse_body(struct request *r);

/* Endpoints of the configuration, in api_config.c. */
void api_config_get(struct api *api, struct request *r);
void api_config_history(struct api *api, struct request *r);
void api_config_apply(struct api *api, struct request *r);
void api_drain(struct api *api, struct request *r);

/* Connections and the time they take to send a call. */
struct api_conns *api_conns_create(TALLOC_CTX *mem, struct tevent_context *ev,
				   struct metrics *metrics);
void api_conns_notify(void *cls, struct MHD_Connection *connection, void **socket_context,
		      enum MHD_ConnectionNotificationCode code);
void *api_conns_uri(void *cls, const char *uri, struct MHD_Connection *connection);
void api_conns_read(struct api_conns *conns, struct MHD_Connection *connection);

#endif
