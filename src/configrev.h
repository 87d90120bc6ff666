#ifndef JAYCOURSE_CONFIGREV_H
#define JAYCOURSE_CONFIGREV_H

#include "configrepo.h"

/**
 * DOC: Records of configuration revisions in the store
 *
 * The record of a revision holds the changes from its parent, the revision before it. A snapshot
 * holds all files of one revision. Only configrepo.c and configapply.c use this module.
 */

#define CONFIGREV_PREFIX "config/rev/"
#define CONFIGREV_SNAPSHOT "config/snapshot"

/** configrev_key() - key of a revision, owned by @mem */
char *configrev_key(TALLOC_CTX *mem, uint64_t revision);

/** configrev_parse_key() - revision in a key; 0 when it is not the key of a record */
uint64_t configrev_parse_key(const char *key);

/**
 * configrev_record() - the record of a change, as JSON text owned by @mem
 * @parent: revision of @from
 * @operation: id that identifies the write when its answer is lost
 * @request: the new files, their author and message
 * @from: files before the change
 */
char *configrev_record(TALLOC_CTX *mem, uint64_t parent, const char *operation,
		       const struct configrepo_apply *request, json_t *from);

/** configrev_is_operation() - whether @record was written with this operation id */
bool configrev_is_operation(const char *record, size_t len, const char *operation);

/**
 * configrev_apply() - apply a record to the files of revision @parent
 *
 * Return: the new files, which the caller owns, or NULL when the record is malformed or
 * belongs to other files.
 */
json_t *configrev_apply(const char *record, size_t len, uint64_t parent, json_t *files);

/** configrev_snapshot() - a snapshot as JSON text owned by @mem */
char *configrev_snapshot(TALLOC_CTX *mem, uint64_t revision, json_t *files);

/** configrev_read_snapshot() - files of a snapshot, owned by the caller; NULL when malformed */
json_t *configrev_read_snapshot(const char *text, size_t len, uint64_t *revision);

/** configrev_summary() - one entry of the history, owned by the caller; NULL when malformed */
json_t *configrev_summary(uint64_t revision, const char *record, size_t len);

#endif
