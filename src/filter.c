#include "filter.h"
#include "auth.h"
#include "claim.h"
#include "util.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SHARDS 16
#define TOKEN_MAX_BYTES 512

struct shard {
	pthread_mutex_t lock;
	GHashTable *in_flight; /* organisation name to number of requests */
};

struct filters {
	struct configrepo *configs;
	struct metrics *metrics;
	struct auth *auth;
	atomic_uint entries;
	atomic_bool leaving;
	struct shard shards[SHARDS];
};

static int filters_destructor(struct filters *filters)
{
	TALLOC_FREE(filters->auth);
	for (int i = 0; i < SHARDS; i++) {
		g_hash_table_destroy(filters->shards[i].in_flight);
		pthread_mutex_destroy(&filters->shards[i].lock);
	}
	return 0;
}

struct filters *filters_create(TALLOC_CTX *mem, struct configrepo *configs, struct metrics *metrics,
			       struct err *err)
{
	struct filters *filters = talloc_zero(mem, struct filters);

	filters->configs = configs;
	filters->metrics = metrics;
	atomic_init(&filters->entries, 1);
	filters->auth = auth_create(filters);
	if (!filters->auth) {
		err_set(err, ERR_SYSTEM, "check the limits of the process",
			"cannot start the thread that checks tokens");
		talloc_free(filters);
		return NULL;
	}
	for (int i = 0; i < SHARDS; i++) {
		pthread_mutex_init(&filters->shards[i].lock, NULL);
		filters->shards[i].in_flight =
			g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	}
	talloc_set_destructor(filters, filters_destructor);
	return filters;
}

void filters_set_entries(struct filters *filters, uint32_t entries)
{
	atomic_store(&filters->entries, entries ? entries : 1);
}

void filters_set_leaving(struct filters *filters)
{
	atomic_store(&filters->leaving, true);
}

bool filters_leaving(const struct filters *filters)
{
	return atomic_load(&filters->leaving);
}

static int refuse_leaving(struct filter *filter, struct request *request, void *ctx)
{
	if (!filters_leaving(ctx))
		return 0;
	return err_set(&request->err, ERR_LEAVING,
		       "retry; the load balancer will choose another host",
		       "this entry host is shutting down");
}

static int set_denied(struct request *request)
{
	return err_set(&request->err, ERR_DENIED,
		       "send Authorization: Bearer with a token of an organisation or operator",
		       request->token ? "the token is not known"
				      : "the call carries no bearer token");
}

int filters_check_token(struct filters *filters, struct request *request)
{
	return auth_check_token(filters->auth, request);
}

int filters_authenticate(struct filters *filters, struct request *request)
{
	if (!request->config)
		request->config = configrepo_current(filters->configs);
	if (!request->config)
		return err_set(&request->err, ERR_UNAVAILABLE, "retry, or apply a configuration",
			       "this entry host has no configuration yet");
	if (!request->token || strlen(request->token) > TOKEN_MAX_BYTES)
		return set_denied(request);
	if (!request->identified && !auth_look_up(filters->auth, request))
		return FILTERS_PENDING;
	request->identified = true;
	return request->organisation || request->operator_ ? 0 : set_denied(request);
}

static int authenticate_organisation(struct filter *filter, struct request *request, void *ctx)
{
	int ret = filters_authenticate(ctx, request);

	if (ret)
		return ret;
	if (request->organisation)
		return 0;
	request->http_status = 403;
	return err_set(&request->err, ERR_DENIED, "use a token of an organisation",
		       "operators cannot send requests to services");
}

static bool is_known_service(const struct config *config, const char *name)
{
	if (config_service(config, name))
		return true;
	for (size_t i = 0; i < config->class_count; i++) {
		if (!strcmp(config->classes[i].service, name))
			return true;
	}
	return false;
}

/* Returns the class of a service that has exactly one, for a caller that names none; or NULL. */
static const struct config_class *find_only_class(const struct config *config, const char *service)
{
	const struct config_class *found = NULL;

	for (size_t i = 0; i < config->class_count; i++) {
		if (strcmp(config->classes[i].service, service) != 0)
			continue;
		if (found)
			return NULL;
		found = &config->classes[i];
	}
	return found;
}

static int find_class(struct filter *filter, struct request *request, void *ctx)
{
	if (!is_known_service(request->config, request->service))
		return err_set(&request->err, ERR_NOT_FOUND,
			       "check the name, or have an operator add the service",
			       "there is no service %.64s", request->service);
	if (!request->class_name) {
		request->class_ = find_only_class(request->config, request->service);
		if (request->class_)
			return 0;
		return err_set(&request->err, ERR_INVALID, "send X-Jaycourse-Class",
			       "service %.64s does not have exactly one class", request->service);
	}
	request->class_ = config_class(request->config, request->class_name);
	if (!request->class_)
		return err_set(&request->err, ERR_NOT_FOUND,
			       "correct X-Jaycourse-Class, or have an operator add the class",
			       "there is no class %.64s", request->class_name);
	if (strcmp(request->class_->service, request->service) != 0)
		return err_set(&request->err, ERR_INVALID, "use a class of this service",
			       "class %.64s does not belong to service %.64s", request->class_name,
			       request->service);
	return 0;
}

static int check_idempotence(struct request *request)
{
	size_t len = request->key ? strlen(request->key) : 0;

	request->idempotent = request->class_->idempotent;
	if (request->idempotent_text) {
		request->idempotent = !strcmp(request->idempotent_text, "yes");
		if (!request->idempotent && strcmp(request->idempotent_text, "no") != 0)
			return err_set(&request->err, ERR_INVALID, "send yes or no",
				       "X-Jaycourse-Idempotent is neither yes nor no");
	}
	if (request->key && (!len || len > REQUEST_KEY_MAX))
		return err_set(&request->err, ERR_INVALID, "send a key of 1 to 256 bytes",
			       "Idempotency-Key has %zu bytes", len);
	request->needs_claim = request->key && !request->idempotent;
	if (request->key)
		request->key_hash =
			claim_hash(request->organisation->name, request->service, request->key);
	return 0;
}

static int check_limits(struct filter *filter, struct request *request, void *ctx)
{
	uint32_t limit = request->config->limits.body_bytes;

	if (request->duplicate_header)
		return err_set(&request->err, ERR_INVALID, "send the header once",
			       "the header %s is given more than once or contradicts another",
			       request->duplicate_header);
	if (limit && request->body_len > limit)
		return err_set(&request->err, ERR_TOO_LARGE, "send a smaller body",
			       "the body has more than %" PRIu32 " bytes", limit);
	return check_idempotence(request);
}

static int check_deadline(struct filter *filter, struct request *request, void *ctx)
{
	uint64_t limit = request->class_->deadline_ms;
	uint64_t value = limit;
	char *end = NULL;

	if (request->deadline_text) {
		errno = 0;
		value = strtoull(request->deadline_text, &end, 10);
		if (errno || !end || *end || request->deadline_text[0] < '0' ||
		    request->deadline_text[0] > '9')
			return err_set(&request->err, ERR_INVALID,
				       "send whole milliseconds from now",
				       "X-Jaycourse-Deadline-Ms is not a number");
		if (!value)
			return err_set(&request->err, ERR_DEADLINE, "allow more time",
				       "the deadline has passed already");
		if (value > limit)
			value = limit;
	}
	request->deadline_ms = util_clock_ms() + value;
	return 0;
}

/* This entry host's part of a quota; the load balancer spreads requests evenly over the entries. */
static uint32_t local_quota(struct filters *filters, uint32_t quota)
{
	uint32_t entries = atomic_load(&filters->entries);

	return (quota + entries - 1) / entries;
}

static int acquire_quota(struct filter *filter, struct request *request, void *ctx)
{
	struct filters *filters = ctx;
	const char *name = request->organisation->name;
	uint32_t quota = request->organisation->quota_requests_in_flight;
	struct shard *shard = &filters->shards[util_hash_str(name) % SHARDS];
	unsigned int used;

	pthread_mutex_lock(&shard->lock);
	used = GPOINTER_TO_UINT(g_hash_table_lookup(shard->in_flight, name));
	request->quota_counted = !quota || used < local_quota(filters, quota);
	if (request->quota_counted)
		g_hash_table_insert(shard->in_flight, g_strdup(name), GUINT_TO_POINTER(used + 1));
	pthread_mutex_unlock(&shard->lock);
	if (request->quota_counted)
		return 0;
	return err_set(
		&request->err, ERR_OVER_QUOTA, "wait for earlier requests to end, then retry",
		"organisation %.64s has %u requests in flight on this entry host", name, used);
}

static void release_quota(struct filters *filters, struct request *request)
{
	const char *name = request->organisation->name;
	struct shard *shard = &filters->shards[util_hash_str(name) % SHARDS];
	unsigned int used;

	pthread_mutex_lock(&shard->lock);
	used = GPOINTER_TO_UINT(g_hash_table_lookup(shard->in_flight, name));
	if (used > 1)
		g_hash_table_insert(shard->in_flight, g_strdup(name), GUINT_TO_POINTER(used - 1));
	else
		g_hash_table_remove(shard->in_flight, name);
	pthread_mutex_unlock(&shard->lock);
	request->quota_counted = false;
}

void filters_release(struct filters *filters, struct request *request)
{
	if (request->quota_counted)
		release_quota(filters, request);
	if (request->config)
		configrepo_release(filters->configs, request->config);
	request->config = NULL;
}

int filters_run_chain(struct filters *filters, struct request *request)
{
	static struct filter chain[] = {
		{"leaving", refuse_leaving},  {"authenticate", authenticate_organisation},
		{"class", find_class},	      {"limits", check_limits},
		{"deadline", check_deadline}, {"quota", acquire_quota},
	};

	for (size_t i = 0; i < sizeof(chain) / sizeof(chain[0]); i++) {
		int ret = chain[i].run(&chain[i], request, filters);

		if (!ret)
			continue;
		if (ret < 0)
			metrics_count_refusal(filters->metrics, err_name(ret));
		return ret;
	}
	return 0;
}
