#ifndef JAYCOURSE_TESTS_LIB_CONFIG_H
#define JAYCOURSE_TESTS_LIB_CONFIG_H

#include "configrepo.h"

/**
 * test_config_files() - a small configuration as files, new reference
 *
 * Organisation "acme" (token "acme-t", 3 requests in flight), operators "op" ("op-t") and
 * "view" ("view-t"), service "svc" with the classes "quick" (idempotent), "once" (not) and
 * "hedged" (idempotent, hedged after 50 ms), service "other" with the class "only".
 */
json_t *test_config_files(void);

#endif
