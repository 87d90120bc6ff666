#ifndef JAYCOURSE_LIB_RAWCALL_H
#define JAYCOURSE_LIB_RAWCALL_H

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/**
 * DOC: HTTP calls whose bytes are given, which may be malformed
 */

/**
 * rawcall_send() - connect, send bytes and wait for the status of the answer
 * @address: "ip:port"
 * @bytes: copied
 * @done: called once, from the event loop; @status: of the answer; 0: there was none in time
 */
void rawcall_send(TALLOC_CTX *mem, struct tevent_context *ev, const char *address,
		  const char *bytes, size_t len, uint32_t timeout_ms,
		  void (*done)(int status, void *ctx), void *ctx);

#endif
