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
#define TOKEN_MAX 512

struct shard {
	pthread_mutex_t lock;
	GHashTable *in_flight; /* organisation to count */
};

struct filters {
	struct configrepo *configs;
	struct metrics *metrics;
	struct auth *auth;
	atomic_uint entries;
	atomic_bool leaving;
	struct shard shards[SHARDS];
};

static int filters_destructor(struct filters *f)
{
	TALLOC_FREE(f->auth);
	for (int i = 0; i < SHARDS; i++) {
		g_hash_table_destroy(f->shards[i].in_flight);
		pthread_mutex_destroy(&f->shards[i].lock);
	}
	return 0;
}

struct filters *filters_create(TALLOC_CTX *mem, struct configrepo *configs, struct metrics *metrics)
{
	struct filters *f = talloc_zero(mem, struct filters);

	f->configs = configs;
	f->metrics = metrics;
	atomic_init(&f->entries, 1);
	f->auth = auth_create(f);
	for (int i = 0; i < SHARDS; i++) {
		pthread_mutex_init(&f->shards[i].lock, NULL);
		f->shards[i].in_flight =
			g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	}
	talloc_set_destructor(f, filters_destructor);
	return f;
}

void filters_set_entries(struct filters *f, uint32_t entries)
{
	atomic_store(&f->entries, entries ? entries : 1);
}

void filters_set_leaving(struct filters *f)
{
	atomic_store(&f->leaving, true);
}

bool filters_leaving(const struct filters *f)
{
	return atomic_load(&f->leaving);
}

static int refuse_leaving(struct filter *filter, struct request *r, void *ctx)
{
	if (!filters_leaving(ctx))
		return 0;
	return err_set(&r->err, ERR_LEAVING, "retry; the load balancer will choose another host",
		       "this entry host is shutting down");
}

static int denied(struct request *r)
{
	return err_set(&r->err, ERR_DENIED,
		       "send Authorization: Bearer with a token of an organisation or operator",
		       r->token ? "the token is not known" : "the call carries no bearer token");
}

int filters_check(struct filters *f, struct request *r)
{
	return auth_check(f->auth, r);
}

int filters_authenticate(struct filters *f, struct request *r)
{
	if (!r->config)
		r->config = configrepo_current(f->configs);
	if (!r->config)
		return err_set(&r->err, ERR_UNAVAILABLE, "retry, or apply a configuration",
			       "this entry host has no configuration yet");
	if (!r->token || strlen(r->token) > TOKEN_MAX)
		return denied(r);
	if (!r->identified && !auth_look_up(f->auth, r))
		return FILTERS_PENDING;
	r->identified = true;
	return r->organisation || r->operator_ ? 0 : denied(r);
}

static int authenticate(struct filter *filter, struct request *r, void *ctx)
{
	int ret = filters_authenticate(ctx, r);

	if (ret)
		return ret;
	if (r->organisation)
		return 0;
	r->http_status = 403;
	return err_set(&r->err, ERR_DENIED, "use a token of an organisation",
		       "operators cannot send requests to services");
}

static bool known_service(const struct config *c, const char *name)
{
	if (config_service(c, name))
		return true;
	for (size_t i = 0; i < c->class_count; i++) {
		if (!strcmp(c->classes[i].service, name))
			return true;
	}
	return false;
}

/* The only class of a service, when the caller names none. */
static const struct config_class *only_class(const struct config *c, const char *service)
{
	const struct config_class *found = NULL;

	for (size_t i = 0; i < c->class_count; i++) {
		if (strcmp(c->classes[i].service, service) != 0)
			continue;
		if (found)
			return NULL;
		found = &c->classes[i];
	}
	return found;
}

static int find_class(struct filter *filter, struct request *r, void *ctx)
{
	if (!known_service(r->config, r->service))
		return err_set(&r->err, ERR_NOT_FOUND,
			       "check the name, or have an operator add the service",
			       "there is no service %.64s", r->service);
	if (!r->class_name) {
		r->class_ = only_class(r->config, r->service);
		if (r->class_)
			return 0;
		return err_set(&r->err, ERR_INVALID, "send X-Jaycourse-Class",
			       "service %.64s does not have exactly one class", r->service);
	}
	r->class_ = config_class(r->config, r->class_name);
	if (!r->class_)
		return err_set(&r->err, ERR_NOT_FOUND,
			       "correct X-Jaycourse-Class, or have an operator add the class",
			       "there is no class %.64s", r->class_name);
	if (strcmp(r->class_->service, r->service) != 0)
		return err_set(&r->err, ERR_INVALID, "use a class of this service",
			       "class %.64s does not belong to service %.64s", r->class_name,
			       r->service);
	return 0;
}

static int check_idempotence(struct request *r)
{
	size_t len = r->key ? strlen(r->key) : 0;

	r->idempotent = r->class_->idempotent;
	if (r->idempotent_text) {
		r->idempotent = !strcmp(r->idempotent_text, "yes");
		if (!r->idempotent && strcmp(r->idempotent_text, "no") != 0)
			return err_set(&r->err, ERR_INVALID, "send yes or no",
				       "X-Jaycourse-Idempotent is neither yes nor no");
	}
	if (r->key && (!len || len > REQUEST_KEY_MAX))
		return err_set(&r->err, ERR_INVALID, "send a key of 1 to 256 bytes",
			       "Idempotency-Key has %zu bytes", len);
	r->needs_claim = r->key && !r->idempotent;
	if (r->key)
		r->key_hash = claim_hash(r->organisation->name, r->service, r->key);
	return 0;
}

static int check_limits(struct filter *filter, struct request *r, void *ctx)
{
	uint32_t most = r->config->limits.body_bytes;

	if (r->problem)
		return err_set(&r->err, ERR_INVALID, "send the header once",
			       "the header %s is given more than once or contradicts another",
			       r->problem);
	if (most && r->body_len > most)
		return err_set(&r->err, ERR_TOO_LARGE, "send a smaller body",
			       "the body has more than %" PRIu32 " bytes", most);
	return check_idempotence(r);
}

static int check_deadline(struct filter *filter, struct request *r, void *ctx)
{
	uint64_t most = r->class_->deadline_ms;
	uint64_t value = most;
	char *end = NULL;

	if (r->deadline_text) {
		errno = 0;
		value = strtoull(r->deadline_text, &end, 10);
		if (errno || !end || *end || r->deadline_text[0] < '0' || r->deadline_text[0] > '9')
			return err_set(&r->err, ERR_INVALID, "send whole milliseconds from now",
				       "X-Jaycourse-Deadline-Ms is not a number");
		if (!value)
			return err_set(&r->err, ERR_DEADLINE, "allow more time",
				       "the deadline has passed already");
		if (value > most)
			value = most;
	}
	r->deadline_ms = util_clock_ms() + value;
	return 0;
}

/* This entry's part of an organisation's quota; the load balancer spreads requests evenly. */
static uint32_t quota_part(struct filters *f, uint32_t quota)
{
	uint32_t entries = atomic_load(&f->entries);

	return (quota + entries - 1) / entries;
}

static int take_quota(struct filter *filter, struct request *r, void *ctx)
{
	struct filters *f = ctx;
	const char *name = r->organisation->name;
	uint32_t quota = r->organisation->quota_requests_in_flight;
	struct shard *shard = &f->shards[util_hash_str(name) % SHARDS];
	unsigned int used;

	pthread_mutex_lock(&shard->lock);
	used = GPOINTER_TO_UINT(g_hash_table_lookup(shard->in_flight, name));
	r->quota_counted = !quota || used < quota_part(f, quota);
	if (r->quota_counted)
		g_hash_table_insert(shard->in_flight, g_strdup(name), GUINT_TO_POINTER(used + 1));
	pthread_mutex_unlock(&shard->lock);
	if (r->quota_counted)
		return 0;
	return err_set(&r->err, ERR_OVER_QUOTA, "wait for earlier requests to end, then retry",
		       "organisation %.64s has %u requests in flight on this entry host", name,
		       used);
}

static void give_quota(struct filters *f, struct request *r)
{
	const char *name = r->organisation->name;
	struct shard *shard = &f->shards[util_hash_str(name) % SHARDS];
	unsigned int used;

	pthread_mutex_lock(&shard->lock);
	used = GPOINTER_TO_UINT(g_hash_table_lookup(shard->in_flight, name));
	if (used > 1)
		g_hash_table_insert(shard->in_flight, g_strdup(name), GUINT_TO_POINTER(used - 1));
	else
		g_hash_table_remove(shard->in_flight, name);
	pthread_mutex_unlock(&shard->lock);
	r->quota_counted = false;
}

void filters_done(struct filters *f, struct request *r)
{
	if (r->quota_counted)
		give_quota(f, r);
	if (r->config)
		configrepo_release(f->configs, r->config);
	r->config = NULL;
}

int filters_request(struct filters *f, struct request *r)
{
	static struct filter chain[] = {
		{"leaving", refuse_leaving}, {"authenticate", authenticate}, {"class", find_class},
		{"limits", check_limits},    {"deadline", check_deadline},   {"quota", take_quota},
	};

	for (size_t i = 0; i < sizeof(chain) / sizeof(chain[0]); i++) {
		int ret = chain[i].run(&chain[i], r, f);

		if (!ret)
			continue;
		if (ret < 0)
			metrics_refusal(f->metrics, err_name(ret));
		return ret;
	}
	return 0;
}
