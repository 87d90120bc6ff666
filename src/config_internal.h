#ifndef JAYCOURSE_CONFIG_INTERNAL_H
#define JAYCOURSE_CONFIG_INTERNAL_H

#include "config.h"
#include "fields.h"

/** DOC: Declarations shared by the files that parse and check configurations */

/*
 * The last file that holds a decision of this kind and name. Problems that show only after all
 * files are merged are reported for this file.
 */
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
	const char *text; /* its content; NULL when there is no such file */
	struct config_origin *origins;
	size_t origin_count;
	struct config_drain_draft *drains;
	size_t drain_count;
	struct config_fleet_draft *fleets;
	size_t fleet_count;
};

/** config_problem_add() - record a problem of @merge->file; the strings are copied */
void config_problem_add(struct config_merge *merge, const char *field, const char *message,
			const char *remedy);

/** config_read_decision() - merge the decision of one file into the configuration */
void config_read_decision(struct config_merge *merge, const json_t *decision);

/** config_check() - complete the merged configuration and check it as a whole */
void config_check(struct config_merge *merge);

/** config_digest() - hash of all file names and contents as 16 hex digits, owned by @mem */
char *config_digest(TALLOC_CTX *mem, const json_t *files);

/**
 * config_field_line() - line number of a field in a JSON text
 * @path: for example "quota.jobs" or "guarantees[1].cores"
 *
 * Return: the line, counted from 1. A field that is missing, for example a required one, gives
 * the line of the innermost enclosing field that was found, or 1.
 */
unsigned int config_field_line(const char *text, const char *path);

#endif
