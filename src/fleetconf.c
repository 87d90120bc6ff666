#include "fleetconf.h"

#include <string.h>
#include <strings.h>

#define HEALTH_PATH_MAX 255

static bool host_matches(const char *pattern, const char *host)
{
	size_t len = strcspn(host, ":");

	return strlen(pattern) == len && strncasecmp(pattern, host, len) == 0;
}

const struct fleetconf_queue *fleetconf_route(const struct fleetconf *conf, const char *host,
					      const char *path)
{
	const struct fleetconf_queue *best = NULL;

	for (size_t i = 0; i < conf->queue_count; i++) {
		const struct fleetconf_queue *queue = &conf->queues[i];
		size_t len = strlen(queue->prefix);

		if (strncmp(path, queue->prefix, len) != 0 || !host_matches(queue->host, host))
			continue;
		if (!best || len > strlen(best->prefix))
			best = queue;
	}
	return best;
}

struct fleetconf_queue *fleetconf_copy_queue(TALLOC_CTX *mem, const struct fleetconf_queue *queue)
{
	struct fleetconf_queue *copy = talloc_memdup(mem, queue, sizeof(*queue));

	copy->name = talloc_strdup(copy, queue->name);
	copy->host = talloc_strdup(copy, queue->host);
	copy->prefix = talloc_strdup(copy, queue->prefix);
	copy->service = talloc_strdup(copy, queue->service);
	return copy;
}

const struct fleetconf_queue *fleetconf_queue(const struct fleetconf *conf, const char *name)
{
	for (size_t i = 0; i < conf->queue_count; i++) {
		if (!strcmp(conf->queues[i].name, name))
			return &conf->queues[i];
	}
	return NULL;
}

static bool is_same_text(const char *a, const char *b)
{
	return !strcmp(a ? a : "", b ? b : "");
}

const struct fleetconf_queue *fleetconf_renamed_queue(const struct fleetconf *conf,
						      const char *host, const char *prefix,
						      const char *service)
{
	for (size_t i = 0; i < conf->queue_count; i++) {
		const struct fleetconf_queue *queue = &conf->queues[i];

		if (is_same_text(queue->host, host) && is_same_text(queue->prefix, prefix) &&
		    is_same_text(queue->service, service))
			return queue;
	}
	return NULL;
}

const struct fleetconf_organisation *fleetconf_organisation(const struct fleetconf *conf,
							    const char *name)
{
	for (size_t i = 0; i < conf->organisation_count; i++) {
		if (!strcmp(conf->organisations[i].name, name))
			return &conf->organisations[i];
	}
	return NULL;
}

const struct fleetconf_organisation *fleetconf_organisation_of_key(const struct fleetconf *conf,
								   const char *key)
{
	for (size_t i = 0; i < conf->organisation_count; i++) {
		const struct fleetconf_organisation *org = &conf->organisations[i];

		for (size_t k = 0; k < org->key_count; k++) {
			if (!strcmp(org->keys[k], key))
				return org;
		}
	}
	return NULL;
}

bool fleetconf_is_health_path(const char *path)
{
	if (*path != '/' || strlen(path) > HEALTH_PATH_MAX)
		return false;
	for (const char *at = path; *at; at++) {
		if (*at <= ' ' || *at >= 0x7f)
			return false;
	}
	return true;
}
