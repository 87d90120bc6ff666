#ifndef JAYCOURSE_AUTH_H
#define JAYCOURSE_AUTH_H

#include "request.h"

/**
 * DOC: Authentication of bearer tokens
 *
 * A sharded cache holds the result for each checked token, keyed by a hash of the token and the
 * revision of the configuration. Tokens that are not in the cache are checked by one thread. The
 * functions may be called from any thread.
 */

struct auth;

struct auth *auth_create(TALLOC_CTX *mem);

/**
 * auth_look_up() - look up request->token, under request->config, in the cache
 *
 * Return: true when the result is cached; request->organisation or request->operator_ is then set
 * to the token's owner, and neither when the token is not valid.
 */
bool auth_look_up(struct auth *auth, struct request *request);

/**
 * auth_check_token() - queue a token that is not in the cache for its check
 *
 * Takes over a reference to @request; calls request_resume() once @request holds the result.
 *
 * Return: 0, or -ERR_UNAVAILABLE when too many tokens wait; the caller then keeps the reference.
 */
int auth_check_token(struct auth *auth, struct request *request);

#endif
