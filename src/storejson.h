#ifndef JAYCOURSE_STOREJSON_H
#define JAYCOURSE_STOREJSON_H

#include "store.h"

#include <jansson.h>

/** DOC: JSON bodies of the store's gateway, used only by the store client */

/* The call that an answer belongs to, which decides the layout of its body. */
enum storejson_answer {
	STOREJSON_RANGE,
	STOREJSON_TXN,
	STOREJSON_GRANT,
	STOREJSON_KEEPALIVE,
	STOREJSON_REVOKE,
};

/** storejson_range() - body of a range call, owned by @mem; NULL as @end selects @first only */
char *storejson_range(TALLOC_CTX *mem, const char *first, const char *end, uint32_t limit);

/** storejson_prefix_end() - the smallest key above all keys with @prefix, owned by @mem */
char *storejson_prefix_end(TALLOC_CTX *mem, const char *prefix);

char *storejson_txn(TALLOC_CTX *mem, const struct store_compare *compares, size_t compare_count,
		    const struct store_op *ops, size_t op_count);

char *storejson_watch(TALLOC_CTX *mem, const char *prefix, int64_t start_revision);

/** storejson_number() - read a 64-bit number, which the gateway writes as a string; 0: absent */
int64_t storejson_number(const json_t *object, const char *name);

/** storejson_kv() - read a key and its value into memory owned by @mem; false if malformed */
bool storejson_kv(TALLOC_CTX *mem, const json_t *json, struct store_kv *kv);

/**
 * storejson_result() - read an answer
 * @result: receives the answer; its array and strings are owned by @mem
 *
 * Return: 0, -ERR_CONFLICT, -ERR_NOT_FOUND, or -ERR_INVALID when the body is malformed.
 */
int storejson_result(TALLOC_CTX *mem, enum storejson_answer kind, const char *body, size_t len,
		     struct store_result *result);

#endif
