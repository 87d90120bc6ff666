#ifndef JAYCOURSE_REGISTRATION_H
#define JAYCOURSE_REGISTRATION_H

#include "store.h"

/**
 * DOC: This entry host's record in the store
 *
 * The key "entry/<node id>" is bound to a lease. The lease is renewed; after it has lapsed, a new
 * one is requested and the record is written again. Runs on the loop thread.
 */

#define REGISTRATION_PREFIX "entry/"
#define REGISTRATION_RENEW_MS 2000

struct registration;

/** registration_create() - register now; @value is the record, borrowed until freed */
struct registration *registration_create(TALLOC_CTX *mem, struct store *store, const char *node,
					 const char *value);

/** registration_renew() - call every REGISTRATION_RENEW_MS */
void registration_renew(struct registration *registration);

/** registration_complete() - true while the record is in the store, as far as this process knows */
bool registration_complete(const struct registration *registration);

/** registration_remove() - remove the record and renew it no more, for a shutdown */
void registration_remove(struct registration *registration);

#endif
