#ifndef JAYCOURSE_TESTS_LIB_FAKESTORE_H
#define JAYCOURSE_TESTS_LIB_FAKESTORE_H

#include "store.h"

#include <jansson.h>

/** DOC: Starts the store stand-in as a child process of a test and sets its faults */

#define LOOP_TIMEOUT_MS 30000 /* long enough also for a busy machine */

struct fakestore;

/**
 * fakestore_start() - start fake_store on a free port; freeing the result kills the process
 * @flags: NULL-terminated list of command-line arguments, or NULL
 */
struct fakestore *fakestore_start(TALLOC_CTX *mem, struct tevent_context *ev,
				  const char *const *flags);

const char *fakestore_url(const struct fakestore *fake);

/** fakestore_client() - create a store client for the stand-in, owned by @mem; a @timeout_ms of
 * 0 means 10 s */
struct store *fakestore_client(TALLOC_CTX *mem, struct fakestore *fake, uint32_t timeout_ms);

/** fakestore_set_fault() - POST /fault, for example "{\"down\":true}" */
void fakestore_set_fault(struct fakestore *fake, const char *json);

/** fakestore_pause() - stop the process with SIGSTOP, or continue it */
void fakestore_pause(struct fakestore *fake, bool pause);

/** fakestore_stat() - one number of the stand-in's GET /stats */
int64_t fakestore_stat(struct fakestore *fake, const char *name);

/** loop_until() - run the event loop until @done is above 0; false after LOOP_TIMEOUT_MS */
bool loop_until(struct tevent_context *ev, const int *done);

/** loop_for() - run the event loop for a fixed time, to check that something does not happen */
void loop_for(struct tevent_context *ev, uint32_t ms);

#endif
