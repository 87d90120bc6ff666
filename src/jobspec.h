#ifndef JAYCOURSE_JOBSPEC_H
#define JAYCOURSE_JOBSPEC_H

#include "err.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: What a caller asks for: a job of steps, each of equal tasks
 *
 * A job is read from JSON through a table of names, so that the record in the store and each
 * interface that takes jobs share one reader.
 */

#define JOBSPEC_STEPS_MAX 256	   /* more steps than any client of today sends by a factor of 50 */
#define JOBSPEC_TASKS_MAX 10000	   /* of one occurrence; bounds the memory that one job takes */
#define JOBSPEC_PAYLOAD_MAX 4000   /* bytes; limit of the interface */
#define JOBSPEC_REPEATS_MAX 100000 /* occurrences */

/**
 * struct jobspec_step - tasks that may run at the same time
 * @count: number of tasks
 * @cpu_milli: processors of one task, in thousandths
 * @memory_mb: memory of one task
 * @accelerators: accelerators of one task
 * @estimate_ms: caller's rough guess of one task's run time
 * @after: numbers of the earlier steps that have to end first
 * @gang: tasks work only while all of them run
 * @one_rack: tasks are much slower when they run on several racks
 * @checkpoints: tasks save their progress
 * @speculative: copies of a task may run at the same time
 * @long_running: tasks run until the job is cancelled
 * @filler: uses processors that others leave idle; they are not counted
 * @label: label that the worker must have, "" for none
 * @data_rack: rack on which the tasks are fastest, "" for none
 * @image: tasks of one image behave alike
 * @spread_limit: most tasks of one occurrence on one worker, 0 for no limit
 * @latency_target_ms: bound on the tail latency of a serving task, 0 for none
 * @max_unavailable: tasks of a long-running step that we may take away at once
 */
struct jobspec_step {
	uint32_t count;
	uint32_t cpu_milli;
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t estimate_ms;
	uint32_t *after;
	size_t after_count;
	bool gang;
	bool one_rack;
	bool checkpoints;
	bool speculative;
	bool long_running;
	bool filler;
	const char *label;
	const char *data_rack;
	const char *image;
	uint32_t spread_limit;
	uint32_t latency_target_ms;
	uint32_t max_unavailable;
};

/**
 * struct jobspec - one job
 * @payload: opaque text handed to each task
 * @steps: @step_count of them
 * @repeats: number of occurrences; 0 for a job that runs once, at once
 * @first_due_ms: due time of the first occurrence, milliseconds since 1970
 * @interval_ms: between due times
 */
struct jobspec {
	const char *payload;
	struct jobspec_step *steps;
	size_t step_count;
	uint32_t repeats;
	uint64_t first_due_ms;
	uint64_t interval_ms;
};

/** struct jobspec_names - the key of each field in one JSON form */
struct jobspec_names {
	const char *payload;
	const char *steps;
	const char *repeats;
	const char *first_due_ms;
	const char *interval_ms;
	const char *count;
	const char *cpu_milli;
	const char *memory_mb;
	const char *accelerators;
	const char *estimate_ms;
	const char *after;
	const char *gang;
	const char *one_rack;
	const char *checkpoints;
	const char *speculative;
	const char *long_running;
	const char *filler;
	const char *label;
	const char *data_rack;
	const char *image;
	const char *spread_limit;
	const char *latency_target_ms;
	const char *max_unavailable;
};

/** jobspec_own_names - names of the product's own records */
extern const struct jobspec_names jobspec_own_names;

/**
 * jobspec_read() - read and check a job
 * @mem: talloc parent of the result
 * @json: object, borrowed
 * @names: key of each field
 * @err: explanation on failure
 *
 * Absent fields are 0, false or "". Unknown fields are ignored.
 *
 * Return: the job, or NULL.
 */
struct jobspec *jobspec_read(TALLOC_CTX *mem, const json_t *json, const struct jobspec_names *names,
			     struct err *err);

/** jobspec_write() - the job as JSON with the product's own names; a new reference */
json_t *jobspec_write(const struct jobspec *spec);

/** jobspec_task_count() - tasks of one occurrence */
size_t jobspec_task_count(const struct jobspec *spec);

/**
 * jobspec_chain_ms() - estimate of the longest chain of steps that wait for each other
 *
 * The time that an occurrence takes when every task starts as soon as it may.
 */
uint64_t jobspec_chain_ms(const struct jobspec *spec);

#endif
