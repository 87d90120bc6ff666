#include "configslice.h"

#include <jansson.h>

struct configslice {
	json_t *root;
};

static int slice_destructor(struct configslice *slice)
{
	json_decref(slice->root);
	return 0;
}

struct configslice *configslice_parse(TALLOC_CTX *mem, const uint8_t *json, size_t len)
{
	json_t *root = json_loadb((const char *)json, len, 0, NULL);
	struct configslice *slice;

	if (!json_is_object(root)) {
		json_decref(root);
		return NULL;
	}
	slice = talloc_zero(mem, struct configslice);
	slice->root = root;
	talloc_set_destructor(slice, slice_destructor);
	return slice;
}

static void cap_value(json_t *service, const char *field, uint32_t *value)
{
	json_int_t limit = json_integer_value(json_object_get(service, field));

	if (limit > 0 && limit < (json_int_t)*value)
		*value = (uint32_t)limit;
}

void configslice_apply_limits(const struct configslice *slice, const char *service,
			      struct slots_capacity *capacity)
{
	json_t *service_config = json_object_get(json_object_get(slice->root, "services"), service);

	cap_value(service_config, "slots", &capacity->slots);
	cap_value(service_config, "connections", &capacity->connections);
}

uint64_t configslice_max_key_ttl_ms(const struct configslice *slice)
{
	json_t *classes = json_object_get(slice->root, "classes");
	json_int_t longest = 0;
	const char *name;
	json_t *item;

	json_object_foreach(classes, name, item)
	{
		json_int_t ttl = json_integer_value(json_object_get(item, "idempotency_ttl_s"));

		if (ttl > longest)
			longest = ttl;
	}
	return (uint64_t)longest * 1000;
}
