#ifndef JAYCOURSE_CONFIGREV_H
#define JAYCOURSE_CONFIGREV_H

#include "configrepo.h"

/** DOC: Records of configuration revisions in the store; used by configrepo only */

#define CONFIGREV_PREFIX "config/rev/"
#define CONFIGREV_SNAPSHOT "config/snapshot"

/** configrev_key() - key of a revision, owned by @mem */
char *configrev_key(TALLOC_CTX *mem, uint64_t revision);

/** configrev_number() - revision of a key, 0 when it is none */
uint64_t configrev_number(const char *key);

/**
 * configrev_record() - the change from one set of files to another as JSON text
 * @parent: revision of @from
 * @operation: id of the write, to recognise it after a lost answer
 */
char *configrev_record(TALLOC_CTX *mem, uint64_t parent, const char *operation,
		       const struct configrepo_apply *request, json_t *from);

/** configrev_operation() - is @record the write with this operation id? */
bool configrev_is_operation(const char *record, size_t len, const char *operation);

/**
 * configrev_apply() - apply a record to the files of revision @parent
 *
 * Return: the new files, which the caller owns, or NULL when the record is malformed or
 * belongs to other files.
 */
json_t *configrev_apply(const char *record, size_t len, uint64_t parent, json_t *files);

/** configrev_snapshot() - the text of a snapshot, owned by @mem */
char *configrev_snapshot(TALLOC_CTX *mem, uint64_t revision, json_t *files);

/** configrev_read_snapshot() - files of a snapshot, owned by the caller, or NULL */
json_t *configrev_read_snapshot(const char *text, size_t len, uint64_t *revision);

/** configrev_summary() - one entry of the history, or NULL */
json_t *configrev_summary(uint64_t revision, const char *record, size_t len);

#endif
