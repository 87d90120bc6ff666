#ifndef JAYCOURSE_JOBSPEC_H
#define JAYCOURSE_JOBSPEC_H

#include "err.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: Specification of a job: steps, each made up of identical tasks
 *
 * A job is parsed from JSON with a table of field names, so that the record in the store and
 * each interface that accepts jobs share one parser.
 */

#define JOBSPEC_STEPS_MAX 256	   /* 50 times more than any client sends today */
#define JOBSPEC_TASKS_MAX 10000	   /* per occurrence; bounds the memory used by one job */
#define JOBSPEC_PAYLOAD_MAX 4000   /* bytes; limit of the clients' interface */
#define JOBSPEC_REPEATS_MAX 100000 /* occurrences */

#define JOBSPEC_ID_LEN 16 /* hexadecimal digits of a job's id */

/** jobspec_is_id() - whether @text is the id of a job */
bool jobspec_is_id(const char *text);

/**
 * struct jobspec_step - identical tasks that may run at the same time
 * @count: number of tasks
 * @cpu_milli: processors that one task needs, in thousandths
 * @memory_mb: memory that one task needs
 * @accelerators: accelerators that one task needs
 * @estimate_ms: caller's rough estimate of the run time of one task
 * @after: indices of the earlier steps that must end before this one starts
 * @after_count: number of entries in @after
 * @gang: tasks make progress only while all of them run
 * @one_rack: tasks are much slower when they run on several racks
 * @checkpoints: tasks save their progress
 * @speculative: several copies of one task may run at the same time
 * @long_running: tasks run until the job is cancelled
 * @filler: tasks use processors that other tasks leave idle; these processors are not counted
 *	as used
 * @label: label that the worker must have, "" for none
 * @data_rack: rack on which the tasks run fastest, "" for none
 * @image: name of the task's image; tasks of the same image are expected to behave alike
 * @spread_limit: maximum number of tasks of one occurrence on one worker, 0 for no limit
 * @latency_target_ms: upper bound of the tail latency of a serving task, 0 for none
 * @max_unavailable: number of tasks of a long-running step that the scheduler may stop at the
 *	same time
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
 * @payload: opaque text that each task receives
 * @steps: array of @step_count steps
 * @step_count: number of steps
 * @repeats: number of occurrences; 0 for a job that runs once and immediately
 * @first_due_ms: due time of the first occurrence, milliseconds since 1970
 * @interval_ms: time between the due times of two occurrences
 */
struct jobspec {
	const char *payload;
	struct jobspec_step *steps;
	size_t step_count;
	uint32_t repeats;
	uint64_t first_due_ms;
	uint64_t interval_ms;
};

/** struct jobspec_names - the JSON keys of all fields in one format */
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

/** jobspec_record_names - JSON keys of the job records in the store */
extern const struct jobspec_names jobspec_record_names;

/**
 * jobspec_read() - parse and validate a job
 * @mem: talloc parent of the result
 * @json: JSON object, borrowed
 * @names: JSON key of each field
 * @err: set to ERR_INVALID with an explanation on failure
 *
 * Absent fields become 0, false or "". Unknown fields are ignored.
 *
 * Return: the job, owned by @mem, or NULL on failure.
 */
struct jobspec *jobspec_read(TALLOC_CTX *mem, const json_t *json, const struct jobspec_names *names,
			     struct err *err);

/** jobspec_write() - JSON record of a job, with the keys of jobspec_record_names; a new reference
 */
json_t *jobspec_write(const struct jobspec *spec);

/** jobspec_task_count() - number of tasks in one occurrence */
size_t jobspec_task_count(const struct jobspec *spec);

/**
 * jobspec_critical_path_ms() - estimated length of the critical path through the steps
 *
 * This is the time that an occurrence takes when every task starts as soon as the steps that it
 * depends on have ended.
 */
uint64_t jobspec_critical_path_ms(const struct jobspec *spec);

#endif
