#ifndef JAYCOURSE_LIB_FAKE_H
#define JAYCOURSE_LIB_FAKE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Parts shared by the stand-ins of targets
 *
 * Each connection is served by its own thread, so handlers may sleep.
 */

struct fake_option {
	const char *name; /* with the leading "--" */
	const char **value;
};

/** fake_parse() - read "--name value" pairs; exits with a message on an unknown one */
void fake_parse(int argc, char **argv, const struct fake_option *options, size_t count);

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
 * struct fake_reply - answer of a handler
 * @body: allocated with malloc(); the caller frees it
 * @cut_after: close the connection after this many bytes of the body; 0: never
 */
struct fake_reply {
	unsigned int status;
	char *body;
	size_t cut_after;
};

/** fake_reply_json() - fill a reply and drop the reference to @root */
void fake_reply_json(struct fake_reply *reply, unsigned int status, json_t *root);

/** fake_reply_error() - {"error": @text} */
void fake_reply_error(struct fake_reply *reply, unsigned int status, const char *text);

struct fake_server;

/** fake_block_signals() - leave SIGTERM and SIGINT to fake_wait(); call before any thread starts */
void fake_block_signals(void);

/**
 * fake_server_start() - listen and print "listening ip:port"
 * @connections: limit of open connections
 *
 * Return: the server; exits with a message when the address cannot be bound.
 */
struct fake_server *fake_server_start(const char *listen, unsigned int connections,
				      void (*handle)(const struct fake_request *request,
						     struct fake_reply *reply, void *ctx),
				      void *ctx);

/** fake_server_url() - "http://ip:port", borrowed */
const char *fake_server_url(const struct fake_server *server);

/** fake_server_stop() - wait for the handlers that run, close and free */
void fake_server_stop(struct fake_server *server);

/** fake_announce() - POST an announcement to the agent and drop the reference to @root */
void fake_announce(const char *agent, json_t *root);

/** fake_wait() - true when a signal to end arrived within @timeout_ms */
bool fake_wait(uint32_t timeout_ms);

#endif
