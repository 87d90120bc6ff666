#include "lib_config.h"

#include <stdlib.h>

static void add(json_t *files, const char *name, json_t *decision)
{
	char *text = json_dumps(decision, JSON_COMPACT);

	json_object_set_new(files, name, json_string(text));
	free(text);
	json_decref(decision);
}

json_t *test_config_files(void)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	json_t *files = json_object();

	add(files, "10-acme.json",
	    json_pack("{s:s, s:s, s:[s], s:{s:i}}", "decision", "organisation", "name", "acme",
		      "tokens", config_hash_token(mem, "acme-t"), "quota", "requests_in_flight",
		      3));
	add(files, "20-op.json",
	    json_pack("{s:s, s:s, s:s, s:s}", "decision", "operator", "name", "op", "role",
		      "operator", "token", config_hash_token(mem, "op-t")));
	add(files, "20-view.json",
	    json_pack("{s:s, s:s, s:s, s:s}", "decision", "operator", "name", "view", "role",
		      "viewer", "token", config_hash_token(mem, "view-t")));
	add(files, "30-svc.json",
	    json_pack("{s:s, s:s, s:i, s:i}", "decision", "service", "name", "svc", "slots", 8,
		      "connections", 64));
	add(files, "30-other.json",
	    json_pack("{s:s, s:s, s:i, s:i}", "decision", "service", "name", "other", "slots", 8,
		      "connections", 64));
	add(files, "40-quick.json",
	    json_pack("{s:s, s:s, s:s, s:b, s:i}", "decision", "class", "name", "quick", "service",
		      "svc", "idempotent", 1, "deadline_ms", 20000));
	add(files, "40-once.json",
	    json_pack("{s:s, s:s, s:s, s:b, s:i, s:i}", "decision", "class", "name", "once",
		      "service", "svc", "idempotent", 0, "deadline_ms", 20000, "idempotency_ttl_s",
		      60));
	add(files, "40-hedged.json",
	    json_pack("{s:s, s:s, s:s, s:b, s:i, s:b, s:i}", "decision", "class", "name", "hedged",
		      "service", "svc", "idempotent", 1, "deadline_ms", 20000, "hedge", 1,
		      "hedge_after_ms", 50));
	add(files, "40-only.json",
	    json_pack("{s:s, s:s, s:s, s:i}", "decision", "class", "name", "only", "service",
		      "other", "deadline_ms", 1000));
	talloc_free(mem);
	return files;
}
