#include "registration.h"
#include "log.h"

#include <string.h>

/* The lease outlives two missed renewals. */
#define LEASE_TTL_S 6

struct registration {
	struct store *store;
	char *key;
	const char *value;
	int64_t lease;
	bool done;
	bool asking;
	bool leaving;
};

static void on_written(int status, const struct store_result *result, void *ctx)
{
	struct registration *r = ctx;

	r->asking = false;
	r->done = status == 0;
	if (r->done)
		log_info("entry_registered", "", "%s", r->value);
	else
		r->lease = 0;
}

static void on_lease(int status, const struct store_result *result, void *ctx)
{
	struct registration *r = ctx;
	struct store_op op = {.kind = STORE_PUT, .key = r->key, .value = r->value};
	struct store_cb cb = {on_written, r};

	if (status || r->leaving) {
		r->asking = false;
		return;
	}
	r->lease = result->lease;
	op.value_len = strlen(r->value);
	op.lease = r->lease;
	store_txn(r->store, NULL, 0, &op, 1, cb);
}

static void ask_lease(struct registration *r)
{
	struct store_cb cb = {on_lease, r};

	r->asking = true;
	store_lease_grant(r->store, LEASE_TTL_S, cb);
}

static void on_renewed(int status, const struct store_result *result, void *ctx)
{
	struct registration *r = ctx;

	if (status != -ERR_NOT_FOUND || r->leaving || r->asking)
		return;
	r->lease = 0;
	r->done = false;
	ask_lease(r);
}

void registration_renew(struct registration *r)
{
	struct store_cb cb = {on_renewed, r};

	if (r->asking || r->leaving)
		return;
	if (r->lease)
		store_lease_keepalive(r->store, r->lease, cb);
	else
		ask_lease(r);
}

bool registration_done(const struct registration *r)
{
	return r->done;
}

static void on_revoked(int status, const struct store_result *result, void *ctx)
{
	if (status)
		log_debug("entry_lease_kept", "", "the lease of this entry runs out by itself");
}

void registration_leave(struct registration *r)
{
	struct store_cb cb = {on_revoked, r};

	r->leaving = true;
	r->done = false;
	if (r->lease)
		store_lease_revoke(r->store, r->lease, cb);
	r->lease = 0;
}

struct registration *registration_create(TALLOC_CTX *mem, struct store *store, const char *node,
					 const char *value)
{
	struct registration *r = talloc_zero(mem, struct registration);

	r->store = store;
	r->key = talloc_asprintf(r, REGISTRATION_PREFIX "%s", node);
	r->value = value;
	ask_lease(r);
	return r;
}
