#include "workerjson.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

uint64_t workerjson_number(json_t *root, const char *field)
{
	json_int_t value = json_integer_value(json_object_get(root, field));

	return value > 0 ? (uint64_t)value : 0;
}

const char *workerjson_error(json_t *root)
{
	const char *text = json_string_value(json_object_get(root, "error"));

	return text ? text : "the worker refused the task";
}

static void set_lease(json_t *root, const struct workerjson_lease *lease)
{
	json_object_set_new(root, "lease_ms", json_integer(TASK_LEASE_MS));
	if (lease->until_ms)
		json_object_set_new(root, "lease_until_ms",
				    json_integer((json_int_t)lease->until_ms));
	if (lease->incarnation)
		json_object_set_new(root, "incarnation",
				    json_integer((json_int_t)lease->incarnation));
}

char *workerjson_renew(const struct workerjson_lease *lease)
{
	json_t *root = json_object();
	char *text;

	set_lease(root, lease);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

char *workerjson_start(const struct worker_task_spec *spec, const struct workerjson_lease *lease)
{
	json_t *payload = json_loads(spec->payload ? spec->payload : "", 0, NULL);
	char mask[24];
	json_t *root;
	char *text;

	snprintf(mask, sizeof(mask), "%" PRIx64, spec->accelerator_mask);
	if (!payload)
		payload = json_string(spec->payload ? spec->payload : "");
	root = json_pack("{s:s, s:i, s:i, s:o}", "accelerator_mask", mask, "cores",
			 (int)spec->cores, "memory_mb", (int)spec->memory_mb, "payload",
			 payload ? payload : json_null());
	set_lease(root, lease);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

enum worker_task_state workerjson_state(const char *text)
{
	static const char *const names[] = {
		[WORKER_TASK_RUNNING] = "running",
		[WORKER_TASK_DONE] = "done",
		[WORKER_TASK_FAILED] = "failed",
		[WORKER_TASK_STOPPED] = "stopped",
	};

	for (int i = WORKER_TASK_RUNNING; text && i <= WORKER_TASK_STOPPED; i++) {
		if (!strcmp(names[i], text))
			return i;
	}
	return 0;
}

bool workerjson_complete(json_t *list)
{
	json_t *item;
	size_t i;

	json_array_foreach(list, i, item)
	{
		if (!json_is_string(json_object_get(item, "id")) ||
		    !workerjson_state(json_string_value(json_object_get(item, "state"))))
			return false;
	}
	return json_is_array(list);
}

bool workerjson_contains(json_t *list, const char *id)
{
	json_t *item;
	size_t i;

	json_array_foreach(list, i, item)
	{
		const char *name = json_string_value(json_object_get(item, "id"));

		if (name && !strcmp(name, id))
			return true;
	}
	return false;
}
