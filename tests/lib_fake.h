#ifndef JAYCOURSE_LIB_FAKE_H
#define JAYCOURSE_LIB_FAKE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: HTTP server, options and announcements shared by the stand-ins of targets
 *
 * Each connection is served by its own thread, so handlers may sleep.
 */

struct fake_option {
	const char *name; /* with the leading "--" */
	const char **value;
};

/** fake_parse_options() - parse "--name value" pairs; exits with a message on an unknown option */
void fake_parse_options(int argc, char **argv, const struct fake_option *options, size_t count);

struct fake_request {
	const char *method;
	const char *path;
	const char *body; /* NUL terminated */
	size_t body_len;
	const char *id;		  /* X-Jaycourse-Request or "" */
	const char *class_name;	  /* X-Jaycourse-Class or "" */
	const char *organisation; /* X-Jaycourse-Organisation or "" */
};

/**
 * struct fake_reply - response of a request handler
 * @body: allocated with malloc(); the server frees it
 * @cut_after: close the connection after this many bytes of the body; 0: never
 */
struct fake_reply {
	unsigned int status;
	char *body;
	size_t cut_after;
};

/** fake_reply_json() - fill a reply with @root as JSON; takes over the reference to @root */
void fake_reply_json(struct fake_reply *reply, unsigned int status, json_t *root);

/** fake_reply_error() - fill a reply with {"error": @text} */
void fake_reply_error(struct fake_reply *reply, unsigned int status, const char *text);

struct fake_server;

/** fake_block_signals() - block SIGTERM and SIGINT so that only fake_wait_signal() receives them;
 * call before any thread starts */
void fake_block_signals(void);

/**
 * fake_server_start() - listen and print "listening ip:port"
 * @connections: maximum number of open connections
 *
 * Return: the server; exits with a message when the address cannot be bound.
 */
struct fake_server *fake_server_start(const char *listen, unsigned int connections,
				      void (*handle)(const struct fake_request *request,
						     struct fake_reply *reply, void *ctx),
				      void *ctx);

/** fake_server_url() - "http://ip:port" of a server, which owns the string */
const char *fake_server_url(const struct fake_server *server);

/** fake_server_stop() - wait for running handlers, close all connections, free the server */
void fake_server_stop(struct fake_server *server);

/** fake_announce() - POST an announcement to the agent; takes over the reference to @root */
void fake_announce(const char *agent, json_t *root);

/** fake_wait_signal() - wait for SIGTERM or SIGINT; false if neither arrived within @timeout_ms */
bool fake_wait_signal(uint32_t timeout_ms);

#endif
