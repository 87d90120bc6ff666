#ifndef JAYCOURSE_AUTH_H
#define JAYCOURSE_AUTH_H

#include "request.h"

/**
 * DOC: Whose token is this?
 *
 * A sharded cache of checked tokens, by a hash of the token and for one revision of the
 * configuration, in front of a thread that checks the others. Callable from any thread.
 */

struct auth;

struct auth *auth_create(TALLOC_CTX *mem);

/**
 * auth_look_up() - ask the cache about r->token under r->config
 *
 * Return: true when the answer is known; r->organisation and r->operator_ then tell the
 * owner, and neither is set when the token is not valid.
 */
bool auth_look_up(struct auth *a, struct request *r);

/**
 * auth_check() - have a token checked that is not in the cache
 *
 * Takes over a reference to @r; calls request_resume() when the result is in @r.
 *
 * Return: 0, or -ERR_UNAVAILABLE when too many tokens wait; then @r stays the caller's.
 */
int auth_check(struct auth *a, struct request *r);

#endif
