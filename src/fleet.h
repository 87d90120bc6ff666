#ifndef JAYCOURSE_FLEET_H
#define JAYCOURSE_FLEET_H

#include "advice.h"
#include "fleetnode.h"
#include "intake.h"
#include "kv.h"
#include "runner.h"

/**
 * DOC: Assembly of the job scheduler's two kinds of process, entry and agent
 *
 * The formats and calls of the platform are supplied through &struct fleet_platform.
 */

/* A call that a worker makes to its agent. */
enum fleet_control {
	FLEET_HEARTBEAT,
	FLEET_DEREGISTER,
	FLEET_OTHER,
};

/**
 * struct fleet_platform - a platform's formats and calls
 * @config_key: key of the operators' configuration in the store
 * @operator_prefix: start of all keys that operators write
 * @evacuated_zone: zone whose evacuation a key asks for; see platform_evacuated_zone()
 */
struct fleet_platform {
	struct kv *kv;
	const struct intake_codec *codec;
	const struct runner_calls *worker; /* agent only */
	const struct advice_calls *advice; /* entry only; NULL where there is none */
	const char *config_key;
	const char *operator_prefix;
	int (*evacuated_zone)(const char *key, const char **zone);
	struct fleetconf *(*read_config)(TALLOC_CTX *mem, const char *data, size_t len,
					 struct err *err);
	struct runner_announcement *(*read_self)(TALLOC_CTX *mem, const char *id, const char *data,
						 size_t len, struct err *err);
	enum fleet_control (*control_call)(const char *method, const char *path, const char **id);
	bool (*is_ready_call)(const char *method, const char *path);
};

struct fleet_node;

/**
 * fleet_create() - open the listening sockets and start the process's parts
 * @settings: borrowed
 *
 * Return: the node, owned by @mem, or NULL with @err set.
 */
struct fleet_node *fleet_create(TALLOC_CTX *mem, struct tevent_context *ev,
				enum fleetnode_role role, const struct fleetnode_settings *settings,
				const struct fleet_platform *platform, struct metrics *metrics,
				struct err *err);

/** fleet_drain() - finish the open calls within the grace period, then call @done */
void fleet_drain(struct fleet_node *node, void (*done)(void *ctx), void *ctx);

#endif
