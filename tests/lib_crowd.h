#ifndef JAYCOURSE_LIB_CROWD_H
#define JAYCOURSE_LIB_CROWD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/**
 * DOC: Clients that send large bodies to a server and do not finish them
 */

/**
 * struct crowd_options - what each client of a crowd sends
 * @method, @path, @host, @authorization: of the request; @host and @authorization may be NULL
 * @clients: number of connections
 * @body_bytes: of the body that each client sends or begins to send
 * @announced_bytes: Content-Length; 0: the body is sent in chunks
 * @chunk_bytes: size of a chunk, with its own header each; of the pieces that a body without chunks
 *	is written in
 * @finish_every: each client of this number completes its body; 0: none does
 */
struct crowd_options {
	const char *method;
	const char *path;
	const char *host;
	const char *authorization;
	uint32_t clients;
	size_t body_bytes;
	size_t announced_bytes;
	size_t chunk_bytes;
	uint32_t finish_every;
};

struct crowd;

/**
 * crowd_start() - connect all clients and send until none makes progress
 * @address: "ip:port"
 *
 * The clients send by turns, a piece each. The connections stay open until crowd_end().
 */
struct crowd *crowd_start(const char *address, const struct crowd_options *options);

/** crowd_end() - close all connections */
void crowd_end(struct crowd *crowd);

/** proc_peak_kb() - largest resident memory that a process has had, in kB; 0 if it has ended */
uint64_t proc_peak_kb(pid_t pid);

/** proc_descriptors() - number of open descriptors of a process; 0 if it has ended */
uint32_t proc_descriptors(pid_t pid);

#endif
