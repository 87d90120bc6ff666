#ifndef JAYCOURSE_DUTY_H
#define JAYCOURSE_DUTY_H

#include "store.h"

/**
 * DOC: A duty that one process of several holds, through a lease in the store
 *
 * The value of the duty's key is a JSON object {"node","address","epoch"}. The epoch grows
 * with each change of holder. Durable steps of the holder add duty_compare() to their
 * transactions, so that a former holder cannot commit.
 */

struct duty;

/**
 * struct duty_handlers - callbacks of a duty
 * @on_gained: this process holds the duty with @epoch
 * @on_lost: this process no longer holds it; nothing may be started under the old epoch
 * @on_holder: another process holds it, or nobody (@node is "")
 */
struct duty_handlers {
	void (*on_gained)(uint64_t epoch, void *ctx);
	void (*on_lost)(void *ctx);
	void (*on_holder)(const char *node, const char *address, uint64_t epoch, void *ctx);
	void *ctx;
};

/**
 * duty_create() - campaign for a duty
 * @name: for example "placement/islands"
 * @node: peer name of this process
 * @address: its peer address
 * @ttl_s: lease time to live
 *
 * While the store is down the holder keeps the duty: nobody else can gain it, and its
 * durable steps are guarded by duty_compare(). It is lost when the store answers again and
 * the key belongs to somebody else.
 */
struct duty *duty_create(TALLOC_CTX *mem, struct tevent_context *ev, struct store *store,
			 const char *name, const char *node, const char *address, uint32_t ttl_s,
			 const struct duty_handlers *handlers);

/** duty_epoch() - epoch held, or 0 when not the holder */
uint64_t duty_epoch(const struct duty *duty);

/**
 * duty_compare() - a compare that holds only while this process is the holder
 *
 * Return: 0, or -ERR_STALE when this process is not the holder. The strings in @out are
 * borrowed from the duty.
 */
int duty_compare(const struct duty *duty, struct store_compare *out);

/** duty_resign() - give the duty up at once, for a graceful shutdown; then @done is called */
void duty_resign(struct duty *duty, void (*done)(void *ctx), void *ctx);

#endif
