#ifndef JAYCOURSE_CONFIG_INTERNAL_H
#define JAYCOURSE_CONFIG_INTERNAL_H

#include "config.h"
#include "fields.h"

/** DOC: Shared by the files config*.c only */

/* Where a decision was last written, to attribute problems that need the merged whole. */
struct config_origin {
	const char *kind;
	const char *name;
	const char *file;
};

struct config_drain_draft {
	const char *name;
	const char *target;
	const char *rack;
	const char *zone;
};

struct config_rack_draft {
	const char *zone;
	const char *rack;
	uint32_t workers;
	uint32_t accelerators;
	uint32_t cores;
	uint32_t memory_gb;
};

struct config_fleet_draft {
	const char *name;
	struct config_rack_draft *racks;
	size_t rack_count;
};

/* The state of one config_parse(). */
struct config_merge {
	TALLOC_CTX *mem; /* owner of the problems */
	struct config *config;
	struct config_problems *problems;
	const char *file; /* being read */
	const char *text; /* its content, NULL when the decision is not from one file */
	struct config_origin *origins;
	size_t origin_count;
	struct config_drain_draft *drains;
	size_t drain_count;
	struct config_fleet_draft *fleets;
	size_t fleet_count;
};

/** config_problem_add() - record a problem of the file being read; strings are copied */
void config_problem_add(struct config_merge *m, const char *field, const char *message,
			const char *remedy);

/** config_read_decision() - merge one decision, read from its file, into the draft */
void config_read_decision(struct config_merge *m, const json_t *decision);

/** config_check() - complete the draft and check what needs the merged whole */
void config_check(struct config_merge *m);

/** config_digest() - hash of all names and contents in 16 hex digits, owned by @mem */
char *config_digest(TALLOC_CTX *mem, const json_t *files);

/**
 * config_line() - line of a field in a JSON text
 * @path: for example "quota.jobs" or "guarantees[1].cores"
 *
 * Return: the line from 1, or 1 when the field is not found.
 */
unsigned int config_line(const char *text, const char *path);

#endif
