#ifndef JAYCOURSE_CONFIG_H
#define JAYCOURSE_CONFIG_H

#include "err.h"
#include "place.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: Operators' configuration
 *
 * A configuration is a folder of small JSON files. Each file holds one decision: a JSON object
 * with a kind, a name and the fields that it sets. The files are merged in the order of their
 * names, and a later file overrides the fields that it gives. A parsed configuration is immutable,
 * and any thread that holds a reference may read it.
 */

enum config_role {
	CONFIG_VIEWER = 1, /* may read everything */
	CONFIG_OPERATOR,   /* may also apply configurations and drain */
};

struct config_organisation {
	const char *name;
	struct place_shape *guarantees;
	size_t guarantee_count;
	int32_t priority;		   /* the higher comes first when not all guarantees fit */
	uint32_t quota_accelerators;	   /* 0: no limit */
	uint32_t quota_jobs;		   /* accepted and not yet ended; 0: no limit */
	uint32_t quota_requests_in_flight; /* 0: no limit */
	double share;			   /* relative weight in queues and for borrowed capacity */
	const char **token_hashes;	   /* crypt(3) hashes */
	size_t token_hash_count;
};

struct config_class {
	const char *name;
	const char *service; /* "" for a class of jobs */
	bool urgent;
	bool idempotent;      /* default for requests that do not state it */
	uint32_t deadline_ms; /* default and upper limit */
	double weight;	      /* relative weight in the queue of its urgency */
	uint32_t max_queue;   /* waiting requests per organisation */
	bool hedge;
	uint32_t hedge_after_ms;
	bool checkpoint; /* tasks of this class can be checkpointed */
	uint32_t idempotency_ttl_s;
};

struct config_service {
	const char *name;
	uint32_t slots;	      /* per instance */
	uint32_t connections; /* per instance */
};

struct config_operator {
	const char *name;
	enum config_role role;
	const char *token_hash;
};

struct config_drain {
	const char *kind; /* "target", "rack" or "zone" */
	const char *name;
};

struct config_limits {
	uint32_t body_bytes;	  /* largest body of a caller's request */
	uint32_t queue_total;	  /* waiting requests per entry */
	uint32_t retry_percent;	  /* retry budget per 100 requests */
	uint32_t retry_per_s;	  /* retry budget per second, in addition to the percentage */
	uint32_t eject_percent;	  /* largest part of a service's targets that may be ejected */
	uint32_t job_deadline_ms; /* time limit for storing a submitted job */
	uint32_t max_members;	  /* largest number of members in a gang */
};

struct config {
	uint64_t revision; /* 0 until set by configrepo */
	const char *digest;
	json_t *files; /* file name to content, for diffs and for sending to peers */
	struct config_organisation *organisations;
	size_t organisation_count;
	struct config_class *classes;
	size_t class_count;
	struct config_service *services;
	size_t service_count;
	struct config_operator *operators;
	size_t operator_count;
	struct config_drain *drains;
	size_t drain_count;
	struct config_limits limits;
	struct place_policy policy;
	struct place_worker_spec *fleet; /* planned workers, for offline checks */
	size_t fleet_count;
};

struct config_problem {
	const char *file;
	unsigned int line; /* 0 when the problem concerns the whole file */
	const char *field;
	const char *message;
	const char *remedy;
};

struct config_problems {
	struct config_problem *items;
	size_t count;
};

/**
 * config_parse() - merge and check files
 * @mem: talloc parent that owns the result and the problems
 * @files: JSON object of file name to file content (a string), borrowed
 * @problems: receives every problem found
 *
 * Return: the configuration, or NULL if there is any problem.
 */
struct config *config_parse(TALLOC_CTX *mem, json_t *files, struct config_problems *problems);

/**
 * config_read_folder() - read the files whose names end in ".json"
 * @files: receives an object as config_parse() takes it, owned by the caller; NULL on error
 *
 * Return: 0 or a negative error number.
 */
int config_read_folder(const char *path, json_t **files, struct err *err);

/**
 * config_check_guarantees() - check that all guarantees fit into a fleet at the same time
 * @workers: announced or planned fleet, borrowed
 *
 * Return: 0, or -ERR_NEVER_FITS with an error that names the organisations and the
 * missing capacity.
 */
int config_check_guarantees(const struct config *config, const struct place_worker_spec *workers,
			    size_t worker_count, struct err *err);

/** config_diff() - human-readable differences between two sets of files, owned by @mem */
char *config_diff(TALLOC_CTX *mem, json_t *from, json_t *to);

const struct config_organisation *config_organisation(const struct config *config,
						      const char *name);
const struct config_class *config_class(const struct config *config, const char *name);
const struct config_service *config_service(const struct config *config, const char *name);

/** config_drained() - whether a drain decision names the target, its rack or its zone */
bool config_drained(const struct config *config, const char *target, const char *rack,
		    const char *zone);

/**
 * config_authenticate() - find the organisation or operator that a token belongs to
 * @token: secret from the Authorization header
 * @organisation: receives the organisation, or NULL
 * @op: receives the operator, or NULL
 *
 * Computes salted hashes, which is slow by design; callers cache results for a short time.
 *
 * Return: 0 or -ERR_DENIED.
 */
int config_authenticate(const struct config *config, const char *token,
			const struct config_organisation **organisation,
			const struct config_operator **op);

/**
 * config_hash_token() - salted hash of a token, as the fields "tokens" and "token" hold it
 *
 * Return: the hash owned by @mem, or NULL when the token is empty or over 256 bytes.
 */
char *config_hash_token(TALLOC_CTX *mem, const char *token);

#endif
