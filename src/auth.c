#include "auth.h"
#include "util.h"

#include <glib.h>
#include <string.h>

#define SHARDS 16
#define SLOTS_PER_SHARD 256  /* one cached token each */
#define DENIED_CACHE_MS 5000 /* how long the refusal of an invalid token is cached */
/*
 * Checking a token may hash it once for each token of the configuration, which takes half a second
 * with 370 organisations. A single thread does this, so a flood of wrong tokens delays only tokens
 * that are not in the cache yet.
 */
#define CHECKS_WAITING_MAX 256

struct slot {
	uint64_t hash[2];  /* of the token, seeded per process */
	uint64_t revision; /* of the configuration */
	char *name;	   /* of the organisation or operator */
	bool is_operator;
	uint64_t denied_until_ms; /* 0: the token is valid */
};

struct shard {
	pthread_mutex_t lock;
	struct slot slots[SLOTS_PER_SHARD];
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

static const struct config_operator *find_operator(const struct config *config, const char *name)
{
	for (size_t i = 0; i < config->operator_count; i++) {
		if (!strcmp(config->operators[i].name, name))
			return &config->operators[i];
	}
	return NULL;
}

static void hash_token(const struct auth *auth, const char *token, uint64_t *hash)
{
	for (int i = 0; i < 2; i++)
		hash[i] = util_hash64(token, strlen(token), auth->seeds[i]);
}

static struct slot *find_slot(struct shard *shard, const uint64_t *hash)
{
	return &shard->slots[hash[1] % SLOTS_PER_SHARD];
}

bool auth_look_up(struct auth *auth, struct request *request)
{
	uint64_t hash[2];
	struct shard *shard;
	struct slot *slot;
	bool found = false;

	hash_token(auth, request->token, hash);
	shard = &auth->shards[hash[0] % SHARDS];
	slot = find_slot(shard, hash);
	pthread_mutex_lock(&shard->lock);
	if (!memcmp(slot->hash, hash, sizeof(hash)) &&
	    slot->revision == request->config->revision) {
		found = !slot->denied_until_ms || util_clock_ms() < slot->denied_until_ms;
		if (!slot->denied_until_ms && slot->is_operator)
			request->operator_ = find_operator(request->config, slot->name);
		else if (!slot->denied_until_ms)
			request->organisation = config_organisation(request->config, slot->name);
	}
	pthread_mutex_unlock(&shard->lock);
	return found;
}

static void cache_result(struct auth *auth, const struct request *request)
{
	const char *name = "";
	uint64_t hash[2];
	struct shard *shard;
	struct slot *slot;

	if (request->operator_)
		name = request->operator_->name;
	else if (request->organisation)
		name = request->organisation->name;
	hash_token(auth, request->token, hash);
	shard = &auth->shards[hash[0] % SHARDS];
	slot = find_slot(shard, hash);
	pthread_mutex_lock(&shard->lock);
	g_free(slot->name);
	memcpy(slot->hash, hash, sizeof(hash));
	slot->revision = request->config->revision;
	slot->name = g_strdup(name);
	slot->is_operator = request->operator_ != NULL;
	slot->denied_until_ms = *name ? 0 : util_clock_ms() + DENIED_CACHE_MS;
	pthread_mutex_unlock(&shard->lock);
}

static void check_token(struct auth *auth, struct request *request)
{
	/* Another call with the same token may have been checked while this one waited. */
	if (!auth_look_up(auth, request)) {
		if (config_authenticate(request->config, request->token, &request->organisation,
					&request->operator_)) {
			request->organisation = NULL;
			request->operator_ = NULL;
		}
		cache_result(auth, request);
	}
	request->identified = true;
	request_resume(request);
	request_unref(request);
}

/* Waits for a request to check; returns NULL when the thread has to end. */
static struct request *wait_for_request(struct auth *auth)
{
	struct request *request = NULL;

	pthread_mutex_lock(&auth->lock);
	while (!auth->waiting && !auth->stopping)
		pthread_cond_wait(&auth->changed, &auth->lock);
	if (auth->waiting) {
		request = auth->ring[auth->first];
		auth->first = (auth->first + 1) % CHECKS_WAITING_MAX;
		auth->waiting--;
	}
	pthread_mutex_unlock(&auth->lock);
	return request;
}

static void *run_checks(void *arg)
{
	struct auth *auth = arg;
	struct request *request;

	while ((request = wait_for_request(auth)))
		check_token(auth, request);
	return NULL;
}

int auth_check_token(struct auth *auth, struct request *request)
{
	int ret = 0;

	pthread_mutex_lock(&auth->lock);
	if (auth->waiting >= CHECKS_WAITING_MAX) {
		ret = err_set(&request->err, ERR_UNAVAILABLE, "retry in a second",
			      "too many new tokens are waiting to be checked");
	} else {
		auth->ring[(auth->first + auth->waiting++) % CHECKS_WAITING_MAX] = request;
		pthread_cond_signal(&auth->changed);
	}
	pthread_mutex_unlock(&auth->lock);
	return ret;
}

static int auth_destructor(struct auth *auth)
{
	pthread_mutex_lock(&auth->lock);
	auth->stopping = true;
	pthread_cond_signal(&auth->changed);
	pthread_mutex_unlock(&auth->lock);
	pthread_join(auth->thread, NULL);
	for (int i = 0; i < SHARDS; i++) {
		for (int j = 0; j < SLOTS_PER_SHARD; j++)
			g_free(auth->shards[i].slots[j].name);
		pthread_mutex_destroy(&auth->shards[i].lock);
	}
	pthread_cond_destroy(&auth->changed);
	pthread_mutex_destroy(&auth->lock);
	return 0;
}

struct auth *auth_create(TALLOC_CTX *mem)
{
	struct auth *auth = talloc_zero(mem, struct auth);

	util_random_bytes(auth->seeds, sizeof(auth->seeds));
	pthread_mutex_init(&auth->lock, NULL);
	pthread_cond_init(&auth->changed, NULL);
	for (int i = 0; i < SHARDS; i++)
		pthread_mutex_init(&auth->shards[i].lock, NULL);
	if (pthread_create(&auth->thread, NULL, run_checks, auth)) {
		talloc_free(auth);
		return NULL;
	}
	talloc_set_destructor(auth, auth_destructor);
	return auth;
}
