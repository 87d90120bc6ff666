#ifndef JAYCOURSE_REGISTRATION_H
#define JAYCOURSE_REGISTRATION_H

#include "store.h"

/**
 * DOC: This entry's record in the store
 *
 * The key "entry/<node id>" lives under a lease, which is renewed, and granted anew after it
 * has lapsed. Runs on the loop thread.
 */

#define REGISTRATION_PREFIX "entry/"
#define REGISTRATION_RENEW_MS 2000

struct registration;

/** registration_create() - register now; @value is the record, borrowed for its life */
struct registration *registration_create(TALLOC_CTX *mem, struct store *store, const char *node,
					 const char *value);

/** registration_renew() - call every REGISTRATION_RENEW_MS */
void registration_renew(struct registration *r);

/** registration_done() - true while the record is in the store as far as is known */
bool registration_done(const struct registration *r);

/** registration_leave() - remove the record for good */
void registration_leave(struct registration *r);

#endif
