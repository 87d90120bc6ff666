#include "auth.h"
#include "util.h"

#include <glib.h>
#include <string.h>

#define SHARDS 16
#define SLOTS 256 /* cached tokens of a shard */
#define DENIED_CACHE_MS 5000
/*
 * Checking an unknown token may hash it once for each known one, half a second with 370
 * organisations. One thread does so, and a flood of wrong tokens delays only new ones.
 */
#define CHECKS_WAITING_MAX 256

struct slot {
	uint64_t hash[2]; /* of the token, with seeds of this process */
	uint64_t revision;
	char *name; /* of the organisation or operator */
	bool is_operator;
	uint64_t denied_until_ms; /* 0: the token is valid */
};

struct shard {
	pthread_mutex_t lock;
	struct slot slots[SLOTS];
};

struct auth {
	uint64_t seeds[2];
	struct shard shards[SHARDS];
	pthread_t thread;
	pthread_mutex_t lock; /* guards the fields below */
	pthread_cond_t changed;
	struct request *ring[CHECKS_WAITING_MAX]; /* own references */
	size_t first;
	size_t waiting;
	bool stopping;
};

static const struct config_operator *operator_named(const struct config *c, const char *name)
{
	for (size_t i = 0; i < c->operator_count; i++) {
		if (!strcmp(c->operators[i].name, name))
			return &c->operators[i];
	}
	return NULL;
}

static void hash_token(const struct auth *a, const char *token, uint64_t *hash)
{
	for (int i = 0; i < 2; i++)
		hash[i] = util_hash64(token, strlen(token), a->seeds[i]);
}

static struct slot *slot_of(struct shard *shard, const uint64_t *hash)
{
	return &shard->slots[hash[1] % SLOTS];
}

bool auth_look_up(struct auth *a, struct request *r)
{
	uint64_t hash[2];
	struct shard *shard;
	struct slot *slot;
	bool found = false;

	hash_token(a, r->token, hash);
	shard = &a->shards[hash[0] % SHARDS];
	slot = slot_of(shard, hash);
	pthread_mutex_lock(&shard->lock);
	if (!memcmp(slot->hash, hash, sizeof(hash)) && slot->revision == r->config->revision) {
		found = !slot->denied_until_ms || util_clock_ms() < slot->denied_until_ms;
		if (!slot->denied_until_ms && slot->is_operator)
			r->operator_ = operator_named(r->config, slot->name);
		else if (!slot->denied_until_ms)
			r->organisation = config_organisation(r->config, slot->name);
	}
	pthread_mutex_unlock(&shard->lock);
	return found;
}

static void remember(struct auth *a, const struct request *r)
{
	const char *name = "";
	uint64_t hash[2];
	struct shard *shard;
	struct slot *slot;

	if (r->operator_)
		name = r->operator_->name;
	else if (r->organisation)
		name = r->organisation->name;
	hash_token(a, r->token, hash);
	shard = &a->shards[hash[0] % SHARDS];
	slot = slot_of(shard, hash);
	pthread_mutex_lock(&shard->lock);
	g_free(slot->name);
	memcpy(slot->hash, hash, sizeof(hash));
	slot->revision = r->config->revision;
	slot->name = g_strdup(name);
	slot->is_operator = r->operator_ != NULL;
	slot->denied_until_ms = *name ? 0 : util_clock_ms() + DENIED_CACHE_MS;
	pthread_mutex_unlock(&shard->lock);
}

static void check(struct auth *a, struct request *r)
{
	/* Another call with the same token may have been checked while this one waited. */
	if (!auth_look_up(a, r)) {
		if (config_authenticate(r->config, r->token, &r->organisation, &r->operator_)) {
			r->organisation = NULL;
			r->operator_ = NULL;
		}
		remember(a, r);
	}
	r->identified = true;
	request_resume(r);
	request_unref(r);
}

/* Returns the next request to check, or NULL when the thread has to end. */
static struct request *next_request(struct auth *a)
{
	struct request *r = NULL;

	pthread_mutex_lock(&a->lock);
	while (!a->waiting && !a->stopping)
		pthread_cond_wait(&a->changed, &a->lock);
	if (a->waiting) {
		r = a->ring[a->first];
		a->first = (a->first + 1) % CHECKS_WAITING_MAX;
		a->waiting--;
	}
	pthread_mutex_unlock(&a->lock);
	return r;
}

static void *run_checks(void *arg)
{
	struct auth *a = arg;
	struct request *r;

	while ((r = next_request(a)))
		check(a, r);
	return NULL;
}

int auth_check(struct auth *a, struct request *r)
{
	int ret = 0;

	pthread_mutex_lock(&a->lock);
	if (a->waiting >= CHECKS_WAITING_MAX) {
		ret = err_set(&r->err, ERR_UNAVAILABLE, "retry in a second",
			      "too many tokens wait for their first check");
	} else {
		a->ring[(a->first + a->waiting++) % CHECKS_WAITING_MAX] = r;
		pthread_cond_signal(&a->changed);
	}
	pthread_mutex_unlock(&a->lock);
	return ret;
}

static int auth_destructor(struct auth *a)
{
	pthread_mutex_lock(&a->lock);
	a->stopping = true;
	pthread_cond_signal(&a->changed);
	pthread_mutex_unlock(&a->lock);
	pthread_join(a->thread, NULL);
	for (int i = 0; i < SHARDS; i++) {
		for (int j = 0; j < SLOTS; j++)
			g_free(a->shards[i].slots[j].name);
		pthread_mutex_destroy(&a->shards[i].lock);
	}
	pthread_cond_destroy(&a->changed);
	pthread_mutex_destroy(&a->lock);
	return 0;
}

struct auth *auth_create(TALLOC_CTX *mem)
{
	struct auth *a = talloc_zero(mem, struct auth);

	util_random_bytes(a->seeds, sizeof(a->seeds));
	pthread_mutex_init(&a->lock, NULL);
	pthread_cond_init(&a->changed, NULL);
	for (int i = 0; i < SHARDS; i++)
		pthread_mutex_init(&a->shards[i].lock, NULL);
	if (pthread_create(&a->thread, NULL, run_checks, a)) {
		talloc_free(a);
		return NULL;
	}
	talloc_set_destructor(a, auth_destructor);
	return a;
}
