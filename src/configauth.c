#include "config.h"

#include <crypt.h>
#include <string.h>

/*
 * The lowest cost suffices because tokens are random secrets and not passwords. At this cost one
 * hash takes about 1.3 ms, and an unknown token is checked against the hashes of all
 * organisations.
 */
#define HASH_METHOD "$y$"
#define HASH_COST 1
#define TOKEN_MAX_BYTES 256

static bool equal_constant_time(const char *a, const char *b)
{
	size_t len = strlen(a);
	unsigned char difference = 0;

	if (strlen(b) != len)
		return false;
	for (size_t i = 0; i < len; i++)
		difference |= (unsigned char)(a[i] ^ b[i]);
	return difference == 0;
}

static bool token_matches_hash(struct crypt_data *data, const char *token, const char *hash)
{
	const char *computed = crypt_r(token, hash, data);

	return computed && computed[0] != '*' && equal_constant_time(computed, hash);
}

static bool organisation_has_token(struct crypt_data *data, const char *token,
				   const struct config_organisation *org)
{
	for (size_t i = 0; i < org->token_hash_count; i++) {
		if (token_matches_hash(data, token, org->token_hashes[i]))
			return true;
	}
	return false;
}

/*
 * A token that starts with the name of its organisation is checked against the hashes of that
 * organisation first, so that it is usually found without computing all hashes.
 */
static bool starts_with(const char *token, const char *name)
{
	return strncmp(token, name, strlen(name)) == 0;
}

static const struct config_organisation *find_organisation(struct crypt_data *data,
							   const struct config *config,
							   const char *token, bool prefixed)
{
	for (size_t i = 0; i < config->organisation_count; i++) {
		const struct config_organisation *org = &config->organisations[i];

		if (starts_with(token, org->name) == prefixed &&
		    organisation_has_token(data, token, org))
			return org;
	}
	return NULL;
}

static const struct config_operator *find_operator(struct crypt_data *data,
						   const struct config *config, const char *token)
{
	for (size_t i = 0; i < config->operator_count; i++) {
		if (token_matches_hash(data, token, config->operators[i].token_hash))
			return &config->operators[i];
	}
	return NULL;
}

int config_authenticate(const struct config *config, const char *token,
			const struct config_organisation **organisation,
			const struct config_operator **op)
{
	struct crypt_data *data;

	*organisation = NULL;
	*op = NULL;
	if (!*token || strlen(token) > TOKEN_MAX_BYTES)
		return -ERR_DENIED;
	data = talloc_zero(NULL, struct crypt_data);
	*organisation = find_organisation(data, config, token, true);
	if (!*organisation)
		*op = find_operator(data, config, token);
	if (!*organisation && !*op)
		*organisation = find_organisation(data, config, token, false);
	talloc_free(data);
	return *organisation || *op ? 0 : -ERR_DENIED;
}

char *config_hash_token(TALLOC_CTX *mem, const char *token)
{
	struct crypt_data *data = talloc_zero(NULL, struct crypt_data);
	char salt[CRYPT_GENSALT_OUTPUT_SIZE];
	const char *hash = NULL;
	char *copy;

	if (*token && strlen(token) <= TOKEN_MAX_BYTES &&
	    crypt_gensalt_rn(HASH_METHOD, HASH_COST, NULL, 0, salt, sizeof(salt)))
		hash = crypt_r(token, salt, data);
	copy = hash && hash[0] != '*' ? talloc_strdup(mem, hash) : NULL;
	talloc_free(data);
	return copy;
}
