#ifndef JAYCOURSE_TESTS_LIB_CONFIG_H
#define JAYCOURSE_TESTS_LIB_CONFIG_H

#include "configrepo.h"

/**
 * test_config_files() - a small configuration as files
 *
 * Organisation "acme" (token "acme-t", 3 requests in flight), operators "op" ("op-t") and
 * "view" ("view-t"), service "svc" with the classes "quick" (idempotent), "once" (not idempotent)
 * and "hedged" (idempotent, hedged after 50 ms), service "other" with the class "only".
 *
 * Return: an object as config_parse() takes it, owned by the caller.
 */
json_t *test_config_files(void);

#endif
