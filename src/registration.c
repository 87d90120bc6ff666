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
	bool registered;
	bool request_pending; /* for a lease or for the write of the record */
	bool leaving;
};

static void on_record_written(int status, const struct store_result *result, void *ctx)
{
	struct registration *registration = ctx;

	registration->request_pending = false;
	registration->registered = status == 0;
	if (registration->registered)
		log_info("entry_registered", "", "%s", registration->value);
	else
		registration->lease = 0;
}

static void on_lease_granted(int status, const struct store_result *result, void *ctx)
{
	struct registration *registration = ctx;
	struct store_op op = {
		.kind = STORE_PUT, .key = registration->key, .value = registration->value};
	struct store_cb cb = {on_record_written, registration};

	if (status || registration->leaving) {
		registration->request_pending = false;
		return;
	}
	registration->lease = result->lease;
	op.value_len = strlen(registration->value);
	op.lease = registration->lease;
	store_txn(registration->store, NULL, 0, &op, 1, cb);
}

static void request_lease(struct registration *registration)
{
	struct store_cb cb = {on_lease_granted, registration};

	registration->request_pending = true;
	store_lease_grant(registration->store, LEASE_TTL_S, cb);
}

static void on_renewed(int status, const struct store_result *result, void *ctx)
{
	struct registration *registration = ctx;

	if (status != -ERR_NOT_FOUND || registration->leaving || registration->request_pending)
		return;
	registration->lease = 0;
	registration->registered = false;
	request_lease(registration);
}

void registration_renew(struct registration *registration)
{
	struct store_cb cb = {on_renewed, registration};

	if (registration->request_pending || registration->leaving)
		return;
	if (registration->lease)
		store_lease_keepalive(registration->store, registration->lease, cb);
	else
		request_lease(registration);
}

bool registration_complete(const struct registration *registration)
{
	return registration->registered;
}

static void on_revoked(int status, const struct store_result *result, void *ctx)
{
	if (status)
		log_debug("entry_lease_kept", "",
			  "the lease of this entry host was not revoked and will expire");
}

void registration_remove(struct registration *registration)
{
	struct store_cb cb = {on_revoked, registration};

	registration->leaving = true;
	registration->registered = false;
	if (registration->lease)
		store_lease_revoke(registration->store, registration->lease, cb);
	registration->lease = 0;
}

struct registration *registration_create(TALLOC_CTX *mem, struct store *store, const char *node,
					 const char *value)
{
	struct registration *registration = talloc_zero(mem, struct registration);

	registration->store = store;
	registration->key = talloc_asprintf(registration, REGISTRATION_PREFIX "%s", node);
	registration->value = value;
	request_lease(registration);
	return registration;
}
